//! The instances of the fleet on the users' platform, discovered through the entries that they register in its store,
//! and the role of each.

use super::*;
use rand::RngExt;
use wellplank_core::{
    directory,
    dissemination::{self, Tree},
    informer_io::Consistency,
    members::View,
    role::{Role, WatcherRank},
};

/// Key prefix of the instances' entries; the data centre and the name of an instance follow.
const PREFIX: &str = "wellplank/instances/";

/// Interval between two reads of the instances while few are known. The reads are serializable, may be seconds old and
/// cost a tenth of linearizable ones. A new instance reads the store itself until the others know it.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// The same in a large fleet, of the instances of the own data centre: at an interval of 2 s these reads were half as many
/// calls as all others together.
const POLL_INTERVAL_LARGE_FLEET: Duration = Duration::from_secs(8);

/// Number of instances up to which those of all data centres are read at that interval. Beyond it the interval grows with
/// their number, so that the bytes that an instance reads a second do not.
const FREQUENTLY_READ_MAX: usize = 300;

/// Time for each instance of a large data centre over which the first reads of those of all others are spread: hundreds of
/// instances that start together would fill the store's link.
const FIRST_FULL_READ_SPREAD: Duration = Duration::from_millis(20);

/// Time from the start for which an instance that knows few others polls at the short interval: others may have started
/// with it.
const START_PERIOD: Duration = Duration::from_secs(2);

/// The same while no other instance is known: instances that start together do not know each other at first, and each
/// of them watches the store until they do.
const POLL_INTERVAL_ALONE: Duration = Duration::from_millis(500);

/// Maximum age of the result of a read of the instances, including the duration of the read.
const READ_STALENESS_MAX: Duration = Duration::from_secs(2);

/// Time from the start for which an instance that knows no other polls at the short interval. After it, the instance
/// is taken to be the only one.
const DISCOVERY_PERIOD: Duration = Duration::from_secs(5);

/// Time from the start, in milliseconds, after which an instance that finds no other reads the list of upstreams as if it
/// were alone: those that started with it have registered by then. While these reads are not answered it waits for
/// longer: behind the loss of all, a thousand instances that did not know each other yet filled the store's link with
/// whole lists for 20 s.
pub const DISCOVERY_WAIT_MS: u64 = 200;

/// Time after a restore of the store from a backup, or after an outage in which leases may have expired, for which
/// instances with missing entries are taken to exist: they write their entries again within two seconds, and reads may be
/// as old. Otherwise each of hundreds of instances would assume a small fleet, watch the store for itself, and use limits
/// and permits for retries as if it were alone.
const MISSING_GRACE: Duration = Duration::from_secs(6);

/// Maximum size of a fleet in which each instance watches the store: there the watches cost less than announcements.
pub(crate) const SMALL_FLEET_MAX: usize = 12;

/// Number of instances that write the streams of all instances to the store, so that one of them may be lost.
const STREAM_WRITERS: usize = 2;

/// Another instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Member {
    /// Address on which it receives datagrams.
    pub address: SocketAddr,
    /// Data centre in which it runs.
    pub data_centre: String,
}

/// Other instances by name.
pub type Members = BTreeMap<String, Member>;

/// This instance, whose role depends on the other members.
#[derive(Clone, Debug)]
pub struct LocalMember {
    /// Data centre in which it runs.
    pub data_centre: String,
    /// Name of its entry.
    pub name: String,
}

impl Member {
    /// Decodes an entry in the store, with the name of its instance.
    pub fn decode(item: &platform::store::Item) -> Result<(&str, Self), platform::Error> {
        let name = item.key.rsplit('/').next().unwrap_or_default();
        let value = item.bytes()?;
        let member = serde_json::from_slice(value)
            .map_err(|error| platform::Error::malformed(&item.key, error))?;
        Ok((name, member))
    }

    /// Encodes the value of its entry in the store.
    pub fn encode(&self) -> String {
        json!({ "address": self.address, "data_centre": self.data_centre }).to_string()
    }
}

impl LocalMember {
    /// Whether it writes the streams of all instances to the store.
    pub fn persists_streams(&self, members: &Members) -> bool {
        self.count_before(members.keys()) < STREAM_WRITERS
    }

