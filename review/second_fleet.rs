//! Instances as separate processes, started with the command of the deploy file, each at a loopback address of its own.

use crate::{http::Connection, record::note, store::Store};
use std::{
    fs,
    net::{TcpListener, UdpSocket},
    path::PathBuf,
    process::{Child, Command, Stdio},
    thread,
    time::{Duration, Instant},
};

/// First of the ports that are tried, and the distance to the next ones. Ports are the same on all machines.
const FIRST_PORT: u16 = 18_740;
const PORT_STEP: u16 = 16;

/// Places of the ports behind the first one.
const CALLERS: u16 = 0;
const READY: u16 = 1;
const PEERS: u16 = 2;
const METRICS: u16 = 3;
const PORTS: u16 = 4;

/// An instance.
pub struct Instance {
    pub name: String,
    ip: String,
    port: u16,
    settings: PathBuf,
    process: Option<Child>,
}

/// All instances; those that run are killed when it is dropped.
pub struct Fleet {
    folder: PathBuf,
    pub instances: Vec<Instance>,
}

impl Instance {
    pub fn callers(&self) -> String {
        format!("{}:{}", self.ip, self.port + CALLERS)
    }

    pub fn is_ready(&self) -> bool {
        let ask = || {
            let mut connection = Connection::connect(
                &format!("{}:{}", self.ip, self.port + READY),
                Duration::from_millis(300),
            )?;
            connection
                .stream()
                .set_read_timeout(Some(Duration::from_millis(500)))?;
            connection.write(b"GET /api/ready HTTP/1.1\r\nHost: ready\r\n\r\n")?;
            connection.message()
        };
        ask().is_ok_and(|answer| answer.status() == 200)
    }

    pub fn start(&mut self) {
        let log = self.settings.with_extension("log");
        let log = fs::File::options()
            .create(true)
            .append(true)
            .open(log)
            .expect("the folder is writable");
        let errors = log.try_clone().expect("the file is open");
        let process = Command::new("target/release/wellplank")
            .args(["run", "--settings"])
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        self.process = process.ok();
        note(&format!("start {}", self.name));
    }

    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
            note(&format!("kill {}", self.name));
        }
    }
}

/// A loopback network that is most likely not in use by another run.
pub fn network() -> String {
    let id = std::process::id();
    format!("127.{}.{}", 40 + id % 200, id / 200 % 250)
}

/// The first of a few ports that are free at the addresses of so many instances.
fn free_ports(instances: usize) -> Option<u16> {
    let is_free = |port: u16| {
        let mut places =
            (0..instances).flat_map(|number| (0..PORTS).map(move |place| (number, port + place)));
        places.all(|(number, port)| {
            let ip = format!("{}.{}", network(), 10 + number);
            TcpListener::bind((ip.as_str(), port)).is_ok()
                && UdpSocket::bind((ip.as_str(), port)).is_ok()
        })
    };
    (0..200)
        .map(|step| FIRST_PORT + PORT_STEP * step)
        .find(|port| is_free(*port))
}

impl Fleet {
    /// Starts instances in zones, one after the other, and waits until all are ready.
    pub fn start(names: &[(&str, &str)], store: &str) -> Option<Self> {
        let folder = std::env::temp_dir().join(format!("wellplank-case-{}", std::process::id()));
        fs::create_dir_all(&folder).ok()?;
        let port = free_ports(names.len())?;
        let mut fleet = Self {
            folder: folder.clone(),
            instances: Vec::new(),
        };
        for (number, (name, zone)) in names.iter().enumerate() {
            let ip = format!("{}.{}", network(), 10 + number);
            let settings = folder.join(format!("{name}.json"));
            fs::write(&settings, text(name, zone, &ip, port, store)).ok()?;
            let mut instance = Instance {
                name: (*name).to_owned(),
                ip,
                port,
                settings,
                process: None,
            };
            instance.start();
            fleet.instances.push(instance);
        }
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if fleet.instances.iter().all(Instance::is_ready) {
                note("all instances are ready");
                return Some(fleet);
            }
            thread::sleep(Duration::from_millis(50));
        }
        None
    }

    pub fn kill_all(&mut self) {
        for instance in &mut self.instances {
            if let Some(process) = &mut instance.process {
                let _ = process.kill();
            }
        }
        for instance in &mut self.instances {
            instance.kill();
        }
    }

    pub fn addresses(&self) -> Vec<String> {
        self.instances.iter().map(Instance::callers).collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.kill_all();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

/// The settings of an instance, as the template of the deploy file gives them with the bounds of the grown site.
fn text(name: &str, zone: &str, ip: &str, port: u16, store: &str) -> String {
    let [callers, ready, peers, metrics] =
        [CALLERS, READY, PEERS, METRICS].map(|place| port + place);
    format!(
        r#"{{
  "core": {{
    "held_bytes_max": 67108864,
    "probe_ms": 1000,
    "probes": false,
    "retry": {{ "extra": 150, "ratio": 0.8, "window_ms": 10e3 }},
    "retry_earn": 0.4,
    "versions": "side_by_side"
  }},
  "data_centre": "{zone}",
  "hosted": {{
    "apply_ms": 3000,
    "grace_ms": 8e3,
    "heartbeat_ms": 1200,
    "link_mbps": 200.0,
    "leave_ms": 3000,
    "metrics": "{ip}:{metrics}",
    "peers": "{ip}:{peers}",
    "ready": "{ip}:{ready}",
    "store": "{store}"
  }},
  "instance": "{name}",
  "listen": {{ "callers": "{ip}:{callers}" }}
}}
"#
    )
}

/// The operator writes the desired state.
pub fn configure(store: &Store, version: u64, routes: &str, services: &str) {
    let document = format!(
        r#"{{"version":{version},"routes":[{routes}],"services":[{services}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{{"name":"mill","api_keys":["key-1"],"priority":1}}]}}"#
    );
    store.put("op/config", &document);
    note(&format!("the operator writes version {version}"));
}
