//! What an instance does for the others of its data centre.

/// What an instance does for its data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// It watches the store for itself, as all do.
    Alone,
    /// It asks the store and tells the others when the one that watches is silent.
    Deputy,
    /// It hears from the one that watches.
    Follower,
    /// It watches and tells the others.
    Watcher,
}

impl Role {
    /// Whether it hears of changes from another instance.
    pub fn follows(self) -> bool {
        matches!(self, Self::Deputy | Self::Follower)
    }
}
