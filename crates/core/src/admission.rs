//! Admission control: whether a request is accepted, and when a rejected caller should retry.

use super::*;

/// Bounds of the retry-after time of a refused request, in milliseconds.
const RETRY_AFTER_MS: std::ops::RangeInclusive<u64> = 200..=60_000;

/// Divisor of the caller's timeout that gives the retry-after time of an instance without
/// configuration. Callers honour a retry-after time of up to a third of their timeout.
const NOT_READY_DIVISOR: u64 = 8;

/// Fraction of a service's maximum wait up to which the expected wait admits a request; the
/// remainder absorbs estimation errors, which would otherwise lead to late refusals.
const MAX_WAIT_FRACTION: f64 = 0.5;

/// Retry delay for new streams of a customer whose callers do not read, in milliseconds: callers that have stopped reading
/// for some ticks mostly stay so for seconds.
const UNREAD_RETRY_MS: u64 = 1_000;

/// Refusal of a request before anything was sent upstream.
pub(crate) struct Refusal {
    /// Kind of error.
    pub kind: Kind,
    /// Time to wait before retrying; `None` if a retry does not help.
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
fn declared_service(
    config: &Config,
    submission: &event::Submission,
) -> Result<(Arc<config::Customer>, Arc<config::Service>), Kind> {
    let customer = config.access.customer(&submission.customer);
    let customer = customer.ok_or(Kind::Unauthorized)?;
    let service = config.services.get(&submission.service);
    let service = service.ok_or(Kind::UnknownService)?;
    Ok((customer.clone(), service.clone()))
}

/// Refusal by an instance that has no configuration yet. It gets none while the platform's store is
/// unavailable, so callers with long timeouts are asked to retry late.
fn not_ready(submission: &event::Submission) -> Refusal {
    let timeout_ms = submission.work.relay().and_then(|relay| relay.timeout_ms);
    let wait = timeout_ms.map_or(0, |timeout_ms| timeout_ms / NOT_READY_DIVISOR);
    Refusal {
        kind: Kind::NotReady,
        retry_after_ms: Some(wait.clamp(*RETRY_AFTER_MS.start(), *RETRY_AFTER_MS.end())),
    }
}

impl Core {
    /// Admits or refuses a request; defers it while this instance lacks the state to serve it.
    pub(crate) fn submit(&mut self, submission: event::Submission) {
        if self.has_shut_down() {
            self.refuse_at_shutdown(submission.caller);
            return;
        }
        let names_read = self.next_names_read();
        let is_looked_up = self.look_up_stream(&submission, names_read);
        if self.needs_names(&submission, names_read) {
            self.read_names(names_read);
        }
        if !self.is_ready_for(&submission, names_read)
            && let Some(until) = self.defer_until(&submission)
        {
            self.deferred.push(DeferredRequest {
                arrived_at: self.now,
                is_looked_up,
                names_read,
                submission,
                until,
            });
            return;
        }
        self.admit_or_refuse(submission, names_read);
    }

    /// Whether this instance has the state to serve a request: a configuration, a list of upstreams
    /// and, to resume a stream, all streams that were stored before its start and the stream's record, or the names of versions
    /// by the read with this number.
    fn is_ready_for(&self, submission: &event::Submission, names_read: u64) -> bool {
        let resumes = |relay: &request::Relay| relay.position > 0;
        let resumes = submission.work.relay().is_some_and(resumes);
        let is_resumable = !resumes || (self.streams_restored && !self.awaits_lookup(submission));
        let awaits_names =
            !self.has_read_names(names_read) && self.needs_names(submission, names_read);
        self.has_read_state() && is_resumable && !awaits_names
    }

    /// Whether this instance has a configuration and a list of upstreams.
    pub(crate) fn has_read_state(&self) -> bool {
        self.config.is_some() && self.list_read_at.is_some()
    }

    /// Handles the end of the reports on streams that were stored before the start.
    pub(crate) fn handle_streams_restored(&mut self) {
        self.streams_restored = true;
        self.submit_deferred();
    }

    /// Submits the deferred requests that can be served now and those whose deferral expired.
    pub(crate) fn submit_deferred(&mut self) {
        for mut deferred in std::mem::take(&mut self.deferred) {
            // Which versions there may be is known only with all that was stored.
            if !deferred.is_looked_up && self.streams_restored {
                deferred.is_looked_up =
                    self.look_up_stream(&deferred.submission, deferred.names_read);
            }
            if self.needs_names(&deferred.submission, deferred.names_read) {
                self.read_names(deferred.names_read);
            }
            let is_ready = self.is_ready_for(&deferred.submission, deferred.names_read);
            if self.now < deferred.until && !is_ready {
                self.deferred.push(deferred);
            } else {
                self.submit_after_wait(deferred);
            }
        }
    }

