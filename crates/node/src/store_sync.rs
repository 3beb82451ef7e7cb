//! The task that follows the configuration and the list of upstreams in the platform's store: it executes the calls
//! that the core's informer requests and applies the informer's outputs.

use super::*;
use exchange::StoredConfiguration;
use members::{LocalMember, Members};
use platform::store::{Change, Item};
use platform_store::{AvailabilityLog, Client};
use tokio::task::AbortHandle;
use wellplank_core::{
    counter::AnswerBound,
    dissemination,
    informer::Informer,
    informer_io::{
        Answer, Call, CancelReason, Content, Input, KnownState, Output, PeerList, PeerReport,
        Source, Topic,
    },
    roster::{self, Entry},
    staleness::StalenessBound,
};

/// Maximum time between two ticks of the informer, also while it needs none.
const WAKE_INTERVAL_MAX: Duration = Duration::from_mins(1);

/// Time for which a whole list that was encoded for other instances is given to further ones.
const LIST_KEPT_FOR: Duration = Duration::from_secs(2);

/// Parameters of the task.
pub(crate) struct StoreSync {
    /// Time within which a change in the store must be known here.
    pub bound: StalenessBound,
    /// Client of the store.
    pub client: Client,
    /// Clock of the instance.
    pub clock: Clock,
    /// The core task.
    pub driver: Driver,
    /// Sends announcements to the other instances.
    pub gossip: mpsc::UnboundedSender<gossip::Message>,
    /// Publishes what this instance knows of the store.
    pub known_state: watch::Sender<KnownState>,
    /// Time within which a leaving upstream must stop getting work, in milliseconds.
    pub leave_ms: u64,
    /// Publishes the limits on callers' requests in the configuration in force.
    pub limits: watch::Sender<platform::configuration::Limits>,
    /// Other instances.
    pub members: watch::Receiver<Members>,
    /// This instance.
    pub own: LocalMember,
    /// Requests of other instances for what this one has.
    pub peer_requests: mpsc::UnboundedReceiver<exchange::Request>,
}

/// Result of a call that the store answered.
enum CallResult {
    /// All changes since the requested position, up to a position.
    Changes(Vec<Change>, Position),
    /// The store has compacted the changes since the requested position.
    Compacted,
    /// The configuration of another instance.
    PeerConfiguration(StoredConfiguration),
    /// The list of another instance.
    PeerList(PeerList),
    /// All items, up to a position.
    Items(Vec<Item>, Position),
}

/// A call that has succeeded or failed.
struct FinishedCall {
    call: Call,
    result: Result<CallResult, Error>,
}

/// What becomes of calls.
enum CallEvent {
    Finished(FinishedCall),
    /// The answer to the call of this identifier has begun to arrive.
    Progressed(u64),
}

/// State of the task.
struct Task {
    /// Since when the store has not answered, as last reported to the core.
    away_since: Option<Time>,
    /// Pending calls by their identifiers.
    calls: HashMap<u64, AbortHandle>,
    call_events: mpsc::UnboundedSender<CallEvent>,
    informer: Informer,
    /// The whole list as it was last given to another instance, and when it was encoded.
    encoded_list: Option<(Instant, exchange::EncodedList)>,
    /// Another instance of the data centre that has a newer configuration, and its revision.
    configured_peer: Option<(u64, SocketAddr)>,
    /// Limits on callers' requests in the last configuration that was read, and its revision in the store.
    limits: (platform::configuration::Limits, u64),
    /// Logs of the configuration and the upstreams, in this order.
    logs: [AvailabilityLog; 2],
    params: StoreSync,
    /// The last configuration that was read, for other instances.
    stored_configuration: Option<StoredConfiguration>,
}

