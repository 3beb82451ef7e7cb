//! The rule on requests that are cut around planned work, and what it does not count.

use {
    googletest::prelude::*,
    wellplank_core::{availability::Span, clock::Time},
    wellplank_standin::{
        cuts::{Record, Request, Rule, Work},
        departure::Scope,
    },
};

/// When the work is sent.
const SENT: u64 = 20_000;

fn record(work: Work) -> Record {
    let mut record = Record::new(Rule {
        apply_ms: 2_000,
        calm_ms: 3_000,
        grace_ms: 6_000,
    });
    record.plan(work, Time(SENT));
    record
}

/// A request of instance 1 over link 2, which ends at a time.
fn request(sent: u64, ended: u64, is_cut: bool) -> Request {
    Request {
        ended: Time(ended),
        instance: 1,
        is_cut,
        limit_ms: 10_000,
        link: 2,
        run: "run".into(),
        sent: Time(sent),
    }
}

/// Notes requests of one kind.
fn end(record: &mut Record, count: usize, request: &Request) {
    for _ in 0..count {
        record.end(request.clone());
    }
}

/// Instances over the rule.
fn over(record: &Record) -> Vec<usize> {
    let excesses = record.excesses().into_iter();
    excesses.map(|excess| excess.instance).collect()
}

#[gtest]
fn cuts_around_a_configuration_alone_are_over() {
    let mut record = record(Work::Configuration);
    end(&mut record, 3, &request(SENT - 500, SENT + 100, true));
    end(&mut record, 10, &request(5_000, 6_000, false));
    expect_that!(over(&record), elements_are![eq(&1)]);
}

#[gtest]
fn two_cuts_are_no_frequency() {
    let mut record = record(Work::Configuration);
    end(&mut record, 2, &request(SENT - 500, SENT + 100, true));
    end(&mut record, 10, &request(5_000, 6_000, false));
    expect_that!(over(&record), is_empty());
}

/// One third of the requests is cut besides, so that all of them are three times as many and no more.
#[gtest]
fn three_times_as_often_is_allowed_and_more_is_not() {
    let mut record = record(Work::Configuration);
    end(&mut record, 10, &request(SENT - 500, SENT + 100, true));
    end(&mut record, 10, &request(5_000, 6_000, true));
    end(&mut record, 20, &request(5_000, 6_000, false));
    expect_that!(over(&record), is_empty());
    end(&mut record, 1, &request(5_000, 6_000, false));
    expect_that!(over(&record), elements_are![eq(&1)]);
}

#[gtest]
fn a_configuration_counts_until_a_second_behind_the_time_to_apply_it() {
    for (ended, is_over) in [
        (SENT - 1, false),
        (SENT, true),
        (SENT + 2_999, true),
        (SENT + 3_000, false),
    ] {
        let mut record = record(Work::Configuration);
        end(&mut record, 5, &request(ended - 600, ended, true));
        expect_that!(!over(&record).is_empty(), eq(is_over), "ended at {ended}");
    }
}

#[gtest]
fn requests_with_little_time_left_do_not_count() {
    for (used_ms, is_over) in [(6_999, true), (7_000, false)] {
        let mut record = record(Work::Configuration);
        let ended = SENT + 500;
        end(&mut record, 5, &request(ended - used_ms, ended, true));
        expect_that!(!over(&record).is_empty(), eq(is_over), "used {used_ms} ms");
    }
}

#[gtest]
fn disturbances_of_the_instance_or_the_link_excuse_and_others_do_not() {
    for (scope, to, is_over) in [
        (Scope::Instance(1), SENT - 500 - 3_000, false),
        (Scope::Instance(1), SENT - 500 - 3_001, true),
        (Scope::Instance(3), SENT, true),
        (Scope::Link(2), SENT, false),
        (Scope::Link(4), SENT, true),
    ] {
        let mut record = record(Work::Configuration);
        let span = Span {
            from: Time(10_000),
            to: Time(to),
        };
        record.disturb(scope, span);
        end(&mut record, 5, &request(SENT - 500, SENT + 100, true));
        expect_that!(!over(&record).is_empty(), eq(is_over), "{scope:?} to {to}");
    }
}

#[gtest]
fn a_single_cut_around_a_reload_is_over() {
    for (sent, ended, is_over) in [
        (SENT - 500, SENT - 1, false),
        (SENT - 500, SENT + 100, true),
        (SENT + 2_000, SENT + 2_500, true),
        (SENT + 2_001, SENT + 2_500, false),
    ] {
        let mut record = record(Work::Reload(1));
        record.end(request(sent, ended, true));
        expect_that!(!over(&record).is_empty(), eq(is_over), "{sent} to {ended}");
    }
}

#[gtest]
fn a_stop_may_cut_only_what_outlasts_most_of_its_time() {
    for (sent, ended, is_over) in [
        (SENT - 500, SENT + 4_999, true),
        (SENT - 500, SENT + 5_000, false),
        (SENT + 3_000, SENT + 5_000, false),
        (SENT + 3_001, SENT + 5_000, true),
        (SENT + 3_001, SENT + 7_000, false),
    ] {
        let mut record = record(Work::Stop(1));
        record.end(request(sent, ended, true));
        expect_that!(!over(&record).is_empty(), eq(is_over), "{sent} to {ended}");
    }
}

/// An instance that is told to end cuts what outlasts its time; a configuration or a reload beside that is not the cause.
#[gtest]
fn what_outlasts_a_stop_counts_beside_no_other_work() {
    for work in [Work::Configuration, Work::Reload(1)] {
        let mut record = record(work);
        record.plan(Work::Stop(1), Time(SENT - 4_500));
        end(&mut record, 5, &request(SENT - 3_000, SENT + 600, true));
        expect_that!(over(&record), is_empty(), "{work:?}");
        end(&mut record, 5, &request(SENT - 3_000, SENT + 300, true));
        expect_that!(over(&record), not(is_empty()), "{work:?}");
    }
}

#[gtest]
fn work_at_another_instance_does_not_count() {
    let mut record = record(Work::Stop(3));
    record.end(request(SENT - 500, SENT + 100, true));
    expect_that!(over(&record), is_empty());
    expect_that!(record.cuts(), len(eq(1)));
}
