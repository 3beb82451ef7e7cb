//! The fault matrix and randomised runs with fixed seeds, in virtual time.

use {
    googletest::prelude::*,
    wellplank_core::settings::{ResumeMode, Settings},
    wellplank_standin::{
        asker::{Ask, End, Step},
        matrix::{self, Cell, Fault},
        poison, random, relayed, relaying,
    },
};

/// Cases of the randomised run that every check makes.
const CASES: u64 = 60;

/// Cases with requests that end their upstreams that every check runs.
const POISON_CASES: u64 = 8;

/// Cases of the randomised run of relayed requests that every check makes.
const RELAYING_CASES: u64 = 100;

fn broken(cells: &[Cell]) -> Vec<&Cell> {
    cells.iter().filter(|cell| !cell.holds()).collect()
}

#[gtest]
fn every_fault_at_every_step_holds() {
    let cells = matrix::run(&Settings::default());
    expect_that!(broken(&cells), is_empty());
    expect_that!(cells.len(), gt(300));
}

#[gtest]
fn matrix_fails_without_continuation() {
    let settings = Settings {
        continuation: false,
        ..Settings::default()
    };
    let cell = matrix::cell(
        Ask::Generate,
        Step::Streaming,
        Fault::EngineKilled,
        &settings,
    );
    expect_that!(cell.holds(), eq(false));
}

#[gtest]
fn non_repeatable_generation_is_not_continued_when_that_is_switched_off() {
    let settings = Settings {
        continue_non_repeatable: false,
        ..Settings::default()
    };
    let cell = matrix::cell(
        Ask::GenerateOnce,
        Step::Streaming,
        Fault::EngineKilled,
        &settings,
    );
    expect_that!(cell.violations, is_empty());
    let end = cell.end.unwrap();
    expect_that!(end, eq(End::Failed(wellplank_core::kind::Kind::Unknown)));
}

#[gtest]
fn every_fault_at_every_step_of_a_relayed_request_holds() {
    let cells = relayed::run(ResumeMode::Copy);
    let broken: Vec<&relayed::Cell> = cells.iter().filter(|cell| !cell.holds()).collect();
    expect_that!(broken, is_empty());
    expect_that!(cells.len(), eq(165));
}

#[gtest]
fn relayed_streams_lose_time_without_copies() {
    let pause = |resume| {
        let cells = relayed::run(resume);
        let killed = |cell: &&relayed::Cell| {
            cell.fault == relayed::Fault::EngineKilled && cell.step == relayed::Step::Streaming
        };
        cells.iter().find(killed).map(|cell| cell.pause_ms)
    };
    expect_that!(pause(ResumeMode::Copy), some(lt(100)));
    expect_that!(pause(ResumeMode::Anew), some(ge(300)));
}

#[gtest]
fn random_faults_break_nothing() {
    for seed in 1..=CASES {
        let case = random::case(seed, &Settings::default());
        expect_that!(case.violations, is_empty(), "seed {seed}");
    }
}

#[gtest]
fn random_faults_break_nothing_that_is_relayed() {
    let mut all = relaying::Case::default();
    for seed in 1..=RELAYING_CASES {
        let case = relaying::case(seed, ResumeMode::Copy);
        expect_that!(case.violations, is_empty(), "seed {seed}");
        all.add(case);
    }
    expect_that!(all.copies, gt(100));
    expect_that!(all.whole * 10, gt(all.requests * 7));
    // Streams that callers take up go on at least half as often as new ones begin.
    expect_that!(
        2 * all.went_on * all.streams,
        ge(all.taken_up * all.streams_begun)
    );
}

#[gtest]
fn requests_that_end_their_upstreams_are_not_sent_on_beside_random_faults() {
    for seed in 1..=POISON_CASES {
        let outcome = poison::case(seed, poison::Plan::default());
        expect_that!(outcome.violations, is_empty());
    }
}

#[gtest]
fn requests_that_end_their_upstreams_are_sent_on_where_nothing_is_known_of_them() {
    let plan = poison::Plan {
        faults: false,
        guilt: wellplank_core::settings::QuarantineRule::Off,
        poisons: Some(1),
        ..poison::Plan::default()
    };
    expect_that!(poison::case(1, plan).violations, not(is_empty()));
}
