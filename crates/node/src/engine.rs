//! Client for engines: a completions interface over HTTP with server-sent events.
//!
//! - `POST /v1/completions` starts the stream `stream_id`; `continue_token_ids` holds the tokens that it continues after,
//!   `linger_ms` how long the engine keeps it without a reader.
//! - `GET /v1/completions/{stream_id}?starting_after=N` resumes reading at position N.
//! - `POST /v1/completions/{stream_id}/cancel` stops it.
//! - The status 429 or 503 means that nothing ran; the header `x-leaving`, that the engine is leaving; `retry-after`, for how
//!   many seconds it accepts no requests from this instance.

use super::*;
use event_queue::EventQueue;
use tokio::sync::OwnedSemaphorePermit;
use wellplank_core::{
    counter::AnswerBound,
    notice::{Backoff, Notice},
};

/// Header of a refusal by an upstream that is leaving.
const LEAVING_HEADER: &str = "x-leaving";

/// Timeout for the cancellation of a stream.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(1);

/// Bound of the answer to a cancellation, which says nothing.
const CANCEL_BOUND: http::Bound = http::Bound {
    bytes: 64 << 10,
    subject: AnswerBound::Body,
};

/// One attempt of a stream at an engine.
pub(crate) struct Generation {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Whether it re-attaches to a stream.
    pub attach: bool,
    /// The attempt.
    pub attempt: attempt::Key,
    /// The core task.
    pub driver: Driver,
    /// Maximum size of an event, in bytes.
    pub event_bytes_max: u64,
    /// Client with which it is sent.
    pub http: HttpClient,
    /// The engine.
    pub upstream: upstream::Key,
}

/// Counts the bytes of an event up to its empty line.
#[derive(Debug, Default)]
struct EventSize {
    /// Bytes of the event so far.
    event: usize,
    /// Whether the last byte was a carriage return, so that a line feed belongs to the same end of a line.
    is_behind_return: bool,
    /// Bytes of the line so far.
    line: usize,
}

/// One event of a stream.
#[derive(Debug, Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
    /// Current load of the engine; only some events have it.
    load: Option<probe::LoadReport>,
    position: u32,
}

/// How far a stream is behind an event.
enum Progress {
    /// The event was the last one.
    Ended,
    /// The event can't be used.
    Malformed,
    /// More events follow.
    Running,
}

/// The only choice of an event.
#[derive(Debug, Deserialize)]
struct Choice {
    finish_reason: Option<String>,
    #[serde(default)]
    text: String,
    #[serde(default)]
    token_ids: Vec<u32>,
}

/// Cancels a stream at its engine. Errors are ignored: the engine stops the stream after its linger time anyway.
pub(crate) async fn cancel(
    http: HttpClient,
    address: SocketAddr,
    stream: wellplank_core::effect::Stream,
) {
    let path = format!("/v1/completions/{}/cancel", stream_id(stream));
    let request = http::post(address, &path, &json!({}));
    let _ = timeout(CANCEL_TIMEOUT, http.exchange(request, CANCEL_BOUND)).await;
}

impl Generation {
    /// Sends a request for a stream, reads the stream to its end and reports its events to the core task.
    pub async fn run(self, request: Request<http::Body>) {
        let failure = match self.http.send(request).await {
            Err(http::Error::NotSent(_)) => Failure::NotSent,
            Err(error) => {
                self.report_break(Some(&error));
                Failure::Broken
            }
            Ok(response) if response.status() == StatusCode::OK => {
                if self.read_stream(response.into_body()).await {
                    return;
                }
                Failure::Broken
            }
            Ok(response) => {
                report_backoff(&self.driver, self.attempt, self.upstream, &response);
                classify_error(&response, self.attach)
            }
        };
        self.driver.send_event(Event::Failed {
            attempt: self.attempt,
            failure,
        });
    }

    /// Reads a stream and reports its events; false if it ends without a finish reason or an event is malformed or too long.
    async fn read_stream(&self, body: hyper::body::Incoming) -> bool {
        let mut events =
            SseStream::new(StreamBody::new(bounded_events(body, self.event_bytes_max)));
        let queue = EventQueue::new();
        loop {
            let event = match events.next().await {
                Some(Ok(event)) => event,
                Some(Err(sse_stream::Error::Body(error))) => {
                    self.report_break(error.downcast_ref());
                    return false;
                }
                Some(Err(_)) | None => return false,
            };
            let Some(data) = event.data else { continue };
            let Ok(chunk) = serde_json::from_str::<Chunk>(&data) else {
                return false;
            };
            let places = queue.places(data.len()).await;
            match self.report_chunk(chunk, places) {
                Progress::Ended => return true,
                Progress::Malformed => return false,
                Progress::Running => {}
            }
        }
    }

    /// Reports an event that exceeded its bound.
    fn report_break(&self, error: Option<&http::Error>) {
        if let Some(http::Error::TooLong(bound)) = error {
            self.driver.report_too_long(*bound, self.address);
        }
    }

