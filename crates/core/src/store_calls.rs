//! The calls of one topic of the store: one at a time, with pauses and time limits behind failures.

use super::*;

/// Time in which the store's answer must begin, in milliseconds: many times the few that it takes, and twice what it
/// takes when it is slow. An instance that starts while the store is silent tries again soon.
pub const TIMEOUT_MS: u64 = 600;

/// The longest such time behind failures of an instance that the store has never answered, in milliseconds: many that
/// start at once read long lists together.
const TIMEOUT_MAX_MS: u64 = 5_000;

/// Pause after a call that failed, in milliseconds: it doubles with each further failure up to the end, since refused
/// calls are paid for in full, also those that cost a tenth when they are answered.
const RETRY_MS: RangeInclusive<u64> = 250..=1_000;

/// Time and pause of a call behind a failure where entries that are missing are believed for a while from the first
/// answer on, in milliseconds: together less than a second, so that with the two seconds of belief an instance knows
/// what the store says within the three in which it is back in touch.
const SOON_MS: (u64, u64) = (700, 50);

/// Failures in a row behind which such a call has as much time as others: a store may be slower for long.
const SOON: u32 = 40;

/// The longest pause after a call that failed, in milliseconds.
pub(crate) const RETRY_MAX_MS: u64 = *RETRY_MS.end();

/// Time and pause of a call behind a failure together, in milliseconds.
pub(crate) const SOON_ALL_MS: u64 = SOON_MS.0 + SOON_MS.1;

/// The longest such pause of an instance that can not serve anybody before it has read, in milliseconds.
const RETRY_AT_START_MS: u64 = 100;

/// The shortest pause after a call that failed, when the store has answered another call since, in milliseconds.
const RETRY_BACK_MS: u64 = 50;

/// Time since the store answered any call for which a call that failed is tried again after the shortest
/// pause, in milliseconds: it may have begun before the path was back, and a connection takes a second to fail.
const BACK_MS: u64 = 1_500;

/// Time that a watch has after other instances are known to know more, in milliseconds.
const BEHIND_MS: u64 = 500;

/// A call that is out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Out {
    /// When it began.
    pub began: Time,
    /// Whether its answer is told to the other instances that watch.
    pub confirms: bool,
    /// Its number.
    pub id: u64,
    /// Whether it asks for changes, and not for all.
    pub changes: bool,
    /// Whether the store waits for a change before it answers.
    pub waits: bool,
}

/// The calls of one topic.
#[derive(Debug)]
pub struct StoreCalls {
    /// Whether the last call was answered.
    pub(crate) answered: bool,
    /// Since when others are known to know more.
    behind: Option<Time>,
    /// When the store last showed what is newest, here or to another instance that knows as much.
    pub(crate) confirmed: Time,
    /// When the last call failed; `None` while the store answers.
    failed: Option<Time>,
    /// The call that is out.
    pub(crate) out: Option<Out>,
    /// Time in which the next answer must begin, in milliseconds.
    pub timeout_ms: u64,
    pause_ms: u64,
    /// Failures in a row.
    failures: u32,
    /// Whether the store had forgotten what was asked for last.
    forgotten: bool,
    /// Whether calls are made again soon behind a failure.
    hurried: bool,
    /// Time before which the store is not asked, since changes gather.
    pub(crate) ready: Time,
    /// Position up to which all is known; `None` before it was read.
    pub(crate) position: Option<Position>,
    /// When another instance that watches last told what the store had shown it.
    pub(crate) told: Time,
}

impl Default for StoreCalls {
    fn default() -> Self {
        Self {
            answered: false,
            behind: None,
            confirmed: Time::default(),
            failed: None,
            out: None,
            timeout_ms: TIMEOUT_MS,
            pause_ms: 0,
            failures: 0,
            forgotten: false,
            hurried: false,
            position: None,
            ready: Time::default(),
            told: Time::default(),
        }
    }
}

impl StoreCalls {
    /// Calls that are made again soon behind a failure.
    pub(crate) fn hurried() -> Self {
        Self {
            hurried: true,
            ..Self::default()
        }
    }

    /// The same, of an instance that has just begun: others have not been silent for long.
    pub(crate) fn begun(self, now: Time) -> Self {
        Self { told: now, ..self }
    }

    /// Notes an answer to the call that was out.
    pub fn record_success(&mut self) {
        self.answered = true;
        self.failed = None;
        self.failures = 0;
        self.out = None;
        self.timeout_ms = TIMEOUT_MS;
        self.pause_ms = 0;
    }

