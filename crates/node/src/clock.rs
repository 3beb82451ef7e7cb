//! The clock of an instance.

use super::*;

/// Milliseconds since the Unix epoch, read once at the start and advanced by the monotonic clock,
/// so that a step of the wall clock moves nothing.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    epoch: u64,
    start: Instant,
}

impl Clock {
    /// A clock that starts at the wall clock's time.
    pub fn new() -> Self {
        let epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            epoch: epoch.as_millis() as u64,
            start: Instant::now(),
        }
    }

    /// The time now.
    pub fn now(self) -> Time {
        Time(self.epoch + self.start.elapsed().as_millis() as u64)
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}
