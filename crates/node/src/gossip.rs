//! Gossip between the instances on the users' platform, by datagrams that are not acknowledged: the
//! streams that instances relay, lost and leaving upstreams, crashes, demand, changes of the list of
//! upstreams, and the revisions that each instance knows.

use super::*;
use ended_announcements::EndedAnnouncements;
use members::{LocalMember, Member, Members, SMALL_FLEET_MAX};
use pacer::Pacer;
use tokio::net::UdpSocket;
use wellplank_core::{
    demand::{Demand, Reach},
    directory::{Audience, Lookup},
    dissemination::{self, Forwarder, Route, Tree},
    estimates::EngineSpeed,
    informer_io::{Confirmed, KnownState, PeerReport},
    limit::Rate,
    origin::RunId,
    quarantine::CrashHistory,
    roster::RosterUpdate,
};

/// Size of the receive buffer, in bytes; the rest of a longer datagram is cut off.
const DATAGRAM_BYTES_MAX: usize = 2_048;

/// Time that sending waits for space in the socket's buffer: many messages may be due to many
/// instances at once.
const SEND_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum number of engine speeds per datagram; more samples of one moment would be alike.
const ENGINE_SPEEDS_MAX: usize = 2;

/// Binary digits of the number of updates that an instance may announce in a millisecond, on average.
const SEQUENCE_SHIFT: u32 = 8;

/// A message to other instances.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    /// Another configuration is in force here. Sent within the data centre.
    Configuration,
    /// The same, at an instance that learnt of it from another. Sent to the instances behind it.
    ConfigurationPassedOn,
    /// Proof from the store that a topic is up to date. Sent to the other watchers.
    Confirmed(Confirmed),
    /// The whole crash history, for an instance that requested it.
    CrashHistory(SocketAddr),
    /// A request for the whole crash history of another instance, which gets that of this one.
    CrashHistoryRequest(SocketAddr),
    /// Changes of the crash history: new crashes, and requests cleared of them.
    Crashes(CrashHistory),
    /// Demand for a pool. Later datagrams include it; if the pool is near its capacity, it is also
    /// sent at once within the data centre.
    Demand {
        /// The demand at this instance.
        demand: Demand,
        /// Which instances need it, and how soon.
        reach: Reach,
    },
    /// How fast the engines of a pool work. Included in the next datagram.
    EngineSpeed(EngineSpeed),
    /// Ended incarnations of upstreams that another instance announced. Not sent, but kept for instances that start.
    EndsLearnt(Vec<Incarnation>),
    /// A request for the record of a stream to those that keep it.
    FindStream(Lookup),
    /// Changes of the list of upstreams that another instance announced, to be passed on in the
    /// tree in which they came.
    ForwardedUpdate(Box<peers::Roster>, Route),
    /// An upstream set a rate limit, or no longer sets one.
    RateLimit {
        /// The upstream.
        incarnation: Incarnation,
        /// The limit for all instances together; `None` if there is none any more.
        rate: Option<Rate>,
    },
    /// Changes of the list of upstreams. Sent within the data centre.
    RosterUpdate(RosterUpdate),
    /// The state of a relayed stream.
    Stream(StreamRecord, Audience),
    /// Records of streams that another instance asked for.
    StreamRecords(SocketAddr, Vec<peers::Sighting>),
    /// An upstream accepted a connection and broke it off.
    UpstreamBrokeOff(Incarnation),
    /// An upstream announced that it is leaving.
    UpstreamLeaving(Incarnation),
    /// An upstream is lost.
    UpstreamLost(Incarnation),
    /// Incarnations of upstreams have ended.
    UpstreamsEnded(Vec<Incarnation>),
}

impl Message {
    /// Whether it is sent to all instances, and is no announcement of ended upstreams itself.
    fn goes_to_all(&self) -> bool {
        matches!(
            self,
            Self::Crashes(_)
                | Self::RateLimit { .. }
                | Self::Stream(_, Audience::All)
                | Self::UpstreamBrokeOff(_)
                | Self::UpstreamLeaving(_)
                | Self::UpstreamLost(_)
        )
    }
}

