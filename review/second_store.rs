//! A stand-in for the platform's store: items, leases, transactions and watches, as the users' page describes them.

use crate::{
    http::{Connection, Message},
    json::Json,
};
use std::{
    collections::BTreeMap,
    io,
    net::TcpListener,
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

/// Items of a page.
const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Change {
    key: String,
    revision: u64,
    item: Option<Item>,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    next_lease: u64,
    history: Vec<Change>,
}

/// The store; clones share it.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(Change {
            key: key.to_owned(),
            revision: self.revision,
            item: Some(item),
        });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push(Change {
                key: key.to_owned(),
                revision: self.revision,
                item: None,
            });
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in over {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| item.lease == lease)
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

fn show(key: &str, item: &Item) -> String {
    format!(
        r#"{{"private_key":"{key}","value":"{}","revision":{},"created":{},"lease":{}}}"#,
        item.value, item.revision, item.created, item.lease
    )
}

impl Store {
    /// Serves the store at a listener.
    pub fn serve(&self, listener: TcpListener) {
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || {
                    let Ok(mut connection) = Connection::new(stream) else {
                        return;
                    };
                    while let Ok(request) = connection.message() {
                        let (status, body) = store.call(&request);
                        let headers = "Content-Type: application/json\r\n";
                        if connection.answer(status, headers, &body).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        let store = self.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                store.change(State::expire);
            }
        });
    }

    /// Writes an item as the operator or a runner does.
    pub fn put(&self, key: &str, value: &str) {
        self.change(|state| state.put(key, base64(value.as_bytes()), 0));
    }

    fn change<T>(&self, apply: impl FnOnce(&mut State) -> T) -> T {
        let (state, changed) = &*self.0;
        let mut state = state.lock().unwrap();
        let before = state.revision;
        let result = apply(&mut state);
        if state.revision != before {
            changed.notify_all();
        }
        result
    }

    fn call(&self, request: &Message) -> (&'static str, String) {
        let path = request.path().to_owned();
        let id = || {
            path.rsplit('/')
                .next()
                .and_then(|id| id.parse().ok())
                .unwrap_or(0)
        };
        match path.as_str() {
            "/api/kv-key" => self.key(request),
            "/api/kv-range" => self.range(request),
            "/api/kv-watch" => self.watch(request),
            "/api/kv-txn" => self.txn(request),
            "/api/kv-lease" => self.grant(request),
            _ if path.starts_with("/api/kv-keep/") => self.keep(id()),
            _ if path.starts_with("/api/kv-lease-end/") => {
                self.change(|state| state.end_lease(id()));
                ("200 OK", "{}".into())
            }
            _ => ("404 Not Found", "{}".into()),
        }
    }

    fn key(&self, request: &Message) -> (&'static str, String) {
        let key = request.query("private_key").unwrap_or_default();
        self.change(|state| match state.items.get(&key) {
            Some(item) => {
                let mut text = show(&key, item);
                text.pop();
                ("200 OK", format!(r#"{text},"as_of":{}}}"#, state.revision))
            }
            None => ("404 Not Found", "{}".into()),
        })
    }

    fn range(&self, request: &Message) -> (&'static str, String) {
        let prefix = request.query("path_prefix").unwrap_or_default();
        let after = request.query("since_rev").unwrap_or_default();
        self.change(|state| {
            let fits =
                |key: &&String| key.starts_with(&prefix) && (after.is_empty() || **key > after);
            let keys: Vec<&String> = state.items.keys().filter(fits).collect();
            let shown: Vec<String> = keys
                .iter()
                .take(PAGE)
                .map(|key| show(key, &state.items[*key]))
                .collect();
            let has_more = keys.len() > PAGE;
            let body = format!(
                r#"{{"items":[{}],"has_more":{has_more},"as_of":{}}}"#,
                shown.join(","),
                state.revision
            );
            ("200 OK", body)
        })
    }

    fn watch(&self, request: &Message) -> (&'static str, String) {
        let prefix = request.query("path_prefix").unwrap_or_default();
        let number = |name: &str| {
            request
                .query(name)
                .and_then(|text| text.parse::<u64>().ok())
                .unwrap_or(0)
        };
        let since = number("since_rev");
        let until = Instant::now() + Duration::from_millis(number("wait_ms").min(30_000));
        let (state, changed) = &*self.0;
        let mut state = state.lock().unwrap();
        loop {
            let fits =
                |change: &&Change| change.revision > since && change.key.starts_with(&prefix);
            let events: Vec<String> = state
                .history
                .iter()
                .filter(fits)
                .map(|change| match &change.item {
                    Some(item) => show(&change.key, item),
                    None => format!(
                        r#"{{"private_key":"{}","revision":{},"deleted":true}}"#,
                        change.key, change.revision
                    ),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(
                    r#"{{"events":[{}],"as_of":{}}}"#,
                    events.join(","),
                    state.revision
                );
                return ("200 OK", body);
            }
            state = changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn txn(&self, request: &Message) -> (&'static str, String) {
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let Some(body) = Json::parse(&body) else {
            return ("400 Bad Request", "{}".into());
        };
        let rows = |name: &str| {
            body.get(name)
                .map_or(Vec::new(), |rows| rows.list().to_vec())
        };
        let text = |row: &Json, name: &str| {
            row.get(name)
                .map_or(String::new(), |field| field.text().to_owned())
        };
        let number = |row: &Json, name: &str| row.get(name).map_or(0, Json::number);
        self.change(|state| {
            state.expire();
            for row in rows("expected_rev") {
                let known = state
                    .items
                    .get(&text(&row, "private_key"))
                    .map_or(0, |item| item.revision);
                if known != number(&row, "revision") {
                    return ("412 Precondition Failed", r#"{"items":[]}"#.into());
                }
            }
            for row in rows("puts") {
                let lease = number(&row, "lease");
                if lease != 0 && !state.leases.contains_key(&lease) {
                    return ("404 Not Found", "{}".into());
                }
            }
            for row in rows("puts") {
                state.put(
                    &text(&row, "private_key"),
                    text(&row, "value"),
                    number(&row, "lease"),
                );
            }
            for key in rows("remove") {
                state.remove(key.text());
            }
            ("200 OK", format!(r#"{{"revision":{}}}"#, state.revision))
        })
    }

    fn grant(&self, request: &Message) -> (&'static str, String) {
        let body = Json::parse(&String::from_utf8_lossy(&request.body));
        let ttl_ms = body
            .and_then(|body| body.get("ttl_ms").map(Json::number))
            .unwrap_or(1_000)
            .max(1_000);
        let ttl = Duration::from_millis(ttl_ms);
        self.change(|state| {
            state.next_lease += 1;
            let lease = 77_000 + state.next_lease;
            state.leases.insert(lease, (Instant::now() + ttl, ttl));
            (
                "200 OK",
                format!(r#"{{"lease":{lease},"ttl_ms":{ttl_ms}}}"#),
            )
        })
    }

    fn keep(&self, lease: u64) -> (&'static str, String) {
        self.change(|state| match state.leases.get_mut(&lease) {
            Some((end, ttl)) => {
                *end = Instant::now() + *ttl;
                ("200 OK", format!(r#"{{"ttl_ms":{}}}"#, ttl.as_millis()))
            }
            None => ("404 Not Found", "{}".into()),
        })
    }
}

/// Standard base64 with padding.
fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let number = part
            .iter()
            .fold(0u32, |number, byte| number << 8 | u32::from(*byte))
            << (8 * (3 - part.len()));
        for place in 0..4 {
            let sign = SIGNS[(number >> (18 - 6 * place)) as usize & 63];
            text.push(if place <= part.len() {
                sign as char
            } else {
                '='
            });
        }
    }
    text
}

/// Listens on a free port of an address.
pub fn listen(address: &str) -> io::Result<(TcpListener, String)> {
    let listener = TcpListener::bind((address, 0))?;
    let text = listener.local_addr()?.to_string();
    Ok((listener, text))
}
