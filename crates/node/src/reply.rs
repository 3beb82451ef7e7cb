//! What a caller's task is told by the core task.

use super::*;

/// One step of an answer.
#[derive(Debug)]
pub(crate) enum Reply {
    /// An upstream's whole answer, passed on as it is.
    Answer(Box<forward::Answer>),
    /// A plain service's answer.
    Body {
        /// Body.
        body: Vec<u8>,
        /// HTTP status.
        status: u16,
    },
    /// A relayed stream is whole.
    Close,
    /// A relayed stream ends without being whole.
    Cut,
    /// The final answer is an error.
    Failed {
        /// Why.
        kind: Kind,
        /// When to come back.
        retry_after_ms: Option<u64>,
    },
    /// The generation is whole.
    Finished {
        /// Why the engine stopped.
        reason: String,
        /// Tokens of the answer.
        position: u32,
    },
    /// A relayed stream begins with this head.
    Open(Box<forward::Head>),
    /// One event of a relayed stream.
    Pass(Arc<[u8]>),
    /// Tokens.
    Tokens {
        /// Encoded cursor after them.
        cursor: [u8; cursor::LENGTH],
        /// The tokens.
        pieces: Vec<OutputToken>,
        /// Position of the first of them.
        position: u32,
    },
}
