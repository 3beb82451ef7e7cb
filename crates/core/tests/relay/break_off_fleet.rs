//! Fleets before upstreams that accept connections and break them off, in virtual time: what callers get, and what it costs.

use super::*;
use wellplank_core::settings::RetryBound;

/// Slots of an upstream, and requests that it queues beyond them. Placement counts ten streams by their memory.
const SLOTS: usize = 10;
const QUEUE: usize = 4;

/// Time to the first event of a stream in a slot, between two events, and the events of a stream.
const FIRST_EVENT_MS: u64 = 80;
const EVENT_MS: u64 = 50;
const EVENTS: u64 = 60;

/// Time that an upstream takes for a call, in milliseconds.
const CALL_MS: u64 = 30;

/// One way between two machines, in milliseconds.
const WAY_MS: u64 = 1;

const TICK_MS: u64 = 20;

const TIMEOUT_MS: u64 = 20_000;

/// Start and end of the time in which upstreams break off, in milliseconds from the start.
const BROKEN_MS: std::ops::Range<u64> = 5_000..6_200;

/// End of the arrivals, and of the play.
const ARRIVALS_MS: u64 = 14_000;
const END_MS: u64 = 27_000;

/// Attempts of a stream that may run it, by its route, and of a call.
const STREAM_RUNS: u32 = 5;
const CALL_RUNS: u32 = 2;

/// What upstreams do that are not sound.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Trouble {
    /// They accept connections and close them.
    BreakOff,
    /// They refuse connections.
    Refuse,
}

/// A fleet, and what befalls it.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    /// Streams in their slots on average, as a fraction of all slots.
    pub fill: f64,
    pub instances: usize,
    pub seed: u64,
    pub trouble: Trouble,
    /// Of each three upstreams, those that are in trouble.
    pub troubled: usize,
    pub upstreams: usize,
}

/// What callers got, of the requests that were open or arrived while upstreams were in trouble.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Streams that had begun and lost their upstream, and those of them that were cut with over 0.3 of their time left.
    pub lost: usize,
    pub cut_early: usize,
    /// New requests, 502 with over half of their time left, refusals as not run, and those that were served.
    pub new: usize,
    pub failed_early: usize,
    pub refused: usize,
    pub served: usize,
    /// All attempts at troubled upstreams in that time.
    pub at_troubled: usize,
    /// Attempts beyond the first that reached an upstream, in all and in the 100 ms with the most.
    pub extra: usize,
    pub extra_most: usize,
    /// Most attempts of a request that may have run it, beyond what its route allows.
    pub runs_beyond: u32,
    /// Requests that may run once and ran more often.
    pub ran_twice: usize,
    /// Attempts beyond the first and requests of the windows of the retry bound in which the bound was exceeded by most.
    pub beyond_bound: f64,
    /// Requests without an outcome at the end.
    pub open: usize,
    /// Time from the end of the trouble until each troubled upstream has answered, in milliseconds.
    pub back_ms: u64,
}

#[derive(Clone, Debug)]
enum Action {
    Arrive(usize),
    Break(usize),
    Event(Run, u64),
    Reach(Run),
    Tell(usize, Box<Event>),
    Tick(usize),
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Run {
    attempt: attempt::Key,
    caller: Caller,
    instance: usize,
    position: u64,
    upstream: usize,
}

#[derive(Clone, Debug)]
struct Asked {
    arrived_ms: u64,
    has_begun: bool,
    path: &'static str,
    runs: u32,
    sent: u32,
    was_lost: bool,
}

impl Asked {
    fn may_run_once(&self) -> bool {
        self.path == NON_REPEATABLE
    }

    fn streams(&self) -> bool {
        self.path == STREAM
    }
}

#[derive(Clone, Debug, Default)]
struct Engine {
    answered_at: u64,
    queue: Vec<Run>,
    running: Vec<Run>,
}

struct Fleet {
    actions: BTreeMap<(u64, u64), Action>,
    asked: BTreeMap<(usize, Caller), Asked>,
    case: Case,
    cores: Vec<Core>,
    engines: Vec<Engine>,
    /// Times of attempts beyond the first, and of arrivals.
    extra: Vec<u64>,
    arrivals: Vec<u64>,
    next: u64,
    now_ms: u64,
    outcome: Outcome,
    random: u64,
}

pub const BOUND: RetryBound = RetryBound {
    extra: 20.0,
    ratio: 0.8,
    window_ms: 10_000,
};

impl Case {
    pub fn new(instances: usize, troubled: usize, trouble: Trouble) -> Self {
        Self {
            fill: 0.5,
            instances,
            seed: 1,
            trouble,
            troubled,
            upstreams: if instances > 10 { 81 } else { 9 },
        }
    }

