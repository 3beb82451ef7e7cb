//! Requests that are unusual or absurd inside the limits, on real sockets: those that are proper are served, and none ends an
//! instance or has another request run.

use {
    googletest::prelude::*,
    std::{
        io::{Read, Write},
        net::{SocketAddr, TcpStream},
        time::Duration,
    },
    wellplank_standin::{
        client::{Ask, Got, Work},
        site::{self, Plan, Site, run},
    },
};

/// Time that an answer may take before the test fails.
const PATIENCE: Duration = Duration::from_secs(20);

/// Headers of a request whose head is far below the limit of 16 KiB.
const MANY_HEADERS: usize = 400;

/// What comes back for bytes that are written to a connection, up to its end.
fn exchange(address: SocketAddr, bytes: &[u8]) -> String {
    let mut connection = TcpStream::connect(address).unwrap();
    connection.set_read_timeout(Some(PATIENCE)).unwrap();
    let _ = connection.write_all(bytes);
    let mut answer = Vec::new();
    let _ = connection.read_to_end(&mut answer);
    String::from_utf8_lossy(&answer).into_owned()
}

/// Whether an ordinary request is answered.
async fn expect_serves(site: &Site, text: &str) {
    let got = Ask::again("ordinary").send(site.instances[0].callers).await;
    expect_that!(got.status.as_u16(), eq(200), "behind {text}");
}

/// A proper request was refused with 431 for the number of its headers, though its head was small.
#[gtest]
fn request_with_many_small_headers_is_served() {
    run(Plan::default(), async |site: Site| {
        let mut ask = Ask::again("many-headers");
        for number in 0..MANY_HEADERS {
            ask.headers.push((
                Box::leak(format!("x-{number}").into_boxed_str()),
                "v".into(),
            ));
        }
        let got = ask.send(site.instances[0].callers).await;
        expect_that!(got.status.as_u16(), eq(200));
    });
}

/// A proper request whose head is as large as the limit allows.
#[gtest]
fn request_with_the_largest_head_is_served() {
    run(Plan::default(), async |site: Site| {
        let ask = Ask::again("large-head");
        let sizes = ask
            .headers
            .iter()
            .map(|(name, value)| name.len() + value.len() + 4);
        let others: usize = sizes.sum();
        let name = "x-large";
        // The client adds the length of the body.
        let length = "content-length: 13\r\n".len();
        let left = 16_384 - others - length - name.len() - 4;
        let got: Got = ask
            .with(name, &"v".repeat(left))
            .send(site.instances[0].callers)
            .await;
        expect_that!(got.status.as_u16(), eq(200));
    });
}

/// Numbers, names and keys of absurd length and size.
#[gtest]
fn absurd_values_end_no_instance() {
    let long = "7".repeat(9_000);
    let values = [
        "",
        "0",
        "-1",
        "18446744073709551615",
        "18446744073709551616",
        "1e9",
        "NaN",
        "\u{e9}",
        &long,
    ];
    let names = [
        "wellplank-timeout-ms",
        "last-event-id",
        "wellplank-token-usage",
        "wellplank-prefix-hash",
        "wellplank-request-id",
        "wellplank-length-hint",
        "wellplank-model",
        "resumes",
        "authorization",
        "wellplank-request-priority",
        "wellplank-hold",
        "host",
    ];
    run(Plan::default(), async |site: Site| {
        let address = site.instances[0].callers;
        for name in names {
            for value in values {
                for work in [Work::Call, Work::Stream] {
                    let ask = work.ask("absurd").with("wellplank-timeout-ms", "300");
                    let ask = ask.with(name, value).with("connection", "close");
                    let bytes = ask.bytes();
                    let sent = tokio::task::spawn_blocking(move || exchange(address, &bytes));
                    let _ = sent.await;
                }
            }
        }
        expect_serves(&site, "absurd values").await;
    });
}

