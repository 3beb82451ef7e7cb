//! The store of the users' platform: items with revisions and leases, reads that wait for a change,
//! outages, and a history that can be forgotten.

use super::*;
use base64::{Engine as _, prelude::BASE64_STANDARD};
use std::sync::{Arc, Mutex};
use tokio::sync::Notify;

/// Longest time that a read waits for a change.
const WAIT: Duration = Duration::from_secs(30);

/// Age that reads may have which may be old, at most.
const AGE: Duration = Duration::from_millis(300);

/// Price of a call that costs a tenth, in hundredths.
const TENTH: u64 = 10;

/// Price of any other call, in hundredths.
const WHOLE: u64 = 100;

/// Time between two looks at whether leases have ended.
const LOOK: Duration = Duration::from_millis(50);

/// A stand-in of the store. Clones share it.
#[derive(Clone, Default)]
pub struct Shelf {
    changed: Arc<Notify>,
    /// What this reader is told instead of the addresses of upstreams.
    links: Arc<HashMap<SocketAddr, SocketAddr>>,
    state: Arc<Mutex<State>>,
}

#[derive(Clone)]
struct Item {
    created: u64,
    lease: u64,
    revision: u64,
    value: Vec<u8>,
}

/// A copy of the store, from which it may come back.
#[derive(Clone)]
pub struct Copy {
    items: BTreeMap<String, Item>,
    leases: BTreeSet<u64>,
    revision: u64,
}

impl Copy {
    /// Values of its items whose keys start with a prefix, by key.
    pub fn values(&self, prefix: &str) -> BTreeMap<&str, Value> {
        let items = self.items.iter();
        let items = items.filter(|(key, _)| key.starts_with(prefix));
        let value = |item: &Item| serde_json::from_slice(&item.value).unwrap_or_default();
        items
            .map(|(key, item)| (key.as_str(), value(item)))
            .collect()
    }
}

/// A change: its revision, the key, and the value unless the key went.
struct Change {
    item: Option<Item>,
    key: String,
    revision: u64,
}

#[derive(Default)]
struct State {
    away: bool,
    /// How often reads that wait for a change were cut.
    cuts: u64,
    /// How often it has come back from a copy.
    era: u64,
    history: Vec<Change>,
    items: BTreeMap<String, Item>,
    leases: BTreeMap<u64, Lease>,
    /// Prefix of which the next waiting read that sees a change is never answered.
    muted: Option<String>,
    next_lease: u64,
    /// Text that stands before the items and changes of every answer that has a list of them, as if the store held it.
    odd: String,
    /// What reads that may be old are given.
    old: Option<Old>,
    oldest: u64,
    /// Price of all calls taken so far, in hundredths.
    price: u64,
    revision: u64,
    /// Whether calls are taken and never answered. Those that waited before are answered behind it.
    silent: bool,
    /// Time that reads of items take.
    slow: Duration,
}

/// Items as they were a moment ago.
struct Old {
    at: Instant,
    items: BTreeMap<String, Item>,
    revision: u64,
}

struct Lease {
    ends: Instant,
    ttl: Duration,
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            created,
            lease,
            revision: self.revision,
            value,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push(Change {
            item: Some(item),
            key: key.to_owned(),
            revision: self.revision,
        });
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        self.history.push(Change {
            item: None,
            key: key.to_owned(),
            revision: self.revision,
        });
    }

    /// Ends leases whose time is over, with their keys.
    fn expire(&mut self, now: Instant) {
        let over = |_: &u64, lease: &mut Lease| lease.ends <= now;
        let over: Vec<u64> = self.leases.extract_if(.., over).map(|(id, _)| id).collect();
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, item)| over.contains(&item.lease))
            .map(|(key, _)| key.clone())
            .collect();
        for key in keys {
            self.remove(&key);
        }
    }

    /// Changes of keys with a prefix behind a revision; `None` if they are forgotten.
    fn since(&self, prefix: &str, revision: u64) -> Option<Vec<Value>> {
        if revision < self.oldest || revision > self.revision {
            return None;
        }
        let changes = self
            .history
            .iter()
            .filter(|change| change.revision > revision && change.key.starts_with(prefix));
        Some(changes.map(Change::encode).collect())
    }
}

