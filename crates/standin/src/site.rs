//! A small site of the users' platform in one process: a store, workers and instances, each with a
//! runtime of its own, so that each can be ended like a process.

use super::*;
use client::{Got, Work};
use proxy::Proxy;
use shelf::Shelf;
use std::sync::{
    Mutex,
    atomic::{AtomicU64, Ordering},
};
use uplink::Uplink;
use wellplank_core::settings::UnreadLimits;
use worker::{Ledger, Worker};

/// Name of the pool that streams.
pub const ENGINES: &str = "engines";

/// Name of the pool that answers calls.
pub const DESK: &str = "desk";

/// Key of the customer.
pub const KEY: &str = "key-1";

/// Callers that ask an instance at the same time.
const CALLERS: usize = 8;

/// Pause between two requests of one caller.
const CALLER_PAUSE: Duration = Duration::from_millis(20);

/// Characters of an answer that are kept for a request that was not answered whole.
const SHORTFALL_CHARS: usize = 200;

/// Time that an instance has to be ready.
const PATIENCE: Duration = Duration::from_secs(20);

/// How many of each.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Whether the store answers at the start.
    pub away: bool,
    /// Workers that answer calls.
    pub desks: usize,
    /// Workers that stream; every second one is in another data centre.
    pub engines: usize,
    /// Time that an instance has to stop.
    pub grace_ms: u64,
    /// Instances.
    pub instances: usize,
    /// Whether each instance has a link of its own to each worker.
    pub links: bool,
    /// Limits of the instances on what waits for callers.
    pub unread: UnreadLimits,
    /// Versions of the software of the workers that stream, in turn; each has workers in both data centres.
    pub versions: &'static [&'static str],
}

impl Default for Plan {
    fn default() -> Self {
        Self {
            away: false,
            desks: 2,
            engines: 4,
            grace_ms: 8_000,
            instances: 1,
            links: false,
            unread: UnreadLimits::default(),
            versions: &[worker::VERSION],
        }
    }
}

/// One instance.
pub struct Member {
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Its runtime.
    pub host: Host,
    /// Its own links to the workers, if it has any.
    pub links: Vec<Uplink>,
    /// Where its counters are served.
    pub metrics: SocketAddr,
    /// Where other instances connect.
    pub peers: SocketAddr,
    /// Where it says whether it is ready.
    pub ready: SocketAddr,
    running: Option<wellplank_node::hosted::Instance>,
}

/// A request of [`Site::bring`] that was not answered whole.
#[derive(Clone, Debug)]
pub struct Shortfall {
    /// Time from the start of the site to the end of the request, in milliseconds.
    pub at_ms: u128,
    /// Start of the answer's body, or why no answer began.
    pub answer: String,
    /// Name of the request, which begins with the number of its instance.
    pub run: String,
    /// Status of the answer; `None` if none began.
    pub status: Option<StatusCode>,
    /// Time that the request took, in milliseconds.
    pub took_ms: u128,
}

/// A worker and its runtime.
pub struct Seat {
    /// Its runtime.
    pub host: Host,
    /// The worker.
    pub worker: Worker,
}

/// A running site.
pub struct Site {
    /// Requests that callers have brought so far.
    asked: AtomicU64,
    /// Workers that answer calls.
    pub desks: Vec<Seat>,
    /// Workers that stream.
    pub engines: Vec<Seat>,
    /// Instances.
    pub instances: Vec<Member>,
    /// What ran.
    pub ledger: Ledger,
    /// The store.
    pub shelf: Shelf,
    store: SocketAddr,
    /// Proxies between the instances and the store, one for each.
    pub stores: Vec<Proxy>,
    /// Runs the store and the proxies before it.
    host: Host,
    has_links: bool,
    shortfalls: Mutex<Vec<Shortfall>>,
    started: Instant,
    unread: UnreadLimits,
}

