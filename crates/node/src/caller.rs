//! The callers' side: what completions and calls of plain services have in common.

use super::*;

/// Header with the caller's idempotency key, a `UUIDv7`.
const KEY: &str = "idempotency-key";

/// Header with the cursor of the last event received.
const LAST_EVENT: &str = "last-event-id";

/// `GET /ready`: whether the balancer shall send new callers here.
struct Ready {
    driver: Driver,
    stopping: Arc<AtomicBool>,
}

/// What is asked of an [`Endpoint`].
#[derive(Clone, Copy)]
enum Asks {
    /// `POST /v1/completions`.
    Completion,
    /// `/services/{service}/...`: a call of a plain service.
    Call,
}

/// An endpoint that hands requests to the core.
struct Endpoint {
    asks: Asks,
    desk: Desk,
}

/// Takes requests in for the core.
#[derive(Clone)]
pub(crate) struct Desk {
    body_max: usize,
    driver: Driver,
}

/// A request handed to the core.
pub(crate) struct Submitted {
    /// Held while its answer is not whole.
    pub guard: Guard,
    /// Its answer.
    pub replies: mpsc::UnboundedReceiver<Reply>,
}

/// What a request asks, and what binds its cursors and claims.
pub(crate) struct Asked {
    /// Digest of service and body.
    pub fingerprint: u64,
    /// Tokens that a caller who comes back has.
    pub received: Option<Vec<u32>>,
    /// What is asked.
    pub work: Work,
}

/// What the headers of a request say.
pub(crate) struct Head {
    cursor: Option<Vec<u8>>,
    customer: String,
    key: Option<u128>,
}

/// Tells the core that a caller is gone when its task ends before the answer.
pub(crate) struct Guard {
    caller: Caller,
    driver: Driver,
    /// Whether the last step of the answer has come.
    pub ended: bool,
}

impl Guard {
    /// A guard of a caller whose answer has not come yet.
    pub fn new(caller: Caller, driver: &Driver) -> Self {
        Self {
            caller,
            driver: driver.clone(),
            ended: false,
        }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        if !self.ended {
            self.driver.send_event(Event::CallerGone(self.caller));
        }
    }
}

/// The routes of the callers' side.
pub(crate) fn router(settings: &Settings, driver: &Driver, stopping: &Arc<AtomicBool>) -> Router {
    let endpoint = |asks| Endpoint {
        asks,
        desk: Desk {
            body_max: settings.body_max,
            driver: driver.clone(),
        },
    };
    let ready = Ready {
        driver: driver.clone(),
        stopping: stopping.clone(),
    };
    Router::new()
        .push(Router::with_path("v1/completions").post(endpoint(Asks::Completion)))
        .push(Router::with_path("ready").get(ready))
        .push(Router::with_path("services/{service}/{**path}").goal(endpoint(Asks::Call)))
}

/// Digest of a service's name and what is asked of it, which binds cursors and claims.
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
        let answered = match self.asks {
            Asks::Call => calls::call(&self.desk, request, response).await,
            Asks::Completion => completions::complete(&self.desk, request, response).await,
        };
        if let Err(kind) = answered {
            self.desk.driver.count(Counter::Refused(kind));
            refuse(response, kind, None);
        }
    }
}

impl Desk {
    /// The body of a request.
    pub async fn body(&self, request: &mut salvo::Request) -> Result<Bytes, Kind> {
        request
            .payload_with_max_size(self.body_max)
            .await
            .cloned()
            .map_err(|error| match error {
                salvo::http::ParseError::PayloadTooLarge => Kind::TooLarge,
                _ => Kind::BadBody,
            })
    }

    /// Hands a request to the core.
    pub fn submit(&self, head: Head, service: String, generation: Uuid, asked: Asked) -> Submitted {
        let caller = self.driver.caller();
        let guard = Guard::new(caller, &self.driver);
        let replies = self.driver.submit(Submission {
            caller,
            cursor: head.cursor,
            customer: head.customer,
            fingerprint: asked.fingerprint,
            generation: generation.as_u128(),
            key: head.key,
            received: asked.received,
            service,
            work: asked.work,
        });
        Submitted { guard, replies }
    }
}

impl Head {
    /// Reads the headers of a request.
    pub fn read(request: &salvo::Request) -> Result<Self, Kind> {
        Ok(Self {
            customer: customer(request)?,
            key: key(request)?,
            cursor: cursor(request)?,
        })
    }
}

#[salvo::handler]
impl Ready {
    async fn handle(&self, response: &mut salvo::Response) {
        let configured = self.driver.status().await.revision.is_some();
        let ready = configured && !self.stopping.load(Ordering::Relaxed);
        write_readiness(response, ready);
    }
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

/// The first bytes of a digest as a number.
pub(crate) fn first_bytes(hash: &blake3::Hash) -> u64 {
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
pub(crate) fn refuse(response: &mut salvo::Response, kind: Kind, retry_after_ms: Option<u64>) {
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

/// Says whether new callers shall be sent here.
pub(crate) fn write_readiness(response: &mut salvo::Response, ready: bool) {
    let (status, text) = if ready {
        (StatusCode::OK, "ready\n")
    } else {
        (StatusCode::SERVICE_UNAVAILABLE, "not ready\n")
    };
    response.status_code(status);
    let _ = response.write_body(text);
}

/// Gives JSON as the whole answer.
pub(crate) fn write_json(response: &mut salvo::Response, body: &Value) {
    let _ = response.add_header(header::CONTENT_TYPE, "application/json", true);
    let _ = response.write_body(body.to_string());
}
