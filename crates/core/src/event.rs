//! Events that the core handles.

use super::*;

/// One token of a response.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OutputToken {
    /// Token id.
    pub id: u32,
    /// Text of the token.
    pub text: String,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The connection broke, or the response was malformed, after bytes may have been sent.
    Broken,
    /// The upstream refused the request without running it, because it is leaving.
    Leaving,
    /// No connection could be established; nothing was sent.
    NotSent,
    /// The instance that was asked for a tunnel offered none; nothing was sent.
    NoTunnel {
        /// Another instance that it knows to open tunnels.
        named: Option<u64>,
    },
    /// The upstream refused the request without running it.
    Refused,
    /// The upstream rejected the request as invalid without running it.
    Rejected,
    /// A different upstream now listens at the address; it did not run the request.
    Replaced,
    /// The engine does not know the stream that was to be re-attached.
    UnknownStream,
}

/// Bytes of a response that its caller's connection has taken, or that were discarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerRead {
    /// Number of bytes since the last report.
    pub bytes: u64,
    /// The caller's connection.
    pub caller: request::Caller,
}

impl Failure {
    /// Whether it is certain that the upstream did not run the request.
    pub fn was_not_executed(self) -> bool {
        match self {
            Self::Broken | Self::UnknownStream => false,
            Self::Leaving
            | Self::NotSent
            | Self::NoTunnel { .. }
            | Self::Refused
            | Self::Rejected
            | Self::Replaced => true,
        }
    }
}

/// Outcome of claiming an idempotency key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// This request holds the claim.
    Claimed,
    /// The key was claimed before, with this fingerprint.
    Taken(u64),
    /// It is unknown whether the claim was committed; nothing was sent upstream.
    Unavailable,
}

/// A request as parsed by the edge.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The caller's connection.
    pub caller: request::Caller,
    /// Encoded cursor of an earlier connection; `None` unless the caller resumes a response.
    pub cursor: Option<Vec<u8>>,
    /// Digest of the customer's API key.
    pub customer: String,
    /// Digest of service and body.
    pub fingerprint: u64,
    /// A new identifier, used unless the cursor names an earlier one.
    pub generation: u128,
    /// Idempotency key, if given.
    pub key: Option<u128>,
    /// Tokens that the caller has received, if it sent them with the cursor.
    pub received: Option<Vec<u32>>,
    /// Name of the service.
    pub service: String,
    /// Requested operation.
    pub work: Work,
}

/// Classification of a complete response of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The upstream failed; a repeatable request may be sent to another one.
    Fault,
    /// The response answers the request.
    Good,
}

/// Number of slots that an entry may claim; a larger claim counts as this many. Slots are dealt out one by one and summed up, and
/// no upstream runs as many requests at once, so that one odd entry neither takes time and memory by its claim nor makes all
/// others count for nothing.
pub const SLOTS_MAX: u32 = 4_096;

/// Entry of an upstream, or of an instance, in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListEntry {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// When it started, by its own clock, in milliseconds since the Unix epoch; 0 if unknown.
    pub born: u64,
    /// Data centre that it runs in.
    pub data_centre: String,
    /// Whether it is leaving: it takes no new requests and ends after the running ones.
    pub leaving: bool,
    /// Unique name.
    pub name: String,
    /// Name of its pool.
    pub pool: String,
    /// Position in the order of registration; if two entries have the same address, the later one
    /// is valid. The lowest position if unknown.
    pub registered_at: Position,
    /// Maximum number of requests that it runs concurrently; 0 if unknown.
    pub slots: u32,
    /// Version of its software; empty if unknown.
    pub version: String,
}

/// Changes of the platform's list.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ListDelta {
    /// Entries that are new or were written again.
    pub listed: Vec<ListEntry>,
    /// Names of entries that no longer exist.
    pub removed: Vec<String>,
}

impl ListEntry {
    /// Incarnation that the entry describes.
    pub fn incarnation(&self) -> Incarnation {
        Incarnation::new(&self.name, self.born)
    }

    /// Number of slots by which it counts.
    pub fn counted_slots(&self) -> u32 {
        self.slots.min(SLOTS_MAX)
    }
}