/// Inputs and settings of the gossip tasks.
pub(crate) struct Gossip {
    /// Client of the store.
    pub client: platform_store::Client,
    /// The crashes of upstreams that this instance knows.
    pub crash_history: watch::Receiver<crash_history::LocalHistory>,
    /// The core task.
    pub driver: Driver,
    /// Changes of the quarantine to store, so that it outlives the loss of all instances.
    pub kept: mpsc::UnboundedReceiver<store_writer::QuarantineUpdate>,
    /// What this instance knows of the store.
    pub known: watch::Receiver<KnownState>,
    /// Rate of the instance's link in megabits per second.
    pub link_mbps: f64,
    /// Address of the socket, which other instances are told.
    pub listen: SocketAddr,
    /// This instance.
    pub own: LocalMember,
    /// Channel for what other instances report of the store.
    pub peer_reports: mpsc::UnboundedSender<(SocketAddr, PeerReport)>,
    /// Reads and writes of the names of versions.
    pub name_calls: mpsc::UnboundedReceiver<wellplank_core::names::Call>,
    /// Sends and receives the datagrams.
    pub socket: UdpSocket,
}

impl Gossip {
    /// Starts the tasks. They send the `messages`; `outgoing` is the other end of that channel, for
    /// replies to datagrams.
    pub fn start(
        self,
        outgoing: mpsc::UnboundedSender<Message>,
        messages: mpsc::UnboundedReceiver<Message>,
        tasks: &tasks::Tasks,
    ) -> watch::Receiver<Members> {
        let socket = Arc::new(self.socket);
        let (members_sender, members) = watch::channel(Members::new());
        let (streams, known_streams) = watch::channel(store_writer::Streams::default());
        let receiver = DatagramReceiver {
            anti_entropy: crash_history::AntiEntropy::default(),
            crash_history: self.crash_history.clone(),
            driver: self.driver.clone(),
            forwarder: Forwarder::default(),
            known: self.known.clone(),
            newest: KnownState::default(),
            outgoing,
            peer_reports: self.peer_reports,
            socket: socket.clone(),
            streams: streams.clone(),
        };
        tasks.spawn("datagram_receiver", receiver.run());
        let discovery = members::Discovery {
            client: self.client.clone(),
            own: self.own.clone(),
            sender: members_sender,
        };
        tasks.spawn("discovery", discovery.run());
        let sender = DatagramSender {
            crash_history: self.crash_history,
            demands: BTreeMap::new(),
            ended: EndedAnnouncements::default(),
            engine_speeds: Vec::new(),
            known: self.known,
            local_peers: LocalPeers {
                addresses: BTreeMap::new(),
                members: members.clone(),
                own: self.own.clone(),
            },
            members: members.clone(),
            own: self.own.clone(),
            pacer: Pacer::new(self.link_mbps),
            sequence: first_sequence(),
            pools_at_capacity: BTreeSet::new(),
            socket,
            streams: streams.clone(),
        };
        tasks.spawn("datagram_sender", sender.run(messages));
        let (several, several_versions) = watch::channel(false);
        let names = version_names::VersionNames {
            calls: self.name_calls,
            client: self.client.clone(),
            driver: self.driver.clone(),
            members: members.clone(),
            own: self.own.clone(),
            several,
        };
        tasks.spawn("version_names", names.run());
        let writer = store_writer::StoreWriter {
            client: self.client,
            driver: self.driver,
            listen: self.listen,
            members: members.clone(),
            own: self.own,
            quarantine_updates: self.kept,
            quarantined: BTreeMap::new(),
            several_versions,
            streams: known_streams,
            streams_sender: streams,
        };
        tasks.spawn("store_writer", writer.run());
        members
    }
}

/// Receives datagrams from other instances and passes on their content.
struct DatagramReceiver {
    anti_entropy: crash_history::AntiEntropy,
    crash_history: watch::Receiver<crash_history::LocalHistory>,
    driver: Driver,
    forwarder: Forwarder,
    /// What this instance knows of the store.
    known: watch::Receiver<KnownState>,
    /// The newest revisions that other instances have reported.
    newest: KnownState,
    /// Messages to send to other instances.
    outgoing: mpsc::UnboundedSender<Message>,
    peer_reports: mpsc::UnboundedSender<(SocketAddr, PeerReport)>,
    socket: Arc<UdpSocket>,
    streams: watch::Sender<store_writer::Streams>,
}

