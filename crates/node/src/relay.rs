//! The endpoint for requests that are relayed to upstreams unchanged.

use super::*;
use caller::CallerGuard;
use caller_connections::{Hold, Registry};
use wellplank_core::counter::AnswerBound;

/// Time after the start of a shutdown during which streams are accepted whose callers wait for longer than the instance does.
const STREAM_WINDOW: Duration = Duration::from_millis(shutdown::BALANCED_MS);

/// Headers that a request may have whose memory is not counted.
const USUAL_HEADERS: usize = 64;

/// Memory of a header besides the bytes that were received, in bytes.
const HEADER_BYTES: u64 = 256;

/// Copies of the headers of a request that is held: as it came, and as it is sent to two upstreams at a time.
const HEADER_COPIES: u64 = 3;

/// Time after which a caller whose body is refused for the others may come back, in milliseconds.
const BODIES_RETRY_MS: u64 = 250;

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
    /// Bound on all bodies of callers that are being read.
    pub bodies: ReadBudget,
    /// The least that the bound is, in bytes: it is never below that on a single body.
    pub bodies_bytes_min: u64,
    /// Open connections of callers.
    pub connections: Registry,
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
            let request_id = request_id.unwrap_or_default();
            let retry_after_ms = (kind == Kind::Overloaded).then_some(BODIES_RETRY_MS);
            write_error(response, request_id, kind, retry_after_ms);
        }
        if self.shutdown.borrow().is_some() {
            let close = header::HeaderValue::from_static("close");
            response.headers_mut().insert(header::CONNECTION, close);
        }
    }
}

impl Endpoint {
    /// Reads the complete body of a request, within the limits on its size, on the time it takes and on all bodies together.
    async fn read_body(
        &self,
        request: &mut salvo::Request,
        limits: platform::configuration::Limits,
    ) -> Result<Bytes, Kind> {
        let share = self.bodies.share_beside(header_memory(request.headers()));
        let max = limits.max_body_bytes as u64;
        self.bodies.set_max(self.bodies_bytes_min.max(max));
        let body = whole_body::read(request.take_body(), max, &share);
        let Ok(body) = timeout(limits.header_timeout, body).await else {
            return Err(Kind::SlowBody);
        };
        body.map_err(|error| match error {
            whole_body::Error::Bound {
                bound: AnswerBound::Body,
                ..
            } => Kind::TooLarge,
            whole_body::Error::Bound { .. } => Kind::Overloaded,
            whole_body::Error::Broken(_) => Kind::BadBody,
        })
    }

    async fn relay(
        &self,
        request: &mut salvo::Request,
        response: &mut salvo::Response,
    ) -> Result<(), Kind> {
        let limits = *self.limits.borrow();
        if http::header_bytes(request.headers()) > limits.max_header_bytes {
            return Err(Kind::HeadTooLarge);
        }
        let peer = request.remote_addr().clone().into_std();
        let hold = self.connections.hold(peer);
        let body = self.read_body(request, limits).await;
        if body.is_err() && hold.as_ref().is_some_and(Hold::is_closed) {
            return Err(Kind::Overloaded);
        }
        let body = body?;
        if let Some(hold) = &hold {
            hold.finish_read();
        }
        let uri = request.uri();
        let parsed = platform::request::parse(uri.path(), uri.query(), request.headers(), &body);
        let mut parsed = parsed.map_err(|error| {
            debug!("malformed request: {error}");
            Kind::BadBody
        })?;
        parsed.relay.bytes += HEADER_COPIES * header_memory(request.headers());
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
        let target = uri
            .path_and_query()
            .map_or_else(String::new, ToString::to_string);
        let original = forward::OriginalRequest {
            body,
            headers: std::mem::take(request.headers_mut()),
            method: request.method().clone(),
            request_id: parsed.relay.run.clone(),
            target,
        };
        let caller = self.driver.new_caller();
        let guard = CallerGuard::new(caller, &self.driver, hold);
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
        let end = if request.version() == hyper::Version::HTTP_10 {
            BodyEnd::Close
        } else {
            BodyEnd::Chunk
        };
        let responder = Responder {
            connections: self.connections.clone(),
            end,
            peer,
        };
        responder
            .respond(&request_id, outlet, guard, response)
            .await;
        Ok(())
    }
}

/// Memory that headers take, in bytes, beyond what every request takes.
fn header_memory(headers: &hyper::HeaderMap) -> u64 {
    let others = headers.len().saturating_sub(USUAL_HEADERS) as u64;
    others * HEADER_BYTES
}

