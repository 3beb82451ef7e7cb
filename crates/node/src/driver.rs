//! The core task: owns the core, feeds events into it and executes its effects.

use super::*;
use tokio::sync::OwnedSemaphorePermit;
use wellplank_core::{
    buffer::Buffers, counter, members::View, open_request::OpenRequest, settings::AnswerLimits,
};

/// Interval between ticks of the core.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Interval at which the gauges of held bytes are set: they are looked at every few seconds, and setting them visits all
/// callers with unread bytes.
const GAUGE_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which peers are notified that an upstream is leaving.
const LEAVING_RETENTION: Duration = Duration::from_secs(3);

/// Names of upstreams that announced that they are leaving, and when the announcement arrived.
pub(crate) type LeavingUpstreams = BTreeMap<String, Instant>;

/// Maximum number of messages that are received at once.
const BATCH_SIZE: usize = 256;

/// Maximum number of open requests that the last line of a core task names: with IDs of 40 bytes it stays below 2 kB.
const NAMED_REQUESTS_MAX: usize = 32;

/// Message to the core task.
#[derive(Debug)]
pub(crate) enum Message {
    /// Increment a counter for a decision made outside the core.
    Count(Counter),
    /// An event for the core.
    Event(Event),
    /// An event of a stream, and its places in the queue.
    StreamEvent(Event, OwnedSemaphorePermit),
    /// A request to relay: its submission, the original request, and the channel for its replies with the outlet at its
    /// other end.
    Relay(
        Box<Submission>,
        Arc<forward::OriginalRequest>,
        mpsc::UnboundedSender<Reply>,
        Arc<Outlet>,
    ),
    /// The other instances, and their addresses by identifier.
    Members(View, HashMap<u64, SocketAddr>),
    /// Response head or complete response of an upstream, and the event that reports it to the core.
    Response(attempt::Key, Caller, HeldResponse, Event),
    /// New settings for the core.
    Settings(Box<wellplank_core::settings::Settings>),
    /// End the open requests, which are logged and counted: a graceful shutdown ends. The answer is their number.
    EndShutdown(oneshot::Sender<usize>),
    /// Request for the current state.
    Status(oneshot::Sender<Snapshot>),
    /// A request, and the channel for its replies.
    Submit(Box<Submission>, mpsc::UnboundedSender<Reply>),
    /// Request for the upstream to which a tunnel is to be opened. If it is to be declined, the answer is another instance
    /// that is known to open tunnels.
    TunnelTarget(
        Incarnation,
        oneshot::Sender<Result<TunnelTarget, Option<u64>>>,
    ),
    /// Name of an unknown platform header in a response, and the upstream that sent it.
    UnknownHeader(String, Arc<str>),
}

/// The upstream at the other end of a tunnel.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TunnelTarget {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// The time now.
    pub started_at: Time,
    /// Its key.
    pub upstream: upstream::Key,
}

/// Response data of an upstream, held until the core decides whether it is forwarded.
#[derive(Debug)]
pub(crate) enum HeldResponse {
    /// A complete response.
    Complete(Box<forward::CompleteResponse>),
    /// The response head of a stream.
    Head(Box<forward::Head>),
}

/// Reply to a request that did not run since the core task has ended.
const NOT_RUN: Reply = Reply::Failed {
    kind: Kind::Stopping,
    retry_after_ms: Some(shutdown::RETRY_AFTER_MS),
};

/// Reply to a request that may have run and whose response is lost with the core task.
const MAY_HAVE_RUN: Reply = Reply::Failed {
    kind: Kind::Internal,
    retry_after_ms: None,
};

/// A caller whose response is not finished.
struct PendingCaller {
    /// Whether the response head was sent to it, with the first tokens where the request is a generation.
    has_head: bool,
    /// Latest response data from an upstream that is not yet forwarded to the caller.
    held: Option<HeldResponse>,
    /// The original request; `None` unless it is relayed.
    original: Option<Arc<forward::OriginalRequest>>,
    /// Where its replies wait; `None` unless it is relayed.
    outlet: Option<Arc<Outlet>>,
    /// Channel to the caller's task.
    replies: mpsc::UnboundedSender<Reply>,
    /// Whether an attempt at an upstream was started; only known of a relayed request.
    was_sent: bool,
}

/// Where the events of a stream wait for its caller.
struct KeptOutlet {
    /// Whether all its events are queued.
    is_complete: bool,
    /// The outlet.
    outlet: Arc<Outlet>,
    /// Request ID of the stream.
    request_id: Arc<str>,
}

/// An attempt that is in progress.
struct RunningAttempt {
    /// Whether its events are not read; `None` unless it is relayed.
    is_paused: Option<watch::Sender<bool>>,
    /// The task that reads the response.
    task: JoinHandle<()>,
}

