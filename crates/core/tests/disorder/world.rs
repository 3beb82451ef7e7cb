//! A core, what its edge would know of it, and the clock.

use super::*;
use oracle::Progress;

/// Time of the first event.
const START: Time = Time(1_800_000_000_000);

/// Names of upstreams at most.
const NAMES: usize = 6;

/// Events of a case.
const STEPS: std::ops::Range<usize> = 30..300;

/// Longest time that an instance takes to stop, in milliseconds.
const SHUTDOWN_MS: u64 = 8_000;

/// Events behind the end of a stop.
const LATE_STEPS: usize = 20;

/// Time after the last event by which every request must have ended, in milliseconds: more than the longest deadline and
/// deferral together.
const DRAIN_MS: u64 = 60_000;

/// Interval of the ticks during that time, in milliseconds.
const DRAIN_TICK_MS: u64 = 200;

/// An attempt that was sent, as its upstream and the edge know it.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub attempt: attempt::Key,
    pub caller: Option<Caller>,
    /// Position of the last event that was sent back.
    pub position: u64,
    pub upstream: upstream::Key,
}

/// A core under test.
pub struct World {
    /// Number of fingerprints of bodies.
    pub bodies: u64,
    pub callers: BTreeMap<Caller, Progress>,
    /// Incarnations whose crash check was asked for.
    pub checks: Vec<Incarnation>,
    /// Requests whose claim was asked for.
    pub claims: Vec<request::Key>,
    /// Connections that were asked for.
    pub connections: Vec<(Time, upstream::Key)>,
    pub core: Core,
    /// Cursors that callers received.
    pub cursors: Vec<Vec<u8>>,
    /// Attempts that have ended.
    pub ended: Vec<Sent>,
    /// Entries of the list at present, by name.
    pub listed: BTreeMap<String, ListEntry>,
    /// Attempts that have not ended, as far as the edge knows.
    pub live: Vec<Sent>,
    /// Number of the last caller.
    pub last_caller: u64,
    pub now: Time,
    pub random: Pcg64Mcg,
    /// Number of the last configuration.
    pub revision: u64,
    /// Whether several pools, services and versions are in play.
    pub is_varied: bool,
    /// Whether its stop has ended, behind which nothing may be sent.
    pub has_shut_down: bool,
    /// Number of names of upstreams.
    pub names: usize,
    pub violations: Vec<String>,
    /// How often each event happens, relative to the rest.
    pub weights: Vec<u32>,
}

impl World {
    /// A core with settings drawn from a seed.
    pub fn new(seed: u64) -> Self {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let settings = settings(&mut random);
        let mut core = Core::new(settings, [0; 32], seed, START).in_data_centre("dc-0");
        if random.random_bool(0.7) {
            core = core.counting_unread();
        }
        if random.random_bool(0.2) {
            core = core.restoring_streams();
        }
        Self {
            bodies: random.random_range(2..=steps::BODIES),
            callers: BTreeMap::new(),
            checks: Vec::new(),
            claims: Vec::new(),
            connections: Vec::new(),
            core,
            cursors: Vec::new(),
            ended: Vec::new(),
            has_shut_down: false,
            is_varied: random.random_bool(0.5),
            last_caller: 0,
            listed: BTreeMap::new(),
            live: Vec::new(),
            names: random.random_range(1..=NAMES),
            now: START,
            revision: 0,
            violations: Vec::new(),
            weights: steps::weights(&mut random),
            random,
        }
    }

    /// Runs a case: events of every kind, then only time. In some cases the instance stops while they happen.
    pub fn run(&mut self) {
        if self.chance(0.9) {
            steps::configure(self);
            steps::list_whole(self);
        }
        let steps = self.random.random_range(STEPS);
        let stops_at = self.chance(0.3).then(|| self.random.random_range(0..steps));
        for step in 0..steps {
            if Some(step) == stops_at {
                let left_ms = self.random.random_range(0..=SHUTDOWN_MS);
                self.handle(Event::ShutdownStarted { left_ms });
            }
            steps::take(self);
            if !self.violations.is_empty() {
                return;
            }
        }
        if stops_at.is_some() {
            self.handle(Event::ShutdownEnded);
            self.has_shut_down = true;
            self.judge_end();
            // What the edge had received before it learnt of the end.
            for _ in 0..LATE_STEPS {
                steps::take(self);
            }
            self.judge_end();
            return;
        }
        self.handle(Event::StreamsRestored);
        for _ in 0..DRAIN_MS / DRAIN_TICK_MS {
            self.now = self.now.after(DRAIN_TICK_MS);
            self.handle(Event::Tick);
        }
        self.judge_end();
    }

    /// Handles an event, takes note of the effects, and checks the state.
    pub fn handle(&mut self, event: Event) {
        let name = format!("{event:?}");
        let name = name.split([' ', '(']).next().unwrap_or_default().to_owned();
        for effect in self.core.handle(self.now, event) {
            if self.has_shut_down && matches!(effect, Effect::Send { .. }) {
                self.violations.push(format!("{effect:?} behind the stop"));
            }
            self.judge(&effect);
            self.note(effect);
        }
        let lines = self.core.inconsistencies().into_iter();
        self.violations
            .extend(lines.map(|line| format!("{line}, behind {name}")));
    }

