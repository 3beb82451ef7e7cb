//! Measures what a token costs an instance: processor time, memory and delay against the number of
//! streams, with the instance as a process of its own.

use super::*;
use load::{Load, Style};
use report::{Report, Row, line};

/// Time that each size is kept.
const TIME: Duration = Duration::from_secs(6);

/// Time until a size runs evenly.
const WARM_UP: Duration = Duration::from_secs(3);

/// Streams at once.
const SIZES: [usize; 6] = [0, 50, 100, 200, 400, 600];

/// Time between two tokens of a stream.
const STEP: Duration = Duration::from_millis(25);

/// Tokens of a stream.
const TOKENS: usize = 400;

/// Engines.
const ENGINES: usize = 8;

/// What one size gave.
struct Point {
    cpu: f64,
    delays_ms: Vec<f64>,
    /// Delays of the same load without an instance in between.
    direct_ms: Vec<f64>,
    memory: f64,
    tokens_per_second: f64,
}

/// Measures every size, through an instance and straight from the engines.
pub async fn run() {
    let mut report = Report::new("Cost of tokens through one instance");
    let mut cpu = Vec::new();
    let mut memory = Vec::new();
    for streams in SIZES {
        let point = one(streams).await;
        cpu.push((point.tokens_per_second, point.cpu * 1e6));
        memory.push((streams as f64, point.memory / 1_000.0));
        report.rows.push(
            Row::new(format!("{streams} streams"))
                .figure("tokens/s", point.tokens_per_second)
                .figure("cores", point.cpu)
                .figure(
                    "µs/token",
                    point.cpu * 1e6 / point.tokens_per_second.max(1.0),
                )
                .figure("MB", point.memory / 1e6)
                .percentiles("delay", &point.delays_ms)
                .quantile("straight from the engines", &point.direct_ms, 0.5)
                .quantile("straight from the engines", &point.direct_ms, 0.99),
        );
    }
    report.print();
    let (per_token, idle) = line(&cpu);
    let (per_stream, base) = line(&memory);
    println!(
        "\nslopes: {per_token:.1} µs/token over {:.2} % of a core idle",
        idle / 1e4
    );
    println!(
        "        {per_stream:.1} KB/stream over {:.1} MB",
        base / 1e3
    );
}

async fn one(streams: usize) -> Point {
    let mut plan = fleet::Plan {
        engines: ENGINES,
        instances: 0,
        ..fleet::Plan::default()
    };
    plan.engine.step = STEP;
    plan.engine.slots = 128;
    let (fleet, address, process) = Fleet::start_with_process(&plan).await;
    let ask = caller::Ask::new("notebook-summary", "log", TOKENS);
    let load = Load::start(&[address], streams, &ask, Style::Plain);
    sleep(WARM_UP).await;
    let (before, began) = (process.used(), Instant::now());
    sleep(TIME).await;
    let (after, ended) = (process.used(), Instant::now());
    let events = seen(load, began, ended).await;
    let seconds = (ended - began).as_secs_f64();
    let count: usize = events.iter().map(|event| event.tokens).sum();
    Point {
        cpu: (after.cpu_seconds - before.cpu_seconds) / seconds,
        delays_ms: delays(&events),
        direct_ms: direct(&fleet, streams, ask).await,
        memory: after.memory_bytes,
        tokens_per_second: count as f64 / seconds,
    }
}

/// Delays of a load that is sent straight to the engines.
async fn direct(fleet: &Fleet, streams: usize, ask: caller::Ask) -> Vec<f64> {
    let engines: Vec<SocketAddr> = fleet.engines.iter().map(|engine| engine.address).collect();
    let ask = caller::Ask {
        direct: true,
        ..ask
    };
    let load = Load::start(&engines, streams, &ask, Style::Plain);
    sleep(WARM_UP).await;
    let began = Instant::now();
    sleep(TIME).await;
    delays(&seen(load, began, Instant::now()).await)
}

fn delays(events: &[caller::Seen]) -> Vec<f64> {
    events.iter().filter_map(|event| event.delay_ms).collect()
}

/// Stops a load; what its callers saw between two moments.
async fn seen(load: Load, began: Instant, ended: Instant) -> Vec<caller::Seen> {
    let within = |event: &caller::Seen| event.at >= began && event.at < ended;
    let outcomes = load.stop().await;
    let events = outcomes.into_iter().flat_map(|outcome| outcome.seen.events);
    events.filter(within).collect()
}
