//! The task that keeps the core's list of upstreams.
//!
//! Each call of the store is paid for. In a small fleet every instance watches the list. In a larger one
//! an instance of each data centre watches it and tells the others there by datagrams; one that hears
//! nothing for a while, or misses a change, asks the store itself.

use super::*;
use feed::{Client, Cursor, Link};
use members::{Members, Own, Role};
use pace::Pace;
use roster::{Roster, Worth};

/// Pause between two watches for each upstream, in which changes gather: each call is paid for, and a
/// lost data centre changes a part of all entries.
const GATHER_EACH: Duration = Duration::from_millis(6);

/// The shortest such pause. The longest is half of the time in which a leaving upstream must get no
/// more work; the other half is for the call.
const GATHER_LEAST: Duration = Duration::from_millis(200);

/// Time for which datagrams that came before earlier ones wait for these: links carry short ones sooner.
const REORDER: Duration = Duration::from_millis(150);

/// What the task needs.
pub(crate) struct Lister {
    /// Client of the store.
    pub client: Client,
    /// Clock of the instance.
    pub clock: Clock,
    /// The core task.
    pub driver: Driver,
    /// What other instances let this one know.
    pub heard: watch::Receiver<gossip::Heard>,
    /// What this instance knows.
    pub known: watch::Sender<gossip::Known>,
    /// Time in which a leaving upstream must get no more work.
    pub leave: Duration,
    /// Other instances.
    pub members: watch::Receiver<Members>,
    /// This instance.
    pub own: Own,
    /// How fast changes are heard of.
    pub pace: Pace,
    /// Changes of the list that other instances tell.
    pub rosters: mpsc::UnboundedReceiver<peers::Roster>,
    /// Where other instances are told.
    pub told: mpsc::UnboundedSender<gossip::Told>,
}

impl Lister {
    /// Keeps the core's upstreams as the store lists them, for ever.
    pub async fn run(mut self) {
        let mut cursor = Cursor::new(self.client.clone(), platform::upstream::PREFIX);
        let mut link = Link::new("upstreams", &self.client);
        let mut roster = Roster::default();
        loop {
            let role = self.own.role(&self.members.borrow());
            if role.follows() && cursor.revision.is_some() {
                self.follow(role, &mut cursor, &mut link, &mut roster).await;
                self.list(&mut roster);
                continue;
            }
            cursor.wait = match role {
                Role::Alone => feed::WAIT,
                Role::Deputy | Role::Follower | Role::Watcher => self.pace.wait(),
            };
            let first = cursor.revision.is_none();
            if !self.watch(role, &mut cursor, &mut link, &mut roster).await {
                continue;
            }
            let entries = self.list(&mut roster);
            if role == Role::Watcher {
                self.tell(&mut roster, cursor.revision);
            }
            if first {
                // The others know nothing of what was just read.
                roster.tell_from(cursor.revision.unwrap_or(0));
            }
            sleep(self.pause(role, entries)).await;
        }
    }

    /// Hears from the one that watches, or asks the store after a while without fresh word or when a change
    /// was missed.
    async fn follow(
        &mut self,
        role: Role,
        cursor: &mut Cursor,
        link: &mut Link,
        roster: &mut Roster,
    ) {
        let mut early = Vec::new();
        let mut end = Instant::now() + link.wait().max(self.pace.patience(role));
        loop {
            let left = end.saturating_duration_since(Instant::now());
            let Ok(Some(told)) = timeout(left, self.rosters.recv()).await else {
                break;
            };
            let known = cursor.revision.unwrap_or(0);
            roster.away = self.client.doubts();
            match roster.hear(&told, known) {
                Worth::Fresh => {
                    let all = roster.catch_up(told.to, &mut early);
                    cursor.revision = Some(all);
                    if early.is_empty() {
                        return;
                    }
                }
                // While the store refuses calls it is not asked again before the pause is over.
                Worth::Gap => {
                    early.push(told);
                    end = end.min(Instant::now() + link.wait().max(REORDER));
                }
                Worth::Old => {}
            }
        }
        let missed = early.len();
        debug!(missed; "asking for upstreams");
        self.ask(role, cursor, link, roster).await;
    }

    /// Asks the store for the changes since the last word. What a deputy learns it tells the others.
    async fn ask(&mut self, role: Role, cursor: &mut Cursor, link: &mut Link, roster: &mut Roster) {
        cursor.wait = Duration::ZERO;
        roster.tell_from(cursor.revision.unwrap_or(0));
        match cursor.next().await {
            Ok(news) => {
                link.good();
                roster.take(news, self.client.believed());
                if role == Role::Deputy {
                    self.tell(roster, cursor.revision);
                }
            }
            Err(error) => link.note(&error),
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

    /// Pause before the next watch.
    fn pause(&self, role: Role, entries: usize) -> Duration {
        match role {
            Role::Watcher => self.pace.pause(),
            Role::Alone | Role::Deputy | Role::Follower => {
                let longest = (self.leave / 2).max(GATHER_LEAST);
                (GATHER_EACH * entries as u32).clamp(GATHER_LEAST, longest)
            }
        }
    }

    /// Tells the others of the data centre what has changed up to a revision.
    fn tell(&self, roster: &mut Roster, revision: Option<u64>) {
        for piece in roster.pieces(revision.unwrap_or(0)) {
            // The task that tells ends only with the instance.
            let _ = self.told.send(gossip::Told::Roster(piece));
        }
    }

    /// Watches the store once; whether the list is to be told to the core.
    async fn watch(
        &mut self,
        role: Role,
        cursor: &mut Cursor,
        link: &mut Link,
        roster: &mut Roster,
    ) -> bool {
        // What others know of is missing here only behind the revision that was read or watched up to.
        let seen = cursor.revision;
        let lapse = roster.next_lapse().unwrap_or(feed::WAIT * 2);
        let behind = feed::behind(&mut self.heard, move |most| Some(most.list) > seen);
        let own = &self.own;
        let other_role = self.members.wait_for(|members| own.role(members) != role);
        let next = tokio::select! {
            next = timeout(lapse, cursor.next()) => next,
            () = behind, if seen.is_some() => {
                let error = Error::Store("other instances know a newer one".into());
                Ok(Err(error))
            }
            _ = other_role, if seen.is_some() => return false,
        };
        match next {
            Ok(Ok(news)) => {
                link.good();
                roster.take(news, self.client.believed());
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
