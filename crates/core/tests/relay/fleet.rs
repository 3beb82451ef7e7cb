//! One of many instances: its part of what all keep together, and what it does that others do too.

use super::*;
use std::collections::BTreeMap;
use wellplank_core::{demand::Demand, settings::SharedSettings};

/// Sizes of fleets, from one instance to more than the largest site has.
const FLEETS: [u32; 5] = [1, 6, 74, 295, 320];

/// A core that knows how many instances there are.
fn one_of(instances: u32, settings: Settings) -> Test {
    let mut test = Test::set(settings).configured(12);
    test.tell(Event::Instances(View::numbered(0, u64::from(instances))));
    test
}

#[gtest]
fn stream_that_was_lost_before_its_first_event_is_sent_again_in_fleets_of_any_size() {
    for instances in FLEETS {
        let mut test = one_of(instances, Settings::default());
        test.ask(STREAM);
        let sent = test.last();
        test.fail(&sent, Failure::Broken);
        expect_that!(test.sent().len(), eq(2), "{instances} instances");
    }
}

#[gtest]
fn without_a_least_part_hundreds_of_instances_send_nothing_again() {
    let settings = Settings {
        shared: SharedSettings {
            least: 0.0,
            ..SharedSettings::default()
        },
        ..Settings::default()
    };
    let mut test = one_of(295, settings);
    test.ask(STREAM);
    let sent = test.last();
    test.fail(&sent, Failure::Broken);
    expect_that!(test.sent().len(), eq(1));
}

#[gtest]
fn what_no_upstream_took_in_is_sent_again_without_a_permit() {
    for failure in [Failure::NotSent, Failure::Replaced, Failure::Leaving] {
        let mut test = one_of(295, Settings::default());
        for _ in 0..4 {
            test.ask(ONCE);
            let sent = test.last();
            test.fail(&sent, failure);
            expect_that!(test.last().attempt, not(eq(sent.attempt)), "{failure:?}");
        }
    }
}

#[gtest]
fn call_that_runs_once_is_not_sent_again_after_a_break_in_any_fleet() {
    for instances in FLEETS {
        let mut test = one_of(instances, Settings::default());
        test.ask(ONCE);
        let sent = test.last();
        test.fail(&sent, Failure::Broken);
        expect_that!(test.sent().len(), eq(1), "{instances} instances");
    }
}

#[gtest]
fn request_waits_for_the_first_list_of_upstreams() {
    let mut test = Test::without_configuration();
    test.tell(Event::Config(Arc::new(configuration(1))));
    test.ask(ONCE);
    test.pass(300);
    expect_that!(test.ends(), is_empty());
    test.list(vec![listed(0, 0)]);
    expect_that!(test.sent().len(), eq(1));
    expect_that!(test.last().left_ms, eq(19_700));
}

/// How many streams go to the upstream that gets most, if each of some instances that know the same sends one
/// to one of 60 upstreams.
fn most_at_one(instances: u32, sample: f64) -> usize {
    let mut settings = Settings::default();
    settings.place.sample = sample;
    settings.probes = false;
    let mut sent: BTreeMap<usize, usize> = BTreeMap::new();
    for seed in 0..instances {
        let mut test = Test::set(settings.clone());
        test.core = Core::new(settings.clone(), [0; 32], u64::from(seed), NOW);
        let mut test = test.configured(60);
        test.tell(Event::Instances(View::numbered(0, u64::from(instances))));
        // All but a few are known to be busy.
        for upstream in 4..60 {
            test.tell(Event::Sighted(Sighting {
                prompt: 1_000 + upstream as u64,
                stage: Stage::Started,
                ..sighting(upstream, upstream)
            }));
        }
        test.ask(STREAM);
        *sent.entry(test.last().upstream).or_default() += 1;
    }
    sent.values().copied().max().unwrap_or(0)
}

#[gtest]
fn instances_that_know_the_same_do_not_all_choose_the_same_upstream() {
    expect_that!(most_at_one(60, Settings::default().place.sample), le(15));
    expect_that!(most_at_one(60, 0.0), ge(16));
}

