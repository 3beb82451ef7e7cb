//! Steps of one event that remove what a later step of it was about to handle.

use super::*;

/// Version that upstreams state in these tests.
const VERSION: &str = "v1";

/// List entry for an upstream with the given start time.
fn listed_since(upstream: usize, born: u64) -> ListEntry {
    ListEntry {
        born,
        ..listed(upstream, upstream)
    }
}

/// Creates a core with upstreams that all started at 5.
fn started_at_5(upstreams: usize) -> Test {
    let mut test = Test::new(0);
    test.list((0..upstreams).map(|index| listed_since(index, 5)).collect());
    test
}

/// Has a list without one of three upstreams arrive.
fn unlist(test: &mut Test, upstream: usize) {
    let others = (0..3).filter(|other| *other != upstream);
    test.list(others.map(|other| listed_since(other, 5)).collect());
}

#[gtest]
fn restart_of_an_upstream_whose_last_attempt_has_just_ended_ends_no_instance() {
    let mut test = started_at_5(3);
    let sent = test.stream(3);
    unlist(&mut test, sent.upstream);
    test.fail(&sent, Failure::Broken);
    test.list(
        (0..3)
            .map(|index| listed_since(index, if index == sent.upstream { 9 } else { 5 }))
            .collect(),
    );
    expect_that!(test.last_sent().position, eq(3));
    expect_that!(test.outcomes(), is_empty());
}

#[gtest]
fn name_that_is_removed_twice_in_one_change_ends_no_instance() {
    let mut test = started_at_5(3);
    test.handle(Event::ListChanged {
        delta: ListDelta {
            listed: Vec::new(),
            removed: vec!["runner-1".into(), "runner-1".into()],
        },
        requested_at: test.now,
    });
    expect_that!(test.core.upstreams().count(), eq(2));
}

/// Two streams alike at one upstream, whose requests were in two crashes elsewhere; another request was at this upstream's.
fn alike_at_one_upstream() -> Test {
    let mut test = Test::new(0);
    test.list(vec![listed_since(0, 5)]);
    for _ in 0..2 {
        test.stream(2);
    }
    let mut history = CrashHistory::default();
    let alike = RequestFingerprint::new("mill", 0);
    for elsewhere in [7, 8] {
        history.record(incarnation(elsewhere, 5), alike, Involvement::Fresh, NOW);
    }
    let other = RequestFingerprint::new("mill", 1);
    history.record(incarnation(0, 5), other, Involvement::Fresh, NOW);
    test.handle(Event::CrashReported(history.into()));
    test
}

#[gtest]
fn streams_alike_at_an_upstream_that_has_ended_end_no_instance() {
    let mut test = alike_at_one_upstream();
    test.handle(Event::PeerEnds(vec![incarnation(0, 5)]));
    expect_that!(test.outcomes(), elements_are![eq("cut"), eq("cut")]);
}

/// List entry for an upstream of the version.
fn of_version(index: usize) -> ListEntry {
    ListEntry {
        version: VERSION.into(),
        ..listed(index, index)
    }
}

/// A call, and a stream that may go on at its version only, which wait for the only upstream: it has refused both.
fn both_waiting() -> Test {
    let mut test = Test::new(0);
    test.list(vec![of_version(0)]);
    test.request(REPEATABLE);
    let call = test.last_sent();
    let stream = test.stream(3);
    test.apply_notice(
        &stream,
        Notice {
            backoff: Backoff::For(300),
            ..Notice::default()
        },
    );
    test.fail(&stream, Failure::Refused);
    test.fail(&call, Failure::Refused);
    test
}

#[gtest]
fn requests_that_expire_together_end_no_instance() {
    let mut test = both_waiting();
    test.now = test.now.after(30_000);
    // The stream has no upstream any more, which is found out as the call ends.
    test.handle(Event::Leaving("runner-0".into()));
    test.handle(Event::Tick);
    expect_that!(
        test.outcomes(),
        unordered_elements_are![eq("no_upstream"), eq("cut")]
    );
}

/// Guards against a stack that grows with the number of requests that wait.
#[gtest]
fn thousands_of_streams_whose_version_goes_end_no_instance() {
    const STREAMS: usize = 1_000;
    let mut test = Test::new(0);
    test.list(vec![of_version(0)]);
    let sent = test.stream(1);
    test.apply_notice(
        &sent,
        Notice {
            backoff: Backoff::For(3_000),
            ..Notice::default()
        },
    );
    for _ in 0..STREAMS {
        test.request_as("key", STREAM, 3);
    }
    expect_that!(test.core.running(), eq(STREAMS + 1));
    let other = ListEntry {
        version: "v2".into(),
        ..of_version(1)
    };
    test.list(vec![of_version(0), other]);
    test.handle(Event::Leaving("runner-0".into()));
    test.handle(Event::Tick);
    expect_that!(test.outcomes().len(), eq(STREAMS));
}

/// Guards against evidence that is lost with the former life of a restarted upstream.
#[gtest]
fn crash_of_an_upstream_is_known_though_its_last_attempt_ended_before_its_restart_was_listed() {
    for is_delta in [false, true] {
        let mut test = started_at_5(1);
        let (first, second) = (test.stream(3), test.stream(3));
        test.list(vec![listed_since(0, 5), listed_since(1, 5)]);
        // The entry goes while the second stream still runs. Both go on at the other upstream.
        test.fail(&first, Failure::Broken);
        test.list(vec![listed_since(1, 5)]);
        test.fail(&second, Failure::Broken);
        let back = listed_since(0, 9);
        if is_delta {
            test.handle(Event::ListChanged {
                delta: ListDelta {
                    listed: vec![back],
                    removed: Vec::new(),
                },
                requested_at: test.now,
            });
        } else {
            test.list(vec![back, listed_since(1, 5)]);
        }
        let crashes = test.core.crash_history().crashes();
        let crashes: Vec<Incarnation> = crashes.map(|(incarnation, _)| incarnation).collect();
        expect_that!(crashes, elements_are![eq(&incarnation(0, 5))]);
    }
}
