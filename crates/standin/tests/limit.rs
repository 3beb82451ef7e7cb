//! What becomes of a limit that an upstream names: the requests a second that it takes from all instances together.

use {
    googletest::prelude::*,
    std::{
        collections::BTreeMap,
        time::{Duration, Instant},
    },
    tokio::time::sleep,
    wellplank_standin::{
        client::Work,
        site::{Plan, Seat, Site, run},
        worker::{Arrival, Remark},
    },
};

/// Time behind the first answer with a limit from which on what its instance sends counts.
const TOLD: Duration = Duration::from_millis(500);

/// Time over which requests are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Time for which work is brought while a limit holds.
const LASTS: Duration = Duration::from_secs(9);

/// Time in which an upstream that names no limit any more is used again.
const LIFTED: Duration = Duration::from_secs(3);

/// Most requests in a window, by the users' rule: one and a half times what the limit allows, and five.
fn allowed(limit: f64) -> usize {
    (1.5 * limit * WINDOW.as_secs_f64() + 5.0) as usize
}

fn names(limit: &'static str) -> Remark {
    Remark {
        limit: Some(limit),
        ..Remark::default()
    }
}

/// Has every instance asked at the same time.
async fn bring(site: &Site, work: Work, lasts: Duration) -> (usize, usize) {
    let instances = (0..site.instances.len()).map(|instance| site.bring(instance, work, lasts));
    let counts = futures_util::future::join_all(instances).await;
    let sum = |all: (usize, usize), one: (usize, usize)| (all.0 + one.0, all.1 + one.1);
    counts.into_iter().fold((0, 0), sum)
}

/// What reached an upstream from instances that had passed on an answer with a limit.
fn told(site: &Site, seat: &Seat) -> Vec<Arrival> {
    let mut arrivals = site.ledger.arrivals();
    arrivals.retain(|arrival| arrival.worker == seat.worker.name);
    let mut first: BTreeMap<String, Instant> = BTreeMap::new();
    let instance = |arrival: &Arrival| arrival.run.split('-').next().unwrap_or("").to_owned();
    for arrival in arrivals.iter().filter(|arrival| arrival.limit.is_some()) {
        first.entry(instance(arrival)).or_insert(arrival.at);
    }
    arrivals.retain(|arrival| {
        let first = first.get(&instance(arrival));
        first.is_some_and(|first| arrival.at >= *first + TOLD)
    });
    arrivals
}

/// Requests in the fullest window.
fn fullest(arrivals: &[Arrival]) -> usize {
    let behind = |from: &Arrival| {
        let within = |other: &&Arrival| other.at >= from.at && other.at < from.at + WINDOW;
        arrivals.iter().filter(within).count()
    };
    arrivals.iter().map(behind).max().unwrap_or(0)
}

/// Work for a site of so many instances one of whose upstreams names a limit; the most that this got in a window.
fn most_within_a_limit(instances: usize, work: Work, limit: &'static str) -> usize {
    let plan = Plan {
        desks: 4,
        instances,
        ..Plan::default()
    };
    let (found, most) = std::sync::mpsc::channel();
    run(plan, async |site: Site| {
        let seat = match work {
            Work::Call | Work::Once => &site.desks[0],
            Work::Stream => &site.engines[0],
        };
        seat.worker.say(names(limit));
        let (whole, asked) = bring(&site, work, LASTS).await;
        expect_that!(whole, eq(asked), "{}", site.shortfalls());
        let _ = found.send(fullest(&told(&site, seat)));
    });
    most.recv().expect("the test ran")
}

#[gtest]
fn upstream_that_names_a_limit_gets_no_more_calls_from_one_instance() {
    let most = most_within_a_limit(1, Work::Call, "2");
    expect_that!(most, all![ge(4), le(allowed(2.0))]);
}

#[gtest]
fn upstream_that_names_a_limit_gets_no_more_calls_from_six_instances_together() {
    let most = most_within_a_limit(6, Work::Call, "1.2");
    expect_that!(most, le(allowed(1.2)));
}

#[gtest]
fn upstream_that_names_a_limit_gets_no_more_streams() {
    let most = most_within_a_limit(2, Work::Stream, "1.2");
    expect_that!(most, le(allowed(1.2)));
}

#[gtest]
fn calls_beyond_the_limits_of_all_upstreams_are_refused_at_once() {
    let plan = Plan {
        instances: 2,
        ..Plan::default()
    };
    run(plan, async |site: Site| {
        for seat in &site.desks {
            seat.worker.say(names("2"));
        }
        let (whole, asked) = bring(&site, Work::Call, LASTS).await;
        for seat in &site.desks {
            expect_that!(fullest(&told(&site, seat)), le(allowed(2.0)));
        }
        // Four fifths of what both take.
        let served = 0.8 * 2.0 * 2.0 * LASTS.as_secs_f64();
        expect_that!(whole, ge(served as usize));
        // Callers that were kept waiting would have asked far less often.
        expect_that!(asked, ge(whole * 3));
    });
}

#[gtest]
fn upstream_that_names_no_limit_any_more_is_used_again() {
    let plan = Plan {
        instances: 2,
        ..Plan::default()
    };
    run(plan, async |site: Site| {
        let seat = &site.desks[0];
        seat.worker.say(names("1"));
        bring(&site, Work::Call, Duration::from_secs(5)).await;
        seat.worker.say(Remark::default());
        bring(&site, Work::Call, LIFTED).await;
        let since = Instant::now();
        bring(&site, Work::Call, Duration::from_secs(2)).await;
        sleep(Duration::from_millis(100)).await;
        for instance in 0..site.instances.len() {
            let own = format!("i{instance}-");
            let arrivals = site.ledger.arrivals();
            let here = arrivals.iter().filter(|arrival| {
                let there = arrival.worker == seat.worker.name && arrival.at >= since;
                there && arrival.run.starts_with(&own)
            });
            expect_that!(here.count(), ge(20), "instance {instance}");
        }
    });
}
