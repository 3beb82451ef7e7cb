//! What instances keep in the platform's store: their entries, and the streams that they relay, so that
//! these are known after all instances were lost at once.

use super::*;
use members::{Member, Members, Own};
use rand::RngExt;
use wellplank_core::{fingerprint::RequestFingerprint, quarantine::CrashHistory};

/// Start of the keys under which streams are kept.
const STREAMS: &str = "wellplank/streams/";

/// Time that an instance's entries outlive it: longer than a restart takes.
const LEASE: Duration = Duration::from_secs(20);

/// Time between two renewals of the lease; for as long and more they may fail.
const RENEW: Duration = Duration::from_secs(8);

/// Time between two looks at whether the streams are to be written; each write is paid for.
const KEEP: Duration = Duration::from_millis(700);

/// Time between two tries to renew a lease, while it runs for long enough yet: refused calls are paid for in
/// full, and a store that is away refuses those of all instances.
const RENEW_AGAIN: Duration = Duration::from_secs(3);

/// Time from a renewal after which a lease is renewed as often as it is looked at, until it succeeds.
const RENEW_BY: Duration = Duration::from_secs(14);

/// Time that a call may take.
const PATIENCE: Duration = Duration::from_secs(1);

/// Time over which instances spread the writing of all again, behind a return of the store from an older copy: its leases are
/// gone with its items, 300 instances would else write three items each in the same moment, of some hundred a second that
/// the store takes. Others believe their entries for longer.
const AGAIN: Duration = Duration::from_millis(1_500);

/// In place of a lease: the item stays until it is removed.
const NO_LEASE: u64 = 0;

/// Start of the keys under which requests are kept that end their upstreams.
const QUARANTINE: &str = "wellplank/quarantine/";

/// Streams known, at most: as kept they take half of what a value may hold. Beyond it the older half goes.
const KEPT: usize = 4_000;

/// Time for which a stream is kept that is not told of again: longer than a caller waits.
const KEPT_FOR: Duration = Duration::from_secs(30);

/// Streams that instances relay, by the identity of their prompt, and when each was told of.
#[derive(Clone, Debug, Default)]
pub struct Streams(BTreeMap<u64, (Instant, peers::Sighting)>);

impl Streams {
    /// The streams as they are kept, without those that were told of too long ago.
    fn encode(&self) -> Vec<u8> {
        let fresh = self.0.values().filter(|(at, _)| at.elapsed() < KEPT_FOR);
        let sightings = fresh.map(|(_, sighting)| sighting.clone()).collect();
        peers::Sightings { sightings }.encode_to_vec()
    }

    /// Forgets the older half, among them those whose end was lost on its way.
    fn forget_older(&mut self) {
        let mut times: Vec<Instant> = self.0.values().map(|(at, _)| *at).collect();
        let middle = times.len() / 2;
        let (_, middle, _) = times.select_nth_unstable(middle);
        self.0.retain(|_, (at, _)| *at > *middle);
    }

    /// Whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Streams known.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Takes in what an instance told of a stream.
    pub fn take(&mut self, sighting: &peers::Sighting) {
        match sighting.stage() {
            peers::Stage::Ended | peers::Stage::Left => {
                self.0.remove(&sighting.prompt);
            }
            peers::Stage::Started | peers::Stage::Streaming => {
                if self.0.len() >= KEPT {
                    self.forget_older();
                }
                let told = (Instant::now(), sighting.clone());
                self.0.insert(sighting.prompt, told);
            }
            // What has not been sent leaves nothing to go on from.
            peers::Stage::Waiting => {}
        }
    }
}

/// What is kept of a request that ends its upstreams; it outlives all instances.
#[derive(Clone, Debug)]
pub(crate) enum Kept {
    /// The ends that it is guilty by.
    Ends(RequestFingerprint, CrashHistory),
    /// It is guilty no longer.
    Nothing(RequestFingerprint),
}

impl Kept {
    fn print(&self) -> RequestFingerprint {
        match self {
            Self::Ends(print, _) | Self::Nothing(print) => *print,
        }
    }

