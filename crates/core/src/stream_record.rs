//! Records of relayed streams that instances exchange.

use super::*;

/// Retention time for records that are not renewed, in milliseconds. Exceeds the duration of a stream plus the time until
/// its caller returns.
const RETENTION_MS: u64 = 30_000;

/// Time after which a stream without a new record no longer counts as running, in milliseconds: a long response of a busy
/// engine. The instance that reported it may be gone.
const RUNNING_MS: u64 = 20_000;

/// Assumed duration of the prefill of another instance's stream if the engines' speed is unknown, in milliseconds.
/// In large fleets instances do not report the end of a prefill.
pub(crate) const DEFAULT_PREFILL_MS: u64 = 1_500;

/// Time after which a stream reported as waiting no longer counts, in milliseconds. Exceeds most waiting times. The
/// instance that reported it may be gone.
const WAITING_MS: u64 = 5_000;

/// Maximum number of records; beyond it, those in the older half of the retention time are removed.
const MAX_ENTRIES: usize = 20_000;

/// Keys of upstreams by incarnation.
pub(crate) type UpstreamsByIncarnation = BTreeMap<Incarnation, upstream::Key>;

/// Progress of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// Answered completely.
    Ended,
    /// Interrupted by its caller or by a failure; the caller may return.
    Left,
    /// Sent to an upstream.
    Started,
    /// First event received.
    Streaming,
    /// Queued at its instance for lack of capacity.
    Waiting,
}

/// Record of a relayed stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StreamRecord {
    /// Upstream that keeps a copy of its KV cache.
    pub backup: Option<Incarnation>,
    /// Whether its caller has events, so that it is bound to the version.
    pub has_begun: bool,
    /// The run that brought its first event, or its run if none has arrived.
    pub origin: RunId,
    /// Name of the pool in whose queue it is; empty unless it is queued.
    pub pool: String,
    /// Hash of what is asked; see [`request::Relay::prompt`].
    pub prompt: u64,
    /// Its rank; `None` if no ranks are in force in its pool, or if its instance tells none.
    pub rank: Option<Rank>,
    /// Request id at its upstreams.
    pub run: String,
    /// Progress.
    pub stage: Stage,
    /// Time in milliseconds within which it must start to be in time, 0 if it no longer can; `None` if not stated.
    pub start_within_ms: Option<u64>,
    /// Tokens of the prompt and the longest possible response.
    pub tokens: u32,
    /// Upstream that runs it.
    pub upstream: Option<Incarnation>,
    /// Version that began it, or of the upstream that it was sent to; unstated if not known.
    pub version: Version,
}

impl StreamRecord {
    /// Sets the origin of the stream, as far as it has one; otherwise `version` is that of the upstream it was sent to.
    pub(crate) fn set_origin(&mut self, progress: &request::RelayProgress, version: Version) {
        self.origin = progress.run;
        (self.has_begun, self.version) = match progress.origin {
            Origin::Begun(begun) => (true, begun),
            Origin::Unbegun => (false, version),
            Origin::Unknown => (true, Version::UNSTATED),
        };
    }
}

/// How this instance came to know of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Source {
    /// Another instance announced it to this one, as it does all streams with the same content.
    Announced,
    /// It was looked up, or read from the store.
    Found,
    /// This instance relays it.
    Own,
}

/// State kept for one record.
#[derive(Clone, Debug)]
struct Entry {
    at: Time,
    /// Upstream that keeps a copy of its KV cache, if known here.
    backup: Option<upstream::Key>,
    /// When `reservation` may change.
    expires_at: Time,
    /// Whether another stream has its identifier, or may have.
    is_ambiguous: bool,
    /// Whether a later stream with the same content, none of whose events have arrived either, counts in its place: mostly
    /// its caller's next attempt.
    is_superseded: bool,
    /// Estimated duration of its prefill, in milliseconds.
    prefill_ms: u64,
    record: StreamRecord,
    reservation: Reservation,
    source: Source,
    /// Upstream that runs it, if known here.
    upstream: Option<upstream::Key>,
}

/// Resources that a stream of another instance is estimated to hold.
#[derive(Clone, Debug)]
enum Reservation {
    Nothing,
    /// Position in the queue of its pool, and in the order of its turns if it has a rank.
    QueueSlot(Option<Turn>),
    /// Memory and compute of its upstream, and memory of the upstream with its copy.
    Resources(Box<Usage>),
}

