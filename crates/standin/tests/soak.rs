//! A short soak with a fixed seed, and those that ever failed.

use {
    googletest::prelude::*,
    std::time::Duration,
    wellplank_standin::{
        leaving, returning,
        soak::{self, Outcome, Plan},
        stopping,
    },
};

fn check(seed: u64, soak: impl Future<Output = Outcome>) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    let outcome = runtime.block_on(soak);
    runtime.shutdown_background();
    expect_that!(outcome.violations, is_empty(), "seed {seed}");
    expect_that!(outcome.requests, gt(0));
}

fn run(seed: u64) {
    let plan = Plan {
        engines: 5,
        instances: 3,
        lasts: Duration::from_secs(5),
        seed,
    };
    check(seed, soak::run(plan));
}

/// A soak in which upstreams leave.
fn run_leaving(seed: u64) {
    let plan = Plan {
        engines: 8,
        instances: 7,
        lasts: Duration::from_secs(20),
        seed,
    };
    check(seed, leaving::run(plan));
}

#[gtest]
fn short_soak_breaks_nothing() {
    run(1);
}

/// Answers of the store were lost on connections that stayed: a watch waited 30 s for nothing, and two
/// instances did not learn of the last configuration.
#[gtest]
fn seed_3_watch_that_says_nothing_any_more() {
    run(3);
}

/// All waiting calls went silent 3 s before two upstreams ended their entries: these got requests for 6.2 s.
#[gtest]
fn leaving_seed_2_waiting_calls_that_say_nothing_any_more() {
    run_leaving(2);
}

/// A soak in which upstreams come back at once or soon.
fn returning_plan(seed: u64) -> Plan {
    Plan {
        engines: 12,
        instances: 6,
        lasts: Duration::from_secs(30),
        seed,
    }
}

/// Instances ended by themselves when upstreams whose entries had gone started again under their names within 50 ms, and
/// cut all their streams.
#[gtest]
fn upstreams_that_come_back_at_once_end_no_instance() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let outcome = runtime.block_on(returning::run(returning_plan(1)));
    runtime.shutdown_background();
    expect_that!(outcome.ends, eq(0), "{:?}", outcome.violations);
    expect_that!(outcome.requests, gt(0));
}

/// Streams that three upstreams had broken off as they restarted were given up at a fourth that was sound, around signals.
#[gtest]
fn upstreams_that_come_back_at_once_have_no_requests_cut_around_planned_work() {
    check(202, returning::run(returning_plan(202)));
}

/// Requests that waited in the queue of an instance whose grace period ended got neither an answer nor a refusal.
#[gtest]
fn planned_stops_leave_no_waiting_request_without_an_answer() {
    let plan = Plan {
        engines: 9,
        instances: 6,
        lasts: Duration::from_secs(22),
        seed: 1,
    };
    check(1, stopping::run(plan));
}
