//! Tracking of requests that crash their upstreams ("poison requests"): which ones to delay, quarantine or isolate.
//!
//! Guards against a request that crashes every upstream that starts running it, and that its caller keeps retrying, along
//! with others like it, at any instance. The users' limit is three more sends in total, after the third crash and the
//! time that instances need to learn of it from each other.

use super::*;

/// Time to wait for the check whether an upstream has crashed, in milliseconds. Exceeds the connect timeout of that check.
const CHECK_TIMEOUT_MS: u64 = 400;

/// Time that a response must have been streaming for a crash to count less against its request, in milliseconds. Poison
/// requests crashed upstreams 0.06 to 0.11 s after their first token.
const LONG_RUN_MS: u64 = 500;

/// Time within which a broken connection may still prove to be the crash of its upstream, in milliseconds. By then the
/// list shows whether the upstream was restarted.
const PENDING_MS: u64 = 8_000;

/// Number of crashes after which a request is kept apart from all others.
const ISOLATION_CRASHES: usize = 2;

/// Broken connections to an upstream that is not known to have crashed.
#[derive(Clone, Debug)]
struct Pending {
    /// Whether its address accepted a connection after the last one broke: it is alive, or was restarted.
    answered: bool,
    /// When the first connection broke.
    broken_at: Time,
    /// When the last check of its address was started.
    checked_at: Time,
    /// Requests that were sent on these connections.
    requests: BTreeMap<RequestFingerprint, quarantine::Involvement>,
}

/// Request whose retry waits for the check whether its last upstream crashed.
#[derive(Clone, Copy, Debug)]
struct DelayedRetry {
    incarnation: Incarnation,
    reason: counter::Reason,
    request: request::Key,
    until: Time,
}

/// What this instance knows of requests that crash their upstreams.
#[derive(Clone, Debug, Default)]
pub(crate) struct CrashSuspects {
    delayed: Vec<DelayedRetry>,
    history: CrashHistory,
    pending: HashMap<Incarnation, Pending>,
    quarantined: BTreeMap<RequestFingerprint, BTreeSet<Incarnation>>,
    /// Crashes that this instance observed itself.
    witnessed: BTreeSet<Incarnation>,
}

impl CrashSuspects {
    /// Whether this instance observed any of the crashes itself.
    fn has_witnessed(&self, crashes: &BTreeSet<Incarnation>) -> bool {
        crashes
            .iter()
            .any(|incarnation| self.witnessed.contains(incarnation))
    }

    /// Quarantined requests for which this instance observed at least one of the crashes.
    fn witnessed_quarantined(&self) -> BTreeSet<RequestFingerprint> {
        let own = self
            .quarantined
            .iter()
            .filter(|(_, crashes)| self.has_witnessed(crashes));
        own.map(|(fingerprint, _)| *fingerprint).collect()
    }

    /// Whether a request was involved in a crash, confirmed or pending.
    fn is_suspect(&self, fingerprint: RequestFingerprint) -> bool {
        self.crash_count(fingerprint) > 0
    }

    /// Crashes in which a request was involved, including pending ones.
    fn crash_count(&self, fingerprint: RequestFingerprint) -> usize {
        let pending = self.pending.values().filter(|pending| !pending.answered);
        let pending = pending.filter(|pending| pending.requests.contains_key(&fingerprint));
        self.history.crashes_of(fingerprint).count() + pending.count()
    }

    /// Whether the retry of a request waits for a crash check.
    pub(crate) fn delays(&self, request: request::Key) -> bool {
        self.delayed.iter().any(|retry| retry.request == request)
    }

    /// Whether there are neither recorded crashes nor pending checks.
    fn is_idle(&self) -> bool {
        self.history.is_empty() && self.pending.is_empty()
    }
}

impl Core {
    /// Whether a request is refused because it crashes its upstreams.
    pub(crate) fn is_quarantined(&self, fingerprint: RequestFingerprint) -> bool {
        self.crash_suspects.quarantined.contains_key(&fingerprint)
    }

    /// Whether a request was at an upstream that crashed, or may have.
    pub(crate) fn is_crash_suspect(&self, fingerprint: RequestFingerprint) -> bool {
        !self.crash_suspects.is_idle() && self.crash_suspects.is_suspect(fingerprint)
    }

