//! Requests of an instance that stops: which it can still answer whole, and what the others are told.
//!
//! A caller that is refused at once reaches another instance with most of its time left. One that waits at this instance
//! for an upstream that comes too late is refused when the instance ends, with little time left.
//!
//! A request that arrives behind the signal is taken if its deadline lies before the end, so that it ends in time whatever it
//! does, or if what is known of its route says that it will. A mean does not say so: the longer requests of the route would be
//! sent and ended by the stop.

use super::*;

/// Retry delay for callers that are refused since their instance stops, in milliseconds: short, since they will reach
/// another instance.
pub const RETRY_AFTER_MS: u64 = 50;

/// Time behind the signal within which load balancers still send new callers, in milliseconds: two of their health checks, which
/// are one second apart, and a reserve. Requests that arrive later come from callers that keep connections, and that reach
/// another instance once they are refused.
pub const BALANCED_MS: u64 = 2_500;

/// Part of the requests of a route whose duration counts as the longest that one may take: all but the rarest of those that may
/// be repeated, and all others.
const REPEATABLE_PART: f64 = 0.99;
const LONGEST_PART: f64 = 1.0;

/// Factor by which a request that is open for longer than is known of its route is expected to outlast its age: its upstream has
/// slowed down.
const OPEN_FACTOR: u64 = 2;

/// Time reserved between the expected end of a call and that of the shutdown, in milliseconds: on a busy machine responses are
/// read and passed on late.
const RESERVE_MS: u64 = 200;

/// Time before the end from which requests must be known to end in time also where those that wait are kept to the end, in
/// milliseconds.
const LAST_MS: u64 = 1_700;

/// Why a request that arrives behind the signal is expected to end in time.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Fit {
    /// Its deadline lies before the end.
    Deadline,
    /// The durations of its route are known.
    Durations,
    /// It is a new stream, by the speed of its pool's upstreams.
    Estimate,
    /// It is a stream that its caller takes up, whose rest is short.
    Rest,
}

impl Display for Fit {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        formatter.write_str(match self {
            Self::Deadline => "deadline",
            Self::Durations => "durations",
            Self::Estimate => "estimate",
            Self::Rest => "rest",
        })
    }
}

/// A request that was taken behind the signal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Late {
    /// Time until it is expected to end at the latest, in milliseconds.
    pub expected_ms: u64,
    /// Why it is expected to end in time.
    pub fit: Fit,
    /// Time until open requests end, in milliseconds.
    pub left_ms: u64,
}

/// The longest time in milliseconds since the first sending of an open request, by service.
type OpenAges<'a> = HashMap<&'a str, u64>;

/// How far a graceful shutdown is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Shutdown {
    /// None has started.
    #[default]
    None,
    /// It has started.
    Draining {
        /// When it started.
        since: Time,
        /// When requests that are still open end.
        until: Time,
    },
    /// Open requests were ended, and new ones are refused.
    Ended,
}

impl Core {
    /// Starts a graceful shutdown: from now on a request is kept only while it can be answered whole within `left_ms`.
    pub(crate) fn start_shutdown(&mut self, left_ms: u64) {
        self.shutdown = Shutdown::Draining {
            since: self.now,
            until: self.now.after(left_ms),
        };
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

    /// Refuses a new request that might not be answered whole before this instance ends.
    pub(crate) fn check_shutdown(&self, request: &Request) -> Result<(), admission::Refusal> {
        let Shutdown::Draining { since, until } = self.shutdown else {
            return Ok(());
        };
        let is_bounded = self.settings.room.shutdown != ShutdownPolicy::AtEnd;
        let is_last = until.since(self.now) <= LAST_MS;
        if !(is_bounded || is_last) || self.fit(request, since, until).is_some() {
            return Ok(());
        }
        Err(admission::Refusal {
            kind: Kind::Stopping,
            retry_after_ms: Some(RETRY_AFTER_MS),
        })
    }

    /// Records how long an answered request took. One that ended otherwise says nothing of how long an answer takes.
    pub(crate) fn record_duration(&mut self, request: &Request) {
        if let Some(first_sent_at) = request.first_sent_at {
            let millis = self.now.since(first_sent_at);
            self.durations
                .record(&request.service.name, millis, self.now);
        }
    }

    /// Counts and logs that a request was taken behind the signal, and why.
    pub(crate) fn record_late(&mut self, request: &Request) {
        let Shutdown::Draining { since, until } = self.shutdown else {
            return;
        };
        if let Some(late) = self.fit(request, since, until) {
            self.count(Counter::TakenAtStop(late.fit));
            self.log_step(request, effect::Step::TakenAtStop(late), None);
        }
    }

    /// Why a new request is expected to end before the shutdown does; `None` if it might not.
    fn fit(&self, request: &Request, since: Time, until: Time) -> Option<Late> {
        let left_ms = until.since(self.now);
        let late = |fit, expected_ms| Late {
            expected_ms,
            fit,
            left_ms,
        };
        if request.deadline <= until {
            return Some(late(Fit::Deadline, request.deadline.since(self.now)));
        }
        let is_late = self.now.since(since) > BALANCED_MS;
        let (fit, response_ms) = if request.service.streams() && request.position() > 0 {
            (Fit::Rest, self.response_ms(request))
        } else if request.service.streams() {
            // A stream that outlasts its estimate goes on elsewhere; each refusal may meet another instance that stops.
            let estimate_ms = (!is_late).then(|| self.response_ms(request));
            (Fit::Estimate, estimate_ms?)
        } else {
            let open_ms = self.open_ms(&request.service.name);
            let longest_ms = self.longest_ms(request, since, open_ms)?;
            (Fit::Durations, longest_ms + RESERVE_MS)
        };
        let expected_ms = self.shutdown_wait_ms(request) + response_ms;
        let is_in_time = self.now.after(expected_ms) <= until;
        is_in_time.then(|| late(fit, expected_ms))
    }

    /// The longest time in milliseconds since the first sending of an open request of a service; 0 if none was sent.
    fn open_ms(&self, service: &str) -> u64 {
        self.open_ages().get(service).copied().unwrap_or(0)
    }

    /// The same for all services, in one pass over the open requests.
    fn open_ages(&self) -> OpenAges<'_> {
        let mut ages = OpenAges::new();
        for request in self.requests.values() {
            let Some(first_sent_at) = request.first_sent_at else {
                continue;
            };
            let age = ages.entry(&request.service.name).or_default();
            *age = self.now.since(first_sent_at).max(*age);
        }
        ages
    }

