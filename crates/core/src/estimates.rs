//! Estimates of how fast the engines of a pool work, from the streams that this instance relays,
//! and of how long the pool has been short of capacity.

use super::*;

/// Tokens in prefill from which on the time to the first event tells the time per token: that of fewer is mostly the way there
/// and back.
const PREFILL_TOKENS_MIN: u64 = 64;

/// Weight of a new sample in an exponential moving average.
const GAIN: f64 = 0.1;

/// Window in milliseconds over which the rate of stream starts is measured: long enough for some
/// tens of starts during a shortage.
const START_RATE_WINDOW_MS: u64 = 2_000;

/// Maximum number of starts kept.
const MAX_STARTS: usize = 4_096;

/// Number of starts assumed for a window without any.
const MIN_STARTS: f64 = 0.5;

/// Time in milliseconds without a stream that finds no capacity after which a shortage is over.
const SHORTAGE_OVER_MS: u64 = 1_000;

/// Number of recent starts from which on they show that a rank starves: of fewer, it gets none by chance.
const MIN_STARVING_STARTS: f64 = 8.0;

/// Weight of a new request in the fractions of requests by rank: over some tens, since an instance of a large fleet sees
/// few.
const RANK_SHARE_GAIN: f64 = 0.03;

/// Time constant in milliseconds over which this instance's own streams are counted: as long as a stream counts as
/// running without news of it, so that their number is not underestimated.
const OWN_STREAMS_MS: f64 = 20_000.0;

/// Speed of a pool's engines: the sample that an instance sends to the others during a shortage.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpeed {
    /// Mean interval between two events of a stream, in milliseconds.
    pub event_interval_ms: f64,
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Milliseconds to the first event of one stream, per token of the requests in prefill.
    pub prefill_ms_per_token: f64,
}

/// An exponential moving average.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean(Option<f64>);

/// A period in which streams found no capacity.
#[derive(Clone, Copy, Debug)]
struct Shortage {
    /// When a stream last found no capacity.
    last: Time,
    /// When the period began.
    since: Time,
}

/// Estimates for one pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolEstimates {
    /// Mean interval between two events of a stream, in milliseconds.
    event_interval_ms: Mean,
    /// Events of a complete response per token of its maximum length.
    events_per_token: Mean,
    /// Number of streams that this instance started of late, with exponential decay, and when it was computed.
    own_streams: (f64, Time),
    /// Milliseconds to the first event per token of the requests in prefill.
    prefill_ms_per_token: Mean,
    /// Fractions of this instance's requests that have each rank, with exponential decay.
    rank_shares: [f64; rank::RANKS],
    /// Time from the first event of a run to its end, in milliseconds.
    run_ms: Mean,
    shortage: Option<Shortage>,
    /// Start times of streams of all instances with their ranks, oldest first.
    starts: VecDeque<(Time, Option<Rank>)>,
}

impl Mean {
    /// Adds a sample.
    pub fn add(&mut self, sample: f64) {
        let mean = self.0.get_or_insert(sample);
        *mean += GAIN * (sample - *mean);
    }

    /// The mean; 0 before the first sample.
    pub fn get(self) -> f64 {
        self.0.unwrap_or(0.0)
    }
}

impl PoolEstimates {
    /// Records the number of events of a complete response, and the maximum number of tokens that it could have had. A caller
    /// that states fewer tokens than there were events, or a position that no response reaches, tells nothing about others.
    pub fn record_answer(&mut self, events: u64, max_tokens: u32) {
        if max_tokens > 0 && events <= u64::from(max_tokens) {
            self.events_per_token
                .add(events as f64 / f64::from(max_tokens));
        }
    }

    /// Records the time from the first event of a run to its end.
    pub fn record_run(&mut self, millis: u64) {
        self.run_ms.add(millis as f64);
    }

    /// Time from the first event of a run to its end, in milliseconds; `None` before the first sample.
    pub fn known_run_ms(&self) -> Option<u64> {
        self.run_ms.0.map(|millis| millis as u64)
    }

    /// Records the interval between two events.
    pub fn record_event_interval(&mut self, millis: u64) {
        self.event_interval_ms.add(millis as f64);
    }

    /// Mean interval between two events of a stream in milliseconds; 0 before the first sample.
    pub fn event_interval_ms(&self) -> u64 {
        self.event_interval_ms.get() as u64
    }

    /// Time in milliseconds in which one upstream prefills requests of this many tokens; 0 before
    /// the first sample.
    pub fn prefill_ms(&self, tokens: u64) -> u64 {
        (self.prefill_ms_per_token.get() * tokens as f64) as u64
    }

    /// Like [`Self::prefill_ms`]; `None` before the first sample.
    pub fn known_prefill_ms(&self, tokens: u64) -> Option<u64> {
        let per_token = self.prefill_ms_per_token.0?;
        Some((per_token * tokens as f64) as u64)
    }

    /// Merges a sample from another instance. With hundreds of instances, each sees too few streams
    /// to know how fast engines are while all are busy.
    pub fn merge_peer_sample(&mut self, peer_speed: &EngineSpeed) {
        self.prefill_ms_per_token
            .add(peer_speed.prefill_ms_per_token);
        if peer_speed.event_interval_ms > 0.0 {
            self.event_interval_ms.add(peer_speed.event_interval_ms);
        }
    }

