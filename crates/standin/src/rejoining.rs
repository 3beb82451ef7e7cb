//! Streams whose callers take them up behind the loss of all instances, or at one that was out of step, while upstreams of
//! another version of the software join and those of the old one leave.
//!
//! Guards against streams that are joined from two versions, and against streams that never go on though upstreams of
//! their version serve.

use super::*;
use apart::Ways;
use arguments::number;
use client::Ask;
use daemon::{Daemon, Signal};
use patron::{Habit, Miss, Patron};
use proxy::{Hushed, Mode as Way};
use soak::{Layout, Plan, Soak};

/// Name of the command.
pub(crate) const NAME: &str = "rejoin";

/// Slots of each upstream.
const SLOTS: usize = 24;

/// Time between two joins of upstreams and the first request behind them.
const KNOWN: Duration = Duration::from_secs(2);

/// Time between two events in milliseconds: a stream takes 5 s.
const STEP_MS: u64 = 125;

/// The same where one instance is out of step: a stream takes 1.2 s, so that some events come within the lapse.
const SHORT_STEP_MS: u64 = 30;

/// Pause of a caller behind a refusal without a time, and behind a connection that failed.
const PAUSE: Duration = Duration::from_millis(150);
const UNREACHED: Duration = Duration::from_millis(20);

/// Bytes of a stream behind which a caller hangs up to take it up at the instance that is out of step: two events.
const HANG_UP_BYTES: usize = 30;

/// Time before the end of a lapse at which streams begin, and at which upstreams that join late are entered.
const BEGIN: Duration = Duration::from_millis(200);
const JOIN_LATE: Duration = Duration::from_millis(290);

/// When the entries of the upstreams of the old version go.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Leave {
    /// With the loss of all instances.
    At,
    /// Between the first requests and the loss.
    Before,
    /// While the instances are gone.
    Behind,
    /// They stay.
    Never,
}

/// How one instance is out of step.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Lapse {
    /// Neither the store nor any other instance is heard by it or hears it.
    Apart,
    /// It stands still.
    Pause,
    /// The store says nothing to it, on any connection.
    Store,
    /// What it waits for at the store never comes; new connections work.
    Watch,
}

/// What is lost.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// All instances, at one moment; for this long.
    All(Duration, Leave),
    /// One instance is out of step for this long; upstreams of the next version join at its end, or at its start.
    OutOfStep(Lapse, Duration, bool),
}

/// What befalls streams.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Time between the first requests and the loss of all instances.
    pub begun: Duration,
    /// Streams.
    pub callers: usize,
    /// What is lost.
    pub loss: Loss,
    /// Time of each caller for its stream.
    pub patience: Duration,
}

/// What became of broken streams that began at one version.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Count {
    /// Streams that broke off behind their first event.
    pub broken: usize,
    /// Those that went on and were not whole in time.
    pub cut: usize,
    /// Those that hold events of two versions.
    pub joined: usize,
    /// Those that never went on.
    pub refused: usize,
    /// Those that were answered whole, joined ones too.
    pub whole: usize,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Streams by the version that they began at.
    pub counts: BTreeMap<&'static str, Count>,
    /// Processes that ended by themselves.
    pub ends: usize,
    /// Streams that hold events of two versions, a line each.
    pub joined: Vec<String>,
}

/// How one stream went.
struct Stream {
    is_whole: bool,
    /// Name of the try that brought its first event, if one did.
    origin: Option<String>,
    /// Whether it broke off behind its first event.
    was_broken: bool,
    /// Whether it went on behind that.
    went_on: bool,
}

/// A caller with one stream.
struct Caller {
    addresses: Vec<SocketAddr>,
    /// Where it begins.
    first: SocketAddr,
    /// Where it takes its stream up first, behind hanging up itself.
    hang_up: Option<SocketAddr>,
    index: usize,
    patience: Duration,
    patron: Patron,
    random: Pcg64Mcg,
    step_ms: u64,
}

