//! A soak in which instances are stopped and started in series while requests wait, as real processes meet it.
//!
//! Callers outnumber the slots of the upstreams, with streams of three urgencies, and have patience for several turns of the
//! least urgent one. Beside the stops, which overlap, the configuration changes and upstreams leave, end and are replaced;
//! nothing is unplanned. Guards against requests that an instance has read and ends with, without an answer: each of them is
//! told by what had become of it, and by the time behind the signal.

use super::*;
use client::{Ask, Got};
use daemon::Signal;
use patron::{Habit, Miss, Patron};
use soak::{Layout, Outcome, Plan, Shared, Soak};
use std::sync::{Arc, Mutex, atomic::Ordering};
use tokio::task::JoinHandle;
use wellplank_core::incarnation::Incarnation;
use worker::{Mode, Run};

/// Time that an instance has to end in order, as in the incident.
pub(crate) const GRACE: Duration = Duration::from_secs(8);

/// Time behind it that still belongs to the stop.
const SLACK: Duration = Duration::from_secs(1);

/// Requests that an upstream has room for, and callers for each of these places.
const SLOTS: usize = 2;
const CALLERS: usize = 10;

/// Time that a caller gives a request, over all its tries.
pub(crate) const PATIENCE: Duration = Duration::from_secs(25);

/// Pause of a caller between two tries.
const PAUSE: Duration = Duration::from_millis(150);

/// Time behind a signal from which a load balancer sends an instance nothing more.
const LEAVE: Duration = Duration::from_secs(2);

/// Calm that a response needs from before its request on, as the rule has it, to count as cut around planned work.
const CALM: Duration = Duration::from_secs(3);

/// Time within which the closing of a connection may cross a request.
const CROSSING: Duration = Duration::from_millis(200);

/// Time behind a signal up to which requests are sent that may be broken off in the last sixth of the grace period.
const LATE: Duration = Duration::from_secs(3);

/// Time that the end of a response takes from the upstream to the caller: an upstream counts as at work so long behind its end.
pub(crate) const PASSING: Duration = Duration::from_millis(100);

/// The same for a response that may be broken off. On a busy machine an instance read the last events 300 ms late.
const PASSING_MAX: Duration = Duration::from_millis(500);

/// Time within which an instance gives up a response that its upstream broke off.
const GIVE_UP: Duration = Duration::from_millis(300);

/// Time between two configurations, two departures of upstreams, and two series of stops, in milliseconds.
const CONFIGURE_MS: std::ops::Range<u64> = 3_000..7_000;
const RELEASE_MS: std::ops::Range<u64> = 2_000..5_000;
const SERIES_MS: std::ops::Range<u64> = 1_000..3_000;

/// Time for which an upstream serves on behind its word, in milliseconds: less and more than a stream takes.
const SERVES_MS: std::ops::Range<u64> = 300..4_000;

/// Time after which an instance whose process ended is started again, as the users' platform does.
const DOWN: Duration = Duration::from_millis(500);

/// Time between two looks at what is due.
const STEP: Duration = Duration::from_millis(20);

/// Time within which each instance has ended and serves again behind the last stop.
pub(crate) const CLOSE: Duration = GRACE.saturating_add(SLACK).saturating_add(DOWN);

/// Span by which figures count times behind a signal, in milliseconds.
const FIGURE_STEP_MS: u128 = 250;

/// Routes of a configuration that nobody asks for, at most.
const IDLE_ROUTES: usize = 50;

/// Streams by urgency, the most urgent first: name, path, and aim in milliseconds.
const STREAMS: [(&str, &str, u64); 3] = [
    ("urgent", "/urgent/1", 1_000),
    ("usual", "/usual/1", 3_000),
    ("patient", "/stream/1", 10_000),
];

