//! Roles of instances in fleets of several sizes.

use {
    googletest::prelude::*,
    wellplank_core::role::Role,
    wellplank_node::members::{LocalMember, Member, Members},
};

/// Number of data centres of each fleet.
const DATA_CENTRES: usize = 3;

/// A fleet whose instances are distributed over the data centres in turn.
struct Fleet {
    names: Vec<String>,
}

impl Fleet {
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

    /// The other instances, as instance `own` knows them.
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
fn every_instance_of_a_small_fleet_watches_for_itself() {
    let fleet = Fleet::new(7);
    expect_that!(fleet.count(Role::Independent), eq(7));
}

#[gtest]
fn large_fleet_has_one_watcher_and_one_standby_in_each_data_centre() {
    let fleet = Fleet::new(60);
    expect_that!(fleet.count(Role::Watcher), eq(DATA_CENTRES));
    expect_that!(fleet.count(Role::Standby), eq(DATA_CENTRES));
    expect_that!(fleet.count(Role::Follower), eq(60 - 2 * DATA_CENTRES));
}

#[gtest]
fn instance_without_known_members_is_independent() {
    let fleet = Fleet::new(60);
    expect_that!(fleet.own(3).role(&Members::new()), eq(Role::Independent));
    expect_that!(fleet.own(3).persists_streams(&Members::new()), eq(true));
}

#[gtest]
fn two_instances_write_the_streams_of_all() {
    let fleet = Fleet::new(60);
    let persists_streams =
        |index: &usize| fleet.own(*index).persists_streams(&fleet.members(*index));
    expect_that!((0..60).filter(persists_streams).count(), eq(2));
}
