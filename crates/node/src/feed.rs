//! Reading and watching the platform's store.

use super::*;
use platform::store::{Call, Change, Item, Page, Seen};

/// Time in which the store's answer must begin: many times the few milliseconds that it takes, and twice
/// what it takes when it is slow. An instance that starts while the store is silent tries again soon.
const PATIENCE: Duration = Duration::from_millis(600);

/// The longest such time behind failures of an instance that the store has never answered: many that start at
/// once read long lists together.
const PATIENCE_MOST: Duration = Duration::from_secs(5);

/// Time that the store has after a failure, in pauses: it doubles with them.
const PATIENCE_PAUSES: u32 = 8;

/// Time in which an answer that has begun must go on: as long as the kernel waits for a silent connection. However
/// long a list is and however small the link, a piece of it comes sooner.
const PIECE: Duration = Duration::from_secs(1);

/// Time that a watch waits for a change. Longer means fewer calls; a path that is gone is noticed by the
/// connection before, and a watch that says nothing by what other instances know.
pub(crate) const WAIT: Duration = Duration::from_secs(10);

/// Time that the own watch has after other instances are known to know more.
const BEHIND: Duration = Duration::from_millis(500);

/// Pause after a call that failed: it doubles with each further failure up to the end, since refused
/// calls are paid for in full, also those that cost a tenth when they are answered.
const RETRY: RangeInclusive<Duration> = Duration::from_millis(250)..=Duration::from_secs(1);

/// The longest such pause of an instance that can not serve anybody before it has read.
const RETRY_AT_START: Duration = Duration::from_millis(100);

/// The shortest pause after a call that failed, when the store has answered another call since.
const RETRY_BACK: Duration = Duration::from_millis(50);

/// Time since the store answered any call for which a call that failed is tried again after the shortest
/// pause, in milliseconds: it may have begun before the path was back, and a connection takes a second to fail.
const BACK_MS: u64 = 1_500;

/// A client of the platform's store.
#[derive(Clone)]
pub(crate) struct Client {
    /// What calls showed of the store; clones of the client share it.
    absence: Arc<watch::Sender<Absence>>,
    address: SocketAddr,
    /// Time within which what the store says must be known.
    bound: Duration,
    clock: Clock,
    http: Http,
    meter: meter::Meter,
}

/// How old what a read brings may be.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Age {
    /// It is the newest.
    Newest,
    /// It may be seconds old; such a read costs a tenth.
    Seconds,
}

/// A prefix of the store, read once and watched from there on.
pub(crate) struct Cursor {
    /// Whether its last call was answered.
    answered: bool,
    client: Client,
    patience: Duration,
    prefix: &'static str,
    /// Revision up to which it has seen changes; `None` before it has read.
    pub revision: Option<u64>,
    /// Time that a watch waits for a change.
    pub wait: Duration,
}

/// What a cursor saw.
pub(crate) enum News {
    /// Everything, since it was read anew.
    All(Vec<Item>),
    /// Changes since the last news.
    Some(Vec<Change>),
}

impl Client {
    /// A client of the platform's store; what it says must be known within `bound`.
    pub fn new(
        hosted: settings::Hosted,
        bound: Duration,
        clock: Clock,
        meter: meter::Meter,
    ) -> Self {
        let absence = Absence::new(hosted.heartbeat_ms);
        Self {
            absence: Arc::new(watch::Sender::new(absence)),
            address: hosted.store,
            bound,
            clock,
            http: Http::watching(),
            meter,
        }
    }

    /// For how much longer an entry that is missing now is believed.
    pub fn believed(&self) -> Duration {
        let left = self.absence.borrow().believed_ms(self.clock.now());
        Duration::from_millis(left)
    }

    /// Makes a call that does not wait; status and body of its answer.
    pub async fn call(&self, call: Call, patience: Duration) -> Result<(StatusCode, Bytes), Error> {
        let begun = Instant::now();
        let answer = self.exchange(call, patience).await?;
        let millis = begun.elapsed().as_secs_f64() * 1_000.0;
        self.meter.time(meter::Timed::Store, millis);
        Ok(answer)
    }

    /// Whether entries may have gone for want of the store.
    pub fn doubts(&self) -> bool {
        self.absence.borrow().doubts(self.clock.now())
    }

    /// Whether the store has just answered some call.
    fn is_back(&self) -> bool {
        let answered = self.absence.borrow().answered();
        answered.is_some_and(|answered| self.clock.now().since(answered) < BACK_MS)
    }

