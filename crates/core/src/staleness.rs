//! How fast instances hear of changes in the store.

use super::*;

/// Time behind the return of the store, or the end of a refusal, in which an instance must know what it missed, in
/// milliseconds: the shortest in which a deployment counts it as in touch again.
const BACK_MS: u64 = 3_000;

/// Part of it for answers, datagrams and processes that run late, in milliseconds.
const MARGIN_MS: u64 = 100;

/// The longest time of a call of the configuration and of the pause behind it, in milliseconds: what is left for them by the
/// reads of a configuration that others have.
const CALL_MAX_MS: u64 = BACK_MS - MARGIN_MS - store_calls::RETRY_MAX_MS - informer::READS_ALL_MS;

/// The longest time without word, in milliseconds: what is left for it by a call of the list that was taken just before the
/// return.
const SILENCE_MAX_MS: u64 = BACK_MS - MARGIN_MS - store_calls::SOON_ALL_MS;

/// Times derived from the bound within which every instance must know of a change, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct StalenessBound {
    /// The bound. Of it about a half passes before silence is noticed; the rest is for asking the store.
    pub bound_ms: u64,
}

impl StalenessBound {
    /// The longest time in which an answer must begin: of the bound, half is for a call that a silent store took and
    /// never answers, and half for the next one.
    pub fn call_ms(self) -> u64 {
        (self.bound_ms / 2).min(CALL_MAX_MS)
    }

    /// Longest time between two calls of the instance that shows the others that nothing has changed.
    pub fn confirm_ms(self) -> u64 {
        self.bound_ms / 2
    }

    /// Pause of one that watches for others between two watches, in which changes gather.
    pub fn pause_ms(self) -> u64 {
        self.bound_ms / 6
    }

    /// Time without word after which an instance asks the store itself; more than a pause and a wait. The
    /// deputy is first, so that the others hear of what it learned. It is the same while the store refuses: those
    /// that watch may be refused longer than others.
    pub fn silence_ms(self, role: Role) -> u64 {
        match role {
            Role::Standby => self.bound_ms / 2,
            Role::Independent | Role::Follower | Role::Watcher => {
                (self.bound_ms * 3 / 5).min(SILENCE_MAX_MS)
            }
        }
    }

    /// Time without being shown that nothing has changed after which an instance that watches for itself asks the store,
    /// whatever call it has out. It is longer than the time between two such calls by what a slow store takes; the
    /// fifth of the bound that is left at the longest is for the call, a datagram and a process that runs late. The
    /// first of those that watch asks first, so that its answer spares the others.
    pub fn unconfirmed_ms(self, rank: WatcherRank) -> u64 {
        let spread = self.bound_ms / 10 * rank.rank as u64 / rank.count.max(1) as u64;
        self.bound_ms * 7 / 10 + spread
    }

    /// Longest wait of a watch of one that watches for others, so that these hear at least that nothing has changed.
    pub fn wait_ms(self) -> u64 {
        self.bound_ms / 4
    }
}
