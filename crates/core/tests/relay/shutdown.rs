//! Requests of an instance that stops.

use super::*;
use wellplank_core::{settings::ShutdownPolicy, shutdown::RETRY_AFTER_MS};

/// Time that the instance has to stop, in milliseconds.
const LEFT_MS: u64 = 7_600;

/// Events of a whole stream.
const EVENTS: u64 = 40;

impl Test {
    fn start_shutdown(&mut self) {
        self.handle(Event::ShutdownStarted { left_ms: LEFT_MS });
    }

    /// Has a stream take some time from its sending to its first event, and from there to its end.
    fn run_stream(&mut self, prefill_ms: u64, events_ms: u64) {
        self.request(STREAM);
        let sent = self.last_sent();
        self.advance(prefill_ms);
        self.handle(Event::StreamOpened(sent.attempt));
        for position in 1..=EVENTS {
            self.send_event(&sent, position);
            self.advance(events_ms / EVENTS);
        }
        self.close(&sent, true);
    }

    /// A core that has learnt that streams take a second to their first event and four more to their end.
    fn with_streams_of_five_seconds() -> Self {
        let mut test = Self::new(1);
        for _ in 0..20 {
            test.run_stream(1_000, 4_000);
        }
        test.effects.clear();
        test
    }
}

/// Guards against a request in any stage that gets neither an answer nor a refusal when its instance stops.
#[gtest]
fn each_open_request_is_answered_when_the_shutdown_ends() {
    let mut test = Test::new(1);
    test.stream(2);
    test.request(REPEATABLE);
    test.request(NON_REPEATABLE);
    for _ in 0..3 {
        test.request(STREAM);
    }
    let sent = test.sent().len();
    test.start_shutdown();
    expect_that!(test.outcomes(), is_empty());
    test.handle(Event::ShutdownEnded);
    expect_that!(
        test.outcomes(),
        unordered_elements_are![
            eq("cut"),
            eq("interrupted"),
            eq("unknown"),
            eq("interrupted"),
            eq("interrupted"),
            eq("stopping")
        ]
    );
    expect_that!(test.retry_afters(), each(eq(&RETRY_AFTER_MS)));
    expect_that!(test.sent().len(), eq(sent));
    expect_that!(test.core.running(), eq(0));
}

/// Guards against a request that waits for the state of its instance and is forgotten when it stops.
#[gtest]
fn deferred_request_is_refused_when_the_shutdown_ends() {
    let mut test = Test::without_configuration();
    test.request(STREAM);
    test.start_shutdown();
    test.handle(Event::ShutdownEnded);
    expect_that!(test.outcomes(), elements_are![eq("stopping")]);
    expect_that!(test.core.running(), eq(0));
}

/// Guards against a request that arrives between the end of a shutdown and that of the process.
#[gtest]
fn request_behind_the_end_of_a_shutdown_is_refused() {
    let mut test = Test::new(1);
    test.start_shutdown();
    test.handle(Event::ShutdownEnded);
    test.request(REPEATABLE);
    expect_that!(test.outcomes(), elements_are![eq("stopping")]);
    expect_that!(test.sent(), is_empty());
}

/// Guards against a caller that is held until its instance ends, and then has too little time left at another one.
#[gtest]
fn stream_that_waits_is_refused_once_it_can_not_end_in_time() {
    let mut test = Test::with_streams_of_five_seconds();
    // The upstream reads two prompts at once.
    for _ in 0..3 {
        test.request(STREAM);
    }
    test.start_shutdown();
    let mut waited_ms = 0;
    while test.outcomes().is_empty() {
        test.advance(100);
        waited_ms += 100;
    }
    expect_that!(test.outcomes(), elements_are![eq("stopping")]);
    expect_that!(test.sent().len(), eq(2));
    // Streams take five seconds.
    expect_that!(waited_ms, all![ge(LEFT_MS - 5_200), le(LEFT_MS - 4_800)]);
    expect_that!(test.retry_afters(), elements_are![eq(&RETRY_AFTER_MS)]);
}

