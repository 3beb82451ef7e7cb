//! A soak with upstreams that leave behind and during faults of the paths to the store, of the store, of instances and
//! of links, as real processes meet them.
//!
//! Faults come in series; then everything is well for a while, and upstreams leave then and before, with a word
//! or without one, and serve on for long. What reached them, and when, is held against the rule on leaving upstreams.

use super::*;
use daemon::Signal;
use departure::{Arrival, Record, Rule, Scope};
use proxy::{Hushed, Mode as Way};
use said::{Refusal, Said};
use shelf::Copy;
use soak::{Outcome, Plan, Soak};
use wellplank_core::{availability::Span, clock::Time, incarnation::Incarnation};
use worker::{Mode, Remark};

/// Pause of a caller between two requests in a fleet of few instances; in a larger one as many requests come in all.
const REST: Duration = Duration::from_millis(30);

/// Instances up to which a fleet is one of few.
const FEW: u32 = 8;

/// Callers of each instance.
const CALLERS: usize = 3;

/// Faults in one series, at most.
const SERIES: usize = 3;

/// Time between two looks at what is due.
const STEP: Duration = Duration::from_millis(20);

/// Time for which an upstream serves on behind the bound, at most, in milliseconds.
const SERVES_ON_MS: u64 = 6_000;

/// Time that a fault lasts, in milliseconds.
const LASTS_MS: std::ops::Range<u64> = 50..4_000;

/// Time between two series of faults, in milliseconds.
const CALM_MS: std::ops::Range<u64> = 5_000..9_000;

/// Time from a series of faults up to which upstreams leave, in milliseconds.
const LEAVES_MS: std::ops::Range<u64> = 0..5_000;

/// Upstreams that leave behind one series, at most.
const LEAVES: usize = 3;

/// Bounds of the rule, as the instances' settings and the users' sites have them.
const RULE: Rule = Rule {
    calm_ms: 3_000,
    leave_ms: 2_000,
};

/// Sets the chance of returns of the store from older copies apart from that of faults.
const DRILLS: u64 = 0x5eed_0040;

/// Time between two copies of the store, and copies that are kept.
const COPY_EACH: Duration = Duration::from_secs(1);
const COPIES: usize = 5;

/// Time for which the store is away before it comes back from a copy, in milliseconds.
const DRILL_MS: std::ops::Range<u64> = 10..1_200;

/// Time in which upstreams and the operator write again what a copy lacks, in milliseconds: a heartbeat of upstreams.
const REWRITE_MS: u64 = 1_200;

/// Time in which an entry lapses that nobody writes again, in milliseconds: three heartbeats.
const LAPSE_MS: u64 = 3_600;

/// Sets the chance of restarts and other writers apart from that of faults.
const EXTRAS: u64 = 0x5eed_0032;

/// Rests that upstreams ask for, in seconds.
const RESTS_S: [&str; 4] = ["0.5", "1", "3", "8.5"];

/// Time for which an upstream that asks for rest turns requests away, in milliseconds.
const REFUSES_MS: std::ops::Range<u64> = 50..1_500;

/// Sets the chance of limits apart from that of faults.
const LIMITS: u64 = 0x5eed_0048;

/// Limits that upstreams name, in requests a second; some of them are no number.
const LIMITS_PER_S: [&str; 6] = ["0", "0.5", "1.2", "3", "10", "-1"];

/// Time for which an upstream names one limit, in milliseconds.
const LIMITED_MS: std::ops::Range<u64> = 3_000..15_000;

/// Time for which another writer's entry stands, in milliseconds.
const ODD_MS: std::ops::Range<u64> = 500..5_000;

