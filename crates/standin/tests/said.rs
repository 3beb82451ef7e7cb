//! The rules on what upstreams say beside their answers, and what they excuse.

use {
    googletest::prelude::*,
    wellplank_core::{availability::Span, clock::Time, incarnation::Incarnation},
    wellplank_standin::{
        departure::{Arrival, Scope},
        said::{Refusal, Said},
    },
};

/// When instance 1 passes on that the upstream leaves, and when the upstream asks it for rest.
const SAID: Time = Time(10_000);

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

/// A word of the upstream to instance 1, with some disturbances.
fn said(disturbances: &[(Scope, u64, u64)]) -> Said {
    let mut said = Said::default();
    for (scope, from, to) in disturbances {
        let span = Span {
            from: Time(*from),
            to: Time(*to),
        };
        said.disturb(*scope, span);
    }
    said.hear(1, life(5), SAID);
    said.hear(1, life(5), Time(11_000));
    said
}

/// How many of some requests come within a rest of 3 s.
fn within(said: &Said, arrivals: &[Arrival]) -> usize {
    let refusal = Refusal {
        arrival: arrival(SAID.0),
        rest_ms: 3_000,
    };
    said.within(&refusal, arrivals).len()
}

#[gtest]
fn request_is_late_behind_the_bound_only() {
    let late = |sent| said(&[]).late_ms(&arrival(sent + 5), Time(sent));
    expect_that!(late(12_000), none());
    expect_that!(late(12_001), some(eq(2_001)));
    expect_that!(late(90_000), some(eq(80_000)));
}

#[gtest]
fn request_that_was_sent_in_time_and_waited_is_not_late() {
    let late = said(&[]).late_ms(&arrival(15_000), Time(11_900));
    expect_that!(late, none());
}

#[gtest]
fn word_binds_who_passed_it_on_and_speaks_of_one_life() {
    let other = Arrival {
        instance: 0,
        ..arrival(15_005)
    };
    expect_that!(said(&[]).late_ms(&other, Time(15_000)), none());
    let next = Arrival {
        life: life(6),
        ..arrival(15_005)
    };
    expect_that!(said(&[]).late_ms(&next, Time(15_000)), none());
}

#[gtest]
fn stop_of_the_instance_since_then_excuses_a_late_request() {
    let late = |scope, from, to| {
        let said = said(&[(scope, from, to)]);
        said.late_ms(&arrival(15_005), Time(15_000))
    };
    expect_that!(late(Scope::Instance(1), 12_000, 13_000), none());
    expect_that!(late(Scope::Instance(1), 8_000, 9_000), some(eq(5_000)));
    expect_that!(late(Scope::Instance(0), 12_000, 13_000), some(eq(5_000)));
    expect_that!(late(Scope::Link(2), 12_000, 13_000), some(eq(5_000)));
    expect_that!(late(Scope::Store, 9_000, 16_000), some(eq(5_000)));
}

#[gtest]
fn rest_counts_requests_between_those_that_cross_and_its_end() {
    let arrivals = [10_100, 10_499, 10_500, 12_999, 13_000].map(arrival);
    expect_that!(within(&said(&[]), &arrivals), eq(2));
}

#[gtest]
fn rest_counts_requests_of_the_instance_that_was_asked_at_the_life_that_asked() {
    let other = Arrival {
        instance: 0,
        ..arrival(11_000)
    };
    let next = Arrival {
        life: life(6),
        ..arrival(11_000)
    };
    let arrivals = [other, next, arrival(11_000)];
    expect_that!(within(&said(&[]), &arrivals), eq(1));
}

#[gtest]
fn stop_or_disturbed_link_excuses_requests_within_a_rest() {
    let count = |scope, from, to| within(&said(&[(scope, from, to)]), &[arrival(11_000)]);
    expect_that!(count(Scope::Instance(1), 12_000, 12_500), eq(0));
    expect_that!(count(Scope::Link(2), 9_000, 10_000), eq(0));
    expect_that!(count(Scope::Instance(1), 13_001, 14_000), eq(1));
    expect_that!(count(Scope::Store, 9_000, 16_000), eq(1));
}