    /// Notes that the call that was out failed; `urgent` if nobody can be served before it is answered.
    pub fn record_failure(
        &mut self,
        urgent: bool,
        absence: &Availability,
        bound: StalenessBound,
        now: Time,
    ) {
        self.failures += 1;
        self.pause_ms = self.pause(urgent, absence, now);
        self.timeout_ms = self.next_timeout(absence, bound);
        self.answered = false;
        self.failed = Some(now);
        self.out = None;
    }

    /// Notes that the store has forgotten what changed: all is read at once, and behind a second time in a row after a pause, as
    /// a store that forgets all would else be asked 200 times a second.
    pub(crate) fn forget(&mut self, now: Time) {
        let pause = if self.forgotten { *RETRY_MS.start() } else { 0 };
        self.forgotten = true;
        self.position = None;
        self.ready = now.after(pause);
    }

    /// Notes that changes were told.
    pub(crate) fn remember(&mut self) {
        self.forgotten = false;
    }

    /// Begins anew, as far as what is known goes: the store has come back from a copy. Calls are soon again, since it serves
    /// somebody: behind sixteen failures before, an instance that was refused knew 0.2 s too late of an upstream that left.
    pub(crate) fn begin_again(&mut self, now: Time) {
        self.failures = 0;
        self.position = None;
        self.ready = now;
    }

    /// Whether it is short and soon, as behind a failure of a store that has answered before.
    fn hurries(&self, absence: &Availability) -> bool {
        self.hurried && absence.last_answer().is_some() && self.failures < SOON
    }

    /// Time that the next call has behind a failure, in milliseconds.
    fn next_timeout(&self, absence: &Availability, bound: StalenessBound) -> u64 {
        if self.hurries(absence) {
            return SOON_MS.0;
        }
        let most = match absence.last_answer() {
            Some(_) => bound.call_ms().max(TIMEOUT_MS),
            None => TIMEOUT_MAX_MS,
        };
        (self.timeout_ms * 2).min(most)
    }

    /// Pause behind a failure, in milliseconds.
    fn pause(&self, urgent: bool, absence: &Availability, now: Time) -> u64 {
        if self.hurries(absence) {
            // One that is refused at once is not asked twenty times a second.
            let took = self.out.map_or(0, |out| now.since(out.began));
            return if took < TIMEOUT_MS {
                (self.pause_ms * 2).clamp(*RETRY_MS.start(), SOON_ALL_MS)
            } else {
                SOON_MS.1
            };
        }
        let is_back = |answered: Time| now.since(answered) < BACK_MS;
        let pause = if absence.last_answer().is_some_and(is_back) {
            *RETRY_MS.start()
        } else {
            (self.pause_ms * 2).clamp(*RETRY_MS.start(), *RETRY_MS.end())
        };
        if urgent {
            pause.min(RETRY_AT_START_MS)
        } else {
            pause
        }
    }

    /// Whether the last call failed.
    pub(crate) fn has_failed(&self) -> bool {
        self.failed.is_some()
    }

    /// When the next call may be made.
    pub fn next_call_at(&self, absence: &Availability) -> Time {
        let Some(failed) = self.failed else {
            return self.ready;
        };
        let late = failed.after(self.pause_ms);
        if absence.last_answer() >= self.failed {
            late.min(failed.after(RETRY_BACK_MS))
        } else {
            late
        }
    }

    /// Notes whether others are known to know more.
    pub(crate) fn compare(&mut self, behind: bool, now: Time) {
        self.behind = behind.then(|| self.behind.unwrap_or(now));
    }

    /// When the call that is out is known to be answered no more, and why: it waits for a change and others know more,
    /// or the store has answered other calls behind some that failed, and this one was taken in the silence. A silent
    /// store never answers it; with 10 s of waiting, leaving upstreams got requests for 2.2 s more than allowed, and with 4.8 s for a
    /// first read those that watch for others had no configuration to tell 3 s behind the store's return.
    pub(crate) fn hopeless(&self, absence: &Availability) -> Option<(Time, CancelReason)> {
        let out = self.out?;
        let behind = self
            .behind
            .filter(|_| out.waits)
            .map(|behind| behind.max(out.began).after(BEHIND_MS));
        let recovered = absence
            .recovered_at()
            .filter(|recovered| *recovered > out.began);
        let overtaken = recovered.map(|recovered| recovered.after(TIMEOUT_MS));
        let behind = behind.map(|at| (at, CancelReason::PeersAhead));
        let overtaken = overtaken.map(|at| (at, CancelReason::Stalled));
        behind
            .into_iter()
            .chain(overtaken)
            .min_by_key(|(at, _)| *at)
    }
}
