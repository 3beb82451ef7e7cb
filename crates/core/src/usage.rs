//! What is believed to be in use at each upstream: by this instance's own requests, and by those that
//! other instances told of.

use super::*;

/// What is believed to be in use at an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Usage {
    /// Prompts that are being read.
    pub prefilling: u32,
    /// Tokens of the requests whose prompts are being read.
    pub prefill_tokens: u32,
    /// Requests that run or wait.
    pub running: u32,
    /// Tokens in memory, copies of other upstreams' streams with them.
    pub tokens: u32,
}

impl Usage {
    /// What one request uses.
    pub fn new(is_prefilling: bool, tokens: u32) -> Self {
        let counts_prefill = is_prefilling && tokens > 0;
        Self {
            prefilling: u32::from(counts_prefill),
            prefill_tokens: if counts_prefill { tokens } else { 0 },
            running: 1,
            tokens,
        }
    }

    /// What one request uses at its upstream, and the memory of its copy.
    pub fn at(
        self,
        upstream: Option<upstream::Key>,
        backup: Option<upstream::Key>,
    ) -> impl Iterator<Item = (upstream::Key, Self)> {
        let copy = Self {
            tokens: self.tokens,
            ..Self::default()
        };
        let places = [(upstream, self), (backup, copy)];
        places
            .into_iter()
            .filter_map(|(key, usage)| Some((key?, usage)))
    }

    /// Adds what others use.
    pub fn add(&mut self, other: Self) {
        self.prefilling += other.prefilling;
        self.prefill_tokens += other.prefill_tokens;
        self.running += other.running;
        self.tokens += other.tokens;
    }

    /// Takes out what was added.
    pub fn subtract(&mut self, other: Self) {
        self.prefilling -= other.prefilling;
        self.prefill_tokens -= other.prefill_tokens;
        self.running -= other.running;
        self.tokens -= other.tokens;
    }
}

/// What this instance's own requests use, at every upstream that they use.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnUsage(SecondaryMap<upstream::Key, Usage>);

impl Core {
    /// What this instance's own requests use now.
    pub(crate) fn own_usage(&self) -> OwnUsage {
        let mut own = OwnUsage::default();
        for attempt in self.attempts.values() {
            let Some(relay) = self.requests[attempt.request].work.relay() else {
                continue;
            };
            let usage = Usage::new(!attempt.started, relay.tokens);
            for (key, usage) in usage.at(Some(attempt.upstream), attempt.backup) {
                if let Some(entry) = own.0.entry(key) {
                    entry.or_default().add(usage);
                }
            }
        }
        own
    }

    /// What is believed to be in use at an upstream, by this instance and others.
    pub(crate) fn usage(&self, own: &OwnUsage, key: upstream::Key) -> Usage {
        let mut usage = self.sightings.usage(key);
        usage.add(own.0.get(key).copied().unwrap_or_default());
        usage
    }
}
