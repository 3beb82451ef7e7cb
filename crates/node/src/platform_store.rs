//! Client of the platform's key-value store.

use super::*;
use platform::store::{Call, Item, Page, WatchResponse};
use read_budget::Share;
use wellplank_core::{
    counter::AnswerBound, informer_io::Consistency, staleness::StalenessBound,
    store_calls::StoreCalls,
};

/// Maximum time between two chunks of a response; equal to the TCP user timeout of the connection. However long a list is
/// and however slow the link, a chunk arrives sooner.
const CHUNK_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of bytes of one read with all its pages, and of all reads that are not complete. A page has some megabytes, and
/// a hundred of the largest values that others may have written 57 MiB.
const READ_BYTES_MAX: u64 = 64 << 20;

/// Time behind which a response must have arrived at [`BYTES_PER_SECOND_MIN`].
const SLOW_TIME_MAX: Duration = Duration::from_secs(5);

/// Rate below which a response counts as stalled: what a link of 20 Mbit/s leaves to each of 2,500 readers.
const BYTES_PER_SECOND_MIN: f64 = 1_000.0;

/// What one read of the store keeps until it is complete.
struct ReadState {
    /// Bytes of all pages so far.
    bytes: u64,
    /// Its part of what all reads keep.
    share: Share,
}

/// A read of all pages with a key prefix.
struct PageRead<'a> {
    consistency: Consistency,
    on_progress: &'a (dyn Fn() + Sync),
    prefix: &'a str,
    response_timeout: Duration,
}

/// A response of the store.
#[derive(Debug)]
pub(crate) struct Response {
    /// JSON body.
    pub body: Bytes,
    /// Number of times that the store was restored from a backup; the newest known number if the response has none.
    pub era: u64,
    /// HTTP status; an error status is a response too.
    pub status: StatusCode,
}

/// A client of the platform's store. Clones share its state.
#[derive(Clone)]
pub(crate) struct Client {
    address: SocketAddr,
    /// Availability of the store as the results of all calls show it.
    availability: Arc<watch::Sender<Availability>>,
    clock: Clock,
    /// Bound on what all reads keep.
    budget: ReadBudget,
    /// Connection pool; replaced when one of its connections may be dead.
    http: Arc<watch::Sender<HttpClient>>,
    meter: meter::Meter,
    staleness_bound: StalenessBound,
}

impl Client {
    /// A client of the store of `hosted`; changes there must be known within the staleness bound.
    pub fn new(
        hosted: settings::Hosted,
        staleness_bound: StalenessBound,
        clock: Clock,
        meter: meter::Meter,
    ) -> Self {
        let availability = Availability::new(hosted.heartbeat_ms);
        Self {
            address: hosted.store,
            availability: Arc::new(watch::Sender::new(availability)),
            clock,
            http: Arc::new(watch::Sender::new(HttpClient::with_keepalive())),
            budget: ReadBudget::new(READ_BYTES_MAX),
            meter,
            staleness_bound,
        }
    }

    /// Availability of the store as the results of all calls show it.
    pub fn availability(&self) -> watch::Receiver<Availability> {
        self.availability.subscribe()
    }

    /// Whether an outage of the store in which entries may have expired ended within a time.
    pub fn had_outage_within(&self, time: Duration) -> bool {
        let availability = self.availability.borrow();
        availability.had_outage_within(time.as_millis() as u64, self.clock.now())
    }

    /// Makes later calls use new connections: the fault that broke one pooled connection may have broken all of them.
    /// Pending calls continue.
    pub fn reconnect(&self) {
        self.http.send_replace(HttpClient::with_keepalive());
    }

    /// Records that the store has just answered another instance.
    pub fn record_peer_success(&self) {
        let now = self.clock.now();
        self.availability
            .send_modify(|availability| availability.record_peer_success(now));
    }

    /// Makes a call that the store answers without waiting for a change.
    pub async fn call(&self, call: Call, response_timeout: Duration) -> Result<Response, Error> {
        let mut state = self.new_read();
        self.call_with_progress(call, response_timeout, &|| {}, &mut state)
            .await
    }

