//! What an instance concludes of the store from its calls.

use {
    googletest::prelude::*,
    wellplank_core::{clock::Time, outage::Outage},
};

/// Time between two writes of an upstream's entry.
const HEARTBEAT_MS: u64 = 1_200;

/// Calls that ended at some times, answered or not.
fn outage(calls: &[(u64, bool)]) -> Outage {
    let mut outage = Outage::new(HEARTBEAT_MS);
    for (at, answered) in calls {
        if *answered {
            outage.answer(Time(*at));
        } else {
            outage.fail();
        }
    }
    outage
}

#[gtest]
fn call_that_fails_between_answered_ones_is_no_outage() {
    let outage = outage(&[(1_000, true), (2_000, false), (2_300, true)]);
    expect_that!(outage.believed_ms(Time(2_300)), eq(0));
    expect_that!(outage.doubts(Time(2_300)), eq(false));
}

#[gtest]
fn time_without_calls_is_no_outage() {
    let outage = outage(&[(1_000, true), (11_000, true)]);
    expect_that!(outage.believed_ms(Time(11_000)), eq(0));
}

#[gtest]
fn missing_entries_are_believed_for_two_seconds_from_the_first_answer_of_any_call() {
    let outage = outage(&[(1_000, true), (2_600, false), (9_000, true), (10_500, true)]);
    expect_that!(outage.believed_ms(Time(9_000)), eq(2_000));
    expect_that!(outage.believed_ms(Time(10_500)), eq(500));
    expect_that!(outage.believed_ms(Time(15_000)), eq(0));
}

#[gtest]
fn outage_is_noticed_before_it_ends() {
    let outage = outage(&[(1_000, true), (2_600, false)]);
    expect_that!(outage.doubts(Time(2_600)), eq(false));
    expect_that!(outage.doubts(Time(3_400)), eq(true));
}

#[gtest]
fn call_that_fails_late_behind_the_return_begins_no_other_outage() {
    let outage = outage(&[
        (1_000, true),
        (2_600, false),
        (9_000, true),
        (9_500, false),
        (9_800, true),
    ]);
    expect_that!(outage.believed_ms(Time(10_000)), eq(1_000));
}

#[gtest]
fn instance_that_was_never_answered_knows_no_entries_that_went() {
    let outage = outage(&[(1_000, false), (9_000, true)]);
    expect_that!(outage.believed_ms(Time(9_000)), eq(0));
}
