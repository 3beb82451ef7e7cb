//! Positions in the history of the key-value store.

use super::*;

/// A position in the history of the store. The store may be restored from a backup some seconds old: revisions go back
/// and are assigned again, and the era increases by one. What holds at a revision of one era says nothing about the
/// same revision of another.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Position {
    /// Number of restores from a backup; 0 if the store reports none.
    pub era: u64,
    /// Revision within the era's history.
    pub revision: u64,
}

impl Position {
    /// The position of a revision in an era.
    pub fn new(era: u64, revision: u64) -> Self {
        Self { era, revision }
    }
}

impl Display for Position {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        write!(formatter, "{}/{}", self.era, self.revision)
    }
}
