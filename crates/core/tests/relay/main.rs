//! Tests of relayed requests: what the caller receives, and failover when an upstream is lost.

use {
    googletest::prelude::*,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
        sync::Arc,
    },
    wellplank_core::{
        attempt,
        clock::Time,
        config::{self, Access, Config, Customer, Policy, Priority, Route, Service, Share, Target},
        connectivity::Path,
        core::Core,
        counter::{Counter, Reason},
        effect::{self, Effect, Outbound},
        event::{Event, Failure, ListDelta, ListEntry, Submission, Verdict},
        fingerprint::RequestFingerprint,
        incarnation::Incarnation,
        kind::Kind,
        members::View,
        notice::{Backoff, Notice},
        origin::RunId,
        position::Position,
        quarantine::{CrashHistory, Involvement},
        rank::{PoolRanks, Rank},
        request::{Caller, Relay, Work},
        settings::{
            CapacityLimits, ResumeMode, Settings, UrgencyMode, UrgencySettings, VersionPolicy,
            Yielding,
        },
        stream_record::{Stage, StreamRecord},
        upstream::{self, Load},
        version::Version,
    },
};

mod absence;
mod access;
mod break_off;
mod break_off_fleet;
mod brittle;
mod builder;
mod call_place;
mod capacity;
mod connectivity;
mod connectivity_fleet;
mod directory;
mod early;
mod ended;
mod engine_model;
mod fleet;
mod incarnation;
mod late;
mod late_durations;
mod limit;
mod liveness;
mod liveness_load;
mod liveness_methods;
mod names;
mod notice;
mod odd;
mod open_request;
mod poison;
mod rank;
mod reach;
mod readers;
mod recovery;
mod removal;
mod retry;

mod sameness;
mod shutdown;
mod silent_upstream;
mod stream_version;
mod upstream_queue;
mod version;

use builder::*;

#[gtest]
fn events_are_forwarded_in_order() {
    let mut test = Test::new(6);
    let sent = test.stream(3);
    test.close(&sent, true);
    expect_that!(test.delivered(), elements_are![eq(&1), eq(&2), eq(&3)]);
    expect_that!(test.outcomes(), elements_are![eq("close")]);
}

#[gtest]
fn unmarked_end_is_accepted_when_a_second_upstream_sends_no_more_events() {
    let mut test = Test::new(6);
    let first = test.stream(3);
    test.close(&first, false);
    let second = test.last_sent();
    expect_that!(test.outcomes(), is_empty());
    expect_that!(second.position, eq(3));
    test.handle(Event::StreamOpened(second.attempt));
    test.close(&second, false);
    expect_that!(test.outcomes(), elements_are![eq("close")]);
}

// Guards against an empty stream that counts as complete since two upstreams ended before its first event.
#[gtest]
fn stream_that_two_upstreams_end_before_its_first_event_is_not_complete() {
    let mut test = Test::new(6);
    let first = test.stream(0);
    test.close(&first, false);
    let second = test.last_sent();
    expect_that!(second.attempt, not(eq(first.attempt)));
    test.handle(Event::StreamOpened(second.attempt));
    test.close(&second, false);
    expect_that!(test.outcomes(), not(contains(eq("close"))));
}

#[gtest]
fn stream_with_unmarked_end_is_resumed_when_a_second_upstream_sends_more_events() {
    let mut test = Test::new(6);
    let first = test.stream(3);
    test.close(&first, false);
    let second = test.last_sent();
    test.handle(Event::StreamOpened(second.attempt));
    test.send_event(&second, 4);
    test.close(&second, true);
    expect_that!(
        test.delivered(),
        elements_are![eq(&1), eq(&2), eq(&3), eq(&4)]
    );
    expect_that!(test.outcomes(), elements_are![eq("close")]);
}

