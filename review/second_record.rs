//! The record of a case: what was sent, answered and run, with the time in milliseconds since the start.

use std::{
    fs::File,
    io::Write,
    sync::{Mutex, OnceLock},
    time::Instant,
};

static RECORD: OnceLock<(Mutex<File>, Instant)> = OnceLock::new();

/// Opens the record.
pub fn open(path: &str) {
    let file = File::create(path).expect("the folder of the case is writable");
    let _ = RECORD.set((Mutex::new(file), Instant::now()));
}

/// Milliseconds since the start.
pub fn now_ms() -> u64 {
    RECORD
        .get()
        .map_or(0, |(_, start)| start.elapsed().as_millis() as u64)
}

/// Writes a line.
pub fn note(text: &str) {
    if let Some((file, _)) = RECORD.get() {
        let _ = writeln!(file.lock().unwrap(), "{:>6} {text}", now_ms());
    }
}