/// Event that the core handles.
#[derive(Clone, Debug)]
pub enum Event {
    /// A relayed request received a complete response, which the edge holds.
    Answered {
        /// The attempt.
        attempt: attempt::Key,
        /// Classification of the response.
        verdict: Verdict,
    },
    /// The caller's connection closed.
    CallerGone(request::Caller),
    /// The connections of callers have taken parts of their responses.
    CallersRead(Vec<CallerRead>),
    /// A claim was settled.
    Claimed {
        /// Outcome.
        outcome: ClaimOutcome,
        /// The request whose key was claimed.
        request: request::Key,
    },
    /// A configuration was read from the platform or a peer.
    Config(Arc<Config>),
    /// The connection of an attempt was made, before its request is sent on it.
    Connected(attempt::Key),
    /// A connection that was made for no request of this instance was made, or failed.
    ConnectionChecked {
        /// Whether it was made.
        connected: bool,
        /// When it was started.
        started_at: Time,
        /// The upstream.
        upstream: upstream::Key,
    },
    /// An upstream whose connections broke was checked for a crash.
    CrashChecked {
        /// Whether nothing listens at its address.
        ended: bool,
        /// Its incarnation.
        incarnation: Incarnation,
    },
    /// Another instance, or the store, reported crashes of upstreams.
    CrashReported(Box<CrashHistory>),
    /// An attempt ended without a complete response.
    Failed {
        /// The attempt.
        attempt: attempt::Key,
        /// How it failed.
        failure: Failure,
    },
    /// The stream of a generation ended normally.
    GenerationFinished {
        /// The attempt.
        attempt: attempt::Key,
        /// Number of tokens in the whole response.
        position: u32,
        /// Finish reason given by the engine.
        reason: String,
    },
    /// The set of instances changed.
    Instances(View),
    /// An upstream is leaving, according to the list, a peer or the upstream itself.
    Leaving(String),
    /// The platform's list was read.
    List {
        /// Its entries; `None` if they are unchanged since the last read.
        entries: Option<Vec<ListEntry>>,
        /// When the read was started.
        requested_at: Time,
    },
    /// The platform's list changed.
    ListChanged {
        /// Changes since the event before.
        delta: ListDelta,
        /// When the changes became known.
        requested_at: Time,
    },
    /// An upstream reported its load.
    Load {
        /// The report.
        load: Load,
        /// The upstream.
        upstream: upstream::Key,
    },
    /// An upstream sent a notice about itself with a response; the response follows this event.
    NoticeReceived {
        /// The attempt that it responded to.
        attempt: attempt::Key,
        /// The notice.
        notice: Notice,
        /// The upstream.
        upstream: upstream::Key,
    },
    /// Another instance reported its demand for a pool of unary services.
    PeerDemand {
        /// The demand.
        demand: Demand,
        /// Address that the instance listens on.
        from: SocketAddr,
    },
    /// Incarnations of upstreams have ended, as another instance found.
    PeerEnds(Vec<Incarnation>),
    /// An upstream announced to another instance that it is leaving.
    PeerLeaving(Incarnation),
    /// Another instance reported the rate limit of an upstream.
    PeerLimit {
        /// Incarnation of the upstream.
        incarnation: Incarnation,
        /// Limit for all instances together; `None` if the upstream no longer announces one.
        rate: Option<limit::Rate>,
    },
    /// Another instance lost an upstream.
    PeerLoss(Incarnation),
    /// Another instance lost an upstream that accepted a connection and broke it off; follows [`Event::PeerLoss`].
    PeerBreakOff(Incarnation),
    /// Another instance reported how fast the engines of a pool are.
    PeerSpeed(EngineSpeed),
    /// Another instance reported the state of a stream that it relays.
    PeerStream(StreamRecord),
    /// A load report arrived with the tokens of a stream, and is as old as they are.
    PiggybackedLoad {
        /// The attempt.
        attempt: attempt::Key,
        /// The report.
        load: Load,
    },
    /// A probe finished.
    Probed {
        /// Whether the upstream responded.
        alive: bool,
        /// The upstream.
        upstream: upstream::Key,
    },
    /// A unary service responded.
    Replied {
        /// The attempt.
        attempt: attempt::Key,
        /// Response body.
        body: Vec<u8>,
        /// HTTP status.
        status: u16,
    },
    /// The time of a graceful shutdown is over: every open request ends.
    ShutdownEnded,
    /// A graceful shutdown started.
    ShutdownStarted {
        /// Time in milliseconds after which requests that are still open end.
        left_ms: u64,
    },
    /// The store stopped answering at this time, or answers again.
    StoreAway(Option<Time>),
    /// The edge holds a complete response, whose bytes count until its caller has read them or it is superseded.
    ResponseHeld {
        /// The attempt.
        attempt: attempt::Key,
        /// Number of bytes.
        bytes: u64,
    },
    /// A relayed stream ended without an error.
    StreamEnded {
        /// The attempt.
        attempt: attempt::Key,
        /// Whether an end marker was received; without it the upstream may have been lost between
        /// two events.
        marked: bool,
    },
    /// One complete event of a relayed stream arrived.
    StreamEvent {
        /// The attempt.
        attempt: attempt::Key,
        /// The event, as the upstream encoded it.
        bytes: Arc<[u8]>,
        /// Position; increases within a stream.
        position: u64,
    },
    /// A relayed stream began; the edge holds its response head.
    StreamOpened(attempt::Key),
    /// All streams that were stored before this instance started have been reported.
    StreamsRestored,
    /// Another instance answered a lookup with the states of all streams that it knows by it.
    StreamsFound(Vec<StreamRecord>),
    /// A request arrived.
    Submit(Box<Submission>),
    /// Time passed.
    Tick,
    /// Tokens arrived.
    Tokens {
        /// The attempt.
        attempt: attempt::Key,
        /// Position of the first token in the whole response.
        position: u32,
        /// The tokens.
        tokens: Vec<OutputToken>,
    },
    /// The store was restored from a backup, which may lack names of versions.
    NamesLost,
    /// The store names these versions, among others.
    VersionsNamed(Vec<names::Name>),
    /// A read of all names of versions ended.
    VersionsRead {
        /// All names at a time behind the begin of the read; `None` if it failed.
        names: Option<Vec<names::Name>>,
        /// Number of the read.
        number: u64,
    },
}

