//! Effects that the core asks its driver to carry out.

use super::*;

/// Identifier of a stream at an engine; unique across instances and attempts.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Stream {
    /// Identifier of the generation.
    pub generation: u128,
    /// Number of the attempt, from 1.
    pub number: u32,
}

/// Message that is sent to an upstream.
#[derive(Clone, Debug)]
pub enum Outbound {
    /// Resume reading a stream that the engine still runs.
    Attach {
        /// Position of the first token to read.
        position: u32,
        /// The stream.
        stream: Stream,
    },
    /// Call a unary service.
    Call {
        /// Method and path, in the edge's encoding.
        path: Arc<str>,
        /// Request body.
        payload: Arc<[u8]>,
        /// Whether it may be sent on a reused connection and retried.
        repeatable: bool,
        /// Identifier of the request, for the upstream's logs.
        request: u128,
    },
    /// Forward a request that the edge holds.
    Relay {
        /// Upstream that the KV cache of the run is to be copied to.
        backup: Option<SocketAddr>,
        /// The caller under which the edge holds the request.
        caller: request::Caller,
        /// Name of the run whose copied KV cache the upstream resumes from.
        copy: Option<Arc<str>>,
        /// Time left until the deadline, in milliseconds.
        left_ms: u64,
        /// Name of the customer; `None` where callers need no key.
        customer: Option<Arc<str>>,
        /// Path to the upstream.
        path: Path,
        /// Position of the last event that the caller received; 0 for none.
        position: u64,
        /// Priority at the upstream, from 0 for the most urgent to 9; `None` if no ranks are in force.
        priority: Option<u8>,
        /// Whether the response is a stream of events.
        streams: bool,
        /// Name of the upstream; a different upstream at its address refuses the request.
        upstream: Arc<str>,
    },
    /// Start a stream that continues after `prefix`.
    Generate {
        /// Adapter; empty for none.
        adapter: String,
        /// How long the engine keeps the stream without a reader, in milliseconds.
        linger_ms: u64,
        /// Maximum number of tokens in the whole response.
        max_tokens: u32,
        /// Model.
        model: Arc<config::Model>,
        /// Prompt and sampling parameters.
        payload: Arc<[u8]>,
        /// Tokens that earlier attempts delivered.
        prefix: Vec<u32>,
        /// Scheduling priority at the engine.
        priority: Priority,
        /// The stream.
        stream: Stream,
    },
}

/// Step in the life cycle of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// The response is complete.
    Answered,
    /// The request was re-attached to its running stream.
    Attached,
    /// The stream ended before it was complete, after its caller had the response head.
    Cut(counter::Cut),
    /// The request failed.
    Failed {
        /// What was done for it.
        account: bound::Account,
        /// Whether its caller had the response head.
        has_head: bool,
        /// Kind of error.
        kind: Kind,
    },
    /// The caller disconnected.
    Left,
    /// The request left an upstream that sent nothing.
    LeftSilent(liveness::Departure),
    /// The stream is no longer read, since its caller does not read.
    Paused {
        /// Number of bytes that wait for the caller.
        unread_bytes: u64,
    },
    /// An attempt ended without a complete response.
    Lost(counter::Reason),
    /// The bound on attempts beyond the first permits no other attempt.
    RetryRefused(RetryClass),
    /// The request was refused on arrival for lack of capacity; only where ranks are in force.
    Refused(Outlook),
    /// The call was refused on arrival, since the demand of all instances exceeds what the slots serve.
    RefusedByDemand(demand::Figures),
    /// The request was refused on arrival, since backoffs and rate limits let no upstream take it in its waiting time.
    RefusedByLimits {
        /// Time until an upstream can take it, in milliseconds; `None` if other instances hold the shares of all limits.
        available_ms: Option<u64>,
    },
    /// The request was sent to an upstream.
    Sent {
        /// Upstream that keeps a copy of the run's KV cache.
        backup: Option<Arc<str>>,
        /// Name of the run whose copied KV cache the attempt resumes from.
        copy: Option<Arc<str>>,
        /// Time left until the deadline, in milliseconds.
        left_ms: u64,
        /// Age of the upstream list that the choice is based on, in milliseconds.
        list_age_ms: u64,
        /// What is known of the version that began the stream.
        origin: Origin,
        /// Path to the upstream.
        path: Path,
        /// Software version of the upstream.
        version: Arc<str>,
    },
    /// The request arrived while this instance stops, and is expected to end in time.
    TakenAtStop(shutdown::Late),
    /// The caller takes a stream up; what the decision whether it goes on, and at which version, is based on.
    TakenUp(origin::Basis),
    /// The request waits for capacity; only where ranks are in force.
    Waits(Outlook),
}

/// What a stream without capacity is expected to wait for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Outlook {
    /// Number of streams that go before it, over all instances.
    pub ahead: usize,
    /// Its rank.
    pub rank: Rank,
    /// Expected wait in milliseconds.
    pub wait_ms: u64,
}

