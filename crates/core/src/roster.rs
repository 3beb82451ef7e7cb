//! The list of upstreams as the store holds it, and its changes as instances announce them to each other.

use super::*;

/// Maximum size of the changes in one update, in bytes, so that its datagram is not fragmented.
const UPDATE_BYTES: usize = 1_200;

/// Encoded size of a change without its strings, in bytes.
const CHANGE_BYTES: usize = 44;

/// State of an upstream's entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Entry {
    /// It was deleted or its lease expired.
    Deleted,
    /// It was written and names no usable upstream, for instance by another writer: the upstream of this name gets no
    /// new work.
    Invalid,
    /// It was written.
    Listed(ListEntry),
}

/// Time that a datagram may take, in milliseconds, allowed for where a peer's report of a missing entry counts from
/// its arrival.
const DATAGRAM_DELAY_MS: u64 = 50;

/// Minimum time between two returns of the store for the second to end a distinct outage, in milliseconds: two
/// heartbeats of upstreams, the shortest outage in which entries may expire. Instances observe the same return
/// less than that apart.
const DISTINCT_RETURN_MS: u64 = 2_400;

/// The same for two returns that this instance saw itself, in milliseconds: slightly more than the grace period after
/// the first. Otherwise two refusals of 2.2 and 1.9 s, 0.2 s apart, had living upstreams removed.
const DISTINCT_OWN_RETURN_MS: u64 = 2_100;

/// Time for which departures are remembered, in milliseconds: backups that the store is restored from are seconds old,
/// and upstreams that leave are gone within minutes.
const DEPARTURE_MEMORY_MS: u64 = 600_000;

/// Maximum number of remembered departures: all upstreams of the largest supported fleet, replaced once. Beyond it the
/// oldest is dropped.
const DEPARTURES_MAX: usize = 2_200;

/// Maximum number of changes that are kept for other instances; one that lacks more gets the whole list.
const HISTORY_MAX: usize = 10_000;

/// A change of the list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The entry as it is now.
    pub entry: Entry,
    /// Name of the upstream.
    pub name: String,
    /// Position of the change in the store's history.
    pub position: Position,
}

/// Changes of the list that one instance announces to others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RosterUpdate {
    /// Changes in the order of their positions.
    pub changes: Vec<Change>,
    /// Position after which the changes begin.
    pub from: Position,
    /// Remaining grace period of missing entries after an outage of the store, in milliseconds; 0 for none.
    pub grace_ms: u64,
    /// Whether the grace period was extended because the store was down again soon.
    pub is_grace_extended: bool,
    /// Duration of the store's latest outage, in milliseconds; 0 if `grace_ms` is.
    pub outage_ms: u64,
    /// Position up to which the changes are complete.
    pub to: Position,
    /// How long the store had been available to the sender, in milliseconds.
    pub uptime_ms: u64,
}

/// Effect of an update from a peer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UpdateOutcome {
    /// The list is now known up to the update's position.
    Applied,
    /// Changes before it are missing.
    Gap,
    /// This instance already knows more.
    Stale,
}

/// The known upstreams by name.
#[derive(Debug, Default)]
pub struct Roster {
    /// Position up to which changes were announced; `None` before the first announcement.
    announced: Option<Position>,
    /// Names of entries that changed since the last delta was taken.
    changed: BTreeSet<String>,
    /// Incarnations that recently left or were deleted.
    departures: BTreeMap<Incarnation, Departure>,
    entries: BTreeMap<String, ListEntry>,
    /// Latest changes, in order of their positions, for instances that lack them.
    history: VecDeque<Change>,
    /// Position after which `history` is complete.
    history_from: Position,
    /// Whether the grace period was extended because the store was down again soon.
    is_grace_extended: bool,
    /// Whether a peer reported the outage.
    is_outage_reported: bool,
    /// Whether the store was down for this instance too. If it answers here, missing entries have not expired
    /// because of an outage, whatever instances report that it refused.
    pub is_store_down: bool,
    /// Position of the last known change.
    pub last_change: Position,
    /// Latest outage of the store.
    last_outage: Option<Span>,
    /// Missing entries in their grace period: they may have expired while the store was down.
    missing: BTreeSet<String>,
    /// Names added to `missing` and not yet reported.
    new_missing: Vec<String>,
    /// Newest position of anything known.
    newest_seen: Position,
    /// Incarnations whose entries another writer overwrote.
    overwritten: BTreeMap<String, Incarnation>,
    /// Positions at which the listed entries were written.
    positions: BTreeMap<String, Position>,
    /// Changes not yet announced to other instances.
    unannounced: Vec<Change>,
}

