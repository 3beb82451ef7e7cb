//! Requests that end with most of their time left: which kinds say so, and whether each is counted.

use super::*;
use wellplank_core::{
    kind::{Early, Ran},
    settings::UnreadLimits,
};

/// Lets upstreams crash under a stream until it is not sent again.
fn after_three_crashes() -> Test {
    let mut test = Test::new(9);
    test.request(STREAM);
    for _ in 0..3 {
        let sent = test.last_sent();
        test.break_connection(&sent, true);
    }
    test
}

/// A configuration with one service of the own interface, whose calls may be repeated.
fn own_service() -> Config {
    let service = Service {
        deadline_ms: 25_000,
        max_wait_ms: 1_000,
        name: "desk".into(),
        policy: Policy::Resources,
        priority: Priority::Normal,
        repeatable: true,
        target: Target::Call {
            pool: "pool".into(),
        },
    };
    Config {
        services: [("desk".to_owned(), Arc::new(service))].into(),
        ..configuration(1)
    }
}

/// Breaks off a call of the own interface after which no upstream takes work for as long as it may wait. Relayed requests that
/// may have run wait until their deadline.
fn after_a_wait_behind_a_loss() -> Test {
    let mut test = Test::without_configuration();
    test.handle(Event::Config(Arc::new(own_service())));
    test.list(vec![listed(0, 0)]);
    test.handle(Event::Submit(Box::new(Submission {
        caller: Caller(1),
        cursor: None,
        customer: "key".into(),
        fingerprint: 0,
        generation: 1,
        key: None,
        received: None,
        service: "desk".into(),
        work: Work::Call {
            path: "GET /stock".into(),
            payload: [].into(),
        },
    })));
    let attempt = test.effects.iter().find_map(|effect| match effect {
        Effect::Send { attempt, .. } => Some(*attempt),
        _ => None,
    });
    test.handle(Event::Failed {
        attempt: attempt.expect("the call was sent"),
        failure: Failure::Broken,
    });
    test.list(Vec::new());
    test.advance(1_500);
    test
}

/// Breaks off a call that may run only once.
fn after_a_broken_call() -> Test {
    let mut test = Test::new(6);
    test.request(NON_REPEATABLE);
    let sent = test.last_sent();
    test.fail(&sent, Failure::Broken);
    test
}

/// Stops the instance beside a call that may run only once.
fn after_a_stop() -> Test {
    let mut test = Test::new(6);
    test.request(NON_REPEATABLE);
    test.handle(Event::ShutdownEnded);
    test
}

/// Sends a caller that does not read more than the instance may hold.
fn after_unread_events() -> Test {
    let unread = UnreadLimits {
        instance_bytes: 8 << 10,
        ..UnreadLimits::default()
    };
    let mut test = Test::set(Settings {
        unread,
        ..Settings::default()
    });
    test.core = test.core.counting_unread();
    let mut test = test.configured(6);
    let sent = test.stream(0);
    for position in 1..=3 {
        test.handle(Event::StreamEvent {
            attempt: sent.attempt,
            bytes: vec![b'\n'; 4 << 10].into(),
            position,
        });
    }
    test.advance(100);
    test
}

/// A request that failed with a kind after it may have run and with most of its time left. `None` if the kind says that
/// nothing ran, or that no waiting would have helped. A kind without a line here does not compile.
fn ended_early(kind: Kind) -> Option<Test> {
    match kind {
        Kind::EndsUpstreams => Some(after_three_crashes()),
        Kind::TimedOut => Some(after_a_wait_behind_a_loss()),
        Kind::Unknown => Some(after_a_stop()),
        Kind::UnreadAnswer => Some(after_unread_events()),
        Kind::UpstreamFailed => Some(after_a_broken_call()),
        Kind::AlreadyClaimed
        | Kind::BadBody
        | Kind::BadCursor
        | Kind::BadKey
        | Kind::CannotResume
        | Kind::CustomerLimit
        | Kind::Deadline
        | Kind::HeadTooLarge
        | Kind::Internal
        | Kind::Interrupted
        | Kind::KeyRequired
        | Kind::KeyReused
        | Kind::NoUpstream
        | Kind::NotReady
        | Kind::Overloaded
        | Kind::PlatformDown
        | Kind::Quarantined
        | Kind::SlowBody
        | Kind::Stopping
        | Kind::TooLarge
        | Kind::TooLate
        | Kind::Unauthorized
        | Kind::UnknownService
        | Kind::UpstreamRejected
        | Kind::VersionGone
        | Kind::VersionUnknown => None,
    }
}

/// Guards against a kind by which requests that may have run end with most of their time left, and which no counter shows.
#[gtest]
fn each_kind_that_may_end_a_request_early_is_counted() {
    for kind in Kind::ALL {
        let answer = kind.answer();
        let is_in_question = answer.ran == Ran::Maybe && answer.early == Early::May;
        let test = ended_early(kind);
        expect_that!(test.is_some(), eq(is_in_question), "{kind}");
        let Some(test) = test else { continue };
        let counted = test.effects.iter().filter(|effect| {
            matches!(effect, Effect::Count(Counter::EndedEarly(other, _), 1) if *other == kind)
        });
        expect_that!(counted.count(), eq(1), "{kind}: {:?}", test.outcomes());
    }
}