/// Change in the status of an upstream, as this instance sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StatusChange {
    /// It answers again after exchanges broke off.
    Answers,
    /// It requested a backoff from this instance.
    BackedOff,
    /// It accepts connections and breaks exchanges off.
    BreaksOff,
    /// It is no longer listed and runs nothing.
    Gone,
    /// Its version is not the active one of its pool, so it receives no requests.
    Held,
    /// It is leaving.
    Leaving,
    /// It announced a rate limit that all instances share.
    Limited,
    /// It is considered lost.
    Lost,
    /// It is listed for the first time.
    New,
    /// It receives requests again.
    Recovered,
    /// It is no longer held back for its version.
    Released,
    /// A different upstream listens at its address.
    Replaced,
    /// It restarted under the same name and counts as a new incarnation.
    Restarted,
    /// It failed and receives no new requests for a while.
    Suspected,
    /// It no longer announces a rate limit.
    Unlimited,
}

/// Log entry for a step of a request, with the data that the decision is based on.
#[derive(Clone, Debug)]
pub struct RequestLog {
    /// Customer.
    pub customer: Arc<config::Customer>,
    /// Fingerprint that all attempts of a caller at the same request share.
    pub fingerprint: RequestFingerprint,
    /// Identifier of the request.
    pub generation: u128,
    /// Number of tokens delivered, or position of the last event that the caller received.
    pub position: u32,
    /// Name of the run at upstreams; `None` unless the request is relayed.
    pub run: Option<Arc<str>>,
    /// Service.
    pub service: Arc<config::Service>,
    /// What happened.
    pub step: Step,
    /// Upstream concerned.
    pub upstream: Option<Arc<str>>,
}

impl StatusChange {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Answers => "answers again",
            Self::BreaksOff => "breaks off",
            Self::BackedOff => "resting",
            Self::Gone => "gone",
            Self::Held => "held",
            Self::Leaving => "leaving",
            Self::Limited => "limited",
            Self::Lost => "lost",
            Self::New => "new",
            Self::Recovered => "trusted",
            Self::Released => "released",
            Self::Replaced => "replaced",
            Self::Restarted => "restarted",
            Self::Suspected => "doubted",
            Self::Unlimited => "unlimited",
        }
    }
}

/// Effect concerning requests that crash the upstreams that run them.
#[derive(Clone, Debug)]
pub enum Quarantine {
    /// Find out whether an upstream whose connections broke has crashed.
    CheckCrash {
        /// Address that it listens on.
        address: SocketAddr,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// Broadcast crashes of upstreams to other instances.
    Gossip(CrashHistory),
    /// Publish the crash history after a change, for other instances that ask for it.
    Publish(CrashHistory),
    /// Log that a request is now refused, and persist the refusal so that it survives the loss of
    /// all instances.
    Refuse {
        /// The crashes that led to the refusal.
        evidence: CrashHistory,
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Whether this instance observed one of the crashes itself.
        own: bool,
    },
    /// Log that a request is no longer refused, and delete the persisted refusal: another request
    /// explains the crashes, or they expired.
    Release {
        /// Fingerprint of the request.
        fingerprint: RequestFingerprint,
        /// Whether this instance observed one of the crashes itself, and so persisted the refusal.
        own: bool,
    },
}

/// Effect concerning events that wait for callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Buffering {
    /// Discard the events that wait for a caller; its stream is aborted next.
    Discard(request::Caller),
    /// Stop reading the events of a relayed stream, so that its upstream stops sending.
    Pause(attempt::Key),
    /// Read the events of a paused stream again.
    Resume(attempt::Key),
}

/// Effect concerning this instance's own connections to upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Connectivity {
    /// Connect to an upstream and close the connection, only to find out whether it can be reached from here.
    Check {
        /// Address that it listens on.
        address: SocketAddr,
        /// The time now.
        started_at: Time,
        /// The upstream.
        upstream: upstream::Key,
    },
    /// Log that this instance is cut off from upstreams, or that it reaches them again.
    Log {
        /// Whether it is cut off.
        cut_off: bool,
        /// Number of upstreams that it does not reach, as far as it has tried.
        unreached: usize,
    },
}

