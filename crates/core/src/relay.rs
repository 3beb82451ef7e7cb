//! Requests and answers that are passed on as they are: what is given to the caller, and what
//! follows when an upstream is lost.
//!
//! The edge holds requests, heads and whole answers; the core knows positions of events only.

use super::*;

/// Usual times between two events that a stream of a busy engine may be silent; such engines are late with
/// some events by twice that.
const STALL_EVENTS: u64 = 3;

/// Time for which an upstream that refused a request is believed to have no room, in milliseconds: some
/// tens of steps of an engine.
const FULL_MS: u64 = 250;

impl Core {
    /// An upstream answered a relayed request in one piece.
    pub(crate) fn answered(&mut self, key: attempt::Key, verdict: event::Verdict) {
        let Some(attempt) = self.close(key) else {
            self.count(Counter::FrameLate);
            return;
        };
        let owner = attempt.request;
        self.record_call_result(&attempt, true);
        if verdict == event::Verdict::Fault {
            self.upstreams[attempt.upstream].trouble.add(self.now);
            let request = &mut self.requests[owner];
            request.may_have_run = true;
            request.avoid = Some(attempt.upstream);
            if self.may_go_on(owner) && self.may_repeat_fault(owner) {
                self.requests[owner].passage.fault = !self.requests[owner].passage.opened;
                self.keep_copy(&attempt);
                self.note_lost(&attempt, counter::Reason::Fault);
                self.relay_again(owner, counter::Reason::Fault);
                return;
            }
        }
        if self.requests[owner].passage.opened {
            self.fail(owner, Kind::UpstreamFailed);
            return;
        }
        self.complete(owner, attempt.upstream, Effect::Answer);
    }

    /// Whether a request that an upstream failed is sent on. What fails by itself fails everywhere, and while a service is nearly
    /// full its second sending takes the place of a call that could be in time.
    fn may_repeat_fault(&self, key: request::Key) -> bool {
        let request = &self.requests[key];
        let crowds = !request.service.streams() && self.is_at_capacity(request.service.pool());
        request.service.repeatable && (self.settings.calls.second || !crowds)
    }

    /// A relayed stream ended without an error. An end that is not marked is believed when a second
    /// upstream, asked to go on behind the last event, has nothing more either.
    pub(crate) fn closed(&mut self, key: attempt::Key, marked: bool) {
        let Some(attempt) = self.close(key) else {
            self.count(Counter::FrameLate);
            return;
        };
        let owner = attempt.request;
        let passage = &mut self.requests[owner].passage;
        if !passage.opened {
            self.fail(owner, Kind::UpstreamFailed);
            return;
        }
        let ended_before = passage.unmarked_end.replace(passage.position);
        let believed = marked || ended_before == Some(passage.position);
        if !believed && self.may_go_on(owner) {
            self.keep_copy(&attempt);
            self.note_lost(&attempt, counter::Reason::Unmarked);
            self.suspect(&attempt);
            self.go_on_checked(owner, attempt.upstream, counter::Reason::Unmarked);
            return;
        }
        self.complete(attempt.request, attempt.upstream, Effect::Close);
    }

    /// A relayed stream began. Only the first head of an answer goes to the caller.
    pub(crate) fn opened(&mut self, key: attempt::Key) {
        let Some(attempt) = self.attempts.get(key) else {
            self.count(Counter::FrameLate);
            return;
        };
        let owner = attempt.request;
        self.upstreams[attempt.upstream].hear(self.now);
        let request = &mut self.requests[owner];
        if !request.passage.opened {
            request.passage.opened = true;
            self.effects.push(Effect::Open(request.caller));
        }
    }

    /// One event of a relayed stream came. It goes to the caller if it is the next one.
    pub(crate) fn passed(&mut self, key: attempt::Key, position: u64, bytes: Arc<[u8]>) {
        let Some(attempt) = self.attempts.get(key) else {
            self.count(Counter::FrameLate);
            return;
        };
        let (owner, first) = (attempt.request, !attempt.started);
        self.heard(key);
        if first {
            self.learn_reading(key);
            self.tell(key, sighting::Stage::Streaming);
        }
        let request = &mut self.requests[owner];
        let current = request.attempts == [key];
        let next = request.passage.position + 1;
        if !self.check(current, Invariant::SameGeneration) {
            self.fail(owner, Kind::Internal);
            return;
        }
        if position < next {
            self.count(Counter::FrameRepeated);
            return;
        }
        if position > next {
            self.count(Counter::FrameGap);
            self.abandon(key, counter::Reason::Gap);
            return;
        }
        self.time_event(owner);
        let request = &mut self.requests[owner];
        request.passage.position = position;
        let caller = request.caller;
        self.effects.push(Effect::Pass { bytes, caller });
    }

