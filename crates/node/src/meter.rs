//! Counters, gauges and latency histograms, for `wellplankctl status`, a statsd sink and scrapes by
//! Prometheus.

use super::*;
use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};
use wellplank_core::buffer::{Buffers, HeldBytes};

/// Prefix of all metrics sent to statsd.
const PREFIX: &str = "wellplank";

/// Upper bounds of the buckets of all histograms, in milliseconds: from a call within a data centre
/// to a long response, with the latency objectives and tolerated pauses of callers in between.
const BUCKET_BOUNDS_MS: [f64; 14] = [
    2.0, 5.0, 10.0, 25.0, 50.0, 100.0, 200.0, 400.0, 700.0, 1_500.0, 3_000.0, 4_500.0, 10_000.0,
    25_000.0,
];

/// What a latency histogram measures: one label value per variant.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Latency {
    /// A latency reported by the core.
    Core(Timing),
    /// Age of the configuration in force when a stream was cut.
    CutConfigurationAge,
    /// A call of the platform's store other than a long poll.
    Store,
}

/// Counters and histograms of an instance, shared by all clones.
#[derive(Clone)]
pub(crate) struct Meter {
    statsd: Option<Arc<StatsdClient>>,
    counters: IntCounterVec,
    customer_bytes: IntGaugeVec,
    held_bytes: IntGaugeVec,
    histograms: HistogramVec,
    instances: IntGauge,
    paused_streams: IntGauge,
    registry: Registry,
    resident: IntGauge,
    tick_gap: IntGauge,
}

impl Latency {
    fn name(self) -> &'static str {
        match self {
            Self::Core(Timing::Answer) => "answer",
            Self::Core(Timing::FirstEvent) => "first_event",
            Self::Core(Timing::EventInterval) => "pause",
            Self::Core(Timing::Resume) => "resume",
            Self::CutConfigurationAge => "cut_configuration_age",
            Self::Store => "store_call",
        }
    }
}

impl Meter {
    /// Adds `count` to a counter, also at the statsd sink.
    pub fn count(&self, counter: Counter, count: u64) {
        let name = counter.to_string();
        self.counters.with_label_values(&[&name]).inc_by(count);
        if let Some(client) = &self.statsd {
            // An unreachable sink must not stop the instance.
            let _ = client.count(&name, count.cast_signed());
        }
    }

    /// The values of all counters, by name.
    pub fn counts(&self) -> Vec<schema::Count> {
        let families = self.registry.gather();
        let counters = families
            .iter()
            .filter(|family| family.name().ends_with("_events_total"));
        let metrics = counters.flat_map(prometheus::proto::MetricFamily::get_metric);
        metrics
            .map(|metric| schema::Count {
                name: metric
                    .get_label()
                    .first()
                    .map_or("", |label| label.value())
                    .into(),
                value: metric.get_counter().get_value() as u64,
            })
            .collect()
    }

    /// Creates empty metrics; counters are also sent to the statsd server at `sink`, if any.
    pub fn new(sink: Option<SocketAddr>) -> Self {
        let counters = Opts::new("wellplank_events_total", "Events by their name.");
        let counters =
            IntCounterVec::new(counters, &["event"]).expect("metric and label names are valid");
        let histograms = HistogramOpts::new("wellplank_latency_ms", "Times in milliseconds.")
            .buckets(BUCKET_BOUNDS_MS.to_vec());
        let histograms =
            HistogramVec::new(histograms, &["what"]).expect("metric and label names are valid");
        let held_bytes = Opts::new("wellplank_held_bytes", "Bytes held, by what they are.");
        let held_bytes =
            IntGaugeVec::new(held_bytes, &["what"]).expect("metric and label names are valid");
        let customer_bytes = Opts::new(
            "wellplank_customer_held_bytes",
            "Bytes held for customers that have any, by what they are.",
        );
        let customer_bytes = IntGaugeVec::new(customer_bytes, &["customer", "what"])
            .expect("metric and label names are valid");
        let instances = IntGauge::new(
            "wellplank_instances",
            "Instances that this one shares limits and permits with, itself included.",
        )
        .expect("the metric name is valid");
        let paused_streams = IntGauge::new(
            "wellplank_paused_streams",
            "Streams that are not read, since their callers do not read.",
        )
        .expect("the metric name is valid");
        let resident = IntGauge::new(
            "wellplank_resident_bytes",
            "Resident memory of the process.",
        )
        .expect("the metric name is valid");
        let tick_gap = IntGauge::new(
            "wellplank_tick_gap_ms",
            "Longest time between two ticks of the core task in the last half second.",
        )
        .expect("the metric name is valid");
        let registry = Registry::new();
        for collector in [
            Box::new(counters.clone()) as Box<dyn prometheus::core::Collector>,
            Box::new(histograms.clone()),
            Box::new(held_bytes.clone()),
            Box::new(customer_bytes.clone()),
            Box::new(instances.clone()),
            Box::new(paused_streams.clone()),
            Box::new(resident.clone()),
            Box::new(tick_gap.clone()),
        ] {
            registry
                .register(collector)
                .expect("each metric is registered once");
        }
        Self {
            statsd: sink.and_then(Self::connect_statsd).map(Arc::new),
            counters,
            customer_bytes,
            held_bytes,
            histograms,
            instances,
            paused_streams,
            registry,
            resident,
            tick_gap,
        }
    }

