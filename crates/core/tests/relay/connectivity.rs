//! An instance that is cut off from all upstreams: the paths of its requests, and what it concludes and announces.

use super::*;

/// Identifiers of this instance and the others; the first of these is in its data centre.
const OWN: u64 = 1;
const LOCAL: [u64; 1] = [2];
const OTHERS: [u64; 3] = [2, 3, 4];

/// Interval between two ticks in the tests, in milliseconds.
const TICK_MS: u64 = 10;

/// A core with other instances and upstreams.
fn test(upstreams: usize) -> Test {
    let mut test = Test::new(upstreams);
    test.handle(Event::Instances(View {
        convergence_ms: 0,
        local: LOCAL.to_vec(),
        others: OTHERS.to_vec(),
        own: OWN,
    }));
    test.advance(10);
    test
}

/// The path of the last attempt.
fn last_path(test: &Test) -> Path {
    let path = |effect: &Effect| match effect {
        Effect::Send {
            outbound: Outbound::Relay { path, .. },
            ..
        } => Some(*path),
        _ => None,
    };
    test.effects
        .iter()
        .rev()
        .find_map(path)
        .expect("something was sent")
}

fn connect(test: &mut Test, sent: &Sent) {
    test.handle(Event::Connected(sent.attempt));
}

/// Has the connections of a request fail until it goes another way; its last attempt.
fn cut_off(test: &mut Test) -> Sent {
    test.request(NON_REPEATABLE);
    for _ in 0..2 {
        expect_that!(last_path(test), eq(Path::Direct));
        let sent = test.last_sent();
        test.fail(&sent, Failure::NotSent);
    }
    test.last_sent()
}

/// The first upstream, as this instance would connect to it for another one.
fn tunnel_target(test: &Test) -> upstream::Key {
    let target = test.core.tunnel_target(incarnation(0, 0));
    target.expect("it is reached").0
}

/// Has the connection for a tunnel to an upstream fail.
fn fail_connection(test: &mut Test, upstream: upstream::Key) {
    test.handle(Event::ConnectionChecked {
        connected: false,
        started_at: test.now,
        upstream,
    });
}

/// Number of losses announced to other instances.
fn losses_announced(test: &Test) -> usize {
    let is_loss =
        |effect: &&Effect| matches!(effect, Effect::GossipBreakOff(_) | Effect::GossipLost(_));
    test.effects.iter().filter(is_loss).count()
}

/// The last check whether an upstream can be reached, and when it was started.
fn last_check(test: &Test) -> Option<(upstream::Key, Time)> {
    let check = |effect: &Effect| match effect {
        Effect::Connectivity(effect::Connectivity::Check {
            started_at,
            upstream,
            ..
        }) => Some((*upstream, *started_at)),
        _ => None,
    };
    test.effects.iter().rev().find_map(check)
}

fn checks(test: &Test) -> usize {
    let is_check = |effect: &&Effect| {
        matches!(
            effect,
            Effect::Connectivity(effect::Connectivity::Check { .. })
        )
    };
    test.effects.iter().filter(is_check).count()
}

/// Reports whether the upstream of an attempt whose connection broke has ended.
fn check_crash(test: &mut Test, sent: &Sent, ended: bool) {
    let incarnation = incarnation(sent.upstream, 0);
    test.handle(Event::CrashChecked { ended, incarnation });
}

/// Crashes the upstream of the last attempt and has the retry connect; the attempt that was lost.
fn crash_and_retry(test: &mut Test) -> Sent {
    let sent = test.last_sent();
    test.break_connection(&sent, true);
    let retry = test.last_sent();
    connect(test, &retry);
    sent
}

/// Starts a stream that crashes three upstreams, and tells of the last crash while no connection has been made since; the
/// attempts that were lost.
fn crash_three(test: &mut Test) -> [Sent; 3] {
    test.request(STREAM);
    let (first, second) = (crash_and_retry(test), crash_and_retry(test));
    let third = test.last_sent();
    test.advance(TICK_MS);
    test.break_connection(&third, true);
    [first, second, third]
}

/// Number of checks whether an upstream has ended.
fn crash_checks(test: &Test) -> usize {
    let is_check = |effect: &&Effect| {
        matches!(
            effect,
            Effect::Quarantine(effect::Quarantine::CheckCrash { .. })
        )
    };
    test.effects.iter().filter(is_check).count()
}

