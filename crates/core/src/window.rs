//! How many calls of a plain service an instance has under way at once: more while answers come well, fewer
//! when upstreams refuse, break connections, or tell that many wait.

use super::*;

/// Calls at once before anything is known.
const START: f64 = 16.0;

/// Calls at once, at least.
const LEAST: f64 = 1.0;

/// Calls at once that an instance may always come to, however many others there are.
const LEAST_MOST: f64 = 2.0;

/// Calls of all instances for each slot of an upstream, at most: one that runs, and two that wait so that
/// no slot is idle.
const CALLS_PER_SLOT: f64 = 3.0;

/// Part that is left after a sign of too much load.
const CUT: f64 = 0.7;

/// Time between two cuts, in milliseconds: some calls, so that one cut is seen before the next.
const CUT_MS: u64 = 100;

/// Calls of one pool at once.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Window {
    cut_at: Time,
    size: f64,
}

impl Default for Window {
    fn default() -> Self {
        Self {
            cut_at: Time::default(),
            size: START,
        }
    }
}

impl Window {
    /// An upstream in such a state answered, while so many calls were under way.
    pub fn answered(&mut self, load: Load, running: u32, now: Time) {
        if load.slots > 0 && load.waiting > load.slots {
            self.cut(now);
        } else if f64::from(running) * 2.0 >= self.size {
            self.size += 1.0 / self.size;
        }
    }

    /// An upstream refused a call or broke its connection.
    pub fn cut(&mut self, now: Time) {
        if now.since(self.cut_at) >= CUT_MS {
            self.cut_at = now;
            self.size = (self.size * CUT).max(LEAST);
        }
    }

    /// Calls at once, at most, where upstreams have so many slots together (0 if they do not tell) and so many
    /// instances share them.
    pub fn size(&self, slots: u32, instances: u32) -> u32 {
        if slots == 0 {
            return self.size as u32;
        }
        let part = CALLS_PER_SLOT * f64::from(slots) / f64::from(instances.max(1));
        self.size.min(part.max(LEAST_MOST)) as u32
    }
}

impl Core {
    /// Whether another call may be under way in the pool of a request; streams are bounded by the room of
    /// their engines.
    pub(crate) fn may_send_call(&self, request: &Request) -> bool {
        if !self.settings.calls.window || request.service.streams() {
            return true;
        }
        let Some(pool) = self.pools.get(request.service.pool()) else {
            return true;
        };
        let slots = self.upstreams_of(pool).map(|upstream| upstream.load.slots);
        self.calls(pool) < pool.window.size(slots.sum(), self.instances)
    }

    /// Notes how a relayed call ended: with an answer, or without one.
    pub(crate) fn record_call_result(&mut self, attempt: &Attempt, answered: bool) {
        let request = &self.requests[attempt.request];
        if request.service.streams() {
            return;
        }
        let name: Arc<str> = request.service.pool().into();
        let load = self.upstreams.get(attempt.upstream);
        let load = load.map(|upstream| upstream.load).unwrap_or_default();
        let now = self.now;
        let Some(pool) = self.pools.get(&name) else {
            return;
        };
        let running = self.calls(pool) + 1;
        let window = &mut self.pools.entry(name.clone()).or_default().window;
        if answered {
            window.answered(load, running, now);
        } else {
            window.cut(now);
        }
        self.record_call_duration(&name, attempt, answered);
    }

    /// Upstreams of a pool.
    pub(crate) fn upstreams_of<'a>(
        &'a self,
        pool: &'a core::Pool,
    ) -> impl Iterator<Item = &'a Upstream> {
        let keys = pool.upstreams.iter();
        keys.filter_map(|key| self.upstreams.get(*key))
    }

    /// Calls of a pool that are under way.
    fn calls(&self, pool: &core::Pool) -> u32 {
        let calls = self
            .upstreams_of(pool)
            .map(|upstream| upstream.attempts.len() as u32);
        calls.sum()
    }
}
