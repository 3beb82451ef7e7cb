//! State of an instance and its single entry point, [`Core::handle`].

use super::*;

/// Pool name under which the instances themselves are registered in the platform's list.
pub const INSTANCE_POOL: &str = "wellplank";

/// Maximum number of permits in a budget for retries or hedges.
const BUDGET_PERMITS: f64 = 20.0;

/// Permits that a budget gains per second when there is no traffic.
const BUDGET_REFILL_PER_SECOND: f64 = 1.0;

/// Weight of a new sample in the moving average of request durations.
const DURATION_SMOOTHING: f64 = 0.05;

/// Mean request duration assumed until the first request has ended, in milliseconds.
const INITIAL_DURATION_MS: f64 = 1_000.0;

/// Upstreams of one pool and the requests queued for them.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    /// Demand of all instances.
    pub demand: DemandTracker,
    /// Intervals between the events of its streams.
    pub intervals: liveness::Intervals,
    /// Speed of its upstreams, and how long they have had no free capacity.
    pub estimates: PoolEstimates,
    /// Moving average of the time from sending a request to its end, in milliseconds.
    pub mean_duration_ms: f64,
    /// Queued requests.
    pub queue: Queue,
    /// Budget for retries.
    pub retry_budget: Budget,
    /// Attempts beyond the first, where the users bound them.
    pub retry_window: RetryWindow,
    /// Mean number of tokens of a request.
    pub tokens: estimates::Mean,
    /// Rejections that its upstreams tolerate; `None` if they never said that they are brittle.
    pub tolerance: Option<Tolerance>,
    /// From when on this instance may send a call, while instances take turns at brittle upstreams.
    pub turn_at: Time,
    /// Its upstreams.
    pub upstreams: Vec<upstream::Key>,
    /// Version that its upstreams must have to receive requests; `None` until there is one.
    pub active_version: Option<Version>,
    /// Versions of its upstreams.
    pub versions: Versions,
    /// Limit of concurrent relayed calls.
    pub window: Window,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            demand: DemandTracker::default(),
            estimates: PoolEstimates::default(),
            intervals: liveness::Intervals::default(),
            mean_duration_ms: INITIAL_DURATION_MS,
            queue: Queue::default(),
            retry_budget: Budget::new(BUDGET_PERMITS, BUDGET_REFILL_PER_SECOND, Time::default()),
            retry_window: RetryWindow::default(),
            tokens: estimates::Mean::default(),
            tolerance: None,
            turn_at: Time::default(),
            upstreams: Vec::new(),
            active_version: None,
            versions: Versions::default(),
            window: Window::default(),
        }
    }
}

/// Pause of this process behind which records of streams that other instances sent meanwhile may be lost, in milliseconds: a
/// socket holds some hundred datagrams, as many as arrive in a second or two.
const RECORDS_LOST_MS: u64 = 1_000;

/// A request that arrived before this instance had the state to serve it.
#[derive(Clone, Debug)]
pub(crate) struct DeferredRequest {
    /// When it arrived.
    pub arrived_at: Time,
    /// Whether the record of its stream was looked up.
    pub is_looked_up: bool,
    /// Number of the first read of the names of versions that began behind its arrival.
    pub names_read: u64,
    /// The request.
    pub submission: event::Submission,
    /// Time until which it is deferred.
    pub until: Time,
}

