//! The instances, each a process of the deploy file's command, and requests to them.

use crate::{http, record::Record};
use std::{
    fs,
    io::Write,
    net::{SocketAddr, TcpListener},
    path::PathBuf,
    process::{Child, Command, Stdio},
    time::{Duration, Instant},
};

/// Time in which all instances must be ready.
const READY_MAX: Duration = Duration::from_secs(15);

/// Time that a client waits.
const CLIENT_TIMEOUT_MS: u64 = 1_500;

/// An instance.
pub struct Instance {
    child: Child,
    pub front: SocketAddr,
    ready: SocketAddr,
}

/// All instances, which end with it.
pub struct Fleet {
    folder: PathBuf,
    pub instances: Vec<Instance>,
}

impl Fleet {
    /// Starts an instance in each of the zones, by settings as the template has them.
    pub fn start(zones: &[&str], store: SocketAddr, record: &Record) -> Result<Self, String> {
        let folder = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        fs::create_dir_all(&folder).map_err(|error| error.to_string())?;
        let mut fleet = Self {
            folder,
            instances: Vec::new(),
        };
        for (number, zone) in zones.iter().enumerate() {
            let instance = fleet.instance(number, zone, store);
            let instance = instance.map_err(|error| error.to_string())?;
            record.line(&format!(
                "instance {number} in {zone} listens on {}",
                instance.front
            ));
            fleet.instances.push(instance);
        }
        Ok(fleet)
    }

    fn instance(&self, number: usize, zone: &str, store: SocketAddr) -> std::io::Result<Instance> {
        let [front, ready, peers, metrics] = free_addresses();
        let settings = format!(
            "{{\"core\":{{\"held_bytes_max\":67108864,\"probe_ms\":1000,\"probes\":false,\
             \"retry\":{{\"extra\":150,\"ratio\":0.8,\"window_ms\":10e3}},\"retry_earn\":0.4,\"versions\":\"side_by_side\"}},\
             \"data_centre\":\"{zone}\",\"hosted\":{{\"apply_ms\":3000,\"grace_ms\":8e3,\"heartbeat_ms\":1200,\
             \"link_mbps\":1000.0,\"leave_ms\":3000,\"metrics\":\"{metrics}\",\"peers\":\"{peers}\",\"ready\":\"{ready}\",\
             \"store\":\"{store}\"}},\"instance\":\"front-{number}\",\"listen\":{{\"callers\":\"{front}\"}}}}"
        );
        let path = self.folder.join(format!("{number}.json"));
        fs::File::create(&path)?.write_all(settings.as_bytes())?;
        let child = Command::new("target/release/wellplank")
            .args(["run", "--settings"])
            .arg(&path)
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()?;
        Ok(Instance {
            child,
            front,
            ready,
        })
    }

    /// Waits until all instances say that they are ready.
    pub fn await_ready(&self) -> Result<(), String> {
        let until = Instant::now() + READY_MAX;
        let question = b"GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        for instance in &self.instances {
            let is_ready = || {
                let answer = http::ask(instance.ready, question, Duration::from_secs(1));
                answer.is_ok_and(|answer| answer.status() == 200)
            };
            while !is_ready() {
                if Instant::now() > until {
                    return Err(format!("{} is not ready", instance.front));
                }
                std::thread::sleep(Duration::from_millis(50));
            }
        }
        Ok(())
    }

    /// Sends a request to an instance; returns the status of the answer, 0 without one.
    pub fn ask(
        &self,
        number: usize,
        path: &str,
        run: &str,
        key: Option<&str>,
        record: &Record,
    ) -> u16 {
        let instance = &self.instances[number % self.instances.len()];
        let key = key.map_or_else(String::new, |key| format!("Authorization: Token {key}\r\n"));
        let request = format!(
            "POST {path} HTTP/1.1\r\nHost: yard.example\r\nWellplank-Request-Id: {run}\r\n\
             Wellplank-Timeout-Ms: {CLIENT_TIMEOUT_MS}\r\n{key}Content-Length: 4\r\nConnection: close\r\n\r\nplan"
        );
        let time_max = Duration::from_millis(CLIENT_TIMEOUT_MS);
        let answer = http::ask(instance.front, request.as_bytes(), time_max);
        let status = answer.map_or(0, |answer| answer.status());
        record.line(&format!(
            "client sent {run}: POST {path} to {}, answered {status}",
            instance.front
        ));
        status
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for instance in &mut self.instances {
            let _ = instance.child.kill();
            let _ = instance.child.wait();
        }
        let _ = fs::remove_dir_all(&self.folder);
    }
}

/// Addresses that nothing listens on.
fn free_addresses() -> [SocketAddr; 4] {
    let listeners = [(); 4].map(|()| TcpListener::bind("127.0.0.1:0").expect("a port is free"));
    listeners.map(|listener| listener.local_addr().expect("a bound port has an address"))
}
