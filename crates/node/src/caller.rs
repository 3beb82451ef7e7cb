//! The HTTP interface for callers: routes, and what completions and calls of plain services have in common.

use super::*;
use caller_connections::{Hold, Registry};
use instance::StopPhase;

/// Header with the caller's idempotency key, a `UUIDv7`.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Header with the cursor of the last event that the caller received.
const LAST_EVENT_ID: &str = "last-event-id";

/// `GET /ready`: tells the load balancer whether to send new callers to this instance.
struct Readiness {
    driver: Driver,
    stop_phase: watch::Receiver<StopPhase>,
}

/// Operation that an [`Endpoint`] serves.
#[derive(Clone, Copy)]
enum Operation {
    /// `/services/{service}/...`: a call of a plain service.
    Call,
    /// `POST /v1/completions`.
    Completion,
}

/// An endpoint that submits requests to the core.
struct Endpoint {
    operation: Operation,
    submitter: Submitter,
}

/// Submits requests to the core.
#[derive(Clone)]
pub(crate) struct Submitter {
    connections: Registry,
    driver: Driver,
    max_body_bytes: usize,
    stop_phase: watch::Receiver<StopPhase>,
}

/// A request that was submitted to the core.
pub(crate) struct Submitted {
    /// Reports a disconnect of the caller to the core.
    pub guard: CallerGuard,
    /// Replies of the core.
    pub replies: mpsc::UnboundedReceiver<Reply>,
}

/// The part of a request that depends on the operation.
pub(crate) struct ParsedRequest {
    /// Digest of service and body, which binds cursors and claims to the request.
    pub fingerprint: u64,
    /// Tokens that the caller has already received; `None` if it did not send them.
    pub received_tokens: Option<Vec<u32>>,
    /// Requested operation.
    pub work: Work,
}

/// Parsed headers of a request.
pub(crate) struct RequestHeaders {
    cursor: Option<Vec<u8>>,
    customer: String,
    idempotency_key: Option<u128>,
    /// Address of the caller; `None` if it is not known.
    peer: Option<SocketAddr>,
}

/// Reports to the core that a caller disconnected if it is dropped before the response is complete.
pub(crate) struct CallerGuard {
    caller: Caller,
    driver: Driver,
    /// Keeps the caller's connection from being closed for others.
    _hold: Option<Hold>,
    /// Whether the last reply has arrived.
    pub is_finished: bool,
}

impl CallerGuard {
    /// A guard for a caller that awaits its response.
    pub fn new(caller: Caller, driver: &Driver, hold: Option<Hold>) -> Self {
        Self {
            caller,
            driver: driver.clone(),
            _hold: hold,
            is_finished: false,
        }
    }
}

impl Drop for CallerGuard {
    fn drop(&mut self) {
        if !self.is_finished {
            self.driver.send_event(Event::CallerGone(self.caller));
        }
    }
}

/// The routes of the interface for callers.
pub(crate) fn router(
    settings: &Settings,
    driver: &Driver,
    connections: &Registry,
    stop_phase: &watch::Receiver<StopPhase>,
) -> Router {
    let endpoint = |operation| Endpoint {
        operation,
        submitter: Submitter {
            connections: connections.clone(),
            driver: driver.clone(),
            max_body_bytes: settings.body_max,
            stop_phase: stop_phase.clone(),
        },
    };
    let readiness = Readiness {
        driver: driver.clone(),
        stop_phase: stop_phase.clone(),
    };
    Router::new()
        .push(Router::with_path("v1/completions").post(endpoint(Operation::Completion)))
        .push(Router::with_path("ready").get(readiness))
        .push(Router::with_path("services/{service}/{**path}").goal(endpoint(Operation::Call)))
}

/// Digest of a service's name and a request payload, which binds cursors and claims to the request.
pub fn fingerprint(service: &str, payload: &[u8]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(service.as_bytes());
    hasher.update(&[0]);
    hasher.update(payload);
    first_bytes(&hasher.finalize())
}