/// Departure of an incarnation as the store showed it; a store restored from an older backup may show the state
/// before.
#[derive(Clone, Copy, Debug)]
struct Departure {
    at: Time,
    /// Whether the upstream announced that it is leaving, rather than being deleted.
    leaving: bool,
    /// Position up to which this was known.
    to: Position,
}

impl RosterUpdate {
    /// The store's outage as the sender saw it, if its grace period has not ended.
    pub fn outage(&self, now: Time) -> Option<Span> {
        if self.grace_ms == 0 {
            return None;
        }
        let to = now.before(availability::GRACE_MS.saturating_sub(self.grace_ms));
        let from = to.before(self.outage_ms);
        Some(Span { from, to })
    }
}

impl Roster {
    /// Applies an update from a watcher; the list is known up to `known`.
    pub fn apply_update(
        &mut self,
        update: &RosterUpdate,
        known: Position,
        now: Time,
    ) -> UpdateOutcome {
        // Also with missing changes before it: an instance that reads those itself would otherwise count the outage
        // from its own first answer.
        if self.is_store_down {
            let reported = update.outage(now);
            self.record_outage(reported, DISTINCT_RETURN_MS);
            self.is_outage_reported |= reported.is_some();
            if update.is_grace_extended {
                // Upstreams could not register again meanwhile.
                self.extend_grace(now.after(update.grace_ms));
            }
        }
        if update.from > known {
            return UpdateOutcome::Gap;
        }
        if update.to < known {
            return UpdateOutcome::Stale;
        }
        for change in &update.changes {
            if change.position > known {
                let change = self.correct(change.clone(), now);
                self.apply(&change, now);
                self.remember(change);
            }
        }
        UpdateOutcome::Applied
    }

    /// Applies updates that arrived early, now that the list is known up to `known`; returns the position up to which
    /// it is known then. Updates that still miss a predecessor remain.
    pub fn catch_up(
        &mut self,
        mut known: Position,
        early_updates: &mut Vec<RosterUpdate>,
        now: Time,
    ) -> Position {
        while let Some(next) = early_updates.iter().position(|update| update.from <= known) {
            let update = early_updates.swap_remove(next);
            if self.apply_update(&update, known, now) == UpdateOutcome::Applied {
                known = update.to;
            }
        }
        known
    }

    /// The upstreams that are taken to exist, in order of their names.
    pub fn listed(&self) -> Vec<ListEntry> {
        self.entries.values().cloned().collect()
    }

    /// Number of upstreams that are taken to exist.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no upstream is taken to exist.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Changes of the upstreams that are taken to exist, since the last call.
    pub fn take_delta(&mut self) -> ListDelta {
        let mut delta = ListDelta::default();
        for name in std::mem::take(&mut self.changed) {
            match self.entries.get(&name) {
                Some(listed) => delta.listed.push(listed.clone()),
                None => delta.removed.push(name),
            }
        }
        delta
    }

    /// Removes upstreams that have been missing for the whole grace period, after a call of the store: while the store
    /// is down again no upstream can register.
    pub fn remove_expired(&mut self, now: Time) {
        if self.grace_ms(now) > DATAGRAM_DELAY_MS {
            return;
        }
        for name in std::mem::take(&mut self.missing) {
            self.remove_entry(&name, now);
        }
    }

    /// Missing entries whose grace period has begun, each returned once.
    pub fn take_new_missing(&mut self) -> Vec<String> {
        std::mem::take(&mut self.new_missing)
    }

    /// Remaining grace period of missing entries, in milliseconds.
    pub fn grace_ms(&self, now: Time) -> u64 {
        self.last_outage
            .map_or(0, |outage| availability::grace_ms(outage, now))
    }

    /// When the store must be read about missing entries; `None` if there are none.
    pub fn next_expiry(&self) -> Option<Time> {
        let outage = self.last_outage.filter(|_| !self.missing.is_empty())?;
        Some(outage.to.after(availability::GRACE_MS))
    }

    /// Sets the position that peers already know; later updates contain the changes after it.
    pub fn set_announced(&mut self, position: Position) {
        self.announced = Some(position);
        self.unannounced.clear();
    }

