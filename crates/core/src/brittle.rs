//! Brittle upstreams: those that fall over once they have to reject more than some requests in a second for want of room.
//!
//! A rejection is harmless elsewhere, and instances learn from it where room is. The upstreams of a service announce in all
//! their responses that they are brittle, and let fewer requests wait from then on. While they do, instances together
//! send about as many calls as there are slots, and whoever was rejected stays away for a while. Instances that outnumber
//! the slots take turns, at the rate at which the slots become free.

use super::*;

/// Time for which a pool counts as brittle after the last response that said so, in milliseconds.
const RETENTION_MS: u64 = 5_000;

/// Bounds on the time for which an instance sends nothing to a brittle upstream that rejected its request, in milliseconds.
/// Within them it is long enough for one rejection of each instance to be tolerated.
const HOLD_MS: RangeInclusive<u64> = 1_000..=5_000;

/// Factor by which the end of that time is randomized at most.
const HOLD_JITTER: f64 = 1.5;

/// Interval between two turns of an instance, over the mean.
const TURN_JITTER: std::ops::Range<f64> = 0.75..1.25;

/// Calls that the turns of all instances let through, over those that the slots serve. The mean is bounded by admission; turns
/// only spread what waits.
const TURN_HEADROOM: f64 = 1.4;

/// What the upstreams of a pool tolerate, as instances tell each other. One of hundreds sends a few calls a second, too few to
/// learn it in time by itself.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Brittleness {
    /// Time for which it is taken to hold, in milliseconds.
    pub left_ms: u64,
    /// Rejections per second, at each of them.
    pub tolerated: limit::Rate,
}

/// The same as an instance keeps it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Tolerance {
    /// Rejections per second, at each of them.
    tolerated: limit::Rate,
    /// Until when it is taken to hold.
    until: Time,
}

impl Core {
    /// Records what an upstream announced of the rejections that it tolerates.
    pub(crate) fn apply_brittleness(&mut self, key: upstream::Key, tolerated: Limit) {
        match tolerated {
            Limit::Malformed => self.count(Counter::NoticeInvalid),
            Limit::None | Limit::Unknown => {}
            Limit::Rate(tolerated) => {
                self.count(Counter::NoticeBrittle);
                let pool = self.upstreams[key].pool.clone();
                let brittleness = Brittleness {
                    left_ms: RETENTION_MS,
                    tolerated,
                };
                self.record_brittleness(&pool, brittleness);
            }
        }
    }

    /// Records what the upstreams of a pool tolerate, unless it is already known for longer.
    pub(crate) fn record_brittleness(&mut self, pool: &Arc<str>, brittleness: Brittleness) {
        let until = self.now.after(brittleness.left_ms);
        let pool = self.pools.entry(pool.clone()).or_default();
        if pool.tolerance.is_some_and(|known| known.until > until) {
            return;
        }
        pool.tolerance = Some(Tolerance {
            tolerated: brittleness.tolerated,
            until,
        });
    }

    /// What the upstreams of a pool tolerate, for other instances. They tell it on, and it ends when it does here.
    pub(crate) fn brittleness(&self, pool: &core::Pool) -> Option<Brittleness> {
        let tolerance = pool.tolerance.filter(|known| self.now < known.until)?;
        Some(Brittleness {
            left_ms: tolerance.until.since(self.now),
            tolerated: tolerance.tolerated,
        })
    }

    /// Rejections per second that each upstream of a pool tolerates; `None` unless they are brittle.
    fn tolerated_rejections(&self, pool: &core::Pool) -> Option<limit::Rate> {
        self.brittleness(pool)
            .map(|brittleness| brittleness.tolerated)
    }

    /// Whether the upstreams of a pool are brittle.
    pub(crate) fn is_brittle(&self, pool: &core::Pool) -> bool {
        self.tolerated_rejections(pool).is_some()
    }