#[gtest]
fn kv_copy_is_kept_in_another_data_centre() {
    for _ in 0..20 {
        let mut test = Test::new(9);
        let sent = test.stream(0);
        let backup = sent.backup.expect("a backup");
        // Each three consecutive upstreams share a data centre.
        expect_that!(backup / 3, not(eq(sent.upstream / 3)));
    }
}

#[gtest]
fn lost_stream_is_resumed_from_its_copy_after_the_last_event() {
    let mut test = Test::new(6);
    let sent = test.stream(3);
    test.fail(&sent, Failure::Broken);
    let next = test.last_sent();
    expect_that!(Some(next.upstream), eq(sent.backup));
    expect_that!(next.copy.as_deref(), some(eq("run-1")));
    expect_that!(next.position, eq(3));
    expect_that!(next.backup, not(eq(Some(sent.upstream))));
    expect_that!(test.counted(Counter::Resumed(Reason::Broken)), eq(1));
}

#[gtest]
fn baseline_that_resumes_with_a_new_prefill_keeps_no_copy() {
    let mut test = Test::with(ResumeMode::Anew).configured(9);
    let first = test.stream(3);
    expect_that!(first.backup, none());
    test.fail(&first, Failure::Broken);
    expect_that!(test.last_sent().copy, none());
    expect_that!(test.last_sent().position, eq(3));
}

#[gtest]
fn baseline_that_does_not_resume_aborts_a_lost_stream() {
    let mut test = Test::with(ResumeMode::None).configured(9);
    let first = test.stream(3);
    test.fail(&first, Failure::Broken);
    expect_that!(test.sent().len(), eq(1));
    expect_that!(test.outcomes(), elements_are![eq("cut")]);
}

#[gtest]
fn response_head_of_a_resumed_stream_is_not_forwarded_again() {
    let mut test = Test::new(6);
    let sent = test.stream(2);
    test.fail(&sent, Failure::Broken);
    let next = test.last_sent();
    test.handle(Event::StreamOpened(next.attempt));
    test.send_event(&next, 3);
    let opened = test
        .effects
        .iter()
        .filter(|effect| matches!(effect, Effect::ForwardHead(_)));
    expect_that!(opened.count(), eq(1));
    expect_that!(test.delivered(), elements_are![eq(&1), eq(&2), eq(&3)]);
}

#[gtest]
fn stream_lost_before_its_first_event_has_no_copy() {
    let mut test = Test::new(6);
    let sent = test.stream(0);
    test.fail(&sent, Failure::Broken);
    expect_that!(test.last_sent().copy, none());
    expect_that!(test.counted(Counter::Retried(Reason::Broken)), eq(1));
}

#[gtest]
fn stream_without_a_copy_is_resumed_with_a_new_prefill_on_another_upstream() {
    let mut test = Test::new(6);
    let sent = test.stream(2);
    test.fail(&sent, Failure::Broken);
    let second = test.last_sent();
    test.fail(&second, Failure::Refused);
    let third = test.last_sent();
    expect_that!(third.copy, none());
    expect_that!(third.position, eq(2));
    expect_that!(third.upstream, not(eq(sent.upstream)));
}

#[gtest]
fn repeated_event_is_dropped() {
    let mut test = Test::new(6);
    let sent = test.stream(2);
    test.send_event(&sent, 2);
    test.send_event(&sent, 3);
    expect_that!(test.delivered(), elements_are![eq(&1), eq(&2), eq(&3)]);
    expect_that!(test.counted(Counter::FrameRepeated), eq(1));
}

#[gtest]
fn stream_that_skips_an_event_is_resumed_on_another_upstream() {
    let mut test = Test::new(6);
    let sent = test.stream(2);
    test.send_event(&sent, 4);
    expect_that!(test.delivered(), elements_are![eq(&1), eq(&2)]);
    expect_that!(test.last_sent().position, eq(2));
}

