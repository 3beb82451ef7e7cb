//! Callers that read slowly: when reading stops, what is given up, and streams that are cut unread.

use {
    super::*,
    wellplank_core::{
        buffer::HeldBytes, counter::Timing, effect::Buffering, event::CallerRead,
        settings::UnreadLimits,
    },
};

const KIB: usize = 1 << 10;

fn limits(request: usize, customer: usize, instance: usize) -> UnreadLimits {
    UnreadLimits {
        customer_bytes: customer as u64,
        instance_bytes: instance as u64,
        request_bytes: request as u64,
    }
}

/// A core with six upstreams and two customers, of keys "key" and "other".
fn test(unread: UnreadLimits) -> Test {
    let mut test = Test::set(Settings {
        unread,
        ..Settings::default()
    });
    test.core = test.core.counting_unread();
    let mut test = test.configured(6);
    let mut config = configuration(2);
    let other = Customer {
        name: "other".into(),
        ..Customer::anonymous()
    };
    add_customer(&mut config, "other", other);
    test.handle(Event::Config(Arc::new(config)));
    test
}

/// A stream and its caller.
struct Reader {
    caller: Caller,
    position: u64,
    sent: Sent,
}

impl Reader {
    fn open(test: &mut Test, key: &str) -> Self {
        let caller = test.request_as(key, STREAM, 0);
        let sent = test.last_sent();
        test.handle(Event::StreamOpened(sent.attempt));
        Self {
            caller,
            position: 0,
            sent,
        }
    }

    /// Delivers the next event.
    fn receive(&mut self, test: &mut Test, bytes: usize) {
        self.position += 1;
        let mut event = format!("id: {}", self.position).into_bytes();
        event.resize(bytes, b'\n');
        test.handle(Event::StreamEvent {
            attempt: self.sent.attempt,
            bytes: event.into(),
            position: self.position,
        });
    }

    fn read(&self, test: &mut Test, bytes: usize) {
        let (bytes, caller) = (bytes as u64, self.caller);
        test.handle(Event::CallersRead(vec![CallerRead { bytes, caller }]));
    }
}

fn buffering(test: &Test) -> Vec<Buffering> {
    let effects = test.effects.iter();
    let buffering = effects.filter_map(|effect| match effect {
        Effect::Buffering(buffering) => Some(*buffering),
        _ => None,
    });
    buffering.collect()
}

/// Guards against a buffer that grows with what the upstream sends, and against a stream that is never read again.
#[gtest]
fn reading_stops_at_the_limit_and_goes_on_at_half_of_it() {
    let mut test = test(limits(64 * KIB, 0, 0));
    let mut reader = Reader::open(&mut test, "key");
    let attempt = reader.sent.attempt;
    reader.receive(&mut test, 40 * KIB);
    expect_that!(buffering(&test), is_empty());
    reader.receive(&mut test, 40 * KIB);
    expect_that!(
        buffering(&test),
        elements_are![eq(&Buffering::Pause(attempt))]
    );
    reader.read(&mut test, 47 * KIB);
    expect_that!(buffering(&test).len(), eq(1));
    reader.read(&mut test, KIB);
    expect_that!(
        buffering(&test)[1..],
        elements_are![eq(&Buffering::Resume(attempt))]
    );
    expect_that!(test.core.buffers().total().answers, eq(32 * KIB as u64));
    expect_that!(test.delivered(), elements_are![eq(&1), eq(&2)]);
}

/// Guards against taking the silence of an upstream that is not read for a stall, and against not noticing a stall
/// behind a pause.
#[gtest]
fn paused_stream_is_judged_as_stalled_only_when_it_is_read_again() {
    let mut test = test(limits(64 * KIB, 0, 0));
    let mut reader = Reader::open(&mut test, "key");
    reader.receive(&mut test, 64 * KIB);
    test.advance(3_000);
    expect_that!(test.sent().len(), eq(1));
    reader.read(&mut test, 64 * KIB);
    test.advance(300);
    expect_that!(test.sent().len(), eq(1));
    test.advance(300);
    expect_that!(test.sent().len(), eq(2));
    expect_that!(test.last_sent().position, eq(1));
}

/// Guards against taking the pause for the speed of the engines, from which the stall timeout follows.
#[gtest]
fn pause_is_no_interval_between_events() {
    let mut test = test(limits(64 * KIB, 0, 0));
    let mut reader = Reader::open(&mut test, "key");
    reader.receive(&mut test, 64 * KIB);
    test.advance(3_000);
    reader.read(&mut test, 64 * KIB);
    test.advance(20);
    reader.receive(&mut test, KIB);
    let intervals = test.effects.iter().filter_map(|effect| match effect {
        Effect::Observe(Timing::EventInterval, millis) => Some(*millis),
        _ => None,
    });
    expect_that!(intervals.collect::<Vec<_>>(), elements_are![eq(&20)]);
}

