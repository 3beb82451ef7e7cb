//! Requests that end the upstreams that run them, in virtual time: fleets of one to hundreds of instances, beside upstreams that
//! end for other reasons, connections that break, lost datagrams, partitions, and losses of one instance or of all.
//!
//! What such a request did is known here for certain, and is held against the users' rule: once it has ended three upstreams, and
//! instances have had the time to hear of it, it reaches upstreams three times more at most. Requests that end nothing are
//! counted when they are refused.

use super::*;
use crowd::Kind;
use pool::Mode;
use relaying::World;
use wellplank_core::{
    clock::Time,
    event::Failure,
    quarantine::CrashHistory,
    settings::{QuarantineRule, ResumeMode, Settings},
};

/// Time in which instances that reach each other must know what one of them knows.
const CONTACT_MS: u64 = 3_000;

/// Ends of upstreams from which on sendings count.
const ENDS: usize = 3;

/// Sendings that may be behind them.
const MORE: usize = 3;

/// Ends that an instance keeps, at most.
const KEPT: usize = 512;

/// Virtual time in which requests come.
const LASTS_MS: u64 = 20_000;

/// Virtual time that all is given to end.
const SETTLE_MS: u64 = 40_000;

/// Time between two ticks of an instance of a large fleet.
pub(crate) const TICK_LARGE_MS: u64 = 50;

/// Time after which an upstream is back, in milliseconds.
const BACK_MS: std::ops::Range<u64> = 1_000..5_000;

/// Sizes of small fleets: instances, and upstreams at most.
pub const SMALL: &[(usize, usize)] = &[(1, 12), (1, 40), (6, 8), (6, 24), (6, 40), (13, 40)];

/// Sizes of large fleets.
pub const LARGE: &[(usize, usize)] = &[(13, 80), (74, 80), (295, 320)];

/// How a request ends an upstream.
#[derive(Clone, Copy, Debug)]
struct Fatal {
    /// Event of a run at which it does.
    at: u64,
    /// One run in so many ends its upstream.
    every: u64,
}

/// What a request that ends upstreams did.
#[derive(Clone, Debug, Default)]
struct Deeds {
    /// When it ended upstreams.
    ends: Vec<Time>,
    /// When it reached upstreams, from instances that the rule holds.
    sent: Vec<Time>,
    runs: u64,
}

/// Requests that end their upstreams, and what they did.
#[derive(Clone, Debug, Default)]
pub(crate) struct Poison {
    /// Whether the first half of the instances is cut off from the others.
    cut: Option<usize>,
    /// When the last cut, or absence of the store, ended.
    healed: Time,
    deeds: BTreeMap<u64, Deeds>,
    fatal: BTreeMap<u64, Fatal>,
    /// What the store keeps.
    pub kept: CrashHistory,
    /// Whether the store can be reached.
    pub store: bool,
    pub tick_ms: Option<u64>,
}

/// What came of some cases.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Requests that end nothing.
    pub innocents: usize,
    /// Those of them that were refused as if they did.
    pub innocents_refused: usize,
    /// Those of them that were answered whole.
    pub innocents_whole: usize,
    /// Requests that end their upstreams.
    pub poisons: usize,
    /// Upstreams that they ended.
    pub ended: usize,
    /// What must always hold and did not.
    pub violations: Vec<String>,
}

/// What comes in a case.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Whether upstreams end, connections break and instances are lost for other reasons too.
    pub faults: bool,
    /// By which rule such requests are found.
    pub guilt: QuarantineRule,
    /// Requests that end their upstreams; `None` for some, by chance.
    pub poisons: Option<u64>,
    /// Weight of keeping suspects apart.
    pub apart: f64,
    /// Sizes of fleets.
    pub sizes: &'static [(usize, usize)],
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            apart: Settings::default().place.suspect,
            faults: true,
            guilt: QuarantineRule::Lives,
            poisons: None,
            sizes: SMALL,
        }
    }
}

impl Outcome {
    /// Adds another outcome.
    pub fn add(&mut self, other: Self) {
        self.ended += other.ended;
        self.innocents += other.innocents;
        self.innocents_refused += other.innocents_refused;
        self.innocents_whole += other.innocents_whole;
        self.poisons += other.poisons;
        self.violations.extend(other.violations);
    }
}