#[gtest]
fn events_of_an_ended_attempt_are_dropped() {
    let mut test = Test::new(6);
    let sent = test.stream(2);
    test.fail(&sent, Failure::Broken);
    test.send_event(&sent, 3);
    expect_that!(test.delivered(), elements_are![eq(&1), eq(&2)]);
    expect_that!(test.counted(Counter::FrameLate), eq(1));
}

#[gtest]
fn stalled_stream_is_resumed_after_the_old_attempt_is_cancelled() {
    let mut test = Test::new(6);
    let sent = test.stream(2);
    test.effects.clear();
    test.advance(500);
    let cancelled = test.effects.iter().position(
        |effect| matches!(effect, Effect::Cancel { attempt, .. } if *attempt == sent.attempt),
    );
    let resumed = test
        .effects
        .iter()
        .position(|effect| matches!(effect, Effect::Send { .. }));
    expect_that!(cancelled.unwrap() < resumed.unwrap(), eq(true));
    expect_that!(test.last_sent().copy, some(eq("run-1")));
}

#[gtest]
fn stream_is_not_abandoned_during_prefill() {
    let mut test = Test::new(6);
    test.stream(0);
    test.advance(5_000);
    expect_that!(test.sent().len(), eq(1));
}

#[gtest]
fn stream_without_a_first_event_is_retried_after_the_first_event_timeout() {
    let mut test = Test::new(6);
    let first = test.stream(0);
    test.advance(5_500);
    let second = test.last_sent();
    expect_that!(second.attempt, not(eq(first.attempt)));
    expect_that!(second.upstream, not(eq(first.upstream)));
}

#[gtest]
fn stream_that_stalls_on_its_copy_is_retried_after_the_copy_timeout() {
    let mut test = Test::new(6);
    let first = test.stream(3);
    test.fail(&first, Failure::Broken);
    let second = test.last_sent();
    test.handle(Event::StreamOpened(second.attempt));
    test.advance(1_100);
    expect_that!(test.last_sent().attempt, not(eq(second.attempt)));
    expect_that!(test.last_sent().position, eq(3));
}

#[gtest]
fn all_streams_of_a_silent_upstream_are_lost_together() {
    let mut test = Test::new(1);
    let running = test.stream(2);
    let waiting = test.stream(0);
    test.list(vec![listed(0, 0), listed(1, 3), listed(2, 4)]);
    expect_that!(running.upstream, eq(waiting.upstream));
    test.advance(600);
    expect_that!(test.sent().len(), eq(4));
}

#[gtest]
fn stream_that_exhausts_its_attempts_is_aborted() {
    let mut test = Test::new(6);
    let mut sent = test.stream(2);
    for _ in 0..5 {
        test.break_connection(&sent, false);
        // Upstreams that broke off are in use again.
        test.advance(1_010);
        sent = test.last_sent();
    }
    expect_that!(test.outcomes(), elements_are![eq("cut")]);
    expect_that!(test.sent().len(), eq(5));
}

#[gtest]
fn failed_repeatable_call_is_retried_on_another_upstream() {
    let mut test = Test::new(6);
    test.request(REPEATABLE);
    let first = test.last_sent();
    test.answer(&first, Verdict::Fault);
    let second = test.last_sent();
    expect_that!(second.upstream, not(eq(first.upstream)));
    test.answer(&second, Verdict::Good);
    expect_that!(test.outcomes(), elements_are![eq("answer")]);
}

#[gtest]
fn last_error_response_is_forwarded_when_attempts_are_exhausted() {
    let mut test = Test::new(6);
    test.request(REPEATABLE);
    for _ in 0..2 {
        let sent = test.last_sent();
        test.answer(&sent, Verdict::Fault);
    }
    expect_that!(test.sent().len(), eq(2));
    expect_that!(test.outcomes(), elements_are![eq("answer")]);
}

