//! Origins of streams: the software version that began each of them, at which alone it may go on.
//!
//! What upstreams of two versions write does not fit together, and upstreams do not check which of them began a stream. So
//! the version is bound to the stream by its first event, not by what an instance believes when the stream goes on. Other
//! instances learn it from the records of streams; one that does not know it refuses the stream rather than guess.

use super::*;

/// Retention time for origins, in milliseconds: longer than a caller waits for a response, so that a version that is gone is
/// remembered as long as streams of it may come back.
pub(crate) const RETENTION_MS: u64 = 60_000;

/// Maximum number of origins; beyond it the oldest is forgotten.
const MAX_ENTRIES: usize = 20_000;

/// Age of an origin in milliseconds from which on another report keeps it for longer: each stream is reported several times.
const REFRESH_MS: u64 = 15_000;

/// Retry delay for a stream whose origin is unknown here, in milliseconds: callers return at other instances.
const UNKNOWN_RETRY_MS: u64 = 200;

/// Identifies a run of a stream by a hash of its request ID. The run that brought the first event identifies the stream over
/// all of its caller's attempts.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RunId(pub u64);

impl RunId {
    /// The identifier of the run with this request ID.
    pub fn new(request_id: &str) -> Self {
        Self(fingerprint::first(&blake3::hash(request_id.as_bytes())).max(1))
    }
}

/// What is known of the version that began a stream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Origin {
    /// An upstream of this version.
    Begun(Version),
    /// Its caller has no event yet, so that any upstream may begin it.
    #[default]
    Unbegun,
    /// Its caller has events, and nobody who is known here knows which version sent the first.
    Unknown,
}

/// What a decision on a stream that its caller takes up is based on: whether it may go on, and where.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Basis {
    /// All streams that its caller may mean began at one version.
    Alike,
    /// Its record was looked up at other instances, or read from the store.
    Found,
    /// Nothing is known of it, and all streams of its pool that may come back began at one version.
    OnlyVersion,
    /// This instance relayed it.
    Own,
    /// Its record is gone, and its version is still known.
    Remembered,
    /// Another instance announced it.
    Told,
    /// Its version is unknown.
    Unknown(Gap),
}

/// Why the version that began a stream is unknown.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Gap {
    /// No upstream of its pool is or was listed.
    NoUpstream,
    /// The streams that were stored before the start of this instance have not been read yet.
    NotRestored,
    /// Upstreams of its pool have, or recently had, several versions.
    SeveralListed,
    /// The store names several versions of its pool.
    SeveralNamed,
    /// The route of the stream goes, or recently went, to several pools.
    SeveralPools,
    /// Streams were recently reported of a version that no upstream of any pool has or recently had.
    SeveralReported,
    /// The store does not answer, or has only just begun to.
    StoreAway,
    /// The names of versions have not been read since its caller came.
    Unconfirmed,
    /// The store does not name the only version of its pool.
    Unnamed,
}

impl Display for Basis {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        match self {
            Self::Alike => formatter.write_str("alike"),
            Self::Found => formatter.write_str("found"),
            Self::OnlyVersion => formatter.write_str("only_version"),
            Self::Own => formatter.write_str("own"),
            Self::Remembered => formatter.write_str("remembered"),
            Self::Told => formatter.write_str("told"),
            Self::Unknown(gap) => write!(formatter, "unknown.{gap}"),
        }
    }
}

impl Display for Gap {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        formatter.write_str(match self {
            Self::NoUpstream => "no_upstream",
            Self::NotRestored => "not_restored",
            Self::SeveralListed => "several_listed",
            Self::SeveralNamed => "several_named",
            Self::SeveralPools => "several_pools",
            Self::SeveralReported => "several_reported",
            Self::StoreAway => "store_away",
            Self::Unconfirmed => "unconfirmed",
            Self::Unnamed => "unnamed",
        })
    }
}

/// Version of the upstream that a run was sent to.
#[derive(Clone, Copy, Debug)]
struct Entry {
    at: Time,
    /// Whether its first event has arrived; until then it may be sent to another upstream.
    has_begun: bool,
    version: Version,
}

