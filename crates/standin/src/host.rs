//! A runtime of its own for each stand-in, so that one can be ended like a process.

use super::*;
use std::{
    net::UdpSocket,
    sync::{
        OnceLock,
        atomic::{AtomicU16, Ordering},
    },
};
use tokio::runtime::Runtime;

/// A runtime that runs one server.
pub struct Host(Option<Runtime>);

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Host {
    /// Ends everything that runs here at once; its connections break.
    pub fn kill(&mut self) {
        if let Some(runtime) = self.0.take() {
            runtime.shutdown_background();
        }
    }

    /// Starts a runtime with `threads` threads.
    pub fn new(threads: usize) -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .enable_all()
            .worker_threads(threads)
            .build();
        Self(runtime.ok())
    }

    /// Runs a future to its end on this runtime, from outside of it.
    pub async fn run<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> Option<T> {
        self.0.as_ref()?.spawn(future).await.ok()
    }

    /// Runs a future on this runtime.
    pub fn spawn(&self, future: impl Future<Output = ()> + Send + 'static) {
        if let Some(runtime) = &self.0 {
            runtime.spawn(future);
        }
    }
}

/// First port that stand-ins use; below those that outgoing connections are given.
const PORT_FIRST: u16 = 10_000;

/// Ports of one process.
const BLOCK: u16 = 1_000;

/// Processes that can have ports at once.
const BLOCKS: u16 = 20;

/// First of the ports by which processes claim their blocks, one each.
const CLAIM_FIRST: u16 = 9_900;

/// The first port of the block that this process has to its end, so that tests that run side by side
/// never share a port.
fn block() -> u16 {
    static CLAIMED: OnceLock<Option<(UdpSocket, u16)>> = OnceLock::new();
    let claim = |block: u16| {
        let socket = UdpSocket::bind(("127.0.0.1", CLAIM_FIRST + block)).ok()?;
        Some((socket, PORT_FIRST + block * BLOCK))
    };
    let claimed = CLAIMED.get_or_init(|| (0..BLOCKS).find_map(claim));
    claimed.as_ref().map_or(PORT_FIRST, |(_, first)| *first)
}

/// An address on the loopback interface that is free now and is given once by this process.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let port = block() + step % BLOCK;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        // A listener of our own would be held on by any process that another thread starts meanwhile,
        // until that process runs its program; a refused connection shows the same.
        if std::net::TcpStream::connect(address).is_err() {
            return address;
        }
    }
}
