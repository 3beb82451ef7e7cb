//! Calls that an informer makes of the store, one answer at a time.

use {
    googletest::prelude::*,
    std::sync::Arc,
    wellplank_core::{
        availability::Availability,
        clock::Time,
        config::Config,
        informer::Informer,
        informer_io::{
            Answer, Call, CancelReason, Content, Input, Output, PeerList, PeerReport, Source, Topic,
        },
        position::Position,
        role::{Role, WatcherRank},
        roster::{Change, Entry, RosterUpdate},
        staleness::StalenessBound,
    },
};

/// An independent informer and its view of the store's availability.
struct Test {
    availability: Availability,
    informer: Informer,
    now: Time,
    outputs: Vec<Output>,
}

impl Test {
    fn new() -> Self {
        Self::with_wait(0)
    }

    /// An informer that does not know its role yet.
    fn awaiting_role() -> Self {
        Self::with_wait(1_000)
    }

    fn with_wait(wait_ms: u64) -> Self {
        let now = Time(1_000_000);
        let availability = Availability::new(1_200);
        let bound = StalenessBound { bound_ms: 2_000 };
        let informer = Informer::new(bound, 2_000, availability, now);
        let mut test = Self {
            availability,
            informer: informer.awaiting_role(wait_ms, now),
            now,
            outputs: Vec::new(),
        };
        test.handle(Input::Tick);
        test
    }

    /// An informer that knows the list up to a position.
    fn with_position(position: Position) -> Self {
        let mut test = Self::new();
        let call = test.call();
        test.answer(call, empty_answer(position));
        test
    }

    fn handle(&mut self, input: Input) {
        let outputs = self.informer.handle(input, self.availability, self.now);
        self.outputs.extend(outputs);
    }

    fn answer(&mut self, call: Call, answer: Answer) {
        if let Answer::Complete(_, position) = &answer {
            self.availability.observe_era(position.era, self.now);
        }
        self.availability.record_success(self.now);
        self.handle(Input::Answered(call.id, answer));
    }

    /// The last call of the list within 2 s.
    fn call(&mut self) -> Call {
        self.call_within(2_000).expect("a call of the list is due")
    }

    fn call_within(&mut self, limit_ms: u64) -> Option<Call> {
        self.topic_call_within(Topic::Upstreams, limit_ms)
    }

    /// The last call of a topic, within some time.
    fn topic_call_within(&mut self, topic: Topic, limit_ms: u64) -> Option<Call> {
        let end = self.now.after(limit_ms);
        loop {
            let call = self
                .outputs
                .drain(..)
                .rev()
                .find_map(|output| match output {
                    Output::Call(call) if call.topic == topic => Some(call),
                    _ => None,
                });
            if call.is_some() || self.now >= end {
                return call;
            }
            self.now = self.now.after(10);
            self.handle(Input::Tick);
        }
    }

    /// Whether the informer found that the store was restored from a backup.
    fn is_restored(&self) -> bool {
        let era = |output: &Output| matches!(output, Output::Era(_));
        self.outputs.iter().any(era)
    }
}

/// An answer without entries up to a position.
fn empty_answer(position: Position) -> Answer {
    Answer::Complete(Content::Upstreams(Vec::new()), position)
}

#[gtest]
fn store_that_forgets_all_is_asked_with_pauses() {
    let mut test = Test::with_position(Position::new(0, 5));
    let mut calls = 0;
    let end = test.now.after(3_000);
    while test.now < end && calls < 100 {
        let Some(call) = test.call_within(end.since(test.now)) else {
            break;
        };
        calls += 1;
        let answer = match call.since {
            Some(_) => Answer::Compacted,
            None => empty_answer(Position::new(0, 5)),
        };
        test.answer(call, answer);
    }
    expect_that!(calls, all![ge(4), le(16)]);
}

#[gtest]
fn changes_since_a_position_of_another_era_cause_a_full_read() {
    let mut test = Test::with_position(Position::new(1, 900));
    let watch = test.call();
    expect_that!(watch.since, some(eq(Position::new(1, 900))));
    test.answer(watch, empty_answer(Position::new(2, 905)));
    let next = test.call_within(100);
    expect_that!(next.map(|call| call.since), some(none()));
}

#[gtest]
fn answer_of_an_earlier_era_is_dropped() {
    let mut test = Test::with_position(Position::new(1, 900));
    test.call();
    test.availability.observe_era(2, test.now);
    test.handle(Input::Tick);
    let full_read = test.call();
    expect_that!(full_read.since, none());
    test.outputs.clear();
    test.answer(full_read, empty_answer(Position::new(1, 950)));
    let outdated = |output: &Output| matches!(output, Output::Outdated(Topic::Upstreams));
    expect_that!(test.outputs.iter().any(outdated), eq(true));
    expect_that!(test.informer.known_state().list.era, le(1));
    expect_that!(test.call().since, none());
}

