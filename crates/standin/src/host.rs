//! A runtime of its own for each stand-in, so that one can be ended like a process.

use super::*;
use std::sync::atomic::{AtomicU32, Ordering};
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
const PORT_FIRST: u32 = 10_000;

/// Count of ports that stand-ins use.
const PORTS: u32 = 20_000;

/// Count of ports between the starts of two processes.
const STRIDE: u32 = 97;

/// An address on the loopback interface that is free now and is given once by this process.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let offset = std::process::id().wrapping_mul(STRIDE).wrapping_add(step) % PORTS;
        let port = PORT_FIRST + offset;
        let address = SocketAddr::from(([127, 0, 0, 1], port as u16));
        // A listener of our own would be held on by any process that another thread starts meanwhile,
        // until that process runs its program; a refused connection shows the same.
        if std::net::TcpStream::connect(address).is_err() {
            return address;
        }
    }
}
