//! Commits the claims of one bucket to the key-value service.
//!
//! Claims that arrive during a write, or before the bucket may be written again, are batched into the
//! next write, so the rate of writes is bounded regardless of the rate of claims.

use super::*;

/// Time after which claims that could not be committed fail as `Unavailable`.
const COMMIT_TIMEOUT: Duration = Duration::from_secs(3);

/// Time between two attempts after an error of the service.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Identifiers of the leases that this instance knows to exist.
#[derive(Default)]
pub(crate) struct Leases(tokio::sync::Mutex<HashSet<u64>>);

/// Cached entry of the bucket.
enum CachedEntry {
    /// Its last known state, which may be stale; `None` if it does not exist.
    Known(Option<store::Entry>),
    /// It must be read first.
    Unknown,
}

/// Commits the claims of one bucket.
pub(crate) struct Committer {
    bucket: claim::BucketId,
    cached: CachedEntry,
    driver: Driver,
    leases: Arc<Leases>,
    store: Store,
    ttl_ms: u64,
    write_interval: Duration,
}

impl Leases {
    /// Creates a lease unless it is known to exist.
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
    /// Creates a committer that waits for `write_interval` after each batch.
    pub fn new(
        driver: Driver,
        store: Store,
        leases: Arc<Leases>,
        bucket: claim::BucketId,
        ttl_ms: u64,
        write_interval: Duration,
    ) -> Self {
        Self {
            bucket,
            // Most buckets are new; if this one is not, the first swap fails and returns its entry.
            cached: CachedEntry::Known(None),
            driver,
            leases,
            store,
            ttl_ms,
            write_interval,
        }
    }

    /// Commits claims until their channel is closed.
    pub async fn run(mut self, mut claims: mpsc::UnboundedReceiver<claimer::PendingClaim>) {
        let mut batch = Vec::new();
        while let Some(pending) = claims.recv().await {
            batch.push(pending);
            while let Ok(pending) = claims.try_recv() {
                batch.push(pending);
            }
            self.commit(&mut batch).await;
            sleep(self.write_interval).await;
        }
    }

    /// Commits a batch of claims: reads, adds, and swaps until a swap succeeds.
    async fn commit(&mut self, batch: &mut Vec<claimer::PendingClaim>) {
        let start = Instant::now();
        while start.elapsed() < COMMIT_TIMEOUT {
            match self.attempt(batch).await {
                Ok(Some(outcomes)) => {
                    for (pending, outcome) in batch.drain(..).zip(outcomes) {
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
        for pending in batch.drain(..) {
            pending.complete(&self.driver, ClaimOutcome::Unavailable);
        }
    }

    /// One attempt; `None` if another instance wrote the bucket in between.
    async fn attempt(
        &mut self,
        batch: &[claimer::PendingClaim],
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
                .ok_or_else(|| Error::Store(format!("{key} does not contain claims")))?,
        };
        let previous_count = claims.len();
        let outcomes = batch
            .iter()
            .map(|pending| claims.add(&pending.claim))
            .collect();
        let expected = entry.as_ref().map_or(0, |entry| entry.revision);
        if claims.len() == previous_count {
            // No claim is new. The cached entry may be stale, but claims are never removed.
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
            store::SwapOutcome::Written(revision) => {
                self.cached = CachedEntry::Known(Some(store::Entry { revision, value }));
                Ok(Some(outcomes))
            }
            store::SwapOutcome::Conflict(entry) => {
                self.cached = CachedEntry::Known(entry);
                Ok(None)
            }
        }
    }
}
