//! Behaviours of the core, one event at a time.

use {
    googletest::prelude::*,
    std::{collections::HashMap, net::SocketAddr, sync::Arc},
    wellplank_core::{
        attempt,
        clock::Time,
        config::{Config, Customer, Model, Policy, Priority, Service, Target},
        core::Core,
        counter::Counter,
        effect::{Effect, Outbound},
        event::{ClaimOutcome, Event, Failure, ListEntry, OutputToken, Submission},
        kind::Kind,
        notice::{Notice, Rest},
        position::Position,
        request::{Caller, Work},
        settings::Settings,
        upstream::{self, Load},
    },
};

const NOW: Time = Time(1_800_000_000_000);

/// A core with one service, and what it was told.
struct Test {
    core: Core,
    effects: Vec<Effect>,
    next: u64,
    now: Time,
}

impl Test {
    /// A core with a configuration and `upstreams` upstreams of eight slots.
    fn new(settings: Settings, upstreams: usize) -> Self {
        let mut test = Self::without_configuration(settings);
        test.tell(Event::Config(Arc::new(configuration(1))));
        test.list(upstreams, None);
        test
    }

    /// A core that streams a generation which may run once; its first attempt has yielded a token.
    fn drafting() -> (Self, attempt::Key) {
        let mut test = Self::new(Settings::default(), 2);
        let key = (u128::from(NOW.0) << 80) | (7 << 76) | (2 << 62);
        test.ask_of("mill", "draft", Some(key));
        test.claim();
        let first = test.attempts()[0];
        test.token(first, 0, 7);
        (test, first)
    }

    fn without_configuration(settings: Settings) -> Self {
        Self {
            core: Core::new(settings, [0; 32], 1, NOW),
            effects: Vec::new(),
            next: 0,
            now: NOW,
        }
    }

    /// Asks for a generation that may run again.
    fn ask(&mut self, customer: &str) -> Caller {
        self.ask_of(customer, "summary", None)
    }

    fn ask_of(&mut self, customer: &str, service: &str, key: Option<u128>) -> Caller {
        self.next += 1;
        let caller = Caller(self.next);
        self.tell(Event::Submit(Box::new(Submission {
            caller,
            cursor: None,
            customer: customer.into(),
            fingerprint: self.next,
            generation: key.unwrap_or(u128::from(self.next)),
            key,
            received: None,
            service: service.into(),
            work: Work::Generate {
                max_tokens: 100,
                payload: Arc::from(&b"{}"[..]),
                prefix: self.next,
            },
        })));
        caller
    }

    /// Settles the claim that was asked for last as this request's.
    fn claim(&mut self) {
        let claimed = self.effects.iter().rev().find_map(|effect| match effect {
            Effect::Claim { request, .. } => Some(*request),
            _ => None,
        });
        self.tell(Event::Claimed {
            outcome: ClaimOutcome::Claimed,
            request: claimed.expect("a claim was asked for"),
        });
    }

    /// Errors given to callers, and whether they say when to come back.
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

