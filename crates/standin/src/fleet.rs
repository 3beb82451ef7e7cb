//! A small fleet in one process: a platform, engines, a plain service and instances, each with a
//! runtime of its own, so that each can be ended like a process.

use super::*;
use wellplank_wire::operator::{self as schema, Declaration};

/// Key of the operators of a fleet.
pub const OPERATOR_KEY: &str = "operator";

/// Pool of the engines.
const RUNNERS: &str = "runner";

/// Pool of the plain service.
const YARD: &str = "yard";

/// Time that a fleet has to be ready.
const PATIENCE: Duration = Duration::from_secs(20);

/// How many of each, and their settings.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Changes to the settings of every instance, merged over the defaults.
    pub core: Value,
    /// What each engine is like; the address is set by the fleet.
    pub engine: Engine,
    /// Count of engines.
    pub engines: usize,
    /// Count of instances.
    pub instances: usize,
    /// Where counters are sent, if anywhere.
    pub metrics: Option<SocketAddr>,
    /// What the platform is like; the address is set by the fleet.
    pub platform: Platform,
}

/// A stand-in or an instance of a fleet.
pub struct Member {
    /// Where it listens for the system or callers.
    pub address: SocketAddr,
    /// Its runtime.
    pub host: Host,
    /// Name in the platform's list.
    pub name: String,
}

/// A running fleet.
pub struct Fleet {
    /// Engines.
    pub engines: Vec<Member>,
    /// Instances; their addresses are those for callers.
    pub instances: Vec<Member>,
    /// Instances, to be stopped as planned.
    pub nodes: Vec<Option<wellplank_node::Instance>>,
    /// Addresses of the instances for operators.
    pub operators: Vec<SocketAddr>,
    /// The platform.
    pub platform: Member,
    /// The plain service.
    pub yard: Member,
    lines: Vec<platform::Line>,
}

impl Default for Plan {
    fn default() -> Self {
        let anywhere = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            core: json!({}),
            engine: Engine::new(anywhere),
            engines: 3,
            instances: 2,
            metrics: None,
            platform: Platform::new(anywhere),
        }
    }
}

impl Fleet {
    /// The declaration that every fleet begins with.
    pub fn declaration() -> Declaration {
        let service = |name: &str| schema::Service {
            deadline_ms: 600_000,
            max_wait_ms: 10_000,
            model: "llm".into(),
            name: name.into(),
            repeatable: true,
            ..Default::default()
        };
        Declaration {
            customers: vec![customer("hemelarchief", 500), customer("sawmill", 500)],
            models: vec![schema::Model {
                adapters: vec!["notebooks".into()],
                name: "llm".into(),
                pool: RUNNERS.into(),
                version: "1".into(),
            }],
            services: vec![
                service("notebook-summary"),
                schema::Service {
                    policy: schema::Policy::Latency.into(),
                    priority: schema::Priority::Urgent.into(),
                    ..service("cutting-plan")
                },
                schema::Service {
                    repeatable: false,
                    ..service("catalogue-draft")
                },
                schema::Service {
                    model: String::new(),
                    pool: YARD.into(),
                    priority: schema::Priority::Urgent.into(),
                    ..service("availability")
                },
                schema::Service {
                    model: String::new(),
                    pool: YARD.into(),
                    priority: schema::Priority::Urgent.into(),
                    repeatable: false,
                    ..service("reservation")
                },
            ],
        }
    }

    /// Settings of one instance.
    pub fn settings(plan: &Plan, name: &str, platform: SocketAddr) -> Value {
        let mut settings = wellplank_node::Settings::defaults();
        settings["instance"] = name.into();
        settings["list_ms"] = 200.into();
        settings["settle_ms"] = 1_000.into();
        settings["operator_key"] = OPERATOR_KEY.into();
        settings["metrics"] = json!(plan.metrics);
        settings["platform"] = json!({ "list": platform, "store": platform });
        settings["listen"] = json!({
            "callers": host::free_address(),
            "operators": host::free_address(),
            "peers": host::free_address(),
        });
        if let Value::Object(changes) = &plan.core {
            for (name, value) in changes {
                settings["core"][name] = value.clone();
            }
        }
        settings
    }

    /// Starts a fleet whose only instance is a process of its own; its address for callers too.
    pub async fn start_with_process(plan: &Plan) -> (Self, SocketAddr, process::Process) {
        let (fleet, mut processes) = Self::start_with_processes(plan, 1).await;
        let process = processes.pop().expect("one was started");
        (fleet, process.callers, process)
    }

