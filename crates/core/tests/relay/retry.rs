//! Permits for attempts beyond the first, where the users bound them.

use super::*;
use wellplank_core::{retry_window::RetryClass, settings::RetryBound};

/// A bound with few permits that do not depend on the number of requests.
fn bound(extra: f64) -> RetryBound {
    RetryBound {
        extra,
        ratio: 0.0,
        window_ms: 10_000,
    }
}

fn bounded(bound: RetryBound) -> Test {
    let settings = Settings {
        retry: bound,
        ..Settings::default()
    };
    Test::set(settings).configured(6)
}

/// Sends requests of which each first attempt fails, and returns how many attempts were made.
fn attempts_of_failing(test: &mut Test, requests: usize, failure: Failure) -> usize {
    let before = test.sent().len();
    for _ in 0..requests {
        test.request(STREAM);
        let sent = test.last_sent();
        test.fail(&sent, failure);
        finish(test);
        // The upstreams are in use again for the next request.
        test.advance(1_010);
    }
    test.sent().len() - before
}

/// Completes the last stream, unless it was refused.
fn finish(test: &mut Test) {
    let last = test.last_sent();
    test.handle(Event::StreamOpened(last.attempt));
    test.close(&last, true);
}

/// Guards against attempts that reach upstreams and count nowhere: requests that met ended or leaving upstreams were
/// sent again without a permit, and refused ones from another budget.
#[gtest]
fn each_kind_of_attempt_that_reached_an_upstream_takes_a_permit() {
    for failure in [Failure::Broken, Failure::Refused, Failure::Rejected] {
        let mut test = bounded(bound(2.8));
        // Two permits, of which the last tenth is left to streams.
        expect_that!(
            attempts_of_failing(&mut test, 6, failure),
            eq(8),
            "{failure:?}"
        );
    }
    for failure in [Failure::Replaced, Failure::Leaving] {
        let mut test = bounded(bound(2.8));
        // The upstreams that are left get no further requests.
        expect_that!(
            attempts_of_failing(&mut test, 4, failure),
            eq(6),
            "{failure:?}"
        );
        let refused = Counter::RetryRefused(RetryClass::Restart);
        expect_that!(test.counted(refused), eq(2), "{failure:?}");
    }
}

/// Guards against refusing requests whose attempts reached no upstream.
#[gtest]
fn attempt_that_reached_no_upstream_takes_no_permit() {
    let mut test = bounded(bound(0.0));
    expect_that!(attempts_of_failing(&mut test, 6, Failure::NotSent), eq(12));
}

/// Guards against permits lost in an outage: a retry that could not connect returns its permit.
#[gtest]
fn retry_that_reached_no_upstream_returns_its_permit() {
    let mut test = bounded(bound(1.4));
    test.request(STREAM);
    let first = test.last_sent();
    test.fail(&first, Failure::Broken);
    for _ in 0..3 {
        let next = test.last_sent();
        test.fail(&next, Failure::NotSent);
    }
    expect_that!(test.sent().len(), eq(5));
    let last = test.last_sent();
    test.fail(&last, Failure::Broken);
    expect_that!(test.sent().len(), eq(5));
}

/// Guards against the loss of a stream that could go on at once: its copy is all that it needs.
#[gtest]
fn stream_with_a_copy_resumes_when_no_other_permit_is_left() {
    let mut test = bounded(bound(0.0));
    let without_copy = test.stream(0);
    test.fail(&without_copy, Failure::Broken);
    expect_that!(test.sent().len(), eq(1));
    let with_copy = test.stream(3);
    test.fail(&with_copy, Failure::Broken);
    expect_that!(test.last_sent().position, eq(3));
    expect_that!(test.last_sent().copy, some(anything()));
}

/// Guards against resumes that count nowhere: each reaches another upstream.
#[gtest]
fn resume_takes_a_permit() {
    let mut test = bounded(bound(0.0));
    let first = test.stream(3);
    test.fail(&first, Failure::Broken);
    let second = test.last_sent();
    test.handle(Event::StreamOpened(second.attempt));
    test.send_event(&second, 4);
    test.fail(&second, Failure::Broken);
    expect_that!(test.sent().len(), eq(2));
    expect_that!(test.outcomes(), elements_are![eq("cut")]);
    expect_that!(
        test.counted(Counter::RetryRefused(RetryClass::ResumeFromCopy)),
        eq(1)
    );
}

/// Guards against a refusal that says too much: a request is "not run" only if no upstream can have run it.
#[gtest]
fn request_without_a_permit_is_refused_at_once_with_a_true_answer() {
    for (failure, outcome) in [
        (Failure::Replaced, "overloaded"),
        (Failure::Broken, "upstream_failed"),
    ] {
        let mut test = bounded(bound(0.0));
        test.request(STREAM);
        let sent = test.last_sent();
        test.fail(&sent, failure);
        expect_that!(test.outcomes(), elements_are![eq(outcome)]);
        expect_that!(test.retry_afters(), elements_are![gt(&0)]);
    }
}

/// Guards against a bound that tightens under load: refused requests are demand too.
#[gtest]
fn refused_requests_earn_permits() {
    let mut settings = Settings {
        retry: RetryBound {
            ratio: 0.8,
            ..bound(0.0)
        },
        ..Settings::default()
    };
    settings.held_bytes_max = 50;
    let mut test = Test::set(settings.clone()).configured(6);
    for _ in 0..10 {
        test.request(REPEATABLE);
    }
    expect_that!(test.sent(), is_empty());
    settings.held_bytes_max = 1 << 20;
    test.core.configure(settings);
    test.request(STREAM);
    let sent = test.last_sent();
    test.fail(&sent, Failure::Broken);
    expect_that!(test.sent().len(), eq(2));
}

/// Guards against a changed budget in deployments that set no bound.
#[gtest]
fn without_a_bound_resumes_and_requests_that_none_accepted_need_no_permit() {
    let mut test = Test::new(6);
    expect_that!(attempts_of_failing(&mut test, 30, Failure::NotSent), eq(60));
    for _ in 0..30 {
        let stream = test.stream(2);
        test.fail(&stream, Failure::Broken);
        finish(&mut test);
        test.advance(1_010);
    }
    expect_that!(test.counted(Counter::Resumed(Reason::Broken)), eq(30));
}
