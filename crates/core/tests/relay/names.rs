//! An instance lets no stream of unknown origin go on from what it has not seen: the store names the versions.

use super::*;
use wellplank_core::names::{Call, Name};

/// Time after which versions that are no longer listed are forgotten by an instance that sees none of them, in milliseconds.
const CALLERS_WAIT_MS: u64 = 60_000;

/// Time after which a name of a version that is gone is removed, in milliseconds.
const FORGET_MS: u64 = 120_000;

fn of_version(index: usize, version: &str) -> ListEntry {
    ListEntry {
        registered_at: Position::new(0, 10 + index as u64),
        version: version.into(),
        ..listed(index, index)
    }
}

fn name(version: &str) -> Name {
    Name {
        pool: "pool".into(),
        version: Version::new("pool", version),
    }
}

/// Three upstreams of the old version, which the store names.
fn old() -> Vec<ListEntry> {
    (0..3).map(|index| of_version(index, "v1")).collect()
}

/// A core that has seen one version for longer than callers wait.
fn settled() -> Test {
    let mut test = Test::without_configuration().naming_versions();
    test.handle(Event::Config(Arc::new(configuration(1))));
    test.list(old());
    test.handle(Event::VersionsNamed(vec![name("v1")]));
    test.advance(CALLERS_WAIT_MS + 1_000);
    test
}

/// What the core has asked of the names.
fn calls(test: &Test) -> Vec<Call> {
    let call = |effect: &Effect| match effect {
        Effect::Names(call) => Some(call.clone()),
        _ => None,
    };
    test.effects.iter().filter_map(call).collect()
}

/// Numbers of the reads that have begun.
fn reads(test: &Test) -> Vec<u64> {
    let number = |call: Call| match call {
        Call::Read(number) => Some(number),
        Call::Forget(_) | Call::Name(_) => None,
    };
    calls(test).into_iter().filter_map(number).collect()
}

/// Ends the last read; `None` if it fails.
fn end_read(test: &mut Test, names: Option<&[&str]>) {
    let number = *reads(test).last().expect("a read has begun");
    let names = names.map(|names| names.iter().map(|version| name(version)).collect());
    test.handle(Event::VersionsRead { names, number });
}

/// Takes up a stream of which nothing is known.
fn take_up(test: &mut Test) {
    test.resumes = Some(RunId::new("elsewhere"));
    test.request_as("key", STREAM, 9);
}

/// Error kinds that callers got, with their retry delays.
fn refusals(test: &Test) -> Vec<(Kind, Option<u64>)> {
    let refusal = |effect: &Effect| match effect {
        Effect::Fail {
            kind,
            retry_after_ms,
            ..
        } => Some((*kind, *retry_after_ms)),
        _ => None,
    };
    test.effects.iter().filter_map(refusal).collect()
}

#[gtest]
fn stream_of_unknown_origin_does_not_go_on_before_the_names_are_read() {
    let mut test = settled();
    take_up(&mut test);
    expect_that!(test.sent(), is_empty());
    end_read(&mut test, Some(&["v1"]));
    expect_that!(test.last_sent().position, eq(9));
}

/// Guards against joining two versions at an instance whose list is out of date: it was cut off, stood still, or its watch is
/// silent.
#[gtest]
fn instance_that_has_missed_a_version_does_not_go_on_with_its_streams() {
    let mut test = settled();
    take_up(&mut test);
    end_read(&mut test, Some(&["v1", "v2"]));
    test.advance(300);
    expect_that!(test.sent(), is_empty());
    expect_that!(
        refusals(&test),
        elements_are![(eq(&Kind::VersionUnknown), some(gt(&0)))]
    );
}

#[gtest]
fn instance_that_has_missed_a_version_asks_others_for_the_stream() {
    let mut test = settled();
    take_up(&mut test);
    end_read(&mut test, Some(&["v1", "v2"]));
    let is_lookup = |effect: &&Effect| matches!(effect, Effect::FindStream(_));
    expect_that!(test.effects.iter().filter(is_lookup).count(), eq(1));
    let record = StreamRecord {
        origin: RunId::new("elsewhere"),
        version: Version::new("pool", "v1"),
        ..stream_record(20, 21)
    };
    test.handle(Event::PeerStream(record));
    expect_that!(test.last_sent().position, eq(9));
}

#[gtest]
fn read_that_began_before_a_stream_came_says_nothing_of_its_version() {
    let mut test = settled();
    take_up(&mut test);
    test.resumes = Some(RunId::new("another"));
    test.request_as("key", STREAM, 7);
    end_read(&mut test, Some(&["v1"]));
    expect_that!(test.sent().len(), eq(1));
    expect_that!(reads(&test).len(), eq(2));
    end_read(&mut test, Some(&["v1", "v2"]));
    test.advance(300);
    expect_that!(test.sent().len(), eq(1));
    expect_that!(refusals(&test).len(), eq(1));
}

