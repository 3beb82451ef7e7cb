//! The fault matrix: every fault at every step in the life of a request, in virtual time.

use super::*;
use asker::{Ask, End, Step};
use fake::{Mode, StoreMode};
use std::fmt::Write as _;
use wellplank_core::{counter::Counter, kind::Kind, settings::Settings};
use world::World;

/// Engines of each cell's world.
const ENGINES: usize = 3;

/// Instances of each cell's world.
const INSTANCES: usize = 2;

/// Tokens of a generation.
const TOKENS: usize = 40;

/// Virtual time that a cell may take, in milliseconds.
const PATIENCE_MS: u64 = 90_000;

/// A fault.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The caller's connection is cut; it comes back at another instance.
    CallerCut,
    /// The caller's connection is cut; it comes back with its cursor alone.
    CallerCutNoTokens,
    /// The engine's answers no longer arrive.
    EngineCutOut,
    /// The engine stands still for two seconds.
    EngineFrozen,
    /// The engine ends; its connections break.
    EngineKilled,
    /// The engine and the instance end together.
    EngineAndInstance,
    /// The engine is on the list as leaving and refuses new work.
    EngineLeaves,
    /// The engine refuses new work.
    EngineRefuses,
    /// The engine's machine ends without a word.
    EngineSilent,
    /// The engine works at a tenth of its speed.
    EngineSlow,
    /// All engines but one end at once.
    EnginesLost,
    /// The instance stands still for six seconds.
    InstanceFrozen,
    /// The instance ends.
    InstanceKilled,
    /// The key-value service is down.
    StoreDown,
    /// Answers of the key-value service are lost after the write.
    StoreLost,
    /// A token is not sent.
    TokenGap,
    /// A token is sent twice.
    TokenRepeat,
}

/// What came of one cell.
#[derive(Clone, Debug)]
pub struct Cell {
    /// What was asked.
    pub ask: Ask,
    /// How it ended; `None` if the step was not reached.
    pub end: Option<End>,
    /// The fault.
    pub fault: Fault,
    /// Attempts that were sent on after a loss.
    pub moved: u64,
    /// Longest time between two tokens, in milliseconds.
    pub stall_ms: u64,
    /// The step.
    pub step: Step,
    /// What must always hold and did not.
    pub violations: Vec<String>,
}

impl Fault {
    /// Every fault.
    pub const ALL: [Self; 17] = [
        Self::CallerCut,
        Self::CallerCutNoTokens,
        Self::EngineAndInstance,
        Self::EngineCutOut,
        Self::EngineFrozen,
        Self::EngineKilled,
        Self::EngineLeaves,
        Self::EngineRefuses,
        Self::EngineSilent,
        Self::EngineSlow,
        Self::EnginesLost,
        Self::InstanceFrozen,
        Self::InstanceKilled,
        Self::StoreDown,
        Self::StoreLost,
        Self::TokenGap,
        Self::TokenRepeat,
    ];

    /// Causes the fault. `serving` is the upstream that has the request.
    pub fn cause(self, world: &mut World, asker: usize, serving: usize) {
        let instance = world.askers[asker].instance;
        match self {
            Self::CallerCut => world.cut_caller(asker),
            Self::CallerCutNoTokens => {
                world.askers[asker].brings_tokens = false;
                world.cut_caller(asker);
            }
            Self::EngineAndInstance => {
                world.set_mode(serving, Mode::Dead);
                world.kill_instance(instance);
            }
            Self::EngineCutOut => world.set_mode(serving, Mode::CutOut),
            Self::EngineFrozen => world.set_mode(serving, Mode::Frozen),
            Self::EngineKilled => world.set_mode(serving, Mode::Dead),
            Self::EngineLeaves => {
                world.leave(serving);
                world.set_mode(serving, Mode::Leaving);
            }
            Self::EngineRefuses => world.set_mode(serving, Mode::Refusing),
            Self::EngineSilent => world.set_mode(serving, Mode::Silent),
            Self::EngineSlow => world.set_mode(serving, Mode::Slow),
            Self::EnginesLost => {
                let up = |engine: &usize| world.upstreams[*engine].mode == Mode::Up;
                let spared = (0..ENGINES).find(|engine| *engine != serving && up(engine));
                for engine in (0..ENGINES).filter(|engine| Some(*engine) != spared) {
                    world.set_mode(engine, Mode::Dead);
                }
            }
            Self::InstanceFrozen => world.freeze_instance(instance, 6_000),
            Self::InstanceKilled => world.kill_instance(instance),
            Self::StoreDown => world.claims.mode = StoreMode::Down,
            Self::StoreLost => world.claims.mode = StoreMode::Lost,
            Self::TokenGap => world.upstreams[serving].wrong = Some(stream::Fault::Gap),
            Self::TokenRepeat => world.upstreams[serving].wrong = Some(stream::Fault::Repeat),
        }
    }
}

