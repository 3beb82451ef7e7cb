//! Observation of engines with relayed streams, and departures of streams from those that are silent.

use super::*;
use liveness::{
    Departure, Evidence, Expectation, Hints, Judgement, Neighbourhood, Prefill, Stakes,
};

/// Multiple of its expected interval within which an engine counts as heard from.
const HEARD_INTERVALS: f64 = 1.5;

/// Factor on the timeout of the first event for a prefill that is slower than expected on an engine
/// that is probably alive. Twice the timeout exceeds the longest prefill on a slow engine.
const SLOW_PREFILL_FACTOR: u64 = 2;

/// Interval between two looks for a place for a stream that stays at a silent upstream, in milliseconds: each goes through its
/// pool.
const PLACE_CHECK_MS: u64 = 50;

impl Core {
    /// Records the interval that ends with an event of a stream, before the event itself.
    pub(crate) fn record_engine_interval(&mut self, key: attempt::Key) {
        let attempt = &self.attempts[key];
        if !attempt.started {
            return;
        }
        let millis = self.now.since(attempt.last_event_at);
        let key = attempt.upstream;
        let prefill = self.observe_prefill(key);
        let upstream = &mut self.upstreams[key];
        if let Some(pool) = self.pools.get_mut(&upstream.pool) {
            pool.intervals
                .record(millis, prefill, &mut upstream.observed.pace, self.now);
        }
    }

    /// Records what the report of another instance shows of an engine: that it is alive, and how
    /// fast it prefills.
    pub(crate) fn record_peer_progress(&mut self, record: &StreamRecord, key: upstream::Key) {
        if record.stage != stream_record::Stage::Streaming {
            return;
        }
        let pool = self.pools.get(&self.upstreams[key].pool);
        let is_speed_known = pool.is_some_and(|pool| pool.estimates.known_prefill_ms(1).is_some());
        let pace = self.stream_records.prefill_pace(record, self.now);
        let pace = pace.filter(|_| is_speed_known);
        let observed = &mut self.upstreams[key].observed;
        observed.peer_heard_at = self.now;
        if let Some(pace) = pace {
            observed.pace.record(pace, self.now);
        }
    }

    /// Lets a stream leave its engine if the engine is judged dead, or the stream stuck.
    pub(crate) fn check_stream_evidence(&mut self, key: attempt::Key) {
        let attempt = &self.attempts[key];
        let upstream = attempt.upstream;
        let silent_ms = self.now.since(attempt.last_event_at);
        let request = &self.requests[attempt.request];
        let is_resumable = request.service.relay().is_some_and(|relay| relay.resumable);
        if !is_resumable || silent_ms <= liveness::MIN_DARK_SILENCE_MS {
            return;
        }
        if self.now < self.attempts[key].stays_until {
            return;
        }
        // A stream that may go on nowhere else would be cut, while its upstream may speak again.
        if !self.may_leave(key) {
            return;
        }
        let Some((departure, is_dead)) = self.departure(key, silent_ms) else {
            return;
        };
        if self.stays_for_lack_of_place(key, silent_ms) {
            self.attempts[key].stays_until = self.now.after(PLACE_CHECK_MS);
            if is_dead {
                self.report_silent(key);
            }
            return;
        }
        if is_dead {
            let source = if self.attempts[key].started {
                self.upstreams[upstream].observed.judged_dead_at = Some(self.now);
                LossSource::Silence
            } else {
                LossSource::FirstEvent
            };
            self.report_loss(upstream, source);
        } else {
            self.upstreams[upstream].failure_score.record(self.now);
        }
        self.count(Counter::LeftSilent(departure.evidence));
        let owner = self.attempts[key].request;
        self.requests[owner].progress.departures += 1;
        let step = effect::Step::LeftSilent(departure);
        let request = &self.requests[self.attempts[key].request];
        let entry = self.log_effect(request, step, Some(upstream));
        self.effects.push(entry);
        self.abandon(key, counter::Reason::Stall);
    }

