//! What an upstream says of itself beside an answer, whatever becomes of the answer.

use super::*;

/// What the head of one answer says of the upstream that gave it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether it is leaving.
    pub leaving: bool,
    /// Its load, if it tells that.
    pub load: Option<Load>,
    /// Whether it wants no requests of this instance for a while.
    pub rest: Rest,
}

/// For how long an upstream wants no requests of the instance that it answers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Rest {
    /// For so many milliseconds.
    For(u64),
    /// It does not ask for any.
    #[default]
    None,
    /// It asks for something that is no time.
    Odd,
}

impl Notice {
    /// Whether the head says nothing of the upstream but its load.
    pub fn is_plain(&self) -> bool {
        !self.leaving && self.rest == Rest::None
    }
}