    /// The same; `on_progress` is called when the answer begins to arrive.
    async fn call_with_progress(
        &self,
        call: Call,
        response_timeout: Duration,
        on_progress: &(dyn Fn() + Sync),
        state: &mut ReadState,
    ) -> Result<Response, Error> {
        let started_at = Instant::now();
        let response = self
            .exchange(call, Duration::ZERO, response_timeout, on_progress, state)
            .await?;
        let millis = started_at.elapsed().as_secs_f64() * 1_000.0;
        self.meter.observe(meter::Latency::Store, millis);
        Ok(response)
    }

    /// Makes a call that the store may delay for `wait`.
    async fn exchange(
        &self,
        call: Call,
        wait: Duration,
        response_timeout: Duration,
        on_progress: &(dyn Fn() + Sync),
        state: &mut ReadState,
    ) -> Result<Response, Error> {
        let wait_end = self.clock.now().after(wait.as_millis() as u64);
        let response = self
            .send(call, wait + response_timeout, on_progress, state)
            .await;
        let is_answered = matches!(&response, Ok(response) if !is_refusal(response.status));
        self.availability.send_modify(|availability| {
            if let Ok(response) = &response
                && availability.observe_era(response.era, self.clock.now())
            {
                let era = response.era;
                warn!(era; "the store was restored from a backup");
                self.meter.count(Counter::StoreRestored, 1);
            }
            if !is_answered {
                let now = self.clock.now();
                // The store need not answer before the wait ends, so its silence shows a failure only from then on.
                let is_silent = matches!(response, Err(Error::StoreTimeout(_)));
                availability.record_failure(if is_silent { wait_end } else { now }, now);
            } else if let Some(away_ms) = availability.record_success(self.clock.now()) {
                info!(away_ms; "the store is back");
            }
        });
        response
    }

    async fn send(
        &self,
        call: Call,
        response_timeout: Duration,
        on_progress: &(dyn Fn() + Sync),
        state: &mut ReadState,
    ) -> Result<Response, Error> {
        let request = Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", self.address, call.path))
            .header(header::CONTENT_TYPE, "application/json")
            .body(http::Body::from(call.body))
            .expect("address and path form a valid URI");
        let http = self.http.borrow().clone();
        let response = timeout(response_timeout, http.send(request))
            .await
            .map_err(|_| {
                self.reconnect();
                Error::StoreTimeout(response_timeout.as_millis())
            })?
            .map_err(|error| match error {
                http::Error::TooLong(http::Bound { subject, .. }) => self.too_long(subject),
                error => Error::Store(error.to_string()),
            })?;
        on_progress();
        let status = response.status();
        let era = self.era(response.headers());
        let body = self.read_body(response.into_body(), state).await?;
        Ok(Response { body, era, status })
    }

    /// Reads a response body. Fails if no chunk arrives for a while, if the body arrives too slowly, or if it and what the read
    /// keeps already are too large.
    async fn read_body(
        &self,
        mut body: hyper::body::Incoming,
        state: &mut ReadState,
    ) -> Result<Bytes, Error> {
        let started_at = Instant::now();
        let mut bytes = BytesMut::new();
        let stalled = |length| Error::Store(format!("response stalled after {length} bytes"));
        loop {
            let frame = tokio::select! {
                frame = timeout(CHUNK_TIMEOUT, body.frame()) => frame,
                () = state.share.ended() => return Err(self.too_long(AnswerBound::Instance)),
            };
            let Some(frame) = frame.map_err(|_| stalled(bytes.len()))? else {
                return Ok(bytes.freeze());
            };
            let frame = frame.map_err(|error| Error::Store(error.to_string()))?;
            let Some(chunk) = frame.data_ref() else {
                continue;
            };
            state.bytes += chunk.len() as u64;
            if state.bytes > READ_BYTES_MAX {
                return Err(self.too_long(AnswerBound::Store));
            }
            if state.share.set(state.bytes) {
                return Err(self.too_long(AnswerBound::Instance));
            }
            bytes.extend_from_slice(chunk);
            if is_too_slow(bytes.len(), started_at.elapsed()) {
                return Err(stalled(bytes.len()));
            }
        }
    }

    /// The error of a read that exceeds a bound, which is logged and counted.
    fn too_long(&self, subject: AnswerBound) -> Error {
        let bytes = READ_BYTES_MAX;
        let bound = http::Bound { bytes, subject };
        driver::log_too_long(bound, self.address);
        self.meter.count(Counter::AnswerBound(subject), 1);
        Error::Store(http::Error::TooLong(bound).to_string())
    }

