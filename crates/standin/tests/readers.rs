//! Callers and upstreams that read slowly, through real sockets.

use {
    googletest::prelude::*,
    http_body_util::{BodyExt, Full},
    hyper::{Request, body::Incoming},
    hyper_util::rt::TokioIo,
    std::{net::SocketAddr, time::Duration},
    tokio::{
        net::TcpSocket,
        time::{Instant, sleep},
    },
    wellplank_core::settings::UnreadLimits,
    wellplank_standin::{
        client::Ask,
        http,
        site::{Plan, Site, run},
        worker::{self, EVENTS, Mode},
    },
};

/// Time in which something must come about.
const PATIENCE: Duration = Duration::from_secs(10);

/// Size of an event, in bytes: the events of a stream exceed what the sockets between upstream and caller hold, which is
/// some megabytes.
const EVENT_BYTES: usize = 512 << 10;

/// Receive buffer of a caller that reads slowly, in bytes.
const RECEIVE_BYTES: u32 = 16 << 10;

/// Limits that few events reach.
const LIMITS: UnreadLimits = UnreadLimits {
    customer_bytes: 0,
    instance_bytes: 0,
    request_bytes: 64 << 10,
};

fn ask(run: &str) -> Ask {
    Ask::stream(run)
        .with(worker::EVENT_BYTES, &EVENT_BYTES.to_string())
        .with("wellplank-timeout-ms", "9900")
}

fn address(site: &Site) -> SocketAddr {
    site.instances[0].callers
}

/// Sends a request on a connection with a small receive buffer; the body is read only as far as it is asked for.
async fn open(site: &Site, ask: &Ask) -> hyper::Response<Incoming> {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(RECEIVE_BYTES).unwrap();
    let stream = socket.connect(address(site)).await.unwrap();
    let handshake = hyper::client::conn::http1::handshake(TokioIo::new(stream));
    let (mut sender, connection) = handshake.await.unwrap();
    tokio::spawn(connection);
    let mut request = Request::post(ask.path);
    for (name, value) in &ask.headers {
        request = request.header(*name, value);
    }
    let body = Full::new(bytes::Bytes::from(ask.body.clone()));
    sender
        .send_request(request.body(body).unwrap())
        .await
        .unwrap()
}

/// Reads to the end; whether the response ended as it should, and the positions and lengths of its events.
async fn read(response: hyper::Response<Incoming>) -> (bool, Vec<(u64, usize)>) {
    let mut body = response.into_body();
    let mut bytes = Vec::new();
    let mut is_whole = true;
    while let Some(frame) = body.frame().await {
        match frame {
            Ok(frame) => bytes.extend_from_slice(&frame.into_data().unwrap_or_default()),
            Err(_) => is_whole = false,
        }
        if !is_whole {
            break;
        }
    }
    let text = String::from_utf8(bytes).unwrap();
    let events = text.split_inclusive("\n\n").map(|event| {
        let position = event
            .strip_prefix("id: ")
            .and_then(|rest| rest.lines().next());
        (
            position.map_or(0, |text| text.parse().unwrap()),
            event.len(),
        )
    });
    (is_whole, events.collect())
}

fn all_events() -> Vec<(u64, usize)> {
    (1..=EVENTS)
        .map(|position| (position, EVENT_BYTES))
        .collect()
}

/// Value of a metric of the instance; 0 if it has none of the name.
async fn metric(site: &Site, name: &str) -> u64 {
    let uri = format!("http://{}/metrics", site.instances[0].metrics);
    let request = Request::get(uri).body(Full::default()).unwrap();
    let response = http::client().request(request).await.unwrap();
    let page = response.into_body().collect().await.unwrap().to_bytes();
    let page = String::from_utf8(page.to_vec()).unwrap();
    let line = page.lines().find(|line| line.starts_with(name));
    let value = line.and_then(|line| line.rsplit(' ').next());
    value.map_or(0, |value| value.parse::<f64>().unwrap() as u64)
}

