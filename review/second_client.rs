//! Clients of streams, which come back with `Last-Event-Id` at another instance when a stream breaks off.

use crate::{http::Connection, record::note};
use std::{
    collections::HashMap,
    io,
    sync::{
        Arc, Mutex,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

static NEXT: AtomicU64 = AtomicU64::new(1);

/// A new id of one client attempt.
pub fn attempt_id() -> String {
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    format!(
        "{:016x}",
        (number << 32 | u64::from(std::process::id())).wrapping_mul(0x9e37_79b9_7f4a_7c15)
    )
}

/// Which request each client attempt belongs to.
pub type Attempts = Arc<Mutex<HashMap<String, String>>>;

/// One request for a stream.
#[derive(Clone)]
pub struct Stream {
    /// Name of the request in the record.
    pub name: String,
    /// What is asked; the same for requests that ask for the same.
    pub subject: String,
    /// Place of the first instance among the addresses.
    pub first: usize,
    pub path: &'static str,
    /// Tokens of the prompt.
    pub prompt: u64,
    pub events: u64,
}

/// What a client received.
#[derive(Default)]
pub struct Received {
    /// Data of each event.
    pub data: Vec<String>,
    pub complete: bool,
    pub attempts: u32,
}

impl Stream {
    /// Asks until the answer is complete or the client's time is over.
    pub fn run(&self, addresses: &[String], attempts: &Attempts) -> Received {
        let until = Instant::now() + Duration::from_secs(25);
        let mut received = Received::default();
        while Instant::now() < until && !received.complete {
            let address = &addresses[(self.first + received.attempts as usize) % addresses.len()];
            let id = attempt_id();
            attempts
                .lock()
                .unwrap()
                .insert(id.clone(), self.name.clone());
            received.attempts += 1;
            let left = until.saturating_duration_since(Instant::now());
            let last = received.data.len();
            note(&format!(
                "client {} sends {id} to {address}, last event {last}",
                self.name
            ));
            let result = self.attempt(address, &id, left, &mut received);
            let got = received.data.len();
            match result {
                Ok(()) => note(&format!(
                    "client {}: {id} is complete with event {got}",
                    self.name
                )),
                Err(error) => note(&format!(
                    "client {}: {id} ended behind event {got}: {error}",
                    self.name
                )),
            }
            if !received.complete {
                thread::sleep(Duration::from_millis(150));
            }
        }
        received
    }

    fn attempt(
        &self,
        address: &str,
        id: &str,
        left: Duration,
        received: &mut Received,
    ) -> io::Result<()> {
        let mut connection = Connection::connect(address, Duration::from_secs(1))?;
        connection
            .stream()
            .set_read_timeout(Some(Duration::from_secs(10)))?;
        let last = received.data.len();
        let resumes = if last > 0 {
            format!("Last-Event-Id: {last}\r\n")
        } else {
            String::new()
        };
        let body = format!("summary of {}", self.subject);
        let hash = self.subject.bytes().fold(7u32, |hash, byte| {
            hash.wrapping_mul(31).wrapping_add(u32::from(byte))
        });
        let head = format!(
            "POST {} HTTP/1.1\r\nHost: ficu95.example\r\nWellplank-Request-Id: {id}\r\n{resumes}Wellplank-Model: m\r\nWellplank-Token-Usage: {},{}\r\nWellplank-Prefix-Hash: {hash:08x}:{}\r\nWellplank-Timeout-Ms: {}\r\nAuthorization: Token key-1\r\nContent-Length: {}\r\n\r\n{body}",
            self.path,
            self.prompt,
            self.events * 5,
            self.prompt,
            left.as_millis(),
            body.len(),
        );
        connection.write(head.as_bytes())?;
        let head = connection.head()?;
        if head.status() != 200 {
            return Err(io::Error::other(head.first));
        }
        let mut text = String::new();
        while let Some(chunk) = connection.chunk()? {
            text.push_str(&String::from_utf8_lossy(&chunk));
            while let Some((event, rest)) = text.split_once("\n\n") {
                let field = |name: &str| {
                    event
                        .lines()
                        .find_map(|line| line.strip_prefix(name))
                        .unwrap_or("")
                        .trim()
                        .to_owned()
                };
                let (number, data) = (field("id:"), field("data:"));
                if number.parse() != Ok(received.data.len() + 1) {
                    note(&format!(
                        "client {}: event {number} out of order",
                        self.name
                    ));
                }
                received.data.push(data);
                text = rest.to_owned();
            }
        }
        received.complete = true;
        Ok(())
    }
}
