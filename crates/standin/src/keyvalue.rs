//! The state of the stand-in key-value service: entries, leases and watches of the etcd v3
//! interface, as far as wellplank uses it.

use super::*;

struct Entry {
    lease: u64,
    revision: u64,
    value: String,
}

/// Entries by their key, in base64 as the interface carries it.
#[derive(Default)]
pub(crate) struct KeyValue {
    entries: BTreeMap<String, Entry>,
    leases: BTreeMap<u64, Instant>,
    revision: u64,
    watchers: Vec<(String, mpsc::UnboundedSender<Bytes>)>,
}

impl KeyValue {
    /// Bytes of all values.
    pub fn bytes(&self) -> usize {
        self.entries.values().map(|entry| entry.value.len()).sum()
    }

    /// Ends leases whose time is over, and their entries.
    pub fn expire(&mut self, now: Instant) {
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, end)| **end <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in over {
            self.leases.remove(&lease);
            self.entries.retain(|_, entry| entry.lease != lease);
        }
    }

    /// Grants a lease; `None` if its number is taken.
    pub fn grant(&mut self, body: &Value, now: Instant) -> Option<Value> {
        let lease = number(&body["ID"]);
        if self.leases.contains_key(&lease) {
            return None;
        }
        let ttl = number(&body["TTL"]);
        self.leases.insert(lease, now + Duration::from_secs(ttl));
        Some(json!({ "ID": lease.to_string(), "TTL": ttl.to_string() }))
    }

    /// Reads one key.
    pub fn range(&self, body: &Value) -> Value {
        let key = body["key"].as_str().unwrap_or_default();
        let kvs: Vec<Value> = self
            .entries
            .get(key)
            .map(|entry| pair(key, entry))
            .into_iter()
            .collect();
        json!({ "header": self.header(), "kvs": kvs })
    }

    /// A compare-and-swap of one key; `None` if the lease does not exist.
    pub fn txn(&mut self, body: &Value) -> Option<Value> {
        let compare = &body["compare"][0];
        let key = compare["key"].as_str().unwrap_or_default();
        let current = self.entries.get(key).map_or(0, |entry| entry.revision);
        if current != number(&compare["mod_revision"]) {
            let range = self.range(&body["failure"][0]["request_range"]);
            return Some(json!({
                "header": self.header(),
                "responses": [{ "response_range": range }],
                "succeeded": false,
            }));
        }
        let put = &body["success"][0]["request_put"];
        let lease = number(&put["lease"]);
        if lease != 0 && !self.leases.contains_key(&lease) {
            return None;
        }
        self.revision += 1;
        let entry = Entry {
            lease,
            revision: self.revision,
            value: put["value"].as_str().unwrap_or_default().to_owned(),
        };
        let event = json!({ "result": { "events": [{ "kv": pair(key, &entry) }] } });
        self.entries.insert(key.to_owned(), entry);
        self.tell(key, &event);
        Some(json!({ "header": self.header(), "responses": [{}], "succeeded": true }))
    }

    /// Watches one key.
    pub fn watch(&mut self, body: &Value) -> mpsc::UnboundedReceiver<Bytes> {
        let key = body["create_request"]["key"].as_str().unwrap_or_default();
        let (sender, receiver) = mpsc::unbounded_channel();
        let _ = sender.send(line(&json!({ "result": { "created": true } })));
        self.watchers.push((key.to_owned(), sender));
        receiver
    }

    /// Count of watches that wait.
    pub fn watches(&mut self) -> usize {
        self.watchers.retain(|(_, sender)| !sender.is_closed());
        self.watchers.len()
    }

    fn header(&self) -> Value {
        json!({ "revision": self.revision.to_string() })
    }

    fn tell(&mut self, key: &str, event: &Value) {
        self.watchers
            .retain(|(watched, sender)| watched != key || sender.send(line(event)).is_ok());
    }
}

fn line(value: &Value) -> Bytes {
    Bytes::from(format!("{value}\n"))
}

fn number(value: &Value) -> u64 {
    value
        .as_str()
        .and_then(|text| text.parse().ok())
        .unwrap_or(0)
}

fn pair(key: &str, entry: &Entry) -> Value {
    json!({
        "key": key,
        "lease": entry.lease.to_string(),
        "mod_revision": entry.revision.to_string(),
        "value": entry.value,
    })
}
