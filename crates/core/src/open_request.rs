//! Requests that are open: admitted or deferred, and not yet answered.

use super::*;

/// What has become of an open request so far.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Stage {
    /// Its idempotency key is being claimed; nothing was sent.
    Claiming,
    /// It arrived before this instance had the state to serve it; nothing was sent.
    Deferred,
    /// It waits for an upstream; nothing was sent.
    Queued,
    /// Its caller has the response head, and no upstream is asked for the rest.
    Resuming,
    /// An attempt ended, no other one is in progress, and its caller has no response head.
    Retrying,
    /// An attempt is in progress, and its caller has no response head.
    Sent,
    /// An attempt is in progress, and its caller has the response head.
    Streaming,
}

impl Display for Stage {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        formatter.write_str(match self {
            Self::Claiming => "claiming",
            Self::Deferred => "deferred",
            Self::Queued => "queued",
            Self::Resuming => "resuming",
            Self::Retrying => "retrying",
            Self::Sent => "sent",
            Self::Streaming => "streaming",
        })
    }
}

/// An open request, as it is logged.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OpenRequest {
    /// Time since it arrived, in milliseconds.
    pub age_ms: u64,
    /// The caller's connection.
    pub caller: request::Caller,
    /// Position of the last event, or number of tokens, that the caller received.
    pub position: u32,
    /// What has become of it so far.
    pub stage: Stage,
}

impl Core {
    /// All open requests.
    pub fn open_requests(&self) -> impl Iterator<Item = OpenRequest> {
        let deferred = self.deferred.iter().map(|deferred| OpenRequest {
            age_ms: self.now.since(deferred.arrived_at),
            caller: deferred.submission.caller,
            position: 0,
            stage: Stage::Deferred,
        });
        let admitted = self.requests.values().map(|request| OpenRequest {
            age_ms: self.now.since(request.arrived_at),
            caller: request.caller,
            position: request.position(),
            stage: self.stage(request),
        });
        deferred.chain(admitted)
    }

    fn stage(&self, request: &Request) -> Stage {
        let is_sent = |key: &attempt::Key| self.attempts[*key].sent;
        let is_running = request.attempts.iter().any(is_sent);
        let has_head = failure::has_head(request);
        match (has_head, is_running, request.state) {
            (true, true, _) => Stage::Streaming,
            (true, false, _) => Stage::Resuming,
            (false, true, _) => Stage::Sent,
            (false, false, _) if request.first_sent_at.is_some() => Stage::Retrying,
            (false, false, State::Claiming) => Stage::Claiming,
            (false, false, State::Queued | State::Running) => Stage::Queued,
        }
    }
}
