//! Ways in which a process ends: each is a planned stop, in which nothing that callers are owed is dropped.

use {
    googletest::prelude::*,
    rustix::net::{self, AddressFamily, SocketFlags, SocketType},
    serde_json::{Value, json},
    std::{
        fs::File,
        io::{ErrorKind, Read, Write},
        net::{SocketAddr, TcpListener, TcpStream, UdpSocket},
        os::{fd::OwnedFd, unix::process::ExitStatusExt},
        path::PathBuf,
        process::{Child, Command, ExitStatus},
        sync::atomic::{AtomicU16, Ordering},
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

/// Ports of these tests, below those that the operating system gives to connections: on a busy machine each of those has
/// some connection of some process, or one that has closed, at nearly any time.
const PORTS: std::ops::Range<u16> = 30_100..32_700;

/// An address that is free now, and given once by this process.
fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    // Test processes that run side by side begin at different ports.
    let first = std::process::id() as usize * 97;
    loop {
        let step = usize::from(NEXT.fetch_add(1, Ordering::Relaxed));
        let port = PORTS.start + ((first + step) % PORTS.len()) as u16;
        let address = SocketAddr::from(([127, 0, 0, 1], port));
        let is_free = TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok();
        if is_free {
            return address;
        }
    }
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
        let mut process = Self::signal_before_settings(&settings(), signal);
        process.wait_for_line("started");
        process
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
        let settings = settings();
        let mut process = Self::starting(&settings);
        expect_that!(process.wait_for_line("started"), eq(true));
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
        self.line(message).is_some()
    }

    /// The first line of its log with a message.
    fn line(&self, message: &str) -> Option<Value> {
        let text = std::fs::read_to_string(self.folder.join("log")).unwrap();
        let lines = text
            .lines()
            .filter_map(|line| serde_json::from_str(line).ok());
        lines
            .into_iter()
            .find(|line: &Value| line["message"] == message)
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

/// Time for which a port stays taken at the start of a process.
const TAKEN: Duration = Duration::from_millis(500);

/// Time that a connection of another process may keep its local port behind its close, and some more.
const TIME_WAIT_MAX: Duration = Duration::from_secs(75);

/// Time in which an instance that has nothing to end leaves behind a signal: a second is one interval of a supervisor.
const EXIT_MAX: Duration = Duration::from_secs(1);

/// A listener at a free address. A process that another test is starting may hold a copy of the socket by which an address was
/// found to be free, until it has begun its program.
fn free_listener() -> TcpListener {
    loop {
        if let Ok(listener) = TcpListener::bind(free_address()) {
            return listener;
        }
    }
}

/// How something else has the address of a port.
#[derive(Clone, Copy, Debug)]
enum Use {
    /// A listener.
    Listener,
    /// Datagrams.
    Datagrams,
    /// The local end of a connection that some process opened.
    Outgoing,
    /// The same behind its close.
    TimeWait,
}

/// An address that something else has until this value is dropped.
struct Taken {
    address: SocketAddr,
    _connections: Vec<TcpStream>,
    _datagrams: Option<UdpSocket>,
    _listener: Option<TcpListener>,
}

impl Taken {
    fn new(how: Use) -> Self {
        if let Use::Datagrams = how {
            let socket = UdpSocket::bind(free_address()).unwrap();
            return Self {
                address: socket.local_addr().unwrap(),
                _connections: Vec::new(),
                _datagrams: Some(socket),
                _listener: None,
            };
        }
        let listener = free_listener();
        let target = listener.local_addr().unwrap();
        if let Use::Listener = how {
            return Self {
                address: target,
                _connections: Vec::new(),
                _datagrams: None,
                _listener: Some(listener),
            };
        }
        let outgoing = tcp_socket().unwrap();
        net::bind(&outgoing, &free_address()).unwrap();
        net::connect(&outgoing, &target).unwrap();
        let outgoing = TcpStream::from(outgoing);
        let (accepted, address) = listener.accept().unwrap();
        let mut connections = vec![outgoing, accepted];
        if let Use::TimeWait = how {
            // The end that closes first keeps its port for a minute.
            for connection in connections.drain(..) {
                drop(connection);
                std::thread::sleep(POLL_INTERVAL);
            }
        }
        for connection in &connections {
            // A connection that is reset at its close does not keep its port.
            net::sockopt::set_socket_linger(connection, Some(Duration::ZERO)).unwrap();
        }
        Self {
            address,
            _connections: connections,
            _datagrams: None,
            _listener: None,
        }
    }
}

/// Settings whose port at `pointer` has an address.
fn with_port(mut settings: Value, pointer: &str, address: SocketAddr) -> Value {
    *settings.pointer_mut(pointer).unwrap() = address.to_string().into();
    settings
}

/// The address at a pointer of settings.
fn address_at(settings: &Value, pointer: &str) -> SocketAddr {
    let text = settings.pointer(pointer).and_then(Value::as_str);
    text.unwrap().parse().unwrap()
}

/// A socket that the processes of these tests do not inherit.
fn tcp_socket() -> rustix::io::Result<OwnedFd> {
    let kind = SocketType::STREAM;
    net::socket_with(AddressFamily::INET, kind, SocketFlags::CLOEXEC, None)
}

/// Sends a request to an address; the first bytes of the answer. `None` if there is no connection, so that nothing was sent.
fn ask(address: SocketAddr) -> Option<std::io::Result<String>> {
    let stream = connect(address).ok()?;
    // A port that nobody listens on may be given to the very connection that looks for it.
    if stream.local_addr().ok() == stream.peer_addr().ok() {
        return None;
    }
    Some(Connection(stream).exchange())
}

/// Connects to an address. Unlike other connections it does not keep a process from listening on its local port: thousands
/// of them look for a port that nobody listens on yet, and one may be given that very port.
fn connect(address: SocketAddr) -> std::io::Result<TcpStream> {
    let socket = tcp_socket()?;
    net::sockopt::set_socket_reuseaddr(&socket, true)?;
    net::connect(&socket, &address)?;
    Ok(socket.into())
}

impl Connection {
    /// Sends a request; the first bytes of its answer, or how it ended without one.
    fn exchange(&mut self) -> std::io::Result<String> {
        self.0.set_read_timeout(Some(PATIENCE))?;
        self.0
            .write_all(b"GET /metrics HTTP/1.1\r\nhost: any\r\n\r\n")?;
        let mut bytes = [0; 4_096];
        match self.0.read(&mut bytes)? {
            0 => Err(ErrorKind::UnexpectedEof.into()),
            length => Ok(String::from_utf8_lossy(&bytes[..length]).into_owned()),
        }
    }
}

/// Asks an address again and again until it answers; the ends of all requests that were sent.
fn ask_until_answered(address: SocketAddr, time: Duration) -> Vec<std::io::Result<String>> {
    let begun = Instant::now();
    let mut results = Vec::new();
    while begun.elapsed() < time && !results.iter().any(std::result::Result::is_ok) {
        results.extend(ask(address));
        std::thread::sleep(Duration::from_millis(1));
    }
    results
}

/// Whether an address answers within a time.
fn answers(address: SocketAddr, time: Duration) -> bool {
    ask_until_answered(address, time).iter().any(Result::is_ok)
}

impl Process {
    /// Starts a process; does not wait for anything.
    fn starting(settings: &Value) -> Self {
        Self::spawn(|file| std::fs::write(file, settings.to_string()).unwrap())
    }

    /// Whether it still runs.
    fn runs(&mut self) -> bool {
        self.child.try_wait().unwrap().is_none()
    }
}

/// Ports of an instance on the users' platform, by their pointers, and what may have them.
const HOSTED_PORTS: [(&str, Use); 9] = [
    ("/listen/callers", Use::Listener),
    ("/listen/callers", Use::Outgoing),
    ("/hosted/metrics", Use::Listener),
    ("/hosted/metrics", Use::Outgoing),
    ("/hosted/ready", Use::Listener),
    ("/hosted/ready", Use::Outgoing),
    ("/hosted/peers", Use::Listener),
    ("/hosted/peers", Use::Outgoing),
    ("/hosted/peers", Use::Datagrams),
];

/// Guards against a process that ends by itself since one of its ports is taken for a moment: the number of a free port
/// may be given to any connection of any process before the instance listens.
#[gtest]
fn port_that_is_taken_for_a_moment_does_not_end_a_starting_process() {
    for (port, how) in HOSTED_PORTS {
        let taken = Taken::new(how);
        let settings = with_port(hosted_settings(), port, taken.address);
        let mut process = Process::starting(&settings);
        std::thread::sleep(TAKEN);
        expect_that!(process.runs(), eq(true), "{port} {how:?}");
        drop(taken);
        if !process.runs() {
            continue;
        }
        expect_that!(process.wait_for_line("started"), eq(true));
        for served in ["/listen/callers", "/hosted/ready", "/hosted/metrics"] {
            let served = address_at(&settings, served);
            expect_that!(answers(served, PATIENCE), eq(true), "{port} {how:?}");
        }
        let peers = address_at(&settings, "/hosted/peers");
        expect_that!(TcpStream::connect(peers).is_ok(), eq(true));
    }
}

/// Guards against the same at the ports of the own interface.
#[gtest]
fn port_of_the_own_interface_that_is_taken_for_a_moment_does_not_end_a_starting_process() {
    for port in ["/listen/callers", "/listen/operators", "/listen/peers"] {
        for how in [Use::Listener, Use::Outgoing] {
            let taken = Taken::new(how);
            let settings = with_port(own_settings(), port, taken.address);
            let mut process = Process::starting(&settings);
            std::thread::sleep(TAKEN);
            expect_that!(process.runs(), eq(true), "{port} {how:?}");
            drop(taken);
            if !process.runs() {
                continue;
            }
            expect_that!(process.wait_for_line("started"), eq(true));
            let callers = address_at(&settings, "/listen/callers");
            expect_that!(answers(callers, PATIENCE), eq(true), "{port} {how:?}");
        }
    }
}

/// Guards against a process that ends by itself since a connection that has closed still has the number of its port, as
/// the operating system keeps it for a minute.
#[gtest]
fn port_of_a_closed_connection_does_not_end_a_starting_process() {
    let begun = Instant::now();
    let ports = [
        "/listen/callers",
        "/hosted/ready",
        "/hosted/metrics",
        "/hosted/peers",
    ];
    let processes = ports.map(|port| {
        let taken = Taken::new(Use::TimeWait);
        let settings = with_port(hosted_settings(), port, taken.address);
        (port, Process::starting(&settings), settings)
    });
    for (port, mut process, settings) in processes {
        let port_answers = match port {
            "/hosted/peers" => address_at(&settings, "/listen/callers"),
            _ => address_at(&settings, port),
        };
        while process.runs() && !process.has_line("started") && begun.elapsed() < TIME_WAIT_MAX {
            std::thread::sleep(POLL_INTERVAL);
        }
        expect_that!(process.runs(), eq(true), "{port}");
        expect_that!(process.has_line("started"), eq(true), "{port}");
        let is_answered = process.runs() && answers(port_answers, PATIENCE);
        expect_that!(is_answered, eq(true), "{port}");
    }
}

/// Guards against requests that an instance has accepted while it starts and then loses, since it ends or closes their
/// connections at a later step.
#[gtest]
fn request_sent_while_another_port_is_taken_is_not_reset() {
    let ports = HOSTED_PORTS.into_iter();
    for (port, how) in ports.filter(|(port, _)| *port != "/listen/callers") {
        let taken = Taken::new(how);
        let settings = with_port(hosted_settings(), port, taken.address);
        let callers = address_at(&settings, "/listen/callers");
        let asking: Vec<_> = (0..4)
            .map(|_| std::thread::spawn(move || ask_until_answered(callers, 4 * TAKEN)))
            .collect();
        let _process = Process::starting(&settings);
        std::thread::sleep(TAKEN);
        drop(taken);
        for results in asking {
            let results = results.join().unwrap();
            let lost: Vec<_> = results
                .iter()
                .filter_map(|result| result.as_ref().err())
                .collect();
            expect_that!(lost, is_empty(), "{port} {how:?}");
            expect_that!(results, not(is_empty()), "{port} {how:?}");
        }
    }
}

/// Guards against an instance that can't serve since nobody can read its metrics.
#[gtest]
fn port_of_the_metrics_that_stays_taken_does_not_keep_an_instance_from_serving() {
    let taken = Taken::new(Use::Listener);
    let settings = with_port(hosted_settings(), "/hosted/metrics", taken.address);
    let mut process = Process::starting(&settings);
    let callers = address_at(&settings, "/listen/callers");
    expect_that!(answers(callers, TAKEN * 4), eq(true));
    expect_that!(process.runs(), eq(true));
    expect_that!(process.has_line("started"), eq(true));
}

/// Guards against a process that is waiting for a port and does not stop when it is told to.
#[gtest]
fn termination_during_the_wait_for_a_port_ends_the_process_in_order() {
    let cases = [
        (hosted_settings as fn() -> Value, "/hosted/ready"),
        (own_settings, "/listen/operators"),
    ];
    for (settings, port) in cases {
        for signal in ["-TERM", "-INT"] {
            let taken = Taken::new(Use::Listener);
            let mut process = Process::starting(&with_port(settings(), port, taken.address));
            std::thread::sleep(TAKEN);
            expect_that!(process.runs(), eq(true));
            process.signal(signal);
            let begun = Instant::now();
            expect_that!(end(process.wait()), eq((true, None)));
            expect_that!(begun.elapsed(), le(EXIT_MAX));
            expect_that!(process.has_line("stopped"), eq(true));
        }
    }
}

/// Guards against a process that waits for ever, unseen by its supervisor, for a port that another process keeps.
#[gtest]
fn port_that_stays_taken_ends_the_process_with_its_error() {
    let cases = [
        (hosted_settings as fn() -> Value, "/hosted/ready", "ready"),
        (own_settings, "/listen/operators", "operators"),
    ];
    for (settings, port, step) in cases {
        let taken = Taken::new(Use::Listener);
        let mut settings = with_port(settings(), port, taken.address);
        settings["listen_ms"] = 700.into();
        let begun = Instant::now();
        let mut process = Process::starting(&settings);
        expect_that!(process.wait().code(), some(eq(1)));
        expect_that!(begun.elapsed(), ge(Duration::from_millis(700)));
        expect_that!(process.errors(), contains_substring("failed to listen on"));
        let end = process.line("ends by itself").unwrap_or_default();
        expect_that!(end["level"], eq(&json!("error")));
        expect_that!(end["kind"], eq(&json!("bind")));
        expect_that!(end["step"], eq(&json!(step)));
        expect_that!(end["unanswered"], eq(&json!(0)));
        expect_that!(
            process.has_line("port can not be bound, trying again"),
            eq(true)
        );
    }
}

/// Guards against settings with an address of another machine that show as an instance which starts for ever.
#[gtest]
fn address_of_another_machine_ends_the_process_at_once() {
    let address = SocketAddr::from(([192, 0, 2, 1], 8_080));
    for (settings, port) in [
        (hosted_settings as fn() -> Value, "/listen/callers"),
        (hosted_settings, "/hosted/peers"),
        (own_settings, "/listen/callers"),
    ] {
        let begun = Instant::now();
        let mut process = Process::starting(&with_port(settings(), port, address));
        expect_that!(process.wait().code(), some(eq(1)));
        expect_that!(begun.elapsed(), le(EXIT_MAX));
        expect_that!(process.has_line("ends by itself"), eq(true));
    }
}

/// Guards against connections of an instance that keep another process of its machine from starting: the operating system may
/// give them the port of one that is being started, and keeps it for a minute behind their close.
#[gtest]
fn connection_of_an_instance_does_not_keep_others_from_listening_on_its_port() {
    let store = free_listener();
    let mut settings = hosted_settings();
    settings["hosted"]["store"] = store.local_addr().unwrap().to_string().into();
    let _process = Process::starting(&settings);
    // On a busy machine a connection of some other process may have the same local port.
    let frees_its_port = (0..20).any(|_| {
        let (_connection, local) = store.accept().unwrap();
        TcpListener::bind(local).is_ok()
    });
    expect_that!(frees_its_port, eq(true));
}

/// Guards against a process that ends by itself since its settings file is being written when it starts.
#[gtest]
fn settings_file_that_is_being_written_does_not_end_a_starting_process() {
    for part in [None, Some(0), Some(40)] {
        let text = hosted_settings().to_string();
        let mut process = Process::spawn(|file| {
            if let Some(length) = part {
                std::fs::write(file, &text[..length]).unwrap();
            }
        });
        std::thread::sleep(TAKEN);
        expect_that!(process.runs(), eq(true), "{part:?}");
        std::fs::write(process.settings_file(), &text).unwrap();
        expect_that!(process.wait_for_line("started"), eq(true), "{part:?}");
    }
}

/// Guards against a process that waits for ever for settings that nobody completes, without a line in its log.
#[gtest]
fn settings_file_that_stays_broken_ends_a_starting_process_with_its_error() {
    let mut process = Process::spawn(|file| std::fs::write(file, "{").unwrap());
    expect_that!(process.wait().code(), some(eq(2)));
    let end = process.line("ends by itself").unwrap_or_default();
    expect_that!(end["kind"], eq(&json!("settings")));
}

/// Guards against an instance that ends, or accepts no more, once connections have used up its descriptors.
#[gtest]
fn instance_answers_again_after_its_descriptors_were_used_up() {
    for settings in [hosted_settings as fn() -> Value, own_settings] {
        let (mut process, settings) = Process::started(settings);
        let id = process.child.id().to_string();
        let mut limit = Command::new("prlimit");
        limit.args(["--pid", &id, "--nofile=40:40"]);
        expect_that!(limit.status().unwrap().success(), eq(true));
        let callers = address_at(&settings, "/listen/callers");
        let connections: Vec<_> = (0..80).filter_map(|_| connect(callers).ok()).collect();
        expect_that!(connections.len(), eq(80));
        std::thread::sleep(TAKEN);
        expect_that!(process.runs(), eq(true));
        drop(connections);
        expect_that!(answers(callers, PATIENCE), eq(true));
        expect_that!(process.runs(), eq(true));
    }
}

/// Guards against settings that are not in force though their file holds them: it was written while a port was waited for.
#[gtest]
fn settings_that_are_written_during_the_wait_for_a_port_are_read() {
    let taken = Taken::new(Use::Listener);
    let mut settings = with_port(hosted_settings(), "/listen/callers", taken.address);
    let mut process = Process::starting(&settings);
    expect_that!(
        process.wait_for_line("port can not be bound, trying again"),
        eq(true)
    );
    settings["hosted"]["grace_ms"] = 5_000.into();
    std::fs::write(process.settings_file(), settings.to_string()).unwrap();
    drop(taken);
    expect_that!(process.wait_for_line("started"), eq(true));
    expect_that!(process.wait_for_line("settings read again"), eq(true));
    process.signal("-TERM");
    expect_that!(end(process.wait()), eq((true, None)));
}