    pub fn play(self) -> Outcome {
        let mut fleet = Fleet::new(self);
        fleet.start();
        while let Some(((at, _), action)) = fleet.actions.pop_first() {
            if at > END_MS {
                break;
            }
            fleet.now_ms = at;
            fleet.act(action);
        }
        fleet.finish()
    }
}

impl Fleet {
    fn new(case: Case) -> Self {
        let settings = Settings {
            probes: false,
            relay_resume: ResumeMode::Anew,
            retry: BOUND,
            ..Settings::default()
        };
        let core = |index: usize| {
            let seed = case.seed * 1_000 + index as u64;
            let core = Core::new(settings.clone(), [0; 32], seed, NOW);
            core.in_data_centre(&format!("dc-{}", index % 3))
        };
        Self {
            actions: BTreeMap::new(),
            asked: BTreeMap::new(),
            case,
            cores: (0..case.instances).map(core).collect(),
            engines: vec![Engine::default(); case.upstreams],
            extra: Vec::new(),
            arrivals: Vec::new(),
            next: 0,
            now_ms: 0,
            outcome: Outcome::default(),
            random: case.seed,
        }
    }

    fn start(&mut self) {
        for instance in 0..self.case.instances {
            self.tell(instance, Event::Config(Arc::new(configuration(1))));
            let entry = |index: usize| {
                let mut entry = listed(index, index);
                entry.data_centre = format!("dc-{}", index % 3);
                entry.slots = SLOTS as u32;
                entry
            };
            let entries = Some((0..self.case.upstreams).map(entry).collect());
            self.tell(
                instance,
                Event::List {
                    entries,
                    requested_at: NOW,
                },
            );
            let view = View::numbered(instance as u64, self.case.instances as u64);
            self.tell(instance, Event::Instances(view));
            self.schedule(instance as u64 % TICK_MS, Action::Tick(instance));
        }
        self.schedule(0, Action::Arrive(0));
        for upstream in 0..self.case.upstreams {
            if self.is_troubled(upstream) {
                let jitter = self.random(10);
                self.schedule(BROKEN_MS.start + jitter, Action::Break(upstream));
            }
        }
    }

    /// Whether an upstream is one of those that are in trouble at some time.
    fn is_troubled(&self, upstream: usize) -> bool {
        upstream / 3 % 3 < self.case.troubled
    }

    fn is_broken(&self, upstream: usize) -> bool {
        self.is_troubled(upstream) && BROKEN_MS.contains(&self.now_ms)
    }

    fn random(&mut self, below: u64) -> u64 {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) % below.max(1)
    }

