//! Streams of different urgency that compete for the engines of a pool.

use super::*;

/// Paths of the streams of each kind, by priority.
const KINDS: [&str; 3] = ["/kind-0/1", "/kind-1/1", "/kind-2/1"];

/// Objectives for the first event of each kind, in milliseconds.
const OBJECTIVES_MS: [u64; 3] = [4_000, 5_000, 10_000];

/// Key of a customer whose priority is 0; that of the others is 1.
const PREFERRED: &str = "preferred";

/// Rank of the streams of each kind of customers with priority 1, as there is a preferred customer.
const RANKS: [u32; 3] = [3, 4, 5];

/// A configuration with three kinds of streams of these priorities.
fn kinds(priorities: [u32; 3]) -> Config {
    let base = configuration(1);
    let stream = base.routes[0].shares[0].service.relay().unwrap().clone();
    let preferred = Customer {
        name: "preferred".into(),
        priority: 0,
        ..Customer::anonymous()
    };
    let kind = |kind: usize| {
        let relay = config::Relay {
            objective_ms: OBJECTIVES_MS[kind],
            priority: priorities[kind],
            ..stream.clone()
        };
        route(&KINDS[kind][..8], relay, true, false)
    };
    let mut config = Config {
        routes: (0..KINDS.len()).map(kind).collect(),
        ..base
    };
    add_customer(&mut config, PREFERRED, preferred);
    config
}

impl Test {
    /// A core with three kinds of streams that differ in priority, whose engines prefill a prompt in a second.
    fn ranked(upstreams: usize) -> Self {
        Self::with_kinds(upstreams, [0, 1, 2], UrgencySettings::default())
    }

    fn with_kinds(upstreams: usize, priorities: [u32; 3], urgency: UrgencySettings) -> Self {
        let mut test = Self::set(Settings {
            urgency,
            ..Settings::default()
        });
        test.handle(Event::Config(Arc::new(kinds(priorities))));
        test.list((0..upstreams).map(|index| listed(index, index)).collect());
        test
    }

    /// Requests a stream of a kind.
    fn request_kind(&mut self, kind: usize) -> Caller {
        self.request_kind_as("key", kind, 20_000)
    }

    fn request_kind_as(&mut self, key: &str, kind: usize, timeout_ms: u64) -> Caller {
        self.body += 1;
        let caller = Caller(1_000 + self.body);
        self.handle(Event::Submit(Box::new(Submission {
            caller,
            cursor: None,
            customer: key.into(),
            fingerprint: self.body,
            generation: u128::from(self.body),
            key: None,
            received: None,
            service: String::new(),
            work: Work::Relay(Relay {
                max_answer_tokens: 800,
                bytes: 100,
                host: "a.example".into(),
                path: KINDS[kind].into(),
                timeout_ms: Some(timeout_ms),
                position: 0,
                prompt: 1_000 + self.body,
                resumes: None,
                run: format!("run-{}", self.body).into(),
                tokens: 5_200,
            }),
        })));
        caller
    }

    /// Reports a stream with a rank that waits at another instance.
    fn add_ranked_waiting(&mut self, prompt: u64, rank: Option<u32>, start_within_ms: u64) {
        self.handle(Event::PeerStream(StreamRecord {
            backup: None,
            pool: "pool".into(),
            prompt,
            rank: rank.map(Rank::new),
            stage: Stage::Waiting,
            start_within_ms: Some(start_within_ms),
            upstream: None,
            ..stream_record(0, 0)
        }));
    }

    /// Callers whose requests were sent, in order.
    fn sent_callers(&self) -> Vec<Caller> {
        let sent = |effect: &Effect| match effect {
            Effect::Send {
                outbound: Outbound::Relay { caller, .. },
                ..
            } => Some(*caller),
            _ => None,
        };
        self.effects.iter().filter_map(sent).collect()
    }

    /// Delivers the first event of a stream, so that its engine may prefill another prompt.
    fn begin(&mut self, sent: &Sent) {
        self.handle(Event::StreamOpened(sent.attempt));
        self.send_event(sent, 1);
        self.advance(10);
    }

