//! Randomised runs: many requests of every kind and faults at any moment, together and again, in
//! virtual time, from a seed.

use super::*;
use asker::{Ask, End};
use fake::{Mode, StoreMode};
use wellplank_core::{kind::Kind, settings::Settings};
use world::World;

/// Virtual time that a case may take after its last fault, in milliseconds.
const PATIENCE_MS: u64 = 120_000;

/// What came of one case.
#[derive(Clone, Debug, Default)]
pub struct Case {
    /// Requests that ended with an error, by its kind.
    pub failed: BTreeMap<Kind, usize>,
    /// Requests.
    pub requests: usize,
    /// Seed of the case.
    pub seed: u64,
    /// What must always hold and did not.
    pub violations: Vec<String>,
}

/// Runs one case.
pub fn case(seed: u64, settings: &Settings) -> Case {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let instances = random.random_range(1..4);
    let engines = random.random_range(2..6);
    let mut world = World::new(instances, engines, settings.clone(), seed);
    let steps = random.random_range(5..40);
    for _ in 0..steps {
        for _ in 0..random.random_range(0..6) {
            let ask = Ask::ALL[random.random_range(0..Ask::ALL.len())];
            let instance = random.random_range(0..instances);
            let tokens = random.random_range(1..80);
            world.ask(ask, instance, tokens, random.random());
        }
        world.run_for(random.random_range(1..800));
        cause(&mut world, &mut random, instances, engines);
        world.run_for(random.random_range(1..2_500));
    }
    for upstream in 0..engines + 2 {
        world.set_mode(upstream, Mode::Up);
    }
    world.claims.mode = StoreMode::Up;
    world.stay();
    world.run_until(PATIENCE_MS, |world| {
        world.askers.iter().all(|asker| asker.end.is_some())
    });
    world.run_for(8_000);
    world.check_end();
    let mut failed = BTreeMap::new();
    for asker in &world.askers {
        if let Some(End::Failed(kind)) = asker.end {
            *failed.entry(kind).or_default() += 1;
        }
    }
    Case {
        failed,
        requests: world.askers.len(),
        seed,
        violations: world.violations,
    }
}

/// Causes a fault, or ends one.
fn cause(world: &mut World, random: &mut Pcg64Mcg, instances: usize, engines: usize) {
    let upstream = random.random_range(0..engines + 2);
    let instance = random.random_range(0..instances);
    match random.random_range(0..20) {
        0 => world.set_mode(upstream, Mode::CutOut),
        1 => world.set_mode(upstream, Mode::Dead),
        2 => world.set_mode(upstream, Mode::Frozen),
        3 => world.set_mode(upstream, Mode::Refusing),
        4 => world.set_mode(upstream, Mode::Silent),
        5 => world.set_mode(upstream, Mode::Slow),
        6 => world.freeze_instance(instance, random.random_range(100..9_000)),
        7 => world.kill_instance(instance),
        8 => world.claims.mode = StoreMode::Down,
        9 => world.claims.mode = StoreMode::Lost,
        10 => world.upstreams[upstream].wrong = Some(stream::Fault::Gap),
        11 => world.upstreams[upstream].wrong = Some(stream::Fault::Repeat),
        12 if !world.askers.is_empty() => {
            let asker = random.random_range(0..world.askers.len());
            world.cut_caller(asker);
        }
        13 => world.leave(upstream),
        14 => world.set_mode(upstream, Mode::Leaving),
        _ => {
            world.stay();
            world.set_mode(upstream, Mode::Up);
            world.claims.mode = StoreMode::Up;
        }
    }
}
