//! What instances on the users' platform tell each other by datagrams: the streams that they relay, the
//! upstreams that they lose, changes of the list of upstreams, and how new their configuration is.

use super::*;
use members::{FEW, Member, Members, Own};
use tokio::net::UdpSocket;
use wellplank_core::{
    demand::{Demand, FinishedCall},
    estimates::EngineSpeed,
    informer_io::{Confirmed, KnownState, PeerReport, Topic},
    limit::Rate,
    quarantine::CrashHistory,
    roster::{self, Entry, RosterUpdate},
};

/// Bytes of a datagram that are taken in.
const DATAGRAM_BYTES_MAX: usize = 2_048;

/// Time that a datagram waits for room on its way out; many changes are told to many at once.
const SEND_TIMEOUT: Duration = Duration::from_millis(100);

/// Bytes told at once after which the link is given time to carry them; what it has no room for is lost.
/// Of three datagrams to 28 others on a link of 10 Mbit/s the third was, with 70 KB before it.
const BURST_BYTES: usize = 16 << 10;

/// Seconds for which calls are told, so that a few of them are whole numbers.
const RATE_SCALE: f64 = 10.0;

/// Microseconds in a millisecond.
const MICROS_PER_MS: f64 = 1_000.0;

/// Paces told at once, at most; more of one moment say the same.
const ENGINE_SPEEDS_MAX: usize = 2;

/// Share of the link that such datagrams may take, beside callers' answers.
const LINK_SHARE: f64 = 0.7;

/// What other instances are told.
#[derive(Clone, Debug)]
pub(crate) enum Message {
    /// All unplanned ends of upstreams that are known, told to one that asked.
    CrashHistory(SocketAddr),
    /// The question for all unplanned ends that another instance knows.
    CrashHistoryRequest(SocketAddr),
    /// Another configuration is in force here; told within the data centre.
    Configuration,
    /// What the store has just shown; told to those that watch it for themselves.
    Confirmed(Confirmed),
    /// What the instance is asked of a pool; it goes along with what else is told. Where `pressed`, it is told
    /// within the data centre also alone.
    Demand {
        /// What it is asked.
        demand: Demand,
        /// Whether the pool is near what it can serve.
        is_at_capacity: bool,
    },
    /// Unplanned ends of upstreams.
    Crashes(CrashHistory),
    /// An upstream says that it is leaving.
    UpstreamLeaving(Incarnation),
    /// An upstream named a limit, or names none any more.
    RateLimit {
        /// The upstream.
        incarnation: Incarnation,
        /// What it takes from all instances together.
        rate: Option<Rate>,
    },
    /// An upstream is lost.
    UpstreamLost(Incarnation),
    /// How fast the engines of a pool work; it goes along with what is told next.
    EngineSpeed(EngineSpeed),
    /// Changes of the list of upstreams; told within the data centre.
    RosterUpdate(RosterUpdate),
    /// A stream is relayed.
    Stream(Sighting),
}

/// What the tasks need.
pub(crate) struct Gossip {
    /// The unplanned ends of upstreams that this instance knows.
    pub crash_history: watch::Receiver<crash_history::LocalHistory>,
    /// Client of the store.
    pub client: feed::Client,
    /// The core task.
    pub driver: Driver,
    /// What others let this instance know.
    pub peer_reports: mpsc::UnboundedSender<PeerReport>,
    /// Requests to be refused also after all instances were lost.
    pub kept: mpsc::UnboundedReceiver<keeper::Kept>,
    /// What this instance knows.
    pub known: watch::Receiver<KnownState>,
    /// What the instance's link carries, in megabits a second.
    pub link_mbps: f64,
    /// Where datagrams come.
    pub listen: SocketAddr,
    /// This instance.
    pub own: Own,
}