    /// Records sent to other instances.
    fn records(&self) -> Vec<StreamRecord> {
        let record = |effect: &Effect| match effect {
            Effect::GossipStream { record, .. } => Some(record.clone()),
            _ => None,
        };
        self.effects.iter().filter_map(record).collect()
    }

    /// Priorities that upstreams were told.
    fn told(&self) -> Vec<Option<u8>> {
        let priority = |effect: &Effect| match effect {
            Effect::Send {
                outbound: Outbound::Relay { priority, .. },
                ..
            } => Some(*priority),
            _ => None,
        };
        self.effects.iter().filter_map(priority).collect()
    }

    fn ranks_counted(&self, counter: fn(Rank) -> Counter) -> [u64; 3] {
        RANKS.map(|rank| self.counted(counter(Rank::new(rank))))
    }

    /// Occupies the only engine with two prefills of the least urgent kind, in a second of shortage.
    fn occupied() -> Self {
        let mut test = Self::ranked(1);
        test.request_kind(2);
        let sent = test.last_sent();
        test.advance(1_000);
        test.begin(&sent);
        test.request_kind(2);
        test.request_kind(2);
        test
    }
}

/// Guards against the route's priority being compared first.
#[gtest]
fn customers_priority_is_compared_before_the_routes() {
    let config = kinds([0, 1, 2]);
    let ranks = PoolRanks::of(&config, "pool").unwrap();
    let rank = |key: &str, kind: usize| {
        let relay = config.routes[kind].shares[0].service.relay().unwrap();
        let customer = config.access.customer(key).unwrap();
        ranks.rank(customer, relay).number()
    };
    expect_that!([0, 1, 2].map(|kind| rank(PREFERRED, kind)), eq([0, 1, 2]));
    expect_that!([0, 1, 2].map(|kind| rank("key", kind)), eq([3, 4, 5]));
    expect_that!(ranks.middle(), eq(Rank::new(3)));
}

/// Guards against ranks beyond the priorities that engines know.
#[gtest]
fn more_priorities_than_ranks_share_them_in_order() {
    let mut config = kinds([0, 1, 2]);
    for priority in 2..8 {
        let customer = Customer {
            priority,
            ..Customer::anonymous()
        };
        add_customer(&mut config, &format!("key-{priority}"), customer);
    }
    let ranks = PoolRanks::of(&config, "pool").unwrap();
    let relay = config.routes[2].shares[0].service.relay().unwrap();
    let rank = |key: &str| ranks.rank(config.access.customer(key).unwrap(), relay);
    expect_that!(rank("key-7"), eq(Rank::new(9)));
    expect_that!(rank("key-3"), lt(Rank::new(9)));
}

/// Everything that a core does in a random play of streams, shortage and reports of other instances.
fn play(mode: UrgencyMode, priorities: [u32; 3]) -> Vec<String> {
    let urgency = UrgencySettings {
        mode,
        ..UrgencySettings::default()
    };
    let mut test = Test::with_kinds(3, priorities, urgency);
    for step in 0..120_u64 {
        let key = if step % 5 == 0 { PREFERRED } else { "key" };
        test.request_kind_as(key, (step % 3) as usize, 9_000 + step * 50);
        if step % 4 == 1 {
            test.add_ranked_waiting(9_000 + step, Some((step % 6) as u32), step * 20);
        }
        if step % 3 == 0 {
            let sent = test.sent();
            let first = &sent[sent.len() / 2];
            test.handle(Event::StreamOpened(first.attempt));
            test.send_event(first, 1);
        }
        if step % 7 == 6 {
            let sent = test.last_sent();
            test.fail(&sent, Failure::Refused);
        }
        test.advance(40);
    }
    test.effects
        .iter()
        .map(|effect| format!("{effect:?}"))
        .collect()
}

