//! Properties that hold for the error responses of all kinds.

use {
    googletest::prelude::*,
    std::collections::HashSet,
    wellplank_core::kind::{Early, Kind, Ran},
};

#[gtest]
fn names_of_kinds_are_unique() {
    let names: HashSet<&str> = Kind::ALL.iter().map(|kind| kind.answer().name).collect();
    expect_that!(names.len(), eq(Kind::ALL.len()));
}

/// Guards against a kind that is missing in the list by which the other tests go through them.
#[gtest]
fn list_of_kinds_is_complete() {
    for (index, kind) in Kind::ALL.into_iter().enumerate() {
        expect_that!(kind as usize, eq(index), "{kind}");
    }
}

/// Guards against a refusal that promises more by waiting than its caller gets: one that waiting would not change can
/// succeed later only where the instance ends.
#[gtest]
fn kinds_that_waiting_does_not_change_are_not_retried() {
    for kind in Kind::ALL {
        let answer = kind.answer();
        if answer.early == Early::Never && answer.retry {
            let ends = [Kind::Interrupted, Kind::Stopping];
            expect_that!(ends.contains(&kind), eq(true), "{kind}");
        }
    }
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