    /// Notes how long a caller waited for an event.
    fn time_event(&mut self, key: request::Key) {
        let request = &mut self.requests[key];
        let timed = match (request.passage.lost_at.take(), request.passage.event_at) {
            (Some(lost), Some(_)) => (Timing::Resume, lost),
            (None, Some(last)) => (Timing::EventInterval, last),
            (_, None) => (Timing::FirstEvent, request.asked),
        };
        request.passage.event_at = Some(self.now);
        let (timing, since) = timed;
        if timing == Timing::EventInterval
            && let Some(pool) = self.pools.get_mut(request.service.pool())
        {
            pool.estimates.record_event_interval(self.now.since(since));
        }
        self.effects
            .push(Effect::Timed(timing, self.now.since(since)));
    }

    /// Learns how fast prompts are read from the first event of a stream that did not go on from a copy.
    fn learn_reading(&mut self, key: attempt::Key) {
        let attempt = &self.attempts[key];
        let request = &self.requests[attempt.request];
        let fresh = attempt.copy.is_none() && request.passage.position == 0;
        let took = self.now.since(attempt.sent_at);
        let name: Arc<str> = request.service.pool().into();
        let Some(pool) = self.pools.get_mut(&name).filter(|_| fresh) else {
            return;
        };
        let pace = pool
            .estimates
            .record_prefill(name, attempt.ahead_tokens, took, self.now);
        if let Some(pace) = pace.filter(|_| self.settings.shared.paces) {
            self.effects.push(Effect::Pace(pace));
        }
    }

    /// Another instance told how fast the engines of a pool work.
    pub(crate) fn paced(&mut self, pace: &EngineSpeed) {
        let pool = self.pools.entry(pace.pool.clone()).or_default();
        pool.estimates.merge_peer_sample(pace);
    }

    /// Another instance told of a stream.
    pub(crate) fn sighted(&mut self, sighting: Sighting) {
        let starts = sighting.stage == sighting::Stage::Started;
        let upstream = sighting.upstream;
        let upstream = upstream.and_then(|life| self.lives.get(&life).copied());
        let mut reading_ms = sighting::READING_MS;
        if let Some(upstream) = upstream.filter(|_| starts) {
            let ahead = self.sightings.usage(upstream).reading_tokens;
            let name = self.upstreams[upstream].pool.clone();
            let pool = self.pools.entry(name).or_default();
            pool.estimates.record_stream_start(self.now);
            if let Some(millis) = pool.estimates.known_prefill_ms(ahead + sighting.tokens) {
                reading_ms = millis;
            }
        }
        let lives = &self.lives;
        self.sightings
            .add(sighting, false, reading_ms, lives, self.now);
    }

    /// Where a relayed request begins: behind the events that its caller has, and from the copied
    /// memory of the stream that another instance told of, if the caller had it there.
    pub(crate) fn passage(&self, relay: &request::Relay) -> request::Passage {
        let mut passage = request::Passage {
            position: relay.position,
            ..request::Passage::default()
        };
        if relay.position == 0 {
            return passage;
        }
        if let Some(sighting) = self.sightings.get(relay.prompt) {
            let find = |life: Option<Life>| self.lives.get(&life?).copied();
            passage.prefer = find(sighting.upstream);
            passage.copy = find(sighting.backup).map(|upstream| request::Copy {
                run: sighting.run.as_str().into(),
                upstream,
            });
        }
        passage
    }

    /// Whether an upstream runs relayed requests of this instance.
    pub(crate) fn is_relaying(&self, key: upstream::Key) -> bool {
        let attempt = self.upstreams[key].attempts.first();
        attempt.is_some_and(|attempt| {
            let request = self.attempts[*attempt].request;
            self.requests[request].work.relay().is_some()
        })
    }

    /// Remembers where the memory of a lost attempt was copied to. Copies begin with the first event:
    /// of 18 streams that were lost before it none had one.
    pub(crate) fn keep_copy(&mut self, attempt: &Attempt) {
        let request = &mut self.requests[attempt.request];
        let run = request.work.relay().map(|relay| relay.run.clone());
        let copy = attempt.backup.zip(run).filter(|_| attempt.started);
        request.passage.copy = copy.map(|(upstream, run)| request::Copy { run, upstream });
    }

    /// Chooses where a copy of a stream's memory is kept while it runs, and tells other instances.
    pub(crate) fn plan(&mut self, key: attempt::Key) {
        let attempt = &self.attempts[key];
        let (owner, upstream) = (attempt.request, attempt.upstream);
        let copy = self.requests[owner].passage.copy.take();
        let own = self.own_usage();
        let backup = self.backup(owner, upstream, &own);
        let ahead_tokens = self.usage(&own, upstream).reading_tokens;
        let request = &self.requests[owner];
        if let Some(pool) = self.pools.get_mut(request.service.pool()) {
            pool.estimates.record_stream_start(self.now);
        }
        let attempt = &mut self.attempts[key];
        attempt.ahead_tokens = ahead_tokens;
        attempt.copy = copy.filter(|copy| copy.upstream == upstream);
        attempt.backup = backup;
        self.tell(key, sighting::Stage::Started);
    }