#[gtest]
fn streams_that_come_during_a_read_share_the_next_one() {
    let mut test = settled();
    for _ in 0..20 {
        take_up(&mut test);
    }
    end_read(&mut test, Some(&["v1"]));
    end_read(&mut test, Some(&["v1"]));
    expect_that!(reads(&test).len(), eq(2));
    expect_that!(test.sent().len(), gt(0));
}

#[gtest]
fn stream_whose_names_can_not_be_read_is_asked_to_come_back() {
    let mut test = settled();
    take_up(&mut test);
    end_read(&mut test, None);
    expect_that!(test.sent(), is_empty());
    expect_that!(
        refusals(&test),
        elements_are![(eq(&Kind::VersionUnknown), some(gt(&0)))]
    );
}

#[gtest]
fn new_version_gets_no_stream_before_it_is_named() {
    let mut test = settled();
    let new = (3..6).map(|index| of_version(index, "v2"));
    test.list(old().into_iter().chain(new).collect());
    expect_that!(calls(&test), contains(eq(&Call::Name(vec![name("v2")]))));
    for _ in 0..10 {
        test.request(STREAM);
        expect_that!(test.last_sent().upstream, lt(3));
    }
    test.handle(Event::VersionsNamed(vec![name("v2")]));
    for _ in 0..30 {
        test.request(STREAM);
    }
    expect_that!(test.sent(), contains(field!(&Sent.upstream, ge(3))));
}

#[gtest]
fn new_version_is_used_where_no_other_is_or_the_store_does_not_answer() {
    let mut test = settled();
    test.list((3..6).map(|index| of_version(index, "v2")).collect());
    test.request(STREAM);
    expect_that!(test.last_sent().upstream, ge(3));
    let mut test = settled();
    let new = (3..6).map(|index| of_version(index, "v2"));
    test.list(old().into_iter().chain(new).collect());
    test.advance(1_600);
    for _ in 0..30 {
        test.request(STREAM);
    }
    expect_that!(test.sent(), contains(field!(&Sent.upstream, ge(3))));
}

#[gtest]
fn version_that_comes_back_is_named_again() {
    let mut test = settled();
    test.list((3..6).map(|index| of_version(index, "v2")).collect());
    test.handle(Event::VersionsNamed(vec![name("v1"), name("v2")]));
    test.advance(CALLERS_WAIT_MS + 1_000);
    test.effects.clear();
    test.list(old());
    expect_that!(
        calls(&test),
        elements_are![eq(&Call::Name(vec![name("v1")]))]
    );
}

#[gtest]
fn name_of_a_version_that_is_gone_is_removed_by_an_instance_that_was_in_touch() {
    let forgotten = |test: &Test| calls(test).contains(&Call::Forget(name("v1")));
    for is_away in [false, true] {
        let mut test = settled();
        test.list((3..6).map(|index| of_version(index, "v2")).collect());
        test.handle(Event::VersionsNamed(vec![name("v1"), name("v2")]));
        test.advance(FORGET_MS - 1_000);
        expect_that!(forgotten(&test), eq(false));
        if is_away {
            test.handle(Event::StoreAway(Some(test.now)));
            test.advance(500);
            test.handle(Event::StoreAway(None));
        }
        test.advance(2_000);
        expect_that!(forgotten(&test), eq(!is_away));
    }
}

/// Three upstreams of each of two pools, each of one version.
fn two_pools() -> Vec<ListEntry> {
    let other = (3..6).map(|index| ListEntry {
        pool: "other".into(),
        ..of_version(index, "v1")
    });
    old().into_iter().chain(other).collect()
}

/// The names of the versions of both pools.
fn names_of_two_pools() -> Vec<Name> {
    let other = Name {
        pool: "other".into(),
        version: Version::new("other", "v1"),
    };
    vec![name("v1"), other]
}

/// A core that has seen streams go to the pools, each of one version, for longer than callers wait.
fn settled_with(pools: &[&str]) -> Test {
    let mut test = Test::without_configuration().naming_versions();
    let config = stream_version::streaming_to(1, pools);
    test.handle(Event::Config(Arc::new(config)));
    test.list(two_pools());
    test.handle(Event::VersionsNamed(names_of_two_pools()));
    test.advance(CALLERS_WAIT_MS + 1_000);
    test
}

/// Ends the read that has begun, if any, with the names of both pools.
fn end_read_of_two_pools(test: &mut Test) {
    if let Some(number) = reads(test).last().copied() {
        let names = Some(names_of_two_pools());
        test.handle(Event::VersionsRead { names, number });
    }
    test.advance(300);
}

/// Guards against a stream that one service of a split route began and another one goes on with, as the draw by weight falls.
#[gtest]
fn stream_of_unknown_origin_does_not_go_on_at_a_route_of_two_services() {
    let mut test = settled_with(&["pool", "other"]);
    for _ in 0..10 {
        take_up(&mut test);
    }
    end_read_of_two_pools(&mut test);
    expect_that!(test.sent(), is_empty());
    expect_that!(refusals(&test).len(), eq(10));
}