/// Something that is due at a time.
#[derive(Clone, Copy, Debug)]
enum Due {
    /// The operator writes the configuration again.
    Configure,
    /// The store goes away, to come back from an older copy.
    Drill,
    /// A fault ends.
    Heal(Fault),
    /// Entries end that nobody has written since the store came back from a copy.
    Lapse,
    /// An upstream leaves; with a word or without one.
    Leave(bool),
    /// Some upstreams of one pool name limits, or others than before.
    Limit,
    /// Another writer writes over an upstream's entry.
    Odd,
    /// An upstream writes its entry again, which another writer's stood over.
    Reenter(usize),
    /// An upstream turns requests away for a moment, and asks for rest.
    Rest,
    /// An upstream ends and starts again under its name.
    Restart,
    /// An upstream that left ends, and another takes its place.
    Replace(usize),
    /// The store comes back from a copy.
    Return(usize),
    /// An upstream writes its entry, which a copy of the store may lack.
    Rewrite(usize),
    /// An upstream takes requests again.
    Take(usize),
    /// An upstream names no limit any more.
    Unlimit(usize),
}

/// A fault that lasts.
#[derive(Clone, Copy, Debug)]
enum Fault {
    /// The links to an upstream.
    Link(usize),
    /// An instance stands still, or is gone.
    Instance(usize),
    /// The path of an instance to the store.
    Path(usize),
    /// The store.
    Store,
}

/// A running soak and what is due in it.
struct Leaving {
    begun: Instant,
    /// Copies of the store of late, and when the last one was taken.
    copies: VecDeque<Copy>,
    copied: Instant,
    /// Chance of returns of the store from older copies.
    drills: Pcg64Mcg,
    due: Vec<(Time, Due)>,
    /// Chance of restarts and other writers, beside the seed's own series of faults.
    extras: Pcg64Mcg,
    faults: usize,
    /// Which upstreams leave.
    left: BTreeSet<usize>,
    /// Chance of limits.
    limits: Pcg64Mcg,
    /// Which of them said so in the store.
    words: BTreeSet<usize>,
    record: Record,
    said: Said,
    soak: Soak,
}

/// Runs one soak in which upstreams leave.
pub async fn run(plan: Plan) -> Outcome {
    let mut leaving = Leaving {
        begun: Instant::now(),
        copied: Instant::now(),
        copies: VecDeque::new(),
        drills: Pcg64Mcg::seed_from_u64(plan.seed ^ DRILLS),
        due: Vec::new(),
        extras: Pcg64Mcg::seed_from_u64(plan.seed ^ EXTRAS),
        faults: 0,
        left: BTreeSet::new(),
        limits: Pcg64Mcg::seed_from_u64(plan.seed ^ LIMITS),
        words: BTreeSet::new(),
        record: Record::new(RULE),
        said: Said::default(),
        soak: Soak::start(plan),
    };
    sleep(Duration::from_secs(3)).await;
    let rest = REST * (plan.instances as u32).max(FEW) / FEW;
    let callers = leaving.soak.call(plan.instances * CALLERS, rest);
    sleep(Duration::from_secs(1)).await;
    while leaving.begun.elapsed() < plan.lasts {
        leaving.cause_series().await;
        let calm = leaving.soak.random.random_range(CALM_MS);
        leaving.wait(calm).await;
    }
    leaving.wait(LASTS_MS.end).await;
    leaving.soak.heal();
    leaving.check();
    leaving.check_said();
    let faults = leaving.faults;
    leaving.soak.end(callers, faults).await
}

impl Leaving {
    fn now(&self) -> Time {
        Time(self.begun.elapsed().as_millis() as u64)
    }

    /// Causes some faults that overlap, and has upstreams leave in and behind them.
    async fn cause_series(&mut self) {
        for _ in 0..self.soak.random.random_range(1..=SERIES) {
            self.cause();
            self.faults += 1;
            let pause = self.soak.random.random_range(20..800);
            self.wait(pause).await;
        }
        for _ in 0..self.soak.random.random_range(1..=LEAVES) {
            let at = self.now().after(self.soak.random.random_range(LEAVES_MS));
            let word = self.soak.random.random_range(0..3) > 0;
            self.due.push((at, Due::Leave(word)));
        }
        if self.drills.random_range(0..3) == 0 {
            let at = self.now().after(self.drills.random_range(LEAVES_MS));
            self.due.push((at, Due::Drill));
        }
        if self.limits.random() {
            let at = self.now().after(self.limits.random_range(LEAVES_MS));
            self.due.push((at, Due::Limit));
        }
        for due in [Due::Odd, Due::Restart, Due::Rest] {
            if self.extras.random() {
                let at = self.now().after(self.extras.random_range(LEAVES_MS));
                self.due.push((at, due));
            }
        }
    }

