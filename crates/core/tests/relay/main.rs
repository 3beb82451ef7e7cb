//! Requests that are passed on as they are: what the caller gets, and what follows a loss.

use {
    googletest::prelude::*,
    std::{net::SocketAddr, sync::Arc},
    wellplank_core::{
        attempt,
        clock::Time,
        config::{self, Config, Customer, Policy, Priority, Route, Service, Share, Target},
        core::Core,
        counter::{Counter, Reason},
        effect::{self, Effect, Sending},
        event::{Event, Failure, Listed, Submission, Verdict},
        kind::Kind,
        life::Life,
        members::View,
        notice::{Notice, Rest},
        position::Position,
        print::Print,
        quarantine::{CrashHistory, Involvement},
        request::{Caller, Relay, Work},
        settings::{CapacityLimits, ResumeMode, Settings},
        sighting::{Sighting, Stage},
        upstream::{self, Load},
    },
};

mod builder;
mod capacity;
mod fleet;
mod life;
mod limit;
mod notice;
mod poison;
mod version;

use builder::*;

#[gtest]
fn events_go_to_the_caller_as_they_come() {
    let mut test = Test::new(6);
    let sent = test.stream(3);
    test.close(&sent, true);
    expect_that!(test.given(), elements_are![eq(&1), eq(&2), eq(&3)]);
    expect_that!(test.ends(), elements_are![eq("close")]);
}

#[gtest]
fn end_without_a_mark_is_believed_when_a_second_upstream_has_nothing_more() {
    let mut test = Test::new(6);
    let first = test.stream(3);
    test.close(&first, false);
    let second = test.last();
    expect_that!(test.ends(), is_empty());
    expect_that!(second.position, eq(3));
    test.tell(Event::Opened(second.attempt));
    test.close(&second, false);
    expect_that!(test.ends(), elements_are![eq("close")]);
}

#[gtest]
fn stream_lost_between_two_events_goes_on_though_its_end_looked_well() {
    let mut test = Test::new(6);
    let first = test.stream(3);
    test.close(&first, false);
    let second = test.last();
    test.tell(Event::Opened(second.attempt));
    test.pass_on(&second, 4);
    test.close(&second, true);
    expect_that!(test.given(), elements_are![eq(&1), eq(&2), eq(&3), eq(&4)]);
    expect_that!(test.ends(), elements_are![eq("close")]);
}

#[gtest]
fn copy_is_kept_in_another_data_centre() {
    for _ in 0..20 {
        let mut test = Test::new(9);
        let sent = test.stream(0);
        let backup = sent.backup.expect("a backup");
        expect_that!(backup / 3, not(eq(sent.upstream / 3)));
    }
}

#[gtest]
fn lost_stream_goes_on_from_its_copy_behind_the_last_event() {
    let mut test = Test::new(6);
    let sent = test.stream(3);
    test.fail(&sent, Failure::Broken);
    let next = test.last();
    expect_that!(Some(next.upstream), eq(sent.backup));
    expect_that!(next.copy.as_deref(), some(eq("run-1")));
    expect_that!(next.position, eq(3));
    expect_that!(next.backup, not(eq(Some(sent.upstream))));
    expect_that!(test.counted(Counter::Resumed(Reason::Broken)), eq(1));
}

#[gtest]
fn baseline_that_reads_anew_keeps_no_copy() {
    let mut test = Test::with(ResumeMode::Anew).configured(9);
    let first = test.stream(3);
    expect_that!(first.backup, none());
    test.fail(&first, Failure::Broken);
    expect_that!(test.last().copy, none());
    expect_that!(test.last().position, eq(3));
}

#[gtest]
fn baseline_that_does_not_resume_cuts_a_lost_stream() {
    let mut test = Test::with(ResumeMode::None).configured(9);
    let first = test.stream(3);
    test.fail(&first, Failure::Broken);
    expect_that!(test.sent().len(), eq(1));
    expect_that!(test.ends(), elements_are![eq("cut")]);
}

