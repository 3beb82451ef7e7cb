//! A soak: instances as processes of their own on one machine, faults from outside of them, and checks
//! of what callers and upstreams see.
//!
//! Faults come from a seed, in series and overlapping: proxies before the store and each upstream delay,
//! reset, cut one way or silence connections; instances are stopped, paused, killed and started by
//! signals; upstreams end and come back as other lives; the configuration changes.

use super::*;
use client::{Ask, Got};
use daemon::{Daemon, Signal};
use host::Host;
use lateness::Probe;
use patron::{Habit, Patron};
use proxy::{Mode as Way, Proxy};
use shelf::Shelf;
use std::{
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
};
use tokio::task::JoinHandle;
use wellplank_core::incarnation::Incarnation;
use worker::{Ledger, Mode, Queue, Worker};

/// Time between two faults, at most.
const BETWEEN_MS: u64 = 400;

/// Time that everything has to be served again after the last fault.
const SETTLE: Duration = Duration::from_secs(12);

/// Callers of each instance.
const CALLERS: usize = 4;

/// Upstreams that answer calls.
pub(crate) const DESKS: usize = 3;

/// Versions of the software of upstreams, which serve side by side.
const VERSIONS: [&str; 2] = ["v1", "v2"];

/// Tries of a caller to have one answer whole.
const TRIES: usize = 60;

/// Bytes of an event of a caller that reads slowly: a whole stream is more than what stands in its connection.
const LONG_EVENT_BYTES: usize = 4_000;

/// Pause of a caller between two tries.
const PAUSE: Duration = Duration::from_millis(150);

/// Time within which a new configuration must be in force after the last fault.
const FORCE: Duration = Duration::from_secs(4);

/// Time that an instance has to end in order, in milliseconds.
pub(crate) const GRACE_MS: u64 = 4_000;

/// Time that a caller gives each request, in milliseconds, as [`Ask::new`] names it.
pub(crate) const LIMIT_MS: u64 = 9_000;

/// Time that instances have to answer at the start.
const READY: Duration = Duration::from_secs(30);

/// How large a soak is.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Upstreams that stream.
    pub engines: usize,
    /// Instances, each a process.
    pub instances: usize,
    /// Time in which faults come.
    pub lasts: Duration,
    /// Seed of the faults.
    pub seed: u64,
}

/// Where instances listen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Ports {
    /// Below the ports that outgoing connections are given.
    Apart,
    /// Among them.
    Shared,
}

/// What instances and upstreams are given.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Layout {
    /// Configuration by its version.
    pub(crate) configuration: fn(u64) -> Value,
    /// Data that the process of an instance may have, in kibibytes.
    pub(crate) data_kib: Option<u64>,
    /// Descriptors that the process of an instance may have.
    pub(crate) descriptors: Option<u64>,
    /// Upstreams that answer calls.
    pub(crate) desks: usize,
    /// Time that an instance has to end in order, in milliseconds.
    pub(crate) grace_ms: u64,
    /// Whether the upstream at a place is listed from its start.
    pub(crate) is_listed: fn(usize) -> bool,
    /// Memory of the machine of an instance, in megabytes, as its settings say; the users' smallest if they say nothing.
    pub(crate) memory_mb: Option<u64>,
    /// Where instances listen.
    pub(crate) ports: Ports,
    /// Queue of each upstream that streams; without one they refuse nothing.
    pub(crate) queue: Option<Queue>,
    /// Requests that each upstream has room for.
    pub(crate) slots: usize,
}

impl Default for Layout {
    fn default() -> Self {
        Self {
            configuration: site::configuration,
            data_kib: None,
            descriptors: None,
            desks: DESKS,
            grace_ms: GRACE_MS,
            is_listed: |_| true,
            memory_mb: None,
            ports: Ports::Apart,
            queue: None,
            slots: worker::SLOTS,
        }
    }
}

/// What came of a soak.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Requests that instances cut though their upstreams went on, where the mode counts them.
    pub cut: usize,
    /// Processes of instances that ended by themselves.
    pub ends: usize,
    /// Faults caused.
    pub faults: usize,
    /// Time in which the machine was slowed, where the mode counts what is cut: it excuses what was cut in it.
    pub late: Duration,
    /// Figures of the mode, a line each.
    pub notes: Vec<String>,
    /// Instances that cut more requests around planned work than the rule allows, where the mode counts them.
    pub over: usize,
    /// Requests of callers; the tries of one count once.
    pub requests: usize,
    /// Streams and calls answered whole.
    pub whole: usize,
    /// What must always hold and did not.
    pub violations: Vec<String>,
}

