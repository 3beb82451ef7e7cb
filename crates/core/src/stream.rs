//! Tokens and responses that upstreams send and callers receive.

use super::*;

/// Reason of the end of an answer that has as many tokens as were requested.
const LENGTH: &str = "length";

impl Core {
    /// Handles the end of a caller's connection. The stream of a generation that has begun is not
    /// cancelled: the engine keeps it for a while, since its caller may resume it with a cursor.
    pub(crate) fn handle_caller_gone(&mut self, caller: request::Caller) {
        self.deferred
            .retain(|deferred| deferred.submission.caller != caller);
        self.buffers.forget(caller, self.now);
        let Some(key) = self.callers.get(&caller).copied() else {
            return;
        };
        self.count(Counter::CallerGone);
        let request = &self.requests[key];
        let resumable = request.position() > 0 && request.work.relay().is_none();
        for attempt in self.requests[key].attempts.clone() {
            if resumable {
                self.remove_attempt(attempt);
                self.effects.push(Effect::Detach(attempt));
            } else {
                self.cancel(attempt);
            }
        }
        if let Some(request) = self.remove(key) {
            self.log_step(&request, effect::Step::Left, None);
            self.record_cut(&request, counter::Cut::CallerGone);
            self.gossip_end(&request, stream_record::Stage::Left);
            self.dispatch_queued(request.service.pool());
        }
    }

    /// Handles the normal end of a generation's stream.
    pub(crate) fn handle_generation_finished(
        &mut self,
        key: attempt::Key,
        position: u32,
        reason: String,
    ) {
        let Some(attempt) = self.attempts.get(key) else {
            self.count(Counter::FrameLate);
            return;
        };
        let (owner, attempt_upstream) = (attempt.request, attempt.upstream);
        let request = &self.requests[owner];
        let is_mismatch = request.skip == position && request.digest != request.skip_digest;
        if position != request.position() || request.skip > position || is_mismatch {
            self.count(Counter::FrameGap);
            self.abandon(key, counter::Reason::Gap);
            return;
        }
        self.record_activity(key);
        self.remove_attempt(key);
        self.finish_generation(owner, attempt_upstream, position, reason);
    }

    /// Ends a generation as complete; its other attempts are cancelled.
    fn finish_generation(
        &mut self,
        owner: request::Key,
        attempt_upstream: upstream::Key,
        position: u32,
        reason: String,
    ) {
        for other in self.requests[owner].attempts.clone() {
            self.cancel(other);
        }
        let Some(request) = self.remove(owner) else {
            return;
        };
        self.count(Counter::Answered);
        self.record_duration(&request);
        self.clear_suspicion(request.request_fingerprint);
        self.log_step(&request, effect::Step::Answered, Some(attempt_upstream));
        self.effects.push(Effect::Finish {
            caller: request.caller,
            position,
            reason,
        });
        self.dispatch_queued(request.service.pool());
    }

    /// Handles the response of a unary service.
    pub(crate) fn handle_reply(&mut self, key: attempt::Key, status: u16, body: Vec<u8>) {
        let Some(attempt) = self.remove_attempt(key) else {
            self.count(Counter::FrameLate);
            return;
        };
        if let Some(upstream) = self.upstreams.get_mut(attempt.upstream) {
            upstream.record_activity(self.now);
        }
        for other in self.requests[attempt.request].attempts.clone() {
            self.cancel(other);
        }
        let Some(request) = self.remove(attempt.request) else {
            return;
        };
        self.count(Counter::Answered);
        self.record_duration(&request);
        self.clear_suspicion(request.request_fingerprint);
        self.log_step(&request, effect::Step::Answered, Some(attempt.upstream));
        self.effects.push(Effect::Reply {
            body,
            caller: request.caller,
            status,
        });
        self.dispatch_queued(request.service.pool());
    }