    /// Submits a deferred request with the caller's timeout reduced by the time it has waited.
    fn submit_after_wait(&mut self, deferred: DeferredRequest) {
        let mut submission = deferred.submission;
        let waited = self.now.since(deferred.arrived_at);
        if let Work::Relay(relay) = &mut submission.work {
            let timeout_ms = relay.timeout_ms.as_mut();
            if let Some(timeout_ms) = timeout_ms {
                *timeout_ms = timeout_ms.saturating_sub(waited);
            }
        }
        self.admit_or_refuse(submission, deferred.names_read);
    }

    /// Time until which a request may be deferred: a fraction of its caller's timeout, in which the
    /// store may become available. `None` if the caller has no timeout or the memory limit is
    /// reached.
    fn defer_until(&self, submission: &event::Submission) -> Option<Time> {
        let timeout_ms = submission.work.relay()?.timeout_ms?;
        let wait = (timeout_ms as f64 * self.settings.room.early) as u64;
        let bytes = |deferred: &DeferredRequest| deferred.submission.work.bytes();
        let held: u64 = self.deferred.iter().map(bytes).sum();
        let fits = held + submission.work.bytes() <= self.settings.held_bytes_max;
        (wait > 0 && fits).then(|| self.now.after(wait))
    }

    fn admit_or_refuse(&mut self, submission: event::Submission, names_read: u64) {
        let caller = submission.caller;
        if self.callers.contains_key(&caller) {
            return;
        }
        match self.admit(submission, names_read) {
            Err(refusal) => self.refuse(caller, refusal.kind, refusal.retry_after_ms),
            Ok(key) => self.enqueue(key),
        }
    }

    /// Answers a caller with an error; its request is not, or no longer, part of the state.
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

    /// Retry-after time for a caller refused because a pool is at capacity, in milliseconds.
    pub(crate) fn queue_retry_after_ms(
        &mut self,
        pool: &str,
        priority: Priority,
        customer: &config::Customer,
    ) -> u64 {
        let wait = self.expected_wait(pool, priority, customer);
        let jitter = self.rng.random_range(0.8..1.2);
        let wait = (wait as f64 * jitter) as u64;
        wait.clamp(*RETRY_AFTER_MS.start(), *RETRY_AFTER_MS.end())
    }

    fn admit(
        &mut self,
        submission: event::Submission,
        names_read: u64,
    ) -> Result<request::Key, Refusal> {
        let config = self.config.clone().ok_or_else(|| not_ready(&submission))?;
        let (customer, service) = match submission.work.relay() {
            Some(relay) => self.route_relayed(&config, &submission.customer, relay)?,
            None => declared_service(&config, &submission)?,
        };
        if !customer.services.includes(&service.name) {
            return Err(Kind::Unauthorized.into());
        }
        self.record_received(service.pool());
        let request_fingerprint = RequestFingerprint::new(&customer.name, submission.fingerprint);
        if self.is_quarantined(request_fingerprint) {
            return Err(Kind::Quarantined.into());
        }
        self.check_operation(&submission, &service)?;
        self.check_capacity(&customer, &service, &submission)?;
        let progress = submission
            .work
            .relay()
            .map(|relay| self.initial_progress(relay, service.pool(), names_read));
        let mut request = self.build_request(submission, customer, service, request_fingerprint)?;
        request.progress = progress.unwrap_or_default();
        self.record_taken_up(&request);
        self.record_size(&request);
        self.raise_starved(&mut request);
        let checked = self.check_origin(&request);
        let checked = checked.and_then(|()| self.check_availability(&request));
        let checked = checked.and_then(|()| self.check_feasible(&request));
        let checked = checked.and_then(|()| self.check_shutdown(&request));
        if let Err(refusal) = checked.and_then(|()| self.check_demand(&request)) {
            self.count_refused(&request);
            return Err(refusal);
        }
        self.record_late(&request);
        request.held_bytes = request.work.bytes() + 4 * u64::from(request.work.max_tokens());
        self.held_bytes += request.held_bytes;
        self.buffers
            .add_request(&request.customer.name, request.work.bytes());
        self.count(Counter::Admitted);
        if let Some(rank) = self.rank_of(&request.customer, &request.service) {
            self.count(Counter::RankAdmitted(rank));
        }
        let pool = self.pools.entry(request.service.pool().into()).or_default();
        pool.retry_budget.earn(self.settings.retry_earn);
        self.hedge_budget.earn(self.settings.hedge_earn);
        *self
            .running_by_customer
            .entry(request.customer.name.clone())
            .or_default() += 1;
        let caller = request.caller;
        let key = self.requests.insert(request);
        self.callers.insert(caller, key);
        Ok(key)
    }

