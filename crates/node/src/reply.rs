//! What a caller's task is told by the core task.

use super::*;

/// One step of an answer.
#[derive(Debug)]
pub(crate) enum Reply {
    /// An upstream's whole answer, passed on as it is.
    Abort,
    /// A plain service's answer.
    Body {
        /// Body.
        body: Vec<u8>,
        /// HTTP status.
        status: u16,
    },
    /// A relayed stream is whole.
    EndStream,
    /// A relayed stream ends without being whole.
    Event(Arc<[u8]>),
    /// The final answer is an error.
    Failed {
        /// Why.
        kind: Kind,
        /// When to come back.
        retry_after_ms: Option<u64>,
    },
    /// The generation is whole.
    Finished {
        /// Number of tokens in the whole answer.
        position: u32,
        /// Why the engine stopped.
        reason: String,
    },
    /// A relayed stream begins with this head.
    Head(Box<forward::Head>),
    /// One event of a relayed stream.
    Response(Box<forward::CompleteResponse>),
    /// Tokens.
    Tokens {
        /// Encoded cursor after them.
        cursor: [u8; cursor::LENGTH],
        /// Position of the first of them.
        position: u32,
        /// The tokens.
        tokens: Vec<OutputToken>,
    },
}