impl Poison {
    /// Whether a datagram of one instance reaches another.
    pub fn reaches(&self, from: usize, to: usize) -> bool {
        self.cut.is_none_or(|cut| (from < cut) == (to < cut))
    }
}

/// Runs one case.
pub fn case(seed: u64, plan: Plan) -> Outcome {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let (instances, engines) = plan.sizes[random.random_range(0..plan.sizes.len())];
    let engines = random.random_range(engines.div_ceil(2)..=engines);
    let mut world = World::new(instances, engines, ResumeMode::Copy, seed);
    world.poison.store = true;
    world.poison.tick_ms = (instances > 20).then_some(TICK_LARGE_MS);
    world.settings.quarantine = plan.guilt;
    world.settings.place.suspect = plan.apart;
    for instance in 0..instances {
        world.kill(instance);
        world.restart(instance);
    }
    world.run_for(relaying::LIST_MS);
    world.declare(&mut random, plan);
    let end = world.timeline.now().after(LASTS_MS);
    while world.timeline.now() < end {
        world.come(&mut random);
        if plan.faults {
            world.befall(&mut random);
        }
        world.run_for(random.random_range(10..400));
    }
    world.poison.cut = None;
    world.return_store();
    world.run_for(SETTLE_MS);
    world.outcome(seed)
}

impl World {
    /// Chooses the requests that end their upstreams.
    fn declare(&mut self, random: &mut Pcg64Mcg, plan: Plan) {
        let some = if random.random() {
            1
        } else {
            random.random_range(1..=20)
        };
        let count = plan.poisons.unwrap_or(some);
        for poison in 0..count {
            let at = [1, 1, 2, 20][random.random_range(0..4)];
            let every = if plan.faults {
                [1, 1, 1, 2][random.random_range(0..4)]
            } else {
                1
            };
            // Far above the numbers of all callers.
            self.poison
                .fatal
                .insert(1 << 40 | poison, Fatal { at, every });
        }
    }

    /// Some callers ask; now and then one of the requests that end their upstreams, once or at many instances at once.
    fn come(&mut self, random: &mut Pcg64Mcg) {
        let instances = self.instances.len();
        for _ in 0..random.random_range(0..4) {
            let kind = Kind::ALL[random.random_range(0..Kind::ALL.len())];
            self.ask_at(kind, random.random_range(0..instances));
        }
        let prints: Vec<u64> = self.poison.fatal.keys().copied().collect();
        if prints.is_empty() || random.random_range(0..5) > 0 {
            return;
        }
        let print = prints[random.random_range(0..prints.len())];
        let times = if random.random_range(0..8) == 0 {
            random.random_range(2..12)
        } else {
            1
        };
        for _ in 0..times {
            self.ask_same(Kind::Stream, random.random_range(0..instances), print);
        }
    }

    /// Causes a fault, or ends one.
    fn befall(&mut self, random: &mut Pcg64Mcg) {
        let upstream = random.random_range(0..self.upstreams.len());
        let instance = random.random_range(0..self.instances.len());
        match random.random_range(0..60) {
            0 => self.end_upstream(upstream),
            1 => {
                for index in (0..self.upstreams.len()).filter(|index| index % 12 == upstream % 12) {
                    self.end_upstream(index);
                }
            }
            2 | 3 => self.break_connections(upstream),
            4 => self.kill(instance),
            5 => {
                for instance in 0..self.instances.len() {
                    self.kill(instance);
                }
                if !self.poison.store {
                    // What nobody knows and the store could not be told is lost; all begins anew.
                    self.poison.deeds.clear();
                }
            }
            6 => self.poison.cut = Some(instance),
            7 | 8 if self.poison.cut.is_some() => {
                self.poison.cut = None;
                self.poison.healed = self.timeline.now();
            }
            9 => self.poison.store = false,
            10..13 if !self.poison.store => self.return_store(),
            13 => self.upstreams[upstream].leaving = Some(self.timeline.now()),
            _ => {}
        }
    }

