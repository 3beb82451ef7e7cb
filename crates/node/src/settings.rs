//! Settings of an instance, read from a JSON file.

use super::*;

/// Bytes of the secret that authenticates cursors.
const SECRET_BYTES: usize = 32;

/// Megabits a second that an instance's link carries at least, where nothing is said.
const DEFAULT_LINK_MBPS: f64 = 10.0;

/// Longest time a setting may give, in milliseconds.
pub(crate) const MILLIS_MAX: u64 = 3_600_000;

/// Settings of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Bytes of a caller's body, at most.
    pub body_max: usize,
    /// Bounds and rates of the decisions.
    pub core: wellplank_core::settings::Settings,
    /// Data centre that this instance stands in.
    pub data_centre: String,
    /// Settings of an instance on the users' platform; `None` elsewhere.
    pub hosted: Option<Hosted>,
    /// Time between two heartbeats to a peer, in milliseconds.
    pub heartbeat_ms: u64,
    /// Unique name in the platform's list.
    pub instance: String,
    /// Where it listens.
    pub listen: Listen,
    /// Time between two reads of the platform's list, in milliseconds.
    pub list_ms: u64,
    /// Where counters are sent, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// Key that operators must give.
    pub operator_key: String,
    /// Outgoing links to other instances, at most.
    pub peer_links: usize,
    /// Where the platform's services are.
    pub platform: Platform,
    /// Secret that authenticates cursors; the same on every instance.
    pub secret: cursor::Secret,
    /// Time without a new request after which a stopping instance leaves, in milliseconds.
    pub settle_ms: u64,
    /// Time after which a call of the key-value service has failed, in milliseconds.
    pub store_timeout_ms: u64,
    /// Claim writes a second that all instances together may make.
    pub claim_writes: u64,
}

/// Settings of an instance on the users' platform. There it has no operators' port and no links to
/// other instances; what it must know lies in the platform's store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Hosted {
    /// Time within which a change of the configuration must be in force, in milliseconds.
    pub apply_ms: u64,
    /// Time from the signal to stop to the end that the platform gives, in milliseconds.
    pub grace_ms: u64,
    /// Time between two writes of an upstream's entry in the store, in milliseconds.
    pub heartbeat_ms: u64,
    /// What the instance's own link carries, in megabits a second.
    pub link_mbps: f64,
    /// Time in which a leaving upstream must get no more work, in milliseconds.
    pub leave_ms: u64,
    /// Where the page of counters is served.
    pub metrics: SocketAddr,
    /// Where other instances' datagrams come.
    pub peers: SocketAddr,
    /// Where the platform asks whether the instance is ready.
    pub ready: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
}

/// Addresses that an instance listens on.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listen {
    /// Callers.
    pub callers: SocketAddr,
    /// Operators.
    pub operators: SocketAddr,
    /// Other instances.
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
    /// Reads settings; every fault of the text in one pass.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        let value = serde_json::from_str(text).map_err(|error| {
            vec![Fault {
                place: "file".into(),
                text: format!("not json: {error}"),
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

    /// A file that holds every setting at its default, with examples where there is none.
    pub fn defaults() -> Value {
        json!({
            "body_max": 4 << 20,
            "claim_writes": 160,
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

    /// Reads what every instance has.
    fn read_common(reader: &mut Reader, hosted: Option<Hosted>) -> Self {
        let unspecified = SocketAddr::from(([0, 0, 0, 0], 0));
        let data_centre = reader.string("data_centre", None).unwrap_or_default();
        let core = core_settings::read(reader.section("core"));
        Self {
            body_max: reader.number("body_max", 4 << 20, 1_024..=256 << 20) as usize,
            claim_writes: reader.number("claim_writes", 160, 1..=10_000),
            core,
            data_centre,
            hosted,
            heartbeat_ms: reader.number("heartbeat_ms", 500, 50..=10_000),
            instance: reader.string("instance", None).unwrap_or_default(),
            list_ms: reader.number("list_ms", 1_000, 50..=60_000),
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
            apply_ms: reader.number("apply_ms", 2_000, 100..=MILLIS_MAX),
            grace_ms: reader.number("grace_ms", 8_000, 100..=MILLIS_MAX),
            heartbeat_ms: reader.number("heartbeat_ms", 1_200, 50..=MILLIS_MAX),
            link_mbps: reader.float("link_mbps", DEFAULT_LINK_MBPS, 0.1..=1e6),
            leave_ms: reader.number("leave_ms", 2_000, 100..=MILLIS_MAX),
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

/// Reads hexadecimal digits.
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
