//! The core task: owns the core and carries out what it decides.

use super::*;

/// Time between two ticks of the core.
const TICK: Duration = Duration::from_millis(10);

/// Time that peers are told that an upstream is leaving.
const LEAVING: Duration = Duration::from_secs(3);

/// Upstreams that said they are leaving, and when that was heard.
pub(crate) type Leaving = BTreeMap<String, Instant>;

/// Messages taken at once.
const BATCH: usize = 256;

/// What the core task is told.
#[derive(Debug)]
pub(crate) enum Message {
    /// Count something that an edge decided.
    Count(Counter),
    /// An event for the core.
    Event(Event),
    /// An upstream's head or whole answer, and what the core is told of it.
    Held(attempt::Key, Caller, Held, Event),
    /// A request to be relayed, what is sent for it, and where its answer goes.
    Relay(
        Box<Submission>,
        Arc<forward::Original>,
        mpsc::UnboundedSender<Reply>,
    ),
    /// Answer with the state.
    Status(oneshot::Sender<Snapshot>),
    /// Other settings of the core.
    Settings(Box<wellplank_core::settings::Settings>),
    /// A request, and where its answer goes.
    Submit(Box<Submission>, mpsc::UnboundedSender<Reply>),
    /// A word that an upstream said of itself and that is not known, and the upstream.
    Unknown(String, Arc<str>),
}

/// What the edge holds of an upstream's answer until the core decides what is done with it.
#[derive(Debug)]
pub(crate) enum Held {
    /// A whole answer.
    Answer(Box<forward::Answer>),
    /// The head of a stream.
    Head(Box<forward::Head>),
}

/// A caller that waits for its answer.
struct Listener {
    /// What came last from an upstream and is not yet given to the caller.
    held: Option<Held>,
    /// The request, if it is relayed.
    original: Option<Arc<forward::Original>>,
    /// Where the answer goes.
    replies: mpsc::UnboundedSender<Reply>,
}

/// State for operators.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    /// Counters by name.
    pub counters: Vec<schema::Count>,
    /// Revision in force.
    pub revision: Option<u64>,
    /// Requests accepted and not yet answered.
    pub running: usize,
    /// Upstreams known.
    pub upstreams: Vec<schema::UpstreamState>,
}

/// Handle of the core task.
#[derive(Clone, Debug)]
pub struct Driver {
    callers: Arc<AtomicU64>,
    sender: mpsc::UnboundedSender<Message>,
}

/// Where the core task sends what it does not carry out itself.
pub(crate) struct Ends {
    /// The unplanned ends of upstreams that are known.
    pub account: watch::Sender<account::Known>,
    /// Claims to be settled.
    pub claims: mpsc::UnboundedSender<claimer::Order>,
    /// Requests to be refused also after all instances were lost.
    pub kept: mpsc::UnboundedSender<keeper::Kept>,
    /// Upstreams that said they are leaving.
    pub leaving: watch::Sender<Leaving>,
    /// Counters and histograms.
    pub meter: meter::Meter,
    /// What other instances are told.
    pub told: mpsc::UnboundedSender<gossip::Told>,
    /// What control sends and receives.
    pub traffic: Traffic,
}

/// What the core task owns.
struct Task {
    account: watch::Sender<account::Known>,
    attempts: HashMap<attempt::Key, JoinHandle<()>>,
    callers: HashMap<Caller, Listener>,
    claims: mpsc::UnboundedSender<claimer::Order>,
    clock: Clock,
    core: Core,
    driver: Driver,
    fresh: Http,
    kept: mpsc::UnboundedSender<keeper::Kept>,
    leaving: watch::Sender<Leaving>,
    meter: meter::Meter,
    pooled: Http,
    probes: Http,
    relaying: Http,
    told: mpsc::UnboundedSender<gossip::Told>,
    traffic: Traffic,
    unknown: unknown::Unknown,
}

impl Driver {
    /// A name for a new caller's connection.
    pub(crate) fn caller(&self) -> Caller {
        Caller(self.callers.fetch_add(1, Ordering::Relaxed))
    }

    /// Counts something that an edge decided.
    pub(crate) fn count(&self, counter: Counter) {
        self.tell(Message::Count(counter));
    }

    /// Tells the core an event.
    pub(crate) fn event(&self, event: Event) {
        self.tell(Message::Event(event));
    }

    /// The state for operators; empty if the core task has ended.
    pub(crate) async fn status(&self) -> Snapshot {
        let (sender, receiver) = oneshot::channel();
        self.tell(Message::Status(sender));
        receiver.await.unwrap_or_default()
    }