/// Guards against a stream that begins at one service and goes on at another one to which the operator has moved its route.
#[gtest]
fn stream_of_unknown_origin_does_not_go_on_at_the_service_that_its_route_has_moved_to() {
    let mut test = settled_with(&["pool"]);
    let moved = stream_version::streaming_to(2, &["other"]);
    test.handle(Event::Config(Arc::new(moved)));
    test.handle(Event::VersionsNamed(names_of_two_pools()));
    test.advance(1_000);
    take_up(&mut test);
    end_read_of_two_pools(&mut test);
    expect_that!(test.sent(), is_empty());
    expect_that!(refusals(&test).len(), eq(1));
}

/// Guards against streams refused for ever since a route was moved: callers wait for a bounded time.
#[gtest]
fn stream_of_unknown_origin_goes_on_at_the_service_that_its_route_moved_to_long_ago() {
    let mut test = settled_with(&["pool"]);
    let moved = stream_version::streaming_to(2, &["other"]);
    test.handle(Event::Config(Arc::new(moved)));
    test.handle(Event::VersionsNamed(names_of_two_pools()));
    test.advance(CALLERS_WAIT_MS + 1_000);
    take_up(&mut test);
    end_read_of_two_pools(&mut test);
    expect_that!(test.sent().len(), eq(1));
}

/// Time within which a version is asked for once more that is still not named, in milliseconds.
const ASKED_AGAIN_MS: u64 = 20_000;

/// Guards against instances that look for a name for ever though no upstream has its version any more, or that never look again.
#[gtest]
fn version_that_stays_unnamed_is_asked_for_as_long_as_it_is_listed() {
    let mut test = settled();
    let new = (3..6).map(|index| of_version(index, "v2"));
    test.list(old().into_iter().chain(new).collect());
    test.effects.clear();
    test.advance(ASKED_AGAIN_MS);
    expect_that!(calls(&test), contains(eq(&Call::Name(vec![name("v2")]))));
    test.request(STREAM);
    test.list(old());
    test.effects.clear();
    test.advance(2 * ASKED_AGAIN_MS);
    expect_that!(calls(&test), is_empty());
}

/// Guards against reads that use up what all instances together may read from the store, so that calls of others are refused.
#[gtest]
fn reads_of_names_leave_the_rate_of_the_store_to_others() {
    const READS_PER_SECOND: u64 = 2_000;
    for instances in [1, 6, 30, 300] {
        let reads = instances * reads_in_a_second(instances);
        expect_that!(reads, le(READS_PER_SECOND / 2 + instances), "{instances}");
    }
}

/// Reads of an instance that meets a stream of unknown origin in each 10 ms of a second.
fn reads_in_a_second(instances: u64) -> u64 {
    const ANSWERED_MS: u64 = 10;
    let mut test = settled();
    test.handle(Event::Instances(View::numbered(0, instances)));
    for number in 0..1_000 / ANSWERED_MS {
        test.resumes = Some(RunId::new(&format!("elsewhere-{number}")));
        test.request_as("key", STREAM, 9);
        test.advance(ANSWERED_MS);
        end_read(&mut test, Some(&["v1"]));
    }
    let count = reads(&test).len() as u64;
    test.advance(1_000);
    expect_that!(test.sent().len(), gt(0));
    count
}

/// Guards against streams of a version that nobody has named yet: it joined while all instances were lost, and another instance
/// that started with an older copy of the list does not know of it.
#[gtest]
fn starting_instance_gives_no_stream_to_one_of_several_versions_before_it_is_named() {
    let mut test = Test::without_configuration().naming_versions();
    test.handle(Event::Config(Arc::new(configuration(1))));
    let new = (3..6).map(|index| of_version(index, "v2"));
    test.list(old().into_iter().chain(new).collect());
    for _ in 0..10 {
        test.request(STREAM);
    }
    expect_that!(test.sent(), not(contains(field!(&Sent.upstream, ge(3)))));
    test.handle(Event::VersionsNamed(vec![name("v1")]));
    for _ in 0..10 {
        test.request(STREAM);
    }
    expect_that!(test.sent(), not(contains(field!(&Sent.upstream, ge(3)))));
    test.handle(Event::VersionsNamed(vec![name("v2")]));
    for _ in 0..10 {
        test.request(STREAM);
    }
    expect_that!(test.sent(), contains(field!(&Sent.upstream, ge(3))));
}

/// Guards against streams that go on at the service that their route has moved to, at an instance that started behind the move.
#[gtest]
fn stream_of_unknown_origin_does_not_go_on_at_an_instance_that_started_behind_the_move_of_its_route()
 {
    let mut test = Test::without_configuration().naming_versions();
    let moved = stream_version::streaming_to(2, &["other"]);
    test.handle(Event::Config(Arc::new(moved)));
    test.list(two_pools());
    test.handle(Event::VersionsNamed(names_of_two_pools()));
    test.advance(1_000);
    take_up(&mut test);
    end_read_of_two_pools(&mut test);
    expect_that!(test.sent(), is_empty());
}
