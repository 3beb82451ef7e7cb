//! What all instances ask of a plain service together, and which part of it the service can serve.
//!
//! The load that this answers: more calls than a service's slots serve, asked at hundreds of instances that
//! each see a few of them a second. A window of calls that each instance keeps alone can not be less than one
//! call, and hundreds of such windows are many times what the service holds. So instances tell each other
//! what they are asked for, and where that is more than the slots serve each admits the same part of its
//! calls. The part is the same everywhere, however unevenly callers are spread and however little an instance
//! sees; nothing is kept for an instance that does not need it.

use super::*;

/// Time over which calls are counted for their rate, in milliseconds: a burst is known after about as long.
/// With half of it the rate of 295 instances is no better known, since what they tell is as old.
const RATE_MS: f64 = 250.0;

/// Time between two words to other instances, in milliseconds; several within `RATE_MS` would say the same.
const TELL_MS: u64 = 250;

/// Time after which another instance's word no longer counts, in milliseconds; instances tell more often
/// while they are asked for anything.
const KEPT_MS: u64 = 3_000;

/// Instances that must have been heard before what they tell stands for those that were not: with so many
/// the whole is known to about a third, and a data centre of a fleet of tens has more.
const HEARD_LEAST: usize = 8;

/// AdmittedShare of what the slots serve up to which calls are admitted. With random arrivals at 6 slots and 24 waiting
/// one call in 60 is turned away at 0.95, one in 200 at 0.9.
const FILL: f64 = 0.9;

/// Calls under way for each slot that are aimed at while calls are refused: at the least one that runs, and for some slots one that
/// waits, so that few are idle; more where answers are wanted late enough, and fewer than a window lets through, or what
/// waits at a lone instance is not seen.
const CALLS_PER_SLOT: std::ops::RangeInclusive<f64> = 1.6..=2.4;

/// AdmittedShare of what is served that callers who were refused before may have of it, where new ones would fill it:
/// their answers are late already. With more of it fewer are refused twice, and more are late.
const RETURNED_PART: f64 = 0.1;

/// Milliseconds by which a caller's time must be shorter than others' for it to have come back.
pub(crate) const RETRY_MARGIN_MS: u64 = 50;

/// Weight of a new sample in the time that calls take, at least.
const GAIN: f64 = 0.05;

/// Times of what calls usually take after which one is hung, and says nothing of how many wait.
const HUNG: f64 = 8.0;

/// Times of what a call takes for which one is believed to wait that was turned away: four wait for each slot
/// where queues are as long as on the users' platform.
const TURNED_AWAY: f64 = 5.0;

/// Weight of a new sample in the time that calls take at an upstream: some tens of calls, which all instances
/// together make within a second while they press.
const UPSTREAM_GAIN: f64 = 0.05;

/// Power of its time by which an upstream is given less. At twice the load 12,271 calls are in time with 0, 13,399
/// with 1 and 12,391 with 2, which swings.
const UPSTREAM_POWER: i32 = 1;

/// Power of the ratio by which a step goes: what is told is a second old, and whole steps would swing.
const STEP_POWER: f64 = 0.05;

/// Largest and smallest step of the correction, and its bounds: what calls take may be known wrong by so much.
const STEPS: std::ops::RangeInclusive<f64> = 0.8..=1.05;
const CORRECTIONS: std::ops::RangeInclusive<f64> = 0.25..=2.0;

/// AdmittedShare of what the slots serve from which on callers' own data centre is no longer preferred, and from which
/// on it does not count at all: its upstreams may be fewer than its callers need.
const NEAR: std::ops::Range<f64> = 0.5..0.7;

/// AdmittedShare of what the slots serve from which on a service is full, and all instances are told at once, not only those of the own data
/// centre along with something else. With 0.5, which is below the usual load of the large site, that alone added
/// a half to the bytes between data centres.
const FULL: f64 = 0.9;

/// What one instance is asked of a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// New calls a second.
    pub arrival_rate: f64,
    /// The call that ended last, if one has since the last word.
    pub last_call: Option<FinishedCall>,
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Calls a second of callers that came back after a refusal.
    pub retry_rate: f64,
    /// Calls under way.
    pub running: u32,
    /// Milliseconds that a call takes while none waits; 0 if this instance has seen none.
    pub service_time_ms: f64,
}

