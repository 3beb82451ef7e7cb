//! Rate limits that upstreams announce: requests per second, from all instances together.
//!
//! Guards against an overloaded upstream to which each of hundreds of instances could send a request at the same moment.
//! If all instances shared a limit, each would get less than one request, and their first requests together would be many
//! times what the upstream takes. So only a few instances hold a share, about one for each request per second, and
//! a bucket holds one permit at most: in any period they send what the limit allows plus one request each.

use super::*;

/// Units of [`Rate`] in one request per second.
const RATE_SCALE: f64 = 1_000.0;

/// Permits in a full bucket. More would add up over the instances that hold a share.
const CAPACITY: f64 = 1.0;

/// Lowest rate at which an upstream is tried, also with a limit of 0. Without requests the end of a limit would not be seen.
const PROBE_RATE: Rate = Rate(100);

/// Time after which an unconfirmed limit is probed, in milliseconds. Exceeds the interval at which an upstream that is
/// tried at the lowest rate repeats its limit.
const UNCONFIRMED_MS: u64 = 30_000;

/// Interval at which an instance repeats an unchanged limit to its peers, in milliseconds. Short enough that peers that
/// miss an update need not probe.
const ANNOUNCE_MS: u64 = 5_000;

/// When a bucket without a refill rate will have a permit.
pub(crate) const NEVER: Time = Time(u64::MAX);

/// Requests per second, in thousandths.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rate(pub u64);

/// Rate limit in the headers of a response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Limit {
    /// Not a decimal number.
    Malformed,
    /// No limit announced: the upstream takes any number of requests.
    None,
    /// Limit on the requests from all instances together.
    Rate(Rate),
    /// The response says nothing about the upstream that it was requested from.
    #[default]
    Unknown,
}

/// This instance's share of an upstream's rate limit, as a token bucket.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    /// When this or another instance last announced the limit to its peers.
    announced_at: Time,
    /// When a response last confirmed the limit here; initially, when it became known.
    confirmed_at: Time,
    /// Available permits, from 0 to 1.
    permits: f64,
    /// When to probe whether the limit still applies.
    probe_due: Time,
    rate: Rate,
    /// Refill rate; 0 if other instances hold the shares.
    refill_per_ms: f64,
    /// When `permits` was computed; in the future for a share that starts later.
    refilled_at: Time,
}

impl TokenBucket {
    /// Creates an empty bucket for a newly announced limit.
    fn new(rate: Rate, now: Time) -> Self {
        Self {
            announced_at: Time::default(),
            confirmed_at: now,
            permits: 0.0,
            probe_due: now,
            rate,
            refill_per_ms: 0.0,
            refilled_at: now,
        }
    }

    /// Limit that it is a share of.
    pub fn rate(&self) -> Rate {
        self.rate
    }

    /// Whether a request may be sent.
    pub fn has_permit(&self, now: Time) -> bool {
        self.permits_at(now) >= CAPACITY
    }

    /// When the bucket will have provided `requests` permits; [`NEVER`] if other instances hold the shares.
    pub fn available_at(&self, requests: usize, now: Time) -> Time {
        let missing = requests as f64 * CAPACITY - self.permits_at(now);
        if missing <= 0.0 {
            return now;
        }
        if self.refill_per_ms == 0.0 {
            return NEVER;
        }
        self.refilled_at
            .max(now)
            .after((missing / self.refill_per_ms).ceil() as u64)
    }

    /// Takes the permit for a request; false if there is none.
    pub fn take_permit(&mut self, now: Time) -> bool {
        let has_permit = self.has_permit(now);
        self.refill(now);
        self.permits = (self.permits - CAPACITY).max(0.0);
        has_permit
    }

    fn permits_at(&self, now: Time) -> f64 {
        let earned = now.since(self.refilled_at) as f64 * self.refill_per_ms;
        // Tolerates the rounding error of summed shares.
        (self.permits + earned + f64::EPSILON * 8.0).min(CAPACITY)
    }

