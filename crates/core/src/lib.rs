//! Decisions of wellplank without input or output.
//!
//! [`core::Core`] takes one [`event::Event`] at a time together with the current [`clock::Time`]
//! and answers with a list of [`effect::Effect`]. It reads no clock, opens no socket and starts no
//! thread, so the same settings, seed and events always give the same effects.

pub mod absence;
pub mod attempt;
pub mod bound;
pub mod budget;
pub mod claim;
pub mod clock;
pub mod config;
pub mod core;
pub mod counter;
pub mod cursor;
pub mod demand;
pub mod detector;
pub mod digest;
pub mod effect;
pub mod estimates;
pub mod event;
pub mod informer;
pub mod invariant;
pub mod kind;
pub mod lesson;
pub mod life;
pub mod limit;
pub mod line;
pub mod members;
pub mod notice;
pub mod position;
pub mod print;
pub mod quarantine;
pub mod queue;
pub mod request;
pub mod role;
pub mod roster;
pub mod settings;
pub mod sighting;
pub mod upstream;

mod admission;
mod capacity;
mod dispatch;
mod failure;
mod place;
mod relay;
mod route;
mod stream;
mod suspicion;
mod timeout;
mod usage;
mod version;
mod watch;
mod window;

use {
    crate::core::{Core, Early},
    absence::{Absence, Span},
    attempt::Attempt,
    bound::Bound,
    budget::Budget,
    claim::Claim,
    clock::Time,
    config::{Config, Policy, Priority},
    counter::{Counter, Timing},
    cursor::Cursor,
    demand::{Demand, DemandTracker},
    detector::Detector,
    digest::Digest,
    effect::Effect,
    estimates::{EngineSpeed, PoolEstimates},
    event::{Event, Failure, Listed, Piece},
    invariant::Invariant,
    kind::Kind,
    lesson::Why,
    life::Life,
    limit::Limit,
    line::Line,
    members::{Members, View},
    notice::Notice,
    position::Position,
    print::Print,
    quarantine::CrashHistory,
    queue::Queue,
    rand::{RngExt, SeedableRng, seq::SliceRandom},
    rand_pcg::Pcg64Mcg,
    request::{Request, State, Work},
    role::{Role, Turn},
    roster::{Change, Roster, Word, Worth},
    settings::{QuarantineRule, ResumeMode, Routing, Settings},
    sighting::Sighting,
    slotmap::{SecondaryMap, SlotMap, new_key_type},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
        fmt::{self, Display, Formatter},
        net::SocketAddr,
        ops::RangeInclusive,
        sync::Arc,
    },
    suspicion::Suspicion,
    upstream::{Health, Load, Upstream},
    usage::{Own, Usage},
    window::Window,
};