impl Gossip {
    /// Starts the tasks; `told` is what others are told.
    pub async fn start(
        self,
        outgoing: mpsc::UnboundedSender<Message>,
        messages: mpsc::UnboundedReceiver<Message>,
    ) -> Result<watch::Receiver<Members>, Error> {
        let socket = UdpSocket::bind(self.listen)
            .await
            .map_err(|error| Error::Bind(self.listen, error))?;
        let socket = Arc::new(socket);
        let (found, members) = watch::channel(Members::new());
        let (streams, kept) = watch::channel(keeper::Streams::default());
        let receiver = DatagramReceiver {
            crash_history: self.crash_history.clone(),
            anti_entropy: crash_history::AntiEntropy::default(),
            driver: self.driver.clone(),
            peer_reports: self.peer_reports,
            newest: KnownState::default(),
            socket: socket.clone(),
            streams: streams.clone(),
            outgoing,
        };
        tokio::spawn(receiver.run());
        let find = members::find(self.client.clone(), self.own.name.clone(), found);
        tokio::spawn(find);
        let sender = DatagramSender {
            crash_history: self.crash_history,
            demands: BTreeMap::new(),
            known: self.known,
            link_mbps: self.link_mbps,
            members: members.clone(),
            own: self.own.clone(),
            engine_speeds: Vec::new(),
            pools_at_capacity: BTreeSet::new(),
            socket,
            streams,
        };
        tokio::spawn(sender.run(messages));
        let keeper = keeper::Keeper {
            client: self.client,
            driver: self.driver,
            kept: self.kept,
            listen: self.listen,
            members: members.clone(),
            own: self.own,
            quarantined: BTreeMap::new(),
            streams: kept,
        };
        tokio::spawn(keeper.run());
        Ok(members)
    }
}

/// Hands on what other instances tell.
struct DatagramReceiver {
    crash_history: watch::Receiver<crash_history::LocalHistory>,
    anti_entropy: crash_history::AntiEntropy,
    driver: Driver,
    peer_reports: mpsc::UnboundedSender<PeerReport>,
    /// The most that others let this instance know.
    newest: KnownState,
    socket: Arc<UdpSocket>,
    streams: watch::Sender<keeper::Streams>,
    /// What other instances are to be told.
    outgoing: mpsc::UnboundedSender<Message>,
}

impl DatagramReceiver {
    /// Serves for ever.
    async fn run(mut self) {
        let mut datagram = vec![0; DATAGRAM_BYTES_MAX];
        loop {
            match self.socket.recv_from(&mut datagram).await {
                Ok((length, from)) => self.handle(&datagram[..length], from),
                // An earlier datagram may have met a closed port.
                Err(error) => debug!("datagram: {error}"),
            }
        }
    }

