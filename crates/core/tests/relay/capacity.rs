//! Room at upstreams: who waits, who is refused, and in which order streams are sent.

use super::*;

/// Settings of a core that gives upstreams whatever comes.
fn unbounded() -> Settings {
    Settings {
        room: CapacityLimits::unbounded(),
        ..Settings::default()
    }
}

impl Test {
    /// Asks for some streams at the same moment.
    fn burst(&mut self, streams: usize) {
        for _ in 0..streams {
            self.ask(STREAM);
        }
    }

    /// Has a stream's prompt read after a second.
    fn learn(&mut self) -> Sent {
        self.ask(STREAM);
        let sent = self.last();
        self.pass(1_000);
        self.tell(Event::Opened(sent.attempt));
        self.pass_on(&sent, 1);
        sent
    }
}

#[gtest]
fn upstream_reads_no_more_prompts_at_once_than_it_may() {
    let mut test = Test::new(1);
    test.burst(3);
    expect_that!(test.sent().len(), eq(2));
}

#[gtest]
fn without_bounds_an_upstream_is_given_whatever_comes() {
    let mut test = Test::set(unbounded()).configured(1);
    test.burst(40);
    expect_that!(test.sent().len(), eq(40));
    expect_that!(test.ends(), is_empty());
}

#[gtest]
fn stream_that_found_no_room_is_sent_when_there_is_some() {
    let mut test = Test::new(1);
    test.burst(3);
    let first = test.sent()[0].clone();
    test.tell(Event::Opened(first.attempt));
    test.pass_on(&first, 1);
    test.pass(10);
    expect_that!(test.sent().len(), eq(3));
}

#[gtest]
fn stream_that_would_wait_too_long_is_refused_at_once() {
    let mut test = Test::new(1);
    test.learn();
    test.burst(30);
    expect_that!(test.sent().len(), eq(3));
    expect_that!(test.ends(), not(is_empty()));
    expect_that!(test.ends(), each(eq("overloaded")));
}

#[gtest]
fn refused_callers_are_asked_to_come_back_at_different_times_that_they_follow() {
    let mut test = Test::new(1);
    test.learn();
    test.burst(60);
    let mut come_backs = test.come_backs();
    expect_that!(come_backs, each(all![ge(&200), le(&6_667)]));
    let asked = come_backs.len();
    come_backs.sort_unstable();
    come_backs.dedup();
    expect_that!(come_backs.len() * 2, gt(asked));
}

#[gtest]
fn waiting_stream_is_refused_when_it_can_no_longer_begin_in_time() {
    let mut test = Test::new(1);
    test.burst(3);
    test.pass(4_400);
    expect_that!(test.ends(), is_empty());
    test.pass(200);
    expect_that!(test.ends(), elements_are![eq("overloaded")]);
}

#[gtest]
fn copies_yield_where_memory_is_short() {
    let mut test = Test::new(4);
    let mut copies = Vec::new();
    for _ in 0..40 {
        test.ask(STREAM);
        let sent = test.last();
        test.tell(Event::Opened(sent.attempt));
        test.pass_on(&sent, 1);
        copies.push(sent.backup.is_some());
    }
    expect_that!(copies[..5], each(eq(&true)));
    expect_that!(copies.last(), some(eq(&false)));
}

#[gtest]
fn memory_of_an_upstream_is_not_overfilled() {
    let mut test = Test::new(1);
    for _ in 0..30 {
        test.ask(STREAM);
        let sent = test.last();
        test.tell(Event::Opened(sent.attempt));
        test.pass_on(&sent, 1);
    }
    // Ten requests of 5,200 tokens fit into 55,000.
    expect_that!(test.sent().len(), eq(10));
}

#[gtest]
fn streams_that_wait_at_other_instances_go_first() {
    let mut test = Test::new(1);
    test.waits_elsewhere(1);
    test.waits_elsewhere(2);
    test.ask(STREAM);
    expect_that!(test.sent(), is_empty());
    test.tell(Event::Sighted(Sighting {
        prompt: 1,
        stage: Stage::Left,
        ..sighting(0, 0)
    }));
    test.pass(10);
    expect_that!(test.sent().len(), eq(1));
}

#[gtest]
fn streams_of_an_instance_that_is_gone_are_waited_for_in_bounds() {
    let mut test = Test::new(1);
    test.waits_elsewhere(1);
    test.waits_elsewhere(2);
    test.pass(5_010);
    test.ask(STREAM);
    expect_that!(test.sent().len(), eq(1));
}

#[gtest]
fn own_waiting_streams_are_told_to_other_instances() {
    let mut test = Test::new(1);
    test.burst(3);
    let waits = |effect: &&Effect| match effect {
        Effect::Tell(sighting) => sighting.stage == Stage::Waiting && sighting.pool == "pool",
        _ => false,
    };
    expect_that!(test.effects.iter().filter(waits).count(), eq(1));
}

#[gtest]
fn late_stream_takes_only_what_others_leave() {
    let mut test = Test::new(1);
    let sent = test.learn();
    test.pass_on(&sent, 2);
    test.ask(STREAM);
    test.ask_within(14_000, "key", STREAM, 0);
    expect_that!(test.sent().len(), eq(2));
    let second = test.last();
    test.tell(Event::Opened(second.attempt));
    test.pass_on(&second, 1);
    test.pass(10);
    expect_that!(test.sent().len(), eq(3));
}

