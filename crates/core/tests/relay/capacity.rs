//! Capacity of upstreams: which requests wait, which are refused, and in which order streams are
//! sent.

use super::*;

/// Settings without capacity limits.
fn unbounded() -> Settings {
    Settings {
        room: CapacityLimits::unbounded(),
        ..Settings::default()
    }
}

impl Test {
    /// Requests several streams at the same moment.
    fn burst(&mut self, streams: usize) {
        for _ in 0..streams {
            self.request(STREAM);
        }
    }

    /// Runs a stream whose prefill takes a second, so that the prefill speed is known.
    fn measure_prefill(&mut self) -> Sent {
        self.request(STREAM);
        let sent = self.last_sent();
        self.advance(1_000);
        self.handle(Event::StreamOpened(sent.attempt));
        self.send_event(&sent, 1);
        sent
    }
}

#[gtest]
fn concurrent_prefills_of_an_upstream_are_limited() {
    let mut test = Test::new(1);
    test.burst(3);
    expect_that!(test.sent().len(), eq(2));
}

#[gtest]
fn without_limits_all_streams_are_sent_at_once() {
    let mut test = Test::set(unbounded()).configured(1);
    test.burst(40);
    expect_that!(test.sent().len(), eq(40));
    expect_that!(test.outcomes(), is_empty());
}

#[gtest]
fn waiting_stream_is_sent_when_capacity_becomes_free() {
    let mut test = Test::new(1);
    test.burst(3);
    let first = test.sent()[0].clone();
    test.handle(Event::StreamOpened(first.attempt));
    test.send_event(&first, 1);
    test.advance(10);
    expect_that!(test.sent().len(), eq(3));
}

#[gtest]
fn stream_that_would_wait_too_long_is_refused_immediately() {
    let mut test = Test::new(1);
    test.measure_prefill();
    test.burst(30);
    expect_that!(test.sent().len(), eq(3));
    expect_that!(test.outcomes(), not(is_empty()));
    expect_that!(test.outcomes(), each(eq("overloaded")));
}

#[gtest]
fn retry_delays_of_refused_callers_are_spread_and_bounded() {
    let mut test = Test::new(1);
    test.measure_prefill();
    test.burst(60);
    let mut retry_delays = test.retry_afters();
    expect_that!(retry_delays, each(all![ge(&200), le(&6_667)]));
    let refused = retry_delays.len();
    retry_delays.sort_unstable();
    retry_delays.dedup();
    expect_that!(retry_delays.len() * 2, gt(refused));
}

#[gtest]
fn waiting_stream_is_refused_when_it_can_no_longer_start_in_time() {
    let mut test = Test::new(1);
    test.burst(3);
    test.advance(4_400);
    expect_that!(test.outcomes(), is_empty());
    test.advance(200);
    expect_that!(test.outcomes(), elements_are![eq("overloaded")]);
}

#[gtest]
fn no_copies_are_made_when_memory_is_short() {
    let mut test = Test::new(4);
    let mut copies = Vec::new();
    for _ in 0..40 {
        test.request(STREAM);
        let sent = test.last_sent();
        test.handle(Event::StreamOpened(sent.attempt));
        test.send_event(&sent, 1);
        copies.push(sent.backup.is_some());
    }
    expect_that!(copies[..5], each(eq(&true)));
    expect_that!(copies.last(), some(eq(&false)));
}

#[gtest]
fn memory_of_an_upstream_is_not_exceeded() {
    let mut test = Test::new(1);
    for _ in 0..30 {
        test.request(STREAM);
        let sent = test.last_sent();
        test.handle(Event::StreamOpened(sent.attempt));
        test.send_event(&sent, 1);
    }
    // Ten requests of 5,200 tokens fit into 55,000.
    expect_that!(test.sent().len(), eq(10));
}

#[gtest]
fn earlier_streams_waiting_at_other_instances_go_first() {
    let mut test = Test::new(1);
    test.add_peer_waiting(1);
    test.add_peer_waiting(2);
    test.request(STREAM);
    expect_that!(test.sent(), is_empty());
    test.handle(Event::PeerStream(StreamRecord {
        prompt: 1,
        stage: Stage::Left,
        ..stream_record(0, 0)
    }));
    test.advance(10);
    expect_that!(test.sent().len(), eq(1));
}

#[gtest]
fn streams_of_a_lost_instance_hold_up_others_only_for_a_limited_time() {
    let mut test = Test::new(1);
    test.add_peer_waiting(1);
    test.add_peer_waiting(2);
    test.advance(5_010);
    test.request(STREAM);
    expect_that!(test.sent().len(), eq(1));
}

#[gtest]
fn waiting_streams_are_reported_to_other_instances() {
    let mut test = Test::new(1);
    test.burst(3);
    let waits = |effect: &&Effect| match effect {
        Effect::GossipStream { record, .. } => {
            record.stage == Stage::Waiting && record.pool == "pool"
        }
        _ => false,
    };
    expect_that!(test.effects.iter().filter(waits).count(), eq(1));
}

#[gtest]
fn late_stream_uses_only_spare_capacity() {
    let mut test = Test::new(1);
    let sent = test.measure_prefill();
    test.send_event(&sent, 2);
    test.request(STREAM);
    test.request_within(14_000, "key", STREAM, 0);
    expect_that!(test.sent().len(), eq(2));
    let second = test.last_sent();
    test.handle(Event::StreamOpened(second.attempt));
    test.send_event(&second, 1);
    test.advance(10);
    expect_that!(test.sent().len(), eq(3));
}