/// The configuration: the site's, with streams of three urgencies and the time that callers give.
pub(crate) fn configuration(version: u64) -> Value {
    let mut configuration = site::configuration(version);
    let Some(routes) = configuration["routes"].as_array_mut() else {
        return configuration;
    };
    for route in routes.iter_mut() {
        route["timeout_ms"] = json!(PATIENCE.as_millis() as u64);
    }
    let stream = routes[0].clone();
    for (priority, (name, path, aim_ms)) in STREAMS.into_iter().enumerate() {
        let mut route = stream.clone();
        route["slo_ms"] = json!(aim_ms);
        route["priority"] = json!(priority);
        if path.starts_with("/stream/") {
            routes[0] = route;
        } else {
            route["name"] = json!(name);
            route["path_prefix"] = json!(path.trim_end_matches('1'));
            routes.push(route);
        }
    }
    configuration
}

/// A stop of an instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stop {
    pub(crate) at: Instant,
    pub(crate) instance: usize,
}

/// How a try ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum End {
    /// Its response broke off.
    Cut,
    /// Its connection closed before a response began.
    Closed,
    /// It was refused as not run.
    Refused,
    /// It was answered otherwise, or its time was over.
    Other,
    /// It reached no instance.
    Unreached,
}

/// A try of a caller.
#[derive(Clone, Debug)]
pub(crate) struct Try {
    pub(crate) end: End,
    pub(crate) ended: Instant,
    pub(crate) instance: usize,
    /// Time that it had.
    pub(crate) limit: Duration,
    pub(crate) run: String,
    pub(crate) sent: Instant,
    /// Status of its response, if one began.
    pub(crate) status: Option<StatusCode>,
}

/// What had become of a request that ended without an answer.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum State {
    /// No upstream had got it.
    NeverSent,
    /// Upstreams had got it, none was at work on it, and no response had begun.
    BetweenAttempts,
    /// An upstream was at work on it, and no response had begun.
    Sent,
    /// The response had begun, and an upstream was at work on it.
    HeadWritten,
    /// The response had begun, and no upstream was at work on it.
    HeadWrittenIdle,
}

/// What the rule says of a request that ended without an answer.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Verdict {
    /// The close may have crossed it.
    Crossed,
    /// The instance did not stop, and the response had begun: counted, but not against the rule by itself.
    Elsewhen,
    /// The machine was slowed while its response came, so that its upstream looked silent.
    Slowed,
    /// Its time was over.
    TimedOut,
    /// Its upstream had ended.
    UpstreamEnded,
    /// Against the rule.
    Violation,
    /// An upstream was at work on it as the grace period ended.
    Working,
}

/// What callers and the soak share.
#[derive(Clone, Default)]
pub(crate) struct Notes {
    pub(crate) stops: Arc<Mutex<Vec<Stop>>>,
    pub(crate) tries: Arc<Mutex<Vec<Try>>>,
}

impl Notes {
    /// The stop of an instance under way at a time.
    pub(crate) fn stop(&self, instance: usize, now: Instant) -> Option<Stop> {
        let stops = self.stops.lock().expect("nobody panics while holding it");
        let mut stops = stops.iter().rev();
        let last = stops.find(|stop| stop.instance == instance && stop.at <= now);
        last.filter(|stop| now - stop.at < GRACE + SLACK).copied()
    }
}

/// When planned work comes.
#[derive(Clone, Debug)]
pub(crate) struct Timing {
    /// Time between two configurations, two departures of upstreams, two series of stops and two single stops, in milliseconds.
    /// Nothing comes of a kind whose span is empty.
    pub(crate) configure: std::ops::Range<u64>,
    pub(crate) release: std::ops::Range<u64>,
    pub(crate) series: std::ops::Range<u64>,
    pub(crate) single: std::ops::Range<u64>,
}

impl Timing {
    /// No planned work.
    pub(crate) const NONE: Self = Self {
        configure: 0..0,
        release: 0..0,
        series: 0..0,
        single: 0..0,
    };
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            configure: CONFIGURE_MS,
            release: RELEASE_MS,
            series: SERIES_MS,
            single: 0..0,
        }
    }
}

