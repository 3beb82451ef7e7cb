//! What an instance asks of the store, one answer at a time.

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

/// An informer that asks alone, and the store's state.
struct Test {
    absence: Availability,
    informer: Informer,
    now: Time,
    outputs: Vec<Output>,
}

impl Test {
    fn new() -> Self {
        let now = Time(1_000_000);
        let absence = Availability::new(1_200);
        let bound = StalenessBound { bound_ms: 2_000 };
        let mut test = Self {
            absence,
            informer: Informer::new(bound, 2_000, absence, now),
            now,
            outputs: Vec::new(),
        };
        test.take(Input::Tick);
        test
    }

    /// One that knows a list up to a position.
    fn knowing(position: Position) -> Self {
        let mut test = Self::new();
        let call = test.call();
        test.answer(call, known(position));
        test
    }

    fn take(&mut self, input: Input) {
        let outputs = self.informer.handle(input, self.absence, self.now);
        self.outputs.extend(outputs);
    }

    fn answer(&mut self, call: Call, answer: Answer) {
        if let Answer::Complete(_, position) = &answer {
            self.absence.observe_era(position.era, self.now);
        }
        self.absence.record_success(self.now);
        self.take(Input::Answered(call.id, answer));
    }

    /// The last call of the list, made within some time.
    fn call(&mut self) -> Call {
        self.call_within(2_000).expect("the list is asked for")
    }

    fn call_within(&mut self, millis: u64) -> Option<Call> {
        let end = self.now.after(millis);
        loop {
            let asked = self
                .outputs
                .drain(..)
                .rev()
                .find_map(|output| match output {
                    Output::Call(call) if call.topic == Topic::Upstreams => Some(call),
                    _ => None,
                });
            if asked.is_some() || self.now >= end {
                return asked;
            }
            self.now = self.now.after(10);
            self.take(Input::Tick);
        }
    }

    /// Whether the store was found to have come back from a copy.
    fn returned(&self) -> bool {
        let era = |output: &Output| matches!(output, Output::Era(_));
        self.outputs.iter().any(era)
    }
}

/// An answer that lists nothing up to a position.
fn known(position: Position) -> Answer {
    Answer::Complete(Content::Upstreams(Vec::new()), position)
}

#[gtest]
fn store_that_forgets_all_is_asked_with_pauses() {
    let mut test = Test::knowing(Position::new(0, 5));
    let mut calls = 0;
    let end = test.now.after(3_000);
    while test.now < end && calls < 100 {
        let Some(call) = test.call_within(end.since(test.now)) else {
            break;
        };
        calls += 1;
        let answer = match call.since {
            Some(_) => Answer::Compacted,
            None => known(Position::new(0, 5)),
        };
        test.answer(call, answer);
    }
    expect_that!(calls, all![ge(4), le(16)]);
}

#[gtest]
fn changes_behind_a_position_of_another_era_are_read_anew() {
    let mut test = Test::knowing(Position::new(1, 900));
    let watch = test.call();
    expect_that!(watch.since, some(eq(Position::new(1, 900))));
    test.answer(watch, known(Position::new(2, 905)));
    let next = test.call_within(100);
    expect_that!(next.map(|call| call.since), some(none()));
}

#[gtest]
fn answer_of_an_earlier_era_is_dropped() {
    let mut test = Test::knowing(Position::new(1, 900));
    test.call();
    test.absence.observe_era(2, test.now);
    test.take(Input::Tick);
    let whole = test.call();
    expect_that!(whole.since, none());
    test.outputs.clear();
    test.answer(whole, known(Position::new(1, 950)));
    let outdated = |output: &Output| matches!(output, Output::Outdated(Topic::Upstreams));
    expect_that!(test.outputs.iter().any(outdated), eq(true));
    expect_that!(test.informer.known_state().list.era, le(1));
    expect_that!(test.call().since, none());
}

#[gtest]
fn first_era_that_is_seen_is_no_return() {
    let test = Test::knowing(Position::new(7, 5));
    expect_that!(test.returned(), eq(false));
}

#[gtest]
fn newer_era_that_another_instance_tells_is_entered_and_an_older_one_is_not() {
    let tells = |era| PeerReport {
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
    let mut test = Test::knowing(Position::new(1, 900));
    test.call();
    test.take(Input::PeerReport(tells(0)));
    expect_that!(test.returned(), eq(false));
    test.take(Input::PeerReport(tells(2)));
    expect_that!(test.returned(), eq(true));
    expect_that!(test.call().since, none());
}
