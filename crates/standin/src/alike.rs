//! Streams that ask for the same, taken up behind the loss of instances, in virtual time: each may go on from the copy of its own
//! runs alone.

use super::*;
use crowd::{Kind, Naming};
use relaying::World;
use wellplank_core::settings::ResumeMode;

/// API key of a second customer.
pub(crate) const OTHER_KEY: &str = "other key";

/// Engines.
const ENGINES: usize = 12;

/// Streams of one run.
const STREAMS: usize = 24;

/// Instances to which callers come first.
const ASKED: usize = 3;

/// Times over which the streams begin, in milliseconds: all of them so shortly before the loss that none is in the store, or half
/// of them earlier.
pub const SPREADS_MS: [u64; 2] = [200, 1_200];

/// Time behind the last start at which instances are lost, in milliseconds: longer than an engine needs for the first event, shorter
/// than the store needs to have it.
const RUNNING_MS: u64 = 400;

/// Time in which callers take up their streams, in milliseconds.
const TAKING_UP_MS: u64 = 4_000;

/// What ends the connections of callers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Loss {
    /// All instances are killed.
    All,
    /// One instance is killed.
    One,
    /// Callers hang up.
    HangUp,
}

impl Loss {
    /// Every loss.
    pub const ALL: [Self; 3] = [Self::All, Self::One, Self::HangUp];
}

/// Customers of the callers that ask for the same.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Customers {
    /// One customer.
    Same,
    /// Two customers in turn.
    Two,
}

impl Customers {
    /// Every choice.
    pub const ALL: [Self; 2] = [Self::Same, Self::Two];
}

/// One run.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Number of streams that ask for the same.
    pub alike: usize,
    /// Whose they are.
    pub customers: Customers,
    /// Instances.
    pub instances: usize,
    /// What ends the connections of callers.
    pub loss: Loss,
    /// Datagrams that are lost, of ten.
    pub lost_of_ten: u32,
    /// Whether callers name the try that brought the first event.
    pub names_run: bool,
    /// Seed.
    pub seed: u64,
    /// Time over which the streams begin, in milliseconds.
    pub spread_ms: u64,
}

/// What came of the streams.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Tries that took up a stream.
    pub taken_up: usize,
    /// Streams that went on from a copy of their own.
    pub own: usize,
    /// Streams that went on from the copy of another stream.
    pub foreign: usize,
    /// Streams that got an event after they were taken up.
    pub went_on: usize,
    /// What must always hold and did not.
    pub violations: Vec<String>,
}

/// Has streams begin, ends their connections, and has their callers take them up.
pub fn run(plan: Plan) -> Outcome {
    let mut world = World::new(plan.instances, ENGINES, ResumeMode::Copy, plan.seed);
    world.loses_unwritten = true;
    world.lost_of_ten = plan.lost_of_ten;
    world.run_for(relaying::LIST_MS);
    for stream in 0..STREAMS {
        let print = 1 + (stream / plan.alike) as u64;
        let asker = world.ask_same(Kind::Stream, stream % plan.instances.min(ASKED), print);
        if !plan.names_run {
            world.askers[asker].naming = Naming::Unnamed;
        }
        if plan.customers == Customers::Two && stream % plan.alike % 2 == 1 {
            world.askers[asker].customer = OTHER_KEY;
        }
        world.run_for(plan.spread_ms / STREAMS as u64);
    }
    world.run_for(RUNNING_MS);
    match plan.loss {
        Loss::All => (0..plan.instances).for_each(|instance| world.kill(instance)),
        Loss::One => world.kill(0),
        // Every other one, so that streams alike run on beside those that are taken up.
        Loss::HangUp => (0..STREAMS)
            .step_by(2)
            .for_each(|asker| world.leave_connection(asker)),
    }
    world.run_for(TAKING_UP_MS);
    Outcome {
        taken_up: world.case.taken_up,
        own: world.case.copies,
        foreign: world.case.foreign_copies,
        went_on: world.case.went_on,
        violations: world.case.violations,
    }
}

/// Measures how many streams go on from their own copies, and from those of others.
pub fn measure(seeds: u64) {
    for loss in Loss::ALL {
        for lost_of_ten in [0, 1] {
            let title = format!("{STREAMS} streams, {loss:?}, {lost_of_ten} of ten datagrams lost");
            let mut report = report::Report::new(&title);
            for instances in [3, 70] {
                for alike in [1, 2, 8] {
                    for names_run in [true, false] {
                        let outcomes = (1..=seeds).map(|seed| {
                            run(Plan {
                                alike,
                                customers: Customers::Same,
                                instances,
                                loss,
                                lost_of_ten,
                                names_run,
                                seed,
                                spread_ms: SPREADS_MS[seed as usize % SPREADS_MS.len()],
                            })
                        });
                        let named = if names_run { "named" } else { "unnamed" };
                        let name = format!("{instances} instances, {alike} alike, {named}");
                        report.rows.push(row(&name, &outcomes.collect::<Vec<_>>()));
                    }
                }
            }
            report.print();
        }
    }
}

fn row(name: &str, outcomes: &[Outcome]) -> report::Row {
    let sum = |figure: fn(&Outcome) -> usize| outcomes.iter().map(figure).sum::<usize>() as f64;
    report::Row::new(name)
        .figure("taken up", sum(|outcome| outcome.taken_up))
        .figure("went on", sum(|outcome| outcome.went_on))
        .figure("from own copies", sum(|outcome| outcome.own))
        .figure("from others' copies", sum(|outcome| outcome.foreign))
}