    /// Lets some time pass, and does what is due in it.
    async fn wait(&mut self, millis: u64) {
        let end = self.now().after(millis);
        while self.now() < end {
            let now = self.now();
            let due: Vec<Due> = self
                .due
                .extract_if(.., |(at, _)| *at <= now)
                .map(|(_, due)| due)
                .collect();
            for due in due {
                self.happen(due);
            }
            if self.copied.elapsed() >= COPY_EACH {
                self.copied = Instant::now();
                self.copies.push_back(self.soak.shelf.copy());
                if self.copies.len() > COPIES {
                    self.copies.pop_front();
                }
            }
            sleep(STEP).await;
        }
    }

    fn happen(&mut self, due: Due) {
        match due {
            Due::Configure => self.soak.configure(),
            Due::Drill => self.drill(),
            Due::Heal(fault) => self.heal(fault),
            Due::Lapse => self.lapse(),
            Due::Leave(word) => self.leave(word),
            Due::Limit => self.name_limits(),
            Due::Odd => self.write_over(),
            Due::Reenter(seat) => {
                let life = self.soak.life(seat);
                self.record.take_back(life, self.now());
                self.left.remove(&seat);
                self.soak.enter(seat, "ready");
            }
            Due::Replace(seat) => {
                self.left.remove(&seat);
                self.soak.revive(seat);
            }
            Due::Return(copy) => self.come_back(copy),
            Due::Rewrite(seat) => self.rewrite(seat),
            Due::Rest => self.ask_for_rest(),
            Due::Restart => self.restart(),
            Due::Take(seat) => self.soak.seats[seat].worker.set(Mode::Good),
            Due::Unlimit(seat) => self.name_limit(seat, None),
        }
    }

    /// Has the store go away for a moment, to come back from a copy, unless it fails already.
    fn drill(&mut self) {
        let fails =
            |(_, due): &(Time, Due)| matches!(due, Due::Heal(Fault::Store) | Due::Return(_));
        if self.copies.is_empty() || self.due.iter().any(fails) {
            return;
        }
        let copy = self.drills.random_range(0..self.copies.len());
        let away = self.drills.random_range(DRILL_MS);
        self.write(&format!(
            "the store is away for {away} ms, and back from copy {copy}"
        ));
        self.soak.shelf.away(true);
        let (from, to) = (self.now(), self.now().after(away));
        let to_late = to.after(2 * STEP.as_millis() as u64);
        let span = Span { from, to: to_late };
        self.record.disturb(Scope::Store, span);
        self.due.push((to, Due::Return(copy)));
    }

    /// Has the store come back from a copy. What this lacks its owners write again; entries of those that are gone lapse.
    fn come_back(&mut self, copy: usize) {
        let Some(copy) = self.copies.get(copy).cloned() else {
            return;
        };
        self.copies.clear();
        self.soak.shelf.restore(&copy);
        self.soak.shelf.away(false);
        let now = self.now();
        let lapsed = now.after(LAPSE_MS);
        let entries = copy.values("servers/");
        let lives: Vec<Incarnation> = (0..self.soak.seats.len())
            .map(|seat| self.soak.life(seat))
            .collect();
        for (seat, life) in lives.into_iter().enumerate() {
            let name = &self.soak.seats[seat].worker.name;
            let entry = entries.get(format!("servers/{name}").as_str());
            if entry.is_some_and(|entry| entry["state"] == "ready") {
                self.record.lose(life, lapsed);
            }
            let at = now.after(self.drills.random_range(0..REWRITE_MS));
            self.due.push((at, Due::Rewrite(seat)));
        }
        let at = now.after(self.drills.random_range(0..REWRITE_MS));
        self.due.push((at, Due::Configure));
        self.due.push((lapsed, Due::Lapse));
    }

    /// Has an upstream write its entry as it is, unless it left without a word or another writer's stands there.
    fn rewrite(&self, seat: usize) {
        let leaves = self.soak.seats[seat].worker.remark().leaving;
        let key = format!("servers/{}", self.soak.seats[seat].worker.name);
        if !self.left.contains(&seat) {
            self.soak.enter(seat, "ready");
        } else if leaves && self.words.contains(&seat) {
            self.soak.enter(seat, "draining");
        } else if leaves {
            self.soak.shelf.remove(&key);
        }
    }