    /// Handles tokens of a stream, the first of which is at `position` in the whole response. Tokens
    /// that were delivered before are dropped; a gap or a mismatch abandons the attempt.
    pub(crate) fn handle_tokens(
        &mut self,
        key: attempt::Key,
        position: u32,
        mut tokens: Vec<OutputToken>,
    ) {
        let Some(attempt) = self.attempts.get(key) else {
            self.count(Counter::FrameLate);
            return;
        };
        let (owner, number) = (attempt.request, attempt.number);
        let attempt_upstream = attempt.upstream;
        let upstream = self.upstreams[attempt_upstream].incarnation.id;
        let request = &self.requests[owner];
        let next = request.position();
        let repeated = tokens.len().min(next.saturating_sub(position) as usize);
        if position > next || !matches_delivered(&request.delivered, position, &tokens[..repeated])
        {
            self.count(Counter::FrameGap);
            self.abandon(key, counter::Reason::Gap);
            return;
        }
        if repeated > 0 {
            let count = repeated as u64;
            self.effects
                .push(Effect::Count(Counter::FrameRepeated, count));
            tokens.drain(..repeated);
        }
        self.record_activity(key);
        if tokens.is_empty() {
            return;
        }
        if self.requests[owner].attempts.len() > 1 {
            for other in self.requests[owner].attempts.clone() {
                if other != key {
                    self.cancel(other);
                }
            }
        }
        let is_only_attempt = self.requests[owner].attempts == [key];
        if !self.check_invariant(is_only_attempt, Invariant::SameGeneration) {
            self.fail(owner, Kind::Internal);
            return;
        }
        let max_tokens = self.requests[owner].work.max_tokens();
        let is_beyond = next as usize + tokens.len() > max_tokens as usize;
        tokens.truncate(max_tokens.saturating_sub(next) as usize);
        if !tokens.is_empty() {
            self.deliver(owner, number, upstream, tokens);
        }
        if is_beyond && self.requests.contains_key(owner) {
            // The engine goes on behind the end: the answer is complete, and what follows is not read.
            self.count(Counter::FrameBeyond);
            self.finish_generation(owner, attempt_upstream, max_tokens, LENGTH.into());
        }
    }

    /// Adds tokens to a request and sends the caller those that it does not have.
    fn deliver(
        &mut self,
        key: request::Key,
        number: u32,
        upstream: u64,
        mut tokens: Vec<OutputToken>,
    ) {
        let request = &mut self.requests[key];
        let first = request.position();
        for token in &tokens {
            if request.position() == request.skip && request.digest != request.skip_digest {
                self.fail(key, Kind::CannotResume);
                return;
            }
            request.delivered.push(token.id);
            request.digest = request.digest.push(token.id);
        }
        if request.position() <= request.skip {
            return;
        }
        let known = request.skip.saturating_sub(first);
        tokens.drain(..known as usize);
        let position = first + known;
        let cursor = request.cursor(number, upstream);
        let caller = request.caller;
        let is_contiguous = position as usize + tokens.len() == request.delivered.len();
        if !self.check_invariant(is_contiguous, Invariant::ContiguousTokens) {
            self.fail(key, Kind::Internal);
            return;
        }
        self.effects
            .push(Effect::Count(Counter::Tokens, tokens.len() as u64));
        self.effects.push(Effect::Deliver {
            caller,
            cursor: cursor.encode(&self.secret),
            position,
            tokens,
        });
    }

    /// Records that data arrived from the upstream of an attempt.
    pub(crate) fn record_activity(&mut self, key: attempt::Key) {
        let attempt = &mut self.attempts[key];
        let upstream = &mut self.upstreams[attempt.upstream];
        if attempt.started {
            upstream
                .detector
                .observe(self.now.since(attempt.last_event_at));
        }
        attempt.first_event_at.get_or_insert(self.now);
        attempt.last_event_at = self.now;
        attempt.started = true;
        attempt.suspected = false;
        upstream.record_activity(self.now);
    }
}

/// Whether `tokens` equal the tokens that were delivered at `position`.
fn matches_delivered(delivered: &[u32], position: u32, tokens: &[OutputToken]) -> bool {
    delivered[(position as usize).min(delivered.len())..]
        .iter()
        .zip(tokens)
        .all(|(id, token)| *id == token.id)
}
