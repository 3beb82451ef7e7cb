//! Instances that start while an outgoing connection has a port of theirs, or had it a moment ago, as real processes.

use {
    googletest::prelude::*,
    std::time::Duration,
    wellplank_standin::{
        collision::{self, Held},
        soak::Plan,
    },
};

/// Time for which a connection has a port.
const HELD: Duration = Duration::from_secs(1);

fn plan(instances: usize, lasts_s: u64) -> Plan {
    Plan {
        engines: 3,
        instances,
        lasts: Duration::from_secs(lasts_s),
        seed: 1,
    }
}

/// Each process ended 20 ms behind its start, and so did the next one, until the connection had closed.
#[gtest]
fn process_whose_port_a_connection_has_does_not_end_at_its_start() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    for held in Held::ALL {
        let outcome = runtime.block_on(collision::hold(plan(1, 0), held, HELD));
        expect_that!(outcome.ends, is_empty(), "{held:?}");
        expect_that!(outcome.reset_by_ends, eq(0), "{held:?}");
        expect_that!(outcome.served, gt(0), "{held:?}");
    }
    runtime.shutdown_background();
}

/// Processes that came back beside short connections ended at their start, since the ports of connections that have closed
/// stay taken for a minute.
#[gtest]
fn processes_that_come_back_beside_short_connections_do_not_end_at_their_start() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let outcome = runtime.block_on(collision::churn(plan(6, 8), 500));
    runtime.shutdown_background();
    expect_that!(outcome.ends, is_empty());
    expect_that!(outcome.reset_by_ends, eq(0));
    expect_that!(outcome.starts, gt(0));
    expect_that!(outcome.served, gt(0));
}
