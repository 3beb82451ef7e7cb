//! Which few of the instances have a task, while each knows of the fleet at a time of its own.

use {
    googletest::prelude::*,
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    wellplank_core::{
        clock::Time,
        members::{Members, View},
    },
};

/// Time within which all instances hear of a change, in milliseconds.
const SETTLES_MS: u64 = 4_000;

/// Time of one step, in milliseconds.
const STEP_MS: u64 = 100;

/// Steps of one run.
const STEPS: u64 = 1_200;

/// An instance of a fleet that changes.
#[derive(Clone, Debug, Default)]
struct Instance {
    /// Whether it has heard of the fleet.
    knows: bool,
    members: Members,
    /// The number of the change that it reads next, and when.
    next: (usize, u64),
}

/// The most that act at once in a fleet whose instances hear of each change up to `lag_ms` late.
fn most(seed: u64, few: usize, lag_ms: u64) -> usize {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut listed: Vec<u64> = (0..random.random_range(2..9)).collect();
    let mut changes = vec![listed.clone()];
    let mut instances: Vec<(u64, Instance)> = Vec::new();
    for number in 0..40 {
        instances.push((number, Instance::default()));
    }
    let mut most = 0;
    let mut changed = 0;
    for step in 0..STEPS {
        let now = step * STEP_MS;
        // Changes that come faster than instances hear of them are a loss of the fleet, which the users' rule excuses.
        if now > changed + SETTLES_MS && random.random_range(0..20) == 0 {
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
                    others: others.filter(|other| other != number).collect(),
                    own: *number,
                    convergence_ms: SETTLES_MS,
                };
                instance.members.see(view, Time(now));
                instance.knows = true;
                instance.next = (next + 1, 0);
            }
        }
        let acts = |number: &u64| {
            let instance = &instances[*number as usize].1;
            let from = instance.members.active_from(few, 7);
            instance.knows && from.is_some_and(|from| Time(now) >= from)
        };
        most = most.max(listed.iter().filter(|number| acts(number)).count());
    }
    most
}

#[gtest]
fn never_more_act_than_the_few_while_instances_hear_of_the_fleet_at_times_of_their_own() {
    for seed in 0..200 {
        for few in [1, 2, 4] {
            expect_that!(
                most(seed, few, SETTLES_MS - STEP_MS),
                le(few),
                "seed {seed}"
            );
        }
    }
}

#[gtest]
fn all_of_the_few_act_in_a_fleet_that_stays() {
    for instances in [1, 6, 90, 300] {
        for few in [1, 3, 11] {
            let acts = |own: &u64| {
                let mut members = Members::default();
                members.see(View::numbered(*own, instances), Time(1));
                members.active_from(few, 7) == Some(Time(1))
            };
            let acting = (0..instances).filter(acts).count();
            expect_that!(acting, eq(few.min(instances as usize)));
        }
    }
}

#[gtest]
fn tasks_are_spread_over_the_fleet() {
    let mut tasks = [0; 30];
    for topic in 0..300 {
        for (own, count) in tasks.iter_mut().enumerate() {
            let mut members = Members::default();
            members.see(View::numbered(own as u64, 30), Time(1));
            *count += usize::from(members.active_from(2, topic * 0x9e37_79b9).is_some());
        }
    }
    expect_that!(tasks.iter().sum::<usize>(), eq(600));
    expect_that!(tasks.to_vec(), each(all![ge(&8), le(&36)]));
}
