//! Pairs of requests that ask for the same, of one tenant, in a large fleet. The first of each pair goes to one busy instance, the
//! second ones to an instance each that has nothing else to do. The latter instances are killed, and start again. Their clients come
//! back with `Last-Event-Id` at other instances.

use crate::{
    Verdict,
    client::{Attempts, Stream},
    engine::Engines,
    fleet::{self, Fleet},
    store::{Store, listen},
};
use std::{thread, time::Duration};

const INSTANCES: usize = 68;
const ZONES: [&str; 5] = [
    "beja-hall",
    "aindraham-hall",
    "jendouba-hall",
    "tabarka-hall",
    "siliana-hall",
];

/// Model runners.
const ENGINES: usize = 110;

const PAIRS: usize = 6;

/// Requests of the busy instance before those of the pairs: of all that are asked for, three in ten are asked for twice.
const OTHERS: usize = 14;

/// Place of the busy instance, and of those with the second requests: the first one, and the distance to the next.
const BUSY: usize = 0;
const QUIET: usize = 8;
const QUIET_STEP: usize = 7;

/// Time for the instances to know each other and the runners.
const SETTLE: Duration = Duration::from_secs(14);

/// Time from the first requests to the second ones, and from these to the kill.
const SECOND: Duration = Duration::from_millis(1_500);
const KILL: Duration = Duration::from_millis(1_500);

/// Time between the kill of a process and its next start.
const RESTART: Duration = Duration::from_millis(300);

pub fn run(trouble: bool) -> Verdict {
    let store = Store::default();
    let Ok((listener, address)) = listen("127.0.0.1") else {
        return Verdict::NotRun;
    };
    store.serve(listener);
    fleet::configure(&store, 1, crate::alike::ROUTE, crate::alike::SERVICE);
    let zones: Vec<&str> = (0..ENGINES)
        .map(|number| ZONES[number % ZONES.len()])
        .collect();
    let Ok(engines) = Engines::start(&store, "pool", "v1", &zones, 40) else {
        return Verdict::NotRun;
    };
    let names: Vec<(String, &str)> = (0..INSTANCES)
        .map(|number| {
            let zone = ZONES[number % ZONES.len()];
            (format!("front-{zone}-{}", number / ZONES.len() + 1), zone)
        })
        .collect();
    let names: Vec<(&str, &str)> = names
        .iter()
        .map(|(name, zone)| (name.as_str(), *zone))
        .collect();
    let Some(mut fleet) = Fleet::start(&names, &address) else {
        return Verdict::NotRun;
    };
    thread::sleep(SETTLE);
    let addresses = fleet.addresses();
    let attempts = Attempts::default();
    let mut clients = Vec::new();
    let mut start = |name: String, subject: String, first: usize| {
        let stream = Stream {
            name,
            path: "/lohu930/2f",
            subject,
            first,
            prompt: 500,
            events: 170,
        };
        let (addresses, attempts) = (addresses.clone(), attempts.clone());
        clients.push(thread::spawn(move || {
            let received = stream.run(&addresses, &attempts);
            (stream, received)
        }));
    };
    for other in 0..OTHERS {
        start(format!("other-{other}"), format!("log-{other}"), BUSY);
    }
    thread::sleep(Duration::from_millis(300));
    for pair in 0..PAIRS {
        start(format!("{pair}-first"), format!("notebook-{pair}"), BUSY);
    }
    thread::sleep(SECOND);
    let quiet = |pair: usize| QUIET + QUIET_STEP * pair;
    for pair in 0..PAIRS {
        start(
            format!("{pair}-second"),
            format!("notebook-{pair}"),
            quiet(pair),
        );
    }
    thread::sleep(KILL);
    if trouble {
        for pair in 0..PAIRS {
            fleet.instances[quiet(pair)].kill();
        }
        thread::sleep(RESTART);
        for pair in 0..PAIRS {
            fleet.instances[quiet(pair)].start();
        }
    }
    crate::alike::judge(clients, &attempts, &engines)
}
