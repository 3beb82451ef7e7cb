//! An answer as its caller is given it: events, one piece, or an error.

use super::*;

/// What one answer needs in each of its events.
pub(crate) struct ResponseEncoder {
    /// Identity of the generation.
    pub generation: String,
    /// Service, as the caller named it.
    pub service: String,
}

impl ResponseEncoder {
    /// The event that carries tokens.
    fn chunk(&self, pieces: &[OutputToken], position: u32) -> Value {
        let text: String = pieces.iter().map(|piece| piece.text.as_str()).collect();
        let tokens: Vec<u32> = pieces.iter().map(|piece| piece.id).collect();
        json!({
            "choices": [{
                "finish_reason": null,
                "index": 0,
                "text": text,
                "token_ids": tokens,
            }],
            "id": self.generation,
            "model": self.service,
            "object": "text_completion",
            "position": position,
        })
    }

    /// The last event, or the whole answer with its text and tokens.
    pub fn end(&self, text: &str, tokens: &[u32], position: u32, reason: &str) -> Value {
        json!({
            "choices": [{
                "finish_reason": reason,
                "index": 0,
                "text": text,
                "token_ids": tokens,
            }],
            "id": self.generation,
            "model": self.service,
            "object": "text_completion",
            "position": position - tokens.len() as u32,
            "usage": { "completion_tokens": position },
        })
    }

    /// Takes the identity of the generation from a cursor; a caller that came back goes on with an
    /// earlier one.
    pub fn identify(&mut self, cursor: &[u8; cursor::LENGTH]) {
        self.generation = Uuid::from_u128(cursor::generation(cursor)).to_string();
    }

    /// One step of the answer as server-sent events.
    pub fn events(&mut self, reply: Reply) -> Bytes {
        match reply {
            Reply::Answer(_)
            | Reply::Body { .. }
            | Reply::Close
            | Reply::Cut
            | Reply::Open(_)
            | Reply::Pass(_) => error_event(Kind::Internal, None),
            Reply::Failed {
                kind,
                retry_after_ms,
            } => error_event(kind, retry_after_ms),
            Reply::Finished { reason, position } => {
                let end = self.end("", &[], position, &reason).to_string();
                let mut events = Vec::from(Bytes::from(Sse::default().data(end)));
                events.extend_from_slice(b"data: [DONE]\n\n");
                events.into()
            }
            Reply::Tokens {
                cursor,
                pieces,
                position,
            } => {
                self.identify(&cursor);
                Sse::default()
                    .id(BASE64_URL_SAFE_NO_PAD.encode(cursor))
                    .data(self.chunk(&pieces, position).to_string())
                    .into()
            }
        }
    }
}

/// An error as JSON.
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
