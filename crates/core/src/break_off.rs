//! Upstreams that accept connections and break them off: half-dead processes, or proxies before ended ones.
//!
//! A connection that is made is no sign of life of such an upstream, so neither the end of a suspicion nor the check for
//! crashes may return it to service. While the state lasts, an instance sends it one request at a time, at a growing
//! interval; the first answer or event ends it.

use super::*;
use std::cell::OnceCell;

/// Interval between the last broken exchange and the next request, doubled with each, and its maximum in milliseconds.
/// Attempts that break off may have run, and count towards the runs of their requests.
const FIRST_PROBE_MS: u64 = 100;
const MAX_PROBE_MS: u64 = 1_600;

/// Largest extension of an interval, in milliseconds for each instance. All learn of a broken exchange at one moment, and one
/// of them is to send the next request before the others.
const SPREAD_MS: f64 = 5.0;

/// Time after the last broken exchange from which on a request may be sent that would be lost with its exchange. Others go
/// first, if there are any.
const LAST_RUN_MS: u64 = 1_000;

/// Time after the last broken exchange from which on nothing is held against an upstream: it may have got no request since.
const RETENTION_MS: u64 = 8_000;

/// Time within which exchanges with one upstream that break off count as one.
const SAME_MS: u64 = FIRST_PROBE_MS / 2;

/// Upstreams that broke off within `LAST_RUN_MS` from which on others are expected to: a few, or in a small pool more than a
/// third of it. Requests then pause before they are sent again, as what is known of the others is out of date. A request that
/// ends the upstreams that run it meets three.
const WIDESPREAD: usize = 4;
const MIN_WIDESPREAD: usize = 2;

/// State of an upstream whose last exchange broke off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BreakOff {
    /// Exchanges that broke off in a row.
    breaks: u32,
    /// When the last one did.
    broke_at: Time,
    /// When the next request may be sent.
    next_probe: Time,
}

impl BreakOff {
    /// Whether another request may be sent to find out whether the upstream answers; with `spares`, one that would be lost
    /// goes later.
    fn is_probe_due(&self, spares: bool, now: Time) -> bool {
        let is_early = now.since(self.broke_at) < LAST_RUN_MS;
        now >= self.next_probe && !(spares && is_early)
    }
}

impl Core {
    /// Records that an exchange with an upstream broke off, here or at another instance.
    pub(crate) fn record_break_off(&mut self, key: upstream::Key) {
        let now = self.now;
        let before = self.upstreams[key].break_off;
        let breaks = before.map_or(1, |state| {
            // Exchanges of one moment count as one.
            let is_same = now.since(state.broke_at) < SAME_MS;
            state.breaks + u32::from(!is_same)
        });
        let doublings = (breaks - 1).min(MAX_PROBE_MS.ilog2());
        let millis = (FIRST_PROBE_MS << doublings).min(MAX_PROBE_MS) as f64;
        let spread = (SPREAD_MS * f64::from(self.instances)).min(MAX_PROBE_MS as f64);
        let millis = millis + self.rng.random_range(0.0..spread);
        self.upstreams[key].break_off = Some(BreakOff {
            breaks,
            broke_at: now,
            next_probe: now.after(millis as u64),
        });
        if before.is_none() {
            self.count(Counter::BreaksOff);
            self.log_status_change(key, effect::StatusChange::BreaksOff);
        }
    }

    /// Handles an exchange of a request that broke off, and announces it to other instances.
    pub(crate) fn handle_break_off(&mut self, key: request::Key, attempt: &Attempt) {
        let upstream = attempt.upstream;
        let runs_others = !self.upstreams[upstream].attempts.is_empty();
        let is_call = !self.requests[key].service.streams();
        if attempt.started || (is_call && runs_others) {
            // A crash looks the same: its upstream then refuses connections. A call may break off alone, beside others that run.
            self.report_loss(upstream, LossSource::Connection);
        } else {
            self.record_break_off(upstream);
            self.report_break_off(attempt);
        }
        let is_widespread = self.is_widespread(self.requests[key].service.pool());
        let progress = &mut self.requests[key].progress;
        progress.broken_off += 1;
        if attempt.started {
            progress.broken_off = 0;
        }
        let earlier = progress.broken_off;
        if is_widespread {
            self.pause(key, earlier + 1);
        }
    }

    /// Marks an upstream that broke off as suspected, and announces it to other instances.
    fn report_break_off(&mut self, attempt: &Attempt) {
        let upstream = attempt.upstream;
        if self.is_cut_off() {
            return;
        }
        self.record_loss(upstream, LossSource::Connection);
        // The exchange broke off after its connection was made, so that the link to the upstream works.
        if self.may_announce(upstream, Announcement::BreakOff, attempt.created_at) {
            let incarnation = self.upstreams[upstream].incarnation;
            self.effects.push(Effect::GossipBreakOff(incarnation));
        }
    }

    /// Whether several upstreams of a pool broke off just now: others may have, before this instance learns of it.
    pub(crate) fn is_widespread(&self, pool: &str) -> bool {
        let Some(pool) = self.pools.get(pool) else {
            return false;
        };
        let is_recent = |key: &&upstream::Key| {
            let state = self.upstreams[**key].break_off;
            state.is_some_and(|state| self.now.since(state.broke_at) < LAST_RUN_MS)
        };
        let count = pool.upstreams.iter().filter(is_recent).count();
        count >= WIDESPREAD || count >= MIN_WIDESPREAD && 3 * count > pool.upstreams.len()
    }

    /// Handles the report of another instance that an upstream broke off.
    pub(crate) fn record_peer_break_off(&mut self, incarnation: Incarnation) {
        if let Some(key) = self.upstreams_by_incarnation.get(&incarnation).copied() {
            self.record_break_off(key);
        }
    }

    /// Records an answer or event of an upstream.
    pub(crate) fn end_break_off(&mut self, key: upstream::Key) {
        let ended = |upstream: &mut Upstream| upstream.break_off.take().is_some();
        if self.upstreams.get_mut(key).is_some_and(ended) {
            self.log_status_change(key, effect::StatusChange::Answers);
        }
    }

    /// Whether a request may be sent to an upstream, as far as it breaks exchanges off.
    ///
    /// `widespread` keeps, for one choice, whether others of its pool are expected to.
    pub(crate) fn may_meet_break_off(
        &self,
        request: &Request,
        upstream: &Upstream,
        widespread: &OnceCell<bool>,
    ) -> bool {
        let is_recent = |state: &BreakOff| self.now.since(state.broke_at) < RETENTION_MS;
        let Some(state) = upstream.break_off.filter(is_recent) else {
            return true;
        };
        if !upstream.attempts.is_empty() || self.now < state.next_probe {
            return false;
        }
        let is_widespread =
            || *widespread.get_or_init(|| self.is_widespread(request.service.pool()));
        let spares = is_last_run(request) && (state.breaks > 1 || is_widespread());
        state.is_probe_due(spares, self.now)
    }
}

/// Whether a request is lost if its next exchange breaks off.
fn is_last_run(request: &Request) -> bool {
    let runs = request
        .service
        .relay()
        .map_or(1, |relay| relay.attempts_max);
    !request.service.repeatable || request.progress.upstreams_reached + 1 >= runs
}
