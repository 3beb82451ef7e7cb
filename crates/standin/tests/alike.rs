//! Streams that ask for the same, taken up behind the loss of instances: none goes on from the memory of another.

use {
    googletest::prelude::*,
    wellplank_standin::alike::{Customers, Loss, Outcome, Plan, SPREADS_MS, run},
};

/// Runs every case of a loss with so many instances.
fn cases(loss: Loss, instances: usize) -> Vec<(Plan, Outcome)> {
    let mut cases = Vec::new();
    for customers in Customers::ALL {
        for names_run in [true, false] {
            for alike in [1, 2, 8] {
                for spread_ms in SPREADS_MS {
                    let plan = Plan {
                        alike,
                        customers,
                        instances,
                        loss,
                        lost_of_ten: 0,
                        names_run,
                        seed: 1,
                        spread_ms,
                    };
                    cases.push((plan, run(plan)));
                }
            }
        }
    }
    cases
}

/// Expects that no stream goes on from the copy of another one, and that those whose callers name their runs, and those that are
/// like no other, go on from their own. Behind the loss of all instances, copies are known only of those that the store has: half
/// of those that begin over the longer time.
fn expect_unmixed(loss: Loss, instances: usize) {
    for (plan, outcome) in cases(loss, instances) {
        expect_that!(outcome.foreign, eq(0), "{plan:?}");
        expect_that!(outcome.violations, is_empty(), "{plan:?}");
        expect_that!(outcome.taken_up, gt(0), "{plan:?}");
        let is_told_apart = plan.names_run || plan.alike == 1;
        let least = match loss {
            Loss::All if plan.spread_ms == SPREADS_MS[0] => 0,
            Loss::All => outcome.taken_up / 3,
            Loss::HangUp | Loss::One => outcome.taken_up * 9 / 10,
        };
        if is_told_apart {
            expect_that!(outcome.own, ge(least), "{plan:?}");
        }
    }
}

#[gtest]
fn streams_alike_are_not_mixed_behind_the_loss_of_an_instance() {
    expect_unmixed(Loss::One, 3);
}

#[gtest]
fn streams_alike_are_not_mixed_behind_the_loss_of_all_instances() {
    expect_unmixed(Loss::All, 3);
}

#[gtest]
fn streams_alike_are_not_mixed_behind_a_hang_up() {
    expect_unmixed(Loss::HangUp, 3);
}

#[gtest]
fn streams_alike_are_not_mixed_where_few_instances_keep_records() {
    expect_unmixed(Loss::One, 70);
}
