//! The HTTP client towards upstreams and the platform.

use super::*;

/// Body that is sent.
pub(crate) type Body = Full<Bytes>;

/// Time after which a connection can not be made.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which a connection to an upstream can not be made; a hundred times what one takes
/// between data centres, so that the request can still go elsewhere.
const RELAY_CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Time between probes of the kernel on a silent connection: the shortest that it knows.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Time after which bytes that nobody acknowledged mean that the other end is gone.
const USER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time after which an idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Why an exchange failed.
#[derive(Debug)]
pub(crate) enum Error {
    /// The connection broke, or the answer was not to be read, after bytes may have left.
    Broken(String),
    /// No byte left.
    NotSent(String),
}

/// Bytes of a request's or answer's first line beside its path, and of the headers that the client
/// adds.
const HEAD_BYTES: usize = 60;

/// A client whose requests are never sent twice by itself.
#[derive(Clone)]
pub(crate) struct HttpClient {
    client: Client<HttpConnector, Body>,
    traffic: Option<Traffic>,
}

impl Display for Error {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        match self {
            Self::Broken(text) => write!(formatter, "broken: {text}"),
            Self::NotSent(text) => write!(formatter, "not sent: {text}"),
        }
    }
}

impl HttpClient {
    /// Sends a request and reads status and body of the whole answer.
    pub async fn exchange(&self, request: Request<Body>) -> Result<(StatusCode, Bytes), Error> {
        let response = self.exchange_with_headers(request).await?;
        Ok((response.status(), response.into_body()))
    }

    /// Sends a request and reads the whole answer.
    pub async fn exchange_with_headers(
        &self,
        request: Request<Body>,
    ) -> Result<hyper::Response<Bytes>, Error> {
        let (head, body) = self.send(request).await?.into_parts();
        let body = body.collect().await;
        let body = body.map_err(|error| Error::Broken(error.to_string()))?;
        let body = body.to_bytes();
        self.count(HEAD_BYTES + header_bytes(&head.headers) + body.len());
        Ok(hyper::Response::from_parts(head, body))
    }

    /// A client that makes a new connection for each relayed request, so that no answer of another
    /// request can come on it, and that notices within about a second when the other end is gone.
    pub fn for_relays() -> Self {
        Self::build_with(0, RELAY_CONNECT_TIMEOUT, Some(USER_TIMEOUT))
    }

    /// A client that keeps connections and counts what it sends and receives.
    pub fn metered(traffic: &Traffic) -> Self {
        Self {
            traffic: Some(traffic.clone()),
            ..Self::pooled()
        }
    }

    /// A client that keeps connections.
    pub fn pooled() -> Self {
        Self::build(8)
    }

    /// Sends a request and reads the head of the answer.
    pub async fn send(
        &self,
        request: Request<Body>,
    ) -> Result<hyper::Response<hyper::body::Incoming>, Error> {
        let body = hyper::body::Body::size_hint(request.body()).exact();
        let path = request.uri().path().len();
        self.count(
            HEAD_BYTES + path + header_bytes(request.headers()) + body.unwrap_or(0) as usize,
        );
        self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                Error::NotSent(error.to_string())
            } else {
                Error::Broken(error.to_string())
            }
        })
    }

    /// A client that makes a new connection for each request.
    pub fn unpooled() -> Self {
        Self::build(0)
    }

    /// A client that keeps connections to a store and notices when the path to it is gone.
    pub fn with_keepalive() -> Self {
        Self::build_with(4, CONNECT_TIMEOUT, Some(USER_TIMEOUT))
    }

    fn build(max_idle: usize) -> Self {
        Self::build_with(max_idle, CONNECT_TIMEOUT, None)
    }

    fn build_with(
        max_idle: usize,
        connect_timeout: Duration,
        user_timeout: Option<Duration>,
    ) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect_timeout));
        connector.set_nodelay(true);
        if let Some(user_timeout) = user_timeout {
            connector.set_keepalive(Some(KEEPALIVE_INTERVAL));
            connector.set_keepalive_interval(Some(KEEPALIVE_INTERVAL));
            connector.set_keepalive_retries(Some(1));
            connector.set_tcp_user_timeout(Some(user_timeout));
        }
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(max_idle)
            .retry_canceled_requests(false)
            .build(connector);
        Self {
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

/// A request with a JSON body.
pub(crate) fn post(address: SocketAddr, path: &str, body: &Value) -> Request<Body> {
    Request::post(format!("http://{address}{path}"))
        .header(header::CONTENT_TYPE, "application/json")
        .body(Body::from(body.to_string()))
        .expect("address and path make a uri")
}

/// A request without a body.
pub(crate) fn get(address: SocketAddr, path: &str) -> Request<Body> {
    Request::get(format!("http://{address}{path}"))
        .body(Body::default())
        .expect("address and path make a uri")
}

/// Bytes of headers as they are written.
pub(crate) fn header_bytes(headers: &hyper::HeaderMap) -> usize {
    let size = |(name, value): (&header::HeaderName, &header::HeaderValue)| {
        name.as_str().len() + value.len() + ": \r\n".len()
    };
    headers.iter().map(size).sum()
}
