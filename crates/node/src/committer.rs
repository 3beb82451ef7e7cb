//! Commits the claims of one place to the key-value service.
//!
//! Claims that come while a write is under way, or before the place may be written again, go into
//! the next write together, so the rate of writes is bounded however many claims come.

use super::*;

/// Time after which claims are given up on, `Unavailable`.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time between two tries at a service that does not answer.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Leases that this instance knows to exist.
#[derive(Default)]
pub(crate) struct Leases(tokio::sync::Mutex<HashSet<u64>>);

/// What is known of a place's entry.
enum CachedEntry {
    /// Its last known state; it may have changed since.
    Known(Option<store::Entry>),
    /// Nothing.
    Unknown,
}

/// Commits the claims of one bucket.
pub(crate) struct Committer {
    driver: Driver,
    write_interval: Duration,
    leases: Arc<Leases>,
    bucket: claim::BucketId,
    cached: CachedEntry,
    store: Store,
    ttl_ms: u64,
}

impl Leases {
    /// Makes sure that a lease exists.
    async fn ensure(&self, store: &Store, lease: u64, ttl_ms: u64) -> Result<(), Error> {
        let mut known = self.0.lock().await;
        if !known.contains(&lease) {
            store.grant(lease, ttl_ms.div_ceil(1_000)).await?;
            known.insert(lease);
        }
        Ok(())
    }

    async fn forget(&self, lease: u64) {
        self.0.lock().await.remove(&lease);
    }
}

impl Committer {
    /// A committer of a bucket, which writes it once in `write_interval` at most.
    pub fn new(
        driver: Driver,
        store: Store,
        leases: Arc<Leases>,
        bucket: claim::BucketId,
        ttl_ms: u64,
        write_interval: Duration,
    ) -> Self {
        Self {
            driver,
            write_interval,
            leases,
            bucket,
            // Most places are new; if this one is not, the first swap says what it holds.
            cached: CachedEntry::Known(None),
            store,
            ttl_ms,
        }
    }

    /// Serves the place until nobody asks any more.
    pub async fn run(mut self, mut claims: mpsc::UnboundedReceiver<claimer::PendingClaim>) {
        let mut group = Vec::new();
        while let Some(pending) = claims.recv().await {
            group.push(pending);
            while let Ok(pending) = claims.try_recv() {
                group.push(pending);
            }
            self.commit(&mut group).await;
            sleep(self.write_interval).await;
        }
    }

    /// Settles a group of claims: reads, adds, and swaps until a swap succeeds.
    async fn commit(&mut self, group: &mut Vec<claimer::PendingClaim>) {
        let start = Instant::now();
        while start.elapsed() < COMMIT_TIMEOUT {
            match self.attempt(group).await {
                Ok(Some(outcomes)) => {
                    for (pending, outcome) in group.drain(..).zip(outcomes) {
                        pending.complete(&self.driver, outcome);
                    }
                    return;
                }
                Ok(None) => {}
                Err(error) => {
                    debug!("claim: {error}");
                    self.cached = CachedEntry::Unknown;
                    self.leases.forget(self.bucket.lease()).await;
                    sleep(RETRY_INTERVAL).await;
                }
            }
        }
        for pending in group.drain(..) {
            pending.complete(&self.driver, ClaimOutcome::Unavailable);
        }
    }

    /// One try; `None` if another instance wrote in between.
    async fn attempt(
        &mut self,
        group: &[claimer::PendingClaim],
    ) -> Result<Option<Vec<ClaimOutcome>>, Error> {
        let key = format!(
            "wellplank/claim/{}/{}",
            self.bucket.slice, self.bucket.bucket
        );
        let entry = match std::mem::replace(&mut self.cached, CachedEntry::Unknown) {
            CachedEntry::Known(entry) => entry,
            CachedEntry::Unknown => self.store.get(&key).await?,
        };
        let mut claims = match &entry {
            None => claim::Bucket::default(),
            Some(entry) => claim::Bucket::decode(&entry.value)
                .ok_or_else(|| Error::Store(format!("{key} holds no claims")))?,
        };
        let before = claims.len();
        let outcomes = group
            .iter()
            .map(|pending| claims.add(&pending.claim))
            .collect();
        let expected = entry.as_ref().map_or(0, |entry| entry.revision);
        if claims.len() == before {
            // Nothing new to write. The entry may be old, but claims are never taken back.
            self.cached = CachedEntry::Known(entry);
            return Ok(Some(outcomes));
        }
        let lease = self.bucket.lease();
        self.leases.ensure(&self.store, lease, self.ttl_ms).await?;
        let value = claims.encode();
        let write = store::Write {
            expected,
            key: &key,
            lease,
            value: &value,
        };
        match self.store.swap(write).await? {
            store::Swap::Done(revision) => {
                self.cached = CachedEntry::Known(Some(store::Entry { revision, value }));
                Ok(Some(outcomes))
            }
            store::Swap::Lost(entry) => {
                self.cached = CachedEntry::Known(entry);
                Ok(None)
            }
        }
    }
}
