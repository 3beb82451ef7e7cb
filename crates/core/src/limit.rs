//! Limits that upstreams name: the requests a second that one takes from all instances together.

use super::*;

/// Thousandths in a request.
const THOUSANDTHS: f64 = 1_000.0;

/// Requests a second, in thousandths of one.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Rate(pub u64);

/// What the head of an answer says of the requests that its upstream takes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Limit {
    /// It names none: the upstream takes what comes.
    None,
    /// It names something that is no number of requests.
    Odd,
    /// It takes so many from all instances together.
    Rate(Rate),
    /// The answer says nothing of the upstream that was asked.
    #[default]
    Unknown,
}

impl Rate {
    /// Requests a second.
    pub fn per_second(self) -> f64 {
        self.0 as f64 / THOUSANDTHS
    }
}

impl Limit {
    /// Reads a decimal number of requests a second.
    pub fn read(text: &str) -> Self {
        // The cast saturates, so a number beyond all others is the largest one.
        notice::decimal(text).map_or(Self::Odd, |rate| {
            Self::Rate(Rate((rate * THOUSANDTHS) as u64))
        })
    }

    /// The stricter of two of which one answer names both; what can be read counts for more than what can not.
    #[must_use]
    pub fn stricter(self, other: Self) -> Self {
        match (self, other) {
            (Self::Rate(one), Self::Rate(two)) => Self::Rate(one.min(two)),
            (Self::Rate(rate), _) | (_, Self::Rate(rate)) => Self::Rate(rate),
            (Self::Odd, _) | (_, Self::Odd) => Self::Odd,
            _ => self,
        }
    }
}
