//! A soak with upstreams that are sound and yet answer late, not at all or by refusals for a time, beside planned work.
//!
//! Callers keep using their open connections until the process of an instance is gone. Guards against requests that an
//! instance ends with most of their time left: those whose response had begun, and those that get 502.

use super::*;
use cuts::{Record, Request, Rule};
use proxy::Mode as Way;
use soak::{Layout, Outcome};
use stopping::{CLOSE, End, GRACE, Habits, State, Stopping, Timing, Try, Verdict};
use wellplank_core::{availability::Span, clock::Time, incarnation::Incarnation};
use worker::{Queue, Run};

/// Time for which upstreams are awkward, and time between.
const LASTS: Duration = Duration::from_millis(1_200);
const CALM: Duration = Duration::from_millis(4_800);

/// Time between two configurations, two departures of upstreams, and two stops, in milliseconds.
const CONFIGURE_MS: std::ops::Range<u64> = 8_000..8_001;
const RELEASE_MS: std::ops::Range<u64> = 2_000..5_000;
const STOP_MS: std::ops::Range<u64> = 3_000..3_001;

/// Time between two events, in milliseconds: streams take 3 to 5 s.
const STEP_MS: std::ops::Range<u64> = 75..126;

/// Time behind the last fault within which streams that run can end.
const SETTLE: Duration = Duration::from_secs(6);

/// Part of its time that a response which has begun may have left when an instance ends it, and the same for a 502.
const CUT_LEFT: f64 = 0.3;
const FAILED_LEFT: f64 = 0.5;

/// Share of requests that may get 502 with over [`FAILED_LEFT`] of their time left where upstreams break off.
const FAILED_SHARE: f64 = 0.02;

/// Time behind a configuration that figures count as around it.
const AROUND: Duration = Duration::from_secs(3);

/// Time below which an upstream counts as heard, and an instance as punctual, in milliseconds.
const HEARD_MS: u64 = 100;

/// Violations of one sort that are told one by one, and lines of the log that are told of each.
const TOLD: usize = 8;
const LINES: usize = 4;

/// Bounds of the rule on requests that are cut, as the users' sites and the instances' settings have them.
const RULE: Rule = Rule {
    apply_ms: 2_000,
    calm_ms: 3_000,
    grace_ms: GRACE.as_millis() as u64,
};

/// Texts of the log lines that tell what became of a request.
const STEPS: [&str; 6] = [
    "attempt lost",
    "exchange broke off",
    "\"failed\"",
    "left a silent upstream",
    "no retry permit",
    "stream cut",
];

/// Fields of these lines that are told.
const FIELDS: [&str; 17] = [
    "upstream",
    "position",
    "evidence",
    "reason",
    "class",
    "cause",
    "kind",
    "bound",
    "left_ms",
    "upstreams",
    "not_run",
    "departures",
    "silent_ms",
    "unheard_ms",
    "late_ms",
    "stage",
    "error",
];

/// Values by their names on the command line.
macro_rules! named {
    ($type:ident, $($name:literal => $value:ident),*) => {
        impl $type {
            /// Their names.
            pub fn names() -> Vec<&'static str> {
                vec![$($name),*]
            }

            /// The value of a name.
            ///
            /// # Panics
            ///
            /// If no value has the name.
            pub fn of(name: &str) -> Self {
                match name {
                    $($name => Self::$value,)*
                    _ => panic!("{name} is no name of {}", stringify!($type)),
                }
            }
        }
    };
}

/// What awkward upstreams do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// They accept connections and close them at once, and break off what runs.
    AcceptsAndCloses,
    /// They only queue and refuse what is beyond their queue.
    Queues,
    /// They refuse connections; what runs goes on.
    Refuses,
    /// They say nothing; what was held back comes at the end.
    Silence,
}

named!(Kind, "accepts-and-closes" => AcceptsAndCloses, "queues" => Queues, "refuses" => Refuses, "silence" => Silence);

/// Upstreams that are awkward at the same time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Share {
    /// Each of them.
    All,
    /// Those of one data centre.
    DataCentre,
    /// One.
    One,
    /// A third, in all data centres.
    Third,
    /// Two thirds.
    TwoThirds,
}