    /// Adds the permits earned up to `now`; a share that starts later earns none before.
    fn refill(&mut self, now: Time) {
        if now > self.refilled_at {
            self.permits = self.permits_at(now);
            self.refilled_at = now;
        }
    }

    /// Changes the share of the limit, with effect from a time on; `None` if other instances hold the shares.
    fn set_share(&mut self, rate: Rate, holders: usize, from: Option<Time>, now: Time) {
        self.refill(now);
        self.rate = rate;
        let Some(from) = from else {
            self.refill_per_ms = 0.0;
            self.permits = 0.0;
            return;
        };
        if self.refill_per_ms == 0.0 {
            self.permits = 0.0;
        }
        self.refill_per_ms = rate.max(PROBE_RATE).per_second() / 1_000.0 / holders as f64;
        if from > now {
            self.permits = 0.0;
            self.refilled_at = from;
        }
    }
}

impl Rate {
    /// Converts to requests per second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / RATE_SCALE
    }
}

impl Limit {
    /// Parses a decimal number of requests per second.
    pub fn parse(text: &str) -> Self {
        // The cast saturates, so larger numbers become the maximum.
        notice::parse_decimal(text).map_or(Self::Malformed, |rate| {
            Self::Rate(Rate((rate * RATE_SCALE) as u64))
        })
    }

    /// Returns the stricter of two limits in one response. A valid one takes precedence over a malformed one.
    #[must_use]
    pub fn stricter(self, other: Self) -> Self {
        match (self, other) {
            (Self::Rate(one), Self::Rate(two)) => Self::Rate(one.min(two)),
            (Self::Rate(rate), _) | (_, Self::Rate(rate)) => Self::Rate(rate),
            (Self::Malformed, _) | (_, Self::Malformed) => Self::Malformed,
            _ => self,
        }
    }
}

impl Core {
    /// Applies the rate limit from the headers of a response, or its absence.
    pub(crate) fn apply_limit(&mut self, key: upstream::Key, attempt: attempt::Key, limit: Limit) {
        match limit {
            Limit::Malformed => self.count(Counter::NoticeInvalid),
            Limit::None => self.apply_no_limit(key, attempt),
            Limit::Rate(rate) => {
                self.count(Counter::NoticeLimit);
                self.apply_own_limit(key, rate);
            }
            Limit::Unknown => {}
        }
    }

    /// Applies a limit from a response to this instance, and announces it to the peers.
    fn apply_own_limit(&mut self, key: upstream::Key, rate: Rate) {
        let is_changed = self.set_limit(key, rate);
        let (now, incarnation) = (self.now, self.upstreams[key].incarnation);
        let Some(bucket) = &mut self.upstreams[key].limit_bucket else {
            return;
        };
        bucket.confirmed_at = now;
        if is_changed || now.since(bucket.announced_at) >= ANNOUNCE_MS {
            bucket.announced_at = now;
            let rate = Some(rate);
            self.effects.push(Effect::GossipLimit { incarnation, rate });
        }
    }

    /// Handles a response without a limit. It lifts only a limit announced before its request was sent, as responses overtake
    /// each other.
    fn apply_no_limit(&mut self, key: upstream::Key, attempt: attempt::Key) {
        let Some(bucket) = &self.upstreams[key].limit_bucket else {
            return;
        };
        let sent = self.attempts.get(attempt).map(|attempt| attempt.created_at);
        if sent.is_none_or(|sent| sent <= bucket.confirmed_at) {
            return;
        }
        self.clear_limit(key);
        let incarnation = self.upstreams[key].incarnation;
        self.effects.push(Effect::GossipLimit {
            incarnation,
            rate: None,
        });
    }

    /// Applies a limit that a peer received from an upstream; `None` if the upstream no longer announces one.
    pub(crate) fn apply_peer_limit(&mut self, incarnation: Incarnation, rate: Option<Rate>) {
        let Some(key) = self.upstreams_by_incarnation.get(&incarnation).copied() else {
            return;
        };
        self.count(Counter::PeerLimit);
        match rate {
            None => self.clear_limit(key),
            Some(rate) => {
                self.set_limit(key, rate);
                if let Some(bucket) = &mut self.upstreams[key].limit_bucket {
                    bucket.announced_at = self.now;
                }
            }
        }
    }