    /// Ends the entries of upstreams that are none of those there are.
    fn lapse(&mut self) {
        let names = self
            .soak
            .seats
            .iter()
            .map(|seat| format!("servers/{}", seat.worker.name));
        let names: BTreeSet<String> = names.collect();
        for key in self.soak.shelf.keys("servers/") {
            if !names.contains(&key) {
                self.soak.shelf.remove(&key);
            }
        }
    }

    /// Has an upstream turn requests away for a moment and ask for rest.
    fn ask_for_rest(&mut self) {
        let seat = self.extras.random_range(0..self.soak.seats.len());
        let rest = RESTS_S[self.extras.random_range(0..RESTS_S.len())];
        let worker = &self.soak.seats[seat].worker;
        let remark = Remark {
            rest: Some(rest),
            ..worker.remark()
        };
        worker.say(remark);
        worker.set(Mode::Refuse);
        let name = worker.name.clone();
        self.write(&format!("{name} turns requests away and asks for {rest} s"));
        let lasts = self.extras.random_range(REFUSES_MS);
        self.due.push((self.now().after(lasts), Due::Take(seat)));
    }

    /// Has one upstream, or all of a pool, name a limit for a while.
    fn name_limits(&mut self) {
        let count = self.soak.seats.len();
        let one = self.limits.random_range(0..count);
        let all: bool = self.limits.random();
        let pool = self.soak.seats[one].pool;
        for seat in 0..count {
            if seat != one && (!all || self.soak.seats[seat].pool != pool) {
                continue;
            }
            let limit = LIMITS_PER_S[self.limits.random_range(0..LIMITS_PER_S.len())];
            self.name_limit(seat, Some(limit));
            let until = self.now().after(self.limits.random_range(LIMITED_MS));
            self.due.push((until, Due::Unlimit(seat)));
        }
    }

    /// Has an upstream name a limit from now on, or none.
    fn name_limit(&self, seat: usize, limit: Option<&'static str>) {
        let worker = &self.soak.seats[seat].worker;
        worker.say(Remark {
            limit,
            ..worker.remark()
        });
        let name = &worker.name;
        self.write(&format!("{name} names the limit {limit:?}"));
    }

    /// The place of an upstream, by chance, that is ready and not the last of its pool.
    fn ready_seat(&mut self) -> Option<usize> {
        let seat = self.extras.random_range(0..self.soak.seats.len());
        Some(seat).filter(|seat| !self.left.contains(seat) && self.others_stay(*seat))
    }

    /// Whether another upstream of the same pool stays.
    fn others_stay(&self, seat: usize) -> bool {
        let seats = &self.soak.seats;
        let stays =
            |other: &usize| seats[*other].pool == seats[seat].pool && !self.left.contains(other);
        (0..seats.len()).filter(stays).count() >= 2
    }

    /// Writes over an entry as another writer does; its upstream writes it again some heartbeats later.
    fn write_over(&mut self) {
        let Some(seat) = self.ready_seat() else {
            return;
        };
        self.left.insert(seat);
        let name = self.soak.seats[seat].worker.name.clone();
        self.write(&format!("{name}: its entry is another writer's"));
        let entry = json!({ "service": 7, "state": "asleep" });
        self.soak.shelf.put(&format!("servers/{name}"), &entry);
        self.record.take(self.soak.life(seat), self.now());
        let stands = self.extras.random_range(ODD_MS);
        self.due
            .push((self.now().after(stands), Due::Reenter(seat)));
    }

    /// Has an upstream start again under its name, or one that leaves.
    fn restart(&mut self) {
        let seat = self.extras.random_range(0..self.soak.seats.len());
        if !self.left.contains(&seat) && !self.others_stay(seat) {
            return;
        }
        let odd = |(_, due): &(Time, Due)| matches!(due, Due::Reenter(other) if *other == seat);
        if self.due.iter().any(odd) {
            return;
        }
        self.due
            .retain(|(_, due)| !matches!(due, Due::Replace(other) if *other == seat));
        self.left.remove(&seat);
        self.soak.restart(seat);
        let name = &self.soak.seats[seat].worker.name;
        self.write(&format!("{name} starts again"));
    }

