//! Upstreams that crash together for a cause of their own, such as the loss of power, beside a request that many callers
//! ask, in virtual time. The request ends nothing, so no caller of it may be refused as if it did.

use super::*;
use crowd::Kind;
use pool::Mode;
use relaying::World;
use wellplank_core::settings::{QuarantineRule, ResumeMode};

/// Virtual time between two requests, for one upstream, in milliseconds. With streams of 2.1 s an upstream runs 3.5 at once.
const INTERVAL_MS: u64 = 600;

/// Virtual time for which the popular request comes before the crash, and behind it.
const BEFORE_MS: u64 = 2_500;
const BEHIND_MS: u64 = 3_000;

/// Time after which crashed upstreams are back.
const DOWN_MS: u64 = 1_200;

/// Time within which the upstreams crash.
const SPREAD_MS: u64 = 100;

/// Virtual time that all is given to end.
const SETTLE_MS: u64 = 20_000;

/// What all callers of the popular request ask: far above the numbers of all callers.
const POPULAR: u64 = 1 << 41;

/// What comes in a case.
#[derive(Clone, Copy, Debug)]
pub struct Plan {
    /// Upstreams that crash.
    pub crashed: usize,
    /// All upstreams that run streams.
    pub engines: usize,
    /// The rule by which requests that end upstreams are found.
    pub guilt: QuarantineRule,
    /// Instances before them.
    pub instances: usize,
    /// Share of the popular request among all.
    pub share: f64,
}

/// What came of it.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Outcome {
    /// Connections of callers that were broken off before a whole answer.
    pub cut: usize,
    /// Callers of the popular request.
    pub popular: usize,
    /// Callers that were refused as if their request ended upstreams.
    pub refused: usize,
    /// Callers that were answered whole, of all.
    pub whole: usize,
    /// All callers.
    pub requests: usize,
}

/// Runs one case.
pub fn case(seed: u64, plan: Plan) -> Outcome {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut world = World::new(plan.instances, plan.engines, ResumeMode::Copy, seed);
    world.poison.store = true;
    world.poison.tick_ms = (plan.instances > 20).then_some(poison::TICK_LARGE_MS);
    world.settings.quarantine = plan.guilt;
    for instance in 0..plan.instances {
        world.kill(instance);
        world.restart(instance);
    }
    world.run_for(relaying::LIST_MS);
    world.bring(&mut random, plan, BEFORE_MS);
    let mut order: Vec<usize> = (0..plan.engines).collect();
    for index in 0..plan.crashed {
        order.swap(index, random.random_range(index..plan.engines));
        world.run_for(random.random_range(0..=SPREAD_MS / plan.crashed as u64));
        let (upstream, life) = (order[index], world.upstreams[order[index]].life);
        world.set(upstream, Mode::Down);
        world
            .timeline
            .schedule(DOWN_MS, relaying::Action::Revive(upstream, life));
    }
    world.bring(&mut random, plan, BEHIND_MS);
    world.run_for(SETTLE_MS);
    let popular = world.askers.iter().filter(|asker| asker.print == POPULAR);
    Outcome {
        cut: world.case.cut,
        popular: popular.count(),
        refused: world.askers.iter().filter(|one| one.quarantined).count(),
        requests: world.askers.len(),
        whole: world.askers.iter().filter(|one| one.whole).count(),
    }
}

impl World {
    /// Has callers ask for some time.
    fn bring(&mut self, random: &mut Pcg64Mcg, plan: Plan, lasts_ms: u64) {
        let end = self.timeline.now().after(lasts_ms);
        let mut sent = 0;
        let begin = self.timeline.now();
        while self.timeline.now() < end {
            let due = self.timeline.now().since(begin) * plan.engines as u64 / INTERVAL_MS;
            while sent < due {
                sent += 1;
                let instance = random.random_range(0..plan.instances);
                if random.random_bool(plan.share) {
                    self.ask_same(Kind::Stream, instance, POPULAR);
                } else {
                    self.ask_at(Kind::Stream, instance);
                }
            }
            self.run_for(5);
        }
    }
}
