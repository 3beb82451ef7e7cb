//! The bound on attempts beyond the first, over fleets of all sizes: instances that each keep their own part keep it
//! together.

use {
    googletest::prelude::*,
    rand::{RngExt, SeedableRng},
    rand_pcg::Pcg64Mcg,
    wellplank_core::{
        clock::Time,
        retry_window::{FleetPart, RetryClass, RetryWindow},
        settings::RetryBound,
    },
};

const BOUND: RetryBound = RetryBound {
    extra: 150.0,
    ratio: 0.8,
    window_ms: 10_000,
};

/// Fleet sizes, from one instance to the largest supported.
const FLEET_SIZES: [u32; 6] = [1, 6, 30, 71, 320, 984];

const START: Time = Time(1_800_000_000_000);

struct Fleet {
    instances: u32,
    /// Times of all requests and attempts beyond the first.
    received: Vec<Time>,
    /// When its instances last started.
    started_at: Time,
    rng: Pcg64Mcg,
    spent: Vec<Time>,
    windows: Vec<RetryWindow>,
}

impl Fleet {
    fn new(instances: u32) -> Self {
        Self {
            instances,
            received: Vec::new(),
            started_at: Time::default(),
            rng: Pcg64Mcg::seed_from_u64(u64::from(instances)),
            spent: Vec::new(),
            windows: vec![RetryWindow::default(); instances as usize],
        }
    }

    /// Receives requests at random instances.
    fn receive(&mut self, requests: u32, now: Time) {
        for _ in 0..requests {
            let instance = self.rng.random_range(0..self.windows.len());
            self.windows[instance].record_request(&BOUND, now);
            self.received.push(now);
        }
    }

    /// All instances are lost and start again at a time.
    fn restart(&mut self, at: Time) {
        self.started_at = at;
        self.windows = vec![RetryWindow::default(); self.windows.len()];
    }

    /// Takes all permits that there are for a class; returns how many.
    fn spend_all(&mut self, class: RetryClass, now: Time) -> usize {
        let before = self.spent.len();
        for (instance, window) in self.windows.iter_mut().enumerate() {
            let rank = instance as f64 / f64::from(self.instances);
            let fleet = FleetPart {
                heard_ms: now.since(self.started_at),
                instances: self.instances,
                observed_ms: now.since(self.started_at),
                rank: if self.instances == 1 { 0.0 } else { rank },
            };
            while window.spend(class, &BOUND, fleet, now) {
                self.spent.push(now);
            }
        }
        self.spent.len() - before
    }

    /// Attempts beyond the first in the window that ends now, and how many the users allow.
    fn compare(&self, now: Time) -> (f64, f64) {
        let is_recent = |at: &&Time| now.since(**at) < BOUND.window_ms;
        let count = |times: &[Time]| times.iter().rev().take_while(is_recent).count() as f64;
        let allowed = BOUND.ratio * count(&self.received) + BOUND.extra;
        (count(&self.spent), allowed)
    }
}

/// Guards against a bound that each instance keeps and the fleet breaks: with a fixed number of permits for each
/// instance, thirty of them made 674 attempts in ten seconds where 586 were allowed.
#[gtest]
fn fleet_of_any_size_keeps_the_bound_in_every_window() {
    for (instances, period) in FLEET_SIZES.into_iter().flat_map(|n| [(n, 7), (n, 30)]) {
        let mut fleet = Fleet::new(instances);
        for step in 0..300 {
            let now = START.after(step * 100);
            // Demand of 60 and 40 requests a second, as in waves.
            fleet.receive(if step / 70 % 2 == 0 { 6 } else { 4 }, now);
            if step % period == 0 {
                fleet.spend_all(RetryClass::Resume, now);
            }
            let (spent, allowed) = fleet.compare(now);
            expect_that!(spent, le(allowed), "{instances} instances, step {step}");
        }
    }
}

/// Guards against a bound that is kept by refusing what it allows.
#[gtest]
fn fleet_of_any_size_may_use_most_of_the_bound() {
    for instances in FLEET_SIZES {
        let mut fleet = Fleet::new(instances);
        fleet.receive(1_000, START);
        let now = START.after(10);
        fleet.spend_all(RetryClass::ResumeFromCopy, now);
        let (spent, allowed) = fleet.compare(now);
        expect_that!(spent, ge(0.85 * allowed), "{instances} instances");
    }
}

