//! Forwards relayed requests to upstreams, and the responses back, without changing their bodies.

use super::*;
use bounded_connection::Exceeded;
use event_queue::EventQueue;
use platform::response::Classification;
use read_budget::Share;
use request_log::Break;
use wellplank_core::{counter::AnswerBound, notice::Notice, settings::AnswerLimits};

/// A request as its caller sent it.
#[derive(Debug)]
pub(crate) struct OriginalRequest {
    /// The complete body.
    pub body: Bytes,
    /// All headers, including those that are not forwarded.
    pub headers: hyper::HeaderMap,
    /// HTTP method.
    pub method: hyper::Method,
    /// Request ID, which also identifies the request at upstreams.
    pub request_id: Arc<str>,
    /// Path with query.
    pub target: String,
}

/// Head of an upstream's response.
#[derive(Debug)]
pub(crate) struct Head {
    /// Whether only the end of the upstream's connection ends the body.
    pub ends_by_close: bool,
    /// End-to-end headers.
    pub headers: hyper::HeaderMap,
    /// HTTP status.
    pub status: StatusCode,
}

/// Complete response of an upstream.
#[derive(Debug)]
pub(crate) struct CompleteResponse {
    /// The complete body.
    pub body: Bytes,
    /// Status and headers.
    pub head: Head,
}

/// The body of a complete response, whose bytes count until it is dropped.
struct KeptBody {
    body: Bytes,
    _share: Share,
}

/// One attempt of a request at one upstream.
pub(crate) struct Exchange {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// The attempt.
    pub attempt: attempt::Key,
    /// The caller that sent the request.
    pub caller: Caller,
    /// Bound on all answers that the instance is reading.
    pub budget: ReadBudget,
    /// Handle of the core task.
    pub driver: Driver,
    /// Address of the instance through which the request is sent; `None` for a connection of this one.
    pub gateway: Option<SocketAddr>,
    /// Incarnation of the upstream.
    pub incarnation: Incarnation,
    /// Bounds on the response.
    pub limits: AnswerLimits,
    /// Whether the events of the response are not read, since the caller does not read.
    pub paused: watch::Receiver<bool>,
    /// Request ID, which the response must repeat.
    pub request_id: Arc<str>,
    /// Whether the response is a stream of events.
    pub streams: bool,
    /// Key of the upstream.
    pub upstream: upstream::Key,
    /// Name of the upstream, for logs.
    pub upstream_name: Arc<str>,
}

impl OriginalRequest {
    /// The request to send to an upstream; `None` if the message is not a relay or the path makes no valid URI.
    pub fn upstream_request(
        &self,
        address: SocketAddr,
        outbound: &Outbound,
    ) -> Option<hyper::Request<http::Body>> {
        let Outbound::Relay {
            backup,
            copy,
            customer,
            left_ms,
            position,
            priority,
            upstream,
            ..
        } = outbound
        else {
            return None;
        };
        let forward_headers = platform::request::ForwardHeaders {
            backup: *backup,
            copy: copy.as_deref().map(|request_id| (address, request_id)),
            customer: customer.as_deref(),
            left_ms: *left_ms,
            position: *position,
            priority: *priority,
            upstream,
        };
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(format!("http://{address}{}", self.target))
            .body(http::Body::from(self.body.clone()))
            .ok()?;
        *request.headers_mut() =
            platform::request::upstream_headers(&self.headers, &forward_headers);
        Some(request)
    }
}

impl KeptBody {
    /// Counts the bytes of a body until it is written. Small ones leave the process at once.
    fn wrap(body: Bytes, share: Share) -> Bytes {
        if body.len() < outlet::COUNTED_BODY_BYTES {
            return body;
        }
        share.keep();
        Bytes::from_owner(Self {
            body,
            _share: share,
        })
    }
}

impl AsRef<[u8]> for KeptBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl Exchange {
    /// Sends the request and reports the response to the core task, up to its end.
    pub async fn run(mut self, request: Request<http::Body>) {
        if let Err(failure) = self.exchange(request).await {
            self.driver.send_event(Event::Failed {
                attempt: self.attempt,
                failure,
            });
        }
    }