    /// Starts a fleet whose instances are processes of their own.
    pub async fn start_with_processes(
        plan: &Plan,
        instances: usize,
    ) -> (Self, Vec<process::Process>) {
        let mut fleet = Self::start_members(plan).await;
        let mut processes = Vec::new();
        for number in 1..=instances {
            let name = format!("entry-{number}");
            let settings = Self::settings(plan, &name, fleet.platform.address);
            let process = process::Process::start(&settings).expect("wellplank is built beside");
            fleet.lines.push(line(&name, "wellplank", process.peers));
            fleet.operators.push(process.operators);
            processes.push(process);
        }
        fleet.publish().await;
        fleet.apply(Self::declaration()).await;
        fleet.ready().await;
        (fleet, processes)
    }

    /// Starts a fleet and applies the declaration; returns when it is in force everywhere.
    pub async fn start(plan: &Plan) -> Self {
        let mut fleet = Self::start_members(plan).await;
        for number in 1..=plan.instances {
            fleet.start_instance(plan, &format!("entry-{number}")).await;
        }
        fleet.publish().await;
        fleet.apply(Self::declaration()).await;
        fleet.ready().await;
        fleet
    }

    /// Starts everything but the instances.
    async fn start_members(plan: &Plan) -> Self {
        let platform = start_platform(plan);
        wait_for(platform.address, "/instances").await;
        let yard = start_yard();
        let engines: Vec<Member> = (1..=plan.engines)
            .map(|number| start_engine(plan, &format!("runner-{number}"), host::free_address()))
            .collect();
        let mut fleet = Self {
            engines,
            instances: Vec::new(),
            lines: Vec::new(),
            nodes: Vec::new(),
            operators: Vec::new(),
            platform,
            yard,
        };
        for engine in &fleet.engines {
            fleet
                .lines
                .push(line(&engine.name, RUNNERS, engine.address));
        }
        let yard = line(&fleet.yard.name, YARD, fleet.yard.address);
        fleet.lines.push(yard);
        fleet
    }

