//! Upstreams that fall silent for a time and go on, or freeze for good, or queue requests without a sign, in virtual time:
//! several cores that share upstreams with few slots, and callers that keep them full.

use super::*;
use rand::RngExt;
use std::{
    collections::{BTreeMap, VecDeque},
    net::SocketAddr,
    sync::Arc,
};
use timeline::Timeline;
use wellplank_core::{
    attempt,
    clock::Time,
    config::{self, Policy, Priority, Service, Target},
    core::Core,
    effect::{self, Effect, Outbound},
    event::{Event, Failure, ListEntry},
    kind::Kind,
    members::View,
    position::Position,
    request::{Caller, Relay},
    settings::{RetryBound, Settings},
    upstream::{self, Load},
};

/// Start of virtual time.
const START: Time = Time(1_800_000_000_000);

/// Time on the way between instances, and to upstreams, in milliseconds.
const WAY_MS: u64 = 1;

/// Events of a stream, and the interval between them in milliseconds.
const EVENTS: u64 = 60;
const INTERVAL_MS: u64 = 50;

/// Time to the first event in milliseconds.
const PREFILL_MS: u64 = 100;

/// Time in which the first event is wanted, and the time that callers wait, in milliseconds.
const OBJECTIVE_MS: u64 = 10_000;
const PATIENCE_MS: u64 = 25_000;

/// Largest number of events beyond those that a stream has where upstreams queue, so that not all take the same time: they
/// take 3 to 5 s.
const EVENTS_MORE: u64 = 40;

/// Time within which the first requests arrive where upstreams queue, in milliseconds.
const BURST_MS: u64 = 300;

/// Tokens of a request where upstreams queue. By them instances learn the time of a prefill.
const TOKENS: u32 = 200;

/// Time between the starts of two silences, in milliseconds.
const TURN_MS: u64 = 1_500;

/// Bound on attempts beyond the first.
const BOUND: RetryBound = RetryBound {
    extra: 150.0,
    ratio: 0.8,
    window_ms: 10_000,
};

/// What silent upstreams do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Silence {
    /// They go on after this many milliseconds, and deliver what they held back.
    Pause(u64),
    /// They are frozen for this many milliseconds; then their connections break, and they are empty.
    Freeze(u64),
}

/// What instances are told of the slots of upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Told {
    /// Their number, in the entries of the list.
    Listed,
    /// The same, and how many requests run and wait, beside each answer.
    Load,
    /// Nothing.
    Nothing,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Whether streams have copies at other upstreams.
    pub copies: bool,
    /// Callers per slot.
    pub fill: f64,
    /// Instances, each with a core.
    pub instances: usize,
    /// Time for which callers come, in milliseconds.
    pub millis: u64,
    /// Requests that an upstream queues beyond its slots; it sends nothing on them until their turn.
    pub queue: usize,
    /// Seed of every random choice.
    pub seed: u64,
    /// What upstreams do that fall silent.
    pub silence: Silence,
    /// Upstreams that fall silent at a time, of all.
    pub silent: f64,
    /// Slots of an upstream.
    pub slots: usize,
    /// What instances are told of the slots.
    pub told: Told,
    /// Upstreams.
    pub upstreams: usize,
}

/// What came of it, in streams unless stated otherwise.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Outcome {
    /// Attempts beyond the first.
    pub attempts_more: usize,
    /// Whose response head was forwarded.
    pub begun: usize,
    /// Begun and ended by the instance before they were whole.
    pub cut: usize,
    /// Of those cut, those with more than 5 s left.
    pub cut_early: usize,
    /// Failed as `upstream_failed` before they had begun, with over half of their time left.
    pub failed_early: usize,
    /// Times in milliseconds after which attempts left upstreams that had frozen, from the later of their start and the freeze.
    pub left_frozen_ms: Vec<u64>,
    /// Attempts that left an upstream which was not silent, before it had sent the response head.
    pub left_sound: usize,
    /// Whole with a pause of over 3 s between two events.
    pub paused: usize,
    /// Refused before they had begun.
    pub refused: usize,
    /// Of those refused, those whose first event was no longer wanted when they were.
    pub refused_late: usize,
    /// Attempts that upstreams rejected for lack of a slot.
    pub rejected: usize,
    /// Runs of begun streams that an instance cancelled although the upstream was sound.
    pub begun_left_sound: usize,
    /// Begun streams that got another event after their run was lost.
    pub resumed: usize,
    /// Sum of the times between the last event of a run that was lost and the next event, in milliseconds.
    pub resumed_ms: u64,
    /// The longest of these times, in milliseconds.
    pub resumed_max_ms: u64,
    /// Begun streams that an upstream refused at least once before they got another event.
    pub refused_begun: usize,
    /// Sum of the times between the last event of their lost run and the next event, in milliseconds.
    pub refused_begun_ms: u64,
    /// The longest of these times, in milliseconds.
    pub refused_begun_max_ms: u64,
    /// Complete.
    pub whole: usize,
    /// Whole, begun within the time wanted, and with no pause of over 3 s.
    pub in_time: usize,
}

