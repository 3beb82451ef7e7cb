//! Retry budgets.

use super::*;

/// A bucket of permits: earned by work done, refilled slowly by time, spent by retries.
#[derive(Clone, Debug)]
pub struct Budget {
    capacity: f64,
    last: Time,
    level: f64,
    /// Part of capacity and refill that this instance may use, from 0 to 1.
    part: f64,
    refill_per_second: f64,
}

impl Budget {
    /// Adds a part of a permit for work admitted.
    pub fn earn(&mut self, permits: f64) {
        self.level = (self.level + permits).min(self.capacity * self.part);
    }

    /// A full bucket of `capacity` permits that refills by `refill_per_second`.
    pub fn new(capacity: f64, refill_per_second: f64, now: Time) -> Self {
        Self {
            capacity,
            last: now,
            level: capacity,
            part: 1.0,
            refill_per_second,
        }
    }

    /// Leaves this instance a part of capacity and refill, where many instances have a budget together.
    pub fn limit(&mut self, part: f64) {
        self.part = part;
    }

    /// Takes `permits`; false, and nothing taken, if there are fewer.
    pub fn spend(&mut self, permits: f64, now: Time) -> bool {
        let earned = now.since(self.last) as f64 / 1000.0 * self.refill_per_second * self.part;
        self.last = now;
        self.earn(earned);
        if self.level < permits {
            return false;
        }
        self.level -= permits;
        true
    }
}
