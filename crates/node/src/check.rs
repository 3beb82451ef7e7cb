//! Finds out whether an upstream has ended whose connections broke: nobody listens at its address then.

use super::*;
use std::io::ErrorKind;
use tokio::net::TcpStream;

/// Time that a connection may take; one between data centres takes a hundredth of it.
const PATIENCE: Duration = Duration::from_millis(300);

/// Tries a connection and tells the core task what came of it. Only a refusal says that the process is gone: a link that
/// carries nothing says the same of one that runs.
pub(crate) async fn run(driver: Driver, address: SocketAddr, life: Incarnation) {
    let tried = timeout(PATIENCE, TcpStream::connect(address)).await;
    let refused = |error: &std::io::Error| {
        let kind = error.kind();
        kind == ErrorKind::ConnectionRefused || kind == ErrorKind::ConnectionReset
    };
    let ended = tried.is_ok_and(|tried| tried.is_err_and(|error| refused(&error)));
    debug!(ended; "{address}: checked whether it has ended");
    driver.event(Event::CrashChecked {
        ended,
        incarnation: life,
    });
}