enum Action {
    Arrive(usize),
    Ask(usize),
    Broken(usize),
    Silence,
    Step(usize),
    Tell(usize, Event),
    Tick(usize),
    Wake(usize, bool),
}

#[derive(Clone, Copy, Debug)]
struct Asker {
    begun: bool,
    asked_at: Time,
    first_at: Option<Time>,
    instance: usize,
    last_at: Time,
    longest_ms: u64,
    lost_at: Option<Time>,
    rejections: usize,
    sent: usize,
}

/// How far an upstream is with a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// It has not taken it up.
    Asked,
    /// It has sent nothing.
    Accepted,
    /// It has sent the response head.
    Open,
    /// It waits for a slot there.
    Queued,
}

/// A run of a stream at an upstream.
#[derive(Clone, Copy, Debug)]
struct Run {
    asker: usize,
    attempt: attempt::Key,
    cancelled: bool,
    ended: bool,
    /// Position of its last event.
    last: u64,
    instance: usize,
    next: u64,
    sent_at: Time,
    stage: Stage,
    upstream: usize,
}

struct World {
    askers: Vec<Asker>,
    callers: BTreeMap<Caller, usize>,
    cores: Vec<Core>,
    /// Keys of the upstreams that an instance has sent something, by instance.
    known: Vec<BTreeMap<usize, upstream::Key>>,
    next: u64,
    outcome: Outcome,
    plan: Plan,
    /// Runs that wait for slots, by upstream.
    queues: Vec<VecDeque<usize>>,
    random: Pcg64Mcg,
    runs: Vec<Run>,
    /// Runs that hold slots, by upstream.
    slots: Vec<Vec<usize>>,
    /// What upstreams have yet to do once they are awake.
    held: Vec<Vec<usize>>,
    silent: Vec<bool>,
    /// When upstreams last fell silent.
    silent_since: Vec<Time>,
    timeline: Timeline<Action>,
    turn: usize,
}

/// Plays silences, and returns what callers got.
pub fn run(plan: Plan) -> Outcome {
    let mut world = World::new(plan);
    let end = START.after(plan.millis + PATIENCE_MS + 1_000);
    while let Some(action) = world.timeline.next(end) {
        world.act(action);
    }
    world.outcome
}

fn service(copies: bool) -> Service {
    Service {
        deadline_ms: PATIENCE_MS,
        max_wait_ms: OBJECTIVE_MS / 4,
        name: "summary".into(),
        policy: Policy::Resources,
        priority: Priority::Normal,
        repeatable: true,
        target: Target::Relay(config::Relay {
            attempts_max: 5,
            copies,
            memory_tokens: 0,
            objective_ms: OBJECTIVE_MS,
            event_interval_objective_ms: 2_000,
            priority: config::DEFAULT_PRIORITY,
            pool: "upstreams".into(),
            resumable: true,
            streams: true,
        }),
    }
}

fn address(upstream: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], upstream as u16 + 1))
}

