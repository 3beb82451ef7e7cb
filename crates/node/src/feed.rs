//! Calls of the platform's store.

use super::*;
use platform::store::{Call, Item, Page, WatchResponse};
use wellplank_core::{
    informer_io::Consistency, staleness::StalenessBound, store_calls::StoreCalls,
};

/// Time in which an answer that has begun must go on: as long as the kernel waits for a silent connection. However
/// long a list is and however small the link, a piece of it comes sooner.
const PIECE: Duration = Duration::from_secs(1);

/// An answer of the store.
#[derive(Debug)]
pub(crate) struct Answer {
    /// Body.
    pub body: Bytes,
    /// How often the store had come back from a copy; the newest that is known where the answer does not say.
    pub era: u64,
    /// Status.
    pub status: StatusCode,
}

/// A client of the platform's store.
#[derive(Clone)]
pub(crate) struct Client {
    /// What calls showed of the store; clones of the client share it.
    absence: Arc<watch::Sender<Availability>>,
    address: SocketAddr,
    bound: StalenessBound,
    clock: Clock,
    /// Makes and keeps connections; replaced when one of them may say nothing any more.
    http: Arc<watch::Sender<HttpClient>>,
    meter: meter::Meter,
}

impl Client {
    /// A client of the platform's store; what it says must be known within `bound`.
    pub fn new(
        hosted: settings::Hosted,
        bound: StalenessBound,
        clock: Clock,
        meter: meter::Meter,
    ) -> Self {
        let absence = Availability::new(hosted.heartbeat_ms);
        Self {
            absence: Arc::new(watch::Sender::new(absence)),
            address: hosted.store,
            bound,
            clock,
            http: Arc::new(watch::Sender::new(HttpClient::with_keepalive())),
            meter,
        }
    }

    /// What the ends of all calls showed of the store.
    pub fn absence(&self) -> watch::Receiver<Availability> {
        self.absence.subscribe()
    }

    /// Has later calls go over new connections: what took one of those that are kept may have taken all. Calls that are
    /// out go on.
    pub fn renew(&self) {
        self.http.send_replace(HttpClient::with_keepalive());
    }

    /// Notes that the store has just answered another instance.
    pub fn witness(&self) {
        let now = self.clock.now();
        self.absence
            .send_modify(|absence| absence.record_peer_success(now));
    }

    /// Makes a call that does not wait.
    pub async fn call(&self, call: Call, patience: Duration) -> Result<Answer, Error> {
        let begun = Instant::now();
        let answer = self.exchange(call, Duration::ZERO, patience).await?;
        let millis = begun.elapsed().as_secs_f64() * 1_000.0;
        self.meter.observe(meter::Latency::Store, millis);
        Ok(answer)
    }

    /// Makes a call that the store may hold for `wait`.
    async fn exchange(
        &self,
        call: Call,
        wait: Duration,
        patience: Duration,
    ) -> Result<Answer, Error> {
        let due = self.clock.now().after(wait.as_millis() as u64);
        let answer = self.send(call, wait + patience).await;
        let answered = matches!(&answer, Ok(answer) if !is_refusal(answer.status));
        self.absence.send_modify(|absence| {
            if let Ok(answer) = &answer
                && absence.observe_era(answer.era, self.clock.now())
            {
                let era = answer.era;
                warn!(era; "the store has come back from an older copy");
                self.meter.count(Counter::StoreRestored, 1);
            }
            if !answered {
                let now = self.clock.now();
                let is_silent = matches!(answer, Err(Error::StoreTimeout(_)));
                absence.record_failure(if is_silent { due } else { now }, now);
            } else if let Some(away_ms) = absence.record_success(self.clock.now()) {
                info!(away_ms; "the store is back");
            }
        });
        answer
    }

    async fn send(&self, call: Call, patience: Duration) -> Result<Answer, Error> {
        let request = Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", self.address, call.path))
            .header(header::CONTENT_TYPE, "application/json")
            .body(http::Body::from(call.body))
            .expect("address and path make a uri");
        let http = self.http.borrow().clone();
        let response = timeout(patience, http.send(request))
            .await
            .map_err(|_| {
                self.renew();
                Error::StoreTimeout(patience.as_millis())
            })?
            .map_err(|error| Error::Store(error.to_string()))?;
        let status = response.status();
        let era = self.era(response.headers());
        let body = read(response.into_body()).await?;
        Ok(Answer { body, era, status })
    }

    /// How often the store had come back from a copy, by the head of an answer. One that does not say it, or not in a number, says
    /// nothing against what is known.
    fn era(&self, headers: &hyper::HeaderMap) -> u64 {
        let known = self.absence.borrow().era();
        match platform::store::era(headers) {
            Ok(era) => era.unwrap_or(known),
            Err(error) => {
                warn!("an answer of the store: {error}");
                self.meter.count(Counter::EntryInvalid("era"), 1);
                known
            }
        }
    }

