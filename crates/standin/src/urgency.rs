//! Streams of three kinds that compete for too little capacity, in virtual time: several cores that share engines, two data
//! centres that are short of engines for nine seconds, and callers who come back once.

use super::*;
use batch::{Made, STRIDE};
use priority_batch::{PriorityBatch, Work};
use std::sync::Arc;
use timeline::Timeline;
use wellplank_core::{
    attempt,
    clock::Time,
    config::{self, Config, Customer, Policy, Priority, Route, Service, Share, Target},
    core::Core,
    directory::Audience,
    effect::{self, Effect, Outbound},
    event::{Event, Failure, ListEntry, Submission},
    incarnation::Incarnation,
    members::View,
    position::Position,
    request::{Caller, Relay},
    settings::{Settings, UrgencyMode, UrgencySettings, Yielding},
};

/// Start of virtual time.
const START: Time = Time(1_800_000_000_000);

/// Tokens that an engine's KV cache holds.
const MEMORY: u32 = 88_000;

/// Tokens of prompts.
const PROMPTS: std::ops::Range<u32> = 3_900..12_500;

/// Maximum tokens of a response that callers state.
const MAX_ANSWER: u32 = 900;

/// Time that callers wait for the whole response, in milliseconds.
const PATIENCE_MS: u64 = 25_000;

/// Objectives for the first event of each kind, in milliseconds.
const OBJECTIVES_MS: [u64; 3] = [4_000, 5_000, 10_000];

/// Longest pause between two events of an answer that is worth its full value, in milliseconds.
const PAUSE_MS: u64 = 700;

/// Fraction of all requests that are of each kind.
const MIX: [f64; 3] = [0.25, 0.25, 0.5];

/// Worth of a whole response that is late or had a longer pause, relative to one in time.
const LATE_WORTH: f64 = 0.025;

/// Number of customers. The first has priority 0; a few are large.
const CUSTOMERS: usize = 24;

/// Streams per second for each engine that are asked for at a load of 1, which is about what it serves.
const CAPACITY: f64 = 0.5;

/// Time in which requests come, in milliseconds.
const DAY_MS: u64 = 24_000;

/// Time in which the second and third data centre are short of engines, in milliseconds.
const SHORT_MS: std::ops::Range<u64> = 7_000..16_000;

/// Time until instances read a changed list, and until a crash is confirmed, in milliseconds.
const LIST_MS: u64 = 300;
const CHECK_MS: u64 = 20;

/// Time on the way between instances, in which records wait for others to go along, and to engines, in milliseconds.
const GOSSIP_MS: u64 = 20;
const WAY_MS: u64 = 1;

/// Time until a sample of the engines' speed reaches the others, in milliseconds.
const SPEED_MS: u64 = 1_000;

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Engines.
    pub engines: usize,
    /// Instances, each with a core.
    pub instances: usize,
    /// Streams asked for, over what all engines serve.
    pub load: f64,
    /// Part of the engines of two data centres that is away for nine seconds.
    pub short: f64,
    /// Seed of every random choice.
    pub seed: u64,
    /// How streams of different urgency compete.
    pub urgency: UrgencySettings,
}

/// What came of the streams of one kind or customer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Served {
    /// Asked for.
    pub asked: usize,
    /// Refused at last.
    pub refused: usize,
    /// Answered whole.
    pub whole: usize,
    /// Worth of the answers; 1 for each in time.
    pub worth: f64,
}

/// What came of all streams.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Outcome {
    /// By customer.
    pub customers: Vec<Served>,
    /// By kind.
    pub kinds: [Served; 3],
    /// Streams that engines preempted.
    pub preempted: u64,
    /// Callers that came back and were refused again.
    pub refused_again: usize,
    /// Requests that engines rejected.
    pub rejected: usize,
    /// Prompt tokens that were prefilled, in thousands.
    pub tokens_read: u64,
    /// Requests that waited for capacity and were then refused.
    pub waited_refused: usize,
}

enum Action {
    Arrive(usize),
    Ask(usize),
    Come,
    Crash,
    List { is_short: bool },
    Return,
    Step(usize),
    Tell(usize, Event),
    Tick(usize),
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Asking,
    Refused,
    Whole,
}

