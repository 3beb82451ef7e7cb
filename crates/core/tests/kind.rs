//! The table from error kind to answer.

use {
    googletest::prelude::*,
    std::collections::HashSet,
    wellplank_core::kind::{Kind, Ran},
};

#[gtest]
fn every_kind_has_a_name_of_its_own() {
    let names: HashSet<&str> = Kind::ALL.iter().map(|kind| kind.answer().name).collect();
    expect_that!(names.len(), eq(Kind::ALL.len()));
}

#[gtest]
fn what_asks_to_come_back_did_not_run_or_says_maybe() {
    for kind in Kind::ALL {
        let answer = kind.answer();
        if answer.retry {
            let temporary = [429, 502, 503, 504].contains(&answer.status);
            expect_that!(temporary, eq(true), "{kind}");
        }
        if answer.status < 500 && answer.ran == Ran::Maybe {
            let settled = [
                Kind::AlreadyClaimed,
                Kind::CannotResume,
                Kind::EndsUpstreams,
            ];
            expect_that!(settled.contains(&kind), eq(true), "{kind}");
        }
    }
}
