//! What an instance logs and does when its core task panics, as a process of its own.

use {
    futures_util::future::join_all,
    googletest::prelude::*,
    http_body_util::Full,
    hyper::{
        Request, Response,
        body::{Bytes, Incoming},
    },
    log::{Log, Metadata, Record, kv},
    serde_json::{Value, json},
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        path::PathBuf,
        process::{Child, Command, ExitCode, ExitStatus, Stdio},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
    wellplank_standin::{
        Caller, Fleet, caller,
        client::Ask,
        fleet, http,
        site::{Plan, Site},
        worker::{Mode, SLOTS},
    },
};

/// Time in which something must come about.
const PATIENCE: Duration = Duration::from_secs(20);

/// Environment variable that names the settings file of the process under test.
const SETTINGS: &str = "WELLPLANK_TEST_SETTINGS";

/// Request whose line `sent` makes the core task panic.
const FATAL: &str = "ends-the-core";

/// Customer for whose requests that line makes the core task panic as well, at an instance of the own interface: its
/// requests have no name of their caller's choice.
const FATAL_CUSTOMER: &str = "sawmill";

/// Text of that panic.
const TEXT: &str = "panic of the test";

/// Maximum number of request IDs in the last line of a core task.
const NAMED_MAX: usize = 32;

/// The product's logger, which panics at the line `sent` of the request [`FATAL`] or of [`FATAL_CUSTOMER`]. The core task writes that line, so
/// that it panics without any code for it in the product.
struct PanickingLogger(Box<dyn Log>);

/// Looks for the request of a line.
#[derive(Default)]
struct Finder(bool);

impl<'kvs> kv::VisitSource<'kvs> for Finder {
    fn visit_pair(
        &mut self,
        key: kv::Key<'kvs>,
        value: kv::Value<'kvs>,
    ) -> std::result::Result<(), kv::Error> {
        self.0 |= match key.as_str() {
            "request" => value.to_string() == FATAL,
            "customer" => value.to_string() == FATAL_CUSTOMER,
            _ => false,
        };
        Ok(())
    }
}

impl Log for PanickingLogger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        self.0.enabled(metadata)
    }

    fn flush(&self) {
        self.0.flush();
    }

    fn log(&self, record: &Record) {
        let mut finder = Finder::default();
        let _ = record.key_values().visit(&mut finder);
        let is_sent = record.args().as_str() == Some("sent");
        assert!(!(finder.0 && is_sent), "{TEXT}");
        self.0.log(record);
    }
}

/// An instance as a process, and the site that it serves.
struct Test {
    child: Child,
    file: PathBuf,
    settings: Value,
    site: Site,
}

impl Drop for Test {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
        let _ = std::fs::remove_file(self.log());
    }
}

impl Test {
    /// Starts this test's own executable as an instance, whose streams take four seconds.
    async fn start() -> Self {
        let plan = Plan {
            instances: 0,
            ..Plan::default()
        };
        let site = Site::start(plan).await;
        for seat in &site.engines {
            seat.worker.set(Mode::Slow);
        }
        let mut settings = site.settings(0, 5_000);
        // Streams beyond the capacity of the engines wait.
        settings["core"]["room"] = json!({ "refuse": false });
        let name = format!("wellplank-{}.json", uuid::Uuid::new_v4());
        let file = std::env::temp_dir().join(name);
        std::fs::write(&file, settings.to_string()).unwrap();
        let log = std::fs::File::create(file.with_extension("log")).unwrap();
        let child = Command::new(std::env::current_exe().unwrap())
            .args(["process_under_test", "--exact", "--nocapture"])
            .env(SETTINGS, &file)
            // Symbols of a backtrace take a debug build 200 ms, in which nothing else runs.
            .env("RUST_BACKTRACE", "0")
            .stdout(log)
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let test = Self {
            child,
            file,
            settings,
            site,
        };
        test.serves().await;
        test
    }

    fn address(&self, pointer: &str) -> SocketAddr {
        let text = self.settings.pointer(pointer).unwrap().as_str().unwrap();
        text.parse().unwrap()
    }

    fn callers(&self) -> SocketAddr {
        self.address("/listen/callers")
    }