    /// A relayed attempt ended without an answer.
    pub(crate) fn relay_failed(&mut self, attempt: &Attempt, failure: Failure) {
        let owner = attempt.request;
        let upstream = attempt.upstream;
        let request = &mut self.requests[owner];
        request.avoid = Some(upstream);
        let reason = match failure {
            Failure::Broken | Failure::UnknownStream => {
                request.may_have_run = true;
                self.keep_copy(attempt);
                self.blame(upstream);
                counter::Reason::Broken
            }
            Failure::Leaving => {
                self.leave(upstream);
                counter::Reason::Leaving
            }
            Failure::NotSent => {
                self.blame(upstream);
                counter::Reason::NotSent
            }
            Failure::Refused | Failure::Rejected => {
                self.upstreams[upstream].heard = self.now;
                if attempt.copy.is_none() {
                    let upstream = &mut self.upstreams[upstream];
                    upstream.trouble.add(self.now);
                    upstream.full_until = self.now.after(FULL_MS);
                }
                counter::Reason::Refused
            }
            Failure::Replaced => {
                self.blame(upstream);
                counter::Reason::Replaced
            }
        };
        self.record_call_result(attempt, false);
        self.note_lost(attempt, reason);
        if failure.not_run() {
            let passage = &mut self.requests[owner].passage;
            passage.reached = passage.reached.saturating_sub(1);
        }
        // What follows from an end may be that this request is given up.
        match failure {
            Failure::Broken => self.suspect(attempt),
            Failure::Replaced => self.replaced(upstream),
            _ => {}
        }
        self.go_on_checked(owner, upstream, reason);
    }

    /// Sends a relayed request on after its last attempt is over, if that is allowed.
    pub(crate) fn relay_again(&mut self, key: request::Key, reason: counter::Reason) {
        if self.is_guilty(self.requests[key].print) {
            self.refuse_guilty(key);
            return;
        }
        if !self.may_go_on(key) {
            self.give_up(key, Kind::Overloaded, Kind::UpstreamFailed);
            return;
        }
        let now = self.now;
        let request = &mut self.requests[key];
        if request.passage.position > 0 {
            request.passage.lost_at.get_or_insert(now);
            self.count(Counter::Resumed(reason));
        } else if self.may_retry(key, reason) {
            self.count(Counter::Retried(reason));
        } else {
            self.give_up(key, Kind::Overloaded, Kind::UpstreamFailed);
            return;
        }
        self.enqueue(key);
    }

    /// Whether another upstream may be sent a relayed request.
    fn may_go_on(&self, key: request::Key) -> bool {
        let request = &self.requests[key];
        let Some(relay) = request.service.relay() else {
            return false;
        };
        let repeatable = request.service.repeatable || !request.may_have_run;
        let resumes = relay.resumable && self.settings.relay_resume != ResumeMode::None;
        let whole = !request.passage.opened || resumes;
        let reached = request.passage.reached < relay.attempts_max.max(1);
        let sent = request.number < self.settings.attempts_max;
        repeatable && whole && reached && sent && self.now < request.deadline
    }

    /// What is sent for a relayed attempt.
    pub(crate) fn relaying(&self, key: attempt::Key) -> effect::Sending {
        let attempt = &self.attempts[key];
        let request = &self.requests[attempt.request];
        let customer = request.customer.name.as_str();
        effect::Sending::Relay {
            backup: attempt
                .backup
                .and_then(|backup| self.upstreams.get(backup))
                .map(|backup| backup.address),
            caller: request.caller,
            copy: attempt.copy.as_ref().map(|copy| copy.run.clone()),
            customer: (!customer.is_empty()).then(|| customer.into()),
            left_ms: request.deadline.since(self.now),
            position: request.passage.position,
            streams: request.service.relay().is_some_and(|relay| relay.streams),
            upstream: self.upstreams[attempt.upstream].name.clone(),
        }
    }

    /// Notes that an attempt ended without a whole answer.
    pub(crate) fn note_lost(&mut self, attempt: &Attempt, reason: counter::Reason) {
        let request = &self.requests[attempt.request];
        let what = effect::What::Lost(reason);
        let note = self.noted(request, what, Some(attempt.upstream));
        self.effects.push(note);
    }

