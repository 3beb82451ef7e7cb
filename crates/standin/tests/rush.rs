//! More calls than plain services hold, in virtual time, at fleets of several sizes.

use {
    googletest::prelude::*,
    wellplank_core::settings::Calls,
    wellplank_standin::rush::{self, Outcome, Plan},
};

/// A rush of some times the usual calls before six upstreams of six slots.
fn rush(instances: usize, load: f64, demand: bool) -> Outcome {
    rush::run(Plan {
        calls: Calls {
            demand,
            ..Calls::default()
        },
        instances,
        load,
        seed: 1,
        ..Plan::default()
    })
}

#[gtest]
fn as_many_calls_are_in_time_at_six_times_the_load_as_at_two() {
    for instances in [1, 6, 74] {
        let two = rush(instances, 2.0, true);
        let six = rush(instances, 6.0, true);
        expect_that!(
            six.in_time * 100,
            ge(two.in_time * 90),
            "{instances} instances"
        );
    }
}

#[gtest]
fn many_instances_answer_nearly_as_many_calls_in_time_as_one() {
    let one = rush(1, 3.0, true);
    let many = rush(74, 3.0, true);
    expect_that!(many.in_time * 100, ge(one.in_time * 90));
}

#[gtest]
fn windows_kept_alone_answer_half_as_many_in_time() {
    let alone = rush(74, 4.0, false);
    let together = rush(74, 4.0, true);
    expect_that!(alone.in_time * 2, lt(together.in_time));
}

#[gtest]
fn upstreams_turn_away_few_of_what_they_are_sent() {
    let three = rush(74, 3.0, true);
    expect_that!(three.turned_away * 50, lt(three.arrivals));
    let alone = rush(74, 3.0, false);
    expect_that!(alone.turned_away * 10, gt(alone.arrivals));
}

#[gtest]
fn nothing_is_refused_while_the_slots_serve_it() {
    for instances in [1, 6, 74] {
        let outcome = rush(instances, 1.0, true);
        expect_that!(outcome.refused, eq(0), "{instances} instances");
        expect_that!(
            outcome.in_time * 100,
            ge(outcome.asked * 99),
            "{instances} instances"
        );
    }
}

#[gtest]
fn small_services_are_shared_like_large_ones() {
    for slots in [1, 30] {
        let plan = |load| Plan {
            calls: Calls::default(),
            instances: 40,
            load,
            seed: 1,
            slots,
            ..Plan::default()
        };
        let two = rush::run(plan(2.0));
        let four = rush::run(plan(4.0));
        expect_that!(four.in_time * 100, ge(two.in_time * 80), "{slots} slots");
    }
}

#[gtest]
fn ceiling_is_above_what_is_reached() {
    let plan = Plan {
        calls: Calls::default(),
        instances: 1,
        load: 4.0,
        seed: 1,
        ..Plan::default()
    };
    expect_that!(rush::ceiling(plan).in_time, ge(rush::run(plan).in_time));
}

/// Answers are wanted within five times what a call takes: a fixed number of calls for each slot leaves places idle by chance, while a
/// lone instance does not see what waits in its own queue.
#[gtest]
fn calls_under_way_by_the_time_wanted_leave_few_late_and_none_idle() {
    let run = |wait, instances| {
        rush::run(Plan {
            calls: Calls {
                wait,
                ..Calls::default()
            },
            instances,
            load: 3.0,
            seed: 1,
            ..Plan::default()
        })
    };
    let (fixed, wanted) = (run(0.0, 74), run(0.6, 74));
    expect_that!(wanted.in_time + wanted.late, gt(fixed.in_time + fixed.late));
    let lone = run(0.6, 1);
    expect_that!(lone.late * 4, lt(lone.in_time));
}
