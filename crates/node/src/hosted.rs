//! An instance on the users' platform: starts and stops its tasks.

use super::*;
use caller_connections::Registry;
use caller_socket::SocketAcceptor;
use listener::HostedPorts;
use salvo::fuse::{FuseAction, FuseConfig, FuseInfo};
use settings::Hosted;
use wellplank_core::{connections::Bounds, informer_io::KnownState, staleness::StalenessBound};

/// Interval between two checks whether connections are to be closed whose clients do not read.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Bounds on the connections of the platform, at the ports of readiness checks and of metrics.
const PLATFORM_BOUNDS: Bounds = Bounds {
    connections: 32,
    heads_bytes: 256 << 10,
};

/// Interval between two checks whether a stopping instance may exit.
const DRAIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Minimum time between the signal to stop and the exit: the load balancer sends new callers for up to two of its
/// readiness checks, which are one second apart, and a further second is reserved for their requests.
const DRAIN_TIME_MIN: Duration = Duration::from_millis(3_500);

/// Maximum time before the end of the grace period at which requests that are still open are ended: time for the callers of
/// all of them to be answered, for their connections to close and for the process to exit.
const END_MARGIN_MAX: Duration = Duration::from_millis(400);

/// Divisor of the grace period that gives this time where the period is short.
const END_MARGIN_DIVISOR: u32 = 8;

/// Divisor of this time that gives the most that it is spent on refusing requests which arrive.
const REFUSAL_TIME_DIVISOR: u32 = 4;

/// Divisor of this time that gives the part reserved for the exit behind the close of callers' connections.
const EXIT_TIME_DIVISOR: u32 = 4;

/// Factor by which the server's idle and header time-outs exceed the configured limit: callers reuse connections that
/// have been idle for nearly as long as it, and the server must not close one while a request is on its way.
const IDLE_TIMEOUT_FACTOR: f64 = 1.25;

/// Time for which an instance refuses the requests that arrive before it closes their connections: those that were on their way, in
/// the buffers of its sockets or on connections that callers reuse. It delays the restart.
pub(crate) const REFUSAL_TIME: Duration = Duration::from_millis(100);

/// Time that the connections of callers then have to take what was written and to close.
pub(crate) const CLOSE_TIME_MAX: Duration = Duration::from_millis(200);

/// The same at an idle exit, where the grace period leaves more: an instance short of processor time has not read yet what
/// callers sent some hundred milliseconds ago.
const IDLE_CLOSE_TIME_MAX: Duration = Duration::from_secs(1);

/// Open connections by their ports.
struct PortConnections {
    callers: Registry,
    metrics: Registry,
    ready: Registry,
}

/// Readiness check of the platform.
struct ReadinessEndpoint {
    known_state: watch::Receiver<KnownState>,
    stopping: relay::ShutdownReceiver,
}

/// Metrics in the Prometheus text format.
struct MetricsEndpoint(meter::Meter);

#[salvo::handler]
impl MetricsEndpoint {
    fn handle(&self, response: &mut salvo::Response) {
        let _ = response.add_header(header::CONTENT_TYPE, "text/plain; version=0.0.4", true);
        let _ = response.write_body(self.0.render());
    }
}

#[salvo::handler]
impl ReadinessEndpoint {
    fn handle(&self, response: &mut salvo::Response) {
        let is_configured = self.known_state.borrow().configuration.is_some();
        let ready = is_configured && self.stopping.borrow().is_none();
        caller::write_readiness(response, ready);
    }
}

impl PortConnections {
    fn new(hosted: &Hosted, clock: Clock, meter: &meter::Meter) -> Self {
        let parts = memory::Parts::of(hosted.memory_bytes);
        let callers = Bounds {
            connections: caller_connections::bound(hosted.descriptors).min(parts.connections),
            heads_bytes: parts.heads_bytes,
        };
        let registry = |bounds| Registry::new(bounds, clock, meter.clone());
        Self {
            callers: registry(callers),
            metrics: registry(PLATFORM_BOUNDS),
            ready: registry(PLATFORM_BOUNDS),
        }
    }
}

impl ReadinessEndpoint {
    /// Starts to answer the platform's readiness checks.
    fn serve(
        self,
        listener: tokio::net::TcpListener,
        limits: watch::Receiver<platform::configuration::Limits>,
        connections: &Registry,
    ) -> Result<Serving, Error> {
        let router = Router::with_path("{**path}").goal(self);
        serve(Port::Ready, listener, router, limits, connections)
    }
}

