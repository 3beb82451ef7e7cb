//! Outages of the store as an instance infers them from its calls.

use {
    googletest::prelude::*,
    wellplank_core::{
        availability::{Availability, Span},
        clock::Time,
    },
};

/// Interval between two writes of an upstream's entry, in milliseconds.
const HEARTBEAT_MS: u64 = 1_200;

/// The availability after calls that ended at these times, answered or not.
fn availability(calls: &[(u64, bool)]) -> Availability {
    let mut availability = Availability::new(HEARTBEAT_MS);
    for (at, answered) in calls {
        if *answered {
            availability.record_success(Time(*at));
        } else {
            availability.record_failure(Time(*at), Time(*at));
        }
    }
    availability
}

#[gtest]
fn single_failed_call_is_no_outage() {
    let availability = availability(&[(1_000, true), (2_000, false), (2_300, true)]);
    expect_that!(availability.grace_ms(Time(2_300)), eq(0));
    expect_that!(availability.outage(), none());
}

#[gtest]
fn time_without_calls_is_no_outage() {
    let availability = availability(&[(1_000, true), (11_000, true)]);
    expect_that!(availability.grace_ms(Time(11_000)), eq(0));
}

#[gtest]
fn grace_period_lasts_two_seconds_from_the_first_answer_of_any_call() {
    let availability =
        availability(&[(1_000, true), (2_600, false), (9_000, true), (10_500, true)]);
    expect_that!(availability.grace_ms(Time(9_000)), eq(2_000));
    expect_that!(availability.grace_ms(Time(10_500)), eq(500));
    expect_that!(availability.grace_ms(Time(15_000)), eq(0));
}

#[gtest]
fn reported_outage_is_shared_by_an_instance_without_answers_meanwhile() {
    let availability = availability(&[(1_000, true), (9_000, true)]);
    let outage = |from, to| Span {
        from: Time(from),
        to: Time(to),
    };
    expect_that!(
        availability.is_shared_outage(outage(2_000, 8_500), Time(9_100)),
        eq(true)
    );
    expect_that!(
        availability.is_shared_outage(outage(7_000, 12_000), Time(12_100)),
        eq(true)
    );
    // Only 2 s of it were without an answer here, too short for an entry to expire.
    expect_that!(
        availability.is_shared_outage(outage(7_000, 11_000), Time(11_100)),
        eq(false)
    );
}

#[gtest]
fn failure_noticed_after_the_return_begins_no_second_outage() {
    let availability = availability(&[
        (1_000, true),
        (2_600, false),
        (9_000, true),
        (9_500, false),
        (9_800, true),
    ]);
    expect_that!(availability.grace_ms(Time(10_000)), eq(1_000));
}

#[gtest]
fn recovery_is_the_first_answer_after_a_failure() {
    let availability = availability(&[(1_000, true), (2_600, false), (4_000, true), (5_000, true)]);
    expect_that!(availability.recovered_at(), some(eq(Time(4_000))));
}

#[gtest]
fn instance_started_during_an_outage_has_a_grace_period_after_the_return() {
    let availability = availability(&[(1_000, false), (1_500, true)]);
    expect_that!(availability.grace_ms(Time(1_500)), eq(2_000));
}

#[gtest]
fn call_lost_while_the_store_answers_peers_is_no_outage() {
    let mut availability = availability(&[(1_000, true)]);
    for at in [1_800, 2_800] {
        availability.record_peer_success(Time(at));
    }
    availability.record_failure(Time(3_600), Time(3_600));
    availability.record_success(Time(3_850));
    expect_that!(availability.outage(), none());
}

#[gtest]
fn answer_reported_late_by_a_peer_ends_no_outage() {
    let mut availability = availability(&[(1_000, true), (1_900, false), (2_200, false)]);
    // The peer was suspended during the outage and reports an answer from before it.
    availability.record_peer_success(Time(2_700));
    availability.record_failure(Time(3_200), Time(3_200));
    availability.record_success(Time(4_400));
    expect_that!(availability.grace_ms(Time(4_400)), eq(2_000));
}

#[gtest]
fn outage_that_ends_first_for_a_peer_is_an_outage() {
    let mut availability = availability(&[(1_000, true), (2_600, false)]);
    availability.record_peer_success(Time(9_000));
    availability.record_success(Time(9_300));
    expect_that!(availability.grace_ms(Time(9_300)), eq(1_700));
}

#[gtest]
fn outage_ended_only_by_a_peer_s_answer_is_noticed_by_a_late_failure() {
    let mut availability = availability(&[(1_000, true)]);
    availability.record_peer_success(Time(9_000));
    availability.record_failure(Time(9_200), Time(9_200));
    expect_that!(availability.grace_ms(Time(9_200)), eq(1_800));
}

#[gtest]
fn call_accepted_before_the_return_shows_no_second_outage() {
    let mut availability = availability(&[(1_000, true), (2_600, false), (9_000, true)]);
    availability.record_failure(Time(8_990), Time(9_690));
    availability.record_success(Time(10_400));
    expect_that!(availability.grace_ms(Time(10_400)), eq(600));
}

#[gtest]
fn call_refused_after_an_answer_begins_an_outage() {
    let mut availability = availability(&[(1_000, true)]);
    availability.record_failure(Time(1_500), Time(1_500));
    availability.record_success(Time(4_000));
    expect_that!(availability.grace_ms(Time(4_000)), eq(2_000));
}

#[gtest]
fn uptime_begins_with_the_answer_that_ended_the_last_outage() {
    let mut availability = availability(&[(1_000, true), (2_000, true), (3_500, true)]);
    expect_that!(availability.uptime_ms(), eq(2_500));
    availability.record_success(Time(6_000));
    expect_that!(availability.uptime_ms(), eq(0));
    availability.record_success(Time(6_500));
    expect_that!(availability.uptime_ms(), eq(500));
}

#[gtest]
fn restore_from_a_backup_ends_the_uptime() {
    let mut availability = availability(&[(1_000, true), (2_000, true)]);
    availability.observe_era(1, Time(2_500));
    availability.record_success(Time(2_500));
    expect_that!(availability.uptime_ms(), eq(0));
}

/// Guards against an outage that is assumed after a single failed call, such as a cut watch, and against one that is
/// missed.
#[gtest]
fn store_counts_as_away_since_its_last_answer_to_anybody() {
    let mut availability = Availability::new(HEARTBEAT_MS);
    availability.record_success(Time(10_000));
    expect_that!(availability.away_since(), none());
    availability.record_failure(Time(11_000), Time(11_000));
    expect_that!(availability.away_since(), none());
    availability.record_failure(Time(11_200), Time(11_200));
    expect_that!(availability.away_since(), some(eq(Time(10_000))));
    availability.record_peer_success(Time(11_300));
    expect_that!(availability.away_since(), none());
    availability.record_success(Time(12_000));
    expect_that!(availability.away_since(), none());
}
