//! How long callers of a service wait, by which those that come back after a refusal are known: they
//! have less time left than others had at first.

use super::*;

/// Time for which the longest patience is remembered, in milliseconds, at least; twice that at most.
const KEPT_MS: u64 = 30_000;

/// The longest patience of late.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct LongestTimeout {
    /// The longest since `since`, in milliseconds.
    current: u64,
    /// The longest in the time before, in milliseconds.
    previous: u64,
    since: Time,
}

impl LongestTimeout {
    /// Notes a caller's patience; by how much it is shorter than the longest, in milliseconds.
    pub fn note(&mut self, patience: u64, now: Time) -> u64 {
        if now.since(self.since) >= KEPT_MS {
            self.previous = self.current;
            self.current = 0;
            self.since = now;
        }
        self.current = self.current.max(patience);
        self.current.max(self.previous) - patience
    }
}
