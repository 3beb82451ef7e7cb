//! More calls than plain services hold, in virtual time: cores that share a few upstreams with slots and short
//! queues, callers who come back once, and what is answered in the time wanted.

use super::*;
use layout::Layout;
use limited::Limited;
use std::sync::Arc;
use timeline::Timeline;
use wellplank_core::{
    attempt,
    clock::Time,
    config::{self, Policy, Priority, Service, Target},
    core::Core,
    demand::Reach,
    effect::{Effect, Outbound},
    event::{Event, Failure, ListEntry, Verdict},
    limit::{Limit, Rate},
    members::View,
    notice::{Backoff, Notice},
    position::Position,
    request::{Caller, Relay},
    settings::{CallAdmission, CallLimits, CallPlacement, LimitHolders, Settings},
    upstream,
};

/// Start of virtual time.
const START: Time = Time(1_800_000_000_000);

/// Requests that wait at an upstream, at most, for each of its slots.
const QUEUE_PER_SLOT: usize = 4;

/// Mean of what a call takes, in milliseconds, and the deviation of its logarithm.
const WORK_MS: f64 = 60.0;
const WORK_SPREAD: f64 = 0.47;

/// Time in which an answer is wanted, in milliseconds.
const OBJECTIVE_MS: u64 = 300;

/// Time for which an instance may hold a call, and for which its caller waits in all, in milliseconds.
const HELD_MS: u64 = 2_000;
const PATIENCE_MS: u64 = 4_000;

/// Usual calls, as a part of what the slots serve.
const USUAL: f64 = 0.4;

/// Time for which there is more load than usual, in milliseconds, behind some seconds of it and before as many.
const RUSH_MS: u64 = 20_000;
const CALM_MS: u64 = 8_000;

/// Time on the way, in milliseconds.
const WAY_MS: u64 = 1;

/// Part of the datagrams that are lost.
const LOST: f64 = 0.02;

/// Requests that wait at a brittle upstream, at most, for each of its slots, and time from its first word on from which that
/// holds, in milliseconds: the users' `contact_ms`.
const BRITTLE_QUEUE_PER_SLOT: usize = 1;
const BRITTLE_AFTER_MS: u64 = 3_000;

/// Time over which a brittle upstream counts what it turns away, and for which it is down once it has fallen over, in
/// milliseconds.
const BRITTLE_WINDOW_MS: u64 = 1_000;
const DOWN_MS: u64 = 3_000;

/// Time for which a limit has held when its use is first counted, in milliseconds.
const USED_MS: u64 = 4_000;

/// Calls from which on an upstream counts as used again.
const USED_AGAIN: usize = 50;

/// Part of the words to other instances that find something else to go along with.
const CARRIED: f64 = 0.25;

/// Instances up to which all are told what those of the data centre are.
const FEW: usize = 13;

/// Callers that each wait for an answer before they ask again.
#[derive(Clone, Copy, Debug)]
pub struct Crowd {
    /// Callers, spread evenly over the instances.
    pub callers: usize,
    /// First calls that take longer, and how many times as long: connections are opened, and caches are cold.
    pub cold: (usize, f64),
    /// Time from an answer or a refusal to the next request of its caller, in milliseconds.
    pub pause_ms: u64,
}

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Requests that a brittle upstream survives to turn away in a second, if upstreams are brittle in the rush.
    pub brittle: Option<u32>,
    /// Callers in place of those that come at random, if there are any.
    pub crowd: Option<Crowd>,
    /// Instances, each with a core.
    pub instances: usize,
    /// Requests a second that some upstreams take in the rush from all instances together, and which instances have a part.
    pub limit: Option<(f64, LimitHolders)>,
    /// Upstreams that name a limit, if any do.
    pub limited: usize,
    /// Which upstreams there are, how fast they work, and where callers ask.
    pub layout: Layout,
    /// Load in the rush, over the usual.
    pub load: f64,
    /// Bounds on what upstreams are given.
    pub calls: CallLimits,
    /// Who heeds the rest that upstreams ask for.
    pub heeds: Heeds,
    /// Rest that an upstream asks for when it turns a call away, in milliseconds; 0 for none.
    pub rest_ms: u64,
    /// Seed of every random choice.
    pub seed: u64,
    /// Slots of each upstream.
    pub slots: usize,
}

/// Who gives an upstream no calls in the rest that it asked one instance for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Heeds {
    /// All instances, since the one that was asked tells them.
    All,
    /// The instance that was asked.
    Asked,
    /// None.
    Nobody,
}