/// State of the core as reported to operators.
#[derive(Debug, Default)]
pub(crate) struct Snapshot {
    /// Counters with their names.
    pub counters: Vec<schema::Count>,
    /// Configuration revision in force; `None` before the first one arrives.
    pub revision: Option<u64>,
    /// Number of requests that are accepted but not finished.
    pub running: usize,
    /// Number of bytes that callers have not read.
    pub unread_bytes: u64,
    /// Known upstreams.
    pub upstreams: Vec<schema::UpstreamState>,
}

/// Handle for sending messages to the core task; clones share the task.
#[derive(Clone, Debug)]
pub struct Driver {
    /// Bound on all answers that are being read, or kept until they are written.
    answers: ReadBudget,
    next_caller: Arc<AtomicU64>,
    sender: mpsc::UnboundedSender<Message>,
}

/// Channels to the tasks that execute the effects which the core task does not execute itself.
pub(crate) struct CoreOutputs {
    /// Claims of idempotency keys to settle.
    pub claims: mpsc::UnboundedSender<claimer::PendingClaim>,
    /// Known crashes of upstreams.
    pub crash_history: watch::Sender<crash_history::LocalHistory>,
    /// Messages to other instances.
    pub gossip: mpsc::UnboundedSender<gossip::Message>,
    /// Upstreams that announced that they are leaving.
    pub leaving: watch::Sender<LeavingUpstreams>,
    /// Counters and histograms.
    pub meter: meter::Meter,
    /// Reads and writes of the names of versions.
    pub names: mpsc::UnboundedSender<wellplank_core::names::Call>,
    /// Changes of the quarantine to persist, so that it survives the loss of all instances.
    pub quarantine_updates: mpsc::UnboundedSender<store_writer::QuarantineUpdate>,
    /// Volume of control traffic.
    pub traffic: Traffic,
}

/// State of the core task.
struct Task {
    answers: AnswerLimits,
    attempts: HashMap<attempt::Key, RunningAttempt>,
    /// Messages that were received and are not handled yet, the last one first.
    batch: Vec<Message>,
    /// Bound on all answers that are being read.
    budget: ReadBudget,
    callers: HashMap<Caller, PendingCaller>,
    claims: mpsc::UnboundedSender<claimer::PendingClaim>,
    clock: Clock,
    /// When the configuration in force took effect; `None` before the first one.
    configured_at: Option<Time>,
    core: Core,
    crash_history: watch::Sender<crash_history::LocalHistory>,
    driver: Driver,
    /// When the gauges of held bytes were last set.
    gauges_set_at: Instant,
    gossip: mpsc::UnboundedSender<gossip::Message>,
    /// Kind of the message or event that is being handled, or was handled last.
    handling: &'static str,
    leaving: watch::Sender<LeavingUpstreams>,
    meter: meter::Meter,
    /// Where the events of streams wait for their callers, until all are written.
    outlets: HashMap<Caller, KeptOutlet>,
    /// Addresses of the other instances, by identifier.
    peers: HashMap<u64, SocketAddr>,
    pooled: HttpClient,
    probes: HttpClient,
    process_state: process_state::ProcessState,
    names: mpsc::UnboundedSender<wellplank_core::names::Call>,
    quarantine_updates: mpsc::UnboundedSender<store_writer::QuarantineUpdate>,
    receiver: mpsc::UnboundedReceiver<Message>,
    traffic: Traffic,
    unknown_headers: unknown_headers::UnknownHeaders,
    unpooled: HttpClient,
}

impl Driver {
    /// A new identifier for a caller's connection.
    pub(crate) fn new_caller(&self) -> Caller {
        Caller(self.next_caller.fetch_add(1, Ordering::Relaxed))
    }

    /// Increments a counter for a decision made outside the core.
    pub(crate) fn count(&self, counter: Counter) {
        self.send(Message::Count(counter));
    }

    /// Logs and counts an answer that was given up at its bound.
    pub(crate) fn report_too_long(&self, bound: http::Bound, from: SocketAddr) {
        log_too_long(bound, from);
        self.count(Counter::AnswerBound(bound.subject));
    }

    /// Waits until the core task has ended.
    pub(crate) async fn ended(&self) {
        self.sender.closed().await;
    }

    /// Queues an event for the core.
    pub(crate) fn send_event(&self, event: Event) {
        self.send(Message::Event(event));
    }

    /// Queues an event of a stream, which holds its places until the core has handled it.
    pub(crate) fn send_stream_event(&self, event: Event, places: OwnedSemaphorePermit) {
        self.send(Message::StreamEvent(event, places));
    }

    /// Ends every open request, as a graceful shutdown ends; returns how many there were.
    pub(crate) async fn end_shutdown(&self) -> usize {
        let (sender, receiver) = oneshot::channel();
        self.send(Message::EndShutdown(sender));
        receiver.await.unwrap_or_default()
    }

    /// Starts a graceful shutdown that ends after `left`.
    pub(crate) fn start_shutdown(&self, left: Duration) {
        let left_ms = left.as_millis() as u64;
        self.send_event(Event::ShutdownStarted { left_ms });
    }

