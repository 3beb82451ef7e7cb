//! Runners of a service are replaced one after the other: each lets its entry go, serves on, ends, and starts again under
//! the id that it had.

use crate::{
    Outcome, Plan,
    client::{Ask, Connection, End},
    site::{ENGINES, Record, Site},
    wait_until,
};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

const KEY: &str = "key-1";

/// Runners, and those of them that are replaced: 0.45.
const RUNNERS: usize = 24;
const REPLACED: usize = 10;

/// Instances, and clients of each.
const INSTANCES: usize = 3;
const CLIENTS: usize = 60;

/// Time before the first runner leaves, and between two; a little more each time, so that it does not keep step with what
/// instances do each 50 ms.
const BEFORE: Duration = Duration::from_secs(8);
const GAP: Duration = Duration::from_secs(5);
const MORE: Duration = Duration::from_millis(17);

/// Time after which the platform starts a process again that has ended.
const DOWN: Duration = Duration::from_millis(500);

/// Times that processes of a machine may end by themselves less one, and machines on which they may less one.
const ENDS: u32 = 3;
const MACHINES: usize = 2;

/// Plays the case.
pub fn play(plan: &Plan) -> Outcome {
    let record = plan.record.clone();
    let site = Site::start(&plan.folder, &plan.program, record.clone(), &[("mill", KEY)]);
    let mut site = site.map_err(|error| error.to_string())?;
    for number in 0..RUNNERS {
        let zone = format!("z{}", number % INSTANCES);
        site.add_runner(&format!("e{number}"), ENGINES, &zone, 0)
            .map_err(|error| error.to_string())?;
    }
    for number in 0..INSTANCES {
        site.add_instance(&format!("front-{number}"), &format!("z{number}"))
            .map_err(|error| error.to_string())?;
    }
    if !site.wait_until_ready() {
        return Err("the instances were not ready".into());
    }
    for instance in &site.instances {
        instance.supervise(DOWN, &record);
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (index, instance) in site.instances.iter().enumerate() {
        for number in 0..CLIENTS {
            let (address, is_over, record) =
                (instance.callers.clone(), is_over.clone(), record.clone());
            let client = index * CLIENTS + number;
            clients.push(std::thread::spawn(move || {
                ask_on(&address, client, &is_over, &record);
            }));
        }
    }
    std::thread::sleep(BEFORE);
    for number in 0..REPLACED {
        if plan.trouble {
            let runner = site.runner(&format!("e{number}"));
            site.supervise(&runner);
            record.line(&format!("runner {} leaves", runner.name));
            runner.leave();
        }
        std::thread::sleep(GAP + MORE * number as u32);
    }
    is_over.store(true, Ordering::Relaxed);
    wait_until(Duration::from_secs(15), || clients.iter().all(|client| client.is_finished()));
    let mut machines = 0;
    for instance in &site.instances {
        let ends = instance.ends.load(Ordering::Relaxed);
        record.line(&format!("{}: processes ended by themselves {ends} times", instance.name));
        machines += usize::from(ends >= ENDS);
    }
    let lines = record.lines();
    let broken = lines.iter().filter(|line| line.starts_with("client") && line.contains("Broken")).count();
    record.line(&format!("streams that were broken off: {broken}; machines with {ENDS} ends or more: {machines}"));
    Ok(machines >= MACHINES)
}

/// Asks for streams, one after the other, on a kept connection.
fn ask_on(address: &str, client: usize, is_over: &AtomicBool, record: &Record) {
    let mut connection = None;
    // Clients don't begin at the same moment.
    std::thread::sleep(Duration::from_millis(client as u64 * 37 % 4_000));
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            return;
        }
        let id = format!("s{client}.{number}");
        let headers = [
            ("wellplank-model", "m".to_owned()),
            ("wellplank-token-usage", "300,900".to_owned()),
            ("wellplank-prefix-hash", format!("5c1e07a2:200,{:x}:100", (client + 1) * 100_000 + number)),
            ("wellplank-timeout-ms", "25000".to_owned()),
        ];
        let body = format!("summary {id}");
        let request = Ask {
            body: body.as_bytes(),
            headers: &headers,
            id: &id,
            key: KEY,
            method: "POST",
            path: "/draft/1",
        };
        let Some(open) = connection.take().or_else(|| Connection::open(address)) else {
            std::thread::sleep(Duration::from_millis(200));
            continue;
        };
        let mut open: Connection = open;
        let mut last = 0;
        let end = open.ask(&request, |event, _| last = event);
        if end != End::Whole {
            record.line(&format!("client: stream {id} ended as {end:?} at event {last}"));
            std::thread::sleep(Duration::from_millis(200));
        }
        if matches!(end, End::Whole | End::Answered(_)) {
            connection = Some(open);
        }
    }
}
