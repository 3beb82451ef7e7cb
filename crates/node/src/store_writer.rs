//! Writes this instance's entry, relayed streams and quarantined requests to the platform's store, so that they are
//! known even after all instances were lost at once.

use super::*;
use members::{LocalMember, Member, Members};
use rand::RngExt;
use wellplank_core::{fingerprint::RequestFingerprint, origin::RunId, quarantine::CrashHistory};

/// Key prefix of the stored streams.
const STREAMS_PREFIX: &str = "wellplank/streams/";

/// Time to live of the lease, for which entries outlive their instance: longer than a restart takes.
const LEASE_TTL: Duration = Duration::from_secs(20);

/// Interval between two renewals of the lease: they may fail for as long again and more before it expires.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(8);

/// Interval between two checks for changed streams; each write costs a paid call.
const WRITE_INTERVAL: Duration = Duration::from_millis(700);

/// The same where upstreams of a pool may be of several versions: a stream whose record is lost with all instances can not go
/// on there.
const VERSIONED_WRITE_INTERVAL: Duration = Duration::from_millis(100);

/// Bytes of records that an instance writes a second at most where it writes more often.
const WRITTEN_BYTES_PER_SECOND: f64 = 300_000.0;

/// Interval between two attempts to renew a lease that is not about to expire: refused calls are paid for in full, and
/// an unavailable store refuses those of all instances.
const RENEWAL_RETRY_INTERVAL: Duration = Duration::from_secs(3);

/// Age of a lease after which every check attempts to renew it, until one succeeds.
const RENEWAL_URGENT_AFTER: Duration = Duration::from_secs(14);

/// Time-out of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Time over which instances spread the rewriting of their items after the store was restored from a backup, which loses
/// items and leases. Otherwise 300 instances would write three items each at once, while the store takes about a hundred
/// a second. Other instances tolerate missing entries for longer than this.
const REWRITE_SPREAD: Duration = Duration::from_millis(1_500);

/// Lease identifier of an item that stays until it is removed.
const NO_LEASE: u64 = 0;

/// Key prefix of the stored requests that are quarantined because they crash their upstreams.
const QUARANTINE_PREFIX: &str = "wellplank/quarantine/";

/// Maximum number of streams: encoded, they take half of the maximum size of a value. Beyond it the older half is
/// evicted.
const STREAMS_MAX: usize = 4_000;

/// Maximum number of ended streams that are remembered.
const ENDED_MAX: usize = 100_000;

/// Time for which a stream is stored without another report: longer than a caller waits.
const STREAM_TTL: Duration = Duration::from_secs(30);

/// Streams that instances relay, by the run that identifies each over all attempts of its caller, with the time of the last
/// report.
#[derive(Clone, Debug, Default)]
pub struct Streams {
    /// Streams that have ended, in the order of their ends, with the hash of what they asked for. Their callers may come back
    /// for what they lack, and are not to be taken for those of others that ask for the same.
    ended: VecDeque<(Instant, u64, RunId)>,
    running: BTreeMap<RunId, (Instant, peers::Sighting)>,
}

impl Streams {
    /// Encodes the streams for the store in the order of their reports, without those whose last report is too old.
    fn encode(&self) -> Vec<u8> {
        let recent = self
            .running
            .values()
            .filter(|(at, _)| at.elapsed() < STREAM_TTL);
        let mut recent: Vec<&(Instant, peers::Sighting)> = recent.collect();
        recent.sort_by_key(|(at, _)| *at);
        let sightings = recent.into_iter().map(|(_, sighting)| sighting.clone());
        let sightings = sightings.collect();
        peers::Sightings { sightings }.encode_to_vec()
    }

    /// Removes the older half, including streams whose end was reported in a lost datagram.
    fn evict_older_half(&mut self) {
        let mut times: Vec<Instant> = self.running.values().map(|(at, _)| *at).collect();
        let middle = times.len() / 2;
        let (_, middle, _) = times.select_nth_unstable(middle);
        self.running.retain(|_, (at, _)| *at > *middle);
    }

    /// Record of the stream that a run began.
    pub fn get(&self, origin: RunId) -> Option<&peers::Sighting> {
        self.running.get(&origin).map(|(_, sighting)| sighting)
    }