    /// Whether a stream that has begun stays at a silent upstream since no other is known to have a place for it. The
    /// upstream may be sound, and then goes on sooner than a place is found. It is not sound if its connection broke or it
    /// is no longer listed.
    fn stays_for_lack_of_place(&self, key: attempt::Key, silent_ms: u64) -> bool {
        let attempt = &self.attempts[key];
        let request = &self.requests[attempt.request];
        if !request.progress.is_open || silent_ms >= self.stakes(key).max_stay_ms() {
            return false;
        }
        let is_broken = |loss: &liveness::Loss| {
            loss.upstream == attempt.upstream && loss.source == LossSource::Connection
        };
        let is_ended = self.upstreams[attempt.upstream].leaving
            || self.losses.recent(silent_ms, self.now).any(is_broken);
        !is_ended && !self.has_place_beside(request, attempt.upstream)
    }

    /// Reports an upstream at which streams stay although it is judged dead, once per silence, so that no new ones are sent
    /// there.
    fn report_silent(&mut self, key: attempt::Key) {
        let attempt = &self.attempts[key];
        let upstream = &mut self.upstreams[attempt.upstream];
        let judged_at = upstream.observed.judged_dead_at;
        if !attempt.started || judged_at.is_some_and(|at| at > upstream.last_heard) {
            return;
        }
        upstream.observed.judged_dead_at = Some(self.now);
        self.report_loss(attempt.upstream, LossSource::Silence);
    }

    /// Why a stream should leave its engine, and whether the engine itself is judged dead; `None` if
    /// the stream should wait.
    fn departure(&mut self, key: attempt::Key, silent_ms: u64) -> Option<(Departure, bool)> {
        let attempt = &self.attempts[key];
        let (started, upstream) = (attempt.started, attempt.upstream);
        let engine_silent_ms = self.now.since(self.upstreams[upstream].last_heard);
        let is_engine_silent = engine_silent_ms >= silent_ms.min(self.settings.relay_stall_ms);
        let hints = self.hints(upstream, started, silent_ms);
        let (judgement, expectation) = if started {
            let expectation = self.expectation(upstream);
            let stakes = self.stakes(key);
            let stall_ms = self.settings.relay_stall_ms;
            let judgement = liveness::judge(silent_ms, &expectation, hints, stakes, stall_ms);
            (judgement, expectation)
        } else {
            self.judge_first_event(key, silent_ms, hints)
        };
        let is_overdue = !started && self.is_first_event_overdue(key, silent_ms, judgement.dead);
        if !judgement.leaves && !is_overdue {
            return None;
        }
        let is_dead = is_engine_silent && judgement.dead >= liveness::DEAD;
        let evidence = match (judgement.leaves, is_engine_silent) {
            (false, _) => Evidence::FirstEvent,
            (true, _) if judgement.is_dark => Evidence::DataCentre,
            (true, true) => Evidence::Engine,
            (true, false) => Evidence::Stream,
        };
        let departure = Departure {
            dead_percent: (judgement.dead * 100.0) as u32,
            evidence,
            expected_ms: expectation.expected_ms as u64,
            has_copy: self.stakes(key).has_copy,
            late_ms: self.tardiness.longest_ms(self.now),
            silent_ms,
            unheard_ms: engine_silent_ms,
        };
        Some((departure, is_dead))
    }

    /// Judges the engine of a stream that has received no event yet.
    fn judge_first_event(
        &mut self,
        key: attempt::Key,
        silent_ms: u64,
        hints: Hints,
    ) -> (Judgement, Expectation) {
        let attempt = &self.attempts[key];
        let upstream = &self.upstreams[attempt.upstream];
        let pool = self.pools.get(&upstream.pool);
        let ahead_tokens = if attempt.copy.is_some() {
            0
        } else {
            attempt.ahead_tokens
        };
        let prefill_ms = pool.and_then(|pool| pool.estimates.known_prefill_ms(ahead_tokens));
        let prefill_ms = match prefill_ms {
            Some(millis) if millis > 0 => millis,
            _ => self.first_event_timeout_ms(key),
        };
        let prefill_ms = prefill_ms.saturating_add(self.expected_queue_ms(key, hints));
        let pace = upstream.observed.pace.get(self.now);
        let intervals = pool.map(|pool| pool.intervals).unwrap_or_default();
        let expectation = intervals.first_event(prefill_ms, pace);
        let engine_survival = self.engine_survival(attempt.upstream);
        let stall_ms = self.settings.relay_stall_ms;
        let judgement =
            liveness::judge_prefill(silent_ms, &expectation, hints, engine_survival, stall_ms);
        (judgement, expectation)
    }

