//! Limits that upstreams name, on every way to a sending.

use super::*;
use wellplank_core::limit::{Limit, Rate};

/// Time of a virtual second, in milliseconds.
const SECOND: u64 = 1_000;

/// Time behind which an upstream is asked whose limit nobody has heard of, at most, in milliseconds.
const QUESTION: u64 = 60_000;

impl Test {
    /// The upstream of a sending names a limit, in thousandths of a request a second.
    fn limits(&mut self, sent: &Sent, limit: Limit) {
        let notice = Notice {
            limit,
            ..Notice::default()
        };
        self.says(sent, notice);
    }

    /// One upstream that has named a limit.
    fn with_a_limit(thousandths: u64) -> Self {
        Self::fleet_with_a_limit(thousandths, View::numbered(0, 1))
    }

    /// The same, seen by one instance of a fleet.
    fn fleet_with_a_limit(thousandths: u64, view: View) -> Self {
        let mut test = Self::new(1);
        test.tell(Event::Instances(view));
        test.ask(ONCE);
        let sent = test.last();
        test.limits(&sent, Limit::Rate(Rate(thousandths)));
        test.answer(&sent, Verdict::Good);
        test
    }

    /// Asks a call each 20 ms for some time; each one that is sent is answered with a limit. How many were sent.
    fn press(&mut self, millis: u64, limit: Limit) -> usize {
        let before = self.sent().len();
        for _ in 0..millis / 20 {
            self.pass(10);
            let known = self.sent().len();
            self.ask_within(100, "key", ONCE, 0);
            self.pass(10);
            for sent in self.sent().split_off(known) {
                self.limits(&sent, limit);
                self.answer(&sent, Verdict::Good);
            }
        }
        self.sent().len() - before
    }

    /// What others were told of limits.
    fn told(&self) -> Vec<Option<Rate>> {
        let told = |effect: &Effect| match effect {
            Effect::Limit { rate, .. } => Some(*rate),
            _ => None,
        };
        self.effects.iter().filter_map(told).collect()
    }
}

#[gtest]
fn limited_upstream_gets_what_it_takes() {
    for (thousandths, most) in [(500, 6), (2_000, 21), (20_000, 201)] {
        let mut test = Test::with_a_limit(thousandths);
        let sent = test.press(10 * SECOND, Limit::Rate(Rate(thousandths)));
        expect_that!(sent, all![ge(most * 8 / 10), le(most)], "{thousandths}");
    }
}

#[gtest]
fn other_upstreams_take_what_is_beyond_a_limit() {
    let mut test = Test::new(2);
    test.ask(ONCE);
    let limited = test.last();
    test.limits(&limited, Limit::Rate(Rate(1_000)));
    test.answer(&limited, Verdict::Good);
    for _ in 0..100 {
        test.pass(10);
        test.ask(ONCE);
        let sent = test.last();
        let limit = if sent.upstream == limited.upstream {
            Limit::Rate(Rate(1_000))
        } else {
            Limit::None
        };
        test.limits(&sent, limit);
        test.answer(&sent, Verdict::Good);
    }
    let sent = test.sent();
    let to = |upstream: usize| sent.iter().filter(|sent| sent.upstream == upstream).count();
    expect_that!(sent.len(), eq(101));
    expect_that!(to(limited.upstream), le(3));
}

#[gtest]
fn second_sendings_and_streams_that_go_on_take_permits_too() {
    let mut test = Test::new(2);
    test.ask(ONCE);
    let limited = test.last();
    test.limits(&limited, Limit::Rate(Rate(100)));
    test.answer(&limited, Verdict::Good);
    for path in [AGAIN, STREAM] {
        for _ in 0..6 {
            test.ask(path);
            let sent = test.last();
            expect_that!(sent.upstream, not(eq(limited.upstream)));
            test.fail(&sent, Failure::Refused);
        }
    }
    let sent = test.sent();
    let there = sent.iter().filter(|sent| sent.upstream == limited.upstream);
    expect_that!(there.count(), eq(1));
}