    fn schedule(&mut self, millis: u64, action: Action) {
        self.next += 1;
        self.actions
            .insert((self.now_ms + millis, self.next), action);
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Arrive(instance) => self.arrive(instance),
            Action::Break(upstream) => self.break_off(upstream),
            Action::Event(run, position) => self.send_event(run, position),
            Action::Reach(run) => self.reach(run),
            Action::Tell(instance, event) => self.tell(instance, *event),
            Action::Tick(instance) => {
                self.tell(instance, Event::Tick);
                self.schedule(TICK_MS, Action::Tick(instance));
            }
        }
    }

    /// A request at an instance; three of four are streams, and every second call may run only once.
    fn arrive(&mut self, instance: usize) {
        if self.now_ms < ARRIVALS_MS {
            let slots = (self.case.upstreams * SLOTS) as f64;
            let stream_ms = (FIRST_EVENT_MS + EVENTS * EVENT_MS) as f64;
            let mean_ms = 0.75 * stream_ms / (self.case.fill * slots);
            let micros = self.random((2_000.0 * mean_ms) as u64);
            let instances = self.case.instances as u64;
            let other = self.random(instances) as usize;
            self.schedule(micros.div_ceil(1_000), Action::Arrive(other));
        }
        let path = match self.random(8) {
            0 => REPEATABLE,
            1 => NON_REPEATABLE,
            _ => STREAM,
        };
        self.next += 1;
        let caller = Caller(self.next);
        let streams = path == STREAM;
        self.asked.insert(
            (instance, caller),
            Asked {
                arrived_ms: self.now_ms,
                has_begun: false,
                path,
                runs: 0,
                sent: 0,
                was_lost: false,
            },
        );
        self.arrivals.push(self.now_ms);
        self.outcome.new += usize::from(BROKEN_MS.contains(&self.now_ms));
        let work = Work::Relay(Relay {
            max_answer_tokens: if streams { 800 } else { 0 },
            bytes: 100,
            host: "a.example".into(),
            path: path.into(),
            timeout_ms: Some(TIMEOUT_MS),
            position: 0,
            prompt: if streams { self.next } else { 0 },
            resumes: None,
            run: format!("run-{}", self.next).into(),
            tokens: if streams { 5_000 } else { 0 },
        });
        let submission = Submission {
            caller,
            cursor: None,
            customer: "key".into(),
            fingerprint: self.next,
            generation: u128::from(self.next),
            key: None,
            received: None,
            service: String::new(),
            work,
        };
        self.tell(instance, Event::Submit(Box::new(submission)));
    }

    fn tell(&mut self, instance: usize, event: Event) {
        let now = NOW.after(self.now_ms);
        for effect in self.cores[instance].handle(now, event) {
            self.carry_out(instance, effect);
        }
    }

    fn tell_later(&mut self, millis: u64, instance: usize, event: Event) {
        self.schedule(millis, Action::Tell(instance, Box::new(event)));
    }

    fn tell_others(&mut self, instance: usize, event: &Event) {
        for other in (0..self.cores.len()).filter(|other| *other != instance) {
            self.tell_later(WAY_MS, other, event.clone());
        }
    }

    fn carry_out(&mut self, instance: usize, effect: Effect) {
        match effect {
            Effect::AbortStream(caller) => self.end(instance, caller, None),
            Effect::Fail { caller, kind, .. } => self.end(instance, caller, Some(kind)),
            Effect::ForwardResponse(caller) | Effect::EndStream(caller) => {
                self.serve(instance, caller);
            }
            Effect::ForwardHead(caller) => {
                if let Some(asked) = self.asked.get_mut(&(instance, caller)) {
                    asked.has_begun = true;
                }
            }
            Effect::Cancel { attempt, .. } => self.cancel(instance, attempt),
            Effect::Connectivity(effect::Connectivity::Check {
                address,
                started_at,
                upstream,
            }) => {
                let broken = self.is_broken(index(address));
                let checked = Event::ConnectionChecked {
                    connected: !(broken && self.case.trouble == Trouble::Refuse),
                    started_at,
                    upstream,
                };
                self.tell_later(2 * WAY_MS, instance, checked);
            }
            Effect::GossipLost(incarnation) => {
                self.tell_others(instance, &Event::PeerLoss(incarnation));
            }
            Effect::GossipBreakOff(incarnation) => {
                self.tell_others(instance, &Event::PeerLoss(incarnation));
                self.tell_others(instance, &Event::PeerBreakOff(incarnation));
            }
            Effect::GossipStream { record, .. } => {
                self.tell_others(instance, &Event::PeerStream(record));
            }
            Effect::Quarantine(effect::Quarantine::CheckCrash {
                address,
                incarnation,
            }) => {
                let broken = self.is_broken(index(address));
                let checked = Event::CrashChecked {
                    ended: broken && self.case.trouble == Trouble::Refuse,
                    incarnation,
                };
                self.tell_later(2 * WAY_MS, instance, checked);
            }
            Effect::Send {
                address,
                attempt,
                outbound:
                    Outbound::Relay {
                        caller, position, ..
                    },
                ..
            } => {
                let run = Run {
                    attempt,
                    caller,
                    instance,
                    position,
                    upstream: index(address),
                };
                self.schedule(WAY_MS, Action::Reach(run));
            }
            _ => {}
        }
    }

    fn fail(&mut self, run: Run, failure: Failure) {
        let failed = Event::Failed {
            attempt: run.attempt,
            failure,
        };
        self.tell_later(WAY_MS, run.instance, failed);
    }

    fn reach(&mut self, run: Run) {
        let broken = self.is_broken(run.upstream);
        self.outcome.at_troubled += usize::from(broken);
        if broken && self.case.trouble == Trouble::Refuse {
            self.fail(run, Failure::NotSent);
            return;
        }
        self.tell(run.instance, Event::Connected(run.attempt));
        let engine = &self.engines[run.upstream];
        let is_full = engine.running.len() >= SLOTS && engine.queue.len() >= QUEUE;
        if let Some(asked) = self.asked.get_mut(&(run.instance, run.caller)) {
            asked.sent += 1;
            if asked.sent > 1 {
                self.extra.push(self.now_ms);
            }
            if broken || !is_full {
                asked.runs += 1;
                let most = if asked.streams() {
                    STREAM_RUNS
                } else {
                    CALL_RUNS
                };
                let beyond = asked.runs.saturating_sub(most);
                self.outcome.runs_beyond = self.outcome.runs_beyond.max(beyond);
                self.outcome.ran_twice += usize::from(asked.may_run_once() && asked.runs > 1);
            }
        }
        if broken {
            self.fail(run, Failure::Broken);
        } else if is_full {
            self.fail(run, Failure::Refused);
        } else {
            self.engines[run.upstream].queue.push(run);
            self.fill_slots(run.upstream);
        }
    }

    fn fill_slots(&mut self, upstream: usize) {
        while self.engines[upstream].running.len() < SLOTS
            && !self.engines[upstream].queue.is_empty()
        {
            let run = self.engines[upstream].queue.remove(0);
            self.engines[upstream].running.push(run);
            let streams = self.asked.get(&(run.instance, run.caller));
            let streams = streams.is_none_or(Asked::streams);
            let millis = if streams { FIRST_EVENT_MS } else { CALL_MS };
            self.schedule(millis, Action::Event(run, run.position + 1));
        }
    }

    /// Ends a run at its upstream; false if it has ended.
    fn leave(&mut self, run: Run) -> bool {
        let engine = &mut self.engines[run.upstream];
        let before = engine.running.len();
        engine.running.retain(|other| *other != run);
        let has_left = engine.running.len() < before;
        engine.queue.retain(|other| *other != run);
        has_left
    }

    fn cancel(&mut self, instance: usize, attempt: attempt::Key) {
        let is_run = |run: &&Run| run.instance == instance && run.attempt == attempt;
        let runs = self.engines.iter().flat_map(|engine| {
            let running = engine.running.iter();
            running.chain(engine.queue.iter())
        });
        let run = runs.into_iter().find(is_run).copied();
        if let Some(run) = run {
            self.leave(run);
            self.fill_slots(run.upstream);
        }
    }

    fn send_event(&mut self, run: Run, position: u64) {
        let key = (run.instance, run.caller);
        if !self.engines[run.upstream].running.contains(&run) {
            return;
        }
        let answered_at = &mut self.engines[run.upstream].answered_at;
        if *answered_at < BROKEN_MS.end && self.now_ms >= BROKEN_MS.end {
            *answered_at = self.now_ms;
        }
        let Some(asked) = self.asked.get(&key) else {
            self.leave(run);
            self.fill_slots(run.upstream);
            return;
        };
        if !asked.streams() {
            self.leave(run);
            let answered = Event::Answered {
                attempt: run.attempt,
                verdict: Verdict::Good,
            };
            self.tell_later(WAY_MS, run.instance, answered);
            self.fill_slots(run.upstream);
            return;
        }
        if position == run.position + 1 {
            self.tell_later(WAY_MS, run.instance, Event::StreamOpened(run.attempt));
        }
        let event = Event::StreamEvent {
            attempt: run.attempt,
            bytes: format!("id: {position}\n\n").into_bytes().into(),
            position,
        };
        self.tell_later(WAY_MS, run.instance, event);
        if position < EVENTS {
            self.schedule(EVENT_MS, Action::Event(run, position + 1));
            return;
        }
        self.leave(run);
        let ended = Event::StreamEnded {
            attempt: run.attempt,
            marked: true,
        };
        self.tell_later(WAY_MS, run.instance, ended);
        self.fill_slots(run.upstream);
    }

    /// An upstream breaks off all that it runs.
    fn break_off(&mut self, upstream: usize) {
        let engine = &mut self.engines[upstream];
        let runs: Vec<Run> = engine
            .running
            .drain(..)
            .chain(engine.queue.drain(..))
            .collect();
        for run in runs {
            if let Some(asked) = self.asked.get_mut(&(run.instance, run.caller))
                && asked.has_begun
                && !asked.was_lost
            {
                asked.was_lost = true;
                self.outcome.lost += 1;
            }
            self.fail(run, Failure::Broken);
        }
    }

    fn serve(&mut self, instance: usize, caller: Caller) {
        if let Some(asked) = self.asked.remove(&(instance, caller)) {
            let is_new = BROKEN_MS.contains(&asked.arrived_ms);
            self.outcome.served += usize::from(is_new || asked.was_lost);
        }
    }

    fn end(&mut self, instance: usize, caller: Caller, kind: Option<Kind>) {
        let Some(asked) = self.asked.remove(&(instance, caller)) else {
            return;
        };
        let left_ms = (asked.arrived_ms + TIMEOUT_MS).saturating_sub(self.now_ms);
        let Some(kind) = kind else {
            let is_early = 10 * left_ms > 3 * TIMEOUT_MS;
            self.outcome.cut_early += usize::from(is_early && asked.was_lost);
            return;
        };
        if !BROKEN_MS.contains(&asked.arrived_ms) {
            return;
        }
        let ran = kind.answer().ran != wellplank_core::kind::Ran::No;
        let is_early = 2 * left_ms > TIMEOUT_MS;
        // A request that may run once and was broken off can only be told so.
        self.outcome.failed_early += usize::from(ran && is_early && !asked.may_run_once());
        self.outcome.refused += usize::from(!ran);
    }

    fn finish(mut self) -> Outcome {
        let outcome = &mut self.outcome;
        outcome.open = self.asked.len();
        let during = |at: &&u64| BROKEN_MS.start <= **at && **at < BROKEN_MS.end + 1_000;
        outcome.extra = self.extra.iter().filter(during).count();
        let in_100_ms = |from: &u64| {
            let within = |at: &&u64| (*from..*from + 100).contains(*at);
            self.extra.iter().filter(within).count()
        };
        outcome.extra_most = self.extra.iter().map(in_100_ms).max().unwrap_or(0);
        let share = |end: &u64| {
            let window = end.saturating_sub(BOUND.window_ms)..end + 1;
            let count = |times: &[u64]| times.iter().filter(|at| window.contains(at)).count();
            let allowed = BOUND.extra + BOUND.ratio * count(&self.arrivals) as f64;
            count(&self.extra) as f64 / allowed
        };
        let ends = self.extra.iter().filter(|at| **at < ARRIVALS_MS);
        outcome.beyond_bound = ends.map(share).fold(0.0, f64::max);
        let engines = self.engines.iter().enumerate();
        let back = engines.filter(|(upstream, _)| upstream / 3 % 3 < self.case.troubled);
        let back = back.map(|(_, engine)| engine.answered_at.saturating_sub(BROKEN_MS.end));
        outcome.back_ms = back.max().unwrap_or(0);
        self.outcome
    }
}

