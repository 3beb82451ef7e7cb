//! The link of one instance to one upstream, on the loopback interface: it can be cut for this instance alone.

use super::*;
use std::sync::Arc;
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt},
    net::{TcpListener as Socket, TcpSocket, TcpStream},
    sync::watch,
};

/// Bytes passed on at once.
const PIECE: usize = 16 << 10;

/// Length of the queue of new connections while they hang.
const QUEUE: u32 = 1;

/// Time in which a connection is made that finds a place in that queue.
const QUEUED_WITHIN: Duration = Duration::from_millis(50);

/// Pause before an address is bound again that is still taken.
const BIND_PAUSE: Duration = Duration::from_millis(5);

/// What a link does.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum State {
    /// New connections hang, and nothing is carried on open ones.
    Hangs,
    /// All is carried.
    #[default]
    Open,
    /// New connections are refused, open ones live on.
    Refuses,
    /// New connections are refused, open ones are reset.
    Resets,
}

/// A link. Clones share it.
#[derive(Clone)]
pub struct Uplink {
    /// Where the instance finds the upstream.
    pub address: SocketAddr,
    state: Arc<watch::Sender<State>>,
    /// Address of the upstream.
    pub target: SocketAddr,
}

impl Uplink {
    /// An open link to an upstream.
    pub fn new(address: SocketAddr, target: SocketAddr) -> Self {
        Self {
            address,
            state: Arc::new(watch::channel(State::Open).0),
            target,
        }
    }

    /// Does something else from now on.
    pub fn set(&self, state: State) {
        self.state.send_replace(state);
    }

    /// Serves for ever.
    pub async fn serve(self) {
        let mut state = self.state.subscribe();
        loop {
            let now = *state.borrow_and_update();
            match now {
                State::Hangs => {
                    let Some(queue) = self.bind() else {
                        sleep(BIND_PAUSE).await;
                        continue;
                    };
                    let _filled = fill(&queue, self.address).await;
                    let _ = state.changed().await;
                }
                State::Open => {
                    let Ok(socket) = Socket::bind(self.address).await else {
                        sleep(BIND_PAUSE).await;
                        continue;
                    };
                    tokio::select! {
                        () = self.accept(socket) => {}
                        _ = state.changed() => {}
                    }
                }
                State::Refuses | State::Resets => {
                    let _ = state.changed().await;
                }
            }
        }
    }

    /// A listener with the shortest queue.
    fn bind(&self) -> Option<Socket> {
        let socket = TcpSocket::new_v4().ok()?;
        socket.set_reuseaddr(true).ok()?;
        socket.bind(self.address).ok()?;
        socket.listen(QUEUE).ok()
    }

    async fn accept(&self, socket: Socket) {
        while let Ok((connection, _)) = socket.accept().await {
            let state = self.state.subscribe();
            let target = self.target;
            tokio::spawn(async move {
                if let Ok(far) = TcpStream::connect(target).await {
                    pass(connection, far, state).await;
                }
            });
        }
    }
}

/// Fills the queue of a listener that accepts nothing.
async fn fill(_queue: &Socket, address: SocketAddr) -> Vec<TcpStream> {
    let mut filled = Vec::new();
    while let Ok(Ok(connection)) =
        tokio::time::timeout(QUEUED_WITHIN, TcpStream::connect(address)).await
    {
        filled.push(connection);
    }
    filled
}

/// Carries a connection both ways until either end closes or resets it, or the link does. What the upstream resets is reset
/// before the instance too.
async fn pass(mut near: TcpStream, mut far: TcpStream, state: watch::Receiver<State>) {
    let mut resets = state.clone();
    let is_reset = {
        let (near_in, near_out) = near.split();
        let (far_in, far_out) = far.split();
        tokio::select! {
            carried = carry(near_in, far_out, state.clone()) => carried.is_err(),
            carried = carry(far_in, near_out, state) => carried.is_err(),
            _ = resets.wait_for(|state| *state == State::Resets) => true,
        }
    };
    if is_reset {
        let _ = near.set_zero_linger();
    }
}

/// Carries bytes one way; what comes while the link hangs is held up. An error means that the sender reset the connection.
async fn carry(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    mut state: watch::Receiver<State>,
) -> std::io::Result<()> {
    let mut piece = vec![0; PIECE];
    loop {
        let length = from.read(&mut piece).await?;
        let _ = state.wait_for(|state| *state != State::Hangs).await;
        if length == 0 || to.write_all(&piece[..length]).await.is_err() {
            return Ok(());
        }
    }
}
