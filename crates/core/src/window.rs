//! Concurrency window for calls of plain services: grows while upstreams answer, and shrinks when
//! they refuse, break connections or report a long queue.

use super::*;

/// Initial number of concurrent calls.
const INITIAL_SIZE: f64 = 16.0;

/// Minimum number of concurrent calls.
const MIN_SIZE: f64 = 1.0;

/// Minimum number of concurrent calls that an instance can reach, however many others there are.
const MIN_SHARE: f64 = 2.0;

/// Maximum number of concurrent calls of all instances per slot: one that runs, and two that wait
/// so that no slot is idle.
const CALLS_PER_SLOT: f64 = 3.0;

/// Factor on the window at a sign of overload.
const SHRINK_FACTOR: f64 = 0.7;

/// Minimum time between two reductions in milliseconds: some calls, so that one shows its effect
/// before the next.
const SHRINK_INTERVAL_MS: u64 = 100;

/// Concurrency window of one pool.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Window {
    shrunk_at: Time,
    size: f64,
}

impl Default for Window {
    fn default() -> Self {
        Self {
            shrunk_at: Time::default(),
            size: INITIAL_SIZE,
        }
    }
}

impl Window {
    /// Records a response from an upstream with this load while `running` calls were in flight.
    pub fn record_answer(&mut self, load: Load, running: u32, now: Time) {
        if load.slots > 0 && load.waiting > load.slots {
            self.shrink(now);
        } else if f64::from(running) * 2.0 >= self.size {
            self.size += 1.0 / self.size;
        }
    }

    /// Shrinks the window after an upstream refused a call or broke its connection.
    pub fn shrink(&mut self, now: Time) {
        if now.since(self.shrunk_at) >= SHRINK_INTERVAL_MS {
            self.shrunk_at = now;
            self.size = (self.size * SHRINK_FACTOR).max(MIN_SIZE);
        }
    }

    /// Maximum number of concurrent calls, for `slots` slots (0 if not reported) shared by
    /// `instances` instances.
    pub fn size(&self, slots: u32, instances: u32) -> u32 {
        if slots == 0 {
            return self.size as u32;
        }
        let share = CALLS_PER_SLOT * f64::from(slots) / f64::from(instances.max(1));
        self.size.min(share.max(MIN_SHARE)) as u32
    }
}

impl Core {
    /// Whether another call may be sent to a request's pool; streams are bounded by engine capacity
    /// instead.
    pub(crate) fn may_send_call(&self, request: &Request) -> bool {
        if !self.settings.calls.window || request.service.streams() {
            return true;
        }
        let Some(pool) = self.pools.get(request.service.pool()) else {
            return true;
        };
        let slots = self.upstreams_of(pool).map(|upstream| upstream.load.slots);
        let slots = slots.fold(0, u32::saturating_add);
        self.calls_in_pool(pool) < pool.window.size(slots, self.instances)
    }

    /// Records whether a relayed call ended with a response.
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
        let running = self.calls_in_pool(pool) + 1;
        let window = &mut self.pools.entry(name.clone()).or_default().window;
        if answered {
            window.record_answer(load, running, now);
        } else {
            window.shrink(now);
        }
        self.record_call_duration(&name, attempt, answered);
    }

    /// Iterates over the upstreams of a pool.
    pub(crate) fn upstreams_of<'a>(
        &'a self,
        pool: &'a core::Pool,
    ) -> impl Iterator<Item = &'a Upstream> {
        let keys = pool.upstreams.iter();
        keys.filter_map(|key| self.upstreams.get(*key))
    }

    /// Number of calls of a pool in flight.
    fn calls_in_pool(&self, pool: &core::Pool) -> u32 {
        let calls = self
            .upstreams_of(pool)
            .map(|upstream| upstream.attempts.len() as u32);
        calls.sum()
    }
}