    /// Looks for relayed requests of an upstream that is silent too long. When one stream falls
    /// silent and nothing else comes from the upstream either, all its streams have lost it.
    pub(crate) fn watch_relays(&mut self, key: upstream::Key) {
        let silent = self.now.since(self.upstreams[key].heard) > self.settings.relay_stall_ms;
        for attempt_key in self.upstreams[key].attempts.clone() {
            let Some(attempt) = self.attempts.get(attempt_key) else {
                continue;
            };
            let silence = self.now.since(attempt.last);
            let request = &self.requests[attempt.request];
            let Some(relay) = request.service.relay() else {
                continue;
            };
            let doubted = self.upstreams[key].health == Health::Suspected && silent;
            let lost = if relay.streams {
                relay.resumable && silence > self.patience(attempt, relay, doubted)
            } else {
                let spare = request.passage.reached < relay.attempts_max;
                request.service.repeatable && spare && silence > self.settings.relay_call_ms
            };
            // A prompt that is only read slowly would be read no sooner where there is no room.
            let slow = relay.streams && !attempt.started && attempt.copy.is_none() && !doubted;
            if lost && !(slow && self.lacks_capacity(request)) {
                if silent {
                    self.blame(key);
                } else {
                    self.upstreams[key].trouble.add(self.now);
                }
                self.abandon(attempt_key, counter::Reason::Stall);
            }
        }
    }

    /// Silence in milliseconds after which a stream has lost its upstream. Before its first event it
    /// waits for its prompt to be read, unless the upstream is `doubted` with all its streams.
    fn patience(&self, attempt: &Attempt, relay: &config::Relay, doubted: bool) -> u64 {
        if attempt.started {
            let request = &self.requests[attempt.request];
            let pool = self.pools.get(request.service.pool());
            let usual = pool.map_or(0, |pool| pool.estimates.event_interval_ms());
            self.settings.relay_stall_ms.max(usual * STALL_EVENTS)
        } else if doubted {
            self.settings.relay_stall_ms
        } else if attempt.copy.is_some() {
            self.settings.relay_copy_ms
        } else {
            (relay.objective_ms as f64 * self.settings.relay_first) as u64
        }
    }

    /// An upstream was lost: it is doubted here, and other instances are told.
    fn blame(&mut self, key: upstream::Key) {
        let upstream = &mut self.upstreams[key];
        upstream.trouble.add(self.now);
        self.effects.push(Effect::Blame(upstream.life));
        self.doubt(key);
    }

    /// Another instance lost an upstream. That may be its own link, so it is only one failure.
    pub(crate) fn blamed(&mut self, life: Life) {
        if let Some(key) = self.lives.get(&life) {
            self.upstreams[*key].trouble.add(self.now);
        }
    }

    /// Tells other instances of a stream that is being sent or has begun.
    fn tell(&mut self, key: attempt::Key, stage: sighting::Stage) {
        let attempt = &self.attempts[key];
        let life = |key: upstream::Key| self.upstreams.get(key).map(|upstream| upstream.life);
        let backup = attempt.backup.and_then(life);
        let upstream = life(attempt.upstream);
        if let Some(relay) = self.requests[attempt.request].work.relay() {
            let sighting = relay.sighting(stage, upstream, backup);
            self.tell_all(sighting);
        }
    }

    /// Tells other instances that a stream waits for room.
    pub(crate) fn tell_waiting(&mut self, key: request::Key) {
        let request = &self.requests[key];
        if let Some(relay) = request.work.relay() {
            let mut sighting = relay.sighting(sighting::Stage::Waiting, None, None);
            sighting.pool = request.service.pool().into();
            self.tell_all(sighting);
        }
    }

    /// Tells other instances that a stream is over, or left by its caller.
    pub(crate) fn tell_over(&mut self, request: &Request, stage: sighting::Stage) {
        if let Some(relay) = request.work.relay() {
            let sighting = relay.sighting(stage, None, None);
            self.tell_all(sighting);
        }
    }

    fn tell_all(&mut self, sighting: Sighting) {
        if sighting.prompt == 0 {
            return;
        }
        self.sightings
            .add(sighting.clone(), true, 0, &self.lives, self.now);
        self.effects.push(Effect::Tell(sighting));
    }

    /// Gives the caller the last step of a relayed answer.
    fn complete(
        &mut self,
        key: request::Key,
        upstream: upstream::Key,
        last: fn(request::Caller) -> Effect,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.hear(self.now);
        }
        let Some(request) = self.remove(key) else {
            return;
        };
        self.count(Counter::Answered);
        self.acquit(request.print);
        if !request.passage.opened {
            let wait = self.now.since(request.asked);
            self.effects.push(Effect::Timed(Timing::Answer, wait));
        }
        if let Some(pool) = self.pools.get_mut(request.service.pool())
            && let Some(relay) = request.work.relay()
        {
            pool.estimates
                .record_answer(request.passage.position, relay.answer_tokens);
        }
        self.note(&request, effect::What::Answered, Some(upstream));
        self.tell_over(&request, sighting::Stage::Ended);
        self.effects.push(last(request.caller));
        self.pump(request.service.pool());
    }
}
