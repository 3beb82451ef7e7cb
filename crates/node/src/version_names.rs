//! Names of versions in the platform's store: writes and reads them as the core asks.

use super::*;
use members::{LocalMember, Members};
use rand::RngExt;
use wellplank_core::{
    informer_io::Consistency,
    names::{Call, NAMING_MS, Name},
    version::Version,
};

/// Key prefix of the names. The rest of a key is the number of the version and that of its pool, its value the name of the pool.
const PREFIX: &str = "wellplank/versions/";

/// Time-out of a call. Streams of unknown origin wait for a read, and capacity may for a write.
const CALL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between the first two attempts to find or write names; doubled with each further one. The copy of the store that is
/// read may be seconds old.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// Longest time between two attempts.
const RETRY_INTERVAL_MAX: Duration = Duration::from_secs(3);

/// Time for which names are looked for and written; the core asks again for those whose versions are still listed then.
const NAMING_TIME: Duration = Duration::from_millis(NAMING_MS);

/// Time after which instances that do not write names do, for each instance before them in the order of those that write: entries of
/// instances that are lost last for seconds, and upstreams get work without a name behind 1.5 s.
const STAND_IN_INTERVAL: Duration = Duration::from_millis(50);

/// Time in which a name that is written by others is found, before any other instance writes it.
const STAND_IN_AFTER: Duration = Duration::from_millis(600);

/// Time over which instances of a large fleet spread their first look at whether another one has written a name.
const SPREAD: Duration = Duration::from_millis(200);

/// Maximum number of names that one call writes.
const BATCH: usize = 32;

/// Lease identifier of an item that stays until it is removed.
const NO_LEASE: u64 = 0;

/// Parameters of the task.
pub(crate) struct VersionNames {
    /// What the core asks for.
    pub calls: mpsc::UnboundedReceiver<Call>,
    /// Client of the store.
    pub client: platform_store::Client,
    /// The core task.
    pub driver: Driver,
    /// Other instances.
    pub members: watch::Receiver<Members>,
    /// This instance.
    pub own: LocalMember,
    /// Where it is published whether the store names several versions of a pool.
    pub several: watch::Sender<bool>,
}

/// What each call needs.
#[derive(Clone)]
struct Session {
    client: platform_store::Client,
    driver: Driver,
    members: watch::Receiver<Members>,
    own: LocalMember,
    several: watch::Sender<bool>,
}

impl VersionNames {
    /// Runs until the instance ends.
    pub async fn run(mut self) {
        let session = Session {
            client: self.client,
            driver: self.driver,
            members: self.members,
            own: self.own,
            several: self.several,
        };
        let mut availability = session.client.availability();
        let mut era = availability.borrow().era();
        loop {
            let call = tokio::select! {
                call = self.calls.recv() => call,
                Ok(()) = availability.changed() => {
                    let current_era = availability.borrow_and_update().era();
                    if current_era > era {
                        era = current_era;
                        session.driver.send_event(Event::NamesLost);
                    }
                    continue;
                }
            };
            let Some(call) = call else {
                return;
            };
            let session = session.clone();
            match call {
                Call::Forget(name) if session.is_writer() => {
                    tokio::spawn(async move { session.forget(&name).await });
                }
                Call::Forget(_) => {}
                Call::Name(names) => {
                    tokio::spawn(async move { session.name(names).await });
                }
                Call::Read(number) => {
                    tokio::spawn(async move { session.read_for(number).await });
                }
            }
        }
    }
}

impl Session {
    /// Whether this instance writes names on behalf of all.
    fn is_writer(&self) -> bool {
        self.own.persists_streams(&self.members.borrow())
    }

    /// Time after which this instance writes names in place of those that write for all.
    fn stand_in_time(&self) -> Duration {
        let before = self.own.count_before(self.members.borrow().keys());
        STAND_IN_AFTER + STAND_IN_INTERVAL * before as u32
    }

