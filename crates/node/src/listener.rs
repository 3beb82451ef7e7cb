//! Ports that an instance listens on.

use super::*;

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
