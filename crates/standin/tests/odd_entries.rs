//! Odd entries that another writer leaves among those of upstreams, on real processes.

use {
    googletest::prelude::*,
    std::{
        sync::{Mutex, PoisonError},
        time::Duration,
    },
    wellplank_standin::{
        odd_entries::{self, Kind},
        soak::Plan,
    },
};

/// Time within which an upstream that joins beside odd entries must have had a request, in milliseconds.
const JOIN_MS: u64 = 2_000;

/// Keeps runs apart: the stand-in of the store is slow with long entries, and a read that takes too long is begun again.
static ALONE: Mutex<()> = Mutex::new(());

fn expect_followed(kind: Kind, is_away: bool) {
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let plan = Plan {
        engines: 6,
        instances: 6,
        lasts: Duration::ZERO,
        seed: 1,
    };
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let outcome = runtime.block_on(odd_entries::run(plan, kind, is_away));
    runtime.shutdown_background();
    expect_that!(outcome.ends, is_empty());
    expect_that!(outcome.behind, is_empty());
    expect_that!(outcome.join_ms, le(JOIN_MS));
    expect_that!(outcome.served, gt(0));
}

/// Processes that read an entry which they can not decode ended, or stopped following the list.
#[gtest]
fn odd_entries_end_no_process_and_keep_no_upstream_from_work() {
    expect_followed(Kind::Invalid, false);
}

/// The same where such entries come while the store is away.
#[gtest]
fn odd_entries_of_an_outage_end_no_process_at_the_return_of_the_store() {
    expect_followed(Kind::Invalid, true);
}

/// The same with valid entries of 2^32 - 1 slots at an address where nothing listens.
#[gtest]
fn entries_of_absurd_size_end_no_process_and_keep_no_upstream_from_work() {
    expect_followed(Kind::Absurd, false);
}