impl Change {
    fn encode(&self) -> Value {
        match &self.item {
            Some(item) => item.encode(&self.key),
            None => json!({
                "private_key": self.key,
                "revision": self.revision,
                "deleted": true,
            }),
        }
    }
}

impl Item {
    fn encode(&self, key: &str) -> Value {
        json!({
            "private_key": key,
            "value": BASE64_STANDARD.encode(&self.value),
            "revision": self.revision,
            "created": self.created,
            "lease": self.lease,
        })
    }
}

impl Shelf {
    /// The same store for a reader that has links of its own to upstreams, by their addresses.
    #[must_use]
    pub fn seen_over(&self, links: HashMap<SocketAddr, SocketAddr>) -> Self {
        Self {
            links: Arc::new(links),
            ..self.clone()
        }
    }

    /// Names the reader's own links in an answer that holds items or changes.
    fn name_links(&self, answer: &mut Value) {
        if self.links.is_empty() {
            return;
        }
        for list in ["items", "events"] {
            for item in answer[list].as_array_mut().into_iter().flatten() {
                if let Some(value) = self.over_link(&item["value"]) {
                    item["value"] = value;
                }
            }
        }
    }

    /// An encoded entry of an upstream with the address of the reader's own link to it.
    fn over_link(&self, value: &Value) -> Option<Value> {
        let bytes = BASE64_STANDARD.decode(value.as_str()?).ok()?;
        let mut entry: Value = serde_json::from_slice(&bytes).ok()?;
        let address: SocketAddr = entry["address"].as_str()?.parse().ok()?;
        entry["address"] = json!(self.links.get(&address)?);
        Some(json!(BASE64_STANDARD.encode(entry.to_string())))
    }

    /// Price of the calls taken so far: one each, but a tenth for renewals and reads that may be old.
    pub fn price(&self) -> f64 {
        self.lock().price as f64 / WHOLE as f64
    }

    /// Makes the store refuse every call, or answer again.
    pub fn away(&self, away: bool) {
        self.lock().away = away;
        self.changed.notify_waiters();
    }

    /// A copy of all that it holds now.
    pub fn copy(&self) -> Copy {
        let state = self.lock();
        Copy {
            items: state.items.clone(),
            leases: state.leases.keys().copied().collect(),
            revision: state.revision,
        }
    }

    /// Comes back from a copy: all that was written since is gone, leases too, and revisions are given out again.
    pub fn restore(&self, copy: &Copy) {
        let mut state = self.lock();
        state.era += 1;
        state.items = copy.items.clone();
        state.revision = copy.revision;
        state.oldest = state.oldest.min(copy.revision);
        state.leases.retain(|id, _| copy.leases.contains(id));
        state
            .history
            .retain(|change| change.revision <= copy.revision);
        drop(state);
        self.changed.notify_waiters();
    }

    /// Forgets all history: watches from before must read anew.
    pub fn forget(&self) {
        let mut state = self.lock();
        state.oldest = state.revision;
        state.history.clear();
        drop(state);
        self.changed.notify_waiters();
    }

    /// Cuts the reads that wait for a change, as a store does that goes on answering.
    pub fn cut(&self) {
        self.lock().cuts += 1;
        self.changed.notify_waiters();
    }

    /// Makes the store answer nothing, or answer again. Calls that it took meanwhile are never answered; reads
    /// that waited for a change before are answered behind it.
    pub fn silent(&self, silent: bool) {
        self.lock().silent = silent;
        self.changed.notify_waiters();
    }

    /// Has reads of items take some time, as large ones do on small links.
    pub fn slow(&self, slow: Duration) {
        self.lock().slow = slow;
    }

    /// Has the next waiting read under a prefix that sees a change wait for ever.
    pub fn mute_once(&self, prefix: &str) {
        self.lock().muted = Some(prefix.to_owned());
    }

    /// Writes an item, as the platform's operator or an upstream does.
    pub fn put(&self, key: &str, value: &Value) {
        self.lock().put(key, value.to_string().into_bytes(), 0);
        self.changed.notify_waiters();
    }