    /// Reports the content of an event to the core task, which has `places` until its tokens are handled.
    fn report_chunk(&self, chunk: Chunk, places: OwnedSemaphorePermit) -> Progress {
        let attempt = self.attempt;
        let Some(choice) = chunk.choices.into_iter().next() else {
            return Progress::Malformed;
        };
        let position = chunk.position;
        let end = position.saturating_add(choice.token_ids.len() as u32);
        if !choice.token_ids.is_empty() {
            let tokens = Event::Tokens {
                attempt,
                tokens: output_tokens(&choice.token_ids, choice.text),
                position,
            };
            self.driver.send_stream_event(tokens, places);
        }
        if let Some(report) = chunk.load {
            let load = report.load();
            self.driver
                .send_event(Event::PiggybackedLoad { attempt, load });
        }
        let Some(reason) = choice.finish_reason else {
            return Progress::Running;
        };
        self.driver.send_event(Event::GenerationFinished {
            attempt,
            position: end,
            reason,
        });
        Progress::Ended
    }
}

impl EventSize {
    /// Adds bytes of a stream; returns the size of the longest event, or part of one, that they end or continue.
    fn add(&mut self, bytes: &[u8]) -> usize {
        let mut longest = 0;
        for byte in bytes {
            self.event += 1;
            longest = longest.max(self.event);
            match byte {
                b'\n' if self.is_behind_return => {}
                b'\n' | b'\r' if self.line == 0 => self.event = 0,
                b'\n' | b'\r' => self.line = 0,
                _ => self.line += 1,
            }
            self.is_behind_return = *byte == b'\r';
        }
        longest
    }
}

/// The frames of a stream of events, up to an event that exceeds its bound.
fn bounded_events(
    body: hyper::body::Incoming,
    bytes_max: u64,
) -> impl Stream<Item = Result<hyper::body::Frame<Bytes>, http::Error>> {
    let mut size = EventSize::default();
    let body = BodyStream::new(body);
    body.map(move |frame| {
        let frame = frame.map_err(|error| http::Error::Broken(error.to_string()))?;
        let longest = frame.data_ref().map_or(0, |bytes| size.add(bytes));
        if longest as u64 > bytes_max {
            return Err(http::Error::TooLong(http::Bound {
                bytes: bytes_max,
                subject: AnswerBound::Event,
            }));
        }
        Ok(frame)
    })
}

/// The request that starts or re-attaches to a stream; `None` if the payload is not a JSON object or the message is
/// not for an engine.
pub(crate) fn request(address: SocketAddr, outbound: Outbound) -> Option<Request<http::Body>> {
    match outbound {
        Outbound::Attach { position, stream } => {
            let id = stream_id(stream);
            let path = format!("/v1/completions/{id}?starting_after={position}");
            Some(http::get(address, &path))
        }
        Outbound::Call { .. } | Outbound::Relay { .. } => None,
        Outbound::Generate {
            adapter,
            linger_ms,
            max_tokens,
            model,
            payload,
            prefix,
            priority,
            stream,
        } => {
            let mut body: Map<String, Value> = serde_json::from_slice(&payload).ok()?;
            body.insert("adapter".into(), adapter.into());
            body.insert("continue_token_ids".into(), prefix.into());
            body.insert("linger_ms".into(), linger_ms.into());
            body.insert("max_tokens".into(), max_tokens.into());
            body.insert("model".into(), model.name.clone().into());
            body.insert("priority".into(), (priority as u8).into());
            body.insert("stream".into(), true.into());
            body.insert("stream_id".into(), stream_id(stream).into());
            body.insert("version".into(), model.version.clone().into());
            Some(http::post(address, "/v1/completions", &body.into()))
        }
    }
}

/// Reports to the core task the backoff that an upstream requests with a refusal.
pub(crate) fn report_backoff<B>(
    driver: &Driver,
    attempt: attempt::Key,
    upstream: upstream::Key,
    response: &hyper::Response<B>,
) {
    let value = response.headers().get(header::RETRY_AFTER);
    if let Some(value) = value.filter(|_| is_refusal(response.status())) {
        let notice = Notice {
            backoff: value.to_str().map_or(Backoff::Malformed, Backoff::parse),
            ..Notice::default()
        };
        driver.send_event(Event::NoticeReceived {
            attempt,
            notice,
            upstream,
        });
    }
}

/// Whether a status means that the upstream did not run the request for lack of capacity.
pub(crate) fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    )
}

/// The failure that an error response means for an attempt; `attach` tells whether it was to re-attach to a stream.
pub(crate) fn classify_error<B>(response: &hyper::Response<B>, attach: bool) -> Failure {
    let leaving = response.headers().contains_key(LEAVING_HEADER);
    match response.status() {
        StatusCode::SERVICE_UNAVAILABLE if leaving => Failure::Leaving,
        status if is_refusal(status) => Failure::Refused,
        StatusCode::NOT_FOUND if attach => Failure::UnknownStream,
        status if status.is_client_error() => Failure::Rejected,
        _ => Failure::Broken,
    }
}

fn stream_id(stream: wellplank_core::effect::Stream) -> String {
    let generation = Uuid::from_u128(stream.generation);
    format!("{generation}.{}", stream.number)
}

/// Tokens with their text; the text of several tokens is assigned to the last of them.
fn output_tokens(ids: &[u32], text: String) -> Vec<OutputToken> {
    let mut tokens: Vec<OutputToken> = ids
        .iter()
        .map(|id| OutputToken {
            id: *id,
            text: String::new(),
        })
        .collect();
    if let Some(last) = tokens.last_mut() {
        last.text = text;
    }
    tokens
}