#[gtest]
fn first_era_is_no_restore() {
    let test = Test::with_position(Position::new(7, 5));
    expect_that!(test.is_restored(), eq(false));
}

#[gtest]
fn newer_era_from_a_peer_is_entered_and_an_older_one_is_not() {
    let report = |era| PeerReport {
        update: Some(RosterUpdate {
            changes: vec![Change {
                entry: Entry::Deleted,
                name: "engine".into(),
                position: Position::new(era, 3),
            }],
            from: Position::new(era, 2),
            grace_ms: 0,
            is_grace_extended: false,
            outage_ms: 0,
            to: Position::new(era, 3),
            uptime_ms: 0,
        }),
        ..PeerReport::default()
    };
    let mut test = Test::with_position(Position::new(1, 900));
    test.call();
    test.handle(Input::PeerReport(report(0)));
    expect_that!(test.is_restored(), eq(false));
    test.handle(Input::PeerReport(report(2)));
    expect_that!(test.is_restored(), eq(true));
    expect_that!(test.call().since, none());
}

/// An update of a watcher after a position.
fn update(from: Position, to: Position) -> RosterUpdate {
    RosterUpdate {
        changes: Vec::new(),
        from,
        grace_ms: 0,
        is_grace_extended: false,
        outage_ms: 0,
        to,
        uptime_ms: 0,
    }
}

impl Test {
    /// An informer that has just learnt that it follows others.
    fn follower() -> Self {
        let mut test = Self::awaiting_role();
        test.availability.record_success(test.now);
        test.handle(Input::Role(Role::Follower, WatcherRank::default()));
        test
    }

    /// Hears a report with an update.
    fn hear(&mut self, update: RosterUpdate) {
        self.handle(Input::PeerReport(PeerReport {
            list: update.to,
            update: Some(update),
            ..PeerReport::default()
        }));
    }

    /// Answers a call of another instance with its list up to a position.
    fn give_list(&mut self, call: Call, is_complete: bool, to: Position) {
        let list = PeerList {
            age_ms: 0,
            changes: Vec::new(),
            is_complete,
            to,
        };
        self.handle(Input::PeerList(call.id, list));
    }

    fn is_cancelled(&self, call: Call) -> bool {
        let cancelled = |output: &Output| matches!(output, Output::Cancel(other, CancelReason::Stalled) if other.id == call.id);
        self.outputs.iter().any(cancelled)
    }
}

#[gtest]
fn list_is_not_read_before_the_role_is_known() {
    let mut test = Test::awaiting_role();
    expect_that!(test.call_within(500), none());
    test.handle(Input::Role(Role::Independent, WatcherRank::default()));
    expect_that!(
        test.call_within(10).map(|call| call.source),
        some(eq(Source::Store))
    );
}

#[gtest]
fn follower_that_starts_takes_the_list_from_its_peers() {
    let mut test = Test::follower();
    for _ in 0..5 {
        let call = test.call();
        expect_that!((call.source, call.since), eq((Source::Peer, None)));
        test.handle(Input::Failed(call.id));
    }
    let call = test.call();
    test.give_list(call, true, Position::new(0, 9));
    expect_that!(test.informer.peer_list(None, test.now), some(anything()));
    expect_that!(test.call_within(1_000), none());
}

#[gtest]
fn follower_whose_peers_have_no_list_reads_it_from_the_store() {
    let mut test = Test::follower();
    let end = test.now.after(5_000);
    while test.now < end {
        let call = test.call();
        if call.source == Source::Store {
            return;
        }
        test.handle(Input::Failed(call.id));
    }
    panic!("the store is never called");
}

#[gtest]
fn missed_changes_are_asked_of_a_peer_first_and_then_of_the_store() {
    let mut test = Test::follower();
    let call = test.call();
    test.give_list(call, true, Position::new(0, 5));
    test.hear(update(Position::new(0, 8), Position::new(0, 9)));
    let call = test.call();
    expect_that!(
        (call.source, call.since),
        eq((Source::Peer, Some(Position::new(0, 5))))
    );
    // It lacks the same changes.
    test.give_list(call, false, Position::new(0, 5));
    expect_that!(test.call().source, eq(Source::Store));
}

#[gtest]
fn changes_of_a_peer_close_a_gap_before_an_update() {
    let mut test = Test::follower();
    let call = test.call();
    test.give_list(call, true, Position::new(0, 5));
    test.hear(update(Position::new(0, 8), Position::new(0, 9)));
    let call = test.call();
    test.give_list(call, false, Position::new(0, 8));
    let known = test.informer.peer_list(None, test.now).map(|list| list.to);
    expect_that!(known, some(eq(Position::new(0, 9))));
}

