//! Recovery from failed attempts: a retry, a continuation, or an error that states correctly
//! whether the request may have run.

use super::*;

impl Core {
    /// Handles an attempt that ended without a complete response.
    pub(crate) fn handle_failure(&mut self, key: attempt::Key, failure: Failure) {
        let Some(attempt) = self.remove_attempt(key) else {
            self.count(Counter::FrameLate);
            return;
        };
        let request = attempt.request;
        if self.requests[request].work.relay().is_some() {
            self.handle_relay_failure(&attempt, failure);
            return;
        }
        let reason = match failure {
            Failure::Broken => counter::Reason::Broken,
            Failure::Leaving => counter::Reason::Leaving,
            Failure::NotSent => counter::Reason::NotSent,
            Failure::NoTunnel { .. } => counter::Reason::NoTunnel,
            Failure::Refused => counter::Reason::Refused,
            Failure::Replaced => counter::Reason::Replaced,
            Failure::Rejected => {
                if self.requests[request].attempts.is_empty() {
                    self.give_up(request, Kind::UpstreamRejected, Kind::Unknown);
                }
                return;
            }
            Failure::UnknownStream => counter::Reason::Caller,
        };
        match failure {
            Failure::Broken => {
                self.requests[request].may_have_run = true;
                self.mark_suspected(attempt.upstream);
            }
            Failure::Leaving | Failure::Replaced => self.mark_leaving(attempt.upstream),
            Failure::NotSent => self.mark_suspected(attempt.upstream),
            Failure::Refused => self.mark_full(attempt.upstream),
            Failure::NoTunnel { .. } | Failure::Rejected | Failure::UnknownStream => {}
        }
        self.requests[request].avoided_upstream = Some(attempt.upstream);
        if failure == Failure::Broken {
            self.suspect_crash(&attempt);
        }
        self.retry_after_crash_check(request, attempt.upstream, reason);
    }

    /// Abandons an attempt that the upstream may still be running, and recovers its request.
    pub(crate) fn abandon(&mut self, key: attempt::Key, reason: counter::Reason) {
        let Some(attempt) = self.cancel(key) else {
            return;
        };
        let request = &mut self.requests[attempt.request];
        request.avoided_upstream = Some(attempt.upstream);
        request.may_have_run |= attempt.sent;
        if request.work.relay().is_some() {
            self.remember_copy(&attempt);
            self.log_lost(&attempt, reason);
            self.retry_relay(attempt.request, reason);
            return;
        }
        self.recover(attempt.request, reason);
    }

    /// Removes an attempt and, if it was sent, cancels it at the engine.
    pub(crate) fn cancel(&mut self, key: attempt::Key) -> Option<Attempt> {
        let attempt = self.remove_attempt(key)?;
        if attempt.sent {
            let request = &self.requests[attempt.request];
            let stream = matches!(request.work, Work::Generate { .. }).then_some(effect::Stream {
                generation: request.generation,
                number: attempt.number,
            });
            self.effects.push(Effect::Cancel {
                address: self.upstreams[attempt.upstream].address,
                attempt: key,
                stream,
            });
        }
        Some(attempt)
    }

    /// Removes an attempt from the state, its request and its upstream.
    pub(crate) fn remove_attempt(&mut self, key: attempt::Key) -> Option<Attempt> {
        let attempt = self.attempts.remove(key)?;
        self.forget_reading(&attempt);
        if let Some(request) = self.requests.get_mut(attempt.request) {
            request.attempts.retain(|other| *other != key);
        }
        if let Some(upstream) = self.upstreams.get_mut(attempt.upstream) {
            upstream.attempts.retain(|other| *other != key);
            upstream.adjust_load(-1, self.now);
        }
        Some(attempt)
    }

