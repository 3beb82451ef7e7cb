//! Bad input and refusals, told by name and changing nothing, through real sockets.

use {
    googletest::prelude::*,
    http_body_util::{BodyExt, Full},
    hyper::{Method, Request, body::Bytes},
    serde_json::{Value, json},
    uuid::Uuid,
    wellplank_standin::{
        Caller, Fleet,
        caller::Ask,
        fleet::{OPERATOR_KEY, Plan},
        http,
    },
};

/// One request as a caller could send it, and the answer expected.
struct Test {
    body: Vec<u8>,
    headers: Vec<(&'static str, String)>,
    path: &'static str,
}

impl Test {
    fn body(mut self, body: &str) -> Self {
        self.body = body.as_bytes().to_vec();
        self
    }

    fn completion(body: &Value) -> Self {
        Self::new("/v1/completions").body(&body.to_string())
    }

    /// Sends the request and checks the kind of the error and that nothing ran.
    async fn expect(self, fleet: &Fleet, status: u16, kind: &str) {
        let before = fleet.spent().await;
        let uri = format!("http://{}{}", fleet.caller_address(0), self.path);
        let mut request = Request::builder().method(Method::POST).uri(uri);
        for (name, value) in self.headers {
            request = request.header(name, value);
        }
        let request = request.body(Full::new(Bytes::from(self.body))).unwrap();
        let response = http::client().request(request).await.unwrap();
        let answered = response.status().as_u16();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        let body: Value = serde_json::from_slice(&body).unwrap_or_default();
        expect_that!(body["error"]["kind"].as_str(), some(eq(kind)));
        expect_that!(answered, eq(status), "{kind}");
        expect_that!(fleet.spent().await, eq(before), "{kind} ran something");
    }

    fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.retain(|(other, _)| *other != name);
        self.headers.push((name, value.into()));
        self
    }

    fn new(path: &'static str) -> Self {
        Self {
            body: b"{}".to_vec(),
            headers: vec![("authorization", "Bearer hemelarchief".into())],
            path,
        }
    }
}

fn ask() -> Value {
    json!({ "max_tokens": 20, "model": "notebook-summary", "prompt": "log" })
}

fn draft() -> Value {
    json!({ "max_tokens": 20, "model": "catalogue-draft", "prompt": "plate 12" })
}

fn caller() -> Caller {
    Caller {
        key: "hemelarchief".into(),
    }
}

fn run(test: impl AsyncFnOnce(Fleet)) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .worker_threads(2)
        .build()
        .unwrap();
    runtime.block_on(async { test(Fleet::start(&Plan::default()).await).await });
}