/// What came of it, in calls.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Outcome {
    /// Sent to upstreams, each time.
    pub arrivals: usize,
    /// Asked for.
    pub asked: usize,
    /// Neither answered nor refused.
    pub failed: usize,
    /// Times that brittle upstreams fell over.
    pub falls: usize,
    /// The most in 4 s at an upstream with a limit, from instances that it had told.
    pub fullest: usize,
    /// Answered in the time wanted, counted from the first try.
    pub in_time: usize,
    /// Answered later.
    pub late: usize,
    /// Arrived at upstreams with limits while these held, but for a first while.
    pub limited: usize,
    /// Refused, also when their callers came back.
    pub refused: usize,
    /// Turned away by upstreams, each time.
    pub turned_away: usize,
    /// Time from the end of the limits to the first fifty calls at the upstreams that had named them, in milliseconds.
    pub used_again_ms: u64,
    /// Sent to an upstream within the rest that it asked the same instance for.
    pub within_rest: usize,
}

/// What is to happen.
enum Action {
    Arrive(usize),
    Ask(usize),
    Come,
    /// A caller of a crowd asks again.
    ComeAgain(usize),
    Done(usize),
    /// An upstream that fell over is back.
    GetUp(usize),
    Lift,
    Limit,
    /// The list of upstreams changes.
    List,
    Tell(usize, Event),
    Tick(usize),
}

/// A caller.
struct Asker {
    begun: Time,
    instance: usize,
    /// Its number in a crowd, if there is one.
    member: Option<usize>,
    state: State,
    tries: usize,
    work_ms: u64,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Answered(u64),
    Asking,
    Refused,
}

/// A call at an upstream.
struct Line {
    asker: usize,
    attempt: attempt::Key,
    instance: usize,
    /// The upstream as the instance knows it.
    key: upstream::Key,
    over: bool,
    upstream: usize,
}

/// An upstream: what runs there, and what waits.
#[derive(Clone, Debug, Default)]
struct Desk {
    is_down: bool,
    /// When it turned requests away of late.
    rejections: VecDeque<Time>,
    running: Vec<usize>,
    waiting: VecDeque<usize>,
}

struct Rush {
    askers: Vec<Asker>,
    callers: HashMap<Caller, usize>,
    cores: Vec<Core>,
    /// Upstreams as instances know them, by instance and upstream.
    keys: HashMap<(usize, usize), upstream::Key>,
    desks: Vec<Desk>,
    /// When the limits ended, and how many calls have arrived since at the upstreams that had named them.
    lifted: Option<(Time, usize)>,
    /// What upstreams with limits got, while these hold.
    limited: Vec<Limited>,
    lines: Vec<Line>,
    next: u64,
    outcome: Outcome,
    plan: Plan,
    random: Pcg64Mcg,
    /// Until when upstreams asked instances for rest, by instance and upstream.
    rests: HashMap<(usize, usize), Time>,
    timeline: Timeline<Action>,
    /// Part of all callers that each instance has, added up.
    weights: Vec<f64>,
}

/// Plays a rush of calls.
pub fn run(plan: Plan) -> Outcome {
    let mut rush = Rush::new(plan);
    let end = START.after(2 * CALM_MS + RUSH_MS + PATIENCE_MS);
    while let Some(action) = rush.timeline.next(end) {
        rush.act(action);
    }
    rush.outcome()
}

/// The most that can be answered in time: one queue before all slots, which knows everything, and takes in
/// what it can still answer in time.
pub fn ceiling(plan: Plan) -> Outcome {
    let mut random = Pcg64Mcg::seed_from_u64(plan.seed);
    let slots = plan.slots * plan.layout.homes().len();
    let mut free_at = vec![0.0_f64; slots];
    let mut outcome = Outcome::default();
    let mut at = 0.0;
    loop {
        at += gap(&plan, at as u64, &mut random);
        if at > (2 * CALM_MS + RUSH_MS) as f64 {
            return outcome;
        }
        outcome.asked += 1;
        let work = work(&mut random) as f64;
        let ends = |slot: usize| {
            let starts = free_at[slot].max(at);
            let upstream = slot / plan.slots;
            starts
                + work
                    * plan
                        .layout
                        .ceiling_slowness(plan.seed, upstream, starts as u64)
        };
        let is_used = |slot: &usize| !plan.layout.is_leaving(slot / plan.slots, at as u64);
        let first = (0..slots)
            .filter(is_used)
            .min_by(|one, other| ends(*one).total_cmp(&ends(*other)));
        let Some(slot) = first else { return outcome };
        let ends = ends(slot);
        if ends - at > OBJECTIVE_MS as f64 {
            outcome.refused += 1;
            continue;
        }
        free_at[slot] = ends;
        outcome.in_time += 1;
    }
}

