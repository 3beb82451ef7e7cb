//! Completions over HTTP, whole or as server-sent events.

use super::*;
use caller::{Desk, Guard, Head, Submitted};
use completion_response::ResponseEncoder;

/// Bytes of a prompt that decide which upstream may hold its prefix.
const PREFIX_BYTES: usize = 256;

/// Tokens of an answer if the caller does not say.
const MAX_TOKENS: u64 = 256;

/// A completion as the caller asked for it.
struct Completion {
    asked: caller::Asked,
    service: String,
    stream: bool,
}

/// Answers one completion.
pub(crate) async fn complete(
    desk: &Desk,
    request: &mut salvo::Request,
    response: &mut salvo::Response,
) -> Result<(), Kind> {
    let head = Head::read(request)?;
    let completion = Completion::read(&desk.body(request).await?)?;
    let generation = Uuid::now_v7();
    let answer = ResponseEncoder {
        generation: generation.to_string(),
        service: completion.service.clone(),
    };
    let submitted = desk.submit(head, completion.service, generation, completion.asked);
    if completion.stream {
        stream(submitted, answer, response).await;
    } else {
        whole(submitted, answer, response).await;
    }
    Ok(())
}

impl Completion {
    /// Reads a completions request.
    fn read(body: &[u8]) -> Result<Self, Kind> {
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
        let received = match fields.remove("received_token_ids") {
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
            None => MAX_TOKENS,
            Some(value) => value.as_u64().ok_or(Kind::BadBody)?,
        };
        let payload = Value::Object(fields).to_string().into_bytes();
        let start = &prompt[..prompt.len().min(PREFIX_BYTES)];
        let max_tokens = u32::try_from(max_tokens).map_err(|_| Kind::TooLarge)?;
        Ok(Self {
            asked: caller::Asked {
                fingerprint: caller::fingerprint(&service, &payload),
                received,
                work: Work::Generate {
                    max_tokens,
                    payload: payload.into(),
                    prefix: caller::first_bytes(&blake3::hash(start)),
                },
            },
            service,
            stream,
        })
    }
}

/// Answers with server-sent events; with an error's status if nothing came before it.
async fn stream(submitted: Submitted, answer: ResponseEncoder, response: &mut salvo::Response) {
    let Submitted {
        mut guard,
        mut replies,
    } = submitted;
    let first = match replies.recv().await {
        Some(Reply::Failed {
            kind,
            retry_after_ms,
        }) => {
            guard.ended = true;
            return caller::refuse(response, kind, retry_after_ms);
        }
        Some(first) => first,
        None => return caller::refuse(response, Kind::Internal, None),
    };
    let _ = response.add_header(header::CONTENT_TYPE, "text/event-stream", true);
    let _ = response.add_header(header::CACHE_CONTROL, "no-cache", true);
    response.stream(events(first, replies, guard, answer));
}

/// The events of an answer, as many in one piece as have come.
fn events(
    first: Reply,
    replies: mpsc::UnboundedReceiver<Reply>,
    guard: Guard,
    answer: ResponseEncoder,
) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
    let state = (Some(first), replies, guard, answer);
    futures_util::stream::unfold(
        state,
        |(first, mut replies, mut guard, mut answer)| async move {
            if guard.ended {
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
                guard.ended = !matches!(reply, Reply::Tokens { .. });
                bytes.extend_from_slice(&answer.events(reply));
                next = replies.try_recv().ok();
            }
            Some((Ok(Bytes::from(bytes)), (None, replies, guard, answer)))
        },
    )
}

/// Answers in one piece.
async fn whole(submitted: Submitted, mut answer: ResponseEncoder, response: &mut salvo::Response) {
    let Submitted {
        mut guard,
        mut replies,
    } = submitted;
    let mut text = String::new();
    let mut tokens = Vec::new();
    while let Some(reply) = replies.recv().await {
        match reply {
            Reply::Answer(_)
            | Reply::Body { .. }
            | Reply::Close
            | Reply::Cut
            | Reply::Open(_)
            | Reply::Pass(_) => break,
            Reply::Failed {
                kind,
                retry_after_ms,
            } => {
                guard.ended = true;
                return caller::refuse(response, kind, retry_after_ms);
            }
            Reply::Finished { position, reason } => {
                guard.ended = true;
                return caller::write_json(
                    response,
                    &answer.end(&text, &tokens, position, &reason),
                );
            }
            Reply::Tokens { cursor, pieces, .. } => {
                answer.identify(&cursor);
                for piece in pieces {
                    text.push_str(&piece.text);
                    tokens.push(piece.id);
                }
            }
        }
    }
    caller::refuse(response, Kind::Internal, None);
}
