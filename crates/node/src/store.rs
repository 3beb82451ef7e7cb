//! Client of the platform's key-value service, through the JSON gateway of the etcd v3 API.
//!
//! The gateway encodes 64-bit integers as strings, and keys and values in base64.

use super::*;
use wellplank_core::counter::AnswerBound;

/// Bound of an answer and of a line of a watch: values have 1.5 MB at most, which base64 lengthens by a third.
const ANSWER_BOUND: http::Bound = http::Bound {
    bytes: 16 << 20,
    subject: AnswerBound::KeyValue,
};

/// A key's value and its revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) struct Entry {
    /// Revision of its last change.
    pub revision: u64,
    /// Decoded value.
    pub value: Vec<u8>,
}

/// Outcome of a compare-and-swap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum SwapOutcome {
    /// The key had another revision; its present entry, or `None` if the key does not exist.
    Conflict(Option<Entry>),
    /// The value was written at this revision.
    Written(u64),
}

/// An event of a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum WatchEvent {
    /// The key changed.
    Changed(Entry),
    /// The watch was created: it reports every change from now on.
    Created,
}

/// A write that is executed only if the key has the expected revision.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Write<'a> {
    /// Expected revision of the key; 0 if the key must not exist.
    pub expected: u64,
    /// Key, not encoded.
    pub key: &'a str,
    /// Lease with which the entry expires; 0 for none.
    pub lease: u64,
    /// Value, not encoded.
    pub value: &'a [u8],
}

/// A client of the key-value service. After an error of a write it is unknown whether the write took effect.
#[derive(Clone)]
pub(crate) struct Store {
    address: SocketAddr,
    call_timeout: Duration,
    driver: Driver,
    http: HttpClient,
}

#[derive(Deserialize)]
struct Header {
    revision: String,
}

#[derive(Deserialize)]
struct KeyValue {
    mod_revision: String,
    #[serde(default)]
    value: String,
}

#[derive(Deserialize)]
struct Range {
    #[serde(default)]
    kvs: Vec<KeyValue>,
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
struct WatchMessage {
    result: WatchResult,
}

#[derive(Deserialize)]
struct WatchResult {
    #[serde(default)]
    created: bool,
    #[serde(default)]
    events: Vec<EventBody>,
}

#[derive(Deserialize)]
struct EventBody {
    kv: KeyValue,
}

impl Range {
    fn entry(self) -> Result<Option<Entry>, Error> {
        self.kvs.into_iter().next().map(KeyValue::entry).transpose()
    }
}

impl KeyValue {
    fn entry(self) -> Result<Entry, Error> {
        let value = BASE64_STANDARD.decode(&self.value);
        Ok(Entry {
            revision: parse_u64(&self.mod_revision)?,
            value: value.map_err(|error| Error::Store(error.to_string()))?,
        })
    }
}

impl Store {
    /// Reads a key; `None` if it does not exist.
    pub async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let body = json!({ "key": BASE64_STANDARD.encode(key) });
        let range: Range = self.call("/v3/kv/range", &body).await?;
        range.entry()
    }

    /// Creates a lease if it does not exist; an existing one is not changed.
    pub async fn ensure_lease(&self, lease: u64, ttl_seconds: u64) -> Result<(), Error> {
        let body = json!({ "ID": lease.to_string(), "TTL": ttl_seconds.to_string() });
        let (status, answer) = self.exchange("/v3/lease/grant", &body).await?;
        let already_exists = String::from_utf8_lossy(&answer).contains("lease already exists");
        if status == StatusCode::OK || already_exists {
            return Ok(());
        }
        Err(Error::Store(format!(
            "granting lease {lease} failed: {status}"
        )))
    }

    /// A client of the service at `address` with a time-out for each call.
    pub fn new(
        address: SocketAddr,
        call_timeout: Duration,
        driver: &Driver,
        traffic: &Traffic,
    ) -> Self {
        Self {
            address,
            call_timeout,
            driver: driver.clone(),
            http: HttpClient::metered(traffic),
        }
    }

    /// Writes a key if it has the expected revision.
    pub async fn swap(&self, write: Write<'_>) -> Result<SwapOutcome, Error> {
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
            return Ok(SwapOutcome::Written(parse_u64(&txn.header.revision)?));
        }
        let range = txn.responses.into_iter().next();
        let range = range.and_then(|response| response.response_range);
        match range {
            None => Ok(SwapOutcome::Conflict(None)),
            Some(range) => Ok(SwapOutcome::Conflict(range.entry()?)),
        }
    }

    /// Watches a key and passes each event to `on_event`, until the connection ends.
    pub async fn watch(
        &self,
        key: &str,
        mut on_event: impl FnMut(WatchEvent),
    ) -> Result<(), Error> {
        let body = json!({ "create_request": { "key": BASE64_STANDARD.encode(key) } });
        let request = http::post(self.address, "/v3/watch", &body);
        let response = timeout(self.call_timeout, self.http.send(request)).await;
        let response = response
            .map_err(|_| Error::Store("no answer in time".into()))?
            .map_err(|error| Error::Store(error.to_string()))?;
        let mut body = response.into_body();
        let mut buffer = Vec::new();
        while let Some(Ok(chunk)) = body.frame().await {
            let data = chunk.data_ref().map_or(&[][..], |data| data);
            if (buffer.len() + data.len()) as u64 > ANSWER_BOUND.bytes {
                return Err(self.failed(&http::Error::TooLong(ANSWER_BOUND)));
            }
            buffer.extend_from_slice(data);
            while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = buffer.drain(..=end).collect();
                let message: WatchMessage = parse_json(&line)?;
                if message.result.created {
                    on_event(WatchEvent::Created);
                }
                for event in message.result.events {
                    on_event(WatchEvent::Changed(event.kv.entry()?));
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
        parse_json(&answer)
    }

    async fn exchange(&self, path: &str, body: &Value) -> Result<(StatusCode, Bytes), Error> {
        let request = http::post(self.address, path, body);
        timeout(self.call_timeout, self.http.exchange(request, ANSWER_BOUND))
            .await
            .map_err(|_| Error::Store("no answer in time".into()))?
            .map_err(|error| self.failed(&error))
    }

    /// The error of a call; an answer beyond its bound is logged and counted.
    fn failed(&self, error: &http::Error) -> Error {
        if let http::Error::TooLong(bound) = error {
            self.driver.report_too_long(*bound, self.address);
        }
        Error::Store(error.to_string())
    }
}

fn parse_u64(text: &str) -> Result<u64, Error> {
    text.parse()
        .map_err(|_| Error::Store(format!("`{text}` is not a 64-bit integer")))
}

fn parse_json<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    serde_json::from_slice(bytes).map_err(|error| Error::Store(error.to_string()))
}
