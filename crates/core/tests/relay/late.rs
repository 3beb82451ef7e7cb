//! Requests that arrive at an instance that stops, in virtual time: what is sent ends whole, the rest is refused as not run.

use super::*;
use wellplank_core::{
    settings::ShutdownPolicy,
    shutdown::{Fit, Late, RETRY_AFTER_MS},
};

/// Time that callers have for a request that outlasts the grace period, in milliseconds.
const LONG_MS: u64 = 24_000;

/// Time between two arrivals, and between two moments at which something happens, in milliseconds.
const ARRIVAL_MS: u64 = 50;
const STEP_MS: u64 = 10;

/// Time behind the signal within which load balancers send new callers, in milliseconds.
const BALANCED_MS: u64 = 2_000;

/// Time for which calls are made before the signal, in milliseconds.
const BEFORE_MS: u64 = 20_000;

/// Usual time that a call takes, and that of a long one, in milliseconds.
const SHORT_CALL_MS: u64 = 50;
const LONG_CALL_MS: u64 = 4_000;

/// How the requests that arrived behind the signal ended.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Ends {
    /// Sent, and ended by the stop.
    ended: usize,
    /// Ended otherwise.
    other: usize,
    /// Refused as not run.
    refused: usize,
    /// The same while load balancers sent new callers.
    refused_early: usize,
    /// Answered whole.
    served: usize,
}

/// Calls that arrive at an instance before and throughout its planned stop.
struct Play {
    /// Time that callers have, in milliseconds.
    caller_ms: u64,
    /// Time that a call takes, in milliseconds, by its number and the time behind the signal.
    call_ms: fn(u64, Option<u64>) -> u64,
    /// Time that the instance has to stop, in milliseconds.
    left_ms: u64,
    path: &'static str,
    policy: ShutdownPolicy,
}

impl Default for Play {
    fn default() -> Self {
        Self {
            caller_ms: LONG_MS,
            call_ms: |_, _| SHORT_CALL_MS,
            left_ms: 7_600,
            path: NON_REPEATABLE,
            policy: ShutdownPolicy::Unfinishable,
        }
    }
}

impl Play {
    fn start(&self) -> Test {
        let mut test = Test::set(Settings {
            room: CapacityLimits {
                shutdown: self.policy,
                ..CapacityLimits::default()
            },
            ..Settings::default()
        })
        .configured(0);
        let listed = (0..6).map(|index| ListEntry {
            slots: 64,
            ..listed(index, index)
        });
        test.list(listed.collect());
        test
    }

    /// Plays calls for some time before the signal, and through the whole stop.
    fn run(&self) -> Ends {
        self.run_behind(BEFORE_MS)
    }

    fn run_behind(&self, before_ms: u64) -> Ends {
        let mut test = self.start();
        let mut due: Vec<(Time, Sent)> = Vec::new();
        let signal = test.now.after(before_ms);
        let end = signal.after(self.left_ms);
        let mut ends = Ends::default();
        let mut seen = 0;
        let mut calls = 0;
        let mut has_signal = false;
        let mut late = BTreeSet::new();
        while test.now < end {
            let behind_ms = (test.now >= signal).then(|| test.now.since(signal));
            if behind_ms.is_some() && !has_signal {
                has_signal = true;
                test.handle(Event::ShutdownStarted {
                    left_ms: self.left_ms,
                });
            }
            if test.now.0.is_multiple_of(ARRIVAL_MS) {
                calls += 1;
                let caller = test.request_within(self.caller_ms, "key", self.path, 0);
                if has_signal {
                    late.insert(caller);
                }
            }
            let sent = test.sent();
            let takes_ms = (self.call_ms)(calls, behind_ms);
            for sent in &sent[seen..] {
                due.push((test.now.after(takes_ms), sent.clone()));
            }
            seen = sent.len();
            test.advance(STEP_MS);
            let (now, is_early) = (test.now, test.now < signal.after(BALANCED_MS));
            for (_, sent) in due.extract_if(.., |(at, _)| *at <= now).collect::<Vec<_>>() {
                test.answer(&sent, Verdict::Good);
            }
            ends.add(&test, &late, is_early);
            // What is kept of the effects is what was sent.
            test.effects
                .retain(|effect| matches!(effect, Effect::Send { .. }));
        }
        test.handle(Event::ShutdownEnded);
        ends.add(&test, &late, false);
        expect_that!(test.core.running(), eq(0));
        println!("{} {:?}: {ends:?}", self.path, self.policy);
        ends
    }
}

