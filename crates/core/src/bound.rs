//! How fast instances hear of changes in the store.

use super::*;

/// Times derived from the bound within which every instance must know of a change, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Bound {
    /// The bound. Of it about a half passes before silence is noticed; the rest is for asking the store.
    pub bound_ms: u64,
}

impl Bound {
    /// The longest time in which an answer must begin: of the bound, half is for a call that a silent store took and
    /// never answers, and half for the next one.
    pub fn call_ms(self) -> u64 {
        self.bound_ms / 2
    }

    /// Longest time between two calls of the instance that shows the others that nothing has changed.
    pub fn confirm_ms(self) -> u64 {
        self.bound_ms / 2
    }

    /// Pause of one that watches for others between two watches, in which changes gather.
    pub fn pause_ms(self) -> u64 {
        self.bound_ms / 6
    }

    /// Time without word after which an instance asks the store itself; more than a pause and a wait. The
    /// deputy is first, so that the others hear of what it learned. It is the same while the store refuses: those
    /// that watch may be refused longer than others.
    pub fn silence_ms(self, role: Role) -> u64 {
        match role {
            Role::Deputy => self.bound_ms / 2,
            Role::Alone | Role::Follower | Role::Watcher => self.bound_ms * 3 / 5,
        }
    }

    /// Time without being shown that nothing has changed after which an instance that watches for itself asks the store,
    /// whatever call it has out. It is longer than the time between two such calls by what a slow store takes; the
    /// fifth of the bound that is left at the longest is for the call, a datagram and a process that runs late. The
    /// first of those that watch asks first, so that its answer spares the others.
    pub fn unconfirmed_ms(self, turn: Turn) -> u64 {
        let spread = self.bound_ms / 10 * turn.rank as u64 / turn.count.max(1) as u64;
        self.bound_ms * 7 / 10 + spread
    }

    /// Longest wait of a watch of one that watches for others, so that these hear at least that nothing has changed.
    pub fn wait_ms(self) -> u64 {
        self.bound_ms / 4
    }
}
