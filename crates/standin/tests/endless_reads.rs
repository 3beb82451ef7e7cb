//! Upstreams and services of the own interface whose answers do not end, on real sockets: an instance reads them into a bound of
//! its own, and goes on serving with what it has.

use {
    googletest::prelude::*,
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::time::{Instant, sleep, timeout},
    wellplank_standin::{
        Caller, Fleet, Host,
        caller::Ask,
        endless_server::{Answer, EndlessServer},
        fleet,
    },
};

/// Time that anything may take before the test fails.
const PATIENCE: Duration = Duration::from_secs(20);

/// Time that a caller waits for an answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Interval between two looks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A megabyte.
const MB: u64 = 1 << 20;

/// Bytes that an answer without end has here: more than any bound and what sockets hold besides.
const ENDLESS: u64 = 192 * MB;

/// Bytes that the sockets between two processes may hold besides what the reader took.
const SOCKETS: u64 = 16 * MB;

/// Bound of load reports and of events, or more.
const SHORT: u64 = 2 * MB;

/// Bound of answers of the store, and of lists of instances.
const LONG: u64 = 64 * MB;

fn caller() -> Caller {
    Caller {
        key: "sawmill".into(),
    }
}

/// Whether a number is reached in time.
async fn reaches(count: impl Fn() -> u64, least: u64) -> bool {
    let begun = Instant::now();
    while count() < least {
        if begun.elapsed() > PATIENCE {
            return false;
        }
        sleep(POLL_INTERVAL).await;
    }
    true
}

/// Status of the answer to one call of a plain service; 0 for none.
async fn call(address: SocketAddr, service: &str) -> u16 {
    let (caller, body) = (caller(), json!({}));
    let call = caller.call(address, service, "boards", &body, None);
    let outcome = timeout(CALL_TIMEOUT, call).await;
    outcome.map_or(0, |outcome| outcome.status)
}

/// Calls of a plain service that are answered, of twenty.
async fn answered(fleet: &Fleet) -> usize {
    let mut answered = 0;
    for _ in 0..20 {
        answered += usize::from(call(fleet.caller_address(0), "availability").await == 200);
        sleep(POLL_INTERVAL).await;
    }
    answered
}

fn plan() -> fleet::Plan {
    fleet::Plan {
        instances: 1,
        ..fleet::Plan::default()
    }
}

/// Runs a test against a fleet of the own interface.
fn run_fleet<F: Future<Output = ()>>(test: impl FnOnce(Fleet) -> F) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("the runtime starts");
    runtime.block_on(async { test(Fleet::start(&plan()).await).await });
    runtime.shutdown_background();
}

/// Guards against a load report that is kept without a bound: one faulty upstream took all memory of its instance.
#[gtest]
fn load_report_without_end_is_given_up_at_its_bound() {
    run_fleet(async |mut fleet: Fleet| {
        let server = EndlessServer::start(ENDLESS, |_| Answer::body());
        fleet.add_upstream("endless", server.address).await;
        expect_that!(reaches(|| server.closed(), 2).await, eq(true));
        expect_that!(server.most_taken(), le(SHORT + SOCKETS));
        expect_that!(answered(&fleet).await, eq(20));
        expect_that!(fleet.counter("answer_bound.load").await, ge(2));
    });
}

/// Guards against informational heads that keep the thread of an instance busy: they are read without an end where a report
/// is due, and callers wait meanwhile.
#[gtest]
fn informational_heads_without_end_in_place_of_a_load_report_delay_no_caller() {
    run_fleet(async |mut fleet: Fleet| {
        let server = EndlessServer::start(u64::MAX, |_| Answer::informational());
        fleet.add_upstream("endless", server.address).await;
        expect_that!(reaches(|| server.most_taken(), 1).await, eq(true));
        let begun = Instant::now();
        expect_that!(answered(&fleet).await, eq(20));
        expect_that!(begun.elapsed(), le(Duration::from_secs(3)));
    });
}

/// An instance whose list of instances is served by another server.
async fn start_with_list(fleet: &Fleet, list: &EndlessServer, store: &Value) -> (Host, Value) {
    let mut settings = Fleet::settings(&plan(), "entry-2", fleet.platform.address);
    settings["platform"] = json!({ "list": list.address, "store": store });
    let parsed = wellplank_node::Settings::parse(&settings.to_string());
    let parsed = parsed.expect("settings without fault");
    let host = Host::new(1);
    let node = host.run(wellplank_node::Instance::start(parsed)).await;
    let node = node.expect("its runtime runs");
    std::mem::forget(node.expect("its addresses are free"));
    (host, settings)
}