    fn handle(&mut self, bytes: &[u8], from: SocketAddr) {
        let datagram = match peers::Datagram::decode(bytes) {
            Ok(datagram) => datagram,
            Err(error) => {
                warn!("a datagram can not be read: {error}");
                return;
            }
        };
        if !datagram.sightings.is_empty() {
            self.streams.send_modify(|streams| {
                for sighting in &datagram.sightings {
                    streams.take(sighting);
                }
            });
            report_streams(datagram.sightings, &self.driver);
        }
        self.merge_crashes(datagram.ends, datagram.account, datagram.asks, from);
        for incarnation in datagram.lost {
            self.driver
                .event(Event::PeerLoss(decode_incarnation(incarnation)));
        }
        for incarnation in datagram.leaving {
            self.driver
                .event(Event::PeerLeaving(decode_incarnation(incarnation)));
        }
        for limit in datagram.limits {
            let incarnation = decode_incarnation(limit.life.unwrap_or_default());
            let rate = limit.rate.map(Rate);
            self.driver.event(Event::PeerLimit {
                life: incarnation,
                rate,
            });
        }
        for demand in datagram.demands {
            let demand = decode_demand(demand);
            self.driver.event(Event::PeerDemand { demand, from });
        }
        for speed in datagram.paces {
            self.driver
                .event(Event::PeerPace(decode_engine_speed(speed)));
        }
        let update = datagram.roster.map(decode_roster_update);
        let confirmed = datagram.confirmed.map(decode_confirmed);
        let newest = &mut self.newest;
        let has_no_payload = update.is_none() && confirmed.is_none();
        let list = Position::new(datagram.list_era, datagram.list);
        if has_no_payload && datagram.configuration <= newest.configuration && list <= newest.list {
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
        // The task that learns ends only with the instance.
        let _ = self.peer_reports.send(report);
    }
}

impl DatagramReceiver {
    /// Takes in unplanned ends that another instance told, and finds out whether it knows others: a datagram may have been lost,
    /// or one of the two was cut off or started anew.
    fn merge_crashes(
        &mut self,
        crashes: Vec<peers::End>,
        digest: u64,
        is_request: bool,
        from: SocketAddr,
    ) {
        if !crashes.is_empty() {
            let history = crash_history::decode(crashes);
            self.driver.event(Event::CrashReported(history.into()));
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
            // The task that tells ends only with the instance.
            let _ = self.outgoing.send(message);
        }
    }
}

/// Tells the core of streams that other instances relay.
pub(crate) fn report_streams(sightings: Vec<peers::Sighting>, driver: &Driver) {
    for sighting in sightings {
        driver.event(Event::PeerStream(decode_sighting(sighting)));
    }
}

/// Another instance that is told something.
#[derive(Clone, Copy, Debug)]
struct Recipient {
    address: SocketAddr,
    /// Whether it stands in the same data centre.
    is_local: bool,
}

/// Tells other instances what this one knows.
struct DatagramSender {
    crash_history: watch::Receiver<crash_history::LocalHistory>,
    /// What this instance is asked of each pool.
    demands: BTreeMap<Arc<str>, peers::Demand>,
    known: watch::Receiver<KnownState>,
    link_mbps: f64,
    members: watch::Receiver<Members>,
    /// This instance.
    own: Own,
    /// What streams showed of engines since the last datagram.
    engine_speeds: Vec<peers::Pace>,
    /// Pools that are near what they can serve.
    pools_at_capacity: BTreeSet<Arc<str>>,
    socket: Arc<UdpSocket>,
    streams: watch::Sender<keeper::Streams>,
}

impl DatagramSender {
    /// Serves for ever.
    async fn run(mut self, mut messages: mpsc::UnboundedReceiver<Message>) {
        while let Some(message) = messages.recv().await {
            self.record(&message);
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

    /// The unplanned ends that are told, in the chunks in which they are; one empty piece where none are.
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

    /// Sends a datagram. What is lost is told by later ones, or costs a prompt read again.
    async fn send(&self, datagram: &[u8], address: SocketAddr) {
        match timeout(SEND_TIMEOUT, self.socket.send_to(datagram, address)).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => debug!("datagram to {address}: {error}"),
            Err(_) => debug!("datagram to {address}: the link is full"),
        }
    }

    /// The same datagram for another data centre, where bytes are dear: with demands only of pools that are near
    /// what they can serve. Below that what those of the own data centre tell stands for all.
    fn for_remote(&self, mut datagram: peers::Datagram) -> peers::Datagram {
        if self.members.borrow().len() >= FEW {
            let is_at_capacity =
                |demand: &peers::Demand| self.pools_at_capacity.contains(demand.pool.as_str());
            datagram.demands.retain(is_at_capacity);
        }
        datagram
    }

    /// Keeps what goes along with the next datagrams.
    fn record(&mut self, message: &Message) {
        match message {
            Message::Demand {
                demand,
                is_at_capacity,
            } => {
                let pool = demand.pool.clone();
                if *is_at_capacity {
                    self.pools_at_capacity.insert(pool.clone());
                } else {
                    self.pools_at_capacity.remove(&pool);
                }
                self.demands.insert(pool, encode_demand(demand));
            }
            Message::EngineSpeed(speed) if self.engine_speeds.len() < ENGINE_SPEEDS_MAX => {
                self.engine_speeds.push(encode_engine_speed(speed))
            }
            Message::Stream(sighting) => {
                let sighting = encode_sighting(sighting.clone());
                self.streams.send_modify(|streams| streams.take(&sighting));
            }
            Message::CrashHistory(_)
            | Message::CrashHistoryRequest(_)
            | Message::Configuration
            | Message::Confirmed(_)
            | Message::Crashes(_)
            | Message::UpstreamLeaving(_)
            | Message::RateLimit { .. }
            | Message::UpstreamLost(_)
            | Message::EngineSpeed(_)
            | Message::RosterUpdate(_) => {}
        }
    }

    /// Time that the share of the link that datagrams may take needs for some bytes.
    fn transmission_time(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 * 8.0 / (self.link_mbps * 1e6 * LINK_SHARE))
    }

    /// Who is told. Bytes between data centres are dear.
    fn recipients(&self, message: &Message) -> Vec<Recipient> {
        let members = self.members.borrow();
        let recipient = |member: &Member| Recipient {
            address: member.address,
            is_local: member.data_centre == self.own.data_centre,
        };
        let all = members.values().map(recipient);
        match message {
            Message::CrashHistory(address) | Message::CrashHistoryRequest(address) => {
                let is_local = false;
                let address = *address;
                vec![Recipient { address, is_local }]
            }
            Message::Confirmed(_) => {
                let watchers = self.own.watchers(&members);
                let watchers = watchers.into_iter().filter_map(|name| members.get(name));
                watchers.map(recipient).collect()
            }
            Message::Demand {
                is_at_capacity: false,
                ..
            }
            | Message::EngineSpeed(_) => Vec::new(),
            Message::Configuration | Message::Demand { .. } | Message::RosterUpdate(_) => {
                all.filter(|recipient| recipient.is_local).collect()
            }
            // That a prompt is read others believe by its age.
            Message::Stream(sighting)
                if sighting.stage == Stage::Streaming && members.len() >= FEW =>
            {
                Vec::new()
            }
            Message::Crashes(_)
            | Message::UpstreamLeaving(_)
            | Message::RateLimit { .. }
            | Message::UpstreamLost(_)
            | Message::Stream(_) => all.collect(),
        }
    }

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
            Message::CrashHistory(_)
            | Message::CrashHistoryRequest(_)
            | Message::Configuration
            | Message::Demand { .. }
            | Message::Crashes(_)
            | Message::EngineSpeed(_) => {}
            Message::Confirmed(confirmed) => {
                datagram.confirmed = Some(encode_confirmed(confirmed));
            }
            Message::UpstreamLeaving(incarnation) => {
                datagram.leaving.push(encode_incarnation(incarnation));
            }
            Message::RateLimit { incarnation, rate } => datagram.limits.push(peers::Limit {
                life: Some(encode_incarnation(incarnation)),
                rate: rate.map(|rate| rate.0),
            }),
            Message::UpstreamLost(incarnation) => {
                datagram.lost.push(encode_incarnation(incarnation));
            }
            Message::RosterUpdate(update) => {
                datagram.roster = Some(encode_roster_update(update));
            }
            Message::Stream(sighting) => datagram.sightings.push(encode_sighting(sighting)),
        }
        datagram
    }
}

