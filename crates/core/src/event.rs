//! What the core is told.

use super::*;

/// One token of an answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Piece {
    /// Text of the token.
    pub text: String,
    /// Token id.
    pub token: u32,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Failure {
    /// The connection broke, or the answer was not to be read, after bytes may have left.
    Broken,
    /// The upstream refused without running it, since it is leaving.
    Leaving,
    /// No byte left: no connection could be made.
    NotSent,
    /// The upstream refused without running it.
    Refused,
    /// The upstream called the request wrong, without running it.
    Rejected,
    /// Another upstream has the address now; it did not run the request.
    Replaced,
    /// The engine does not know the stream that was to be re-attached.
    UnknownStream,
}

impl Failure {
    /// Whether the upstream surely did not run the request.
    pub fn not_run(self) -> bool {
        match self {
            Self::Broken | Self::UnknownStream => false,
            Self::Leaving | Self::NotSent | Self::Refused | Self::Rejected | Self::Replaced => true,
        }
    }
}

/// Outcome of a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// The claim is this request's.
    Claimed,
    /// The key was claimed before, with this fingerprint.
    Taken(u64),
    /// It is not known whether the claim was committed; nothing was sent upstream.
    Unavailable,
}

/// A request as the edge read it.
#[derive(Clone, Debug)]
pub struct Submission {
    /// The caller's connection.
    pub caller: request::Caller,
    /// Cursor and tokens of an earlier connection, if the caller goes on with an answer.
    pub cursor: Option<Vec<u8>>,
    /// Digest of the customer's key.
    pub customer: String,
    /// Digest of service and body.
    pub fingerprint: u64,
    /// A new identity, used unless a cursor names an earlier one.
    pub generation: u128,
    /// Idempotency key, if given.
    pub key: Option<u128>,
    /// Tokens that the caller has received, if it sent them along with a cursor.
    pub received: Option<Vec<u32>>,
    /// Name of the service.
    pub service: String,
    /// What is asked.
    pub work: Work,
}

/// What a whole answer of an upstream means for the request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// The upstream failed; a repeatable request may be sent to another one.
    Fault,
    /// It is the answer.
    Good,
}

/// An instance in the platform's list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listed {
    /// Where it listens.
    pub address: SocketAddr,
    /// When it started, by its own clock, in milliseconds since the Unix epoch; 0 where it does not say.
    pub born: u64,
    /// Data centre that it stands in.
    pub data_centre: String,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Unique name.
    pub name: String,
    /// Pool.
    pub pool: String,
    /// Requests that it runs at once; 0 where that is not known.
    pub slots: u32,
    /// Place in the order in which upstreams were entered; of two at one address the later one is
    /// there. The first of all where that is not known.
    pub since: Position,
    /// Version of its software; empty where it does not say.
    pub version: String,
}

impl Listed {
    /// The life that the entry speaks of.
    pub fn life(&self) -> Life {
        Life::new(&self.name, self.born)
    }
}

/// What the core is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A relayed request was answered in one piece, which the edge holds.
    Answered {
        /// The attempt.
        attempt: attempt::Key,
        /// What the answer means.
        verdict: Verdict,
    },
    /// Another instance lost an upstream.
    Blamed(Life),
    /// The caller's connection is closed.
    CallerGone(request::Caller),
    /// A load report came along with the tokens of a stream, and is as old as they are.
    Carried {
        /// The attempt.
        attempt: attempt::Key,
        /// The report.
        load: Load,
    },
    /// It is known whether an upstream has ended whose connections broke.
    Checked {
        /// Whether nobody listens at its address.
        ended: bool,
        /// The upstream.
        life: Life,
    },
    /// A claim was settled.
    Claimed {
        /// The request whose key was claimed.
        request: request::Key,
        /// Outcome.
        outcome: ClaimOutcome,
    },
    /// A relayed stream ended without an error.
    Closed {
        /// The attempt.
        attempt: attempt::Key,
        /// Whether the end was marked; else it may be that the upstream was lost between two events.
        marked: bool,
    },
    /// A configuration was read from the platform or a peer.
    Config(Arc<Config>),
    /// Another instance, or the store, told of unplanned ends of upstreams.
    Crashed(Box<CrashHistory>),
    /// Another instance told what it is asked of a pool of plain services.
    Demanded {
        /// What it is asked.
        demand: Demand,
        /// Where it listens.
        from: SocketAddr,
    },
    /// Another instance heard from an upstream itself that it is leaving.
    Departing(Life),
    /// An attempt ended without a whole answer.
    Failed {
        /// The attempt.
        attempt: attempt::Key,
        /// How.
        failure: Failure,
    },
    /// A generation's stream ended as it should.
    Finished {
        /// The attempt.
        attempt: attempt::Key,
        /// Tokens of the whole answer.
        position: u32,
        /// Why the engine stopped.
        reason: String,
    },
    /// Which instances there are.
    Instances(View),
    /// An upstream is leaving; from the list, a peer, or its own word.
    Leaving(String),
    /// Another instance heard the limit of an upstream.
    Limited {
        /// The upstream.
        life: Life,
        /// What it takes from all instances together; `None` if it names no limit any more.
        rate: Option<limit::Rate>,
    },
    /// The platform's list.
    List {
        /// When it was asked for.
        asked: Time,
        /// Its lines; `None` if they are those of the last read.
        listed: Option<Vec<Listed>>,
    },
    /// A load report.
    Load {
        /// The upstream.
        upstream: upstream::Key,
        /// The report.
        load: Load,
    },
    /// An upstream said something of itself beside an answer, which comes behind this.
    Noticed {
        /// The attempt that it answered.
        attempt: attempt::Key,
        /// What it said.
        notice: Notice,
        /// The upstream.
        upstream: upstream::Key,
    },
    /// A relayed stream began; the edge holds its head.
    Opened(attempt::Key),
    /// Another instance told how fast the engines of a pool work.
    Paced(EngineSpeed),
    /// One whole event of a relayed stream.
    Passed {
        /// The attempt.
        attempt: attempt::Key,
        /// The event as the upstream wrote it.
        bytes: Arc<[u8]>,
        /// Position; rises within a stream.
        position: u64,
    },
    /// A probe was answered or failed.
    Probed {
        /// The upstream.
        upstream: upstream::Key,
        /// Whether it answered.
        alive: bool,
    },
    /// All streams that were kept before the start of this instance have been told.
    Recalled,
    /// A plain service answered.
    Replied {
        /// The attempt.
        attempt: attempt::Key,
        /// Body.
        body: Vec<u8>,
        /// HTTP status.
        status: u16,
    },
    /// Another instance told of a stream that it relays.
    Sighted(Sighting),
    /// A request arrived.
    Submit(Box<Submission>),
    /// Time passed.
    Tick,
    /// Tokens arrived.
    Tokens {
        /// The attempt.
        attempt: attempt::Key,
        /// The tokens.
        pieces: Vec<Piece>,
        /// Position of the first of them in the whole answer.
        position: u32,
    },
}
