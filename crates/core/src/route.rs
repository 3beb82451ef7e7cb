//! Routing: which upstream a request is sent to.

use super::*;

/// Utilization up to which upstreams take resumed work if none has a free slot.
const MAX_RESUME_UTILIZATION: f64 = 1.25;

/// Utilization from which on an upstream is not preferred for its prefix cache.
const MAX_PREFIX_UTILIZATION: f64 = 1.0;

/// Number of top-ranked upstreams tried for their prefix cache.
const PREFIX_UPSTREAMS: usize = 2;

impl Core {
    /// Chooses an upstream for a request; `None` if it must wait.
    pub(crate) fn choose_upstream(
        &mut self,
        key: request::Key,
        resume: bool,
    ) -> Option<upstream::Key> {
        if self.requests[key].work.relay().is_some() {
            return self.choose_relay_upstream(key);
        }
        if self.settings.routing == Routing::Prefix
            && let Some(upstream) = self.choose_by_prefix(key)
        {
            return Some(upstream);
        }
        let mut candidates = self.candidates(key, resume);
        let avoid = self.requests[key].avoided_upstream;
        if candidates.len() > 1 {
            candidates.retain(|other| Some(*other) != avoid);
        }
        if candidates.is_empty() {
            return None;
        }
        match self.settings.routing {
            Routing::Headroom => self.choose_by_headroom(&candidates),
            Routing::LeastReported => self.choose_by_reported_load(&candidates),
            Routing::Random => Some(self.choose_at_random(&candidates)),
            Routing::RoundRobin => {
                self.round_robin_count += 1;
                Some(candidates[self.round_robin_count % candidates.len()])
            }
            Routing::Prefix | Routing::TwoChoices => {
                Some(self.choose_less_loaded_of_two(&candidates))
            }
        }
    }

    fn below_utilization(&self, keys: &[upstream::Key], limit: f64) -> Vec<upstream::Key> {
        keys.iter()
            .copied()
            .filter(|key| self.utilization(*key) < limit)
            .collect()
    }

    /// Usable upstreams for a request, limited to those with free slots if the routing policy considers them.
    fn candidates(&self, key: request::Key, resume: bool) -> Vec<upstream::Key> {
        let usable_upstreams = self.usable_upstreams(key);
        if !self.settings.routing.is_capacity_aware() {
            return usable_upstreams;
        }
        let limit = if resume {
            1.0
        } else {
            1.0 - self.settings.resume_reserve
        };
        let free = self.below_utilization(&usable_upstreams, limit);
        if free.is_empty() && resume {
            return self.below_utilization(&usable_upstreams, MAX_RESUME_UTILIZATION);
        }
        free
    }

    fn choose_at_random(&mut self, keys: &[upstream::Key]) -> upstream::Key {
        keys[self.rng.random_range(0..keys.len())]
    }

    /// Chooses at random, weighted by the fraction of slots estimated to be free.
    fn choose_by_headroom(&mut self, keys: &[upstream::Key]) -> Option<upstream::Key> {
        let headroom = |key: &upstream::Key| (1.0 - self.utilization(*key)).max(f64::EPSILON);
        let total: f64 = keys.iter().map(headroom).sum();
        let headrooms: Vec<f64> = keys.iter().map(headroom).collect();
        let mut point = self.rng.random_range(0.0..total);
        for (key, headroom) in keys.iter().zip(headrooms) {
            point -= headroom;
            if point <= 0.0 {
                return Some(*key);
            }
        }
        keys.last().copied()
    }

    /// Chooses the first upstream below the utilization limit among those ranked highest for the prompt's prefix. All
    /// instances rank alike, so a prefix is computed by few upstreams and found in their cache by all.
    fn choose_by_prefix(&self, key: request::Key) -> Option<upstream::Key> {
        let Work::Generate { prefix, .. } = self.requests[key].work else {
            return None;
        };
        let mut ranked = self.usable_upstreams(key);
        ranked.sort_unstable_by_key(|key| {
            rendezvous_rank(prefix, self.upstreams[*key].incarnation.id)
        });
        ranked
            .into_iter()
            .take(PREFIX_UPSTREAMS)
            .find(|key| self.utilization(*key) < MAX_PREFIX_UTILIZATION)
    }

    fn choose_by_reported_load(&self, keys: &[upstream::Key]) -> Option<upstream::Key> {
        let reported = |key: &upstream::Key| {
            let upstream = &self.upstreams[*key];
            upstream.load.requests() * 1_000 / u64::from(upstream.slots())
        };
        keys.iter().copied().min_by_key(reported)
    }

    /// Of two upstreams chosen at random, returns the one with the lower estimated utilization.
    fn choose_less_loaded_of_two(&mut self, keys: &[upstream::Key]) -> upstream::Key {
        let first = self.choose_at_random(keys);
        let second = self.choose_at_random(keys);
        if self.utilization(second) < self.utilization(first) {
            second
        } else {
            first
        }
    }

    /// Upstreams of the request's pool that accept work and have no attempt of the request yet.
    fn usable_upstreams(&self, key: request::Key) -> Vec<upstream::Key> {
        if self.now < self.list_stale_until {
            return Vec::new();
        }
        let request = &self.requests[key];
        let Some(pool) = self.pools.get(request.service.pool()) else {
            return Vec::new();
        };
        let has_attempt = |key: &upstream::Key| {
            let mut attempts = request.attempts.iter();
            attempts.any(|attempt| self.attempts[*attempt].upstream == *key)
        };
        pool.upstreams
            .iter()
            .copied()
            .filter(|key| self.upstreams[*key].accepts_work(self.now) && !has_attempt(key))
            .collect()
    }

    /// Estimated load of an upstream divided by its slots.
    fn utilization(&self, key: upstream::Key) -> f64 {
        let upstream = &self.upstreams[key];
        f64::from(upstream.estimated_load()) / f64::from(upstream.slots())
    }
}

/// Rank of an upstream for a prompt's prefix or an instance, by rendezvous hashing; the lowest is first.
pub(crate) fn rendezvous_rank(chooser: u64, upstream: u64) -> u64 {
    let hash = (chooser ^ upstream.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
