//! The users' store in virtual time: revisions, history, reads that wait for a change.

use super::*;
use std::sync::Arc;
use wellplank_core::{
    clock::Time,
    config::Config,
    event::ListEntry,
    informer_io::{Answer, Call, Consistency, Content, Topic},
    position::Position,
    roster::{Change, Entry},
};

/// Age that reads may have which may be old, in milliseconds.
const OLD_MS: u64 = 300;

/// Age of the oldest copy from which it comes back, in milliseconds.
const COPY_MS: u64 = 5_000;

/// An upstream's entry.
#[derive(Clone)]
struct Item {
    entry: Entry,
    lapses: Time,
    revision: u64,
    /// Revision of its creation.
    since: u64,
}

/// A change that is remembered.
enum Past {
    Configuration(u64),
    Upstream(Change),
}

/// What the store held at a moment.
#[derive(Clone)]
struct Snapshot {
    configurations: Vec<(Time, u64, u64)>,
    items: BTreeMap<String, Item>,
    revision: u64,
}

/// The store.
pub(crate) struct Registry {
    /// How often it has come back from a copy.
    pub era: u64,
    /// What it held of late, oldest first.
    snapshots: VecDeque<(Time, Snapshot)>,
    /// Revisions of configurations, with when they were written, and the store's revision then.
    configurations: Vec<(Time, u64, u64)>,
    history: Vec<(u64, Past)>,
    items: BTreeMap<String, Item>,
    /// Revision up to which history is forgotten.
    oldest: u64,
    pub revision: u64,
}

impl Registry {
    /// A store with a first configuration.
    pub fn new() -> Self {
        let mut registry = Self {
            era: 0,
            snapshots: VecDeque::new(),
            configurations: Vec::new(),
            history: Vec::new(),
            items: BTreeMap::new(),
            oldest: 0,
            revision: 0,
        };
        registry.configure(Time::default());
        registry
    }

    /// Where its history stands.
    fn position(&self) -> Position {
        Position::new(self.era, self.revision)
    }

    /// Keeps a copy of what it holds.
    pub fn copy(&mut self, now: Time) {
        let old = |(at, _): &mut (Time, Snapshot)| now.since(*at) > COPY_MS;
        while self.snapshots.pop_front_if(old).is_some() {}
        let snapshot = Snapshot {
            configurations: self.configurations.clone(),
            items: self.items.clone(),
            revision: self.revision,
        };
        self.snapshots.push_back((now, snapshot));
    }

    /// Comes back from a copy that is so old, or the oldest one; whether there was any. What was written since is gone, and
    /// revisions are given out again. How many configurations there had been.
    pub fn restore(&mut self, age_ms: u64, now: Time) -> usize {
        let written = self.configurations.len();
        let old = |(at, _): &&(Time, Snapshot)| now.since(*at) >= age_ms;
        let copy = self.snapshots.iter().rev().find(old);
        let Some((_, copy)) = copy.or(self.snapshots.front()).cloned() else {
            return written;
        };
        self.era += 1;
        self.snapshots.clear();
        self.configurations = copy.configurations;
        self.items = copy.items;
        self.revision = copy.revision;
        self.oldest = self.oldest.min(copy.revision);
        let since = |(revision, _): &(u64, Past)| *revision <= copy.revision;
        self.history.retain(since);
        written
    }

    /// Whether another writer's entry stands under a name.
    pub fn is_odd(&self, name: &str) -> bool {
        let item = self.items.get(name);
        item.is_some_and(|item| item.entry == Entry::Invalid)
    }

    /// How many configurations it has had.
    pub fn configured(&self) -> usize {
        self.configurations.len()
    }

    /// Writes the next configuration; its revision.
    pub fn configure(&mut self, now: Time) -> u64 {
        self.revision += 1;
        let config = self.configurations.len() as u64 + 1;
        self.configurations.push((now, config, self.revision));
        self.history
            .push((self.revision, Past::Configuration(config)));
        config
    }

    /// Writes an upstream's entry, which lapses then; only another state of it is a change.
    pub fn enter(&mut self, mut listed: ListEntry, lapses: Time) {
        let known = self.items.get(&listed.name);
        let since = known.map_or(self.revision + 1, |item| item.since);
        listed.registered_at = Position::new(self.era, since);
        let name = listed.name.clone();
        self.write(&name, Entry::Listed(listed), lapses);
    }

