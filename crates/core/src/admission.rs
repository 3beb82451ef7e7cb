//! Admission: whether a request is accepted, and what it is told if not.

use super::*;

/// Bounds of the time after which a refused caller is asked to come back; milliseconds.
const RETRY_AFTER: std::ops::RangeInclusive<u64> = 200..=60_000;

/// The part of a caller's patience after which it is asked to come back to instances that have no
/// configuration; less than the third up to which callers follow.
const NOT_READY_PART: u64 = 8;

/// Part of the longest wait that a request is accepted with; an estimate that is wrong by less than
/// the rest leads to no late refusal.
const WAIT_MARGIN: f64 = 0.5;

/// A refusal before anything was sent.
pub(crate) struct Refusal {
    /// Why.
    pub kind: Kind,
    /// When to come back.
    pub retry_after_ms: Option<u64>,
}

impl From<Kind> for Refusal {
    fn from(kind: Kind) -> Self {
        Self {
            kind,
            retry_after_ms: None,
        }
    }
}

/// Customer and service of a request that names a declared service.
fn declared(
    config: &Config,
    submission: &event::Submission,
) -> Result<(Arc<config::Customer>, Arc<config::Service>), Kind> {
    let customer = config.customers.get(&submission.customer);
    let customer = customer.ok_or(Kind::Unauthorized)?;
    let service = config.services.get(&submission.service);
    let service = service.ok_or(Kind::UnknownService)?;
    Ok((customer.clone(), service.clone()))
}

/// The refusal of an instance that has no configuration yet. Without the platform's store none is to
/// be had, so a caller who waits long is asked to come back late.
fn not_ready(submission: &event::Submission) -> Refusal {
    let patience = submission.work.relay().and_then(|relay| relay.patience_ms);
    let wait = patience.map_or(0, |patience| patience / NOT_READY_PART);
    Refusal {
        kind: Kind::NotReady,
        retry_after_ms: Some(wait.clamp(*RETRY_AFTER.start(), *RETRY_AFTER.end())),
    }
}

impl Core {
    pub(crate) fn submit(&mut self, submission: event::Submission) {
        if !self.knows_enough(&submission)
            && let Some(until) = self.early_until(&submission)
        {
            self.early.push(Early {
                came: self.now,
                submission,
                until,
            });
            return;
        }
        self.submit_now(submission);
    }

    /// Whether this instance can serve a request: it has a configuration and a list of upstreams and, for a stream that its caller has
    /// a part of, the streams that were kept before its start.
    fn knows_enough(&self, submission: &event::Submission) -> bool {
        let goes_on = |relay: &request::Relay| relay.position > 0;
        let goes_on = submission.work.relay().is_some_and(goes_on);
        self.config.is_some() && self.listed.is_some() && (self.recalled || !goes_on)
    }

    /// All streams that were kept before the start are known.
    pub(crate) fn recalled(&mut self) {
        self.recalled = true;
        self.submit_early();
    }

    /// Takes what waited and can be served now, and what has waited long enough.
    pub(crate) fn submit_early(&mut self) {
        for early in std::mem::take(&mut self.early) {
            if self.now < early.until && !self.knows_enough(&early.submission) {
                self.early.push(early);
            } else {
                self.submit_waited(early);
            }
        }
    }

    /// Takes or refuses a request that has waited; its caller has less time left than it said.
    fn submit_waited(&mut self, early: Early) {
        let mut submission = early.submission;
        let waited = self.now.since(early.came);
        if let Work::Relay(relay) = &mut submission.work {
            let patience = relay.patience_ms.as_mut();
            if let Some(patience) = patience {
                *patience = patience.saturating_sub(waited);
            }
        }
        self.submit_now(submission);
    }

