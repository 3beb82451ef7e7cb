//! Links between instances: heartbeats that carry the head of the configuration.

use super::*;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Framed;

/// Time after which a link on which nothing came is given up on, in heartbeats.
const SILENCE: u32 = 6;

/// Bytes before each frame that hold its length.
const FRAME_HEAD: usize = 4;

/// Time that an instance asked by itself has to answer.
const ASK: Duration = Duration::from_millis(500);

/// Instances asked for parts before the key-value service is.
const FETCH_PEERS: usize = 2;

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
    /// Where claims that peers hand on are sent.
    pub claims: mpsc::UnboundedSender<claimer::Order>,
    /// The core task.
    pub driver: Driver,
    /// Upstreams that are leaving, to be told to peers.
    pub leaving: watch::Receiver<driver::LeavingUpstreams>,
    /// The configuration held here.
    pub held: watch::Receiver<revision::Held>,
    /// Where heads that come are sent.
    pub orders: mpsc::UnboundedSender<revision::Order>,
    /// Peers heard of.
    pub peers: watch::Sender<Peers>,
    /// Settings.
    pub settings: Settings,
    /// Where frames are counted.
    pub traffic: Traffic,
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
        let mut leaving = self.leaving.clone();
        let (answers, mut answered) = mpsc::unbounded_channel();
        let _ = socket.set_nodelay(true);
        let mut frames = Framed::new(socket, frame::Codec::new());
        let mut last = Instant::now();
        let mut known = 0;
        let mut ticks = interval(beat);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while last.elapsed() < beat * SILENCE {
            tokio::select! {
                frame = frames.next() => match frame {
                    Some(Ok(frame)) => {
                        last = Instant::now();
                        self.traffic.count(FRAME_HEAD + frame.encoded_len());
                        if let Some(peers::frame::Body::Heartbeat(beat)) = &frame.body {
                            known = beat.revision;
                        }
                        if !self.take(frame, &answers) {
                            warn!("peer: a frame holds what it may not");
                            return;
                        }
                        continue;
                    }
                    Some(Err(error)) => {
                        warn!("peer: {error}");
                        return;
                    }
                    None => return,
                },
                answer = answered.recv() => {
                    let Some(answer) = answer else { return };
                    self.traffic.count(FRAME_HEAD + answer.encoded_len());
                    if frames.send(answer).await.is_err() {
                        return;
                    }
                    continue;
                }
                _ = ticks.tick() => {}
                changed = leaving.changed() => if changed.is_err() {
                    return;
                },
                changed = held.changed() => if changed.is_err() {
                    return;
                },
            }
            let names = leaving.borrow_and_update().keys().cloned().collect();
            let heartbeat = self.heartbeat(&held.borrow_and_update(), names, known);
            self.traffic.count(FRAME_HEAD + heartbeat.encoded_len());
            if frames.send(heartbeat).await.is_err() {
                return;
            }
        }
    }

    /// A heartbeat for a peer that is known to have revision `known`.
    fn heartbeat(&self, held: &revision::Held, leaving: Vec<String>, known: u64) -> peers::Frame {
        let head = if held.head.revision > known {
            held.head.encode_to_vec()
        } else {
            Vec::new()
        };
        let body = peers::frame::Body::Heartbeat(peers::Heartbeat {
            head,
            instance: self.settings.instance.clone(),
            leaving,
            revision: held.head.revision,
        });
        peers::Frame { body: Some(body) }
    }

    /// Takes in a frame; false if it holds what it may not.
    fn take(&self, frame: peers::Frame, answers: &mpsc::UnboundedSender<peers::Frame>) -> bool {
        match frame.body {
            Some(peers::frame::Body::ClaimBatch(batch)) => self.take_claims(&batch, answers),
            Some(peers::frame::Body::Heartbeat(beat)) => self.take_heartbeat(beat),
            Some(peers::frame::Body::PartRequest(request)) => {
                let parts = self.held.borrow().parts.clone();
                let found = request
                    .digests
                    .iter()
                    .filter_map(|digest| parts.get(digest));
                let body = peers::frame::Body::Parts(peers::Parts {
                    parts: found.map(|part| part.to_vec()).collect(),
                });
                answers.send(peers::Frame { body: Some(body) }).is_ok()
            }
            Some(peers::frame::Body::ClaimOutcomes(_) | peers::frame::Body::Parts(_)) | None => {
                false
            }
        }
    }

    /// Has claims committed that a peer handed on, and answers when all are settled.
    fn take_claims(
        &self,
        batch: &peers::ClaimBatch,
        answers: &mpsc::UnboundedSender<peers::Frame>,
    ) -> bool {
        let claims: Option<Vec<Claim>> = batch
            .claims
            .iter()
            .map(claim_forwarder::decode_claim)
            .collect();
        let Some(claims) = claims else {
            return false;
        };
        let outcomes: Vec<oneshot::Receiver<ClaimOutcome>> = claims
            .into_iter()
            .map(|claim| {
                let (sender, receiver) = oneshot::channel();
                let _ = self.claims.send(claimer::Order {
                    claim,
                    here: true,
                    settle: claimer::Settle::There(sender),
                });
                receiver
            })
            .collect();
        let (id, answers) = (batch.id, answers.clone());
        tokio::spawn(async move {
            let mut settled = Vec::with_capacity(outcomes.len());
            for outcome in outcomes {
                let outcome = outcome.await.unwrap_or(ClaimOutcome::Unavailable);
                settled.push(claim_forwarder::encode_outcome(outcome));
            }
            let body = peers::frame::Body::ClaimOutcomes(peers::ClaimOutcomes {
                id,
                outcomes: settled,
            });
            let _ = answers.send(peers::Frame { body: Some(body) });
        });
        true
    }

    fn take_heartbeat(&self, beat: peers::Heartbeat) -> bool {
        let Ok(head) = Head::decode(&beat.head[..]) else {
            return false;
        };
        let peer = Peer {
            heard: Instant::now(),
            revision: beat.revision,
        };
        self.peers.send_modify(|peers| {
            peers.insert(beat.instance, peer);
        });
        for name in beat.leaving {
            self.driver.send_event(Event::Leaving(name));
        }
        if head.revision > self.held.borrow().head.revision {
            let _ = self.orders.send(revision::Order::Head(head));
        }
        true
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

/// Asks a few instances for parts of the configuration; those that come first are taken.
pub(crate) async fn fetch_parts(list: &[list::Line], digests: &[Vec<u8>]) -> Vec<Bytes> {
    let mut instances: Vec<&list::Line> = list
        .iter()
        .filter(|line| line.pool == wellplank_core::core::INSTANCE_POOL)
        .collect();
    let mut found = Vec::new();
    for _ in 0..FETCH_PEERS.min(instances.len()) {
        let peer = instances.swap_remove(rand::random_range(0..instances.len()));
        let body = peers::frame::Body::PartRequest(peers::PartRequest {
            digests: digests.to_vec(),
        });
        let asked = ask(peer.address, body, |body| match body {
            peers::frame::Body::Parts(parts) => Some(parts.parts),
            _ => None,
        });
        if let Ok(Some(parts)) = timeout(ASK, asked).await {
            found = parts.into_iter().map(Bytes::from).collect();
        }
        if found.len() == digests.len() {
            break;
        }
    }
    found
}

/// Asks every instance on the list for the revision that it has in force.
pub(crate) async fn revisions(list: &[list::Line]) -> Vec<schema::PeerState> {
    let asked = list
        .iter()
        .filter(|line| line.pool == wellplank_core::core::INSTANCE_POOL && !line.leaving)
        .map(async |line| {
            let body = peers::frame::Body::PartRequest(peers::PartRequest::default());
            let heard = ask(line.address, body, |body| match body {
                peers::frame::Body::Heartbeat(beat) => Some(beat.revision),
                _ => None,
            });
            let revision = timeout(ASK, heard).await.ok().flatten();
            schema::PeerState {
                name: line.instance.clone(),
                reachable: revision.is_some(),
                revision: revision.unwrap_or(0),
                silent_ms: 0,
            }
        });
    futures_util::future::join_all(asked).await
}

/// Sends one frame to an instance and waits for the answer that `take` takes.
async fn ask<T>(
    address: SocketAddr,
    body: peers::frame::Body,
    take: impl Fn(peers::frame::Body) -> Option<T>,
) -> Option<T> {
    let socket = TcpStream::connect(address).await.ok()?;
    let mut frames = Framed::new(socket, frame::Codec::new());
    let frame = peers::Frame { body: Some(body) };
    frames.send(frame).await.ok()?;
    while let Some(Ok(frame)) = frames.next().await {
        if let Some(answer) = frame.body.and_then(&take) {
            return Some(answer);
        }
    }
    None
}
