//! Answers of upstreams that stop, in each framing and at each byte, on real sockets: what is not known to be whole does not
//! look whole to callers.

use {
    futures_util::{StreamExt, stream},
    googletest::prelude::*,
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        time::{sleep, timeout},
    },
    wellplank_standin::{
        client::{Ask, Work},
        host::Host,
        site::{Plan, Site, run},
        truncated::{End, Framing, Question, Script, Truncator},
        uplink::State,
    },
};

/// Time that an answer may take.
const ANSWER_TIME: Duration = Duration::from_secs(12);

/// Requests that are open at the same time.
const OPEN_REQUESTS: usize = 12;

/// Tries of a sound request between two others.
const SOUND_TRIES: usize = 12;

/// Pause between two of them.
const SOUND_PAUSE: Duration = Duration::from_millis(60);

/// Bytes between two places within a head at which answers are cut, where not each one is tried.
const HEAD_STEP: usize = 61;

/// A caller's connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Connection {
    /// HTTP/1.0, closed behind the answer.
    Http10,
    /// HTTP/1.0, kept if the instance agrees.
    Http10Kept,
    /// HTTP/1.1, closed behind the answer.
    Http11Closed,
    /// HTTP/1.1, kept.
    Http11,
}

impl Connection {
    const ALL: [Self; 4] = [
        Self::Http10,
        Self::Http10Kept,
        Self::Http11Closed,
        Self::Http11,
    ];
}

/// One request and what its upstream answers.
#[derive(Clone, Copy, Debug)]
struct Case {
    connection: Connection,
    kind: Work,
    script: Script,
}

/// How an answer ended as its caller sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Ending {
    /// It has its length, or its last chunk.
    Marked,
    /// It has neither a length nor chunks, and its connection was closed in order.
    Closed,
    /// It is not complete.
    Broken,
}

/// What a caller got.
#[derive(Debug)]
struct Got {
    body: String,
    ending: Ending,
    status: u16,
}

impl Got {
    /// Parses all bytes of a connection; `None` if they hold no head.
    fn parse(bytes: &[u8], is_reset: bool) -> Option<Self> {
        let text = String::from_utf8_lossy(bytes);
        let (head, rest) = text.split_once("\r\n\r\n")?;
        let head = head.to_ascii_lowercase();
        let status = head.split(' ').nth(1)?.parse().ok()?;
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let (body, ending) = if head.contains("transfer-encoding: chunked") {
            read_chunks(rest)
        } else if let Some(length) = length {
            let length = length.parse().ok()?;
            match rest.get(..length) {
                Some(body) => (body.to_owned(), Ending::Marked),
                None => (rest.to_owned(), Ending::Broken),
            }
        } else if is_reset {
            (rest.to_owned(), Ending::Broken)
        } else {
            (rest.to_owned(), Ending::Closed)
        };
        Some(Self {
            body,
            ending,
            status,
        })
    }
}

/// The body in chunks, and whether the last chunk came.
fn read_chunks(mut rest: &str) -> (String, Ending) {
    let mut body = String::new();
    loop {
        let Some((length, behind)) = rest.split_once("\r\n") else {
            return (body, Ending::Broken);
        };
        let Ok(length) = usize::from_str_radix(length, 16) else {
            return (body, Ending::Broken);
        };
        if length == 0 {
            let ending = if behind.starts_with("\r\n") {
                Ending::Marked
            } else {
                Ending::Broken
            };
            return (body, ending);
        }
        let Some(data) = behind.get(..length + 2) else {
            return (body, Ending::Broken);
        };
        body.push_str(&data[..length]);
        rest = &behind[length + 2..];
    }
}

/// Sends a request and reads until its answer is complete or the connection ends; `None` if no answer begins.
async fn ask(address: SocketAddr, case: Case, request_id: &str) -> Option<Got> {
    let mut socket = TcpStream::connect(address).await.ok()?;
    let connection = match case.connection {
        Connection::Http10 | Connection::Http11Closed => "close",
        Connection::Http10Kept | Connection::Http11 => "keep-alive",
    };
    let ask: Ask = case.kind.ask(request_id).with("connection", connection);
    let mut bytes = ask.bytes();
    if matches!(case.connection, Connection::Http10 | Connection::Http10Kept) {
        let text = String::from_utf8(bytes).expect("the request is text");
        bytes = text.replacen("HTTP/1.1", "HTTP/1.0", 1).into_bytes();
    }
    socket.write_all(&bytes).await.ok()?;
    let mut answer = Vec::new();
    let end = Instant::now() + ANSWER_TIME;
    loop {
        let left = end.saturating_duration_since(Instant::now());
        let read = timeout(left, socket.read_buf(&mut answer)).await;
        let is_reset = !matches!(read, Ok(Ok(_)));
        let is_over = is_reset || matches!(read, Ok(Ok(0)));
        let got = Got::parse(&answer, is_reset);
        if is_over || got.as_ref().is_some_and(|got| got.ending == Ending::Marked) {
            return got;
        }
    }
}

