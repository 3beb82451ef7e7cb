//! Which other instances keep the record of a stream, and lookups of records that this instance does not have.
//!
//! Where engines are scarce, all instances must know of all streams to place new ones. Where engines outnumber streams,
//! a sample of four hardly meets a busy one, and only the instance to which a caller returns needs the record of its
//! stream. Records to all grow with the square of the fleet: 50 streams a second on a thousand instances are 100,000
//! datagrams a second. So a few holders, ranked by the prompt, keep a record there, and are asked for it.

use super::*;

/// Number of instances that keep the record of a stream: one may be lost together with the instance that relays it.
pub const HOLDERS: usize = 2;

/// Number of instances from which on records go to holders: among fewer, a record to all costs less than a caller that
/// waits for a lookup.
const MIN_INSTANCES: u32 = 64;

/// Time for which a lookup is awaited, in milliseconds: many times the way to another data centre and back, and less
/// than an engine needs to read a prompt again.
const LOOKUP_MS: u64 = 150;

/// The instances to which the record of a stream is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Audience {
    /// All instances, which place their own streams by it.
    All,
    /// The few that are ranked first for its prompt.
    Holders,
}

/// The holders of a prompt's record among `instances`.
pub fn holders(prompt: u64, instances: impl Iterator<Item = u64>) -> Vec<u64> {
    let mut first: Vec<(u64, u64)> = Vec::with_capacity(HOLDERS + 1);
    for instance in instances {
        let ranked = (route::rendezvous_rank(prompt, instance), instance);
        let place = first.partition_point(|other| *other < ranked);
        if place < HOLDERS {
            first.insert(place, ranked);
            first.truncate(HOLDERS);
        }
    }
    first.into_iter().map(|(_, instance)| instance).collect()
}

impl Core {
    /// The instances to which the record of a stream in a pool is sent.
    pub(crate) fn audience(&self, pool: &str, stage: stream_record::Stage) -> Audience {
        let Some(pool) = self.pools.get(pool) else {
            return Audience::All;
        };
        let streams = pool.estimates.own_streams(self.now) * f64::from(self.instances);
        let is_sparse = self.instances >= MIN_INSTANCES && streams < pool.upstreams.len() as f64;
        // What waits for capacity is counted by all, so that it takes its turn.
        if is_sparse && stage != stream_record::Stage::Waiting {
            Audience::Holders
        } else {
            Audience::All
        }
    }

    /// Starts a lookup if a submission resumes a stream whose record this instance may lack.
    pub(crate) fn look_up_stream(&mut self, submission: &event::Submission) {
        let Some(relay) = submission.work.relay() else {
            return;
        };
        let (prompt, position) = (relay.prompt, relay.position);
        let is_unknown = prompt != 0 && self.stream_records.get(prompt).is_none();
        let has_holders = |pool: &Arc<str>| {
            self.audience(pool, stream_record::Stage::Started) == Audience::Holders
        };
        if position == 0 || !is_unknown || !self.pools.keys().any(has_holders) {
            return;
        }
        let until = self.now.after(LOOKUP_MS);
        self.lookups.insert(prompt, until);
        self.effects.push(Effect::FindStream(prompt));
    }

    /// Whether a submission waits for the record of its stream.
    pub(crate) fn awaits_lookup(&self, submission: &event::Submission) -> bool {
        let Some(relay) = submission.work.relay() else {
            return false;
        };
        let until = self.lookups.get(&relay.prompt);
        until.is_some_and(|until| self.now < *until)
    }

    /// Ends the lookup of a record that has arrived.
    pub(crate) fn finish_lookup(&mut self, prompt: u64) {
        if self.lookups.remove(&prompt).is_some() {
            self.submit_deferred();
        }
    }

    /// Forgets lookups that nobody answered.
    pub(crate) fn expire_lookups(&mut self) {
        let now = self.now;
        self.lookups.retain(|_, until| now < *until);
    }
}
