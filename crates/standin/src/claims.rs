//! Measures claims: writes of the key-value service and time added, against the rate of claims.

use super::*;
use report::{Report, Row};

/// Instances that take the calls.
const INSTANCES: usize = 4;

/// Time that each rate is kept.
const TIME: Duration = Duration::from_secs(5);

/// Rates of claims a second.
const RATES: [u64; 6] = [1, 10, 50, 200, 500, 1_000];

/// What the calls of one rate saw.
struct Calls {
    answered: usize,
    millis: Vec<f64>,
    sent: usize,
}

/// Measures every rate.
pub async fn run() {
    let title = format!("Claims: {INSTANCES} instances, {} s each", TIME.as_secs());
    let mut report = Report::new(&title);
    for rate in RATES {
        report.rows.push(one(rate).await);
    }
    report.print();
}

async fn one(rate: u64) -> Row {
    let plan = fleet::Plan {
        engines: 1,
        instances: INSTANCES,
        ..fleet::Plan::default()
    };
    let fleet = Fleet::start(&plan).await;
    sleep(Duration::from_secs(1)).await;
    let without = calls(&fleet, "availability", rate).await;
    let before = platform(&fleet).await;
    let with = calls(&fleet, "reservation", rate).await;
    let after = platform(&fleet).await;
    let seconds = TIME.as_secs_f64();
    let writes = (after.writes + after.grants - before.writes - before.grants) as f64;
    let lost = (after.swaps_lost - before.swaps_lost) as f64;
    let runs = http::get(fleet.yard.address, "/control/runs").await;
    let runs = runs
        .and_then(|runs| runs.as_array().map(Vec::len))
        .unwrap_or(0);
    Row::new(format!("{rate} claims/s"))
        .figure("answered", with.answered as f64)
        .figure("sent", with.sent as f64)
        .figure("runs", (runs - without.answered) as f64)
        .figure("writes/s", writes / seconds)
        .figure("writes per claim", writes / with.sent.max(1) as f64)
        .figure("swaps lost/s", lost / seconds)
        .figure("reads/s", (after.reads - before.reads) as f64 / seconds)
        .figure(
            "KB written/s",
            (after.written - before.written) as f64 / seconds / 1_000.0,
        )
        .percentiles("claimed call", &with.millis)
        .percentiles("plain call", &without.millis)
}

async fn calls(fleet: &Fleet, service: &'static str, rate: u64) -> Calls {
    let mut ticks = interval(Duration::from_secs_f64(1.0 / rate as f64));
    let began = Instant::now();
    let mut tasks = Vec::new();
    while began.elapsed() < TIME {
        ticks.tick().await;
        let address = fleet.caller_address(tasks.len() % INSTANCES);
        tasks.push(tokio::spawn(async move {
            let caller = Caller {
                key: "sawmill".into(),
            };
            let key = Some(Uuid::now_v7());
            let began = Instant::now();
            let outcome = caller.call(address, service, "lot", &json!({}), key).await;
            (outcome.finished, caller::millis(began.elapsed()))
        }));
    }
    let mut calls = Calls {
        answered: 0,
        millis: Vec::new(),
        sent: tasks.len(),
    };
    for task in tasks {
        if let Ok((true, millis)) = task.await {
            calls.answered += 1;
            calls.millis.push(millis);
        }
    }
    calls
}

async fn platform(fleet: &Fleet) -> platform::Calls {
    let body = http::get(fleet.platform.address, "/control/calls").await;
    let calls = body.map(|body| body["calls"].clone()).unwrap_or_default();
    serde_json::from_value(calls).unwrap_or_default()
}