/// How long a call took, as one upstream answered it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FinishedCall {
    /// Time from sending to the answer, in milliseconds; for one that was turned away, that behind a full queue.
    pub duration_ms: u32,
    /// The number of the upstream's life.
    pub upstream: u64,
}

/// Events a second, the recent ones counting most.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    at: Time,
    level: f64,
}

/// What an instance told, and when.
#[derive(Clone, Copy, Debug)]
struct PeerDemand {
    arrival_rate: f64,
    at: Time,
    retry_rate: f64,
    running: u32,
    service_time_ms: f64,
}

/// What all instances ask for.
#[derive(Clone, Copy, Debug, Default)]
struct FleetDemand {
    arrival_rate: f64,
    retry_rate: f64,
    running: f64,
    /// Milliseconds that a call takes while none waits, as the mean of what instances saw; 0 if none saw any.
    service_time_ms: f64,
}

/// Which part of the calls is admitted; above 1 while there is room for more.
#[derive(Clone, Copy, Debug)]
struct AdmittedShare {
    /// Of new ones.
    new: f64,
    /// Of those whose callers came back.
    retry: f64,
}

/// What is known of the demand for one pool.
#[derive(Clone, Debug)]
pub(crate) struct DemandTracker {
    adjusted: Time,
    arrivals: Rate,
    /// By how much more, or less, is admitted than slots and times say.
    correction: f64,
    /// The call that ended last, if the others were not told of it yet.
    last_call: Option<FinishedCall>,
    /// What is asked for, over what is served.
    load: f64,
    /// Time in which the answer to the last call was wanted, in milliseconds.
    objective_ms: f64,
    others: HashMap<SocketAddr, PeerDemand>,
    admitted: AdmittedShare,
    retries: Rate,
    /// Calls whose time was taken.
    samples: f64,
    /// Milliseconds that a call takes while none waits.
    service_time_ms: f64,
    broadcast_at: Time,
}

impl Rate {
    fn add(&mut self, now: Time) {
        self.level = self.level(now) + 1.0;
        self.at = now;
    }

    fn level(&self, now: Time) -> f64 {
        self.level * (-(now.since(self.at) as f64) / RATE_MS).exp()
    }

    fn per_second(&self, now: Time) -> f64 {
        self.level(now) * 1_000.0 / RATE_MS
    }
}

impl AdmittedShare {
    const ALL: Self = Self {
        new: f64::INFINITY,
        retry: f64::INFINITY,
    };
}

impl Default for DemandTracker {
    fn default() -> Self {
        Self {
            adjusted: Time::default(),
            arrivals: Rate::default(),
            correction: 1.0,
            last_call: None,
            load: 0.0,
            objective_ms: 0.0,
            others: HashMap::new(),
            admitted: AdmittedShare::ALL,
            retries: Rate::default(),
            samples: 0.0,
            service_time_ms: 0.0,
            broadcast_at: Time::default(),
        }
    }
}

impl DemandTracker {
    /// Another instance told what it is asked for.
    fn merge_peer(&mut self, from: SocketAddr, demand: &Demand, now: Time) {
        let told = PeerDemand {
            arrival_rate: demand.arrival_rate,
            at: now,
            retry_rate: demand.retry_rate,
            running: demand.running,
            service_time_ms: demand.service_time_ms,
        };
        self.others.insert(from, told);
    }

    /// Whether any instance was asked for anything.
    fn is_known(&self) -> bool {
        self.arrivals.level + self.retries.level > 0.0 || !self.others.is_empty()
    }

    /// A call was answered after some time, while none waited at the service.
    fn answered(&mut self, millis: u64) {
        self.samples += 1.0;
        self.service_time_ms +=
            (millis as f64 - self.service_time_ms) * (1.0 / self.samples).max(GAIN);
    }

    /// Milliseconds that a call takes while none waits; 0 if this instance has seen none.
    pub fn service_time_ms(&self) -> f64 {
        self.service_time_ms
    }

