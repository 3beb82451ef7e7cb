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
    /// Hash of the prompt.
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

/// State kept for one record.
#[derive(Clone, Debug)]
struct Entry {
    at: Time,
    /// Upstream that keeps a copy of its KV cache, if known here.
    backup: Option<upstream::Key>,
    /// When `reservation` may change.
    expires_at: Time,
    /// Whether this instance relays the stream itself.
    is_own: bool,
    /// Estimated duration of its prefill, in milliseconds.
    prefill_ms: u64,
    record: StreamRecord,
    reservation: Reservation,
    /// Upstream that runs it, if known here.
    upstream: Option<upstream::Key>,
}

/// Resources that a stream of another instance is estimated to hold.
#[derive(Clone, Copy, Debug)]
enum Reservation {
    Nothing,
    /// Position in the queue of its pool, and in the order of its turns if it has a rank.
    QueueSlot(Option<Turn>),
    /// Memory and compute of its upstream, and memory of the upstream with its copy.
    Resources(Usage),
}

/// Records by hash of the prompt, and the sum of their reservations. Sums are updated incrementally, so that the cost of a
/// decision does not grow with the number of streams.
#[derive(Clone, Debug, Default)]
pub(crate) struct StreamRecords {
    /// When reservations may change, with the hash of the prompt.
    due: BTreeSet<(Time, u64)>,
    entries: HashMap<u64, Entry>,
    /// Usage of each upstream by streams of other instances.
    usages: SecondaryMap<upstream::Key, Usage>,
    /// Queued streams of other instances by pool, in the order of their turns; only those with a rank.
    turns: HashMap<String, BTreeSet<(Turn, u64)>>,
    /// Queued streams of other instances by pool, in the order of their records.
    waiting: HashMap<String, BTreeSet<(Time, u64)>>,
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
            Reservation::Resources(Usage::new(is_prefilling, tokens, self.record.rank))
        };
        let (reservation, until) = match self.record.stage {
            _ if self.is_own => (Reservation::Nothing, RETENTION_MS),
            Stage::Started if age < self.prefill_ms => (resources(true), self.prefill_ms),
            Stage::Started | Stage::Streaming if age < RUNNING_MS => (resources(false), RUNNING_MS),
            Stage::Waiting if age < WAITING_MS => (Reservation::QueueSlot(self.turn()), WAITING_MS),
            _ => (Reservation::Nothing, RETENTION_MS),
        };
        (reservation, self.at.after(until))
    }
}

impl StreamRecords {
    /// Adds a record from another instance, or from this one if `is_own` is set. The stream's prefill is assumed to take
    /// `prefill_ms`.
    pub fn add(
        &mut self,
        record: StreamRecord,
        is_own: bool,
        prefill_ms: u64,
        upstreams: &UpstreamsByIncarnation,
        now: Time,
    ) {
        match record.stage {
            Stage::Ended => self.remove(record.prompt),
            Stage::Left => {
                if let Some(entry) = self.entries.get_mut(&record.prompt)
                    && entry.record.run == record.run
                {
                    entry.record.stage = Stage::Left;
                    self.update(record.prompt, now);
                }
            }
            Stage::Started | Stage::Streaming | Stage::Waiting => {
                if self.entries.len() >= MAX_ENTRIES {
                    self.remove_older(now);
                }
                let prompt = record.prompt;
                let find = |incarnation: Option<Incarnation>| upstreams.get(&incarnation?).copied();
                self.remove(prompt);
                let entry = Entry {
                    at: now,
                    backup: find(record.backup),
                    expires_at: now,
                    is_own,
                    prefill_ms: prefill_ms.min(RUNNING_MS),
                    reservation: Reservation::Nothing,
                    upstream: find(record.upstream),
                    record,
                };
                self.entries.insert(prompt, entry);
                self.update(prompt, now);
            }
        }
    }