    /// Limits the candidates for a request to those that will not reject it, as far as that is in this instance's hands:
    /// it has not just been rejected there, and a slot there is idle that is its own to fill, or it may borrow one. Where
    /// instances share slots, it must also be its turn.
    pub(crate) fn retain_with_slot(
        &mut self,
        key: request::Key,
        candidates: &mut Vec<upstream::Key>,
    ) {
        let service = &self.requests[key].service;
        let (name, streams) = (Arc::<str>::from(service.pool()), service.streams());
        let pool = self.pools.get(&name);
        let Some(pool) = pool.filter(|pool| self.is_brittle(pool)) else {
            return;
        };
        candidates.retain(|key| self.now >= self.upstreams[*key].full_until);
        if streams {
            return;
        }
        let homes = self.home_slots(&pool.upstreams);
        if homes.is_empty() {
            return;
        }
        let has_home = candidates.iter().any(|key| homes.contains(key));
        let is_idle = |key: &upstream::Key| self.has_idle_home_slot(*key, &homes);
        if candidates.iter().any(is_idle) {
            candidates.retain(is_idle);
        } else if !self.may_borrow_slot(pool, &homes) {
            candidates.clear();
        }
        if self.slot_count(pool) >= self.instances {
            return;
        }
        if !has_home {
            self.draw_turn(&name);
        } else if self.now < pool.turn_at {
            candidates.clear();
        }
    }

    /// Lets this instance wait for a random part of the interval between its turns: all that wait for an upstream that is
    /// down would send at once when it is back.
    fn draw_turn(&mut self, name: &str) {
        let fraction = self.rng.random_range(0.0..1.0);
        self.defer_turn(name, fraction);
    }

    /// Records a call that is sent to a pool: if its upstreams are brittle, the next one waits for the turn of this instance.
    pub(crate) fn take_turn(&mut self, name: &str) {
        let pool = self.pools.get(name);
        if !pool.is_some_and(|pool| self.is_brittle(pool)) {
            return;
        }
        let fraction = self.rng.random_range(TURN_JITTER);
        self.defer_turn(name, fraction);
    }

    /// Sets the next turn at a pool, by a fraction of the interval between turns.
    fn defer_turn(&mut self, name: &str, fraction: f64) {
        let Some(pool) = self.pools.get(name) else {
            return;
        };
        let slots = self.slot_count(pool);
        let interval_ms = pool.demand.turn_interval_ms(self.instances, slots) / TURN_HEADROOM;
        if let Some(pool) = self.pools.get_mut(name) {
            pool.turn_at = self.now.after((interval_ms * fraction) as u64);
        }
    }

    /// Number of slots of the upstreams of a pool.
    fn slot_count(&self, pool: &core::Pool) -> u32 {
        let upstreams = self.upstreams_of(pool);
        let slots = upstreams.map(|upstream| upstream.listed_slots);
        slots.fold(0, u32::saturating_add)
    }

    /// Whether this instance may have a call more under way than there are slots of its own, at an upstream of any: one, and
    /// only where there is a slot for each instance. Callers are not spread as evenly as slots.
    fn may_borrow_slot(&self, pool: &core::Pool, homes: &[upstream::Key]) -> bool {
        let own = self
            .upstreams_of(pool)
            .map(|upstream| upstream.attempts.len());
        self.slot_count(pool) >= self.instances && own.sum::<usize>() <= homes.len()
    }

    /// Time for which an upstream that rejected a request gets none from this instance, in milliseconds.
    pub(crate) fn full_ms(&mut self, key: upstream::Key, usual_ms: u64) -> u64 {
        let pool = self.pools.get(&self.upstreams[key].pool);
        let Some(tolerated) = pool.and_then(|pool| self.tolerated_rejections(pool)) else {
            return usual_ms;
        };
        let fair_ms = f64::from(self.instances) * 1_000.0 / tolerated.per_second().max(1.0);
        let hold_ms = (fair_ms as u64).clamp(*HOLD_MS.start(), *HOLD_MS.end());
        (hold_ms as f64 * self.rng.random_range(1.0..HOLD_JITTER)) as u64
    }
}
