//! More load than engines hold, in virtual time: several cores that share engines, callers who come back
//! once, and what is served in the time wanted, with bounds on what engines are given and without.

use super::*;
use batch::{Batch, Made, STRIDE};
use std::sync::Arc;
use timeline::Timeline;
use wellplank_core::{
    attempt,
    clock::Time,
    config::{self, Policy, Priority, Service, Target},
    core::Core,
    effect::{self, Effect, Outbound},
    event::{Event, Failure, ListEntry},
    members::View,
    position::Position,
    request::{Caller, Relay},
    settings::{CapacityLimits, Settings},
};

/// Start of virtual time.
const START: Time = Time(1_800_000_000_000);

/// Tokens that an engine's memory holds.
const MEMORY: u32 = 55_000;

/// Tokens of prompts, and those from which on a prompt is in the largest tenth.
const PROMPTS: std::ops::Range<u32> = 3_500..9_000;
const LARGE: u32 = 8_450;

/// Time that callers wait for the whole answer, in milliseconds.
const PATIENCE_MS: u64 = 25_000;

/// Time in which the first event is wanted, in milliseconds.
const OBJECTIVE_MS: u64 = 4_500;

/// Streams a second at the usual load, for each engine.
const USUAL: f64 = 0.26;

/// Time for which there is more load than usual, in milliseconds, after half of it and before as much.
const SURGE_MS: u64 = 20_000;

/// Time until something is told that waits for something else to go along with, in milliseconds.
const CARRIED_MS: u64 = 1_000;

/// Time on the way between instances, and to engines, in milliseconds.
const WAY_MS: u64 = 1;

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Engines.
    pub engines: usize,
    /// Instances, each with a core.
    pub instances: usize,
    /// Load in the surge, over the usual.
    pub load: f64,
    /// Bounds on what engines are given.
    pub room: CapacityLimits,
    /// Seed of every random choice.
    pub seed: u64,
}

/// What came of it, in streams.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Outcome {
    /// Asked for.
    pub asked: usize,
    /// Not whole at the caller's deadline.
    pub failed: usize,
    /// Begun in the time wanted, and whole.
    pub in_time: usize,
    /// Asked for, of the tenth with the longest prompts.
    pub large_asked: usize,
    /// Of these, whole.
    pub large_whole: usize,
    /// Whole, but begun later.
    pub late: usize,
    /// Refused, also when their callers came back.
    pub refused: usize,
    /// Rejected by engines, each time.
    pub rejected: usize,
    /// Tokens of prompts read, in thousands.
    pub tokens_read: u64,
}

/// What is to happen.
enum Action {
    /// A caller asks, with the time that it asked first.
    Ask(usize),
    /// A request arrives at an engine.
    Arrive(usize, usize),
    /// A new caller comes, and the next one after it.
    Come,
    /// An engine runs a step.
    Step(usize),
    /// An instance is told something.
    Tell(usize, Event),
    /// Time passes for an instance.
    Tick(usize),
}

/// A caller and its answer.
struct Asker {
    begun: Time,
    first: Option<Time>,
    prompt: u32,
    answer: u32,
    /// Instance, and number of its last try.
    instance: usize,
    tries: usize,
    state: State,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Asking,
    Refused,
    Whole,
}

/// A stream at an engine.
struct Line {
    asker: usize,
    attempt: attempt::Key,
    backup: Option<usize>,
    engine: usize,
    instance: usize,
    open: bool,
}

struct Surge {
    askers: Vec<Asker>,
    callers: HashMap<Caller, usize>,
    cores: Vec<Core>,
    engines: Vec<Batch>,
    lines: Vec<Line>,
    next: u64,
    outcome: Outcome,
    plan: Plan,
    random: Pcg64Mcg,
    stepping: Vec<bool>,
    timeline: Timeline<Action>,
}

/// Plays a surge of load.
pub fn run(plan: Plan) -> Outcome {
    let mut surge = Surge::new(plan);
    let end = START.after(2 * SURGE_MS + PATIENCE_MS);
    while let Some(action) = surge.timeline.next(end) {
        surge.act(action);
    }
    surge.outcome()
}

