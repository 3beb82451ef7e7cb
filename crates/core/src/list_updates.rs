//! How an instance keeps the list of upstreams: answers of the store, lists and updates of other instances, and outages
//! in which entries do not expire.

use super::*;
use availability::Span;
use informer::Informer;
use informer_io::{Call, Output, PeerList, Source};
use roster::Change;

/// Pause between two watches per upstream in which changes are batched, in milliseconds: each call is paid for, and
/// the loss of a data centre changes a share of all entries.
const BATCH_PER_UPSTREAM_MS: u64 = 6;

/// Number of changes of an answer from which the next watch follows without a pause: an answer holds some hundred at most,
/// and behind ten thousand registrations a watcher that paused after each was half a minute late.
const FULL_ANSWER: usize = 100;

/// Minimum batching pause, in milliseconds. The maximum is half of the time within which a leaving upstream must get
/// no more work; the other half is left for the call.
const BATCH_MIN_MS: u64 = 200;

/// Time that a datagram received before its predecessors waits for them, in milliseconds: links deliver short ones
/// sooner.
pub(crate) const REORDER_WINDOW_MS: u64 = 150;

/// Pause after a call of another instance that has no list to give, in milliseconds.
const PEER_PAUSE_MS: u64 = 150;

/// Failed calls of other instances about missed changes after which the store is called, where updates are passed on: the
/// instance before this one may have missed the same changes, and has them a moment later.
const GAP_ATTEMPTS_MAX: u32 = 4;

/// Maximum number of updates kept before the first list, of some ten changes each.
const EARLY_UPDATES_MAX: usize = 2_000;

impl Informer {
    pub(crate) fn handle_upstreams(
        &mut self,
        call: Call,
        mut changes: Vec<Change>,
        position: Position,
        now: Time,
    ) {
        let known = self.upstreams.position.unwrap_or_default();
        let outage = self.own_outage();
        let first = self.upstreams.position.is_none();
        let is_full = call.since.is_some() && changes.len() >= FULL_ANSWER;
        // Before the answer removes entries.
        if let Some(until) = self.availability.reregistered_by(self.peer_uptime) {
            self.roster.extend_grace(until);
        }
        if call.since.is_none() {
            self.roster.replace_all(&changes, position, outage, now);
        } else {
            // Peers may have announced some of them during the call.
            changes.retain(|change| change.position > known);
            self.roster.apply_changes(changes, outage, now);
        }
        self.upstreams.position = Some(position.max(known));
        self.refreshed_at = now;
        self.gap_since = None;
        self.peer_attempts = 0;
        self.early_updates.clear();
        self.emit_upstreams(now);
        let announces = match self.role {
            Role::Watcher => true,
            Role::Standby => !first,
            Role::Independent | Role::Follower => false,
        };
        if announces {
            let updates = self.roster.pending_updates(
                position.max(known),
                self.availability.uptime_ms(),
                now,
            );
            self.outputs
                .extend(updates.into_iter().map(Output::AnnounceRoster));
        }
        if first {
            // Peers know nothing of what was just read.
            self.roster.set_announced(position);
        }
        let pause_ms = if is_full { 0 } else { self.batch_pause_ms() };
        self.upstreams.not_before = now.after(pause_ms);
    }

    /// Applies the list of another instance. What is older than the own is of no use, and the next call goes elsewhere.
    pub(crate) fn handle_peer_list(&mut self, id: u64, list: PeerList, now: Time) {
        if self.calls.remove(&id).is_none() {
            return;
        }
        let known = self.upstreams.position.unwrap_or_default();
        let is_applicable = list.is_complete != self.has_list;
        if list.to.era != self.era || list.to < known || !is_applicable {
            self.record_peer_failure(now);
            return;
        }
        self.upstreams.record_peer_answer();
        let outage = self.own_outage();
        if list.is_complete {
            self.roster.replace_all(&list.changes, list.to, outage, now);
        } else {
            let mut changes = list.changes;
            changes.retain(|change| change.position > known);
            self.roster.apply_changes(changes, outage, now);
        }
        let known = self.roster.catch_up(list.to, &mut self.early_updates, now);
        self.upstreams.position = Some(known);
        self.roster.set_announced(known);
        self.refreshed_at = self.refreshed_at.max(now.before(list.age_ms));
        if self.early_updates.is_empty() {
            self.gap_since = None;
            self.peer_attempts = 0;
        } else {
            self.gap_since.get_or_insert(now);
            self.record_peer_failure(now);
        }
        self.emit_upstreams(now);
    }

