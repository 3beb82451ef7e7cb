//! Exchange of the list of upstreams and of the configuration between instances of a data centre, over a connection for
//! each request.
//!
//! An instance that starts, or has missed changes, takes the list from a neighbour, and a large configuration from the one
//! that announced it. The link of the store would carry them to hundreds of instances at once.

use super::*;
use flate2::{Compression, read::DeflateDecoder, write::DeflateEncoder};
use std::io::{Read as _, Write as _};
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};
use tokio_util::codec::Framed;
use wellplank_core::informer_io::PeerList;

/// Number of entries of one part of an answer: parts of some hundred kilobytes.
const PART_ENTRIES: usize = 2_000;

/// Maximum time until the first part of an answer and between two: a link of 20 Mbit/s that carries several answers takes a
/// fraction of it, and so does a small instance that encodes a list.
const PART_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of answers that are sent at the same time; further requests are declined, and go elsewhere. An instance
/// announces a configuration to eight others.
const ANSWERS_MAX: usize = 8;

/// The same for lists, which take hundreds of kilobytes each.
const LISTS_MAX: usize = 4;

/// Maximum size of a configuration, and of the entries of a list with all its parts, in bytes; what is larger is not read. Ten
/// thousand entries take two megabytes.
const BYTES_MAX: u64 = 16 << 20;

/// Maximum number of parts of a list: with [`PART_ENTRIES`] each, five times the largest fleet.
const PARTS_MAX: usize = 25;

/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Time within which the request must follow the connection.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

type Frames = Framed<TcpStream, frame::Codec>;

/// A request of another instance.
pub(crate) enum Request {
    /// For the configuration in force.
    Configuration(oneshot::Sender<Option<StoredConfiguration>>),
    /// For the list, or its changes after a position.
    List {
        /// Receives the list; `None` if this instance has none to give.
        reply: oneshot::Sender<Option<EncodedList>>,
        /// Position after which changes are requested; `None` for the whole list.
        since: Option<Position>,
    },
}

/// Frames that hold a list. They are shared, since hundreds of instances may ask for the same one at once, and encoding ten
/// thousand entries takes a small instance half a second.
pub(crate) type EncodedList = Arc<[peers::Frame]>;

/// A configuration as it is passed on.
#[derive(Clone, Debug)]
pub(crate) struct StoredConfiguration {
    /// The document, compressed.
    pub document: Bytes,
    /// Revision of the store at which it was written.
    pub store_revision: u64,
}

impl StoredConfiguration {
    /// Compresses a document.
    pub fn new(document: &[u8], store_revision: u64) -> std::io::Result<Self> {
        Ok(Self {
            document: compress(document)?.into(),
            store_revision,
        })
    }

    /// Decompresses the document; fails if it is larger than a configuration may be.
    pub fn decompress(&self) -> std::io::Result<Vec<u8>> {
        decompress(&self.document, BYTES_MAX)
    }
}

fn compress(bytes: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut encoder = DeflateEncoder::new(Vec::new(), Compression::fast());
    encoder.write_all(bytes)?;
    encoder.finish()
}

/// Decompresses at most `bytes_max` bytes; fails if there are more.
fn decompress(bytes: &[u8], bytes_max: u64) -> std::io::Result<Vec<u8>> {
    let mut decompressed = Vec::new();
    let decoder = DeflateDecoder::new(bytes);
    decoder.take(bytes_max + 1).read_to_end(&mut decompressed)?;
    if decompressed.len() as u64 > bytes_max {
        let text = format!("more than {bytes_max} bytes");
        return Err(std::io::Error::new(std::io::ErrorKind::FileTooLarge, text));
    }
    Ok(decompressed)
}

/// Answers other instances.
#[derive(Clone)]
pub(crate) struct Responder {
    answers: Arc<Semaphore>,
    lists: Arc<Semaphore>,
    /// Requests, which the task that follows the store answers.
    requests: mpsc::UnboundedSender<Request>,
    gateway: tunnel::Gateway,
}

impl Responder {
    /// Creates a responder whose requests are answered by the receiver of a channel, and by a gateway.
    pub fn new(requests: mpsc::UnboundedSender<Request>, gateway: tunnel::Gateway) -> Self {
        Self {
            answers: Arc::new(Semaphore::new(ANSWERS_MAX)),
            gateway,
            lists: Arc::new(Semaphore::new(LISTS_MAX)),
            requests,
        }
    }

