//! An upstream of the users' platform: it answers relayed requests in one piece or as events, keeps
//! copies of other upstreams' streams, and can fail in every way that one may.

use super::*;
use endless::Endless;
use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, AtomicU64, Ordering},
};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener as Socket, TcpStream},
    sync::{Notify, OwnedSemaphorePermit, Semaphore},
};

/// Version of the software of a worker of which nothing else is said.
pub const VERSION: &str = "v1";

/// Events of a whole stream.
pub const EVENTS: u64 = 40;

/// Time between two events.
const STEP: Duration = Duration::from_millis(10);

/// Header of a request that asks for events, or for an answer to a call, of this many bytes.
pub const EVENT_BYTES: &str = "x-event-bytes";

/// Header of a request that asks for this many milliseconds between two events.
pub const EVENT_STEP_MS: &str = "x-event-step-ms";

/// Time for which an impatient worker waits until a connection takes an event.
const IMPATIENCE: Duration = Duration::from_millis(300);

/// Header of a call that asks for an answer after this many milliseconds.
pub const ANSWER_MS: &str = "x-answer-ms";

/// Bytes of a request's head that are read, at most.
const HEAD: usize = 64 << 10;

/// Piece of a large answer.
static PIECE: [u8; 64 << 10] = [b'x'; 64 << 10];

/// Slots of a worker of which nothing else is said. They are what its entry says; without a queue it refuses nothing beyond
/// them.
pub const SLOTS: usize = 8;

/// Time between two events of a paced worker: a stream takes 3 s.
const PACED_STEP: Duration = Duration::from_millis(75);

/// Time that a call takes at a paced worker.
const PACED_CALL: Duration = Duration::from_millis(750);

/// Start of a body that ends each upstream that begins to run it.
pub const FATAL: &[u8] = b"fatal";

/// How a worker behaves.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Mode {
    /// Breaks an answer off in its middle, and a stream within an event.
    Cut,
    /// Answers without an end.
    Endless(Endless),
    /// Answers with a body that was encoded.
    Encoded,
    /// Writes a second answer behind each.
    Extra,
    /// Answers that it failed.
    Fault,
    /// Writes bytes that are no answer.
    Garbage,
    /// Answers as it should.
    #[default]
    Good,
    /// Answers before it has read the body.
    Hasty,
    /// Says that another life has the address.
    Replaced,
    /// Ends a stream that takes nothing for [`IMPATIENCE`].
    Impatient,
    /// Takes about 3 s for a stream, and some time for a call.
    Paced,
    /// Refuses without running anything.
    Refuse,
    /// Says that it is busy though it ran the request.
    Sham,
    /// Says nothing.
    Silent,
    /// Takes ten times as long for each event.
    Slow,
    /// Writes each event in two parts, divided within the empty line that ends it.
    Split,
    /// Answers with this in the place of a status.
    Status(&'static str),
    /// Answers to another request.
    Stray,
    /// Answers without a length, and ends with its connection.
    Unframed,
    /// Answers without a signature.
    Unsigned,
}

/// What a worker says of itself in the head of each answer, of whatever kind.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Remark {
    /// Whether it is leaving.
    pub leaving: bool,
    /// Requests that run, requests that wait, and slots.
    pub load: Option<[usize; 3]>,
    /// Requests a second that it takes from all instances together.
    pub limit: Option<&'static str>,
    /// When it wants requests again, as its refusals say it.
    pub rest: Option<&'static str>,
}

impl Remark {
    /// Whether the head of an answer, by one of its headers, says that its upstream leaves.
    pub const LEAVING: &str = "server-leaving";

    /// The header lines of a refusal.
    fn refusal(self) -> String {
        let rest = self.rest.map(|rest| format!("retry-after: {rest}\r\n"));
        self.answer() + rest.unwrap_or_default().as_str()
    }