#[gtest]
fn head_of_a_resumed_stream_is_not_given_again() {
    let mut test = Test::new(6);
    let sent = test.stream(2);
    test.fail(&sent, Failure::Broken);
    let next = test.last();
    test.tell(Event::Opened(next.attempt));
    test.pass_on(&next, 3);
    let opened = test
        .effects
        .iter()
        .filter(|effect| matches!(effect, Effect::Open(_)));
    expect_that!(opened.count(), eq(1));
    expect_that!(test.given(), elements_are![eq(&1), eq(&2), eq(&3)]);
}

#[gtest]
fn stream_lost_before_its_first_event_has_no_copy() {
    let mut test = Test::new(6);
    let sent = test.stream(0);
    test.fail(&sent, Failure::Broken);
    expect_that!(test.last().copy, none());
    expect_that!(test.counted(Counter::Retried(Reason::Broken)), eq(1));
}

#[gtest]
fn without_a_copy_the_stream_is_read_anew_elsewhere() {
    let mut test = Test::new(6);
    let sent = test.stream(2);
    test.fail(&sent, Failure::Broken);
    let second = test.last();
    test.fail(&second, Failure::Refused);
    let third = test.last();
    expect_that!(third.copy, none());
    expect_that!(third.position, eq(2));
    expect_that!(third.upstream, not(eq(sent.upstream)));
}

#[gtest]
fn repeated_event_is_dropped() {
    let mut test = Test::new(6);
    let sent = test.stream(2);
    test.pass_on(&sent, 2);
    test.pass_on(&sent, 3);
    expect_that!(test.given(), elements_are![eq(&1), eq(&2), eq(&3)]);
    expect_that!(test.counted(Counter::FrameRepeated), eq(1));
}

#[gtest]
fn stream_that_skips_an_event_goes_on_elsewhere() {
    let mut test = Test::new(6);
    let sent = test.stream(2);
    test.pass_on(&sent, 4);
    expect_that!(test.given(), elements_are![eq(&1), eq(&2)]);
    expect_that!(test.last().position, eq(2));
}

#[gtest]
fn events_of_an_attempt_that_is_over_are_dropped() {
    let mut test = Test::new(6);
    let sent = test.stream(2);
    test.fail(&sent, Failure::Broken);
    test.pass_on(&sent, 3);
    expect_that!(test.given(), elements_are![eq(&1), eq(&2)]);
    expect_that!(test.counted(Counter::FrameLate), eq(1));
}

#[gtest]
fn silent_stream_goes_on_elsewhere_after_the_old_one_is_cancelled() {
    let mut test = Test::new(6);
    let sent = test.stream(2);
    test.effects.clear();
    test.pass(500);
    let cancelled = test.effects.iter().position(
        |effect| matches!(effect, Effect::Cancel { attempt, .. } if *attempt == sent.attempt),
    );
    let resumed = test
        .effects
        .iter()
        .position(|effect| matches!(effect, Effect::Send { .. }));
    expect_that!(cancelled.unwrap() < resumed.unwrap(), eq(true));
    expect_that!(test.last().copy, some(eq("run-1")));
}

#[gtest]
fn stream_that_waits_for_its_first_event_is_left_alone() {
    let mut test = Test::new(6);
    test.stream(0);
    test.pass(5_000);
    expect_that!(test.sent().len(), eq(1));
}

#[gtest]
fn stream_whose_first_event_does_not_come_goes_elsewhere_in_time() {
    let mut test = Test::new(6);
    let first = test.stream(0);
    test.pass(5_500);
    let second = test.last();
    expect_that!(second.attempt, not(eq(first.attempt)));
    expect_that!(second.upstream, not(eq(first.upstream)));
}

#[gtest]
fn stream_that_does_not_go_on_from_its_copy_goes_elsewhere_soon() {
    let mut test = Test::new(6);
    let first = test.stream(3);
    test.fail(&first, Failure::Broken);
    let second = test.last();
    test.tell(Event::Opened(second.attempt));
    test.pass(1_100);
    expect_that!(test.last().attempt, not(eq(second.attempt)));
    expect_that!(test.last().position, eq(3));
}

#[gtest]
fn streams_of_a_silent_upstream_are_lost_together() {
    let mut test = Test::new(1);
    let running = test.stream(2);
    let waiting = test.stream(0);
    test.list(vec![listed(0, 0), listed(1, 3), listed(2, 4)]);
    expect_that!(running.upstream, eq(waiting.upstream));
    test.pass(600);
    expect_that!(test.sent().len(), eq(4));
}

