//! The fault matrix of relayed requests: every fault at every step, in virtual time.

use super::*;
use crowd::Kind;
use pool::Mode;
use relaying::World;
use std::fmt::Write as _;
use wellplank_core::settings::ResumeMode;

/// Upstreams that stream, in three data centres.
const ENGINES: usize = 6;

/// Instances.
const INSTANCES: usize = 2;

/// Virtual time that a step is waited for, in milliseconds.
const PATIENCE_MS: u64 = 5_000;

/// Virtual time that a cell takes after its fault, in milliseconds.
const SETTLE_MS: u64 = 60_000;

/// Time for which upstreams or the list are away, in milliseconds.
const AWAY_MS: u64 = 2_000;

/// Events after which a stream counts as running.
const RUNNING: u64 = 10;

/// A fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The caller's connection is cut; it comes back at another instance.
    CallerCut,
    /// The upstream that holds the copy is lost.
    CopyLost,
    /// The upstream that holds the copy is lost, and the stream's own one soon after.
    CopyThenEngine,
    /// Every upstream of the data centre ends at once.
    DataCentreLost,
    /// The upstream and the instance end together.
    EngineAndInstance,
    /// The upstream and the one that holds the copy end together.
    EngineAndCopy,
    /// The upstream fails its requests.
    EngineFaulty,
    /// The upstream ends; its connections break.
    EngineKilled,
    /// The upstream is leaving.
    EngineLeaves,
    /// The upstream refuses new work.
    EngineRefuses,
    /// The upstream ends and is back at once, under a new life at its address.
    EngineReplaced,
    /// The upstream says nothing for a while, then goes on.
    EngineSilent,
    /// All upstreams but one end at once.
    EnginesLost,
    /// The instance ends.
    InstanceKilled,
    /// The list of upstreams can not be read, and the upstream ends meanwhile.
    ListAway,
}

/// A step in the life of a request, at which a fault is caused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Step {
    /// It goes on elsewhere after a first loss.
    Continuing,
    /// Its answer is whole.
    Ended,
    /// An upstream has it.
    Sent,
    /// Its caller has some events.
    Streaming,
    /// Its caller sends it.
    Submitted,
}

/// What came of one cell.
#[derive(Clone, Debug)]
pub struct Cell {
    /// The fault.
    pub fault: Fault,
    /// What was asked, as the path says.
    pub path: &'static str,
    /// Longest time from a loss to the next event, in milliseconds.
    pub pause_ms: u64,
    /// Whether the step was reached.
    pub reached: bool,
    /// Whether it may be answered with an error.
    pub may_fail: bool,
    /// The step.
    pub step: Step,
    /// What must always hold and did not.
    pub violations: Vec<String>,
    /// Whether the caller has the whole answer.
    pub whole: bool,
}

impl Step {
    /// Every step, in order.
    pub const ALL: [Self; 5] = [
        Self::Submitted,
        Self::Sent,
        Self::Streaming,
        Self::Continuing,
        Self::Ended,
    ];

    /// Whether a kind of request has it.
    fn applies(self, kind: Kind) -> bool {
        match self {
            Self::Continuing | Self::Streaming => kind == Kind::Stream,
            Self::Ended | Self::Sent | Self::Submitted => true,
        }
    }

    fn reached(self, world: &World, caller: usize) -> bool {
        let caller = &world.askers[caller];
        match self {
            Self::Continuing => world.case.copies > 0,
            Self::Ended => caller.ended,
            Self::Sent => caller.sent_to.is_some(),
            Self::Streaming => caller.position >= RUNNING,
            Self::Submitted => true,
        }
    }
}

impl Fault {
    /// Every fault.
    pub const ALL: [Self; 15] = [
        Self::CallerCut,
        Self::CopyLost,
        Self::CopyThenEngine,
        Self::DataCentreLost,
        Self::EngineAndCopy,
        Self::EngineAndInstance,
        Self::EngineFaulty,
        Self::EngineKilled,
        Self::EngineLeaves,
        Self::EngineRefuses,
        Self::EngineReplaced,
        Self::EngineSilent,
        Self::EnginesLost,
        Self::InstanceKilled,
        Self::ListAway,
    ];

    /// Causes the fault for a caller's request.
    fn cause(self, world: &mut World, caller: usize) {
        let serving = world.askers[caller].sent_to.unwrap_or(0);
        let holder = world.holder(caller);
        let instance = world.askers[caller].instance;
        let calls = world.upstreams[serving].calls;
        match self {
            Self::CallerCut => world.leave_connection(caller),
            Self::CopyLost => world.lose(holder),
            Self::CopyThenEngine => {
                world.lose(holder);
                world.blame(holder);
                world.run_for(AWAY_MS / 4);
                let serving = world.askers[caller].sent_to;
                world.lose(serving);
            }
            Self::DataCentreLost => {
                for index in 0..world.upstreams.len() {
                    if index % 3 == serving % 3 && world.upstreams[index].calls == calls {
                        world.lose(Some(index));
                    }
                }
            }
            Self::EngineAndCopy => {
                world.lose(Some(serving));
                world.lose(holder);
            }
            Self::EngineAndInstance => {
                world.lose(Some(serving));
                world.kill(instance);
            }
            Self::EngineFaulty => world.set(serving, Mode::Faulty),
            Self::EngineKilled => world.lose(Some(serving)),
            Self::EngineLeaves => world.upstreams[serving].leaving = Some(world.timeline.now()),
            Self::EngineRefuses => world.set(serving, Mode::Refusing),
            Self::EngineReplaced => {
                world.lose(Some(serving));
                world.set(serving, Mode::Good);
            }
            Self::EngineSilent => world.set(serving, Mode::Silent),
            Self::EnginesLost => {
                let alike = |index: &usize| world.upstreams[*index].calls == calls;
                let others: Vec<usize> = (0..world.upstreams.len()).filter(alike).collect();
                let spared = others
                    .iter()
                    .rev()
                    .find(|index| **index != serving)
                    .copied();
                for index in others.into_iter().filter(|index| Some(*index) != spared) {
                    world.lose(Some(index));
                }
            }
            Self::InstanceKilled => world.kill(instance),
            Self::ListAway => {
                world.listing = None;
                world.lose(Some(serving));
            }
        }
    }
}

