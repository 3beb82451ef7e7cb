//! Routes that streams took before the configuration changed.
//!
//! A stream that comes back may have begun at a service that its route does not name any more. Where it began is known by its
//! record; without one, the services that its route names and named while callers wait are all that may have begun it.

use super::*;

/// Maximum number of former states of the routes; beyond it the oldest is forgotten.
const MAX_STATES: usize = 64;

/// A route of streams.
#[derive(Clone, Debug, Eq, PartialEq)]
struct Former {
    host: String,
    pools: BTreeSet<Arc<str>>,
    prefix: String,
}

/// Former states of the routes of streams, with the times at which they were replaced, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct FormerRoutes {
    states: VecDeque<(Time, Vec<Former>)>,
}

/// The routes of a configuration that streams take.
fn streaming(config: &Config) -> Vec<Former> {
    let former = |route: &config::Route| {
        let shares = route.shares.iter().filter(|share| share.service.streams());
        Former {
            host: route.host.clone(),
            pools: shares.map(|share| share.service.pool().into()).collect(),
            prefix: route.prefix.clone(),
        }
    };
    let routes = config.routes.iter().map(former);
    routes.filter(|route| !route.pools.is_empty()).collect()
}

impl FormerRoutes {
    /// Remembers the routes of a configuration that another one replaces.
    pub fn replace(&mut self, before: &Config, after: &Config, now: Time) {
        let is_over = |(at, _): &mut (Time, _)| now.since(*at) >= origin::RETENTION_MS;
        while self.states.pop_front_if(is_over).is_some() {}
        let routes = streaming(before);
        if routes == streaming(after) {
            return;
        }
        if self.states.len() >= MAX_STATES {
            self.states.pop_front();
        }
        self.states.push_back((now, routes));
    }

    /// Pools to which streams at a path may have gone by former routes.
    fn pools(&self, host: &str, path: &str, now: Time) -> impl Iterator<Item = &str> {
        let is_recent = move |(at, _): &&(Time, _)| now.since(*at) < origin::RETENTION_MS;
        let routes = self.states.iter().filter(is_recent);
        let routes = routes.flat_map(|(_, routes)| routes);
        let matching =
            routes.filter(move |route| route.host == host && path.starts_with(&route.prefix));
        matching.flat_map(|route| &route.pools).map(|pool| &**pool)
    }
}

impl Core {
    /// The pool that must have begun a stream at a path of which nothing is known; `None` if it may be one of several.
    pub(crate) fn only_pool(&self, host: &str, path: &str) -> Option<&str> {
        let route = self.config.as_ref()?.route(host, path)?;
        let pools = route.shares.iter().map(|share| share.service.pool());
        let former = self.former_routes.pools(host, path, self.now);
        let pools: BTreeSet<&str> = pools.chain(former).collect();
        let mut pools = pools.into_iter();
        pools.next().filter(|_| pools.next().is_none())
    }
}
