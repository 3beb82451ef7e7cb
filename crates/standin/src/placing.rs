//! What a decision costs where upstreams and streams are many: real time of one core, which is asked for streams
//! while others have told it of thousands.

use super::*;
use std::sync::Arc;
use wellplank_core::{
    clock::Time,
    config::{self, Policy, Priority, Service, Target},
    core::Core,
    effect::{Effect, Outbound},
    event::{Event, Failure, ListEntry, Submission},
    incarnation::Incarnation,
    members::View,
    origin::RunId,
    position::Position,
    request::{Caller, Relay},
    settings::Settings,
    stream_record::{Stage, StreamRecord},
    version::Version,
};

/// Start of virtual time.
const START: Time = Time(1_800_000_000_000);

/// Requests that are timed.
const REQUESTS: u64 = 2_000;

/// Tokens of a request, and those that an upstream's memory holds.
const TOKENS: u32 = 6_000;
const MEMORY: u32 = 55_000;

fn service() -> Service {
    Service {
        deadline_ms: 25_000,
        max_wait_ms: 1_000,
        name: "summary".into(),
        policy: Policy::Resources,
        priority: Priority::Normal,
        repeatable: true,
        target: Target::Relay(config::Relay {
            attempts_max: 5,
            copies: true,
            memory_tokens: MEMORY,
            objective_ms: 4_500,
            event_interval_objective_ms: 0,
            priority: config::DEFAULT_PRIORITY,
            pool: "engines".into(),
            resumable: true,
            streams: true,
        }),
    }
}

fn listed(index: usize) -> ListEntry {
    ListEntry {
        address: SocketAddr::from(([127, 0, 0, 1], index as u16 + 1)),
        born: 0,
        data_centre: format!("dc-{}", index % 5),
        leaving: false,
        name: format!("engine-{index}"),
        pool: "engines".into(),
        registered_at: Position::default(),
        slots: 32,
        version: String::new(),
    }
}

fn sighting(prompt: u64, upstreams: usize) -> StreamRecord {
    let at = prompt as usize % upstreams;
    StreamRecord {
        backup: Some(Incarnation::new(
            &format!("engine-{}", (at + 1) % upstreams),
            0,
        )),
        has_begun: false,
        origin: RunId::new(&format!("run-{prompt}")),
        pool: String::new(),
        prompt,
        rank: None,
        run: format!("run-{prompt}"),
        stage: Stage::Started,
        start_within_ms: None,
        tokens: TOKENS,
        upstream: Some(Incarnation::new(&format!("engine-{at}"), 0)),
        version: Version::UNSTATED,
    }
}

fn submission(number: u64) -> Submission {
    let relay = Relay {
        max_answer_tokens: 1_000,
        bytes: 100,
        host: ask::HOST.into(),
        path: ask::PATH.into(),
        timeout_ms: Some(25_000),
        position: 0,
        prompt: 1_000_000 + number,
        resumes: None,
        run: number.to_string().into(),
        tokens: TOKENS,
    };
    ask::submission(Caller(number), relay)
}

/// Microseconds that it takes to place a stream at one of some upstreams, while others told of some streams, and
/// to take in what they tell of one.
pub fn cost(upstreams: usize, streams: u64) -> (f64, f64) {
    let settings = Settings {
        probes: false,
        ..Settings::default()
    };
    let mut core = Core::new(settings, [0; 32], 1, START).in_data_centre("dc-0");
    core.handle(
        START,
        Event::Config(Arc::new(ask::configuration(service()))),
    );
    core.handle(START, Event::Instances(View::numbered(0, 295)));
    let list = Event::List {
        requested_at: START,
        entries: Some((0..upstreams).map(listed).collect()),
    };
    core.handle(START, list);
    let told = Instant::now();
    for prompt in 0..streams {
        core.handle(START, Event::PeerStream(sighting(prompt + 1, upstreams)));
    }
    let told = told.elapsed();
    let mut placing = Duration::ZERO;
    for number in 1..=REQUESTS {
        let now = START.after(2_000);
        let event = Event::Submit(Box::new(submission(number)));
        let begun = Instant::now();
        let effects = core.handle(now, event);
        placing += begun.elapsed();
        for effect in effects {
            if let Effect::Send {
                attempt,
                outbound: Outbound::Relay { .. },
                ..
            } = effect
            {
                let failure = Failure::Rejected;
                core.handle(now, Event::Failed { attempt, failure });
            }
        }
        core.handle(now, Event::CallerGone(Caller(number)));
    }
    let micros = |whole: Duration, count: u64| whole.as_secs_f64() * 1e6 / count as f64;
    (micros(placing, REQUESTS), micros(told, streams))
}

/// Measures it at several sizes and prints a table.
pub fn measure() {
    let mut report = report::Report::new("Microseconds of a decision");
    for (upstreams, streams) in [(24, 100), (320, 500), (320, 5_000), (2_200, 5_000)] {
        let (placing, telling) = cost(upstreams, streams);
        let row = report::Row::new(format!("{upstreams} upstreams, {streams} streams told"))
            .figure("placing a stream", placing)
            .figure("taking in what is told of one", telling);
        report.rows.push(row);
    }
    report.print();
}
