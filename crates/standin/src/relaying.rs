//! Several cores that relay, with fakes at their edges, in virtual time and deterministic from a
//! seed. It checks what must always hold while it runs.

use super::*;
use crowd::{Asker, Kind, PATIENCE_MS};
use poison::Poison;
use pool::{Call, Line, Mode, Upstream};
use std::{collections::HashSet, sync::Arc};
use timeline::Timeline;
use wellplank_core::{
    clock::Time,
    config::{self, Access, Config, Customer, Policy, Priority, Route, Service, Share, Target},
    connectivity::Path,
    core::Core,
    counter::{Counter, Timing},
    directory::{self, Audience, Lookup},
    effect::{self, Effect, Outbound},
    event::{Event, Failure},
    incarnation::Incarnation,
    kind::Ran,
    members::View,
    origin::RunId,
    quarantine::CrashHistory,
    request::Caller as Connection,
    settings::{ResumeMode, Settings},
    stream_record::{Stage, StreamRecord},
    upstream,
};
use word::Words;

/// Start of virtual time.
pub(crate) const START: Time = Time(1_800_000_000_000);

/// Events of a whole stream.
pub(crate) const EVENTS: u64 = 60;

/// Time between two ticks of a core.
const TICK_MS: u64 = 10;

/// Size up to which a fleet counts as small, as on the users' platform.
const SMALL_FLEET_MAX: usize = 12;

/// Instances that write the records of all streams to the store.
const WRITERS: usize = 2;

/// Time within which a record of a stream is in the store.
const KEEP_MS: u64 = 700;

/// Time that an instance needs to read the records of streams at its start.
const RESTORE_MS: u64 = 20;

/// Time between two reads of the list.
pub(crate) const LIST_MS: u64 = 300;

/// Versions of upstreams that serve side by side in a case, at most.
const VERSIONS_MAX: u64 = 3;

/// Virtual time that a case may take after its last fault.
const SETTLE_MS: u64 = 60_000;

/// An instance over its lives.
pub(crate) struct Instance {
    /// The unplanned ends of upstreams that it knows, and their digest.
    pub account: (u64, CrashHistory),
    pub core: Option<Core>,
    pub life: u64,
    /// Records of streams that this life has sent or was told, by the runs that began them.
    pub records: BTreeMap<RunId, StreamRecord>,
    /// When this life began.
    pub since: Time,
}

/// What is to happen.
pub(crate) enum Action {
    /// A caller asks.
    Ask(usize),
    /// A call that an upstream runs for a caller ends.
    Answer(Call),
    /// A request arrives at an upstream, which its instance knows by a key.
    Arrive(Line, upstream::Key, usize, Outbound),
    /// The connection of an attempt is closed at an upstream.
    Close(Line, usize),
    /// A record of a stream that was reported at a time is in the store.
    Keep(StreamRecord, Time),
    /// One life of an instance reads the list.
    List(usize, u64),
    /// A caller comes back, if its try of this name is still the last.
    Return(usize, u64),
    /// An upstream makes the next event of a stream.
    Step(Line, usize),
    /// An upstream that ended starts again.
    Revive(usize, u64),
    /// One life of an instance is told something.
    Tell(usize, u64, Event),
    /// Time passes for one life of an instance.
    Tick(usize, u64),
    /// An instance starts again.
    Restart(usize),
}

/// What came of one case.
#[derive(Clone, Debug, Default)]
pub struct Case {
    /// Datagrams that asked for the record of a stream.
    pub asked: usize,
    /// Connections of callers that ended without a whole answer.
    pub cut: usize,
    /// Streams that went on from a copy of their own.
    pub copies: usize,
    /// Streams that went on from the copy of another caller's stream.
    pub foreign_copies: usize,
    /// Times from the loss of a stream to its next event, in milliseconds.
    pub pauses_ms: Vec<f64>,
    /// Prompts read, one for each stream and one more each time that it was read again.
    pub prompts: usize,
    /// Streams asked for.
    pub streams: usize,
    /// Datagrams with the record of a stream.
    pub told: usize,
    /// Tries that took up a stream while two upstreams of its version served.
    pub taken_up: usize,
    /// Those of them that got an event.
    pub went_on: usize,
    /// Streams of which callers got an event.
    pub streams_begun: usize,
    /// Streams answered whole.
    pub streams_whole: usize,
    /// Requests.
    pub requests: usize,
    /// What must always hold and did not.
    pub violations: Vec<String>,
    /// Requests answered whole.
    pub whole: usize,
}

