//! What an upstream says of itself beside an answer, whatever becomes of the answer, and what follows from it.
//!
//! The platform's list may be late or away; these words are in the instance's own hands. Each holds from before any byte
//! of the answer that brought it goes to a caller.

use super::*;
use limit::Rate;

/// The longest rest that is believed, in milliseconds: one hour. An upstream that wants nothing for longer says that it
/// leaves; a time written in another unit must not take one out for good.
const REST_MOST_MS: u64 = 3_600_000;

/// Part of a rest, as a divisor, over which its ends are spread: instances that were turned away in the same moment, and callers
/// that these refuse, must not come back in the same moment.
const SPREAD: u64 = 10;

/// Time for which it is remembered what an upstream said that is listed no more, in milliseconds: an entry may be back
/// seconds later, when the store was away, while upstreams that leave are gone within minutes.
const KEPT_MS: u64 = 600_000;

/// Upstreams whose words are remembered though they are listed no more, at most: all of the largest fleet designed for, replaced
/// once. One takes under 100 bytes.
const KEPT_MOST: usize = 2_200;

/// What the head of one answer says of the upstream that gave it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether it is leaving.
    pub leaving: bool,
    /// Which requests it takes from all instances together.
    pub limit: Limit,
    /// Its load, if it tells that.
    pub load: Option<Load>,
    /// Whether it wants no requests of this instance for a while.
    pub rest: Rest,
}

/// For how long an upstream wants no requests of the instance that it answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Rest {
    /// For so many milliseconds.
    For(u64),
    /// It does not ask for any.
    #[default]
    None,
    /// It asks for something that is no time.
    Odd,
}

/// What holds of a life of an upstream by its own words.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Standing {
    /// Whether it is leaving, up to its end.
    pub leaving: bool,
    /// What it takes from all instances together, if it names that.
    pub limit: Option<Rate>,
    /// Until when it wants no requests of this instance.
    pub rests_until: Time,
}

/// What upstreams said that are listed no more.
#[derive(Clone, Debug, Default)]
pub(crate) struct Standings(BTreeMap<(Life, SocketAddr), Kept>);

#[derive(Clone, Copy, Debug)]
struct Kept {
    at: Time,
    standing: Standing,
}

impl Notice {
    /// Whether the head says nothing of the upstream but its load.
    pub fn is_plain(&self) -> bool {
        let unlimited = matches!(self.limit, Limit::None | Limit::Unknown);
        !self.leaving && self.rest == Rest::None && unlimited
    }
}

impl Rest {
    /// Reads a time in seconds, which may have a fraction.
    pub fn read(text: &str) -> Self {
        // The cast saturates, so a time beyond all numbers is the longest one.
        decimal(text).map_or(Self::Odd, |seconds| {
            Self::For((seconds * 1_000.0).ceil() as u64)
        })
    }
}

/// A number of digits that may have a fraction; no sign, exponent or unit.
pub(crate) fn decimal(text: &str) -> Option<f64> {
    let text = text.trim();
    let plain = |byte: u8| byte.is_ascii_digit() || byte == b'.';
    let number = text.parse::<f64>().ok();
    number.filter(|_| text.bytes().all(plain))
}

impl Standings {
    /// Remembers what an upstream said whose entry is gone. Of too many the oldest is forgotten.
    pub fn keep(&mut self, upstream: &Upstream, now: Time) {
        self.0.retain(|_, kept| now.since(kept.at) < KEPT_MS);
        let standing = Standing {
            limit: upstream.part.map(|part| part.rate()),
            ..upstream.standing
        };
        if standing == Standing::default() {
            return;
        }
        if self.0.len() >= KEPT_MOST
            && let Some(oldest) = self.0.iter().min_by_key(|(_, kept)| kept.at)
        {
            let oldest = *oldest.0;
            self.0.remove(&oldest);
        }
        let key = (upstream.life, upstream.address);
        self.0.insert(key, Kept { at: now, standing });
    }

    /// What a life said at an address before its entry was gone.
    pub fn take(&mut self, life: Life, address: SocketAddr) -> Standing {
        let kept = self.0.remove(&(life, address));
        kept.map_or_else(Standing::default, |kept| kept.standing)
    }
}

impl Core {
    /// An upstream said something of itself beside the answer to an attempt.
    pub(crate) fn noticed(&mut self, key: upstream::Key, attempt: attempt::Key, notice: &Notice) {
        if !self.upstreams.contains_key(key) {
            return;
        }
        if let Some(load) = notice.load {
            self.carried_by(key, load);
        }
        if notice.leaving {
            self.departs(key);
        }
        self.limited(key, attempt, notice.limit);
        match notice.rest {
            Rest::For(millis) => self.rest(key, millis),
            Rest::None => {}
            Rest::Odd => self.count(Counter::NoticeInvalid),
        }
    }

