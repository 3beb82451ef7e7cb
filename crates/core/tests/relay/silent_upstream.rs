//! Streams that have begun and find no slot elsewhere: their upstream fell silent or broke off while all others are full.

use super::*;
use wellplank_core::{
    bound::{Account, Bound},
    effect::Step,
    kind::Kind,
    settings::RetryBound,
};

/// Time in which an upstream answers that it refuses a request, in milliseconds.
const REFUSAL_MS: u64 = 10;

impl Test {
    /// Starts a stream of three events without a copy, and breaks its connection.
    fn lose_stream(&mut self) -> Sent {
        let sent = self.stream(3);
        self.break_connection(&sent, false);
        sent
    }

    /// Lets upstreams refuse whatever they are sent for a time; returns when each attempt after the first `seen` was sent,
    /// and to which upstream.
    fn refuse_all(&mut self, millis: u64, mut seen: usize) -> Vec<(Time, usize)> {
        let mut tries = Vec::new();
        for _ in 0..millis / REFUSAL_MS {
            let sent = self.sent();
            for sent in &sent[seen..] {
                tries.push((self.now, sent.upstream));
            }
            self.advance(REFUSAL_MS);
            for sent in &sent[seen..] {
                self.fail(sent, Failure::Refused);
            }
            seen = sent.len();
        }
        tries
    }
}

/// Upstreams whose streams have no copies.
fn without_copies(retry: RetryBound) -> Test {
    let settings = Settings {
        relay_resume: ResumeMode::Anew,
        retry,
        ..Settings::default()
    };
    Test::set(settings).configured(6)
}

/// Guards against refusals that ran nothing using up the attempts of a stream: it was cut after seven of them, within 0.2 s,
/// with 20 s left.
#[gtest]
fn stream_that_has_begun_outlasts_refusals() {
    let mut test = without_copies(RetryBound::default());
    test.lose_stream();
    test.refuse_all(3_000, 1);
    expect_that!(test.outcomes(), is_empty());
    // An upstream has a slot again.
    test.advance(1_000);
    let next = test.last_sent();
    expect_that!(next.position, eq(3));
    test.handle(Event::StreamOpened(next.attempt));
    test.send_event(&next, 4);
    test.close(&next, true);
    expect_that!(test.outcomes(), elements_are![eq("close")]);
    expect_that!(
        test.delivered(),
        elements_are![eq(&1), eq(&2), eq(&3), eq(&4)]
    );
}

/// Guards against refusals before the first event using up the attempts of the stream that then begins: it was cut at the
/// first loss.
#[gtest]
fn refusals_before_the_first_event_use_up_no_attempts_of_the_stream() {
    let mut test = without_copies(RetryBound::default());
    test.request(STREAM);
    for _ in 0..7 {
        let sent = test.last_sent();
        test.fail(&sent, Failure::Refused);
        test.advance(260);
    }
    expect_that!(test.sent().len(), eq(8));
    let sent = test.last_sent();
    test.handle(Event::StreamOpened(sent.attempt));
    test.send_event(&sent, 1);
    test.break_connection(&sent, false);
    expect_that!(test.outcomes(), is_empty());
    expect_that!(test.last_sent().position, eq(1));
}

/// Guards against leaving a silent upstream where the stream has no attempt left: that cut it.
#[gtest]
fn stream_without_further_attempts_stays_at_a_silent_upstream() {
    let mut test = without_copies(RetryBound::default());
    test.stream(1);
    for position in 2..=5 {
        let sent = test.last_sent();
        test.break_connection(&sent, false);
        // Where several upstreams broke off, the stream pauses first.
        test.advance(100);
        let next = test.last_sent();
        test.handle(Event::StreamOpened(next.attempt));
        test.send_event(&next, position);
    }
    expect_that!(test.sent().len(), eq(5));
    test.advance(3_000);
    expect_that!(test.outcomes(), is_empty());
    let last = test.last_sent();
    test.send_event(&last, 6);
    test.close(&last, true);
    expect_that!(test.outcomes(), elements_are![eq("close")]);
}

/// Guards against a burst of attempts at upstreams that are known to be full.
#[gtest]
fn refused_stream_is_sent_at_a_growing_interval_and_not_to_an_upstream_that_has_just_refused_it() {
    let mut test = without_copies(RetryBound::default());
    test.lose_stream();
    let tries = test.refuse_all(10_000, 1);
    expect_that!(tries.len(), all![ge(10), le(25)]);
    for pair in tries.windows(2).skip(4) {
        expect_that!(pair[1].0.since(pair[0].0), ge(200));
    }
    for (index, (at, upstream)) in tries.iter().enumerate() {
        let again = tries[index + 1..]
            .iter()
            .find(|(_, other)| other == upstream);
        if let Some((again, _)) = again {
            expect_that!(again.since(*at), ge(250));
        }
    }
}