    /// Updates reservations that are due for a change, and removes expired records.
    pub fn advance(&mut self, now: Time) {
        while let Some((at, prompt)) = self.due.first().copied()
            && at <= now
        {
            let entry = self.entries.get(&prompt);
            if entry.is_none_or(|entry| now.since(entry.at) >= RETENTION_MS) {
                self.remove(prompt);
                self.due.remove(&(at, prompt));
            } else {
                self.update(prompt, now);
            }
        }
    }

    /// Links existing records to an upstream that has become known.
    pub fn resolve(&mut self, incarnation: Incarnation, key: upstream::Key, now: Time) {
        let incarnation = Some(incarnation);
        let affected: Vec<u64> = self
            .entries
            .iter()
            .filter(|(_, entry)| {
                entry.record.upstream == incarnation || entry.record.backup == incarnation
            })
            .map(|(prompt, _)| *prompt)
            .collect();
        for prompt in affected {
            self.release(prompt);
            if let Some(entry) = self.entries.get_mut(&prompt) {
                if entry.record.upstream == incarnation {
                    entry.upstream = Some(key);
                } else {
                    entry.backup = Some(key);
                }
            }
            self.update(prompt, now);
        }
    }

    /// Last record of a prompt.
    pub fn get(&self, prompt: u64) -> Option<&StreamRecord> {
        self.entries.get(&prompt).map(|entry| &entry.record)
    }

    /// Time since another instance reported the start of a stream whose prefill is in progress, as a
    /// multiple of its estimated duration.
    pub fn prefill_pace(&self, record: &StreamRecord, now: Time) -> Option<f64> {
        let entry = self.entries.get(&record.prompt)?;
        let is_same = entry.record.run == record.run && entry.record.upstream == record.upstream;
        let is_prefilling = is_same && entry.record.stage == Stage::Started && !entry.is_own;
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
        waiting.map_or(0, |waiting| waiting.range(..=(before, u64::MAX)).count())
    }

    /// Number of streams of other instances that are estimated to be queued for a pool and whose turn is before another.
    pub fn waiting_before(&self, pool: &str, turn: Turn) -> usize {
        let turns = self.turns.get(pool);
        turns.map_or(0, |turns| turns.range(..(turn, 0)).count())
    }

    /// Recomputes the reservation of a stream.
    fn update(&mut self, prompt: u64, now: Time) {
        self.release(prompt);
        let Some(entry) = self.entries.get_mut(&prompt) else {
            return;
        };
        self.due.remove(&(entry.expires_at, prompt));
        (entry.reservation, entry.expires_at) = entry.reservation_at(now);
        self.due.insert((entry.expires_at, prompt));
        match entry.reservation {
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
                if let Some(turn) = turn {
                    let turns = self.turns.entry(pool.clone()).or_default();
                    turns.insert((turn, prompt));
                }
                self.waiting
                    .entry(pool)
                    .or_default()
                    .insert((entry.at, prompt));
            }
        }
    }

    /// Releases the reservation of a stream.
    fn release(&mut self, prompt: u64) {
        let Some(entry) = self.entries.get_mut(&prompt) else {
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
                if let Some(turn) = turn
                    && let Some(turns) = self.turns.get_mut(&entry.record.pool)
                {
                    turns.remove(&(turn, prompt));
                }
                if let Some(waiting) = self.waiting.get_mut(&entry.record.pool) {
                    waiting.remove(&(entry.at, prompt));
                }
            }
        }
    }

    fn remove(&mut self, prompt: u64) {
        self.release(prompt);
        if let Some(entry) = self.entries.remove(&prompt) {
            self.due.remove(&(entry.expires_at, prompt));
        }
    }

    /// Removes records older than half the retention time.
    fn remove_older(&mut self, now: Time) {
        let is_old = |entry: &Entry| now.since(entry.at) >= RETENTION_MS / 2;
        let old: Vec<u64> = self
            .entries
            .iter()
            .filter(|(_, entry)| is_old(entry))
            .map(|(prompt, _)| *prompt)
            .collect();
        for prompt in old {
            self.remove(prompt);
        }
    }
}
