//! What instances tell each other of the streams that they relay.

use super::*;

/// Time after which a sighting that was not renewed is forgotten, in milliseconds; longer than a
/// stream runs and its caller takes to come back.
pub(crate) const KEPT_MS: u64 = 30_000;

/// Sightings kept, at most; the oldest go first.
const KEPT: usize = 20_000;

/// Where a stream stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Stage {
    /// It was answered whole, or given up.
    Ended,
    /// It was sent to an upstream.
    Started,
    /// Its first event came.
    Streaming,
}

/// A stream of one instance, as told to others.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Sighting {
    /// Name of the upstream that keeps a copy of its memory; empty for none.
    pub backup: String,
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

/// Streams that other instances told of, by the identity of their prompt.
#[derive(Clone, Debug, Default)]
pub(crate) struct Sightings {
    seen: HashMap<u64, (Time, Sighting)>,
}

impl Sightings {
    /// Notes what another instance told.
    pub fn add(&mut self, sighting: Sighting, now: Time) {
        if self.seen.len() >= KEPT {
            self.seen.retain(|_, (at, _)| now.since(*at) < KEPT_MS / 2);
        }
        self.seen.insert(sighting.prompt, (now, sighting));
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Time) {
        self.seen.retain(|_, (at, _)| now.since(*at) < KEPT_MS);
    }

    /// The stream of a prompt that another instance had.
    pub fn get(&self, prompt: u64) -> Option<&Sighting> {
        self.seen.get(&prompt).map(|(_, sighting)| sighting)
    }

    /// Streams that are believed to run, and when they were last told of.
    pub fn running(&self) -> impl Iterator<Item = &(Time, Sighting)> {
        let running = |(_, sighting): &&(Time, Sighting)| sighting.stage != Stage::Ended;
        self.seen.values().filter(running)
    }
}
