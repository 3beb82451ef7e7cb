//! Properties that hold for the error responses of all kinds.

use {
    googletest::prelude::*,
    std::collections::HashSet,
    wellplank_core::kind::{Kind, Ran},
};

#[gtest]
fn names_of_kinds_are_unique() {
    let names: HashSet<&str> = Kind::ALL.iter().map(|kind| kind.answer().name).collect();
    expect_that!(names.len(), eq(Kind::ALL.len()));
}

#[gtest]
fn retryable_kinds_are_temporary_and_few_client_errors_may_have_run() {
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
