//! Pools whose upstreams run several versions, on platforms where only ordered ones get new work: which of them get it.

use super::*;

/// List entry for an upstream with the given version. Upstreams with a higher index registered later.
fn of_version(index: usize, version: &str) -> ListEntry {
    ListEntry {
        registered_at: Position::new(0, 10 + index as u64),
        version: version.into(),
        ..listed(index, index)
    }
}

/// List of two versions: six upstreams of the old one, then six of the new one that registered later.
fn two_versions() -> Vec<ListEntry> {
    let old = (0..6).map(|index| of_version(index, "v1"));
    let new = (6..12).map(|index| of_version(index, "v2"));
    old.chain(new).collect()
}

/// Creates a core that gives new work to the active version alone.
fn active_only() -> Test {
    let settings = Settings {
        versions: VersionPolicy::Active,
        ..Settings::default()
    };
    Test::set(settings).configured(0)
}

/// Creates a core that knew the old version before the new one was listed.
fn with_new_version() -> Test {
    let mut test = active_only();
    test.list(two_versions()[..6].to_vec());
    test.list(two_versions());
    test
}

/// Upstreams to which 40 requests and their copies were sent.
fn used_upstreams(test: &mut Test, path: &str) -> Vec<usize> {
    let before = test.sent().len();
    for _ in 0..40 {
        test.request(path);
    }
    let sent = test.sent().split_off(before);
    let backups = sent.iter().filter_map(|sent| sent.backup);
    sent.iter()
        .map(|sent| sent.upstream)
        .chain(backups)
        .collect()
}

#[gtest]
fn new_version_gets_nothing_beside_the_active_one() {
    for path in [STREAM, REPEATABLE, NON_REPEATABLE] {
        let mut test = with_new_version();
        let upstreams = used_upstreams(&mut test, path);
        expect_that!(upstreams, not(is_empty()));
        expect_that!(upstreams, each(lt(&6)), "{path}");
    }
}

#[gtest]
fn instance_that_starts_with_two_versions_uses_the_one_registered_first() {
    let mut test = active_only();
    test.list(two_versions());
    expect_that!(used_upstreams(&mut test, REPEATABLE), each(lt(&6)));
}

#[gtest]
fn retry_goes_to_the_active_version_too() {
    let mut test = active_only();
    test.list(vec![
        of_version(0, "v1"),
        of_version(1, "v1"),
        of_version(2, "v2"),
    ]);
    test.request(REPEATABLE);
    let first = test.last_sent();
    test.answer(&first, Verdict::Fault);
    expect_that!(test.last_sent().upstream, lt(2));
    expect_that!(test.last_sent().attempt, not(eq(first.attempt)));
}

#[gtest]
fn lost_stream_resumes_at_the_active_version() {
    let mut test = with_new_version();
    let sent = test.stream(3);
    test.fail(&sent, Failure::Broken);
    expect_that!(test.last_sent().upstream, lt(6));
}

#[gtest]
fn copy_at_another_version_is_not_resumed_from() {
    let mut test = with_new_version();
    test.handle(Event::PeerStream(StreamRecord {
        version: Version::new("pool", "v1"),
        ..stream_record(7, 8)
    }));
    test.request_as("key", STREAM, 9);
    expect_that!(test.last_sent().upstream, lt(6));
    expect_that!(test.last_sent().copy, none());
}

#[gtest]
fn stream_of_a_version_that_gets_no_new_work_goes_on_at_its_copy() {
    let mut test = with_new_version();
    test.handle(Event::PeerStream(stream_record(7, 8)));
    test.request_as("key", STREAM, 9);
    expect_that!(test.last_sent().upstream, eq(8));
    expect_that!(test.last_sent().copy, some(eq("run-before")));
}

#[gtest]
fn another_version_gets_work_once_the_active_one_is_gone() {
    let mut test = with_new_version();
    let leaving = two_versions().into_iter().map(|listed| ListEntry {
        leaving: listed.version == "v1",
        ..listed
    });
    test.list(leaving.collect());
    let upstreams = used_upstreams(&mut test, REPEATABLE);
    expect_that!(upstreams, not(is_empty()));
    expect_that!(upstreams, each(ge(&6)));
}

#[gtest]
fn upstreams_that_announce_leaving_hold_no_other_version_back() {
    let mut test = active_only();
    test.list(vec![of_version(0, "v1"), of_version(1, "v2")]);
    test.request(REPEATABLE);
    let sent = test.last_sent();
    let notice = Notice {
        leaving: true,
        ..Notice::default()
    };
    test.handle(Event::NoticeReceived {
        attempt: sent.attempt,
        notice,
        upstream: sent.key,
    });
    test.answer(&sent, Verdict::Good);
    test.request(REPEATABLE);
    test.advance(100);
    expect_that!(test.last_sent().upstream, eq(1));
}

#[gtest]
fn active_version_gets_all_work_again_when_its_upstreams_return() {
    let mut test = with_new_version();
    test.list(two_versions().split_off(6));
    expect_that!(used_upstreams(&mut test, REPEATABLE), each(ge(&6)));
    test.list(two_versions());
    expect_that!(used_upstreams(&mut test, REPEATABLE), each(lt(&6)));
}

#[gtest]
fn upstreams_without_a_version_count_as_one_version() {
    let mut test = Test::new(12);
    let mut upstreams = used_upstreams(&mut test, REPEATABLE);
    upstreams.sort_unstable();
    upstreams.dedup();
    expect_that!(upstreams.len(), gt(6));
}
