//! A stand-in engine: continuous batching, a prefix cache, priorities, resume, cancel, lagging load
//! reports, late and gappy cache events, orders with or without a check of fencing numbers.

use super::*;
use stream::{Fault, Running};

/// Time between two looks at load for the lagging report.
const REPORT: Duration = Duration::from_millis(50);

/// What a stand-in engine is like.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Where it listens.
    pub address: SocketAddr,
    /// Prompt tokens that its prefix cache holds.
    pub cache_tokens: usize,
    /// Whether it refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// Age of its load reports.
    pub report_lag: Duration,
    /// Time to compute one prompt token, in microseconds.
    pub prefill_micros: u64,
    /// Streams that run at once.
    pub slots: usize,
    /// Time between two tokens of a stream.
    pub step: Duration,
    /// Streams that wait at most; more are refused.
    pub waiting_max: usize,
}

/// Work that an engine has done.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Spent {
    /// Prompt tokens found in the prefix cache.
    pub cached: u64,
    /// Tokens generated.
    pub generated: u64,
    /// Prompt and prefix tokens computed.
    pub prefilled: u64,
    /// Streams started.
    pub started: u64,
}

/// Why a stream was not opened; nothing ran.
struct Refusal {
    leaving: bool,
    status: StatusCode,
}

impl From<StatusCode> for Refusal {
    fn from(status: StatusCode) -> Self {
        Self {
            leaving: false,
            status,
        }
    }
}

impl Spent {
    /// Adds the work of another engine.
    pub fn add(&mut self, other: &Self) {
        self.cached += other.cached;
        self.generated += other.generated;
        self.prefilled += other.prefilled;
        self.started += other.started;
    }
}

type Opened = Result<mpsc::UnboundedReceiver<Bytes>, Refusal>;

enum Order {
    Attach(String, usize, oneshot::Sender<Opened>),
    Cancel(String),
    CacheEvents(u64, oneshot::Sender<Value>),
    Control(Value, oneshot::Sender<Value>),
    Load(oneshot::Sender<Value>),
    Instruct(Value, oneshot::Sender<bool>),
    Spent(oneshot::Sender<Value>),
    Start(Value, oneshot::Sender<Opened>),
}

struct Actor {
    cache: cache::Cache,
    fence: u64,
    frozen_until: Option<Instant>,
    leaving: bool,
    loaded: BTreeMap<String, String>,
    random: Pcg64Mcg,
    refuses: bool,
    reports: VecDeque<(Instant, Value)>,
    runs: Vec<String>,
    settings: Engine,
    slow: u32,
    spent: Spent,
    steps: u32,
    streams: BTreeMap<String, Running>,
    token_fault: Option<Fault>,
}

impl Engine {
    /// An engine with ordinary speed and room.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            cache_tokens: 100_000,
            checks_fencing: true,
            prefill_micros: 20,
            report_lag: Duration::from_millis(200),
            slots: 32,
            step: Duration::from_millis(10),
            waiting_max: 64,
        }
    }

    /// Serves until its runtime ends.
    pub async fn serve(self) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let address = self.address;
        let actor = Actor {
            cache: cache::Cache::new(self.cache_tokens),
            fence: 0,
            frozen_until: None,
            leaving: false,
            loaded: BTreeMap::new(),
            random: Pcg64Mcg::seed_from_u64(rand::random()),
            refuses: false,
            reports: VecDeque::new(),
            runs: Vec::new(),
            settings: self,
            slow: 1,
            spent: Spent::default(),
            steps: 0,
            streams: BTreeMap::new(),
            token_fault: None,
        };
        tokio::spawn(actor.run(receiver));
        let handler = |endpoint| Http {
            endpoint,
            sender: sender.clone(),
        };
        let completions = Router::with_path("v1/completions")
            .post(handler(Endpoint::Start))
            .push(Router::with_path("{id}").get(handler(Endpoint::Attach)))
            .push(Router::with_path("{id}/cancel").post(handler(Endpoint::Cancel)));
        let router = Router::new()
            .push(completions)
            .push(Router::with_path("load").get(handler(Endpoint::Load)))
            .push(Router::with_path("orders").post(handler(Endpoint::Instruct)))
            .push(Router::with_path("cache_events").get(handler(Endpoint::CacheEvents)))
            .push(Router::with_path("control").post(handler(Endpoint::Control)))
            .push(Router::with_path("control/spent").get(handler(Endpoint::Spent)));
        http::serve(address, router).await;
    }
}

