//! Poison requests: when they are refused, and when the end of an upstream does not count as a crash.

use super::*;

/// Fingerprint of the request that the tests send with this body.
fn fingerprint(body: u64) -> RequestFingerprint {
    RequestFingerprint::new("mill", body)
}

/// A report from another instance of upstreams that crashed while running a request.
fn reported(body: u64, upstreams: std::ops::Range<usize>) -> Event {
    let mut history = CrashHistory::default();
    for upstream in upstreams {
        history.record(
            incarnation(upstream, 0),
            fingerprint(body),
            Involvement::Fresh,
            NOW,
        );
    }
    Event::CrashReported(history.into())
}

/// Crashes upstreams under a stream, one after the other.
fn crash_upstreams(test: &mut Test, crashes: usize) {
    test.request(STREAM);
    for _ in 0..crashes {
        let sent = test.last_sent();
        test.break_connection(&sent, true);
    }
}

/// Number of cancelled attempts.
fn cancelled(test: &Test) -> usize {
    let cancels = |effect: &&Effect| matches!(effect, Effect::Cancel { .. });
    test.effects.iter().filter(cancels).count()
}

#[gtest]
fn stream_is_abandoned_after_three_crashes() {
    let mut test = Test::new(9);
    crash_upstreams(&mut test, 3);
    expect_that!(test.sent().len(), eq(3));
    expect_that!(test.outcomes(), elements_are![eq("ends_upstreams")]);
    expect_that!(test.retry_afters(), is_empty());
    expect_that!(test.counted(Counter::Quarantined), eq(1));
}

#[gtest]
fn next_attempt_of_a_poison_request_is_refused_as_not_run() {
    let mut test = Test::new(9);
    crash_upstreams(&mut test, 3);
    test.request(STREAM);
    expect_that!(test.sent().len(), eq(3));
    expect_that!(test.outcomes()[1], eq("quarantined"));
}

#[gtest]
fn other_requests_of_the_same_customer_are_served() {
    let mut test = Test::new(9);
    crash_upstreams(&mut test, 3);
    test.body = 1;
    let sent = test.stream(2);
    test.close(&sent, true);
    expect_that!(test.outcomes()[1], eq("close"));
}

#[gtest]
fn crashes_over_several_attempts_of_a_call_are_counted_together() {
    let mut test = Test::new(9);
    for earlier in 0..2 {
        test.request(REPEATABLE);
        for _ in 0..2 - earlier {
            let sent = test.last_sent();
            test.break_connection(&sent, true);
        }
    }
    test.request(REPEATABLE);
    expect_that!(test.sent().len(), eq(3));
    expect_that!(test.outcomes().last(), some(eq("quarantined")));
}

#[gtest]
fn retry_waits_for_the_check_whether_the_third_upstream_crashed() {
    let mut test = Test::new(9);
    crash_upstreams(&mut test, 2);
    let third = test.last_sent();
    test.fail(&third, Failure::Broken);
    test.advance(100);
    expect_that!(test.sent().len(), eq(3));
    expect_that!(test.outcomes(), is_empty());
    let incarnation = incarnation(third.upstream, 0);
    test.handle(Event::CrashChecked {
        ended: false,
        incarnation,
    });
    expect_that!(test.sent().len(), eq(4));
}

#[gtest]
fn retry_proceeds_when_the_crash_check_times_out() {
    let mut test = Test::new(9);
    crash_upstreams(&mut test, 2);
    let third = test.last_sent();
    test.fail(&third, Failure::Broken);
    test.advance(500);
    expect_that!(test.sent().len(), eq(4));
}

#[gtest]
fn broken_connections_to_live_upstreams_quarantine_no_request() {
    let mut test = Test::new(9);
    for _ in 0..4 {
        test.request(REPEATABLE);
        for _ in 0..2 {
            let sent = test.last_sent();
            test.break_connection(&sent, false);
        }
        // Upstreams that broke off are in use again.
        test.advance(1_010);
    }
    expect_that!(test.sent().len(), eq(8));
    expect_that!(test.counted(Counter::Quarantined), eq(0));
}

