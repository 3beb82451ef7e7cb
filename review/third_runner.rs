//! Runners of plain services: each runs what names it, and answers 421 to what names another one.

use crate::{
    http::{self, Message, Server},
    record::Record,
    store::{self, Store},
};
use std::{
    net::SocketAddr,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(20);

/// `heartbeat_ms`.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Heartbeats without a write behind which an entry is gone.
const MISSED: u32 = 3;

/// Names of the requests that runners ran, with the runner of each; clones share it.
pub type Runs = Arc<Mutex<Vec<(String, String)>>>;

/// What all runners have in common.
#[derive(Clone)]
pub struct Pool {
    pub record: Record,
    pub runs: Runs,
    pub store: Store,
}

/// One life of a runner.
pub struct Runner {
    pub address: SocketAddr,
    pub id: String,
    has_ended: Arc<AtomicBool>,
    server: Server,
}

impl Pool {
    /// A pool without runners.
    pub fn new(store: &Store, record: &Record) -> Self {
        Self {
            record: record.clone(),
            runs: Runs::default(),
            store: store.clone(),
        }
    }

    /// Starts a runner at a free port.
    pub fn start(&self, id: &str, service: &str, zone: &str) -> Runner {
        self.start_at(http::free_port(), id, service, zone)
    }

    /// Starts a runner, which writes its entry with each heartbeat until it ends. The entry is gone behind three missed ones.
    pub fn start_at(&self, address: SocketAddr, id: &str, service: &str, zone: &str) -> Runner {
        let (name, pool) = (id.to_owned(), self.clone());
        let server = http::serve(address, move |request| pool.answer(&name, request));
        let server = server.expect("the address is free");
        let address = server.address;
        let (key, value) = (format!("servers/{id}"), entry(service, address, zone));
        self.store.write(&key, &value);
        let has_ended = Arc::new(AtomicBool::new(false));
        let (pool, ended) = (self.clone(), has_ended.clone());
        std::thread::spawn(move || pool.beat(&key, &value, &ended));
        let line = format!("runner {id} of {service} listens on {address}");
        self.record.line(&line);
        Runner {
            address,
            has_ended,
            id: id.into(),
            server,
        }
    }

    /// Writes an entry with each heartbeat.
    fn beat(&self, key: &str, value: &str, has_ended: &AtomicBool) {
        let mut beaten_at = Instant::now();
        while !has_ended.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(5));
            if beaten_at.elapsed() < HEARTBEAT {
                continue;
            }
            beaten_at = Instant::now();
            if self.store.refresh(key, value) {
                self.record.line(&format!("the runner wrote {key} again"));
            }
        }
        std::thread::sleep((MISSED * HEARTBEAT).saturating_sub(beaten_at.elapsed()));
        if self.store.value(key) == Some(store::encode(value)) {
            self.store.delete(key);
            self.record.line(&format!("{key} is gone"));
        }
    }

    fn answer(&self, id: &str, request: &Message) -> Vec<u8> {
        let (method, target) = request.target();
        let run = request.header("wellplank-request-id").unwrap_or("");
        let expected = request.header("wellplank-expect-instance").unwrap_or("");
        if expected != id {
            let line = format!("runner {id} answers 421 to {run}, which names {expected}");
            self.record.line(&line);
            let headers = [
                ("Wellplank-Request-Id", run),
                ("Wellplank-Not-Executed", "1"),
            ];
            return http::answer(421, &headers, b"");
        }
        let tenant = request.header("wellplank-tenant").unwrap_or("none");
        std::thread::sleep(WORK);
        let line = format!("runner {id} ran {run}: {method} {target}, tenant {tenant}");
        self.record.line(&line);
        self.runs.lock().unwrap().push((run.into(), id.into()));
        let signature = format!("{id}.{run}");
        let headers = [
            ("Wellplank-Request-Id", run),
            ("Wellplank-Response-Signature", signature.as_str()),
            ("Wellplank-Instance-Id", id),
        ];
        http::answer(200, &headers, b"done")
    }
}

impl Runner {
    /// Ends this life as a crash: connections are refused, and nothing is written any more.
    pub fn crash(&self, record: &Record) {
        self.has_ended.store(true, Ordering::Relaxed);
        self.server.close();
        record.line(&format!("runner {} crashed", self.id));
    }
}

/// The entry of a runner, with all fields of the pages.
fn entry(service: &str, address: SocketAddr, zone: &str) -> String {
    let born = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis();
    format!(
        "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"1.0\",\"slots\":6,\
         \"state\":\"ready\",\"cold_left_ms\":0,\"call_seq\":0,\"born\":{born}}}"
    )
}
