//! Claims of idempotency keys, committed in groups to the key-value service.
//!
//! Claims of one place that come while a write is under way or the pace forbids one go into the
//! next write together, so the rate of writes is bounded however many claims come.

use super::*;

/// Time after which claims are given up on, `Unavailable`.
const PATIENCE: Duration = Duration::from_secs(3);

/// Time between two tries at a service that does not answer.
const RETRY: Duration = Duration::from_millis(50);

/// A claim to settle for a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Order {
    /// The claim.
    pub claim: Claim,
    /// The request it is for.
    pub request: request::Key,
}

/// Settles claims until the instance ends.
pub(crate) async fn run(
    settings: Settings,
    store: Store,
    driver: Driver,
    instances: watch::Receiver<Vec<list::Line>>,
    mut orders: mpsc::UnboundedReceiver<Order>,
) {
    let mut workers: HashMap<claim::Place, mpsc::UnboundedSender<Order>> = HashMap::new();
    let pace = Arc::new(Pace::new(settings.claim_writes, instances));
    let start = |place| {
        let (sender, receiver) = mpsc::unbounded_channel();
        let worker = Worker {
            driver: driver.clone(),
            entry: Seen::Unknown,
            pace: pace.clone(),
            place,
            settings: settings.clone(),
            store: store.clone(),
        };
        tokio::spawn(worker.run(receiver));
        sender
    };
    while let Some(order) = orders.recv().await {
        workers.retain(|_, worker| !worker.is_closed());
        let place = order.claim.place();
        let worker = workers.entry(place).or_insert_with(|| start(place));
        if worker.send(order).is_err() {
            // The worker ended since the look above.
            let worker = start(place);
            let _ = worker.send(order);
            workers.insert(place, worker);
        }
    }
}

/// Spreads the writes of an instance over time: its part of what all instances may write.
struct Pace {
    instances: watch::Receiver<Vec<list::Line>>,
    next: tokio::sync::Mutex<Instant>,
    writes: u64,
}

impl Pace {
    fn new(writes: u64, instances: watch::Receiver<Vec<list::Line>>) -> Self {
        Self {
            instances,
            next: tokio::sync::Mutex::new(Instant::now()),
            writes,
        }
    }

    /// Waits until this instance may write once more.
    async fn turn(&self) {
        let instances = peer::instances(&self.instances.borrow()).max(1) as u64;
        let gap = Duration::from_micros(1_000_000 * instances / self.writes);
        let wait = {
            let mut next = self.next.lock().await;
            let now = Instant::now();
            let turn = (*next).max(now);
            *next = turn + gap;
            turn - now
        };
        if !wait.is_zero() {
            sleep(wait).await;
        }
    }
}

/// What is known of a place's entry.
enum Seen {
    /// Its last known state; it may have changed since.
    Known(Option<store::Entry>),
    /// Nothing.
    Unknown,
}

/// Commits the claims of one place.
struct Worker {
    driver: Driver,
    entry: Seen,
    pace: Arc<Pace>,
    place: claim::Place,
    settings: Settings,
    store: Store,
}

impl Worker {
    /// Serves a place until its slice of time is long over.
    async fn run(mut self, mut orders: mpsc::UnboundedReceiver<Order>) {
        let idle = Duration::from_millis(2 * claim::SLICE_MS);
        let mut group = Vec::new();
        loop {
            match timeout(idle, orders.recv()).await {
                Ok(Some(order)) => group.push(order),
                Ok(None) => return,
                Err(_) => {
                    orders.close();
                    while let Ok(order) = orders.try_recv() {
                        group.push(order);
                    }
                    self.commit(&mut group).await;
                    return;
                }
            }
            self.pace.turn().await;
            while let Ok(order) = orders.try_recv() {
                group.push(order);
            }
            self.commit(&mut group).await;
        }
    }

    /// Settles a group of claims: reads, adds, and swaps until a swap succeeds.
    async fn commit(&mut self, group: &mut Vec<Order>) {
        let start = Instant::now();
        while start.elapsed() < PATIENCE {
            match self.attempt(group).await {
                Ok(Some(outcomes)) => {
                    for (order, outcome) in group.drain(..).zip(outcomes) {
                        self.settle(order, outcome);
                    }
                    return;
                }
                Ok(None) => {}
                Err(error) => {
                    debug!("claim: {error}");
                    self.entry = Seen::Unknown;
                    sleep(RETRY).await;
                }
            }
        }
        for order in group.drain(..) {
            self.settle(order, ClaimOutcome::Unavailable);
        }
    }

    /// One try; `None` if another instance wrote in between.
    async fn attempt(&mut self, group: &[Order]) -> Result<Option<Vec<ClaimOutcome>>, Error> {
        let key = key(self.place);
        let entry = match std::mem::replace(&mut self.entry, Seen::Unknown) {
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
            self.entry = Seen::Known(entry);
            return Ok(Some(outcomes));
        }
        let lease = self.place.lease();
        if expected == 0 {
            let ttl = claim::Place::ttl_ms(&self.settings.core).div_ceil(1_000);
            self.store.grant(lease, ttl).await?;
        }
        let value = bucket.encode();
        let write = store::Write {
            expected,
            key: &key,
            lease,
            value: &value,
        };
        match self.store.swap(write).await? {
            store::Swap::Done(revision) => {
                self.entry = Seen::Known(Some(store::Entry { revision, value }));
                Ok(Some(outcomes))
            }
            store::Swap::Lost(entry) => {
                self.entry = Seen::Known(entry);
                Ok(None)
            }
        }
    }

    fn settle(&self, order: Order, outcome: ClaimOutcome) {
        self.driver.event(Event::Claimed {
            outcome,
            request: order.request,
        });
    }
}

fn key(place: claim::Place) -> String {
    format!("wellplank/claim/{}/{}", place.slice, place.bucket)
}