#[gtest]
fn held_error_response_is_forwarded_when_the_second_upstream_is_lost() {
    let mut test = Test::new(6);
    test.request(REPEATABLE);
    let first = test.last_sent();
    test.answer(&first, Verdict::Fault);
    let second = test.last_sent();
    test.fail(&second, Failure::Broken);
    expect_that!(test.outcomes(), elements_are![eq("answer")]);
}

#[gtest]
fn silent_repeatable_call_is_retried_on_another_upstream() {
    let mut test = Test::new(6);
    test.request(REPEATABLE);
    test.advance(400);
    expect_that!(test.sent().len(), eq(2));
}

#[gtest]
fn non_repeatable_call_is_not_retried_after_it_may_have_run() {
    let mut test = Test::new(6);
    test.request(NON_REPEATABLE);
    let sent = test.last_sent();
    test.advance(400);
    test.fail(&sent, Failure::Broken);
    expect_that!(test.sent().len(), eq(1));
    expect_that!(test.outcomes(), elements_are![eq("upstream_failed")]);
}

#[gtest]
fn error_response_to_a_non_repeatable_call_is_forwarded() {
    let mut test = Test::new(6);
    test.request(NON_REPEATABLE);
    let sent = test.last_sent();
    test.answer(&sent, Verdict::Fault);
    expect_that!(test.sent().len(), eq(1));
    expect_that!(test.outcomes(), elements_are![eq("answer")]);
}

#[gtest]
fn call_that_was_not_executed_is_retried_on_another_upstream() {
    for failure in [Failure::NotSent, Failure::Refused, Failure::Replaced] {
        let mut test = Test::new(6);
        test.request(NON_REPEATABLE);
        let first = test.last_sent();
        test.fail(&first, failure);
        let second = test.last_sent();
        expect_that!(second.upstream, not(eq(first.upstream)), "{failure:?}");
    }
}

#[gtest]
fn call_refused_by_all_upstreams_fails_as_not_executed() {
    let mut test = Test::new(2);
    test.request(NON_REPEATABLE);
    for _ in 0..8 {
        if test.outcomes().is_empty() {
            let sent = test.last_sent();
            test.fail(&sent, Failure::Refused);
        }
    }
    expect_that!(test.outcomes(), elements_are![eq("overloaded")]);
    expect_that!(Kind::Overloaded.answer().status, eq(503));
}

#[gtest]
fn upstream_replaced_at_its_address_receives_no_more_requests() {
    let mut test = Test::new(2);
    test.request(NON_REPEATABLE);
    let first = test.last_sent();
    test.fail(&first, Failure::Replaced);
    for _ in 0..5 {
        test.request(NON_REPEATABLE);
        expect_that!(test.last_sent().upstream, not(eq(first.upstream)));
    }
}

#[gtest]
fn last_registered_upstream_at_an_address_receives_requests() {
    let older = ListEntry {
        registered_at: Position::new(0, 4),
        slots: 0,
        ..listed(0, 0)
    };
    let newer = ListEntry {
        registered_at: Position::new(0, 7),
        slots: 0,
        ..listed(9, 0)
    };
    for order in [[older.clone(), newer.clone()], [newer, older]] {
        let mut test = Test::new(0);
        test.list(order.to_vec());
        test.request(NON_REPEATABLE);
        let receiver = test.effects.iter().find_map(|effect| match effect {
            Effect::Send {
                outbound: Outbound::Relay { upstream, .. },
                ..
            } => Some(upstream.to_string()),
            _ => None,
        });
        expect_that!(receiver.as_deref(), some(eq("runner-9")));
    }
}

#[gtest]
fn leaving_upstream_receives_no_new_requests() {
    let mut test = Test::new(1);
    let leaving = ListEntry {
        leaving: true,
        ..listed(0, 0)
    };
    test.list(vec![leaving, listed(1, 1)]);
    for _ in 0..5 {
        test.request(NON_REPEATABLE);
        expect_that!(test.last_sent().upstream, eq(1));
    }
}