/// What ends the body of a response whose length is not known at its head.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum BodyEnd {
    /// A last chunk, to callers of HTTP/1.1.
    Chunk,
    /// The end of the connection, to callers of HTTP/1.0.
    Close,
}

/// Writes the response to one caller.
struct Responder {
    connections: Registry,
    end: BodyEnd,
    /// Address of the caller; `None` if it is not known.
    peer: Option<SocketAddr>,
}

/// A relayed stream on its way to its caller.
struct EventStream {
    guard: CallerGuard,
    is_aborted: bool,
    outlet: Arc<Outlet>,
    responder: Responder,
}

impl Responder {
    /// Writes the replies of the core to the response.
    async fn respond(
        self,
        request_id: &str,
        outlet: Arc<Outlet>,
        mut guard: CallerGuard,
        response: &mut salvo::Response,
    ) {
        match outlet.recv().await {
            Some(Reply::Response(upstream_response)) => {
                guard.is_finished = true;
                self.write_response(response, *upstream_response);
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
                let events = EventStream {
                    guard,
                    is_aborted: false,
                    outlet,
                    responder: self,
                };
                response.stream(events.into_chunks());
            }
            _ => write_error(response, request_id, Kind::Internal, None),
        }
    }

    /// Writes the complete response of an upstream. If only the end of the upstream's connection ended it, and the caller takes
    /// such responses, it has that form too: the upstream may have ended early.
    fn write_response(
        &self,
        response: &mut salvo::Response,
        upstream_response: forward::CompleteResponse,
    ) {
        let forward::CompleteResponse { body, head } = upstream_response;
        let ends_by_close = head.ends_by_close && self.end == BodyEnd::Close;
        write_head(response, head);
        if ends_by_close {
            response.stream(futures_util::stream::iter([Ok::<_, std::io::Error>(body)]));
        } else {
            response.body(salvo::http::ResBody::Once(body));
        }
    }

    /// Breaks the response off so that it does not look complete: without its last chunk, or by a reset where a close would be
    /// its end.
    fn break_off(&self) -> std::io::Error {
        if self.end == BodyEnd::Close
            && let Some(peer) = self.peer
        {
            self.connections.reset(peer);
        }
        std::io::Error::other("relayed stream aborted before it was complete")
    }
}

impl EventStream {
    /// The chunks of the response. An aborted stream ends with an error, which closes the caller's connection before the
    /// response is complete.
    fn into_chunks(self) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
        futures_util::stream::unfold(self, |mut events| async {
            let chunk = events.next_chunk().await?;
            Some((chunk, events))
        })
    }

    /// The next chunk; events that are queued go into one, up to its maximum size.
    async fn next_chunk(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        if std::mem::take(&mut self.is_aborted) {
            return Some(Err(self.responder.break_off()));
        }
        if self.guard.is_finished {
            return None;
        }
        let bytes = self.queued_events().await;
        if !bytes.is_empty() {
            return Some(Ok(self.outlet.chunk(bytes)));
        }
        std::mem::take(&mut self.is_aborted).then(|| Err(self.responder.break_off()))
    }

    /// Waits for an event or the end, and takes the events that are queued behind it.
    async fn queued_events(&mut self) -> Vec<u8> {
        let mut bytes = Vec::new();
        let mut next = self.outlet.recv().await;
        loop {
            match next {
                Some(Reply::Event(event)) => bytes.extend_from_slice(&event),
                reply => {
                    self.guard.is_finished = true;
                    self.is_aborted = !self.is_end(reply.as_ref());
                    return bytes;
                }
            }
            if bytes.len() >= outlet::CHUNK_BYTES {
                return bytes;
            }
            match self.outlet.try_recv() {
                Some(reply) => next = Some(reply),
                None => return bytes,
            }
        }
    }

    /// Whether the response ends in order with a reply. A stream that may be incomplete may only end by a close, since a last
    /// chunk says that it is complete.
    fn is_end(&self, reply: Option<&Reply>) -> bool {
        match reply {
            Some(Reply::EndStream) => true,
            Some(Reply::CloseStream) => self.responder.end == BodyEnd::Close,
            _ => false,
        }
    }
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

/// Writes the head of an upstream's response.
fn write_head(response: &mut salvo::Response, head: forward::Head) {
    response.status_code(head.status);
    response.set_headers(head.headers);
}