    /// Adds an observation in milliseconds to the histogram of a latency.
    pub fn observe(&self, latency: Latency, millis: f64) {
        self.histograms
            .with_label_values(&[latency.name()])
            .observe(millis);
    }

    /// Sets the number of instances that this one shares limits and permits with.
    pub fn set_instances(&self, instances: u32) {
        self.instances.set(instances.into());
    }

    /// Sets the resident memory of the process, in bytes.
    pub fn set_resident(&self, bytes: u64) {
        self.resident.set(bytes.cast_signed());
    }

    /// Sets the longest recent time between two ticks of the core task.
    pub fn set_tick_gap(&self, gap: Duration) {
        self.tick_gap.set(gap.as_millis() as i64);
    }

    /// Sets the gauges of what is held for callers and upstreams.
    pub fn set_buffers(&self, buffers: &Buffers) {
        let set = |gauges: &IntGaugeVec, labels: &[&str], bytes: u64| {
            let gauge = gauges.with_label_values(labels);
            gauge.set(bytes.cast_signed());
        };
        let HeldBytes { answers, requests } = buffers.total();
        set(&self.held_bytes, &["answers"], answers);
        set(&self.held_bytes, &["largest_answer"], buffers.largest());
        set(&self.held_bytes, &["requests"], requests);
        self.paused_streams.set(buffers.paused().cast_signed());
        self.customer_bytes.reset();
        for (customer, held) in buffers.customers() {
            set(&self.customer_bytes, &[customer, "answers"], held.answers);
            set(&self.customer_bytes, &[customer, "requests"], held.requests);
        }
    }

    /// Sets the gauge of the bytes of answers that are being read.
    pub fn set_reading(&self, bytes: u64) {
        let gauge = self.held_bytes.with_label_values(&["reading"]);
        gauge.set(bytes.cast_signed());
    }

    /// All metrics in the Prometheus text format.
    pub fn render(&self) -> Vec<u8> {
        let mut page = Vec::new();
        let families = self.registry.gather();
        if let Err(error) = TextEncoder::new().encode(&families, &mut page) {
            warn!("failed to encode the metrics: {error}");
        }
        let dropped = logger::dropped_lines();
        let name = "wellplank_log_lines_dropped_total";
        page.extend_from_slice(format!("# TYPE {name} counter\n{name} {dropped}\n").as_bytes());
        page
    }

    fn connect_statsd(sink: SocketAddr) -> Option<StatsdClient> {
        let socket = std::net::UdpSocket::bind("0.0.0.0:0").ok()?;
        socket.set_nonblocking(true).ok()?;
        let sink = UdpMetricSink::from(sink, socket).ok()?;
        let queue = QueuingMetricSink::with_capacity(sink, 10_000);
        Some(Self::statsd_client(queue))
    }

    fn statsd_client(
        sink: impl MetricSink + Send + Sync + std::panic::RefUnwindSafe + 'static,
    ) -> StatsdClient {
        StatsdClient::from_sink(PREFIX, sink)
    }
}