    /// Writes an item of any bytes, as another program may.
    pub fn put_bytes(&self, key: &str, value: impl Into<Vec<u8>>) {
        self.lock().put(key, value.into(), 0);
        self.changed.notify_waiters();
    }

    /// Has all lists of items and changes in answers begin with an element of its own; none if it is empty.
    pub fn spoil(&self, element: &str) {
        element.clone_into(&mut self.lock().odd);
    }

    /// The text of an answer, with the element that lists are to begin with.
    fn text(&self, answer: &Value) -> String {
        let text = answer.to_string();
        let odd = &self.lock().odd;
        if odd.is_empty() {
            return text;
        }
        let begin = |text: String, list: &str| {
            let empty = format!("\"{list}\":[]");
            let text = text.replacen(&empty, &format!("\"{list}\":[{odd}]"), 1);
            text.replacen(
                &format!("\"{list}\":[{{"),
                &format!("\"{list}\":[{odd},{{"),
                1,
            )
        };
        begin(begin(text, "items"), "events")
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.lock().remove(key);
        self.changed.notify_waiters();
    }

    /// Keys with a prefix.
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let state = self.lock();
        let keys = state.items.keys().filter(|key| key.starts_with(prefix));
        keys.cloned().collect()
    }

    /// Serves the store for ever.
    pub async fn serve(self, address: SocketAddr) {
        let endpoint = |asks| Endpoint {
            asks,
            shelf: self.clone(),
        };
        let router = Router::with_path("api")
            .push(Router::with_path("kv-range").get(endpoint(Asks::Range)))
            .push(Router::with_path("kv-watch").get(endpoint(Asks::Watch)))
            .push(Router::with_path("kv-txn").post(endpoint(Asks::Write)))
            .push(Router::with_path("kv-lease").post(endpoint(Asks::Lease)))
            .push(Router::with_path("kv-keep/{id}").post(endpoint(Asks::Renew)));
        http::serve(address, router).await;
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("nobody panics while holding it")
    }

    fn lease(&self, body: &Value) -> Value {
        let ttl = Duration::from_millis(body["ttl_ms"].as_u64().unwrap_or(1_000));
        let mut state = self.lock();
        state.next_lease += 1;
        let id = state.next_lease;
        let ends = Instant::now() + ttl;
        state.leases.insert(id, Lease { ends, ttl });
        json!({ "lease": id, "ttl_ms": ttl.as_millis() as u64 })
    }

    fn range(&self, prefix: &str, old: bool) -> Value {
        let mut state = self.lock();
        if !old {
            return encode(&state.items, prefix, state.revision);
        }
        if state.old.as_ref().is_none_or(|old| old.at.elapsed() > AGE) {
            state.old = Some(Old {
                at: Instant::now(),
                items: state.items.clone(),
                revision: state.revision,
            });
        }
        let old = state.old.as_ref().expect("was just taken");
        encode(&old.items, prefix, old.revision)
    }

    fn renew(&self, id: u64) -> bool {
        let mut state = self.lock();
        let lease = state.leases.get_mut(&id);
        lease.is_some_and(|lease| {
            lease.ends = Instant::now() + lease.ttl;
            true
        })
    }

    /// Whether a waiting read is the one that is never answered.
    fn is_muted(&self, prefix: &str, revision: u64) -> bool {
        let mut state = self.lock();
        let changed = state
            .since(prefix, revision)
            .is_some_and(|events| !events.is_empty());
        let muted = changed && state.muted.as_deref() == Some(prefix);
        if muted {
            state.muted = None;
        }
        muted
    }

    /// Waits for changes.
    async fn watch(&self, prefix: &str, revision: u64, wait: Duration) -> Watched {
        let end = Instant::now() + wait.min(WAIT);
        let cuts = self.lock().cuts;
        loop {
            if self.is_muted(prefix, revision) {
                std::future::pending::<()>().await;
            }
            {
                let mut state = self.lock();
                state.expire(Instant::now());
                if state.cuts > cuts {
                    return Watched::Cut;
                }
                let Some(events) = state.since(prefix, revision) else {
                    return Watched::Forgotten;
                };
                let over = Instant::now() >= end || state.away;
                if !state.silent && (!events.is_empty() || over) {
                    let seen = json!({ "events": events, "as_of": state.revision });
                    return Watched::Seen(seen);
                }
            }
            let changed = self.changed.notified();
            let _ = tokio::time::timeout(LOOK, changed).await;
        }
    }

    fn write(&self, body: &Value) -> Option<Value> {
        let mut state = self.lock();
        for put in body["puts"].as_array().into_iter().flatten() {
            let lease = put["lease"].as_u64().unwrap_or(0);
            if lease != 0 && !state.leases.contains_key(&lease) {
                return None;
            }
            let value = BASE64_STANDARD.decode(put["value"].as_str()?).ok()?;
            state.put(put["private_key"].as_str()?, value, lease);
        }
        let revision = state.revision;
        drop(state);
        self.changed.notify_waiters();
        Some(json!({ "revision": revision }))
    }
}