    /// Until when a request may wait for what this instance does not know yet: a part of its caller's patience,
    /// as far as there is memory for it. The store may be back before.
    fn early_until(&self, submission: &event::Submission) -> Option<Time> {
        let patience = submission.work.relay()?.patience_ms?;
        let wait = (patience as f64 * self.settings.room.early) as u64;
        let bytes = |early: &Early| early.submission.work.bytes();
        let held: u64 = self.early.iter().map(bytes).sum();
        let room = held + submission.work.bytes() <= self.settings.held_bytes_max;
        (wait > 0 && room).then(|| self.now.after(wait))
    }

    fn submit_now(&mut self, submission: event::Submission) {
        let caller = submission.caller;
        if self.callers.contains_key(&caller) {
            return;
        }
        match self.admit(submission) {
            Err(refusal) => self.refuse(caller, refusal.kind, refusal.retry_after_ms),
            Ok(key) => self.enqueue(key),
        }
    }

    /// Gives the final answer to a caller whose request is not held.
    pub(crate) fn refuse(
        &mut self,
        caller: request::Caller,
        kind: Kind,
        retry_after_ms: Option<u64>,
    ) {
        self.count(Counter::Refused(kind));
        self.effects.push(Effect::Fail {
            caller,
            kind,
            retry_after_ms,
        });
    }

    /// When a caller refused for want of room in a pool is asked to come back.
    pub(crate) fn retry_after(
        &mut self,
        pool: &str,
        priority: Priority,
        customer: &config::Customer,
    ) -> u64 {
        let wait = self.expected_wait(pool, priority, customer);
        let jitter = self.rng.random_range(0.8..1.2);
        let wait = (wait as f64 * jitter) as u64;
        wait.clamp(*RETRY_AFTER.start(), *RETRY_AFTER.end())
    }

    fn admit(&mut self, submission: event::Submission) -> Result<request::Key, Refusal> {
        let config = self.config.clone().ok_or_else(|| not_ready(&submission))?;
        let (customer, service) = match submission.work.relay() {
            Some(relay) => self.relayed(&config, &submission.customer, relay)?,
            None => declared(&config, &submission)?,
        };
        if !customer.services.is_empty() && !customer.services.contains(&service.name) {
            return Err(Kind::Unauthorized.into());
        }
        let print = Print::new(&customer.name, submission.fingerprint);
        if self.is_guilty(print) {
            return Err(Kind::Quarantined.into());
        }
        self.check_work(&submission, &service)?;
        self.check_room(&customer, &service, &submission)?;
        let mut request = self.request(submission, customer, service, print)?;
        self.note_size(&request);
        let checked = self.check_open(&request);
        let checked = checked.and_then(|()| self.check_feasible(&request));
        if let Err(refusal) = checked.and_then(|()| self.check_demand(&request)) {
            self.count_refused(&request);
            return Err(refusal);
        }
        request.held = request.work.bytes() + 4 * u64::from(request.work.max_tokens());
        self.held += request.held;
        self.count(Counter::Admitted);
        let pool = self.pools.entry(request.service.pool().into()).or_default();
        pool.retries.earn(self.settings.retry_earn);
        self.hedges.earn(self.settings.hedge_earn);
        *self
            .running
            .entry(request.customer.name.clone())
            .or_default() += 1;
        let caller = request.caller;
        let key = self.requests.insert(request);
        self.callers.insert(caller, key);
        Ok(key)
    }

    /// Counts a refusal of a caller who was refused before.
    pub(crate) fn count_refused(&mut self, request: &Request) {
        if request.waited_ms >= demand::RETRY_MARGIN_MS {
            self.count(Counter::RefusedAgain);
        }
    }

    /// Notes how long a request is.
    fn note_size(&mut self, request: &Request) {
        let tokens = request.work.relay().map_or(0, |relay| relay.tokens);
        let pool = self.pools.entry(request.service.pool().into()).or_default();
        if tokens > 0 {
            pool.tokens.add(f64::from(tokens));
        }
    }

