//! Placement of calls near the capacity of their service, by the calls in flight at each upstream.

use super::*;
use wellplank_core::{
    call_place::BusyUpstream,
    demand::{Demand, Reach},
    settings::{CallLimits, CallPlacement},
};

/// Upstreams, each with this many slots.
const UPSTREAMS: usize = 6;
const SLOTS: u32 = 6;

/// Calls in flight at the other instances, seven tenths of the slots.
const CALLS_IN_FLIGHT: u16 = 25;

/// Calls that are sent to learn how they are spread.
const CALLS: usize = 600;

/// An instance with upstreams that have slots, in a fleet whose demand is near their capacity.
struct Fleet {
    /// Calls in flight at each upstream, as each other instance announces them.
    announced: [usize; UPSTREAMS],
    /// Whether the other instances announce no calls in flight at all.
    earlier_version: bool,
    instances: u16,
    test: Test,
}

impl Fleet {
    fn new(own: u64, instances: u16, place: CallPlacement) -> Self {
        let settings = Settings {
            calls: CallLimits {
                place,
                ..CallLimits::default()
            },
            probes: false,
            ..Settings::default()
        };
        let mut test = Test::set(settings);
        test.handle(Event::Config(Arc::new(configuration(1))));
        let slots = |upstream: ListEntry| ListEntry {
            slots: SLOTS,
            ..upstream
        };
        let list = (0..UPSTREAMS).map(|index| slots(listed(index, index)));
        test.list(list.collect());
        test.handle(Event::Instances(View::numbered(own, u64::from(instances))));
        Self {
            announced: [0; UPSTREAMS],
            earlier_version: false,
            instances,
            test,
        }
    }

    /// Delivers the demand of the other instances, which takes seven tenths of the slots in all.
    fn announce(&mut self) {
        let others = self.instances - 1;
        let served = f64::from(SLOTS) * UPSTREAMS as f64 * 1_000.0 / 60.0;
        let busy =
            |upstream: usize| BusyUpstream::new(incarnation(upstream, 0), self.announced[upstream]);
        let upstreams = if self.earlier_version { 0 } else { UPSTREAMS };
        for other in 0..others {
            let demand = Demand {
                arrival_rate: 0.7 * served / f64::from(others),
                brittleness: None,
                busy: (0..upstreams).map(busy).collect(),
                last_call: None,
                pool: "pool".into(),
                retry_rate: 0.0,
                running: u32::from((others + CALLS_IN_FLIGHT - 1 - other) / others),
                service_time_ms: 60.0,
            };
            let from = SocketAddr::from(([10, 0, 0, 1], other + 1));
            self.test.handle(Event::PeerDemand { demand, from });
        }
    }

    /// Sends calls one after the other, and returns how many each upstream was given.
    fn spread(&mut self) -> [usize; UPSTREAMS] {
        let mut given = [0; UPSTREAMS];
        for _ in 0..CALLS {
            self.announce();
            self.send(&mut given);
        }
        given
    }

    /// Sends one call, which is answered at once.
    fn send(&mut self, given: &mut [usize; UPSTREAMS]) {
        let before = self.test.sent().len();
        self.test.request(NON_REPEATABLE);
        if self.test.sent().len() > before {
            let sent = self.test.last_sent();
            given[sent.upstream] += 1;
            self.test.advance(10);
            self.test.answer(&sent, Verdict::Good);
        }
        self.test.effects.clear();
    }
}

/// Guards against an upstream that works slowly being given as much as the others until the mean
/// call time shows it, which takes longer than it stays slow.
#[gtest]
fn upstream_with_many_calls_in_flight_at_other_instances_is_given_few() {
    let given_to_busy = |place| {
        let mut fleet = Fleet::new(0, 8, place);
        fleet.announced = [4, 1, 1, 1, 1, 1];
        fleet.spread()[0]
    };
    expect_that!(given_to_busy(CallPlacement::Busy) * 12, lt(CALLS));
    expect_that!(given_to_busy(CallPlacement::Weights) * 12, gt(CALLS));
}

/// Guards against a call that waits behind another of the same instance while slots are idle.
#[gtest]
fn calls_of_an_instance_in_flight_are_at_different_upstreams() {
    let mut fleet = Fleet::new(0, 30, CallPlacement::Busy);
    // So many that one more makes no difference.
    fleet.announced = [20; UPSTREAMS];
    fleet.announce();
    for _ in 0..UPSTREAMS {
        fleet.test.request(NON_REPEATABLE);
    }
    let mut upstreams: Vec<usize> = fleet.test.sent().iter().map(|sent| sent.upstream).collect();
    upstreams.sort_unstable();
    upstreams.dedup();
    expect_that!(upstreams.len(), ge(UPSTREAMS - 1));
}

