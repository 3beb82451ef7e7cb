//! Ended incarnations: what one instance learns from the answer of a successor holds at all instances, for good.

use super::*;

fn born(upstream: usize, born: u64) -> ListEntry {
    ListEntry {
        born,
        ..listed(upstream, upstream)
    }
}

/// Creates a core with upstreams that all started at 5.
fn started_at_5(upstreams: usize) -> Test {
    let mut test = Test::new(0);
    test.list((0..upstreams).map(|index| born(index, 5)).collect());
    test
}

/// Announcements of ended incarnations, in order.
fn announced(test: &Test) -> Vec<Vec<Incarnation>> {
    let ended = |effect: &Effect| match effect {
        Effect::GossipEnded(incarnations) => Some(incarnations.clone()),
        _ => None,
    };
    test.effects.iter().filter_map(ended).collect()
}

/// Upstreams to which thirty calls are sent.
fn used(test: &mut Test) -> std::collections::BTreeSet<usize> {
    let send = |_| {
        test.request(REPEATABLE);
        let sent = test.last_sent();
        test.answer(&sent, Verdict::Good);
        sent.upstream
    };
    (0..30).map(send).collect()
}

fn peer_ends(test: &mut Test, upstream: usize, born: u64) {
    test.handle(Event::PeerEnds(vec![incarnation(upstream, born)]));
}

/// Guards against ninety ended engines that thirty instances each have to meet.
#[gtest]
fn end_is_announced_once() {
    let mut test = started_at_5(3);
    test.request(STREAM);
    let sent = test.last_sent();
    test.fail(&sent, Failure::Replaced);
    test.advance(50);
    let incarnation = incarnation(sent.upstream, 5);
    expect_that!(
        announced(&test),
        elements_are![elements_are![eq(&incarnation)]]
    );
}

/// Guards against a datagram for each engine of a data centre that ends at once.
#[gtest]
fn ends_of_the_same_moment_are_announced_together() {
    let mut test = started_at_5(9);
    for _ in 0..3 {
        test.request(STREAM);
    }
    for sent in test.sent() {
        test.fail(&sent, Failure::Replaced);
    }
    test.advance(10);
    expect_that!(announced(&test), elements_are![len(eq(3))]);
}

/// Guards against a storm of announcements.
#[gtest]
fn announced_end_is_not_forwarded() {
    let mut test = started_at_5(3);
    peer_ends(&mut test, 0, 5);
    test.advance(50);
    expect_that!(announced(&test), is_empty());
    expect_that!(test.counted(Counter::PeerEnded), eq(1));
}

/// Guards against requests to an incarnation that another instance knows to have ended.
#[gtest]
fn announced_upstream_receives_no_requests() {
    let mut test = started_at_5(3);
    peer_ends(&mut test, 1, 5);
    expect_that!(used(&mut test), not(contains(eq(&1))));
}

/// Guards against an end that lists of the store undo: an older one, one that is read again, or an entry that returns
/// from a backup.
#[gtest]
fn end_is_kept_whatever_the_list_says() {
    let entries = || (0..3).map(|index| born(index, 5)).collect::<Vec<_>>();
    let mut test = started_at_5(3);
    peer_ends(&mut test, 1, 5);
    test.list(entries());
    expect_that!(used(&mut test), not(contains(eq(&1))));
    test.list(vec![born(0, 5), born(2, 5)]);
    test.advance(700_000);
    test.list(entries());
    expect_that!(used(&mut test), not(contains(eq(&1))));
}

/// Guards against an end that becomes known before the list shows the upstream.
#[gtest]
fn upstream_that_is_listed_after_its_end_receives_no_requests() {
    let mut test = started_at_5(1);
    peer_ends(&mut test, 1, 5);
    test.list(vec![born(0, 5), born(1, 5)]);
    expect_that!(used(&mut test), not(contains(eq(&1))));
}

/// Guards against a false or late announcement that takes a restarted upstream out of service.
#[gtest]
fn newer_incarnation_is_not_touched() {
    let mut test = started_at_5(2);
    test.list(vec![born(0, 5), born(1, 9)]);
    peer_ends(&mut test, 1, 5);
    expect_that!(used(&mut test), contains(eq(&1)));
    let mut test = started_at_5(2);
    peer_ends(&mut test, 1, 5);
    test.list(vec![born(0, 5), born(1, 9)]);
    expect_that!(used(&mut test), contains(eq(&1)));
}

/// Guards against an upstream without a start time that is out of service for good after a restart at another address.
#[gtest]
fn restarted_upstream_without_a_start_time_is_used_at_its_new_address() {
    let mut test = Test::new(2);
    test.request(REPEATABLE);
    let sent = test.last_sent();
    test.fail(&sent, Failure::Replaced);
    test.advance(50);
    let mut moved = listed(sent.upstream, 7);
    moved.data_centre = "dc-0".into();
    test.list(vec![moved, listed(1 - sent.upstream, 1 - sent.upstream)]);
    expect_that!(used(&mut test), contains(eq(&7)));
}

