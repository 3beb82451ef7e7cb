//! Limits that upstreams name: the requests a second that one takes from all instances together.
//!
//! The load that this answers: an upstream in need that each of hundreds of instances could send a request at the same moment.
//! A limit that all divide leaves each less than a request, and the first requests of all of them are many times
//! what the upstream takes. So few instances have a bucket of it, some for each request a second, and a bucket has_permit one
//! permit at most: in any time all of them send what the limit allows and one request each.

use super::*;

/// Thousandths in a request.
const RATE_SCALE: f64 = 1_000.0;

/// Permits that a bucket has_permit, at most: more would add up over the instances that have one.
const CAPACITY: f64 = 1.0;

/// Requests a second with which an upstream is asked whose limit is less, or 0: without any its end would not be heard.
const PROBE_RATE: Rate = Rate(100);

/// Time for which a limit that nobody hears of is believed without a question, in milliseconds: longer than an upstream that is
/// asked with the least rate takes to say it again.
const UNCONFIRMED_MS: u64 = 30_000;

/// Time between two words of one instance on a limit that stays as it is, in milliseconds: so often that a lost word
/// leaves others no question to ask.
const ANNOUNCE_MS: u64 = 5_000;

/// Requests a second, in thousandths of one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rate(pub u64);

/// What the head of an answer says of the requests that its upstream takes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Limit {
    /// It names none: the upstream takes what comes.
    None,
    /// It names something that is no number of requests.
    Malformed,
    /// It takes so many from all instances together.
    Rate(Rate),
    /// The answer says nothing of the upstream that was asked.
    #[default]
    Unknown,
}

/// What this instance has of the limit of one upstream.
#[derive(Clone, Copy, Debug)]
pub struct TokenBucket {
    /// When the level was so high.
    refilled_at: Time,
    /// Permits earned in a millisecond; 0 if others have the parts.
    refill_per_ms: f64,
    /// When an answer last named the limit here; before there was one, when the instance was told of it.
    confirmed_at: Time,
    /// Permits at hand, from 0 to 1.
    permits: f64,
    rate: Rate,
    /// When the upstream is asked whether the limit still has_permit.
    probe_due: Time,
    /// When others were last told, here or by another instance.
    announced_at: Time,
}

impl TokenBucket {
    /// Of a limit that is named for the first time; it begins without a permit.
    fn new(rate: Rate, now: Time) -> Self {
        Self {
            refilled_at: now,
            refill_per_ms: 0.0,
            confirmed_at: now,
            permits: 0.0,
            probe_due: now,
            rate,
            announced_at: Time::default(),
        }
    }

    /// The limit that it is a bucket of.
    pub fn rate(&self) -> Rate {
        self.rate
    }

    /// Whether a request may be sent.
    pub fn has_permit(&self, now: Time) -> bool {
        self.permits_at(now) >= CAPACITY
    }

    /// When so many requests may have been sent; the end of time if others have the parts.
    pub fn available_at(&self, requests: usize, now: Time) -> Time {
        let missing = requests as f64 * CAPACITY - self.permits_at(now);
        if missing <= 0.0 {
            return now;
        }
        if self.refill_per_ms == 0.0 {
            return Time(u64::MAX);
        }
        self.refilled_at
            .max(now)
            .after((missing / self.refill_per_ms).ceil() as u64)
    }

    /// Takes the permit of a request that is sent; false if there is none.
    pub fn take_permit(&mut self, now: Time) -> bool {
        let has_permit = self.has_permit(now);
        self.refill(now);
        self.permits = (self.permits - CAPACITY).max(0.0);
        has_permit
    }

    fn permits_at(&self, now: Time) -> f64 {
        let earned = now.since(self.refilled_at) as f64 * self.refill_per_ms;
        // What a sum of parts lacks by rounding is no reason to wait.
        (self.permits + earned + f64::EPSILON * 8.0).min(CAPACITY)
    }

    /// Brings the level up to a time; a bucket that begins later refill_per_ms from then on.
    fn refill(&mut self, now: Time) {
        if now > self.refilled_at {
            self.permits = self.permits_at(now);
            self.refilled_at = now;
        }
    }

    /// Earns another bucket of a limit, from a time on; `None` if others have the parts.
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
    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / RATE_SCALE
    }
}

impl Limit {
    /// Reads a decimal number of requests a second.
    pub fn parse(text: &str) -> Self {
        // The cast saturates, so a number beyond all others is the largest one.
        notice::decimal(text).map_or(Self::Malformed, |rate| {
            Self::Rate(Rate((rate * RATE_SCALE) as u64))
        })
    }

    /// The stricter of two of which one answer names both; what can be read counts for more than what can not.
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
    /// An answer named a limit, or none, beside it.
    pub(crate) fn apply_limit(&mut self, key: upstream::Key, attempt: attempt::Key, limit: Limit) {
        match limit {
            Limit::None => self.apply_no_limit(key, attempt),
            Limit::Malformed => self.count(Counter::NoticeOdd),
            Limit::Rate(rate) => {
                self.count(Counter::NoticeLimit);
                self.apply_own_limit(key, rate);
            }
            Limit::Unknown => {}
        }
    }

