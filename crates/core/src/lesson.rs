//! What an informer takes in, and what it wants done.

use super::*;

/// What is learned from the store.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Topic {
    /// The configuration.
    Configuration,
    /// The list of upstreams.
    Upstreams,
}

/// How old what a call brings may be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Age {
    /// It is the newest.
    Newest,
    /// It may be seconds old; such a read costs a tenth.
    Seconds,
}

/// A call of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Call {
    /// How old the answer may be.
    pub age: Age,
    /// Whether the call before it failed.
    pub again: bool,
    /// Its number.
    pub id: u64,
    /// Time in which the answer must begin behind the wait, in milliseconds.
    pub patience_ms: u64,
    /// Position behind which changes are asked for; `None` for all.
    pub since: Option<Position>,
    /// What is asked for.
    pub topic: Topic,
    /// Time for which the store waits for a change, in milliseconds.
    pub wait_ms: u64,
}

/// What an answer brings.
#[derive(Clone, Debug)]
pub enum Content {
    /// The newest configuration, if it is among what was asked for and can be read.
    Configuration {
        /// Its size.
        bytes: usize,
        /// What it says.
        config: Option<Arc<Config>>,
    },
    /// Upstreams, or their changes, in the order of their positions.
    Upstreams(Vec<Change>),
}

/// How the store answered.
#[derive(Clone, Debug)]
pub enum Answer {
    /// With all, or all changes, up to a position.
    Known(Content, Position),
    /// It has forgotten what changed since.
    Forgotten,
}

/// What the store has just shown an instance to be the newest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Confirmed {
    /// Position of the store up to which it holds.
    pub to: Position,
    /// Of what.
    pub topic: Topic,
}

/// What another instance let this one know.
#[derive(Clone, Debug, Default)]
pub struct Heard {
    /// Revision of the configuration in force there.
    pub configuration: Option<u64>,
    /// What the store has just shown it, if this is told.
    pub confirmed: Option<Confirmed>,
    /// Position of the last change of the list that is known there.
    pub list: Position,
    /// Changes that one that watches for the data centre tells.
    pub word: Option<Word>,
}

/// What happens to an informer.
#[derive(Clone, Debug)]
pub enum Input {
    /// A call was answered.
    Answered(u64, Answer),
    /// A call failed or was refused.
    Failed(u64),
    /// Another instance let this one know something.
    Heard(Heard),
    /// What it does for its data centre, and its place among those that watch the store.
    Role(Role, Turn),
    /// Time has passed, or another call of the store has ended.
    Tick,
}

/// Why a call is ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Why {
    /// Other instances know more.
    Behind,
    /// It waits for a change, and an entry has been missing for long enough.
    Lapse,
    /// The store answers other calls again, and not this one.
    Overtaken,
    /// The store has come back from a copy.
    Returned,
    /// The instance does something else for its data centre.
    Role,
    /// Nobody has shown for too long that nothing has changed.
    Unconfirmed,
}

/// What an informer wants done.
#[derive(Clone, Debug)]
pub enum Output {
    /// A call is to be made.
    Ask(Call),
    /// A configuration is in force.
    Configuration(Arc<Config>),
    /// The other instances that watch are to be told what the store has just shown.
    Confirm(Confirmed),
    /// A call is to be ended; nothing it brings counts.
    Drop(Call, Why),
    /// The store has come back from a copy: its era is this one now.
    Era(u64),
    /// What an answer brought is of an earlier era of the store, and was dropped.
    Outdated(Topic),
    /// An upstream whose entry is missing is believed for so many milliseconds, since the store was away.
    Lapsing(String, u64),
    /// The others of the data centre are to be told changes of the list.
    Tell(Word),
    /// They are to be told that another configuration is in force.
    TellConfiguration,
    /// The upstreams as they are believed now.
    Upstreams(Vec<ListEntry>),
}

/// What an instance knows of the store.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Known {
    /// Revision of the configuration in force; `None` before there is one.
    pub configuration: Option<u64>,
    /// Position of the last change of the list of upstreams.
    pub list: Position,
}