    /// Time without a first event after which a stream leaves an engine that may be alive, in
    /// milliseconds.
    pub(crate) fn first_event_timeout_ms(&self, key: attempt::Key) -> u64 {
        let attempt = &self.attempts[key];
        let request = &self.requests[attempt.request];
        let objective_ms = request
            .service
            .relay()
            .map_or(0, |relay| relay.objective_ms);
        if attempt.copy.is_some() {
            self.settings.relay_copy_ms
        } else {
            (objective_ms as f64 * self.settings.relay_first) as u64
        }
    }

    /// Whether a stream without a first event should be sent to another engine although its own may
    /// be alive. Without capacity elsewhere, a slow prefill would not finish sooner there. The prefill
    /// of an engine that is probably alive is nearly done by then.
    fn is_first_event_overdue(&self, key: attempt::Key, silent_ms: u64, dead: f64) -> bool {
        let attempt = &self.attempts[key];
        let request = &self.requests[attempt.request];
        let timeout_ms = self.first_event_timeout_ms(key);
        let is_prefilling = attempt.copy.is_none() && self.is_prefill_speed_known(key);
        let timeout_ms = if is_prefilling && dead < liveness::PROBABLY_DEAD {
            timeout_ms * SLOW_PREFILL_FACTOR
        } else {
            timeout_ms
        };
        let timeout_ms = timeout_ms + self.expected_queue_ms(key, Hints::default());
        silent_ms > timeout_ms && (attempt.copy.is_some() || !self.lacks_capacity(request))
    }

    /// Whether the prefill speed of an attempt's engines is known.
    fn is_prefill_speed_known(&self, key: attempt::Key) -> bool {
        let upstream = &self.upstreams[self.attempts[key].upstream];
        let pool = self.pools.get(&upstream.pool);
        pool.is_some_and(|pool| pool.estimates.known_prefill_ms(1).is_some())
    }

    /// Probability that an engine that is alive is as silent as one that a stream left as dead; 1 if
    /// none did, or something was received since.
    fn engine_survival(&mut self, key: upstream::Key) -> f64 {
        let upstream = &self.upstreams[key];
        let last_heard = upstream.last_heard;
        let is_judged_dead = upstream
            .observed
            .judged_dead_at
            .is_some_and(|at| last_heard <= at);
        if !is_judged_dead {
            return 1.0;
        }
        let silent_ms = self.now.since(last_heard);
        let expectation = self.expectation(key);
        if expectation.is_long(silent_ms) {
            expectation.survival(silent_ms)
        } else {
            1.0
        }
    }

    /// Distribution of the next interval between events of an engine.
    fn expectation(&mut self, key: upstream::Key) -> Expectation {
        let prefill = self.observe_prefill(key);
        let upstream = &self.upstreams[key];
        let pool = self.pools.get(&upstream.pool);
        let intervals = pool.map(|pool| pool.intervals).unwrap_or_default();
        intervals.expectation(prefill, upstream.observed.pace.get(self.now))
    }

    /// Whether an engine prefills a prompt, by this instance's streams and the records of others.
    fn observe_prefill(&mut self, key: upstream::Key) -> Prefill {
        let upstream = &self.upstreams[key];
        let is_prefilling = |key: &attempt::Key| {
            let attempt = &self.attempts[*key];
            !attempt.started && attempt.copy.is_none()
        };
        let is_running = self.stream_records.usage(key).prefilling > 0
            || upstream.attempts.iter().any(is_prefilling);
        let observed = &mut self.upstreams[key].observed;
        let prefill = Prefill::observed(is_running, observed.prefilled_at, self.now);
        if is_running {
            observed.prefilled_at = Some(self.now);
        }
        prefill
    }

