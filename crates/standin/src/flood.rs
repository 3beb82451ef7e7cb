//! An instance as a process before a crowd of clients that do not behave, beside one that does.
//!
//! Guards against a process that ends, runs out of memory or descriptors, or answers nobody any more because of what its clients
//! send or do not send. Nothing is measured that depends on the speed of the machine.

use super::*;
use client::Ask;
use daemon::{Daemon, Signal};
use patron::{Habit, Patron};
use soak::{Layout, Plan, Soak};
use std::sync::{
    Arc,
    atomic::{AtomicUsize, Ordering},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
    task::JoinHandle,
};

/// Upstreams that stream, and that answer calls.
const ENGINES: usize = 2;
const DESKS: usize = 2;

/// Data that a process is given at most, in kibibytes: a guard of the machine that the test runs on.
const DATA_KIB: u64 = 1 << 20;

/// Connections that a client makes, one after the other, where each of them is closed.
const CONNECTIONS: usize = 3;

/// Time for which a client goes on writing without anything being taken.
const STALL: Duration = Duration::from_secs(1);

/// Time for which the crowd is given to do all it does, and between two tries of the client that behaves.
const CROWD_PATIENCE: Duration = Duration::from_secs(30);
const PAUSE: Duration = Duration::from_millis(100);

/// Time in which a client that behaves must get an answer before the process counts as hung, and for one try.
const PATIENCE: Duration = Duration::from_mins(1);
const TRY: Duration = Duration::from_secs(10);

/// Time between two looks at the process.
const LOOK: Duration = Duration::from_millis(5);

/// Time for which a crowd that has done all it does is looked at.
const REST: Duration = Duration::from_millis(500);

/// What each client of a crowd does on a connection, before it keeps it open.
#[derive(Clone, Debug, Default)]
pub struct Script {
    /// What it writes first.
    pub opening: Vec<u8>,
    /// What it writes behind it, again and again.
    pub piece: Vec<u8>,
    /// Bytes after which it writes no more.
    pub bytes_max: usize,
    /// Whether it reads what it is answered.
    pub reads: bool,
}

/// A crowd, and the process before it.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Clients, each with a connection.
    pub clients: usize,
    /// Desired state by its version.
    pub configuration: fn(u64) -> Value,
    /// Crowds, one behind the other.
    pub crowds: usize,
    /// Descriptors that the process is given.
    pub descriptors: u64,
    /// Whether the process is told to end beside the last crowd.
    pub is_stopped: bool,
    /// Memory of its machine, in megabytes, as its settings say.
    pub memory_mb: u64,
    /// The port that they connect to.
    pub port: Port,
    /// What the client of a number does.
    pub script: fn(usize) -> Script,
}

/// A port of the instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Port {
    /// Requests of callers.
    Callers,
    /// Scrapes of the metrics.
    Metrics,
    /// Readiness checks.
    Ready,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Ordinary requests answered whole beside the crowd, and behind it.
    pub answered: [bool; 2],
    /// Descriptors of the process at their peak.
    pub descriptors: usize,
    /// Ends of the process that nobody asked for, a line each.
    pub ends: Vec<String>,
    /// Whether it has ended beside the crowd; `None` if it was not told to.
    pub has_stopped: Option<bool>,
    /// Resident memory of the process at its peak, in kibibytes.
    pub peak_kib: u64,
    /// The same before the crowd came.
    pub rest_kib: u64,
}

impl Outcome {
    /// Memory that the process took for the crowd, in kibibytes.
    pub fn growth_kib(&self) -> u64 {
        self.peak_kib - self.rest_kib
    }
}

/// What the clients of a crowd share.
#[derive(Clone)]
struct Crowd {
    address: SocketAddr,
    /// Clients that have done all they do.
    done: Arc<AtomicUsize>,
}

/// Runs a crowd before an instance.
pub async fn run(setting: Setting) -> Outcome {
    let plan = Plan {
        engines: ENGINES,
        instances: 1,
        lasts: Duration::ZERO,
        seed: 1,
    };
    let layout = Layout {
        configuration: setting.configuration,
        data_kib: Some(DATA_KIB),
        descriptors: Some(setting.descriptors),
        desks: DESKS,
        memory_mb: Some(setting.memory_mb),
        ..Layout::default()
    };
    let mut soak = Soak::start_by(plan, layout);
    soak.wait_ready().await;
    let mut outcome = Outcome::default();
    let callers = soak.instances[0].callers;
    assert!(is_answered(callers, "before").await, "the site serves");
    look(&soak.instances[0], &mut outcome);
    outcome.rest_kib = outcome.peak_kib;

    let address = match setting.port {
        Port::Callers => callers,
        Port::Metrics => soak.instances[0].hosted("metrics"),
        Port::Ready => soak.instances[0].hosted("ready"),
    };
    outcome.answered = [true; 2];
    for number in 1..=setting.crowds {
        let (crowd, clients) = Crowd::gather(address, &setting);
        crowd
            .watch(&setting, &soak.instances[0], &mut outcome)
            .await;
        if setting.is_stopped && number == setting.crowds {
            outcome.has_stopped = Some(stop(&mut soak.instances[0]).await);
        } else {
            outcome.answered[0] &= is_answered(callers, "beside").await;
        }
        look(&soak.instances[0], &mut outcome);
        for client in clients {
            client.abort();
            let _ = client.await;
        }
        if outcome.has_stopped.is_none() {
            outcome.answered[1] &= is_answered(callers, "behind").await;
            look(&soak.instances[0], &mut outcome);
        }
    }
    soak.instances[0].runs();
    let ends = soak.instances[0].ends.iter();
    outcome.ends = ends.map(|end| end.text.clone()).collect();
    outcome
}

