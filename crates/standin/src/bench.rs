//! The routing bench: several cores before one pool of fake runners, in virtual time, with stale
//! load reports.

use super::*;
use runner::{Runner, Running, SLOTS, STEP_MS};
use scene::{Outcome, Scene};
use std::sync::Arc;
use timeline::Timeline;
use wellplank_core::{
    attempt,
    clock::Time,
    config::{self, Config, Policy, Priority, Target},
    core::Core,
    counter::Counter,
    effect::{Effect, Outbound},
    event::{Event, Failure, ListEntry, OutputToken, Submission},
    position::Position,
    request::{Caller as Connection, Work},
    settings::Settings,
};

/// Start of virtual time.
const START: Time = Time(1_800_000_000_000);

/// Instances before the pool.
const INSTANCES: usize = 6;

/// Runners of the pool.
pub(crate) const RUNNERS: usize = 24;

/// Requests that a runner lets wait before it refuses.
const WAITING_MAX: usize = 32;

/// Time to compute the start of a prompt that is not in the cache, in milliseconds.
const PREFILL_MS: u64 = 400;

/// Prompt starts in use.
const PREFIXES: u64 = 200;

/// Tokens of a stream between two that carry the runner's load.
const LOAD_EVERY: u32 = 10;

/// Time after which a refusal is late, in milliseconds.
const LATE_MS: f64 = 50.0;

/// Customers.
const CUSTOMERS: usize = 10;

/// Time between two ticks of a core, in milliseconds.
const TICK_MS: u64 = 20;

/// Virtual time measured, after as much again to warm up, in milliseconds.
pub(crate) const TIME_MS: u64 = 30_000;

/// Kinds of requests: share of all, tokens, and service.
const KINDS: [Kind; 3] = [
    Kind {
        percent: 50,
        service: "lookup",
        tokens: 12,
    },
    Kind {
        percent: 40,
        service: "plan",
        tokens: 120,
    },
    Kind {
        percent: 10,
        service: "summary",
        tokens: 600,
    },
];

/// One kind of request.
struct Kind {
    percent: u64,
    service: &'static str,
    tokens: u32,
}

struct Asked {
    at: Time,
    customer: usize,
    first: Option<Time>,
    instance: usize,
    kind: usize,
    last: Time,
    tokens: u32,
}

enum Action {
    Arrive,
    Event(usize, Event),
    List(usize),
    Send(usize, Running, u64),
    Step(usize),
    Tick(usize),
}

struct Bench {
    askers: HashMap<Connection, Asked>,
    cores: Vec<Option<Core>>,
    measuring: bool,
    next: u64,
    outcome: Outcome,
    random: Pcg64Mcg,
    runners: Vec<Runner>,
    running: Vec<u32>,
    scene: Scene,
    timeline: Timeline<Action>,
}

/// Runs one scene.
pub(crate) fn run(scene: &Scene) -> Outcome {
    let mut bench = Bench::new(scene.clone());
    bench.run_for(TIME_MS / 2);
    bench.measuring = true;
    bench.run_for(TIME_MS / 2);
    bench.lose();
    bench.run_for(TIME_MS / 2);
    bench.outcome
}