/// Plays rushes with several numbers of instances, and prints what was answered.
pub fn measure(seeds: u64) {
    let ways = [
        (
            "a window at each instance",
            CallLimits {
                demand: false,
                ..CallLimits::default()
            },
        ),
        (
            "demand of all instances, by weights",
            CallLimits {
                place: CallPlacement::Weights,
                ..CallLimits::default()
            },
        ),
        (
            "the same by the rate of arrivals alone",
            CallLimits {
                admission: CallAdmission::Rate,
                ..CallLimits::default()
            },
        ),
        (
            "demand of all instances, by calls in flight",
            CallLimits {
                place: CallPlacement::Busy,
                ..CallLimits::default()
            },
        ),
    ];
    for load in [2.0, 3.0, 4.0, 6.0] {
        let title = format!("Calls at {load} times the usual for 20 s");
        let mut report = report::Report::new(&title);
        for instances in [1, 6, 74, 295] {
            for (name, calls) in ways {
                let plan = |seed| Plan {
                    instances,
                    load,
                    calls,
                    seed,
                    ..Plan::default()
                };
                report.rows.push(row(
                    &format!("{instances} instances, {name}"),
                    seeds,
                    plan,
                    run,
                ));
            }
        }
        let plan = |seed| Plan {
            load,
            seed,
            ..Plan::default()
        };
        report.rows.push(row("all known", seeds, plan, ceiling));
        report.print();
    }
}

/// Plays waves that differ by data centre before upstreams whose speed changes, and prints what was answered.
pub fn measure_uneven(seeds: u64) {
    for (leaving, load) in [(0, 1.0), (2, 1.0), (0, 1.2)] {
        let title = format!(
            "Waves of {load} times the usual before seven uneven upstreams, {leaving} of which leave"
        );
        let mut report = report::Report::new(&title);
        let layout = Layout::Uneven { leaving };
        for instances in [1, 6, 30, 74, 300] {
            for (name, place) in CallPlacement::ALL {
                let plan = |seed| Plan {
                    calls: CallLimits {
                        place,
                        ..CallLimits::default()
                    },
                    instances,
                    layout,
                    load,
                    seed,
                    ..Plan::default()
                };
                let name = format!("{instances} instances, {name}");
                report.rows.push(row(&name, seeds, plan, run));
            }
        }
        let plan = |seed| Plan {
            layout,
            load,
            seed,
            ..Plan::default()
        };
        report.rows.push(row("all known", seeds, plan, ceiling));
        report.print();
    }
}

/// Plays rushes before upstreams that ask for rest, and prints what was answered by who heeds that.
pub fn measure_rests(seeds: u64) {
    let ways = [
        ("nobody heeds it", Heeds::Nobody),
        ("who was asked", Heeds::Asked),
        ("all are told", Heeds::All),
    ];
    for (load, rest_ms) in [(2.0, 1_000), (3.0, 1_000), (3.0, 3_000), (6.0, 3_000)] {
        let title = format!("Calls at {load} times the usual for 20 s, rests of {rest_ms} ms");
        let mut report = report::Report::new(&title);
        for instances in [1, 6, 74, 295] {
            for (name, heeds) in ways {
                let plan = |seed| Plan {
                    instances,
                    load,
                    heeds,
                    rest_ms,
                    seed,
                    ..Plan::default()
                };
                let name = format!("{instances} instances, {name}");
                report.rows.push(row(&name, seeds, plan, run));
            }
        }
        report.print();
    }
}

/// Plays rushes before upstreams that name limits, and prints the most that one got in 4 s, over what the users' rule allows, and
/// how much of the limits was used.
pub fn measure_limits(seeds: u64) {
    for (limited, per_second) in [(1, 1.2), (6, 1.2), (6, 5.0), (6, 20.0)] {
        let title = format!("{limited} of 6 upstreams take {per_second} calls a second");
        let mut report = report::Report::new(&title);
        for instances in [1, 3, 6, 13, 90, 300] {
            for (name, limits) in LimitHolders::ALL {
                let plan = |seed| Plan {
                    instances,
                    limit: Some((per_second, limits)),
                    limited,
                    load: 1.0,
                    seed,
                    ..Plan::default()
                };
                let mut all = Outcome::default();
                for seed in 0..seeds {
                    all.add(&run(plan(seed)));
                }
                let name = format!("{instances} instances, {name}");
                let allowed = Limited::new(Rate((per_second * 1_000.0) as u64)).allowed();
                let holds_s = (RUSH_MS - USED_MS) as f64 / 1_000.0 * seeds as f64;
                let mean = |count: usize| count as f64 / seeds.max(1) as f64;
                report.rows.push(
                    report::Row::new(&name)
                        .figure("allowed", allowed)
                        .figure("most", all.fullest as f64)
                        .figure(
                            "used %",
                            all.limited as f64 * 100.0 / (per_second * holds_s * limited as f64),
                        )
                        .figure("used again ms", all.used_again_ms as f64)
                        .figure("asked", mean(all.asked))
                        .figure("in time", mean(all.in_time))
                        .figure("late", mean(all.late))
                        .figure("refused", mean(all.refused))
                        .figure("failed", mean(all.failed)),
                );
            }
        }
        report.print();
    }
}

