//! What instances tell each other of the streams that they relay.

use super::*;

/// Time after which a sighting that was not renewed is forgotten, in milliseconds; longer than a
/// stream runs and its caller takes to come back.
const KEPT_MS: u64 = 30_000;

/// Time after which a stream that was not told of again no longer counts as running, in
/// milliseconds: a long answer of a busy engine. The instance that told may be gone.
const RUNNING_MS: u64 = 20_000;

/// Time after which a stream that was told to wait no longer counts, in milliseconds: longer than streams
/// are mostly let wait. The instance that told may be gone.
const WAITING_MS: u64 = 5_000;

/// Sightings kept, at most; beyond it the older half of their time goes.
const KEPT: usize = 20_000;

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
    /// Name of the upstream that keeps a copy of its memory; empty for none.
    pub backup: String,
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
    /// Name of the upstream that runs it.
    pub upstream: String,
}

/// One stream that was told of.
#[derive(Clone, Debug)]
struct Seen {
    at: Time,
    /// Whether this instance relays it itself.
    own: bool,
    sighting: Sighting,
}

/// Streams by the identity of their prompt.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sightings {
    seen: HashMap<u64, Seen>,
}

impl Sightings {
    /// Notes what another instance told, or what this one tells if it is its `own`.
    pub fn add(&mut self, sighting: Sighting, own: bool, now: Time) {
        match sighting.stage {
            Stage::Ended => {
                self.seen.remove(&sighting.prompt);
            }
            Stage::Left => {
                if let Some(seen) = self.seen.get_mut(&sighting.prompt)
                    && seen.sighting.run == sighting.run
                {
                    seen.sighting.stage = Stage::Left;
                }
            }
            Stage::Started | Stage::Streaming | Stage::Waiting => {
                if self.seen.len() >= KEPT {
                    self.seen.retain(|_, seen| now.since(seen.at) < KEPT_MS / 2);
                }
                let at = now;
                let prompt = sighting.prompt;
                self.seen.insert(prompt, Seen { at, own, sighting });
            }
        }
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Time) {
        self.seen.retain(|_, seen| now.since(seen.at) < KEPT_MS);
    }

    /// The last stream of a prompt.
    pub fn get(&self, prompt: u64) -> Option<&Sighting> {
        self.seen.get(&prompt).map(|seen| &seen.sighting)
    }

    /// Streams of other instances that are believed to wait for room in a pool, and did so before a time.
    pub fn waiting(&self, pool: &str, before: Time, now: Time) -> usize {
        let waits = |seen: &&Seen| {
            let waiting = seen.sighting.stage == Stage::Waiting && seen.sighting.pool == pool;
            !seen.own && waiting && seen.at <= before && now.since(seen.at) < WAITING_MS
        };
        self.seen.values().filter(waits).count()
    }

    /// Streams of other instances that are believed to run, and when they were told of.
    pub fn running(&self, now: Time) -> impl Iterator<Item = (Time, &Sighting)> {
        let running = move |seen: &&Seen| {
            let over = matches!(seen.sighting.stage, Stage::Left | Stage::Waiting);
            !seen.own && !over && now.since(seen.at) < RUNNING_MS
        };
        let seen = self.seen.values().filter(running);
        seen.map(|seen| (seen.at, &seen.sighting))
    }
}