impl StoreSync {
    /// Runs until the instance ends; `peer_reports` are the reports of other instances.
    pub async fn run(
        mut self,
        mut peer_reports: mpsc::UnboundedReceiver<(SocketAddr, PeerReport)>,
    ) {
        let (call_events, mut events) = mpsc::unbounded_channel();
        let mut availability = self.client.availability();
        let mut members = self.members.clone();
        let (_, no_requests) = mpsc::unbounded_channel();
        let mut peer_requests = std::mem::replace(&mut self.peer_requests, no_requests);
        let now = self.clock.now();
        let informer = Informer::new(self.bound, self.leave_ms, *availability.borrow(), now)
            .awaiting_role(self.bound.bound_ms, now);
        let mut task = Task {
            away_since: None,
            calls: HashMap::new(),
            call_events,
            informer,
            configured_peer: None,
            encoded_list: None,
            limits: Default::default(),
            logs: [Topic::Configuration, Topic::Upstreams]
                .map(|topic| AvailabilityLog::new(topic_name(topic), self.clock)),
            params: self,
            stored_configuration: None,
        };
        task.handle(Input::Tick, *availability.borrow());
        loop {
            let time_to_wake = task.time_to_wake();
            let input = tokio::select! {
                Some(event) = events.recv() => match event {
                    CallEvent::Finished(finished) => task.finish(finished),
                    CallEvent::Progressed(id) => Input::Progressed(id),
                },
                Some(request) = peer_requests.recv() => {
                    task.answer_peer(request);
                    continue;
                }
                Some((from, report)) = peer_reports.recv() => task.receive(from, report),
                Ok(()) = members.changed() => task.update_role(&members.borrow_and_update()),
                Ok(()) = availability.changed() => Input::Tick,
                () = sleep(time_to_wake) => Input::Tick,
            };
            let availability = *availability.borrow_and_update();
            task.handle(input, availability);
        }
    }
}

impl Task {
    /// Time until the informer needs the next tick.
    fn time_to_wake(&self) -> Duration {
        let now = self.params.clock.now();
        let left = self.informer.next_wake().map(|wake| wake.since(now));
        left.map_or(WAKE_INTERVAL_MAX, Duration::from_millis)
            .min(WAKE_INTERVAL_MAX)
    }

    /// Input for the informer from the other instances as they are known now: the role and the rank of this one.
    fn update_role(&mut self, members: &Members) -> Input {
        let own = &self.params.own;
        let place = own.place(members);
        self.informer.set_place(place);
        Input::Role(own.role(members), own.watcher_rank(members))
    }

    /// Gives another instance what it asks for; it may have disconnected meanwhile.
    fn answer_peer(&mut self, request: exchange::Request) {
        match request {
            exchange::Request::Configuration(reply) => {
                drop(reply.send(self.stored_configuration.clone()));
            }
            exchange::Request::List { reply, since } => {
                let list = self.encoded_list(since);
                if list.is_some() {
                    self.params.driver.count(Counter::ListGiven);
                }
                drop(reply.send(list));
            }
        }
    }

    /// The list, or its changes after a position, for another instance. A whole list is encoded once for all that ask for
    /// it within a while; what they miss of it is in the updates that they have kept.
    fn encoded_list(&mut self, since: Option<Position>) -> Option<exchange::EncodedList> {
        let is_fresh = |(at, _): &&(Instant, _)| at.elapsed() < LIST_KEPT_FOR;
        if since.is_none()
            && let Some((_, list)) = self.encoded_list.as_ref().filter(is_fresh)
        {
            return Some(list.clone());
        }
        let list = self.informer.peer_list(since, self.params.clock.now())?;
        let kept_for = if since.is_none() {
            LIST_KEPT_FOR
        } else {
            Duration::ZERO
        };
        match exchange::encode_list(list, kept_for) {
            Ok(list) => {
                if since.is_none() {
                    self.encoded_list = Some((Instant::now(), list.clone()));
                }
                Some(list)
            }
            Err(error) => {
                warn!("the list can not be compressed: {error}");
                None
            }
        }
    }

    /// Notes an instance of the data centre that has a newer configuration.
    fn note_configured(&mut self, from: SocketAddr, revision: Option<u64>) {
        let Some(revision) =
            revision.filter(|_| revision > self.informer.known_state().configuration)
        else {
            return;
        };
        let newest = self.configured_peer.map_or(0, |(newest, _)| newest);
        let members = self.params.members.borrow();
        let is_local = |member: &members::Member| {
            member.address == from && member.data_centre == self.params.own.data_centre
        };
        if revision >= newest && members.values().any(is_local) {
            self.configured_peer = Some((revision, from));
        }
    }

    /// Address of the instance before this one in the tree behind the watcher: the first to have what this one has missed.
    fn preceding_peer(&self) -> Option<SocketAddr> {
        let members = self.params.members.borrow();
        let own = &self.params.own;
        let local = members
            .iter()
            .filter(|(_, member)| member.data_centre == own.data_centre);
        let addresses: BTreeMap<u64, SocketAddr> = local
            .map(|(name, member)| (upstream::id(name), member.address))
            .collect();
        let others: Vec<u64> = addresses.keys().copied().collect();
        let id = upstream::id(&own.name);
        let root = others.first().map_or(id, |first| id.min(*first));
        let parent = dissemination::parent(&others, id, root)?;
        addresses.get(&parent).copied()
    }

