//! Requests that an instance has accepted and not yet answered.

use super::*;

new_key_type! {
    /// Key of a request.
    pub struct Key;
}

/// Names the caller's connection at the edge; chosen by the edge, never used twice.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Caller(pub u64);

/// What is asked.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// One call of a plain service.
    Call {
        /// Method and path, as the edge writes them.
        path: Arc<str>,
        /// Body as received.
        payload: Arc<[u8]>,
    },
    /// One generation.
    Generate {
        /// Tokens of the answer, at most.
        max_tokens: u32,
        /// Prompt and sampling parameters as the edge writes them.
        payload: Arc<[u8]>,
        /// Hash of the start of the prompt, for prefix reuse.
        prefix: u64,
    },
}

impl Work {
    /// Tokens of the answer, at most; zero for calls.
    pub fn max_tokens(&self) -> u32 {
        match self {
            Self::Call { .. } => 0,
            Self::Generate { max_tokens, .. } => *max_tokens,
        }
    }

    /// Method and path of a call; empty for generations.
    pub fn path(&self) -> Arc<str> {
        match self {
            Self::Call { path, .. } => path.clone(),
            Self::Generate { .. } => Arc::from(""),
        }
    }

    /// What is sent along.
    pub fn payload(&self) -> Arc<[u8]> {
        match self {
            Self::Call { payload, .. } | Self::Generate { payload, .. } => payload.clone(),
        }
    }

    /// Size of the payload in bytes.
    pub fn bytes(&self) -> u64 {
        match self {
            Self::Call { payload, .. } | Self::Generate { payload, .. } => payload.len() as u64,
        }
    }
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Its idempotency key is being claimed.
    Claiming,
    /// It waits for an upstream.
    Queued,
    /// It was sent, or is being sent again.
    Running,
}

/// A request accepted and not yet answered.
#[derive(Clone, Debug)]
pub struct Request {
    /// Attempts under way.
    pub attempts: Vec<attempt::Key>,
    /// The caller's connection.
    pub caller: Caller,
    /// Claim needed before it is sent, if any.
    pub claim: Option<Claim>,
    /// When its claim was first asked for.
    pub claim_asked: Time,
    /// Whether the queue counts it as running.
    pub counted: bool,
    /// Customer.
    pub customer: Arc<config::Customer>,
    /// Time by which it must be answered.
    pub deadline: Time,
    /// Tokens delivered, from position 0.
    pub delivered: Vec<u32>,
    /// Digest of `delivered`.
    pub digest: Digest,
    /// Digest of the request's body and service, which binds cursors and claims.
    pub fingerprint: u64,
    /// Whether it reads a continuation that another instance claimed.
    pub following: bool,
    /// Bytes counted against the limit of held memory: payload and the longest answer.
    pub held: u64,
    /// Identity of the generation.
    pub generation: u128,
    /// The cursor to re-attach with, until that was tried.
    pub attach: Option<Cursor>,
    /// Whether an upstream may have run it.
    pub may_have_run: bool,
    /// Number of the last attempt.
    pub number: u32,
    /// Time by which it must have been sent.
    pub send_by: Time,
    /// Position before which tokens are not given to the caller, since it has them.
    pub skip: u32,
    /// Digest that `delivered` must have at `skip`.
    pub skip_digest: Digest,
    /// Time at which it was first sent.
    pub sent: Option<Time>,
    /// Service asked for.
    pub service: Arc<config::Service>,
    /// Where it stands.
    pub state: State,
    /// Upstream not to be chosen again if another can be: the one that failed last.
    pub avoid: Option<upstream::Key>,
    /// What is asked.
    pub work: Work,
}

impl Request {
    /// The cursor at the next position, given by `attempt` of `upstream`.
    pub fn cursor(&self, attempt: u32, upstream: u64) -> Cursor {
        Cursor {
            attempt,
            digest: self.digest,
            generation: self.generation,
            position: self.position(),
            request: self.fingerprint,
            reserved: 0,
            upstream,
        }
    }

    /// Count of tokens delivered.
    pub fn position(&self) -> u32 {
        self.delivered.len() as u32
    }
}
