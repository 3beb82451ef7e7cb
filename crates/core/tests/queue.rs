//! Request queue, retry budget and stall detector.

use {
    googletest::prelude::*,
    slotmap::SlotMap,
    wellplank_core::{
        budget::Budget,
        clock::Time,
        config::{Customer, Permission, Priority},
        detector::StallDetector,
        queue::Queue,
        request,
        settings::Settings,
    },
};

fn customer(name: &str, weight: u32) -> Customer {
    Customer {
        max_running: 10,
        name: name.into(),
        priority: wellplank_core::config::DEFAULT_PRIORITY,
        services: Permission::All,
        weight,
    }
}

fn keys(count: usize) -> Vec<request::Key> {
    let mut arena: SlotMap<request::Key, ()> = SlotMap::with_key();
    (0..count).map(|_| arena.insert(())).collect()
}

#[gtest]
fn resumed_requests_precede_urgent_and_urgent_precede_normal() {
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
fn customers_are_served_in_proportion_to_weight() {
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
fn backlog_of_one_customer_does_not_delay_another() {
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
fn removed_request_is_not_returned() {
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
    expect_that!(budget.spend(Time(0)), eq(true));
    expect_that!(budget.spend(Time(0)), eq(true));
    expect_that!(budget.spend(Time(0)), eq(false));
    budget.earn(0.5);
    expect_that!(budget.spend(Time(0)), eq(true));
    expect_that!(budget.spend(Time(500)), eq(false));
    expect_that!(budget.spend(Time(501)), eq(true));
}

/// Fleet sizes, from one instance to more than the largest site has.
const FLEET_SIZES: [u32; 5] = [1, 6, 74, 295, 320];

/// Permits that a fleet can spend at once after all instances were idle for long, and in the ten
/// seconds after that.
fn spent(instances: u32) -> (u32, u32) {
    let mut budgets = vec![Budget::new(20.0, 1.0, Time(0)); instances as usize];
    let mut at_once = 0;
    let mut later = 0;
    for budget in &mut budgets {
        budget.set_share(instances, 1.0);
        while budget.spend(Time(600_000)) {
            at_once += 1;
        }
        for second in 1..=10 {
            later += u32::from(budget.spend(Time(600_000 + second * 1_000)));
        }
    }
    (at_once, later)
}

#[gtest]
fn every_instance_of_a_fleet_has_a_retry_permit() {
    for instances in FLEET_SIZES {
        let (at_once, _) = spent(instances);
        expect_that!(at_once, ge(instances), "{instances} instances");
    }
}

#[gtest]
fn permits_of_a_fleet_stay_within_the_shared_budget() {
    for instances in FLEET_SIZES {
        let (at_once, later) = spent(instances);
        // The budgets of four instances, and two permits that each instance may have in hand or
        // overdraw.
        expect_that!(at_once, le(80 + 2 * instances), "{instances} instances");
        // Four permits per second, and one that each instance may overdraw at the end.
        expect_that!(later, le(40 + instances), "{instances} instances");
    }
}

#[gtest]
fn stall_timeout_follows_event_intervals_within_its_limits() {
    let settings = Settings::default();
    let mut detector = StallDetector::default();
    for _ in 0..500 {
        detector.observe(10);
    }
    expect_that!(detector.timeout_ms(&settings), eq(settings.stall_min_ms));
    for _ in 0..500 {
        detector.observe(5_000);
    }
    expect_that!(detector.timeout_ms(&settings), eq(settings.stall_max_ms));
}