    /// Address of a random other instance of the data centre.
    fn random_peer(&self) -> Option<SocketAddr> {
        let members = self.params.members.borrow();
        let own = &self.params.own.data_centre;
        let local = members.values().filter(|member| member.data_centre == *own);
        let local: Vec<SocketAddr> = local.map(|member| member.address).collect();
        let place = rand::random_range(0..local.len().max(1));
        local.get(place).copied()
    }

    /// Input for the informer from another instance's report.
    fn receive(&mut self, from: SocketAddr, report: PeerReport) -> Input {
        self.note_configured(from, report.configuration);
        if report.confirmed.is_some() {
            self.params.client.record_peer_success();
        }
        Input::PeerReport(report)
    }

    /// Passes an input to the informer and applies its outputs.
    fn handle(&mut self, input: Input, availability: Availability) {
        let now = self.params.clock.now();
        let away_since = availability.away_since();
        if std::mem::replace(&mut self.away_since, away_since) != away_since {
            self.params.driver.send_event(Event::StoreAway(away_since));
        }
        let outputs = self.informer.handle(input, availability, now);
        // Published before the outputs are applied, since announcements to others contain the known state.
        let known = self.informer.known_state();
        self.params.known_state.send_if_modified(|before| {
            let is_changed = *before != known;
            *before = known;
            is_changed
        });
        for output in outputs {
            self.perform(output, now);
        }
    }

    fn perform(&mut self, output: Output, now: Time) {
        match output {
            Output::Call(call) => self.start_call(call),
            Output::Configuration(config) => {
                let (revision, routes) = (config.revision, config.routes.len());
                let keys = config.access.customers().count();
                let open = config.access.is_open();
                let (limits, store_revision) = self.limits;
                info!(keys, open, revision, routes, store_revision; "configuration in force");
                self.params.driver.send_event(Event::Config(config));
                self.params.limits.send_replace(limits);
            }
            // A send fails only if the gossip task has ended, which it does only with the instance.
            Output::Confirm(confirmed) => {
                drop(
                    self.params
                        .gossip
                        .send(gossip::Message::Confirmed(confirmed)),
                );
            }
            Output::Cancel(call, reason) => self.cancel(call, reason),
            Output::Era(era) => {
                info!(era; "reading everything again: the store was restored from a backup");
            }
            Output::Outdated(topic) => {
                self.params.driver.count(Counter::StoreOutdated);
                debug!(
                    "dropped an answer about {} from an earlier era of the store",
                    topic_name(topic)
                );
            }
            Output::MissingEntry(upstream, believed_ms) => {
                info!(believed_ms, upstream; "a missing entry may have expired; its upstream is kept for a grace period");
            }
            // A send fails only if the gossip task has ended, which it does only with the instance.
            Output::AnnounceRoster(update) => {
                drop(
                    self.params
                        .gossip
                        .send(gossip::Message::RosterUpdate(update)),
                );
            }
            Output::AnnounceConfiguration => {
                drop(self.params.gossip.send(gossip::Message::Configuration));
            }
            Output::PassOnConfiguration => {
                drop(
                    self.params
                        .gossip
                        .send(gossip::Message::ConfigurationPassedOn),
                );
            }
            Output::Upstreams(delta) => self.params.driver.send_event(Event::ListChanged {
                delta,
                requested_at: now,
            }),
        }
    }

    fn start_call(&mut self, call: Call) {
        if call.is_retry {
            let Call {
                timeout_ms: patience_ms,
                ..
            } = call;
            let since = call.since.map(|since| since.to_string());
            info!(patience_ms, since; "asking the store again for {}", topic_name(call.topic));
        }
        let client = self.params.client.clone();
        let events = self.call_events.clone();
        let peer = match (call.source, call.topic) {
            (Source::Peer, Topic::Configuration) => {
                let configured = self.configured_peer.map(|(_, peer)| peer);
                configured.or_else(|| self.random_peer())
            }
            // The instance before this one has the list first, unless it is lost.
            (Source::Peer, Topic::Upstreams)
                if call.since.is_some() || call.id.is_multiple_of(2) =>
            {
                self.preceding_peer().or_else(|| self.random_peer())
            }
            (Source::Peer, Topic::Upstreams) => self.random_peer(),
            (Source::Store, _) => None,
        };
        let driver = self.params.driver.clone();
        let task = tokio::spawn(async move {
            // A send fails only if the receiving task has ended, which it does only with the instance.
            let on_progress = || drop(events.send(CallEvent::Progressed(call.id)));
            let result = match call.source {
                Source::Peer => {
                    let result = fetch(peer, call, on_progress).await;
                    if let Err(Error::PeerBound(..)) = result {
                        driver.count(Counter::AnswerBound(AnswerBound::Peer));
                    }
                    result
                }
                Source::Store => execute(&client, call, &on_progress).await,
            };
            drop(events.send(CallEvent::Finished(FinishedCall { call, result })));
        });
        self.calls.insert(call.id, task.abort_handle());
    }