/// Whether the upstream at a place is of the old version, as its place says.
fn is_old(index: usize) -> bool {
    index.is_multiple_of(2)
}

/// A configuration in which streams have more time than their callers.
fn configuration(version: u64) -> Value {
    let mut configuration = site::configuration(version);
    configuration["routes"][0]["timeout_ms"] = json!(30_000);
    configuration
}

/// Runs one release with a loss.
pub async fn run(plan: Plan, setting: Setting) -> Outcome {
    let layout = Layout {
        configuration,
        is_listed: is_old,
        slots: SLOTS,
        ..Layout::default()
    };
    let mut soak = Soak::start_by(plan, layout);
    soak.wait_ready().await;
    let ways = match setting.loss {
        Loss::OutOfStep(Lapse::Apart, ..) => Some(Ways::between(&mut soak).await),
        _ => None,
    };
    if ways.is_some() {
        soak.wait_ready().await;
    }
    let callers = match setting.loss {
        Loss::All(down, leave) => {
            sleep(KNOWN).await;
            join(&soak, plan);
            sleep(KNOWN).await;
            lose_all(&mut soak, plan, setting, down, leave).await
        }
        Loss::OutOfStep(..) => {
            sleep(KNOWN).await;
            lapse_of_one(&mut soak, plan, setting, ways.as_ref()).await
        }
    };
    let mut streams = Vec::new();
    for caller in callers {
        streams.extend(caller.await);
    }
    count(&mut soak, &streams)
}

/// Enters the upstreams of the next version.
fn join(soak: &Soak, plan: Plan) {
    for index in (0..plan.engines).filter(|index| !is_old(*index)) {
        soak.enter(index, "ready");
    }
}

/// Removes the entries of the upstreams of the old version.
fn leave(soak: &Soak, plan: Plan) {
    for index in (0..plan.engines).filter(|index| is_old(*index)) {
        let name = &soak.seats[index].worker.name;
        soak.shelf.remove(&format!("servers/{name}"));
    }
}

async fn lose_all(
    soak: &mut Soak,
    plan: Plan,
    setting: Setting,
    down: Duration,
    leaves: Leave,
) -> Vec<tokio::task::JoinHandle<Stream>> {
    let callers = begin(soak, plan, setting);
    sleep(setting.begun / 2).await;
    if leaves == Leave::Before {
        leave(soak, plan);
    }
    sleep(setting.begun / 2).await;
    if leaves == Leave::At {
        leave(soak, plan);
    }
    Daemon::kill_all(&mut soak.instances);
    sleep(down / 2).await;
    if leaves == Leave::Behind {
        leave(soak, plan);
    }
    sleep(down / 2).await;
    for instance in &mut soak.instances {
        instance.start();
    }
    callers
}

async fn lapse_of_one(
    soak: &mut Soak,
    plan: Plan,
    setting: Setting,
    ways: Option<&Ways>,
) -> Vec<tokio::task::JoinHandle<Stream>> {
    let Loss::OutOfStep(lapse, lasts, joins_late) = setting.loss else {
        return Vec::new();
    };
    if let Some(ways) = ways {
        ways.cut(true);
    }
    match lapse {
        Lapse::Pause => soak.instances[0].signal(Signal::Pause),
        Lapse::Apart | Lapse::Store => soak.stores[0].set(Way::Silent),
        Lapse::Watch => soak.stores[0].hush(Hushed::All),
    }
    if !joins_late {
        join(soak, plan);
    }
    sleep(lasts.saturating_sub(JOIN_LATE)).await;
    if joins_late {
        join(soak, plan);
    }
    sleep(JOIN_LATE.saturating_sub(BEGIN)).await;
    let callers = begin(soak, plan, setting);
    sleep(BEGIN).await;
    soak.instances[0].signal(Signal::Continue);
    soak.stores[0].set(Way::Open);
    if let Some(ways) = ways {
        ways.cut(false);
    }
    callers
}

