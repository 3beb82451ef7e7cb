//! One tenant asks for the same thing again and again; the runners of a zone crash together.

use crate::{
    Outcome, Plan,
    client::{Ask, Connection, End},
    site::{ENGINES, Record, Site},
    wait_until,
};
use std::{
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

const KEY: &str = "key-1";

/// Runners in three zones, and those of one zone that crash together: 7 of 8.
const RUNNERS: usize = 24;
const CRASHED: usize = 7;

/// Time between two requests.
const PAUSE: Duration = Duration::from_millis(25);

/// Of this many requests, the first ones are about the same thing: a share of 0.28.
const OF: usize = 25;
const ALIKE: usize = 7;

/// Time before the same thing is asked for often, how long that lasts, and the crash within it.
const BEFORE: Duration = Duration::from_secs(5);
const LASTS: Duration = Duration::from_millis(5_500);
const CRASH: Duration = Duration::from_millis(2_500);
const AFTER: Duration = Duration::from_secs(2);

/// Time for which the crashed runners are down.
const DOWN: Duration = Duration::from_millis(1_200);

/// Plays the case.
pub fn play(plan: &Plan) -> Outcome {
    let record = plan.record.clone();
    let tenants = [("mill", KEY)];
    let site = Site::start(&plan.folder, &plan.program, record.clone(), &tenants);
    let mut site = site.map_err(|error| error.to_string())?;
    for number in 0..RUNNERS {
        let zone = format!("z{}", number % 3);
        site.add_runner(&format!("e{number}"), ENGINES, &zone, 0)
            .map_err(|error| error.to_string())?;
    }
    for number in 0..3 {
        site.add_instance(&format!("front-{number}"), &format!("z{number}"))
            .map_err(|error| error.to_string())?;
    }
    if !site.wait_until_ready() {
        return Err("the instances were not ready".into());
    }
    std::thread::sleep(Duration::from_secs(4));
    let callers: Vec<String> = site.instances.iter().map(|one| one.callers.clone()).collect();
    let ends: Arc<Mutex<Vec<(bool, End)>>> = Arc::default();
    let started = Instant::now();
    let (mut sent, mut crashed_at, mut is_back) = (0, None, false);
    let mut clients = Vec::new();
    while started.elapsed() < BEFORE + LASTS + AFTER {
        let since = started.elapsed();
        let is_often = since >= BEFORE && since < BEFORE + LASTS;
        let is_alike = is_often && sent % OF < ALIKE;
        let address = callers[sent % callers.len()].clone();
        let thing = if is_alike { "hot".to_owned() } else { sent.to_string() };
        let (seen, ends) = (record.clone(), ends.clone());
        clients.push(std::thread::spawn(move || {
            let end = ask(&address, &format!("r{sent}"), &thing, &seen);
            ends.lock().unwrap().push((is_alike, end));
        }));
        sent += 1;
        if plan.trouble && crashed_at.is_none() && since >= BEFORE + CRASH {
            record.line("runners of z1 crash");
            for runner in site.runners.iter().filter(|runner| runner.zone == "z1").take(CRASHED) {
                runner.kill();
            }
            crashed_at = Some(Instant::now());
        }
        if !is_back && crashed_at.is_some_and(|at| at.elapsed() >= DOWN) {
            is_back = true;
            for runner in site.runners.iter().filter(|runner| runner.zone == "z1").take(CRASHED) {
                site.supervise(runner);
            }
        }
        std::thread::sleep(PAUSE);
    }
    wait_until(Duration::from_secs(30), || clients.iter().all(|client| client.is_finished()));
    let ends = ends.lock().unwrap();
    let denied = |end: &End| matches!(end, End::Answered(status) if (300..500).contains(status) && ![408, 421, 429].contains(status));
    let all = ends.iter().filter(|(_, end)| denied(end)).count();
    let broken = ends.iter().filter(|(is_alike, end)| *is_alike && *end == End::Broken).count();
    let allowed = 5 + ends.len() / 500;
    record.line(&format!("{} requests; ended with a 3xx or 4xx of the system: {all}, allowed: {allowed}; streams about the same thing that were broken off: {broken}", ends.len()));
    Ok(all > allowed)
}

fn ask(address: &str, id: &str, thing: &str, record: &Record) -> End {
    let Some(mut connection) = Connection::open(address) else {
        return End::Unconnected;
    };
    let headers = [
        ("wellplank-model", "m".to_owned()),
        ("wellplank-token-usage", "300,700".to_owned()),
        ("wellplank-prefix-hash", format!("5c1e07a2:200,{:x}:100", thing.len() * 31 + thing.bytes().map(usize::from).sum::<usize>())),
        ("wellplank-timeout-ms", "25000".to_owned()),
    ];
    let body = format!("summary of {thing}");
    let path = format!("/draft/{thing}");
    let request = Ask {
        body: body.as_bytes(),
        headers: &headers,
        id,
        key: KEY,
        method: "POST",
        path: &path,
    };
    let mut last = 0;
    let end = connection.ask(&request, |event, _| last = event);
    if end != End::Whole {
        record.line(&format!("client: {id} about {thing} ended as {end:?} at event {last}"));
    }
    end
}
