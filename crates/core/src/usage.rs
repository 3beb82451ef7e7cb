//! Estimated usage of each upstream, by this instance's requests and by those that other instances reported.

use super::*;

/// Estimated usage of an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Usage {
    /// Tokens of the requests in prefill.
    pub prefill_tokens: u32,
    /// Prompts in prefill.
    pub prefilling: u32,
    /// Requests running or queued.
    pub running: u32,
    /// Tokens in memory, including copies of streams of other upstreams.
    pub tokens: u32,
}

impl Usage {
    /// Usage by one request.
    pub fn new(is_prefilling: bool, tokens: u32) -> Self {
        let counts_prefill = is_prefilling && tokens > 0;
        Self {
            prefill_tokens: if counts_prefill { tokens } else { 0 },
            prefilling: u32::from(counts_prefill),
            running: 1,
            tokens,
        }
    }

    /// Splits the usage of one request between its upstream and the one that keeps its copy, which uses memory only.
    pub fn split(
        self,
        upstream: Option<upstream::Key>,
        backup: Option<upstream::Key>,
    ) -> impl Iterator<Item = (upstream::Key, Self)> {
        let copy = Self {
            tokens: self.tokens,
            ..Self::default()
        };
        let usages = [(upstream, self), (backup, copy)];
        usages
            .into_iter()
            .filter_map(|(key, usage)| Some((key?, usage)))
    }

    /// Adds another usage.
    pub fn add(&mut self, other: Self) {
        self.prefill_tokens += other.prefill_tokens;
        self.prefilling += other.prefilling;
        self.running += other.running;
        self.tokens += other.tokens;
    }

    /// Subtracts a usage that was added before.
    pub fn subtract(&mut self, other: Self) {
        self.prefill_tokens -= other.prefill_tokens;
        self.prefilling -= other.prefilling;
        self.running -= other.running;
        self.tokens -= other.tokens;
    }
}

/// Usage by this instance's own requests, by upstream.
#[derive(Clone, Debug, Default)]
pub(crate) struct OwnUsage(SecondaryMap<upstream::Key, Usage>);

impl Core {
    /// Computes the usage by this instance's own requests.
    pub(crate) fn own_usage(&self) -> OwnUsage {
        let mut own = OwnUsage::default();
        for attempt in self.attempts.values() {
            let Some(relay) = self.requests[attempt.request].work.relay() else {
                continue;
            };
            let usage = Usage::new(!attempt.started, relay.tokens);
            for (key, usage) in usage.split(Some(attempt.upstream), attempt.backup) {
                if let Some(entry) = own.0.entry(key) {
                    entry.or_default().add(usage);
                }
            }
        }
        own
    }

    /// Estimated usage of an upstream by this instance and others.
    pub(crate) fn usage(&self, own: &OwnUsage, key: upstream::Key) -> Usage {
        let mut usage = self.stream_records.usage(key);
        usage.add(own.0.get(key).copied().unwrap_or_default());
        usage
    }
}