    /// The header lines of any other answer.
    fn answer(self) -> String {
        let leaving = self.leaving.then(|| format!("{}: 1\r\n", Self::LEAVING));
        let limit = self.limit.map(|limit| format!("server-limit: {limit}\r\n"));
        let load = self.load.map(|[running, waiting, slots]| {
            format!("wellplank-server-load: {running},{waiting},{slots}\r\n")
        });
        leaving.into_iter().chain(limit).chain(load).collect()
    }
}

/// Requests that a worker lets wait for its slots, without a head or an event. Beyond them it refuses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Queue {
    /// Requests that may wait.
    pub length: usize,
    /// Whether answers and refusals tell how many run and wait.
    pub tells_load: bool,
}

/// The slots of a worker and its queue.
#[derive(Clone)]
struct Room {
    /// Slots and places of the queue.
    places: Arc<Semaphore>,
    queue: Queue,
    slots: Arc<Semaphore>,
}

/// One request that reached a worker, whether it ran or not.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it was read.
    pub at: Instant,
    /// When the life that it reached began.
    pub born: u64,
    /// Limit that the worker names in its answer, if it does.
    pub limit: Option<&'static str>,
    /// Rest in seconds that the worker asked for when it turned the request away, if it did.
    pub rest: Option<&'static str>,
    /// Name of its run.
    pub run: String,
    /// Name of the worker.
    pub worker: String,
}

/// One request that ran.
#[derive(Clone, Debug)]
pub struct Run {
    /// When it was read.
    pub at: Instant,
    /// When the life that ran it began.
    pub born: u64,
    /// Body.
    pub body: Vec<u8>,
    /// Copy that it went on from, as the request named it.
    pub copy: Option<String>,
    /// When the worker's work on it ended, if it has.
    pub ended: Option<Instant>,
    /// Headers by their names in lower case.
    pub headers: BTreeMap<String, String>,
    /// First line of the request.
    pub line: String,
    /// Version of the software of the life that ran it.
    pub version: &'static str,
    /// Name of the worker.
    pub worker: String,
}

impl Run {
    /// A header's value; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// What all workers share: what ran, and the copies of streams, by address and run.
#[derive(Clone, Default)]
pub struct Ledger(Arc<Mutex<Pages>>);

#[derive(Default)]
struct Pages {
    arrivals: Vec<Arrival>,
    cancelled: u64,
    copies: HashMap<(String, String), u64>,
    runs: Vec<Run>,
}

impl Ledger {
    /// What reached workers, in order.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.lock().arrivals.clone()
    }

    /// Streams whose connection was closed before their end.
    pub fn cancelled(&self) -> u64 {
        self.lock().cancelled
    }

    /// What ran, in order.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Forgets the copies that are kept at an address: what keeps them there has ended.
    pub fn forget(&self, address: SocketAddr) {
        let address = address.to_string();
        self.lock().copies.retain(|(kept, _), _| *kept != address);
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Pages> {
        self.0.lock().expect("nobody panics while holding it")
    }
}

/// A stand-in of an upstream. Clones share its mode.
#[derive(Clone)]
pub struct Worker {
    /// Where it listens.
    pub address: SocketAddr,
    /// When this life began, in milliseconds since the Unix epoch.
    pub born: u64,
    /// Address by which others know it; a proxy may stand there.
    pub entered: SocketAddr,
    /// Name of this life.
    pub name: String,
    /// Version of its software, as its entry says.
    pub version: &'static str,
    /// When it was ended by a request, and by which try.
    crash: Arc<Mutex<Option<Crash>>>,
    /// Tells the listener that a request has ended it.
    ending: Arc<Notify>,
    /// Whether nothing listens at its address any more.
    is_closed: Arc<AtomicBool>,
    ledger: Ledger,
    mode: Arc<Mutex<Mode>>,
    remark: Arc<Mutex<Remark>>,
    room: Option<Room>,
    /// Slots, as its entry says.
    pub slots: usize,
    /// Bytes of answers without an end that it could write.
    written: Arc<AtomicU64>,
}

/// A request that runs; its end is noted in the ledger however it ends.
struct Running {
    index: usize,
    ledger: Ledger,
}

impl Drop for Running {
    fn drop(&mut self) {
        self.ledger.lock().runs[self.index].ended = Some(Instant::now());
    }
}

/// The end of a worker by a request.
#[derive(Clone, Debug)]
pub struct Crash {
    /// When it ended.
    pub at: Instant,
    /// The request that ended it.
    pub run: Run,
}

/// A request as it was read.
struct Asked {
    run: Run,
}

impl Worker {
    /// A worker that behaves as it should.
    pub fn new(address: SocketAddr, name: &str, ledger: &Ledger) -> Self {
        Self {
            address,
            born: unix_ms(),
            crash: Arc::default(),
            ending: Arc::default(),
            entered: address,
            is_closed: Arc::default(),
            ledger: ledger.clone(),
            mode: Arc::default(),
            name: name.into(),
            remark: Arc::default(),
            room: None,
            slots: SLOTS,
            version: VERSION,
            written: Arc::default(),
        }
    }

