//! Odd entries that another writer leaves among those of upstreams, while instances serve, start and come back to the store.
//!
//! Guards against processes that end over such an entry, and against instances that stop following the list.

use super::*;
use arguments::number;
use client::Ask;
use soak::{Layout, Plan, Soak};
use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

/// Name of the command.
pub(crate) const NAME: &str = "odd";

/// Levels of nested lists: some that a reader of usual limits refuses, and some that no stack bears.
const NESTS: [usize; 2] = [200, 20_000];

/// Bytes of a long text. All entries together take the stand-in of the store less than the time that instances give a read.
const LONG_BYTES: usize = 400 << 10;

/// Bytes of an entry that counts as long.
const LONG_FROM_BYTES: usize = 4 << 10;

/// Time that instances give a read of the list, in milliseconds, at least.
const READ_MS: u64 = 700;

/// Slots of an entry that is valid and absurd.
const ABSURD_SLOTS: u32 = u32::MAX;

/// Time for which the store is away.
const AWAY: Duration = Duration::from_secs(3);

/// Time between steps of a run.
const STEP: Duration = Duration::from_millis(700);

/// Time within which an instance must serve by upstreams that joined beside odd entries, once no other is listed.
const SERVES: Duration = Duration::from_secs(6);

/// Callers and their pause.
const CALLERS: usize = 12;
const PAUSE: Duration = Duration::from_millis(20);

/// Which entries are odd.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Kind {
    /// Valid ones of absurd size, at an address where nothing listens.
    Absurd,
    /// Invalid ones.
    Invalid,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Requests that were not answered with success.
    pub failed: usize,
    /// Instances that do not serve by the upstreams that joined, by their places.
    pub behind: Vec<usize>,
    /// Processes that ended by themselves, a line each.
    pub ends: Vec<String>,
    /// Longest time that the stand-in of the store took to answer a read of the list behind the join, in milliseconds.
    pub read_ms: u64,
    /// Requests that were answered with success.
    pub served: usize,
    /// Longest time, in milliseconds, between the join of an upstream that answers calls and its first request.
    pub join_ms: u64,
}

/// Whether the upstream at a place is listed from the start.
fn is_first(index: usize) -> bool {
    index.is_multiple_of(2)
}

/// An entry of an upstream with a field that is written as it stands.
fn entry(pool: &str, address: &str, field: &str, text: &str) -> String {
    let mut fields = BTreeMap::from([
        ("address", format!("\"{address}\"")),
        ("born", "1".to_owned()),
        ("call_seq", "0".to_owned()),
        ("cold_left_ms", "0".to_owned()),
        ("service", format!("\"{pool}\"")),
        ("slots", "8".to_owned()),
        ("state", "\"ready\"".to_owned()),
        ("version", "\"v1\"".to_owned()),
        ("zone", "\"dc-0\"".to_owned()),
    ]);
    fields.insert(field, text.to_owned());
    let fields: Vec<String> = fields
        .iter()
        .map(|(name, text)| format!("\"{name}\":{text}"))
        .collect();
    format!("{{{}}}", fields.join(","))
}

/// Entries of a kind.
fn entries(kind: Kind) -> Vec<String> {
    let dead = host::free_address().to_string();
    if kind == Kind::Absurd {
        let slots = ABSURD_SLOTS.to_string();
        return [site::ENGINES, site::DESK]
            .map(|pool| entry(pool, &dead, "slots", &slots))
            .into();
    }
    let with = |field: &str, text: &str| entry(site::DESK, &dead, field, text);
    let mut entries: Vec<String> = [
        "70000",
        "-1",
        "18446744073709551616",
        "99999999999999999999999",
    ]
    .iter()
    .map(|port| with("address", &format!("\"127.0.0.1:{port}\"")))
    .collect();
    for field in ["born", "call_seq", "cold_left_ms", "slots"] {
        for number in [
            "1e999",
            "-1",
            "18446744073709551616",
            "1e300",
            "0.5",
            "\"8\"",
            "null",
        ] {
            entries.push(with(field, number));
        }
    }
    entries.push(with("zone", &format!("\"{}\"", "z".repeat(LONG_BYTES))));
    for depth in NESTS {
        let nest = "[".repeat(depth) + &"]".repeat(depth);
        entries.push(with("other", &nest));
        entries.push(with("slots", &nest));
        let objects = "{\"a\":".repeat(depth) + "1" + &"}".repeat(depth);
        entries.push(objects);
        entries.push("[".repeat(depth));
    }
    entries.extend(["", "null", "[]", "\u{0}", "{\"service\":\"desk\"}"].map(str::to_owned));
    entries
}

