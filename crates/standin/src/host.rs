//! A runtime of its own for each stand-in, so that one can be ended like a process.

use super::*;
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

/// An address on the loopback interface that is free now.
pub fn free_address() -> SocketAddr {
    std::net::TcpListener::bind(("127.0.0.1", 0))
        .and_then(|listener| listener.local_addr())
        .expect("a loopback port is free")
}