/// Waits until a counter of the instance is not 0.
async fn until_counted(site: &Site, event: &str) {
    let end = Instant::now() + PATIENCE;
    let name = format!("wellplank_events_total{{event=\"{event}\"}}");
    while metric(site, &name).await == 0 {
        assert!(Instant::now() < end, "{event} is not counted");
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a stream that is read as fast as its upstream sends while its caller does not read, and against taking
/// the silence of an upstream that is not read for a stall, which would run the stream a second time.
#[gtest]
fn caller_that_stops_reading_later_gets_the_whole_response() {
    let plan = Plan {
        unread: LIMITS,
        ..Plan::default()
    };
    run(plan, async |site: Site| {
        let response = open(&site, &ask("r1")).await;
        until_counted(&site, "reading.paused").await;
        // Longer than the time after which a silent stream is resumed at another upstream.
        sleep(Duration::from_millis(1_500)).await;
        let (is_whole, events) = read(response).await;
        expect_that!(is_whole, eq(true));
        expect_that!(events, eq(&all_events()));
        expect_that!(site.ledger.runs().len(), eq(1));
    });
}

/// Guards against taking an upstream that closes an unread stream for a crashed one, and against losing the rest of the
/// stream or repeating a part of it.
#[gtest]
fn stream_that_its_upstream_cut_unread_is_resumed_behind_the_last_event() {
    let plan = Plan {
        unread: LIMITS,
        ..Plan::default()
    };
    run(plan, async |site: Site| {
        for seat in &site.engines {
            seat.worker.set(Mode::Impatient);
        }
        let response = open(&site, &ask("r1")).await;
        until_counted(&site, "reading.paused").await;
        sleep(Duration::from_millis(1_500)).await;
        let (is_whole, events) = read(response).await;
        let runs = site.ledger.runs();
        expect_that!(is_whole, eq(true));
        expect_that!(events, eq(&all_events()));
        expect_that!(runs.len(), eq(2));
        expect_that!(runs[1].header("last-event-id"), not(eq("")));
        let resumed = "wellplank_events_total{event=\"resumed.unread\"}";
        expect_that!(metric(&site, resumed).await, eq(1));
        let suspected = "wellplank_events_total{event=\"upstream.suspected\"}";
        expect_that!(metric(&site, suspected).await, eq(0));
    });
}

/// Guards against an instance that grows with the number of callers that do not read, against a stream that is given up
/// and seems complete, and against giving up callers that read.
#[gtest]
fn instance_at_its_limit_gives_up_unread_streams_as_incomplete() {
    let plan = Plan {
        unread: UnreadLimits {
            instance_bytes: 2 * EVENT_BYTES as u64,
            ..LIMITS
        },
        ..Plan::default()
    };
    run(plan, async |site: Site| {
        let mut unread = Vec::new();
        for index in 0..4 {
            unread.push(open(&site, &ask(&format!("r{index}"))).await);
        }
        let given_up = "wellplank_events_total{event=\"refused.unread_answer\"}";
        until_counted(&site, "refused.unread_answer").await;
        let small = Ask::stream("small").send(address(&site)).await;
        expect_that!(small.whole, eq(true));
        sleep(Duration::from_secs(1)).await;
        let answers = "wellplank_held_bytes{what=\"answers\"}";
        // What the limit allows, and the chunk of each stream that the connection is writing.
        let most = 2 * EVENT_BYTES + 4 * (EVENT_BYTES + (16 << 10));
        expect_that!(metric(&site, answers).await, le(most as u64));
        let given_up = metric(&site, given_up).await;
        let cut = "wellplank_events_total{event=\"stream_cut.unread_answer\"}";
        expect_that!(metric(&site, cut).await, eq(given_up));
        let mut incomplete = 0;
        for response in unread {
            let (is_whole, events) = read(response).await;
            // The connection may close within an event, which the caller then ignores: it lacks the empty line.
            let is_cut_within = events.last().is_some_and(|(_, bytes)| *bytes < EVENT_BYTES);
            expect_that!(is_cut_within && is_whole, eq(false));
            let complete = &events[..events.len() - usize::from(is_cut_within)];
            expect_that!(all_events().starts_with(complete), eq(true), "{events:?}");
            incomplete += u64::from(!is_whole);
            expect_that!(is_whole, eq(events == all_events()));
        }
        expect_that!(incomplete, eq(given_up));
    });
}

/// Guards against bytes that stay counted when they have been read, or when their caller has left.
#[gtest]
fn nothing_is_held_once_callers_have_read_or_left() {
    let plan = Plan {
        unread: LIMITS,
        ..Plan::default()
    };
    run(plan, async |site: Site| {
        let left = open(&site, &ask("r1")).await;
        let reads = open(&site, &ask("r2")).await;
        until_counted(&site, "reading.paused").await;
        drop(left);
        let (is_whole, _) = read(reads).await;
        expect_that!(is_whole, eq(true));
        sleep(Duration::from_millis(1_200)).await;
        for name in [
            "wellplank_held_bytes{what=\"answers\"}",
            "wellplank_held_bytes{what=\"requests\"}",
            "wellplank_customer_held_bytes",
            "wellplank_paused_streams",
        ] {
            expect_that!(metric(&site, name).await, eq(0), "{name}");
        }
    });
}

/// Guards against a planned stop that cuts a response which is complete but not yet read.
#[gtest]
fn planned_stop_waits_for_callers_that_still_read() {
    let plan = Plan {
        unread: UnreadLimits {
            request_bytes: 0,
            ..LIMITS
        },
        ..Plan::default()
    };
    run(plan, async |mut site: Site| {
        let response = open(&site, &ask("r1")).await;
        until_counted(&site, "answered").await;
        let reading = tokio::spawn(async {
            sleep(Duration::from_secs(4)).await;
            read(response).await
        });
        site.instances[0].stop().await;
        let (is_whole, events) = reading.await.unwrap();
        expect_that!(is_whole, eq(true));
        expect_that!(events, eq(&all_events()));
    });
}

/// Guards against missing the end of an event that arrives in two parts.
#[gtest]
fn events_that_arrive_in_parts_are_forwarded() {
    run(Plan::default(), async |site: Site| {
        for seat in &site.engines {
            seat.worker.set(Mode::Split);
        }
        let ask = Ask::stream("r1");
        let got = ask.send(address(&site)).await;
        expect_that!(got.whole, eq(true));
        expect_that!(got.body, eq(&worker::events(&ask.body, 0)));
        expect_that!(site.ledger.runs().len(), eq(1));
    });
}

/// Guards against complete responses that are not counted, or that stay counted when they have been read.
#[gtest]
fn complete_response_is_counted_until_its_caller_has_read_it() {
    const BYTES: usize = 16 << 20;
    run(Plan::default(), async |site: Site| {
        let ask = Ask::again("r1").with(worker::EVENT_BYTES, &BYTES.to_string());
        let response = open(&site, &ask).await;
        sleep(Duration::from_secs(1)).await;
        let held = "wellplank_held_bytes{what=\"answers\"}";
        expect_that!(metric(&site, held).await, eq(BYTES as u64));
        let body = response.into_body().collect().await.unwrap().to_bytes();
        expect_that!(body.len(), eq(BYTES));
        sleep(Duration::from_secs(1)).await;
        expect_that!(metric(&site, held).await, eq(0));
    });
}

/// Guards against a stream that counts as answered alone though its caller's connection closed before it had taken all of
/// it.
#[gtest]
fn stream_whose_caller_leaves_behind_its_last_event_is_counted_as_cut() {
    let plan = Plan {
        unread: UnreadLimits {
            customer_bytes: 0,
            instance_bytes: 0,
            request_bytes: 0,
        },
        ..Plan::default()
    };
    run(plan, async |site: Site| {
        let response = open(&site, &ask("r1")).await;
        until_counted(&site, "answered").await;
        let cut = "wellplank_events_total{event=\"stream_cut.caller_gone\"}";
        expect_that!(metric(&site, cut).await, eq(0));
        drop(response);
        until_counted(&site, "stream_cut.caller_gone").await;
        expect_that!(metric(&site, cut).await, eq(1));
    });
}
