//! A route of streams moves to another service of model runners, of another software version. Right behind the ack all processes of
//! the system are killed, and start again. Clients whose streams broke off come back with `Last-Event-Id`.
//!
//! The same is played several times, each time with a new store and new instances.

use crate::{
    Verdict,
    client::{Attempts, Stream},
    engine::Engines,
    fleet::{self, Fleet},
    record::note,
    store::{Store, listen},
};
use std::{
    thread,
    time::{Duration, Instant},
};

/// Rounds, and the time from which on no further one begins.
const ROUNDS: u64 = 6;
const LAST_START: Duration = Duration::from_secs(85);

/// Streams of a round, and the time between the starts of two. The last ones begin some tenths of a second before the kill.
const STREAMS: u64 = 12;
const STEP_MS: u64 = 100;

/// Time from the start of the last stream to the change, and from its ack to the kill.
const CHANGE: Duration = Duration::from_millis(150);
const KILL: Duration = Duration::from_millis(50);

/// Time between the kill of a process and its next start.
const RESTART: Duration = Duration::from_millis(300);

const ZONES: [&str; 3] = ["beja-hall", "aindraham-hall", "jendouba-hall"];

/// The routes, of which the first one goes to the named service.
fn routes(service: &str) -> String {
    let route = |name: &str, path: &str, service: &str| {
        format!(
            r#"{{"name":"{name}","host":"ficu95.example","path_prefix":"{path}","kind":"streaming","timeout_ms":25000,"slo_ms":4500,"priority":1,"service":"{service}","max_attempts":5,"public":false,"sticky":true,"can_resume":true,"gap_target_ms":700}}"#
        )
    };
    format!(
        "{},{}",
        route("r-plan", "/lohu930/", service),
        route("r-digest", "/pufi791/", "pool-b")
    )
}

fn services() -> String {
    let service = |name: &str| {
        format!(
            r#"{{"name":"{name}","health_path":"/health","max_conns":360,"protocol":"h1","tls":false,"engine":{{"slots":64,"kv_capacity":55000,"kv_token_bytes":327680,"link_mbps":260000.0,"moves":true,"backups":true,"stride":5,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":4.0,"models":[{{"name":"m"}}]}}}}"#
        )
    };
    format!("{},{}", service("pool-a"), service("pool-b"))
}

pub fn run(trouble: bool) -> Verdict {
    let begun = Instant::now();
    let (mut rounds, mut broken) = (0, 0);
    while rounds < ROUNDS && begun.elapsed() < LAST_START {
        rounds += 1;
        note(&format!("round {rounds}"));
        match round(trouble) {
            Verdict::Broken => broken += 1,
            Verdict::Held => {}
            Verdict::NotRun => return Verdict::NotRun,
        }
    }
    note(&format!(
        "the rule was broken in {broken} of {rounds} rounds"
    ));
    if broken > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn round(trouble: bool) -> Verdict {
    let store = Store::default();
    let Ok((listener, address)) = listen("127.0.0.1") else {
        return Verdict::NotRun;
    };
    store.serve(listener);
    fleet::configure(&store, 1, &routes("pool-a"), &services());
    let zones = [ZONES[0], ZONES[1], ZONES[2], ZONES[0]];
    let engines = ["pool-a", "pool-b"].map(|service| {
        let version = if service == "pool-a" { "v1" } else { "v2" };
        Engines::start(&store, service, version, &zones, 40)
    });
    let [Ok(former), Ok(later)] = engines else {
        return Verdict::NotRun;
    };
    let names = [
        ("front-beja-hall-1", ZONES[0]),
        ("front-aindraham-hall-1", ZONES[1]),
        ("front-jendouba-hall-1", ZONES[2]),
    ];
    let Some(mut fleet) = Fleet::start(&names, &address) else {
        return Verdict::NotRun;
    };
    // The instances know each other by then, and have named the versions.
    thread::sleep(Duration::from_secs(4));
    let addresses = fleet.addresses();
    let attempts = Attempts::default();
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let stream = Stream {
            name: format!("stream-{number}"),
            path: "/lohu930/2f",
            subject: format!("log-{number}"),
            first: number as usize,
            prompt: 100,
            events: 60,
        };
        let (addresses, attempts) = (addresses.clone(), attempts.clone());
        clients.push(thread::spawn(move || {
            let received = stream.run(&addresses, &attempts);
            (stream, received)
        }));
        thread::sleep(Duration::from_millis(STEP_MS));
    }
    thread::sleep(CHANGE);
    fleet::configure(&store, 2, &routes("pool-b"), &services());
    thread::sleep(KILL);
    if trouble {
        fleet.kill_all();
        thread::sleep(RESTART);
        for instance in &mut fleet.instances {
            instance.start();
        }
    }
    let (mut complete, mut joined) = (0, 0);
    for client in clients {
        let Ok((stream, received)) = client.join() else {
            return Verdict::NotRun;
        };
        complete += u64::from(received.complete);
        let service = |data: &String| {
            let run = data.split('.').next().unwrap_or("");
            let is_of = |engines: &Engines| engines.runs.lock().unwrap().contains(run);
            match (is_of(&former), is_of(&later)) {
                (true, false) => "pool-a, version v1",
                (false, true) => "pool-b, version v2",
                _ => "not known",
            }
        };
        let mut services: Vec<&str> = received.data.iter().map(service).collect();
        let count = services.len();
        services.dedup();
        let is_joined = services.len() > 1;
        joined += u64::from(is_joined);
        let (name, tries) = (&stream.name, received.attempts);
        let end = if received.complete {
            "complete"
        } else {
            "not complete"
        };
        note(&format!(
            "client {name} received {count} events in {tries} attempts, {end}, made by {services:?}"
        ));
        if is_joined {
            note(&format!(
                "ORDER: the answer of {name} is joined from {services:?}"
            ));
        }
    }
    note(&format!(
        "{complete} of {STREAMS} requests complete, {joined} joined from two services"
    ));
    if complete == 0 {
        return Verdict::NotRun;
    }
    if joined > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