impl Ends {
    /// Counts how callers that arrived behind the signal were answered.
    fn add(&mut self, test: &Test, late: &BTreeSet<Caller>, is_early: bool) {
        for effect in &test.effects {
            match effect {
                Effect::ForwardResponse(caller) if late.contains(caller) => self.served += 1,
                Effect::Fail {
                    caller,
                    kind,
                    retry_after_ms,
                } if late.contains(caller) => match kind {
                    Kind::Stopping => {
                        expect_that!(*retry_after_ms, some(eq(RETRY_AFTER_MS)));
                        self.refused += 1;
                        self.refused_early += usize::from(is_early);
                    }
                    Kind::Interrupted | Kind::Unknown => self.ended += 1,
                    _ => self.other += 1,
                },
                _ => {}
            }
        }
    }
}

/// One call in six takes 4 s, the others 0.05 s.
fn uneven(number: u64, _: Option<u64>) -> u64 {
    if number.is_multiple_of(6) {
        LONG_CALL_MS
    } else {
        SHORT_CALL_MS
    }
}

/// Calls take 0.05 s, and 4 s from 3 s behind the signal on.
fn slows_down(_: u64, behind_ms: Option<u64>) -> u64 {
    if behind_ms.is_some_and(|behind_ms| behind_ms >= 3_000) {
        LONG_CALL_MS
    } else {
        SHORT_CALL_MS
    }
}

/// Guards against calls that may run once, are sent for the sake of a mean that is shorter than they are, and are ended by the
/// stop.
#[gtest]
fn late_uneven_calls_that_may_run_once_are_not_sent_and_ended() {
    for left_ms in [1_750, 7_600, 19_600] {
        let play = Play {
            call_ms: uneven,
            left_ms,
            ..Play::default()
        };
        let ends = play.run();
        expect_that!(ends.ended, eq(0), "{left_ms}: {ends:?}");
        expect_that!(ends.other, eq(0), "{left_ms}: {ends:?}");
        expect_that!(ends.refused, gt(0), "{left_ms}: {ends:?}");
    }
}

/// Guards against the same for calls that may be repeated.
#[gtest]
fn late_uneven_calls_that_may_be_repeated_are_not_sent_and_ended() {
    let play = Play {
        call_ms: uneven,
        path: REPEATABLE,
        ..Play::default()
    };
    let ends = play.run();
    expect_that!(ends.ended, eq(0), "{ends:?}");
    expect_that!(ends.served, gt(0), "{ends:?}");
}

/// Guards against a call of a route that nothing is known of, which is taken for one that takes no time.
#[gtest]
fn late_calls_of_a_route_without_a_known_length_are_not_sent_and_ended() {
    for path in [NON_REPEATABLE, REPEATABLE] {
        let play = Play {
            call_ms: |_, _| 9_000,
            path,
            ..Play::default()
        };
        let ends = play.run_behind(0);
        expect_that!(ends.ended, eq(0), "{path}: {ends:?}");
    }
}

/// Guards against calls that may run once and are sent by a known length that their upstream no longer keeps.
#[gtest]
fn late_calls_that_may_run_once_are_not_sent_and_ended_by_upstreams_that_slow_down() {
    let play = Play {
        call_ms: slows_down,
        ..Play::default()
    };
    let ends = play.run();
    expect_that!(ends.ended, eq(0), "{ends:?}");
}