    /// Requests that are refused at present.
    pub fn quarantined(&self) -> impl Iterator<Item = RequestFingerprint> {
        self.crash_suspects.quarantined.keys().copied()
    }

    /// Crashes of upstreams that this instance knows of.
    pub fn crash_history(&self) -> &CrashHistory {
        &self.crash_suspects.history
    }

    /// Handles a broken connection, which may mean that the upstream crashed. The end of an upstream that is leaving says
    /// nothing about the requests that it ran.
    pub(crate) fn suspect_crash(&mut self, attempt: &Attempt) {
        let upstream = &self.upstreams[attempt.upstream];
        if self.settings.quarantine == QuarantineRule::Off || upstream.is_leaving(self.now) {
            return;
        }
        let (address, incarnation) = (upstream.address, upstream.incarnation);
        let fingerprint = self.requests[attempt.request].request_fingerprint;
        let running_ms = attempt
            .first_event_at
            .map_or(0, |first_event_at| self.now.since(first_event_at));
        let involvement = if running_ms >= LONG_RUN_MS {
            quarantine::Involvement::Ran
        } else {
            quarantine::Involvement::Fresh
        };
        if self.crash_suspects.history.contains(incarnation) {
            self.record_crash(incarnation, &[(fingerprint, involvement)].into());
            return;
        }
        let now = self.now;
        let pending = self.crash_suspects.pending.entry(incarnation);
        let pending = pending.or_insert_with(|| Pending {
            answered: true,
            broken_at: now,
            checked_at: now,
            requests: BTreeMap::new(),
        });
        pending.requests.insert(fingerprint, involvement);
        if std::mem::replace(&mut pending.answered, false) {
            pending.checked_at = now;
            self.push_quarantine_effect(effect::Quarantine::CheckCrash {
                address,
                incarnation,
            });
        }
    }

    /// Handles the result of the check whether an upstream with broken connections has crashed. Retries that wait for it go
    /// on waiting while it is not certain that the result is not this instance's own.
    pub(crate) fn apply_crash_check(&mut self, incarnation: Incarnation, ended: bool) {
        if ended {
            // It accepts no connections.
            let key = self.upstreams_by_incarnation.get(&incarnation);
            if let Some(upstream) = key.and_then(|key| self.upstreams.get_mut(*key)) {
                upstream.break_off = None;
            }
            self.report_crash(incarnation);
        } else if let Some(pending) = self.crash_suspects.pending.get_mut(&incarnation) {
            pending.answered = true;
        }
        let upstream = self.upstreams_by_incarnation.get(&incarnation);
        if !upstream.is_some_and(|upstream| self.holds_crash(*upstream)) {
            self.release_retries(incarnation);
        }
    }

    /// Goes on with the retries that wait for the check of an upstream.
    pub(crate) fn release_retries(&mut self, incarnation: Incarnation) {
        let is_same_incarnation = |retry: &mut DelayedRetry| retry.incarnation == incarnation;
        let delayed: Vec<DelayedRetry> = self
            .crash_suspects
            .delayed
            .extract_if(.., is_same_incarnation)
            .collect();
        for retry in delayed {
            self.retry_request(retry.request, retry.reason);
        }
    }

    /// Checks once more all upstreams with broken connections that have not answered since: what was found while this
    /// instance took itself to be cut off was not recorded.
    pub(crate) fn repeat_crash_checks(&mut self) {
        let mut checks = Vec::new();
        for (incarnation, pending) in &mut self.crash_suspects.pending {
            let key = self.upstreams_by_incarnation.get(incarnation);
            let upstream = key.and_then(|key| self.upstreams.get(*key));
            if let Some(upstream) = upstream.filter(|_| !pending.answered) {
                pending.checked_at = self.now;
                checks.push((upstream.address, *incarnation));
            }
        }
        checks.sort_unstable_by_key(|(_, incarnation)| *incarnation);
        for (address, incarnation) in checks {
            self.push_quarantine_effect(effect::Quarantine::CheckCrash {
                address,
                incarnation,
            });
        }
    }