    /// Age from which on a call is hung, in milliseconds.
    fn hung_ms(&self) -> u64 {
        if self.service_time_ms == 0.0 {
            return u64::MAX;
        }
        (self.service_time_ms * HUNG) as u64
    }

    /// What all instances ask for, this one's own calls under way with them. Those that were not heard are
    /// believed to be like those that were.
    fn whole(&self, running: u32, instances: u32, now: Time) -> FleetDemand {
        let recent = self.others.values();
        let recent = recent.filter(|told| now.since(told.at) < KEPT_MS);
        let mut heard = 0;
        let mut others = FleetDemand::default();
        let (mut service_time_ms, mut known) =
            (self.service_time_ms, u32::from(self.service_time_ms > 0.0));
        for told in recent {
            heard += 1;
            service_time_ms += told.service_time_ms;
            known += u32::from(told.service_time_ms > 0.0);
            others.arrival_rate += told.arrival_rate;
            others.retry_rate += told.retry_rate;
            others.running += f64::from(told.running);
        }
        let missing = instances as usize - 1;
        let scale = if heard >= HEARD_LEAST && missing > heard {
            missing as f64 / heard as f64
        } else {
            1.0
        };
        FleetDemand {
            arrival_rate: self.arrivals.per_second(now) + others.arrival_rate * scale,
            retry_rate: self.retries.per_second(now) + others.retry_rate * scale,
            running: f64::from(running) + others.running * scale,
            service_time_ms: service_time_ms / f64::from(known.max(1)),
        }
    }

    /// Takes in what all instances ask of so many slots.
    fn adjust(&mut self, whole: FleetDemand, slots: f64, wait: f64, now: Time) {
        self.admitted = AdmittedShare::ALL;
        self.load = 0.0;
        let asked = whole.arrival_rate + whole.retry_rate;
        if slots <= 0.0 || whole.service_time_ms <= 0.0 || asked <= 0.0 {
            return;
        }
        let places = FILL * slots * 1_000.0 / whole.service_time_ms;
        let limits = places * self.correction < asked;
        if now.since(self.adjusted) >= TELL_MS {
            self.adjusted = now;
            let aim = self.aim(whole.service_time_ms, wait);
            self.correct(whole.running / slots, aim, limits);
        }
        let served = places * self.correction;
        let returned = (served - whole.arrival_rate).max(served * RETURNED_PART);
        let new = served - returned.min(whole.retry_rate);
        self.load = asked / served;
        self.admitted = AdmittedShare {
            new: new / whole.arrival_rate,
            retry: returned / whole.retry_rate,
        };
    }

    /// Calls under way for each slot that are aimed at while calls are refused: as many as have their answers in a part of the time
    /// wanted. With a fixed number a service whose calls take a fourth of that time was left idle by chance while a fifth of
    /// its calls were refused.
    fn aim(&self, service_time_ms: f64, wait: f64) -> f64 {
        let (least, most) = (*CALLS_PER_SLOT.start(), *CALLS_PER_SLOT.end());
        (self.objective_ms * wait / service_time_ms).clamp(least, most)
    }

    /// Follows the calls under way for each slot: admits fewer where too many wait, also if what calls take is
    /// known wrong, and more where places are idle though calls are refused.
    fn correct(&mut self, running: f64, aim: f64, limits: bool) {
        let ratio = if limits || running > aim {
            aim / running.max(f64::EPSILON)
        } else {
            // What was corrected in a burst is forgotten behind it.
            1.0 / self.correction
        };
        let step = ratio.powf(STEP_POWER).clamp(*STEPS.start(), *STEPS.end());
        let correction = self.correction * step;
        self.correction = correction.clamp(*CORRECTIONS.start(), *CORRECTIONS.end());
    }

    /// How much an upstream in the own data centre is preferred: 1 while the service is far from full, 0 when
    /// it is nearly so.
    pub fn local_preference(&self) -> f64 {
        ((NEAR.end - self.load) / (NEAR.end - NEAR.start)).clamp(0.0, 1.0)
    }
}

