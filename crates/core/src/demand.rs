//! Distributed admission control for plain services: estimates the demand of all instances, and the
//! share of it that a service can serve.
//!
//! It handles overload that is spread over hundreds of instances, each of which sees a few calls per
//! second. A concurrency window per instance cannot be smaller than one call, and hundreds of them
//! exceed a service's slots many times over. So instances gossip their demand, and where the total
//! exceeds what the slots serve, each admits the same share of its calls. The share is the same
//! everywhere, however unevenly callers are spread and however little an instance sees. Nothing is
//! reserved for an instance that does not need it.

use super::*;

/// Time constant of the arrival rate in milliseconds: a burst is detected after about this long, and the gossiped values
/// are as old.
const RATE_TIME_CONSTANT_MS: f64 = 250.0;

/// Interval of gossip in milliseconds; more messages within `RATE_TIME_CONSTANT_MS` would say
/// the same.
const GOSSIP_INTERVAL_MS: u64 = 250;

/// Age in milliseconds after which the demand of another instance is stale; instances send more
/// often while they receive any calls.
const STALE_MS: u64 = 3_000;

/// Minimum number of reporting instances from which demand is extrapolated to the others: the total
/// is then known to within about a third, and a data centre of a fleet of tens has more.
const MIN_REPORTS: usize = 8;

/// Target utilization of the slots up to which calls are admitted; the rest absorbs random arrivals, which upstreams would
/// reject.
const TARGET_UTILIZATION: f64 = 0.9;

/// Range of the target number of calls in flight per slot while calls are refused: at least one
/// that runs, and for some slots one that waits, so that few are idle; more where the latency
/// objective allows it, and fewer than a window lets through, or calls waiting at a single instance
/// go unnoticed.
const CALLS_PER_SLOT: std::ops::RangeInclusive<f64> = 1.6..=2.4;

/// The same two while upstreams are brittle: no call is to wait there, since one that finds no room does harm.
const BRITTLE_UTILIZATION: f64 = 0.85;
const BRITTLE_CALLS_PER_SLOT: std::ops::RangeInclusive<f64> = 0.8..=1.1;

/// Time in milliseconds for which calls beyond the capacity are expected to go on arriving: until what was sent meanwhile is known at
/// all instances.
const PROJECTION_MS: f64 = 250.0;

/// Share of the capacity left to callers that were refused before, where new calls would take all
/// of it: their responses are already late. With a larger share fewer are refused twice, and more
/// are late.
const RETRY_SHARE: f64 = 0.1;

/// Milliseconds by which a caller's timeout must be shorter than others' to count as a retry.
pub(crate) const RETRY_MARGIN_MS: u64 = 50;

/// Minimum weight of a new sample in the mean service time.
const SERVICE_TIME_GAIN: f64 = 0.05;

/// Multiple of the mean service time after which a call counts as hung and is left out of the calls
/// in flight.
const HUNG_FACTOR: f64 = 8.0;

/// Multiple of the mean service time that a rejected call is assumed to have waited: four calls
/// wait per slot where queues are as long as on the users' platform.
const REJECTED_FACTOR: f64 = 5.0;

/// Weight of a new sample in the mean time that calls take at an upstream: an average over some
/// tens of calls, which all instances together make within a second under load.
const UPSTREAM_GAIN: f64 = 0.05;

/// Exponent of an upstream's call time in its weight; a larger one oscillates.
const UPSTREAM_EXPONENT: i32 = 1;

/// Exponent that damps each correction step: gossiped values are a second old, and full steps would
/// oscillate.
const STEP_EXPONENT: f64 = 0.05;

/// Bounds of one correction step, and of the correction itself: the measured service time may be
/// wrong by this much.
const STEP_RANGE: std::ops::RangeInclusive<f64> = 0.8..=1.05;
const CORRECTION_RANGE: std::ops::RangeInclusive<f64> = 0.25..=2.0;

