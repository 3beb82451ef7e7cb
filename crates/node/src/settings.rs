//! Settings of an instance, read from a JSON file.

use super::*;

/// Length of the secret that authenticates cursors, in bytes.
const SECRET_BYTES: usize = 32;

/// Default of `link_mbps`: the minimum bandwidth of an instance's link, in megabits per second.
const DEFAULT_LINK_MBPS: f64 = 10.0;

/// Place of a fault of the whole file: it is no JSON document.
pub(crate) const FILE: &str = "file";

/// Default of `hosted.descriptors`: the descriptors of the users' smallest machines.
const DEFAULT_DESCRIPTORS: u64 = 4_100;

/// Default of `hosted.memory_mb`: the memory of the users' smallest machines, in megabytes.
const DEFAULT_MEMORY_MB: u64 = 88;

/// Default of `listen_ms`: the operating system keeps the port of a closed connection for 60 s.
const DEFAULT_LISTEN_MS: u64 = 90_000;

/// Upper limit of settings that are times, in milliseconds.
pub(crate) const MILLIS_MAX: u64 = 3_600_000;

/// Settings of an instance; the fields have the names of the settings.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Time for which a stopping instance accepts new requests, in milliseconds.
    pub accept_ms: u64,
    /// Maximum size of a request body, in bytes.
    pub body_max: usize,
    /// Limits, rates and policies of the core.
    pub core: wellplank_core::settings::Settings,
    /// Time that callers have to send their bodies and to read their answers once a stopping instance has settled, in
    /// milliseconds.
    pub close_ms: u64,
    /// Data centre of this instance.
    pub data_centre: String,
    /// Settings of an instance on the users' platform; `None` elsewhere.
    pub hosted: Option<Hosted>,
    /// Interval between heartbeats to a peer, in milliseconds.
    pub heartbeat_ms: u64,
    /// Unique name of the instance in the platform's list.
    pub instance: String,
    /// Addresses that the instance listens on.
    pub listen: Listen,
    /// Time for which a starting instance waits for ports that are taken, in milliseconds.
    pub listen_ms: u64,
    /// Interval between reads of the platform's list, in milliseconds.
    pub list_ms: u64,
    /// Statsd server that counters are sent to; `None` to send none.
    pub metrics: Option<SocketAddr>,
    /// Key that authenticates operators.
    pub operator_key: String,
    /// Maximum number of outgoing links to other instances.
    pub peer_links: usize,
    /// Addresses of the platform's services.
    pub platform: Platform,
    /// Secret that authenticates cursors; the same on every instance.
    pub secret: cursor::Secret,
    /// Time without running requests after which a stopping instance exits, in milliseconds.
    pub settle_ms: u64,
    /// Timeout of calls to the key-value service, in milliseconds.
    pub store_timeout_ms: u64,
    /// Maximum rate of claim writes of all instances together, per second.
    pub claim_writes: u64,
}

/// Settings of an instance on the users' platform. There it has no port for operators and no links
/// to other instances; the state that it depends on is in the platform's store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hosted {
    /// Time within which a change of the configuration must take effect, in milliseconds.
    pub apply_ms: u64,
    /// Descriptors that the process may open; the operating system may allow fewer.
    pub descriptors: u64,
    /// Grace period from SIGTERM until the platform kills the process, in milliseconds.
    pub grace_ms: u64,
    /// Interval at which an upstream rewrites its entry in the store, in milliseconds.
    pub heartbeat_ms: u64,
    /// Bandwidth of the instance's own link, in megabits per second.
    pub link_mbps: f64,
    /// Time within which a draining upstream must stop being given work, in milliseconds.
    pub leave_ms: u64,
    /// Memory that the process may take, in bytes.
    pub memory_bytes: u64,
    /// Address that serves the metrics to Prometheus.
    pub metrics: SocketAddr,
    /// UDP address for gossip from other instances.
    pub peers: SocketAddr,
    /// Address that serves the platform's readiness checks.
    pub ready: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
}

/// Addresses that an instance listens on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listen {
    /// For callers, over HTTP.
    pub callers: SocketAddr,
    /// For operators, over gRPC.
    pub operators: SocketAddr,
    /// For links from other instances.
    pub peers: SocketAddr,
}

/// Addresses of the platform's services.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Platform {
    /// The list of instances.
    pub list: SocketAddr,
    /// The key-value service.
    pub store: SocketAddr,
}

