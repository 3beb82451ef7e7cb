//! The upstreams as the platform's store lists them, and their changes as instances tell them.

use super::*;
use feed::News;
use platform::store::Change;

/// Bytes of changes in one datagram; it stays below what a link carries in one piece.
const PIECE: usize = 1_200;

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

/// Upstreams by the key of their entry.
#[derive(Default)]
pub struct Roster {
    /// Whether the store was away for this instance too. One that it answers knows that entries which go
    /// missing have not lapsed for want of a store, whatever those that were refused tell.
    pub away: bool,
    /// Revision of the last change that is known.
    pub changed: u64,
    entries: BTreeMap<String, event::Listed>,
    /// Entries that went missing while the store was away, and until when they are believed.
    lapsing: BTreeMap<String, Instant>,
    /// Until when an entry that goes missing may have lapsed while the store was away.
    returning_until: Option<Instant>,
    /// Changes not yet told to other instances.
    untold: Vec<peers::Entry>,
    /// Revision up to which other instances were told; 0 before the first time.
    told: u64,
}

impl Roster {
    /// Takes in what an instance that watches told; the list is known up to `revision`.
    pub fn hear(&mut self, told: &peers::Roster, revision: u64) -> Worth {
        if told.from > revision {
            return Worth::Gap;
        }
        if told.to < revision {
            return Worth::Old;
        }
        if told.returning_ms > 0 && self.away {
            let until = Instant::now() + Duration::from_millis(told.returning_ms.into());
            self.returning_until = Some(until);
        }
        for entry in told
            .entries
            .iter()
            .filter(|entry| entry.revision > revision)
        {
            let key = format!("{}{}", platform::upstream::PREFIX, entry.name);
            if entry.gone {
                self.remove(&key);
                continue;
            }
            match decode(entry) {
                Some(listed) => self.enter(key, listed),
                None => warn!("{key}: `{}` is no address", entry.address),
            }
        }
        Worth::Fresh
    }

    /// Takes in what came too early, now that the list is known up to `revision`; up to which revision it is
    /// known then. What still misses something before it is left.
    pub fn catch_up(&mut self, mut revision: u64, early: &mut Vec<peers::Roster>) -> u64 {
        while let Some(next) = early.iter().position(|told| told.from <= revision) {
            let told = early.swap_remove(next);
            if self.hear(&told, revision) == Worth::Fresh {
                revision = told.to;
            }
        }
        revision
    }

    /// The upstreams as they are believed now.
    pub fn listed(&mut self) -> Vec<event::Listed> {
        let now = Instant::now();
        let over: Vec<String> = self
            .lapsing
            .extract_if(.., |_, until| *until <= now)
            .map(|(key, _)| key)
            .collect();
        for key in over {
            self.entries.remove(&key);
        }
        self.entries.values().cloned().collect()
    }

    /// Time until the next entry is believed no longer.
    pub fn next_lapse(&self) -> Option<Duration> {
        let next = self.lapsing.values().min()?;
        Some(next.saturating_duration_since(Instant::now()))
    }

    /// Has what comes next told as changes behind a revision: the others know of all before it.
    pub fn tell_from(&mut self, revision: u64) {
        self.told = revision;
        self.untold.clear();
    }

    /// What other instances are to be told up to a revision; at least that nothing has changed.
    pub fn pieces(&mut self, revision: u64) -> Vec<peers::Roster> {
        let mut from = if self.told == 0 { revision } else { self.told };
        let untold = std::mem::take(&mut self.untold);
        let until = self
            .returning_until
            .map(|until| until.saturating_duration_since(Instant::now()));
        let returning_ms = until.unwrap_or_default().as_millis() as u32;
        let mut pieces: Vec<peers::Roster> = Vec::new();
        for entries in split(&untold) {
            let to = entries.last().map_or(from, |entry| entry.revision);
            pieces.push(peers::Roster {
                entries: entries.to_vec(),
                from,
                returning_ms,
                to,
            });
            from = to;
        }
        match pieces.last_mut() {
            Some(last) => last.to = revision,
            None => pieces.push(peers::Roster {
                entries: Vec::new(),
                from,
                returning_ms,
                to: revision,
            }),
        }
        self.told = revision;
        pieces
    }

