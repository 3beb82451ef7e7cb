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
    Listed(ListEntry),
    /// It was written and names no upstream to use, as another writer's: the one under this name gets no new work.
    Odd,
}

/// Time that a datagram may take, in milliseconds: who hears that an entry is missing counts from then on.
const HOP_MS: u64 = 50;

/// Time between two returns of the store of which the second ends another absence, in milliseconds: two heartbeats of
/// upstreams, the shortest in which entries may go. Instances see one return less than that apart.
const ANOTHER_MS: u64 = 2_400;

/// The same of two returns that this instance saw itself, in milliseconds: a little more than entries are believed behind
/// the first. Two refusals of 2.2 and 1.9 s, 0.2 s apart, else had living upstreams given up.
const ANOTHER_OWN_MS: u64 = 2_100;

/// Time for which it is remembered that a life left or went, in milliseconds: copies from which the store comes back are
/// seconds old, and upstreams that left are gone within minutes.
const LEFT_MS: u64 = 600_000;

/// Lives of which that is remembered, at most: all upstreams of the largest fleet designed for, replaced once. Of more the
/// oldest is forgotten.
const LEFT_MOST: usize = 2_200;

/// One change of the list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Change {
    /// The entry as it is now.
    pub entry: Entry,
    /// Name of the upstream.
    pub name: String,
    /// Where it stands in the store's history.
    pub position: Position,
}

/// What an instance tells others of the list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Word {
    /// For how long the store was away before, in milliseconds; with `returning_ms`, else 0.
    pub away_ms: u64,
    /// In the order of their positions.
    pub changes: Vec<Change>,
    /// Position behind which the changes begin.
    pub from: Position,
    /// Whether entries that go are believed for longer than behind one absence, since the store was away again soon.
    pub held: bool,
    /// Time for which entries that go are still believed, in milliseconds: the store was away.
    pub returning_ms: u64,
    /// For how long the store had not been away for who tells it, in milliseconds.
    pub steady_ms: u64,
    /// Position up to which they are told.
    pub to: Position,
}

/// What word from another instance is worth.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Worth {
    /// The list is known up to its position.
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
    /// Position of the last change that is known.
    pub changed: Position,
    entries: BTreeMap<String, ListEntry>,
    /// When the store was away last.
    absent: Option<Span>,
    /// Whether the end of that was put off, since the store was away again soon.
    held: bool,
    /// Whether another instance told of that.
    hearsay: bool,
    /// Lives that left or went of late.
    left: BTreeMap<Life, Left>,
    /// Entries that are missing and are believed, since they may have gone while the store was away.
    lapsing: BTreeSet<String>,
    /// Those that are new among them.
    new_lapsing: Vec<String>,
    /// Where the entries were written that are listed.
    places: BTreeMap<String, Position>,
    /// The newest position that anything was known at.
    seen: Position,
    /// Lives whose entries another writer wrote over.
    spoilt: BTreeMap<String, Life>,
    /// Changes not yet told to other instances.
    untold: Vec<Change>,
    /// Position up to which other instances were told; `None` before the first time.
    told: Option<Position>,
}

/// A life that left or went, as the store showed it. A copy from before may show it as it was.
#[derive(Clone, Copy, Debug)]
struct Left {
    at: Time,
    /// Whether it said that it leaves.
    leaving: bool,
    /// Position up to which that was known.
    to: Position,
}

impl Word {
    /// When the store was away for who told it, if entries that went then are still believed.
    pub fn away(&self, now: Time) -> Option<Span> {
        if self.returning_ms == 0 {
            return None;
        }
        let to = now.before(absence::BELIEVED_MS.saturating_sub(self.returning_ms));
        let from = to.before(self.away_ms);
        Some(Span { from, to })
    }
}

impl Roster {
    /// Takes in what an instance that watches told; the list is known up to `known`.
    pub fn hear(&mut self, word: &Word, known: Position, now: Time) -> Worth {
        // Also where changes before it are missing: who reads them itself would else count the absence from its own first answer.
        if self.away {
            let heard = word.away(now);
            self.believe(heard, ANOTHER_MS);
            self.hearsay |= heard.is_some();
            if word.held {
                // Upstreams could not enter themselves meanwhile.
                self.hold(now.after(word.returning_ms));
            }
        }
        if word.from > known {
            return Worth::Gap;
        }
        if word.to < known {
            return Worth::Old;
        }
        for change in &word.changes {
            if change.position > known {
                let change = self.corrected(change.clone(), now);
                self.apply(&change, now);
            }
        }
        Worth::Fresh
    }

    /// Takes in what came too early, now that the list is known up to `known`; up to which position it is
    /// known then. What still misses something before it is left.
    pub fn catch_up(&mut self, mut known: Position, early: &mut Vec<Word>, now: Time) -> Position {
        while let Some(next) = early.iter().position(|word| word.from <= known) {
            let word = early.swap_remove(next);
            if self.hear(&word, known, now) == Worth::Fresh {
                known = word.to;
            }
        }
        known
    }

