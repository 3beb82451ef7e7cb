//! Records of streams: to all instances, or to a few that are asked for them.

use super::*;
use wellplank_core::{
    directory::{self, Audience, HOLDERS, Lookup},
    members::View,
};

/// Instances of a fleet in which records may go to few.
const FLEET: u64 = 100;

/// An instance of a fleet with so many upstreams.
fn in_fleet(upstreams: usize) -> Test {
    let mut test = Test::new(upstreams);
    test.handle(Event::Instances(View::numbered(0, FLEET)));
    test
}

/// Audiences of the records sent so far.
fn audiences(test: &Test) -> Vec<Audience> {
    let audience = |effect: &Effect| match effect {
        Effect::GossipStream { audience, .. } => Some(*audience),
        _ => None,
    };
    test.effects.iter().filter_map(audience).collect()
}

/// Prompts whose records were looked up.
fn looked_up(test: &Test) -> Vec<u64> {
    let prompt = |effect: &Effect| match effect {
        Effect::FindStream(Lookup { prompt, .. }) => Some(*prompt),
        _ => None,
    };
    test.effects.iter().filter_map(prompt).collect()
}

#[gtest]
fn records_go_to_few_where_upstreams_outnumber_streams() {
    let mut test = in_fleet(1_000);
    test.stream(1);
    expect_that!(audiences(&test), each(eq(&Audience::Holders)));
}

#[gtest]
fn records_go_to_all_where_upstreams_are_scarce() {
    let mut test = in_fleet(50);
    test.stream(1);
    expect_that!(audiences(&test), each(eq(&Audience::All)));
}

#[gtest]
fn records_go_to_all_in_a_small_fleet() {
    let mut test = Test::new(1_000);
    test.stream(1);
    expect_that!(audiences(&test), each(eq(&Audience::All)));
}

#[gtest]
fn returning_caller_waits_for_the_record_and_resumes_from_the_copy() {
    let mut test = in_fleet(1_000);
    test.request_as("key", STREAM, 9);
    expect_that!(looked_up(&test), eq(&vec![77]));
    expect_that!(test.sent().len(), eq(0));
    test.handle(Event::PeerStream(stream_record(1, 4)));
    expect_that!(test.last_sent().upstream, eq(4));
    expect_that!(test.last_sent().copy, some(eq("run-before")));
    expect_that!(test.last_sent().position, eq(9));
}

#[gtest]
fn returning_caller_whose_record_nobody_has_is_served_soon() {
    let mut test = in_fleet(1_000);
    test.request_as("key", STREAM, 9);
    test.now = test.now.after(200);
    test.handle(Event::Tick);
    expect_that!(test.sent().len(), eq(1));
}

#[gtest]
fn caller_whose_record_is_known_does_not_wait() {
    let mut test = in_fleet(1_000);
    test.handle(Event::PeerStream(stream_record(1, 4)));
    test.request_as("key", STREAM, 9);
    expect_that!(looked_up(&test), is_empty());
    expect_that!(test.sent().len(), eq(1));
}

#[gtest]
fn holders_of_prompts_are_spread_evenly() {
    for instances in [100, 1_000] {
        let mut held = vec![0; instances as usize];
        let prompts = 10 * instances;
        for prompt in 0..prompts {
            for holder in directory::holders(upstream::id(&prompt.to_string()), 0..instances) {
                held[holder as usize] += 1;
            }
        }
        expect_that!(held.iter().sum::<usize>(), eq(HOLDERS * prompts as usize));
        // Some five deviations above the mean of 20.
        expect_that!(held.iter().max().copied(), some(le(42)));
    }
}