    /// Updates to announce up to a position, at least one that confirms that nothing has changed. `uptime_ms` is how
    /// long the store has been available.
    pub fn pending_updates(
        &mut self,
        known: Position,
        uptime_ms: u64,
        now: Time,
    ) -> Vec<RosterUpdate> {
        let mut from = self.announced.unwrap_or(known);
        let unannounced = std::mem::take(&mut self.unannounced);
        let grace_ms = self.grace_ms(now);
        let outage = self.last_outage.filter(|_| grace_ms > 0);
        let outage_ms = outage.map_or(0, |outage| outage.to.since(outage.from));
        let mut updates: Vec<RosterUpdate> = Vec::new();
        for changes in split_changes(&unannounced) {
            let to = changes.last().map_or(from, |change| change.position);
            updates.push(RosterUpdate {
                changes: changes.to_vec(),
                from,
                grace_ms,
                is_grace_extended: self.is_grace_extended,
                outage_ms,
                to,
                uptime_ms,
            });
            from = to;
        }
        match updates.last_mut() {
            Some(last) => last.to = known,
            None => updates.push(RosterUpdate {
                changes: Vec::new(),
                from,
                grace_ms,
                is_grace_extended: self.is_grace_extended,
                outage_ms,
                to: known,
                uptime_ms,
            }),
        }
        self.announced = Some(known);
        updates
    }

    /// Replaces the list by a full read of the store at a position; `outage` is the store's latest outage. Missing
    /// entries get a grace period.
    pub fn replace_all(
        &mut self,
        entries: &[Change],
        position: Position,
        outage: Option<Span>,
        now: Time,
    ) {
        if position.era > self.last_change.era {
            // Each restore from a backup loses entries of its own, however soon it follows another.
            self.last_outage = outage.or(self.last_outage);
            self.last_change = Position::new(position.era, 0);
        } else {
            self.record_own_outage(outage);
        }
        self.newest_seen = self.newest_seen.max(position);
        let names: BTreeSet<&str> = entries.iter().map(|entry| entry.name.as_str()).collect();
        let missing = |name: &&String| !names.contains(name.as_str());
        let missing: Vec<String> = self.entries.keys().filter(missing).cloned().collect();
        let differences = self.differences(entries, &missing, position);
        if !missing.is_empty() {
            // A deleted entry leaves no position; peers would be told that nothing has changed since the one they
            // know.
            self.last_change = self.last_change.max(position);
        }
        for name in missing {
            self.mark_missing(&name, now);
        }
        for entry in entries {
            self.last_change = self.last_change.max(entry.position);
            let entry = self.correct(entry.clone(), now);
            self.apply(&entry, now);
        }
        self.history.clear();
        self.history_from = position;
        if let Some(differences) = differences {
            self.unannounced.extend(differences);
        } else {
            // The single changes in between are unknown: peers must read the list.
            self.announced = None;
            self.unannounced.clear();
        }
    }

    /// What peers that know the announced list lack of one that was read whole at a position, in order of positions;
    /// `None` if they know none of this era. Otherwise all of them would read the whole list as well, each time that the
    /// store compacts its history.
    fn differences(
        &self,
        entries: &[Change],
        missing: &[String],
        position: Position,
    ) -> Option<Vec<Change>> {
        self.announced
            .filter(|announced| announced.era == position.era)?;
        let is_known = |entry: &&Change| self.positions.get(&entry.name) == Some(&entry.position);
        let written = entries.iter().filter(|entry| !is_known(entry)).cloned();
        let mut differences: Vec<Change> = written.collect();
        differences.sort_by_key(|change| change.position);
        let deleted = |name: &String| Change {
            entry: Entry::Deleted,
            name: name.clone(),
            position,
        };
        differences.extend(missing.iter().map(deleted));
        Some(differences)
    }

    /// Keeps a change for instances that lack it.
    fn remember(&mut self, change: Change) {
        if self.history.len() >= HISTORY_MAX
            && let Some(oldest) = self.history.pop_front()
        {
            self.history_from = oldest.position;
        }
        self.history.push_back(change);
    }

    /// Whether entries are missing, of which it is not known yet whether they expire.
    pub fn has_missing(&self) -> bool {
        !self.missing.is_empty()
    }

    /// The changes after a position; `None` if they are not known one by one.
    pub fn changes_since(&self, position: Position) -> Option<Vec<Change>> {
        if position < self.history_from || position.era != self.history_from.era {
            return None;
        }
        let later = self.history.iter();
        let later = later.filter(|change| change.position > position);
        Some(later.cloned().collect())
    }

