//! What an instance concludes of the store from its calls.

use {
    googletest::prelude::*,
    wellplank_core::{absence::Absence, clock::Time},
};

/// Time between two writes of an upstream's entry.
const HEARTBEAT_MS: u64 = 1_200;

/// Calls that ended at some times, answered or not.
fn absence(calls: &[(u64, bool)]) -> Absence {
    let mut absence = Absence::new(HEARTBEAT_MS);
    for (at, answered) in calls {
        if *answered {
            absence.answer(Time(*at));
        } else {
            absence.fail();
        }
    }
    absence
}

#[gtest]
fn call_that_fails_between_answered_ones_is_no_outage() {
    let absence = absence(&[(1_000, true), (2_000, false), (2_300, true)]);
    expect_that!(absence.believed_ms(Time(2_300)), eq(0));
    expect_that!(absence.doubts(Time(2_300)), eq(false));
}

#[gtest]
fn time_without_calls_is_no_outage() {
    let absence = absence(&[(1_000, true), (11_000, true)]);
    expect_that!(absence.believed_ms(Time(11_000)), eq(0));
}

#[gtest]
fn missing_entries_are_believed_for_two_seconds_from_the_first_answer_of_any_call() {
    let absence = absence(&[(1_000, true), (2_600, false), (9_000, true), (10_500, true)]);
    expect_that!(absence.believed_ms(Time(9_000)), eq(2_000));
    expect_that!(absence.believed_ms(Time(10_500)), eq(500));
    expect_that!(absence.believed_ms(Time(15_000)), eq(0));
}

#[gtest]
fn outage_is_noticed_before_it_ends() {
    let absence = absence(&[(1_000, true), (2_600, false)]);
    expect_that!(absence.doubts(Time(2_600)), eq(false));
    expect_that!(absence.doubts(Time(3_400)), eq(true));
}

#[gtest]
fn call_that_fails_late_behind_the_return_begins_no_other_outage() {
    let absence = absence(&[
        (1_000, true),
        (2_600, false),
        (9_000, true),
        (9_500, false),
        (9_800, true),
    ]);
    expect_that!(absence.believed_ms(Time(10_000)), eq(1_000));
}

#[gtest]
fn calls_that_began_before_the_first_answer_behind_a_failure_may_have_been_taken_by_a_silent_store()
{
    let absence = absence(&[(1_000, true), (2_600, false), (4_000, true), (5_000, true)]);
    expect_that!(absence.recovered(), some(eq(Time(4_000))));
}

#[gtest]
fn instance_that_was_never_answered_knows_no_entries_that_went() {
    let absence = absence(&[(1_000, false), (9_000, true)]);
    expect_that!(absence.believed_ms(Time(9_000)), eq(0));
}