    /// The state as reported to operators; empty if the core task has ended.
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
        let budget = ReadBudget::new(settings.core.answers.instance_bytes);
        let driver = Self {
            answers: budget.clone(),
            next_caller: Arc::default(),
            sender,
        };
        let seed = rand::random();
        let mut core = Core::new(settings.core.clone(), settings.secret, seed, clock.now())
            .in_data_centre(&settings.data_centre)
            .counting_unread();
        if settings.hosted.is_some() {
            core = core.restoring_streams().naming_versions();
        }
        let task = Task {
            answers: settings.core.answers,
            attempts: HashMap::new(),
            batch: Vec::with_capacity(BATCH_SIZE),
            budget,
            callers: HashMap::new(),
            claims: outputs.claims,
            clock,
            configured_at: None,
            core,
            crash_history: outputs.crash_history,
            driver: driver.clone(),
            gauges_set_at: Instant::now(),
            gossip: outputs.gossip,
            handling: "start",
            leaving: outputs.leaving,
            meter: outputs.meter,
            outlets: HashMap::new(),
            peers: HashMap::new(),
            pooled: HttpClient::pooled(),
            probes: HttpClient::metered(&outputs.traffic),
            process_state: process_state::ProcessState::new(),
            names: outputs.names,
            quarantine_updates: outputs.quarantine_updates,
            receiver,
            traffic: outputs.traffic,
            unknown_headers: unknown_headers::UnknownHeaders::default(),
            unpooled: HttpClient::unpooled(),
        };
        (driver, tokio::spawn(task.run()))
    }

    /// Passes a change of the fleet's members to the core.
    pub(crate) fn publish_members(&self, view: View, peers: HashMap<u64, SocketAddr>) {
        self.send(Message::Members(view, peers));
    }

    /// The upstream to which a tunnel is to be opened for another instance. If it is to be declined, another instance that is
    /// known to open tunnels.
    pub(crate) async fn tunnel_target(
        &self,
        upstream: Incarnation,
    ) -> Result<TunnelTarget, Option<u64>> {
        let (sender, receiver) = oneshot::channel();
        self.send(Message::TunnelTarget(upstream, sender));
        receiver.await.unwrap_or(Err(None))
    }

    /// Submits a request; the receiver yields its replies.
    pub(crate) fn submit(&self, submission: Submission) -> mpsc::UnboundedReceiver<Reply> {
        let (replies, receiver) = mpsc::unbounded_channel();
        self.send(Message::Submit(Box::new(submission), replies));
        receiver
    }

    /// Applies new settings to the core.
    pub(crate) fn configure(&self, settings: wellplank_core::settings::Settings) {
        self.send(Message::Settings(Box::new(settings)));
    }

    /// Passes response data of an upstream to the core task, and reports it to the core by `event`.
    pub(crate) fn hold_response(
        &self,
        attempt: attempt::Key,
        caller: Caller,
        held: HeldResponse,
        event: Event,
    ) {
        self.send(Message::Response(attempt, caller, held, event));
    }

    /// Whether answers wait for whole ones that callers do not read.
    pub(crate) fn is_held_up_by_answers(&self) -> bool {
        self.answers.is_used_up_by_kept()
    }

    /// Submits a request to relay; the outlet yields its replies.
    pub(crate) fn submit_relay(
        &self,
        submission: Submission,
        original: forward::OriginalRequest,
    ) -> Arc<Outlet> {
        let (replies, outlet) = Outlet::new();
        let original = Arc::new(original);
        let submission = Box::new(submission);
        let message = Message::Relay(submission, original, replies, outlet.clone());
        if let Err(unsent) = self.sender.send(message) {
            refuse(unsent.0);
        }
        outlet
    }

    /// Reports an unknown platform header in an upstream's response.
    pub(crate) fn report_unknown_header(&self, name: &str, upstream: &Arc<str>) {
        self.send(Message::UnknownHeader(name.to_owned(), upstream.clone()));
    }

    fn send(&self, message: Message) {
        // Sending fails only while the instance shuts down, since the core task runs until then.
        let _ = self.sender.send(message);
    }
}

impl Message {
    /// Name of its kind, or of the kind of its event, in logs.
    fn name(&self) -> &'static str {
        match self {
            Self::Count(_) => "count",
            Self::EndShutdown(_) => "end_shutdown",
            Self::Event(event) | Self::Response(_, _, _, event) | Self::StreamEvent(event, _) => {
                event.name()
            }
            Self::Members(..) => "members",
            Self::Relay(..) | Self::Submit(..) => "submit",
            Self::Settings(_) => "settings",
            Self::Status(_) => "status",
            Self::TunnelTarget(..) => "tunnel_target",
            Self::UnknownHeader(..) => "unknown_header",
        }
    }
}

