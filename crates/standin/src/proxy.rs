//! A proxy on the loopback interface that does to connections what links and machines do.

use super::*;
use std::sync::{Arc, Mutex};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener as Socket, TcpStream},
    sync::watch,
};

/// Bytes passed on at once.
const PIECE: usize = 16 << 10;

/// Longest time that bytes are held up.
const DELAY: Duration = Duration::from_millis(120);

/// What is done to connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Bytes towards the server are lost.
    CutThere,
    /// Bytes from the server are lost.
    CutBack,
    /// Bytes come late.
    Delayed,
    /// Bytes are passed on.
    #[default]
    Open,
    /// Connections are ended at once, running ones too.
    Reset,
    /// Nothing is passed on either way.
    Silent,
}

impl Mode {
    /// Every mode.
    pub const ALL: [Self; 6] = [
        Self::CutThere,
        Self::CutBack,
        Self::Delayed,
        Self::Open,
        Self::Reset,
        Self::Silent,
    ];
}

/// A proxy. Clones share it.
#[derive(Clone)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    mode: Arc<watch::Sender<Mode>>,
    target: Arc<Mutex<SocketAddr>>,
}

impl Proxy {
    /// A proxy before a server.
    pub fn new(address: SocketAddr, target: SocketAddr) -> Self {
        Self {
            address,
            mode: Arc::new(watch::channel(Mode::Open).0),
            target: Arc::new(Mutex::new(target)),
        }
    }

    /// Does something else to connections from now on.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Has new connections go to another server.
    pub fn aim(&self, target: SocketAddr) {
        *self.target.lock().expect("nobody panics while holding it") = target;
    }

    /// Serves for ever.
    pub async fn serve(self) {
        let Ok(socket) = Socket::bind(self.address).await else {
            return;
        };
        while let Ok((connection, _)) = socket.accept().await {
            tokio::spawn(self.clone().pass(connection));
        }
    }

    /// Passes one connection on until either end closes, or it is reset.
    async fn pass(self, near: TcpStream) {
        let mut mode = self.mode.subscribe();
        if *mode.borrow() == Mode::Reset {
            return;
        }
        let target = *self.target.lock().expect("nobody panics while holding it");
        let Ok(far) = TcpStream::connect(target).await else {
            return;
        };
        let (near_in, near_out) = near.into_split();
        let (far_in, far_out) = far.into_split();
        let there = carry(near_in, far_out, mode.clone(), Mode::CutThere);
        let back = carry(far_in, near_out, mode.clone(), Mode::CutBack);
        tokio::select! {
            () = there => {}
            () = back => {}
            _ = mode.wait_for(|mode| *mode == Mode::Reset) => {}
        }
    }
}

/// Carries bytes one way; those that come while the way is cut are lost, and the connection with them
/// says nothing further that way.
async fn carry(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mode: watch::Receiver<Mode>,
    cut: Mode,
) {
    let mut piece = vec![0; PIECE];
    let mut lost = false;
    while let Ok(length) = from.read(&mut piece).await {
        if length == 0 {
            return;
        }
        let now = *mode.borrow();
        lost |= now == cut || now == Mode::Silent;
        if now == Mode::Delayed {
            sleep(DELAY).await;
        }
        if !lost && to.write_all(&piece[..length]).await.is_err() {
            return;
        }
    }
}
