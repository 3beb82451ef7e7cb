//! State machine by which an instance follows the key-value store: when to call it, which answers and peers to trust,
//! and what to announce to other instances.
//!
//! Every call of the store is paid for, yet each change must be known on every instance within a staleness bound. In a
//! small fleet every instance watches the store. In a larger one a watcher in each data centre does and announces
//! changes to the others there by datagram. A standby takes over if the watcher is silent, and an instance that hears
//! nothing for a while, or misses a change, reads the store itself. All intervals are derived from the bound or
//! limited by it.
//!
//! A watch that returns nothing does not prove that nothing has changed: its connection may be dead while a hop on the
//! path still acknowledges packets. So the first watcher uses short waits and confirms to the others what the store
//! showed it; an instance without a confirmation for a while calls again on a new connection.

use super::*;
use availability::Span;
use configuration_reads::{LARGE_CONFIG_BYTES, PendingRead, READ_PAUSES_MS};
use informer_io::{
    Answer, Call, CancelReason, Confirmed, Consistency, Content, Input, KnownState, Output,
    PeerList, PeerReport, Source, Topic,
};
use list_updates::REORDER_WINDOW_MS;

/// Wait of a watch while another instance confirms that nothing has changed, in milliseconds: the longest that the
/// store allows. A dead connection is detected through other calls and other instances.
const WAIT_MS: u64 = 30_000;

/// Minimum wait of a watch, in milliseconds: after the pause for batching, little of the interval between two calls
/// may be left.
const WAIT_MIN_MS: u64 = 100;

/// Time within which another instance's configuration must begin to arrive, in milliseconds. The store is read after it.
const PEER_READ_TIMEOUT_MS: u64 = 250;

/// Time for which an instance without a list or a configuration calls only other instances, as a multiple of the staleness
/// bound: after the loss of a whole data centre the list passes through all levels of it.
const PEERS_BOUNDS: u64 = 2;

/// Time between the first reads of the store by two instances of a large data centre that get nothing from others, in
/// milliseconds. When hundreds read the whole list at once, none of them finished before its time ran out, and nobody was
/// served for 18 s behind the loss of all.
const STORE_TURN_MS: u64 = 100;

/// Follows the store on behalf of one instance.
#[derive(Debug)]
pub struct Informer {
    /// Revision of the configuration in force.
    pub(crate) active_revision: Option<u64>,
    pub(crate) availability: Availability,
    pub(crate) bound: StalenessBound,
    pub(crate) calls: BTreeMap<u64, Call>,
    /// Size in bytes of the configuration that was read last.
    pub(crate) config_bytes: usize,
    pub(crate) configuration: StoreCalls,
    /// Updates that arrived before their predecessors.
    pub(crate) early_updates: Vec<RosterUpdate>,
    /// Number of known restores of the store from a backup.
    pub(crate) era: u64,
    /// When the store is known to have served any instance: by own calls and by updates from watchers.
    pub(crate) fleet_availability: Availability,
    /// When an update showed that a change was missed.
    pub(crate) gap_since: Option<Time>,
    /// Whether this instance has ever had the list.
    pub(crate) has_list: bool,
    /// When the watcher of the data centre was last heard.
    pub(crate) last_heard: Time,
    /// Time within which a leaving upstream must get no more work, in milliseconds.
    pub(crate) leave_ms: u64,
    pub(crate) next_call: u64,
    pub(crate) outputs: Vec<Output>,
    /// Place of this instance in its data centre if announcements are passed on there.
    pub(crate) place: Option<usize>,
    /// Failed calls of other instances since the last one that closed a gap.
    pub(crate) peer_attempts: u32,
    /// Newest state that any peer has reported.
    pub(crate) peer_state: KnownState,
    /// Latest span in the present era in which the store was available to peers, as they report.
    pub(crate) peer_uptime: Option<Span>,
    /// Time until which an instance that follows others and has no list or configuration calls only these.
    pub(crate) peers_until: Time,
    /// The next read of a configuration that peers have.
    pub(crate) pending_read: Option<PendingRead>,
    /// Rank among the instances that watch the store.
    pub(crate) rank: WatcherRank,
    /// When an instance that follows others last read the configuration.
    pub(crate) read_at: Time,
    /// When an instance that follows others last got an update in sequence or called the store.
    pub(crate) refreshed_at: Time,
    pub(crate) role: Role,
    pub(crate) roster: Roster,
    /// Whether the first configuration is taken from other instances.
    pub(crate) takes_first_configuration: bool,
    pub(crate) upstreams: StoreCalls,
}

