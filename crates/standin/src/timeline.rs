//! Virtual time: what is to happen, in its order.

use std::{cmp::Reverse, collections::BinaryHeap};
use wellplank_core::clock::Time;

struct Scheduled<A> {
    action: A,
    at: Time,
    order: u64,
}

impl<A> Eq for Scheduled<A> {}

impl<A> Ord for Scheduled<A> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

impl<A> PartialEq for Scheduled<A> {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl<A> PartialOrd for Scheduled<A> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

/// Actions by the time at which they happen; those of one time in the order in which they were
/// scheduled.
pub struct Timeline<A> {
    now: Time,
    order: u64,
    queue: BinaryHeap<Reverse<Scheduled<A>>>,
}

impl<A> Timeline<A> {
    /// A time at which nothing is to happen yet.
    pub fn new(now: Time) -> Self {
        Self {
            now,
            order: 0,
            queue: BinaryHeap::new(),
        }
    }

    /// The next action up to `end`, to which time then moves; `None` if there is none, and time
    /// moves to `end`.
    pub fn next(&mut self, end: Time) -> Option<A> {
        if self.queue.peek().is_none_or(|Reverse(next)| next.at > end) {
            self.now = self.now.max(end);
            return None;
        }
        let Reverse(next) = self.queue.pop()?;
        self.now = next.at;
        Some(next.action)
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Has something happen after `wait` milliseconds.
    pub fn schedule(&mut self, wait: u64, action: A) {
        self.order += 1;
        self.queue.push(Reverse(Scheduled {
            action,
            at: self.now.after(wait),
            order: self.order,
        }));
    }
}
