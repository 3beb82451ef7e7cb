//! What instances on the users' platform know of each other: their addresses, which each enters in
//! the platform's store, and the streams that they relay, told by datagrams and kept in the store so
//! that they are known after all instances were lost at once.

use super::*;
use tokio::net::UdpSocket;

/// Start of the keys under which instances enter their addresses.
const ADDRESSES: &str = "wellplank/instances/";

/// Start of the keys under which instances keep the streams that they relay.
const STREAMS: &str = "wellplank/streams/";

/// Time that an instance's entries outlive it: longer than a restart takes.
const LEASE: Duration = Duration::from_secs(20);

/// Time between two renewals of the lease; several may fail.
const RENEW: Duration = Duration::from_secs(5);

/// Time between two looks at whether the streams are to be written.
const KEEP: Duration = Duration::from_millis(700);

/// Time between two writes of the streams for each instance that there is; each write is paid for,
/// and the store takes a few hundred a second from all.
const KEEP_EACH: Duration = Duration::from_millis(40);

/// Pause between two watches of addresses, in which changes gather; an address matters only after
/// its instance has begun to serve.
const GATHER: Duration = Duration::from_secs(2);

/// Time that a call may take.
const PATIENCE: Duration = Duration::from_secs(1);

/// Bytes of a datagram that are taken in.
const DATAGRAM: usize = 2_048;

/// Streams kept in the store, at most; the value stays far below the store's limit.
const KEPT: usize = 1_000;

/// What an instance knows of the store, by its revisions.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct Known {
    /// Revision of the configuration in force; `None` before there is one.
    pub configuration: Option<u64>,
    /// Revision of the last change of the list of upstreams.
    pub list: u64,
}

/// What the core tells other instances.
#[derive(Clone, Debug)]
pub(crate) enum Told {
    /// It lost an upstream.
    Lost(Arc<str>),
    /// Changes of the list of upstreams.
    Roster(peers::Roster),
    /// It relays a stream.
    Stream(Sighting),
}

/// Other instances' addresses by name.
pub(crate) type Addresses = BTreeMap<String, SocketAddr>;

/// What the tasks need.
pub(crate) struct Gossip {
    /// Client of the store.
    pub client: feed::Client,
    /// The core task.
    pub driver: Driver,
    /// The most that other instances know.
    pub heard: watch::Sender<Known>,
    /// Name of this instance.
    pub instance: String,
    /// What this instance knows.
    pub known: watch::Receiver<Known>,
    /// Where datagrams come.
    pub listen: SocketAddr,
}

impl Gossip {
    /// Starts the tasks; `told` is what the core tells.
    pub async fn start(
        self,
        told: mpsc::UnboundedReceiver<Told>,
        rosters: mpsc::UnboundedSender<peers::Roster>,
    ) -> Result<watch::Receiver<Addresses>, Error> {
        let socket = UdpSocket::bind(self.listen)
            .await
            .map_err(|error| Error::Bind(self.listen, error))?;
        let socket = Arc::new(socket);
        let (found, addresses) = watch::channel(Addresses::new());
        let (changed, streams) = watch::channel(Streams::default());
        let ear = Ear {
            driver: self.driver.clone(),
            heard: self.heard.clone(),
            rosters,
            socket: socket.clone(),
        };
        tokio::spawn(ear.run());
        tokio::spawn(find(self.client.clone(), self.instance.clone(), found));
        let mouth = Mouth {
            addresses: addresses.clone(),
            known: self.known.clone(),
            socket,
            streams: changed,
        };
        tokio::spawn(keep(self, addresses.clone(), streams));
        tokio::spawn(mouth.run(told));
        Ok(addresses)
    }
}

/// Streams that this instance relays, by the identity of their prompt.
#[derive(Clone, Debug, Default)]
struct Streams(BTreeMap<u64, peers::Sighting>);

impl Streams {
    fn encode(&self) -> Vec<u8> {
        let sightings = self.0.values().take(KEPT).cloned().collect();
        peers::Sightings { sightings }.encode_to_vec()
    }

    fn take(&mut self, sighting: &peers::Sighting) {
        match sighting.stage() {
            peers::Stage::Ended | peers::Stage::Left => {
                self.0.remove(&sighting.prompt);
            }
            peers::Stage::Started | peers::Stage::Streaming => {
                self.0.insert(sighting.prompt, sighting.clone());
            }
        }
    }
}

/// Hands on what other instances tell.
struct Ear {
    driver: Driver,
    heard: watch::Sender<Known>,
    rosters: mpsc::UnboundedSender<peers::Roster>,
    socket: Arc<UdpSocket>,
}

