//! A planned stop on real sockets, for requests in every state: each whole request that an instance has read gets the head
//! of an answer or of a refusal before its connection closes.

use {
    googletest::prelude::*,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{Instant, sleep, sleep_until, timeout},
    },
    wellplank_node::{Settings, hosted::Instance},
    wellplank_standin::{
        client::{Ask, Work},
        host::Host,
        site::{Plan, Site, configuration},
        worker::{EVENT_BYTES, Mode},
    },
};

/// Grace period of instances whose stop it ends.
const GRACE_MS: u64 = 5_000;

/// Grace period of instances that are idle before it ends, on a busy machine too.
const LONG_GRACE_MS: u64 = 12_000;

/// Time before the end of the grace period at which the process ends at the latest.
const EXIT_MARGIN_MS: u64 = 150;

/// Time before the earliest end of the process at which a body becomes whole.
const BODY_MARGIN: Duration = Duration::from_millis(100);

/// Streams that fill all engines, eight at each.
const STREAMS_MAX: usize = 32;

/// Calls that fill both workers which answer calls, eight at each.
const CALLS_MAX: usize = 16;

/// Time that requests have to reach the state that they are in when the stop begins.
const STAGING: Duration = Duration::from_millis(250);

/// Time in which something must come about.
const PATIENCE: Duration = Duration::from_secs(20);

/// Time that callers give their requests, unless they are to end before the grace period does.
const TIMEOUT_MS: &str = "19000";

/// Bytes of an answer that does not fit into the buffers of a connection.
const LONG_ANSWER: &str = "8000000";

/// State of the requests when the stop begins.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    /// The rest of the body arrives shortly before the end of the stop.
    BodyRead,
    /// The caller has some of the answer, or does not read it.
    HeadWritten,
    /// An upstream has the request and has said nothing.
    Sent,
    /// All slots of the upstreams are taken.
    Waits,
}

/// What ends the stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ending {
    /// The grace period runs out.
    Grace,
    /// Nothing runs any more.
    Idle,
}

impl Ending {
    fn grace_ms(self) -> u64 {
        match self {
            Self::Grace => GRACE_MS,
            Self::Idle => LONG_GRACE_MS,
        }
    }
}

/// One instance, a site that it serves, and the connections of its callers.
struct Test {
    callers: SocketAddr,
    ending: Ending,
    fillers: Vec<TcpStream>,
    host: Host,
    instance: Instance,
    site: Site,
    state: State,
}

impl Test {
    async fn start(state: State, ending: Ending) -> Self {
        let plan = Plan {
            instances: 0,
            ..Plan::default()
        };
        let site = Site::start(plan).await;
        // Requests with so much time may wait for longer than the grace period.
        let mut configuration = configuration(2);
        for route in configuration["routes"].as_array_mut().unwrap() {
            route["slo_ms"] = 15_000.into();
            route["timeout_ms"] = 20_000.into();
        }
        site.shelf.put("op/config", &configuration);
        let mut settings = site.settings(0, ending.grace_ms());
        // What finds all slots taken waits.
        settings["core"]["room"] = serde_json::json!({ "refuse": false });
        let settings = Settings::parse(&settings.to_string()).unwrap();
        let hosted = settings.hosted.unwrap();
        let callers = settings.listen.callers;
        let host = Host::new(1);
        let instance = host.run(Instance::start(settings, hosted)).await;
        let test = Self {
            callers,
            ending,
            fillers: Vec::new(),
            host,
            instance: instance.unwrap().unwrap(),
            site,
            state,
        };
        test.serves().await;
        test
    }

    async fn serves(&self) {
        let end = Instant::now() + PATIENCE;
        loop {
            let got = Ask::once("probe").try_open(self.callers).await;
            if got.is_ok_and(|got| got.status().is_success()) {
                return;
            }
            assert!(Instant::now() < end, "the instance does not serve");
            sleep(Duration::from_millis(50)).await;
        }
    }

    fn set(&self, mode: Mode) {
        for seat in self.site.engines.iter().chain(&self.site.desks) {
            seat.worker.set(mode);
        }
    }