named!(Share, "all" => All, "data-centre" => DataCentre, "one" => One, "third" => Third, "two-thirds" => TwoThirds);

/// Planned work beside them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Work {
    /// Configurations.
    Configuration,
    /// None.
    Nothing,
    /// Upstreams leave, end and are replaced.
    Release,
    /// Instances are told to end, and are started again.
    Stop,
}

named!(Work, "configuration" => Configuration, "nothing" => Nothing, "release" => Release, "stop" => Stop);

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Callers.
    pub callers: usize,
    /// What upstreams do.
    pub kind: Kind,
    /// Queue of each upstream.
    pub queue: Queue,
    /// Which of them do so.
    pub share: Share,
    /// Slots of each upstream.
    pub slots: usize,
    /// Planned work.
    pub work: Work,
}

/// A running soak.
struct Awkward {
    begun: Instant,
    /// Places of upstreams that were awkward, and from when to when.
    faults: Vec<(usize, Instant, Instant)>,
    setting: Setting,
    stopping: Stopping,
    streaming: usize,
}

/// Runs one soak in which upstreams are awkward.
pub async fn run(plan: soak::Plan, setting: Setting) -> Outcome {
    let layout = Layout {
        configuration: stopping::configuration,
        desks: soak::DESKS.max(plan.engines / 3),
        grace_ms: RULE.grace_ms,
        queue: Some(setting.queue),
        slots: setting.slots,
        ..Layout::default()
    };
    let timing = match setting.work {
        Work::Configuration => Timing {
            configure: CONFIGURE_MS,
            ..Timing::NONE
        },
        Work::Nothing => Timing::NONE,
        Work::Release => Timing {
            release: RELEASE_MS,
            ..Timing::NONE
        },
        Work::Stop => Timing {
            single: STOP_MS,
            ..Timing::NONE
        },
    };
    let mut awkward = Awkward {
        begun: Instant::now(),
        faults: Vec::new(),
        setting,
        stopping: Stopping::start(plan, layout, timing).await,
        streaming: plan.engines,
    };
    let habits = Habits {
        keeps_each: 1,
        step_ms: STEP_MS,
    };
    let callers = awkward.stopping.call(setting.callers, plan.seed, &habits);
    awkward.play(Instant::now() + plan.lasts).await;
    awkward.stopping.is_closing = true;
    let rest = if setting.work == Work::Stop {
        CLOSE
    } else {
        SETTLE
    };
    awkward.stopping.wait(Instant::now() + rest).await;
    let (cut, over, notes) = awkward.check();
    let outcome = awkward.stopping.end(callers, notes).await;
    Outcome {
        cut,
        over,
        ..outcome
    }
}

impl Awkward {
    /// Has upstreams be awkward again and again up to a time.
    async fn play(&mut self, end: Instant) {
        let way = match self.setting.kind {
            Kind::AcceptsAndCloses => Way::Reset,
            Kind::Queues => return self.stopping.wait(end).await,
            Kind::Refuses => Way::Refused,
            Kind::Silence => Way::Held,
        };
        loop {
            self.stopping.wait((Instant::now() + CALM).min(end)).await;
            if Instant::now() >= end {
                return;
            }
            let places = self.choose();
            let from = Instant::now();
            self.set(&places, way);
            self.stopping.faults += 1;
            self.stopping.wait(from + LASTS).await;
            self.set(&places, Way::Open);
            let to = Instant::now();
            let spans = places.into_iter().map(|place| (place, from, to));
            self.faults.extend(spans);
        }
    }

    /// Places of upstreams that are awkward next.
    fn choose(&mut self) -> Vec<usize> {
        let all = self.streaming;
        let first = self.stopping.random.random_range(0..all);
        let count = match self.setting.share {
            Share::All => all,
            Share::DataCentre => {
                // The site enters upstreams in three data centres in turn.
                return (0..all).filter(|place| place % 3 == first % 3).collect();
            }
            Share::One => 1,
            Share::Third => all.div_ceil(3),
            Share::TwoThirds => (all * 2).div_ceil(3),
        };
        (0..count).map(|number| (first + number) % all).collect()
    }

