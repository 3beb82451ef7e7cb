//! Passing a request on to an upstream, and its answer back, both as they are.

use super::*;
use platform::response::Classification;
use wellplank_core::notice::Notice;

/// A request as its caller sent it.
#[derive(Debug)]
pub(crate) struct OriginalRequest {
    /// Body.
    pub body: Bytes,
    /// Headers.
    pub headers: hyper::HeaderMap,
    /// Method.
    pub method: hyper::Method,
    /// Name of the run at upstreams.
    pub request_id: Arc<str>,
    /// Path with query.
    pub target: String,
}

/// Head of an upstream's answer, without what concerns its connection.
#[derive(Debug)]
pub(crate) struct Head {
    /// Headers.
    pub headers: hyper::HeaderMap,
    /// Status.
    pub status: StatusCode,
}

/// Whole answer of an upstream.
#[derive(Debug)]
pub(crate) struct CompleteResponse {
    /// Body.
    pub body: Bytes,
    /// Head.
    pub head: Head,
}

/// One request at one upstream.
pub(crate) struct Exchange {
    /// The attempt.
    pub attempt: attempt::Key,
    /// The caller that it is for.
    pub caller: Caller,
    /// The core task.
    pub driver: Driver,
    /// Name of the run, which the answer must bear.
    pub request_id: Arc<str>,
    /// Whether the answer is a series of events.
    pub streams: bool,
    /// The upstream.
    pub upstream: upstream::Key,
    /// Name of the upstream.
    pub upstream_name: Arc<str>,
}

impl OriginalRequest {
    /// The request to an upstream; `None` if its path makes no address.
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

impl Exchange {
    /// Sends the request and tells the core task what comes, up to the end of the answer.
    pub async fn run(self, http: Http, request: Request<http::Body>) {
        if let Err(failure) = self.exchange(http, request).await {
            self.driver.send_event(Event::Failed {
                attempt: self.attempt,
                failure,
            });
        }
    }

    async fn exchange(&self, http: Http, request: Request<http::Body>) -> Result<(), Failure> {
        let response = http.send(request).await.map_err(|error| match error {
            http::Error::Broken(_) => Failure::Broken,
            http::Error::NotSent(_) => Failure::NotSent,
        })?;
        let (parts, body) = response.into_parts();
        let classification = platform::response::classify(
            parts.status,
            &parts.headers,
            &self.request_id,
            self.streams,
        );
        let has_end_marker = parts.headers.contains_key(header::TRANSFER_ENCODING)
            || parts.headers.contains_key(header::CONTENT_LENGTH);
        let notice = platform::response::notice(parts.status, &parts.headers, &self.request_id);
        self.report_notice(parts.status, notice);
        for name in platform::response::unknown_headers(&parts.headers) {
            self.driver.report_unknown_header(name, &self.upstream_name);
        }
        let head = Head {
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
                self.read_stream(body, has_end_marker).await
            }
            Classification::Unary(verdict) => {
                let body = body.collect().await.map_err(|_| Failure::Broken)?;
                let response = CompleteResponse {
                    body: body.to_bytes(),
                    head,
                };
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

    /// Tells the core task what the upstream says of itself beside its answer, before anything of the answer goes on.
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

    /// Reads events up to the end, which the answer marks if it has a length or comes in chunks. What is
    /// left behind the last whole event is dropped.
    async fn read_stream(
        &self,
        mut body: hyper::body::Incoming,
        has_end_marker: bool,
    ) -> Result<(), Failure> {
        let mut buffer = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| Failure::Broken)?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            buffer.extend_from_slice(&data);
            while let Some(end) = event_end(&buffer) {
                let event: Vec<u8> = buffer.drain(..end).collect();
                let position = platform::response::position(&event).ok_or(Failure::Broken)?;
                self.driver.send_event(Event::StreamEvent {
                    attempt: self.attempt,
                    bytes: event.into(),
                    position,
                });
            }
        }
        if !buffer.is_empty() {
            return Err(Failure::Broken);
        }
        self.driver.send_event(Event::StreamEnded {
            attempt: self.attempt,
            marked: has_end_marker,
        });
        Ok(())
    }
}

/// Where the first event of a buffer ends, with the empty line behind it.
fn event_end(buffer: &[u8]) -> Option<usize> {
    const DELIMITER: &[u8] = b"\n\n";
    let start = buffer
        .windows(DELIMITER.len())
        .position(|bytes| bytes == DELIMITER)?;
    Some(start + DELIMITER.len())
}
