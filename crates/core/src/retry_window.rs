//! Bound on the attempts of requests beyond their first that reach an upstream, over a sliding window.
//!
//! The bound holds for each service over all instances together. Each instance keeps its own part of it, which depends
//! on its own requests and on the number of instances only. Losses fall unevenly on instances: beyond its part, an
//! instance may go as long as the stream records of all, which are sent anyway, show that the fleet is well below the
//! bound. Where records go to few instances, each keeps to its part.

use super::*;
use request::RetryPermit;

/// Length of a time slot in which requests and attempts are counted, in milliseconds. A hundred slots cover the window
/// of ten seconds that users set.
const SLOT_MS: u64 = 100;

/// Fraction of its part that an instance may use. The rest covers what others overshoot: their views of the fleet
/// differ while instances start and end.
const PART_FRACTION: f64 = 0.95;

/// Fraction of its part that an instance may use for requests whose callers have received nothing.
const RESTART_FRACTION: f64 = 0.8;

/// Fraction of its part that an instance may use for streams that resume without a copy of their KV cache. Only those
/// with a copy may use the rest: they repeat no prefill, and refusing one loses the work already done.
const RESUME_FRACTION: f64 = 0.9;

/// Fraction of the instances' ranks that is added to their parts before rounding down. With 1 the parts of 320 instances
/// with two requests each exceeded the bound by 0.07, since their rounding follows each request that comes and expires.
const ROUNDING: f64 = 0.75;

/// Multiple of its part, and permits, that an instance may use in all while the fleet is below the bound.
const BORROWED_MULTIPLE: f64 = 3.0;
const BORROWED_PERMITS: f64 = 2.0;

/// Fraction of the requests of the other instances, by those of this one, that stream records must show for an instance to
/// go beyond its part. Its own requests show nothing: among four they were this fraction of all by themselves.
const KNOWN_FRACTION: f64 = 0.25;

/// Mean attempts of the instances of a fleet at one moment as a fraction of those of an instance that has used up its
/// part: that one has more than most.
const MEAN_FRACTION: f64 = 0.5;

/// Permits that an instance has for streams with a copy of their KV cache, however small its part is.
const COPY_PERMITS_MIN: f64 = 1.0;

/// What an attempt beyond the first is for, in the order in which permits become short.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RetryClass {
    /// A request whose caller has received nothing.
    Restart,
    /// A stream whose caller has received a part of the response; its prefill is repeated.
    Resume,
    /// The same, where an upstream holds a copy of its KV cache.
    ResumeFromCopy,
}

/// An instance's place in its fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetPart {
    /// Time since this instance last missed records of the others, in milliseconds.
    pub heard_ms: u64,
    /// Number of instances.
    pub instances: u32,
    /// Time for which this instance has counted requests and attempts, in milliseconds. It does not know what it spent
    /// before a restart.
    pub observed_ms: u64,
    /// Number of instances with lower identifiers, as a fraction of all. Where parts of a permit are rounded up follows
    /// from it, so that some instances have a permit where all together have fewer than one each.
    pub rank: f64,
}

/// Numbers of occurrences by time slot, oldest first.
#[derive(Clone, Debug, Default)]
struct SlotCounts {
    slots: VecDeque<(u64, u32)>,
    total: u32,
}

/// Requests and attempts beyond their first.
#[derive(Clone, Debug, Default)]
struct AttemptCounts {
    received: SlotCounts,
    spent: SlotCounts,
}

/// Requests that were received for one service, and attempts beyond their first.
#[derive(Clone, Debug, Default)]
pub struct RetryWindow {
    /// Of all instances, as far as their stream records show.
    fleet: AttemptCounts,
    /// Of this instance.
    own: AttemptCounts,
}

impl FleetPart {
    /// Permits of the fleet that do not depend on requests: none before this instance has counted for a whole window.
    /// Instances that were lost together would spend them a second time in one window, and each those of all while they
    /// do not know each other yet. What requests earn holds whatever was before.
    fn extra(self, bound: &RetryBound) -> f64 {
        if self.observed_ms <= bound.window_ms + SLOT_MS {
            return 0.0;
        }
        bound.extra
    }