fn row(
    name: &str,
    seeds: u64,
    plan: impl Fn(u64) -> Plan,
    play: fn(Plan) -> Outcome,
) -> report::Row {
    let mut all = Outcome::default();
    for seed in 0..seeds {
        all.add(&play(plan(seed)));
    }
    let mean = |count: usize| count as f64 / seeds.max(1) as f64;
    report::Row::new(name)
        .figure("asked", mean(all.asked))
        .figure("in time", mean(all.in_time))
        .figure("late", mean(all.late))
        .figure("refused", mean(all.refused))
        .figure("failed", mean(all.failed))
        .figure("arrivals", mean(all.arrivals))
        .figure("turned away", mean(all.turned_away))
        .figure("within a rest", mean(all.within_rest))
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            brittle: None,
            crowd: None,
            calls: CallLimits::default(),
            heeds: Heeds::Asked,
            instances: 1,
            layout: Layout::Even,
            limit: None,
            limited: 0,
            load: 1.0,
            rest_ms: 0,
            seed: 0,
            slots: 6,
        }
    }
}

impl Outcome {
    fn add(&mut self, other: &Self) {
        self.arrivals += other.arrivals;
        self.asked += other.asked;
        self.failed += other.failed;
        self.falls += other.falls;
        self.fullest = self.fullest.max(other.fullest);
        self.in_time += other.in_time;
        self.late += other.late;
        self.limited += other.limited;
        self.refused += other.refused;
        self.turned_away += other.turned_away;
        self.used_again_ms = self.used_again_ms.max(other.used_again_ms);
        self.within_rest += other.within_rest;
    }
}

/// Milliseconds until the next new caller.
fn gap(plan: &Plan, since: u64, random: &mut Pcg64Mcg) -> f64 {
    let per_ms = match plan.layout {
        Layout::Even | Layout::Few => {
            let rush = (CALM_MS..CALM_MS + RUSH_MS).contains(&since);
            let load = if rush { plan.load } else { 1.0 };
            let slots = plan.slots * plan.layout.homes().len();
            USUAL * slots as f64 / WORK_MS * load
        }
        Layout::Uneven { .. } => plan.layout.calls_per_ms(since) * plan.load,
    };
    -(1.0 - random.random::<f64>()).ln() / per_ms
}

/// What a call takes, in milliseconds.
fn work(random: &mut Pcg64Mcg) -> u64 {
    let radius = (-2.0 * (1.0 - random.random::<f64>()).ln()).sqrt();
    let normal = radius * (std::f64::consts::TAU * random.random::<f64>()).cos();
    let mean = WORK_MS.ln() - WORK_SPREAD * WORK_SPREAD / 2.0;
    (mean + WORK_SPREAD * normal).exp().round().max(1.0) as u64
}

fn address(upstream: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], upstream as u16 + 1))
}

fn service() -> Service {
    Service {
        deadline_ms: HELD_MS,
        max_wait_ms: OBJECTIVE_MS / 4,
        name: "lookup".into(),
        policy: Policy::Resources,
        priority: Priority::Background,
        repeatable: false,
        target: Target::Relay(config::Relay {
            attempts_max: 1,
            copies: false,
            memory_tokens: 0,
            objective_ms: OBJECTIVE_MS,
            event_interval_objective_ms: 0,
            priority: config::DEFAULT_PRIORITY,
            pool: "desk".into(),
            resumable: false,
            streams: false,
        }),
    }
}