#[gtest]
fn leaving_upstream_finishes_its_streams() {
    let mut test = Test::new(1);
    let sent = test.stream(1);
    test.list(vec![ListEntry {
        leaving: true,
        ..listed(0, 0)
    }]);
    test.send_event(&sent, 2);
    expect_that!(test.delivered(), elements_are![eq(&1), eq(&2)]);
}

#[gtest]
fn data_centre_with_lost_upstreams_is_avoided() {
    let mut test = Test::new(6);
    // Upstreams 0 to 2 share a data centre.
    for upstream in [0, 1] {
        test.now = test.now.after(5);
        test.handle(Event::PeerLoss(incarnation(upstream, 0)));
    }
    for _ in 0..10 {
        test.request(REPEATABLE);
        expect_that!(test.last_sent().upstream, ge(3));
    }
}

#[gtest]
fn lost_upstream_is_announced_to_other_instances() {
    let mut test = Test::new(6);
    let sent = test.stream(1);
    test.fail(&sent, Failure::Broken);
    let announced = test.effects.iter().find_map(|effect| match effect {
        Effect::GossipBreakOff(incarnation) | Effect::GossipLost(incarnation) => Some(*incarnation),
        _ => None,
    });
    expect_that!(announced, some(eq(incarnation(sent.upstream, 0))));
}

#[gtest]
fn reconnecting_caller_resumes_from_the_reported_copy() {
    let mut test = Test::new(6);
    test.handle(Event::PeerStream(stream_record(1, 4)));
    test.request_as("key", STREAM, 9);
    let sent = test.last_sent();
    expect_that!(sent.upstream, eq(4));
    expect_that!(sent.copy.as_deref(), some(eq("run-before")));
    expect_that!(sent.position, eq(9));
}

#[gtest]
fn reconnecting_caller_falls_back_to_the_upstream_that_ran_the_stream() {
    let mut test = Test::new(6);
    test.handle(Event::PeerStream(stream_record(1, 4)));
    test.request_as("key", STREAM, 9);
    let sent = test.last_sent();
    test.fail(&sent, Failure::Refused);
    let next = test.last_sent();
    expect_that!(next.upstream, eq(1));
    expect_that!(next.copy, none());
}

#[gtest]
fn stream_reported_as_ended_is_not_resumed_from_its_copy() {
    let mut test = Test::new(6);
    test.handle(Event::PeerStream(stream_record(1, 4)));
    let ended = StreamRecord {
        stage: Stage::Ended,
        ..stream_record(1, 4)
    };
    test.handle(Event::PeerStream(ended));
    test.request_as("key", STREAM, 9);
    expect_that!(test.last_sent().copy, none());
}

#[gtest]
fn stream_reported_as_left_can_still_be_resumed() {
    let mut test = Test::new(6);
    test.handle(Event::PeerStream(stream_record(1, 4)));
    let left = StreamRecord {
        backup: None,
        stage: Stage::Left,
        upstream: None,
        ..stream_record(1, 4)
    };
    test.handle(Event::PeerStream(left));
    test.request_as("key", STREAM, 9);
    expect_that!(test.last_sent().copy, some(eq("run-before")));
}

#[gtest]
fn streams_of_other_instances_count_as_load() {
    let mut test = Test::new(2);
    for prompt in 0..4 {
        test.handle(Event::PeerStream(StreamRecord {
            prompt: 1_000 + prompt,
            stage: Stage::Started,
            ..stream_record(0, 9)
        }));
    }
    test.request(STREAM);
    expect_that!(test.last_sent().upstream, eq(1));
}

#[gtest]
fn prefills_are_spread_over_upstreams() {
    let mut test = Test::new(3);
    for _ in 0..3 {
        test.request(STREAM);
    }
    let mut upstreams: Vec<usize> = test.sent().iter().map(|sent| sent.upstream).collect();
    upstreams.sort_unstable();
    expect_that!(upstreams, elements_are![eq(&0), eq(&1), eq(&2)]);
}