/// Why an answer looks more complete than it is known to be; `None` if it does not.
fn fault(case: Case, got: &Got, attempts: usize) -> Option<String> {
    let is_success = (200..300).contains(&got.status);
    if !is_success || got.ending == Ending::Broken {
        return None;
    }
    let question = Question {
        streams: matches!(case.kind, Work::Stream),
        ..Question::default()
    };
    let is_whole = got.body == question.body();
    // An answer with a length or chunks came, or a second upstream ended the stream behind the same event.
    let is_known_whole = (case.script.recovers && attempts > 1)
        || !case.script.framing.ends_by_close()
        || (question.streams && attempts > 1);
    let is_allowed = match got.ending {
        Ending::Marked => is_whole && is_known_whole,
        // The caller knows as much as the instance: the upstream closed its connection in order too.
        Ending::Closed => {
            is_whole || (case.script.framing.ends_by_close() && case.script.end.is_orderly())
        }
        Ending::Broken => true,
    };
    (!is_allowed).then(|| format!("{case:?}, {attempts} attempts: {got:?}"))
}

/// Tally of a run.
#[derive(Debug, Default)]
struct Tally {
    /// Requests.
    asked: usize,
    /// Requests that reached an upstream.
    sent: usize,
    /// Successes that look whole by a length or chunks.
    marked: usize,
    /// Successes that end with their connection, in order.
    closed: usize,
    /// Successes that are broken off.
    broken: usize,
    /// Failures, and requests without an answer.
    failed: usize,
    /// Answers that look more complete than they are known to be.
    faults: Vec<String>,
}

impl Tally {
    fn add(&mut self, case: Case, got: Option<Got>, attempts: usize) {
        self.asked += 1;
        self.sent += usize::from(attempts > 0);
        let Some(got) = got else {
            self.failed += 1;
            return;
        };
        match got.ending {
            _ if got.status != 200 => self.failed += 1,
            Ending::Marked => self.marked += 1,
            Ending::Closed => self.closed += 1,
            Ending::Broken => self.broken += 1,
        }
        self.faults.extend(fault(case, &got, attempts));
    }
}

/// Brings all cases to an instance; through a tunnel if it reaches no upstream itself.
async fn play(site: &mut Site, cases: Vec<Case>) -> Tally {
    let truncator = Truncator::default();
    let host = Host::new(1);
    for seat in site.engines.iter_mut().chain(&mut site.desks) {
        seat.host.kill();
        host.spawn(truncator.clone().serve(seat.worker.address));
    }
    sleep(Duration::from_millis(200)).await;
    let address = site.instances[0].callers;
    let answers = stream::iter(cases.into_iter().enumerate()).map(|(number, case)| {
        let truncator = &truncator;
        async move {
            let request_id = format!("case-{number}");
            truncator.expect(&request_id, case.script);
            // A sound answer between the others, so that upstreams are not left alone for long.
            for sound in 0..SOUND_TRIES {
                let got = ask(address, case, &format!("sound-{number}-{sound}")).await;
                if got.is_some_and(|got| got.status == 200) {
                    break;
                }
                sleep(SOUND_PAUSE).await;
            }
            let got = ask(address, case, &request_id).await;
            (case, got, truncator.attempts(&request_id))
        }
    });
    let mut answers = answers.buffer_unordered(OPEN_REQUESTS);
    let mut tally = Tally::default();
    while let Some((case, got, attempts)) = answers.next().await {
        tally.add(case, got, attempts);
    }
    tally
}

fn plan(tunnelled: bool) -> Plan {
    Plan {
        desks: 8,
        engines: 16,
        instances: if tunnelled { 2 } else { 1 },
        links: tunnelled,
        ..Plan::default()
    }
}

