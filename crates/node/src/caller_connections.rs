//! The open connections of a port, by which sockets, handlers and the acceptor agree on which of them are closed.

use super::*;
use futures_util::task::AtomicWaker;
use meter::Meter;
use rustix::process::{Resource, getrlimit};
use salvo::{Depot, FlowCtrl, Handler, Response};
use std::sync::{Mutex, MutexGuard, PoisonError, atomic::AtomicBool};
use wellplank_core::{
    connections::{Bounds, Connections, Key, Opened},
    counter::ConnectionEnd,
};

/// Eighths of the descriptors of a process that connections of callers may take.
const CALLERS_EIGHTHS: u64 = 3;

/// Interval between two warnings about connections that are closed for others.
const WARNING_INTERVAL: Duration = Duration::from_secs(10);

/// The open connections of a port. Clones share them.
#[derive(Clone)]
pub(crate) struct Registry {
    clock: Clock,
    meter: Meter,
    state: Arc<Mutex<State>>,
}

#[derive(Debug)]
struct State {
    connections: Connections,
    /// Connections that are open, or whose sockets are not dropped yet.
    sockets: HashMap<SocketAddr, Arc<Socket>>,
    /// When it was last warned that connections are closed for others.
    warned_at: Option<Instant>,
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
pub(crate) struct Hold {
    registry: Registry,
    socket: Arc<Socket>,
}

/// Holds the connection of each request for as long as its handler runs.
struct Holding(Registry);

/// Connections of callers that a process with so many descriptors keeps: each may need another one to an upstream, and the store,
/// other instances and files need some.
pub(crate) fn bound(descriptors: u64) -> usize {
    let limit = getrlimit(Resource::Nofile).current;
    let descriptors = limit.map_or(descriptors, |limit| limit.min(descriptors));
    (descriptors / 8 * CALLERS_EIGHTHS) as usize
}

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
    pub fn new(bounds: Bounds, clock: Clock, meter: Meter) -> Self {
        let state = State {
            connections: Connections::new(bounds),
            sockets: HashMap::new(),
            warned_at: None,
        };
        Self {
            clock,
            meter,
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Adds a connection, for which another one may be closed; `None` if it is refused.
    pub fn open(&self, peer: SocketAddr) -> Option<Arc<Socket>> {
        let mut state = self.lock();
        let Opened::Kept(key, closed) = state.connections.open(self.clock.now()) else {
            self.count(ConnectionEnd::Refused);
            return None;
        };
        self.close(&mut state, closed);
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

    /// Closes a connection for want of descriptors or memory, if there is one that may be closed.
    pub fn close_one(&self) {
        let mut state = self.lock();
        let closed = state.connections.close_one(self.clock.now());
        self.close(&mut state, closed);
    }

    /// Closes the connections whose clients have taken nothing of a whole response for too long.
    pub fn close_stalled(&self) {
        let mut state = self.lock();
        for closed in state.connections.close_stalled(self.clock.now()) {
            self.close(&mut state, Some(closed));
        }
    }

    /// Counts received bytes; another connection is closed if unfinished heads exceed their bound.
    pub fn receive(&self, socket: &Socket, bytes: u64) {
        let mut state = self.lock();
        let now = self.clock.now();
        let closed = state.connections.receive(socket.key, bytes, now);
        self.close(&mut state, closed);
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

    /// The largest number of open connections so far.
    pub fn peak(&self) -> usize {
        self.lock().connections.peak()
    }

    /// Counts a connection that is closed or refused.
    pub fn count(&self, end: ConnectionEnd) {
        self.meter.count(Counter::ConnectionClosed(end), 1);
    }

    /// Has the socket of a connection end that no longer counts.
    fn close(&self, state: &mut State, closed: Option<Key>) {
        let Some(closed) = closed else {
            return;
        };
        self.count(ConnectionEnd::ForOthers);
        let mut sockets = state.sockets.values();
        if let Some(socket) = sockets.find(|socket| socket.key == closed) {
            socket.close();
        }
        if state
            .warned_at
            .is_none_or(|at| at.elapsed() >= WARNING_INTERVAL)
        {
            state.warned_at = Some(Instant::now());
            let (open, heads_bytes) = (state.connections.count(), state.connections.heads_bytes());
            warn!(open, heads_bytes; "connections are closed for others");
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
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
