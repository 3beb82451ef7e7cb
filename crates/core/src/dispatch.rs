//! Sending: from the queue over the claim to an upstream.

use super::*;

impl Core {
    /// Lets a new request wait for an upstream, or re-attaches it to its stream.
    pub(crate) fn enqueue(&mut self, key: request::Key) {
        if self.attach(key) {
            return;
        }
        let request = &mut self.requests[key];
        request.state = State::Queued;
        let pool: Arc<str> = request.service.pool().into();
        let queue = &mut self.pools.entry(pool.clone()).or_default().queue;
        if request.number > 0 || request.position() > 0 {
            request.send_by = self.now.after(request.service.max_wait_ms);
            queue.push_resume(key);
        } else {
            queue.push(request.service.priority, &request.customer, key, self.now);
        }
        self.pump(&pool);
        self.waits(key);
    }

    /// Notes that a relayed request found no room, if it waits. One that is known to find none in time is given up on.
    fn waits(&mut self, key: request::Key) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        if request.state != State::Queued {
            return;
        }
        if self.is_outlasted(request, 0) {
            self.give_up(key, Kind::Overloaded, Kind::UpstreamFailed);
            return;
        }
        if request.work.relay().is_none() {
            return;
        }
        let until = self.queue_deadline(request);
        let request = &mut self.requests[key];
        request.send_by = until;
        let pool: Arc<str> = request.service.pool().into();
        self.pools
            .entry(pool)
            .or_default()
            .estimates
            .record_shortage(self.now);
        self.tell_waiting(key);
    }

    /// Sends what waits in a pool, as far as upstreams have room.
    pub(crate) fn pump(&mut self, name: &str) {
        loop {
            let Some(pool) = self.pools.get_mut(name) else {
                return;
            };
            let Some(waiting) = pool.queue.peek() else {
                return;
            };
            let key = waiting.request;
            if self.is_guilty(self.requests[key].print) {
                self.refuse_guilty(key);
                continue;
            }
            let Some(upstream) = self.choose(key, waiting.is_resume) else {
                return;
            };
            if let Some(pool) = self.pools.get_mut(name) {
                pool.queue.pop(self.now);
                self.requests[key].counted |= !waiting.is_resume;
            }
            self.start(key, upstream);
        }
    }

    /// Settles a claim.
    pub(crate) fn claimed(&mut self, key: request::Key, outcome: event::ClaimOutcome) {
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
                if self.claim_holds(key, &claim) {
                    self.send_claimed(key);
                } else {
                    self.give_up(key, Kind::BadKey, Kind::Unknown);
                }
            }
            event::ClaimOutcome::Taken(upstream) if request.may_have_run => {
                self.follow(key, upstream);
            }
            event::ClaimOutcome::Taken(fingerprint) if fingerprint == claim.fingerprint => {
                self.fail(key, Kind::AlreadyClaimed);
            }
            event::ClaimOutcome::Taken(_) => self.fail(key, Kind::KeyReused),
            event::ClaimOutcome::Unavailable if request.may_have_run => {
                let again = self.now.after(self.settings.claim_retry_ms);
                self.reclaims.push((again, key));
            }
            event::ClaimOutcome::Unavailable => self.fail(key, Kind::PlatformDown),
        }
    }

    /// Whether a claim that was just settled is surely still kept: a caller's key is not too old, and
    /// a continuation's claim was asked for less than the retention ago.
    fn claim_holds(&self, key: request::Key, claim: &Claim) -> bool {
        let request = &self.requests[key];
        if !request.may_have_run {
            return claim.in_time(self.now, &self.settings);
        }
        self.now.since(request.claim_asked) <= self.settings.key_age_max_ms
    }

    /// Asks once more for the claims of continuations that the platform did not settle.
    pub(crate) fn reclaim(&mut self) {
        let now = self.now;
        let due: Vec<request::Key> = self
            .reclaims
            .extract_if(.., |(again, _)| *again <= now)
            .map(|(_, key)| key)
            .collect();
        for request in due {
            if let Some(claim) = self.requests.get(request).and_then(|request| request.claim) {
                self.effects.push(Effect::Claim { claim, request });
            }
        }
    }

    /// Starts a second attempt of a generation whose stream is suspected.
    pub(crate) fn hedge(&mut self, key: request::Key) {
        let request = &self.requests[key];
        let allowed = request.service.policy == Policy::Latency
            && request.service.repeatable
            && self.settings.continuation
            && !self.is_suspect(request.print)
            && request.attempts.len() == 1
            && request.number < self.settings.attempts_max
            && request.skip <= request.position()
            && matches!(request.work, Work::Generate { .. });
        if !allowed {
            return;
        }
        let Some(upstream) = self.choose(key, true) else {
            return;
        };
        self.hedges
            .share(self.instances, self.settings.shared.least);
        if !self.hedges.spend(self.now) {
            return;
        }
        self.count(Counter::Hedged);
        let attempt = self.open(key, upstream);
        self.send(attempt);
    }

    /// Re-attaches a request that came with a cursor; false if there is none.
    fn attach(&mut self, key: request::Key) -> bool {
        let Some(cursor) = self.requests[key].attach.take() else {
            return false;
        };
        self.count(Counter::Resumed(counter::Reason::Caller));
        if !self.attach_to(key, cursor.upstream, cursor.attempt) {
            self.recover(key, counter::Reason::Caller);
        }
        true
    }

    /// Asks an upstream for the stream of an attempt; false if the upstream is gone.
    fn attach_to(&mut self, key: request::Key, upstream: u64, number: u32) -> bool {
        let found = self
            .upstreams
            .iter()
            .find(|(_, other)| other.life.id == upstream && other.health != Health::Lost)
            .map(|(key, _)| key);
        let Some(upstream) = found else {
            return false;
        };
        let request = &mut self.requests[key];
        request.state = State::Running;
        request.number = number - 1;
        let position = request.position();
        let generation = request.generation;
        let attempt = self.open(key, upstream);
        self.attempts[attempt].sent = true;
        let note = self.noted(&self.requests[key], effect::What::Attached, Some(upstream));
        self.effects.push(note);
        self.effects.push(Effect::Send {
            address: self.upstreams[upstream].address,
            attempt,
            sending: effect::Sending::Attach {
                position,
                stream: effect::Stream { generation, number },
            },
            upstream,
        });
        true
    }

    /// Follows a continuation that another instance claimed: its stream is read on from here. It
    /// is never started a second time.
    fn follow(&mut self, key: request::Key, upstream: u64) {
        let request = &mut self.requests[key];
        request.claim = None;
        let number = request.number;
        for attempt in request.attempts.clone() {
            self.close(attempt);
        }
        self.requests[key].following = true;
        if !self.attach_to(key, upstream, number) {
            self.fail(key, Kind::Unknown);
        }
    }

    /// Makes an attempt at an upstream, not yet sent.
    fn open(&mut self, key: request::Key, upstream: upstream::Key) -> attempt::Key {
        let request = &mut self.requests[key];
        request.number += 1;
        let attempt = self.attempts.insert(Attempt {
            ahead_tokens: 0,
            backup: None,
            began: None,
            copy: None,
            last: self.now,
            number: request.number,
            request: key,
            sent: false,
            sent_at: self.now,
            started: false,
            suspected: false,
            upstream,
        });
        request.attempts.push(attempt);
        let upstream = &mut self.upstreams[upstream];
        if upstream.attempts.is_empty() {
            upstream.heard = self.now;
        }
        upstream.attempts.push(attempt);
        upstream.change(1, self.now);
        attempt
    }

    /// Gives an attempt to the edge. The last check before a request may run.
    fn send(&mut self, key: attempt::Key) {
        let attempt = &self.attempts[key];
        let request = &self.requests[attempt.request];
        let upstream_key = attempt.upstream;
        let upstream = &self.upstreams[upstream_key];
        let continues = request.position() > 0 && self.settings.continue_non_repeatable;
        let alone = request
            .attempts
            .iter()
            .all(|other| *other == key || !self.attempts[*other].sent);
        let once = request.service.repeatable || (alone && (!request.may_have_run || continues));
        let (address, leaves) = (upstream.address, upstream.leaves(self.now));
        let rests = upstream.rests(self.now);
        let (number, owner) = (attempt.number, attempt.request);
        let sending = match request.work {
            Work::Relay(_) => self.relaying(key),
            Work::Call { .. } | Work::Generate { .. } => request.sending(number, &self.settings),
        };
        let guilty = self.is_guilty(request.print);
        let permitted = self.upstreams[upstream_key].spend(self.now);
        self.check(permitted, Invariant::NoWorkBeyondLimit);
        self.check(!leaves, Invariant::NoWorkWhenLeaving);
        self.check(!rests, Invariant::NoWorkWhenResting);
        if !self.check(!guilty, Invariant::NoQuarantinedWork) {
            self.refuse_guilty(owner);
            return;
        }
        if !self.check(once, Invariant::RunsOnce) {
            self.fail(owner, Kind::Unknown);
            return;
        }
        self.attempts[key].sent = true;
        self.attempts[key].last = self.now;
        self.requests[owner].sent.get_or_insert(self.now);
        self.requests[owner].passage.reached += 1;
        let upstream = self.attempts[key].upstream;
        let what = self.sent(key);
        let note = self.noted(&self.requests[owner], what, Some(upstream));
        self.effects.push(note);
        self.effects.push(Effect::Send {
            address,
            attempt: key,
            sending,
            upstream,
        });
    }

    /// What is noted of an attempt that is sent.
    fn sent(&self, key: attempt::Key) -> effect::What {
        let attempt = &self.attempts[key];
        let backup = attempt.backup.and_then(|key| self.upstreams.get(key));
        effect::What::Sent {
            backup: backup.map(|upstream| upstream.name.clone()),
            copy: attempt.copy.as_ref().map(|copy| copy.run.clone()),
            left_ms: self.requests[attempt.request].deadline.since(self.now),
            list_age_ms: self.listed.map_or(0, |listed| self.now.since(listed)),
        }
    }

    /// Sends a request whose claim is settled, or lets it wait again if its upstream went away.
    fn send_claimed(&mut self, key: request::Key) {
        let request = &mut self.requests[key];
        request.state = State::Running;
        let Some(attempt) = request.attempts.first().copied() else {
            self.enqueue(key);
            return;
        };
        let upstream = &self.upstreams[self.attempts[attempt].upstream];
        if upstream.takes_work(self.now) && self.now >= self.stale_until {
            self.send(attempt);
            return;
        }
        self.close(attempt);
        self.enqueue(key);
    }

    /// Starts an attempt: at once, or after the claim that it needs.
    fn start(&mut self, key: request::Key, upstream: upstream::Key) {
        let nonce = self.rng.random();
        let attempt = self.open(key, upstream);
        let request = &mut self.requests[key];
        let relayed = request.work.relay().is_some();
        let continues = request.may_have_run && !request.service.repeatable && !relayed;
        if request.claim.is_none() && continues {
            let id = self.upstreams[upstream].life.id;
            request.claim = Claim::continuation(request.generation, request.number, id, nonce);
        }
        if let Some(claim) = request.claim {
            request.claim_asked = self.now;
            request.state = State::Claiming;
            self.effects.push(Effect::Claim {
                claim,
                request: key,
            });
            return;
        }
        request.state = State::Running;
        if relayed {
            self.plan(attempt);
        }
        self.send(attempt);
    }
}

impl Request {
    /// What an attempt sends.
    fn sending(&self, number: u32, settings: &Settings) -> effect::Sending {
        match (&self.work, &self.service.target) {
            (
                Work::Generate {
                    max_tokens,
                    payload,
                    ..
                },
                config::Target::Generate { adapter, model },
            ) => effect::Sending::Generate {
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
            (work, _) => effect::Sending::Call {
                path: work.path(),
                payload: work.payload(),
                repeatable: self.service.repeatable,
                request: self.generation,
            },
        }
    }
}