    /// Whether records show what the others spent in the whole window.
    fn knows_fleet(self, bound: &RetryBound) -> bool {
        self.instances > 1 && self.heard_ms > bound.window_ms + SLOT_MS
    }
}

impl RetryClass {
    /// Permits that this class may use of a part of the bound, in permits.
    fn permits(self, part: f64, rank: f64) -> f64 {
        let usable = |fraction: f64| (part * fraction * PART_FRACTION + rank * ROUNDING).floor();
        match self {
            Self::Restart => usable(RESTART_FRACTION),
            Self::Resume => usable(RESUME_FRACTION),
            Self::ResumeFromCopy => usable(1.0).max(COPY_PERMITS_MIN),
        }
    }

    /// Fraction of the fleet's bound below which this class may go beyond the part of its instance. The margin is for
    /// attempts whose records have not arrived.
    fn borrowed_below(self) -> f64 {
        match self {
            Self::Restart => 0.8,
            Self::Resume => 0.9,
            Self::ResumeFromCopy => 1.0,
        }
    }
}

impl Display for RetryClass {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        formatter.write_str(match self {
            Self::Restart => "restart",
            Self::Resume => "resume",
            Self::ResumeFromCopy => "resume_from_copy",
        })
    }
}

impl SlotCounts {
    fn add(&mut self, at: Time) {
        let slot = at.0 / SLOT_MS;
        self.total += 1;
        match self.slots.back_mut() {
            Some((last, count)) if *last == slot => *count += 1,
            _ => self.slots.push_back((slot, 1)),
        }
    }

    fn remove(&mut self, at: Time) {
        let slot = at.0 / SLOT_MS;
        let counted = self.slots.iter_mut().find(|(other, _)| *other == slot);
        if let Some((_, count)) = counted.filter(|(_, count)| *count > 0) {
            *count -= 1;
            self.total -= 1;
        }
    }

    /// Number of occurrences from the slot of `start` on.
    fn since(&self, start: Time) -> u32 {
        let is_recent = |(slot, _): &&(u64, u32)| *slot >= start.0 / SLOT_MS;
        let recent = self.slots.iter().rev().take_while(is_recent);
        recent.map(|(_, count)| count).sum()
    }

    /// Drops the slots before the one of `oldest`.
    fn expire(&mut self, oldest: Time) {
        let is_expired = |(slot, _): &mut (u64, u32)| *slot < oldest.0 / SLOT_MS;
        while let Some((_, count)) = self.slots.pop_front_if(is_expired) {
            self.total -= count;
        }
    }
}

impl AttemptCounts {
    /// Drops what lies outside the window. Attempts count for the whole of their first slot and requests for no part of
    /// it, so that no window of the exact length exceeds the bound.
    fn expire(&mut self, bound: &RetryBound, now: Time) {
        let start = now.before(bound.window_ms);
        self.spent.expire(start);
        self.received.expire(start.after(SLOT_MS));
    }

    /// Requests in the window, or twice those in its second half if they are fewer: attempts stay in the window longer
    /// than the requests before them. Where demand fell by half, 320 instances exceeded the bound by 0.15 without this, and by
    /// 0.07 with it.
    fn expected_requests(&self, bound: &RetryBound, now: Time) -> f64 {
        let half = now.before(bound.window_ms / 2).after(SLOT_MS);
        f64::from(self.received.total.min(2 * self.received.since(half)))
    }
}

impl RetryWindow {
    /// Records a request that was received, whether or not it was admitted.
    pub fn record_request(&mut self, bound: &RetryBound, now: Time) {
        self.expire(bound, now);
        self.own.received.add(now);
        self.fleet.received.add(now);
    }