    /// Has other requests take all slots: streams of 4 s, and calls that get no answer in their time.
    async fn fill(&mut self) {
        let (streams, timeout_ms) = match self.ending {
            // The second half waits, so that what comes behind it does for longer than the grace period.
            Ending::Grace => (2 * STREAMS_MAX, TIMEOUT_MS),
            Ending::Idle => (STREAMS_MAX, "2000"),
        };
        for seat in &self.site.engines {
            seat.worker.set(Mode::Slow);
        }
        for seat in &self.site.desks {
            seat.worker.set(Mode::Silent);
        }
        for number in 0..streams {
            let ask = Ask::stream(&format!("filler-s{number}"));
            let ask = ask.with("wellplank-timeout-ms", TIMEOUT_MS);
            self.send_filler(&ask).await;
        }
        for number in 0..CALLS_MAX {
            let ask = Ask::once(&format!("filler-c{number}"));
            let ask = ask.with("wellplank-timeout-ms", timeout_ms);
            self.send_filler(&ask).await;
        }
        sleep(STAGING).await;
    }

    async fn send_filler(&mut self, ask: &Ask) {
        let mut stream = TcpStream::connect(self.callers).await.unwrap();
        stream.write_all(&ask.bytes()).await.unwrap();
        self.fillers.push(stream);
    }

    /// The request of one cell.
    fn ask(&self, work: Work) -> Ask {
        let ask = work.ask(&format!("cell-{work:?}"));
        let ask = ask.with("wellplank-timeout-ms", TIMEOUT_MS);
        match (self.state, self.ending, work) {
            (State::Sent, Ending::Idle, _) => ask.with("wellplank-timeout-ms", "2000"),
            (State::HeadWritten, _, Work::Call | Work::Once) => ask.with(EVENT_BYTES, LONG_ANSWER),
            _ => ask,
        }
    }

    /// Whether a request reached an upstream.
    fn has_run(&self, work: Work) -> bool {
        let run = format!("cell-{work:?}");
        let runs = self.site.ledger.runs();
        runs.iter()
            .any(|other| other.header("wellplank-request-id") == run)
    }

    /// Plays the cells of one state and ending, and returns those without an answer.
    async fn play(mut self) -> Vec<String> {
        let (state, ending) = (self.state, self.ending);
        match state {
            State::Waits => self.fill().await,
            State::Sent => self.set(Mode::Silent),
            State::HeadWritten if ending == Ending::Grace => self.set(Mode::Slow),
            State::BodyRead if ending == Ending::Grace => {
                // An answer that nobody reads keeps the instance from being idle.
                let ask = Ask::again("filler").with(EVENT_BYTES, LONG_ANSWER);
                self.send_filler(&ask).await;
            }
            State::BodyRead | State::HeadWritten => {}
        }
        let works = [Work::Stream, Work::Call, Work::Once];
        let mut connections = Vec::new();
        for work in works {
            let mut stream = TcpStream::connect(self.callers).await.unwrap();
            if state != State::BodyRead {
                stream.write_all(&self.ask(work).bytes()).await.unwrap();
            }
            connections.push((work, stream));
        }
        sleep(STAGING).await;
        for (work, stream) in &connections {
            let cell = format!("{state:?} {ending:?} {work:?}");
            // A silent worker records nothing.
            if state != State::Sent {
                assert_eq!(self.has_run(*work), state == State::HeadWritten, "{cell}");
            }
            if state != State::HeadWritten {
                let mut bytes = [0; 2_048];
                let early = timeout(Duration::from_millis(1), stream.peek(&mut bytes)).await;
                let length = early.map_or(0, |length| length.unwrap());
                let answer = String::from_utf8_lossy(&bytes[..length]);
                assert_eq!(answer, "", "{cell} is answered before the stop");
            }
        }
        if state == State::Waits && ending == Ending::Idle {
            self.set(Mode::Good);
        }
        let begun = Instant::now();
        let answers = connections.into_iter().map(|(work, stream)| {
            let bytes = self.ask(work).bytes();
            tokio::spawn(async move { (work, read(stream, bytes, state, ending, begun).await) })
        });
        let answers: Vec<_> = answers.collect();
        self.host.run(self.instance.stop()).await;
        let stopped_ms = begun.elapsed().as_millis() as u64;
        let is_idle = stopped_ms < ending.grace_ms() - EXIT_MARGIN_MS;
        assert_eq!(
            is_idle,
            ending == Ending::Idle,
            "stopped after {stopped_ms} ms"
        );
        self.host.kill();
        let mut failures = Vec::new();
        for answer in answers {
            let (work, head) = answer.await.unwrap();
            println!("{state:?} {ending:?} {work:?}: {head:.300}, stopped after {stopped_ms} ms");
            if !head.starts_with("HTTP/1.1 ") {
                failures.push(format!("{state:?} {ending:?} {work:?}: {head}"));
            }
        }
        failures
    }
}