impl Rush {
    fn new(plan: Plan) -> Self {
        let settings = Settings {
            probes: false,
            calls: plan.calls,
            limits: plan.limit.map_or(LimitHolders::Few, |(_, limits)| limits),
            ..Settings::default()
        };
        let core = |index| {
            let seed = plan.seed * 1_000 + index as u64;
            let core = Core::new(settings.clone(), [0; 32], seed, START);
            core.in_data_centre(&plan.layout.data_centre(index))
        };
        let mut random = Pcg64Mcg::seed_from_u64(plan.seed);
        let mut sum = 0.0;
        let weight = |_| {
            sum += 0.5 + random.random::<f64>();
            sum
        };
        let weights = (0..plan.instances).map(weight).collect();
        let mut rush = Self {
            askers: Vec::new(),
            callers: HashMap::new(),
            cores: (0..plan.instances).map(core).collect(),
            keys: HashMap::new(),
            desks: vec![Desk::default(); plan.layout.homes().len()],
            lifted: None,
            limited: Vec::new(),
            lines: Vec::new(),
            next: 0,
            outcome: Outcome::default(),
            plan,
            random,
            rests: HashMap::new(),
            timeline: Timeline::new(START),
            weights,
        };
        for instance in 0..plan.instances {
            rush.tell(
                instance,
                Event::Config(Arc::new(ask::configuration(service()))),
            );
            rush.tell(
                instance,
                Event::Instances(View::numbered(instance as u64, plan.instances as u64)),
            );
            let entries = rush.list();
            rush.tell(
                instance,
                Event::List {
                    requested_at: START,
                    entries: Some(entries),
                },
            );
            let first = rush.random.random_range(0..10);
            rush.timeline.schedule(first, Action::Tick(instance));
        }
        rush.timeline.schedule(0, Action::Come);
        if let Some(crowd) = plan.crowd {
            for member in 0..crowd.callers {
                let first = rush.random.random_range(0..crowd.pause_ms);
                rush.timeline.schedule(first, Action::ComeAgain(member));
            }
        }
        if plan.limit.is_some() {
            rush.timeline.schedule(CALM_MS, Action::Limit);
        }
        for at in plan.layout.list_changes_ms() {
            rush.timeline.schedule(at, Action::List);
        }
        rush
    }

    fn list(&self) -> Vec<ListEntry> {
        let layout = self.plan.layout;
        let since = self.timeline.now().since(START);
        let listed = |index: usize| ListEntry {
            address: address(index),
            born: layout.started_ms(index, since),
            data_centre: layout.data_centre(layout.homes()[index]),
            leaving: layout.is_leaving(index, since),
            name: format!("desk-{index}"),
            pool: "desk".into(),
            registered_at: Position::default(),
            slots: self.plan.slots as u32,
            version: String::new(),
        };
        (0..layout.homes().len()).map(listed).collect()
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Arrive(line) => self.arrive(line),
            Action::Ask(asker) => self.ask(asker),
            Action::Come => self.come(),
            Action::ComeAgain(member) => self.come_again(member),
            Action::Done(line) => self.done(line),
            Action::GetUp(upstream) => self.desks[upstream].is_down = false,
            Action::Lift => self.lift(),
            Action::Limit => self.limit(),
            Action::List => self.tell_list(),
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
        if since > 2 * CALM_MS + RUSH_MS || self.plan.crowd.is_some() {
            return;
        }
        let gap = gap(&self.plan, since, &mut self.random);
        let whole = gap as u64;
        let rest = u64::from(self.random.random::<f64>() < gap.fract());
        self.timeline.schedule(whole + rest, Action::Come);
        let work_ms = work(&mut self.random);
        self.askers.push(Asker {
            begun: self.timeline.now(),
            instance: 0,
            member: None,
            state: State::Asking,
            tries: 0,
            work_ms,
        });
        self.ask(self.askers.len() - 1);
    }

    /// A caller of a crowd asks.
    fn come_again(&mut self, member: usize) {
        let since = self.timeline.now().since(START);
        let Some(crowd) = self.plan.crowd.filter(|_| since <= 2 * CALM_MS + RUSH_MS) else {
            return;
        };
        let (cold, factor) = crowd.cold;
        let factor = if self.askers.len() < cold {
            factor
        } else {
            1.0
        };
        let work_ms = (work(&mut self.random) as f64 * factor) as u64;
        self.askers.push(Asker {
            begun: self.timeline.now(),
            instance: 0,
            member: Some(member),
            state: State::Asking,
            tries: 0,
            work_ms,
        });
        self.ask(self.askers.len() - 1);
    }

    /// Has the next request of a crowd's caller follow one that was answered or refused.
    fn follow(&mut self, asker: usize) {
        if let (Some(member), Some(crowd)) = (self.askers[asker].member, self.plan.crowd) {
            self.timeline
                .schedule(crowd.pause_ms, Action::ComeAgain(member));
        }
    }