/// Answers the last check.
fn answer_check(test: &mut Test, connected: bool) {
    let (upstream, started_at) = last_check(test).expect("a check was started");
    test.handle(Event::ConnectionChecked {
        connected,
        started_at,
        upstream,
    });
}

#[gtest]
fn request_whose_connections_to_two_upstreams_fail_takes_a_tunnel_and_is_answered() {
    let mut test = test(6);
    let sent = cut_off(&mut test);
    expect_that!(last_path(&test), eq(Path::Tunnel(LOCAL[0])));
    connect(&mut test, &sent);
    test.answer(&sent, Verdict::Good);
    expect_that!(test.outcomes(), elements_are![eq("answer")]);
}

#[gtest]
fn next_request_of_an_instance_that_is_cut_off_takes_a_tunnel_at_once() {
    let mut test = test(6);
    cut_off(&mut test);
    for path in [NON_REPEATABLE, REPEATABLE, STREAM] {
        test.request(path);
        expect_that!(last_path(&test), not(eq(Path::Direct)));
    }
}

#[gtest]
fn single_failed_connection_sends_the_request_to_another_upstream_directly() {
    let mut test = test(6);
    test.request(NON_REPEATABLE);
    let first = test.last_sent();
    test.fail(&first, Failure::NotSent);
    expect_that!(last_path(&test), eq(Path::Direct));
    expect_that!(test.last_sent().upstream, not(eq(first.upstream)));
}

#[gtest]
fn failures_of_upstreams_are_not_this_instances_own_while_later_connections_are_made() {
    let mut test = test(9);
    for _ in 0..3 {
        test.request(NON_REPEATABLE);
        let dark = test.last_sent();
        test.advance(100);
        test.request(NON_REPEATABLE);
        let sound = test.last_sent();
        connect(&mut test, &sound);
        test.advance(200);
        test.fail(&dark, Failure::NotSent);
        expect_that!(last_path(&test), eq(Path::Direct));
    }
    expect_that!(test.core.is_cut_off(), eq(false));
}

#[gtest]
fn events_on_open_connections_do_not_show_that_upstreams_can_be_reached() {
    let mut test = test(6);
    let running = test.stream(3);
    test.advance(10);
    cut_off(&mut test);
    test.send_event(&running, 4);
    expect_that!(test.core.is_cut_off(), eq(true));
}

#[gtest]
fn upstreams_are_neither_announced_as_lost_nor_avoided_by_an_instance_that_is_cut_off() {
    let mut test = test(2);
    let sent = cut_off(&mut test);
    connect(&mut test, &sent);
    test.answer(&sent, Verdict::Good);
    test.advance(100);
    expect_that!(losses_announced(&test), eq(0));
    // Both upstreams get requests: neither is doubted.
    let mut used = BTreeSet::new();
    for _ in 0..20 {
        test.request(NON_REPEATABLE);
        let sent = test.last_sent();
        used.insert(sent.upstream);
        connect(&mut test, &sent);
        test.answer(&sent, Verdict::Good);
    }
    expect_that!(used, eq(&BTreeSet::from([0, 1])));
}

#[gtest]
fn broken_connections_of_an_instance_that_is_cut_off_are_no_losses_and_no_crashes() {
    let mut test = test(6);
    let streams: Vec<Sent> = (0..4).map(|_| test.stream(2)).collect();
    test.advance(10);
    for sent in &streams {
        test.break_connection(sent, true);
        while last_path(&test) == Path::Direct {
            let next = test.last_sent();
            test.fail(&next, Failure::NotSent);
        }
    }
    test.advance(200);
    expect_that!(losses_announced(&test), eq(0));
    expect_that!(test.core.crash_history().is_empty(), eq(true));
}

#[gtest]
fn loss_is_announced_once_another_upstream_was_reached() {
    let mut test = test(6);
    let sent = test.stream(2);
    test.advance(10);
    test.fail(&sent, Failure::Broken);
    expect_that!(losses_announced(&test), eq(0));
    let next = test.last_sent();
    connect(&mut test, &next);
    expect_that!(losses_announced(&test), eq(1));
}

#[gtest]
fn loss_without_a_retry_is_announced_once_a_check_has_reached_another_upstream() {
    let mut test = test(6);
    test.request(NON_REPEATABLE);
    let sent = test.last_sent();
    test.advance(10);
    test.fail(&sent, Failure::Broken);
    test.advance(100);
    expect_that!(checks(&test), eq(1));
    answer_check(&mut test, true);
    expect_that!(losses_announced(&test), eq(1));
}

