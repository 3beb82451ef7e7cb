//! Streams that have begun and find no slot: upstreams refuse them, or are not there, although nothing has run.
//!
//! Such a stream is not cut while its caller waits. It goes on waiting for a slot until its deadline, is sent at a growing interval, and goes before
//! new streams that are not more urgent.

use super::*;

/// Attempts that run nothing, one after the other, from which on a stream waits before the next one. Where some upstreams
/// are full, a second or third one mostly has a slot.
const UNPAUSED_REFUSALS: u32 = 2;

/// The same for attempts that reach no upstream. They take no permit, and upstreams that are down are left out after one.
const UNPAUSED_UNREACHED: u32 = 7;

/// Wait before the next attempt, doubled with each one, and its maximum in milliseconds. Each attempt that an upstream
/// rejects counts towards the bound on attempts; the maximum gives two a second.
const FIRST_PAUSE_MS: u64 = 50;
const MAX_PAUSE_MS: u64 = 500;

/// Largest extension of a wait, as its fraction, so that streams that were lost at one moment are not sent at one moment.
const JITTER: f64 = 0.25;

impl Core {
    /// Records that an attempt of a stream ran nothing. It uses up none of the attempts of a stream that has begun.
    pub(crate) fn record_not_run(&mut self, key: request::Key, reason: counter::Reason) {
        let progress = &mut self.requests[key].progress;
        progress.not_run += 1;
        if !progress.is_open {
            return;
        }
        progress.refusals += 1;
        let unpaused = if reason.reached_no_upstream() {
            UNPAUSED_UNREACHED
        } else {
            UNPAUSED_REFUSALS
        };
        let paused = progress.refusals.saturating_sub(unpaused);
        if paused > 0 {
            self.pause(key, paused);
        }
    }

    /// Lets a stream wait before its next attempt, after `paused` earlier waits.
    pub(crate) fn pause(&mut self, key: request::Key, paused: u32) {
        let doublings = (paused - 1).min(MAX_PAUSE_MS.ilog2());
        let millis = (FIRST_PAUSE_MS << doublings).min(MAX_PAUSE_MS) as f64;
        let millis = millis * self.rng.random_range(1.0..1.0 + JITTER);
        self.requests[key].progress.wait_until = self.now.after(millis as u64);
    }

    /// Whether a stream for which there is no permit may wait for one: it has begun, and its last attempt ran nothing or
    /// was left by this instance.
    pub(crate) fn may_wait_for_permit(&self, key: request::Key, reason: counter::Reason) -> bool {
        let is_own_choice = reason == counter::Reason::Stall;
        let request = &self.requests[key];
        let has_broken_off = reason == counter::Reason::Broken || request.may_have_run;
        let waits_for_sound = has_broken_off
            && request.service.repeatable
            && self.is_widespread(request.service.pool());
        let ran_nothing = is_own_choice || reason.ran_nothing();
        waits_for_sound || request.progress.is_open && ran_nothing
    }

    /// Lets a stream wait for a permit after its last attempt ended for `reason`.
    pub(crate) fn wait_for_permit(&mut self, key: request::Key, reason: counter::Reason) {
        let progress = &mut self.requests[key].progress;
        progress.lost_at.get_or_insert(self.now);
        progress.lacks_permit = Some(reason);
        progress.refusals += 1;
        let paused = progress.refusals;
        self.pause(key, paused);
    }

    /// Takes the permit that a stream waits for; false if there still is none.
    pub(crate) fn take_awaited_permit(&mut self, key: request::Key) -> bool {
        let Some(reason) = self.requests[key].progress.lacks_permit else {
            return true;
        };
        let resumes = self.requests[key].progress.position > 0;
        if !self.may_take_attempt(key, resumes, reason) {
            self.wait_for_permit(key, reason);
            return false;
        }
        self.requests[key].progress.lacks_permit = None;
        self.count(if resumes {
            Counter::Resumed(reason)
        } else {
            Counter::Retried(reason)
        });
        true
    }

    /// Offers the slot that a completed request leaves to the first stream that was refused and may go on there.
    pub(crate) fn offer_slot(&mut self, key: upstream::Key) {
        let Some(upstream) = self.upstreams.get(key) else {
            return;
        };
        let Some(pool) = self.pools.get(&upstream.pool) else {
            return;
        };
        let waiting = pool.queue.bound().into_iter().find(|waiting| {
            let request = self.requests.get(*waiting);
            request.is_some_and(|request| {
                request.progress.was_refused()
                    && request.progress.lacks_permit.is_none()
                    && self.admits(request, upstream)
            })
        });
        if let Some(waiting) = waiting {
            self.upstreams[key].full_until = self.now;
            let progress = &mut self.requests[waiting].progress;
            progress.preferred_upstream = Some(key);
            progress.wait_until = self.now;
        }
    }

    /// Limits the candidates for a request. A stream that has begun goes to none that has just refused one, as it is not refused
    /// itself for lack of capacity; a new one leaves out those at which a refused stream may go on that is at least as urgent.
    pub(crate) fn retain_unawaited(&self, key: request::Key, candidates: &mut Vec<upstream::Key>) {
        let request = &self.requests[key];
        if request.progress.is_open {
            candidates.retain(|key| self.now >= self.upstreams[*key].full_until);
            return;
        }
        let Some(pool) = self.pools.get(request.service.pool()) else {
            return;
        };
        if !request.service.streams() {
            return;
        }
        for waiting in pool.queue.bound() {
            let Some(waiting) = self.requests.get(waiting) else {
                continue;
            };
            let urgency = |request: &Request| (request.rank, request.service.priority);
            let progress = &waiting.progress;
            let goes_first = progress.was_refused()
                && progress.lacks_permit.is_none()
                && urgency(waiting) <= urgency(request);
            if goes_first {
                candidates.retain(|key| !self.admits(waiting, &self.upstreams[*key]));
            }
        }
    }
}