    /// The upstreams as they are believed.
    pub fn listed(&self) -> Vec<ListEntry> {
        self.entries.values().cloned().collect()
    }

    /// Gives up upstreams that are missing for long enough, now that the store has just been heard: one that is
    /// away again hears nobody enter.
    pub fn give_up(&mut self, now: Time) {
        if self.believed_ms(now) > HOP_MS {
            return;
        }
        for name in std::mem::take(&mut self.lapsing) {
            self.forget(&name, now);
        }
    }

    /// Entries that are believed though they are missing, each told once.
    pub fn new_lapsing(&mut self) -> Vec<String> {
        std::mem::take(&mut self.new_lapsing)
    }

    /// For how much longer entries that are missing are believed, in milliseconds.
    pub fn believed_ms(&self, now: Time) -> u64 {
        self.absent
            .map_or(0, |absent| absence::believed_ms(absent, now))
    }

    /// When the store is to be heard of entries that are missing.
    pub fn next_lapse(&self) -> Option<Time> {
        let absent = self.absent.filter(|_| !self.lapsing.is_empty())?;
        Some(absent.to.after(absence::BELIEVED_MS))
    }

    /// Has what comes next told as changes behind a position: the others know of all before it.
    pub fn tell_from(&mut self, position: Position) {
        self.told = Some(position);
        self.untold.clear();
    }

    /// What other instances are to be told up to a position; at least that nothing has changed. `steady_ms` is for how long the
    /// store has not been away.
    pub fn words(&mut self, known: Position, steady_ms: u64, now: Time) -> Vec<Word> {
        let mut from = self.told.unwrap_or(known);
        let untold = std::mem::take(&mut self.untold);
        let returning_ms = self.believed_ms(now);
        let away = self.absent.filter(|_| returning_ms > 0);
        let away_ms = away.map_or(0, |away| away.to.since(away.from));
        let mut words: Vec<Word> = Vec::new();
        for changes in split(&untold) {
            let to = changes.last().map_or(from, |change| change.position);
            words.push(Word {
                away_ms,
                changes: changes.to_vec(),
                from,
                held: self.held,
                returning_ms,
                steady_ms,
                to,
            });
            from = to;
        }
        match words.last_mut() {
            Some(last) => last.to = known,
            None => words.push(Word {
                away_ms,
                changes: Vec::new(),
                from,
                held: self.held,
                returning_ms,
                steady_ms,
                to: known,
            }),
        }
        self.told = Some(known);
        words
    }

    /// Takes in all that the store lists at a position, which was `away` last. Entries that are missing are believed for a while.
    pub fn take_all(
        &mut self,
        entries: &[Change],
        position: Position,
        away: Option<Span>,
        now: Time,
    ) {
        if position.era > self.changed.era {
            // Each return from a copy loses entries of its own, however soon it comes behind another.
            self.absent = away.or(self.absent);
            self.changed = Position::new(position.era, 0);
        } else {
            self.believe_own(away);
        }
        self.seen = self.seen.max(position);
        let names: BTreeSet<&str> = entries.iter().map(|entry| entry.name.as_str()).collect();
        let missing = |name: &&String| !names.contains(name.as_str());
        let missing: Vec<String> = self.entries.keys().filter(missing).cloned().collect();
        if !missing.is_empty() {
            // An entry that went leaves no position. Others would be told that nothing has changed behind the one they know.
            self.changed = self.changed.max(position);
        }
        for name in missing {
            self.remove(&name, now);
        }
        for entry in entries {
            self.changed = self.changed.max(entry.position);
            let entry = self.corrected(entry.clone(), now);
            self.apply(&entry, now);
        }
        // What changed in between is not known one by one: others must ask.
        self.told = None;
        self.untold.clear();
    }

    /// Takes in changes that the store told, which was `away` last. Entries that go are believed for a while.
    pub fn take(&mut self, changes: Vec<Change>, away: Option<Span>, now: Time) {
        self.believe_own(away);
        for change in changes {
            self.changed = self.changed.max(change.position);
            let change = self.corrected(change, now);
            self.apply(&change, now);
            self.untold.push(change);
        }
    }

    fn apply(&mut self, change: &Change, now: Time) {
        self.seen = self.seen.max(change.position);
        match &change.entry {
            Entry::Gone => self.remove(&change.name, now),
            Entry::Listed(listed) => {
                let former = self.entries.get(&change.name).map(ListEntry::life);
                if let Some(former) = former.filter(|former| *former != listed.life()) {
                    self.note_left(former, false, now);
                }
                if listed.leaving {
                    self.note_left(listed.life(), true, now);
                }
                self.lapsing.remove(&change.name);
                self.spoilt.remove(&change.name);
                self.places.insert(change.name.clone(), change.position);
                self.entries.insert(change.name.clone(), listed.clone());
            }
            Entry::Odd => {
                self.lapsing.remove(&change.name);
                self.places.remove(&change.name);
                if let Some(listed) = self.entries.remove(&change.name) {
                    self.spoilt.insert(change.name.clone(), listed.life());
                }
            }
        }
    }

