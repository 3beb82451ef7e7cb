//! Streams at engines of several software versions, taken up behind the loss of instances, in fleets of any size and in virtual
//! time.

use super::*;
use crowd::Kind;
use pool::Mode;
use relaying::World;
use wellplank_core::settings::ResumeMode;

/// Engines of each version.
const ENGINES: usize = 8;

/// Versions.
const VERSIONS: u64 = 3;

/// Streams that run when instances are lost.
const STREAMS: usize = 60;

/// Time over which they begin, in milliseconds.
const SPREAD_MS: u64 = 600;

/// Time behind which all of them have begun, and none has ended, in milliseconds.
const RUNNING_MS: u64 = 400;

/// Time in which callers take up their streams, in milliseconds.
const TAKING_UP_MS: u64 = 4_000;

/// How instances learn which version began a stream of another one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Learning {
    /// They are told when it begins.
    Told,
    /// They ask others, too.
    Asked,
    /// They also read from the store, at their start, what ran before.
    Stored,
}

impl Learning {
    /// Every way.
    pub const ALL: [Self; 3] = [Self::Told, Self::Asked, Self::Stored];
}

/// What is lost while streams run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// All instances.
    All,
    /// One instance, to which a part of the callers come.
    One,
    /// One instance, and the engines of one version for good.
    OneAndVersion,
}

impl Loss {
    /// Every loss.
    pub const ALL: [Self; 3] = [Self::All, Self::One, Self::OneAndVersion];
}

/// What came of the streams.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Datagrams that asked for the record of a stream.
    pub asked: usize,
    /// Tries that took up a stream while two engines of its version served.
    pub taken_up: usize,
    /// Datagrams with the record of a stream.
    pub told: usize,
    /// Those of them that got an event.
    pub went_on: usize,
    /// What must always hold and did not.
    pub violations: Vec<String>,
}

/// Has a fleet lose instances while streams run.
pub fn run(instances: usize, loss: Loss, learning: Learning, seed: u64) -> Outcome {
    let mut world = World::new(
        instances,
        ENGINES * VERSIONS as usize,
        ResumeMode::Copy,
        seed,
    );
    world.versions = VERSIONS;
    world.learning = learning;
    world.run_for(relaying::LIST_MS);
    for stream in 0..STREAMS {
        // Half of the callers come to the instance that is lost.
        let instance = stream % 2 * (1 + stream / 2) % instances;
        world.ask_at(Kind::Stream, instance);
        world.run_for(SPREAD_MS / STREAMS as u64);
    }
    world.run_for(RUNNING_MS);
    if loss == Loss::OneAndVersion {
        retire(&mut world);
    }
    let lost = if loss == Loss::All { instances } else { 1 };
    for instance in 0..lost {
        world.kill(instance);
    }
    world.run_for(TAKING_UP_MS);
    Outcome {
        asked: world.case.asked,
        told: world.case.told,
        taken_up: world.case.taken_up,
        went_on: world.case.went_on,
        violations: world.case.violations,
    }
}

/// Ends all engines of one version.
fn retire(world: &mut World) {
    for engine in 0..ENGINES * VERSIONS as usize {
        if world.version(engine) == 0 {
            world.set(engine, Mode::Down);
        }
    }
}

/// Measures how many streams go on, by how instances learn which version began them.
pub fn measure(seeds: u64) {
    for loss in Loss::ALL {
        let title = format!("{STREAMS} streams of three versions, lost: {loss:?}");
        let mut report = report::Report::new(&title);
        for instances in [2, 6, 30, 74, 300, 984] {
            for learning in Learning::ALL {
                let outcomes = (1..=seeds).map(|seed| run(instances, loss, learning, seed));
                report
                    .rows
                    .push(row(&format!("{instances}, {learning:?}"), outcomes));
            }
        }
        report.print();
    }
}

fn row(name: &str, outcomes: impl Iterator<Item = Outcome>) -> report::Row {
    let outcomes: Vec<Outcome> = outcomes.collect();
    let sum = |figure: fn(&Outcome) -> usize| outcomes.iter().map(figure).sum::<usize>() as f64;
    report::Row::new(name)
        .figure("taken up", sum(|outcome| outcome.taken_up))
        .figure("went on", sum(|outcome| outcome.went_on))
        .figure("records told", sum(|outcome| outcome.told))
        .figure("records asked", sum(|outcome| outcome.asked))
        .figure("broken", sum(|outcome| outcome.violations.len()))
}