    fn check_room(
        &mut self,
        customer: &config::Customer,
        service: &config::Service,
        submission: &event::Submission,
    ) -> Result<(), Refusal> {
        if submission.work.relay().is_some() {
            return self.check_held(submission.work.bytes());
        }
        let resumed = submission.cursor.is_some();
        let running = self.running.get(&customer.name).copied().unwrap_or(0);
        if running >= customer.max_running.div_ceil(self.instances.max(1)) {
            let pool = self.pools.entry(service.pool().into()).or_default();
            let wait = pool.duration as u64 / u64::from(running.max(1));
            return Err(Refusal {
                kind: Kind::CustomerLimit,
                retry_after_ms: Some(wait.clamp(*RETRY_AFTER.start(), *RETRY_AFTER.end())),
            });
        }
        if !self.reachable(service.pool()) {
            return Err(Refusal {
                kind: Kind::NoUpstream,
                retry_after_ms: Some(self.settings.probe_ms),
            });
        }
        let queued = self
            .pools
            .get(service.pool())
            .map_or(0, |pool| pool.queue.len());
        let bytes = submission.work.bytes() + 4 * u64::from(submission.work.max_tokens());
        let full = self.held + bytes > self.settings.held_bytes_max;
        let wait = self.expected_wait(service.pool(), service.priority, customer);
        let late = !resumed && wait as f64 > WAIT_MARGIN * service.max_wait_ms as f64;
        if full || late || queued >= self.settings.queue_max {
            return Err(Refusal {
                kind: Kind::Overloaded,
                retry_after_ms: Some(self.retry_after(service.pool(), service.priority, customer)),
            });
        }
        Ok(())
    }

    /// Whether there is memory for a relayed request. It waits for an upstream rather than be
    /// refused while one may be free.
    fn check_held(&self, bytes: u64) -> Result<(), Refusal> {
        if self.held + bytes <= self.settings.held_bytes_max {
            return Ok(());
        }
        Err(Refusal {
            kind: Kind::Overloaded,
            retry_after_ms: Some(*RETRY_AFTER.start()),
        })
    }

    fn check_work(
        &self,
        submission: &event::Submission,
        service: &config::Service,
    ) -> Result<(), Kind> {
        match (&submission.work, &service.target) {
            (Work::Call { .. }, config::Target::Call { .. })
            | (Work::Relay(_), config::Target::Relay(_)) => Ok(()),
            (Work::Generate { max_tokens, .. }, config::Target::Generate { .. }) => {
                match *max_tokens {
                    0 => Err(Kind::BadBody),
                    tokens if tokens > self.settings.tokens_max => Err(Kind::TooLarge),
                    _ => Ok(()),
                }
            }
            _ => Err(Kind::UnknownService),
        }
    }

    /// Customer and service of a relayed request, by its route.
    fn relayed(
        &mut self,
        config: &Config,
        customer: &str,
        relay: &request::Relay,
    ) -> Result<(Arc<config::Customer>, Arc<config::Service>), Kind> {
        let route = config
            .route(&relay.host, &relay.path)
            .ok_or(Kind::UnknownService)?;
        let customer = match config.customers.get(customer) {
            Some(customer) => customer.clone(),
            None if route.public => Arc::new(config::Customer::anyone()),
            None => return Err(Kind::Unauthorized),
        };
        let total: u32 = route.shares.iter().map(|share| share.weight).sum();
        let mut point = self.rng.random_range(0..total.max(1));
        let share = route.shares.iter().find(|share| {
            let hit = point < share.weight;
            point = point.saturating_sub(share.weight);
            hit
        });
        let share = share.or(route.shares.first()).ok_or(Kind::UnknownService)?;
        Ok((customer, share.service.clone()))
    }