/// Action that the core asks its driver to carry out.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Abort a relayed stream, so that its caller sees that it is incomplete.
    AbortStream(request::Caller),
    /// An effect concerning events that wait for callers.
    Buffering(Buffering),
    /// Abort an attempt and, for a stream, cancel it at the engine.
    Cancel {
        /// Address of the upstream.
        address: SocketAddr,
        /// The attempt.
        attempt: attempt::Key,
        /// The stream; `None` unless the request is a generation.
        stream: Option<Stream>,
    },
    /// An effect concerning this instance's own connections to upstreams.
    Connectivity(Connectivity),
    /// Claim an idempotency key.
    Claim {
        /// The claim.
        claim: Claim,
        /// The request that needs it.
        request: request::Key,
    },
    /// Add to a counter.
    Count(Counter, u64),
    /// Send tokens to a caller.
    Deliver {
        /// The caller.
        caller: request::Caller,
        /// Encoded cursor after these tokens.
        cursor: [u8; cursor::LENGTH],
        /// Position of the first token.
        position: u32,
        /// The tokens.
        tokens: Vec<OutputToken>,
    },
    /// Stop reading a stream without cancelling it, since its caller may reconnect.
    Detach(attempt::Key),
    /// End a relayed stream that ended with the connection of its upstream, which does not tell whether it is complete.
    CloseStream(request::Caller),
    /// End a relayed stream that is complete.
    EndStream(request::Caller),
    /// Answer a request with an error.
    Fail {
        /// The caller.
        caller: request::Caller,
        /// Kind of error.
        kind: Kind,
        /// Time to wait before retrying, in milliseconds; `None` if a retry does not help.
        retry_after_ms: Option<u64>,
    },
    /// Report to the caller that a generation is complete.
    Finish {
        /// The caller.
        caller: request::Caller,
        /// Number of tokens in the response.
        position: u32,
        /// Finish reason given by the engine.
        reason: String,
    },
    /// Forward one event of a relayed stream to a caller.
    ForwardEvent {
        /// The event.
        bytes: Arc<[u8]>,
        /// The caller.
        caller: request::Caller,
    },
    /// Forward to a caller the response head of a stream, which the edge holds.
    ForwardHead(request::Caller),
    /// Forward to a caller the complete response that the edge holds.
    ForwardResponse(request::Caller),
    /// Broadcast to other instances how many requests for a pool this one receives.
    GossipDemand {
        /// The demand.
        demand: Demand,
        /// Which instances need the update, and how soon.
        reach: demand::Reach,
    },
    /// Broadcast to other instances that incarnations of upstreams have ended.
    GossipEnded(Vec<Incarnation>),
    /// Broadcast to other instances that an upstream is leaving.
    GossipLeaving {
        /// Its incarnation.
        incarnation: Incarnation,
        /// Its name.
        name: Arc<str>,
    },
    /// Broadcast to other instances the rate limit that an upstream sets for all of them together.
    GossipLimit {
        /// Its incarnation.
        incarnation: Incarnation,
        /// The limit; `None` if it no longer announces one.
        rate: Option<limit::Rate>,
    },
    /// Request the record of a stream, by the hash of its prompt, from the instances that hold it.
    FindStream(directory::Lookup),
    /// Read or write the names of versions in the store.
    Names(names::Call),
    /// Broadcast to other instances that an upstream was lost.
    GossipLost(Incarnation),
    /// Tell the other instances that an upstream was lost that accepted a connection and broke it off.
    GossipBreakOff(Incarnation),
    /// Broadcast to other instances how fast the engines of a pool are.
    GossipSpeed(EngineSpeed),
    /// Send the state of a relayed stream to other instances.
    GossipStream {
        /// The instances to send it to.
        audience: Audience,
        /// The state.
        record: StreamRecord,
    },
    /// Log a step in the life cycle of a request.
    LogRequest(RequestLog),
    /// Log that the status of an upstream changed.
    LogUpstream {
        /// Start time of its incarnation, in milliseconds since the Unix epoch; 0 if unknown.
        born: u64,
        /// The change.
        change: StatusChange,
        /// Time since anything was received from it, in milliseconds.
        silent_ms: u64,
        /// Name of the upstream.
        upstream: Arc<str>,
    },
    /// Log that the statuses of many upstreams changed at once.
    LogUpstreams {
        /// The change.
        change: StatusChange,
        /// Number of upstreams.
        count: usize,
    },
    /// Record a duration, in milliseconds.
    Observe(Timing, u64),
    /// Probe the health and load of an upstream.
    Probe {
        /// Address that it listens on.
        address: SocketAddr,
        /// The upstream.
        upstream: upstream::Key,
    },
    /// An effect concerning requests that crash their upstreams.
    Quarantine(Quarantine),
    /// Forward the response of a unary service to the caller.
    Reply {
        /// Response body.
        body: Vec<u8>,
        /// The caller.
        caller: request::Caller,
        /// HTTP status.
        status: u16,
    },
    /// Send a message to an upstream.
    Send {
        /// Address of the upstream.
        address: SocketAddr,
        /// The attempt that the message belongs to.
        attempt: attempt::Key,
        /// The message.
        outbound: Outbound,
        /// The upstream.
        upstream: upstream::Key,
    },
}

impl Core {
    /// Log entry for a step of a caller's request that the driver found; `None` if the caller has no open request.
    pub fn request_log(&self, caller: request::Caller, step: Step) -> Option<RequestLog> {
        let key = self.callers.get(&caller)?;
        let request = self.requests.get(*key)?;
        match self.log_effect(request, step, None) {
            Effect::LogRequest(entry) => Some(entry),
            _ => None,
        }
    }
}
