//! How fast instances of a large fleet hear of changes in the platform's store.

use super::*;
use members::Role;

/// Times derived from the bound within which every instance must know of a change.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    /// The bound. Of it about a half passes before silence is noticed; the rest is for asking the store.
    pub bound: Duration,
}

impl Pace {
    /// Pause of one that watches for others between two watches, in which changes gather.
    pub fn pause(self) -> Duration {
        self.bound / 6
    }

    /// Longest wait of such a watch, so that the others hear at least that nothing has changed.
    pub fn wait(self) -> Duration {
        self.bound / 4
    }

    /// Time without word after which an instance asks the store itself; more than a pause and a wait. The
    /// deputy is first, so that the others hear of what it learned. It is the same while the store refuses: those
    /// that watch may be refused longer than others.
    pub fn patience(self, role: Role) -> Duration {
        match role {
            Role::Deputy => self.bound / 2,
            Role::Alone | Role::Follower | Role::Watcher => self.bound * 3 / 5,
        }
    }
}
