//! The core task: owns the core and carries out what it decides.

use super::*;

/// Time between two ticks of the core.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Time that peers are told that an upstream is leaving.
const LEAVING_RETENTION: Duration = Duration::from_secs(3);

/// Upstreams that said they are leaving, and when that was heard.
pub(crate) type LeavingUpstreams = BTreeMap<String, Instant>;

/// Messages taken at once.
const BATCH_SIZE: usize = 256;

/// What the core task is told.
#[derive(Debug)]
pub(crate) enum Message {
    /// Count something that an edge decided.
    Count(Counter),
    /// An event for the core.
    Event(Event),
    /// A request to be relayed, what is sent for it, and where its answer goes.
    Relay(
        Box<Submission>,
        Arc<forward::OriginalRequest>,
        mpsc::UnboundedSender<Reply>,
    ),
    /// Response head or complete response of an upstream, and the event that reports it to the core.
    Response(attempt::Key, Caller, HeldResponse, Event),
    /// New settings for the core.
    Settings(Box<wellplank_core::settings::Settings>),
    /// Answer with the state.
    Status(oneshot::Sender<Snapshot>),
    /// A request, and where its answer goes.
    Submit(Box<Submission>, mpsc::UnboundedSender<Reply>),
    /// A word that an upstream said of itself and that is not known, and the upstream.
    UnknownHeader(String, Arc<str>),
}

/// What the edge holds of an upstream's answer until the core decides what is done with it.
#[derive(Debug)]
pub(crate) enum HeldResponse {
    /// A whole answer.
    Complete(Box<forward::CompleteResponse>),
    /// The head of a stream.
    Head(Box<forward::Head>),
}

/// A caller that waits for its answer.
struct PendingCaller {
    /// What came last from an upstream and is not yet given to the caller.
    held: Option<HeldResponse>,
    /// The request, if it is relayed.
    original: Option<Arc<forward::OriginalRequest>>,
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
    next_caller: Arc<AtomicU64>,
    sender: mpsc::UnboundedSender<Message>,
}

/// Where the core task sends what it does not carry out itself.
pub(crate) struct CoreOutputs {
    /// Claims of idempotency keys to settle.
    pub claims: mpsc::UnboundedSender<claimer::Order>,
    /// The unplanned ends of upstreams that are known.
    pub crash_history: watch::Sender<account::Known>,
    /// Messages to other instances.
    pub gossip: mpsc::UnboundedSender<gossip::Told>,
    /// Upstreams that said they are leaving.
    pub leaving: watch::Sender<LeavingUpstreams>,
    /// Counters and histograms.
    pub meter: meter::Meter,
    /// What other instances are told.
    pub quarantine_updates: mpsc::UnboundedSender<keeper::Kept>,
    /// What control sends and receives.
    pub traffic: Traffic,
}

/// What the core task owns.
struct Task {
    attempts: HashMap<attempt::Key, JoinHandle<()>>,
    callers: HashMap<Caller, PendingCaller>,
    claims: mpsc::UnboundedSender<claimer::Order>,
    clock: Clock,
    core: Core,
    crash_history: watch::Sender<account::Known>,
    driver: Driver,
    gossip: mpsc::UnboundedSender<gossip::Told>,
    leaving: watch::Sender<LeavingUpstreams>,
    meter: meter::Meter,
    pooled: Http,
    probes: Http,
    quarantine_updates: mpsc::UnboundedSender<keeper::Kept>,
    relays: Http,
    traffic: Traffic,
    unknown_headers: unknown_headers::UnknownHeaders,
    unpooled: Http,
}

impl Driver {
    /// A name for a new caller's connection.
    pub(crate) fn new_caller(&self) -> Caller {
        Caller(self.next_caller.fetch_add(1, Ordering::Relaxed))
    }

    /// Counts something that an edge decided.
    pub(crate) fn count(&self, counter: Counter) {
        self.send(Message::Count(counter));
    }

    /// Tells the core an event.
    pub(crate) fn send_event(&self, event: Event) {
        self.send(Message::Event(event));
    }

