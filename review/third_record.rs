//! What was sent, answered and run, with the time in milliseconds since the start.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex},
    time::Instant,
};

/// The record of a case; clones share it.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    start: Instant,
}

impl Record {
    /// Begins a record in a file.
    pub fn new(path: &str) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self {
            file: Arc::new(Mutex::new(file)),
            start: Instant::now(),
        }
    }

    /// Milliseconds since the start.
    pub fn now_ms(&self) -> u64 {
        self.start.elapsed().as_millis() as u64
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{:>6} {text}", self.now_ms());
    }
}