/// Writes odd entries, each under a key of its own, and one over the entry of the upstream at a place.
fn spoil(soak: &Soak, kind: Kind, round: usize, over: usize) {
    let entries = entries(kind);
    // Only the first ones are long, so that reads stay short.
    let all = entries.iter().enumerate();
    let written = all.filter(|(_, text)| round == 0 || text.len() < LONG_FROM_BYTES);
    for (index, text) in written {
        let key = format!("servers/odd-{round}-{index}");
        soak.shelf.put_bytes(&key, text.as_bytes());
    }
    if kind == Kind::Invalid {
        let key = format!("servers/{}", soak.seats[over].worker.name);
        soak.shelf.put_bytes(&key, b"{\"slots\":1e999");
        soak.enter(over, "ready");
    }
}

/// Has upstreams join and instances start beside odd entries; the store may be away meanwhile.
pub async fn run(plan: Plan, kind: Kind, is_away: bool) -> Outcome {
    let layout = Layout {
        is_listed: is_first,
        ..Layout::default()
    };
    let mut soak = Soak::start_by(plan, layout);
    soak.wait_ready().await;
    let stop = Arc::new(AtomicBool::new(false));
    let tallies: [Arc<AtomicUsize>; 2] = std::array::from_fn(|_| Arc::default());
    let callers: Vec<_> = (0..CALLERS)
        .map(|index| {
            let random = Pcg64Mcg::seed_from_u64(plan.seed ^ (index as u64) << 20);
            let call = call(
                soak.addresses(),
                index,
                random,
                stop.clone(),
                tallies.clone(),
            );
            tokio::spawn(call)
        })
        .collect();
    sleep(STEP).await;
    soak.shelf.away(is_away);
    if is_away {
        sleep(AWAY / 2).await;
    }
    spoil(&soak, kind, 0, 0);
    sleep(if is_away { AWAY / 2 } else { STEP }).await;
    soak.shelf.away(false);
    let joined = Instant::now();
    for index in (0..soak.seats.len()).filter(|index| !is_first(*index)) {
        soak.enter(index, "ready");
    }
    spoil(&soak, kind, 1, 0);
    let reads = tokio::spawn(read(soak.stores[0].address, stop.clone()));
    let restarted = soak.random.random_range(0..soak.instances.len());
    soak.instances[restarted].kill();
    sleep(STEP).await;
    soak.instances[restarted].start();
    sleep(2 * STEP).await;
    // The killed instance answers nothing meanwhile, so that requests there do not count.
    stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.await;
    }
    let read_ms = reads.await.unwrap_or(u64::MAX);
    for index in (0..soak.seats.len()).filter(|index| is_first(*index)) {
        let name = &soak.seats[index].worker.name;
        soak.shelf.remove(&format!("servers/{name}"));
    }
    sleep(STEP).await;
    for index in (0..soak.seats.len()).filter(|index| is_first(*index)) {
        soak.end_life(index);
    }
    let behind = behind(&soak).await;
    let join_ms = join_ms(&soak, joined);
    let mut ends = Vec::new();
    for (index, instance) in soak.instances.iter_mut().enumerate() {
        instance.runs();
        ends.extend(
            instance
                .ends
                .iter()
                .map(|end| format!("instance-{index}: {}", end.text)),
        );
    }
    for end in &ends {
        soak.shared.broken(end.clone());
    }
    Outcome {
        behind,
        ends,
        failed: tallies[1].load(Ordering::Relaxed),
        join_ms,
        read_ms,
        served: tallies[0].load(Ordering::Relaxed),
    }
}

