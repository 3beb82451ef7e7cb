//! What instances tell each other of the streams that they relay.

use super::*;

/// Time after which a sighting that was not renewed is forgotten, in milliseconds; longer than a
/// stream runs and its caller takes to come back.
const RETENTION_MS: u64 = 30_000;

/// Time after which a stream that was not told of again no longer counts as running, in
/// milliseconds: a long answer of a busy engine. The instance that told may be gone.
const RUNNING_MS: u64 = 20_000;

/// Time after which a prompt that another instance told of counts as read where it is not known how fast
/// engines read, in milliseconds; where instances are many, they do not tell when it was.
pub(crate) const DEFAULT_PREFILL_MS: u64 = 1_500;

/// Time after which a stream that was told to wait no longer counts, in milliseconds: longer than streams
/// are mostly let wait. The instance that told may be gone.
const WAITING_MS: u64 = 5_000;

/// Sightings kept, at most; beyond it the older half of their time goes.
const MAX_ENTRIES: usize = 20_000;

/// Upstreams by their lives.
pub(crate) type UpstreamsByIncarnation = BTreeMap<Life, upstream::Key>;

/// Where a stream stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// It was answered whole.
    Ended,
    /// Its caller went away, or it could not go on; the caller may come back.
    Left,
    /// It was sent to an upstream.
    Started,
    /// Its first event came.
    Streaming,
    /// It waits for room at its instance.
    Waiting,
}

/// A relayed stream, as instances tell each other of it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sighting {
    /// Upstream that keeps a copy of its memory.
    pub backup: Option<Life>,
    /// Name of the pool that it waits for; empty if it does not wait.
    pub pool: String,
    /// Identity of the prompt.
    pub prompt: u64,
    /// Name of the run at its upstreams.
    pub run: String,
    /// Where it stands.
    pub stage: Stage,
    /// Tokens of prompt and longest answer.
    pub tokens: u32,
    /// Upstream that runs it.
    pub upstream: Option<Life>,
}

/// One stream that was told of.
#[derive(Clone, Debug)]
struct Entry {
    at: Time,
    /// Upstream that keeps a copy of its memory, if it is known.
    backup: Option<upstream::Key>,
    /// When it holds something else.
    expires_at: Time,
    reservation: Reservation,
    /// Whether this instance relays it itself.
    is_own: bool,
    /// Time after which its prompt counts as read, in milliseconds.
    prefill_ms: u64,
    sighting: Sighting,
    /// Upstream that runs it, if it is known.
    upstream: Option<upstream::Key>,
}

/// What a stream of another instance is believed to hold.
#[derive(Clone, Copy, Debug)]
enum Reservation {
    Nothing,
    /// Memory and time of its upstream, and memory of the one that keeps its copy.
    Resources(Usage),
    /// A place among those that wait for room in its pool.
    QueueSlot,
}

/// Streams by the identity of their prompt, and what they hold together. Only what changes is reckoned anew,
/// so that a decision costs as much with thousands of streams as with few.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sightings {
    /// When streams hold something else, by their prompts.
    due: BTreeSet<(Time, u64)>,
    entries: HashMap<u64, Entry>,
    /// What streams of other instances hold of each upstream.
    usages: SecondaryMap<upstream::Key, Usage>,
    /// Streams of other instances that wait for room in each pool, in the order in which they were told of.
    waiting: HashMap<String, BTreeSet<(Time, u64)>>,
}

impl Entry {
    /// What it holds now, and when that may change.
    fn reservation_at(&self, now: Time) -> (Reservation, Time) {
        let age = now.since(self.at);
        let tokens = self.sighting.tokens;
        let room = |is_prefilling| Reservation::Resources(Usage::new(is_prefilling, tokens));
        let (reservation, until) = match self.sighting.stage {
            _ if self.is_own => (Reservation::Nothing, RETENTION_MS),
            Stage::Started if age < self.prefill_ms => (room(true), self.prefill_ms),
            Stage::Started | Stage::Streaming if age < RUNNING_MS => (room(false), RUNNING_MS),
            Stage::Waiting if age < WAITING_MS => (Reservation::QueueSlot, WAITING_MS),
            _ => (Reservation::Nothing, RETENTION_MS),
        };
        (reservation, self.at.after(until))
    }
}