    /// Time in milliseconds that a new call takes at most, by those of its route, of which one has been open for `open_ms`;
    /// `None` if that is not known well enough.
    fn longest_ms(&self, request: &Request, since: Time, open_ms: u64) -> Option<u64> {
        let service = &request.service;
        let is_late = self.now.since(since) > BALANCED_MS;
        // What is known is not certain, and nothing makes up for a call that ends here and may not be repeated elsewhere.
        if is_late && !service.repeatable {
            return None;
        }
        let part = if service.repeatable {
            REPEATABLE_PART
        } else {
            LONGEST_PART
        };
        let known_ms = self.durations.quantile(&service.name, part, self.now)?;
        let outlasts = open_ms > known_ms;
        let known_ms = if outlasts {
            open_ms.saturating_mul(OPEN_FACTOR)
        } else {
            known_ms
        };
        Some(known_ms.max(self.response_ms(request)))
    }

    /// Refuses the requests that wait and could not be answered whole any more before this instance ends. A begun stream is
    /// kept: its caller would have to take up the rest elsewhere in any case.
    pub(crate) fn refuse_unfinishable(&mut self) {
        if !matches!(self.shutdown, Shutdown::Draining { .. }) {
            return;
        }
        let ages = self.open_ages();
        let is_unfinishable = |request: &Request| {
            let waits = request.state == State::Queued && !failure::has_head(request);
            let open_ms = || ages.get(&*request.service.name).copied().unwrap_or(0);
            waits && !self.may_wait(request, open_ms)
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

    /// Gives up a request that is to be sent again and could not be answered whole before this instance ends; returns whether
    /// it did. A begun stream is kept, as above.
    pub(crate) fn gives_up_unfinishable(&mut self, key: request::Key) -> bool {
        let request = &self.requests[key];
        let is_draining = matches!(self.shutdown, Shutdown::Draining { .. });
        if !is_draining || failure::has_head(request) {
            return false;
        }
        if self.may_wait(request, || self.open_ms(&request.service.name)) {
            return false;
        }
        self.give_up_at_shutdown(key);
        true
    }

    fn give_up_at_shutdown(&mut self, key: request::Key) {
        let sent = if self.requests[key].service.repeatable {
            Kind::Interrupted
        } else {
            Kind::Unknown
        };
        self.give_up(key, Kind::Stopping, sent);
    }

    /// Whether a request may wait at an instance that stops; `open_ms` tells how long one of its route has been open.
    fn may_wait(&self, request: &Request, open_ms: impl FnOnce() -> u64) -> bool {
        match self.settings.room.shutdown {
            ShutdownPolicy::AtEnd => true,
            ShutdownPolicy::AtOnce => false,
            ShutdownPolicy::Unfinishable => self.finishes_in_time(request, open_ms),
        }
    }

    /// Whether a request that waits, and is sent now, is expected to be answered whole before this instance ends.
    fn finishes_in_time(&self, request: &Request, open_ms: impl FnOnce() -> u64) -> bool {
        match self.shutdown {
            Shutdown::None => true,
            Shutdown::Draining { since, until } => {
                if request.deadline <= until {
                    return true;
                }
                let may_run_once = !request.service.repeatable && !request.service.streams();
                let response_ms = if may_run_once {
                    self.longest_ms(request, since, open_ms())
                } else {
                    Some(self.response_ms(request))
                };
                response_ms.is_some_and(|response_ms| self.now.after(response_ms) <= until)
            }
            Shutdown::Ended => false,
        }
    }

    /// Expected wait of a new request during a shutdown, in milliseconds; 0 if it is likely to be sent at once, and for a
    /// stream that is taken up, which is sent before those that are queued.
    fn shutdown_wait_ms(&self, request: &Request) -> u64 {
        let is_new_stream = request.service.streams() && request.position() == 0;
        if !matches!(self.shutdown, Shutdown::Draining { .. }) || !is_new_stream {
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
