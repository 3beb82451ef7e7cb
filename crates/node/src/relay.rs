//! Callers' requests that are passed on as they are, and the answers that they get.

use super::*;
use caller::Guard;

/// Time after a signal to stop up to which long requests are still taken: the balancer sends new
/// callers for two of its looks, one second apart.
const LONG_TAKEN: Duration = Duration::from_millis(2_500);

/// When a caller is asked to come back that met an instance about to stop, in milliseconds: at once,
/// since it will meet another one.
const STOPPING_RETRY_MS: u64 = 50;

/// Time before the end of a stopping instance from which on nothing new is taken: what short requests
/// may take.
const SHORT_TAKEN: Duration = Duration::from_millis(1_700);

/// A planned stop.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stop {
    /// When it began.
    pub begun: Instant,
    /// When the instance ends at the latest.
    pub end: Instant,
}

/// The planned stop; `None` while there is none.
pub(crate) type Stopping = watch::Receiver<Option<Stop>>;

impl Stop {
    /// Whether a new request could still be answered.
    fn takes(self, long: bool) -> bool {
        let left = self.end.saturating_duration_since(Instant::now());
        left > SHORT_TAKEN && (!long || self.begun.elapsed() <= LONG_TAKEN)
    }
}

/// The endpoint of relayed requests.
pub(crate) struct Endpoint {
    /// The core task.
    pub driver: Driver,
    /// Limits on what callers send.
    pub limits: watch::Receiver<platform::configuration::Limits>,
    /// The planned stop.
    pub stopping: Stopping,
}

#[salvo::handler]
impl Endpoint {
    async fn handle(&self, request: &mut salvo::Request, response: &mut salvo::Response) {
        if let Err(kind) = self.relay(request, response).await {
            self.driver.count(Counter::Refused(kind));
            let run = platform::request::request_id(request.headers());
            refuse(response, run.unwrap_or_default(), kind, None);
        }
        if self.stopping.borrow().is_some() {
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
        let body = body(request, limits).await?;
        let uri = request.uri();
        let asked = platform::request::parse(uri.path(), uri.query(), request.headers(), &body);
        let asked = asked.map_err(|error| {
            debug!("request: {error}");
            Kind::BadBody
        })?;
        let long = asked.relay.prompt != 0;
        let stop = *self.stopping.borrow();
        if stop.is_some_and(|stop| !stop.takes(long)) {
            self.driver.count(Counter::Refused(Kind::NotReady));
            let run = &asked.relay.run;
            refuse(response, run, Kind::NotReady, Some(STOPPING_RETRY_MS));
            return Ok(());
        }
        let original = forward::Original {
            body,
            headers: request.headers().clone(),
            method: request.method().clone(),
            run: asked.relay.run.clone(),
            target: uri
                .path_and_query()
                .map_or_else(String::new, ToString::to_string),
        };
        let caller = self.driver.caller();
        let guard = Guard::new(caller, &self.driver);
        let submission = Submission {
            caller,
            cursor: None,
            customer: asked.customer,
            fingerprint: asked.fingerprint,
            generation: Uuid::now_v7().as_u128(),
            key: None,
            received: None,
            service: String::new(),
            work: Work::Relay(asked.relay),
        };
        let run = original.run.clone();
        let replies = self.driver.relay(submission, original);
        answer(&run, replies, guard, response).await;
        Ok(())
    }
}

/// The whole body of a request, within the limits.
async fn body(
    request: &mut salvo::Request,
    limits: platform::configuration::Limits,
) -> Result<Bytes, Kind> {
    let read = request.payload_with_max_size(limits.max_body_bytes);
    let Ok(read) = timeout(limits.header_timeout, read).await else {
        return Err(Kind::SlowBody);
    };
    read.cloned().map_err(|error| match error {
        salvo::http::ParseError::PayloadTooLarge => Kind::TooLarge,
        _ => Kind::BadBody,
    })
}

/// Gives a caller its answer as it comes.
async fn answer(
    run: &str,
    mut replies: mpsc::UnboundedReceiver<Reply>,
    mut guard: Guard,
    response: &mut salvo::Response,
) {
    match replies.recv().await {
        Some(Reply::Answer(answer)) => {
            guard.ended = true;
            write_head(response, answer.head);
            response.body(salvo::http::ResBody::Once(answer.body));
        }
        Some(Reply::Failed {
            kind,
            retry_after_ms,
        }) => {
            guard.ended = true;
            refuse(response, run, kind, retry_after_ms);
        }
        Some(Reply::Open(head)) => {
            write_head(response, *head);
            response.stream(events(replies, guard));
        }
        _ => refuse(response, run, Kind::Internal, None),
    }
}

/// The events of a stream, as many in one piece as have come. A stream that is cut ends with an
/// error, which breaks the caller's connection.
fn events(
    replies: mpsc::UnboundedReceiver<Reply>,
    guard: Guard,
) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
    futures_util::stream::unfold(
        (replies, guard, false),
        |(mut replies, mut guard, mut cut)| async move {
            if cut {
                let error = std::io::Error::other("the stream can not go on");
                return Some((Err(error), (replies, guard, false)));
            }
            if guard.ended {
                return None;
            }
            let mut bytes = Vec::new();
            let mut next = replies.recv().await;
            loop {
                match next {
                    Some(Reply::Pass(event)) => bytes.extend_from_slice(&event),
                    Some(Reply::Close) => {
                        guard.ended = true;
                        break;
                    }
                    _ => {
                        guard.ended = true;
                        cut = true;
                        break;
                    }
                }
                match replies.try_recv() {
                    Ok(reply) => next = Some(reply),
                    Err(_) => break,
                }
            }
            if bytes.is_empty() && cut {
                let error = std::io::Error::other("the stream can not go on");
                return Some((Err(error), (replies, guard, false)));
            }
            if bytes.is_empty() {
                return None;
            }
            Some((Ok(Bytes::from(bytes)), (replies, guard, cut)))
        },
    )
}

/// Gives an error as the whole answer to the request named `run`; the time to come back has fractions
/// of seconds.
fn refuse(response: &mut salvo::Response, run: &str, kind: Kind, retry_after_ms: Option<u64>) {
    let answer = kind.answer();
    let (request, kind_name, status) = (run, answer.name, answer.status);
    let ran = matches!(answer.ran, Ran::Maybe);
    let come_back_ms = retry_after_ms.unwrap_or(0);
    warn!(request, kind = kind_name, status, may_have_run = ran, come_back_ms; "error answered");
    caller::refuse(response, kind, None);
    if let Some(millis) = retry_after_ms {
        let seconds = platform::response::retry_after(millis);
        let _ = response.add_header(header::RETRY_AFTER, seconds, true);
    }
}

fn write_head(response: &mut salvo::Response, head: forward::Head) {
    response.status_code(head.status);
    response.set_headers(head.headers);
}