    /// All entries, in order of their positions in an era of the store. Those that were written in an earlier one have
    /// none in this, and come first.
    pub fn snapshot(&self, era: u64) -> Vec<Change> {
        let change = |(name, listed): (&String, &ListEntry)| {
            let position = self.positions.get(name).copied().unwrap_or_default();
            Change {
                entry: Entry::Listed(listed.clone()),
                name: name.clone(),
                position: position.max(Position::new(era, 0)),
            }
        };
        let mut changes: Vec<Change> = self.entries.iter().map(change).collect();
        changes.sort_by_key(|change| change.position);
        changes
    }

    /// Applies changes from the store; `outage` is its latest outage. Deleted entries get a grace period.
    pub fn apply_changes(&mut self, changes: Vec<Change>, outage: Option<Span>, now: Time) {
        self.record_own_outage(outage);
        for change in changes {
            self.last_change = self.last_change.max(change.position);
            let change = self.correct(change, now);
            self.apply(&change, now);
            self.remember(change.clone());
            self.unannounced.push(change);
        }
    }

    fn apply(&mut self, change: &Change, now: Time) {
        self.newest_seen = self.newest_seen.max(change.position);
        match &change.entry {
            Entry::Deleted => self.mark_missing(&change.name, now),
            Entry::Listed(listed) => {
                let former = self.entries.get(&change.name).map(ListEntry::incarnation);
                if let Some(former) = former.filter(|former| *former != listed.incarnation()) {
                    self.record_departure(former, false, now);
                }
                if listed.leaving {
                    self.record_departure(listed.incarnation(), true, now);
                }
                self.missing.remove(&change.name);
                self.overwritten.remove(&change.name);
                self.positions.insert(change.name.clone(), change.position);
                self.entries.insert(change.name.clone(), listed.clone());
                self.changed.insert(change.name.clone());
            }
            Entry::Invalid => {
                self.missing.remove(&change.name);
                self.positions.remove(&change.name);
                if let Some(listed) = self.entries.remove(&change.name) {
                    self.changed.insert(change.name.clone());
                    self.overwritten
                        .insert(change.name.clone(), listed.incarnation());
                }
            }
        }
    }

    /// Corrects a change before it is applied. What an older copy of the store holds of a former life is no other writer's.
    fn correct(&self, change: Change, now: Time) -> Change {
        let mut change = self.correct_restored(change, now);
        if self.is_foreign(&change) {
            change.entry = Entry::Invalid;
        }
        change
    }

    /// Whether an entry without a start time stands where an upstream that states its own has written: it is another
    /// writer's, and names no upstream.
    fn is_foreign(&self, change: &Change) -> bool {
        let Entry::Listed(listed) = &change.entry else {
            return false;
        };
        let known = self.entries.get(&change.name).map(ListEntry::incarnation);
        let known = known.or_else(|| self.overwritten.get(&change.name).copied());
        listed.born == 0 && known.is_some_and(|known| known.born > 0)
    }

    /// Corrects a change from a store that may have been restored from a backup older than a departure: an incarnation
    /// that announced its leaving is still leaving, and a deleted one stays deleted unless it has written since.
    /// Otherwise such incarnations got work again for as long as the restored entries stood.
    fn correct_restored(&self, mut change: Change, now: Time) -> Change {
        let Entry::Listed(listed) = &mut change.entry else {
            return change;
        };
        let known = self.entries.get(&change.name).map(ListEntry::incarnation);
        let written_at = self
            .positions
            .get(&change.name)
            .copied()
            .unwrap_or_default();
        let is_restored =
            written_at.era < change.position.era && change.position.revision < written_at.revision;
        if is_restored && known.is_some_and(|known| known != listed.incarnation()) {
            // An earlier incarnation, from before the known one began.
            change.entry = Entry::Deleted;
            return change;
        }
        let before = |departure: &&Departure| {
            departure.to.era < change.position.era && now.since(departure.at) < DEPARTURE_MEMORY_MS
        };
        let Some(departure) = self.departures.get(&listed.incarnation()).filter(before) else {
            return change;
        };
        if departure.leaving {
            listed.leaving = true;
        } else if change.position.revision <= departure.to.revision {
            change.entry = Entry::Deleted;
        }
        change
    }

    /// Records that an incarnation is leaving or was deleted.
    fn record_departure(&mut self, incarnation: Incarnation, leaving: bool, at: Time) {
        let known = self.departures.get(&incarnation);
        if known.is_some_and(|departure| {
            departure.leaving || !leaving && departure.to.era == self.newest_seen.era
        }) {
            return;
        }
        if self.departures.len() >= DEPARTURES_MAX
            && let Some(oldest) = self
                .departures
                .iter()
                .min_by_key(|(_, departure)| departure.at)
        {
            let oldest = *oldest.0;
            self.departures.remove(&oldest);
        }
        let to = self.newest_seen;
        self.departures
            .insert(incarnation, Departure { at, leaving, to });
    }

