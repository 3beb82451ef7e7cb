//! The bytes of answers that are being read and are not complete, of a whole instance.

use super::*;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Bytes that each answer may hold, whatever the others hold.
const GUARANTEED_BYTES: u64 = 64 << 10;

/// A bound on the bytes of all answers that are being read; clones share it. When it is used up, the answer with the most
/// bytes is ended.
#[derive(Clone, Debug)]
pub(crate) struct ReadBudget(Arc<Mutex<Reading>>);

#[derive(Debug)]
struct Reading {
    bytes_max: u64,
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
}

/// The part of the budget that one answer holds, until it is dropped.
#[derive(Debug)]
pub(crate) struct Share {
    budget: ReadBudget,
    ended: Arc<Notify>,
    number: u64,
}

impl ReadBudget {
    /// A budget of so many bytes.
    pub fn new(bytes_max: u64) -> Self {
        Self(Arc::new(Mutex::new(Reading {
            bytes_max,
            next: 0,
            shares: BTreeMap::new(),
            total: 0,
        })))
    }

    /// Changes the bound; answers that hold more are ended when one of them grows.
    pub fn set_max(&self, bytes_max: u64) {
        self.lock().bytes_max = bytes_max;
    }

    /// Bytes that answers hold now.
    pub fn bytes(&self) -> u64 {
        self.lock().total
    }

    /// A share of an answer that holds nothing yet.
    pub fn share(&self) -> Share {
        let mut reading = self.lock();
        let number = reading.next;
        reading.next += 1;
        let held = Held::default();
        let ended = held.ended.clone();
        reading.shares.insert(number, held);
        Share {
            budget: self.clone(),
            ended,
            number,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Reading> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Reading {
    /// Sets what an answer holds.
    fn set(&mut self, number: u64, bytes: u64) {
        if let Some(held) = self.shares.get_mut(&number) {
            self.total = self.total - held.bytes + bytes;
            held.bytes = bytes;
        }
    }

    /// The answer to end, if the budget is used up.
    fn largest(&self) -> Option<(u64, &Held)> {
        if self.total <= self.bytes_max {
            return None;
        }
        let shares = self.shares.iter().map(|(number, held)| (*number, held));
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
        let mut reading = self.budget.lock();
        reading.set(self.number, bytes);
        match reading.largest() {
            Some((number, _)) if number == self.number => true,
            Some((_, held)) => {
                held.ended.notify_one();
                false
            }
            None => false,
        }
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
    }
}
