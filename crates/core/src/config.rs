//! The operators' configuration in force.

use super::*;

/// Priority of customers and routes that state none.
pub const DEFAULT_PRIORITY: u32 = 1;

/// A configuration from the key-value store; validated before it was stored.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Config {
    /// Who may use services and routes that are not public.
    pub access: Access,
    /// Models by name.
    pub models: BTreeMap<String, Arc<Model>>,
    /// Revision; increases with every accepted change.
    pub revision: u64,
    /// Routes of relayed requests.
    pub routes: Vec<Route>,
    /// Services by name.
    pub services: BTreeMap<String, Arc<Service>>,
}

impl Config {
    /// Pools of upstreams that any service or route uses.
    pub fn pools(&self) -> BTreeSet<&str> {
        let shares = self.routes.iter().flat_map(|route| &route.shares);
        let services = shares.map(|share| &share.service);
        let services = services.chain(self.services.values());
        services.map(|service| service.pool()).collect()
    }

    /// Whether any route serves callers without a known key.
    pub(crate) fn serves_anonymous(&self) -> bool {
        self.access.is_open() || self.routes.iter().any(|route| route.public)
    }
}

/// Who may use what is not public. That nobody has a key and that no key is required are different cases.
#[derive(Clone, Debug, PartialEq)]
pub enum Access {
    /// The customers by the digest of each of their keys, and nobody else.
    Keys(HashMap<String, Arc<Customer>>),
    /// Everybody: routes require no key.
    Open,
}

impl Access {
    /// The customer with a key of this digest.
    pub fn customer(&self, digest: &str) -> Option<&Arc<Customer>> {
        match self {
            Self::Keys(customers) => customers.get(digest),
            Self::Open => None,
        }
    }

    /// Whether everybody has access.
    pub fn is_open(&self) -> bool {
        matches!(self, Self::Open)
    }

    /// The customers, once for each of their keys.
    pub fn customers(&self) -> impl Iterator<Item = &Arc<Customer>> {
        let customers = match self {
            Self::Keys(customers) => Some(customers.values()),
            Self::Open => None,
        };
        customers.into_iter().flatten()
    }

    /// The customer as whom a route serves a request, whose key may be unknown or missing; `None` if it is unauthorized.
    pub(crate) fn customer_of_route(&self, digest: &str, route: &Route) -> Option<Arc<Customer>> {
        if let Some(customer) = self.customer(digest) {
            return Some(customer.clone());
        }
        let needs_no_key = route.public || self.is_open();
        needs_no_key.then(|| Arc::new(Customer::anonymous()))
    }
}

impl Default for Access {
    /// Nobody has a key.
    fn default() -> Self {
        Self::Keys(HashMap::new())
    }
}

/// A caller that may use services.
#[derive(Clone, Debug, PartialEq)]
pub struct Customer {
    /// Maximum number of requests running or waiting over all instances.
    pub max_running: u32,
    /// Unique name.
    pub name: String,
    /// Priority of its requests, which is compared before the route's; 0 is the highest.
    pub priority: u32,
    /// The services that it may use.
    pub services: Permission,
    /// Weight in the sharing of contended capacity between customers; at least 1.
    pub weight: u32,
}

/// The services that a customer may use.
#[derive(Clone, Debug, PartialEq)]
pub enum Permission {
    /// Every service.
    All,
    /// The services with these names, which may be none.
    Only(Vec<String>),
}

impl Permission {
    /// Whether a service with this name may be used.
    pub fn includes(&self, name: &str) -> bool {
        match self {
            Self::All => true,
            Self::Only(names) => names.iter().any(|permitted| permitted == name),
        }
    }
}

/// A model that upstreams serve.
#[derive(Clone, Debug, PartialEq)]
pub struct Model {
    /// Names of the adapters that requests may select.
    pub adapters: Vec<String>,
    /// Unique name.
    pub name: String,
    /// Name of the pool in the list of upstreams.
    pub pool: String,
    /// Version that upstreams must serve.
    pub version: String,
}

