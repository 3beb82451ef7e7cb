//! Gossip between the instances on the users' platform, by datagrams that are not acknowledged: the
//! streams that instances relay, lost and leaving upstreams, crashes, demand, changes of the list of
//! upstreams, and the revisions that each instance knows.

use super::*;
use members::{LocalMember, Member, Members, SMALL_FLEET_MAX};
use tokio::net::UdpSocket;
use wellplank_core::{
    demand::{Demand, FinishedCall},
    estimates::EngineSpeed,
    informer_io::{Confirmed, KnownState, PeerReport, Topic},
    limit::Rate,
    quarantine::CrashHistory,
    roster::{self, Entry, RosterUpdate},
};

/// Size of the receive buffer, in bytes; the rest of a longer datagram is cut off.
const DATAGRAM_BYTES_MAX: usize = 2_048;

/// Time that sending waits for space in the socket's buffer: many messages may be due to many
/// instances at once.
const SEND_TIMEOUT: Duration = Duration::from_millis(100);

/// Bytes sent at once, beyond which sending pauses until the link has carried them; the link drops
/// what it cannot queue. Of three datagrams to 28 instances on a 10 Mbit/s link, the third was
/// dropped, behind 70 KB.
const BURST_BYTES: usize = 16 << 10;

/// Period in seconds over which datagrams state call rates, so that low rates are whole numbers.
const RATE_PERIOD_S: f64 = 10.0;

/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1_000.0;

/// Maximum number of engine speeds per datagram; more samples of one moment would be alike.
const ENGINE_SPEEDS_MAX: usize = 2;

/// Share of the link's rate at which datagrams are sent; the rest is for responses to callers.
const LINK_SHARE: f64 = 0.7;

/// A message to other instances.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    /// Another configuration is in force here. Sent within the data centre.
    Configuration,
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
        /// Whether the pool is near its capacity.
        urgent: bool,
    },
    /// How fast the engines of a pool work. Included in the next datagram.
    EngineSpeed(EngineSpeed),
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
    Stream(StreamRecord),
    /// An upstream announced that it is leaving.
    UpstreamLeaving(Incarnation),
    /// An upstream is lost.
    UpstreamLost(Incarnation),
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
    /// Address on which datagrams are received.
    pub listen: SocketAddr,
    /// This instance.
    pub own: LocalMember,
    /// Channel for what other instances report of the store.
    pub peer_reports: mpsc::UnboundedSender<PeerReport>,
}

impl Gossip {
    /// Starts the tasks. They send the `messages`; `outgoing` is the other end of that channel, for
    /// replies to datagrams.
    pub async fn start(
        self,
        outgoing: mpsc::UnboundedSender<Message>,
        messages: mpsc::UnboundedReceiver<Message>,
    ) -> Result<watch::Receiver<Members>, Error> {
        let socket = UdpSocket::bind(self.listen)
            .await
            .map_err(|error| Error::Bind(self.listen, error))?;
        let socket = Arc::new(socket);
        let (members_sender, members) = watch::channel(Members::new());
        let (streams, known_streams) = watch::channel(store_writer::Streams::default());
        let receiver = DatagramReceiver {
            anti_entropy: crash_history::AntiEntropy::default(),
            crash_history: self.crash_history.clone(),
            driver: self.driver.clone(),
            newest: KnownState::default(),
            outgoing,
            peer_reports: self.peer_reports,
            socket: socket.clone(),
            streams: streams.clone(),
        };
        tokio::spawn(receiver.run());
        let discovery =
            members::discover(self.client.clone(), self.own.name.clone(), members_sender);
        tokio::spawn(discovery);
        let sender = DatagramSender {
            crash_history: self.crash_history,
            demands: BTreeMap::new(),
            engine_speeds: Vec::new(),
            known: self.known,
            link_mbps: self.link_mbps,
            members: members.clone(),
            own: self.own.clone(),
            pools_at_capacity: BTreeSet::new(),
            socket,
            streams,
        };
        tokio::spawn(sender.run(messages));
        let writer = store_writer::StoreWriter {
            client: self.client,
            driver: self.driver,
            listen: self.listen,
            members: members.clone(),
            own: self.own,
            quarantine_updates: self.kept,
            quarantined: BTreeMap::new(),
            streams: known_streams,
        };
        tokio::spawn(writer.run());
        Ok(members)
    }
}