impl Informer {
    /// Creates an informer that knows nothing yet. Changes in the store must be known within `bound`, and a leaving
    /// upstream must get no more work within `leave_ms`.
    pub fn new(
        bound: StalenessBound,
        leave_ms: u64,
        availability: Availability,
        now: Time,
    ) -> Self {
        Self {
            active_revision: None,
            availability,
            bound,
            calls: BTreeMap::new(),
            config_bytes: 0,
            configuration: StoreCalls::default().started_at(now),
            early_updates: Vec::new(),
            era: 0,
            fleet_availability: availability,
            gap_since: None,
            has_list: false,
            last_heard: now,
            leave_ms,
            next_call: 0,
            outputs: Vec::new(),
            peer_attempts: 0,
            peer_state: KnownState::default(),
            peer_uptime: None,
            peers_until: now,
            pending_read: None,
            place: None,
            rank: WatcherRank::default(),
            read_at: now,
            refreshed_at: now,
            role: Role::Independent,
            roster: Roster::default(),
            takes_first_configuration: false,
            upstreams: StoreCalls::with_fast_retry().started_at(now),
        }
    }

    /// Does not read the list before the role of this instance is known, for so many milliseconds at most. The first read
    /// of the other instances takes some time; without their number, each of a thousand that start together reads the
    /// whole list for itself.
    #[must_use]
    pub fn awaiting_role(mut self, wait_ms: u64, now: Time) -> Self {
        self.upstreams.not_before = now.after(wait_ms);
        self
    }

    /// Sets the place of this instance in its data centre if announcements are passed on there, as in a large one. The first
    /// configuration is taken from other instances then, since the store's link would carry it to each of a thousand that
    /// start together; and those that get nothing from others read the store one after the other.
    pub fn set_place(&mut self, place: Option<usize>) {
        self.place = place;
    }

    /// What this instance knows of the store.
    pub fn known_state(&self) -> KnownState {
        KnownState {
            configuration: self.active_revision,
            list: self.roster.last_change,
        }
    }

    /// Handles an input together with the availability of the store as the ends of all calls show it; returns what to
    /// do.
    pub fn handle(&mut self, input: Input, availability: Availability, now: Time) -> Vec<Output> {
        self.availability = availability;
        if let Some(answered) = availability
            .last_answer()
            .filter(|at| Some(*at) > self.fleet_availability.last_answer())
        {
            self.fleet_availability.record_success(answered);
        }
        self.enter_era(availability.era(), now);
        match input {
            Input::Answered(id, answer) => self.handle_answer(id, answer, now),
            Input::Failed(id) => self.handle_failure(id, now),
            Input::PeerConfiguration { bytes, config, id } => {
                self.handle_peer_configuration(id, bytes, config, now);
            }
            Input::PeerList(id, list) => self.handle_peer_list(id, list, now),
            Input::PeerReport(report) => self.handle_report(report, now),
            Input::Progressed(id) => {
                self.configuration.record_progress(id);
                self.upstreams.record_progress(id);
            }
            Input::Role(role, rank) => {
                self.rank = rank;
                self.change_role(role, now);
            }
            Input::Tick => {}
        }
        self.run_due(now);
        std::mem::take(&mut self.outputs)
    }

    /// The list for an instance that lacks it, or lacks the changes after a position; `None` if this one is not certain of
    /// it. Taking it from a neighbour spares the store's link, which would carry it to hundreds at once.
    pub fn peer_list(&self, since: Option<Position>, now: Time) -> Option<PeerList> {
        let to = self.upstreams.position.filter(|to| to.era == self.era)?;
        let age_ms = now.since(self.refreshed_at);
        if age_ms >= self.bound.bound_ms || self.roster.has_missing() {
            return None;
        }
        let changes = match since {
            Some(since) => self.roster.changes_since(since)?,
            None => self.roster.snapshot(to.era),
        };
        Some(PeerList {
            age_ms,
            changes,
            is_complete: since.is_none(),
            to,
        })
    }

