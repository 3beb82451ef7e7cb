//! What becomes of a request that ends each upstream that begins to run it.
//!
//! A customer's stream ended every engine that began to run it, about 0.1 s behind its first token; the engines were back
//! seconds later. Its caller came again with the same path, key and body, at all six instances, several times at once.
//! Each instance sent each of these tries to up to five engines, one behind the other, and the next try began anew: nothing
//! was known of a request but within one try at one instance, and an upstream that broke a connection was doubted, never
//! the request that was there. 67 engines ended under one request and 44 under another; from the moment on at which the third end
//! was 3 s old they were sent 19 and 9 times more.
//!
//! What settled it: the same customer and service under many names of tries, each lost five times at position 0, at several
//! instances at once, and no try more often than the five times that the route allows.
//!
//! ```text
//! 41.906  aindraham-hall-2  "attempt lost" "customer":"loba620" "reason":"broken" "position":0 "request":"88ceb33aa6a3eb58"
//! 41.906  jendouba-hall-1   "attempt lost" "customer":"loba620" "reason":"broken" "position":0 "request":"eb70294a61cfecde"
//! 42.034  jendouba-hall-1   "attempt lost" "customer":"loba620" "reason":"broken" "position":0 "request":"ed4fb5750c149404"
//! 42.170  aindraham-hall-2  "attempt lost" "customer":"loba620" "reason":"broken" "position":0 "request":"d77ef10025efd8bd"
//! 45.899  aindraham-hall-2  "failed" "kind":"upstream_failed" "request":"88ceb33aa6a3eb58"
//! ```
//!
//! Here three instances, eight engines that are back after a second, and callers that bring the request again and again, on the
//! code of that day: 61 engines ended, 51 sendings came later than 3 s behind the third end, and one try alone ended five.

use {
    googletest::prelude::*,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{task::JoinHandle, time::sleep},
    wellplank_standin::{
        client::{Ask, Got},
        site::{Plan, Site, run},
        worker::{self, FATAL},
    },
};

/// Time behind the third end of an upstream from which on sendings count: that in which instances must have heard of it.
const HEARD: Duration = Duration::from_secs(3);

/// Sendings that may be behind it.
const MORE: usize = 3;

/// Time for which the request comes again.
const LASTS: Duration = Duration::from_secs(9);

/// Time after which an engine is back.
const BACK: Duration = Duration::from_secs(1);

/// Pause of a caller between two tries.
const PAUSE: Duration = Duration::from_millis(250);

/// Time between two looks at whether engines have ended.
const LOOK: Duration = Duration::from_millis(2);

/// Upstreams that ended under a request, and how often it was sent behind the third end and `HEARD`.
#[derive(Debug)]
struct Count {
    ended: usize,
    sent_late: usize,
}

/// Brings one request again and again to one instance for some time.
fn bring(address: SocketAddr, name: &'static str, lasts: Duration) -> JoinHandle<()> {
    tokio::spawn(async move {
        let end = Instant::now() + lasts;
        let mut tries = 0;
        while Instant::now() < end {
            tries += 1;
            let mut ask = Ask::stream(&format!("{name}-{tries}"));
            ask.body = FATAL.to_vec();
            if let Ok(response) = ask.try_open(address).await {
                Got::read(response, usize::MAX).await;
            }
            sleep(PAUSE).await;
        }
    })
}

/// Has engines that a request ended be gone, and be back later, for some time; what the request did.
async fn watch(site: &mut Site, lasts: Duration) -> Count {
    let end = Instant::now() + lasts;
    let mut ends: Vec<Instant> = Vec::new();
    let mut gone: Vec<(Instant, usize)> = Vec::new();
    while Instant::now() < end {
        for engine in 0..site.engines.len() {
            let crash = site.engines[engine].worker.crash();
            let known = gone.iter().any(|(_, other)| *other == engine);
            if let Some(crash) = crash.filter(|_| !known) {
                site.bury(engine);
                ends.push(crash.at);
                gone.push((crash.at + BACK, engine));
            }
        }
        for (_, engine) in gone.extract_if(.., |(back, _)| *back <= Instant::now()) {
            site.revive(engine, ends.len());
        }
        sleep(LOOK).await;
    }
    ends.sort();
    let late = |at: Instant| ends.get(2).is_some_and(|third| at > *third + HEARD);
    let runs = site.ledger.runs();
    let sent = runs.iter().filter(|run| run.body == FATAL);
    Count {
        ended: ends.len(),
        sent_late: sent.filter(|run| late(run.at)).count(),
    }
}

fn plan(instances: usize) -> Plan {
    Plan {
        engines: 8,
        instances,
        ..Plan::default()
    }
}

#[gtest]
fn request_that_ends_its_upstreams_is_not_sent_on_and_on() {
    run(plan(3), async |mut site: Site| {
        let names = ["a", "b", "c"];
        for (instance, name) in site.instances.iter().zip(names) {
            bring(instance.callers, name, LASTS);
        }
        let count = watch(&mut site, LASTS).await;
        expect_that!(count.ended, ge(3));
        expect_that!(count.sent_late, le(MORE), "{count:?}");
    });
}

/// Upstreams that end under one try at the first of some instances.
fn ended_by_one_try(instances: usize) -> usize {
    let mut ended = 0;
    run(plan(instances), async |mut site: Site| {
        let address = site.instances[0].callers;
        let once = Duration::from_millis(1);
        let brought = bring(address, "a", once);
        let count = watch(&mut site, Duration::from_secs(2)).await;
        brought.await.unwrap();
        ended = count.ended;
    });
    ended
}

#[gtest]
fn one_try_ends_three_upstreams_at_most() {
    expect_that!(ended_by_one_try(1), eq(3));
}

#[gtest]
fn one_try_ends_three_upstreams_at_most_beside_other_instances() {
    expect_that!(ended_by_one_try(3), eq(3));
}

#[gtest]
fn streams_beside_it_are_answered_whole() {
    run(plan(3), async |mut site: Site| {
        let addresses: Vec<SocketAddr> = site.instances.iter().map(|one| one.callers).collect();
        for (address, name) in addresses.iter().zip(["a", "b", "c"]) {
            bring(*address, name, LASTS);
        }
        let others = tokio::spawn(async move {
            let mut whole = 0;
            for turn in 0..24 {
                let ask = Ask::stream(&format!("other-{turn}")).body(100 + turn);
                let got = ask.send(addresses[turn % addresses.len()]).await;
                whole += usize::from(got.whole && got.body == worker::events(&ask.body, 0));
                sleep(PAUSE).await;
            }
            whole
        });
        watch(&mut site, LASTS + Duration::from_secs(8)).await;
        expect_that!(others.await.unwrap(), eq(24));
    });
}
