//! What an instance does for the others of its data centre.

/// What an instance does for its data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// It watches the store for itself, as all do.
    Independent,
    /// It asks the store and tells the others when the one that watches is silent.
    Standby,
    /// It hears from the one that watches.
    Follower,
    /// It watches and tells the others.
    Watcher,
}

impl Role {
    /// Whether it hears of changes from another instance.
    pub fn follows(self) -> bool {
        matches!(self, Self::Standby | Self::Follower)
    }
}

/// The place of an instance among those that watch the store for themselves. The first of them shows the others in
/// short turns that nothing has changed, and the next ones stand in for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WatcherRank {
    /// How many they are, with this one.
    pub count: usize,
    /// How many come before it.
    pub rank: usize,
}

impl Default for WatcherRank {
    fn default() -> Self {
        Self { count: 1, rank: 0 }
    }
}
