//! Limits that upstreams name: the requests a second that one takes from all instances together.
//!
//! The load that this answers: an upstream in need that each of hundreds of instances could send a request at the same moment.
//! A limit that all divide leaves each less than a request, and the first requests of all of them are many times
//! what the upstream takes. So few instances have a part of it, some for each request a second, and a part holds one
//! permit at most: in any time all of them send what the limit allows and one request each.

use super::*;

/// Thousandths in a request.
const THOUSANDTHS: f64 = 1_000.0;

/// Permits that a part holds, at most: more would add up over the instances that have one.
const HELD_MOST: f64 = 1.0;

/// Requests a second with which an upstream is asked whose limit is less, or 0: without any its end would not be heard.
const LEAST: Rate = Rate(100);

/// Time for which a limit that nobody hears of is believed without a question, in milliseconds: longer than an upstream that is
/// asked with the least rate takes to say it again.
const UNHEARD_MS: u64 = 30_000;

/// Time between two words of one instance on a limit that stays as it is, in milliseconds: so often that a lost word
/// leaves others no question to ask.
const TELL_MS: u64 = 5_000;

/// Requests a second, in thousandths of one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rate(pub u64);

/// What the head of an answer says of the requests that its upstream takes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Limit {
    /// It names none: the upstream takes what comes.
    None,
    /// It names something that is no number of requests.
    Odd,
    /// It takes so many from all instances together.
    Rate(Rate),
    /// The answer says nothing of the upstream that was asked.
    #[default]
    Unknown,
}

/// What this instance has of the limit of one upstream.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    /// When the level was so high.
    at: Time,
    /// Permits earned in a millisecond; 0 if others have the parts.
    earns: f64,
    /// When an answer last named the limit here; before there was one, when the instance was told of it.
    heard: Time,
    /// Permits at hand, from 0 to 1.
    level: f64,
    rate: Rate,
    /// When the upstream is asked whether the limit still holds.
    questioned: Time,
    /// When others were last told, here or by another instance.
    told: Time,
}

impl Part {
    /// Of a limit that is named for the first time; it begins without a permit.
    fn new(rate: Rate, now: Time) -> Self {
        Self {
            at: now,
            earns: 0.0,
            heard: now,
            level: 0.0,
            questioned: now,
            rate,
            told: Time::default(),
        }
    }

    /// The limit that it is a part of.
    pub fn rate(&self) -> Rate {
        self.rate
    }

    /// Whether a request may be sent.
    pub fn has_permit(&self, now: Time) -> bool {
        self.permits(now) >= HELD_MOST
    }

    /// When so many requests may have been sent; the end of time if others have the parts.
    pub fn opens_at(&self, requests: usize, now: Time) -> Time {
        let missing = requests as f64 * HELD_MOST - self.permits(now);
        if missing <= 0.0 {
            return now;
        }
        if self.earns == 0.0 {
            return Time(u64::MAX);
        }
        self.at.max(now).after((missing / self.earns).ceil() as u64)
    }

    /// Takes the permit of a request that is sent; false if there is none.
    pub fn spend(&mut self, now: Time) -> bool {
        let holds = self.has_permit(now);
        self.settle(now);
        self.level = (self.level - HELD_MOST).max(0.0);
        holds
    }

    fn permits(&self, now: Time) -> f64 {
        let earned = now.since(self.at) as f64 * self.earns;
        // What a sum of parts lacks by rounding is no reason to wait.
        (self.level + earned + f64::EPSILON * 8.0).min(HELD_MOST)
    }

    /// Brings the level up to a time; a part that begins later earns from then on.
    fn settle(&mut self, now: Time) {
        if now > self.at {
            self.level = self.permits(now);
            self.at = now;
        }
    }

    /// Earns another part of a limit, from a time on; `None` if others have the parts.
    fn divide(&mut self, rate: Rate, holders: usize, from: Option<Time>, now: Time) {
        self.settle(now);
        self.rate = rate;
        let Some(from) = from else {
            self.earns = 0.0;
            self.level = 0.0;
            return;
        };
        if self.earns == 0.0 {
            self.level = 0.0;
        }
        self.earns = rate.max(LEAST).per_second() / 1_000.0 / holders as f64;
        if from > now {
            self.level = 0.0;
            self.at = from;
        }
    }
}

impl Rate {
    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / THOUSANDTHS
    }
}

impl Limit {
    /// Reads a decimal number of requests a second.
    pub fn read(text: &str) -> Self {
        // The cast saturates, so a number beyond all others is the largest one.
        notice::decimal(text).map_or(Self::Odd, |rate| {
            Self::Rate(Rate((rate * THOUSANDTHS) as u64))
        })
    }

    /// The stricter of two of which one answer names both; what can be read counts for more than what can not.
    #[must_use]
    pub fn stricter(self, other: Self) -> Self {
        match (self, other) {
            (Self::Rate(one), Self::Rate(two)) => Self::Rate(one.min(two)),
            (Self::Rate(rate), _) | (_, Self::Rate(rate)) => Self::Rate(rate),
            (Self::Odd, _) | (_, Self::Odd) => Self::Odd,
            _ => self,
        }
    }
}

