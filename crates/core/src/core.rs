//! The state of an instance and the one way into it.

use super::*;

/// Name of the pool that the entry instances themselves have in the platform's list.
pub const INSTANCE_POOL: &str = "wellplank";

/// Permits that a retry budget holds when full.
const BUDGET: f64 = 20.0;

/// Permits that a retry budget gains a second without work.
const BUDGET_REFILL: f64 = 1.0;

/// Weight of a new sample in the mean duration of requests.
const DURATION_GAIN: f64 = 0.05;

/// Mean duration assumed before the first request has ended, in milliseconds.
const DURATION_START: f64 = 1_000.0;

/// Upstreams of one pool and the work that waits for them.
#[derive(Clone, Debug)]
pub(crate) struct Pool {
    /// What all instances ask of it.
    pub demands: DemandTracker,
    /// Running mean of the time from sending to the end, in milliseconds.
    pub duration: f64,
    /// Paces of its upstreams, and how long they have had no room.
    pub estimates: PoolEstimates,
    /// Work that waits.
    pub queue: Queue,
    /// Requests that may be sent a second time.
    pub retries: Budget,
    /// Tokens of a request, in the mean.
    pub tokens: estimates::Mean,
    /// Its upstreams.
    pub upstreams: Vec<upstream::Key>,
    /// Version of its upstreams that is in force; `None` before there was one.
    pub version: Option<Arc<str>>,
    /// Relayed calls that may be under way at once.
    pub window: Window,
}

impl Default for Pool {
    fn default() -> Self {
        Self {
            demands: DemandTracker::default(),
            duration: DURATION_START,
            estimates: PoolEstimates::default(),
            queue: Queue::default(),
            retries: Budget::new(BUDGET, BUDGET_REFILL, Time::default()),
            tokens: estimates::Mean::default(),
            upstreams: Vec::new(),
            version: None,
            window: Window::default(),
        }
    }
}

/// A request that waits until this instance knows enough after its start.
#[derive(Clone, Debug)]
pub(crate) struct Early {
    /// When it came.
    pub came: Time,
    /// The request.
    pub submission: event::Submission,
    /// Until when it waits.
    pub until: Time,
}

/// The state of an instance: everything its decisions rest on.
pub struct Core {
    pub(crate) attempts: SlotMap<attempt::Key, Attempt>,
    pub(crate) callers: HashMap<request::Caller, request::Key>,
    pub(crate) config: Option<Arc<Config>>,
    /// Data centre that this instance stands in; empty if it does not matter.
    pub(crate) data_centre: Arc<str>,
    /// Requests that came before there was a configuration, and until when each waits for one.
    pub(crate) early: Vec<Early>,
    pub(crate) effects: Vec<Effect>,
    pub(crate) hedges: Budget,
    pub(crate) held: u64,
    pub(crate) instances: u32,
    pub(crate) identity: u64,
    /// Upstreams by their lives; of each name at most one.
    pub(crate) lives: sighting::Lives,
    pub(crate) members: Members,
    pub(crate) now: Time,
    /// How long callers of each service wait.
    pub(crate) patiences: HashMap<String, timeout::LongestTimeout>,
    pub(crate) pools: BTreeMap<Arc<str>, Pool>,
    /// When the store last showed the list of upstreams; `None` before it was read.
    pub(crate) listed: Option<Time>,
    /// Whether the streams that were kept before its start are known.
    pub(crate) recalled: bool,
    pub(crate) reclaims: Vec<(Time, request::Key)>,
    pub(crate) requests: SlotMap<request::Key, Request>,
    pub(crate) rng: Pcg64Mcg,
    pub(crate) rotation: usize,
    pub(crate) running: HashMap<String, u32>,
    pub(crate) secret: cursor::Secret,
    pub(crate) settings: Settings,
    /// Streams that other instances told of.
    pub(crate) sightings: sighting::Sightings,
    /// What upstreams said of themselves that are listed no more.
    pub(crate) standings: notice::Standings,
    /// Until when the list is not trusted, since this instance was paused.
    pub(crate) stale_until: Time,
    /// What is believed of requests that end their upstreams.
    pub(crate) suspicion: Suspicion,
    pub(crate) swept: Time,
    pub(crate) upstreams: SlotMap<upstream::Key, Upstream>,
    /// When it last woke from a pause.
    pub(crate) woken: Time,
}

impl Core {
    /// Revision of the configuration in force; `None` before there is one.
    pub fn revision(&self) -> Option<u64> {
        self.config.as_ref().map(|config| config.revision)
    }

    /// Count of requests accepted and not yet answered.
    pub fn running(&self) -> usize {
        self.requests.len() + self.early.len()
    }

    /// Upstreams known.
    pub fn upstreams(&self) -> impl Iterator<Item = &Upstream> {
        self.upstreams.values()
    }