/// A caller and its answer.
struct Asker {
    answer: u32,
    begun: Time,
    customer: usize,
    first: Option<Time>,
    instance: usize,
    kind: usize,
    last: Option<Time>,
    longest_pause_ms: u64,
    prompt: u32,
    state: State,
    submitted: Time,
    tries: usize,
}

/// A stream at an engine.
struct Line {
    asker: usize,
    attempt: attempt::Key,
    backup: Option<usize>,
    engine: usize,
    has_copy: bool,
    instance: usize,
    is_dropped: bool,
    is_open: bool,
    position: u64,
    priority: Option<u8>,
}

struct Play {
    askers: Vec<Asker>,
    born: u64,
    callers: HashMap<Caller, usize>,
    cores: Vec<Core>,
    engines: Vec<PriorityBatch>,
    lines: Vec<Line>,
    arrivals: Pcg64Mcg,
    next: u64,
    outcome: Outcome,
    plan: Plan,
    random: Pcg64Mcg,
    stepping: Vec<bool>,
    timeline: Timeline<Action>,
    up: Vec<bool>,
}

impl Served {
    /// Adds another.
    pub fn add(&mut self, other: Self) {
        self.asked += other.asked;
        self.refused += other.refused;
        self.whole += other.whole;
        self.worth += other.worth;
    }

    /// Fraction of what was asked for that was answered whole.
    pub fn share(self) -> f64 {
        self.whole as f64 / self.asked.max(1) as f64
    }

    /// Mean worth of what was asked for.
    pub fn mean_worth(self) -> f64 {
        self.worth / self.asked.max(1) as f64
    }
}

impl Outcome {
    /// Adds what came of another play.
    pub fn add(&mut self, other: &Self) {
        self.customers.resize(CUSTOMERS, Served::default());
        for (sum, served) in self.customers.iter_mut().zip(&other.customers) {
            sum.add(*served);
        }
        for (sum, served) in self.kinds.iter_mut().zip(&other.kinds) {
            sum.add(*served);
        }
        self.preempted += other.preempted;
        self.refused_again += other.refused_again;
        self.rejected += other.rejected;
        self.tokens_read += other.tokens_read;
        self.waited_refused += other.waited_refused;
    }

    /// All kinds together.
    pub fn all(&self) -> Served {
        let mut all = Served::default();
        for served in self.kinds {
            all.add(served);
        }
        all
    }

    /// The least share of a customer with at least so many requests.
    pub fn least_customer(&self, asked: usize) -> f64 {
        let customers = self.customers.iter();
        let shares = customers.filter(|served| served.asked >= asked);
        shares
            .map(|served| served.share())
            .fold(f64::INFINITY, f64::min)
    }
}

/// Plays one day.
pub fn run(plan: Plan) -> Outcome {
    let mut play = Play::new(plan);
    let end = START.after(DAY_MS + PATIENCE_MS);
    while let Some(action) = play.timeline.next(end) {
        play.act(action);
    }
    play.outcome()
}

/// Plays days with ranks and without, and prints what was served.
pub fn measure(seeds: u64, engines: usize, load: f64) {
    let title =
        format!("Three kinds of streams, {engines} engines, load {load}, two data centres short");
    let mut report = report::Report::new(&title);
    for instances in [1, 6, 71] {
        for (name, urgency) in ways() {
            let mut all = Outcome::default();
            for seed in 0..seeds {
                all.add(&run(Plan {
                    engines,
                    instances,
                    load,
                    short: 0.6,
                    seed,
                    urgency,
                }));
            }
            report
                .rows
                .push(all.row(format!("{instances} {name}"), seeds));
        }
    }
    report.print();
}

impl Outcome {
    fn row(&self, name: String, plays: u64) -> report::Row {
        let mean = |count: usize| count as f64 / plays.max(1) as f64;
        let mut row = report::Row::new(name)
            .figure("asked", mean(self.all().asked))
            .figure("worth", self.all().mean_worth());
        for (kind, served) in self.kinds.iter().enumerate() {
            row = row
                .figure(format!("worth {kind}"), served.mean_worth())
                .figure(format!("served {kind}"), served.share());
        }
        row.figure("least customer", self.least_customer(10))
            .figure("refused again", mean(self.refused_again))
            .figure("waited, refused", mean(self.waited_refused))
            .figure("rejected", mean(self.rejected))
            .figure("preempted", mean(self.preempted as usize))
            .figure("k tokens", mean(self.tokens_read as usize))
    }
}