/// Origins of streams.
#[derive(Clone, Debug, Default)]
pub(crate) struct Origins {
    /// Streams by the time of their last report.
    due: VecDeque<(Time, StreamId)>,
    entries: HashMap<StreamId, Entry>,
    /// When each version was last reported.
    reported: BTreeMap<Version, Time>,
}

impl Origins {
    /// Records that a stream was sent to an upstream of a version, or that its first event came from there. The upstream that
    /// sent the first event does not change any more.
    pub fn record(&mut self, id: StreamId, version: Version, has_begun: bool, now: Time) {
        if !version.is_stated() {
            return;
        }
        self.expire(now);
        self.reported.insert(version, now);
        let is_new = !self.entries.contains_key(&id);
        let entry = self.entries.entry(id).or_insert(Entry {
            at: now,
            has_begun,
            version,
        });
        if !entry.has_begun {
            entry.has_begun = has_begun;
            entry.version = version;
        }
        if is_new || now.since(entry.at) >= REFRESH_MS {
            entry.at = now;
            self.due.push_back((now, id));
        }
    }

    /// The version that began a stream.
    pub fn get(&self, id: StreamId) -> Option<Version> {
        self.entries.get(&id).map(|entry| entry.version)
    }

    /// Versions that streams were sent to recently, of any pool.
    pub fn versions(&self, now: Time) -> impl Iterator<Item = Version> {
        let reported = self.reported.iter();
        let recent = reported.filter(move |(_, at)| now.since(**at) < RETENTION_MS);
        recent.map(|(version, _)| *version)
    }

    /// Forgets origins whose retention time is over, and the oldest if there are too many.
    fn expire(&mut self, now: Time) {
        while let Some((at, id)) = self.due.front().copied()
            && (now.since(at) >= RETENTION_MS || self.due.len() >= MAX_ENTRIES)
        {
            self.due.pop_front();
            if self.entries.get(&id).is_some_and(|entry| entry.at == at) {
                self.entries.remove(&id);
            }
        }
        self.reported.retain(|_, at| now.since(*at) < RETENTION_MS);
    }
}

impl Core {
    /// The origin of a stream of which this is known, where its caller takes it up, and what that is based on. `number` is that of
    /// the first read of names that began behind its arrival.
    pub(crate) fn origin_of(
        &self,
        taken_up: &TakenUp,
        relay: &request::Relay,
        pool: &str,
        number: u64,
    ) -> (Origin, Basis) {
        if let Some(version) = self.version_of(taken_up) {
            return (Origin::Begun(version), self.basis_of(taken_up));
        }
        if self.only_pool(&relay.host, &relay.path).is_none() {
            return (Origin::Unknown, Basis::Unknown(Gap::SeveralPools));
        }
        match self.only_version(pool, number) {
            Ok(version) => (Origin::Begun(version), Basis::OnlyVersion),
            Err(gap) => (Origin::Unknown, Basis::Unknown(gap)),
        }
    }

    /// How this instance came to know the version of a stream.
    fn basis_of(&self, taken_up: &TakenUp) -> Basis {
        let TakenUp::Known(id, _) = taken_up else {
            return Basis::Alike;
        };
        match self.stream_records.source(*id) {
            None => Basis::Remembered,
            Some(stream_record::Source::Announced) => Basis::Told,
            Some(stream_record::Source::Found) => Basis::Found,
            Some(stream_record::Source::Own) => Basis::Own,
        }
    }

    /// The version that began a stream of which this is known. Where it may be one of several, all of them must have begun at
    /// that version.
    pub(crate) fn version_of(&self, taken_up: &TakenUp) -> Option<Version> {
        let ids = match taken_up {
            TakenUp::Known(id, _) => std::slice::from_ref(id),
            TakenUp::OneOf(ids) => &ids[..],
            TakenUp::Unknown => return None,
        };
        let version = self.origins.get(*ids.first()?)?;
        let is_same = |id: &StreamId| self.origins.get(*id) == Some(version);
        ids.iter().all(is_same).then_some(version)
    }

