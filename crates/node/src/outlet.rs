//! Replies on their way to the caller of a relayed request, and the number of bytes that were written to it.

use super::*;
use std::sync::{Mutex, MutexGuard};

/// Maximum size of a chunk that joins queued events, in bytes. The HTTP server takes several chunks before it waits for the
/// caller; those stay in memory when the stream is given up.
pub(crate) const CHUNK_BYTES: usize = 4 << 10;

/// Size from which the body of a complete response is counted, in bytes. Smaller ones fit into the buffer of the caller's
/// socket, so that they leave the process at once.
pub(crate) const COUNTED_BODY_BYTES: usize = 16 << 10;

/// Replies to one caller. The caller's task takes them; the core task queues them, and can discard them while the caller's
/// task waits for the connection.
#[derive(Debug)]
pub(crate) struct Outlet {
    replies: Mutex<mpsc::UnboundedReceiver<Reply>>,
    /// Bytes that were written, or discarded, since the last report.
    released: AtomicU64,
}

/// Bytes that count as written when the connection drops them.
struct Unwritten {
    bytes: Bytes,
    outlet: Arc<Outlet>,
}

impl Outlet {
    /// An outlet, and the channel by which replies are queued.
    pub fn new() -> (mpsc::UnboundedSender<Reply>, Arc<Self>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let outlet = Self {
            replies: Mutex::new(receiver),
            released: AtomicU64::new(0),
        };
        (sender, Arc::new(outlet))
    }

    /// The next reply; `None` if the core task has ended.
    pub async fn recv(&self) -> Option<Reply> {
        std::future::poll_fn(|context| self.lock().poll_recv(context)).await
    }

    /// The next reply if one is queued.
    pub fn try_recv(&self) -> Option<Reply> {
        self.lock().try_recv().ok()
    }

    /// Discards all queued replies; what is queued afterwards is the next.
    pub fn discard(&self) {
        let mut replies = self.lock();
        while let Ok(reply) = replies.try_recv() {
            if let Reply::Event(event) = reply {
                self.release(event.len());
            }
        }
    }

    /// A chunk of the response that counts as written when the connection drops it.
    pub fn chunk(self: &Arc<Self>, bytes: impl Into<Bytes>) -> Bytes {
        Bytes::from_owner(Unwritten {
            bytes: bytes.into(),
            outlet: self.clone(),
        })
    }

    /// Number of bytes that were written or discarded since the last call.
    pub fn take_released(&self) -> u64 {
        if self.released.load(Ordering::Relaxed) == 0 {
            return 0;
        }
        self.released.swap(0, Ordering::Relaxed)
    }

    fn release(&self, bytes: usize) {
        self.released.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, mpsc::UnboundedReceiver<Reply>> {
        self.replies.lock().expect("no holder of the lock panics")
    }
}

impl AsRef<[u8]> for Unwritten {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Unwritten {
    fn drop(&mut self) {
        self.outlet.release(self.bytes.len());
    }
}
