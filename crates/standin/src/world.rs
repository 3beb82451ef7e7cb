//! Several cores with fakes at their edges, in virtual time, deterministic from a seed. It checks
//! what must always hold while it runs.

use super::*;
use asker::{Asker, End, Step, configuration};
use fake::{Arrival, Claims, Mode, Reader, Said, StoreMode, Upstream};
use std::sync::Arc;
use timeline::Timeline;
use wellplank_core::{
    claim::Claim,
    clock::Time,
    core::Core,
    counter::Counter,
    effect::{self, Effect, Outbound},
    event::{Event, Failure, ListEntry},
    kind::Ran,
    position::Position,
    request::{self, Caller as Connection},
    settings::Settings,
    upstream::{self, Load},
};

/// Start of virtual time.
const START: Time = Time(1_800_000_000_000);

/// Time between two ticks of a core.
const TICK_MS: u64 = 10;

/// Time between two steps of an upstream.
const STEP_MS: u64 = 20;

/// Time between two reads of the platform's list.
const LIST_MS: u64 = 200;

/// Time that a connection attempt to a silent machine takes.
const CONNECT_MS: u64 = 1_000;

/// Time after which a claim at a store that is down is given up on.
const CLAIM_MS: u64 = 300;

/// Time after which an ended instance is replaced.
const RESTART_MS: u64 = 1_000;

/// Time after which a leaving upstream must get no new work.
const LEAVE_MS: u64 = 3_000;

/// Secret of the cursors.
const SECRET: [u8; 32] = [7; 32];

/// One instance over its lives.
pub(crate) struct Instance {
    pub core: Option<Core>,
    pub frozen_until: Time,
    restart_at: Time,
    /// Grows with every life, so that what was meant for an earlier one is dropped.
    life: usize,
}

/// What is to happen.
#[derive(Debug)]
pub(crate) enum Action {
    Arrive(usize, Arrival),
    Event(usize, usize, Event),
    List(usize),
    Return(usize),
    Step(usize),
    Tick(usize, usize),
}

/// Several cores with fakes at their edges.
pub struct World {
    /// Callers.
    pub askers: Vec<Asker>,
    /// The store of claims.
    pub claims: Claims,
    /// Counters of all instances.
    pub counters: BTreeMap<Counter, u64>,
    /// Engines first, then the plain service.
    pub upstreams: Vec<Upstream>,
    /// What must always hold and did not.
    pub violations: Vec<String>,
    pub(crate) connections: HashMap<Connection, usize>,
    engines: usize,
    pub(crate) instances: Vec<Instance>,
    left: Vec<Option<Time>>,
    pub(crate) next_connection: u64,
    pub(crate) random: Pcg64Mcg,
    settings: Settings,
    pub(crate) timeline: Timeline<Action>,
}

impl World {
    /// A world with a configuration in force.
    pub fn new(instances: usize, engines: usize, settings: Settings, seed: u64) -> Self {
        let name = |index: usize| match index {
            index if index < engines => format!("runner-{index}"),
            index => format!("yard-{}", index - engines),
        };
        let upstreams = (0..engines + 2)
            .map(|index| Upstream::new(&name(index), seed ^ (index as u64 + 1)))
            .collect();
        let mut world = Self {
            askers: Vec::new(),
            claims: Claims::new(),
            connections: HashMap::new(),
            counters: BTreeMap::new(),
            engines,
            instances: Vec::new(),
            left: vec![None; engines + 2],
            next_connection: 0,
            random: Pcg64Mcg::seed_from_u64(seed),
            settings,
            timeline: Timeline::new(START),
            upstreams,
            violations: Vec::new(),
        };
        for index in 0..instances {
            world.instances.push(Instance {
                core: None,
                frozen_until: START,
                restart_at: START,
                life: 0,
            });
            world.start(index);
        }
        for index in 0..world.upstreams.len() {
            world.schedule(STEP_MS, Action::Step(index));
        }
        world.run_for(500);
        world
    }