/// Plays surges of several loads, with bounds and without, and prints what was served.
pub fn measure(seeds: u64) {
    let mut report = report::Report::new("Load over the usual for 20 s, streams in time and not");
    for (name, room) in [
        ("given whatever comes", CapacityLimits::unbounded()),
        ("bounded", CapacityLimits::default()),
    ] {
        for load in [1.0, 2.0, 3.0, 4.0, 6.0] {
            let mut all = Outcome::default();
            for seed in 0..seeds {
                all.add(run(Plan {
                    engines: 18,
                    instances: 6,
                    load,
                    room,
                    seed,
                }));
            }
            let mean = |count: usize| count as f64 / seeds.max(1) as f64;
            let row = report::Row::new(format!("{name}, x{load}"))
                .figure("asked", mean(all.asked))
                .figure("in time", mean(all.in_time))
                .figure("late", mean(all.late))
                .figure("refused", mean(all.refused))
                .figure("failed", mean(all.failed))
                .figure("rejected", mean(all.rejected));
            report.rows.push(row);
        }
    }
    report.print();
}

impl Outcome {
    /// Adds what came of another surge.
    pub fn add(&mut self, other: Self) {
        self.asked += other.asked;
        self.failed += other.failed;
        self.in_time += other.in_time;
        self.large_asked += other.large_asked;
        self.large_whole += other.large_whole;
        self.late += other.late;
        self.refused += other.refused;
        self.rejected += other.rejected;
        self.tokens_read += other.tokens_read;
    }
}

fn address(engine: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], engine as u16 + 1))
}

