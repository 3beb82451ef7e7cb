//! Randomised runs of the core alone: events of every kind in any order, several at one time, in virtual time, from a seed.
//!
//! Guards against an event that removes an entry of the state and goes on to use it, which ends the process, and against
//! requests that end twice, never, or with events behind their end.

use {
    googletest::prelude::*,
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    std::{
        cell::RefCell,
        collections::{BTreeMap, BTreeSet, HashMap},
        net::SocketAddr,
        panic::{AssertUnwindSafe, catch_unwind, set_hook, take_hook},
        sync::{Arc, Once},
    },
    wellplank_core::{
        attempt,
        brittle::Brittleness,
        call_place::BusyUpstream,
        clock::Time,
        config::{
            self, Access, Config, Customer, Model, Policy, Priority, Route, Service, Share, Target,
        },
        core::Core,
        counter::Counter,
        demand::{Demand, FinishedCall},
        effect::{self, Effect, Outbound},
        estimates::EngineSpeed,
        event::{
            CallerRead, ClaimOutcome, Event, Failure, ListDelta, ListEntry, OutputToken,
            Submission, Verdict,
        },
        fingerprint::RequestFingerprint,
        incarnation::Incarnation,
        limit::{Limit, Rate},
        members::View,
        notice::{Backoff, Notice},
        origin::RunId,
        position::Position,
        quarantine::{CrashHistory, Involvement},
        rank::Rank,
        request::{self, Caller, Relay, Work},
        settings::{
            CallAdmission, CallPlacement, LimitHolders, LivenessMethod, QuarantineRule, ResumeMode,
            RetryBound, Routing, Settings, UrgencyMode, VersionPolicy, Yielding,
        },
        stream_record::{Stage, StreamRecord},
        upstream::{self, Load},
        version::Version,
    },
};

mod oracle;
mod steps;
mod world;

use world::{Sent, World};

/// Cases of one run in CI, of which each takes about 15 ms in a debug build.
const CASES: u64 = 300;

static RECORD_PANICS: Once = Once::new();

thread_local! {
    /// The last panic of this thread.
    static LAST_PANIC: RefCell<String> = const { RefCell::new(String::new()) };
}

/// Runs a case; returns what must hold and did not.
fn case(seed: u64) -> Vec<String> {
    RECORD_PANICS.call_once(record_panics);
    let run = || {
        let mut world = World::new(seed);
        world.run();
        world.violations
    };
    catch_unwind(AssertUnwindSafe(run)).unwrap_or_else(|_| vec![LAST_PANIC.take()])
}

/// Lets the thread's last panic be kept with its place, which what unwinds does not have.
fn record_panics() {
    let report = take_hook();
    set_hook(Box::new(move |panic| {
        LAST_PANIC.set(panic.to_string());
        report(panic);
    }));
}

/// Runs cases; returns the seeds of those in which something must hold and did not, with the first of it.
fn failures(seeds: std::ops::Range<u64>) -> Vec<(u64, String)> {
    let first = |seed: u64| Some((seed, case(seed).into_iter().next()?));
    seeds.filter_map(first).collect()
}

/// A variable of the environment, or a default.
fn variable(name: &str, default: u64) -> u64 {
    let value = std::env::var(name).ok();
    value
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

#[gtest]
fn events_in_any_order_leave_a_consistent_state_and_end_each_request_once() {
    expect_that!(failures(0..CASES), is_empty());
}

/// Run by hand: `CASES=20000 FIRST_SEED=0 cargo test -p wellplank-core --test disorder -- --ignored --nocapture`.
#[gtest]
#[ignore = "takes minutes; run by hand"]
fn many_cases() {
    let first = variable("FIRST_SEED", 0);
    let failures = failures(first..first + variable("CASES", 10_000));
    for (seed, failure) in &failures {
        println!("seed {seed}: {failure}");
    }
    expect_that!(failures, is_empty());
}
