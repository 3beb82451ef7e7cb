//! Whether the parts of an instance's state agree with each other.
//!
//! For tests and diagnosis: it visits the whole state, and nothing in the product calls it.

use super::*;

impl Core {
    /// What in the state contradicts another part of it, in words; empty if nothing does. The state is to be consistent
    /// after each event.
    pub fn inconsistencies(&self) -> Vec<String> {
        let mut found = Vec::new();
        self.check_attempts(&mut found);
        self.check_requests(&mut found);
        self.check_upstreams(&mut found);
        self.check_upstream_indices(&mut found);
        self.check_pools(&mut found);
        self.check_sums(&mut found);
        found
    }

    /// The request and the upstream of each attempt exist and name it, once.
    fn check_attempts(&self, found: &mut Vec<String>) {
        for (key, attempt) in &self.attempts {
            let request = self.requests.get(attempt.request);
            let by_request = request.map(|request| count(&request.attempts, key));
            require(found, by_request == Some(1), || {
                format!("attempt {key:?}: its request names it {by_request:?} times")
            });
            let upstream = self.upstreams.get(attempt.upstream);
            let by_upstream = upstream.map(|upstream| count(&upstream.attempts, key));
            require(found, by_upstream == Some(1), || {
                format!("attempt {key:?}: its upstream names it {by_upstream:?} times")
            });
        }
    }

    /// Each request has living attempts, is the one of its caller, and is queued or waits for something that will come.
    fn check_requests(&self, found: &mut Vec<String>) {
        for (key, request) in &self.requests {
            let is_own = |attempt: &attempt::Key| {
                let attempt = self.attempts.get(*attempt);
                attempt.is_some_and(|attempt| attempt.request == key)
            };
            require(found, request.attempts.iter().all(is_own), || {
                format!("request {key:?}: an attempt is gone or another request's")
            });
            let by_caller = self.callers.get(&request.caller);
            require(found, by_caller == Some(&key), || {
                format!("request {key:?}: its caller names {by_caller:?}")
            });
            let pool = self.pools.get(request.service.pool());
            let queued = pool.map_or(0, |pool| count(&pool.queue.keys(), key));
            let expected = usize::from(request.state == State::Queued);
            require(found, queued == expected, || {
                let state = request.state;
                format!("request {key:?}: queued {queued} times in state {state:?}")
            });
            let is_idle = request.attempts.is_empty();
            require(found, is_idle || request.state != State::Queued, || {
                format!("request {key:?}: queued with attempts")
            });
            let waits = request.progress.resume_when_read.is_some()
                || self.crash_suspects.delays(key)
                || request.state != State::Running;
            require(found, !is_idle || waits, || {
                format!("request {key:?}: has no attempt and waits for nothing")
            });
        }
        require(found, self.callers.len() == self.requests.len(), || {
            let (callers, requests) = (self.callers.len(), self.requests.len());
            format!("{callers} callers of {requests} requests")
        });
    }

    /// Each upstream has living attempts, and its pool and the indices name it.
    fn check_upstreams(&self, found: &mut Vec<String>) {
        for (key, upstream) in &self.upstreams {
            let is_own = |attempt: &attempt::Key| {
                let attempt = self.attempts.get(*attempt);
                attempt.is_some_and(|attempt| attempt.upstream == key)
            };
            require(found, upstream.attempts.iter().all(is_own), || {
                format!("upstream {key:?}: an attempt is gone or at another upstream")
            });
            let pool = self.pools.get(&upstream.pool);
            let by_pool = pool.map(|pool| count(&pool.upstreams, key));
            require(found, by_pool == Some(1), || {
                format!("upstream {key:?}: its pool names it {by_pool:?} times")
            });
            let at_address = self.upstreams_by_address.get(&upstream.address);
            let by_address = at_address.map(|keys| count(keys, key));
            require(found, by_address == Some(1), || {
                format!("upstream {key:?}: its address names it {by_address:?} times")
            });
            let by_incarnation = self.upstreams_by_incarnation.get(&upstream.incarnation);
            // One that has moved to another address finishes its requests at the former one.
            let is_current = by_incarnation == Some(&key) || self.departed.contains(&key);
            require(found, is_current, || {
                format!("upstream {key:?}: its incarnation names {by_incarnation:?}")
            });
            let is_limited = upstream.limit_bucket.is_some();
            require(found, self.limited.contains(&key) == is_limited, || {
                format!("upstream {key:?}: its limit is not among the limits")
            });
        }
    }