/// Guards against other decisions where routes have one priority, though customers and reports of others have ranks.
#[gtest]
fn pool_whose_routes_have_one_priority_decides_as_without_ranks() {
    let same = [1, 1, 1];
    expect_that!(
        play(UrgencyMode::Ranks, same) == play(UrgencyMode::Off, same),
        eq(true)
    );
    let different = [0, 1, 2];
    expect_that!(
        play(UrgencyMode::Ranks, different) == play(UrgencyMode::Off, different),
        eq(false)
    );
}

/// Guards against the order of arrival, or one in which kinds share a priority.
#[gtest]
fn most_urgent_stream_that_waits_is_sent_first() {
    let mut test = Test::ranked(1);
    let first = test.request_kind(2);
    let second = test.request_kind(2);
    let least = test.request_kind(2);
    let middle = test.request_kind(1);
    let urgent = test.request_kind(0);
    let preferred = test.request_kind_as(PREFERRED, 2, 20_000);
    for place in 0..4 {
        let sent = test.sent()[place].clone();
        test.begin(&sent);
    }
    expect_that!(
        test.sent_callers(),
        eq(&vec![first, second, preferred, urgent, middle, least])
    );
}

/// Guards against the order of arrival within a rank.
#[gtest]
fn earlier_latest_start_goes_first_within_a_rank() {
    let mut test = Test::ranked(1);
    test.request_kind(0);
    test.request_kind(0);
    let later = test.request_kind(2);
    // This caller has waited before: its timeout is shorter than the others'.
    let earlier = test.request_kind_as("key", 2, 15_000);
    let sent = test.sent()[0].clone();
    test.begin(&sent);
    expect_that!(test.sent_callers().last(), some(eq(&earlier)));
    let sent = test.sent()[1].clone();
    test.begin(&sent);
    expect_that!(test.sent_callers().last(), some(eq(&later)));
}

/// Guards against turns for less urgent streams that wait at other instances.
#[gtest]
fn less_urgent_streams_at_other_instances_take_no_turn() {
    let mut test = Test::ranked(1);
    for prompt in 1..10 {
        test.add_ranked_waiting(prompt, Some(RANKS[1]), 100);
    }
    test.request_kind(1);
    expect_that!(test.sent(), is_empty());
    test.request_kind(0);
    expect_that!(test.sent().len(), eq(1));
}

/// Guards against starting a stream here while more urgent ones wait at other instances.
#[gtest]
fn more_urgent_streams_at_other_instances_go_first() {
    let mut test = Test::ranked(1);
    test.add_ranked_waiting(1, Some(RANKS[0]), 3_000);
    test.add_ranked_waiting(2, Some(RANKS[0]), 3_000);
    test.request_kind(2);
    expect_that!(test.sent(), is_empty());
    test.advance(5_010);
    expect_that!(test.sent().len(), eq(1), "their instance has ended");
}

/// Guards against taking records of earlier versions for the most or the least urgent.
#[gtest]
fn records_without_a_rank_have_the_middle_one() {
    let mut test = Test::ranked(1);
    test.add_ranked_waiting(1, None, 100);
    test.add_ranked_waiting(2, None, 100);
    test.request_kind(1);
    expect_that!(test.sent(), is_empty());
    test.request_kind_as(PREFERRED, 2, 20_000);
    expect_that!(test.sent().len(), eq(1));
}

/// Guards against records without what others need to order streams, and with it where no ranks are in force.
#[gtest]
fn records_and_engines_are_told_the_rank() {
    let mut test = Test::ranked(1);
    for kind in [2, 2, 0] {
        test.request_kind(kind);
    }
    let records = test.records();
    let told: Vec<_> = records
        .iter()
        .map(|record| (record.stage, record.rank, record.start_within_ms))
        .collect();
    let (least, urgent) = (Rank::new(RANKS[2]), Rank::new(RANKS[0]));
    expect_that!(
        told,
        eq(&vec![
            (Stage::Started, Some(least), None),
            (Stage::Started, Some(least), None),
            (Stage::Waiting, Some(urgent), Some(4_000)),
        ])
    );
    expect_that!(test.told(), each(eq(&Some(5))));
    let off = UrgencySettings {
        mode: UrgencyMode::Off,
        ..UrgencySettings::default()
    };
    let mut test = Test::with_kinds(1, [0, 1, 2], off);
    test.request_kind(0);
    expect_that!(test.told(), elements_are![eq(&None)]);
    expect_that!(test.records()[0].rank, none());
}

