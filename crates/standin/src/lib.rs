//! Stand-ins of engines, plain services and the platform, for the demo, the measuring tool and the
//! tests. Not shipped.

pub mod alike;
pub mod asker;
pub mod awkward;
pub mod caller;
pub mod claims;
pub mod client;
pub mod collision;
pub mod common_cause;
pub mod control;
pub mod cost;
pub mod cuts;
pub mod demo;
pub mod departure;
pub mod endless;
pub mod endless_server;
pub mod endless_soak;
pub mod endless_upstream;
pub mod engine;
pub mod fake;
pub mod fleet;
pub mod flood;
pub mod host;
pub mod http;
pub mod layout;
pub mod learning;
pub mod leaving;
pub mod limited;
pub mod load;
pub mod matrix;
pub mod observer;
pub mod odd_entries;
pub mod order;
pub mod placing;
pub mod plain;
pub mod platform;
pub mod poison;
pub mod process;
pub mod proxy;
pub mod random;
pub mod rejoining;
pub mod relayed;
pub mod relaying;
pub mod report;
pub mod resume;
pub mod returning;
pub mod routing;
pub mod rush;
pub mod said;
pub mod scenario;
pub mod shelf;
pub mod silent;
pub mod site;
pub mod soak;
pub mod stopping;
pub mod stream;
pub mod surge;
pub mod timeline;
pub mod token;
pub mod trial;
pub mod truncated;
pub mod uplink;
pub mod urgency;
pub mod versions;
pub mod worker;
pub mod world;

mod apart;
mod arguments;
mod ask;
mod batch;
mod bench;
mod cache;
mod callers;
mod crowd;
mod daemon;
mod ephemeral;
mod keyvalue;
mod lateness;
mod patron;
mod pool;
mod priority_batch;
mod registry;
mod runner;
mod scene;
mod word;

pub use {
    caller::Caller, engine::Engine, fleet::Fleet, host::Host, plain::Plain, platform::Platform,
    site::Site,
};

use {
    bytes::Bytes,
    clap::{Arg, ArgMatches, Command},
    futures_util::{Stream, StreamExt},
    http_body_util::{BodyExt, Full},
    hyper::{StatusCode, header},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    salvo::{Listener, Request, Response, Router, Server, conn::TcpListener},
    serde::{Deserialize, Serialize},
    serde_json::{Value, json},
    sse_stream::{Sse, SseStream},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
        net::SocketAddr,
        process::ExitCode,
        time::{Duration, Instant},
    },
    token::Chain,
    tokio::{
        sync::{mpsc, oneshot},
        time::{MissedTickBehavior, interval, sleep},
    },
    uuid::Uuid,
};

/// Runs the command that the arguments name.
pub fn run() -> ExitCode {
    arguments::run(&arguments::command().get_matches())
}