#[gtest]
fn restarted_upstream_has_crashed_although_its_address_answers() {
    let mut test = Test::new(0);
    let listed_since = |index: usize, born: u64| ListEntry {
        born,
        ..listed(index, index)
    };
    let mut start_times = vec![1; 9];
    let list = |start_times: &[u64]| {
        let listed = start_times.iter().enumerate();
        listed
            .map(|(index, born)| listed_since(index, *born))
            .collect()
    };
    test.list(list(&start_times));
    test.request(STREAM);
    for _ in 0..3 {
        let sent = test.last_sent();
        test.fail(&sent, Failure::Broken);
        let incarnation = incarnation(sent.upstream, start_times[sent.upstream]);
        test.handle(Event::CrashChecked {
            ended: false,
            incarnation,
        });
        start_times[sent.upstream] += 5;
        test.list(list(&start_times));
    }
    expect_that!(test.counted(Counter::Quarantined), eq(1));
}

#[gtest]
fn end_of_a_leaving_upstream_quarantines_no_request() {
    let mut test = Test::new(9);
    test.request(STREAM);
    for _ in 0..4 {
        let sent = test.last_sent();
        let mut all: Vec<ListEntry> = (0..9).map(|index| listed(index, index)).collect();
        all[sent.upstream].leaving = true;
        test.list(all);
        test.break_connection(&sent, true);
    }
    expect_that!(test.sent().len(), eq(5));
    expect_that!(test.core.crash_history().is_empty(), eq(true));
}

#[gtest]
fn reported_crashes_cancel_the_running_request() {
    let mut test = Test::new(9);
    test.request(STREAM);
    test.handle(reported(0, 3..6));
    expect_that!(cancelled(&test), eq(1));
    expect_that!(test.outcomes(), elements_are![eq("ends_upstreams")]);
}

#[gtest]
fn reported_crashes_refuse_the_waiting_request() {
    let mut test = Test::new(0);
    test.request(STREAM);
    test.handle(reported(0, 3..6));
    expect_that!(test.outcomes(), elements_are![eq("quarantined")]);
}

#[gtest]
fn crash_seen_by_several_instances_counts_once() {
    let mut test = Test::new(9);
    crash_upstreams(&mut test, 2);
    let seen: Vec<usize> = test.sent()[..2].iter().map(|sent| sent.upstream).collect();
    for upstream in &seen {
        test.handle(reported(0, *upstream..upstream + 1));
    }
    expect_that!(test.outcomes(), is_empty());
    let other = (0..9).find(|other| !seen.contains(other)).unwrap();
    test.handle(reported(0, other..other + 1));
    expect_that!(test.outcomes(), elements_are![eq("ends_upstreams")]);
}

#[gtest]
fn complete_response_clears_a_request_of_earlier_crashes() {
    let mut test = Test::new(9);
    for _ in 0..2 {
        crash_upstreams(&mut test, 2);
        let sent = test.last_sent();
        test.handle(Event::StreamOpened(sent.attempt));
        test.send_event(&sent, 1);
        test.close(&sent, true);
    }
    expect_that!(test.outcomes(), elements_are![eq("close"), eq("close")]);
    expect_that!(test.counted(Counter::Quarantined), eq(0));
}

#[gtest]
fn request_beside_a_poison_request_is_not_refused_by_the_rule_explained() {
    let settings = Settings {
        quarantine: wellplank_core::settings::QuarantineRule::Explained,
        ..Settings::default()
    };
    let mut test = Test::set(settings).configured(9);
    test.handle(reported(7, 20..23));
    test.handle(reported(0, 20..22));
    test.advance(100);
    crash_upstreams(&mut test, 2);
    expect_that!(test.outcomes(), is_empty());
}