    /// Has the core task panic, and waits until the process has ended; its status, and the time that the end took.
    async fn end(&mut self) -> (ExitStatus, Duration) {
        let callers = self.callers();
        let begun = Instant::now();
        tokio::spawn(async move { Ask::again(FATAL).try_open(callers).await });
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return (status, begun.elapsed());
            }
            assert!(begun.elapsed() < PATIENCE, "the process does not end");
            sleep(Duration::from_millis(2)).await;
        }
    }

    fn log(&self) -> PathBuf {
        self.file.with_extension("log")
    }

    /// Lines with a message. The test harness of the process writes lines of its own.
    fn lines(&self, message: &str) -> Vec<Value> {
        let text = std::fs::read_to_string(self.log()).unwrap();
        let lines = text.lines().filter(|line| line.starts_with('{'));
        let lines = lines.map(|line| serde_json::from_str(line).unwrap());
        lines
            .filter(|line: &Value| line["message"] == message)
            .collect()
    }

    async fn serves(&self) {
        let end = Instant::now() + PATIENCE;
        let uri = format!("http://{}/api/ready", self.address("/hosted/ready"));
        loop {
            let request = Request::get(&uri).body(Full::<Bytes>::default()).unwrap();
            let response = http::client().request(request).await;
            if response.is_ok_and(|response| response.status().is_success()) {
                break;
            }
            assert!(Instant::now() < end, "the instance is not ready");
            sleep(Duration::from_millis(20)).await;
        }
        // Upstreams are read beside the configuration.
        sleep(Duration::from_millis(300)).await;
    }
}

fn run<F: Future<Output = ()>>(test: impl FnOnce() -> F) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    runtime.block_on(test());
    runtime.shutdown_background();
}

/// Not a test: the process that the tests start.
#[gtest]
fn process_under_test() {
    let Ok(file) = std::env::var(SETTINGS) else {
        return;
    };
    let logger = wellplank_node::logger::create("instance-0");
    log::set_max_level(logger.filter());
    log::set_boxed_logger(Box::new(PanickingLogger(Box::new(logger)))).unwrap();
    let arguments = ["wellplank", "run", "--settings", &file];
    let matches = wellplank_node::arguments::command().get_matches_from(arguments);
    let code = wellplank_node::run_command(&matches);
    std::process::exit(i32::from(code != ExitCode::SUCCESS));
}

/// Guards against an instance that ends without a line that says where, on what and with what it ended.
#[gtest]
fn end_of_the_core_is_logged_with_its_place_and_its_requests() {
    run(async || {
        let mut test = Test::start().await;
        let mut streams = Vec::new();
        for stream in 0..3 {
            let ask = Ask::stream(&format!("stream-{stream}"));
            streams.push(ask.open(test.callers()).await);
        }
        let (status, _) = test.end().await;
        expect_that!(status.code(), some(eq(1)));
        let panics = test.lines("panicked");
        expect_that!(panics, len(eq(1)));
        expect_that!(panics[0]["level"], eq("error"));
        let place = panics[0]["place"].as_str().unwrap_or_default();
        expect_that!(place, matches_regex(r".*core_end\.rs:\d+"));
        expect_that!(panics[0]["text"], eq(TEXT));
        let ends = test.lines("core task ended");
        expect_that!(ends, len(eq(1)));
        expect_that!(ends[0]["level"], eq("error"));
        expect_that!(ends[0]["event"], eq("submit"));
        expect_that!(ends[0]["requests"], eq(4));
        expect_that!(ends[0]["revision"].as_u64(), some(gt(0)));
        let named = ends[0]["request_ids"].as_str().unwrap_or_default();
        let mut named: Vec<&str> = named.split(',').collect();
        named.sort_unstable();
        expect_that!(
            named,
            container_eq([FATAL, "stream-0", "stream-1", "stream-2"])
        );
    });
}

/// Guards against a last line that grows with the number of requests.
#[gtest]
fn end_of_the_core_names_a_bounded_number_of_requests() {
    run(async || {
        let mut test = Test::start().await;
        let callers = test.callers();
        let mut streams = Vec::new();
        for stream in 0..2 * NAMED_MAX {
            let ask = Ask::stream(&format!("stream-{stream}"));
            streams.push(tokio::spawn(async move { ask.try_open(callers).await }));
        }
        sleep(Duration::from_millis(500)).await;
        test.end().await;
        let ends = test.lines("core task ended");
        expect_that!(ends, len(eq(1)));
        expect_that!(ends[0]["requests"].as_u64(), some(gt(NAMED_MAX as u64)));
        let named = ends[0]["request_ids"].as_str().unwrap_or_default();
        expect_that!(named.split(',').count(), eq(NAMED_MAX));
    });
}