    /// The other instances that keep the record of a stream: its holders, and those that write all streams to the store.
    pub fn record_keepers<'a>(&self, prompt: u64, members: &'a Members) -> Vec<&'a Member> {
        let others = members
            .iter()
            .map(|(name, member)| (upstream::id(name), member));
        let others: BTreeMap<u64, &Member> = others.collect();
        let mut keepers: BTreeSet<u64> = others.keys().copied().take(STREAM_WRITERS).collect();
        let all = others.keys().copied().chain([upstream::id(&self.name)]);
        keepers.extend(directory::holders(prompt, all));
        let keepers = keepers.iter().filter_map(|id| others.get(id).copied());
        keepers.collect()
    }

    /// The fleet in the form that the core requires.
    pub fn view(&self, members: &Members) -> View {
        View {
            local: members
                .iter()
                .filter(|(_, member)| member.data_centre == self.data_centre)
                .map(|(name, _)| upstream::id(name))
                .collect(),
            others: members.keys().map(|name| upstream::id(name)).collect(),
            own: upstream::id(&self.name),
            convergence_ms: (full_read_interval(members.len()) + READ_STALENESS_MAX).as_millis()
                as u64,
        }
    }

    /// Its role in its data centre.
    pub fn role(&self, members: &Members) -> Role {
        if members.len() < SMALL_FLEET_MAX {
            return Role::Independent;
        }
        let local = members
            .iter()
            .filter(|(_, member)| member.data_centre == self.data_centre);
        match self.count_before(local.map(|(name, _)| name)) {
            0 => Role::Watcher,
            1 => Role::Standby,
            _ => Role::Follower,
        }
    }

    /// Its rank among the watchers: all instances of a small fleet, otherwise the first one of each data centre.
    pub fn watcher_rank(&self, members: &Members) -> WatcherRank {
        match self.role(members) {
            Role::Independent => WatcherRank {
                count: members.len() + 1,
                rank: self.count_before(members.keys()),
            },
            Role::Watcher => {
                let watchers = self.watchers(members);
                WatcherRank {
                    count: watchers.len() + 1,
                    rank: self.count_before(watchers.into_iter()),
                }
            }
            Role::Standby | Role::Follower => WatcherRank::default(),
        }
    }

    /// Its place in its data centre if updates are passed on there; `None` in a small one.
    pub fn place(&self, members: &Members) -> Option<usize> {
        let local = members
            .iter()
            .filter(|(_, member)| member.data_centre == self.data_centre);
        let passes_on = dissemination::trees(local.clone().count()) != [Tree::Direct];
        passes_on.then(|| self.count_before(local.map(|(name, _)| name)))
    }

    /// The other instances that watch the store: all of a small fleet, otherwise the first one of each other data centre.
    pub fn watchers<'a>(&self, members: &'a Members) -> BTreeSet<&'a String> {
        if members.len() < SMALL_FLEET_MAX {
            return members.keys().collect();
        }
        let mut first: BTreeMap<&str, (u64, &String)> = BTreeMap::new();
        let is_remote = |member: &Member| member.data_centre != self.data_centre;
        for (name, member) in members.iter().filter(|(_, member)| is_remote(member)) {
            let rank = (upstream::id(name), name);
            let lowest = first.entry(&member.data_centre).or_insert(rank);
            *lowest = rank.min(*lowest);
        }
        first.into_values().map(|(_, name)| name).collect()
    }

    /// Number of instances among `names` that rank before it.
    pub fn count_before<'a>(&self, names: impl Iterator<Item = &'a String>) -> usize {
        let own = upstream::id(&self.name);
        names.filter(|name| upstream::id(name) < own).count()
    }
}

/// Addresses of the other instances, by the identifiers that the core knows them by.
pub(crate) fn peers(members: &Members) -> HashMap<u64, SocketAddr> {
    let peer = |(name, member): (&String, &Member)| (upstream::id(name), member.address);
    members.iter().map(peer).collect()
}

/// Key of an instance's entry.
pub(crate) fn key(own: &LocalMember) -> String {
    format!("{}{}", prefix(&own.data_centre), own.name)
}

/// Key prefix of the entries of a data centre.
fn prefix(data_centre: &str) -> String {
    format!("{PREFIX}{data_centre}/")
}

/// Interval between two reads of the instances of all data centres, given the number of others that are known.
fn full_read_interval(others: usize) -> Duration {
    if others < SMALL_FLEET_MAX {
        POLL_INTERVAL
    } else {
        let factor = others.max(FREQUENTLY_READ_MAX) as f64 / FREQUENTLY_READ_MAX as f64;
        POLL_INTERVAL_LARGE_FLEET.mul_f64(factor)
    }
}

/// Discovers the other instances by polling the store. In a large data centre, its instances are read more often than those
/// of the others: a thousand instances that read all of each other would take a quarter of the store's link.
pub(crate) struct Discovery {
    /// Client of the store.
    pub client: platform_store::Client,
    /// This instance.
    pub own: LocalMember,
    /// Publishes the other instances.
    pub sender: watch::Sender<Members>,
}

/// When the instances of all data centres are read.
#[derive(Clone, Copy, Debug)]
enum FullRead {
    /// Not before this time; those of the own data centre are read meanwhile.
    At(Instant),
    /// Each time.
    Always,
    /// The own data centre is read first, which shows whether it is large.
    Undecided,
}

impl FullRead {
    fn is_due(self) -> bool {
        match self {
            Self::Always => true,
            Self::At(at) => at <= Instant::now(),
            Self::Undecided => false,
        }
    }

    /// Time until it is due at a certain time.
    fn time_left(self) -> Option<Duration> {
        match self {
            Self::At(at) => Some(at.saturating_duration_since(Instant::now())),
            Self::Always | Self::Undecided => None,
        }
    }