/// A running instance on the users' platform.
pub struct Instance {
    /// Serves callers.
    callers: Serving,
    /// Open connections of callers.
    connections: Registry,
    driver: Driver,
    gateway: tunnel::Gateway,
    grace_period: Duration,
    /// Names of tasks that panicked.
    panicked: mpsc::UnboundedReceiver<&'static str>,
    stop: watch::Sender<Option<relay::Shutdown>>,
}

/// A server that was started.
struct Serving {
    handle: salvo::server::ServerHandle,
    task: JoinHandle<()>,
}

/// Runs an instance until it has stopped after a termination signal. Reloads its settings file on SIGHUP and when the
/// file has changed.
pub async fn run(path: PathBuf, settings: Settings, hosted: Hosted) -> Result<(), Error> {
    let termination = instance::wait_for_termination();
    tokio::pin!(termination);
    // Changes of the file count from here: ports may be waited for.
    let mut settings_watcher = reload::SettingsWatcher::new(path, settings.clone());
    let start = Instance::start(settings, hosted);
    let mut instance = tokio::select! {
        // A signal that came before the ports were bound leads to a planned stop too.
        biased;
        instance = start => instance?,
        () = &mut termination => {
            instance::log_unstarted_stop();
            return Ok(());
        }
    };
    let driver = instance.driver.clone();
    loop {
        tokio::select! {
            () = &mut termination => break,
            // Without its core the instance would answer every request with an error; the platform starts another one.
            () = driver.ended() => {
                instance.close().await;
                return Err(Error::CoreEnded);
            }
            // The instance would follow the store or the others no more; what it has is answered first.
            Some(task) = instance.panicked.recv() => {
                instance.stop().await;
                return Err(Error::TaskEnded(task));
            }
            settings = settings_watcher.next() => instance.configure(&settings),
        }
    }
    instance.stop().await;
    Ok(())
}

impl Instance {
    /// Binds all ports, before anything connects to others, and starts all tasks of an instance.
    pub async fn start(settings: Settings, hosted: Hosted) -> Result<Self, Error> {
        let ports = HostedPorts::bind(&settings, &hosted).await?;
        Self::serve(ports, &settings, hosted)
    }

    /// Starts all tasks of an instance.
    fn serve(ports: HostedPorts, settings: &Settings, hosted: Hosted) -> Result<Self, Error> {
        let clock = Clock::new();
        let (tasks, panicked) = tasks::Tasks::new();
        let (crash_history_sender, crash_history_receiver) =
            watch::channel(crash_history::LocalHistory::default());
        let (heard, peer_reports) = mpsc::unbounded_channel();
        let (names_sender, name_calls) = mpsc::unbounded_channel();
        let (quarantine_sender, quarantine_receiver) = mpsc::unbounded_channel();
        let (known_state_sender, known_state) = watch::channel(KnownState::default());
        let (limits, limits_receiver) = watch::channel(platform::configuration::Limits::default());
        let (stop, stopping) = watch::channel(None);
        let (gossip_sender, gossip_receiver) = mpsc::unbounded_channel();
        let gossip_messages = gossip_sender.clone();
        let meter = meter::Meter::new(settings.metrics);
        meter.count(Counter::ListenRetried, ports.retries);
        let bound = StalenessBound {
            bound_ms: hosted.apply_ms.min(hosted.leave_ms),
        };
        let client = platform_store::Client::new(hosted, bound, clock, meter.clone());
        let metrics = Router::with_path("metrics").get(MetricsEndpoint(meter.clone()));
        let connections = PortConnections::new(&hosted, clock, &meter);
        let own = local_member(settings);
        let outputs = driver::CoreOutputs {
            claims: mpsc::unbounded_channel().0,
            crash_history: crash_history_sender,
            gossip: gossip_sender,
            leaving: watch::channel(driver::LeavingUpstreams::new()).0,
            meter,
            names: names_sender,
            quarantine_updates: quarantine_sender,
            traffic: Traffic::default(),
        };
        let (driver, _) = Driver::start(settings, clock, outputs);

        let gateway = tunnel::Gateway::new(driver.clone(), stopping.clone());
        let ready = ReadinessEndpoint {
            known_state: known_state.clone(),
            stopping: stopping.clone(),
        };
        ready.serve(ports.ready, limits_receiver.clone(), &connections.ready)?;
        let bodies_bytes = memory::Parts::of(hosted.memory_bytes).bodies_bytes;
        let endpoint = relay::Endpoint {
            bodies: ReadBudget::new(bodies_bytes),
            bodies_bytes_min: bodies_bytes,
            driver: driver.clone(),
            connections: connections.callers.clone(),
            limits: limits_receiver.clone(),
            shutdown: stopping,
        };
        let callers = serve_callers(ports.callers, endpoint, &tasks)?;
        let serving = serve_metrics(
            ports.metrics,
            hosted.metrics,
            metrics,
            limits_receiver,
            connections.metrics,
            driver.clone(),
        );
        tokio::spawn(serving);
        let gossip = gossip::Gossip {
            client: client.clone(),
            crash_history: crash_history_receiver,
            driver: driver.clone(),
            kept: quarantine_receiver,
            known: known_state,
            link_mbps: hosted.link_mbps,
            listen: hosted.peers,
            own: own.clone(),
            peer_reports: heard,
            name_calls,
            socket: ports.peer_datagrams,
        };
        let members = gossip.start(gossip_messages.clone(), gossip_receiver, &tasks);
        let publishing = publish_members(members.clone(), own.clone(), driver.clone());
        tasks.spawn("members", publishing);
        let (requests_sender, peer_requests) = mpsc::unbounded_channel();
        let responder = exchange::Responder::new(requests_sender, gateway.clone());
        tasks.spawn("responder", responder.run(ports.peer_connections));
        let store_sync = store_sync::StoreSync {
            bound,
            client,
            clock,
            driver: driver.clone(),
            gossip: gossip_messages,
            known_state: known_state_sender,
            leave_ms: hosted.leave_ms,
            limits,
            members,
            own,
            peer_requests,
        };
        tasks.spawn("store_sync", store_sync.run(peer_reports));
        log_start(settings, &hosted);
        Ok(Self {
            callers,
            connections: connections.callers,
            driver,
            gateway,
            grace_period: Duration::from_millis(hosted.grace_ms),
            panicked,
            stop,
        })
    }