/// Guards against a stream that waits for longer than records are kept and loses its turn.
#[gtest]
fn long_waits_are_announced_again() {
    let mut test = Test::ranked(1);
    for _ in 0..3 {
        test.request_kind(2);
    }
    test.advance(9_000);
    let records = test.records();
    let waiting: Vec<_> = records
        .iter()
        .filter(|record| record.stage == Stage::Waiting)
        .map(|record| record.start_within_ms.unwrap_or_default())
        .collect();
    expect_that!(waiting.len(), ge(4));
    expect_that!(
        waiting.is_sorted_by(|first, second| first > second),
        eq(true)
    );
}

/// Guards against expected waits that count less urgent streams, by which urgent ones were refused.
#[gtest]
fn streams_behind_less_urgent_ones_are_not_refused() {
    let mut test = Test::occupied();
    for _ in 0..6 {
        test.request_kind(2);
    }
    test.request_kind(0);
    expect_that!(test.ranks_counted(Counter::RankRefused), eq([0, 0, 0]));
    let off = UrgencySettings {
        mode: UrgencyMode::Off,
        ..UrgencySettings::default()
    };
    let mut test = Test::with_kinds(1, [0, 1, 2], off);
    test.request_kind(2);
    let sent = test.last_sent();
    test.advance(1_000);
    test.begin(&sent);
    for _ in 0..8 {
        test.request_kind(2);
    }
    test.request_kind(0);
    expect_that!(test.outcomes(), elements_are![eq("overloaded")]);
}

/// Guards against one bound on waits for all kinds, and against refusals that are not counted by rank.
#[gtest]
fn kind_with_more_time_may_wait_where_another_is_refused() {
    let mut test = Test::ranked(1);
    test.request_kind(2);
    let sent = test.last_sent();
    test.advance(1_000);
    test.begin(&sent);
    for _ in 0..6 {
        test.request_kind(0);
    }
    expect_that!(test.ranks_counted(Counter::RankRefused), eq([1, 0, 0]));
    test.request_kind(1);
    expect_that!(test.ranks_counted(Counter::RankRefused), eq([1, 1, 0]));
    test.request_kind(2);
    expect_that!(test.ranks_counted(Counter::RankRefused), eq([1, 1, 0]));
    expect_that!(test.ranks_counted(Counter::RankWaited), eq([3, 0, 1]));
    expect_that!(test.ranks_counted(Counter::RankAdmitted), eq([5, 0, 2]));
}

impl Test {
    /// A core whose streams of less urgent kinds give way in the stated way.
    fn yielding(upstreams: usize, yielding: Yielding) -> Self {
        let urgency = UrgencySettings {
            yielding,
            ..UrgencySettings::default()
        };
        Self::with_kinds(upstreams, [0, 1, 2], urgency)
    }

    /// Reports a stream of the least urgent kind that another instance started.
    fn add_peer_started(&mut self, prompt: u64, upstream: usize, stage: Stage, tokens: u32) {
        self.handle(Event::PeerStream(StreamRecord {
            backup: None,
            prompt,
            rank: Some(Rank::new(RANKS[2])),
            stage,
            tokens,
            ..stream_record(upstream, upstream)
        }));
    }
}

/// Guards against urgent streams that wait for an engine which only prefills less urgent ones.
#[gtest]
fn less_urgent_prefills_give_way() {
    for (yielding, sent) in [(Yielding::Nobody, 2), (Yielding::Unstarted, 3)] {
        let mut test = Test::yielding(1, yielding);
        for _ in 0..2 {
            test.request_kind(2);
        }
        test.request_kind(1);
        expect_that!(test.sent().len(), eq(sent), "{yielding:?}");
        // The same rank does not give way to itself.
        test.request_kind(1);
        test.request_kind(1);
        expect_that!(test.sent().len(), le(sent + 1), "{yielding:?}");
    }
}