/// Guards against streams that end with the core task and are found in no line of their own.
#[gtest]
fn streams_that_end_with_the_core_are_cuts() {
    run(async || {
        let mut test = Test::start().await;
        let mut streams = Vec::new();
        for stream in 0..3 {
            let ask = Ask::stream(&format!("stream-{stream}"));
            streams.push(ask.open(test.callers()).await);
        }
        test.end().await;
        let cuts = test.lines("stream cut");
        let mut cut: Vec<&str> = cuts
            .iter()
            .map(|line| line["request"].as_str().unwrap())
            .collect();
        cut.sort_unstable();
        expect_that!(cut, container_eq(["stream-0", "stream-1", "stream-2"]));
        for line in &cuts {
            expect_that!(line["cause"], eq("core_ended"));
            expect_that!(line["configuration_age_ms"].as_u64(), some(gt(0)));
            expect_that!(line["revision"].as_u64(), some(gt(0)));
        }
    });
}

/// What became of one request.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Outcome {
    /// An answer began, with this status.
    Answered(u16),
    /// The connection broke before an answer began: the caller can not know whether the request ran.
    Broken,
    /// No connection could be made: the request did not run.
    NotConnected,
}

impl Outcome {
    /// Sends a request; its outcome, and the time to come back in seconds, 0 if none is said. The caller leaves once it has the
    /// head of the answer.
    async fn of(ask: Ask, address: SocketAddr) -> (Self, f64) {
        let (outcome, _) = Self::kept(ask, address).await;
        outcome
    }

    /// The same with the answer, if there is one: its caller stays for as long as that is kept.
    async fn kept(ask: Ask, address: SocketAddr) -> ((Self, f64), Option<Response<Incoming>>) {
        match ask.try_open(address).await {
            Ok(response) => {
                let retry_after = response.headers().get("retry-after");
                let retry_after = retry_after.and_then(|value| value.to_str().ok());
                let seconds = retry_after.map_or(0.0, |text| text.parse().unwrap());
                let outcome = Self::Answered(response.status().as_u16());
                ((outcome, seconds), Some(response))
            }
            Err(error) if error.is_connect() => ((Self::NotConnected, 0.0), None),
            Err(_) => ((Self::Broken, 0.0), None),
        }
    }
}

/// Number of requests by their outcome.
fn counts(outcomes: &[(Outcome, f64)]) -> BTreeMap<Outcome, usize> {
    let mut counts = BTreeMap::new();
    for (outcome, _) in outcomes {
        *counts.entry(*outcome).or_insert(0) += 1;
    }
    counts
}

/// Guards against an end of the core task that leaves callers without a true answer: a call that may have run must not be
/// told otherwise, and one that has not run must be sent elsewhere at once.
#[gtest]
fn requests_that_are_open_when_the_core_ends_get_true_answers() {
    run(async || {
        let mut test = Test::start().await;
        let callers = test.callers();
        for seat in &test.site.desks {
            seat.worker.set(Mode::Silent);
        }
        let mut running = Vec::new();
        for call in 0..4 {
            let ask = Ask::once(&format!("call-{call}"));
            running.push(tokio::spawn(Outcome::of(ask, callers)));
        }
        let mut streams = Vec::new();
        for stream in 0..4 * NAMED_MAX {
            let ask = Ask::stream(&format!("stream-{stream}"));
            // A caller that leaves at the head of its answer frees its place for one that waits.
            streams.push(tokio::spawn(Outcome::kept(ask, callers)));
        }
        // The prefills of an engine take 100 ms, two at a time.
        sleep(Duration::from_millis(200)).await;
        let open: Vec<bool> = streams.iter().map(|stream| !stream.is_finished()).collect();
        let (status, took) = test.end().await;
        expect_that!(status.code(), some(eq(1)));
        expect_that!(took, lt(Duration::from_secs(1)));
        let sent = test.lines("sent");
        let was_sent = |name: &str| sent.iter().any(|line| line["request"] == name);
        let mut calls = Vec::new();
        for (call, outcome) in running.into_iter().enumerate() {
            let is_sent = was_sent(&format!("call-{call}"));
            assert!(is_sent, "call {call} was not sent");
            calls.push(outcome.await.unwrap());
        }
        let mut waited = Vec::new();
        for (stream, outcome) in streams.into_iter().enumerate() {
            let (outcome, _) = outcome.await.unwrap();
            if open[stream] && !was_sent(&format!("stream-{stream}")) {
                waited.push(outcome);
            }
        }
        let (sent, unsent) = (counts(&calls), counts(&waited));
        println!("ended after {took:?}; sent calls {sent:?}; unsent streams {unsent:?}");
        expect_that!(calls, each(eq(&(Outcome::Answered(500), 0.0))));
        let slots = test.site.engines.len() * SLOTS;
        expect_that!(waited.len(), ge(4 * NAMED_MAX - slots));
        expect_that!(
            waited,
            each((eq(&Outcome::Answered(503)), all![gt(&0.0), le(&0.1)]))
        );
    });
}

