//! The clock of an instance.

use {
    googletest::prelude::*,
    std::{thread::sleep, time::Duration},
    wellplank_node::Clock,
};

#[gtest]
fn machine_that_was_not_suspended_notices_nothing() {
    let clock = Clock::new();
    let begun = clock.now();
    for _ in 0..20 {
        sleep(Duration::from_millis(5));
        expect_that!(clock.notice(), none());
    }
    expect_that!(clock.now().since(begun), ge(100));
}