    /// Evidence on an engine besides the silence of a stream.
    fn hints(&mut self, key: upstream::Key, started: bool, silent_ms: u64) -> Hints {
        let is_lost = |loss: &liveness::Loss| loss.upstream == key && loss.source.is_of_engine();
        let lost = self.losses.recent(silent_ms, self.now).any(is_lost);
        // The many streams in prefill need no look at all others as long as nothing was lost.
        let is_quiet = !started && self.losses.recent(silent_ms, self.now).next().is_none();
        let neighbourhood = if is_quiet {
            Neighbourhood::default()
        } else {
            self.neighbourhood(key, silent_ms)
        };
        let peer_heard_at = self.upstreams[key].observed.peer_heard_at;
        Hints {
            neighbourhood,
            peer_heard: self.now.since(peer_heard_at) < silent_ms,
            lost,
        }
    }

    /// What the other engines in the data centre of a silent one do.
    fn neighbourhood(&mut self, key: upstream::Key, silent_ms: u64) -> Neighbourhood {
        let mut neighbourhood = Neighbourhood::default();
        let is_link_up = self.is_link_up(key, silent_ms);
        let counts = |loss: &&liveness::Loss| is_link_up && loss.source == LossSource::Silence;
        let lost = self.losses.recent(silent_ms, self.now).filter(counts);
        let lost = lost.map(|loss| loss.upstream);
        let lost: BTreeSet<upstream::Key> = lost
            .filter(|other| self.is_neighbour(key, *other))
            .collect();
        for _ in &lost {
            neighbourhood.add_lost();
        }
        let streaming = self.streaming_upstreams();
        for other in streaming.difference(&lost) {
            if !self.is_neighbour(key, *other) {
                continue;
            }
            if self.was_heard(*other, silent_ms) {
                neighbourhood.add_heard();
            } else if is_link_up {
                let other_silent_ms = self.now.since(self.upstreams[*other].last_heard);
                let expectation = self.expectation(*other);
                neighbourhood.add_silent(expectation.survival(other_silent_ms));
            }
        }
        neighbourhood
    }

    /// Whether this instance's own link worked during the silence of an engine: something arrived
    /// from another instance, or from another data centre. Otherwise the silence of several engines
    /// is no evidence on their data centre.
    fn is_link_up(&mut self, key: upstream::Key, silent_ms: u64) -> bool {
        if self.is_cut_off() {
            return false;
        }
        if self.now.since(self.peer_heard_at) < silent_ms / 2 {
            return true;
        }
        let others = self.streaming_upstreams().into_iter();
        let others: Vec<upstream::Key> = others
            .filter(|other| *other != key && !self.is_neighbour(key, *other))
            .collect();
        others
            .into_iter()
            .any(|other| self.was_heard(other, silent_ms))
    }

    /// Whether an engine sent an event during the later half of the silence of another one, and not
    /// longer ago than usual.
    fn was_heard(&mut self, key: upstream::Key, silent_ms: u64) -> bool {
        let own_silent_ms = self.now.since(self.upstreams[key].last_heard) as f64;
        let usual_ms = self.expectation(key).expected_ms * HEARD_INTERVALS;
        own_silent_ms < usual_ms.min(silent_ms as f64 / 2.0)
    }

    /// Whether two different upstreams are in the same pool and data centre.
    fn is_neighbour(&self, key: upstream::Key, other: upstream::Key) -> bool {
        let (Some(upstream), Some(neighbour)) =
            (self.upstreams.get(key), self.upstreams.get(other))
        else {
            return false;
        };
        key != other
            && upstream.data_centre == neighbour.data_centre
            && upstream.pool == neighbour.pool
    }

    /// Upstreams that have sent an event of a running stream of this instance.
    fn streaming_upstreams(&self) -> BTreeSet<upstream::Key> {
        let streaming = self.attempts.values().filter(|attempt| attempt.started);
        let streaming = streaming.map(|attempt| attempt.upstream);
        streaming
            .filter(|key| self.upstreams.contains_key(*key))
            .collect()
    }

    /// What it means for a stream to be moved.
    fn stakes(&self, key: attempt::Key) -> Stakes {
        let attempt = &self.attempts[key];
        let request = &self.requests[attempt.request];
        let holder = attempt.backup.and_then(|backup| self.upstreams.get(backup));
        let is_usable = holder.is_some_and(|holder| holder.health == Health::Live);
        Stakes {
            gap_objective_ms: request
                .service
                .relay()
                .map_or(0, |relay| relay.event_interval_objective_ms),
            has_copy: attempt.started && is_usable,
        }
    }
}
