//! Requests that end the upstreams that run them: when one is refused, and when its upstreams' ends say nothing of it.

use super::*;

/// The request that the tests ask with a body.
fn print(body: u64) -> Print {
    Print::new("mill", body)
}

/// What another instance tells of upstreams that ended under a request.
fn told(body: u64, upstreams: std::ops::Range<usize>) -> Event {
    let mut account = CrashHistory::default();
    for upstream in upstreams {
        account.record(life(upstream, 0), print(body), Involvement::Fresh, NOW);
    }
    Event::Crashed(account.into())
}

/// Has upstreams end under a stream, one behind the other.
fn end_upstreams(test: &mut Test, ends: usize) {
    test.ask(STREAM);
    for _ in 0..ends {
        let sent = test.last();
        test.break_off(&sent, true);
    }
}

/// Attempts that were taken back.
fn cancelled(test: &Test) -> usize {
    let cancels = |effect: &&Effect| matches!(effect, Effect::Cancel { .. });
    test.effects.iter().filter(cancels).count()
}

#[gtest]
fn stream_under_which_three_upstreams_ended_is_given_up() {
    let mut test = Test::new(9);
    end_upstreams(&mut test, 3);
    expect_that!(test.sent().len(), eq(3));
    expect_that!(test.ends(), elements_are![eq("ends_upstreams")]);
    expect_that!(test.come_backs(), is_empty());
    expect_that!(test.counted(Counter::Quarantined), eq(1));
}

#[gtest]
fn its_next_try_is_refused_at_once_as_not_run() {
    let mut test = Test::new(9);
    end_upstreams(&mut test, 3);
    test.ask(STREAM);
    expect_that!(test.sent().len(), eq(3));
    expect_that!(test.ends()[1], eq("quarantined"));
}

#[gtest]
fn other_requests_of_its_customer_are_served() {
    let mut test = Test::new(9);
    end_upstreams(&mut test, 3);
    test.body = 1;
    let sent = test.stream(2);
    test.close(&sent, true);
    expect_that!(test.ends()[1], eq("close"));
}

#[gtest]
fn call_under_which_upstreams_ended_over_several_tries_is_refused() {
    let mut test = Test::new(9);
    for ends in 0..2 {
        test.ask(AGAIN);
        for _ in 0..2 - ends {
            let sent = test.last();
            test.break_off(&sent, true);
        }
    }
    test.ask(AGAIN);
    expect_that!(test.sent().len(), eq(3));
    expect_that!(test.ends().last(), some(eq("quarantined")));
}

#[gtest]
fn sending_that_may_be_its_fourth_waits_until_it_is_known_whether_the_third_upstream_ended() {
    let mut test = Test::new(9);
    end_upstreams(&mut test, 2);
    let third = test.last();
    test.fail(&third, Failure::Broken);
    test.pass(100);
    expect_that!(test.sent().len(), eq(3));
    expect_that!(test.ends(), is_empty());
    let life = life(third.upstream, 0);
    test.tell(Event::Checked { ended: false, life });
    expect_that!(test.sent().len(), eq(4));
}

#[gtest]
fn sending_goes_on_when_it_does_not_come_out_whether_the_upstream_ended() {
    let mut test = Test::new(9);
    end_upstreams(&mut test, 2);
    let third = test.last();
    test.fail(&third, Failure::Broken);
    test.pass(500);
    expect_that!(test.sent().len(), eq(4));
}

#[gtest]
fn connections_that_break_to_upstreams_that_live_convict_nobody() {
    let mut test = Test::new(9);
    for _ in 0..4 {
        test.ask(AGAIN);
        for _ in 0..2 {
            let sent = test.last();
            test.break_off(&sent, false);
        }
    }
    expect_that!(test.sent().len(), eq(8));
    expect_that!(test.counted(Counter::Quarantined), eq(0));
}

#[gtest]
fn upstream_that_was_born_anew_has_ended_though_its_address_answers() {
    let mut test = Test::new(0);
    let born = |index: usize, born: u64| Listed {
        born,
        ..listed(index, index)
    };
    let mut births = vec![1; 9];
    let list = |births: &[u64]| {
        let listed = births.iter().enumerate();
        listed.map(|(index, at)| born(index, *at)).collect()
    };
    test.list(list(&births));
    test.ask(STREAM);
    for _ in 0..3 {
        let sent = test.last();
        test.fail(&sent, Failure::Broken);
        let life = life(sent.upstream, births[sent.upstream]);
        test.tell(Event::Checked { ended: false, life });
        births[sent.upstream] += 5;
        test.list(list(&births));
    }
    expect_that!(test.counted(Counter::Quarantined), eq(1));
}

#[gtest]
fn upstreams_that_leave_and_end_convict_nobody() {
    let mut test = Test::new(9);
    test.ask(STREAM);
    for _ in 0..4 {
        let sent = test.last();
        let mut all: Vec<Listed> = (0..9).map(|index| listed(index, index)).collect();
        all[sent.upstream].leaving = true;
        test.list(all);
        test.break_off(&sent, true);
    }
    expect_that!(test.sent().len(), eq(5));
    expect_that!(test.core.account().is_empty(), eq(true));
}

#[gtest]
fn what_another_instance_saw_takes_back_what_runs_here() {
    let mut test = Test::new(9);
    test.ask(STREAM);
    test.tell(told(0, 3..6));
    expect_that!(cancelled(&test), eq(1));
    expect_that!(test.ends(), elements_are![eq("ends_upstreams")]);
}

