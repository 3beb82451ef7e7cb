//! Checks whether an upstream whose connections broke has crashed: if so, nothing listens at its address.

use super::*;
use std::io::ErrorKind;

/// Tries to connect and reports the outcome to the core task. Only a refused or reset connection proves that the process
/// has ended: a timeout may also be due to a broken link to a running process.
pub(crate) async fn run(driver: Driver, address: SocketAddr, incarnation: Incarnation) {
    let connected = connection::connect(address).await;
    let ended = connected.is_err_and(|error| {
        let kind = error.kind();
        kind == ErrorKind::ConnectionRefused || kind == ErrorKind::ConnectionReset
    });
    debug!(ended; "crash check of {address} finished");
    driver.send_event(Event::CrashChecked { ended, incarnation });
}
