//! The instances of the fleet on the users' platform, as they enter themselves in its store, and what each
//! of them does for the others.

use super::*;
use wellplank_core::{
    informer_io::Consistency,
    members::View,
    role::{Role, WatcherRank},
};

/// Start of the keys under which instances enter themselves.
pub(crate) const PREFIX: &str = "wellplank/instances/";

/// Time between two reads of the instances while few are known. The reads may be seconds old and cost a
/// tenth of others; a new instance asks the store itself until it is known.
const LOOK: Duration = Duration::from_secs(2);

/// The same in a large fleet, where such reads are many: each 2 s they were half as many calls as all others.
const LOOK_LARGE: Duration = Duration::from_secs(8);

/// The same while no other instance is known: those that start together do not know each other at first, and
/// each watches the store until they do.
const LOOK_ALONE: Duration = Duration::from_millis(500);

/// Age of what reads of the instances show, at most, with the time that they take.
const READ_AGE: Duration = Duration::from_secs(2);

/// Time from its start for which an instance that knows no other one looks so often; then there is none.
const ALONE: Duration = Duration::from_secs(5);

/// Time for which instances are believed whose entries are missing, behind a return of the store from an older copy: they write them
/// again within two seconds, and these reads may be as old. Without it each of hundreds would take itself for one of few and
/// watch the store for itself.
const BELIEVED: Duration = Duration::from_secs(6);

/// Instances up to which each of them watches the store: there a watch each costs less than telling.
pub(crate) const SMALL_FLEET_MAX: usize = 12;

/// Instances that keep the streams of all in the store; one of them may be lost.
const KEEPERS: usize = 2;

/// Another instance.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Member {
    /// Where its datagrams come.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: String,
}

/// Other instances by name.
pub type Members = BTreeMap<String, Member>;

/// This instance among the others.
#[derive(Clone, Debug)]
pub struct LocalMember {
    /// Where it stands.
    pub data_centre: String,
    /// Its name.
    pub name: String,
}

impl Member {
    /// The value of its entry.
    pub fn encode(&self) -> String {
        json!({ "address": self.address, "data_centre": self.data_centre }).to_string()
    }
}

impl LocalMember {
    /// Whether it keeps the streams of all instances in the store.
    pub fn persists_streams(&self, members: &Members) -> bool {
        self.ranked_before(members.keys()) < KEEPERS
    }

    /// The fleet as the core knows it.
    pub fn view(&self, members: &Members) -> View {
        View {
            others: members.keys().map(|name| upstream::id(name)).collect(),
            own: upstream::id(&self.name),
            convergence_ms: (look(members.len()) + READ_AGE).as_millis() as u64,
        }
    }

    /// What it does for its data centre.
    pub fn role(&self, members: &Members) -> Role {
        if members.len() < SMALL_FLEET_MAX {
            return Role::Independent;
        }
        let near = members
            .iter()
            .filter(|(_, member)| member.data_centre == self.data_centre);
        match self.ranked_before(near.map(|(name, _)| name)) {
            0 => Role::Watcher,
            1 => Role::Standby,
            _ => Role::Follower,
        }
    }

    /// Its place among those that watch the store for themselves: all of a small fleet, else the first of each data
    /// centre.
    pub fn watcher_rank(&self, members: &Members) -> WatcherRank {
        match self.role(members) {
            Role::Independent => WatcherRank {
                count: members.len() + 1,
                rank: self.ranked_before(members.keys()),
            },
            Role::Watcher => {
                let watchers = self.watchers(members);
                WatcherRank {
                    count: watchers.len() + 1,
                    rank: self.ranked_before(watchers.into_iter()),
                }
            }
            Role::Standby | Role::Follower => WatcherRank::default(),
        }
    }

    /// The others that watch the store for themselves.
    pub fn watchers<'a>(&self, members: &'a Members) -> BTreeSet<&'a String> {
        if members.len() < SMALL_FLEET_MAX {
            return members.keys().collect();
        }
        let mut first: BTreeMap<&str, (u64, &String)> = BTreeMap::new();
        let far = |member: &Member| member.data_centre != self.data_centre;
        for (name, member) in members.iter().filter(|(_, member)| far(member)) {
            let rank = (upstream::id(name), name);
            let least = first.entry(&member.data_centre).or_insert(rank);
            *least = rank.min(*least);
        }
        first.into_values().map(|(_, name)| name).collect()
    }

    /// How many of some instances rank before it.
    fn ranked_before<'a>(&self, names: impl Iterator<Item = &'a String>) -> usize {
        let own = upstream::id(&self.name);
        names.filter(|name| upstream::id(name) < own).count()
    }
}

/// Time between two reads of the instances where so many others are known.
fn look(others: usize) -> Duration {
    if others < SMALL_FLEET_MAX {
        LOOK
    } else {
        LOOK_LARGE
    }
}

/// Keeps the other instances as the store lists them, for ever.
pub(crate) async fn discover(
    client: platform_store::Client,
    own: String,
    found: watch::Sender<Members>,
) {
    let begun = Instant::now();
    let mut link = platform_store::Link::new("instances", &client);
    let mut era = None;
    let mut believed_until = begun;
    loop {
        match client
            .items(PREFIX, link.patience(), Consistency::Serializable)
            .await
        {
            Ok((items, _)) => {
                link.good();
                let mut members = decode(&items, &own);
                let newest = client.absence().borrow().era();
                if era.replace(newest).is_some_and(|era| era < newest) {
                    believed_until = Instant::now() + BELIEVED;
                }
                if Instant::now() < believed_until {
                    let known = found.borrow().clone();
                    members = known.into_iter().chain(members).collect();
                }
                found.send_if_modified(|known| {
                    let changed = *known != members;
                    *known = members;
                    changed
                });
                let pause = match found.borrow().len() {
                    0 if begun.elapsed() < ALONE => LOOK_ALONE,
                    others => look(others),
                };
                sleep(pause).await;
            }
            // Hundreds that ask on would pay for calls that are refused; those known are told meanwhile.
            Err(error) if found.borrow().len() >= SMALL_FLEET_MAX => {
                link.note(&error);
                sleep(LOOK_LARGE).await;
            }
            Err(error) => link.bad(&error).await,
        }
    }
}

/// The instances but `own`; entries that can not be read are left out.
fn decode(items: &[platform::store::Item], own: &str) -> Members {
    let mut members = Members::new();
    for item in items {
        let name = item.key.trim_start_matches(PREFIX);
        let value = match item.bytes() {
            Ok(value) => value,
            Err(error) => {
                warn!("no entry of an instance: {error}");
                continue;
            }
        };
        match serde_json::from_slice(value) {
            Ok(_) if name == own => {}
            Ok(member) => {
                members.insert(name.to_owned(), member);
            }
            Err(error) => warn!("{}: no entry of an instance: {error}", item.key),
        }
    }
    members
}
