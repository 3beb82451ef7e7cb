//! Encodes the response to a completion request: server-sent events, a single JSON document, or an error.

use super::*;

/// Encoder for one response; holds the fields that each of its events repeats.
pub(crate) struct ResponseEncoder {
    /// Identifier of the generation.
    pub generation: String,
    /// Name of the service, as given in the request.
    pub service: String,
}

impl ResponseEncoder {
    /// The event that carries `tokens`, the first of them at `position`.
    fn chunk(&self, tokens: &[OutputToken], position: u32) -> Value {
        let text: String = tokens.iter().map(|token| token.text.as_str()).collect();
        let token_ids: Vec<u32> = tokens.iter().map(|token| token.id).collect();
        json!({
            "choices": [{
                "finish_reason": null,
                "index": 0,
                "text": text,
                "token_ids": token_ids,
            }],
            "id": self.generation,
            "model": self.service,
            "object": "text_completion",
            "position": position,
        })
    }

    /// The last event of a stream, which has no text and no tokens, or the single document with all of them. `position` is
    /// the number of tokens in the whole answer.
    pub fn completion(&self, text: &str, token_ids: &[u32], position: u32, reason: &str) -> Value {
        json!({
            "choices": [{
                "finish_reason": reason,
                "index": 0,
                "text": text,
                "token_ids": token_ids,
            }],
            "id": self.generation,
            "model": self.service,
            "object": "text_completion",
            "position": position - token_ids.len() as u32,
            "usage": { "completion_tokens": position },
        })
    }

    /// Sets the identifier of the generation from a cursor: a caller that reconnects resumes an earlier generation.
    pub fn set_generation(&mut self, cursor: &[u8; cursor::LENGTH]) {
        self.generation = Uuid::from_u128(cursor::generation(cursor)).to_string();
    }

    /// Encodes one reply as server-sent events.
    pub fn events(&mut self, reply: Reply) -> Bytes {
        match reply {
            Reply::Abort
            | Reply::Body { .. }
            | Reply::CloseStream
            | Reply::EndStream
            | Reply::Event(_)
            | Reply::Head(_)
            | Reply::Response(_) => error_event(Kind::Internal, None),
            Reply::Failed {
                kind,
                retry_after_ms,
            } => error_event(kind, retry_after_ms),
            Reply::Finished { position, reason } => {
                let end = self.completion("", &[], position, &reason).to_string();
                let mut events = Vec::from(Bytes::from(Sse::default().data(end)));
                events.extend_from_slice(b"data: [DONE]\n\n");
                events.into()
            }
            Reply::Tokens {
                cursor,
                position,
                tokens,
            } => {
                self.set_generation(&cursor);
                Sse::default()
                    .id(BASE64_URL_SAFE_NO_PAD.encode(cursor))
                    .data(self.chunk(&tokens, position).to_string())
                    .into()
            }
        }
    }
}

/// The JSON body of an error response.
pub(crate) fn error_body(kind: Kind, retry_after_ms: Option<u64>) -> Value {
    let answer = kind.answer();
    json!({
        "error": {
            "kind": answer.name,
            "message": answer.text,
            "ran": match answer.ran {
                Ran::Maybe => "maybe",
                Ran::No => "no",
            },
            "retry": answer.retry,
            "retry_after_ms": retry_after_ms,
        }
    })
}

fn error_event(kind: Kind, retry_after_ms: Option<u64>) -> Bytes {
    let event = Sse::default().event("error");
    event
        .data(error_body(kind, retry_after_ms).to_string())
        .into()
}
