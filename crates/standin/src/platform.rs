//! The stand-in platform: a key-value service with outages, lost answers, limits and counted calls,
//! and a lagging list of instances.

use super::*;
use std::sync::{Arc, Mutex};

/// Time between two looks of a call that waits for the end of an outage.
const LOOK: Duration = Duration::from_millis(20);

/// What a stand-in platform is like.
#[derive(Clone, Debug)]
pub struct Platform {
    /// Where it listens.
    pub address: SocketAddr,
    /// Time that each call takes.
    pub delay: Duration,
    /// Age of the list of instances.
    pub list_lag: Duration,
    /// Reads a second; more are refused.
    pub reads_max: u64,
    /// Writes a second; more are refused.
    pub writes_max: u64,
}

/// Calls answered so far.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Calls {
    /// Grants of leases.
    pub grants: u64,
    /// Reads.
    pub reads: u64,
    /// Calls refused for their rate.
    pub refused: u64,
    /// Compare-and-swaps that lost.
    pub swaps_lost: u64,
    /// Compare-and-swaps.
    pub writes: u64,
    /// Bytes written.
    pub written: u64,
}

/// One line of the list of instances.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Line {
    /// Where it listens for the system.
    pub address: SocketAddr,
    /// Data centre.
    pub data_centre: String,
    /// Unique name.
    pub instance: String,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Pool.
    pub pool: String,
}

struct State {
    calls: Calls,
    down: bool,
    keyvalue: keyvalue::KeyValue,
    lines: Vec<(Instant, Vec<Line>)>,
    lose_answers: u64,
    second: (Instant, u64, u64),
}

#[derive(Clone, Copy)]
enum Endpoint {
    Calls,
    Control,
    Grant,
    List,
    Range,
    SetList,
    Txn,
    Watch,
}

struct Http {
    endpoint: Endpoint,
    settings: Platform,
    state: Arc<Mutex<State>>,
}

impl Platform {
    /// A platform that answers in two milliseconds.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            delay: Duration::from_millis(2),
            list_lag: Duration::from_millis(500),
            reads_max: 2_000,
            writes_max: 500,
        }
    }

    /// Serves until its runtime ends.
    pub async fn serve(self) {
        let state = Arc::new(Mutex::new(State {
            calls: Calls::default(),
            down: false,
            keyvalue: keyvalue::KeyValue::default(),
            lines: Vec::new(),
            lose_answers: 0,
            second: (Instant::now(), 0, 0),
        }));
        let handler = |endpoint| Http {
            endpoint,
            settings: self.clone(),
            state: Arc::clone(&state),
        };
        let router = Router::new()
            .push(Router::with_path("v3/kv/range").post(handler(Endpoint::Range)))
            .push(Router::with_path("v3/kv/txn").post(handler(Endpoint::Txn)))
            .push(Router::with_path("v3/lease/grant").post(handler(Endpoint::Grant)))
            .push(Router::with_path("v3/watch").post(handler(Endpoint::Watch)))
            .push(
                Router::with_path("instances")
                    .get(handler(Endpoint::List))
                    .post(handler(Endpoint::SetList)),
            )
            .push(Router::with_path("control").post(handler(Endpoint::Control)))
            .push(Router::with_path("control/calls").get(handler(Endpoint::Calls)));
        http::serve(self.address, router).await;
    }
}

impl Http {
    /// Waits while the service is down; false if the call is over its rate.
    async fn admit(&self, write: bool) -> bool {
        sleep(self.settings.delay).await;
        while self.state.lock().expect("no holder panics").down {
            sleep(LOOK).await;
        }
        let mut state = self.state.lock().expect("no holder panics");
        if state.second.0.elapsed() >= Duration::from_secs(1) {
            state.second = (Instant::now(), 0, 0);
        }
        let (count, max) = if write {
            state.second.2 += 1;
            (state.second.2, self.settings.writes_max)
        } else {
            state.second.1 += 1;
            (state.second.1, self.settings.reads_max)
        };
        let admitted = count <= max;
        state.calls.refused += u64::from(!admitted);
        admitted
    }

    fn calls(&self) -> Value {
        let mut state = self.state.lock().expect("no holder panics");
        let watches = state.keyvalue.watches();
        json!({
            "bytes": state.keyvalue.bytes(),
            "calls": state.calls,
            "watches": watches,
        })
    }

