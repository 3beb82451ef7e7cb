//! The task that keeps the configuration in force that the platform's store holds.
//!
//! In a small fleet every instance watches it. In a larger one those that watch for their data centre tell
//! the others there that it has changed, and these read it.

use super::*;
use feed::{Age, Client, Cursor, Link, News};
use members::{Members, Own, Role};
use pace::Pace;
use platform::store::{Change, Item};

/// Pauses before the reads of a configuration that others are known to have. These reads may be old, by some
/// hundred milliseconds as played, and cost a tenth; the one after them does not. In the first pause more
/// changes may gather.
const READS: [Duration; 2] = [Duration::from_millis(200), Duration::from_millis(300)];

/// Bytes from which on a configuration is read once, with the first pause: each read of half a megabyte takes
/// a link of 10 Mbit/s for half a second, and the time in which it must be in force is short.
const LARGE: usize = 64 << 10;

/// What the task needs.
pub(crate) struct Configuration {
    /// Bytes of the configuration that was read last.
    pub bytes: usize,
    /// Client of the store.
    pub client: Client,
    /// The core task.
    pub driver: Driver,
    /// What other instances let this one know.
    pub heard: watch::Receiver<gossip::Heard>,
    /// What this instance knows.
    pub known: watch::Sender<gossip::Known>,
    /// Limits on what callers send.
    pub limits: watch::Sender<platform::configuration::Limits>,
    /// Other instances.
    pub members: watch::Receiver<Members>,
    /// This instance.
    pub own: Own,
    /// How fast changes are heard of.
    pub pace: Pace,
    /// Where other instances are told.
    pub told: mpsc::UnboundedSender<gossip::Told>,
}

impl Configuration {
    /// Serves for ever.
    pub async fn run(mut self) {
        let mut asked = None;
        let mut cursor = Cursor::new(self.client.clone(), platform::configuration::KEY);
        let mut link = Link::new("configuration", &self.client);
        loop {
            let role = self.own.role(&self.members.borrow());
            if role.follows() && self.revision().is_some() {
                let asked = asked.get_or_insert_with(Instant::now);
                self.follow(role, asked, &mut link).await;
                // The next watch must begin with a read.
                cursor.revision = None;
            } else {
                asked = None;
                self.watch(role, &mut cursor, &mut link).await;
            }
        }
    }

    /// Waits until others have a newer configuration, or nobody that watches is heard, and reads it then.
    /// `asked` is when it was last read, or this instance began to hear from others.
    async fn follow(&mut self, role: Role, asked: &mut Instant, link: &mut Link) {
        let own = self.revision();
        let silence = self.pace.patience(role);
        let word = self.heard.borrow().word;
        let silent = word.max(*asked).elapsed();
        let left = silence.saturating_sub(silent).max(link.wait());
        let news = |heard: &gossip::Heard| heard.most.configuration > own || heard.word > word;
        let heard = timeout(left, self.heard.wait_for(news)).await;
        let heard = heard.is_ok_and(|heard| heard.is_ok());
        let told = self.heard.borrow().most.configuration;
        if told > own {
            sleep(link.wait()).await;
            *asked = Instant::now();
            self.read_newer(told, link).await;
        } else if !heard {
            *asked = Instant::now();
            self.read(Age::Newest, link).await;
        }
    }

    /// Reads a configuration that others have, by reads that may be old first.
    async fn read_newer(&mut self, told: Option<u64>, link: &mut Link) {
        for pause in READS {
            sleep(pause).await;
            if self.bytes >= LARGE {
                break;
            }
            self.read(Age::Seconds, link).await;
            if self.revision() >= told || !link.wait().is_zero() {
                return;
            }
        }
        self.read(Age::Newest, link).await;
    }

    /// Reads the configuration once.
    async fn read(&mut self, age: Age, link: &mut Link) {
        let key = platform::configuration::KEY;
        match self.client.items(key, link.patience(), age).await {
            Ok((items, _)) => {
                link.good();
                if let Some(item) = newest(News::All(items)) {
                    self.adopt(&item);
                }
            }
            Err(error) => link.note(&error),
        }
    }

    /// Watches the store once.
    async fn watch(&mut self, role: Role, cursor: &mut Cursor, link: &mut Link) {
        let own = self.revision();
        let reading = cursor.revision.is_none();
        let behind = feed::behind(&mut self.heard, move |most| most.configuration > own);
        let this = &self.own;
        let other_role = self.members.wait_for(|members| this.role(members) != role);
        let next = tokio::select! {
            next = cursor.next() => next,
            // A read brings the newest anyway, and may take long.
            () = behind, if !reading => {
                cursor.revision = None;
                Err(Error::Store("other instances know a newer one".into()))
            }
            _ = other_role, if !reading => return,
        };
        match next {
            Ok(news) => {
                link.good();
                if let Some(item) = newest(news) {
                    self.adopt(&item);
                }
            }
            Err(error) => {
                link.hurry(own.is_none());
                link.bad(&error).await;
            }
        }
        if role == Role::Watcher && self.revision() > own {
            // The task that tells ends only with the instance.
            let _ = self.told.send(gossip::Told::Configuration);
        }
    }

    /// Revision in force; `None` before there is one.
    fn revision(&self) -> Option<u64> {
        self.known.borrow().configuration
    }

    /// Puts a configuration in force, unless it is older than the one that is.
    fn adopt(&mut self, item: &Item) {
        self.bytes = item.value.len();
        let decoded = match platform::configuration::decode(&item.value) {
            Ok(decoded) => decoded,
            Err(error) => {
                error!("the configuration in force stays: {error}");
                return;
            }
        };
        let revision = decoded.config.revision;
        if Some(revision) <= self.revision() {
            debug!("revision {revision} of the configuration is not newer");
            return;
        }
        let routes = decoded.config.routes.len();
        let store_revision = item.revision;
        info!(revision, routes, store_revision; "configuration in force");
        self.driver.event(Event::Config(Arc::new(decoded.config)));
        self.limits.send_replace(decoded.limits);
        self.known
            .send_modify(|known| known.configuration = Some(revision));
    }
}

/// The newest configuration in what was seen.
fn newest(news: News) -> Option<Item> {
    match news {
        News::All(items) => items
            .into_iter()
            .find(|item| item.key == platform::configuration::KEY),
        News::Some(changes) => changes.into_iter().rev().find_map(|change| match change {
            Change::Written(item) if item.key == platform::configuration::KEY => Some(item),
            Change::Removed { .. } | Change::Written(_) => None,
        }),
    }
}