#[gtest]
fn copy_at_an_upstream_without_a_permit_is_not_gone_on_from() {
    let mut test = Test::new(3);
    let running = test.stream(2);
    let holder = running.backup.unwrap();
    test.tell(Event::Limited {
        life: life(holder, 0),
        rate: Some(Rate(100)),
    });
    test.fail(&running, Failure::Broken);
    expect_that!(test.last().upstream, not(eq(holder)));
    expect_that!(test.last().copy, none());
}

#[gtest]
fn answer_without_a_limit_ends_it_only_if_it_was_asked_for_behind_the_word() {
    let mut test = Test::new(1);
    test.ask(ONCE);
    let before = test.last();
    test.ask(ONCE);
    let naming = test.last();
    test.pass(10);
    test.limits(&naming, Limit::Rate(Rate(1_000)));
    test.limits(&before, Limit::None);
    expect_that!(test.told(), elements_are![some(eq(&Rate(1_000)))]);
    test.answer(&naming, Verdict::Good);
    test.answer(&before, Verdict::Good);
    test.pass(2 * SECOND);
    test.ask(ONCE);
    let behind = test.last();
    test.limits(&behind, Limit::None);
    test.answer(&behind, Verdict::Good);
    expect_that!(test.told(), elements_are![some(anything()), none()]);
    expect_that!(test.press(SECOND, Limit::None), eq(50));
}

#[gtest]
fn what_is_no_number_neither_names_nor_ends_a_limit() {
    let mut test = Test::with_a_limit(1_000);
    let sent = test.press(10 * SECOND, Limit::Odd);
    expect_that!(sent, le(11));
    expect_that!(test.counted(Counter::NoticeInvalid), eq(sent as u64));
}

#[gtest]
fn limit_that_falls_counts_at_once_and_one_that_rises_from_then_on() {
    let mut test = Test::with_a_limit(10_000);
    test.press(2 * SECOND, Limit::Rate(Rate(10_000)));
    test.press(100, Limit::Rate(Rate(1_000)));
    expect_that!(test.press(4 * SECOND, Limit::Rate(Rate(1_000))), le(5));
    test.press(SECOND, Limit::Rate(Rate(10_000)));
    let sent = test.press(4 * SECOND, Limit::Rate(Rate(10_000)));
    expect_that!(sent, all![ge(32), le(41)]);
}

#[gtest]
fn limit_of_nothing_is_asked_about_now_and_then() {
    let mut test = Test::with_a_limit(0);
    let sent = test.press(60 * SECOND, Limit::Rate(Rate(0)));
    expect_that!(sent, all![ge(4), le(7)]);
}

#[gtest]
fn limit_that_another_instance_heard_of_holds_and_ends_by_its_word() {
    let mut test = Test::new(1);
    let tell = |test: &mut Test, rate: Option<Rate>| {
        let life = life(0, 0);
        test.tell(Event::Limited { life, rate });
    };
    tell(&mut test, Some(Rate(1_000)));
    expect_that!(test.press(5 * SECOND, Limit::Unknown), le(6));
    expect_that!(test.told(), is_empty());
    tell(&mut test, None);
    expect_that!(test.press(SECOND, Limit::Unknown), eq(50));
}

#[gtest]
fn limit_that_another_instance_has_told_is_not_told_again_at_once() {
    let mut test = Test::new(1);
    test.ask(ONCE);
    let sent = test.last();
    let rate = Rate(1_000);
    test.tell(Event::Limited {
        life: life(0, 0),
        rate: Some(rate),
    });
    test.limits(&sent, Limit::Rate(rate));
    expect_that!(test.told(), is_empty());
    test.answer(&sent, Verdict::Good);
    test.press(6 * SECOND, Limit::Rate(rate));
    expect_that!(test.told(), elements_are![some(eq(&rate))]);
}

