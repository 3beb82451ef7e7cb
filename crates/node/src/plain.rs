//! Client for plain services: calls over HTTP.

use super::*;
use read_budget::Share;
use wellplank_core::counter::AnswerBound;

/// Header with the identifier of the request, for the service's logs.
const REQUEST_ID: &str = "x-request-id";

/// One attempt of a call.
pub(crate) struct Call {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// The attempt.
    pub attempt: attempt::Key,
    /// Maximum size of the body of the response, in bytes.
    pub body_bytes_max: u64,
    /// The core task.
    pub driver: Driver,
    /// Client with which it is sent.
    pub http: HttpClient,
    /// Its part of the bytes that the instance is reading.
    pub share: Share,
    /// The upstream.
    pub upstream: upstream::Key,
}

impl Call {
    /// Sends the call and reports the response to the core task.
    pub async fn run(self, request: Request<http::Body>) {
        let event = match self.exchange(request).await {
            Ok(event) => event,
            Err(failure) => Event::Failed {
                attempt: self.attempt,
                failure,
            },
        };
        self.driver.send_event(event);
    }

    async fn exchange(&self, request: Request<http::Body>) -> Result<Event, Failure> {
        let response = self.http.send(request).await;
        let response = response.map_err(|error| self.failure(&error))?;
        let status = response.status();
        if engine::is_refusal(status) {
            engine::report_backoff(&self.driver, self.attempt, self.upstream, &response);
            return Err(engine::classify_error(&response, false));
        }
        let bound = http::Bound {
            bytes: self.body_bytes_max,
            subject: AnswerBound::Body,
        };
        let body = http::read_body(response.into_body(), bound, &self.share).await;
        let body = body.map_err(|error| self.failure(&error))?;
        Ok(Event::Replied {
            attempt: self.attempt,
            body: body.to_vec(),
            status: status.as_u16(),
        })
    }

    fn failure(&self, error: &http::Error) -> Failure {
        match error {
            http::Error::NotSent(_) => Failure::NotSent,
            http::Error::Broken(_) => Failure::Broken,
            http::Error::TooLong(bound) => {
                self.driver.report_too_long(*bound, self.address);
                Failure::Broken
            }
        }
    }
}

/// The HTTP request for a call; `method_and_path` is separated by a space. `None` if it makes no valid request.
pub(crate) fn request(
    address: SocketAddr,
    method_and_path: &str,
    payload: &[u8],
    request_id: u128,
) -> Option<Request<http::Body>> {
    let (method, path) = method_and_path.split_once(' ')?;
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header(REQUEST_ID, Uuid::from_u128(request_id).to_string())
        .body(http::Body::from(payload.to_vec()))
        .ok()
}