#[salvo::handler]
impl Endpoint {
    async fn handle(&self, request: &mut salvo::Request, response: &mut salvo::Response) {
        let result = match self.operation {
            Operation::Call => calls::handle(&self.submitter, request, response).await,
            Operation::Completion => completions::handle(&self.submitter, request, response).await,
        };
        if let Err(kind) = result {
            self.submitter.driver.count(Counter::Refused(kind));
            let retry_after_ms = (kind == Kind::Stopping).then_some(shutdown::RETRY_AFTER_MS);
            write_error(response, kind, retry_after_ms);
        }
        if *self.submitter.stop_phase.borrow() != StopPhase::Serving {
            // A caller that keeps its connection would go on sending here, past the load balancer.
            let close = header::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
    }
}

impl Submitter {
    /// Reads the body of a request, up to the configured limit. Refuses the request once a planned stop accepts no more:
    /// only then, since closing a connection with unread bytes would reset it, and the answer with it.
    pub async fn read_body(&self, request: &mut salvo::Request) -> Result<Bytes, Kind> {
        let body = request.payload_with_max_size(self.max_body_bytes).await;
        let body = body.cloned().map_err(|error| match error {
            salvo::http::ParseError::PayloadTooLarge => Kind::TooLarge,
            _ => Kind::BadBody,
        })?;
        if *self.stop_phase.borrow() == StopPhase::Refusing {
            return Err(Kind::Stopping);
        }
        Ok(body)
    }

    /// Submits a request to the core; `generation` is its new identifier.
    pub fn submit(
        &self,
        headers: RequestHeaders,
        service: String,
        generation: Uuid,
        parsed: ParsedRequest,
    ) -> Submitted {
        let caller = self.driver.new_caller();
        let hold = self.connections.hold(headers.peer);
        if let Some(hold) = &hold {
            hold.finish_read();
        }
        let guard = CallerGuard::new(caller, &self.driver, hold);
        let replies = self.driver.submit(Submission {
            caller,
            cursor: headers.cursor,
            customer: headers.customer,
            fingerprint: parsed.fingerprint,
            generation: generation.as_u128(),
            key: headers.idempotency_key,
            received: parsed.received_tokens,
            service,
            work: parsed.work,
        });
        Submitted { guard, replies }
    }
}

impl RequestHeaders {
    /// Parses the headers of a request.
    pub fn parse(request: &salvo::Request) -> Result<Self, Kind> {
        Ok(Self {
            customer: customer_digest(request)?,
            idempotency_key: idempotency_key(request)?,
            cursor: cursor(request)?,
            peer: request.remote_addr().clone().into_std(),
        })
    }
}

#[salvo::handler]
impl Readiness {
    async fn handle(&self, response: &mut salvo::Response) {
        let configured = self.driver.status().await.revision.is_some();
        let ready = configured && *self.stop_phase.borrow() == StopPhase::Serving;
        write_readiness(response, ready);
    }
}

/// The cursor from which the caller resumes; `None` if it starts a new request.
fn cursor(request: &salvo::Request) -> Result<Option<Vec<u8>>, Kind> {
    let Some(value) = request.headers().get(LAST_EVENT_ID) else {
        return Ok(None);
    };
    BASE64_URL_SAFE_NO_PAD
        .decode(value.as_bytes())
        .map(Some)
        .map_err(|_| Kind::BadCursor)
}

/// Digest of the customer's API key.
fn customer_digest(request: &salvo::Request) -> Result<String, Kind> {
    let key = request
        .headers()
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .ok_or(Kind::Unauthorized)?;
    Ok(blake3::hash(key.as_bytes()).to_hex().to_string())
}

/// The first eight bytes of a digest as a little-endian number.
pub(crate) fn first_bytes(hash: &blake3::Hash) -> u64 {
    let bytes = hash.as_bytes().first_chunk();
    u64::from_le_bytes(*bytes.expect("a digest has 32 bytes"))
}

/// The idempotency key; `None` if the request has none.
fn idempotency_key(request: &salvo::Request) -> Result<Option<u128>, Kind> {
    let Some(value) = request.headers().get(IDEMPOTENCY_KEY) else {
        return Ok(None);
    };
    let key = value
        .to_str()
        .ok()
        .and_then(|text| Uuid::parse_str(text).ok());
    key.map(|key| Some(key.as_u128())).ok_or(Kind::BadKey)
}

/// Writes an error response.
pub(crate) fn write_error(response: &mut salvo::Response, kind: Kind, retry_after_ms: Option<u64>) {
    let status = StatusCode::from_u16(kind.answer().status);
    response.status_code(status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR));
    if let Some(millis) = retry_after_ms {
        let _ = response.add_header(header::RETRY_AFTER, millis.div_ceil(1000), true);
    }
    write_json(
        response,
        &completion_response::error_body(kind, retry_after_ms),
    );
}

/// Writes the response that tells whether new callers may be sent to this instance.
pub(crate) fn write_readiness(response: &mut salvo::Response, ready: bool) {
    let (status, text) = if ready {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    };
    response.status_code(status);
    let _ = response.write_body(text);
}

/// Writes a JSON response.
pub(crate) fn write_json(response: &mut salvo::Response, body: &Value) {
    let _ = response.add_header(header::CONTENT_TYPE, "application/json", true);
    let _ = response.write_body(body.to_string());
}
