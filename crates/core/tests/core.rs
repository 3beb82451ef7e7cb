//! Unit tests of the core, driven by single events.

use {
    googletest::prelude::*,
    std::{net::SocketAddr, sync::Arc},
    wellplank_core::{
        attempt,
        clock::Time,
        config::{Access, Config, Customer, Model, Permission, Policy, Priority, Service, Target},
        core::Core,
        counter::Counter,
        effect::{Effect, Outbound},
        event::{ClaimOutcome, Event, Failure, ListEntry, OutputToken, Submission},
        fingerprint::RequestFingerprint,
        incarnation::Incarnation,
        kind::Kind,
        notice::{Backoff, Notice},
        position::Position,
        quarantine::{CrashHistory, Involvement},
        request::{Caller, Work},
        settings::Settings,
        upstream::{self, Load},
    },
};

const NOW: Time = Time(1_800_000_000_000);

/// A core, its clock and the effects it has returned.
struct Test {
    core: Core,
    effects: Vec<Effect>,
    last_caller: u64,
    now: Time,
}

impl Test {
    /// A core with a configuration and `upstreams` upstreams of eight slots.
    fn new(settings: Settings, upstreams: usize) -> Self {
        let mut test = Self::without_configuration(settings);
        test.handle(Event::Config(Arc::new(configuration(1))));
        test.apply_list(upstreams, None);
        test
    }

    /// A core that streams a non-repeatable generation, whose first attempt has yielded one token.
    fn with_non_repeatable_stream() -> (Self, attempt::Key) {
        let mut test = Self::new(Settings::default(), 2);
        let key = (u128::from(NOW.0) << 80) | (7 << 76) | (2 << 62);
        test.submit_to("mill", "draft", Some(key));
        test.confirm_claim();
        let first = test.attempts()[0];
        test.send_token(first, 0, 7);
        (test, first)
    }

    fn without_configuration(settings: Settings) -> Self {
        Self {
            core: Core::new(settings, [0; 32], 1, NOW),
            effects: Vec::new(),
            last_caller: 0,
            now: NOW,
        }
    }

    /// Submits a repeatable generation.
    fn submit(&mut self, customer: &str) -> Caller {
        self.submit_to(customer, "summary", None)
    }

    fn submit_to(&mut self, customer: &str, service: &str, key: Option<u128>) -> Caller {
        self.last_caller += 1;
        let caller = Caller(self.last_caller);
        self.handle(Event::Submit(Box::new(Submission {
            caller,
            cursor: None,
            customer: customer.into(),
            fingerprint: self.last_caller,
            generation: key.unwrap_or(u128::from(self.last_caller)),
            key,
            received: None,
            service: service.into(),
            work: Work::Generate {
                max_tokens: 100,
                payload: Arc::from(&b"{}"[..]),
                prefix: self.last_caller,
            },
        })));
        caller
    }

    /// Confirms the last claim that was requested.
    fn confirm_claim(&mut self) {
        let claimed = self.effects.iter().rev().find_map(|effect| match effect {
            Effect::Claim { request, .. } => Some(*request),
            _ => None,
        });
        self.handle(Event::Claimed {
            outcome: ClaimOutcome::Claimed,
            request: claimed.expect("a claim was requested"),
        });
    }

    /// Errors that callers received, and whether they include a retry-after time.
    fn errors(&self) -> Vec<(Kind, bool)> {
        let error = |effect: &Effect| match effect {
            Effect::Fail {
                kind,
                retry_after_ms,
                ..
            } => Some((*kind, retry_after_ms.is_some())),
            _ => None,
        };
        self.effects.iter().filter_map(error).collect()
    }

