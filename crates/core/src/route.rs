//! Which upstream a request is sent to.

use super::*;

/// Load over its slots up to which an upstream takes resumed work when no other has room.
const RESUME_OVERLOAD: f64 = 1.25;

/// Load over its slots beyond which an upstream is not chosen for its cache alone.
const PREFIX_LOAD: f64 = 1.0;

/// Upstreams tried for their cache before others are.
const PREFIX_UPSTREAMS: usize = 2;

impl Core {
    /// The upstream for a request; `None` if it must wait.
    pub(crate) fn choose(&mut self, key: request::Key, resume: bool) -> Option<upstream::Key> {
        if self.requests[key].work.relay().is_some() {
            return self.place(key);
        }
        if self.settings.routing == Routing::Prefix
            && let Some(upstream) = self.by_prefix(key)
        {
            return Some(upstream);
        }
        let mut candidates = self.candidates(key, resume);
        let avoid = self.requests[key].avoid;
        if candidates.len() > 1 {
            candidates.retain(|other| Some(*other) != avoid);
        }
        if candidates.is_empty() {
            return None;
        }
        match self.settings.routing {
            Routing::Headroom => self.by_headroom(&candidates),
            Routing::LeastReported => self.least_reported(&candidates),
            Routing::Random => Some(self.any(&candidates)),
            Routing::RoundRobin => {
                self.rotation += 1;
                Some(candidates[self.rotation % candidates.len()])
            }
            Routing::Prefix | Routing::TwoChoices => Some(self.of_two(&candidates)),
        }
    }

    fn any(&mut self, keys: &[upstream::Key]) -> upstream::Key {
        keys[self.rng.random_range(0..keys.len())]
    }

    fn below(&self, keys: &[upstream::Key], limit: f64) -> Vec<upstream::Key> {
        keys.iter()
            .copied()
            .filter(|key| self.filled(*key) < limit)
            .collect()
    }

    /// At random, by the share of slots believed free.
    fn by_headroom(&mut self, keys: &[upstream::Key]) -> Option<upstream::Key> {
        let room = |key: &upstream::Key| (1.0 - self.filled(*key)).max(f64::EPSILON);
        let total: f64 = keys.iter().map(room).sum();
        let rooms: Vec<f64> = keys.iter().map(room).collect();
        let mut point = self.rng.random_range(0.0..total);
        for (key, room) in keys.iter().zip(rooms) {
            point -= room;
            if point <= 0.0 {
                return Some(*key);
            }
        }
        keys.last().copied()
    }

    /// The first of those that the prompt's start ranks highest which has room to spare. Every
    /// instance ranks alike, so a start is computed by few upstreams and found there by all.
    fn by_prefix(&self, key: request::Key) -> Option<upstream::Key> {
        let Work::Generate { prefix, .. } = self.requests[key].work else {
            return None;
        };
        let mut ranked = self.usable(key);
        ranked.sort_unstable_by_key(|key| rank(prefix, self.upstreams[*key].life.id));
        ranked
            .into_iter()
            .take(PREFIX_UPSTREAMS)
            .find(|key| self.filled(*key) < PREFIX_LOAD)
    }

    /// Upstreams that may be sent this request: usable, and with room if the way knows room.
    fn candidates(&self, key: request::Key, resume: bool) -> Vec<upstream::Key> {
        let usable = self.usable(key);
        if !self.settings.routing.is_capacity_aware() {
            return usable;
        }
        let limit = if resume {
            1.0
        } else {
            1.0 - self.settings.resume_reserve
        };
        let free = self.below(&usable, limit);
        if free.is_empty() && resume {
            return self.below(&usable, RESUME_OVERLOAD);
        }
        free
    }

    /// Work believed to be at an upstream, over its slots.
    fn filled(&self, key: upstream::Key) -> f64 {
        let upstream = &self.upstreams[key];
        f64::from(upstream.believed()) / f64::from(upstream.slots())
    }

    fn least_reported(&self, keys: &[upstream::Key]) -> Option<upstream::Key> {
        let reported = |key: &upstream::Key| {
            let upstream = &self.upstreams[*key];
            (upstream.load.running + upstream.load.waiting) * 1_000 / upstream.slots()
        };
        keys.iter().copied().min_by_key(reported)
    }

    /// Of two taken at random, the one believed to have less work.
    fn of_two(&mut self, keys: &[upstream::Key]) -> upstream::Key {
        let first = self.any(keys);
        let second = self.any(keys);
        if self.filled(second) < self.filled(first) {
            second
        } else {
            first
        }
    }

    /// Upstreams of a request's pool that take work and do not have it already.
    fn usable(&self, key: request::Key) -> Vec<upstream::Key> {
        if self.now < self.stale_until {
            return Vec::new();
        }
        let request = &self.requests[key];
        let Some(pool) = self.pools.get(request.service.pool()) else {
            return Vec::new();
        };
        let tried = |key: &upstream::Key| {
            let mut attempts = request.attempts.iter();
            attempts.any(|attempt| self.attempts[*attempt].upstream == *key)
        };
        pool.upstreams
            .iter()
            .copied()
            .filter(|key| self.upstreams[*key].takes_work(self.now) && !tried(key))
            .collect()
    }
}

/// Rank of an upstream for a prompt's start or an instance, by rendezvous hashing; the lowest is
/// first.
pub(crate) fn rank(chooser: u64, upstream: u64) -> u64 {
    let mixed = (chooser ^ upstream.rotate_left(32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9)
}
