//! The platform's store.

use crate::{
    http::{self, Message},
    json::{Json, base64},
};
use std::{
    collections::{BTreeMap, HashMap},
    net::SocketAddr,
    sync::{Arc, Condvar, Mutex},
    time::{Duration, Instant},
};

/// Most items of a page.
const PAGE: usize = 500;

#[derive(Clone)]
struct Item {
    created: u64,
    lease: u64,
    revision: u64,
    /// In base64.
    value: String,
}

#[derive(Default)]
struct State {
    /// Changes in the order of their revisions, each with its key and as a watch tells it.
    events: Vec<(u64, String, String)>,
    items: BTreeMap<String, Item>,
    /// Leases with their time to live and end.
    leases: HashMap<u64, (Duration, Instant)>,
    next_lease: u64,
    revision: u64,
}

/// A store; clones share it.
#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let revision = self.revision;
        let item = Item {
            created,
            lease,
            revision,
            value,
        };
        self.events.push((revision, key.into(), item.json(key)));
        self.items.insert(key.into(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            let revision = self.revision;
            let event =
                format!("{{\"private_key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}");
            self.events.push((revision, key.into(), event));
        }
    }

    /// Ends the leases whose time is over, and their items.
    fn expire(&mut self) -> bool {
        let now = Instant::now();
        let over = |lease: &u64| self.leases.get(lease).is_some_and(|(_, end)| *end <= now);
        let items = self.items.iter().filter(|(_, item)| over(&item.lease));
        let keys: Vec<String> = items.map(|(key, _)| key.clone()).collect();
        self.leases.retain(|_, (_, end)| *end > now);
        if !keys.is_empty() {
            self.revision += 1;
        }
        keys.iter().for_each(|key| self.remove(key));
        !keys.is_empty()
    }
}