/// Steps at which faults are caused.
pub const STEPS: [Step; 6] = [
    Step::Submitted,
    Step::Claiming,
    Step::Sent,
    Step::Streaming,
    Step::Continuing,
    Step::Ended,
];

/// Runs every cell.
pub fn run(settings: &Settings) -> Vec<Cell> {
    let mut cells = Vec::new();
    for ask in Ask::ALL {
        for step in STEPS {
            let applies = match step {
                Step::Claiming => ask.once(),
                Step::Continuing | Step::Streaming => ask.generates(),
                _ => true,
            };
            if applies {
                cells.extend(Fault::ALL.map(|fault| cell(ask, step, fault, settings)));
            }
        }
    }
    cells
}

/// Runs one cell.
pub fn cell(ask: Ask, step: Step, fault: Fault, settings: &Settings) -> Cell {
    let seed = 1_000 * step as u64 + 100 * ask as u64 + fault as u64;
    let mut world = World::new(INSTANCES, ENGINES, settings.clone(), seed);
    let asker = world.ask(ask, 0, TOKENS, true);
    let mut reached = true;
    if step == Step::Continuing {
        // A first loss brings the request to the step at which the second fault comes.
        reached &= world.run_until(PATIENCE_MS, |world| world.reached(asker, Step::Streaming));
        if let Some(first) = world.askers[asker].sent_to {
            world.set_mode(first, Mode::Dead);
        }
    }
    reached &= world.run_until(PATIENCE_MS, |world| world.reached(asker, step));
    if reached {
        let home = if ask.generates() { 0 } else { ENGINES };
        let serving = world.askers[asker].sent_to.unwrap_or(home);
        fault.cause(&mut world, asker, serving);
        if fault == Fault::EngineFrozen {
            world.run_for(2_000);
            world.set_mode(serving, Mode::Up);
        }
        if matches!(fault, Fault::StoreDown | Fault::StoreLost) {
            world.run_for(3_000);
            world.claims.mode = StoreMode::Up;
        }
        world.run_until(PATIENCE_MS, |world| world.reached(asker, Step::Ended));
        // What is late must change nothing.
        world.run_for(8_000);
    }
    world.check_end();
    let moved = |counter: &Counter| {
        matches!(
            counter,
            Counter::Resumed(_) | Counter::Retried(_) | Counter::Hedged
        )
    };
    Cell {
        ask,
        end: world.askers[asker].end.filter(|_| reached),
        fault,
        moved: world
            .counters
            .iter()
            .filter(|(counter, _)| moved(counter))
            .map(|(_, count)| count)
            .sum(),
        stall_ms: world.askers[asker].stall_ms,
        step,
        violations: world.violations,
    }
}

impl Cell {
    /// Whether nothing that must hold was broken and the end is one that the fault excuses.
    pub fn holds(&self) -> bool {
        let excused = match self.end {
            None => false,
            Some(End::Whole) => true,
            Some(End::Failed(kind)) => self.excuses(kind),
        };
        self.violations.is_empty() && excused
    }

