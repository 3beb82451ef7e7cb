//! Upstreams that fall over if they have to reject too many requests in a second.

use super::*;
use wellplank_core::{
    brittle::Brittleness,
    demand::Demand,
    limit::{Limit, Rate},
};

/// Slots of each upstream.
const SLOTS: u32 = 2;

/// What a call takes, in milliseconds.
const CALL_MS: u64 = 60;

/// A core of two instances before two upstreams.
fn test() -> Test {
    let mut test = Test::new(2);
    let entry = |index| ListEntry {
        slots: SLOTS,
        ..listed(index, index)
    };
    test.list((0..2).map(entry).collect());
    test.handle(Event::Instances(View::numbered(0, 2)));
    test
}

/// An upstream says in a response that it tolerates this many rejections in a second.
fn announce(test: &mut Test, sent: &Sent, tolerated: u64) {
    let notice = Notice {
        tolerated: Limit::Rate(Rate(tolerated * 1_000)),
        ..Notice::default()
    };
    test.apply_notice(sent, notice);
}

/// Has a call find out that the upstreams are brittle.
fn learn(test: &mut Test, tolerated: u64) {
    test.request(NON_REPEATABLE);
    let sent = test.last_sent();
    announce(test, &sent, tolerated);
    test.answer(&sent, Verdict::Good);
    test.effects.clear();
}

#[gtest]
fn brittle_upstreams_get_no_more_calls_than_this_instances_part_of_the_slots() {
    let mut test = test();
    learn(&mut test, 3);
    for _ in 0..8 {
        test.request(NON_REPEATABLE);
    }
    // Half of two upstreams' slots, and one that is borrowed.
    expect_that!(test.sent().len(), eq(SLOTS as usize + 1));
    let sent = test.last_sent();
    test.answer(&sent, Verdict::Good);
    expect_that!(test.sent().len(), eq(SLOTS as usize + 2));
}

#[gtest]
fn brittle_upstream_that_rejected_a_call_gets_none_for_a_while() {
    let mut test = test();
    learn(&mut test, 3);
    test.request(REPEATABLE);
    let rejected = test.last_sent();
    test.fail(&rejected, Failure::Refused);
    test.effects.clear();
    for _ in 0..20 {
        test.request(NON_REPEATABLE);
        if let Some(sent) = test.sent().pop() {
            expect_that!(sent.upstream, not(eq(rejected.upstream)));
            test.answer(&sent, Verdict::Good);
        }
        test.advance(40);
        test.effects.clear();
    }
}

#[gtest]
fn upstreams_that_were_last_brittle_long_ago_get_calls_as_before() {
    let mut test = test();
    learn(&mut test, 3);
    test.advance(5_100);
    for _ in 0..8 {
        test.request(NON_REPEATABLE);
    }
    expect_that!(test.sent().len(), eq(8));
}

/// Has another instance tell of its demand for the pool, and what it knows of the upstreams.
fn hear(test: &mut Test, arrival_rate: f64, brittleness: Option<Brittleness>) {
    let demand = Demand {
        arrival_rate,
        brittleness,
        busy: Vec::new(),
        last_call: None,
        pool: "pool".into(),
        retry_rate: 0.0,
        running: 0,
        service_time_ms: CALL_MS as f64,
    };
    let from = address(99);
    test.handle(Event::PeerDemand { demand, from });
}

fn has_sent(test: &Test) -> bool {
    !test.sent().is_empty()
}

/// Guards against upstreams that fall over since hundreds of instances each have a call under way there.
#[gtest]
fn instances_that_outnumber_the_slots_take_turns() {
    let mut test = test();
    test.handle(Event::Instances(View::numbered(0, 24)));
    learn(&mut test, 3);
    // Two thirds of what two upstreams of two slots serve: each instance gets a turn about every 170 ms.
    hear(&mut test, 44.0, None);
    test.request(NON_REPEATABLE);
    let sent = test.last_sent();
    test.advance(CALL_MS);
    test.answer(&sent, Verdict::Good);
    test.effects.clear();
    test.request(NON_REPEATABLE);
    test.advance(50);
    expect_that!(has_sent(&test), eq(false));
    test.advance(150);
    expect_that!(has_sent(&test), eq(true));
}

#[gtest]
fn instances_with_a_slot_each_take_no_turns() {
    let mut test = test();
    test.handle(Event::Instances(View::numbered(0, 4)));
    learn(&mut test, 3);
    hear(&mut test, 44.0, None);
    for _ in 0..4 {
        test.request(NON_REPEATABLE);
        let sent = test.last_sent();
        test.answer(&sent, Verdict::Good);
    }
    expect_that!(test.sent().len(), eq(4));
}

/// Guards against a rush in which each of hundreds of instances learns only by a call of its own that upstreams are brittle.
#[gtest]
fn brittle_upstreams_are_known_from_another_instance_for_the_time_that_it_tells() {
    let mut test = test();
    let brittleness = Brittleness {
        left_ms: 1_000,
        tolerated: Rate(3_000),
    };
    hear(&mut test, 1.0, Some(brittleness));
    for _ in 0..8 {
        test.request(NON_REPEATABLE);
    }
    expect_that!(test.sent().len(), eq(SLOTS as usize + 1));
    test.advance(1_010);
    expect_that!(test.sent().len(), gt(SLOTS as usize + 1));
}

#[gtest]
fn what_is_told_of_brittle_upstreams_ends_when_it_does_for_the_teller() {
    let mut test = test();
    let brittleness = Brittleness {
        left_ms: 1_000,
        tolerated: Rate(3_000),
    };
    hear(&mut test, 1.0, Some(brittleness));
    test.advance(600);
    let told = test.effects.iter().rev().find_map(|effect| match effect {
        Effect::GossipDemand { demand, .. } => Some(demand.brittleness),
        _ => None,
    });
    let left_ms = told.flatten().map(|brittleness| brittleness.left_ms);
    expect_that!(left_ms, some(all![ge(400), le(700)]));
}
