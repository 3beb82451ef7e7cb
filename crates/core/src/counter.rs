//! Counters of requests and of everything refused, retried, dropped or broken, and timings of
//! responses.

use super::*;

/// An event that is counted.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Counter {
    /// Requests admitted.
    Admitted,
    /// Answers of upstreams, stores and other instances that were not read to their end, by the bound that they exceeded.
    AnswerBound(AnswerBound),
    /// Requests that received a complete response.
    Answered,
    /// Requests sent to an upstream that breaks off, to find out whether it answers.
    BreakOffProbe,
    /// Upstreams found to accept connections and break exchanges off, by this instance or another one.
    BreaksOff,
    /// Callers that disconnected before their response was complete.
    CallerGone,
    /// Calls placed by the calls in flight: at an idle slot that is this instance's to fill first.
    CallAtOwnSlot,
    /// Calls placed by the calls in flight: elsewhere.
    CallOverflow,
    /// Configurations taken from another instance.
    ConfigurationFromPeer,
    /// Connections of clients that were closed or refused, by reason.
    ConnectionClosed(ConnectionEnd),
    /// Times that this instance found itself cut off from upstreams.
    CutOff,
    /// Requests that may have run and failed with over half of their time left, by kind and by the bound that kept them from
    /// being sent on.
    EndedEarly(Kind, Option<Bound>),
    /// Entries of the upstream list that are not usable, by reason.
    EntryInvalid(&'static str),
    /// Frames dropped because their attempt is over.
    FrameLate,
    /// Tokens dropped because they had already been delivered.
    FrameRepeated,
    /// Streams admitted where ranks are in force, by rank.
    RankAdmitted(Rank),
    /// Streams treated as the most urgent since too few of their rank started, by rank.
    RankRaised(Rank),
    /// Streams refused for lack of capacity where ranks are in force, by rank.
    RankRefused(Rank),
    /// Streams that waited for capacity where ranks are in force, by rank.
    RankWaited(Rank),
    /// Streams ended because their upstream sent more tokens than were requested.
    FrameBeyond,
    /// Streams abandoned because tokens were missing.
    FrameGap,
    /// Hedged continuations: started while the current upstream is only suspected.
    Hedged,
    /// Violated invariants.
    Invariant(Invariant),
    /// Streams that left an upstream that sent nothing, by evidence.
    LeftSilent(liveness::Evidence),
    /// Attempts to listen on a port that failed and were followed by another one.
    ListenRetried,
    /// Lists of upstreams, or changes of them, taken from another instance.
    ListFromPeer,
    /// Lists of upstreams, or changes of them, given to another instance.
    ListGiven,
    /// Ended incarnations of upstreams that other instances announced first.
    PeerEnded,
    /// Reports from other instances that an upstream is leaving.
    PeerLeaving,
    /// Reports from other instances of the rate limits of upstreams.
    PeerLimit,
    /// Responses in which the upstream announced that it is leaving.
    NoticeLeaving,
    /// Responses in which the upstream announced that it is brittle.
    NoticeBrittle,
    /// Responses in which the upstream announced a rate limit.
    NoticeLimit,
    /// Responses with an unparsable backoff time or rate limit.
    NoticeInvalid,
    /// Responses in which the upstream requested a backoff.
    NoticeBackoff,
    /// Responses with an unknown notice from the upstream.
    NoticeUnknown,
    /// Requests that were open when a graceful stop ended, by stage.
    OpenAtStop(open_request::Stage),
    /// Detected pauses of this instance.
    Paused,
    /// Requests found to crash the upstreams that run them.
    Quarantined,
    /// Streams that are no longer read, since their callers do not read.
    ReadingPaused,
    /// Paused streams that are read again.
    ReadingResumed,
    /// Requests refused, by reason.
    Refused(Kind),
    /// Refusals of callers that were retrying after a refusal.
    RefusedAgain,
    /// Generations that continue after a loss, by reason.
    Resumed(Reason),
    /// Requests sent again from the start, by reason.
    Retried(Reason),
    /// Attempts that the users' bound on attempts beyond the first did not permit, by class.
    RetryRefused(RetryClass),
    /// Responses of the store that were dropped because they predate its restore from a backup.
    StoreOutdated,
    /// Detected restores of the store from a backup.
    StoreRestored,
    /// Streams that ended before they were complete, after their callers had the response head, by cause.
    StreamCut(Cut),
    /// Upstreams suspected with all their work.
    Suspected,
    /// Requests that arrived at an instance that stops and were taken, by why they are expected to end in time.
    TakenAtStop(shutdown::Fit),
    /// Streams that callers took up, by what the decision whether they go on was based on.
    TakenUp(origin::Basis),
    /// Tokens delivered to callers.
    Tokens,
    /// Upstreams declared lost.
    UpstreamLost,
}

