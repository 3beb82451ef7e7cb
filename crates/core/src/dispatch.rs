//! Dispatch of requests: from the queue, through the claim of the idempotency key, to an upstream.

use super::*;

impl Core {
    /// Queues a request for an upstream, or re-attaches it to its running stream.
    pub(crate) fn enqueue(&mut self, key: request::Key) {
        if self.attach(key) {
            return;
        }
        let request = &mut self.requests[key];
        request.state = State::Queued;
        request.turn = None;
        let turn = self.turn(&self.requests[key]);
        let has_head = failure::has_head(&self.requests[key]);
        let request = &mut self.requests[key];
        request.turn = turn;
        let pool: Arc<str> = request.service.pool().into();
        let queue = &mut self.pools.entry(pool.clone()).or_default().queue;
        let was_sent = request.last_attempt > 0 || request.position() > 0;
        let may_run_again = request.may_have_run && request.work.relay().is_some();
        if has_head || may_run_again {
            // Its caller can not be refused any more, only cut off.
            request.send_by = request.deadline;
        } else if was_sent {
            request.send_by = self.now.after(request.service.max_wait_ms);
        }
        let is_bound =
            request.progress.origin != Origin::Unbegun || request.progress.waits(self.now);
        // One that waits until its deadline must not hold up others from the head of a queue.
        if is_bound || may_run_again {
            queue.push_bound(key);
        } else if let Some(turn) = turn.filter(|_| request.position() == 0) {
            queue.push_ranked(turn, key);
        } else if was_sent {
            queue.push_resume(key);
        } else {
            queue.push(request.service.priority, &request.customer, key, self.now);
        }
        self.dispatch_queued(&pool);
        self.handle_no_capacity(key);
    }