    /// Applies a list of upstreams, of which `leaving` is draining, and answers the probes that
    /// follow.
    fn apply_list(&mut self, upstreams: usize, leaving: Option<usize>) {
        let listed = (0..upstreams).map(|index| ListEntry {
            address: address(index),
            born: 0,
            data_centre: String::new(),
            leaving: leaving == Some(index),
            name: format!("runner-{index}"),
            pool: "runner".into(),
            registered_at: Position::default(),
            slots: 0,
            version: String::new(),
        });
        self.handle(Event::List {
            requested_at: self.now,
            entries: Some(listed.collect()),
        });
        self.handle(Event::Tick);
        let probes: Vec<Effect> = self.effects.drain(..).collect();
        for probe in probes {
            if let Effect::Probe { upstream, .. } = probe {
                let load = Load {
                    slots: 8,
                    ..Load::default()
                };
                self.handle(Event::Load { upstream, load });
                self.handle(Event::Probed {
                    alive: true,
                    upstream,
                });
            }
        }
    }

    /// Attempts that were sent, in order.
    fn attempts(&self) -> Vec<attempt::Key> {
        let attempt = |effect: &Effect| match effect {
            Effect::Send { attempt, .. } => Some(*attempt),
            _ => None,
        };
        self.effects.iter().filter_map(attempt).collect()
    }

    /// Key of the upstream that the last request was sent to.
    fn upstream(&self) -> upstream::Key {
        let upstream = self.effects.iter().rev().find_map(|effect| match effect {
            Effect::Send { upstream, .. } => Some(*upstream),
            _ => None,
        });
        upstream.expect("something was sent")
    }

    /// Advances the clock with a tick every 10 ms, as in a running instance.
    fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.now = self.now.after(10);
            self.handle(Event::Tick);
        }
    }

    /// Delivers one token of an attempt.
    fn send_token(&mut self, attempt: attempt::Key, position: u32, token: u32) {
        let output_token = OutputToken {
            text: "a".into(),
            id: token,
        };
        self.handle(Event::Tokens {
            attempt,
            tokens: vec![output_token],
            position,
        });
    }

    /// Indices of the upstreams that requests were sent to, in order.
    fn sent_to(&self) -> Vec<usize> {
        let sent = |effect: &Effect| match effect {
            Effect::Send { address, .. } => Some(usize::from(address.port()) - 1),
            _ => None,
        };
        self.effects.iter().filter_map(sent).collect()
    }

    fn handle(&mut self, event: Event) {
        self.effects.extend(self.core.handle(self.now, event));
    }
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], index as u16 + 1))
}

fn configuration(revision: u64) -> Config {
    let model = Arc::new(Model {
        adapters: Vec::new(),
        name: "llm".into(),
        pool: "runner".into(),
        version: "1".into(),
    });
    let service = Service {
        deadline_ms: 60_000,
        max_wait_ms: 1_000,
        name: "summary".into(),
        policy: Policy::Latency,
        priority: Priority::Normal,
        repeatable: true,
        target: Target::Generate {
            adapter: String::new(),
            model,
        },
    };
    let draft = Service {
        name: "draft".into(),
        repeatable: false,
        ..service.clone()
    };
    let customer = |name: &str, max_running| {
        let customer = Customer {
            max_running,
            name: name.into(),
            priority: wellplank_core::config::DEFAULT_PRIORITY,
            services: Permission::All,
            weight: 1,
        };
        (name.to_owned(), Arc::new(customer))
    };
    Config {
        access: Access::Keys([customer("mill", 1_000), customer("small", 2)].into()),
        models: std::collections::BTreeMap::new(),
        revision,
        routes: Vec::new(),
        services: [
            ("draft".into(), Arc::new(draft)),
            (service.name.clone(), Arc::new(service)),
        ]
        .into(),
    }
}

