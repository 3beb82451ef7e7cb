//! The instances of the fleet on the users' platform, discovered through the entries that they register in its store,
//! and the role of each.

use super::*;
use wellplank_core::{
    directory,
    informer_io::Consistency,
    members::View,
    role::{Role, WatcherRank},
};

/// Key prefix of the instances' entries.
pub(crate) const PREFIX: &str = "wellplank/instances/";

/// Interval between two reads of the instances while few are known. The reads are serializable, may be seconds old and
/// cost a tenth of linearizable ones. A new instance reads the store itself until the others know it.
const POLL_INTERVAL: Duration = Duration::from_secs(2);

/// The same in a large fleet: at an interval of 2 s these reads were half as many calls as all others together.
const POLL_INTERVAL_LARGE_FLEET: Duration = Duration::from_secs(8);

/// The same while no other instance is known: instances that start together do not know each other at first, and each
/// of them watches the store until they do.
const POLL_INTERVAL_ALONE: Duration = Duration::from_millis(500);

/// Maximum age of the result of a read of the instances, including the duration of the read.
const READ_STALENESS_MAX: Duration = Duration::from_secs(2);

/// Time from the start for which an instance that knows no other polls at the short interval. After it, the instance
/// is taken to be the only one.
const DISCOVERY_PERIOD: Duration = Duration::from_secs(5);

/// Time from the start for which the list of upstreams is not read before any other instance is known, in milliseconds:
/// two reads of the instances.
pub const DISCOVERY_WAIT_MS: u64 = 1_000;

/// Time after a restore of the store from a backup for which instances with missing entries are taken to exist: they
/// write their entries again within two seconds, and reads may be as old. Otherwise each of hundreds of instances would
/// assume a small fleet and watch the store for itself.
const RESTORE_GRACE: Duration = Duration::from_secs(6);

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
            others: members.keys().map(|name| upstream::id(name)).collect(),
            own: upstream::id(&self.name),
            convergence_ms: (poll_interval(members.len()) + READ_STALENESS_MAX).as_millis() as u64,
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
    fn count_before<'a>(&self, names: impl Iterator<Item = &'a String>) -> usize {
        let own = upstream::id(&self.name);
        names.filter(|name| upstream::id(name) < own).count()
    }
}

/// Interval between two reads of the instances, given the number of others that are known.
fn poll_interval(others: usize) -> Duration {
    if others < SMALL_FLEET_MAX {
        POLL_INTERVAL
    } else {
        POLL_INTERVAL_LARGE_FLEET
    }
}

/// Polls the store for the other instances and publishes them until the instance ends.
pub(crate) async fn discover(
    client: platform_store::Client,
    own: String,
    sender: watch::Sender<Members>,
) {
    let started_at = Instant::now();
    let mut retry_state = platform_store::RetryState::new("instances", &client);
    let mut era = None;
    let mut grace_until = started_at;
    loop {
        match client
            .read_prefix(
                PREFIX,
                retry_state.response_timeout(),
                Consistency::Serializable,
            )
            .await
        {
            Ok((items, _)) => {
                retry_state.record_success();
                let mut members = decode(&items, &own);
                let current_era = client.availability().borrow().era();
                if era
                    .replace(current_era)
                    .is_some_and(|era| era < current_era)
                {
                    grace_until = Instant::now() + RESTORE_GRACE;
                }
                if Instant::now() < grace_until {
                    let known = sender.borrow().clone();
                    members = known.into_iter().chain(members).collect();
                }
                sender.send_if_modified(|known| {
                    let is_changed = *known != members;
                    *known = members;
                    is_changed
                });
                let pause = match sender.borrow().len() {
                    0 if started_at.elapsed() < DISCOVERY_PERIOD => POLL_INTERVAL_ALONE,
                    others => poll_interval(others),
                };
                sleep(pause).await;
            }
            // Refused calls are paid for, so hundreds of instances must not retry soon. Known ones still get datagrams.
            Err(error) if sender.borrow().len() >= SMALL_FLEET_MAX => {
                retry_state.record_failure(&error);
                sleep(POLL_INTERVAL_LARGE_FLEET).await;
            }
            Err(error) => retry_state.back_off(&error).await,
        }
    }
}

/// Decodes the instances without `own`; malformed entries are logged and skipped.
fn decode(items: &[platform::store::Item], own: &str) -> Members {
    let mut members = Members::new();
    for item in items {
        let name = item.key.trim_start_matches(PREFIX);
        let value = match item.bytes() {
            Ok(value) => value,
            Err(error) => {
                warn!("skipped a malformed instance entry: {error}");
                continue;
            }
        };
        match serde_json::from_slice(value) {
            Ok(_) if name == own => {}
            Ok(member) => {
                members.insert(name.to_owned(), member);
            }
            Err(error) => warn!("skipped a malformed instance entry {}: {error}", item.key),
        }
    }
    members
}