    /// Closes the connections of callers after the core task has ended: reports that it is not ready, refuses requests that
    /// arrive as not run, and gives open responses time to be written.
    async fn close(mut self) {
        self.refuse_arrivals();
        sleep(REFUSAL_TIME).await;
        self.close_callers(CLOSE_TIME_MAX).await;
    }

    /// Applies those settings that can change while the instance runs.
    pub fn configure(&mut self, settings: &Settings) {
        self.driver.configure(settings.core.clone());
        if let Some(hosted) = settings.hosted {
            self.grace_period = Duration::from_millis(hosted.grace_ms);
        }
    }

    /// Shuts down gracefully: reports that it is not ready, continues to serve running and new requests, and returns when
    /// none is running any more, or the grace period is nearly over. What is open then is answered, begun streams are
    /// aborted, and connections have the rest of the period to take what was written.
    pub async fn stop(mut self) {
        let begun = Instant::now();
        let end_margin = END_MARGIN_MAX.min(self.grace_period / END_MARGIN_DIVISOR);
        let drain_time_max = self.grace_period.saturating_sub(end_margin);
        let end = begun + drain_time_max;
        info!("stopping");
        self.stop.send_replace(Some(relay::Shutdown {
            deadline: end,
            started_at: begun,
        }));
        self.driver.start_shutdown(drain_time_max);
        self.wait_until_idle(begun + DRAIN_TIME_MIN, end).await;
        self.refuse_arrivals();
        // Requests that arrived since the last check, and those still in the buffers of sockets.
        sleep(REFUSAL_TIME.min(end_margin / REFUSAL_TIME_DIVISOR)).await;
        self.wait_until_idle(Instant::now(), end).await;
        let open = self.driver.end_shutdown().await;
        let close_by = begun
            + self
                .grace_period
                .saturating_sub(end_margin / EXIT_TIME_DIVISOR);
        let close_time_max = close_by.saturating_duration_since(Instant::now());
        let is_idle_exit = close_time_max > end_margin;
        let wanted = if is_idle_exit {
            IDLE_CLOSE_TIME_MAX
        } else {
            end_margin
        };
        self.close_callers(close_time_max.min(wanted)).await;
        let driver::Snapshot {
            running,
            unread_bytes,
            ..
        } = self.driver.status().await;
        let tunnels = self.gateway.open();
        let took_ms = begun.elapsed().as_millis() as u64;
        let connections_peak = self.connections.peak();
        info!(connections_peak, open, running, took_ms, tunnels, unread_bytes; "stopped");
    }