    /// Records an attempt of another instance, and whether it is beyond the first of its request.
    pub fn record_peer_attempt(&mut self, is_first: bool, bound: &RetryBound, now: Time) {
        self.expire(bound, now);
        if is_first {
            self.fleet.received.add(now);
        } else {
            self.fleet.spent.add(now);
        }
    }

    /// Takes a permit for an attempt beyond the first; takes nothing and returns false if this class has none left.
    pub fn spend(
        &mut self,
        class: RetryClass,
        bound: &RetryBound,
        fleet: FleetPart,
        now: Time,
    ) -> bool {
        if !self.has_permit(class, bound, fleet, now) {
            return false;
        }
        self.own.spent.add(now);
        self.fleet.spent.add(now);
        true
    }

    /// Whether this class has a permit left for an attempt beyond the first.
    pub fn has_permit(
        &mut self,
        class: RetryClass,
        bound: &RetryBound,
        fleet: FleetPart,
        now: Time,
    ) -> bool {
        self.expire(bound, now);
        let extra = fleet.extra(bound) / f64::from(fleet.instances.max(1));
        let part = bound.ratio * self.own.expected_requests(bound, now) + extra;
        let has_part = f64::from(self.own.spent.total) < class.permits(part, fleet.rank);
        has_part || self.may_borrow(class, part, bound, fleet, now)
    }

    /// Returns a permit that was taken at a time for an attempt that reached no upstream.
    pub fn refund(&mut self, taken_at: Time) {
        self.own.spent.remove(taken_at);
        self.fleet.spent.remove(taken_at);
    }

    /// Counts a permit that was taken earlier at the time at which its attempt is sent.
    pub fn defer(&mut self, taken_at: Time, sent_at: Time) {
        self.refund(taken_at);
        self.own.spent.add(sent_at);
        self.fleet.spent.add(sent_at);
    }

    /// Whether an instance that has used up its part may go beyond it.
    fn may_borrow(
        &self,
        class: RetryClass,
        part: f64,
        bound: &RetryBound,
        fleet: FleetPart,
        now: Time,
    ) -> bool {
        let instances = f64::from(fleet.instances);
        let own_requests = self.own.received.total;
        let others_requests = self.fleet.received.total.saturating_sub(own_requests);
        let expected = f64::from(own_requests.max(1)) * (instances - 1.0);
        let is_known = f64::from(others_requests) >= KNOWN_FRACTION * expected;
        let most = part * BORROWED_MULTIPLE + BORROWED_PERMITS;
        if !fleet.knows_fleet(bound) || !is_known || f64::from(self.own.spent.total) >= most {
            return false;
        }
        let allowed = bound.ratio * self.fleet.expected_requests(bound, now) + fleet.extra(bound);
        let unreported = match class {
            RetryClass::Restart | RetryClass::Resume => self.unreported_attempts(instances, now),
            RetryClass::ResumeFromCopy => 0.0,
        };
        f64::from(self.fleet.spent.total) + unreported < class.borrowed_below() * allowed
    }

    /// Attempts of other instances whose records may be on their way: when a data centre of upstreams is lost, all
    /// instances retry their streams at the same moment.
    fn unreported_attempts(&self, instances: f64, now: Time) -> f64 {
        let own = f64::from(self.own.spent.since(now)) * instances * MEAN_FRACTION;
        (own - f64::from(self.fleet.spent.since(now))).max(0.0)
    }

    fn expire(&mut self, bound: &RetryBound, now: Time) {
        self.own.expire(bound, now);
        self.fleet.expire(bound, now);
    }
}

impl Core {
    /// Records that a request for a pool was received, which earns retry permits.
    pub(crate) fn record_received(&mut self, pool: &str) {
        let bound = self.settings.retry;
        if bound.is_set() {
            let pool = self.pools.entry(pool.into()).or_default();
            pool.retry_window.record_request(&bound, self.now);
        }
    }