    /// The same, with so many slots.
    #[must_use]
    pub fn with_slots(mut self, slots: usize) -> Self {
        self.slots = slots;
        self
    }

    /// The same, with a queue for its slots.
    #[must_use]
    pub fn with_queue(mut self, queue: Queue) -> Self {
        self.room = Some(Room {
            places: Arc::new(Semaphore::new(self.slots + queue.length)),
            queue,
            slots: Arc::new(Semaphore::new(self.slots)),
        });
        self
    }

    /// The same, of another version of the software.
    #[must_use]
    pub fn of_version(mut self, version: &'static str) -> Self {
        self.version = version;
        self
    }

    /// The same, known by the address of a proxy before it.
    #[must_use]
    pub fn behind(mut self, proxy: SocketAddr) -> Self {
        self.entered = proxy;
        self
    }

    /// Has it behave otherwise from now on.
    pub fn set(&self, mode: Mode) {
        *self.mode.lock().expect("nobody panics while holding it") = mode;
    }

    /// Has it say something of itself in all answers from now on.
    pub fn say(&self, remark: Remark) {
        *self.remark.lock().expect("nobody panics while holding it") = remark;
    }

    /// What it says of itself in all answers.
    pub fn remark(&self) -> Remark {
        let remark = *self.remark.lock().expect("nobody panics while holding it");
        Remark {
            load: self.load(),
            ..remark
        }
    }

    /// Requests that run, requests that wait, and slots, if it tells them.
    fn load(&self) -> Option<[usize; 3]> {
        let room = self.room.as_ref().filter(|room| room.queue.tells_load)?;
        let running = self.slots - room.slots.available_permits();
        let held = self.slots + room.queue.length - room.places.available_permits();
        Some([running, held.saturating_sub(running), self.slots])
    }

    /// Bytes of answers without an end that it could write.
    pub fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// How a request has ended it, once nothing listens there any more, as with a process: its listener is closed before its
    /// connections break. Whoever holds its runtime is to end that too.
    pub fn crash(&self) -> Option<Crash> {
        let is_closed = self.is_closed.load(Ordering::Acquire);
        self.ending().filter(|_| is_closed)
    }

    fn ending(&self) -> Option<Crash> {
        self.crash
            .lock()
            .expect("nobody panics while holding it")
            .clone()
    }

    /// Ends by a request: nothing comes from it any more.
    async fn end_by(&self, run: &Run) {
        let crash = Crash {
            at: Instant::now(),
            run: run.clone(),
        };
        self.crash
            .lock()
            .expect("nobody panics while holding it")
            .get_or_insert(crash);
        self.ending.notify_one();
        std::future::pending::<()>().await;
    }

