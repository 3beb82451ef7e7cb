//! Ways in which a process ends: each is a planned stop, in which nothing that callers are owed is dropped.

use {
    googletest::prelude::*,
    serde_json::{Value, json},
    std::{
        fs::File,
        io::{ErrorKind, Read, Write},
        net::{SocketAddr, TcpListener, TcpStream},
        os::unix::process::ExitStatusExt,
        path::PathBuf,
        process::{Child, Command, ExitStatus},
        time::{Duration, Instant},
    },
    wellplank_node::Settings,
};

/// Time that anything may take before the test fails.
const PATIENCE: Duration = Duration::from_secs(20);

/// Interval between two looks at a process.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Minimum time of a planned stop on the users' platform, less the interval of its checks.
const STOP_TIME_MIN: Duration = Duration::from_millis(3_400);

/// Settings of an instance on the users' platform, whose store does not answer.
fn hosted_settings() -> Value {
    let [callers, metrics, ready, peers, store] = std::array::from_fn(|_| free_address());
    json!({
        "data_centre": "dc-0",
        "hosted": {
            "grace_ms": 5_000, "metrics": metrics, "peers": peers, "ready": ready, "store": store,
        },
        "instance": "instance-0",
        "listen": { "callers": callers },
    })
}

/// Settings of an instance of the own interface, whose store does not answer.
fn own_settings() -> Value {
    let [callers, operators, peers, platform] = std::array::from_fn(|_| free_address());
    let mut settings = Settings::defaults();
    settings["instance"] = "instance-0".into();
    settings["listen"] = json!({ "callers": callers, "operators": operators, "peers": peers });
    settings["platform"] = json!({ "list": platform, "store": platform });
    settings["settle_ms"] = 500.into();
    settings
}

/// An address that is free now. A process that another test starts meanwhile may hold its listener for a moment.
fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// A caller's connection to an instance of the own interface.
struct Connection(TcpStream);

impl Connection {
    fn open(settings: &Value) -> Self {
        let address = settings["listen"]["callers"].as_str().unwrap();
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(PATIENCE)).unwrap();
        Self(stream)
    }

    /// Sends a request without a key, which is refused; the head of the answer, and as much of the body as came with it.
    fn request(&mut self) -> String {
        self.0
            .write_all(b"GET /services/any/path HTTP/1.1\r\nhost: any\r\n\r\n")
            .unwrap();
        let mut bytes = [0; 4_096];
        let length = self.0.read(&mut bytes).unwrap();
        String::from_utf8_lossy(&bytes[..length]).to_lowercase()
    }

    /// Whether the instance closes the connection within a time, in which it sends no more.
    fn closes_within(&mut self, time: Duration) -> bool {
        self.0.set_read_timeout(Some(time)).unwrap();
        match self.0.read(&mut [0; 16]) {
            Ok(length) => length == 0,
            Err(error) => error.kind() == ErrorKind::ConnectionReset,
        }
    }
}

/// An instance as a process.
struct Process {
    child: Child,
    folder: PathBuf,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

impl Process {
    /// Starts a process that reads its settings from a pipe, and sends it a signal while it waits for them. Waits until it
    /// has started its tasks or ended.
    fn signalled_before_settings(settings: fn() -> Value, signal: &str) -> Self {
        let start = |settings: &Value| Self::signal_before_settings(settings, signal);
        Self::at_free_addresses(settings, start).0
    }

    /// Starts a process; at other addresses if another process took one of them meanwhile.
    fn at_free_addresses(settings: fn() -> Value, start: impl Fn(&Value) -> Self) -> (Self, Value) {
        loop {
            let settings = settings();
            let mut process = start(&settings);
            if process.wait_for_line("started") || !process.errors().contains("failed to listen on")
            {
                return (process, settings);
            }
        }
    }

    fn signal_before_settings(settings: &Value, signal: &str) -> Self {
        let process = Self::spawn(|file| {
            let made = Command::new("mkfifo").arg(file).status();
            assert!(made.unwrap().success());
        });
        let file = process.settings_file();
        // Opens once the process has opened the other end.
        let mut pipe = File::options().write(true).open(&file).unwrap();
        process.signal(signal);
        // What the process reads from now on is a plain file.
        let other = file.with_extension("new");
        std::fs::write(&other, settings.to_string()).unwrap();
        std::fs::rename(&other, &file).unwrap();
        // The process may have ended by the signal, which the assertions of the test report.
        let _ = pipe.write_all(settings.to_string().as_bytes());
        process
    }

    /// Starts a process and waits until it has started its tasks; its settings too.
    fn started(settings: fn() -> Value) -> (Self, Value) {
        let start = |settings: &Value| {
            Self::spawn(|file| std::fs::write(file, settings.to_string()).unwrap())
        };
        let (process, settings) = Self::at_free_addresses(settings, start);
        expect_that!(process.has_line("started"), eq(true));
        (process, settings)
    }

    fn spawn(write_settings: impl FnOnce(&PathBuf)) -> Self {
        let name = format!("wellplank-ends-{}", uuid::Uuid::now_v7());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder).unwrap();
        let file = folder.join("settings.json");
        write_settings(&file);
        let log = File::create(folder.join("log")).unwrap();
        let errors = File::create(folder.join("errors")).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_wellplank"))
            .args(["run", "--settings"])
            .arg(&file)
            .stderr(errors)
            .stdout(log)
            .spawn()
            .unwrap();
        Self { child, folder }
    }