/// What callers and the soak share.
#[derive(Clone, Default)]
pub(crate) struct Shared {
    broken: Arc<Mutex<Vec<String>>>,
    /// Tries whose answers have ended, whether they were whole answers of any kind, and when they ended.
    ended: Arc<Mutex<Vec<(String, bool, Instant)>>>,
    /// Tries that were told not to have run.
    refused: Arc<Mutex<Vec<String>>>,
    pub(crate) requests: Arc<AtomicUsize>,
    /// Lives that said beside an answer that they leave, the instances that passed this on, and when.
    said: Arc<Mutex<Vec<(usize, Incarnation, Instant)>>>,
    /// Which instance each try was sent to, and when.
    senders: Arc<Mutex<HashMap<String, (usize, Instant)>>>,
    pub(crate) stop: Arc<AtomicBool>,
    pub(crate) whole: Arc<AtomicUsize>,
}

impl Shared {
    /// Notes that something did not hold.
    pub(crate) fn broken(&self, text: String) {
        self.broken
            .lock()
            .expect("nobody panics while holding it")
            .push(text);
    }

    /// Notes that a try goes to an instance.
    fn sends(&self, run: &str, instance: usize) {
        let mut senders = self.senders.lock().expect("nobody panics while holding it");
        senders.insert(run.to_owned(), (instance, Instant::now()));
    }

    /// Notes what the head of an answer to a try says of its upstream.
    fn hears(&self, run: &str, got: &Got) {
        let born = got.header("x-born").parse();
        let (Some((instance, _)), Ok(born)) = (self.sender(run), born) else {
            return;
        };
        if !got.header(worker::Remark::LEAVING).is_empty() {
            let life = Incarnation::new(got.header("x-worker"), born);
            let mut said = self.said.lock().expect("nobody panics while holding it");
            said.push((instance, life, Instant::now()));
        }
    }

    /// Notes how the answer to a try ended.
    fn ends(&self, run: &str, got: Option<&Got>) {
        let is_whole = got.is_some_and(|got| got.whole);
        let mut ended = self.ended.lock().expect("nobody panics while holding it");
        ended.push((run.to_owned(), is_whole, Instant::now()));
    }

    /// Tries whose answers have ended, whether they were whole answers of any kind, and when they ended.
    pub(crate) fn ended(&self) -> Vec<(String, bool, Instant)> {
        self.ended
            .lock()
            .expect("nobody panics while holding it")
            .clone()
    }

    /// Lives that said beside an answer that they leave, the instances that passed this on, and when.
    pub(crate) fn said(&self) -> Vec<(usize, Incarnation, Instant)> {
        self.said
            .lock()
            .expect("nobody panics while holding it")
            .clone()
    }

    /// The instance that a try went to, and when.
    pub(crate) fn sender(&self, run: &str) -> Option<(usize, Instant)> {
        let senders = self.senders.lock().expect("nobody panics while holding it");
        senders.get(run).copied()
    }

    fn refused(&self, run: &str) {
        let mut refused = self.refused.lock().expect("nobody panics while holding it");
        refused.push(run.to_owned());
    }
}

/// An upstream behind its proxy.
pub(crate) struct Seat {
    host: Host,
    life: u64,
    /// A proxy at another address, to which lives may move.
    other: Proxy,
    pub(crate) pool: &'static str,
    pub(crate) proxy: Proxy,
    pub(crate) worker: Worker,
}

/// A running soak.
pub(crate) struct Soak {
    begun: Instant,
    /// Where nothing listens.
    closed: SocketAddr,
    pub(crate) folder: PathBuf,
    host: Host,
    pub(crate) instances: Vec<Daemon>,
    layout: Layout,
    /// How late the machine runs the proxies before the store and the upstreams.
    pub(crate) lateness: Probe,
    pub(crate) ledger: Ledger,
    /// When lives of upstreams ended.
    pub(crate) lives_ended: HashMap<Incarnation, Instant>,
    pub(crate) random: Pcg64Mcg,
    /// Addresses of instances and of proxies before upstreams, and one where nothing listens.
    reserved: BTreeSet<SocketAddr>,
    pub(crate) seats: Vec<Seat>,
    pub(crate) shared: Shared,
    pub(crate) shelf: Shelf,
    seed: u64,
    /// Where the store listens.
    store: SocketAddr,
    /// Proxies between the instances and the store, one for each.
    pub(crate) stores: Vec<Proxy>,
    version: u64,
}