    /// Records of all streams with this hash of what they ask for, those that have ended included.
    pub fn of_prompt(&self, prompt: u64) -> Vec<peers::Sighting> {
        let running = self.running.values().map(|(_, sighting)| sighting);
        let running = running.filter(|sighting| sighting.prompt == prompt);
        let recent = |at: &Instant| at.elapsed() < STREAM_TTL;
        let ended = self.ended.iter();
        let ended = ended.filter(|(at, of, _)| *of == prompt && recent(at));
        let ended = ended.map(|(_, _, origin)| peers::Sighting {
            origin: origin.0,
            prompt,
            ..peers::Sighting::default()
        });
        running.cloned().chain(ended).collect()
    }

    /// Remembers that a stream has ended.
    fn remember_end(&mut self, prompt: u64, origin: RunId) {
        while let Some((at, _, _)) = self.ended.front()
            && (at.elapsed() >= STREAM_TTL || self.ended.len() >= ENDED_MAX)
        {
            self.ended.pop_front();
        }
        self.ended.push_back((Instant::now(), prompt, origin));
    }

    /// Whether there are no streams.
    pub fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// Number of streams.
    pub fn len(&self) -> usize {
        self.running.len()
    }

    /// Adds a stream that was stored before the start, unless an instance has reported it since.
    fn restore(&mut self, sighting: &peers::Sighting) {
        let record = (Instant::now(), sighting.clone());
        let origin = datagram::origin(sighting);
        self.running.entry(origin).or_insert(record);
    }

    /// Applies an instance's report of a stream.
    pub fn apply(&mut self, sighting: &peers::Sighting) {
        let origin = datagram::origin(sighting);
        match sighting.stage() {
            // Its caller may take it up, at the version that began it.
            peers::Stage::Left if sighting.has_begun => {
                if let Some((_, known)) = self.running.get_mut(&origin) {
                    known.set_stage(peers::Stage::Left);
                }
            }
            peers::Stage::Ended => {
                self.running.remove(&origin);
                self.remember_end(sighting.prompt, origin);
            }
            peers::Stage::Left => {
                self.running.remove(&origin);
            }
            peers::Stage::Started | peers::Stage::Streaming => {
                if self.running.len() >= STREAMS_MAX {
                    self.evict_older_half();
                }
                let record = (Instant::now(), sighting.clone());
                self.running.insert(origin, record);
            }
            // A request that has not been sent to an upstream has nothing to resume from.
            peers::Stage::Waiting => {}
        }
    }
}

/// Change to the stored quarantine of a request; it outlives all instances.
#[derive(Clone, Debug)]
pub(crate) enum QuarantineUpdate {
    /// The request is no longer quarantined.
    Cleared(RequestFingerprint),
    /// The request is quarantined because of these crashes.
    Quarantined(RequestFingerprint, CrashHistory),
}

impl QuarantineUpdate {
    fn fingerprint(&self) -> RequestFingerprint {
        match self {
            Self::Cleared(fingerprint) | Self::Quarantined(fingerprint, _) => *fingerprint,
        }
    }

    fn call(&self) -> platform::store::Call {
        let key = format!("{QUARANTINE_PREFIX}{}", self.fingerprint());
        match self {
            Self::Cleared(_) => platform::store::remove(&key),
            Self::Quarantined(_, history) => {
                let ends = crash_history::encode(history);
                let value = peers::Ends { ends }.encode_to_vec();
                platform::store::put(&key, &value, NO_LEASE)
            }
        }
    }
}

/// Parameters and state of the task.
pub(crate) struct StoreWriter {
    /// Client of the store.
    pub client: platform_store::Client,
    /// The core task.
    pub driver: Driver,
    /// Address on which this instance receives datagrams.
    pub listen: SocketAddr,
    /// Other instances.
    pub members: watch::Receiver<Members>,
    /// This instance.
    pub own: LocalMember,
    /// Changes to the quarantine that are to be stored.
    pub quarantine_updates: mpsc::UnboundedReceiver<QuarantineUpdate>,
    /// Quarantined requests that this instance has written, to be written again after the store was restored from a
    /// backup, which may lack them.
    pub quarantined: BTreeMap<RequestFingerprint, QuarantineUpdate>,
    /// Whether the store names several versions of a pool.
    pub several_versions: watch::Receiver<bool>,
    /// Streams of all instances including this one.
    pub streams: watch::Receiver<Streams>,
    /// Where those are added that were stored before the start.
    pub streams_sender: watch::Sender<Streams>,
}

