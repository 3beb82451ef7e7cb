//! Calls of the store for one topic: one pending at a time, with timeouts and backoff after failures.

use super::*;
use informer_io::Source;

/// Time within which the store's answer must begin, in milliseconds: many times its usual few, and twice what a slow
/// store takes. An instance that starts while the store is silent retries soon.
pub const TIMEOUT_MS: u64 = 600;

/// Maximum timeout after failures for an instance that the store has never answered, in milliseconds: instances that
/// start together read long lists at the same time.
const TIMEOUT_MAX_MS: u64 = 5_000;

/// Backoff after a failed call, in milliseconds; doubled with each further failure up to the end of the range. Refused
/// calls are paid for in full, even those that cost a tenth when they are answered.
const BACKOFF_MS: RangeInclusive<u64> = 250..=1_000;

/// Timeout and pause of a fast retry, in milliseconds, used where missing entries have a grace period from the first
/// answer on. Together they are below a second, so that with the two seconds of grace an instance knows the state of
/// the store within the three seconds allowed after its return.
const FAST_RETRY_MS: (u64, u64) = (700, 50);

/// Consecutive failures after which retries are no longer fast: a store may be slow for long.
const FAST_RETRY_FAILURES: u32 = 40;

/// Maximum pause after a failed call, in milliseconds.
pub(crate) const BACKOFF_MAX_MS: u64 = *BACKOFF_MS.end();

/// Sum of timeout and pause of a fast retry, in milliseconds.
pub(crate) const FAST_RETRY_TOTAL_MS: u64 = FAST_RETRY_MS.0 + FAST_RETRY_MS.1;

/// Maximum pause of an instance that cannot serve anybody before it has read, in milliseconds.
const BACKOFF_AT_START_MS: u64 = 100;

/// Minimum pause after a failed call when the store has answered another call since, in milliseconds.
const BACKOFF_MIN_MS: u64 = 50;

/// Time after any answer of the store in which a failed call is retried after the minimum backoff, in milliseconds: it
/// may have begun before the path recovered, and a connection takes a second to fail.
const RECENT_ANSWER_MS: u64 = 1_500;

/// Time that a watch has left once peers are known to be ahead, in milliseconds.
const BEHIND_MS: u64 = 500;

/// Progress of the answer to a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Progress {
    /// It has begun to arrive.
    Arriving,
    /// Nothing of it has arrived.
    Awaited,
}

/// A call whose answer is awaited.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingCall {
    /// Whether its answer is announced as a confirmation to the other watchers.
    pub confirms: bool,
    /// Identifier of the call.
    pub id: u64,
    /// Whether it asks for changes since a position rather than for everything.
    pub is_incremental: bool,
    /// Whether the store waits for a change before it answers.
    pub is_watch: bool,
    /// Whether its answer has begun to arrive.
    pub progress: Progress,
    /// Where it was made.
    pub source: Source,
    /// When it was sent.
    pub started_at: Time,
}

/// State of the calls for one topic.
#[derive(Debug)]
pub struct StoreCalls {
    /// Whether the last call was answered.
    pub(crate) answered: bool,
    /// Since when peers are known to be ahead.
    behind_since: Option<Time>,
    /// When the store last confirmed the newest state, here or to a peer that knows as much.
    pub(crate) confirmed_at: Time,
    /// When the last call failed; `None` while the store answers.
    failed_at: Option<Time>,
    /// The pending call.
    pub(crate) pending: Option<PendingCall>,
    /// Time within which the next answer must begin, in milliseconds.
    pub timeout_ms: u64,
    pause_ms: u64,
    /// Consecutive failures.
    failures: u32,
    /// Whether the position of the last call had been compacted.
    compacted: bool,
    /// Whether failed calls are retried fast.
    fast_retry: bool,
    /// Earliest time of the next call, so that changes are batched.
    pub(crate) not_before: Time,
    /// Position up to which everything is known; `None` before the first read.
    pub(crate) position: Option<Position>,
    /// When a peer last confirmed the topic.
    pub(crate) last_confirmation: Time,
}

