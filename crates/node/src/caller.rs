//! The callers' side: completions over HTTP, whole or as server-sent events, and calls of plain
//! services.

use super::*;

/// Header with the caller's idempotency key, a `UUIDv7`.
const KEY: &str = "idempotency-key";

/// Header with the cursor of the last event received.
const LAST_EVENT: &str = "last-event-id";

/// Bytes of a prompt that decide which upstream may hold its prefix.
const PREFIX_BYTES: usize = 256;

/// Tokens of an answer if the caller does not say.
const MAX_TOKENS: u64 = 256;

/// `POST /v1/completions`.
struct Completions {
    body_max: usize,
    driver: Driver,
}

/// `GET /ready`: whether the balancer shall send new callers here.
struct Ready {
    driver: Driver,
    stopping: Arc<AtomicBool>,
}

/// `/services/{service}/...`: calls of plain services.
struct Services {
    body_max: usize,
    driver: Driver,
}

/// Tells the core that a caller is gone when its task ends before the answer.
struct Guard {
    caller: Caller,
    driver: Driver,
    ended: bool,
}

/// A completion as the caller asked for it.
struct Asked {
    fingerprint: u64,
    max_tokens: u32,
    payload: Arc<[u8]>,
    prefix: u64,
    received: Option<Vec<u32>>,
    service: String,
    stream: bool,
}

/// What one answer needs in each of its events.
struct Answer {
    generation: String,
    service: String,
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.ended {
            self.driver.event(Event::CallerGone(self.caller));
        }
    }
}

/// The routes of the callers' side.
pub(crate) fn router(settings: &Settings, driver: &Driver, stopping: &Arc<AtomicBool>) -> Router {
    let body_max = settings.body_max;
    Router::new()
        .push(Router::with_path("v1/completions").post(Completions {
            body_max,
            driver: driver.clone(),
        }))
        .push(Router::with_path("ready").get(Ready {
            driver: driver.clone(),
            stopping: stopping.clone(),
        }))
        .push(
            Router::with_path("services/{service}/{**path}").goal(Services {
                body_max,
                driver: driver.clone(),
            }),
        )
}

/// Digest of a service's name and what is asked of it, which binds cursors and claims.
pub fn fingerprint(service: &str, payload: &[u8]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(service.as_bytes());
    hasher.update(&[0]);
    hasher.update(payload);
    first_bytes(&hasher.finalize())
}

#[salvo::async_trait]
impl Handler for Completions {
    async fn handle(
        &self,
        request: &mut salvo::Request,
        _depot: &mut Depot,
        response: &mut salvo::Response,
        _flow: &mut FlowCtrl,
    ) {
        if let Err(kind) = self.complete(request, response).await {
            self.driver.count(Counter::Refused(kind));
            refuse(response, kind, None);
        }
    }
}

impl Completions {
    async fn complete(
        &self,
        request: &mut salvo::Request,
        response: &mut salvo::Response,
    ) -> Result<(), Kind> {
        let customer = customer(request)?;
        let key = key(request)?;
        let cursor = cursor(request)?;
        let asked = Asked::read(&body(request, self.body_max).await?)?;
        let caller = self.driver.caller();
        let guard = Guard {
            caller,
            driver: self.driver.clone(),
            ended: false,
        };
        let generation = Uuid::now_v7();
        let replies = self.driver.submit(Submission {
            caller,
            cursor,
            customer,
            fingerprint: asked.fingerprint,
            generation: generation.as_u128(),
            key,
            received: asked.received,
            service: asked.service.clone(),
            work: Work::Generate {
                max_tokens: asked.max_tokens,
                payload: asked.payload,
                prefix: asked.prefix,
            },
        });
        let answer = Answer {
            generation: generation.to_string(),
            service: asked.service,
        };
        if asked.stream {
            stream(replies, guard, answer, response).await;
        } else {
            whole(replies, guard, answer, response).await;
        }
        Ok(())
    }
}

#[salvo::async_trait]
impl Handler for Ready {
    async fn handle(
        &self,
        _request: &mut salvo::Request,
        _depot: &mut Depot,
        response: &mut salvo::Response,
        _flow: &mut FlowCtrl,
    ) {
        let configured = self.driver.status().await.revision.is_some();
        let ready = configured && !self.stopping.load(Ordering::Relaxed);
        response.status_code(if ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        });
        let _ = response.write_body(if ready { "ready\n" } else { "not ready\n" });
    }
}

#[salvo::async_trait]
impl Handler for Services {
    async fn handle(
        &self,
        request: &mut salvo::Request,
        _depot: &mut Depot,
        response: &mut salvo::Response,
        _flow: &mut FlowCtrl,
    ) {
        if let Err(kind) = self.call(request, response).await {
            self.driver.count(Counter::Refused(kind));
            refuse(response, kind, None);
        }
    }
}

impl Services {
    async fn call(
        &self,
        request: &mut salvo::Request,
        response: &mut salvo::Response,
    ) -> Result<(), Kind> {
        let customer = customer(request)?;
        let key = key(request)?;
        let service: String = request.param("service").ok_or(Kind::UnknownService)?;
        let rest: String = request.param("path").unwrap_or_default();
        let query = request.uri().query().map(|query| format!("?{query}"));
        let path = format!("{} /{rest}{}", request.method(), query.unwrap_or_default());
        let payload = body(request, self.body_max).await?;
        let mut bound = path.clone().into_bytes();
        bound.extend_from_slice(&payload);
        let caller = self.driver.caller();
        let mut guard = Guard {
            caller,
            driver: self.driver.clone(),
            ended: false,
        };
        let mut replies = self.driver.submit(Submission {
            caller,
            cursor: None,
            customer,
            fingerprint: fingerprint(&service, &bound),
            generation: Uuid::now_v7().as_u128(),
            key,
            received: None,
            service,
            work: Work::Call {
                path: path.into(),
                payload: payload.to_vec().into(),
            },
        });
        let reply = replies.recv().await;
        guard.ended = true;
        match reply {
            Some(Reply::Body { body, status }) => {
                response
                    .status_code(StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY));
                let _ = response.write_body(body);
            }
            Some(Reply::Failed {
                kind,
                retry_after_ms,
            }) => refuse(response, kind, retry_after_ms),
            _ => refuse(response, Kind::Unknown, None),
        }
        Ok(())
    }
}