/// The cases of all framings, cut in steps within the head and at each byte behind it.
fn cases(kinds: &[Work], framings: &[Framing], recovers: bool) -> Vec<Case> {
    let mut cases = Vec::new();
    for &kind in kinds {
        for &framing in framings {
            for end in End::ALL {
                let script = Script {
                    bytes: usize::MAX,
                    end,
                    framing,
                    paused: false,
                    recovers,
                };
                let question = Question {
                    request_id: "case-1000".into(),
                    streams: matches!(kind, Work::Stream),
                    ..Question::default()
                };
                let head = script.head(&question).len();
                let whole = script.answer(&question).len();
                let in_head = (0..head).step_by(HEAD_STEP);
                let body_step = if question.streams { 29 } else { 6 };
                let behind = (head - 1..whole)
                    .step_by(body_step)
                    .chain([head])
                    .chain(whole - 2..=whole);
                for (index, bytes) in in_head.chain(behind).enumerate() {
                    let script = Script {
                        bytes,
                        paused: index % 3 == 0,
                        ..script
                    };
                    let connection = Connection::ALL[cases.len() % Connection::ALL.len()];
                    cases.push(Case {
                        connection,
                        kind,
                        script,
                    });
                }
            }
        }
    }
    cases
}

/// Whether a call is answered without a length to a caller of HTTP/1.1.
fn is_unmarked_call_of_http_1_1(case: &Case) -> bool {
    let is_http_1_1 = matches!(
        case.connection,
        Connection::Http11 | Connection::Http11Closed
    );
    is_http_1_1 && case.script.framing.ends_by_close() && !matches!(case.kind, Work::Stream)
}

/// The cases of all framings but those of [`is_unmarked_call_of_http_1_1`].
fn other_cases(kinds: &[Work], recovers: bool) -> Vec<Case> {
    let mut cases = cases(kinds, &Framing::ALL, recovers);
    cases.retain(|case| !is_unmarked_call_of_http_1_1(case));
    cases
}

/// Plays cases and expects that no answer looks more complete than it is known to be.
fn expect_none(tunnelled: bool, cases: Vec<Case>) {
    run(plan(tunnelled), async |mut site: Site| {
        if tunnelled {
            site.instances[0].set_links(State::Refuses);
        }
        let mut tally = play(&mut site, cases).await;
        let faults = std::mem::take(&mut tally.faults);
        println!("{} faults, {tally:?}", faults.len());
        for fault in &faults {
            println!("  {fault}");
        }
        expect_that!(faults.len(), eq(0));
        // Upstreams that break off get little work for a while.
        expect_that!(
            tally.sent * 2,
            ge(tally.asked),
            "too few reached an upstream"
        );
    });
}

// Guards against a call's answer that stops and is passed on as if it were whole.
#[gtest]
fn answer_to_a_call_that_stops_does_not_look_whole() {
    expect_none(false, other_cases(&[Work::Once, Work::Call], false));
}

// Guards against a head that stops at any of its bytes and is taken for an answer.
#[gtest]
fn head_that_stops_at_any_byte_is_no_answer() {
    let script = Script {
        bytes: 0,
        end: End::Close,
        framing: Framing::Length,
        paused: false,
        recovers: false,
    };
    let question = Question {
        request_id: "case-100".into(),
        ..Question::default()
    };
    let cases = (0..=script.head(&question).len()).map(|bytes| Case {
        connection: Connection::ALL[bytes % Connection::ALL.len()],
        kind: Work::Once,
        script: Script { bytes, ..script },
    });
    expect_none(false, cases.collect());
}

// Guards against an answer that stops and takes the place of the whole one that another upstream gives.
#[gtest]
fn answer_that_stops_gives_way_to_a_whole_one() {
    expect_none(false, other_cases(&[Work::Call, Work::Stream], true));
}

// Guards against a stream that stops and is ended as if its last event had come.
#[gtest]
fn stream_that_stops_does_not_look_whole() {
    expect_none(false, other_cases(&[Work::Stream], false));
}

// Guards against a gateway that turns the reset of an upstream's connection into an orderly end.
#[gtest]
fn answer_that_stops_within_a_tunnel_does_not_look_whole() {
    expect_none(true, other_cases(&[Work::Once], false));
}

// Guards against a call's answer without a length that is passed on with one, though its upstream may have ended early.
#[gtest]
fn answer_without_a_length_does_not_look_whole_to_callers_of_http_1_1() {
    let mut cases = cases(&[Work::Once], &Framing::ALL, false);
    cases.retain(is_unmarked_call_of_http_1_1);
    expect_none(false, cases);
}