    async fn exchange(&self, call: Call, patience: Duration) -> Result<(StatusCode, Bytes), Error> {
        let answer = self.send(call, patience).await;
        let answered = matches!(&answer, Ok((status, _)) if !is_refusal(*status));
        self.absence.send_modify(|absence| {
            if !answered {
                absence.fail();
            } else if let Some(away_ms) = absence.answer(self.clock.now()) {
                info!(away_ms; "the store is back");
            }
        });
        answer
    }

    async fn send(&self, call: Call, patience: Duration) -> Result<(StatusCode, Bytes), Error> {
        let request = Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", self.address, call.path))
            .header(header::CONTENT_TYPE, "application/json")
            .body(http::Body::from(call.body))
            .expect("address and path make a uri");
        let response = timeout(patience, self.http.send(request))
            .await
            .map_err(|_| Error::Store(format!("no answer in {} ms", patience.as_millis())))?
            .map_err(|error| Error::Store(error.to_string()))?;
        let status = response.status();
        let body = read(response.into_body()).await?;
        Ok((status, body))
    }

    /// Waits until the store has answered other calls for a while behind some that failed, and not one that begins
    /// now: it was taken in the silence and is never answered.
    async fn overtaken(&self) {
        let begun = Some(self.clock.now());
        let mut absence = self.absence.subscribe();
        let recovered = absence.wait_for(|absence| absence.recovered() > begun);
        if recovered.await.is_err() {
            std::future::pending::<()>().await;
        }
        sleep(PATIENCE).await;
    }

    /// The longest time in which an answer must begin. A call that was taken by a store that fell silent is never
    /// answered, and nothing else looks meanwhile: of the bound, half is for it and half for the next one.
    fn patience_most(&self) -> Duration {
        match self.absence.borrow().answered() {
            Some(_) => (self.bound / 2).max(PATIENCE),
            None => PATIENCE_MOST,
        }
    }

    /// Reads all items under a prefix, and the revision to watch from. Pages are no snapshot, so it
    /// is that of the first one.
    pub async fn items(
        &self,
        prefix: &str,
        patience: Duration,
        age: Age,
    ) -> Result<(Vec<Item>, u64), Error> {
        let mut page = self.page(prefix, None, patience, age).await?;
        let revision = page.revision;
        let mut items = std::mem::take(&mut page.items);
        while page.more {
            let Some(last) = items.last().map(|item| item.key.clone()) else {
                break;
            };
            page = self.page(prefix, Some(&last), patience, age).await?;
            items.append(&mut page.items);
        }
        Ok((items, revision))
    }

    async fn page(
        &self,
        prefix: &str,
        after: Option<&str>,
        patience: Duration,
        age: Age,
    ) -> Result<Page, Error> {
        let call = platform::store::range(prefix, after, age == Age::Seconds);
        let (status, body) = self.call(call, patience).await?;
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
            answered: false,
            client,
            patience: PATIENCE,
            prefix,
            revision: None,
            wait: WAIT,
        }
    }

    /// Waits for news. After a failure the store has more time.
    pub async fn next(&mut self) -> Result<News, Error> {
        let answered = std::mem::take(&mut self.answered);
        let wait = if answered { self.wait } else { Duration::ZERO };
        if self.patience > PATIENCE {
            let patience_ms = self.patience.as_millis() as u64;
            let since = self.revision;
            info!(patience_ms, since; "asking the store again for {}", self.prefix);
        }
        let news = self.look(wait).await;
        self.answered = news.is_ok();
        self.patience = match news {
            Ok(_) => PATIENCE,
            Err(_) => (self.patience * 2).min(self.client.patience_most()),
        };
        news
    }

    /// Looks for news, and waits for some so long. Behind a call that was not answered no change is waited for: one
    /// that a silent store takes is never answered, and with 10 s of waiting leaving upstreams got requests for
    /// 2.2 s more than allowed.
    async fn look(&mut self, wait: Duration) -> Result<News, Error> {
        let Some(revision) = self.revision else {
            return self.read().await.map(News::All);
        };
        let call = platform::store::watch(self.prefix, revision, wait);
        let answer = tokio::select! {
            answer = self.client.exchange(call, wait + self.patience) => answer,
            () = self.client.overtaken() => Err(Error::Store("other calls are answered again".into())),
        };
        let (status, body) = answer?;
        if platform::store::forgotten(status) {
            info!(revision; "the store has forgotten the changes of {}", self.prefix);
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
        let (items, revision) = self
            .client
            .items(self.prefix, self.patience, Age::Newest)
            .await?;
        self.revision = Some(revision);
        Ok(items)
    }
}