    /// Applies a declaration through the first instance.
    pub async fn apply(&self, declaration: Declaration) -> u64 {
        let address = self.operators[0].to_string();
        let began = Instant::now();
        loop {
            if let Ok(mut client) = wellplank_ctl::Client::connect(&address, OPERATOR_KEY).await
                && let Ok(reply) = client.apply(declaration.clone(), None, false, "").await
            {
                return reply.revision;
            }
            assert!(
                began.elapsed() < PATIENCE,
                "no instance accepts the declaration"
            );
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Starts one more instance and puts it on the list.
    pub async fn add_instance(&mut self, plan: &Plan, name: &str) {
        self.start_instance(plan, name).await;
        self.publish().await;
    }

    /// Puts one more upstream on the list.
    pub async fn add_upstream(&mut self, name: &str, address: SocketAddr) {
        self.add_upstream_of(RUNNERS, name, address).await;
    }

    /// Puts one more upstream of a pool on the list.
    pub async fn add_upstream_of(&mut self, pool: &str, name: &str, address: SocketAddr) {
        self.lines.push(line(name, pool, address));
        self.publish().await;
    }

    /// A client for operators of an instance.
    pub async fn operator(&self, index: usize) -> wellplank_ctl::Client {
        let address = self.operators[index].to_string();
        let client = wellplank_ctl::Client::connect(&address, OPERATOR_KEY).await;
        client.expect("the instance answers")
    }

    /// Waits until every instance has a revision in force; the time that took.
    pub async fn in_force(&self, revision: u64) -> Duration {
        let began = Instant::now();
        let instances = (0..self.operators.len()).map(async |index| {
            let mut operator = self.operator(index).await;
            while operator.status().await.map_or(0, |status| status.revision) < revision {
                assert!(
                    began.elapsed() < PATIENCE,
                    "revision {revision} is not in force in time"
                );
                sleep(Duration::from_millis(2)).await;
            }
        });
        futures_util::future::join_all(instances).await;
        began.elapsed()
    }

    /// Address of an instance for callers.
    pub fn caller_address(&self, index: usize) -> SocketAddr {
        self.instances[index].address
    }

    /// Address of an instance for other instances.
    pub fn peer_address(&self, index: usize) -> SocketAddr {
        let name = &self.instances[index].name;
        let mut lines = self.lines.iter();
        let line = lines.find(|line| line.instance == *name);
        line.expect("every instance is listed").address
    }

    /// Sum of a counter over all instances that answer.
    pub async fn counter(&self, name: &str) -> u64 {
        let mut sum = 0;
        for address in &self.operators {
            let address = address.to_string();
            if let Ok(mut client) = wellplank_ctl::Client::connect(&address, OPERATOR_KEY).await
                && let Ok(status) = client.status().await
            {
                let counts = status.counters.iter();
                sum += counts
                    .filter(|count| count.name.starts_with(name))
                    .map(|count| count.value)
                    .sum::<u64>();
            }
        }
        sum
    }

    /// Marks a member as leaving in the platform's list.
    pub async fn leave(&mut self, name: &str) {
        for line in &mut self.lines {
            line.leaving |= line.instance == name;
        }
        self.publish().await;
    }

    /// Starts an engine that has ended again, empty, at its address.
    pub fn restart_engine(&mut self, index: usize, plan: &Plan) {
        let engine = &self.engines[index];
        self.engines[index] = start_engine(plan, &engine.name, engine.address);
    }

    /// Work of all engines that answer.
    pub async fn spent(&self) -> engine::Spent {
        let mut sum = engine::Spent::default();
        for index in 0..self.engines.len() {
            sum.add(&self.spent_by(index).await);
        }
        sum
    }

    /// Work of one engine; none if it does not answer.
    pub async fn spent_by(&self, index: usize) -> engine::Spent {
        let body = http::get(self.engines[index].address, "/control/spent").await;
        let spent = body.map(|body| body["spent"].clone()).unwrap_or_default();
        serde_json::from_value(spent).unwrap_or_default()
    }

    async fn publish(&self) {
        let lines = json!(self.lines);
        let published = http::post(self.platform.address, "/instances", &lines).await;
        assert!(published.is_some(), "the platform takes no list");
    }

    /// Waits until every instance has a configuration and has heard of every engine.
    async fn ready(&self) {
        let began = Instant::now();
        for address in &self.operators {
            let address = address.to_string();
            loop {
                if let Ok(mut client) = wellplank_ctl::Client::connect(&address, OPERATOR_KEY).await
                    && let Ok(status) = client.status().await
                    && status.ready
                    && status.upstreams.len() == self.engines.len() + 1
                    && status.upstreams.iter().all(|upstream| upstream.slots > 0)
                {
                    break;
                }
                assert!(began.elapsed() < PATIENCE, "{address} is not ready in time");
                sleep(Duration::from_millis(20)).await;
            }
        }
    }

    async fn start_instance(&mut self, plan: &Plan, name: &str) {
        let settings = Self::settings(plan, name, self.platform.address).to_string();
        let settings = wellplank_node::Settings::parse(&settings).expect("settings without fault");
        let (callers, operators) = (settings.listen.callers, settings.listen.operators);
        self.lines
            .push(line(name, "wellplank", settings.listen.peers));
        let host = Host::new(2);
        let node = host.run(wellplank_node::Instance::start(settings)).await;
        let node = node
            .expect("its runtime runs")
            .expect("its addresses are free");
        self.nodes.push(Some(node));
        self.operators.push(operators);
        self.instances.push(Member {
            address: callers,
            host,
            name: name.to_owned(),
        });
    }
}

fn customer(name: &str, max_running: u32) -> schema::Customer {
    schema::Customer {
        all_services: true,
        key_digest: blake3::hash(name.as_bytes()).to_hex().to_string(),
        max_running,
        name: name.into(),
        services: Vec::new(),
        weight: 1,
    }
}

fn line(name: &str, pool: &str, address: SocketAddr) -> platform::Line {
    platform::Line {
        address,
        data_centre: "a".into(),
        instance: name.into(),
        leaving: false,
        pool: pool.into(),
    }
}

fn member(
    name: &str,
    address: SocketAddr,
    serve: impl Future<Output = ()> + Send + 'static,
) -> Member {
    let host = Host::new(1);
    host.spawn(serve);
    Member {
        address,
        host,
        name: name.to_owned(),
    }
}

fn start_engine(plan: &Plan, name: &str, address: SocketAddr) -> Member {
    let engine = Engine {
        address,
        ..plan.engine.clone()
    };
    member(name, address, engine.serve())
}

fn start_platform(plan: &Plan) -> Member {
    let address = host::free_address();
    let platform = Platform {
        address,
        ..plan.platform.clone()
    };
    member("platform", address, platform.serve())
}

fn start_yard() -> Member {
    let address = host::free_address();
    member("yard-1", address, Plain::new(address).serve())
}

async fn wait_for(address: SocketAddr, path: &str) {
    let began = Instant::now();
    while http::get(address, path).await.is_none() {
        assert!(
            began.elapsed() < PATIENCE,
            "{address} does not answer in time"
        );
        sleep(Duration::from_millis(10)).await;
    }
}
