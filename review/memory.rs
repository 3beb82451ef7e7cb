//! Two streams of one session ask for the same prompt at two instances; the first one's instance is killed, and its client
//! takes its stream up at a third.

use crate::{
    Outcome, Plan,
    client::{Ask, Connection, End},
    site::{ENGINES, Site},
    wait_until,
};
use std::{sync::Arc, time::Duration};

const KEY: &str = "key-1";

/// Sessions, each with two streams.
const SESSIONS: usize = 6;

/// Time between the two streams of a session, and from the second one to the kill.
const APART: Duration = Duration::from_millis(600);
const BEFORE_KILL: Duration = Duration::from_millis(1_200);

/// Attempts of a client: the first and one more.
const ATTEMPTS: usize = 2;

/// The two streams of a session, the instance that each asks first, and the tokens that it asks for at most.
const STREAMS: [(&str, usize, u32); 2] = [("a", 0, 700), ("b", 1, 800)];

/// Plays the case.
pub fn play(plan: &Plan) -> Outcome {
    let record = plan.record.clone();
    let site = Site::start(&plan.folder, &plan.program, record.clone(), &[("mill", KEY)]);
    let mut site = site.map_err(|error| error.to_string())?;
    for number in 0..6 {
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
    // All instances know each other by then, and are in touch.
    std::thread::sleep(Duration::from_secs(5));
    let callers: Vec<String> = site.instances.iter().map(|one| one.callers.clone()).collect();
    let callers = Arc::new(callers);
    let mut clients = Vec::new();
    for (stream, first, tokens) in STREAMS {
        for session in 0..SESSIONS {
            let (record, callers) = (record.clone(), callers.clone());
            clients.push(std::thread::spawn(move || {
                let mut last = 0;
                for attempt in 1..=ATTEMPTS {
                    let to = if attempt == 1 { first } else { 2 };
                    let id = format!("{stream}{session}-{attempt}");
                    let end = ask(&callers[to], &id, session, tokens, &mut last, &record);
                    record.line(&format!("client {stream}{session}: {id} at front-{to} ended as {end:?} at event {last}"));
                    if matches!(end, End::Whole | End::Answered(_)) {
                        return;
                    }
                    std::thread::sleep(Duration::from_millis(50));
                }
            }));
        }
        if stream == "a" {
            std::thread::sleep(APART);
        }
    }
    std::thread::sleep(BEFORE_KILL);
    if plan.trouble {
        record.line("front-0 is killed");
        site.instances[0].kill();
    }
    wait_until(Duration::from_secs(30), || clients.iter().all(|client| client.is_finished()));
    let ended: Vec<&str> = site.instances[1..].iter().filter(|one| one.ended().is_some()).map(|one| one.name.as_str()).collect();
    if !ended.is_empty() {
        record.line(&format!("ended by themselves: {ended:?}"));
    }
    let lines = record.lines();
    let mut foreign = 0;
    let mut own = 0;
    for line in &lines {
        let Some((_, rest)) = line.split_once("continues id=") else {
            continue;
        };
        let Some((id, run)) = rest.split_once(" from the memory of run=") else {
            continue;
        };
        let stream = |id: &str| id.split('-').next().unwrap_or_default().to_owned();
        if stream(id) == stream(run) {
            own += 1;
        } else {
            foreign += 1;
            record.line(&format!("MIXED: request {id} continues from the memory of {run}, which is a different request"));
        }
    }
    let strange = lines.iter().filter(|line| line.contains("got text of")).count();
    record.line(&format!("continued from own memory: {own}, from that of a different request: {foreign}; events with the text of a different request: {strange}"));
    Ok(foreign > 0)
}

/// Asks for a stream and counts its events; writes down the first event with the text of another request.
fn ask(
    address: &str,
    id: &str,
    session: usize,
    tokens: u32,
    last: &mut u64,
    record: &crate::site::Record,
) -> End {
    let Some(mut connection) = Connection::open(address) else {
        return End::Unconnected;
    };
    let mut headers = vec![
        ("wellplank-model", "m".to_owned()),
        ("wellplank-token-usage", format!("5000,{tokens}")),
        ("wellplank-prefix-hash", format!("5c1e07a2:200,91bd3f{session:02}:4800")),
        ("wellplank-timeout-ms", "25000".to_owned()),
    ];
    if *last > 0 {
        headers.push(("last-event-id", last.to_string()));
    }
    let body = format!("summary of notebook {session}");
    let path = format!("/draft/{session}");
    let request = Ask {
        body: body.as_bytes(),
        headers: &headers,
        id,
        key: KEY,
        method: "POST",
        path: &path,
    };
    record.line(&format!("client sends {id} after event {last}"));
    let own = id.split('-').next().unwrap_or_default();
    let mut is_told = false;
    connection.ask(&request, |number, text| {
        let from = text.split('-').next().unwrap_or_default();
        if from != own && !is_told {
            is_told = true;
            record.line(&format!("client {own} got text of {text} as event {number}"));
        }
        *last = number;
    })
}