/// Guards against suspecting an upstream that closes unread streams, and against resuming while the caller still has
/// events to read: the resumed stream would be cut again.
#[gtest]
fn stream_cut_unread_is_resumed_when_its_caller_has_read() {
    let mut test = test(limits(64 * KIB, 0, 0));
    let mut reader = Reader::open(&mut test, "key");
    reader.receive(&mut test, 64 * KIB);
    test.advance(2_000);
    reader.read(&mut test, 40 * KIB);
    test.fail(&reader.sent, Failure::Broken);
    test.advance(1_000);
    expect_that!(test.sent().len(), eq(1));
    reader.read(&mut test, 24 * KIB);
    expect_that!(test.sent().len(), eq(2));
    expect_that!(test.last_sent().position, eq(1));
    expect_that!(test.counted(Counter::Resumed(Reason::Unread)), eq(1));
    expect_that!(test.counted(Counter::Suspected), eq(0));
}

/// Guards against taking every break behind a pause for a cut: a crash would not be noticed.
#[gtest]
fn break_long_after_a_pause_is_a_loss() {
    let mut test = test(limits(64 * KIB, 0, 0));
    let mut reader = Reader::open(&mut test, "key");
    reader.receive(&mut test, 64 * KIB);
    reader.read(&mut test, 64 * KIB);
    for _ in 0..20 {
        test.advance(100);
        reader.receive(&mut test, 10);
        reader.read(&mut test, 10);
    }
    test.fail(&reader.sent, Failure::Broken);
    expect_that!(test.counted(Counter::Resumed(Reason::Broken)), eq(1));
    expect_that!(test.counted(Counter::Suspected), eq(1));
}

/// Guards against prefilling a stream again whose events would not be read.
#[gtest]
fn lost_stream_is_not_resumed_while_its_caller_does_not_read() {
    let mut test = test(limits(64 * KIB, 0, 0));
    let mut reader = Reader::open(&mut test, "key");
    reader.receive(&mut test, 60 * KIB);
    test.fail(&reader.sent, Failure::Broken);
    test.advance(1_000);
    expect_that!(test.sent().len(), eq(1));
    reader.read(&mut test, 60 * KIB);
    expect_that!(test.sent().len(), eq(2));
    expect_that!(test.counted(Counter::Resumed(Reason::Broken)), eq(1));
}

/// Guards against slow callers that use upstreams without bound: each cut costs a prefill.
#[gtest]
fn resume_of_a_stream_cut_unread_costs_a_permit() {
    let mut test = test(limits(64 * KIB, 0, 0));
    for _ in 0..30 {
        let mut reader = Reader::open(&mut test, "key");
        reader.receive(&mut test, 64 * KIB);
        reader.read(&mut test, 64 * KIB);
        test.fail(&reader.sent, Failure::Broken);
        let resumed = test.last_sent();
        if resumed.attempt != reader.sent.attempt {
            test.handle(Event::StreamOpened(resumed.attempt));
            test.close(&resumed, true);
        }
    }
    let resumed = test.counted(Counter::Resumed(Reason::Unread));
    expect_that!(resumed, all![ge(20), lt(30)]);
    let cut = test
        .outcomes()
        .into_iter()
        .filter(|outcome| outcome == "cut");
    expect_that!(cut.count() as u64, eq(30 - resumed));
}

/// Guards against giving up callers that read, and against more given up than the limit asks for.
#[gtest]
fn caller_that_has_not_read_for_longest_is_given_up_first() {
    let mut test = test(limits(0, 0, 100 * KIB));
    let mut first = Reader::open(&mut test, "key");
    let mut second = Reader::open(&mut test, "key");
    first.receive(&mut test, 30 * KIB);
    second.receive(&mut test, 30 * KIB);
    test.advance(200);
    second.receive(&mut test, 20 * KIB);
    // The first caller read last, the second not for two seconds.
    test.advance(1_800);
    first.read(&mut test, KIB);
    let mut third = Reader::open(&mut test, "key");
    third.receive(&mut test, 60 * KIB);
    test.advance(10);
    expect_that!(
        buffering(&test),
        contains(eq(&Buffering::Discard(second.caller)))
    );
    expect_that!(test.outcomes(), elements_are![eq("cut")]);
    expect_that!(test.counted(Counter::Refused(Kind::UnreadAnswer)), eq(1));
}

/// Guards against giving up many small streams where one large one is enough.
#[gtest]
fn largest_is_given_up_first_among_callers_that_stopped_together() {
    let mut test = test(limits(0, 0, 100 * KIB));
    let mut readers: Vec<_> = (0..4).map(|_| Reader::open(&mut test, "key")).collect();
    for (reader, size) in readers.iter_mut().zip([20, 50, 20, 20]) {
        reader.receive(&mut test, size * KIB);
    }
    test.advance(60);
    let discards: Vec<_> = buffering(&test)
        .into_iter()
        .filter(|effect| matches!(effect, Buffering::Discard(_)))
        .collect();
    expect_that!(
        discards,
        elements_are![eq(&Buffering::Discard(readers[1].caller))]
    );
}