/// State of an instance; all decisions depend only on it and on the event at hand.
pub struct Core {
    pub(crate) attempts: SlotMap<attempt::Key, Attempt>,
    /// Bytes held for callers and upstreams.
    pub(crate) buffers: Buffers,
    pub(crate) callers: HashMap<request::Caller, request::Key>,
    /// Requests whose claim is retried, each with the time of the retry.
    pub(crate) claim_retries: Vec<(Time, request::Key)>,
    pub(crate) config: Option<Arc<Config>>,
    /// Evidence against requests that crash their upstreams.
    pub(crate) crash_suspects: CrashSuspects,
    /// What is known of this instance's own paths to upstreams.
    pub(crate) connectivity: Connectivity,
    /// Whether the edge reports what callers read, so that unread bytes are counted.
    pub(crate) counts_unread: bool,
    /// Since when requests and attempts are counted; the epoch if no earlier process may have made any.
    pub(crate) counting_since: Time,
    /// Data centre that this instance runs in; empty if there is no preference.
    pub(crate) data_centre: Arc<str>,
    /// Unlisted upstreams that still have attempts.
    pub(crate) departed: BTreeSet<upstream::Key>,
    /// Requests that arrived before this instance had the state to serve them.
    pub(crate) deferred: Vec<DeferredRequest>,
    /// How long requests take, by service.
    pub(crate) durations: Durations,
    pub(crate) effects: Vec<Effect>,
    /// Incarnations of upstreams that have ended.
    pub(crate) ended: EndedIncarnations,
    /// When requests were last checked for expiry.
    pub(crate) expiry_checked_at: Time,
    /// Since when no records of other instances can have been missed by a start or a pause of this process.
    pub(crate) hearing_since: Time,
    pub(crate) hedge_budget: Budget,
    /// Bytes that all running requests count towards the memory limit.
    pub(crate) held_bytes: u64,
    /// Number of instances in the fleet.
    pub(crate) instances: u32,
    /// When the list was first read from the store; `None` before.
    pub(crate) first_list_at: Option<Time>,
    /// Routes that streams took before the configuration changed.
    pub(crate) former_routes: FormerRoutes,
    /// Whether queued requests are being sent.
    pub(crate) is_dispatching: bool,
    /// Upstreams with a rate limit.
    pub(crate) limited: BTreeSet<upstream::Key>,
    /// When the list of upstreams was last read from the store; `None` before the first read.
    pub(crate) list_read_at: Option<Time>,
    /// Time until which the list counts as stale, after a pause of this process.
    pub(crate) list_stale_until: Time,
    /// Recent losses of upstreams.
    pub(crate) losses: liveness::RecentLosses,
    /// Timeouts of the callers of each service.
    pub(crate) longest_timeouts: HashMap<String, timeout::LongestTimeout>,
    /// Records of streams that are looked up at other instances.
    pub(crate) lookups: Lookups,
    pub(crate) members: Members,
    /// Versions that the store names.
    pub(crate) names: Names,
    pub(crate) now: Time,
    /// Which versions began the streams that callers may take up.
    pub(crate) origins: Origins,
    /// When another instance last reported a stream or a loss.
    pub(crate) peer_heard_at: Time,
    pub(crate) pools: BTreeMap<Arc<str>, Pool>,
    /// Ranks in force, by pool; pools without any are absent.
    pub(crate) ranks: BTreeMap<Arc<str>, PoolRanks>,
    pub(crate) requests: SlotMap<request::Key, Request>,
    /// When this process last resumed after a pause.
    pub(crate) resumed_at: Time,
    /// Notices of upstreams that are no longer listed.
    pub(crate) retained_states: notice::RetainedStates,
    pub(crate) rng: Pcg64Mcg,
    /// Number of choices of an upstream by round robin.
    pub(crate) round_robin_count: usize,
    /// Number of running requests by customer.
    pub(crate) running_by_customer: HashMap<String, u32>,
    pub(crate) secret: cursor::Secret,
    /// Ranks the upstreams that this instance works with.
    pub(crate) seed: u64,
    pub(crate) settings: Settings,
    /// How far a graceful shutdown is.
    pub(crate) shutdown: Shutdown,
    /// The latest time without answers of the store; `None` if it always answered.
    pub(crate) store_away: Option<silence::StoreAway>,
    /// Streams that other instances reported.
    pub(crate) stream_records: stream_record::StreamRecords,
    /// Whether all streams that were stored before its start have been reported.
    pub(crate) streams_restored: bool,
    /// Upstreams that may be suspected.
    pub(crate) suspected: BTreeSet<upstream::Key>,
    /// How late this instance handles events.
    pub(crate) tardiness: Tardiness,
    pub(crate) upstreams: SlotMap<upstream::Key, Upstream>,
    /// Pools whose queued requests are to be sent by the end of the dispatch under way.
    pub(crate) undispatched: BTreeSet<Arc<str>>,
    /// Number of looks at an upstream, by ticks and changes of the list.
    pub(crate) upstream_visits: u64,
    /// Upstreams by address.
    pub(crate) upstreams_by_address: HashMap<SocketAddr, Vec<upstream::Key>>,
    /// Upstreams by incarnation; at most one of each name.
    pub(crate) upstreams_by_incarnation: stream_record::UpstreamsByIncarnation,
}