    fn control(&self, body: &Value) -> Value {
        let mut state = self.state.lock().expect("no holder panics");
        match body["fault"].as_str().unwrap_or_default() {
            "down" => state.down = true,
            "heal" => state.down = false,
            "lose_answers" => state.lose_answers = body["count"].as_u64().unwrap_or(1),
            other => return json!({ "error": format!("no fault `{other}`") }),
        }
        json!({})
    }

    fn list(&self) -> Value {
        let state = self.state.lock().expect("no holder panics");
        let lag = self.settings.list_lag;
        let old = state.lines.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        json!(old.or(state.lines.first()).map(|(_, lines)| lines))
    }

    /// Answers with the list, or without it if the caller has it.
    fn answer_list(&self, request: &Request, response: &mut Response) {
        let list = self.list();
        let tag = format!("\"{}\"", blake3::hash(list.to_string().as_bytes()).to_hex());
        let known = request.headers().get(header::IF_NONE_MATCH);
        if known.is_some_and(|known| known.as_bytes() == tag.as_bytes()) {
            response.status_code(StatusCode::NOT_MODIFIED);
            return;
        }
        let _ = response.add_header(header::ETAG, tag, true);
        http::answer(response, StatusCode::OK, &list);
    }

    fn set_list(&self, body: Value) {
        let lines: Vec<Line> = serde_json::from_value(body).unwrap_or_default();
        let mut state = self.state.lock().expect("no holder panics");
        state.lines.push((Instant::now(), lines));
    }

    /// Applies a write; `None` if its answer is to be lost.
    fn write(&self, body: &Value) -> Option<(StatusCode, Value)> {
        let mut state = self.state.lock().expect("no holder panics");
        state.keyvalue.expire(Instant::now());
        let answer = state.keyvalue.txn(body);
        state.calls.writes += 1;
        let put = &body["success"][0]["request_put"]["value"];
        state.calls.written += put.as_str().map_or(0, str::len) as u64;
        let lost = answer
            .as_ref()
            .is_some_and(|answer| answer["succeeded"] == false);
        state.calls.swaps_lost += u64::from(lost);
        if state.lose_answers > 0 {
            state.lose_answers -= 1;
            return None;
        }
        Some(match answer {
            Some(answer) => (StatusCode::OK, answer),
            None => (
                StatusCode::NOT_FOUND,
                json!({ "error": "requested lease not found" }),
            ),
        })
    }
}

#[salvo::handler]
impl Http {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let body = http::json_body(request).await;
        let write = matches!(self.endpoint, Endpoint::Grant | Endpoint::Txn);
        let counted = write || matches!(self.endpoint, Endpoint::Range | Endpoint::Watch);
        if counted && !self.admit(write).await {
            let error = json!({ "error": "too many requests" });
            return http::answer(response, StatusCode::TOO_MANY_REQUESTS, &error);
        }
        let (status, answer) = match self.endpoint {
            Endpoint::Calls => (StatusCode::OK, self.calls()),
            Endpoint::Control => (StatusCode::OK, self.control(&body)),
            Endpoint::Grant => {
                let mut state = self.state.lock().expect("no holder panics");
                state.calls.grants += 1;
                match state.keyvalue.grant(&body, Instant::now()) {
                    Some(answer) => (StatusCode::OK, answer),
                    None => (
                        StatusCode::BAD_REQUEST,
                        json!({ "error": "etcdserver: lease already exists" }),
                    ),
                }
            }
            Endpoint::List => return self.answer_list(request, response),
            Endpoint::Range => {
                let mut state = self.state.lock().expect("no holder panics");
                state.calls.reads += 1;
                state.keyvalue.expire(Instant::now());
                (StatusCode::OK, state.keyvalue.range(&body))
            }
            Endpoint::SetList => {
                self.set_list(body);
                (StatusCode::OK, json!({}))
            }
            Endpoint::Txn => {
                let Some(answered) = self.write(&body) else {
                    let lost = std::io::Error::other("answer lost");
                    let body = futures_util::stream::iter([Err::<Bytes, _>(lost)]);
                    return response.stream(body);
                };
                answered
            }
            Endpoint::Watch => {
                let receiver = {
                    let mut state = self.state.lock().expect("no holder panics");
                    state.keyvalue.watch(&body)
                };
                let lines = futures_util::stream::unfold(receiver, |mut receiver| async move {
                    let line = receiver.recv().await?;
                    Some((Ok::<_, std::io::Error>(line), receiver))
                });
                return response.stream(lines);
            }
        };
        http::answer(response, status, &answer);
    }
}
