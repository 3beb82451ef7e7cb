//! The bytes of answers that are being read, and of whole ones that callers have not read, of a whole instance.

use super::*;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Bytes that each answer may hold, whatever the others hold.
const GUARANTEED_BYTES: u64 = 64 << 10;

/// A bound on the bytes of all answers that are being read, and of those that are kept until they are written; clones share it. When
/// it is used up, answers that are being read wait for kept ones; without any, the answer with the most bytes is ended.
#[derive(Clone, Debug)]
pub(crate) struct ReadBudget(Arc<Budget>);

#[derive(Debug)]
struct Budget {
    /// Notified when an answer holds less.
    freed: Notify,
    reading: Mutex<Reading>,
}

#[derive(Debug)]
struct Reading {
    bytes_max: u64,
    /// Bytes of answers that are kept, which count in the total.
    kept: u64,
    next: u64,
    shares: BTreeMap<u64, Held>,
    total: u64,
}

/// What one answer holds.
#[derive(Debug, Default)]
struct Held {
    bytes: u64,
    /// Notified when the answer is to end.
    ended: Arc<Notify>,
    /// Whether it is complete, and kept until it is written.
    is_kept: bool,
}

/// What follows when an answer grows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Growth {
    /// It must end.
    End,
    /// It is read on.
    Fits,
    /// It is read on once kept answers hold less.
    Wait,
}

/// The part of the budget that one answer holds, until it is dropped.
#[derive(Debug)]
pub(crate) struct Share {
    /// Bytes that it holds beside those of the body.
    beside: u64,
    budget: ReadBudget,
    ended: Arc<Notify>,
    number: u64,
}

impl ReadBudget {
    /// A budget of so many bytes.
    pub fn new(bytes_max: u64) -> Self {
        Self(Arc::new(Budget {
            freed: Notify::new(),
            reading: Mutex::new(Reading {
                bytes_max,
                kept: 0,
                next: 0,
                shares: BTreeMap::new(),
                total: 0,
            }),
        }))
    }

    /// Changes the bound; answers that hold more are ended when one of them grows.
    pub fn set_max(&self, bytes_max: u64) {
        self.lock().bytes_max = bytes_max;
    }

    /// Bytes that answers hold now.
    pub fn bytes(&self) -> u64 {
        self.lock().total
    }

    /// Whether answers that are kept use the budget up, so that others wait for them.
    pub fn is_used_up_by_kept(&self) -> bool {
        self.lock().is_used_up_by_kept()
    }

    /// A share of an answer that holds nothing yet.
    pub fn share(&self) -> Share {
        self.share_beside(0)
    }

    /// A share of a message that holds so many bytes beside those of its body.
    pub fn share_beside(&self, bytes: u64) -> Share {
        let mut reading = self.lock();
        let number = reading.next;
        reading.next += 1;
        reading.total += bytes;
        let held = Held {
            bytes,
            ..Held::default()
        };
        let ended = held.ended.clone();
        reading.shares.insert(number, held);
        Share {
            beside: bytes,
            budget: self.clone(),
            ended,
            number,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Reading> {
        let lock = self.0.reading.lock();
        lock.unwrap_or_else(PoisonError::into_inner)
    }
}

impl Reading {
    /// Sets what an answer holds.
    fn set(&mut self, number: u64, bytes: u64) {
        if let Some(held) = self.shares.get_mut(&number) {
            self.total = self.total - held.bytes + bytes;
            if held.is_kept {
                self.kept = self.kept - held.bytes + bytes;
            }
            held.bytes = bytes;
        }
    }

    /// Whether answers that are kept use the budget up.
    fn is_used_up_by_kept(&self) -> bool {
        self.kept > 0 && self.total > self.bytes_max
    }

    /// What follows when the answer of a number has grown; another one may be told to end.
    fn growth(&self, number: u64) -> Growth {
        let bytes = self.shares.get(&number).map_or(0, |held| held.bytes);
        if self.is_used_up_by_kept() {
            return if bytes > GUARANTEED_BYTES {
                Growth::Wait
            } else {
                Growth::Fits
            };
        }
        match self.largest() {
            Some((largest, _)) if largest == number => Growth::End,
            Some((_, held)) => {
                held.ended.notify_one();
                Growth::Fits
            }
            None => Growth::Fits,
        }
    }

    /// The answer to end, if the budget is used up.
    fn largest(&self) -> Option<(u64, &Held)> {
        if self.total <= self.bytes_max {
            return None;
        }
        let shares = self.shares.iter().filter(|(_, held)| !held.is_kept);
        let shares = shares.map(|(number, held)| (*number, held));
        shares
            .max_by_key(|(_, held)| held.bytes)
            .filter(|(_, held)| held.bytes > GUARANTEED_BYTES)
    }
}

impl Share {
    /// Sets the number of bytes that the answer holds, before they are kept. Returns whether the answer must end, since it
    /// holds the most and the budget is used up; another one that does is told to end.
    #[must_use]
    pub fn set(&self, bytes: u64) -> bool {
        self.update(bytes) == Growth::End
    }

    /// The same; returns once kept answers leave room for it.
    pub async fn grow(&self, bytes: u64) -> bool {
        loop {
            // Before the look, so that nothing that is freed behind it is missed.
            let freed = self.budget.0.freed.notified();
            match self.update(bytes) {
                Growth::End => return true,
                Growth::Fits => return false,
                Growth::Wait => freed.await,
            }
        }
    }

    fn update(&self, bytes: u64) -> Growth {
        let mut reading = self.budget.lock();
        reading.set(self.number, self.beside + bytes);
        reading.growth(self.number)
    }

    /// Notes that the answer is complete: its bytes are kept until the share is dropped.
    pub fn keep(&self) {
        let mut reading = self.budget.lock();
        let Some(held) = reading.shares.get_mut(&self.number) else {
            return;
        };
        held.is_kept = true;
        let bytes = held.bytes;
        reading.kept += bytes;
    }

    /// Waits until the answer must end for others.
    pub async fn ended(&self) {
        self.ended.notified().await;
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        let mut reading = self.budget.lock();
        reading.set(self.number, 0);
        reading.shares.remove(&self.number);
        drop(reading);
        self.budget.0.freed.notify_waiters();
    }
}