    /// When to call [`Self::handle`] with [`Input::Tick`] if nothing else happens; `None` if nothing is scheduled.
    pub fn next_wake(&self) -> Option<Time> {
        let times = [Topic::Configuration, Topic::Upstreams].into_iter();
        let times = times.filter_map(|topic| {
            let calls = self.topic_calls(topic);
            if calls.pending.is_none() {
                return Some(self.due(topic));
            }
            let abandon_at = calls.abandon_at(&self.availability).map(|(at, _)| at);
            abandon_at
                .into_iter()
                .chain(self.unconfirmed_at(topic))
                .min()
        });
        times.chain(self.entry_expiry()).min()
    }

    /// Whether watchers confirm to each other that a topic is unchanged.
    fn is_confirmed(&self, topic: Topic) -> bool {
        match (topic, self.role) {
            (_, Role::Independent) | (Topic::Configuration, Role::Watcher) => true,
            // A watcher uses a fraction of the bound as its wait for the list.
            (Topic::Upstreams, Role::Watcher) | (_, Role::Standby | Role::Follower) => false,
        }
    }

    /// Whether this instance sends the confirmations: it has the lowest rank, or has heard none from a lower rank for
    /// long.
    fn confirms(&self, topic: Topic, now: Time) -> bool {
        let silent_until = self
            .topic_calls(topic)
            .last_confirmation
            .after(self.bound.unconfirmed_ms(self.rank));
        self.is_confirmed(topic) && (self.rank.rank == 0 || silent_until <= now)
    }

    /// Time until which the known state of a topic counts as current without another confirmation.
    fn confirmed_until(&self, topic: Topic) -> Option<Time> {
        let calls = self.topic_calls(topic);
        let until = calls
            .confirmed_at
            .after(self.bound.unconfirmed_ms(self.rank));
        self.is_confirmed(topic).then_some(until)
    }

    /// When to cancel a watch that nobody has confirmed. With seven processes a dead connection delayed the news that
    /// an upstream leaves by 6.2 s, where 2 s are allowed.
    fn unconfirmed_at(&self, topic: Topic) -> Option<Time> {
        let is_watch = self
            .topic_calls(topic)
            .pending
            .is_some_and(|pending| pending.is_watch);
        self.confirmed_until(topic).filter(|_| is_watch)
    }

    /// When to read the store about a missing entry although a watch is waiting for other changes.
    fn entry_expiry(&self) -> Option<Time> {
        let is_watch = self
            .upstreams
            .pending
            .is_some_and(|pending| pending.is_watch);
        self.roster.next_expiry().filter(|_| is_watch)
    }

    /// When a follower reads the store about a missing entry, as its peers do not mention it.
    fn missed_expiry(&self) -> Option<Time> {
        Some(self.roster.next_expiry()?.after(REORDER_WINDOW_MS))
    }

    fn topic_calls(&self, topic: Topic) -> &StoreCalls {
        match topic {
            Topic::Configuration => &self.configuration,
            Topic::Upstreams => &self.upstreams,
        }
    }

    pub(crate) fn topic_calls_mut(&mut self, topic: Topic) -> &mut StoreCalls {
        match topic {
            Topic::Configuration => &mut self.configuration,
            Topic::Upstreams => &mut self.upstreams,
        }
    }

    /// Whether a topic is followed through other instances; what was never read is read first.
    pub(crate) fn follows(&self, topic: Topic) -> bool {
        let known = match topic {
            Topic::Configuration => {
                self.active_revision.is_some() || self.takes_first_configuration
            }
            Topic::Upstreams => self.upstreams.position.is_some(),
        };
        self.role.follows() && known
    }

    /// Whether peers have a newer configuration.
    pub(crate) fn is_configuration_behind(&self) -> bool {
        self.peer_state.configuration > self.active_revision
    }

