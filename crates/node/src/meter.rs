//! Counters: kept for `wellplankctl status` and sent to a statsd sink.

use super::*;

/// Prefix of every metric.
const PREFIX: &str = "wellplank";

/// Counters of an instance.
pub(crate) struct Meter {
    client: Option<StatsdClient>,
    counts: BTreeMap<Counter, u64>,
}

impl Meter {
    /// Counts something.
    pub fn count(&mut self, counter: Counter, count: u64) {
        *self.counts.entry(counter).or_default() += count;
        if let Some(client) = &self.client {
            // A sink that is away must not stop the instance.
            let _ = client.count(&counter.to_string(), count.cast_signed());
        }
    }

    /// All counts by name.
    pub fn counts(&self) -> Vec<schema::Count> {
        self.counts
            .iter()
            .map(|(counter, value)| schema::Count {
                name: counter.to_string(),
                value: *value,
            })
            .collect()
    }

    /// Counters that are sent to `sink`, if one is given.
    pub fn new(sink: Option<SocketAddr>) -> Self {
        Self {
            client: sink.and_then(Self::client),
            counts: BTreeMap::new(),
        }
    }

    fn client(sink: SocketAddr) -> Option<StatsdClient> {
        let socket = std::net::UdpSocket::bind("0.0.0.0:0").ok()?;
        socket.set_nonblocking(true).ok()?;
        let sink = UdpMetricSink::from(sink, socket).ok()?;
        let queue = QueuingMetricSink::with_capacity(sink, 10_000);
        Some(Self::statsd(queue))
    }

    fn statsd(
        sink: impl MetricSink + Send + Sync + std::panic::RefUnwindSafe + 'static,
    ) -> StatsdClient {
        StatsdClient::from_sink(PREFIX, sink)
    }
}
