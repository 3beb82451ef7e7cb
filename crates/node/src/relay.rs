//! The endpoint for requests that are relayed to upstreams unchanged.

use super::*;
use caller::CallerGuard;

/// Time after the start of a shutdown during which streams are accepted whose callers wait for longer than the instance does: the
/// load balancer keeps sending new callers for two of its health checks, which are one second apart.
const STREAM_WINDOW: Duration = Duration::from_millis(2_500);

/// A graceful shutdown in progress.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Shutdown {
    /// When the instance exits at the latest.
    pub deadline: Instant,
    /// When the shutdown started.
    pub started_at: Instant,
}

/// Watches for a graceful shutdown; the value is `None` until one starts.
pub(crate) type ShutdownReceiver = watch::Receiver<Option<Shutdown>>;

impl Shutdown {
    /// Whether a new request is passed on to the core, which decides whether it is taken. A stream that outlasts the shutdown
    /// would be cut, with its caller in the middle of it.
    fn accepts(self, relay: &request::Relay) -> bool {
        let left = self.deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return false;
        }
        let timeout = relay.timeout_ms.map(Duration::from_millis);
        let ends_in_time = timeout.is_some_and(|timeout| timeout <= left);
        let is_stream = relay.prompt != 0;
        !is_stream || ends_in_time || self.started_at.elapsed() <= STREAM_WINDOW
    }
}

/// The endpoint of relayed requests.
pub(crate) struct Endpoint {
    /// Handle of the core task.
    pub driver: Driver,
    /// Limits on the requests of callers.
    pub limits: watch::Receiver<platform::configuration::Limits>,
    /// Watches for a graceful shutdown.
    pub shutdown: ShutdownReceiver,
}

