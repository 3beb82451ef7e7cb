//! Behaviour of one instance in a fleet: shared budgets, distributed admission control, and
//! placement when others decide alike.

use super::*;
use std::collections::BTreeMap;
use wellplank_core::{
    demand::{Demand, Reach},
    settings::SharedSettings,
};

/// Fleet sizes, from one instance to more than the largest site has.
const FLEET_SIZES: [u32; 5] = [1, 6, 74, 295, 320];

/// A configured core in a fleet of `instances` instances.
fn core_in_fleet(instances: u32, settings: Settings) -> Test {
    let mut test = Test::set(settings).configured(12);
    test.handle(Event::Instances(View::numbered(0, u64::from(instances))));
    test
}

#[gtest]
fn stream_lost_before_its_first_event_is_retried_in_fleets_of_any_size() {
    for instances in FLEET_SIZES {
        let mut test = core_in_fleet(instances, Settings::default());
        test.request(STREAM);
        let sent = test.last_sent();
        test.fail(&sent, Failure::Broken);
        expect_that!(test.sent().len(), eq(2), "{instances} instances");
    }
}

#[gtest]
fn without_a_minimum_share_instances_of_a_large_fleet_do_not_retry() {
    let settings = Settings {
        shared: SharedSettings {
            least: 0.0,
            ..SharedSettings::default()
        },
        ..Settings::default()
    };
    let mut test = core_in_fleet(295, settings);
    test.request(STREAM);
    let sent = test.last_sent();
    test.fail(&sent, Failure::Broken);
    expect_that!(test.sent().len(), eq(1));
}

#[gtest]
fn request_that_no_upstream_accepted_is_resent_without_a_permit() {
    for failure in [Failure::NotSent, Failure::Replaced, Failure::Leaving] {
        let mut test = core_in_fleet(295, Settings::default());
        for _ in 0..4 {
            test.request(NON_REPEATABLE);
            let sent = test.last_sent();
            test.fail(&sent, failure);
            expect_that!(
                test.last_sent().attempt,
                not(eq(sent.attempt)),
                "{failure:?}"
            );
        }
    }
}

#[gtest]
fn at_most_once_call_is_not_retried_in_fleets_of_any_size() {
    for instances in FLEET_SIZES {
        let mut test = core_in_fleet(instances, Settings::default());
        test.request(NON_REPEATABLE);
        let sent = test.last_sent();
        test.fail(&sent, Failure::Broken);
        expect_that!(test.sent().len(), eq(1), "{instances} instances");
    }
}

#[gtest]
fn request_waits_for_the_first_upstream_list() {
    let mut test = Test::without_configuration();
    test.handle(Event::Config(Arc::new(configuration(1))));
    test.request(NON_REPEATABLE);
    test.advance(300);
    expect_that!(test.outcomes(), is_empty());
    test.list(vec![listed(0, 0)]);
    expect_that!(test.sent().len(), eq(1));
    expect_that!(test.last_sent().left_ms, eq(19_700));
}

/// Streams at the upstream that gets the most, if each of `instances` instances with the same
/// information sends one stream to one of 60 upstreams.
fn max_streams_at_one_upstream(instances: u32, sample: f64) -> usize {
    let mut settings = Settings::default();
    settings.place.sample = sample;
    settings.probes = false;
    let mut sent: BTreeMap<usize, usize> = BTreeMap::new();
    for seed in 0..instances {
        let mut test = Test::set(settings.clone());
        test.core = Core::new(settings.clone(), [0; 32], u64::from(seed), NOW);
        let mut test = test.configured(60);
        test.handle(Event::Instances(View::numbered(0, u64::from(instances))));
        // All but four upstreams are known to be busy.
        for upstream in 4..60 {
            test.handle(Event::PeerStream(StreamRecord {
                prompt: 1_000 + upstream as u64,
                stage: Stage::Started,
                ..stream_record(upstream, upstream)
            }));
        }
        test.request(STREAM);
        *sent.entry(test.last_sent().upstream).or_default() += 1;
    }
    sent.values().copied().max().unwrap_or(0)
}

#[gtest]
fn instances_with_the_same_information_choose_different_upstreams() {
    expect_that!(
        max_streams_at_one_upstream(60, Settings::default().place.sample),
        le(15)
    );
    expect_that!(max_streams_at_one_upstream(60, 0.0), ge(16));
}

impl Test {
    /// Delivers the demand of other instances for the pool; `running` of them have a call in
    /// flight.
    fn demand(&mut self, instances: u16, arrival_rate: f64, running: u16) {
        for instance in 0..instances {
            let demand = Demand {
                arrival_rate,
                brittleness: None,
                busy: Vec::new(),
                last_call: None,
                pool: "pool".into(),
                retry_rate: 0.0,
                running: u32::from(instance < running),
                service_time_ms: 60.0,
            };
            let from = SocketAddr::from(([10, 0, 0, 1], instance + 1));
            self.handle(Event::PeerDemand { demand, from });
        }
    }

    /// One of 295 instances, with six upstreams of six slots.
    fn with_slots(settings: Settings) -> Self {
        let mut test = Self::set(settings);
        test.handle(Event::Config(Arc::new(configuration(1))));
        let slots = |upstream: ListEntry| ListEntry {
            slots: 6,
            ..upstream
        };
        test.list((0..6).map(|index| slots(listed(index, index))).collect());
        test.handle(Event::Instances(View::numbered(0, 295)));
        test
    }