/// Records of streams, and the sum of their reservations. Sums are updated incrementally, so that the cost of a
/// decision does not grow with the number of streams.
#[derive(Clone, Debug, Default)]
pub(crate) struct StreamRecords {
    /// When reservations may change.
    due: BTreeSet<(Time, StreamId)>,
    ended: EndedStreams,
    entries: BTreeMap<StreamId, Entry>,
    /// Until when streams that callers take up may be unknown here although others with their content are known.
    incomplete_until: Option<Time>,
    /// Usage of each upstream by streams of other instances.
    usages: SecondaryMap<upstream::Key, Usage>,
    /// Queued streams of other instances that have begun, by pool.
    begun: HashMap<String, BTreeSet<StreamId>>,
    /// Queued streams of other instances by pool, in the order of their turns; only those with a rank.
    turns: HashMap<String, BTreeSet<(Turn, StreamId)>>,
    /// Queued streams of other instances by pool, in the order of their records.
    waiting: HashMap<String, BTreeSet<(Time, StreamId)>>,
}

impl Entry {
    /// Its place in the order of its pool; `None` if it has no rank. If its instance states no latest start, it is taken
    /// to be due.
    fn turn(&self) -> Option<Turn> {
        let start_within_ms = self.record.start_within_ms;
        Some(Turn {
            is_late: start_within_ms == Some(0),
            rank: self.record.rank?,
            start_by: self.at.after(start_within_ms.unwrap_or(0)),
        })
    }

    /// Returns its reservation at `now`, and when that may change.
    fn reservation_at(&self, now: Time) -> (Reservation, Time) {
        let age = now.since(self.at);
        let tokens = self.record.tokens;
        let resources = |is_prefilling| {
            let usage = Usage::new(is_prefilling, tokens, self.record.rank);
            Reservation::Resources(usage.into())
        };
        let (reservation, until) = match self.record.stage {
            _ if self.source == Source::Own || self.is_superseded => {
                (Reservation::Nothing, RETENTION_MS)
            }
            Stage::Started if age < self.prefill_ms => (resources(true), self.prefill_ms),
            Stage::Started | Stage::Streaming if age < RUNNING_MS => (resources(false), RUNNING_MS),
            Stage::Waiting if age < WAITING_MS => (Reservation::QueueSlot(self.turn()), WAITING_MS),
            _ => (Reservation::Nothing, RETENTION_MS),
        };
        (reservation, self.at.after(until))
    }
}

impl StreamRecords {
    /// Adds a record. The stream's prefill is assumed to take `prefill_ms`.
    pub fn add(
        &mut self,
        record: StreamRecord,
        source: Source,
        prefill_ms: u64,
        upstreams: &UpstreamsByIncarnation,
        now: Time,
    ) {
        match record.stage {
            Stage::Ended => {
                self.remove(record.id());
                if self.ended.add(record.id(), now) {
                    self.mark_incomplete(now);
                }
            }
            Stage::Left => {
                if let Some(entry) = self.entries.get_mut(&record.id())
                    && entry.record.run == record.run
                {
                    entry.record.stage = Stage::Left;
                    entry.record.has_begun |= record.has_begun;
                    self.update(record.id(), now);
                }
            }
            Stage::Started | Stage::Streaming | Stage::Waiting => {
                if self.entries.len() >= MAX_ENTRIES {
                    self.remove_older(now);
                }
                let id = record.id();
                let find = |incarnation: Option<Incarnation>| upstreams.get(&incarnation?).copied();
                let is_ambiguous = self.is_begun_again(&record);
                self.remove(id);
                self.supersede(&record, now);
                let entry = Entry {
                    at: now,
                    backup: find(record.backup),
                    expires_at: now,
                    is_ambiguous,
                    is_superseded: false,
                    prefill_ms: prefill_ms.min(RUNNING_MS),
                    reservation: Reservation::Nothing,
                    source,
                    upstream: find(record.upstream),
                    record,
                };
                self.entries.insert(id, entry);
                self.update(id, now);
            }
        }
    }

    /// Updates reservations that are due for a change, and removes expired records.
    pub fn advance(&mut self, now: Time) {
        self.ended.expire(now);
        while let Some((at, id)) = self.due.first().copied()
            && at <= now
        {
            let entry = self.entries.get(&id);
            if entry.is_none_or(|entry| now.since(entry.at) >= RETENTION_MS) {
                self.remove(id);
                self.due.remove(&(at, id));
            } else {
                self.update(id, now);
            }
        }
    }