/// Bytes behind a request, or two ends of one, must not run as another request, and no other host's route is taken.
#[gtest]
fn requests_within_requests_do_not_run() {
    run(Plan::default(), async |site: Site| {
        let address = site.instances[0].callers;
        let head = format!(
            "POST /again/1 HTTP/1.1\r\nauthorization: Token {}\r\nwellplank-request-id: outer\r\nconnection: close\r\n",
            site::KEY
        );
        let inner = head.replace("outer", "inner") + "host: a.example\r\ncontent-length: 0\r\n\r\n";
        let forms = [
            format!(
                "host: a.example\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n{inner}"
            ),
            format!(
                "host: a.example\r\ntransfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n{inner}"
            ),
            format!("host: a.example\r\ncontent-length: 0\r\ncontent-length: 5\r\n\r\n{inner}"),
            format!(
                "host: a.example\r\ntransfer-encoding: chunked, identity\r\n\r\n0\r\n\r\n{inner}"
            ),
            format!("host: a.example\r\ntransfer-encoding: xchunked\r\n\r\n0\r\n\r\n{inner}"),
            format!("host: a.example\r\nupgrade: h2c\r\ncontent-length: 0\r\n\r\n{inner}"),
        ];
        for form in forms {
            let bytes = (head.clone() + &form).into_bytes();
            let sent = tokio::task::spawn_blocking(move || exchange(address, &bytes));
            let _ = sent.await;
        }
        expect_serves(&site, "requests within requests").await;
        let runs = site.ledger.runs();
        let inner = runs
            .iter()
            .filter(|run| run.header("wellplank-request-id") == "inner");
        expect_that!(inner.count(), eq(0));
    });
}

/// Targets that are no path, methods and versions that are none.
#[gtest]
fn odd_request_lines_end_no_instance() {
    let long = format!("POST /{} HTTP/1.1", "z".repeat(15_000));
    let lines = [
        "CONNECT a.example:80 HTTP/1.1",
        "OPTIONS * HTTP/1.1",
        "POST http://b.example/again/1 HTTP/1.1",
        "POST //again//1/../../x HTTP/1.1",
        "POST /again/%00%ff%2e%2e HTTP/1.1",
        "POST /again/1?%zz=\u{1} HTTP/1.1",
        "POST again HTTP/1.1",
        "BREW /again/1 HTTP/1.1",
        "POST /again/1 HTTP/1.0",
        "POST /again/1 HTTP/3.9",
        "POST /again/1",
        &long,
    ];
    run(Plan::default(), async |site: Site| {
        let address = site.instances[0].callers;
        for line in lines {
            let ask = Ask::again("odd-line").with("connection", "close");
            let text = String::from_utf8(ask.bytes()).unwrap();
            let bytes = text
                .replacen("POST /again/1 HTTP/1.1", line, 1)
                .into_bytes();
            let sent = tokio::task::spawn_blocking(move || exchange(address, &bytes));
            let _ = sent.await;
        }
        expect_serves(&site, "odd request lines").await;
    });
}

/// One stream with a position that no response reaches, which its upstream ended at once, had an instance take the answers of
/// all others for endless: each later stream was refused as too late, for good.
#[gtest]
fn position_that_no_response_reaches_has_no_other_stream_refused() {
    expect_streams_behind("last-event-id", "18446744073709551615");
}

/// The same by a number of tokens below that of the events.
#[gtest]
fn tokens_that_are_fewer_than_the_events_have_no_other_stream_refused() {
    expect_streams_behind("wellplank-token-usage", "5200,1");
}

/// The same by a prompt that is longer than it is stated to be.
#[gtest]
fn prompts_that_are_longer_than_stated_have_no_other_stream_refused() {
    expect_streams_behind("wellplank-token-usage", "1,0");
}

/// Runs streams with a header, and ordinary ones behind them.
fn expect_streams_behind(name: &'static str, value: &str) {
    run(Plan::default(), async |site: Site| {
        let address = site.instances[0].callers;
        for number in 0..5 {
            let ask = Ask::stream(&format!("odd-{number}")).with(name, value);
            let _ = ask.send(address).await;
        }
        for number in 0..3 {
            let got = Ask::stream(&format!("ordinary-{number}"))
                .send(address)
                .await;
            expect_that!(got.status.as_u16(), eq(200), "{}", got.body);
        }
    });
}