impl Actor {
    async fn run(mut self, mut orders: mpsc::UnboundedReceiver<Order>) {
        let mut steps = interval(self.settings.step);
        let mut reports = interval(REPORT);
        steps.set_missed_tick_behavior(MissedTickBehavior::Delay);
        reports.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            if let Some(until) = self.frozen_until.take() {
                tokio::time::sleep_until(until.into()).await;
            }
            tokio::select! {
                order = orders.recv() => match order {
                    Some(order) => self.take(order),
                    None => return,
                },
                _ = steps.tick() => self.step(),
                _ = reports.tick() => self.report(),
            }
        }
    }

    fn control(&mut self, body: &Value) -> Value {
        let millis = body["millis"].as_u64().unwrap_or(0);
        match body["fault"].as_str().unwrap_or_default() {
            "freeze" => self.frozen_until = Some(Instant::now() + Duration::from_millis(millis)),
            "gap" => self.token_fault = Some(Fault::Gap),
            "heal" => {
                self.refuses = false;
                self.leaving = false;
                self.slow = 1;
            }
            "leave" => self.leaving = true,
            "refuse" => self.refuses = true,
            "repeat" => self.token_fault = Some(Fault::Repeat),
            "slow" => self.slow = body["factor"].as_u64().unwrap_or(10) as u32,
            other => return json!({ "error": format!("no fault `{other}`") }),
        }
        json!({})
    }

    /// Takes an order to load or unload a model.
    fn instruct(&mut self, body: &Value) -> bool {
        let fence = body["fence"].as_u64().unwrap_or(0);
        if self.settings.checks_fencing && fence < self.fence {
            return false;
        }
        self.fence = self.fence.max(fence);
        let model = body["model"].as_str().unwrap_or_default().to_owned();
        match body["version"].as_str() {
            Some(version) => self.loaded.insert(model, version.to_owned()),
            None => self.loaded.remove(&model),
        };
        true
    }

    fn load(&self) -> Value {
        let running = self.streams.values().filter(|stream| stream.slot).count();
        let live = self.streams.values().filter(|stream| !stream.done).count();
        json!({
            "leaving": self.leaving,
            "loaded": self.loaded,
            "running": running,
            "slots": self.settings.slots,
            "waiting": live - running,
        })
    }

    fn report(&mut self) {
        let now = Instant::now();
        let load = self.load();
        self.reports.push_back((now, load));
        let lag = self.settings.report_lag;
        while self.reports.len() > 1 && now - self.reports[1].0 >= lag {
            self.reports.pop_front();
        }
    }

    fn start(&mut self, body: &Value) -> Opened {
        if self.refuses || self.leaving {
            return Err(Refusal {
                leaving: self.leaving,
                status: StatusCode::SERVICE_UNAVAILABLE,
            });
        }
        let waiting = self
            .streams
            .values()
            .filter(|stream| !stream.slot && !stream.done);
        if waiting.count() >= self.settings.waiting_max {
            return Err(StatusCode::TOO_MANY_REQUESTS.into());
        }
        let id = body["stream_id"].as_str().unwrap_or_default().to_owned();
        let prompt = &body["prompt"];
        let max_tokens = body["max_tokens"].as_u64().unwrap_or(0) as usize;
        let prefix: Result<Vec<u32>, _> =
            serde_json::from_value(body["continue_token_ids"].clone());
        let Ok(tokens) = prefix else {
            return Err(StatusCode::BAD_REQUEST.into());
        };
        let refused = id.is_empty() || prompt.is_null() || max_tokens <= tokens.len();
        if refused || self.streams.contains_key(&id) {
            return Err(StatusCode::BAD_REQUEST.into());
        }
        let mut text = prompt.to_string().into_bytes();
        text.extend(tokens.iter().flat_map(|token| token.to_le_bytes()));
        let (computed, cached) = self.cache.take(&text);
        self.spent.prefilled += computed as u64;
        self.spent.cached += cached as u64;
        self.spent.started += 1;
        self.runs.push(id.clone());
        let prefill = Duration::from_micros(self.settings.prefill_micros * computed as u64);
        let chain = tokens
            .iter()
            .fold(Chain::new(prompt), |chain, token| chain.push(*token));
        let mut stream = Running {
            base: tokens.len(),
            chain,
            done: false,
            linger: Duration::from_millis(body["linger_ms"].as_u64().unwrap_or(0)),
            max_tokens,
            priority: body["priority"].as_u64().unwrap_or(1),
            ready: Instant::now() + prefill,
            reader: None,
            slot: false,
            tokens,
            unread: None,
        };
        let reader = stream.attach(stream.base);
        self.streams.insert(id, stream);
        Ok(reader)
    }

    /// One step of the batch: every running stream yields a token.
    fn step(&mut self) {
        self.streams.retain(|_, stream| !stream.orphaned());
        self.steps += 1;
        if !self.steps.is_multiple_of(self.slow.max(1)) {
            return;
        }
        let running = self.streams.values().filter(|stream| stream.slot).count();
        let mut waiting: Vec<&mut Running> = self
            .streams
            .values_mut()
            .filter(|stream| !stream.slot && !stream.done)
            .collect();
        waiting.sort_by_key(|stream| stream.priority);
        for stream in waiting
            .into_iter()
            .take(self.settings.slots.saturating_sub(running))
        {
            stream.slot = true;
        }
        let load = self.load();
        let now = Instant::now();
        let ready = |stream: &&mut Running| stream.slot && stream.ready <= now;
        for stream in self.streams.values_mut().filter(ready) {
            stream.step(&mut self.random, self.token_fault.take(), &load);
            self.spent.generated += 1;
            stream.slot = !stream.done;
        }
    }

    fn take(&mut self, order: Order) {
        match order {
            Order::Attach(id, position, sender) => {
                let opened = self
                    .streams
                    .get_mut(&id)
                    .map(|stream| stream.attach(position));
                let _ = sender.send(opened.ok_or_else(|| StatusCode::NOT_FOUND.into()));
            }
            Order::CacheEvents(after, sender) => {
                let _ = sender.send(json!(self.cache.events(after)));
            }
            Order::Cancel(id) => {
                self.streams.remove(&id);
            }
            Order::Control(body, sender) => {
                let _ = sender.send(self.control(&body));
            }
            Order::Instruct(body, sender) => {
                let _ = sender.send(self.instruct(&body));
            }
            Order::Load(sender) => {
                let report = self.reports.front().map(|(_, load)| load.clone());
                let _ = sender.send(report.unwrap_or_else(|| self.load()));
            }
            Order::Spent(sender) => {
                let _ = sender.send(json!({ "runs": self.runs, "spent": self.spent }));
            }
            Order::Start(body, sender) => {
                let _ = sender.send(self.start(&body));
            }
        }
    }
}