/// Utilization range over which the preference for the caller's data centre fades to none: its
/// upstreams may be fewer than its callers need.
const LOCAL_PREFERENCE_FADE: std::ops::Range<f64> = 0.5..0.7;

/// Utilization at which a service is full and demand is sent to all instances at once, not only within the data centre
/// along with other messages. It is above the usual load, since these messages cross data centres.
const FULL_UTILIZATION: f64 = 0.9;

/// Demand of one instance for a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Demand {
    /// New calls per second, without retries.
    pub arrival_rate: f64,
    /// What the upstreams tolerate, if they are known to be brittle.
    pub brittleness: Option<Brittleness>,
    /// Calls in flight by upstream, for each that has any; empty unless the pool is near its
    /// capacity.
    pub busy: Vec<BusyUpstream>,
    /// The call that finished last; `None` if none has since the last message.
    pub last_call: Option<FinishedCall>,
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Calls per second from callers that retry after a refusal.
    pub retry_rate: f64,
    /// Calls in flight or queued at this instance, without hung ones.
    pub running: u32,
    /// Mean time in milliseconds that a call takes while none is queued; 0 before the first sample.
    pub service_time_ms: f64,
}

/// Which instances need the demand of this one, and how soon.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reach {
    /// Those that are sent something else anyway.
    Carried,
    /// Those of the data centre at once, since the pool is near its capacity.
    DataCentre,
    /// Those of the data centre at once and all others along with something else, since the pool is
    /// full.
    Fleet,
}

/// A finished call and the upstream that handled it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FinishedCall {
    /// Time from sending to the response in milliseconds; for a rejected call, the assumed wait
    /// behind a full queue.
    pub duration_ms: u32,
    /// Hash of the upstream's incarnation.
    pub upstream: u64,
}

/// Exponentially decaying event rate.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    at: Time,
    level: f64,
}

/// Demand last received from another instance.
#[derive(Clone, Debug)]
struct PeerDemand {
    arrival_rate: f64,
    at: Time,
    busy: Vec<BusyUpstream>,
    retry_rate: f64,
    running: u32,
    service_time_ms: f64,
}

/// Estimated demand of all instances.
#[derive(Clone, Copy, Debug, Default)]
struct FleetDemand {
    arrival_rate: f64,
    retry_rate: f64,
    running: f64,
    /// Mean time in milliseconds that a call takes while none is queued, over all instances; 0 if
    /// none has a sample.
    service_time_ms: f64,
}

/// What an instance knows of a pool when it admits or refuses a call by demand.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Figures {
    /// Calls that all instances receive per second, retries included.
    pub arrivals: u64,
    /// Factor on the capacity computed from slots and service time, as corrected by feedback, in percent.
    pub correction_percent: u64,
    /// Calls in flight or queued at all instances.
    pub running: u64,
    /// Mean time in milliseconds that a call takes while none is queued.
    pub service_ms: u64,
    /// Probability of admission of this call, in percent.
    pub share_percent: u64,
    /// Slots of the upstreams that accept work.
    pub slots: u64,
}

/// Probability of admission by kind of caller; above 1 while there is spare capacity.
#[derive(Clone, Copy, Debug)]
struct AdmittedShare {
    /// For new calls.
    new: f64,
    /// For retries after a refusal.
    retry: f64,
}

/// How many calls may wait at the upstreams of a pool.
#[derive(Clone, Copy, Debug)]
struct Room {
    /// When calls are refused.
    admission: CallAdmission,
    /// Whether none should, since the upstreams are brittle.
    is_brittle: bool,
    /// Fraction of the latency objective for which calls may wait there.
    wait: f64,
}

