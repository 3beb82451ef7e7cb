//! State announced in response headers, for all ways of sending requests.

use super::*;

/// A requested backoff, in milliseconds.
const BACKOFF: u64 = 3_000;

/// Longest duration of that backoff, with jitter, in milliseconds.
const MAX_BACKOFF: u64 = BACKOFF + BACKOFF / 10;

impl Test {
    /// Announces in the response headers of an attempt that the upstream is leaving.
    fn announce_leaving(&mut self, sent: &Sent) {
        let notice = Notice {
            leaving: true,
            ..Notice::default()
        };
        self.apply_notice(sent, notice);
    }

    /// Requests a backoff in the response headers of an attempt.
    fn request_backoff(&mut self, sent: &Sent, millis: u64) {
        let notice = Notice {
            backoff: Backoff::For(millis),
            ..Notice::default()
        };
        self.apply_notice(sent, notice);
    }

    pub(crate) fn apply_notice(&mut self, sent: &Sent, notice: Notice) {
        self.handle(Event::NoticeReceived {
            attempt: sent.attempt,
            notice,
            upstream: sent.key,
        });
    }

    /// Refuses an attempt and requests a backoff.
    fn refuse_with_backoff(&mut self, sent: &Sent, millis: u64) {
        self.request_backoff(sent, millis);
        self.fail(sent, Failure::Refused);
    }

    /// Submits calls until one reaches the given upstream.
    fn call_reaching(&mut self, upstream: usize) -> Sent {
        loop {
            self.request(NON_REPEATABLE);
            let sent = self.last_sent();
            self.answer(&sent, Verdict::Good);
            if sent.upstream == upstream {
                return sent;
            }
        }
    }

    /// Submits and answers several calls; returns the upstreams that received them.
    fn upstreams_called(&mut self, path: &str) -> Vec<usize> {
        let before = self.sent().len();
        for _ in 0..12 {
            self.request(path);
            if let Some(sent) = self.sent().get(before..).and_then(|sent| sent.last()) {
                let sent = sent.clone();
                self.answer(&sent, Verdict::Good);
            }
        }
        let mut called: Vec<usize> = self.sent()[before..]
            .iter()
            .map(|sent| sent.upstream)
            .collect();
        called.sort_unstable();
        called.dedup();
        called
    }
}

/// List entries for the first upstreams.
fn listed_first(upstreams: usize) -> Vec<ListEntry> {
    (0..upstreams).map(|index| listed(index, index)).collect()
}

/// Creates a core with two upstreams, of which the one with the first call has announced that it is leaving; returns its
/// index.
fn one_of_two_leaving() -> (Test, usize) {
    let mut test = Test::new(2);
    test.request(NON_REPEATABLE);
    let sent = test.last_sent();
    test.announce_leaving(&sent);
    test.answer(&sent, Verdict::Good);
    (test, sent.upstream)
}

#[gtest]
fn upstream_that_announces_leaving_gets_nothing_more() {
    let (mut test, leaving) = one_of_two_leaving();
    for path in [NON_REPEATABLE, REPEATABLE, STREAM] {
        expect_that!(
            test.upstreams_called(path),
            elements_are![eq(&(1 - leaving))],
            "{path}"
        );
    }
}

#[gtest]
fn announced_leaving_outlasts_the_hint_and_a_contradicting_list() {
    let (mut test, leaving) = one_of_two_leaving();
    for _ in 0..8 {
        test.advance(5_000);
        test.list(listed_first(2));
        expect_that!(
            test.upstreams_called(NON_REPEATABLE),
            elements_are![eq(&(1 - leaving))]
        );
    }
}

#[gtest]
fn announced_leaving_survives_a_missing_entry() {
    let (mut test, leaving) = one_of_two_leaving();
    test.list(vec![listed(1 - leaving, 1 - leaving)]);
    test.list(listed_first(2));
    expect_that!(
        test.upstreams_called(NON_REPEATABLE),
        elements_are![eq(&(1 - leaving))]
    );
}

#[gtest]
fn announced_leaving_does_not_apply_to_the_next_incarnation() {
    let mut test = Test::new(0);
    let listed_with_birth = |born| ListEntry {
        born,
        ..listed(0, 0)
    };
    test.list(vec![listed_with_birth(5)]);
    test.request(NON_REPEATABLE);
    let sent = test.last_sent();
    test.announce_leaving(&sent);
    test.answer(&sent, Verdict::Good);
    test.list(vec![listed_with_birth(9)]);
    expect_that!(test.upstreams_called(NON_REPEATABLE), elements_are![eq(&0)]);
    // A late response of the former incarnation has no effect.
    test.announce_leaving(&sent);
    expect_that!(test.upstreams_called(NON_REPEATABLE), elements_are![eq(&0)]);
}

