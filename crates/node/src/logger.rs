//! Logging as JSON lines on standard output that never blocks the instance.
//!
//! Lines pass through a bounded queue to a writer thread. If nothing reads standard output, the
//! queue fills up, and further lines are dropped and counted.

use super::*;
use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
};

/// Capacity of the queue: lines of one or two seconds of a busy instance, under half a megabyte.
const QUEUE_LINES: usize = 1_024;

/// Maximum lines per second with the same message; further ones are left out and counted.
const MAX_LINES_PER_SECOND: u32 = 200;

/// Maximum time for which the process waits for unwritten lines at its exit: standard output may
/// have no reader.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Lines dropped since the start of the process.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Lines in the queue that the writer thread has not written yet.
static PENDING_LINES: AtomicU64 = AtomicU64::new(0);

/// Limits the lines with the same message per second.
struct Sampler {
    lines: HashMap<String, u32>,
    second: u64,
}

impl Sampler {
    fn new() -> Self {
        Self {
            lines: HashMap::new(),
            second: 0,
        }
    }

    /// Returns `None` if a line with this message is to be left out. Otherwise returns, for the
    /// first line of a second, how many lines were left out in the second before, and 0 for others.
    fn admit(&mut self, message: &str, now: Time) -> Option<u32> {
        let second = now.0 / 1_000;
        let mut left_out = 0;
        if second != self.second {
            self.second = second;
            let excess = self
                .lines
                .values()
                .map(|lines| lines.saturating_sub(MAX_LINES_PER_SECOND));
            left_out = excess.sum();
            self.lines.clear();
        }
        let lines = self.lines.entry(message.to_owned()).or_default();
        *lines += 1;
        (*lines <= MAX_LINES_PER_SECOND).then_some(left_out)
    }
}

/// Waits until all queued lines are written, for at most `FLUSH_TIMEOUT`.
pub(crate) fn flush() {
    let end = Instant::now() + FLUSH_TIMEOUT;
    while PENDING_LINES.load(Ordering::Acquire) > 0 && Instant::now() < end {
        std::thread::sleep(Duration::from_millis(1));
    }
}

/// Lines dropped since the start of the process because the queue was full.
pub(crate) fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

struct Visitor<'a>(&'a mut Map<String, Value>);

impl<'kvs> log::kv::VisitSource<'kvs> for Visitor<'_> {
    fn visit_pair(
        &mut self,
        key: log::kv::Key<'kvs>,
        value: log::kv::Value<'kvs>,
    ) -> Result<(), log::kv::Error> {
        let value = match value.to_u64() {
            Some(number) => Value::from(number),
            None => Value::from(value.to_string()),
        };
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}

/// Writer that puts lines into the queue of the writer thread.
pub(crate) struct QueueWriter {
    dropped: u64,
    lines: SyncSender<Vec<u8>>,
}

impl QueueWriter {
    /// Creates a queue of at most `size` lines, which are read from the receiver.
    pub fn new(size: usize) -> (Self, Receiver<Vec<u8>>) {
        let (lines, receiver) = sync_channel(size);
        (Self { dropped: 0, lines }, receiver)
    }

    fn send(&mut self, line: Vec<u8>) -> bool {
        PENDING_LINES.fetch_add(1, Ordering::Release);
        match self.lines.try_send(line) {
            Ok(()) => true,
            Err(TrySendError::Disconnected(_) | TrySendError::Full(_)) => {
                PENDING_LINES.fetch_sub(1, Ordering::Release);
                false
            }
        }
    }
}

impl Write for QueueWriter {
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }

    /// Queues one complete line, or drops it if the queue is full. Never fails and never blocks.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.dropped > 0 {
            let notice =
                json!({ "level": "warn", "message": "log lines dropped", "lines": self.dropped });
            if self.send(format!("{notice}\n").into_bytes()) {
                self.dropped = 0;
            }
        }
        if !self.send(line.to_vec()) {
            self.dropped += 1;
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }
}

/// Creates the logger of an instance and starts its writer thread; the level is taken from `RUST_LOG` and defaults to
/// `info`.
pub fn create(instance: &str) -> env_logger::Logger {
    let instance = instance.to_owned();
    let clock = Clock::new();
    let (queue, lines) = QueueWriter::new(QUEUE_LINES);
    let sampler = std::sync::Mutex::new(Sampler::new());
    std::thread::spawn(move || write_lines(&lines, &mut io::stdout().lock()));
    let environment = env_logger::Env::default().default_filter_or("info");
    env_logger::Builder::from_env(environment)
        .format(move |target, record| {
            let message = record.args().to_string();
            let now = clock.now();
            // A panic while the lock was held may lose a count, but must not stop logging.
            let mut sampler = sampler
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner);
            let Some(left_out) = sampler.admit(&message, now) else {
                return Ok(());
            };
            drop(sampler);
            let mut line = Map::new();
            line.insert("time_ms".into(), now.0.into());
            line.insert(
                "level".into(),
                record.level().as_str().to_lowercase().into(),
            );
            line.insert("instance".into(), instance.clone().into());
            line.insert("message".into(), message.into());
            if left_out > 0 {
                line.insert("lines_left_out".into(), left_out.into());
            }
            let _ = record.key_values().visit(&mut Visitor(&mut line));
            writeln!(target, "{}", Value::Object(line))
        })
        .target(env_logger::Target::Pipe(Box::new(queue)))
        .build()
}

/// Starts logging, unless the process has a logger already. From then on each panic is logged.
pub(crate) fn start(instance: &str) {
    let logger = create(instance);
    log::set_max_level(logger.filter());
    if let Err(error) = log::set_boxed_logger(Box::new(logger)) {
        eprintln!("logging is already initialized: {error}");
    }
    let report = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |panic| {
        report(panic);
        log_panic(panic);
    }));
}

/// Logs a panic, and waits until the line is written: a panic of the main thread ends the process.
fn log_panic(panic: &std::panic::PanicHookInfo) {
    let place = |place: &std::panic::Location| format!("{}:{}", place.file(), place.line());
    let place = panic.location().map(place).unwrap_or_default();
    let text = panic.payload_as_str().unwrap_or_default();
    let thread = std::thread::current();
    let thread = thread.name().unwrap_or_default();
    error!(place, text, thread; "panicked");
    flush();
}

/// Writes lines until all senders are gone or a write fails.
fn write_lines(lines: &Receiver<Vec<u8>>, output: &mut impl Write) {
    for line in lines {
        let written = output.write_all(&line).and_then(|()| output.flush());
        PENDING_LINES.fetch_sub(1, Ordering::Release);
        if written.is_err() {
            return;
        }
    }
}
