//! Invariants, checked where they could be violated.

use super::*;

/// An invariant that was violated.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Invariant {
    /// A request received two responses.
    AnsweredTwice,
    /// Tokens were about to be delivered at a position other than the next one.
    ContiguousTokens,
    /// The configuration would have gone back to a lower revision.
    NeverReverts,
    /// A quarantined request was about to be sent.
    NoQuarantinedWork,
    /// An upstream was given more work than this instance's share of its rate limit.
    NoWorkBeyondLimit,
    /// An upstream that is leaving was given new work.
    NoWorkWhenLeaving,
    /// An upstream that requested a backoff was given new work.
    NoWorkInBackoff,
    /// A stream was about to go on at another software version than the one that began it.
    OneVersion,
    /// A request that was refused as not run had been sent.
    NotRunIsTrue,
    /// A non-repeatable request was about to be sent although it may have run.
    RunsOnce,
    /// Tokens of another generation or attempt were about to be delivered.
    SameGeneration,
}

impl Display for Invariant {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        formatter.write_str(match self {
            Self::AnsweredTwice => "answered_twice",
            Self::ContiguousTokens => "contiguous_tokens",
            Self::NeverReverts => "never_reverts",
            Self::NoQuarantinedWork => "no_quarantined_work",
            Self::NoWorkBeyondLimit => "no_work_beyond_limit",
            Self::NoWorkWhenLeaving => "no_work_when_leaving",
            Self::NoWorkInBackoff => "no_work_when_resting",
            Self::NotRunIsTrue => "not_run_is_true",
            Self::OneVersion => "one_version",
            Self::RunsOnce => "runs_once",
            Self::SameGeneration => "same_generation",
        })
    }
}
