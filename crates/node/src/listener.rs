//! Listening on the ports of an instance: all of them are bound before any is served, and a port that is taken is tried
//! again, since any connection of any process may be given a port as its local one.

use super::*;
use rustix::{
    io::Errno,
    net::{AddressFamily, SocketFlags, SocketType, sockopt},
};
use settings::Hosted;
use std::{io, os::fd::OwnedFd};
use tokio::net::UdpSocket;

/// Interval between two attempts to bind a port that an instance can't serve without.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between two attempts to listen for scrapes of the metrics, which an instance serves without.
const METRICS_RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Interval between two warnings about a port that stays taken.
const WARNING_INTERVAL: Duration = Duration::from_secs(10);

/// Connections that a port holds until they are accepted.
const BACKLOG: i32 = 1_024;

/// A port that an instance listens on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Port {
    /// Requests of callers.
    Callers,
    /// Scrapes of the metrics.
    Metrics,
    /// Calls of operators.
    Operators,
    /// Connections of other instances.
    PeerConnections,
    /// Datagrams of other instances.
    PeerDatagrams,
    /// Readiness checks.
    Ready,
}

/// The ports of an instance on the users' platform.
pub(crate) struct HostedPorts {
    /// Requests of callers.
    pub callers: tokio::net::TcpListener,
    /// Scrapes of the metrics; `None` while the port is taken.
    pub metrics: Option<tokio::net::TcpListener>,
    /// Connections of other instances.
    pub peer_connections: tokio::net::TcpListener,
    /// Datagrams of other instances.
    pub peer_datagrams: UdpSocket,
    /// Readiness checks.
    pub ready: tokio::net::TcpListener,
    /// Failed attempts that were followed by another one.
    pub retries: u64,
}

/// The ports of an instance of the own interface.
pub(crate) struct OwnPorts {
    /// Requests of callers.
    pub callers: tokio::net::TcpListener,
    /// Calls of operators.
    pub operators: tokio::net::TcpListener,
    /// Connections of other instances.
    pub peers: tokio::net::TcpListener,
    /// Failed attempts that were followed by another one.
    pub retries: u64,
}

/// A port whose address is bound, so that no other process is given it. It refuses connections until it listens: a caller
/// that could connect would wait for the other ports.
struct Reserved {
    address: SocketAddr,
    port: Port,
    socket: OwnedFd,
}

/// Attempts of all ports, for a bounded time.
struct Attempts {
    begun: Instant,
    retries: AtomicU64,
    time_max: Duration,
}

impl HostedPorts {
    /// Binds all ports for up to `listen_ms`. The port of callers listens last.
    pub async fn bind(settings: &Settings, hosted: &Hosted) -> Result<Self, Error> {
        let attempts = Attempts::new(settings.listen_ms);
        let (callers, peer_connections, peer_datagrams, ready) = tokio::try_join!(
            attempts.reserve(Port::Callers, settings.listen.callers),
            attempts.reserve(Port::PeerConnections, hosted.peers),
            attempts.bind_datagrams(Port::PeerDatagrams, hosted.peers),
            attempts.reserve(Port::Ready, hosted.ready),
        )?;
        let metrics = bind_metrics(hosted.metrics);
        Ok(Self {
            metrics: metrics.inspect_err(|error| warn_taken(error, 0)).ok(),
            peer_connections: attempts.listen(peer_connections).await?,
            peer_datagrams,
            ready: attempts.listen(ready).await?,
            callers: attempts.listen(callers).await?,
            retries: attempts.retries.into_inner(),
        })
    }
}

impl OwnPorts {
    /// Binds all ports for up to `listen_ms`. The port of callers listens last.
    pub async fn bind(settings: &Settings) -> Result<Self, Error> {
        let attempts = Attempts::new(settings.listen_ms);
        let (callers, operators, peers) = tokio::try_join!(
            attempts.reserve(Port::Callers, settings.listen.callers),
            attempts.reserve(Port::Operators, settings.listen.operators),
            attempts.reserve(Port::PeerConnections, settings.listen.peers),
        )?;
        Ok(Self {
            operators: attempts.listen(operators).await?,
            peers: attempts.listen(peers).await?,
            callers: attempts.listen(callers).await?,
            retries: attempts.retries.into_inner(),
        })
    }
}

impl Attempts {
    fn new(time_max_ms: u64) -> Self {
        Self {
            begun: Instant::now(),
            retries: AtomicU64::new(0),
            time_max: Duration::from_millis(time_max_ms),
        }
    }

    async fn reserve(&self, port: Port, address: SocketAddr) -> Result<Reserved, Error> {
        self.repeat(|| reserve(port, address)).await
    }

    async fn bind_datagrams(&self, port: Port, address: SocketAddr) -> Result<UdpSocket, Error> {
        let bind = || {
            let socket = std::net::UdpSocket::bind(address)?;
            socket.set_nonblocking(true)?;
            UdpSocket::from_std(socket)
        };
        self.repeat(|| bind().map_err(|error| Error::Bind(port, address, error)))
            .await
    }

