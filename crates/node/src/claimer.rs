//! Claims of idempotency keys: each is committed by the instance that owns its place, so that
//! instances do not write against each other, and the claims of one place share its writes.
//!
//! Which instance owns a place is only a hint: whoever commits does it by compare-and-swap, and an
//! owner that does not answer in time is passed by.

use super::*;

/// Places that are written at the same time: two slices of time, each with all its buckets.
const HOT_PLACES: u64 = 2 * claim::BUCKETS;

/// Slices after which the committer of a place is ended.
const IDLE_SLICES: u64 = 30;

/// Where the outcome of a claim goes.
#[derive(Debug)]
pub(crate) enum Settle {
    /// To a request of this instance.
    Here(request::Key),
    /// To the link of the instance that handed it on.
    There(oneshot::Sender<ClaimOutcome>),
}

/// A claim to settle.
#[derive(Debug)]
pub(crate) struct Order {
    /// The claim.
    pub claim: Claim,
    /// Whether it must be committed here, whoever owns its place.
    pub here: bool,
    /// Where its outcome goes.
    pub settle: Settle,
}

/// What settling claims needs.
pub(crate) struct Claimer {
    pub driver: Driver,
    pub list: watch::Receiver<Vec<list::Line>>,
    pub orders: mpsc::UnboundedSender<Order>,
    pub settings: Settings,
    pub store: Store,
}

impl Order {
    /// Tells whoever waits.
    pub fn settle(self, driver: &Driver, outcome: ClaimOutcome) {
        match self.settle {
            Settle::Here(request) => driver.send_event(Event::Claimed { outcome, request }),
            Settle::There(sender) => {
                let _ = sender.send(outcome);
            }
        }
    }
}

impl Claimer {
    /// Settles claims until the instance ends.
    pub async fn run(self, mut orders: mpsc::UnboundedReceiver<Order>) {
        let leases = Arc::new(committer::Leases::default());
        let mut committers: HashMap<claim::BucketId, mpsc::UnboundedSender<Order>> = HashMap::new();
        let mut forwarders: HashMap<SocketAddr, mpsc::UnboundedSender<Order>> = HashMap::new();
        while let Some(order) = orders.recv().await {
            let place = order.claim.bucket_id();
            let owner = if order.here { None } else { self.owner(place) };
            let sender = if let Some(owner) = owner {
                forwarders.retain(|_, sender| !sender.is_closed());
                forwarders
                    .entry(owner)
                    .or_insert_with(|| self.forward(owner))
            } else {
                committers.retain(|other, sender| {
                    other.slice + IDLE_SLICES >= place.slice && !sender.is_closed()
                });
                committers
                    .entry(place)
                    .or_insert_with(|| self.commit(place, &leases))
            };
            let unsent = sender.send(order).err();
            if let Some(error) = unsent {
                // The task ended since the look above; the next look starts another.
                let _ = self.orders.send(error.0);
            }
        }
    }

    fn commit(
        &self,
        place: claim::BucketId,
        leases: &Arc<committer::Leases>,
    ) -> mpsc::UnboundedSender<Order> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let gap = Duration::from_micros(1_000_000 * HOT_PLACES / self.settings.claim_writes);
        let committer = committer::Committer::new(
            self.driver.clone(),
            self.store.clone(),
            leases.clone(),
            place,
            claim::BucketId::ttl_ms(&self.settings.core),
            gap,
        );
        tokio::spawn(committer.run(receiver));
        sender
    }

    fn forward(&self, owner: SocketAddr) -> mpsc::UnboundedSender<Order> {
        let (sender, receiver) = mpsc::unbounded_channel();
        let forwarder =
            claim_forwarder::ClaimForwarder::new(owner, self.orders.clone(), self.driver.clone());
        tokio::spawn(forwarder.run(receiver));
        sender
    }

    /// Address of the instance that commits a place; `None` if it is this one.
    fn owner(&self, place: claim::BucketId) -> Option<SocketAddr> {
        let list = self.list.borrow();
        let rank = |line: &&list::Line| {
            upstream::id(&format!(
                "{}/{}/{}",
                place.slice, place.bucket, line.instance
            ))
        };
        list.iter()
            .filter(|line| line.pool == wellplank_core::core::INSTANCE_POOL && !line.leaving)
            .min_by_key(rank)
            .filter(|line| line.instance != self.settings.instance)
            .map(|line| line.address)
    }
}
