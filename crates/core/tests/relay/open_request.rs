//! The stages of open requests, by which logs tell what an instance ends with.

use super::*;
use wellplank_core::open_request::Stage;

/// Stages of all open requests, in their order.
fn stages(test: &Test) -> Vec<Stage> {
    let mut stages: Vec<Stage> = test.core.open_requests().map(|open| open.stage).collect();
    stages.sort_unstable();
    stages
}

/// Guards against a request that is open and that no line names.
#[gtest]
fn each_open_request_has_a_stage() {
    let mut test = Test::new(1);
    test.stream(2);
    // An upstream is given two prompts to read at once.
    for _ in 0..3 {
        test.request(STREAM);
    }
    expect_that!(
        stages(&test),
        elements_are![
            eq(&Stage::Queued),
            eq(&Stage::Sent),
            eq(&Stage::Sent),
            eq(&Stage::Streaming)
        ]
    );
    let retried = test.last_sent();
    test.fail(&retried, Failure::Refused);
    expect_that!(
        stages(&test),
        elements_are![
            eq(&Stage::Queued),
            eq(&Stage::Retrying),
            eq(&Stage::Sent),
            eq(&Stage::Streaming)
        ]
    );
    expect_that!(stages(&test).len(), eq(test.core.running()));
}

/// Guards against a stream between two attempts that looks like one that runs.
#[gtest]
fn begun_stream_without_an_attempt_is_resuming() {
    let mut test = Test::new(1);
    let sent = test.stream(2);
    let notice = Notice {
        backoff: Backoff::For(300),
        ..Notice::default()
    };
    test.apply_notice(&sent, notice);
    test.fail(&sent, Failure::Broken);
    expect_that!(stages(&test), elements_are![eq(&Stage::Resuming)]);
}

/// Guards against a request that waits for the state of its instance and is not among the open ones.
#[gtest]
fn request_before_any_configuration_is_deferred() {
    let mut test = Test::without_configuration();
    test.request(STREAM);
    expect_that!(stages(&test), elements_are![eq(&Stage::Deferred)]);
}