/// Guards against a stream that waits without end.
#[gtest]
fn refused_stream_ends_at_its_deadline() {
    let mut test = without_copies(RetryBound::default());
    test.lose_stream();
    test.refuse_all(19_900, 1);
    expect_that!(test.outcomes(), is_empty());
    test.refuse_all(1_000, test.sent().len());
    expect_that!(test.outcomes(), elements_are![eq("cut")]);
}

/// Guards against cutting a stream while all upstreams ask for a rest that ends long before its deadline: it waited only as
/// long as a new request.
#[gtest]
fn stream_that_has_begun_waits_for_the_end_of_a_backoff() {
    let mut test = without_copies(RetryBound::default());
    let mut by_upstream = BTreeMap::new();
    while by_upstream.len() < 6 {
        test.request(REPEATABLE);
        let sent = test.last_sent();
        test.answer(&sent, Verdict::Good);
        by_upstream.insert(sent.upstream, sent);
    }
    let first = test.stream(3);
    for sent in by_upstream.values() {
        let notice = Notice {
            backoff: Backoff::For(6_000),
            ..Notice::default()
        };
        test.apply_notice(sent, notice);
    }
    let before = test.sent().len();
    test.break_connection(&first, false);
    test.advance(5_900);
    expect_that!(test.sent().len(), eq(before));
    expect_that!(test.outcomes(), not(contains(eq("cut"))));
    test.advance(1_000);
    expect_that!(test.last_sent().position, eq(3));
}

/// Guards against new streams taking the slots that a stream which has begun waits for.
#[gtest]
fn new_streams_wait_behind_a_refused_stream_that_has_begun() {
    let mut test = without_copies(RetryBound::default());
    test.lose_stream();
    test.refuse_all(600, 1);
    let before = test.sent().len();
    test.request(STREAM);
    expect_that!(test.sent().len(), eq(before));
    test.advance(1_000);
    let sent = test.sent();
    expect_that!(sent[before].position, eq(3));
    test.handle(Event::StreamOpened(sent[before].attempt));
    test.send_event(&sent[before], 4);
    test.advance(300);
    expect_that!(test.sent().len(), eq(before + 2));
    expect_that!(test.last_sent().position, eq(0));
}

/// Guards against cutting a stream that was refused because the bound on attempts leaves no permit at this moment.
#[gtest]
fn refused_stream_without_a_permit_waits_for_one() {
    let bound = RetryBound {
        extra: 3.0,
        ratio: 0.0,
        window_ms: 4_000,
    };
    let mut test = without_copies(bound);
    test.lose_stream();
    let tries = test.refuse_all(12_000, 1);
    expect_that!(test.outcomes(), is_empty());
    expect_that!(tries.len(), all![ge(4), le(9)]);
    for (index, (at, _)) in tries.iter().enumerate() {
        let in_window = tries[index..]
            .iter()
            .filter(|(other, _)| other.since(*at) < 4_000);
        expect_that!(in_window.count(), le(3));
    }
}

/// Accounts and kinds of the requests that failed.
fn failures(test: &Test) -> Vec<(Account, Kind)> {
    let failed = |effect: &Effect| match effect {
        Effect::LogRequest(entry) => match entry.step {
            Step::Failed { account, kind, .. } => Some((account, kind)),
            _ => None,
        },
        _ => None,
    };
    test.effects.iter().filter_map(failed).collect()
}

/// Guards against a stream that fails with nearly all of its time left, and whose line does not say by which bound.
#[gtest]
fn failure_tells_the_bound_that_ended_the_request_and_the_time_left() {
    let mut test = without_copies(RetryBound::default());
    test.stream(1);
    for _ in 0..5 {
        let sent = test.last_sent();
        test.break_connection(&sent, false);
        // The upstreams that broke off are in use again.
        test.advance(1_010);
    }
    expect_that!(test.outcomes(), elements_are![eq("cut")]);
    let account = Account {
        bound: Some(Bound::Upstreams),
        departures: 0,
        left_ms: 15_960,
        not_run: 0,
        upstreams: 5,
    };
    expect_that!(
        failures(&test),
        elements_are![eq(&(account, Kind::UpstreamFailed))]
    );
    let early = Counter::EndedEarly(Kind::UpstreamFailed, Some(Bound::Upstreams));
    expect_that!(test.counted(early), eq(1));
    expect_that!(
        early.to_string(),
        eq("ended_early.upstream_failed.upstreams")
    );
}

