//! Checks whether an upstream whose connections broke has crashed: if so, nothing listens at its address.

use super::*;
use std::io::ErrorKind;
use tokio::net::TcpStream;

/// Connect timeout: a hundred times the connect time between data centres.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);

/// Tries to connect and reports the outcome to the core task. Only a refused or reset connection proves that the process
/// has ended: a timeout may also be due to a broken link to a running process.
pub(crate) async fn run(driver: Driver, address: SocketAddr, incarnation: Incarnation) {
    let result = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let is_refused = |error: &std::io::Error| {
        let kind = error.kind();
        kind == ErrorKind::ConnectionRefused || kind == ErrorKind::ConnectionReset
    };
    let ended = result.is_ok_and(|connected| connected.is_err_and(|error| is_refused(&error)));
    debug!(ended; "crash check of {address} finished");
    driver.send_event(Event::CrashChecked { ended, incarnation });
}