/// Tracks the demand for one pool and the admitted share.
#[derive(Clone, Debug)]
pub(crate) struct DemandTracker {
    /// When the correction was last adjusted.
    adjusted_at: Time,
    admitted: AdmittedShare,
    /// When calls in flight were last announced within the data centre for placement.
    announced_at: Time,
    arrivals: Rate,
    broadcast_at: Time,
    /// Factor on the capacity computed from slots and service time, as corrected by feedback.
    correction: f64,
    /// What the admitted share was last computed from.
    figures: Figures,
    /// Mean time in milliseconds that a call takes at all instances, as last known; 0 before the first sample.
    fleet_service_time_ms: f64,
    /// Whether calls are refused by the admitted share, since too many were in flight.
    is_refusing: bool,
    /// The call that finished last, unless already sent to other instances.
    last_call: Option<FinishedCall>,
    /// Demand over capacity.
    load: f64,
    /// Latency objective of the last call in milliseconds.
    objective_ms: f64,
    peers: HashMap<SocketAddr, PeerDemand>,
    retries: Rate,
    /// Number of samples in the service time.
    samples: f64,
    /// Mean time in milliseconds that a call takes while none is queued.
    service_time_ms: f64,
    /// Part of the slots that the demand of all instances would keep busy, 1 at most and while no slot is available.
    utilization: f64,
}

impl Rate {
    fn add(&mut self, now: Time) {
        self.level = self.level(now) + 1.0;
        self.at = now;
    }

    fn level(&self, now: Time) -> f64 {
        self.level * (-(now.since(self.at) as f64) / RATE_TIME_CONSTANT_MS).exp()
    }

    fn per_second(&self, now: Time) -> f64 {
        self.level(now) * 1_000.0 / RATE_TIME_CONSTANT_MS
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
            adjusted_at: Time::default(),
            admitted: AdmittedShare::ALL,
            announced_at: Time::default(),
            arrivals: Rate::default(),
            broadcast_at: Time::default(),
            correction: 1.0,
            figures: Figures::default(),
            fleet_service_time_ms: 0.0,
            is_refusing: false,
            last_call: None,
            load: 0.0,
            objective_ms: 0.0,
            peers: HashMap::new(),
            retries: Rate::default(),
            samples: 0.0,
            service_time_ms: 0.0,
            utilization: 1.0,
        }
    }
}

impl DemandTracker {
    /// Records the demand received from another instance.
    fn merge_peer(&mut self, from: SocketAddr, demand: &Demand, now: Time) {
        let peer = PeerDemand {
            arrival_rate: demand.arrival_rate,
            at: now,
            busy: demand.busy.clone(),
            retry_rate: demand.retry_rate,
            running: demand.running,
            service_time_ms: demand.service_time_ms,
        };
        self.peers.insert(from, peer);
    }

    /// Whether any instance has reported a call for this pool.
    fn is_known(&self) -> bool {
        self.arrivals.level + self.retries.level > 0.0 || !self.peers.is_empty()
    }

    /// Whether the calls in flight here are to be announced within the data centre again.
    fn is_announcement_due(&self, instances: u32, now: Time) -> bool {
        now.since(self.announced_at) >= call_place::announcement_interval_ms(instances)
    }

    /// Calls that other instances announced as in flight, in the announcements that are still valid
    /// in a fleet of so many instances.
    pub fn announced(&self, instances: u32, now: Time) -> Announced {
        let interval_ms = call_place::announcement_interval_ms(instances);
        let valid_ms = interval_ms * call_place::VALID_INTERVALS;
        let mut announced = Announced::default();
        for peer in self.peers.values() {
            if now.since(peer.at) < valid_ms {
                announced.busy.extend_from_slice(&peer.busy);
                announced.reports += 1;
                announced.running = announced.running.saturating_add(peer.running);
            }
        }
        announced
    }

    /// Records the duration of a call that did not queue at the service.
    fn record_service_time(&mut self, millis: u64) {
        self.samples += 1.0;
        self.service_time_ms +=
            (millis as f64 - self.service_time_ms) * (1.0 / self.samples).max(SERVICE_TIME_GAIN);
    }

    /// Mean time in milliseconds that a call takes while none is queued; 0 before the first sample.
    pub fn service_time_ms(&self) -> f64 {
        self.service_time_ms
    }

