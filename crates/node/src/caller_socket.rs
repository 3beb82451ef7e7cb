//! Connections of callers. One whose response ends with it can be reset, so that a response which is broken off does not look
//! complete.

use super::*;
use salvo::{
    conn::{Accepted, Acceptor, ConnCtrl, Holding, StraightStream, tcp::TcpCoupler},
    fuse::{FuseAction, FuseInfo, FusePolicy, TransProto},
};
use std::{
    io,
    pin::Pin,
    sync::{Mutex, MutexGuard},
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::{TcpListener, TcpStream},
};

/// Callers whose connections are to be reset at their end. Clones share it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Resets(Arc<Mutex<HashSet<SocketAddr>>>);

/// The connection of a caller.
pub(crate) struct Socket {
    peer: SocketAddr,
    resets: Resets,
    stream: TcpStream,
}

/// Accepts the connections of callers.
pub(crate) struct SocketAcceptor {
    holdings: Vec<Holding>,
    listener: TcpListener,
    resets: Resets,
}

impl Resets {
    /// Has the connection of a caller reset at its end. It must be open.
    pub fn insert(&self, peer: SocketAddr) {
        self.lock().insert(peer);
    }

    fn contains(&self, peer: SocketAddr) -> bool {
        self.lock().contains(&peer)
    }

    fn remove(&self, peer: SocketAddr) -> bool {
        self.lock().remove(&peer)
    }

    fn lock(&self) -> MutexGuard<'_, HashSet<SocketAddr>> {
        self.0.lock().expect("no holder of the lock panics")
    }
}

impl Drop for Socket {
    fn drop(&mut self) {
        if self.resets.remove(self.peer)
            && let Err(error) = self.stream.set_zero_linger()
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
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    /// Closes the sending half, unless the connection is to be reset: the caller would take the close for the end of its
    /// response.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.resets.contains(self.peer) {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

impl SocketAcceptor {
    /// An acceptor for the connections of a listener.
    pub fn new(listener: TcpListener, resets: Resets) -> io::Result<Self> {
        let holding = Holding {
            local_addr: listener.local_addr()?.into(),
            http_versions: vec![hyper::Version::HTTP_11],
            http_scheme: hyper::http::uri::Scheme::HTTP,
        };
        Ok(Self {
            holdings: vec![holding],
            listener,
            resets,
        })
    }
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
        let (stream, peer) = self.listener.accept().await?;
        // Events are small, and each is to leave as it comes.
        stream.set_nodelay(true)?;
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
        let socket = Socket {
            peer,
            resets: self.resets.clone(),
            stream,
        };
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
