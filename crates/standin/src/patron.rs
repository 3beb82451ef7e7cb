//! The connections of a caller, and how fast it reads.

use super::*;
use client::{Ask, Got};
use http::HttpClient;

/// Receive buffer of a caller that reads slowly, in bytes: what it has not read soon stands in the instance.
const BUFFER_BYTES: usize = 16 << 10;

/// Connections that a caller keeps to one instance.
const KEPT: usize = 2;

/// How a caller keeps connections and reads.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum Habit {
    /// A connection for each request.
    #[default]
    Fresh,
    /// Connections are kept.
    Kept,
    /// Connections are kept, and each piece of an answer is read some time behind the one before.
    Slow(Duration),
}

/// Why a request has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Miss {
    /// The connection ended before an answer began.
    Closed,
    /// The answer was not whole in time.
    Late,
    /// No connection was made.
    Unreached,
}

/// The connections of one caller.
pub(crate) struct Patron {
    client: HttpClient,
    habit: Habit,
}

impl Patron {
    /// Connections by a habit; none is open.
    pub(crate) fn new(habit: Habit) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        if let Habit::Slow(_) = habit {
            connector.set_recv_buffer_size(Some(BUFFER_BYTES));
        }
        let kept = if habit == Habit::Fresh { 0 } else { KEPT };
        let client = Client::builder(TokioExecutor::new())
            .pool_max_idle_per_host(kept)
            .build(connector);
        Self { client, habit }
    }

    /// Sends a request and reads the whole answer, each within a time; `None` if no answer begins.
    pub(crate) async fn attempt(
        &self,
        ask: &Ask,
        address: SocketAddr,
        patience: Duration,
    ) -> Option<Got> {
        self.send(ask, address, patience).await.ok()
    }

    /// The same; why there is no answer otherwise.
    pub(crate) async fn send(
        &self,
        ask: &Ask,
        address: SocketAddr,
        patience: Duration,
    ) -> Result<Got, Miss> {
        self.send_for(ask, address, patience, usize::MAX).await
    }

    /// The same; it hangs up behind this many bytes.
    pub(crate) async fn send_for(
        &self,
        ask: &Ask,
        address: SocketAddr,
        patience: Duration,
        most: usize,
    ) -> Result<Got, Miss> {
        let mut request = hyper::Request::post(format!("http://{address}{}", ask.path));
        for (name, value) in &ask.headers {
            request = request.header(*name, value);
        }
        let request = request
            .body(Full::new(Bytes::from(ask.body.clone())))
            .expect("names and values are plain");
        let sent = tokio::time::timeout(patience, self.client.request(request)).await;
        let response = match sent {
            Err(_) => return Err(Miss::Late),
            Ok(Err(error)) if error.is_connect() => return Err(Miss::Unreached),
            Ok(Err(_)) => return Err(Miss::Closed),
            Ok(Ok(response)) => response,
        };
        let read = tokio::time::timeout(patience, self.read(response, most)).await;
        read.map_err(|_| Miss::Late)
    }

    async fn read(&self, response: hyper::Response<hyper::body::Incoming>, most: usize) -> Got {
        let Habit::Slow(pause) = self.habit else {
            return Got::read(response, most).await;
        };
        let (parts, mut body) = response.into_parts();
        let mut bytes = Vec::new();
        let mut whole = true;
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                whole = false;
                break;
            };
            bytes.extend_from_slice(&frame.into_data().unwrap_or_default());
            sleep(pause).await;
        }
        Got {
            body: String::from_utf8_lossy(&bytes).into_owned(),
            headers: parts.headers,
            status: parts.status,
            whole,
        }
    }
}
