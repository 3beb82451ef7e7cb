//! What upstreams say of themselves beside their answers, on every way to a sending.

use super::*;

/// A rest in milliseconds, and the longest that it may be with its spread.
const REST: u64 = 3_000;
const REST_MOST: u64 = REST + REST / 10;

impl Test {
    /// The upstream of a sending says that it leaves.
    fn says_leaving(&mut self, sent: &Sent) {
        let notice = Notice {
            leaving: true,
            ..Notice::default()
        };
        self.says(sent, notice);
    }

    /// The upstream of a sending asks for rest.
    fn asks_for(&mut self, sent: &Sent, millis: u64) {
        let notice = Notice {
            rest: Rest::For(millis),
            ..Notice::default()
        };
        self.says(sent, notice);
    }

    pub(crate) fn says(&mut self, sent: &Sent, notice: Notice) {
        self.tell(Event::Noticed {
            attempt: sent.attempt,
            notice,
            upstream: sent.key,
        });
    }

    /// The upstream of a sending turns it away and asks for rest.
    fn turns_away(&mut self, sent: &Sent, millis: u64) {
        self.asks_for(sent, millis);
        self.fail(sent, Failure::Refused);
    }

    /// A call that reached an upstream.
    fn sent_to(&mut self, upstream: usize) -> Sent {
        loop {
            self.ask(ONCE);
            let sent = self.last();
            self.answer(&sent, Verdict::Good);
            if sent.upstream == upstream {
                return sent;
            }
        }
    }

    /// Asks some times and answers at once; which upstreams were asked.
    fn asked(&mut self, path: &str) -> Vec<usize> {
        let before = self.sent().len();
        for _ in 0..12 {
            self.ask(path);
            if let Some(sent) = self.sent().get(before..).and_then(|sent| sent.last()) {
                let sent = sent.clone();
                self.answer(&sent, Verdict::Good);
            }
        }
        let mut asked: Vec<usize> = self.sent()[before..]
            .iter()
            .map(|sent| sent.upstream)
            .collect();
        asked.sort_unstable();
        asked.dedup();
        asked
    }
}

/// Entries of the first upstreams.
fn all(upstreams: usize) -> Vec<Listed> {
    (0..upstreams).map(|index| listed(index, index)).collect()
}

/// Two upstreams, of which the one that got the first call said that it leaves; which one it is.
fn left_of_two() -> (Test, usize) {
    let mut test = Test::new(2);
    test.ask(ONCE);
    let sent = test.last();
    test.says_leaving(&sent);
    test.answer(&sent, Verdict::Good);
    (test, sent.upstream)
}

#[gtest]
fn upstream_that_says_that_it_leaves_gets_nothing_more() {
    let (mut test, left) = left_of_two();
    for path in [ONCE, AGAIN, STREAM] {
        expect_that!(test.asked(path), elements_are![eq(&(1 - left))], "{path}");
    }
}

#[gtest]
fn word_of_leaving_outlasts_the_hint_and_a_list_that_says_otherwise() {
    let (mut test, left) = left_of_two();
    for _ in 0..8 {
        test.pass(5_000);
        test.list(all(2));
        expect_that!(test.asked(ONCE), elements_are![eq(&(1 - left))]);
    }
}

#[gtest]
fn word_of_leaving_holds_when_the_entry_goes_and_is_back() {
    let (mut test, left) = left_of_two();
    test.list(vec![listed(1 - left, 1 - left)]);
    test.list(all(2));
    expect_that!(test.asked(ONCE), elements_are![eq(&(1 - left))]);
}

#[gtest]
fn word_of_leaving_says_nothing_of_the_next_life() {
    let mut test = Test::new(0);
    let born = |born| Listed {
        born,
        ..listed(0, 0)
    };
    test.list(vec![born(5)]);
    test.ask(ONCE);
    let sent = test.last();
    test.says_leaving(&sent);
    test.answer(&sent, Verdict::Good);
    test.list(vec![born(9)]);
    expect_that!(test.asked(ONCE), elements_are![eq(&0)]);
    // A late word of the former life finds nobody.
    test.says_leaving(&sent);
    expect_that!(test.asked(ONCE), elements_are![eq(&0)]);
}