impl Ear {
    /// Serves for ever.
    async fn run(self) {
        let mut datagram = vec![0; DATAGRAM];
        loop {
            match self.socket.recv_from(&mut datagram).await {
                Ok((length, _)) => self.take(&datagram[..length]),
                // An earlier datagram may have met a closed port.
                Err(error) => debug!("datagram: {error}"),
            }
        }
    }

    fn take(&self, datagram: &[u8]) {
        let told = match peers::Datagram::decode(datagram) {
            Ok(told) => told,
            Err(error) => {
                warn!("a datagram can not be read: {error}");
                return;
            }
        };
        sight(told.sightings, &self.driver);
        for name in told.lost {
            self.driver.event(Event::Blamed(name));
        }
        if let Some(roster) = told.roster {
            // The task that keeps the list ends only with the instance.
            let _ = self.rosters.send(roster);
        }
        self.heard.send_if_modified(|heard| {
            let more = told.configuration > heard.configuration || told.list > heard.list;
            heard.configuration = heard.configuration.max(told.configuration);
            heard.list = heard.list.max(told.list);
            more
        });
    }
}

fn sight(sightings: Vec<peers::Sighting>, driver: &Driver) {
    for sighting in sightings {
        driver.event(Event::Sighted(decode(sighting)));
    }
}

/// Keeps the addresses of other instances as the store lists them, for ever.
async fn find(client: feed::Client, instance: String, found: watch::Sender<Addresses>) {
    let mut cursor = feed::Cursor::new(client, ADDRESSES);
    let mut link = feed::Link::new("instances");
    let mut addresses = Addresses::new();
    loop {
        match cursor.next().await {
            Ok(news) => {
                link.good();
                take_addresses(&mut addresses, news, &instance);
                found.send_replace(addresses.clone());
                sleep(GATHER).await;
            }
            Err(error) => link.bad(&error).await,
        }
    }
}

fn take_addresses(addresses: &mut Addresses, news: feed::News, instance: &str) {
    let write = |addresses: &mut Addresses, item: &platform::store::Item| {
        let name = item.key.trim_start_matches(ADDRESSES);
        let address = std::str::from_utf8(&item.value).ok();
        match address.and_then(|address| address.parse().ok()) {
            Some(_) if name == instance => {}
            Some(address) => {
                addresses.insert(name.to_owned(), address);
            }
            None => warn!("{}: no address", item.key),
        }
    };
    match news {
        feed::News::All(items) => {
            addresses.clear();
            for item in &items {
                write(addresses, item);
            }
        }
        feed::News::Some(changes) => {
            for change in changes {
                match change {
                    platform::store::Change::Removed { key, .. } => {
                        addresses.remove(key.trim_start_matches(ADDRESSES));
                    }
                    platform::store::Change::Written(item) => write(addresses, &item),
                }
            }
        }
    }
}

/// Tells all other instances what the core tells.
struct Mouth {
    addresses: watch::Receiver<Addresses>,
    known: watch::Receiver<Known>,
    socket: Arc<UdpSocket>,
    streams: watch::Sender<Streams>,
}

impl Mouth {
    /// Serves for ever.
    async fn run(self, mut told: mpsc::UnboundedReceiver<Told>) {
        while let Some(told) = told.recv().await {
            let begun =
                matches!(&told, Told::Stream(sighting) if sighting.stage == Stage::Streaming);
            let datagram = self.datagram(told).encode_to_vec();
            let to: Vec<SocketAddr> = self.addresses.borrow().values().copied().collect();
            if begun && to.len() >= roster::FEW {
                // That a prompt is read others believe by its age; bytes between data centres are dear.
                continue;
            }
            for address in to {
                if let Err(error) = self.socket.try_send_to(&datagram, address) {
                    // A lost datagram costs a prompt read again at most.
                    debug!("datagram to {address}: {error}");
                }
            }
        }
    }

    fn datagram(&self, told: Told) -> peers::Datagram {
        let known = *self.known.borrow();
        let mut datagram = peers::Datagram {
            configuration: known.configuration,
            list: known.list,
            ..peers::Datagram::default()
        };
        match told {
            Told::Lost(name) => datagram.lost.push(name.to_string()),
            Told::Roster(roster) => datagram.roster = Some(roster),
            Told::Stream(sighting) => {
                let sighting = encode(sighting);
                self.streams.send_modify(|streams| streams.take(&sighting));
                datagram.sightings.push(sighting);
            }
        }
        datagram
    }
}