    /// The store can be reached again: instances write what it could not be told, and read what they could not.
    fn return_store(&mut self) {
        self.poison.store = true;
        self.poison.healed = self.timeline.now();
        for instance in &self.instances {
            let Some(core) = &instance.core else {
                continue;
            };
            for print in core.quarantined() {
                let _ = self
                    .poison
                    .kept
                    .merge(&core.crash_history().evidence_for(print));
            }
        }
        let kept = self.poison.kept.clone();
        for instance in 0..self.instances.len() {
            self.tell(
                instance,
                wellplank_core::event::Event::CrashReported(kept.clone().into()),
            );
        }
    }

    fn end_upstream(&mut self, upstream: usize) {
        if self.upstreams[upstream].mode == Mode::Down {
            return;
        }
        self.set(upstream, Mode::Down);
        let life = self.upstreams[upstream].life;
        let back = self.random.random_range(BACK_MS);
        self.timeline
            .schedule(back, relaying::Action::Revive(upstream, life));
    }

    /// Breaks the connections to an upstream that lives on.
    fn break_connections(&mut self, upstream: usize) {
        let lines: Vec<_> = self.upstreams[upstream].streams.drain().collect();
        for (line, _) in lines {
            self.fail(line, Failure::Broken);
        }
    }

    /// Whether a run ends its upstream at its so many-th event.
    pub(crate) fn is_fatal(&self, asker: usize, made: u64) -> bool {
        let print = self.askers[asker].print;
        let Some(fatal) = self.poison.fatal.get(&print) else {
            return false;
        };
        let runs = self.poison.deeds.get(&print).map_or(0, |deeds| deeds.runs);
        made == fatal.at && runs.is_multiple_of(fatal.every)
    }

    /// A request ends the upstream that runs it.
    pub(crate) fn end_by(&mut self, upstream: usize, asker: usize) {
        let (print, now) = (self.askers[asker].print, self.timeline.now());
        self.poison.deeds.entry(print).or_default().ends.push(now);
        self.end_upstream(upstream);
    }

    /// A request reaches an upstream. The rule holds for instances that have run, and reached all others, for a while.
    pub(crate) fn note_poison(&mut self, asker: usize, instance: usize) {
        let print = self.askers[asker].print;
        if !self.poison.fatal.contains_key(&print) {
            return;
        }
        let now = self.timeline.now();
        let cut = self.poison.cut.is_some() || !self.poison.store;
        let alone = cut || now.since(self.poison.healed) < CONTACT_MS;
        let new = now.since(self.instances[instance].since) < CONTACT_MS;
        let deeds = self.poison.deeds.entry(print).or_default();
        deeds.runs += 1;
        if !alone && !new {
            deeds.sent.push(now);
        }
    }

    /// What came of it all.
    fn outcome(&mut self, seed: u64) -> Outcome {
        let mut outcome = Outcome {
            poisons: self.poison.fatal.len(),
            violations: std::mem::take(&mut self.case.violations),
            ..Outcome::default()
        };
        for (print, deeds) in &self.poison.deeds {
            outcome.ended += deeds.ends.len();
            let late = |at: &&Time| {
                let third = deeds.ends.get(ENDS - 1);
                third.is_some_and(|third| **at > third.after(CONTACT_MS))
            };
            let late = deeds.sent.iter().filter(late).count();
            // Who is answered whole in between is cleared each time.
            let always = self.poison.fatal[print].every == 1;
            if late > MORE && always {
                let times = |times: &[Time]| -> Vec<u64> {
                    let begin = relaying::START;
                    times.iter().map(|at| at.since(begin)).collect()
                };
                let (ends, sent) = (times(&deeds.ends), times(&deeds.sent));
                outcome.violations.push(format!(
                    "{print:x} reached upstreams {late} times more: ends at {ends:?}, sent at {sent:?}"
                ));
            }
        }
        for asker in &self.askers {
            if self.poison.fatal.contains_key(&asker.print) {
                continue;
            }
            outcome.innocents += 1;
            outcome.innocents_refused += usize::from(asker.quarantined);
            outcome.innocents_whole += usize::from(asker.whole);
        }
        for instance in &self.instances {
            if instance.account.1.len() > KEPT {
                outcome.violations.push("an account is too large".into());
            }
        }
        for violation in &mut outcome.violations {
            *violation = format!("seed {seed}: {violation}");
        }
        outcome
    }
}
