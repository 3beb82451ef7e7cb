//! A small deployment on loopback addresses: the store, runners and instances, each a process of its own but the store.

use crate::{http, store::Store};
use std::{
    fs::File,
    io::{self, BufRead, BufReader, Write},
    net::TcpListener,
    path::{Path, PathBuf},
    process::{Child, ChildStdin, Command, Stdio},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

/// Services of the configuration.
pub const ENGINES: &str = "pool";
pub const DESK: &str = "desk";

/// Host of all routes.
pub const HOST: &str = "a.example";

/// Time that an instance has to be ready.
const READY: Duration = Duration::from_secs(15);

/// What was seen, with the time since the start.
#[derive(Clone)]
pub struct Record(Arc<(Instant, Mutex<(File, Vec<String>)>)>);

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = File::create(path)?;
        Ok(Self(Arc::new((Instant::now(), Mutex::new((file, Vec::new()))))))
    }

    pub fn line(&self, text: &str) {
        let since = self.0.0.elapsed().as_millis();
        let mut state = self.0.1.lock().unwrap();
        let _ = writeln!(state.0, "{since:>6} ms  {text}");
        state.1.push(text.to_owned());
    }

    /// All lines so far, without their times.
    pub fn lines(&self) -> Vec<String> {
        self.0.1.lock().unwrap().1.clone()
    }
}

/// A process of the system under test.
pub struct Instance {
    pub callers: String,
    child: Mutex<Child>,
    /// Times that it ended by itself.
    pub ends: AtomicU32,
    file: PathBuf,
    folder: PathBuf,
    is_supervised: AtomicBool,
    pub name: String,
    program: PathBuf,
    ready: String,
}

/// A runner and what starts it again.
pub struct Runner {
    address: String,
    control: Mutex<Option<ChildStdin>>,
    is_supervised: AtomicBool,
    kind: &'static str,
    pub name: String,
    pid: Mutex<Option<Child>>,
    service: &'static str,
    work_ms: u64,
    pub zone: String,
}

pub struct Site {
    folder: PathBuf,
    pub instances: Vec<Arc<Instance>>,
    program: PathBuf,
    pub record: Record,
    pub runners: Vec<Arc<Runner>>,
    store_address: String,
}

/// Starts a process of the system, with the command of the deploy file, and notes its number.
fn start(program: &Path, file: &Path, folder: &Path, name: &str) -> io::Result<Child> {
    let append = |name: &str| File::options().append(true).create(true).open(folder.join(name));
    let log = append(&format!("{name}.log"))?;
    let child = Command::new(program)
        .args(["run", "--settings"])
        .arg(file)
        .stdin(Stdio::null())
        .stderr(log.try_clone()?)
        .stdout(log)
        .spawn()?;
    writeln!(append("processes")?, "{}", child.id())?;
    Ok(child)
}

/// A free port at a loopback address of its own, so that no outgoing connection takes it meanwhile.
fn free_address() -> io::Result<String> {
    static GIVEN: AtomicU32 = AtomicU32::new(0);
    let number = GIVEN.fetch_add(1, Ordering::Relaxed);
    let address = format!("127.77.{}.{}:0", number / 200, number % 200 + 1);
    Ok(TcpListener::bind(address)?.local_addr()?.to_string())
}

