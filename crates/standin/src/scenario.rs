//! Randomised runs of fleets that learn from the store, and the shortest run that breaks a rule.

use super::*;
use observer::Rules;
use proptest::{
    prelude::*,
    test_runner::{Config, TestError, TestRunner},
};
use std::sync::atomic::{AtomicU64, Ordering};
use trial::{Act, Failing, Outcome, Run};

/// Time that a run goes on behind its last step, in milliseconds: a watch that hangs is noticed in it.
const BEHIND_MS: u64 = 16_000;

/// Time within which steps come, in milliseconds.
const STEPS_MS: u64 = 24_000;

/// Steps of a run, at most.
const STEPS: usize = 14;

/// Numbers of instances of fleets in which each watches the store: alone, a pair, the users' smaller sites.
pub const SMALL: &[usize] = &[1, 2, 6];

/// Numbers of instances of fleets in which a few watch for the others: just above the size, and more.
pub const LARGE: &[usize] = &[14, 24];

/// Numbers of instances of fleets whose data centres hold so many that updates are passed on.
pub const HUGE: &[usize] = &[40, 80];

/// Bounds of the rules in milliseconds, as on the users' sites.
const LEAVE_MS: [u64; 3] = [2_000, 3_000, 4_000];

/// Times that a search of a shorter run may take.
const SHRINKS: u32 = 4_000;

/// Time for which the store is silent, in milliseconds. A shorter silence may fall between two looks at the other
/// instances, 2 s apart, and take nothing but a watch, which then waits to its end.
fn silence() -> impl Strategy<Value = u64> {
    prop_oneof![2_700..5_000_u64, 5_000..11_000_u64]
}

/// The store fails for some time.
fn fails() -> impl Strategy<Value = (Failing, u64)> {
    prop_oneof![
        silence().prop_map(|millis| (Failing::Silent, millis)),
        millis().prop_map(|millis| (Failing::Busy, millis)),
    ]
}

/// How long something lasts, in milliseconds.
fn millis() -> impl Strategy<Value = u64> {
    prop_oneof![100..1_500_u64, 1_500..5_000_u64, 5_000..11_000_u64]
}

/// Something that happens.
fn act() -> impl Strategy<Value = Act> {
    let number = 0..24_usize;
    prop_oneof![
        4 => (fails(), any::<bool>()).prop_map(|((how, millis), lapse)| Act::Away(how, millis, lapse)),
        4 => Just(Act::Configure),
        1 => number.clone().prop_map(Act::Crash),
        2 => Just(Act::CutWatches),
        3 => number.clone().prop_map(Act::Depart),
        2 => Just(Act::Enter),
        2 => Just(Act::Forget),
        1 => (number.clone(), 100..4_000_u64).prop_map(|(node, millis)| Act::Freeze(node, millis)),
        2 => (1..4_usize).prop_map(Act::Hush),
        1 => (number.clone(), millis()).prop_map(|(node, millis)| Act::Isolate(node, millis)),
        1 => (number.clone(), 500..3_000_u64).prop_map(|(node, millis)| Act::Kill(node, millis)),
        1 => (500..3_000_u64).prop_map(Act::KillAll),
        5 => number.clone().prop_map(Act::Leave),
        1 => (1..60_u64, millis()).prop_map(|(percent, millis)| Act::LoseDatagrams(percent, millis)),
        3 => (1..5_usize, fails()).prop_map(|(each, (how, millis))| Act::Refuse(each, how, millis)),
        2 => number.clone().prop_map(Act::Restart),
        1 => (10..100_u64, millis()).prop_map(|(times, millis)| Act::Slow(times, millis)),
        2 => (number.clone(), millis()).prop_map(|(upstream, millis)| Act::Spoil(upstream, millis)),
    ]
}

/// Whether the store comes back from older copies in runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Drills {
    /// Beside all other faults.
    Among,
    /// Never.
    None,
}

/// The store comes back from an older copy, or anything else happens.
fn act_or_drill(drills: Drills) -> BoxedStrategy<Act> {
    let drill = (
        100..5_000_u64,
        prop_oneof![1..50_u64, 50..1_000_u64, 1_000..10_000_u64],
    )
        .prop_map(|(age_ms, away_ms)| Act::Drill(age_ms, away_ms));
    match drills {
        Drills::Among => prop_oneof![1 => drill, 3 => act()].boxed(),
        Drills::None => act().boxed(),
    }
}

/// Runs of fleets with such numbers of instances.
pub fn runs(sizes: &'static [usize], drills: Drills) -> impl Strategy<Value = Run> {
    let steps = proptest::collection::vec((500..STEPS_MS, act_or_drill(drills)), 1..STEPS);
    let instances = proptest::sample::select(sizes);
    let leave_ms = proptest::sample::select(LEAVE_MS.to_vec());
    (
        instances,
        1..4_usize,
        2..9_usize,
        leave_ms,
        any::<u64>(),
        any::<bool>(),
        steps,
    )
        .prop_map(
            |(instances, data_centres, upstreams, leave_ms, seed, traffic, steps)| Run {
                data_centres,
                instances,
                rules: Rules::within(leave_ms),
                seed,
                steps,
                traffic,
                upstreams,
            },
        )
}

/// Plays a run.
pub fn play(run: &Run) -> Outcome {
    learning::play(run, BEHIND_MS)
}

/// What a search came to.
#[derive(Debug, Default)]
pub struct Found {
    /// The shortest run that breaks a rule, and what it breaks.
    pub broken: Option<(Run, Vec<String>)>,
    /// Events of all runs.
    pub events: u64,
    /// Runs.
    pub runs: u64,
}

/// Plays random runs until some number of them, or one that breaks a rule, which is made as short as can be.
pub fn search(seed: u64, runs_most: u32, sizes: &'static [usize], drills: Drills) -> Found {
    let config = Config {
        cases: runs_most,
        failure_persistence: None,
        max_shrink_iters: SHRINKS,
        ..Config::default()
    };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_le_bytes());
    let random = proptest::test_runner::TestRng::from_seed(
        proptest::test_runner::RngAlgorithm::ChaCha,
        &bytes,
    );
    let mut runner = TestRunner::new_with_rng(config, random);
    let (events, played) = (AtomicU64::new(0), AtomicU64::new(0));
    let result = runner.run(&runs(sizes, drills), |run| {
        let outcome = play(&run);
        events.fetch_add(outcome.events, Ordering::Relaxed);
        played.fetch_add(1, Ordering::Relaxed);
        let Some(first) = outcome.violations.first().cloned() else {
            return Ok(());
        };
        Err(TestCaseError::fail(first))
    });
    let broken = match result {
        Err(TestError::Fail(_, run)) => {
            let violations = play(&run).violations;
            Some((run, violations))
        }
        Err(TestError::Abort(_)) | Ok(()) => None,
    };
    Found {
        broken,
        events: events.into_inner(),
        runs: played.into_inner(),
    }
}