    /// Serves until a request ends it.
    pub async fn serve(self) {
        let Ok(socket) = Socket::bind(self.address).await else {
            return;
        };
        tokio::select! {
            () = self.accept(&socket) => {}
            () = self.ending.notified() => {}
        }
        drop(socket);
        self.is_closed.store(true, Ordering::Release);
    }

    async fn accept(&self, socket: &Socket) {
        while let Ok((connection, _)) = socket.accept().await {
            tokio::spawn(self.clone().answer(connection));
        }
    }

    fn mode(&self) -> Mode {
        *self.mode.lock().expect("nobody panics while holding it")
    }

    /// Answers one request; the connection ends with it.
    async fn answer(self, mut connection: TcpStream) {
        let Some(asked) = self.read(&mut connection).await else {
            return;
        };
        // A caller that is gone shows when the answer is written; nothing else is to be done then.
        let _ = self.write(&mut connection, asked).await;
    }

    async fn read(&self, connection: &mut TcpStream) -> Option<Asked> {
        let mut bytes = Vec::new();
        let end = loop {
            if let Some(end) = bytes.windows(4).position(|part| part == b"\r\n\r\n") {
                break end;
            }
            if bytes.len() > HEAD || connection.read_buf(&mut bytes).await.ok()? == 0 {
                return None;
            }
        };
        let head = String::from_utf8(bytes[..end].to_vec()).ok()?;
        let mut lines = head.split("\r\n");
        let line = lines.next()?.to_owned();
        let headers: BTreeMap<String, String> = lines
            .filter_map(|line| line.split_once(": "))
            .map(|(name, value)| (name.to_ascii_lowercase(), value.to_owned()))
            .collect();
        let length = headers.get("content-length");
        let length: usize = length.and_then(|text| text.parse().ok()).unwrap_or(0);
        let mut body = bytes.split_off(end + 4);
        while self.mode() != Mode::Hasty && body.len() < length {
            if connection.read_buf(&mut body).await.ok()? == 0 {
                return None;
            }
        }
        let run = Run {
            at: Instant::now(),
            born: self.born,
            body,
            copy: headers.get("kv-from").cloned(),
            ended: None,
            headers,
            line,
            version: self.version,
            worker: self.name.clone(),
        };
        Some(Asked { run })
    }

    async fn write(&self, connection: &mut TcpStream, asked: Asked) -> std::io::Result<()> {
        let run = &asked.run;
        let mode = self.mode();
        if mode == Mode::Silent {
            std::future::pending::<()>().await;
        }
        let remark = self.remark().refusal();
        if mode == Mode::Replaced || run.header("wellplank-expect-instance") != self.name {
            let refusal = format!(
                "HTTP/1.1 421 Misdirected Request\r\nwellplank-instance-id: other\r\n{remark}\
                content-length: 0\r\n\r\n"
            );
            return connection.write_all(refusal.as_bytes()).await;
        }
        let place = self
            .room
            .as_ref()
            .map(|room| room.places.clone().try_acquire_owned());
        let is_full = matches!(place, Some(Err(_)));
        let refuses = mode == Mode::Refuse || is_full || !self.take_copy(run);
        self.ledger.lock().arrivals.push(Arrival {
            at: run.at,
            born: self.born,
            limit: self.remark().limit,
            rest: self.remark().rest.filter(|_| refuses),
            run: run.header("wellplank-request-id").to_owned(),
            worker: self.name.clone(),
        });
        if refuses {
            let refusal = format!(
                "HTTP/1.1 503 Service Unavailable\r\nwellplank-not-executed: 1\r\n{remark}\
                content-length: 0\r\n\r\n"
            );
            return connection.write_all(refusal.as_bytes()).await;
        }
        let Some(_slot) = self.slot(connection).await else {
            return Ok(());
        };
        let _running = self.begin(run);
        if self.ending().is_some() || run.body.starts_with(FATAL) {
            self.end_by(run).await;
        }
        if mode == Mode::Garbage {
            return connection.write_all(b"\x00\x01 no answer \r\n\r\n").await;
        }
        if let Mode::Endless(endless) = mode {
            let head = head(run, 200, mode, self.remark());
            return endless.write(connection, &head, &self.written).await;
        }
        if run.header("wellplank-token-usage").is_empty() {
            let asked_ms = run.header(ANSWER_MS).parse().unwrap_or(0);
            sleep(Duration::from_millis(asked_ms)).await;
            if mode == Mode::Paced {
                sleep(PACED_CALL).await;
            }
            self.write_whole(connection, run, mode).await
        } else {
            let written = self.stream(connection, run, mode).await;
            if written.is_err() {
                self.ledger.lock().cancelled += 1;
            }
            written
        }
    }