/// Whether a call of the list is cancelled when other calls are answered again after a failure, while it waits.
fn is_cancelled_behind_other_answers(progresses: bool) -> bool {
    let mut test = Test::with_position(Position::new(0, 5));
    let call = test.call();
    if progresses {
        test.handle(Input::Progressed(call.id));
    }
    test.now = test.now.after(100);
    test.availability.record_failure(test.now, test.now);
    test.now = test.now.after(100);
    test.availability.record_success(test.now);
    for _ in 0..20 {
        test.now = test.now.after(100);
        test.handle(Input::Tick);
    }
    test.is_cancelled(call)
}

#[gtest]
fn answer_that_arrives_slowly_is_not_requested_anew() {
    expect_that!(is_cancelled_behind_other_answers(false), eq(true));
    expect_that!(is_cancelled_behind_other_answers(true), eq(false));
}

#[gtest]
fn slow_store_that_answers_other_calls_gets_more_time_with_each_failure() {
    let mut test = Test::with_position(Position::new(0, 5));
    let mut timeouts = Vec::new();
    for _ in 0..3 {
        let call = test.call();
        timeouts.push(call.timeout_ms);
        test.now = test.now.after(call.timeout_ms / 2);
        test.availability.record_success(test.now);
        test.now = test.now.after(call.timeout_ms / 2);
        test.handle(Input::Failed(call.id));
    }
    let most = StalenessBound { bound_ms: 2_000 }.call_ms();
    expect_that!(timeouts, elements_are![eq(&600), eq(&most), eq(&most)]);
}

#[gtest]
fn follower_reads_the_list_from_the_store_while_that_fails() {
    let mut test = Test::awaiting_role();
    test.availability.record_failure(test.now, test.now);
    test.handle(Input::Role(Role::Follower, WatcherRank::default()));
    expect_that!(test.call().source, eq(Source::Store));
}

impl Test {
    /// The last call of the configuration within some time.
    fn configuration_call_within(&mut self, limit_ms: u64) -> Option<Call> {
        self.topic_call_within(Topic::Configuration, limit_ms)
    }

    /// A follower of a large data centre that has just learnt its role.
    fn one_of_many() -> Self {
        let mut test = Self::awaiting_role();
        let first = test
            .configuration_call_within(0)
            .expect("the configuration is read at once");
        test.answer(
            first,
            Answer::Complete(configuration(None), Position::new(0, 1)),
        );
        test.informer.set_place(Some(0));
        test.handle(Input::Role(Role::Follower, WatcherRank::default()));
        test.outputs.clear();
        test
    }

    fn give_configuration(&mut self, call: Call, revision: u64) {
        let config = Some(Arc::new(Config {
            revision,
            ..Config::default()
        }));
        self.handle(Input::PeerConfiguration {
            bytes: 100_000,
            config,
            id: call.id,
        });
    }

    /// Hears that an instance has a configuration.
    fn hear_of_configuration(&mut self, revision: u64) {
        self.handle(Input::PeerReport(PeerReport {
            configuration: Some(revision),
            ..PeerReport::default()
        }));
    }
}

/// Content of an answer about the configuration.
fn configuration(revision: Option<u64>) -> Content {
    let config = revision.map(|revision| {
        Arc::new(Config {
            revision,
            ..Config::default()
        })
    });
    Content::Configuration {
        bytes: 100_000,
        config,
    }
}

/// Guards against a start in which the store's link carries the configuration to each of a thousand instances.
#[gtest]
fn first_configuration_is_taken_from_peers_in_a_large_data_centre() {
    let mut test = Test::one_of_many();
    let call = test
        .configuration_call_within(100)
        .expect("a peer is asked");
    expect_that!(call.source, eq(Source::Peer));
    test.handle(Input::Failed(call.id));
    expect_that!(test.configuration_call_within(100), none());
    test.hear_of_configuration(3);
    let call = test
        .configuration_call_within(50)
        .expect("the peer that has one is asked soon");
    expect_that!(call.source, eq(Source::Peer));
    test.give_configuration(call, 3);
    expect_that!(test.informer.known_state().configuration, some(eq(3)));
}

#[gtest]
fn configuration_that_no_peer_gives_is_read_from_the_store() {
    let mut test = Test::one_of_many();
    let end = test.now.after(5_000);
    while test.now < end {
        let call = test
            .configuration_call_within(1_000)
            .expect("a call is made");
        if call.source == Source::Store {
            return;
        }
        test.handle(Input::Failed(call.id));
    }
    panic!("the store is never called");
}