    /// Has another writer write over an upstream's entry.
    pub fn spoil(&mut self, name: &str, lapses: Time) {
        self.write(name, Entry::Invalid, lapses);
    }

    fn write(&mut self, name: &str, entry: Entry, lapses: Time) {
        if let Some(item) = self.items.get_mut(name) {
            item.lapses = lapses;
            if item.entry == entry {
                return;
            }
        }
        self.revision += 1;
        let revision = self.revision;
        let change = Change {
            entry: entry.clone(),
            name: name.to_owned(),
            position: self.position(),
        };
        self.history.push((revision, Past::Upstream(change)));
        let since = self.items.get(name).map_or(revision, |item| item.since);
        let item = Item {
            entry,
            lapses,
            revision,
            since,
        };
        self.items.insert(name.to_owned(), item);
    }

    /// Removes entries whose time is over.
    pub fn expire(&mut self, now: Time) {
        let over = self.items.iter().filter(|(_, item)| item.lapses <= now);
        let over: Vec<String> = over.map(|(name, _)| name.clone()).collect();
        for name in over {
            self.remove(&name);
        }
    }

    /// Has all entries lapse no earlier than then: leases wait while the store is down.
    pub fn extend(&mut self, until: Time) {
        for item in self.items.values_mut() {
            item.lapses = item.lapses.max(until);
        }
    }

    /// Forgets all history.
    pub fn forget(&mut self) {
        self.oldest = self.revision;
        self.history.clear();
    }

    /// Removes an entry.
    pub fn remove(&mut self, name: &str) {
        if self.items.remove(name).is_none() {
            return;
        }
        self.revision += 1;
        let change = Change {
            entry: Entry::Deleted,
            name: name.to_owned(),
            position: self.position(),
        };
        self.history.push((self.revision, Past::Upstream(change)));
    }

    /// The answer to a call; `None` while a waiting read sees no change.
    pub fn answer(&self, call: &Call, now: Time, over: bool) -> Option<Answer> {
        let Some(since) = call.since else {
            return Some(Answer::Complete(self.all(call, now), self.position()));
        };
        let since = since.revision;
        if since < self.oldest || since > self.revision {
            return Some(Answer::Compacted);
        }
        let behind = self
            .history
            .iter()
            .filter(|(revision, _)| *revision > since);
        let (content, changed) = match call.topic {
            Topic::Configuration => {
                let newest = behind.rev().find_map(|(_, past)| match past {
                    Past::Configuration(revision) => Some(*revision),
                    Past::Upstream(_) => None,
                });
                (configuration(newest), newest.is_some())
            }
            Topic::Upstreams => {
                let changes = behind.filter_map(|(_, past)| match past {
                    Past::Configuration(_) => None,
                    Past::Upstream(change) => Some(change.clone()),
                });
                let changes: Vec<Change> = changes.collect();
                let changed = !changes.is_empty();
                (Content::Upstreams(changes), changed)
            }
        };
        (changed || over).then_some(Answer::Complete(content, self.position()))
    }

    fn all(&self, call: &Call, now: Time) -> Content {
        match call.topic {
            Topic::Configuration => {
                let old = match call.consistency {
                    Consistency::Linearizable => 0,
                    Consistency::Serializable => OLD_MS,
                };
                let written = |(at, _, _): &&(Time, u64, u64)| at.after(old) <= now;
                let newest = self.configurations.iter().rev().find(written);
                configuration(newest.map(|(_, revision, _)| *revision))
            }
            Topic::Upstreams => {
                let items = self.items.iter().map(|(name, item)| Change {
                    entry: item.entry.clone(),
                    name: name.clone(),
                    position: Position::new(self.era, item.revision),
                });
                Content::Upstreams(items.collect())
            }
        }
    }
}

/// A configuration as an answer brings it.
fn configuration(revision: Option<u64>) -> Content {
    let config = revision.map(|revision| {
        Arc::new(Config {
            revision,
            ..Config::default()
        })
    });
    Content::Configuration { bytes: 0, config }
}