/// Guards against ended upstreams that every instance has to meet where names are new with each start and no start time
/// is reported.
#[gtest]
fn end_of_an_upstream_without_a_start_time_is_announced_and_kept() {
    let mut test = Test::new(2);
    test.request(REPEATABLE);
    let sent = test.last_sent();
    test.fail(&sent, Failure::Replaced);
    test.advance(50);
    expect_that!(announced(&test).len(), eq(1));
    test.list((0..2).map(|index| listed(index, index)).collect());
    expect_that!(used(&mut test), not(contains(eq(&sent.upstream))));

    let mut peer = Test::new(2);
    peer_ends(&mut peer, sent.upstream, 0);
    peer.list((0..2).map(|index| listed(index, index)).collect());
    expect_that!(used(&mut peer), not(contains(eq(&sent.upstream))));
}

/// Guards against streams that wait for a reset that does not come: the machine of their upstream was restarted.
#[gtest]
fn streams_of_an_announced_upstream_resume_at_once() {
    let mut test = started_at_5(6);
    let sent = test.stream(3);
    peer_ends(&mut test, sent.upstream, 5);
    let next = test.last_sent();
    expect_that!(next.position, eq(3));
    expect_that!(Some(next.upstream), eq(sent.backup));
    expect_that!(test.counted(Counter::Resumed(Reason::Replaced)), eq(1));
}

/// Guards against prompts that are prefilled at an ended upstream until the time for their first event is over.
#[gtest]
fn unanswered_stream_of_an_ended_upstream_is_retried_soon() {
    let mut test = started_at_5(6);
    let sent = test.stream(0);
    peer_ends(&mut test, sent.upstream, 5);
    expect_that!(test.sent().len(), eq(1));
    test.advance(220);
    expect_that!(test.sent().len(), eq(2));
    expect_that!(test.last_sent().upstream, not(eq(sent.upstream)));
}

/// Guards against a false "may have run": what was sent after the end is answered by the successor, which did not run
/// it.
#[gtest]
fn call_sent_after_the_end_waits_for_its_own_answer() {
    let mut test = started_at_5(1);
    test.request(NON_REPEATABLE);
    let sent = test.last_sent();
    peer_ends(&mut test, 0, 5);
    expect_that!(test.outcomes(), is_empty());
    test.fail(&sent, Failure::Replaced);
    test.advance(1_100);
    expect_that!(test.outcomes(), elements_are![eq("no_upstream")]);
}

/// Guards against a request that may run once and is sent again because its upstream ended.
#[gtest]
fn call_that_may_run_once_is_not_retried_after_the_end_of_its_upstream() {
    let mut test = started_at_5(3);
    test.request(NON_REPEATABLE);
    let sent = test.last_sent();
    test.advance(300);
    peer_ends(&mut test, sent.upstream, 5);
    test.advance(100);
    expect_that!(test.sent().len(), eq(1));
    expect_that!(test.outcomes(), is_empty());
    test.answer(&sent, Verdict::Good);
    expect_that!(test.outcomes(), elements_are![eq("answer")]);
}

/// Guards against poison requests that are not counted because the end of their upstream was announced before their
/// connections broke.
#[gtest]
fn request_at_an_announced_end_counts_as_involved_in_its_crash() {
    let mut test = started_at_5(6);
    test.body = 4;
    let sent = test.stream(1);
    peer_ends(&mut test, sent.upstream, 5);
    let crashes: Vec<Incarnation> = test
        .core
        .crash_history()
        .crashes()
        .map(|(incarnation, _)| incarnation)
        .collect();
    expect_that!(crashes, elements_are![eq(&incarnation(sent.upstream, 5))]);
}

/// Guards against the loss of running streams for requests that are easy to refuse: permits go to the streams first.
#[gtest]
fn permits_go_first_to_streams_whose_callers_have_tokens() {
    use wellplank_core::settings::RetryBound;
    let settings = Settings {
        relay_resume: ResumeMode::Anew,
        retry: RetryBound {
            extra: 1.5,
            ratio: 0.0,
            window_ms: 10_000,
        },
        ..Settings::default()
    };
    let mut test = Test::set(settings).configured(0);
    test.list(vec![born(0, 5)]);
    test.request(STREAM);
    let without_tokens = test.last_sent();
    test.request_of_size(100, STREAM);
    let with_tokens = test.last_sent();
    test.handle(Event::StreamOpened(with_tokens.attempt));
    test.send_event(&with_tokens, 1);
    test.list(vec![born(0, 5), born(1, 5)]);
    test.advance(200);
    expect_that!(without_tokens.upstream, eq(with_tokens.upstream));
    peer_ends(&mut test, 0, 5);
    expect_that!(test.last_sent().position, eq(1));
    expect_that!(test.outcomes(), elements_are![eq("upstream_failed")]);
}

/// Guards against a setting that does not take the announcements away.
#[gtest]
fn without_shared_losses_an_end_is_known_only_where_it_is_met() {
    let mut settings = Settings::default();
    settings.shared.losses = false;
    let mut test = Test::set(settings).configured(0);
    test.list((0..3).map(|index| born(index, 5)).collect());
    test.request(STREAM);
    let sent = test.last_sent();
    test.fail(&sent, Failure::Replaced);
    test.advance(50);
    expect_that!(announced(&test), is_empty());
    let other = (sent.upstream + 1) % 3;
    peer_ends(&mut test, other, 5);
    expect_that!(used(&mut test), contains(eq(&other)));
}