    /// Writes an answer to a call. A large one is written in pieces: the memory of a test that an instance has wait is its own.
    async fn write_whole(
        &self,
        connection: &mut TcpStream,
        run: &Run,
        mode: Mode,
    ) -> std::io::Result<()> {
        let size: usize = run.header(EVENT_BYTES).parse().unwrap_or(0);
        if mode != Mode::Good || size <= PIECE.len() {
            let answer = whole(run, mode, self.remark());
            return connection.write_all(&answer).await;
        }
        let start = reply(&run.body);
        let head = head(run, 200, mode, self.remark());
        let head = format!("{head}content-length: {size}\r\n\r\n{start}");
        connection.write_all(head.as_bytes()).await?;
        let mut left = size - start.len();
        while left > 0 {
            let piece = &PIECE[..left.min(PIECE.len())];
            connection.write_all(piece).await?;
            left -= piece.len();
        }
        Ok(())
    }

    /// Waits for a slot, if there is a queue; `None` if the connection ends meanwhile.
    async fn slot(&self, connection: &mut TcpStream) -> Option<Option<OwnedSemaphorePermit>> {
        let Some(room) = &self.room else {
            return Some(None);
        };
        let mut byte = [0];
        tokio::select! {
            slot = room.slots.clone().acquire_owned() => Some(slot.ok()),
            _ = connection.read(&mut byte) => None,
        }
    }

    /// Notes that a request runs, until what it returns is dropped.
    fn begin(&self, run: &Run) -> Running {
        let mut pages = self.ledger.lock();
        pages.runs.push(run.clone());
        Running {
            index: pages.runs.len() - 1,
            ledger: self.ledger.clone(),
        }
    }

    /// Takes the copy that a request goes on from; false if there is none.
    fn take_copy(&self, run: &Run) -> bool {
        let Some((address, name)) = run.copy.as_deref().and_then(|copy| copy.split_once('/'))
        else {
            return true;
        };
        let key = (address.to_owned(), name.to_owned());
        address == self.entered.to_string() && self.ledger.lock().copies.remove(&key).is_some()
    }