/// The configuration of a site.
pub fn configuration(version: u64) -> Value {
    let route = |name: &str, path: &str, kind: &str, service: &str, attempts: u32| {
        json!({
            "name": name, "host": "a.example", "path_prefix": path, "kind": kind,
            "timeout_ms": 10_000, "slo_ms": 1_000, "priority": 1, "service": service,
            "max_attempts": attempts, "public": false, "can_resume": kind == "streaming",
        })
    };
    json!({
        "version": version,
        "routes": [
            route("stream", "/stream/", "streaming", ENGINES, 5),
            route("again", "/again/", "idempotent", DESK, 2),
            route("once", "/once/", "non_idempotent", DESK, 1),
        ],
        "services": [
            {"name": ENGINES, "engine": {"kv_capacity": 55_000, "backups": true}},
            {"name": DESK},
        ],
        "limits": {"max_header_bytes": 16_384, "max_body_bytes": 10_000,
                   "header_timeout_ms": 500, "idle_timeout_ms": 15_000},
        "tenants": [{"name": "mill", "api_keys": [KEY]}],
    })
}

/// Settings of an instance at free addresses, with a store.
pub fn settings(index: usize, grace_ms: u64, store: SocketAddr) -> Value {
    let [callers, metrics, ready, peers] = std::array::from_fn(|_| host::free_address());
    json!({
        "core": { "probes": false },
        "data_centre": format!("dc-{}", index % 2),
        "hosted": {
            "grace_ms": grace_ms, "metrics": metrics, "peers": peers, "ready": ready,
            "store": store,
        },
        "instance": format!("instance-{index}"),
        "listen": { "callers": callers },
    })
}

/// Enters a worker in a store, as ready or leaving.
pub fn enter(shelf: &Shelf, worker: &Worker, pool: &str, data_centre: usize, state: &str) {
    let entry = json!({
        "service": pool, "address": worker.entered, "zone": format!("dc-{data_centre}"),
        "version": worker.version, "slots": worker.slots, "state": state, "cold_left_ms": 0, "call_seq": 0,
        "born": worker.born,
    });
    shelf.put(&format!("servers/{}", worker.name), &entry);
}

/// Runs a test against a site.
pub fn run<F: Future<Output = ()>>(plan: Plan, test: impl FnOnce(Site) -> F) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("the runtime starts");
    runtime.block_on(async { test(Site::start(plan).await).await });
    runtime.shutdown_background();
}

impl Site {
    /// Starts everything and waits until the instances are ready, if the store answers.
    pub async fn start(plan: Plan) -> Self {
        let shelf = Shelf::default();
        let store = host::free_address();
        let host = Host::new(1);
        host.spawn(shelf.clone().serve(store));
        // Instances must not start before the store listens: they would record an outage of it, and keep entries that go
        // missing for a grace period of 2 s.
        while tokio::net::TcpStream::connect(store).await.is_err() {
            sleep(Duration::from_millis(1)).await;
        }
        shelf.put("op/config", &configuration(1));
        shelf.away(plan.away);
        let mut site = Self {
            asked: AtomicU64::new(0),
            desks: Vec::new(),
            engines: Vec::new(),
            instances: Vec::new(),
            ledger: Ledger::default(),
            shelf,
            store,
            stores: Vec::new(),
            has_links: plan.links,
            host,
            shortfalls: Mutex::default(),
            started: Instant::now(),
            unread: plan.unread,
        };
        for index in 0..plan.engines {
            let version = plan.versions[index / 2 % plan.versions.len()];
            let seat = site.seat(&format!("engine-{index}"), ENGINES, index % 2, version);
            site.engines.push(seat);
        }
        for index in 0..plan.desks {
            let seat = site.seat(&format!("desk-{index}"), DESK, index % 2, worker::VERSION);
            site.desks.push(seat);
        }
        for index in 0..plan.instances {
            let member = site.member(index, plan.grace_ms).await;
            site.instances.push(member);
        }
        if !plan.away {
            site.wait_ready().await;
        }
        site
    }

    /// Enters a worker in the store, as ready or leaving.
    pub fn enter(&self, worker: &Worker, pool: &str, data_centre: usize, state: &str) {
        enter(&self.shelf, worker, pool, data_centre, state);
    }

    /// Has an engine that a request ended be gone as a process is, with all that ran there. Its entry stays.
    pub fn bury(&mut self, engine: usize) {
        self.engines[engine].host.kill();
    }

