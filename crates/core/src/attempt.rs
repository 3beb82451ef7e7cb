//! One sending of a request to one upstream.

use super::*;

new_key_type! {
    /// Key of an attempt; never used again after the attempt is over.
    pub struct Key;
}

/// One sending of a request to one upstream.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Tokens of requests whose prompts the upstream was believed to read when it was sent, its own with
    /// them.
    pub ahead_tokens: u32,
    /// When its first token or event came.
    pub first_event_at: Option<Time>,
    /// Last time anything came from the upstream on this stream, or the time of sending.
    pub last_event_at: Time,
    /// Upstream that keeps a copy of the run's memory, for relayed streams.
    pub backup: Option<upstream::Key>,
    /// The copy of the run's memory that it goes on from, if any.
    pub copy: Option<request::KvCopy>,
    /// Number within the generation, from 1.
    pub number: u32,
    /// The request that is served.
    pub request: request::Key,
    /// Whether it was given to the edge for sending; before that its key may be in claim.
    pub sent: bool,
    /// When it was made.
    pub created_at: Time,
    /// Whether a token has come on this stream.
    pub started: bool,
    /// Whether the stream is suspected, and a continuation was considered.
    pub suspected: bool,
    /// Where it was sent.
    pub upstream: upstream::Key,
}
