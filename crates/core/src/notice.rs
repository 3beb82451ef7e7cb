//! What an upstream says of itself beside an answer, whatever becomes of the answer, and what follows from it.
//!
//! The platform's list may be late or away; these words are in the instance's own hands. Each holds from before any byte
//! of the answer that brought it goes to a caller.

use super::*;
use limit::Rate;

/// The longest rest that is believed, in milliseconds: one hour. An upstream that wants nothing for longer says that it
/// leaves; a time written in another unit must not take one out for good.
const MAX_BACKOFF_MS: u64 = 3_600_000;

/// Part of a rest, as a divisor, over which its ends are spread: instances that were turned away in the same moment, and callers
/// that these refuse, must not come back in the same moment.
const JITTER_DIVISOR: u64 = 10;

/// Time for which it is remembered what an upstream said that is listed no more, in milliseconds: an entry may be back
/// seconds later, when the store was away, while upstreams that leave are gone within minutes.
const RETENTION_MS: u64 = 600_000;

/// Upstreams whose words are remembered though they are listed no more, at most: all of the largest fleet designed for, replaced
/// once. One takes under 100 bytes.
const MAX_RETAINED: usize = 2_200;

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
    pub backoff: Backoff,
}

/// For how long an upstream wants no requests of the instance that it answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Backoff {
    /// For so many milliseconds.
    For(u64),
    /// It does not ask for any.
    #[default]
    None,
    /// It asks for something that is no time.
    Malformed,
}

/// What holds of a life of an upstream by its own words.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DeclaredState {
    /// Whether it is leaving, up to its end.
    pub leaving: bool,
    /// What it takes from all instances together, if it names that.
    pub limit: Option<Rate>,
    /// Until when it wants no requests of this instance.
    pub backoff_until: Time,
}

/// What upstreams said that are listed no more.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetainedStates(BTreeMap<(Life, SocketAddr), Retained>);

#[derive(Clone, Copy, Debug)]
struct Retained {
    at: Time,
    state: DeclaredState,
}

impl Notice {
    /// Whether the head says nothing of the upstream but its load.
    pub fn is_plain(&self) -> bool {
        let unlimited = matches!(self.limit, Limit::None | Limit::Unknown);
        !self.leaving && self.backoff == Backoff::None && unlimited
    }
}

impl Backoff {
    /// Reads a time in seconds, which may have a fraction.
    pub fn parse(text: &str) -> Self {
        // The cast saturates, so a time beyond all numbers is the longest one.
        decimal(text).map_or(Self::Malformed, |seconds| {
            Self::For((seconds * 1_000.0).ceil() as u64)
        })
    }
}

/// A number of digits that may have a fraction; no sign, exponent or unit.
pub(crate) fn decimal(text: &str) -> Option<f64> {
    let text = text.trim();
    let is_plain = |byte: u8| byte.is_ascii_digit() || byte == b'.';
    let number = text.parse::<f64>().ok();
    number.filter(|_| text.bytes().all(is_plain))
}

impl RetainedStates {
    /// Remembers what an upstream said whose entry is gone. Of too many the oldest is forgotten.
    pub fn keep(&mut self, upstream: &Upstream, now: Time) {
        self.0
            .retain(|_, retained| now.since(retained.at) < RETENTION_MS);
        let state = DeclaredState {
            limit: upstream.limit_bucket.map(|bucket| bucket.rate()),
            ..upstream.declared
        };
        if state == DeclaredState::default() {
            return;
        }
        if self.0.len() >= MAX_RETAINED
            && let Some(oldest) = self.0.iter().min_by_key(|(_, retained)| retained.at)
        {
            let oldest = *oldest.0;
            self.0.remove(&oldest);
        }
        let key = (upstream.life, upstream.address);
        self.0.insert(key, Retained { at: now, state });
    }

    /// What a life said at an address before its entry was gone.
    pub fn take(&mut self, life: Life, address: SocketAddr) -> DeclaredState {
        let retained = self.0.remove(&(life, address));
        retained.map_or_else(DeclaredState::default, |retained| retained.state)
    }
}

impl Core {
    /// An upstream said something of itself beside the answer to an attempt.
    pub(crate) fn apply_notice(
        &mut self,
        key: upstream::Key,
        attempt: attempt::Key,
        notice: &Notice,
    ) {
        if !self.upstreams.contains_key(key) {
            return;
        }
        if let Some(load) = notice.load {
            self.apply_upstream_load(key, load);
        }
        if notice.leaving {
            self.apply_own_leaving(key);
        }
        self.apply_limit(key, attempt, notice.limit);
        match notice.backoff {
            Backoff::For(millis) => self.back_off(key, millis),
            Backoff::None => {}
            Backoff::Malformed => self.count(Counter::NoticeOdd),
        }
    }