    /// Sets and indices of upstreams hold only living ones, and those where they belong.
    fn check_upstream_indices(&self, found: &mut Vec<String>) {
        let sets = [
            ("departed", &self.departed),
            ("limited", &self.limited),
            ("suspected", &self.suspected),
        ];
        for (name, keys) in sets {
            let are_living = keys.iter().all(|key| self.upstreams.contains_key(*key));
            require(found, are_living, || format!("{name}: an upstream is gone"));
        }
        for (address, keys) in &self.upstreams_by_address {
            let is_there = |key: &upstream::Key| {
                let upstream = self.upstreams.get(*key);
                upstream.is_some_and(|upstream| upstream.address == *address)
            };
            require(found, keys.iter().all(is_there), || {
                format!("address {address}: an upstream is gone or elsewhere")
            });
        }
        for (incarnation, key) in &self.upstreams_by_incarnation {
            let upstream = self.upstreams.get(*key);
            let is_same = upstream.is_some_and(|upstream| upstream.incarnation == *incarnation);
            require(found, is_same, || {
                format!("incarnation {incarnation}: its upstream is gone or another")
            });
        }
        let names: Vec<u64> = self
            .upstreams_by_incarnation
            .keys()
            .map(|incarnation| incarnation.id)
            .collect();
        let is_repeated = names.array_windows().any(|[one, next]| one == next);
        require(found, !is_repeated, || {
            "two incarnations of one name".into()
        });
    }

    /// Pools hold only living upstreams of their own, queued requests of their own, and true counts of both.
    fn check_pools(&self, found: &mut Vec<String>) {
        for (name, pool) in &self.pools {
            let mut versions: BTreeMap<Version, usize> = BTreeMap::new();
            for key in &pool.upstreams {
                let upstream = self.upstreams.get(*key);
                let upstream = upstream.filter(|upstream| upstream.pool == *name);
                require(found, upstream.is_some(), || {
                    format!("pool {name}: upstream {key:?} is gone or another pool's")
                });
                if let Some(upstream) = upstream {
                    *versions.entry(upstream.version).or_default() += 1;
                }
            }
            require(found, versions == *pool.versions.counts(), || {
                format!("pool {name}: its counts of versions are wrong")
            });
            for key in pool.queue.keys() {
                let request = self.requests.get(key);
                let is_own = request.is_some_and(|request| request.service.pool() == &**name);
                require(found, is_own, || {
                    format!("pool {name}: request {key:?} is queued and gone or another pool's")
                });
            }
            let of_pool = |request: &&Request| request.service.pool() == &**name;
            let running = self.requests.values().filter(of_pool);
            let running = running.filter(|request| request.counts_as_running).count();
            let counted = pool.queue.running();
            require(found, running == counted, || {
                format!("pool {name}: {running} requests run and {counted} are counted")
            });
            require(found, pool.queue.has_true_lengths(), || {
                format!("pool {name}: its counts of queued requests are wrong")
            });
        }
    }

    /// Held bytes and numbers of running requests are the sums over the requests.
    fn check_sums(&self, found: &mut Vec<String>) {
        let requests = self.requests.values();
        let held: u64 = requests.map(|request| request.held_bytes).sum();
        require(found, held == self.held_bytes, || {
            format!("{held} bytes are held and {} counted", self.held_bytes)
        });
        let mut running: HashMap<String, u32> = HashMap::new();
        for request in self.requests.values() {
            *running.entry(request.customer.name.clone()).or_default() += 1;
        }
        require(found, running == self.running_by_customer, || {
            let counted = &self.running_by_customer;
            format!("by customer {running:?} run and {counted:?} are counted")
        });
        let bodies = self.requests.values().map(|request| request.work.bytes());
        let paused = |attempt: &&Attempt| attempt.reading == Reading::Paused;
        let paused = self.attempts.values().filter(paused).count() as u64;
        let wrong = self.buffers.wrong_sums(bodies.sum(), paused);
        found.extend(wrong);
    }
}

/// Number of times that a list contains a key.
fn count<K: Copy + PartialEq>(keys: &[K], key: K) -> usize {
    keys.iter().filter(|other| **other == key).count()
}

/// Adds a line unless something holds.
fn require(found: &mut Vec<String>, holds: bool, line: impl FnOnce() -> String) {
    if !holds {
        found.push(line());
    }
}
