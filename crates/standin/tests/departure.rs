//! The rule on upstreams that leave, and what it excuses.

use {
    googletest::prelude::*,
    wellplank_core::{availability::Span, clock::Time, incarnation::Incarnation},
    wellplank_standin::departure::{Arrival, Record, Rule, Scope},
};

/// When the store takes the word of the upstream.
const TAKEN: Time = Time(10_000);

/// A record of one upstream that leaves, with some disturbances before.
fn record(disturbances: &[(Scope, u64, u64)]) -> Record {
    let rule = Rule {
        calm_ms: 3_000,
        leave_ms: 2_000,
    };
    let mut record = Record::new(rule);
    for (scope, from, to) in disturbances {
        let span = Span {
            from: Time(*from),
            to: Time(*to),
        };
        record.disturb(*scope, span);
    }
    record.take(life(5), TAKEN);
    record
}

/// The upstream in a life that began at a time.
fn life(born: u64) -> Incarnation {
    Incarnation::new("engine", born)
}

/// A request of instance 1 over link 2.
fn arrival(at: u64) -> Arrival {
    Arrival {
        at: Time(at),
        instance: 1,
        life: life(5),
        link: 2,
        run: "run".into(),
    }
}

#[gtest]
fn another_life_is_not_the_one_that_leaves() {
    let other = Arrival {
        life: life(6),
        ..arrival(15_000)
    };
    expect_that!(record(&[]).late_ms(&other), none());
}

#[gtest]
fn disturbed_instance_is_bound_once_it_was_calm_for_long_enough() {
    let record = record(&[(Scope::Instance(1), 9_000, 10_500)]);
    expect_that!(record.late_ms(&arrival(13_499)), none());
    expect_that!(record.late_ms(&arrival(13_500)), some(eq(3_500)));
}

#[gtest]
fn disturbed_link_excuses_what_comes_over_it() {
    let record = record(&[(Scope::Link(2), 11_000, 12_000)]);
    expect_that!(record.late_ms(&arrival(14_999)), none());
    expect_that!(record.late_ms(&arrival(15_000)), some(eq(5_000)));
}

#[gtest]
fn disturbance_of_others_excuses_nothing() {
    let record = record(&[
        (Scope::Instance(0), 9_000, 14_000),
        (Scope::Link(1), 9_000, 14_000),
    ]);
    expect_that!(record.late_ms(&arrival(12_001)), some(eq(2_001)));
}

#[gtest]
fn request_is_late_behind_the_bound_only() {
    expect_that!(record(&[]).late_ms(&arrival(12_000)), none());
    expect_that!(record(&[]).late_ms(&arrival(12_001)), some(eq(2_001)));
}

#[gtest]
fn word_that_a_disturbed_store_took_binds_nobody() {
    let record = record(&[(Scope::Store, 6_000, 7_500)]);
    expect_that!(record.late_ms(&arrival(20_000)), none());
}

#[gtest]
fn life_that_is_entered_again_may_get_work() {
    let mut record = record(&[]);
    record.take_back(life(5), Time(13_000));
    expect_that!(record.late_ms(&arrival(12_999)), some(eq(2_999)));
    expect_that!(record.late_ms(&arrival(13_000)), none());
}
