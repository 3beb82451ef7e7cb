//! Replies that the core task sends to a caller's task.

use super::*;

/// One part of the response to a caller.
#[derive(Debug)]
pub(crate) enum Reply {
    /// A relayed stream ends before it is complete.
    Abort,
    /// The response of a plain service.
    Body {
        /// Response body.
        body: Vec<u8>,
        /// HTTP status.
        status: u16,
    },
    /// A relayed stream ended with the connection of its upstream, which does not tell whether it is complete.
    CloseStream,
    /// A relayed stream is complete.
    EndStream,
    /// One event of a relayed stream.
    Event(Arc<[u8]>),
    /// The response is an error.
    Failed {
        /// Kind of error.
        kind: Kind,
        /// Time to wait before retrying, in milliseconds; `None` if a retry does not help.
        retry_after_ms: Option<u64>,
    },
    /// The generation is complete.
    Finished {
        /// Number of tokens in the whole answer.
        position: u32,
        /// Finish reason given by the engine.
        reason: String,
    },
    /// The response head of a relayed stream.
    Head(Box<forward::Head>),
    /// The complete response of an upstream, forwarded unchanged.
    Response(Box<forward::CompleteResponse>),
    /// Tokens of a generation.
    Tokens {
        /// Encoded cursor after these tokens.
        cursor: [u8; cursor::LENGTH],
        /// Position of the first token.
        position: u32,
        /// The tokens.
        tokens: Vec<OutputToken>,
    },
}
