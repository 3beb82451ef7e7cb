//! Brittle upstreams: those that fall over once they have to reject more than some requests in a second for want of room.
//!
//! A rejection is harmless elsewhere, and instances learn from it where room is. The upstreams of a service announce in all
//! their responses that they are brittle, and let fewer requests wait from then on. While they do, instances together
//! send about as many calls as there are slots, and whoever was rejected stays away for a while.

use super::*;

/// Time for which a pool counts as brittle after the last response that said so, in milliseconds.
const RETENTION_MS: u64 = 5_000;

/// Bounds on the time for which an instance sends nothing to a brittle upstream that rejected its request, in milliseconds.
/// Within them it is long enough for one rejection of each instance to be tolerated.
const HOLD_MS: RangeInclusive<u64> = 1_000..=5_000;

/// Factor by which the end of that time is randomized at most.
const HOLD_JITTER: f64 = 1.5;

/// What the upstreams of a pool tolerate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Brittleness {
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
                let until = self.now.after(RETENTION_MS);
                let pool = self.upstreams[key].pool.clone();
                let pool = self.pools.entry(pool).or_default();
                pool.brittleness = Some(Brittleness { tolerated, until });
            }
        }
    }

    /// Rejections per second that each upstream of a pool tolerates; `None` unless they are brittle.
    fn tolerated_rejections(&self, pool: &core::Pool) -> Option<limit::Rate> {
        let brittleness = pool.brittleness?;
        (self.now < brittleness.until).then_some(brittleness.tolerated)
    }

    /// Whether the upstreams of a pool are brittle.
    pub(crate) fn is_brittle(&self, pool: &core::Pool) -> bool {
        self.tolerated_rejections(pool).is_some()
    }

    /// Limits the candidates for a request to those that will not reject it, as far as that is in this instance's hands:
    /// it has not just been rejected there, and a slot there is idle that is its own to fill, or it may borrow one.
    pub(crate) fn retain_with_slot(&self, request: &Request, candidates: &mut Vec<upstream::Key>) {
        let pool = self.pools.get(request.service.pool());
        let Some(pool) = pool.filter(|pool| self.is_brittle(pool)) else {
            return;
        };
        candidates.retain(|key| self.now >= self.upstreams[*key].full_until);
        if request.service.streams() {
            return;
        }
        let homes = self.home_slots(&pool.upstreams);
        if homes.is_empty() {
            return;
        }
        let is_idle = |key: &upstream::Key| self.has_idle_home_slot(*key, &homes);
        if candidates.iter().any(is_idle) {
            candidates.retain(is_idle);
        } else if !self.may_borrow_slot(pool, &homes) {
            candidates.clear();
        }
    }

    /// Whether this instance may have a call more under way than there are slots of its own, at an upstream of any: one, and
    /// only where there is a slot for each instance. Callers are not spread as evenly as slots.
    fn may_borrow_slot(&self, pool: &core::Pool, homes: &[upstream::Key]) -> bool {
        let slots = self
            .upstreams_of(pool)
            .map(|upstream| upstream.listed_slots);
        let own = self
            .upstreams_of(pool)
            .map(|upstream| upstream.attempts.len());
        slots.sum::<u32>() >= self.instances && own.sum::<usize>() <= homes.len()
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