    /// Counts the refusal of a request by rank, and of a caller that was refused before.
    pub(crate) fn count_refused(&mut self, request: &Request) {
        if let Some(rank) = self.rank_of(&request.customer, &request.service) {
            self.count(Counter::RankRefused(rank));
        }
        if request.waited_ms >= demand::RETRY_MARGIN_MS {
            self.count(Counter::RefusedAgain);
        }
    }

    /// Counts and logs why a stream that its caller takes up may go on, or may not.
    fn record_taken_up(&mut self, request: &Request) {
        if let Some(basis) = request.progress.basis {
            self.count(Counter::TakenUp(basis));
            self.log_step(request, effect::Step::TakenUp(basis), None);
        }
    }

    /// Adds a request to the mean request size of its pool.
    fn record_size(&mut self, request: &Request) {
        let tokens = request.work.relay().map_or(0, |relay| relay.tokens);
        let pool = self.pools.entry(request.service.pool().into()).or_default();
        if tokens > 0 {
            pool.tokens.add(f64::from(tokens));
        }
    }

    fn check_capacity(
        &mut self,
        customer: &config::Customer,
        service: &config::Service,
        submission: &event::Submission,
    ) -> Result<(), Refusal> {
        if let Some(relay) = submission.work.relay() {
            self.check_unread(customer, service, relay)?;
            if self.is_isolated() {
                return Err(Refusal {
                    kind: Kind::NoUpstream,
                    retry_after_ms: Some(self.settings.probe_ms),
                });
            }
            return self.check_memory(relay.bytes);
        }
        let resumed = submission.cursor.is_some();
        let running = self
            .running_by_customer
            .get(&customer.name)
            .copied()
            .unwrap_or(0);
        if running >= customer.max_running.div_ceil(self.instances.max(1)) {
            let pool = self.pools.entry(service.pool().into()).or_default();
            let wait = pool.mean_duration_ms as u64 / u64::from(running.max(1));
            return Err(Refusal {
                kind: Kind::CustomerLimit,
                retry_after_ms: Some(wait.clamp(*RETRY_AFTER_MS.start(), *RETRY_AFTER_MS.end())),
            });
        }
        if !self.is_reachable(service.pool()) {
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
        let is_full = self.held_bytes + bytes > self.settings.held_bytes_max;
        let wait = self.expected_wait(service.pool(), service.priority, customer);
        let is_late = !resumed && wait as f64 > MAX_WAIT_FRACTION * service.max_wait_ms as f64;
        if is_full || is_late || queued >= self.settings.queue_max {
            return Err(Refusal {
                kind: Kind::Overloaded,
                retry_after_ms: Some(self.queue_retry_after_ms(
                    service.pool(),
                    service.priority,
                    customer,
                )),
            });
        }
        Ok(())
    }

    /// Refuses new streams of a customer whose callers do not read. One that resumes is admitted, since its events before
    /// the break were read.
    fn check_unread(
        &self,
        customer: &config::Customer,
        service: &config::Service,
        relay: &request::Relay,
    ) -> Result<(), Refusal> {
        let is_new_stream = service.streams() && relay.position == 0;
        let is_full = || {
            self.buffers
                .is_customer_full(&customer.name, &self.settings.unread)
        };
        if is_new_stream && is_full() {
            return Err(Refusal {
                kind: Kind::Overloaded,
                retry_after_ms: Some(UNREAD_RETRY_MS),
            });
        }
        Ok(())
    }

    /// Checks the memory limit for a relayed request. Other limits do not apply: the request is
    /// queued rather than refused, since an upstream may become free.
    fn check_memory(&self, bytes: u64) -> Result<(), Refusal> {
        let held = self.held_bytes + self.buffers.total().answers;
        if held + bytes <= self.settings.held_bytes_max {
            return Ok(());
        }
        Err(Refusal {
            kind: Kind::Overloaded,
            retry_after_ms: Some(*RETRY_AFTER_MS.start()),
        })
    }

    fn check_operation(
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

    /// Customer and service of a relayed request, chosen by its route; shares of a route are drawn
    /// by weight.
    fn route_relayed(
        &mut self,
        config: &Config,
        customer: &str,
        relay: &request::Relay,
    ) -> Result<(Arc<config::Customer>, Arc<config::Service>), Kind> {
        let route = config
            .route(&relay.host, &relay.path)
            .ok_or(Kind::UnknownService)?;
        let customer = config.access.customer_of_route(customer, route);
        let customer = customer.ok_or(Kind::Unauthorized)?;
        let origin = self.share_of_origin(route, relay);
        let share = origin.or_else(|| self.draw_share(route));
        let share = share.ok_or(Kind::UnknownService)?;
        Ok((customer, share.service.clone()))
    }

    /// The share of a route whose service began the stream that a request takes up, if that is known.
    fn share_of_origin<'a>(
        &self,
        route: &'a config::Route,
        relay: &request::Relay,
    ) -> Option<&'a config::Share> {
        let version = self.version_of(&self.taken_up(relay))?;
        let mut shares = route.shares.iter();
        shares.find(|share| {
            let pool = self.pools.get(share.service.pool());
            pool.is_some_and(|pool| pool.versions.recent(self.now).any(|one| one == version))
        })
    }