#[gtest]
fn suspects_of_the_same_crash_are_sent_to_different_upstreams() {
    for _ in 0..10 {
        let mut test = Test::new(9);
        let mut together = Vec::new();
        for body in 0..4 {
            test.body = body;
            test.request(STREAM);
            together.push(test.last_sent());
        }
        let report = |body| reported(body, 20..21);
        (0..4).for_each(|body| test.handle(report(body)));
        let before = test.sent().len();
        for sent in &together {
            test.break_connection(sent, true);
        }
        let mut after: Vec<usize> = test.sent()[before..]
            .iter()
            .map(|sent| sent.upstream)
            .collect();
        after.sort_unstable();
        after.dedup();
        expect_that!(after.len(), eq(4));
    }
}

#[gtest]
fn no_request_is_refused_when_quarantine_is_off() {
    let settings = Settings {
        quarantine: wellplank_core::settings::QuarantineRule::Off,
        ..Settings::default()
    };
    let mut test = Test::set(settings).configured(9);
    crash_upstreams(&mut test, 5);
    expect_that!(test.sent().len(), eq(5));
    let quarantine = |effect: &&Effect| matches!(effect, Effect::Quarantine(_));
    expect_that!(test.effects.iter().filter(quarantine).count(), eq(0));
}

#[gtest]
fn crash_is_reported_to_other_instances_once() {
    let mut test = Test::new(9);
    crash_upstreams(&mut test, 1);
    let reported =
        |effect: &&Effect| matches!(effect, Effect::Quarantine(effect::Quarantine::Gossip(_)));
    expect_that!(test.effects.iter().filter(reported).count(), eq(1));
}

#[gtest]
fn all_waiting_attempts_are_refused_together() {
    let mut test = Test::new(1);
    for _ in 0..8 {
        test.request(STREAM);
    }
    test.handle(reported(0, 3..6));
    expect_that!(test.outcomes().len(), eq(8));
}

#[gtest]
fn attempt_is_abandoned_once_when_it_reveals_a_crash_under_another_attempt() {
    let mut test = Test::new(3);
    crash_upstreams(&mut test, 2);
    let first = test.last_sent();
    test.request(STREAM);
    let second = test.last_sent();
    expect_that!(second.upstream, eq(first.upstream));
    test.fail(&first, Failure::Broken);
    test.fail(&second, Failure::Replaced);
    expect_that!(
        test.outcomes(),
        unordered_elements_are![eq("ends_upstreams"), eq("quarantined")]
    );
}

#[gtest]
fn retry_after_broken_connection_to_a_live_upstream_is_not_delayed() {
    let mut test = Test::new(9);
    test.request(STREAM);
    for sent in 1..5 {
        let last = test.last_sent();
        test.break_connection(&last, false);
        expect_that!(test.sent().len(), eq(sent + 1));
        // No other upstream is expected to break off any more.
        test.advance(1_010);
    }
}

/// Crashes expire at every instance, but only one that observed them itself deletes the stored
/// record of the request.
#[gtest]
fn only_the_observer_of_a_crash_deletes_its_stored_record() {
    let released = |test: &mut Test| {
        test.now = test.now.after(25 * 3_600_000);
        test.handle(Event::Tick);
        let own = |effect: &Effect| match effect {
            Effect::Quarantine(effect::Quarantine::Release { own, .. }) => Some(*own),
            _ => None,
        };
        test.effects.iter().filter_map(own).collect::<Vec<bool>>()
    };
    let mut observer = Test::new(9);
    crash_upstreams(&mut observer, 3);
    expect_that!(released(&mut observer), elements_are![eq(&true)]);
    let mut other = Test::new(9);
    other.handle(reported(0, 0..3));
    expect_that!(released(&mut other), elements_are![eq(&false)]);
}

/// Guards against a fourth upstream that ends under a request: one that had ended two left the third, which was slow to read
/// the request, for another; both ended. A slow upstream still reads what was sent before the connection was closed.
#[gtest]
fn request_that_ended_two_upstreams_stays_at_a_silent_third() {
    let mut test = Test::new(9);
    crash_upstreams(&mut test, 2);
    let third = test.last_sent();
    test.advance(8_000);
    expect_that!(test.sent().len(), eq(3));
    test.break_connection(&third, true);
    expect_that!(test.outcomes(), elements_are![eq("ends_upstreams")]);
}
