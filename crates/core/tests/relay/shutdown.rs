//! Requests of an instance that stops.

use super::*;
use wellplank_core::shutdown::RETRY_AFTER_MS;

/// Time that the instance has to stop, in milliseconds.
const LEFT_MS: u64 = 7_600;

impl Test {
    fn start_shutdown(&mut self) {
        self.handle(Event::ShutdownStarted { left_ms: LEFT_MS });
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