    /// Connects, sends the request and reads the response up to its headers.
    async fn send(
        &self,
        request: Request<http::Body>,
    ) -> Result<hyper::Response<hyper::body::Incoming>, Failure> {
        let response = if let Some(gateway) = self.gateway {
            let tunnel = tunnel::open(gateway, self.incarnation).await;
            let tunnel = tunnel.map_err(|error| self.classify_tunnel_error(gateway, &error))?;
            self.driver.send_event(Event::Connected(self.attempt));
            connection::send(tunnel, request).await
        } else {
            let connection = connection::connect(self.address).await;
            let connection = connection.map_err(|_| Failure::NotSent)?;
            self.driver.send_event(Event::Connected(self.attempt));
            connection::send(connection, request).await
        };
        response.map_err(|error| match Exceeded::of(&error) {
            Some(exceeded) => self.exceeded(AnswerBound::Head, exceeded.bytes),
            None => self.broken(Break::Head(&error)),
        })
    }

    /// Reads a whole body.
    async fn read_whole(&self, body: hyper::body::Incoming) -> Result<Bytes, Failure> {
        let share = self.budget.share();
        let body = whole_body::read(body, self.limits.body_bytes, &share).await;
        let body = body.map_err(|error| self.unread(error))?;
        Ok(KeptBody::wrap(body, share))
    }

    /// Counts and logs that the answer exceeded a bound.
    fn exceeded(&self, bound: AnswerBound, bytes: u64) -> Failure {
        self.driver.count(Counter::AnswerBound(bound));
        self.broken(Break::Bound(bound, bytes))
    }

    /// The failure of a body that was not read to its end.
    fn unread(&self, error: whole_body::Error<hyper::Error>) -> Failure {
        match error {
            whole_body::Error::Bound { bound, bytes } => self.exceeded(bound, bytes),
            whole_body::Error::Broken(error) => self.broken(Break::Body(&error)),
        }
    }

    /// Logs how the exchange broke off.
    fn broken(&self, broken: Break<'_>) -> Failure {
        request_log::log_break(&self.request_id, &self.upstream_name, broken);
        Failure::Broken
    }

    fn classify_tunnel_error(&self, gateway: SocketAddr, error: &tunnel::Error) -> Failure {
        match error {
            tunnel::Error::Declined { named, reason } => {
                let upstream = &*self.upstream_name;
                debug!(upstream, reason; "no tunnel through {gateway}");
                Failure::NoTunnel { named: *named }
            }
            tunnel::Error::Unreached => Failure::NotSent,
        }
    }

    async fn exchange(&mut self, request: Request<http::Body>) -> Result<(), Failure> {
        let response = self.send(request).await?;
        let (parts, body) = response.into_parts();
        if !http::is_final(parts.status) {
            return Err(self.broken(Break::Status(parts.status)));
        }
        let classification = platform::response::classify(
            parts.status,
            &parts.headers,
            &self.request_id,
            self.streams,
        );
        let ends_by_close = platform::response::ends_by_close(parts.status, &parts.headers);
        let notice = platform::response::notice(parts.status, &parts.headers, &self.request_id);
        self.report_notice(parts.status, notice);
        for name in platform::response::unknown_headers(&parts.headers) {
            self.driver.report_unknown_header(name, &self.upstream_name);
        }
        let head = Head {
            ends_by_close,
            headers: platform::request::end_to_end(&parts.headers),
            status: parts.status,
        };
        match classification {
            Classification::Failed(failure) => Err(failure),
            Classification::Stream => {
                let event = Event::StreamOpened(self.attempt);
                let held = driver::HeldResponse::Head(Box::new(head));
                self.driver
                    .hold_response(self.attempt, self.caller, held, event);
                self.read_stream(body, !ends_by_close).await
            }
            Classification::Unary(verdict) => {
                let body = self.read_whole(body).await?;
                let response = CompleteResponse { body, head };
                let event = Event::Answered {
                    attempt: self.attempt,
                    verdict,
                };
                let held = driver::HeldResponse::Complete(Box::new(response));
                self.driver
                    .hold_response(self.attempt, self.caller, held, event);
                Ok(())
            }
        }
    }

