//! Incarnations of an upstream under one name: state of one must not apply to another.

use super::*;

/// List entry for an upstream with the given start time.
fn listed_since(upstream: usize, born: u64) -> ListEntry {
    ListEntry {
        born,
        ..listed(upstream, upstream)
    }
}

/// Creates a core with upstreams that all started at 5.
fn started_at_5(upstreams: usize) -> Test {
    let mut test = Test::new(0);
    test.list((0..upstreams).map(|index| listed_since(index, 5)).collect());
    test
}

/// Status changes of upstreams logged since the given effect.
fn status_changes(test: &Test, since: usize) -> Vec<&'static str> {
    let change = |effect: &Effect| match effect {
        Effect::LogUpstream { change, .. } => Some(change.name()),
        _ => None,
    };
    test.effects[since..].iter().filter_map(change).collect()
}

#[gtest]
fn copy_at_a_former_incarnation_is_not_resumed_from() {
    let mut test = started_at_5(6);
    test.handle(Event::PeerStream(StreamRecord {
        backup: Some(incarnation(4, 5)),
        upstream: Some(incarnation(1, 5)),
        ..stream_record(1, 4)
    }));
    let mut listed: Vec<ListEntry> = (0..6).map(|index| listed_since(index, 5)).collect();
    listed[4] = listed_since(4, 9);
    test.list(listed);
    test.request_as("key", STREAM, 9);
    expect_that!(test.last_sent().copy, none());
    expect_that!(test.last_sent().upstream, eq(1));
}

#[gtest]
fn entry_of_a_service_replaces_an_upstream_once_it_is_configured() {
    let mut test = started_at_5(1);
    let newer = ListEntry {
        pool: "another".into(),
        registered_at: Position::new(0, 70),
        ..listed(9, 0)
    };
    test.list(vec![listed_since(0, 5), newer]);
    let before = test.effects.len();
    let mut next = configuration(2);
    let call = config::Relay {
        attempts_max: 2,
        copies: false,
        memory_tokens: 0,
        objective_ms: 100,
        event_interval_objective_ms: 0,
        priority: config::DEFAULT_PRIORITY,
        pool: "another".into(),
        resumable: false,
        streams: false,
    };
    next.routes.push(route("/another/", call, true, false));
    test.handle(Event::Config(Arc::new(next)));
    expect_that!(
        status_changes(&test, before),
        elements_are![eq(&"replaced")]
    );
}

#[gtest]
fn entry_of_an_unconfigured_service_replaces_no_upstream() {
    let mut test = started_at_5(1);
    let foreign = ListEntry {
        pool: "another".into(),
        registered_at: Position::new(0, 70),
        ..listed(9, 0)
    };
    test.list(vec![listed_since(0, 5), foreign]);
    test.request(NON_REPEATABLE);
    expect_that!(test.last_sent().upstream, eq(0));
}

#[gtest]
fn incarnation_without_a_start_time_is_identified_by_its_name() {
    let mut test = Test::new(1);
    test.request(NON_REPEATABLE);
    let before = test.effects.len();
    test.list(vec![listed(0, 0)]);
    expect_that!(status_changes(&test, before), is_empty());
    expect_that!(test.outcomes(), is_empty());
}

#[gtest]
fn late_report_about_a_former_incarnation_has_no_effect() {
    let mut test = started_at_5(6);
    test.list((0..6).map(|index| listed_since(index, 9)).collect());
    for upstream in [0, 1] {
        test.handle(Event::PeerLoss(incarnation(upstream, 5)));
    }
    let mut used = std::collections::BTreeSet::new();
    for _ in 0..30 {
        test.request(REPEATABLE);
        used.insert(test.last_sent().upstream);
    }
    expect_that!(used.contains(&0) || used.contains(&1), eq(true));
}

#[gtest]
fn leaving_upstream_that_restarts_gets_work() {
    let mut test = started_at_5(1);
    test.list(vec![ListEntry {
        leaving: true,
        ..listed_since(0, 5)
    }]);
    test.list(vec![listed_since(0, 9)]);
    test.request(NON_REPEATABLE);
    expect_that!(test.last_sent().upstream, eq(0));
}

#[gtest]
fn list_with_a_restart_is_applied_completely_before_retries() {
    let mut test = started_at_5(2);
    test.request(REPEATABLE);
    let first = test.last_sent().upstream;
    // The list has the restarted upstream before the leaving one in one case, and after it in the other.
    let mut listed: Vec<ListEntry> = (0..3).map(|index| listed_since(index, 5)).collect();
    listed[first] = listed_since(first, 9);
    listed[1 - first].leaving = true;
    test.list(listed);
    expect_that!(test.sent().len(), eq(2));
    expect_that!(test.last_sent().upstream, not(eq(1 - first)));
}

