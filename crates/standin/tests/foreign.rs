//! Entries of another writer over those of the upstreams of one service, which say that they serve another one.

use {
    googletest::prelude::*,
    serde_json::{Value, json},
    std::time::Duration,
    tokio::time::{Instant, sleep},
    wellplank_standin::{
        client::Ask,
        site::{DESK, ENGINES, Plan, Site, run},
        worker::Worker,
    },
};

/// Time for which calls are made beside the entries: changes are known within a tenth of it.
const BESIDE: Duration = Duration::from_millis(400);

/// Pause between two calls.
const PAUSE: Duration = Duration::from_millis(20);

/// Time after which upstreams get work by their own entries again.
const RETURN: Duration = Duration::from_millis(400);

/// Fields that every upstream writes.
const FIELDS: [&str; 9] = [
    "address",
    "born",
    "call_seq",
    "cold_left_ms",
    "service",
    "slots",
    "state",
    "version",
    "zone",
];

/// An entry at the address of an upstream that says that it serves calls.
fn entry(worker: &Worker) -> Value {
    json!({
        "address": worker.entered, "born": worker.born + 1, "call_seq": 0, "cold_left_ms": 0, "service": DESK, "slots": 6,
        "state": "ready", "version": "v1", "zone": "dc-0",
    })
}

/// The entry without a field, and with the field in another type.
fn spoilt(worker: &Worker, field: &str) -> [Value; 2] {
    let (mut missing, mut other) = (entry(worker), entry(worker));
    missing.as_object_mut().unwrap().remove(field);
    other[field] = if other[field].is_string() {
        json!(7)
    } else {
        json!("none")
    };
    [missing, other]
}

/// Engines that ran calls of the other service while entries of another writer stood over theirs.
async fn astray(site: &Site, entries: impl Fn(&Worker) -> Value) -> Vec<String> {
    let before = site.ledger.runs().len();
    for seat in &site.engines {
        site.shelf.put(
            &format!("servers/{}", seat.worker.name),
            &entries(&seat.worker),
        );
    }
    let end = Instant::now() + BESIDE;
    let mut number = 0;
    while Instant::now() < end {
        let instance = &site.instances[number % site.instances.len()];
        let got = Ask::again(&format!("call-{before}-{number}"))
            .send(instance.callers)
            .await;
        expect_that!(got.status.as_u16(), eq(200));
        number += 1;
        sleep(PAUSE).await;
    }
    for (index, seat) in site.engines.iter().enumerate() {
        site.enter(&seat.worker, ENGINES, index % 2, "ready");
    }
    sleep(RETURN).await;
    let runs = site.ledger.runs();
    let workers = runs[before..].iter().map(|run| run.worker.clone());
    workers.filter(|name| name.starts_with("engine")).collect()
}

/// Guards against requests for one service that run at the upstreams of another, by an entry that they did not write.
#[gtest]
fn entry_that_lacks_a_field_or_has_one_of_another_type_brings_no_request_to_another_service() {
    let plan = Plan {
        instances: 2,
        ..Plan::default()
    };
    run(plan, async |site: Site| {
        for field in FIELDS {
            for form in 0..2 {
                let astray = astray(&site, |worker| spoilt(worker, field)[form].clone()).await;
                expect_that!(astray, is_empty(), "{field}, form {form}");
            }
        }
        // The engines serve by their own entries behind it.
        let got = Ask::stream("r1").send(site.instances[0].callers).await;
        expect_that!(got.whole, eq(true));
    });
}