impl Bench {
    fn new(scene: Scene) -> Self {
        let settings = Settings {
            load_ms: scene.load_ms,
            routing: scene.routing,
            subset: scene.subset,
            ..Settings::default()
        };
        let core = |index: usize| {
            let seed = scene.seed * 100 + index as u64;
            Some(Core::new(settings.clone(), [0; 32], seed, START))
        };
        let mut bench = Self {
            askers: HashMap::new(),
            cores: (0..INSTANCES).map(core).collect(),
            measuring: false,
            next: 0,
            outcome: Outcome {
                tokens: vec![0.0; CUSTOMERS],
                ..Outcome::default()
            },
            random: Pcg64Mcg::seed_from_u64(scene.seed),
            runners: (0..RUNNERS).map(|_| Runner::new()).collect(),
            running: vec![0; CUSTOMERS],
            scene,
            timeline: Timeline::new(START),
        };
        let config = Arc::new(configuration(bench.scene.max_running));
        for index in 0..INSTANCES {
            bench.tell(index, Event::Config(config.clone()));
            bench.schedule(0, Action::List(index));
            bench.schedule(1 + index as u64, Action::Tick(index));
        }
        for index in 0..RUNNERS {
            bench.schedule(index as u64 % STEP_MS, Action::Step(index));
        }
        bench.run_for(50);
        bench.schedule(1, Action::Arrive);
        bench
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Arrive => {
                self.ask();
                let gap = self.gap_ms();
                self.schedule(gap, Action::Arrive);
            }
            Action::Event(instance, event) => self.tell(instance, event),
            Action::List(instance) => {
                let event = Event::List {
                    requested_at: self.timeline.now(),
                    entries: Some(self.list()),
                };
                self.tell(instance, event);
                self.schedule(1_000, Action::List(instance));
            }
            Action::Send(index, stream, prefix) => self.receive(index, stream, prefix),
            Action::Step(index) => {
                self.step(index);
                self.schedule(STEP_MS, Action::Step(index));
            }
            Action::Tick(instance) => {
                self.tell(instance, Event::Tick);
                self.schedule(TICK_MS, Action::Tick(instance));
            }
        }
    }

    fn ask(&mut self) {
        let mut point = self.random.random_range(0..100);
        let kind = KINDS.iter().position(|kind| {
            let taken = point < kind.percent;
            point = point.saturating_sub(kind.percent);
            taken
        });
        let kind = kind.unwrap_or(0);
        let shares = if self.scene.flood {
            CUSTOMERS + 9
        } else {
            CUSTOMERS
        };
        let customer = self.random.random_range(0..shares);
        let customer = if customer < CUSTOMERS { customer } else { 0 };
        let live: Vec<usize> = (0..INSTANCES)
            .filter(|index| self.cores[*index].is_some())
            .collect();
        let instance = live[self.random.random_range(0..live.len())];
        self.next += 1;
        let caller = Connection(self.next);
        let prefix = self.random.random_range(0..PREFIXES);
        self.askers.insert(
            caller,
            Asked {
                at: self.timeline.now(),
                customer,
                first: None,
                instance,
                kind,
                last: self.timeline.now(),
                tokens: 0,
            },
        );
        self.running[customer] += 1;
        if self.measuring {
            self.outcome.requests += 1;
            self.outcome.most_running = self.outcome.most_running.max(self.running[0]);
        }
        let submission = Submission {
            caller,
            cursor: None,
            customer: format!("customer-{customer}"),
            fingerprint: self.next,
            // The runner reads the prompt's start off the generation.
            generation: u128::from(self.next * PREFIXES + prefix),
            key: None,
            received: None,
            service: KINDS[kind].service.into(),
            work: Work::Generate {
                max_tokens: KINDS[kind].tokens,
                payload: Arc::from(&[][..]),
                prefix,
            },
        };
        self.tell(instance, Event::Submit(Box::new(submission)));
    }

    fn carry_out(&mut self, instance: usize, effect: Effect) {
        match effect {
            Effect::Cancel {
                address,
                attempt,
                stream: Some(_),
            } => {
                let runner = &mut self.runners[index_of(address)];
                runner
                    .streams
                    .retain(|stream| (stream.instance, stream.attempt) != (instance, attempt));
            }
            Effect::Count(counter, count) => {
                let moved = matches!(
                    counter,
                    Counter::Hedged | Counter::Resumed(_) | Counter::Retried(_)
                );
                if moved && self.measuring {
                    self.outcome.moved += count;
                }
            }
            Effect::Deliver {
                caller,
                tokens: pieces,
                ..
            } => self.deliver(caller, pieces.len() as u32),
            Effect::Fail { caller, .. } => {
                let Some(asked) = self.askers.remove(&caller) else {
                    return;
                };
                self.running[asked.customer] -= 1;
                if self.measuring && asked.tokens == 0 {
                    self.outcome.refused += 1;
                    let waited = self.timeline.now().since(asked.at) as f64;
                    self.outcome.late += usize::from(waited > LATE_MS);
                    self.outcome.refusal_ms.push(waited);
                } else if self.measuring {
                    self.outcome.failed += 1;
                }
            }
            Effect::Finish { caller, .. } => self.finish(caller),
            Effect::Probe { address, upstream } => {
                let index = index_of(address);
                let alive = !self.runners[index].lost;
                if alive {
                    let load = self.runners[index].report(self.timeline.now());
                    self.schedule(2, Action::Event(instance, Event::Load { upstream, load }));
                }
                let event = Event::Probed { alive, upstream };
                self.schedule(3, Action::Event(instance, event));
            }
            Effect::Send {
                address,
                attempt,
                outbound,
                ..
            } => self.send(instance, index_of(address), attempt, outbound),
            _ => {}
        }
    }

    fn deliver(&mut self, caller: Connection, count: u32) {
        let Some(asked) = self.askers.get_mut(&caller) else {
            return;
        };
        asked.tokens += count;
        if self.measuring {
            self.outcome.delivered += u64::from(count);
            if asked.first.is_some() {
                let gap = self.timeline.now().since(asked.last) as f64;
                self.outcome.between_ms.push(gap);
            } else {
                let first = self.timeline.now().since(asked.at) as f64;
                self.outcome.first_ms.push(first);
                if asked.customer != 0 {
                    self.outcome.first_others_ms.push(first);
                }
            }
        }
        asked.last = self.timeline.now();
        asked.first.get_or_insert(self.timeline.now());
    }

    fn finish(&mut self, caller: Connection) {
        let Some(asked) = self.askers.remove(&caller) else {
            return;
        };
        self.running[asked.customer] -= 1;
        if !self.measuring {
            return;
        }
        self.outcome.answered += 1;
        self.outcome.tokens[asked.customer] += f64::from(asked.tokens);
        if asked.kind == 0 {
            let whole = self.timeline.now().since(asked.at) as f64;
            self.outcome.short_ms.push(whole);
        }
    }

    /// Time to the next request, so that the work offered is that of the scene.
    fn gap_ms(&mut self) -> u64 {
        let mean: f64 = KINDS
            .iter()
            .map(|kind| f64::from(kind.tokens) * kind.percent as f64 / 100.0)
            .sum();
        let tokens_per_ms = (RUNNERS * SLOTS) as f64 / STEP_MS as f64;
        let gap = mean / tokens_per_ms / self.scene.offered;
        let uniform: f64 = self.random.random_range(f64::EPSILON..1.0);
        (-uniform.ln() * gap).round() as u64
    }

    fn list(&self) -> Vec<ListEntry> {
        let runners = (0..RUNNERS).map(|index| ListEntry {
            born: 0,
            data_centre: String::new(),
            address: address_of(index),
            leaving: false,
            name: format!("runner-{index}"),
            pool: "runner".into(),
            registered_at: Position::default(),
            slots: 0,
            version: String::new(),
        });
        let live = (0..INSTANCES).filter(|index| self.cores[*index].is_some());
        let instances = live.map(|index| ListEntry {
            born: 0,
            data_centre: String::new(),
            address: address_of(1_000 + index),
            leaving: false,
            name: format!("entry-{index}"),
            pool: wellplank_core::core::INSTANCE_POOL.into(),
            registered_at: Position::default(),
            slots: 0,
            version: String::new(),
        });
        runners.chain(instances).collect()
    }

    /// Causes the losses of the scene.
    fn lose(&mut self) {
        for index in 0..self.scene.lost {
            self.runners[index].lost = true;
            for stream in std::mem::take(&mut self.runners[index].streams) {
                let failed = Event::Failed {
                    attempt: stream.attempt,
                    failure: Failure::Broken,
                };
                self.schedule(1, Action::Event(stream.instance, failed));
            }
        }
        if self.scene.instance_lost {
            self.cores[0] = None;
            for runner in &mut self.runners {
                runner.streams.retain(|stream| stream.instance != 0);
            }
            let running = &mut self.running;
            self.askers.retain(|_, asked| {
                let stays = asked.instance != 0;
                running[asked.customer] -= u32::from(!stays);
                stays
            });
        }
    }

    fn receive(&mut self, index: usize, mut stream: Running, prefix: u64) {
        let now = self.timeline.now();
        let runner = &mut self.runners[index];
        let failure = if runner.lost {
            Some(Failure::NotSent)
        } else if runner.streams.iter().filter(|stream| !stream.slot).count() >= WAITING_MAX {
            Some(Failure::Refused)
        } else {
            None
        };
        if let Some(failure) = failure {
            let attempt = stream.attempt;
            let event = Event::Failed { attempt, failure };
            self.schedule(1, Action::Event(stream.instance, event));
            return;
        }
        let found = runner.take_prefix(prefix);
        stream.ready = now.after(if found { 0 } else { PREFILL_MS });
        runner.streams.push(stream);
        if self.measuring {
            self.outcome.cache.0 += u64::from(found);
            self.outcome.cache.1 += u64::from(!found);
        }
    }

    fn run_for(&mut self, millis: u64) {
        let end = self.timeline.now().after(millis);
        while let Some(action) = self.timeline.next(end) {
            self.act(action);
        }
    }

    fn schedule(&mut self, wait: u64, action: Action) {
        self.timeline.schedule(wait, action);
    }

    fn send(&mut self, instance: usize, index: usize, attempt: attempt::Key, outbound: Outbound) {
        let Outbound::Generate {
            max_tokens,
            prefix,
            priority,
            stream,
            ..
        } = outbound
        else {
            return;
        };
        let position = prefix.len() as u32;
        let running = Running {
            attempt,
            instance,
            left: max_tokens - position,
            name: (stream.generation, stream.number),
            position,
            priority,
            ready: self.timeline.now(),
            slot: false,
        };
        let start = stream.generation as u64 % PREFIXES;
        self.schedule(1, Action::Send(index, running, start));
    }

    /// One step of a runner's batch.
    fn step(&mut self, index: usize) {
        let (carried, now) = (self.scene.carried, self.timeline.now());
        let runner = &mut self.runners[index];
        let load = runner.load();
        runner.reports.push_back((now, load));
        if runner.reports.len() > 200 {
            runner.report(now);
        }
        let mut free = SLOTS - load.running as usize;
        for priority in [Priority::Urgent, Priority::Normal, Priority::Background] {
            let waiting = |stream: &&mut Running| !stream.slot && stream.priority == priority;
            for stream in runner.streams.iter_mut().filter(waiting).take(free) {
                stream.slot = true;
                free -= 1;
            }
        }
        let mut said = Vec::new();
        for stream in &mut runner.streams {
            if stream.slot && stream.ready <= now {
                stream.left -= 1;
                let piece = OutputToken {
                    text: String::new(),
                    id: stream.position ^ stream.name.0 as u32,
                };
                let tokens = Event::Tokens {
                    attempt: stream.attempt,
                    tokens: vec![piece],
                    position: stream.position,
                };
                stream.position += 1;
                said.push((stream.instance, tokens));
                if carried && stream.position.is_multiple_of(LOAD_EVERY) {
                    let attempt = stream.attempt;
                    said.push((stream.instance, Event::PiggybackedLoad { attempt, load }));
                }
                if stream.left == 0 {
                    let finished = Event::GenerationFinished {
                        attempt: stream.attempt,
                        position: stream.position,
                        reason: "length".into(),
                    };
                    said.push((stream.instance, finished));
                }
            }
        }
        runner.streams.retain(|stream| stream.left > 0);
        for (instance, event) in said {
            self.schedule(1, Action::Event(instance, event));
        }
    }

    fn tell(&mut self, instance: usize, event: Event) {
        let Some(core) = &mut self.cores[instance] else {
            return;
        };
        for effect in core.handle(self.timeline.now(), event) {
            self.carry_out(instance, effect);
        }
    }
}