    /// Takes in one event and answers with what is to be done.
    pub fn handle(&mut self, now: Time, event: Event) -> Vec<Effect> {
        let gap = now.since(self.now);
        self.now = self.now.max(now);
        self.sightings.advance(self.now);
        if gap > self.settings.pause_ms {
            self.wake(gap);
        }
        match event {
            Event::Answered { attempt, verdict } => self.answered(attempt, verdict),
            Event::Blamed(life) => self.blamed(life),
            Event::CallerGone(caller) => self.caller_gone(caller),
            Event::Carried { attempt, load } => self.carried(attempt, load),
            Event::Checked { ended, life } => self.checked(life, ended),
            Event::Claimed { request, outcome } => self.claimed(request, outcome),
            Event::Closed { attempt, marked } => self.closed(attempt, marked),
            Event::Config(config) => self.adopt(config),
            Event::Crashed(account) => self.crashed(&account),
            Event::Departing(life) => self.departing(life),
            Event::Demanded { demand, from } => self.record_peer_demand(from, &demand),
            Event::Failed { attempt, failure } => self.failed(attempt, failure),
            Event::Finished {
                attempt,
                position,
                reason,
            } => self.finished(attempt, position, reason),
            Event::Instances(view) => self.see_members(view),
            Event::Leaving(name) => self.hint_leaving(&name),
            Event::List { asked, listed } => self.list(asked, listed.as_deref()),
            Event::Limited { life, rate } => self.limit_told(life, rate),
            Event::Load { upstream, load } => self.report(upstream, load),
            Event::Noticed {
                attempt,
                notice,
                upstream,
            } => self.noticed(upstream, attempt, &notice),
            Event::Opened(attempt) => self.opened(attempt),
            Event::Paced(pace) => self.paced(&pace),
            Event::Passed {
                attempt,
                bytes,
                position,
            } => self.passed(attempt, position, bytes),
            Event::Probed { upstream, alive } => self.probed(upstream, alive),
            Event::Recalled => self.recalled(),
            Event::Replied {
                attempt,
                body,
                status,
            } => self.replied(attempt, status, body),
            Event::Sighted(sighting) => self.sighted(sighting),
            Event::Submit(submission) => self.submit(*submission),
            Event::Tick => self.tick(),
            Event::Tokens {
                attempt,
                pieces,
                position,
            } => self.tokens(attempt, position, pieces),
        }
        std::mem::take(&mut self.effects)
    }

    /// An instance that knows no configuration and no upstream. `seed` feeds its random choices and
    /// ranks the upstreams that it works with.
    pub fn new(settings: Settings, secret: cursor::Secret, seed: u64, now: Time) -> Self {
        Self {
            attempts: SlotMap::with_key(),
            callers: HashMap::new(),
            config: None,
            data_centre: Arc::from(""),
            early: Vec::new(),
            effects: Vec::new(),
            hedges: Budget::new(BUDGET, BUDGET_REFILL, now),
            held: 0,
            identity: seed,
            instances: 1,
            listed: None,
            lives: BTreeMap::new(),
            members: Members::default(),
            now,
            patiences: HashMap::new(),
            pools: BTreeMap::new(),
            recalled: true,
            reclaims: Vec::new(),
            requests: SlotMap::with_key(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            rotation: 0,
            running: HashMap::new(),
            secret,
            settings,
            sightings: sighting::Sightings::default(),
            stale_until: Time::default(),
            standings: notice::Standings::default(),
            suspicion: Suspicion::default(),
            swept: now,
            upstreams: SlotMap::with_key(),
            woken: Time::default(),
        }
    }

    /// Takes other settings from now on.
    pub fn configure(&mut self, settings: Settings) {
        self.settings = settings;
    }

    /// The same instance, standing in a data centre: it prefers upstreams that stand there too.
    #[must_use]
    pub fn standing_in(mut self, data_centre: &str) -> Self {
        self.data_centre = data_centre.into();
        self
    }

    /// The same instance, which is still to be told of streams that were kept before its start, and then that
    /// these are all.
    #[must_use]
    pub fn recalling(mut self) -> Self {
        self.recalled = false;
        self
    }

    fn adopt(&mut self, config: Arc<Config>) {
        let current = self.revision().unwrap_or(0);
        if config.revision > current || self.config.is_none() {
            self.config = Some(config);
            self.settle_addresses();
            self.submit_early();
        }
        let after = self.revision().unwrap_or(0);
        self.check(after >= current, Invariant::NeverReverts);
    }

    /// Whether `holds`; a broken invariant is counted, and panics in builds with debug assertions.
    pub(crate) fn check(&mut self, holds: bool, invariant: Invariant) -> bool {
        if !holds {
            self.count(Counter::Invariant(invariant));
            debug_assert!(holds, "invariant broken: {invariant}");
        }
        holds
    }

    pub(crate) fn count(&mut self, counter: Counter) {
        self.effects.push(Effect::Count(counter, 1));
    }

    pub(crate) fn note(
        &mut self,
        request: &Request,
        what: effect::What,
        upstream: Option<upstream::Key>,
    ) {
        let note = self.noted(request, what, upstream);
        self.effects.push(note);
    }

    pub(crate) fn noted(
        &self,
        request: &Request,
        what: effect::What,
        upstream: Option<upstream::Key>,
    ) -> Effect {
        let upstream = upstream.and_then(|key| self.upstreams.get(key));
        Effect::Note(effect::Note {
            customer: request.customer.clone(),
            generation: request.generation,
            position: request.position(),
            print: request.print,
            run: request.work.relay().map(|relay| relay.run.clone()),
            service: request.service.clone(),
            upstream: upstream.map(|upstream| upstream.name.clone()),
            what,
        })
    }

    /// Takes a request out of the state; every request leaves through here, once.
    pub(crate) fn remove(&mut self, key: request::Key) -> Option<Request> {
        let request = self.requests.remove(key)?;
        let unanswered = self.callers.remove(&request.caller) == Some(key);
        self.check(unanswered, Invariant::AnsweredTwice);
        self.held -= request.held;
        let customer = &request.customer.name;
        if let Some(running) = self.running.get_mut(customer) {
            *running -= 1;
            if *running == 0 {
                self.running.remove(customer);
            }
        }
        if let Some(pool) = self.pools.get_mut(request.service.pool()) {
            if request.state == State::Queued {
                pool.queue
                    .remove(request.service.priority, &request.customer, key);
            }
            if request.counted {
                pool.queue.finish(&request.customer);
            }
            if let Some(sent) = request.sent {
                let duration = self.now.since(sent) as f64;
                pool.duration += DURATION_GAIN * (duration - pool.duration);
            }
        }
        Some(request)
    }
}
