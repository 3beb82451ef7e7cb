//! Streams of engines: a completions interface over HTTP with server-sent events.
//!
//! - `POST /v1/completions` starts a stream named by `stream_id`; `continue_token_ids` holds the
//!   tokens that it continues from, `linger_ms` how long it is kept without a reader.
//! - `GET /v1/completions/{stream_id}?starting_after=N` reads on from position N.
//! - `POST /v1/completions/{stream_id}/cancel` stops it.
//! - 429 and 503 mean that nothing ran; the header `x-leaving` that the engine is leaving, `retry-after` for how many seconds it
//!   wants nothing of this instance.

use super::*;
use wellplank_core::notice::{Backoff, Notice};

/// Header by which an upstream that refuses says that it is leaving.
pub(crate) const LEAVING: &str = "x-leaving";

/// Time that a cancelled stream's engine has to answer.
const CANCEL: Duration = Duration::from_secs(1);

/// One event of a stream.
#[derive(Debug, Deserialize)]
struct Chunk {
    choices: Vec<Choice>,
    /// The engine's load now, in some of the events.
    load: Option<probe::Report>,
    position: u32,
}

/// The one choice of an event.
#[derive(Debug, Deserialize)]
struct Choice {
    finish_reason: Option<String>,
    #[serde(default)]
    text: String,
    #[serde(default)]
    token_ids: Vec<u32>,
}

/// Stops a stream; a lost word costs no more than the stream's linger time.
pub(crate) async fn cancel(
    http: HttpClient,
    address: SocketAddr,
    stream: wellplank_core::effect::Stream,
) {
    let path = format!("/v1/completions/{}/cancel", name(stream));
    let request = http::post(address, &path, &json!({}));
    let _ = timeout(CANCEL, http.exchange(request)).await;
}

/// Reads a stream to its end and tells the core task what comes.
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
        Err(http::Error::Broken(_)) => Failure::Broken,
        Ok(response) if response.status() == StatusCode::OK => {
            if read(&driver, attempt, response.into_body()).await {
                return;
            }
            Failure::Broken
        }
        Ok(response) => {
            tell(&driver, attempt, upstream, &response);
            refusal(&response, attach)
        }
    };
    driver.event(Event::Failed { attempt, failure });
}

/// The request that starts or re-attaches to a stream; `None` if the payload is no object.
pub(crate) fn request(address: SocketAddr, outbound: Outbound) -> Option<Request<http::Body>> {
    match outbound {
        Outbound::Attach { position, stream } => {
            let name = name(stream);
            let path = format!("/v1/completions/{name}?starting_after={position}");
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
            body.insert("stream_id".into(), name(stream).into());
            body.insert("version".into(), model.version.clone().into());
            Some(http::post(address, "/v1/completions", &body.into()))
        }
    }
}

/// Tells the core task for how long the upstream that gave a refusal wants nothing.
pub(crate) fn tell<B>(
    driver: &Driver,
    attempt: attempt::Key,
    upstream: upstream::Key,
    response: &hyper::Response<B>,
) {
    let value = response.headers().get(header::RETRY_AFTER);
    if let Some(value) = value.filter(|_| refuses(response.status())) {
        let notice = Notice {
            backoff: value.to_str().map_or(Backoff::Malformed, Backoff::parse),
            ..Notice::default()
        };
        driver.event(Event::NoticeReceived {
            attempt,
            notice,
            upstream,
        });
    }
}

/// Whether a status says that nothing was run for want of room.
pub(crate) fn refuses(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS
    )
}

/// What a refusal means for the request.
pub(crate) fn refusal<B>(response: &hyper::Response<B>, attach: bool) -> Failure {
    let leaving = response.headers().contains_key(LEAVING);
    match response.status() {
        StatusCode::SERVICE_UNAVAILABLE if leaving => Failure::Leaving,
        status if refuses(status) => Failure::Refused,
        StatusCode::NOT_FOUND if attach => Failure::UnknownStream,
        status if status.is_client_error() => Failure::Rejected,
        _ => Failure::Broken,
    }
}

fn name(stream: wellplank_core::effect::Stream) -> String {
    let generation = Uuid::from_u128(stream.generation);
    format!("{generation}.{}", stream.number)
}

/// Reads events until the end; false if the stream ends before it should.
async fn read(driver: &Driver, attempt: attempt::Key, body: hyper::body::Incoming) -> bool {
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
        let end = position + choice.token_ids.len() as u32;
        if !choice.token_ids.is_empty() {
            driver.event(Event::Tokens {
                attempt,
                tokens: pieces(&choice.token_ids, choice.text),
                position,
            });
        }
        if let Some(report) = chunk.load {
            let load = report.load();
            driver.event(Event::PiggybackedLoad { attempt, load });
        }
        if let Some(reason) = choice.finish_reason {
            driver.event(Event::GenerationFinished {
                attempt,
                position: end,
                reason,
            });
            return true;
        }
    }
    false
}

/// Tokens with their text; the text of several tokens goes with the last of them.
fn pieces(tokens: &[u32], text: String) -> Vec<OutputToken> {
    let mut pieces: Vec<OutputToken> = tokens
        .iter()
        .map(|token| OutputToken {
            text: String::new(),
            id: *token,
        })
        .collect();
    if let Some(last) = pieces.last_mut() {
        last.text = text;
    }
    pieces
}