fn address_of(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], index as u16 + 1))
}

fn index_of(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

fn configuration(max_running: u32) -> Config {
    let model = Arc::new(config::Model {
        adapters: Vec::new(),
        name: "llm".into(),
        pool: "runner".into(),
        version: "1".into(),
    });
    let service = |kind: &Kind| {
        let priority = match kind.service {
            "lookup" => Priority::Urgent,
            "plan" => Priority::Normal,
            _ => Priority::Background,
        };
        let service = config::Service {
            deadline_ms: 600_000,
            max_wait_ms: if priority == Priority::Background {
                20_000
            } else {
                4_000
            },
            name: kind.service.into(),
            policy: Policy::Resources,
            priority,
            repeatable: true,
            target: Target::Generate {
                adapter: String::new(),
                model: model.clone(),
            },
        };
        (service.name.clone(), Arc::new(service))
    };
    let customer = |index: usize| {
        let customer = config::Customer {
            max_running,
            name: format!("customer-{index}"),
            priority: config::DEFAULT_PRIORITY,
            services: config::Permission::All,
            weight: 1,
        };
        (customer.name.clone(), Arc::new(customer))
    };
    Config {
        access: config::Access::Keys((0..CUSTOMERS).map(customer).collect()),
        models: BTreeMap::from([("llm".into(), model.clone())]),
        revision: 1,
        routes: Vec::new(),
        services: KINDS.iter().map(service).collect(),
    }
}
