//! Ways between the first instance of a soak and all others that can be cut: each side knows the other by the address of a
//! relay, for datagrams and connections, as the store tells it.

use super::*;
use daemon::Daemon;
use proxy::{Mode, Proxy};
use soak::Soak;
use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};
use tokio::net::UdpSocket;

/// Bytes of a datagram, at most.
const DATAGRAM_BYTES: usize = 64 << 10;

/// Time in which ended processes and new relays are in place.
const PLACED: Duration = Duration::from_millis(100);

/// The ways.
pub(crate) struct Ways {
    connections: Vec<Proxy>,
    is_cut: Arc<AtomicBool>,
    /// Runs the relays.
    _host: Host,
}

impl Ways {
    /// Has all instances start again, the first of which reaches the others, and they it, by relays alone.
    pub async fn between(soak: &mut Soak) -> Self {
        let host = Host::new(2);
        let peers: Vec<SocketAddr> = soak.instances.iter().filter_map(peers).collect();
        let is_cut = Arc::new(AtomicBool::new(false));
        let mut connections = Vec::new();
        let mut of_first = HashMap::new();
        let mut views = Vec::new();
        for other in &peers[1..] {
            let [near, far] = std::array::from_fn(|_| host::free_address());
            for (at, target) in [(near, *other), (far, peers[0])] {
                let proxy = Proxy::new(at, target);
                host.spawn(proxy.clone().serve());
                connections.push(proxy);
            }
            host.spawn(relay(near, far, peers[0], *other, is_cut.clone()));
            of_first.insert(*other, near);
            views.push(HashMap::from([(peers[0], far)]));
        }
        views.insert(0, of_first);
        Daemon::kill_all(&mut soak.instances);
        for (store, view) in soak.stores.iter().zip(views) {
            let address = host::free_address();
            host.spawn(soak.shelf.seen_over(view).serve(address));
            store.aim(address);
        }
        sleep(PLACED).await;
        for instance in &mut soak.instances {
            instance.start();
        }
        Self {
            connections,
            is_cut,
            _host: host,
        }
    }

    /// Loses all that goes over them, or nothing any more.
    pub fn cut(&self, is_cut: bool) {
        self.is_cut.store(is_cut, Ordering::Relaxed);
        let mode = if is_cut { Mode::Silent } else { Mode::Open };
        for connection in &self.connections {
            connection.set(mode);
        }
    }
}

/// Where other instances reach one, by its settings.
fn peers(instance: &Daemon) -> Option<SocketAddr> {
    let text = std::fs::read_to_string(&instance.file).ok()?;
    let settings: Value = serde_json::from_str(&text).ok()?;
    settings["hosted"]["peers"].as_str()?.parse().ok()
}

/// Passes datagrams on: the first instance knows the other one as `near`, and that one knows the first as `far`.
async fn relay(
    near: SocketAddr,
    far: SocketAddr,
    first: SocketAddr,
    other: SocketAddr,
    is_cut: Arc<AtomicBool>,
) {
    let (Ok(near), Ok(far)) = (UdpSocket::bind(near).await, UdpSocket::bind(far).await) else {
        return;
    };
    tokio::join!(
        pass(&near, &far, other, &is_cut),
        pass(&far, &near, first, &is_cut)
    );
}

/// Passes datagrams that come to a socket on from another one.
async fn pass(from: &UdpSocket, to: &UdpSocket, target: SocketAddr, is_cut: &AtomicBool) {
    let mut datagram = vec![0; DATAGRAM_BYTES];
    loop {
        // A datagram that could not be delivered shows as an error of the next call; others follow.
        let Ok((length, _)) = from.recv_from(&mut datagram).await else {
            continue;
        };
        if !is_cut.load(Ordering::Relaxed) {
            let _ = to.send_to(&datagram[..length], target).await;
        }
    }
}
