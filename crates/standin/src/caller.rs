//! A caller: asks for generations, checks every token, and can come back with its cursor.

use super::*;
use base64::{Engine as _, prelude::BASE64_URL_SAFE_NO_PAD};

/// Place of the upstream in the bytes of a cursor.
const UPSTREAM_AT: usize = 41;

/// Someone who asks instances for answers.
#[derive(Clone, Debug)]
pub struct Caller {
    /// Key of the customer.
    pub key: String,
}

/// What is asked of a generation.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Cursor of an earlier connection.
    pub cursor: Option<String>,
    /// Whether it is sent straight to an engine, in the engine's words.
    pub direct: bool,
    /// Leave after this many tokens of this connection.
    pub cut_after: Option<usize>,
    /// Idempotency key.
    pub idempotency: Option<Uuid>,
    /// Tokens of the whole answer, at most.
    pub max_tokens: usize,
    /// Prompt.
    pub prompt: Value,
    /// Tokens received on earlier connections, sent along if not empty.
    pub received: Vec<u32>,
    /// Service.
    pub service: String,
}

/// One event with tokens.
#[derive(Clone, Copy, Debug)]
pub struct Seen {
    /// When it came.
    pub at: Instant,
    /// Time since the engine stamped it, in milliseconds, if it did.
    pub delay_ms: Option<f64>,
    /// Tokens in it.
    pub tokens: usize,
    /// Upstream that its cursor names.
    pub upstream: u64,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Cursor of the last event.
    pub cursor: Option<String>,
    /// Events with tokens, in the order they came.
    pub events: Vec<Seen>,
    /// Kind of the error, if the answer is one.
    pub error: Option<String>,
    /// Whether the end of the answer came.
    pub finished: bool,
    /// Time to the first token, in milliseconds.
    pub first_ms: Option<f64>,
    /// Identity of the generation, as the events name it.
    pub generation: Option<String>,
    /// What the error says of whether it ran.
    pub ran: Option<String>,
    /// When to come back, if the answer says so.
    pub retry_after_ms: Option<u64>,
    /// Position of the first token.
    pub start: usize,
    /// HTTP status; 0 if there was no answer.
    pub status: u16,
    /// Tokens in the order they came.
    pub tokens: Vec<u32>,
    /// Events whose position was not the next one.
    pub wrong_positions: usize,
}

impl Ask {
    /// A generation of `max_tokens` tokens.
    pub fn new(service: &str, prompt: &str, max_tokens: usize) -> Self {
        Self {
            cursor: None,
            cut_after: None,
            direct: false,
            idempotency: None,
            max_tokens,
            prompt: prompt.into(),
            received: Vec::new(),
            service: service.to_owned(),
        }
    }

    /// Whether `tokens` are a whole and right answer.
    pub fn is_whole(&self, tokens: &[u32]) -> bool {
        tokens.len() == self.max_tokens && token::first_wrong(&self.prompt, tokens).is_none()
    }
}

impl Outcome {
    /// Longest time between two tokens, in milliseconds.
    pub fn stall_ms(&self) -> f64 {
        let gaps = self.events.windows(2);
        gaps.map(|pair| millis(pair[1].at - pair[0].at))
            .fold(0.0, f64::max)
    }

    fn take_error(&mut self, error: &Value) {
        let text = |value: &Value| value.as_str().map(str::to_owned);
        self.error = text(&error["error"]["kind"]).or(Some("no kind".into()));
        self.ran = text(&error["error"]["ran"]);
        self.retry_after_ms = error["error"]["retry_after_ms"].as_u64();
    }

    fn take_chunk(&mut self, chunk: &Value, began: Instant) {
        let position = chunk["position"].as_u64().unwrap_or(0) as usize;
        self.generation = chunk["id"].as_str().map(str::to_owned);
        let choice = &chunk["choices"][0];
        let tokens: Vec<u32> =
            serde_json::from_value(choice["token_ids"].clone()).unwrap_or_default();
        if self.tokens.is_empty() {
            self.start = position;
        } else if position != self.start + self.tokens.len() {
            self.wrong_positions += 1;
        }
        if !tokens.is_empty() {
            let at = Instant::now();
            self.first_ms.get_or_insert(millis(at - began));
            self.events.push(Seen {
                at,
                delay_ms: choice["text"].as_str().and_then(token::delay_ms),
                tokens: tokens.len(),
                upstream: self.cursor.as_deref().map_or(0, upstream_of),
            });
        }
        self.tokens.extend(tokens);
        self.finished |= choice["finish_reason"].is_string();
    }
}

