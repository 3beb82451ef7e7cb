//! Conditions that must hold at every moment, checked where they could be broken.

use super::*;

/// A condition that was found broken.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Invariant {
    /// A request was answered twice.
    AnsweredTwice,
    /// Tokens were to be delivered at another position than the next one.
    ContiguousTokens,
    /// The configuration would have gone to a lower revision.
    NeverReverts,
    /// A request that ends the upstreams that run it was to be sent.
    NoQuarantinedWork,
    /// An upstream was given more work than this instance's part of the limit that it named.
    NoWorkBeyondLimit,
    /// An upstream that is leaving was given new work.
    NoWorkWhenLeaving,
    /// An upstream that asked for rest was given new work.
    NoWorkWhenResting,
    /// A request refused as "not run" had been sent.
    NotRunIsTrue,
    /// A non-repeatable request was to be sent although it may have run.
    RunsOnce,
    /// Tokens of another generation or attempt were to be delivered.
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
            Self::NoWorkWhenResting => "no_work_when_resting",
            Self::NotRunIsTrue => "not_run_is_true",
            Self::RunsOnce => "runs_once",
            Self::SameGeneration => "same_generation",
        })
    }
}