    /// Stops an instance for a while; what comes for it waits.
    pub fn freeze_instance(&mut self, index: usize, millis: u64) {
        self.instances[index].frozen_until = self.timeline.now().after(millis);
    }

    /// Ends an instance without notice and starts another in its place after a second.
    pub fn kill_instance(&mut self, index: usize) {
        let life = self.instances[index].life;
        self.instances[index].core = None;
        self.instances[index].life += 1;
        for upstream in 0..self.upstreams.len() {
            let readers = self.upstreams[upstream].readers(life * self.instances.len() + index);
            for reader in readers {
                self.schedule(1, Action::Arrive(upstream, Arrival::Closed(reader)));
            }
        }
        for asker in 0..self.askers.len() {
            let cut = self.askers[asker].instance == index;
            if cut && self.askers[asker].connection.take().is_some() {
                self.come_back(asker);
            }
        }
        self.instances[index].restart_at = self.timeline.now().after(RESTART_MS);
    }

    /// Changes how an upstream behaves.
    pub fn set_mode(&mut self, index: usize, mode: Mode) {
        self.upstreams[index].mode = mode;
        if matches!(mode, Mode::Dead | Mode::Silent) {
            let readers = self.upstreams[index].end();
            if mode == Mode::Dead {
                for reader in readers {
                    self.say(reader, Said::Failed(Failure::Broken));
                }
            }
        }
    }

    /// Puts every upstream on the platform's list as staying.
    pub fn stay(&mut self) {
        self.left.fill(None);
    }

    /// Puts an upstream on the platform's list as leaving.
    pub fn leave(&mut self, index: usize) {
        self.left[index] = Some(self.timeline.now());
    }

    /// Runs until a condition holds or time is over; whether it holds.
    pub fn run_until(&mut self, millis: u64, holds: impl Fn(&Self) -> bool) -> bool {
        let end = self.timeline.now().after(millis);
        while !holds(self) {
            let Some(action) = self.timeline.next(end) else {
                return false;
            };
            self.act(action);
            self.impatient();
        }
        true
    }

    /// Runs for some time.
    pub fn run_for(&mut self, millis: u64) {
        self.run_until(millis, |_| false);
    }

