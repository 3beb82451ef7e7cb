//! Upstreams of several versions in one pool: which of them are given work.

use super::*;

/// An upstream of a version at its place, entered in the order of the places.
fn of_version(place: usize, version: &str) -> ListEntry {
    ListEntry {
        since: Position::new(0, 10 + place as u64),
        version: version.into(),
        ..listed(place, place)
    }
}

/// Upstreams of two versions: the first six of one, the next six of another, entered later.
fn both() -> Vec<ListEntry> {
    let old = (0..6).map(|place| of_version(place, "v1"));
    let new = (6..12).map(|place| of_version(place, "v2"));
    old.chain(new).collect()
}

/// A core that knew the old version before the new one came.
fn beside() -> Test {
    let mut test = Test::new(0);
    test.list(both()[..6].to_vec());
    test.list(both());
    test
}

/// Places to which some requests were sent.
fn places(test: &mut Test, path: &str) -> Vec<usize> {
    let before = test.sent().len();
    for _ in 0..40 {
        test.ask(path);
    }
    let sent = test.sent().split_off(before);
    let backups = sent.iter().filter_map(|sent| sent.backup);
    sent.iter()
        .map(|sent| sent.upstream)
        .chain(backups)
        .collect()
}

#[gtest]
fn version_that_nobody_ordered_gets_nothing_beside_the_one_in_force() {
    for path in [STREAM, AGAIN, ONCE] {
        let mut test = beside();
        let places = places(&mut test, path);
        expect_that!(places, not(is_empty()));
        expect_that!(places, each(lt(&6)), "{path}");
    }
}

#[gtest]
fn instance_that_starts_amid_two_versions_takes_the_one_that_was_there_first() {
    let mut test = Test::new(0);
    test.list(both());
    expect_that!(places(&mut test, AGAIN), each(lt(&6)));
}

#[gtest]
fn second_sending_goes_to_the_version_in_force_too() {
    let mut test = Test::new(0);
    test.list(vec![
        of_version(0, "v1"),
        of_version(1, "v1"),
        of_version(2, "v2"),
    ]);
    test.ask(AGAIN);
    let first = test.last();
    test.answer(&first, Verdict::Fault);
    expect_that!(test.last().upstream, lt(2));
    expect_that!(test.last().attempt, not(eq(first.attempt)));
}

#[gtest]
fn lost_stream_goes_on_at_the_version_in_force() {
    let mut test = beside();
    let sent = test.stream(3);
    test.fail(&sent, Failure::Broken);
    expect_that!(test.last().upstream, lt(6));
}

#[gtest]
fn copy_at_another_version_is_not_gone_on_from() {
    let mut test = beside();
    test.tell(Event::PeerStream(Sighting {
        backup: Some(life(8, 0)),
        upstream: Some(life(7, 0)),
        ..sighting(7, 8)
    }));
    test.ask_as("key", STREAM, 9);
    expect_that!(test.last().upstream, lt(6));
    expect_that!(test.last().copy, none());
}

#[gtest]
fn another_version_is_given_work_once_nothing_of_the_one_in_force_stays() {
    let mut test = beside();
    let leaving = both().into_iter().map(|listed| ListEntry {
        leaving: listed.version == "v1",
        ..listed
    });
    test.list(leaving.collect());
    let places_then = places(&mut test, AGAIN);
    expect_that!(places_then, not(is_empty()));
    expect_that!(places_then, each(ge(&6)));
}

#[gtest]
fn upstreams_that_say_beside_answers_that_they_leave_hold_no_other_version_back() {
    let mut test = Test::new(0);
    test.list(vec![of_version(0, "v1"), of_version(1, "v2")]);
    test.ask(AGAIN);
    let sent = test.last();
    let notice = Notice {
        leaving: true,
        ..Notice::default()
    };
    test.tell(Event::NoticeReceived {
        attempt: sent.attempt,
        notice,
        upstream: sent.key,
    });
    test.answer(&sent, Verdict::Good);
    test.ask(AGAIN);
    test.pass(100);
    expect_that!(test.last().upstream, eq(1));
}

#[gtest]
fn version_in_force_has_all_work_again_when_its_upstreams_are_back() {
    let mut test = beside();
    test.list(both().split_off(6));
    expect_that!(places(&mut test, AGAIN), each(ge(&6)));
    test.list(both());
    expect_that!(places(&mut test, AGAIN), each(lt(&6)));
}

#[gtest]
fn upstreams_that_do_not_say_their_version_are_of_one() {
    let mut test = Test::new(12);
    let mut places = places(&mut test, AGAIN);
    places.sort_unstable();
    places.dedup();
    expect_that!(places.len(), gt(6));
}