#[derive(Clone, Copy)]
enum Endpoint {
    Attach,
    CacheEvents,
    Cancel,
    Control,
    Instruct,
    Load,
    Spent,
    Start,
}

struct Http {
    endpoint: Endpoint,
    sender: mpsc::UnboundedSender<Order>,
}

impl Http {
    async fn ask<T>(&self, order: impl FnOnce(oneshot::Sender<T>) -> Order) -> Option<T> {
        let (sender, receiver) = oneshot::channel();
        let _ = self.sender.send(order(sender));
        receiver.await.ok()
    }

    async fn json(
        &self,
        response: &mut Response,
        order: impl FnOnce(oneshot::Sender<Value>) -> Order,
    ) {
        if let Some(body) = self.ask(order).await {
            http::answer(response, StatusCode::OK, &body);
        }
    }
}

#[salvo::handler]
impl Http {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let id: String = request.param("id").unwrap_or_default();
        match self.endpoint {
            Endpoint::Attach => {
                let position = request.query("starting_after").unwrap_or(0);
                let opened = self.ask(|sender| Order::Attach(id, position, sender)).await;
                stream_to(response, opened);
            }
            Endpoint::CacheEvents => {
                let after = request.query("after").unwrap_or(0);
                self.json(response, |sender| Order::CacheEvents(after, sender))
                    .await;
            }
            Endpoint::Cancel => {
                let _ = self.sender.send(Order::Cancel(id));
                http::answer(response, StatusCode::OK, &json!({}));
            }
            Endpoint::Control => {
                let body = http::json_body(request).await;
                self.json(response, |sender| Order::Control(body, sender))
                    .await;
            }
            Endpoint::Instruct => {
                let body = http::json_body(request).await;
                let taken = self.ask(|sender| Order::Instruct(body, sender)).await;
                let status = if taken == Some(true) {
                    StatusCode::OK
                } else {
                    StatusCode::CONFLICT
                };
                http::answer(response, status, &json!({}));
            }
            Endpoint::Load => self.json(response, Order::Load).await,
            Endpoint::Spent => self.json(response, Order::Spent).await,
            Endpoint::Start => {
                let body = http::json_body(request).await;
                let opened = self.ask(|sender| Order::Start(body, sender)).await;
                stream_to(response, opened);
            }
        }
    }
}

fn stream_to(response: &mut Response, opened: Option<Opened>) {
    match opened {
        Some(Ok(receiver)) => {
            let _ = response.add_header(header::CONTENT_TYPE, "text/event-stream", true);
            response.stream(events(receiver));
        }
        Some(Err(refusal)) => {
            if refusal.leaving {
                let _ = response.add_header("x-leaving", "true", true);
            }
            response.status_code(refusal.status);
        }
        None => {
            response.status_code(StatusCode::INTERNAL_SERVER_ERROR);
        }
    }
}

fn events(
    receiver: mpsc::UnboundedReceiver<Bytes>,
) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
    futures_util::stream::unfold(receiver, |mut receiver| async move {
        let mut bytes = receiver.recv().await?.to_vec();
        while let Ok(more) = receiver.try_recv() {
            bytes.extend_from_slice(&more);
        }
        Some((Ok(Bytes::from(bytes)), receiver))
    })
}
