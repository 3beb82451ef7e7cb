//! The platform's key-value store: items, leases, pages and long polls, as the users' page has them.

use crate::{
    http::{self, Request},
    json,
};
use std::{
    collections::BTreeMap,
    io::{self, BufReader},
    net::{TcpListener, TcpStream},
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

/// Time that an answer takes.
const ANSWER: Duration = Duration::from_millis(4);

/// Items in one page.
const PAGE: usize = 500;

/// Time without a write after which the entry of a runner goes: three heartbeats.
const ENTRY: Duration = Duration::from_millis(3_600);

struct Item {
    created: u64,
    lease: u64,
    revision: u64,
    value: String,
    /// When a runner wrote it last; `None` for what others write.
    written: Option<Instant>,
}

#[derive(Default)]
struct State {
    events: Vec<(u64, String, String)>,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    revision: u64,
}

/// The store.
#[derive(Clone, Default)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
}

impl State {
    fn text(key: &str, item: &Item) -> String {
        format!(
            r#"{{"private_key":"{key}","value":"{}","revision":{},"created":{},"lease":{}}}"#,
            item.value, item.revision, item.created, item.lease
        )
    }

    fn put(&mut self, key: &str, value: String, lease: u64, written: Option<Instant>) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item {
            created,
            lease,
            revision: self.revision,
            value,
            written,
        };
        self.events
            .push((self.revision, key.to_owned(), Self::text(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        let text = format!(
            r#"{{"private_key":"{key}","revision":{},"deleted":true}}"#,
            self.revision
        );
        self.events.push((self.revision, key.to_owned(), text));
    }

    fn expire(&mut self) {
        let over = |(at, ttl): &(Instant, Duration)| at.elapsed() >= *ttl;
        let leases: Vec<u64> = self.leases.iter().filter(|(_, one)| over(one)).map(|(id, _)| *id).collect();
        for lease in &leases {
            self.leases.remove(lease);
        }
        let gone = |item: &Item| {
            leases.contains(&item.lease) || item.written.is_some_and(|at| at.elapsed() >= ENTRY)
        };
        let keys: Vec<String> = self.items.iter().filter(|(_, item)| gone(item)).map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

impl Store {
    /// Starts to listen; returns the address.
    pub fn start(&self) -> io::Result<String> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?.to_string();
        let store = self.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                std::thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        let store = self.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                store.change(State::expire);
            }
        });
        Ok(address)
    }

    fn change<T>(&self, change: impl FnOnce(&mut State) -> T) -> T {
        let result = change(&mut self.state.0.lock().unwrap());
        self.state.1.notify_all();
        result
    }

    /// The operator writes the configuration.
    pub fn put(&self, key: &str, value: &str) {
        self.change(|state| state.put(key, json::base64(value.as_bytes()), 0, None));
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_request(&mut reader)? {
            std::thread::sleep(ANSWER);
            let (status, body) = self.answer(&request);
            let first = format!("HTTP/1.1 {status} Answer");
            let headers = [("content-type", "application/json")];
            http::write_message(&mut writer, &first, &headers, body.as_bytes())?;
        }
        Ok(())
    }

    fn answer(&self, request: &Request) -> (u16, String) {
        let prefix = request.parameter("path_prefix").unwrap_or_default();
        let path = request.path();
        match (request.method.as_str(), path) {
            ("GET", "/api/kv-range") => self.range(&prefix, request.parameter("since_rev")),
            ("GET", "/api/kv-watch") => self.watch(&prefix, request),
            ("POST", "/api/kv-txn") => self.transact(&request.body),
            ("POST", "/api/kv-lease") => {
                let ttl = json::parse(&request.body).and_then(|body| body.get("ttl_ms").cloned());
                let ttl = ttl.map_or(1_000, |ttl| ttl.number());
                let lease = self.change(|state| {
                    state.revision += 1;
                    let lease = state.revision;
                    let ttl = Duration::from_millis(ttl);
                    state.leases.insert(lease, (Instant::now(), ttl));
                    lease
                });
                (200, format!(r#"{{"lease":{lease},"ttl_ms":{ttl}}}"#))
            }
            ("POST", _) if path.starts_with("/api/kv-keep/") => {
                let lease = path.rsplit('/').next().and_then(|text| text.parse().ok());
                let kept = self.change(|state| {
                    let lease = state.leases.get_mut(&lease.unwrap_or(0));
                    lease.map(|(at, _)| *at = Instant::now()).is_some()
                });
                if kept { (200, "{}".into()) } else { (404, "{}".into()) }
            }
            // What runners write, which is not the system's interface.
            ("POST", "/runner/put") => {
                let key = request.parameter("key").unwrap_or_default();
                let value = json::base64(&request.body);
                self.change(|state| match state.items.get_mut(&key) {
                    Some(item) if item.value == value => item.written = Some(Instant::now()),
                    _ => state.put(&key, value, 0, Some(Instant::now())),
                });
                (200, "{}".into())
            }
            ("POST", "/runner/remove") => {
                let key = request.parameter("key").unwrap_or_default();
                self.change(|state| state.remove(&key));
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }

    fn range(&self, prefix: &str, after: Option<String>) -> (u16, String) {
        let state = self.state.0.lock().unwrap();
        let after = after.unwrap_or_default();
        let all = state.items.iter();
        let mut items = all.filter(|(key, _)| key.starts_with(prefix) && **key > after);
        let page: Vec<String> = items.by_ref().take(PAGE).map(|(key, item)| State::text(key, item)).collect();
        let has_more = items.next().is_some();
        let body = format!(
            r#"{{"items":[{}],"has_more":{has_more},"as_of":{}}}"#,
            page.join(","),
            state.revision
        );
        (200, body)
    }

    fn watch(&self, prefix: &str, request: &Request) -> (u16, String) {
        let number = |name: &str| request.parameter(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let (since, wait) = (number("since_rev"), Duration::from_millis(number("wait_ms")));
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            let matching = state.events.iter();
            let matching = matching.filter(|(at, key, _)| *at > since && key.starts_with(prefix));
            let events: Vec<&str> = matching.map(|(_, _, text)| text.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let body = format!(r#"{{"events":[{}],"as_of":{}}}"#, events.join(","), state.revision);
                return (200, body);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &[u8]) -> (u16, String) {
        let Some(body) = json::parse(body) else {
            return (400, "{}".into());
        };
        let field = |name: &str| body.get(name).map_or(Vec::new(), |value| value.array().to_vec());
        let puts = field("puts");
        let is_foreign = |key: &str| key.starts_with("op/") || key.starts_with("servers/");
        self.change(|state| {
            for put in &puts {
                let key = put.get("private_key").map_or("", |key| key.text());
                let lease = put.get("lease").map_or(0, |lease| lease.number());
                if is_foreign(key) {
                    return (403, "{}".into());
                }
                if lease != 0 && !state.leases.contains_key(&lease) {
                    return (404, "{}".into());
                }
            }
            for put in &puts {
                let text = |name: &str| put.get(name).map_or("", |value| value.text()).to_owned();
                let lease = put.get("lease").map_or(0, |lease| lease.number());
                state.put(&text("private_key"), text("value"), lease, None);
            }
            for key in field("remove") {
                state.remove(key.text());
            }
            (200, format!(r#"{{"revision":{}}}"#, state.revision))
        })
    }
}
