//! Upstreams that crash together, as in a loss of power or a release, beside a popular request that is harmless.
//!
//! Seven of 24 upstreams were killed at one moment while a quarter of all requests asked for one thing. Three of these
//! crashes counted as three pieces of evidence against it: it was refused with 400 from then on, 35 of 498 requests, and
//! 28 of its streams were broken off at the 17 upstreams that lived on (`review/3`).

use {
    googletest::prelude::*,
    wellplank_core::settings::Settings,
    wellplank_standin::common_cause::{self, Outcome, Plan},
};

/// Shares of the popular request among all.
const SHARES: [f64; 3] = [0.05, 0.28, 0.6];

/// What came of crashes of one upstream, of several and of a zone, for each share.
fn outcomes(instances: usize, engines: usize, seeds: u64) -> Vec<(usize, f64, u64, Outcome)> {
    let mut outcomes = Vec::new();
    for crashed in [1, 7 * engines / 24, engines / 3] {
        for share in SHARES {
            for seed in 1..=seeds {
                let plan = Plan {
                    crashed,
                    engines,
                    guilt: Settings::default().quarantine,
                    instances,
                    share,
                };
                outcomes.push((crashed, share, seed, common_cause::case(seed, plan)));
            }
        }
    }
    outcomes
}

fn refused(outcomes: &[(usize, f64, u64, Outcome)]) -> Vec<&(usize, f64, u64, Outcome)> {
    let refused = outcomes.iter();
    refused
        .filter(|(.., outcome)| outcome.refused > 0)
        .collect()
}

#[gtest]
fn popular_request_is_not_refused_behind_a_common_crash_at_six_instances() {
    let outcomes = outcomes(6, 24, 3);
    expect_that!(refused(&outcomes), is_empty());
}

#[gtest]
fn popular_request_is_not_refused_behind_a_common_crash_at_71_instances() {
    let outcomes = outcomes(71, 80, 1);
    expect_that!(refused(&outcomes), is_empty());
}
