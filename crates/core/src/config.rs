//! The operators' declarations in force.

use super::*;

/// A configuration accepted by the platform's key-value service; checked before it was accepted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Customers by the digest of their key.
    pub customers: HashMap<String, Arc<Customer>>,
    /// Models by name.
    pub models: BTreeMap<String, Arc<Model>>,
    /// Revision; grows with every accepted change.
    pub revision: u64,
    /// Routes of relayed requests.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<String, Arc<Service>>,
}

impl Config {
    /// Pools of upstreams that serve something.
    pub fn pools(&self) -> BTreeSet<&str> {
        let shares = self.routes.iter().flat_map(|route| &route.shares);
        let services = shares.map(|share| &share.service);
        let services = services.chain(self.services.values());
        services.map(|service| service.pool()).collect()
    }
}

/// Someone allowed to call services.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Requests running or waiting at once over all instances, at most.
    pub max_running: u32,
    /// Unique name.
    pub name: String,
    /// Names of the services it may call; empty for all.
    pub services: Vec<String>,
    /// Share of contended capacity relative to other customers; at least 1.
    pub weight: u32,
}

/// Weights that runners serve.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Names of the adapters that may be asked for.
    pub adapters: Vec<String>,
    /// Unique name.
    pub name: String,
    /// Name of the pool of upstreams in the platform's list.
    pub pool: String,
    /// Version that upstreams must serve.
    pub version: String,
}

/// What is done when an engine is suspected.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// Start the continuation on suspicion; the first to yield the next token wins.
    Latency,
    /// Continue only when the stream is lost.
    #[default]
    Resources,
}

/// Order in which waiting work is sent; the first comes first.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Priority {
    /// A caller waits at a gate.
    Urgent,
    /// A caller waits.
    #[default]
    Normal,
    /// Nobody waits.
    Background,
}

/// Requests that are relayed as they are, by host and start of the path.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Host that callers name.
    pub host: String,
    /// Start of the path; the longest that fits counts.
    pub prefix: String,
    /// Whether callers need no key.
    pub public: bool,
    /// What serves it; at least one.
    pub shares: Vec<Share>,
}

/// A service that gets a part of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The service.
    pub service: Arc<Service>,
    /// Part of the requests, relative to the other shares' weights.
    pub weight: u32,
}

/// How requests of a service are relayed.
#[derive(Clone, Debug, PartialEq)]
pub struct Relay {
    /// Upstreams that one request may be sent to, at most.
    pub attempts_max: u32,
    /// Tokens that an upstream's memory holds; 0 if it keeps none.
    pub memory_tokens: u32,
    /// Whether upstreams copy a running stream's memory to a second one.
    pub copies: bool,
    /// Time to the first byte that callers should not notice, in milliseconds.
    pub objective_ms: u64,
    /// Name of the pool in the platform's list.
    pub pool: String,
    /// Whether another upstream can go on with an answer after any of its events.
    pub resumable: bool,
    /// Whether the answer is a series of events.
    pub streams: bool,
}

/// One use of a model, or a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Time from acceptance to the last byte, at most; milliseconds.
    pub deadline_ms: u64,
    /// Time that a request may wait for an upstream; milliseconds.
    pub max_wait_ms: u64,
    /// Unique name, which callers give.
    pub name: String,
    /// What is done when an engine is suspected.
    pub policy: Policy,
    /// Order of waiting work.
    pub priority: Priority,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// What answers it.
    pub target: Target,
}

/// What answers the requests of a service.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// A plain service of this pool.
    Call {
        /// Name of the pool in the platform's list.
        pool: String,
    },
    /// An engine with this model.
    Generate {
        /// Name of the adapter; empty for none.
        adapter: String,
        /// Model that must be loaded.
        model: Arc<Model>,
    },
    /// Requests and answers are passed on as they are.
    Relay(Relay),
}

impl Customer {
    /// Whoever calls without a key, where a route needs none.
    pub fn anonymous() -> Self {
        Self {
            max_running: u32::MAX,
            name: String::new(),
            services: Vec::new(),
            weight: 1,
        }
    }
}

impl Service {
    /// Name of the pool whose upstreams serve this.
    pub fn pool(&self) -> &str {
        match &self.target {
            Target::Call { pool } => pool,
            Target::Generate { model, .. } => &model.pool,
            Target::Relay(relay) => &relay.pool,
        }
    }

    /// How its requests are relayed, if they are.
    pub fn relay(&self) -> Option<&Relay> {
        match &self.target {
            Target::Relay(relay) => Some(relay),
            Target::Call { .. } | Target::Generate { .. } => None,
        }
    }

    /// Whether requests are relayed whose answers are series of events.
    pub fn streams(&self) -> bool {
        self.relay().is_some_and(|relay| relay.streams)
    }
}

impl Config {
    /// The route of a request: the one of this host whose prefix is the longest that fits.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.host == host && path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }
}