/// How callers ask.
#[derive(Clone, Debug)]
pub(crate) struct Habits {
    /// One of so many callers keeps to an instance until nothing listens there; others leave it some time behind its SIGTERM.
    pub(crate) keeps_each: usize,
    /// Time between two events that streams ask for, in milliseconds; they ask for nothing if it is empty.
    pub(crate) step_ms: std::ops::Range<u64>,
}

/// Something that is due at a time.
#[derive(Clone, Copy, Debug)]
enum Due {
    Configure,
    End(usize),
    Release,
    Series,
    Single,
    Start(usize),
    Stop(usize),
}

/// A running soak and what is due in it.
pub(crate) struct Stopping {
    /// When configurations came.
    pub(crate) configured: Vec<Instant>,
    due: Vec<(Instant, Due)>,
    pub(crate) faults: usize,
    pub(crate) is_closing: bool,
    /// Upstreams that leave.
    leaving: BTreeSet<usize>,
    pub(crate) notes: Notes,
    pub(crate) random: Pcg64Mcg,
    pub(crate) soak: Soak,
    /// Instances whose stop, or whose start behind it, is under way.
    down: BTreeSet<usize>,
    timing: Timing,
}

/// Runs one soak in which instances stop while requests wait.
pub async fn run(plan: Plan) -> Outcome {
    let layout = Layout {
        configuration,
        grace_ms: GRACE.as_millis() as u64,
        slots: SLOTS,
        ..Layout::default()
    };
    let mut stopping = Stopping::start(plan, layout, Timing::default()).await;
    let habits = Habits {
        keeps_each: 3,
        step_ms: 0..0,
    };
    let callers = stopping.call(plan.engines * SLOTS * CALLERS, plan.seed, &habits);
    let end = Instant::now() + plan.lasts;
    stopping.wait(end).await;
    stopping.is_closing = true;
    stopping.wait(Instant::now() + CLOSE).await;
    let notes = stopping.check();
    stopping.end(callers, notes).await
}

impl Stopping {
    /// Starts everything and waits until instances answer; planned work is due from then on.
    pub(crate) async fn start(plan: Plan, layout: Layout, timing: Timing) -> Self {
        let mut stopping = Self {
            configured: Vec::new(),
            due: Vec::new(),
            faults: 0,
            is_closing: false,
            leaving: BTreeSet::new(),
            notes: Notes::default(),
            random: Pcg64Mcg::seed_from_u64(plan.seed),
            soak: Soak::start_by(plan, layout),
            down: BTreeSet::new(),
            timing,
        };
        stopping.soak.wait_ready().await;
        for seat in &stopping.soak.seats {
            seat.worker.set(Mode::Paced);
        }
        for due in [Due::Configure, Due::Release, Due::Series, Due::Single] {
            stopping.plan(due);
        }
        stopping
    }

    /// Starts callers that ask until they are told to stop.
    pub(crate) fn call(&self, count: usize, seed: u64, habits: &Habits) -> Vec<JoinHandle<()>> {
        let callers = (0..count).map(|index| self.caller(index, seed, habits));
        callers.map(|caller| tokio::spawn(caller.run())).collect()
    }

    /// Has the callers stop and checks what must always hold.
    pub(crate) async fn end(
        mut self,
        callers: Vec<JoinHandle<()>>,
        mut notes: Vec<String>,
    ) -> Outcome {
        notes.push(self.soak.tell_exits(GRACE));
        let late = self.soak.lateness.late();
        let late = late.into_iter().map(|(from, to)| to - from).sum();
        self.soak.heal();
        let outcome = self.soak.end(callers, self.faults).await;
        Outcome {
            late,
            notes,
            ..outcome
        }
    }

    fn caller(&self, index: usize, seed: u64, habits: &Habits) -> Caller {
        Caller {
            addresses: self.soak.addresses(),
            index,
            instance: index % self.soak.instances.len(),
            leaves: !index.is_multiple_of(habits.keeps_each),
            notes: self.notes.clone(),
            patron: Patron::new(Habit::Kept),
            random: Pcg64Mcg::seed_from_u64(seed ^ (index as u64) << 20),
            shared: self.soak.shared.clone(),
            step_ms: habits.step_ms.clone(),
        }
    }