    /// Waits until nothing is running and all responses are read, but not less than until `earliest` or longer than until
    /// `latest`.
    async fn wait_until_idle(&self, earliest: Instant, latest: Instant) {
        loop {
            let driver::Snapshot {
                running,
                unread_bytes,
                ..
            } = self.driver.status().await;
            let is_idle = running == 0 && unread_bytes == 0 && self.gateway.open() == 0;
            let now = Instant::now();
            if now >= latest || (is_idle && now >= earliest) {
                return;
            }
            let wait = DRAIN_CHECK_INTERVAL.min(latest - now);
            sleep(wait).await;
        }
    }

    /// Has requests that arrive from now on refused as not run.
    fn refuse_arrivals(&self) {
        let now = Instant::now();
        self.stop.send_replace(Some(relay::Shutdown {
            deadline: now,
            started_at: now,
        }));
    }

    /// Closes the connections of callers once their responses are written, within a time.
    async fn close_callers(&mut self, time_max: Duration) {
        self.callers.handle.stop_graceful(time_max);
        // The server ends by itself then; its task can only end early by a panic, which is logged.
        let _ = (&mut self.callers.task).await;
    }
}

/// This instance as others know it.
fn local_member(settings: &Settings) -> members::LocalMember {
    members::LocalMember {
        data_centre: settings.data_centre.clone(),
        name: settings.instance.clone(),
    }
}

/// Logs the addresses of an instance that has started.
fn log_start(settings: &Settings, hosted: &Hosted) {
    let address = settings.listen.callers.to_string();
    let data_centre = settings.data_centre.as_str();
    let peers = hosted.peers.to_string();
    let store = hosted.store.to_string();
    info!(address, data_centre, peers, store; "started");
}

/// Closes connections whose clients take nothing of whole answers, whenever other answers wait for these.
async fn close_stalled(connections: Registry, driver: Driver) {
    loop {
        sleep(STALL_CHECK_INTERVAL).await;
        if driver.is_held_up_by_answers() {
            connections.close_stalled();
        }
    }
}

/// Passes each change of the fleet's members to the core until the instance ends.
async fn publish_members(
    mut members: watch::Receiver<members::Members>,
    own: members::LocalMember,
    driver: Driver,
) {
    loop {
        let (view, peers) = {
            let members = members.borrow_and_update();
            (own.view(&members), members::peers(&members))
        };
        driver.publish_members(view, peers);
        if members.changed().await.is_err() {
            return;
        }
    }
}

/// Serves the metrics once their port is bound. An instance whose metrics nobody can read serves callers nevertheless.
async fn serve_metrics(
    listener: Option<tokio::net::TcpListener>,
    address: SocketAddr,
    router: Router,
    limits: watch::Receiver<platform::configuration::Limits>,
    connections: Registry,
    driver: Driver,
) {
    let listener = match listener {
        Some(listener) => listener,
        None => listener::wait_for_metrics(address, driver).await,
    };
    if let Err(error) = serve(Port::Metrics, listener, router, limits, &connections) {
        error!("the metrics are not served: {error}");
    }
}

/// Starts to serve callers.
fn serve_callers(
    listener: tokio::net::TcpListener,
    endpoint: relay::Endpoint,
    tasks: &tasks::Tasks,
) -> Result<Serving, Error> {
    let (limits, connections) = (endpoint.limits.clone(), endpoint.connections.clone());
    let closing = close_stalled(connections.clone(), endpoint.driver.clone());
    tasks.spawn("close_stalled", closing);
    let router = unanswered::counted(Router::with_path("{**path}").goal(endpoint));
    serve(Port::Callers, listener, router, limits, &connections)
}

/// Starts to serve a router at a port. The idle time-out of a new connection follows from the limits in force.
fn serve(
    port: Port,
    listener: tokio::net::TcpListener,
    router: Router,
    limits: watch::Receiver<platform::configuration::Limits>,
    connections: &Registry,
) -> Result<Serving, Error> {
    let address = listener.local_addr();
    let address = address.unwrap_or_else(|_| SocketAddr::from(([0, 0, 0, 0], 0)));
    let acceptor = SocketAcceptor::new(listener, connections.clone(), limits.clone());
    let acceptor = acceptor.map_err(|error| Error::Bind(port, address, error))?;
    let fuse = move |_: &FuseInfo| {
        let idle = limits.borrow().idle_timeout.mul_f64(IDLE_TIMEOUT_FACTOR);
        FuseAction::Accept(FuseConfig::disabled().with_http1_header_timeout(idle))
    };
    let server = acceptor.server().fuse_policy(fuse);
    let handle = server.handle();
    let task = tokio::spawn(server.serve(connections.holding(router)));
    Ok(Serving { handle, task })
}