#[gtest]
fn stream_that_can_not_end_in_the_time_left_is_refused_at_once() {
    let mut test = Test::new(3);
    test.learn();
    test.ask_within(500, "key", STREAM, 0);
    expect_that!(test.sent().len(), eq(1));
    expect_that!(test.ends(), elements_are![eq("too_late")]);
    expect_that!(test.come_backs(), elements_are![eq(&500)]);
}

#[gtest]
fn upstream_that_refused_is_full_for_a_while() {
    let mut test = Test::new(1);
    test.ask(STREAM);
    let sent = test.last();
    test.fail(&sent, Failure::Refused);
    expect_that!(test.sent().len(), eq(1));
    test.pass(260);
    expect_that!(test.sent().len(), eq(2));
}

#[gtest]
fn slow_prompt_is_not_read_again_where_there_is_no_room() {
    let mut test = Test::new(2);
    test.burst(4);
    expect_that!(test.sent().len(), eq(4));
    test.pass(6_000);
    expect_that!(test.sent().len(), eq(4));
    expect_that!(test.ends(), is_empty());
}

#[gtest]
fn request_waits_for_the_first_configuration_and_has_less_time_then() {
    let mut test = Test::without_configuration();
    test.ask(ONCE);
    test.pass(1_000);
    let test = test.configured(1);
    expect_that!(test.last().left_ms, eq(19_000));
}

#[gtest]
fn caller_that_leaves_while_there_is_no_configuration_is_forgotten() {
    let mut test = Test::without_configuration();
    let caller = test.ask(ONCE);
    test.tell(Event::CallerGone(caller));
    let test = test.configured(1);
    expect_that!(test.sent(), is_empty());
}

#[gtest]
fn caller_who_has_a_part_waits_for_the_streams_that_were_kept() {
    let mut test = Test::new(6).recalling();
    test.ask(ONCE);
    test.ask_as("key", STREAM, 9);
    expect_that!(test.sent().len(), eq(1));
    test.tell(Event::Sighted(sighting(1, 4)));
    test.tell(Event::Recalled);
    expect_that!(test.last().copy, some(eq("run-before")));
}

impl Test {
    /// Asks for calls at the same moment.
    fn calls(&mut self, calls: usize) {
        for _ in 0..calls {
            self.ask(ONCE);
        }
    }

    /// Has a call answered by an upstream that tells its load.
    fn answer_with(&mut self, sent: &Sent, waiting: u32) {
        let load = Load {
            leaving: false,
            running: 6,
            slots: 6,
            waiting,
        };
        let attempt = sent.attempt;
        self.tell(Event::Carried { attempt, load });
        self.answer(sent, Verdict::Good);
    }
}

#[gtest]
fn calls_beyond_the_window_wait_and_are_refused_soon() {
    let mut test = Test::new(4);
    test.calls(20);
    expect_that!(test.sent().len(), eq(16));
    test.pass(1_100);
    expect_that!(test.ends().len(), eq(4));
    expect_that!(test.ends(), each(eq("overloaded")));
}

#[gtest]
fn streams_that_do_not_tell_their_size_have_no_window() {
    let mut test = Test::new(4);
    for _ in 0..40 {
        test.ask_of_size(0, STREAM);
    }
    expect_that!(test.sent().len(), eq(40));
}

#[gtest]
fn broken_connections_narrow_the_window() {
    let mut test = Test::new(4);
    test.calls(16);
    for sent in test.sent() {
        test.fail(&sent, Failure::Broken);
        test.pass(100);
    }
    let before = test.sent().len();
    test.calls(10);
    expect_that!(test.sent().len() - before, eq(1));
}

#[gtest]
fn calls_at_once_follow_the_slots_that_upstreams_tell() {
    let mut test = Test::new(1);
    test.tell(Event::Instances(View::numbered(0, 6)));
    test.calls(1);
    let sent = test.last();
    test.answer_with(&sent, 0);
    test.calls(10);
    // Three for each of six slots, over six instances.
    expect_that!(test.sent().len(), eq(1 + 3));
}

#[gtest]
fn queue_at_an_upstream_narrows_the_window() {
    let mut test = Test::new(1);
    test.calls(16);
    for sent in test.sent() {
        test.answer_with(&sent, 9);
        test.pass(100);
    }
    let before = test.sent().len();
    test.calls(10);
    expect_that!(test.sent().len() - before, eq(1));
}

#[gtest]
fn permits_for_second_sendings_are_those_of_the_pool() {
    let mut test = Test::new(1);
    for _ in 0..100 {
        test.ask(ONCE);
        let sent = test.last();
        test.answer(&sent, Verdict::Good);
    }
    test.tell(Event::Instances(View::numbered(0, 40)));
    let mut again = 0;
    for _ in 0..30 {
        test.ask(ONCE);
        let sent = test.last();
        test.fail(&sent, Failure::Refused);
        test.pass(1_100);
        again += usize::from(test.last().attempt != sent.attempt);
    }
    // A part of a tenth of what four instances have, and one for each ten requests.
    expect_that!(again, all![gt(0), lt(30)]);
}
