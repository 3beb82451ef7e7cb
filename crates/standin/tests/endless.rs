//! What an instance keeps of answers that do not end, and what becomes of other requests meanwhile.

use {
    futures_util::future::{join, join_all},
    googletest::prelude::*,
    http_body_util::{BodyExt, Full},
    hyper::{Request, body::Bytes},
    std::{
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::{sync::watch, time::sleep},
    wellplank_standin::{
        client::{Ask, Got},
        endless::Endless,
        http,
        site::{Plan, Seat, Site, run},
        uplink::State,
        worker::{self, Mode},
    },
};

/// Latency objective of the site's routes.
const OBJECTIVE: Duration = Duration::from_secs(1);

/// Time in which a request whose upstream does not end its answer must have an answer: well before its deadline of 9 s.
const ANSWERED: Duration = Duration::from_secs(4);

/// Bytes that may be on their way in the buffers of a connection's two sockets.
const SOCKETS: u64 = 16 << 20;

/// Largest whole answer and largest event that an instance reads.
const BODY: u64 = 16 << 20;
const EVENT: u64 = 2 << 20;

/// Bytes of all answers together that an instance reads.
const ALL: u64 = 32 << 20;

/// Counter of answers that were ended since those read together exceed their bound: three whole ones do, if they are read at
/// the same pace.
const OF_INSTANCE: &str = "answer_bound.instance";

/// Requests at a faulty upstream at the same time.
const ASKED: usize = 3;

/// Pause between two other requests.
const OTHERS_PAUSE: Duration = Duration::from_millis(30);

/// Other requests that are sent at least.
const OTHERS_MIN: usize = 5;

/// What came of requests at faulty upstreams.
struct Flooded {
    /// The answers, and the time that each took.
    answers: Vec<(Got, Duration)>,
    /// The longest time that another request took.
    others: Duration,
    /// Bytes that the upstreams could write.
    written: u64,
}

fn address(site: &Site) -> SocketAddr {
    site.instances[0].callers
}

async fn timed(site: &Site, ask: Ask) -> (Got, Duration) {
    let sent = Instant::now();
    let got = ask.send(address(site)).await;
    (got, sent.elapsed())
}

/// Sends other requests until `over`; the longest time until an answer or its first event.
async fn longest(site: &Site, ask: fn(&str) -> Ask, over: watch::Receiver<bool>) -> Duration {
    let mut longest = Duration::ZERO;
    for number in 0.. {
        if *over.borrow() && number >= OTHERS_MIN {
            break;
        }
        let sent = Instant::now();
        let response = ask(&format!("other-{number}")).open(address(site)).await;
        let got = Got::read(response, 1).await;
        expect_that!(got.status.as_u16(), eq(200), "{}", got.body);
        longest = longest.max(sent.elapsed());
        sleep(OTHERS_PAUSE).await;
    }
    longest
}

/// Has upstreams answer without an end, asks them, and others meanwhile.
async fn flood(
    site: &Site,
    seats: &[Seat],
    endless: Endless,
    ask: fn(&str) -> Ask,
    other: fn(&str) -> Ask,
) -> Flooded {
    for seat in seats {
        seat.worker.set(Mode::Endless(endless));
    }
    let (ended, over) = watch::channel(false);
    let asked = async {
        let asked = (0..ASKED).map(|number| timed(site, ask(&format!("flood-{number}"))));
        let answers = join_all(asked).await;
        ended.send_replace(true);
        answers
    };
    let (answers, others) = join(asked, longest(site, other, over)).await;
    Flooded {
        answers,
        others,
        written: seats.iter().map(|seat| seat.worker.written()).sum(),
    }
}

/// A metric of the instance; 0 if it has none of that name.
async fn metric(site: &Site, name: &str) -> u64 {
    let request = Request::get(format!("http://{}/metrics", site.instances[0].metrics));
    let request = request.body(Full::<Bytes>::default()).expect("a uri");
    let response = http::client().request(request).await.expect("the metrics");
    let page = response.into_body().collect().await.expect("the metrics");
    let page = String::from_utf8(page.to_bytes().to_vec()).expect("text");
    let value = page.lines().find_map(|line| line.strip_prefix(name));
    value.map_or(0, |value| value.trim().parse().expect("a number"))
}

/// A counter of the instance.
async fn count(site: &Site, event: &str) -> u64 {
    metric(
        site,
        &format!("wellplank_events_total{{event=\"{event}\"}}"),
    )
    .await
}

/// Has the plain services answer without an end: what they could write, at a bound of so many bytes that are kept.
fn calls_are_bounded(endless: Endless, bound: &'static str, bytes: u64) {
    run(Plan::default(), async move |site: Site| {
        let flooded = flood(&site, &site.desks, endless, Ask::once, Ask::stream).await;
        for (got, took) in &flooded.answers {
            expect_that!(got.status.as_u16(), eq(502), "{}", got.body);
            expect_that!(*took, lt(ANSWERED));
        }
        expect_that!(flooded.others, lt(OBJECTIVE));
        expect_that!(flooded.written, le(ASKED as u64 * (bytes + SOCKETS)));
        let ended = count(&site, bound).await + count(&site, OF_INSTANCE).await;
        expect_that!(ended, eq(ASKED as u64));
    });
}

/// Guards against an instance that keeps all of a body that has no length.
#[gtest]
fn body_without_a_length_that_does_not_end_is_not_kept() {
    calls_are_bounded(Endless::Close, "answer_bound.body", BODY);
}

/// Guards against an instance that keeps all of a body that has a length beyond any bound.
#[gtest]
fn body_of_a_length_beyond_the_bound_is_not_read() {
    calls_are_bounded(Endless::Length, "answer_bound.body", 0);
}

/// Guards against an instance that keeps all chunks of a body.
#[gtest]
fn chunks_that_do_not_end_are_not_kept() {
    calls_are_bounded(Endless::Chunks, "answer_bound.body", BODY);
}

/// Guards against a connection that reads informational heads without giving way.
#[gtest]
fn informational_heads_that_do_not_end_hold_up_no_other_request() {
    calls_are_bounded(Endless::Informational, "answer_bound.head", 128 << 10);
}

/// Guards against a connection that reads small chunks without giving way.
#[gtest]
fn chunks_of_one_byte_hold_up_no_other_request() {
    run(Plan::default(), async |site: Site| {
        let ask = |run: &str| Ask::once(run).with("wellplank-timeout-ms", "3000");
        let flooded = flood(&site, &site.desks, Endless::TinyChunks, ask, Ask::stream).await;
        for (got, took) in &flooded.answers {
            expect_that!(got.status.is_server_error(), eq(true));
            expect_that!(*took, lt(ANSWERED));
        }
        expect_that!(flooded.others, lt(OBJECTIVE));
    });
}

/// Guards against an instance that reads what follows a whole answer.
#[gtest]
fn bytes_behind_a_whole_answer_are_not_read() {
    run(Plan::default(), async |site: Site| {
        let flooded = flood(&site, &site.desks, Endless::Behind, Ask::once, Ask::stream).await;
        for (got, _) in &flooded.answers {
            expect_that!(got.status.as_u16(), eq(200));
            expect_that!(got.body, eq("ok"));
        }
        expect_that!(flooded.others, lt(OBJECTIVE));
        expect_that!(flooded.written, le(ASKED as u64 * SOCKETS));
    });
}

/// Guards against an event that is kept without a bound.
#[gtest]
fn event_that_does_not_end_is_not_kept() {
    run(Plan::default(), async |site: Site| {
        let flooded = flood(
            &site,
            &site.engines,
            Endless::Event,
            Ask::stream,
            Ask::again,
        )
        .await;
        for (got, took) in &flooded.answers {
            expect_that!(got.status.is_success() && got.whole, eq(false));
            expect_that!(*took, lt(ANSWERED));
        }
        expect_that!(flooded.others, lt(OBJECTIVE));
        let exceeded = count(&site, "answer_bound.event").await;
        expect_that!(exceeded, ge(ASKED as u64));
        expect_that!(flooded.written, le(exceeded * (EVENT + SOCKETS)));
    });
}

/// Guards against events that fill the queue of the core task.
#[gtest]
fn events_that_do_not_end_hold_up_no_other_request() {
    run(Plan::default(), async |site: Site| {
        let ask = |run: &str| Ask::stream(run).with("wellplank-timeout-ms", "3000");
        let flooded = flood(&site, &site.engines, Endless::Events, ask, Ask::again).await;
        for (got, took) in &flooded.answers {
            expect_that!(got.whole, eq(false));
            expect_that!(*took, lt(ANSWERED));
        }
        expect_that!(flooded.others, lt(OBJECTIVE));
    });
}

/// Guards against events that are read faster than the core task handles them, and wait in its queue.
#[gtest]
fn events_that_do_not_end_and_that_no_caller_reads_are_not_kept() {
    run(Plan::default(), async |site: Site| {
        for seat in &site.engines {
            seat.worker.set(Mode::Endless(Endless::Events));
        }
        let response = Ask::stream("unread").open(address(&site)).await;
        sleep(OBJECTIVE).await;
        let written: u64 = site.engines.iter().map(|seat| seat.worker.written()).sum();
        expect_that!(written, le(2 * SOCKETS));
        drop(response);
    });
}

/// Guards against bounded answers that together take more than the instance has.
#[gtest]
fn answers_that_are_read_together_are_bounded_and_small_ones_go_on() {
    run(Plan::default(), async |site: Site| {
        site.desks[0].worker.set(Mode::Endless(Endless::Stalled));
        site.desks[1].worker.set(Mode::Endless(Endless::Stalled));
        let large = join_all((0..6).map(|number| timed(&site, Ask::once(&format!("r{number}")))));
        let small = async {
            sleep(Duration::from_millis(1_500)).await;
            let reading = metric(&site, "wellplank_held_bytes{what=\"reading\"}").await;
            let got = Ask::stream("small").send(address(&site)).await;
            (reading, got)
        };
        let (_, (reading, small)) = join(large, small).await;
        expect_that!(small.whole, eq(true));
        expect_that!(reading, all![gt(0), le(ALL)]);
        expect_that!(count(&site, "answer_bound.instance").await, ge(1));
    });
}

/// Guards against a tunnel that carries a body faster than it is read, or behind its bound.
#[gtest]
fn body_that_does_not_end_is_not_kept_behind_a_tunnel() {
    let plan = Plan {
        instances: 2,
        links: true,
        ..Plan::default()
    };
    run(plan, async |site: Site| {
        site.instances[0].set_links(State::Refuses);
        let flooded = flood(&site, &site.desks, Endless::Close, Ask::once, Ask::stream).await;
        for (got, took) in &flooded.answers {
            expect_that!(got.status.as_u16(), eq(502), "{}", got.body);
            expect_that!(*took, lt(ANSWERED));
        }
        // Each tunnel has two connections.
        let bytes = BODY + 2 * SOCKETS;
        expect_that!(flooded.written, le(ASKED as u64 * bytes));
        let ended = count(&site, "answer_bound.body").await + count(&site, OF_INSTANCE).await;
        expect_that!(ended, eq(ASKED as u64));
    });
}

/// Guards against a request that may be repeated and gets the end of an answer by a bound.
#[gtest]
fn request_that_may_be_repeated_is_tried_elsewhere() {
    run(Plan::default(), async |site: Site| {
        site.desks[0].worker.set(Mode::Endless(Endless::Close));
        for number in 0..4 {
            let (got, took) = timed(&site, Ask::again(&format!("r{number}"))).await;
            expect_that!(got.status.as_u16(), eq(200), "{}", got.body);
            expect_that!(got.whole, eq(true));
            expect_that!(took, lt(ANSWERED));
        }
    });
}

/// Guards against a bound that refuses a sound answer.
#[gtest]
fn sound_answers_of_8_mb_and_events_of_512_kib_pass() {
    run(Plan::default(), async |site: Site| {
        let call = Ask::once("call").with(worker::EVENT_BYTES, "8000000");
        let got = call.send(address(&site)).await;
        expect_that!(got.whole, eq(true));
        expect_that!(got.body.len(), eq(8_000_000));
        let stream = Ask::stream("stream").with(worker::EVENT_BYTES, "524288");
        let got = stream.send(address(&site)).await;
        expect_that!(got.whole, eq(true));
        expect_that!(got.body.len(), eq(worker::EVENTS as usize * 524_288));
    });
}
