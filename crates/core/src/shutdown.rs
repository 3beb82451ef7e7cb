//! Requests of an instance that stops: which it can still answer whole, and what the others are told.
//!
//! A caller that is refused at once reaches another instance with most of its time left. One that waits at this instance
//! for an upstream that comes too late is refused when the instance ends, with little time left.

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
    /// Starts a graceful shutdown: from now on a request is kept only while it can be answered whole within `left_ms`.
    pub(crate) fn start_shutdown(&mut self, left_ms: u64) {
        self.shutdown = Shutdown::Draining(self.now.after(left_ms));
        self.refuse_unfinishable();
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

    /// Refuses a new request that could not be answered whole before this instance ends.
    pub(crate) fn check_shutdown(&self, request: &Request) -> Result<(), admission::Refusal> {
        let wait_ms = self.shutdown_wait_ms(request);
        let is_bounded = self.settings.room.shutdown != ShutdownPolicy::AtEnd;
        if !is_bounded || self.finishes_in_time(request, wait_ms) {
            return Ok(());
        }
        Err(admission::Refusal {
            kind: Kind::Stopping,
            retry_after_ms: Some(RETRY_AFTER_MS),
        })
    }

    /// Refuses the requests that wait and could not be answered whole any more before this instance ends. A begun stream is
    /// kept: its caller would have to take up the rest elsewhere in any case.
    pub(crate) fn refuse_unfinishable(&mut self) {
        if !matches!(self.shutdown, Shutdown::Draining(_)) {
            return;
        }
        let is_unfinishable = |request: &Request| {
            let waits = request.state == State::Queued && !failure::has_head(request);
            waits && !self.may_wait(request)
        };
        let unfinishable = self.requests.iter();
        let unfinishable = unfinishable.filter(|(_, request)| is_unfinishable(request));
        let mut unfinishable = Worklist::new(unfinishable.map(|(key, _)| key));
        while let Some(key) = unfinishable.next(&self.requests) {
            // Giving up another one may have sent it.
            if self.requests[key].state == State::Queued {
                self.give_up_at_shutdown(key);
            }
        }
    }

    fn give_up_at_shutdown(&mut self, key: request::Key) {
        let sent = if self.requests[key].service.repeatable {
            Kind::Interrupted
        } else {
            Kind::Unknown
        };
        self.give_up(key, Kind::Stopping, sent);
    }

    /// Whether a request may wait at an instance that stops.
    fn may_wait(&self, request: &Request) -> bool {
        match self.settings.room.shutdown {
            ShutdownPolicy::AtEnd => true,
            ShutdownPolicy::AtOnce => false,
            ShutdownPolicy::Unfinishable => self.finishes_in_time(request, 0),
        }
    }

    /// Whether a request that is sent after a wait is expected to be answered whole before this instance ends.
    fn finishes_in_time(&self, request: &Request, wait_ms: u64) -> bool {
        match self.shutdown {
            Shutdown::None => true,
            Shutdown::Draining(until) => {
                self.now.after(wait_ms + self.response_ms(request)) <= until
            }
            Shutdown::Ended => false,
        }
    }

    /// Expected wait of a new request during a shutdown, in milliseconds; 0 if it is likely to be sent at once, and for a
    /// stream that is taken up, which is sent before those that are queued.
    fn shutdown_wait_ms(&self, request: &Request) -> u64 {
        let is_new_stream = request.service.streams() && request.position() == 0;
        if !matches!(self.shutdown, Shutdown::Draining(_)) || !is_new_stream {
            return 0;
        }
        let ahead = self.streams_ahead(request);
        if ahead == 0 && !self.lacks_capacity(request) {
            return 0;
        }
        self.expected_wait_ms(request, ahead + 1)
    }

    /// Time in milliseconds from sending a request to the end of its response, as far as it is known.
    fn response_ms(&self, request: &Request) -> u64 {
        let Some(pool) = self.pools.get(request.service.pool()) else {
            return 0;
        };
        let Some(relay) = request.work.relay().filter(|_| request.service.streams()) else {
            return pool.demand.service_time_ms() as u64;
        };
        let position = request.progress.position;
        let events_ms = pool
            .estimates
            .remaining_ms(relay.max_answer_tokens, position);
        if request.progress.has_cached_prompt() {
            return events_ms;
        }
        self.own_prefill_ms(request).saturating_add(events_ms)
    }
}