#[gtest]
fn stream_that_can_not_go_on_is_cut() {
    let mut test = Test::new(6);
    let mut sent = test.stream(2);
    for _ in 0..5 {
        test.break_off(&sent, false);
        sent = test.last();
    }
    expect_that!(test.ends(), elements_are![eq("cut")]);
    expect_that!(test.sent().len(), eq(5));
}

#[gtest]
fn failed_call_that_may_repeat_goes_to_another_upstream() {
    let mut test = Test::new(6);
    test.ask(AGAIN);
    let first = test.last();
    test.answer(&first, Verdict::Fault);
    let second = test.last();
    expect_that!(second.upstream, not(eq(first.upstream)));
    test.answer(&second, Verdict::Good);
    expect_that!(test.ends(), elements_are![eq("answer")]);
}

#[gtest]
fn last_failure_is_given_when_attempts_are_used_up() {
    let mut test = Test::new(6);
    test.ask(AGAIN);
    for _ in 0..2 {
        let sent = test.last();
        test.answer(&sent, Verdict::Fault);
    }
    expect_that!(test.sent().len(), eq(2));
    expect_that!(test.ends(), elements_are![eq("answer")]);
}

#[gtest]
fn held_failure_is_given_when_the_second_upstream_is_lost() {
    let mut test = Test::new(6);
    test.ask(AGAIN);
    let first = test.last();
    test.answer(&first, Verdict::Fault);
    let second = test.last();
    test.fail(&second, Failure::Broken);
    expect_that!(test.ends(), elements_are![eq("answer")]);
}

#[gtest]
fn silent_call_that_may_repeat_goes_to_another_upstream() {
    let mut test = Test::new(6);
    test.ask(AGAIN);
    test.pass(400);
    expect_that!(test.sent().len(), eq(2));
}

#[gtest]
fn call_that_may_run_once_is_not_sent_again_after_it_may_have_run() {
    let mut test = Test::new(6);
    test.ask(ONCE);
    let sent = test.last();
    test.pass(400);
    test.fail(&sent, Failure::Broken);
    expect_that!(test.sent().len(), eq(1));
    expect_that!(test.ends(), elements_are![eq("upstream_failed")]);
}

#[gtest]
fn failure_of_a_call_that_may_run_once_is_its_answer() {
    let mut test = Test::new(6);
    test.ask(ONCE);
    let sent = test.last();
    test.answer(&sent, Verdict::Fault);
    expect_that!(test.sent().len(), eq(1));
    expect_that!(test.ends(), elements_are![eq("answer")]);
}

#[gtest]
fn call_that_surely_did_not_run_goes_to_another_upstream() {
    for failure in [Failure::NotSent, Failure::Refused, Failure::Replaced] {
        let mut test = Test::new(6);
        test.ask(ONCE);
        let first = test.last();
        test.fail(&first, failure);
        let second = test.last();
        expect_that!(second.upstream, not(eq(first.upstream)), "{failure:?}");
    }
}

#[gtest]
fn call_refused_everywhere_did_not_run() {
    let mut test = Test::new(2);
    test.ask(ONCE);
    for _ in 0..8 {
        if test.ends().is_empty() {
            let sent = test.last();
            test.fail(&sent, Failure::Refused);
        }
    }
    expect_that!(test.ends(), elements_are![eq("overloaded")]);
    expect_that!(Kind::Overloaded.answer().status, eq(503));
}

#[gtest]
fn upstream_with_another_life_at_its_address_gets_nothing_more() {
    let mut test = Test::new(2);
    test.ask(ONCE);
    let first = test.last();
    test.fail(&first, Failure::Replaced);
    for _ in 0..5 {
        test.ask(ONCE);
        expect_that!(test.last().upstream, not(eq(first.upstream)));
    }
}