impl Core {
    /// Revision of the configuration in force; `None` before there is one.
    pub fn revision(&self) -> Option<u64> {
        self.config.as_ref().map(|config| config.revision)
    }

    /// Number of requests that were admitted or deferred and not yet answered.
    pub fn running(&self) -> usize {
        self.requests.len() + self.deferred.len()
    }

    /// Number of looks at an upstream so far, by ticks and changes of the list: their cost.
    pub fn upstream_visits(&self) -> u64 {
        self.upstream_visits
    }

    /// Incarnation of an upstream.
    pub fn incarnation(&self, key: upstream::Key) -> Option<Incarnation> {
        self.upstreams.get(key).map(|upstream| upstream.incarnation)
    }

    /// All known upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Handles one event and returns the effects to carry out.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        let gap = now.since(self.now);
        self.now = self.now.max(now);
        self.tardiness.record(gap, self.now);
        self.stream_records.advance(self.now);
        if gap > self.settings.pause_ms {
            self.resume_after_pause(gap);
        }
        if gap >= RECORDS_LOST_MS && self.instances > 1 {
            self.hearing_since = self.now;
            self.stream_records.mark_incomplete(self.now);
        }
        match event {
            Event::Answered { attempt, verdict } => self.handle_response(attempt, verdict),
            Event::CallerGone(caller) => self.handle_caller_gone(caller),
            Event::CallersRead(reads) => self.handle_reads(&reads),
            Event::Claimed { outcome, request } => self.handle_claim_outcome(request, outcome),
            Event::Config(config) => self.apply_config(config),
            Event::Connected(attempt) => self.record_connection(attempt),
            Event::ConnectionChecked {
                connected,
                started_at,
                upstream,
            } => self.handle_connection_check(upstream, started_at, connected),
            Event::CrashChecked { ended, incarnation } => {
                self.apply_crash_check(incarnation, ended);
            }
            Event::CrashReported(reported) => self.merge_crashes(&reported),
            Event::Failed { attempt, failure } => self.handle_failure(attempt, failure),
            Event::GenerationFinished {
                attempt,
                position,
                reason,
            } => self.handle_generation_finished(attempt, position, reason),
            Event::Instances(view) => self.update_members(view),
            Event::Leaving(name) => self.apply_leaving_hint(&name),
            Event::List {
                entries,
                requested_at,
            } => self.apply_list(requested_at, entries.as_deref()),
            Event::ListChanged {
                delta,
                requested_at,
            } => self.apply_list_delta(requested_at, &delta),
            Event::Load { load, upstream } => self.apply_load_report(upstream, load),
            Event::NoticeReceived {
                attempt,
                notice,
                upstream,
            } => self.apply_notice(upstream, attempt, &notice),
            Event::PeerDemand { demand, from } => self.record_peer_demand(from, &demand),
            Event::PeerEnds(incarnations) => self.apply_peer_ends(&incarnations),
            Event::PeerLeaving(incarnation) => self.apply_peer_leaving(incarnation),
            Event::PeerLimit { incarnation, rate } => self.apply_peer_limit(incarnation, rate),
            Event::PeerBreakOff(incarnation) => self.record_peer_break_off(incarnation),
            Event::PeerLoss(incarnation) => self.record_peer_loss(incarnation),
            Event::PeerSpeed(speed) => self.record_peer_speed(&speed),
            Event::PeerStream(record) => self.handle_peer_stream(record),
            Event::PiggybackedLoad { attempt, load } => self.apply_piggybacked_load(attempt, load),
            Event::Probed { alive, upstream } => self.apply_probe_result(upstream, alive),
            Event::Replied {
                attempt,
                body,
                status,
            } => self.handle_reply(attempt, status, body),
            Event::ShutdownEnded => self.end_shutdown(),
            Event::ShutdownStarted { left_ms } => self.start_shutdown(left_ms),
            Event::StoreAway(since) => self.record_store_away(since),
            Event::ResponseHeld { attempt, bytes } => self.hold_response(attempt, bytes),
            Event::StreamsFound(records) => self.handle_found_streams(records),
            Event::StreamEnded { attempt, marked } => self.handle_stream_end(attempt, marked),
            Event::StreamEvent {
                attempt,
                bytes,
                position,
            } => self.handle_stream_event(attempt, position, bytes),
            Event::StreamOpened(attempt) => self.handle_stream_opened(attempt),
            Event::StreamsRestored => self.handle_streams_restored(),
            Event::Submit(submission) => self.submit(*submission),
            Event::Tick => self.tick(),
            Event::NamesLost => self.handle_names_lost(),
            Event::VersionsNamed(names) => self.handle_versions_named(&names),
            Event::VersionsRead { names, number } => self.handle_names_read(number, names),
            Event::Tokens {
                attempt,
                position,
                tokens,
            } => self.handle_tokens(attempt, position, tokens),
        }
        std::mem::take(&mut self.effects)
    }

    /// Creates an instance without configuration and upstreams. `seed` initializes its random
    /// number generator and ranks the upstreams that it works with.
    pub fn new(settings: Settings, secret: cursor::Secret, seed: u64, now: Time) -> Self {
        Self {
            attempts: SlotMap::with_key(),
            buffers: Buffers::default(),
            callers: HashMap::new(),
            claim_retries: Vec::new(),
            config: None,
            connectivity: Connectivity::default(),
            crash_suspects: CrashSuspects::default(),
            counting_since: Time::default(),
            counts_unread: false,
            data_centre: Arc::from(""),
            departed: BTreeSet::new(),
            deferred: Vec::new(),
            durations: Durations::default(),
            effects: Vec::new(),
            ended: EndedIncarnations::default(),
            expiry_checked_at: now,
            hearing_since: Time::default(),
            hedge_budget: Budget::new(BUDGET_PERMITS, BUDGET_REFILL_PER_SECOND, now),
            held_bytes: 0,
            instances: 1,
            first_list_at: None,
            former_routes: FormerRoutes::default(),
            is_dispatching: false,
            limited: BTreeSet::new(),
            list_read_at: None,
            list_stale_until: Time::default(),
            longest_timeouts: HashMap::new(),
            lookups: Lookups::new(),
            losses: liveness::RecentLosses::default(),
            members: Members::default(),
            names: Names::default(),
            now,
            origins: Origins::default(),
            peer_heard_at: Time::default(),
            pools: BTreeMap::new(),
            ranks: BTreeMap::new(),
            requests: SlotMap::with_key(),
            resumed_at: Time::default(),
            retained_states: notice::RetainedStates::default(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            round_robin_count: 0,
            running_by_customer: HashMap::new(),
            secret,
            seed,
            settings,
            shutdown: Shutdown::default(),
            store_away: None,
            stream_records: stream_record::StreamRecords::default(),
            streams_restored: true,
            suspected: BTreeSet::new(),
            tardiness: Tardiness::default(),
            undispatched: BTreeSet::new(),
            upstreams: SlotMap::with_key(),
            upstream_visits: 0,
            upstreams_by_address: HashMap::new(),
            upstreams_by_incarnation: BTreeMap::new(),
        }
    }

    /// Replaces the settings.
    pub fn configure(&mut self, settings: Settings) {
        self.settings = settings;
        self.update_ranks();
    }

    /// Sets the data centre of the instance; it prefers upstreams of the same one.
    #[must_use]
    pub fn in_data_centre(mut self, data_centre: &str) -> Self {
        self.data_centre = data_centre.into();
        self
    }

    /// Makes the instance count what waits for callers; the edge must report by [`Event::CallersRead`] what they read.
    #[must_use]
    pub fn counting_unread(mut self) -> Self {
        self.counts_unread = true;
        self
    }

    /// Makes the instance wait for [`Event::StreamsRestored`] before it resumes streams: those
    /// stored before its start are yet to be reported. What was spent before its start is never known.
    #[must_use]
    pub fn restoring_streams(mut self) -> Self {
        self.streams_restored = false;
        self.counting_since = self.now;
        self.hearing_since = self.now;
        self
    }

    fn apply_config(&mut self, config: Arc<Config>) {
        let current = self.revision().unwrap_or(0);
        if config.revision > current || self.config.is_none() {
            if let Some(before) = &self.config {
                self.former_routes.replace(before, &config, self.now);
            }
            self.config = Some(config);
            self.update_ranks();
            self.resolve_address_conflicts();
            self.submit_deferred();
        }
        let after = self.revision().unwrap_or(0);
        self.check_invariant(after >= current, Invariant::NeverReverts);
    }

    /// Returns `holds`. A violated invariant is counted, and panics if debug assertions are
    /// enabled.
    pub(crate) fn check_invariant(&mut self, holds: bool, invariant: Invariant) -> bool {
        if !holds {
            self.count(Counter::Invariant(invariant));
            debug_assert!(holds, "invariant broken: {invariant}");
        }
        holds
    }

    pub(crate) fn count(&mut self, counter: Counter) {
        self.effects.push(Effect::Count(counter, 1));
    }

    pub(crate) fn log_step(
        &mut self,
        request: &Request,
        step: effect::Step,
        upstream: Option<upstream::Key>,
    ) {
        let entry = self.log_effect(request, step, upstream);
        self.effects.push(entry);
    }

    pub(crate) fn log_effect(
        &self,
        request: &Request,
        step: effect::Step,
        upstream: Option<upstream::Key>,
    ) -> Effect {
        let upstream = upstream.and_then(|key| self.upstreams.get(key));
        Effect::LogRequest(effect::RequestLog {
            customer: request.customer.clone(),
            fingerprint: request.request_fingerprint,
            generation: request.generation,
            position: request.position(),
            run: request.work.relay().map(|relay| relay.run.clone()),
            service: request.service.clone(),
            upstream: upstream.map(|upstream| upstream.name.clone()),
            step,
        })
    }

    /// Removes a request from the state; every request passes through here exactly once.
    pub(crate) fn remove(&mut self, key: request::Key) -> Option<Request> {
        if self.requests.get(key)?.state == State::Queued {
            self.refund_retry_permit(key);
        }
        let request = self.requests.remove(key)?;
        let unanswered = self.callers.remove(&request.caller) == Some(key);
        self.check_invariant(unanswered, Invariant::AnsweredTwice);
        self.held_bytes -= request.held_bytes;
        let customer = &request.customer.name;
        self.buffers
            .remove_request(request.caller, customer, request.work.bytes());
        if let Some(running) = self.running_by_customer.get_mut(customer) {
            *running -= 1;
            if *running == 0 {
                self.running_by_customer.remove(customer);
            }
        }
        if let Some(pool) = self.pools.get_mut(request.service.pool()) {
            if request.state == State::Queued {
                pool.queue
                    .remove(request.service.priority, &request.customer, key);
            }
            if request.counts_as_running {
                pool.queue.finish(&request.customer);
            }
            if let Some(first_sent_at) = request.first_sent_at {
                let duration = self.now.since(first_sent_at) as f64;
                pool.mean_duration_ms += DURATION_SMOOTHING * (duration - pool.mean_duration_ms);
            }
        }
        Some(request)
    }
}
