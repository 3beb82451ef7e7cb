//! Another writer's entries appear among those of runners for a while, with addresses of runners.

use crate::{
    Outcome,
    fleet::Fleet,
    record::Record,
    runner::{self, Runner, Runs},
    store::Store,
};
use std::{thread::sleep, time::Duration};

/// `config_apply_ms`, and a second more.
const APPLIED: Duration = Duration::from_millis(3_000);

/// Time for which the other writer's entries are there.
const ODD: Duration = Duration::from_secs(5);

/// Time behind their removal after which all is calm again: longer than `contact_ms`.
const CALM: Duration = Duration::from_secs(6);

/// Requests on each route in each phase, and the pause between two.
const REQUESTS: usize = 60;
const PAUSE: Duration = Duration::from_millis(50);

fn route(name: &str, prefix: &str, service: &str) -> String {
    format!(
        "{{\"name\":\"{name}\",\"host\":\"yard.example\",\"path_prefix\":\"{prefix}\",\"kind\":\"idempotent\",\
         \"timeout_ms\":800,\"slo_ms\":150,\"priority\":2,\"service\":\"{service}\",\"max_attempts\":2,\"public\":false}}"
    )
}

/// The desired state with these routes.
fn state(version: u64, routes: &[String]) -> String {
    format!(
        "{{\"version\":{version},\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
         \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"routes\":[{}],\
         \"services\":[{{\"name\":\"yard-desk\",\"health_path\":\"/health\",\"max_conns\":96}},\
         {{\"name\":\"yard-ledger\",\"health_path\":\"/health\",\"max_conns\":96}}],\
         \"tenants\":[{{\"name\":\"mill-a\",\"api_keys\":[\"key-a\"],\"priority\":1}}]}}",
        routes.join(",")
    )
}

/// An entry of another writer: `version` is of another type, `cold_left_ms` and `born` are missing, `call_seq` is of another type.
fn odd_entry(runner: &Runner) -> String {
    format!(
        "{{\"service\":\"yard-ledger\",\"address\":\"{}\",\"zone\":\"beja-hall\",\"version\":7,\"slots\":6,\
         \"state\":\"ready\",\"call_seq\":\"none\"}}",
        runner.address
    )
}

/// Plays the case.
pub fn play(record: &Record, trouble: bool) -> Outcome {
    let (store, address) = Store::start();
    let runs = Runs::default();
    let first = route("lot-reserve", "/lots/", "yard-desk");
    let late = route("stock-ledger", "/ledger/", "yard-ledger");
    store.write("op/config", &state(3, std::slice::from_ref(&first)));
    for (id, zone) in [("i-desk-1", "beja-hall"), ("i-desk-2", "tabarka-hall")] {
        runner::start(id, "yard-desk", zone, &store, &runs, record);
    }
    let ledgers = [("i-ledger-1", "beja-hall"), ("i-ledger-2", "tabarka-hall")];
    let ledgers =
        ledgers.map(|(id, zone)| runner::start(id, "yard-ledger", zone, &store, &runs, record));
    let fleet = match Fleet::start(&["beja-hall", "tabarka-hall"], address, record) {
        Ok(fleet) => fleet,
        Err(error) => return Outcome::Failed(error),
    };
    if let Err(error) = fleet.await_ready() {
        return Outcome::Failed(error);
    }
    store.write("op/config", &state(4, &[first, late]));
    record.line("operator: version 4 is acknowledged, the route /ledger/ is added");
    sleep(APPLIED);
    let served = |phase: &str| {
        let (mut first, mut late) = (0, 0);
        for number in 0..REQUESTS {
            let run = |route: &str| format!("{phase}-{route}-{number}");
            let key = Some("key-a");
            first += usize::from(fleet.ask(number, "/lots/7", &run("first"), key, record) == 200);
            late += usize::from(fleet.ask(number, "/ledger/7", &run("late"), key, record) == 200);
            sleep(PAUSE);
        }
        record.line(&format!("{phase}: {first} of {REQUESTS} on the first route served, {late} of {REQUESTS} on the later one"));
        (first, late)
    };
    let before = served("before");
    if before != (REQUESTS, REQUESTS) {
        return Outcome::Failed(format!(
            "before the other writer's entries, {before:?} were served"
        ));
    }
    if trouble {
        for runner in &ledgers {
            store.write(
                &format!("servers/copy-of-{}", runner.id),
                &odd_entry(runner),
            );
        }
        record.line(
            "another writer wrote two entries with the addresses of the runners of yard-ledger",
        );
    }
    served("meanwhile");
    sleep(ODD.saturating_sub(PAUSE * REQUESTS as u32));
    if trouble {
        for runner in &ledgers {
            store.delete(&format!("servers/copy-of-{}", runner.id));
        }
        record.line("the other writer's entries are removed");
    }
    sleep(CALM);
    let (first, late) = served("after");
    if 4 * late < first {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
