//! Placement of calls of plain services near their capacity, by the calls in flight at each upstream.

use super::*;

/// Calls in flight per slot that are added before the power is taken, so that an idle upstream does
/// not get all calls at once: what is known of it is up to a second old.
const BASE_CALLS_PER_SLOT: f64 = 0.3;

/// Exponent of the calls in flight per slot in an upstream's weight.
const IN_FLIGHT_EXPONENT: i32 = 3;

/// Factor on an upstream's weight where this instance has as many calls in flight there as its share
/// of the slots, which is one slot at least: what it knows of its own calls is not out of date.
const OWN_CALL_FACTOR: f64 = 0.05;

/// Factor on the weight of an upstream that has an idle slot of this instance's: without it, many choose alike by the same
/// announcements.
const HOME_FACTOR: f64 = 1_000.0;

/// Fraction of the slots that calls in flight take from which on calls are placed by them.
const BUSY_FRACTION: f64 = 0.5;

/// Bits of a number of calls in flight in an announcement.
const COUNT_BITS: u32 = 8;

/// Calls of one instance in flight at an upstream, as announced: 24 bits of the hash of its
/// incarnation, then 8 bits of the number.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BusyUpstream(pub u32);

impl BusyUpstream {
    /// An announcement of this many calls in flight; more than 255 are announced as 255.
    pub fn new(incarnation: Incarnation, calls: usize) -> Self {
        let calls = calls.min((1 << COUNT_BITS) - 1) as u32;
        Self(Self::tag(incarnation) << COUNT_BITS | calls)
    }

    /// Number of calls in flight.
    pub fn calls(self) -> u32 {
        self.0 & ((1 << COUNT_BITS) - 1)
    }

    /// Whether the announcement is about this incarnation.
    pub fn is_of(self, incarnation: Incarnation) -> bool {
        self.0 >> COUNT_BITS == Self::tag(incarnation)
    }

    fn tag(incarnation: Incarnation) -> u32 {
        (incarnation.hash_u64() >> (u64::BITS - u32::BITS + COUNT_BITS)) as u32
    }
}

/// Interval of announcements in milliseconds in a small fleet: four a second.
const INTERVAL_MS: f64 = 250.0;

/// Maximum interval of announcements in milliseconds: an older one says nothing of calls of 60 ms.
const INTERVAL_MS_MAX: f64 = 1_000.0;

/// Number of instances above which calls in flight are not announced: each instance receives those of all others.
const LARGE_FLEET: u32 = 512;

/// Number of intervals for which an announcement is valid: one may be lost.
pub(crate) const VALID_INTERVALS: u64 = 3;

/// Number of instances from which on the interval grows with the fleet, so that an instance receives
/// no more announcements per second in a larger one, up to the maximum interval.
const SMALL_FLEET: f64 = 64.0;

/// Minimum number of announcements from which calls in flight are extrapolated to all instances.
const MIN_REPORTS: u32 = 3;

/// Age in milliseconds up to which a load report of the upstream itself is used.
const REPORT_VALID_MS: u64 = 1_000;

/// Calls in flight at other instances, as announced.
#[derive(Clone, Debug, Default)]
pub(crate) struct Announced {
    /// Calls in flight by instance and upstream.
    pub busy: Vec<BusyUpstream>,
    /// Number of instances.
    pub reports: u32,
    /// Their calls in flight or queued.
    pub running: u32,
}

impl Announced {
    /// Factor by which announced calls are multiplied to estimate those of all `others`.
    fn scale(&self, others: u32) -> f64 {
        if self.reports < MIN_REPORTS {
            return 1.0;
        }
        f64::from(others.max(self.reports)) / f64::from(self.reports)
    }

    /// Announced calls in flight at an upstream.
    fn calls(&self, incarnation: Incarnation) -> f64 {
        let of_upstream = self.busy.iter().filter(|busy| busy.is_of(incarnation));
        f64::from(of_upstream.map(|busy| busy.calls()).sum::<u32>())
    }
}

/// Interval of announcements in milliseconds in a fleet of so many instances.
pub(crate) fn announcement_interval_ms(instances: u32) -> u64 {
    let stretch = (f64::from(instances) / SMALL_FLEET).max(1.0);
    (INTERVAL_MS * stretch).min(INTERVAL_MS_MAX) as u64
}

/// Whether calls in flight are announced in a fleet of so many instances.
pub(crate) fn is_announced(instances: u32) -> bool {
    instances <= LARGE_FLEET
}

impl Core {
    /// Whether calls of a pool are placed by the calls in flight: it is so loaded that a call may
    /// wait at one upstream while another has an idle slot.
    pub(crate) fn places_by_calls_in_flight(&self, name: &str) -> bool {
        let calls = self.settings.calls;
        if !calls.demand || calls.place != CallPlacement::Busy {
            return false;
        }
        self.is_near_capacity(name) || self.are_slots_busy(name)
    }