impl Sightings {
    /// Notes what another instance told, or what this one tells if it is its `own`. Its prompt counts as read
    /// after `prefill_ms`.
    pub fn add(
        &mut self,
        sighting: Sighting,
        is_own: bool,
        prefill_ms: u64,
        lives: &UpstreamsByIncarnation,
        now: Time,
    ) {
        match sighting.stage {
            Stage::Ended => self.remove(sighting.prompt),
            Stage::Left => {
                if let Some(entry) = self.entries.get_mut(&sighting.prompt)
                    && entry.sighting.run == sighting.run
                {
                    entry.sighting.stage = Stage::Left;
                    self.update(sighting.prompt, now);
                }
            }
            Stage::Started | Stage::Streaming | Stage::Waiting => {
                if self.entries.len() >= MAX_ENTRIES {
                    self.remove_older(now);
                }
                let prompt = sighting.prompt;
                let find = |life: Option<Life>| lives.get(&life?).copied();
                self.remove(prompt);
                let entry = Entry {
                    at: now,
                    backup: find(sighting.backup),
                    expires_at: now,
                    reservation: Reservation::Nothing,
                    is_own,
                    prefill_ms: prefill_ms.min(RUNNING_MS),
                    upstream: find(sighting.upstream),
                    sighting,
                };
                self.entries.insert(prompt, entry);
                self.update(prompt, now);
            }
        }
    }

    /// Takes in that time has passed: streams hold less, and those told of long ago are forgotten.
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

    /// An upstream is known now of which streams may have been told before.
    pub fn resolve(&mut self, life: Life, key: upstream::Key, now: Time) {
        let life = Some(life);
        let affected: Vec<u64> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.sighting.upstream == life || entry.sighting.backup == life)
            .map(|(prompt, _)| *prompt)
            .collect();
        for prompt in affected {
            self.release(prompt);
            if let Some(entry) = self.entries.get_mut(&prompt) {
                if entry.sighting.upstream == life {
                    entry.upstream = Some(key);
                } else {
                    entry.backup = Some(key);
                }
            }
            self.update(prompt, now);
        }
    }

    /// The last stream of a prompt.
    pub fn get(&self, prompt: u64) -> Option<&Sighting> {
        self.entries.get(&prompt).map(|entry| &entry.sighting)
    }

    /// What streams of other instances are believed to use of an upstream.
    pub fn usage(&self, key: upstream::Key) -> Usage {
        self.usages.get(key).copied().unwrap_or_default()
    }

    /// Streams of other instances that are believed to wait for room in a pool, and did so before a time.
    pub fn waiting(&self, pool: &str, before: Time) -> usize {
        let waiting = self.waiting.get(pool);
        waiting.map_or(0, |waiting| waiting.range(..=(before, u64::MAX)).count())
    }

    /// Reckons anew what a stream holds.
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
                for (key, usage) in usage.at(entry.upstream, entry.backup) {
                    if let Some(entry) = self.usages.entry(key) {
                        entry.or_default().add(usage);
                    }
                }
            }
            Reservation::QueueSlot => {
                let pool = entry.sighting.pool.clone();
                self.waiting
                    .entry(pool)
                    .or_default()
                    .insert((entry.at, prompt));
            }
        }
    }

    /// Gives back what a stream holds.
    fn release(&mut self, prompt: u64) {
        let Some(entry) = self.entries.get_mut(&prompt) else {
            return;
        };
        match std::mem::replace(&mut entry.reservation, Reservation::Nothing) {
            Reservation::Nothing => {}
            Reservation::Resources(usage) => {
                for (key, usage) in usage.at(entry.upstream, entry.backup) {
                    if let Some(entry) = self.usages.get_mut(key) {
                        entry.subtract(usage);
                    }
                }
            }
            Reservation::QueueSlot => {
                if let Some(waiting) = self.waiting.get_mut(&entry.sighting.pool) {
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

    /// Forgets the older half, by time.
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
