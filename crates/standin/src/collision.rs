//! Instances whose ports lie among those that the kernel gives to outgoing connections, which are killed and come back
//! beside thousands of short ones, or while one connection has a port of theirs.
//!
//! Guards against processes that end at their start since a port is taken for a while, and against requests that such a
//! process resets.

use super::*;
use arguments::number;
use client::Ask;
use patron::{Habit, Miss, Patron};
use soak::{Layout, Plan, Ports, Soak};
use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, Ordering},
};
use tokio::net::{TcpSocket, TcpStream, UdpSocket};

/// Name of the command.
pub(crate) const NAME: &str = "collide";

/// Time between two kills of instances, and the time for which one is away: the users' platform starts it again then.
const KILL: Duration = Duration::from_millis(300);
const DOWN: Duration = Duration::from_millis(500);

/// Time between two looks at processes.
const LOOK: Duration = Duration::from_millis(10);

/// Tasks that open short connections, and how long each connection lasts.
const CONNECTORS: usize = 100;
const OPEN: Duration = Duration::from_millis(20);

/// Callers, their pause between two tries, and that behind a connection that was refused.
const CALLERS: usize = 24;
const PAUSE: Duration = Duration::from_millis(20);
const REFUSED: Duration = Duration::from_millis(2);

/// Ends of processes that are told one by one.
const TOLD: usize = 2;

/// Time of a caller for one try.
const PATIENCE: Duration = Duration::from_secs(5);

/// Time behind the end of a connection that had a port within which the instance must serve.
const SERVES: Duration = Duration::from_secs(5);

/// A port of an instance that a connection has.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Held {
    /// Of callers.
    Callers,
    /// Of counters.
    Metrics,
    /// Of other instances, for connections.
    Peers,
    /// Of other instances, for datagrams.
    PeersDatagrams,
    /// Of readiness.
    Ready,
}

impl Held {
    /// Each of them.
    pub const ALL: [Self; 5] = [
        Self::Callers,
        Self::Metrics,
        Self::Peers,
        Self::PeersDatagrams,
        Self::Ready,
    ];

    /// The address by the settings of an instance.
    fn address(self, settings: &Value) -> Option<SocketAddr> {
        let hosted = &settings["hosted"];
        let address = match self {
            Self::Callers => &settings["listen"]["callers"],
            Self::Metrics => &hosted["metrics"],
            Self::Peers | Self::PeersDatagrams => &hosted["peers"],
            Self::Ready => &hosted["ready"],
        };
        address.as_str()?.parse().ok()
    }
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Processes that ended by themselves, a line each.
    pub ends: Vec<String>,
    /// Requests that were answered with success.
    pub served: usize,
    /// Requests whose connections ended without an answer at processes that were killed.
    pub reset_by_kills: usize,
    /// The same at processes that ended by themselves.
    pub reset_by_ends: usize,
    /// Short connections that were opened.
    pub short: usize,
    /// Starts of processes behind the first ones.
    pub starts: usize,
}

/// The life of a process, as the run has seen it.
#[derive(Clone, Copy, Debug)]
struct Life {
    by_itself: bool,
    instance: usize,
    started: Instant,
}

/// What callers have seen.
#[derive(Clone, Default)]
struct Seen {
    served: Arc<Mutex<usize>>,
    /// Instances at which connections ended without an answer, and when.
    resets: Arc<Mutex<Vec<(usize, Instant)>>>,
    stop: Arc<AtomicBool>,
}

fn start(plan: Plan) -> Soak {
    let layout = Layout {
        ports: Ports::Shared,
        ..Layout::default()
    };
    Soak::start_by(plan, layout)
}

/// Kills and starts instances beside short connections, this many a second.
pub async fn churn(plan: Plan, rate: u32) -> Outcome {
    let mut soak = start(plan);
    soak.wait_ready().await;
    let seen = Seen::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|index| tokio::spawn(call(soak.addresses(), None, index, plan.seed, seen.clone())))
        .collect();
    let short = open_short(rate, seen.stop.clone()).await;
    let end = Instant::now() + plan.lasts;
    let mut lives = Vec::new();
    let mut due: BTreeMap<usize, Instant> = BTreeMap::new();
    let mut next_kill = Instant::now();
    let mut outcome = Outcome::default();
    // The restarts that are due are waited for, so that the last starts count too.
    while Instant::now() < end || !due.is_empty() {
        let now = Instant::now();
        if now >= next_kill && now < end {
            next_kill = now + KILL;
            let instance = soak.random.random_range(0..soak.instances.len());
            soak.instances[instance].kill();
        }
        step(&mut soak, &mut lives, &mut due, end);
        sleep(LOOK).await;
    }
    sleep(DOWN).await;
    step(&mut soak, &mut lives, &mut due, end);
    seen.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.await;
    }
    outcome.starts = lives.len();
    for task in short {
        outcome.short += task.await.unwrap_or_default();
    }
    conclude(&soak, &lives, &seen, &outcome)
}