/// Has callers begin their streams. They begin elsewhere and hang up soon, where the first instance is out of step.
fn begin(soak: &Soak, plan: Plan, setting: Setting) -> Vec<tokio::task::JoinHandle<Stream>> {
    let addresses = soak.addresses();
    let is_out = matches!(setting.loss, Loss::OutOfStep(..));
    let caller = |index: usize| {
        let mut random = Pcg64Mcg::seed_from_u64(plan.seed ^ (index as u64) << 20);
        let least = usize::from(is_out).min(addresses.len() - 1);
        let first = random.random_range(least..addresses.len());
        Caller {
            addresses: addresses.clone(),
            first: addresses[first],
            hang_up: is_out.then_some(addresses[0]),
            index,
            patience: setting.patience,
            patron: Patron::new(Habit::Fresh),
            random,
            step_ms: if is_out { SHORT_STEP_MS } else { STEP_MS },
        }
    };
    (0..setting.callers)
        .map(|index| tokio::spawn(caller(index).run()))
        .collect()
}

impl Caller {
    /// Asks, and goes on behind the last event at any instance, until the stream is whole or the time is over.
    async fn run(mut self) -> Stream {
        let end = Instant::now() + self.patience;
        let mut stream = Stream {
            is_whole: false,
            origin: None,
            was_broken: false,
            went_on: false,
        };
        let mut address = self.first;
        let mut position = 0;
        for number in 0.. {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            let run = format!("stream-{}-{number}", self.index);
            let ask = self.ask(&run, left, stream.origin.as_deref(), position);
            let hangs_up = self.hang_up.filter(|_| stream.origin.is_none());
            let most = hangs_up.map_or(usize::MAX, |_| HANG_UP_BYTES);
            let got = self.patron.send_for(&ask, address, left, most).await;
            let next = self.random.random_range(0..self.addresses.len());
            address = self.addresses[next];
            let Ok(got) = got else {
                let pause = match got {
                    Err(Miss::Unreached) => UNREACHED,
                    _ => PAUSE,
                };
                sleep(pause).await;
                continue;
            };
            if got.status != StatusCode::OK {
                sleep(pause_of(got.header("retry-after")).min(left)).await;
                continue;
            }
            let events = got.body.matches("\n\n").count() as u64;
            stream.went_on |= stream.origin.is_some();
            position += events;
            if events > 0 && stream.origin.is_none() {
                stream.origin = Some(run);
            }
            if got.whole && position == worker::EVENTS {
                stream.is_whole = true;
                break;
            }
            stream.was_broken |= stream.origin.is_some();
            address = hangs_up.unwrap_or(address);
        }
        stream
    }

    fn ask(&self, run: &str, left: Duration, origin: Option<&str>, position: u64) -> Ask {
        let index = self.index;
        let mut ask = Ask::stream(run)
            .with("wellplank-timeout-ms", &left.as_millis().to_string())
            .with(
                "wellplank-prefix-hash",
                &format!("5c1e07a2:200,{index:x}:5000"),
            )
            .with(worker::EVENT_STEP_MS, &self.step_ms.to_string());
        ask.body = format!("stream {index}").into_bytes();
        match origin {
            Some(origin) => ask.taking_up(origin, position),
            None => ask,
        }
    }
}

/// Pause that a refusal names, in seconds.
fn pause_of(text: &str) -> Duration {
    let seconds: Option<f64> = text.parse().ok();
    seconds.map_or(PAUSE, Duration::from_secs_f64)
}