    /// Removes an entry and records the departure of its incarnation.
    fn remove_entry(&mut self, name: &str, now: Time) {
        self.positions.remove(name);
        if let Some(listed) = self.entries.remove(name) {
            self.changed.insert(name.to_owned());
            self.record_departure(listed.incarnation(), false, now);
        }
    }

    /// Records an outage that this instance saw itself.
    fn record_own_outage(&mut self, outage: Option<Span>) {
        let distinct_ms = if self.is_outage_reported {
            DISTINCT_RETURN_MS
        } else {
            DISTINCT_OWN_RETURN_MS
        };
        self.record_outage(outage, distinct_ms);
    }

    /// Records an outage. If several instances saw the same one, its first return counts: distinct outages last longer
    /// than their returns are apart.
    fn record_outage(&mut self, outage: Option<Span>, distinct_ms: u64) {
        let Some(outage) = outage else {
            return;
        };
        let is_distinct = |known: Span| outage.to.since(known.to) >= distinct_ms;
        if self.last_outage.is_none_or(is_distinct) {
            self.last_outage = Some(outage);
            self.is_grace_extended = false;
        }
    }

    /// Shortens the outage by a span in which a peer reports that the store was up: no missing entry expired then.
    pub fn shorten_outage(&mut self, uptime: Span, availability: &Availability, now: Time) {
        let Some(outage) = &mut self.last_outage else {
            return;
        };
        let ended = now.before(availability::GRACE_MS);
        let to = availability
            .exclude_uptime(*outage, uptime)
            .map_or(ended, |remaining| remaining.to);
        outage.to = outage.to.min(to);
        outage.from = outage.from.min(outage.to);
    }

    /// Extends the grace period of missing entries to a time at least: calls failed again soon after an outage, and
    /// upstreams could not register meanwhile.
    pub fn extend_grace(&mut self, until: Time) {
        if let Some(outage) = &mut self.last_outage
            && until <= outage.to.after(availability::GRACE_MS + DISTINCT_RETURN_MS)
        {
            let to = until.before(availability::GRACE_MS);
            self.is_grace_extended |= to > outage.to;
            outage.to = outage.to.max(to);
        }
    }

    /// Records that a peer saw a later return than the one known here. If this instance found the store unavailable in
    /// between, it is another return, however soon: upstreams register again from then on.
    pub fn note_peer_return(&mut self, outage: Span, unanswered: Option<Time>) {
        let known = self.last_outage.map(|outage| outage.to);
        let between = known
            .zip(unanswered)
            .is_some_and(|(known, unanswered)| known < unanswered && unanswered < outage.to);
        if between {
            self.extend_grace(outage.to.after(availability::GRACE_MS));
        }
    }

    fn mark_missing(&mut self, name: &str, now: Time) {
        if let Some(incarnation) = self.overwritten.remove(name) {
            self.record_departure(incarnation, false, now);
        }
        if !self.entries.contains_key(name) {
            return;
        }
        if self.grace_ms(now) == 0 {
            self.remove_entry(name, now);
            self.missing.remove(name);
        } else if self.missing.insert(name.to_owned()) {
            self.new_missing.push(name.to_owned());
        }
    }
}

/// Splits changes into parts that fit one datagram each.
fn split_changes(changes: &[Change]) -> Vec<&[Change]> {
    let mut parts = Vec::new();
    let (mut start, mut bytes) = (0, 0);
    for (index, change) in changes.iter().enumerate() {
        let length = encoded_bytes(change);
        if bytes + length > UPDATE_BYTES && index > start {
            parts.push(&changes[start..index]);
            (start, bytes) = (index, 0);
        }
        bytes += length;
    }
    if start < changes.len() {
        parts.push(&changes[start..]);
    }
    parts
}

/// Maximum encoded size of a change, in bytes.
fn encoded_bytes(change: &Change) -> usize {
    let string_bytes = match &change.entry {
        Entry::Deleted | Entry::Invalid => 0,
        Entry::Listed(listed) => {
            let name_bytes = listed.data_centre.len() + listed.pool.len() + listed.version.len();
            listed.address.to_string().len() + name_bytes
        }
    };
    CHANGE_BYTES + change.name.len() + string_bytes
}
