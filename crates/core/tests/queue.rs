//! Waiting work: priorities, fair shares, and budgets.

use {
    googletest::prelude::*,
    slotmap::SlotMap,
    wellplank_core::{
        budget::Budget,
        clock::Time,
        config::{Customer, Priority},
        detector::Detector,
        queue::Queue,
        request,
        settings::Settings,
    },
};

fn customer(name: &str, weight: u32) -> Customer {
    Customer {
        max_running: 10,
        name: name.into(),
        services: Vec::new(),
        weight,
    }
}

fn keys(count: usize) -> Vec<request::Key> {
    let mut arena: SlotMap<request::Key, ()> = SlotMap::with_key();
    (0..count).map(|_| arena.insert(())).collect()
}

#[gtest]
fn urgent_work_goes_before_normal_and_resumed_before_all() {
    let keys = keys(3);
    let mut queue = Queue::default();
    queue.push(Priority::Normal, &customer("a", 1), keys[0], Time(0));
    queue.push(Priority::Urgent, &customer("a", 1), keys[1], Time(0));
    queue.push_resume(keys[2]);
    let order: Vec<_> = std::iter::from_fn(|| queue.pop(Time(0))).collect();
    expect_that!(
        order,
        elements_are![eq(&keys[2]), eq(&keys[1]), eq(&keys[0])]
    );
}

#[gtest]
fn customers_share_by_weight() {
    let keys = keys(400);
    let mut queue = Queue::default();
    for pair in keys.chunks(2) {
        queue.push(Priority::Normal, &customer("large", 3), pair[0], Time(0));
        queue.push(Priority::Normal, &customer("small", 1), pair[1], Time(0));
    }
    let first: Vec<_> = std::iter::from_fn(|| queue.pop(Time(0)))
        .take(100)
        .collect();
    let large = first
        .iter()
        .filter(|key| keys.iter().position(|other| other == *key).unwrap() % 2 == 0)
        .count();
    expect_that!(large, all!(ge(74), le(76)));
}

#[gtest]
fn one_request_of_a_customer_does_not_wait_behind_all_of_another() {
    let keys = keys(101);
    let mut queue = Queue::default();
    for key in &keys[..100] {
        queue.push(Priority::Normal, &customer("flood", 1), *key, Time(0));
    }
    queue.push(Priority::Normal, &customer("other", 1), keys[100], Time(0));
    let order: Vec<_> = std::iter::from_fn(|| queue.pop(Time(0))).collect();
    let place = order.iter().position(|key| *key == keys[100]).unwrap();
    expect_that!(place, le(1));
}

#[gtest]
fn removed_work_is_not_sent() {
    let keys = keys(2);
    let mut queue = Queue::default();
    let customer = customer("a", 1);
    queue.push(Priority::Normal, &customer, keys[0], Time(0));
    queue.push(Priority::Normal, &customer, keys[1], Time(0));
    queue.remove(Priority::Normal, &customer, keys[0]);
    expect_that!(queue.len(), eq(1));
    expect_that!(queue.pop(Time(0)), some(eq(keys[1])));
    expect_that!(queue.pop(Time(0)), none());
}

#[gtest]
fn budget_is_earned_and_spent() {
    let mut budget = Budget::new(2.0, 1.0, Time(0));
    expect_that!(budget.spend(2.0, Time(0)), eq(true));
    expect_that!(budget.spend(1.0, Time(0)), eq(false));
    budget.earn(0.5);
    expect_that!(budget.spend(1.0, Time(500)), eq(true));
}

#[gtest]
fn detector_follows_the_gaps_within_its_limits() {
    let settings = Settings::default();
    let mut detector = Detector::default();
    for _ in 0..500 {
        detector.observe(10);
    }
    expect_that!(detector.bound(&settings), eq(settings.stall_min_ms));
    for _ in 0..500 {
        detector.observe(5_000);
    }
    expect_that!(detector.bound(&settings), eq(settings.stall_max_ms));
}