    /// Enforces a limit from now on; returns whether it differs from the previous one.
    pub(crate) fn set_limit(&mut self, key: upstream::Key, rate: Rate) -> bool {
        let now = self.now;
        let jitter = self.rng.random_range(0..UNCONFIRMED_MS);
        let upstream = &mut self.upstreams[key];
        let is_changed = upstream
            .limit_bucket
            .is_none_or(|bucket| bucket.rate != rate);
        let bucket = upstream
            .limit_bucket
            .get_or_insert_with(|| TokenBucket::new(rate, now));
        bucket.probe_due = now.after(UNCONFIRMED_MS + jitter);
        self.limited.insert(key);
        if is_changed {
            self.update_share(key, rate);
            self.log_status_change(key, effect::StatusChange::Limited);
        }
        is_changed
    }

    /// Recomputes this instance's share of a limit.
    pub(crate) fn update_share(&mut self, key: upstream::Key, rate: Rate) {
        let topic = self.upstreams[key].incarnation.hash_u64();
        let holders = self.settings.limits.holders(rate, self.instances);
        let from = self.members.active_from(holders, topic);
        let now = self.now;
        if let Some(bucket) = &mut self.upstreams[key].limit_bucket {
            bucket.set_share(rate, holders, from, now);
        }
    }

    fn clear_limit(&mut self, key: upstream::Key) {
        if self.upstreams[key].limit_bucket.take().is_some() {
            self.limited.remove(&key);
            self.log_status_change(key, effect::StatusChange::Unlimited);
            let pool = self.upstreams[key].pool.clone();
            self.dispatch_queued(&pool);
        }
    }

    /// Grants a permit for upstreams whose limit has long been unconfirmed. Each instance sends one request at a random
    /// time, so that the response to the first spares the others.
    pub(crate) fn schedule_limit_probes(&mut self) {
        let now = self.now;
        for key in &self.limited {
            let Some(bucket) = &mut self.upstreams[*key].limit_bucket else {
                continue;
            };
            if now >= bucket.probe_due {
                bucket.refill(now);
                bucket.permits = CAPACITY;
                bucket.probe_due =
                    now.after(UNCONFIRMED_MS + self.rng.random_range(0..UNCONFIRMED_MS));
            }
        }
    }

    /// When an upstream can take a request that has `ahead` others before it; `None` if one can now or there is none.
    pub(crate) fn available_at(&self, request: &Request, ahead: usize) -> Option<Time> {
        let pool = self.pools.get(request.service.pool())?;
        let accepts = |upstream: &Upstream| {
            upstream.limit_bucket.is_none() && !upstream.is_in_backoff(self.now)
        };
        let assignable = || {
            let upstreams = self.assignable(pool);
            upstreams.filter(|upstream| self.admits(request, upstream))
        };
        if assignable().any(accepts) {
            return None;
        }
        let limited = assignable().filter(|upstream| upstream.limit_bucket.is_some());
        let permits_needed = 1 + ahead / limited.count().max(1);
        let available = assignable().map(|upstream| {
            let bucket = upstream.limit_bucket.as_ref();
            let permit = bucket.map_or(self.now, |bucket| {
                bucket.available_at(permits_needed, self.now)
            });
            permit.max(upstream.declared.backoff_until)
        });
        available.min().filter(|available| *available > self.now)
    }

    /// Whether all upstreams of a pool announce limits, so that their sum is the capacity of the pool.
    pub(crate) fn is_limited(&self, pool: &core::Pool) -> bool {
        let mut assignable = self.assignable(pool).peekable();
        assignable.peek().is_some() && assignable.all(|upstream| upstream.limit_bucket.is_some())
    }
}
