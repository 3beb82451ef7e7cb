//! Instances that come back beside short outgoing connections from the range of their ports, as real processes.
//!
//! Apart from other tests in a file: the connections of this one have ports for a minute behind their end.

use {
    googletest::prelude::*,
    std::time::Duration,
    wellplank_standin::{collision, soak::Plan},
};

const PLAN: Plan = Plan {
    engines: 3,
    instances: 6,
    lasts: Duration::from_secs(8),
    seed: 1,
};

/// Short connections a second.
const RATE: u32 = 500;

/// Processes that came back beside short connections ended at their start, since the ports of connections that have closed
/// stay taken for a minute.
#[gtest]
fn processes_that_come_back_beside_short_connections_do_not_end_at_their_start() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let outcome = runtime.block_on(collision::churn(PLAN, RATE));
    runtime.shutdown_background();
    expect_that!(outcome.ends, is_empty());
    expect_that!(outcome.reset_by_ends, eq(0));
    expect_that!(outcome.starts, gt(0));
    expect_that!(outcome.served, gt(0));
}