    /// Writes a line of what is done into the folder of the logs.
    fn write(&self, what: &str) {
        let line = json!({ "at_ms": self.now().0, "time_ms": worker::unix_ms(), "what": what });
        self.soak.write("faults.log", &line.to_string());
    }

    fn cause(&mut self) {
        let random = &mut self.soak.random;
        let instances = self.soak.instances.len();
        let instance = random.random_range(0..instances);
        let seat = random.random_range(0..self.soak.seats.len());
        let lasts = random.random_range(LASTS_MS);
        let way = Way::ALL[random.random_range(0..Way::ALL.len())];
        let which = if random.random() {
            Hushed::All
        } else {
            Hushed::Waiting
        };
        match random.random_range(0..16) {
            0..4 => (0..instances).for_each(|instance| self.hush(instance, which)),
            4..6 => self.hush(instance, which),
            6..8 => {
                self.soak.stores[instance].set(way);
                self.last(Fault::Path(instance), lasts);
            }
            8 => {
                for instance in (0..instances).filter(|other| other % 2 == instance % 2) {
                    self.soak.stores[instance].set(way);
                    self.last(Fault::Path(instance), lasts);
                }
            }
            9 => {
                self.soak.shelf.away(true);
                self.last(Fault::Store, lasts);
            }
            10 => {
                self.soak.shelf.silent(true);
                self.last(Fault::Store, lasts);
            }
            11 => self.soak.shelf.forget(),
            12 => {
                self.soak.instances[instance].signal(Signal::Pause);
                self.last(Fault::Instance(instance), lasts);
            }
            13 => {
                self.soak.instances[instance].kill();
                self.last(Fault::Instance(instance), lasts);
            }
            14 => {
                self.soak.seats[seat].proxy.set(way);
                self.last(Fault::Link(seat), lasts);
            }
            _ => self.soak.configure(),
        }
    }

    /// Has open connections of an instance to the store say nothing further. That disturbs it for a moment.
    fn hush(&mut self, instance: usize, which: Hushed) {
        self.write(&format!(
            "the store's connections {which:?} of instance-{instance} go silent"
        ));
        self.soak.stores[instance].hush(which);
        let (from, to) = (self.now(), self.now());
        self.record
            .disturb(Scope::Instance(instance), Span { from, to });
    }

    /// Has a fault last for some time.
    fn last(&mut self, fault: Fault, millis: u64) {
        self.write(&format!("{fault:?} for {millis} ms"));
        let from = self.now();
        let to = from.after(millis);
        let scope = match fault {
            Fault::Instance(instance) | Fault::Path(instance) => Scope::Instance(instance),
            Fault::Link(seat) => Scope::Link(seat),
            Fault::Store => Scope::Store,
        };
        // What is healed a step late is disturbed until then.
        let to_late = to.after(2 * STEP.as_millis() as u64);
        let span = Span { from, to: to_late };
        self.record.disturb(scope, span);
        if let Fault::Instance(_) | Fault::Link(_) = fault {
            self.said.disturb(scope, span);
        }
        self.due.push((to, Due::Heal(fault)));
    }

    fn heal(&mut self, fault: Fault) {
        match fault {
            Fault::Instance(instance) => {
                self.soak.instances[instance].signal(Signal::Continue);
                self.soak.instances[instance].start();
            }
            Fault::Link(seat) => self.soak.seats[seat].proxy.set(Way::Open),
            Fault::Path(instance) => self.soak.stores[instance].set(Way::Open),
            Fault::Store => {
                self.soak.shelf.away(false);
                self.soak.shelf.silent(false);
            }
        }
    }