    /// Has a port accept connections. Another process that has reserved it too may have been first.
    async fn listen(&self, reserved: Reserved) -> Result<tokio::net::TcpListener, Error> {
        self.repeat(|| reserved.listen()).await?;
        reserved.into_listener()
    }

    /// Repeats an attempt until it succeeds, fails for a reason that does not pass, or the time is over.
    async fn repeat<T>(&self, attempt: impl Fn() -> Result<T, Error>) -> Result<T, Error> {
        let mut warned_at = None;
        loop {
            let error = match attempt() {
                Ok(done) => return Ok(done),
                Err(error) => error,
            };
            if !passes(&error) || self.begun.elapsed() >= self.time_max {
                return Err(error);
            }
            if warned_at.is_none_or(|at: Instant| at.elapsed() >= WARNING_INTERVAL) {
                warned_at = Some(Instant::now());
                warn_taken(&error, self.begun.elapsed().as_millis() as u64);
            }
            self.retries.fetch_add(1, Ordering::Relaxed);
            sleep(RETRY_INTERVAL).await;
        }
    }
}

impl Reserved {
    fn listen(&self) -> Result<(), Error> {
        rustix::net::listen(&self.socket, BACKLOG).map_err(|error| self.error(error.into()))
    }

    fn into_listener(self) -> Result<tokio::net::TcpListener, Error> {
        let (address, port) = (self.address, self.port);
        let listener = std::net::TcpListener::from(self.socket);
        tokio::net::TcpListener::from_std(listener)
            .map_err(|error| Error::Bind(port, address, error))
    }

    fn error(&self, error: io::Error) -> Error {
        Error::Bind(self.port, self.address, error)
    }
}

/// Binds the address of a port, which does not accept connections yet.
fn reserve(port: Port, address: SocketAddr) -> Result<Reserved, Error> {
    let socket = bind_socket(address).map_err(|error| Error::Bind(port, address, error.into()))?;
    Ok(Reserved {
        address,
        port,
        socket,
    })
}

fn bind_socket(address: SocketAddr) -> Result<OwnedFd, Errno> {
    let family = match address {
        SocketAddr::V4(_) => AddressFamily::INET,
        SocketAddr::V6(_) => AddressFamily::INET6,
    };
    let flags = SocketFlags::CLOEXEC | SocketFlags::NONBLOCK;
    let socket = rustix::net::socket_with(family, SocketType::STREAM, flags, None)?;
    // Connections of an earlier process of this instance that are closing do not keep the port.
    sockopt::set_socket_reuseaddr(&socket, true)?;
    rustix::net::bind(&socket, &address)?;
    Ok(socket)
}

fn bind_metrics(address: SocketAddr) -> Result<tokio::net::TcpListener, Error> {
    let reserved = reserve(Port::Metrics, address)?;
    reserved.listen()?;
    reserved.into_listener()
}

/// Waits until the port of the metrics can be bound, however long that takes.
pub(crate) async fn wait_for_metrics(
    address: SocketAddr,
    driver: Driver,
) -> tokio::net::TcpListener {
    let begun = Instant::now();
    let mut warned_at = begun;
    loop {
        driver.count(Counter::ListenRetried);
        sleep(METRICS_RETRY_INTERVAL).await;
        match bind_metrics(address) {
            Ok(listener) => return listener,
            Err(error) if warned_at.elapsed() >= WARNING_INTERVAL => {
                warned_at = Instant::now();
                warn_taken(&error, begun.elapsed().as_millis() as u64);
            }
            Err(_) => {}
        }
    }
}

/// Whether the reason why a port can not be bound may pass: something else has the address, or descriptors or memory are
/// used up.
fn passes(error: &Error) -> bool {
    let Error::Bind(_, _, error) = error else {
        return false;
    };
    is_shortage(error) || Errno::from_io_error(error) == Some(Errno::ADDRINUSE)
}

/// Whether descriptors or memory are used up.
pub(crate) fn is_shortage(error: &io::Error) -> bool {
    matches!(
        Errno::from_io_error(error),
        Some(Errno::MFILE | Errno::NFILE | Errno::NOBUFS | Errno::NOMEM)
    )
}

fn warn_taken(error: &Error, waited_ms: u64) {
    let (step, text) = (error.step(), error.to_string());
    warn!(step, text, waited_ms; "port can not be bound, trying again");
}

impl Display for Port {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        formatter.write_str(match self {
            Self::Callers => "callers",
            Self::Metrics => "metrics",
            Self::Operators => "operators",
            Self::PeerConnections => "peer_connections",
            Self::PeerDatagrams => "peer_datagrams",
            Self::Ready => "ready",
        })
    }
}