    /// A read that keeps nothing yet.
    fn new_read(&self) -> ReadState {
        ReadState {
            bytes: 0,
            share: self.budget.share(),
        }
    }

    /// Number of restores of the store from a backup, by the headers of a response; the newest known number if the
    /// header is missing or malformed.
    fn era(&self, headers: &hyper::HeaderMap) -> u64 {
        let known = self.availability.borrow().era();
        match platform::store::era(headers) {
            Ok(era) => era.unwrap_or(known),
            Err(error) => {
                warn!("malformed era in a response of the store: {error}");
                self.meter.count(Counter::EntryInvalid("era"), 1);
                known
            }
        }
    }

    /// Reads all items with a key prefix, and the position to watch from. The pages are not a snapshot, so the position
    /// is that of the first one. Fails if the store is restored from a backup between two pages.
    pub async fn read_prefix(
        &self,
        prefix: &str,
        response_timeout: Duration,
        consistency: Consistency,
    ) -> Result<(Vec<Item>, Position), Error> {
        self.read_prefix_with_progress(prefix, response_timeout, consistency, &|| {})
            .await
    }

    /// The same; `on_progress` is called when a page begins to arrive.
    pub async fn read_prefix_with_progress(
        &self,
        prefix: &str,
        response_timeout: Duration,
        consistency: Consistency,
        on_progress: &(dyn Fn() + Sync),
    ) -> Result<(Vec<Item>, Position), Error> {
        let mut state = self.new_read();
        let read = PageRead {
            consistency,
            on_progress,
            prefix,
            response_timeout,
        };
        let (mut page, era) = self.read_page(&read, None, &mut state).await?;
        let position = Position::new(era, page.revision);
        let mut items = std::mem::take(&mut page.items);
        while page.has_more {
            let last = items.last().map(|item| item.key.clone());
            let last = last.ok_or_else(|| Error::Store(format!("{prefix}: page without keys")))?;
            let page_era;
            (page, page_era) = self.read_page(&read, Some(&last), &mut state).await?;
            if page_era != era {
                return Err(Error::Store(format!(
                    "{prefix}: the store was restored between pages, from era {era} to {page_era}"
                )));
            }
            if page.items.is_empty() && page.has_more {
                return Err(Error::Store(format!("{prefix}: page without keys")));
            }
            items.append(&mut page.items);
        }
        Ok((items, position))
    }

    async fn read_page(
        &self,
        read: &PageRead<'_>,
        after: Option<&str>,
        state: &mut ReadState,
    ) -> Result<(Page, u64), Error> {
        let prefix = read.prefix;
        let allow_stale = read.consistency == Consistency::Serializable;
        let call = platform::store::range(prefix, after, allow_stale);
        let response =
            self.call_with_progress(call, read.response_timeout, read.on_progress, state);
        let Response { body, era, status } = response.await?;
        if status != StatusCode::OK {
            return Err(Error::Store(format!("reading {prefix}: {status}")));
        }
        let page = platform::store::decode_page(&body);
        let page = page.map_err(|error| Error::Store(error.to_string()))?;
        self.report_malformed(prefix, page.malformed);
        Ok((page, era))
    }

    /// Logs and counts an item that a reader skipped; `kind` says what it holds.
    pub fn report_invalid(&self, kind: &'static str, error: &platform::Error) {
        let reason = error.reason();
        warn!(kind, reason; "skipped a malformed item of the store: {error}");
        self.meter.count(Counter::EntryInvalid(kind), 1);
    }

    /// Logs and counts items that were skipped because they have no key or no revision.
    fn report_malformed(&self, prefix: &str, malformed: usize) {
        if malformed > 0 {
            warn!(odd = malformed; "skipped items of {prefix} that have no key or no revision");
            self.meter
                .count(Counter::EntryInvalid("item"), malformed as u64);
        }
    }