/// Has processes that are gone be started when it is time, and notes which ended by themselves.
fn step(soak: &mut Soak, lives: &mut Vec<Life>, due: &mut BTreeMap<usize, Instant>, end: Instant) {
    let now = Instant::now();
    for index in 0..soak.instances.len() {
        let ends = soak.instances[index].ends.len();
        if soak.instances[index].runs() {
            continue;
        }
        if soak.instances[index].ends.len() > ends {
            let mut of_it = lives.iter_mut().filter(|life| life.instance == index);
            if let Some(life) = of_it.next_back() {
                life.by_itself = true;
            }
        }
        if now < end {
            due.entry(index).or_insert(now + DOWN);
        }
    }
    let ready: Vec<usize> = due
        .extract_if(.., |_, at| *at <= now)
        .map(|(index, _)| index)
        .collect();
    for index in ready {
        lives.push(Life {
            by_itself: false,
            instance: index,
            started: now,
        });
        soak.instances[index].start();
    }
}

/// Starts an instance while a connection that somebody made has a port of it, for a time; whatever ended is started again.
pub async fn hold(plan: Plan, held: Held, lasts: Duration) -> Outcome {
    let mut soak = start(plan);
    soak.wait_ready().await;
    soak.instances[0].kill();
    let text = std::fs::read_to_string(&soak.instances[0].file).unwrap_or_default();
    let settings: Value = serde_json::from_str(&text).unwrap_or_default();
    let address = held.address(&settings).expect("settings hold addresses");
    let mut holder = Holder::new(held, address).await;
    let seen = Seen::default();
    let callers: Vec<_> = (0..CALLERS)
        .map(|index| {
            tokio::spawn(call(
                soak.addresses(),
                Some(0),
                index,
                plan.seed,
                seen.clone(),
            ))
        })
        .collect();
    let mut lives = Vec::new();
    let mut due = BTreeMap::from([(0, Instant::now())]);
    let released = Instant::now() + lasts;
    let end = released + SERVES;
    while Instant::now() < end {
        if Instant::now() >= released {
            drop(holder.take());
        }
        step(&mut soak, &mut lives, &mut due, end);
        let served = *seen.served.lock().expect("nobody panics while holding it");
        if Instant::now() >= released && served > 0 {
            break;
        }
        sleep(LOOK).await;
    }
    seen.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.await;
    }
    let outcome = Outcome {
        starts: lives.len(),
        ..Outcome::default()
    };
    conclude(&soak, &lives, &seen, &outcome)
}