    /// Checks what must hold at the end of a run.
    pub fn check_end(&mut self) {
        for index in 0..self.askers.len() {
            let asker = &self.askers[index];
            let runs: Vec<&fake::Run> = self
                .upstreams
                .iter()
                .flat_map(|upstream| &upstream.runs)
                .filter(|run| run.payload == asker.payload)
                .collect();
            let from_start = runs.iter().filter(|run| run.prefix == 0).count();
            let mut wrong = Vec::new();
            if asker.ask.once() && from_start > 1 {
                wrong.push(format!("ran {from_start} times"));
            }
            let mut numbers: Vec<u32> = runs.iter().map(|run| run.number).collect();
            numbers.sort_unstable();
            numbers.dedup();
            if asker.ask.once() && numbers.len() != runs.len() {
                wrong.push(format!("an attempt was started twice: {runs:?}"));
            }
            match asker.end {
                None => wrong.push("was never answered".into()),
                Some(End::Whole) if asker.ask.generates() => {
                    let max = asker.payload["max"].as_u64().unwrap_or(0) as usize;
                    if asker.tokens.len() != max {
                        wrong.push(format!("has {} of {max} tokens", asker.tokens.len()));
                    }
                }
                Some(End::Whole) => {}
                Some(End::Failed(kind)) => {
                    if !asker.ask.may_end_with(kind) {
                        wrong.push(format!("ended with {kind}"));
                    }
                    let claimed_not_run = kind.answer().ran == Ran::No;
                    if claimed_not_run && asker.returns == 0 && !runs.is_empty() {
                        wrong.push(format!("was refused as not run, {kind}, but ran"));
                    }
                }
            }
            if let Some(position) = token::first_wrong(&asker.payload, &asker.tokens) {
                wrong.push(format!("has a wrong token at {position}"));
            }
            let ask = asker.ask;
            self.violations.extend(
                wrong
                    .into_iter()
                    .map(|text| format!("{ask:?} {index} {text}")),
            );
        }
        for upstream in &self.upstreams {
            let running = upstream.running();
            if upstream.mode == Mode::Up && running > 0 {
                let name = &upstream.name;
                self.violations.push(format!(
                    "{name} still runs {running} requests that nobody reads"
                ));
            }
        }
        let broken: u64 = self
            .counters
            .iter()
            .filter(|(counter, _)| matches!(counter, Counter::Invariant(_)))
            .map(|(_, count)| count)
            .sum();
        if broken > 0 {
            self.violations.push(format!("{broken} invariants broken"));
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Arrive(index, arrival) => self.arrive(index, arrival),
            Action::Event(instance, life, event) => self.deliver(instance, life, event),
            Action::List(instance) => {
                let ended = self.instances[instance].core.is_none();
                if ended && self.timeline.now() >= self.instances[instance].restart_at {
                    self.start(instance);
                }
                self.list(instance);
            }
            Action::Return(asker) => self.come_back(asker),
            Action::Step(index) => {
                let mode = self.upstreams[index].mode;
                if matches!(
                    mode,
                    Mode::CutOut | Mode::Leaving | Mode::Refusing | Mode::Slow | Mode::Up
                ) {
                    for (reader, said) in self.upstreams[index].step(self.timeline.now()) {
                        if mode != Mode::CutOut {
                            self.say(reader, said);
                        }
                    }
                }
                self.schedule(STEP_MS, Action::Step(index));
            }
            Action::Tick(instance, life) => {
                if self.instances[instance].life == life {
                    self.deliver(instance, life, Event::Tick);
                    let until = self.instances[instance].frozen_until;
                    let wait = TICK_MS.max(until.since(self.timeline.now()));
                    self.schedule(wait, Action::Tick(instance, life));
                }
            }
        }
    }

    fn arrive(&mut self, index: usize, arrival: Arrival) {
        match self.upstreams[index].mode {
            Mode::Dead | Mode::Silent => {
                if let Arrival::Sent(reader, _) = arrival {
                    self.say(reader, Said::Failed(Failure::Broken));
                }
            }
            Mode::Frozen => self.schedule(STEP_MS, Action::Arrive(index, arrival)),
            mode => {
                for (reader, said) in self.upstreams[index].take(self.timeline.now(), arrival) {
                    if mode != Mode::CutOut {
                        self.say(reader, said);
                    }
                }
            }
        }
    }