/// Guards against the end of a request at its deadline that counts as one with time left.
#[gtest]
fn failure_at_the_deadline_is_not_early() {
    let mut test = Test::new(1);
    test.stream(1);
    test.advance(20_100);
    let bounds = failures(&test);
    let bounds = bounds.iter().map(|(account, kind)| (account.bound, *kind));
    expect_that!(
        bounds.collect::<Vec<_>>(),
        elements_are![eq(&(Some(Bound::Deadline), Kind::TimedOut))]
    );
    let early = Counter::EndedEarly(Kind::TimedOut, Some(Bound::Deadline));
    expect_that!(test.counted(early), eq(0));
}

/// Guards against ending a call because its upstream is silent for 0.3 s and there is no permit to send it once more: it was
/// answered with 502 and 19.7 s left, although no upstream had failed.
#[gtest]
fn silent_call_without_a_permit_waits_for_its_upstream() {
    let bound = RetryBound {
        extra: 0.0,
        ratio: 0.0,
        window_ms: 10_000,
    };
    let mut test = without_copies(bound);
    test.request(REPEATABLE);
    test.advance(1_500);
    expect_that!(test.outcomes(), is_empty());
    expect_that!(test.sent().len(), eq(1));
    let sent = test.last_sent();
    test.answer(&sent, Verdict::Good);
    expect_that!(test.outcomes(), elements_are![eq("answer")]);
}

/// Guards against the same where all attempts of the instance are used up, by refusals and connections that could not be made.
#[gtest]
fn silent_call_without_further_attempts_waits_for_its_upstream() {
    let settings = Settings {
        attempts_max: 2,
        ..Settings::default()
    };
    let mut test = Test::set(settings).configured(6);
    test.request(REPEATABLE);
    let first = test.last_sent();
    test.fail(&first, Failure::NotSent);
    test.advance(1_500);
    expect_that!(test.outcomes(), is_empty());
    let sent = test.last_sent();
    test.answer(&sent, Verdict::Good);
    expect_that!(test.outcomes(), elements_are![eq("answer")]);
}

/// Guards against taking a call from a silent upstream while no other takes it: it was cancelled there, and was answered with
/// 504 when it had waited for a second.
#[gtest]
fn silent_call_stays_at_its_upstream_while_no_other_takes_it() {
    let mut test = Test::new(2);
    test.request(REPEATABLE);
    let other = test.last_sent();
    let notice = Notice {
        backoff: Backoff::For(10_000),
        ..Notice::default()
    };
    test.apply_notice(&other, notice);
    test.answer(&other, Verdict::Good);
    test.request(REPEATABLE);
    let silent = test.last_sent();
    expect_that!(silent.upstream, not(eq(other.upstream)));
    test.advance(2_000);
    expect_that!(test.sent().len(), eq(2));
    test.answer(&silent, Verdict::Good);
    expect_that!(test.outcomes(), elements_are![eq("answer"), eq("answer")]);
}

/// Six upstreams with one slot each, which their list entries state, and a stream at one of them; streams of another instance
/// take all other slots.
fn with_full_upstreams() -> (Test, Sent) {
    let mut test = without_copies(RetryBound::default());
    let with_slot = |index| ListEntry {
        slots: 1,
        ..listed(index, index)
    };
    test.list((0..6).map(with_slot).collect());
    let sent = test.stream(3);
    for upstream in (0..6).filter(|upstream| *upstream != sent.upstream) {
        test.handle(Event::PeerStream(peer_stream(upstream, Stage::Streaming)));
    }
    (test, sent)
}

/// Record of the stream of another instance that runs at an upstream.
fn peer_stream(upstream: usize, stage: Stage) -> StreamRecord {
    let run = format!("peer-{upstream}");
    StreamRecord {
        origin: RunId::new(&run),
        prompt: 100 + upstream as u64,
        run,
        stage,
        ..stream_record(upstream, upstream)
    }
}

/// Guards against leaving a sound upstream for a slot that there is not: the stream waited for it until it was cut, while its
/// upstream went on after 1.2 s.
#[gtest]
fn begun_stream_stays_at_a_silent_upstream_while_all_others_are_full() {
    let (mut test, sent) = with_full_upstreams();
    test.advance(1_200);
    expect_that!(test.sent().len(), eq(1));
    test.send_event(&sent, 4);
    test.close(&sent, true);
    expect_that!(
        test.delivered(),
        elements_are![eq(&1), eq(&2), eq(&3), eq(&4)]
    );
    expect_that!(test.outcomes(), elements_are![eq("close")]);
}

