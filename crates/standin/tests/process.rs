//! Cells of the fault matrix between real processes: ends, stops and starts them by signals.

use {
    googletest::prelude::*,
    serde_json::{Value, json},
    std::{
        net::SocketAddr,
        process::{Child, Command, Stdio},
        time::{Duration, Instant},
    },
    uuid::Uuid,
    wellplank_standin::{
        Caller, Fleet,
        caller::{Ask, Outcome},
        fleet::{OPERATOR_KEY, Plan},
        host::free_address,
        http,
    },
};

/// Time that anything may take before the test fails.
const PATIENCE: Duration = Duration::from_secs(20);

/// A process that ends with the test.
struct Process {
    address: SocketAddr,
    child: Child,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    fn signal(&self, signal: &str) {
        let sent = Command::new("kill")
            .args([signal, &self.child.id().to_string()])
            .status();
        assert!(sent.unwrap().success());
    }

    fn spawn(program: &str, arguments: &[&str], address: SocketAddr, log: Stdio) -> Self {
        let child = Command::new(program)
            .args(arguments)
            .stderr(Stdio::null())
            .stdout(log)
            .spawn()
            .unwrap();
        Self { address, child }
    }

    fn standin(kind: &str) -> Self {
        let address = free_address();
        let listen = address.to_string();
        Self::spawn(
            env!("CARGO_BIN_EXE_standin"),
            &[kind, "--listen", &listen],
            address,
            Stdio::null(),
        )
    }
}

/// A fleet of processes.
struct Processes {
    engines: Vec<Process>,
    instances: Vec<Process>,
    operators: Vec<SocketAddr>,
    platform: Process,
    yard: Process,
    folder: std::path::PathBuf,
}

impl Drop for Processes {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Processes {
    async fn start(core: Value) -> Self {
        let folder = std::env::temp_dir().join(format!("wellplank-{}", Uuid::new_v4()));
        std::fs::create_dir_all(&folder).unwrap();
        let mut fleet = Self {
            engines: (0..3).map(|_| Process::standin("engine")).collect(),
            folder,
            instances: Vec::new(),
            operators: Vec::new(),
            platform: Process::standin("platform"),
            yard: Process::standin("plain"),
        };
        answers(fleet.platform.address, "/instances").await;
        let plan = Plan {
            core,
            ..Plan::default()
        };
        let line = |name: String, pool: &str, address: &Value| {
            json!({
                "address": address, "data_centre": "a", "instance": name, "leaving": false,
                "pool": pool,
            })
        };
        let mut lines = vec![line("yard-1".into(), "yard", &json!(fleet.yard.address))];
        for (index, engine) in fleet.engines.iter().enumerate() {
            lines.push(line(
                format!("runner-{index}"),
                "runner",
                &json!(engine.address),
            ));
        }
        for index in 0..2 {
            let name = format!("entry-{index}");
            let settings = Fleet::settings(&plan, &name, fleet.platform.address);
            lines.push(line(name, "wellplank", &settings["listen"]["peers"]));
            fleet.start_instance(&settings);
        }
        http::post(fleet.platform.address, "/instances", &json!(lines))
            .await
            .unwrap();
        fleet.apply();
        for index in 0..fleet.instances.len() {
            fleet.ready(index).await;
        }
        fleet
    }

    /// Applies the declaration by the operators' command line.
    fn apply(&self) {
        let file = self.folder.join("declaration.json");
        std::fs::write(&file, json!(Fleet::declaration()).to_string()).unwrap();
        let began = Instant::now();
        let address = self.operators[0].to_string();
        loop {
            let status = Command::new(binary("wellplankctl"))
                .args([
                    "--address",
                    &address,
                    "--key",
                    OPERATOR_KEY,
                    "apply",
                    "--wait",
                    "-f",
                ])
                .arg(&file)
                .stderr(Stdio::null())
                .stdout(Stdio::null())
                .status();
            if status.unwrap().success() {
                return;
            }
            assert!(
                began.elapsed() < PATIENCE,
                "the declaration is not accepted"
            );
            std::thread::sleep(Duration::from_millis(50));
        }
    }

    /// Index of an engine that generates.
    async fn busy(&self) -> usize {
        let began = Instant::now();
        loop {
            for (index, engine) in self.engines.iter().enumerate() {
                let spent = http::get(engine.address, "/control/spent").await;
                if spent.is_some_and(|spent| spent["spent"]["generated"].as_u64() > Some(20)) {
                    return index;
                }
            }
            assert!(began.elapsed() < PATIENCE, "no engine generates");
        }
    }

