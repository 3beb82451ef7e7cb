//! Client for engines: a completions interface over HTTP with server-sent events.
//!
//! - `POST /v1/completions` starts the stream `stream_id`; `continue_token_ids` holds the tokens that it continues after,
//!   `linger_ms` how long the engine keeps it without a reader.
//! - `GET /v1/completions/{stream_id}?starting_after=N` resumes reading at position N.
//! - `POST /v1/completions/{stream_id}/cancel` stops it.
//! - The status 429 or 503 means that nothing ran; the header `x-leaving`, that the engine is leaving; `retry-after`, for how
//!   many seconds it accepts no requests from this instance.

use super::*;
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

/// One event of a stream.
#[derive(Debug, Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
    /// Current load of the engine; only some events have it.
    load: Option<probe::LoadReport>,
    position: u32,
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

/// Sends a request for a stream, reads the stream to its end and reports its events to the core task.
pub(crate) async fn run(
    http: HttpClient,
    driver: Driver,
    attempt: attempt::Key,
    upstream: upstream::Key,
    request: Request<http::Body>,
    attach: bool,
) {
    let failure = match http.send(request).await {
        Err(http::Error::NotSent(_)) => Failure::NotSent,
        Err(http::Error::Broken(_) | http::Error::TooLong(_)) => Failure::Broken,
        Ok(response) if response.status() == StatusCode::OK => {
            if read_stream(&driver, attempt, response.into_body()).await {
                return;
            }
            Failure::Broken
        }
        Ok(response) => {
            report_backoff(&driver, attempt, upstream, &response);
            classify_error(&response, attach)
        }
    };
    driver.send_event(Event::Failed { attempt, failure });
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

/// Reads a stream and reports its events; false if it ends without a finish reason or an event is malformed.
async fn read_stream(driver: &Driver, attempt: attempt::Key, body: hyper::body::Incoming) -> bool {
    let mut events = SseStream::new(body);
    while let Some(Ok(event)) = events.next().await {
        let Some(data) = event.data else { continue };
        let Ok(chunk) = serde_json::from_str::<Chunk>(&data) else {
            return false;
        };
        let Some(choice) = chunk.choices.into_iter().next() else {
            return false;
        };
        let position = chunk.position;
        let end = position.saturating_add(choice.token_ids.len() as u32);
        if !choice.token_ids.is_empty() {
            driver.send_event(Event::Tokens {
                attempt,
                tokens: output_tokens(&choice.token_ids, choice.text),
                position,
            });
        }
        if let Some(report) = chunk.load {
            let load = report.load();
            driver.send_event(Event::PiggybackedLoad { attempt, load });
        }
        if let Some(reason) = choice.finish_reason {
            driver.send_event(Event::GenerationFinished {
                attempt,
                position: end,
                reason,
            });
            return true;
        }
    }
    false
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