    /// Has another life of an engine that has ended begin at its place, under another name.
    pub fn revive(&mut self, engine: usize, life: usize) {
        let ended = &self.engines[engine].worker;
        let version = ended.version;
        self.shelf.remove(&format!("servers/{}", ended.name));
        let name = format!("engine-{engine}-{life}");
        self.engines[engine] = self.seat(&name, ENGINES, engine % 2, version);
    }

    /// Has a worker that answers calls leave.
    pub fn leave(&self, desk: usize) {
        self.enter(&self.desks[desk].worker, DESK, desk % 2, "draining");
    }

    /// Has a worker that streams end with its entry, and all that runs there.
    pub fn remove_engine(&mut self, engine: usize) {
        let name = self.engines[engine].worker.name.clone();
        self.bury(engine);
        self.shelf.remove(&format!("servers/{name}"));
    }

    /// Ends an instance at once, and starts it again under its name.
    pub async fn restart(&mut self, instance: usize) {
        self.instances[instance].host.kill();
        let member = self.member(instance, Plan::default().grace_ms).await;
        self.instances[instance] = member;
    }

    /// Starts one more instance.
    pub async fn join(&mut self) {
        let member = self
            .member(self.instances.len(), Plan::default().grace_ms)
            .await;
        self.instances.push(member);
        self.wait_ready().await;
    }

    /// Has callers ask an instance for some time, each one request behind the other; how many were answered whole, of how many.
    /// The names of their requests begin with the number of the instance.
    pub async fn bring(&self, instance: usize, work: Work, lasts: Duration) -> (usize, usize) {
        let callers = (0..CALLERS).map(|caller| self.ask_on(instance, work, caller, lasts));
        let counts = futures_util::future::join_all(callers).await;
        let sum = |all: (usize, usize), one: (usize, usize)| (all.0 + one.0, all.1 + one.1);
        counts.into_iter().fold((0, 0), sum)
    }

    /// One caller's part in that.
    async fn ask_on(
        &self,
        instance: usize,
        work: Work,
        caller: usize,
        lasts: Duration,
    ) -> (usize, usize) {
        let address = self.instances[instance].callers;
        let begun = Instant::now();
        let (mut whole, mut asked) = (0, 0);
        while begun.elapsed() < lasts {
            let number = self.asked.fetch_add(1, Ordering::Relaxed);
            let run = format!("i{instance}-{caller}-{number}");
            asked += 1;
            let sent = Instant::now();
            match work.ask(&run).try_open(address).await {
                Ok(response) => {
                    let got = Got::read(response, usize::MAX).await;
                    if got.whole && got.status == StatusCode::OK {
                        whole += 1;
                    } else {
                        self.record_shortfall(run, sent, Some(got.status), &got.body);
                    }
                }
                Err(error) => self.record_shortfall(run, sent, None, &format!("{error:?}")),
            }
            sleep(CALLER_PAUSE).await;
        }
        (whole, asked)
    }

    fn record_shortfall(
        &self,
        run: String,
        sent: Instant,
        status: Option<StatusCode>,
        answer: &str,
    ) {
        let shortfall = Shortfall {
            at_ms: self.started.elapsed().as_millis(),
            answer: answer.chars().take(SHORTFALL_CHARS).collect(),
            run,
            status,
            took_ms: sent.elapsed().as_millis(),
        };
        let mut shortfalls = self
            .shortfalls
            .lock()
            .expect("nobody panics while holding it");
        shortfalls.push(shortfall);
    }

    /// The requests of [`Self::bring`] that were not answered whole, a line each.
    pub fn shortfalls(&self) -> String {
        let shortfalls = self
            .shortfalls
            .lock()
            .expect("nobody panics while holding it");
        let lines = shortfalls
            .iter()
            .map(|shortfall| format!("{shortfall:?}\n"));
        lines.collect()
    }

