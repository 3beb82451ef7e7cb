//! One instance of wellplank: the core and the tasks that own its sockets.

// The settings file at its defaults is one `json!` of more entries than the default limit permits.
#![recursion_limit = "256"]

pub mod arguments;
pub mod clock;
pub mod declaration;
pub mod driver;
pub mod ended_announcements;
pub mod error;
pub mod exchange;
pub mod hosted;
pub mod instance;
pub mod listener;
pub mod logger;
pub mod members;
pub mod pacer;
pub mod reader;
pub mod settings;
pub mod store_writer;
pub mod tasks;

mod bounded_connection;
mod bounded_connector;
mod caller;
mod caller_connections;
mod caller_socket;
mod calls;
mod claim_forwarder;
mod claimer;
mod committer;
mod completion_response;
mod completions;
mod connection;
mod core_settings;
mod crash_check;
mod crash_history;
mod datagram;
mod engine;
mod event_queue;
mod forward;
mod gossip;
mod http;
mod instance_list;
mod memory;
mod meter;
mod operator;
mod outlet;
mod peer;
mod plain;
mod platform_store;
mod probe;
mod process_state;
mod read_budget;
mod relay;
mod reload;
mod reply;
mod request_log;
mod revision;
mod signals;
mod store;
mod store_sync;
mod traffic;
mod tunnel;
mod unanswered;
mod unknown_headers;
mod version_names;
mod whole_body;

pub use {caller::fingerprint, clock::Clock, error::Error, instance::Instance, settings::Settings};

use {
    base64::{Engine as _, prelude::BASE64_STANDARD, prelude::BASE64_URL_SAFE_NO_PAD},
    bounded_connection::{BoundedConnection, ReceiveLimit},
    bytes::{Bytes, BytesMut},
    cadence::{Counted, MetricSink, QueuingMetricSink, StatsdClient, UdpMetricSink},
    clap::{Arg, ArgMatches, Command},
    driver::Driver,
    futures_util::{SinkExt, Stream, StreamExt},
    http::HttpClient,
    http_body_util::{BodyExt, BodyStream, Full, StreamBody},
    hyper::{Request, StatusCode, header},
    hyper_util::{
        client::legacy::{Client, connect::HttpConnector},
        rt::TokioExecutor,
    },
    listener::Port,
    log::{debug, error, info, warn},
    outlet::Outlet,
    prost::Message as _,
    read_budget::ReadBudget,
    reader::{Fault, Reader},
    reply::Reply,
    salvo::{Router, Server},
    serde::Deserialize,
    serde_json::{Map, Value, json},
    sse_stream::{Sse, SseStream},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque},
        fmt::{self, Display, Formatter},
        net::SocketAddr,
        ops::RangeInclusive,
        path::{Path, PathBuf},
        process::ExitCode,
        sync::{
            Arc,
            atomic::{AtomicU64, Ordering},
        },
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
    store::Store,
    tokio::{
        sync::{mpsc, oneshot, watch},
        task::JoinHandle,
        time::{MissedTickBehavior, interval, sleep, timeout},
    },
    traffic::Traffic,
    uuid::Uuid,
    wellplank_core::{
        attempt,
        availability::Availability,
        claim::{self, Claim},
        clock::Time,
        config::{self, Config},
        connectivity,
        core::Core,
        counter::{Counter, Timing},
        cursor,
        effect::{self, Effect, Outbound, RequestLog, StatusChange, Step},
        event::{self, ClaimOutcome, Event, Failure, OutputToken, Submission},
        incarnation::Incarnation,
        kind::{Kind, Ran},
        position::Position,
        request::{self, Caller, Work},
        shutdown,
        stream_record::{Stage, StreamRecord},
        upstream::{self, Load},
    },
    wellplank_platform as platform,
    wellplank_wire::{
        frame, operator as schema,
        peer::{self as peers, Head},
    },
};

/// Parses the command line, runs its subcommand and returns the exit code of the process.
pub fn run() -> ExitCode {
    run_command(&arguments::command().get_matches())
}

/// Runs the subcommand that was parsed into `matches`, writes the lines that are still queued and returns the exit code of
/// the process.
pub fn run_command(matches: &ArgMatches) -> ExitCode {
    let result = arguments::run(matches);
    logger::flush();
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            error.exit_code()
        }
    }
}