    /// State after a read, given the numbers of other instances of the data centre and of all, and the time since the start.
    fn next(self, local: usize, others: usize, age: Duration) -> Self {
        let is_large = local >= SMALL_FLEET_MAX;
        match self {
            Self::Undecided if is_large => {
                let spread = FIRST_FULL_READ_SPREAD * local as u32;
                Self::At(Instant::now() + rand::rng().random_range(Duration::ZERO..spread))
            }
            Self::Undecided if age < DISCOVERY_PERIOD => Self::Undecided,
            Self::At(at) if !self.is_due() => Self::At(at),
            _ if is_large => Self::At(Instant::now() + full_read_interval(others)),
            _ => Self::Always,
        }
    }
}

impl Discovery {
    /// Polls until the instance ends.
    pub async fn run(self) {
        let started_at = Instant::now();
        let mut retry_state = platform_store::RetryState::new("instances", &self.client);
        let mut era = None;
        let mut grace_until = started_at;
        let mut full_read = FullRead::Undecided;
        loop {
            let members = match self.read(full_read, &retry_state).await {
                Ok(members) => members,
                // Refused calls are paid for, so hundreds of instances must not retry soon. Known ones still get datagrams.
                Err(error) if self.sender.borrow().len() >= SMALL_FLEET_MAX => {
                    retry_state.record_failure(&error);
                    sleep(POLL_INTERVAL_LARGE_FLEET).await;
                    continue;
                }
                Err(error) => {
                    retry_state.back_off(&error).await;
                    continue;
                }
            };
            retry_state.record_success();
            let current_era = self.client.availability().borrow().era();
            if era
                .replace(current_era)
                .is_some_and(|era| era < current_era)
            {
                grace_until = Instant::now() + MISSING_GRACE;
            }
            let keeps_known =
                Instant::now() < grace_until || self.client.had_outage_within(MISSING_GRACE);
            let local = self.local_count(&members);
            full_read = full_read.next(local, members.len(), started_at.elapsed());
            self.publish(members, keeps_known, started_at.elapsed());
            let pause = self.pause(started_at);
            sleep(full_read.time_left().map_or(pause, |left| pause.min(left))).await;
        }
    }

    /// Reads the other instances: all, or those of the own data centre beside the known ones of others.
    async fn read(
        &self,
        full_read: FullRead,
        retry_state: &platform_store::RetryState,
    ) -> Result<Members, Error> {
        if full_read.is_due() {
            return self.read_prefix(PREFIX, retry_state).await;
        }
        let local = prefix(&self.own.data_centre);
        let mut members = self.read_prefix(&local, retry_state).await?;
        if matches!(full_read, FullRead::Undecided) && members.len() < SMALL_FLEET_MAX {
            return self.read_prefix(PREFIX, retry_state).await;
        }
        let known = self.sender.borrow().clone();
        let is_remote = |member: &Member| member.data_centre != self.own.data_centre;
        members.extend(known.into_iter().filter(|(_, member)| is_remote(member)));
        Ok(members)
    }

    async fn read_prefix(
        &self,
        prefix: &str,
        retry_state: &platform_store::RetryState,
    ) -> Result<Members, Error> {
        let read = self.client.read_prefix(
            prefix,
            retry_state.response_timeout(),
            Consistency::Serializable,
        );
        let (items, _) = read.await?;
        Ok(self.decode(&items))
    }

    /// Number of other instances in the own data centre.
    fn local_count(&self, members: &Members) -> usize {
        let is_local = |member: &&Member| member.data_centre == self.own.data_centre;
        members.values().filter(is_local).count()
    }

    /// Publishes the other instances if they have changed, or if there are none for so long that this one is alone.
    fn publish(&self, mut members: Members, keeps_known: bool, age: Duration) {
        if keeps_known {
            let known = self.sender.borrow().clone();
            members = known.into_iter().chain(members).collect();
        }
        self.sender.send_if_modified(|known| {
            let is_changed = *known != members;
            *known = members;
            is_changed || known.is_empty() && age >= Duration::from_millis(DISCOVERY_WAIT_MS)
        });
    }

    /// Decodes the instances without this one; malformed entries are skipped.
    fn decode(&self, items: &[platform::store::Item]) -> Members {
        let mut members = Members::new();
        for item in items {
            match Member::decode(item) {
                Ok((name, _)) if name == self.own.name => {}
                Ok((name, member)) => {
                    members.insert(name.to_owned(), member);
                }
                Err(error) => self.client.report_invalid("instance", &error),
            }
        }
        members
    }

    /// Pause before the next read.
    fn pause(&self, started_at: Instant) -> Duration {
        match self.sender.borrow().len() {
            0 if started_at.elapsed() < Duration::from_millis(DISCOVERY_WAIT_MS) => {
                Duration::from_millis(DISCOVERY_WAIT_MS)
            }
            0 if started_at.elapsed() < DISCOVERY_PERIOD => POLL_INTERVAL_ALONE,
            others if others < SMALL_FLEET_MAX && started_at.elapsed() < START_PERIOD => {
                POLL_INTERVAL_ALONE
            }
            others if others < SMALL_FLEET_MAX => POLL_INTERVAL,
            _ => POLL_INTERVAL_LARGE_FLEET,
        }
    }
}