    fn call(&self) -> platform::store::Call {
        let key = format!("{QUARANTINE}{}", self.print());
        match self {
            Self::Ends(_, account) => {
                let ends = account::encode(account);
                let value = peers::Ends { ends }.encode_to_vec();
                platform::store::put(&key, &value, NO_LEASE)
            }
            Self::Nothing(_) => platform::store::remove(&key),
        }
    }
}

/// What the task needs.
pub(crate) struct Keeper {
    /// Client of the store.
    pub client: feed::Client,
    /// The core task.
    pub driver: Driver,
    /// Requests to be refused also after all instances were lost.
    pub kept: mpsc::UnboundedReceiver<Kept>,
    /// Where this instance's datagrams come.
    pub listen: SocketAddr,
    /// Other instances.
    pub members: watch::Receiver<Members>,
    /// This instance.
    pub own: Own,
    /// Requests that this instance wrote since they end their upstreams: a store that comes back from an older copy may lack
    /// them.
    pub quarantined: BTreeMap<RequestFingerprint, Kept>,
    /// Streams that instances told of, this one's with them.
    pub streams: watch::Receiver<Streams>,
}

impl Keeper {
    /// Enters this instance in the store and keeps streams there, for ever. What was kept before its start
    /// is read first.
    pub async fn run(mut self) {
        self.recall_ends().await;
        self.recall().await;
        let mut lease = Lease {
            client: self.client.clone(),
            granted: None,
        };
        let member = Member {
            address: self.listen,
            data_centre: self.own.data_centre.clone(),
        };
        let entry = member.encode();
        let key = format!("{}{}", members::PREFIX, self.own.name);
        let kept = format!("{STREAMS}{}", self.own.name);
        let mut ticks = interval(KEEP);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut unwritten = BTreeMap::new();
        let mut era = self.client.absence().borrow().era();
        // When all is written again, behind a return of the store from an older copy.
        let mut again = None;
        loop {
            tokio::select! {
                _ = ticks.tick() => {}
                Some(kept) = self.kept.recv() => {
                    unwritten.insert(kept.print(), kept);
                }
            }
            let newest = self.client.absence().borrow().era();
            if newest > era {
                era = newest;
                let spread = rand::rng().random_range(Duration::ZERO..AGAIN);
                again = Some(Instant::now() + spread);
            }
            if again.is_some_and(|again| again <= Instant::now()) {
                again = None;
                lease.granted = None;
                self.streams.mark_changed();
                unwritten.extend(self.quarantined.clone());
            }
            self.write(&mut unwritten).await;
            if let Err(error) = lease.hold(&key, &entry).await {
                debug!("entering this instance: {error}");
                continue;
            }
            let keeps = self.own.keeps(&self.members.borrow());
            if keeps && self.streams.has_changed().unwrap_or(false) {
                let streams = self.streams.borrow_and_update().encode();
                if let Err(error) = lease.put(&kept, &streams).await {
                    debug!("keeping streams: {error}");
                }
            }
        }
    }

    /// Writes what is to be kept of requests that end their upstreams; what can not be written now is tried again.
    async fn write(&mut self, unwritten: &mut BTreeMap<RequestFingerprint, Kept>) {
        while let Some((print, kept)) = unwritten.pop_first() {
            let written = match self.client.call(kept.call(), PATIENCE).await {
                Ok(answer) if answer.status == StatusCode::OK => {
                    self.note_kept(print, kept);
                    continue;
                }
                Ok(answer) => answer.status.to_string(),
                Err(error) => error.to_string(),
            };
            debug!("keeping {print}: {written}");
            unwritten.insert(print, kept);
            return;
        }
    }

    /// Remembers what is written, to write it again.
    fn note_kept(&mut self, print: RequestFingerprint, kept: Kept) {
        match kept {
            Kept::Ends(..) => self.quarantined.insert(print, kept),
            Kept::Nothing(_) => self.quarantined.remove(&print),
        };
    }

