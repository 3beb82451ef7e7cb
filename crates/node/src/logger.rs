//! Logs as JSON lines on standard output, which never hold the instance up.
//!
//! Lines go through a queue of fixed size to a thread that writes them. When nobody reads them the
//! queue fills, and lines are dropped and counted.

use super::*;
use std::{
    io::{self, Write},
    sync::mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
};

/// Lines that may wait to be written; a few seconds of a busy instance, below a megabyte.
const QUEUE: usize = 4_096;

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

/// Takes lines and hands them to the thread that writes.
pub(crate) struct Pipe {
    dropped: u64,
    lines: SyncSender<Vec<u8>>,
}

impl Pipe {
    /// A pipe whose lines come on the receiver; at most `size` of them wait.
    pub fn new(size: usize) -> (Self, Receiver<Vec<u8>>) {
        let (lines, receiver) = sync_channel(size);
        (Self { dropped: 0, lines }, receiver)
    }

    fn send(&mut self, line: Vec<u8>) -> bool {
        match self.lines.try_send(line) {
            Ok(()) => true,
            Err(TrySendError::Disconnected(_) | TrySendError::Full(_)) => false,
        }
    }
}

impl Write for Pipe {
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }

    /// Takes one line whole. Never fails and never waits.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.dropped > 0 {
            let told =
                json!({ "level": "warn", "message": "log lines dropped", "lines": self.dropped });
            if self.send(format!("{told}\n").into_bytes()) {
                self.dropped = 0;
            }
        }
        if !self.send(line.to_vec()) {
            self.dropped += 1;
        }
        Ok(line.len())
    }
}

/// Starts logging; the level is taken from `RUST_LOG`, `info` if that is not set.
pub(crate) fn start(instance: &str) {
    let instance = instance.to_owned();
    let clock = Clock::new();
    let (pipe, lines) = Pipe::new(QUEUE);
    std::thread::spawn(move || write(&lines, &mut io::stdout().lock()));
    let environment = env_logger::Env::default().default_filter_or("info");
    let started = env_logger::Builder::from_env(environment)
        .format(move |target, record| {
            let mut line = Map::new();
            line.insert("time_ms".into(), clock.now().0.into());
            line.insert(
                "level".into(),
                record.level().as_str().to_lowercase().into(),
            );
            line.insert("instance".into(), instance.clone().into());
            line.insert("message".into(), record.args().to_string().into());
            let _ = record.key_values().visit(&mut Visitor(&mut line));
            writeln!(target, "{}", Value::Object(line))
        })
        .target(env_logger::Target::Pipe(Box::new(pipe)))
        .try_init();
    if let Err(error) = started {
        eprintln!("logging was started before: {error}");
    }
}

/// Writes lines until there is no one left who sends any, or they can not be written.
fn write(lines: &Receiver<Vec<u8>>, output: &mut impl Write) {
    for line in lines {
        if output
            .write_all(&line)
            .and_then(|()| output.flush())
            .is_err()
        {
            return;
        }
    }
}
