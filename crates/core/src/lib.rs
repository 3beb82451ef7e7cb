//! Decisions of wellplank without input or output.
//!
//! [`core::Core`] takes one [`event::Event`] at a time together with the current [`clock::Time`]
//! and answers with a list of [`effect::Effect`]. It reads no clock, opens no socket and starts no
//! thread, so the same settings, seed and events always give the same effects. The driver, in
//! another crate, delivers the events and carries out the effects. Its edge accepts the callers'
//! connections, and holds the bytes of relayed requests and responses, which the core never sees.

pub mod attempt;
pub mod availability;
pub mod bound;
pub mod break_off;
pub mod brittle;
pub mod budget;
pub mod buffer;
pub mod call_place;
pub mod claim;
pub mod clock;
pub mod config;
pub mod connections;
pub mod connectivity;
pub mod core;
pub mod counter;
pub mod cursor;
pub mod demand;
pub mod detector;
pub mod digest;
pub mod directory;
pub mod dissemination;
mod duration;
pub mod effect;
pub mod estimates;
pub mod event;
pub mod fingerprint;
pub mod incarnation;
pub mod informer;
pub mod informer_io;
pub mod invariant;
pub mod kind;
pub mod limit;
pub mod liveness;
pub mod members;
pub mod names;
pub mod notice;
pub mod open_request;
pub mod origin;
pub mod position;
pub mod quarantine;
pub mod queue;
pub mod rank;
pub mod request;
pub mod retry_window;
pub mod role;
pub mod roster;
pub mod sameness;
pub mod settings;
pub mod shutdown;
pub mod staleness;
pub mod store_calls;
pub mod stream_record;
pub mod upstream;
mod upstream_queue;
pub mod version;

mod admission;
mod capacity;
mod configuration_reads;
mod consistency;
mod contact;
mod dispatch;
mod ended;
mod engine_watch;
mod failure;
mod former_routes;
mod gateways;
mod list;
mod list_updates;
mod place;
mod relay;
mod route;
mod silence;
mod slot_wait;
mod stream;
mod suspicion;
mod tardiness;
mod timeout;
mod usage;
mod watch;
mod window;
mod worklist;

use {
    crate::core::{Core, DeferredRequest},
    attempt::Attempt,
    availability::{Availability, Span},
    bound::Bound,
    break_off::BreakOff,
    brittle::{Brittleness, Tolerance},
    budget::Budget,
    buffer::{Buffers, Reading},
    call_place::{Announced, BusyUpstream},
    claim::Claim,
    clock::Time,
    config::{Config, Policy, Priority},
    connectivity::{Announcement, Connectivity, Path},
    counter::{Counter, Timing},
    cursor::Cursor,
    demand::{Demand, DemandTracker},
    detector::StallDetector,
    digest::Digest,
    directory::{Audience, Lookups},
    duration::Durations,
    effect::Effect,
    ended::EndedIncarnations,
    estimates::{EngineSpeed, PoolEstimates},
    event::{Event, Failure, ListDelta, ListEntry, OutputToken},
    fingerprint::RequestFingerprint,
    former_routes::FormerRoutes,
    gateways::Gateways,
    incarnation::Incarnation,
    informer_io::CancelReason,
    invariant::Invariant,
    kind::Kind,
    limit::Limit,
    liveness::LossSource,
    members::{Members, View},
    names::Names,
    notice::Notice,
    origin::{Origin, Origins, RunId},
    position::Position,
    quarantine::CrashHistory,
    queue::Queue,
    rand::{RngExt, SeedableRng, seq::SliceRandom},
    rand_pcg::Pcg64Mcg,
    rank::{PoolRanks, Rank, Turn},
    request::{Request, State, Work},
    retry_window::{RetryClass, RetryWindow},
    role::{Role, WatcherRank},
    roster::{Change, Roster, RosterUpdate, UpdateOutcome},
    sameness::{EndedStreams, StreamId, TakenUp},
    settings::{
        CallAdmission, CallPlacement, LivenessMethod, QuarantineRule, ResumeMode, RetryBound,
        Routing, Settings, ShutdownPolicy, UrgencyMode, VersionPolicy, Yielding,
    },
    shutdown::Shutdown,
    slotmap::{SecondaryMap, SlotMap, new_key_type},
    staleness::StalenessBound,
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque},
        fmt::{self, Display, Formatter},
        net::{IpAddr, Ipv4Addr, SocketAddr},
        ops::RangeInclusive,
        sync::Arc,
    },
    store_calls::StoreCalls,
    stream_record::StreamRecord,
    suspicion::CrashSuspects,
    tardiness::Tardiness,
    upstream::{Health, Load, Upstream},
    usage::{OwnUsage, Usage},
    version::{Version, Versions},
    window::Window,
    worklist::Worklist,
};
