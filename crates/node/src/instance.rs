//! Start and stop of an instance with all of its tasks.

use super::*;
use caller_connections::Registry;
use caller_socket::SocketAcceptor;
use hosted::{CLOSE_TIME_MAX, REFUSAL_TIME};
use wellplank_core::connections::Bounds;

pub(crate) use signals::wait_for_termination;

/// Interval at which a stopping instance checks whether requests still run.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Bytes of unfinished heads of callers.
const HEADS_BYTES: u64 = 8 << 20;

/// How far a planned stop is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum StopPhase {
    /// No stop has begun.
    Serving,
    /// The instance is not ready, and serves the requests that arrive: load balancers lag.
    Draining,
    /// New requests are refused as not run; those that run are served.
    Refusing,
}

/// A running instance; dropping it aborts its tasks.
pub struct Instance {
    drain_requested: watch::Receiver<bool>,
    driver: Driver,
    server: salvo::server::ServerHandle,
    serving: JoinHandle<()>,
    settings: Settings,
    stop_phase: watch::Sender<StopPhase>,
    tasks: Vec<JoinHandle<()>>,
}

impl Drop for Instance {
    fn drop(&mut self) {
        self.server.stop_forceful();
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl Instance {
    /// Binds all addresses and starts all tasks of an instance.
    pub async fn start(settings: Settings) -> Result<Self, Error> {
        let ports = listener::OwnPorts::bind(&settings).await?;
        Self::serve(ports, settings)
    }

    /// Starts all tasks of an instance.
    fn serve(ports: listener::OwnPorts, settings: Settings) -> Result<Self, Error> {
        let clock = Clock::new();
        let bounds = Bounds {
            connections: caller_connections::bound(u64::MAX),
            heads_bytes: HEADS_BYTES,
        };
        let (_, limits) = watch::channel(platform::configuration::Limits::default());
        let store_timeout = Duration::from_millis(settings.store_timeout_ms);
        let traffic = Traffic::default();
        let (claims, claim_receiver) = mpsc::unbounded_channel();
        let (orders, revision_receiver) = mpsc::unbounded_channel();
        let (held, held_receiver) = watch::channel(revision::ActiveConfig::default());
        let (list, list_receiver) = watch::channel(Vec::new());
        let (peers, peers_receiver) = watch::channel(peer::Peers::new());
        let (stop_phase, stop_phase_receiver) = watch::channel(StopPhase::Serving);

        let (leaving, leaving_receiver) = watch::channel(driver::LeavingUpstreams::new());
        let meter = meter::Meter::new(settings.metrics);
        meter.count(Counter::ListenRetried, ports.retries);
        let connections = Registry::new(bounds, clock, meter.clone());
        let acceptor = SocketAcceptor::new(ports.callers, connections.clone(), limits)
            .map_err(|error| Error::Bind(Port::Callers, settings.listen.callers, error))?;
        let ends = driver::CoreOutputs::new(claims.clone(), leaving, meter, traffic.clone());
        let (driver, core) = Driver::start(&settings, clock, ends);
        let store = Store::new(settings.platform.store, store_timeout, &driver, &traffic);
        let claimer = claimer::Claimer {
            claims: claims.clone(),
            driver: driver.clone(),
            list: list_receiver.clone(),
            settings: settings.clone(),
            store: store.clone(),
        };
        let links = peer::Links {
            active_config: held_receiver.clone(),
            claims,
            config_commands: orders.clone(),
            driver: driver.clone(),
            leaving: leaving_receiver,
            peers,
            settings: settings.clone(),
            traffic: traffic.clone(),
        };
        let (drain, drain_requested) = watch::channel(false);
        let operators = operator::Service {
            active_config: held_receiver.clone(),
            config_commands: orders.clone(),
            drain,
            driver: driver.clone(),
            list: list_receiver.clone(),
            peers: peers_receiver,
            settings: settings.clone(),
            stop_phase: stop_phase_receiver.clone(),
        };
        let revisions = revision::Task {
            active_config: held,
            clock,
            driver: driver.clone(),
            list: list_receiver.clone(),
            store: store.clone(),
        };
        let router = caller::router(&settings, &driver, &connections, &stop_phase_receiver);
        let router = connections.holding(unanswered::counted(router));
        let server = acceptor.server();
        let handle = server.handle();
        let tasks = vec![
            core,
            tokio::spawn(claimer.run(claim_receiver)),
            tokio::spawn(instance_list::poll(
                settings.clone(),
                clock,
                driver.clone(),
                list,
                traffic,
            )),
            tokio::spawn(revisions.run(revision_receiver)),
            tokio::spawn(revision::watch_head(
                settings.clone(),
                store,
                list_receiver.clone(),
                orders,
                held_receiver,
            )),
            tokio::spawn(links.clone().accept(ports.peers)),
            tokio::spawn(links.connect(list_receiver)),
            tokio::spawn(serve_operators(operators, ports.operators)),
        ];
        let serving = tokio::spawn(server.serve(router));
        let address = settings.listen.callers.to_string();
        info!(address; "started");
        Ok(Self {
            drain_requested,
            driver,
            server: handle,
            serving,
            settings,
            stop_phase,
            tasks,
        })
    }

    /// Closes the connections of callers after the core task has ended.
    pub async fn close(mut self) {
        self.stop_phase.send_replace(StopPhase::Refusing);
        sleep(REFUSAL_TIME).await;
        self.close_connections(CLOSE_TIME_MAX).await;
    }

    /// Waits until the core task has ended.
    pub async fn core_ended(&self) {
        self.driver.ended().await;
    }

    async fn close_connections(&mut self, time_max: Duration) {
        self.server.stop_graceful(time_max);
        // The task can only end early by a panic, which is logged.
        let _ = (&mut self.serving).await;
    }

    /// Shuts down gracefully: reports that it is not ready, goes on serving running requests and, for `accept_ms`, new ones,
    /// and stops once no request has run for `settle_ms`. Each request has a deadline, so that the stop ends.
    pub async fn stop(mut self) {
        self.stop_phase.send_replace(StopPhase::Draining);
        let begun = Instant::now();
        let accept = Duration::from_millis(self.settings.accept_ms);
        let settle = Duration::from_millis(self.settings.settle_ms);
        let mut idle_since = Instant::now();
        while idle_since.elapsed() < settle {
            sleep(POLL_INTERVAL).await;
            if begun.elapsed() >= accept {
                self.stop_phase.send_replace(StopPhase::Refusing);
            }
            if self.driver.status().await.running > 0 {
                idle_since = Instant::now();
            }
        }
        // Nothing runs: a caller that neither sends nor reads must not hold up the exit for ever.
        let close_time_max = Duration::from_millis(self.settings.close_ms);
        self.close_connections(close_time_max).await;
    }

    /// Waits until an operator requests that the instance drain and stop.
    pub async fn wait_for_drain_request(&self) {
        let mut drain_requested = self.drain_requested.clone();
        if drain_requested
            .wait_for(|drain_requested| *drain_requested)
            .await
            .is_err()
        {
            // The operator server has ended: only a signal can stop the instance now.
            std::future::pending::<()>().await;
        }
    }
}

/// Logs the planned stop of an instance that waits for its ports: it has accepted nothing.
pub(crate) fn log_unstarted_stop() {
    info!("stopping");
    info!("stopped");
}

pub(crate) async fn serve_operators(service: operator::Service, socket: tokio::net::TcpListener) {
    let service = schema::operator_server::OperatorServer::new(service);
    let incoming = tonic::transport::server::TcpIncoming::from(socket).with_nodelay(Some(true));
    let served = tonic::transport::Server::builder()
        .add_service(service)
        .serve_with_incoming(incoming)
        .await;
    if let Err(error) = served {
        error!("operator server failed: {error}");
    }
}