    /// Cancels a pending call.
    fn cancel(&mut self, call: Call, reason: CancelReason) {
        if let Some(task) = self.calls.remove(&call.id) {
            task.abort();
        }
        let error = match reason {
            CancelReason::PeersAhead => Some("call cancelled: other instances know more"),
            CancelReason::Stalled => Some("call cancelled: the store answers other calls again"),
            CancelReason::Unconfirmed => None,
            CancelReason::EntryExpired
            | CancelReason::StoreRestored
            | CancelReason::RoleChanged => return,
        };
        self.params.client.reconnect();
        if let Some(error) = error {
            self.log(call.topic)
                .record_failure(&Error::Store(error.into()));
        } else {
            let since = call.since.map(|since| since.to_string());
            info!(since; "no confirmation of {} for too long: asking on a new connection", topic_name(call.topic));
        }
    }

    fn log(&mut self, topic: Topic) -> &mut AvailabilityLog {
        match topic {
            Topic::Configuration => &mut self.logs[0],
            Topic::Upstreams => &mut self.logs[1],
        }
    }

    /// Input for the informer from the result of a call.
    fn finish(&mut self, finished: FinishedCall) -> Input {
        let FinishedCall { call, result } = finished;
        if self.calls.remove(&call.id).is_none() {
            // It finished while it was being cancelled.
            return Input::Tick;
        }
        let result = match result {
            Ok(result) => result,
            Err(error) if call.source == Source::Peer => {
                debug!(
                    "no {} from another instance: {error}",
                    topic_name(call.topic)
                );
                return Input::Failed(call.id);
            }
            Err(error) => {
                self.log(call.topic).record_failure(&error);
                return Input::Failed(call.id);
            }
        };
        if call.source == Source::Store {
            self.log(call.topic).record_success();
        }
        let (changes, position) = match result {
            CallResult::Items(items, position) => {
                (items.into_iter().map(Change::Written).collect(), position)
            }
            CallResult::Changes(changes, position) => (changes, position),
            CallResult::PeerConfiguration(stored) => {
                self.params.driver.count(Counter::ConfigurationFromPeer);
                let (bytes, config) = self.decode_peer_configuration(stored);
                let id = call.id;
                return Input::PeerConfiguration { bytes, config, id };
            }
            CallResult::PeerList(list) => {
                let (entries, to) = (list.changes.len(), list.to.to_string());
                info!(entries, to; "got the list from another instance");
                self.params.driver.count(Counter::ListFromPeer);
                return Input::PeerList(call.id, list);
            }
            CallResult::Compacted => {
                let since = call.since.map(|since| since.to_string());
                info!(since; "the store has compacted the changes of {}", topic_name(call.topic));
                return Input::Answered(call.id, Answer::Compacted);
            }
        };
        let content = match call.topic {
            Topic::Configuration => self.decode_configuration(changes),
            Topic::Upstreams => {
                let changes = changes
                    .iter()
                    .filter_map(|change| self.decode_change(change, position.era));
                Content::Upstreams(changes.collect())
            }
        };
        Input::Answered(call.id, Answer::Complete(content, position))
    }

    /// Decodes a change of the list that was read in an era of the store; `None` if no upstream can have its key.
    fn decode_change(&self, change: &Change, era: u64) -> Option<roster::Change> {
        let (key, revision) = match change {
            Change::Removed { key, revision } => (key, *revision),
            Change::Written(item) => (&item.key, item.revision),
        };
        let name = match platform::upstream::listed_name(key) {
            Ok(name) => name,
            Err(error) => {
                self.report_invalid_entry(&error);
                return None;
            }
        };
        let entry = match change {
            Change::Removed { .. } => Entry::Deleted,
            Change::Written(item) => self.decode_entry(item, era),
        };
        Some(roster::Change {
            entry,
            name: name.into(),
            position: Position::new(era, revision),
        })
    }

    /// Decodes an entry that was read in an era of the store.
    fn decode_entry(&self, item: &Item, era: u64) -> Entry {
        match platform::upstream::decode(item, era) {
            Ok(listed) => Entry::Listed(listed),
            Err(error) => {
                self.report_invalid_entry(&error);
                Entry::Invalid
            }
        }
    }