    /// A caller asks at some instance.
    fn ask(&mut self, index: usize) {
        self.next += 1;
        let instance = match (self.askers[index].member, self.plan.crowd) {
            (Some(member), Some(crowd)) => member * self.plan.instances / crowd.callers,
            _ => self.instance(),
        };
        let asker = &mut self.askers[index];
        asker.tries += 1;
        asker.instance = instance;
        asker.state = State::Asking;
        let caller = Caller(self.next);
        let left = PATIENCE_MS - self.timeline.now().since(asker.begun);
        self.callers.insert(caller, index);
        let relay = Relay {
            max_answer_tokens: 0,
            bytes: 100,
            host: ask::HOST.into(),
            path: ask::PATH.into(),
            timeout_ms: Some(left),
            position: 0,
            prompt: 0,
            resumes: None,
            run: self.next.to_string().into(),
            tokens: 0,
        };
        self.tell(
            instance,
            Event::Submit(Box::new(ask::submission(caller, relay))),
        );
    }

    /// The instance at which a caller asks.
    fn instance(&mut self) -> usize {
        let all = self.weights.last().copied().unwrap_or_default();
        let since = self.timeline.now().since(START);
        loop {
            let point = self.random.random::<f64>() * all;
            let instance = self.weights.partition_point(|sum| *sum < point);
            let part = self.plan.layout.wave(instance, since);
            if part >= 1.0 || self.random.random::<f64>() < part {
                return instance;
            }
        }
    }

    /// All instances read the list.
    fn tell_list(&mut self) {
        for instance in 0..self.cores.len() {
            let read = Event::List {
                requested_at: self.timeline.now(),
                entries: Some(self.list()),
            };
            self.tell(instance, read);
        }
    }

    fn tell(&mut self, instance: usize, event: Event) {
        let effects = self.cores[instance].handle(self.timeline.now(), event);
        for effect in effects {
            self.carry_out(instance, effect);
        }
    }

    fn carry_out(&mut self, instance: usize, effect: Effect) {
        match effect {
            Effect::ForwardResponse(caller) => {
                if let Some(index) = self.callers.remove(&caller) {
                    let asker = &mut self.askers[index];
                    let took = self.timeline.now().since(asker.begun);
                    asker.state = State::Answered(took);
                    self.follow(index);
                }
            }
            Effect::Cancel { attempt, .. } => self.leave(instance, attempt),
            Effect::GossipDemand { demand, reach } => {
                let from = address(instance);
                let event = Event::PeerDemand { demand, from };
                self.spread(instance, &event, reach);
            }
            Effect::GossipLimit { incarnation, rate } => {
                let event = Event::PeerLimit { incarnation, rate };
                for to in (0..self.cores.len()).filter(|to| *to != instance) {
                    if self.random.random::<f64>() >= LOST {
                        let action = Action::Tell(to, event.clone());
                        self.timeline.schedule(WAY_MS, action);
                    }
                }
            }
            Effect::Fail {
                caller,
                retry_after_ms,
                ..
            } => self.refuse(caller, retry_after_ms),
            Effect::Send {
                address,
                attempt,
                outbound: Outbound::Relay { caller, .. },
                upstream: key,
            } => {
                let Some(asker) = self.callers.get(&caller).copied() else {
                    return;
                };
                let upstream = usize::from(address.port()) - 1;
                self.keys.insert((instance, upstream), key);
                self.lines.push(Line {
                    asker,
                    attempt,
                    instance,
                    key,
                    over: false,
                    upstream,
                });
                let arrive = Action::Arrive(self.lines.len() - 1);
                self.timeline.schedule(WAY_MS, arrive);
            }
            _ => {}
        }
    }

    /// A word to other instances: to those of the data centre if something else goes to them anyhow; to these at
    /// once, and to all others along with something, where the service is pressed.
    fn spread(&mut self, from: usize, event: &Event, reach: Reach) {
        let carried = self.random.random::<f64>() < CARRIED;
        let centres = self.plan.layout.data_centres();
        let home = from % centres;
        for to in (0..self.cores.len()).filter(|to| *to != from) {
            let near = to % centres == home || self.cores.len() <= FEW;
            if (near && (carried || reach != Reach::Carried)) || (carried && reach == Reach::Fleet)
            {
                let action = Action::Tell(to, event.clone());
                self.timeline.schedule(WAY_MS, action);
            }
        }
    }