    /// Starts the core task.
    pub(crate) fn start(settings: &Settings, clock: Clock, ends: Ends) -> (Self, JoinHandle<()>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let driver = Self {
            callers: Arc::default(),
            sender,
        };
        let seed = rand::random();
        let mut core = Core::new(settings.core.clone(), settings.secret, seed, clock.now())
            .in_data_centre(&settings.data_centre);
        if settings.hosted.is_some() {
            core = core.restoring_streams();
        }
        let task = Task {
            account: ends.account,
            attempts: HashMap::new(),
            callers: HashMap::new(),
            claims: ends.claims,
            clock,
            core,
            driver: driver.clone(),
            fresh: Http::fresh(),
            kept: ends.kept,
            leaving: ends.leaving,
            meter: ends.meter,
            pooled: Http::pooled(),
            probes: Http::control(&ends.traffic),
            relaying: Http::relaying(),
            told: ends.told,
            traffic: ends.traffic,
            unknown: unknown::Unknown::default(),
        };
        (driver, tokio::spawn(task.run(receiver)))
    }

    /// Hands in a request; its answer comes on the receiver.
    pub(crate) fn submit(&self, submission: Submission) -> mpsc::UnboundedReceiver<Reply> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.tell(Message::Submit(Box::new(submission), sender));
        receiver
    }

    /// Has the core take other settings.
    pub(crate) fn configure(&self, settings: wellplank_core::settings::Settings) {
        self.tell(Message::Settings(Box::new(settings)));
    }

    /// Hands in what an upstream answered, and tells the core of it.
    pub(crate) fn hold(&self, attempt: attempt::Key, caller: Caller, held: Held, event: Event) {
        self.tell(Message::Held(attempt, caller, held, event));
    }

    /// Hands in a request to be relayed; its answer comes on the receiver.
    pub(crate) fn relay(
        &self,
        submission: Submission,
        original: forward::Original,
    ) -> mpsc::UnboundedReceiver<Reply> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let original = Arc::new(original);
        self.tell(Message::Relay(Box::new(submission), original, sender));
        receiver
    }

    /// Hands in a word that an upstream said of itself and that is not known.
    pub(crate) fn unknown(&self, word: &str, upstream: &Arc<str>) {
        self.tell(Message::Unknown(word.to_owned(), upstream.clone()));
    }

    fn tell(&self, message: Message) {
        // The core task ends only with the instance.
        let _ = self.sender.send(message);
    }
}

impl Ends {
    /// Those of an instance that tells others by frames, and keeps nothing of upstreams that ended.
    pub(crate) fn new(
        claims: mpsc::UnboundedSender<claimer::Order>,
        leaving: watch::Sender<Leaving>,
        meter: meter::Meter,
        traffic: Traffic,
    ) -> Self {
        Self {
            account: watch::channel(account::Known::default()).0,
            claims,
            kept: mpsc::unbounded_channel().0,
            leaving,
            meter,
            told: mpsc::unbounded_channel().0,
            traffic,
        }
    }
}

