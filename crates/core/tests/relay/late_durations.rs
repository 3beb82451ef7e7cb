//! What is known at a planned stop of how long requests take, and what is sent again, in virtual time.

use super::*;

/// Answers calls of a route after a time each, one after another.
fn answer_calls(test: &mut Test, path: &str, calls: usize, millis: u64) {
    for _ in 0..calls {
        test.request_within(24_000, "key", path, 0);
        let sent = test.last_sent();
        test.advance(millis);
        test.answer(&sent, Verdict::Good);
    }
}

/// Guards against a call that may run once and is sent at a stop by durations that are hours old: they are kept until the route
/// is used again.
#[gtest]
fn late_call_is_not_sent_by_durations_from_hours_ago() {
    let mut test = Test::new(1);
    answer_calls(&mut test, NON_REPEATABLE, 20, 50);
    test.now = test.now.after(10 * 60_000);
    test.list(vec![listed(0, 0)]);
    test.advance(100);
    test.effects.clear();
    test.handle(Event::ShutdownStarted { left_ms: 7_600 });
    test.request_within(24_000, "key", NON_REPEATABLE, 0);
    expect_that!(test.sent(), is_empty());
    expect_that!(test.outcomes(), elements_are![eq("stopping")]);
}

/// Guards against a call that may run once and is sent at a stop since earlier ones ended early: their callers went away, which
/// says nothing of how long an answer takes.
#[gtest]
fn calls_that_their_callers_gave_up_do_not_make_a_route_short() {
    let mut test = Test::new(1);
    for _ in 0..20 {
        let caller = test.request_within(24_000, "key", NON_REPEATABLE, 0);
        test.advance(50);
        test.handle(Event::CallerGone(caller));
    }
    test.effects.clear();
    test.handle(Event::ShutdownStarted { left_ms: 7_600 });
    test.request_within(24_000, "key", NON_REPEATABLE, 0);
    expect_that!(test.sent(), is_empty());
    expect_that!(test.outcomes(), elements_are![eq("stopping")]);
}

/// Guards against a stop that takes requests up to its last moment where requests that wait are kept to the end.
#[gtest]
fn call_in_the_last_moment_is_not_sent_where_waiting_requests_are_kept_to_the_end() {
    let mut test = Test::set(Settings {
        room: CapacityLimits {
            shutdown: wellplank_core::settings::ShutdownPolicy::AtEnd,
            ..CapacityLimits::default()
        },
        ..Settings::default()
    })
    .configured(1);
    answer_calls(&mut test, NON_REPEATABLE, 20, 2_000);
    test.effects.clear();
    test.handle(Event::ShutdownStarted { left_ms: 7_600 });
    test.advance(7_400);
    test.request_within(24_000, "key", NON_REPEATABLE, 0);
    expect_that!(test.sent(), is_empty());
    test.advance(100);
    test.handle(Event::ShutdownEnded);
    expect_that!(test.outcomes(), elements_are![eq("stopping")]);
}

/// Guards against a call that may run once, was turned away by its upstream behind the signal, and is sent to another one with
/// less time left than the calls of its route take: it is ended by the stop though it could be refused as not run.
#[gtest]
fn call_that_was_turned_away_is_not_sent_again_late_in_the_stop() {
    for failure in [
        Failure::Refused,
        Failure::Leaving,
        Failure::Replaced,
        Failure::NotSent,
    ] {
        let mut test = Test::new(2);
        answer_calls(&mut test, NON_REPEATABLE, 20, 4_000);
        test.effects.clear();
        test.handle(Event::ShutdownStarted { left_ms: 7_600 });
        test.advance(2_000);
        test.request_within(24_000, "key", NON_REPEATABLE, 0);
        let sent = test.last_sent();
        test.effects.clear();
        test.advance(3_500);
        test.fail(&sent, failure);
        test.advance(2_100);
        test.handle(Event::ShutdownEnded);
        let runs = test.sent().len();
        println!(
            "{failure:?}: sent again {runs} times, then {:?}",
            test.outcomes()
        );
        expect_that!(runs, eq(0), "{failure:?}");
        expect_that!(
            test.outcomes(),
            elements_are![eq("stopping")],
            "{failure:?}"
        );
    }
}

/// Guards against a stop whose ticks take longer the more calls wait: each that may run once compares with all open ones.
#[gtest]
fn tick_of_a_stop_with_many_open_calls_takes_less_than_its_interval() {
    let mut test = Test::new(6);
    answer_calls(&mut test, NON_REPEATABLE, 20, 50);
    test.effects.clear();
    for _ in 0..3_000 {
        test.request_within(24_000, "key", NON_REPEATABLE, 0);
    }
    println!("sent {} of {}", test.sent().len(), test.core.running());
    test.effects.clear();
    let began = std::time::Instant::now();
    test.handle(Event::ShutdownStarted { left_ms: 7_600 });
    println!(
        "open behind the signal: {}, took {:?}",
        test.core.running(),
        began.elapsed()
    );
    let began = std::time::Instant::now();
    test.advance(100);
    let tick = began.elapsed() / 10;
    println!("a tick takes {tick:?}");
    expect_that!(tick, lt(std::time::Duration::from_millis(100)));
}