/// Guards against an engine that sends tokens without an end, which are all kept for their caller.
#[gtest]
fn tokens_behind_the_last_one_that_was_requested_end_the_generation() {
    let mut test = Test::new(Settings::default(), 1);
    test.submit("mill");
    let attempt = test.attempts()[0];
    for position in 0..200 {
        test.send_token(attempt, position, 7);
    }
    let delivered = |effect: &Effect| match effect {
        Effect::Deliver { tokens, .. } => Some(tokens.len()),
        _ => None,
    };
    let delivered: usize = test.effects.iter().filter_map(delivered).sum();
    let is_finish = |effect: &&Effect| matches!(effect, Effect::Finish { position: 100, .. });
    let is_cancel = |effect: &&Effect| matches!(effect, Effect::Cancel { .. });
    expect_that!(delivered, eq(100));
    expect_that!(test.effects.iter().filter(is_finish).count(), eq(1));
    expect_that!(test.effects.iter().filter(is_cancel).count(), eq(1));
}

#[gtest]
fn generation_is_not_sent_to_an_engine_in_backoff() {
    let mut test = Test::new(Settings::default(), 1);
    test.submit("mill");
    let (attempt, upstream) = (test.attempts()[0], test.upstream());
    let notice = Notice {
        backoff: Backoff::For(3_000),
        ..Notice::default()
    };
    test.handle(Event::NoticeReceived {
        attempt,
        notice,
        upstream,
    });
    test.submit("mill");
    expect_that!(test.sent_to().len(), eq(1));
    expect_that!(test.errors(), elements_are![eq(&(Kind::Overloaded, true))]);
    test.now = test.now.after(3_400);
    test.effects.clear();
    test.apply_list(1, None);
    test.submit("mill");
    expect_that!(test.sent_to().len(), eq(1));
}

#[gtest]
fn request_is_refused_without_configuration() {
    let mut test = Test::without_configuration(Settings::default());
    test.submit("mill");
    expect_that!(test.errors(), elements_are![eq(&(Kind::NotReady, true))]);
}

#[gtest]
fn unknown_customer_is_refused() {
    let mut test = Test::new(Settings::default(), 1);
    test.submit("stranger");
    expect_that!(
        test.errors(),
        elements_are![eq(&(Kind::Unauthorized, false))]
    );
}

#[gtest]
fn request_is_refused_immediately_without_upstreams() {
    let mut test = Test::new(Settings::default(), 0);
    test.submit("mill");
    expect_that!(test.errors(), elements_are![eq(&(Kind::NoUpstream, true))]);
}

#[gtest]
fn customer_over_its_limit_receives_a_retry_after_time() {
    let mut test = Test::new(Settings::default(), 1);
    for _ in 0..3 {
        test.submit("small");
    }
    expect_that!(
        test.errors(),
        elements_are![eq(&(Kind::CustomerLimit, true))]
    );
}

#[gtest]
fn limit_is_released_when_a_caller_disconnects() {
    let mut test = Test::new(Settings::default(), 1);
    let first = test.submit("small");
    test.submit("small");
    test.handle(Event::CallerGone(first));
    test.submit("small");
    expect_that!(test.errors(), is_empty());
}

#[gtest]
fn request_over_the_memory_limit_is_refused() {
    let settings = Settings {
        held_bytes_max: 1_000,
        ..Settings::default()
    };
    let mut test = Test::new(settings, 1);
    for _ in 0..3 {
        test.submit("mill");
    }
    expect_that!(test.errors(), elements_are![eq(&(Kind::Overloaded, true))]);
}

#[gtest]
fn request_with_too_long_an_expected_wait_is_refused_immediately() {
    let mut test = Test::new(Settings::default(), 1);
    for _ in 0..40 {
        test.submit("mill");
    }
    expect_that!(test.sent_to().len(), eq(8));
    expect_that!(test.errors(), not(is_empty()));
    expect_that!(test.errors(), each(eq(&(Kind::Overloaded, true))));
}

#[gtest]
fn lower_configuration_revision_is_ignored() {
    let mut test = Test::new(Settings::default(), 1);
    test.handle(Event::Config(Arc::new(configuration(5))));
    test.handle(Event::Config(Arc::new(configuration(4))));
    expect_that!(test.core.revision(), some(eq(5)));
}