impl Task {
    async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Message>) {
        let mut ticks = interval(TICK);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut messages = Vec::with_capacity(BATCH);
        loop {
            tokio::select! {
                count = receiver.recv_many(&mut messages, BATCH) => {
                    if count == 0 {
                        return;
                    }
                    for message in messages.drain(..) {
                        self.take(message);
                    }
                }
                _ = ticks.tick() => {
                    if let Some(suspended_ms) = self.clock.notice() {
                        warn!(suspended_ms; "resumed");
                    }
                    self.event(Event::Tick);
                }
            }
        }
    }

    fn abort(&mut self, attempt: attempt::Key) {
        if let Some(task) = self.attempts.remove(&attempt) {
            task.abort();
        }
    }

    /// Carries out one decision.
    fn carry_out(&mut self, effect: Effect) {
        match effect {
            Effect::ForwardResponse(caller) => {
                if let Some(Held::Answer(answer)) = self.take_held(caller) {
                    self.end(caller, Reply::Answer(answer));
                }
            }
            Effect::LogUpstream {
                change: belief,
                born,
                silent_ms,
                upstream,
            } => note::believe(belief, born, silent_ms, &upstream),
            Effect::GossipLost(life) => self.tell_others(gossip::Told::Lost(life)),
            Effect::Cancel {
                address,
                attempt,
                stream,
            } => {
                self.abort(attempt);
                if let Some(stream) = stream {
                    tokio::spawn(engine::cancel(self.pooled.clone(), address, stream));
                }
            }
            Effect::Claim { claim, request } => {
                let _ = self.claims.send(claimer::Order {
                    claim,
                    here: false,
                    settle: claimer::Settle::Here(request),
                });
            }
            Effect::EndStream(caller) => self.end(caller, Reply::Close),
            Effect::AbortStream(caller) => self.end(caller, Reply::Cut),
            Effect::Count(counter, count) => self.count(counter, count),
            Effect::Deliver {
                caller,
                cursor,
                tokens: pieces,
                position,
            } => {
                let reply = Reply::Tokens {
                    cursor,
                    pieces,
                    position,
                };
                self.reply(caller, reply);
            }
            Effect::GossipDemand { demand, urgent } => {
                self.tell_others(gossip::Told::Demand { demand, urgent });
            }
            Effect::Detach(attempt) => self.abort(attempt),
            Effect::Fail {
                caller,
                kind,
                retry_after_ms,
            } => {
                let reply = Reply::Failed {
                    kind,
                    retry_after_ms,
                };
                self.end(caller, reply);
            }
            Effect::Finish {
                caller,
                position,
                reason,
            } => self.end(caller, Reply::Finished { position, reason }),
            Effect::GossipLeaving { incarnation, name } => self.leaves(incarnation, &name),
            Effect::LogRequest(note) => note::write(&note),
            Effect::GossipLimit { incarnation, rate } => {
                self.tell_others(gossip::Told::Limit { incarnation, rate });
            }
            Effect::ForwardHead(caller) => {
                if let Some(Held::Head(head)) = self.take_held(caller) {
                    self.reply(caller, Reply::Open(head));
                }
            }
            Effect::GossipSpeed(pace) => self.tell_others(gossip::Told::Pace(pace)),
            Effect::ForwardEvent { bytes, caller } => self.reply(caller, Reply::Pass(bytes)),
            Effect::Probe { address, upstream } => {
                let probe = probe::run(self.probes.clone(), self.driver.clone(), upstream, address);
                tokio::spawn(probe);
            }
            Effect::Quarantine(effect) => self.quarantine(effect),
            Effect::Reply {
                body,
                caller,
                status,
            } => self.end(caller, Reply::Body { body, status }),
            Effect::Send {
                address,
                attempt,
                outbound,
                upstream,
            } => self.send(address, attempt, outbound, upstream),
            Effect::GossipStream(sighting) => self.tell_others(gossip::Told::Stream(sighting)),
            Effect::Observe(timing, millis) => {
                self.meter.time(meter::Timed::Core(timing), millis as f64);
            }
        }
    }

    fn count(&self, counter: Counter, count: u64) {
        if let Counter::Invariant(invariant) = counter {
            error!("invariant broken: {invariant}");
        }
        self.meter.count(counter, count);
    }

    /// Carries out a decision on requests that end their upstreams.
    fn quarantine(&self, effect: effect::Quarantine) {
        match effect {
            effect::Quarantine::CheckCrash {
                address,
                incarnation,
            } => {
                tokio::spawn(check::run(self.driver.clone(), address, incarnation));
            }
            effect::Quarantine::Release {
                fingerprint: print,
                own,
            } => {
                note::free(print);
                if own {
                    self.keep(keeper::Kept::Nothing(print));
                }
            }
            effect::Quarantine::Publish(account) => {
                self.account.send_replace(account::Known::new(account));
            }
            effect::Quarantine::Refuse {
                evidence: ends,
                fingerprint: print,
                own,
            } => {
                note::quarantine(print, &ends, own);
                if own {
                    self.keep(keeper::Kept::Ends(print, ends));
                }
            }
            effect::Quarantine::Gossip(news) => self.tell_others(gossip::Told::Ends(news)),
        }
    }

    fn keep(&self, kept: keeper::Kept) {
        // Where nothing is kept, nobody listens.
        let _ = self.kept.send(kept);
    }

    /// Has other instances told that an upstream is leaving, by the one way that there is to them.
    fn leaves(&self, life: Incarnation, name: &str) {
        self.tell_others(gossip::Told::Leaving(life));
        let now = Instant::now();
        self.leaving.send_modify(|leaving| {
            leaving.retain(|_, heard| heard.elapsed() < LEAVING);
            leaving.insert(name.to_owned(), now);
        });
    }

    /// Gives a caller the last step of its answer.
    fn end(&mut self, caller: Caller, reply: Reply) {
        if let Some(listener) = self.callers.remove(&caller) {
            // A caller that went away meanwhile needs no answer.
            let _ = listener.replies.send(reply);
        }
    }

    fn event(&mut self, event: Event) {
        if let Event::CallerGone(caller) = &event {
            self.callers.remove(caller);
        }
        if let Event::Answered { attempt, .. }
        | Event::StreamEnded { attempt, .. }
        | Event::Failed { attempt, .. }
        | Event::GenerationFinished { attempt, .. }
        | Event::Replied { attempt, .. } = &event
        {
            self.attempts.remove(attempt);
        }
        for effect in self.core.handle(self.clock.now(), event) {
            self.carry_out(effect);
        }
    }

    fn reply(&self, caller: Caller, reply: Reply) {
        if let Some(listener) = self.callers.get(&caller) {
            // A caller that went away meanwhile needs no answer.
            let _ = listener.replies.send(reply);
        }
    }

    fn tell_others(&self, told: gossip::Told) {
        // Where there are no other instances to tell, nobody listens.
        let _ = self.told.send(told);
    }

    fn take_held(&mut self, caller: Caller) -> Option<Held> {
        self.callers.get_mut(&caller)?.held.take()
    }

    /// Starts the task that passes a relayed request on.
    fn forward(
        &self,
        address: SocketAddr,
        attempt: attempt::Key,
        outbound: &Outbound,
        upstream: upstream::Key,
    ) -> Option<JoinHandle<()>> {
        let Outbound::Relay {
            caller,
            streams,
            upstream: name,
            ..
        } = outbound
        else {
            return None;
        };
        let original = self.callers.get(caller)?.original.clone()?;
        let exchange = forward::Exchange {
            attempt,
            caller: *caller,
            driver: self.driver.clone(),
            run: original.run.clone(),
            streams: *streams,
            upstream,
            upstream_name: name.clone(),
        };
        let request = original.request(address, outbound)?;
        Some(tokio::spawn(exchange.run(self.relaying.clone(), request)))
    }

    fn send(
        &mut self,
        address: SocketAddr,
        attempt: attempt::Key,
        outbound: Outbound,
        upstream: upstream::Key,
    ) {
        let driver = self.driver.clone();
        let task = match outbound {
            Outbound::Call {
                path,
                payload,
                repeatable,
                request,
            } => {
                let http = if repeatable {
                    &self.pooled
                } else {
                    &self.fresh
                };
                plain::request(address, &path, &payload, request).map(|request| {
                    tokio::spawn(plain::run(http.clone(), driver, attempt, upstream, request))
                })
            }
            outbound @ Outbound::Relay { .. } => {
                self.forward(address, attempt, &outbound, upstream)
            }
            outbound => {
                let attach = matches!(outbound, Outbound::Attach { .. });
                engine::request(address, outbound).map(|request| {
                    let http = self.fresh.clone();
                    tokio::spawn(engine::run(
                        http, driver, attempt, upstream, request, attach,
                    ))
                })
            }
        };
        match task {
            Some(task) => {
                self.attempts.insert(attempt, task);
            }
            None => self.driver.event(Event::Failed {
                attempt,
                failure: Failure::Rejected,
            }),
        }
    }

    fn status(&self) -> Snapshot {
        Snapshot {
            counters: self
                .meter
                .counts()
                .into_iter()
                .chain(self.traffic.counts())
                .collect(),
            revision: self.core.revision(),
            running: self.core.running(),
            upstreams: self.core.upstreams().map(upstream_state).collect(),
        }
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Count(counter) => self.meter.count(counter, 1),
            Message::Event(event) => self.event(event),
            Message::Held(attempt, caller, held, event) => {
                // What an abandoned attempt brought must not take the place of what is held.
                if self.attempts.contains_key(&attempt)
                    && let Some(listener) = self.callers.get_mut(&caller)
                {
                    listener.held = Some(held);
                    self.event(event);
                }
            }
            Message::Relay(submission, original, replies) => {
                let listener = Listener {
                    held: None,
                    original: Some(original),
                    replies,
                };
                self.callers.insert(submission.caller, listener);
                self.event(Event::Submit(submission));
            }
            Message::Settings(settings) => self.core.configure(*settings),
            Message::Status(sender) => {
                let _ = sender.send(self.status());
            }
            Message::Submit(submission, sender) => {
                let listener = Listener {
                    held: None,
                    original: None,
                    replies: sender,
                };
                self.callers.insert(submission.caller, listener);
                self.event(Event::Submit(submission));
            }
            Message::Unknown(word, upstream) => {
                self.meter.count(Counter::NoticeUnknown, 1);
                self.unknown.note(&word, &upstream);
            }
        }
    }
}

fn upstream_state(upstream: &upstream::Upstream) -> schema::UpstreamState {
    schema::UpstreamState {
        attempts: upstream.attempts.len() as u32,
        health: format!("{:?}", upstream.health).to_lowercase(),
        leaving: upstream.leaving,
        name: upstream.name.to_string(),
        pool: upstream.pool.to_string(),
        running: upstream.load.running,
        slots: upstream.load.slots,
    }
}