/// Receives datagrams from other instances and passes on their content.
struct DatagramReceiver {
    anti_entropy: crash_history::AntiEntropy,
    crash_history: watch::Receiver<crash_history::LocalHistory>,
    driver: Driver,
    /// The newest revisions that other instances have reported.
    newest: KnownState,
    /// Messages to send to other instances.
    outgoing: mpsc::UnboundedSender<Message>,
    peer_reports: mpsc::UnboundedSender<PeerReport>,
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
                return;
            }
        };
        if !datagram.sightings.is_empty() {
            self.streams.send_modify(|streams| {
                for record in &datagram.sightings {
                    streams.apply(record);
                }
            });
            report_streams(datagram.sightings, &self.driver);
        }
        self.merge_crashes(datagram.ends, datagram.account, datagram.asks, from);
        for incarnation in datagram.lost {
            self.driver
                .send_event(Event::PeerLoss(decode_incarnation(incarnation)));
        }
        for incarnation in datagram.leaving {
            self.driver
                .send_event(Event::PeerLeaving(decode_incarnation(incarnation)));
        }
        for limit in datagram.limits {
            let incarnation = decode_incarnation(limit.life.unwrap_or_default());
            let rate = limit.rate.map(Rate);
            self.driver
                .send_event(Event::PeerLimit { incarnation, rate });
        }
        for demand in datagram.demands {
            let demand = decode_demand(demand);
            self.driver.send_event(Event::PeerDemand { demand, from });
        }
        for speed in datagram.paces {
            self.driver
                .send_event(Event::PeerSpeed(decode_engine_speed(speed)));
        }
        let update = datagram.roster.map(decode_roster_update);
        let confirmed = datagram.confirmed.map(decode_confirmed);
        let newest = &mut self.newest;
        let has_revisions_only = update.is_none() && confirmed.is_none();
        let list = Position::new(datagram.list_era, datagram.list);
        if has_revisions_only
            && datagram.configuration <= newest.configuration
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
        let _ = self.peer_reports.send(report);
    }
}

