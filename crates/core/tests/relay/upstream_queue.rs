//! Streams that wait for a slot in the queue of their upstream, and get neither response head nor event until their turn.

use super::*;

/// Slots of an upstream.
const SLOTS: u32 = 4;

/// Time to the first event of a stream that has a slot, and between two events, in milliseconds.
const FIRST_MS: u64 = 100;
const INTERVAL_MS: u64 = 50;

/// An upstream whose slots are taken by streams with events, and one stream more that it queues.
struct Full {
    /// Position of the last event of the streams that have slots.
    position: u64,
    queued: Sent,
    running: Vec<Sent>,
    test: Test,
}

impl Full {
    /// The upstream; its list entry tells `slots`.
    fn new(slots: u32) -> Self {
        let mut test = Test::new(1);
        let entry = |index| ListEntry {
            slots,
            ..listed(index, index)
        };
        test.list(vec![entry(0)]);
        let running: Vec<Sent> = (0..SLOTS)
            .map(|_| {
                test.request(STREAM);
                let sent = test.last_sent();
                test.advance(FIRST_MS);
                test.handle(Event::StreamOpened(sent.attempt));
                test.send_event(&sent, 1);
                sent
            })
            .collect();
        test.request(STREAM);
        let queued = test.last_sent();
        // Others that are idle.
        test.list((0..6).map(entry).collect());
        Self {
            position: 1,
            queued,
            running,
            test,
        }
    }

    /// Lets the streams that have slots go on.
    fn run(&mut self, millis: u64) {
        for _ in 0..millis / INTERVAL_MS {
            self.test.advance(INTERVAL_MS);
            self.position += 1;
            for sent in &self.running {
                self.test.send_event(sent, self.position);
            }
        }
    }

    fn has_left(&self) -> bool {
        let queued = self.queued.attempt;
        let is_cancel = |effect: &Effect| matches!(effect, Effect::Cancel { attempt, .. } if *attempt == queued);
        self.test.effects.iter().any(is_cancel)
    }
}

/// Guards against a stream that leaves its upstream as dead after 0.4 s, while it waits there for a slot: it did so five
/// times, and its caller got 502 with nearly all of its time left.
#[gtest]
fn stream_waits_for_a_slot_of_its_upstream() {
    let mut full = Full::new(SLOTS);
    full.run(4_000);
    expect_that!(full.has_left(), eq(false));
}

/// Guards against a wait where a slot is free, which a queue does not explain.
#[gtest]
fn stream_that_has_a_slot_leaves_when_its_first_event_does_not_come() {
    let mut full = Full::new(2 * SLOTS);
    full.run(4_000);
    expect_that!(full.has_left(), eq(true));
}

/// Guards against a wait in the queue of an upstream that died: its other streams leave it, and so does this one.
#[gtest]
fn stream_in_the_queue_leaves_an_upstream_whose_streams_fell_silent() {
    let mut full = Full::new(SLOTS);
    full.run(1_000);
    full.test.advance(700);
    expect_that!(full.has_left(), eq(true));
}

/// Guards against a wait in the queue of an upstream that another instance has lost, if this one has no other stream there.
#[gtest]
fn stream_in_the_queue_leaves_an_upstream_that_another_instance_lost() {
    let mut full = Full::new(SLOTS);
    full.run(1_000);
    full.test.handle(Event::PeerLoss(incarnation(0, 0)));
    full.run(100);
    expect_that!(full.has_left(), eq(true));
}
