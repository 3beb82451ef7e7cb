//! Exchange of the list of upstreams between instances of a data centre, over a connection for each request.
//!
//! An instance that starts, or has missed changes, takes the list from a neighbour. The link of the store would carry it
//! to hundreds of instances at once.

use super::*;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
};
use tokio_util::codec::Framed;
use wellplank_core::informer_io::PeerList;

/// Number of entries of one part of an answer: parts of some hundred kilobytes.
const PART_ENTRIES: usize = 2_000;

/// Maximum time between two parts of an answer: a link of 20 Mbit/s that carries several answers takes a fraction of it.
const PART_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of answers that are sent at the same time; further requests are declined, and go elsewhere.
const ANSWERS_MAX: usize = 4;

/// Pause after a failure to accept a connection.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Time within which the request must follow the connection.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// A request of another instance for the list.
pub(crate) struct Request {
    /// Receives the list; `None` if this instance has none to give.
    pub reply: oneshot::Sender<Option<PeerList>>,
    /// Position after which changes are requested; `None` for the whole list.
    pub since: Option<Position>,
}

/// Answers other instances until this one ends; `requests` are answered by the task that follows the store.
pub(crate) async fn serve(listener: TcpListener, requests: mpsc::UnboundedSender<Request>) {
    let permits = Arc::new(Semaphore::new(ANSWERS_MAX));
    loop {
        match listener.accept().await {
            Ok((socket, from)) => {
                let (permits, requests) = (permits.clone(), requests.clone());
                tokio::spawn(async move {
                    if let Err(error) = answer(socket, &permits, &requests).await {
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

async fn answer(
    socket: TcpStream,
    permits: &Semaphore,
    requests: &mpsc::UnboundedSender<Request>,
) -> Result<(), frame::Error> {
    let mut frames = Framed::new(socket, frame::Codec::new());
    let Ok(Some(request)) = timeout(REQUEST_TIMEOUT, frames.next()).await else {
        return Ok(());
    };
    let Some(peers::frame::Body::ListRequest(request)) = request?.body else {
        return Ok(());
    };
    let Ok(_permit) = permits.try_acquire() else {
        return frames.send(unavailable()).await;
    };
    let since = request
        .is_incremental
        .then(|| Position::new(request.era, request.since));
    let (reply, list) = oneshot::channel();
    // Sending fails only while the instance shuts down; the channel of the reply is closed then.
    let _ = requests.send(Request { reply, since });
    let Ok(Some(list)) = list.await else {
        return frames.send(unavailable()).await;
    };
    for part in encode(list) {
        frames.send(part).await?;
    }
    Ok(())
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

/// Encodes a list as at least one part.
fn encode(list: PeerList) -> impl Iterator<Item = peers::Frame> {
    let PeerList {
        age_ms,
        changes,
        is_complete,
        to,
    } = list;
    let count = changes.len().div_ceil(PART_ENTRIES).max(1);
    let mut changes = changes.into_iter();
    (1..=count).map(move |number| {
        let entries = changes.by_ref().take(PART_ENTRIES);
        part(peers::ListPart {
            age_ms,
            entries: entries.map(datagram::encode_change).collect(),
            era: to.era,
            has_more: number < count,
            is_complete,
            is_unavailable: false,
            to: to.revision,
        })
    })
}

/// Requests the list, or the changes after a position, from another instance. `response_timeout` is the time within which
/// its answer must begin; `on_progress` is called when it does.
pub(crate) async fn fetch(
    address: SocketAddr,
    since: Option<Position>,
    response_timeout: Duration,
    on_progress: impl Fn(),
) -> Result<PeerList, Error> {
    let begun = timeout(response_timeout, request(address, since)).await;
    let (mut frames, first) =
        begun.map_err(|_| Error::Peer(address, "no answer in time".into()))??;
    on_progress();
    let mut list = PeerList {
        age_ms: first.age_ms,
        changes: Vec::new(),
        is_complete: first.is_complete,
        to: Position::new(first.era, first.to),
    };
    let mut part = first;
    loop {
        if part.is_unavailable {
            return Err(Error::Peer(address, "it has no list to give".into()));
        }
        let entries = part.entries.into_iter();
        list.changes
            .extend(entries.map(|entry| datagram::decode_change(entry, list.to.era)));
        if !part.has_more {
            return Ok(list);
        }
        let next = timeout(PART_TIMEOUT, next_part(address, &mut frames)).await;
        part = next.map_err(|_| Error::Peer(address, "the list stalled".into()))??;
    }
}

type Frames = Framed<TcpStream, frame::Codec>;

/// Connects, sends a request and waits for the first part of its answer.
async fn request(
    address: SocketAddr,
    since: Option<Position>,
) -> Result<(Frames, peers::ListPart), Error> {
    let failed = |error: &dyn Display| Error::Peer(address, error.to_string());
    let socket = TcpStream::connect(address).await;
    let socket = socket.map_err(|error| failed(&error))?;
    let mut frames = Framed::new(socket, frame::Codec::new());
    let position = since.unwrap_or_default();
    let body = peers::frame::Body::ListRequest(peers::ListRequest {
        era: position.era,
        is_incremental: since.is_some(),
        since: position.revision,
    });
    let sent = frames.send(peers::Frame { body: Some(body) }).await;
    sent.map_err(|error| failed(&error))?;
    let part = next_part(address, &mut frames).await?;
    Ok((frames, part))
}

async fn next_part(address: SocketAddr, frames: &mut Frames) -> Result<peers::ListPart, Error> {
    let failed = |text: String| Error::Peer(address, text);
    let frame = frames.next().await;
    let frame = frame.ok_or_else(|| failed("the connection ended within the list".into()))?;
    let frame = frame.map_err(|error| failed(error.to_string()))?;
    match frame.body {
        Some(peers::frame::Body::ListPart(part)) => Ok(part),
        _ => Err(failed("the answer is no list".into())),
    }
}
