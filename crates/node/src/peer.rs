//! Connections between instances, for heartbeats with the head of the configuration, parts of the
//! configuration, and forwarded claims.

use super::*;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::Framed;

/// Number of heartbeat intervals without a frame after which a connection is closed.
const MISSED_HEARTBEATS_MAX: u32 = 6;

/// Size of the length prefix of a frame, in bytes.
const FRAME_LENGTH_BYTES: usize = 4;

/// Time within which an instance must answer a single request.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Number of instances asked for parts before they are read from the key-value service.
const FETCH_PEERS_MAX: usize = 2;

/// State of another instance, as reported by its heartbeats.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Peer {
    /// When its last heartbeat arrived.
    pub last_heartbeat: Instant,
    /// Revision of the configuration in force there; 0 for none.
    pub revision: u64,
}

/// Known peers by name.
pub(crate) type Peers = BTreeMap<String, Peer>;

/// The connections to other instances, and what each of them needs.
#[derive(Clone)]
pub(crate) struct Links {
    /// The configuration in force here.
    pub active_config: watch::Receiver<revision::ActiveConfig>,
    /// Channel for claims that peers forward.
    pub claims: mpsc::UnboundedSender<claimer::PendingClaim>,
    /// Channel for heads received from peers.
    pub config_commands: mpsc::UnboundedSender<revision::Command>,
    /// The core task.
    pub driver: Driver,
    /// Leaving upstreams, announced by heartbeats.
    pub leaving: watch::Receiver<driver::LeavingUpstreams>,
    /// Peers that have sent a heartbeat.
    pub peers: watch::Sender<Peers>,
    /// Settings of this instance.
    pub settings: Settings,
    /// Counts frames.
    pub traffic: Traffic,
}