/// Reads the list as instances do until told to stop; the longest time of one read in milliseconds.
async fn read(store: SocketAddr, stop: Arc<AtomicBool>) -> u64 {
    let mut longest = 0;
    while !stop.load(Ordering::Relaxed) {
        let began = Instant::now();
        http::get(store, "/api/kv-range?path_prefix=servers/").await;
        longest = longest.max(began.elapsed().as_millis() as u64);
        sleep(STEP / 4).await;
    }
    longest
}

/// Instances that do not serve calls in time.
async fn behind(soak: &Soak) -> Vec<usize> {
    let end = Instant::now() + SERVES;
    let mut behind = Vec::new();
    for (index, address) in soak.addresses().into_iter().enumerate() {
        let mut serves = false;
        while !serves && Instant::now() < end {
            let ask = Ask::again(&format!("behind-{}", Uuid::new_v4()));
            let got = ask.attempt(address).await;
            serves = got.is_some_and(|got| got.status == StatusCode::OK);
            sleep(PAUSE).await;
        }
        if !serves {
            behind.push(index);
        }
    }
    behind
}

/// Longest time until an upstream that joined and answers calls had its first request, in milliseconds.
fn join_ms(soak: &Soak, joined: Instant) -> u64 {
    let arrivals = soak.ledger.arrivals();
    let seats = soak.seats.iter().enumerate();
    let seats = seats.filter(|(index, seat)| !is_first(*index) && seat.pool == site::DESK);
    let waits = seats.map(|(_, seat)| {
        let first = arrivals
            .iter()
            .find(|arrival| arrival.worker == seat.worker.name);
        first.map_or(u64::MAX, |arrival| {
            arrival.at.saturating_duration_since(joined).as_millis() as u64
        })
    });
    waits.max().unwrap_or(u64::MAX)
}

/// Asks any instance until it is told to stop; calls that an instance which is gone did not take count for nothing.
async fn call(
    addresses: Vec<SocketAddr>,
    index: usize,
    mut random: Pcg64Mcg,
    stop: Arc<AtomicBool>,
    [served, failed]: [Arc<AtomicUsize>; 2],
) {
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            return;
        }
        let address = addresses[random.random_range(0..addresses.len())];
        let run = format!("again-{index}-{number}");
        let ask = if random.random() {
            Ask::again(&run)
        } else {
            Ask::stream(&run)
        };
        match ask.attempt(address).await {
            Some(got) if got.status == StatusCode::OK && got.whole => {
                served.fetch_add(1, Ordering::Relaxed);
            }
            Some(_) => {
                failed.fetch_add(1, Ordering::Relaxed);
            }
            None => {}
        }
        sleep(PAUSE).await;
    }
}

/// The command.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Odd entries among those of upstreams")
        .arg(number("seed", "Seed of the first run", "1"))
        .arg(number("runs", "Runs, each with the next seed", "1"))
        .arg(number("instances", "Instances, each a process", "6"))
        .arg(number("engines", "Upstreams that stream", "6"))
        .arg(
            Arg::new("absurd")
                .action(clap::ArgAction::SetTrue)
                .help("Have valid entries of absurd size")
                .long("absurd"),
        )
        .arg(
            Arg::new("away")
                .action(clap::ArgAction::SetTrue)
                .help("Have the store be away meanwhile")
                .long("away"),
        )
}

/// Runs the command; whether no process ended, and all instances follow the list.
pub(crate) async fn main(arguments: &ArgMatches) -> bool {
    let number = |name| *arguments.get_one::<u64>(name).expect("has a default");
    let kind = if arguments.get_flag("absurd") {
        Kind::Absurd
    } else {
        Kind::Invalid
    };
    let mut holds = true;
    for seed in number("seed")..number("seed") + number("runs") {
        let plan = Plan {
            engines: number("engines") as usize,
            instances: number("instances") as usize,
            lasts: Duration::ZERO,
            seed,
        };
        let outcome = run(plan, kind, arguments.get_flag("away")).await;
        println!("seed {seed}: {outcome:?}");
        if outcome.read_ms > READ_MS {
            println!(
                "seed {seed}: the stand-in of the store is slower than a read of an instance may be"
            );
        }
        holds &= outcome.ends.is_empty() && outcome.behind.is_empty();
    }
    holds
}