    async fn read(&self, consistency: Consistency) -> Result<Vec<Name>, Error> {
        let read = self.client.read_prefix(PREFIX, CALL_TIMEOUT, consistency);
        let (items, position) = read.await?;
        if position.era < self.client.availability().borrow().era() {
            return Err(Error::Store(format!("{PREFIX}: read before a restore")));
        }
        let names: Vec<Name> = items.iter().filter_map(decode).collect();
        let pools: BTreeSet<&Arc<str>> = names.iter().map(|name| &name.pool).collect();
        let is_several = pools.len() < names.len();
        self.several
            .send_if_modified(|several| std::mem::replace(several, is_several) != is_several);
        Ok(names)
    }

    async fn read_for(&self, number: u64) {
        let names = match self.read(Consistency::Linearizable).await {
            Ok(names) => Some(names),
            Err(error) => {
                debug!("reading the names of versions failed: {error}");
                None
            }
        };
        self.driver
            .send_event(Event::VersionsRead { names, number });
    }

    /// Has names written that are not in the store yet: by this instance if it writes them on behalf of all, otherwise by
    /// those that do.
    async fn name(&self, mut names: Vec<Name>) {
        if !self.is_writer() {
            let delay = rand::rng().random_range(Duration::ZERO..SPREAD);
            sleep(delay).await;
        }
        let begun = Instant::now();
        let mut pause = RETRY_INTERVAL;
        loop {
            let stands_in = !self.is_writer() && begun.elapsed() >= self.stand_in_time();
            // What only an old copy lacks is not written by one more.
            let consistency = if stands_in {
                Consistency::Linearizable
            } else {
                Consistency::Serializable
            };
            let read = self.read(consistency).await;
            let is_read = read.is_ok();
            if let Ok(known) = read {
                names.retain(|name| !known.contains(name));
                self.driver.send_event(Event::VersionsNamed(known));
            }
            if !names.is_empty() && (self.is_writer() || stands_in && is_read) {
                self.write_all(&mut names).await;
            }
            if names.is_empty() || begun.elapsed() + pause >= NAMING_TIME {
                return;
            }
            sleep(pause).await;
            pause = RETRY_INTERVAL_MAX.min(2 * pause);
        }
    }

    /// Writes names; those that are written are taken from the list.
    async fn write_all(&self, names: &mut Vec<Name>) {
        if let Err(error) = self.write(names).await {
            debug!("naming versions failed: {error}");
            return;
        }
        let written = std::mem::take(names);
        self.driver.send_event(Event::VersionsNamed(written));
        // Shows whether a pool has several versions now; if it fails, the next one does.
        drop(self.read(Consistency::Linearizable).await);
    }

    async fn write(&self, names: &[Name]) -> Result<(), Error> {
        for batch in names.chunks(BATCH) {
            let puts: Vec<(String, &[u8])> = batch
                .iter()
                .map(|name| (key(name), name.pool.as_bytes()))
                .collect();
            let call = platform::store::put_all(&puts, NO_LEASE);
            let status = self.client.call(call, CALL_TIMEOUT).await?.status;
            if status != StatusCode::OK {
                return Err(Error::Store(format!("{PREFIX}: {status}")));
            }
        }
        Ok(())
    }

    /// Removes a name; if that fails, it stays until another instance does.
    async fn forget(&self, name: &Name) {
        let removed = platform::store::remove(&key(name));
        if let Err(error) = self.client.call(removed, CALL_TIMEOUT).await {
            debug!("removing the name of a version failed: {error}");
        }
        drop(self.read(Consistency::Linearizable).await);
    }
}

/// Key of a name. Pools whose upstreams state no version have the same number for it.
fn key(name: &Name) -> String {
    let pool = wellplank_core::upstream::id(&name.pool);
    format!("{PREFIX}{:016x}-{pool:016x}", name.version.0)
}

/// The name in an item of the store; `None` if another program wrote it.
fn decode(item: &platform::store::Item) -> Option<Name> {
    let (version, _) = item.key.strip_prefix(PREFIX)?.split_once('-')?;
    let version = Version(u64::from_str_radix(version, 16).ok()?);
    let pool = std::str::from_utf8(item.bytes().ok()?).ok()?;
    let pool = pool.into();
    Some(Name { pool, version })
}
