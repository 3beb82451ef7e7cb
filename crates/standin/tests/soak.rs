//! A short soak with a fixed seed, and those that ever failed.

use {
    googletest::prelude::*,
    std::time::Duration,
    wellplank_standin::{
        awkward::{self, Kind, Setting, Share, Work},
        leaving, returning,
        soak::{self, Outcome, Plan},
        stopping,
        worker::Queue,
    },
};

fn check(seed: u64, soak: impl Future<Output = Outcome>) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    let outcome = runtime.block_on(soak);
    runtime.shutdown_background();
    expect_that!(outcome.violations, is_empty(), "seed {seed}");
    expect_that!(outcome.requests, gt(0));
}

fn run(seed: u64) {
    let plan = Plan {
        engines: 5,
        instances: 3,
        lasts: Duration::from_secs(5),
        seed,
    };
    check(seed, soak::run(plan));
}

/// A soak in which upstreams leave.
fn run_leaving(seed: u64) {
    let plan = Plan {
        engines: 8,
        instances: 7,
        lasts: Duration::from_secs(20),
        seed,
    };
    check(seed, leaving::run(plan));
}

#[gtest]
fn short_soak_breaks_nothing() {
    run(1);
}

/// Answers of the store were lost on connections that stayed: a watch waited 30 s for nothing, and two
/// instances did not learn of the last configuration.
#[gtest]
fn seed_3_watch_that_says_nothing_any_more() {
    run(3);
}

/// All waiting calls went silent 3 s before two upstreams ended their entries: these got requests for 6.2 s.
#[gtest]
fn leaving_seed_2_waiting_calls_that_say_nothing_any_more() {
    run_leaving(2);
}

/// A soak in which upstreams come back at once or soon.
fn returning_plan(seed: u64) -> Plan {
    Plan {
        engines: 12,
        instances: 6,
        lasts: Duration::from_secs(30),
        seed,
    }
}

/// Instances ended by themselves when upstreams whose entries had gone started again under their names within 50 ms, and
/// cut all their streams.
#[gtest]
fn upstreams_that_come_back_at_once_end_no_instance() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let outcome = runtime.block_on(returning::run(returning_plan(1)));
    runtime.shutdown_background();
    expect_that!(outcome.ends, eq(0), "{:?}", outcome.violations);
    expect_that!(outcome.requests, gt(0));
}

/// Streams that three upstreams had broken off as they restarted were given up at a fourth that was sound, around signals.
#[gtest]
fn upstreams_that_come_back_at_once_have_no_requests_cut_around_planned_work() {
    check(202, returning::run(returning_plan(202)));
}

/// Requests that waited in the queue of an instance whose grace period ended got neither an answer nor a refusal.
#[gtest]
fn planned_stops_leave_no_waiting_request_without_an_answer() {
    let plan = Plan {
        engines: 9,
        instances: 6,
        lasts: Duration::from_secs(22),
        seed: 1,
    };
    check(1, stopping::run(plan));
}

/// Nine upstreams that refuse requests beyond their 72 slots, beside a configuration. Two times some of them are awkward.
async fn run_awkward(kind: Kind, share: Share, callers: usize) -> Outcome {
    let plan = Plan {
        engines: 9,
        instances: 6,
        lasts: Duration::from_secs(12),
        seed: 1,
    };
    let setting = Setting {
        callers,
        kind,
        queue: Queue {
            length: 0,
            tells_load: false,
        },
        share,
        slots: 8,
        work: Work::Configuration,
    };
    awkward::run(plan, setting).await
}

/// Streams that left upstreams which were silent for 1.2 s were given up with most of their time left, behind refusals of full
/// upstreams.
#[gtest]
fn upstreams_silent_for_a_second_have_no_begun_stream_cut() {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let outcome = runtime.block_on(run_awkward(Kind::Silence, Share::Third, 66));
    runtime.shutdown_background();
    expect_that!(outcome.cut, eq(0), "{:?}", outcome.violations);
    expect_that!(outcome.ends, eq(0), "{:?}", outcome.violations);
    expect_that!(outcome.requests, gt(0));
}

/// Streams that had not begun got 502 with most of their time left, behind refusals of full upstreams.
#[gtest]
fn upstreams_silent_for_a_second_have_no_stream_fail_early() {
    check(1, run_awkward(Kind::Silence, Share::Third, 90));
}

/// Streams were given up with most of their time left, since connections that were closed at once used up the upstreams that a
/// request may reach.
#[gtest]
fn upstreams_that_accept_and_close_have_no_begun_stream_cut() {
    check(1, run_awkward(Kind::AcceptsAndCloses, Share::TwoThirds, 66));
}

/// Guards against streams that are given up since refused connections use up their attempts.
#[gtest]
fn upstreams_that_refuse_connections_have_no_stream_fail_early() {
    check(1, run_awkward(Kind::Refuses, Share::TwoThirds, 66));
}

/// Streams that waited in the queues of upstreams were taken for lost, and got 502 with most of their time left.
#[gtest]
fn streams_queued_at_upstreams_do_not_fail_early() {
    let plan = Plan {
        engines: 3,
        instances: 1,
        lasts: Duration::from_secs(12),
        seed: 1,
    };
    let setting = Setting {
        callers: 60,
        kind: Kind::Queues,
        queue: Queue {
            length: 8,
            tells_load: false,
        },
        share: Share::All,
        slots: 4,
        work: Work::Configuration,
    };
    check(1, awkward::run(plan, setting));
}
