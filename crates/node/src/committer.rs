//! Commits the claims of one place to the key-value service.
//!
//! Claims that come while a write is under way, or before the place may be written again, go into
//! the next write together, so the rate of writes is bounded however many claims come.

use super::*;

/// Time after which claims are given up on, `Unavailable`.
const PATIENCE: Duration = Duration::from_secs(3);

/// Time between two tries at a service that does not answer.
const RETRY: Duration = Duration::from_millis(50);

/// Leases that this instance knows to exist.
#[derive(Default)]
pub(crate) struct Leases(tokio::sync::Mutex<HashSet<u64>>);

/// What is known of a place's entry.
enum Seen {
    /// Its last known state; it may have changed since.
    Known(Option<store::Entry>),
    /// Nothing.
    Unknown,
}

/// Commits the claims of one place.
pub(crate) struct Committer {
    driver: Driver,
    gap: Duration,
    leases: Arc<Leases>,
    place: claim::BucketId,
    seen: Seen,
    store: Store,
    ttl_ms: u64,
}

impl Leases {
    /// Makes sure that a lease exists.
    async fn ensure(&self, store: &Store, lease: u64, ttl_ms: u64) -> Result<(), Error> {
        let mut known = self.0.lock().await;
        if !known.contains(&lease) {
            store.ensure_lease(lease, ttl_ms.div_ceil(1_000)).await?;
            known.insert(lease);
        }
        Ok(())
    }

    async fn forget(&self, lease: u64) {
        self.0.lock().await.remove(&lease);
    }
}

impl Committer {
    /// A committer of a place, which writes it once in `gap` at most.
    pub fn new(
        driver: Driver,
        store: Store,
        leases: Arc<Leases>,
        place: claim::BucketId,
        ttl_ms: u64,
        gap: Duration,
    ) -> Self {
        Self {
            driver,
            gap,
            leases,
            place,
            // Most places are new; if this one is not, the first swap says what it holds.
            seen: Seen::Known(None),
            store,
            ttl_ms,
        }
    }

    /// Serves the place until nobody asks any more.
    pub async fn run(mut self, mut orders: mpsc::UnboundedReceiver<claimer::Order>) {
        let mut group = Vec::new();
        while let Some(order) = orders.recv().await {
            group.push(order);
            while let Ok(order) = orders.try_recv() {
                group.push(order);
            }
            self.commit(&mut group).await;
            sleep(self.gap).await;
        }
    }

    /// Settles a group of claims: reads, adds, and swaps until a swap succeeds.
    async fn commit(&mut self, group: &mut Vec<claimer::Order>) {
        let start = Instant::now();
        while start.elapsed() < PATIENCE {
            match self.attempt(group).await {
                Ok(Some(outcomes)) => {
                    for (order, outcome) in group.drain(..).zip(outcomes) {
                        order.settle(&self.driver, outcome);
                    }
                    return;
                }
                Ok(None) => {}
                Err(error) => {
                    debug!("claim: {error}");
                    self.seen = Seen::Unknown;
                    self.leases.forget(self.place.lease()).await;
                    sleep(RETRY).await;
                }
            }
        }
        for order in group.drain(..) {
            order.settle(&self.driver, ClaimOutcome::Unavailable);
        }
    }

    /// One try; `None` if another instance wrote in between.
    async fn attempt(
        &mut self,
        group: &[claimer::Order],
    ) -> Result<Option<Vec<ClaimOutcome>>, Error> {
        let key = format!("wellplank/claim/{}/{}", self.place.slice, self.place.bucket);
        let entry = match std::mem::replace(&mut self.seen, Seen::Unknown) {
            Seen::Known(entry) => entry,
            Seen::Unknown => self.store.get(&key).await?,
        };
        let mut bucket = match &entry {
            None => claim::Bucket::default(),
            Some(entry) => claim::Bucket::decode(&entry.value)
                .ok_or_else(|| Error::Store(format!("{key} holds no claims")))?,
        };
        let before = bucket.len();
        let outcomes = group.iter().map(|order| bucket.add(&order.claim)).collect();
        let expected = entry.as_ref().map_or(0, |entry| entry.revision);
        if bucket.len() == before {
            // Nothing new to write. The entry may be old, but claims are never taken back.
            self.seen = Seen::Known(entry);
            return Ok(Some(outcomes));
        }
        let lease = self.place.lease();
        self.leases.ensure(&self.store, lease, self.ttl_ms).await?;
        let value = bucket.encode();
        let write = store::Write {
            expected,
            key: &key,
            lease,
            value: &value,
        };
        match self.store.swap(write).await? {
            store::SwapOutcome::Written(revision) => {
                self.seen = Seen::Known(Some(store::Entry { revision, value }));
                Ok(Some(outcomes))
            }
            store::SwapOutcome::Conflict(entry) => {
                self.seen = Seen::Known(entry);
                Ok(None)
            }
        }
    }
}