    /// Waits until every instance is ready and knows the workers.
    pub async fn wait_ready(&self) {
        let end = Instant::now() + PATIENCE;
        while Instant::now() < end {
            let mut ready = 0;
            for member in &self.instances {
                ready += usize::from(member.is_ready().await);
            }
            let entered = self.shelf.keys("wellplank/instances/").len();
            if ready == self.instances.len() && entered >= ready {
                // Upstreams are read beside the configuration and a moment later at most; peers'
                // addresses are watched with a pause of two seconds.
                sleep(Duration::from_millis(300)).await;
                if self.instances.len() > 1 {
                    sleep(Duration::from_millis(2_200)).await;
                }
                return;
            }
            sleep(Duration::from_millis(20)).await;
        }
        panic!("the instances are not ready");
    }

    /// Starts an instance; at other addresses if another process took one of them meanwhile.
    async fn member(&mut self, index: usize, grace_ms: u64) -> Member {
        let links = self.links();
        let seen = self.store_seen_over(&links);
        let store = Proxy::new(host::free_address(), seen);
        self.host.spawn(store.clone().serve());
        let before = store.address;
        self.stores.push(store);
        loop {
            let mut settings = settings(index, grace_ms, before);
            settings["core"]["unread"] = json!({
                "customer_bytes": self.unread.customer_bytes,
                "instance_bytes": self.unread.instance_bytes,
                "request_bytes": self.unread.request_bytes,
            });
            // Other addresses are chosen at once below.
            settings["listen_ms"] = 0.into();
            let settings = wellplank_node::Settings::parse(&settings.to_string());
            let settings = settings.expect("the settings have no fault");
            let hosted = settings.hosted.expect("the settings are for the platform");
            let (callers, metrics, ready) = (settings.listen.callers, hosted.metrics, hosted.ready);
            let peers = hosted.peers;
            let host = Host::new(1);
            let start = wellplank_node::hosted::Instance::start(settings, hosted);
            match host.run(start).await {
                Some(Ok(running)) => {
                    return Member {
                        callers,
                        host,
                        links,
                        metrics,
                        peers,
                        ready,
                        running: Some(running),
                    };
                }
                Some(Err(wellplank_node::Error::Bind(..))) => {}
                other => panic!("the instance does not start: {:?}", other.map(Result::err)),
            }
        }
    }

    /// Links of one more instance to all workers; none if instances share their ways.
    fn links(&self) -> Vec<Uplink> {
        let seats = self.engines.iter().chain(&self.desks);
        let seats = seats.filter(|_| self.has_links);
        let links = seats.map(|seat| Uplink::new(host::free_address(), seat.worker.entered));
        let links: Vec<Uplink> = links.collect();
        for link in &links {
            self.host.spawn(link.clone().serve());
        }
        links
    }

    /// Address of the store for an instance that has these links.
    fn store_seen_over(&self, links: &[Uplink]) -> SocketAddr {
        if links.is_empty() {
            return self.store;
        }
        let addresses = links.iter().map(|link| (link.target, link.address));
        let address = host::free_address();
        let shelf = self.shelf.seen_over(addresses.collect());
        self.host.spawn(shelf.serve(address));
        address
    }

    /// Settings of an instance at free addresses.
    pub fn settings(&self, index: usize, grace_ms: u64) -> Value {
        settings(index, grace_ms, self.store)
    }

    fn seat(&self, name: &str, pool: &str, data_centre: usize, version: &'static str) -> Seat {
        let worker = Worker::new(host::free_address(), name, &self.ledger).of_version(version);
        let host = Host::new(1);
        host.spawn(worker.clone().serve());
        self.enter(&worker, pool, data_centre, "ready");
        Seat { host, worker }
    }
}

impl Member {
    /// Has all its links to workers do something else.
    pub fn set_links(&self, state: uplink::State) {
        for link in &self.links {
            link.set(state);
        }
    }

    /// Whether it says that it is ready.
    pub async fn is_ready(&self) -> bool {
        let uri = format!("http://{}/api/ready", self.ready);
        let request = hyper::Request::get(uri).body(Full::default());
        let request = request.expect("an address makes a uri");
        let response = http::client().request(request).await;
        response.is_ok_and(|response| response.status() == StatusCode::OK)
    }

    /// Stops it as planned and waits until it has stopped.
    pub async fn stop(&mut self) {
        if let Some(running) = self.running.take() {
            self.host.run(running.stop()).await;
        }
        self.host.kill();
    }
}