    /// Records the crash of an upstream whose address refused a connection of this instance, unless the cause may be that this
    /// instance is cut off.
    fn report_crash(&mut self, incarnation: Incarnation) {
        let Some(key) = self.upstreams_by_incarnation.get(&incarnation).copied() else {
            self.confirm_crash(incarnation);
            return;
        };
        let Some(pending) = self.crash_suspects.pending.get(&incarnation) else {
            return;
        };
        let checked_at = pending.checked_at;
        if !self.is_cut_off() && self.may_announce(key, Announcement::Crash, checked_at) {
            self.confirm_crash(incarnation);
        }
    }

    /// Records the crash of an upstream, with the requests whose connections to it broke, and goes on with the retries that
    /// wait for that.
    pub(crate) fn confirm_crash(&mut self, incarnation: Incarnation) {
        if let Some(pending) = self.crash_suspects.pending.remove(&incarnation) {
            self.record_crash(incarnation, &pending.requests);
        }
        self.release_retries(incarnation);
    }

    fn record_crash(
        &mut self,
        incarnation: Incarnation,
        requests: &BTreeMap<RequestFingerprint, quarantine::Involvement>,
    ) {
        let (now, history) = (self.now, &mut self.crash_suspects.history);
        let mut added = CrashHistory::default();
        for (fingerprint, involvement) in requests {
            if history.record(incarnation, *fingerprint, *involvement, now) {
                added.record(incarnation, *fingerprint, *involvement, now);
            }
        }
        self.crash_suspects.witnessed.insert(incarnation);
        self.publish_crashes(added);
    }

    /// Merges crashes reported by another instance or by the store.
    pub(crate) fn merge_crashes(&mut self, reported: &CrashHistory) {
        if self.settings.quarantine == QuarantineRule::Off {
            return;
        }
        let changes = self.crash_suspects.history.merge(reported);
        if !changes.is_empty() {
            self.update_quarantine();
        }
    }

    /// Clears a request of all crashes, as it was answered completely.
    pub(crate) fn clear_suspicion(&mut self, fingerprint: RequestFingerprint) {
        if !self.is_crash_suspect(fingerprint) {
            return;
        }
        for pending in self.crash_suspects.pending.values_mut() {
            pending.requests.remove(&fingerprint);
        }
        let changes = self.crash_suspects.history.clear(fingerprint);
        self.publish_crashes(changes);
    }

    /// Gossips crashes that this instance observed, and updates the quarantine.
    fn publish_crashes(&mut self, changes: CrashHistory) {
        if !changes.is_empty() {
            self.push_quarantine_effect(effect::Quarantine::Gossip(changes));
            self.update_quarantine();
        }
    }

    fn push_quarantine_effect(&mut self, effect: effect::Quarantine) {
        self.effects.push(Effect::Quarantine(effect));
    }

    /// Recomputes the set of quarantined requests from all known crashes, and refuses those that are new in it.
    fn update_quarantine(&mut self) {
        let own = self.crash_suspects.witnessed_quarantined();
        let suspects = &mut self.crash_suspects;
        let rule = self.settings.quarantine;
        suspects.history.evict(rule, self.now);
        let history = &suspects.history;
        suspects
            .witnessed
            .retain(|incarnation| history.contains(*incarnation));
        let previous = std::mem::replace(&mut suspects.quarantined, history.quarantined(rule));
        let added: Vec<RequestFingerprint> = suspects.quarantined.keys().copied().collect();
        let added = added
            .into_iter()
            .filter(|fingerprint| !previous.contains_key(fingerprint));
        for fingerprint in added.collect::<Vec<RequestFingerprint>>() {
            self.quarantine(fingerprint);
        }
        let released = |fingerprint: &&RequestFingerprint| {
            !self.crash_suspects.quarantined.contains_key(fingerprint)
        };
        let released: Vec<RequestFingerprint> = previous.keys().filter(released).copied().collect();
        for fingerprint in released {
            // Only an instance that stored the entry deletes it; otherwise hundreds would write when one expires.
            let own = own.contains(&fingerprint);
            self.push_quarantine_effect(effect::Quarantine::Release { fingerprint, own });
        }
        let history = self.crash_suspects.history.clone();
        self.push_quarantine_effect(effect::Quarantine::Publish(history));
    }

