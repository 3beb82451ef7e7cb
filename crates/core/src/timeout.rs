//! Tracks the longest timeout of the callers of a service. It identifies retries after a refusal:
//! they have less time left than callers have at first.

use super::*;

/// Minimum time in milliseconds for which the longest timeout is remembered; the maximum is twice
/// that.
const PERIOD_MS: u64 = 30_000;

/// The longest recent timeout of the callers of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LongestTimeout {
    /// The longest since `since`, in milliseconds.
    current: u64,
    /// The longest in the period before, in milliseconds.
    previous: u64,
    since: Time,
}

impl LongestTimeout {
    /// Records a caller's timeout. Returns by how much it is shorter than the longest, in
    /// milliseconds.
    pub fn record(&mut self, timeout_ms: u64, now: Time) -> u64 {
        if now.since(self.since) >= PERIOD_MS {
            self.previous = self.current;
            self.current = 0;
            self.since = now;
        }
        self.current = self.current.max(timeout_ms);
        self.current.max(self.previous) - timeout_ms
    }
}
