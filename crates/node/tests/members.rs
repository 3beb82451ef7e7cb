//! What instances do for each other in fleets of several sizes.

use {
    googletest::prelude::*,
    wellplank_core::role::Role,
    wellplank_node::members::{LocalMember, Member, Members},
};

/// Data centres of the fleets.
const DATA_CENTRES: usize = 3;

/// A fleet of some instances.
struct Test {
    names: Vec<String>,
}

impl Test {
    fn new(instances: usize) -> Self {
        let name = |index| format!("instance-{index}");
        Self {
            names: (0..instances).map(name).collect(),
        }
    }

    fn own(&self, index: usize) -> LocalMember {
        LocalMember {
            data_centre: format!("dc-{}", index % DATA_CENTRES),
            name: self.names[index].clone(),
        }
    }

    /// The others, as an instance knows them.
    fn members(&self, own: usize) -> Members {
        let member = |index: usize| Member {
            address: ([127, 0, 0, 1], index as u16 + 1).into(),
            data_centre: format!("dc-{}", index % DATA_CENTRES),
        };
        let others = (0..self.names.len()).filter(|index| *index != own);
        others
            .map(|index| (self.names[index].clone(), member(index)))
            .collect()
    }

    fn roles(&self) -> Vec<Role> {
        let role = |index| self.own(index).role(&self.members(index));
        (0..self.names.len()).map(role).collect()
    }

    fn count(&self, role: Role) -> usize {
        self.roles()
            .into_iter()
            .filter(|other| *other == role)
            .count()
    }
}

#[gtest]
fn in_a_small_fleet_each_watches_for_itself() {
    let test = Test::new(7);
    expect_that!(test.count(Role::Independent), eq(7));
}

#[gtest]
fn in_a_large_fleet_one_of_each_data_centre_watches_and_one_stands_by() {
    let test = Test::new(60);
    expect_that!(test.count(Role::Watcher), eq(DATA_CENTRES));
    expect_that!(test.count(Role::Standby), eq(DATA_CENTRES));
    expect_that!(test.count(Role::Follower), eq(60 - 2 * DATA_CENTRES));
}

#[gtest]
fn instance_that_knows_nobody_is_on_its_own() {
    let test = Test::new(60);
    expect_that!(test.own(3).role(&Members::new()), eq(Role::Independent));
    expect_that!(test.own(3).persists_streams(&Members::new()), eq(true));
}

#[gtest]
fn two_instances_keep_the_streams_of_all() {
    let test = Test::new(60);
    let keeps = |index: &usize| test.own(*index).persists_streams(&test.members(*index));
    expect_that!((0..60).filter(keeps).count(), eq(2));
}