/// Guards against retries of requests whose callers have nothing using up the permits of running streams.
#[gtest]
fn last_permits_are_left_to_resumes_and_then_to_copies() {
    for instances in [1, 6, 30] {
        let mut fleet = Fleet::new(instances);
        fleet.receive(545, START);
        let now = START.after(10);
        expect_that!(fleet.spend_all(RetryClass::Restart, now), ge(400));
        expect_that!(fleet.spend_all(RetryClass::Resume, now), ge(30));
        expect_that!(fleet.spend_all(RetryClass::ResumeFromCopy, now), ge(30));
        expect_that!(fleet.spend_all(RetryClass::Restart, now), eq(0));
        expect_that!(fleet.spend_all(RetryClass::Resume, now), eq(0));
    }
}

/// Guards against the loss of a running stream for the fraction of a permit that an instance of a large fleet lacks.
#[gtest]
fn every_instance_may_resume_one_stream_from_its_copy() {
    for instances in FLEET_SIZES {
        let mut fleet = Fleet::new(instances);
        let spent = fleet.spend_all(RetryClass::ResumeFromCopy, START);
        expect_that!(spent, ge(instances as usize), "{instances} instances");
    }
}

/// Guards against permits that are lost with attempts that reached no upstream.
#[gtest]
fn refunded_permit_can_be_taken_again() {
    let mut fleet = Fleet::new(1);
    fleet.spend_all(RetryClass::Restart, START);
    let later = START.after(500);
    expect_that!(fleet.spend_all(RetryClass::Restart, later), eq(0));
    fleet.windows[0].refund(START);
    expect_that!(fleet.spend_all(RetryClass::Restart, later), eq(1));
}

/// Guards against permits that are counted when they are taken: an attempt that waited for capacity is made in a later
/// window.
#[gtest]
fn permit_counts_from_the_time_at_which_its_attempt_is_sent() {
    let mut fleet = Fleet::new(1);
    let taken = fleet.spend_all(RetryClass::Restart, START);
    fleet.windows[0].defer(START, START.after(900));
    let after_first = START.after(BOUND.window_ms + 200);
    expect_that!(
        fleet.spend_all(RetryClass::Restart, after_first),
        eq(taken - 1)
    );
}

/// Guards against the loss of streams at one instance while the others have permits left: losses fall unevenly.
#[gtest]
fn instance_goes_beyond_its_part_while_records_show_that_the_fleet_is_below_the_bound() {
    let fleet = FleetPart {
        heard_ms: u64::MAX,
        instances: 30,
        observed_ms: u64::MAX,
        rank: 0.5,
    };
    let spent = |known: u32, peers_spent: u32| {
        let mut window = RetryWindow::default();
        for _ in 0..18 {
            window.record_request(&BOUND, START);
        }
        for _ in 0..known {
            window.record_peer_attempt(true, &BOUND, START);
        }
        for _ in 0..peers_spent {
            window.record_peer_attempt(false, &BOUND, START);
        }
        let now = START.after(200);
        let class = RetryClass::ResumeFromCopy;
        (0..1_000)
            .take_while(|_| window.spend(class, &BOUND, fleet, now))
            .count()
    };
    // Its part is 19.4.
    expect_that!(spent(0, 0), le(19));
    expect_that!(spent(500, 100), all![ge(30), le(62)]);
    expect_that!(spent(500, 560), le(19));
}

/// Guards against permits that a restart gives out a second time: an instance that has just started knows of no attempt in the
/// window, and those before its start count all the same.
#[gtest]
fn restart_of_all_instances_gives_no_permits_out_again() {
    for instances in FLEET_SIZES {
        for down_ms in [500, 1_000, 2_600, 8_000] {
            let mut fleet = Fleet::new(instances);
            fleet.receive(500, START);
            fleet.spend_all(RetryClass::Resume, START.after(10));
            fleet.restart(START.after(10 + down_ms));
            let mut worst = 0.0_f64;
            for step in 0..100 {
                let now = START.after(10 + down_ms + step * 100);
                fleet.receive(5, now);
                fleet.spend_all(RetryClass::Resume, now);
                let (spent, allowed) = fleet.compare(now);
                worst = worst.max(spent - allowed);
            }
            expect_that!(worst, le(0.0), "{instances} instances, {down_ms} ms");
        }
    }
}

/// Guards against permits of a whole fleet at each instance, while instances that started together do not know each other yet.
#[gtest]
fn instances_that_do_not_know_each_other_yet_keep_the_bound_together() {
    for instances in FLEET_SIZES {
        let mut fleet = Fleet::new(instances);
        fleet.restart(START);
        fleet.instances = 1;
        let mut worst = 0.0_f64;
        for step in 0..5 {
            let now = START.after(step * 100);
            fleet.receive(6, now);
            fleet.spend_all(RetryClass::Resume, now);
            let (spent, allowed) = fleet.compare(now);
            worst = worst.max(spent - allowed);
        }
        expect_that!(worst, le(0.0), "{instances} instances");
    }
}

