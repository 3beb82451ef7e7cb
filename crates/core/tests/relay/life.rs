//! Lives of an upstream under one name: what is believed of one says nothing of another.

use super::*;

/// An upstream at its place in a life that began at a time.
fn born(upstream: usize, born: u64) -> ListEntry {
    ListEntry {
        born,
        ..listed(upstream, upstream)
    }
}

/// A core with upstreams that were all born at 5.
fn lives(upstreams: usize) -> Test {
    let mut test = Test::new(0);
    test.list((0..upstreams).map(|index| born(index, 5)).collect());
    test
}

/// What is believed of an upstream since a moment, by names as in logs.
fn beliefs(test: &Test, since: usize) -> Vec<&'static str> {
    let belief = |effect: &Effect| match effect {
        Effect::LogUpstream { change: belief, .. } => Some(belief.name()),
        _ => None,
    };
    test.effects[since..].iter().filter_map(belief).collect()
}

#[gtest]
fn call_that_may_run_once_is_not_sent_again_behind_a_restart() {
    let mut test = lives(1);
    test.ask(ONCE);
    test.list(vec![born(0, 9), born(1, 5)]);
    expect_that!(test.sent().len(), eq(1));
    expect_that!(test.ends(), elements_are![eq("upstream_failed")]);
}

#[gtest]
fn call_that_may_repeat_is_sent_again_behind_a_restart() {
    let mut test = lives(1);
    test.ask(AGAIN);
    test.list(vec![born(0, 9)]);
    expect_that!(test.sent().len(), eq(2));
    expect_that!(test.ends(), is_empty());
}

#[gtest]
fn copy_at_a_former_life_is_not_gone_on_from() {
    let mut test = lives(6);
    test.tell(Event::PeerStream(Sighting {
        backup: Some(life(4, 5)),
        upstream: Some(life(1, 5)),
        ..sighting(1, 4)
    }));
    let mut listed: Vec<ListEntry> = (0..6).map(|index| born(index, 5)).collect();
    listed[4] = born(4, 9);
    test.list(listed);
    test.ask_as("key", STREAM, 9);
    expect_that!(test.last().copy, none());
    expect_that!(test.last().upstream, eq(1));
}

#[gtest]
fn doubts_about_a_former_life_end_with_it() {
    let mut test = lives(1);
    test.ask(AGAIN);
    let sent = test.last();
    test.fail(&sent, Failure::Broken);
    test.list(vec![born(0, 9)]);
    test.ask(AGAIN);
    expect_that!(test.last().upstream, eq(0));
    let before = test.effects.len();
    test.pass(1_200);
    expect_that!(beliefs(&test, before), is_empty());
}

#[gtest]
fn earlier_birth_told_late_strikes_nobody() {
    let mut test = lives(6);
    test.list((0..6).map(|index| born(index, 9)).collect());
    for upstream in [0, 1] {
        test.tell(Event::PeerLoss(life(upstream, 5)));
    }
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..30 {
        test.ask(AGAIN);
        used.insert(test.last().upstream);
    }
    expect_that!(used.contains(&0) || used.contains(&1), eq(true));
}

#[gtest]
fn entry_of_a_service_without_a_configuration_takes_nobody_s_place() {
    let mut test = lives(1);
    let foreign = ListEntry {
        pool: "another".into(),
        since: Position::new(0, 70),
        ..listed(9, 0)
    };
    test.list(vec![born(0, 5), foreign]);
    test.ask(ONCE);
    expect_that!(test.last().upstream, eq(0));
}

#[gtest]
fn entry_of_a_service_whose_configuration_comes_later_takes_its_place_then() {
    let mut test = lives(1);
    let newer = ListEntry {
        pool: "another".into(),
        since: Position::new(0, 70),
        ..listed(9, 0)
    };
    test.list(vec![born(0, 5), newer]);
    let before = test.effects.len();
    let mut next = configuration(2);
    let call = config::Relay {
        attempts_max: 2,
        copies: false,
        memory_tokens: 0,
        objective_ms: 100,
        pool: "another".into(),
        resumable: false,
        streams: false,
    };
    next.routes.push(route("/another/", call, true, false));
    test.tell(Event::Config(Arc::new(next)));
    expect_that!(beliefs(&test, before), elements_are![eq(&"replaced")]);
}

