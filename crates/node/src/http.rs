//! HTTP client for upstreams and the platform.

use super::*;
use bounded_connection::{Exceeded, HEAD_BYTES_MAX};
use bounded_connector::BoundedConnector;
use read_budget::Share;
use wellplank_core::counter::AnswerBound;

/// Body of a request, held in memory.
pub(crate) type Body = Full<Bytes>;

/// Connect timeout.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle time before TCP keepalive probes, and interval between them: the minimum of the kernel.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// TCP user timeout: a connection is closed when sent data stays unacknowledged for this long.
const USER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an idle pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Bytes of all answers that a client of the platform's services and of load reports is reading, beyond which the largest is ended.
const CONTROL_BYTES_MAX: u64 = 32 << 20;

/// Bound of an answer that is kept until it is complete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Bound {
    /// Maximum size of the body, in bytes.
    pub bytes: u64,
    /// What the answer is, in logs and counters.
    pub subject: AnswerBound,
}

/// Why an exchange failed.
#[derive(Debug)]
pub(crate) enum Error {
    /// The connection broke, or the response was malformed, after bytes may have been sent.
    Broken(String),
    /// No connection could be established: nothing was sent.
    NotSent(String),
    /// The response exceeded a bound.
    TooLong(Bound),
}

/// Estimated bytes of a request line or status line without the path, and of the headers that the
/// client adds.
const HEAD_BYTES: usize = 60;

/// An HTTP client that never retries a request on its own.
#[derive(Clone)]
pub(crate) struct HttpClient {
    budget: ReadBudget,
    client: Client<BoundedConnector, Body>,
    traffic: Option<Traffic>,
}

impl Display for Error {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        match self {
            Self::Broken(text) => write!(formatter, "request failed: {text}"),
            Self::NotSent(text) => write!(formatter, "request not sent: {text}"),
            Self::TooLong(Bound { bytes, subject }) => {
                write!(formatter, "answer ({subject}) of more than {bytes} bytes")
            }
        }
    }
}

impl std::error::Error for Error {}

impl HttpClient {
    /// Sends a request and reads the complete response within a bound; returns its status and body.
    pub async fn exchange(
        &self,
        request: Request<Body>,
        bound: Bound,
    ) -> Result<(StatusCode, Bytes), Error> {
        let response = self.exchange_with_headers(request, bound).await?;
        Ok((response.status(), response.into_body()))
    }

    /// Sends a request and reads the complete response within a bound, including its headers.
    pub async fn exchange_with_headers(
        &self,
        request: Request<Body>,
        bound: Bound,
    ) -> Result<hyper::Response<Bytes>, Error> {
        let (head, body) = self.send(request).await?.into_parts();
        let body = read_body(body, bound, &self.budget.share()).await?;
        self.count(HEAD_BYTES + header_bytes(&head.headers) + body.len());
        Ok(hyper::Response::from_parts(head, body))
    }

    /// A client with a connection pool that counts its messages and bytes in `traffic`.
    pub fn metered(traffic: &Traffic) -> Self {
        Self {
            traffic: Some(traffic.clone()),
            ..Self::pooled()
        }
    }

    /// A client with a connection pool.
    pub fn pooled() -> Self {
        Self::build(8)
    }

    /// Sends a request and reads the response up to its headers.
    pub async fn send(
        &self,
        request: Request<Body>,
    ) -> Result<hyper::Response<hyper::body::Incoming>, Error> {
        let body = hyper::body::Body::size_hint(request.body()).exact();
        let path = request.uri().path().len();
        self.count(
            HEAD_BYTES + path + header_bytes(request.headers()) + body.unwrap_or(0) as usize,
        );
        let response = self.client.request(request).await;
        let response = response.map_err(|error| {
            if let Some(Exceeded { bytes }) = Exceeded::of(&error) {
                let subject = AnswerBound::Head;
                Error::TooLong(Bound { bytes, subject })
            } else if error.is_connect() {
                Error::NotSent(error.to_string())
            } else {
                Error::Broken(error.to_string())
            }
        })?;
        if !is_final(response.status()) {
            let status = response.status().as_u16();
            return Err(Error::Broken(format!(
                "no final response has the status {status}"
            )));
        }
        if let Some(limit) = response.extensions().get::<ReceiveLimit>() {
            limit.lift();
        }
        Ok(response)
    }

    /// A client that opens a new connection for each request.
    pub fn unpooled() -> Self {
        Self::build(0)
    }

    /// A client with a connection pool that detects by TCP keepalive when a store is unreachable.
    pub fn with_keepalive() -> Self {
        Self::build_with(4, Some(USER_TIMEOUT))
    }

    fn build(max_idle: usize) -> Self {
        Self::build_with(max_idle, None)
    }

    fn build_with(max_idle: usize, user_timeout: Option<Duration>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        connector.set_reuse_address(true);
        if let Some(user_timeout) = user_timeout {
            connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
            connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
            connector.set_keepalive_retries(Some(1));
            connector.set_tcp_user_timeout(Some(user_timeout));
        }
        let client = Client::builder(TokioExecutor::new())
            .http1_max_buf_size(HEAD_BYTES_MAX)
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(max_idle)
            .retry_canceled_requests(false)
            .build(BoundedConnector {
                connector,
                is_pooled: max_idle > 0,
            });
        Self {
            budget: ReadBudget::new(CONTROL_BYTES_MAX),
            client,
            traffic: None,
        }
    }

    fn count(&self, bytes: usize) {
        if let Some(traffic) = &self.traffic {
            traffic.count(bytes);
        }
    }
}

/// Whether a final response may have a status: informational ones precede another response, and there are none from 600 on.
pub(crate) fn is_final(status: StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Reads a body up to its end, within a bound.
pub(crate) async fn read_body(
    body: hyper::body::Incoming,
    bound: Bound,
    share: &Share,
) -> Result<Bytes, Error> {
    let body = whole_body::read(body, bound.bytes, share).await;
    body.map_err(|error| match error {
        whole_body::Error::Bound {
            bound: AnswerBound::Body,
            ..
        } => Error::TooLong(bound),
        whole_body::Error::Bound {
            bound: subject,
            bytes,
        } => Error::TooLong(Bound { bytes, subject }),
        whole_body::Error::Broken(error) => Error::Broken(error.to_string()),
    })
}

/// Builds a POST request with a JSON body.
pub(crate) fn post(address: SocketAddr, path: &str, body: &Value) -> Request<Body> {
    Request::post(format!("http://{address}{path}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Body::from(body.to_string()))
        .expect("address and path form a valid URI")
}

/// Builds a GET request.
pub(crate) fn get(address: SocketAddr, path: &str) -> Request<Body> {
    Request::get(format!("http://{address}{path}"))
        .body(Body::default())
        .expect("address and path form a valid URI")
}

/// Size of headers in HTTP/1 format, in bytes.
pub(crate) fn header_bytes(headers: &hyper::HeaderMap) -> usize {
    let size = |(name, value): (&header::HeaderName, &header::HeaderValue)| {
        name.as_str().len() + value.len() + ": \r\n".len()
    };
    headers.iter().map(size).sum()
}