#[gtest]
fn leaving_upstream_receives_no_new_requests() {
    let mut test = Test::new(Settings::default(), 2);
    test.apply_list(2, Some(0));
    for _ in 0..8 {
        test.submit("mill");
    }
    expect_that!(test.sent_to(), each(eq(&1)));
}

#[gtest]
fn leaving_notice_of_a_peer_applies_immediately() {
    let mut test = Test::new(Settings::default(), 2);
    test.handle(Event::Leaving("runner-1".into()));
    for _ in 0..8 {
        test.submit("mill");
    }
    expect_that!(test.sent_to(), each(eq(&0)));
}

#[gtest]
fn subset_limits_the_number_of_upstreams_in_use() {
    let settings = Settings {
        subset: 3,
        ..Settings::default()
    };
    let mut test = Test::new(settings, 20);
    for _ in 0..20 {
        test.submit("mill");
    }
    let mut used = test.sent_to();
    used.sort_unstable();
    used.dedup();
    expect_that!(used.len(), le(3));
}

#[gtest]
fn lost_stream_is_resumed_before_queued_requests() {
    let mut test = Test::new(Settings::default(), 2);
    let first = test.submit("mill");
    let attempt = test.attempts()[0];
    test.send_token(attempt, 0, 7);
    for _ in 0..30 {
        test.submit("mill");
    }
    test.effects.clear();
    test.handle(Event::Failed {
        attempt,
        failure: Failure::Broken,
    });
    let next = test.effects.iter().find_map(|effect| match effect {
        Effect::Send { outbound, .. } => Some(outbound.clone()),
        _ => None,
    });
    let Some(Outbound::Generate { prefix, stream, .. }) = next else {
        panic!("{next:?}");
    };
    expect_that!(prefix, elements_are![eq(&7)]);
    expect_that!(stream.generation, eq(u128::from(first.0)));
    expect_that!(stream.number, eq(2));
}

#[gtest]
fn late_frames_are_dropped_and_counted() {
    let mut test = Test::new(Settings::default(), 1);
    let caller = test.submit("mill");
    let attempt = test.attempts()[0];
    test.handle(Event::CallerGone(caller));
    test.effects.clear();
    test.handle(Event::GenerationFinished {
        attempt,
        position: 100,
        reason: "length".into(),
    });
    let counted = test
        .effects
        .iter()
        .any(|effect| matches!(effect, Effect::Count(Counter::FrameLate, 1)));
    expect_that!(counted, eq(true));
    expect_that!(test.effects.len(), eq(1));
}

#[gtest]
fn paused_instance_does_not_count_its_upstreams_as_lost() {
    let mut test = Test::new(Settings::default(), 2);
    test.submit("mill");
    test.effects.clear();
    test.now = test.now.after(60_000 - 1);
    test.handle(Event::Tick);
    let lost = |effect: &Effect| matches!(effect, Effect::Count(Counter::UpstreamLost, _));
    expect_that!(test.effects.iter().any(lost), eq(false));
    let paused = |effect: &Effect| matches!(effect, Effect::Count(Counter::Paused, 1));
    expect_that!(test.effects.iter().any(paused), eq(true));
}

#[gtest]
fn stalled_stream_is_hedged_and_the_first_attempt_to_yield_wins() {
    let mut test = Test::new(Settings::default(), 2);
    test.submit("mill");
    let first = test.attempts()[0];
    test.send_token(first, 0, 7);
    test.advance(Settings::default().stall_min_ms + 50);
    let attempts = test.attempts();
    expect_that!(attempts.len(), eq(2));
    test.effects.clear();
    test.send_token(attempts[1], 1, 8);
    let cancelled: Vec<attempt::Key> = test
        .effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Cancel { attempt, .. } => Some(*attempt),
            _ => None,
        })
        .collect();
    expect_that!(cancelled, elements_are![eq(&first)]);
    // Tokens of the cancelled attempt arrive too late and are dropped.
    test.effects.clear();
    test.send_token(first, 1, 9);
    let delivered = |effect: &Effect| matches!(effect, Effect::Deliver { .. });
    expect_that!(test.effects.iter().any(delivered), eq(false));
}

