//! What keeps a request from being sent on.

use super::*;

/// A bound that keeps a request from being sent on.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Bound {
    /// The attempts that an instance makes for any request.
    Attempts,
    /// Its deadline, or the time that it may wait.
    Deadline,
    /// The attempts beyond the first that the users allow over the fleet.
    Permits,
    /// It has begun, and is of a kind that can not be resumed.
    Resumption,
    /// It may have run, and may run only once.
    Runs,
    /// The upstreams that its route allows.
    Upstreams,
    /// The upstreams of the version that began it.
    Version,
}

impl Display for Bound {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        formatter.write_str(match self {
            Self::Attempts => "attempts",
            Self::Deadline => "deadline",
            Self::Permits => "permits",
            Self::Resumption => "resumption",
            Self::Runs => "runs",
            Self::Upstreams => "upstreams",
            Self::Version => "version",
        })
    }
}

/// What was done for a request that failed, and what could still have been done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Account {
    /// What kept it from being sent on; `None` if its kind alone tells why it failed.
    pub bound: Option<Bound>,
    /// Times that it left an upstream which sent nothing.
    pub departures: u32,
    /// Time left until its deadline, in milliseconds.
    pub left_ms: u64,
    /// Attempts that ran nothing.
    pub not_run: u32,
    /// Upstreams that it reached and that may have run it.
    pub upstreams: u32,
}

impl Request {
    /// What was done for the request, when it fails.
    pub(crate) fn account(&self, now: Time) -> Account {
        Account {
            bound: self.progress.bound,
            departures: self.progress.departures,
            left_ms: self.deadline.since(now),
            not_run: self.progress.not_run,
            upstreams: self.progress.upstreams_reached,
        }
    }

    /// Whether over half of its time is left.
    pub(crate) fn is_early(&self, now: Time) -> bool {
        2 * self.deadline.since(now) > self.deadline.since(self.arrived_at)
    }
}

impl Core {
    /// What keeps a relayed request from being sent to another upstream; `None` if nothing does but the lack of a permit,
    /// an upstream or capacity.
    pub(crate) fn reached_bound(&self, key: request::Key) -> Option<Bound> {
        let request = &self.requests[key];
        let Some(relay) = request.service.relay() else {
            return Some(Bound::Attempts);
        };
        let progress = &request.progress;
        if request.may_have_run && !request.service.repeatable {
            return Some(Bound::Runs);
        }
        let resumes = relay.resumable && self.settings.relay_resume != ResumeMode::None;
        if progress.is_open && !resumes {
            return Some(Bound::Resumption);
        }
        if self.now >= request.deadline {
            return Some(Bound::Deadline);
        }
        if progress.upstreams_reached >= relay.attempts_max.max(1) {
            return Some(Bound::Upstreams);
        }
        let not_counted = if progress.is_open {
            progress.not_run
        } else {
            0
        };
        let counted = request.last_attempt.saturating_sub(not_counted);
        (counted >= self.settings.attempts_max).then_some(Bound::Attempts)
    }

    /// Whether a relayed request may be sent to another upstream.
    pub(crate) fn may_continue(&self, key: request::Key) -> bool {
        self.reached_bound(key).is_none()
    }

    /// Whether a request can go on elsewhere if it leaves an upstream that is silent and may be alive. Where it can not,
    /// leaving would end it, while the upstream may go on: silence is no proof of an end.
    pub(crate) fn may_leave(&mut self, key: attempt::Key) -> bool {
        let attempt = &self.attempts[key];
        let (owner, is_sent) = (attempt.request, attempt.sent);
        let request = &self.requests[owner];
        let has_other = request.attempts.len() > 1;
        if !is_sent || has_other {
            return true;
        }
        let resumes = request.position() > 0;
        let repeatable = request.service.repeatable;
        let may_continue = if request.work.relay().is_some() {
            repeatable && self.may_continue(owner)
        } else {
            let may_repeat = repeatable || (resumes && self.settings.continue_non_repeatable);
            let may_resume = !resumes || self.settings.continuation;
            let has_attempt = request.last_attempt < self.settings.attempts_max;
            may_repeat && may_resume && has_attempt && request.skip <= request.position()
        };
        may_continue && self.has_attempt_permit(owner, resumes)
    }

    /// Notes what keeps a request from being sent on, before it fails.
    pub(crate) fn note_bound(&mut self, key: request::Key, bound: Bound) {
        self.requests[key].progress.bound = Some(bound);
    }
}
