//! Pacing of datagrams by the rate of the link.

use {
    googletest::prelude::*,
    std::time::{Duration, Instant},
    wellplank_node::pacer::Pacer,
};

/// Size of a datagram, in bytes.
const DATAGRAM: usize = 1_300;

/// Guards against bursts of many small messages: each was below the burst that a link queues, so none was followed by a pause,
/// and the link of 20 Mbit/s dropped what was beyond its queue.
#[gtest]
fn many_small_messages_are_paced_like_one_large() {
    let mut pacer = Pacer::new(20.0);
    let start = Instant::now();
    let mut now = start;
    for _ in 0..1_000 {
        now += pacer.record(DATAGRAM, now);
    }
    // 1.3 MB at seven tenths of 20 Mbit/s, less the burst.
    let elapsed = now - start;
    expect_that!(elapsed, ge(Duration::from_millis(700)));
    expect_that!(elapsed, le(Duration::from_millis(760)));
}

#[gtest]
fn single_datagrams_are_sent_at_once() {
    let mut pacer = Pacer::new(20.0);
    let mut now = Instant::now();
    for _ in 0..100 {
        expect_that!(pacer.record(DATAGRAM, now), eq(Duration::ZERO));
        now += Duration::from_millis(10);
    }
}
