//! What the platform's store tells: the configuration and the upstreams.

use super::*;
use platform::store::{Call, Change, Item, Page, Seen};

/// Time that the store has to answer a read: many times the few milliseconds that it takes.
const PATIENCE: Duration = Duration::from_millis(1_500);

/// Time that a watch waits for a change: the longest that the store takes. A path that is gone is
/// noticed by the connection long before.
const WAIT: Duration = Duration::from_secs(30);

/// Pause between two watches of upstreams for each of them, in which changes gather: each call is
/// paid for, and a lost data centre changes a part of all entries.
const GATHER_EACH: Duration = Duration::from_millis(6);

/// The shortest such pause. The longest is half of the time in which a leaving upstream must get no
/// more work; the other half is for the call.
const GATHER_LEAST: Duration = Duration::from_millis(200);

/// Pause after a call that failed: it doubles with each further failure up to the end, since refused
/// calls are paid for too.
const RETRY: RangeInclusive<Duration> = Duration::from_millis(250)..=Duration::from_secs(1);

/// Time after the store's return up to which upstreams whose entries lapsed in between are believed
/// to live; they enter themselves again within about two seconds.
const LAPSED: Duration = Duration::from_secs(2);

/// A client of the platform's store.
#[derive(Clone)]
pub(crate) struct Client {
    address: SocketAddr,
    http: Http,
    meter: meter::Meter,
}

/// A prefix of the store, read once and watched from there on.
pub(crate) struct Cursor {
    client: Client,
    prefix: &'static str,
    revision: Option<u64>,
}

/// What a cursor saw.
pub(crate) enum News {
    /// Everything, since it was read anew.
    All(Vec<Item>),
    /// Changes since the last news.
    Some(Vec<Change>),
}

impl Client {
    /// A client of the store at `address`.
    pub fn new(address: SocketAddr, meter: meter::Meter) -> Self {
        Self {
            address,
            http: Http::watching(),
            meter,
        }
    }

    /// Makes a call; status and body of its answer.
    pub async fn call(&self, call: Call, patience: Duration) -> Result<(StatusCode, Bytes), Error> {
        let request = Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", self.address, call.path))
            .header(header::CONTENT_TYPE, "application/json")
            .body(http::Body::from(call.body))
            .expect("address and path make a uri");
        let begun = Instant::now();
        let answer = timeout(patience, self.http.exchange(request))
            .await
            .map_err(|_| Error::Store("no answer in time".into()))?
            .map_err(|error| Error::Store(error.to_string()))?;
        if patience < WAIT {
            let millis = begun.elapsed().as_secs_f64() * 1_000.0;
            self.meter.time(meter::Timed::Store, millis);
        }
        Ok(answer)
    }

    /// Reads all items under a prefix, and the revision to watch from. Pages are no snapshot, so it
    /// is that of the first one.
    pub async fn items(&self, prefix: &str) -> Result<(Vec<Item>, u64), Error> {
        let mut page = self.page(prefix, None).await?;
        let revision = page.revision;
        let mut items = std::mem::take(&mut page.items);
        while page.more {
            let Some(last) = items.last().map(|item| item.key.clone()) else {
                break;
            };
            page = self.page(prefix, Some(&last)).await?;
            items.append(&mut page.items);
        }
        Ok((items, revision))
    }

    async fn page(&self, prefix: &str, after: Option<&str>) -> Result<Page, Error> {
        let (status, body) = self
            .call(platform::store::range(prefix, after), PATIENCE)
            .await?;
        if status != StatusCode::OK {
            return Err(Error::Store(format!("reading {prefix}: {status}")));
        }
        platform::store::decode_page(&body).map_err(|error| Error::Store(error.to_string()))
    }
}

impl Cursor {
    /// A cursor that has read nothing yet.
    pub fn new(client: Client, prefix: &'static str) -> Self {
        Self {
            client,
            prefix,
            revision: None,
        }
    }

    /// Waits for news.
    pub async fn next(&mut self) -> Result<News, Error> {
        let Some(revision) = self.revision else {
            return self.read().await.map(News::All);
        };
        let call = platform::store::watch(self.prefix, revision, WAIT);
        let (status, body) = self.client.call(call, WAIT + PATIENCE).await?;
        if platform::store::forgotten(status) {
            self.revision = None;
            return self.read().await.map(News::All);
        }
        if status != StatusCode::OK {
            return Err(Error::Store(format!("watching {}: {status}", self.prefix)));
        }
        let seen: Seen =
            platform::store::decode_seen(&body).map_err(|error| Error::Store(error.to_string()))?;
        self.revision = Some(seen.revision);
        Ok(News::Some(seen.changes))
    }

