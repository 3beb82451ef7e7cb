//! Another writer writes once over the entries of the runners of one service.

use crate::{
    Outcome,
    fleet::Fleet,
    record::Record,
    runner::{Pool, Runner},
    store::Store,
};
use std::{thread::sleep, time::Duration};

/// `config_apply_ms`, and a second more.
const APPLIED: Duration = Duration::from_millis(4_000);

/// Requests before the other writer's entries and behind them, and the pause between two.
const BEFORE: usize = 20;
const BEHIND: usize = 100;
const PAUSE: Duration = Duration::from_millis(30);

/// The desired state: a route to each of two services.
const STATE: &str = "{\"version\":3,\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\
    \"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},\"routes\":[\
    {\"name\":\"lot-check\",\"host\":\"yard.example\",\"path_prefix\":\"/lots/\",\"kind\":\"non_idempotent\",\
    \"timeout_ms\":800,\"slo_ms\":150,\"priority\":2,\"service\":\"yard-desk\",\"max_attempts\":1,\"public\":false},\
    {\"name\":\"ledger\",\"host\":\"yard.example\",\"path_prefix\":\"/ledger/\",\"kind\":\"non_idempotent\",\
    \"timeout_ms\":800,\"slo_ms\":150,\"priority\":2,\"service\":\"yard-ledger\",\"max_attempts\":1,\"public\":false}],\
    \"services\":[{\"name\":\"yard-desk\",\"health_path\":\"/health\",\"max_conns\":96},\
    {\"name\":\"yard-ledger\",\"health_path\":\"/health\",\"max_conns\":96}],\
    \"tenants\":[{\"name\":\"mill-a\",\"api_keys\":[\"key-a\"],\"priority\":1}]}";

/// An entry of another writer: `cold_left_ms` and `born` are missing, `version` and `call_seq` are of another type.
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
    let pool = Pool::new(&store, record);
    store.write("op/config", STATE);
    let desks = [("i-desk-1", "beja-hall"), ("i-desk-2", "tabarka-hall")];
    let desks = desks.map(|(id, zone)| pool.start(id, "yard-desk", zone));
    let mut ledgers = Vec::new();
    for (id, zone) in [("i-ledger-1", "beja-hall"), ("i-ledger-2", "tabarka-hall")] {
        ledgers.push(pool.start(id, "yard-ledger", zone));
    }
    let fleet = match Fleet::start(&["beja-hall", "tabarka-hall"], address, record) {
        Ok(fleet) => fleet,
        Err(error) => return Outcome::Failed(error),
    };
    if let Err(error) = fleet.await_ready() {
        return Outcome::Failed(error);
    }
    sleep(APPLIED);
    let ask = |phase: &str, requests: usize| {
        let mut served = 0;
        for number in 0..requests {
            let run = format!("{phase}-{number}");
            served +=
                usize::from(fleet.ask(number, "/ledger/7", &run, Some("key-a"), record) == 200);
            sleep(PAUSE);
        }
        let runs = pool.runs.lock().unwrap();
        let of_phase = runs
            .iter()
            .filter(|(run, _)| run.starts_with(&format!("{phase}-")));
        let astray = of_phase
            .filter(|(_, runner)| runner.starts_with("i-desk"))
            .count();
        record.line(&format!("{phase}: {served} of {requests} requests for yard-ledger answered with 200, {astray} of them ran at yard-desk"));
        (served, astray)
    };
    let before = ask("before", BEFORE);
    if before != (BEFORE, 0) {
        return Outcome::Failed(format!("before the other writer's entries: {before:?}"));
    }
    if trouble {
        for runner in &desks {
            store.write(&format!("servers/{}", runner.id), &odd_entry(runner));
        }
        record.line("another writer wrote over the entries of the runners of yard-desk");
    }
    let (_, astray) = ask("behind", BEHIND);
    if astray > 0 {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
