//! Costs that must not grow with the fleet.

use {
    googletest::prelude::*,
    wellplank_core::{
        clock::Time,
        core::Core,
        event::{Event, ListDelta, ListEntry},
        position::Position,
        settings::Settings,
    },
};

/// Numbers of upstreams between which costs are compared.
const SMALL: usize = 100;
const LARGE: usize = 10_000;

/// Ticks in ten seconds.
const TICKS: u64 = 1_000;

fn entry(index: usize) -> ListEntry {
    ListEntry {
        address: ([10, 0, (index >> 8) as u8, index as u8], 80).into(),
        born: 1,
        data_centre: "hall".into(),
        leaving: false,
        name: format!("engine-{index}"),
        pool: "engines".into(),
        registered_at: Position::new(0, index as u64),
        slots: 8,
        version: "1".into(),
    }
}

/// An instance on the users' platform that knows so many upstreams.
fn core(upstreams: usize) -> Core {
    let settings = Settings {
        probes: false,
        ..Settings::default()
    };
    let mut core = Core::new(settings, [0; 32], 1, Time(0));
    let delta = ListDelta {
        listed: (0..upstreams).map(entry).collect(),
        removed: Vec::new(),
    };
    change(&mut core, delta);
    core
}

fn change(core: &mut Core, delta: ListDelta) {
    let requested_at = Time(0);
    core.handle(
        Time(0),
        Event::ListChanged {
            delta,
            requested_at,
        },
    );
}

/// Looks at an upstream that an action takes.
fn visits(core: &mut Core, action: impl FnOnce(&mut Core)) -> u64 {
    let before = core.upstream_visits();
    action(core);
    core.upstream_visits() - before
}

/// Looks at an upstream that ten seconds without requests take.
fn visits_at_rest(upstreams: usize) -> u64 {
    visits(&mut core(upstreams), |core| {
        for tick in 1..=TICKS {
            core.handle(Time(10 * tick), Event::Tick);
        }
    })
}

/// Looks at an upstream that one more, one that leaves and one that is gone take.
fn visits_of_a_change(upstreams: usize) -> u64 {
    let leaving = ListEntry {
        leaving: true,
        ..entry(1)
    };
    let delta = ListDelta {
        listed: vec![entry(upstreams), leaving],
        removed: vec![entry(2).name],
    };
    visits(&mut core(upstreams), |core| change(core, delta))
}

#[gtest]
fn rest_costs_the_same_whatever_the_number_of_upstreams() {
    expect_that!(visits_at_rest(LARGE), eq(visits_at_rest(SMALL)));
}

#[gtest]
fn change_of_the_list_costs_the_same_whatever_the_number_of_upstreams() {
    expect_that!(visits_of_a_change(LARGE), eq(visits_of_a_change(SMALL)));
}

#[gtest]
fn list_changes_apply_like_the_whole_list() {
    let mut core = core(SMALL);
    let delta = ListDelta {
        listed: vec![entry(SMALL)],
        removed: vec![entry(2).name],
    };
    change(&mut core, delta);
    let names: Vec<String> = core.upstreams().map(|one| one.name.to_string()).collect();
    expect_that!(names.len(), eq(SMALL));
    expect_that!(names, contains(eq(&entry(SMALL).name)));
    expect_that!(names, not(contains(eq(&entry(2).name))));
}