/// Expects what is asked for where upstreams accept and break off: no stream that has begun is cut early, few requests get 502
/// early, and the bounds on runs and attempts hold.
fn expect_bounds(case: Case) -> Outcome {
    let outcome = case.play();
    let what = format!("{case:?}: {outcome:?}");
    expect_that!(outcome.cut_early, eq(0), "{what}");
    let failed = outcome.failed_early as f64 / outcome.new as f64;
    expect_that!(failed, lt(0.02), "{what}");
    expect_that!(outcome.runs_beyond, eq(0), "{what}");
    expect_that!(outcome.ran_twice, eq(0), "{what}");
    expect_that!(outcome.beyond_bound, le(1.0), "{what}");
    outcome
}

/// Guards against streams that are cut with 20 s left, since a burst of attempts at upstreams that accept connections and close
/// them uses up their runs, and against 502 for new requests: 116 of 278 and 69 of 223.
#[gtest]
fn streams_outlast_upstreams_that_break_off_at_71_instances() {
    let case = Case {
        fill: 0.6,
        ..Case::new(71, 2, Trouble::BreakOff)
    };
    let outcome = expect_bounds(case);
    // 656 before upstreams that break off were known as such.
    expect_that!(outcome.extra_most, le(350), "{outcome:?}");
}