    /// A change as it is to be believed. The store may be back from a copy from before a life left: one that said that it leaves stays
    /// so, and one that had gone is not there again unless it wrote since. Else such lives were given work again for as long as
    /// the copy's entries stood.
    fn corrected(&self, mut change: Change, now: Time) -> Change {
        let Entry::Listed(listed) = &mut change.entry else {
            return change;
        };
        let known = self.entries.get(&change.name).map(ListEntry::life);
        let place = self.places.get(&change.name).copied().unwrap_or_default();
        let is_copied =
            place.era < change.position.era && change.position.revision < place.revision;
        if is_copied && known.is_some_and(|known| known != listed.life()) {
            // A former life, from before the one that is known began.
            change.entry = Entry::Gone;
            return change;
        }
        let before =
            |left: &&Left| left.to.era < change.position.era && now.since(left.at) < LEFT_MS;
        let Some(left) = self.left.get(&listed.life()).filter(before) else {
            return change;
        };
        if left.leaving {
            listed.leaving = true;
        } else if change.position.revision <= left.to.revision {
            change.entry = Entry::Gone;
        }
        change
    }

    /// Remembers that a life left or went.
    fn note_left(&mut self, life: Life, leaving: bool, at: Time) {
        let known = self.left.get(&life);
        if known.is_some_and(|left| left.leaving || !leaving && left.to.era == self.seen.era) {
            return;
        }
        if self.left.len() >= LEFT_MOST
            && let Some(oldest) = self.left.iter().min_by_key(|(_, left)| left.at)
        {
            let oldest = *oldest.0;
            self.left.remove(&oldest);
        }
        let to = self.seen;
        self.left.insert(life, Left { at, leaving, to });
    }

    /// Takes an entry out; its life has gone.
    fn forget(&mut self, name: &str, now: Time) {
        self.places.remove(name);
        if let Some(listed) = self.entries.remove(name) {
            self.note_left(listed.life(), false, now);
        }
    }

    /// Notes when the store was away by this instance's own account.
    fn believe_own(&mut self, away: Option<Span>) {
        let another_ms = if self.hearsay {
            ANOTHER_MS
        } else {
            ANOTHER_OWN_MS
        };
        self.believe(away, another_ms);
    }

    /// Notes when the store was away. Of one absence that several saw, the first return counts: another one lasts
    /// longer than their returns are apart.
    fn believe(&mut self, away: Option<Span>, another_ms: u64) {
        let Some(away) = away else {
            return;
        };
        let is_another = |known: Span| away.to.since(known.to) >= another_ms;
        if self.absent.is_none_or(is_another) {
            self.absent = Some(away);
            self.held = false;
        }
    }

    /// The store was not away in a span, as another instance tells: entries that are missing have not gone for want of it then.
    pub fn doubt_absence(&mut self, steady: Span, absence: &Absence, now: Time) {
        let Some(absent) = &mut self.absent else {
            return;
        };
        let over = now.before(absence::BELIEVED_MS);
        let to = absence
            .without(*absent, steady)
            .map_or(over, |left| left.to);
        absent.to = absent.to.min(to);
        absent.from = absent.from.min(absent.to);
    }

    /// Has entries that are missing believed up to a time at least: calls failed again soon behind an absence, and
    /// upstreams could not enter themselves meanwhile.
    pub fn hold(&mut self, until: Time) {
        if let Some(absent) = &mut self.absent
            && until <= absent.to.after(absence::BELIEVED_MS + ANOTHER_MS)
        {
            let to = until.before(absence::BELIEVED_MS);
            self.held |= to > absent.to;
            absent.to = absent.to.max(to);
        }
    }

    /// Another instance tells of a return behind the one that is known here. If this instance found the store not to answer in between
    /// it is another return, however soon: upstreams have from then on to enter themselves.
    pub fn hear_return(&mut self, away: Span, unanswered: Option<Time>) {
        let known = self.absent.map(|absent| absent.to);
        let between = known
            .zip(unanswered)
            .is_some_and(|(known, unanswered)| known < unanswered && unanswered < away.to);
        if between {
            self.hold(away.to.after(absence::BELIEVED_MS));
        }
    }

    fn remove(&mut self, name: &str, now: Time) {
        if let Some(life) = self.spoilt.remove(name) {
            self.note_left(life, false, now);
        }
        if !self.entries.contains_key(name) {
            return;
        }
        if self.believed_ms(now) == 0 {
            self.forget(name, now);
            self.lapsing.remove(name);
        } else if self.lapsing.insert(name.to_owned()) {
            self.new_lapsing.push(name.to_owned());
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
            let named = listed.data_centre.len() + listed.pool.len() + listed.version.len();
            listed.address.to_string().len() + named
        }
    };
    CHANGE + change.name.len() + texts
}