    /// Links existing records to an upstream that has become known.
    pub fn resolve(&mut self, incarnation: Incarnation, key: upstream::Key, now: Time) {
        let incarnation = Some(incarnation);
        let affected: Vec<StreamId> = self
            .entries
            .iter()
            .filter(|(_, entry)| {
                entry.record.upstream == incarnation || entry.record.backup == incarnation
            })
            .map(|(id, _)| *id)
            .collect();
        for id in affected {
            self.release(id);
            if let Some(entry) = self.entries.get_mut(&id) {
                if entry.record.upstream == incarnation {
                    entry.upstream = Some(key);
                } else {
                    entry.backup = Some(key);
                }
            }
            self.update(id, now);
        }
    }

    /// Last record of a stream.
    pub fn get(&self, id: StreamId) -> Option<&StreamRecord> {
        self.entries.get(&id).map(|entry| &entry.record)
    }

    /// How this instance came to know of a stream.
    pub fn source(&self, id: StreamId) -> Option<Source> {
        self.entries.get(&id).map(|entry| entry.source)
    }

    /// Records of the streams with this content that have not ended.
    pub fn with_content(&self, content: u64) -> impl Iterator<Item = &StreamRecord> {
        let entries = self.entries.range(StreamId::with_content(content));
        entries.map(|(_, entry)| &entry.record)
    }

    /// Whether there are other streams with the content of one.
    pub fn has_others_like(&self, id: StreamId) -> bool {
        self.with_content(id.content)
            .any(|record| record.id() != id)
    }

    /// Streams with this content that have ended.
    pub fn ended_with_content(&self, content: u64) -> impl Iterator<Item = StreamId> {
        self.ended.with_content(content)
    }

    /// Whether another instance announces the streams with this content here.
    pub fn is_told_of(&self, content: u64) -> bool {
        let mut entries = self.entries.range(StreamId::with_content(content));
        entries.any(|(_, entry)| entry.source == Source::Announced)
    }

    /// Whether a stream and another one have the same identifier, or may have.
    pub fn is_ambiguous(&self, id: StreamId) -> bool {
        self.entries
            .get(&id)
            .is_some_and(|entry| entry.is_ambiguous)
    }

    /// Whether streams that callers take up may be unknown here although others with their content are known.
    pub fn may_lack_streams(&self, now: Time) -> bool {
        self.incomplete_until.is_some_and(|until| now < until)
    }

    /// Notes that streams may have been missed that callers may take up.
    pub fn mark_incomplete(&mut self, now: Time) {
        self.incomplete_until = Some(now.after(RETENTION_MS));
    }

    /// Whether a record shows that a run which has begun was sent anew from the start: its caller has used its name again.
    fn is_begun_again(&self, record: &StreamRecord) -> bool {
        self.entries.get(&record.id()).is_some_and(|entry| {
            let is_same_run = entry.record.run == record.run;
            let starts = record.stage == Stage::Started && !record.has_begun;
            entry.is_ambiguous || (is_same_run && starts && entry.record.has_begun)
        })
    }

    /// Has a stream whose first event has not arrived count in place of others with the same content that have none either,
    /// and a run in place of what was reported of it before: instances of the previous version report waiting streams under
    /// other identifiers.
    fn supersede(&mut self, record: &StreamRecord, now: Time) {
        let entries = self
            .entries
            .range_mut(StreamId::with_content(record.prompt));
        let replaced = entries.filter(|(_, entry)| {
            let is_unbegun = !record.has_begun && !entry.record.has_begun;
            !entry.is_superseded && (is_unbegun || entry.record.run == record.run)
        });
        let superseded: Vec<StreamId> = replaced
            .map(|(id, entry)| {
                entry.is_superseded = true;
                *id
            })
            .collect();
        for id in superseded {
            self.update(id, now);
        }
    }

    /// Time since another instance reported the start of a stream whose prefill is in progress, as a
    /// multiple of its estimated duration.
    pub fn prefill_pace(&self, record: &StreamRecord, now: Time) -> Option<f64> {
        let entry = self.entries.get(&record.id())?;
        let is_same = entry.record.run == record.run && entry.record.upstream == record.upstream;
        let is_prefilling =
            is_same && entry.record.stage == Stage::Started && entry.source != Source::Own;
        let duration = entry.prefill_ms.max(1) as f64;
        is_prefilling.then(|| now.since(entry.at) as f64 / duration)
    }

