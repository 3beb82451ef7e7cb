//! Passing a request on to an upstream, and its answer back, both as they are.

use super::*;
use platform::response::Classification;
use wellplank_core::notice::Notice;

/// A request as its caller sent it.
#[derive(Debug)]
pub(crate) struct Original {
    /// Body.
    pub body: Bytes,
    /// Headers.
    pub headers: hyper::HeaderMap,
    /// Method.
    pub method: hyper::Method,
    /// Name of the run at upstreams.
    pub run: Arc<str>,
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
pub(crate) struct Answer {
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
    pub run: Arc<str>,
    /// Whether the answer is a series of events.
    pub streams: bool,
    /// The upstream.
    pub upstream: upstream::Key,
    /// Name of the upstream.
    pub upstream_name: Arc<str>,
}

impl Original {
    /// The request to an upstream; `None` if its path makes no address.
    pub fn request(
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
        let forward = platform::request::ForwardHeaders {
            backup: *backup,
            copy: copy.as_deref().map(|run| (address, run)),
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
        *request.headers_mut() = platform::request::upstream_headers(&self.headers, &forward);
        Some(request)
    }
}

impl Exchange {
    /// Sends the request and tells the core task what comes, up to the end of the answer.
    pub async fn run(self, http: HttpClient, request: Request<http::Body>) {
        if let Err(failure) = self.exchange(http, request).await {
            self.driver.event(Event::Failed {
                attempt: self.attempt,
                failure,
            });
        }
    }

    async fn exchange(
        &self,
        http: HttpClient,
        request: Request<http::Body>,
    ) -> Result<(), Failure> {
        let response = http.send(request).await.map_err(|error| match error {
            http::Error::Broken(_) => Failure::Broken,
            http::Error::NotSent(_) => Failure::NotSent,
        })?;
        let (parts, body) = response.into_parts();
        let classification =
            platform::response::classify(parts.status, &parts.headers, &self.run, self.streams);
        let marked = parts.headers.contains_key(header::TRANSFER_ENCODING)
            || parts.headers.contains_key(header::CONTENT_LENGTH);
        let notice = platform::response::notice(parts.status, &parts.headers, &self.run);
        self.tell(parts.status, notice);
        for word in platform::response::unknown_headers(&parts.headers) {
            self.driver.unknown(word, &self.upstream_name);
        }
        let head = Head {
            headers: platform::request::end_to_end(&parts.headers),
            status: parts.status,
        };
        match classification {
            Classification::Failed(failure) => Err(failure),
            Classification::Stream => {
                let event = Event::StreamOpened(self.attempt);
                let held = driver::Held::Head(Box::new(head));
                self.driver.hold(self.attempt, self.caller, held, event);
                self.stream(body, marked).await
            }
            Classification::Unary(verdict) => {
                let body = body.collect().await.map_err(|_| Failure::Broken)?;
                let answer = Answer {
                    body: body.to_bytes(),
                    head,
                };
                let event = Event::Answered {
                    attempt: self.attempt,
                    verdict,
                };
                let held = driver::Held::Answer(Box::new(answer));
                self.driver.hold(self.attempt, self.caller, held, event);
                Ok(())
            }
        }
    }

    /// Tells the core task what the upstream says of itself beside its answer, before anything of the answer goes on.
    fn tell(&self, status: StatusCode, notice: Notice) {
        if !notice.is_plain() {
            note::notice(&self.run, &self.upstream_name, status, &notice);
        }
        if notice != Notice::default() {
            self.driver.event(Event::NoticeReceived {
                attempt: self.attempt,
                notice,
                upstream: self.upstream,
            });
        }
    }

    /// Reads events up to the end, which the answer marks if it has a length or comes in chunks. What is
    /// left behind the last whole event is dropped.
    async fn stream(&self, mut body: hyper::body::Incoming, marked: bool) -> Result<(), Failure> {
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
                self.driver.event(Event::StreamEvent {
                    attempt: self.attempt,
                    bytes: event.into(),
                    position,
                });
            }
        }
        if !buffer.is_empty() {
            return Err(Failure::Broken);
        }
        self.driver.event(Event::StreamEnded {
            attempt: self.attempt,
            marked,
        });
        Ok(())
    }
}

/// Where the first event of a buffer ends, with the empty line behind it.
fn event_end(buffer: &[u8]) -> Option<usize> {
    const END: &[u8] = b"\n\n";
    let start = buffer.windows(END.len()).position(|bytes| bytes == END)?;
    Some(start + END.len())
}
