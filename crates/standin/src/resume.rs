//! Measures resume latency and extra resource use: engines end or freeze under load.

use super::*;
use load::{Load, Outcome, Style};
use report::{Report, Row};

/// Engines.
const ENGINES: usize = 6;

/// Streams at once.
const STREAMS: usize = 60;

/// Tokens of a stream.
const TOKENS: usize = 300;

/// Time between a fault and the next.
const REST: Duration = Duration::from_millis(2_500);

/// Time that a frozen engine stands still.
const FROZEN: Duration = Duration::from_secs(2);

/// What happens to an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    Freeze,
    Kill,
    None,
}

/// One way of meeting a loss.
struct Way {
    core: Value,
    name: &'static str,
    service: &'static str,
    style: Style,
}

/// A fault that was caused.
struct Caused {
    at: Instant,
    upstream: u64,
}

/// What one run gave.
struct Run {
    caused: Vec<Caused>,
    outcomes: Vec<Outcome>,
    resumed: u64,
    spent: engine::Spent,
}

fn ways() -> [Way; 4] {
    let fixed = json!({
        "probe_timeout_ms": 3_600_000,
        "stall_loss_ms": 1_000, "stall_max_ms": 1_000, "stall_min_ms": 1_000,
    });
    let mut restart = fixed.clone();
    restart["continuation"] = json!(false);
    [
        Way {
            core: restart,
            name: "baseline: fixed 1 s, restart",
            service: "notebook-summary",
            style: Style::Restart,
        },
        Way {
            core: fixed,
            name: "baseline: fixed 1 s, continue",
            service: "notebook-summary",
            style: Style::Plain,
        },
        Way {
            core: json!({}),
            name: "resources",
            service: "notebook-summary",
            style: Style::Plain,
        },
        Way {
            core: json!({}),
            name: "latency",
            service: "cutting-plan",
            style: Style::Plain,
        },
    ]
}

/// Measures every way under every fault, `rounds` faults each.
pub async fn run(rounds: usize) {
    for fault in [Fault::None, Fault::Kill, Fault::Freeze] {
        let title = match fault {
            Fault::Freeze => "Engines freeze for 2 s",
            Fault::Kill => "Engines end",
            Fault::None => "No fault",
        };
        let mut report = Report::new(&format!(
            "{title}: {ENGINES} engines, {STREAMS} streams, {rounds} faults"
        ));
        for way in ways() {
            if fault != Fault::None || way.style == Style::Plain {
                let run = one(&way, fault, rounds).await;
                report.rows.push(row(&way, &run, fault));
            }
        }
        report.print();
    }
}

async fn one(way: &Way, fault: Fault, rounds: usize) -> Run {
    let mut plan = fleet::Plan {
        core: way.core.clone(),
        engines: ENGINES,
        ..fleet::Plan::default()
    };
    plan.engine.step = Duration::from_millis(20);
    let mut fleet = Fleet::start(&plan).await;
    let addresses: Vec<SocketAddr> = fleet
        .instances
        .iter()
        .map(|member| member.address)
        .collect();
    let ask = caller::Ask::new(way.service, "log", TOKENS);
    let load = Load::start(&addresses, STREAMS, &ask, way.style);
    sleep(REST).await;
    let mut caused = Vec::new();
    let mut spent = engine::Spent::default();
    for round in 0..rounds {
        let victim = round % ENGINES;
        match fault {
            Fault::Freeze => {
                let freeze = json!({ "fault": "freeze", "millis": FROZEN.as_millis() as u64 });
                http::post(fleet.engines[victim].address, "/control", &freeze).await;
            }
            Fault::Kill => {
                spent.add(&fleet.spent_by(victim).await);
                fleet.engines[victim].host.kill();
            }
            Fault::None => {}
        }
        caused.push(Caused {
            at: Instant::now(),
            upstream: wellplank_core::upstream::id(&fleet.engines[victim].name),
        });
        sleep(REST / 2).await;
        if fault == Fault::Kill {
            fleet.restart_engine(victim, &plan);
        }
        sleep(REST / 2).await;
    }
    let outcomes = load.stop().await;
    spent.add(&fleet.spent().await);
    Run {
        caused,
        outcomes,
        resumed: fleet.counter("resumed").await,
        spent,
    }
}

fn row(way: &Way, run: &Run, fault: Fault) -> Row {
    let mut stalls: Vec<f64> = Vec::new();
    for outcome in &run.outcomes {
        if let Some(restarted) = outcome.restarted {
            stalls.push(caller::millis(restarted.stall));
        } else if fault != Fault::None {
            stalls.extend(
                run.caused
                    .iter()
                    .filter_map(|caused| stall(outcome, caused)),
            );
        }
    }
    let whole = run.outcomes.iter().filter(|outcome| {
        outcome.restarted.is_some() || outcome.ask.is_whole(&outcome.seen.tokens)
    });
    let delivered: usize = run
        .outcomes
        .iter()
        .map(|outcome| {
            let again = outcome
                .restarted
                .map_or(0, |restarted| TOKENS - restarted.again);
            outcome.seen.tokens.len() + again
        })
        .sum();
    let share = |count: u64| 100.0 * count as f64 / delivered.max(1) as f64;
    Row::new(way.name)
        .percentiles("stall", &stalls)
        .figure("answers", run.outcomes.len() as f64)
        .figure("whole", whole.count() as f64)
        .figure("resumed", run.resumed as f64)
        .figure(
            "extra tokens %",
            share(run.spent.generated.saturating_sub(delivered as u64)),
        )
        .figure("prefilled %", share(run.spent.prefilled))
}

/// Time without a token that a fault cost a stream, if the stream came from the engine concerned.
fn stall(outcome: &Outcome, caused: &Caused) -> Option<f64> {
    let events = &outcome.seen.events;
    let before = events.iter().rposition(|event| event.at <= caused.at)?;
    if events[before].upstream != caused.upstream {
        return None;
    }
    let rest = &events[before..];
    let gaps = rest
        .windows(2)
        .take_while(|pair| pair[0].upstream == caused.upstream);
    gaps.map(|pair| caller::millis(pair[1].at - pair[0].at))
        .reduce(f64::max)
}