/// Several cores that relay.
pub(crate) struct World {
    pub askers: Vec<Asker>,
    pub case: Case,
    pub connections: HashMap<Connection, usize>,
    /// Instances that can make no connection to any upstream; those that they have live on.
    pub cut_off: BTreeSet<usize>,
    pub instances: Vec<Instance>,
    /// Since when instances can read the list of upstreams; `None` if they can not.
    pub listing: Option<Time>,
    /// Whether records that are not yet written to the store are lost with all instances.
    pub loses_unwritten: bool,
    /// Datagrams that are lost, of ten.
    pub lost_of_ten: u32,
    /// How many instances there are.
    pub members: u64,
    pub next: u64,
    /// Requests that end their upstreams, and what they did.
    pub poison: Poison,
    pub random: Pcg64Mcg,
    /// Runs that were told not to have run.
    pub refused: HashSet<u64>,
    /// Runs that ran, and how often.
    pub runs: HashMap<u64, usize>,
    pub settings: Settings,
    pub timeline: Timeline<Action>,
    /// How instances learn which version began a stream.
    pub learning: versions::Learning,
    /// Records of streams in the store.
    pub stored: BTreeMap<RunId, StreamRecord>,
    /// Instances through which attempts reach their upstreams.
    pub tunnels: HashMap<Line, usize>,
    pub upstreams: Vec<Upstream>,
    /// Versions of upstreams that serve side by side.
    pub versions: u64,
    /// What upstreams said beside their answers.
    pub words: Words,
}

/// Runs one case: requests of every kind and faults at any moment, together and again. Streams that are
/// lost go on in the way `resume`.
pub fn case(seed: u64, resume: ResumeMode) -> Case {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let instances = random.random_range(1..4);
    let engines = random.random_range(3..10);
    let mut world = World::new(instances, engines, resume, seed);
    world.versions = 1 + seed % VERSIONS_MAX;
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
    world.lift_limits();
    world.cut_off.clear();
    world.listing = Some(world.timeline.now());
    for instance in 0..instances {
        world.restart(instance);
    }
    world.run_for(SETTLE_MS);
    world.check_end();
    world.case
}

/// Measures what going on with lost streams is worth: the same cases in each way.
pub fn measure(cases: u64, seed: u64) {
    let mut report = report::Report::new("Relayed streams under faults, in each way to go on");
    for (name, resume) in ResumeMode::ALL {
        let mut all = Case::default();
        for seed in seed..seed + cases {
            all.add(case(seed, resume));
        }
        let streams = all.streams.max(1) as f64;
        let row = report::Row::new(name)
            .figure("streams", streams)
            .figure("whole %", 100.0 * all.streams_whole as f64 / streams)
            .quantile("pause", &all.pauses_ms, 0.5)
            .quantile("pause", &all.pauses_ms, 0.99)
            .figure("pauses", all.pauses_ms.len() as f64)
            .figure("from copies", all.copies as f64)
            .figure(
                "prompts read again/stream",
                all.prompts as f64 / streams - 1.0,
            )
            .figure("broken", all.violations.len() as f64);
        report.rows.push(row);
    }
    report.print();
}

impl Case {
    /// Adds another case.
    pub fn add(&mut self, other: Self) {
        self.copies += other.copies;
        self.foreign_copies += other.foreign_copies;
        self.pauses_ms.extend(other.pauses_ms);
        self.prompts += other.prompts;
        self.requests += other.requests;
        self.streams += other.streams;
        self.streams_begun += other.streams_begun;
        self.streams_whole += other.streams_whole;
        self.taken_up += other.taken_up;
        self.went_on += other.went_on;
        self.violations.extend(other.violations);
        self.whole += other.whole;
    }
}

