//! Rate limits announced by upstreams, for all ways of sending requests.

use super::*;
use wellplank_core::limit::{Limit, Rate};

/// One second of virtual time, in milliseconds.
const SECOND: u64 = 1_000;

/// Longest time until an upstream with an unconfirmed limit is probed, in milliseconds.
const MAX_PROBE_DELAY: u64 = 60_000;

impl Test {
    /// Announces a limit in the response headers of an attempt.
    fn announce_limit(&mut self, sent: &Sent, limit: Limit) {
        let notice = Notice {
            limit,
            ..Notice::default()
        };
        self.apply_notice(sent, notice);
    }

    /// Creates a core with one upstream that has announced a limit, in thousandths of a request per second.
    fn with_a_limit(thousandths: u64) -> Self {
        Self::fleet_with_a_limit(thousandths, View::numbered(0, 1))
    }

    /// The same for one instance of a fleet.
    fn fleet_with_a_limit(thousandths: u64, view: View) -> Self {
        let mut test = Self::new(1);
        test.handle(Event::Instances(view));
        test.request(NON_REPEATABLE);
        let sent = test.last_sent();
        test.announce_limit(&sent, Limit::Rate(Rate(thousandths)));
        test.answer(&sent, Verdict::Good);
        test
    }

    /// Submits a call every 20 ms and answers each one sent with the given limit. Returns how many were sent.
    fn send_calls(&mut self, millis: u64, limit: Limit) -> usize {
        let before = self.sent().len();
        for _ in 0..millis / 20 {
            self.advance(10);
            let known = self.sent().len();
            self.request_within(100, "key", NON_REPEATABLE, 0);
            self.advance(10);
            for sent in self.sent().split_off(known) {
                self.announce_limit(&sent, limit);
                self.answer(&sent, Verdict::Good);
            }
        }
        self.sent().len() - before
    }

    /// Limits announced to other instances.
    fn announced(&self) -> Vec<Option<Rate>> {
        let announced = |effect: &Effect| match effect {
            Effect::GossipLimit { rate, .. } => Some(*rate),
            _ => None,
        };
        self.effects.iter().filter_map(announced).collect()
    }
}

#[gtest]
fn limited_upstream_gets_calls_up_to_its_limit() {
    for (thousandths, most) in [(500, 6), (2_000, 21), (20_000, 201)] {
        let mut test = Test::with_a_limit(thousandths);
        let sent = test.send_calls(10 * SECOND, Limit::Rate(Rate(thousandths)));
        expect_that!(sent, all![ge(most * 8 / 10), le(most)], "{thousandths}");
    }
}

#[gtest]
fn other_upstreams_get_calls_beyond_a_limit() {
    let mut test = Test::new(2);
    test.request(NON_REPEATABLE);
    let limited = test.last_sent();
    test.announce_limit(&limited, Limit::Rate(Rate(1_000)));
    test.answer(&limited, Verdict::Good);
    for _ in 0..100 {
        test.advance(10);
        test.request(NON_REPEATABLE);
        let sent = test.last_sent();
        let limit = if sent.upstream == limited.upstream {
            Limit::Rate(Rate(1_000))
        } else {
            Limit::None
        };
        test.announce_limit(&sent, limit);
        test.answer(&sent, Verdict::Good);
    }
    let sent = test.sent();
    let to = |upstream: usize| sent.iter().filter(|sent| sent.upstream == upstream).count();
    expect_that!(sent.len(), eq(101));
    expect_that!(to(limited.upstream), le(3));
}

#[gtest]
fn retries_and_resumed_streams_take_permits_too() {
    let mut test = Test::new(2);
    test.request(NON_REPEATABLE);
    let limited = test.last_sent();
    test.announce_limit(&limited, Limit::Rate(Rate(100)));
    test.answer(&limited, Verdict::Good);
    for path in [REPEATABLE, STREAM] {
        for _ in 0..6 {
            test.request(path);
            let sent = test.last_sent();
            expect_that!(sent.upstream, not(eq(limited.upstream)));
            test.fail(&sent, Failure::Refused);
        }
    }
    let sent = test.sent();
    let there = sent.iter().filter(|sent| sent.upstream == limited.upstream);
    expect_that!(there.count(), eq(1));
}

#[gtest]
fn copy_at_an_upstream_without_a_permit_is_not_resumed_from() {
    let mut test = Test::new(3);
    let running = test.stream(2);
    let holder = running.backup.unwrap();
    test.handle(Event::PeerLimit {
        incarnation: incarnation(holder, 0),
        rate: Some(Rate(100)),
    });
    test.fail(&running, Failure::Broken);
    expect_that!(test.last_sent().upstream, not(eq(holder)));
    expect_that!(test.last_sent().copy, none());
}

