//! What an instance on the users' platform logs and counts, as a process of its own.

use {
    googletest::prelude::*,
    http_body_util::{BodyExt, Full},
    hyper::{Request, body::Bytes},
    serde_json::Value,
    std::{
        net::SocketAddr,
        path::PathBuf,
        process::{Child, Command, Stdio},
        time::Duration,
    },
    tokio::time::{Instant, sleep},
    wellplank_standin::{
        client::{Ask, Got},
        http,
        site::{KEY, Plan, Site},
        worker::Mode,
    },
};

/// Time in which something must come about.
const PATIENCE: Duration = Duration::from_secs(20);

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
    /// Starts an instance whose log goes to a file, or to a pipe that nobody reads.
    async fn start(read: bool) -> Self {
        let plan = Plan {
            instances: 0,
            ..Plan::default()
        };
        let site = Site::start(plan).await;
        let settings = site.settings(0, 5_000);
        let name = format!("wellplank-{}.json", uuid::Uuid::new_v4());
        let file = std::env::temp_dir().join(name);
        std::fs::write(&file, settings.to_string()).unwrap();
        let output = if read {
            let log = std::fs::File::create(file.with_extension("log")).unwrap();
            Stdio::from(log)
        } else {
            Stdio::piped()
        };
        let standin = PathBuf::from(env!("CARGO_BIN_EXE_standin"));
        let child = Command::new(standin.with_file_name("wellplank"))
            .args(["run", "--settings"])
            .arg(&file)
            .stdout(output)
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

    fn log(&self) -> PathBuf {
        self.file.with_extension("log")
    }

    /// Lines logged so far.
    fn lines(&self) -> Vec<Value> {
        let text = std::fs::read_to_string(self.log()).unwrap();
        let lines = text.lines().filter(|line| line.ends_with('}'));
        lines
            .map(|line| serde_json::from_str(line).unwrap())
            .collect()
    }

    /// Waits for a line with a message and, if given, of a request.
    async fn line(&self, message: &str, request: Option<&str>) -> Value {
        let end = Instant::now() + PATIENCE;
        loop {
            let found = self.lines().into_iter().find(|line| {
                line["message"] == message && request.is_none_or(|name| line["request"] == name)
            });
            if let Some(line) = found {
                return line;
            }
            assert!(Instant::now() < end, "no line `{message}` of {request:?}");
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn page(&self) -> String {
        let uri = format!("http://{}/metrics", self.address("/hosted/metrics"));
        let request = Request::get(uri).body(Full::<Bytes>::default()).unwrap();
        let response = http::client().request(request).await.unwrap();
        let body = response.into_body().collect().await.unwrap();
        String::from_utf8(body.to_bytes().to_vec()).unwrap()
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

    fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status();
        assert!(sent.unwrap().success());
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

#[gtest]
fn request_is_followed_from_its_name_to_its_upstreams() {
    run(async || {
        let mut test = Test::start(true).await;
        let ask = Ask::stream("name-1");
        let response = ask.open(test.callers()).await;
        let sent = test.line("sent", Some("name-1")).await;
        expect_that!(sent["list_age_ms"].as_u64(), some(lt(12_000)));
        sleep(Duration::from_millis(100)).await;
        let upstream = sent["upstream"].as_str().unwrap();
        let mut engines = test.site.engines.iter();
        let engine = engines
            .position(|seat| seat.worker.name == upstream)
            .unwrap();
        test.site.engines[engine].host.kill();
        let got = Got::read(response, usize::MAX).await;
        expect_that!(got.whole, eq(true));
        let lost = test.line("attempt lost", Some("name-1")).await;
        expect_that!(lost["reason"], eq("broken"));
        expect_that!(lost["upstream"], eq(upstream));
        let answered = test.line("answered", Some("name-1")).await;
        expect_that!(answered["upstream"], eq(&sent["backup"]));
        expect_that!(answered["customer"], eq("mill"));
        let doubted = test.line("upstream", None).await;
        expect_that!(doubted["belief"].as_str(), some(not(eq(""))));
    });
}

#[gtest]
fn no_line_holds_a_key_a_body_or_a_prompt() {
    run(async || {
        let test = Test::start(true).await;
        let secret = "what-only-the-caller-knows";
        let mut ask = Ask::stream("name-1").with("wellplank-prefix-hash", "5c1e07a2:200");
        ask.body = secret.as_bytes().to_vec();
        ask.send(test.callers()).await;
        let stranger = Ask::once("name-2").with("authorization", "Token strange-key");
        stranger.send(test.callers()).await;
        test.line("answered", Some("name-1")).await;
        let text = std::fs::read_to_string(test.log()).unwrap();
        for hidden in [KEY, secret, "strange-key", "5c1e07a2"] {
            expect_that!(text, not(contains_substring(hidden)));
        }
    });
}

#[gtest]
fn instance_serves_though_nobody_reads_its_log() {
    run(async || {
        let test = Test::start(false).await;
        for seat in &test.site.desks {
            seat.worker.set(Mode::Refuse);
        }
        let mut dropped = 0;
        for run in 0..20_000 {
            let got = Ask::once(&format!("r{run}")).send(test.callers()).await;
            expect_that!(got.status.as_u16(), eq(503));
            if run % 200 == 199 {
                dropped = dropped_lines(&test.page().await);
                if dropped > 0 {
                    break;
                }
            }
        }
        expect_that!(dropped, gt(0));
    });
}

fn dropped_lines(page: &str) -> u64 {
    let line = page
        .lines()
        .find(|line| line.starts_with("wellplank_log_lines_dropped_total "));
    let value = line.and_then(|line| line.split_once(' '));
    value.map_or(0, |(_, value)| value.parse().unwrap())
}

#[gtest]
fn page_has_counters_and_latencies() {
    run(async || {
        let test = Test::start(true).await;
        Ask::stream("name-1").send(test.callers()).await;
        Ask::once("name-2").send(test.callers()).await;
        let page = test.page().await;
        expect_that!(
            page,
            contains_substring("wellplank_events_total{event=\"answered\"} 2")
        );
        for what in ["answer", "first_event", "pause", "store_call"] {
            let line = format!("wellplank_latency_ms_count{{what=\"{what}\"}}");
            expect_that!(page, contains_substring(line));
        }
    });
}

/// Guards against a process that the system ends for its memory, or whose thread one task keeps, without a figure that shows it.
#[gtest]
fn page_has_the_memory_of_the_process_and_the_gap_between_ticks() {
    run(async || {
        let test = Test::start(true).await;
        let value = |page: &str, name: &str| {
            let line = page.lines().find_map(|line| line.strip_prefix(name))?;
            line.trim().parse::<u64>().ok()
        };
        let end = Instant::now() + PATIENCE;
        let (resident, gap) = loop {
            let page = test.page().await;
            let resident = value(&page, "wellplank_resident_bytes").unwrap_or(0);
            let gap = value(&page, "wellplank_tick_gap_ms").unwrap_or(0);
            if (resident > 0 && gap > 0) || Instant::now() >= end {
                break (resident, gap);
            }
            sleep(Duration::from_millis(50)).await;
        };
        // A program with its libraries takes more than a mebibyte, and ticks are 10 ms apart.
        expect_that!(resident, gt(1 << 20));
        expect_that!(gap, ge(9));
    });
}

#[gtest]
fn settings_are_read_again_on_a_signal_and_faults_change_nothing() {
    run(async || {
        let test = Test::start(true).await;
        test.signal("-HUP");
        let line = test.line("settings read again", None).await;
        expect_that!(line["cause"], eq("signal"));
        std::fs::write(&test.file, "{").unwrap();
        test.signal("-HUP");
        let end = Instant::now() + PATIENCE;
        let stays = |line: &Value| {
            let message = line["message"].as_str().unwrap_or_default();
            message.starts_with("the settings in force stay")
        };
        while !test.lines().iter().any(stays) {
            assert!(Instant::now() < end, "the fault is not told");
            sleep(Duration::from_millis(20)).await;
        }
        let got = Ask::once("name-1").send(test.callers()).await;
        expect_that!(got.status.as_u16(), eq(200));
    });
}

#[gtest]
fn planned_stop_ends_the_process_well() {
    run(async || {
        let mut test = Test::start(true).await;
        test.signal("-TERM");
        let end = Instant::now() + PATIENCE;
        let status = loop {
            if let Some(status) = test.child.try_wait().unwrap() {
                break status;
            }
            assert!(Instant::now() < end, "the process goes on");
            sleep(Duration::from_millis(20)).await;
        };
        expect_that!(status.success(), eq(true));
        test.line("stopping", None).await;
        test.line("stopped", None).await;
    });
}

/// Guards against a stream that ends unfinished without a line, a count or the age of the configuration in force.
#[gtest]
fn stream_that_its_caller_leaves_is_a_cut() {
    run(async || {
        let test = Test::start(true).await;
        for seat in &test.site.engines {
            seat.worker.set(Mode::Slow);
        }
        let response = Ask::stream("name-1").open(test.callers()).await;
        let got = Got::read(response, 1).await;
        expect_that!(got.whole, eq(true));
        let cut = test.line("stream cut", Some("name-1")).await;
        expect_that!(cut["cause"], eq("caller_gone"));
        expect_that!(cut["position"].as_u64(), some(gt(0)));
        expect_that!(cut["configuration_age_ms"].as_u64(), some(gt(0)));
        expect_that!(cut["revision"].as_u64(), some(gt(0)));
        let page = test.page().await;
        for line in [
            "wellplank_events_total{event=\"stream_cut.caller_gone\"} 1",
            "wellplank_latency_ms_count{what=\"cut_configuration_age\"} 1",
        ] {
            expect_that!(page, contains_substring(line));
        }
    });
}

/// Guards against a stream that the core gives up whose line does not say that its caller had begun to read, or whose cut
/// has another cause than its failure.
#[gtest]
fn stream_that_is_given_up_is_a_cut_with_the_kind_of_its_failure() {
    run(async || {
        let mut test = Test::start(true).await;
        for seat in &test.site.engines {
            seat.worker.set(Mode::Slow);
        }
        let response = Ask::stream("name-1").open(test.callers()).await;
        for seat in &mut test.site.engines {
            seat.host.kill();
        }
        let got = Got::read(response, usize::MAX).await;
        expect_that!(got.whole, eq(false));
        let failed = test.line("failed", Some("name-1")).await;
        expect_that!(failed["has_head"], eq("true"));
        let cut = test.line("stream cut", Some("name-1")).await;
        expect_that!(cut["cause"], eq(&failed["kind"]));
        expect_that!(cut["position"], eq(&failed["position"]));
        let counter = format!(
            "event=\"stream_cut.{}\"}} 1",
            cut["cause"].as_str().unwrap()
        );
        expect_that!(test.page().await, contains_substring(counter));
        let late = Ask::stream("name-2").send(test.callers()).await;
        expect_that!(late.status.is_success(), eq(false));
        let failed = test
            .lines()
            .into_iter()
            .find(|line| line["message"] == "failed" && line["request"] == "name-2");
        let has_head = failed.map(|line| line["has_head"].clone());
        expect_that!(has_head.unwrap_or("false".into()), eq("false"));
        let cuts = test
            .lines()
            .into_iter()
            .filter(|line| line["message"] == "stream cut");
        expect_that!(cuts.count(), eq(1));
    });
}