impl Item {
    fn json(&self, key: &str) -> String {
        let Self {
            created,
            lease,
            revision,
            value,
        } = self;
        format!(
            "{{\"private_key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":{lease}}}"
        )
    }
}

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> (Self, SocketAddr) {
        let store = Self::default();
        let served = store.clone();
        let served = http::serve(http::free_port(), move |request| served.answer(request));
        let address = served.expect("a port is free").address;
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(100));
                if expiring.0.0.lock().unwrap().expire() {
                    expiring.0.1.notify_all();
                }
            }
        });
        (store, address)
    }

    /// Writes an item as the operator or a runner.
    pub fn write(&self, key: &str, value: &str) {
        let mut state = self.0.0.lock().unwrap();
        state.revision += 1;
        state.put(key, encode(value), 0);
        self.0.1.notify_all();
    }

    /// Removes an item as the operator or a runner.
    pub fn delete(&self, key: &str) {
        let mut state = self.0.0.lock().unwrap();
        state.revision += 1;
        state.remove(key);
        self.0.1.notify_all();
    }

    /// Writes an item as a runner does with each heartbeat: only another value changes the entry. Returns whether it did.
    pub fn refresh(&self, key: &str, value: &str) -> bool {
        if self.value(key) == Some(encode(value)) {
            return false;
        }
        self.write(key, value);
        true
    }

    /// Value of an item, as the store keeps it; `None` if there is none.
    pub fn value(&self, key: &str) -> Option<String> {
        let state = self.0.0.lock().unwrap();
        state.items.get(key).map(|item| item.value.clone())
    }

    fn answer(&self, request: &Message) -> Vec<u8> {
        let (method, target) = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let (status, body) = match (method, path) {
            ("GET", "/api/kv-range") => (200, self.range(query)),
            ("GET", "/api/kv-watch") => (200, self.watch(query)),
            ("POST", "/api/kv-txn") => self.transact(&Json::parse(&request.body)),
            ("POST", "/api/kv-lease") => (200, self.grant(&Json::parse(&request.body))),
            ("POST", path) if path.starts_with("/api/kv-keep/") => self.renew(path),
            _ => (404, "{}".into()),
        };
        http::answer(
            status,
            &[("Content-Type", "application/json")],
            body.as_bytes(),
        )
    }

    fn range(&self, query: &str) -> String {
        let (prefix, after) = (field(query, "path_prefix"), field(query, "since_rev"));
        let state = self.0.0.lock().unwrap();
        let items = state.items.iter();
        let mut items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let page: Vec<String> = items
            .by_ref()
            .take(PAGE)
            .map(|(key, item)| item.json(key))
            .collect();
        format!(
            "{{\"items\":[{}],\"has_more\":{},\"as_of\":{}}}",
            page.join(","),
            items.next().is_some(),
            state.revision
        )
    }

    fn watch(&self, query: &str) -> String {
        let prefix = field(query, "path_prefix");
        let since = field(query, "since_rev").parse().unwrap_or(0);
        let wait = Duration::from_millis(field(query, "wait_ms").parse().unwrap_or(0));
        let until = Instant::now() + wait;
        let mut state = self.0.0.lock().unwrap();
        loop {
            let events = state.events.iter();
            let events = events.filter(|(at, key, _)| *at > since && key.starts_with(&prefix));
            let events: Vec<&str> = events.map(|(_, _, event)| event.as_str()).collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let events = events.join(",");
                return format!("{{\"events\":[{events}],\"as_of\":{}}}", state.revision);
            }
            state = self.0.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, call: &Json) -> (u16, String) {
        let empty = Json::Array(Vec::new());
        let puts = call.get("puts").unwrap_or(&empty).items();
        let mut state = self.0.0.lock().unwrap();
        let lease = |put: &Json| put.get("lease").map_or(0, Json::number);
        let is_lost = |put: &Json| lease(put) > 0 && !state.leases.contains_key(&lease(put));
        if puts.iter().any(is_lost) {
            return (404, "{}".into());
        }
        state.revision += 1;
        for put in puts {
            let text = |name| put.get(name).map_or("", Json::text);
            state.put(text("private_key"), text("value").into(), lease(put));
        }
        for key in call.get("remove").unwrap_or(&empty).items() {
            state.remove(key.text());
        }
        self.0.1.notify_all();
        (200, format!("{{\"revision\":{}}}", state.revision))
    }

    fn grant(&self, call: &Json) -> String {
        let ttl_ms = call.get("ttl_ms").map_or(0, Json::number);
        let ttl = Duration::from_millis(ttl_ms);
        let mut state = self.0.0.lock().unwrap();
        state.next_lease += 1;
        let lease = state.next_lease;
        state.leases.insert(lease, (ttl, Instant::now() + ttl));
        format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}")
    }

    fn renew(&self, path: &str) -> (u16, String) {
        let lease = path
            .rsplit('/')
            .next()
            .and_then(|lease| lease.parse().ok())
            .unwrap_or(0);
        let mut state = self.0.0.lock().unwrap();
        let Some((ttl, end)) = state.leases.get_mut(&lease) else {
            return (404, "{}".into());
        };
        *end = Instant::now() + *ttl;
        (200, "{}".into())
    }
}

/// A value as the store keeps it.
pub fn encode(value: &str) -> String {
    base64(value.as_bytes())
}

/// A field of a query; empty if it is missing.
fn field(query: &str, name: &str) -> String {
    let fields = query.split('&').filter_map(|field| field.split_once('='));
    let value = fields
        .filter(|(other, _)| *other == name)
        .map(|(_, value)| value)
        .next();
    let mut parts = value.unwrap_or("").split('%');
    let mut text = parts.next().unwrap_or("").to_owned();
    for part in parts {
        let code = part
            .get(..2)
            .and_then(|code| u8::from_str_radix(code, 16).ok());
        text.push(char::from(code.unwrap_or(b'?')));
        text.push_str(part.get(2..).unwrap_or(""));
    }
    text
}