/// What the store has just shown another instance.
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

/// Changes of the list as another instance tells them.
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
            since: Position::new(era, entry.since),
            slots: entry.slots,
            version: entry.version,
        }),
        Err(error) => {
            warn!("{name}: `{}` is no address: {error}", entry.address);
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

/// A change as other instances are told it.
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
            since: listed.since.revision,
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

/// A life as another instance names it.
pub(crate) fn decode_incarnation(incarnation: peers::Life) -> Incarnation {
    let peers::Life { born, id } = incarnation;
    Incarnation { id, born }
}

pub(crate) fn encode_incarnation(incarnation: Incarnation) -> peers::Life {
    let Incarnation { id, born } = incarnation;
    peers::Life { born, id }
}

/// What another instance is asked of a pool.
fn decode_demand(demand: peers::Demand) -> Demand {
    Demand {
        arrival_rate: f64::from(demand.asked) / RATE_SCALE,
        last_call: demand.last.map(|last| FinishedCall {
            duration_ms: last.millis,
            upstream: last.upstream,
        }),
        pool: demand.pool.into(),
        retry_rate: f64::from(demand.returned) / RATE_SCALE,
        running: demand.running,
        service_time_ms: f64::from(demand.takes_ms),
    }
}

fn encode_demand(demand: &Demand) -> peers::Demand {
    peers::Demand {
        asked: (demand.arrival_rate * RATE_SCALE).round() as u32,
        last: demand.last_call.map(|last| peers::Ended {
            millis: last.duration_ms,
            upstream: last.upstream,
        }),
        pool: demand.pool.to_string(),
        returned: (demand.retry_rate * RATE_SCALE).round() as u32,
        running: demand.running,
        takes_ms: demand.service_time_ms.ceil() as u32,
    }
}

/// How fast another instance saw engines work.
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

fn decode_sighting(sighting: peers::Sighting) -> Sighting {
    let stage = match sighting.stage() {
        peers::Stage::Ended => Stage::Ended,
        peers::Stage::Left => Stage::Left,
        peers::Stage::Started => Stage::Started,
        peers::Stage::Streaming => Stage::Streaming,
        peers::Stage::Waiting => Stage::Waiting,
    };
    Sighting {
        backup: sighting.backup.map(decode_incarnation),
        pool: sighting.pool,
        prompt: sighting.prompt,
        run: sighting.run,
        stage,
        tokens: sighting.tokens,
        upstream: sighting.upstream.map(decode_incarnation),
    }
}

/// A sighting as others are told it. Of a stream that is whole they need to know its prompt only.
fn encode_sighting(sighting: Sighting) -> peers::Sighting {
    if sighting.stage == Stage::Ended {
        return peers::Sighting {
            prompt: sighting.prompt,
            ..peers::Sighting::default()
        };
    }
    let stage = match sighting.stage {
        Stage::Ended => peers::Stage::Ended,
        Stage::Left => peers::Stage::Left,
        Stage::Started => peers::Stage::Started,
        Stage::Streaming => peers::Stage::Streaming,
        Stage::Waiting => peers::Stage::Waiting,
    };
    peers::Sighting {
        backup: sighting.backup.map(encode_incarnation),
        pool: sighting.pool,
        prompt: sighting.prompt,
        run: sighting.run,
        stage: stage.into(),
        tokens: sighting.tokens,
        upstream: sighting.upstream.map(encode_incarnation),
    }
}