#[gtest]
fn word_of_leaving_cuts_nothing_that_runs() {
    let mut test = Test::new(6);
    let sent = test.stream(3);
    test.says_leaving(&sent);
    test.pass_on(&sent, 4);
    test.close(&sent, true);
    expect_that!(test.given(), elements_are![eq(&1), eq(&2), eq(&3), eq(&4)]);
    expect_that!(test.ends(), elements_are![eq("close")]);
    expect_that!(test.sent().len(), eq(1));
}

#[gtest]
fn lost_stream_does_not_go_on_at_a_copy_whose_upstream_leaves_or_rests() {
    for leaves in [true, false] {
        let mut test = Test::new(6);
        let sent = test.stream(3);
        let holder = test.sent_to(sent.backup.expect("a copy is kept"));
        if leaves {
            test.says_leaving(&holder);
        } else {
            test.asks_for(&holder, REST);
        }
        test.fail(&sent, Failure::Broken);
        expect_that!(test.last().upstream, not(eq(holder.upstream)));
        expect_that!(test.last().copy, none());
        expect_that!(test.last().position, eq(3));
    }
}

#[gtest]
fn others_are_told_once_of_an_upstream_that_leaves() {
    let (mut test, left) = left_of_two();
    let sent = test.sent().first().cloned().unwrap();
    test.says_leaving(&sent);
    let told = |effect: &&Effect| matches!(effect, Effect::Leaving { .. });
    expect_that!(test.effects.iter().filter(told).count(), eq(1));
    let mut other = Test::new(2);
    other.tell(Event::Departing(life(left, 0)));
    expect_that!(other.asked(ONCE), elements_are![eq(&(1 - left))]);
    // What was told is not told on: each instance that hears it would tell all others.
    expect_that!(other.effects.iter().filter(told).count(), eq(0));
}

#[gtest]
fn word_that_was_told_holds_for_a_while_only() {
    let mut test = Test::new(2);
    test.tell(Event::Departing(life(0, 0)));
    test.pass(31_000);
    expect_that!(test.asked(ONCE), elements_are![eq(&0), eq(&1)]);
}

#[gtest]
fn upstream_that_asked_for_rest_gets_nothing_in_that_time() {
    for path in [ONCE, AGAIN, STREAM] {
        let mut test = Test::new(2);
        test.ask(path);
        let sent = test.last();
        test.turns_away(&sent, REST);
        test.answer(&test.last(), Verdict::Good);
        for _ in 0..REST / 500 {
            let asked = test.asked(path);
            expect_that!(asked, elements_are![eq(&(1 - sent.upstream))], "{path}");
            test.pass(500);
        }
        test.pass(REST_MOST - REST + 5_000);
        expect_that!(test.asked(path), elements_are![eq(&0), eq(&1)], "{path}");
    }
}

#[gtest]
fn shorter_rest_does_not_end_a_longer_one() {
    let mut test = Test::new(2);
    test.ask(ONCE);
    let sent = test.last();
    test.turns_away(&sent, REST);
    test.asks_for(&sent, 100);
    test.pass(1_000);
    expect_that!(test.asked(ONCE), elements_are![eq(&(1 - sent.upstream))]);
}

#[gtest]
fn rest_holds_when_the_entry_goes_and_is_back() {
    let mut test = Test::new(2);
    test.ask(ONCE);
    let sent = test.last();
    test.turns_away(&sent, REST);
    test.answer(&test.last(), Verdict::Good);
    test.list(vec![listed(1 - sent.upstream, 1 - sent.upstream)]);
    test.list(all(2));
    expect_that!(test.asked(ONCE), elements_are![eq(&(1 - sent.upstream))]);
}

#[gtest]
fn rest_that_is_no_time_is_counted_and_asks_for_none() {
    let mut test = Test::new(1);
    test.ask(ONCE);
    let sent = test.last();
    let notice = Notice {
        rest: Rest::Odd,
        ..Notice::default()
    };
    test.says(&sent, notice);
    test.answer(&sent, Verdict::Good);
    expect_that!(test.counted(Counter::NoticeInvalid), eq(1));
    expect_that!(test.asked(ONCE), elements_are![eq(&0)]);
}