#[gtest]
fn crash_is_announced_once_a_retry_connects_that_began_before_its_check_ended() {
    let mut test = test(6);
    let sent = test.stream(2);
    test.advance(10);
    test.fail(&sent, Failure::Broken);
    let retry = test.last_sent();
    test.now = test.now.after(2);
    check_crash(&mut test, &sent, true);
    expect_that!(test.core.crash_history().is_empty(), eq(true));
    connect(&mut test, &retry);
    expect_that!(test.core.crash_history().len(), eq(1));
}

#[gtest]
fn crash_is_announced_at_once_if_a_retry_has_connected_since() {
    let mut test = test(6);
    let sent = test.stream(2);
    test.advance(10);
    test.fail(&sent, Failure::Broken);
    let retry = test.last_sent();
    connect(&mut test, &retry);
    test.now = test.now.after(2);
    check_crash(&mut test, &sent, true);
    expect_that!(test.core.crash_history().len(), eq(1));
}

#[gtest]
fn crash_without_a_retry_is_announced_within_two_ticks_of_its_check() {
    let mut test = test(6);
    test.request(NON_REPEATABLE);
    let sent = test.last_sent();
    test.advance(10);
    test.fail(&sent, Failure::Broken);
    check_crash(&mut test, &sent, true);
    test.advance(2 * TICK_MS);
    expect_that!(checks(&test), eq(1));
    answer_check(&mut test, true);
    expect_that!(test.core.crash_history().len(), eq(1));
}

#[gtest]
fn crash_found_while_apparently_cut_off_is_checked_again_once_upstreams_are_reached() {
    let mut test = test(6);
    let stream = test.stream(2);
    test.advance(10);
    cut_off(&mut test);
    test.advance(10);
    test.break_connection(&stream, true);
    expect_that!(test.core.crash_history().is_empty(), eq(true));
    answer_check(&mut test, true);
    expect_that!(test.core.is_cut_off(), eq(false));
    expect_that!(crash_checks(&test), eq(2));
    check_crash(&mut test, &stream, true);
    test.advance(2 * TICK_MS);
    answer_check(&mut test, true);
    expect_that!(test.core.crash_history().len(), eq(1));
}

#[gtest]
fn stream_is_not_sent_to_a_fourth_upstream_while_its_third_crash_is_not_announced() {
    let mut test = test(9);
    crash_three(&mut test);
    expect_that!(test.sent().len(), eq(3));
    test.advance(2 * TICK_MS);
    answer_check(&mut test, true);
    test.advance(1_000);
    expect_that!(test.sent().len(), eq(3));
    expect_that!(test.outcomes(), elements_are![eq("ends_upstreams")]);
}

#[gtest]
fn crash_is_not_confirmed_by_a_check_of_an_upstream_that_is_known_to_be_down() {
    for upstreams in 4..24 {
        let mut test = test(upstreams);
        let [first, second, _] = crash_three(&mut test);
        test.advance(2 * TICK_MS);
        let (checked, _) = last_check(&test).expect("a check was started");
        expect_that!([first.key, second.key].contains(&checked), eq(false));
    }
}

#[gtest]
fn check_of_a_crash_is_repeated_soon_if_it_has_met_another_upstream_that_is_down() {
    let mut test = test(9);
    let sent = test.stream(2);
    test.advance(TICK_MS);
    test.break_connection(&sent, true);
    test.advance(2 * TICK_MS);
    answer_check(&mut test, false);
    test.advance(60);
    expect_that!(checks(&test), eq(2));
}

#[gtest]
fn retry_that_waits_for_a_crash_goes_on_once_this_instance_is_cut_off() {
    let mut test = test(9);
    crash_three(&mut test);
    cut_off(&mut test);
    expect_that!(last_path(&test), not(eq(Path::Direct)));
    expect_that!(test.sent().len(), eq(7));
    expect_that!(test.outcomes(), is_empty());
}

#[gtest]
fn upstream_that_a_gateway_does_not_reach_is_avoided_and_not_announced() {
    let mut test = test(6);
    let sent = cut_off(&mut test);
    test.fail(&sent, Failure::NotSent);
    expect_that!(test.last_sent().upstream, not(eq(sent.upstream)));
    expect_that!(losses_announced(&test), eq(0));
}