/// Counts what became of broken streams.
fn count(soak: &mut Soak, streams: &[Stream]) -> Outcome {
    let runs = soak.ledger.runs();
    let joined = order::mixed(&runs);
    let joined_origins: BTreeSet<&str> = joined
        .iter()
        .filter_map(|line| line.split(' ').next())
        .collect();
    let began = runs
        .iter()
        .filter(|run| run.header("last-event-id").is_empty());
    let began: HashMap<&str, &'static str> = began
        .map(|run| (run.header("wellplank-request-id"), run.version))
        .collect();
    let mut counts: BTreeMap<&'static str, Count> = BTreeMap::new();
    for stream in streams.iter().filter(|stream| stream.was_broken) {
        let origin = stream.origin.as_deref().unwrap_or_default();
        let version = began.get(origin).copied().unwrap_or("unknown");
        let count = counts.entry(version).or_default();
        count.broken += 1;
        count.joined += usize::from(joined_origins.contains(origin));
        match stream {
            Stream { is_whole: true, .. } => count.whole += 1,
            Stream { went_on: true, .. } => count.cut += 1,
            Stream { .. } => count.refused += 1,
        }
    }
    let ends = soak.instances.iter_mut().map(|instance| {
        instance.runs();
        instance.ends.len()
    });
    let ends = ends.sum();
    for line in &joined {
        soak.shared.broken(line.clone());
    }
    Outcome {
        counts,
        ends,
        joined,
    }
}

/// The command.
pub(crate) fn command() -> Command {
    let word = |name: &'static str, help: &'static str, words: &'static [&'static str]| {
        Arg::new(name)
            .default_value(words[0])
            .help(help)
            .long(name)
            .value_parser(words.to_vec())
    };
    Command::new(NAME)
        .about("Streams taken up behind the loss of all instances, or at one out of step, beside a release")
        .arg(number("seed", "Seed of the first run", "1"))
        .arg(number("runs", "Runs, each with the next seed", "1"))
        .arg(number("instances", "Instances, each a process", "3"))
        .arg(number("engines", "Upstreams that stream, half of each version", "18"))
        .arg(number("callers", "Streams", "24"))
        .arg(number("begun-ms", "Time between the first requests and the loss", "200"))
        .arg(number("down-ms", "Time for which all instances are gone, or one is out of step", "500"))
        .arg(number("patience-ms", "Time of each caller", "25000"))
        .arg(word("leave", "When the old upstreams leave", &["at", "before", "behind", "never"]))
        .arg(word("lapse", "How the first instance is out of step, instead of the loss of all", &["none", "apart", "pause", "store", "watch"]))
        .arg(
            Arg::new("late")
                .action(clap::ArgAction::SetTrue)
                .help("Have upstreams join at the end of the lapse")
                .long("late"),
        )
}

/// Runs the command; whether no stream was joined.
pub(crate) async fn main(arguments: &ArgMatches) -> bool {
    let number = |name| *arguments.get_one::<u64>(name).expect("has a default");
    let word = |name| {
        arguments
            .get_one::<String>(name)
            .expect("has a default")
            .as_str()
    };
    let lasts = Duration::from_millis(number("down-ms"));
    let leave = match word("leave") {
        "before" => Leave::Before,
        "behind" => Leave::Behind,
        "never" => Leave::Never,
        _ => Leave::At,
    };
    let is_late = arguments.get_flag("late");
    let loss = match word("lapse") {
        "apart" => Loss::OutOfStep(Lapse::Apart, lasts, is_late),
        "pause" => Loss::OutOfStep(Lapse::Pause, lasts, is_late),
        "store" => Loss::OutOfStep(Lapse::Store, lasts, is_late),
        "watch" => Loss::OutOfStep(Lapse::Watch, lasts, is_late),
        _ => Loss::All(lasts, leave),
    };
    let setting = Setting {
        begun: Duration::from_millis(number("begun-ms")),
        callers: number("callers") as usize,
        loss,
        patience: Duration::from_millis(number("patience-ms")),
    };
    let mut joined = 0;
    for seed in number("seed")..number("seed") + number("runs") {
        let plan = Plan {
            engines: number("engines") as usize,
            instances: number("instances") as usize,
            lasts: Duration::ZERO,
            seed,
        };
        let outcome = run(plan, setting).await;
        for (version, count) in &outcome.counts {
            println!("seed {seed}: {version}: {count:?}");
        }
        println!("seed {seed}: {} ends", outcome.ends);
        joined += outcome.joined.len();
    }
    println!("{joined} streams joined");
    joined == 0
}
