//! Upstreams that may have ended unnoticed: those that could not be connected to, and those not heard from while the
//! store is away.

use super::*;

fn born(upstream: usize) -> ListEntry {
    ListEntry {
        born: 5,
        ..listed(upstream, upstream)
    }
}

/// Creates a core with so many upstreams in one data centre.
fn in_one_data_centre(upstreams: usize) -> Test {
    let mut test = Test::new(0);
    let entry = |index| ListEntry {
        data_centre: "dc-0".into(),
        ..born(index)
    };
    test.list((0..upstreams).map(entry).collect());
    test
}

/// Sends a call, and returns the upstream that got it.
fn call(test: &mut Test) -> usize {
    test.request(REPEATABLE);
    let sent = test.last_sent();
    test.answer(&sent, Verdict::Good);
    sent.upstream
}

/// Reports a stream of another instance that has received its first event from an upstream.
fn hear_through_peer(test: &mut Test, upstream: usize) {
    test.handle(Event::PeerStream(StreamRecord {
        backup: None,
        prompt: 1_000 + upstream as u64,
        upstream: Some(incarnation(upstream, 5)),
        ..stream_record(upstream, 0)
    }));
}

/// Guards against each instance of a fleet connecting in vain to an upstream that another one could not connect to.
#[gtest]
fn upstream_that_another_instance_lost_is_not_chosen_while_others_are_left() {
    let mut test = in_one_data_centre(2);
    test.handle(Event::PeerLoss(incarnation(0, 5)));
    // The other one is chosen also when it is busy.
    for _ in 0..10 {
        test.request(REPEATABLE);
        expect_that!(test.last_sent().upstream, eq(1));
    }
    let mut test = in_one_data_centre(1);
    test.handle(Event::PeerLoss(incarnation(0, 5)));
    expect_that!(call(&mut test), eq(0));
}

/// Guards against an upstream that is out of service for longer than a report says.
#[gtest]
fn reported_upstream_is_chosen_again_after_a_while() {
    let mut test = in_one_data_centre(2);
    test.handle(Event::PeerLoss(incarnation(0, 5)));
    test.advance(10_000);
    let used: std::collections::BTreeSet<usize> = (0..50).map(|_| call(&mut test)).collect();
    expect_that!(used, contains(eq(&0)));
}

/// Guards against an instance with a broken link that takes upstreams out of service at all others.
#[gtest]
fn report_about_an_upstream_that_has_just_answered_is_only_a_failure() {
    let mut test = in_one_data_centre(2);
    let stream = test.stream(1);
    test.handle(Event::PeerLoss(incarnation(stream.upstream, 5)));
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..10 {
        test.request(REPEATABLE);
        used.insert(test.last_sent().upstream);
    }
    expect_that!(used, contains(eq(&stream.upstream)));
}

/// Guards against a burst of requests to an upstream that could not be connected to a second ago.
#[gtest]
fn upstream_that_could_not_be_connected_to_is_tried_by_one_request_at_a_time() {
    let mut test = in_one_data_centre(2);
    test.request(NON_REPEATABLE);
    let first = test.last_sent();
    test.fail(&first, Failure::NotSent);
    let second = test.last_sent();
    test.answer(&second, Verdict::Good);
    test.advance(10_000);
    let before = test.sent().len();
    for _ in 0..30 {
        test.request(NON_REPEATABLE);
    }
    let sent = test.sent().split_off(before);
    let tries = sent.iter().filter(|sent| sent.upstream == first.upstream);
    expect_that!(tries.clone().count(), eq(1));
    let trial = tries.clone().next().unwrap().clone();
    test.answer(&trial, Verdict::Good);
    let used: std::collections::BTreeSet<usize> = (0..50).map(|_| call(&mut test)).collect();
    expect_that!(used, contains(eq(&first.upstream)));
}

/// Guards against requests to engines that have ended and are still listed, since the store is away.
#[gtest]
fn upstreams_heard_from_are_preferred_while_the_store_is_away() {
    let mut chosen = [0, 0];
    for away in [false, true] {
        let mut test = in_one_data_centre(40);
        test.advance(1_000);
        test.handle(Event::StoreAway(away.then_some(test.now)));
        for upstream in 0..10 {
            hear_through_peer(&mut test, upstream);
        }
        for prompt in 0..10 {
            test.handle(Event::PeerStream(StreamRecord {
                stage: Stage::Ended,
                ..StreamRecord {
                    prompt: 1_000 + prompt,
                    ..stream_record(0, 0)
                }
            }));
        }
        for _ in 0..50 {
            chosen[usize::from(away)] += usize::from(call(&mut test) < 10);
        }
    }
    expect_that!(chosen[0], lt(40));
    expect_that!(chosen[1], eq(50));
}

/// Guards against a request that meets one ended incarnation after the other: one met five in 66 ms.
#[gtest]
fn request_that_met_an_end_goes_to_an_upstream_heard_from() {
    let mut test = in_one_data_centre(40);
    test.advance(1_000);
    test.handle(Event::StoreAway(Some(test.now)));
    hear_through_peer(&mut test, 7);
    // The upstream that was heard from is busy, so that it is not the first choice.
    for prompt in 0..3 {
        test.handle(Event::PeerStream(StreamRecord {
            backup: None,
            prompt: 2_000 + prompt,
            stage: Stage::Started,
            tokens: 10,
            upstream: Some(incarnation(7, 5)),
            ..stream_record(7, 0)
        }));
    }
    test.request(NON_REPEATABLE);
    let first = test.last_sent();
    expect_that!(first.upstream, not(eq(7)));
    test.fail(&first, Failure::Replaced);
    expect_that!(test.last_sent().upstream, eq(7));
}

/// Guards against upstreams that get no work for as long as the store is away.
#[gtest]
fn without_upstreams_heard_from_all_are_chosen() {
    let mut test = in_one_data_centre(3);
    test.advance(1_000);
    test.handle(Event::StoreAway(Some(test.now)));
    test.request(NON_REPEATABLE);
    let first = test.last_sent();
    test.fail(&first, Failure::Replaced);
    expect_that!(test.sent().len(), eq(2));
}

/// Guards against copies that are given up because this instance had no answer from their holders since the store went
/// away: with 71 instances and 120 engines, nearly all prompts of lost streams were prefilled again.
#[gtest]
fn copy_at_an_upstream_that_was_not_heard_from_is_used_while_the_store_is_away() {
    let mut test = Test::new(9);
    test.advance(100);
    let sent = test.stream(3);
    test.handle(Event::StoreAway(Some(test.now)));
    test.advance(50);
    test.fail(&sent, Failure::Broken);
    let next = test.last_sent();
    expect_that!(Some(next.upstream), eq(sent.backup));
    expect_that!(next.copy, some(anything()));
}
