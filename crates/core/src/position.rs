//! Places in the history of the platform's store.

use super::*;

/// A place in the history of the store. The store may come back from a copy some seconds old: its revisions go back and are given
/// out again, and its era rises by one. What holds at a revision of one era says nothing of the same revision of another.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// How often the store had come back from a copy; 0 where it does not say.
    pub era: u64,
    /// Revision within the era's history.
    pub revision: u64,
}

impl Position {
    /// The place of a revision in an era.
    pub fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }
}

impl Display for Position {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        write!(formatter, "{}/{}", self.era, self.revision)
    }
}