    /// Whether the fault excuses this error. A request that may run again has no excuse but that
    /// its tokens went lost with the caller's; one that may not has the loss of what ran it.
    fn excuses(&self, kind: Kind) -> bool {
        if !self.ask.once() {
            let tokens_lost = self.fault == Fault::CallerCutNoTokens;
            return tokens_lost && kind == Kind::CannotResume;
        }
        match kind {
            Kind::Unknown => !matches!(self.fault, Fault::EngineLeaves | Fault::EngineRefuses),
            Kind::AlreadyClaimed => matches!(
                self.fault,
                Fault::CallerCut
                    | Fault::CallerCutNoTokens
                    | Fault::EngineAndInstance
                    | Fault::InstanceFrozen
                    | Fault::InstanceKilled
            ),
            Kind::CannotResume => self.fault == Fault::CallerCutNoTokens,
            Kind::PlatformDown => matches!(self.fault, Fault::StoreDown | Fault::StoreLost),
            _ => false,
        }
    }

    fn text(&self) -> String {
        if !self.violations.is_empty() {
            return "BROKEN".into();
        }
        let end = match self.end {
            None => return "not reached".into(),
            Some(End::Whole) => "whole".to_owned(),
            Some(End::Failed(kind)) => kind.to_string(),
        };
        let moved = if self.moved > 0 {
            format!(", {} moved", self.moved)
        } else {
            String::new()
        };
        let stall = if self.stall_ms > 100 {
            format!(", {} ms", self.stall_ms)
        } else {
            String::new()
        };
        format!("{end}{moved}{stall}")
    }
}

/// The page that holds the tables.
pub fn page(cells: &[Cell], relayed: &[relayed::Cell]) -> String {
    let broken = cells.iter().filter(|cell| !cell.holds()).count();
    let relayed_broken = relayed.iter().filter(|cell| !cell.holds()).count();
    format!(
        "# Fault matrix\n\n\
         Every fault at every step in the life of five kinds of requests, in virtual time, each\n\
         with {INSTANCES} instances and {ENGINES} engines. Written by\n\
         `cargo run --release -p wellplank-standin -- matrix --write docs/FAULTS.md`; the test\n\
         `every_fault_at_every_step_holds` runs the same cells. Cells between real processes are\n\
         the tests of `crates/standin/tests/process.rs`.\n\n\
         A cell says how the request ended for its caller, how often it was moved to another\n\
         upstream or instance, and the longest time without a token if that is above 100 ms.\n\
         What each error claims of having run was checked against what ran.\n\n\
         {} cells, {broken} broken.\n\n{}\n\n\
         ## Relayed requests\n\n\
         The same for requests that are passed on as they are, with the core's relaying. A cell says\n\
         whether the caller got the whole answer, and the longest time from a loss to the next event\n\
         if that is above 100 ms. Callers come back, but for calls that may run once.\n\n\
         {} cells, {relayed_broken} broken.\n\n{}\n",
        cells.len(),
        table(cells).trim_end(),
        relayed.len(),
        relayed::table(relayed).trim_end(),
    )
}

/// The cells as tables of Markdown, one for each kind of request.
pub fn table(cells: &[Cell]) -> String {
    let mut text = String::new();
    for ask in Ask::ALL {
        let of_ask: Vec<&Cell> = cells.iter().filter(|cell| cell.ask == ask).collect();
        let steps: Vec<Step> = STEPS
            .into_iter()
            .filter(|step| of_ask.iter().any(|cell| cell.step == *step))
            .collect();
        let heads: Vec<String> = steps.iter().map(|step| format!("{step:?}")).collect();
        let _ = writeln!(text, "### {ask:?}\n");
        let _ = writeln!(text, "| fault | {} |", heads.join(" | "));
        let _ = writeln!(text, "|---|{}", "---|".repeat(heads.len()));
        for fault in Fault::ALL {
            let row: Vec<String> = steps
                .iter()
                .filter_map(|step| {
                    let mut cells = of_ask.iter();
                    let cell = cells.find(|cell| cell.fault == fault && cell.step == *step)?;
                    Some(cell.text())
                })
                .collect();
            let _ = writeln!(text, "| {fault:?} | {} |", row.join(" | "));
        }
        text.push('\n');
    }
    text
}