/// A bound on what is read of an answer.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum AnswerBound {
    /// Of a whole body.
    Body,
    /// Of an event.
    Event,
    /// Of the head, informational ones included.
    Head,
    /// Of all answers together that an instance is reading.
    Instance,
    /// Of an answer or a line of a watch of the key-value service.
    KeyValue,
    /// Of the platform's list of instances.
    List,
    /// Of a load report.
    Load,
    /// Of a list or configuration of another instance.
    Peer,
    /// Of all pages of a read of the platform's store.
    Store,
}

impl Display for AnswerBound {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        formatter.write_str(match self {
            Self::Body => "body",
            Self::Event => "event",
            Self::Head => "head",
            Self::Instance => "instance",
            Self::KeyValue => "key_value",
            Self::List => "list",
            Self::Load => "load",
            Self::Peer => "peer",
            Self::Store => "store",
        })
    }
}

/// Why a connection of a client was closed or refused.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ConnectionEnd {
    /// It was closed for others, at a bound on all of them.
    ForOthers,
    /// The head of a request had too many bytes.
    HeadBytes,
    /// The head of a request took too long to arrive.
    HeadTime,
    /// It was refused, since no other one could be closed for it.
    Refused,
}

impl Display for ConnectionEnd {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        formatter.write_str(match self {
            Self::ForOthers => "for_others",
            Self::HeadBytes => "head_bytes",
            Self::HeadTime => "head_time",
            Self::Refused => "refused",
        })
    }
}

/// A duration that is measured.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Timing {
    /// From the request to the complete response of a relayed call.
    Answer,
    /// From the request to the first event of a relayed stream.
    FirstEvent,
    /// Between two events of a relayed stream.
    EventInterval,
    /// From the loss of a relayed stream to its next event.
    Resume,
}

/// Why work was sent to another upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Reason {
    /// The connection broke after the request was sent.
    Broken,
    /// A caller resumed with a cursor.
    Caller,
    /// The upstream answered with a failure.
    Fault,
    /// The upstream's stream skipped tokens.
    Gap,
    /// The upstream is leaving and returned its work.
    Leaving,
    /// No connection could be made.
    NotSent,
    /// The instance that was asked for a tunnel offered none.
    NoTunnel,
    /// The upstream stopped answering probes.
    Probe,
    /// The upstream refused.
    Refused,
    /// Another upstream now has the address.
    Replaced,
    /// The upstream restarted.
    Restarted,
    /// The stream stalled.
    Stall,
    /// The stream ended without its end marker.
    Unmarked,
    /// The upstream cut a stream that was not read, since its caller did not read.
    Unread,
}

/// What ended a stream before it was complete, after its caller had the response head.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Cut {
    /// The caller's connection closed.
    CallerGone,
    /// The core task ended.
    CoreEnded,
    /// The request failed; [`Kind::UnreadAnswer`] is a full buffer.
    Failed(Kind),
}

impl Display for Cut {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        match self {
            Self::CallerGone => write!(formatter, "caller_gone"),
            Self::CoreEnded => write!(formatter, "core_ended"),
            Self::Failed(kind) => write!(formatter, "{kind}"),
        }
    }
}

impl Reason {
    /// Whether the attempt sent nothing to an upstream.
    pub fn reached_no_upstream(self) -> bool {
        matches!(self, Self::Caller | Self::NotSent | Self::NoTunnel)
    }

    /// Whether the attempt ran nothing, as far as its upstream or the connection shows.
    pub fn ran_nothing(self) -> bool {
        self.was_never_accepted() || self == Self::Refused
    }

    /// Whether no upstream accepted the request: the upstream was not there, or has been replaced.
    pub fn was_never_accepted(self) -> bool {
        matches!(
            self,
            Self::Leaving | Self::NotSent | Self::NoTunnel | Self::Replaced
        )
    }
}

