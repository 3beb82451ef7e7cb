//! What an instance does for the others of its data centre, and how fast these hear of changes.

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

    /// Longest wait of a watch of one that watches for others, so that these hear at least that nothing has changed.
    pub fn wait_ms(self) -> u64 {
        self.bound_ms / 4
    }
}
