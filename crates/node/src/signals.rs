//! Signals that end the process or have it read its settings again.

use super::*;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// Listeners that were installed at the start of the process, by the number of their signal, until they are taken. A
/// signal that arrived meanwhile is reported by the first wait.
static INSTALLED: Mutex<BTreeMap<i32, Signal>> = Mutex::new(BTreeMap::new());

/// Installs the handlers of all signals that the process handles; until then each of them ends it. Must be called within
/// a runtime.
pub(crate) fn install() -> std::io::Result<()> {
    for kind in [
        SignalKind::hangup(),
        SignalKind::interrupt(),
        SignalKind::terminate(),
    ] {
        let listener = signal(kind)?;
        installed().insert(kind.as_raw_value(), listener);
    }
    Ok(())
}

/// The listener that was installed for a signal, or a new one, which reports signals from now on.
pub(crate) fn take(kind: SignalKind) -> Signal {
    let listener = installed().remove(&kind.as_raw_value());
    listener.unwrap_or_else(|| signal(kind).expect("a signal handler can be installed"))
}

/// Waits for SIGTERM or SIGINT.
pub(crate) async fn wait_for_termination() {
    let mut interrupt = take(SignalKind::interrupt());
    let mut terminate = take(SignalKind::terminate());
    tokio::select! {
        _ = interrupt.recv() => {}
        _ = terminate.recv() => {}
    }
}

fn installed() -> MutexGuard<'static, BTreeMap<i32, Signal>> {
    INSTALLED.lock().unwrap_or_else(PoisonError::into_inner)
}