/// The desired state: a stream that may be resumed, and calls that may be repeated or not.
fn configuration(tenants: &[(&str, &str)]) -> String {
    let route = |name: &str, path: &str, rest: &str| {
        format!(r#"{{"name":"{name}","host":"{HOST}","path_prefix":"{path}","priority":1,"public":false,{rest}}}"#)
    };
    let routes = [
        route(
            "draft",
            "/draft/",
            &format!(
                r#""kind":"streaming","timeout_ms":25000,"slo_ms":4500,"service":"{ENGINES}","max_attempts":5,"sticky":true,"can_resume":true,"gap_target_ms":700"#
            ),
        ),
        route(
            "lookup",
            "/lookup/",
            &format!(r#""kind":"non_idempotent","timeout_ms":1500,"slo_ms":300,"service":"{DESK}","max_attempts":1"#),
        ),
    ];
    let tenant = |(name, key): &(&str, &str)| format!(r#"{{"name":"{name}","api_keys":["{key}"],"priority":1}}"#);
    let tenants: Vec<String> = tenants.iter().map(tenant).collect();
    format!(
        r#"{{"version":7,"routes":[{}],"services":[{{"name":"{ENGINES}","health_path":"/health","max_conns":360,"engine":{{"slots":64,"kv_capacity":55000,"kv_token_bytes":327680,"backups":true,"moves":true,"handle_s":4.0}}}},{{"name":"{DESK}","health_path":"/health","max_conns":96}}],"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},"tenants":[{}]}}"#,
        routes.join(","),
        tenants.join(",")
    )
}

impl Site {
    /// Starts the store, which holds a configuration. `program` is the system's own.
    pub fn start(
        folder: &Path,
        program: &Path,
        record: Record,
        tenants: &[(&str, &str)],
    ) -> io::Result<Self> {
        let store = Store::default();
        let store_address = store.start()?;
        store.put("op/config", &configuration(tenants));
        Ok(Self {
            folder: folder.to_owned(),
            instances: Vec::new(),
            program: program.to_owned(),
            record,
            runners: Vec::new(),
            store_address,
        })
    }

    /// Adds a runner and starts it.
    pub fn add_runner(
        &mut self,
        name: &str,
        service: &'static str,
        zone: &str,
        work_ms: u64,
    ) -> io::Result<()> {
        let runner = Arc::new(Runner {
            address: free_address()?,
            control: Mutex::default(),
            is_supervised: AtomicBool::new(true),
            kind: if service == ENGINES { "engine" } else { "plain" },
            name: name.to_owned(),
            pid: Mutex::default(),
            service,
            work_ms,
            zone: zone.to_owned(),
        });
        runner.spawn(&self.store_address, &self.record)?;
        self.runners.push(runner);
        Ok(())
    }

    /// Adds an instance with settings as the platform's template gives them, and starts it.
    pub fn add_instance(&mut self, name: &str, zone: &str) -> io::Result<()> {
        let [callers, ready, peers, metrics] =
            [free_address()?, free_address()?, free_address()?, free_address()?];
        let settings = format!(
            r#"{{"core":{{"held_bytes_max":67108864,"probe_ms":1000,"probes":false,"retry":{{"extra":150,"ratio":0.8,"window_ms":10000}},"retry_earn":0.4,"versions":"side_by_side"}},"data_centre":"{zone}","hosted":{{"apply_ms":2000,"grace_ms":8000,"heartbeat_ms":1200,"link_mbps":1000.0,"leave_ms":2000,"metrics":"{metrics}","peers":"{peers}","ready":"{ready}","store":"{}"}},"instance":"{name}","listen":{{"callers":"{callers}"}}}}"#,
            self.store_address
        );
        let file = self.folder.join(format!("{name}.json"));
        std::fs::write(&file, settings)?;
        let child = start(&self.program, &file, &self.folder, name)?;
        self.record.line(&format!("instance {name} started"));
        self.instances.push(Arc::new(Instance {
            callers,
            child: Mutex::new(child),
            ends: AtomicU32::new(0),
            file,
            folder: self.folder.clone(),
            is_supervised: AtomicBool::new(true),
            name: name.to_owned(),
            program: self.program.clone(),
            ready,
        }));
        Ok(())
    }

    /// Waits until all instances are ready; false if one is not.
    pub fn wait_until_ready(&self) -> bool {
        let until = Instant::now() + READY;
        let is_ready = |instance: &Arc<Instance>| {
            let answer = http::exchange(&instance.ready, "GET", "/api/ready", b"");
            answer.is_ok_and(|(status, _)| status == 200)
        };
        while Instant::now() < until {
            if self.instances.iter().all(is_ready) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn runner(&self, name: &str) -> Arc<Runner> {
        let runner = self.runners.iter().find(|runner| runner.name == name);
        runner.expect("the runner was added").clone()
    }

    /// Starts a runner again after its end, if it is supervised, until the site is dropped.
    pub fn supervise(&self, runner: &Arc<Runner>) {
        let (runner, store, record) =
            (runner.clone(), self.store_address.clone(), self.record.clone());
        std::thread::spawn(move || {
            loop {
                let ended = {
                    let mut child = runner.pid.lock().unwrap();
                    child.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)))
                };
                if !runner.is_supervised.load(Ordering::Relaxed) {
                    return;
                }
                if ended && runner.spawn(&store, &record).is_err() {
                    record.line(&format!("runner {} could not be started", runner.name));
                    return;
                }
                std::thread::sleep(Duration::from_millis(1));
            }
        });
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for runner in &self.runners {
            runner.is_supervised.store(false, Ordering::Relaxed);
        }
        for instance in &self.instances {
            instance.is_supervised.store(false, Ordering::Relaxed);
        }
        std::thread::sleep(Duration::from_millis(50));
        for runner in &self.runners {
            runner.kill();
        }
        for instance in &self.instances {
            instance.kill();
        }
    }
}

impl Runner {
    fn spawn(&self, store: &str, record: &Record) -> io::Result<()> {
        let mut child = Command::new(std::env::current_exe()?)
            .arg("runner")
            .args([&self.name, &self.address, self.service, &self.zone, store, self.kind])
            .arg(self.work_ms.to_string())
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let out = child.stdout.take().ok_or(io::ErrorKind::BrokenPipe)?;
        let (name, record) = (self.name.clone(), record.clone());
        std::thread::spawn(move || {
            for line in BufReader::new(out).lines().map_while(Result::ok) {
                record.line(&format!("runner {name}: {line}"));
            }
        });
        *self.control.lock().unwrap() = child.stdin.take();
        *self.pid.lock().unwrap() = Some(child);
        Ok(())
    }

    /// Lets the runner leave: its entry goes, it serves on for a while and ends.
    pub fn leave(&self) {
        if let Some(control) = self.control.lock().unwrap().as_mut() {
            let _ = control.write_all(b"leave\n");
        }
    }

    /// Kills the runner.
    pub fn kill(&self) {
        if let Some(child) = self.pid.lock().unwrap().as_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Instance {
    /// Starts the process again some time after it has ended by itself, as the platform does.
    pub fn supervise(self: &Arc<Self>, after: Duration, record: &Record) {
        let (instance, record) = (self.clone(), record.clone());
        std::thread::spawn(move || {
            while instance.is_supervised.load(Ordering::Relaxed) {
                std::thread::sleep(Duration::from_millis(10));
                let Some(status) = instance.ended() else {
                    continue;
                };
                instance.ends.fetch_add(1, Ordering::Relaxed);
                record.line(&format!("instance {} ended by itself: {status}", instance.name));
                std::thread::sleep(after);
                let child = start(&instance.program, &instance.file, &instance.folder, &instance.name);
                match child {
                    Ok(child) => *instance.child.lock().unwrap() = child,
                    Err(_) => return,
                }
                record.line(&format!("instance {} started", instance.name));
            }
        });
    }

    /// How the process has ended, if it has.
    pub fn ended(&self) -> Option<String> {
        let status = self.child.lock().unwrap().try_wait().ok()??;
        Some(status.to_string())
    }

    pub fn kill(&self) {
        let mut child = self.child.lock().unwrap();
        let _ = child.kill();
        let _ = child.wait();
    }
}
