//! What is believed to be in use at each upstream: by this instance's own requests, and by those that
//! other instances told of.

use super::*;

/// Time after which a prompt that another instance told of counts as read, in milliseconds; where
/// instances are many, they do not tell when it was.
const READING_MS: u64 = 1_500;

/// What is believed to be in use at an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// Prompts that are being read.
    pub reading: u32,
    /// Tokens of the requests whose prompts are being read.
    pub reading_tokens: u32,
    /// Requests that run or wait.
    pub running: u32,
    /// Tokens in memory, copies of other upstreams' streams with them.
    pub tokens: u32,
}

impl Usage {
    /// What one request uses.
    fn new(reading: bool, tokens: u32) -> Self {
        let reads = reading && tokens > 0;
        Self {
            reading: u32::from(reads),
            reading_tokens: if reads { tokens } else { 0 },
            running: 1,
            tokens,
        }
    }
}

/// Usage of every upstream that has any.
#[derive(Clone, Debug, Default)]
pub(crate) struct Usages(SecondaryMap<upstream::Key, Usage>);

impl Usages {
    /// Usage of one upstream.
    pub fn of(&self, key: upstream::Key) -> Usage {
        self.0.get(key).copied().unwrap_or_default()
    }

    /// Adds what one request uses at its upstream, and the memory of its copy.
    fn add(
        &mut self,
        upstream: Option<upstream::Key>,
        backup: Option<upstream::Key>,
        usage: Usage,
    ) {
        let copy = Usage {
            tokens: usage.tokens,
            ..Usage::default()
        };
        for (key, usage) in [(upstream, usage), (backup, copy)] {
            if let Some(entry) = key.and_then(|key| self.0.entry(key)) {
                let entry = entry.or_default();
                entry.reading += usage.reading;
                entry.reading_tokens += usage.reading_tokens;
                entry.running += usage.running;
                entry.tokens += usage.tokens;
            }
        }
    }
}

impl Core {
    /// What is believed to be in use at each upstream.
    pub(crate) fn usages(&self) -> Usages {
        let mut usages = Usages::default();
        for attempt in self.attempts.values() {
            let Some(relay) = self.requests[attempt.request].work.relay() else {
                continue;
            };
            let usage = Usage::new(!attempt.started, relay.tokens);
            usages.add(Some(attempt.upstream), attempt.backup, usage);
        }
        for (at, sighting) in self.sightings.running(self.now) {
            let reading =
                sighting.stage == sighting::Stage::Started && self.now.since(at) < READING_MS;
            let usage = Usage::new(reading, sighting.tokens);
            let find = |name: &str| self.names.get(name).copied();
            let (upstream, backup) = (find(&sighting.upstream), find(&sighting.backup));
            usages.add(upstream, backup, usage);
        }
        usages
    }
}