    /// Takes note of what an effect tells the edge.
    fn note(&mut self, effect: Effect) {
        match effect {
            Effect::Send {
                attempt,
                outbound,
                upstream,
                ..
            } => {
                let (caller, position) = match outbound {
                    Outbound::Relay {
                        caller, position, ..
                    } => (Some(caller), position),
                    Outbound::Attach { position, .. } => (None, u64::from(position)),
                    Outbound::Generate { prefix, .. } => (None, prefix.len() as u64),
                    Outbound::Call { .. } => (None, 0),
                };
                self.live.push(Sent {
                    attempt,
                    caller,
                    position,
                    upstream,
                });
            }
            Effect::Cancel { attempt, .. } | Effect::Detach(attempt) => self.end(attempt),
            Effect::Claim { request, .. } => self.claims.push(request),
            Effect::Deliver { cursor, .. } => self.cursors.push(cursor.to_vec()),
            Effect::Connectivity(effect::Connectivity::Check {
                started_at,
                upstream,
                ..
            }) => self.connections.push((started_at, upstream)),
            Effect::Probe { upstream, .. } => self.connections.push((self.now, upstream)),
            Effect::Quarantine(effect::Quarantine::CheckCrash { incarnation, .. }) => {
                self.checks.push(incarnation);
            }
            _ => {}
        }
    }

    /// Takes note that an attempt has ended.
    pub fn end(&mut self, attempt: attempt::Key) {
        let is_it = |sent: &mut Sent| sent.attempt == attempt;
        let ended = self.live.extract_if(.., is_it);
        self.ended.extend(ended);
    }

    /// An attempt: mostly one that has not ended.
    pub fn any_attempt(&mut self) -> Option<Sent> {
        let is_late = self.chance(0.05);
        let among = if is_late { &self.ended } else { &self.live };
        let index = self.random.random_range(0..among.len().max(1));
        among.get(index).copied()
    }

    /// An attempt of a relayed request.
    pub fn any_relayed(&mut self) -> Option<Sent> {
        self.any_attempt().filter(|sent| sent.caller.is_some())
    }

    /// An upstream that was sent something, which may have left.
    pub fn any_upstream(&mut self) -> Option<upstream::Key> {
        let sent = self.any_attempt().map(|sent| sent.upstream);
        let index = self.random.random_range(0..self.connections.len().max(1));
        let connected = self.connections.get(index).map(|(_, upstream)| *upstream);
        sent.or(connected)
    }

    /// The incarnation of an entry, or one that may never have been listed.
    pub fn any_incarnation(&mut self) -> Incarnation {
        let index = self.random.random_range(0..self.listed.len().max(1));
        let entry = self.listed.values().nth(index).cloned();
        let is_listed = self.chance(0.9);
        match entry.filter(|_| is_listed) {
            Some(entry) => entry.incarnation(),
            None => Incarnation::new(&self.any_name(), self.random.random_range(0..4)),
        }
    }

    pub fn any_name(&mut self) -> String {
        format!("runner-{}", self.random.random_range(0..self.names))
    }

    /// A pool, mostly the one that most services are of.
    pub fn any_pool(&mut self) -> String {
        let odd = if self.is_varied { 0.3 } else { 0.03 };
        if !self.chance(odd) {
            return "pool".into();
        }
        let pools = ["other", "unknown", "engines"];
        pools[self.random.random_range(0..pools.len())].into()
    }

    pub fn chance(&mut self, probability: f64) -> bool {
        self.random.random_bool(probability)
    }
}

/// One of several values.
fn one<T: Copy>(random: &mut Pcg64Mcg, values: &[T]) -> T {
    values[random.random_range(0..values.len())]
}

/// One of several values with names.
fn named<T: Copy>(random: &mut Pcg64Mcg, values: &[(&'static str, T)]) -> T {
    one(random, values).1
}

/// Settings of an instance, drawn at random.
pub fn settings(random: &mut Pcg64Mcg) -> Settings {
    let mut settings = Settings {
        attempts_max: one(random, &[1, 2, 5, 8]),
        continuation: random.random_bool(0.9),
        limits: named(random, &LimitHolders::ALL),
        liveness: named(random, &LivenessMethod::ALL),
        probes: random.random_bool(0.3),
        quarantine: named(random, &QuarantineRule::ALL),
        relay_resume: one(
            random,
            &[
                ResumeMode::Copy,
                ResumeMode::Copy,
                ResumeMode::Anew,
                ResumeMode::None,
            ],
        ),
        routing: named(random, &Routing::ALL),
        subset: one(random, &[0, 0, 1, 3]),
        versions: named(random, &VersionPolicy::ALL),
        ..Settings::default()
    };
    settings.calls.admission = named(random, &CallAdmission::ALL);
    settings.calls.demand = random.random_bool(0.7);
    settings.calls.place = named(random, &CallPlacement::ALL);
    settings.calls.second = random.random_bool(0.5);
    settings.calls.window = random.random_bool(0.7);
    settings.room.refuse = random.random_bool(0.5);
    settings.room.turns = random.random_bool(0.8);
    settings.shared.losses = random.random_bool(0.9);
    settings.shared.unsent = random.random_bool(0.8);
    settings.urgency.mode = named(random, &UrgencyMode::ALL);
    settings.urgency.yielding = named(random, &Yielding::ALL);
    if random.random_bool(0.3) {
        settings.retry = RetryBound {
            extra: one(random, &[0.0, 1.0, 10.0]),
            ratio: one(random, &[0.0, 0.1, 1.0]),
            window_ms: one(random, &[1_000, 10_000]),
        };
    }
    if random.random_bool(0.5) {
        settings.unread.customer_bytes = one(random, &[0, 20_000, 60_000]);
        settings.unread.instance_bytes = one(random, &[0, 15_000, 50_000]);
        settings.unread.request_bytes = one(random, &[0, 5_000, 20_000]);
    }
    if random.random_bool(0.1) {
        settings.held_bytes_max = 20_000;
    }
    settings
}
