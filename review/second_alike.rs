//! Two requests that ask for the same, of one tenant, beside others that do not. All instances are killed at the same moment, some
//! tenths of a second behind the start of the second one, and start again. The clients come back with `Last-Event-Id`.
//!
//! The same is played several times, each time with a new store and new instances.

use crate::{
    Verdict,
    client::{Attempts, Received, Stream},
    engine::Engines,
    fleet::{self, Fleet},
    record::note,
    store::{Store, listen},
};
use std::{
    thread::{self, JoinHandle},
    time::{Duration, Instant},
};

/// Rounds, and the time from which on no further one begins.
const ROUNDS: u64 = 8;
const LAST_START: Duration = Duration::from_secs(85);

/// Time from the first request to the second one, and from there to the kill: the second one has its first events by then.
const SECOND_MS: u64 = 2_000;
const KILL_MS: u64 = 250;

/// Requests beside the two, each with content of its own.
const OTHERS: u64 = 6;

/// Time between the kill of a process and its next start.
const RESTART: Duration = Duration::from_millis(300);

pub const ROUTE: &str = r#"{"name":"r-long","host":"ficu95.example","path_prefix":"/lohu930/","kind":"streaming","timeout_ms":25000,"slo_ms":4500,"priority":1,"service":"pool","max_attempts":5,"public":false,"sticky":true,"can_resume":true,"gap_target_ms":700}"#;
pub const SERVICE: &str = r#"{"name":"pool","health_path":"/health","max_conns":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity":55000,"kv_token_bytes":327680,"link_mbps":260000.0,"moves":true,"backups":true,"stride":5,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":4.0,"models":[{"name":"m"}]}}"#;

/// The thread of a client.
pub type Client = JoinHandle<(Stream, Received)>;

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
    fleet::configure(&store, 1, ROUTE, SERVICE);
    let zones = ["beja-hall", "aindraham-hall", "jendouba-hall"];
    let Ok(engines) = Engines::start(
        &store,
        "pool",
        "v1",
        &[zones[0], zones[1], zones[2], zones[0]],
        40,
    ) else {
        return Verdict::NotRun;
    };
    let names = [
        ("front-beja-hall-1", zones[0]),
        ("front-aindraham-hall-1", zones[1]),
        ("front-jendouba-hall-1", zones[2]),
    ];
    let Some(mut fleet) = Fleet::start(&names, &address) else {
        return Verdict::NotRun;
    };
    // The instances know each other by then.
    thread::sleep(Duration::from_secs(3));
    let addresses = fleet.addresses();
    let attempts = Attempts::default();
    let mut clients = Vec::new();
    let mut start = |name: String, subject: String, first: usize, delay_ms: u64| {
        let stream = Stream {
            name,
            path: "/lohu930/2f",
            subject,
            first,
            prompt: 500,
            events: 120,
        };
        let (addresses, attempts) = (addresses.clone(), attempts.clone());
        clients.push(thread::spawn(move || {
            thread::sleep(Duration::from_millis(delay_ms));
            let received = stream.run(&addresses, &attempts);
            (stream, received)
        }));
    };
    start("first".into(), "notebook".into(), 0, 0);
    start("second".into(), "notebook".into(), 1, SECOND_MS);
    for other in 0..OTHERS {
        start(
            format!("other-{other}"),
            format!("log-{other}"),
            other as usize,
            350 * other,
        );
    }
    thread::sleep(Duration::from_millis(SECOND_MS + KILL_MS));
    if trouble {
        fleet.kill_all();
        thread::sleep(RESTART);
        for instance in &mut fleet.instances {
            instance.start();
        }
    }
    judge(clients, &attempts, &engines)
}

/// Waits for the clients, and judges which request's memory each run went on from.
pub fn judge(clients: Vec<Client>, attempts: &Attempts, engines: &Engines) -> Verdict {
    let asked = clients.len();
    let mut complete = 0;
    for client in clients {
        let Ok((stream, received)) = client.join() else {
            return Verdict::NotRun;
        };
        complete += u64::from(received.complete);
        let mut texts: Vec<&str> = received
            .data
            .iter()
            .filter_map(|data| data.split('.').next())
            .collect();
        texts.dedup();
        let of = |text: &&str| {
            attempts
                .lock()
                .unwrap()
                .get(*text)
                .cloned()
                .unwrap_or_default()
        };
        let texts: Vec<String> = texts.iter().map(of).collect();
        note(&format!(
            "client {} received {} events in {} attempts, of the texts of {texts:?}",
            stream.name,
            received.data.len(),
            received.attempts
        ));
    }
    let attempts = attempts.lock().unwrap();
    let mut foreign = 0;
    let continued = engines.continued.lock().unwrap();
    for run in continued.iter() {
        let (own, other) = (attempts.get(&run.request), attempts.get(&run.copy_of));
        if own != other {
            foreign += 1;
            note(&format!(
                "MIXED: {} ({own:?}) went on from the memory of {} ({other:?})",
                run.request, run.copy_of
            ));
        }
    }
    note(&format!(
        "{complete} of {} requests complete, {} runs from copies, {foreign} of them from the memory of a different request",
        asked,
        continued.len()
    ));
    if complete == 0 {
        return Verdict::NotRun;
    }
    if foreign > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}