/// Guards against a request that is queued twice: behind its end, the second place in the queue would name nothing, and
/// the next look at the queue would end the process.
#[gtest]
fn hedged_request_that_is_queued_is_not_queued_again_behind_a_crash_check() {
    let mut test = Test::new(Settings::default(), 2);
    test.submit("mill");
    let (first, upstream) = (test.attempts()[0], test.upstream());
    let former = test.core.incarnation(upstream).expect("it is listed");
    test.send_token(first, 0, 7);
    test.advance(Settings::default().stall_min_ms + 50);
    let (second, other) = (test.attempts()[1], test.upstream());
    let mut crashes = CrashHistory::default();
    let fingerprint = RequestFingerprint::new("mill", 1);
    for born in [1, 2] {
        let crashed = Incarnation::new("runner-9", born);
        crashes.record(crashed, fingerprint, Involvement::Fresh, test.now);
    }
    test.handle(Event::CrashReported(Box::new(crashes)));
    for (attempt, upstream) in [(first, upstream), (second, other)] {
        let notice = Notice {
            backoff: Backoff::For(300),
            ..Notice::default()
        };
        test.handle(Event::NoticeReceived {
            attempt,
            notice,
            upstream,
        });
    }
    for (attempt, failure) in [(first, Failure::Broken), (second, Failure::Refused)] {
        test.handle(Event::Failed { attempt, failure });
    }
    expect_that!(test.attempts().len(), eq(2));
    test.handle(Event::CrashChecked {
        ended: false,
        incarnation: former,
    });
    test.advance(400);
    expect_that!(test.attempts().len(), eq(3));
    let third = test.attempts()[2];
    test.send_token(third, 1, 8);
    test.handle(Event::GenerationFinished {
        attempt: third,
        position: 2,
        reason: "stop".into(),
    });
    expect_that!(test.core.running(), eq(0));
    expect_that!(test.core.inconsistencies(), is_empty());
}

#[gtest]
fn piggybacked_load_applies_immediately() {
    let mut test = Test::new(Settings::default(), 2);
    test.submit("mill");
    let (first, busy) = (test.attempts()[0], test.sent_to()[0]);
    test.handle(Event::PiggybackedLoad {
        attempt: first,
        load: Load {
            running: 8,
            slots: 8,
            ..Load::default()
        },
    });
    test.effects.clear();
    for _ in 0..4 {
        test.submit("mill");
    }
    expect_that!(test.sent_to(), each(not(eq(&busy))));
}

#[gtest]
fn resumed_instance_sends_nothing_before_it_has_read_the_list_again() {
    let mut test = Test::new(Settings::default(), 1);
    let requested_at = test.now;
    test.now = test.now.after(5_000);
    test.submit("mill");
    // The response to a read that started before the pause may be stale.
    test.handle(Event::List {
        requested_at,
        entries: None,
    });
    expect_that!(test.sent_to(), is_empty());
    test.handle(Event::List {
        requested_at: test.now,
        entries: None,
    });
    test.handle(Event::Tick);
    expect_that!(test.sent_to().len(), eq(1));
}

#[gtest]
fn non_repeatable_generation_is_continued_after_its_key_has_aged() {
    let (mut test, first) = Test::with_non_repeatable_stream();
    test.now = test.now.after(2 * Settings::default().key_age_max_ms);
    test.handle(Event::List {
        requested_at: test.now,
        entries: None,
    });
    test.effects.clear();
    test.handle(Event::Failed {
        attempt: first,
        failure: Failure::Broken,
    });
    test.confirm_claim();
    expect_that!(test.errors(), is_empty());
    expect_that!(test.attempts().len(), eq(1));
}

