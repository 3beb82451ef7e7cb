//! Streams stay at the software version of the upstream that began them.

use super::*;

/// List entry for an upstream with the given version.
fn of_version(index: usize, version: &str) -> ListEntry {
    ListEntry {
        registered_at: Position::new(0, 10 + index as u64),
        version: version.into(),
        ..listed(index, index)
    }
}

/// Three upstreams of an old version, and three of a new one.
fn two_versions() -> Vec<ListEntry> {
    let old = (0..3).map(|index| of_version(index, "v1"));
    let new = (3..6).map(|index| of_version(index, "v2"));
    old.chain(new).collect()
}

/// A core that knows two versions, with a stream of three events at the old one.
fn with_stream() -> (Test, Sent) {
    let mut test = Test::new(0);
    test.list(two_versions()[..3].to_vec());
    let sent = test.stream(3);
    test.list(two_versions());
    (test, sent)
}

/// Has all upstreams of the old version leave.
fn retire_old(test: &mut Test) {
    let leaving = two_versions().into_iter().map(|listed| ListEntry {
        leaving: listed.version == "v1",
        ..listed
    });
    test.list(leaving.collect());
}

#[gtest]
fn lost_stream_does_not_go_on_at_another_version() {
    let (mut test, sent) = with_stream();
    retire_old(&mut test);
    test.fail(&sent, Failure::Broken);
    expect_that!(test.sent().len(), eq(1));
    expect_that!(test.outcomes(), elements_are![eq("cut")]);
}

#[gtest]
fn stream_that_its_caller_takes_up_does_not_go_on_at_another_version() {
    let (mut test, sent) = with_stream();
    retire_old(&mut test);
    test.handle(Event::CallerGone(Caller(1)));
    test.request_as("key", STREAM, 3);
    expect_that!(test.sent().len(), eq(1), "{sent:?}");
    expect_that!(test.outcomes().len(), eq(1));
}

#[gtest]
fn stream_that_began_at_a_version_that_is_no_longer_listed_does_not_go_on() {
    let (mut test, _) = with_stream();
    test.handle(Event::CallerGone(Caller(1)));
    test.list(two_versions().split_off(3));
    test.request_as("key", STREAM, 3);
    expect_that!(test.sent().len(), eq(1));
    expect_that!(test.outcomes().len(), eq(1));
}

#[gtest]
fn copy_is_not_kept_at_another_version() {
    let mut test = Test::new(0);
    test.list(vec![of_version(0, "v1"), of_version(3, "v2")]);
    retire_old(&mut test);
    test.list(vec![
        ListEntry {
            leaving: true,
            ..of_version(0, "v1")
        },
        of_version(3, "v2"),
        of_version(6, "v3"),
    ]);
    for _ in 0..10 {
        test.request(STREAM);
        expect_that!(test.last_sent().backup, none());
    }
}