impl Drop for Soak {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            instance.kill();
        }
        let broken = self
            .shared
            .broken
            .lock()
            .is_ok_and(|broken| !broken.is_empty());
        if broken {
            eprintln!("logs are kept in {}", self.folder.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Runs one soak.
pub async fn run(plan: Plan) -> Outcome {
    let mut soak = Soak::start(plan);
    sleep(Duration::from_secs(2)).await;
    let callers = soak.call(plan.instances * CALLERS, Duration::ZERO);
    let end = Instant::now() + plan.lasts;
    let mut faults = 0;
    while Instant::now() < end {
        soak.cause();
        faults += 1;
        let wait = soak.random.random_range(10..BETWEEN_MS);
        sleep(Duration::from_millis(wait)).await;
    }
    soak.heal();
    soak.end(callers, faults).await
}

impl Soak {
    /// Starts callers that ask until they are told to stop, and rest between two requests.
    pub(crate) fn call(&self, count: usize, rest: Duration) -> Vec<JoinHandle<()>> {
        self.call_by(count, rest, |_| Habit::Fresh)
    }

    /// The same for callers that have habits, by their numbers.
    pub(crate) fn call_by(
        &self,
        count: usize,
        rest: Duration,
        habit: impl Fn(usize) -> Habit,
    ) -> Vec<JoinHandle<()>> {
        let caller = |index| Caller {
            addresses: self.addresses(),
            event_bytes: match habit(index) {
                Habit::Fresh | Habit::Kept => 0,
                Habit::Slow(_) => LONG_EVENT_BYTES,
            },
            index,
            patron: Patron::new(habit(index)),
            random: Pcg64Mcg::seed_from_u64(self.seed ^ (index as u64) << 20),
            rest,
            shared: self.shared.clone(),
        };
        (0..count)
            .map(|index| tokio::spawn(caller(index).run()))
            .collect()
    }

    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.instances.iter().map(|one| one.callers).collect()
    }

    /// Times from SIGTERM to the end of a process, and how many are over a grace period, which another platform would have ended.
    pub(crate) fn tell_exits(&self, grace: Duration) -> String {
        let exits = self.instances.iter().flat_map(|one| one.exits.clone());
        let mut exits: Vec<Duration> = exits.collect();
        exits.sort_unstable();
        let over = exits.iter().filter(|exit| **exit > grace).count();
        let median = exits.get(exits.len() / 2).copied().unwrap_or_default();
        let longest = exits.last().copied().unwrap_or_default();
        format!(
            "{} exits behind SIGTERM, median {median:.1?}, longest {longest:.1?}, {over} over {grace:?}",
            exits.len()
        )
    }

    /// Has the callers stop, now that no fault is left, and checks what came of it all.
    pub(crate) async fn end(mut self, callers: Vec<JoinHandle<()>>, faults: usize) -> Outcome {
        self.shared.stop.store(true, Ordering::Relaxed);
        self.check_configuration().await;
        for caller in callers {
            if tokio::time::timeout(SETTLE * 3, caller).await.is_err() {
                self.shared
                    .broken("a caller has no answer long after the last fault".into());
            }
        }
        self.check_runs();
        self.check_ends();
        let broken = self.shared.broken.lock();
        let violations = broken.expect("nobody panics while holding it").clone();
        Outcome {
            ends: self.instances.iter().map(|one| one.ends.len()).sum(),
            faults,
            requests: self.shared.requests.load(Ordering::Relaxed),
            violations,
            whole: self.shared.whole.load(Ordering::Relaxed),
            ..Outcome::default()
        }
    }

    pub(crate) fn start(plan: Plan) -> Self {
        Self::start_by(plan, Layout::default())
    }

    /// Starts everything by a layout.
    pub(crate) fn start_by(plan: Plan, layout: Layout) -> Self {
        let folder = std::env::temp_dir().join(format!("wellplank-soak-{}", Uuid::new_v4()));
        std::fs::create_dir_all(&folder).expect("a folder can be made");
        let host = Host::new(2);
        let shelf = Shelf::default();
        let store = host::free_address();
        host.spawn(shelf.clone().serve(store));
        shelf.put("op/config", &(layout.configuration)(1));
        let closed = host::free_address();
        let mut soak = Self {
            begun: Instant::now(),
            closed,
            folder,
            host,
            instances: Vec::new(),
            layout,
            lateness: Probe::default(),
            ledger: Ledger::default(),
            lives_ended: HashMap::new(),
            random: Pcg64Mcg::seed_from_u64(plan.seed),
            reserved: BTreeSet::from([closed]),
            seats: Vec::new(),
            shared: Shared::default(),
            shelf,
            seed: plan.seed,
            store,
            stores: Vec::new(),
            version: 1,
        };
        soak.host.spawn(soak.lateness.clone().run());
        for index in 0..plan.engines + layout.desks {
            let pool = if index < plan.engines {
                site::ENGINES
            } else {
                site::DESK
            };
            soak.seat(pool);
        }
        for index in 0..plan.instances {
            soak.instance(index);
        }
        soak
    }

    fn instance(&mut self, index: usize) {
        let store = Proxy::new(self.free_address(), self.store);
        self.host.spawn(store.clone().serve());
        let mut settings = site::settings(index, self.layout.grace_ms, store.address);
        if self.layout.ports == Ports::Shared {
            ephemeral::move_in(&mut settings, &mut self.random);
        }
        if let Some(memory_mb) = self.layout.memory_mb {
            settings["hosted"]["memory_mb"] = memory_mb.into();
        }
        let hosted = &settings["hosted"];
        for address in [
            &hosted["metrics"],
            &hosted["peers"],
            &hosted["ready"],
            &settings["listen"]["callers"],
        ] {
            let address = address.as_str().unwrap_or_default();
            self.reserved
                .insert(address.parse().expect("settings hold addresses"));
        }
        self.stores.push(store);
        let file = self.folder.join(format!("instance-{index}.json"));
        std::fs::write(&file, settings.to_string()).expect("a file can be written");
        let callers = settings["listen"]["callers"].as_str().unwrap_or_default();
        let callers = callers.parse().expect("settings hold addresses");
        let mut instance = Daemon::new(callers, file);
        instance.data_kib = self.layout.data_kib;
        instance.descriptors = self.layout.descriptors;
        instance.start();
        self.instances.push(instance);
    }

    fn seat(&mut self, pool: &'static str) {
        let index = self.seats.len();
        let [proxy, other] = std::array::from_fn(|_| {
            let proxy = Proxy::new(self.free_address(), self.closed);
            self.host.spawn(proxy.clone().serve());
            self.reserved.insert(proxy.address);
            proxy
        });
        let name = format!("{pool}-{index}-0");
        let worker = Worker::new(proxy.address, &name, &self.ledger);
        self.seats.push(Seat {
            host: Host::new(1),
            life: 0,
            other,
            pool,
            proxy,
            worker,
        });
        self.revive(index);
    }

    /// Has an upstream end, and another life of it begin at its address.
    pub(crate) fn revive(&mut self, index: usize) {
        self.end_life(index);
        let seat = &mut self.seats[index];
        self.shelf.remove(&format!("servers/{}", seat.worker.name));
        seat.life += 1;
        let name = format!("{}-{index}-{}", seat.pool, seat.life);
        self.begin(index, &name);
    }

    /// Has a life of an upstream begin at its place.
    fn begin(&mut self, index: usize, name: &str) {
        let address = self.free_address();
        let seat = &mut self.seats[index];
        let worker = Worker::new(address, name, &self.ledger)
            .behind(seat.proxy.address)
            .of_version(VERSIONS[index % VERSIONS.len()])
            .with_slots(self.layout.slots);
        seat.worker = match self.layout.queue {
            Some(queue) if seat.pool == site::ENGINES => worker.with_queue(queue),
            _ => worker,
        };
        seat.host = Host::new(1);
        seat.host.spawn(seat.worker.clone().serve());
        seat.proxy.aim(address);
        if (self.layout.is_listed)(index) {
            self.enter(index, "ready");
        }
    }

    /// The life of the upstream at a place.
    pub(crate) fn life(&self, index: usize) -> Incarnation {
        let worker = &self.seats[index].worker;
        Incarnation::new(&worker.name, worker.born)
    }

    /// Has an upstream end and start again at once under its name: it holds nothing of before.
    pub(crate) fn restart(&mut self, index: usize) {
        self.end_life(index);
        self.start_again(index);
    }

    /// Has the upstream at a place end; all its connections break.
    pub(crate) fn end_life(&mut self, index: usize) {
        let life = self.life(index);
        self.lives_ended.entry(life).or_insert_with(Instant::now);
        self.seats[index].host.kill();
    }

    /// Has an upstream that has ended start again under its name: it holds nothing of before.
    pub(crate) fn start_again(&mut self, index: usize) {
        let seat = &self.seats[index];
        self.ledger.forget(seat.proxy.address);
        let name = seat.worker.name.clone();
        self.begin(index, &name);
    }

    /// Has others reach the upstream at a place by its other address from its next life on. Nothing listens behind the one
    /// before.
    pub(crate) fn move_away(&mut self, index: usize) {
        let seat = &mut self.seats[index];
        self.ledger.forget(seat.proxy.address);
        seat.proxy.aim(self.closed);
        std::mem::swap(&mut seat.proxy, &mut seat.other);
    }

    /// An address that is free and belongs to no instance and no proxy before an upstream. Addresses are given out again behind a thousand, also those of
    /// instances that are away for a moment, which could not listen there any more.
    fn free_address(&self) -> SocketAddr {
        loop {
            let address = host::free_address();
            if !self.reserved.contains(&address) {
                return address;
            }
        }
    }

    /// Adds a line to a file in the folder of the logs.
    pub(crate) fn write(&self, file: &str, line: &str) {
        use std::io::Write as _;
        let file = std::fs::File::options()
            .append(true)
            .create(true)
            .open(self.folder.join(file));
        if let Err(error) = file.and_then(|mut file| writeln!(file, "{line}")) {
            eprintln!("a line can not be kept: {error}");
        }
    }

    /// Enters an upstream in the store, as ready or leaving.
    pub(crate) fn enter(&self, index: usize, state: &str) {
        let seat = &self.seats[index];
        site::enter(&self.shelf, &seat.worker, seat.pool, index % 3, state);
    }

    /// Waits until each instance answers a call, for [`READY`] at most.
    pub(crate) async fn wait_ready(&self) {
        let end = Instant::now() + READY;
        for address in self.addresses() {
            while Instant::now() < end {
                let run = format!("ready-{}", Uuid::new_v4());
                let got = Ask::again(&run).attempt(address).await;
                if got.is_some_and(|got| got.status == StatusCode::OK) {
                    break;
                }
                sleep(PAUSE).await;
            }
        }
    }

    /// Has a configuration come that differs from the one before in routes that nobody asks for and a time limit; its version.
    pub(crate) fn configure_idle(&mut self, idle: usize) -> u64 {
        self.version += 1;
        let mut configuration = (self.layout.configuration)(self.version);
        for number in 0..idle {
            let mut route = configuration["routes"][1].clone();
            route["name"] = json!(format!("idle-{number}"));
            route["path_prefix"] = json!(format!("/idle-{number}/"));
            if let Some(routes) = configuration["routes"].as_array_mut() {
                routes.push(route);
            }
        }
        configuration["limits"]["idle_timeout_ms"] = json!(15_000 + idle);
        self.shelf.put("op/config", &configuration);
        self.version
    }

    /// Has another configuration, which says the same, come.
    pub(crate) fn configure(&mut self) {
        self.version += 3;
        self.shelf
            .put("op/config", &(self.layout.configuration)(self.version));
    }

    /// Causes a fault, or ends one.
    fn cause(&mut self) {
        let seat = self.random.random_range(0..self.seats.len());
        let instance = self.random.random_range(0..self.instances.len());
        let way = Way::ALL[self.random.random_range(0..Way::ALL.len())];
        match self.random.random_range(0..16) {
            0..3 => self.seats[seat].proxy.set(way),
            3 => self.set_stores(way),
            4 => self.revive(seat),
            5 => self.seats[seat].worker.set(Mode::Silent),
            6 => self.seats[seat].worker.set(Mode::Refuse),
            7 => self.seats[seat].worker.set(Mode::Cut),
            8 => self.instances[instance].kill(),
            9 => self.instances[instance].signal(Signal::Pause),
            10 => self.instances[instance].signal(Signal::Terminate),
            11 => self.instances[instance].signal(Signal::Hangup),
            12 => self.configure(),
            13 => self.shelf.forget(),
            _ => self.mend(),
        }
    }

    /// Does the same to the connections of all instances to the store.
    fn set_stores(&self, way: Way) {
        for store in &self.stores {
            store.set(way);
        }
    }

    /// Ends some faults: paused and ended instances go on, and half of the rest is well again.
    fn mend(&mut self) {
        for instance in &mut self.instances {
            instance.signal(Signal::Continue);
            instance.start();
        }
        self.set_stores(Way::Open);
        for seat in &self.seats {
            if self.random.random_range(0..2) == 0 {
                seat.proxy.set(Way::Open);
                seat.worker.set(Mode::Good);
            }
        }
    }

    /// Ends every fault.
    pub(crate) fn heal(&mut self) {
        for seat in &self.seats {
            seat.proxy.set(Way::Open);
            seat.worker.set(Mode::Good);
        }
        self.mend();
    }

    /// A change after the last fault must be in force everywhere soon; instances that were told to stop
    /// are started again until then.
    async fn check_configuration(&mut self) {
        let mut changed = (self.layout.configuration)(self.version + 3);
        changed["routes"][2]["path_prefix"] = "/first/".into();
        let end = Instant::now() + SETTLE;
        self.shelf.put("op/config", &changed);
        let mut behind = self.addresses();
        while !behind.is_empty() && Instant::now() < end + FORCE {
            for instance in &mut self.instances {
                instance.start();
            }
            let mut still = Vec::new();
            for address in behind {
                let run = format!("check-{}", Uuid::new_v4());
                let got = Ask::new("/first/1", &run).attempt(address).await;
                if got.is_none_or(|got| got.status != StatusCode::OK) {
                    still.push(address);
                }
            }
            behind = still;
            sleep(PAUSE).await;
        }
        for address in behind {
            let text = format!("{address} does not serve by the last configuration");
            self.shared.broken(text);
        }
    }

    /// No process may end by itself.
    fn check_ends(&mut self) {
        let begun = self.begun;
        for (index, instance) in self.instances.iter_mut().enumerate() {
            instance.runs();
            for end in &instance.ends {
                let at_ms = end.at.saturating_duration_since(begun).as_millis();
                let text = &end.text;
                self.shared.broken(format!(
                    "instance-{index} ended by itself at {at_ms} ms: {text}"
                ));
            }
        }
    }

    /// What upstreams ran must fit what callers were told.
    fn check_runs(&self) {
        let mut runs: HashMap<String, usize> = HashMap::new();
        for run in self.ledger.runs() {
            let name = run.header("wellplank-request-id").to_owned();
            if !run.header("authorization").is_empty() {
                self.shared
                    .broken(format!("{name} carried the caller's key"));
            }
            *runs.entry(name).or_default() += 1;
        }
        for mixed in order::mixed(&self.ledger.runs()) {
            self.shared.broken(mixed);
        }
        for (run, count) in &runs {
            if run.starts_with("once-") && *count > 1 {
                self.shared.broken(format!("{run} ran {count} times"));
            }
        }
        let refused = self
            .shared
            .refused
            .lock()
            .expect("nobody panics while holding it");
        for run in refused.iter().filter(|run| run.starts_with("once-")) {
            if runs.contains_key(run) {
                self.shared
                    .broken(format!("{run} was told not to have run, and ran"));
            }
        }
    }
}

/// The place of an upstream, by its name.
pub(crate) fn seat_of(name: &str) -> usize {
    let mut parts = name.rsplit('-').skip(1);
    parts
        .next()
        .and_then(|place| place.parse().ok())
        .unwrap_or(usize::MAX)
}

/// Statuses that say that a request has not run.
pub(crate) const NOT_RUN: [u16; 4] = [408, 421, 429, 503];

/// A caller that asks again and again until it is told to stop.
struct Caller {
    addresses: Vec<SocketAddr>,
    /// Bytes that it asks each event to have; 0 asks for nothing.
    event_bytes: usize,
    index: usize,
    patron: Patron,
    random: Pcg64Mcg,
    /// Pause between two requests.
    rest: Duration,
    shared: Shared,
}

impl Caller {
    async fn run(mut self) {
        let mut count = 0;
        while !self.shared.stop.load(Ordering::Relaxed) {
            count += 1;
            self.shared.requests.fetch_add(1, Ordering::Relaxed);
            let name = format!("{}-{count}", self.index);
            let whole = match self.random.random_range(0..3) {
                0 => self.call("again", &name, TRIES).await,
                1 => self.call("once", &name, 1).await,
                _ => self.stream(&name).await,
            };
            self.shared
                .whole
                .fetch_add(usize::from(whole), Ordering::Relaxed);
            sleep(self.rest).await;
        }
    }

    /// The instance that a try goes to.
    fn address(&mut self, run: &str) -> SocketAddr {
        let instance = self.random.random_range(0..self.addresses.len());
        self.shared.sends(run, instance);
        self.addresses[instance]
    }

    /// Sends one try and reads its answer; how it ended is noted.
    async fn attempt(&self, ask: &Ask, run: &str, address: SocketAddr) -> Option<Got> {
        let got = self.patron.attempt(ask, address, PATIENCE).await;
        self.shared.ends(run, got.as_ref());
        got
    }

    /// Asks up to some times until there is an answer of an upstream.
    async fn call(&mut self, kind: &str, name: &str, tries: usize) -> bool {
        for number in 0..tries {
            let run = format!("{kind}-{name}-{number}");
            let path = if kind == "again" {
                "/again/1"
            } else {
                "/once/1"
            };
            let body = 10 + self.index;
            let ask = Ask::new(path, &run).body(body);
            let address = self.address(&run);
            let got = self.attempt(&ask, &run, address).await;
            if let Some(got) = got {
                self.shared.hears(&run, &got);
                if NOT_RUN.contains(&got.status.as_u16()) {
                    self.shared.refused(&run);
                }
                if got.status == StatusCode::OK && got.whole {
                    if got.body != worker::reply(&ask.body) {
                        self.shared
                            .broken(format!("{run} got the answer {}", got.body));
                    }
                    return true;
                }
            }
            sleep(PAUSE).await;
        }
        false
    }

    /// Reads a stream, coming back behind the last event at any instance, until it is whole.
    async fn stream(&mut self, name: &str) -> bool {
        let mut position = 0;
        let mut origin = String::new();
        let bytes = 1_000 + self.random.random_range(0..5_000);
        for number in 0..TRIES {
            let run = format!("stream-{name}-{number}");
            let mut ask = Ask::stream(&run).body(bytes);
            ask.body.extend_from_slice(name.as_bytes());
            if position > 0 {
                ask = ask.taking_up(&origin, position);
            }
            if self.event_bytes > 0 {
                ask = ask.with(worker::EVENT_BYTES, &self.event_bytes.to_string());
            }
            let address = self.address(&run);
            if let Some(got) = self.attempt(&ask, &run, address).await
                && got.status == StatusCode::OK
            {
                self.shared.hears(&run, &got);
                let events = position + 1..=worker::EVENTS;
                let due: String = events
                    .map(|event| worker::long_event(&ask.body, event, self.event_bytes))
                    .collect();
                let events = got.body.matches("\n\n").count() as u64;
                let right = due.starts_with(&got.body);
                if !right || (got.whole && got.body != due) {
                    let text = format!("{run} got {events} events that are not its own");
                    self.shared.broken(text);
                    return false;
                }
                if got.whole {
                    return true;
                }
                if position == 0 {
                    origin = run;
                }
                position += events;
            }
            sleep(PAUSE).await;
        }
        false
    }
}

/// Waits for an answer as long as a caller does.
const PATIENCE: Duration = Duration::from_secs(12);

impl Ask {
    /// Sends it and reads the whole answer; `None` if no answer begins.
    pub async fn attempt(&self, address: SocketAddr) -> Option<Got> {
        let sent = tokio::time::timeout(PATIENCE, self.try_open(address)).await;
        let response = sent.ok()?.ok()?;
        let read = Got::read(response, usize::MAX);
        tokio::time::timeout(PATIENCE, read).await.ok()
    }
}
