//! Callers of a world: what they ask and what came of it, and the services they use.

use super::*;
use std::sync::Arc;
use wellplank_core::{
    clock::Time,
    config::{self, Config, Policy, Priority, Target},
    kind::Kind,
    request::Caller as Connection,
};

/// What a caller asks for.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Ask {
    /// A call that may run again.
    Call,
    /// A call that may not.
    CallOnce,
    /// A generation that may run again, policy `resources`.
    Generate,
    /// A generation that may run again, policy `latency`.
    GenerateFast,
    /// A generation that may not.
    GenerateOnce,
}

impl Ask {
    /// Every kind of request.
    pub const ALL: [Self; 5] = [
        Self::Call,
        Self::CallOnce,
        Self::Generate,
        Self::GenerateFast,
        Self::GenerateOnce,
    ];

    /// Whether it is a generation.
    pub fn generates(self) -> bool {
        !matches!(self, Self::Call | Self::CallOnce)
    }

    /// Whether faults of others can end a right request with this error.
    pub fn may_end_with(self, kind: Kind) -> bool {
        match kind {
            Kind::AlreadyClaimed | Kind::PlatformDown | Kind::Unknown => self.once(),
            Kind::CannotResume => self.generates(),
            Kind::Deadline
            | Kind::Interrupted
            | Kind::NoUpstream
            | Kind::NotReady
            | Kind::Overloaded
            | Kind::Stopping
            | Kind::TimedOut
            | Kind::UpstreamFailed => true,
            _ => false,
        }
    }

    /// Whether it may run at most once.
    pub fn once(self) -> bool {
        matches!(self, Self::CallOnce | Self::GenerateOnce)
    }

    /// Name of its service.
    pub fn service(self) -> &'static str {
        match self {
            Self::Call => "availability",
            Self::CallOnce => "reservation",
            Self::Generate => "notebook-summary",
            Self::GenerateFast => "cutting-plan",
            Self::GenerateOnce => "catalogue-draft",
        }
    }
}

/// How a request ended for its caller.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum End {
    /// With an error.
    Failed(Kind),
    /// Whole.
    Whole,
}

/// A step in the life of a request, as seen from outside.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Step {
    /// Its key is being claimed.
    Claiming,
    /// A continuation was sent, and has not yielded.
    Continuing,
    /// It was answered.
    Ended,
    /// It was sent, and has not yielded.
    Sent,
    /// It streams.
    Streaming,
    /// It was handed in.
    Submitted,
}

/// Someone who asks, and what came of it.
pub struct Asker {
    /// What is asked.
    pub ask: Ask,
    /// Whether it comes back with its tokens, or with the cursor alone.
    pub brings_tokens: bool,
    /// Where its connection goes.
    pub instance: usize,
    /// How it ended; the last answer counts.
    pub end: Option<End>,
    /// Longest time between two tokens, in milliseconds.
    pub stall_ms: u64,
    /// Tokens received.
    pub tokens: Vec<u32>,
    /// Times that it came back.
    pub returns: u32,
    /// Its connection, while it has one.
    pub(crate) connection: Option<Connection>,
    /// Upstream that it was sent to last.
    pub sent_to: Option<usize>,
    /// Cursor of the last tokens.
    pub(crate) cursor: Option<Vec<u8>>,
    /// When it last heard something.
    pub(crate) heard: Time,
    /// Its idempotency key.
    pub(crate) key: u128,
    /// What it sends; unique in its world.
    pub(crate) payload: Value,
    /// Steps that its requests reached.
    pub(crate) steps: Vec<Step>,
}

/// The configuration of every world: one service for each kind of request.
pub(crate) fn configuration() -> Config {
    let model = Arc::new(config::Model {
        adapters: Vec::new(),
        name: "llm".into(),
        pool: "runner".into(),
        version: "1".into(),
    });
    let service = |ask: Ask| {
        let target = if ask.generates() {
            Target::Generate {
                adapter: String::new(),
                model: model.clone(),
            }
        } else {
            Target::Call {
                pool: "yard".into(),
            }
        };
        let policy = if ask == Ask::GenerateFast {
            Policy::Latency
        } else {
            Policy::Resources
        };
        let service = config::Service {
            deadline_ms: 60_000,
            max_wait_ms: 10_000,
            name: ask.service().into(),
            policy,
            priority: Priority::Normal,
            repeatable: !ask.once(),
            target,
        };
        (service.name.clone(), Arc::new(service))
    };
    let customer = config::Customer {
        max_running: 10_000,
        name: "customer".into(),
        priority: config::DEFAULT_PRIORITY,
        services: config::Permission::All,
        weight: 1,
    };
    Config {
        access: config::Access::Keys([("customer".into(), Arc::new(customer))].into()),
        models: BTreeMap::from([("llm".into(), model.clone())]),
        revision: 1,
        routes: Vec::new(),
        services: Ask::ALL.into_iter().map(service).collect(),
    }
}
