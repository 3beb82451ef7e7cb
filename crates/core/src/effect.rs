//! What the core wants done.

use super::*;

/// Names a stream at an engine: unique over all instances and attempts.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Stream {
    /// Identity of the generation.
    pub generation: u128,
    /// Number of the attempt, from 1.
    pub number: u32,
}

/// What is to be sent to an upstream.
#[derive(Clone, Debug)]
pub enum Sending {
    /// Go on reading a stream that the engine still runs.
    Attach {
        /// Position of the first token wanted.
        position: u32,
        /// The stream.
        stream: Stream,
    },
    /// Call a plain service.
    Call {
        /// Method and path, as the edge writes them.
        path: Arc<str>,
        /// Body.
        payload: Arc<[u8]>,
        /// Whether it may be sent on a connection used before, and sent again.
        repeatable: bool,
        /// Identity of the request, for the upstream's logs.
        request: u128,
    },
    /// Start a stream that continues from `prefix`.
    Generate {
        /// Adapter; empty for none.
        adapter: String,
        /// How long the engine keeps the stream without a reader; milliseconds.
        linger_ms: u64,
        /// Tokens of the whole answer, at most.
        max_tokens: u32,
        /// Model.
        model: Arc<config::Model>,
        /// Prompt and sampling parameters.
        payload: Arc<[u8]>,
        /// Tokens delivered before.
        prefix: Vec<u32>,
        /// Priority at the engine.
        priority: Priority,
        /// The stream.
        stream: Stream,
    },
}

/// A step in the life of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum What {
    /// It was answered whole.
    Answered,
    /// It was re-attached to its stream.
    Attached,
    /// It was given up on.
    Failed(Kind),
    /// It was sent to an upstream.
    Sent,
}

/// What the core wants done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Stop an attempt and tell the engine, if it is a stream.
    Cancel {
        /// Where the upstream listens.
        address: SocketAddr,
        /// The attempt.
        attempt: attempt::Key,
        /// The stream, for generations.
        stream: Option<Stream>,
    },
    /// Claim an idempotency key.
    Claim {
        /// The claim.
        claim: Claim,
        /// The request it is for.
        request: request::Key,
    },
    /// Count something.
    Count(Counter, u64),
    /// Give tokens to a caller.
    Deliver {
        /// The caller.
        caller: request::Caller,
        /// Encoded cursor after these tokens.
        cursor: [u8; cursor::LENGTH],
        /// The tokens.
        pieces: Vec<Piece>,
        /// Position of the first of them.
        position: u32,
    },
    /// Stop reading a stream but leave it running, since its caller may come back.
    Detach(attempt::Key),
    /// Give the caller an error as its final answer.
    Fail {
        /// The caller.
        caller: request::Caller,
        /// Why.
        kind: Kind,
        /// When to come back, in milliseconds, if that helps.
        retry_after_ms: Option<u64>,
    },
    /// The generation is whole.
    Finish {
        /// The caller.
        caller: request::Caller,
        /// Tokens of the answer.
        position: u32,
        /// Why the engine stopped.
        reason: String,
    },
    /// Tell other instances that an upstream is leaving.
    Leaving(Arc<str>),
    /// Log a step in the life of a request.
    Note {
        /// Customer.
        customer: Arc<config::Customer>,
        /// Identity of the request.
        generation: u128,
        /// Tokens delivered so far.
        position: u32,
        /// Service.
        service: Arc<config::Service>,
        /// Upstream concerned.
        upstream: Option<Arc<str>>,
        /// What happened.
        what: What,
    },
    /// Ask an upstream whether it lives and what its load is.
    Probe {
        /// Where it listens.
        address: SocketAddr,
        /// The upstream.
        upstream: upstream::Key,
    },
    /// Give a plain service's answer to the caller.
    Reply {
        /// The body.
        body: Vec<u8>,
        /// The caller.
        caller: request::Caller,
        /// HTTP status.
        status: u16,
    },
    /// Send something to an upstream.
    Send {
        /// Where it listens.
        address: SocketAddr,
        /// The attempt that this is.
        attempt: attempt::Key,
        /// What is sent.
        sending: Sending,
    },
}