    /// Reads the requests that were kept since they end their upstreams. Read before the streams, so that none of them goes on.
    async fn recall_ends(&self) {
        let mut link = feed::Link::new("quarantine", &self.client);
        let items = loop {
            let age = wellplank_core::informer_io::Consistency::Serializable;
            let read = self.client.items(QUARANTINE, link.patience(), age);
            match read.await {
                Ok((items, _)) => break items,
                Err(error) => link.bad(&error).await,
            }
        };
        for item in items {
            let read = item.bytes().map(peers::Ends::decode);
            match read {
                Ok(Ok(kept)) => {
                    let account = account::decode(kept.ends);
                    self.driver.send_event(Event::CrashReported(account.into()));
                }
                Ok(Err(error)) => warn!("{} can not be read: {error}", item.key),
                Err(error) => warn!("{} can not be read: {error}", item.key),
            }
        }
    }

    /// Reads the streams that were kept before this instance started; a store that is away is waited for,
    /// since nothing can be written to it either. Callers who come back noticed the loss of their instances
    /// only after seconds, so the read may be as old.
    async fn recall(&self) {
        let mut link = feed::Link::new("streams", &self.client);
        let items = loop {
            let read = self.client.items(
                STREAMS,
                link.patience(),
                wellplank_core::informer_io::Consistency::Serializable,
            );
            match read.await {
                Ok((items, _)) => break items,
                Err(error) => link.bad(&error).await,
            }
        };
        for item in items {
            let value = match item.bytes() {
                Ok(value) => value,
                Err(error) => {
                    warn!("streams that were kept can not be read: {error}");
                    continue;
                }
            };
            match peers::Sightings::decode(value) {
                Ok(kept) => gossip::sight(kept.sightings, &self.driver),
                Err(error) => warn!("{} can not be read: {error}", item.key),
            }
        }
        self.driver.send_event(Event::StreamsRestored);
    }
}

/// The lease that this instance's entries end with.
struct Lease {
    client: feed::Client,
    granted: Option<Granted>,
}

#[derive(Clone, Copy)]
struct Granted {
    id: u64,
    renewed: Instant,
    /// When it was tried last to renew it.
    tried: Instant,
}

impl Granted {
    /// A lease that was granted or renewed.
    fn new(id: u64, at: Instant) -> Self {
        Self {
            id,
            renewed: at,
            tried: at,
        }
    }

    /// Whether it is not to be renewed yet.
    fn holds(self) -> bool {
        let age = self.renewed.elapsed();
        age < RENEW || (age < RENEW_BY && self.tried.elapsed() < RENEW_AGAIN)
    }
}

impl Lease {
    /// Makes sure that the lease runs and this instance is entered.
    async fn hold(&mut self, key: &str, entry: &str) -> Result<(), Error> {
        match self.granted {
            Some(granted) if granted.holds() => Ok(()),
            Some(granted) => self.renew(granted).await,
            None => {
                let asked = Instant::now();
                let call = platform::store::grant_lease(LEASE);
                let feed::Answer { body, status, .. } = self.client.call(call, PATIENCE).await?;
                if status != StatusCode::OK {
                    return Err(Error::Store(format!("lease: {status}")));
                }
                let id = platform::store::decode_lease(&body)
                    .map_err(|error| Error::Store(error.to_string()))?;
                self.granted = Some(Granted::new(id, asked));
                self.put(key, entry.as_bytes()).await
            }
        }
    }

    async fn put(&mut self, key: &str, value: &[u8]) -> Result<(), Error> {
        let id = self.granted.map_or(0, |granted| granted.id);
        let call = platform::store::put(key, value, id);
        let status = self.client.call(call, PATIENCE).await?.status;
        match status {
            StatusCode::OK => Ok(()),
            StatusCode::NOT_FOUND => {
                // The lease has ended; the next look asks for a new one.
                self.granted = None;
                Err(Error::Store(format!("{key}: the lease has ended")))
            }
            status => Err(Error::Store(format!("{key}: {status}"))),
        }
    }

    async fn renew(&mut self, granted: Granted) -> Result<(), Error> {
        let asked = Instant::now();
        let call = platform::store::renew_lease(granted.id);
        self.granted = Some(Granted {
            tried: asked,
            ..granted
        });
        let status = self.client.call(call, PATIENCE).await?.status;
        match status {
            StatusCode::OK => {
                self.granted = Some(Granted::new(granted.id, asked));
                Ok(())
            }
            StatusCode::NOT_FOUND => {
                self.granted = None;
                Err(Error::Store("the lease has ended".into()))
            }
            status => Err(Error::Store(format!("renewing: {status}"))),
        }
    }
}