/// The answer to a read of the items with a prefix.
fn encode(items: &BTreeMap<String, Item>, prefix: &str, revision: u64) -> Value {
    let items = items.iter().filter(|(key, _)| key.starts_with(prefix));
    let items: Vec<Value> = items.map(|(key, item)| item.encode(key)).collect();
    json!({ "items": items, "has_more": false, "as_of": revision })
}

/// How a read that waits for a change ends.
enum Watched {
    Cut,
    Forgotten,
    Seen(Value),
}

#[derive(Clone, Copy, Eq, PartialEq)]
enum Asks {
    Lease,
    Range,
    Renew,
    Watch,
    Write,
}

struct Endpoint {
    asks: Asks,
    shelf: Shelf,
}

impl Endpoint {
    /// Says how often the store has come back from a copy, as in every answer.
    fn tell_era(&self, response: &mut Response) {
        let era = self.shelf.lock().era;
        let _ = response.add_header("store-era", era, true);
    }
}

#[salvo::handler]
impl Endpoint {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let old = request.query::<u64>("serializable") == Some(1);
        let (away, silent) = {
            let mut state = self.shelf.lock();
            // Refused calls are paid for in full.
            let cheap = (old || self.asks == Asks::Renew) && !state.away;
            state.price += if cheap { TENTH } else { WHOLE };
            (state.away, state.silent)
        };
        if silent {
            std::future::pending::<()>().await;
        }
        if away {
            self.tell_era(response);
            response.status_code(StatusCode::SERVICE_UNAVAILABLE);
            return;
        }
        let text = |request: &Request, name: &str| request.query::<String>(name);
        let number = |request: &Request, name: &str| request.query::<u64>(name).unwrap_or(0);
        let prefix = text(request, "path_prefix").unwrap_or_default();
        let (missing, answer) = match self.asks {
            Asks::Lease => {
                let body = http::json_body(request).await;
                (StatusCode::BAD_REQUEST, Some(self.shelf.lease(&body)))
            }
            Asks::Range => {
                let slow = self.shelf.lock().slow;
                sleep(slow).await;
                let items = self.shelf.range(&prefix, old);
                (StatusCode::BAD_REQUEST, Some(items))
            }
            Asks::Renew => {
                let id = request.param("id").unwrap_or(0);
                let renewed = self.shelf.renew(id).then(|| json!({}));
                (StatusCode::NOT_FOUND, renewed)
            }
            Asks::Watch => {
                let wait = Duration::from_millis(number(request, "wait_ms"));
                let revision = number(request, "since_rev");
                match self.shelf.watch(&prefix, revision, wait).await {
                    Watched::Cut => (StatusCode::SERVICE_UNAVAILABLE, None),
                    Watched::Forgotten => (StatusCode::GONE, None),
                    Watched::Seen(seen) => (StatusCode::OK, Some(seen)),
                }
            }
            Asks::Write => {
                let body = http::json_body(request).await;
                (StatusCode::NOT_FOUND, self.shelf.write(&body))
            }
        };
        self.tell_era(response);
        match answer {
            Some(mut body) => {
                self.shelf.name_links(&mut body);
                http::answer_text(response, StatusCode::OK, self.shelf.text(&body));
            }
            None => {
                response.status_code(missing);
            }
        }
    }
}