    /// Draws a share of a route by weight; `None` if none has any weight.
    fn draw_share<'a>(&mut self, route: &'a config::Route) -> Option<&'a config::Share> {
        let weights = route.shares.iter().map(|share| u64::from(share.weight));
        let total: u64 = weights.sum();
        let mut point = self.rng.random_range(0..total.max(1));
        route.shares.iter().find(|share| {
            let weight = u64::from(share.weight);
            let hit = point < weight;
            point = point.saturating_sub(weight);
            hit
        })
    }

    /// Expected queueing time of a new request, in milliseconds: from the recent service rate of
    /// its priority, or else from the mean request duration and the number of slots.
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
            .filter(|upstream| upstream.accepts_work(self.now))
            .map(Upstream::slots)
            .fold(0, u32::saturating_add);
        let share = f64::from(slots.max(1)) / f64::from(self.instances.max(1));
        (ahead as f64 * pool.mean_duration_ms / share.max(1.0)) as u64
    }

    /// Whether a pool has an upstream that is neither lost nor draining.
    pub(crate) fn is_reachable(&self, pool: &str) -> bool {
        self.pools.get(pool).is_some_and(|pool| {
            pool.upstreams
                .iter()
                .filter_map(|key| self.upstreams.get(*key))
                .any(|upstream| upstream.health != Health::Lost && !upstream.is_leaving(self.now))
        })
    }

    /// How long a caller had already waited before this request, in milliseconds, estimated from
    /// its remaining timeout and the timeouts of other callers.
    fn waited_ms(&mut self, service: &config::Service, timeout_ms: Option<u64>) -> u64 {
        let Some(timeout_ms) = timeout_ms else {
            return 0;
        };
        let longest = self
            .longest_timeouts
            .entry(service.name.clone())
            .or_default();
        longest.record(timeout_ms, self.now)
    }

    fn build_request(
        &mut self,
        submission: event::Submission,
        customer: Arc<config::Customer>,
        service: Arc<config::Service>,
        request_fingerprint: RequestFingerprint,
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
        let timeout_ms = relay.and_then(|relay| relay.timeout_ms);
        let deadline_ms = service.deadline_ms.min(timeout_ms.unwrap_or(u64::MAX));
        let waited_ms = self.waited_ms(&service, timeout_ms);
        let objective = service.relay().map_or(u64::MAX, |relay| relay.objective_ms);
        let first_event_due = self.now.after(objective).0.saturating_sub(waited_ms);
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
        let rank = self.rank_of(&customer, &service);
        Ok(Request {
            announced_at: None,
            arrived_at: self.now,
            attempts: Vec::new(),
            avoided_upstream: None,
            caller: submission.caller,
            claim,
            claim_requested_at: self.now,
            counts_as_running: false,
            customer,
            deadline: self.now.after(deadline_ms),
            delivered: received,
            digest,
            fingerprint: submission.fingerprint,
            first_event_due: Time(first_event_due),
            first_sent_at: None,
            follows_peer: false,
            generation: cursor.map_or(submission.generation, |cursor| cursor.generation),
            held_bytes: 0,
            last_attempt: cursor.map_or(0, |cursor| cursor.attempt),
            may_have_run: cursor.is_some(),
            progress: request::RelayProgress::default(),
            rank,
            request_fingerprint,
            resume_cursor: cursor,
            retry_permit: request::RetryPermit::default(),
            send_by: self.now.after(service.max_wait_ms),
            service,
            skip: cursor.map_or(0, |cursor| cursor.position),
            skip_digest: cursor.map_or_else(Digest::default, |cursor| cursor.digest),
            state: State::Queued,
            turn: None,
            waited_ms,
            work: submission.work,
        })
    }
}
