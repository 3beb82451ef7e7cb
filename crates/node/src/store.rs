//! The platform's key-value service, by the JSON gateway of the etcd v3 interface.
//!
//! Numbers of 64 bits are texts there, keys and values base64.

use super::*;

/// An entry of the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Entry {
    /// Revision of its last change.
    pub revision: u64,
    /// Value.
    pub value: Vec<u8>,
}

/// Outcome of a compare-and-swap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Swap {
    /// The value is written, at this revision.
    Done(u64),
    /// The key had another revision; this is its entry now.
    Lost(Option<Entry>),
}

/// What a watch sees.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum Seen {
    /// The key changed.
    Changed(Entry),
    /// The watch began: every change from now on is seen.
    Created,
}

/// A write of a compare-and-swap.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Write<'a> {
    /// Revision that the key must have; 0 for a key that must not exist.
    pub expected: u64,
    /// Key.
    pub key: &'a str,
    /// Lease that the entry ends with; 0 for none.
    pub lease: u64,
    /// Value.
    pub value: &'a [u8],
}

/// A client of the key-value service. Every error leaves open whether a write took effect.
#[derive(Clone)]
pub(crate) struct Store {
    address: SocketAddr,
    http: HttpClient,
    patience: Duration,
}

#[derive(Deserialize)]
struct Header {
    revision: String,
}

#[derive(Deserialize)]
struct Pair {
    mod_revision: String,
    #[serde(default)]
    value: String,
}

#[derive(Deserialize)]
struct Range {
    #[serde(default)]
    kvs: Vec<Pair>,
}

#[derive(Deserialize)]
struct Txn {
    header: Header,
    #[serde(default)]
    responses: Vec<TxnResponse>,
    #[serde(default)]
    succeeded: bool,
}

#[derive(Deserialize)]
struct TxnResponse {
    response_range: Option<Range>,
}

#[derive(Deserialize)]
struct Watched {
    result: WatchResult,
}

#[derive(Deserialize)]
struct WatchResult {
    #[serde(default)]
    created: bool,
    #[serde(default)]
    events: Vec<WatchEvent>,
}

#[derive(Deserialize)]
struct WatchEvent {
    kv: Pair,
}

impl Range {
    fn entry(self) -> Result<Option<Entry>, Error> {
        self.kvs.into_iter().next().map(Pair::entry).transpose()
    }
}

impl Pair {
    fn entry(self) -> Result<Entry, Error> {
        let value = BASE64_STANDARD.decode(&self.value);
        Ok(Entry {
            revision: number(&self.mod_revision)?,
            value: value.map_err(|error| Error::Store(error.to_string()))?,
        })
    }
}

impl Store {
    /// Reads a key.
    pub async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let body = json!({ "key": BASE64_STANDARD.encode(key) });
        let range: Range = self.call("/v3/kv/range", &body).await?;
        range.entry()
    }

    /// Makes sure that a lease exists; one that exists is left as it is.
    pub async fn grant(&self, lease: u64, ttl_seconds: u64) -> Result<(), Error> {
        let body = json!({ "ID": lease.to_string(), "TTL": ttl_seconds.to_string() });
        let (status, answer) = self.exchange("/v3/lease/grant", &body).await?;
        let exists = String::from_utf8_lossy(&answer).contains("lease already exists");
        if status == StatusCode::OK || exists {
            return Ok(());
        }
        Err(Error::Store(format!("lease {lease} was refused: {status}")))
    }

    /// A client of the service at `address`.
    pub fn new(address: SocketAddr, patience: Duration, traffic: &Traffic) -> Self {
        Self {
            address,
            http: HttpClient::metered(traffic),
            patience,
        }
    }

    /// Writes a key if it has the expected revision.
    pub async fn swap(&self, write: Write<'_>) -> Result<Swap, Error> {
        let key = BASE64_STANDARD.encode(write.key);
        let body = json!({
            "compare": [{
                "key": key,
                "mod_revision": write.expected.to_string(),
                "result": "EQUAL",
                "target": "MOD",
            }],
            "failure": [{ "request_range": { "key": key } }],
            "success": [{ "request_put": {
                "key": key,
                "lease": write.lease.to_string(),
                "value": BASE64_STANDARD.encode(write.value),
            } }],
        });
        let txn: Txn = self.call("/v3/kv/txn", &body).await?;
        if txn.succeeded {
            return Ok(Swap::Done(number(&txn.header.revision)?));
        }
        let range = txn.responses.into_iter().next();
        let range = range.and_then(|response| response.response_range);
        match range {
            None => Ok(Swap::Lost(None)),
            Some(range) => Ok(Swap::Lost(range.entry()?)),
        }
    }

    /// Waits for changes of a key and hands what it sees to `take`, until the connection ends.
    pub async fn watch(&self, key: &str, mut take: impl FnMut(Seen)) -> Result<(), Error> {
        let body = json!({ "create_request": { "key": BASE64_STANDARD.encode(key) } });
        let request = http::post(self.address, "/v3/watch", &body);
        let response = timeout(self.patience, self.http.send(request)).await;
        let response = response
            .map_err(|_| Error::Store("no answer in time".into()))?
            .map_err(|error| Error::Store(error.to_string()))?;
        let mut body = response.into_body();
        let mut buffer = Vec::new();
        while let Some(Ok(piece)) = body.frame().await {
            buffer.extend_from_slice(piece.data_ref().map_or(&[][..], |data| data));
            while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = buffer.drain(..=end).collect();
                let watched: Watched = parse(&line)?;
                if watched.result.created {
                    take(Seen::Created);
                }
                for event in watched.result.events {
                    take(Seen::Changed(event.kv.entry()?));
                }
            }
        }
        Ok(())
    }

    async fn call<T: serde::de::DeserializeOwned>(
        &self,
        path: &str,
        body: &Value,
    ) -> Result<T, Error> {
        let (status, answer) = self.exchange(path, body).await?;
        if status != StatusCode::OK {
            return Err(Error::Store(format!("{path}: {status}")));
        }
        parse(&answer)
    }

    async fn exchange(&self, path: &str, body: &Value) -> Result<(StatusCode, Bytes), Error> {
        let request = http::post(self.address, path, body);
        timeout(self.patience, self.http.exchange(request))
            .await
            .map_err(|_| Error::Store("no answer in time".into()))?
            .map_err(|error| Error::Store(error.to_string()))
    }
}

fn number(text: &str) -> Result<u64, Error> {
    text.parse()
        .map_err(|_| Error::Store(format!("`{text}` is no number")))
}

fn parse<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(bytes).map_err(|error| Error::Store(error.to_string()))
}