    /// The state for operators; empty if the core task has ended.
    pub(crate) async fn status(&self) -> Snapshot {
        let (sender, receiver) = oneshot::channel();
        self.send(Message::Status(sender));
        receiver.await.unwrap_or_default()
    }

    /// Starts the core task.
    pub(crate) fn start(
        settings: &Settings,
        clock: Clock,
        outputs: CoreOutputs,
    ) -> (Self, JoinHandle<()>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let driver = Self {
            next_caller: Arc::default(),
            sender,
        };
        let seed = rand::random();
        let mut core = Core::new(settings.core.clone(), settings.secret, seed, clock.now())
            .in_data_centre(&settings.data_centre);
        if settings.hosted.is_some() {
            core = core.restoring_streams();
        }
        let task = Task {
            attempts: HashMap::new(),
            callers: HashMap::new(),
            claims: outputs.claims,
            clock,
            core,
            crash_history: outputs.crash_history,
            driver: driver.clone(),
            gossip: outputs.gossip,
            leaving: outputs.leaving,
            meter: outputs.meter,
            pooled: Http::pooled(),
            probes: Http::control(&outputs.traffic),
            quarantine_updates: outputs.quarantine_updates,
            relays: Http::relaying(),
            traffic: outputs.traffic,
            unknown_headers: unknown_headers::UnknownHeaders::default(),
            unpooled: Http::fresh(),
        };
        (driver, tokio::spawn(task.run(receiver)))
    }

    /// Hands in a request; its answer comes on the receiver.
    pub(crate) fn submit(&self, submission: Submission) -> mpsc::UnboundedReceiver<Reply> {
        let (replies, receiver) = mpsc::unbounded_channel();
        self.send(Message::Submit(Box::new(submission), replies));
        receiver
    }

    /// Has the core take other settings.
    pub(crate) fn configure(&self, settings: wellplank_core::settings::Settings) {
        self.send(Message::Settings(Box::new(settings)));
    }

    /// Hands in what an upstream answered, and tells the core of it.
    pub(crate) fn hold_response(
        &self,
        attempt: attempt::Key,
        caller: Caller,
        held: HeldResponse,
        event: Event,
    ) {
        self.send(Message::Response(attempt, caller, held, event));
    }

    /// Hands in a request to be relayed; its answer comes on the receiver.
    pub(crate) fn submit_relay(
        &self,
        submission: Submission,
        original: forward::OriginalRequest,
    ) -> mpsc::UnboundedReceiver<Reply> {
        let (replies, receiver) = mpsc::unbounded_channel();
        let original = Arc::new(original);
        self.send(Message::Relay(Box::new(submission), original, replies));
        receiver
    }

    /// Hands in a word that an upstream said of itself and that is not known.
    pub(crate) fn report_unknown_header(&self, name: &str, upstream: &Arc<str>) {
        self.send(Message::UnknownHeader(name.to_owned(), upstream.clone()));
    }

    fn send(&self, message: Message) {
        // The core task ends only with the instance.
        let _ = self.sender.send(message);
    }
}

impl CoreOutputs {
    /// Those of an instance that tells others by frames, and keeps nothing of upstreams that ended.
    pub(crate) fn new(
        claims: mpsc::UnboundedSender<claimer::Order>,
        leaving: watch::Sender<LeavingUpstreams>,
        meter: meter::Meter,
        traffic: Traffic,
    ) -> Self {
        Self {
            claims,
            crash_history: watch::channel(account::Known::default()).0,
            gossip: mpsc::unbounded_channel().0,
            leaving,
            meter,
            quarantine_updates: mpsc::unbounded_channel().0,
            traffic,
        }
    }
}

