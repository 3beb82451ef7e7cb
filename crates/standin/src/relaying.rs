//! Several cores that relay, with fakes at their edges, in virtual time and deterministic from a
//! seed. It checks what must always hold while it runs.

use super::*;
use std::{collections::HashSet, sync::Arc};
use timeline::Timeline;
use wellplank_core::{
    attempt,
    clock::Time,
    config::{self, Config, Customer, Policy, Priority, Route, Service, Share, Target},
    core::Core,
    effect::{Effect, Sending},
    event::{Event, Failure, Listed, Submission, Verdict},
    kind::Ran,
    request::{Caller as Connection, Relay, Work},
    settings::Settings,
};

/// Start of virtual time.
const START: Time = Time(1_800_000_000_000);

/// Events of a whole stream.
const EVENTS: u64 = 60;

/// Time between two events of a stream.
const STEP_MS: u64 = 30;

/// Time from the start of a stream to its first event: its prompt is read.
const READ_MS: u64 = 300;

/// Time that a call takes.
const CALL_MS: u64 = 15;

/// Time between two ticks of a core.
const TICK_MS: u64 = 10;

/// Time between two reads of the list.
const LIST_MS: u64 = 300;

/// Time after which a leaving upstream must get no new work.
const LEAVE_MS: u64 = 2_000;

/// Time that a caller waits for its whole answer.
const PATIENCE_MS: u64 = 25_000;

/// Time after which a caller comes back.
const BACK_MS: u64 = 60;

/// Tries of a caller, at most.
const TRIES: usize = 12;

/// Virtual time that a case may take after its last fault.
const SETTLE_MS: u64 = 60_000;

/// Time by which an attempt must have ended before the next one of its request may run.
const OVERLAP_MS: u64 = 400;

/// What a caller asks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Kind {
    Again,
    Once,
    Stream,
}

impl Kind {
    const ALL: [Self; 3] = [Self::Again, Self::Once, Self::Stream];

    fn path(self) -> &'static str {
        match self {
            Self::Again => "/again/1",
            Self::Once => "/once/1",
            Self::Stream => "/stream/1",
        }
    }
}

/// A caller and what it has.
struct Asker {
    begun: Time,
    ended: bool,
    instance: usize,
    kind: Kind,
    /// Position of the last event that it has.
    position: u64,
    /// Name of its try; a number.
    run: u64,
    tries: usize,
    whole: bool,
}

/// One upstream over its lives.
struct Upstream {
    calls: bool,
    /// Copies of streams: the run and the asker whose stream it is.
    copies: HashMap<u64, usize>,
    leaving: Option<Time>,
    /// Grows with every start.
    life: u64,
    mode: Mode,
    streams: HashMap<Line, Stream>,
}

/// How an upstream behaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mode {
    Down,
    Faulty,
    Good,
    Refusing,
    Silent,
}

/// An attempt at an upstream: life of the instance that sent it, and its key there.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Line {
    attempt: attempt::Key,
    instance: usize,
    life: u64,
}

/// A stream that an upstream runs.
#[derive(Clone, Copy, Debug)]
struct Stream {
    asker: usize,
    backup: Option<usize>,
    position: u64,
    run: u64,
}

struct Instance {
    core: Option<Core>,
    life: u64,
}

enum Action {
    Ask(usize),
    Answer(Line, usize, usize),
    Arrive(Line, usize, Sending),
    Close(Line, usize),
    List(usize, u64),
    Return(usize, u64),
    Step(Line, usize),
    Tell(usize, u64, Event),
    Tick(usize, u64),
    Restart(usize),
}

/// What came of one case.
#[derive(Clone, Debug, Default)]
pub struct Case {
    /// Streams that went on from a copy.
    pub copies: usize,
    /// Requests.
    pub requests: usize,
    /// What must always hold and did not.
    pub violations: Vec<String>,
    /// Requests answered whole.
    pub whole: usize,
}

/// Several cores that relay.
struct World {
    askers: Vec<Asker>,
    case: Case,
    connections: HashMap<Connection, usize>,
    instances: Vec<Instance>,
    next: u64,
    random: Pcg64Mcg,
    /// Runs that were told not to have run.
    refused: HashSet<u64>,
    /// Runs that ran, and how often.
    runs: HashMap<u64, usize>,
    /// When the last attempt of an asker ended at an upstream that still had it.
    timeline: Timeline<Action>,
    upstreams: Vec<Upstream>,
}