impl Caller {
    /// Calls a plain service.
    pub async fn call(
        &self,
        address: SocketAddr,
        service: &str,
        path: &str,
        body: &Value,
        idempotency: Option<Uuid>,
    ) -> Outcome {
        let uri = format!("http://{address}/services/{service}/{path}");
        let mut request = hyper::Request::post(uri).header(header::AUTHORIZATION, self.bearer());
        if let Some(key) = idempotency {
            request = request.header("idempotency-key", key.to_string());
        }
        let request = request.body(Full::from(body.to_string()));
        let mut outcome = Outcome::default();
        let Ok(response) = http::client().request(request.expect("a request")).await else {
            return outcome;
        };
        outcome.status = response.status().as_u16();
        let Ok(body) = response.into_body().collect().await else {
            return outcome;
        };
        let answer: Value = serde_json::from_slice(&body.to_bytes()).unwrap_or_default();
        if outcome.status == 200 {
            outcome.finished = true;
        } else {
            outcome.take_error(&answer);
        }
        outcome
    }

    /// Streams a generation.
    pub async fn generate(&self, address: SocketAddr, ask: &Ask) -> Outcome {
        let began = Instant::now();
        let mut outcome = Outcome::default();
        let Ok(response) = http::client().request(self.request(address, ask)).await else {
            return outcome;
        };
        outcome.status = response.status().as_u16();
        if outcome.status != 200 {
            if let Ok(body) = response.into_body().collect().await {
                let error = serde_json::from_slice(&body.to_bytes());
                outcome.take_error(&error.unwrap_or_default());
            }
            return outcome;
        }
        let mut events = SseStream::new(response.into_body());
        while let Some(Ok(event)) = events.next().await {
            outcome.cursor = event.id.or(outcome.cursor);
            let data = event.data.unwrap_or_default();
            if data == "[DONE]" {
                break;
            }
            let data: Value = serde_json::from_str(&data).unwrap_or_default();
            if event.event.as_deref() == Some("error") {
                outcome.take_error(&data);
                break;
            }
            outcome.take_chunk(&data, began);
            if ask.cut_after.is_some_and(|cut| outcome.tokens.len() >= cut) {
                break;
            }
        }
        outcome
    }

    fn bearer(&self) -> String {
        format!("Bearer {}", self.key)
    }

    fn request(&self, address: SocketAddr, ask: &Ask) -> hyper::Request<Full<Bytes>> {
        let mut body = json!({
            "max_tokens": ask.max_tokens,
            "model": ask.service,
            "prompt": ask.prompt,
            "stream": true,
        });
        if !ask.received.is_empty() {
            body["received_token_ids"] = json!(ask.received);
        }
        if ask.direct {
            body["continue_token_ids"] = json!([]);
            body["stream_id"] = json!(Uuid::new_v4().to_string());
        }
        let mut request = hyper::Request::post(format!("http://{address}/v1/completions"))
            .header(header::AUTHORIZATION, self.bearer());
        if let Some(cursor) = &ask.cursor {
            request = request.header("last-event-id", cursor);
        }
        if let Some(key) = ask.idempotency {
            request = request.header("idempotency-key", key.to_string());
        }
        request
            .body(Full::from(body.to_string()))
            .expect("a request")
    }
}

/// Upstream that a cursor names; what a caller can not know, but a measurement can.
fn upstream_of(cursor: &str) -> u64 {
    let bytes = BASE64_URL_SAFE_NO_PAD.decode(cursor).unwrap_or_default();
    let id = bytes.get(UPSTREAM_AT..UPSTREAM_AT + 8);
    id.map_or(0, |id| {
        u64::from_le_bytes(id.try_into().expect("eight bytes"))
    })
}

/// Milliseconds with their fraction.
pub fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000.0
}
