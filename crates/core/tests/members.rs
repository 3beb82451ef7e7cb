//! Election of the few instances that perform a task, while instances learn of the fleet at different times.

use {
    googletest::prelude::*,
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    wellplank_core::{
        clock::Time,
        members::{Members, View},
    },
};

/// Time within which all instances learn of a change, in milliseconds.
const CONVERGENCE_MS: u64 = 4_000;

/// Length of one step, in milliseconds.
const STEP_MS: u64 = 100;

/// Number of steps of one run.
const STEPS: u64 = 1_200;

/// An instance of a changing fleet.
#[derive(Clone, Debug, Default)]
struct Instance {
    /// Whether it has a view of the fleet.
    has_view: bool,
    members: Members,
    /// Index of the change that it learns of next, and when; 0 if the time is not drawn yet.
    next: (usize, u64),
}

/// Maximum number of instances acting at once in a fleet that learns of each change up to `lag_ms` late.
fn max_acting(seed: u64, elected_count: usize, lag_ms: u64) -> usize {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut listed: Vec<u64> = (0..random.random_range(2..9)).collect();
    let mut changes = vec![listed.clone()];
    let mut instances: Vec<(u64, Instance)> = Vec::new();
    for number in 0..40 {
        instances.push((number, Instance::default()));
    }
    let mut max = 0;
    let mut changed = 0;
    for step in 0..STEPS {
        let now = step * STEP_MS;
        // Changes that come faster than instances learn of them count as a loss of the fleet, which the users' rule
        // excuses.
        if now > changed + CONVERGENCE_MS && random.random_range(0..20) == 0 {
            changed = now;
            let leaves = listed.len() > 2 && random.random_range(0..2) == 0;
            if leaves {
                listed.remove(random.random_range(0..listed.len()));
            } else {
                let starts = random.random_range(0..40);
                if !listed.contains(&starts) {
                    listed.push(starts);
                    let next = (changes.len(), 0);
                    instances[starts as usize].1 = Instance {
                        next,
                        ..Instance::default()
                    };
                }
            }
            changes.push(listed.clone());
        }
        for (number, instance) in &mut instances {
            let (next, at) = instance.next;
            if next < changes.len() && at == 0 {
                instance.next.1 = now + random.random_range(0..=lag_ms);
            }
            if next < changes.len() && now >= instance.next.1 && listed.contains(number) {
                let others = changes[next].iter().copied();
                let view = View {
                    convergence_ms: CONVERGENCE_MS,
                    local: Vec::new(),
                    others: others.filter(|other| other != number).collect(),
                    own: *number,
                };
                instance.members.record_view(view, Time(now));
                instance.has_view = true;
                instance.next = (next + 1, 0);
            }
        }
        let acts = |number: &u64| {
            let instance = &instances[*number as usize].1;
            let from = instance.members.active_from(elected_count, 7);
            instance.has_view && from.is_some_and(|from| Time(now) >= from)
        };
        max = max.max(listed.iter().filter(|number| acts(number)).count());
    }
    max
}

#[gtest]
fn no_more_instances_act_than_elected_while_views_differ() {
    for seed in 0..200 {
        for elected_count in [1, 2, 4] {
            expect_that!(
                max_acting(seed, elected_count, CONVERGENCE_MS - STEP_MS),
                le(elected_count),
                "seed {seed}"
            );
        }
    }
}

#[gtest]
fn all_elected_instances_act_in_a_stable_fleet() {
    for instances in [1, 6, 90, 300] {
        for elected_count in [1, 3, 11] {
            let acts = |own: &u64| {
                let mut members = Members::default();
                members.record_view(View::numbered(*own, instances), Time(1));
                members.active_from(elected_count, 7) == Some(Time(1))
            };
            let acting = (0..instances).filter(acts).count();
            expect_that!(acting, eq(elected_count.min(instances as usize)));
        }
    }
}

#[gtest]
fn tasks_are_spread_over_the_fleet() {
    let mut tasks = [0; 30];
    for topic in 0..300 {
        for (own, count) in tasks.iter_mut().enumerate() {
            let mut members = Members::default();
            members.record_view(View::numbered(own as u64, 30), Time(1));
            *count += usize::from(members.active_from(2, topic * 0x9e37_79b9).is_some());
        }
    }
    expect_that!(tasks.iter().sum::<usize>(), eq(600));
    expect_that!(tasks.to_vec(), each(all![ge(&8), le(&36)]));
}