    /// Carries out what a core decided.
    fn carry_out(&mut self, instance: usize, effect: Effect) {
        let reader = |attempt| Reader {
            attempt,
            instance: self.instances[instance].life * self.instances.len() + instance,
        };
        match effect {
            Effect::Cancel {
                address,
                attempt,
                stream,
            } => {
                let upstream = index_of(address);
                let closed = Arrival::Closed(reader(attempt));
                self.schedule(2, Action::Arrive(upstream, closed));
                if let Some(stream) = stream {
                    self.schedule(3, Action::Arrive(upstream, Arrival::Cancel(stream)));
                }
            }
            Effect::Quarantine(effect::Quarantine::CheckCrash {
                address,
                incarnation,
            }) => {
                let ended = match self.upstreams[index_of(address)].mode {
                    Mode::CutOut | Mode::Frozen | Mode::Silent => return,
                    mode => mode == Mode::Dead,
                };
                self.event(instance, 3, Event::CrashChecked { ended, incarnation });
            }
            Effect::Claim { claim, request } => self.claim(instance, &claim, request),
            Effect::Count(counter, count) => {
                *self.counters.entry(counter).or_default() += count;
            }
            Effect::Deliver {
                caller,
                cursor,
                tokens: pieces,
                position,
            } => {
                let tokens: Vec<u32> = pieces.iter().map(|piece| piece.id).collect();
                self.receive(caller, position, &tokens, &cursor);
            }
            Effect::Detach(attempt) => {
                let reader = reader(attempt);
                for upstream in 0..self.upstreams.len() {
                    self.schedule(2, Action::Arrive(upstream, Arrival::Closed(reader)));
                }
            }
            Effect::Fail { caller, kind, .. } => self.end(caller, End::Failed(kind)),
            Effect::Finish { caller, .. } | Effect::Reply { caller, .. } => {
                self.end(caller, End::Whole);
            }
            // Nobody relays in this world.
            Effect::ForwardResponse(_)
            | Effect::Connectivity(_)
            | Effect::LogUpstream { .. }
            | Effect::LogUpstreams { .. }
            | Effect::GossipBreakOff(_)
            | Effect::GossipLost(_)
            | Effect::GossipEnded(_)
            | Effect::CloseStream(_)
            | Effect::EndStream(_)
            | Effect::AbortStream(_)
            | Effect::GossipDemand { .. }
            | Effect::GossipLeaving { .. }
            | Effect::GossipLimit { .. }
            | Effect::LogRequest { .. }
            | Effect::ForwardHead(_)
            | Effect::GossipSpeed(_)
            | Effect::ForwardEvent { .. }
            | Effect::Quarantine(_)
            | Effect::FindStream(_)
            | Effect::Names(_)
            | Effect::GossipStream { .. }
            | Effect::Observe(..)
            | Effect::Buffering(_) => {}
            Effect::Probe { address, upstream } => self.probe(instance, address, upstream),
            Effect::Send {
                address,
                attempt,
                outbound,
                ..
            } => {
                let reader = reader(attempt);
                self.send(instance, index_of(address), reader, outbound);
            }
        }
    }

    /// Asks an upstream for its load.
    fn probe(&mut self, instance: usize, address: SocketAddr, upstream: upstream::Key) {
        let index = index_of(address);
        let alive = match self.upstreams[index].mode {
            Mode::CutOut | Mode::Frozen | Mode::Silent => return,
            Mode::Dead => false,
            _ => true,
        };
        if alive {
            let load = Load {
                leaving: self.upstreams[index].mode == Mode::Leaving,
                running: self.upstreams[index].running(),
                slots: 8,
                ..Load::default()
            };
            self.event(instance, 3, Event::Load { upstream, load });
        }
        self.event(instance, 4, Event::Probed { upstream, alive });
    }

    fn claim(&mut self, instance: usize, claim: &Claim, request: request::Key) {
        for asker in 0..self.askers.len() {
            if self.askers[asker].instance == instance && self.askers[asker].end.is_none() {
                self.askers[asker].steps.push(Step::Claiming);
            }
        }
        let wait = match self.claims.mode {
            StoreMode::Up => self.random.random_range(1..8),
            _ => CLAIM_MS,
        };
        let outcome = self.claims.settle(claim);
        self.event(instance, wait, Event::Claimed { outcome, request });
    }

    fn deliver(&mut self, instance: usize, life: usize, event: Event) {
        if self.instances[instance].life != life {
            return;
        }
        let until = self.instances[instance].frozen_until;
        if self.timeline.now() < until {
            if !matches!(event, Event::Tick) {
                self.schedule(
                    until.since(self.timeline.now()),
                    Action::Event(instance, life, event),
                );
            }
            return;
        }
        let now = self.timeline.now();
        let Some(core) = &mut self.instances[instance].core else {
            return;
        };
        for effect in core.handle(now, event) {
            self.carry_out(instance, effect);
        }
    }

    pub(crate) fn event(&mut self, instance: usize, wait: u64, event: Event) {
        let life = self.instances[instance].life;
        self.schedule(wait, Action::Event(instance, life, event));
    }

