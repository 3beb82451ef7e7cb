//! Requests and responses that are forwarded unchanged, and failover when an upstream is lost.
//!
//! The edge holds requests, response heads and complete responses; the core only tracks the
//! positions of events.

use super::*;

/// Multiple of the usual interval between events after which a stream counts as stalled. Busy
/// engines deliver some events late by twice that interval.
const STALL_INTERVALS: u64 = 3;

/// How long an upstream counts as full after it refused a request, in milliseconds; equals some
/// tens of engine steps.
const FULL_MS: u64 = 250;

impl Core {
    /// Handles the complete, non-streaming response to a relayed request.
    pub(crate) fn handle_response(&mut self, key: attempt::Key, verdict: event::Verdict) {
        self.record_connection(key);
        let Some(attempt) = self.remove_attempt(key) else {
            self.count(Counter::FrameLate);
            return;
        };
        let owner = attempt.request;
        self.record_call_result(&attempt, true);
        self.end_break_off(attempt.upstream);
        if verdict == event::Verdict::Fault {
            self.upstreams[attempt.upstream]
                .failure_score
                .record(self.now);
            let request = &mut self.requests[owner];
            request.may_have_run = true;
            request.avoided_upstream = Some(attempt.upstream);
            if self.may_continue(owner) && self.may_retry_error(owner) {
                self.requests[owner].progress.has_held_error =
                    !self.requests[owner].progress.is_open;
                self.remember_copy(&attempt);
                self.log_lost(&attempt, counter::Reason::Fault);
                self.retry_relay(owner, counter::Reason::Fault);
                return;
            }
        }
        if self.requests[owner].progress.is_open {
            self.fail(owner, Kind::UpstreamFailed);
            return;
        }
        self.complete(owner, attempt.upstream, Effect::ForwardResponse);
    }

    /// Whether a request that an upstream answered with an error may be retried. A request that is
    /// the cause of its error fails at every upstream, and while a service is near capacity the
    /// retry would displace a call that can still meet its deadline.
    fn may_retry_error(&self, key: request::Key) -> bool {
        let request = &self.requests[key];
        let displaces_calls =
            !request.service.streams() && self.is_at_capacity(request.service.pool());
        request.service.repeatable && (self.settings.calls.second || !displaces_calls)
    }

    /// Handles a relayed stream that ended without an error. An end without an end marker is
    /// accepted once a second upstream, asked to continue after the last event, sends no more
    /// events either; a stream without any event is not, since two upstreams may have ended before the first. An end that is
    /// not accepted, of a stream that can not be continued, reaches the caller as what it is.
    pub(crate) fn handle_stream_end(&mut self, key: attempt::Key, marked: bool) {
        let Some(attempt) = self.remove_attempt(key) else {
            self.count(Counter::FrameLate);
            return;
        };
        let owner = attempt.request;
        let progress = &mut self.requests[owner].progress;
        if !progress.is_open {
            self.fail(owner, Kind::UpstreamFailed);
            return;
        }
        let ended_before = progress.unmarked_end.replace(progress.position);
        let is_confirmed = progress.position > 0 && ended_before == Some(progress.position);
        let is_complete = marked || is_confirmed;
        if !is_complete && self.may_continue(owner) {
            self.remember_copy(&attempt);
            if self.was_cut_unread(&attempt) {
                self.log_lost(&attempt, counter::Reason::Unread);
                self.retry_relay(owner, counter::Reason::Unread);
                return;
            }
            self.log_lost(&attempt, counter::Reason::Unmarked);
            self.suspect_crash(&attempt);
            self.retry_after_crash_check(owner, attempt.upstream, counter::Reason::Unmarked);
            return;
        }
        self.record_run(&attempt);
        let effect = if is_complete {
            Effect::EndStream
        } else {
            Effect::CloseStream
        };
        self.complete(attempt.request, attempt.upstream, effect);
    }

