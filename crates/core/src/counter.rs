//! Counts of everything refused, retried, dropped or broken.

use super::*;

/// What is counted.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Counter {
    /// Requests admitted.
    Admitted,
    /// Requests answered whole.
    Answered,
    /// Callers that went away before their answer was whole.
    CallerGone,
    /// An entry of the list names no upstream to use, for a reason.
    EntryInvalid(&'static str),
    /// Frames dropped since their attempt is over.
    FrameLate,
    /// Tokens dropped since they were delivered before.
    FrameRepeated,
    /// Streams given up because tokens were missing.
    FrameGap,
    /// Continuations started on suspicion.
    Hedged,
    /// Invariants found broken.
    Invariant(Invariant),
    /// Words of other instances that an upstream is leaving.
    PeerLeaving,
    /// Words of other instances on the limits that upstreams name.
    PeerLimit,
    /// Answers whose upstream said beside them that it is leaving.
    NoticeLeaving,
    /// Answers whose upstream named a limit.
    NoticeLimit,
    /// Answers whose upstream asked for a rest that is no time, or named a limit that is no number.
    NoticeInvalid,
    /// Answers whose upstream asked for rest.
    NoticeRest,
    /// Words of upstreams beside their answers that are not known.
    NoticeUnknown,
    /// Pauses of this instance noticed.
    Paused,
    /// Requests found to end the upstreams that run them.
    Quarantined,
    /// Requests refused, by reason.
    Refused(Kind),
    /// Refusals of callers who had come back after one.
    RefusedAgain,
    /// Generations that go on after a loss.
    Resumed(Reason),
    /// Requests sent again from the start.
    Retried(Reason),
    /// Answers of the store that were dropped, being of an era before it came back from a copy.
    StoreOutdated,
    /// Times at which the store was found to have come back from a copy.
    StoreRestored,
    /// Upstreams suspected as a whole.
    Suspected,
    /// Tokens delivered to callers.
    Tokens,
    /// Upstreams given up on.
    UpstreamLost,
}

/// What is timed.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Timing {
    /// From asking to a relayed call's whole answer.
    Answer,
    /// From asking to the first event of a relayed stream.
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
    /// A caller came back with a cursor.
    Caller,
    /// The upstream answered that it failed.
    Fault,
    /// The upstream's stream skipped tokens.
    Gap,
    /// The upstream is leaving and handed its work back.
    Leaving,
    /// No connection could be made.
    NotSent,
    /// The upstream stopped answering probes.
    Probe,
    /// The upstream refused.
    Refused,
    /// Another upstream has the address.
    Replaced,
    /// The upstream started again.
    Restarted,
    /// The stream stalled.
    Stall,
    /// The stream ended without a mark that it is whole.
    Unmarked,
}

impl Reason {
    /// Whether no upstream took the request in: it was not there, or is another one by now.
    pub fn was_never_accepted(self) -> bool {
        matches!(self, Self::Leaving | Self::NotSent | Self::Replaced)
    }
}

impl Display for Counter {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        match self {
            Self::Admitted => write!(formatter, "admitted"),
            Self::Answered => write!(formatter, "answered"),
            Self::CallerGone => write!(formatter, "caller_gone"),
            Self::EntryInvalid(reason) => write!(formatter, "entry.odd.{reason}"),
            Self::FrameGap => write!(formatter, "frame.gap"),
            Self::FrameLate => write!(formatter, "frame.late"),
            Self::FrameRepeated => write!(formatter, "frame.repeated"),
            Self::Hedged => write!(formatter, "hedged"),
            Self::Invariant(invariant) => write!(formatter, "invariant.{invariant}"),
            Self::NoticeInvalid => write!(formatter, "notice.odd"),
            Self::NoticeLeaving => write!(formatter, "notice.leaving"),
            Self::NoticeLimit => write!(formatter, "notice.limit"),
            Self::NoticeRest => write!(formatter, "notice.rest"),
            Self::NoticeUnknown => write!(formatter, "notice.unknown"),
            Self::Paused => write!(formatter, "paused"),
            Self::PeerLeaving => write!(formatter, "notice.told"),
            Self::PeerLimit => write!(formatter, "limit.told"),
            Self::Quarantined => write!(formatter, "quarantined"),
            Self::Refused(kind) => write!(formatter, "refused.{kind}"),
            Self::RefusedAgain => write!(formatter, "refused_again"),
            Self::Resumed(reason) => write!(formatter, "resumed.{reason}"),
            Self::Retried(reason) => write!(formatter, "retried.{reason}"),
            Self::StoreOutdated => write!(formatter, "store.outdated"),
            Self::StoreRestored => write!(formatter, "store.returned"),
            Self::Suspected => write!(formatter, "upstream.suspected"),
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
            Self::Probe => "probe",
            Self::Refused => "refused",
            Self::Replaced => "replaced",
            Self::Restarted => "restarted",
            Self::Stall => "stall",
            Self::Unmarked => "unmarked",
        })
    }
}
