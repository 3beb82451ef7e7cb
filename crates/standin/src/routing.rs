//! Measures routing, sharing and limits under load and losses.

use super::*;
use bench::{RUNNERS, TIME_MS};
use report::{Report, Row};
use runner::{SLOTS, STEP_MS};
use scene::{Outcome, Scene};
use wellplank_core::settings::Routing;

/// Jain's index of fairness: 1 if all have the same.
fn jain(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    if squares > 0.0 {
        sum * sum / (shares.len() as f64 * squares)
    } else {
        0.0
    }
}

fn row(name: String, outcome: &Outcome) -> Row {
    let capacity = (RUNNERS * SLOTS) as f64 / STEP_MS as f64 * TIME_MS as f64;
    let lookups = outcome.cache.0 + outcome.cache.1;
    let requests = outcome.requests.max(1) as f64;
    Row::new(name)
        .quantile("first", &outcome.first_ms, 0.5)
        .quantile("first", &outcome.first_ms, 0.95)
        .quantile("first", &outcome.first_ms, 0.99)
        .quantile("short", &outcome.short_ms, 0.99)
        .quantile("between", &outcome.between_ms, 0.95)
        .quantile("between", &outcome.between_ms, 1.0)
        .figure("work %", 100.0 * outcome.delivered as f64 / capacity)
        .figure("refused %", 100.0 * outcome.refused as f64 / requests)
        .figure("late refusals %", 100.0 * outcome.late as f64 / requests)
        .quantile("refusal", &outcome.refusal_ms, 0.99)
        .figure("failed %", 100.0 * outcome.failed as f64 / requests)
        .figure("moved/request", outcome.moved as f64 / requests)
        .figure(
            "hits %",
            100.0 * outcome.cache.0 as f64 / lookups.max(1) as f64,
        )
        .figure("Jain", jain(&outcome.tokens))
}

/// Measures every way at every load, then losses and a flood.
pub fn run() {
    for offered in [0.5, 0.9, 1.2, 2.0] {
        let mut report = Report::new(&format!("Routing at {offered} of capacity"));
        for (name, routing) in Routing::ALL {
            let outcome = bench::run(&Scene::new(routing, offered));
            report.rows.push(row(name.into(), &outcome));
        }
        report.print();
    }
    let mut report = Report::new("Losses at 0.6 of capacity, in the middle");
    for (name, routing) in [("random", Routing::Random), ("prefix", Routing::Prefix)] {
        let base = Scene::new(routing, 0.6);
        let one = Scene {
            lost: 1,
            ..base.clone()
        };
        let third = Scene {
            lost: RUNNERS / 3,
            ..base.clone()
        };
        let instance = Scene {
            instance_lost: true,
            ..base.clone()
        };
        for (loss, lost) in [
            ("none", base),
            ("one runner", one),
            ("a third", third),
            ("an instance", instance),
        ] {
            report
                .rows
                .push(row(format!("{name}, {loss}"), &bench::run(&lost)));
        }
    }
    report.print();
    stale();
    flood();
}

/// Measures what fewer load reports and smaller subsets cost.
fn stale() {
    let mut report = Report::new("Fewer load reports and subsets of the pool, 0.9 of capacity");
    let ways = [
        (1_000, 0, false),
        (5_000, 0, false),
        (10_000, 0, false),
        (1_000, 0, true),
        (10_000, 0, true),
        (10_000, 16, true),
        (10_000, 8, true),
    ];
    for (load_ms, subset, carried) in ways {
        let outcome = bench::run(&Scene {
            carried,
            load_ms,
            subset,
            ..Scene::new(Routing::Prefix, 0.9)
        });
        let of = if subset == 0 { RUNNERS } else { subset };
        let carried = if carried {
            "carried and asked"
        } else {
            "asked"
        };
        let name = format!("{carried} in {load_ms} ms, {of} of {RUNNERS} runners");
        report.rows.push(row(name, &outcome));
    }
    report.print();
}

/// Measures what one customer that asks ten times as much as the others takes from them.
fn flood() {
    let mut report =
        Report::new("One customer at ten times the others, 0.9 of capacity without it");
    for (name, routing) in [("random", Routing::Random), ("prefix", Routing::Prefix)] {
        for (text, flood, max_running) in [
            ("quiet", false, 10_000),
            ("flood", true, 10_000),
            ("flood, limit 60", true, 60),
        ] {
            let outcome = bench::run(&Scene {
                flood,
                max_running,
                offered: if flood { 0.9 * 1.9 } else { 0.9 },
                ..Scene::new(routing, 0.9)
            });
            let row = Row::new(format!("{name}, {text}"))
                .quantile("others' first", &outcome.first_others_ms, 0.5)
                .quantile("others' first", &outcome.first_others_ms, 0.95)
                .quantile("others' first", &outcome.first_others_ms, 0.99)
                .figure("flood's tokens", outcome.tokens[0])
                .figure(
                    "others' tokens",
                    outcome.tokens[1..].iter().sum::<f64>() / 9.0,
                )
                .figure("flood's most running", f64::from(outcome.most_running));
            report.rows.push(row);
        }
    }
    report.print();
}