#[gtest]
fn loss_that_a_gateway_finds_is_announced_once_it_has_reached_another_upstream() {
    let mut test = test(6);
    let upstream = tunnel_target(&test);
    fail_connection(&mut test, upstream);
    expect_that!(losses_announced(&test), eq(0));
    test.advance(10);
    test.request(NON_REPEATABLE);
    let sent = test.last_sent();
    connect(&mut test, &sent);
    expect_that!(losses_announced(&test), eq(1));
}

#[gtest]
fn failed_connection_to_an_upstream_that_is_no_longer_listed_changes_nothing() {
    let mut test = test(6);
    let upstream = tunnel_target(&test);
    test.list((1..6).map(|index| listed(index, index)).collect());
    fail_connection(&mut test, upstream);
    test.advance(10);
    expect_that!(losses_announced(&test), eq(0));
}

#[gtest]
fn gateway_that_reaches_no_upstreams_is_not_asked_again() {
    let mut test = test(6);
    let mut sent = cut_off(&mut test);
    for _ in 0..2 {
        expect_that!(last_path(&test), eq(Path::Tunnel(LOCAL[0])));
        test.fail(&sent, Failure::NotSent);
        sent = test.last_sent();
    }
    expect_that!(last_path(&test), not(eq(Path::Tunnel(LOCAL[0]))));
}

#[gtest]
fn instance_that_others_name_is_asked_once_several_have_declined() {
    let mut test = test(6);
    cut_off(&mut test);
    test.advance(10);
    let others: Vec<u64> = (10..40).collect();
    test.handle(Event::Instances(View {
        convergence_ms: 0,
        local: Vec::new(),
        others,
        own: OWN,
    }));
    for _ in 0..3 {
        let sent = test.last_sent();
        test.fail(&sent, Failure::NoTunnel { named: Some(39) });
    }
    let (mut asked, mut all) = (0, 0);
    for _ in 0..40 {
        while last_path(&test) != Path::Tunnel(39) {
            all += 1;
            let sent = test.last_sent();
            test.fail(&sent, Failure::NoTunnel { named: None });
        }
        (asked, all) = (asked + 1, all + 1);
        let sent = test.last_sent();
        connect(&mut test, &sent);
        test.answer(&sent, Verdict::Good);
        test.request(NON_REPEATABLE);
    }
    // One in eight asks another one.
    expect_that!(asked * 4, ge(all * 3));
}

#[gtest]
fn instance_that_offers_no_tunnel_is_not_asked_again_and_the_upstream_is_not_blamed() {
    let mut test = test(6);
    let sent = cut_off(&mut test);
    test.fail(&sent, Failure::NoTunnel { named: None });
    let next = last_path(&test);
    expect_that!(next, any![eq(Path::Tunnel(3)), eq(Path::Tunnel(4))]);
    expect_that!(losses_announced(&test), eq(0));
    for _ in 0..10 {
        test.request(NON_REPEATABLE);
        expect_that!(last_path(&test), not(eq(Path::Tunnel(LOCAL[0]))));
    }
}

#[gtest]
fn request_is_refused_at_once_while_no_instance_offers_a_tunnel() {
    let mut test = test(6);
    cut_off(&mut test);
    for _ in OTHERS {
        let sent = test.last_sent();
        test.fail(&sent, Failure::NoTunnel { named: None });
    }
    let sent = test.sent().len();
    test.request(NON_REPEATABLE);
    expect_that!(test.sent().len(), eq(sent));
    expect_that!(
        test.outcomes().last().map(String::as_str),
        some(eq("no_upstream"))
    );
    expect_that!(test.retry_afters().last(), some(gt(&0)));
}

#[gtest]
fn stream_resumes_from_its_copy_although_the_direct_path_to_it_failed() {
    let mut test = test(6);
    let sent = test.stream(3);
    test.advance(10);
    cut_off(&mut test);
    test.fail(&sent, Failure::Broken);
    let resumed = test.last_sent();
    expect_that!(resumed.copy.as_deref(), some(eq("run-1")));
    expect_that!(last_path(&test), not(eq(Path::Direct)));
    test.fail(&resumed, Failure::NoTunnel { named: None });
    expect_that!(test.last_sent().copy.as_deref(), some(eq("run-1")));
}

