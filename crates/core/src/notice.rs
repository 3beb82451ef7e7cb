//! State that an upstream announces in response headers, whatever becomes of the response, and its effects.
//!
//! The platform's list may be delayed or unavailable, while headers reach the instance directly. Each header takes effect
//! before any byte of its response goes to a caller.

use super::*;
use limit::Rate;

/// Longest accepted backoff, in milliseconds: one hour. An upstream that wants no requests for longer announces that it
/// is leaving; a value in the wrong unit must not exclude one for good.
const MAX_BACKOFF_MS: u64 = 3_600_000;

/// Fraction of a backoff, as a divisor, by which its end is randomized. Instances that were refused at the same moment,
/// and callers that these refuse, must not all return at the same moment.
const JITTER_DIVISOR: u64 = 10;

/// Retention time for the state of upstreams that are no longer listed, in milliseconds. An entry may return seconds
/// later, after an outage of the store, while upstreams that leave are gone within minutes.
const RETENTION_MS: u64 = 600_000;

/// Unlisted upstreams whose state is retained, at most: the largest supported fleet, replaced once. An entry takes under
/// 100 bytes.
const MAX_RETAINED: usize = 2_200;

/// State of an upstream as announced in the headers of one response.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Backoff requested from this instance.
    pub backoff: Backoff,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Rate limit over all instances.
    pub limit: Limit,
    /// Rejections per second that it tolerates, if it is brittle.
    pub tolerated: Limit,
    /// Load report; `None` if the response has none.
    pub load: Option<Load>,
}

/// Time for which an upstream wants no requests from the instance that it answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Backoff {
    /// Milliseconds.
    For(u64),
    /// Not a valid number of seconds.
    Malformed,
    /// No backoff requested.
    #[default]
    None,
}

/// State announced by one incarnation of an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DeclaredState {
    /// Until when this instance sends it no requests.
    pub backoff_until: Time,
    /// Whether it is leaving; final for the incarnation.
    pub leaving: bool,
    /// Rate limit over all instances; `None` if it announces none.
    pub limit: Option<Rate>,
}

/// Announced state of upstreams that are no longer listed.
#[derive(Clone, Debug, Default)]
pub(crate) struct RetainedStates(BTreeMap<(Incarnation, SocketAddr), Retained>);

#[derive(Clone, Copy, Debug)]
struct Retained {
    at: Time,
    state: DeclaredState,
}

impl Notice {
    /// Whether the headers announce nothing but load.
    pub fn is_plain(&self) -> bool {
        let unlimited = matches!(self.limit, Limit::None | Limit::Unknown);
        let brittle = matches!(self.tolerated, Limit::Rate(_) | Limit::Malformed);
        !self.leaving && self.backoff == Backoff::None && unlimited && !brittle
    }
}

impl Backoff {
    /// Parses a number of seconds, which may have a fraction.
    pub fn parse(text: &str) -> Self {
        // The cast saturates, so larger numbers become the maximum.
        parse_decimal(text).map_or(Self::Malformed, |seconds| {
            Self::For((seconds * 1_000.0).ceil() as u64)
        })
    }
}

/// Parses digits with an optional fraction; no sign, exponent or unit.
pub(crate) fn parse_decimal(text: &str) -> Option<f64> {
    let text = text.trim();
    let is_plain = |byte: u8| byte.is_ascii_digit() || byte == b'.';
    let number = text.parse::<f64>().ok();
    number.filter(|_| text.bytes().all(is_plain))
}

impl RetainedStates {
    /// Retains the state of an upstream that was removed. Evicts the oldest entry at capacity.
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
        let key = (upstream.incarnation, upstream.address);
        self.0.insert(key, Retained { at: now, state });
    }

    /// Removes and returns the state that an incarnation announced at an address before its entry was removed.
    pub fn take(&mut self, incarnation: Incarnation, address: SocketAddr) -> DeclaredState {
        let retained = self.0.remove(&(incarnation, address));
        retained.map_or_else(DeclaredState::default, |retained| retained.state)
    }
}

