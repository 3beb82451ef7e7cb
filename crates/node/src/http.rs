//! The HTTP client towards upstreams and the platform.

use super::*;

/// Body that is sent.
pub(crate) type Body = Full<Bytes>;

/// Time after which a connection can not be made.
const CONNECT: Duration = Duration::from_secs(1);

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

/// A client whose requests are never sent twice by itself.
#[derive(Clone)]
pub(crate) struct Http(Client<HttpConnector, Body>);

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

    /// Sends a request and reads the whole answer.
    pub async fn exchange(&self, request: Request<Body>) -> Result<(StatusCode, Bytes), Error> {
        let response = self.send(request).await?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| Error::Broken(error.to_string()))?;
        Ok((status, body.to_bytes()))
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
        self.0.request(request).await.map_err(|error| {
            if error.is_connect() {
                Error::NotSent(error.to_string())
            } else {
                Error::Broken(error.to_string())
            }
        })
    }

    fn build(idle: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE)
            .pool_max_idle_per_host(idle)
            .retry_canceled_requests(false)
            .build(connector);
        Self(client)
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