/// Guards against instances that know the same choosing the same upstreams.
#[gtest]
fn first_calls_of_as_many_instances_as_slots_fill_each_slot_once() {
    let mut given = [0; UPSTREAMS];
    let instances = SLOTS as u16 * UPSTREAMS as u16;
    for own in 0..instances {
        let mut fleet = Fleet::new(u64::from(own), instances, CallPlacement::Busy);
        fleet.announce();
        fleet.send(&mut given);
    }
    // A call goes elsewhere with a probability of less than a hundredth.
    expect_that!(
        given,
        each(all![ge(SLOTS as usize - 1), le(SLOTS as usize + 1)])
    );
}

/// Guards against upstreams being avoided for what an instance announced that has ended since.
#[gtest]
fn announcements_of_instances_that_fell_silent_are_not_used() {
    let mut fleet = Fleet::new(0, 30, CallPlacement::Busy);
    fleet.announced = [0, 200, 200, 200, 0, 0];
    fleet.announce();
    // The slots that are this instance's to fill first are both at the first upstream.
    fleet.test.request(NON_REPEATABLE);
    fleet.test.request(NON_REPEATABLE);
    fleet.test.advance(1_000);
    let mut given = [0; UPSTREAMS];
    // The demand counts for three seconds, after which calls are not placed by calls in flight.
    for _ in 0..150 {
        fleet.send(&mut given);
    }
    expect_that!(given[1] + given[2] + given[3], gt(150 / 4));
}

/// Guards against calls that are not placed where instances of an earlier version, which announce
/// no calls in flight, are in the fleet.
#[gtest]
fn all_calls_are_placed_beside_instances_of_an_earlier_version() {
    let mut fleet = Fleet::new(0, 8, CallPlacement::Busy);
    fleet.earlier_version = true;
    expect_that!(fleet.spread().iter().sum::<usize>(), eq(CALLS));
}

/// Guards against an upstream that reports that it works slowly being given as much as the others.
#[gtest]
fn upstream_that_reports_a_slow_pace_is_given_few() {
    let given = |pace_percent| {
        let mut fleet = Fleet::new(0, 200, CallPlacement::Busy);
        let mut given = [0; UPSTREAMS];
        for _ in 0..CALLS {
            fleet.announce();
            let before = fleet.test.sent().len();
            fleet.test.request(NON_REPEATABLE);
            expect_that!(fleet.test.sent().len(), gt(before));
            let sent = fleet.test.last_sent();
            given[sent.upstream] += 1;
            let load = Load {
                pace_percent: if sent.upstream == 3 {
                    pace_percent
                } else {
                    100
                },
                running: 3,
                slots: SLOTS,
                ..Load::default()
            };
            fleet.test.advance(20);
            fleet.test.handle(Event::PiggybackedLoad {
                attempt: sent.attempt,
                load,
            });
            fleet.test.answer(&sent, Verdict::Good);
            fleet.test.effects.clear();
        }
        given[3]
    };
    expect_that!(given(400) * 2, lt(given(100)));
}

/// Number of announcements that are sent at once in ten seconds of calls.
fn announcements(instances: u16, place: CallPlacement) -> usize {
    let mut fleet = Fleet::new(0, instances, place);
    let mut sent = 0;
    for _ in 0..100 {
        fleet.announce();
        fleet.test.request(NON_REPEATABLE);
        fleet.test.advance(100);
        let at_once = |effect: &&Effect| match effect {
            Effect::GossipDemand { reach, .. } => *reach != Reach::Carried,
            _ => false,
        };
        sent += fleet.test.effects.iter().filter(at_once).count();
        fleet.test.effects.clear();
    }
    sent
}

/// Guards against announcements that grow with the fleet, and against none.
#[gtest]
fn calls_in_flight_are_announced_at_a_bounded_rate() {
    expect_that!(announcements(30, CallPlacement::Busy), all![ge(30), le(50)]);
    expect_that!(
        announcements(100, CallPlacement::Busy),
        all![ge(15), le(26)]
    );
    expect_that!(announcements(250, CallPlacement::Busy), all![ge(8), le(11)]);
    expect_that!(announcements(984, CallPlacement::Busy), eq(0));
    expect_that!(announcements(30, CallPlacement::Weights), eq(0));
}

/// Guards against an announcement that overflows into the hash of the incarnation.
#[gtest]
fn announced_number_of_calls_is_bounded() {
    let busy = BusyUpstream::new(incarnation(1, 5), 1_000);
    expect_that!(busy.calls(), eq(255));
    expect_true!(busy.is_of(incarnation(1, 5)));
    expect_false!(busy.is_of(incarnation(1, 6)));
    expect_false!(busy.is_of(incarnation(2, 5)));
}
