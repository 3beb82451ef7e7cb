//! A short soak with a fixed seed, and those that ever failed.

use {
    googletest::prelude::*,
    std::time::Duration,
    wellplank_standin::{
        leaving, returning,
        soak::{self, Outcome, Plan},
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

/// Instances ended by themselves when upstreams whose entries had gone started again under their names within 50 ms, and
/// cut all their streams.
#[gtest]
fn upstreams_that_come_back_at_once_end_no_instance() {
    let plan = Plan {
        engines: 12,
        instances: 6,
        lasts: Duration::from_secs(30),
        seed: 1,
    };
    check(plan.seed, returning::run(plan));
}
