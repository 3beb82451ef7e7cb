//! Paces of a pool's engines, learned from the streams that this instance relays, and how long the pool
//! has been short of room.

use super::*;

/// Weight of a new sample in a running mean.
const GAIN: f64 = 0.1;

/// Time over which starts of streams are counted for their rate, in milliseconds: some tens of streams
/// where room is short.
const STARTS_MS: u64 = 2_000;

/// Starts that are remembered, at most.
const STARTS: usize = 4_096;

/// Starts that a time without any is believed to have had.
const STARTS_LEAST: f64 = 0.5;

/// Time without want of room after which a shortage is over, in milliseconds.
const SHORTAGE_OVER_MS: u64 = 1_000;

/// How fast the engines of a pool work, as one stream showed.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpeed {
    /// Milliseconds between two events of a stream.
    pub event_interval_ms: f64,
    /// Name of the pool.
    pub pool: Arc<str>,
    /// Milliseconds to the first event, for each token of the requests whose prompts were being read.
    pub prefill_ms_per_token: f64,
}

/// A running mean.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean(Option<f64>);

/// A time in which streams found no room.
#[derive(Clone, Copy, Debug)]
struct Shortage {
    /// When a stream last found none.
    last: Time,
    /// When it began.
    since: Time,
}

/// What is learned of a pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct PoolEstimates {
    /// Milliseconds between two events of a stream.
    event_interval_ms: Mean,
    /// Events of a whole answer, for each token that it might have had.
    events_per_token: Mean,
    /// Milliseconds to the first event, for each token of the requests whose prompts were being read.
    prefill_ms_per_token: Mean,
    shortage: Option<Shortage>,
    /// When streams of any instance started, oldest first.
    starts: VecDeque<Time>,
}

impl Mean {
    /// Takes in a sample.
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
    /// A whole answer had so many events, and might have had so many tokens.
    pub fn record_answer(&mut self, events: u64, tokens: u32) {
        if tokens > 0 {
            self.events_per_token.add(events as f64 / f64::from(tokens));
        }
    }

    /// An event came so long after the one before it.
    pub fn record_event_interval(&mut self, millis: u64) {
        self.event_interval_ms.add(millis as f64);
    }

    /// Milliseconds between two events of a stream; 0 before anything is known.
    pub fn event_interval_ms(&self) -> u64 {
        self.event_interval_ms.get() as u64
    }

    /// Milliseconds in which requests of so many tokens have their prompts read at one upstream; 0 before
    /// anything is known.
    pub fn prefill_ms(&self, tokens: u32) -> u64 {
        (self.prefill_ms_per_token.get() * f64::from(tokens)) as u64
    }

    /// The same; `None` before anything is known.
    pub fn known_prefill_ms(&self, tokens: u32) -> Option<u64> {
        let per_token = self.prefill_ms_per_token.0?;
        Some((per_token * f64::from(tokens)) as u64)
    }

    /// Another instance told what a stream of its own showed. One of hundreds sees too few streams to know
    /// how fast engines are while all are busy.
    pub fn merge_peer_sample(&mut self, pace: &EngineSpeed) {
        self.prefill_ms_per_token.add(pace.prefill_ms_per_token);
        if pace.event_interval_ms > 0.0 {
            self.event_interval_ms.add(pace.event_interval_ms);
        }
    }

    /// The first event came so long after sending, while prompts of requests of so many tokens were read; what
    /// others are to be told of it, while streams find no room.
    pub fn record_prefill(
        &mut self,
        pool: Arc<str>,
        tokens: u32,
        millis: u64,
        now: Time,
    ) -> Option<EngineSpeed> {
        if tokens == 0 {
            return None;
        }
        let prefill_ms_per_token = millis as f64 / f64::from(tokens);
        self.prefill_ms_per_token.add(prefill_ms_per_token);
        self.shortage_ms(now)?;
        Some(EngineSpeed {
            event_interval_ms: self.event_interval_ms.get(),
            pool,
            prefill_ms_per_token,
        })
    }

    /// Milliseconds that the rest of an answer of at most `tokens` takes behind `position`.
    pub fn remaining_ms(&self, tokens: u32, position: u64) -> u64 {
        let events = self.events_per_token.get() * f64::from(tokens) - position as f64;
        (events.max(0.0) * self.event_interval_ms.get()) as u64
    }

    /// A stream found no room.
    pub fn record_shortage(&mut self, now: Time) {
        let lasts = self.shortage_ms(now);
        let shortage = self.shortage.get_or_insert(Shortage {
            last: now,
            since: now,
        });
        if lasts.is_none() {
            shortage.since = now;
        }
        shortage.last = now;
    }

    /// For how long streams have found no room, in milliseconds; `None` if they find some.
    pub fn shortage_ms(&self, now: Time) -> Option<u64> {
        let shortage = self.shortage?;
        let lasts = now.since(shortage.last) < SHORTAGE_OVER_MS;
        lasts.then(|| now.since(shortage.since))
    }

    /// A stream of any instance started.
    pub fn record_stream_start(&mut self, now: Time) {
        let old = |start: &mut Time| now.since(*start) > STARTS_MS;
        while self.starts.pop_front_if(old).is_some() {}
        if self.starts.len() < STARTS {
            self.starts.push_back(now);
        }
    }

    /// Milliseconds in which so many streams would start at the rate of late.
    pub fn expected_wait_ms(&self, streams: usize, now: Time) -> u64 {
        let recent = self.starts.iter();
        let recent = recent.filter(|start| now.since(**start) <= STARTS_MS);
        let starts = (recent.count() as f64).max(STARTS_LEAST);
        (streams as f64 * STARTS_MS as f64 / starts) as u64
    }
}
