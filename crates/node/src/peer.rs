//! Links between instances: heartbeats that carry the head of the configuration.

use super::*;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Framed;

/// Time after which a link on which nothing came is given up on, in heartbeats.
const SILENCE: u32 = 6;

/// What is known of another instance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Peer {
    /// Time of its last heartbeat.
    pub heard: Instant,
    /// Revision that it has in force.
    pub revision: u64,
}

/// Peers by name.
pub(crate) type Peers = BTreeMap<String, Peer>;

/// What every link needs.
#[derive(Clone)]
pub(crate) struct Links {
    /// The configuration held here.
    pub held: watch::Receiver<revision::Held>,
    /// Where heads that come are sent.
    pub orders: mpsc::UnboundedSender<revision::Order>,
    /// Peers heard of.
    pub peers: watch::Sender<Peers>,
    /// Settings.
    pub settings: Settings,
}

impl Links {
    /// Accepts links of other instances.
    pub async fn accept(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((socket, _)) => {
                    tokio::spawn(self.clone().link(socket));
                }
                Err(error) => {
                    warn!("peer: {error}");
                    sleep(Duration::from_millis(self.settings.heartbeat_ms)).await;
                }
            }
        }
    }

    /// Keeps links to a few other instances.
    pub async fn connect(self, list: watch::Receiver<Vec<list::Line>>) {
        let mut links: HashMap<SocketAddr, JoinHandle<()>> = HashMap::new();
        let mut ticks = interval(Duration::from_millis(self.settings.heartbeat_ms));
        loop {
            ticks.tick().await;
            let wanted = self.wanted(&list.borrow());
            links.retain(|address, link| {
                let keep = wanted.contains(address);
                if !keep {
                    link.abort();
                }
                keep && !link.is_finished()
            });
            for address in wanted {
                links
                    .entry(address)
                    .or_insert_with(|| tokio::spawn(self.clone().dial(address)));
            }
        }
    }

    async fn dial(self, address: SocketAddr) {
        match TcpStream::connect(address).await {
            Ok(socket) => self.link(socket).await,
            Err(error) => debug!("peer {address}: {error}"),
        }
    }

    /// Serves one link until it ends; a wrong frame ends it.
    async fn link(self, socket: TcpStream) {
        let beat = Duration::from_millis(self.settings.heartbeat_ms);
        let mut held = self.held.clone();
        let mut frames = Framed::new(socket, frame::Codec::new());
        let mut last = Instant::now();
        let mut ticks = interval(beat);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while last.elapsed() < beat * SILENCE {
            tokio::select! {
                frame = frames.next() => match frame {
                    Some(Ok(frame)) => {
                        last = Instant::now();
                        self.take(frame);
                        continue;
                    }
                    Some(Err(error)) => {
                        warn!("peer: {error}");
                        return;
                    }
                    None => return,
                },
                _ = ticks.tick() => {}
                changed = held.changed() => if changed.is_err() {
                    return;
                },
            }
            let heartbeat = self.heartbeat(&held.borrow_and_update());
            if frames.send(heartbeat).await.is_err() {
                return;
            }
        }
    }

    fn heartbeat(&self, held: &revision::Held) -> peers::Frame {
        let head = if held.head.revision == 0 {
            Vec::new()
        } else {
            held.head.encode_to_vec()
        };
        peers::Frame {
            body: Some(peers::frame::Body::Heartbeat(peers::Heartbeat {
                head,
                instance: self.settings.instance.clone(),
                leaving: Vec::new(),
            })),
        }
    }

    fn take(&self, frame: peers::Frame) {
        let Some(peers::frame::Body::Heartbeat(beat)) = frame.body else {
            return;
        };
        let Ok(head) = Head::decode(&beat.head[..]) else {
            warn!("peer {}: its head is not to be read", beat.instance);
            return;
        };
        let peer = Peer {
            heard: Instant::now(),
            revision: head.revision,
        };
        self.peers.send_modify(|peers| {
            peers.insert(beat.instance, peer);
        });
        if head.revision > self.held.borrow().head.revision {
            let _ = self.orders.send(revision::Order::Head(head));
        }
    }

    /// Addresses to link to: those ranked first by a hash of both names, so that links are spread.
    fn wanted(&self, list: &[list::Line]) -> HashSet<SocketAddr> {
        let own = &self.settings.instance;
        let mut others: Vec<&list::Line> = list
            .iter()
            .filter(|line| line.pool == wellplank_core::core::INSTANCE_POOL)
            .filter(|line| line.instance != *own)
            .collect();
        others.sort_by_key(|line| upstream::id(&format!("{own}/{}", line.instance)));
        others
            .iter()
            .take(self.settings.peer_links)
            .map(|line| line.address)
            .collect()
    }
}

/// Count of instances of the system that stay.
pub(crate) fn instances(list: &[list::Line]) -> usize {
    list.iter()
        .filter(|line| line.pool == wellplank_core::core::INSTANCE_POOL && !line.leaving)
        .count()
}