#[gtest]
fn of_upstreams_at_one_address_the_last_one_entered_gets_work() {
    let older = Listed {
        since: Position::new(0, 4),
        slots: 0,
        ..listed(0, 0)
    };
    let newer = Listed {
        since: Position::new(0, 7),
        slots: 0,
        ..listed(9, 0)
    };
    for order in [[older.clone(), newer.clone()], [newer, older]] {
        let mut test = Test::new(0);
        test.list(order.to_vec());
        test.ask(ONCE);
        let named = test.effects.iter().find_map(|effect| match effect {
            Effect::Send {
                sending: Sending::Relay { upstream, .. },
                ..
            } => Some(upstream.to_string()),
            _ => None,
        });
        expect_that!(named.as_deref(), some(eq("runner-9")));
    }
}

#[gtest]
fn leaving_upstream_gets_nothing_new() {
    let mut test = Test::new(1);
    let leaving = Listed {
        leaving: true,
        ..listed(0, 0)
    };
    test.list(vec![leaving, listed(1, 1)]);
    for _ in 0..5 {
        test.ask(ONCE);
        expect_that!(test.last().upstream, eq(1));
    }
}

#[gtest]
fn leaving_upstream_keeps_what_it_runs() {
    let mut test = Test::new(1);
    let sent = test.stream(1);
    test.list(vec![Listed {
        leaving: true,
        ..listed(0, 0)
    }]);
    test.pass_on(&sent, 2);
    expect_that!(test.given(), elements_are![eq(&1), eq(&2)]);
}

#[gtest]
fn data_centre_that_is_being_lost_is_avoided() {
    let mut test = Test::new(6);
    for upstream in [0, 1] {
        test.now = test.now.after(5);
        test.tell(Event::Blamed(life(upstream, 0)));
    }
    for _ in 0..10 {
        test.ask(AGAIN);
        expect_that!(test.last().upstream, ge(3));
    }
}

#[gtest]
fn lost_upstream_is_told_to_other_instances() {
    let mut test = Test::new(6);
    let sent = test.stream(1);
    test.fail(&sent, Failure::Broken);
    let blamed = test.effects.iter().find_map(|effect| match effect {
        Effect::Blame(life) => Some(*life),
        _ => None,
    });
    expect_that!(blamed, some(eq(life(sent.upstream, 0))));
}

#[gtest]
fn caller_who_comes_back_goes_on_from_the_copy_that_was_told_of() {
    let mut test = Test::new(6);
    test.tell(Event::Sighted(sighting(1, 4)));
    test.ask_as("key", STREAM, 9);
    let sent = test.last();
    expect_that!(sent.upstream, eq(4));
    expect_that!(sent.copy.as_deref(), some(eq("run-before")));
    expect_that!(sent.position, eq(9));
}

#[gtest]
fn without_the_copy_the_upstream_that_ran_it_is_asked() {
    let mut test = Test::new(6);
    test.tell(Event::Sighted(sighting(1, 4)));
    test.ask_as("key", STREAM, 9);
    let sent = test.last();
    test.fail(&sent, Failure::Refused);
    let next = test.last();
    expect_that!(next.upstream, eq(1));
    expect_that!(next.copy, none());
}

#[gtest]
fn stream_told_of_as_whole_is_not_gone_on_with() {
    let mut test = Test::new(6);
    test.tell(Event::Sighted(sighting(1, 4)));
    let ended = Sighting {
        stage: Stage::Ended,
        ..sighting(1, 4)
    };
    test.tell(Event::Sighted(ended));
    test.ask_as("key", STREAM, 9);
    expect_that!(test.last().copy, none());
}

#[gtest]
fn stream_whose_caller_left_can_still_be_gone_on_with() {
    let mut test = Test::new(6);
    test.tell(Event::Sighted(sighting(1, 4)));
    let left = Sighting {
        backup: None,
        stage: Stage::Left,
        upstream: None,
        ..sighting(1, 4)
    };
    test.tell(Event::Sighted(left));
    test.ask_as("key", STREAM, 9);
    expect_that!(test.last().copy, some(eq("run-before")));
}

#[gtest]
fn other_instances_streams_count_as_load() {
    let mut test = Test::new(2);
    for prompt in 0..4 {
        test.tell(Event::Sighted(Sighting {
            prompt: 1_000 + prompt,
            stage: Stage::Started,
            ..sighting(0, 9)
        }));
    }
    test.ask(STREAM);
    expect_that!(test.last().upstream, eq(1));
}