#[gtest]
fn response_without_a_limit_lifts_it_only_if_requested_after_its_announcement() {
    let mut test = Test::new(1);
    test.request(NON_REPEATABLE);
    let before = test.last_sent();
    test.request(NON_REPEATABLE);
    let announcing = test.last_sent();
    test.advance(10);
    test.announce_limit(&announcing, Limit::Rate(Rate(1_000)));
    test.announce_limit(&before, Limit::None);
    expect_that!(test.announced(), elements_are![some(eq(&Rate(1_000)))]);
    test.answer(&announcing, Verdict::Good);
    test.answer(&before, Verdict::Good);
    test.advance(2 * SECOND);
    test.request(NON_REPEATABLE);
    let later = test.last_sent();
    test.announce_limit(&later, Limit::None);
    test.answer(&later, Verdict::Good);
    expect_that!(test.announced(), elements_are![some(anything()), none()]);
    expect_that!(test.send_calls(SECOND, Limit::None), eq(50));
}

#[gtest]
fn malformed_value_neither_sets_nor_lifts_a_limit() {
    let mut test = Test::with_a_limit(1_000);
    let sent = test.send_calls(10 * SECOND, Limit::Malformed);
    expect_that!(sent, le(11));
    expect_that!(test.counted(Counter::NoticeInvalid), eq(sent as u64));
}

#[gtest]
fn lowered_limit_applies_at_once_and_raised_limit_from_then_on() {
    let mut test = Test::with_a_limit(10_000);
    test.send_calls(2 * SECOND, Limit::Rate(Rate(10_000)));
    test.send_calls(100, Limit::Rate(Rate(1_000)));
    expect_that!(test.send_calls(4 * SECOND, Limit::Rate(Rate(1_000))), le(5));
    test.send_calls(SECOND, Limit::Rate(Rate(10_000)));
    let sent = test.send_calls(4 * SECOND, Limit::Rate(Rate(10_000)));
    expect_that!(sent, all![ge(32), le(41)]);
}

#[gtest]
fn limit_of_zero_is_probed_now_and_then() {
    let mut test = Test::with_a_limit(0);
    let sent = test.send_calls(60 * SECOND, Limit::Rate(Rate(0)));
    expect_that!(sent, all![ge(4), le(7)]);
}

#[gtest]
fn limit_reported_by_a_peer_applies_until_the_peer_reports_its_end() {
    let mut test = Test::new(1);
    let report = |test: &mut Test, rate: Option<Rate>| {
        let incarnation = incarnation(0, 0);
        test.handle(Event::PeerLimit { incarnation, rate });
    };
    report(&mut test, Some(Rate(1_000)));
    expect_that!(test.send_calls(5 * SECOND, Limit::Unknown), le(6));
    expect_that!(test.announced(), is_empty());
    report(&mut test, None);
    expect_that!(test.send_calls(SECOND, Limit::Unknown), eq(50));
}

#[gtest]
fn limit_reported_by_a_peer_is_not_announced_again_at_once() {
    let mut test = Test::new(1);
    test.request(NON_REPEATABLE);
    let sent = test.last_sent();
    let rate = Rate(1_000);
    test.handle(Event::PeerLimit {
        incarnation: incarnation(0, 0),
        rate: Some(rate),
    });
    test.announce_limit(&sent, Limit::Rate(rate));
    expect_that!(test.announced(), is_empty());
    test.answer(&sent, Verdict::Good);
    test.send_calls(6 * SECOND, Limit::Rate(rate));
    expect_that!(test.announced(), elements_are![some(eq(&rate))]);
}

#[gtest]
fn limit_survives_a_missing_entry_but_not_a_restart() {
    let mut test = Test::with_a_limit(0);
    test.list(Vec::new());
    test.list(vec![listed(0, 0)]);
    expect_that!(test.send_calls(SECOND, Limit::Unknown), eq(0));
    test.list(vec![ListEntry {
        born: 7,
        ..listed(0, 0)
    }]);
    expect_that!(test.send_calls(SECOND, Limit::None), eq(50));
}

/// Number of instances that send anything in 4 s while all know of the limit.
fn senders(instances: u64, thousandths: u64) -> usize {
    let sends = |own: &u64| {
        let view = View::numbered(*own, instances);
        let mut test = Test::fleet_with_a_limit(thousandths, view);
        test.send_calls(4 * SECOND, Limit::Rate(Rate(thousandths))) > 0
    };
    (0..instances).filter(sends).count()
}

#[gtest]
fn few_of_many_instances_hold_a_share_of_a_limit() {
    expect_that!(senders(1, 1_200), eq(1));
    expect_that!(senders(6, 1_200), eq(2));
    expect_that!(senders(90, 3_000), eq(5));
    expect_that!(senders(3, 20_000), eq(3));
}