    /// An upstream named its limit to this instance, which tells the others.
    fn apply_own_limit(&mut self, key: upstream::Key, rate: Rate) {
        let is_changed = self.set_limit(key, rate);
        let (now, life) = (self.now, self.upstreams[key].life);
        let Some(bucket) = &mut self.upstreams[key].limit_bucket else {
            return;
        };
        bucket.confirmed_at = now;
        if is_changed || now.since(bucket.announced_at) >= ANNOUNCE_MS {
            bucket.announced_at = now;
            let rate = Some(rate);
            self.effects.push(Effect::Limit { life, rate });
        }
    }

    /// An answer named no limit. It ends one that was named before its request was sent: answers overtake each other.
    fn apply_no_limit(&mut self, key: upstream::Key, attempt: attempt::Key) {
        let Some(bucket) = &self.upstreams[key].limit_bucket else {
            return;
        };
        let sent = self.attempts.get(attempt).map(|attempt| attempt.sent_at);
        if sent.is_none_or(|sent| sent <= bucket.confirmed_at) {
            return;
        }
        self.clear_limit(key);
        let life = self.upstreams[key].life;
        self.effects.push(Effect::Limit { life, rate: None });
    }

    /// Another instance heard a limit from an upstream, or that it names none any more.
    pub(crate) fn apply_peer_limit(&mut self, life: Life, rate: Option<Rate>) {
        let Some(key) = self.lives.get(&life).copied() else {
            return;
        };
        self.count(Counter::LimitTold);
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

    /// Keeps to a limit from now on; whether it is another one than before.
    pub(crate) fn set_limit(&mut self, key: upstream::Key, rate: Rate) -> bool {
        let now = self.now;
        let spread = self.rng.random_range(0..UNCONFIRMED_MS);
        let upstream = &mut self.upstreams[key];
        let is_changed = upstream
            .limit_bucket
            .is_none_or(|bucket| bucket.rate != rate);
        let bucket = upstream
            .limit_bucket
            .get_or_insert_with(|| TokenBucket::new(rate, now));
        bucket.probe_due = now.after(UNCONFIRMED_MS + spread);
        if is_changed {
            self.update_share(key, rate);
            self.log_belief(key, effect::Belief::Limited);
        }
        is_changed
    }

    /// Reckons anew what this instance has of a limit.
    pub(crate) fn update_share(&mut self, key: upstream::Key, rate: Rate) {
        let topic = self.upstreams[key].life.number();
        let holders = self.settings.limits.holders(rate, self.instances);
        let from = self.members.acts_from(holders, topic);
        let now = self.now;
        if let Some(bucket) = &mut self.upstreams[key].limit_bucket {
            bucket.set_share(rate, holders, from, now);
        }
    }

    fn clear_limit(&mut self, key: upstream::Key) {
        if self.upstreams[key].limit_bucket.take().is_some() {
            self.log_belief(key, effect::Belief::Unlimited);
            let pool = self.upstreams[key].pool.clone();
            self.pump(&pool);
        }
    }

    /// Has upstreams asked whose limits nobody has heard of for long: each instance by one request, at a time of its own, so
    /// that the answer to the first spares the others.
    pub(crate) fn schedule_limit_probes(&mut self) {
        let now = self.now;
        for upstream in self.upstreams.values_mut() {
            let Some(bucket) = &mut upstream.limit_bucket else {
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

    /// When an upstream takes a request that comes behind so many others; `None` if one does now or there is none.
    pub(crate) fn available_at(&self, request: &Request, ahead: usize) -> Option<Time> {
        let pool = self.pools.get(request.service.pool())?;
        let accepts = |upstream: &Upstream| {
            upstream.limit_bucket.is_none() && !upstream.is_in_backoff(self.now)
        };
        if self.assignable(pool).any(accepts) {
            return None;
        }
        let limited = self
            .assignable(pool)
            .filter(|upstream| upstream.limit_bucket.is_some());
        let permits_needed = 1 + ahead / limited.count().max(1);
        let available = self.assignable(pool).map(|upstream| {
            let bucket = upstream.limit_bucket.as_ref();
            let permit = bucket.map_or(self.now, |bucket| {
                bucket.available_at(permits_needed, self.now)
            });
            permit.max(upstream.declared.backoff_until)
        });
        available.min().filter(|available| *available > self.now)
    }

    /// Whether all upstreams of a pool name limits, so that what it serves is the sum of these.
    pub(crate) fn is_limited(&self, pool: &core::Pool) -> bool {
        let mut assignable = self.assignable(pool).peekable();
        assignable.peek().is_some() && assignable.all(|upstream| upstream.limit_bucket.is_some())
    }
}
