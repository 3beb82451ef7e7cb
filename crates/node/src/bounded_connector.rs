//! Connects HTTP clients over connections that are bounded and give way to other tasks.

use super::*;
use bounded_connection::BoundedConnection;
use futures_util::future::BoxFuture;
use hyper_util::rt::TokioIo;
use std::task::{Context, Poll};
use tokio::net::TcpStream;
use tower_service::Service;

/// Opens the connections of an HTTP client.
#[derive(Clone, Debug)]
pub(crate) struct BoundedConnector {
    /// Opens them.
    pub connector: HttpConnector,
    /// Whether a connection carries one request after another.
    pub is_pooled: bool,
}

/// Bytes that may arrive on a connection before the client has the head of the response. What the client's buffer holds of the
/// body by then is more than a head.
const HEAD_RECEIVED_MAX: u64 = 4 * bounded_connection::HEAD_BYTES_MAX as u64;

impl Service<hyper::Uri> for BoundedConnector {
    type Error = <HttpConnector as Service<hyper::Uri>>::Error;
    type Future = BoxFuture<'static, Result<Self::Response, Self::Error>>;
    type Response = TokioIo<BoundedConnection<TcpStream>>;

    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Service::<hyper::Uri>::poll_ready(&mut self.connector, context)
    }

    fn call(&mut self, uri: hyper::Uri) -> Self::Future {
        let connecting = self.connector.call(uri);
        let limit = if self.is_pooled {
            ReceiveLimit::restored(HEAD_RECEIVED_MAX)
        } else {
            ReceiveLimit::new(HEAD_RECEIVED_MAX)
        };
        Box::pin(async move {
            let connection = connecting.await?.into_inner();
            Ok(TokioIo::new(BoundedConnection::new(connection, limit)))
        })
    }
}
