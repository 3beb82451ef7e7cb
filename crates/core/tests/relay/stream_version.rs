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

/// Record of a stream that a run began at a version, which is not listed here.
fn record_of(run: &str, version: &str) -> StreamRecord {
    StreamRecord {
        origin: RunId::new(run),
        version: Version::new("pool", version),
        ..stream_record(20, 21)
    }
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

/// Lookups of records that were sent.
fn lookups(test: &Test) -> Vec<Option<RunId>> {
    let lookup = |effect: &Effect| match effect {
        Effect::FindStream(lookup) => Some(lookup.origin),
        _ => None,
    };
    test.effects.iter().filter_map(lookup).collect()
}

#[gtest]
fn stream_goes_on_at_its_version_alone_at_another_instance() {
    for (version, upstreams) in [("v1", 0..3), ("v2", 3..6)] {
        for _ in 0..10 {
            let mut test = Test::new(0);
            test.list(two_versions());
            test.handle(Event::PeerStream(record_of("first", version)));
            test.resumes = Some(RunId::new("first"));
            test.request_as("key", STREAM, 9);
            expect_that!(upstreams.contains(&test.last_sent().upstream), eq(true));
        }
    }
}

#[gtest]
fn caller_whose_version_is_gone_is_told_so_at_once_and_not_asked_back() {
    let mut test = Test::new(0);
    test.list(two_versions());
    test.handle(Event::PeerStream(record_of("first", "v0")));
    test.resumes = Some(RunId::new("first"));
    test.request_as("key", STREAM, 9);
    expect_that!(refusals(&test), eq(&vec![(Kind::VersionGone, None)]));
    expect_that!(Kind::VersionGone.answer().status, eq(503));
}

#[gtest]
fn caller_whose_version_was_just_lost_is_asked_back() {
    let mut test = Test::new(0);
    test.list(vec![of_version(0, "v1"), of_version(3, "v2")]);
    test.handle(Event::PeerEnds(vec![incarnation(0, 0)]));
    test.handle(Event::PeerStream(record_of("first", "v1")));
    test.resumes = Some(RunId::new("first"));
    test.request_as("key", STREAM, 9);
    expect_that!(
        refusals(&test),
        elements_are![(eq(&Kind::VersionGone), some(gt(&0)))]
    );
    expect_that!(test.sent(), is_empty());
}

#[gtest]
fn stream_of_which_nobody_knows_the_version_is_refused_and_asked_elsewhere() {
    let mut test = Test::new(0);
    test.list(two_versions());
    test.resumes = Some(RunId::new("first"));
    test.request_as("key", STREAM, 9);
    expect_that!(test.sent(), is_empty());
    expect_that!(
        lookups(&test),
        elements_are![some(eq(&RunId::new("first")))]
    );
    test.advance(200);
    expect_that!(
        refusals(&test),
        elements_are![(eq(&Kind::VersionUnknown), some(gt(&0)))]
    );
}

#[gtest]
fn stream_goes_on_once_another_instance_knows_its_version() {
    let mut test = Test::new(0);
    test.list(two_versions());
    test.resumes = Some(RunId::new("first"));
    test.request_as("key", STREAM, 9);
    test.handle(Event::PeerStream(record_of("first", "v2")));
    expect_that!(test.last_sent().upstream, ge(3));
}

#[gtest]
fn instance_that_learns_of_others_asks_them_for_what_it_looks_up() {
    let mut test = Test::new(0);
    test.list(two_versions());
    test.resumes = Some(RunId::new("first"));
    test.request_as("key", STREAM, 9);
    test.handle(Event::Instances(View::numbered(0, 3)));
    expect_that!(lookups(&test).len(), eq(2));
}

#[gtest]
fn stream_of_which_nothing_is_known_goes_on_where_all_upstreams_are_of_one_version() {
    let mut test = Test::new(0);
    test.list(two_versions()[..3].to_vec());
    test.resumes = Some(RunId::new("first"));
    test.request_as("key", STREAM, 9);
    expect_that!(test.last_sent().position, eq(9));
    expect_that!(lookups(&test), is_empty());
}

#[gtest]
fn version_of_streams_that_ran_before_the_start_counts_though_it_is_not_listed() {
    let mut test = Test::without_configuration().restoring_streams();
    test.handle(Event::Config(Arc::new(configuration(1))));
    test.list(two_versions()[..3].to_vec());
    test.resumes = Some(RunId::new("first"));
    test.request_as("key", STREAM, 9);
    test.handle(Event::PeerStream(record_of("another", "v2")));
    test.handle(Event::StreamsRestored);
    test.advance(200);
    expect_that!(test.sent(), is_empty());
    expect_that!(
        refusals(&test),
        elements_are![(eq(&Kind::VersionUnknown), anything())]
    );
}

#[gtest]
fn instance_that_the_store_does_not_answer_does_not_guess() {
    let mut test = Test::new(0);
    test.list(two_versions()[..3].to_vec());
    test.handle(Event::StoreAway(Some(test.now)));
    test.resumes = Some(RunId::new("first"));
    test.request_as("key", STREAM, 9);
    test.advance(200);
    expect_that!(test.sent(), is_empty());
}

#[gtest]
fn version_that_has_just_left_may_have_begun_a_stream() {
    let mut test = Test::new(0);
    test.list(two_versions());
    test.list(two_versions()[..3].to_vec());
    test.resumes = Some(RunId::new("first"));
    test.request_as("key", STREAM, 9);
    test.advance(200);
    expect_that!(test.sent(), is_empty());
}

#[gtest]
fn stream_before_its_first_event_may_have_any_version_and_keeps_that_of_its_first_event() {
    let mut test = Test::new(0);
    test.list(vec![
        of_version(0, "v1"),
        of_version(3, "v2"),
        of_version(4, "v2"),
    ]);
    test.request(STREAM);
    let mut sent = test.last_sent();
    while sent.upstream > 0 {
        test.fail(&sent, Failure::Refused);
        sent = test.last_sent();
    }
    test.fail(&sent, Failure::Refused);
    let begun = test.last_sent();
    expect_that!(begun.upstream, gt(0));
    test.handle(Event::StreamOpened(begun.attempt));
    test.send_event(&begun, 1);
    test.advance(300);
    test.fail(&begun, Failure::Broken);
    expect_that!(test.last_sent().position, eq(1));
    expect_that!(test.last_sent().upstream, gt(0));
}

#[gtest]
fn streams_with_one_prompt_keep_their_versions() {
    let mut test = Test::new(0);
    test.list(two_versions());
    test.handle(Event::PeerStream(record_of("first", "v1")));
    test.handle(Event::PeerStream(StreamRecord {
        run: "second".into(),
        ..record_of("second", "v2")
    }));
    for (run, upstreams) in [("first", 0..3), ("second", 3..6)] {
        test.resumes = Some(RunId::new(run));
        test.request_as("key", STREAM, 9);
        expect_that!(upstreams.contains(&test.last_sent().upstream), eq(true));
    }
}

#[gtest]
fn memory_of_another_stream_with_the_same_prompt_is_not_resumed_from() {
    let mut test = Test::new(0);
    test.list(two_versions());
    test.handle(Event::PeerStream(record_of("first", "v1")));
    test.handle(Event::PeerStream(StreamRecord {
        backup: Some(incarnation(1, 0)),
        upstream: Some(incarnation(0, 0)),
        run: "second".into(),
        ..record_of("second", "v1")
    }));
    test.resumes = Some(RunId::new("first"));
    test.request_as("key", STREAM, 9);
    expect_that!(test.last_sent().copy, none());
}

#[gtest]
fn stream_that_waits_for_its_version_holds_up_no_others() {
    let (mut test, sent) = with_stream();
    for upstream in [0, 1, 2] {
        test.handle(Event::PeerLimit {
            incarnation: incarnation(upstream, 0),
            rate: Some(wellplank_core::limit::Rate(100)),
        });
    }
    test.fail(&sent, Failure::Broken);
    let before = test.sent().len();
    for _ in 0..3 {
        test.request(STREAM);
    }
    let later = test.sent().split_off(before);
    expect_that!(later.len(), eq(3));
    expect_that!(later, each(field!(&Sent.upstream, ge(3))));
}

#[gtest]
fn upstream_that_changed_its_version_under_its_name_begins_no_stream_that_goes_on() {
    let mut test = Test::new(0);
    test.list(two_versions()[..3].to_vec());
    test.request(STREAM);
    let sent = test.last_sent();
    test.handle(Event::StreamOpened(sent.attempt));
    let changed = two_versions().into_iter().take(3).map(|listed| ListEntry {
        version: if index(listed.address) == sent.upstream {
            "v2".into()
        } else {
            listed.version.clone()
        },
        ..listed
    });
    test.list(changed.collect());
    test.send_event(&sent, 1);
    test.fail(&sent, Failure::Broken);
    expect_that!(test.sent().len(), eq(1));
    expect_that!(test.outcomes(), elements_are![eq("cut")]);
}

#[gtest]
fn upstreams_that_state_no_version_are_not_known_to_be_equal_beside_one_that_does() {
    let unstated = |index| of_version(index, "");
    let mut test = Test::new(0);
    test.list(vec![unstated(0), unstated(3), of_version(4, "v1")]);
    let mut sent = test.stream(1);
    while sent.upstream == 4 {
        sent = test.stream(1);
    }
    let before = test.sent().len();
    test.fail(&sent, Failure::Broken);
    expect_that!(test.sent().len(), eq(before));
}

#[gtest]
fn new_life_at_an_address_does_not_have_the_version_of_the_former_one() {
    let (mut test, sent) = with_stream();
    test.fail(&sent, Failure::Broken);
    let second = test.last_sent();
    expect_that!(second.upstream, lt(3));
    // The address is given to an upstream of another version, under another name.
    let reused = ListEntry {
        name: "runner-9".into(),
        registered_at: Position::new(0, 99),
        version: "v2".into(),
        ..listed(9, second.upstream)
    };
    let others = two_versions()
        .into_iter()
        .filter(|listed| index(listed.address) >= 3 && index(listed.address) != second.upstream);
    test.list(others.chain([reused]).collect());
    let before = test.sent().len();
    test.fail(&second, Failure::Broken);
    expect_that!(test.sent().len(), eq(before));
}

/// A configuration whose streams go to the pools in equal parts.
pub fn streaming_to(revision: u64, pools: &[&str]) -> Config {
    let mut config = configuration(revision);
    let route = &mut config.routes[0];
    let share = route.shares[0].clone();
    let to_pool = |pool: &&str| {
        let mut service = Service::clone(&share.service);
        if let Target::Relay(relay) = &mut service.target {
            relay.pool = (*pool).into();
        }
        Share {
            service: Arc::new(service),
            weight: 1,
        }
    };
    route.shares = pools.iter().map(to_pool).collect();
    config
}

/// Three upstreams of each of two pools, all of the same version.
fn two_pools() -> Vec<ListEntry> {
    let first = (0..3).map(|index| of_version(index, "v1"));
    let second = (3..6).map(|index| ListEntry {
        pool: "other".into(),
        ..of_version(index, "v1")
    });
    first.chain(second).collect()
}

#[gtest]
fn stream_does_not_go_on_at_another_service_once_its_route_has_moved() {
    let mut test = Test::new(0);
    test.list(two_pools());
    test.stream(3);
    test.handle(Event::CallerGone(Caller(1)));
    test.handle(Event::Config(Arc::new(streaming_to(2, &["other"]))));
    test.resumes = Some(RunId::new("run-1"));
    test.request_as("key", STREAM, 3);
    expect_that!(test.sent().len(), eq(1));
    expect_that!(refusals(&test), eq(&vec![(Kind::VersionGone, None)]));
}

#[gtest]
fn stream_goes_on_at_the_service_of_its_route_that_began_it() {
    for _ in 0..10 {
        let mut test = Test::new(0);
        let config = streaming_to(2, &["pool", "other"]);
        test.handle(Event::Config(Arc::new(config)));
        test.list(two_pools());
        let sent = test.stream(3);
        test.handle(Event::CallerGone(Caller(1)));
        test.resumes = Some(RunId::new("run-1"));
        for _ in 0..5 {
            test.request_as("key", STREAM, 3);
            expect_that!(test.last_sent().upstream / 3, eq(sent.upstream / 3));
        }
    }
}

#[gtest]
fn other_instances_are_told_that_a_stream_has_begun_with_its_first_event() {
    let mut test = Test::new(0);
    test.list(two_versions());
    let sent = test.stream(1);
    let version = if sent.upstream < 3 { "v1" } else { "v2" };
    let told = test.effects.iter().filter_map(|effect| match effect {
        Effect::GossipStream { record, .. } => Some(record),
        _ => None,
    });
    let told: Vec<_> = told
        .map(|record| (record.stage, record.has_begun, record.version))
        .collect();
    let version = Version::new("pool", version);
    expect_that!(
        told,
        eq(&vec![
            (Stage::Started, false, version),
            (Stage::Streaming, true, version),
        ])
    );
}

#[gtest]
fn stream_that_is_sent_while_another_is_given_up_is_sent_once() {
    let [old, new] = [of_version(0, "v1"), of_version(3, "v2")];
    let leaving = ListEntry {
        leaving: true,
        ..old.clone()
    };
    let mut test = Test::new(0);
    test.list(vec![old.clone()]);
    let first = test.stream(1);
    test.list(vec![leaving.clone(), new.clone()]);
    let second = test.stream(1);
    expect_that!(second.upstream, eq(3));
    test.list(vec![old, new.clone()]);
    for sent in [&first, &second] {
        test.handle(Event::NoticeReceived {
            attempt: sent.attempt,
            notice: Notice {
                backoff: Backoff::For(500),
                ..Notice::default()
            },
            upstream: sent.key,
        });
    }
    test.fail(&first, Failure::Refused);
    test.fail(&second, Failure::Refused);
    let before = test.sent().len();
    test.list(vec![leaving, new, of_version(4, "v2")]);
    let sent = test.sent().split_off(before);
    expect_that!(sent.len(), eq(1), "{sent:?} {:?}", test.outcomes());
}

/// Guards against cutting a begun stream as one whose version is gone while there is no upstream at all: those that are
/// started next may be of its version.
#[gtest]
fn begun_stream_waits_while_all_upstreams_leave() {
    let mut test = Test::new(2);
    let first = test.stream(2);
    for upstream in 0..2 {
        test.handle(Event::PeerLeaving(incarnation(upstream, 0)));
    }
    test.break_connection(&first, false);
    test.advance(1_200);
    expect_that!(test.outcomes(), is_empty());
    test.list(vec![listed(5, 5)]);
    test.advance(600);
    expect_that!(test.last_sent().position, eq(2));
    expect_that!(test.last_sent().upstream, eq(5));
}