    /// An upstream says that it is leaving. That holds for the rest of its life, whatever the list says: the store may be away, or
    /// show what it was told before. Calls went to such an upstream up to 6 s behind its word while the store was away.
    fn apply_own_leaving(&mut self, key: upstream::Key) {
        self.count(Counter::NoticeLeaving);
        if self.upstreams[key].declared.leaving {
            return;
        }
        self.mark_leaving(key);
        self.upstreams[key].declared.leaving = true;
    }

    /// An upstream wants no requests for a while. A shorter word does not end an earlier one; without it an upstream that turned
    /// requests away was sent more a quarter of a second later.
    fn back_off(&mut self, key: upstream::Key, millis: u64) {
        self.count(Counter::NoticeRest);
        let millis = millis.min(MAX_BACKOFF_MS);
        let jitter = self.rng.random_range(0..=millis / JITTER_DIVISOR);
        let until = self.now.after(millis + jitter);
        let was_in_backoff = self.upstreams[key].is_in_backoff(self.now);
        let state = &mut self.upstreams[key].declared;
        state.backoff_until = state.backoff_until.max(until);
        if !was_in_backoff && millis > 0 {
            self.log_belief(key, effect::Belief::Resting);
        }
        self.refuse_bound_to_expire(key);
    }

    /// Another instance heard from an upstream that it is leaving. It may be late, so it holds for a while only; the upstream's
    /// own word is not in this instance's hands.
    pub(crate) fn apply_peer_leaving(&mut self, life: Life) {
        let Some(key) = self.lives.get(&life).copied() else {
            return;
        };
        self.count(Counter::LeavingTold);
        self.set_leaving_hint(key);
    }

    /// When the first upstream that a request may go to wants requests again, if all of them rest; `None` if one does not, or if
    /// there is none.
    pub(crate) fn backoff_end(&self, request: &Request) -> Option<Time> {
        let pool = self.pools.get(request.service.pool())?;
        let assignable = self.assignable(pool);
        let ends = assignable.map(|upstream| upstream.declared.backoff_until);
        ends.min().filter(|end| *end > self.now)
    }

    /// Upstreams of a pool that work may be meant for, now or later.
    pub(crate) fn assignable<'a>(
        &'a self,
        pool: &'a core::Pool,
    ) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams_of(pool)
            .filter(|upstream| upstream.health != Health::Lost && !upstream.is_leaving(self.now))
            .filter(|upstream| !upstream.held)
    }

    /// When a caller is asked to come back whose request finds no upstream since all rest, in milliseconds: when the first of them wants
    /// requests again, also where the caller waits less long. `None` if one does not rest.
    pub(crate) fn backoff_retry_after(&mut self, request: &Request) -> Option<u64> {
        let end = self.backoff_end(request)?;
        let remaining = end.since(self.now).max(room::COME_BACK_MS);
        Some(
            self.rng
                .random_range(remaining..=remaining + remaining / JITTER_DIVISOR),
        )
    }

    /// Whether it is known that a request which so many others go before finds no upstream as long as it may wait, since all rest or
    /// have named limits.
    pub(crate) fn is_bound_to_expire(&self, request: &Request, ahead: usize) -> bool {
        let until = self.may_wait_until(request).min(request.deadline);
        let until = until.min(self.latest_start(request));
        let available = self.available_at(request, ahead);
        available.is_some_and(|available| available >= until)
    }

    /// When a request must be sent at last for its answer to come in the time wanted, or soon if it is too late for that. Calls that
    /// were let wait up to the time wanted itself were all late.
    fn latest_start(&self, request: &Request) -> Time {
        let pool = self.pools.get(request.service.pool());
        let takes = pool.map_or(0.0, |pool| pool.demands.takes_ms());
        let latest = request.wanted_by.0.saturating_sub(takes as u64);
        request.send_by.max(Time(latest))
    }

    /// Refuses a new request that no upstream takes as long as it may wait.
    pub(crate) fn check_availability(
        &mut self,
        request: &Request,
    ) -> Result<(), admission::Refusal> {
        let pool = self.pools.get(request.service.pool());
        let ahead = pool.map_or(0, |pool| pool.queue.ahead_of(request.service.priority));
        if !self.is_bound_to_expire(request, ahead) {
            return Ok(());
        }
        self.shortage(request);
        Err(admission::Refusal {
            kind: Kind::Overloaded,
            retry_after_ms: Some(self.come_back(request)),
        })
    }

    /// Gives up on what waits and is known to find no upstream in time, since one more rests.
    fn refuse_bound_to_expire(&mut self, key: upstream::Key) {
        let pool = self.upstreams[key].pool.clone();
        let is_expiring = |request: &Request| {
            let queued = request.state == State::Queued && request.service.pool() == &*pool;
            queued && self.is_bound_to_expire(request, 0)
        };
        let expiring: Vec<request::Key> = self
            .requests
            .iter()
            .filter(|(_, request)| is_expiring(request))
            .map(|(key, _)| key)
            .collect();
        for key in expiring {
            self.give_up(key, Kind::Overloaded, Kind::UpstreamFailed);
        }
    }
}