    /// Records the start of another instance's stream at an upstream of a pool. A record of the same run shows that it
    /// was sent before.
    pub(crate) fn record_peer_start(&mut self, pool: &str, record: &StreamRecord) {
        let bound = self.settings.retry;
        if !bound.is_set() {
            return;
        }
        let before = self.stream_records.get(record.id());
        let is_first = before.is_none_or(|before| {
            // A stream that has begun waits for an attempt beyond its first.
            let is_new = before.stage == stream_record::Stage::Waiting && !record.has_begun;
            before.run != record.run || is_new
        });
        if let Some(pool) = self.pools.get_mut(pool) {
            pool.retry_window
                .record_peer_attempt(is_first, &bound, self.now);
        }
    }

    /// Takes the permit that the next attempt of a request needs after the previous one ended for `reason`. An attempt
    /// that reached no upstream returns its permit, and a request that has reached none yet needs none.
    pub(crate) fn take_retry_permit(&mut self, key: request::Key, reason: counter::Reason) -> bool {
        if reason.reached_no_upstream() {
            self.refund_retry_permit(key);
        } else {
            self.requests[key].retry_permit = RetryPermit::Needed;
        }
        self.requests[key].retry_permit == RetryPermit::NotNeeded || self.spend_retry_permit(key)
    }

    /// Takes a permit for another attempt of a request.
    pub(crate) fn spend_retry_permit(&mut self, key: request::Key) -> bool {
        let class = self.retry_class(key);
        let fleet = self.fleet_part();
        let (bound, now) = (self.settings.retry, self.now);
        let request = &mut self.requests[key];
        let pool = self.pools.entry(request.service.pool().into()).or_default();
        if pool.retry_window.spend(class, &bound, fleet, now) {
            request.retry_permit = RetryPermit::Taken(now);
            return true;
        }
        self.count(Counter::RetryRefused(class));
        let entry = self.log_effect(&self.requests[key], effect::Step::RetryRefused(class), None);
        self.effects.push(entry);
        false
    }

    /// Whether there is a permit for another attempt of a request that reached an upstream.
    pub(crate) fn has_retry_permit(&mut self, key: request::Key) -> bool {
        let (class, fleet) = (self.retry_class(key), self.fleet_part());
        let (bound, now) = (self.settings.retry, self.now);
        let pool: Arc<str> = self.requests[key].service.pool().into();
        let pool = self.pools.entry(pool).or_default();
        pool.retry_window.has_permit(class, &bound, fleet, now)
    }

    fn fleet_part(&self) -> FleetPart {
        FleetPart {
            heard_ms: self.now.since(self.hearing_since),
            instances: self.instances,
            observed_ms: self.now.since(self.counting_since),
            rank: self.members.rank_fraction(),
        }
    }

    /// Returns the permit of an attempt that reached no upstream.
    pub(crate) fn refund_retry_permit(&mut self, key: request::Key) {
        let request = &mut self.requests[key];
        if let RetryPermit::Taken(taken_at) = request.retry_permit
            && let Some(pool) = self.pools.get_mut(request.service.pool())
        {
            pool.retry_window.refund(taken_at);
            request.retry_permit = RetryPermit::Needed;
        }
    }

    /// Counts the permit of a request at the time at which its attempt is sent.
    pub(crate) fn defer_retry_permit(&mut self, key: request::Key) {
        let request = &mut self.requests[key];
        if let RetryPermit::Taken(taken_at) = request.retry_permit
            && let Some(pool) = self.pools.get_mut(request.service.pool())
        {
            pool.retry_window.defer(taken_at, self.now);
            request.retry_permit = RetryPermit::Taken(self.now);
        }
    }

    fn retry_class(&self, key: request::Key) -> RetryClass {
        let request = &self.requests[key];
        let copy = request.progress.copy.as_ref();
        if copy.is_some_and(|copy| self.may_hold_copy(copy.upstream)) {
            RetryClass::ResumeFromCopy
        } else if request.position() > 0 {
            RetryClass::Resume
        } else {
            RetryClass::Restart
        }
    }
}
