//! A runner as a process of its own: an engine that streams events, or a plain service.
//!
//! It writes its entry to the store, answers 421 to requests for another runner, and keeps copies of the memory of other
//! runners' requests. What it runs stands on its standard output. The line `leave` on its standard input removes its
//! entry, without `draining`; it serves on for a while and ends. It ends at once with its standard input.

use crate::http::{self, Request};
use std::{
    collections::HashMap,
    io::{self, BufRead, BufReader, Write},
    net::{TcpListener, TcpStream},
    sync::{Arc, Mutex},
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Interval between two writes of the entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Time for which a runner that leaves serves on: `drain_ms`, and a little longer.
const SERVES_ON: Duration = Duration::from_millis(2_300);

/// Time until the first event, and between two.
const PREFILL: Duration = Duration::from_millis(200);
const STEP: Duration = Duration::from_millis(30);

/// Events between two parts of a copy.
const PART: u64 = 6;

/// Time for which a copy is kept behind its last part.
const KEPT: Duration = Duration::from_secs(4);

/// Tokens of an event.
const STRIDE: u64 = 5;

struct Runner {
    address: String,
    /// Copies of the memory of requests that run elsewhere, by their ids: the run whose text they continue, and when the
    /// last part came.
    copies: Mutex<HashMap<String, (String, Instant)>>,
    is_engine: bool,
    name: String,
    work: Duration,
}

fn say(text: &str) {
    let mut out = io::stdout().lock();
    let _ = writeln!(out, "{text}");
    let _ = out.flush();
}

/// Sends a part of a run's memory to the runner that keeps its copy, or tells it that the run has ended well.
fn send_part(request: &Request, id: &str, text: &str, state: &str) {
    let Some(backup) = request.header("wellplank-kv-backup").map(str::to_owned) else {
        return;
    };
    let target = format!("/api/kv-part?id={id}&text={text}&state={state}");
    std::thread::spawn(move || {
        let _ = http::exchange(&backup, "POST", &target, b"");
    });
}

/// Runs a runner: name, address, service, zone, store, `engine` or `plain`, milliseconds of work.
pub fn run(arguments: &[String]) -> io::Result<()> {
    let [name, address, service, zone, store, kind, work] = arguments else {
        return Err(io::ErrorKind::InvalidInput.into());
    };
    let listener = TcpListener::bind(address)?;
    let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |now| now.as_millis());
    let entry = format!(
        r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":64,"state":"ready","cold_left_ms":0,"call_seq":0,"born":{born}}}"#
    );
    let key = format!("/runner/put?key=servers/{name}");
    http::exchange(store, "POST", &key, entry.as_bytes())?;
    say(&format!("started born={born}"));
    let runner = Arc::new(Runner {
        address: address.clone(),
        copies: Mutex::default(),
        is_engine: kind == "engine",
        name: name.clone(),
        work: Duration::from_millis(work.parse().unwrap_or(15)),
    });
    let leaving = Arc::new(Mutex::new(false));
    {
        let (leaving, store, entry) = (leaving.clone(), store.clone(), entry.clone());
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(HEARTBEAT);
                let leaving = leaving.lock().unwrap();
                if *leaving {
                    return;
                }
                let _ = http::exchange(&store, "POST", &key, entry.as_bytes());
            }
        });
    }
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let runner = runner.clone();
            std::thread::spawn(move || {
                let _ = runner.serve(stream);
            });
        }
    });
    let mut line = String::new();
    io::stdin().lock().read_line(&mut line)?;
    if line.trim() == "leave" {
        *leaving.lock().unwrap() = true;
        let key = format!("/runner/remove?key=servers/{name}");
        http::exchange(store, "POST", &key, b"")?;
        say("entry removed");
        std::thread::sleep(SERVES_ON);
        say("ends");
    }
    Ok(())
}

impl Runner {
    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_request(&mut reader)? {
            self.answer(&request, &mut writer)?;
        }
        Ok(())
    }

    fn answer(&self, request: &Request, writer: &mut TcpStream) -> io::Result<()> {
        if request.path() == "/api/kv-part" {
            let parameter = |name: &str| request.parameter(name).unwrap_or_default();
            let mut copies = self.copies.lock().unwrap();
            if parameter("state") == "ended" {
                copies.remove(&parameter("id"));
            } else {
                copies.insert(parameter("id"), (parameter("text"), Instant::now()));
            }
            return http::write_message(writer, "HTTP/1.1 200 OK", &[], b"");
        }
        let id = request.header("wellplank-request-id").unwrap_or_default().to_owned();
        let expected = request.header("wellplank-expect-instance");
        if expected.is_some_and(|expected| expected != self.name) {
            say(&format!("421 id={id}"));
            let headers = [("wellplank-instance-id", self.name.as_str())];
            return http::write_message(writer, "HTTP/1.1 421 Misdirected Request", &headers, b"");
        }
        if !self.is_engine {
            say(&format!("run id={id}"));
            std::thread::sleep(self.work);
            let headers = [
                ("wellplank-request-id", id.as_str()),
                ("wellplank-response-signature", "3e1b.07"),
                ("content-type", "text/plain"),
            ];
            return http::write_message(writer, "HTTP/1.1 200 OK", &headers, id.as_bytes());
        }
        let mut text = id.clone();
        let source = request.header("kv-from").and_then(|source| source.split_once('/'));
        if let Some((address, run)) = source {
            let copy = self.copies.lock().unwrap().get(run).cloned();
            let copy = copy.filter(|(_, at)| at.elapsed() < KEPT && address == self.address);
            let Some((copy, _)) = copy else {
                say(&format!("503 id={id} no copy of run={run}"));
                let headers = [("wellplank-not-executed", "1")];
                return http::write_message(writer, "HTTP/1.1 503 Service Unavailable", &headers, b"");
            };
            say(&format!("continues id={id} from the memory of run={run}"));
            text = copy;
        }
        let result = self.stream(request, &id, &text, source.is_some(), writer);
        say(&format!("{} id={id}", if result.is_ok() { "whole" } else { "cut" }));
        result
    }

    fn stream(
        &self,
        request: &Request,
        id: &str,
        text: &str,
        has_copy: bool,
        writer: &mut TcpStream,
    ) -> io::Result<()> {
        let last: u64 = request.header("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
        let usage = request.header("wellplank-token-usage").and_then(|text| text.split_once(','));
        let tokens: u64 = usage.and_then(|(_, most)| most.trim().parse().ok()).unwrap_or(700);
        say(&format!("run id={id} from event {}", last + 1));
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\
             wellplank-request-id: {id}\r\nwellplank-response-signature: 3e1b.07\r\n\r\n"
        );
        std::thread::sleep(if has_copy { STEP } else { PREFILL });
        writer.write_all(head.as_bytes())?;
        for number in last + 1..=tokens / STRIDE {
            let event = format!("id: {number}\ndata: {text} {number}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            writer.write_all(chunk.as_bytes())?;
            if number % PART == 1 {
                send_part(request, id, text, "runs");
            }
            std::thread::sleep(STEP);
        }
        writer.write_all(b"0\r\n\r\n")?;
        send_part(request, id, text, "ended");
        Ok(())
    }
}
