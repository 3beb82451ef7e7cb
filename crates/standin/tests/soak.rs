//! A short soak with a fixed seed, and those that ever failed.

use {
    googletest::prelude::*,
    std::time::Duration,
    wellplank_standin::soak::{self, Plan},
};

fn run(seed: u64) {
    let plan = Plan {
        engines: 5,
        instances: 3,
        lasts: Duration::from_secs(5),
        seed,
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    let outcome = runtime.block_on(soak::run(plan));
    runtime.shutdown_background();
    expect_that!(outcome.violations, is_empty(), "seed {seed}");
    expect_that!(outcome.requests, gt(0));
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