/// Guards against the same at few instances, which learn of each upstream by their own requests.
#[gtest]
fn streams_outlast_upstreams_that_break_off_at_few_instances() {
    for instances in [1, 6] {
        for troubled in [1, 2, 3] {
            for fill in [0.3, 0.6] {
                expect_bounds(Case {
                    fill,
                    ..Case::new(instances, troubled, Trouble::BreakOff)
                });
            }
        }
    }
}

/// Guards against streams that are cut where all upstreams break off and come back within their time.
#[gtest]
fn streams_outlast_a_time_in_which_all_upstreams_break_off() {
    let outcome = Case::new(71, 3, Trouble::BreakOff).play();
    expect_that!(outcome.cut_early, eq(0), "{outcome:?}");
    expect_that!(outcome.runs_beyond, eq(0), "{outcome:?}");
    expect_that!(outcome.beyond_bound, le(1.0), "{outcome:?}");
}

/// Prints the figures of all cases; they are in `docs/design/ends-by-counts.md`.
#[gtest]
#[ignore = "prints figures only"]
fn figures() {
    for trouble in [Trouble::BreakOff, Trouble::Refuse] {
        for troubled in [1, 2, 3] {
            for instances in [1, 6, 71] {
                for fill in [0.3, 0.6] {
                    let case = Case {
                        fill,
                        ..Case::new(instances, troubled, trouble)
                    };
                    println!("{case:?}: {:?}", case.play());
                }
            }
        }
    }
}
