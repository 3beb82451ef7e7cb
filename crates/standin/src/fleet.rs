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

    /// Starts a fleet and applies the declaration; returns when it is in force everywhere.
    pub async fn start(plan: &Plan) -> Self {
        let platform = start_platform(plan);
        wait_for(platform.address, "/instances").await;
        let yard = start_yard();
        let engines: Vec<Member> = (1..=plan.engines)
            .map(|number| start_engine(plan, &format!("runner-{number}")))
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
        for number in 1..=plan.instances {
            fleet.start_instance(plan, &format!("entry-{number}")).await;
        }
        fleet.publish().await;
        fleet.apply(Self::declaration()).await;
        fleet.ready().await;
        fleet
    }

    /// Applies a declaration through the first instance.
    pub async fn apply(&self, declaration: Declaration) -> u64 {
        let address = self.operators[0].to_string();
        let began = Instant::now();
        loop {
            if let Ok(mut client) = wellplank_ctl::Client::connect(&address, OPERATOR_KEY).await
                && let Ok(reply) = client.apply(declaration.clone(), None, false).await
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

    /// Work of all engines that answer.
    pub async fn spent(&self) -> engine::Spent {
        let mut sum = engine::Spent::default();
        for engine in &self.engines {
            let Some(body) = http::get(engine.address, "/control/spent").await else {
                continue;
            };
            let spent: engine::Spent =
                serde_json::from_value(body["spent"].clone()).unwrap_or_default();
            sum.cached += spent.cached;
            sum.generated += spent.generated;
            sum.prefilled += spent.prefilled;
            sum.started += spent.started;
        }
        sum
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

fn start_engine(plan: &Plan, name: &str) -> Member {
    let address = host::free_address();
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
