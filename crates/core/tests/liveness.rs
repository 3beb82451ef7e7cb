//! Judgement of single streams: what the time to leave a silent engine depends on.

use {
    googletest::prelude::*,
    wellplank_core::{
        clock::Time,
        liveness::{self, Expectation, Hints, Intervals, Pace, Prefill, Stakes},
    },
};

const NOW: Time = Time(1_800_000_000_000);

/// Shortest silence after which a stream leaves without evidence from other engines, in milliseconds.
const STALL_MS: u64 = 400;

const WITH_COPY: Stakes = Stakes {
    gap_objective_ms: 700,
    has_copy: true,
};

const WITHOUT_COPY: Stakes = Stakes {
    gap_objective_ms: 700,
    has_copy: false,
};

/// Intervals of a pool with slow engines and prefills: 36 ms, 90 ms if slow, 190 ms beside a prefill.
fn uneven() -> Intervals {
    let mut intervals = Intervals::default();
    let mut paces = [Pace::default(); 8];
    let mut now = NOW;
    for round in 0..2_000 {
        for (engine, pace) in paces.iter_mut().enumerate() {
            now = now.after(1);
            let slow = if engine == 0 { 2.5 } else { 1.0 };
            let (prefill, usual) = if round % 4 == 0 {
                (Prefill::Running, 190.0)
            } else {
                (Prefill::Idle, 36.0)
            };
            let jitter = 0.9 + 0.02 * f64::from(round % 11);
            intervals.record((usual * slow * jitter) as u64, prefill, pace, now);
        }
    }
    intervals
}

/// Silence in milliseconds after which a stream leaves.
fn leaves_after(expectation: &Expectation, hints: Hints, stakes: Stakes) -> u64 {
    let leaves = |silent_ms: &u64| {
        *silent_ms > liveness::MIN_DARK_SILENCE_MS
            && liveness::judge(*silent_ms, expectation, hints, stakes, STALL_MS).leaves
    };
    (0..10_000).step_by(5).find(leaves).expect("leaves")
}

/// Guards against a repeated prefill where an event of a slow engine is only late: without a copy the
/// stream has more to lose.
#[gtest]
fn stream_without_a_copy_waits_longer_for_an_engine_that_may_be_slow() {
    let expectation = uneven().expectation(Prefill::Running, 2.5);
    let with = leaves_after(&expectation, Hints::default(), WITH_COPY);
    let without = leaves_after(&expectation, Hints::default(), WITHOUT_COPY);
    // An event takes 475 ms there, so that one within the maximum pause is likely until shortly before
    // its end, and nothing is lost by waiting beyond it.
    expect_that!(with, ge(700));
    expect_that!(without, ge(with + 100));
}

/// Guards against a long wait without a copy where the engine is certainly dead: callers leave after
/// some seconds.
#[gtest]
fn stream_without_a_copy_leaves_a_dead_engine_in_time() {
    let expectation = uneven().expectation(Prefill::Idle, 1.0);
    expect_that!(
        leaves_after(&expectation, Hints::default(), WITHOUT_COPY),
        le(700)
    );
}

/// Guards against a resume that begins too late for the maximum pause.
#[gtest]
fn stream_with_a_copy_leaves_in_time_for_the_maximum_pause() {
    for prefill in [Prefill::Idle, Prefill::Recent, Prefill::Running] {
        let expectation = uneven().expectation(prefill, 1.0);
        let millis = leaves_after(&expectation, Hints::default(), WITH_COPY);
        expect_that!(millis, le(560), "{prefill:?}");
    }
}

/// Guards against losses in a data centre that do not count for its other engines.
#[gtest]
fn losses_nearby_make_a_stream_leave_earlier() {
    let expectation = uneven().expectation(Prefill::Idle, 1.0);
    let mut hints = Hints::default();
    let alone = leaves_after(&expectation, hints, WITH_COPY);
    hints.neighbourhood.add_lost();
    hints.neighbourhood.add_lost();
    expect_that!(
        leaves_after(&expectation, hints, WITH_COPY),
        le(alone - 100)
    );
    // Events of others show that the data centre is not dark.
    hints.neighbourhood.add_heard();
    hints.neighbourhood.add_heard();
    expect_that!(leaves_after(&expectation, hints, WITH_COPY), eq(alone));
}

/// Guards against a prefill that is given up before it could have ended on a slow engine, and
/// against one that never is.
#[gtest]
fn prefill_waits_by_the_speed_of_its_engine() {
    let intervals = uneven();
    let leaves_after = |pace: f64| {
        let expectation = intervals.first_event(1_200, pace);
        let leaves = |silent_ms: &u64| {
            let hints = Hints::default();
            liveness::judge_prefill(*silent_ms, &expectation, hints, 1.0, STALL_MS).leaves
        };
        (0..60_000).step_by(10).find(leaves).expect("leaves")
    };
    expect_that!(leaves_after(1.0), ge(3_000));
    expect_that!(leaves_after(5.0), gt(leaves_after(1.0) + 1_000));
}

/// Guards against an estimate of an engine's speed that outlives the speed.
#[gtest]
fn pace_of_an_engine_is_forgotten() {
    let mut pace = Pace::default();
    for event in 0..10 {
        pace.record(2.5, NOW.after(event * 90));
    }
    let now = NOW.after(900);
    // It returns to 1 between samples, too.
    expect_that!(pace.get(now), ge(2.0));
    expect_that!(pace.excess(now), ge(0.75));
    expect_that!(pace.get(now.after(600)), le(1.6));
    expect_that!(pace.excess(now.after(1_500)), eq(0.0));
}