    /// Has an upstream leave, if another one of its pool stays, and end later.
    fn leave(&mut self, word: bool) {
        let count = self.soak.seats.len();
        let seat = self.soak.random.random_range(0..count);
        if self.left.contains(&seat) || !self.others_stay(seat) {
            return;
        }
        self.left.insert(seat);
        let worker = &self.soak.seats[seat].worker;
        worker.say(Remark {
            leaving: true,
            ..worker.remark()
        });
        let name = worker.name.clone();
        self.words.remove(&seat);
        if word {
            self.words.insert(seat);
            self.soak.enter(seat, "draining");
        } else {
            self.soak.shelf.remove(&format!("servers/{name}"));
        }
        self.record.take(self.soak.life(seat), self.now());
        let how = if word {
            "says that it leaves"
        } else {
            "leaves without a word"
        };
        self.write(&format!("{name} {how}"));
        let serves = RULE.leave_ms + self.soak.random.random_range(0..SERVES_ON_MS);
        self.due
            .push((self.now().after(serves), Due::Replace(seat)));
    }

    /// What reached an upstream, and when its caller sent it; `None` if no caller of the soak did.
    fn arrival(&self, run: &str, worker: &str, born: u64, at: Instant) -> Option<(Arrival, Time)> {
        let (instance, sent) = self.soak.shared.sender(run)?;
        let arrival = Arrival {
            at: self.time(at),
            instance,
            life: Incarnation::new(worker, born),
            link: soak::seat_of(worker),
            run: run.to_owned(),
        };
        Some((arrival, self.time(sent)))
    }

    fn time(&self, at: Instant) -> Time {
        let since = at.saturating_duration_since(self.begun);
        Time(since.as_millis() as u64)
    }

    /// Holds what reached upstreams against what they said beside their answers.
    fn check_said(&mut self) {
        for (instance, life, at) in self.soak.shared.said() {
            let at = self.time(at);
            self.said.hear(instance, life, at);
        }
        let mut limits = limited::Record::default();
        let (mut arrivals, mut refusals) = (Vec::new(), Vec::new());
        for reached in self.soak.ledger.arrivals() {
            let (run, worker) = (&reached.run, &reached.worker);
            let Some((arrival, sent)) = self.arrival(run, worker, reached.born, reached.at) else {
                continue;
            };
            if let Some(late_ms) = self.said.late_ms(&arrival, sent) {
                let text = format!("{run} was sent to {worker} {late_ms} ms behind its answer");
                self.soak.shared.broken(text);
            }
            let told = limits.told(&arrival);
            let excused = told.is_some_and(|told| self.said.stopped(&arrival, told));
            if let Some(more) = limits.arrive(&arrival, reached.limit, excused) {
                let limit = reached.limit.unwrap_or_default();
                let text = format!(
                    "{more} requests reached {worker} in 4 s, which takes {limit} a second"
                );
                self.soak.shared.broken(text);
            }
            if let Some(rest) = reached.rest.and_then(|rest| rest.parse::<f64>().ok()) {
                refusals.push(Refusal {
                    arrival: arrival.clone(),
                    rest_ms: (rest * 1_000.0) as u64,
                });
            }
            arrivals.push(arrival);
        }
        for refusal in refusals {
            let within = self.said.within(&refusal, &arrivals).len();
            if within > said::WITHIN {
                let text = format!("{within} requests came within a rest: {refusal:?}");
                self.soak.shared.broken(text);
            }
        }
    }

    /// Holds what reached upstreams against the rule; of each upstream the first and the last late request are told.
    fn check(&self) {
        let mut late: BTreeMap<String, Vec<String>> = BTreeMap::new();
        for run in self.soak.ledger.runs() {
            let name = run.header("wellplank-request-id");
            let Some((arrival, _)) = self.arrival(name, &run.worker, run.born, run.at) else {
                continue;
            };
            let instance = arrival.instance;
            if let Some(late_ms) = self.record.late_ms(&arrival) {
                let upstream = run.worker.clone();
                let Arrival { at, run, .. } = arrival;
                let text = format!(
                    "{run} reached {upstream} from instance-{instance} at {at}, {late_ms} ms behind its word"
                );
                late.entry(upstream).or_default().push(text);
            }
        }
        for texts in late.into_values() {
            let count = texts.len();
            self.soak
                .shared
                .broken(format!("1 of {count}: {}", texts[0]));
            if count > 1 {
                self.soak
                    .shared
                    .broken(format!("{count} of {count}: {}", texts[count - 1]));
            }
        }
    }
}