impl Answer {
    /// The event that carries tokens.
    fn chunk(&self, pieces: &[Piece], position: u32) -> Value {
        let text: String = pieces.iter().map(|piece| piece.text.as_str()).collect();
        let tokens: Vec<u32> = pieces.iter().map(|piece| piece.token).collect();
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
    fn end(&self, text: &str, tokens: &[u32], position: u32, reason: &str) -> Value {
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
    fn identify(&mut self, cursor: &[u8; cursor::LENGTH]) {
        self.generation = Uuid::from_u128(cursor::generation(cursor)).to_string();
    }

    /// One step of the answer as server-sent events.
    fn events(&mut self, reply: Reply) -> Bytes {
        match reply {
            Reply::Body { .. } => error_event(Kind::Internal, None),
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

impl Asked {
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
        Ok(Self {
            fingerprint: fingerprint(&service, &payload),
            max_tokens: u32::try_from(max_tokens).map_err(|_| Kind::TooLarge)?,
            payload: payload.into(),
            prefix: first_bytes(&blake3::hash(start)),
            received,
            service,
            stream,
        })
    }
}

/// The body of a request.
async fn body(request: &mut salvo::Request, body_max: usize) -> Result<Bytes, Kind> {
    request
        .payload_with_max_size(body_max)
        .await
        .cloned()
        .map_err(|error| match error {
            salvo::http::ParseError::PayloadTooLarge => Kind::TooLarge,
            _ => Kind::BadBody,
        })
}

/// The cursor that a caller goes on from.
fn cursor(request: &salvo::Request) -> Result<Option<Vec<u8>>, Kind> {
    let Some(value) = request.headers().get(LAST_EVENT) else {
        return Ok(None);
    };
    BASE64_URL_SAFE_NO_PAD
        .decode(value.as_bytes())
        .map(Some)
        .map_err(|_| Kind::BadCursor)
}

/// Digest of the customer's key.
fn customer(request: &salvo::Request) -> Result<String, Kind> {
    let key = request
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or(Kind::Unauthorized)?;
    Ok(blake3::hash(key.as_bytes()).to_hex().to_string())
}

fn error(kind: Kind, retry_after_ms: Option<u64>) -> Value {
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
    event.data(error(kind, retry_after_ms).to_string()).into()
}

fn first_bytes(hash: &blake3::Hash) -> u64 {
    let bytes = hash.as_bytes().first_chunk();
    u64::from_le_bytes(*bytes.expect("a digest is longer"))
}

/// The idempotency key, if given.
fn key(request: &salvo::Request) -> Result<Option<u128>, Kind> {
    let Some(value) = request.headers().get(KEY) else {
        return Ok(None);
    };
    let key = value
        .to_str()
        .ok()
        .and_then(|text| Uuid::parse_str(text).ok());
    key.map(|key| Some(key.as_u128())).ok_or(Kind::BadKey)
}

/// Gives an error as the whole answer.
fn refuse(response: &mut salvo::Response, kind: Kind, retry_after_ms: Option<u64>) {
    let status = StatusCode::from_u16(kind.answer().status);
    response.status_code(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    if let Some(millis) = retry_after_ms {
        let _ = response.add_header(header::RETRY_AFTER, millis.div_ceil(1000), true);
    }
    write_json(response, &error(kind, retry_after_ms));
}

/// Answers with server-sent events; with an error's status if nothing came before it.
async fn stream(
    mut replies: mpsc::UnboundedReceiver<Reply>,
    mut guard: Guard,
    answer: Answer,
    response: &mut salvo::Response,
) {
    let first = match replies.recv().await {
        Some(Reply::Failed {
            kind,
            retry_after_ms,
        }) => {
            guard.ended = true;
            return refuse(response, kind, retry_after_ms);
        }
        Some(first) => first,
        None => return refuse(response, Kind::Internal, None),
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
    answer: Answer,
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
async fn whole(
    mut replies: mpsc::UnboundedReceiver<Reply>,
    mut guard: Guard,
    mut answer: Answer,
    response: &mut salvo::Response,
) {
    let mut text = String::new();
    let mut tokens = Vec::new();
    while let Some(reply) = replies.recv().await {
        match reply {
            Reply::Body { .. } => break,
            Reply::Failed {
                kind,
                retry_after_ms,
            } => {
                guard.ended = true;
                return refuse(response, kind, retry_after_ms);
            }
            Reply::Finished { position, reason } => {
                guard.ended = true;
                return write_json(response, &answer.end(&text, &tokens, position, &reason));
            }
            Reply::Tokens { cursor, pieces, .. } => {
                answer.identify(&cursor);
                for piece in pieces {
                    text.push_str(&piece.text);
                    tokens.push(piece.token);
                }
            }
        }
    }
    refuse(response, Kind::Internal, None);
}

fn write_json(response: &mut salvo::Response, body: &Value) {
    let _ = response.add_header(header::CONTENT_TYPE, "application/json", true);
    let _ = response.write_body(body.to_string());
}
