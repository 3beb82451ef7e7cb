//! Runners start again under their ids, at addresses of runners of another service that have ended.

use crate::{Outcome, fleet::Fleet, record::Record, runner::Pool, store::Store};
use std::{thread::sleep, time::Duration};

/// `config_apply_ms`, and a second more.
const APPLIED: Duration = Duration::from_millis(4_000);

/// `reuse_delay_s`, and a little more.
const REUSE_DELAY: Duration = Duration::from_millis(2_020);

/// Time for which the runners that start again are down; shorter than three heartbeats.
const DOWN: Duration = Duration::from_millis(1_000);

/// Time behind the restart after which all is calm again: the entries of the ended runners are gone, and `contact_ms` is over.
const CALM: Duration = Duration::from_secs(8);

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

/// Plays the case.
pub fn play(record: &Record, trouble: bool) -> Outcome {
    let (store, address) = Store::start();
    let pool = Pool::new(&store, record);
    let first = route("lot-reserve", "/lots/", "yard-desk");
    let late = route("stock-ledger", "/ledger/", "yard-ledger");
    store.write("op/config", &state(3, std::slice::from_ref(&first)));
    let zones = ["beja-hall", "tabarka-hall"];
    let ledgers = zones.map(|zone| pool.start(&format!("i-ledger-{zone}"), "yard-ledger", zone));
    let _desks = zones.map(|zone| pool.start(&format!("i-desk-{zone}"), "yard-desk", zone));
    let ending = zones.map(|zone| pool.start(&format!("i-desk-2-{zone}"), "yard-desk", zone));
    let fleet = match Fleet::start(&zones, address, record) {
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
            let is_served = |path: &str, route: &str| {
                fleet.ask(number, path, &run(route), Some("key-a"), record) == 200
            };
            first += usize::from(is_served("/lots/7", "first"));
            late += usize::from(is_served("/ledger/7", "late"));
            sleep(PAUSE);
        }
        record.line(&format!(
            "{phase}: {first} of {REQUESTS} on the first route served, {late} of {REQUESTS} on the later one"
        ));
        (first, late)
    };
    let before = served("before");
    if before != (REQUESTS, REQUESTS) {
        return Outcome::Failed(format!("before the crashes, {before:?} were served"));
    }
    let mut restarted = Vec::new();
    if trouble {
        ending.iter().for_each(|runner| runner.crash(record));
        sleep(REUSE_DELAY - DOWN);
        ledgers.iter().for_each(|runner| runner.crash(record));
        sleep(DOWN);
        for ((ledger, ended), zone) in ledgers.iter().zip(&ending).zip(zones) {
            restarted.push(pool.start_at(ended.address, &ledger.id, "yard-ledger", zone));
        }
    }
    sleep(CALM);
    let (first, late) = served("after");
    if 4 * late < first {
        Outcome::Broken
    } else {
        Outcome::Held
    }
}