impl Core {
    /// Another instance told what it is asked of a pool.
    pub(crate) fn record_peer_demand(&mut self, from: SocketAddr, demand: &Demand) {
        if let Some(ended) = demand.last_call {
            self.note_ended(&demand.pool, ended);
        }
        let pool = self.pools.entry(demand.pool.clone()).or_default();
        pool.demands.merge_peer(from, demand, self.now);
    }

    /// Notes how long a call took at an upstream, here or at another instance.
    fn note_ended(&mut self, pool: &str, ended: FinishedCall) {
        let Some(pool) = self.pools.get(pool) else {
            return;
        };
        let millis = f64::from(ended.duration_ms);
        for key in &pool.upstreams {
            let upstream = &mut self.upstreams[*key];
            if upstream.life.number() == ended.upstream {
                let step = (millis - upstream.takes_ms) * UPSTREAM_GAIN;
                upstream.takes_ms = if upstream.takes_ms > 0.0 {
                    upstream.takes_ms + step
                } else {
                    millis
                };
            }
        }
    }

    /// The upstream for a call while its service is nearly full: at random, those that answer sooner more
    /// often. So each is given what it serves, though they differ and none tells its load.
    pub(crate) fn choose_by_service_time(
        &mut self,
        candidates: &[upstream::Key],
    ) -> Option<upstream::Key> {
        let known = |key: &&upstream::Key| self.upstreams[**key].takes_ms > 0.0;
        let known: Vec<f64> = candidates
            .iter()
            .filter(known)
            .map(|key| self.upstreams[*key].takes_ms)
            .collect();
        let mean = known.iter().sum::<f64>() / (known.len() as f64).max(1.0);
        let weight = |key: &upstream::Key| {
            let upstream = &self.upstreams[*key];
            let service_time_ms = if upstream.takes_ms > 0.0 {
                upstream.takes_ms
            } else {
                mean.max(1.0)
            };
            f64::from(upstream.listed_slots) / service_time_ms.powi(UPSTREAM_POWER)
        };
        let weights: Vec<f64> = candidates.iter().map(weight).collect();
        let mut point = self.rng.random::<f64>() * weights.iter().sum::<f64>();
        for (key, weight) in candidates.iter().zip(weights) {
            point -= weight;
            if point <= 0.0 {
                return Some(*key);
            }
        }
        candidates.last().copied()
    }

    /// Whether upstreams of a pool are chosen by the time that they take.
    pub(crate) fn is_near_capacity(&self, pool: &str) -> bool {
        let pool = self.pools.get(pool);
        self.settings.calls.demand && pool.is_some_and(|pool| pool.demands.local_preference() < 1.0)
    }

    /// Whether a pool is asked for nearly all that its slots serve.
    pub(crate) fn is_at_capacity(&self, pool: &str) -> bool {
        let pool = self.pools.get(pool);
        self.settings.calls.demand && pool.is_some_and(|pool| pool.demands.load >= FULL)
    }

    /// Whether a new call is among those that the service can serve. One that is not is refused at once.
    pub(crate) fn check_demand(&mut self, request: &Request) -> Result<(), admission::Refusal> {
        if !self.settings.calls.demand || request.service.streams() {
            return Ok(());
        }
        let name: Arc<str> = request.service.pool().into();
        let now = self.now;
        let came_back = request.waited_ms >= RETRY_MARGIN_MS;
        let objective_ms = request
            .service
            .relay()
            .map_or(0, |relay| relay.objective_ms);
        let demands = &mut self.pools.entry(name.clone()).or_default().demands;
        demands.objective_ms = objective_ms as f64;
        if came_back {
            demands.retries.add(now);
        } else {
            demands.arrivals.add(now);
        }
        self.measure_demand(&name);
        if self.is_limited(&self.pools[&name]) {
            // Permits admit, here and at the few other instances that have any.
            return Ok(());
        }
        let part = self.pools[&name].demands.admitted;
        let part = if came_back { part.retry } else { part.new };
        if part >= 1.0 || self.rng.random::<f64>() < part {
            return Ok(());
        }
        self.record_shortage(request);
        Err(admission::Refusal {
            kind: Kind::Overloaded,
            retry_after_ms: Some(self.retry_after_ms(request)),
        })
    }