#[gtest]
fn announced_leaving_interrupts_no_running_stream() {
    let mut test = Test::new(6);
    let sent = test.stream(3);
    test.announce_leaving(&sent);
    test.send_event(&sent, 4);
    test.close(&sent, true);
    expect_that!(
        test.delivered(),
        elements_are![eq(&1), eq(&2), eq(&3), eq(&4)]
    );
    expect_that!(test.outcomes(), elements_are![eq("close")]);
    expect_that!(test.sent().len(), eq(1));
}

#[gtest]
fn lost_stream_is_not_resumed_from_a_copy_at_an_upstream_leaving_or_in_backoff() {
    for leaves in [true, false] {
        let mut test = Test::new(6);
        let sent = test.stream(3);
        let holder = test.call_reaching(sent.backup.expect("a copy is kept"));
        if leaves {
            test.announce_leaving(&holder);
        } else {
            test.request_backoff(&holder, BACKOFF);
        }
        test.fail(&sent, Failure::Broken);
        expect_that!(test.last_sent().upstream, not(eq(holder.upstream)));
        expect_that!(test.last_sent().copy, none());
        expect_that!(test.last_sent().position, eq(3));
    }
}

#[gtest]
fn peers_are_notified_once_of_a_leaving_upstream() {
    let (mut test, leaving) = one_of_two_leaving();
    let sent = test.sent().first().cloned().unwrap();
    test.announce_leaving(&sent);
    let is_leaving = |effect: &&Effect| matches!(effect, Effect::GossipLeaving { .. });
    expect_that!(test.effects.iter().filter(is_leaving).count(), eq(1));
    let mut other = Test::new(2);
    other.handle(Event::PeerLeaving(incarnation(leaving, 0)));
    expect_that!(
        other.upstreams_called(NON_REPEATABLE),
        elements_are![eq(&(1 - leaving))]
    );
    // A report from a peer is not forwarded; otherwise each instance that receives it would notify all others.
    expect_that!(other.effects.iter().filter(is_leaving).count(), eq(0));
}

#[gtest]
fn leaving_reported_by_a_peer_expires() {
    let mut test = Test::new(2);
    test.handle(Event::PeerLeaving(incarnation(0, 0)));
    test.advance(31_000);
    expect_that!(
        test.upstreams_called(NON_REPEATABLE),
        elements_are![eq(&0), eq(&1)]
    );
}

#[gtest]
fn upstream_in_backoff_gets_nothing() {
    for path in [NON_REPEATABLE, REPEATABLE, STREAM] {
        let mut test = Test::new(2);
        test.request(path);
        let sent = test.last_sent();
        test.refuse_with_backoff(&sent, BACKOFF);
        test.answer(&test.last_sent(), Verdict::Good);
        for _ in 0..BACKOFF / 500 {
            let called = test.upstreams_called(path);
            expect_that!(called, elements_are![eq(&(1 - sent.upstream))], "{path}");
            test.advance(500);
        }
        test.advance(MAX_BACKOFF - BACKOFF + 5_000);
        expect_that!(
            test.upstreams_called(path),
            elements_are![eq(&0), eq(&1)],
            "{path}"
        );
    }
}

#[gtest]
fn shorter_backoff_does_not_end_a_longer_one() {
    let mut test = Test::new(2);
    test.request(NON_REPEATABLE);
    let sent = test.last_sent();
    test.refuse_with_backoff(&sent, BACKOFF);
    test.request_backoff(&sent, 100);
    test.advance(1_000);
    expect_that!(
        test.upstreams_called(NON_REPEATABLE),
        elements_are![eq(&(1 - sent.upstream))]
    );
}

#[gtest]
fn backoff_survives_a_missing_entry() {
    let mut test = Test::new(2);
    test.request(NON_REPEATABLE);
    let sent = test.last_sent();
    test.refuse_with_backoff(&sent, BACKOFF);
    test.answer(&test.last_sent(), Verdict::Good);
    test.list(vec![listed(1 - sent.upstream, 1 - sent.upstream)]);
    test.list(listed_first(2));
    expect_that!(
        test.upstreams_called(NON_REPEATABLE),
        elements_are![eq(&(1 - sent.upstream))]
    );
}

#[gtest]
fn malformed_backoff_is_counted_and_ignored() {
    let mut test = Test::new(1);
    test.request(NON_REPEATABLE);
    let sent = test.last_sent();
    let notice = Notice {
        backoff: Backoff::Malformed,
        ..Notice::default()
    };
    test.apply_notice(&sent, notice);
    test.answer(&sent, Verdict::Good);
    expect_that!(test.counted(Counter::NoticeInvalid), eq(1));
    expect_that!(test.upstreams_called(NON_REPEATABLE), elements_are![eq(&0)]);
}

#[gtest]
fn backoff_is_capped_at_an_hour() {
    let mut test = Test::new(1);
    test.request(NON_REPEATABLE);
    let sent = test.last_sent();
    test.request_backoff(&sent, u64::MAX);
    test.answer(&sent, Verdict::Good);
    let hour = 3_600_000;
    test.now = test.now.after(hour - 1);
    test.list(listed_first(1));
    expect_that!(test.upstreams_called(NON_REPEATABLE), is_empty());
    test.now = test.now.after(hour / 10 + 1);
    test.list(listed_first(1));
    expect_that!(test.upstreams_called(NON_REPEATABLE), elements_are![eq(&0)]);
}