#[gtest]
fn request_is_cancelled_when_its_caller_disconnects() {
    let mut test = Test::new(6);
    let sent = test.stream(2);
    test.handle(Event::CallerGone(Caller(1)));
    let cancelled = |effect: &Effect| matches!(effect, Effect::Cancel { attempt, .. } if *attempt == sent.attempt);
    expect_that!(test.effects.iter().any(cancelled), eq(true));
    expect_that!(test.core.running(), eq(0));
}

#[gtest]
fn upstream_receives_the_remaining_time() {
    let mut test = Test::new(6);
    test.request(REPEATABLE);
    let first = test.last_sent();
    expect_that!(first.left_ms, eq(20_000));
    test.advance(200);
    test.answer(&first, Verdict::Fault);
    expect_that!(test.last_sent().left_ms, eq(19_800));
}

#[gtest]
fn request_times_out_at_its_deadline() {
    let mut test = Test::new(6);
    test.request(NON_REPEATABLE);
    test.advance(20_100);
    expect_that!(test.outcomes(), elements_are![eq("timed_out")]);
}

#[gtest]
fn request_without_upstreams_is_queued_before_it_is_refused() {
    let mut test = Test::new(0);
    test.request(NON_REPEATABLE);
    test.advance(500);
    expect_that!(test.outcomes(), is_empty());
    test.advance(600);
    expect_that!(test.outcomes(), elements_are![eq("no_upstream")]);
}

#[gtest]
fn queued_request_is_sent_to_the_first_upstream_that_registers() {
    let mut test = Test::new(0);
    test.request(NON_REPEATABLE);
    test.list(vec![listed(0, 0)]);
    expect_that!(test.sent().len(), eq(1));
}

#[gtest]
fn unknown_key_and_unknown_path_are_refused() {
    let mut test = Test::new(1);
    test.request_as("stranger", NON_REPEATABLE, 0);
    test.request_as("key", "/nowhere", 0);
    expect_that!(
        test.outcomes(),
        elements_are![eq("unauthorized"), eq("unknown_service")]
    );
}

#[gtest]
fn public_route_requires_no_key() {
    let mut test = Test::new(1);
    test.request_as("", "/open/1", 0);
    expect_that!(test.sent().len(), eq(1));
}

#[gtest]
fn request_without_configuration_is_deferred_before_it_is_refused() {
    let mut test = Test::without_configuration();
    test.request(NON_REPEATABLE);
    test.advance(2_400);
    expect_that!(test.outcomes(), is_empty());
    test.advance(200);
    expect_that!(test.outcomes(), elements_are![eq("not_ready")]);
    let timeout_left_ms = 17_500;
    expect_that!(
        test.retry_afters(),
        elements_are![eq(&(timeout_left_ms / 8))]
    );
}

#[gtest]
fn suspected_upstream_is_used_again_after_a_while() {
    let mut test = Test::new(2);
    test.request(NON_REPEATABLE);
    let first = test.last_sent();
    test.fail(&first, Failure::NotSent);
    test.advance(9_000);
    let mut upstreams = Vec::new();
    for _ in 0..20 {
        test.request(NON_REPEATABLE);
        let sent = test.last_sent();
        upstreams.push(sent.upstream);
        test.answer(&sent, Verdict::Good);
    }
    expect_that!(upstreams, contains(eq(&first.upstream)));
}

#[gtest]
fn retries_are_limited_by_a_budget() {
    let mut test = Test::new(6);
    for _ in 0..60 {
        test.request(REPEATABLE);
        let sent = test.last_sent();
        test.answer(&sent, Verdict::Fault);
    }
    expect_that!(test.counted(Counter::Retried(Reason::Fault)), lt(60));
    expect_that!(test.outcomes(), contains(eq("answer")));
}
