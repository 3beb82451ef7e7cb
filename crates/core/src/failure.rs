//! What follows when an attempt fails: another attempt, a continuation, or an honest error.

use super::*;

impl Core {
    /// An attempt ended without a whole answer.
    pub(crate) fn failed(&mut self, key: attempt::Key, failure: Failure) {
        let Some(attempt) = self.close(key) else {
            self.count(Counter::FrameLate);
            return;
        };
        let request = attempt.request;
        if self.requests[request].work.relay().is_some() {
            self.relay_failed(&attempt, failure);
            return;
        }
        let reason = match failure {
            Failure::Broken => counter::Reason::Broken,
            Failure::Leaving => counter::Reason::Leaving,
            Failure::NotSent => counter::Reason::NotSent,
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
                self.doubt(attempt.upstream);
            }
            Failure::Leaving | Failure::Replaced => self.leave(attempt.upstream),
            Failure::NotSent => self.doubt(attempt.upstream),
            Failure::Refused => self.refused(attempt.upstream),
            Failure::Rejected | Failure::UnknownStream => {}
        }
        self.requests[request].avoid = Some(attempt.upstream);
        if failure == Failure::Broken {
            self.suspect(&attempt);
        }
        self.go_on_checked(request, attempt.upstream, reason);
    }

    /// Gives up on an attempt that the upstream may still be running.
    pub(crate) fn abandon(&mut self, key: attempt::Key, reason: counter::Reason) {
        let Some(attempt) = self.cancel(key) else {
            return;
        };
        let request = &mut self.requests[attempt.request];
        request.avoid = Some(attempt.upstream);
        request.may_have_run |= attempt.sent;
        if request.work.relay().is_some() {
            self.keep_copy(&attempt);
            self.note_lost(&attempt, reason);
            self.relay_again(attempt.request, reason);
            return;
        }
        self.recover(attempt.request, reason);
    }

    /// Stops an attempt and tells the engine.
    pub(crate) fn cancel(&mut self, key: attempt::Key) -> Option<Attempt> {
        let attempt = self.close(key)?;
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

    /// Takes an attempt out of the state.
    pub(crate) fn close(&mut self, key: attempt::Key) -> Option<Attempt> {
        let attempt = self.attempts.remove(key)?;
        if let Some(request) = self.requests.get_mut(attempt.request) {
            request.attempts.retain(|other| *other != key);
        }
        if let Some(upstream) = self.upstreams.get_mut(attempt.upstream) {
            upstream.attempts.retain(|other| *other != key);
            upstream.change(-1, self.now);
        }
        Some(attempt)
    }

    /// Gives the caller an error as its final answer.
    pub(crate) fn fail(&mut self, key: request::Key, kind: Kind) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let touched = self.touched(request);
        let not_run = kind.answer().ran == kind::Ran::No;
        let honest = self.check(!(not_run && touched), Invariant::NotRunIsTrue);
        let kind = if honest { kind } else { Kind::Unknown };
        for attempt in self.requests[key].attempts.clone() {
            self.cancel(attempt);
        }
        let Some(request) = self.remove(key) else {
            return;
        };
        self.note(&request, effect::What::Failed(kind), None);
        self.tell_over(&request, sighting::Stage::Left);
        let pool = request.service.pool();
        if request.passage.opened {
            self.count(Counter::Refused(kind));
            self.effects.push(Effect::Cut(request.caller));
            self.pump(pool);
            return;
        }
        if request.passage.fault {
            self.effects.push(Effect::Answer(request.caller));
            self.pump(pool);
            return;
        }
        if not_run {
            self.count_refused(&request);
        }
        let retry_after_ms = kind.answer().retry.then(|| match request.work {
            Work::Relay(_) => self.retry_after_ms(&request),
            Work::Call { .. } | Work::Generate { .. } => {
                let rest = self.come_back_rested(&request);
                rest.unwrap_or_else(|| {
                    self.retry_after(pool, request.service.priority, &request.customer)
                })
            }
        });
        self.refuse(request.caller, kind, retry_after_ms);
        self.pump(pool);
    }

    /// Gives up on a request: `unsent` if no upstream can have run it, else `sent`.
    pub(crate) fn give_up(&mut self, key: request::Key, unsent: Kind, sent: Kind) {
        let touched = self.touched(&self.requests[key]);
        self.fail(key, if touched { sent } else { unsent });
    }

    /// Sends a request on after its last attempt is over, if that is allowed.
    pub(crate) fn recover(&mut self, key: request::Key, reason: counter::Reason) {
        let request = &self.requests[key];
        if !request.attempts.is_empty() || request.state == State::Claiming {
            return;
        }
        if self.is_guilty(request.print) {
            self.refuse_guilty(key);
            return;
        }
        if request.following && reason == counter::Reason::Caller {
            // The other instance claimed the continuation but its stream is not there.
            self.fail(key, Kind::Unknown);
            return;
        }
        if request.skip > request.position() {
            self.fail(key, Kind::CannotResume);
            return;
        }
        let repeatable = request.service.repeatable;
        let exhausted = request.number >= self.settings.attempts_max;
        if request.position() > 0 {
            let allowed = repeatable || self.settings.continue_non_repeatable;
            if !self.settings.continuation || exhausted {
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
        } else if exhausted || !self.may_retry(key, reason) {
            self.give_up(key, Kind::Overloaded, Kind::UpstreamFailed);
        } else {
            self.count(Counter::Retried(reason));
            self.enqueue(key);
        }
    }

    /// Whether a request may be sent a second time: what no upstream took in may, everything else needs a
    /// permit. Each upstream that is gone is met once, so this adds no load to those that are there.
    pub(crate) fn may_retry(&mut self, key: request::Key, reason: counter::Reason) -> bool {
        if self.settings.shared.unsent && reason.was_never_accepted() {
            return true;
        }
        let pool = self.requests[key].service.pool();
        let Some(pool) = self.pools.get_mut(pool) else {
            return false;
        };
        pool.retries
            .share(self.instances, self.settings.shared.least);
        pool.retries.spend(self.now)
    }

    /// Whether an upstream may have run any of a request.
    fn touched(&self, request: &Request) -> bool {
        let sent = |key: &attempt::Key| self.attempts[*key].sent;
        request.may_have_run || request.attempts.iter().any(sent)
    }
}