/// Guards against cutting a response of which the instance holds the end.
#[gtest]
fn complete_responses_are_not_given_up() {
    let mut test = test(limits(0, 0, 100 * KIB));
    let mut complete = Reader::open(&mut test, "key");
    complete.receive(&mut test, 90 * KIB);
    test.close(&complete.sent, true);
    let call = test.request(REPEATABLE);
    let attempt = test.last_sent().attempt;
    test.handle(Event::ResponseHeld {
        attempt,
        bytes: 90 << 10,
    });
    test.advance(2_000);
    let mut running = Reader::open(&mut test, "key");
    running.receive(&mut test, 20 * KIB);
    test.advance(60);
    expect_that!(
        buffering(&test),
        not(contains(eq(&Buffering::Discard(complete.caller))))
    );
    expect_that!(
        buffering(&test),
        not(contains(eq(&Buffering::Discard(call))))
    );
    expect_that!(
        buffering(&test),
        contains(eq(&Buffering::Discard(running.caller)))
    );
}

/// Guards against giving up callers that read, where that does not help: complete responses alone exceed the limit.
#[gtest]
fn callers_that_read_promptly_are_not_given_up() {
    let mut test = test(limits(0, 0, 100 * KIB));
    let mut complete = Reader::open(&mut test, "key");
    complete.receive(&mut test, 120 * KIB);
    test.close(&complete.sent, true);
    let mut large = Reader::open(&mut test, "key");
    let mut small = Reader::open(&mut test, "key");
    small.receive(&mut test, 3 * KIB);
    for _ in 0..10 {
        large.receive(&mut test, 20 * KIB);
        test.advance(20);
        large.read(&mut test, 20 * KIB);
    }
    expect_that!(test.outcomes(), elements_are![eq("close")]);
}

/// Guards against one customer's slow callers that stop the streams of others, or those of callers that read.
#[gtest]
fn customer_at_its_limit_is_read_as_far_as_its_callers_read() {
    let mut test = test(limits(64 * KIB, 80 * KIB, 0));
    let mut slow = Reader::open(&mut test, "key");
    let mut late = Reader::open(&mut test, "key");
    let mut prompt = Reader::open(&mut test, "key");
    let mut other = Reader::open(&mut test, "other");
    slow.receive(&mut test, 60 * KIB);
    late.receive(&mut test, 30 * KIB);
    prompt.receive(&mut test, KIB);
    other.receive(&mut test, 30 * KIB);
    expect_that!(
        buffering(&test),
        elements_are![eq(&Buffering::Pause(late.sent.attempt))]
    );
    test.request(STREAM);
    expect_that!(test.outcomes(), elements_are![eq("overloaded")]);
    test.request_as("other", STREAM, 0);
    expect_that!(test.outcomes().len(), eq(1));
    late.read(&mut test, 30 * KIB);
    expect_that!(
        buffering(&test)[1..],
        elements_are![eq(&Buffering::Resume(late.sent.attempt))]
    );
}

/// Guards against an instance that reads on up to its limit, where streams must be given up, and against stopping the
/// streams of callers that read.
#[gtest]
fn instance_near_its_limit_is_read_as_far_as_its_callers_read() {
    let mut test = test(limits(0, 0, 100 * KIB));
    let mut slow = Reader::open(&mut test, "key");
    let mut prompt = Reader::open(&mut test, "other");
    slow.receive(&mut test, 60 * KIB);
    expect_that!(buffering(&test), is_empty());
    slow.receive(&mut test, 15 * KIB);
    prompt.receive(&mut test, KIB);
    test.advance(2_000);
    expect_that!(
        buffering(&test),
        elements_are![eq(&Buffering::Pause(slow.sent.attempt))]
    );
}

/// Guards against sums that drift, by which streams would be paused or given up for nothing.
#[gtest]
fn nothing_is_counted_once_all_has_been_read_or_the_callers_have_left() {
    let mut test = test(limits(64 * KIB, 0, 100 * KIB));
    let mut read = Reader::open(&mut test, "key");
    let mut left = Reader::open(&mut test, "other");
    let mut given_up = Reader::open(&mut test, "key");
    read.receive(&mut test, 30 * KIB);
    left.receive(&mut test, 64 * KIB);
    given_up.receive(&mut test, 64 * KIB);
    expect_that!(test.core.buffers().paused(), eq(2));
    expect_that!(test.core.buffers().total().requests, eq(300));
    test.advance(60);
    expect_that!(test.outcomes(), elements_are![eq("cut")]);
    test.handle(Event::CallerGone(left.caller));
    test.close(&read.sent, true);
    read.read(&mut test, 30 * KIB);
    given_up.read(&mut test, 64 * KIB);
    test.handle(Event::CallerGone(given_up.caller));
    expect_that!(test.core.buffers().total(), eq(HeldBytes::default()));
    expect_that!(test.core.buffers().customers().count(), eq(0));
    expect_that!(test.core.buffers().paused(), eq(0));
}