    /// Has the list read, with one upstream leaving if given.
    fn list(&mut self, upstreams: usize, leaving: Option<usize>) {
        let listed = (0..upstreams).map(|index| ListEntry {
            address: address(index),
            born: 0,
            data_centre: String::new(),
            leaving: leaving == Some(index),
            name: format!("runner-{index}"),
            pool: "runner".into(),
            since: Position::default(),
            slots: 0,
            version: String::new(),
        });
        self.tell(Event::List {
            requested_at: self.now,
            entries: Some(listed.collect()),
        });
        self.tell(Event::Tick);
        let probes: Vec<Effect> = self.effects.drain(..).collect();
        for probe in probes {
            if let Effect::Probe { upstream, .. } = probe {
                let load = Load {
                    slots: 8,
                    ..Load::default()
                };
                self.tell(Event::Load { upstream, load });
                self.tell(Event::Probed {
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

    /// The upstream that a request was sent to last, as the core knows it.
    fn upstream(&self) -> upstream::Key {
        let upstream = self.effects.iter().rev().find_map(|effect| match effect {
            Effect::Send { upstream, .. } => Some(*upstream),
            _ => None,
        });
        upstream.expect("something was sent")
    }

    /// Lets time pass in the steps of a running instance.
    fn pass(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.now = self.now.after(10);
            self.tell(Event::Tick);
        }
    }

    /// Gives one token of an attempt.
    fn token(&mut self, attempt: attempt::Key, position: u32, token: u32) {
        let piece = OutputToken {
            text: "a".into(),
            id: token,
        };
        self.tell(Event::Tokens {
            attempt,
            tokens: vec![piece],
            position,
        });
    }

    /// Where requests were sent, in order.
    fn sent(&self) -> Vec<usize> {
        let sent = |effect: &Effect| match effect {
            Effect::Send { address, .. } => Some(usize::from(address.port()) - 1),
            _ => None,
        };
        self.effects.iter().filter_map(sent).collect()
    }

    fn tell(&mut self, event: Event) {
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
            services: Vec::new(),
            weight: 1,
        };
        (name.to_owned(), Arc::new(customer))
    };
    Config {
        customers: HashMap::from([customer("mill", 1_000), customer("small", 2)]),
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

#[gtest]
fn generation_is_not_sent_to_an_engine_that_asked_for_rest() {
    let mut test = Test::new(Settings::default(), 1);
    test.ask("mill");
    let (attempt, upstream) = (test.attempts()[0], test.upstream());
    let rest = Rest::For(3_000);
    let notice = Notice {
        rest,
        ..Notice::default()
    };
    test.tell(Event::NoticeReceived {
        attempt,
        notice,
        upstream,
    });
    test.ask("mill");
    expect_that!(test.sent().len(), eq(1));
    expect_that!(test.errors(), elements_are![eq(&(Kind::Overloaded, true))]);
    test.now = test.now.after(3_400);
    test.effects.clear();
    test.list(1, None);
    test.ask("mill");
    expect_that!(test.sent().len(), eq(1));
}

#[gtest]
fn without_configuration_nothing_is_taken() {
    let mut test = Test::without_configuration(Settings::default());
    test.ask("mill");
    expect_that!(test.errors(), elements_are![eq(&(Kind::NotReady, true))]);
}

#[gtest]
fn unknown_customer_is_refused() {
    let mut test = Test::new(Settings::default(), 1);
    test.ask("stranger");
    expect_that!(
        test.errors(),
        elements_are![eq(&(Kind::Unauthorized, false))]
    );
}

#[gtest]
fn without_upstream_a_request_is_refused_at_once() {
    let mut test = Test::new(Settings::default(), 0);
    test.ask("mill");
    expect_that!(test.errors(), elements_are![eq(&(Kind::NoUpstream, true))]);
}

#[gtest]
fn customer_beyond_its_limit_is_told_when_to_come_back() {
    let mut test = Test::new(Settings::default(), 1);
    for _ in 0..3 {
        test.ask("small");
    }
    expect_that!(
        test.errors(),
        elements_are![eq(&(Kind::CustomerLimit, true))]
    );
}

#[gtest]
fn limit_is_freed_when_a_caller_goes_away() {
    let mut test = Test::new(Settings::default(), 1);
    let first = test.ask("small");
    test.ask("small");
    test.tell(Event::CallerGone(first));
    test.ask("small");
    expect_that!(test.errors(), is_empty());
}

#[gtest]
fn memory_beyond_the_limit_is_refused() {
    let settings = Settings {
        held_bytes_max: 1_000,
        ..Settings::default()
    };
    let mut test = Test::new(settings, 1);
    for _ in 0..3 {
        test.ask("mill");
    }
    expect_that!(test.errors(), elements_are![eq(&(Kind::Overloaded, true))]);
}

#[gtest]
fn request_that_would_wait_too_long_is_refused_at_once() {
    let mut test = Test::new(Settings::default(), 1);
    for _ in 0..40 {
        test.ask("mill");
    }
    expect_that!(test.sent().len(), eq(8));
    expect_that!(test.errors(), not(is_empty()));
    expect_that!(test.errors(), each(eq(&(Kind::Overloaded, true))));
}

#[gtest]
fn lower_revision_is_not_taken() {
    let mut test = Test::new(Settings::default(), 1);
    test.tell(Event::Config(Arc::new(configuration(5))));
    test.tell(Event::Config(Arc::new(configuration(4))));
    expect_that!(test.core.revision(), some(eq(5)));
}

#[gtest]
fn leaving_upstream_gets_no_new_work() {
    let mut test = Test::new(Settings::default(), 2);
    test.list(2, Some(0));
    for _ in 0..8 {
        test.ask("mill");
    }
    expect_that!(test.sent(), each(eq(&1)));
}

#[gtest]
fn word_of_a_peer_that_an_upstream_leaves_counts_at_once() {
    let mut test = Test::new(Settings::default(), 2);
    test.tell(Event::Leaving("runner-1".into()));
    for _ in 0..8 {
        test.ask("mill");
    }
    expect_that!(test.sent(), each(eq(&0)));
}

#[gtest]
fn subset_bounds_the_upstreams_that_are_used_and_probed() {
    let settings = Settings {
        subset: 3,
        ..Settings::default()
    };
    let mut test = Test::new(settings, 20);
    for _ in 0..20 {
        test.ask("mill");
    }
    let mut used = test.sent();
    used.sort_unstable();
    used.dedup();
    expect_that!(used.len(), le(3));
}

#[gtest]
fn lost_stream_goes_on_before_new_work() {
    let mut test = Test::new(Settings::default(), 2);
    let first = test.ask("mill");
    let attempt = test.attempts()[0];
    test.token(attempt, 0, 7);
    for _ in 0..30 {
        test.ask("mill");
    }
    test.effects.clear();
    test.tell(Event::Failed {
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
    let caller = test.ask("mill");
    let attempt = test.attempts()[0];
    test.tell(Event::CallerGone(caller));
    test.effects.clear();
    test.tell(Event::GenerationFinished {
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
fn paused_instance_does_not_blame_its_upstreams() {
    let mut test = Test::new(Settings::default(), 2);
    test.ask("mill");
    test.effects.clear();
    test.now = test.now.after(60_000 - 1);
    test.tell(Event::Tick);
    let lost = |effect: &Effect| matches!(effect, Effect::Count(Counter::UpstreamLost, _));
    expect_that!(test.effects.iter().any(lost), eq(false));
    let paused = |effect: &Effect| matches!(effect, Effect::Count(Counter::Paused, 1));
    expect_that!(test.effects.iter().any(paused), eq(true));
}

#[gtest]
fn silent_stream_is_continued_elsewhere_and_the_first_to_yield_wins() {
    let mut test = Test::new(Settings::default(), 2);
    test.ask("mill");
    let first = test.attempts()[0];
    test.token(first, 0, 7);
    test.pass(Settings::default().stall_min_ms + 50);
    let attempts = test.attempts();
    expect_that!(attempts.len(), eq(2));
    test.effects.clear();
    test.token(attempts[1], 1, 8);
    let cancelled: Vec<attempt::Key> = test
        .effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Cancel { attempt, .. } => Some(*attempt),
            _ => None,
        })
        .collect();
    expect_that!(cancelled, elements_are![eq(&first)]);
    // What the first says from now on is late.
    test.effects.clear();
    test.token(first, 1, 9);
    let delivered = |effect: &Effect| matches!(effect, Effect::Deliver { .. });
    expect_that!(test.effects.iter().any(delivered), eq(false));
}

#[gtest]
fn load_that_comes_with_tokens_is_believed_at_once() {
    let mut test = Test::new(Settings::default(), 2);
    test.ask("mill");
    let (first, busy) = (test.attempts()[0], test.sent()[0]);
    test.tell(Event::PiggybackedLoad {
        attempt: first,
        load: Load {
            running: 8,
            slots: 8,
            ..Load::default()
        },
    });
    test.effects.clear();
    for _ in 0..4 {
        test.ask("mill");
    }
    expect_that!(test.sent(), each(not(eq(&busy))));
}

#[gtest]
fn woken_instance_sends_nothing_before_it_has_read_the_list_again() {
    let mut test = Test::new(Settings::default(), 1);
    let asked = test.now;
    test.now = test.now.after(5_000);
    test.ask("mill");
    // An answer that was on its way before the pause says nothing new.
    test.tell(Event::List {
        requested_at: asked,
        entries: None,
    });
    expect_that!(test.sent(), is_empty());
    test.tell(Event::List {
        requested_at: test.now,
        entries: None,
    });
    test.tell(Event::Tick);
    expect_that!(test.sent().len(), eq(1));
}

#[gtest]
fn long_generation_that_runs_once_is_still_continued_after_its_key_has_aged() {
    let (mut test, first) = Test::drafting();
    test.now = test.now.after(2 * Settings::default().key_age_max_ms);
    test.tell(Event::List {
        requested_at: test.now,
        entries: None,
    });
    test.effects.clear();
    test.tell(Event::Failed {
        attempt: first,
        failure: Failure::Broken,
    });
    test.claim();
    expect_that!(test.errors(), is_empty());
    expect_that!(test.attempts().len(), eq(1));
}

#[gtest]
fn continuation_claimed_before_a_long_pause_is_not_sent_after_it() {
    let (mut test, first) = Test::drafting();
    test.effects.clear();
    test.tell(Event::Failed {
        attempt: first,
        failure: Failure::Broken,
    });
    test.now = test.now.after(2 * Settings::default().key_age_max_ms);
    test.claim();
    test.tell(Event::List {
        requested_at: test.now,
        entries: None,
    });
    expect_that!(test.attempts(), is_empty());
    expect_that!(test.errors(), elements_are![eq(&(Kind::Unknown, false))]);
}