    async fn stream(
        &self,
        connection: &mut TcpStream,
        run: &Run,
        mode: Mode,
    ) -> std::io::Result<()> {
        let head = format!(
            "{}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n",
            head(run, 200, mode, self.remark())
        );
        connection.write_all(head.as_bytes()).await?;
        let size = run.header(EVENT_BYTES).parse().unwrap_or(0);
        let position: u64 = run.header("last-event-id").parse().unwrap_or(0);
        let first = position.saturating_add(1);
        let asked = run.header(EVENT_STEP_MS).parse().ok();
        let step = match mode {
            _ if asked.is_some() => Duration::from_millis(asked.unwrap_or_default()),
            Mode::Paced => PACED_STEP,
            Mode::Slow => 10 * STEP,
            _ => STEP,
        };
        for position in first..=EVENTS {
            sleep(step).await;
            if self.mode() == Mode::Silent {
                std::future::pending::<()>().await;
            }
            let event = long_event(&run.body, position, size);
            if mode == Mode::Cut && position == EVENTS / 2 {
                let half = &event[..event.len() / 2];
                connection.write_all(chunk(half).as_bytes()).await?;
                return Ok(());
            }
            let mut rest = event.as_str();
            if mode == Mode::Split {
                let (part, last) = event.split_at(event.len() - 1);
                connection.write_all(chunk(part).as_bytes()).await?;
                sleep(STEP).await;
                rest = last;
            }
            let bytes = chunk(rest);
            let writing = connection.write_all(bytes.as_bytes());
            if mode == Mode::Impatient {
                tokio::time::timeout(IMPATIENCE, writing).await??;
            } else {
                writing.await?;
            }
            let backup = run.header("wellplank-kv-backup");
            if !backup.is_empty() {
                let key = (
                    backup.to_owned(),
                    run.header("wellplank-request-id").to_owned(),
                );
                self.ledger.lock().copies.insert(key, position);
            }
        }
        connection.write_all(b"0\r\n\r\n").await
    }
}

/// One event of the stream that answers a body.
pub fn event(body: &[u8], position: u64) -> String {
    long_event(body, position, 0)
}

/// The same, filled up to this many bytes.
pub fn long_event(body: &[u8], position: u64, bytes: usize) -> String {
    let digest = blake3::hash(body).to_hex();
    let text = format!("id: {position}\ndata: {}-{position}", &digest[..8]);
    let filling = "x".repeat(bytes.saturating_sub(text.len() + 2));
    format!("{text}{filling}\n\n")
}

/// The events of a whole stream behind a position.
pub fn events(body: &[u8], position: u64) -> String {
    (position + 1..=EVENTS)
        .map(|position| event(body, position))
        .collect()
}

/// The whole answer to a call.
pub fn reply(body: &[u8]) -> String {
    format!("answer to {}", blake3::hash(body).to_hex())
}

fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}

fn head(run: &Run, status: u16, mode: Mode, remark: Remark) -> String {
    let (born, worker) = (run.born, &run.worker);
    let status = match mode {
        Mode::Status(text) => text.to_owned(),
        _ => status.to_string(),
    };
    let mut head = format!("HTTP/1.1 {status} Status\r\nx-worker: {worker}\r\nx-born: {born}\r\n");
    let name = match mode {
        Mode::Stray => "another",
        _ => run.header("wellplank-request-id"),
    };
    head.push_str("wellplank-request-id: ");
    head.push_str(name);
    head.push_str("\r\n");
    if mode != Mode::Unsigned {
        head.push_str("wellplank-response-signature: signed-by-");
        head.push_str(&run.worker);
        head.push_str("\r\n");
    }
    if mode == Mode::Encoded {
        head.push_str("content-encoding: gzip\r\n");
    }
    head.push_str(&remark.answer());
    head
}

fn whole(run: &Run, mode: Mode, remark: Remark) -> Vec<u8> {
    let mut body = reply(&run.body);
    let size: usize = run.header(EVENT_BYTES).parse().unwrap_or(0);
    body.push_str(&"x".repeat(size.saturating_sub(body.len())));
    let status = match mode {
        Mode::Fault => 500,
        Mode::Sham => 503,
        _ => 200,
    };
    let head = head(run, status, mode, remark);
    let length = body.len();
    let answer = match mode {
        Mode::Cut => format!(
            "{head}content-length: {length}\r\n\r\n{}",
            &body[..length / 2]
        ),
        Mode::Extra => {
            let answer = format!("{head}content-length: {length}\r\n\r\n{body}");
            format!("{answer}{answer}")
        }
        Mode::Unframed => format!("{head}connection: close\r\n\r\n{body}"),
        _ => format!("{head}content-length: {length}\r\n\r\n{body}"),
    };
    answer.into_bytes()
}

/// The Unix time in milliseconds.
pub fn unix_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
