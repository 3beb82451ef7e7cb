//! How late the machine runs what is due on it, as a task beside the stand-ins sees it.

use super::*;
use std::sync::{Arc, Mutex};

/// Time between two samples.
const STEP: Duration = Duration::from_millis(10);

/// Lateness of a sample from which the machine counts as slowed. Upstreams make an event each 10 or 100 ms, and instances
/// take one for silent that is some 250 ms late.
const LATE: Duration = Duration::from_millis(100);

/// Samples of lateness. Clones share them.
#[derive(Clone, Default)]
pub(crate) struct Probe(Arc<Mutex<Vec<(Instant, Instant)>>>);

impl Probe {
    /// Takes samples for ever.
    pub(crate) async fn run(self) {
        loop {
            let from = Instant::now();
            sleep(STEP).await;
            let to = Instant::now();
            if to - from > STEP + LATE {
                self.note(from, to);
            }
        }
    }

    fn note(&self, from: Instant, to: Instant) {
        let mut late = self.0.lock().expect("nobody panics while holding it");
        late.push((from, to));
    }

    /// Spans in which the machine was slowed.
    pub(crate) fn late(&self) -> Vec<(Instant, Instant)> {
        self.0
            .lock()
            .expect("nobody panics while holding it")
            .clone()
    }
}