impl Event {
    /// Name of its kind in logs.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Answered { .. } => "answered",
            Self::CallerGone(_) => "caller_gone",
            Self::CallersRead(_) => "callers_read",
            Self::Claimed { .. } => "claimed",
            Self::Config(_) => "config",
            Self::Connected(_) => "connected",
            Self::ConnectionChecked { .. } => "connection_checked",
            Self::CrashChecked { .. } => "crash_checked",
            Self::CrashReported(_) => "crash_reported",
            Self::Failed { .. } => "failed",
            Self::GenerationFinished { .. } => "generation_finished",
            Self::Instances(_) => "instances",
            Self::Leaving(_) => "leaving",
            Self::List { .. } => "list",
            Self::ListChanged { .. } => "list_changed",
            Self::Load { .. } => "load",
            Self::NoticeReceived { .. } => "notice_received",
            Self::PeerDemand { .. } => "peer_demand",
            Self::PeerEnds(_) => "peer_ends",
            Self::PeerLeaving(_) => "peer_leaving",
            Self::PeerLimit { .. } => "peer_limit",
            Self::PeerBreakOff(_) => "peer_break_off",
            Self::PeerLoss(_) => "peer_loss",
            Self::PeerSpeed(_) => "peer_speed",
            Self::PeerStream(_) => "peer_stream",
            Self::PiggybackedLoad { .. } => "piggybacked_load",
            Self::Probed { .. } => "probed",
            Self::Replied { .. } => "replied",
            Self::ShutdownEnded => "shutdown_ended",
            Self::ShutdownStarted { .. } => "shutdown_started",
            Self::StoreAway(_) => "store_away",
            Self::ResponseHeld { .. } => "response_held",
            Self::StreamEnded { .. } => "stream_ended",
            Self::StreamEvent { .. } => "stream_event",
            Self::StreamOpened(_) => "stream_opened",
            Self::StreamsFound(_) => "streams_found",
            Self::StreamsRestored => "streams_restored",
            Self::Submit(_) => "submit",
            Self::Tick => "tick",
            Self::Tokens { .. } => "tokens",
            Self::NamesLost => "names_lost",
            Self::VersionsNamed(_) => "versions_named",
            Self::VersionsRead { .. } => "versions_read",
        }
    }
}