    /// Age in milliseconds above which a call counts as hung.
    fn hung_ms(&self) -> u64 {
        if self.service_time_ms == 0.0 {
            return u64::MAX;
        }
        (self.service_time_ms * HUNG_FACTOR) as u64
    }

    /// Estimates the demand of all instances, including this one with `running` calls of its own.
    /// Instances that have not reported are assumed to be like those that have.
    fn total(&self, running: u32, instances: u32, now: Time) -> FleetDemand {
        let recent = self.peers.values();
        let recent = recent.filter(|peer| now.since(peer.at) < STALE_MS);
        let mut reports = 0;
        let mut others = FleetDemand::default();
        let (mut service_time_ms, mut known) =
            (self.service_time_ms, u32::from(self.service_time_ms > 0.0));
        for peer in recent {
            reports += 1;
            service_time_ms += peer.service_time_ms;
            known += u32::from(peer.service_time_ms > 0.0);
            others.arrival_rate += peer.arrival_rate;
            others.retry_rate += peer.retry_rate;
            others.running += f64::from(peer.running);
        }
        let missing = instances as usize - 1;
        let scale = if reports >= MIN_REPORTS && missing > reports {
            missing as f64 / reports as f64
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

    /// Computes the load and the admitted share from the demand of all instances and the number of
    /// slots.
    fn update(&mut self, total: FleetDemand, slots: f64, room: Room, now: Time) {
        self.admitted = AdmittedShare::ALL;
        self.load = 0.0;
        self.utilization = 1.0;
        if total.service_time_ms > 0.0 {
            self.fleet_service_time_ms = total.service_time_ms;
        }
        let demand = total.arrival_rate + total.retry_rate;
        if slots <= 0.0 || total.service_time_ms <= 0.0 || demand <= 0.0 {
            return;
        }
        let utilization = if room.is_brittle {
            BRITTLE_UTILIZATION
        } else {
            TARGET_UTILIZATION
        };
        let capacity = utilization * slots * 1_000.0 / total.service_time_ms;
        self.utilization = (demand * total.service_time_ms / 1_000.0 / slots).min(1.0);
        let is_overloaded = capacity * self.correction < demand;
        if now.since(self.adjusted_at) >= GOSSIP_INTERVAL_MS {
            self.adjusted_at = now;
            let target = self.target(total.service_time_ms, room);
            self.correct(total.running / slots, target, is_overloaded);
        }
        let served = capacity * self.correction;
        let retried = (served - total.arrival_rate).max(served * RETRY_SHARE);
        let new = served - retried.min(total.retry_rate);
        self.load = demand / served;
        self.figures = Figures {
            arrivals: demand.round() as u64,
            correction_percent: percent(self.correction),
            running: total.running.round() as u64,
            service_ms: total.service_time_ms.round() as u64,
            share_percent: 100,
            slots: slots.round() as u64,
        };
        self.is_refusing = self.is_queue_too_long(total, slots, demand - served, room);
        if !self.is_refusing {
            return;
        }
        self.admitted = AdmittedShare {
            new: new / total.arrival_rate,
            retry: retried / total.retry_rate,
        };
    }

    /// Whether too many calls are in flight, with those that arrive beyond the capacity until other instances know of them. A
    /// rate of arrivals above the capacity does not show that calls wait: it is measured over few calls, and callers that ask
    /// one at a time can not exceed the capacity for long. While upstreams are brittle, no call is to wait there, so the rate
    /// alone counts.
    fn is_queue_too_long(
        &self,
        total: FleetDemand,
        slots: f64,
        excess_rate: f64,
        room: Room,
    ) -> bool {
        if room.is_brittle || room.admission == CallAdmission::Rate {
            return true;
        }
        let expected = total.running + excess_rate.max(0.0) * PROJECTION_MS / 1_000.0;
        let per_slot = if self.is_refusing {
            *CALLS_PER_SLOT.start()
        } else {
            self.target(total.service_time_ms, room)
        };
        expected > per_slot * slots
    }

    /// Target number of calls in flight per slot while calls are refused: as many as complete
    /// within a fraction of the latency objective. With a fixed number, a service whose calls take
    /// a fourth of it was idle by chance while a fifth of its calls were refused.
    fn target(&self, service_time_ms: f64, room: Room) -> f64 {
        let range = if room.is_brittle {
            BRITTLE_CALLS_PER_SLOT
        } else {
            CALLS_PER_SLOT
        };
        let (least, most) = (*range.start(), *range.end());
        (self.objective_ms * room.wait / service_time_ms).clamp(least, most)
    }

    /// Adjusts the correction by the calls in flight per slot: admits fewer where too many wait,
    /// also if the service time is wrong, and more where slots are idle although calls are refused.
    fn correct(&mut self, running: f64, target: f64, is_overloaded: bool) {
        let ratio = if is_overloaded || running > target {
            target / running.max(f64::EPSILON)
        } else {
            // Let the correction made during a burst decay.
            1.0 / self.correction
        };
        let step = ratio
            .powf(STEP_EXPONENT)
            .clamp(*STEP_RANGE.start(), *STEP_RANGE.end());
        let correction = self.correction * step;
        self.correction = correction.clamp(*CORRECTION_RANGE.start(), *CORRECTION_RANGE.end());
    }

    /// Interval in milliseconds at which each of some instances may send a call if together they are to keep so many slots
    /// busy; shorter while there is less demand than that.
    pub fn turn_interval_ms(&self, instances: u32, slots: u32) -> f64 {
        let parts = f64::from(instances) / f64::from(slots.max(1));
        parts * self.fleet_service_time_ms * self.utilization
    }

    /// Preference for upstreams in the own data centre: 1 while the service is far from full, 0
    /// when it is nearly full.
    pub fn local_preference(&self) -> f64 {
        ((LOCAL_PREFERENCE_FADE.end - self.load)
            / (LOCAL_PREFERENCE_FADE.end - LOCAL_PREFERENCE_FADE.start))
            .clamp(0.0, 1.0)
    }
}

fn percent(fraction: f64) -> u64 {
    (fraction * 100.0).round() as u64
}

impl Core {
    /// Records the demand of another instance for a pool, and the call that finished there last.
    pub(crate) fn record_peer_demand(&mut self, from: SocketAddr, demand: &Demand) {
        if let Some(call) = demand.last_call {
            self.record_upstream_time(&demand.pool, call);
        }
        if let Some(brittleness) = demand.brittleness {
            self.record_brittleness(&demand.pool, brittleness);
        }
        let pool = self.pools.entry(demand.pool.clone()).or_default();
        pool.demand.merge_peer(from, demand, self.now);
    }

    /// Updates the mean call time of an upstream with a call made here or at another instance.
    fn record_upstream_time(&mut self, pool: &str, call: FinishedCall) {
        let Some(pool) = self.pools.get(pool) else {
            return;
        };
        let millis = f64::from(call.duration_ms);
        for key in &pool.upstreams {
            let upstream = &mut self.upstreams[*key];
            if upstream.incarnation.hash_u64() == call.upstream {
                let step = (millis - upstream.mean_call_ms) * UPSTREAM_GAIN;
                upstream.mean_call_ms = if upstream.mean_call_ms > 0.0 {
                    upstream.mean_call_ms + step
                } else {
                    millis
                };
            }
        }
    }

    /// Chooses an upstream for a call while its service is nearly full: at random, weighted by
    /// slots over mean call time. Each gets what it serves, although they differ and none reports
    /// its load.
    pub(crate) fn choose_by_service_time(
        &mut self,
        candidates: &[upstream::Key],
    ) -> Option<upstream::Key> {
        let known = |key: &&upstream::Key| self.upstreams[**key].mean_call_ms > 0.0;
        let known: Vec<f64> = candidates
            .iter()
            .filter(known)
            .map(|key| self.upstreams[*key].mean_call_ms)
            .collect();
        let mean = known.iter().sum::<f64>() / (known.len() as f64).max(1.0);
        let weight = |key: &upstream::Key| {
            let upstream = &self.upstreams[*key];
            let service_time_ms = if upstream.mean_call_ms > 0.0 {
                upstream.mean_call_ms
            } else {
                mean.max(1.0)
            };
            f64::from(upstream.listed_slots) / service_time_ms.powi(UPSTREAM_EXPONENT)
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

    /// Whether a pool is so loaded that upstreams are chosen by their call times.
    pub(crate) fn is_near_capacity(&self, pool: &str) -> bool {
        let pool = self.pools.get(pool);
        self.settings.calls.demand && pool.is_some_and(|pool| pool.demand.local_preference() < 1.0)
    }

    /// Whether the demand for a pool is nearly all that its slots can serve.
    pub(crate) fn is_at_capacity(&self, pool: &str) -> bool {
        let pool = self.pools.get(pool);
        self.settings.calls.demand && pool.is_some_and(|pool| pool.demand.load >= FULL_UTILIZATION)
    }

    /// Admits a new call if it is within the share that the service can serve; refuses it at once
    /// otherwise.
    pub(crate) fn check_demand(&mut self, request: &Request) -> Result<(), admission::Refusal> {
        if !self.settings.calls.demand || request.service.streams() {
            return Ok(());
        }
        let name: Arc<str> = request.service.pool().into();
        let now = self.now;
        let is_retry = request.waited_ms >= RETRY_MARGIN_MS;
        let objective_ms = request
            .service
            .relay()
            .map_or(0, |relay| relay.objective_ms);
        let tracker = &mut self.pools.entry(name.clone()).or_default().demand;
        tracker.objective_ms = objective_ms as f64;
        if is_retry {
            tracker.retries.add(now);
        } else {
            tracker.arrivals.add(now);
        }
        self.update_demand(&name);
        if self.is_limited(&self.pools[&name]) {
            // Admission is decided by permits, here and at the few other instances that hold any.
            return Ok(());
        }
        let share = self.pools[&name].demand.admitted;
        let share = if is_retry { share.retry } else { share.new };
        if share >= 1.0 || self.rng.random::<f64>() < share {
            return Ok(());
        }
        let figures = Figures {
            share_percent: percent(share),
            ..self.pools[&name].demand.figures
        };
        self.log_step(request, effect::Step::RefusedByDemand(figures), None);
        self.record_shortage(request);
        Err(admission::Refusal {
            kind: Kind::Overloaded,
            retry_after_ms: Some(self.retry_after_ms(request)),
        })
    }

    /// Gossips this instance's demand to other instances.
    pub(crate) fn gossip_demand(&mut self) {
        let now = self.now;
        let due = |pool: &core::Pool| now.since(pool.demand.broadcast_at) >= GOSSIP_INTERVAL_MS;
        // An instance without calls reports that too; otherwise it would be assumed to be like the
        // others.
        let has_demand = |pool: &core::Pool| pool.demand.is_known();
        let due: Vec<Arc<str>> = self
            .pools
            .iter()
            .filter(|(_, pool)| due(pool) && has_demand(pool))
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            self.update_demand(&name);
            let brittleness = self.brittleness(&self.pools[&name]);
            let running = self.calls_in_flight(&name);
            let instances = self.instances;
            let is_announced =
                call_place::is_announced(instances) && self.places_by_calls_in_flight(&name);
            let busy = if is_announced {
                self.busy_upstreams(&self.pools[&name])
            } else {
                Vec::new()
            };
            let Some(pool) = self.pools.get_mut(&name) else {
                continue;
            };
            pool.demand.broadcast_at = now;
            let is_full = pool.demand.load >= FULL_UTILIZATION;
            let reach = if is_full {
                Reach::Fleet
            } else if is_announced && pool.demand.is_announcement_due(instances, now) {
                pool.demand.announced_at = now;
                Reach::DataCentre
            } else {
                Reach::Carried
            };
            let last_call = pool.demand.last_call.take().filter(|_| is_full);
            pool.demand
                .peers
                .retain(|_, peer| now.since(peer.at) < STALE_MS);
            let demand = Demand {
                arrival_rate: pool.demand.arrivals.per_second(now),
                brittleness,
                busy,
                last_call,
                pool: name,
                retry_rate: pool.demand.retries.per_second(now),
                running,
                service_time_ms: pool.demand.service_time_ms,
            };
            self.effects.push(Effect::GossipDemand { demand, reach });
        }
    }

    /// Records that a call finished or was rejected. While calls wait at the service, the duration
    /// is not a sample of the service time.
    pub(crate) fn record_call_duration(&mut self, name: &str, attempt: &Attempt, answered: bool) {
        let running = self.calls_in_flight(name);
        let (instances, now) = (self.instances, self.now);
        let upstream = self.upstreams.get(attempt.upstream);
        let upstream = upstream.map_or(0, |upstream| upstream.incarnation.hash_u64());
        let Some(pool) = self.pools.get(name) else {
            return;
        };
        let total = pool.demand.total(running, instances, now);
        let slots = self.slots(pool, total.service_time_ms);
        let Some(pool) = self.pools.get_mut(name) else {
            return;
        };
        let millis = if answered {
            now.since(attempt.created_at)
        } else {
            (total.service_time_ms * REJECTED_FACTOR) as u64
        };
        if answered && (total.running < slots || total.service_time_ms == 0.0) {
            pool.demand.record_service_time(millis);
        }
        let call = FinishedCall {
            duration_ms: millis as u32,
            upstream,
        };
        pool.demand.last_call = Some(call);
        self.record_upstream_time(name, call);
    }

    /// Updates the load and admitted share of a pool.
    fn update_demand(&mut self, name: &str) {
        let running = self.calls_in_flight(name);
        let (instances, now) = (self.instances, self.now);
        let Some(pool) = self.pools.get(name) else {
            return;
        };
        let total = pool.demand.total(running, instances, now);
        let room = Room {
            admission: self.settings.calls.admission,
            is_brittle: self.is_brittle(pool),
            wait: self.settings.calls.wait,
        };
        let slots = self.slots(pool, total.service_time_ms);
        if let Some(pool) = self.pools.get_mut(name) {
            pool.demand.update(total, slots, room, now);
        }
    }

    /// Number of listed slots of a pool's upstreams that accept work. An upstream that announces a
    /// rate limit counts with the slots that calls at its rate keep busy.
    pub(crate) fn slots(&self, pool: &core::Pool, service_time_ms: f64) -> f64 {
        let slots = |upstream: &Upstream| {
            let listed = f64::from(upstream.listed_slots);
            let busy =
                |bucket: limit::TokenBucket| bucket.rate().per_second() * service_time_ms / 1_000.0;
            upstream
                .limit_bucket
                .map_or(listed, |bucket| busy(bucket).min(listed))
        };
        self.upstreams_of(pool)
            .filter(|upstream| upstream.health == Health::Live && upstream.in_subset)
            .filter(|upstream| upstream.is_available(self.now))
            .map(slots)
            .sum()
    }

    /// Calls of a pool in flight or queued here, without hung ones. Calls queued for the window are
    /// late too; without counting them, a single instance admitted three times what was served in
    /// time.
    pub(crate) fn calls_in_flight(&self, name: &str) -> u32 {
        let Some(pool) = self.pools.get(name) else {
            return 0;
        };
        let hung = pool.demand.hung_ms();
        let attempts = self
            .upstreams_of(pool)
            .flat_map(|upstream| &upstream.attempts);
        let active = attempts.filter(|key| self.now.since(self.attempts[**key].created_at) < hung);
        (active.count() + pool.queue.len()) as u32
    }
}