    /// An upstream says that it is leaving. That holds for the rest of its life, whatever the list says: the store may be away, or
    /// show what it was told before. Calls went to such an upstream up to 6 s behind its word while the store was away.
    fn departs(&mut self, key: upstream::Key) {
        self.count(Counter::NoticeLeaving);
        if self.upstreams[key].standing.leaving {
            return;
        }
        self.leave(key);
        self.upstreams[key].standing.leaving = true;
    }

    /// An upstream wants no requests for a while. A shorter word does not end an earlier one; without it an upstream that turned
    /// requests away was sent more a quarter of a second later.
    fn rest(&mut self, key: upstream::Key, millis: u64) {
        self.count(Counter::NoticeRest);
        let millis = millis.min(REST_MOST_MS);
        let spread = self.rng.random_range(0..=millis / SPREAD);
        let until = self.now.after(millis + spread);
        let rested = self.upstreams[key].rests(self.now);
        let standing = &mut self.upstreams[key].standing;
        standing.rests_until = standing.rests_until.max(until);
        if !rested && millis > 0 {
            self.believe(key, effect::Belief::Resting);
        }
        self.refuse_resting(key);
    }

    /// Another instance heard from an upstream that it is leaving. It may be late, so it holds for a while only; the upstream's
    /// own word is not in this instance's hands.
    pub(crate) fn departing(&mut self, life: Life) {
        let Some(key) = self.lives.get(&life).copied() else {
            return;
        };
        self.count(Counter::PeerLeaving);
        self.hint(key);
    }

    /// When the first upstream that a request may go to wants requests again, if all of them rest; `None` if one does not, or if
    /// there is none.
    pub(crate) fn rested_at(&self, request: &Request) -> Option<Time> {
        let pool = self.pools.get(request.service.pool())?;
        let stay = self.staying(pool);
        let ends = stay.map(|upstream| upstream.standing.rests_until);
        ends.min().filter(|end| *end > self.now)
    }

    /// Upstreams of a pool that work may be meant for, now or later.
    pub(crate) fn staying<'a>(
        &'a self,
        pool: &'a core::Pool,
    ) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams_of(pool)
            .filter(|upstream| upstream.health != Health::Lost && !upstream.leaves(self.now))
            .filter(|upstream| !upstream.held)
    }

    /// When a caller is asked to come back whose request finds no upstream since all rest, in milliseconds: when the first of them wants
    /// requests again, also where the caller waits less long. `None` if one does not rest.
    pub(crate) fn come_back_rested(&mut self, request: &Request) -> Option<u64> {
        let end = self.rested_at(request)?;
        let rest = end.since(self.now).max(capacity::MIN_RETRY_AFTER_MS);
        Some(self.rng.random_range(rest..=rest + rest / SPREAD))
    }

    /// Whether it is known that a request which so many others go before finds no upstream as long as it may wait, since all rest or
    /// have named limits.
    pub(crate) fn is_outlasted(&self, request: &Request, ahead: usize) -> bool {
        let until = self.queue_deadline(request).min(request.deadline);
        let until = until.min(self.last_begin(request));
        let opens = self.opens_at(request, ahead);
        opens.is_some_and(|opens| opens >= until)
    }

    /// When a request must be sent at last for its answer to come in the time wanted, or soon if it is too late for that. Calls that
    /// were let wait up to the time wanted itself were all late.
    fn last_begin(&self, request: &Request) -> Time {
        let pool = self.pools.get(request.service.pool());
        let takes = pool.map_or(0.0, |pool| pool.demands.service_time_ms());
        let last = request.wanted_by.0.saturating_sub(takes as u64);
        request.send_by.max(Time(last))
    }

    /// Refuses a new request that no upstream takes as long as it may wait.
    pub(crate) fn check_open(&mut self, request: &Request) -> Result<(), admission::Refusal> {
        let pool = self.pools.get(request.service.pool());
        let ahead = pool.map_or(0, |pool| pool.queue.ahead_of(request.service.priority));
        if !self.is_outlasted(request, ahead) {
            return Ok(());
        }
        self.record_shortage(request);
        Err(admission::Refusal {
            kind: Kind::Overloaded,
            retry_after_ms: Some(self.retry_after_ms(request)),
        })
    }

    /// Gives up on what waits and is known to find no upstream in time, since one more rests.
    fn refuse_resting(&mut self, key: upstream::Key) {
        let pool = self.upstreams[key].pool.clone();
        let waits = |request: &Request| {
            let queued = request.state == State::Queued && request.service.pool() == &*pool;
            queued && self.is_outlasted(request, 0)
        };
        let in_vain: Vec<request::Key> = self
            .requests
            .iter()
            .filter(|(_, request)| waits(request))
            .map(|(key, _)| key)
            .collect();
        for key in in_vain {
            self.give_up(key, Kind::Overloaded, Kind::UpstreamFailed);
        }
    }
}
