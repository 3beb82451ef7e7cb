//! Tunnels to upstreams through another instance, for an instance that does not reach them itself.
//!
//! The other instance, the gateway, connects to the upstream and carries the bytes of the connection; it decides nothing
//! on the request. What comes back is framed, so that the end of the upstream's connection differs from that of the
//! gateway: a response that ends with its connection must not look complete because the gateway was killed.

use super::*;
use std::pin::Pin;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt, Join},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::Semaphore,
};
use tokio_util::{
    codec::{Framed, FramedRead, FramedWrite},
    io::StreamReader,
};

/// Time within which a gateway must have answered: it connects to the upstream meanwhile.
const OPEN_TIMEOUT: Duration = Duration::from_millis(400);

/// Maximum number of tunnels of a gateway; further ones are declined, and opened elsewhere.
const TUNNELS_MAX: usize = 256;

/// Maximum number of bytes in one frame.
const FRAME_BYTES: usize = 16 << 10;

/// Time for which bytes towards the upstream are still taken behind the end of its connection: closing at once would reset
/// the tunnel, and with it what the other instance has not read yet.
const LINGER: Duration = Duration::from_secs(1);

type Received = Pin<Box<dyn Stream<Item = std::io::Result<Bytes>> + Send>>;

/// The connection to an upstream through a gateway.
pub(crate) type Tunnel = Join<StreamReader<Received, Bytes>, OwnedWriteHalf>;

/// Why a tunnel could not be opened; nothing was sent to the upstream.
#[derive(Debug)]
pub(crate) enum Error {
    /// The gateway could not be reached or declined; that says nothing of the upstream.
    Declined {
        /// Another instance that it knows to open tunnels.
        named: Option<u64>,
        /// Why, for logs.
        reason: String,
    },
    /// The gateway could not connect to the upstream.
    Unreached,
}

/// Opens a tunnel to an upstream.
pub(crate) async fn open(gateway: SocketAddr, upstream: Incarnation) -> Result<Tunnel, Error> {
    let declined = |error: &dyn Display| Error::Declined {
        named: None,
        reason: error.to_string(),
    };
    let connection = connection::connect(gateway).await;
    let connection = connection.map_err(|error| declined(&error))?;
    let mut frames = Framed::new(connection, frame::Codec::new());
    let answer = timeout(OPEN_TIMEOUT, request(&mut frames, upstream)).await;
    let answer = answer.map_err(|error| declined(&error))?;
    let answer = answer.map_err(|error| declined(&error))?;
    match answer.status() {
        peers::TunnelStatus::Open => Ok(split(frames)),
        peers::TunnelStatus::Unreached => Err(Error::Unreached),
        peers::TunnelStatus::Declined => Err(Error::Declined {
            named: answer.named,
            reason: "declined".into(),
        }),
    }
}

/// Requests a tunnel and reads the answer. An instance of a version without tunnels ends the connection.
async fn request(
    frames: &mut Framed<TcpStream, frame::Codec>,
    upstream: Incarnation,
) -> Result<peers::TunnelResponse, frame::Error> {
    let request = peers::TunnelRequest {
        upstream: Some(datagram::encode_incarnation(upstream)),
    };
    let body = Some(peers::frame::Body::TunnelRequest(request));
    frames.send(peers::Frame { body }).await?;
    let answer = frames.next().await.transpose()?;
    match answer.and_then(|frame| frame.body) {
        Some(peers::frame::Body::TunnelResponse(response)) => Ok(response),
        _ => Ok(peers::TunnelResponse::default()),
    }
}

/// An opened tunnel: bytes are sent as they are, and received in frames.
fn split(frames: Framed<TcpStream, frame::Codec>) -> Tunnel {
    let parts = frames.into_parts();
    let (read_half, write_half) = parts.io.into_split();
    let mut frames = FramedRead::new(read_half, frame::Codec::new());
    *frames.read_buffer_mut() = parts.read_buf;
    let received = futures_util::stream::unfold(Some(frames), |frames| async {
        let mut frames = frames?;
        match next_bytes(&mut frames).await {
            Ok(bytes) if bytes.is_empty() => None,
            Ok(bytes) => Some((Ok(bytes), Some(frames))),
            Err(error) => Some((Err(error), None)),
        }
    });
    let received: Received = Box::pin(received);
    tokio::io::join(StreamReader::new(received), write_half)
}

/// The next bytes from the upstream; empty at the end of its connection.
async fn next_bytes(
    frames: &mut FramedRead<OwnedReadHalf, frame::Codec>,
) -> std::io::Result<Bytes> {
    let broken = |text: String| std::io::Error::new(std::io::ErrorKind::UnexpectedEof, text);
    let frame = frames.next().await;
    let frame = frame.ok_or_else(|| broken("the gateway ended the tunnel".into()))?;
    let frame = frame.map_err(|error| broken(error.to_string()))?;
    match frame.body {
        Some(peers::frame::Body::TunnelBytes(bytes)) => Ok(bytes.data.into()),
        _ => Err(broken("the gateway sent another message".into())),
    }
}