    /// The next frame of a stream, which is not read while the attempt is paused: the upstream then fills the buffers of
    /// the connection and has to wait.
    async fn next_frame(
        &mut self,
        body: &mut hyper::body::Incoming,
    ) -> Option<Result<hyper::body::Frame<Bytes>, hyper::Error>> {
        if *self.paused.borrow() {
            // An error means that the attempt is over, so that this task is about to be aborted.
            let _ = self.paused.wait_for(|is_paused| !is_paused).await;
        }
        body.frame().await
    }

    /// Reports the upstream's notice about itself to the core task, before any part of the response is forwarded.
    fn report_notice(&self, status: StatusCode, notice: Notice) {
        if !notice.is_plain() {
            request_log::log_notice(&self.request_id, &self.upstream_name, status, &notice);
        }
        if notice != Notice::default() {
            self.driver.send_event(Event::NoticeReceived {
                attempt: self.attempt,
                notice,
                upstream: self.upstream,
            });
        }
    }

    /// Reads the events of a stream up to its end; `has_end_marker` tells whether the response has a length or is chunked,
    /// so that its end is explicit. Bytes after the last complete event are dropped, and the stream counts as broken.
    async fn read_stream(
        &mut self,
        mut body: hyper::body::Incoming,
        has_end_marker: bool,
    ) -> Result<(), Failure> {
        let share = self.budget.share();
        let queue = EventQueue::new();
        let mut buffer = BytesMut::new();
        // Bytes of an event are searched once, however many frames it arrives in.
        let mut searched = 0;
        loop {
            let frame = tokio::select! {
                frame = self.next_frame(&mut body) => frame,
                () = share.ended() => return Err(self.used_up(&buffer)),
            };
            let Some(frame) = frame else { break };
            let frame = frame.map_err(|error| self.broken(Break::Body(&error)))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            buffer.extend_from_slice(&data);
            while let Some(end) = event_end(&buffer, searched) {
                searched = 0;
                let event = buffer.split_to(end);
                self.report_event(&event, &queue).await?;
            }
            searched = buffer.len();
            self.check_partial(&buffer, &share)?;
        }
        if !buffer.is_empty() {
            return Err(self.broken(Break::Partial));
        }
        self.driver.send_event(Event::StreamEnded {
            attempt: self.attempt,
            marked: has_end_marker,
        });
        Ok(())
    }

    /// Reports an event to the core task once the queue has places for it.
    async fn report_event(&self, event: &[u8], queue: &EventQueue) -> Result<(), Failure> {
        let position = platform::response::position(event);
        let position = position.ok_or_else(|| self.broken(Break::Event))?;
        let places = queue.places(event.len()).await;
        let event = Event::StreamEvent {
            attempt: self.attempt,
            bytes: event.into(),
            position,
        };
        self.driver.send_stream_event(event, places);
        Ok(())
    }

    /// Checks the bounds on an event that is not complete.
    fn check_partial(&self, buffer: &BytesMut, share: &Share) -> Result<(), Failure> {
        let bytes = buffer.len() as u64;
        if bytes > self.limits.event_bytes {
            return Err(self.exceeded(AnswerBound::Event, bytes));
        }
        if share.set(bytes) {
            return Err(self.used_up(buffer));
        }
        Ok(())
    }

    /// The end of a stream whose incomplete event is the largest of the answers that exceed the instance's bound together.
    fn used_up(&self, buffer: &BytesMut) -> Failure {
        self.exceeded(AnswerBound::Instance, buffer.len() as u64)
    }
}

/// Length of the first event in a buffer, with the empty line that ends it; `None` if the event is incomplete. The first
/// `searched` bytes are known not to contain its end.
fn event_end(buffer: &[u8], searched: usize) -> Option<usize> {
    const DELIMITER: &[u8] = b"\n\n";
    let from = (searched + 1).saturating_sub(DELIMITER.len());
    let start = buffer[from..]
        .windows(DELIMITER.len())
        .position(|bytes| bytes == DELIMITER)?;
    Some(from + start + DELIMITER.len())
}