impl StoreWriter {
    /// Reads the quarantine and the streams that were stored before the start, then registers this instance and writes
    /// changes until the instance ends.
    pub async fn run(mut self) {
        self.restore_quarantine().await;
        self.restore_streams().await;
        let mut lease = Lease {
            client: self.client.clone(),
            grant: None,
        };
        let member = Member {
            address: self.listen,
            data_centre: self.own.data_centre.clone(),
        };
        let entry = member.encode();
        let entry_key = members::key(&self.own);
        let streams_key = format!("{STREAMS_PREFIX}{}", self.own.name);
        let mut pause = Duration::ZERO;
        let mut written_bytes = 0;
        let mut unwritten = BTreeMap::new();
        let mut era = self.client.availability().borrow().era();
        // When everything is to be written once more, after the store was restored from a backup.
        let mut rewrite_at = None;
        loop {
            tokio::select! {
                () = sleep(pause) => {}
                Ok(()) = self.several_versions.changed() => {}
                Some(update) = self.quarantine_updates.recv() => {
                    unwritten.insert(update.fingerprint(), update);
                }
            }
            // Failed calls are paid for too, and are not repeated sooner.
            pause = WRITE_INTERVAL;
            let current_era = self.client.availability().borrow().era();
            if current_era > era {
                era = current_era;
                let delay = rand::rng().random_range(Duration::ZERO..REWRITE_SPREAD);
                rewrite_at = Some(Instant::now() + delay);
            }
            if rewrite_at.is_some_and(|rewrite_at| rewrite_at <= Instant::now()) {
                rewrite_at = None;
                lease.grant = None;
                self.streams.mark_changed();
                unwritten.extend(self.quarantined.clone());
            }
            self.write_quarantine(&mut unwritten).await;
            if let Err(error) = lease.ensure(&entry_key, &entry).await {
                debug!("registering this instance failed: {error}");
                continue;
            }
            let persists_streams = self.own.persists_streams(&self.members.borrow());
            if persists_streams && self.streams.has_changed().unwrap_or(false) {
                let streams = self.streams.borrow_and_update().encode();
                written_bytes = streams.len();
                if let Err(error) = lease.put(&streams_key, &streams).await {
                    debug!("writing streams failed: {error}");
                    self.streams.mark_changed();
                    continue;
                }
            }
            if persists_streams && *self.several_versions.borrow() {
                pause = versioned_write_interval(written_bytes);
            }
        }
    }

    /// Writes changes to the quarantine, up to the first that fails; the rest stays in `unwritten` for the next attempt.
    async fn write_quarantine(
        &mut self,
        unwritten: &mut BTreeMap<RequestFingerprint, QuarantineUpdate>,
    ) {
        while let Some((fingerprint, update)) = unwritten.pop_first() {
            let error = match self.client.call(update.call(), CALL_TIMEOUT).await {
                Ok(answer) if answer.status == StatusCode::OK => {
                    self.record_written(fingerprint, update);
                    continue;
                }
                Ok(answer) => answer.status.to_string(),
                Err(error) => error.to_string(),
            };
            debug!("writing the quarantine of {fingerprint} failed: {error}");
            unwritten.insert(fingerprint, update);
            return;
        }
    }

    /// Records a written change, so that it can be written again after the store was restored from a backup.
    fn record_written(&mut self, fingerprint: RequestFingerprint, update: QuarantineUpdate) {
        match update {
            QuarantineUpdate::Cleared(_) => self.quarantined.remove(&fingerprint),
            QuarantineUpdate::Quarantined(..) => self.quarantined.insert(fingerprint, update),
        };
    }

    /// Reads the stored quarantine: before the streams, so that no stream of a quarantined request is resumed.
    async fn restore_quarantine(&self) {
        let mut retry_state = platform_store::RetryState::new("quarantine", &self.client);
        let items = loop {
            let consistency = wellplank_core::informer_io::Consistency::Serializable;
            let read = self.client.read_prefix(
                QUARANTINE_PREFIX,
                retry_state.response_timeout(),
                consistency,
            );
            match read.await {
                Ok((items, _)) => break items,
                Err(error) => retry_state.back_off(&error).await,
            }
        };
        for item in items {
            match decode_message::<peers::Ends>(&item) {
                Ok(stored) => {
                    let history = crash_history::decode(stored.ends);
                    self.driver.send_event(Event::CrashReported(history.into()));
                }
                Err(error) => self.client.report_invalid("quarantine", &error),
            }
        }
    }

