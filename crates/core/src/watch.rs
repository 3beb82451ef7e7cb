//! Monitoring of upstreams: the platform's list, shutdown, load reports, probes, stalls and deadlines.

use super::*;

/// Age of a load report that arrives along with tokens, in milliseconds.
const PIGGYBACKED_LAG_MS: u64 = 5;

/// Length of a pause of this instance after which its list counts as outdated, in milliseconds.
const LIST_STALE_MS: u64 = 2_000;

/// Time to wait for a fresh list after such a pause, in milliseconds.
const LIST_WAIT_MS: u64 = 3_000;

/// Silence after which a request leaves an upstream that is taken to be lost also where that ends it, in milliseconds. A sound
/// upstream may be silent for a second or so; where its answers no longer arrive, callers of requests that may run once must
/// be told that the outcome is unknown.
const SILENT_END_MS: u64 = 5_000;

/// Interval of the checks for expired requests, in milliseconds.
const EXPIRY_CHECK_MS: u64 = 50;

impl Core {
    /// Applies a load report that came along with tokens, and postpones the next probe.
    pub(crate) fn apply_piggybacked_load(&mut self, attempt: attempt::Key, load: Load) {
        let Some(attempt) = self.attempts.get(attempt) else {
            return;
        };
        self.apply_upstream_load(attempt.upstream, load);
    }

    /// Applies a load report that an upstream sent along with a response, and postpones the next probe.
    pub(crate) fn apply_upstream_load(&mut self, key: upstream::Key, load: Load) {
        let next = self.now.after(self.settings.load_ms);
        self.upstreams[key].next_probe = next;
        self.apply_load(key, load, PIGGYBACKED_LAG_MS);
    }