    /// Answers other instances until this one ends.
    pub async fn run(self, listener: TcpListener) {
        loop {
            match listener.accept().await {
                Ok((socket, from)) => {
                    let responder = self.clone();
                    tokio::spawn(async move {
                        if let Err(error) = responder.answer(socket).await {
                            debug!("answering instance {from}: {error}");
                        }
                    });
                }
                Err(error) => {
                    warn!("accepting a connection of another instance: {error}");
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn answer(self, socket: TcpStream) -> Result<(), frame::Error> {
        let mut frames = Framed::new(socket, frame::Codec::new());
        let Ok(Some(request)) = timeout(REQUEST_TIMEOUT, frames.next()).await else {
            return Ok(());
        };
        let request = request?.body;
        if let Some(peers::frame::Body::TunnelRequest(request)) = request {
            return self.gateway.serve(frames, request).await;
        }
        let Ok(_permit) = self.answers.try_acquire() else {
            // A connection that ends without an answer sends the other instance elsewhere at once.
            return Ok(());
        };
        match request {
            Some(peers::frame::Body::ConfigurationRequest(_)) => {
                self.answer_configuration(&mut frames).await
            }
            Some(peers::frame::Body::ListRequest(request)) => {
                self.answer_list(&mut frames, request).await
            }
            _ => Ok(()),
        }
    }

    async fn answer_configuration(&self, frames: &mut Frames) -> Result<(), frame::Error> {
        let (reply, configuration) = oneshot::channel();
        // Sending fails only while the instance shuts down; the channel of the reply is closed then.
        let _ = self.requests.send(Request::Configuration(reply));
        let configuration = configuration.await.ok().flatten();
        let configuration = configuration.map_or_else(peers::Configuration::default, |stored| {
            peers::Configuration {
                document: stored.document.to_vec(),
                store_revision: stored.store_revision,
            }
        });
        let body = Some(peers::frame::Body::Configuration(configuration));
        frames.send(peers::Frame { body }).await
    }

    async fn answer_list(
        &self,
        frames: &mut Frames,
        request: peers::ListRequest,
    ) -> Result<(), frame::Error> {
        let Ok(_permit) = self.lists.try_acquire() else {
            return frames.send(unavailable()).await;
        };
        let since = request
            .is_incremental
            .then(|| Position::new(request.era, request.since));
        let (reply, list) = oneshot::channel();
        let _ = self.requests.send(Request::List { reply, since });
        let Ok(Some(list)) = list.await else {
            return frames.send(unavailable()).await;
        };
        for part in list.iter() {
            frames.send(part.clone()).await?;
        }
        Ok(())
    }
}

fn part(part: peers::ListPart) -> peers::Frame {
    let body = Some(peers::frame::Body::ListPart(part));
    peers::Frame { body }
}

fn unavailable() -> peers::Frame {
    part(peers::ListPart {
        is_unavailable: true,
        ..peers::ListPart::default()
    })
}

/// Encodes a list as at least one part. It is said to be older by what it may be kept for.
pub(crate) fn encode_list(list: PeerList, kept_for: Duration) -> std::io::Result<EncodedList> {
    let PeerList {
        age_ms,
        changes,
        is_complete,
        to,
    } = list;
    let age_ms = age_ms + kept_for.as_millis() as u64;
    let count = changes.len().div_ceil(PART_ENTRIES).max(1);
    let mut changes = changes.into_iter();
    let parts = (1..=count).map(|number| {
        let entries = changes.by_ref().take(PART_ENTRIES);
        let entries = entries.map(datagram::encode_change).collect();
        let entries = peers::Entries { entries }.encode_to_vec();
        Ok(part(peers::ListPart {
            age_ms,
            entries: compress(&entries)?,
            era: to.era,
            has_more: number < count,
            is_complete,
            is_unavailable: false,
            to: to.revision,
        }))
    });
    parts.collect()
}

/// What the list of another instance may still hold.
struct ListBudget {
    /// The other instance.
    address: SocketAddr,
    bytes: u64,
    parts: usize,
}

impl ListBudget {
    /// Decodes the entries of a part within the budget.
    fn decode(&mut self, part: &peers::ListPart) -> Result<Vec<peers::Entry>, Error> {
        let exceeded = |text| Error::PeerBound(self.address, text);
        let failed = |error: &dyn Display| Error::Peer(self.address, error.to_string());
        let parts = self.parts.checked_sub(1);
        self.parts = parts.ok_or_else(|| exceeded(format!("more than {PARTS_MAX} parts")))?;
        let bytes = decompress(&part.entries, self.bytes).map_err(|error| match error.kind() {
            std::io::ErrorKind::FileTooLarge => exceeded(error.to_string()),
            _ => failed(&error),
        })?;
        let count = count_entries(&bytes).map_err(|error| failed(&error))?;
        if count > PART_ENTRIES {
            return Err(exceeded(format!("{count} entries in one part")));
        }
        let decoded = peers::Entries::decode(&bytes[..]).map_err(|error| failed(&error))?;
        self.bytes -= bytes.len() as u64;
        Ok(decoded.entries)
    }
}

/// Number of entries of an encoded part. They are counted before they are decoded: an empty one takes two bytes encoded, and a
/// hundred times that decoded.
fn count_entries(mut bytes: &[u8]) -> Result<usize, prost::DecodeError> {
    use prost::encoding::{DecodeContext, decode_key, skip_field};
    let mut count = 0;
    while !bytes.is_empty() {
        let (tag, wire_type) = decode_key(&mut bytes)?;
        skip_field(wire_type, tag, &mut bytes, DecodeContext::default())?;
        count += 1;
    }
    Ok(count)
}

/// Requests the configuration in force at another instance, which must arrive within `response_timeout`.
pub(crate) async fn fetch_configuration(
    address: SocketAddr,
    response_timeout: Duration,
) -> Result<StoredConfiguration, Error> {
    let body = peers::frame::Body::ConfigurationRequest(peers::ConfigurationRequest {});
    let answer = async {
        let mut frames = request(address, body).await?;
        next_frame(address, &mut frames).await
    };
    let answer = timeout(response_timeout, answer).await;
    match answer.map_err(|_| Error::Peer(address, "no answer in time".into()))?? {
        peers::frame::Body::Configuration(configuration) if configuration.store_revision > 0 => {
            Ok(StoredConfiguration {
                document: configuration.document.into(),
                store_revision: configuration.store_revision,
            })
        }
        _ => Err(Error::Peer(
            address,
            "it has no configuration to give".into(),
        )),
    }
}

/// Requests the list, or the changes after a position, from another instance. `on_progress` is called when its answer
/// begins to arrive.
pub async fn fetch_list(
    address: SocketAddr,
    since: Option<Position>,
    on_progress: impl Fn(),
) -> Result<PeerList, Error> {
    let position = since.unwrap_or_default();
    let body = peers::frame::Body::ListRequest(peers::ListRequest {
        era: position.era,
        is_incremental: since.is_some(),
        since: position.revision,
    });
    let begin = async {
        let mut frames = request(address, body).await?;
        let first = next_part(address, &mut frames).await?;
        Ok((frames, first))
    };
    let begun = timeout(PART_TIMEOUT, begin).await;
    let (mut frames, first) =
        begun.map_err(|_| Error::Peer(address, "no answer in time".into()))??;
    on_progress();
    let mut list = PeerList {
        age_ms: first.age_ms,
        changes: Vec::new(),
        is_complete: first.is_complete,
        to: Position::new(first.era, first.to),
    };
    let mut budget = ListBudget {
        address,
        bytes: BYTES_MAX,
        parts: PARTS_MAX,
    };
    let mut part = first;
    loop {
        if part.is_unavailable {
            return Err(Error::Peer(address, "it has no list to give".into()));
        }
        let entries = budget.decode(&part)?;
        let changes = entries.into_iter();
        list.changes
            .extend(changes.map(|entry| datagram::decode_change(entry, list.to.era)));
        if !part.has_more {
            return Ok(list);
        }
        let next = timeout(PART_TIMEOUT, next_part(address, &mut frames)).await;
        part = next.map_err(|_| Error::Peer(address, "the list stalled".into()))??;
    }
}

/// Connects and sends a request.
async fn request(address: SocketAddr, body: peers::frame::Body) -> Result<Frames, Error> {
    let failed = |error: &dyn Display| Error::Peer(address, error.to_string());
    let socket = connection::connect_plain(address).await;
    let socket = socket.map_err(|error| failed(&error))?;
    let mut frames = Framed::new(socket, frame::Codec::new());
    let sent = frames.send(peers::Frame { body: Some(body) }).await;
    sent.map_err(|error| failed(&error))?;
    Ok(frames)
}

async fn next_part(address: SocketAddr, frames: &mut Frames) -> Result<peers::ListPart, Error> {
    match next_frame(address, frames).await? {
        peers::frame::Body::ListPart(part) => Ok(part),
        _ => Err(Error::Peer(address, "the answer is no list".into())),
    }
}

async fn next_frame(address: SocketAddr, frames: &mut Frames) -> Result<peers::frame::Body, Error> {
    let failed = |text: String| Error::Peer(address, text);
    let frame = frames.next().await;
    let frame = frame.ok_or_else(|| failed("the connection ended within the answer".into()))?;
    let frame = frame.map_err(|error| failed(error.to_string()))?;
    frame
        .body
        .ok_or_else(|| failed("the answer is empty".into()))
}