#[gtest]
fn prompts_are_spread_over_upstreams() {
    let mut test = Test::new(3);
    for _ in 0..3 {
        test.ask(STREAM);
    }
    let mut upstreams: Vec<usize> = test.sent().iter().map(|sent| sent.upstream).collect();
    upstreams.sort_unstable();
    expect_that!(upstreams, elements_are![eq(&0), eq(&1), eq(&2)]);
}

#[gtest]
fn caller_that_leaves_has_its_request_cancelled() {
    let mut test = Test::new(6);
    let sent = test.stream(2);
    test.tell(Event::CallerGone(Caller(1)));
    let cancelled = |effect: &Effect| matches!(effect, Effect::Cancel { attempt, .. } if *attempt == sent.attempt);
    expect_that!(test.effects.iter().any(cancelled), eq(true));
    expect_that!(test.core.running(), eq(0));
}

#[gtest]
fn upstream_is_told_the_time_that_is_left() {
    let mut test = Test::new(6);
    test.ask(AGAIN);
    let first = test.last();
    expect_that!(first.left_ms, eq(20_000));
    test.pass(200);
    test.answer(&first, Verdict::Fault);
    expect_that!(test.last().left_ms, eq(19_800));
}

#[gtest]
fn request_is_answered_at_its_deadline() {
    let mut test = Test::new(6);
    test.ask(ONCE);
    test.pass(20_100);
    expect_that!(test.ends(), elements_are![eq("timed_out")]);
}

#[gtest]
fn without_upstream_a_request_waits_for_one_and_is_refused_then() {
    let mut test = Test::new(0);
    test.ask(ONCE);
    test.pass(500);
    expect_that!(test.ends(), is_empty());
    test.pass(600);
    expect_that!(test.ends(), elements_are![eq("no_upstream")]);
}

#[gtest]
fn waiting_request_goes_to_the_first_upstream_that_comes() {
    let mut test = Test::new(0);
    test.ask(ONCE);
    test.list(vec![listed(0, 0)]);
    expect_that!(test.sent().len(), eq(1));
}

#[gtest]
fn unknown_key_and_unknown_path_are_refused() {
    let mut test = Test::new(1);
    test.ask_as("stranger", ONCE, 0);
    test.ask_as("key", "/nowhere", 0);
    expect_that!(
        test.ends(),
        elements_are![eq("unauthorized"), eq("unknown_service")]
    );
}

#[gtest]
fn public_route_needs_no_key() {
    let mut test = Test::new(1);
    test.ask_as("", "/open/1", 0);
    expect_that!(test.sent().len(), eq(1));
}

#[gtest]
fn without_configuration_a_request_waits_for_one_and_is_asked_to_come_back_then() {
    let mut test = Test::without_configuration();
    test.ask(ONCE);
    test.pass(2_400);
    expect_that!(test.ends(), is_empty());
    test.pass(200);
    expect_that!(test.ends(), elements_are![eq("not_ready")]);
    let patience_left = 17_500;
    expect_that!(test.come_backs(), elements_are![eq(&(patience_left / 8))]);
}

#[gtest]
fn doubted_upstream_is_tried_again_after_a_while() {
    let mut test = Test::new(2);
    test.ask(ONCE);
    let first = test.last();
    test.fail(&first, Failure::NotSent);
    test.pass(9_000);
    let mut upstreams = Vec::new();
    for _ in 0..20 {
        test.ask(ONCE);
        let sent = test.last();
        upstreams.push(sent.upstream);
        test.answer(&sent, Verdict::Good);
    }
    expect_that!(upstreams, contains(eq(&first.upstream)));
}

#[gtest]
fn retries_of_new_work_have_a_budget() {
    let mut test = Test::new(6);
    for _ in 0..60 {
        test.ask(AGAIN);
        let sent = test.last();
        test.answer(&sent, Verdict::Fault);
    }
    expect_that!(test.counted(Counter::Retried(Reason::Fault)), lt(60));
    expect_that!(test.ends(), contains(eq("answer")));
}