impl Drop for Task {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.log_end();
            self.record_cuts();
            self.end_requests();
        }
    }
}

impl RunningAttempt {
    /// An attempt whose reading is never paused.
    fn unpaused(task: JoinHandle<()>) -> Self {
        Self {
            is_paused: None,
            task,
        }
    }
}

/// Logs an answer that was given up at its bound.
pub(crate) fn log_too_long(bound: http::Bound, from: SocketAddr) {
    let http::Bound { bytes, subject } = bound;
    let (bound, from) = (subject.to_string(), from.to_string());
    warn!(bound, bytes, from; "answer given up at its bound");
}

impl CoreOutputs {
    /// Outputs of an instance that sends frames over links to its peers: it neither gossips by datagram nor persists the
    /// quarantine, so these channels have no receiver.
    pub(crate) fn new(
        claims: mpsc::UnboundedSender<claimer::PendingClaim>,
        leaving: watch::Sender<LeavingUpstreams>,
        meter: meter::Meter,
        traffic: Traffic,
    ) -> Self {
        Self {
            claims,
            crash_history: watch::channel(crash_history::LocalHistory::default()).0,
            gossip: mpsc::unbounded_channel().0,
            leaving,
            meter,
            names: mpsc::unbounded_channel().0,
            quarantine_updates: mpsc::unbounded_channel().0,
            traffic,
        }
    }
}