    /// Quarantines a request: it is not sent any more, and attempts that upstreams have not started are withdrawn.
    fn quarantine(&mut self, fingerprint: RequestFingerprint) {
        self.count(Counter::Quarantined);
        let suspects = &self.crash_suspects;
        let own = suspects.has_witnessed(&suspects.quarantined[&fingerprint]);
        let evidence = suspects.history.evidence_for(fingerprint);
        self.push_quarantine_effect(effect::Quarantine::Refuse {
            evidence,
            fingerprint,
            own,
        });
        let affected: Vec<request::Key> = self
            .requests
            .iter()
            .filter(|(_, request)| request.request_fingerprint == fingerprint)
            .map(|(key, _)| key)
            .collect();
        for key in affected {
            self.refuse_quarantined(key);
        }
    }

    /// Fails a request that crashes its upstreams, unless it has already been failed.
    pub(crate) fn refuse_quarantined(&mut self, key: request::Key) {
        if !self.requests.contains_key(key) {
            return;
        }
        self.give_up(key, Kind::Quarantined, Kind::EndsUpstreams);
    }

    /// Retries a request after the loss of its upstream. One that another crash would quarantine first waits for the check
    /// whether the upstream crashed, which takes milliseconds.
    pub(crate) fn retry_after_crash_check(
        &mut self,
        key: request::Key,
        upstream: upstream::Key,
        reason: counter::Reason,
    ) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let fingerprint = request.request_fingerprint;
        let incarnation = self
            .upstreams
            .get(upstream)
            .map(|upstream| upstream.incarnation);
        let pending = incarnation.filter(|incarnation| {
            let pending = self.crash_suspects.pending.get(incarnation);
            pending.is_some_and(|pending| !pending.answered)
        });
        match pending {
            Some(incarnation)
                if self.crash_suspects.crash_count(fingerprint)
                    >= quarantine::QUARANTINE_THRESHOLD =>
            {
                self.crash_suspects.delayed.push(DelayedRetry {
                    incarnation,
                    reason,
                    request: key,
                    until: self.now.after(CHECK_TIMEOUT_MS),
                });
            }
            _ => self.retry_request(key, reason),
        }
    }

    fn retry_request(&mut self, key: request::Key, reason: counter::Reason) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        // A second attempt of a hedged request may have ended since, so that it was queued or sent without waiting.
        if request.state != State::Running || !request.attempts.is_empty() {
            return;
        }
        if request.work.relay().is_some() {
            self.retry_relay(key, reason);
        } else {
            self.recover(key, reason);
        }
    }

    /// Retries requests whose crash check timed out, drops old broken connections, and expires recorded crashes.
    pub(crate) fn expire_crash_suspects(&mut self) {
        let now = self.now;
        if self.crash_suspects.history.has_expired(now) {
            self.update_quarantine();
        }
        let pending = &mut self.crash_suspects.pending;
        pending.retain(|_, pending| now.since(pending.broken_at) < PENDING_MS);
        let is_due = |retry: &mut DelayedRetry| retry.until <= now;
        let due: Vec<DelayedRetry> = self.crash_suspects.delayed.extract_if(.., is_due).collect();
        for retry in due {
            self.retry_request(retry.request, retry.reason);
        }
    }

    /// Number of this instance's requests at an upstream from which a request should be kept apart. For one that was involved
    /// in a crash these are all that were, so that the next crash tells them apart; for any other, those involved in two, so
    /// that it is not involved in their third.
    pub(crate) fn suspects_at(
        &self,
        fingerprint: RequestFingerprint,
        candidate: upstream::Key,
    ) -> usize {
        if self.crash_suspects.is_idle() {
            return 0;
        }
        let min_crashes = if self.crash_suspects.is_suspect(fingerprint) {
            1
        } else {
            ISOLATION_CRASHES
        };
        let attempts = self.upstreams[candidate].attempts.iter();
        let others = attempts
            .map(|attempt| self.requests[self.attempts[*attempt].request].request_fingerprint);
        let suspects = others.filter(|other| {
            *other != fingerprint && self.crash_suspects.crash_count(*other) >= min_crashes
        });
        suspects.count()
    }
}
