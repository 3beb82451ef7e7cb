//! Requests that an instance has admitted and not yet answered.

use super::*;

new_key_type! {
    /// Key of a request.
    pub struct Key;
}

/// Identifier of the caller's connection at the edge; assigned by the edge, never reused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Caller(pub u64);

/// Operation that a request asks for.
#[derive(Clone, Debug, PartialEq)]
pub enum Work {
    /// A call of a unary service.
    Call {
        /// Method and path, in the edge's encoding.
        path: Arc<str>,
        /// Request body.
        payload: Arc<[u8]>,
    },
    /// A generation.
    Generate {
        /// Maximum number of tokens in the response.
        max_tokens: u32,
        /// Prompt and sampling parameters, in the edge's encoding.
        payload: Arc<[u8]>,
        /// Hash of the prompt prefix, for reuse of cached prefixes.
        prefix: u64,
    },
    /// A request that is forwarded unchanged; the edge holds it under the caller's identifier.
    Relay(Relay),
}

/// Metadata of a request that is forwarded unchanged.
#[derive(Clone, Debug, PartialEq)]
pub struct Relay {
    /// Number of bytes that the edge holds.
    pub bytes: u64,
    /// Host that the caller requested.
    pub host: Arc<str>,
    /// Maximum number of tokens in the response; 0 if the request sets none.
    pub max_answer_tokens: u32,
    /// Path without query.
    pub path: Arc<str>,
    /// Position of the last event that the caller received on an earlier connection; 0 for none.
    pub position: u64,
    /// Hash of what is asked: customer, host, path, query, prompt and body. It is equal for all attempts of a caller, and for
    /// others that ask for the same; 0 if the request states no prompt.
    pub prompt: u64,
    /// The run of an earlier attempt of the caller that brought the first event; `None` unless the caller names it.
    pub resumes: Option<RunId>,
    /// Name of the run at upstreams.
    pub run: Arc<str>,
    /// How long the caller waits for the complete response, in milliseconds; `None` if it sets no
    /// timeout.
    pub timeout_ms: Option<u64>,
    /// Number of tokens in the prompt and the longest possible response.
    pub tokens: u32,
}

impl Relay {
    /// Identifies its stream if this run brought the first event.
    pub(crate) fn stream_id(&self, origin: RunId) -> StreamId {
        StreamId {
            content: self.prompt,
            origin,
        }
    }

    /// What the record of its stream is looked up by.
    pub(crate) fn lookup(&self) -> directory::Lookup {
        directory::Lookup {
            origin: self.resumes,
            prompt: self.prompt,
        }
    }

    /// Report for other instances about the request at a stage of processing.
    pub fn stream_record(
        &self,
        stage: stream_record::Stage,
        upstream: Option<Incarnation>,
        backup: Option<Incarnation>,
    ) -> StreamRecord {
        StreamRecord {
            backup,
            has_begun: false,
            origin: RunId::new(&self.run),
            pool: String::new(),
            prompt: self.prompt,
            rank: None,
            run: self.run.to_string(),
            stage,
            start_within_ms: None,
            tokens: self.tokens,
            upstream,
            version: Version::UNSTATED,
        }
    }
}

/// Progress of a relayed response.
#[derive(Clone, Debug, Default)]
pub struct RelayProgress {
    /// What keeps it from being sent on, noted when it fails.
    pub bound: Option<Bound>,
    /// What is known of the version that began a stream which its caller takes up, and how; `None` if it is new.
    pub basis: Option<origin::Basis>,
    /// Number of attempts in a row that broke off without an answer or event.
    pub broken_off: u32,
    /// Copy of the run's KV cache that the next attempt may resume from.
    pub copy: Option<KvCopy>,
    /// Number of times that it left an upstream which sent nothing.
    pub departures: u32,
    /// Number of attempts that met an ended incarnation of an upstream.
    pub ends_met: u32,
    /// Whether the edge holds an error response of an upstream, to be forwarded if no other attempt
    /// succeeds.
    pub has_held_error: bool,
    /// Whether the response head was forwarded to the caller.
    pub is_open: bool,
    /// Why the last attempt of an open stream ended, if the permit for the next one was not to be had yet.
    pub lacks_permit: Option<counter::Reason>,
    /// When the last event was forwarded to the caller; `None` before the first.
    pub last_event_at: Option<Time>,
    /// When the stream was lost; `None` while it is running.
    pub lost_at: Option<Time>,
    /// Which version began the stream.
    pub origin: Origin,
    /// Number of attempts that ran nothing.
    pub not_run: u32,
    /// Position of the last event that the caller received.
    pub position: u64,
    /// Upstream that ran the stream for another instance, and may still have its prompt cached.
    pub preferred_upstream: Option<upstream::Key>,
    /// The run that identifies the stream over all attempts of its caller: the one that brought the first event, or this
    /// one.
    pub run: RunId,
    /// Number of attempts that ran nothing, since the last event of an open stream.
    pub refusals: u32,
    /// Why the stream was lost, if it is resumed only when its caller has read what is buffered.
    pub resume_when_read: Option<counter::Reason>,
    /// Position at which a stream ended without an end marker.
    pub unmarked_end: Option<u64>,
    /// Number of upstreams that the request reached.
    pub upstreams_reached: u32,
    /// When an open stream whose attempts ran nothing may be sent again.
    pub wait_until: Time,
}

impl RelayProgress {
    /// Whether the request waits by itself, rather than for its turn.
    pub(crate) fn waits(&self, now: Time) -> bool {
        self.was_refused() || self.lacks_permit.is_some() || now < self.wait_until
    }

