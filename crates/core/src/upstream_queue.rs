//! Streams that wait for a slot in the queue of their upstream, and get neither response head nor event until their turn.
//!
//! Such a stream was taken for one whose upstream had died: the time to a first event was that of a prefill. So the time that
//! the streams ahead of it take is added. Whether the upstream is alive shows in those: if they fall silent, they are judged by
//! their own intervals, and what is learned of it ends the wait of the others.

use super::*;
use liveness::Hints;

impl Core {
    /// Expected time in milliseconds for which a stream without an event waits for a slot of its upstream; 0 if there is one
    /// for it, or if there is evidence that the upstream or its data centre was lost, since a queue does not explain that.
    pub(crate) fn expected_queue_ms(&self, key: attempt::Key, hints: Hints) -> u64 {
        let attempt = &self.attempts[key];
        if hints.lost || hints.neighbourhood.dark() >= liveness::DARK {
            return 0;
        }
        let turns = self.turns_ahead(attempt);
        if turns == 0 {
            return 0;
        }
        let pool = self.pools.get(&self.upstreams[attempt.upstream].pool);
        match pool.and_then(|pool| pool.estimates.known_run_ms()) {
            Some(run_ms) => u64::from(turns) * run_ms,
            None => self.first_event_timeout_ms(key),
        }
    }

    /// Number of times that all slots of its upstream are taken anew before a stream gets one: the runs in them may all have
    /// begun just now. 1 if streams run there, and the number of slots is not known.
    fn turns_ahead(&self, attempt: &Attempt) -> u32 {
        let upstream = &self.upstreams[attempt.upstream];
        let own = upstream.attempts.len().saturating_sub(1) as u32;
        let others = own + self.stream_records.usage(attempt.upstream).running;
        let others = others.max(attempt.ahead_streams);
        if let Some(slots) = upstream.known_slots() {
            return (others + 1).saturating_sub(slots).div_ceil(slots);
        }
        // Engines whose memory is known get no more streams than it holds, so none waits there.
        let request = &self.requests[attempt.request];
        let relay = request.service.relay();
        let has_memory = relay.is_some_and(|relay| relay.memory_tokens > 0);
        u32::from(others > 0 && !has_memory)
    }

    /// Whether the time to the first event of a stream included a wait for one of a known number of slots, so that it does not
    /// show the speed of a prefill.
    pub(crate) fn had_to_queue(&self, attempt: &Attempt) -> bool {
        let slots = self.upstreams[attempt.upstream].known_slots();
        slots.is_some() && self.turns_ahead(attempt) > 0
    }

    /// Records for how long a run that is complete held its slot.
    pub(crate) fn record_run(&mut self, attempt: &Attempt) {
        let Some(began_at) = attempt.first_event_at else {
            return;
        };
        let name = self.requests[attempt.request].service.pool();
        if let Some(pool) = self.pools.get_mut(name) {
            pool.estimates.record_run(self.now.since(began_at));
        }
    }
}

impl Upstream {
    /// Number of its slots, by the platform's list or by its own report.
    fn known_slots(&self) -> Option<u32> {
        let slots = self.listed_slots.max(self.load.slots);
        (slots > 0).then_some(slots)
    }
}