    /// Estimated usage of an upstream by streams of other instances.
    pub fn usage(&self, key: upstream::Key) -> Usage {
        self.usages.get(key).copied().unwrap_or_default()
    }

    /// Number of streams of other instances that are estimated to be queued for a pool and were so before a time.
    pub fn waiting(&self, pool: &str, before: Time) -> usize {
        let waiting = self.waiting.get(pool);
        waiting.map_or(0, |waiting| {
            waiting.range(..=(before, StreamId::MAX)).count()
        })
    }

    /// Number of streams of other instances that are estimated to be queued for a pool and whose turn is before another.
    pub fn waiting_before(&self, pool: &str, turn: Turn) -> usize {
        let turns = self.turns.get(pool);
        turns.map_or(0, |turns| {
            turns.range(..(turn, StreamId::default())).count()
        })
    }

    /// Streams of other instances that have begun and are estimated to be queued for a pool.
    pub fn begun_waiting(&self, pool: &str) -> impl Iterator<Item = &StreamRecord> {
        let ids = self.begun.get(pool).into_iter().flatten();
        ids.filter_map(|id| self.get(*id))
    }

    /// Upstream that runs a stream of another instance, as far as is known.
    pub fn upstream_of(&self, id: StreamId) -> Option<upstream::Key> {
        let entry = self.entries.get(&id)?;
        let is_running = matches!(entry.reservation, Reservation::Resources(_));
        entry.upstream.filter(|_| is_running)
    }

    /// Recomputes the reservation of a stream.
    fn update(&mut self, id: StreamId, now: Time) {
        self.release(id);
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        self.due.remove(&(entry.expires_at, id));
        (entry.reservation, entry.expires_at) = entry.reservation_at(now);
        self.due.insert((entry.expires_at, id));
        match &entry.reservation {
            Reservation::Nothing => {}
            Reservation::Resources(usage) => {
                for (key, usage) in usage.split(entry.upstream, entry.backup) {
                    if let Some(entry) = self.usages.entry(key) {
                        entry.or_default().add(usage);
                    }
                }
            }
            Reservation::QueueSlot(turn) => {
                let pool = entry.record.pool.clone();
                if entry.record.has_begun {
                    self.begun.entry(pool.clone()).or_default().insert(id);
                }
                if let Some(turn) = *turn {
                    let turns = self.turns.entry(pool.clone()).or_default();
                    turns.insert((turn, id));
                }
                self.waiting.entry(pool).or_default().insert((entry.at, id));
            }
        }
    }

    /// Releases the reservation of a stream.
    fn release(&mut self, id: StreamId) {
        let Some(entry) = self.entries.get_mut(&id) else {
            return;
        };
        match std::mem::replace(&mut entry.reservation, Reservation::Nothing) {
            Reservation::Nothing => {}
            Reservation::Resources(usage) => {
                for (key, usage) in usage.split(entry.upstream, entry.backup) {
                    if let Some(entry) = self.usages.get_mut(key) {
                        entry.subtract(usage);
                    }
                }
            }
            Reservation::QueueSlot(turn) => {
                if let Some(begun) = self.begun.get_mut(&entry.record.pool) {
                    begun.remove(&id);
                }
                if let Some(turn) = turn
                    && let Some(turns) = self.turns.get_mut(&entry.record.pool)
                {
                    turns.remove(&(turn, id));
                }
                if let Some(waiting) = self.waiting.get_mut(&entry.record.pool) {
                    waiting.remove(&(entry.at, id));
                }
            }
        }
    }

    fn remove(&mut self, id: StreamId) {
        self.release(id);
        if let Some(entry) = self.entries.remove(&id) {
            self.due.remove(&(entry.expires_at, id));
        }
    }

    /// Removes records older than half the retention time.
    fn remove_older(&mut self, now: Time) {
        self.mark_incomplete(now);
        let is_old = |entry: &Entry| now.since(entry.at) >= RETENTION_MS / 2;
        let old: Vec<StreamId> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_old(entry))
            .map(|(id, _)| *id)
            .collect();
        for id in old {
            self.remove(id);
        }
    }
}