/// All upstreams of a service request a backoff longer than a request may wait. Queueing requests until their deadline
/// would hold what is known to fail.
#[gtest]
fn request_is_refused_at_once_if_all_backoffs_exceed_its_waiting_time() {
    let mut test = Test::new(1);
    test.request(NON_REPEATABLE);
    let sent = test.last_sent();
    test.refuse_with_backoff(&sent, BACKOFF);
    expect_that!(test.outcomes(), elements_are![eq("overloaded")]);
    test.request(NON_REPEATABLE);
    expect_that!(test.sent().len(), eq(1));
    expect_that!(test.outcomes().len(), eq(2));
    for retry_after in test.retry_afters() {
        expect_that!(
            retry_after,
            all![ge(BACKOFF), le(MAX_BACKOFF + MAX_BACKOFF / 8)]
        );
    }
}

/// The backoff ends within the waiting time, so waiting serves the request and refusing would not.
#[gtest]
fn request_waits_for_the_end_of_a_short_backoff() {
    let mut test = Test::new(1);
    test.request(REPEATABLE);
    let sent = test.last_sent();
    test.refuse_with_backoff(&sent, 300);
    expect_that!(test.outcomes(), is_empty());
    test.advance(290);
    expect_that!(test.sent().len(), eq(1));
    test.advance(60);
    expect_that!(test.sent().len(), eq(2));
}

#[gtest]
fn queued_request_is_refused_at_once_when_the_last_upstream_requests_a_backoff() {
    let mut test = Test::new(1);
    test.request(NON_REPEATABLE);
    let sent = test.last_sent();
    test.request_backoff(&sent, 400);
    test.request(NON_REPEATABLE);
    expect_that!(test.outcomes(), is_empty());
    test.request_backoff(&sent, BACKOFF);
    expect_that!(test.outcomes(), elements_are![eq("overloaded")]);
    test.answer(&sent, Verdict::Good);
    expect_that!(
        test.outcomes(),
        elements_are![eq("overloaded"), eq("answer")]
    );
}

/// Instances that were refused by one upstream at the same moment must not all return at the same moment.
#[gtest]
fn ends_of_a_backoff_are_spread_over_instances() {
    let mut delays: Vec<u64> = (0..20)
        .map(|seed| {
            let mut test = Test::seeded(seed);
            test.request(REPEATABLE);
            let sent = test.last_sent();
            test.refuse_with_backoff(&sent, 800);
            let requested_at = test.now;
            while test.sent().len() < 2 && test.now.since(requested_at) < 1_000 {
                test.advance(10);
            }
            test.now.since(requested_at)
        })
        .collect();
    delays.sort_unstable();
    expect_that!(delays[0], ge(800));
    expect_that!(delays[19], le(890));
    expect_that!(delays[19] - delays[0], ge(40));
}

/// Calls for an upstream in backoff must not overload the other upstreams.
#[gtest]
fn slots_of_an_upstream_in_backoff_do_not_count() {
    let mut test = Test::new(2);
    test.request(NON_REPEATABLE);
    let sent = test.last_sent();
    test.request_backoff(&sent, BACKOFF);
    expect_that!(
        test.core
            .upstreams()
            .filter(|upstream| upstream.accepts_work(test.now))
            .count(),
        eq(1)
    );
}

#[gtest]
fn load_is_applied_from_every_response_of_the_upstream() {
    let mut test = Test::new(1);
    test.request(NON_REPEATABLE);
    let sent = test.last_sent();
    let load = Load {
        running: 5,
        slots: 6,
        waiting: 2,
        ..Load::default()
    };
    let notice = Notice {
        load: Some(load),
        ..Notice::default()
    };
    test.apply_notice(&sent, notice);
    test.fail(&sent, Failure::Refused);
    let known: Vec<Load> = test
        .core
        .upstreams()
        .map(|upstream| upstream.load)
        .collect();
    expect_that!(known, elements_are![eq(&load)]);
}

/// Guards against cutting a begun stream because all upstreams that are listed at that moment ask for a long rest: another
/// one may be listed in a second.
#[gtest]
fn stream_that_has_begun_waits_for_an_upstream_beside_those_in_a_long_backoff() {
    let mut test = Test::new(1);
    let first = test.stream(3);
    let notice = Notice {
        backoff: Backoff::For(60_000),
        ..Notice::default()
    };
    test.apply_notice(&first, notice);
    expect_that!(test.outcomes(), is_empty());
    test.break_connection(&first, false);
    test.advance(1_200);
    expect_that!(test.outcomes(), is_empty());
    test.list(vec![listed(0, 0), listed(1, 1)]);
    test.advance(100);
    expect_that!(test.last_sent().position, eq(3));
    expect_that!(test.last_sent().upstream, eq(1));
}