impl DatagramReceiver {
    /// Receives datagrams; never returns.
    async fn run(mut self) {
        let mut datagram = vec![0; DATAGRAM_BYTES_MAX];
        loop {
            match self.socket.recv_from(&mut datagram).await {
                Ok((length, from)) => self.handle(&datagram[..length], from),
                // The operating system reports here that a datagram sent earlier met a closed port.
                Err(error) => debug!("receiving a datagram: {error}"),
            }
        }
    }

    fn handle(&mut self, bytes: &[u8], from: SocketAddr) {
        let datagram = match peers::Datagram::decode(bytes) {
            Ok(datagram) => datagram,
            Err(error) => {
                warn!("malformed datagram from {from}: {error}");
                self.driver.count(Counter::EntryInvalid("datagram"));
                return;
            }
        };
        if !datagram.sightings.is_empty() {
            self.streams.send_modify(|streams| {
                for record in &datagram.sightings {
                    streams.apply(record);
                }
            });
            report_found(datagram.sightings, &self.driver);
        }
        self.answer_wanted(&datagram.wanted, &datagram.wanted_origins, from);
        self.merge_crashes(datagram.ends, datagram.account, datagram.asks, from);
        self.learn_ends(datagram.ended);
        for incarnation in datagram.lost {
            self.driver
                .send_event(Event::PeerLoss(datagram::decode_incarnation(incarnation)));
        }
        for incarnation in datagram.broke_off {
            self.driver
                .send_event(Event::PeerBreakOff(datagram::decode_incarnation(
                    incarnation,
                )));
        }
        for incarnation in datagram.leaving {
            self.driver
                .send_event(Event::PeerLeaving(datagram::decode_incarnation(
                    incarnation,
                )));
        }
        for limit in datagram.limits {
            let incarnation = datagram::decode_incarnation(limit.life.unwrap_or_default());
            let rate = limit.rate.map(Rate);
            self.driver
                .send_event(Event::PeerLimit { incarnation, rate });
        }
        for demand in datagram.demands {
            let demand = datagram::decode_demand(demand);
            self.driver.send_event(Event::PeerDemand { demand, from });
        }
        for speed in datagram.paces {
            self.driver
                .send_event(Event::PeerSpeed(datagram::decode_engine_speed(speed)));
        }
        let update = datagram.roster.filter(|roster| self.pass_on(roster));
        let update = update.map(datagram::decode_roster_update);
        let confirmed = datagram.confirmed.map(datagram::decode_confirmed);
        let newest = &mut self.newest;
        let has_revisions_only = update.is_none() && confirmed.is_none();
        let list = Position::new(datagram.list_era, datagram.list);
        // A configuration that is not in force here is reported by each that has it: one of them is near.
        if has_revisions_only
            && datagram.configuration <= self.known.borrow().configuration
            && list <= newest.list
        {
            return;
        }
        newest.configuration = newest.configuration.max(datagram.configuration);
        newest.list = newest.list.max(list);
        let report = PeerReport {
            configuration: datagram.configuration,
            confirmed,
            list,
            update,
        };
        // Sending fails only while the instance shuts down.
        let _ = self.peer_reports.send((from, report));
    }
}

impl DatagramReceiver {
    /// Answers an instance that asks for the records of streams with those that are known here.
    fn answer_wanted(&self, prompts: &[u64], origins: &[u64], from: SocketAddr) {
        let streams = self.streams.borrow();
        let by_prompt = prompts.iter().flat_map(|prompt| streams.of_prompt(*prompt));
        let by_origin = origins
            .iter()
            .filter_map(|origin| streams.get(RunId(*origin)).cloned());
        let records: Vec<peers::Sighting> = by_prompt.chain(by_origin).collect();
        if !records.is_empty() {
            // Sending fails only while the instance shuts down.
            let _ = self.outgoing.send(Message::StreamRecords(from, records));
        }
    }

