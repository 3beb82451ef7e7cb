//! Whether the platform's store was away, concluded from how all calls of an instance end.
//!
//! The load that it answers: entries of upstreams go when these leave, and also when the store is away for so long
//! that it does not hear them. The first are to get no more work soon, the others live. One task's own call says
//! neither: a watch is cut while the store answers everybody, and another one outlasts an outage.

use super::*;

/// Heartbeats of an upstream that an outage must last to make its entry go: it goes after three without a
/// write, of which one may have passed before.
const HEARTBEATS: u64 = 2;

/// Time after the store's return up to which upstreams whose entries went in between are believed to live, in
/// milliseconds; they enter themselves again within about two seconds.
const BELIEVED_MS: u64 = 2_000;

/// What the calls of an instance showed of the store.
#[derive(Clone, Copy, Debug)]
pub struct Absence {
    /// When a call was answered last; `None` before the first time.
    answered: Option<Time>,
    /// Whether a call failed since.
    failed: bool,
    /// Time between two writes of an upstream's entry, in milliseconds.
    heartbeat_ms: u64,
    /// When a call was answered first behind one that failed.
    recovered: Option<Time>,
    /// The same, behind an outage in which entries may have gone.
    returned: Option<Time>,
}

impl Absence {
    /// What is believed before the first call, where upstreams write their entries so often.
    pub fn new(heartbeat_ms: u64) -> Self {
        Self {
            answered: None,
            failed: false,
            heartbeat_ms,
            recovered: None,
            returned: None,
        }
    }

    /// Notes an answer; for how long the store was away, in milliseconds, if this ends an outage in which entries
    /// may have gone.
    pub fn answer(&mut self, now: Time) -> Option<u64> {
        let lasted = self.lasted(now);
        self.answered = Some(now);
        if std::mem::take(&mut self.failed) {
            self.recovered = Some(now);
        }
        if lasted.is_some() {
            self.returned = Some(now);
        }
        lasted
    }

    /// When the store answered last.
    pub fn answered(&self) -> Option<Time> {
        self.answered
    }

    /// For how much longer an entry that is missing now is believed, in milliseconds: it may have gone while the
    /// store was away, and be entered again.
    pub fn believed_ms(&self, now: Time) -> u64 {
        let left = |returned: Time| returned.after(BELIEVED_MS).since(now);
        self.returned.map_or(0, left)
    }

    /// Whether entries may have gone for want of the store: it is away, or has just returned.
    pub fn doubts(&self, now: Time) -> bool {
        self.lasted(now).is_some() || self.believed_ms(now) > 0
    }

    /// Notes a call that failed or was refused.
    pub fn fail(&mut self) {
        self.failed = true;
    }

    /// When a call was answered first behind one that failed. A silent store never answers a call that it took
    /// before, however long this may wait.
    pub fn recovered(&self) -> Option<Time> {
        self.recovered
    }

    /// Time since the last answer, in milliseconds, if calls failed since and entries may have gone meanwhile.
    fn lasted(&self, now: Time) -> Option<u64> {
        let lasted = now.since(self.answered?);
        let may_lapse = self.failed && lasted >= HEARTBEATS * self.heartbeat_ms;
        may_lapse.then_some(lasted)
    }
}
