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
    /// Pass on a request that the edge holds.
    Relay {
        /// Where a copy of the run's memory shall be kept.
        backup: Option<SocketAddr>,
        /// The caller under whose name the edge holds the request.
        caller: request::Caller,
        /// Name of the run whose copied memory the upstream goes on from.
        copy: Option<Arc<str>>,
        /// Time that the upstream has, in milliseconds.
        left_ms: u64,
        /// Name of the customer; `None` where callers need no key.
        customer: Option<Arc<str>>,
        /// Position of the last event that the caller has; 0 for none.
        position: u64,
        /// Whether the answer is a series of events.
        streams: bool,
        /// Name of the upstream, which another one at its address will not answer to.
        upstream: Arc<str>,
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
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum What {
    /// It was answered whole.
    Answered,
    /// It was re-attached to its stream.
    Attached,
    /// It was given up on.
    Failed(Kind),
    /// Its caller went away.
    Left,
    /// An attempt ended without a whole answer.
    Lost(counter::Reason),
    /// It was sent to an upstream.
    Sent {
        /// Upstream that keeps a copy of its memory.
        backup: Option<Arc<str>>,
        /// Name of the run whose copied memory it goes on from.
        copy: Option<Arc<str>>,
        /// Time left, in milliseconds.
        left_ms: u64,
        /// Age of the list of upstreams that the choice rests on, in milliseconds.
        list_age_ms: u64,
    },
}

/// A change of what is believed of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Belief {
    /// It went wrong and gets no new work for a while.
    Doubted,
    /// It is no longer listed and runs nothing.
    Gone,
    /// It is of another version than the one in force, and gets no work.
    Held,
    /// It is leaving.
    Leaving,
    /// It takes so many requests a second from all instances together.
    Limited,
    /// It was given up on.
    Lost,
    /// It is listed for the first time.
    New,
    /// It is held back no longer.
    Released,
    /// Another upstream has its address.
    Replaced,
    /// It asked for a time without requests of this instance.
    Resting,
    /// It started again under its name, and is another one since.
    Restarted,
    /// It gets work again.
    Trusted,
    /// It names no limit any more.
    Unlimited,
}

/// A step in the life of a request, with what it was decided by.
#[derive(Clone, Debug)]
pub struct Note {
    /// Customer.
    pub customer: Arc<config::Customer>,
    /// Identity of the request.
    pub generation: u128,
    /// Tokens delivered, or position of the last event that the caller has.
    pub position: u32,
    /// What tells that it is one of several tries of its caller.
    pub print: Print,
    /// Name of the run at upstreams, for relayed requests.
    pub run: Option<Arc<str>>,
    /// Service.
    pub service: Arc<config::Service>,
    /// Upstream concerned.
    pub upstream: Option<Arc<str>>,
    /// What happened.
    pub what: What,
}

impl Belief {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Doubted => "doubted",
            Self::Gone => "gone",
            Self::Held => "held",
            Self::Leaving => "leaving",
            Self::Limited => "limited",
            Self::Lost => "lost",
            Self::New => "new",
            Self::Released => "released",
            Self::Replaced => "replaced",
            Self::Resting => "resting",
            Self::Restarted => "restarted",
            Self::Trusted => "trusted",
            Self::Unlimited => "unlimited",
        }
    }
}

/// What is to be done about requests that end the upstreams that run them.
#[derive(Clone, Debug)]
pub enum Quarantine {
    /// Find out whether an upstream has ended whose connections broke.
    Check {
        /// Where it listens.
        address: SocketAddr,
        /// The upstream.
        life: Life,
    },
    /// Log that a request which was refused is not any more, and have it forgotten where it is kept: another one explains the
    /// ends, or they lapsed.
    Free {
        /// Whether this instance saw one of the ends itself, and so had the request kept.
        own: bool,
        /// The request.
        print: Print,
    },
    /// Hold ready what is known of unplanned ends of upstreams, which has changed.
    Keep(CrashHistory),
    /// Log that a request is refused from now on, and have it refused after the loss of all instances too.
    Refuse {
        /// The ends that it is guilty by.
        ends: CrashHistory,
        /// Whether this instance saw one of them itself.
        own: bool,
        /// The request.
        print: Print,
    },
    /// Tell other instances of unplanned ends of upstreams.
    Tell(CrashHistory),
}

/// What the core wants done.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Give a caller the whole answer that the edge holds.
    Answer(request::Caller),
    /// Log that something else is believed of an upstream.
    Believe {
        /// What is believed now.
        belief: Belief,
        /// When its life began, in milliseconds since the Unix epoch; 0 where it does not say.
        born: u64,
        /// Time since anything came from it, in milliseconds.
        silent_ms: u64,
        /// Name of the upstream.
        upstream: Arc<str>,
    },
    /// Tell other instances that an upstream was lost.
    Blame(Life),
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
    /// A relayed stream is whole.
    Close(request::Caller),
    /// Count something.
    Count(Counter, u64),
    /// Break off a relayed stream, so that its caller sees that it is not whole.
    Cut(request::Caller),
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
    /// Tell other instances what this one is asked of a pool.
    Demand {
        /// What it is asked.
        demand: Demand,
        /// Whether the pool is near what it can serve, so that others must know soon.
        pressed: bool,
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
    Leaving {
        /// Its life.
        life: Life,
        /// Its name.
        upstream: Arc<str>,
    },
    /// Tell other instances what an upstream takes from all of them together.
    Limit {
        /// Its life.
        life: Life,
        /// The limit; `None` if it names none any more.
        rate: Option<limit::Rate>,
    },
    /// Log a step in the life of a request.
    Note(Note),
    /// Give a caller the head of a stream that the edge holds.
    Open(request::Caller),
    /// Tell other instances how fast the engines of a pool work.
    Pace(EngineSpeed),
    /// Give a caller one event of a relayed stream.
    Pass {
        /// The event.
        bytes: Arc<[u8]>,
        /// The caller.
        caller: request::Caller,
    },
    /// Ask an upstream whether it lives and what its load is.
    Probe {
        /// Where it listens.
        address: SocketAddr,
        /// The upstream.
        upstream: upstream::Key,
    },
    /// Something about requests that end their upstreams.
    Quarantine(Quarantine),
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
        /// The upstream.
        upstream: upstream::Key,
    },
    /// Tell other instances of a relayed stream.
    Tell(Sighting),
    /// Note how long something took, in milliseconds.
    Timed(Timing, u64),
}