/// Guards against taking an upstream that another instance has just left as silent for one with a slot: its streams no longer
/// count there.
#[gtest]
fn slot_of_an_upstream_that_another_instance_lost_is_no_reason_to_leave() {
    let (mut test, sent) = with_full_upstreams();
    test.advance(200);
    let lost = (sent.upstream + 1) % 6;
    test.handle(Event::PeerLoss(incarnation(lost, 0)));
    test.handle(Event::PeerStream(peer_stream(lost, Stage::Ended)));
    test.advance(1_000);
    expect_that!(test.sent().len(), eq(1));
}

/// Guards against a stream that waits at a dead upstream although there is a slot for it elsewhere.
#[gtest]
fn begun_stream_leaves_a_silent_upstream_once_another_has_a_slot() {
    let (mut test, sent) = with_full_upstreams();
    test.advance(1_200);
    let free = (sent.upstream + 1) % 6;
    test.handle(Event::PeerStream(peer_stream(free, Stage::Ended)));
    test.advance(10);
    expect_that!(test.sent().len(), eq(2));
    expect_that!(test.last_sent().upstream, eq(free));
    expect_that!(test.last_sent().position, eq(3));
}

/// Guards against a stream that waits without end at an upstream that died, and against one that waits although the connection
/// to its upstream broke.
#[gtest]
fn begun_stream_leaves_without_a_slot_elsewhere_after_the_time_that_callers_wait() {
    let (mut test, _) = with_full_upstreams();
    test.advance(5_100);
    expect_that!(test.sent().len(), eq(2));
    let (mut test, sent) = with_full_upstreams();
    test.break_connection(&sent, false);
    expect_that!(test.sent().len(), eq(2));
}

/// Record of a begun stream that waits for a slot at another instance.
fn begun_waiting(prompt: u64) -> StreamRecord {
    let run = format!("waiting-{prompt}");
    StreamRecord {
        backup: None,
        origin: RunId::new(&run),
        pool: "pool".into(),
        prompt,
        run,
        stage: Stage::Waiting,
        upstream: None,
        ..stream_record(0, 0)
    }
}

/// Guards against new streams taking the slots that a begun stream of another instance waits for: with six instances it was
/// sent twice in 4 s and then not once in 7.7 s, while 18 slots became free every 3 s.
#[gtest]
fn new_streams_leave_a_slot_to_a_begun_stream_that_waits_at_another_instance() {
    let (mut test, sent) = with_full_upstreams();
    test.handle(Event::PeerStream(begun_waiting(500)));
    test.close(&sent, true);
    let before = test.sent().len();
    test.request(STREAM);
    test.advance(500);
    expect_that!(test.sent().len(), eq(before));
    // A second slot is free.
    let free = (sent.upstream + 1) % 6;
    test.handle(Event::PeerStream(peer_stream(free, Stage::Ended)));
    test.advance(10);
    expect_that!(test.sent().len(), eq(before + 1));
}

/// Guards against the record of a stream that no longer waits, or whose instance is gone, holding up new streams without end.
#[gtest]
fn record_of_a_begun_stream_that_waits_holds_a_slot_for_five_seconds_at_most() {
    let (mut test, sent) = with_full_upstreams();
    test.handle(Event::PeerStream(begun_waiting(500)));
    test.advance(200);
    test.close(&sent, true);
    test.advance(3_000);
    let before = test.sent().len();
    test.request(STREAM);
    test.advance(1_700);
    expect_that!(test.sent().len(), eq(before));
    test.advance(200);
    expect_that!(test.sent().len(), eq(before + 1));
}

/// Guards against a refused stream that learns of a free slot only by trying: others have taken it by then.
#[gtest]
fn refused_stream_is_sent_at_once_to_the_slot_that_another_instance_leaves() {
    let (mut test, sent) = with_full_upstreams();
    test.break_connection(&sent, false);
    test.refuse_all(700, 1);
    let before = test.sent().len();
    let free = (sent.upstream + 1) % 6;
    test.handle(Event::PeerStream(peer_stream(free, Stage::Ended)));
    expect_that!(test.sent().len(), eq(before + 1));
    expect_that!(test.last_sent().upstream, eq(free));
}

/// Guards against all waiting streams of a fleet being sent to each slot that becomes free: one of them goes first.
#[gtest]
fn each_free_slot_goes_to_one_of_the_streams_that_wait_at_several_instances() {
    let mut taken = 0;
    for prompt in 500..540 {
        let (mut test, sent) = with_full_upstreams();
        test.break_connection(&sent, false);
        test.refuse_all(700, 1);
        test.handle(Event::PeerStream(begun_waiting(prompt)));
        let before = test.sent().len();
        let free = (sent.upstream + 1) % 6;
        test.handle(Event::PeerStream(peer_stream(free, Stage::Ended)));
        taken += test.sent().len() - before;
    }
    expect_that!(taken, all![ge(10), le(30)]);
}
