//! Answers of upstreams whose status is none, on real sockets: no caller gets them as answers.

use {
    googletest::prelude::*,
    wellplank_standin::{
        client::Work,
        site::{Plan, Site, run},
        worker::{Mode, Worker},
    },
};

/// Statuses that are no status of a final answer: of no three digits, out of range, and informational ones.
const STATUSES: [&str; 18] = [
    "000", "001", "099", "1", "20", "2000", "-200", "0200", "199", "abc", "", "100", "101", "103",
    "600", "700", "999", "1000",
];

fn workers(site: &Site) -> impl Iterator<Item = &Worker> {
    site.engines
        .iter()
        .chain(&site.desks)
        .map(|seat| &seat.worker)
}

/// Has one request of a kind asked while all upstreams answer with a status, for each of them. It is the first of its site: behind
/// one that both upstreams broke off, another may be refused as not run, since they rest.
fn expect_failures(work: Work) {
    for status in STATUSES {
        run(Plan::default(), async |site: Site| {
            for worker in workers(&site) {
                worker.set(Mode::Status(status));
            }
            let ask = work.ask("asked").with("wellplank-timeout-ms", "1500");
            let got = ask.send(site.instances[0].callers).await;
            let text = format!("upstreams said `{status}`: {}", got.body);
            expect_that!(got.status.as_u16(), any!(eq(502), eq(504)), "{text}");
            expect_that!(got.header("x-worker"), eq(""), "{text}");
            expect_that!(site.ledger.runs().len(), gt(0), "{text}");
        });
    }
}

/// An upstream that answered with such a status has run the request: its caller is not told otherwise, and no such answer is
/// passed on.
#[gtest]
fn answer_whose_status_is_none_is_not_passed_on_to_a_call() {
    expect_failures(Work::Call);
}

#[gtest]
fn answer_whose_status_is_none_is_not_passed_on_to_a_call_that_runs_once() {
    expect_failures(Work::Once);
}

#[gtest]
fn answer_whose_status_is_none_is_not_passed_on_to_a_stream() {
    expect_failures(Work::Stream);
}

/// Guards against statuses that are unusual and allowed, which are the upstream's to give.
#[gtest]
fn unusual_statuses_of_final_answers_are_passed_on() {
    for status in ["200", "299", "418", "451", "499", "599"] {
        run(Plan::default(), async |site: Site| {
            for worker in workers(&site) {
                worker.set(Mode::Status(status));
            }
            let ask = Work::Once.ask(&format!("once-{status}"));
            let got = ask.send(site.instances[0].callers).await;
            expect_that!(got.status.as_str(), eq(status));
            expect_that!(got.header("x-worker"), not(eq("")));
        });
    }
}
