//! What an instance concludes from what it does not know, where it was not there for as long as the conclusion reaches back.

use super::*;

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