    /// Has planned work of a kind be due within its span from now, by chance.
    fn plan(&mut self, due: Due) {
        let timing = &self.timing;
        let within_ms = match due {
            Due::Configure => timing.configure.clone(),
            Due::Release => timing.release.clone(),
            Due::Series => timing.series.clone(),
            Due::Single => timing.single.clone(),
            Due::End(_) | Due::Start(_) | Due::Stop(_) => return,
        };
        if !within_ms.is_empty() {
            self.push(within_ms, due);
        }
    }

    /// Has something be due within a span from now, by chance.
    fn push(&mut self, within_ms: std::ops::Range<u64>, due: Due) {
        let behind = Duration::from_millis(self.random.random_range(within_ms));
        self.due.push((Instant::now() + behind, due));
    }

    /// Does what is due up to a time.
    pub(crate) async fn wait(&mut self, end: Instant) {
        while Instant::now() < end {
            for instance in 0..self.soak.instances.len() {
                let has_ended = !self.soak.instances[instance].runs();
                let is_due = |(_, due): &(Instant, Due)| matches!(due, Due::Start(other) if *other == instance);
                if has_ended && !self.due.iter().any(is_due) {
                    self.due.push((Instant::now() + DOWN, Due::Start(instance)));
                }
            }
            let now = Instant::now();
            let due: Vec<(Instant, Due)> = self.due.extract_if(.., |(at, _)| *at <= now).collect();
            for (_, due) in due {
                self.happen(due);
            }
            sleep(STEP).await;
        }
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Start(instance) => {
                self.down.remove(&instance);
                self.soak.instances[instance].start();
            }
            Due::End(seat) => {
                self.soak.revive(seat);
                self.soak.seats[seat].worker.set(Mode::Paced);
                self.leaving.remove(&seat);
            }
            _ if self.is_closing => {}
            Due::Configure => {
                self.faults += 1;
                let idle = self.random.random_range(0..IDLE_ROUTES);
                self.soak.configure_idle(idle);
                self.configured.push(Instant::now());
                self.plan(due);
            }
            Due::Release => {
                self.release();
                self.plan(due);
            }
            Due::Series => {
                self.series();
                self.plan(due);
            }
            Due::Single => {
                let instance = self.random.random_range(0..self.soak.instances.len());
                self.stop(instance);
                self.plan(due);
            }
            Due::Stop(instance) => self.stop(instance),
        }
    }

    /// Has one instance, a third of them, or all in turn be stopped.
    fn series(&mut self) {
        let all = self.soak.instances.len();
        let first = self.random.random_range(0..all);
        let (count, step) = match self.random.random_range(0..3) {
            0 => (1, Duration::ZERO),
            1 => (all.div_ceil(3), Duration::ZERO),
            // As fast as keeps a third of them stopping.
            _ => (all, GRACE * 3 / all as u32),
        };
        for number in 0..count {
            let at = Instant::now() + step * number as u32;
            self.due.push((at, Due::Stop((first + number) % all)));
        }
    }

    /// Has an instance end in order, unless it does, or two thirds of several do.
    fn stop(&mut self, instance: usize) {
        let all = self.soak.instances.len();
        let are_enough = all > 1 && (self.down.len() + 1) * 3 > all * 2;
        if are_enough || !self.down.insert(instance) {
            return;
        }
        self.faults += 1;
        let at = Instant::now();
        let mut stops = self
            .notes
            .stops
            .lock()
            .expect("nobody panics while holding it");
        stops.push(Stop { at, instance });
        drop(stops);
        self.soak.instances[instance].signal(Signal::Terminate);
    }

    /// Has an upstream leave, if half of its pool stays.
    fn release(&mut self) {
        let seats = &self.soak.seats;
        let seat = self.random.random_range(0..seats.len());
        let is_alike = |other: &usize| seats[*other].pool == seats[seat].pool;
        let all = (0..seats.len()).filter(is_alike).count();
        let gone = self.leaving.iter().filter(|other| is_alike(other)).count();
        if (gone + 1) * 2 <= all && self.leaving.insert(seat) {
            self.faults += 1;
            self.soak.enter(seat, "draining");
            self.push(SERVES_MS, Due::End(seat));
        }
    }

    /// Holds the tries against the rule; the figures.
    fn check(&self) -> Vec<String> {
        let runs = self.runs();
        let arrivals = self.soak.ledger.arrivals();
        let arrived: BTreeSet<&str> = arrivals.iter().map(|one| one.run.as_str()).collect();
        let tries = self
            .notes
            .tries
            .lock()
            .expect("nobody panics while holding it");
        let mut figures: BTreeMap<(Verdict, State), BTreeMap<Option<u128>, usize>> =
            BTreeMap::new();
        for one in tries.iter() {
            let runs = runs.get(&one.run).map_or(&[][..], Vec::as_slice);
            if one.end == End::Refused && !runs.is_empty() {
                let text = format!("{} was told not to have run, and ran", one.run);
                self.soak.shared.broken(text);
            }
            if !matches!(one.end, End::Cut | End::Closed) {
                continue;
            }
            let state = State::of(one, runs, arrived.contains(one.run.as_str()));
            let stop = self.notes.stop(one.instance, one.ended);
            let verdict = self.judge(one, state, stop, runs);
            let behind = stop.map(|stop| (one.ended - stop.at).as_millis());
            let figure = figures.entry((verdict, state)).or_default();
            let step = behind.map(|behind| behind / FIGURE_STEP_MS * FIGURE_STEP_MS);
            *figure.entry(step).or_default() += 1;
            let took = one.ended - one.sent;
            let text = format!(
                "{} at instance-{}, {state:?}, {verdict:?}: closed {took:.3?} behind its sending, {behind:?} ms behind SIGTERM",
                one.run, one.instance
            );
            self.soak.write("closed.log", &text);
            if verdict == Verdict::Violation {
                self.soak.shared.broken(text);
            }
        }
        let mut notes = vec![format!("{} tries", tries.len())];
        for ((verdict, state), steps) in figures {
            let count: usize = steps.values().sum();
            notes.push(format!(
                "{verdict:?}, {state:?}: {count}; from ms behind SIGTERM: {steps:?}"
            ));
        }
        notes.push(format!(
            "open at the end of the stop: {:?}",
            self.open_in_logs()
        ));
        notes
    }

    /// What ran, by the names of the tries.
    pub(crate) fn runs(&self) -> HashMap<String, Vec<Run>> {
        let mut runs: HashMap<String, Vec<Run>> = HashMap::new();
        for run in self.soak.ledger.runs() {
            let name = run.header("wellplank-request-id").to_owned();
            runs.entry(name).or_default().push(run);
        }
        runs
    }

    /// What the rule says of a try that ended without an answer.
    pub(crate) fn judge(
        &self,
        one: &Try,
        state: State,
        stop: Option<Stop>,
        runs: &[Run],
    ) -> Verdict {
        let has_ended = |run: &Run| {
            let life = Incarnation::new(&run.worker, run.born);
            let ended = self.soak.lives_ended.get(&life);
            ended.is_some_and(|ended| *ended <= one.ended && one.ended - *ended < GIVE_UP)
        };
        let slowed = self.slowed(one.sent, one.ended);
        if state == State::NeverSent && one.ended - one.sent <= CROSSING + slowed.min(SLACK) {
            return Verdict::Crossed;
        }
        let calm = one.sent.checked_sub(CALM).unwrap_or(one.sent);
        if one.end == End::Cut && !self.slowed(calm, one.ended).is_zero() {
            return Verdict::Slowed;
        }
        if one.ended - one.sent + PASSING >= one.limit {
            return Verdict::TimedOut;
        }
        if runs.iter().any(has_ended) {
            return Verdict::UpstreamEnded;
        }
        let Some(stop) = stop else {
            let has_begun = one.end == End::Cut;
            return if has_begun {
                Verdict::Elsewhen
            } else {
                Verdict::Violation
            };
        };
        if outlasts(one, stop, runs) {
            return Verdict::Working;
        }
        Verdict::Violation
    }

    /// Time for which the machine was slowed in a span.
    pub(crate) fn slowed(&self, begin: Instant, end: Instant) -> Duration {
        let late = self.soak.lateness.late().into_iter();
        let meets = |(from, to): &(Instant, Instant)| *from < end && begin < *to;
        late.filter(meets).map(|(from, to)| to - from).sum()
    }

    /// Requests that the logs of instances name as open at the end of a stop, by stage.
    fn open_in_logs(&self) -> BTreeMap<String, usize> {
        let mut open = BTreeMap::new();
        for line in self.logged(&["open at the end of the stop"]) {
            let stage = line["stage"].as_str().unwrap_or("unknown").to_owned();
            *open.entry(stage).or_default() += 1;
        }
        open
    }

    /// Lines of the logs of all instances that hold one of some texts.
    pub(crate) fn logged(&self, texts: &[&str]) -> Vec<Value> {
        let mut logged = Vec::new();
        for index in 0..self.soak.instances.len() {
            let file = self.soak.folder.join(format!("instance-{index}.log"));
            let log = std::fs::read_to_string(file).unwrap_or_default();
            let lines = log
                .lines()
                .filter(|line| texts.iter().any(|text| line.contains(text)));
            logged.extend(lines.filter_map(|line| serde_json::from_str::<Value>(line).ok()));
        }
        logged
    }
}