#[gtest]
fn bad_input_is_refused_by_name_and_nothing_runs() {
    run(async |fleet| {
        let refuse = async |test: Test, status, kind| test.expect(&fleet, status, kind).await;
        let body = |text: &str| Test::new("/v1/completions").body(text);
        refuse(body("{"), 400, "bad_body").await;
        refuse(body("[]"), 400, "bad_body").await;
        refuse(body(r#"{"model":"notebook-summary"}"#), 400, "bad_body").await;
        let mut wrong = ask();
        wrong["max_tokens"] = json!("many");
        refuse(Test::completion(&wrong), 400, "bad_body").await;
        wrong["max_tokens"] = json!(0);
        refuse(Test::completion(&wrong), 400, "bad_body").await;
        wrong["max_tokens"] = json!(10_000_000);
        refuse(Test::completion(&wrong), 413, "too_large").await;
        let mut unknown = ask();
        unknown["model"] = json!("nothing");
        refuse(Test::completion(&unknown), 404, "unknown_service").await;
        let foreign = Test::completion(&ask()).header("authorization", "Bearer stranger");
        refuse(foreign, 401, "unauthorized").await;
        let mut large = ask();
        large["prompt"] = json!("x".repeat(5 << 20));
        refuse(Test::completion(&large), 413, "too_large").await;
        let forged = Test::completion(&ask()).header("last-event-id", "AQIDBA");
        refuse(forged, 400, "bad_cursor").await;
        refuse(Test::completion(&draft()), 400, "key_required").await;
        let other_version = Uuid::new_v4().to_string();
        let key = Test::completion(&draft()).header("idempotency-key", other_version);
        refuse(key, 400, "bad_key").await;
        let old = "01800000-0000-7000-8000-000000000000";
        let key = Test::completion(&draft()).header("idempotency-key", old);
        refuse(key, 400, "bad_key").await;
    });
}

#[gtest]
fn cursor_of_another_request_or_with_wrong_tokens_is_refused() {
    run(async |fleet| {
        let mut first = Ask::new("notebook-summary", "log", 50);
        first.cut_after = Some(10);
        let outcome = caller().generate(fleet.caller_address(0), &first).await;
        let cursor = outcome.cursor.unwrap();
        let mut wrong = outcome.tokens.clone();
        wrong[3] ^= 1 << 30;
        let rest = |prompt: &str, received: Vec<u32>| Ask {
            cursor: Some(cursor.clone()),
            cut_after: None,
            received,
            ..Ask::new("notebook-summary", prompt, 50)
        };
        let foreign = rest("another log", outcome.tokens.clone());
        let outcome = caller().generate(fleet.caller_address(1), &foreign).await;
        expect_that!(outcome.error, some(eq("bad_cursor")));
        let outcome = caller()
            .generate(fleet.caller_address(1), &rest("log", wrong))
            .await;
        expect_that!(outcome.error, some(eq("bad_cursor")));
    });
}

#[gtest]
fn caller_goes_on_with_its_cursor_alone_while_the_engine_lives() {
    run(async |fleet| {
        let ask = Ask::new("notebook-summary", "log", 80);
        let cut = Ask {
            cut_after: Some(20),
            ..ask.clone()
        };
        let first = caller().generate(fleet.caller_address(0), &cut).await;
        let rest = Ask {
            cursor: first.cursor,
            ..ask.clone()
        };
        let second = caller().generate(fleet.caller_address(1), &rest).await;
        expect_that!(second.error, none());
        let whole = [first.tokens, second.tokens].concat();
        expect_that!(ask.is_whole(&whole), eq(true));
        // The engine ran it once: nothing was generated again.
        expect_that!(fleet.spent().await.started, eq(1));
    });
}

#[gtest]
fn same_key_with_another_body_is_refused() {
    run(async |fleet| {
        let key = Some(Uuid::now_v7());
        let call = async |index: usize, lot: u32| {
            let address = fleet.caller_address(index);
            let body = json!({ "lot": lot });
            caller()
                .call(address, "reservation", "reserve", &body, key)
                .await
        };
        expect_that!(call(0, 7).await.status, eq(200));
        expect_that!(call(1, 8).await.error, some(eq("key_reused")));
        expect_that!(call(1, 7).await.error, some(eq("already_claimed")));
        let runs = http::get(fleet.yard.address, "/control/runs")
            .await
            .unwrap();
        expect_that!(runs.as_array().unwrap().len(), eq(1));
    });
}

#[gtest]
fn non_repeatable_call_that_breaks_is_unknown_and_not_sent_again() {
    run(async |fleet| {
        let fault = json!({ "count": 1, "fault": "break" });
        http::post(fleet.yard.address, "/control", &fault)
            .await
            .unwrap();
        let (address, body) = (fleet.caller_address(0), json!({ "lot": 7 }));
        let key = Some(Uuid::now_v7());
        let outcome = caller()
            .call(address, "reservation", "reserve", &body, key)
            .await;
        expect_that!(outcome.error, some(eq("unknown")));
        expect_that!(outcome.ran, some(eq("maybe")));
        let runs = http::get(fleet.yard.address, "/control/runs")
            .await
            .unwrap();
        expect_that!(runs.as_array().unwrap().len(), eq(1));
    });
}

#[gtest]
fn service_that_asked_for_rest_gets_no_calls_in_that_time() {
    run(async |fleet| {
        let control = async |fault: Value| {
            let answer = http::post(fleet.yard.address, "/control", &fault).await;
            answer.unwrap();
        };
        let call = async || {
            let (address, body) = (fleet.caller_address(0), json!({ "lot": 7 }));
            let key = Some(Uuid::now_v7());
            caller()
                .call(address, "reservation", "reserve", &body, key)
                .await
        };
        // Longer than a call may wait.
        control(json!({ "fault": "refuse", "rest": 60 })).await;
        let refused = call().await;
        expect_that!(refused.error, some(eq("overloaded")));
        expect_that!(refused.ran, some(eq("no")));
        control(json!({ "fault": "heal" })).await;
        expect_that!(call().await.error, some(eq("overloaded")));
        let runs = http::get(fleet.yard.address, "/control/runs").await;
        expect_that!(runs.unwrap().as_array().unwrap().len(), eq(0));
    });
}

#[gtest]
fn wrong_frame_of_a_peer_ends_its_link_and_changes_nothing() {
    run(async |fleet| {
        use tokio::io::{AsyncReadExt, AsyncWriteExt};
        let peers = fleet.peer_address(0);
        let mut socket = tokio::net::TcpStream::connect(peers).await.unwrap();
        socket
            .write_all(&[0, 0, 0, 3, 0xff, 0xff, 0xff])
            .await
            .unwrap();
        let mut rest = Vec::new();
        socket.read_to_end(&mut rest).await.unwrap();
        let ask = Ask::new("notebook-summary", "log", 20);
        let outcome = caller().generate(fleet.caller_address(0), &ask).await;
        expect_that!(ask.is_whole(&outcome.tokens), eq(true));
    });
}

#[gtest]
fn operators_need_their_key_and_a_stale_revision_is_a_conflict() {
    run(async |fleet| {
        let address = fleet.operators[0].to_string();
        let mut stranger = wellplank_ctl::Client::connect(&address, "wrong")
            .await
            .unwrap();
        expect_that!(stranger.get().await.is_err(), eq(true));
        let mut operator = wellplank_ctl::Client::connect(&address, OPERATOR_KEY)
            .await
            .unwrap();
        let change = operator
            .apply(Fleet::declaration(), Some(0), false, "")
            .await;
        let conflict = matches!(change, Err(wellplank_ctl::Error::Conflict(1)));
        expect_that!(conflict, eq(true));
        let change = operator
            .apply(Fleet::declaration(), Some(1), false, "")
            .await;
        expect_that!(change.unwrap().revision, eq(2));
    });
}

#[gtest]
fn whole_answer_comes_in_one_piece() {
    run(async |fleet| {
        let uri = format!("http://{}/v1/completions", fleet.caller_address(0));
        let request = Request::post(uri)
            .header("authorization", "Bearer sawmill")
            .body(Full::new(Bytes::from(ask().to_string())))
            .unwrap();
        let response = http::client().request(request).await.unwrap();
        let body = response.into_body().collect().await.unwrap().to_bytes();
        let body: Value = serde_json::from_slice(&body).unwrap();
        let tokens: Vec<u32> =
            serde_json::from_value(body["choices"][0]["token_ids"].clone()).unwrap();
        expect_that!(Ask::new("", "log", 20).is_whole(&tokens), eq(true));
        expect_that!(body["usage"]["completion_tokens"], eq(&json!(20)));
    });
}

#[gtest]
fn upload_that_is_cut_off_runs_nothing() {
    run(async |fleet| {
        use tokio::io::AsyncWriteExt;
        let address = fleet.caller_address(0);
        let mut socket = tokio::net::TcpStream::connect(address).await.unwrap();
        let head = "POST /v1/completions HTTP/1.1\r\nhost: x\r\ncontent-length: 500\r\n\
                    authorization: Bearer hemelarchief\r\n\r\n{\"model\":\"notebook-";
        socket.write_all(head.as_bytes()).await.unwrap();
        drop(socket);
        let ask = Ask::new("notebook-summary", "log", 20);
        let outcome = caller().generate(address, &ask).await;
        expect_that!(ask.is_whole(&outcome.tokens), eq(true));
        expect_that!(fleet.spent().await.started, eq(1));
    });
}

#[gtest]
fn wrong_answers_of_an_engine_are_not_given_to_callers() {
    run(async |mut fleet| {
        let address = wellplank_standin::host::free_address();
        let listener = tokio::net::TcpListener::bind(address).await.unwrap();
        tokio::spawn(answer_nonsense(listener));
        fleet.add_upstream("runner-wrong", address).await;
        tokio::time::sleep(std::time::Duration::from_secs(2)).await;
        for number in 0..30 {
            let ask = Ask::new("notebook-summary", &format!("log {number}"), 10);
            let outcome = caller()
                .generate(fleet.caller_address(number % 2), &ask)
                .await;
            expect_that!(outcome.error, none());
            expect_that!(ask.is_whole(&outcome.tokens), eq(true));
        }
        expect_that!(fleet.counter("retried.broken").await, gt(0));
        expect_that!(fleet.counter("invariant").await, eq(0));
    });
}

/// An engine whose load reports are right and whose streams are not.
async fn answer_nonsense(listener: tokio::net::TcpListener) {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    while let Ok((mut socket, _)) = listener.accept().await {
        tokio::spawn(async move {
            let mut request = vec![0; 4_096];
            let count = socket.read(&mut request).await.unwrap_or(0);
            let load = request[..count].starts_with(b"GET /load");
            let body = if load {
                r#"{"running":0,"slots":100,"waiting":0}"#
            } else {
                "data: {\"position\":0,\"choices\":[{\"token_ids\":\"none\"}]}\n\n"
            };
            let answer = format!(
                "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\n\
                 content-length: {}\r\n\r\n{body}",
                body.len()
            );
            let _ = socket.write_all(answer.as_bytes()).await;
        });
    }
}

#[gtest]
fn caller_that_comes_back_sees_the_same_generation() {
    run(async |fleet| {
        let ask = Ask::new("notebook-summary", "log", 60);
        let cut = Ask {
            cut_after: Some(20),
            ..ask.clone()
        };
        let first = caller().generate(fleet.caller_address(0), &cut).await;
        let rest = Ask {
            cursor: first.cursor,
            received: first.tokens,
            ..ask
        };
        let second = caller().generate(fleet.caller_address(1), &rest).await;
        expect_that!(second.generation, eq(&first.generation));
    });
}

#[gtest]
fn counters_go_to_the_metrics_sink() {
    let sink = std::net::UdpSocket::bind("127.0.0.1:0").unwrap();
    sink.set_read_timeout(Some(std::time::Duration::from_secs(30)))
        .unwrap();
    let plan = Plan {
        metrics: Some(sink.local_addr().unwrap()),
        ..Plan::default()
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .worker_threads(2)
        .build()
        .unwrap();
    runtime.block_on(async {
        let fleet = Fleet::start(&plan).await;
        let ask = Ask::new("notebook-summary", "log", 5);
        caller().generate(fleet.caller_address(0), &ask).await;
    });
    let mut bytes = [0; 1_500];
    let mut seen = String::new();
    while !seen.contains("wellplank.answered:1|c") {
        let count = sink.recv(&mut bytes).unwrap();
        seen.push_str(std::str::from_utf8(&bytes[..count]).unwrap());
    }
    expect_that!(seen, contains_substring("wellplank.admitted:1|c"));
}
