//! Sockets of clients' connections: what is read of a request before its head is complete is bounded in bytes and time, and other
//! tasks get their turn however fast bytes come. A connection whose response ends with it can be reset, so that a response
//! which is broken off does not look complete.

use super::*;
use caller_connections::Registry;
use platform::configuration::Limits;
use salvo::{
    conn::{Accepted, Acceptor, ConnCtrl, Holding, StraightStream, tcp::TcpCoupler},
    fuse::{FuseAction, FuseInfo, FusePolicy, TransProto},
};
use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf, Take},
    net::{TcpListener, TcpStream},
    time::Sleep,
};
use wellplank_core::counter::ConnectionEnd;

/// Time without accepting behind a failure that lasts: descriptors or memory are used up.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Bytes that a head may have besides its headers: the request line, and empty lines before it.
const LINE_BYTES: u64 = 4 << 10;

/// Headers of a request: more than fit into the head that the users' pages allow.
const HEADERS_MAX: usize = 4_096;

/// Bytes of one read. The HTTP server's buffer, of 8 KiB, grows when a read fills it.
const READ_BYTES: u64 = (8 << 10) - 1;

/// Bytes that are read without giving way to other tasks.
const TURN_BYTES: usize = 32 << 10;

/// Time after which a client may come back whose connection is refused, in milliseconds.
const REFUSED_RETRY_MS: u64 = 250;

/// The connection of a client.
pub(crate) struct Socket {
    /// Time until which a head that has begun must be complete.
    head_timer: Option<Pin<Box<Sleep>>>,
    /// Whether the next request is not read before the last response is written.
    is_read_deferred: bool,
    /// Whether the client has not taken what was last written.
    is_write_blocked: bool,
    limits: watch::Receiver<Limits>,
    registered: Arc<caller_connections::Socket>,
    registry: Registry,
    stream: Take<TcpStream>,
    /// Bytes received since the connection last gave way.
    turn: usize,
}

/// Accepts the connections of clients.
pub(crate) struct SocketAcceptor {
    holdings: Vec<Holding>,
    limits: watch::Receiver<Limits>,
    listener: TcpListener,
    registry: Registry,
}

impl Socket {
    /// Reads up to a number of bytes.
    fn poll_read_most(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
        bytes_max: u64,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        self.stream.set_limit(bytes_max);
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let bytes = buffer.filled().len() - before;
        self.turn += bytes;
        self.registry.receive(&self.registered, bytes as u64);
        Poll::Ready(Ok(()))
    }

    /// Reads what may be a head, of which bytes were received.
    fn poll_read_head(
        &mut self,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
        received: u64,
    ) -> Poll<io::Result<()>> {
        if self.is_write_blocked {
            self.is_read_deferred = true;
            return Poll::Pending;
        }
        let limits = *self.limits.borrow();
        let bytes_max = limits.max_header_bytes as u64 + LINE_BYTES;
        let Some(left) = bytes_max.checked_sub(received).filter(|left| *left > 0) else {
            return Poll::Ready(Err(
                self.refuse(Kind::HeadTooLarge, ConnectionEnd::HeadBytes)
            ));
        };
        if self
            .poll_read_most(context, buffer, left.min(READ_BYTES))?
            .is_ready()
        {
            return Poll::Ready(Ok(()));
        }
        if received == 0 {
            self.head_timer = None;
            return Poll::Pending;
        }
        let timer = self
            .head_timer
            .get_or_insert_with(|| Box::pin(sleep(limits.header_timeout)));
        ready!(timer.as_mut().poll(context));
        Poll::Ready(Err(self.refuse(Kind::SlowBody, ConnectionEnd::HeadTime)))
    }

    /// Refuses a request whose head is not read to its end, as far as the connection takes that at once; the error that ends it.
    fn refuse(&self, kind: Kind, end: ConnectionEnd) -> io::Error {
        self.registry.count(end);
        let status = kind.answer().status;
        let _ = self.stream.get_ref().try_write(&refusal(status, None));
        io::Error::new(io::ErrorKind::InvalidData, kind.answer().name)
    }