#[gtest]
fn continuation_claimed_before_a_long_pause_is_not_sent_afterwards() {
    let (mut test, first) = Test::with_non_repeatable_stream();
    test.effects.clear();
    test.handle(Event::Failed {
        attempt: first,
        failure: Failure::Broken,
    });
    test.now = test.now.after(2 * Settings::default().key_age_max_ms);
    test.confirm_claim();
    test.handle(Event::List {
        requested_at: test.now,
        entries: None,
    });
    expect_that!(test.attempts(), is_empty());
    expect_that!(test.errors(), elements_are![eq(&(Kind::Unknown, false))]);
}

/// Guards against cutting a generation that has begun because no upstream took it for as long as a new one may wait: 58 s
/// were left when the only upstream came back.
#[gtest]
fn begun_generation_waits_for_an_upstream_longer_than_a_new_one() {
    let mut test = Test::new(Settings::default(), 1);
    test.submit("mill");
    let (first, upstream) = (test.attempts()[0], test.upstream());
    test.send_token(first, 0, 7);
    test.handle(Event::Failed {
        attempt: first,
        failure: Failure::Broken,
    });
    test.advance(1_600);
    expect_that!(test.errors(), is_empty());
    test.effects.clear();
    let is_probe = |effect: &Effect| matches!(effect, Effect::Probe { .. });
    while !test.effects.iter().any(is_probe) {
        test.advance(10);
    }
    let alive = true;
    test.handle(Event::Probed { alive, upstream });
    expect_that!(test.sent_to(), elements_are![eq(&0)]);
}

/// Guards against ending a generation that may run only once because its engine does not answer a probe for 0.4 s: the
/// engine may go on, and nothing can be sent elsewhere.
#[gtest]
fn generation_that_runs_once_outlasts_the_silence_of_its_engine() {
    let mut test = Test::new(Settings::default(), 2);
    let key = (u128::from(NOW.0) << 80) | (7 << 76) | (2 << 62);
    test.submit_to("mill", "draft", Some(key));
    test.confirm_claim();
    let (attempt, upstream) = (test.attempts()[0], test.upstream());
    test.advance(4_000);
    expect_that!(test.errors(), is_empty());
    let lost = |effect: &&Effect| matches!(effect, Effect::Count(Counter::UpstreamLost, _));
    expect_that!(test.effects.iter().filter(lost).count(), le(2));
    test.effects.clear();
    let alive = true;
    test.handle(Event::Probed { alive, upstream });
    test.send_token(attempt, 0, 7);
    let delivered = |effect: &Effect| matches!(effect, Effect::Deliver { .. });
    expect_that!(test.effects.iter().any(delivered), eq(true));
}

/// Guards against an engine whose answers no longer arrive, and callers that hear of it at their deadline.
#[gtest]
fn generation_that_runs_once_ends_as_unknown_after_a_long_silence() {
    let mut test = Test::new(Settings::default(), 2);
    let key = (u128::from(NOW.0) << 80) | (7 << 76) | (2 << 62);
    test.submit_to("mill", "draft", Some(key));
    test.confirm_claim();
    test.advance(8_000);
    expect_that!(test.errors(), elements_are![eq(&(Kind::Unknown, false))]);
}

/// Guards against ending a begun generation without further attempts because its engine is silent for two seconds.
#[gtest]
fn generation_without_further_attempts_stays_at_a_silent_engine() {
    let settings = Settings {
        attempts_max: 1,
        ..Settings::default()
    };
    let mut test = Test::new(settings, 2);
    test.submit("mill");
    let attempt = test.attempts()[0];
    test.send_token(attempt, 0, 7);
    test.advance(4_000);
    expect_that!(test.errors(), is_empty());
    test.effects.clear();
    test.send_token(attempt, 1, 8);
    let delivered = |effect: &Effect| matches!(effect, Effect::Deliver { .. });
    expect_that!(test.effects.iter().any(delivered), eq(true));
}