/// Guards against a stream that is accepted though the instance ends before it could.
#[gtest]
fn stream_that_could_not_end_in_time_is_refused_on_arrival() {
    let mut test = Test::with_streams_of_five_seconds();
    for _ in 0..20 {
        test.request(REPEATABLE);
        let sent = test.last_sent();
        test.advance(50);
        test.answer(&sent, Verdict::Good);
    }
    test.effects.clear();
    test.start_shutdown();
    test.request(STREAM);
    expect_that!(test.sent().len(), eq(1));
    test.advance(2_700);
    expect_that!(test.outcomes(), is_empty());
    test.request(STREAM);
    expect_that!(test.outcomes(), elements_are![eq("stopping")]);
    expect_that!(test.retry_afters(), elements_are![eq(&RETRY_AFTER_MS)]);
    // Calls are known to be short.
    test.request(REPEATABLE);
    expect_that!(test.sent().len(), eq(2));
}

/// Guards against a stop that refuses work though nothing was said of one.
#[gtest]
fn requests_wait_as_usual_without_a_shutdown() {
    let mut test = Test::with_streams_of_five_seconds();
    for _ in 0..3 {
        test.request(STREAM);
    }
    test.advance(500);
    expect_that!(test.outcomes(), is_empty());
}

/// Guards against a setting that does not take the refusal of waiting requests away, or does not bring it forward.
#[gtest]
fn policy_decides_when_requests_that_wait_are_refused() {
    for (policy, refused) in [
        (ShutdownPolicy::AtEnd, 0),
        (ShutdownPolicy::AtOnce, 1),
        (ShutdownPolicy::Unfinishable, 0),
    ] {
        let mut test = Test::with_streams_of_five_seconds();
        test.core.configure(Settings {
            probes: false,
            room: CapacityLimits {
                shutdown: policy,
                ..CapacityLimits::default()
            },
            ..Settings::default()
        });
        for _ in 0..3 {
            test.request(STREAM);
        }
        test.start_shutdown();
        expect_that!(test.outcomes().len(), eq(refused), "{policy:?}");
    }
}

/// Guards against a stream that is refused for a prompt that need not be read again: its caller takes it up, and an upstream
/// holds its KV cache.
#[gtest]
fn stream_taken_up_from_a_copy_is_sent_if_its_rest_ends_in_time() {
    let mut test = Test::with_streams_of_five_seconds();
    test.start_shutdown();
    // The prompt takes a second, and so does the rest.
    test.advance(LEFT_MS - 1_500);
    test.handle(Event::PeerStream(stream_record(1, 0)));
    test.resumes = Some(RunId::new("run-before"));
    test.request_as("key", STREAM, EVENTS - 10);
    expect_that!(test.outcomes(), is_empty());
    expect_that!(test.last_sent().copy, some(eq("run-before")));
}

/// Guards against a stream that is refused for a wait that it does not have: streams that are taken up are sent before those
/// that are queued.
#[gtest]
fn stream_taken_up_is_not_refused_for_the_streams_that_it_overtakes() {
    let mut test = Test::with_streams_of_five_seconds();
    for _ in 0..5 {
        test.request(STREAM);
    }
    test.start_shutdown();
    test.advance(2_300);
    expect_that!(test.outcomes(), is_empty());
    test.handle(Event::PeerStream(stream_record(1, 0)));
    test.resumes = Some(RunId::new("run-before"));
    test.request_as("key", STREAM, EVENTS - 15);
    expect_that!(test.outcomes(), is_empty());
}

/// Guards against a status that promises that a request has not run and never will, for one that may be running.
#[gtest]
fn interrupted_request_is_not_answered_with_a_promise() {
    expect_that!(
        Kind::Interrupted.answer().status,
        not(any![eq(408), eq(421), eq(429), eq(503)])
    );
}
