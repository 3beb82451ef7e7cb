//! Requests that wait while their upstreams recover: who is sent first, what is spent, and what holds up others.

use super::*;
use wellplank_core::settings::RetryBound;

fn without_copies(upstreams: usize, retry: RetryBound) -> Test {
    let settings = Settings {
        relay_resume: ResumeMode::Anew,
        retry,
        ..Settings::default()
    };
    Test::set(settings).configured(upstreams)
}

impl Test {
    /// Callers of the requests sent, in order.
    fn callers_sent(&self) -> Vec<Caller> {
        let caller = |effect: &Effect| match effect {
            Effect::Send {
                outbound: Outbound::Relay { caller, .. },
                ..
            } => Some(*caller),
            _ => None,
        };
        self.effects.iter().filter_map(caller).collect()
    }
}

/// Guards against a call on its last run at the head of the queue that keeps new calls from finding out whether an upstream answers.
#[gtest]
fn call_on_its_last_run_does_not_hold_up_calls_that_may_try_an_upstream_that_broke_off() {
    let mut test = without_copies(1, RetryBound::default());
    test.request(REPEATABLE);
    let first = test.last_sent();
    test.body = 1;
    test.request(REPEATABLE);
    let second = test.last_sent();
    test.break_connection(&first, false);
    test.advance(60);
    test.break_connection(&second, false);
    test.body = 2;
    let waiting = test.request(REPEATABLE);
    test.advance(500);
    expect_that!(test.sent().len(), eq(3));
    let callers: Vec<Caller> = test.callers_sent();
    expect_that!(callers.last(), some(eq(&waiting)), "{callers:?}");
}

/// Guards against a refused stream on its last run that keeps new streams from finding out whether an upstream answers: it is
/// sent first and cut.
#[gtest]
fn refused_stream_on_its_last_run_does_not_hold_up_streams_that_may_try_an_upstream_that_broke_off()
{
    let mut test = without_copies(1, RetryBound::default());
    let begun = test.request(STREAM);
    for position in 1..=4 {
        let sent = test.last_sent();
        test.handle(Event::StreamOpened(sent.attempt));
        test.send_event(&sent, position);
        test.break_connection(&sent, false);
        test.advance(1_000);
    }
    let fifth = test.last_sent();
    test.fail(&fifth, Failure::Refused);
    for _ in 0..2 {
        test.handle(Event::PeerBreakOff(incarnation(0, 0)));
        test.advance(60);
    }
    let before = test.sent().len();
    test.body = 1;
    let new = test.request(STREAM);
    test.advance(1_500);
    let callers = test.callers_sent();
    let next = callers.get(before).copied();
    expect_that!(next, some(eq(new)), "begun {begun:?}: {callers:?}");
}

/// Guards against permits that expire while their requests wait: the attempts are then sent beside those that took the next ones.
#[gtest]
fn requests_that_waited_for_longer_than_the_window_stay_within_the_retry_bound() {
    let bound = RetryBound {
        extra: 10.0,
        ratio: 0.0,
        window_ms: 10_000,
    };
    for begun in [false, true] {
        let mut test = without_copies(6, bound);
        let mut streams = Vec::new();
        for body in 0..16 {
            test.body = body;
            let sent = if begun || body >= 8 {
                test.stream(1)
            } else {
                test.request(STREAM);
                test.last_sent()
            };
            streams.push(sent);
        }
        // No upstream takes what broke off.
        test.list(Vec::new());
        for sent in &streams[..8] {
            test.break_connection(sent, false);
        }
        for position in 2..=104 {
            test.advance(100);
            for sent in &streams[8..] {
                test.send_event(sent, position);
            }
        }
        for sent in &streams[8..] {
            test.break_connection(sent, false);
        }
        test.advance(100);
        let before = test.sent().len();
        expect_that!(before, eq(16));
        test.list((10..16).map(|index| listed(index, index)).collect());
        test.advance(100);
        let attempts = test.sent().len() - before;
        expect_that!(attempts, le(10), "begun: {begun}; {:?}", test.outcomes());
    }
}

