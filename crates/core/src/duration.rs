//! How long the requests of each route take, from their first sending to the end of their answer.

use super::*;
use std::collections::BTreeMap;

/// Minimum time in milliseconds for which a duration is remembered; the maximum is twice that.
const PERIOD_MS: u64 = 60_000;

/// Minimum number of durations from which a quantile follows.
const MIN_SAMPLES: u32 = 20;

/// Number of buckets whose bounds lie between a duration and its double.
const BUCKETS_PER_DOUBLING: usize = 4;

/// Number of buckets: durations up to over a minute.
const BUCKETS: usize = 16 * BUCKETS_PER_DOUBLING + 1;

/// Counts of durations by bucket.
type Buckets = [u32; BUCKETS];

/// Durations of the requests of one route.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Histogram {
    /// Those since `since`.
    current: Buckets,
    /// Those in the period before.
    previous: Buckets,
    since: Time,
}

/// Durations of the requests of all routes, by the name of the service.
#[derive(Clone, Debug, Default)]
pub(crate) struct Durations(BTreeMap<String, Histogram>);

impl Histogram {
    fn new(now: Time) -> Self {
        Self {
            current: [0; BUCKETS],
            previous: [0; BUCKETS],
            since: now,
        }
    }

    fn record(&mut self, millis: u64, now: Time) {
        *self = self.at(now);
        self.current[bucket(millis)] += 1;
    }

    /// The histogram without what is too old at a time.
    fn at(self, now: Time) -> Self {
        let age = now.since(self.since);
        if age < PERIOD_MS {
            return self;
        }
        let is_recent = age < 2 * PERIOD_MS;
        Self {
            previous: if is_recent {
                self.current
            } else {
                [0; BUCKETS]
            },
            ..Self::new(now)
        }
    }

    /// Duration in milliseconds that a part of the requests does not exceed, rounded up to the bound of a bucket; `None` while
    /// too few are known.
    fn quantile(&self, part: f64) -> Option<u64> {
        let counts = std::iter::zip(self.previous, self.current);
        let counts = counts.map(|(previous, current)| previous + current);
        let all: u32 = counts.clone().sum();
        if all < MIN_SAMPLES {
            return None;
        }
        let wanted = f64::from(all) * part;
        let mut below = 0;
        let mut bucket = 0;
        for (index, count) in counts.enumerate() {
            if f64::from(below) < wanted {
                bucket = index;
            }
            below += count;
        }
        Some(bound_ms(bucket))
    }
}

impl Durations {
    /// Records that a request of a service took so many milliseconds.
    pub fn record(&mut self, service: &str, millis: u64, now: Time) {
        if let Some(histogram) = self.0.get_mut(service) {
            histogram.record(millis, now);
            return;
        }
        // Services that left the configuration.
        self.0
            .retain(|_, histogram| now.since(histogram.since) < 2 * PERIOD_MS);
        let mut histogram = Histogram::new(now);
        histogram.record(millis, now);
        self.0.insert(service.to_owned(), histogram);
    }

    /// Duration in milliseconds that a part of the recent requests of a service does not exceed; `None` while too few are known.
    pub fn quantile(&self, service: &str, part: f64, now: Time) -> Option<u64> {
        self.0.get(service)?.at(now).quantile(part)
    }
}

/// Largest duration of a bucket, in milliseconds.
fn bound_ms(bucket: usize) -> u64 {
    2_f64
        .powf(bucket as f64 / BUCKETS_PER_DOUBLING as f64)
        .ceil() as u64
}

/// The first bucket whose bound is not below a duration; the last one for longer durations.
fn bucket(millis: u64) -> usize {
    (0..BUCKETS - 1)
        .find(|bucket| millis <= bound_ms(*bucket))
        .unwrap_or(BUCKETS - 1)
}
