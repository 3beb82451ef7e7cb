//! What the callers of open requests are told when their instance ends.

use super::*;

/// Retry delay for callers that are refused since their instance stops, in milliseconds: short, since they will reach
/// another instance.
pub const RETRY_AFTER_MS: u64 = 50;

/// How far a graceful shutdown is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Shutdown {
    /// None has started.
    #[default]
    None,
    /// It has started; requests that are open at this time end.
    Draining(Time),
    /// Open requests were ended, and new ones are refused.
    Ended,
}

impl Core {
    /// Starts a graceful shutdown that ends after `left_ms`.
    pub(crate) fn start_shutdown(&mut self, left_ms: u64) {
        self.shutdown = Shutdown::Draining(self.now.after(left_ms));
    }

    /// Whether the graceful shutdown has ended: nothing is sent any more.
    pub(crate) fn has_shut_down(&self) -> bool {
        self.shutdown == Shutdown::Ended
    }

    /// Ends the graceful shutdown: answers every open request with what is known of whether it ran, and aborts begun streams.
    pub(crate) fn end_shutdown(&mut self) {
        self.shutdown = Shutdown::Ended;
        for deferred in std::mem::take(&mut self.deferred) {
            self.refuse_at_shutdown(deferred.submission.caller);
        }
        let mut open = Worklist::new(self.requests.keys());
        while let Some(key) = open.next(&self.requests) {
            self.give_up_at_shutdown(key);
        }
    }

    /// Refuses a request that has not been admitted.
    pub(crate) fn refuse_at_shutdown(&mut self, caller: request::Caller) {
        self.refuse(caller, Kind::Stopping, Some(RETRY_AFTER_MS));
    }

    fn give_up_at_shutdown(&mut self, key: request::Key) {
        let sent = if self.requests[key].service.repeatable {
            Kind::Interrupted
        } else {
            Kind::Unknown
        };
        self.give_up(key, Kind::Stopping, sent);
    }
}
