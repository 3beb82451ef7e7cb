//! Forwards claims to the instance that owns their bucket.
//!
//! Claims are sent in batches: those that are queued together go into one frame. If the owner does not respond in time, its
//! claims are committed by this instance, which the compare-and-swap makes safe.

use super::*;
use tokio::net::TcpStream;
use tokio_util::codec::Framed;

/// Timeout for connecting to an owner, and for its response to a batch. It must cover the interval between the owner's
/// writes and two calls of the key-value service.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time after which a connection without new claims is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

type Connection = Framed<TcpStream, frame::Codec>;

/// Forwards claims to one owner.
pub(crate) struct ClaimForwarder {
    driver: Driver,
    in_flight: HashMap<u64, Batch>,
    last_id: u64,
    owner: SocketAddr,
    returned_claims: mpsc::UnboundedSender<claimer::PendingClaim>,
}

/// Claims that were sent and await their outcomes.
struct Batch {
    claims: Vec<claimer::PendingClaim>,
    sent_at: Instant,
}

impl ClaimForwarder {
    /// A forwarder to the instance that listens for peers at `owner`. Claims without an outcome are sent to
    /// `returned_claims`, to be committed by this instance.
    pub fn new(
        owner: SocketAddr,
        returned_claims: mpsc::UnboundedSender<claimer::PendingClaim>,
        driver: Driver,
    ) -> Self {
        Self {
            driver,
            in_flight: HashMap::new(),
            last_id: 0,
            owner,
            returned_claims,
        }
    }

    /// Forwards claims until the connection is idle for too long or fails; then returns those without an outcome.
    pub async fn run(mut self, mut claims: mpsc::UnboundedReceiver<claimer::PendingClaim>) {
        let connection = timeout(RESPONSE_TIMEOUT, connection::connect_plain(self.owner)).await;
        if let Ok(Ok(socket)) = connection {
            let _ = socket.set_nodelay(true);
            let connection = Framed::new(socket, frame::Codec::new());
            self.serve(connection, &mut claims).await;
        }
        claims.close();
        while let Some(claim) = claims.recv().await {
            self.return_claim(claim);
        }
        let batches = std::mem::take(&mut self.in_flight);
        for claim in batches.into_values().flat_map(|batch| batch.claims) {
            self.return_claim(claim);
        }
    }

    /// Returns a claim, to be committed by this instance.
    fn return_claim(&self, claim: claimer::PendingClaim) {
        let _ = self.returned_claims.send(claimer::PendingClaim {
            commit_here: true,
            ..claim
        });
    }

    async fn serve(
        &mut self,
        mut connection: Connection,
        claims: &mut mpsc::UnboundedReceiver<claimer::PendingClaim>,
    ) {
        let mut last_claim_at = Instant::now();
        let mut ticks = interval(RESPONSE_TIMEOUT / 6);
        while last_claim_at.elapsed() < IDLE_TIMEOUT {
            tokio::select! {
                claim = claims.recv() => {
                    let Some(claim) = claim else { return };
                    last_claim_at = Instant::now();
                    let mut batch = vec![claim];
                    while let Ok(claim) = claims.try_recv() {
                        batch.push(claim);
                    }
                    let frame = self.start_batch(batch);
                    if connection.send(frame).await.is_err() {
                        return;
                    }
                }
                frame = connection.next() => match frame {
                    Some(Ok(frame)) => self.handle_frame(frame),
                    _ => return,
                },
                _ = ticks.tick() => {
                    let is_overdue = |batch: &Batch| batch.sent_at.elapsed() > RESPONSE_TIMEOUT;
                    if self.in_flight.values().any(is_overdue) {
                        return;
                    }
                }
            }
        }
    }

    /// Records a batch as in flight and encodes it.
    fn start_batch(&mut self, claims: Vec<claimer::PendingClaim>) -> peers::Frame {
        self.last_id += 1;
        let encoded = claims
            .iter()
            .map(|pending| encode_claim(&pending.claim))
            .collect();
        let batch = Batch {
            claims,
            sent_at: Instant::now(),
        };
        self.in_flight.insert(self.last_id, batch);
        let body = peers::frame::Body::ClaimBatch(peers::ClaimBatch {
            claims: encoded,
            id: self.last_id,
        });
        peers::Frame { body: Some(body) }
    }

    /// Settles the claims of a batch whose outcomes arrived.
    fn handle_frame(&mut self, frame: peers::Frame) {
        let Some(peers::frame::Body::ClaimOutcomes(response)) = frame.body else {
            return;
        };
        let Some(batch) = self.in_flight.remove(&response.id) else {
            return;
        };
        let outcomes = response.outcomes.iter().map(decode_outcome);
        let missing = std::iter::repeat(ClaimOutcome::Unavailable);
        for (claim, outcome) in batch.claims.into_iter().zip(outcomes.chain(missing)) {
            match outcome {
                ClaimOutcome::Unavailable => self.return_claim(claim),
                outcome => claim.complete(&self.driver, outcome),
            }
        }
    }
}

/// Decodes a claim from a frame; `None` if its key has the wrong length.
pub(crate) fn decode_claim(claim: &peers::Claim) -> Option<Claim> {
    Some(Claim {
        fingerprint: claim.fingerprint,
        key: u128::from_le_bytes(claim.key.as_slice().try_into().ok()?),
        nonce: claim.nonce,
        stamp: Time(claim.stamp),
    })
}

/// Encodes an outcome for a frame.
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