/// Runs one case: requests of every kind and faults at any moment, together and again.
pub fn case(seed: u64) -> Case {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let instances = random.random_range(1..4);
    let engines = random.random_range(3..10);
    let mut world = World::new(instances, engines, seed);
    for _ in 0..random.random_range(5..40) {
        for _ in 0..random.random_range(0..6) {
            world.ask();
        }
        world.run_for(random.random_range(1..600));
        world.cause();
        world.run_for(random.random_range(1..1_500));
    }
    for upstream in 0..world.upstreams.len() {
        world.set(upstream, Mode::Good);
    }
    for instance in 0..instances {
        world.restart(instance);
    }
    world.run_for(SETTLE_MS);
    world.check_end();
    world.case
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], index as u16 + 1))
}

fn index(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

fn event(asker: usize, position: u64) -> Arc<[u8]> {
    format!("{asker}/{position}").into_bytes().into()
}

fn configuration() -> Config {
    let route = |prefix: &str, pool: &str, repeatable, streams| {
        let relay = config::Relay {
            attempts_max: if streams { 5 } else { 2 },
            copies: streams,
            memory_tokens: if streams { 55_000 } else { 0 },
            objective_ms: 1_000,
            pool: pool.into(),
            resumable: streams,
            streams,
        };
        let service = Service {
            deadline_ms: PATIENCE_MS,
            max_wait_ms: 1_000,
            name: prefix.into(),
            policy: Policy::Resources,
            priority: Priority::Normal,
            repeatable,
            target: Target::Relay(relay),
        };
        Route {
            host: "host".into(),
            prefix: prefix.into(),
            public: false,
            shares: vec![Share {
                service: Arc::new(service),
                weight: 1,
            }],
        }
    };
    let customer = Customer {
        name: "mill".into(),
        ..Customer::anyone()
    };
    Config {
        customers: [("key".to_owned(), Arc::new(customer))].into(),
        revision: 1,
        routes: vec![
            route("/again/", "desk", true, false),
            route("/once/", "desk", false, false),
            route("/stream/", "engines", true, true),
        ],
        ..Config::default()
    }
}

impl World {
    fn new(instances: usize, engines: usize, seed: u64) -> Self {
        let upstream = |index: usize| Upstream {
            calls: index >= engines,
            copies: HashMap::new(),
            leaving: None,
            life: 1,
            mode: Mode::Good,
            streams: HashMap::new(),
        };
        let mut world = Self {
            askers: Vec::new(),
            case: Case::default(),
            connections: HashMap::new(),
            instances: Vec::new(),
            next: 0,
            random: Pcg64Mcg::seed_from_u64(seed ^ 1),
            refused: HashSet::new(),
            runs: HashMap::new(),
            timeline: Timeline::new(START),
            upstreams: (0..engines + 2).map(upstream).collect(),
        };
        for index in 0..instances {
            world.instances.push(Instance {
                core: None,
                life: 0,
            });
            world.restart(index);
        }
        world
    }

    fn broken(&mut self, text: impl std::fmt::Display) {
        let at = self.timeline.now().since(START);
        self.case.violations.push(format!("{at} ms: {text}"));
    }

    /// A new caller asks.
    fn ask(&mut self) {
        let kind = Kind::ALL[self.random.random_range(0..Kind::ALL.len())];
        let instance = self.random.random_range(0..self.instances.len());
        self.askers.push(Asker {
            begun: self.timeline.now(),
            ended: false,
            instance,
            kind,
            position: 0,
            run: 0,
            tries: 0,
            whole: false,
        });
        let asker = self.askers.len() - 1;
        self.timeline.schedule(0, Action::Ask(asker));
    }

    /// Has a caller's request arrive at an instance; a caller that finds none comes back.
    fn submit(&mut self, index: usize) {
        self.next += 1;
        let (run, connection) = (self.next, Connection(self.next));
        let asker = &mut self.askers[index];
        asker.run = run;
        asker.tries += 1;
        let waited = self.timeline.now().since(asker.begun);
        if asker.tries > TRIES || waited >= PATIENCE_MS {
            asker.ended = true;
            return;
        }
        let instance = asker.instance;
        if self.instances[instance].core.is_none() {
            self.come_back(index);
            return;
        }
        let asker = &self.askers[index];
        let submission = Submission {
            caller: connection,
            cursor: None,
            customer: "key".into(),
            fingerprint: 0,
            generation: u128::from(run),
            key: None,
            received: None,
            service: String::new(),
            work: Work::Relay(Relay {
                bytes: 100,
                host: "host".into(),
                path: asker.kind.path().into(),
                patience_ms: Some(PATIENCE_MS - waited),
                position: asker.position,
                prompt: if asker.kind == Kind::Stream {
                    index as u64 + 1
                } else {
                    0
                },
                run: run.to_string().into(),
                tokens: if asker.kind == Kind::Stream { 5_200 } else { 0 },
            }),
        };
        self.connections.insert(connection, index);
        self.tell(instance, Event::Submit(Box::new(submission)));
    }

    /// A caller asks again at another instance, if it may.
    fn come_back(&mut self, index: usize) {
        let instances = self.instances.len();
        let asker = &mut self.askers[index];
        asker.instance = (asker.instance + 1) % instances;
        self.timeline.schedule(BACK_MS, Action::Ask(index));
    }

    /// Causes a fault, or ends one.
    fn cause(&mut self) {
        let upstream = self.random.random_range(0..self.upstreams.len());
        let instance = self.random.random_range(0..self.instances.len());
        match self.random.random_range(0..12) {
            0 => self.set(upstream, Mode::Down),
            1 => self.set(upstream, Mode::Silent),
            2 => self.set(upstream, Mode::Refusing),
            3 => self.set(upstream, Mode::Faulty),
            4 => self.kill(instance),
            5 => self.leave_connections(),
            6 => self.upstreams[upstream].leaving = Some(self.timeline.now()),
            7 => {
                for index in (0..self.upstreams.len()).filter(|index| index % 3 == upstream % 3) {
                    self.set(index, Mode::Down);
                }
            }
            _ => {
                for index in 0..self.upstreams.len() {
                    self.set(index, Mode::Good);
                }
            }
        }
    }

    /// Callers' connections break; they come back.
    fn leave_connections(&mut self) {
        let connections: Vec<(Connection, usize)> = self.connections.drain().collect();
        for (connection, asker) in connections {
            let instance = self.askers[asker].instance;
            self.tell(instance, Event::CallerGone(connection));
            self.lost(asker);
        }
    }

    /// An instance ends at once.
    fn kill(&mut self, index: usize) {
        self.instances[index].core = None;
        let life = self.instances[index].life;
        for upstream in &mut self.upstreams {
            upstream
                .streams
                .retain(|line, _| line.instance != index || line.life != life);
        }
        let connections = self.connections.extract_if(|_, asker| {
            let asker = &self.askers[*asker];
            asker.instance == index
        });
        let lost: Vec<usize> = connections.map(|(_, asker)| asker).collect();
        for asker in lost {
            self.lost(asker);
        }
        self.timeline.schedule(800, Action::Restart(index));
    }

    /// A caller's connection ended without a whole answer. One that may not repeat gives up.
    fn lost(&mut self, index: usize) {
        if self.askers[index].kind == Kind::Once {
            self.askers[index].ended = true;
        } else {
            self.come_back(index);
        }
    }

    fn restart(&mut self, index: usize) {
        if self.instances[index].core.is_some() {
            return;
        }
        let settings = Settings {
            probes: false,
            ..Settings::default()
        };
        let life = self.instances[index].life + 1;
        let seed = self.random.random();
        let core = Core::new(settings, [0; 32], seed, self.timeline.now());
        let home = format!("dc-{}", index % 3);
        self.instances[index] = Instance {
            core: Some(core.standing_in(&home)),
            life,
        };
        self.tell(index, Event::Config(Arc::new(configuration())));
        self.timeline.schedule(0, Action::List(index, life));
        self.timeline.schedule(1, Action::Tick(index, life));
    }

    /// Has an upstream behave otherwise. One that was down starts a new life.
    fn set(&mut self, index: usize, mode: Mode) {
        let upstream = &mut self.upstreams[index];
        if upstream.mode == Mode::Down && mode != Mode::Down {
            upstream.life += 1;
            upstream.leaving = None;
        }
        if mode == Mode::Good {
            upstream.leaving = None;
        }
        upstream.mode = mode;
        if mode == Mode::Down {
            upstream.copies.clear();
            let lines: Vec<Line> = upstream.streams.drain().map(|(line, _)| line).collect();
            for line in lines {
                self.fail(line, Failure::Broken);
            }
        }
    }

    fn fail(&mut self, line: Line, failure: Failure) {
        let attempt = line.attempt;
        self.event(line, Event::Failed { attempt, failure });
    }

    fn event(&mut self, line: Line, event: Event) {
        let action = Action::Tell(line.instance, line.life, event);
        self.timeline.schedule(1, action);
    }

    fn run_for(&mut self, millis: u64) {
        let end = self.timeline.now().after(millis);
        while let Some(action) = self.timeline.next(end) {
            self.act(action);
        }
    }

    fn lives(&self, instance: usize, life: u64) -> bool {
        self.instances[instance].life == life && self.instances[instance].core.is_some()
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Answer(line, upstream, asker) => self.reply(line, upstream, asker),
            Action::Arrive(line, upstream, sending) => self.arrive(line, upstream, &sending),
            Action::Ask(asker) => self.submit(asker),
            Action::Close(line, upstream) => {
                self.upstreams[upstream].streams.remove(&line);
            }
            Action::List(instance, life) if self.lives(instance, life) => {
                let listed = Some(self.listed());
                let asked = self.timeline.now();
                self.tell(instance, Event::List { asked, listed });
                self.timeline
                    .schedule(LIST_MS, Action::List(instance, life));
            }
            Action::Restart(instance) => self.restart(instance),
            Action::Return(asker, run) => {
                if self.askers[asker].run == run {
                    self.come_back(asker);
                }
            }
            Action::Step(line, upstream) => self.step(line, upstream),
            Action::Tell(instance, life, event) if self.lives(instance, life) => {
                self.tell(instance, event);
            }
            Action::Tick(instance, life) if self.lives(instance, life) => {
                self.tell(instance, Event::Tick);
                self.timeline
                    .schedule(TICK_MS, Action::Tick(instance, life));
            }
            // The instance has ended.
            Action::List(..) | Action::Tell(..) | Action::Tick(..) => {}
        }
    }

    fn listed(&self) -> Vec<Listed> {
        let listed = |(index, upstream): (usize, &Upstream)| Listed {
            address: address(index),
            data_centre: format!("dc-{}", index % 3),
            leaving: upstream.leaving.is_some(),
            name: format!("{index}-{}", upstream.life),
            pool: if upstream.calls { "desk" } else { "engines" }.into(),
            since: 0,
        };
        self.upstreams.iter().enumerate().map(listed).collect()
    }

    fn tell(&mut self, instance: usize, event: Event) {
        let now = self.timeline.now();
        let Some(core) = self.instances[instance].core.as_mut() else {
            return;
        };
        for effect in core.handle(now, event) {
            self.carry_out(instance, effect);
        }
    }

    fn carry_out(&mut self, instance: usize, effect: Effect) {
        let life = self.instances[instance].life;
        let line = |attempt| Line {
            attempt,
            instance,
            life,
        };
        match effect {
            Effect::Answer(caller) => self.end(caller, true),
            Effect::Blame(name) => self.gossip(instance, &Event::Blamed(name.to_string())),
            Effect::Cancel {
                address, attempt, ..
            } => {
                let close = Action::Close(line(attempt), index(address));
                self.timeline.schedule(1, close);
            }
            Effect::Close(caller) => {
                let asker = self.connections.get(&caller).copied();
                if let Some(asker) = asker
                    && self.askers[asker].position != EVENTS
                {
                    let position = self.askers[asker].position;
                    self.broken(format_args!(
                        "{asker} was told that it is whole at {position}"
                    ));
                }
                self.end(caller, true);
            }
            Effect::Count(counter, _) => {
                if let wellplank_core::counter::Counter::Invariant(invariant) = counter {
                    self.broken(format_args!("invariant {invariant}"));
                }
            }
            Effect::Cut(caller) => self.end(caller, false),
            Effect::Fail { caller, kind, .. } => {
                let answer = kind.answer();
                if let Some(asker) = self.connections.get(&caller) {
                    let run = self.askers[*asker].run;
                    if answer.ran == Ran::No {
                        self.refused.insert(run);
                    }
                }
                self.refuse(caller, answer.ran);
            }
            Effect::Pass { bytes, caller } => self.take(caller, &bytes),
            Effect::Send {
                address,
                attempt,
                sending,
            } => {
                let arrive = Action::Arrive(line(attempt), index(address), sending);
                self.timeline.schedule(1, arrive);
            }
            Effect::Tell(sighting) => self.gossip(instance, &Event::Sighted(sighting)),
            Effect::Believe { .. }
            | Effect::Claim { .. }
            | Effect::Deliver { .. }
            | Effect::Detach(_)
            | Effect::Finish { .. }
            | Effect::Leaving(_)
            | Effect::Note(_)
            | Effect::Open(_)
            | Effect::Probe { .. }
            | Effect::Reply { .. }
            | Effect::Timed(..) => {}
        }
    }

    /// Passes a datagram to the other instances; one in ten is lost.
    fn gossip(&mut self, from: usize, event: &Event) {
        for to in (0..self.instances.len()).filter(|to| *to != from) {
            if self.random.random_range(0..10) > 0 {
                let life = self.instances[to].life;
                let action = Action::Tell(to, life, event.clone());
                self.timeline.schedule(2, action);
            }
        }
    }

    /// A caller's answer ended, whole or cut.
    fn end(&mut self, caller: Connection, whole: bool) {
        let Some(asker) = self.connections.remove(&caller) else {
            return;
        };
        if whole {
            self.askers[asker].ended = true;
            self.askers[asker].whole = true;
        } else {
            self.lost(asker);
        }
    }

    /// A caller was given an error. One that did not run, or may repeat, comes back.
    fn refuse(&mut self, caller: Connection, ran: Ran) {
        let Some(asker) = self.connections.remove(&caller) else {
            return;
        };
        if ran == Ran::No || self.askers[asker].kind != Kind::Once {
            let run = self.askers[asker].run;
            self.timeline.schedule(400, Action::Return(asker, run));
        } else {
            self.askers[asker].ended = true;
        }
    }

    /// A caller gets an event.
    fn take(&mut self, caller: Connection, bytes: &[u8]) {
        let Some(asker) = self.connections.get(&caller).copied() else {
            return;
        };
        let next = self.askers[asker].position + 1;
        if *bytes != *event(asker, next) {
            let text = String::from_utf8_lossy(bytes).into_owned();
            self.broken(format_args!("{asker} got {text} in place of event {next}"));
        }
        self.askers[asker].position = next;
    }

    /// A request arrives at an upstream.
    fn arrive(&mut self, line: Line, upstream: usize, sending: &Sending) {
        let Sending::Relay {
            backup,
            caller,
            copy,
            position,
            upstream: name,
            ..
        } = sending
        else {
            return;
        };
        let Some(asker) = self.connections.get(caller).copied() else {
            return;
        };
        let run = self.askers[asker].run;
        let now = self.timeline.now();
        let state = &mut self.upstreams[upstream];
        match state.mode {
            Mode::Down => return self.fail(line, Failure::NotSent),
            Mode::Silent => return,
            Mode::Refusing => return self.fail(line, Failure::Refused),
            Mode::Faulty | Mode::Good => {}
        }
        if **name != format!("{upstream}-{}", state.life) {
            return self.fail(line, Failure::Replaced);
        }
        let late = state
            .leaving
            .is_some_and(|since| now.since(since) > LEAVE_MS);
        if let Some(copy) = copy {
            let copied: u64 = copy.parse().unwrap_or_default();
            match state.copies.remove(&copied) {
                None => return self.fail(line, Failure::Refused),
                Some(owner) if owner != asker => {
                    self.broken(format_args!("{asker} goes on from the memory of {owner}"));
                }
                Some(_) => self.case.copies += 1,
            }
        }
        if late {
            self.broken(format_args!(
                "{upstream} got work long after it began to leave"
            ));
        }
        *self.runs.entry(run).or_default() += 1;
        if self.askers[asker].kind != Kind::Stream {
            self.timeline
                .schedule(CALL_MS, Action::Answer(line, upstream, asker));
            return;
        }
        self.event(line, Event::Opened(line.attempt));
        let stream = Stream {
            asker,
            backup: backup.map(index),
            position: *position,
            run,
        };
        self.upstreams[upstream].streams.insert(line, stream);
        let read = if copy.is_some() { STEP_MS } else { READ_MS };
        self.timeline.schedule(read, Action::Step(line, upstream));
        self.check_alone(asker, line);
    }

    /// Two upstreams must not work on one stream for long.
    fn check_alone(&mut self, asker: usize, line: Line) {
        let others = self.upstreams.iter().flat_map(|upstream| &upstream.streams);
        let others = others.filter(|(other, stream)| {
            stream.asker == asker && **other != line && other.instance == line.instance
        });
        if others.count() > 0 {
            self.broken(format_args!(
                "{asker} runs twice for more than {OVERLAP_MS} ms"
            ));
        }
    }

    /// An upstream makes the next event of a stream.
    fn step(&mut self, line: Line, upstream: usize) {
        let mode = self.upstreams[upstream].mode;
        let Some(stream) = self.upstreams[upstream].streams.get_mut(&line) else {
            return;
        };
        if mode == Mode::Silent {
            self.timeline
                .schedule(STEP_MS, Action::Step(line, upstream));
            return;
        }
        stream.position += 1;
        let stream = *stream;
        let attempt = line.attempt;
        if stream.position > EVENTS {
            self.upstreams[upstream].streams.remove(&line);
            let marked = true;
            self.event(line, Event::Closed { attempt, marked });
            return;
        }
        if let Some(backup) = stream.backup
            && self.upstreams[backup].mode != Mode::Down
        {
            self.upstreams[backup]
                .copies
                .insert(stream.run, stream.asker);
        }
        let bytes = event(stream.asker, stream.position);
        let position = stream.position;
        self.event(
            line,
            Event::Passed {
                attempt,
                bytes,
                position,
            },
        );
        self.timeline
            .schedule(STEP_MS, Action::Step(line, upstream));
    }

    /// A call ends at an upstream.
    fn reply(&mut self, line: Line, upstream: usize, asker: usize) {
        let attempt = line.attempt;
        let verdict = match self.upstreams[upstream].mode {
            Mode::Down => return self.fail(line, Failure::Broken),
            Mode::Silent => return,
            Mode::Faulty if self.askers[asker].kind == Kind::Again => Verdict::Fault,
            Mode::Faulty | Mode::Good | Mode::Refusing => Verdict::Good,
        };
        self.event(line, Event::Answered { attempt, verdict });
    }

    /// Checks what must hold at the end of a run.
    fn check_end(&mut self) {
        self.case.requests = self.askers.len();
        self.case.whole = self.askers.iter().filter(|asker| asker.whole).count();
        let refused_and_run: Vec<u64> = self
            .refused
            .iter()
            .copied()
            .filter(|run| self.runs.contains_key(run))
            .collect();
        for run in refused_and_run {
            self.broken(format_args!("run {run} was told not to have run, and ran"));
        }
        for index in 0..self.askers.len() {
            let asker = &self.askers[index];
            let runs = self.runs.get(&asker.run).copied().unwrap_or(0);
            if asker.kind == Kind::Once && runs > 1 {
                self.broken(format_args!("{index} ran {runs} times"));
            }
            if !self.askers[index].ended {
                self.broken(format_args!("{index} has no answer"));
            }
        }
        for index in 0..self.instances.len() {
            let core = self.instances[index].core.as_ref();
            let running = core.map_or(0, Core::running);
            if running > 0 {
                self.broken(format_args!(
                    "instance {index} still has {running} requests"
                ));
            }
        }
        let streams: usize = self
            .upstreams
            .iter()
            .map(|upstream| upstream.streams.len())
            .sum();
        if streams > 0 {
            self.broken(format_args!("{streams} streams run for nobody"));
        }
    }
}