/// Ways in which streams of different urgency compete.
fn ways() -> Vec<(&'static str, UrgencySettings)> {
    let ranks = UrgencySettings::default();
    let off = UrgencySettings {
        mode: UrgencyMode::Off,
        ..ranks
    };
    let yielding = Yielding::ALL.into_iter();
    let yielding = yielding.map(|(name, yielding)| (name, UrgencySettings { yielding, ..ranks }));
    std::iter::once(("off", off)).chain(yielding).collect()
}

fn address(engine: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], engine as u16 + 1))
}

fn engine(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

fn path(kind: usize) -> String {
    format!("/kind-{kind}/")
}

fn key(customer: usize) -> String {
    format!("key-{customer}")
}

fn configuration() -> Config {
    let route = |kind: usize| Route {
        host: ask::HOST.into(),
        prefix: path(kind),
        public: false,
        shares: vec![Share {
            service: Arc::new(service(kind)),
            weight: 1,
        }],
    };
    let customer = |index: usize| {
        let customer = Customer {
            name: format!("customer-{index}"),
            priority: u32::from(index > 0),
            ..Customer::anonymous()
        };
        (key(index), Arc::new(customer))
    };
    Config {
        access: config::Access::Keys((0..CUSTOMERS).map(customer).collect()),
        revision: 1,
        routes: (0..OBJECTIVES_MS.len()).map(route).collect(),
        ..Config::default()
    }
}

fn service(kind: usize) -> Service {
    Service {
        deadline_ms: PATIENCE_MS,
        max_wait_ms: OBJECTIVES_MS[kind] / 4,
        name: format!("kind-{kind}"),
        policy: Policy::Resources,
        priority: Priority::Normal,
        repeatable: true,
        target: Target::Relay(config::Relay {
            attempts_max: 5,
            copies: true,
            memory_tokens: MEMORY,
            objective_ms: OBJECTIVES_MS[kind],
            event_interval_objective_ms: PAUSE_MS,
            priority: kind as u32,
            pool: "engines".into(),
            resumable: true,
            streams: true,
        }),
    }
}

impl Play {
    fn new(plan: Plan) -> Self {
        let settings = Settings {
            probes: false,
            urgency: plan.urgency,
            ..Settings::default()
        };
        let core = |index| {
            let seed = plan.seed * 1_000 + index as u64;
            let core = Core::new(settings.clone(), [0; 32], seed, START);
            core.in_data_centre(&format!("dc-{}", index % 3))
        };
        let mut play = Self {
            askers: Vec::new(),
            born: 1,
            callers: HashMap::new(),
            cores: (0..plan.instances).map(core).collect(),
            engines: vec![PriorityBatch::default(); plan.engines],
            lines: Vec::new(),
            arrivals: Pcg64Mcg::seed_from_u64(plan.seed + 1),
            next: 0,
            outcome: Outcome::default(),
            plan,
            random: Pcg64Mcg::seed_from_u64(plan.seed),
            stepping: vec![false; plan.engines],
            timeline: Timeline::new(START),
            up: vec![true; plan.engines],
        };
        let config = Arc::new(configuration());
        for instance in 0..plan.instances {
            let view = View::numbered(instance as u64, plan.instances as u64);
            play.tell(instance, Event::Config(config.clone()));
            play.tell(instance, Event::Instances(view));
            play.timeline.schedule(1, Action::Tick(instance));
        }
        play.list(false);
        play.timeline.schedule(0, Action::Come);
        if plan.short > 0.0 {
            play.timeline.schedule(SHORT_MS.start, Action::Crash);
            let listed_at = SHORT_MS.start + LIST_MS;
            play.timeline
                .schedule(listed_at, Action::List { is_short: true });
            play.timeline.schedule(SHORT_MS.end, Action::Return);
            let listed_at = SHORT_MS.end + LIST_MS;
            play.timeline
                .schedule(listed_at, Action::List { is_short: false });
        }
        play
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Arrive(line) => self.arrive(line),
            Action::Ask(asker) => self.ask(asker),
            Action::Come => self.come(),
            Action::Crash => self.crash(),
            Action::List { is_short } => self.list(is_short),
            Action::Return => {
                self.born = 2;
                self.up.fill(true);
            }
            Action::Step(engine) => self.step(engine),
            Action::Tell(instance, event) => self.tell(instance, event),
            Action::Tick(instance) => {
                self.tell(instance, Event::Tick);
                self.timeline.schedule(10, Action::Tick(instance));
            }
        }
    }

    /// Whether an engine is among those that are away for some time.
    fn is_short(&self, engine: usize) -> bool {
        let place = (engine / 3) as f64 / (self.plan.engines / 3).max(1) as f64;
        !engine.is_multiple_of(3) && place < self.plan.short
    }

    /// Start time of an engine, which tells its incarnations apart.
    fn born(&self, engine: usize) -> u64 {
        if self.is_short(engine) { self.born } else { 1 }
    }

    fn list(&mut self, is_short: bool) {
        let listed = |index: usize| ListEntry {
            address: address(index),
            born: self.born(index),
            data_centre: format!("dc-{}", index % 3),
            leaving: false,
            name: format!("engine-{index}"),
            pool: "engines".into(),
            registered_at: Position::default(),
            slots: 0,
            version: String::new(),
        };
        let engines = 0..self.plan.engines;
        let list: Vec<ListEntry> = engines
            .filter(|engine| !is_short || !self.is_short(*engine))
            .map(listed)
            .collect();
        for instance in 0..self.plan.instances {
            let event = Event::List {
                requested_at: self.timeline.now(),
                entries: Some(list.clone()),
            };
            self.tell(instance, event);
        }
    }

    fn crash(&mut self) {
        for engine in 0..self.plan.engines {
            if !self.is_short(engine) {
                continue;
            }
            self.up[engine] = false;
            for line in self.engines[engine].crash() {
                if !self.lines[line].is_dropped {
                    self.fail(line, Failure::Broken);
                }
            }
        }
    }

    fn fail(&mut self, line: usize, failure: Failure) {
        let Line {
            attempt, instance, ..
        } = self.lines[line];
        self.drop_line(line);
        self.tell(instance, Event::Failed { attempt, failure });
    }

    /// A new caller asks, and the next one is to come.
    fn come(&mut self) {
        if self.timeline.now().since(START) > DAY_MS {
            return;
        }
        let per_ms = CAPACITY * self.plan.engines as f64 * self.plan.load / 1_000.0;
        let gap = -(1.0 - self.arrivals.random::<f64>()).ln() / per_ms;
        self.timeline.schedule(gap as u64, Action::Come);
        let point = self.arrivals.random::<f64>();
        let kind = usize::from(point >= MIX[0]) + usize::from(point >= MIX[0] + MIX[1]);
        // A quarter of the customers ask for most: the square of an even draw is small more often.
        let customer = self.arrivals.random::<f64>().powi(2) * CUSTOMERS as f64;
        let now = self.timeline.now();
        self.askers.push(Asker {
            answer: self.arrivals.random_range(130..=140) * STRIDE,
            begun: now,
            customer: CUSTOMERS - 1 - customer as usize,
            first: None,
            instance: self.arrivals.random_range(0..self.cores.len()),
            kind,
            last: None,
            longest_pause_ms: 0,
            prompt: self.arrivals.random_range(PROMPTS),
            state: State::Asking,
            submitted: now,
            tries: 0,
        });
        self.ask(self.askers.len() - 1);
    }

    fn ask(&mut self, index: usize) {
        self.next += 1;
        let instances = self.cores.len();
        let now = self.timeline.now();
        let asker = &mut self.askers[index];
        asker.tries += 1;
        asker.instance = (asker.instance + asker.tries - 1) % instances;
        asker.state = State::Asking;
        asker.submitted = now;
        let caller = Caller(self.next);
        let relay = Relay {
            max_answer_tokens: MAX_ANSWER,
            bytes: 100,
            host: ask::HOST.into(),
            path: path(asker.kind).into(),
            timeout_ms: Some(PATIENCE_MS - now.since(asker.begun)),
            position: 0,
            prompt: index as u64 + 1,
            resumes: None,
            run: self.next.to_string().into(),
            tokens: asker.prompt + MAX_ANSWER,
        };
        let instance = asker.instance;
        let submission = Submission {
            customer: key(asker.customer),
            fingerprint: relay.prompt,
            ..ask::submission(caller, relay)
        };
        self.callers.insert(caller, index);
        self.tell(instance, Event::Submit(Box::new(submission)));
    }

    fn tell(&mut self, instance: usize, event: Event) {
        let effects = self.cores[instance].handle(self.timeline.now(), event);
        for effect in effects {
            self.carry_out(instance, effect);
        }
    }

    fn tell_others(&mut self, instance: usize, delay_ms: u64, event: &Event) {
        for other in (0..self.cores.len()).filter(|other| *other != instance) {
            let action = Action::Tell(other, event.clone());
            self.timeline.schedule(delay_ms, action);
        }
    }

    fn carry_out(&mut self, instance: usize, effect: Effect) {
        match effect {
            Effect::Cancel { attempt, .. } => self.drop_attempt(instance, attempt),
            Effect::Connectivity(effect::Connectivity::Check {
                address,
                started_at,
                upstream,
            }) => {
                let checked = Event::ConnectionChecked {
                    connected: self.up[engine(address)],
                    started_at,
                    upstream,
                };
                self.timeline
                    .schedule(CHECK_MS, Action::Tell(instance, checked));
            }
            Effect::EndStream(caller) => {
                if let Some(asker) = self.callers.remove(&caller) {
                    self.askers[asker].state = State::Whole;
                }
            }
            Effect::AbortStream(caller) => {
                self.callers.remove(&caller);
            }
            Effect::Fail {
                caller,
                retry_after_ms,
                ..
            } => self.refuse(caller, retry_after_ms),
            Effect::ForwardEvent { caller, .. } => self.forward(caller),
            Effect::GossipDemand { demand, .. } => {
                let from = SocketAddr::from(([10, 0, 0, 1], instance as u16 + 1));
                self.tell_others(instance, GOSSIP_MS, &Event::PeerDemand { demand, from });
            }
            Effect::GossipBreakOff(life) => {
                self.tell_others(instance, WAY_MS, &Event::PeerLoss(life));
                self.tell_others(instance, WAY_MS, &Event::PeerBreakOff(life));
            }
            Effect::GossipLost(life) => {
                self.tell_others(instance, WAY_MS, &Event::PeerLoss(life));
            }
            Effect::GossipSpeed(speed) => {
                self.tell_others(instance, SPEED_MS, &Event::PeerSpeed(speed));
            }
            Effect::GossipStream {
                audience: Audience::All,
                record,
            } => self.tell_others(instance, GOSSIP_MS, &Event::PeerStream(record)),
            Effect::Quarantine(effect::Quarantine::CheckCrash {
                address,
                incarnation,
            }) => self.check_crash(instance, engine(address), incarnation),
            Effect::Send {
                address,
                attempt,
                outbound:
                    Outbound::Relay {
                        backup,
                        caller,
                        copy,
                        position,
                        priority,
                        ..
                    },
                ..
            } => {
                let Some(asker) = self.callers.get(&caller).copied() else {
                    return;
                };
                self.lines.push(Line {
                    asker,
                    attempt,
                    backup: backup.map(engine),
                    engine: engine(address),
                    has_copy: copy.is_some(),
                    instance,
                    is_dropped: false,
                    is_open: false,
                    position,
                    priority,
                });
                let line = self.lines.len() - 1;
                self.timeline.schedule(WAY_MS, Action::Arrive(line));
            }
            _ => {}
        }
    }

    fn check_crash(&mut self, instance: usize, engine: usize, incarnation: Incarnation) {
        let event = Event::CrashChecked {
            ended: !self.up[engine],
            incarnation,
        };
        self.timeline
            .schedule(CHECK_MS, Action::Tell(instance, event));
    }

    fn forward(&mut self, caller: Caller) {
        let now = self.timeline.now();
        let Some(index) = self.callers.get(&caller) else {
            return;
        };
        let asker = &mut self.askers[*index];
        asker.first.get_or_insert(now);
        let pause_ms = asker.last.map_or(0, |last| now.since(last));
        asker.longest_pause_ms = asker.longest_pause_ms.max(pause_ms);
        asker.last = Some(now);
    }

    /// A caller was refused. It comes back once, if there is time.
    fn refuse(&mut self, caller: Caller, retry_after_ms: Option<u64>) {
        let Some(index) = self.callers.remove(&caller) else {
            return;
        };
        let now = self.timeline.now();
        let asker = &mut self.askers[index];
        asker.state = State::Refused;
        if now > asker.submitted {
            self.outcome.waited_refused += 1;
        }
        let left = PATIENCE_MS.saturating_sub(now.since(asker.begun));
        if asker.tries < 2 && left > 0 {
            let wait = retry_after_ms.unwrap_or(0).clamp(1, left / 3 + 1);
            self.timeline.schedule(wait, Action::Ask(index));
        } else {
            self.outcome.refused_again += 1;
        }
    }

    fn arrive(&mut self, line: usize) {
        let Line {
            asker,
            engine,
            has_copy,
            is_dropped,
            position,
            priority,
            ..
        } = self.lines[line];
        if is_dropped {
            return;
        }
        if !self.up[engine] {
            self.fail(line, Failure::NotSent);
            return;
        }
        let (instance, attempt) = (self.lines[line].instance, self.lines[line].attempt);
        self.timeline
            .schedule(WAY_MS, Action::Tell(instance, Event::Connected(attempt)));
        let asker = &self.askers[asker];
        let received = position as u32 * STRIDE;
        let work = Work {
            answer: asker.answer.saturating_sub(received).max(1),
            has_copy,
            priority,
            prompt: asker.prompt + received,
        };
        if !self.engines[engine].take(line, work, MEMORY) {
            self.outcome.rejected += 1;
            self.fail(line, Failure::Refused);
            return;
        }
        if !std::mem::replace(&mut self.stepping[engine], true) {
            self.timeline.schedule(0, Action::Step(engine));
        }
    }

    /// The connection of an attempt is closed.
    fn drop_attempt(&mut self, instance: usize, attempt: attempt::Key) {
        let is_same = |line: &Line| line.instance == instance && line.attempt == attempt;
        if let Some(line) = self.lines.iter().rposition(is_same) {
            self.drop_line(line);
        }
    }

    fn drop_line(&mut self, line: usize) {
        let Line { backup, engine, .. } = self.lines[line];
        self.lines[line].is_dropped = true;
        self.engines[engine].remove(line);
        if let Some(backup) = backup {
            self.engines[backup].remove(line);
        }
    }

    fn step(&mut self, engine: usize) {
        if self.engines[engine].is_idle() {
            self.stepping[engine] = false;
            return;
        }
        let (micros, made) = self.engines[engine].step(MEMORY);
        // Whole milliseconds, right in the mean.
        let rest = self.random.random_range(0..1_000);
        self.timeline
            .schedule((micros + rest) / 1_000, Action::Step(engine));
        for (line, made) in made {
            self.made(line, made);
        }
    }

    fn made(&mut self, line: usize, made: Made) {
        let Line {
            asker,
            attempt,
            backup,
            instance,
            ..
        } = self.lines[line];
        if !std::mem::replace(&mut self.lines[line].is_open, true) {
            self.tell(instance, Event::StreamOpened(attempt));
        }
        match made {
            Made::End => {
                self.drop_line(line);
                let marked = true;
                self.tell(instance, Event::StreamEnded { attempt, marked });
            }
            Made::Event(position) => {
                let position = self.lines[line].position + position;
                if let Some(backup) = backup.filter(|backup| self.up[*backup]) {
                    let tokens = self.askers[asker].prompt + position as u32 * STRIDE;
                    self.engines[backup].copy(line, tokens);
                }
                let event = Event::StreamEvent {
                    attempt,
                    bytes: Arc::from(&b"event"[..]),
                    position,
                };
                self.tell(instance, event);
            }
        }
    }

    fn outcome(&self) -> Outcome {
        let mut outcome = self.outcome.clone();
        outcome.customers = vec![Served::default(); CUSTOMERS];
        for engine in &self.engines {
            outcome.preempted += engine.preempted;
            outcome.tokens_read += engine.tokens_read / 1_000;
        }
        for asker in &self.askers {
            let served = asker.served();
            outcome.customers[asker.customer].add(served);
            outcome.kinds[asker.kind].add(served);
        }
        outcome
    }
}

impl Asker {
    fn served(&self) -> Served {
        let first = self.first.map(|first| first.since(self.begun));
        let is_in_time = first.is_some_and(|first| first <= OBJECTIVES_MS[self.kind])
            && self.longest_pause_ms <= PAUSE_MS;
        Served {
            asked: 1,
            refused: usize::from(self.state == State::Refused),
            whole: usize::from(self.state == State::Whole),
            worth: match self.state {
                State::Whole if is_in_time => 1.0,
                State::Whole => LATE_WORTH,
                State::Asking | State::Refused => 0.0,
            },
        }
    }
}