impl Task {
    async fn run(mut self) {
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                count = self.receiver.recv_many(&mut self.batch, BATCH_SIZE) => {
                    if count == 0 {
                        return;
                    }
                    self.batch.reverse();
                    while let Some(message) = self.batch.pop() {
                        self.handle_message(message);
                    }
                }
                _ = ticks.tick() => {
                    if let Some(suspended_ms) = self.clock.detect_suspension() {
                        warn!(suspended_ms; "resumed");
                    }
                    self.process_state.record_tick();
                    self.report_reads();
                    self.handle_event(Event::Tick);
                    self.set_gauges();
                }
            }
        }
    }

    /// Logs what the core task was handling when it panicked, and the requests that end with it.
    fn log_end(&self) {
        let open = self.callers.values();
        let ids = open.filter_map(|pending| pending.original.as_ref());
        let ids = ids.map(|original| original.request_id.as_ref());
        let request_ids: Vec<&str> = ids.take(NAMED_REQUESTS_MAX).collect();
        let request_ids = request_ids.join(",");
        let event = self.handling;
        let requests = self.callers.len();
        let revision = self.core.revision();
        error!(event, requests, request_ids, revision; "core task ended");
    }

    /// Ends all open requests as a graceful shutdown ends, and returns how many there were. They are logged behind that, so
    /// that the lines delay no answer.
    fn end_shutdown(&mut self) -> usize {
        let open = self.open_requests();
        self.handle_event(Event::ShutdownEnded);
        for (id, request) in &open {
            request_log::log_open(id, request);
            self.count(Counter::OpenAtStop(request.stage), 1);
        }
        open.len()
    }

    /// The open requests, with the IDs that callers assigned to those that are relayed.
    fn open_requests(&self) -> Vec<(Arc<str>, OpenRequest)> {
        let id = |request: &OpenRequest| {
            let pending = self.callers.get(&request.caller);
            let original = pending.and_then(|pending| pending.original.as_ref());
            original.map_or_else(|| Arc::from(""), |original| original.request_id.clone())
        };
        let open = self.core.open_requests();
        open.map(|request| (id(&request), request)).collect()
    }

    /// Ends all open requests: begun responses as incomplete, and others with what is known of whether they ran. A request
    /// that may have run is never refused as not run.
    fn end_requests(&mut self) {
        self.receiver.close();
        for (_, pending) in self.callers.drain() {
            let reply = match pending {
                // Callers of other kinds of requests get their replies when the channel closes.
                PendingCaller { original: None, .. } => continue,
                PendingCaller { has_head: true, .. } => Reply::Abort,
                PendingCaller { was_sent: true, .. } => MAY_HAVE_RUN,
                PendingCaller { .. } => NOT_RUN,
            };
            // Sending fails if the caller has disconnected.
            let _ = pending.replies.send(reply);
        }
        self.batch.drain(..).for_each(refuse);
        while let Ok(message) = self.receiver.try_recv() {
            refuse(message);
        }
    }

    /// Counts and logs the streams that end with the core task.
    fn record_cuts(&self) {
        let cut = counter::Cut::CoreEnded;
        let begun = self.callers.iter().filter(|(_, pending)| pending.has_head);
        for (caller, _) in begun {
            self.count(Counter::StreamCut(cut), 1);
            if let Some(entry) = self.core.request_log(*caller, Step::Cut(cut)) {
                self.log_request(&entry);
            }
        }
    }

    fn abort(&mut self, attempt: attempt::Key) {
        if let Some(running) = self.attempts.remove(&attempt) {
            running.task.abort();
        }
    }

    /// Reports to the core what callers have read since the last tick. A report for each chunk would double the number
    /// of messages to the core task.
    fn report_reads(&mut self) {
        let mut reads = Vec::new();
        self.outlets.retain(|caller, KeptOutlet { outlet, .. }| {
            // Nothing else can release bytes once this is the last reference.
            let is_last = Arc::strong_count(outlet) == 1;
            let bytes = outlet.take_released();
            if bytes > 0 {
                let caller = *caller;
                reads.push(event::CallerRead { bytes, caller });
            }
            !is_last
        });
        if !reads.is_empty() {
            self.handle_event(Event::CallersRead(reads));
        }
    }

    fn set_gauges(&mut self) {
        if self.gauges_set_at.elapsed() >= GAUGE_INTERVAL {
            self.gauges_set_at = Instant::now();
            self.meter.set_buffers(self.core.buffers());
            self.process_state.report(&self.meter, self.core.running());
            self.meter.set_reading(self.budget.bytes());
        }
    }

    fn set_paused(&self, attempt: attempt::Key, is_paused: bool) {
        let running = self.attempts.get(&attempt);
        if let Some(sender) = running.and_then(|running| running.is_paused.as_ref()) {
            sender.send_replace(is_paused);
        }
    }

    fn observe(&self, timing: counter::Timing, ms: u64) {
        self.meter.observe(meter::Latency::Core(timing), ms as f64);
    }

    fn execute(&mut self, effect: Effect) {
        match effect {
            Effect::AbortStream(caller) => self.finish_caller(caller, Reply::Abort),
            Effect::Buffering(effect) => self.execute_buffering(effect),
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
            Effect::Claim { claim, request } => self.request_claim(claim, request),
            Effect::Connectivity(effect) => self.execute_connectivity(effect),
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
            Effect::CloseStream(caller) => self.finish_stream(caller, Reply::CloseStream),
            Effect::EndStream(caller) => self.finish_stream(caller, Reply::EndStream),
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
            Effect::Names(call) => drop(self.names.send(call)),
            Effect::FindStream(lookup) => self.gossip(gossip::Message::FindStream(lookup)),
            Effect::Finish {
                caller,
                position,
                reason,
            } => self.finish_caller(caller, Reply::Finished { position, reason }),
            Effect::ForwardEvent { bytes, caller } => self.send_reply(caller, Reply::Event(bytes)),
            Effect::ForwardHead(caller) => self.forward_head(caller),
            Effect::ForwardResponse(caller) => self.forward_response(caller),
            Effect::GossipDemand { demand, reach } => {
                self.gossip(gossip::Message::Demand { demand, reach });
            }
            Effect::GossipLeaving { incarnation, name } => self.notify(incarnation, &name),
            Effect::GossipLimit { incarnation, rate } => {
                self.gossip(gossip::Message::RateLimit { incarnation, rate });
            }
            Effect::GossipEnded(incarnations) => {
                self.gossip(gossip::Message::UpstreamsEnded(incarnations));
            }
            Effect::GossipBreakOff(upstream) => self.gossip_break_off(upstream),
            Effect::GossipLost(upstream) => self.gossip(gossip::Message::UpstreamLost(upstream)),
            Effect::GossipSpeed(pace) => self.gossip(gossip::Message::EngineSpeed(pace)),
            Effect::GossipStream { audience, record } => {
                self.gossip(gossip::Message::Stream(record, audience));
            }
            Effect::LogRequest(entry) => self.log_request(&entry),
            Effect::LogUpstream {
                born,
                change,
                silent_ms,
                upstream,
            } => request_log::log_upstream(change, born, silent_ms, &upstream),
            Effect::LogUpstreams { change, count } => request_log::log_upstreams(change, count),
            Effect::Observe(timing, ms) => self.observe(timing, ms),
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

    /// Ends a stream whose events are all queued.
    fn finish_stream(&mut self, caller: Caller, reply: Reply) {
        if let Some(kept) = self.outlets.get_mut(&caller) {
            kept.is_complete = true;
        }
        self.finish_caller(caller, reply);
    }

    /// Sends the held head of a stream's response to its caller.
    fn forward_head(&mut self, caller: Caller) {
        if let Some(HeldResponse::Head(head)) = self.take_held(caller) {
            self.keep_outlet(caller);
            self.send_reply(caller, Reply::Head(head));
        }
    }

    /// Sends the held complete response to its caller.
    fn forward_response(&mut self, caller: Caller) {
        if let Some(HeldResponse::Complete(response)) = self.take_held(caller) {
            self.finish_caller(caller, Reply::Response(response));
        }
    }

    fn count(&self, counter: Counter, count: u64) {
        if let Counter::Invariant(invariant) = counter {
            error!("invariant broken: {invariant}");
        }
        self.meter.count(counter, count);
    }

    /// Executes an effect concerning events that wait for callers.
    fn execute_buffering(&self, effect: effect::Buffering) {
        match effect {
            effect::Buffering::Discard(caller) => {
                if let Some(kept) = self.outlets.get(&caller) {
                    kept.outlet.discard();
                }
            }
            effect::Buffering::Pause(attempt) => self.set_paused(attempt, true),
            effect::Buffering::Resume(attempt) => self.set_paused(attempt, false),
        }
    }

    /// Executes an effect concerning this instance's own connections to upstreams.
    fn execute_connectivity(&self, effect: effect::Connectivity) {
        match effect {
            effect::Connectivity::Check {
                address,
                started_at,
                upstream,
            } => {
                let driver = self.driver.clone();
                tokio::spawn(check_connection(driver, address, started_at, upstream));
            }
            effect::Connectivity::Log { cut_off, unreached } => {
                request_log::log_connectivity(cut_off, unreached);
            }
        }
    }

    /// Executes an effect concerning requests that crash the upstreams that run them.
    fn execute_quarantine(&self, effect: effect::Quarantine) {
        match effect {
            effect::Quarantine::CheckCrash {
                address,
                incarnation,
            } => {
                tokio::spawn(crash_check::run(self.driver.clone(), address, incarnation));
            }
            effect::Quarantine::Gossip(crashes) => self.gossip(gossip::Message::Crashes(crashes)),
            effect::Quarantine::Publish(history) => {
                self.crash_history
                    .send_replace(crash_history::LocalHistory::new(history));
            }
            effect::Quarantine::Refuse {
                evidence,
                fingerprint,
                own,
            } => {
                request_log::log_quarantine(fingerprint, &evidence, own);
                if own {
                    self.persist_quarantine(store_writer::QuarantineUpdate::Quarantined(
                        fingerprint,
                        evidence,
                    ));
                }
            }
            effect::Quarantine::Release { fingerprint, own } => {
                request_log::log_release(fingerprint);
                if own {
                    self.persist_quarantine(store_writer::QuarantineUpdate::Cleared(fingerprint));
                }
            }
        }
    }

    fn persist_quarantine(&self, update: store_writer::QuarantineUpdate) {
        // The channel has no receiver on instances that do not persist the quarantine.
        let _ = self.quarantine_updates.send(update);
    }

    /// Tells other instances that an upstream accepted a connection and broke it off.
    fn gossip_break_off(&self, upstream: Incarnation) {
        self.gossip(gossip::Message::UpstreamBrokeOff(upstream));
    }

    /// Notifies other instances that an upstream is leaving, by gossip and by heartbeats; only one of the two is in use.
    fn notify(&self, incarnation: Incarnation, name: &str) {
        self.gossip(gossip::Message::UpstreamLeaving(incarnation));
        let now = Instant::now();
        self.leaving.send_modify(|leaving| {
            leaving.retain(|_, received_at| received_at.elapsed() < LEAVING_RETENTION);
            leaving.insert(name.to_owned(), now);
        });
    }

    /// Sends a caller its last reply and forgets it.
    fn finish_caller(&mut self, caller: Caller, reply: Reply) {
        if let Some(pending) = self.callers.remove(&caller) {
            // Sending fails if the caller has disconnected.
            let _ = pending.replies.send(reply);
        }
    }

    fn handle_event(&mut self, event: Event) {
        self.handling = event.name();
        if let Event::CallerGone(caller) = &event {
            self.callers.remove(caller);
            // A response in its queue would keep the outlet alive, since its chunk refers to it.
            if let Some(kept) = self.outlets.remove(caller) {
                kept.outlet.discard();
                self.record_unread_cut(&kept);
            }
        }
        if let Event::Answered { attempt, .. }
        | Event::StreamEnded { attempt, .. }
        | Event::Failed { attempt, .. }
        | Event::GenerationFinished { attempt, .. }
        | Event::Replied { attempt, .. } = &event
        {
            self.attempts.remove(attempt);
        }
        let now = self.clock.now();
        let revision = self.core.revision();
        let effects = self.core.handle(now, event);
        if self.core.revision() != revision {
            self.configured_at = Some(now);
        }
        for effect in effects {
            self.execute(effect);
        }
    }

    /// The configuration in force; `None` before the first one.
    fn configuration_in_force(&self) -> Option<request_log::ConfigurationInForce> {
        Some(request_log::ConfigurationInForce {
            age_ms: self.clock.now().since(self.configured_at?),
            revision: self.core.revision()?,
        })
    }

    /// Logs a step of a request, and records the age of the configuration in force if its stream was cut.
    fn log_request(&self, entry: &RequestLog) {
        let configuration = self.configuration_in_force();
        if matches!(entry.step, Step::Cut(_)) {
            self.observe_cut(configuration);
        }
        request_log::log_step(entry, configuration);
    }

    /// Records the age of the configuration in force when a stream was cut.
    fn observe_cut(&self, configuration: Option<request_log::ConfigurationInForce>) {
        if let Some(configuration) = configuration {
            let age_ms = configuration.age_ms as f64;
            self.meter
                .observe(meter::Latency::CutConfigurationAge, age_ms);
        }
    }

    /// Records that a caller's connection closed before it had taken a stream that the core had finished.
    fn record_unread_cut(&self, kept: &KeptOutlet) {
        if !kept.is_complete {
            return;
        }
        let configuration = self.configuration_in_force();
        self.count(Counter::StreamCut(counter::Cut::CallerGone), 1);
        self.observe_cut(configuration);
        request_log::log_unread_cut(&kept.request_id, configuration);
    }

    fn send_reply(&mut self, caller: Caller, reply: Reply) {
        if let Some(pending) = self.callers.get_mut(&caller) {
            pending.has_head |= matches!(reply, Reply::Head(_) | Reply::Tokens { .. });
            // Sending fails if the caller has disconnected.
            let _ = pending.replies.send(reply);
        }
    }

    fn request_claim(&self, claim: Claim, request: request::Key) {
        // Sending fails only while the instance shuts down.
        let _ = self.claims.send(claimer::PendingClaim {
            claim,
            commit_here: false,
            reply_to: claimer::ReplyTo::Request(request),
        });
    }

    fn gossip(&self, message: gossip::Message) {
        // The channel has no receiver on instances that do not gossip.
        let _ = self.gossip.send(message);
    }

    /// Counts the complete response that is held for a caller, if it is large.
    fn count_held(&mut self, attempt: attempt::Key, caller: Caller) {
        let Some(pending) = self.callers.get_mut(&caller) else {
            return;
        };
        let (Some(HeldResponse::Complete(response)), Some(outlet)) =
            (&mut pending.held, &pending.outlet)
        else {
            return;
        };
        let bytes = response.body.len();
        if bytes < outlet::COUNTED_BODY_BYTES {
            return;
        }
        response.body = outlet.chunk(std::mem::take(&mut response.body));
        self.keep_outlet(caller);
        let bytes = bytes as u64;
        self.handle_event(Event::ResponseHeld { attempt, bytes });
    }

    /// Keeps the outlet of a stream until all its events are written.
    fn keep_outlet(&mut self, caller: Caller) {
        let Some(pending) = self.callers.get(&caller) else {
            return;
        };
        if let (Some(original), Some(outlet)) = (&pending.original, &pending.outlet) {
            let kept = KeptOutlet {
                is_complete: false,
                outlet: outlet.clone(),
                request_id: original.request_id.clone(),
            };
            self.outlets.insert(caller, kept);
        }
    }

    fn take_held(&mut self, caller: Caller) -> Option<HeldResponse> {
        self.callers.get_mut(&caller)?.held.take()
    }

    /// Starts the task that forwards a relayed request to an upstream; `None` if the request can not be sent.
    fn start_forward(
        &self,
        address: SocketAddr,
        attempt: attempt::Key,
        outbound: &Outbound,
        upstream: upstream::Key,
    ) -> Option<RunningAttempt> {
        let Outbound::Relay {
            caller,
            path,
            streams,
            upstream: name,
            ..
        } = outbound
        else {
            return None;
        };
        let gateway = match path {
            connectivity::Path::Direct => None,
            connectivity::Path::Tunnel(instance) => Some(*self.peers.get(instance)?),
        };
        let original = self.callers.get(caller)?.original.clone()?;
        let (is_paused, paused) = watch::channel(false);
        let exchange = forward::Exchange {
            address,
            attempt,
            budget: self.budget.clone(),
            caller: *caller,
            driver: self.driver.clone(),
            gateway,
            incarnation: self.core.incarnation(upstream)?,
            limits: self.answers,
            paused,
            request_id: original.request_id.clone(),
            streams: *streams,
            upstream,
            upstream_name: name.clone(),
        };
        let request = original.upstream_request(address, outbound)?;
        Some(RunningAttempt {
            is_paused: Some(is_paused),
            task: tokio::spawn(exchange.run(request)),
        })
    }

    fn start_attempt(
        &mut self,
        address: SocketAddr,
        attempt: attempt::Key,
        outbound: Outbound,
        upstream: upstream::Key,
    ) {
        if let Outbound::Relay { caller, .. } = &outbound
            && let Some(pending) = self.callers.get_mut(caller)
        {
            pending.was_sent = true;
        }
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
                    let http = http.clone();
                    let call = plain::Call {
                        address,
                        attempt,
                        body_bytes_max: self.answers.body_bytes,
                        driver,
                        http,
                        share: self.budget.share(),
                        upstream,
                    };
                    RunningAttempt::unpaused(tokio::spawn(call.run(request)))
                })
            }
            outbound @ Outbound::Relay { .. } => {
                self.start_forward(address, attempt, &outbound, upstream)
            }
            outbound => {
                let generation = engine::Generation {
                    address,
                    attach: matches!(outbound, Outbound::Attach { .. }),
                    attempt,
                    driver,
                    event_bytes_max: self.answers.event_bytes,
                    http: self.unpooled.clone(),
                    upstream,
                };
                engine::request(address, outbound)
                    .map(|request| RunningAttempt::unpaused(tokio::spawn(generation.run(request))))
            }
        };
        match task {
            Some(running) => {
                self.attempts.insert(attempt, running);
            }
            None => self.driver.send_event(Event::Failed {
                attempt,
                failure: Failure::Rejected,
            }),
        }
    }

    /// Applies new settings; attempts that are in progress keep their own bounds.
    fn configure(&mut self, settings: wellplank_core::settings::Settings) {
        self.answers = settings.answers;
        self.budget.set_max(settings.answers.instance_bytes);
        self.core.configure(settings);
    }

    fn tunnel_target(&mut self, incarnation: Incarnation) -> Result<TunnelTarget, Option<u64>> {
        let target = self.core.tunnel_target(incarnation);
        let (upstream, address) = target.ok_or_else(|| self.core.known_gateway())?;
        Ok(TunnelTarget {
            address,
            started_at: self.clock.now(),
            upstream,
        })
    }

    fn status(&self) -> Snapshot {
        Snapshot {
            counters: self
                .meter
                .counts()
                .into_iter()
                .chain(self.traffic.counts())
                .chain(held_counts(self.core.buffers()))
                .chain([schema::Count {
                    name: "held.reading_bytes".into(),
                    value: self.budget.bytes(),
                }])
                .collect(),
            revision: self.core.revision(),
            running: self.core.running(),
            unread_bytes: self.core.buffers().total().answers,
            upstreams: self.core.upstreams().map(upstream_state).collect(),
        }
    }

    fn handle_message(&mut self, message: Message) {
        self.handling = message.name();
        match message {
            Message::Count(counter) => self.meter.count(counter, 1),
            Message::EndShutdown(sender) => {
                // The receiver is gone if the instance has ended meanwhile.
                let _ = sender.send(self.end_shutdown());
            }
            Message::Event(event) => self.handle_event(event),
            Message::Members(view, peers) => {
                self.peers = peers;
                self.meter.set_instances(view.count());
                self.handle_event(Event::Instances(view));
            }
            Message::Relay(submission, original, replies, outlet) => {
                let pending = PendingCaller {
                    has_head: false,
                    held: None,
                    original: Some(original),
                    outlet: Some(outlet),
                    replies,
                    was_sent: false,
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
                    self.count_held(attempt, caller);
                    self.handle_event(event);
                }
            }
            Message::Settings(settings) => self.configure(*settings),
            Message::Status(sender) => {
                let _ = sender.send(self.status());
            }
            Message::StreamEvent(event, places) => {
                self.handle_event(event);
                drop(places);
            }
            Message::Submit(submission, replies) => {
                let pending = PendingCaller {
                    has_head: false,
                    held: None,
                    original: None,
                    outlet: None,
                    replies,
                    was_sent: false,
                };
                self.callers.insert(submission.caller, pending);
                self.handle_event(Event::Submit(submission));
            }
            Message::TunnelTarget(incarnation, sender) => {
                // The receiver is gone if the other instance has closed the tunnel.
                let _ = sender.send(self.tunnel_target(incarnation));
            }
            Message::UnknownHeader(name, upstream) => {
                self.meter.count(Counter::NoticeUnknown, 1);
                self.unknown_headers.log_if_new(&name, &upstream);
            }
        }
    }
}

