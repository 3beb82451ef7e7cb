//! Test harness: a core with routes for relayed requests, and its recorded effects.

use super::*;

pub const NOW: Time = Time(1_800_000_000_000);

/// Path of a resumable stream.
pub const STREAM: &str = "/stream/1";

/// Path of a service whose calls are repeatable.
pub const REPEATABLE: &str = "/again/1";

/// Path of a service whose calls may run only once.
pub const NON_REPEATABLE: &str = "/once/1";

/// A core under test, with the effects that it has returned.
pub struct Test {
    /// Stands for the request body: requests with different values have different fingerprints.
    pub body: u64,
    pub core: Core,
    pub effects: Vec<Effect>,
    next: u64,
    pub now: Time,
    /// The run that requests name as the one that brought the first event of their stream.
    pub resumes: Option<RunId>,
}

/// One request sent to an upstream.
#[derive(Clone, Debug)]
pub struct Sent {
    pub attempt: attempt::Key,
    pub backup: Option<usize>,
    pub copy: Option<String>,
    pub left_ms: u64,
    /// Key of the upstream in the core.
    pub key: upstream::Key,
    pub position: u64,
    pub upstream: usize,
}

impl Test {
    /// Creates a core with a configuration and upstreams, three in each data centre.
    pub fn new(upstreams: usize) -> Self {
        Self::without_configuration().configured(upstreams)
    }

    pub fn configured(mut self, upstreams: usize) -> Self {
        self.handle(Event::Config(Arc::new(configuration(1))));
        self.list((0..upstreams).map(|index| listed(index, index)).collect());
        self
    }

    /// Makes the core wait for the records of streams that were stored before its start.
    pub fn restoring_streams(mut self) -> Self {
        self.core = self.core.restoring_streams();
        self
    }

    /// Makes the core name versions in the store.
    pub fn naming_versions(mut self) -> Self {
        self.core = self.core.naming_versions();
        self
    }

    pub fn without_configuration() -> Self {
        Self::with(ResumeMode::Copy)
    }

    /// Creates a core without a configuration that resumes lost streams in the given way.
    pub fn with(relay_resume: ResumeMode) -> Self {
        Self::set(Settings {
            relay_resume,
            ..Settings::default()
        })
    }

    /// Creates a core without a configuration, with the given settings.
    pub fn set(settings: Settings) -> Self {
        Self::build(settings, 1)
    }

    /// Creates a core with one upstream and a seed for its random choices.
    pub fn seeded(seed: u64) -> Self {
        Self::build(Settings::default(), seed).configured(1)
    }

    fn build(mut settings: Settings, seed: u64) -> Self {
        settings.probes = false;
        Self {
            body: 0,
            core: Core::new(settings, [0; 32], seed, NOW).in_data_centre("dc-0"),
            effects: Vec::new(),
            next: 0,
            now: NOW,
            resumes: None,
        }
    }

    pub fn request(&mut self, path: &str) -> Caller {
        self.request_as("key", path, 0)
    }

    /// Submits a request with an API key; `position` is that of the last event that the caller has.
    pub fn request_as(&mut self, key: &str, path: &str, position: u64) -> Caller {
        self.request_within(20_000, key, path, position)
    }

    /// Submits a request with a caller timeout in milliseconds.
    pub fn request_within(
        &mut self,
        timeout_ms: u64,
        key: &str,
        path: &str,
        position: u64,
    ) -> Caller {
        let tokens = if path == STREAM { 5_200 } else { 0 };
        self.submit(timeout_ms, key, path, position, tokens)
    }

    /// Submits a request that states its tokens; 0 for not stated.
    pub fn request_of_size(&mut self, tokens: u32, path: &str) -> Caller {
        self.submit(20_000, "key", path, 0, tokens)
    }

    fn submit(
        &mut self,
        timeout_ms: u64,
        key: &str,
        path: &str,
        position: u64,
        tokens: u32,
    ) -> Caller {
        self.next += 1;
        let caller = Caller(self.next);
        self.handle(Event::Submit(Box::new(Submission {
            caller,
            cursor: None,
            customer: key.into(),
            fingerprint: self.body,
            generation: u128::from(self.next),
            key: None,
            received: None,
            service: String::new(),
            work: Work::Relay(Relay {
                max_answer_tokens: if path == STREAM { 800 } else { 0 },
                bytes: 100,
                host: "a.example".into(),
                path: path.into(),
                timeout_ms: Some(timeout_ms),
                position,
                prompt: if path == STREAM { 77 } else { 0 },
                resumes: self.resumes,
                run: format!("run-{}", self.next).into(),
                tokens,
            }),
        })));
        caller
    }

    /// Starts a stream and delivers its first events.
    pub fn stream(&mut self, events: u64) -> Sent {
        self.request(STREAM);
        let sent = self.last_sent();
        self.handle(Event::StreamOpened(sent.attempt));
        for position in 1..=events {
            self.send_event(&sent, position);
        }
        sent
    }

    pub fn send_event(&mut self, sent: &Sent, position: u64) {
        self.handle(Event::StreamEvent {
            attempt: sent.attempt,
            bytes: format!("id: {position}\n\n").into_bytes().into(),
            position,
        });
    }

    pub fn close(&mut self, sent: &Sent, marked: bool) {
        let attempt = sent.attempt;
        self.handle(Event::StreamEnded { attempt, marked });
    }

    pub fn fail(&mut self, sent: &Sent, failure: Failure) {
        self.handle(Event::Failed {
            attempt: sent.attempt,
            failure,
        });
    }