/// Guards against a stop that refuses calls which end in time whatever they do: their caller's time is over before its end.
#[gtest]
fn late_calls_whose_deadline_lies_before_the_end_are_taken() {
    for path in [NON_REPEATABLE, REPEATABLE] {
        let play = Play {
            caller_ms: 2_000,
            path,
            ..Play::default()
        };
        // Nothing is known of the route.
        let ends = play.run_behind(0);
        expect_that!(ends.refused_early, eq(0), "{path}: {ends:?}");
        // The last two seconds are too short for the caller's time.
        expect_that!(ends.served, ge(110), "{path}: {ends:?}");
        expect_that!(ends.ended, eq(0), "{path}: {ends:?}");
    }
}

/// Guards against a stop that refuses short calls while load balancers still send new callers.
#[gtest]
fn short_calls_are_taken_while_load_balancers_send_new_callers() {
    for path in [NON_REPEATABLE, REPEATABLE] {
        let play = Play {
            path,
            ..Play::default()
        };
        let ends = play.run();
        expect_that!(ends.refused_early, eq(0), "{path}: {ends:?}");
        expect_that!(ends.ended, eq(0), "{path}: {ends:?}");
    }
}

/// Guards against a stream that is sent later than load balancers send new callers, by a known length, and is cut in its middle.
#[gtest]
fn late_streams_are_sent_only_if_their_deadline_lies_before_the_end() {
    let mut test = Test::new(1);
    for _ in 0..20 {
        let sent = test.stream(40);
        test.advance(100);
        test.close(&sent, true);
    }
    test.effects.clear();
    test.handle(Event::ShutdownStarted { left_ms: 19_600 });
    let sent = test.stream(40);
    test.close(&sent, true);
    expect_that!(test.sent().len(), eq(1));
    test.advance(3_000);
    test.effects
        .retain(|effect| matches!(effect, Effect::Send { .. }));
    test.request(STREAM);
    expect_that!(test.sent().len(), eq(1));
    expect_that!(test.outcomes(), elements_are![eq("stopping")]);
    test.request_within(9_000, "key", STREAM, 0);
    expect_that!(test.sent().len(), eq(2));
}

/// Guards against a call that waits for a slot at the stop, is sent with too little time left, and may not be repeated.
#[gtest]
fn calls_that_wait_and_may_run_once_are_refused_once_they_might_not_end_in_time() {
    let mut test = Test::new(0);
    test.request(NON_REPEATABLE);
    test.handle(Event::ShutdownStarted { left_ms: 7_600 });
    test.list(vec![listed(0, 0)]);
    test.advance(100);
    expect_that!(test.sent(), is_empty());
    expect_that!(test.outcomes(), elements_are![eq("stopping")]);
}

/// Guards against a log that does not tell which requests were taken behind the signal, and when they were expected to end.
#[gtest]
fn requests_taken_behind_the_signal_are_logged_with_their_expected_end() {
    let mut test = Test::new(1);
    test.handle(Event::ShutdownStarted { left_ms: 7_600 });
    test.advance(600);
    test.request_within(2_000, "key", NON_REPEATABLE, 0);
    test.request(NON_REPEATABLE);
    let late = |effect: &Effect| match effect {
        Effect::LogRequest(effect::RequestLog {
            step: effect::Step::TakenAtStop(late),
            ..
        }) => Some(*late),
        _ => None,
    };
    let late: Vec<Late> = test.effects.iter().filter_map(late).collect();
    let expected = Late {
        expected_ms: 2_000,
        fit: Fit::Deadline,
        left_ms: 7_000,
    };
    expect_that!(late, elements_are![eq(&expected)]);
    expect_that!(test.counted(Counter::TakenAtStop(Fit::Deadline)), eq(1));
}