#[gtest]
fn direct_path_is_taken_again_within_two_seconds_of_the_links_return() {
    let mut test = test(6);
    cut_off(&mut test);
    // Several upstreams are known by their tunnels alone.
    for _ in 0..20 {
        test.request(NON_REPEATABLE);
        let sent = test.last_sent();
        connect(&mut test, &sent);
        test.answer(&sent, Verdict::Good);
    }
    for _ in 0..10 {
        test.advance(10);
        if checks(&test) > 0 {
            answer_check(&mut test, false);
        }
    }
    let in_vain = checks(&test);
    for _ in 0..199 {
        let before = checks(&test);
        test.advance(10);
        if checks(&test) > before {
            answer_check(&mut test, true);
        }
    }
    for _ in 0..20 {
        test.request(STREAM);
        expect_that!(last_path(&test), eq(Path::Direct));
    }
    // A few connections have shown it.
    expect_that!(checks(&test), le(in_vain + 3));
    let shown = checks(&test);
    test.advance(2_000);
    expect_that!(checks(&test), eq(shown));
}

#[gtest]
fn instance_that_meets_a_third_upstream_that_is_down_soon_knows_that_it_is_not_cut_off() {
    let mut test = test(9);
    cut_off(&mut test);
    test.advance(10);
    answer_check(&mut test, false);
    let failed = checks(&test);
    test.advance(60);
    expect_that!(checks(&test), eq(failed + 1));
    answer_check(&mut test, true);
    expect_that!(test.core.is_cut_off(), eq(false));
}

#[gtest]
fn instance_that_stays_cut_off_checks_twice_a_second() {
    let mut test = test(9);
    cut_off(&mut test);
    for _ in 0..500 {
        let before = checks(&test);
        test.advance(10);
        if checks(&test) > before {
            answer_check(&mut test, false);
        }
    }
    // In 5 s; a few more at first.
    expect_that!(checks(&test), all![ge(9), le(16)]);
}

#[gtest]
fn upstreams_that_stay_unreachable_keep_their_tunnels_while_others_are_reached() {
    let mut test = test(3);
    let cut = cut_off(&mut test);
    connect(&mut test, &cut);
    // A connection to another upstream is made: only that one is known to be reached.
    for _ in 0..20 {
        test.advance(10);
        if let Some((upstream, _)) = last_check(&test) {
            answer_check(&mut test, upstream != cut.key);
        }
    }
    for _ in 0..20 {
        test.request(NON_REPEATABLE);
        let sent = test.last_sent();
        let expected = sent.upstream == cut.upstream;
        expect_that!(last_path(&test) != Path::Direct, eq(expected));
        connect(&mut test, &sent);
        test.answer(&sent, Verdict::Good);
    }
}

#[gtest]
fn instance_that_is_cut_off_opens_no_tunnel_for_others() {
    let mut test = test(6);
    expect_that!(test.core.tunnel_target(incarnation(0, 0)), some(anything()));
    cut_off(&mut test);
    expect_that!(test.core.tunnel_target(incarnation(0, 0)), none());
}

#[gtest]
fn no_tunnel_is_opened_to_an_upstream_that_is_reached_by_a_tunnel_alone() {
    let mut test = test(3);
    let cut = cut_off(&mut test);
    connect(&mut test, &cut);
    for _ in 0..20 {
        test.advance(10);
        if let Some((upstream, _)) = last_check(&test) {
            answer_check(&mut test, upstream != cut.key);
        }
    }
    expect_that!(test.core.is_cut_off(), eq(false));
    for index in 0..3 {
        let target = test.core.tunnel_target(incarnation(index, 0));
        expect_that!(target.is_some(), eq(index != cut.upstream));
    }
}

#[gtest]
fn no_tunnel_is_opened_to_an_upstream_that_is_leaving() {
    let mut test = test(6);
    test.handle(Event::Leaving("runner-0".into()));
    expect_that!(test.core.tunnel_target(incarnation(0, 0)), none());
}

#[gtest]
fn instance_alone_keeps_trying_upstreams_itself() {
    let mut test = Test::new(6);
    test.request(NON_REPEATABLE);
    for _ in 0..3 {
        let sent = test.last_sent();
        test.fail(&sent, Failure::NotSent);
        expect_that!(last_path(&test), eq(Path::Direct));
    }
}