    fn report_invalid_entry(&self, error: &platform::Error) {
        let reason = error.reason();
        warn!(reason; "ignored a malformed upstream entry: {error}");
        self.params.driver.count(Counter::EntryInvalid(reason));
    }

    /// Decodes the newest configuration among changes.
    fn decode_configuration(&mut self, changes: Vec<Change>) -> Content {
        let newest = changes.into_iter().rev().find_map(|change| match change {
            Change::Written(item) if item.key == platform::configuration::KEY => Some(item),
            Change::Removed { .. } | Change::Written(_) => None,
        });
        let Some(item) = newest else {
            return Content::Configuration {
                bytes: 0,
                config: None,
            };
        };
        let document = match item.bytes() {
            Ok(document) => document,
            Err(error) => {
                self.report_invalid_configuration(&error);
                return Content::Configuration {
                    bytes: 0,
                    config: None,
                };
            }
        };
        let config = self.decode_document(document, item.revision);
        if config.is_some() {
            match StoredConfiguration::new(document, item.revision) {
                Ok(stored) => self.stored_configuration = Some(stored),
                Err(error) => warn!("the configuration can not be compressed: {error}"),
            }
        }
        Content::Configuration {
            bytes: document.len(),
            config,
        }
    }

    /// Decodes the configuration of another instance, and returns its size in bytes; `None` if it is older than the last
    /// one that was read, or invalid.
    fn decode_peer_configuration(
        &mut self,
        stored: StoredConfiguration,
    ) -> (usize, Option<Arc<Config>>) {
        if stored.store_revision <= self.limits.1 {
            return (0, None);
        }
        let document = match stored.decompress() {
            Ok(document) => document,
            Err(error) => {
                warn!("the configuration of another instance can not be decompressed: {error}");
                return (0, None);
            }
        };
        let config = self.decode_document(&document, stored.store_revision);
        if config.is_some() {
            self.stored_configuration = Some(stored);
        }
        (document.len(), config)
    }

    /// Decodes the document of a configuration that was written at a revision of the store.
    fn decode_document(&mut self, document: &[u8], store_revision: u64) -> Option<Arc<Config>> {
        match platform::configuration::decode(document) {
            Ok(decoded) => {
                self.limits = (decoded.limits, store_revision);
                Some(Arc::new(decoded.config))
            }
            Err(error) => {
                self.report_invalid_configuration(&error);
                None
            }
        }
    }

    fn report_invalid_configuration(&self, error: &platform::Error) {
        let reason = error.reason();
        error!(reason; "invalid configuration; the one in force stays: {error}");
        self.params
            .driver
            .count(Counter::EntryInvalid("configuration"));
    }
}

/// Requests the configuration or the list from another instance.
async fn fetch(
    peer: Option<SocketAddr>,
    call: Call,
    on_progress: impl Fn(),
) -> Result<CallResult, Error> {
    let Some(peer) = peer else {
        return Err(Error::Store("no other instance in the data centre".into()));
    };
    let response_timeout = Duration::from_millis(call.timeout_ms);
    match call.topic {
        Topic::Configuration => exchange::fetch_configuration(peer, response_timeout)
            .await
            .map(CallResult::PeerConfiguration),
        Topic::Upstreams => exchange::fetch_list(peer, call.since, on_progress)
            .await
            .map(CallResult::PeerList),
    }
}

/// Executes a call of the store.
async fn execute(
    client: &Client,
    call: Call,
    on_progress: &(dyn Fn() + Sync),
) -> Result<CallResult, Error> {
    let prefix = match call.topic {
        Topic::Configuration => platform::configuration::KEY,
        Topic::Upstreams => platform::upstream::PREFIX,
    };
    let response_timeout = Duration::from_millis(call.timeout_ms);
    let Some(since) = call.since else {
        let (items, position) = client
            .read_prefix_with_progress(prefix, response_timeout, call.consistency, on_progress)
            .await?;
        return Ok(CallResult::Items(items, position));
    };
    let wait = Duration::from_millis(call.wait_ms);
    let response = client
        .watch_prefix(prefix, since.revision, wait, response_timeout, on_progress)
        .await?;
    Ok(
        response.map_or(CallResult::Compacted, |(response, position)| {
            CallResult::Changes(response.changes, position)
        }),
    )
}

/// Name of a topic in log lines.
fn topic_name(topic: Topic) -> &'static str {
    match topic {
        Topic::Configuration => "configuration",
        Topic::Upstreams => "upstreams",
    }
}
