//! Inputs and outputs of the informer, and the calls of the store that it issues.

use super::*;

/// A part of the store that is followed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Topic {
    /// The operators' configuration.
    Configuration,
    /// The list of upstreams.
    Upstreams,
}

/// Consistency of a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Consistency {
    /// The answer is the newest state.
    Linearizable,
    /// The answer may be seconds old; such a read costs a tenth of a linearizable one.
    Serializable,
}

/// Where a call is made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Source {
    /// At another instance of the data centre.
    Peer,
    /// At the store.
    Store,
}

/// A call of the store, or of another instance in its place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Call {
    /// Consistency of the answer.
    pub consistency: Consistency,
    /// Whether the previous call failed.
    pub is_retry: bool,
    /// Identifier of the call.
    pub id: u64,
    /// Time after the wait within which the answer must begin, in milliseconds.
    pub timeout_ms: u64,
    /// Position after which changes are requested; `None` for a full read.
    pub since: Option<Position>,
    /// Where it is made.
    pub source: Source,
    /// What is read.
    pub topic: Topic,
    /// Time for which the store waits for a change, in milliseconds; 0 for a read.
    pub wait_ms: u64,
}

/// Content of an answer.
#[derive(Clone, Debug)]
pub enum Content {
    /// The newest configuration, if the answer contains one.
    Configuration {
        /// Size in bytes.
        bytes: usize,
        /// The configuration; `None` if there is none or it cannot be parsed.
        config: Option<Arc<Config>>,
    },
    /// Upstreams, or their changes, in order of their positions.
    Upstreams(Vec<Change>),
}

/// Result of a call that the store answered.
#[derive(Clone, Debug)]
pub enum Answer {
    /// The full state, or all changes, up to a position.
    Complete(Content, Position),
    /// The store has compacted the changes since the requested position.
    Compacted,
}

/// The list of upstreams as one instance gives it to another that lacks it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PeerList {
    /// Age of what the instance knows, in milliseconds.
    pub age_ms: u64,
    /// All entries, or the changes since the requested position, in order of their positions.
    pub changes: Vec<Change>,
    /// Whether these are all entries.
    pub is_complete: bool,
    /// Position up to which the list is known.
    pub to: Position,
}

/// Proof from the store, obtained by one watcher, that a topic is up to date.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Confirmed {
    /// Position of the store up to which the topic is up to date.
    pub to: Position,
    /// The topic that is up to date.
    pub topic: Topic,
}

/// What another instance has reported.
#[derive(Clone, Debug, Default)]
pub struct PeerReport {
    /// Revision of the configuration in force there.
    pub configuration: Option<u64>,
    /// What the store has just confirmed to it, if it reports this.
    pub confirmed: Option<Confirmed>,
    /// Position of the last change of the list that it knows.
    pub list: Position,
    /// Changes of the list from the watcher of the data centre.
    pub update: Option<RosterUpdate>,
}

/// An event that the informer handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// A call was answered.
    Answered(u64, Answer),
    /// A call failed or was refused.
    Failed(u64),
    /// Another instance answered a call with its configuration.
    PeerConfiguration {
        /// Size in bytes.
        bytes: usize,
        /// The configuration; `None` if it is older than one that was read here, or cannot be parsed.
        config: Option<Arc<Config>>,
        /// Identifier of the call.
        id: u64,
    },
    /// Another instance answered a call with its list.
    PeerList(u64, PeerList),
    /// Another instance reported what it knows.
    PeerReport(PeerReport),
    /// The answer to a call has begun to arrive.
    Progressed(u64),
    /// The role of this instance in its data centre and its rank among the watchers.
    Role(Role, WatcherRank),
    /// Time has passed, or another call of the store has ended.
    Tick,
}

/// Why a call is cancelled.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CancelReason {
    /// The grace period of a missing entry has ended. The entry is removed only on a new answer of the store, for which
    /// the pending watch is cancelled.
    EntryExpired,
    /// Peers know more than the call's position.
    PeersAhead,
    /// The instance has another role in its data centre.
    RoleChanged,
    /// The store answers other calls again, but not this one.
    Stalled,
    /// The store was restored from a backup.
    StoreRestored,
    /// For too long, no instance has confirmed that nothing has changed.
    Unconfirmed,
}

/// An action that the informer requests.
#[derive(Clone, Debug)]
pub enum Output {
    /// Announce to the other instances of the data centre that another configuration is in force.
    AnnounceConfiguration,
    /// Announce changes of the list to the other instances of the data centre.
    AnnounceRoster(RosterUpdate),
    /// Make a call.
    Call(Call),
    /// Cancel a call and ignore its answer.
    Cancel(Call, CancelReason),
    /// Put a configuration in force.
    Configuration(Arc<Config>),
    /// Announce to the other watchers what the store has just confirmed.
    Confirm(Confirmed),
    /// The store was restored from a backup; it is in this era now.
    Era(u64),
    /// An upstream's entry is missing after an outage of the store; its grace period in milliseconds.
    MissingEntry(String, u64),
    /// Announce to the instances behind this one that another configuration is in force.
    PassOnConfiguration,
    /// An answer described an earlier era of the store and was dropped.
    Outdated(Topic),
    /// Changes of the upstreams that are taken to exist, since the output before.
    Upstreams(ListDelta),
}

/// What an instance knows of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct KnownState {
    /// Revision of the configuration in force; `None` before there is one.
    pub configuration: Option<u64>,
    /// Position of the last change of the list of upstreams.
    pub list: Position,
}