    async fn ready(&self, index: usize) {
        let began = Instant::now();
        let address = self.operators[index].to_string();
        let mut seen = None;
        loop {
            if let Ok(mut client) = wellplank_ctl::Client::connect(&address, OPERATOR_KEY).await
                && let Ok(status) = client.status().await
                && let status = seen.insert(status)
                && status.ready
                && status
                    .upstreams
                    .iter()
                    .filter(|upstream| upstream.slots > 0)
                    .count()
                    == 4
            {
                return;
            }
            if began.elapsed() > PATIENCE {
                let log = self.folder.join(format!("entry-{index}.log"));
                let log = std::fs::read_to_string(log).unwrap();
                panic!("instance {index} is not ready: {seen:?} {log}");
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    fn start_instance(&mut self, settings: &Value) {
        let name = settings["instance"].as_str().unwrap();
        let file = self.folder.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string()).unwrap();
        let file = file.to_str().unwrap().to_owned();
        let address = settings["listen"]["callers"]
            .as_str()
            .unwrap()
            .parse()
            .unwrap();
        let log = std::fs::File::create(self.folder.join(format!("{name}.log"))).unwrap();
        let arguments = ["run", "--settings", &file];
        let process = Process::spawn(&binary("wellplank"), &arguments, address, log.into());
        self.instances.push(process);
        let operators = settings["listen"]["operators"].as_str().unwrap();
        self.operators.push(operators.parse().unwrap());
    }

    /// Streams a generation through the first instance.
    fn stream(&self, ask: &Ask) -> tokio::task::JoinHandle<Outcome> {
        let address = self.instances[0].address;
        let ask = ask.clone();
        tokio::spawn(async move { caller().generate(address, &ask).await })
    }
}

async fn answers(address: SocketAddr, path: &str) {
    let began = Instant::now();
    while http::get(address, path).await.is_none() {
        assert!(began.elapsed() < PATIENCE, "{address} does not answer");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Path of a binary built beside the stand-ins.
fn binary(name: &str) -> String {
    let standin = std::path::Path::new(env!("CARGO_BIN_EXE_standin"));
    standin.with_file_name(name).to_str().unwrap().to_owned()
}

fn caller() -> Caller {
    Caller {
        key: "hemelarchief".into(),
    }
}

fn summary(tokens: usize) -> Ask {
    Ask::new("notebook-summary", "night log", tokens)
}

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .worker_threads(2)
        .build()
        .unwrap();
    runtime.block_on(test);
}

/// What an engine is done to while it generates.
#[derive(Clone, Copy)]
enum Fault {
    Freeze,
    Kill,
}

/// Streams a generation and causes a fault at its engine halfway; what came.
async fn stream_under(fault: Fault, core: Value) -> (Ask, Outcome) {
    let mut fleet = Processes::start(core).await;
    let ask = summary(200);
    let answer = fleet.stream(&ask);
    let victim = fleet.busy().await;
    match fault {
        Fault::Freeze => fleet.engines[victim].signal("-STOP"),
        Fault::Kill => fleet.engines[victim].child.kill().unwrap(),
    }
    let outcome = answer.await.unwrap();
    if matches!(fault, Fault::Freeze) {
        fleet.engines[victim].signal("-CONT");
    }
    (ask, outcome)
}

/// Streams a generation, ends its instance halfway, and its engine too if asked; the caller goes on
/// at the other instance.
async fn go_on_elsewhere(engine_too: bool) {
    let mut fleet = Processes::start(json!({})).await;
    let ask = summary(200);
    let answer = fleet.stream(&ask);
    let victim = fleet.busy().await;
    fleet.instances[0].child.kill().unwrap();
    if engine_too {
        fleet.engines[victim].child.kill().unwrap();
    }
    let first = answer.await.unwrap();
    expect_that!(first.finished, eq(false));
    let rest = Ask {
        cursor: first.cursor,
        received: first.tokens.clone(),
        ..ask.clone()
    };
    let second = caller().generate(fleet.instances[1].address, &rest).await;
    expect_that!(second.error, none());
    let whole = [first.tokens, second.tokens].concat();
    expect_that!(ask.is_whole(&whole), eq(true));
}

#[gtest]
fn answer_is_whole_though_its_engine_is_killed() {
    run(async {
        let (ask, outcome) = stream_under(Fault::Kill, json!({})).await;
        expect_that!(outcome.error, none());
        expect_that!(ask.is_whole(&outcome.tokens), eq(true));
        expect_that!(outcome.wrong_positions, eq(0));
    });
}

#[gtest]
fn answer_is_not_whole_without_continuation() {
    run(async {
        let core = json!({ "continuation": false });
        let (ask, outcome) = stream_under(Fault::Kill, core).await;
        expect_that!(outcome.error, some(eq("upstream_failed")));
        expect_that!(ask.is_whole(&outcome.tokens), eq(false));
    });
}

#[gtest]
fn answer_is_whole_though_its_engine_is_frozen_and_comes_back() {
    run(async {
        let (ask, outcome) = stream_under(Fault::Freeze, json!({})).await;
        expect_that!(outcome.error, none());
        expect_that!(ask.is_whole(&outcome.tokens), eq(true));
    });
}

#[gtest]
fn caller_goes_on_at_another_instance_after_its_own_is_killed() {
    run(go_on_elsewhere(false));
}

#[gtest]
fn caller_goes_on_after_its_engine_and_its_instance_are_killed() {
    run(go_on_elsewhere(true));
}

#[gtest]
fn planned_stop_cuts_no_answer() {
    run(async {
        let mut fleet = Processes::start(json!({})).await;
        let ask = summary(400);
        let answer = fleet.stream(&ask);
        fleet.busy().await;
        fleet.instances[0].signal("-TERM");
        // The balancer lags: callers still come.
        let late = summary(50);
        let late_outcome = caller().generate(fleet.instances[0].address, &late).await;
        let outcome = answer.await.unwrap();
        expect_that!(ask.is_whole(&outcome.tokens), eq(true));
        expect_that!(late.is_whole(&late_outcome.tokens), eq(true));
        let began = Instant::now();
        while fleet.instances[0].child.try_wait().unwrap().is_none() {
            assert!(began.elapsed() < PATIENCE, "the instance does not leave");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let status = fleet.instances[0].child.wait().unwrap();
        expect_that!(status.success(), eq(true));
    });
}

#[gtest]
fn reservation_runs_at_most_once_though_it_is_asked_for_at_two_instances() {
    run(async {
        let fleet = Processes::start(json!({})).await;
        let key = Uuid::now_v7();
        let body = json!({ "lot": 7 });
        let ask = |index: usize| {
            let (address, body) = (fleet.instances[index].address, body.clone());
            async move {
                caller()
                    .call(address, "reservation", "reserve", &body, Some(key))
                    .await
            }
        };
        let (one, other) = tokio::join!(ask(0), ask(1));
        let statuses = [one.status, other.status];
        expect_that!(statuses, unordered_elements_are![eq(200), eq(409)]);
        let runs = http::get(fleet.yard.address, "/control/runs")
            .await
            .unwrap();
        expect_that!(runs.as_array().unwrap().len(), eq(1));
    });
}

#[gtest]
fn reservation_is_refused_as_not_run_while_the_store_is_down() {
    run(async {
        let fleet = Processes::start(json!({})).await;
        let fault = json!({ "fault": "down" });
        http::post(fleet.platform.address, "/control", &fault)
            .await
            .unwrap();
        let (address, body) = (fleet.instances[0].address, json!({ "lot": 7 }));
        let key = Some(Uuid::now_v7());
        let outcome = caller()
            .call(address, "reservation", "reserve", &body, key)
            .await;
        expect_that!(outcome.error, some(eq("platform_down")));
        expect_that!(outcome.ran, some(eq("no")));
        expect_that!(outcome.retry_after_ms, some(gt(0)));
        let runs = http::get(fleet.yard.address, "/control/runs")
            .await
            .unwrap();
        expect_that!(runs.as_array().unwrap().len(), eq(0));
    });
}

#[gtest]
fn claim_whose_answer_is_lost_is_settled_by_reading_it_back() {
    run(async {
        let fleet = Processes::start(json!({})).await;
        let fault = json!({ "count": 1, "fault": "lose_answers" });
        http::post(fleet.platform.address, "/control", &fault)
            .await
            .unwrap();
        let (address, body) = (fleet.instances[0].address, json!({ "lot": 7 }));
        let key = Some(Uuid::now_v7());
        let outcome = caller()
            .call(address, "reservation", "reserve", &body, key)
            .await;
        expect_that!(outcome.status, eq(200));
        let runs = http::get(fleet.yard.address, "/control/runs")
            .await
            .unwrap();
        expect_that!(runs.as_array().unwrap().len(), eq(1));
    });
}

#[gtest]
fn frozen_instance_wakes_to_the_newest_configuration() {
    run(async {
        let fleet = Processes::start(json!({})).await;
        let operator = async |index: usize| {
            let address = fleet.operators[index].to_string();
            wellplank_ctl::Client::connect(&address, OPERATOR_KEY)
                .await
                .unwrap()
        };
        let mut awake = operator(0).await;
        let before = awake.status().await.unwrap().revision;
        fleet.instances[1].signal("-STOP");
        for note in ["one", "two", "three"] {
            awake
                .apply(Fleet::declaration(), None, false, note)
                .await
                .unwrap();
        }
        fleet.instances[1].signal("-CONT");
        let mut woken = operator(1).await;
        let began = Instant::now();
        let mut last = 0;
        while last < before + 3 {
            let revision = woken.status().await.unwrap().revision;
            assert!(revision >= last, "revision {revision} after {last}");
            last = revision;
            assert!(began.elapsed() < PATIENCE, "still at revision {last}");
        }
    });
}

#[gtest]
fn drained_instance_leaves_when_its_answers_are_whole() {
    run(async {
        let mut fleet = Processes::start(json!({})).await;
        let ask = summary(200);
        let answer = fleet.stream(&ask);
        fleet.busy().await;
        let address = fleet.operators[0].to_string();
        let drained = Command::new(binary("wellplankctl"))
            .args(["--address", &address, "--key", OPERATOR_KEY, "drain"])
            .status();
        expect_that!(drained.unwrap().success(), eq(true));
        expect_that!(ask.is_whole(&answer.await.unwrap().tokens), eq(true));
        expect_that!(fleet.instances[0].child.wait().unwrap().success(), eq(true));
    });
}

/// Guards against a stop that does not end while callers go on coming: a signal that can not be handled ended the process
/// then, with all that ran.
#[gtest]
fn stop_ends_though_callers_go_on_coming() {
    run(async {
        let mut fleet = Processes::start(json!({})).await;
        let address = fleet.instances[0].address;
        fleet.instances[0].signal("-TERM");
        let began = Instant::now();
        let mut refused = 0;
        while fleet.instances[0].child.try_wait().unwrap().is_none() {
            assert!(began.elapsed() < PATIENCE, "the instance does not leave");
            let ask = summary(50);
            let outcome = caller().generate(address, &ask).await;
            if outcome.error.as_deref() == Some("not_ready") {
                expect_that!(outcome.ran, some(eq("no")));
                refused += 1;
                tokio::time::sleep(Duration::from_millis(20)).await;
            } else if outcome.status != 0 {
                expect_that!(ask.is_whole(&outcome.tokens), eq(true));
            }
        }
        expect_that!(refused, gt(0));
        let status = fleet.instances[0].child.wait().unwrap();
        expect_that!(status.success(), eq(true));
    });
}

#[gtest]
fn claimer_frozen_before_it_sends_runs_nothing_twice() {
    run(async {
        let fleet = Processes::start(json!({})).await;
        let key = Some(Uuid::now_v7());
        let body = json!({ "lot": 7 });
        // The claim's answer hangs while the store is down; its claimer is frozen over that time.
        let control = async |fault: &str| {
            let fault = json!({ "fault": fault });
            http::post(fleet.platform.address, "/control", &fault)
                .await
                .unwrap();
        };
        control("down").await;
        let address = fleet.instances[0].address;
        let first = {
            let body = body.clone();
            tokio::spawn(async move {
                caller()
                    .call(address, "reservation", "reserve", &body, key)
                    .await
            })
        };
        tokio::time::sleep(Duration::from_millis(100)).await;
        fleet.instances[0].signal("-STOP");
        control("heal").await;
        let other = fleet.instances[1].address;
        let second = caller()
            .call(other, "reservation", "reserve", &body, key)
            .await;
        fleet.instances[0].signal("-CONT");
        let first = first.await.unwrap();
        let runs = http::get(fleet.yard.address, "/control/runs")
            .await
            .unwrap();
        let answered = [&first, &second]
            .iter()
            .filter(|call| call.finished)
            .count();
        expect_that!(runs.as_array().unwrap().len(), le(1));
        expect_that!(runs.as_array().unwrap().len(), eq(answered));
        for call in [&first, &second] {
            if call.ran.as_deref() == Some("no") {
                expect_that!(call.finished, eq(false));
            }
        }
    });
}
