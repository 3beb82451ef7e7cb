//! The last keys are taken away, one after the other.

use crate::{Outcome, fleet::Fleet, record::Record, runner::Pool, store::Store};
use std::{thread::sleep, time::Duration};

/// Pause between two changes of the desired state.
const GAP: Duration = Duration::from_millis(1_500);

/// `config_apply_ms`, and a second more.
const APPLIED: Duration = Duration::from_millis(4_000);

/// Requests with each key.
const REQUESTS: usize = 10;

/// The desired state with these tenants.
fn state(version: u64, tenants: &str) -> String {
    format!(
        "{{\"version\":{version},\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\
         \"routes\":[{{\"name\":\"lot-check\",\"host\":\"yard.example\",\"path_prefix\":\"/lots/\",\"kind\":\"non_idempotent\",\
         \"timeout_ms\":800,\"slo_ms\":150,\"priority\":2,\"service\":\"yard-desk\",\"max_attempts\":1,\"public\":false}}],\
         \"services\":[{{\"name\":\"yard-desk\",\"health_path\":\"/health\",\"max_conns\":96}}],\"tenants\":[{tenants}]}}"
    )
}

/// Plays the case.
pub fn play(record: &Record, trouble: bool) -> Outcome {
    let (store, address) = Store::start();
    let pool = Pool::new(&store, record);
    let both = "{\"name\":\"mill-a\",\"api_keys\":[\"key-a\"],\"priority\":1},{\"name\":\"mill-b\",\"api_keys\":[\"key-b\"],\"priority\":1}";
    store.write("op/config", &state(3, both));
    let mut runners = Vec::new();
    for (id, zone) in [("i-desk-1", "beja-hall"), ("i-desk-2", "tabarka-hall")] {
        runners.push(pool.start(id, "yard-desk", zone));
    }
    let fleet = match Fleet::start(&["beja-hall", "tabarka-hall"], address, record) {
        Ok(fleet) => fleet,
        Err(error) => return Outcome::Failed(error),
    };
    if let Err(error) = fleet.await_ready() {
        return Outcome::Failed(error);
    }
    sleep(APPLIED);
    let served = |phase: &str, key: Option<&str>| {
        let name = key.unwrap_or("no-key");
        let run = |number: usize| format!("{phase}-{name}-{number}");
        let mut statuses: Vec<u16> = (0..REQUESTS)
            .map(|number| fleet.ask(number, "/lots/7", &run(number), key, record))
            .collect();
        statuses.sort_unstable();
        let prefix = format!("{phase}-{name}-");
        let ran = pool
            .runs
            .lock()
            .unwrap()
            .iter()
            .filter(|(run, _)| run.starts_with(&prefix))
            .count();
        record.line(&format!(
            "{phase}, {name}: {ran} of {REQUESTS} ran, statuses {statuses:?}"
        ));
        ran
    };
    let before = [
        served("before", Some("key-a")),
        served("before", Some("key-b")),
        served("before", Some("key-never-held")),
        served("before", None),
    ];
    if before != [REQUESTS, REQUESTS, 0, 0] {
        return Outcome::Failed(format!("before the change, {before:?} requests ran"));
    }
    if trouble {
        let left = "{\"name\":\"mill-a\",\"api_keys\":[\"key-a\"],\"priority\":1}";
        store.write("op/config", &state(5, left));
        record.line("operator: version 5 is acknowledged, key-b is taken away with its tenant");
        sleep(GAP);
        store.write("op/config", &state(8, ""));
        record.line("operator: version 8 is acknowledged, key-a is taken away with its tenant");
    }
    sleep(APPLIED);
    let never_held = served("after", Some("key-never-held")) + served("after", None);
    let taken = served("after", Some("key-a")) + served("after", Some("key-b"));
    let dropped = if trouble { taken } else { 0 };
    record.line(&format!("after: {never_held} requests ran whose key no desired state held, {dropped} with a key that was taken away"));
    if never_held + dropped > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
