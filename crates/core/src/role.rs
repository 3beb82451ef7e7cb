//! Roles of instances in following the store for their data centre.

/// Role of an instance in its data centre.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Role {
    /// Watches the store for itself, as every instance of a small fleet does.
    Independent,
    /// Calls the store and announces changes while the watcher is silent.
    Standby,
    /// Learns of changes from the watcher.
    Follower,
    /// Watches the store and announces changes to the others.
    Watcher,
}

impl Role {
    /// Whether it learns of changes from another instance.
    pub fn follows(self) -> bool {
        matches!(self, Self::Standby | Self::Follower)
    }
}

/// Rank of an instance among those that watch the store. The first one confirms to the others at short intervals that
/// nothing has changed; the next ones stand in for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WatcherRank {
    /// Number of watchers including this one.
    pub count: usize,
    /// Number of watchers before this one.
    pub rank: usize,
}

impl Default for WatcherRank {
    fn default() -> Self {
        Self { count: 1, rank: 0 }
    }
}