impl Default for StoreCalls {
    fn default() -> Self {
        Self {
            answered: false,
            behind_since: None,
            confirmed_at: Time::default(),
            failed_at: None,
            pending: None,
            timeout_ms: TIMEOUT_MS,
            pause_ms: 0,
            failures: 0,
            compacted: false,
            fast_retry: false,
            position: None,
            not_before: Time::default(),
            last_confirmation: Time::default(),
        }
    }
}

impl StoreCalls {
    /// Calls with fast retries after failures.
    pub(crate) fn with_fast_retry() -> Self {
        Self {
            fast_retry: true,
            ..Self::default()
        }
    }

    /// Sets the start of this instance: the silence of peers is counted from then on.
    pub(crate) fn started_at(self, now: Time) -> Self {
        Self {
            last_confirmation: now,
            ..self
        }
    }

    /// Records that the answer to the pending call has begun to arrive: from then on, only its connection may end it. An
    /// answer that takes seconds on a busy link was abandoned and requested again, which kept the link busy.
    pub(crate) fn record_progress(&mut self, id: u64) {
        if let Some(pending) = self.pending.as_mut().filter(|pending| pending.id == id) {
            pending.progress = Progress::Arriving;
        }
    }

    /// Ends the pending call without a result; the next one is made after a pause.
    pub(crate) fn record_unavailable(&mut self, pause_ms: u64, now: Time) {
        self.pending = None;
        self.not_before = now.after(pause_ms);
    }

    /// Records an answer of the store to the pending call.
    pub fn record_success(&mut self) {
        self.answered = true;
        self.record_peer_answer();
    }

    /// Records an answer of another instance to the pending call: earlier failures no longer count, but whether the store
    /// answers is not known.
    pub(crate) fn record_peer_answer(&mut self) {
        self.failed_at = None;
        self.failures = 0;
        self.pending = None;
        self.timeout_ms = TIMEOUT_MS;
        self.pause_ms = 0;
    }

    /// Records the failure of the pending call; `urgent` if nobody can be served before an answer.
    pub fn record_failure(
        &mut self,
        urgent: bool,
        availability: &Availability,
        bound: StalenessBound,
        now: Time,
    ) {
        self.failures += 1;
        self.pause_ms = self.backoff(urgent, availability, now);
        self.timeout_ms = self.next_timeout(availability, bound, now);
        self.answered = false;
        self.failed_at = Some(now);
        self.pending = None;
    }

    /// Records that the store has compacted the changes: everything is read at once, but after a pause if it happens
    /// twice in a row, since a store that compacts everything would be called 200 times a second.
    pub(crate) fn record_compaction(&mut self, now: Time) {
        let pause = if self.compacted {
            *BACKOFF_MS.start()
        } else {
            0
        };
        self.compacted = true;
        self.position = None;
        self.not_before = now.after(pause);
    }

    /// Records that changes were received.
    pub(crate) fn record_changes(&mut self) {
        self.compacted = false;
    }

    /// Discards the position after the store was restored from a backup. The backoff is reset, since the store serves
    /// somebody: after sixteen failures, an instance that had been refused learned 0.2 s too late that an upstream was
    /// leaving.
    pub(crate) fn reset_for_era(&mut self, now: Time) {
        self.failures = 0;
        self.position = None;
        self.not_before = now;
    }

    /// Whether the next retry is fast: the store has answered before and the failures are few.
    fn is_fast_retry(&self, availability: &Availability) -> bool {
        self.fast_retry
            && availability.last_answer().is_some()
            && self.failures < FAST_RETRY_FAILURES
    }