    /// Reports the ends of upstreams that another instance announced; they are not forwarded.
    fn learn_ends(&self, ended: Vec<peers::Life>) {
        if ended.is_empty() {
            return;
        }
        let ended: Vec<Incarnation> = ended
            .into_iter()
            .map(datagram::decode_incarnation)
            .collect();
        // Sending fails only while the instance shuts down.
        let _ = self.outgoing.send(Message::EndsLearnt(ended.clone()));
        self.driver.send_event(Event::PeerEnds(ended));
    }

    /// Passes an update of the list on to the instances behind this one; returns whether it is the
    /// first copy.
    fn pass_on(&mut self, roster: &peers::Roster) -> bool {
        let Some(route) = datagram::decode_route(roster) else {
            return true;
        };
        let receipt = self.forwarder.receive(route);
        if receipt.passes_on {
            let message = Message::ForwardedUpdate(Box::new(roster.clone()), route);
            // Sending fails only while the instance shuts down.
            let _ = self.outgoing.send(message);
        }
        receipt.is_new
    }

    /// Merges crashes from another instance, and compares digests to detect that the two histories
    /// differ: a datagram may have been lost, or one of the two was partitioned or restarted.
    fn merge_crashes(
        &mut self,
        crashes: Vec<peers::End>,
        digest: u64,
        is_request: bool,
        from: SocketAddr,
    ) {
        if !crashes.is_empty() {
            let history = crash_history::decode(crashes);
            self.driver.send_event(Event::CrashReported(history.into()));
        }
        let own = self.crash_history.borrow().digest;
        let message = if is_request {
            Some(Message::CrashHistory(from))
        } else if self.anti_entropy.should_request(own, digest) {
            Some(Message::CrashHistoryRequest(from))
        } else {
            None
        };
        if let Some(message) = message {
            // Sending fails only while the instance shuts down.
            let _ = self.outgoing.send(message);
        }
    }
}

/// Number from which a started instance counts its updates: above those of its earlier starts.
fn first_sequence() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64) << SEQUENCE_SHIFT
}

/// Reports to the core the streams of one datagram; several of them together, since they answer a lookup.
fn report_found(records: Vec<peers::Sighting>, driver: &Driver) {
    if records.len() == 1 {
        return report_streams(records, driver);
    }
    let records = records.into_iter().map(datagram::decode_stream_record);
    driver.send_event(Event::StreamsFound(records.collect()));
}

/// Reports to the core the streams that other instances relay.
pub(crate) fn report_streams(records: Vec<peers::Sighting>, driver: &Driver) {
    for record in records {
        driver.send_event(Event::PeerStream(datagram::decode_stream_record(record)));
    }
}

/// The other instances of the data centre.
struct LocalPeers {
    /// Their addresses by the hashes of their names.
    addresses: BTreeMap<u64, SocketAddr>,
    members: watch::Receiver<Members>,
    own: LocalMember,
}

impl LocalPeers {
    /// Their addresses as they are known now.
    fn addresses(&mut self) -> &BTreeMap<u64, SocketAddr> {
        if self.members.has_changed().unwrap_or(false) {
            let members = self.members.borrow_and_update();
            let local = members
                .iter()
                .filter(|(_, member)| member.data_centre == self.own.data_centre);
            self.addresses = local
                .map(|(name, member)| (upstream::id(name), member.address))
                .collect();
        }
        &self.addresses
    }

    /// Whether announcements are passed on rather than sent to each.
    fn are_many(&mut self) -> bool {
        dissemination::trees(self.addresses().len()) != [Tree::Direct]
    }

    /// The instances to which this one announces a configuration, in both trees: as their root if it read that from the
    /// store, otherwise behind the watcher, which is ranked first.
    fn behind(&mut self, is_root: bool) -> Vec<Recipient> {
        let own = upstream::id(&self.own.name);
        let first = self.addresses().keys().next().copied();
        let root = if is_root {
            own
        } else {
            first.map_or(own, |first| first.min(own))
        };
        let trees = dissemination::trees(self.addresses().len());
        let route = |tree: &Tree| Route {
            root,
            sequence: 0,
            tree: *tree,
        };
        let copies = trees.iter().filter(|tree| **tree != Tree::Direct);
        copies.flat_map(|tree| self.children(route(tree))).collect()
    }