    /// A caller was refused. It comes back once, if there is time.
    fn refuse(&mut self, caller: Caller, retry_after_ms: Option<u64>) {
        let Some(index) = self.callers.remove(&caller) else {
            return;
        };
        let asker = &mut self.askers[index];
        asker.state = State::Refused;
        if asker.member.is_some() {
            self.follow(index);
            return;
        }
        let left = PATIENCE_MS.saturating_sub(self.timeline.now().since(asker.begun));
        if asker.tries < 2 && left > 0 {
            let wait = retry_after_ms.unwrap_or(0).clamp(1, left / 3 + 1);
            self.timeline.schedule(wait, Action::Ask(index));
        }
    }

    fn arrive(&mut self, line: usize) {
        self.outcome.arrivals += 1;
        let Line {
            instance, upstream, ..
        } = self.lines[line];
        let rests = self.rests.get(&(instance, upstream));
        let now = self.timeline.now();
        self.outcome.within_rest += usize::from(rests.is_some_and(|until| now < *until));
        self.count_limited(instance, upstream);
        let queue = self.plan.slots * self.queue_per_slot();
        let desk = &mut self.desks[self.lines[line].upstream];
        if self.lines[line].over {
            return;
        }
        if desk.is_down {
            self.fail(line, Failure::NotSent);
        } else if desk.running.len() < self.plan.slots {
            self.start(line);
        } else if desk.waiting.len() < queue {
            desk.waiting.push_back(line);
        } else {
            self.outcome.turned_away += 1;
            self.ask_for_rest(line);
            self.say(line);
            self.fail(line, Failure::Refused);
            self.strain(upstream);
        }
    }

    fn fail(&mut self, line: usize, failure: Failure) {
        let Line {
            attempt, instance, ..
        } = self.lines[line];
        let failed = Event::Failed { attempt, failure };
        self.timeline
            .schedule(WAY_MS, Action::Tell(instance, failed));
    }

    /// Requests that an upstream lets wait now, for each of its slots.
    fn queue_per_slot(&self) -> usize {
        let since = self.timeline.now().since(START);
        let is_brittle = (CALM_MS + BRITTLE_AFTER_MS..CALM_MS + RUSH_MS).contains(&since);
        if self.plan.brittle.is_some() && is_brittle {
            BRITTLE_QUEUE_PER_SLOT
        } else {
            QUEUE_PER_SLOT
        }
    }

    /// What upstreams say of the requests that they survive to turn away.
    fn tolerated(&self) -> Limit {
        let since = self.timeline.now().since(START);
        let is_brittle = (CALM_MS..CALM_MS + RUSH_MS).contains(&since);
        let survives = self.plan.brittle.filter(|_| is_brittle);
        survives.map_or(Limit::None, |survives| {
            Limit::Rate(Rate(u64::from(survives) * 1_000))
        })
    }

    /// An upstream has turned a request away; it falls over if it is brittle and there were too many in a second.
    fn strain(&mut self, upstream: usize) {
        let since = self.timeline.now().since(START);
        let is_brittle = (CALM_MS..CALM_MS + RUSH_MS).contains(&since);
        let Some(survives) = self.plan.brittle.filter(|_| is_brittle) else {
            return;
        };
        let now = self.timeline.now();
        let rejections = &mut self.desks[upstream].rejections;
        rejections.push_back(now);
        let old = |at: &mut Time| now.since(*at) >= BRITTLE_WINDOW_MS;
        while rejections.pop_front_if(old).is_some() {}
        if rejections.len() > survives as usize {
            self.fall_over(upstream);
        }
    }

    fn fall_over(&mut self, upstream: usize) {
        self.outcome.falls += 1;
        let fallen = std::mem::take(&mut self.desks[upstream]);
        self.desks[upstream].is_down = true;
        for line in fallen.running.into_iter().chain(fallen.waiting) {
            self.lines[line].over = true;
            self.fail(line, Failure::Broken);
        }
        self.timeline.schedule(DOWN_MS, Action::GetUp(upstream));
    }

    /// An upstream that turns a call away asks for rest, if it does that here.
    fn ask_for_rest(&mut self, line: usize) {
        let rest_ms = self.plan.rest_ms;
        if rest_ms == 0 {
            return;
        }
        let Line {
            instance,
            key,
            upstream,
            ..
        } = self.lines[line];
        let until = self.timeline.now().after(rest_ms);
        self.rests.insert((instance, upstream), until);
        let told: Vec<(usize, upstream::Key)> = match self.plan.heeds {
            Heeds::All => {
                let known = |to| Some((to, *self.keys.get(&(to, upstream))?));
                (0..self.cores.len()).filter_map(known).collect()
            }
            Heeds::Asked => vec![(instance, key)],
            Heeds::Nobody => Vec::new(),
        };
        for (instance, upstream) in told {
            let notice = Notice {
                backoff: Backoff::For(rest_ms),
                ..Notice::default()
            };
            let noticed = Event::NoticeReceived {
                attempt: self.lines[line].attempt,
                notice,
                upstream,
            };
            self.timeline
                .schedule(WAY_MS, Action::Tell(instance, noticed));
        }
    }

