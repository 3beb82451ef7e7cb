//! Calls that an informer makes of the store, one answer at a time.

use {
    googletest::prelude::*,
    wellplank_core::{
        availability::Availability,
        clock::Time,
        informer::Informer,
        informer_io::{Answer, Call, Content, Input, Output, PeerReport, Topic},
        position::Position,
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
        let now = Time(1_000_000);
        let availability = Availability::new(1_200);
        let bound = StalenessBound { bound_ms: 2_000 };
        let mut test = Self {
            availability,
            informer: Informer::new(bound, 2_000, availability, now),
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
        let end = self.now.after(limit_ms);
        loop {
            let call = self
                .outputs
                .drain(..)
                .rev()
                .find_map(|output| match output {
                    Output::Call(call) if call.topic == Topic::Upstreams => Some(call),
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