    fn handle_answer(&mut self, id: u64, answer: Answer, now: Time) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        let confirms = self
            .topic_calls(call.topic)
            .pending
            .is_some_and(|pending| pending.confirms);
        self.topic_calls_mut(call.topic).record_success();
        match answer {
            Answer::Compacted => self.topic_calls_mut(call.topic).record_compaction(now),
            Answer::Complete(_, position) if self.is_outdated(call, position) => {
                let calls = self.topic_calls_mut(call.topic);
                calls.position = None;
                calls.not_before = now;
                self.outputs.push(Output::Outdated(call.topic));
            }
            Answer::Complete(Content::Configuration { bytes, config }, position) => {
                self.handle_configuration(call, bytes, config, position, now);
            }
            Answer::Complete(Content::Upstreams(changes), position) => {
                self.handle_upstreams(call, changes, position, now);
            }
        }
        let topic = call.topic;
        let Some(to) = self.topic_calls(topic).position else {
            return;
        };
        if call.since.is_some() {
            self.topic_calls_mut(topic).record_changes();
        }
        self.topic_calls_mut(topic).confirmed_at = now;
        if confirms && self.rank.count > 1 {
            self.outputs.push(Output::Confirm(Confirmed { to, topic }));
        }
    }

    /// Whether an answer does not describe the present store: it is of an earlier era, or lists changes since a
    /// position that is no longer in the store's history. Serializable reads are ordered by their content instead.
    fn is_outdated(&self, call: Call, position: Position) -> bool {
        let behind = call.since.is_some_and(|since| since.era != position.era);
        call.consistency == Consistency::Linearizable && (position.era < self.era || behind)
    }

    /// Enters a new era: the store was restored from a backup. Earlier positions are void, watches since them are
    /// cancelled, and everything is read again. A watch that continued from such a position missed what the store
    /// wrote again up to it, and an upstream that left then got work for 7 s and more.
    pub(crate) fn enter_era(&mut self, era: u64, now: Time) {
        if era <= self.era {
            return;
        }
        let first = self.upstreams.position.is_none() && self.configuration.position.is_none();
        self.era = era;
        if first && self.active_revision.is_none() {
            return;
        }
        self.outputs.push(Output::Era(era));
        for topic in [Topic::Configuration, Topic::Upstreams] {
            if self
                .topic_calls(topic)
                .pending
                .is_some_and(|pending| pending.is_incremental)
            {
                self.cancel(topic, CancelReason::StoreRestored);
            }
            self.topic_calls_mut(topic).reset_for_era(now);
        }
        self.pending_read = None;
        self.peer_uptime = None;
        self.gap_since = None;
        self.early_updates.clear();
    }

    fn handle_failure(&mut self, id: u64, now: Time) {
        let Some(call) = self.calls.remove(&id) else {
            return;
        };
        match (call.source, call.topic) {
            (Source::Peer, Topic::Configuration) => {
                self.configuration.pending = None;
                self.retry_configuration(now);
            }
            (Source::Peer, Topic::Upstreams) => self.record_peer_failure(now),
            (Source::Store, topic) => self.record_failure(topic, now),
        }
    }

    pub(crate) fn record_failure(&mut self, topic: Topic, now: Time) {
        let (availability, bound) = (self.availability, self.bound);
        let urgent = topic == Topic::Configuration && self.active_revision.is_none();
        self.topic_calls_mut(topic)
            .record_failure(urgent, &availability, bound, now);
        match topic {
            Topic::Configuration => self.pending_read = None,
            Topic::Upstreams => {
                self.refreshed_at = now;
                self.gap_since = None;
                self.early_updates.clear();
            }
        }
    }

    pub(crate) fn handle_report(&mut self, report: PeerReport, now: Time) {
        let confirmed = report.confirmed.map(|confirmed| confirmed.to.era);
        let update = report.update.as_ref().map(|update| update.to.era);
        let newest = confirmed.into_iter().chain(update).max();
        self.enter_era(newest.unwrap_or(0).max(report.list.era), now);
        self.peer_state.configuration = self.peer_state.configuration.max(report.configuration);
        self.peer_state.list = self.peer_state.list.max(report.list);
        if let Some(confirmed) = report.confirmed {
            self.handle_confirmation(confirmed, &report, now);
        }
        let Some(update) = report.update else {
            return;
        };
        self.last_heard = now;
        self.record_peer_uptime(&update, now);
        if !self.follows(Topic::Upstreams) {
            self.keep_until_list(update);
            return;
        }
        let outage = update.outage(now);
        self.roster.is_store_down = outage.is_some_and(|outage| self.is_shared_outage(outage, now));
        if let Some(outage) = outage.filter(|_| self.roster.is_store_down) {
            self.roster
                .note_peer_return(outage, self.availability.last_unanswered());
        }
        let known = self.upstreams.position.unwrap_or_default();
        match self.roster.apply_update(&update, known, now) {
            UpdateOutcome::Applied => {
                if outage.is_none() {
                    self.fleet_availability.record_success(now);
                }
                let known = self
                    .roster
                    .catch_up(update.to, &mut self.early_updates, now);
                self.upstreams.position = Some(known);
                // The sender announced it to the other instances too.
                self.roster.set_announced(known);
                if self.early_updates.is_empty() {
                    self.refreshed_at = now;
                    self.gap_since = None;
                }
                self.emit_upstreams(now);
            }
            UpdateOutcome::Gap => {
                self.early_updates.push(update);
                self.gap_since.get_or_insert(now);
            }
            UpdateOutcome::Stale => {}
        }
    }

    /// Handles a confirmation from a peer, unless this instance already knows more.
    fn handle_confirmation(&mut self, confirmed: Confirmed, report: &PeerReport, now: Time) {
        let topic = confirmed.topic;
        let (newest, same) = match topic {
            Topic::Configuration => (
                report.configuration >= self.active_revision,
                report.configuration == self.active_revision,
            ),
            Topic::Upstreams => (
                confirmed.to >= self.roster.last_change,
                Some(report.list) <= self.upstreams.position,
            ),
        };
        if !newest {
            return;
        }
        let calls = self.topic_calls_mut(topic);
        calls.last_confirmation = now;
        if same {
            calls.confirmed_at = now;
        }
    }

    fn change_role(&mut self, role: Role, now: Time) {
        if !self.has_list && self.peer_attempts == 0 {
            self.upstreams.not_before = now;
        }
        if role == self.role {
            return;
        }
        if role.follows() && (self.upstreams.position.is_none() || self.active_revision.is_none()) {
            let turn_ms = STORE_TURN_MS * self.place.unwrap_or_default() as u64;
            self.peers_until = now.after(PEERS_BOUNDS * self.bound.bound_ms + turn_ms);
        }
        self.takes_first_configuration =
            role.follows() && self.place.is_some() && self.active_revision.is_none();
        let followed = self.role.follows();
        self.role = role;
        for topic in [Topic::Configuration, Topic::Upstreams] {
            if self
                .topic_calls(topic)
                .pending
                .is_some_and(|pending| pending.is_incremental)
            {
                self.cancel(topic, CancelReason::RoleChanged);
            }
        }
        if followed && !role.follows() {
            self.configuration.position = None;
        }
        if !followed {
            self.read_at = now;
            self.refreshed_at = now;
        }
        self.pending_read = None;
        self.gap_since = None;
        self.early_updates.clear();
    }

    /// Cancels the pending call of a topic.
    fn cancel(&mut self, topic: Topic, reason: CancelReason) {
        let Some(pending) = self.topic_calls_mut(topic).pending.take() else {
            return;
        };
        if let Some(call) = self.calls.remove(&pending.id) {
            self.outputs.push(Output::Cancel(call, reason));
        }
    }

    /// Performs everything that is due.
    fn run_due(&mut self, now: Time) {
        if self.entry_expiry().is_some_and(|expiry| expiry <= now) {
            // A missing entry is removed on evidence from the store, not on a timer alone.
            self.cancel(Topic::Upstreams, CancelReason::EntryExpired);
            self.upstreams.answered = false;
        }
        let is_behind = self.is_configuration_behind() && !self.follows(Topic::Configuration);
        self.configuration.set_behind(is_behind, now);
        let is_behind = Some(self.peer_state.list) > self.upstreams.position;
        self.upstreams.set_behind(is_behind, now);
        self.update_first_read(now);
        if self.follows(Topic::Configuration)
            && self.is_configuration_behind()
            && self.pending_read.is_none()
        {
            self.pending_read = Some(self.first_read(now));
        }
        for topic in [Topic::Configuration, Topic::Upstreams] {
            if self.unconfirmed_at(topic).is_some_and(|at| at <= now) {
                self.cancel(topic, CancelReason::Unconfirmed);
                self.topic_calls_mut(topic).answered = false;
            }
            if let Some((at, reason)) = self.topic_calls(topic).abandon_at(&self.availability)
                && at <= now
            {
                self.cancel(topic, reason);
                self.record_failure(topic, now);
                if topic == Topic::Configuration && reason == CancelReason::PeersAhead {
                    // A read returns the newest state whatever became of the watch.
                    self.configuration.position = None;
                }
            }
            if self.topic_calls(topic).pending.is_none() && self.due(topic) <= now {
                self.start_call(topic, now);
            }
        }
    }

    /// When the next call of a topic is due if none is pending.
    fn due(&self, topic: Topic) -> Time {
        let next_call_at = self.topic_calls(topic).next_call_at(&self.availability);
        if !self.follows(topic) {
            return match topic {
                Topic::Configuration => next_call_at,
                // Batching lasts no longer than the grace period of missing entries.
                Topic::Upstreams if self.upstreams.has_failed() => next_call_at,
                Topic::Upstreams => self
                    .roster
                    .next_expiry()
                    .map_or(next_call_at, |expiry| next_call_at.min(expiry)),
            };
        }
        let silence = self.bound.silence_ms(self.role);
        let due_at = match topic {
            Topic::Configuration => match self.pending_read {
                Some(read) => read.at,
                None => self.last_heard.max(self.read_at).after(silence),
            },
            Topic::Upstreams => {
                let on_silence = self.refreshed_at.after(silence);
                let on_gap = self
                    .gap_since
                    .map(|gap_since| gap_since.after(REORDER_WINDOW_MS));
                let sooner = on_gap.into_iter().chain(self.missed_expiry());
                sooner.fold(on_silence, Time::min)
            }
        };
        due_at.max(next_call_at)
    }

    /// Wait of the instance that sends confirmations, in milliseconds: with the pause before it, the interval between
    /// two such calls.
    fn confirm_wait_ms(&self, topic: Topic) -> u64 {
        let pause = match topic {
            Topic::Configuration => 0,
            Topic::Upstreams => self.batch_pause_ms(),
        };
        let wait = self.bound.confirm_ms().saturating_sub(pause);
        wait.max(WAIT_MIN_MS)
    }

    fn start_call(&mut self, topic: Topic, now: Time) {
        let calls = self.topic_calls(topic);
        let follows = self.follows(topic);
        let since = match topic {
            Topic::Configuration if follows => None,
            Topic::Configuration | Topic::Upstreams => calls.position,
        };
        // After an unanswered call no watch is started: a silent store may accept it and never answer.
        let is_entry_expired = topic == Topic::Upstreams
            && self
                .roster
                .next_expiry()
                .is_some_and(|expiry| expiry <= now);
        let is_unconfirmed = self
            .confirmed_until(topic)
            .is_some_and(|until| until <= now);
        let is_watch =
            since.is_some() && calls.answered && !follows && !is_entry_expired && !is_unconfirmed;
        let confirms = self.confirms(topic, now);
        let wait_ms = match (topic, self.role) {
            _ if !is_watch => 0,
            _ if confirms => self.confirm_wait_ms(topic),
            (Topic::Configuration, _) | (Topic::Upstreams, Role::Independent) => WAIT_MS,
            // Followers need at least the confirmation that nothing has changed.
            (Topic::Upstreams, Role::Standby | Role::Follower | Role::Watcher) => {
                self.bound.wait_ms()
            }
        };
        let consistency = match (topic, self.pending_read) {
            (Topic::Configuration, Some(read))
                if follows
                    && read.step < READ_PAUSES_MS.len()
                    && self.config_bytes < LARGE_CONFIG_BYTES =>
            {
                Consistency::Serializable
            }
            _ => Consistency::Linearizable,
        };
        let source = match (topic, self.pending_read) {
            (Topic::Configuration, Some(read)) if follows => read.source,
            (Topic::Upstreams, _) if !is_entry_expired => self.list_source(now),
            (Topic::Configuration | Topic::Upstreams, _) => Source::Store,
        };
        let timeout_ms = match (topic, source) {
            (Topic::Configuration, Source::Peer) => PEER_READ_TIMEOUT_MS,
            _ => calls.timeout_ms,
        };
        let call = Call {
            consistency,
            id: self.next_call,
            is_retry: calls.has_failed(),
            since,
            source,
            timeout_ms,
            topic,
            wait_ms,
        };
        self.next_call += 1;
        if follows {
            match topic {
                Topic::Configuration if source == Source::Peer => {}
                Topic::Configuration => self.read_at = now,
                Topic::Upstreams => {
                    let known = self.upstreams.position.unwrap_or_default();
                    self.roster.set_announced(known);
                }
            }
        }
        let pending = store_calls::PendingCall {
            confirms,
            id: call.id,
            is_incremental: since.is_some(),
            is_watch: wait_ms > 0,
            progress: store_calls::Progress::Awaited,
            source,
            started_at: now,
        };
        self.topic_calls_mut(topic).pending = Some(pending);
        self.calls.insert(call.id, call);
        self.outputs.push(Output::Call(call));
    }
}