/// Guards against one broken exchange by which a sound upstream gets one call at a time: those behind it were refused.
#[gtest]
fn calls_are_not_refused_at_the_only_upstream_because_one_call_broke_off() {
    let refused = |breaks: bool| {
        let mut test = without_copies(1, RetryBound::default());
        let mut running = Vec::new();
        for body in 0..4 {
            test.body = body;
            test.request(REPEATABLE);
            running.push(test.last_sent());
        }
        if breaks {
            test.break_connection(&running[0], false);
        } else {
            test.answer(&running[0], Verdict::Good);
        }
        for body in 10..16 {
            test.body = body;
            test.request(REPEATABLE);
        }
        // The calls that run take two seconds.
        test.advance(1_900);
        let outcomes = test.outcomes();
        outcomes.iter().filter(|kind| *kind == "overloaded").count()
    };
    let (sound, broken) = (refused(false), refused(true));
    expect_that!(broken, le(sound + 1));
}

/// Guards against upstreams that answer with an error within milliseconds using up the upstreams of a begun stream.
#[gtest]
fn begun_stream_outlasts_upstreams_that_answer_with_errors_for_a_second() {
    let mut test = without_copies(9, RetryBound::default());
    let first = test.stream(3);
    test.break_connection(&first, false);
    let mut seen = 1;
    for _ in 0..120 {
        let sent = test.sent();
        for sent in &sent[seen..] {
            test.answer(sent, Verdict::Fault);
        }
        seen = sent.len();
        test.advance(10);
    }
    expect_that!(test.outcomes(), is_empty(), "sent {}", test.sent().len());
}

/// Guards against upstreams that send one event and break off using up the upstreams of a begun stream within milliseconds.
#[gtest]
fn begun_stream_outlasts_upstreams_that_break_off_behind_one_event_for_a_second() {
    let mut test = without_copies(9, RetryBound::default());
    let first = test.stream(1);
    test.break_connection(&first, false);
    let mut seen = 1;
    for _ in 0..120 {
        let sent = test.sent();
        for sent in &sent[seen..] {
            test.handle(Event::StreamOpened(sent.attempt));
            test.send_event(sent, sent.position + 1);
            test.break_connection(sent, false);
        }
        seen = sent.len();
        test.advance(10);
    }
    expect_that!(test.outcomes(), is_empty(), "sent {}", test.sent().len());
}

/// Guards against a begun stream that stays at a frozen upstream until its deadline because two earlier ones ended.
#[gtest]
fn begun_stream_of_two_ended_upstreams_leaves_a_frozen_third_in_time() {
    let mut test = without_copies(9, RetryBound::default());
    let first = test.stream(3);
    test.break_connection(&first, true);
    let second = test.last_sent();
    test.break_connection(&second, true);
    expect_that!(test.sent().len(), eq(3));
    test.advance(16_000);
    expect_that!(test.sent().len(), gt(3), "{:?}", test.outcomes());
}

/// Guards against a begun stream that is cut with its time left because there is no permit, where its pool has one upstream, or
/// one of two broke off.
#[gtest]
fn begun_stream_waits_for_a_permit_behind_the_only_upstream_that_broke_off() {
    let bound = RetryBound {
        extra: 2.0,
        ratio: 0.0,
        window_ms: 4_000,
    };
    let mut test = without_copies(1, bound);
    let first = test.stream(1);
    test.break_connection(&first, false);
    test.advance(1_000);
    let second = test.last_sent();
    expect_that!(test.sent().len(), eq(2));
    test.break_connection(&second, false);
    expect_that!(test.outcomes(), is_empty());
}

/// Guards against a stream that stays at a frozen upstream until its deadline because requests like it met two ends of upstreams
/// ten minutes before.
#[gtest]
fn stream_like_one_that_met_two_ends_leaves_a_frozen_upstream_in_time() {
    let mut test = without_copies(9, RetryBound::default());
    let caller = test.request(STREAM);
    for _ in 0..2 {
        let sent = test.last_sent();
        test.break_connection(&sent, true);
    }
    test.handle(Event::CallerGone(caller));
    test.advance(600_000);
    let before = test.sent().len();
    test.request(STREAM);
    test.advance(19_000);
    expect_that!(test.sent().len() - before, gt(1), "{:?}", test.outcomes());
}

