//! Adaptive timeout for stalled streams.

use super::*;

/// Weight of a new sample in the moving averages.
const GAIN: f64 = 0.05;

/// Moving average and deviation of the gaps between an upstream's tokens, in milliseconds.
#[derive(Clone, Debug)]
pub struct StallDetector {
    deviation: f64,
    mean: f64,
}

impl Default for StallDetector {
    fn default() -> Self {
        Self {
            deviation: 15.0,
            mean: 30.0,
        }
    }
}

impl StallDetector {
    /// Silence after which a stream is suspected, in milliseconds.
    pub fn timeout_ms(&self, settings: &Settings) -> u64 {
        let timeout = self.mean * 2.0 + self.deviation * 6.0;
        (timeout as u64).clamp(settings.stall_min_ms, settings.stall_max_ms)
    }

    /// Adds a gap in milliseconds.
    pub fn observe(&mut self, gap_ms: u64) {
        let error = gap_ms as f64 - self.mean;
        self.mean += GAIN * error;
        self.deviation += GAIN * (error.abs() - self.deviation);
    }
}