    /// Some upstreams name limits from now on.
    fn limit(&mut self) {
        if let Some((per_second, _)) = self.plan.limit {
            let rate = Rate((per_second * 1_000.0) as u64);
            self.limited = vec![Limited::new(rate); self.plan.limited];
            self.timeline.schedule(RUSH_MS, Action::Lift);
        }
    }

    /// No upstream names a limit any more.
    fn lift(&mut self) {
        let fullest = self.limited.iter().map(|limited| limited.fullest);
        self.outcome.fullest = fullest.max().unwrap_or(0);
        self.limited.clear();
        self.lifted = Some((self.timeline.now(), 0));
    }

    /// An answer says what its upstream takes, and whether it is brittle.
    fn say(&mut self, line: usize) {
        let Line {
            attempt,
            instance,
            key,
            upstream,
            ..
        } = self.lines[line];
        let now = self.timeline.now().after(WAY_MS);
        let limit = match self.limited.get_mut(upstream) {
            None => Limit::None,
            Some(limited) => {
                limited.tell((instance, 0), now);
                limited.limit()
            }
        };
        let noticed = Event::NoticeReceived {
            attempt,
            notice: Notice {
                limit,
                tolerated: self.tolerated(),
                ..Notice::default()
            },
            upstream: key,
        };
        self.timeline
            .schedule(WAY_MS, Action::Tell(instance, noticed));
    }

    /// Counts a call that arrived at an upstream that names a limit, or did.
    fn count_limited(&mut self, instance: usize, upstream: usize) {
        let now = self.timeline.now();
        if let Some(limited) = self.limited.get_mut(upstream) {
            let _ = limited.arrive((instance, 0), now);
            let holds = now.since(START) >= CALM_MS + USED_MS;
            self.outcome.limited += usize::from(holds);
        } else if let Some((at, count)) = &mut self.lifted
            && upstream < self.plan.limited
        {
            *count += 1;
            if *count == USED_AGAIN {
                self.outcome.used_again_ms = now.since(*at);
            }
        }
    }

    fn start(&mut self, line: usize) {
        let desk = &mut self.desks[self.lines[line].upstream];
        desk.running.push(line);
        let since = self.timeline.now().since(START);
        let upstream = self.lines[line].upstream;
        let slowness = self.plan.layout.slowness(self.plan.seed, upstream, since);
        let work_ms = self.askers[self.lines[line].asker].work_ms as f64 * slowness;
        let work_ms = work_ms.round() as u64;
        self.timeline.schedule(work_ms, Action::Done(line));
    }

    fn done(&mut self, line: usize) {
        if !self.lines[line].over {
            let attempt = self.lines[line].attempt;
            let verdict = Verdict::Good;
            let answered = Event::Answered { attempt, verdict };
            let instance = self.lines[line].instance;
            self.say(line);
            self.timeline
                .schedule(WAY_MS, Action::Tell(instance, answered));
        }
        self.free(line);
    }

    /// A call's connection was closed: it gives its place to another.
    fn leave(&mut self, instance: usize, attempt: attempt::Key) {
        let same = |line: &Line| line.instance == instance && line.attempt == attempt;
        if let Some(line) = self.lines.iter().rposition(same) {
            self.lines[line].over = true;
            self.free(line);
        }
    }

    fn free(&mut self, line: usize) {
        let desk = &mut self.desks[self.lines[line].upstream];
        desk.waiting.retain(|other| *other != line);
        let before = desk.running.len();
        desk.running.retain(|other| *other != line);
        if desk.running.len() == before {
            return;
        }
        if let Some(next) = desk.waiting.pop_front() {
            self.start(next);
        }
    }

    fn outcome(&self) -> Outcome {
        let mut outcome = self.outcome;
        outcome.asked = self.askers.len();
        for asker in &self.askers {
            match asker.state {
                State::Answered(took) if took <= OBJECTIVE_MS => outcome.in_time += 1,
                State::Answered(_) => outcome.late += 1,
                State::Asking => outcome.failed += 1,
                State::Refused => outcome.refused += 1,
            }
        }
        outcome
    }
}
