//! The endpoint for completions over HTTP; it responds with a JSON document or with server-sent events.

use super::*;
use caller::{CallerGuard, RequestHeaders, Submitted, Submitter};
use completion_response::ResponseEncoder;

/// Length of a prompt's prefix, in bytes, whose hash determines which upstream may have it in its KV cache.
const PREFIX_BYTES: usize = 256;

/// Maximum number of tokens in an answer if the request sets none.
const DEFAULT_MAX_TOKENS: u64 = 256;

/// A parsed completion request.
struct CompletionRequest {
    parsed: caller::ParsedRequest,
    service: String,
    stream: bool,
}

/// Handles one completion request; on `Err`, nothing has been written to the response.
pub(crate) async fn handle(
    submitter: &Submitter,
    request: &mut salvo::Request,
    response: &mut salvo::Response,
) -> Result<(), Kind> {
    let headers = RequestHeaders::parse(request)?;
    let completion = CompletionRequest::parse(&submitter.read_body(request).await?)?;
    let generation = Uuid::now_v7();
    let encoder = ResponseEncoder {
        generation: generation.to_string(),
        service: completion.service.clone(),
    };
    let submitted = submitter.submit(headers, completion.service, generation, completion.parsed);
    if completion.stream {
        respond_with_stream(submitted, encoder, response).await;
    } else {
        respond_with_json(submitted, encoder, response).await;
    }
    Ok(())
}

impl CompletionRequest {
    /// Parses the body of a completion request.
    fn parse(body: &[u8]) -> Result<Self, Kind> {
        let mut fields: Map<String, Value> =
            serde_json::from_slice(body).map_err(|_| Kind::BadBody)?;
        let Some(Value::String(service)) = fields.remove("model") else {
            return Err(Kind::BadBody);
        };
        let stream = match fields.remove("stream") {
            None => false,
            Some(Value::Bool(stream)) => stream,
            Some(_) => return Err(Kind::BadBody),
        };
        let received_tokens = match fields.remove("received_token_ids") {
            None => None,
            Some(value) => Some(serde_json::from_value(value).map_err(|_| Kind::BadBody)?),
        };
        let prompt = match fields.get("prompt") {
            Some(Value::String(text)) if !text.is_empty() => text.clone().into_bytes(),
            Some(Value::Array(tokens))
                if !tokens.is_empty() && tokens.iter().all(Value::is_u64) =>
            {
                fields["prompt"].to_string().into_bytes()
            }
            _ => return Err(Kind::BadBody),
        };
        let max_tokens = match fields.get("max_tokens") {
            None => DEFAULT_MAX_TOKENS,
            Some(value) => value.as_u64().ok_or(Kind::BadBody)?,
        };
        let payload = Value::Object(fields).to_string().into_bytes();
        let prompt_prefix = &prompt[..prompt.len().min(PREFIX_BYTES)];
        let max_tokens = u32::try_from(max_tokens).map_err(|_| Kind::TooLarge)?;
        Ok(Self {
            parsed: caller::ParsedRequest {
                fingerprint: caller::fingerprint(&service, &payload),
                received_tokens,
                work: Work::Generate {
                    max_tokens,
                    payload: payload.into(),
                    prefix: caller::first_bytes(&blake3::hash(prompt_prefix)),
                },
            },
            service,
            stream,
        })
    }
}

/// Responds with server-sent events, or with an error status if the request fails before the first event.
async fn respond_with_stream(
    submitted: Submitted,
    encoder: ResponseEncoder,
    response: &mut salvo::Response,
) {
    let Submitted {
        mut guard,
        mut replies,
    } = submitted;
    let first = match replies.recv().await {
        Some(Reply::Failed {
            kind,
            retry_after_ms,
        }) => {
            guard.is_finished = true;
            return caller::write_error(response, kind, retry_after_ms);
        }
        Some(first) => first,
        None => return caller::write_error(response, Kind::Internal, None),
    };
    let _ = response.add_header(header::CONTENT_TYPE, "text/event-stream", true);
    let _ = response.add_header(header::CACHE_CONTROL, "no-cache", true);
    response.stream(events(first, replies, guard, encoder));
}

/// The events of a response; all replies that are queued go into one chunk.
fn events(
    first: Reply,
    replies: mpsc::UnboundedReceiver<Reply>,
    guard: CallerGuard,
    encoder: ResponseEncoder,
) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
    let state = (Some(first), replies, guard, encoder);
    futures_util::stream::unfold(
        state,
        |(first, mut replies, mut guard, mut encoder)| async move {
            if guard.is_finished {
                return None;
            }
            let mut next = match first {
                Some(first) => Some(first),
                None => replies.recv().await,
            };
            let mut bytes = Vec::new();
            if next.is_none() {
                next = Some(Reply::Failed {
                    kind: Kind::Internal,
                    retry_after_ms: None,
                });
            }
            while let Some(reply) = next {
                guard.is_finished = !matches!(reply, Reply::Tokens { .. });
                bytes.extend_from_slice(&encoder.events(reply));
                next = replies.try_recv().ok();
            }
            Some((Ok(Bytes::from(bytes)), (None, replies, guard, encoder)))
        },
    )
}

/// Responds with a single JSON document.
async fn respond_with_json(
    submitted: Submitted,
    mut encoder: ResponseEncoder,
    response: &mut salvo::Response,
) {
    let Submitted {
        mut guard,
        mut replies,
    } = submitted;
    let mut text = String::new();
    let mut token_ids = Vec::new();
    while let Some(reply) = replies.recv().await {
        match reply {
            Reply::Abort
            | Reply::Body { .. }
            | Reply::CloseStream
            | Reply::EndStream
            | Reply::Event(_)
            | Reply::Head(_)
            | Reply::Response(_) => break,
            Reply::Failed {
                kind,
                retry_after_ms,
            } => {
                guard.is_finished = true;
                return caller::write_error(response, kind, retry_after_ms);
            }
            Reply::Finished { position, reason } => {
                guard.is_finished = true;
                return caller::write_json(
                    response,
                    &encoder.completion(&text, &token_ids, position, &reason),
                );
            }
            Reply::Tokens { cursor, tokens, .. } => {
                encoder.set_generation(&cursor);
                for token in tokens {
                    text.push_str(&token.text);
                    token_ids.push(token.id);
                }
            }
        }
    }
    caller::write_error(response, Kind::Internal, None);
}