/// Guards against a relayed call that may have run and is given up while all upstreams ask for a rest that ends before its deadline.
#[gtest]
fn call_that_broke_off_waits_for_the_end_of_a_backoff() {
    let mut test = Test::new(2);
    test.request(REPEATABLE);
    let other = test.last_sent();
    let notice = Notice {
        backoff: Backoff::For(5_000),
        ..Notice::default()
    };
    test.apply_notice(&other, notice);
    test.answer(&other, Verdict::Good);
    test.request(REPEATABLE);
    let sent = test.last_sent();
    test.apply_notice(&sent, notice);
    test.break_connection(&sent, false);
    test.advance(4_800);
    expect_that!(test.outcomes(), elements_are![eq("answer")]);
    test.advance(500);
    expect_that!(test.sent().len(), eq(3));
}

/// Guards against a choice whose cost grows with the square of the number of upstreams that broke off.
#[gtest]
fn choice_for_a_call_that_may_run_once_costs_no_square_of_the_upstreams_that_broke_off() {
    let cost = |upstreams: usize| {
        let mut test = without_copies(upstreams, RetryBound::default());
        for upstream in 0..upstreams {
            test.handle(Event::PeerBreakOff(incarnation(upstream, 0)));
        }
        test.advance(300);
        let mut costs = Vec::new();
        for body in 0..3 {
            test.body = body;
            let start = std::time::Instant::now();
            test.request(NON_REPEATABLE);
            costs.push(start.elapsed().as_micros());
        }
        costs.into_iter().min().unwrap_or_default()
    };
    let (few, many) = (cost(500), cost(4_000));
    // Eight times as many upstreams.
    expect_that!(many, lt(24 * few), "{few} and {many} microseconds");
}

/// Guards against a request that waits at an instance and is sent though its caller has left.
#[gtest]
fn waiting_call_that_may_have_run_is_not_sent_once_its_caller_left() {
    let mut test = without_copies(1, RetryBound::default());
    let caller = test.request(REPEATABLE);
    let sent = test.last_sent();
    test.list(Vec::new());
    test.break_connection(&sent, false);
    test.advance(3_000);
    test.handle(Event::CallerGone(caller));
    test.list(vec![listed(7, 7)]);
    test.advance(1_000);
    expect_that!(test.sent().len(), eq(1));
}

/// Guards against a stop that tells the caller of a waiting request which may have run that it did not.
#[gtest]
fn waiting_call_that_may_have_run_is_interrupted_by_a_stop() {
    let mut test = without_copies(1, RetryBound::default());
    test.request(REPEATABLE);
    let sent = test.last_sent();
    test.list(Vec::new());
    test.break_connection(&sent, false);
    test.advance(3_000);
    expect_that!(test.outcomes(), is_empty());
    test.handle(Event::ShutdownEnded);
    expect_that!(test.outcomes(), elements_are![eq("interrupted")]);
}

/// Guards against a broken exchange of ten minutes ago by which an idle upstream gets one call at a time: those behind it were
/// refused.
#[gtest]
fn calls_are_not_refused_because_an_exchange_broke_off_long_ago() {
    let mut test = without_copies(1, RetryBound::default());
    test.handle(Event::PeerBreakOff(incarnation(0, 0)));
    test.advance(600_000);
    for body in 0..4 {
        test.body = body;
        test.request(REPEATABLE);
    }
    // Calls take 1.5 s.
    test.advance(1_500);
    expect_that!(test.outcomes(), is_empty(), "sent {}", test.sent().len());
}

/// Upstreams with four slots each, which their list entries state.
fn with_slots(upstreams: usize, slots: u32, retry: RetryBound) -> Test {
    let mut test = without_copies(upstreams, retry);
    let entry = |index| ListEntry {
        slots,
        ..listed(index, index)
    };
    test.list((0..upstreams).map(entry).collect());
    test
}