impl Settings {
    /// Parses settings, or returns all of their faults.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let value = serde_json::from_str(text).map_err(|error| {
            vec![Fault {
                place: FILE.into(),
                text: format!("invalid JSON: {error}"),
            }]
        })?;
        let mut faults = Vec::new();
        let mut reader = Reader::new(value, &mut faults);
        let settings = Self::read(&mut reader);
        reader.finish();
        if faults.is_empty() {
            Ok(settings)
        } else {
            Err(faults)
        }
    }

    /// A settings file with all settings at their defaults, or at an example if they have none.
    pub fn defaults() -> Value {
        json!({
            "accept_ms": 10_000,
            "body_max": 4 << 20,
            "claim_writes": 160,
            "close_ms": 10_000,
            "core": core_settings::defaults(),
            "data_centre": "a",
            "heartbeat_ms": 500,
            "instance": "entry-1",
            "list_ms": 1000,
            "listen": {
                "callers": "127.0.0.1:8080",
                "operators": "127.0.0.1:8081",
                "peers": "127.0.0.1:8082",
            },
            "listen_ms": DEFAULT_LISTEN_MS,
            "metrics": null,
            "operator_key": "change-me",
            "peer_links": 4,
            "platform": { "list": "127.0.0.1:9000", "store": "127.0.0.1:9000" },
            "secret": "00".repeat(SECRET_BYTES),
            "settle_ms": 3000,
            "store_timeout_ms": 1000,
        })
    }

    fn read(reader: &mut Reader) -> Self {
        let hosted = reader.section_or_none("hosted").map(Self::read_hosted);
        if hosted.is_some() {
            return Self::read_common(reader, hosted);
        }
        Self {
            operator_key: reader.string("operator_key", None).unwrap_or_default(),
            platform: Self::read_platform(reader.section("platform")),
            secret: Self::read_secret(reader),
            ..Self::read_common(reader, None)
        }
    }

    /// Reads the settings of hosted and other instances alike.
    fn read_common(reader: &mut Reader, hosted: Option<Hosted>) -> Self {
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        let data_centre = reader.string("data_centre", None).unwrap_or_default();
        let mut core = core_settings::read(reader.section("core"));
        if let Some(hosted) = &hosted {
            // What is held must fit into the machine, whatever the file says; one whole answer passes.
            let parts = memory::Parts::of(hosted.memory_bytes);
            core.held_bytes_max = core.held_bytes_max.min(parts.held_bytes);
            let answers = &mut core.answers;
            let answers_max = parts.answers_bytes.max(answers.body_bytes);
            answers.instance_bytes = answers.instance_bytes.min(answers_max);
        }
        Self {
            accept_ms: reader.number("accept_ms", 10_000, 0..=MILLIS_MAX),
            body_max: reader.number("body_max", 4 << 20, 1_024..=256 << 20) as usize,
            claim_writes: reader.number("claim_writes", 160, 1..=10_000),
            close_ms: reader.number("close_ms", 10_000, 0..=MILLIS_MAX),
            core,
            data_centre,
            hosted,
            heartbeat_ms: reader.number("heartbeat_ms", 500, 50..=10_000),
            instance: reader.string("instance", None).unwrap_or_default(),
            list_ms: reader.number("list_ms", 1_000, 50..=60_000),
            listen_ms: reader.number("listen_ms", DEFAULT_LISTEN_MS, 0..=MILLIS_MAX),
            listen: Self::read_listen(reader.section("listen"), hosted.is_some()),
            metrics: reader.address_or_none("metrics"),
            operator_key: String::new(),
            peer_links: reader.number("peer_links", 4, 1..=16) as usize,
            platform: Platform {
                list: unspecified,
                store: unspecified,
            },
            secret: [0; SECRET_BYTES],
            settle_ms: reader.number("settle_ms", 3_000, 0..=MILLIS_MAX),
            store_timeout_ms: reader.number("store_timeout_ms", 1_000, 10..=60_000),
        }
    }

    fn read_hosted(mut reader: Reader) -> Hosted {
        let hosted = Hosted {
            apply_ms: reader.millis("apply_ms", 2_000, 100..=MILLIS_MAX),
            descriptors: reader.number("descriptors", DEFAULT_DESCRIPTORS, 64..=1 << 30),
            grace_ms: reader.millis("grace_ms", 8_000, 100..=MILLIS_MAX),
            heartbeat_ms: reader.millis("heartbeat_ms", 1_200, 50..=MILLIS_MAX),
            link_mbps: reader.float("link_mbps", DEFAULT_LINK_MBPS, 0.1..=1e6),
            leave_ms: reader.millis("leave_ms", 2_000, 100..=MILLIS_MAX),
            memory_bytes: reader.number("memory_mb", DEFAULT_MEMORY_MB, 16..=1 << 20) << 20,
            metrics: reader.address("metrics"),
            peers: reader.address("peers"),
            ready: reader.address("ready"),
            store: reader.address("store"),
        };
        reader.finish();
        hosted
    }

    fn read_listen(mut reader: Reader, hosted: bool) -> Listen {
        let callers = reader.address("callers");
        let listen = if hosted {
            Listen {
                callers,
                operators: callers,
                peers: callers,
            }
        } else {
            Listen {
                callers,
                operators: reader.address("operators"),
                peers: reader.address("peers"),
            }
        };
        reader.finish();
        listen
    }

    fn read_platform(mut reader: Reader) -> Platform {
        let platform = Platform {
            list: reader.address("list"),
            store: reader.address("store"),
        };
        reader.finish();
        platform
    }

    fn read_secret(reader: &mut Reader) -> cursor::Secret {
        let Some(text) = reader.string("secret", None) else {
            return [0; SECRET_BYTES];
        };
        parse_hex(&text).unwrap_or_else(|| {
            reader.add_fault("secret", "must be 64 hexadecimal digits");
            [0; SECRET_BYTES]
        })
    }
}

/// Parses `text` as `N` bytes in hexadecimal; `None` if that fails.
pub fn parse_hex<const N: usize>(text: &str) -> Option<[u8; N]> {
    if text.len() != 2 * N || !text.is_ascii() {
        return None;
    }
    let mut bytes = [0; N];
    for (index, byte) in bytes.iter_mut().enumerate() {
        *byte = u8::from_str_radix(&text[2 * index..2 * index + 2], 16).ok()?;
    }
    Some(bytes)
}