/// Guards against preemption for a stream that may yet find free capacity, and against none when its time runs out.
#[gtest]
fn less_urgent_prefills_give_way_to_a_stream_that_is_due() {
    let mut test = Test::yielding(1, Yielding::Due);
    for _ in 0..2 {
        test.request_kind(2);
    }
    test.request_kind(0);
    test.advance(3_000);
    expect_that!(test.sent().len(), eq(2));
    test.advance(900);
    expect_that!(test.sent().len(), eq(3));
    expect_that!(test.outcomes(), is_empty());
}

/// Guards against streams that give way while another engine has free capacity.
#[gtest]
fn free_capacity_goes_before_streams_that_give_way() {
    let mut test = Test::yielding(2, Yielding::All);
    test.add_peer_started(1, 0, Stage::Started, 30_000);
    test.add_peer_started(2, 0, Stage::Started, 20_000);
    test.request_kind(0);
    expect_that!(test.last_sent().upstream, eq(1));
}

/// Guards against pauses of running streams while others have not begun.
#[gtest]
fn streams_without_a_first_event_give_way_first() {
    let mut test = Test::yielding(2, Yielding::All);
    test.add_peer_started(1, 0, Stage::Streaming, 52_000);
    test.add_peer_started(2, 1, Stage::Started, 52_000);
    test.request_kind(0);
    expect_that!(test.last_sent().upstream, eq(1));
    let mut test = Test::yielding(1, Yielding::Unstarted);
    test.add_peer_started(1, 0, Stage::Streaming, 52_000);
    test.request_kind(0);
    expect_that!(test.sent(), is_empty());
    let mut test = Test::yielding(1, Yielding::All);
    test.add_peer_started(1, 0, Stage::Streaming, 52_000);
    test.request_kind(0);
    expect_that!(test.sent().len(), eq(1));
}

/// Guards against copies that take the memory for which a more urgent stream waits.
#[gtest]
fn less_urgent_streams_get_no_copy_while_more_urgent_ones_wait() {
    let mut test = Test::ranked(6);
    test.request_kind(2);
    expect_that!(test.last_sent().backup, some(anything()));
    test.add_ranked_waiting(1, Some(RANKS[0]), 3_000);
    test.request_kind(2);
    expect_that!(test.last_sent().backup, none());
    test.request_kind_as(PREFERRED, 0, 20_000);
    expect_that!(test.last_sent().backup, some(anything()));
}

/// Number of requests of the least urgent kind that start, of 200 in a shortage in which other instances start only more
/// urgent ones.
fn started_of_least(floor: f64) -> u64 {
    let urgency = UrgencySettings {
        floor,
        ..UrgencySettings::default()
    };
    let mut test = Test::with_kinds(1, [0, 1, 2], urgency);
    for prompt in 0..200 {
        test.handle(Event::PeerStream(StreamRecord {
            prompt: 50_000 + prompt,
            rank: Some(Rank::new(RANKS[0])),
            stage: Stage::Started,
            tokens: 100,
            ..stream_record(0, 0)
        }));
        test.add_ranked_waiting(90_000 + prompt % 8, Some(RANKS[0]), 3_000);
        test.request_kind(2);
        test.advance(50);
    }
    test.counted(Counter::RankRaised(Rank::new(RANKS[2])))
}

/// Guards against a rank that starves while more urgent streams take all capacity.
#[gtest]
fn starved_rank_keeps_a_part_of_the_starts() {
    expect_that!(started_of_least(0.25), all![ge(30), le(75)]);
    expect_that!(started_of_least(0.0), eq(0));
}

/// Guards against refusals of urgent streams while other instances still start less urgent ones.
#[gtest]
fn urgent_stream_is_not_refused_just_after_the_start_of_a_less_urgent_one() {
    let mut test = Test::occupied();
    for _ in 0..8 {
        test.request_kind(0);
    }
    expect_that!(test.ranks_counted(Counter::RankRefused), eq([0, 0, 0]));
}