/// Whether the store did not do what it was asked, for want of itself or of calls left to this instance.
fn is_refusal(status: StatusCode) -> bool {
    status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS
}

/// Reads an answer that has begun, for as long as it goes on.
async fn read(mut body: hyper::body::Incoming) -> Result<Bytes, Error> {
    let mut bytes = BytesMut::new();
    loop {
        let frame = timeout(PIECE, body.frame())
            .await
            .map_err(|_| Error::Store(format!("an answer ended after {} bytes", bytes.len())))?;
        let Some(frame) = frame else {
            return Ok(bytes.freeze());
        };
        let frame = frame.map_err(|error| Error::Store(error.to_string()))?;
        if let Some(piece) = frame.data_ref() {
            bytes.extend_from_slice(piece);
        }
    }
}

/// Waits until other instances have known more for a while than this one: its own watch says nothing
/// any more, though its connection stays.
pub(crate) async fn behind(
    heard: &mut watch::Receiver<gossip::Heard>,
    more: impl Fn(&gossip::Known) -> bool,
) {
    if heard.wait_for(|heard| more(&heard.most)).await.is_err() {
        std::future::pending::<()>().await;
    }
    sleep(BEHIND).await;
}

/// Whether a part of the store answers; each change is logged once.
pub(crate) struct Link {
    client: Client,
    /// When the last call failed; `None` while the store answers.
    failed: Option<Time>,
    /// When the first call failed; `None` while the store answers.
    lost: Option<Time>,
    /// Pause after the last failure; `None` while the store answers.
    pause: Option<Duration>,
    /// Whether nobody can be served before this is read.
    urgent: bool,
    what: &'static str,
}

impl Link {
    /// Time that the next read has.
    pub fn patience(&self) -> Duration {
        let patience = self.pause.map_or(PATIENCE, |pause| pause * PATIENCE_PAUSES);
        patience.min(self.client.patience_most())
    }

    /// Notes a call that failed, and waits before the next one: less if the store answers another call.
    pub async fn bad(&mut self, error: &Error) {
        self.note(error);
        let failed = self.failed;
        let mut absence = self.client.absence.subscribe();
        let since = async {
            let answered = absence.wait_for(|absence| absence.answered() > failed);
            let client_gone = answered.await.is_err();
            if client_gone {
                std::future::pending::<()>().await;
            }
        };
        let back = async {
            sleep(RETRY_BACK).await;
            since.await;
        };
        tokio::select! {
            () = back => {}
            () = sleep(self.wait()) => {}
        }
    }

    /// Says whether nobody can be served before this is read.
    pub fn hurry(&mut self, urgent: bool) {
        self.urgent = urgent;
    }

    /// Notes a call that failed. The pause after it doubles with each further failure.
    pub fn note(&mut self, error: &Error) {
        let pause = if let Some(pause) = self.pause {
            info!("{} of the store still can not be read: {error}", self.what);
            (pause * 2).min(*RETRY.end())
        } else {
            warn!("{} of the store can not be read: {error}", self.what);
            self.lost = Some(self.client.clock.now());
            *RETRY.start()
        };
        let pause = if self.client.is_back() {
            pause.min(*RETRY.start())
        } else {
            pause
        };
        let pause = if self.urgent {
            pause.min(RETRY_AT_START)
        } else {
            pause
        };
        self.failed = Some(self.client.clock.now());
        self.pause = Some(pause);
    }

    /// Time left before the store is to be asked again.
    pub fn wait(&self) -> Duration {
        match (self.failed, self.pause) {
            (Some(failed), Some(pause)) => {
                let passed = self.client.clock.now().since(failed);
                pause.saturating_sub(Duration::from_millis(passed))
            }
            _ => Duration::ZERO,
        }
    }

    /// Notes an answer.
    pub fn good(&mut self) {
        self.failed = None;
        self.pause = None;
        if let Some(lost) = self.lost.take() {
            let lost_ms = self.client.clock.now().since(lost);
            info!(lost_ms; "{} of the store can be read again", self.what);
        }
    }

    /// A link that is believed to work; `what` names it in logs.
    pub fn new(what: &'static str, client: &Client) -> Self {
        Self {
            client: client.clone(),
            failed: None,
            lost: None,
            pause: None,
            urgent: false,
            what,
        }
    }
}