/// Guards against a begun stream that lacks a permit, and so takes no slot, holding a free slot against new streams of other
/// instances.
#[gtest]
fn begun_stream_that_lacks_a_permit_holds_no_slot_at_other_instances() {
    let bound = RetryBound {
        extra: 2.0,
        ratio: 0.0,
        window_ms: 10_000,
    };
    let mut first = with_slots(2, 1, bound);
    first.stream(3);
    let sent = first.last_sent();
    first.break_connection(&sent, false);
    for _ in 0..40 {
        let sent = first.last_sent();
        first.fail(&sent, Failure::Refused);
        first.advance(100);
    }
    expect_that!(first.outcomes(), is_empty());
    let waiting = first.effects.iter().rev().find_map(|effect| match effect {
        Effect::GossipStream { record, .. } => Some(record.clone()),
        _ => None,
    });
    let waiting = waiting.expect("it was announced");
    expect_that!(waiting.stage, eq(Stage::Waiting));
    expect_that!(
        first.counted(Counter::RetryRefused(
            wellplank_core::retry_window::RetryClass::Resume
        )),
        ge(2)
    );
    let mut other = with_slots(1, 1, RetryBound::default());
    let before = other.stream(1);
    other.close(&before, true);
    other.handle(Event::PeerStream(waiting));
    other.body = 9;
    other.request(STREAM);
    other.advance(1_000);
    expect_that!(other.sent().len(), eq(2), "{:?}", other.outcomes());
}

/// Guards against a stream that stayed at a silent upstream for lack of a place and is cut, repeated or sent twice once that
/// upstream breaks off, crashes, is no longer listed or is replaced.
#[gtest]
fn stream_that_stayed_at_a_silent_upstream_goes_on_once_that_upstream_ends() {
    for case in 0..4 {
        let mut test = with_slots(2, 1, RetryBound::default());
        let sent = test.stream(3);
        let other = 1 - sent.upstream;
        test.handle(Event::PeerStream(StreamRecord {
            origin: RunId::new("peer"),
            prompt: 900,
            run: "peer".into(),
            ..stream_record(other, other)
        }));
        test.advance(1_200);
        expect_that!(test.sent().len(), eq(1));
        match case {
            0 => test.break_connection(&sent, false),
            1 => test.break_connection(&sent, true),
            2 => test.list(vec![ListEntry {
                slots: 1,
                ..listed(other, other)
            }]),
            _ => test.fail(&sent, Failure::Replaced),
        }
        test.advance(500);
        expect_that!(test.outcomes(), is_empty());
        test.handle(Event::PeerStream(StreamRecord {
            origin: RunId::new("peer"),
            prompt: 900,
            run: "peer".into(),
            stage: Stage::Ended,
            ..stream_record(other, other)
        }));
        test.advance(600);
        let last = test.last_sent();
        expect_that!(last.upstream, eq(other), "case {case}");
        expect_that!(last.position, eq(3));
        test.handle(Event::StreamOpened(last.attempt));
        test.send_event(&last, 4);
        test.send_event(&sent, 4);
        expect_that!(
            test.delivered(),
            elements_are![eq(&1), eq(&2), eq(&3), eq(&4)]
        );
    }
}

/// Guards against the renewed record of a stream that was sent and broke off by which other instances take its next attempt for
/// its first.
#[gtest]
fn stream_that_broke_off_and_waits_is_not_announced_as_new() {
    let mut test = without_copies(1, RetryBound::default());
    let mut ranked = configuration(2);
    let second = config::Relay {
        priority: config::DEFAULT_PRIORITY + 1,
        ..ranked.routes[0].shares[0].service.relay().unwrap().clone()
    };
    ranked.routes.push(route("/later/", second, true, false));
    test.handle(Event::Config(Arc::new(ranked)));
    test.handle(Event::PeerBreakOff(incarnation(0, 0)));
    test.request(STREAM);
    expect_that!(test.sent().len(), eq(0));
    test.advance(400);
    let sent = test.last_sent();
    test.list(Vec::new());
    test.break_connection(&sent, false);
    let before = test.effects.len();
    test.advance(3_000);
    expect_that!(test.outcomes(), is_empty());
    let announced = test.effects[before..].iter().filter(|effect| {
        matches!(effect, Effect::GossipStream { record, .. }
            if record.stage == Stage::Waiting && !record.has_begun)
    });
    expect_that!(announced.count(), eq(0));
}

