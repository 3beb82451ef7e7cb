//! Which upstream a request is sent to.

use super::*;

/// Load over its slots up to which an upstream takes resumed work when no other has room.
const RESUME_OVERLOAD: f64 = 1.25;

impl Core {
    /// The upstream for a request: of two taken at random among those with room, the one believed
    /// to have less work for its slots. `None` if none has room.
    pub(crate) fn choose(&mut self, request: request::Key, resume: bool) -> Option<upstream::Key> {
        let request = &self.requests[request];
        let pool = self.pools.get(request.service.pool())?;
        let busy: Vec<upstream::Key> = request
            .attempts
            .iter()
            .filter_map(|key| Some(self.attempts.get(*key)?.upstream))
            .collect();
        let avoid = request.avoid;
        let limit = if resume {
            1.0
        } else {
            1.0 - self.settings.resume_reserve
        };
        let usable: Vec<upstream::Key> = pool
            .upstreams
            .iter()
            .copied()
            .filter(|key| !busy.contains(key))
            .filter(|key| self.upstreams[*key].takes_work(self.now))
            .collect();
        let mut free = self.below(&usable, limit);
        if free.is_empty() && resume {
            free = self.below(&usable, RESUME_OVERLOAD);
        }
        if free.len() > 1 {
            free.retain(|key| Some(*key) != avoid);
        }
        let first = *free.get(self.rng.random_range(0..free.len().max(1)))?;
        let second = free[self.rng.random_range(0..free.len())];
        Some(if self.filled(second) < self.filled(first) {
            second
        } else {
            first
        })
    }

    fn below(&self, keys: &[upstream::Key], limit: f64) -> Vec<upstream::Key> {
        keys.iter()
            .copied()
            .filter(|key| self.filled(*key) < limit)
            .collect()
    }

    /// Work believed to be at an upstream, over its slots.
    fn filled(&self, key: upstream::Key) -> f64 {
        let upstream = &self.upstreams[key];
        f64::from(upstream.believed()) / f64::from(upstream.slots())
    }
}