    /// Records the time from sending to the first event while requests of this many tokens were in
    /// prefill. Returns the sample to send to other instances during a shortage.
    pub fn record_prefill(
        &mut self,
        pool: Arc<str>,
        tokens: u64,
        millis: u64,
        now: Time,
    ) -> Option<EngineSpeed> {
        if tokens < PREFILL_TOKENS_MIN {
            return None;
        }
        let prefill_ms_per_token = millis as f64 / tokens as f64;
        self.prefill_ms_per_token.add(prefill_ms_per_token);
        self.shortage_ms(now)?;
        Some(EngineSpeed {
            event_interval_ms: self.event_interval_ms.get(),
            pool,
            prefill_ms_per_token,
        })
    }

    /// Expected time in milliseconds for the rest of a response of at most `max_tokens` from
    /// `position` on.
    pub fn remaining_ms(&self, max_tokens: u32, position: u64) -> u64 {
        let events = self.events_per_token.get() * f64::from(max_tokens) - position as f64;
        (events.max(0.0) * self.event_interval_ms.get()) as u64
    }

    /// Records that a stream found no capacity.
    pub fn record_shortage(&mut self, now: Time) {
        let ongoing = self.shortage_ms(now);
        let shortage = self.shortage.get_or_insert(Shortage {
            last: now,
            since: now,
        });
        if ongoing.is_none() {
            shortage.since = now;
        }
        shortage.last = now;
    }

    /// Age of the current shortage in milliseconds; `None` while streams find capacity.
    pub fn shortage_ms(&self, now: Time) -> Option<u64> {
        let shortage = self.shortage?;
        let is_ongoing = now.since(shortage.last) < SHORTAGE_OVER_MS;
        is_ongoing.then(|| now.since(shortage.since))
    }

    /// Number of streams that this instance started of late, at least as many as it runs.
    pub fn own_streams(&self, now: Time) -> f64 {
        let (count, at) = self.own_streams;
        count * (-(now.since(at) as f64) / OWN_STREAMS_MS).exp()
    }

    /// Records the start of a stream at this instance.
    pub fn record_own_start(&mut self, now: Time) {
        self.own_streams = (self.own_streams(now) + 1.0, now);
    }

    /// Records the start of a stream at any instance; `rank` is `None` if no ranks are in force.
    pub fn record_stream_start(&mut self, rank: Option<Rank>, now: Time) {
        let is_old = |start: &mut (Time, Option<Rank>)| now.since(start.0) > START_RATE_WINDOW_MS;
        while self.starts.pop_front_if(is_old).is_some() {}
        if self.starts.len() < MAX_STARTS {
            self.starts.push_back((now, rank));
        }
    }

    /// Expected time in milliseconds in which `streams` streams start at the recent rate; with a rank, at the rate of those
    /// that are not more urgent, since others of those will come.
    pub fn expected_wait_ms(&self, streams: usize, rank: Option<Rank>, now: Time) -> u64 {
        let counts = |start: &&(Time, Option<Rank>)| {
            let is_recent = now.since(start.0) <= START_RATE_WINDOW_MS;
            is_recent && (rank.is_none() || start.1 >= rank)
        };
        let starts = self.starts.iter().filter(counts).count() as f64;
        let starts = starts.max(MIN_STARTS);
        (streams as f64 * START_RATE_WINDOW_MS as f64 / starts) as u64
    }

    /// Records the rank of a request, also of one that is refused.
    pub fn record_rank(&mut self, rank: Rank) {
        for share in &mut self.rank_shares {
            *share *= 1.0 - RANK_SHARE_GAIN;
        }
        self.rank_shares[usize::from(rank.number())] += RANK_SHARE_GAIN;
    }

    /// Whether less than `floor` of the recent starts at all instances that are due to a rank, by its part of the requests,
    /// were its own.
    pub fn is_starved(&self, rank: Rank, floor: f64, now: Time) -> bool {
        let recent = self.starts.iter();
        let recent = recent.filter(|start| now.since(start.0) <= START_RATE_WINDOW_MS);
        let (mut all, mut own) = (0.0, 0.0);
        for (_, started) in recent {
            all += 1.0;
            own += f64::from(u8::from(*started == Some(rank)));
        }
        let known: f64 = self.rank_shares.iter().sum();
        let share = self.rank_shares[usize::from(rank.number())] / known.max(RANK_SHARE_GAIN);
        all >= MIN_STARVING_STARTS && own < floor * share * all
    }

    /// Fraction of the recent starts that were of more urgent streams.
    pub fn started_above(&self, rank: Rank, now: Time) -> f64 {
        let recent = self.starts.iter();
        let recent = recent.filter(|start| now.since(start.0) <= START_RATE_WINDOW_MS);
        let (mut all, mut above) = (0.0, 0.0);
        for (_, started) in recent {
            all += 1.0;
            above += f64::from(u8::from(*started < Some(rank)));
        }
        above / f64::max(all, 1.0)
    }

    /// Whether a less urgent stream started within so many milliseconds.
    pub fn started_below(&self, rank: Rank, millis: u64, now: Time) -> bool {
        let recent = self.starts.iter().rev();
        let mut recent = recent.take_while(|start| now.since(start.0) <= millis);
        recent.any(|start| start.1 > Some(rank))
    }
}
