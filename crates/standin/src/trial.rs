//! A run of a fleet that learns from the store: what it is, what happens in it, and what came of it.

use super::*;
use observer::Rules;
use wellplank_core::role::Role;

/// How the store fails.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failing {
    /// It refuses calls and cuts those that wait.
    Busy,
    /// It takes calls and never answers them.
    Silent,
}

/// What happens in a run. Numbers of instances and upstreams count anew from the first behind the last.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    /// The store fails for some time for all; leases run out meanwhile or wait.
    Away(Failing, u64, bool),
    /// The configuration changes.
    Configure,
    /// An upstream crashes.
    Crash(usize),
    /// All reads that wait for a change are cut.
    CutWatches,
    /// An upstream ends its entry without having said that it leaves.
    Depart(usize),
    /// The store is away for some time and comes back from a copy that was as old when that began: age, time away.
    Drill(u64, u64),
    /// An upstream enters itself.
    Enter,
    /// The store forgets its history.
    Forget,
    /// An instance stands still for some time.
    Freeze(usize, u64),
    /// The connections on which each so manieth instance waits for a change say nothing any more, and stay.
    Hush(usize),
    /// An instance is cut off from all for some time.
    Isolate(usize, u64),
    /// An instance is killed and starts again after some time.
    Kill(usize, u64),
    /// All instances are killed and start again after some time.
    KillAll(u64),
    /// An upstream says that it leaves.
    Leave(usize),
    /// A part of all datagrams, in percent, is lost for some time.
    LoseDatagrams(u64, u64),
    /// The store fails for some time for each so manieth instance, and serves the others.
    Refuse(usize, Failing, u64),
    /// The store fails for some time for the instances that do something for their data centres, and serves the others.
    RefuseRole(Role, Failing, u64),
    /// An upstream ends and starts again at once under its name.
    Restart(usize),
    /// The operator writes again a configuration that the store has lost.
    Rewrite,
    /// The store takes so many times as long for some time.
    Slow(u64, u64),
    /// Another writer's entry stands over an upstream's for some time.
    Spoil(usize, u64),
}

/// A run.
#[derive(Clone, Debug)]
pub struct Run {
    /// Data centres.
    pub data_centres: usize,
    /// Instances.
    pub instances: usize,
    /// Bounds of the rules.
    pub rules: Rules,
    /// Seed of all chance.
    pub seed: u64,
    /// What happens, and when, in milliseconds from the begin.
    pub steps: Vec<(u64, Act)>,
    /// Whether instances let others know of what they know though the list does not change, as they do while they
    /// relay streams.
    pub traffic: bool,
    /// Upstreams at the begin.
    pub upstreams: usize,
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Calls of the store.
    pub calls: u64,
    /// Entries and changes of upstreams that the store has given to all instances together.
    pub entries: u64,
    /// Events.
    pub events: u64,
    /// What must hold and did not.
    pub violations: Vec<String>,
}