    /// Whether an open stream waits because its last attempt ran nothing.
    pub(crate) fn was_refused(&self) -> bool {
        self.is_open && self.refusals > 0
    }
}

/// Copy of the KV cache of a running stream, from which another upstream can resume it.
#[derive(Clone, Debug, PartialEq)]
pub struct KvCopy {
    /// Name of the run that was copied.
    pub run: Arc<str>,
    /// Upstream that holds the copy.
    pub upstream: upstream::Key,
}

impl RelayProgress {
    /// Whether an upstream may hold the prompt: the one with the copy, or the one that ran the request before.
    pub fn has_cached_prompt(&self) -> bool {
        self.copy.is_some() || self.preferred_upstream.is_some()
    }
}

impl Work {
    /// Maximum number of tokens in the response; 0 unless it is a generation.
    pub fn max_tokens(&self) -> u32 {
        match self {
            Self::Call { .. } | Self::Relay(_) => 0,
            Self::Generate { max_tokens, .. } => *max_tokens,
        }
    }

    /// Method and path of a call, path of a relayed request; empty for generations.
    pub fn path(&self) -> Arc<str> {
        match self {
            Self::Call { path, .. } => path.clone(),
            Self::Generate { .. } => Arc::from(""),
            Self::Relay(relay) => relay.path.clone(),
        }
    }

    /// Request body; empty for relayed requests, whose body the edge holds.
    pub fn payload(&self) -> Arc<[u8]> {
        match self {
            Self::Call { payload, .. } | Self::Generate { payload, .. } => payload.clone(),
            Self::Relay(_) => Arc::from(&[][..]),
        }
    }

    /// Metadata of a relayed request; `None` for other operations.
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

/// Permit for attempts beyond the first, where the users bound them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RetryPermit {
    /// No attempt has reached an upstream, as far as is known; the next one needs no permit.
    #[default]
    NotNeeded,
    /// An attempt has reached an upstream; the next one needs a permit.
    Needed,
    /// Taken for the next or current attempt at this time.
    Taken(Time),
}

/// Stage of processing of a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum State {
    /// Its idempotency key is being claimed.
    Claiming,
    /// It is queued for an upstream.
    Queued,
    /// It was sent, or is about to be retried.
    Running,
}

/// A request that was admitted and not yet answered.
#[derive(Clone, Debug)]
pub struct Request {
    /// When other instances were last told that it waits; `None` if they were not.
    pub announced_at: Option<Time>,
    /// When it arrived.
    pub arrived_at: Time,
    /// Attempts in progress.
    pub attempts: Vec<attempt::Key>,
    /// Upstream that failed last; not chosen again if there is an alternative.
    pub avoided_upstream: Option<upstream::Key>,
    /// The caller's connection.
    pub caller: Caller,
    /// Claim that is needed before it is sent, if any.
    pub claim: Option<Claim>,
    /// When its claim was first requested.
    pub claim_requested_at: Time,
    /// Whether the queue counts it as running.
    pub counts_as_running: bool,
    /// Customer whose limits it counts towards.
    pub customer: Arc<config::Customer>,
    /// Time by which it must be answered.
    pub deadline: Time,
    /// Tokens delivered, from position 0.
    pub delivered: Vec<u32>,
    /// Digest of `delivered`.
    pub digest: Digest,
    /// Digest of the request's body and service; cursors and claims are bound to it.
    pub fingerprint: u64,
    /// Time by which the first event of a relayed stream should arrive.
    pub first_event_due: Time,
    /// When it was first sent.
    pub first_sent_at: Option<Time>,
    /// Whether it reads a continuation that another instance claimed.
    pub follows_peer: bool,
    /// Identifier of the generation.
    pub generation: u128,
    /// Bytes that count towards the memory limit: the payload and the longest possible response.
    pub held_bytes: u64,
    /// Number of the last attempt; 0 before the first.
    pub last_attempt: u32,
    /// Whether an upstream may have run it.
    pub may_have_run: bool,
    /// Progress of a relayed response.
    pub progress: RelayProgress,
    /// Rank among the streams of its pool; `None` if no ranks are in force there.
    pub rank: Option<Rank>,
    /// Fingerprint that all attempts of a caller at the same request share.
    pub request_fingerprint: RequestFingerprint,
    /// Cursor to re-attach with; `None` after the attempt to do so.
    pub resume_cursor: Option<Cursor>,
    /// Whether its next attempt needs a retry permit.
    pub retry_permit: RetryPermit,
    /// Time by which it must have been sent.
    pub send_by: Time,
    /// Requested service.
    pub service: Arc<config::Service>,
    /// Position before which tokens are not delivered, because the caller already has them.
    pub skip: u32,
    /// Digest that `delivered` must have at `skip`.
    pub skip_digest: Digest,
    /// Stage of processing.
    pub state: State,
    /// Place in the order of its pool, as it was when it was queued; `None` if no ranks are in force there.
    pub turn: Option<Turn>,
    /// How long its caller had already waited before this request arrived, in milliseconds, as far
    /// as known.
    pub waited_ms: u64,
    /// Requested operation.
    pub work: Work,
}

impl Request {
    /// Cursor at the next position, served by `attempt` on `upstream`.
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

    /// Whether its time is over: the one that it may wait, or the one until its answer must be complete.
    pub fn has_expired(&self, now: Time) -> bool {
        let is_wait_over = self.state == State::Queued && now >= self.send_by;
        is_wait_over || now >= self.deadline
    }

    /// Number of tokens delivered, or position of the last event that the caller received.
    pub fn position(&self) -> u32 {
        match &self.work {
            Work::Relay(_) => self.progress.position as u32,
            Work::Call { .. } | Work::Generate { .. } => self.delivered.len() as u32,
        }
    }
}