    fn set(&self, places: &[usize], way: Way) {
        for place in places {
            self.stopping.soak.seats[*place].proxy.set(way);
        }
    }

    /// Whether an upstream was sound at some moment of a span.
    fn has_sound(&self, from: Instant, to: Instant) -> bool {
        (0..self.streaming).any(|place| {
            let mut faults = self.faults.iter().filter(|fault| fault.0 == place);
            !faults.any(|(_, begin, end)| *begin <= from && to <= *end)
        })
    }

    /// Holds the tries against the rules: requests that were cut with much of their time left, instances that cut too many
    /// around planned work, and the figures.
    fn check(&mut self) -> (usize, usize, Vec<String>) {
        let runs = self.stopping.runs();
        let arrivals = self.stopping.soak.ledger.arrivals();
        let arrived: BTreeSet<&str> = arrivals.iter().map(|one| one.run.as_str()).collect();
        let tries = self.stopping.notes.tries.lock();
        let tries = tries.expect("nobody panics while holding it").clone();
        let reached = tries.iter().filter(|one| one.end != End::Unreached);
        let reached: Vec<&Try> = reached.collect();
        let requests: BTreeSet<&str> = reached.iter().map(|one| request(one)).collect();
        let requests = requests.len();
        let steps = self.steps();
        let mut figures = Figures::default();
        let mut failed = Vec::new();
        for one in &reached {
            let runs = runs.get(&one.run).map_or(&[][..], Vec::as_slice);
            let state = State::of(one, runs, arrived.contains(one.run.as_str()));
            let text = || self.text(one, state, &steps);
            if one.end == End::Refused && !runs.is_empty() {
                figures.ran_and_refused.push(text());
            }
            let stop = self.stopping.notes.stop(one.instance, one.ended);
            match one.end {
                End::Cut if left(one) <= CUT_LEFT => figures.cut_late += 1,
                End::Cut if stop.is_some_and(|stop| stopping::outlasts(one, stop, runs)) => {
                    figures.cut_at_stop += 1;
                }
                End::Cut if !self.has_sound(one.ended, one.sent + one.limit) => {
                    figures.cut_alone += 1;
                }
                End::Cut => {
                    figures.cut.push(text());
                    *figures.cut_causes.entry(cause(one, &steps)).or_insert(0) += 1;
                    let mut configured = self.stopping.configured.iter();
                    let is_around =
                        configured.any(|at| *at <= one.ended && one.ended < *at + AROUND);
                    figures.cut_around += usize::from(is_around);
                }
                End::Closed
                    if self.stopping.judge(one, state, stop, runs) == Verdict::Violation =>
                {
                    figures.closed.push(text());
                }
                _ => {}
            }
            let status = one.status.map_or(0, |status| status.as_u16());
            *figures.statuses.entry(status).or_insert(0) += 1;
            if status == 504 && left(one) > FAILED_LEFT {
                *figures.timed_out.entry(cause(one, &steps)).or_insert(0) += 1;
            }
            if status == 502 && left(one) > FAILED_LEFT {
                failed.push(text());
                *figures.failed_causes.entry(cause(one, &steps)).or_insert(0) += 1;
            }
        }
        let allowed = match self.setting.kind {
            Kind::AcceptsAndCloses | Kind::Refuses => FAILED_SHARE * requests as f64,
            Kind::Queues | Kind::Silence => 0.0,
        };
        let mut notes = figures.notes(&reached, failed.len(), requests);
        notes.push(self.departures());
        self.tell("cut", figures.cut.clone());
        self.tell("closed without a response", figures.closed);
        self.tell("told not to have run, and ran", figures.ran_and_refused);
        if failed.len() as f64 > allowed {
            self.tell("502 with most of its time left", failed);
        }
        (figures.cut.len(), self.check_rule(&tries, &runs), notes)
    }