impl Links {
    /// Accepts connections of other instances.
    pub async fn accept(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((socket, _)) => {
                    tokio::spawn(self.clone().serve(socket));
                }
                Err(error) => {
                    warn!("accepting a connection of a peer: {error}");
                    sleep(Duration::from_millis(self.settings.heartbeat_ms)).await;
                }
            }
        }
    }

    /// Maintains connections to a few other instances.
    pub async fn connect(self, list: watch::Receiver<Vec<instance_list::ListedInstance>>) {
        let mut links: HashMap<SocketAddr, JoinHandle<()>> = HashMap::new();
        let mut ticks = interval(Duration::from_millis(self.settings.heartbeat_ms));
        loop {
            ticks.tick().await;
            let link_targets = self.link_targets(&list.borrow());
            links.retain(|address, link| {
                let keep = link_targets.contains(address);
                if !keep {
                    link.abort();
                }
                keep && !link.is_finished()
            });
            for address in link_targets {
                links
                    .entry(address)
                    .or_insert_with(|| tokio::spawn(self.clone().open(address)));
            }
        }
    }

    async fn open(self, address: SocketAddr) {
        match connection::connect_plain(address).await {
            Ok(socket) => self.serve(socket).await,
            Err(error) => debug!("connecting to peer {address}: {error}"),
        }
    }

    /// Serves a connection until it ends; closes it on an invalid frame.
    async fn serve(self, socket: TcpStream) {
        let heartbeat_interval = Duration::from_millis(self.settings.heartbeat_ms);
        let mut active_config = self.active_config.clone();
        let mut leaving = self.leaving.clone();
        let (answers, mut answered) = mpsc::unbounded_channel();
        let _ = socket.set_nodelay(true);
        let mut frames = Framed::new(socket, frame::Codec::new());
        let mut last_frame = Instant::now();
        let mut known = 0;
        let mut ticks = interval(heartbeat_interval);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        while last_frame.elapsed() < heartbeat_interval * MISSED_HEARTBEATS_MAX {
            tokio::select! {
                frame = frames.next() => match frame {
                    Some(Ok(frame)) => {
                        last_frame = Instant::now();
                        self.traffic.count(FRAME_LENGTH_BYTES + frame.encoded_len());
                        if let Some(peers::frame::Body::Heartbeat(heartbeat)) = &frame.body {
                            known = heartbeat.revision;
                        }
                        if !self.handle(frame, &answers) {
                            warn!("closing a connection to a peer: invalid frame");
                            return;
                        }
                        continue;
                    }
                    Some(Err(error)) => {
                        warn!("reading from a peer: {error}");
                        return;
                    }
                    None => return,
                },
                answer = answered.recv() => {
                    let Some(answer) = answer else { return };
                    self.traffic.count(FRAME_LENGTH_BYTES + answer.encoded_len());
                    if frames.send(answer).await.is_err() {
                        return;
                    }
                    continue;
                }
                _ = ticks.tick() => {}
                changed = leaving.changed() => if changed.is_err() {
                    return;
                },
                changed = active_config.changed() => if changed.is_err() {
                    return;
                },
            }
            let names = leaving.borrow_and_update().keys().cloned().collect();
            let heartbeat = self.heartbeat(&active_config.borrow_and_update(), names, known);
            self.traffic
                .count(FRAME_LENGTH_BYTES + heartbeat.encoded_len());
            if frames.send(heartbeat).await.is_err() {
                return;
            }
        }
    }

    /// A heartbeat for a peer with revision `known`; includes the head only if that is older.
    fn heartbeat(
        &self,
        active: &revision::ActiveConfig,
        leaving: Vec<String>,
        known: u64,
    ) -> peers::Frame {
        let head = if active.head.revision > known {
            active.head.encode_to_vec()
        } else {
            Vec::new()
        };
        let body = peers::frame::Body::Heartbeat(peers::Heartbeat {
            head,
            instance: self.settings.instance.clone(),
            leaving,
            revision: active.head.revision,
        });
        peers::Frame { body: Some(body) }
    }

    /// Handles a frame; returns false if it is invalid.
    fn handle(&self, frame: peers::Frame, answers: &mpsc::UnboundedSender<peers::Frame>) -> bool {
        match frame.body {
            Some(peers::frame::Body::ClaimBatch(batch)) => self.handle_claims(&batch, answers),
            Some(peers::frame::Body::Heartbeat(heartbeat)) => self.handle_heartbeat(heartbeat),
            Some(peers::frame::Body::PartRequest(request)) => {
                let parts = self.active_config.borrow().parts.clone();
                let found = request
                    .digests
                    .iter()
                    .filter_map(|digest| parts.get(digest));
                let body = peers::frame::Body::Parts(peers::Parts {
                    parts: found.map(|part| part.to_vec()).collect(),
                });
                answers.send(peers::Frame { body: Some(body) }).is_ok()
            }
            Some(
                peers::frame::Body::ClaimOutcomes(_)
                | peers::frame::Body::Configuration(_)
                | peers::frame::Body::ConfigurationRequest(_)
                | peers::frame::Body::ListPart(_)
                | peers::frame::Body::ListRequest(_)
                | peers::frame::Body::Parts(_)
                | peers::frame::Body::TunnelBytes(_)
                | peers::frame::Body::TunnelRequest(_)
                | peers::frame::Body::TunnelResponse(_),
            )
            | None => false,
        }
    }

    /// Commits claims that a peer forwarded, and answers when all have an outcome.
    fn handle_claims(
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
                let _ = self.claims.send(claimer::PendingClaim {
                    claim,
                    commit_here: true,
                    reply_to: claimer::ReplyTo::Peer(sender),
                });
                receiver
            })
            .collect();
        let (id, answers) = (batch.id, answers.clone());
        tokio::spawn(async move {
            let mut encoded = Vec::with_capacity(outcomes.len());
            for outcome in outcomes {
                let outcome = outcome.await.unwrap_or(ClaimOutcome::Unavailable);
                encoded.push(claim_forwarder::encode_outcome(outcome));
            }
            let body = peers::frame::Body::ClaimOutcomes(peers::ClaimOutcomes {
                id,
                outcomes: encoded,
            });
            let _ = answers.send(peers::Frame { body: Some(body) });
        });
        true
    }

    fn handle_heartbeat(&self, heartbeat: peers::Heartbeat) -> bool {
        let Ok(head) = Head::decode(&heartbeat.head[..]) else {
            return false;
        };
        let peer = Peer {
            last_heartbeat: Instant::now(),
            revision: heartbeat.revision,
        };
        self.peers.send_modify(|peers| {
            peers.insert(heartbeat.instance, peer);
        });
        for name in heartbeat.leaving {
            self.driver.send_event(Event::Leaving(name));
        }
        if head.revision > self.active_config.borrow().head.revision {
            let _ = self.config_commands.send(revision::Command::Head(head));
        }
        true
    }

    /// Addresses to connect to: those ranked first by a hash of both names, which spreads the
    /// connections evenly.
    fn link_targets(&self, list: &[instance_list::ListedInstance]) -> HashSet<SocketAddr> {
        let own = &self.settings.instance;
        let mut others: Vec<&instance_list::ListedInstance> = list
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

/// Requests parts of the configuration from random instances, one after another; returns those of
/// the last answer. Stops at an answer with as many parts as requested.
pub(crate) async fn fetch_parts(
    list: &[instance_list::ListedInstance],
    digests: &[Vec<u8>],
) -> Vec<Bytes> {
    let mut instances: Vec<&instance_list::ListedInstance> = list
        .iter()
        .filter(|line| line.pool == wellplank_core::core::INSTANCE_POOL)
        .collect();
    let mut found = Vec::new();
    for _ in 0..FETCH_PEERS_MAX.min(instances.len()) {
        let peer = instances.swap_remove(rand::random_range(0..instances.len()));
        let body = peers::frame::Body::PartRequest(peers::PartRequest {
            digests: digests.to_vec(),
        });
        let response = request(peer.address, body, |body| match body {
            peers::frame::Body::Parts(parts) => Some(parts.parts),
            _ => None,
        });
        if let Ok(Some(parts)) = timeout(REQUEST_TIMEOUT, response).await {
            found = parts.into_iter().map(Bytes::from).collect();
        }
        if found.len() == digests.len() {
            break;
        }
    }
    found
}

/// Requests from every listed instance the revision in force there.
pub(crate) async fn fetch_revisions(
    list: &[instance_list::ListedInstance],
) -> Vec<schema::PeerState> {
    let states = list
        .iter()
        .filter(|line| line.pool == wellplank_core::core::INSTANCE_POOL && !line.leaving)
        .map(async |line| {
            let body = peers::frame::Body::PartRequest(peers::PartRequest::default());
            let response = request(line.address, body, |body| match body {
                peers::frame::Body::Heartbeat(heartbeat) => Some(heartbeat.revision),
                _ => None,
            });
            let revision = timeout(REQUEST_TIMEOUT, response).await.ok().flatten();
            schema::PeerState {
                name: line.instance.clone(),
                reachable: revision.is_some(),
                revision: revision.unwrap_or(0),
                silent_ms: 0,
            }
        });
    futures_util::future::join_all(states).await
}

/// Sends one frame to an instance and waits for the first answer that `decode` accepts.
async fn request<T>(
    address: SocketAddr,
    body: peers::frame::Body,
    decode: impl Fn(peers::frame::Body) -> Option<T>,
) -> Option<T> {
    let socket = connection::connect_plain(address).await.ok()?;
    let mut frames = Framed::new(socket, frame::Codec::new());
    let frame = peers::Frame { body: Some(body) };
    frames.send(frame).await.ok()?;
    while let Some(Ok(frame)) = frames.next().await {
        if let Some(answer) = frame.body.and_then(&decode) {
            return Some(answer);
        }
    }
    None
}