#[gtest]
fn load_of_a_former_incarnation_does_not_count_for_the_next() {
    let mut test = started_at_5(2);
    for prompt in 0..8 {
        test.handle(Event::PeerStream(StreamRecord {
            backup: None,
            prompt: 1_000 + prompt,
            stage: Stage::Started,
            upstream: Some(incarnation(0, 5)),
            ..stream_record(0, 0)
        }));
    }
    test.request(STREAM);
    expect_that!(test.last_sent().upstream, eq(1));
    test.list(vec![listed_since(0, 9), listed_since(1, 5)]);
    test.request(STREAM);
    expect_that!(test.last_sent().upstream, eq(0));
}

#[gtest]
fn non_repeatable_call_is_not_retried_after_a_restart() {
    let mut test = started_at_5(1);
    test.request(NON_REPEATABLE);
    test.list(vec![listed_since(0, 9), listed_since(1, 5)]);
    expect_that!(test.sent().len(), eq(1));
    expect_that!(test.outcomes(), elements_are![eq("upstream_failed")]);
}

#[gtest]
fn removed_upstream_that_returns_as_another_incarnation_gets_work() {
    let mut test = started_at_5(1);
    test.list(vec![]);
    test.list(vec![listed_since(0, 9)]);
    test.request(NON_REPEATABLE);
    expect_that!(test.last_sent().upstream, eq(0));
}

#[gtest]
fn repeatable_call_is_retried_after_a_restart() {
    let mut test = started_at_5(1);
    test.request(REPEATABLE);
    test.list(vec![listed_since(0, 9)]);
    expect_that!(test.sent().len(), eq(2));
    expect_that!(test.outcomes(), is_empty());
}

/// Guards against an entry of the list that nothing removes: a change of the list names only the new address, so work
/// went on to the former one, also after the upstream had left the list.
#[gtest]
fn upstream_that_moves_to_another_address_gets_no_work_at_the_former_one() {
    let mut test = started_at_5(1);
    let sent = test.stream(1);
    let moved = ListEntry {
        address: address(5),
        ..listed_since(0, 5)
    };
    test.change_list(vec![moved], &[]);
    for _ in 0..10 {
        test.request(REPEATABLE);
        expect_that!(test.last_sent().upstream, eq(5));
    }
    // What runs at the former address finishes there.
    test.send_event(&sent, 2);
    test.close(&sent, true);
    expect_that!(test.delivered(), elements_are![eq(&1), eq(&2)]);
    test.advance(100);
    expect_that!(test.core.upstreams().count(), eq(1));
}

#[gtest]
fn restart_at_another_address_is_another_incarnation() {
    let mut test = started_at_5(1);
    test.request(REPEATABLE);
    let moved = ListEntry {
        address: address(5),
        ..listed_since(0, 9)
    };
    let before = test.effects.len();
    test.list(vec![moved]);
    expect_that!(status_changes(&test, before), contains(eq(&"restarted")));
    expect_that!(test.last_sent().upstream, eq(5));
}

#[gtest]
fn stream_of_a_former_incarnation_resumes_elsewhere_from_its_copy() {
    let mut test = started_at_5(6);
    let sent = test.stream(3);
    let mut listed: Vec<ListEntry> = (0..6).map(|index| listed_since(index, 5)).collect();
    listed[sent.upstream] = listed_since(sent.upstream, 9);
    test.list(listed);
    let next = test.last_sent();
    expect_that!(Some(next.upstream), eq(sent.backup));
    expect_that!(next.position, eq(3));
}

#[gtest]
fn suspicion_of_a_former_incarnation_ends_with_it() {
    let mut test = started_at_5(1);
    test.request(REPEATABLE);
    let sent = test.last_sent();
    test.fail(&sent, Failure::Broken);
    test.list(vec![listed_since(0, 9)]);
    test.request(REPEATABLE);
    expect_that!(test.last_sent().upstream, eq(0));
    let before = test.effects.len();
    test.advance(1_200);
    expect_that!(status_changes(&test, before), is_empty());
}

#[gtest]
fn two_restarts_within_a_heartbeat_are_two_incarnations() {
    let mut test = started_at_5(1);
    test.list(vec![listed_since(0, 6)]);
    let before = test.effects.len();
    // The clock of the machine was set back before it restarted again.
    test.list(vec![listed_since(0, 4)]);
    expect_that!(
        status_changes(&test, before),
        elements_are![eq(&"new"), eq(&"restarted")]
    );
    test.request(NON_REPEATABLE);
    expect_that!(test.last_sent().upstream, eq(0));
}
