//! Time in milliseconds.

use super::*;

/// A point in time: milliseconds since the Unix epoch, advanced by a monotonic clock.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Time(pub u64);

impl Time {
    /// The point `millis` milliseconds later.
    #[must_use]
    pub fn after(self, millis: u64) -> Self {
        Self(self.0.saturating_add(millis))
    }

    /// The point `millis` milliseconds earlier.
    #[must_use]
    pub fn before(self, millis: u64) -> Self {
        Self(self.0.saturating_sub(millis))
    }

    /// Milliseconds from `earlier` to this point; zero if `earlier` is not earlier.
    pub fn since(self, earlier: Self) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

impl Display for Time {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        write!(formatter, "{} ms", self.0)
    }
}
