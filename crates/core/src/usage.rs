//! Estimated usage of each upstream, by this instance's requests and by those that other instances reported.

use super::*;

/// Usage of an upstream by the streams of each rank, without copies.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct RankUsage {
    /// Tokens of the streams in prefill.
    prefill_tokens: [u64; rank::RANKS],
    /// Streams in prefill.
    prefilling: [u32; rank::RANKS],
    /// Tokens of the streams whose caller has a part of the response.
    streaming_tokens: [u64; rank::RANKS],
}

/// Estimated usage of an upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Usage {
    /// Tokens of the requests in prefill. Sums are wider than the numbers that callers state.
    pub prefill_tokens: u64,
    /// Prompts in prefill.
    pub prefilling: u32,
    /// The part that streams with a rank account for.
    pub ranks: RankUsage,
    /// Requests running or queued.
    pub running: u32,
    /// Tokens in memory, including copies of streams of other upstreams.
    pub tokens: u64,
}

impl Usage {
    /// Usage by one request; `rank` is `None` if no ranks are in force in its pool.
    pub fn new(is_prefilling: bool, tokens: u32, rank: Option<Rank>) -> Self {
        let tokens = u64::from(tokens);
        let counts_prefill = is_prefilling && tokens > 0;
        let mut ranks = RankUsage::default();
        if let Some(rank) = rank {
            let place = usize::from(rank.number());
            if counts_prefill {
                ranks.prefilling[place] = 1;
                ranks.prefill_tokens[place] = tokens;
            } else {
                ranks.streaming_tokens[place] = tokens;
            }
        }
        Self {
            ranks,
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

    /// The usage without that of the less urgent streams that give way to a stream of a rank.
    pub fn without_yielding(mut self, rank: Option<Rank>, yielding: Yielding) -> Self {
        let Some(rank) = rank.filter(|_| yielding != Yielding::Nobody) else {
            return self;
        };
        let below = usize::from(rank.number()) + 1..;
        let prefill_tokens: u64 = self.ranks.prefill_tokens[below.clone()].iter().sum();
        let prefilling: u32 = self.ranks.prefilling[below.clone()].iter().sum();
        self.prefill_tokens -= prefill_tokens;
        self.prefilling -= prefilling;
        self.running -= prefilling;
        self.tokens -= prefill_tokens;
        if yielding == Yielding::All {
            self.tokens -= self.ranks.streaming_tokens[below].iter().sum::<u64>();
        }
        self
    }

    /// Adds another usage.
    pub fn add(&mut self, other: Self) {
        self.prefill_tokens += other.prefill_tokens;
        self.prefilling += other.prefilling;
        self.ranks.add(&other.ranks);
        self.running += other.running;
        self.tokens += other.tokens;
    }

    /// Subtracts a usage that was added before.
    pub fn subtract(&mut self, other: Self) {
        self.prefill_tokens -= other.prefill_tokens;
        self.prefilling -= other.prefilling;
        self.ranks.subtract(&other.ranks);
        self.running -= other.running;
        self.tokens -= other.tokens;
    }
}

impl RankUsage {
    fn add(&mut self, other: &Self) {
        for place in 0..rank::RANKS {
            self.prefill_tokens[place] += other.prefill_tokens[place];
            self.prefilling[place] += other.prefilling[place];
            self.streaming_tokens[place] += other.streaming_tokens[place];
        }
    }

    fn subtract(&mut self, other: &Self) {
        for place in 0..rank::RANKS {
            self.prefill_tokens[place] -= other.prefill_tokens[place];
            self.prefilling[place] -= other.prefilling[place];
            self.streaming_tokens[place] -= other.streaming_tokens[place];
        }
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
            let request = &self.requests[attempt.request];
            let Some(relay) = request.work.relay() else {
                continue;
            };
            let usage = Usage::new(!attempt.started, relay.tokens, request.rank);
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
