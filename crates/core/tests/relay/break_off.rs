//! Upstreams that accept connections and break them off.

use super::*;

/// Upstreams whose streams have no copies.
fn without_copies(upstreams: usize) -> Test {
    let settings = Settings {
        relay_resume: ResumeMode::Anew,
        ..Settings::default()
    };
    Test::set(settings).configured(upstreams)
}

/// Attempts sent within a time to upstreams that accept all connections and break them off, each with its time.
fn break_all(test: &mut Test, millis: u64, mut seen: usize) -> Vec<(Time, usize)> {
    let mut tries = Vec::new();
    for _ in 0..millis / 10 {
        let sent = test.sent();
        for sent in &sent[seen..] {
            tries.push((test.now, sent.upstream));
            test.handle(Event::Connected(sent.attempt));
            test.break_connection(sent, false);
        }
        seen = sent.len();
        test.advance(10);
    }
    tries
}

/// Guards against a connection, or a check by connecting, that returns an upstream to service which breaks off whatever it is
/// sent: it got the next stream within milliseconds.
#[gtest]
fn upstream_that_breaks_off_gets_one_request_at_a_time_at_a_growing_interval() {
    let mut test = without_copies(1);
    for body in 0..8 {
        test.body = body;
        test.request(STREAM);
    }
    let first = test.sent();
    for sent in &first {
        test.handle(Event::Connected(sent.attempt));
        test.break_connection(sent, false);
    }
    let tries = break_all(&mut test, 2_000, first.len());
    let waits = tries.windows(2).map(|pair| pair[1].0.since(pair[0].0));
    let waits: Vec<u64> = waits.collect();
    expect_that!(tries.len(), all![ge(3), le(5)], "{waits:?}");
    for pair in waits.windows(2) {
        expect_that!(pair[1] as f64, ge(1.5 * pair[0] as f64), "{waits:?}");
    }
}

/// Guards against a state that outlasts what caused it: the first event returns the upstream to service for all requests.
#[gtest]
fn first_event_ends_the_state_of_an_upstream_that_broke_off() {
    let mut test = without_copies(1);
    test.request(STREAM);
    let first = test.last_sent();
    test.break_connection(&first, false);
    test.body = 1;
    test.request(STREAM);
    test.advance(200);
    // One of the two finds out whether it answers.
    expect_that!(test.sent().len(), eq(2));
    let second = test.last_sent();
    test.handle(Event::Connected(second.attempt));
    test.advance(200);
    expect_that!(test.sent().len(), eq(2));
    test.handle(Event::StreamOpened(second.attempt));
    test.send_event(&second, 1);
    test.advance(10);
    expect_that!(test.sent().len(), eq(3));
}

/// Guards against instances that each find out by requests of their own which upstreams break off, and against a report on an
/// earlier incarnation that counts for its successor.
#[gtest]
fn upstream_that_broke_off_at_another_instance_is_left_out() {
    for (born, left_out) in [(0, true), (7, false)] {
        let mut test = without_copies(2);
        test.handle(Event::PeerLoss(incarnation(0, born)));
        test.handle(Event::PeerBreakOff(incarnation(0, born)));
        for body in 0..12 {
            test.body = body;
            test.request(STREAM);
        }
        let at_first = test.sent().iter().any(|sent| sent.upstream == 0);
        expect_that!(at_first, eq(!left_out));
    }
}

/// Guards against a request that may run once and is sent again after its exchange broke off, or to an upstream that broke
/// off just now where others are sound.
#[gtest]
fn request_that_may_run_once_is_not_sent_again_after_its_exchange_broke_off() {
    let mut test = without_copies(4);
    for body in 0..6 {
        test.body = body;
        let before = test.sent().len();
        test.request(NON_REPEATABLE);
        if let Some(sent) = test.sent().get(before).cloned() {
            test.break_connection(&sent, false);
        }
    }
    let by_upstream: BTreeSet<usize> = test.sent().iter().map(|sent| sent.upstream).collect();
    expect_that!(test.sent().len(), eq(4));
    expect_that!(by_upstream.len(), eq(4));
    test.advance(900);
    expect_that!(test.sent().len(), eq(4));
    // The two that have not run are refused as not run.
    test.advance(200);
    let refused = test
        .outcomes()
        .iter()
        .filter(|kind| *kind == "overloaded")
        .count();
    expect_that!(refused + test.sent().len(), eq(6), "{:?}", test.outcomes());
}

/// Guards against three broken exchanges of one content that count as crashes although the upstreams accept connections.
#[gtest]
fn exchanges_that_upstreams_which_accept_connections_break_off_are_no_crashes() {
    let mut test = without_copies(9);
    test.request(STREAM);
    break_all(&mut test, 1_000, 0);
    expect_that!(test.sent().len(), ge(4));
    expect_that!(test.counted(Counter::Quarantined), eq(0));
    expect_that!(test.core.crash_history().is_empty(), eq(true));
}