    /// Expected time until a new request would be sent, in milliseconds: by the rate at which its
    /// priority was served lately, else by the time that requests take and the slots there are.
    fn expected_wait(&self, pool: &str, priority: Priority, customer: &config::Customer) -> u64 {
        let Some(pool) = self.pools.get(pool) else {
            return 0;
        };
        let ahead = pool.queue.ahead_of(priority);
        if ahead == 0 {
            return 0;
        }
        if let Some(wait) = pool.queue.expected_wait(priority, customer, self.now) {
            return wait;
        }
        let slots: u32 = pool
            .upstreams
            .iter()
            .filter_map(|key| self.upstreams.get(*key))
            .filter(|upstream| upstream.takes_work(self.now))
            .map(Upstream::slots)
            .sum();
        let share = f64::from(slots.max(1)) / f64::from(self.instances.max(1));
        (ahead as f64 * pool.duration / share.max(1.0)) as u64
    }

    /// Whether a pool has an upstream that is neither given up on nor leaving.
    pub(crate) fn reachable(&self, pool: &str) -> bool {
        self.pools.get(pool).is_some_and(|pool| {
            pool.upstreams
                .iter()
                .filter_map(|key| self.upstreams.get(*key))
                .any(|upstream| upstream.health != Health::Lost && !upstream.leaves(self.now))
        })
    }

    /// For how long a caller has waited before it asked, by its patience and others', in milliseconds.
    fn waited_ms(&mut self, service: &config::Service, patience_ms: Option<u64>) -> u64 {
        let Some(patience) = patience_ms else {
            return 0;
        };
        let longest = self.patiences.entry(service.name.clone()).or_default();
        longest.note(patience, self.now)
    }

    fn request(
        &mut self,
        submission: event::Submission,
        customer: Arc<config::Customer>,
        service: Arc<config::Service>,
        print: Print,
    ) -> Result<Request, Kind> {
        let cursor = match &submission.cursor {
            None => None,
            Some(bytes) => Some(
                Cursor::decode(bytes, &self.secret)
                    .filter(|cursor| cursor.request == submission.fingerprint)
                    .ok_or(Kind::BadCursor)?,
            ),
        };
        let relay = submission.work.relay();
        let patience_ms = relay.and_then(|relay| relay.patience_ms);
        let deadline_ms = service.deadline_ms.min(patience_ms.unwrap_or(u64::MAX));
        let waited_ms = self.waited_ms(&service, patience_ms);
        let objective = service.relay().map_or(u64::MAX, |relay| relay.objective_ms);
        let wanted_by = self.now.after(objective).0.saturating_sub(waited_ms);
        let passage = relay.map_or_else(request::Passage::default, |relay| self.passage(relay));
        let claim = if cursor.is_none() && !service.repeatable && relay.is_none() {
            let key = submission.key.ok_or(Kind::KeyRequired)?;
            let nonce = self.rng.random();
            let claim = Claim::new(
                key,
                &customer.name,
                submission.fingerprint,
                nonce,
                self.now,
                &self.settings,
            );
            Some(claim.ok_or(Kind::BadKey)?)
        } else {
            None
        };
        let received = submission.received.unwrap_or_default();
        let digest = Digest::of(&received);
        if let Some(cursor) = &cursor
            && !received.is_empty()
            && (received.len() != cursor.position as usize || digest != cursor.digest)
        {
            return Err(Kind::BadCursor);
        }
        Ok(Request {
            asked: self.now,
            attach: cursor,
            attempts: Vec::new(),
            avoid: None,
            caller: submission.caller,
            claim,
            claim_asked: self.now,
            counted: false,
            customer,
            deadline: self.now.after(deadline_ms),
            delivered: received,
            digest,
            fingerprint: submission.fingerprint,
            following: false,
            generation: cursor.map_or(submission.generation, |cursor| cursor.generation),
            held: 0,
            may_have_run: cursor.is_some(),
            number: cursor.map_or(0, |cursor| cursor.attempt),
            passage,
            print,
            send_by: self.now.after(service.max_wait_ms),
            sent: None,
            service,
            waited_ms,
            wanted_by: Time(wanted_by),
            skip: cursor.map_or(0, |cursor| cursor.position),
            skip_digest: cursor.map_or_else(Digest::default, |cursor| cursor.digest),
            state: State::Queued,
            work: submission.work,
        })
    }
}