/// What to do when an engine is suspected to have failed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Policy {
    /// Start the continuation on suspicion; the first attempt to yield the next token wins.
    Latency,
    /// Continue only when the stream is lost.
    #[default]
    Resources,
}

/// Priority of waiting work; earlier variants are sent first.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum Priority {
    /// A caller is held up on site, for instance at a gate.
    Urgent,
    /// A caller is waiting.
    #[default]
    Normal,
    /// Nobody is waiting.
    Background,
}

/// A rule for requests that are relayed unchanged, by host and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Host that callers name.
    pub host: String,
    /// Path prefix; the longest match applies.
    pub prefix: String,
    /// Whether callers need no key here, even if other routes require one.
    pub public: bool,
    /// Services between which the requests are split; at least one.
    pub shares: Vec<Share>,
}

/// A service that gets a part of a route's requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Share {
    /// The service.
    pub service: Arc<Service>,
    /// Weight relative to the route's other shares.
    pub weight: u32,
}

/// How requests of a service are relayed.
#[derive(Clone, Debug, PartialEq)]
pub struct Relay {
    /// Maximum number of upstreams that one request is sent to.
    pub attempts_max: u32,
    /// Capacity of an upstream's KV cache, in tokens; 0 if it has none.
    pub memory_tokens: u32,
    /// Whether upstreams replicate a running stream's KV cache to a second one.
    pub copies: bool,
    /// Objective for the longest interval between two events, in milliseconds; 0 if there is none.
    pub event_interval_objective_ms: u64,
    /// Objective for the time to the first byte, in milliseconds.
    pub objective_ms: u64,
    /// Name of the pool in the list of upstreams.
    pub pool: String,
    /// Priority of the route; 0 is the highest.
    pub priority: u32,
    /// Whether another upstream can continue a response after any of its events.
    pub resumable: bool,
    /// Whether the response is an event stream.
    pub streams: bool,
}

/// A use of a model, or a plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Maximum time from acceptance to the last byte, in milliseconds.
    pub deadline_ms: u64,
    /// Maximum time that a request waits for an upstream, in milliseconds.
    pub max_wait_ms: u64,
    /// Unique name, which callers give.
    pub name: String,
    /// What to do when an engine is suspected to have failed.
    pub policy: Policy,
    /// Priority of waiting work.
    pub priority: Priority,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// What answers the requests.
    pub target: Target,
}

/// What answers the requests of a service.
#[derive(Clone, Debug, PartialEq)]
pub enum Target {
    /// A plain service of a pool.
    Call {
        /// Name of the pool in the list of upstreams.
        pool: String,
    },
    /// An engine that serves a model.
    Generate {
        /// Name of the adapter; empty for none.
        adapter: String,
        /// Model that must be loaded.
        model: Arc<Model>,
    },
    /// Requests and responses are relayed unchanged.
    Relay(Relay),
}

impl Customer {
    /// The customer of calls without a key, for routes that require none.
    pub fn anonymous() -> Self {
        Self {
            max_running: u32::MAX,
            name: String::new(),
            priority: DEFAULT_PRIORITY,
            services: Permission::All,
            weight: 1,
        }
    }
}

impl Service {
    /// Name of the pool whose upstreams serve it.
    pub fn pool(&self) -> &str {
        match &self.target {
            Target::Call { pool } => pool,
            Target::Generate { model, .. } => &model.pool,
            Target::Relay(relay) => &relay.pool,
        }
    }

    /// Relay settings; `None` if requests are not relayed.
    pub fn relay(&self) -> Option<&Relay> {
        match &self.target {
            Target::Relay(relay) => Some(relay),
            Target::Call { .. } | Target::Generate { .. } => None,
        }
    }

    /// Whether relayed responses are event streams.
    pub fn streams(&self) -> bool {
        self.relay().is_some_and(|relay| relay.streams)
    }
}

impl Config {
    /// The route of this host whose prefix is the longest match.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        self.routes
            .iter()
            .filter(|route| route.host == host && path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }
}