/// Tells a process to end in order; whether it ends by itself.
async fn stop(daemon: &mut Daemon) -> bool {
    daemon.signal(Signal::Terminate);
    let end = Instant::now() + PATIENCE;
    while daemon.runs() && Instant::now() < end {
        sleep(PAUSE).await;
    }
    !daemon.runs()
}

/// Whether an ordinary request is answered whole, by one try of several.
async fn is_answered(address: SocketAddr, name: &str) -> bool {
    let patron = Patron::new(Habit::Fresh);
    let end = Instant::now() + PATIENCE;
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let ask = Ask::again(&format!("ordinary-{name}-{number}"));
        let got = patron.attempt(&ask, address, TRY).await;
        if got.is_some_and(|got| got.status == StatusCode::OK && got.whole) {
            return true;
        }
        sleep(PAUSE).await;
    }
    false
}

/// Notes what the process uses.
fn look(daemon: &Daemon, outcome: &mut Outcome) {
    let Some(id) = daemon.process_id() else {
        return;
    };
    if let Some(peak_kib) = process::peak_kib(id) {
        outcome.peak_kib = outcome.peak_kib.max(peak_kib);
    }
    if let Ok(entries) = std::fs::read_dir(format!("/proc/{id}/fd")) {
        outcome.descriptors = outcome.descriptors.max(entries.count());
    }
}

impl Crowd {
    /// Has the clients of a crowd connect to an address.
    fn gather(address: SocketAddr, setting: &Setting) -> (Self, Vec<JoinHandle<()>>) {
        let crowd = Self {
            address,
            done: Arc::default(),
        };
        let clients = (0..setting.clients)
            .map(|number| tokio::spawn(crowd.clone().attend((setting.script)(number))))
            .collect();
        (crowd, clients)
    }

    /// Looks at the process until the clients have done all they do, and for some time behind it.
    async fn watch(&self, setting: &Setting, daemon: &Daemon, outcome: &mut Outcome) {
        let end = Instant::now() + CROWD_PATIENCE;
        while self.done.load(Ordering::Relaxed) < setting.clients && Instant::now() < end {
            look(daemon, outcome);
            sleep(LOOK).await;
        }
        let end = Instant::now() + REST;
        while Instant::now() < end {
            look(daemon, outcome);
            sleep(LOOK).await;
        }
    }

    /// Does what the script says on several connections, and keeps the last one open.
    async fn attend(self, script: Script) {
        for number in 1..=CONNECTIONS {
            let connect = tokio::time::timeout(STALL, TcpStream::connect(self.address));
            let Ok(Ok(mut connection)) = connect.await else {
                continue;
            };
            let is_open = script.act(&mut connection).await;
            if number == CONNECTIONS || is_open {
                self.done.fetch_add(1, Ordering::Relaxed);
                Self::keep(connection, script.reads).await;
                return;
            }
        }
        self.done.fetch_add(1, Ordering::Relaxed);
    }

    /// Keeps a connection open until the client is ended; one that reads, until the instance ends it.
    async fn keep(mut connection: TcpStream, reads: bool) {
        if !reads {
            std::future::pending::<()>().await;
        }
        let mut bytes = vec![0; 4 << 10];
        while matches!(connection.read(&mut bytes).await, Ok(1..)) {}
    }
}

impl Script {
    /// Writes what it says until its bytes are written, nothing is taken any more or the connection ends; whether it is open.
    async fn act(&self, connection: &mut TcpStream) -> bool {
        let mut written = 0;
        let mut bytes = &self.opening[..];
        while !bytes.is_empty() && written < self.bytes_max {
            match tokio::time::timeout(STALL, connection.write_all(bytes)).await {
                Ok(Ok(())) => written += bytes.len(),
                Ok(Err(_)) => return false,
                Err(_) => return true,
            }
            bytes = &self.piece;
            tokio::task::yield_now().await;
        }
        true
    }
}
