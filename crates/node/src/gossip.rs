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
const DATAGRAM: usize = 2_048;

/// Time that a datagram waits for room on its way out; many changes are told to many at once.
const SEND: Duration = Duration::from_millis(100);

/// Bytes told at once after which the link is given time to carry them; what it has no room for is lost.
/// Of three datagrams to 28 others on a link of 10 Mbit/s the third was, with 70 KB before it.
const BURST: usize = 16 << 10;

/// Seconds for which calls are told, so that a few of them are whole numbers.
const ASKED_S: f64 = 10.0;

/// Microseconds in a millisecond.
const MICROS: f64 = 1_000.0;

/// Paces told at once, at most; more of one moment say the same.
const PACES: usize = 2;

/// Share of the link that such datagrams may take, beside callers' answers.
const SHARE: f64 = 0.7;

/// What other instances are told.
#[derive(Clone, Debug)]
pub(crate) enum Told {
    /// All unplanned ends of upstreams that are known, told to one that asked.
    Account(SocketAddr),
    /// The question for all unplanned ends that another instance knows.
    Ask(SocketAddr),
    /// Another configuration is in force here; told within the data centre.
    Configuration,
    /// What the store has just shown; told to those that watch it for themselves.
    Confirmed(Confirmed),
    /// What the instance is asked of a pool; it goes along with what else is told. Where `urgent`, it is told
    /// within the data centre also alone.
    Demand {
        /// What it is asked.
        demand: Demand,
        /// Whether the pool is near what it can serve.
        urgent: bool,
    },
    /// Unplanned ends of upstreams.
    Ends(CrashHistory),
    /// An upstream says that it is leaving.
    Leaving(Incarnation),
    /// An upstream named a limit, or names none any more.
    Limit {
        /// The upstream.
        incarnation: Incarnation,
        /// What it takes from all instances together.
        rate: Option<Rate>,
    },
    /// An upstream is lost.
    Lost(Incarnation),
    /// How fast the engines of a pool work; it goes along with what is told next.
    Pace(EngineSpeed),
    /// Changes of the list of upstreams; told within the data centre.
    Roster(RosterUpdate),
    /// A stream is relayed.
    Stream(StreamRecord),
}