    /// The instances to which this one sends a copy of an update.
    fn children(&mut self, route: Route) -> Vec<Recipient> {
        let own = upstream::id(&self.own.name);
        let addresses = self.addresses();
        let others: Vec<u64> = addresses.keys().copied().collect();
        let children = dissemination::children(&others, own, route.root, route.tree);
        let recipient = |child: u64| Recipient {
            address: addresses[&child],
            is_local: true,
        };
        children.into_iter().map(recipient).collect()
    }
}

/// Another instance to which a message is sent.
#[derive(Clone, Copy, Debug)]
struct Recipient {
    address: SocketAddr,
    /// Whether it is in the same data centre.
    is_local: bool,
}

/// Sends datagrams to other instances.
struct DatagramSender {
    crash_history: watch::Receiver<crash_history::LocalHistory>,
    /// Demand at this instance for each pool.
    demands: BTreeMap<Arc<str>, peers::Demand>,
    /// Ended incarnations of upstreams.
    ended: EndedAnnouncements,
    /// Engine speeds measured since the last datagram.
    engine_speeds: Vec<peers::Pace>,
    known: watch::Receiver<KnownState>,
    local_peers: LocalPeers,
    members: watch::Receiver<Members>,
    /// This instance.
    own: LocalMember,
    pacer: Pacer,
    /// Pools that are near their capacity.
    pools_at_capacity: BTreeSet<Arc<str>>,
    /// Number of the update of the list that was announced last.
    sequence: u64,
    socket: Arc<UdpSocket>,
    streams: watch::Sender<store_writer::Streams>,
}