#[gtest]
fn stream_that_cannot_finish_in_time_is_refused_immediately() {
    let mut test = Test::new(3);
    test.measure_prefill();
    test.request_within(500, "key", STREAM, 0);
    expect_that!(test.sent().len(), eq(1));
    expect_that!(test.outcomes(), elements_are![eq("too_late")]);
    expect_that!(test.retry_afters(), elements_are![eq(&500)]);
}

#[gtest]
fn upstream_that_refused_gets_no_work_for_a_while() {
    let mut test = Test::new(1);
    test.request(STREAM);
    let sent = test.last_sent();
    test.fail(&sent, Failure::Refused);
    expect_that!(test.sent().len(), eq(1));
    test.advance(260);
    expect_that!(test.sent().len(), eq(2));
}

#[gtest]
fn slow_prefill_is_not_repeated_without_free_capacity() {
    let mut test = Test::new(2);
    test.burst(4);
    expect_that!(test.sent().len(), eq(4));
    test.advance(6_000);
    expect_that!(test.sent().len(), eq(4));
    expect_that!(test.outcomes(), is_empty());
}

#[gtest]
fn wait_for_the_first_configuration_counts_against_the_deadline() {
    let mut test = Test::without_configuration();
    test.request(NON_REPEATABLE);
    test.advance(1_000);
    let test = test.configured(1);
    expect_that!(test.last_sent().left_ms, eq(19_000));
}

#[gtest]
fn request_is_dropped_when_its_caller_disconnects_before_the_first_configuration() {
    let mut test = Test::without_configuration();
    let caller = test.request(NON_REPEATABLE);
    test.handle(Event::CallerGone(caller));
    let test = test.configured(1);
    expect_that!(test.sent(), is_empty());
}

#[gtest]
fn resuming_caller_waits_until_stored_streams_are_reported() {
    let mut test = Test::new(6).restoring_streams();
    test.request(NON_REPEATABLE);
    test.request_as("key", STREAM, 9);
    expect_that!(test.sent().len(), eq(1));
    test.handle(Event::PeerStream(stream_record(1, 4)));
    test.handle(Event::StreamsRestored);
    expect_that!(test.last_sent().copy, some(eq("run-before")));
}

impl Test {
    /// Requests several calls at the same moment.
    fn calls(&mut self, calls: usize) {
        for _ in 0..calls {
            self.request(NON_REPEATABLE);
        }
    }

    /// Completes a call with a response that carries the load of its upstream.
    fn answer_with(&mut self, sent: &Sent, waiting: u32) {
        let load = Load {
            leaving: false,
            running: 6,
            slots: 6,
            waiting,
            ..Load::default()
        };
        let attempt = sent.attempt;
        self.handle(Event::PiggybackedLoad { attempt, load });
        self.answer(sent, Verdict::Good);
    }
}

#[gtest]
fn calls_beyond_the_window_wait_and_are_then_refused() {
    let mut test = Test::new(4);
    test.calls(20);
    expect_that!(test.sent().len(), eq(16));
    test.advance(1_100);
    expect_that!(test.outcomes().len(), eq(4));
    expect_that!(test.outcomes(), each(eq("overloaded")));
}

#[gtest]
fn window_does_not_apply_to_streams_of_unknown_size() {
    let mut test = Test::new(4);
    for _ in 0..40 {
        test.request_of_size(0, STREAM);
    }
    expect_that!(test.sent().len(), eq(40));
}

#[gtest]
fn broken_connections_shrink_the_window() {
    let mut test = Test::new(4);
    test.calls(16);
    for sent in test.sent() {
        test.fail(&sent, Failure::Broken);
        test.advance(100);
    }
    // Calls that may run once are kept from upstreams that just broke off.
    test.advance(1_100);
    let before = test.sent().len();
    test.calls(10);
    expect_that!(test.sent().len() - before, eq(1));
}

#[gtest]
fn window_is_bounded_by_the_share_of_reported_slots() {
    let mut test = Test::new(1);
    test.handle(Event::Instances(View::numbered(0, 6)));
    test.calls(1);
    let sent = test.last_sent();
    test.answer_with(&sent, 0);
    test.calls(10);
    // Three calls for each of six slots, shared by six instances.
    expect_that!(test.sent().len(), eq(1 + 3));
}

#[gtest]
fn reported_queue_shrinks_the_window() {
    let mut test = Test::new(1);
    test.calls(16);
    for sent in test.sent() {
        test.answer_with(&sent, 9);
        test.advance(100);
    }
    let before = test.sent().len();
    test.calls(10);
    expect_that!(test.sent().len() - before, eq(1));
}

#[gtest]
fn retry_permits_are_counted_per_pool() {
    let mut test = Test::new(1);
    for _ in 0..100 {
        test.request(NON_REPEATABLE);
        let sent = test.last_sent();
        test.answer(&sent, Verdict::Good);
    }
    test.handle(Event::Instances(View::numbered(0, 40)));
    let mut retries = 0;
    for _ in 0..30 {
        test.request(NON_REPEATABLE);
        let sent = test.last_sent();
        test.fail(&sent, Failure::Refused);
        test.advance(1_100);
        retries += usize::from(test.last_sent().attempt != sent.attempt);
    }
    // A tenth of the budget of four instances, and one permit for every ten requests.
    expect_that!(retries, all![gt(0), lt(30)]);
}
