//! Instances before upstreams whose answers never end, as real processes.

use {
    googletest::prelude::*,
    std::time::Duration,
    wellplank_standin::{
        endless_soak::{self, Outcome, Setting},
        endless_upstream::Form,
        soak::Plan,
    },
};

/// The smallest machine of the users' sheets, in kibibytes.
const MEMORY_KIB: u64 = 160 << 10;

/// Endless upstreams in each pool, beside three sound ones.
const ONE: usize = 1;
const MOST: usize = 4;

const PLAN: Plan = Plan {
    engines: 3,
    instances: 1,
    lasts: Duration::from_secs(2),
    seed: 1,
};

/// Runs an instance before this many endless upstreams in each pool.
fn run(form: Form, endless: usize) -> Outcome {
    let setting = Setting {
        callers: endless_soak::CALLERS,
        endless,
        form,
        memory_kib: MEMORY_KIB,
    };
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let outcome = runtime.block_on(endless_soak::run(PLAN, setting));
    runtime.shutdown_background();
    outcome
}

/// Processes kept the whole body of a call, and a whole event, until they had no memory left; all that was open there was reset.
#[gtest]
fn process_does_not_keep_an_answer_without_end() {
    let forms = [
        Form::NoLength,
        Form::Length,
        Form::Chunks,
        Form::Events,
        Form::OneEvent,
    ];
    for form in forms {
        let outcome = run(form, ONE);
        let text = format!("{form:?}: {:#?}", outcome.lines());
        expect_that!(outcome.ends(), eq(0), "{text}");
        expect_that!(outcome.peak_kib(), lt(MEMORY_KIB), "{text}");
        expect_that!(outcome.spared.lost(), eq(0), "{text}");
    }
}

/// A reader that always found another informational head kept the one thread of an instance: no request was answered, and no
/// signal heard.
#[gtest]
fn informational_heads_without_end_do_not_hold_up_a_process() {
    expect_serves(Form::Informational);
}

/// The same could be with bytes that are read a few at a time.
#[gtest]
fn small_pieces_without_end_do_not_hold_up_a_process() {
    expect_serves(Form::TinyChunks);
    expect_serves(Form::RisingEvents);
}

fn expect_serves(form: Form) {
    let outcome = run(form, MOST);
    let text = format!("{form:?}: {:#?}", outcome.lines());
    expect_that!(outcome.ends(), eq(0), "{text}");
    expect_that!(outcome.overdue, eq(0), "{text}");
    expect_that!(outcome.spared.served, gt(0), "{text}");
    expect_that!(outcome.spared.lost(), eq(0), "{text}");
}
