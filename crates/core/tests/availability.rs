//! What an instance concludes of the store from its calls.

use {
    googletest::prelude::*,
    wellplank_core::{
        availability::{Availability, Span},
        clock::Time,
    },
};

/// Time between two writes of an upstream's entry.
const HEARTBEAT_MS: u64 = 1_200;

/// Calls that ended at some times, answered or not.
fn absence(calls: &[(u64, bool)]) -> Availability {
    let mut absence = Availability::new(HEARTBEAT_MS);
    for (at, answered) in calls {
        if *answered {
            absence.record_success(Time(*at));
        } else {
            absence.record_failure(Time(*at), Time(*at));
        }
    }
    absence
}

#[gtest]
fn call_that_fails_between_answered_ones_is_no_outage() {
    let absence = absence(&[(1_000, true), (2_000, false), (2_300, true)]);
    expect_that!(absence.grace_ms(Time(2_300)), eq(0));
    expect_that!(absence.outage(), none());
}

#[gtest]
fn time_without_calls_is_no_outage() {
    let absence = absence(&[(1_000, true), (11_000, true)]);
    expect_that!(absence.grace_ms(Time(11_000)), eq(0));
}

#[gtest]
fn missing_entries_are_believed_for_two_seconds_from_the_first_answer_of_any_call() {
    let absence = absence(&[(1_000, true), (2_600, false), (9_000, true), (10_500, true)]);
    expect_that!(absence.grace_ms(Time(9_000)), eq(2_000));
    expect_that!(absence.grace_ms(Time(10_500)), eq(500));
    expect_that!(absence.grace_ms(Time(15_000)), eq(0));
}

#[gtest]
fn absence_that_another_instance_tells_of_is_shared_by_one_without_answers_meanwhile() {
    let absence = absence(&[(1_000, true), (9_000, true)]);
    let away = |from, to| Span {
        from: Time(from),
        to: Time(to),
    };
    expect_that!(
        absence.is_shared_outage(away(2_000, 8_500), Time(9_100)),
        eq(true)
    );
    expect_that!(
        absence.is_shared_outage(away(7_000, 12_000), Time(12_100)),
        eq(true)
    );
    // Only 2 s of it were without an answer here, and no entry goes so soon.
    expect_that!(
        absence.is_shared_outage(away(7_000, 11_000), Time(11_100)),
        eq(false)
    );
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
    expect_that!(absence.grace_ms(Time(10_000)), eq(1_000));
}

#[gtest]
fn calls_that_began_before_the_first_answer_behind_a_failure_may_have_been_taken_by_a_silent_store()
{
    let absence = absence(&[(1_000, true), (2_600, false), (4_000, true), (5_000, true)]);
    expect_that!(absence.recovered_at(), some(eq(Time(4_000))));
}

#[gtest]
fn instance_that_starts_without_the_store_believes_entries_that_go_just_behind_its_return() {
    let absence = absence(&[(1_000, false), (1_500, true)]);
    expect_that!(absence.grace_ms(Time(1_500)), eq(2_000));
}

#[gtest]
fn call_that_is_lost_while_the_store_answers_others_is_no_absence() {
    let mut absence = absence(&[(1_000, true)]);
    for at in [1_800, 2_800] {
        absence.record_peer_success(Time(at));
    }
    absence.record_failure(Time(3_600), Time(3_600));
    absence.record_success(Time(3_850));
    expect_that!(absence.outage(), none());
}

#[gtest]
fn answer_that_another_instance_tells_late_ends_no_absence() {
    let mut absence = absence(&[(1_000, true), (1_900, false), (2_200, false)]);
    // It stood still while the store was away, and tells what it was answered before.
    absence.record_peer_success(Time(2_700));
    absence.record_failure(Time(3_200), Time(3_200));
    absence.record_success(Time(4_400));
    expect_that!(absence.grace_ms(Time(4_400)), eq(2_000));
}

#[gtest]
fn absence_that_another_instance_saw_end_first_is_one() {
    let mut absence = absence(&[(1_000, true), (2_600, false)]);
    absence.record_peer_success(Time(9_000));
    absence.record_success(Time(9_300));
    expect_that!(absence.grace_ms(Time(9_300)), eq(1_700));
}

#[gtest]
fn absence_that_only_another_instance_s_answer_ends_is_noticed_by_a_call_that_fails_late() {
    let mut absence = absence(&[(1_000, true)]);
    absence.record_peer_success(Time(9_000));
    absence.record_failure(Time(9_200), Time(9_200));
    expect_that!(absence.grace_ms(Time(9_200)), eq(1_800));
}

#[gtest]
fn call_that_a_silent_store_took_before_its_return_shows_no_other_absence() {
    let mut absence = absence(&[(1_000, true), (2_600, false), (9_000, true)]);
    absence.record_failure(Time(8_990), Time(9_690));
    absence.record_success(Time(10_400));
    expect_that!(absence.grace_ms(Time(10_400)), eq(600));
}

#[gtest]
fn call_that_was_refused_behind_an_answer_begins_an_absence() {
    let mut absence = absence(&[(1_000, true)]);
    absence.record_failure(Time(1_500), Time(1_500));
    absence.record_success(Time(4_000));
    expect_that!(absence.grace_ms(Time(4_000)), eq(2_000));
}

#[gtest]
fn time_without_an_absence_begins_with_the_answer_that_ended_the_last() {
    let mut absence = absence(&[(1_000, true), (2_000, true), (3_500, true)]);
    expect_that!(absence.uptime_ms(), eq(2_500));
    absence.record_success(Time(6_000));
    expect_that!(absence.uptime_ms(), eq(0));
    absence.record_success(Time(6_500));
    expect_that!(absence.uptime_ms(), eq(500));
}

#[gtest]
fn return_from_an_older_copy_ends_the_time_without_an_absence() {
    let mut absence = absence(&[(1_000, true), (2_000, true)]);
    absence.observe_era(1, Time(2_500));
    absence.record_success(Time(2_500));
    expect_that!(absence.uptime_ms(), eq(0));
}
