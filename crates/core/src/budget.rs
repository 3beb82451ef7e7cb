//! Budgets of permits: what one instance may do of what all instances keep together.

use super::*;

/// Instances that have a full budget each; more of them share as much as these have together.
const FULL_INSTANCES: f64 = 4.0;

/// A bucket of permits: earned by work done, refilled slowly by time, spent by what is bounded.
///
/// A permit may be spent while the bucket is not empty, and what it lacked is owed; a bucket holds one permit at
/// least. So an instance whose part of the whole is less than one permit can spend one, and earns it back
/// before the next: what all of them gain in some time is the whole's however many they are.
#[derive(Clone, Debug)]
pub struct Budget {
    capacity: f64,
    last: Time,
    /// Permits that the bucket holds at least, and that may be owed.
    least: f64,
    level: f64,
    /// Part of capacity and refill that this instance may use, from 0 to 1.
    part: f64,
    refill_per_second: f64,
}

impl Budget {
    /// Adds a part of a permit for work admitted.
    pub fn earn(&mut self, permits: f64) {
        let most = (self.capacity * self.part).max(self.least);
        self.level = (self.level + permits).min(most);
    }

    /// A full bucket of `capacity` permits that refills by `refill_per_second`.
    pub fn new(capacity: f64, refill_per_second: f64, now: Time) -> Self {
        Self {
            capacity,
            last: now,
            least: 1.0,
            level: capacity,
            part: 1.0,
            refill_per_second,
        }
    }

    /// Leaves this instance its part of capacity and refill, where so many instances have a budget together; the
    /// bucket holds `least` permits at least, and as many may be owed.
    pub fn share(&mut self, instances: u32, least: f64) {
        self.least = least;
        self.part = (FULL_INSTANCES / f64::from(instances.max(1))).min(1.0);
    }

    /// Takes a permit; false, and nothing taken, if the bucket is empty.
    pub fn spend(&mut self, now: Time) -> bool {
        let earned = now.since(self.last) as f64 / 1000.0 * self.refill_per_second * self.part;
        self.last = now;
        self.earn(earned);
        if self.level + self.least <= 1.0 {
            return false;
        }
        self.level -= 1.0;
        true
    }
}