    /// Notes whether the client takes what is written.
    fn record_write(&mut self, context: &mut Context<'_>, written: &Poll<io::Result<usize>>) {
        let is_blocked = written.is_pending();
        if is_blocked != self.is_write_blocked {
            self.is_write_blocked = is_blocked;
            self.registry.set_blocked(&self.registered, is_blocked);
        }
        if !is_blocked && std::mem::take(&mut self.is_read_deferred) {
            context.waker().wake_by_ref();
        }
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        self.registry.remove(&self.registered);
        if self.registered.is_reset()
            && let Err(error) = self.stream.get_ref().set_zero_linger()
        {
            warn!("connection of a caller can not be reset: {error}");
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.registered.waker.register(context.waker());
        if self.registered.is_closed() {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        if self.turn >= TURN_BYTES {
            self.turn = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let read = if let Some(received) = self.registry.unfinished_head(&self.registered) {
            self.poll_read_head(context, buffer, received)
        } else {
            self.head_timer = None;
            self.poll_read_most(context, buffer, READ_BYTES)
        };
        if read.is_pending() {
            self.turn = 0;
        }
        read
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(self.stream.get_mut()).poll_write(context, bytes);
        self.record_write(context, &written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(self.stream.get_mut()).poll_flush(context)
    }

    /// Closes the sending half, unless the connection is to be reset: the caller would take the close for the end of its
    /// response.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.registered.is_reset() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(self.stream.get_mut()).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(self.stream.get_mut()).poll_write_vectored(context, buffers);
        self.record_write(context, &written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.get_ref().is_write_vectored()
    }
}

impl SocketAcceptor {
    /// An acceptor for the connections of a listener.
    pub fn new(
        listener: TcpListener,
        registry: Registry,
        limits: watch::Receiver<Limits>,
    ) -> io::Result<Self> {
        let holding = Holding {
            local_addr: listener.local_addr()?.into(),
            http_versions: vec![hyper::Version::HTTP_11],
            http_scheme: hyper::http::uri::Scheme::HTTP,
        };
        Ok(Self {
            holdings: vec![holding],
            limits,
            listener,
            registry,
        })
    }

    /// A server of its connections.
    pub fn server(self) -> Server<Self> {
        let mut server = Server::new(self);
        server.http1_mut().max_headers(HEADERS_MAX);
        server
    }

    /// The next connection that is kept.
    async fn next(&self) -> Socket {
        loop {
            let (stream, peer) = self.accept_stream().await;
            let Some(registered) = self.registry.open(peer) else {
                let status = Kind::Overloaded.answer().status;
                let _ = stream.try_write(&refusal(status, Some(REFUSED_RETRY_MS)));
                continue;
            };
            // Events are small, and each is to leave as it comes.
            let _ = stream.set_nodelay(true);
            return Socket {
                head_timer: None,
                is_read_deferred: false,
                is_write_blocked: false,
                limits: self.limits.clone(),
                registered,
                registry: self.registry.clone(),
                stream: stream.take(READ_BYTES),
                turn: 0,
            };
        }
    }

    /// The next connection. Where descriptors or memory are used up, others are closed until one can be accepted.
    async fn accept_stream(&self) -> (TcpStream, SocketAddr) {
        loop {
            let error = match self.listener.accept().await {
                Ok(accepted) => return accepted,
                Err(error) => error,
            };
            // Any other failure is of the connection that was to be accepted.
            if listener::is_shortage(&error) {
                self.registry.close_one();
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// A response without a body that ends its connection.
fn refusal(status: u16, retry_after_ms: Option<u64>) -> Vec<u8> {
    let retry_after = retry_after_ms.map(platform::response::retry_after);
    let retry_after = retry_after.map(|seconds| format!("retry-after: {seconds}\r\n"));
    let retry_after = retry_after.unwrap_or_default();
    format!("HTTP/1.1 {status} \r\n{retry_after}connection: close\r\ncontent-length: 0\r\n\r\n")
        .into_bytes()
}

impl Acceptor for SocketAcceptor {
    type Coupler = TcpCoupler<Self::Stream>;
    type Stream = StraightStream<Socket>;

    fn holdings(&self) -> &[Holding] {
        &self.holdings
    }

    async fn accept(
        &mut self,
        fuse_policy: Option<Arc<dyn FusePolicy>>,
    ) -> io::Result<Accepted<Self::Coupler, Self::Stream>> {
        let socket = self.next().await;
        let peer = socket.registered.peer;
        let holding = &self.holdings[0];
        let mut fuse_config = None;
        if let Some(policy) = fuse_policy {
            let info = FuseInfo {
                trans_proto: TransProto::Tcp,
                remote_addr: peer.into(),
                local_addr: holding.local_addr.clone(),
            };
            match policy.decide(&info).await {
                FuseAction::Accept(config) => fuse_config = Some(config),
                FuseAction::Reject => return Err(io::ErrorKind::PermissionDenied.into()),
            }
        }
        let conn_ctrl = ConnCtrl::new();
        let stream = StraightStream::new(socket, fuse_config, conn_ctrl.clone(), None);
        Ok(Accepted {
            coupler: TcpCoupler::new(),
            stream,
            fuse_config,
            conn_ctrl,
            local_addr: holding.local_addr.clone(),
            remote_addr: peer.into(),
            http_scheme: holding.http_scheme.clone(),
        })
    }
}