/// Guards against requests that arrive behind the end of the core task and are broken off, or told that they may have run.
#[gtest]
fn requests_that_arrive_behind_the_end_of_the_core_are_refused_as_not_run() {
    run(async || {
        let mut test = Test::start().await;
        let callers = test.callers();
        let ready = test.address("/hosted/ready");
        let asked = |number: usize| async move {
            let mut outcomes = Vec::new();
            for request in 0.. {
                let name = format!("late-{number}-{request}");
                let (outcome, _) = Outcome::of(Ask::once(&name), callers).await;
                if outcome == Outcome::NotConnected {
                    return outcomes;
                }
                outcomes.push((name, outcome));
                sleep(Duration::from_millis(2)).await;
            }
            outcomes
        };
        let asked: Vec<_> = (0..8).map(|number| tokio::spawn(asked(number))).collect();
        let readiness = tokio::spawn(async move {
            let mut outcomes = Vec::new();
            let ask = || Ask::new("/api/ready", "ready");
            loop {
                match Outcome::of(ask(), ready).await.0 {
                    Outcome::NotConnected => return outcomes,
                    outcome => outcomes.push(outcome),
                }
                sleep(Duration::from_millis(2)).await;
            }
        });
        sleep(Duration::from_millis(100)).await;
        let (_, took) = test.end().await;
        let runs = test.site.ledger.runs();
        let mut late = Vec::new();
        for (name, outcome) in join_all(asked).await.into_iter().flat_map(Result::unwrap) {
            let has_run = runs
                .iter()
                .any(|run| run.header("wellplank-request-id") == name);
            let is_refused = outcome == Outcome::Answered(503);
            expect_that!(has_run && is_refused, eq(false), "{name} ran");
            late.push((outcome, 0.0));
        }
        let counts = counts(&late);
        println!("ended after {took:?}; arrivals {counts:?}");
        expect_that!(counts.get(&Outcome::Answered(503)), some(gt(&0)));
        let readiness = readiness.await.unwrap();
        expect_that!(readiness.first(), some(eq(&Outcome::Answered(200))));
        let was_unready = readiness.contains(&Outcome::Answered(503));
        expect_that!(was_unready, eq(true));
    });
}

/// Guards against an instance of the own interface that goes on without its core task: it answered every request with an
/// error, and was never started again.
#[gtest]
fn end_of_the_core_ends_an_instance_of_the_own_interface() {
    run(async || {
        let plan = fleet::Plan {
            instances: 1,
            ..fleet::Plan::default()
        };
        let fleet = Fleet::start(&plan).await;
        let settings = Fleet::settings(&plan, "entry-2", fleet.platform.address);
        let file = std::env::temp_dir().join(format!("wellplank-{}.json", uuid::Uuid::new_v4()));
        std::fs::write(&file, settings.to_string()).unwrap();
        let address: SocketAddr = settings["listen"]["callers"]
            .as_str()
            .unwrap()
            .parse()
            .unwrap();
        let mut child = start_process(&file);
        let ask = |key: &str, tokens| {
            let caller = Caller { key: key.into() };
            async move {
                let ask = caller::Ask::new("notebook-summary", "night log", tokens);
                caller.generate(address, &ask).await
            }
        };
        let begun = Instant::now();
        while !ask("hemelarchief", 2).await.finished {
            assert!(begun.elapsed() < PATIENCE, "the instance does not serve");
            sleep(Duration::from_millis(50)).await;
        }
        let stream = tokio::spawn(ask("hemelarchief", 2_000));
        sleep(Duration::from_millis(200)).await;
        let fatal = ask(FATAL_CUSTOMER, 20).await;
        let begun = Instant::now();
        let status = loop {
            if let Some(status) = child.try_wait().unwrap() {
                break Some(status);
            }
            if begun.elapsed() > PATIENCE {
                let _ = child.kill();
                let _ = child.wait();
                break None;
            }
            sleep(Duration::from_millis(20)).await;
        };
        let _ = std::fs::remove_file(&file);
        expect_that!(status.and_then(|status| status.code()), some(eq(1)));
        // Both requests were answered before.
        expect_that!(fatal.error, some(eq("internal")));
        expect_that!(stream.await.unwrap().error, some(eq("internal")));
    });
}

/// Starts this test's own executable as an instance.
fn start_process(settings: &std::path::Path) -> Child {
    Command::new(std::env::current_exe().unwrap())
        .args(["process_under_test", "--exact", "--nocapture"])
        .env(SETTINGS, settings)
        .env("RUST_BACKTRACE", "0")
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .unwrap()
}
