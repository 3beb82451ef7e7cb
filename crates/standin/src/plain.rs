//! A stand-in plain service, as a yard desk or a plate viewer: it logs every run by request.

use super::*;
use std::sync::{Arc, Mutex};

/// What a stand-in service is like.
#[derive(Clone, Debug)]
pub struct Plain {
    /// Where it listens.
    pub address: SocketAddr,
    /// Calls that run at once.
    pub slots: usize,
    /// Time that a call takes.
    pub time: Duration,
}

#[derive(Default)]
struct State {
    /// Calls that shall run and then break their connection.
    breaks: u64,
    delay: Duration,
    leaving: bool,
    refuses: bool,
    /// Seconds for which a refusal asks for rest; 0 for none.
    rest: u64,
    runs: Vec<Value>,
    running: usize,
}

#[derive(Clone, Copy)]
enum Endpoint {
    Call,
    Control,
    Load,
    Runs,
}

struct Http {
    endpoint: Endpoint,
    settings: Plain,
    state: Arc<Mutex<State>>,
}

impl Plain {
    /// A service with ordinary speed and room.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            slots: 64,
            time: Duration::from_millis(2),
        }
    }

    /// Serves until its runtime ends.
    pub async fn serve(self) {
        let state = Arc::default();
        let handler = |endpoint| Http {
            endpoint,
            settings: self.clone(),
            state: Arc::clone(&state),
        };
        let router = Router::new()
            .push(Router::with_path("load").get(handler(Endpoint::Load)))
            .push(Router::with_path("control").post(handler(Endpoint::Control)))
            .push(Router::with_path("control/runs").get(handler(Endpoint::Runs)))
            .push(Router::with_path("{**path}").goal(handler(Endpoint::Call)));
        http::serve(self.address, router).await;
    }
}

impl Http {
    /// Runs one call; its runs are logged before it is answered.
    async fn call(&self, request: &mut Request, response: &mut Response) {
        let id = request
            .headers()
            .get("x-request-id")
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
            .to_owned();
        let path = request.uri().path().to_owned();
        let body = http::json_body(request).await;
        let (delay, breaks) = {
            let mut state = self.state.lock().expect("no holder panics");
            if state.leaving || state.refuses {
                if state.leaving {
                    let _ = response.add_header("x-leaving", "true", true);
                }
                if state.rest > 0 {
                    let _ = response.add_header(header::RETRY_AFTER, state.rest, true);
                }
                response.status_code(StatusCode::SERVICE_UNAVAILABLE);
                return;
            }
            state
                .runs
                .push(json!({ "body": body, "path": path, "request": id }));
            state.running += 1;
            let breaks = state.breaks > 0;
            state.breaks -= u64::from(breaks);
            (state.delay + self.settings.time, breaks)
        };
        sleep(delay).await;
        let run = {
            let mut state = self.state.lock().expect("no holder panics");
            state.running -= 1;
            state.runs.len()
        };
        if breaks {
            // A body that fails ends the connection without an answer.
            let _ = response.add_header(header::CONTENT_LENGTH, 1_000, true);
            let broken =
                futures_util::stream::iter([Err::<Bytes, _>(std::io::Error::other("cut"))]);
            response.stream(broken);
            return;
        }
        http::answer(
            response,
            StatusCode::OK,
            &json!({ "path": path, "run": run }),
        );
    }

    fn control(&self, body: &Value) -> Value {
        let mut state = self.state.lock().expect("no holder panics");
        match body["fault"].as_str().unwrap_or_default() {
            "break" => state.breaks = body["count"].as_u64().unwrap_or(1),
            "delay" => {
                state.delay = Duration::from_millis(body["millis"].as_u64().unwrap_or(0));
            }
            "heal" => {
                state.refuses = false;
                state.leaving = false;
                state.delay = Duration::ZERO;
            }
            "leave" => state.leaving = true,
            "refuse" => {
                state.refuses = true;
                state.rest = body["rest"].as_u64().unwrap_or(0);
            }
            other => return json!({ "error": format!("no fault `{other}`") }),
        }
        json!({})
    }
}

#[salvo::handler]
impl Http {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let body = match self.endpoint {
            Endpoint::Call => return self.call(request, response).await,
            Endpoint::Control => self.control(&http::json_body(request).await),
            Endpoint::Load => {
                let state = self.state.lock().expect("no holder panics");
                json!({
                    "leaving": state.leaving,
                    "running": state.running,
                    "slots": self.settings.slots,
                    "waiting": 0,
                })
            }
            Endpoint::Runs => json!(self.state.lock().expect("no holder panics").runs),
        };
        http::answer(response, StatusCode::OK, &body);
    }
}