fn engine(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

fn service() -> Service {
    Service {
        deadline_ms: PATIENCE_MS,
        max_wait_ms: OBJECTIVE_MS / 4,
        name: "summary".into(),
        policy: Policy::Resources,
        priority: Priority::Normal,
        repeatable: true,
        target: Target::Relay(config::Relay {
            attempts_max: 5,
            copies: true,
            memory_tokens: MEMORY,
            objective_ms: OBJECTIVE_MS,
            event_interval_objective_ms: 0,
            priority: config::DEFAULT_PRIORITY,
            pool: "engines".into(),
            resumable: true,
            streams: true,
        }),
    }
}

impl Surge {
    fn new(plan: Plan) -> Self {
        let settings = Settings {
            probes: false,
            room: plan.room,
            ..Settings::default()
        };
        let core = |index| {
            let seed = plan.seed * 1_000 + index as u64;
            let core = Core::new(settings.clone(), [0; 32], seed, START);
            core.in_data_centre(&format!("dc-{}", index % 3))
        };
        let mut surge = Self {
            askers: Vec::new(),
            callers: HashMap::new(),
            cores: (0..plan.instances).map(core).collect(),
            engines: vec![Batch::default(); plan.engines],
            lines: Vec::new(),
            next: 0,
            outcome: Outcome::default(),
            plan,
            random: Pcg64Mcg::seed_from_u64(plan.seed),
            stepping: vec![false; plan.engines],
            timeline: Timeline::new(START),
        };
        let listed = |index| ListEntry {
            address: address(index),
            born: 0,
            data_centre: format!("dc-{}", index % 3),
            leaving: false,
            name: format!("engine-{index}"),
            pool: "engines".into(),
            registered_at: Position::default(),
            slots: 0,
            version: String::new(),
        };
        let list: Vec<ListEntry> = (0..plan.engines).map(listed).collect();
        for instance in 0..plan.instances {
            surge.tell(
                instance,
                Event::Config(Arc::new(ask::configuration(service()))),
            );
            surge.tell(
                instance,
                Event::Instances(View::numbered(instance as u64, plan.instances as u64)),
            );
            let listed = Some(list.clone());
            surge.tell(
                instance,
                Event::List {
                    requested_at: START,
                    entries: listed,
                },
            );
            surge.timeline.schedule(1, Action::Tick(instance));
        }
        surge.timeline.schedule(0, Action::Come);
        surge
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Arrive(line, prompt_of) => self.arrive(line, prompt_of),
            Action::Ask(asker) => self.ask(asker),
            Action::Come => self.come(),
            Action::Step(engine) => self.step(engine),
            Action::Tell(instance, event) => self.tell(instance, event),
            Action::Tick(instance) => {
                self.tell(instance, Event::Tick);
                self.timeline.schedule(10, Action::Tick(instance));
            }
        }
    }

    /// A new caller asks, and the next one is to come.
    fn come(&mut self) {
        let since = self.timeline.now().since(START);
        if since > 2 * SURGE_MS {
            return;
        }
        let surge = (SURGE_MS / 2..SURGE_MS / 2 + SURGE_MS).contains(&since);
        let load = if surge { self.plan.load } else { 1.0 };
        let per_ms = USUAL * self.plan.engines as f64 * load / 1_000.0;
        let gap = -(1.0 - self.random.random::<f64>()).ln() / per_ms;
        self.timeline.schedule(gap as u64, Action::Come);
        let instance = self.random.random_range(0..self.cores.len());
        self.askers.push(Asker {
            answer: self.random.random_range(90..=170) * STRIDE,
            begun: self.timeline.now(),
            first: None,
            instance,
            prompt: self.random.random_range(PROMPTS),
            state: State::Asking,
            tries: 0,
        });
        self.ask(self.askers.len() - 1);
    }

    fn ask(&mut self, index: usize) {
        self.next += 1;
        let instances = self.cores.len();
        let asker = &mut self.askers[index];
        asker.tries += 1;
        asker.instance = (asker.instance + asker.tries - 1) % instances;
        asker.state = State::Asking;
        let caller = Caller(self.next);
        let left = PATIENCE_MS - self.timeline.now().since(asker.begun);
        let relay = Relay {
            max_answer_tokens: 1_020,
            bytes: 100,
            host: ask::HOST.into(),
            path: ask::PATH.into(),
            timeout_ms: Some(left),
            position: 0,
            prompt: index as u64 + 1,
            resumes: None,
            run: self.next.to_string().into(),
            tokens: asker.prompt + 1_020,
        };
        let instance = asker.instance;
        self.callers.insert(caller, index);
        self.tell(
            instance,
            Event::Submit(Box::new(ask::submission(caller, relay))),
        );
    }

    fn tell(&mut self, instance: usize, event: Event) {
        let effects = self.cores[instance].handle(self.timeline.now(), event);
        for effect in effects {
            self.carry_out(instance, effect);
        }
    }

    fn carry_out(&mut self, instance: usize, effect: Effect) {
        match effect {
            Effect::GossipBreakOff(life) => {
                for other in (0..self.cores.len()).filter(|other| *other != instance) {
                    let event = Event::PeerLoss(life);
                    self.timeline.schedule(WAY_MS, Action::Tell(other, event));
                }
                for other in (0..self.cores.len()).filter(|other| *other != instance) {
                    let event = Event::PeerBreakOff(life);
                    self.timeline.schedule(WAY_MS, Action::Tell(other, event));
                }
            }
            Effect::GossipLost(life) => {
                for other in (0..self.cores.len()).filter(|other| *other != instance) {
                    let event = Event::PeerLoss(life);
                    self.timeline.schedule(WAY_MS, Action::Tell(other, event));
                }
            }
            Effect::GossipEnded(lives) => {
                for other in (0..self.cores.len()).filter(|other| *other != instance) {
                    let event = Event::PeerEnds(lives.clone());
                    self.timeline.schedule(WAY_MS, Action::Tell(other, event));
                }
            }
            Effect::Cancel { attempt, .. } => self.drop_lines(instance, attempt),
            Effect::Connectivity(effect::Connectivity::Check {
                started_at,
                upstream,
                ..
            }) => {
                let checked = Event::ConnectionChecked {
                    connected: true,
                    started_at,
                    upstream,
                };
                self.timeline
                    .schedule(2 * WAY_MS, Action::Tell(instance, checked));
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
            Effect::ForwardEvent { caller, .. } => {
                let now = self.timeline.now();
                if let Some(asker) = self.callers.get(&caller) {
                    self.askers[*asker].first.get_or_insert(now);
                }
            }
            Effect::GossipSpeed(pace) => {
                for other in (0..self.cores.len()).filter(|other| *other != instance) {
                    let event = Event::PeerSpeed(pace.clone());
                    self.timeline
                        .schedule(CARRIED_MS, Action::Tell(other, event));
                }
            }
            Effect::Send {
                address,
                attempt,
                outbound: Outbound::Relay { backup, caller, .. },
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
                    instance,
                    open: false,
                });
                let line = self.lines.len() - 1;
                self.timeline.schedule(WAY_MS, Action::Arrive(line, asker));
            }
            Effect::GossipStream {
                record: sighting, ..
            } => {
                for other in (0..self.cores.len()).filter(|other| *other != instance) {
                    let event = Event::PeerStream(sighting.clone());
                    self.timeline.schedule(WAY_MS, Action::Tell(other, event));
                }
            }
            _ => {}
        }
    }

    /// A caller was refused. It comes back once, if there is time.
    fn refuse(&mut self, caller: Caller, retry_after_ms: Option<u64>) {
        let Some(index) = self.callers.remove(&caller) else {
            return;
        };
        let asker = &mut self.askers[index];
        asker.state = State::Refused;
        let left = PATIENCE_MS.saturating_sub(self.timeline.now().since(asker.begun));
        if asker.tries < 2 && left > 0 {
            let wait = retry_after_ms.unwrap_or(0).clamp(1, left / 3 + 1);
            self.timeline.schedule(wait, Action::Ask(index));
        }
    }

    fn arrive(&mut self, line: usize, asker: usize) {
        let Line {
            attempt,
            engine,
            instance,
            ..
        } = self.lines[line];
        let (prompt, answer) = (self.askers[asker].prompt, self.askers[asker].answer);
        if !self.engines[engine].take(line, prompt, answer, MEMORY) {
            self.outcome.rejected += 1;
            let failure = Failure::Refused;
            self.tell(instance, Event::Failed { attempt, failure });
            return;
        }
        if !std::mem::replace(&mut self.stepping[engine], true) {
            self.timeline.schedule(0, Action::Step(engine));
        }
    }

    /// An engine's connection of an attempt is closed.
    fn drop_lines(&mut self, instance: usize, attempt: attempt::Key) {
        let same = |line: &Line| line.instance == instance && line.attempt == attempt;
        for line in 0..self.lines.len() {
            if same(&self.lines[line]) {
                self.drop_line(line);
            }
        }
    }

    fn drop_line(&mut self, line: usize) {
        let Line { backup, engine, .. } = self.lines[line];
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
        if !std::mem::replace(&mut self.lines[line].open, true) {
            self.tell(instance, Event::StreamOpened(attempt));
        }
        match made {
            Made::End => {
                self.drop_line(line);
                let marked = true;
                self.tell(instance, Event::StreamEnded { attempt, marked });
            }
            Made::Event(position) => {
                if let Some(backup) = backup {
                    let tokens = self.askers[asker].prompt + position as u32 * STRIDE;
                    self.engines[backup].copy(line, tokens);
                }
                let bytes = Arc::from(&b"event"[..]);
                let passed = Event::StreamEvent {
                    attempt,
                    bytes,
                    position,
                };
                self.tell(instance, passed);
            }
        }
    }

    fn outcome(&self) -> Outcome {
        let mut outcome = self.outcome;
        outcome.asked = self.askers.len();
        for engine in &self.engines {
            outcome.tokens_read += engine.tokens_read / 1_000;
        }
        for asker in &self.askers {
            if asker.prompt >= LARGE {
                outcome.large_asked += 1;
                outcome.large_whole += usize::from(asker.state == State::Whole);
            }
            let first = asker.first.map(|first| first.since(asker.begun));
            match (asker.state, first) {
                (State::Whole, Some(first)) if first <= OBJECTIVE_MS => outcome.in_time += 1,
                (State::Whole, _) => outcome.late += 1,
                (State::Refused, _) => outcome.refused += 1,
                (State::Asking, _) => outcome.failed += 1,
            }
        }
        outcome
    }
}