    /// Holds the requests that instances cut against the users' rule; the instances that broke it.
    fn check_rule(&self, tries: &[Try], runs: &HashMap<String, Vec<Run>>) -> usize {
        let time = |at: Instant| {
            let since = at.saturating_duration_since(self.begun);
            Time(since.as_millis() as u64)
        };
        let mut record = Record::new(RULE);
        for at in &self.stopping.configured {
            record.plan(cuts::Work::Configuration, time(*at));
        }
        let stops = self.stopping.notes.stops.lock();
        for stop in stops.expect("nobody panics while holding it").iter() {
            record.plan(cuts::Work::Stop(stop.instance), time(stop.at));
        }
        for (from, to) in self.stopping.soak.lateness.late() {
            let (from, to) = (time(from), time(to));
            for instance in 0..self.stopping.soak.instances.len() {
                record.disturb(departure::Scope::Instance(instance), Span { from, to });
            }
        }
        for one in tries {
            let Some(run) = runs.get(&one.run).and_then(|runs| runs.last()) else {
                continue;
            };
            record.end(Request {
                ended: time(one.ended),
                instance: one.instance,
                is_cut: one.end == End::Cut && !self.is_broken_off(one, run),
                limit_ms: one.limit.as_millis() as u64,
                link: soak::seat_of(&run.worker),
                run: one.run.clone(),
                sent: time(one.sent),
            });
        }
        let excesses = record.excesses();
        for excess in &excesses {
            let text = format!("requests cut around planned work: {excess:?}");
            self.stopping.soak.shared.broken(text);
        }
        let over: BTreeSet<usize> = excesses.iter().map(|excess| excess.instance).collect();
        over.len()
    }

    /// Whether an upstream broke a run off.
    fn is_broken_off(&self, one: &Try, run: &Run) -> bool {
        let life = Incarnation::new(&run.worker, run.born);
        let life_ended = self.stopping.soak.lives_ended.get(&life);
        let place = soak::seat_of(&run.worker);
        let is_closed = |(other, from, _): &(usize, Instant, Instant)| {
            *other == place && run.at <= *from && *from <= one.ended
        };
        life_ended.is_some_and(|ended| *ended <= one.ended)
            || self.setting.kind == Kind::AcceptsAndCloses && self.faults.iter().any(is_closed)
    }

    /// Log lines that tell what became of requests, by their names.
    fn steps(&self) -> HashMap<String, Vec<Value>> {
        let mut steps: HashMap<String, Vec<Value>> = HashMap::new();
        for line in self.stopping.logged(&STEPS) {
            let request = line["request"].as_str().unwrap_or_default().to_owned();
            steps.entry(request).or_default().push(line);
        }
        steps
    }

    /// What is told of a try that ended against a rule.
    fn text(&self, one: &Try, state: State, steps: &HashMap<String, Vec<Value>>) -> String {
        let (at, took) = (one.ended - self.begun, one.ended - one.sent);
        let lines = steps.get(&one.run).map_or(&[][..], Vec::as_slice);
        let lines = lines[lines.len().saturating_sub(LINES)..].iter().map(line);
        let lines: Vec<String> = lines.collect();
        let late = self.stopping.slowed(one.sent, one.ended);
        format!(
            "{} at instance-{}, {state:?}: ended at {at:.3?}, {took:.3?} behind its sending, {:.2} of its time left, machine late {late:.1?}; {}; {}",
            one.run,
            one.instance,
            left(one),
            cause(one, steps),
            lines.join(" | ")
        )
    }

    /// Tells violations of one sort.
    fn tell(&self, sort: &str, texts: Vec<String>) {
        let more = texts.len().saturating_sub(TOLD);
        for (number, text) in texts.into_iter().enumerate() {
            let text = format!("{sort}: {text}");
            self.stopping.soak.write("closed.log", &text);
            if number < TOLD {
                self.stopping.soak.shared.broken(text);
            }
        }
        if more > 0 {
            self.stopping
                .soak
                .shared
                .broken(format!("{sort}: {more} more"));
        }
    }