impl World {
    /// The upstream that holds a copy of a caller's stream.
    fn holder(&self, caller: usize) -> Option<usize> {
        let holds = |(index, upstream): (usize, &pool::Upstream)| {
            upstream
                .copies
                .values()
                .any(|owner| *owner == caller)
                .then_some(index)
        };
        self.upstreams.iter().enumerate().find_map(holds)
    }

    fn lose(&mut self, upstream: Option<usize>) {
        if let Some(upstream) = upstream {
            self.set(upstream, Mode::Down);
        }
    }

    /// Some instance has noticed the loss of an upstream and tells the others.
    fn blame(&mut self, upstream: Option<usize>) {
        let Some(upstream) = upstream else {
            return;
        };
        let name = format!("{upstream}-{}", self.upstreams[upstream].life);
        let life = wellplank_core::incarnation::Incarnation::new(&name, 0);
        for instance in 0..self.instances.len() {
            self.tell(instance, wellplank_core::event::Event::PeerLoss(life));
        }
    }
}

/// Runs every cell.
pub fn run(resume: ResumeMode) -> Vec<Cell> {
    let mut cells = Vec::new();
    for kind in Kind::ALL {
        for step in Step::ALL.into_iter().filter(|step| step.applies(kind)) {
            cells.extend(Fault::ALL.map(|fault| cell(kind, step, fault, resume)));
        }
    }
    cells
}

fn cell(kind: Kind, step: Step, fault: Fault, resume: ResumeMode) -> Cell {
    let seed = 1_000 * step as u64 + 100 * kind as u64 + fault as u64;
    let mut world = World::new(INSTANCES, ENGINES, resume, seed);
    // Instances have read the list.
    world.run_for(10);
    let caller = world.ask_at(kind, 0);
    let mut reached = true;
    if step == Step::Continuing {
        // A first loss brings the stream to the step at which the second fault comes.
        reached &= await_step(&mut world, Step::Streaming, caller);
        let serving = world.askers[caller].sent_to;
        world.lose(serving);
    }
    reached &= await_step(&mut world, step, caller);
    if reached {
        fault.cause(&mut world, caller);
        world.run_for(AWAY_MS);
        world.listing = Some(world.timeline.now());
        for upstream in 0..world.upstreams.len() {
            world.set(upstream, Mode::Good);
        }
        world.run_for(SETTLE_MS);
    }
    world.check_end();
    let pause = world.case.pauses_ms.iter().copied().fold(0.0, f64::max);
    Cell {
        fault,
        may_fail: kind == Kind::Once,
        path: kind.path(),
        pause_ms: pause as u64,
        reached,
        step,
        violations: world.case.violations,
        whole: world.askers[caller].whole,
    }
}

/// Lets time pass until a step is reached; whether it was.
fn await_step(world: &mut World, step: Step, caller: usize) -> bool {
    for _ in 0..PATIENCE_MS {
        if step.reached(world, caller) {
            return true;
        }
        world.run_for(1);
    }
    false
}

impl Cell {
    /// Whether nothing that must hold was broken and the end is one that the fault excuses.
    pub fn holds(&self) -> bool {
        self.reached && self.violations.is_empty() && (self.whole || self.may_fail)
    }

    fn text(&self) -> String {
        if !self.violations.is_empty() {
            return "BROKEN".into();
        }
        if !self.reached {
            return "not reached".into();
        }
        let end = if self.whole { "whole" } else { "failed" };
        if self.pause_ms > 100 {
            format!("{end}, {} ms", self.pause_ms)
        } else {
            end.into()
        }
    }
}

/// The cells as tables of Markdown, one for each kind of request.
pub fn table(cells: &[Cell]) -> String {
    let mut text = String::new();
    for kind in Kind::ALL {
        let steps: Vec<Step> = Step::ALL
            .into_iter()
            .filter(|step| step.applies(kind))
            .collect();
        let heads: Vec<String> = steps.iter().map(|step| format!("{step:?}")).collect();
        let _ = writeln!(text, "### Relayed: {kind:?}\n");
        let _ = writeln!(text, "| fault | {} |", heads.join(" | "));
        let _ = writeln!(text, "|---|{}", "---|".repeat(heads.len()));
        for fault in Fault::ALL {
            let of_row = |cell: &&Cell| cell.path == kind.path() && cell.fault == fault;
            let row: Vec<String> = cells.iter().filter(of_row).map(Cell::text).collect();
            let _ = writeln!(text, "| {fault:?} | {} |", row.join(" | "));
        }
        text.push('\n');
    }
    text
}