/// View of an instance without a share of the first upstream's limit in a fleet of six.
fn view_without_share() -> View {
    let has_none = |view: &View| {
        let mut test = Test::fleet_with_a_limit(1_000, view.clone());
        test.send_calls(10 * SECOND, Limit::Unknown) == 0
    };
    let mut views = (0..6).map(|own| View::numbered(own, 6));
    views.find(has_none).expect("four of six have none")
}

#[gtest]
fn request_is_refused_at_once_where_other_instances_hold_the_shares() {
    let mut test = Test::fleet_with_a_limit(1_000, view_without_share());
    test.effects.clear();
    test.request(NON_REPEATABLE);
    expect_that!(test.outcomes(), elements_are![eq("overloaded")]);
    expect_that!(test.retry_afters(), elements_are![gt(&0)]);
}

#[gtest]
fn instance_without_a_share_probes_a_long_unconfirmed_limit_once() {
    let mut test = Test::fleet_with_a_limit(1_000, view_without_share());
    let sent = test.send_calls(MAX_PROBE_DELAY, Limit::Rate(Rate(1_000)));
    expect_that!(sent, all![ge(1), le(2)]);
    let known = test.sent().len();
    for _ in 0..40 {
        test.advance(5 * SECOND);
        let rate = Some(Rate(1_000));
        let incarnation = incarnation(0, 0);
        test.handle(Event::PeerLimit { incarnation, rate });
        test.request(NON_REPEATABLE);
    }
    expect_that!(test.sent().len(), eq(known));
}

#[gtest]
fn instance_with_a_share_by_a_new_view_waits_until_all_have_the_view() {
    let convergence_ms = 4 * SECOND;
    let (alone, joined) = (View::numbered(0, 1), View::numbered(0, 2));
    let view = |view: View| View {
        convergence_ms,
        ..view
    };
    let mut test = Test::fleet_with_a_limit(1_000, view(alone));
    // After its start it does not know yet which other instances there are.
    expect_that!(test.send_calls(convergence_ms, Limit::Unknown), eq(0));
    test.send_calls(2 * SECOND, Limit::Unknown);
    expect_that!(test.send_calls(4 * SECOND, Limit::Unknown), ge(3));
    // An instance that holds a share in both views continues.
    test.handle(Event::Instances(view(joined)));
    expect_that!(test.send_calls(4 * SECOND, Limit::Unknown), ge(1));
}

#[gtest]
fn request_waits_for_a_permit_available_in_time() {
    let mut test = Test::with_a_limit(2_000);
    test.effects.clear();
    test.request(NON_REPEATABLE);
    expect_that!(test.outcomes(), is_empty());
    test.advance(520);
    expect_that!(test.sent().len(), eq(1));
}

#[gtest]
fn requests_beyond_the_permits_available_in_time_are_refused_at_once() {
    let mut test = Test::with_a_limit(3_000);
    test.effects.clear();
    for _ in 0..6 {
        test.request(NON_REPEATABLE);
    }
    // Two permits become available within the waiting time of a call.
    expect_that!(test.outcomes().len(), eq(4));
    test.advance(1_100);
    expect_that!(test.sent().len(), eq(2));
}

/// Guards against refusals whose cause operators can not tell.
#[gtest]
fn refusal_for_a_limit_is_logged_with_the_time_until_a_permit() {
    let mut test = Test::with_a_limit(1_000);
    test.effects.clear();
    for _ in 0..3 {
        test.request_within(100, "key", NON_REPEATABLE, 0);
    }
    let refused = test.effects.iter().find_map(|effect| match effect {
        Effect::LogRequest(entry) => match entry.step {
            effect::Step::RefusedByLimits { available_ms } => Some(available_ms),
            _ => None,
        },
        _ => None,
    });
    expect_that!(refused, some(some(all![gt(100), le(3_000)])));
}

/// Guards against cutting a begun stream because other instances hold all shares of the limits at that moment: limits are
/// lifted, while a caller whose stream is cut has lost it.
#[gtest]
fn stream_that_has_begun_waits_while_other_instances_hold_all_permits() {
    let mut test = Test::new(6);
    test.handle(Event::Instances(View::numbered(0, 300)));
    let first = test.stream(3);
    let limit_all = |test: &mut Test, rate: Option<Rate>| {
        for upstream in 0..6 {
            let incarnation = incarnation(upstream, 0);
            test.handle(Event::PeerLimit { incarnation, rate });
        }
    };
    limit_all(&mut test, Some(Rate(1_000)));
    test.break_connection(&first, false);
    test.advance(1_200);
    expect_that!(test.sent().len(), eq(1));
    expect_that!(test.outcomes(), is_empty());
    limit_all(&mut test, None);
    test.advance(100);
    expect_that!(test.last_sent().position, eq(3));
}
