//! Volume of control traffic, sent and received: probes, the list of instances, the key-value service and other instances.
//! Bytes are counted above TCP.

use super::*;

/// Counters of control traffic; clones share them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Traffic(Arc<Counters>);

#[derive(Debug, Default)]
struct Counters {
    bytes: AtomicU64,
    messages: AtomicU64,
}

impl Traffic {
    /// Counts one message of `bytes` bytes.
    pub fn count(&self, bytes: usize) {
        self.0.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        self.0.messages.fetch_add(1, Ordering::Relaxed);
    }

    /// The counters with their names.
    pub fn counts(&self) -> [schema::Count; 2] {
        let count = |name: &str, value: &AtomicU64| schema::Count {
            name: name.into(),
            value: value.load(Ordering::Relaxed),
        };
        [
            count("control.bytes", &self.0.bytes),
            count("control.messages", &self.0.messages),
        ]
    }
}