/// What the tasks need.
pub(crate) struct Gossip {
    /// The unplanned ends of upstreams that this instance knows.
    pub account: watch::Receiver<account::Known>,
    /// Client of the store.
    pub client: feed::Client,
    /// The core task.
    pub driver: Driver,
    /// What others let this instance know.
    pub heard: mpsc::UnboundedSender<PeerReport>,
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
        tell: mpsc::UnboundedSender<Told>,
        told: mpsc::UnboundedReceiver<Told>,
    ) -> Result<watch::Receiver<Members>, Error> {
        let socket = UdpSocket::bind(self.listen)
            .await
            .map_err(|error| Error::Bind(self.listen, error))?;
        let socket = Arc::new(socket);
        let (found, members) = watch::channel(Members::new());
        let (streams, kept) = watch::channel(keeper::Streams::default());
        let ear = Ear {
            account: self.account.clone(),
            curiosity: account::Curiosity::default(),
            driver: self.driver.clone(),
            heard: self.heard,
            most: KnownState::default(),
            socket: socket.clone(),
            streams: streams.clone(),
            tell,
        };
        tokio::spawn(ear.run());
        let find = members::find(self.client.clone(), self.own.name.clone(), found);
        tokio::spawn(find);
        let mouth = Mouth {
            account: self.account,
            demands: BTreeMap::new(),
            known: self.known,
            link_mbps: self.link_mbps,
            members: members.clone(),
            own: self.own.clone(),
            paces: Vec::new(),
            urgent: BTreeSet::new(),
            socket,
            streams,
        };
        tokio::spawn(mouth.run(told));
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
struct Ear {
    account: watch::Receiver<account::Known>,
    curiosity: account::Curiosity,
    driver: Driver,
    heard: mpsc::UnboundedSender<PeerReport>,
    /// The most that others let this instance know.
    most: KnownState,
    socket: Arc<UdpSocket>,
    streams: watch::Sender<keeper::Streams>,
    /// What other instances are to be told.
    tell: mpsc::UnboundedSender<Told>,
}

impl Ear {
    /// Serves for ever.
    async fn run(mut self) {
        let mut datagram = vec![0; DATAGRAM];
        loop {
            match self.socket.recv_from(&mut datagram).await {
                Ok((length, from)) => self.take(&datagram[..length], from),
                // An earlier datagram may have met a closed port.
                Err(error) => debug!("datagram: {error}"),
            }
        }
    }

    fn take(&mut self, datagram: &[u8], from: SocketAddr) {
        let told = match peers::Datagram::decode(datagram) {
            Ok(told) => told,
            Err(error) => {
                warn!("a datagram can not be read: {error}");
                return;
            }
        };
        if !told.sightings.is_empty() {
            self.streams.send_modify(|streams| {
                for sighting in &told.sightings {
                    streams.take(sighting);
                }
            });
            sight(told.sightings, &self.driver);
        }
        self.take_ends(told.ends, told.account, told.asks, from);
        for life in told.lost {
            self.driver.event(Event::PeerLoss(decode_life(life)));
        }
        for life in told.leaving {
            self.driver.event(Event::PeerLeaving(decode_life(life)));
        }
        for limit in told.limits {
            let life = decode_life(limit.life.unwrap_or_default());
            let rate = limit.rate.map(Rate);
            self.driver.event(Event::PeerLimit {
                incarnation: life,
                rate,
            });
        }
        for demand in told.demands {
            let demand = decode_demand(demand);
            self.driver.event(Event::PeerDemand { demand, from });
        }
        for pace in told.paces {
            self.driver.event(Event::PeerSpeed(decode_pace(pace)));
        }
        let word = told.roster.map(decode_word);
        let confirmed = told.confirmed.map(decode_confirmed);
        let most = &mut self.most;
        let bare = word.is_none() && confirmed.is_none();
        let list = Position::new(told.list_era, told.list);
        if bare && told.configuration <= most.configuration && list <= most.list {
            return;
        }
        most.configuration = most.configuration.max(told.configuration);
        most.list = most.list.max(list);
        let heard = PeerReport {
            configuration: told.configuration,
            confirmed,
            list,
            update: word,
        };
        // The task that learns ends only with the instance.
        let _ = self.heard.send(heard);
    }
}

impl Ear {
    /// Takes in unplanned ends that another instance told, and finds out whether it knows others: a datagram may have been lost,
    /// or one of the two was cut off or started anew.
    fn take_ends(&mut self, ends: Vec<peers::End>, digest: u64, asks: bool, from: SocketAddr) {
        if !ends.is_empty() {
            let account = account::decode(ends);
            self.driver.event(Event::CrashReported(account.into()));
        }
        let own = self.account.borrow().digest;
        let told = if asks {
            Some(Told::Account(from))
        } else if self.curiosity.asks(own, digest) {
            Some(Told::Ask(from))
        } else {
            None
        };
        if let Some(told) = told {
            // The task that tells ends only with the instance.
            let _ = self.tell.send(told);
        }
    }
}

/// Tells the core of streams that other instances relay.
pub(crate) fn sight(sightings: Vec<peers::Sighting>, driver: &Driver) {
    for sighting in sightings {
        driver.event(Event::PeerStream(decode(sighting)));
    }
}

/// Another instance that is told something.
#[derive(Clone, Copy, Debug)]
struct Listener {
    address: SocketAddr,
    /// Whether it stands in the same data centre.
    near: bool,
}

/// Tells other instances what this one knows.
struct Mouth {
    account: watch::Receiver<account::Known>,
    /// What this instance is asked of each pool.
    demands: BTreeMap<Arc<str>, peers::Demand>,
    known: watch::Receiver<KnownState>,
    link_mbps: f64,
    members: watch::Receiver<Members>,
    /// This instance.
    own: Own,
    /// What streams showed of engines since the last datagram.
    paces: Vec<peers::Pace>,
    /// Pools that are near what they can serve.
    urgent: BTreeSet<Arc<str>>,
    socket: Arc<UdpSocket>,
    streams: watch::Sender<keeper::Streams>,
}

impl Mouth {
    /// Serves for ever.
    async fn run(mut self, mut told: mpsc::UnboundedReceiver<Told>) {
        while let Some(told) = told.recv().await {
            self.note(&told);
            let to = self.listeners(&told);
            if to.is_empty() {
                continue;
            }
            for piece in self.pieces(&told) {
                let mut datagram = self.datagram(told.clone());
                datagram.ends = piece;
                self.send_all(datagram, &to).await;
            }
        }
    }

    /// The unplanned ends that are told, in the pieces in which they are; one empty piece where none are.
    fn pieces(&self, told: &Told) -> Vec<Vec<peers::End>> {
        let pieces = match told {
            Told::Account(_) | Told::Ask(_) => account::pieces(&self.account.borrow().account),
            Told::Ends(account) => account::pieces(account),
            _ => Vec::new(),
        };
        if pieces.is_empty() {
            return vec![Vec::new()];
        }
        pieces
    }

    async fn send_all(&self, datagram: peers::Datagram, to: &[Listener]) {
        let near = datagram.encode_to_vec();
        let far = self.shortened(datagram).encode_to_vec();
        let mut bytes = 0;
        for listener in to {
            let datagram = if listener.near { &near } else { &far };
            bytes += datagram.len();
            self.send(datagram, listener.address).await;
        }
        if bytes > BURST {
            sleep(self.drain(bytes)).await;
        }
    }

    /// Sends a datagram. What is lost is told by later ones, or costs a prompt read again.
    async fn send(&self, datagram: &[u8], address: SocketAddr) {
        match timeout(SEND, self.socket.send_to(datagram, address)).await {
            Ok(Ok(_)) => {}
            Ok(Err(error)) => debug!("datagram to {address}: {error}"),
            Err(_) => debug!("datagram to {address}: the link is full"),
        }
    }

    /// The same datagram for another data centre, where bytes are dear: with demands only of pools that are near
    /// what they can serve. Below that what those of the own data centre tell stands for all.
    fn shortened(&self, mut datagram: peers::Datagram) -> peers::Datagram {
        if self.members.borrow().len() >= FEW {
            let urgent = |demand: &peers::Demand| self.urgent.contains(demand.pool.as_str());
            datagram.demands.retain(urgent);
        }
        datagram
    }

    /// Keeps what goes along with the next datagrams.
    fn note(&mut self, told: &Told) {
        match told {
            Told::Demand { demand, urgent } => {
                let pool = demand.pool.clone();
                if *urgent {
                    self.urgent.insert(pool.clone());
                } else {
                    self.urgent.remove(&pool);
                }
                self.demands.insert(pool, encode_demand(demand));
            }
            Told::Pace(pace) if self.paces.len() < PACES => self.paces.push(encode_pace(pace)),
            Told::Stream(sighting) => {
                let sighting = encode(sighting.clone());
                self.streams.send_modify(|streams| streams.take(&sighting));
            }
            Told::Account(_)
            | Told::Ask(_)
            | Told::Configuration
            | Told::Confirmed(_)
            | Told::Ends(_)
            | Told::Leaving(_)
            | Told::Limit { .. }
            | Told::Lost(_)
            | Told::Pace(_)
            | Told::Roster(_) => {}
        }
    }

    /// Time that the share of the link that datagrams may take needs for some bytes.
    fn drain(&self, bytes: usize) -> Duration {
        Duration::from_secs_f64(bytes as f64 * 8.0 / (self.link_mbps * 1e6 * SHARE))
    }

    /// Who is told. Bytes between data centres are dear.
    fn listeners(&self, told: &Told) -> Vec<Listener> {
        let members = self.members.borrow();
        let listener = |member: &Member| Listener {
            address: member.address,
            near: member.data_centre == self.own.data_centre,
        };
        let all = members.values().map(listener);
        match told {
            Told::Account(address) | Told::Ask(address) => {
                let near = false;
                let address = *address;
                vec![Listener { address, near }]
            }
            Told::Confirmed(_) => {
                let watchers = self.own.watchers(&members);
                let watchers = watchers.into_iter().filter_map(|name| members.get(name));
                watchers.map(listener).collect()
            }
            Told::Demand { urgent: false, .. } | Told::Pace(_) => Vec::new(),
            Told::Configuration | Told::Demand { .. } | Told::Roster(_) => {
                all.filter(|listener| listener.near).collect()
            }
            // That a prompt is read others believe by its age.
            Told::Stream(sighting)
                if sighting.stage == Stage::Streaming && members.len() >= FEW =>
            {
                Vec::new()
            }
            Told::Ends(_)
            | Told::Leaving(_)
            | Told::Limit { .. }
            | Told::Lost(_)
            | Told::Stream(_) => all.collect(),
        }
    }

    fn datagram(&mut self, told: Told) -> peers::Datagram {
        let known = *self.known.borrow();
        let mut datagram = peers::Datagram {
            account: self.account.borrow().digest,
            asks: matches!(told, Told::Ask(_)),
            configuration: known.configuration,
            demands: self.demands.values().cloned().collect(),
            list: known.list.revision,
            list_era: known.list.era,
            paces: std::mem::take(&mut self.paces),
            ..peers::Datagram::default()
        };
        match told {
            Told::Account(_)
            | Told::Ask(_)
            | Told::Configuration
            | Told::Demand { .. }
            | Told::Ends(_)
            | Told::Pace(_) => {}
            Told::Confirmed(confirmed) => {
                datagram.confirmed = Some(encode_confirmed(confirmed));
            }
            Told::Leaving(life) => datagram.leaving.push(encode_life(life)),
            Told::Limit { incarnation, rate } => datagram.limits.push(peers::Limit {
                life: Some(encode_life(incarnation)),
                rate: rate.map(|rate| rate.0),
            }),
            Told::Lost(life) => datagram.lost.push(encode_life(life)),
            Told::Roster(word) => datagram.roster = Some(encode_word(word)),
            Told::Stream(sighting) => datagram.sightings.push(encode(sighting)),
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
fn decode_word(word: peers::Roster) -> RosterUpdate {
    RosterUpdate {
        outage_ms: word.away_ms.into(),
        changes: word
            .entries
            .into_iter()
            .map(|entry| decode_change(entry, word.era))
            .collect(),
        from: Position::new(word.era, word.from),
        grace_ms: word.returning_ms.into(),
        is_grace_extended: word.held,
        uptime_ms: word.steady_ms.into(),
        to: Position::new(word.era, word.to),
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

fn encode_word(word: RosterUpdate) -> peers::Roster {
    peers::Roster {
        away_ms: word.outage_ms as u32,
        entries: word.changes.into_iter().map(encode_change).collect(),
        era: word.to.era,
        from: word.from.revision,
        returning_ms: word.grace_ms as u32,
        held: word.is_grace_extended,
        steady_ms: word.uptime_ms as u32,
        to: word.to.revision,
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

/// A life as another instance names it.
pub(crate) fn decode_life(life: peers::Life) -> Incarnation {
    let peers::Life { born, id } = life;
    Incarnation { id, born }
}

pub(crate) fn encode_life(life: Incarnation) -> peers::Life {
    let Incarnation { id, born } = life;
    peers::Life { born, id }
}

/// What another instance is asked of a pool.
fn decode_demand(demand: peers::Demand) -> Demand {
    Demand {
        arrival_rate: f64::from(demand.asked) / ASKED_S,
        last_call: demand.last.map(|last| FinishedCall {
            duration_ms: last.millis,
            upstream: last.upstream,
        }),
        pool: demand.pool.into(),
        retry_rate: f64::from(demand.returned) / ASKED_S,
        running: demand.running,
        service_time_ms: f64::from(demand.takes_ms),
    }
}

fn encode_demand(demand: &Demand) -> peers::Demand {
    peers::Demand {
        asked: (demand.arrival_rate * ASKED_S).round() as u32,
        last: demand.last_call.map(|last| peers::Ended {
            millis: last.duration_ms,
            upstream: last.upstream,
        }),
        pool: demand.pool.to_string(),
        returned: (demand.retry_rate * ASKED_S).round() as u32,
        running: demand.running,
        takes_ms: demand.service_time_ms.ceil() as u32,
    }
}

/// How fast another instance saw engines work.
fn decode_pace(pace: peers::Pace) -> EngineSpeed {
    EngineSpeed {
        event_interval_ms: f64::from(pace.event_us) / MICROS,
        pool: pace.pool.into(),
        prefill_ms_per_token: f64::from(pace.reading_us) / MICROS,
    }
}

fn encode_pace(pace: &EngineSpeed) -> peers::Pace {
    peers::Pace {
        event_us: (pace.event_interval_ms * MICROS) as u32,
        pool: pace.pool.to_string(),
        reading_us: (pace.prefill_ms_per_token * MICROS) as u32,
    }
}

fn decode(sighting: peers::Sighting) -> StreamRecord {
    let stage = match sighting.stage() {
        peers::Stage::Ended => Stage::Ended,
        peers::Stage::Left => Stage::Left,
        peers::Stage::Started => Stage::Started,
        peers::Stage::Streaming => Stage::Streaming,
        peers::Stage::Waiting => Stage::Waiting,
    };
    StreamRecord {
        backup: sighting.backup.map(decode_life),
        pool: sighting.pool,
        prompt: sighting.prompt,
        run: sighting.run,
        stage,
        tokens: sighting.tokens,
        upstream: sighting.upstream.map(decode_life),
    }
}

/// A sighting as others are told it. Of a stream that is whole they need to know its prompt only.
fn encode(sighting: StreamRecord) -> peers::Sighting {
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
        backup: sighting.backup.map(encode_life),
        pool: sighting.pool,
        prompt: sighting.prompt,
        run: sighting.run,
        stage: stage.into(),
        tokens: sighting.tokens,
        upstream: sighting.upstream.map(encode_life),
    }
}
