//! The HTTP client towards upstreams and the platform.

use super::*;

/// Body that is sent.
pub(crate) type Body = Full<Bytes>;

/// Time after which a connection can not be made.
const CONNECT: Duration = Duration::from_secs(1);

/// Time after which a connection to an upstream can not be made; a hundred times what one takes
/// between data centres, so that the request can still go elsewhere.
const RELAY_CONNECT: Duration = Duration::from_millis(300);

/// Time between probes of the kernel on a silent connection: the shortest that it knows.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// Time after which bytes that nobody acknowledged mean that the other end is gone.
const SILENT: Duration = Duration::from_secs(1);

/// Time after which an idle connection is closed.
const IDLE: Duration = Duration::from_secs(20);

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
const HEAD: usize = 60;

/// A client whose requests are never sent twice by itself.
#[derive(Clone)]
pub(crate) struct Http {
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

impl Http {
    /// A client that makes a new connection for each request.
    pub fn fresh() -> Self {
        Self::build(0)
    }

    /// A client that keeps connections and counts what it sends and receives.
    pub fn control(traffic: &Traffic) -> Self {
        Self {
            traffic: Some(traffic.clone()),
            ..Self::pooled()
        }
    }

    /// Sends a request and reads status and body of the whole answer.
    pub async fn exchange(&self, request: Request<Body>) -> Result<(StatusCode, Bytes), Error> {
        let response = self.exchange_whole(request).await?;
        Ok((response.status(), response.into_body()))
    }

    /// Sends a request and reads the whole answer.
    pub async fn exchange_whole(
        &self,
        request: Request<Body>,
    ) -> Result<hyper::Response<Bytes>, Error> {
        let (head, body) = self.send(request).await?.into_parts();
        let body = body.collect().await;
        let body = body.map_err(|error| Error::Broken(error.to_string()))?;
        let body = body.to_bytes();
        self.count(HEAD + size(&head.headers) + body.len());
        Ok(hyper::Response::from_parts(head, body))
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
        self.count(HEAD + path + size(request.headers()) + body.unwrap_or(0) as usize);
        self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                Error::NotSent(error.to_string())
            } else {
                Error::Broken(error.to_string())
            }
        })
    }

    /// A client that makes a new connection for each relayed request, so that no answer of another
    /// request can come on it, and that notices within about a second when the other end is gone.
    pub fn relaying() -> Self {
        Self::build_with(0, RELAY_CONNECT, Some(SILENT))
    }

    /// A client that keeps connections to a store and notices when the path to it is gone.
    pub fn watching() -> Self {
        Self::build_with(4, CONNECT, Some(SILENT))
    }

    fn build(idle: usize) -> Self {
        Self::build_with(idle, CONNECT, None)
    }

    fn build_with(idle: usize, connect: Duration, silent: Option<Duration>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(connect));
        connector.set_nodelay(true);
        if let Some(silent) = silent {
            connector.set_keepalive(Some(KEEPALIVE));
            connector.set_keepalive_interval(Some(KEEPALIVE));
            connector.set_keepalive_retries(Some(1));
            connector.set_tcp_user_timeout(Some(silent));
        }
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE)
            .pool_max_idle_per_host(idle)
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
pub(crate) fn size(headers: &hyper::HeaderMap) -> usize {
    let size = |(name, value): (&header::HeaderName, &header::HeaderValue)| {
        name.as_str().len() + value.len() + ": \r\n".len()
    };
    headers.iter().map(size).sum()
}