    /// Records that a call of another instance brought nothing. One that has missed changes must not lose time.
    pub(crate) fn record_peer_failure(&mut self, now: Time) {
        self.peer_attempts += 1;
        let waits = !self.has_list || self.place.is_some();
        let pause_ms = if waits { PEER_PAUSE_MS } else { 0 };
        self.upstreams.record_unavailable(pause_ms, now);
    }

    /// Where the list is requested: an instance that follows others and has never had it takes it from one of them, and
    /// one that has missed changes asks one first. In an outage and after it only the store shows what an instance lacks:
    /// whether missing entries have expired follows from calls that it does not answer.
    pub(crate) fn list_source(&self, now: Time) -> Source {
        let has_gap = self
            .gap_since
            .is_some_and(|gap_since| gap_since.after(REORDER_WINDOW_MS) <= now);
        let asks_peers = if self.has_list {
            let attempts_max = if self.place.is_some() {
                GAP_ATTEMPTS_MAX
            } else {
                1
            };
            has_gap && self.peer_attempts < attempts_max
        } else {
            now < self.peers_until
        };
        if self.role.follows() && asks_peers && self.availability.is_answering() {
            Source::Peer
        } else {
            Source::Store
        }
    }

    /// Whether the store may have been down for every instance in a span that a peer reports: nobody was served
    /// meanwhile, or this instance saw the same outage. Two consecutive outages with one answer in between count as
    /// one for this purpose.
    pub(crate) fn is_shared_outage(&self, outage: Span, now: Time) -> bool {
        let own = self.own_outage();
        let unanswered = self.availability.last_unanswered();
        self.fleet_availability.is_shared_outage(outage, now)
            || own.is_some_and(|own| self.availability.overlaps_outage(own, outage))
            || unanswered.is_some_and(|at| (outage.from..outage.to).contains(&at))
    }

    /// The outage that this instance saw, without the part in which peers report that the store was up: no entry
    /// expires then. Otherwise an instance that was refused or cut off while others were served would keep an upstream
    /// that left for two more seconds, counted from its own first answer.
    pub(crate) fn own_outage(&self) -> Option<Span> {
        let outage = self.availability.outage()?;
        match self.peer_uptime {
            Some(uptime) => self.availability.exclude_uptime(outage, uptime),
            None => Some(outage),
        }
    }

    /// Pause before the next watch of the list, in milliseconds.
    pub(crate) fn batch_pause_ms(&self) -> u64 {
        if self.role == Role::Watcher {
            return self.bound.pause_ms();
        }
        let longest = (self.leave_ms / 2).max(BATCH_MIN_MS);
        (BATCH_PER_UPSTREAM_MS * self.roster.len() as u64).clamp(BATCH_MIN_MS, longest)
    }

    pub(crate) fn emit_upstreams(&mut self, now: Time) {
        self.has_list = true;
        for name in self.roster.take_new_missing() {
            let grace_ms = self.roster.grace_ms(now);
            self.outputs.push(Output::MissingEntry(name, grace_ms));
        }
        self.roster.remove_expired(now);
        self.outputs
            .push(Output::Upstreams(self.roster.take_delta()));
    }

    /// Keeps an update that arrives before the first list: the list of a peer may be older than it. Without them each
    /// instance that starts while upstreams register has a gap, and reads the changes from the store.
    pub(crate) fn keep_until_list(&mut self, update: RosterUpdate) {
        if self.role.follows() && !self.has_list && self.early_updates.len() < EARLY_UPDATES_MAX {
            self.early_updates.push(update);
        }
    }

    /// Records how long the store had been available to a peer when it answered that peer.
    pub(crate) fn record_peer_uptime(&mut self, update: &RosterUpdate, now: Time) {
        if update.uptime_ms == 0 || update.to.era < self.era {
            return;
        }
        let mut uptime = Span {
            from: now.before(update.uptime_ms),
            to: now,
        };
        if let Some(before) = self.peer_uptime.filter(|before| before.to >= uptime.from) {
            uptime.from = uptime.from.min(before.from);
        }
        self.peer_uptime = Some(uptime);
        if self.role.follows() {
            self.roster.shorten_outage(uptime, &self.availability, now);
        }
    }
}
