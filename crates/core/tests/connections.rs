//! Connections of clients that send too much or nothing: which one is closed for the others.

use {
    googletest::prelude::*,
    wellplank_core::{
        clock::Time,
        connections::{Bounds, Connections, Key, Opened, STALL_MS},
    },
};

const BOUNDS: Bounds = Bounds {
    connections: 3,
    heads_bytes: 1_000,
};

/// Connections that were opened a millisecond apart.
fn filled() -> (Connections, Vec<Key>) {
    let mut connections = Connections::new(BOUNDS);
    let keys = (0..BOUNDS.connections as u64).map(|at| match connections.open(Time(at)) {
        Opened::Kept(key, None) => key,
        other => panic!("{other:?} below the bound"),
    });
    let keys = keys.collect();
    (connections, keys)
}

/// The connection that is closed for a new one, if any.
fn closed_for_another(connections: &mut Connections, at: u64) -> Option<Key> {
    match connections.open(Time(at)) {
        Opened::Kept(_, closed) => closed,
        Opened::Refused => None,
    }
}

/// Load: connections that say nothing, as many as an instance keeps, and a client that behaves behind them.
#[gtest]
fn longest_silent_connection_is_closed_for_a_new_one() {
    let (mut connections, keys) = filled();
    expect_that!(connections.receive(keys[0], 10, Time(10)), none());
    expect_that!(closed_for_another(&mut connections, 11), some(eq(keys[1])));
    expect_that!(connections.count(), eq(BOUNDS.connections));
}

/// Load: bodies that stop, on all connections.
#[gtest]
fn connection_whose_body_stops_may_be_closed() {
    let (mut connections, keys) = filled();
    for key in &keys {
        connections.hold(*key);
    }
    expect_that!(closed_for_another(&mut connections, 11), some(eq(keys[0])));
}

/// Load: requests at work on all connections.
#[gtest]
fn connection_with_a_request_at_work_is_never_closed() {
    let (mut connections, keys) = filled();
    for key in &keys {
        connections.hold(*key);
        connections.finish_read(*key);
    }
    expect_that!(connections.open(Time(11)), eq(Opened::Refused));
    connections.release(keys[2], Time(12));
    expect_that!(closed_for_another(&mut connections, 13), some(eq(keys[2])));
}

/// Load: answers that nobody reads, beside one that is read slowly.
#[gtest]
fn connection_with_an_answer_is_closed_only_once_nothing_of_it_is_taken() {
    let (mut connections, keys) = filled();
    for key in &keys {
        connections.set_blocked(*key, true, Time(10));
    }
    connections.set_blocked(keys[0], false, Time(1_500));
    connections.set_blocked(keys[0], true, Time(1_501));
    expect_that!(connections.open(Time(1_600)), eq(Opened::Refused));
    expect_that!(
        closed_for_another(&mut connections, 10 + STALL_MS),
        some(eq(keys[1]))
    );
}

/// Load: whole answers that nobody reads, beside a stream that its upstream goes on with.
#[gtest]
fn stalled_answers_are_closed_and_streams_at_work_are_not() {
    let (mut connections, keys) = filled();
    connections.set_blocked(keys[0], true, Time(10));
    connections.hold(keys[1]);
    connections.finish_read(keys[1]);
    connections.set_blocked(keys[1], true, Time(10));
    expect_that!(
        connections.close_stalled(Time(9 + STALL_MS)),
        elements_are![]
    );
    expect_that!(
        connections.close_stalled(Time(10 + STALL_MS)),
        elements_are![eq(&keys[0])]
    );
}

/// Load: a stream, which is held on behind the end of its handler.
#[gtest]
fn connection_rests_behind_the_last_holder() {
    let (mut connections, keys) = filled();
    connections.hold(keys[0]);
    connections.hold(keys[0]);
    connections.release(keys[0], Time(5));
    expect_that!(connections.unfinished_head(keys[0]), none());
    connections.release(keys[0], Time(6));
    expect_that!(connections.unfinished_head(keys[0]), some(eq(0)));
}

/// Load: heads that do not end, each below its own bound.
#[gtest]
fn largest_head_is_closed_where_all_exceed_their_bound() {
    let (mut connections, keys) = filled();
    expect_that!(connections.receive(keys[0], 400, Time(5)), none());
    expect_that!(connections.receive(keys[1], 500, Time(5)), none());
    expect_that!(
        connections.receive(keys[2], 200, Time(5)),
        some(eq(keys[1]))
    );
    expect_that!(connections.heads_bytes(), eq(600));
}

/// Bytes of a head no longer count once it is complete, nor those of a body.
#[gtest]
fn complete_heads_do_not_count() {
    let (mut connections, keys) = filled();
    connections.receive(keys[0], 900, Time(5));
    connections.hold(keys[0]);
    expect_that!(connections.heads_bytes(), eq(0));
    expect_that!(connections.receive(keys[0], 5_000, Time(6)), none());
    connections.remove(keys[0]);
    expect_that!(connections.heads_bytes(), eq(0));
}