/// Opens tunnels for other instances.
#[derive(Clone)]
pub(crate) struct Gateway {
    driver: Driver,
    places: Arc<Semaphore>,
    shutdown: relay::ShutdownReceiver,
}

impl Gateway {
    /// A gateway that declines further tunnels once the instance shuts down.
    pub fn new(driver: Driver, shutdown: relay::ShutdownReceiver) -> Self {
        Self {
            driver,
            places: Arc::new(Semaphore::new(TUNNELS_MAX)),
            shutdown,
        }
    }

    /// Number of open tunnels.
    pub fn open(&self) -> usize {
        TUNNELS_MAX - self.places.available_permits()
    }

    /// Opens a tunnel and carries its bytes until either end closes it.
    pub async fn serve(
        &self,
        mut frames: Framed<TcpStream, frame::Codec>,
        request: peers::TunnelRequest,
    ) -> Result<(), frame::Error> {
        let Ok(_place) = self.places.try_acquire() else {
            return decline(&mut frames, None).await;
        };
        let target = match self.target(request).await {
            Ok(target) => target,
            Err(named) => return decline(&mut frames, named).await,
        };
        let upstream = connection::connect(target.address).await;
        self.driver.send_event(Event::ConnectionChecked {
            connected: upstream.is_ok(),
            started_at: target.started_at,
            upstream: target.upstream,
        });
        let Ok(upstream) = upstream else {
            return respond(&mut frames, peers::TunnelStatus::Unreached).await;
        };
        respond(&mut frames, peers::TunnelStatus::Open).await?;
        connection::set_options(frames.get_ref())?;
        carry(frames, upstream).await
    }

    /// The upstream to connect to. If the tunnel is declined, another instance that is known to open tunnels.
    async fn target(
        &self,
        request: peers::TunnelRequest,
    ) -> Result<driver::TunnelTarget, Option<u64>> {
        if self.shutdown.borrow().is_some() {
            return Err(None);
        }
        let upstream = request.upstream.ok_or(None)?;
        let incarnation = datagram::decode_incarnation(upstream);
        self.driver.tunnel_target(incarnation).await
    }
}

async fn respond(
    frames: &mut Framed<TcpStream, frame::Codec>,
    status: peers::TunnelStatus,
) -> Result<(), frame::Error> {
    let response = peers::TunnelResponse {
        named: None,
        status: status.into(),
    };
    send(frames, response).await
}

async fn decline(
    frames: &mut Framed<TcpStream, frame::Codec>,
    named: Option<u64>,
) -> Result<(), frame::Error> {
    let response = peers::TunnelResponse {
        named,
        status: peers::TunnelStatus::Declined.into(),
    };
    send(frames, response).await
}

async fn send(
    frames: &mut Framed<TcpStream, frame::Codec>,
    response: peers::TunnelResponse,
) -> Result<(), frame::Error> {
    let body = Some(peers::frame::Body::TunnelResponse(response));
    frames.send(peers::Frame { body }).await
}

/// Carries bytes both ways. Once the other instance closes the tunnel, the connection to the upstream is closed as well, so
/// that the upstream stops its work.
async fn carry(
    frames: Framed<TcpStream, frame::Codec>,
    upstream: TcpStream,
) -> Result<(), frame::Error> {
    let parts = frames.into_parts();
    let (near_read, near_write) = parts.io.into_split();
    let (far_read, far_write) = upstream.into_split();
    let mut near_frames = FramedWrite::new(near_write, frame::Codec::new());
    let forth = carry_forth(near_read, far_write, parts.read_buf);
    tokio::pin!(forth);
    tokio::select! {
        () = &mut forth => return Ok(()),
        sent = carry_back(far_read, &mut near_frames) => sent?,
    }
    let _ = timeout(LINGER, forth).await;
    Ok(())
}

/// Carries bytes to an upstream until the other instance closes the tunnel. Once the upstream takes no more they are
/// dropped: what it has answered may still have to be carried back.
async fn carry_forth(mut near: OwnedReadHalf, mut upstream: OwnedWriteHalf, mut bytes: BytesMut) {
    let mut is_taken = true;
    loop {
        if is_taken {
            is_taken = upstream.write_all(&bytes).await.is_ok();
        }
        bytes.clear();
        bytes.reserve(FRAME_BYTES);
        let Ok(1..) = near.read_buf(&mut bytes).await else {
            return;
        };
    }
}

/// Carries the bytes of an upstream to the other instance, and marks the end of its connection unless that broke.
async fn carry_back(
    mut upstream: OwnedReadHalf,
    frames: &mut FramedWrite<OwnedWriteHalf, frame::Codec>,
) -> Result<(), frame::Error> {
    let mut buffer = BytesMut::with_capacity(FRAME_BYTES);
    loop {
        buffer.reserve(FRAME_BYTES);
        let length = upstream.read_buf(&mut buffer).await?;
        let data = buffer.split().to_vec();
        let bytes = peers::TunnelBytes { data };
        let body = Some(peers::frame::Body::TunnelBytes(bytes));
        frames.send(peers::Frame { body }).await?;
        if length == 0 {
            return Ok(());
        }
    }
}