    /// Waits for changes after a revision to keys with a prefix. Returns them with the position up to which they are
    /// complete, or `None` if the store has compacted them. `on_progress` is called when the answer begins to arrive.
    pub async fn watch_prefix(
        &self,
        prefix: &str,
        revision: u64,
        wait: Duration,
        response_timeout: Duration,
        on_progress: &(dyn Fn() + Sync),
    ) -> Result<Option<(WatchResponse, Position)>, Error> {
        let call = platform::store::watch(prefix, revision, wait);
        let mut state = self.new_read();
        let response = self.exchange(call, wait, response_timeout, on_progress, &mut state);
        let Response { body, era, status } = response.await?;
        if platform::store::is_compacted(status) {
            return Ok(None);
        }
        if status != StatusCode::OK {
            return Err(Error::Store(format!("watching {prefix}: {status}")));
        }
        let response = platform::store::decode_watch(&body);
        let response = response.map_err(|error| Error::Store(error.to_string()))?;
        self.report_malformed(prefix, response.malformed);
        let position = Position::new(era, response.revision);
        Ok(Some((response, position)))
    }
}

/// Whether the store did not execute the call: it is unavailable, or this instance has used up its quota of calls.
fn is_refusal(status: StatusCode) -> bool {
    status.is_server_error() || status == StatusCode::TOO_MANY_REQUESTS
}

/// Whether a response has arrived at less than the lowest rate.
fn is_too_slow(bytes: usize, time: Duration) -> bool {
    let due = time.saturating_sub(SLOW_TIME_MAX).as_secs_f64() * BYTES_PER_SECOND_MIN;
    (bytes as f64) < due
}

/// Time-outs and backoff of one task that reads a part of the store.
pub(crate) struct RetryState {
    calls: StoreCalls,
    client: Client,
    log: AvailabilityLog,
}

/// Logs when reads of a part of the store start to fail and when they succeed again.
pub(crate) struct AvailabilityLog {
    clock: Clock,
    /// When the first call failed; `None` while calls succeed.
    failing_since: Option<Time>,
    /// Part of the store, as log lines name it.
    subject: &'static str,
}

impl RetryState {
    /// State before the first call; `subject` is the part of the store as log lines name it.
    pub fn new(subject: &'static str, client: &Client) -> Self {
        Self {
            calls: StoreCalls::default(),
            client: client.clone(),
            log: AvailabilityLog::new(subject, client.clock),
        }
    }

    /// Records a failed call and waits for the backoff, which is shorter if the store answers another call.
    pub async fn back_off(&mut self, error: &Error) {
        self.record_failure(error);
        let mut availability = self.client.availability();
        loop {
            let next_call_at = self.calls.next_call_at(&availability.borrow_and_update());
            let remaining_ms = next_call_at.since(self.client.clock.now());
            if remaining_ms == 0 {
                return;
            }
            tokio::select! {
                changed = availability.changed() => {
                    changed.expect("this state holds the client, and so the sender");
                }
                () = sleep(Duration::from_millis(remaining_ms)) => {}
            }
        }
    }

    /// Records a successful call, which resets the backoff.
    pub fn record_success(&mut self) {
        self.calls.record_success();
        self.log.record_success();
    }

    /// Records a failed call without waiting.
    pub fn record_failure(&mut self, error: &Error) {
        let availability = *self.client.availability.borrow();
        let now = self.client.clock.now();
        self.calls
            .record_failure(false, &availability, self.client.staleness_bound, now);
        self.log.record_failure(error);
    }

    /// Time within which the next response must begin.
    pub fn response_timeout(&self) -> Duration {
        Duration::from_millis(self.calls.timeout_ms)
    }
}

impl AvailabilityLog {
    /// State in which calls succeed.
    pub fn new(subject: &'static str, clock: Clock) -> Self {
        Self {
            clock,
            failing_since: None,
            subject,
        }
    }

    /// Records a failed call: a warning for the first one, an info line for the following ones.
    pub fn record_failure(&mut self, error: &Error) {
        if self.failing_since.is_some() {
            info!(
                "{} of the store still can not be read: {error}",
                self.subject
            );
            return;
        }
        self.failing_since = Some(self.clock.now());
        warn!("{} of the store can not be read: {error}", self.subject);
    }

    /// Records a successful call; logged if the one before failed.
    pub fn record_success(&mut self) {
        if let Some(failing_since) = self.failing_since.take() {
            let lost_ms = self.clock.now().since(failing_since);
            info!(lost_ms; "{} of the store can be read again", self.subject);
        }
    }
}
