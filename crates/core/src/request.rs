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
    /// A request that is passed on as it is; the edge holds it under the caller's name.
    Relay(Relay),
}

/// What the core knows of a request that is passed on as it is.
#[derive(Clone, Debug, PartialEq)]
pub struct Relay {
    /// Tokens of the answer, at most; 0 if the request does not say.
    pub max_answer_tokens: u32,
    /// Bytes that the edge holds.
    pub bytes: u64,
    /// Host that the caller named.
    pub host: Arc<str>,
    /// Path without query.
    pub path: Arc<str>,
    /// How long the caller waits for the whole answer, in milliseconds, if it said so.
    pub timeout_ms: Option<u64>,
    /// Position of the last event that the caller has of an earlier answer; 0 for none.
    pub position: u64,
    /// Identity of the prompt, the same for every try of a caller; 0 if there is none.
    pub prompt: u64,
    /// Name of the run at upstreams.
    pub run: Arc<str>,
    /// Tokens of prompt and longest answer.
    pub tokens: u32,
}

impl Relay {
    /// What is told of it to other instances.
    pub fn sighting(
        &self,
        stage: sighting::Stage,
        upstream: Option<Life>,
        backup: Option<Life>,
    ) -> Sighting {
        Sighting {
            backup,
            pool: String::new(),
            prompt: self.prompt,
            run: self.run.to_string(),
            stage,
            tokens: self.tokens,
            upstream,
        }
    }
}

/// How far a relayed answer has come.
#[derive(Clone, Debug, Default)]
pub struct RelayProgress {
    /// Where a copy of the run's memory is kept, and under which name.
    pub copy: Option<KvCopy>,
    /// When the caller was given its last event; `None` before the first.
    pub last_event_at: Option<Time>,
    /// Whether the edge holds a failed answer of an upstream, to be given if nothing better comes.
    pub has_held_error: bool,
    /// When the stream was lost, until it goes on.
    pub lost_at: Option<Time>,
    /// Whether the caller has the head of an answer.
    pub is_open: bool,
    /// Position of the last event that the caller has.
    pub position: u64,
    /// Upstream that ran the stream at another instance, and may keep its prompt.
    pub preferred_upstream: Option<upstream::Key>,
    /// Position at which a stream ended without a mark that it is whole.
    pub unmarked_end: Option<u64>,
    /// Upstreams that the request reached.
    pub upstreams_reached: u32,
}

/// A copy of a running stream's memory, from which another upstream than its own can go on.
#[derive(Clone, Debug, PartialEq)]
pub struct KvCopy {
    /// Name of the run that was copied.
    pub run: Arc<str>,
    /// Upstream that holds the copy.
    pub upstream: upstream::Key,
}

impl Work {
    /// Tokens of the answer, at most; zero for calls.
    pub fn max_tokens(&self) -> u32 {
        match self {
            Self::Call { .. } | Self::Relay(_) => 0,
            Self::Generate { max_tokens, .. } => *max_tokens,
        }
    }

    /// Method and path of a call; empty for generations.
    pub fn path(&self) -> Arc<str> {
        match self {
            Self::Call { path, .. } => path.clone(),
            Self::Generate { .. } => Arc::from(""),
            Self::Relay(relay) => relay.path.clone(),
        }
    }

    /// What is sent along; empty where the edge holds it.
    pub fn payload(&self) -> Arc<[u8]> {
        match self {
            Self::Call { payload, .. } | Self::Generate { payload, .. } => payload.clone(),
            Self::Relay(_) => Arc::from(&[][..]),
        }
    }

    /// The relayed request, if it is one.
    pub fn relay(&self) -> Option<&Relay> {
        match self {
            Self::Relay(relay) => Some(relay),
            Self::Call { .. } | Self::Generate { .. } => None,
        }
    }

    /// Size of the payload in bytes.
    pub fn bytes(&self) -> u64 {
        match self {
            Self::Call { payload, .. } | Self::Generate { payload, .. } => payload.len() as u64,
            Self::Relay(relay) => relay.bytes,
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
    /// When it arrived.
    pub arrived_at: Time,
    /// Attempts under way.
    pub attempts: Vec<attempt::Key>,
    /// The caller's connection.
    pub caller: Caller,
    /// Claim needed before it is sent, if any.
    pub claim: Option<Claim>,
    /// When its claim was first asked for.
    pub claim_requested_at: Time,
    /// Whether the queue counts it as running.
    pub counts_as_running: bool,
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
    pub follows_peer: bool,
    /// Bytes counted against the limit of held memory: payload and the longest answer.
    pub held_bytes: u64,
    /// Identity of the generation.
    pub generation: u128,
    /// The cursor to re-attach with, until that was tried.
    pub resume_cursor: Option<Cursor>,
    /// Whether an upstream may have run it.
    pub may_have_run: bool,
    /// Number of the last attempt.
    pub number: u32,
    /// How far a relayed answer has come.
    pub progress: RelayProgress,
    /// What tells that it is one of several tries of its caller.
    pub print: Print,
    /// Time by which it must have been sent.
    pub send_by: Time,
    /// For how long its caller had waited before it asked here, as far as is known, in milliseconds.
    pub waited_ms: u64,
    /// Time by which the first event of its answer is wanted, for relayed streams.
    pub first_event_due: Time,
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
    pub avoided_upstream: Option<upstream::Key>,
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

    /// Count of tokens delivered, or position of the last event that the caller has.
    pub fn position(&self) -> u32 {
        match &self.work {
            Work::Relay(_) => self.progress.position as u32,
            Work::Call { .. } | Work::Generate { .. } => self.delivered.len() as u32,
        }
    }
}