impl Test {
    /// Has other instances told what they are asked of the pool; `running` of them have a call under way.
    fn demand(&mut self, instances: u16, asked: f64, running: u16) {
        for instance in 0..instances {
            let demand = Demand {
                arrival_rate: asked,
                last_call: None,
                pool: "pool".into(),
                retry_rate: 0.0,
                running: u32::from(instance < running),
                service_time_ms: 60.0,
            };
            let from = SocketAddr::from(([10, 0, 0, 1], instance + 1));
            self.tell(Event::Demanded { demand, from });
        }
    }

    /// One of 295 instances, before six upstreams of six slots.
    fn with_slots(settings: Settings) -> Self {
        let mut test = Self::set(settings);
        test.tell(Event::Config(Arc::new(configuration(1))));
        let slots = |upstream: Listed| Listed {
            slots: 6,
            ..upstream
        };
        test.list((0..6).map(|index| slots(listed(index, index))).collect());
        test.tell(Event::Instances(View::numbered(0, 295)));
        test
    }

    /// How many of a hundred calls are sent, with so much asked at each of 294 other instances.
    fn sent_of_a_hundred(asked: f64) -> usize {
        let mut test = Self::with_slots(Settings::default());
        for _ in 0..100 {
            test.pass(250);
            test.demand(294, asked, 58);
            let before = test.sent().len();
            test.ask(ONCE);
            if test.sent().len() > before {
                let sent = test.last();
                test.pass(60);
                test.answer(&sent, Verdict::Good);
            }
        }
        test.sent().len()
    }
}

#[gtest]
fn calls_are_all_sent_while_the_slots_serve_what_all_instances_ask() {
    expect_that!(Test::sent_of_a_hundred(1.0), eq(100));
}

#[gtest]
fn an_instance_admits_the_part_of_its_calls_that_the_slots_serve() {
    // 36 slots serve 540 calls a second of 60 ms; 1,176 are asked for.
    expect_that!(Test::sent_of_a_hundred(4.0), all![ge(30), le(65)]);
}

#[gtest]
fn what_instances_that_are_gone_asked_does_not_count() {
    let mut test = Test::set(Settings::default()).configured(6);
    test.tell(Event::Instances(View::numbered(0, 295)));
    test.demand(294, 100.0, 0);
    test.pass(3_010);
    test.ask(ONCE);
    expect_that!(test.sent().len(), eq(1));
}

#[gtest]
fn words_of_few_instances_do_not_stand_for_hundreds() {
    let mut test = Test::set(Settings::default()).configured(6);
    test.tell(Event::Instances(View::numbered(0, 295)));
    test.demand(7, 10.0, 0);
    test.ask(ONCE);
    expect_that!(test.sent().len(), eq(1));
}

#[gtest]
fn what_is_asked_is_told_to_other_instances() {
    let mut test = Test::set(Settings::default()).configured(6);
    test.ask(ONCE);
    test.ask(ONCE);
    test.pass(300);
    let told = test.effects.iter().find_map(|effect| match effect {
        Effect::Demand { demand, pressed } => Some((demand.clone(), *pressed)),
        _ => None,
    });
    let (demand, pressed) = told.expect("something is told");
    expect_that!(demand.running, eq(2));
    expect_that!(demand.arrival_rate, gt(0.0));
    expect_that!(pressed, eq(false));
}

/// How often a call is sent that an upstream fails while so much is asked at each of 294 other instances.
fn sendings_of_a_fault(asked: f64, second: bool) -> usize {
    let mut settings = Settings::default();
    settings.calls.second = second;
    let mut test = Test::with_slots(settings);
    test.demand(294, asked, 58);
    test.pass(300);
    test.demand(294, asked, 58);
    while test.sent().is_empty() {
        test.ask(AGAIN);
    }
    let sent = test.last();
    test.answer(&sent, Verdict::Fault);
    test.sent().len()
}

#[gtest]
fn call_that_an_upstream_failed_is_sent_on_unless_its_service_is_nearly_full() {
    expect_that!(sendings_of_a_fault(0.2, false), eq(2));
    expect_that!(sendings_of_a_fault(1.2, false), eq(2));
    expect_that!(sendings_of_a_fault(1.7, false), eq(1));
    expect_that!(sendings_of_a_fault(1.7, true), eq(2));
}
