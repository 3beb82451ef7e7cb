//! The clock of an instance advances, and reports no suspension of a machine that runs on.

use {
    googletest::prelude::*,
    std::{thread::sleep, time::Duration},
    wellplank_node::Clock,
};

#[gtest]
fn no_suspension_is_detected_on_a_running_machine() {
    let clock = Clock::new();
    let started_at = clock.now();
    for _ in 0..20 {
        sleep(Duration::from_millis(5));
        expect_that!(clock.detect_suspension(), none());
    }
    expect_that!(clock.now().since(started_at), ge(100));
}