    /// Whether the store answered other calls while the pending one waited for its answer: then it is not silent, but slow
    /// or behind a busy link, and needs more time.
    fn was_slow(&self, availability: &Availability, now: Time) -> bool {
        self.pending.is_some_and(|pending| {
            let is_timed_out = now.since(pending.started_at) >= TIMEOUT_MS;
            is_timed_out && availability.last_answer() > Some(pending.started_at)
        })
    }

    /// Timeout of the next call after a failure, in milliseconds.
    fn next_timeout(&self, availability: &Availability, bound: StalenessBound, now: Time) -> u64 {
        if self.is_fast_retry(availability) && !self.was_slow(availability, now) {
            return FAST_RETRY_MS.0;
        }
        let max_ms = match availability.last_answer() {
            Some(_) => bound.call_ms().max(TIMEOUT_MS),
            None => TIMEOUT_MAX_MS,
        };
        (self.timeout_ms * 2).min(max_ms)
    }

    /// Pause after a failure, in milliseconds.
    fn backoff(&self, urgent: bool, availability: &Availability, now: Time) -> u64 {
        if self.is_fast_retry(availability) {
            // A store that refuses at once is not called twenty times a second.
            let elapsed_ms = self
                .pending
                .map_or(0, |pending| now.since(pending.started_at));
            return if elapsed_ms < TIMEOUT_MS {
                (self.pause_ms * 2).clamp(*BACKOFF_MS.start(), FAST_RETRY_TOTAL_MS)
            } else {
                FAST_RETRY_MS.1
            };
        }
        let is_back = |answered: Time| now.since(answered) < RECENT_ANSWER_MS;
        let pause = if availability.last_answer().is_some_and(is_back) {
            *BACKOFF_MS.start()
        } else {
            (self.pause_ms * 2).clamp(*BACKOFF_MS.start(), *BACKOFF_MS.end())
        };
        if urgent {
            pause.min(BACKOFF_AT_START_MS)
        } else {
            pause
        }
    }

    /// Whether the last call failed.
    pub(crate) fn has_failed(&self) -> bool {
        self.failed_at.is_some()
    }

    /// Earliest time of the next call.
    pub fn next_call_at(&self, availability: &Availability) -> Time {
        let Some(failed) = self.failed_at else {
            return self.not_before;
        };
        let retry_at = failed.after(self.pause_ms).max(self.not_before);
        if availability.last_answer() >= self.failed_at {
            retry_at.min(failed.after(BACKOFF_MIN_MS).max(self.not_before))
        } else {
            retry_at
        }
    }

    /// Records whether peers are known to be ahead.
    pub(crate) fn set_behind(&mut self, behind: bool, now: Time) {
        self.behind_since = behind.then(|| self.behind_since.unwrap_or(now));
    }

    /// When to abandon the pending call, and why: it is a watch and peers are ahead, or the store answered other calls
    /// after failures, and this one was sent during its silence. A silent store never answers such a call. With 10 s
    /// of waiting, leaving upstreams got requests for 2.2 s more than allowed; with 4.8 s for a first read, watchers
    /// had no configuration to announce 3 s after the store's return.
    pub(crate) fn abandon_at(&self, availability: &Availability) -> Option<(Time, CancelReason)> {
        let is_abandonable = |pending: &PendingCall| {
            pending.source == Source::Store && pending.progress == Progress::Awaited
        };
        let pending = self.pending.filter(is_abandonable)?;
        let behind = self
            .behind_since
            .filter(|_| pending.is_watch)
            .map(|behind| behind.max(pending.started_at).after(BEHIND_MS));
        let recovered = availability
            .recovered_at()
            .filter(|recovered| *recovered > pending.started_at);
        let stalled = recovered.map(|recovered| recovered.after(TIMEOUT_MS));
        let behind = behind.map(|at| (at, CancelReason::PeersAhead));
        let stalled = stalled.map(|at| (at, CancelReason::Stalled));
        behind.into_iter().chain(stalled).min_by_key(|(at, _)| *at)
    }
}
