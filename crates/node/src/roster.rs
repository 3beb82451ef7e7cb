//! The upstreams, as the platform's store lists them.
//!
//! Each call of the store is paid for. In a small fleet every instance watches the list. In a larger
//! one a few watch it and tell the others by datagrams; an instance that hears nothing for a while, or
//! misses a change, asks the store itself.

use super::*;
use feed::{Client, Cursor, Link, News};
use platform::store::Change;

/// Pause between two watches for each upstream, in which changes gather: each call is paid for, and a
/// lost data centre changes a part of all entries.
const GATHER_EACH: Duration = Duration::from_millis(6);

/// The shortest such pause. The longest is half of the time in which a leaving upstream must get no
/// more work; the other half is for the call.
const GATHER_LEAST: Duration = Duration::from_millis(200);

/// Instances up to which each of them watches: there a watch each costs less than telling.
pub(crate) const FEW: usize = 12;

/// Instances that watch for all in a larger fleet; two of them may be lost at once.
const WATCHERS: usize = 3;

/// Pause and longest wait of an instance that watches for others, so that it tells at least each
/// second that nothing has changed.
const TELL: Duration = Duration::from_millis(500);

/// Time without word from those that watch after which an instance asks the store itself: more than
/// one of their rounds, and half of the time in which a leaving upstream must get no more work.
const UNHEARD: Duration = Duration::from_millis(1_500);

/// Changes in one datagram; it stays below what a link carries in one piece.
const PIECE: usize = 10;

/// Time after the store's return up to which upstreams whose entries lapsed in between are believed
/// to live; they enter themselves again within about two seconds.
const LAPSED: Duration = Duration::from_secs(2);

/// What the task needs.
pub(crate) struct Task {
    /// Other instances.
    pub addresses: watch::Receiver<gossip::Addresses>,
    /// Client of the store.
    pub client: Client,
    /// Clock of the instance.
    pub clock: Clock,
    /// The core task.
    pub driver: Driver,
    /// The most that other instances know.
    pub heard: watch::Receiver<gossip::Known>,
    /// Name of this instance.
    pub instance: String,
    /// What this instance knows.
    pub known: watch::Sender<gossip::Known>,
    /// Time in which a leaving upstream must get no more work.
    pub leave: Duration,
    /// Changes of the list that other instances tell.
    pub rosters: mpsc::UnboundedReceiver<peers::Roster>,
    /// Where other instances are told.
    pub told: mpsc::UnboundedSender<gossip::Told>,
}

/// What an instance does for the list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Role {
    /// It watches for itself, as all do.
    Alone,
    /// It hears from those that watch.
    Follower,
    /// It watches and tells the others.
    Watcher,
}

/// What word from another instance is worth.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Heard {
    /// The list is known up to its revision.
    Fresh,
    /// Changes before it are missing.
    Gap,
    /// More is known already.
    Old,
}

impl Task {
    /// Keeps the core's upstreams as the store lists them, for ever.
    pub async fn run(mut self) {
        let mut cursor = Cursor::new(self.client.clone(), platform::upstream::PREFIX);
        let mut link = Link::new("upstreams");
        let mut roster = Roster::default();
        loop {
            let role = self.role();
            if role == Role::Follower && cursor.revision.is_some() {
                self.follow(&mut cursor, &mut roster).await;
                self.list(&mut roster);
                continue;
            }
            cursor.wait = match role {
                Role::Alone => feed::WAIT,
                Role::Follower | Role::Watcher => TELL,
            };
            if !self.watch(&mut cursor, &mut link, &mut roster).await {
                continue;
            }
            let entries = self.list(&mut roster);
            let pause = match role {
                Role::Watcher => {
                    self.tell(&mut roster, cursor.revision);
                    TELL
                }
                Role::Alone | Role::Follower => {
                    let longest = (self.leave / 2).max(GATHER_LEAST);
                    (GATHER_EACH * entries as u32).clamp(GATHER_LEAST, longest)
                }
            };
            sleep(pause).await;
        }
    }

    /// Hears from those that watch, or asks the store after a while without fresh word or when a
    /// change was missed.
    async fn follow(&mut self, cursor: &mut Cursor, roster: &mut Roster) {
        let end = Instant::now() + UNHEARD;
        loop {
            let left = end.saturating_duration_since(Instant::now());
            let Ok(Some(told)) = timeout(left, self.rosters.recv()).await else {
                break;
            };
            match roster.hear(&told, cursor.revision.unwrap_or(0)) {
                Heard::Fresh => {
                    cursor.revision = Some(told.to);
                    return;
                }
                Heard::Gap => break,
                Heard::Old => {}
            }
        }
        cursor.wait = Duration::ZERO;
        match cursor.next().await {
            Ok(news) => roster.take(news, false),
            Err(error) => {
                debug!("asking for upstreams: {error}");
                sleep(TELL).await;
            }
        }
    }

