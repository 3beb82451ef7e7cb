//! A stream that its caller takes up goes on from the memory of its own runs alone, and not from that of a stream which asks for
//! the same.

use super::*;

/// A record of a stream with the same content as all others here, whose copy is at an upstream.
fn alike(run: &str, backup: usize) -> StreamRecord {
    StreamRecord {
        origin: RunId::new(run),
        run: run.into(),
        ..stream_record(1, backup)
    }
}

fn told(records: &[StreamRecord]) -> Test {
    let mut test = Test::new(6);
    for record in records {
        test.handle(Event::PeerStream(record.clone()));
    }
    test
}

/// Takes a stream up without the name of its first run; what it goes on from.
fn copy_of_unnamed(mut test: Test) -> Option<String> {
    test.request_as("key", STREAM, 9);
    expect_that!(test.last_sent().position, eq(9));
    test.last_sent().copy
}

#[gtest]
fn stream_like_another_one_goes_on_without_a_copy() {
    let test = told(&[alike("first", 4), alike("second", 5)]);
    expect_that!(copy_of_unnamed(test), none());
}

#[gtest]
fn stream_whose_caller_names_its_run_goes_on_from_its_own_copy() {
    for (run, backup) in [("first", 4), ("second", 5)] {
        let mut test = told(&[alike("first", 4), alike("second", 5)]);
        test.resumes = Some(RunId::new(run));
        test.request_as("key", STREAM, 9);
        expect_that!(test.last_sent().copy.as_deref(), some(eq(run)));
        expect_that!(test.last_sent().upstream, eq(backup));
    }
}

#[gtest]
fn stream_like_one_that_has_ended_goes_on_without_a_copy() {
    let ended = StreamRecord {
        stage: Stage::Ended,
        ..alike("first", 4)
    };
    let test = told(&[alike("first", 4), alike("second", 5), ended]);
    expect_that!(copy_of_unnamed(test), none());
}

#[gtest]
fn stream_like_one_whose_caller_left_goes_on_without_a_copy() {
    let left = StreamRecord {
        stage: Stage::Left,
        ..alike("first", 4)
    };
    let test = told(&[alike("first", 4), left, alike("second", 5)]);
    expect_that!(copy_of_unnamed(test), none());
}

#[gtest]
fn attempt_whose_caller_left_without_an_event_is_no_other_stream() {
    let unbegun = StreamRecord {
        has_begun: false,
        stage: Stage::Started,
        ..alike("first", 4)
    };
    let left = StreamRecord {
        stage: Stage::Left,
        ..unbegun.clone()
    };
    let test = told(&[unbegun, left, alike("second", 5)]);
    expect_that!(copy_of_unnamed(test), some(eq("second")));
}

#[gtest]
fn attempts_of_one_stream_are_not_taken_for_several() {
    let again = StreamRecord {
        origin: RunId::new("first"),
        ..alike("again", 5)
    };
    let test = told(&[alike("first", 4), again]);
    expect_that!(copy_of_unnamed(test), some(eq("again")));
}

#[gtest]
fn stream_that_announces_other_tokens_is_another_one() {
    let other = StreamRecord {
        tokens: 5_300,
        ..alike("second", 5)
    };
    let test = told(&[alike("first", 4), other.clone()]);
    expect_that!(copy_of_unnamed(test), some(eq("first")));
    expect_that!(copy_of_unnamed(told(&[other])), none());
}

#[gtest]
fn run_of_the_same_name_that_asked_for_something_else_is_another_stream() {
    let other = StreamRecord {
        prompt: 78,
        ..alike("first", 4)
    };
    let mut test = told(&[other]);
    test.resumes = Some(RunId::new("first"));
    test.request_as("key", STREAM, 9);
    expect_that!(test.last_sent().copy, none());
}

#[gtest]
fn run_whose_name_is_used_again_is_not_gone_on_from() {
    for resumes in [None, Some(RunId::new("first"))] {
        let begun_again = StreamRecord {
            has_begun: false,
            stage: Stage::Started,
            ..alike("first", 5)
        };
        let mut test = told(&[alike("first", 4), begun_again]);
        test.resumes = resumes;
        expect_that!(copy_of_unnamed(test), none());
    }
}

#[gtest]
fn stream_found_elsewhere_together_with_one_like_it_goes_on_without_a_copy() {
    let mut test = Test::new(1_000);
    test.handle(Event::Instances(View::numbered(0, 100)));
    test.request_as("key", STREAM, 9);
    expect_that!(test.sent(), is_empty());
    test.handle(Event::StreamsFound(vec![
        alike("first", 4),
        alike("second", 5),
    ]));
    expect_that!(test.last_sent().copy, none());
}

/// Guards against an instance that relays a stream, and takes it for that of a caller whose record only few others keep.
#[gtest]
fn instance_that_relays_a_stream_asks_the_few_that_keep_records_for_others_like_it() {
    let mut test = Test::new(1_000);
    test.handle(Event::Instances(View::numbered(0, 100)));
    test.stream(3);
    let before = test.sent().len();
    test.request_as("key", STREAM, 9);
    expect_that!(test.sent().len(), eq(before));
    test.handle(Event::PeerStream(alike("first", 4)));
    expect_that!(test.sent().len(), eq(before + 1));
    expect_that!(test.last_sent().copy, none());
}

/// Guards against the streams that began after the last write to the store, which nobody knows behind the loss of all instances.
#[gtest]
fn callers_who_name_no_run_have_no_copy_behind_a_start_before_which_streams_were_alike() {
    let mut test = Test::without_configuration().restoring_streams();
    test.handle(Event::Config(Arc::new(configuration(1))));
    test.list((0..6).map(|index| listed(index, index)).collect());
    let other = |run: &str| StreamRecord {
        prompt: 78,
        ..alike(run, 5)
    };
    for record in [alike("first", 4), other("second"), other("third")] {
        test.handle(Event::PeerStream(record));
    }
    test.handle(Event::StreamsRestored);
    expect_that!(copy_of_unnamed(test), none());
}

#[gtest]
fn stream_like_another_one_stays_at_the_version_of_both() {
    let of_version = |index: usize, version: &str| ListEntry {
        version: version.into(),
        ..listed(index, index)
    };
    let both = || {
        let mut test = Test::new(0);
        test.list(vec![of_version(0, "v1"), of_version(1, "v2")]);
        test
    };
    let begun_at = |run: &str, version: &str| StreamRecord {
        version: Version::new("pool", version),
        ..alike(run, 9)
    };
    for (version, upstream) in [("v1", 0), ("v2", 1)] {
        let mut test = both();
        test.handle(Event::PeerStream(begun_at("first", version)));
        test.handle(Event::PeerStream(begun_at("second", version)));
        test.request_as("key", STREAM, 9);
        expect_that!(test.last_sent().upstream, eq(upstream));
    }
    let mut test = both();
    test.handle(Event::PeerStream(begun_at("first", "v1")));
    test.handle(Event::PeerStream(begun_at("second", "v2")));
    test.request_as("key", STREAM, 9);
    expect_that!(test.sent(), is_empty());
}