/// Guards against a list of instances that is kept without a bound.
#[gtest]
fn list_of_instances_without_end_is_given_up_at_its_bound() {
    run_fleet(async |fleet: Fleet| {
        let is_endless = Arc::new(AtomicBool::new(false));
        let lines = json!([{
            "address": fleet.yard.address, "data_centre": "a", "instance": "yard-1",
            "leaving": false, "pool": "yard",
        }]);
        let switch = Arc::clone(&is_endless);
        let server = EndlessServer::start(ENDLESS, move |_| {
            if switch.load(Ordering::Relaxed) {
                Answer::body()
            } else {
                Answer::json(&lines)
            }
        });
        let store = json!(fleet.platform.address);
        let (_host, settings) = start_with_list(&fleet, &server, &store).await;
        let address = settings["listen"]["callers"].as_str().unwrap();
        let address = address.parse().unwrap();
        let begun = Instant::now();
        while call(address, "availability").await != 200 {
            assert!(begun.elapsed() < PATIENCE, "the instance does not serve");
            sleep(POLL_INTERVAL).await;
        }
        is_endless.store(true, Ordering::Relaxed);
        expect_that!(reaches(|| server.closed(), 2).await, eq(true));
        expect_that!(server.most_taken(), le(LONG + SOCKETS));
        expect_that!(call(address, "availability").await, eq(200));
    });
}

/// Guards against answers and watches of the key-value service of the own interface that are kept without a bound.
#[gtest]
fn answer_of_the_key_value_service_without_end_is_given_up_at_its_bound() {
    run_fleet(async |fleet: Fleet| {
        let list = EndlessServer::start(ENDLESS, |_| Answer::json(&json!([])));
        let server = EndlessServer::start(ENDLESS, |_| Answer::body());
        let store = json!(server.address);
        let (_host, _) = start_with_list(&fleet, &list, &store).await;
        expect_that!(reaches(|| server.closed(), 3).await, eq(true));
        expect_that!(server.most_taken(), le(LONG + SOCKETS));
    });
}

/// A fleet with one more upstream, which answers load reports and in another way everything else.
async fn add_faulty(
    fleet: &mut Fleet,
    answer: impl Fn(&str) -> Answer + Clone + Send + 'static,
) -> EndlessServer {
    let report = json!({ "running": 0, "slots": 64, "waiting": 0 });
    let server = EndlessServer::start(ENDLESS, move |request| {
        if request == "GET /load" {
            return Answer::json(&report);
        }
        answer(request)
    });
    for engine in &mut fleet.engines {
        engine.host.kill();
    }
    fleet.add_upstream("faulty", server.address).await;
    server
}

/// A stream of a fleet whose only engine answers in a faulty way; what the engine had taken of its answer.
async fn generate(fleet: &mut Fleet, start: &str, again: Vec<u8>) -> (EndlessServer, usize) {
    let head = format!("HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\r\n{start}");
    let server = add_faulty(fleet, move |_| {
        Answer::Endless(head.clone().into_bytes(), again.clone())
    })
    .await;
    let begun = Instant::now();
    let mut tokens = 0;
    while server.closed() == 0 && begun.elapsed() < PATIENCE {
        let (ask, caller) = (Ask::new("cutting-plan", "a prompt", 8), caller());
        let outcome = caller.generate(fleet.caller_address(0), &ask);
        let outcome = timeout(CALL_TIMEOUT, outcome).await;
        tokens = tokens.max(outcome.map_or(0, |outcome| outcome.tokens.len()));
    }
    (server, tokens)
}

/// Guards against an event of an engine that is kept without a bound, up to its end which never comes.
#[gtest]
fn event_of_an_engine_without_end_is_given_up_at_its_bound() {
    run_fleet(async |mut fleet: Fleet| {
        let (server, _) = generate(&mut fleet, "data: ", vec![b'z'; 64 << 10]).await;
        expect_that!(server.closed(), ge(1));
        expect_that!(server.most_taken(), le(SHORT + SOCKETS));
        expect_that!(fleet.counter("answer_bound.event").await, ge(1));
    });
}

/// Guards against an answer of a plain service that is kept without a bound.
#[gtest]
fn answer_of_a_plain_service_without_end_is_given_up_at_its_bound() {
    run_fleet(async |mut fleet: Fleet| {
        let server = EndlessServer::start(ENDLESS, |request| {
            if request == "GET /load" {
                let report = json!({ "running": 0, "slots": 64, "waiting": 0 });
                return Answer::json(&report);
            }
            Answer::body()
        });
        fleet.yard.host.kill();
        fleet
            .add_upstream_of("yard", "faulty", server.address)
            .await;
        let begun = Instant::now();
        while server.closed() == 0 && begun.elapsed() < PATIENCE {
            call(fleet.caller_address(0), "availability").await;
        }
        expect_that!(server.closed(), ge(1));
        expect_that!(server.most_taken(), le(LONG + SOCKETS));
        expect_that!(fleet.counter("answer_bound.body").await, ge(1));
    });
}