impl Task {
    async fn run(mut self, mut receiver: mpsc::UnboundedReceiver<Message>) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut messages = Vec::with_capacity(BATCH_SIZE);
        loop {
            tokio::select! {
                count = receiver.recv_many(&mut messages, BATCH_SIZE) => {
                    if count == 0 {
                        return;
                    }
                    for message in messages.drain(..) {
                        self.handle_message(message);
                    }
                }
                _ = ticks.tick() => {
                    if let Some(suspended_ms) = self.clock.notice() {
                        warn!(suspended_ms; "resumed");
                    }
                    self.handle_event(Event::Tick);
                }
            }
        }
    }

    fn abort(&mut self, attempt: attempt::Key) {
        if let Some(task) = self.attempts.remove(&attempt) {
            task.abort();
        }
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::AbortStream(caller) => self.finish_caller(caller, Reply::Abort),
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
            Effect::Count(counter, count) => self.count(counter, count),
            Effect::Deliver {
                caller,
                cursor,
                position,
                tokens,
            } => {
                let reply = Reply::Tokens {
                    cursor,
                    position,
                    tokens,
                };
                self.send_reply(caller, reply);
            }
            Effect::Detach(attempt) => self.abort(attempt),
            Effect::EndStream(caller) => self.finish_caller(caller, Reply::EndStream),
            Effect::Fail {
                caller,
                kind,
                retry_after_ms,
            } => {
                let reply = Reply::Failed {
                    kind,
                    retry_after_ms,
                };
                self.finish_caller(caller, reply);
            }
            Effect::Finish {
                caller,
                position,
                reason,
            } => self.finish_caller(caller, Reply::Finished { position, reason }),
            Effect::ForwardEvent { bytes, caller } => self.send_reply(caller, Reply::Event(bytes)),
            Effect::ForwardHead(caller) => {
                if let Some(HeldResponse::Head(head)) = self.take_held(caller) {
                    self.send_reply(caller, Reply::Head(head));
                }
            }
            Effect::ForwardResponse(caller) => {
                if let Some(HeldResponse::Complete(response)) = self.take_held(caller) {
                    self.finish_caller(caller, Reply::Response(response));
                }
            }
            Effect::GossipDemand { demand, pressed } => {
                self.gossip(gossip::Told::Demand { demand, pressed });
            }
            Effect::GossipLeaving { life, upstream } => self.notify(life, &upstream),
            Effect::GossipLimit { life, rate } => {
                self.gossip(gossip::Told::Limit { life, rate });
            }
            Effect::GossipLost(upstream) => self.gossip(gossip::Told::Lost(upstream)),
            Effect::GossipPace(pace) => self.gossip(gossip::Told::Pace(pace)),
            Effect::GossipStream(sighting) => self.gossip(gossip::Told::Stream(sighting)),
            Effect::LogRequest(entry) => request_log::log_step(&entry),
            Effect::LogUpstream {
                born,
                change,
                silent_ms,
                upstream,
            } => request_log::log_upstream(change, born, silent_ms, &upstream),
            Effect::Observe(timing, millis) => {
                self.meter.time(meter::Timed::Core(timing), millis as f64);
            }
            Effect::Probe { address, upstream } => {
                let probe = probe::run(self.probes.clone(), self.driver.clone(), upstream, address);
                tokio::spawn(probe);
            }
            Effect::Quarantine(effect) => self.execute_quarantine(effect),
            Effect::Reply {
                body,
                caller,
                status,
            } => self.finish_caller(caller, Reply::Body { body, status }),
            Effect::Send {
                address,
                attempt,
                outbound,
                upstream,
            } => self.start_attempt(address, attempt, outbound, upstream),
        }
    }

    fn count(&self, counter: Counter, count: u64) {
        if let Counter::Invariant(invariant) = counter {
            error!("invariant broken: {invariant}");
        }
        self.meter.count(counter, count);
    }

    /// Carries out a decision on requests that end their upstreams.
    fn execute_quarantine(&self, effect: effect::Quarantine) {
        match effect {
            effect::Quarantine::CheckCrash { address, life } => {
                tokio::spawn(check::run(self.driver.clone(), address, life));
            }
            effect::Quarantine::Gossip(crashes) => self.gossip(gossip::Told::Ends(crashes)),
            effect::Quarantine::Publish(history) => {
                self.crash_history
                    .send_replace(account::Known::new(history));
            }
            effect::Quarantine::Refuse { ends, own, print } => {
                request_log::log_quarantine(print, &ends, own);
                if own {
                    self.persist_quarantine(keeper::Kept::Ends(print, ends));
                }
            }
            effect::Quarantine::Release { own, print } => {
                request_log::log_release(print);
                if own {
                    self.persist_quarantine(keeper::Kept::Nothing(print));
                }
            }
        }
    }

    fn persist_quarantine(&self, update: keeper::Kept) {
        // Where nothing is kept, nobody listens.
        let _ = self.quarantine_updates.send(update);
    }

    /// Has other instances told that an upstream is leaving, by the one way that there is to them.
    fn notify(&self, incarnation: Incarnation, name: &str) {
        self.gossip(gossip::Told::Leaving(incarnation));
        let now = Instant::now();
        self.leaving.send_modify(|leaving| {
            leaving.retain(|_, received_at| received_at.elapsed() < LEAVING_RETENTION);
            leaving.insert(name.to_owned(), now);
        });
    }

    /// Gives a caller the last step of its answer.
    fn finish_caller(&mut self, caller: Caller, reply: Reply) {
        if let Some(pending) = self.callers.remove(&caller) {
            // A caller that went away meanwhile needs no answer.
            let _ = pending.replies.send(reply);
        }
    }

    fn handle_event(&mut self, event: Event) {
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
            self.execute(effect);
        }
    }

    fn send_reply(&self, caller: Caller, reply: Reply) {
        if let Some(pending) = self.callers.get(&caller) {
            // A caller that went away meanwhile needs no answer.
            let _ = pending.replies.send(reply);
        }
    }

    fn gossip(&self, message: gossip::Told) {
        // Where there are no other instances to tell, nobody listens.
        let _ = self.gossip.send(message);
    }

    fn take_held(&mut self, caller: Caller) -> Option<HeldResponse> {
        self.callers.get_mut(&caller)?.held.take()
    }

    /// Starts the task that passes a relayed request on.
    fn start_forward(
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
            request_id: original.request_id.clone(),
            streams: *streams,
            upstream,
            upstream_name: name.clone(),
        };
        let request = original.upstream_request(address, outbound)?;
        Some(tokio::spawn(exchange.run(self.relays.clone(), request)))
    }

    fn start_attempt(
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
                    &self.unpooled
                };
                plain::request(address, &path, &payload, request).map(|request| {
                    tokio::spawn(plain::run(http.clone(), driver, attempt, upstream, request))
                })
            }
            outbound @ Outbound::Relay { .. } => {
                self.start_forward(address, attempt, &outbound, upstream)
            }
            outbound => {
                let attach = matches!(outbound, Outbound::Attach { .. });
                engine::request(address, outbound).map(|request| {
                    let http = self.unpooled.clone();
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
            None => self.driver.send_event(Event::Failed {
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

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Count(counter) => self.meter.count(counter, 1),
            Message::Event(event) => self.handle_event(event),
            Message::Relay(submission, original, replies) => {
                let pending = PendingCaller {
                    held: None,
                    original: Some(original),
                    replies,
                };
                self.callers.insert(submission.caller, pending);
                self.handle_event(Event::Submit(submission));
            }
            Message::Response(attempt, caller, held, event) => {
                // A late response of an aborted attempt must not replace the one that is held.
                if self.attempts.contains_key(&attempt)
                    && let Some(pending) = self.callers.get_mut(&caller)
                {
                    pending.held = Some(held);
                    self.handle_event(event);
                }
            }
            Message::Settings(settings) => self.core.configure(*settings),
            Message::Status(sender) => {
                let _ = sender.send(self.status());
            }
            Message::Submit(submission, replies) => {
                let pending = PendingCaller {
                    held: None,
                    original: None,
                    replies,
                };
                self.callers.insert(submission.caller, pending);
                self.handle_event(Event::Submit(submission));
            }
            Message::UnknownHeader(name, upstream) => {
                self.meter.count(Counter::NoticeUnknown, 1);
                self.unknown_headers.log_if_new(&name, &upstream);
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