    /// Handles the start of a relayed stream. Only the first response head is forwarded to the
    /// caller.
    pub(crate) fn handle_stream_opened(&mut self, key: attempt::Key) {
        self.record_connection(key);
        let Some(attempt) = self.attempts.get(key) else {
            self.count(Counter::FrameLate);
            return;
        };
        let (owner, upstream) = (attempt.request, attempt.upstream);
        self.upstreams[upstream].record_activity(self.now);
        self.record_taken(upstream);
        self.end_break_off(upstream);
        let request = &mut self.requests[owner];
        if !request.progress.is_open {
            request.progress.is_open = true;
            self.effects.push(Effect::ForwardHead(request.caller));
        }
    }

    /// Handles one event of a relayed stream, and forwards it to the caller if it is the next one.
    pub(crate) fn handle_stream_event(
        &mut self,
        key: attempt::Key,
        position: u64,
        bytes: Arc<[u8]>,
    ) {
        let Some(attempt) = self.attempts.get(key) else {
            self.count(Counter::FrameLate);
            return;
        };
        let (owner, upstream, first) = (attempt.request, attempt.upstream, !attempt.started);
        self.end_break_off(upstream);
        self.record_engine_interval(key);
        self.record_activity(key);
        if first {
            self.record_prefill(key);
        }
        let request = &mut self.requests[owner];
        let is_only_attempt = request.attempts == [key];
        let next = request.progress.position.saturating_add(1);
        if !self.check_invariant(is_only_attempt, Invariant::SameGeneration) {
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
        self.record_event_delay(owner);
        self.bind_origin(key);
        if first {
            self.gossip_attempt(key, stream_record::Stage::Streaming);
        }
        let request = &mut self.requests[owner];
        request.progress.position = position;
        request.progress.refusals = 0;
        let (caller, size) = (request.caller, bytes.len() as u64);
        self.effects.push(Effect::ForwardEvent { bytes, caller });
        self.hold_unread(key, size);
    }

    /// Records how long a caller waited for an event.
    fn record_event_delay(&mut self, key: request::Key) {
        let request = &mut self.requests[key];
        let timed = match (
            request.progress.lost_at.take(),
            request.progress.last_event_at,
        ) {
            (Some(lost), Some(_)) => (Timing::Resume, lost),
            (None, Some(last)) => (Timing::EventInterval, last),
            (_, None) => (Timing::FirstEvent, request.arrived_at),
        };
        request.progress.last_event_at = Some(self.now);
        let (timing, since) = timed;
        if timing == Timing::EventInterval
            && let Some(pool) = self.pools.get_mut(request.service.pool())
        {
            pool.estimates.record_event_interval(self.now.since(since));
        }
        self.effects
            .push(Effect::Observe(timing, self.now.since(since)));
    }

    /// Records the prefill time of a stream at its first event, unless it resumed from a copy.
    fn record_prefill(&mut self, key: attempt::Key) {
        let attempt = &self.attempts[key];
        let request = &self.requests[attempt.request];
        let is_full_prefill =
            attempt.copy.is_none() && request.progress.position == 0 && !self.had_to_queue(attempt);
        let duration = self.now.since(attempt.created_at);
        let name: Arc<str> = request.service.pool().into();
        let Some(pool) = self.pools.get_mut(&name).filter(|_| is_full_prefill) else {
            return;
        };
        let expected_ms = pool.estimates.prefill_ms(attempt.ahead_tokens);
        if expected_ms > 0 {
            let pace = duration as f64 / expected_ms as f64;
            self.upstreams[attempt.upstream]
                .observed
                .pace
                .record(pace, self.now);
        }
        let speed = pool
            .estimates
            .record_prefill(name, attempt.ahead_tokens, duration, self.now);
        if let Some(speed) = speed.filter(|_| self.settings.shared.paces) {
            self.effects.push(Effect::GossipSpeed(speed));
        }
    }

    /// Records the speed of a pool's engines as reported by another instance.
    pub(crate) fn record_peer_speed(&mut self, speed: &EngineSpeed) {
        let pool = self.pools.entry(speed.pool.clone()).or_default();
        pool.estimates.merge_peer_sample(speed);
    }

    /// Records the state of a stream as reported by another instance.
    fn record_peer_stream(&mut self, mut record: StreamRecord) -> StreamId {
        self.peer_heard_at = self.now;
        self.fit_rank(&mut record);
        self.record_origin(&mut record);
        let starts = record.stage == stream_record::Stage::Started;
        let upstream = record.upstream;
        let upstream = upstream
            .and_then(|incarnation| self.upstreams_by_incarnation.get(&incarnation).copied());
        let mut prefill_ms = stream_record::DEFAULT_PREFILL_MS;
        if let Some(upstream) = upstream {
            self.record_peer_progress(&record, upstream);
        }
        if let Some(upstream) = upstream.filter(|_| starts) {
            let ahead = self.stream_records.usage(upstream).prefill_tokens;
            let name = self.upstreams[upstream].pool.clone();
            self.record_peer_start(&name, &record);
            let pool = self.pools.entry(name).or_default();
            pool.estimates.record_stream_start(record.rank, self.now);
            if let Some(millis) = pool
                .estimates
                .known_prefill_ms(ahead + u64::from(record.tokens))
            {
                prefill_ms = millis;
            }
        }
        if record.stage == stream_record::Stage::Streaming
            && let Some(upstream) = upstream
        {
            self.upstreams[upstream].record_answer(self.now);
            self.end_break_off(upstream);
        }
        let upstreams = &self.upstreams_by_incarnation;
        let id = record.id();
        let source = if self.is_looked_up(id) || !self.streams_restored {
            stream_record::Source::Found
        } else {
            stream_record::Source::Announced
        };
        self.stream_records
            .add(record, source, prefill_ms, upstreams, self.now);
        // What began after the last write to the store is not read from there: where streams before the start were alike, others
        // may have been like them.
        if !self.streams_restored && self.stream_records.has_others_like(id) {
            self.stream_records.mark_incomplete(self.now);
        }
        id
    }

    /// Records the state of a stream as reported by another instance, and serves those who wait for it.
    pub(crate) fn handle_peer_stream(&mut self, record: StreamRecord) {
        let ends = matches!(
            record.stage,
            stream_record::Stage::Ended | stream_record::Stage::Left
        );
        let upstream = self.stream_records.upstream_of(record.id());
        let id = self.record_peer_stream(record);
        self.finish_lookups(&[id]);
        if let Some(upstream) = upstream.filter(|_| ends) {
            self.handle_peer_end(upstream, id);
        }
    }

    /// Records the streams that another instance found for a lookup, and serves those who wait for them. They are recorded
    /// together, so that nobody is served while only one of several streams alike is known.
    pub(crate) fn handle_found_streams(&mut self, records: Vec<StreamRecord>) {
        let ids = records
            .into_iter()
            .map(|record| self.record_peer_stream(record));
        let ids: Vec<StreamId> = ids.collect();
        self.finish_lookups(&ids);
    }

    /// Initial progress of a relayed request. A request that resumes a stream starts after the last
    /// event that its caller received, from the KV copy or the upstream that another instance
    /// reported for the stream, if it is known for certain which stream that is. `names_read` is the number of the first read of
    /// names that began behind its arrival.
    pub(crate) fn initial_progress(
        &self,
        relay: &request::Relay,
        pool: &str,
        names_read: u64,
    ) -> request::RelayProgress {
        let mut progress = request::RelayProgress {
            position: relay.position,
            run: RunId::new(&relay.run),
            ..request::RelayProgress::default()
        };
        if relay.position == 0 {
            return progress;
        }
        let taken_up = self.taken_up(relay);
        let (origin, basis) = self.origin_of(&taken_up, relay, pool, names_read);
        progress.basis = Some(basis);
        progress.origin = origin;
        if let Some(run) = relay.resumes {
            progress.run = run;
        }
        if let TakenUp::Known(id, record) = taken_up {
            progress.run = id.origin;
            let Some(record) = record else {
                return progress;
            };
            let find = |incarnation: Option<Incarnation>| {
                self.upstreams_by_incarnation.get(&incarnation?).copied()
            };
            progress.preferred_upstream = find(record.upstream);
            progress.copy = find(record.backup).map(|upstream| request::KvCopy {
                run: record.run.as_str().into(),
                upstream,
            });
        }
        progress
    }

    /// Whether an upstream runs relayed requests of this instance.
    pub(crate) fn is_relaying(&self, key: upstream::Key) -> bool {
        let attempt = self.upstreams[key].attempts.first();
        attempt.is_some_and(|attempt| {
            let request = self.attempts[*attempt].request;
            self.requests[request].work.relay().is_some()
        })
    }

    /// Remembers where the KV cache of a lost attempt was copied to. Copying begins with the first
    /// event: of 18 streams lost before it, none had a copy.
    pub(crate) fn remember_copy(&mut self, attempt: &Attempt) {
        let request = &mut self.requests[attempt.request];
        let run = request.work.relay().map(|relay| relay.run.clone());
        let copy = attempt.backup.zip(run).filter(|_| attempt.started);
        request.progress.copy = copy.map(|(upstream, run)| request::KvCopy { run, upstream });
    }

    /// Chooses the upstream that keeps a copy of a stream's KV cache, and announces the stream to
    /// other instances.
    pub(crate) fn prepare_relay(&mut self, key: attempt::Key) {
        let attempt = &self.attempts[key];
        let (owner, upstream) = (attempt.request, attempt.upstream);
        let copy = self.requests[owner].progress.copy.take();
        let own = self.own_usage();
        let backup = self.choose_backup(owner, upstream, &own);
        let usage = self.usage(&own, upstream);
        let request = &self.requests[owner];
        if let Some(pool) = self.pools.get_mut(request.service.pool()) {
            pool.estimates.record_stream_start(request.rank, self.now);
            pool.estimates.record_own_start(self.now);
        }
        let attempt = &mut self.attempts[key];
        attempt.ahead_streams = usage.running.saturating_sub(1);
        attempt.ahead_tokens = usage.prefill_tokens;
        attempt.copy = copy.filter(|copy| copy.upstream == upstream);
        attempt.backup = backup;
        self.gossip_attempt(key, stream_record::Stage::Started);
    }

    /// Handles a relayed attempt that ended without a response.
    pub(crate) fn handle_relay_failure(&mut self, attempt: &Attempt, failure: Failure) {
        let owner = attempt.request;
        let upstream = attempt.upstream;
        let is_cut_unread = failure == Failure::Broken && self.was_cut_unread(attempt);
        let request = &mut self.requests[owner];
        let says_nothing = is_cut_unread || matches!(failure, Failure::NoTunnel { .. });
        request.avoided_upstream = (!says_nothing).then_some(upstream);
        let reason = match failure {
            // The upstream is well: it closes streams that are not read.
            Failure::Broken if is_cut_unread => {
                request.may_have_run = true;
                self.remember_copy(attempt);
                counter::Reason::Unread
            }
            Failure::Broken | Failure::UnknownStream => {
                request.may_have_run = true;
                self.remember_copy(attempt);
                self.handle_break_off(owner, attempt);
                counter::Reason::Broken
            }
            Failure::Leaving => {
                self.mark_leaving(upstream);
                counter::Reason::Leaving
            }
            Failure::NotSent => {
                self.handle_not_connected(attempt);
                counter::Reason::NotSent
            }
            Failure::NoTunnel { named } => {
                self.handle_no_tunnel(attempt, named);
                counter::Reason::NoTunnel
            }
            Failure::Refused | Failure::Rejected => {
                self.upstreams[upstream].last_heard = self.now;
                self.upstreams[upstream].record_answer(self.now);
                self.end_break_off(upstream);
                if attempt.copy.is_none() {
                    let full_ms = self.full_ms(upstream, FULL_MS);
                    let upstream = &mut self.upstreams[upstream];
                    upstream.failure_score.record(self.now);
                    upstream.full_until = self.now.after(full_ms);
                    self.record_refusal(attempt.upstream);
                }
                counter::Reason::Refused
            }
            // Recorded and announced below, together with the proof of its end.
            Failure::Replaced => {
                request.progress.ends_met += 1;
                counter::Reason::Replaced
            }
        };
        // What this instance's own link does to calls is no sign that the upstreams are overloaded.
        if !(reason.reached_no_upstream() && self.is_cut_off()) {
            self.record_call_result(attempt, false);
        }
        self.log_lost(attempt, reason);
        if failure.was_not_executed() {
            let progress = &mut self.requests[owner].progress;
            progress.upstreams_reached = progress.upstreams_reached.saturating_sub(1);
            self.record_not_run(owner, reason);
        }
        // The crash suspicion may lead to the failure of this request.
        match failure {
            Failure::Broken if !is_cut_unread => self.suspect_crash(attempt),
            Failure::Replaced => self.handle_proven_end(upstream),
            _ => {}
        }
        self.retry_after_crash_check(owner, upstream, reason);
    }

    /// Retries or resumes a relayed request after its last attempt ended, if that is permitted.
    pub(crate) fn retry_relay(&mut self, key: request::Key, reason: counter::Reason) {
        if self.is_quarantined(self.requests[key].request_fingerprint) {
            self.refuse_quarantined(key);
            return;
        }
        let unsent = self.unsent_kind();
        if let Some(bound) = self.reached_bound(key) {
            self.note_bound(key, bound);
            self.give_up(key, unsent, Kind::UpstreamFailed);
            return;
        }
        if let Err(refusal) = self.check_origin(&self.requests[key]) {
            self.note_bound(key, Bound::Version);
            self.give_up(key, refusal.kind, Kind::UpstreamFailed);
            return;
        }
        if self.gives_up_unfinishable(key) {
            return;
        }
        let resumes = self.requests[key].progress.position > 0;
        if resumes && self.waits_for_reader(key, reason) {
            return;
        }
        if !self.may_take_attempt(key, resumes, reason) {
            if self.may_wait_for_permit(key, reason) {
                self.wait_for_permit(key, reason);
                self.enqueue(key);
            } else {
                self.note_bound(key, Bound::Permits);
                self.give_up(key, unsent, Kind::UpstreamFailed);
            }
            return;
        }
        if resumes {
            let progress = &mut self.requests[key].progress;
            progress.lost_at.get_or_insert(self.now);
            self.count(Counter::Resumed(reason));
        } else {
            self.count(Counter::Retried(reason));
        }
        self.enqueue(key);
    }

    /// Message that a relayed attempt sends to its upstream.
    pub(crate) fn relay_outbound(&self, key: attempt::Key) -> effect::Outbound {
        let attempt = &self.attempts[key];
        let request = &self.requests[attempt.request];
        let customer = request.customer.name.as_str();
        effect::Outbound::Relay {
            backup: attempt
                .backup
                .and_then(|backup| self.upstreams.get(backup))
                .map(|backup| backup.address),
            caller: request.caller,
            copy: attempt.copy.as_ref().map(|copy| copy.run.clone()),
            customer: (!customer.is_empty()).then(|| customer.into()),
            left_ms: request.deadline.since(self.now),
            path: attempt.path,
            position: request.progress.position,
            priority: request.rank.map(Rank::number),
            streams: request.service.relay().is_some_and(|relay| relay.streams),
            upstream: self.upstreams[attempt.upstream].name.clone(),
        }
    }

    /// Logs that an attempt ended without a complete response.
    pub(crate) fn log_lost(&mut self, attempt: &Attempt, reason: counter::Reason) {
        let request = &self.requests[attempt.request];
        let step = effect::Step::Lost(reason);
        let entry = self.log_effect(request, step, Some(attempt.upstream));
        self.effects.push(entry);
    }

    /// Abandons the relayed attempts of an upstream that have been silent for too long. If one
    /// stream is silent and the upstream sends nothing else either, all its streams count as lost.
    pub(crate) fn check_relay_stalls(&mut self, key: upstream::Key) {
        self.retry_streams_of_ended(key);
        let silent = self.now.since(self.upstreams[key].last_heard) > self.settings.relay_stall_ms;
        for attempt_key in self.upstreams[key].attempts.clone() {
            let Some(attempt) = self.attempts.get(attempt_key) else {
                continue;
            };
            if attempt.reading == Reading::Paused {
                continue;
            }
            let silence = self.now.since(attempt.last_event_at);
            let request = &self.requests[attempt.request];
            let Some(relay) = request.service.relay() else {
                continue;
            };
            let suspected = self.upstreams[key].health == Health::Suspected && silent;
            let uses_evidence = self.settings.liveness == LivenessMethod::Evidence;
            if relay.streams && uses_evidence {
                self.check_stream_evidence(attempt_key);
                continue;
            }
            let lost = if relay.streams {
                relay.resumable && silence > self.stall_timeout_ms(attempt, relay, suspected)
            } else {
                silence > self.settings.relay_call_ms
            };
            let is_call = !relay.streams;
            // Without capacity elsewhere, a slow prefill would not finish sooner on another
            // upstream.
            let slow = relay.streams && !attempt.started && attempt.copy.is_none() && !suspected;
            if lost && !(slow && self.lacks_capacity(request)) {
                if is_call && !self.may_call_elsewhere(attempt_key) {
                    continue;
                }
                if silent {
                    self.report_loss(key, LossSource::Silence);
                } else {
                    self.upstreams[key].failure_score.record(self.now);
                }
                self.abandon(attempt_key, counter::Reason::Stall);
            }
        }
    }

    /// Whether a call may leave its silent upstream: it may be sent once more, and another upstream takes it.
    fn may_call_elsewhere(&mut self, key: attempt::Key) -> bool {
        if !self.may_leave(key) {
            return false;
        }
        let attempt = &self.attempts[key];
        let candidates = self.relay_candidates(&self.requests[attempt.request]);
        candidates.iter().any(|other| *other != attempt.upstream)
    }

    /// Time without events after which a stream counts as stalled, in milliseconds. Before the
    /// first event it includes the prefill, unless the whole upstream is `suspected`.
    fn stall_timeout_ms(&self, attempt: &Attempt, relay: &config::Relay, suspected: bool) -> u64 {
        if attempt.started {
            let request = &self.requests[attempt.request];
            let pool = self.pools.get(request.service.pool());
            let interval = pool.map_or(0, |pool| pool.estimates.event_interval_ms());
            self.settings.relay_stall_ms.max(interval * STALL_INTERVALS)
        } else if suspected {
            self.settings.relay_stall_ms
        } else if attempt.copy.is_some() {
            self.settings.relay_copy_ms
        } else {
            (relay.objective_ms as f64 * self.settings.relay_first) as u64
        }
    }

    /// Kind of error for a request that was not sent to any upstream.
    fn unsent_kind(&self) -> Kind {
        if self.is_cut_off() {
            Kind::NoUpstream
        } else {
            Kind::Overloaded
        }
    }

    /// Marks an upstream that this instance lost as suspected, and announces the loss to other instances once this one has
    /// reached another upstream. If it is cut off, it says nothing of the upstream.
    pub(crate) fn report_loss(&mut self, key: upstream::Key, source: LossSource) {
        if self.is_cut_off() {
            return;
        }
        self.record_loss(key, source);
        if self.may_announce(key, Announcement::Loss, self.now) {
            let incarnation = self.upstreams[key].incarnation;
            self.effects.push(Effect::GossipLost(incarnation));
        }
    }

    /// Marks an upstream that was lost as suspected.
    pub(crate) fn record_loss(&mut self, key: upstream::Key, source: LossSource) {
        self.losses.record(key, source, self.now);
        self.upstreams[key].failure_score.record(self.now);
        self.mark_suspected(key);
    }

    /// Records the loss of an upstream as reported by another instance. The cause may be that
    /// instance's own network link, so the report counts as a single failure, and the upstream is
    /// avoided only while others are left.
    pub(crate) fn record_peer_loss(&mut self, incarnation: Incarnation) {
        self.peer_heard_at = self.now;
        let Some(key) = self.upstreams_by_incarnation.get(&incarnation).copied() else {
            return;
        };
        self.losses.record(key, LossSource::Peer, self.now);
        let upstream = &mut self.upstreams[key];
        upstream.failure_score.record(self.now);
        if self.settings.shared.losses {
            upstream.record_reported_loss(self.settings.probe_ms, self.now);
        }
    }

    /// Announces a stream that is being sent or has begun to other instances.
    fn gossip_attempt(&mut self, key: attempt::Key, stage: stream_record::Stage) {
        let attempt = &self.attempts[key];
        let incarnation =
            |key: upstream::Key| self.upstreams.get(key).map(|upstream| upstream.incarnation);
        let backup = attempt.backup.and_then(incarnation);
        let upstream = incarnation(attempt.upstream);
        let request = &self.requests[attempt.request];
        if let Some(relay) = request.work.relay() {
            let mut record = relay.stream_record(stage, upstream, backup);
            record.rank = request.rank;
            record.set_origin(&request.progress, attempt.version);
            let audience = self.audience(request.service.pool(), stage);
            self.gossip(record, audience);
        }
    }

    /// Announces to other instances that a stream is queued for lack of capacity.
    pub(crate) fn gossip_waiting(&mut self, key: request::Key) {
        self.requests[key].announced_at = Some(self.now);
        let request = &self.requests[key];
        if let Some(relay) = request.work.relay() {
            let mut record = relay.stream_record(stream_record::Stage::Waiting, None, None);
            record.set_origin(&request.progress, Version::UNSTATED);
            record.pool = request.service.pool().into();
            let turn = self.turn(request);
            record.rank = turn.map(|turn| turn.rank);
            record.start_within_ms = turn.map(|turn| turn.start_by.since(self.now));
            let audience = self.audience(request.service.pool(), record.stage);
            self.gossip(record, audience);
        }
    }

    /// Announces to other instances that a stream ended, or that its caller left.
    pub(crate) fn gossip_end(&mut self, request: &Request, stage: stream_record::Stage) {
        if let Some(relay) = request.work.relay() {
            let mut record = relay.stream_record(stage, None, None);
            record.set_origin(&request.progress, Version::UNSTATED);
            let audience = self.audience(request.service.pool(), stage);
            self.gossip(record, audience);
        }
    }

    fn gossip(&mut self, record: StreamRecord, audience: Audience) {
        self.origins
            .record(record.id(), record.version, record.has_begun, self.now);
        if record.prompt == 0 {
            return;
        }
        self.stream_records.add(
            record.clone(),
            stream_record::Source::Own,
            0,
            &self.upstreams_by_incarnation,
            self.now,
        );
        self.effects.push(Effect::GossipStream { audience, record });
    }

    /// Completes a relayed request: ends the caller's response with the effect that `last` creates.
    fn complete(
        &mut self,
        key: request::Key,
        upstream: upstream::Key,
        last: fn(request::Caller) -> Effect,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(upstream) {
            upstream.record_activity(self.now);
        }
        let Some(request) = self.remove(key) else {
            return;
        };
        let relay = request.work.relay();
        let freed = relay.map(|relay| relay.stream_id(request.progress.run));
        self.offer_slot(upstream, freed.unwrap_or_default());
        self.count(Counter::Answered);
        self.record_duration(&request);
        self.clear_suspicion(request.request_fingerprint);
        if !request.progress.is_open {
            let wait = self.now.since(request.arrived_at);
            self.effects.push(Effect::Observe(Timing::Answer, wait));
        }
        if let Some(pool) = self.pools.get_mut(request.service.pool())
            && let Some(relay) = request.work.relay()
        {
            pool.estimates
                .record_answer(request.progress.position, relay.max_answer_tokens);
        }
        self.log_step(&request, effect::Step::Answered, Some(upstream));
        self.gossip_end(&request, stream_record::Stage::Ended);
        self.effects.push(last(request.caller));
        self.dispatch_queued(request.service.pool());
    }
}