/// Answers the request of a message that the core task did not handle before it ended.
fn refuse(message: Message) {
    if let Message::Relay(_, _, replies, _) = message {
        // Sending fails if the caller has disconnected.
        let _ = replies.send(NOT_RUN);
    }
}

/// Connects to an upstream only to find out whether it can be reached from here.
async fn check_connection(
    driver: Driver,
    address: SocketAddr,
    started_at: Time,
    upstream: upstream::Key,
) {
    let connected = connection::connect(address).await.is_ok();
    driver.send_event(Event::ConnectionChecked {
        connected,
        started_at,
        upstream,
    });
}

/// What is held for callers and upstreams, by the names that `status` shows.
fn held_counts(buffers: &Buffers) -> Vec<schema::Count> {
    let count = |name: String, value: u64| schema::Count { name, value };
    let total = buffers.total();
    let mut counts = vec![
        count("held.answer_bytes".into(), total.answers),
        count("held.largest_answer_bytes".into(), buffers.largest()),
        count("held.paused_streams".into(), buffers.paused()),
        count("held.request_bytes".into(), total.requests),
    ];
    for (customer, held) in buffers.customers() {
        let name = |what: &str| format!("held.customer.{customer}.{what}");
        counts.push(count(name("answer_bytes"), held.answers));
        counts.push(count(name("request_bytes"), held.requests));
    }
    counts
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
