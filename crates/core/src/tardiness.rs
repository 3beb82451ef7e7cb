//! How late this instance handles events: its own lateness looks like the silence of its upstreams.

use super::*;

/// Time in milliseconds for which a gap counts: longer than the silences that streams are judged by.
const RETENTION_MS: u64 = 1_500;

/// The longest recent gap between two events. An instance handles a tick every 10 ms.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Tardiness {
    at: Time,
    gap_ms: u64,
}

impl Tardiness {
    /// Records the time between two events.
    pub fn record(&mut self, gap_ms: u64, now: Time) {
        if gap_ms >= self.longest_ms(now) {
            *self = Self { at: now, gap_ms };
        }
    }

    /// The longest recent gap in milliseconds.
    pub fn longest_ms(self, now: Time) -> u64 {
        if now.since(self.at) > RETENTION_MS {
            0
        } else {
            self.gap_ms
        }
    }
}
