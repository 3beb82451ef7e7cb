//! The upstreams as the platform's store lists them, and their changes as instances tell them.

use super::*;

/// Size of the changes in one word, in bytes; a datagram with it stays below what a link carries in one piece.
const PIECE: usize = 1_200;

/// Size of a change beside its texts, in bytes.
const CHANGE: usize = 44;

/// What became of an upstream's entry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Entry {
    /// It went.
    Gone,
    /// It was written.
    Listed(Listed),
    /// It was written and can not be read; what was known of it stays.
    Odd,
}

/// One change of the list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The entry as it is now.
    pub entry: Entry,
    /// Name of the upstream.
    pub name: String,
    /// Revision of the store.
    pub revision: u64,
}

/// What an instance tells others of the list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Word {
    /// In the order of their revisions.
    pub changes: Vec<Change>,
    /// Revision behind which the changes begin.
    pub from: u64,
    /// Time for which entries that go are still believed, in milliseconds: the store was away.
    pub returning_ms: u64,
    /// Revision up to which they are told.
    pub to: u64,
}

/// What word from another instance is worth.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Worth {
    /// The list is known up to its revision.
    Fresh,
    /// Changes before it are missing.
    Gap,
    /// More is known already.
    Old,
}

/// Upstreams by their names.
#[derive(Debug, Default)]
pub struct Roster {
    /// Whether the store was away for this instance too. One that it answers knows that entries which go
    /// missing have not lapsed for want of a store, whatever those that were refused tell.
    pub away: bool,
    /// Revision of the last change that is known.
    pub changed: u64,
    entries: BTreeMap<String, Listed>,
    /// Entries that went missing while the store was away, and until when they are believed.
    lapsing: BTreeMap<String, Time>,
    /// Those that are new among them.
    new_lapsing: Vec<(String, Time)>,
    /// Until when an entry that goes missing may have lapsed while the store was away.
    returning_until: Time,
    /// Changes not yet told to other instances.
    untold: Vec<Change>,
    /// Revision up to which other instances were told; 0 before the first time.
    told: u64,
}

impl Roster {
    /// Takes in what an instance that watches told; the list is known up to `revision`.
    pub fn hear(&mut self, word: &Word, revision: u64, now: Time) -> Worth {
        if word.from > revision {
            return Worth::Gap;
        }
        if word.to < revision {
            return Worth::Old;
        }
        if self.away {
            self.believe(word.returning_ms, now);
        }
        for change in &word.changes {
            if change.revision > revision {
                self.apply(change, now);
            }
        }
        Worth::Fresh
    }

    /// Takes in what came too early, now that the list is known up to `revision`; up to which revision it is
    /// known then. What still misses something before it is left.
    pub fn catch_up(&mut self, mut revision: u64, early: &mut Vec<Word>, now: Time) -> u64 {
        while let Some(next) = early.iter().position(|word| word.from <= revision) {
            let word = early.swap_remove(next);
            if self.hear(&word, revision, now) == Worth::Fresh {
                revision = word.to;
            }
        }
        revision
    }

    /// The upstreams as they are believed now.
    pub fn listed(&mut self, now: Time) -> Vec<Listed> {
        let over = self.lapsing.extract_if(.., |_, until| *until <= now);
        for (name, _) in over {
            self.entries.remove(&name);
        }
        self.entries.values().cloned().collect()
    }

    /// Entries that are believed though they are missing, and until when, each told once.
    pub fn new_lapsing(&mut self) -> Vec<(String, Time)> {
        std::mem::take(&mut self.new_lapsing)
    }

    /// When the next entry is believed no longer.
    pub fn next_lapse(&self) -> Option<Time> {
        self.lapsing.values().min().copied()
    }

    /// Has what comes next told as changes behind a revision: the others know of all before it.
    pub fn tell_from(&mut self, revision: u64) {
        self.told = revision;
        self.untold.clear();
    }

    /// What other instances are to be told up to a revision; at least that nothing has changed.
    pub fn words(&mut self, revision: u64, now: Time) -> Vec<Word> {
        let mut from = if self.told == 0 { revision } else { self.told };
        let untold = std::mem::take(&mut self.untold);
        let returning_ms = self.returning_until.since(now);
        let mut words: Vec<Word> = Vec::new();
        for changes in split(&untold) {
            let to = changes.last().map_or(from, |change| change.revision);
            words.push(Word {
                changes: changes.to_vec(),
                from,
                returning_ms,
                to,
            });
            from = to;
        }
        match words.last_mut() {
            Some(last) => last.to = revision,
            None => words.push(Word {
                changes: Vec::new(),
                from,
                returning_ms,
                to: revision,
            }),
        }
        self.told = revision;
        words
    }

    /// Takes in all that the store lists.
    pub fn take_all(&mut self, entries: &[Change], believed_ms: u64, now: Time) {
        self.believe(believed_ms, now);
        let names: BTreeSet<&str> = entries.iter().map(|entry| entry.name.as_str()).collect();
        let missing = |name: &&String| !names.contains(name.as_str());
        let missing: Vec<String> = self.entries.keys().filter(missing).cloned().collect();
        for name in missing {
            self.remove(&name, now);
        }
        for entry in entries {
            self.changed = self.changed.max(entry.revision);
            self.apply(entry, now);
        }
        // What changed in between is not known one by one: others must ask.
        self.told = 0;
        self.untold.clear();
    }

    /// Takes in changes that the store told. Entries that go are believed for a while if it was away.
    pub fn take(&mut self, changes: Vec<Change>, believed_ms: u64, now: Time) {
        self.believe(believed_ms, now);
        for change in changes {
            self.changed = self.changed.max(change.revision);
            self.apply(&change, now);
            if change.entry != Entry::Odd {
                self.untold.push(change);
            }
        }
    }

    fn apply(&mut self, change: &Change, now: Time) {
        match &change.entry {
            Entry::Gone => self.remove(&change.name, now),
            Entry::Listed(listed) => {
                self.lapsing.remove(&change.name);
                self.entries.insert(change.name.clone(), listed.clone());
            }
            Entry::Odd => {}
        }
    }

    fn believe(&mut self, believed_ms: u64, now: Time) {
        if believed_ms > 0 {
            self.returning_until = now.after(believed_ms);
        }
    }

    fn remove(&mut self, name: &str, now: Time) {
        if !self.entries.contains_key(name) {
            return;
        }
        if self.returning_until > now {
            let until = self.returning_until;
            if !self.lapsing.contains_key(name) {
                self.lapsing.insert(name.to_owned(), until);
                self.new_lapsing.push((name.to_owned(), until));
            }
        } else {
            self.entries.remove(name);
            self.lapsing.remove(name);
        }
    }
}

/// Splits changes into parts that a datagram holds each.
fn split(changes: &[Change]) -> Vec<&[Change]> {
    let mut parts = Vec::new();
    let (mut start, mut bytes) = (0, 0);
    for (index, change) in changes.iter().enumerate() {
        let length = size(change);
        if bytes + length > PIECE && index > start {
            parts.push(&changes[start..index]);
            (start, bytes) = (index, 0);
        }
        bytes += length;
    }
    if start < changes.len() {
        parts.push(&changes[start..]);
    }
    parts
}

/// Bytes that a change takes in a datagram, at most.
fn size(change: &Change) -> usize {
    let texts = match &change.entry {
        Entry::Gone | Entry::Odd => 0,
        Entry::Listed(listed) => {
            listed.address.to_string().len() + listed.data_centre.len() + listed.pool.len()
        }
    };
    CHANGE + change.name.len() + texts
}
