//! A core with routes for relayed requests, and what it was told.

use super::*;

pub const NOW: Time = Time(1_800_000_000_000);

/// Path of a stream that may be resumed.
pub const STREAM: &str = "/stream/1";

/// Path of calls that may be repeated.
pub const AGAIN: &str = "/again/1";

/// Path of calls that may run once.
pub const ONCE: &str = "/once/1";

/// A core with routes, and what it was told.
pub struct Test {
    /// What tells the bodies of requests apart.
    pub body: u64,
    pub core: Core,
    pub effects: Vec<Effect>,
    next: u64,
    pub now: Time,
}

/// What was sent for an attempt.
#[derive(Clone, Debug)]
pub struct Sent {
    pub attempt: attempt::Key,
    pub backup: Option<usize>,
    pub copy: Option<String>,
    pub left_ms: u64,
    /// The upstream, as the core knows it.
    pub key: upstream::Key,
    pub position: u64,
    pub upstream: usize,
}

impl Test {
    /// A core with a configuration and upstreams, three of them in each data centre.
    pub fn new(upstreams: usize) -> Self {
        Self::without_configuration().configured(upstreams)
    }

    pub fn configured(mut self, upstreams: usize) -> Self {
        self.tell(Event::Config(Arc::new(configuration(1))));
        self.list((0..upstreams).map(|index| listed(index, index)).collect());
        self
    }

    /// The same core, still to be told of the streams that were kept before its start.
    pub fn recalling(mut self) -> Self {
        self.core = self.core.recalling();
        self
    }

    pub fn without_configuration() -> Self {
        Self::with(ResumeMode::Copy)
    }

    /// A core without a configuration whose lost streams go on in one way.
    pub fn with(relay_resume: ResumeMode) -> Self {
        Self::set(Settings {
            relay_resume,
            ..Settings::default()
        })
    }

    /// A core without a configuration, with some settings.
    pub fn set(settings: Settings) -> Self {
        Self::build(settings, 1)
    }

    /// A core with one upstream, whose random choices are those of a seed.
    pub fn seeded(seed: u64) -> Self {
        Self::build(Settings::default(), seed).configured(1)
    }

    fn build(mut settings: Settings, seed: u64) -> Self {
        settings.probes = false;
        Self {
            body: 0,
            core: Core::new(settings, [0; 32], seed, NOW).standing_in("dc-0"),
            effects: Vec::new(),
            next: 0,
            now: NOW,
        }
    }

    pub fn ask(&mut self, path: &str) -> Caller {
        self.ask_as("key", path, 0)
    }

    /// Asks with a key, behind the event that the caller has.
    pub fn ask_as(&mut self, key: &str, path: &str, position: u64) -> Caller {
        self.ask_within(20_000, key, path, position)
    }

    /// Asks with so much patience, in milliseconds.
    pub fn ask_within(&mut self, patience: u64, key: &str, path: &str, position: u64) -> Caller {
        let tokens = if path == STREAM { 5_200 } else { 0 };
        self.submit(patience, key, path, position, tokens)
    }

    /// Asks for so many tokens; 0 does not say.
    pub fn ask_of_size(&mut self, tokens: u32, path: &str) -> Caller {
        self.submit(20_000, "key", path, 0, tokens)
    }

    fn submit(
        &mut self,
        patience: u64,
        key: &str,
        path: &str,
        position: u64,
        tokens: u32,
    ) -> Caller {
        self.next += 1;
        let caller = Caller(self.next);
        self.tell(Event::Submit(Box::new(Submission {
            caller,
            cursor: None,
            customer: key.into(),
            fingerprint: self.body,
            generation: u128::from(self.next),
            key: None,
            received: None,
            service: String::new(),
            work: Work::Relay(Relay {
                answer_tokens: if path == STREAM { 800 } else { 0 },
                bytes: 100,
                host: "a.example".into(),
                path: path.into(),
                patience_ms: Some(patience),
                position,
                prompt: if path == STREAM { 77 } else { 0 },
                run: format!("run-{}", self.next).into(),
                tokens,
            }),
        })));
        caller
    }

    /// Has a stream sent and its first events passed on.
    pub fn stream(&mut self, events: u64) -> Sent {
        self.ask(STREAM);
        let sent = self.last();
        self.tell(Event::Opened(sent.attempt));
        for position in 1..=events {
            self.pass_on(&sent, position);
        }
        sent
    }

    pub fn pass_on(&mut self, sent: &Sent, position: u64) {
        self.tell(Event::Passed {
            attempt: sent.attempt,
            bytes: format!("id: {position}\n\n").into_bytes().into(),
            position,
        });
    }

    pub fn close(&mut self, sent: &Sent, marked: bool) {
        let attempt = sent.attempt;
        self.tell(Event::Closed { attempt, marked });
    }

    pub fn fail(&mut self, sent: &Sent, failure: Failure) {
        self.tell(Event::Failed {
            attempt: sent.attempt,
            failure,
        });
    }

    /// An attempt's connection breaks, and its upstream has ended or lives on.
    pub fn break_off(&mut self, sent: &Sent, ended: bool) {
        self.fail(sent, Failure::Broken);
        let life = life(sent.upstream, 0);
        self.tell(Event::Checked { ended, life });
    }

    pub fn answer(&mut self, sent: &Sent, verdict: Verdict) {
        self.tell(Event::Answered {
            attempt: sent.attempt,
            verdict,
        });
    }

