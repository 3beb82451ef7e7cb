//! A proxy on the loopback interface that does to connections what links and machines do.

use super::*;
use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, Ordering},
};
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
    /// Bytes from the server wait, and go on once the mode is another one.
    Held,
    /// Bytes are passed on.
    #[default]
    Open,
    /// Nothing listens; running connections go on.
    Refused,
    /// Connections are ended at once, running ones too.
    Reset,
    /// Nothing is passed on either way.
    Silent,
}

impl Mode {
    /// Modes that lose, delay or end connections for a time of unknown length.
    pub const ALL: [Self; 6] = [
        Self::CutThere,
        Self::CutBack,
        Self::Delayed,
        Self::Open,
        Self::Reset,
        Self::Silent,
    ];
}

/// Which open connections say nothing further, though new ones work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Hushed {
    /// All that are open.
    All,
    /// Those on which an answer is due.
    Waiting,
}

/// A proxy. Clones share it.
#[derive(Clone)]
pub struct Proxy {
    /// Where it listens.
    pub address: SocketAddr,
    hushed: Arc<watch::Sender<(u64, Hushed)>>,
    mode: Arc<watch::Sender<Mode>>,
    target: Arc<Mutex<SocketAddr>>,
}

impl Proxy {
    /// A proxy before a server.
    pub fn new(address: SocketAddr, target: SocketAddr) -> Self {
        Self {
            address,
            hushed: Arc::new(watch::channel((0, Hushed::All)).0),
            mode: Arc::new(watch::channel(Mode::Open).0),
            target: Arc::new(Mutex::new(target)),
        }
    }

    /// Does something else to connections from now on.
    pub fn set(&self, mode: Mode) {
        self.mode.send_replace(mode);
    }

    /// Has open connections say nothing further, for good, while new ones work. The kernel goes on acknowledging
    /// their bytes and answering its probes, so only a time limit of one's own shows it.
    pub fn hush(&self, which: Hushed) {
        self.hushed.send_modify(|(times, hushed)| {
            *times += 1;
            *hushed = which;
        });
    }

    /// Has new connections go to another server.
    pub fn aim(&self, target: SocketAddr) {
        *self.target.lock().expect("nobody panics while holding it") = target;
    }

    /// Serves for ever.
    pub async fn serve(self) {
        let mut mode = self.mode.subscribe();
        while mode.wait_for(|mode| *mode != Mode::Refused).await.is_ok() {
            let Ok(socket) = Socket::bind(self.address).await else {
                return;
            };
            tokio::select! {
                () = self.accept(&socket) => return,
                _ = mode.wait_for(|mode| *mode == Mode::Refused) => {}
            }
        }
    }

    async fn accept(&self, socket: &Socket) {
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
        let line = Line {
            hushed: Arc::default(),
            mode: mode.clone(),
            waits: Arc::default(),
        };
        let there = line.clone().carry(near_in, far_out, Way::There);
        let back = line.clone().carry(far_in, near_out, Way::Back);
        tokio::select! {
            () = there => {}
            () = back => {}
            () = line.watch(self.hushed.subscribe()) => {}
            _ = mode.wait_for(|mode| *mode == Mode::Reset) => {}
        }
    }
}

/// The two ways of a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Way {
    Back,
    There,
}

/// What both ways of one connection share.
#[derive(Clone)]
struct Line {
    /// Whether it says nothing further.
    hushed: Arc<AtomicBool>,
    mode: watch::Receiver<Mode>,
    /// Whether an answer is due: bytes went there, and none came back since.
    waits: Arc<AtomicBool>,
}

impl Line {
    /// Notes for ever whether the connection is to say nothing further.
    async fn watch(self, mut hushed: watch::Receiver<(u64, Hushed)>) {
        while hushed.changed().await.is_ok() {
            let (_, which) = *hushed.borrow_and_update();
            if which == Hushed::All || self.waits.load(Ordering::Relaxed) {
                self.hushed.store(true, Ordering::Relaxed);
            }
        }
    }

    /// Carries bytes one way; those that come while the way is cut are lost, and the connection with them
    /// says nothing further that way.
    async fn carry(
        mut self,
        mut from: tokio::net::tcp::OwnedReadHalf,
        mut to: tokio::net::tcp::OwnedWriteHalf,
        way: Way,
    ) {
        let cut = match way {
            Way::Back => Mode::CutBack,
            Way::There => Mode::CutThere,
        };
        let mut piece = vec![0; PIECE];
        let mut lost = false;
        while let Ok(length) = from.read(&mut piece).await {
            if way == Way::Back
                && self
                    .mode
                    .wait_for(|mode| *mode != Mode::Held)
                    .await
                    .is_err()
            {
                return;
            }
            let hushed = self.hushed.load(Ordering::Relaxed);
            lost |= hushed;
            if length == 0 {
                if hushed && way == Way::Back {
                    // Nor does it say that the server has closed it.
                    std::future::pending::<()>().await;
                }
                return;
            }
            let now = *self.mode.borrow();
            lost |= now == cut || now == Mode::Silent;
            if now == Mode::Delayed {
                sleep(DELAY).await;
            }
            self.waits.store(way == Way::There, Ordering::Relaxed);
            if !lost && to.write_all(&piece[..length]).await.is_err() {
                return;
            }
        }
    }
}