/// Guards against a restart that takes away the permits that requests earn.
#[gtest]
fn instances_that_have_just_started_may_use_what_requests_earn() {
    for instances in FLEET_SIZES {
        let mut fleet = Fleet::new(instances);
        fleet.restart(START);
        fleet.receive(1_000, START);
        let spent = fleet.spend_all(RetryClass::ResumeFromCopy, START.after(10));
        let earned = BOUND.ratio * 1_000.0;
        expect_that!(
            spent as f64,
            all![ge(0.85 * earned), le(earned + f64::from(instances))],
            "{instances}"
        );
    }
}

/// Guards against an instance that goes beyond its part since it missed what others spent while it stood still.
#[gtest]
fn instances_that_missed_what_others_spent_keep_the_bound_together() {
    for (instances, paused) in [(3, 1), (6, 1), (6, 3), (30, 1), (30, 10)] {
        let requests = 1_000;
        let bound = BOUND.ratio * f64::from(requests) + BOUND.extra;
        let mut spent = 0;
        for instance in 0..instances {
            let fleet = FleetPart {
                heard_ms: if instance < paused { 10 } else { u64::MAX },
                instances,
                observed_ms: u64::MAX,
                rank: f64::from(instance) / f64::from(instances),
            };
            let mut window = RetryWindow::default();
            for request in 0..requests {
                if request % instances == instance {
                    window.record_request(&BOUND, START.after(4_500));
                } else {
                    window.record_peer_attempt(true, &BOUND, START.after(4_500));
                }
            }
            let now = START.after(5_000);
            if instance >= paused {
                // The others have used their parts, and know it of each other.
                for _ in 0..(bound * 0.95) as u32 {
                    window.record_peer_attempt(false, &BOUND, now.before(1_000));
                }
            }
            // Streams are lost one after the other.
            for step in 0..30 {
                let now = now.after(step * 110);
                let sends =
                    (0..20).take_while(|_| window.spend(RetryClass::Resume, &BOUND, fleet, now));
                spent += sends.count();
            }
        }
        expect_that!(spent as f64, le(bound), "{paused} of {instances}");
    }
}

/// Guards against an instance of a few that hears none of the others and takes its own requests for records of the fleet.
#[gtest]
fn instances_that_are_cut_off_from_each_other_keep_the_bound_together() {
    for instances in [2_u32, 3, 4, 6, 30] {
        let mut spent = 0;
        for instance in 0..instances {
            let fleet = FleetPart {
                heard_ms: u64::MAX,
                instances,
                observed_ms: u64::MAX,
                rank: f64::from(instance) / f64::from(instances),
            };
            let mut window = RetryWindow::default();
            for _ in 0..100 {
                window.record_request(&BOUND, START);
            }
            let now = START.after(10);
            while window.spend(RetryClass::ResumeFromCopy, &BOUND, fleet, now) {
                spent += 1;
            }
        }
        let allowed = BOUND.ratio * 100.0 * f64::from(instances) + BOUND.extra;
        expect_that!(f64::from(spent), le(allowed), "{instances} instances");
    }
}

/// Guards against parts that add up to more than one: an instance that the store refuses for longer than its lease is dropped by the
/// others, and still counts all of them.
#[gtest]
fn instance_that_others_dropped_and_they_keep_the_bound_together() {
    for instances in [3_u32, 6, 30] {
        let mut spent = 0;
        for instance in 0..instances {
            let dropped = instance == 0;
            let known = if dropped { instances } else { instances - 1 };
            let fleet = FleetPart {
                heard_ms: u64::MAX,
                instances: known,
                observed_ms: u64::MAX,
                rank: f64::from(if dropped { 0 } else { instance - 1 }) / f64::from(known),
            };
            let mut window = RetryWindow::default();
            for _ in 0..100 {
                window.record_request(&BOUND, START);
            }
            // Records of the others arrive, of what they send a second time as well.
            for _ in 0..100 * (instances - 1) {
                window.record_peer_attempt(true, &BOUND, START);
            }
            for _ in 0..100 * instances + 150 {
                window.record_peer_attempt(false, &BOUND, START);
            }
            let now = START.after(10);
            while window.spend(RetryClass::ResumeFromCopy, &BOUND, fleet, now) {
                spent += 1;
            }
        }
        let allowed = BOUND.ratio * 100.0 * f64::from(instances) + BOUND.extra;
        expect_that!(f64::from(spent), le(allowed), "{instances} instances");
    }
}