    async fn read(&mut self) -> Result<Vec<Item>, Error> {
        let (items, revision) = self.client.items(self.prefix).await?;
        self.revision = Some(revision);
        Ok(items)
    }
}

/// Keeps the configuration in force that the store holds, for ever.
pub(crate) async fn configuration(
    client: Client,
    driver: Driver,
    limits: watch::Sender<platform::configuration::Limits>,
    configured: watch::Sender<bool>,
) {
    let mut cursor = Cursor::new(client, platform::configuration::KEY);
    let mut link = Link::new("configuration");
    loop {
        match cursor.next().await {
            Ok(news) => {
                link.good();
                if let Some(item) = newest(news) {
                    adopt(&item, &driver, &limits, &configured);
                }
            }
            Err(error) => link.bad(&error).await,
        }
    }
}

/// Keeps the core's upstreams as the store lists them, for ever. A leaving upstream must get no more
/// work after `leave`.
pub(crate) async fn upstreams(client: Client, clock: Clock, driver: Driver, leave: Duration) {
    let longest = (leave / 2).max(GATHER_LEAST);
    let mut cursor = Cursor::new(client, platform::upstream::PREFIX);
    let mut link = Link::new("upstreams");
    let mut roster = Roster::default();
    loop {
        let next = match roster.next_lapse() {
            None => Ok(cursor.next().await),
            Some(lapse) => timeout(lapse, cursor.next()).await,
        };
        match next {
            Ok(Ok(news)) => {
                let returned = link.good();
                roster.take(news, returned);
            }
            Ok(Err(error)) => {
                link.bad(&error).await;
                continue;
            }
            // An entry has been missing for long enough.
            Err(_) => {}
        }
        let listed = roster.listed();
        let gather = GATHER_EACH * listed.len() as u32;
        let asked = clock.now();
        let listed = Some(listed);
        driver.event(Event::List { asked, listed });
        sleep(gather.clamp(GATHER_LEAST, longest)).await;
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
            Change::Removed(_) | Change::Written(_) => None,
        }),
    }
}

fn adopt(
    item: &Item,
    driver: &Driver,
    limits: &watch::Sender<platform::configuration::Limits>,
    configured: &watch::Sender<bool>,
) {
    match platform::configuration::decode(&item.value) {
        Ok(decoded) => {
            let revision = decoded.config.revision;
            let routes = decoded.config.routes.len();
            let store_revision = item.revision;
            info!(revision, routes, store_revision; "configuration in force");
            driver.event(Event::Config(Arc::new(decoded.config)));
            limits.send_replace(decoded.limits);
            configured.send_replace(true);
        }
        Err(error) => error!("the configuration in force stays: {error}"),
    }
}

/// Whether a part of the store answers; each change is logged once.
pub(crate) struct Link {
    /// Pause after the next failure; `None` while the store answers.
    pause: Option<Duration>,
    what: &'static str,
}

impl Link {
    /// Notes a call that failed, and waits before the next one.
    pub async fn bad(&mut self, error: &Error) {
        let pause = self.pause.unwrap_or_else(|| {
            warn!("{} of the store can not be read: {error}", self.what);
            *RETRY.start()
        });
        self.pause = Some((pause * 2).min(*RETRY.end()));
        sleep(pause).await;
    }

    /// Notes an answer; whether it is the first after a loss.
    pub fn good(&mut self) -> bool {
        let lost = self.pause.take().is_some();
        if lost {
            info!("{} of the store can be read again", self.what);
        }
        lost
    }

    /// A link that is believed to work; `what` names it in logs.
    pub fn new(what: &'static str) -> Self {
        Self { pause: None, what }
    }
}

/// Upstreams by the key of their entry.
#[derive(Default)]
struct Roster {
    entries: BTreeMap<String, event::Listed>,
    /// Entries that went missing while the store was away, and until when they are believed.
    lapsing: BTreeMap<String, Instant>,
    /// Until when an entry that goes missing may have lapsed while the store was away.
    returning_until: Option<Instant>,
}

impl Roster {
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

    /// Takes in news; `returned` if they are the first after the store was away.
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
            }
            News::Some(changes) => {
                for change in changes {
                    match change {
                        Change::Removed(key) => self.remove(&key),
                        Change::Written(item) => self.write(&item),
                    }
                }
            }
        }
    }

    fn write(&mut self, item: &Item) {
        match platform::upstream::decode(item) {
            Ok(listed) => {
                self.lapsing.remove(&item.key);
                self.entries.insert(item.key.clone(), listed);
            }
            Err(error) => error!("an upstream's entry is left as it was: {error}"),
        }
    }
}