impl DatagramSender {
    /// Sends messages until their channel is closed.
    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        while let Some(message) = messages.recv().await {
            self.update_state(&message);
            for message in self.expand(message) {
                self.send_message(message).await;
            }
        }
    }

    /// An update of the list as it is sent in each tree; any other message as it is.
    fn expand(&mut self, message: Message) -> Vec<Message> {
        let Message::RosterUpdate(update) = message else {
            return vec![message];
        };
        self.sequence += 1;
        let (root, sequence) = (upstream::id(&self.own.name), self.sequence);
        let roster = datagram::encode_roster_update(update);
        let trees = dissemination::trees(self.local_peers.addresses().len());
        let copy = |tree: &Tree| {
            let route = Route {
                root,
                sequence,
                tree: *tree,
            };
            let mut roster = roster.clone();
            (roster.root, roster.sequence) = (root, sequence);
            roster.tree = datagram::encode_tree(*tree).into();
            Message::ForwardedUpdate(Box::new(roster), route)
        };
        trees.iter().map(copy).collect()
    }

    async fn send_message(&mut self, message: Message) {
        let to = self.recipients(&message);
        if to.is_empty() {
            return;
        }
        for chunk in self.crash_chunks(&message) {
            let mut datagram = self.datagram(message.clone());
            datagram.ends = chunk;
            self.send_all(datagram, &to).await;
        }
        for chunk in self.ended_chunks(&message) {
            let datagram = peers::Datagram {
                ended: chunk,
                ..self.datagram(Message::EndsLearnt(Vec::new()))
            };
            self.send_all(datagram, &to).await;
        }
    }

    /// The ended incarnations that follow a message in datagrams of their own: those that fit into none, and for an
    /// instance that has just started all that are known.
    fn ended_chunks(&self, message: &Message) -> Vec<Vec<peers::Life>> {
        match message {
            Message::CrashHistory(_) => self.ended.chunks(),
            Message::UpstreamsEnded(ended) => {
                let chunks = ended_announcements::chunks(ended);
                chunks.into_iter().skip(1).collect()
            }
            _ => Vec::new(),
        }
    }

    /// The crashes of a message in chunks, one per datagram; a single empty chunk if it has none.
    fn crash_chunks(&self, message: &Message) -> Vec<Vec<peers::End>> {
        let chunks = match message {
            Message::CrashHistory(_) | Message::CrashHistoryRequest(_) => {
                crash_history::chunks(&self.crash_history.borrow().history)
            }
            Message::Crashes(history) => crash_history::chunks(history),
            _ => Vec::new(),
        };
        if chunks.is_empty() {
            return vec![Vec::new()];
        }
        chunks
    }

    async fn send_all(&mut self, datagram: peers::Datagram, to: &[Recipient]) {
        let local = datagram.encode_to_vec();
        let remote = self.for_remote(datagram).encode_to_vec();
        for recipient in to {
            let datagram = if recipient.is_local { &local } else { &remote };
            self.send(datagram, recipient.address).await;
            let pause = self.pacer.record(datagram.len(), Instant::now());
            if pause > Duration::ZERO {
                sleep(pause).await;
            }
        }
    }

    /// Sends a datagram. A loss is made up for by later datagrams, or costs a repeated prefill.
    async fn send(&self, datagram: &[u8], address: SocketAddr) {
        match timeout(SEND_TIMEOUT, self.socket.send_to(datagram, address)).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => debug!("sending a datagram to {address}: {error}"),
            Err(_) => debug!("sending a datagram to {address}: send buffer still full"),
        }
    }

    /// The datagram as sent to other data centres, to which traffic is expensive. In a large fleet
    /// it has demand only for pools near their capacity; for the others, each data centre
    /// extrapolates from the demand of its own instances.
    fn for_remote(&self, mut datagram: peers::Datagram) -> peers::Datagram {
        if self.members.borrow().len() >= SMALL_FLEET_MAX {
            let is_at_capacity =
                |demand: &peers::Demand| self.pools_at_capacity.contains(demand.pool.as_str());
            datagram.demands.retain(is_at_capacity);
        }
        datagram
    }

    /// Updates the state that later datagrams include.
    fn update_state(&mut self, message: &Message) {
        match message {
            Message::Demand { demand, reach } => {
                let pool = demand.pool.clone();
                if *reach == Reach::Fleet {
                    self.pools_at_capacity.insert(pool.clone());
                } else {
                    self.pools_at_capacity.remove(&pool);
                }
                self.demands.insert(pool, datagram::encode_demand(demand));
            }
            Message::EndsLearnt(ended) => self.ended.learn(ended),
            Message::UpstreamsEnded(ended) => self.ended.announce(ended, Instant::now()),
            Message::EngineSpeed(speed) if self.engine_speeds.len() < ENGINE_SPEEDS_MAX => {
                self.engine_speeds
                    .push(datagram::encode_engine_speed(speed));
            }
            Message::Stream(record, _) => {
                let record = datagram::encode_stream_record(record.clone());
                self.streams.send_modify(|streams| streams.apply(&record));
            }
            Message::Configuration
            | Message::ConfigurationPassedOn
            | Message::Confirmed(_)
            | Message::CrashHistory(_)
            | Message::CrashHistoryRequest(_)
            | Message::Crashes(_)
            | Message::EngineSpeed(_)
            | Message::FindStream(_)
            | Message::ForwardedUpdate(..)
            | Message::RateLimit { .. }
            | Message::RosterUpdate(_)
            | Message::StreamRecords(..)
            | Message::UpstreamBrokeOff(_)
            | Message::UpstreamLeaving(_)
            | Message::UpstreamLost(_) => {}
        }
    }

    /// The instances to which a message is sent; as few as possible in other data centres, since
    /// traffic between them is expensive.
    fn recipients(&mut self, message: &Message) -> Vec<Recipient> {
        match message {
            Message::ConfigurationPassedOn => return self.local_peers.behind(false),
            Message::Configuration if self.local_peers.are_many() => {
                return self.local_peers.behind(true);
            }
            Message::ForwardedUpdate(_, route) => return self.local_peers.children(*route),
            _ => {}
        }
        let members = self.members.borrow();
        let recipient = |member: &Member| Recipient {
            address: member.address,
            is_local: member.data_centre == self.own.data_centre,
        };
        let all = members.values().map(recipient);
        match message {
            Message::Configuration
            | Message::Demand {
                reach: Reach::DataCentre | Reach::Fleet,
                ..
            } => all.filter(|recipient| recipient.is_local).collect(),
            Message::Confirmed(_) => {
                let watchers = self.own.watchers(&members);
                let watchers = watchers.into_iter().filter_map(|name| members.get(name));
                watchers.map(recipient).collect()
            }
            Message::CrashHistory(address)
            | Message::CrashHistoryRequest(address)
            | Message::StreamRecords(address, _) => {
                let is_local = false;
                let address = *address;
                vec![Recipient { address, is_local }]
            }
            Message::Demand {
                reach: Reach::Carried,
                ..
            }
            | Message::ConfigurationPassedOn
            | Message::EndsLearnt(_)
            | Message::EngineSpeed(_)
            | Message::ForwardedUpdate(..)
            | Message::RosterUpdate(_) => Vec::new(),
            // In a large fleet, instances infer the end of a prefill from its duration.
            Message::FindStream(_) if members.len() < SMALL_FLEET_MAX => all.collect(),
            Message::FindStream(Lookup { prompt, .. }) => {
                let keepers = self.own.record_keepers(*prompt, &members);
                keepers.into_iter().map(recipient).collect()
            }
            Message::Stream(record, _)
                if record.stage == Stage::Streaming && members.len() >= SMALL_FLEET_MAX =>
            {
                Vec::new()
            }
            Message::Stream(record, Audience::Holders) => {
                let keepers = self.own.record_keepers(record.prompt, &members);
                keepers.into_iter().map(recipient).collect()
            }
            Message::Crashes(_)
            | Message::RateLimit { .. }
            | Message::Stream(_, Audience::All)
            | Message::UpstreamBrokeOff(_)
            | Message::UpstreamLeaving(_)
            | Message::UpstreamLost(_)
            | Message::UpstreamsEnded(_) => all.collect(),
        }
    }

    /// The datagram for a message, with all that every datagram includes, but without crashes.
    fn datagram(&mut self, message: Message) -> peers::Datagram {
        let known = *self.known.borrow();
        let mut datagram = peers::Datagram {
            account: self.crash_history.borrow().digest,
            asks: matches!(message, Message::CrashHistoryRequest(_)),
            configuration: known.configuration,
            demands: self.demands.values().cloned().collect(),
            list: known.list.revision,
            list_era: known.list.era,
            paces: std::mem::take(&mut self.engine_speeds),
            ..peers::Datagram::default()
        };
        if message.goes_to_all() {
            datagram.ended = self.ended.repeat(Instant::now());
        }
        match message {
            Message::Configuration
            | Message::ConfigurationPassedOn
            | Message::CrashHistory(_)
            | Message::CrashHistoryRequest(_)
            | Message::Crashes(_)
            | Message::Demand { .. }
            | Message::EndsLearnt(_)
            | Message::EngineSpeed(_)
            | Message::RosterUpdate(_) => {}
            Message::Confirmed(confirmed) => {
                datagram.confirmed = Some(datagram::encode_confirmed(confirmed));
            }
            Message::RateLimit { incarnation, rate } => datagram.limits.push(peers::Limit {
                life: Some(datagram::encode_incarnation(incarnation)),
                rate: rate.map(|rate| rate.0),
            }),
            Message::ForwardedUpdate(roster, _) => datagram.roster = Some(*roster),
            Message::FindStream(Lookup {
                origin: Some(origin),
                ..
            }) => datagram.wanted_origins.push(origin.0),
            Message::FindStream(Lookup { prompt, .. }) => datagram.wanted.push(prompt),
            Message::Stream(record, _) => {
                datagram
                    .sightings
                    .push(datagram::encode_stream_record(record));
            }
            Message::StreamRecords(_, records) => datagram.sightings = records,
            Message::UpstreamBrokeOff(incarnation) => {
                let life = datagram::encode_incarnation(incarnation);
                // Instances of the previous version read only this field.
                datagram.lost.push(life);
                datagram.broke_off.push(life);
            }
            Message::UpstreamLeaving(incarnation) => {
                datagram
                    .leaving
                    .push(datagram::encode_incarnation(incarnation));
            }
            Message::UpstreamLost(incarnation) => {
                datagram
                    .lost
                    .push(datagram::encode_incarnation(incarnation));
            }
            Message::UpstreamsEnded(ended) => {
                let mut chunks = ended_announcements::chunks(&ended).into_iter();
                let chunk = chunks.next().unwrap_or_default();
                // Instances of the previous version read only this field.
                datagram.lost = chunk.clone();
                datagram.ended = chunk;
            }
        }
        datagram
    }
}
