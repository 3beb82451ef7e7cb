//! Measures what control costs an instance, and how fast a configuration is in force: processes at
//! rest, against the number of instances and of upstreams.

use super::*;
use report::{Report, Row, line};

/// Time that each size rests.
const TIME: Duration = Duration::from_secs(10);

/// Time until a size runs evenly.
const WARM_UP: Duration = Duration::from_secs(12);

/// Instances and upstreams of each size.
const SIZES: [Size; 7] = [
    Size::new(2, 8),
    Size::new(4, 8),
    Size::new(8, 8),
    Size::new(16, 8),
    Size::new(32, 8),
    Size::new(4, 32),
    Size::new(4, 64),
];

/// Changes of the configuration that are timed at each size.
const CHANGES: u32 = 10;

#[derive(Clone, Copy)]
struct Size {
    instances: usize,
    upstreams: usize,
}

struct Point {
    bytes_per_second: f64,
    cpu: f64,
    in_force_ms: Vec<f64>,
    memory: f64,
    messages_per_second: f64,
    reads_per_second: f64,
    watches: f64,
}

impl Size {
    const fn new(instances: usize, upstreams: usize) -> Self {
        Self {
            instances,
            upstreams,
        }
    }
}

/// Measures every size with a load report from each upstream in `load_ms`.
pub async fn run(load_ms: u64) {
    let title = format!("Control of an instance at rest, a load report in {load_ms} ms");
    let mut report = Report::new(&title);
    let mut by_instances = Vec::new();
    let mut by_upstreams = Vec::new();
    for size in SIZES {
        let point = one(size, load_ms).await;
        if size.upstreams == 8 {
            by_instances.push((size.instances as f64, point.cpu, point.bytes_per_second));
        }
        if size.instances == 4 {
            by_upstreams.push((size.upstreams as f64, point.cpu, point.bytes_per_second));
        }
        report.rows.push(
            Row::new(format!(
                "{} instances, {} upstreams",
                size.instances, size.upstreams
            ))
            .figure("% of a core", point.cpu * 100.0)
            .figure("B/s", point.bytes_per_second)
            .figure("messages/s", point.messages_per_second)
            .figure("MB", point.memory / 1e6)
            .figure("store reads/s, all", point.reads_per_second)
            .figure("watches, all", point.watches)
            .percentiles("in force", &point.in_force_ms),
        );
    }
    report.print();
    slopes("instance", &by_instances);
    slopes("upstream", &by_upstreams);
}

fn slopes(name: &str, points: &[(f64, f64, f64)]) {
    let cpu: Vec<(f64, f64)> = points
        .iter()
        .map(|point| (point.0, point.1 * 100.0))
        .collect();
    let bytes: Vec<(f64, f64)> = points.iter().map(|point| (point.0, point.2)).collect();
    let (cpu, cpu_base) = line(&cpu);
    let (bytes, bytes_base) = line(&bytes);
    println!("\nslopes per {name}: {cpu:.4} % of a core over {cpu_base:.2} %");
    println!("                   {bytes:.1} B/s over {bytes_base:.0} B/s");
}

async fn one(size: Size, load_ms: u64) -> Point {
    let plan = fleet::Plan {
        core: json!({ "load_ms": load_ms }),
        engines: size.upstreams - 1,
        instances: 0,
        ..fleet::Plan::default()
    };
    let (fleet, processes) = Fleet::start_with_processes(&plan, size.instances).await;
    sleep(WARM_UP).await;
    let calls = platform(&fleet).await;
    let before = counters(&fleet).await;
    let used: Vec<process::Used> = processes.iter().map(process::Process::used).collect();
    let began = Instant::now();
    sleep(TIME).await;
    let seconds = began.elapsed().as_secs_f64();
    let cpu: f64 = processes
        .iter()
        .zip(&used)
        .map(|(process, before)| process.used().cpu_seconds - before.cpu_seconds)
        .sum();
    let memory: f64 = processes
        .iter()
        .map(|process| process.used().memory_bytes)
        .sum();
    let after = counters(&fleet).await;
    let calls_after = platform(&fleet).await;
    let share = |sum: f64| sum / size.instances as f64;
    let reads = |calls: &Value| calls["calls"]["reads"].as_f64().unwrap_or(0.0);
    let mut in_force_ms = Vec::new();
    for change in 1..=CHANGES {
        in_force_ms.push(change_in_force(&fleet, change).await);
    }
    Point {
        bytes_per_second: share(after.0 - before.0) / seconds,
        cpu: share(cpu) / seconds,
        in_force_ms,
        memory: share(memory),
        messages_per_second: share(after.1 - before.1) / seconds,
        reads_per_second: (reads(&calls_after) - reads(&calls)) / seconds,
        watches: calls_after["watches"].as_f64().unwrap_or(0.0),
    }
}

/// Time from the acceptance of a change until every instance has it in force, in milliseconds.
async fn change_in_force(fleet: &Fleet, change: u32) -> f64 {
    let mut declaration = Fleet::declaration();
    declaration.customers[0].weight = change + 1;
    let revision = fleet.apply(declaration).await;
    let accepted = Instant::now();
    fleet.in_force(revision).await;
    caller::millis(accepted.elapsed())
}

/// Bytes and messages of control of all instances.
async fn counters(fleet: &Fleet) -> (f64, f64) {
    let bytes = fleet.counter("control.bytes").await as f64;
    (bytes, fleet.counter("control.messages").await as f64)
}

async fn platform(fleet: &Fleet) -> Value {
    let calls = http::get(fleet.platform.address, "/control/calls").await;
    calls.unwrap_or_default()
}