/// A socket that has an address of an instance.
enum Holder {
    Connection(
        #[expect(dead_code, reason = "is held open")] TcpStream,
        #[expect(dead_code, reason = "is held open")] Host,
    ),
    Datagrams(#[expect(dead_code, reason = "is held open")] UdpSocket),
}

impl Holder {
    /// Takes the address; `None` if somebody else has it already.
    async fn new(held: Held, address: SocketAddr) -> Option<Self> {
        if held == Held::PeersDatagrams {
            return UdpSocket::bind(address).await.ok().map(Self::Datagrams);
        }
        let sink = host::free_address();
        let host = Host::new(1);
        host.spawn(accept(sink));
        let socket = TcpSocket::new_v4().expect("a socket can be made");
        // Connections of the process before may linger there. The end of this one is at once, so that the port is free
        // behind it.
        socket.set_reuseaddr(true).expect("a socket takes options");
        socket.set_zero_linger().expect("a socket takes options");
        socket.bind(address).ok()?;
        // Connections that get their port from the kernel do not share it.
        socket.set_reuseaddr(false).expect("a socket takes options");
        while TcpStream::connect(sink).await.is_err() {
            sleep(LOOK).await;
        }
        let stream = socket.connect(sink).await;
        Some(Self::Connection(stream.ok()?, host))
    }
}

/// Accepts connections and waits until each is closed.
async fn accept(address: SocketAddr) {
    let Ok(listener) = tokio::net::TcpListener::bind(address).await else {
        return;
    };
    while let Ok((mut connection, _)) = listener.accept().await {
        tokio::spawn(async move {
            let mut sink = tokio::io::sink();
            tokio::io::copy(&mut connection, &mut sink).await
        });
    }
}

/// Opens short connections, this many a second in all; each task says how many it opened.
async fn open_short(rate: u32, stop: Arc<AtomicBool>) -> Vec<tokio::task::JoinHandle<usize>> {
    let sink = host::free_address();
    tokio::spawn(accept(sink));
    while TcpStream::connect(sink).await.is_err() {
        sleep(LOOK).await;
    }
    let pause = Duration::from_secs(CONNECTORS as u64) / rate.max(1);
    let open = move |stop: Arc<AtomicBool>| async move {
        let mut opened = 0;
        while !stop.load(Ordering::Relaxed) {
            let connection = TcpStream::connect(sink).await;
            opened += usize::from(connection.is_ok());
            sleep(OPEN).await;
            drop(connection);
            sleep(pause.saturating_sub(OPEN)).await;
        }
        opened
    };
    (0..CONNECTORS)
        .map(|_| tokio::spawn(open(stop.clone())))
        .collect()
}

/// Asks an instance, or any, until it is told to stop.
async fn call(
    addresses: Vec<SocketAddr>,
    only: Option<usize>,
    index: usize,
    seed: u64,
    seen: Seen,
) {
    let mut random = Pcg64Mcg::seed_from_u64(seed ^ (index as u64) << 20);
    let patron = Patron::new(Habit::Fresh);
    for number in 0.. {
        if seen.stop.load(Ordering::Relaxed) {
            return;
        }
        let instance = only.unwrap_or_else(|| random.random_range(0..addresses.len()));
        let ask = Ask::again(&format!("again-{index}-{number}"));
        match patron.send(&ask, addresses[instance], PATIENCE).await {
            Ok(got) if got.status == StatusCode::OK && got.whole => {
                *seen.served.lock().expect("nobody panics while holding it") += 1;
            }
            Err(Miss::Closed) => {
                let mut resets = seen.resets.lock().expect("nobody panics while holding it");
                resets.push((instance, Instant::now()));
            }
            Err(Miss::Unreached) => {
                sleep(REFUSED).await;
                continue;
            }
            _ => {}
        }
        sleep(PAUSE).await;
    }
}

/// Adds what callers and processes have shown.
fn conclude(soak: &Soak, lives: &[Life], seen: &Seen, outcome: &Outcome) -> Outcome {
    let resets = seen.resets.lock().expect("nobody panics while holding it");
    let life = |instance: usize, at: Instant| {
        let mut lives = lives.iter();
        lives.rfind(|life| life.instance == instance && life.started <= at)
    };
    let by_end = |(instance, at): &&(usize, Instant)| {
        life(*instance, *at).is_some_and(|life| life.by_itself)
    };
    let reset_by_ends = resets.iter().filter(by_end).count();
    let ends = soak.instances.iter().enumerate().flat_map(|(index, one)| {
        let text = move |end: &daemon::End| format!("instance-{index}: {}", end.text);
        one.ends.iter().map(text)
    });
    Outcome {
        ends: ends.collect(),
        reset_by_ends,
        reset_by_kills: resets.len() - reset_by_ends,
        served: *seen.served.lock().expect("nobody panics while holding it"),
        ..outcome.clone()
    }
}

/// The command.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Instances that start at ports which outgoing connections have, or had a moment ago")
        .arg(number("seed", "Seed", "1"))
        .arg(number("runs", "Runs, each with the next seed", "1"))
        .arg(number("instances", "Instances, each a process", "6"))
        .arg(number(
            "seconds",
            "Time in which instances are killed",
            "20",
        ))
        .arg(number("rate", "Short connections a second", "400"))
        .arg(number(
            "hold-ms",
            "Time for which a connection has a port instead; 0 for none",
            "0",
        ))
}

/// Runs the command; whether no process ended by itself.
pub(crate) async fn main(arguments: &ArgMatches) -> bool {
    let number = |name| *arguments.get_one::<u64>(name).expect("has a default");
    let mut ends = 0;
    for seed in number("seed")..number("seed") + number("runs") {
        let plan = Plan {
            engines: 3,
            instances: number("instances") as usize,
            lasts: Duration::from_secs(number("seconds")),
            seed,
        };
        if number("hold-ms") == 0 {
            let outcome = churn(plan, number("rate") as u32).await;
            ends += tell(seed, "short connections", &outcome);
            continue;
        }
        for held in Held::ALL {
            let outcome = hold(plan, held, Duration::from_millis(number("hold-ms"))).await;
            ends += tell(seed, &format!("{held:?}"), &outcome);
        }
    }
    println!("{ends} ends");
    ends == 0
}

/// Prints what came of a run; how many processes ended by themselves.
fn tell(seed: u64, what: &str, outcome: &Outcome) -> usize {
    let Outcome {
        ends,
        reset_by_ends,
        reset_by_kills,
        served,
        short,
        starts,
    } = outcome;
    println!(
        "seed {seed}: {what}: {starts} starts, {} ends, {reset_by_ends} resets by ends, {reset_by_kills} by kills, {served} served, {short} short connections",
        ends.len(),
    );
    for end in ends.iter().take(TOLD) {
        println!("seed {seed}: {end}");
    }
    ends.len()
}
