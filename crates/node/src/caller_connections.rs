//! The open connections of a port, by which sockets, handlers and the acceptor agree on which of them are closed.

use super::*;
use futures_util::task::AtomicWaker;
use salvo::{Depot, FlowCtrl, Handler, Response};
use std::sync::{Mutex, MutexGuard, PoisonError, atomic::AtomicBool};
use wellplank_core::connections::{Bounds, Connections, Key, Opened};

/// The open connections of a port. Clones share them.
#[derive(Clone, Debug)]
pub(crate) struct Registry {
    clock: Clock,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    connections: Connections,
    /// Connections that are open, or whose sockets are not dropped yet.
    sockets: HashMap<SocketAddr, Arc<Socket>>,
}

/// What others ask of an open connection.
#[derive(Debug)]
pub(crate) struct Socket {
    /// Whether it is closed for others.
    is_closed: AtomicBool,
    /// Whether it is reset at its end, so that a response which ends with it does not look complete.
    is_reset: AtomicBool,
    /// Its key among the open connections.
    pub key: Key,
    /// Address of its other end.
    pub peer: SocketAddr,
    /// Wakes the task that reads it.
    pub waker: AtomicWaker,
}

/// A request on a connection, which keeps the connection from resting until it is dropped.
#[derive(Debug)]
pub(crate) struct Hold {
    registry: Registry,
    socket: Arc<Socket>,
}

/// Holds the connection of each request for as long as its handler runs.
struct Holding(Registry);

impl Socket {
    /// Whether the connection is closed for others.
    pub fn is_closed(&self) -> bool {
        self.is_closed.load(Ordering::Relaxed)
    }

    /// Whether the connection is reset at its end.
    pub fn is_reset(&self) -> bool {
        self.is_reset.load(Ordering::Relaxed)
    }

    fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
        self.waker.wake();
    }
}

impl Registry {
    /// A registry of connections within bounds.
    pub fn new(bounds: Bounds, clock: Clock) -> Self {
        let state = State {
            connections: Connections::new(bounds),
            sockets: HashMap::new(),
        };
        Self {
            clock,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Adds a connection, for which another one may be closed; `None` if it is refused.
    pub fn open(&self, peer: SocketAddr) -> Option<Arc<Socket>> {
        let mut state = self.lock();
        let Opened::Kept(key, closed) = state.connections.open(self.clock.now()) else {
            return None;
        };
        state.close(closed);
        let socket = Arc::new(Socket {
            is_closed: AtomicBool::new(false),
            is_reset: AtomicBool::new(false),
            key,
            peer,
            waker: AtomicWaker::new(),
        });
        state.sockets.insert(peer, socket.clone());
        Some(socket)
    }

    /// Removes a connection whose socket is dropped.
    pub fn remove(&self, socket: &Socket) {
        let mut state = self.lock();
        state.connections.remove(socket.key);
        let is_latest = |other: &Arc<Socket>| other.key == socket.key;
        if state.sockets.get(&socket.peer).is_some_and(is_latest) {
            state.sockets.remove(&socket.peer);
        }
    }

    /// Counts received bytes; another connection is closed if unfinished heads exceed their bound.
    pub fn receive(&self, socket: &Socket, bytes: u64) {
        let mut state = self.lock();
        let now = self.clock.now();
        let closed = state.connections.receive(socket.key, bytes, now);
        state.close(closed);
    }

    /// Bytes of the unfinished head on a connection; `None` if its head is complete.
    pub fn unfinished_head(&self, socket: &Socket) -> Option<u64> {
        self.lock().connections.unfinished_head(socket.key)
    }

    /// Notes whether what is written to a connection waits for its client.
    pub fn set_blocked(&self, socket: &Socket, is_blocked: bool) {
        let now = self.clock.now();
        let mut state = self.lock();
        state.connections.set_blocked(socket.key, is_blocked, now);
    }

    /// Has a connection reset at its end. It must be open.
    pub fn reset(&self, peer: SocketAddr) {
        if let Some(socket) = self.lock().sockets.get(&peer) {
            socket.is_reset.store(true, Ordering::Relaxed);
        }
    }

    /// Holds a connection for a request; `None` if it is not open.
    pub fn hold(&self, peer: Option<SocketAddr>) -> Option<Hold> {
        let mut state = self.lock();
        let socket = state.sockets.get(&peer?)?.clone();
        state.connections.hold(socket.key);
        let registry = self.clone();
        Some(Hold { registry, socket })
    }

    /// A router whose requests hold their connections.
    pub fn holding(&self, router: Router) -> Router {
        Router::new().hoop(Holding(self.clone())).push(router)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Has the socket of a connection end that no longer counts.
    fn close(&mut self, closed: Option<Key>) {
        let Some(closed) = closed else {
            return;
        };
        let mut sockets = self.sockets.values();
        if let Some(socket) = sockets.find(|socket| socket.key == closed) {
            socket.close();
        }
    }
}

impl Hold {
    /// Notes that the request was read whole: its connection is not closed for others.
    pub fn finish_read(&self) {
        let mut state = self.registry.lock();
        state.connections.finish_read(self.socket.key);
    }

    /// Whether the connection was closed for others.
    pub fn is_closed(&self) -> bool {
        self.socket.is_closed()
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        let now = self.registry.clock.now();
        let mut state = self.registry.lock();
        state.connections.release(self.socket.key, now);
    }
}

#[salvo::async_trait]
impl Handler for Holding {
    async fn handle(
        &self,
        request: &mut salvo::Request,
        depot: &mut Depot,
        response: &mut Response,
        flow: &mut FlowCtrl,
    ) {
        let _hold = self.0.hold(request.remote_addr().clone().into_std());
        flow.call_next(request, depot, response).await;
    }
}