    /// Number of calls sent out of a hundred, with this arrival rate at each of 294 other
    /// instances.
    fn sent_of_hundred_calls(arrival_rate: f64) -> usize {
        let mut test = Self::with_slots(Settings::default());
        for _ in 0..100 {
            test.advance(250);
            test.demand(294, arrival_rate, 58);
            let before = test.sent().len();
            test.request(NON_REPEATABLE);
            if test.sent().len() > before {
                let sent = test.last_sent();
                test.advance(60);
                test.answer(&sent, Verdict::Good);
            }
        }
        test.sent().len()
    }
}

#[gtest]
fn all_calls_are_sent_while_demand_is_within_capacity() {
    expect_that!(Test::sent_of_hundred_calls(1.0), eq(100));
}

#[gtest]
fn instance_admits_the_share_of_calls_that_the_slots_serve() {
    // 36 slots serve 540 calls per second of 60 ms; the demand is 1,176.
    expect_that!(Test::sent_of_hundred_calls(4.0), all![ge(30), le(65)]);
}

/// Guards against refusals whose cause operators can not tell: the line names the check and what it knew.
#[gtest]
fn refusal_by_demand_is_logged_with_what_it_is_based_on() {
    let mut test = Test::with_slots(Settings::default());
    for _ in 0..20 {
        test.advance(250);
        test.demand(294, 4.0, 58);
        test.request(NON_REPEATABLE);
    }
    let refused = test.effects.iter().find_map(|effect| match effect {
        Effect::LogRequest(entry) => match entry.step {
            effect::Step::RefusedByDemand(figures) => Some(figures),
            _ => None,
        },
        _ => None,
    });
    let figures = refused.expect("a call is refused");
    expect_that!(figures.slots, eq(36));
    expect_that!(figures.service_ms, eq(60));
    expect_that!(figures.arrivals, all![ge(1_176), le(1_200)]);
    expect_that!(figures.running, ge(58));
    expect_that!(figures.share_percent, lt(100));
}

#[gtest]
fn stale_demand_of_other_instances_is_ignored() {
    let mut test = Test::set(Settings::default()).configured(6);
    test.handle(Event::Instances(View::numbered(0, 295)));
    test.demand(294, 100.0, 0);
    test.advance(3_010);
    test.request(NON_REPEATABLE);
    expect_that!(test.sent().len(), eq(1));
}

#[gtest]
fn demand_of_few_instances_is_not_extrapolated() {
    let mut test = Test::set(Settings::default()).configured(6);
    test.handle(Event::Instances(View::numbered(0, 295)));
    test.demand(7, 10.0, 0);
    test.request(NON_REPEATABLE);
    expect_that!(test.sent().len(), eq(1));
}

#[gtest]
fn demand_is_sent_to_other_instances() {
    let mut test = Test::set(Settings::default()).configured(6);
    test.request(NON_REPEATABLE);
    test.request(NON_REPEATABLE);
    test.advance(300);
    let sent = test.effects.iter().find_map(|effect| match effect {
        Effect::GossipDemand { demand, reach } => Some((demand.clone(), *reach)),
        _ => None,
    });
    let (demand, reach) = sent.expect("a demand message is sent");
    expect_that!(demand.running, eq(2));
    expect_that!(demand.arrival_rate, gt(0.0));
    expect_that!(reach, eq(Reach::Carried));
}

/// Number of times that a failing call is sent, with this arrival rate at each of 294 other
/// instances.
fn sends_of_failing_call(arrival_rate: f64, second: bool) -> usize {
    let mut settings = Settings::default();
    settings.calls.second = second;
    let mut test = Test::with_slots(settings);
    test.demand(294, arrival_rate, 58);
    test.advance(300);
    test.demand(294, arrival_rate, 58);
    while test.sent().is_empty() {
        test.request(REPEATABLE);
    }
    let sent = test.last_sent();
    test.answer(&sent, Verdict::Fault);
    test.sent().len()
}

#[gtest]
fn failed_call_is_retried_unless_its_service_is_nearly_full() {
    expect_that!(sends_of_failing_call(0.2, false), eq(2));
    expect_that!(sends_of_failing_call(1.2, false), eq(2));
    expect_that!(sends_of_failing_call(1.7, false), eq(1));
    expect_that!(sends_of_failing_call(1.7, true), eq(2));
}

/// Guards against refusals by an instance that alone does not reach most upstreams: it holds the demand of all instances against the
/// slots of those that it reaches.
#[gtest]
fn instance_that_reaches_few_upstreams_refuses_no_more_calls_than_others() {
    let mut test = Test::with_slots(Settings::default());
    test.handle(Event::Instances(View::numbered(0, 6)));
    let mut refused = 0;
    for _ in 0..200 {
        test.advance(20);
        // Six tenths of what 36 slots serve.
        test.demand(5, 65.0, 4);
        let before = test.sent().len();
        test.request(NON_REPEATABLE);
        let Some(sent) = test.sent().get(before).cloned() else {
            refused += 1;
            continue;
        };
        if sent.upstream == 0 {
            test.handle(Event::Connected(sent.attempt));
            test.advance(20);
            test.answer(&sent, Verdict::Good);
        } else {
            test.fail(&sent, Failure::NotSent);
        }
    }
    expect_that!(refused, eq(0));
}