    /// Reads all items under a prefix, and the position to watch from. Pages are no snapshot, so it
    /// is that of the first one; pages of two eras are no answer.
    pub async fn items(
        &self,
        prefix: &str,
        patience: Duration,
        age: Consistency,
    ) -> Result<(Vec<Item>, Position), Error> {
        let (mut page, era) = self.page(prefix, None, patience, age).await?;
        let position = Position::new(era, page.revision);
        let mut items = std::mem::take(&mut page.items);
        while page.has_more {
            let last = items.last().map(|item| item.key.clone());
            let last =
                last.ok_or_else(|| Error::Store(format!("{prefix}: a page names no key")))?;
            let next;
            (page, next) = self.page(prefix, Some(&last), patience, age).await?;
            if next != era {
                return Err(Error::Store(format!(
                    "{prefix}: pages of the eras {era} and {next}"
                )));
            }
            if page.items.is_empty() && page.has_more {
                return Err(Error::Store(format!("{prefix}: a page names no key")));
            }
            items.append(&mut page.items);
        }
        Ok((items, position))
    }

    async fn page(
        &self,
        prefix: &str,
        after: Option<&str>,
        patience: Duration,
        age: Consistency,
    ) -> Result<(Page, u64), Error> {
        let call = platform::store::range(prefix, after, age == Consistency::Serializable);
        let Answer { body, era, status } = self.call(call, patience).await?;
        if status != StatusCode::OK {
            return Err(Error::Store(format!("reading {prefix}: {status}")));
        }
        let page = platform::store::decode_page(&body);
        let page = page.map_err(|error| Error::Store(error.to_string()))?;
        self.leave_out(prefix, page.malformed);
        Ok((page, era))
    }

    /// Notes items that name no key, which are left out.
    fn leave_out(&self, prefix: &str, odd: usize) {
        if odd > 0 {
            warn!(odd; "items of {prefix} name no key and are left out");
            self.meter.count(Counter::EntryInvalid("item"), odd as u64);
        }
    }

    /// Waits for changes under a prefix behind a revision, and up to which position they are; `None` if these are forgotten.
    pub async fn changes(
        &self,
        prefix: &str,
        revision: u64,
        wait: Duration,
        patience: Duration,
    ) -> Result<Option<(WatchResponse, Position)>, Error> {
        let call = platform::store::watch(prefix, revision, wait);
        let Answer { body, era, status } = self.exchange(call, wait, patience).await?;
        if platform::store::is_compacted(status) {
            return Ok(None);
        }
        if status != StatusCode::OK {
            return Err(Error::Store(format!("watching {prefix}: {status}")));
        }
        let seen = platform::store::decode_watch(&body);
        let seen = seen.map_err(|error| Error::Store(error.to_string()))?;
        self.leave_out(prefix, seen.malformed);
        let position = Position::new(era, seen.revision);
        Ok(Some((seen, position)))
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

/// Reads of a part of the store by a task of its own, with pauses behind failures.
pub(crate) struct Link {
    client: Client,
    line: StoreCalls,
    log: Log,
}

/// Whether a part of the store answers; each change is logged once.
pub(crate) struct Log {
    clock: Clock,
    /// When a call failed first; `None` while the store answers.
    lost: Option<Time>,
    what: &'static str,
}

impl Link {
    /// A link that is believed to work; `what` names it in logs.
    pub fn new(what: &'static str, client: &Client) -> Self {
        Self {
            client: client.clone(),
            line: StoreCalls::default(),
            log: Log::new(what, client.clock),
        }
    }

    /// Notes a call that failed, and waits before the next one: less if the store answers another call.
    pub async fn bad(&mut self, error: &Error) {
        self.note(error);
        let mut absence = self.client.absence();
        loop {
            let may = self.line.next_call_at(&absence.borrow_and_update());
            let left = may.since(self.client.clock.now());
            if left == 0 {
                return;
            }
            tokio::select! {
                changed = absence.changed() => {
                    changed.expect("the client is kept here");
                }
                () = sleep(Duration::from_millis(left)) => {}
            }
        }
    }

    /// Notes an answer.
    pub fn good(&mut self) {
        self.line.record_success();
        self.log.good();
    }

    /// Notes a call that failed.
    pub fn note(&mut self, error: &Error) {
        let absence = *self.client.absence.borrow();
        let now = self.client.clock.now();
        self.line
            .record_failure(false, &absence, self.client.bound, now);
        self.log.bad(error);
    }

    /// Time in which the next answer must begin.
    pub fn patience(&self) -> Duration {
        Duration::from_millis(self.line.timeout_ms)
    }
}

impl Log {
    /// A part that is believed to answer.
    pub fn new(what: &'static str, clock: Clock) -> Self {
        Self {
            clock,
            lost: None,
            what,
        }
    }

    /// Notes a call that failed.
    pub fn bad(&mut self, error: &Error) {
        if self.lost.is_some() {
            info!("{} of the store still can not be read: {error}", self.what);
            return;
        }
        self.lost = Some(self.clock.now());
        warn!("{} of the store can not be read: {error}", self.what);
    }

    /// Notes an answer.
    pub fn good(&mut self) {
        if let Some(lost) = self.lost.take() {
            let lost_ms = self.clock.now().since(lost);
            info!(lost_ms; "{} of the store can be read again", self.what);
        }
    }
}
