//! Token buckets that limit what one instance may do, as its share of a limit for the whole fleet.

use super::*;

/// Largest fleet in which each instance has a full budget; larger fleets share the total of this many.
const FULL_INSTANCES: f64 = 4.0;

/// A token bucket of permits: earned by admitted work, refilled slowly over time, spent by the limited operation.
///
/// A permit may be spent while the bucket is not empty, and the missing part is owed; a bucket holds at least one
/// permit. So an instance whose share of the total is below one permit can spend one, and earns it back before the
/// next: the fleet's total over time does not depend on the number of instances.
#[derive(Clone, Debug)]
pub struct Budget {
    capacity: f64,
    /// Minimum capacity in permits, and the maximum that may be owed.
    capacity_min: f64,
    level: f64,
    refill_per_second: f64,
    refilled_at: Time,
    /// Share of capacity and refill that this instance may use, from 0 to 1.
    share: f64,
}

impl Budget {
    /// Adds a fraction of a permit for admitted work.
    pub fn earn(&mut self, permits: f64) {
        let capacity = (self.capacity * self.share).max(self.capacity_min);
        self.level = (self.level + permits).min(capacity);
    }

    /// Creates a full bucket of `capacity` permits that gains `refill_per_second`.
    pub fn new(capacity: f64, refill_per_second: f64, now: Time) -> Self {
        Self {
            capacity,
            capacity_min: 1.0,
            level: capacity,
            refill_per_second,
            refilled_at: now,
            share: 1.0,
        }
    }

    /// Restricts this instance to its share of capacity and refill in a fleet of `instances`; the bucket holds at least
    /// `capacity_min` permits, and as many may be owed.
    pub fn set_share(&mut self, instances: u32, capacity_min: f64) {
        self.capacity_min = capacity_min;
        self.share = (FULL_INSTANCES / f64::from(instances.max(1))).min(1.0);
    }

    /// Whether a permit may be spent.
    pub fn has_permit(&mut self, now: Time) -> bool {
        let earned =
            now.since(self.refilled_at) as f64 / 1000.0 * self.refill_per_second * self.share;
        self.refilled_at = now;
        self.earn(earned);
        self.level + self.capacity_min > 1.0
    }

    /// Takes a permit; if the bucket is empty, takes nothing and returns false.
    pub fn spend(&mut self, now: Time) -> bool {
        if !self.has_permit(now) {
            return false;
        }
        self.level -= 1.0;
        true
    }
}
