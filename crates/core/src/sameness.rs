//! Whether a request takes up a stream that is known here.
//!
//! Requests with equal content are not the same request: two callers may ask for the same, at the same time, and for the same
//! customer. What an upstream generates for one of them does not fit the other. A stream is identified by what is asked and by
//! the run that brought its first event. A caller that names this run is believed if the content is the same. One that does not
//! is taken to come back for the only stream with its content, if there has been only one as far as callers may come back;
//! otherwise no record, copy or upstream of a stream is used for it.

use super::*;

/// Retention time for ended streams, in milliseconds: a caller that has not received all of a stream may come back for it.
const ENDED_RETENTION_MS: u64 = 30_000;

/// Maximum number of ended streams; beyond it the oldest is forgotten.
const MAX_ENDED: usize = 100_000;

/// Identifies a stream over all attempts of its caller.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct StreamId {
    /// Hash of what is asked: customer, host, path, query, prompt and body; 0 if the request states no prompt.
    pub content: u64,
    /// The run that brought its first event, or its run if none has arrived.
    pub origin: RunId,
}

impl StreamId {
    /// The identifier as one number, by which instances put streams in the same order.
    pub(crate) fn order(self) -> u64 {
        self.content ^ self.origin.0
    }
}

/// What is known of the stream that a request takes up.
#[derive(Clone, Debug)]
pub(crate) enum TakenUp<'a> {
    /// This stream, with its record unless it has ended.
    Known(StreamId, Option<&'a StreamRecord>),
    /// One of these streams, or one that is not known here.
    OneOf(Vec<StreamId>),
    /// No stream that is known here.
    Unknown,
}

/// Streams that have ended, of which callers may have received only a part.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndedStreams {
    /// In the order of their ends.
    due: VecDeque<(Time, StreamId)>,
    ids: BTreeSet<StreamId>,
}

impl StreamId {
    /// The last of all identifiers in their order.
    pub const MAX: Self = Self {
        content: u64::MAX,
        origin: RunId(u64::MAX),
    };

    /// Identifiers of all streams with this content.
    pub fn with_content(content: u64) -> RangeInclusive<Self> {
        let of = |origin| Self { content, origin };
        of(RunId(0))..=of(RunId(u64::MAX))
    }
}

impl EndedStreams {
    /// Adds a stream; returns whether an earlier one had to be forgotten before its time.
    pub fn add(&mut self, id: StreamId, now: Time) -> bool {
        self.expire(now);
        if self.ids.insert(id) {
            self.due.push_back((now, id));
        }
        let is_full = self.due.len() > MAX_ENDED;
        if is_full && let Some((_, first)) = self.due.pop_front() {
            self.ids.remove(&first);
        }
        is_full
    }

    /// Forgets those whose retention time is over.
    pub fn expire(&mut self, now: Time) {
        while let Some((at, id)) = self.due.front().copied()
            && now.since(at) >= ENDED_RETENTION_MS
        {
            self.due.pop_front();
            self.ids.remove(&id);
        }
    }

    /// Those with this content.
    pub fn with_content(&self, content: u64) -> impl Iterator<Item = StreamId> {
        self.ids.range(StreamId::with_content(content)).copied()
    }
}

impl Core {
    /// What is known of the stream that a request takes up.
    pub(crate) fn taken_up(&self, relay: &request::Relay) -> TakenUp<'_> {
        if relay.position == 0 {
            return TakenUp::Unknown;
        }
        match relay.resumes {
            Some(run) => self.named(relay, run),
            None => self.unnamed(relay),
        }
    }

    /// The stream that a caller names. A run of the same name that asked for something else is another stream.
    fn named(&self, relay: &request::Relay, run: RunId) -> TakenUp<'_> {
        let id = relay.stream_id(run);
        match self.stream_records.get(id) {
            Some(record) if !record.may_be_of(relay) => TakenUp::Unknown,
            Some(_) if self.stream_records.is_ambiguous(id) => TakenUp::OneOf(vec![id]),
            Some(record) => TakenUp::Known(id, Some(record)),
            None if self.origins.get(id).is_some() => TakenUp::Known(id, None),
            None => TakenUp::Unknown,
        }
    }

    /// The stream of a caller that names none: the only one with its content.
    fn unnamed(&self, relay: &request::Relay) -> TakenUp<'_> {
        if relay.prompt == 0 {
            return TakenUp::Unknown;
        }
        let records = &self.stream_records;
        let running = records.with_content(relay.prompt);
        let running: Vec<&StreamRecord> = running
            .filter(|record| record.may_be_of(relay) && record.may_be_taken_up())
            .collect();
        let is_ended = |id: &StreamId| running.iter().all(|record| record.id() != *id);
        let ended = records.ended_with_content(relay.prompt).filter(is_ended);
        let ids: Vec<StreamId> = running.iter().map(|record| record.id()).collect();
        let ids: Vec<StreamId> = ids.into_iter().chain(ended).collect();
        match ids[..] {
            [] => TakenUp::Unknown,
            [id] if !records.is_ambiguous(id) && !records.may_lack_streams(self.now) => {
                TakenUp::Known(id, running.first().copied())
            }
            _ => TakenUp::OneOf(ids),
        }
    }
}

impl StreamRecord {
    /// Identifies its stream.
    pub fn id(&self) -> StreamId {
        StreamId {
            content: self.prompt,
            origin: self.origin,
        }
    }

    /// Whether it may be a record of the stream that a request takes up, by the tokens that both announce.
    fn may_be_of(&self, relay: &request::Relay) -> bool {
        self.tokens == relay.tokens
    }

    /// Whether its caller may come back for events behind those that it has: not if it left without any.
    fn may_be_taken_up(&self) -> bool {
        self.has_begun || self.stage != stream_record::Stage::Left
    }
}