#[gtest]
fn limit_says_nothing_of_the_next_life_and_holds_when_the_entry_is_back() {
    let mut test = Test::with_a_limit(0);
    test.list(Vec::new());
    test.list(vec![listed(0, 0)]);
    expect_that!(test.press(SECOND, Limit::Unknown), eq(0));
    test.list(vec![Listed {
        born: 7,
        ..listed(0, 0)
    }]);
    expect_that!(test.press(SECOND, Limit::None), eq(50));
}

/// How many of some instances that all know of a limit send anything in a time.
fn senders(instances: u64, thousandths: u64) -> usize {
    let sends = |own: &u64| {
        let view = View::numbered(*own, instances);
        let mut test = Test::fleet_with_a_limit(thousandths, view);
        test.press(4 * SECOND, Limit::Rate(Rate(thousandths))) > 0
    };
    (0..instances).filter(sends).count()
}

#[gtest]
fn few_of_many_instances_have_a_part_of_a_limit() {
    expect_that!(senders(1, 1_200), eq(1));
    expect_that!(senders(6, 1_200), eq(2));
    expect_that!(senders(90, 3_000), eq(5));
    expect_that!(senders(3, 20_000), eq(3));
}

/// The number of an instance that has no part of the limit of the first upstream in a fleet of six.
fn without_a_part() -> View {
    let has_none = |view: &View| {
        let mut test = Test::fleet_with_a_limit(1_000, view.clone());
        test.press(10 * SECOND, Limit::Unknown) == 0
    };
    let mut views = (0..6).map(|own| View::numbered(own, 6));
    views.find(has_none).expect("four of six have none")
}

#[gtest]
fn request_is_refused_at_once_where_other_instances_have_the_parts() {
    let mut test = Test::fleet_with_a_limit(1_000, without_a_part());
    test.effects.clear();
    test.ask(ONCE);
    expect_that!(test.ends(), elements_are![eq("overloaded")]);
    expect_that!(test.come_backs(), elements_are![gt(&0)]);
}

#[gtest]
fn instance_without_a_part_asks_once_when_nobody_has_heard_of_the_limit_for_long() {
    let mut test = Test::fleet_with_a_limit(1_000, without_a_part());
    let sent = test.press(QUESTION, Limit::Rate(Rate(1_000)));
    expect_that!(sent, all![ge(1), le(2)]);
    let known = test.sent().len();
    for _ in 0..40 {
        test.pass(5 * SECOND);
        let rate = Some(Rate(1_000));
        let life = life(0, 0);
        test.tell(Event::Limited { life, rate });
        test.ask(ONCE);
    }
    expect_that!(test.sent().len(), eq(known));
}

#[gtest]
fn instance_that_is_among_the_few_by_a_new_view_waits_until_all_have_it() {
    let settles_ms = 4 * SECOND;
    let (alone, joined) = (View::numbered(0, 1), View::numbered(0, 2));
    let view = |view: View| View { settles_ms, ..view };
    let mut test = Test::fleet_with_a_limit(1_000, view(alone));
    // Behind its start it does not know yet who else is there.
    expect_that!(test.press(settles_ms, Limit::Unknown), eq(0));
    test.press(2 * SECOND, Limit::Unknown);
    expect_that!(test.press(4 * SECOND, Limit::Unknown), ge(3));
    // One that is among the few by both views goes on.
    test.tell(Event::Instances(view(joined)));
    expect_that!(test.press(4 * SECOND, Limit::Unknown), ge(1));
}

#[gtest]
fn request_waits_for_a_permit_that_comes_in_time() {
    let mut test = Test::with_a_limit(2_000);
    test.effects.clear();
    test.ask(ONCE);
    expect_that!(test.ends(), is_empty());
    test.pass(520);
    expect_that!(test.sent().len(), eq(1));
}

#[gtest]
fn requests_behind_more_than_the_permits_that_come_in_time_are_refused_at_once() {
    let mut test = Test::with_a_limit(3_000);
    test.effects.clear();
    for _ in 0..6 {
        test.ask(ONCE);
    }
    // Two permits come while a call may wait.
    expect_that!(test.ends().len(), eq(4));
    test.pass(1_100);
    expect_that!(test.sent().len(), eq(2));
}