#[gtest]
fn what_another_instance_saw_takes_back_what_waits_here() {
    let mut test = Test::new(0);
    test.ask(STREAM);
    test.tell(told(0, 3..6));
    expect_that!(test.ends(), elements_are![eq("quarantined")]);
}

#[gtest]
fn ends_seen_by_several_instances_count_once_each() {
    let mut test = Test::new(9);
    end_upstreams(&mut test, 2);
    let seen: Vec<usize> = test.sent()[..2].iter().map(|sent| sent.upstream).collect();
    for upstream in &seen {
        test.tell(told(0, *upstream..upstream + 1));
    }
    expect_that!(test.ends(), is_empty());
    let other = (0..9).find(|other| !seen.contains(other)).unwrap();
    test.tell(told(0, other..other + 1));
    expect_that!(test.ends(), elements_are![eq("ends_upstreams")]);
}

#[gtest]
fn whole_answer_clears_a_request_of_the_ends_before_it() {
    let mut test = Test::new(9);
    for _ in 0..2 {
        end_upstreams(&mut test, 2);
        let sent = test.last();
        test.tell(Event::Opened(sent.attempt));
        test.pass_on(&sent, 1);
        test.close(&sent, true);
    }
    expect_that!(test.ends(), elements_are![eq("close"), eq("close")]);
    expect_that!(test.counted(Counter::Quarantined), eq(0));
}

#[gtest]
fn request_beside_a_guilty_one_is_not_refused_where_ends_are_explained() {
    let settings = Settings {
        quarantine: wellplank_core::settings::QuarantineRule::Explained,
        ..Settings::default()
    };
    let mut test = Test::set(settings).configured(9);
    test.tell(told(7, 20..23));
    test.tell(told(0, 20..22));
    test.pass(100);
    end_upstreams(&mut test, 2);
    expect_that!(test.ends(), is_empty());
}

#[gtest]
fn requests_that_were_at_an_end_together_are_sent_to_different_upstreams() {
    for _ in 0..10 {
        let mut test = Test::new(9);
        let mut together = Vec::new();
        for body in 0..4 {
            test.body = body;
            test.ask(STREAM);
            together.push(test.last());
        }
        let account = |body| told(body, 20..21);
        (0..4).for_each(|body| test.tell(account(body)));
        let before = test.sent().len();
        for sent in &together {
            test.break_off(sent, true);
        }
        let mut after: Vec<usize> = test.sent()[before..]
            .iter()
            .map(|sent| sent.upstream)
            .collect();
        after.sort_unstable();
        after.dedup();
        expect_that!(after.len(), eq(4));
    }
}

#[gtest]
fn nothing_is_refused_where_that_is_switched_off() {
    let settings = Settings {
        quarantine: wellplank_core::settings::QuarantineRule::Off,
        ..Settings::default()
    };
    let mut test = Test::set(settings).configured(9);
    end_upstreams(&mut test, 5);
    expect_that!(test.sent().len(), eq(5));
    let quarantine = |effect: &&Effect| matches!(effect, Effect::Quarantine(_));
    expect_that!(test.effects.iter().filter(quarantine).count(), eq(0));
}

#[gtest]
fn instances_are_told_of_an_end_once() {
    let mut test = Test::new(9);
    end_upstreams(&mut test, 1);
    let told = |effect: &&Effect| matches!(effect, Effect::Quarantine(effect::Quarantine::Tell(_)));
    expect_that!(test.effects.iter().filter(told).count(), eq(1));
}

#[gtest]
fn all_tries_that_wait_are_refused_together() {
    let mut test = Test::new(1);
    for _ in 0..8 {
        test.ask(STREAM);
    }
    test.tell(told(0, 3..6));
    expect_that!(test.ends().len(), eq(8));
}

#[gtest]
fn try_is_given_up_once_when_it_shows_that_an_upstream_ended_under_another_try() {
    let mut test = Test::new(3);
    end_upstreams(&mut test, 2);
    let first = test.last();
    test.ask(STREAM);
    let second = test.last();
    expect_that!(second.upstream, eq(first.upstream));
    test.fail(&first, Failure::Broken);
    test.fail(&second, Failure::Replaced);
    expect_that!(
        test.ends(),
        unordered_elements_are![eq("ends_upstreams"), eq("quarantined")]
    );
}

#[gtest]
fn request_whose_connections_break_to_upstreams_that_live_is_not_held_back() {
    let mut test = Test::new(3);
    test.ask(STREAM);
    for sent in 1..5 {
        let last = test.last();
        test.break_off(&last, false);
        expect_that!(test.sent().len(), eq(sent + 1));
    }
}

/// Ends that another instance saw lapse here too: the one that saw them removes what is kept of the request, and no other.
#[gtest]
fn request_is_freed_where_it_is_kept_by_who_kept_it() {
    let freed = |test: &mut Test| {
        test.now = test.now.after(25 * 3_600_000);
        test.tell(Event::Tick);
        let own = |effect: &Effect| match effect {
            Effect::Quarantine(effect::Quarantine::Free { own, .. }) => Some(*own),
            _ => None,
        };
        test.effects.iter().filter_map(own).collect::<Vec<bool>>()
    };
    let mut saw = Test::new(9);
    end_upstreams(&mut saw, 3);
    expect_that!(freed(&mut saw), elements_are![eq(&true)]);
    let mut heard = Test::new(9);
    heard.tell(told(0, 0..3));
    expect_that!(freed(&mut heard), elements_are![eq(&false)]);
}
