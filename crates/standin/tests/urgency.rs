//! Streams of three kinds that compete for too little capacity, in virtual time.

use {
    googletest::prelude::*,
    std::sync::LazyLock,
    wellplank_core::settings::{UrgencyMode, UrgencySettings},
    wellplank_standin::urgency::{self, Outcome, Plan},
};

/// Days that are played in each way.
const SEEDS: u64 = 2;

/// Instances of the fleets that are played.
const FLEETS: [usize; 3] = [1, 6, 71];

/// What came of days without ranks and with them.
struct Days {
    off: Outcome,
    ranks: Outcome,
}

/// The days of each fleet, for all tests.
static DAYS: LazyLock<[Days; 3]> = LazyLock::new(|| {
    FLEETS.map(|instances| Days {
        off: days(instances, UrgencyMode::Off),
        ranks: days(instances, UrgencyMode::Ranks),
    })
});

fn plan(instances: usize, mode: UrgencyMode, seed: u64) -> Plan {
    Plan {
        engines: 24,
        instances,
        load: 1.2,
        short: 0.6,
        seed,
        urgency: UrgencySettings {
            mode,
            ..UrgencySettings::default()
        },
    }
}

fn days(instances: usize, mode: UrgencyMode) -> Outcome {
    let mut all = Outcome::default();
    for seed in 0..SEEDS {
        all.add(&urgency::run(plan(instances, mode, seed)));
    }
    all
}

/// Guards against kinds that are served by their patience instead of their urgency.
#[gtest]
fn no_less_urgent_kind_is_served_more_often() {
    for (days, instances) in DAYS.iter().zip(FLEETS) {
        let served = days.ranks.kinds.map(urgency::Served::share);
        expect_that!(served[1] - served[0], le(0.05), "{instances} instances");
        expect_that!(served[2] - served[1], le(0.05), "{instances} instances");
        let before = days.off.kinds.map(urgency::Served::share);
        expect_that!(before[2] - before[0], gt(0.05), "{instances} instances");
    }
}

/// Guards against urgent streams that wait for less urgent ones, though their demand fits what is left.
#[gtest]
fn most_urgent_kind_has_nearly_all_of_its_worth() {
    for (days, instances) in DAYS.iter().zip(FLEETS) {
        let worth = days.ranks.kinds[0].mean_worth();
        expect_that!(worth, ge(0.95), "{instances} instances");
    }
}

/// Guards against ranks without effect on the most urgent kind.
#[gtest]
fn most_urgent_kind_gains_by_ranks() {
    for (days, instances) in DAYS.iter().zip(FLEETS) {
        let (before, after) = (days.off.kinds[0], days.ranks.kinds[0]);
        expect_that!(
            after.mean_worth(),
            gt(before.mean_worth()),
            "{instances} instances"
        );
        expect_that!(after.share(), gt(before.share()), "{instances} instances");
    }
}

/// Guards against urgency that costs more than it brings.
#[gtest]
fn total_worth_is_not_lower_than_without_ranks() {
    for (days, instances) in DAYS.iter().zip(FLEETS) {
        let (before, after) = (days.off.all(), days.ranks.all());
        expect_that!(
            after.mean_worth(),
            ge(before.mean_worth()),
            "{instances} instances"
        );
    }
}

/// Guards against callers that come back while the shortage lasts.
#[gtest]
fn returns_that_are_refused_again_are_halved() {
    for (days, instances) in DAYS.iter().zip(FLEETS) {
        expect_that!(
            days.ranks.refused_again * 2,
            le(days.off.refused_again),
            "{instances} instances"
        );
    }
}

/// Guards against a kind or a customer that starves: each is served at least a quarter as often as all.
#[gtest]
fn no_kind_and_no_customer_starves() {
    for (days, instances) in DAYS.iter().zip(FLEETS) {
        let all = days.ranks.all().share();
        for served in days.ranks.kinds {
            expect_that!(served.share(), ge(all / 4.0), "{instances} instances");
        }
        // By chance, a customer with fewer requests may have none served.
        expect_that!(
            days.ranks.least_customer(8),
            ge(all / 4.0),
            "{instances} instances"
        );
    }
}

/// Guards against plays that can not be repeated.
#[gtest]
fn the_same_seed_gives_the_same_day() {
    let first = urgency::run(plan(1, UrgencyMode::Ranks, 5));
    expect_that!(
        urgency::run(plan(1, UrgencyMode::Ranks, 5)) == first,
        eq(true)
    );
}