    /// Whether the calls in flight, extrapolated to all instances, take half of the slots.
    fn are_slots_busy(&self, name: &str) -> bool {
        let Some(pool) = self.pools.get(name) else {
            return false;
        };
        let announced = pool.demand.announced(self.instances, self.now);
        if announced.reports < MIN_REPORTS {
            return false;
        }
        let others = f64::from(announced.running) * announced.scale(self.instances - 1);
        let running = f64::from(self.calls_in_flight(name)) + others;
        running >= BUSY_FRACTION * self.slots(pool, pool.demand.service_time_ms())
    }

    /// Calls in flight from this instance, by upstream.
    pub(crate) fn busy_upstreams(&self, pool: &core::Pool) -> Vec<BusyUpstream> {
        self.upstreams_of(pool)
            .filter(|upstream| !upstream.attempts.is_empty())
            .map(|upstream| BusyUpstream::new(upstream.incarnation, upstream.attempts.len()))
            .collect()
    }

    /// Chooses an upstream for a call: one with a slot that is this instance's to fill first, if
    /// that is idle; otherwise at random, with more weight for few calls in flight per slot.
    pub(crate) fn choose_by_calls_in_flight(
        &mut self,
        pool: &str,
        candidates: &[upstream::Key],
    ) -> Option<upstream::Key> {
        let tracker = &self.pools.get(pool)?.demand;
        let announced = tracker.announced(self.instances, self.now);
        let homes = self.home_slots(candidates);
        let weight = |key: &upstream::Key| self.call_weight(*key, &announced, &homes);
        let weights: Vec<f64> = candidates.iter().map(weight).collect();
        let mut point = self.rng.random::<f64>() * weights.iter().sum::<f64>();
        let mut chosen = candidates.last().copied();
        for (key, weight) in candidates.iter().zip(weights) {
            point -= weight;
            if point <= 0.0 {
                chosen = Some(*key);
                break;
            }
        }
        let key = chosen?;
        self.count(if self.has_idle_home_slot(key, &homes) {
            Counter::CallAtOwnSlot
        } else {
            Counter::CallOverflow
        });
        Some(key)
    }

    /// Whether an upstream has a slot that is this instance's to fill first and that it leaves idle.
    pub(crate) fn has_idle_home_slot(&self, key: upstream::Key, homes: &[upstream::Key]) -> bool {
        let slots = homes.iter().filter(|home| **home == key).count();
        slots > self.upstreams[key].attempts.len()
    }

    /// Weight of an upstream in the choice for a call.
    fn call_weight(
        &self,
        key: upstream::Key,
        announced: &Announced,
        homes: &[upstream::Key],
    ) -> f64 {
        let upstream = &self.upstreams[key];
        let slots = f64::from(upstream.listed_slots.max(1));
        let own = upstream.attempts.len();
        let scale = announced.scale(self.instances - 1);
        let known = own as f64 + announced.calls(upstream.incarnation) * scale;
        let is_reported =
            upstream.load.slots > 0 && self.now.since(upstream.reported_at) < REPORT_VALID_MS;
        let (in_flight, pace) = if is_reported {
            let pace = f64::from(upstream.load.pace_percent.max(1))
                / f64::from(upstream::USUAL_PACE_PERCENT);
            (f64::from(upstream.estimated_load()), pace)
        } else {
            (known, 1.0)
        };
        let per_slot = BASE_CALLS_PER_SLOT + in_flight / slots;
        let weight = slots * (per_slot * pace).powi(-IN_FLIGHT_EXPONENT);
        let share = (slots / f64::from(self.instances)).max(1.0);
        let weight = weight * OWN_CALL_FACTOR.powf(own as f64 / share);
        // What the upstream reports is known better than how the slots are dealt out.
        if !is_reported && self.has_idle_home_slot(key, homes) {
            weight * HOME_FACTOR
        } else {
            weight
        }
    }

    /// Upstreams with slots that are this instance's to fill first, one for each such slot. The
    /// slots are dealt out in turn, so that the slots of an instance are at different upstreams;
    /// where instances outnumber slots, some share one.
    pub(crate) fn home_slots(&self, candidates: &[upstream::Key]) -> Vec<upstream::Key> {
        let (rank, instances) = self.members.rank();
        let mut upstreams: Vec<(u64, u32, upstream::Key)> = Vec::new();
        for key in candidates {
            let upstream = &self.upstreams[*key];
            upstreams.push((upstream.incarnation.id, upstream.listed_slots, *key));
        }
        upstreams.retain(|(_, slots, _)| *slots > 0);
        upstreams.sort_unstable_by_key(|(id, ..)| *id);
        let slots = upstreams.iter().map(|(_, slots, _)| *slots as usize);
        let count: usize = slots.sum();
        let (mut next, step) = match count {
            0 => return Vec::new(),
            count if instances >= count => (rank % count, count),
            _ => (rank, instances),
        };
        let mut own = Vec::new();
        let mut round = 0;
        // In each round, each upstream with a slot left gives one; `next` is the place of the next own slot from its start.
        while !upstreams.is_empty() {
            while let Some((.., key)) = upstreams.get(next) {
                own.push(*key);
                next += step;
            }
            next -= upstreams.len();
            round += 1;
            upstreams.retain(|(_, slots, _)| *slots > round);
        }
        own
    }
}