impl World {
    fn new(plan: Plan) -> Self {
        let settings = Settings {
            probes: false,
            retry: BOUND,
            ..Settings::default()
        };
        let core = |index| {
            let seed = plan.seed * 1_000 + index as u64;
            let core = Core::new(settings.clone(), [0; 32], seed, START);
            core.in_data_centre(&format!("dc-{}", index % 3))
        };
        let mut world = Self {
            askers: Vec::new(),
            callers: BTreeMap::new(),
            cores: (0..plan.instances).map(core).collect(),
            held: vec![Vec::new(); plan.upstreams],
            known: vec![BTreeMap::new(); plan.instances],
            next: 0,
            outcome: Outcome::default(),
            plan,
            queues: vec![VecDeque::new(); plan.upstreams],
            random: Pcg64Mcg::seed_from_u64(plan.seed),
            runs: Vec::new(),
            silent: vec![false; plan.upstreams],
            silent_since: vec![START; plan.upstreams],
            slots: vec![Vec::new(); plan.upstreams],
            timeline: Timeline::new(START),
            turn: 0,
        };
        let listed = |index| ListEntry {
            address: address(index),
            born: 0,
            data_centre: format!("dc-{}", index % 3),
            leaving: false,
            name: format!("upstream-{index}"),
            pool: "upstreams".into(),
            registered_at: Position::default(),
            slots: match plan.told {
                Told::Listed | Told::Load => plan.slots as u32,
                Told::Nothing => 0,
            },
            version: String::new(),
        };
        let list: Vec<ListEntry> = (0..plan.upstreams).map(listed).collect();
        for instance in 0..plan.instances {
            let configuration = ask::configuration(service(plan.copies));
            world.tell(instance, Event::Config(Arc::new(configuration)));
            let view = View::numbered(instance as u64, plan.instances as u64);
            world.tell(instance, Event::Instances(view));
            let entries = Some(list.clone());
            let requested_at = START;
            world.tell(
                instance,
                Event::List {
                    requested_at,
                    entries,
                },
            );
            let first = 1 + instance as u64 % 10;
            world.timeline.schedule(first, Action::Tick(instance));
        }
        let callers = plan.fill * (plan.upstreams * plan.slots) as f64;
        for _ in 0..callers.round() as usize {
            let spread_ms = if plan.queue == 0 { 3_000 } else { BURST_MS };
            let delay = world.random.random_range(0..spread_ms);
            world.ask_later(delay);
        }
        world.timeline.schedule(4_000, Action::Silence);
        world
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Arrive(run) => self.arrive(run),
            Action::Ask(asker) => self.ask(asker),
            Action::Broken(run) => {
                if !self.runs[run].cancelled {
                    self.record_loss(run);
                    let Run {
                        attempt, instance, ..
                    } = self.runs[run];
                    let failure = Failure::Broken;
                    self.tell(instance, Event::Failed { attempt, failure });
                }
            }
            Action::Silence => self.fall_silent(),
            Action::Step(run) => self.step(run),
            Action::Tell(instance, event) => self.tell(instance, event),
            Action::Tick(instance) => {
                self.tell(instance, Event::Tick);
                self.timeline.schedule(10, Action::Tick(instance));
            }
            Action::Wake(upstream, ends) => self.wake(upstream, ends),
        }
    }

    /// Has a new caller ask after a time.
    fn ask_later(&mut self, delay_ms: u64) {
        let now = self.timeline.now();
        if now.since(START) > self.plan.millis {
            return;
        }
        let instance = self.random.random_range(0..self.cores.len());
        self.askers.push(Asker {
            asked_at: now.after(delay_ms),
            begun: false,
            first_at: None,
            instance,
            last_at: now,
            longest_ms: 0,
            lost_at: None,
            rejections: 0,
            sent: 0,
        });
        self.timeline
            .schedule(delay_ms, Action::Ask(self.askers.len() - 1));
    }

    fn ask(&mut self, index: usize) {
        self.next += 1;
        let caller = Caller(self.next);
        self.callers.insert(caller, index);
        let relay = Relay {
            max_answer_tokens: 0,
            bytes: 100,
            host: ask::HOST.into(),
            path: ask::PATH.into(),
            timeout_ms: Some(PATIENCE_MS),
            position: 0,
            prompt: index as u64 + 1,
            resumes: None,
            run: self.next.to_string().into(),
            tokens: if self.plan.queue == 0 { 0 } else { TOKENS },
        };
        let instance = self.askers[index].instance;
        let submission = Box::new(ask::submission(caller, relay));
        self.tell(instance, Event::Submit(submission));
    }

    fn tell(&mut self, instance: usize, event: Event) {
        let effects = self.cores[instance].handle(self.timeline.now(), event);
        for effect in effects {
            self.carry_out(instance, effect);
        }
    }

    fn tell_others(&mut self, instance: usize, event: &Event) {
        for other in (0..self.cores.len()).filter(|other| *other != instance) {
            let told = Action::Tell(other, event.clone());
            self.timeline.schedule(WAY_MS, told);
        }
    }

    fn carry_out(&mut self, instance: usize, effect: Effect) {
        let now = self.timeline.now();
        match effect {
            Effect::GossipBreakOff(life) => {
                self.tell_others(instance, &Event::PeerLoss(life));
                self.tell_others(instance, &Event::PeerBreakOff(life));
            }
            Effect::GossipLost(life) => {
                self.tell_others(instance, &Event::PeerLoss(life));
            }
            Effect::GossipEnded(lives) => self.tell_others(instance, &Event::PeerEnds(lives)),
            Effect::GossipSpeed(speed) => self.tell_others(instance, &Event::PeerSpeed(speed)),
            Effect::GossipStream { record, .. } => {
                self.tell_others(instance, &Event::PeerStream(record));
            }
            Effect::Cancel { attempt, .. } => self.cancel(instance, attempt),
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
                let told = Action::Tell(instance, checked);
                self.timeline.schedule(2 * WAY_MS, told);
            }
            Effect::ForwardHead(caller) => {
                let asker = self.callers[&caller];
                self.askers[asker].begun = true;
                self.askers[asker].last_at = now;
                self.outcome.begun += 1;
            }
            Effect::ForwardEvent { caller, .. } => {
                let index = self.callers[&caller];
                self.record_resumption(index);
                let asker = &mut self.askers[index];
                asker.first_at.get_or_insert(now);
                asker.longest_ms = asker.longest_ms.max(now.since(asker.last_at));
                asker.last_at = now;
            }
            Effect::EndStream(caller) => self.record_whole(caller),
            Effect::AbortStream(caller) => {
                let Some(index) = self.callers.remove(&caller) else {
                    return;
                };
                let waited = now.since(self.askers[index].asked_at);
                self.outcome.cut += 1;
                self.outcome.cut_early += usize::from(waited + 5_000 < PATIENCE_MS);
                self.come_back(100);
            }
            Effect::Fail {
                caller,
                kind,
                retry_after_ms,
                ..
            } => {
                self.record_failure(caller, kind);
                self.come_back(retry_after_ms.unwrap_or(1_000));
            }
            Effect::Send {
                address,
                attempt,
                outbound:
                    Outbound::Relay {
                        caller, position, ..
                    },
                upstream: key,
            } => {
                let upstream = usize::from(address.port()) - 1;
                self.known[instance].insert(upstream, key);
                let asker = self.callers[&caller];
                let sent = &mut self.askers[asker].sent;
                self.outcome.attempts_more += usize::from(*sent > 0);
                *sent += 1;
                self.runs.push(Run {
                    asker,
                    attempt,
                    cancelled: false,
                    ended: false,
                    last: EVENTS + self.events_more(asker),
                    instance,
                    next: position + 1,
                    sent_at: now,
                    stage: Stage::Asked,
                    upstream,
                });
                let run = self.runs.len() - 1;
                self.timeline.schedule(WAY_MS, Action::Arrive(run));
            }
            _ => {}
        }
    }

    /// Records a stream that is complete.
    fn record_whole(&mut self, caller: Caller) {
        let Some(index) = self.callers.remove(&caller) else {
            return;
        };
        let asker = self.askers[index];
        let first_at = asker.first_at.unwrap_or(self.timeline.now());
        let is_paused = asker.longest_ms > 3_000;
        let wait = first_at.since(asker.asked_at);
        self.outcome.whole += 1;
        self.outcome.paused += usize::from(is_paused);
        self.outcome.in_time += usize::from(!is_paused && wait <= OBJECTIVE_MS);
        self.come_back(100);
    }

    /// Records a request that failed before it had begun.
    fn record_failure(&mut self, caller: Caller, kind: Kind) {
        let Some(index) = self.callers.remove(&caller) else {
            return;
        };
        let waited = self.timeline.now().since(self.askers[index].asked_at);
        self.outcome.refused += 1;
        self.outcome.refused_late += usize::from(waited > OBJECTIVE_MS);
        let is_early = 2 * waited < PATIENCE_MS;
        self.outcome.failed_early += usize::from(is_early && kind == Kind::UpstreamFailed);
    }

    /// Events that a stream has beyond the fewest.
    fn events_more(&self, asker: usize) -> u64 {
        if self.plan.queue == 0 {
            return 0;
        }
        asker as u64 * 7 % (EVENTS_MORE + 1)
    }

    fn come_back(&mut self, millis: u64) {
        let delay_ms = self.random.random_range(millis..=2 * millis);
        self.ask_later(delay_ms);
    }

    /// A request arrives at an upstream, which takes it up if it is awake.
    fn arrive(&mut self, run: usize) {
        let upstream = self.runs[run].upstream;
        if self.silent[upstream] {
            self.held[upstream].push(run);
            return;
        }
        let Run {
            attempt,
            cancelled,
            instance,
            ..
        } = self.runs[run];
        if cancelled {
            return;
        }
        let is_full = self.slots[upstream].len() >= self.plan.slots;
        if is_full && self.queues[upstream].len() < self.plan.queue {
            self.runs[run].stage = Stage::Queued;
            self.queues[upstream].push_back(run);
            return;
        }
        if is_full {
            self.outcome.rejected += 1;
            self.askers[self.runs[run].asker].rejections += 1;
            let failure = Failure::Refused;
            self.tell(instance, Event::Failed { attempt, failure });
            return;
        }
        self.take_up(run);
    }

    /// An upstream gives a run a slot.
    fn take_up(&mut self, run: usize) {
        let upstream = self.runs[run].upstream;
        self.slots[upstream].push(run);
        self.runs[run].stage = Stage::Accepted;
        self.timeline.schedule(PREFILL_MS, Action::Step(run));
    }

    /// Sends the next event of a run.
    fn step(&mut self, run: usize) {
        let Run {
            attempt,
            cancelled,
            ended,
            instance,
            last,
            next,
            stage,
            upstream,
            ..
        } = self.runs[run];
        if ended || cancelled && !self.silent[upstream] {
            self.free(run);
            return;
        }
        if self.silent[upstream] {
            self.held[upstream].push(run);
            return;
        }
        self.runs[run].next += 1;
        if stage != Stage::Open {
            self.runs[run].stage = Stage::Open;
            self.tell(instance, Event::StreamOpened(attempt));
            self.tell_load(instance, upstream);
        }
        if next > last {
            self.runs[run].ended = true;
            self.free(run);
            let marked = true;
            self.tell(instance, Event::StreamEnded { attempt, marked });
            return;
        }
        let bytes = Arc::from(&b"event"[..]);
        let passed = Event::StreamEvent {
            attempt,
            bytes,
            position: next,
        };
        self.tell(instance, passed);
        self.timeline.schedule(INTERVAL_MS, Action::Step(run));
    }

    /// Frees the slot of a run, or its place in the queue.
    fn free(&mut self, run: usize) {
        let upstream = self.runs[run].upstream;
        self.slots[upstream].retain(|other| *other != run);
        self.queues[upstream].retain(|other| *other != run);
        self.runs[run].ended = true;
        while self.slots[upstream].len() < self.plan.slots
            && let Some(next) = self.queues[upstream].pop_front()
        {
            self.take_up(next);
        }
    }

    /// An upstream tells its load beside an answer.
    fn tell_load(&mut self, instance: usize, upstream: usize) {
        if self.plan.told != Told::Load {
            return;
        }
        let Some(key) = self.known[instance].get(&upstream).copied() else {
            return;
        };
        let load = Load {
            running: self.slots[upstream].len() as u32,
            slots: self.plan.slots as u32,
            waiting: self.queues[upstream].len() as u32,
            ..Load::default()
        };
        let upstream = key;
        self.tell(instance, Event::Load { load, upstream });
    }

    /// Records that a begun stream lost its run; returns whether its caller still waits.
    fn record_loss(&mut self, run: usize) -> bool {
        let index = self.runs[run].asker;
        let waits = self.callers.values().any(|other| *other == index);
        let asker = &mut self.askers[index];
        let is_open = self.runs[run].stage == Stage::Open;
        if !(asker.begun && waits && is_open) {
            return false;
        }
        if asker.lost_at.is_none() {
            asker.lost_at = Some(asker.last_at);
            asker.rejections = 0;
        }
        true
    }

    /// Records that a stream goes on, if its run was lost.
    fn record_resumption(&mut self, index: usize) {
        let now = self.timeline.now();
        let asker = &mut self.askers[index];
        let Some(lost_at) = asker.lost_at.take() else {
            return;
        };
        let waited = now.since(lost_at);
        let outcome = &mut self.outcome;
        outcome.resumed += 1;
        outcome.resumed_ms += waited;
        outcome.resumed_max_ms = outcome.resumed_max_ms.max(waited);
        if asker.rejections > 0 {
            outcome.refused_begun += 1;
            outcome.refused_begun_ms += waited;
            outcome.refused_begun_max_ms = outcome.refused_begun_max_ms.max(waited);
        }
    }

    /// An instance closes the connection of a run. A silent upstream learns it when it is awake.
    fn cancel(&mut self, instance: usize, attempt: attempt::Key) {
        let is_same = |run: &Run| run.instance == instance && run.attempt == attempt;
        let Some(run) = self.runs.iter().rposition(is_same) else {
            return;
        };
        self.runs[run].cancelled = true;
        self.record_departure(run);
        let is_sound = matches!(self.plan.silence, Silence::Pause(_));
        if self.record_loss(run) && is_sound {
            self.outcome.begun_left_sound += 1;
        }
        if !self.silent[self.runs[run].upstream] {
            self.free(run);
        }
    }

    /// Records an attempt that left its upstream.
    fn record_departure(&mut self, run: usize) {
        let Run {
            sent_at,
            stage,
            upstream,
            ..
        } = self.runs[run];
        let since = self.silent_since[upstream].max(sent_at);
        let left_ms = self.timeline.now().since(since);
        if !self.silent[upstream] {
            self.outcome.left_sound += usize::from(stage != Stage::Open);
        } else if matches!(self.plan.silence, Silence::Freeze(_)) {
            self.outcome.left_frozen_ms.push(left_ms);
        }
    }

    /// The next upstreams fall silent.
    fn fall_silent(&mut self) {
        if self.timeline.now().since(START) > self.plan.millis {
            return;
        }
        let count = (self.plan.silent * self.plan.upstreams as f64).round() as usize;
        for _ in 0..count {
            let upstream = self.turn % self.plan.upstreams;
            self.turn += 1;
            if std::mem::replace(&mut self.silent[upstream], true) {
                continue;
            }
            self.silent_since[upstream] = self.timeline.now();
            let (millis, ends) = match self.plan.silence {
                Silence::Pause(millis) => (millis, false),
                Silence::Freeze(millis) => (millis, true),
            };
            self.timeline.schedule(millis, Action::Wake(upstream, ends));
        }
        self.timeline.schedule(TURN_MS, Action::Silence);
    }

    /// A silent upstream goes on, or ends and begins anew.
    fn wake(&mut self, upstream: usize, ends: bool) {
        self.silent[upstream] = false;
        let held = std::mem::take(&mut self.held[upstream]);
        if ends {
            let mut lost = std::mem::take(&mut self.slots[upstream]);
            lost.extend(std::mem::take(&mut self.queues[upstream]));
            lost.extend(held);
            lost.sort_unstable();
            lost.dedup();
            for run in lost {
                self.runs[run].ended = true;
                self.timeline.schedule(WAY_MS, Action::Broken(run));
            }
            return;
        }
        for run in held {
            if self.runs[run].stage == Stage::Asked {
                self.arrive(run);
            } else {
                self.step(run);
            }
        }
    }
}