/// A begun stream whose upstreams all accept connections and break them off for a time, as the only request of its instance.
fn alone_beside_broken_upstreams(upstreams: usize, millis: u64) -> Test {
    let mut test = without_copies(upstreams, RetryBound::default());
    let first = test.stream(1);
    test.break_connection(&first, false);
    let mut seen = 1;
    for _ in 0..millis / 10 {
        let sent = test.sent();
        for sent in &sent[seen..] {
            test.break_connection(sent, false);
        }
        seen = sent.len();
        test.advance(10);
    }
    test
}

/// Guards against a begun stream that alone finds out which upstreams break off, and uses up its upstreams before it pauses.
#[gtest]
fn begun_stream_alone_outlasts_upstreams_that_break_off_for_a_second() {
    for upstreams in [4, 9, 81] {
        let test = alone_beside_broken_upstreams(upstreams, 1_200);
        let left: Vec<u64> = test.sent().iter().map(|sent| sent.left_ms).collect();
        expect_that!(test.outcomes(), is_empty(), "{upstreams}: {left:?}");
    }
}

/// Guards against runs at one upstream that count as that many upstreams: the stream was cut with over 0.9 of its time left.
#[gtest]
fn begun_stream_outlasts_the_only_upstream_that_breaks_off_for_four_seconds() {
    let test = alone_beside_broken_upstreams(1, 4_000);
    let left: Vec<u64> = test.sent().iter().map(|sent| sent.left_ms).collect();
    expect_that!(test.outcomes(), is_empty(), "{left:?}");
}

/// Guards against silent streams that each look at all upstreams in each tick while they stay for lack of a place.
#[gtest]
fn streams_that_stay_at_silent_upstreams_do_not_search_a_full_pool_in_each_tick() {
    const UPSTREAMS: usize = 4_000;
    let mut test = with_slots(UPSTREAMS, 1, RetryBound::default());
    for body in 0..50 {
        test.body = body;
        test.stream(1);
    }
    let own: BTreeSet<usize> = test.sent().iter().map(|sent| sent.upstream).collect();
    for upstream in (0..UPSTREAMS).filter(|upstream| !own.contains(upstream)) {
        let run = format!("peer-{upstream}");
        test.handle(Event::PeerStream(StreamRecord {
            origin: RunId::new(&run),
            prompt: 10_000 + upstream as u64,
            run,
            ..stream_record(upstream, upstream)
        }));
    }
    let cost = |test: &mut Test| {
        let start = std::time::Instant::now();
        test.advance(100);
        start.elapsed().as_micros()
    };
    test.advance(200);
    let heard = cost(&mut test);
    test.advance(200);
    let silent = cost(&mut test);
    expect_that!(test.sent().len(), eq(50));
    expect_that!(silent, lt(4 * heard), "{heard} and {silent} microseconds");
}

/// Guards against a large stream that broke off and finds no memory by which small ones are held up until its deadline.
#[gtest]
fn large_stream_that_broke_off_does_not_hold_up_small_ones_until_its_deadline() {
    let mut test = without_copies(2, RetryBound::default());
    test.body = 1;
    test.request_of_size(50_000, STREAM);
    let large = test.last_sent();
    let mut small = Vec::new();
    for body in 2..8 {
        test.body = body;
        test.request_of_size(6_000, STREAM);
        let sent = test.last_sent();
        test.handle(Event::StreamOpened(sent.attempt));
        test.send_event(&sent, 1);
        small.push(sent);
    }
    test.break_connection(&large, false);
    test.handle(Event::StreamOpened(small[0].attempt));
    let before = test.sent().len();
    test.body = 9;
    test.request_of_size(6_000, STREAM);
    for position in 2..390 {
        test.advance(50);
        for sent in &small {
            test.send_event(sent, position);
        }
    }
    expect_that!(test.sent().len(), gt(before));
}