    /// Reads the streams that were stored before this instance started. Waits for an unavailable store, since nothing can
    /// be written to it either. The newest records are those of the streams that are taken up first, so the read is not one
    /// that may be old.
    async fn restore_streams(&self) {
        let mut retry_state = platform_store::RetryState::new("streams", &self.client);
        let items = loop {
            let read = self.client.read_prefix(
                STREAMS_PREFIX,
                retry_state.response_timeout(),
                wellplank_core::informer_io::Consistency::Linearizable,
            );
            match read.await {
                Ok((items, _)) => break items,
                Err(error) => retry_state.back_off(&error).await,
            }
        };
        for item in items {
            match decode_message::<peers::Sightings>(&item) {
                Ok(stored) => {
                    self.streams_sender.send_modify(|streams| {
                        for sighting in &stored.sightings {
                            streams.restore(sighting);
                        }
                    });
                    gossip::report_streams(stored.sightings, &self.driver);
                }
                Err(error) => self.client.report_invalid("streams", &error),
            }
        }
        self.driver.send_event(Event::StreamsRestored);
    }
}

/// Decodes the value of an item that an instance wrote.
fn decode_message<M: prost::Message + Default>(
    item: &platform::store::Item,
) -> Result<M, platform::Error> {
    let value = item.bytes()?;
    M::decode(value).map_err(|error| platform::Error::malformed(&item.key, error))
}

/// Interval between two writes of streams of several versions that take so many bytes.
fn versioned_write_interval(bytes: usize) -> Duration {
    let link_time = Duration::from_secs_f64(bytes as f64 / WRITTEN_BYTES_PER_SECOND);
    link_time.clamp(VERSIONED_WRITE_INTERVAL, WRITE_INTERVAL)
}

/// The lease with which this instance's entries expire.
struct Lease {
    client: platform_store::Client,
    /// The current grant; `None` before the first one and after it has expired.
    grant: Option<LeaseGrant>,
}

#[derive(Clone, Copy)]
struct LeaseGrant {
    /// When the last renewal was attempted.
    attempted_at: Instant,
    id: u64,
    /// When the last successful renewal was requested.
    renewed_at: Instant,
}

impl LeaseGrant {
    /// A lease whose grant or renewal was requested at a time.
    fn new(id: u64, at: Instant) -> Self {
        Self {
            attempted_at: at,
            id,
            renewed_at: at,
        }
    }

    /// Whether no renewal is due yet.
    fn is_fresh(self) -> bool {
        let age = self.renewed_at.elapsed();
        age < RENEWAL_INTERVAL
            || (age < RENEWAL_URGENT_AFTER && self.attempted_at.elapsed() < RENEWAL_RETRY_INTERVAL)
    }
}

impl Lease {
    /// Renews the lease if due; without one, requests it and registers this instance.
    async fn ensure(&mut self, key: &str, entry: &str) -> Result<(), Error> {
        match self.grant {
            Some(grant) if grant.is_fresh() => Ok(()),
            Some(grant) => self.renew(grant).await,
            None => {
                let requested_at = Instant::now();
                let call = platform::store::grant_lease(LEASE_TTL);
                let platform_store::Response { body, status, .. } =
                    self.client.call(call, CALL_TIMEOUT).await?;
                if status != StatusCode::OK {
                    return Err(Error::Store(format!("granting a lease failed: {status}")));
                }
                let id = platform::store::decode_lease(&body)
                    .map_err(|error| Error::Store(error.to_string()))?;
                self.grant = Some(LeaseGrant::new(id, requested_at));
                self.put(key, entry.as_bytes()).await
            }
        }
    }

    async fn put(&mut self, key: &str, value: &[u8]) -> Result<(), Error> {
        let id = self.grant.map_or(0, |grant| grant.id);
        let call = platform::store::put(key, value, id);
        let status = self.client.call(call, CALL_TIMEOUT).await?.status;
        match status {
            StatusCode::OK => Ok(()),
            StatusCode::NOT_FOUND => {
                // The next check requests a new lease.
                self.grant = None;
                Err(Error::Store(format!("{key}: the lease has expired")))
            }
            status => Err(Error::Store(format!("{key}: {status}"))),
        }
    }

    async fn renew(&mut self, grant: LeaseGrant) -> Result<(), Error> {
        let requested_at = Instant::now();
        let call = platform::store::renew_lease(grant.id);
        self.grant = Some(LeaseGrant {
            attempted_at: requested_at,
            ..grant
        });
        let status = self.client.call(call, CALL_TIMEOUT).await?.status;
        match status {
            StatusCode::OK => {
                self.grant = Some(LeaseGrant::new(grant.id, requested_at));
                Ok(())
            }
            StatusCode::NOT_FOUND => {
                self.grant = None;
                Err(Error::Store("the lease has expired".into()))
            }
            status => Err(Error::Store(format!("renewing the lease failed: {status}"))),
        }
    }
}
