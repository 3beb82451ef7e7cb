//! A runner of a plain service: it runs what names it, and answers 421 to what names another one.

use crate::{
    http::{self, Message},
    record::Record,
    store::Store,
};
use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Time that a request takes.
const WORK: Duration = Duration::from_millis(20);

/// `heartbeat_ms`.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Names of the requests that runners ran, with the runner of each; clones share it.
pub type Runs = Arc<Mutex<Vec<(String, String)>>>;

/// A runner.
pub struct Runner {
    pub address: SocketAddr,
    pub id: String,
}

/// Starts a runner and writes its entry.
pub fn start(
    id: &str,
    service: &str,
    zone: &str,
    store: &Store,
    runs: &Runs,
    record: &Record,
) -> Runner {
    let (name, runs, kept) = (id.to_owned(), runs.clone(), record.clone());
    let address = http::serve(move |request| answer(&name, request, &runs, &kept));
    let (key, value) = (format!("servers/{id}"), entry(service, address, zone));
    store.write(&key, &value);
    let (kept, beating) = (record.clone(), store.clone());
    std::thread::spawn(move || {
        loop {
            std::thread::sleep(HEARTBEAT);
            if beating.refresh(&key, &value) {
                kept.line(&format!("the runner wrote {key} again"));
            }
        }
    });
    record.line(&format!("runner {id} of {service} listens on {address}"));
    Runner {
        address,
        id: id.into(),
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

fn answer(id: &str, request: &Message, runs: &Runs, record: &Record) -> Vec<u8> {
    let (method, target) = request.target();
    let run = request
        .header("wellplank-request-id")
        .unwrap_or("")
        .to_owned();
    let expected = request.header("wellplank-expect-instance").unwrap_or("");
    if expected != id {
        record.line(&format!(
            "runner {id} answers 421 to {run}, which names {expected}"
        ));
        let headers = [
            ("Wellplank-Request-Id", run.as_str()),
            ("Wellplank-Not-Executed", "1"),
        ];
        return http::answer(421, &headers, b"");
    }
    let tenant = request.header("wellplank-tenant").unwrap_or("none");
    std::thread::sleep(WORK);
    record.line(&format!(
        "runner {id} ran {run}: {method} {target}, tenant {tenant}"
    ));
    runs.lock().unwrap().push((run.clone(), id.to_owned()));
    let signature = format!("{id}.{run}");
    let headers = [
        ("Wellplank-Request-Id", run.as_str()),
        ("Wellplank-Response-Signature", signature.as_str()),
        ("Wellplank-Instance-Id", id),
    ];
    http::answer(200, &headers, b"done")
}