    fn settings_file(&self) -> PathBuf {
        self.folder.join("settings.json")
    }

    fn signal(&self, signal: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &id]).status();
        assert!(sent.unwrap().success());
    }

    fn has_line(&self, message: &str) -> bool {
        let text = std::fs::read_to_string(self.folder.join("log")).unwrap();
        let lines = text
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        lines
            .into_iter()
            .any(|line: Value| line["message"] == message)
    }

    /// What it wrote to standard error.
    fn errors(&self) -> String {
        std::fs::read_to_string(self.folder.join("errors")).unwrap()
    }

    /// Waits for a line of its log; whether it came before the process ended.
    fn wait_for_line(&mut self, message: &str) -> bool {
        let begun = Instant::now();
        while !self.has_line(message) {
            if let Some(status) = self.child.try_wait().unwrap() {
                println!("ended: {status}, {}", self.errors());
                return self.has_line(message);
            }
            assert!(begun.elapsed() < PATIENCE, "no line {message:?}");
            std::thread::sleep(POLL_INTERVAL);
        }
        true
    }

    /// Waits until the process has ended.
    fn wait(&mut self) -> ExitStatus {
        let begun = Instant::now();
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            assert!(begun.elapsed() < PATIENCE, "the process does not end");
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

/// Whether a process ended with success, or the number of the signal that ended it.
fn end(status: ExitStatus) -> (bool, Option<i32>) {
    (status.success(), status.signal())
}

/// Guards against a change of settings that ends a process which has just been started: SIGHUP ended it until the
/// instance had started.
#[gtest]
fn hangup_before_the_settings_are_read_is_a_reload() {
    let mut process = Process::signalled_before_settings(hosted_settings, "-HUP");
    expect_that!(process.wait_for_line("started"), eq(true));
    expect_that!(process.wait_for_line("settings read again"), eq(true));
    process.signal("-TERM");
    expect_that!(end(process.wait()), eq((true, None)));
}

/// Guards against a process that is ended at once by a signal to stop which arrives while it starts: it may read requests
/// by then.
#[gtest]
fn termination_before_the_settings_are_read_is_a_planned_stop() {
    for settings in [hosted_settings, own_settings] {
        for signal in ["-TERM", "-INT"] {
            let mut process = Process::signalled_before_settings(settings, signal);
            expect_that!(end(process.wait()), eq((true, None)));
            expect_that!(process.has_line("stopping"), eq(true));
            expect_that!(process.has_line("stopped"), eq(true));
        }
    }
}

/// Guards against a further signal that cuts a planned stop short.
#[gtest]
fn signals_during_a_planned_stop_do_not_shorten_it() {
    let (mut process, _) = Process::started(hosted_settings);
    process.signal("-TERM");
    let begun = Instant::now();
    expect_that!(process.wait_for_line("stopping"), eq(true));
    for signal in ["-TERM", "-INT", "-HUP"] {
        process.signal(signal);
    }
    expect_that!(end(process.wait()), eq((true, None)));
    expect_that!(begun.elapsed(), ge(STOP_TIME_MIN));
}

/// Guards against an instance of the own interface that is ended at once, with all its requests, by the hang-up of its
/// terminal or by a SIGHUP for a reload, which it does not have.
#[gtest]
fn hangup_of_an_instance_of_the_own_interface_is_a_planned_stop() {
    let (mut process, _) = Process::started(own_settings);
    process.signal("-HUP");
    expect_that!(end(process.wait()), eq((true, None)));
    expect_that!(process.has_line("stopped"), eq(true));
}

/// Guards against an instance that callers on kept connections keep from settling: they go on sending to it, whatever the
/// load balancer knows.
#[gtest]
fn answer_of_a_stopping_instance_ends_its_connection() {
    let settings = || {
        let mut settings = own_settings();
        settings["settle_ms"] = 2_000.into();
        settings
    };
    let (mut process, settings) = Process::started(settings);
    let mut connection = Connection::open(&settings);
    let before = connection.request();
    expect_that!(before, contains_substring(" 401 "));
    expect_that!(before, not(contains_substring("connection: close")));
    process.signal("-TERM");
    expect_that!(process.wait_for_line("stopping"), eq(true));
    // The line is written just before the stop begins.
    std::thread::sleep(Duration::from_millis(100));
    let after = connection.request();
    expect_that!(after, contains_substring(" 401 "));
    expect_that!(after, contains_substring("connection: close"));
    expect_that!(connection.closes_within(Duration::from_secs(1)), eq(true));
    expect_that!(end(process.wait()), eq((true, None)));
}

/// Guards against a stop that one caller can hold up for ever: it waited until every body was read and every answer taken,
/// and so for a signal that ends the process at once.
#[gtest]
fn caller_that_sends_no_more_of_its_body_does_not_hold_up_a_stop() {
    let settings = || {
        let mut settings = own_settings();
        settings["close_ms"] = 500.into();
        settings
    };
    let (mut process, settings) = Process::started(settings);
    let mut connection = Connection::open(&settings);
    connection
        .0
        .write_all(
            b"POST /services/any/path HTTP/1.1\r\nhost: any\r\nauthorization: Bearer any\r\n\
              content-length: 100\r\n\r\npart",
        )
        .unwrap();
    std::thread::sleep(Duration::from_millis(100));
    process.signal("-TERM");
    expect_that!(end(process.wait()), eq((true, None)));
    expect_that!(connection.closes_within(Duration::from_secs(1)), eq(true));
}
