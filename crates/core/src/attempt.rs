//! A single attempt to run a request on one upstream.

use super::*;

new_key_type! {
    /// Key of an attempt; never reused after the attempt ends.
    pub struct Key;
}

/// A single attempt to run a request on one upstream.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Number of other streams that were at the upstream at the time of sending.
    pub ahead_streams: u32,
    /// Estimated number of prompt tokens that the upstream had to prefill at the time of sending,
    /// including this request's own.
    pub ahead_tokens: u64,
    /// Upstream that keeps a copy of the run's KV cache; for relayed streams.
    pub backup: Option<upstream::Key>,
    /// Copied KV cache that the attempt resumes from, if any.
    pub copy: Option<request::KvCopy>,
    /// When it was created.
    pub created_at: Time,
    /// When its first token or event arrived.
    pub first_event_at: Option<Time>,
    /// When the upstream last sent anything on this stream; the time of sending before that.
    pub last_event_at: Time,
    /// Number within the generation, from 1.
    pub number: u32,
    /// Path that it takes to the upstream.
    pub path: Path,
    /// Whether the edge reads its events.
    pub reading: Reading,
    /// The request that it serves.
    pub request: request::Key,
    /// Whether it was handed to the edge for sending; until then its key may still be claimed.
    pub sent: bool,
    /// Whether a token or event has arrived on this stream.
    pub started: bool,
    /// Until when it stays at its silent upstream without another look for a place elsewhere.
    pub stays_until: Time,
    /// Whether the stream is suspected of having stalled and a second attempt was considered.
    pub suspected: bool,
    /// Upstream that it was sent to.
    pub upstream: upstream::Key,
    /// Version of that upstream at the time of sending.
    pub version: Version,
}