    /// Tells other instances what this one is asked for.
    pub(crate) fn broadcast_demand(&mut self) {
        let now = self.now;
        let due = |pool: &core::Pool| now.since(pool.demands.broadcast_at) >= TELL_MS;
        // An instance that is asked nothing says so, or it would be believed to be like the others.
        let asks = |pool: &core::Pool| pool.demands.is_known();
        let due: Vec<Arc<str>> = self
            .pools
            .iter()
            .filter(|(_, pool)| due(pool) && asks(pool))
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.measure_demand(&name);
            let running = self.under_way(&name);
            let Some(pool) = self.pools.get_mut(&name) else {
                continue;
            };
            pool.demands.broadcast_at = now;
            let pressed = pool.demands.load >= FULL;
            let last_call = pool.demands.last_call.take().filter(|_| pressed);
            pool.demands
                .others
                .retain(|_, told| now.since(told.at) < KEPT_MS);
            let demand = Demand {
                arrival_rate: pool.demands.arrivals.per_second(now),
                last_call,
                pool: name,
                retry_rate: pool.demands.retries.per_second(now),
                running,
                service_time_ms: pool.demands.service_time_ms,
            };
            self.effects.push(Effect::Demand { demand, pressed });
        }
    }

    /// Notes that a call ended, with an answer or turned away. While calls wait at the service the time of an
    /// answer is not its own.
    pub(crate) fn record_call_duration(&mut self, name: &str, attempt: &Attempt, answered: bool) {
        let running = self.under_way(name);
        let (instances, now) = (self.instances, self.now);
        let upstream = self.upstreams.get(attempt.upstream);
        let upstream = upstream.map_or(0, |upstream| upstream.life.number());
        let Some(pool) = self.pools.get(name) else {
            return;
        };
        let whole = pool.demands.whole(running, instances, now);
        let slots = self.slots(pool, whole.service_time_ms);
        let Some(pool) = self.pools.get_mut(name) else {
            return;
        };
        let millis = if answered {
            now.since(attempt.sent_at)
        } else {
            (whole.service_time_ms * TURNED_AWAY) as u64
        };
        if answered && (whole.running < slots || whole.service_time_ms == 0.0) {
            pool.demands.answered(millis);
        }
        let ended = FinishedCall {
            duration_ms: millis as u32,
            upstream,
        };
        pool.demands.last_call = Some(ended);
        self.note_ended(name, ended);
    }

    /// Takes in what is known of the demand for a pool now.
    fn measure_demand(&mut self, name: &str) {
        let running = self.under_way(name);
        let (instances, now) = (self.instances, self.now);
        let Some(pool) = self.pools.get(name) else {
            return;
        };
        let whole = pool.demands.whole(running, instances, now);
        let slots = self.slots(pool, whole.service_time_ms);
        if let Some(pool) = self.pools.get_mut(name) {
            pool.demands
                .adjust(whole, slots, self.settings.calls.wait, now);
        }
    }

    /// Slots of a pool's upstreams that take work, by the list. One that names a limit counts with the slots that so many
    /// calls keep busy.
    fn slots(&self, pool: &core::Pool, service_time_ms: f64) -> f64 {
        let slots = |upstream: &Upstream| {
            let listed = f64::from(upstream.listed_slots);
            let busy = |part: limit::Part| part.rate().per_second() * service_time_ms / 1_000.0;
            upstream.part.map_or(listed, |part| busy(part).min(listed))
        };
        self.upstreams_of(pool)
            .filter(|upstream| upstream.health == Health::Live && upstream.chosen)
            .filter(|upstream| upstream.is_open(self.now))
            .map(slots)
            .sum()
    }

    /// Calls of a pool under way or waiting here, without those that hang: what waits for the window is late too, and with it unseen
    /// a lone instance admitted three times what was served in time.
    fn under_way(&self, name: &str) -> u32 {
        let Some(pool) = self.pools.get(name) else {
            return 0;
        };
        let hung = pool.demands.hung_ms();
        let attempts = self
            .upstreams_of(pool)
            .flat_map(|upstream| &upstream.attempts);
        let fresh = attempts.filter(|key| self.now.since(self.attempts[**key].sent_at) < hung);
        (fresh.count() + pool.queue.len()) as u32
    }
}