impl State {
    /// What had become of a try, by its runs and whether an upstream had got it.
    pub(crate) fn of(one: &Try, runs: &[Run], has_arrived: bool) -> Self {
        match (one.end, is_at_work(one, runs, PASSING)) {
            (End::Cut, true) => Self::HeadWritten,
            (End::Cut, false) => Self::HeadWrittenIdle,
            (_, true) => Self::Sent,
            _ if has_arrived => Self::BetweenAttempts,
            _ => Self::NeverSent,
        }
    }
}

/// Whether an answer says that the request did not run. Of a call that may run once, the status alone says so to callers.
fn says_not_run(ask: &Ask, got: &Got) -> bool {
    let is_status = soak::NOT_RUN.contains(&got.status.as_u16());
    is_status && (ask.path.starts_with("/once/") || got.body.contains(r#""ran":"no""#))
}

/// Whether an upstream was at work on a try as it ended, or had been until a time before.
fn is_at_work(one: &Try, runs: &[Run], passing: Duration) -> bool {
    let ends_later = |run: &Run| run.ended.is_none_or(|ended| ended + passing >= one.ended);
    runs.iter().any(ends_later)
}

/// Whether an upstream was still at work on a try as the time that its instance had to end ran out.
pub(crate) fn outlasts(one: &Try, stop: Stop, runs: &[Run]) -> bool {
    let is_last_sixth = one.ended - stop.at >= GRACE * 5 / 6;
    is_last_sixth && one.sent <= stop.at + LATE && is_at_work(one, runs, PASSING_MAX)
}

/// A caller that asks again and again until it is told to stop.
struct Caller {
    addresses: Vec<SocketAddr>,
    index: usize,
    /// Instance that it asks, until it leaves it.
    instance: usize,
    /// Whether it leaves an instance some time behind its SIGTERM, and not only once nothing listens there.
    leaves: bool,
    notes: Notes,
    patron: Patron,
    random: Pcg64Mcg,
    shared: Shared,
    /// Time between two events that streams ask for, in milliseconds; they ask for nothing if it is empty.
    step_ms: std::ops::Range<u64>,
}

impl Caller {
    async fn run(mut self) {
        let mut count = 0;
        while !self.shared.stop.load(Ordering::Relaxed) {
            count += 1;
            self.shared.requests.fetch_add(1, Ordering::Relaxed);
            let is_whole = self.ask(count).await;
            self.shared
                .whole
                .fetch_add(usize::from(is_whole), Ordering::Relaxed);
            if self.random.random_range(0..4) == 0 {
                self.choose();
            }
        }
    }

    fn choose(&mut self) {
        self.instance = self.random.random_range(0..self.addresses.len());
    }

    /// Asks until there is a whole answer, the patience is over, or a call that may run once may have run.
    async fn ask(&mut self, count: usize) -> bool {
        let begun = Instant::now();
        let kind = if self.random.random_range(0..6) == 0 {
            STREAMS.len() + self.random.random_range(0..2)
        } else {
            self.random.random_range(0..STREAMS.len())
        };
        let mut number = 0;
        while !self.shared.stop.load(Ordering::Relaxed) {
            let left = PATIENCE.saturating_sub(begun.elapsed());
            if left < PAUSE {
                return false;
            }
            let name = format!("{}-{count}-{number}", self.index);
            let ask = match (STREAMS.get(kind), kind - STREAMS.len().min(kind)) {
                (Some((kind, path, _)), _) => Ask {
                    path,
                    ..Ask::stream(&format!("{kind}-{name}"))
                },
                (None, 0) => Ask::again(&format!("again-{name}")),
                (None, _) => Ask::once(&format!("once-{name}")),
            };
            let mut ask = ask.with("wellplank-timeout-ms", &left.as_millis().to_string());
            ask.body = format!("{}-{count}", self.index).into_bytes();
            let is_stream = kind < STREAMS.len();
            if is_stream && !self.step_ms.is_empty() {
                let step_ms = self.random.random_range(self.step_ms.clone());
                ask = ask.with(worker::EVENT_STEP_MS, &step_ms.to_string());
            }
            let (got, end) = self.attempt(&ask, left).await;
            if let Some(got) = got.filter(|got| got.whole && got.status == StatusCode::OK) {
                let due = if is_stream {
                    worker::events(&ask.body, 0)
                } else {
                    worker::reply(&ask.body)
                };
                if got.body != due {
                    self.shared
                        .broken(format!("{name} got the answer {}", got.body));
                }
                return true;
            }
            if kind > STREAMS.len() && end != End::Refused {
                return false;
            }
            number += 1;
            sleep(PAUSE).await;
        }
        false
    }

    /// Sends one try and notes how it ended.
    async fn attempt(&mut self, ask: &Ask, left: Duration) -> (Option<Got>, End) {
        let now = Instant::now();
        let stop = self.notes.stop(self.instance, now);
        if self.leaves && stop.is_some_and(|stop| now - stop.at >= LEAVE) {
            self.choose();
        }
        let (instance, sent) = (self.instance, Instant::now());
        let got = self
            .patron
            .send(ask, self.addresses[instance], left + PAUSE)
            .await;
        let end = match &got {
            Ok(got) if !got.whole => End::Cut,
            Ok(got) if says_not_run(ask, got) => End::Refused,
            Err(Miss::Closed) => End::Closed,
            Err(Miss::Unreached) => End::Unreached,
            Err(Miss::Late) | Ok(_) => End::Other,
        };
        if got.is_err() {
            self.choose();
        }
        let run = ask
            .headers
            .iter()
            .find(|(name, _)| *name == "wellplank-request-id");
        let run = run.map(|(_, run)| run.clone()).unwrap_or_default();
        let mut tries = self
            .notes
            .tries
            .lock()
            .expect("nobody panics while holding it");
        tries.push(Try {
            end,
            ended: Instant::now(),
            instance,
            limit: left,
            run,
            sent,
            status: got.as_ref().ok().map(|got| got.status),
        });
        drop(tries);
        (got.ok(), end)
    }
}