/// Brings one request to its end; what the caller has read when its connection closes, or when the head is complete.
async fn read(
    mut stream: TcpStream,
    bytes: Vec<u8>,
    state: State,
    ending: Ending,
    begun: Instant,
) -> String {
    // The process ends at the earliest at 3.5 s if it is idle.
    let end = match ending {
        Ending::Grace => Duration::from_millis(GRACE_MS - EXIT_MARGIN_MS),
        Ending::Idle => Duration::from_millis(3_500),
    };
    match state {
        State::BodyRead => {
            sleep_until(begun + end - Duration::from_millis(300)).await;
            let (first, rest) = bytes.split_at(bytes.len() - 5);
            if stream.write_all(first).await.is_err() {
                return "closed within the body".into();
            }
            sleep_until(begun + end - BODY_MARGIN).await;
            if stream.write_all(rest).await.is_err() {
                return "closed within the body".into();
            }
        }
        // Nothing is read until the process has ended.
        State::HeadWritten => sleep_until(begun + end + Duration::from_millis(500)).await,
        State::Sent | State::Waits => {}
    }
    let mut read = Vec::new();
    while !read.windows(4).any(|part| part == b"\r\n\r\n") {
        match stream.read_buf(&mut read).await {
            Ok(0) => break,
            Ok(_) => {}
            Err(error) => {
                let ms = begun.elapsed().as_millis();
                return format!("{error} behind {ms} ms and {} bytes", read.len());
            }
        }
    }
    if read.is_empty() {
        return format!("closed behind {} ms", begun.elapsed().as_millis());
    }
    let ms = begun.elapsed().as_millis();
    format!("{} behind {ms} ms", String::from_utf8_lossy(&read))
}

fn check(state: State, ending: Ending) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    let failures = runtime.block_on(async { Test::start(state, ending).await.play().await });
    runtime.shutdown_background();
    expect_that!(failures, is_empty());
}

/// Guards against a request whose body becomes whole shortly before the end of a stop and that gets no answer.
#[gtest]
fn requests_whose_bodies_are_being_read_are_answered_at_the_end_of_the_grace_period() {
    check(State::BodyRead, Ending::Grace);
}

#[gtest]
fn requests_whose_bodies_are_being_read_are_answered_at_an_idle_exit() {
    check(State::BodyRead, Ending::Idle);
}

/// Guards against an answer that is written and lost with the process.
#[gtest]
fn answers_that_have_begun_reach_callers_at_the_end_of_the_grace_period() {
    check(State::HeadWritten, Ending::Grace);
}

#[gtest]
fn answers_that_have_begun_reach_callers_at_an_idle_exit() {
    check(State::HeadWritten, Ending::Idle);
}

/// Guards against a request that its upstream has, and that ends with the process without a word.
#[gtest]
fn requests_without_a_head_are_answered_at_the_end_of_the_grace_period() {
    check(State::Sent, Ending::Grace);
}

#[gtest]
fn requests_without_a_head_are_answered_at_an_idle_exit() {
    check(State::Sent, Ending::Idle);
}

/// Guards against a request that waits for a slot and ends with the process without a word.
#[gtest]
fn requests_that_wait_are_answered_at_the_end_of_the_grace_period() {
    check(State::Waits, Ending::Grace);
}

#[gtest]
fn requests_that_wait_are_answered_at_an_idle_exit() {
    check(State::Waits, Ending::Idle);
}
