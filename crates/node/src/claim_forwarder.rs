//! Hands claims on to the instance that owns their place.
//!
//! Claims that come while a batch is on its way go into the next one. An owner that does not answer
//! in time is passed by: its claims are committed here, which the compare-and-swap makes safe.

use super::*;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

/// Time that an owner has to answer. Above it stands the pace of its writes and two calls of the
/// key-value service.
const PATIENCE: Duration = Duration::from_millis(300);

/// Time after which a link without claims is closed.
const IDLE: Duration = Duration::from_secs(10);

type Link = Framed<TcpStream, frame::Codec>;

/// Hands claims on to one owner.
pub(crate) struct ClaimForwarder {
    back: mpsc::UnboundedSender<claimer::Order>,
    driver: Driver,
    next: u64,
    owner: SocketAddr,
    waiting: HashMap<u64, Batch>,
}

/// Claims that were sent and not answered.
struct Batch {
    orders: Vec<claimer::Order>,
    sent: Instant,
}

impl ClaimForwarder {
    /// A forwarder to the instance that listens for peers at `owner`; claims that it can not settle
    /// go `back`.
    pub fn new(
        owner: SocketAddr,
        back: mpsc::UnboundedSender<claimer::Order>,
        driver: Driver,
    ) -> Self {
        Self {
            back,
            driver,
            next: 0,
            owner,
            waiting: HashMap::new(),
        }
    }

    /// Serves until nobody asked for a while or the link fails.
    pub async fn run(mut self, mut orders: mpsc::UnboundedReceiver<claimer::Order>) {
        let link = timeout(PATIENCE, TcpStream::connect(self.owner)).await;
        if let Ok(Ok(socket)) = link {
            let _ = socket.set_nodelay(true);
            let link = Framed::new(socket, frame::Codec::new());
            self.serve(link, &mut orders).await;
        }
        orders.close();
        while let Some(order) = orders.recv().await {
            self.pass_by(order);
        }
        let batches = std::mem::take(&mut self.waiting);
        for order in batches.into_values().flat_map(|batch| batch.orders) {
            self.pass_by(order);
        }
    }

    /// Has a claim committed here.
    fn pass_by(&self, order: claimer::Order) {
        let _ = self.back.send(claimer::Order {
            here: true,
            ..order
        });
    }

    async fn serve(
        &mut self,
        mut link: Link,
        orders: &mut mpsc::UnboundedReceiver<claimer::Order>,
    ) {
        let mut used = Instant::now();
        let mut ticks = interval(PATIENCE / 6);
        while used.elapsed() < IDLE {
            tokio::select! {
                order = orders.recv() => {
                    let Some(order) = order else { return };
                    used = Instant::now();
                    let mut group = vec![order];
                    while let Ok(order) = orders.try_recv() {
                        group.push(order);
                    }
                    let frame = self.batch(group);
                    if link.send(frame).await.is_err() {
                        return;
                    }
                }
                frame = link.next() => match frame {
                    Some(Ok(frame)) => self.take(frame),
                    _ => return,
                },
                _ = ticks.tick() => {
                    let late = |batch: &Batch| batch.sent.elapsed() > PATIENCE;
                    if self.waiting.values().any(late) {
                        return;
                    }
                }
            }
        }
    }

    fn batch(&mut self, orders: Vec<claimer::Order>) -> peers::Frame {
        self.next += 1;
        let claims = orders
            .iter()
            .map(|order| encode_claim(&order.claim))
            .collect();
        let batch = Batch {
            orders,
            sent: Instant::now(),
        };
        self.waiting.insert(self.next, batch);
        let body = peers::frame::Body::ClaimBatch(peers::ClaimBatch {
            claims,
            id: self.next,
        });
        peers::Frame { body: Some(body) }
    }

    fn take(&mut self, frame: peers::Frame) {
        let Some(peers::frame::Body::ClaimOutcomes(answer)) = frame.body else {
            return;
        };
        let Some(batch) = self.waiting.remove(&answer.id) else {
            return;
        };
        let outcomes = answer.outcomes.iter().map(decode_outcome);
        let missing = std::iter::repeat(ClaimOutcome::Unavailable);
        for (order, outcome) in batch.orders.into_iter().zip(outcomes.chain(missing)) {
            match outcome {
                ClaimOutcome::Unavailable => self.pass_by(order),
                outcome => order.settle(&self.driver, outcome),
            }
        }
    }
}

/// A claim as a frame carried it; `None` if it is none.
pub(crate) fn decode_claim(claim: &peers::Claim) -> Option<Claim> {
    Some(Claim {
        fingerprint: claim.fingerprint,
        key: u128::from_le_bytes(claim.key.as_slice().try_into().ok()?),
        nonce: claim.nonce,
        stamp: Time(claim.stamp),
    })
}

/// An outcome as a frame carries it.
pub(crate) fn encode_outcome(outcome: ClaimOutcome) -> peers::ClaimOutcome {
    use peers::claim_outcome::State;
    let (state, fingerprint) = match outcome {
        ClaimOutcome::Claimed => (State::Claimed, 0),
        ClaimOutcome::Taken(fingerprint) => (State::Taken, fingerprint),
        ClaimOutcome::Unavailable => (State::Unavailable, 0),
    };
    peers::ClaimOutcome {
        fingerprint,
        state: state.into(),
    }
}

fn decode_outcome(outcome: &peers::ClaimOutcome) -> ClaimOutcome {
    use peers::claim_outcome::State;
    match outcome.state() {
        State::Claimed => ClaimOutcome::Claimed,
        State::Taken => ClaimOutcome::Taken(outcome.fingerprint),
        State::Unavailable => ClaimOutcome::Unavailable,
    }
}

fn encode_claim(claim: &Claim) -> peers::Claim {
    peers::Claim {
        fingerprint: claim.fingerprint,
        key: claim.key.to_le_bytes().to_vec(),
        nonce: claim.nonce,
        stamp: claim.stamp.0,
    }
}