impl Core {
    /// An answer named a limit, or none, beside it.
    pub(crate) fn limited(&mut self, key: upstream::Key, attempt: attempt::Key, limit: Limit) {
        match limit {
            Limit::None => self.unlimited(key, attempt),
            Limit::Odd => self.count(Counter::NoticeInvalid),
            Limit::Rate(rate) => {
                self.count(Counter::NoticeLimit);
                self.named(key, rate);
            }
            Limit::Unknown => {}
        }
    }

    /// An upstream named its limit to this instance, which tells the others.
    fn named(&mut self, key: upstream::Key, rate: Rate) {
        let news = self.believe_limit(key, rate);
        let (now, life) = (self.now, self.upstreams[key].life);
        let Some(part) = &mut self.upstreams[key].part else {
            return;
        };
        part.heard = now;
        if news || now.since(part.told) >= TELL_MS {
            part.told = now;
            let rate = Some(rate);
            self.effects.push(Effect::Limit { life, rate });
        }
    }

    /// An answer named no limit. It ends one that was named before its request was sent: answers overtake each other.
    fn unlimited(&mut self, key: upstream::Key, attempt: attempt::Key) {
        let Some(part) = &self.upstreams[key].part else {
            return;
        };
        let sent = self.attempts.get(attempt).map(|attempt| attempt.sent_at);
        if sent.is_none_or(|sent| sent <= part.heard) {
            return;
        }
        self.lift(key);
        let life = self.upstreams[key].life;
        self.effects.push(Effect::Limit { life, rate: None });
    }

    /// Another instance heard a limit from an upstream, or that it names none any more.
    pub(crate) fn limit_told(&mut self, life: Life, rate: Option<Rate>) {
        let Some(key) = self.lives.get(&life).copied() else {
            return;
        };
        self.count(Counter::PeerLimit);
        match rate {
            None => self.lift(key),
            Some(rate) => {
                self.believe_limit(key, rate);
                if let Some(part) = &mut self.upstreams[key].part {
                    part.told = self.now;
                }
            }
        }
    }

    /// Keeps to a limit from now on; whether it is another one than before.
    pub(crate) fn believe_limit(&mut self, key: upstream::Key, rate: Rate) -> bool {
        let now = self.now;
        let spread = self.rng.random_range(0..UNHEARD_MS);
        let upstream = &mut self.upstreams[key];
        let news = upstream.part.is_none_or(|part| part.rate != rate);
        let part = upstream.part.get_or_insert_with(|| Part::new(rate, now));
        part.questioned = now.after(UNHEARD_MS + spread);
        if news {
            self.divide(key, rate);
            self.believe(key, effect::Belief::Limited);
        }
        news
    }

    /// Reckons anew what this instance has of a limit.
    pub(crate) fn divide(&mut self, key: upstream::Key, rate: Rate) {
        let topic = self.upstreams[key].life.number();
        let holders = self.settings.limits.holders(rate, self.instances);
        let from = self.members.acts_from(holders, topic);
        let now = self.now;
        if let Some(part) = &mut self.upstreams[key].part {
            part.divide(rate, holders, from, now);
        }
    }

    fn lift(&mut self, key: upstream::Key) {
        if self.upstreams[key].part.take().is_some() {
            self.believe(key, effect::Belief::Unlimited);
            let pool = self.upstreams[key].pool.clone();
            self.pump(&pool);
        }
    }

    /// Has upstreams asked whose limits nobody has heard of for long: each instance by one request, at a time of its own, so
    /// that the answer to the first spares the others.
    pub(crate) fn question_limits(&mut self) {
        let now = self.now;
        for upstream in self.upstreams.values_mut() {
            let Some(part) = &mut upstream.part else {
                continue;
            };
            if now >= part.questioned {
                part.settle(now);
                part.level = HELD_MOST;
                part.questioned = now.after(UNHEARD_MS + self.rng.random_range(0..UNHEARD_MS));
            }
        }
    }

    /// When an upstream takes a request that comes behind so many others; `None` if one does now or there is none.
    pub(crate) fn opens_at(&self, request: &Request, ahead: usize) -> Option<Time> {
        let pool = self.pools.get(request.service.pool())?;
        let takes = |upstream: &Upstream| upstream.part.is_none() && !upstream.rests(self.now);
        if self.staying(pool).any(takes) {
            return None;
        }
        let parts = self
            .staying(pool)
            .filter(|upstream| upstream.part.is_some());
        let turn = 1 + ahead / parts.count().max(1);
        let opens = self.staying(pool).map(|upstream| {
            let part = upstream.part.as_ref();
            let permit = part.map_or(self.now, |part| part.opens_at(turn, self.now));
            permit.max(upstream.standing.rests_until)
        });
        opens.min().filter(|opens| *opens > self.now)
    }

    /// Whether all upstreams of a pool name limits, so that what it serves is the sum of these.
    pub(crate) fn is_limited(&self, pool: &core::Pool) -> bool {
        let mut stay = self.staying(pool).peekable();
        stay.peek().is_some() && stay.all(|upstream| upstream.part.is_some())
    }
}
