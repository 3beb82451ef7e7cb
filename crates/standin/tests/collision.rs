//! Instances that start while an outgoing connection has a port of theirs, as real processes.

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

const PLAN: Plan = Plan {
    engines: 3,
    instances: 1,
    lasts: Duration::ZERO,
    seed: 1,
};

/// Each process ended 20 ms behind its start, and so did the next one, until the connection had closed.
#[gtest]
fn process_whose_port_a_connection_has_does_not_end_at_its_start() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    for held in Held::ALL {
        let outcome = runtime.block_on(collision::hold(PLAN, held, HELD));
        expect_that!(outcome.ends, is_empty(), "{held:?}");
        expect_that!(outcome.reset_by_ends, eq(0), "{held:?}");
        expect_that!(outcome.served, gt(0), "{held:?}");
    }
    runtime.shutdown_background();
}