impl DatagramReceiver {
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

/// Reports to the core the streams that other instances relay.
pub(crate) fn report_streams(records: Vec<peers::Sighting>, driver: &Driver) {
    for record in records {
        driver.send_event(Event::PeerStream(decode_stream_record(record)));
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
    /// Engine speeds measured since the last datagram.
    engine_speeds: Vec<peers::Pace>,
    known: watch::Receiver<KnownState>,
    link_mbps: f64,
    members: watch::Receiver<Members>,
    /// This instance.
    own: LocalMember,
    /// Pools that are near their capacity.
    pools_at_capacity: BTreeSet<Arc<str>>,
    socket: Arc<UdpSocket>,
    streams: watch::Sender<store_writer::Streams>,
}

impl DatagramSender {
    /// Sends messages until their channel is closed.
    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        while let Some(message) = messages.recv().await {
            self.update_state(&message);
            let to = self.recipients(&message);
            if to.is_empty() {
                continue;
            }
            for chunk in self.crash_chunks(&message) {
                let mut datagram = self.datagram(message.clone());
                datagram.ends = chunk;
                self.send_all(datagram, &to).await;
            }
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

    async fn send_all(&self, datagram: peers::Datagram, to: &[Recipient]) {
        let local = datagram.encode_to_vec();
        let remote = self.for_remote(datagram).encode_to_vec();
        let mut bytes = 0;
        for recipient in to {
            let datagram = if recipient.is_local { &local } else { &remote };
            bytes += datagram.len();
            self.send(datagram, recipient.address).await;
        }
        if bytes > BURST_BYTES {
            sleep(self.transmission_time(bytes)).await;
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
            Message::Demand { demand, urgent } => {
                let pool = demand.pool.clone();
                if *urgent {
                    self.pools_at_capacity.insert(pool.clone());
                } else {
                    self.pools_at_capacity.remove(&pool);
                }
                self.demands.insert(pool, encode_demand(demand));
            }
            Message::EngineSpeed(speed) if self.engine_speeds.len() < ENGINE_SPEEDS_MAX => {
                self.engine_speeds.push(encode_engine_speed(speed));
            }
            Message::Stream(record) => {
                let record = encode_stream_record(record.clone());
                self.streams.send_modify(|streams| streams.apply(&record));
            }
            Message::Configuration
            | Message::Confirmed(_)
            | Message::CrashHistory(_)
            | Message::CrashHistoryRequest(_)
            | Message::Crashes(_)
            | Message::EngineSpeed(_)
            | Message::RateLimit { .. }
            | Message::RosterUpdate(_)
            | Message::UpstreamLeaving(_)
            | Message::UpstreamLost(_) => {}
        }
    }

    /// Time that the link needs for some bytes at the rate allowed for datagrams.
    fn transmission_time(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 * 8.0 / (self.link_mbps * 1e6 * LINK_SHARE))
    }

    /// The instances to which a message is sent; as few as possible in other data centres, since
    /// traffic between them is expensive.
    fn recipients(&self, message: &Message) -> Vec<Recipient> {
        let members = self.members.borrow();
        let recipient = |member: &Member| Recipient {
            address: member.address,
            is_local: member.data_centre == self.own.data_centre,
        };
        let all = members.values().map(recipient);
        match message {
            Message::Configuration
            | Message::Demand { urgent: true, .. }
            | Message::RosterUpdate(_) => all.filter(|recipient| recipient.is_local).collect(),
            Message::Confirmed(_) => {
                let watchers = self.own.watchers(&members);
                let watchers = watchers.into_iter().filter_map(|name| members.get(name));
                watchers.map(recipient).collect()
            }
            Message::CrashHistory(address) | Message::CrashHistoryRequest(address) => {
                let is_local = false;
                let address = *address;
                vec![Recipient { address, is_local }]
            }
            Message::Demand { urgent: false, .. } | Message::EngineSpeed(_) => Vec::new(),
            // In a large fleet, instances infer the end of a prefill from its duration.
            Message::Stream(record)
                if record.stage == Stage::Streaming && members.len() >= SMALL_FLEET_MAX =>
            {
                Vec::new()
            }
            Message::Crashes(_)
            | Message::RateLimit { .. }
            | Message::Stream(_)
            | Message::UpstreamLeaving(_)
            | Message::UpstreamLost(_) => all.collect(),
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
        match message {
            Message::Configuration
            | Message::CrashHistory(_)
            | Message::CrashHistoryRequest(_)
            | Message::Crashes(_)
            | Message::Demand { .. }
            | Message::EngineSpeed(_) => {}
            Message::Confirmed(confirmed) => {
                datagram.confirmed = Some(encode_confirmed(confirmed));
            }
            Message::RateLimit { incarnation, rate } => datagram.limits.push(peers::Limit {
                life: Some(encode_incarnation(incarnation)),
                rate: rate.map(|rate| rate.0),
            }),
            Message::RosterUpdate(update) => {
                datagram.roster = Some(encode_roster_update(update));
            }
            Message::Stream(record) => datagram.sightings.push(encode_stream_record(record)),
            Message::UpstreamLeaving(incarnation) => {
                datagram.leaving.push(encode_incarnation(incarnation));
            }
            Message::UpstreamLost(incarnation) => {
                datagram.lost.push(encode_incarnation(incarnation));
            }
        }
        datagram
    }
}

fn decode_confirmed(confirmed: peers::Confirmed) -> Confirmed {
    let topic = match confirmed.topic() {
        peers::Topic::Configuration => Topic::Configuration,
        peers::Topic::Upstreams => Topic::Upstreams,
    };
    Confirmed {
        to: Position::new(confirmed.era, confirmed.to),
        topic,
    }
}

fn encode_confirmed(confirmed: Confirmed) -> peers::Confirmed {
    let topic = match confirmed.topic {
        Topic::Configuration => peers::Topic::Configuration,
        Topic::Upstreams => peers::Topic::Upstreams,
    };
    peers::Confirmed {
        era: confirmed.to.era,
        to: confirmed.to.revision,
        topic: topic.into(),
    }
}

fn decode_roster_update(roster: peers::Roster) -> RosterUpdate {
    RosterUpdate {
        outage_ms: roster.away_ms.into(),
        changes: roster
            .entries
            .into_iter()
            .map(|entry| decode_change(entry, roster.era))
            .collect(),
        from: Position::new(roster.era, roster.from),
        grace_ms: roster.returning_ms.into(),
        is_grace_extended: roster.held,
        uptime_ms: roster.steady_ms.into(),
        to: Position::new(roster.era, roster.to),
    }
}

fn decode_change(entry: peers::Entry, era: u64) -> roster::Change {
    let name = entry.name;
    let position = Position::new(era, entry.revision);
    let entry = match entry.address.parse() {
        _ if entry.gone => Entry::Deleted,
        _ if entry.odd => Entry::Invalid,
        Ok(address) => Entry::Listed(event::ListEntry {
            address,
            born: entry.born,
            data_centre: entry.data_centre,
            leaving: entry.leaving,
            name: name.clone(),
            pool: entry.pool,
            registered_at: Position::new(era, entry.since),
            slots: entry.slots,
            version: entry.version,
        }),
        Err(error) => {
            warn!(
                "upstream {name}: invalid address `{}`: {error}",
                entry.address
            );
            Entry::Invalid
        }
    };
    roster::Change {
        entry,
        name,
        position,
    }
}

fn encode_roster_update(update: RosterUpdate) -> peers::Roster {
    peers::Roster {
        away_ms: update.outage_ms as u32,
        entries: update.changes.into_iter().map(encode_change).collect(),
        era: update.to.era,
        from: update.from.revision,
        returning_ms: update.grace_ms as u32,
        held: update.is_grace_extended,
        steady_ms: update.uptime_ms as u32,
        to: update.to.revision,
    }
}

fn encode_change(change: roster::Change) -> peers::Entry {
    let (name, revision) = (change.name, change.position.revision);
    match change.entry {
        Entry::Deleted => peers::Entry {
            gone: true,
            name,
            revision,
            ..peers::Entry::default()
        },
        Entry::Listed(listed) => peers::Entry {
            address: listed.address.to_string(),
            born: listed.born,
            data_centre: listed.data_centre,
            gone: false,
            leaving: listed.leaving,
            name,
            odd: false,
            pool: listed.pool,
            revision,
            since: listed.registered_at.revision,
            slots: listed.slots,
            version: listed.version,
        },
        Entry::Invalid => peers::Entry {
            name,
            odd: true,
            revision,
            ..peers::Entry::default()
        },
    }
}

pub(crate) fn decode_incarnation(incarnation: peers::Life) -> Incarnation {
    let peers::Life { born, id } = incarnation;
    Incarnation { id, born }
}

pub(crate) fn encode_incarnation(incarnation: Incarnation) -> peers::Life {
    let Incarnation { id, born } = incarnation;
    peers::Life { born, id }
}

fn decode_demand(demand: peers::Demand) -> Demand {
    Demand {
        arrival_rate: f64::from(demand.asked) / RATE_PERIOD_S,
        last_call: demand.last.map(|last| FinishedCall {
            duration_ms: last.millis,
            upstream: last.upstream,
        }),
        pool: demand.pool.into(),
        retry_rate: f64::from(demand.returned) / RATE_PERIOD_S,
        running: demand.running,
        service_time_ms: f64::from(demand.takes_ms),
    }
}

fn encode_demand(demand: &Demand) -> peers::Demand {
    peers::Demand {
        asked: (demand.arrival_rate * RATE_PERIOD_S).round() as u32,
        last: demand.last_call.map(|last| peers::Ended {
            millis: last.duration_ms,
            upstream: last.upstream,
        }),
        pool: demand.pool.to_string(),
        returned: (demand.retry_rate * RATE_PERIOD_S).round() as u32,
        running: demand.running,
        takes_ms: demand.service_time_ms.ceil() as u32,
    }
}

fn decode_engine_speed(speed: peers::Pace) -> EngineSpeed {
    EngineSpeed {
        event_interval_ms: f64::from(speed.event_us) / MICROS_PER_MS,
        pool: speed.pool.into(),
        prefill_ms_per_token: f64::from(speed.reading_us) / MICROS_PER_MS,
    }
}

fn encode_engine_speed(speed: &EngineSpeed) -> peers::Pace {
    peers::Pace {
        event_us: (speed.event_interval_ms * MICROS_PER_MS) as u32,
        pool: speed.pool.to_string(),
        reading_us: (speed.prefill_ms_per_token * MICROS_PER_MS) as u32,
    }
}

fn decode_stream_record(record: peers::Sighting) -> StreamRecord {
    let stage = match record.stage() {
        peers::Stage::Ended => Stage::Ended,
        peers::Stage::Left => Stage::Left,
        peers::Stage::Started => Stage::Started,
        peers::Stage::Streaming => Stage::Streaming,
        peers::Stage::Waiting => Stage::Waiting,
    };
    StreamRecord {
        backup: record.backup.map(decode_incarnation),
        pool: record.pool,
        prompt: record.prompt,
        run: record.run,
        stage,
        tokens: record.tokens,
        upstream: record.upstream.map(decode_incarnation),
    }
}

/// Encodes a record of a stream; of a completed one, other instances need only the prompt's hash.
fn encode_stream_record(record: StreamRecord) -> peers::Sighting {
    if record.stage == Stage::Ended {
        return peers::Sighting {
            prompt: record.prompt,
            ..peers::Sighting::default()
        };
    }
    let stage = match record.stage {
        Stage::Ended => peers::Stage::Ended,
        Stage::Left => peers::Stage::Left,
        Stage::Started => peers::Stage::Started,
        Stage::Streaming => peers::Stage::Streaming,
        Stage::Waiting => peers::Stage::Waiting,
    };
    peers::Sighting {
        backup: record.backup.map(encode_incarnation),
        pool: record.pool,
        prompt: record.prompt,
        run: record.run,
        stage: stage.into(),
        tokens: record.tokens,
        upstream: record.upstream.map(encode_incarnation),
    }
}
