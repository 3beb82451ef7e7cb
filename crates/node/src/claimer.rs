//! Claims of idempotency keys: each is committed by the instance that owns its bucket, so that
//! instances do not write against each other, and the claims of one bucket share its writes.
//!
//! Which instance owns a bucket is only a hint: whoever commits does it by compare-and-swap, and an
//! owner that does not answer in time is passed by.

use super::*;

/// Places that are written at the same time: two slices of time, each with all its buckets.
const HOT_BUCKETS: u64 = 2 * claim::BUCKETS;

/// Slices after which the committer of a bucket is ended.
const BUCKET_IDLE_SLICES: u64 = 30;

/// Where the outcome of a claim goes.
#[derive(Debug)]
pub(crate) enum ReplyTo {
    /// To a request of this instance.
    Request(request::Key),
    /// To the link of the instance that handed it on.
    Peer(oneshot::Sender<ClaimOutcome>),
}

/// A claim to settle.
#[derive(Debug)]
pub(crate) struct PendingClaim {
    /// The claim.
    pub claim: Claim,
    /// Whether it must be committed here, whoever owns its bucket.
    pub commit_here: bool,
    /// Where its outcome goes.
    pub reply_to: ReplyTo,
}

/// What settling claims needs.
pub(crate) struct Claimer {
    pub driver: Driver,
    pub list: watch::Receiver<Vec<list::Line>>,
    pub claims: mpsc::UnboundedSender<PendingClaim>,
    pub settings: Settings,
    pub store: Store,
}

impl PendingClaim {
    /// Tells whoever waits.
    pub fn complete(self, driver: &Driver, outcome: ClaimOutcome) {
        match self.reply_to {
            ReplyTo::Request(request) => driver.event(Event::Claimed { outcome, request }),
            ReplyTo::Peer(sender) => {
                let _ = sender.send(outcome);
            }
        }
    }
}

impl Claimer {
    /// Settles claims until the instance ends.
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
            let rejected = sender.send(pending).err();
            if let Some(error) = rejected {
                // The task ended since the look above; the next look starts another.
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
        let forwarder = forwarder::Forwarder::new(owner, self.claims.clone(), self.driver.clone());
        tokio::spawn(forwarder.run(receiver));
        sender
    }

    /// Address of the instance that commits a bucket; `None` if it is this one.
    fn owner(&self, bucket: claim::BucketId) -> Option<SocketAddr> {
        let list = self.list.borrow();
        let rank = |line: &&list::Line| {
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