#[gtest]
fn rest_beyond_an_hour_ends_with_the_hour() {
    let mut test = Test::new(1);
    test.ask(ONCE);
    let sent = test.last();
    test.asks_for(&sent, u64::MAX);
    test.answer(&sent, Verdict::Good);
    let hour = 3_600_000;
    test.now = test.now.after(hour - 1);
    test.list(all(1));
    expect_that!(test.asked(ONCE), is_empty());
    test.now = test.now.after(hour / 10 + 1);
    test.list(all(1));
    expect_that!(test.asked(ONCE), elements_are![eq(&0)]);
}

/// All upstreams of a service ask for a rest that is longer than a request may wait: an instance that let requests wait for their
/// deadline would hold what it knows to be in vain.
#[gtest]
fn request_that_all_upstreams_rest_for_longer_than_it_may_wait_is_refused_at_once() {
    let mut test = Test::new(1);
    test.ask(ONCE);
    let sent = test.last();
    test.turns_away(&sent, REST);
    expect_that!(test.ends(), elements_are![eq("overloaded")]);
    test.ask(ONCE);
    expect_that!(test.sent().len(), eq(1));
    expect_that!(test.ends().len(), eq(2));
    for come_back in test.come_backs() {
        expect_that!(come_back, all![ge(REST), le(REST_MOST + REST_MOST / 8)]);
    }
}

/// A rest that ends while a request may still wait: to wait serves it, to refuse it would not.
#[gtest]
fn request_waits_for_the_end_of_a_short_rest() {
    let mut test = Test::new(1);
    test.ask(AGAIN);
    let sent = test.last();
    test.turns_away(&sent, 300);
    expect_that!(test.ends(), is_empty());
    test.pass(290);
    expect_that!(test.sent().len(), eq(1));
    test.pass(60);
    expect_that!(test.sent().len(), eq(2));
}

#[gtest]
fn request_that_waits_is_refused_at_once_when_the_last_upstream_asks_for_rest() {
    let mut test = Test::new(1);
    test.ask(ONCE);
    let sent = test.last();
    test.asks_for(&sent, 400);
    test.ask(ONCE);
    expect_that!(test.ends(), is_empty());
    test.asks_for(&sent, REST);
    expect_that!(test.ends(), elements_are![eq("overloaded")]);
    test.answer(&sent, Verdict::Good);
    expect_that!(test.ends(), elements_are![eq("overloaded"), eq("answer")]);
}

/// Instances that one upstream turned away in the same moment must not all come back in the same moment.
#[gtest]
fn ends_of_one_rest_are_spread_over_instances() {
    let mut starts: Vec<u64> = (0..20)
        .map(|seed| {
            let mut test = Test::seeded(seed);
            test.ask(AGAIN);
            let sent = test.last();
            test.turns_away(&sent, 800);
            let begun = test.now;
            while test.sent().len() < 2 && test.now.since(begun) < 1_000 {
                test.pass(10);
            }
            test.now.since(begun)
        })
        .collect();
    starts.sort_unstable();
    expect_that!(starts[0], ge(800));
    expect_that!(starts[19], le(890));
    expect_that!(starts[19] - starts[0], ge(40));
}

/// Calls of a resting upstream are not given to the others beyond what these serve.
#[gtest]
fn slots_of_a_resting_upstream_do_not_count() {
    let mut test = Test::new(2);
    test.ask(ONCE);
    let sent = test.last();
    test.asks_for(&sent, REST);
    expect_that!(
        test.core
            .upstreams()
            .filter(|upstream| upstream.takes_work(test.now))
            .count(),
        eq(1)
    );
}

#[gtest]
fn load_is_taken_from_every_answer_of_the_upstream() {
    let mut test = Test::new(1);
    test.ask(ONCE);
    let sent = test.last();
    let load = Load {
        running: 5,
        slots: 6,
        waiting: 2,
        ..Load::default()
    };
    let notice = Notice {
        load: Some(load),
        ..Notice::default()
    };
    test.says(&sent, notice);
    test.fail(&sent, Failure::Refused);
    let known: Vec<Load> = test
        .core
        .upstreams()
        .map(|upstream| upstream.load)
        .collect();
    expect_that!(known, elements_are![eq(&load)]);
}