    pub fn list(&mut self, listed: Vec<Listed>) {
        self.tell(Event::List {
            asked: self.now,
            listed: Some(listed),
        });
    }

    /// Has a stream told of that waits at another instance.
    pub fn waits_elsewhere(&mut self, prompt: u64) {
        self.tell(Event::Sighted(Sighting {
            backup: None,
            pool: "pool".into(),
            prompt,
            stage: Stage::Waiting,
            upstream: None,
            ..sighting(0, 0)
        }));
    }

    /// When callers were asked to come back, in order.
    pub fn come_backs(&self) -> Vec<u64> {
        let come_back = |effect: &Effect| match effect {
            Effect::Fail { retry_after_ms, .. } => *retry_after_ms,
            _ => None,
        };
        self.effects.iter().filter_map(come_back).collect()
    }

    /// Everything sent, in order.
    pub fn sent(&self) -> Vec<Sent> {
        let sent = |effect: &Effect| match effect {
            Effect::Send {
                address,
                attempt,
                sending:
                    Sending::Relay {
                        backup,
                        copy,
                        left_ms,
                        position,
                        ..
                    },
                upstream: key,
            } => Some(Sent {
                attempt: *attempt,
                backup: backup.map(index),
                copy: copy.as_deref().map(str::to_owned),
                key: *key,
                left_ms: *left_ms,
                position: *position,
                upstream: index(*address),
            }),
            _ => None,
        };
        self.effects.iter().filter_map(sent).collect()
    }

    /// What was sent last.
    pub fn last(&self) -> Sent {
        self.sent().pop().expect("something was sent")
    }

    /// Positions of the events given to callers.
    pub fn given(&self) -> Vec<u64> {
        let position = |effect: &Effect| match effect {
            Effect::Pass { bytes, .. } => {
                let text = std::str::from_utf8(bytes).unwrap();
                text.trim().strip_prefix("id: ")?.parse().ok()
            }
            _ => None,
        };
        self.effects.iter().filter_map(position).collect()
    }

    /// Names of the last steps given to callers.
    pub fn ends(&self) -> Vec<String> {
        let end = |effect: &Effect| match effect {
            Effect::Answer(_) => Some("answer".into()),
            Effect::Close(_) => Some("close".into()),
            Effect::Cut(_) => Some("cut".into()),
            Effect::Fail { kind, .. } => Some(kind.to_string()),
            _ => None,
        };
        self.effects.iter().filter_map(end).collect()
    }

    pub fn counted(&self, counter: Counter) -> u64 {
        let count = |effect: &Effect| match effect {
            Effect::Count(other, count) if *other == counter => *count,
            _ => 0,
        };
        self.effects.iter().map(count).sum()
    }

    /// Lets time pass in the steps of a running instance.
    pub fn pass(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.now = self.now.after(10);
            self.tell(Event::Tick);
        }
    }

    pub fn tell(&mut self, event: Event) {
        self.effects.extend(self.core.handle(self.now, event));
    }
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], index as u16 + 1))
}

pub fn index(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

/// An upstream at an address; three addresses in a row are in one data centre.
pub fn listed(name: usize, place: usize) -> Listed {
    Listed {
        address: address(place),
        born: 0,
        data_centre: format!("dc-{}", place / 3),
        leaving: false,
        name: format!("runner-{name}"),
        pool: "pool".into(),
        since: Position::default(),
        slots: 0,
        version: String::new(),
    }
}

pub fn route(prefix: &str, relay: config::Relay, repeatable: bool, public: bool) -> Route {
    let service = Service {
        deadline_ms: 25_000,
        max_wait_ms: 1_000,
        name: prefix.trim_matches('/').into(),
        policy: Policy::Resources,
        priority: Priority::Normal,
        repeatable,
        target: Target::Relay(relay),
    };
    Route {
        host: "a.example".into(),
        prefix: prefix.into(),
        public,
        shares: vec![Share {
            service: Arc::new(service),
            weight: 1,
        }],
    }
}

pub fn configuration(revision: u64) -> Config {
    let call = config::Relay {
        attempts_max: 2,
        copies: false,
        memory_tokens: 0,
        objective_ms: 100,
        pool: "pool".into(),
        resumable: false,
        streams: false,
    };
    let stream = config::Relay {
        attempts_max: 5,
        copies: true,
        memory_tokens: 55_000,
        objective_ms: 4_500,
        resumable: true,
        streams: true,
        ..call.clone()
    };
    let customer = Customer {
        name: "mill".into(),
        ..Customer::anyone()
    };
    Config {
        customers: [("key".to_owned(), Arc::new(customer))].into(),
        revision,
        routes: vec![
            route("/stream/", stream, true, false),
            route("/again/", call.clone(), true, false),
            route("/once/", call.clone(), false, false),
            route("/open/", call, true, true),
        ],
        ..Config::default()
    }
}

/// The life of an upstream by its number that began at a time.
pub fn life(upstream: usize, born: u64) -> Life {
    Life::new(&format!("runner-{upstream}"), born)
}

pub fn sighting(upstream: usize, backup: usize) -> Sighting {
    Sighting {
        backup: Some(life(backup, 0)),
        pool: String::new(),
        prompt: 77,
        run: "run-before".into(),
        stage: Stage::Streaming,
        tokens: 5_200,
        upstream: Some(life(upstream, 0)),
    }
}