    /// Fails a request: cancels its attempts and ends the caller's response. A stream that has
    /// begun is aborted; otherwise a held error response of an upstream is forwarded in preference
    /// to `kind`.
    pub(crate) fn fail(&mut self, key: request::Key, kind: Kind) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let maybe_executed = self.may_have_executed(request);
        let claims_unexecuted = kind.answer().ran == kind::Ran::No;
        let is_consistent = self.check_invariant(
            !(claims_unexecuted && maybe_executed),
            Invariant::NotRunIsTrue,
        );
        let kind = if is_consistent { kind } else { Kind::Unknown };
        for attempt in self.requests[key].attempts.clone() {
            self.cancel(attempt);
        }
        let Some(request) = self.remove(key) else {
            return;
        };
        let (account, has_head) = (request.account(self.now), has_head(&request));
        let step = effect::Step::Failed {
            account,
            has_head,
            kind,
        };
        self.log_step(&request, step, None);
        if request.is_early(self.now) && !claims_unexecuted {
            self.count(Counter::EndedEarly(kind, account.bound));
        }
        self.record_cut(&request, counter::Cut::Failed(kind));
        self.gossip_end(&request, stream_record::Stage::Left);
        let pool = request.service.pool();
        if request.progress.is_open {
            self.count(Counter::Refused(kind));
            self.effects.push(Effect::AbortStream(request.caller));
            self.dispatch_queued(pool);
            return;
        }
        if request.progress.has_held_error {
            self.effects.push(Effect::ForwardResponse(request.caller));
            self.dispatch_queued(pool);
            return;
        }
        if claims_unexecuted {
            self.count_refused(&request);
        }
        let is_shutdown = matches!(kind, Kind::Interrupted | Kind::Stopping);
        let retry_after_ms = kind.answer().retry.then(|| match request.work {
            _ if is_shutdown => shutdown::RETRY_AFTER_MS,
            Work::Relay(_) => self.retry_after_ms(&request),
            Work::Call { .. } | Work::Generate { .. } => {
                let backoff_ms = self.backoff_retry_after_ms(&request);
                backoff_ms.unwrap_or_else(|| {
                    self.queue_retry_after_ms(pool, request.service.priority, &request.customer)
                })
            }
        });
        self.refuse(request.caller, kind, retry_after_ms);
        self.dispatch_queued(pool);
    }

    /// Counts and logs the end of an incomplete response, if its caller had the response head.
    pub(crate) fn record_cut(&mut self, request: &Request, cut: counter::Cut) {
        if has_head(request) {
            self.count(Counter::StreamCut(cut));
            self.log_step(request, effect::Step::Cut(cut), None);
        }
    }

    /// Fails a request with `unsent` if no upstream can have run it, otherwise with `sent`.
    pub(crate) fn give_up(&mut self, key: request::Key, unsent: Kind, sent: Kind) {
        let maybe_executed = self.may_have_executed(&self.requests[key]);
        self.fail(key, if maybe_executed { sent } else { unsent });
    }

    /// Retries or continues a request after its last attempt ended, if that is permitted; fails it
    /// otherwise.
    pub(crate) fn recover(&mut self, key: request::Key, reason: counter::Reason) {
        let request = &self.requests[key];
        if !request.attempts.is_empty() || request.state == State::Claiming {
            return;
        }
        if self.is_quarantined(request.request_fingerprint) {
            self.refuse_quarantined(key);
            return;
        }
        if request.follows_peer && reason == counter::Reason::Caller {
            // Another instance claimed the continuation, but its stream does not exist.
            self.fail(key, Kind::Unknown);
            return;
        }
        if request.skip > request.position() {
            self.fail(key, Kind::CannotResume);
            return;
        }
        let repeatable = request.service.repeatable;
        let exhausted = request.last_attempt >= self.settings.attempts_max;
        if request.position() > 0 {
            let allowed = repeatable || self.settings.continue_non_repeatable;
            if !self.settings.continuation
                || exhausted
                || (allowed && !self.may_take_attempt(key, true, reason))
            {
                self.fail(key, Kind::UpstreamFailed);
            } else if allowed {
                self.count(Counter::Resumed(reason));
                self.enqueue(key);
            } else {
                self.fail(key, Kind::Unknown);
            }
            return;
        }
        if request.may_have_run && !repeatable {
            self.fail(key, Kind::Unknown);
        } else if exhausted || !self.may_take_attempt(key, false, reason) {
            self.give_up(key, Kind::Overloaded, Kind::UpstreamFailed);
        } else {
            self.count(Counter::Retried(reason));
            self.enqueue(key);
        }
    }

    /// Whether a request may be sent again after its last attempt ended for `reason`. Where the users bound the attempts
    /// beyond the first, each that reached an upstream counts; otherwise only retries take permits.
    pub(crate) fn may_take_attempt(
        &mut self,
        key: request::Key,
        resumes: bool,
        reason: counter::Reason,
    ) -> bool {
        if self.settings.retry.is_set() {
            return self.take_retry_permit(key, reason);
        }
        // An upstream cuts a stream again and again if its caller goes on reading slowly.
        let is_free = resumes && reason != counter::Reason::Unread;
        is_free || self.may_retry(key, reason)
    }

    /// Whether a request that reached an upstream would get the permit for another attempt. Takes none.
    pub(crate) fn has_attempt_permit(&mut self, key: request::Key, resumes: bool) -> bool {
        if self.settings.retry.is_set() {
            return self.has_retry_permit(key);
        }
        resumes || self.has_budget(key)
    }

    /// Whether the retry budget of a request's pool has a permit.
    fn has_budget(&mut self, key: request::Key) -> bool {
        let pool = self.requests[key].service.pool();
        let Some(pool) = self.pools.get_mut(pool) else {
            return false;
        };
        pool.retry_budget
            .set_share(self.instances, self.settings.shared.least);
        pool.retry_budget.has_permit(self.now)
    }

    /// Whether a request may be retried. Requests that no upstream accepted need no permit: each
    /// failed upstream is hit once, so their retries add no load to the others. All others take a
    /// permit from the retry budget.
    fn may_retry(&mut self, key: request::Key, reason: counter::Reason) -> bool {
        if self.settings.shared.unsent && reason.was_never_accepted() {
            return true;
        }
        let pool = self.requests[key].service.pool();
        let Some(pool) = self.pools.get_mut(pool) else {
            return false;
        };
        pool.retry_budget
            .set_share(self.instances, self.settings.shared.least);
        pool.retry_budget.spend(self.now)
    }

    /// Whether an upstream may have run a request, even in part.
    fn may_have_executed(&self, request: &Request) -> bool {
        let sent = |key: &attempt::Key| self.attempts[*key].sent;
        request.may_have_run || request.attempts.iter().any(sent)
    }
}

/// Whether the caller of a request has received the response head, with the first tokens where the request is a generation.
pub(crate) fn has_head(request: &Request) -> bool {
    match request.work {
        Work::Call { .. } => false,
        Work::Generate { .. } => request.position() > request.skip,
        Work::Relay(_) => request.progress.is_open,
    }
}
