//! Announcements of ended incarnations: repeated, so that a lost datagram does not matter, and bounded.

use {
    googletest::prelude::*,
    std::time::{Duration, Instant},
    wellplank_core::incarnation::Incarnation,
    wellplank_node::ended_announcements::{EndedAnnouncements, chunks},
};

/// Ended incarnations of so many upstreams.
fn ended(count: u64) -> Vec<Incarnation> {
    (0..count)
        .map(|number| Incarnation::new(&format!("runner-{number}"), 5))
        .collect()
}

/// Guards against an end that instances whose datagram was lost learn only by meeting it.
#[gtest]
fn announcement_is_repeated_with_the_next_datagrams() {
    let mut announcements = EndedAnnouncements::default();
    let now = Instant::now();
    announcements.announce(&ended(1), now);
    expect_that!(announcements.repeat(now).len(), eq(1));
    expect_that!(announcements.repeat(now).len(), eq(1));
    expect_that!(announcements.repeat(now), is_empty());
}

/// Guards against datagrams that grow with the number of ends: a data centre of engines ends at once.
#[gtest]
fn repeats_are_few_per_datagram_and_all_have_their_turn() {
    let mut announcements = EndedAnnouncements::default();
    let now = Instant::now();
    announcements.announce(&ended(30), now);
    let mut repeated = Vec::new();
    for _ in 0..20 {
        let datagram = announcements.repeat(now);
        expect_that!(datagram.len(), le(8));
        repeated.extend(datagram.iter().map(|life| life.id));
    }
    expect_that!(repeated.len(), eq(60));
    repeated.sort_unstable();
    repeated.dedup();
    expect_that!(repeated.len(), eq(30));
}

/// Guards against old announcements that are repeated for as long as nothing else is sent.
#[gtest]
fn old_announcement_is_not_repeated() {
    let mut announcements = EndedAnnouncements::default();
    let now = Instant::now();
    announcements.announce(&ended(1), now);
    let later = now + Duration::from_secs(6);
    expect_that!(announcements.repeat(later), is_empty());
}

/// Guards against a storm: what another instance announced is kept for instances that start, and not forwarded.
#[gtest]
fn learnt_end_is_kept_and_not_repeated() {
    let mut announcements = EndedAnnouncements::default();
    announcements.learn(&ended(3));
    announcements.learn(&ended(3));
    expect_that!(announcements.repeat(Instant::now()), is_empty());
    let known: usize = announcements.chunks().iter().map(Vec::len).sum();
    expect_that!(known, eq(3));
}

/// Guards against datagrams that are fragmented or cut off.
#[gtest]
fn ends_of_a_data_centre_share_datagrams_that_are_not_fragmented() {
    let chunks = chunks(&ended(90));
    expect_that!(chunks.len(), eq(3));
    expect_that!(chunks, each(len(le(40))));
}