/// Enters this instance in the store and keeps its streams there, for ever. What was kept before its
/// start is read first.
async fn keep(
    gossip: Gossip,
    addresses: watch::Receiver<Addresses>,
    mut streams: watch::Receiver<Streams>,
) {
    let Gossip {
        client,
        driver,
        instance,
        listen,
        ..
    } = gossip;
    recall(&client, &driver).await;
    let mut lease = Lease {
        client,
        granted: None,
    };
    let address = format!("{ADDRESSES}{instance}");
    let kept = format!("{STREAMS}{instance}");
    let mut written = Instant::now();
    let mut ticks = interval(KEEP);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if let Err(error) = lease.hold(&address, &listen.to_string()).await {
            debug!("entering this instance: {error}");
            continue;
        }
        let pause = KEEP_EACH * addresses.borrow().len() as u32;
        if streams.has_changed().unwrap_or(false) && written.elapsed() >= pause {
            written = Instant::now();
            let value = streams.borrow_and_update().encode();
            if let Err(error) = lease.put(&kept, &value).await {
                debug!("keeping streams: {error}");
            }
        }
    }
}

/// Reads the streams that were kept before this instance started; a store that is away is waited for,
/// since nothing can be written to it either.
async fn recall(client: &feed::Client, driver: &Driver) {
    let mut link = feed::Link::new("streams");
    let items = loop {
        match client.items(STREAMS, link.patience()).await {
            Ok((items, _)) => break items,
            Err(error) => link.bad(&error).await,
        }
    };
    for item in items {
        match peers::Sightings::decode(item.value.as_slice()) {
            Ok(kept) => sight(kept.sightings, driver),
            Err(error) => warn!("{} can not be read: {error}", item.key),
        }
    }
}

/// The lease that this instance's entries end with.
struct Lease {
    client: feed::Client,
    granted: Option<Granted>,
}

#[derive(Clone, Copy)]
struct Granted {
    id: u64,
    renewed: Instant,
}

impl Lease {
    /// Makes sure that the lease runs and this instance is entered.
    async fn hold(&mut self, key: &str, address: &str) -> Result<(), Error> {
        match self.granted {
            Some(granted) if granted.renewed.elapsed() < RENEW => Ok(()),
            Some(granted) => self.renew(granted.id).await,
            None => {
                let asked = Instant::now();
                let call = platform::store::lease(LEASE);
                let (status, body) = self.client.call(call, PATIENCE).await?;
                if status != StatusCode::OK {
                    return Err(Error::Store(format!("lease: {status}")));
                }
                let id = platform::store::decode_lease(&body)
                    .map_err(|error| Error::Store(error.to_string()))?;
                self.granted = Some(Granted { id, renewed: asked });
                self.put(key, address.as_bytes()).await
            }
        }
    }

    async fn put(&mut self, key: &str, value: &[u8]) -> Result<(), Error> {
        let id = self.granted.map_or(0, |granted| granted.id);
        let call = platform::store::put(key, value, id);
        let (status, _) = self.client.call(call, PATIENCE).await?;
        match status {
            StatusCode::OK => Ok(()),
            StatusCode::NOT_FOUND => {
                // The lease has ended; the next look asks for a new one.
                self.granted = None;
                Err(Error::Store(format!("{key}: the lease has ended")))
            }
            status => Err(Error::Store(format!("{key}: {status}"))),
        }
    }

    async fn renew(&mut self, id: u64) -> Result<(), Error> {
        let asked = Instant::now();
        let call = platform::store::renew(id);
        let (status, _) = self.client.call(call, PATIENCE).await?;
        match status {
            StatusCode::OK => {
                self.granted = Some(Granted { id, renewed: asked });
                Ok(())
            }
            StatusCode::NOT_FOUND => {
                self.granted = None;
                Err(Error::Store("the lease has ended".into()))
            }
            status => Err(Error::Store(format!("renewing: {status}"))),
        }
    }
}

fn decode(sighting: peers::Sighting) -> Sighting {
    let stage = match sighting.stage() {
        peers::Stage::Ended => Stage::Ended,
        peers::Stage::Left => Stage::Left,
        peers::Stage::Started => Stage::Started,
        peers::Stage::Streaming => Stage::Streaming,
    };
    Sighting {
        backup: sighting.backup,
        prompt: sighting.prompt,
        run: sighting.run,
        stage,
        tokens: sighting.tokens,
        upstream: sighting.upstream,
    }
}

fn encode(sighting: Sighting) -> peers::Sighting {
    let stage = match sighting.stage {
        Stage::Ended => peers::Stage::Ended,
        Stage::Left => peers::Stage::Left,
        Stage::Started => peers::Stage::Started,
        Stage::Streaming => peers::Stage::Streaming,
    };
    peers::Sighting {
        backup: sighting.backup,
        prompt: sighting.prompt,
        run: sighting.run,
        stage: stage.into(),
        tokens: sighting.tokens,
        upstream: sighting.upstream,
    }
}