    /// Breaks the connection of an attempt; the crash check then finds that its upstream has crashed or is alive.
    pub fn break_connection(&mut self, sent: &Sent, ended: bool) {
        self.fail(sent, Failure::Broken);
        let incarnation = incarnation(sent.upstream, 0);
        self.handle(Event::CrashChecked { ended, incarnation });
    }

    pub fn answer(&mut self, sent: &Sent, verdict: Verdict) {
        self.handle(Event::Answered {
            attempt: sent.attempt,
            verdict,
        });
    }

    pub fn list(&mut self, listed: Vec<ListEntry>) {
        self.handle(Event::List {
            requested_at: self.now,
            entries: Some(listed),
        });
    }

    /// Has a change of the list arrive: entries that are new or were written again, and names that are gone.
    pub fn change_list(&mut self, listed: Vec<ListEntry>, removed: &[&str]) {
        let removed = removed.iter().map(|name| (*name).to_owned()).collect();
        self.handle(Event::ListChanged {
            delta: ListDelta { listed, removed },
            requested_at: self.now,
        });
    }

    /// Reports a stream that is queued at another instance.
    pub fn add_peer_waiting(&mut self, prompt: u64) {
        self.handle(Event::PeerStream(StreamRecord {
            backup: None,
            pool: "pool".into(),
            prompt,
            stage: Stage::Waiting,
            upstream: None,
            ..stream_record(0, 0)
        }));
    }

    /// Retry delays given to callers, in order.
    pub fn retry_afters(&self) -> Vec<u64> {
        let retry_after = |effect: &Effect| match effect {
            Effect::Fail { retry_after_ms, .. } => *retry_after_ms,
            _ => None,
        };
        self.effects.iter().filter_map(retry_after).collect()
    }

    /// All requests sent, in order.
    pub fn sent(&self) -> Vec<Sent> {
        let sent = |effect: &Effect| match effect {
            Effect::Send {
                address,
                attempt,
                outbound:
                    Outbound::Relay {
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

    /// The last request sent.
    pub fn last_sent(&self) -> Sent {
        self.sent().pop().expect("something was sent")
    }

    /// Positions of the events delivered to callers.
    pub fn delivered(&self) -> Vec<u64> {
        let position = |effect: &Effect| match effect {
            Effect::ForwardEvent { bytes, .. } => {
                let text = std::str::from_utf8(bytes).unwrap();
                text.trim().strip_prefix("id: ")?.parse().ok()
            }
            _ => None,
        };
        self.effects.iter().filter_map(position).collect()
    }

    /// Names of the final effects for callers.
    pub fn outcomes(&self) -> Vec<String> {
        let outcome = |effect: &Effect| match effect {
            Effect::ForwardResponse(_) => Some("answer".into()),
            Effect::CloseStream(_) => Some("unmarked close".into()),
            Effect::EndStream(_) => Some("close".into()),
            Effect::AbortStream(_) => Some("cut".into()),
            Effect::Fail { kind, .. } => Some(kind.to_string()),
            _ => None,
        };
        self.effects.iter().filter_map(outcome).collect()
    }

    pub fn counted(&self, counter: Counter) -> u64 {
        let count = |effect: &Effect| match effect {
            Effect::Count(other, count) if *other == counter => *count,
            _ => 0,
        };
        self.effects.iter().map(count).sum()
    }

    /// Advances time in steps of 10 ms, with a tick in each.
    pub fn advance(&mut self, millis: u64) {
        for _ in 0..millis / 10 {
            self.now = self.now.after(10);
            self.handle(Event::Tick);
        }
    }

    pub fn handle(&mut self, event: Event) {
        self.effects.extend(self.core.handle(self.now, event));
    }
}

pub fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], index as u16 + 1))
}

pub fn index(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

/// List entry for an upstream; each three consecutive places share a data centre.
pub fn listed(name: usize, place: usize) -> ListEntry {
    ListEntry {
        address: address(place),
        born: 0,
        data_centre: format!("dc-{}", place / 3),
        leaving: false,
        name: format!("runner-{name}"),
        pool: "pool".into(),
        registered_at: Position::default(),
        slots: 0,
        version: String::new(),
    }
}

/// Adds a customer with this key to those of a configuration.
pub fn add_customer(config: &mut Config, key: &str, customer: Customer) {
    let Access::Keys(customers) = &mut config.access else {
        panic!("the configuration requires no keys");
    };
    customers.insert(key.into(), Arc::new(customer));
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
        event_interval_objective_ms: 0,
        priority: config::DEFAULT_PRIORITY,
        pool: "pool".into(),
        resumable: false,
        streams: false,
    };
    let stream = config::Relay {
        attempts_max: 5,
        copies: true,
        memory_tokens: 55_000,
        objective_ms: 4_500,
        event_interval_objective_ms: 0,
        priority: config::DEFAULT_PRIORITY,
        resumable: true,
        streams: true,
        ..call.clone()
    };
    let customer = Customer {
        name: "mill".into(),
        ..Customer::anonymous()
    };
    Config {
        access: Access::Keys([("key".to_owned(), Arc::new(customer))].into()),
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

/// Incarnation of an upstream with the given start time.
pub fn incarnation(upstream: usize, born: u64) -> Incarnation {
    Incarnation::new(&format!("runner-{upstream}"), born)
}

pub fn stream_record(upstream: usize, backup: usize) -> StreamRecord {
    StreamRecord {
        backup: Some(incarnation(backup, 0)),
        has_begun: true,
        origin: RunId::new("run-before"),
        pool: String::new(),
        prompt: 77,
        rank: None,
        run: "run-before".into(),
        stage: Stage::Streaming,
        start_within_ms: None,
        tokens: 5_200,
        upstream: Some(incarnation(upstream, 0)),
        version: Version::UNSTATED,
    }
}