#[gtest]
fn gone_upstream_that_comes_back_in_another_life_gets_work() {
    let mut test = lives(1);
    test.list(vec![]);
    test.list(vec![born(0, 9)]);
    test.ask(ONCE);
    expect_that!(test.last().upstream, eq(0));
}

#[gtest]
fn leaving_upstream_that_starts_again_gets_work() {
    let mut test = lives(1);
    test.list(vec![ListEntry {
        leaving: true,
        ..born(0, 5)
    }]);
    test.list(vec![born(0, 9)]);
    test.ask(ONCE);
    expect_that!(test.last().upstream, eq(0));
}

#[gtest]
fn life_that_says_no_birth_is_known_by_its_name() {
    let mut test = Test::new(1);
    test.ask(ONCE);
    let before = test.effects.len();
    test.list(vec![listed(0, 0)]);
    expect_that!(beliefs(&test, before), is_empty());
    expect_that!(test.ends(), is_empty());
}

#[gtest]
fn list_that_tells_of_a_restart_is_taken_in_whole_before_anything_is_sent_on() {
    let mut test = lives(2);
    test.ask(AGAIN);
    let first = test.last().upstream;
    // In the order of the list the one that restarted comes before and behind the one that leaves.
    let mut listed: Vec<ListEntry> = (0..3).map(|index| born(index, 5)).collect();
    listed[first] = born(first, 9);
    listed[1 - first].leaving = true;
    test.list(listed);
    expect_that!(test.sent().len(), eq(2));
    expect_that!(test.last().upstream, not(eq(1 - first)));
}

#[gtest]
fn load_of_a_former_life_is_not_that_of_the_next() {
    let mut test = lives(2);
    for prompt in 0..8 {
        test.tell(Event::PeerStream(Sighting {
            backup: None,
            prompt: 1_000 + prompt,
            stage: Stage::Started,
            upstream: Some(life(0, 5)),
            ..sighting(0, 0)
        }));
    }
    test.ask(STREAM);
    expect_that!(test.last().upstream, eq(1));
    test.list(vec![born(0, 9), born(1, 5)]);
    test.ask(STREAM);
    expect_that!(test.last().upstream, eq(0));
}

#[gtest]
fn restart_at_another_address_is_another_life() {
    let mut test = lives(1);
    test.ask(AGAIN);
    let moved = ListEntry {
        address: address(5),
        ..born(0, 9)
    };
    let before = test.effects.len();
    test.list(vec![moved]);
    expect_that!(beliefs(&test, before), contains(eq(&"restarted")));
    expect_that!(test.last().upstream, eq(5));
}

#[gtest]
fn stream_of_a_former_life_goes_on_elsewhere_from_its_copy() {
    let mut test = lives(6);
    let sent = test.stream(3);
    let mut listed: Vec<ListEntry> = (0..6).map(|index| born(index, 5)).collect();
    listed[sent.upstream] = born(sent.upstream, 9);
    test.list(listed);
    let next = test.last();
    expect_that!(Some(next.upstream), eq(sent.backup));
    expect_that!(next.position, eq(3));
}

#[gtest]
fn two_births_within_a_heartbeat_are_two_lives() {
    let mut test = lives(1);
    test.list(vec![born(0, 6)]);
    let before = test.effects.len();
    // The clock of the machine went back before it started once more.
    test.list(vec![born(0, 4)]);
    expect_that!(
        beliefs(&test, before),
        elements_are![eq(&"new"), eq(&"restarted")]
    );
    test.ask(ONCE);
    expect_that!(test.last().upstream, eq(0));
}