    /// Records a lack of capacity if a relayed request is still queued, and fails a request that is
    /// known not to find capacity in time.
    fn handle_no_capacity(&mut self, key: request::Key) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        if request.state != State::Queued {
            return;
        }
        if self.is_bound_to_expire(request, 0) {
            self.give_up(key, Kind::Overloaded, Kind::UpstreamFailed);
            return;
        }
        if request.work.relay().is_none() {
            return;
        }
        let send_by = self.queue_deadline(request);
        let request = &mut self.requests[key];
        request.send_by = send_by;
        let pool: Arc<str> = request.service.pool().into();
        self.pools
            .entry(pool)
            .or_default()
            .estimates
            .record_shortage(self.now);
        self.report_wait(key);
        // Others would take its next attempt for its first.
        let was_sent = self.requests[key].may_have_run && !self.requests[key].progress.is_open;
        if !was_sent {
            self.gossip_waiting(key);
        }
    }

    /// Sends the queued streams of a pool that may go on at one version only, and fails those of which no upstream is left.
    fn dispatch_bound(&mut self, name: &str) {
        let Some(pool) = self.pools.get(name) else {
            return;
        };
        for key in pool.queue.bound() {
            // Giving up another one may have sent or ended it.
            let is_queued = |request: &Request| request.state == State::Queued;
            if !self.requests.get(key).is_some_and(is_queued) {
                continue;
            }
            if self.is_quarantined(self.requests[key].request_fingerprint) {
                self.refuse_quarantined(key);
                continue;
            }
            if let Err(refusal) = self.check_origin(&self.requests[key]) {
                self.note_bound(key, Bound::Version);
                self.give_up(key, refusal.kind, Kind::UpstreamFailed);
                continue;
            }
            if self.now < self.requests[key].progress.wait_until {
                continue;
            }
            let Some(upstream) = self.choose_upstream(key, true) else {
                continue;
            };
            if !self.take_awaited_permit(key) {
                continue;
            }
            if let Some(pool) = self.pools.get_mut(name) {
                pool.queue.remove_bound(key);
            }
            self.start_attempt(key, upstream);
        }
    }

    /// Sends the queued requests of a pool for as long as upstreams have capacity. Where that ends requests, whose pools are
    /// to be dispatched again, this does not nest: a nested call leaves its pool to the outermost one.
    pub(crate) fn dispatch_queued(&mut self, name: &str) {
        self.undispatched.insert(name.into());
        if self.is_dispatching {
            return;
        }
        self.is_dispatching = true;
        while let Some(name) = self.undispatched.pop_first() {
            self.dispatch_pool(&name);
        }
        self.is_dispatching = false;
    }

    fn dispatch_pool(&mut self, name: &str) {
        if self.has_shut_down() {
            return;
        }
        self.dispatch_bound(name);
        loop {
            let Some(pool) = self.pools.get_mut(name) else {
                return;
            };
            let Some(waiting) = pool.queue.peek() else {
                return;
            };
            let key = waiting.request;
            if self.is_quarantined(self.requests[key].request_fingerprint) {
                self.refuse_quarantined(key);
                continue;
            }
            let Some(upstream) = self.choose_upstream(key, waiting.is_resume) else {
                return;
            };
            if let Some(pool) = self.pools.get_mut(name) {
                pool.queue.pop(self.now);
                let request = &mut self.requests[key];
                request.counts_as_running |= !waiting.is_resume && request.rank.is_none();
            }
            self.start_attempt(key, upstream);
        }
    }

    /// Handles the outcome of a claim.
    pub(crate) fn handle_claim_outcome(&mut self, key: request::Key, outcome: event::ClaimOutcome) {
        let Some(request) = self.requests.get_mut(key) else {
            return;
        };
        if request.state != State::Claiming {
            return;
        }
        let Some(claim) = request.claim else { return };
        match outcome {
            event::ClaimOutcome::Claimed => {
                request.claim = None;
                if self.is_claim_valid(key, &claim) {
                    self.send_claimed(key);
                } else {
                    self.give_up(key, Kind::BadKey, Kind::Unknown);
                }
            }
            event::ClaimOutcome::Taken(upstream) if request.may_have_run => {
                self.follow_peer(key, upstream);
            }
            event::ClaimOutcome::Taken(fingerprint) if fingerprint == claim.fingerprint => {
                self.fail(key, Kind::AlreadyClaimed);
            }
            event::ClaimOutcome::Taken(_) => self.fail(key, Kind::KeyReused),
            event::ClaimOutcome::Unavailable if request.may_have_run => {
                let retry_at = self.now.after(self.settings.claim_retry_ms);
                self.claim_retries.push((retry_at, key));
            }
            event::ClaimOutcome::Unavailable => self.fail(key, Kind::PlatformDown),
        }
    }

    /// Whether a claim that was just settled is certain to be still stored: a caller's key must not
    /// be too old, and a continuation's claim must have been requested within the retention period.
    fn is_claim_valid(&self, key: request::Key, claim: &Claim) -> bool {
        let request = &self.requests[key];
        if !request.may_have_run {
            return claim.is_current(self.now, &self.settings);
        }
        self.now.since(request.claim_requested_at) <= self.settings.key_age_max_ms
    }

    /// Retries the claims of continuations whose outcome the platform left unknown.
    pub(crate) fn retry_claims(&mut self) {
        let now = self.now;
        let due: Vec<request::Key> = self
            .claim_retries
            .extract_if(.., |(retry_at, _)| *retry_at <= now)
            .map(|(_, key)| key)
            .collect();
        for request in due {
            if let Some(claim) = self.requests.get(request).and_then(|request| request.claim) {
                self.effects.push(Effect::Claim { claim, request });
            }
        }
    }

    /// Hedges a generation whose stream may have stalled with a second attempt.
    pub(crate) fn hedge(&mut self, key: request::Key) {
        let request = &self.requests[key];
        let allowed = request.service.policy == Policy::Latency
            && request.service.repeatable
            && self.settings.continuation
            && !self.is_crash_suspect(request.request_fingerprint)
            && request.attempts.len() == 1
            && request.last_attempt < self.settings.attempts_max
            && request.skip <= request.position()
            && matches!(request.work, Work::Generate { .. });
        if !allowed {
            return;
        }
        let Some(upstream) = self.choose_upstream(key, true) else {
            return;
        };
        self.hedge_budget
            .set_share(self.instances, self.settings.shared.least);
        if !self.hedge_budget.spend(self.now)
            || (self.settings.retry.is_set() && !self.spend_retry_permit(key))
        {
            return;
        }
        self.count(Counter::Hedged);
        let attempt = self.open_attempt(key, upstream);
        self.send_attempt(attempt);
    }

    /// Re-attaches a request that has a cursor to its stream; returns false if it has none.
    fn attach(&mut self, key: request::Key) -> bool {
        let Some(cursor) = self.requests[key].resume_cursor.take() else {
            return false;
        };
        self.count(Counter::Resumed(counter::Reason::Caller));
        if !self.attach_to(key, cursor.upstream, cursor.attempt) {
            self.recover(key, counter::Reason::Caller);
        }
        true
    }

    /// Re-attaches a request to the stream of an attempt at an upstream; returns false if the
    /// upstream is gone.
    fn attach_to(&mut self, key: request::Key, upstream: u64, number: u32) -> bool {
        let found = self
            .upstreams
            .iter()
            .find(|(_, other)| other.incarnation.id == upstream && other.health != Health::Lost)
            .map(|(key, _)| key);
        let Some(upstream) = found else {
            return false;
        };
        let request = &mut self.requests[key];
        request.state = State::Running;
        request.last_attempt = number - 1;
        let position = request.position();
        let generation = request.generation;
        let attempt = self.open_attempt(key, upstream);
        self.attempts[attempt].sent = true;
        let entry = self.log_effect(&self.requests[key], effect::Step::Attached, Some(upstream));
        self.effects.push(entry);
        self.effects.push(Effect::Send {
            address: self.upstreams[upstream].address,
            attempt,
            outbound: effect::Outbound::Attach {
                position,
                stream: effect::Stream { generation, number },
            },
            upstream,
        });
        true
    }

    /// Attaches to a continuation that another instance claimed. The continuation is never started
    /// a second time.
    fn follow_peer(&mut self, key: request::Key, upstream: u64) {
        let request = &mut self.requests[key];
        request.claim = None;
        let number = request.last_attempt;
        for attempt in request.attempts.clone() {
            self.remove_attempt(attempt);
        }
        self.requests[key].follows_peer = true;
        if !self.attach_to(key, upstream, number) {
            self.fail(key, Kind::Unknown);
        }
    }

    /// Creates an attempt at an upstream without sending it.
    fn open_attempt(&mut self, key: request::Key, upstream: upstream::Key) -> attempt::Key {
        let path = self.path_to(upstream);
        let request = &mut self.requests[key];
        request.last_attempt += 1;
        let attempt = self.attempts.insert(Attempt {
            ahead_streams: 0,
            ahead_tokens: 0,
            backup: None,
            copy: None,
            created_at: self.now,
            first_event_at: None,
            last_event_at: self.now,
            number: request.last_attempt,
            path,
            reading: Reading::Open,
            request: key,
            sent: false,
            started: false,
            stays_until: Time::default(),
            suspected: false,
            upstream,
            version: self.upstreams[upstream].version,
        });
        request.attempts.push(attempt);
        let upstream = &mut self.upstreams[upstream];
        if upstream.attempts.is_empty() {
            upstream.last_heard = self.now;
        }
        upstream.attempts.push(attempt);
        upstream.adjust_load(1, self.now);
        attempt
    }

    /// Hands an attempt to the edge, after the last invariant checks before a request may run.
    fn send_attempt(&mut self, key: attempt::Key) {
        let attempt = &self.attempts[key];
        let request = &self.requests[attempt.request];
        let upstream_key = attempt.upstream;
        let upstream = &self.upstreams[upstream_key];
        let continues = request.position() > 0 && self.settings.continue_non_repeatable;
        let is_only_sent = request
            .attempts
            .iter()
            .all(|other| *other == key || !self.attempts[*other].sent);
        let runs_once =
            request.service.repeatable || (is_only_sent && (!request.may_have_run || continues));
        let (address, is_leaving) = (upstream.address, upstream.is_leaving(self.now));
        let is_in_backoff = upstream.is_in_backoff(self.now);
        let (number, owner) = (attempt.number, attempt.request);
        let outbound = match request.work {
            Work::Relay(_) => self.relay_outbound(key),
            Work::Call { .. } | Work::Generate { .. } => request.outbound(number, &self.settings),
        };
        let is_quarantined = self.is_quarantined(request.request_fingerprint);
        let is_admitted = self.admits(request, upstream);
        let has_permit = self.upstreams[upstream_key].take_permit(self.now);
        self.check_invariant(has_permit, Invariant::NoWorkBeyondLimit);
        self.check_invariant(!is_leaving, Invariant::NoWorkWhenLeaving);
        self.check_invariant(!is_in_backoff, Invariant::NoWorkInBackoff);
        if !self.check_invariant(!is_quarantined, Invariant::NoQuarantinedWork) {
            self.refuse_quarantined(owner);
            return;
        }
        if !self.check_invariant(is_admitted, Invariant::OneVersion) {
            self.give_up(owner, Kind::VersionGone, Kind::UpstreamFailed);
            return;
        }
        if !self.check_invariant(runs_once, Invariant::RunsOnce) {
            self.fail(owner, Kind::Unknown);
            return;
        }
        self.attempts[key].sent = true;
        self.attempts[key].last_event_at = self.now;
        self.requests[owner].first_sent_at.get_or_insert(self.now);
        self.requests[owner].progress.upstreams_reached += 1;
        if self.upstreams[upstream_key].break_off.is_some() {
            self.count(Counter::BreakOffProbe);
        }
        self.defer_retry_permit(owner);
        let upstream = self.attempts[key].upstream;
        let step = self.sent_step(key);
        let entry = self.log_effect(&self.requests[owner], step, Some(upstream));
        self.effects.push(entry);
        self.effects.push(Effect::Send {
            address,
            attempt: key,
            outbound,
            upstream,
        });
    }

    /// Log step of an attempt that is sent.
    fn sent_step(&self, key: attempt::Key) -> effect::Step {
        let attempt = &self.attempts[key];
        let backup = attempt.backup.and_then(|key| self.upstreams.get(key));
        effect::Step::Sent {
            backup: backup.map(|upstream| upstream.name.clone()),
            copy: attempt.copy.as_ref().map(|copy| copy.run.clone()),
            left_ms: self.requests[attempt.request].deadline.since(self.now),
            list_age_ms: self
                .list_read_at
                .map_or(0, |read_at| self.now.since(read_at)),
            origin: self.requests[attempt.request].progress.origin,
            path: attempt.path,
            version: self.upstreams[attempt.upstream].version_name.clone(),
        }
    }

    /// Sends a request whose claim is settled, or queues it again if its upstream no longer accepts
    /// requests.
    fn send_claimed(&mut self, key: request::Key) {
        let request = &mut self.requests[key];
        request.state = State::Running;
        let Some(attempt) = request.attempts.first().copied() else {
            self.enqueue(key);
            return;
        };
        let upstream = &self.upstreams[self.attempts[attempt].upstream];
        if upstream.accepts_work(self.now) && self.now >= self.list_stale_until {
            self.send_attempt(attempt);
            return;
        }
        self.remove_attempt(attempt);
        self.enqueue(key);
    }

    /// Starts an attempt: immediately, or after the claim that it needs.
    fn start_attempt(&mut self, key: request::Key, upstream: upstream::Key) {
        let nonce = self.rng.random();
        let attempt = self.open_attempt(key, upstream);
        let request = &mut self.requests[key];
        let relayed = request.work.relay().is_some();
        let continues = request.may_have_run && !request.service.repeatable && !relayed;
        if request.claim.is_none() && continues {
            let id = self.upstreams[upstream].incarnation.id;
            request.claim =
                Claim::continuation(request.generation, request.last_attempt, id, nonce);
        }
        if let Some(claim) = request.claim {
            request.claim_requested_at = self.now;
            request.state = State::Claiming;
            self.effects.push(Effect::Claim {
                claim,
                request: key,
            });
            return;
        }
        request.state = State::Running;
        if relayed {
            let pool: Arc<str> = request.service.pool().into();
            self.take_turn(&pool);
            self.prepare_relay(attempt);
        }
        self.send_attempt(attempt);
    }
}

impl Request {
    /// Message that an attempt sends to its upstream.
    fn outbound(&self, number: u32, settings: &Settings) -> effect::Outbound {
        match (&self.work, &self.service.target) {
            (
                Work::Generate {
                    max_tokens,
                    payload,
                    ..
                },
                config::Target::Generate { adapter, model },
            ) => effect::Outbound::Generate {
                adapter: adapter.clone(),
                linger_ms: settings.linger_ms,
                max_tokens: *max_tokens,
                model: model.clone(),
                payload: payload.clone(),
                prefix: self.delivered.clone(),
                priority: self.service.priority,
                stream: effect::Stream {
                    generation: self.generation,
                    number,
                },
            },
            (work, _) => effect::Outbound::Call {
                path: work.path(),
                payload: work.payload(),
                repeatable: self.service.repeatable,
                request: self.generation,
            },
        }
    }
}