    /// How often instances left upstreams as silent.
    fn departures(&self) -> String {
        let lines = self.stopping.logged(&["left a silent upstream"]);
        let count = |is: &dyn Fn(&Value) -> bool| lines.iter().filter(|line| is(line)).count();
        let is_under = |value: &Value| value.as_u64().is_some_and(|ms| ms < HEARD_MS);
        let heard = count(&|line| is_under(&line["unheard_ms"]));
        let late = count(&|line| line["late_ms"].as_u64().is_some_and(|ms| ms >= HEARD_MS));
        format!(
            "{} departures from silent upstreams, {heard} heard within {HEARD_MS} ms, {late} at instances late by that",
            lines.len()
        )
    }
}

/// What became of the tries.
#[derive(Default)]
struct Figures {
    closed: Vec<String>,
    cut: Vec<String>,
    /// Cut while no upstream was sound up to their deadlines.
    cut_alone: usize,
    cut_around: usize,
    /// Cut as the time that an instance had to end ran out.
    cut_at_stop: usize,
    cut_causes: BTreeMap<String, usize>,
    cut_late: usize,
    failed_causes: BTreeMap<String, usize>,
    ran_and_refused: Vec<String>,
    statuses: BTreeMap<u16, usize>,
    /// 504 with over [`FAILED_LEFT`] of their time left, by cause.
    timed_out: BTreeMap<String, usize>,
}

impl Figures {
    fn notes(&self, reached: &[&Try], failed: usize, requests: usize) -> Vec<String> {
        let all = reached.len();
        let is_stream =
            |one: &&&Try| !one.run.starts_with("again-") && !one.run.starts_with("once-");
        let streams = reached.iter().filter(is_stream).count();
        let begun = reached
            .iter()
            .filter(is_stream)
            .filter(|one| one.status == Some(StatusCode::OK));
        let share = failed as f64 / requests.max(1) as f64;
        vec![
            format!(
                "{requests} requests, {all} tries, {streams} streams, {} of them begun; by status: {:?}",
                begun.count(),
                self.statuses
            ),
            format!(
                "cut with over {CUT_LEFT} left: {}, {} of them around configurations, by {:?}; with less {}, at the end of a stop {}, without a sound upstream {}",
                self.cut.len(),
                self.cut_around,
                self.cut_causes,
                self.cut_late,
                self.cut_at_stop,
                self.cut_alone
            ),
            format!(
                "502 with over {FAILED_LEFT} left: {failed} ({share:.3} of requests), by {:?}; 504 with that, by {:?}; closed without a response: {}",
                self.failed_causes,
                self.timed_out,
                self.closed.len()
            ),
        ]
    }
}

/// The request of a try: its name without the number of the try.
fn request(one: &Try) -> &str {
    one.run.rsplit_once('-').map_or("", |(request, _)| request)
}

/// The part of its time that a try had left as it ended.
fn left(one: &Try) -> f64 {
    let left = one.limit.saturating_sub(one.ended - one.sent);
    left.as_secs_f64() / one.limit.as_secs_f64()
}

/// Why an instance ended a try, as its log says.
fn cause(one: &Try, steps: &HashMap<String, Vec<Value>>) -> String {
    let lines = steps.get(&one.run).map_or(&[][..], Vec::as_slice);
    let line = lines.iter().rev().find(|line| !line["kind"].is_null());
    let field = |name: &str| {
        line.and_then(|line| line[name].as_str())
            .filter(|text| !text.is_empty())
    };
    let (kind, bound) = (field("kind"), field("bound"));
    format!("{}/{}", kind.unwrap_or("unlogged"), bound.unwrap_or("-"))
}

/// A log line with the fields that tell what became of a request.
fn line(line: &Value) -> String {
    let told = FIELDS.iter().filter(|field| !line[**field].is_null());
    let told: Vec<String> = told
        .map(|field| format!("{field}={}", line[*field]))
        .collect();
    let message = STEPS.iter().map(|step| step.trim_matches('"'));
    let text = line.to_string();
    let message = message
        .into_iter()
        .find(|step| text.contains(&format!(":\"{step}\"")));
    format!("{} {}", message.unwrap_or_default(), told.join(" "))
}
