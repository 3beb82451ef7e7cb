//! Fake runners of the routing bench, in virtual time.

use super::*;
use wellplank_core::{attempt, clock::Time, config::Priority, upstream::Load};

/// Streams that a runner runs at once.
pub(crate) const SLOTS: usize = 16;

/// Time between two tokens of a stream, in milliseconds.
pub(crate) const STEP_MS: u64 = 25;

/// Prompt starts that a runner's cache holds.
const CACHE: usize = 24;

/// Age of load reports, in milliseconds, beyond the time between probes.
const LAG_MS: u64 = 300;

/// One stream of a fake runner.
#[derive(Clone, Copy)]
pub(crate) struct Running {
    pub attempt: attempt::Key,
    pub instance: usize,
    pub left: u32,
    pub name: (u128, u32),
    pub position: u32,
    pub priority: Priority,
    pub ready: Time,
    pub slot: bool,
}

/// A fake runner: slots, a cache of prompt starts, and load reports that are old.
pub(crate) struct Runner {
    cache: VecDeque<u64>,
    pub lost: bool,
    pub reports: VecDeque<(Time, Load)>,
    pub streams: Vec<Running>,
}

impl Runner {
    /// A runner without work.
    pub fn new() -> Self {
        Self {
            cache: VecDeque::new(),
            lost: false,
            reports: VecDeque::new(),
            streams: Vec::new(),
        }
    }

    /// Its load now.
    pub fn load(&self) -> Load {
        let running = self.streams.iter().filter(|stream| stream.slot).count();
        Load {
            leaving: false,
            running: running as u32,
            slots: SLOTS as u32,
            waiting: (self.streams.len() - running) as u32,
            ..Load::default()
        }
    }

    /// The last report that is old enough.
    pub fn report(&mut self, now: Time) -> Load {
        while self.reports.len() > 1 && now.since(self.reports[1].0) >= LAG_MS {
            self.reports.pop_front();
        }
        self.reports
            .front()
            .map(|(_, load)| *load)
            .unwrap_or_default()
    }

    /// Whether the start of a prompt is in the cache; it is afterwards.
    pub fn take_prefix(&mut self, prefix: u64) -> bool {
        let found = self.cache.iter().position(|other| *other == prefix);
        if let Some(index) = found {
            self.cache.remove(index);
        }
        self.cache.push_back(prefix);
        if self.cache.len() > CACHE {
            self.cache.pop_front();
        }
        found.is_some()
    }
}
