//! Connections for relayed requests: each carries one request, so that the response to another one can not arrive on it.

use super::*;
use hyper_util::rt::TokioIo;
use rustix::net::sockopt;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::{TcpSocket, TcpStream},
};

/// Connect timeout: a hundred times the connect time between data centres, and short enough to send the request to another
/// upstream afterwards.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Idle time before TCP keepalive probes, and interval between them: the minimum of the kernel.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of keepalive probes; the user timeout decides if it is longer than they take.
const KEEPALIVE_PROBES: u32 = 1;

/// TCP user timeout, in milliseconds: a connection is closed when sent data or keepalive probes stay unacknowledged for
/// this long. A sound upstream may be silent for a second or so.
const USER_TIMEOUT_MS: u32 = 3_000;

/// Connects to an upstream or another instance.
pub(crate) async fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = new_socket(address)?;
    set_options(&socket)?;
    let connected = timeout(CONNECT_TIMEOUT, socket.connect(address)).await;
    connected.map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))?
}

/// Connects to an instance or service. Its local port does not keep another process from listening on that port: the operating
/// system may give it the port of a process that is being started.
pub(crate) async fn connect_plain(address: SocketAddr) -> std::io::Result<TcpStream> {
    new_socket(address)?.connect(address).await
}

/// A socket for an outgoing connection.
fn new_socket(address: SocketAddr) -> std::io::Result<TcpSocket> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    Ok(socket)
}

/// Sets the options by which a connection shows that its other end is unreachable.
pub(crate) fn set_options(socket: &impl std::os::fd::AsFd) -> std::io::Result<()> {
    sockopt::set_tcp_nodelay(socket, true)?;
    sockopt::set_socket_keepalive(socket, true)?;
    sockopt::set_tcp_keepidle(socket, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(socket, KEEPALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(socket, KEEPALIVE_PROBES)?;
    sockopt::set_tcp_user_timeout(socket, USER_TIMEOUT_MS)?;
    Ok(())
}

/// Sends a request over a new connection and reads the response up to its headers, which are bounded. An error may mean that
/// the request runs.
pub(crate) async fn send(
    connection: impl AsyncRead + AsyncWrite + Send + Unpin + 'static,
    mut request: Request<http::Body>,
) -> Result<hyper::Response<hyper::body::Incoming>, hyper::Error> {
    use_origin_form(&mut request);
    let limit = ReceiveLimit::new(bounded_connection::UNTIL_HEAD_BYTES_MAX);
    let connection = BoundedConnection::new(connection, limit.clone());
    let (mut sender, connection) = hyper::client::conn::http1::Builder::new()
        .max_buf_size(bounded_connection::HEAD_BYTES_MAX)
        .handshake(TokioIo::new(connection))
        .await?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            debug!("connection for a relayed request: {error}");
        }
    });
    let response = sender.send_request(request).await?;
    limit.lift();
    Ok(response)
}

/// Moves the authority of a request's URI to the `host` header, unless it has one.
fn use_origin_form(request: &mut Request<http::Body>) {
    let uri = std::mem::take(request.uri_mut());
    let parts = uri.into_parts();
    if let Some(authority) = parts.authority
        && let Ok(host) = header::HeaderValue::from_str(authority.as_str())
    {
        request.headers_mut().entry(header::HOST).or_insert(host);
    }
    if let Some(path) = parts.path_and_query {
        *request.uri_mut() = hyper::Uri::from(path);
    }
}