#[salvo::handler]
impl Endpoint {
    async fn handle(&self, request: &mut salvo::Request, response: &mut salvo::Response) {
        if let Err(kind) = self.relay(request, response).await {
            self.driver.count(Counter::Refused(kind));
            let request_id = platform::request::request_id(request.headers());
            write_error(response, request_id.unwrap_or_default(), kind, None);
        }
        if self.shutdown.borrow().is_some() {
            let close = header::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
    }
}

impl Endpoint {
    async fn relay(
        &self,
        request: &mut salvo::Request,
        response: &mut salvo::Response,
    ) -> Result<(), Kind> {
        let limits = *self.limits.borrow();
        if http::header_bytes(request.headers()) > limits.max_header_bytes {
            return Err(Kind::HeadTooLarge);
        }
        let body = read_body(request, limits).await?;
        let uri = request.uri();
        let parsed = platform::request::parse(uri.path(), uri.query(), request.headers(), &body);
        let parsed = parsed.map_err(|error| {
            debug!("malformed request: {error}");
            Kind::BadBody
        })?;
        let shutdown = *self.shutdown.borrow();
        if shutdown.is_some_and(|shutdown| !shutdown.accepts(&parsed.relay)) {
            self.driver.count(Counter::Refused(Kind::Stopping));
            let request_id = &parsed.relay.run;
            write_error(
                response,
                request_id,
                Kind::Stopping,
                Some(shutdown::RETRY_AFTER_MS),
            );
            return Ok(());
        }
        let original = forward::OriginalRequest {
            body,
            headers: request.headers().clone(),
            method: request.method().clone(),
            request_id: parsed.relay.run.clone(),
            target: uri
                .path_and_query()
                .map_or_else(String::new, ToString::to_string),
        };
        let caller = self.driver.new_caller();
        let guard = CallerGuard::new(caller, &self.driver);
        let submission = Submission {
            caller,
            cursor: None,
            customer: parsed.customer,
            fingerprint: parsed.fingerprint,
            generation: Uuid::now_v7().as_u128(),
            key: None,
            received: None,
            service: String::new(),
            work: Work::Relay(parsed.relay),
        };
        let request_id = original.request_id.clone();
        let outlet = self.driver.submit_relay(submission, original);
        respond(&request_id, outlet, guard, response).await;
        Ok(())
    }
}

/// Reads the complete body of a request, within the limits on its size and on the time it takes.
async fn read_body(
    request: &mut salvo::Request,
    limits: platform::configuration::Limits,
) -> Result<Bytes, Kind> {
    let body = request.payload_with_max_size(limits.max_body_bytes);
    let Ok(body) = timeout(limits.header_timeout, body).await else {
        return Err(Kind::SlowBody);
    };
    body.cloned().map_err(|error| match error {
        salvo::http::ParseError::PayloadTooLarge => Kind::TooLarge,
        _ => Kind::BadBody,
    })
}

/// Writes the replies of the core to the response.
async fn respond(
    request_id: &str,
    outlet: Arc<Outlet>,
    mut guard: CallerGuard,
    response: &mut salvo::Response,
) {
    match outlet.recv().await {
        Some(Reply::Response(upstream_response)) => {
            guard.is_finished = true;
            write_head(response, upstream_response.head);
            response.body(salvo::http::ResBody::Once(upstream_response.body));
        }
        Some(Reply::Failed {
            kind,
            retry_after_ms,
        }) => {
            guard.is_finished = true;
            write_error(response, request_id, kind, retry_after_ms);
        }
        Some(Reply::Head(head)) => {
            write_head(response, *head);
            response.stream(events(outlet, guard));
        }
        _ => write_error(response, request_id, Kind::Internal, None),
    }
}

/// The events of a stream; events that are queued go into one chunk, up to its maximum size. An aborted stream ends with an error, which closes
/// the caller's connection before the response is complete.
fn events(
    outlet: Arc<Outlet>,
    guard: CallerGuard,
) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
    futures_util::stream::unfold(
        (outlet, guard, false),
        |(outlet, mut guard, mut is_aborted)| async move {
            if is_aborted {
                let error = std::io::Error::other("relayed stream aborted before it was complete");
                return Some((Err(error), (outlet, guard, false)));
            }
            if guard.is_finished {
                return None;
            }
            let mut bytes = Vec::new();
            let mut next = outlet.recv().await;
            loop {
                match next {
                    Some(Reply::Event(event)) => bytes.extend_from_slice(&event),
                    Some(Reply::EndStream) => {
                        guard.is_finished = true;
                        break;
                    }
                    _ => {
                        guard.is_finished = true;
                        is_aborted = true;
                        break;
                    }
                }
                if bytes.len() >= outlet::CHUNK_BYTES {
                    break;
                }
                match outlet.try_recv() {
                    Some(reply) => next = Some(reply),
                    None => break,
                }
            }
            if bytes.is_empty() && is_aborted {
                let error = std::io::Error::other("relayed stream aborted before it was complete");
                return Some((Err(error), (outlet, guard, false)));
            }
            if bytes.is_empty() {
                return None;
            }
            let chunk = outlet.chunk(bytes);
            Some((Ok(chunk), (outlet, guard, is_aborted)))
        },
    )
}

/// Logs and writes an error response. Its `retry-after` header has fractions of seconds.
fn write_error(
    response: &mut salvo::Response,
    request_id: &str,
    kind: Kind,
    retry_after_ms: Option<u64>,
) {
    let answer = kind.answer();
    let (kind_name, status) = (answer.name, answer.status);
    let may_have_run = matches!(answer.ran, Ran::Maybe);
    let retry_ms = retry_after_ms.unwrap_or(0);
    warn!(request = request_id, kind = kind_name, status, may_have_run, come_back_ms = retry_ms; "error answered");
    caller::write_error(response, kind, None);
    if let Some(millis) = retry_after_ms {
        let seconds = platform::response::retry_after(millis);
        let _ = response.add_header(header::RETRY_AFTER, seconds, true);
    }
}

fn write_head(response: &mut salvo::Response, head: forward::Head) {
    response.status_code(head.status);
    response.set_headers(head.headers);
}
