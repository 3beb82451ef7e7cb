//! Intervals derived from the bound on the staleness of what instances know of the store.

use super::*;

/// Time within which an instance must know what it missed after the store has returned or has stopped refusing its
/// calls, in milliseconds: the shortest after which a deployment counts the instance as connected again.
const RECOVERY_MS: u64 = 3_000;

/// Part of [`RECOVERY_MS`] that is reserved for slow answers, datagrams and processes, in milliseconds.
const MARGIN_MS: u64 = 100;

/// Maximum timeout of a call of the configuration, in milliseconds: what remains of [`RECOVERY_MS`] after the margin,
/// the longest pause after the call, and the pauses before the reads of a configuration that peers have.
const CALL_MAX_MS: u64 = RECOVERY_MS
    - MARGIN_MS
    - store_calls::BACKOFF_MAX_MS
    - configuration_reads::READ_PAUSES_TOTAL_MS;

/// Maximum silence of peers, in milliseconds: what remains of [`RECOVERY_MS`] after the margin and a call of the list
/// that was sent just before the store returned.
const SILENCE_MAX_MS: u64 = RECOVERY_MS - MARGIN_MS - store_calls::FAST_RETRY_TOTAL_MS;

/// Intervals derived from the time within which every instance must know of a change, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct StalenessBound {
    /// The bound, in milliseconds. About half of it passes before silence is detected; the rest is for calling the
    /// store.
    pub bound_ms: u64,
}

impl StalenessBound {
    /// Timeout of a call, in milliseconds: half of the bound for a call that a silent store accepts and never
    /// answers, half for the next one.
    pub fn call_ms(self) -> u64 {
        (self.bound_ms / 2).min(CALL_MAX_MS)
    }

    /// Maximum interval between two calls of the instance that sends confirmations, in milliseconds.
    pub fn confirm_ms(self) -> u64 {
        self.bound_ms / 2
    }

    /// Pause of a watcher between two watches, in which changes are batched, in milliseconds.
    pub fn pause_ms(self) -> u64 {
        self.bound_ms / 6
    }

    /// Silence of peers after which an instance calls the store itself, in milliseconds; longer than a pause and a
    /// wait. The standby goes first, so that the others learn from it. It is the same while the store refuses calls:
    /// it may refuse watchers for longer than others.
    pub fn silence_ms(self, role: Role) -> u64 {
        match role {
            Role::Standby => self.bound_ms / 2,
            Role::Independent | Role::Follower | Role::Watcher => {
                (self.bound_ms * 3 / 5).min(SILENCE_MAX_MS)
            }
        }
    }

    /// Time without a confirmation after which a watcher calls the store whatever call is pending, in milliseconds. It
    /// exceeds the interval between two confirming calls by what a slow store takes; at least a fifth of the bound is
    /// left for the call, a datagram and a slow process. The lowest rank calls first, so that its answer spares the
    /// others.
    pub fn unconfirmed_ms(self, rank: WatcherRank) -> u64 {
        let spread = self.bound_ms / 10 * rank.rank as u64 / rank.count.max(1) as u64;
        self.bound_ms * 7 / 10 + spread
    }

    /// Maximum wait of a watcher's watch, so that followers hear at least that nothing has changed, in milliseconds.
    pub fn wait_ms(self) -> u64 {
        self.bound_ms / 4
    }
}
