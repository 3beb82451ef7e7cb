//! An instance on the users' platform: its tasks, started and stopped together.

use super::*;
use salvo::fuse::{FuseAction, FuseConfig, FuseInfo};
use settings::Hosted;
use wellplank_core::{informer_io::KnownState, staleness::StalenessBound};

/// Time between two looks at whether a stopping instance may leave.
const LOOK: Duration = Duration::from_millis(50);

/// Time after a signal to stop before which the instance does not leave: the balancer sends new
/// callers for two of its looks, one second apart, and one second more is left for their requests.
const STAY: Duration = Duration::from_millis(3_500);

/// Time before the end of the grace time at which what still runs is cut.
const MARGIN: Duration = Duration::from_millis(150);

/// Time that a connection may rest or take for a head, over what the limits say: callers take up
/// connections that have rested for nearly as long, and a close must not cross a request.
const IDLE_MARGIN: f64 = 1.25;

/// The endpoint by which the platform learns whether the instance is ready.
struct Ready {
    known: watch::Receiver<KnownState>,
    stopping: relay::Stopping,
}

/// The endpoint of the page of counters.
struct Page(meter::Meter);

#[salvo::handler]
impl Page {
    fn handle(&self, response: &mut salvo::Response) {
        let _ = response.add_header(header::CONTENT_TYPE, "text/plain; version=0.0.4", true);
        let _ = response.write_body(self.0.render());
    }
}

#[salvo::handler]
impl Ready {
    fn handle(&self, response: &mut salvo::Response) {
        let configured = self.known.borrow().configuration.is_some();
        let ready = configured && self.stopping.borrow().is_none();
        caller::write_ready(response, ready);
    }
}

/// A running instance on the users' platform.
pub struct Instance {
    driver: Driver,
    grace: Duration,
    stop: watch::Sender<Option<relay::Stop>>,
}

/// Runs an instance until it is told to stop and has stopped. Its settings file is read again on
/// SIGHUP and when it has changed.
pub async fn run(path: PathBuf, settings: Settings, hosted: Hosted) -> Result<(), Error> {
    let mut instance = Instance::start(settings.clone(), hosted).await?;
    let mut reload = reload::Reload::new(path, settings);
    let terminated = instance::wait_for_termination();
    tokio::pin!(terminated);
    loop {
        tokio::select! {
            () = &mut terminated => break,
            settings = reload.next() => instance.configure(&settings),
        }
    }
    instance.stop().await;
    Ok(())
}

impl Instance {
    /// Starts every task of an instance.
    pub async fn start(settings: Settings, hosted: Hosted) -> Result<Self, Error> {
        let clock = Clock::new();
        let (account, ends_known) = watch::channel(account::Known::default());
        let (heard, hearing) = mpsc::unbounded_channel();
        let (kept, keeping) = mpsc::unbounded_channel();
        let (known, own) = watch::channel(KnownState::default());
        let (limits, limited) = watch::channel(platform::configuration::Limits::default());
        let (stop, stopping) = watch::channel(None);
        let (told, telling) = mpsc::unbounded_channel();
        let telling_others = told.clone();
        let meter = meter::Meter::new(settings.metrics);
        let bound = StalenessBound {
            bound_ms: hosted.apply_ms.min(hosted.leave_ms),
        };
        let client = feed::Client::new(hosted, bound, clock, meter.clone());
        let page = Page(meter.clone());
        let this = members::Own {
            data_centre: settings.data_centre.clone(),
            name: settings.instance.clone(),
        };
        let ends = driver::Ends {
            account,
            claims: mpsc::unbounded_channel().0,
            kept,
            leaving: watch::channel(driver::Leaving::new()).0,
            meter,
            told,
            traffic: Traffic::default(),
        };
        let (driver, _) = Driver::start(&settings, clock, ends);

        let ready = Ready {
            known: own.clone(),
            stopping: stopping.clone(),
        };
        let idle = limited.clone();
        let ready = Router::with_path("{**path}").goal(ready);
        serve(hosted.ready, ready, idle.clone()).await?;
        let endpoint = relay::Endpoint {
            driver: driver.clone(),
            limits: limited,
            stopping,
        };
        let callers = Router::with_path("{**path}").goal(endpoint);
        serve(settings.listen.callers, callers, idle.clone()).await?;
        let page = Router::with_path("metrics").get(page);
        serve(hosted.metrics, page, idle).await?;
        let gossip = gossip::Gossip {
            account: ends_known,
            client: client.clone(),
            driver: driver.clone(),
            heard,
            kept: keeping,
            known: own,
            link_mbps: hosted.link_mbps,
            listen: hosted.peers,
            own: this.clone(),
        };
        let members = gossip.start(telling_others.clone(), telling).await?;
        tokio::spawn(count(members.clone(), this.clone(), driver.clone()));
        let learner = learner::Learner {
            bound,
            client,
            clock,
            driver: driver.clone(),
            known,
            leave_ms: hosted.leave_ms,
            limits,
            members,
            own: this,
            told: telling_others,
        };
        tokio::spawn(learner.run(hearing));
        let address = settings.listen.callers.to_string();
        let data_centre = settings.data_centre.as_str();
        let peers = hosted.peers.to_string();
        let store = hosted.store.to_string();
        info!(address, data_centre, peers, store; "started");
        Ok(Self {
            driver,
            grace: Duration::from_millis(hosted.grace_ms),
            stop,
        })
    }

    /// Takes those of other settings that can change while it runs.
    pub fn configure(&mut self, settings: &Settings) {
        self.driver.configure(settings.core.clone());
        if let Some(hosted) = settings.hosted {
            self.grace = Duration::from_millis(hosted.grace_ms);
        }
    }

    /// Stops as planned: is no longer ready, goes on with what it has and what still comes, and
    /// leaves when nothing runs any more or the grace time ends.
    pub async fn stop(self) {
        let begun = Instant::now();
        let last = self.grace.saturating_sub(MARGIN);
        let end = begun + last;
        info!("stopping");
        self.stop.send_replace(Some(relay::Stop { begun, end }));
        loop {
            sleep(LOOK).await;
            let running = self.driver.status().await.running;
            let elapsed = begun.elapsed();
            if elapsed >= last || (running == 0 && elapsed >= STAY) {
                info!(running; "stopped");
                return;
            }
        }
    }
}

/// Tells the core which instances there are, for ever.
async fn count(mut members: watch::Receiver<members::Members>, own: members::Own, driver: Driver) {
    loop {
        let view = own.view(&members.borrow_and_update());
        driver.event(Event::Instances(view));
        if members.changed().await.is_err() {
            return;
        }
    }
}

/// Serves a router at an address for ever. New connections may rest as long as the limits in force say.
async fn serve(
    address: SocketAddr,
    router: Router,
    limits: watch::Receiver<platform::configuration::Limits>,
) -> Result<(), Error> {
    let acceptor = TcpListener::new(address)
        .try_bind()
        .await
        .map_err(|error| Error::Bind(address, std::io::Error::other(error)))?;
    let fuse = move |_: &FuseInfo| {
        let idle = limits.borrow().idle_timeout.mul_f64(IDLE_MARGIN);
        FuseAction::Accept(FuseConfig::disabled().with_http1_header_timeout(idle))
    };
    tokio::spawn(Server::new(acceptor).fuse_policy(fuse).serve(router));
    Ok(())
}