impl Core {
    /// Applies the headers of the response to an attempt.
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
        self.apply_brittleness(key, notice.tolerated);
        match notice.backoff {
            Backoff::For(millis) => self.back_off(key, millis),
            Backoff::Malformed => self.count(Counter::NoticeInvalid),
            Backoff::None => {}
        }
    }

    /// Marks an upstream as leaving for the rest of its incarnation, whatever the list says: the store may be unavailable or
    /// outdated. Calls went to such an upstream up to 6 s after its announcement while the store was unavailable.
    fn apply_own_leaving(&mut self, key: upstream::Key) {
        self.count(Counter::NoticeLeaving);
        if self.upstreams[key].declared.leaving {
            return;
        }
        self.mark_leaving(key);
        self.upstreams[key].declared.leaving = true;
    }

    /// Starts or extends a backoff; a shorter one does not end an earlier one. Without it, an upstream that refused requests
    /// got more a quarter of a second later.
    fn back_off(&mut self, key: upstream::Key, millis: u64) {
        self.count(Counter::NoticeBackoff);
        let millis = millis.min(MAX_BACKOFF_MS);
        let jitter = self.rng.random_range(0..=millis / JITTER_DIVISOR);
        let until = self.now.after(millis + jitter);
        let was_in_backoff = self.upstreams[key].is_in_backoff(self.now);
        let state = &mut self.upstreams[key].declared;
        state.backoff_until = state.backoff_until.max(until);
        if !was_in_backoff && millis > 0 {
            self.log_status_change(key, effect::StatusChange::BackedOff);
        }
        self.refuse_bound_to_expire(key);
    }

    /// Applies a peer's report that an upstream is leaving. It may be outdated, so it expires, unlike the upstream's own
    /// announcement to this instance.
    pub(crate) fn apply_peer_leaving(&mut self, incarnation: Incarnation) {
        let Some(key) = self.upstreams_by_incarnation.get(&incarnation).copied() else {
            return;
        };
        self.count(Counter::PeerLeaving);
        self.set_leaving_hint(key);
    }

    /// When the first backoff ends, if all upstreams for a request are in one; `None` if any is not, or if there are none.
    pub(crate) fn backoff_end(&self, request: &Request) -> Option<Time> {
        let pool = self.pools.get(request.service.pool())?;
        let assignable = self.assignable(pool);
        let ends = assignable.map(|upstream| upstream.declared.backoff_until);
        ends.min().filter(|end| *end > self.now)
    }

    /// Upstreams of a pool that work can be assigned to, now or after a backoff or rate limit.
    pub(crate) fn assignable<'a>(
        &'a self,
        pool: &'a core::Pool,
    ) -> impl Iterator<Item = &'a Upstream> {
        self.upstreams_of(pool)
            .filter(|upstream| upstream.health != Health::Lost && !upstream.is_leaving(self.now))
            .filter(|upstream| !upstream.held)
    }

    /// Retry delay for a caller whose request finds all upstreams in backoff, in milliseconds: until the first backoff ends,
    /// even if the caller would wait less. `None` if any upstream is not in backoff.
    pub(crate) fn backoff_retry_after_ms(&mut self, request: &Request) -> Option<u64> {
        let end = self.backoff_end(request)?;
        let remaining = end.since(self.now).max(capacity::MIN_RETRY_AFTER_MS);
        Some(
            self.rng
                .random_range(remaining..=remaining + remaining / JITTER_DIVISOR),
        )
    }

    /// Whether a request with `ahead` others before it will find no upstream in its waiting time, because of backoffs
    /// and rate limits. One whose caller has a part of the response is never given up for that: a limit may be lifted and an
    /// upstream may be listed before its deadline, while a caller that is cut off gains nothing.
    pub(crate) fn is_bound_to_expire(&self, request: &Request, ahead: usize) -> bool {
        if failure::has_head(request) {
            return false;
        }
        let until = self.queue_deadline(request).min(request.deadline);
        let until = until.min(self.latest_start(request));
        let available = self.available_at(request, ahead);
        available.is_some_and(|available| available >= until)
    }

    /// Latest time to send a request so that its response meets the target time, or soon if that has become impossible. Calls
    /// that were queued up to the target time itself were all late.
    fn latest_start(&self, request: &Request) -> Time {
        let pool = self.pools.get(request.service.pool());
        let duration_ms = pool.map_or(0.0, |pool| pool.demand.service_time_ms());
        let latest = request.first_event_due.0.saturating_sub(duration_ms as u64);
        request.send_by.max(Time(latest))
    }

    /// Refuses a new request that no upstream will take within its waiting time.
    pub(crate) fn check_availability(
        &mut self,
        request: &Request,
    ) -> Result<(), admission::Refusal> {
        let pool = self.pools.get(request.service.pool());
        let ahead = pool.map_or(0, |pool| pool.queue.ahead_of(request.service.priority));
        if !self.is_bound_to_expire(request, ahead) {
            return Ok(());
        }
        let available = self.available_at(request, ahead);
        let available = available.filter(|available| *available != limit::NEVER);
        let available_ms = available.map(|available| available.since(self.now));
        self.log_step(
            request,
            effect::Step::RefusedByLimits { available_ms },
            None,
        );
        self.record_shortage(request);
        Err(admission::Refusal {
            kind: Kind::Overloaded,
            retry_after_ms: Some(self.retry_after_ms(request)),
        })
    }

    /// Fails queued requests that will not find an upstream in time, after another upstream went into backoff.
    fn refuse_bound_to_expire(&mut self, key: upstream::Key) {
        let pool = self.upstreams[key].pool.clone();
        let is_expiring = |request: &Request| {
            let queued = request.state == State::Queued && request.service.pool() == &*pool;
            queued && self.is_bound_to_expire(request, 0)
        };
        let expiring = self.requests.iter();
        let expiring = expiring.filter(|(_, request)| is_expiring(request));
        let mut expiring = Worklist::new(expiring.map(|(key, _)| key));
        while let Some(key) = expiring.next(&self.requests) {
            self.give_up(key, Kind::Overloaded, Kind::UpstreamFailed);
        }
    }
}