    /// The version that must have begun every stream of a pool which may come back now: the only one that its upstreams have
    /// had for as long as callers wait. A gap if there were several, or if this instance may have missed one: it has not
    /// read yet which streams ran before its start, the store is away, or the names of versions have not been read by the read
    /// with this number or a later one. What this instance remembers can only speak against it.
    pub(crate) fn only_version(&self, pool: &str, number: u64) -> Result<Version, Gap> {
        if !self.streams_restored {
            return Err(Gap::NotRestored);
        }
        if self.store_away().is_some() {
            return Err(Gap::StoreAway);
        }
        let own = self.pools.get(pool).ok_or(Gap::NoUpstream)?;
        let mut listed = own.versions.recent(self.now);
        let only = listed.next().ok_or(Gap::NoUpstream)?;
        if listed.any(|version| version != only) {
            return Err(Gap::SeveralListed);
        }
        let is_elsewhere = |version: Version| {
            let mut others = self.pools.iter().filter(|(name, _)| &***name != pool);
            others.any(|(_, other)| other.versions.recent(self.now).any(|one| one == version))
        };
        let mut reported = self.origins.versions(self.now);
        if reported.any(|version| version != only && !is_elsewhere(version)) {
            return Err(Gap::SeveralReported);
        }
        self.confirm_only(pool, only, number)?;
        Ok(only)
    }

    /// Whether an upstream may have a request: a stream goes on only at the version that began it.
    pub(crate) fn admits(&self, request: &Request, upstream: &Upstream) -> bool {
        let origin = request.progress.origin;
        let pool = self.pools.get(&upstream.pool);
        pool.is_some_and(|pool| pool.versions.admit(origin, upstream.version))
    }

    /// Binds a stream to the version of the upstream that sent its first event, unless the upstream has stated another one
    /// since the stream was sent to it.
    pub(crate) fn bind_origin(&mut self, key: attempt::Key) {
        let attempt = &self.attempts[key];
        let (owner, version) = (attempt.request, attempt.version);
        let upstream = self.upstreams.get(attempt.upstream);
        let is_unchanged = upstream.is_some_and(|upstream| upstream.version == version);
        let progress = &mut self.requests[owner].progress;
        if progress.origin != Origin::Unbegun {
            return;
        }
        progress.origin = if is_unchanged {
            Origin::Begun(version)
        } else {
            Origin::Unknown
        };
    }

    /// Whether a stream can not go on, and if so, the refusal of its caller: no upstream of its version is left, or its
    /// version is unknown. There is hope as long as an upstream of it is listed that does not leave, and while there is no
    /// upstream at all: those that come back or are started next may be of it.
    pub(crate) fn check_origin(&self, request: &Request) -> Result<(), admission::Refusal> {
        match request.progress.origin {
            Origin::Unbegun => return Ok(()),
            Origin::Unknown => {
                return Err(admission::Refusal {
                    kind: Kind::VersionUnknown,
                    retry_after_ms: Some(UNKNOWN_RETRY_MS),
                });
            }
            Origin::Begun(_) => {}
        }
        let pool = self.pools.get(request.service.pool());
        let staying = || {
            let upstreams = pool.into_iter().flat_map(|pool| self.upstreams_of(pool));
            upstreams.filter(|upstream| !upstream.is_leaving(self.now))
        };
        let of_version = || staying().filter(|upstream| self.admits(request, upstream));
        let is_up = |upstream: &Upstream| upstream.health != Health::Lost;
        if of_version().any(is_up) || !staying().any(is_up) {
            return Ok(());
        }
        if of_version().next().is_none() {
            return Err(Kind::VersionGone.into());
        }
        Err(admission::Refusal {
            kind: Kind::VersionGone,
            retry_after_ms: Some(self.settings.probe_ms),
        })
    }

    /// Records the origin that another instance reported with a stream. A record of an earlier version of this program
    /// names only the upstream.
    pub(crate) fn record_origin(&mut self, record: &mut StreamRecord) {
        if !record.version.is_stated()
            && let Some(upstream) = record.upstream
            && let Some(key) = self.upstreams_by_incarnation.get(&upstream)
        {
            record.version = self.upstreams[*key].version;
        }
        self.origins
            .record(record.id(), record.version, record.has_begun, self.now);
    }
}
