//! A connection whose other end can neither fill memory before an answer is parsed nor keep the thread busy.

use super::*;
use hyper_util::client::legacy::connect::{Connected, Connection};
use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes of the head of an answer beyond which its connection fails, and of one read. The users' heads have up to 16 KiB.
pub(crate) const HEAD_BYTES_MAX: usize = 64 << 10;

/// Bytes that may be received before the head of an answer is handled, informational heads included: the largest head, and one
/// read of the body behind it.
pub(crate) const UNTIL_HEAD_BYTES_MAX: u64 = 2 * HEAD_BYTES_MAX as u64;

/// Bytes that are read without giving way to other tasks: the smallest events and heads of that many are handled within a
/// few milliseconds.
const TURN_BYTES: usize = 32 << 10;

/// A connection that fails when more is received than is due, and gives way to other tasks however fast bytes come.
#[derive(Debug)]
pub(crate) struct BoundedConnection<C> {
    inner: C,
    /// Bytes that may be received after each written request, framing included.
    limit: ReceiveLimit,
    /// Bytes received since the last write.
    received: u64,
    /// Bytes received since the connection last gave way.
    turn: usize,
}

/// The number of bytes that may be received on a connection after each written request; clones share it.
#[derive(Clone, Debug)]
pub(crate) struct ReceiveLimit {
    bytes: Arc<AtomicU64>,
    /// The limit that a written request restores; `None` if it stays lifted.
    restored: Option<u64>,
}

/// More was received than is due.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Exceeded {
    /// Bytes received after the last written request.
    pub bytes: u64,
}

impl ReceiveLimit {
    /// A limit of so many bytes.
    pub fn new(bytes: u64) -> Self {
        Self {
            bytes: Arc::new(AtomicU64::new(bytes)),
            restored: None,
        }
    }

    /// The same for a connection that carries one request after another: each of them restores the limit.
    pub fn restored(bytes: u64) -> Self {
        Self {
            restored: Some(bytes),
            ..Self::new(bytes)
        }
    }

    /// Lifts the limit: what follows is bounded where it is read.
    pub fn lift(&self) {
        self.bytes.store(u64::MAX, Ordering::Relaxed);
    }

    fn bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    fn restore(&self) {
        if let Some(bytes) = self.restored {
            self.bytes.store(bytes, Ordering::Relaxed);
        }
    }
}

impl Display for Exceeded {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        write!(
            formatter,
            "{} bytes received, more than are due",
            self.bytes
        )
    }
}

impl std::error::Error for Exceeded {}

impl Exceeded {
    /// The excess by which an exchange failed; `None` if it failed otherwise.
    pub fn of(error: &(dyn std::error::Error + 'static)) -> Option<Self> {
        let mut cause = Some(error);
        while let Some(error) = cause {
            let inner = error
                .downcast_ref::<io::Error>()
                .and_then(io::Error::get_ref);
            if let Some(exceeded) = inner.and_then(|inner| inner.downcast_ref()) {
                return Some(*exceeded);
            }
            cause = error.source();
        }
        None
    }
}

impl<C> BoundedConnection<C> {
    /// Bounds what is received on a connection.
    pub fn new(inner: C, limit: ReceiveLimit) -> Self {
        Self {
            inner,
            limit,
            received: 0,
            turn: 0,
        }
    }

    /// Bytes are due from now on.
    fn begin_request(&mut self) {
        self.received = 0;
        self.limit.restore();
    }

    /// Counts received bytes.
    fn record(&mut self, length: usize) -> io::Result<()> {
        self.turn += length;
        self.received += length as u64;
        if self.received <= self.limit.bytes() {
            return Ok(());
        }
        let bytes = self.received;
        Err(io::Error::new(
            io::ErrorKind::InvalidData,
            Exceeded { bytes },
        ))
    }
}

impl<C: AsyncRead + Unpin> AsyncRead for BoundedConnection<C> {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.turn >= TURN_BYTES {
            this.turn = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let read = Pin::new(&mut this.inner).poll_read(context, buffer);
        if read.is_pending() {
            this.turn = 0;
        }
        ready!(read)?;
        Poll::Ready(this.record(buffer.filled().len() - before))
    }
}

impl<C: AsyncWrite + Unpin> AsyncWrite for BoundedConnection<C> {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.begin_request();
        Pin::new(&mut this.inner).poll_write(context, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_flush(context)
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().inner).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.begin_request();
        Pin::new(&mut this.inner).poll_write_vectored(context, slices)
    }
}

impl<C: Connection> Connection for BoundedConnection<C> {
    fn connected(&self) -> Connected {
        // The limit is an extension of each response, so that the client lifts it once it has the head.
        self.inner.connected().extra(self.limit.clone())
    }
}