    fn enter(&mut self, key: String, listed: event::Listed) {
        self.lapsing.remove(&key);
        self.entries.insert(key, listed);
    }

    fn remove(&mut self, key: &str) {
        match self.returning_until.filter(|until| *until > Instant::now()) {
            Some(until) => {
                let believed_ms = (until - Instant::now()).as_millis() as u64;
                let upstream = platform::upstream::name(key);
                info!(believed_ms, upstream; "an entry that is missing may have lapsed");
                self.lapsing.entry(key.to_owned()).or_insert(until);
            }
            None => {
                self.entries.remove(key);
            }
        }
    }

    /// Takes in news of the store. Entries that are missing are believed for a while if it was away.
    pub(crate) fn take(&mut self, news: News, believed: Duration) {
        if !believed.is_zero() {
            self.returning_until = Some(Instant::now() + believed);
        }
        match news {
            News::All(items) => {
                let keys: HashSet<&str> = items.iter().map(|item| item.key.as_str()).collect();
                let missing = |key: &&String| !keys.contains(key.as_str());
                let missing: Vec<String> = self.entries.keys().filter(missing).cloned().collect();
                for key in missing {
                    self.remove(&key);
                }
                for item in &items {
                    self.write(item);
                }
                // What changed in between is not known one by one: others must ask.
                self.told = 0;
                self.untold.clear();
            }
            News::Some(changes) => {
                for change in changes {
                    match change {
                        Change::Removed { key, revision } => {
                            self.changed = self.changed.max(revision);
                            self.remove(&key);
                            self.untold.push(peers::Entry {
                                gone: true,
                                name: platform::upstream::name(&key).into(),
                                revision,
                                ..peers::Entry::default()
                            });
                        }
                        Change::Written(item) => self.write(&item),
                    }
                }
            }
        }
    }

    fn write(&mut self, item: &platform::store::Item) {
        self.changed = self.changed.max(item.revision);
        match platform::upstream::decode(item) {
            Ok(listed) => {
                self.untold.push(encode(&listed, item.revision));
                self.enter(item.key.clone(), listed);
            }
            Err(error) => error!("an upstream's entry is left as it was: {error}"),
        }
    }
}

/// Splits changes into parts that a datagram holds each.
fn split(entries: &[peers::Entry]) -> Vec<&[peers::Entry]> {
    let mut parts = Vec::new();
    let (mut start, mut bytes) = (0, 0);
    for (index, entry) in entries.iter().enumerate() {
        let length = entry.encoded_len();
        if bytes + length > PIECE && index > start {
            parts.push(&entries[start..index]);
            (start, bytes) = (index, 0);
        }
        bytes += length;
    }
    if start < entries.len() {
        parts.push(&entries[start..]);
    }
    parts
}

/// A change as other instances are told it; `None` if its address is none.
fn decode(entry: &peers::Entry) -> Option<event::Listed> {
    Some(event::Listed {
        address: entry.address.parse().ok()?,
        data_centre: entry.data_centre.clone(),
        leaving: entry.leaving,
        name: entry.name.clone(),
        pool: entry.pool.clone(),
        since: entry.since,
        slots: entry.slots,
    })
}

fn encode(listed: &event::Listed, revision: u64) -> peers::Entry {
    peers::Entry {
        address: listed.address.to_string(),
        data_centre: listed.data_centre.clone(),
        gone: false,
        leaving: listed.leaving,
        name: listed.name.clone(),
        pool: listed.pool.clone(),
        revision,
        since: listed.since,
        slots: listed.slots,
    }
}
