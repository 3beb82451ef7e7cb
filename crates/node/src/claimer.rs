//! Claims of idempotency keys: each is committed by the instance that owns its bucket, so that
//! instances do not write against each other, and the claims of one bucket share its writes.
//!
//! Ownership is only a hint: every commit is a compare-and-swap, and the claims of an owner that does
//! not answer in time are committed here.

use super::*;

/// Number of buckets written concurrently: those of two time slices.
const HOT_BUCKETS: u64 = 2 * claim::BUCKETS;

/// Age in time slices at which the committer of a bucket is stopped.
const BUCKET_IDLE_SLICES: u64 = 30;

/// Recipient of the outcome of a claim.
#[derive(Debug)]
pub(crate) enum ReplyTo {
    /// The connection of the instance that forwarded the claim.
    Peer(oneshot::Sender<ClaimOutcome>),
    /// A request of this instance.
    Request(request::Key),
}

/// A claim to be committed.
#[derive(Debug)]
pub(crate) struct PendingClaim {
    /// The claim.
    pub claim: Claim,
    /// Whether this instance must commit it, even if another one owns its bucket.
    pub commit_here: bool,
    /// Recipient of its outcome.
    pub reply_to: ReplyTo,
}

/// The task that commits claims or forwards them to the owners of their buckets.
pub(crate) struct Claimer {
    /// Channel to this task, for claims that another task could not take.
    pub claims: mpsc::UnboundedSender<PendingClaim>,
    pub driver: Driver,
    pub list: watch::Receiver<Vec<instance_list::ListedInstance>>,
    pub settings: Settings,
    pub store: Store,
}

impl PendingClaim {
    /// Reports the outcome to the recipient.
    pub fn complete(self, driver: &Driver, outcome: ClaimOutcome) {
        match self.reply_to {
            ReplyTo::Peer(sender) => {
                let _ = sender.send(outcome);
            }
            ReplyTo::Request(request) => driver.send_event(Event::Claimed { outcome, request }),
        }
    }
}

impl Claimer {
    /// Handles claims until the instance stops.
    pub async fn run(self, mut claims: mpsc::UnboundedReceiver<PendingClaim>) {
        let leases = Arc::new(committer::Leases::default());
        let mut committers: HashMap<claim::BucketId, mpsc::UnboundedSender<PendingClaim>> =
            HashMap::new();
        let mut forwarders: HashMap<SocketAddr, mpsc::UnboundedSender<PendingClaim>> =
            HashMap::new();
        while let Some(pending) = claims.recv().await {
            let bucket = pending.claim.bucket_id();
            let owner = if pending.commit_here {
                None
            } else {
                self.owner(bucket)
            };
            let sender = if let Some(owner) = owner {
                forwarders.retain(|_, sender| !sender.is_closed());
                forwarders
                    .entry(owner)
                    .or_insert_with(|| self.forward(owner))
            } else {
                committers.retain(|other, sender| {
                    other.slice + BUCKET_IDLE_SLICES >= bucket.slice && !sender.is_closed()
                });
                committers
                    .entry(bucket)
                    .or_insert_with(|| self.commit(bucket, &leases))
            };
            let unsent = sender.send(pending).err();
            if let Some(error) = unsent {
                // The task ended after the check above; the next pass starts another.
                let _ = self.claims.send(error.0);
            }
        }
    }

    fn commit(
        &self,
        bucket: claim::BucketId,
        leases: &Arc<committer::Leases>,
    ) -> mpsc::UnboundedSender<PendingClaim> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let write_interval =
            Duration::from_micros(1_000_000 * HOT_BUCKETS / self.settings.claim_writes);
        let committer = committer::Committer::new(
            self.driver.clone(),
            self.store.clone(),
            leases.clone(),
            bucket,
            claim::BucketId::ttl_ms(&self.settings.core),
            write_interval,
        );
        tokio::spawn(committer.run(receiver));
        sender
    }

    fn forward(&self, owner: SocketAddr) -> mpsc::UnboundedSender<PendingClaim> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let forwarder =
            claim_forwarder::ClaimForwarder::new(owner, self.claims.clone(), self.driver.clone());
        tokio::spawn(forwarder.run(receiver));
        sender
    }

    /// Address of the instance that owns a bucket; `None` if it is this one.
    fn owner(&self, bucket: claim::BucketId) -> Option<SocketAddr> {
        let list = self.list.borrow();
        let rank = |line: &&instance_list::ListedInstance| {
            upstream::id(&format!(
                "{}/{}/{}",
                bucket.slice, bucket.bucket, line.instance
            ))
        };
        list.iter()
            .filter(|line| line.pool == wellplank_core::core::INSTANCE_POOL && !line.leaving)
            .min_by_key(rank)
            .filter(|line| line.instance != self.settings.instance)
            .map(|line| line.address)
    }
}