    /// Tells the core; how many upstreams there are.
    fn list(&self, roster: &mut Roster) -> usize {
        let listed = roster.listed();
        let entries = listed.len();
        let changed = roster.changed;
        self.known.send_modify(|known| known.list = changed);
        let asked = self.clock.now();
        let listed = Some(listed);
        self.driver.event(Event::List { asked, listed });
        entries
    }

    fn role(&self) -> Role {
        let addresses = self.addresses.borrow();
        if addresses.len() < FEW {
            return Role::Alone;
        }
        let own = upstream::id(&self.instance);
        let before = addresses.keys().filter(|name| upstream::id(name) < own);
        if before.count() < WATCHERS {
            Role::Watcher
        } else {
            Role::Follower
        }
    }

    /// Tells other instances what has changed up to a revision.
    fn tell(&self, roster: &mut Roster, revision: Option<u64>) {
        for piece in roster.pieces(revision.unwrap_or(0)) {
            // The task that tells ends only with the instance.
            let _ = self.told.send(gossip::Told::Roster(piece));
        }
    }

    /// Watches the store once; whether the list is to be told to the core.
    async fn watch(&mut self, cursor: &mut Cursor, link: &mut Link, roster: &mut Roster) -> bool {
        // What others know of is missing here only behind the revision that was read or watched up to.
        let seen = cursor.revision;
        let lapse = roster.next_lapse().unwrap_or(feed::WAIT * 2);
        let behind = feed::behind(&mut self.heard, move |heard| Some(heard.list) > seen);
        let next = tokio::select! {
            next = timeout(lapse, cursor.next()) => next,
            () = behind, if seen.is_some() => {
                let error = Error::Store("other instances know a newer one".into());
                Ok(Err(error))
            }
        };
        match next {
            Ok(Ok(news)) => {
                let returned = link.good();
                roster.take(news, returned);
            }
            Ok(Err(error)) => {
                link.bad(&error).await;
                return false;
            }
            // An entry has been missing for long enough.
            Err(_) => {}
        }
        true
    }
}

/// Upstreams by the key of their entry.
#[derive(Default)]
struct Roster {
    /// Revision of the last change that is known.
    changed: u64,
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
    fn hear(&mut self, told: &peers::Roster, revision: u64) -> Heard {
        if told.from > revision {
            return Heard::Gap;
        }
        if told.to < revision {
            return Heard::Old;
        }
        if told.returning_ms > 0 {
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
        Heard::Fresh
    }

    /// The upstreams as they are believed now.
    fn listed(&mut self) -> Vec<event::Listed> {
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
    fn next_lapse(&self) -> Option<Duration> {
        let next = self.lapsing.values().min()?;
        Some(next.saturating_duration_since(Instant::now()))
    }

    /// What other instances are to be told up to a revision; at least that nothing has changed.
    fn pieces(&mut self, revision: u64) -> Vec<peers::Roster> {
        let mut from = if self.told == 0 { revision } else { self.told };
        let untold = std::mem::take(&mut self.untold);
        let until = self
            .returning_until
            .map(|until| until.saturating_duration_since(Instant::now()));
        let returning_ms = until.unwrap_or_default().as_millis() as u32;
        let mut pieces: Vec<peers::Roster> = Vec::new();
        for entries in untold.chunks(PIECE) {
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
                self.lapsing.entry(key.to_owned()).or_insert(until);
            }
            None => {
                self.entries.remove(key);
            }
        }
    }

    /// Takes in news of the store; `returned` if they are the first after it was away.
    fn take(&mut self, news: News, returned: bool) {
        if returned {
            self.returning_until = Some(Instant::now() + LAPSED);
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

/// A change as other instances are told it; `None` if its address is none.
fn decode(entry: &peers::Entry) -> Option<event::Listed> {
    Some(event::Listed {
        address: entry.address.parse().ok()?,
        data_centre: entry.data_centre.clone(),
        leaving: entry.leaving,
        name: entry.name.clone(),
        pool: entry.pool.clone(),
        since: entry.since,
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
    }
}
