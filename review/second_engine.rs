//! Stand-ins for model runners: streams of events, copies of the memory of runs at other runners, and what each run continues.

use crate::{
    http::{Connection, Message},
    record::note,
    store::{Store, listen},
};
use std::{
    collections::{HashMap, HashSet},
    io,
    sync::{Arc, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Time for which a copy outlasts the last part that was sent (`handle_s`).
const COPY_TIME: Duration = Duration::from_secs(4);

/// Prompt tokens that are read in a millisecond.
const PREFILL_PER_MS: u64 = 5;

/// Tokens in one event.
const EVENT_TOKENS: u64 = 5;

/// The memory of a run.
#[derive(Clone)]
struct Memory {
    /// The run that began this text.
    text: String,
    at: Instant,
}

/// A run that went on from a copy.
#[derive(Clone)]
pub struct Continued {
    /// The request that runs.
    pub request: String,
    /// The request whose copy it uses.
    pub copy_of: String,
}

/// Runners of one service.
#[derive(Clone)]
pub struct Engines {
    /// Copies by the address of the runner that keeps each, and the request.
    copies: Arc<Mutex<HashMap<(String, String), Memory>>>,
    pub continued: Arc<Mutex<Vec<Continued>>>,
    event_ms: u64,
    /// The runs that produced events.
    pub runs: Arc<Mutex<HashSet<String>>>,
}

impl Engines {
    /// Starts runners that register in the store.
    pub fn start(
        store: &Store,
        service: &str,
        version: &str,
        zones: &[&str],
        event_ms: u64,
    ) -> io::Result<Self> {
        let engines = Self {
            copies: Arc::default(),
            continued: Arc::default(),
            event_ms,
            runs: Arc::default(),
        };
        for (number, zone) in zones.iter().enumerate() {
            let (listener, address) = listen("127.0.0.1")?;
            let id = format!("i-{service}-{number}");
            store.put(
                &format!("servers/{id}"),
                &format!(
                    r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"{version}","slots":64,"state":"ready","cold_left_ms":0,"call_seq":0}}"#
                ),
            );
            let engines = engines.clone();
            thread::spawn(move || {
                for stream in listener.incoming().flatten() {
                    let (engines, id, address) = (engines.clone(), id.clone(), address.clone());
                    thread::spawn(move || {
                        let served = Connection::new(stream)
                            .and_then(|connection| engines.serve(connection, &id, &address));
                        if let Err(error) = served {
                            note(&format!("runner {id}: connection ended: {error}"));
                        }
                    });
                }
            });
        }
        Ok(engines)
    }

    fn serve(&self, mut connection: Connection, id: &str, address: &str) -> io::Result<()> {
        loop {
            let Ok(request) = connection.message() else {
                return Ok(());
            };
            let expected = request.header("wellplank-expect-instance");
            if !expected.is_empty() && expected != id {
                connection.answer(
                    "421 Misdirected Request",
                    &format!("Wellplank-Instance-Id: {id}\r\n"),
                    "",
                )?;
                continue;
            }
            if request.path() == "/health" {
                connection.answer("200 OK", &format!("Wellplank-Instance-Id: {id}\r\n"), "")?;
                continue;
            }
            return self.run(connection, &request, id, address);
        }
    }

    /// Runs a request and streams its events.
    fn run(
        &self,
        mut connection: Connection,
        request: &Message,
        id: &str,
        address: &str,
    ) -> io::Result<()> {
        let run = request.header("wellplank-request-id").to_owned();
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let source = request.header("kv-from");
        let backup = request.header("wellplank-kv-backup").to_owned();
        note(&format!(
            "runner {id} gets {run}, behind event {after}, from copy `{source}`, backup at `{backup}`"
        ));
        let mut text = run.clone();
        let mut prefill = tokens(request, 0) / PREFILL_PER_MS;
        if let Some((at, of)) = source.rsplit_once('/') {
            let copy = self
                .copies
                .lock()
                .unwrap()
                .remove(&(at.to_owned(), of.to_owned()));
            let copy = copy.filter(|copy| at == address && copy.at.elapsed() < COPY_TIME);
            let Some(copy) = copy else {
                note(&format!("runner {id} has no copy for {run}"));
                let headers =
                    format!("Wellplank-Request-Id: {run}\r\nWellplank-Not-Executed: 1\r\n");
                return connection.answer("503 Service Unavailable", &headers, "");
            };
            note(&format!(
                "runner {id}: {run} goes on from the memory of {of}, which is text {}",
                copy.text
            ));
            self.continued.lock().unwrap().push(Continued {
                request: run.clone(),
                copy_of: of.to_owned(),
            });
            text = copy.text;
            prefill = 20;
        }
        thread::sleep(Duration::from_millis(prefill));
        connection.write(
            format!(
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nWellplank-Request-Id: {run}\r\nWellplank-Response-Signature: sig-{run}\r\n\r\n"
            )
            .as_bytes(),
        )?;
        let events = tokens(request, 1) / EVENT_TOKENS;
        for number in after + 1..=events {
            self.runs.lock().unwrap().insert(text.clone());
            let event = format!("id: {number}\ndata: {text}.{number}\n\n");
            connection.write(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes())?;
            if !backup.is_empty() {
                let memory = Memory {
                    text: text.clone(),
                    at: Instant::now(),
                };
                self.copies
                    .lock()
                    .unwrap()
                    .insert((backup.clone(), run.clone()), memory);
            }
            thread::sleep(Duration::from_millis(self.event_ms));
            if is_closed(&connection) {
                note(&format!(
                    "runner {id}: the connection of {run} is closed behind event {number}"
                ));
                return Ok(());
            }
        }
        connection.write(b"0\r\n\r\n")?;
        self.copies.lock().unwrap().remove(&(backup, run));
        Ok(())
    }
}

fn tokens(request: &Message, place: usize) -> u64 {
    let usage = request.header("wellplank-token-usage");
    usage
        .split(',')
        .nth(place)
        .and_then(|number| number.trim().parse().ok())
        .unwrap_or(0)
}

/// Whether the other end has closed a connection.
pub fn is_closed(connection: &Connection) -> bool {
    let stream = connection.stream();
    let _ = stream.set_nonblocking(true);
    let closed = match stream.peek(&mut [0; 1]) {
        Ok(0) => true,
        Ok(_) => false,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    };
    let _ = stream.set_nonblocking(false);
    closed
}
