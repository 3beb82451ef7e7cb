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

/// What the record of a stream is looked up by.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Lookup {
    /// The run that brought the stream's first event, if its caller names it.
    pub origin: Option<RunId>,
    /// Hash of its prompt, by which its holders are ranked.
    pub prompt: u64,
}

impl Lookup {
    /// Whether it is for the record of a stream.
    pub fn finds(&self, id: StreamId) -> bool {
        self.prompt == id.content && self.origin.is_none_or(|origin| origin == id.origin)
    }
}

/// Lookups that are awaited, with the time until which.
pub(crate) type Lookups = BTreeMap<Lookup, Time>;

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

    /// Starts a lookup if a submission resumes a stream whose record this instance lacks: where only few instances have it,
    /// and where several versions may have begun the stream. Returns whether it did.
    pub(crate) fn look_up_stream(&mut self, submission: &event::Submission, number: u64) -> bool {
        let Some(lookup) = self.needed_lookup(submission, number) else {
            return false;
        };
        let until = self.now.after(LOOKUP_MS);
        self.lookups.insert(lookup, until);
        self.effects.push(Effect::FindStream(lookup));
        true
    }

    /// The lookup that a submission needs; `None` if it needs none, or if this instance can not tell yet.
    fn needed_lookup(&self, submission: &event::Submission, number: u64) -> Option<Lookup> {
        let relay = submission.work.relay().filter(|relay| relay.position > 0)?;
        let lookup = relay.lookup();
        if !self.has_read_state() {
            return None;
        }
        let is_kept_by_few = self.is_kept_by_few(lookup);
        if self.knows_stream(lookup, is_kept_by_few) {
            return None;
        }
        let needs_version = self.has_gap(relay, number, |gap| gap != origin::Gap::Unconfirmed);
        (is_kept_by_few || needs_version).then_some(lookup)
    }

    /// Whether only few instances keep the record of a stream.
    fn is_kept_by_few(&self, lookup: Lookup) -> bool {
        let has_holders = |pool: &Arc<str>| {
            self.audience(pool, stream_record::Stage::Started) == Audience::Holders
        };
        lookup.prompt != 0 && self.pools.keys().any(has_holders)
    }

    /// Whether the version of a stream would be unknown in a pool of its route for such a reason.
    fn has_gap(
        &self,
        relay: &request::Relay,
        number: u64,
        is_such: impl Fn(origin::Gap) -> bool,
    ) -> bool {
        let config = self.config.as_ref();
        let Some(route) = config.and_then(|config| config.route(&relay.host, &relay.path)) else {
            return false;
        };
        if self.only_pool(&relay.host, &relay.path).is_none() {
            return is_such(origin::Gap::SeveralPools);
        }
        let mut pools = route.shares.iter().map(|share| share.service.pool());
        pools.any(|pool| self.only_version(pool, number).is_err_and(&is_such))
    }

    /// Whether a submission takes up a stream of unknown version, which may go on if the names of versions confirm that there
    /// was only one.
    pub(crate) fn needs_names(&self, submission: &event::Submission, number: u64) -> bool {
        let relay = submission.work.relay().filter(|relay| relay.position > 0);
        let Some(relay) = relay.filter(|_| self.has_read_state()) else {
            return false;
        };
        let lookup = relay.lookup();
        !self.knows_stream(lookup, self.is_kept_by_few(lookup))
            && self.has_gap(relay, number, |gap| gap == origin::Gap::Unconfirmed)
    }

    /// Whether the record of a stream is known; if its caller does not name it, whether those of all streams with its content
    /// are. Where few instances keep records, this one is told of all of them only if it is among the few.
    fn knows_stream(&self, lookup: Lookup, is_kept_by_few: bool) -> bool {
        let content = lookup.prompt;
        match lookup.origin {
            Some(origin) => self.origins.get(StreamId { content, origin }).is_some(),
            None if is_kept_by_few => self.stream_records.is_told_of(content),
            None => self.stream_records.with_content(content).next().is_some(),
        }
    }

    /// Whether the record of a stream is awaited.
    pub(crate) fn is_looked_up(&self, id: StreamId) -> bool {
        self.lookups.keys().any(|lookup| lookup.finds(id))
    }

    /// Whether a submission waits for the record of its stream.
    pub(crate) fn awaits_lookup(&self, submission: &event::Submission) -> bool {
        let Some(relay) = submission.work.relay() else {
            return false;
        };
        let until = self.lookups.get(&relay.lookup());
        until.is_some_and(|until| self.now < *until)
    }

    /// Ends the lookups of records that have arrived.
    pub(crate) fn finish_lookups(&mut self, ids: &[StreamId]) {
        let before = self.lookups.len();
        self.lookups
            .retain(|lookup, _| !ids.iter().any(|id| lookup.finds(*id)));
        if self.lookups.len() < before {
            self.submit_deferred();
        }
    }

    /// Repeats the lookups, after the first of them went to instances that were not known yet.
    pub(crate) fn repeat_lookups(&mut self) {
        let lookups = self.lookups.keys().copied();
        self.effects.extend(lookups.map(Effect::FindStream));
    }

    /// Forgets lookups that nobody answered.
    pub(crate) fn expire_lookups(&mut self) {
        let now = self.now;
        self.lookups.retain(|_, until| now < *until);
    }
}