    fn list(&mut self, instance: usize) {
        let listed = (0..self.upstreams.len())
            .map(|index| ListEntry {
                born: 0,
                data_centre: String::new(),
                address: address_of(index),
                leaving: self.left[index].is_some(),
                name: self.upstreams[index].name.clone(),
                pool: pool_of(index, self.engines).into(),
                registered_at: Position::default(),
                slots: 0,
                version: String::new(),
            })
            .chain((0..self.instances.len()).map(|index| ListEntry {
                born: 0,
                data_centre: String::new(),
                address: address_of(1_000 + index),
                leaving: false,
                name: format!("entry-{index}"),
                pool: wellplank_core::core::INSTANCE_POOL.into(),
                registered_at: Position::default(),
                slots: 0,
                version: String::new(),
            }))
            .collect();
        let event = Event::List {
            requested_at: self.timeline.now(),
            entries: Some(listed),
        };
        self.event(instance, 1, event);
        self.schedule(LIST_MS, Action::List(instance));
    }

    /// Something an upstream says travels to its reader; a connection keeps its order.
    fn say(&mut self, reader: Reader, said: Said) {
        let (life, instance) = (
            reader.instance / self.instances.len(),
            reader.instance % self.instances.len(),
        );
        if self.instances[instance].life != life {
            return;
        }
        let attempt = reader.attempt;
        let event = match said {
            Said::Failed(failure) => Event::Failed { attempt, failure },
            Said::Finished(position) => Event::GenerationFinished {
                attempt,
                position,
                reason: "length".into(),
            },
            Said::Replied => Event::Replied {
                attempt,
                body: Vec::new(),
                status: 200,
            },
            Said::Tokens(position, pieces) => Event::Tokens {
                attempt,
                tokens: pieces,
                position,
            },
        };
        self.event(instance, 2, event);
    }

    pub(crate) fn schedule(&mut self, wait: u64, action: Action) {
        self.timeline.schedule(wait, action);
    }

    fn send(&mut self, instance: usize, index: usize, reader: Reader, outbound: Outbound) {
        let late = self.left[index].is_some_and(|left| self.timeline.now().since(left) > LEAVE_MS);
        if late && !matches!(outbound, Outbound::Attach { .. }) {
            self.violations
                .push(format!("{index} got work long after it began to leave"));
        }
        for asker in &mut self.askers {
            let payload = match &outbound {
                Outbound::Attach { .. } | Outbound::Relay { .. } => continue,
                Outbound::Call { payload, .. } | Outbound::Generate { payload, .. } => payload,
            };
            if asker.payload.to_string().as_bytes() == &payload[..] {
                let continues =
                    matches!(&outbound, Outbound::Generate { prefix, .. } if !prefix.is_empty());
                asker.sent_to = Some(index);
                asker.steps.push(if continues {
                    Step::Continuing
                } else {
                    Step::Sent
                });
            }
        }
        let failure = |failure| Event::Failed {
            attempt: reader.attempt,
            failure,
        };
        match self.upstreams[index].mode {
            Mode::Dead => self.event(instance, 2, failure(Failure::NotSent)),
            Mode::Silent => self.event(instance, CONNECT_MS, failure(Failure::NotSent)),
            _ => {
                let wait = self.random.random_range(1..4);
                self.schedule(wait, Action::Arrive(index, Arrival::Sent(reader, outbound)));
            }
        }
    }

    fn start(&mut self, instance: usize) {
        let seed = self.random.random();
        let core = Core::new(self.settings.clone(), SECRET, seed, self.timeline.now());
        self.instances[instance].core = Some(core);
        let life = self.instances[instance].life;
        let config = Arc::new(configuration());
        self.event(instance, 1, Event::Config(config));
        self.schedule(1, Action::Tick(instance, life));
        if life == 0 {
            self.schedule(1, Action::List(instance));
        }
    }
}

fn address_of(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], index as u16 + 1))
}

fn index_of(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

fn pool_of(index: usize, engines: usize) -> &'static str {
    if index < engines { "runner" } else { "yard" }
}