    /// Marks a live upstream as suspected after a failure, and probes it at once.
    pub(crate) fn mark_suspected(&mut self, key: upstream::Key) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        if upstream.health != Health::Live {
            return;
        }
        upstream.health = Health::Suspected;
        upstream.suspected_until = self.now.after(self.settings.probe_ms);
        self.suspected.insert(key);
        self.count(Counter::Suspected);
        self.log_status_change(key, effect::StatusChange::Suspected);
        if self.settings.probes {
            self.send_probe(key);
        }
    }

    /// Handles a hint that an upstream is leaving, which the platform's list may not show yet.
    pub(crate) fn apply_leaving_hint(&mut self, name: &str) {
        if let Some(key) = self.upstream_by_name(Incarnation::new(name, 0)) {
            self.mark_leaving(key);
        }
    }

    /// Gives an upstream no new work for a while, whatever the platform's list says, and announces it to the peers.
    pub(crate) fn mark_leaving(&mut self, key: upstream::Key) {
        if self.set_leaving_hint(key) {
            let upstream = &self.upstreams[key];
            self.effects.push(Effect::GossipLeaving {
                incarnation: upstream.incarnation,
                name: upstream.name.clone(),
            });
        }
    }

    /// Gives an upstream no new work for a while, whatever the platform's list says; returns whether it was not leaving
    /// before.
    pub(crate) fn set_leaving_hint(&mut self, key: upstream::Key) -> bool {
        let until = self.now.after(self.settings.leaving_hint_ms);
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return false;
        };
        let is_new = !upstream.is_leaving(self.now);
        upstream.leaving_until = until;
        if is_new {
            self.log_status_change(key, effect::StatusChange::Leaving);
        }
        is_new
    }

    /// Handles the result of a probe.
    pub(crate) fn apply_probe_result(&mut self, key: upstream::Key, alive: bool) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let Some(sent_at) = upstream.probe_sent.take() else {
            return;
        };
        let wait = if alive {
            self.settings.load_ms
        } else {
            self.settings.probe_ms
        };
        upstream.next_probe = self.now.after(wait);
        if alive && self.ended.contains(upstream.incarnation, upstream.address) {
            // Its successor at the address answered.
        } else if alive {
            upstream.health = Health::Live;
            let pool = upstream.pool.clone();
            self.dispatch_queued(&pool);
        } else if upstream.last_heard <= sent_at {
            self.mark_lost(key);
        }
    }

    /// Assumes that an upstream which refused work is full until its next load report.
    pub(crate) fn mark_full(&mut self, key: upstream::Key) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let missing = i64::from(upstream.slots()) - i64::from(upstream.estimated_load());
        upstream.adjust_load(missing.max(0), self.now);
        upstream.next_probe = self.now;
    }

    /// Applies the load report in the response to a probe.
    pub(crate) fn apply_load_report(&mut self, upstream: upstream::Key, load: Load) {
        self.apply_load(upstream, load, self.settings.report_lag_ms);
    }

    /// Performs all time-dependent work.
    pub(crate) fn tick(&mut self) {
        let due = self.due_upstreams();
        self.upstream_visits += due.len() as u64;
        for key in due {
            if self.settings.probes {
                self.check_probe(key);
            } else {
                self.expire_suspected(key);
            }
            self.check_streams(key);
        }
        self.check_connectivity();
        self.retry_claims();
        self.expire_crash_suspects();
        self.submit_deferred();
        self.gossip_demand();
        self.announce_ended();
        if self.now.since(self.expiry_checked_at) >= EXPIRY_CHECK_MS {
            self.expiry_checked_at = self.now;
            self.remove_departed();
            self.expire_lookups();
            self.hold_back_inactive_versions();
            self.update_names();
            self.schedule_limit_probes();
            self.expire_requests();
            self.refuse_unfinishable();
        }
        self.give_up_unread();
        self.dispatch_all();
    }

    /// The upstreams that a tick concerns: those with attempts, those that may recover, and if upstreams are probed, all.
    /// A tick must not visit the others: hundreds of instances would look at ten thousand idle upstreams a hundred
    /// times a second.
    fn due_upstreams(&self) -> Vec<upstream::Key> {
        if self.settings.probes {
            return self.upstreams.keys().collect();
        }
        let busy = self.attempts.values().map(|attempt| attempt.upstream);
        let busy = busy.filter(|key| self.upstreams.contains_key(*key));
        let due: BTreeSet<upstream::Key> = busy.chain(self.suspected.iter().copied()).collect();
        due.into_iter().collect()
    }

    /// Selects this instance's subset of each pool: the upstreams that its identity ranks first among those that are neither
    /// lost, leaving nor held back. Upstreams that drop out finish their work.
    pub(crate) fn choose_subsets(&mut self) {
        let count = self.settings.subset;
        if count == 0 {
            return;
        }
        for pool in self.pools.values() {
            let mut ranked = pool.upstreams.clone();
            ranked.retain(|key| {
                let upstream = &self.upstreams[*key];
                upstream.health != Health::Lost && !upstream.is_leaving(self.now) && !upstream.held
            });
            ranked.sort_unstable_by_key(|key| {
                route::rendezvous_rank(self.seed, self.upstreams[*key].incarnation.id)
            });
            ranked.truncate(count);
            for key in &pool.upstreams {
                self.upstreams[*key].in_subset = ranked.contains(key);
            }
        }
    }

    /// Marks an upstream as lost because another one has taken over its address.
    pub(crate) fn mark_replaced(&mut self, key: upstream::Key) {
        let upstream = &mut self.upstreams[key];
        if upstream.health == Health::Lost {
            return;
        }
        upstream.health = Health::Lost;
        upstream.doubt(self.now, self.now);
        upstream.failure_score.record(self.now);
        let incarnation = upstream.incarnation;
        self.log_status_change(key, effect::StatusChange::Replaced);
        self.confirm_crash(incarnation);
    }

    /// Marks an upstream as lost, and abandons its attempts whose requests can go on elsewhere; after a long silence, all.
    fn mark_lost(&mut self, key: upstream::Key) {
        if self.upstreams[key].health != Health::Lost {
            self.upstreams[key].health = Health::Lost;
            self.count(Counter::UpstreamLost);
            self.log_status_change(key, effect::StatusChange::Lost);
            self.choose_subsets();
        }
        let silence = self.now.since(self.upstreams[key].last_heard);
        for attempt in self.upstreams[key].attempts.clone() {
            if silence >= SILENT_END_MS || self.may_leave(attempt) {
                self.abandon(attempt, counter::Reason::Probe);
            }
        }
    }

    fn send_probe(&mut self, key: upstream::Key) {
        let upstream = &mut self.upstreams[key];
        if upstream.probe_sent.is_some() {
            return;
        }
        upstream.last_probe = self.now;
        upstream.probe_sent = Some(self.now);
        let address = upstream.address;
        self.effects.push(Effect::Probe {
            address,
            upstream: key,
        });
    }

    pub(crate) fn dispatch_all(&mut self) {
        let waiting: Vec<Arc<str>> = self
            .pools
            .iter()
            .filter(|(_, pool)| !pool.queue.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        for pool in waiting {
            self.dispatch_queued(&pool);
        }
    }

    /// Fails requests whose deadline or waiting time has expired.
    fn expire_requests(&mut self) {
        self.renew_waiting();
        let expired = self.requests.iter();
        let expired = expired.filter(|(_, request)| request.has_expired(self.now));
        let mut expired = Worklist::new(expired.map(|(key, _)| key));
        while let Some(key) = expired.next(&self.requests) {
            // A relayed request is refused long before its deadline, while a retry by the caller can still help.
            let request = &self.requests[key];
            let unsent = match request.work {
                Work::Relay(_) if self.is_reachable(request.service.pool()) => Kind::Overloaded,
                Work::Relay(_) => Kind::NoUpstream,
                Work::Call { .. } | Work::Generate { .. } => Kind::Deadline,
            };
            self.note_bound(key, Bound::Deadline);
            self.give_up(key, unsent, Kind::TimedOut);
        }
    }

    /// Handles a pause of this instance: silence in that time says nothing about others. After
    /// a long pause the list may contain upstreams that have left, so nothing is sent until it was read again or that has
    /// failed for a while.
    pub(crate) fn resume_after_pause(&mut self, gap_ms: u64) {
        self.count(Counter::Paused);
        self.resumed_at = self.now;
        if gap_ms > LIST_STALE_MS {
            self.list_stale_until = self.now.after(LIST_WAIT_MS);
        }
        for attempt in self.attempts.values_mut() {
            attempt.last_event_at = self.now;
        }
        for upstream in self.upstreams.values_mut() {
            upstream.last_heard = self.now;
            upstream.probe_sent = None;
            upstream.next_probe = self.now;
        }
    }

    /// Applies a load report that is `lag_ms` milliseconds old.
    fn apply_load(&mut self, key: upstream::Key, load: Load, lag_ms: u64) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        upstream.apply_load_report(load, self.now, lag_ms);
        if load.leaving {
            self.mark_leaving(key);
            return;
        }
        let pool = upstream.pool.clone();
        self.dispatch_queued(&pool);
    }

    /// Returns a suspected upstream to service after a while, if upstreams are not probed.
    fn expire_suspected(&mut self, key: upstream::Key) {
        let upstream = &mut self.upstreams[key];
        if upstream.health != Health::Suspected {
            self.suspected.remove(&key);
        } else if self.now >= upstream.suspected_until {
            upstream.health = Health::Live;
            self.suspected.remove(&key);
            self.log_status_change(key, effect::StatusChange::Recovered);
        }
    }

    /// Logs a change in the status of an upstream.
    pub(crate) fn log_status_change(&mut self, key: upstream::Key, change: effect::StatusChange) {
        let upstream = &self.upstreams[key];
        self.effects.push(Effect::LogUpstream {
            change,
            born: upstream.incarnation.born,
            silent_ms: self.now.since(upstream.last_heard),
            upstream: upstream.name.clone(),
        });
    }

    fn check_probe(&mut self, key: upstream::Key) {
        let upstream = &self.upstreams[key];
        if !upstream.in_subset && upstream.attempts.is_empty() {
            return;
        }
        match upstream.probe_sent {
            Some(sent) if self.now.since(sent) >= self.settings.probe_timeout_ms => {
                self.apply_probe_result(key, false);
            }
            None if self.now >= upstream.next_probe => self.send_probe(key),
            None if self.is_overdue(key) => self.send_probe(key),
            _ => {}
        }
    }

    /// Whether an upstream with work of this instance has been silent for `probe_ms`.
    fn is_overdue(&self, key: upstream::Key) -> bool {
        let upstream = &self.upstreams[key];
        let is_silent =
            self.now.since(upstream.last_heard.max(upstream.last_probe)) >= self.settings.probe_ms;
        !upstream.attempts.is_empty() && is_silent
    }

    /// Checks the streams of an upstream for stalls.
    fn check_streams(&mut self, key: upstream::Key) {
        let upstream = &self.upstreams[key];
        if upstream.attempts.is_empty() {
            return;
        }
        if self.is_relaying(key) {
            self.check_relay_stalls(key);
            return;
        }
        let timeout_ms = upstream.detector.timeout_ms(&self.settings);
        let is_streaming = |attempt: &attempt::Key| self.attempts[*attempt].started;
        let has_streaming = upstream.attempts.iter().any(is_streaming);
        if has_streaming && self.now.since(upstream.last_heard) > timeout_ms {
            self.mark_suspected(key);
        }
        let is_suspected = self.upstreams[key].health != Health::Live;
        for attempt in self.upstreams[key].attempts.clone() {
            self.check_stream(attempt, timeout_ms, is_suspected);
        }
    }

    fn check_stream(&mut self, key: attempt::Key, timeout_ms: u64, is_upstream_suspected: bool) {
        let Some(attempt) = self.attempts.get_mut(key) else {
            return;
        };
        let silence = self.now.since(attempt.last_event_at);
        if !attempt.sent || silence <= timeout_ms || !(attempt.started || is_upstream_suspected) {
            return;
        }
        let (request, started) = (attempt.request, attempt.started);
        let is_stalled = started && silence > self.settings.stall_loss_ms;
        if is_stalled && (silence >= SILENT_END_MS || self.may_leave(key)) {
            self.abandon(key, counter::Reason::Stall);
            return;
        }
        if !std::mem::replace(&mut self.attempts[key].suspected, true) {
            self.hedge(request);
        }
    }
}