#[gtest]
fn large_configuration_is_taken_from_the_peer_that_announces_it_and_passed_on() {
    let mut test = Test::one_of_many();
    let call = test
        .configuration_call_within(100)
        .expect("a peer is asked");
    test.give_configuration(call, 3);
    test.outputs.clear();
    test.hear_of_configuration(4);
    let call = test.configuration_call_within(50).expect("a peer is asked");
    expect_that!(call.source, eq(Source::Peer));
    test.give_configuration(call, 4);
    let passed_on = |output: &Output| matches!(output, Output::PassOnConfiguration);
    expect_that!(test.outputs.iter().any(passed_on), eq(true));
}

#[gtest]
fn configuration_that_a_peer_fails_to_give_is_read_from_the_store_soon() {
    let mut test = Test::one_of_many();
    let call = test
        .configuration_call_within(100)
        .expect("a peer is asked");
    test.give_configuration(call, 3);
    test.hear_of_configuration(4);
    let call = test.configuration_call_within(50).expect("a peer is asked");
    test.handle(Input::Failed(call.id));
    let call = test
        .configuration_call_within(300)
        .expect("the store is called");
    expect_that!(call.source, eq(Source::Store));
}

/// An answer with so many changes behind a revision.
fn changes(from: u64, count: u64) -> Answer {
    let change = |revision| Change {
        entry: Entry::Deleted,
        name: format!("engine-{revision}"),
        position: Position::new(0, revision),
    };
    let changes = (from + 1..=from + count).map(change).collect();
    Answer::Complete(Content::Upstreams(changes), Position::new(0, from + count))
}

/// Guards against a watcher that pauses for batching although more changes wait: ten thousand upstreams that had registered at
/// once were known half a minute later.
#[gtest]
fn watch_behind_a_full_answer_follows_at_once() {
    let mut test = Test::with_position(Position::new(0, 5));
    test.handle(Input::Role(Role::Watcher, WatcherRank::default()));
    let begun = test.now;
    for batch in 0..20 {
        let call = test.call();
        test.answer(call, changes(5 + 500 * batch, 500));
    }
    expect_that!(test.now.since(begun), le(500));
    let call = test.call();
    test.answer(call, changes(10_005, 1));
    expect_that!(test.call_within(200), none());
}

/// Guards against a start in which each instance has a gap behind its first list.
#[gtest]
fn updates_before_the_first_list_are_applied_behind_it() {
    let mut test = Test::follower();
    let call = test.call();
    test.hear(update(Position::new(0, 5), Position::new(0, 9)));
    test.hear(update(Position::new(0, 9), Position::new(0, 12)));
    test.give_list(call, true, Position::new(0, 6));
    let known = test.informer.peer_list(None, test.now).map(|list| list.to);
    expect_that!(known, some(eq(Position::new(0, 12))));
    expect_that!(test.call_within(1_000), none());
}

/// Guards against a data centre in which those behind two instances that the store refuses kept an older configuration.
#[gtest]
fn instance_that_the_store_refuses_takes_a_configuration_from_a_peer_and_passes_it_on() {
    let mut test = Test::one_of_many();
    let call = test
        .configuration_call_within(100)
        .expect("a peer is asked");
    test.give_configuration(call, 3);
    test.availability.record_failure(test.now, test.now);
    test.outputs.clear();
    test.hear_of_configuration(4);
    let call = test.configuration_call_within(50).expect("a peer is asked");
    expect_that!(call.source, eq(Source::Peer));
    test.give_configuration(call, 4);
    let passed_on = |output: &Output| matches!(output, Output::PassOnConfiguration);
    expect_that!(test.outputs.iter().any(passed_on), eq(true));
}

/// When a follower at a place in a large data centre first reads the list from the store, if no peer has it.
fn first_read_of_the_store(place: usize) -> Time {
    let mut test = Test::awaiting_role();
    test.availability.record_success(test.now);
    test.informer.set_place(Some(place));
    test.handle(Input::Role(Role::Follower, WatcherRank::default()));
    loop {
        let call = test.call();
        if call.source == Source::Store {
            return test.now;
        }
        test.handle(Input::Failed(call.id));
    }
}

/// Guards against hundreds that read the whole list at once behind the loss of all: none finished in time.
#[gtest]
fn followers_that_no_peer_gives_a_list_read_the_store_one_after_the_other() {
    let times: Vec<Time> = [0, 100, 200]
        .into_iter()
        .map(first_read_of_the_store)
        .collect();
    expect_that!(times[1].since(times[0]), ge(9_000));
    expect_that!(times[2].since(times[1]), ge(9_000));
}