impl Display for Counter {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        match self {
            Self::BreaksOff => write!(formatter, "upstream.breaks_off"),
            Self::BreakOffProbe => write!(formatter, "upstream.breaks_off_probe"),
            Self::Admitted => write!(formatter, "admitted"),
            Self::AnswerBound(bound) => write!(formatter, "answer_bound.{bound}"),
            Self::Answered => write!(formatter, "answered"),
            Self::CallerGone => write!(formatter, "caller_gone"),
            Self::CallAtOwnSlot => write!(formatter, "call.own_slot"),
            Self::CallOverflow => write!(formatter, "call.overflow"),
            Self::ConfigurationFromPeer => write!(formatter, "configuration.from_peer"),
            Self::ConnectionClosed(end) => write!(formatter, "connection.{end}"),
            Self::CutOff => write!(formatter, "cut_off"),
            Self::EndedEarly(kind, None) => write!(formatter, "ended_early.{kind}"),
            Self::EndedEarly(kind, Some(bound)) => {
                write!(formatter, "ended_early.{kind}.{bound}")
            }
            Self::EntryInvalid(reason) => write!(formatter, "entry.odd.{reason}"),
            Self::FrameBeyond => write!(formatter, "frame.beyond"),
            Self::FrameGap => write!(formatter, "frame.gap"),
            Self::FrameLate => write!(formatter, "frame.late"),
            Self::FrameRepeated => write!(formatter, "frame.repeated"),
            Self::Hedged => write!(formatter, "hedged"),
            Self::Invariant(invariant) => write!(formatter, "invariant.{invariant}"),
            Self::LeftSilent(evidence) => write!(formatter, "left_silent.{evidence}"),
            Self::ListenRetried => write!(formatter, "listen.retried"),
            Self::ListFromPeer => write!(formatter, "list.from_peer"),
            Self::ListGiven => write!(formatter, "list.given"),
            Self::NoticeBrittle => write!(formatter, "notice.brittle"),
            Self::NoticeInvalid => write!(formatter, "notice.odd"),
            Self::NoticeLeaving => write!(formatter, "notice.leaving"),
            Self::NoticeLimit => write!(formatter, "notice.limit"),
            Self::NoticeBackoff => write!(formatter, "notice.rest"),
            Self::NoticeUnknown => write!(formatter, "notice.unknown"),
            Self::OpenAtStop(stage) => write!(formatter, "open_at_stop.{stage}"),
            Self::Paused => write!(formatter, "paused"),
            Self::PeerEnded => write!(formatter, "ended.told"),
            Self::PeerLeaving => write!(formatter, "notice.told"),
            Self::PeerLimit => write!(formatter, "limit.told"),
            Self::Quarantined => write!(formatter, "quarantined"),
            Self::ReadingPaused => write!(formatter, "reading.paused"),
            Self::ReadingResumed => write!(formatter, "reading.resumed"),
            Self::RankAdmitted(rank) => write!(formatter, "rank.{rank}.admitted"),
            Self::RankRaised(rank) => write!(formatter, "rank.{rank}.raised"),
            Self::RankRefused(rank) => write!(formatter, "rank.{rank}.refused"),
            Self::RankWaited(rank) => write!(formatter, "rank.{rank}.waited"),
            Self::Refused(kind) => write!(formatter, "refused.{kind}"),
            Self::RefusedAgain => write!(formatter, "refused_again"),
            Self::Resumed(reason) => write!(formatter, "resumed.{reason}"),
            Self::Retried(reason) => write!(formatter, "retried.{reason}"),
            Self::RetryRefused(class) => write!(formatter, "retry_refused.{class}"),
            Self::StoreOutdated => write!(formatter, "store.outdated"),
            Self::StoreRestored => write!(formatter, "store.returned"),
            Self::StreamCut(cut) => write!(formatter, "stream_cut.{cut}"),
            Self::Suspected => write!(formatter, "upstream.suspected"),
            Self::TakenAtStop(fit) => write!(formatter, "taken_at_stop.{fit}"),
            Self::TakenUp(basis) => write!(formatter, "taken_up.{basis}"),
            Self::Tokens => write!(formatter, "tokens"),
            Self::UpstreamLost => write!(formatter, "upstream.lost"),
        }
    }
}

impl Display for Reason {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        formatter.write_str(match self {
            Self::Broken => "broken",
            Self::Caller => "caller",
            Self::Fault => "fault",
            Self::Gap => "gap",
            Self::Leaving => "leaving",
            Self::NotSent => "not_sent",
            Self::NoTunnel => "no_tunnel",
            Self::Probe => "probe",
            Self::Refused => "refused",
            Self::Replaced => "replaced",
            Self::Restarted => "restarted",
            Self::Stall => "stall",
            Self::Unmarked => "unmarked",
            Self::Unread => "unread",
        })
    }
}
