//! What an instance concludes from what it does not know, where it was not there for as long as the conclusion reaches back.

use super::*;

/// Records of one content, of which each has its copy at another upstream.
fn alike(run: &str, backup: usize) -> StreamRecord {
    StreamRecord {
        origin: RunId::new(run),
        run: run.into(),
        ..stream_record(1, backup)
    }
}

/// Stops the instance for some time, in which it handles nothing.
fn pause(test: &mut Test, millis: u64) {
    test.now = test.now.after(millis);
    test.handle(Event::Tick);
}

/// Guards against the memory of another caller's stream: records that arrive while an instance stands still are lost once its socket
/// is full, so that the only stream of a content that it knows need not be the only one.
#[gtest]
fn stream_is_not_taken_for_the_only_one_of_its_content_behind_a_pause() {
    for pause_ms in [1_500, 3_500, 20_000] {
        let mut test = Test::new(6);
        test.handle(Event::Instances(View::numbered(0, 3)));
        test.handle(Event::PeerStream(alike("first", 4)));
        // The record of a second stream of this content is lost meanwhile.
        pause(&mut test, pause_ms);
        test.request_as("key", STREAM, 9);
        expect_that!(test.last_sent().copy, none(), "{pause_ms}");
    }
}

/// Guards against copies that are given up behind pauses of which other instances' records are still read.
#[gtest]
fn copy_is_used_behind_a_short_pause_and_by_callers_who_name_their_stream() {
    for (pause_ms, resumes) in [(700, None), (3_500, Some(RunId::new("first")))] {
        let mut test = Test::new(6);
        test.handle(Event::Instances(View::numbered(0, 3)));
        test.handle(Event::PeerStream(alike("first", 4)));
        pause(&mut test, pause_ms);
        test.resumes = resumes;
        test.request_as("key", STREAM, 9);
        expect_that!(
            test.last_sent().copy.as_deref(),
            some(eq("first")),
            "{pause_ms}"
        );
    }
}

/// Guards against upstreams that are taken to live for the list of another instance, by one that started while the store was away:
/// their entries are as old as the store's last answer.
#[gtest]
fn list_that_is_given_while_the_store_is_away_shows_no_upstream_to_live() {
    let mut test = Test::without_configuration();
    test.handle(Event::Config(Arc::new(configuration(1))));
    test.advance(1_000);
    test.handle(Event::StoreAway(Some(test.now)));
    test.advance(500);
    let in_one_data_centre = |index| ListEntry {
        born: 5,
        data_centre: "dc-0".into(),
        ..listed(index, index)
    };
    test.list((0..40).map(in_one_data_centre).collect());
    test.advance(100);
    for upstream in 0..10 {
        let streaming = StreamRecord {
            backup: None,
            prompt: 1_000 + upstream as u64,
            upstream: Some(incarnation(upstream, 5)),
            ..stream_record(upstream, 0)
        };
        test.handle(Event::PeerStream(streaming.clone()));
        test.handle(Event::PeerStream(StreamRecord {
            stage: Stage::Ended,
            ..streaming
        }));
    }
    let mut heard = 0;
    for _ in 0..50 {
        test.request(NON_REPEATABLE);
        let sent = test.last_sent();
        test.answer(&sent, Verdict::Good);
        heard += usize::from(sent.upstream < 10);
    }
    expect_that!(heard, eq(50));
}