pub(crate) fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], index as u16 + 1))
}

pub(crate) fn index(address: SocketAddr) -> usize {
    usize::from(address.port()) - 1
}

pub(crate) fn event(print: u64, position: u64) -> Arc<[u8]> {
    format!("{print}/{position}").into_bytes().into()
}

/// Applies the record of a stream to those that are kept.
fn keep(records: &mut BTreeMap<RunId, StreamRecord>, record: StreamRecord) {
    match record.stage {
        Stage::Ended => {
            records.remove(&record.origin);
        }
        Stage::Left => {
            if let Some(known) = records.get_mut(&record.origin) {
                known.stage = Stage::Left;
            }
        }
        Stage::Started | Stage::Streaming => {
            records.insert(record.origin, record);
        }
        Stage::Waiting => {}
    }
}

fn configuration() -> Config {
    let route = |prefix: &str, pool: &str, repeatable, streams| {
        let relay = config::Relay {
            attempts_max: if streams { 5 } else { 2 },
            copies: streams,
            memory_tokens: if streams { 55_000 } else { 0 },
            objective_ms: 1_000,
            event_interval_objective_ms: 0,
            priority: config::DEFAULT_PRIORITY,
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
    let customer = |key: &str, name: &str| {
        let customer = Customer {
            name: name.into(),
            ..Customer::anonymous()
        };
        (key.to_owned(), Arc::new(customer))
    };
    Config {
        access: Access::Keys(
            [
                customer(crowd::KEY, "mill"),
                customer(alike::OTHER_KEY, "loom"),
            ]
            .into(),
        ),
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
    /// Instances before engines and two plain services.
    pub fn new(instances: usize, engines: usize, resume: ResumeMode, seed: u64) -> Self {
        let settings = Settings {
            probes: false,
            relay_resume: resume,
            ..Settings::default()
        };
        let mut world = Self {
            askers: Vec::new(),
            case: Case::default(),
            connections: HashMap::new(),
            cut_off: BTreeSet::new(),
            instances: Vec::new(),
            listing: Some(START),
            loses_unwritten: false,
            lost_of_ten: 1,
            members: instances as u64,
            next: 0,
            poison: Poison::default(),
            random: Pcg64Mcg::seed_from_u64(seed ^ 1),
            refused: HashSet::new(),
            runs: HashMap::new(),
            settings,
            timeline: Timeline::new(START),
            learning: versions::Learning::Stored,
            stored: BTreeMap::new(),
            tunnels: HashMap::new(),
            upstreams: (0..engines + 2)
                .map(|index| Upstream::new(index >= engines))
                .collect(),
            versions: 1,
            words: Words::default(),
        };
        for index in 0..instances {
            world.instances.push(Instance {
                account: Default::default(),
                core: None,
                life: 0,
                records: BTreeMap::new(),
                since: START,
            });
            world.restart(index);
        }
        world
    }

    pub fn broken(&mut self, text: impl std::fmt::Display) {
        let at = self.timeline.now().since(START);
        self.case.violations.push(format!("{at} ms: {text}"));
    }

    /// Causes a fault, or ends one.
    fn cause(&mut self) {
        let upstream = self.random.random_range(0..self.upstreams.len());
        let instance = self.random.random_range(0..self.instances.len());
        match self.random.random_range(0..22) {
            0 => self.set(upstream, Mode::Down),
            1 => self.set(upstream, Mode::Silent),
            2 => {
                self.ask_for_rest(upstream);
                self.set(upstream, Mode::Refusing);
            }
            3 => self.set(upstream, Mode::Faulty),
            4 => self.kill(instance),
            5 => self.leave_connections(),
            6 | 12 => self.upstreams[upstream].leaving = Some(self.timeline.now()),
            14 | 15 => self.name_limit(upstream),
            16 => {
                for index in 0..self.upstreams.len() {
                    self.name_limit(index);
                }
            }
            17 => self.lift_limits(),
            19 => {
                self.cut_off.insert(instance);
            }
            20 => self.cut_off.clear(),
            8 | 13 => self.listing = None,
            9 => self.listing = Some(self.timeline.now()),
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

    /// An instance ends at once.
    pub fn kill(&mut self, index: usize) {
        self.instances[index].core = None;
        let life = self.instances[index].life;
        for upstream in &mut self.upstreams {
            upstream
                .streams
                .retain(|line, _| line.instance != index || line.life != life);
        }
        self.break_tunnels(index);
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

    /// Ends the tunnels through an instance.
    fn break_tunnels(&mut self, gateway: usize) {
        let through = |_: &Line, instance: &mut usize| *instance == gateway;
        let lines: Vec<Line> = self
            .tunnels
            .extract_if(through)
            .map(|(line, _)| line)
            .collect();
        for line in lines {
            for upstream in &mut self.upstreams {
                upstream.streams.remove(&line);
            }
            self.fail(line, Failure::Broken);
        }
    }

    /// Makes the connection of an attempt; returns whether it could be made.
    pub fn connect(&mut self, line: Line, upstream: usize, path: Path) -> bool {
        let gateway = match path {
            Path::Direct => line.instance,
            Path::Tunnel(instance) => instance as usize,
        };
        let is_tunnel = path != Path::Direct;
        let is_gateway_cut = self.cut_off.contains(&gateway);
        if is_tunnel && (is_gateway_cut || self.instances[gateway].core.is_none()) {
            let core = self.instances[gateway].core.as_mut();
            let named = core.and_then(Core::known_gateway);
            self.fail(line, Failure::NoTunnel { named });
            return false;
        }
        if is_gateway_cut || self.upstreams[upstream].mode == Mode::Down {
            self.fail(line, Failure::NotSent);
            return false;
        }
        if is_tunnel {
            self.tunnels.insert(line, gateway);
        }
        self.event(line, Event::Connected(line.attempt));
        true
    }

    pub fn restart(&mut self, index: usize) {
        if self.instances[index].core.is_some() {
            return;
        }
        let settings = self.settings.clone();
        let life = self.instances[index].life + 1;
        let seed = self.random.random();
        let core = Core::new(settings, [0; 32], seed, self.timeline.now());
        let home = format!("dc-{}", index % 3);
        self.instances[index] = Instance {
            account: Default::default(),
            core: Some(core.in_data_centre(&home).restoring_streams()),
            life,
            records: BTreeMap::new(),
            since: self.timeline.now(),
        };
        self.tell(index, Event::Config(Arc::new(configuration())));
        let view = View::numbered(index as u64, self.members);
        self.tell(index, Event::Instances(view));
        if self.poison.store {
            let kept = self.poison.kept.clone();
            self.tell(index, Event::CrashReported(kept.into()));
        }
        self.restore_streams(index);
        self.timeline.schedule(0, Action::List(index, life));
        self.timeline.schedule(1, Action::Tick(index, life));
    }

    /// An instance reads from the store which streams ran before its start.
    fn restore_streams(&mut self, index: usize) {
        let life = self.instances[index].life;
        let is_stored = self.learning == versions::Learning::Stored;
        let stored = self.stored.values().filter(|_| is_stored);
        let records = stored.cloned().map(Event::PeerStream);
        let events: Vec<Event> = records.chain([Event::StreamsRestored]).collect();
        for event in events {
            let action = Action::Tell(index, life, event);
            self.timeline.schedule(RESTORE_MS, action);
        }
    }

    pub fn fail(&mut self, line: Line, failure: Failure) {
        let attempt = line.attempt;
        self.event(line, Event::Failed { attempt, failure });
    }

    pub fn event(&mut self, line: Line, event: Event) {
        let action = Action::Tell(line.instance, line.life, event);
        self.timeline.schedule(1, action);
    }

    pub fn run_for(&mut self, millis: u64) {
        let end = self.timeline.now().after(millis);
        while let Some(action) = self.timeline.next(end) {
            self.act(action);
        }
    }

    /// Whether a record that was reported at a time is written to the store: where it is lost with them, by an instance that has
    /// lived since.
    fn is_written(&self, reported: Time) -> bool {
        let has_lived = |one: &Instance| one.core.is_some() && one.since <= reported;
        !self.loses_unwritten || self.instances.iter().any(has_lived)
    }

    fn lives(&self, instance: usize, life: u64) -> bool {
        self.instances[instance].life == life && self.instances[instance].core.is_some()
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Answer(call) => self.reply(call),
            Action::Arrive(line, key, upstream, outbound) => {
                self.arrive(line, key, upstream, &outbound);
            }
            Action::Ask(asker) => self.submit(asker),
            Action::Close(line, upstream) => {
                self.upstreams[upstream].streams.remove(&line);
            }
            Action::Keep(record, reported) if self.is_written(reported) => {
                keep(&mut self.stored, record);
            }
            Action::List(instance, life) if self.lives(instance, life) => {
                if self.listing.is_some() {
                    let listed = Some(self.listed());
                    let asked = self.timeline.now();
                    self.tell(
                        instance,
                        Event::List {
                            requested_at: asked,
                            entries: listed,
                        },
                    );
                }
                self.timeline
                    .schedule(LIST_MS, Action::List(instance, life));
            }
            Action::Restart(instance) => self.restart(instance),
            Action::Return(asker, run) => {
                if self.askers[asker].run == run {
                    self.come_back(asker);
                }
            }
            Action::Revive(upstream, life) => {
                if self.upstreams[upstream].life == life {
                    self.set(upstream, Mode::Good);
                }
            }
            Action::Step(line, upstream) => self.step(line, upstream),
            Action::Tell(instance, life, event) if self.lives(instance, life) => {
                self.tell(instance, event);
            }
            Action::Tick(instance, life) if self.lives(instance, life) => {
                self.tell(instance, Event::Tick);
                let pause = self.poison.tick_ms.unwrap_or(TICK_MS);
                self.timeline.schedule(pause, Action::Tick(instance, life));
            }
            // The instance has ended.
            Action::Keep(..) | Action::List(..) | Action::Tell(..) | Action::Tick(..) => {}
        }
    }

    pub fn tell(&mut self, instance: usize, event: Event) {
        let now = self.timeline.now();
        let told = match &event {
            Event::PeerStream(record) => std::slice::from_ref(record),
            Event::StreamsFound(records) => &records[..],
            _ => &[],
        };
        for record in told {
            keep(&mut self.instances[instance].records, record.clone());
        }
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
            Effect::ForwardResponse(caller) => self.end(caller, true),
            Effect::GossipBreakOff(life) => self.gossip_break_off(instance, life),
            Effect::GossipLost(life) => self.gossip(instance, &Event::PeerLoss(life)),
            Effect::GossipEnded(lives) => self.gossip(instance, &Event::PeerEnds(lives)),
            Effect::Cancel {
                address, attempt, ..
            } => {
                let close = Action::Close(line(attempt), index(address));
                self.timeline.schedule(1, close);
            }
            Effect::Connectivity(effect) => self.check_connection(instance, effect),
            Effect::Quarantine(effect::Quarantine::CheckCrash {
                address,
                incarnation,
            }) => {
                let upstream = &self.upstreams[index(address)];
                let name = format!("{}-{}", index(address), upstream.life);
                let runs = upstream.mode != Mode::Down && Incarnation::new(&name, 0) == incarnation;
                let ended = !runs || self.cut_off.contains(&instance);
                self.event_soon(instance, Event::CrashChecked { ended, incarnation });
            }
            Effect::Quarantine(effect::Quarantine::Publish(account)) => {
                self.instances[instance].account = (account.digest(), account);
            }
            Effect::Quarantine(effect::Quarantine::Refuse { evidence, own, .. }) => {
                if own && self.poison.store {
                    let _ = self.poison.kept.merge(&evidence);
                }
            }
            Effect::Quarantine(effect::Quarantine::Gossip(news)) => {
                self.gossip(instance, &Event::CrashReported(news.into()));
            }
            Effect::GossipDemand { demand, .. } => {
                let from = address(instance);
                self.gossip(instance, &Event::PeerDemand { demand, from });
            }
            Effect::GossipLeaving { incarnation, .. } => {
                self.gossip(instance, &Event::PeerLeaving(incarnation));
            }
            Effect::GossipLimit { incarnation, rate } => {
                self.gossip(instance, &Event::PeerLimit { incarnation, rate });
            }
            Effect::GossipSpeed(pace) => self.gossip(instance, &Event::PeerSpeed(pace)),
            Effect::EndStream(caller) => self.end_stream(caller),
            Effect::Count(Counter::Invariant(invariant), _) => {
                self.broken(format_args!("invariant {invariant}"));
            }
            Effect::AbortStream(caller) | Effect::CloseStream(caller) => self.end(caller, false),
            Effect::Fail { caller, kind, .. } => {
                let answer = kind.answer();
                if let Some(asker) = self.connections.get(&caller) {
                    let run = self.askers[*asker].run;
                    if answer.ran == Ran::No {
                        self.refused.insert(run);
                    }
                }
                self.refuse(caller, kind);
            }
            Effect::ForwardEvent { bytes, caller } => self.take(caller, &bytes),
            Effect::Send {
                address,
                attempt,
                outbound,
                upstream,
            } => {
                let arrive = Action::Arrive(line(attempt), upstream, index(address), outbound);
                self.timeline.schedule(1, arrive);
            }
            Effect::FindStream(lookup) => self.find_stream(instance, lookup),
            Effect::GossipStream { audience, record } => {
                keep(&mut self.instances[instance].records, record.clone());
                let keep = Action::Keep(record.clone(), self.timeline.now());
                self.timeline.schedule(KEEP_MS, keep);
                self.gossip_stream(instance, audience, record);
                self.compare_accounts(instance);
            }
            Effect::Observe(Timing::Resume, millis) => self.case.pauses_ms.push(millis as f64),
            Effect::Buffering(_)
            | Effect::LogUpstream { .. }
            | Effect::Names(_)
            | Effect::LogUpstreams { .. }
            | Effect::Claim { .. }
            | Effect::Count(..)
            | Effect::Deliver { .. }
            | Effect::Detach(_)
            | Effect::Finish { .. }
            | Effect::LogRequest(_)
            | Effect::ForwardHead(_)
            | Effect::Probe { .. }
            | Effect::Quarantine(_)
            | Effect::Reply { .. }
            | Effect::Observe(..) => {}
        }
    }

    /// An instance connects to an upstream to find out whether it can.
    fn check_connection(&mut self, instance: usize, effect: effect::Connectivity) {
        let effect::Connectivity::Check {
            address,
            started_at,
            upstream,
        } = effect
        else {
            return;
        };
        let is_down = self.upstreams[index(address)].mode == Mode::Down;
        let checked = Event::ConnectionChecked {
            connected: !is_down && !self.cut_off.contains(&instance),
            started_at,
            upstream,
        };
        self.event_soon(instance, checked);
    }

    /// Ends a stream that is said to be whole.
    fn end_stream(&mut self, caller: wellplank_core::request::Caller) {
        if let Some(asker) = self.connections.get(&caller).copied()
            && self.askers[asker].position != EVENTS
        {
            let position = self.askers[asker].position;
            self.broken(format_args!(
                "{asker} was told that it is whole at {position}"
            ));
        }
        self.end(caller, true);
    }

    /// Tells an instance something that it waits for.
    fn event_soon(&mut self, instance: usize, event: Event) {
        let life = self.instances[instance].life;
        self.timeline
            .schedule(2, Action::Tell(instance, life, event));
    }

    /// A datagram carries the digest of the ends that its sender knows: who knows others is told them all, and tells its own.
    fn compare_accounts(&mut self, from: usize) {
        for to in (0..self.instances.len()).filter(|to| *to != from) {
            let (own, other) = (&self.instances[from].account, &self.instances[to].account);
            if own.0 == other.0 || !self.poison.reaches(from, to) {
                continue;
            }
            let (own, other) = (own.1.clone(), other.1.clone());
            if self.random.random_range(0..10) >= self.lost_of_ten {
                self.event_soon(to, Event::CrashReported(own.into()));
                self.event_soon(from, Event::CrashReported(other.into()));
            }
        }
    }

    /// Whether the fleet is so large that instances are not told of first events, and few are asked for records.
    fn is_large(&self) -> bool {
        self.instances.len() > SMALL_FLEET_MAX
    }

    /// The instances that keep the record of a prompt: its holders, and those that write all records to the store.
    fn record_keepers(&self, prompt: u64) -> BTreeSet<usize> {
        let holders = directory::holders(prompt, 0..self.members);
        let holders = holders.into_iter().map(|holder| holder as usize);
        holders
            .chain(0..WRITERS.min(self.instances.len()))
            .collect()
    }

    /// Passes the record of a stream to the instances that are to have it.
    fn gossip_stream(&mut self, from: usize, audience: Audience, record: StreamRecord) {
        if self.is_large() && record.stage == Stage::Streaming {
            return;
        }
        let keepers = self.record_keepers(record.prompt);
        let is_told = |to: usize| audience == Audience::All || keepers.contains(&to);
        let event = Event::PeerStream(record);
        for to in (0..self.instances.len()).filter(|to| is_told(*to)) {
            self.case.told += 1;
            self.gossip_to(from, to, &event);
        }
    }

    /// Other instances are asked for the record of a stream; one in ten questions and answers is lost.
    fn find_stream(&mut self, from: usize, lookup: Lookup) {
        if self.learning == versions::Learning::Told {
            return;
        }
        let keepers = self.record_keepers(lookup.prompt);
        let is_large = self.is_large();
        let others = (0..self.instances.len()).filter(|to| !is_large || keepers.contains(to));
        for to in others.filter(|to| *to != from).collect::<Vec<_>>() {
            self.case.asked += 1;
            let records = self.instances[to].records.values();
            let found = records.filter(|record| lookup.finds(record.id()));
            let found: Vec<StreamRecord> = found.cloned().collect();
            let is_reached = self.instances[to].core.is_some() && self.poison.reaches(from, to);
            if !found.is_empty()
                && is_reached
                && self.random.random_range(0..10) >= 2 * self.lost_of_ten
            {
                self.event_soon(from, Event::StreamsFound(found));
            }
        }
    }

    /// Tells the others that an upstream was lost that accepted a connection and broke it off.
    fn gossip_break_off(&mut self, instance: usize, life: Incarnation) {
        self.gossip(instance, &Event::PeerLoss(life));
        self.gossip(instance, &Event::PeerBreakOff(life));
    }

    /// Passes a datagram to the other instances; one in ten is lost.
    fn gossip(&mut self, from: usize, event: &Event) {
        for to in 0..self.instances.len() {
            self.gossip_to(from, to, event);
        }
    }

    /// Passes a datagram to another instance; one in ten is lost.
    fn gossip_to(&mut self, from: usize, to: usize, event: &Event) {
        if from == to {
            return;
        }
        if self.random.random_range(0..10) >= self.lost_of_ten && self.poison.reaches(from, to) {
            let life = self.instances[to].life;
            let action = Action::Tell(to, life, event.clone());
            self.timeline.schedule(2, action);
        }
    }

    /// Checks what must hold at the end of a run.
    pub fn check_end(&mut self) {
        self.case.requests = self.askers.len();
        self.case.whole = self.askers.iter().filter(|asker| asker.whole).count();
        let streams = self
            .askers
            .iter()
            .filter(|asker| asker.kind == Kind::Stream);
        self.case.streams = streams.clone().count();
        let begun = streams.clone().filter(|asker| asker.origin.is_some());
        self.case.streams_begun = begun.count();
        self.case.streams_whole = streams.filter(|asker| asker.whole).count();
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
