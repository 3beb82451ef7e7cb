//! Capacity of engines for relayed streams, and admission control for streams that exceed it.
//!
//! An engine that is given more than its memory holds preempts streams and repeats their prefill,
//! and one that prefills many prompts concurrently delays all of them. So streams queue at the
//! instances, with bounds: a stream that by current estimates cannot start within the time that its
//! caller wants is refused at once.

use super::*;

/// Divisor of the time left: callers follow a retry delay of up to this fraction of it.
const FOLLOWED_DIVISOR: u64 = 3;

/// Age of a shortage in milliseconds from which recent stream starts show how fast capacity is
/// freed.
const RATE_KNOWN_MS: u64 = 1_000;

/// Age of a shortage in milliseconds from which waits count as settled: most of the time that a
/// stream may wait. Shorter shortages follow each loss of a data centre; on a day of such losses
/// the value of served requests was 0.464 with all streams counted by the mean from the first
/// moment, and 0.525 by their own length.
const SETTLED_MS: u64 = 2_000;

/// Maximum number of more urgent prompts that are expected to be prefilled before one that is sent:
/// as many as engines are given beside it.
const MAX_OVERTAKING: f64 = 1.0;

/// Time in milliseconds before the latest start of a stream from which on others give way to it: as
/// long as news takes to the other instances, and for an engine that is found to have no capacity.
const DUE_MS: u64 = 600;

/// Minimum retry delay that a refused caller is given, in milliseconds.
pub(crate) const MIN_RETRY_AFTER_MS: u64 = 200;

/// Capacity that a stream needs of an upstream.
#[derive(Clone, Copy, Debug)]
struct Need {
    /// Tokens that the memory of the upstream holds.
    memory: f64,
    /// Tokens of the prompt and the longest possible response.
    tokens: u32,
}

impl Need {
    /// The need of a request; `None` if upstreams keep none of it in memory.
    fn of(request: &Request) -> Option<Self> {
        let memory = request.service.relay()?.memory_tokens;
        let tokens = request.work.relay()?.tokens;
        (memory > 0 && tokens > 0).then_some(Self {
            memory: f64::from(memory),
            tokens,
        })
    }

    /// Whether the stream fits into a fraction of the memory of an upstream with this usage; 0
    /// means unbounded. An idle upstream may try a request of any size.
    fn fits(self, usage: Usage, fraction: f64) -> bool {
        let filled = usage.tokens as f64 + f64::from(self.tokens);
        fraction == 0.0 || usage.tokens == 0 || filled <= fraction * self.memory
    }
}

impl Core {
    /// Filters the candidates to upstreams with capacity for a request. A stream whose caller
    /// already has part of the response continues wherever it can. Where ranks are in force and no
    /// upstream has free capacity, less urgent streams give way, those without a first event first.
    pub(crate) fn upstreams_with_capacity(
        &self,
        request: &Request,
        candidates: Vec<upstream::Key>,
        own: &OwnUsage,
    ) -> Vec<upstream::Key> {
        let Some(need) = Need::of(request).filter(|_| request.position() == 0) else {
            return candidates;
        };
        if request.rank.is_none() {
            return self.upstreams_beside(request, need, Yielding::Nobody, candidates, own);
        }
        let most = self.settings.urgency.yielding;
        let ways = Yielding::ALL.into_iter().map(|(_, yielding)| yielding);
        ways.filter(|yielding| *yielding <= most)
            .filter(|yielding| *yielding != Yielding::Due || self.is_due(request))
            .map(|yielding| self.upstreams_beside(request, need, yielding, candidates.clone(), own))
            .find(|upstreams| !upstreams.is_empty())
            .unwrap_or_default()
    }

    /// Whether a stream that waits would soon be too late to start in time. One that has just arrived
    /// counts as well, so that it is not refused while others can give way to it later.
    fn is_due(&self, request: &Request) -> bool {
        let turn = request.turn.as_ref();
        turn.is_none_or(|turn| turn.start_by.since(self.now) <= DUE_MS && !turn.is_late)
    }

    /// Filters the candidates to upstreams with capacity for a request if less urgent streams give
    /// way in the stated way.
    fn upstreams_beside(
        &self,
        request: &Request,
        need: Need,
        yielding: Yielding,
        mut candidates: Vec<upstream::Key>,
        own: &OwnUsage,
    ) -> Vec<upstream::Key> {
        let usage = |key: upstream::Key| {
            self.usage(own, key)
                .without_yielding(request.rank, yielding)
        };
        let limits = self.settings.room;
        let is_late = self.is_late(request);
        candidates.retain(|key| {
            if self.now < self.upstreams[*key].full_until {
                return false;
            }
            let usage = usage(*key);
            if is_late {
                return need.fits(usage, limits.late_fill) && usage.prefilling == 0;
            }
            let may_prefill = limits.reading == 0 || usage.prefilling < limits.reading;
            may_prefill && need.fits(usage, limits.fill) && self.starts_in_time(request, usage)
        });
        let before = if is_late {
            self.now
        } else {
            request.arrived_at
        };
        let pool = request.service.pool();
        let ahead = match self.turn(request) {
            Some(turn) => self.stream_records.waiting_before(pool, turn),
            None => self.stream_records.waiting(pool, before),
        };
        if ahead > 0 && limits.turns {
            let stream_capacity = |key: &upstream::Key| self.stream_capacity(need, usage(*key));
            if candidates.iter().map(stream_capacity).sum::<usize>() <= ahead {
                candidates.clear();
            }
        }
        candidates
    }

    /// Whether a stream would start in time at an upstream with this usage: prompts are prefilled
    /// one after the other.
    fn starts_in_time(&self, request: &Request, usage: Usage) -> bool {
        let own = request.work.relay().map_or(0, |relay| relay.tokens);
        let tokens = own.min(self.counted_tokens(request));
        let pool = self.pools.get(request.service.pool());
        let prefill_ms = pool.map_or(0, |pool| {
            pool.estimates
                .prefill_ms(usage.prefill_tokens + u64::from(tokens))
        });
        let is_unbounded = self.settings.room.late_fill == 0.0;
        let prefill_ms = prefill_ms.saturating_add(self.overtaken_ms(request, tokens));
        is_unbounded || self.now.after(prefill_ms) <= request.first_event_due
    }

    /// Number of streams with this need that an upstream with this usage has capacity for.
    fn stream_capacity(&self, need: Need, usage: Usage) -> usize {
        let limits = self.settings.room;
        let free = limits.fill * need.memory - usage.tokens as f64;
        let by_memory = (free / f64::from(need.tokens)) as usize;
        let prefills = limits.reading.saturating_sub(usage.prefilling) as usize;
        match (limits.fill > 0.0, limits.reading > 0) {
            (true, true) => by_memory.max(1).min(prefills),
            (true, false) => by_memory.max(1),
            (false, true) => prefills,
            (false, false) => usize::MAX >> 32,
        }
    }

    /// Filters the candidates to upstreams with capacity for a copy of a stream's memory. There are
    /// none where the memory of the whole pool is short: a copy takes as much of it as a stream.
    pub(crate) fn upstreams_with_copy_capacity(
        &self,
        request: &Request,
        mut candidates: Vec<upstream::Key>,
        own: &OwnUsage,
    ) -> Vec<upstream::Key> {
        let Some(need) = Need::of(request) else {
            return candidates;
        };
        let limits = self.settings.room;
        let all_candidates = self.relay_candidates(request);
        let used: u64 = all_candidates
            .iter()
            .map(|key| self.usage(own, *key).tokens)
            .sum();
        let all = Usage {
            tokens: used,
            ..Usage::default()
        };
        let pool_need = Need {
            memory: need.memory * all_candidates.len() as f64,
            ..need
        };
        if !pool_need.fits(all, limits.copy_fill) {
            return Vec::new();
        }
        candidates.retain(|key| need.fits(self.usage(own, *key), limits.fill));
        candidates
    }

    /// Whether no upstream has capacity for a request.
    pub(crate) fn lacks_capacity(&self, request: &Request) -> bool {
        let candidates = self.relay_candidates(request);
        self.upstreams_with_capacity(request, candidates, &self.own_usage())
            .is_empty()
    }

    /// Whether a stream can no longer start in time, wherever it is sent.
    pub(crate) fn is_late(&self, request: &Request) -> bool {
        self.settings.room.late_fill > 0.0
            && self.now.after(self.own_prefill_ms(request)) > request.first_event_due
    }

    /// Time in milliseconds in which an idle engine prefills the tokens by which a request is
    /// counted.
    pub(crate) fn own_prefill_ms(&self, request: &Request) -> u64 {
        let tokens = self.counted_tokens(request);
        let pool = self.pools.get(request.service.pool());
        let prefill_ms = pool.map_or(0, |pool| pool.estimates.prefill_ms(tokens.into()));
        prefill_ms.saturating_add(self.overtaken_ms(request, tokens))
    }

    /// Time in milliseconds by which the prefill of a request takes longer since engines prefill more
    /// urgent prompts first, if its own takes `tokens`; 0 if no ranks are in force.
    fn overtaken_ms(&self, request: &Request, tokens: u32) -> u64 {
        let pool = self.pools.get(request.service.pool());
        let (Some(rank), Some(pool)) = (request.rank, pool) else {
            return 0;
        };
        let share = pool.estimates.started_above(rank, self.now);
        let overtaking = (share / (1.0 - share).max(f64::EPSILON)).min(MAX_OVERTAKING);
        (pool.estimates.prefill_ms(tokens.into()) as f64 * overtaking) as u64
    }

    /// Tokens by which a request is admitted and queued: in a lasting shortage the mean of the
    /// pool. Waits then settle where the streams that take longest to start are just refused. By
    /// their own length the longest tenth would all be among those: at eight times the load, 0.18
    /// of that tenth was served, against 0.41 of all streams.
    fn counted_tokens(&self, request: &Request) -> u32 {
        let tokens = request.work.relay().map_or(0, |relay| relay.tokens);
        let Some(pool) = self.pools.get(request.service.pool()) else {
            return tokens;
        };
        let mean = pool.tokens.get() as u32;
        let shortage_ms = pool.estimates.shortage_ms(self.now).unwrap_or(0);
        if self.settings.room.sizes && mean > 0 && shortage_ms >= SETTLED_MS {
            mean
        } else {
            tokens
        }
    }

    /// Checks whether a new stream can be served, and refuses at once a stream that is known to
    /// fail.
    pub(crate) fn check_feasible(&mut self, request: &Request) -> Result<(), admission::Refusal> {
        if Need::of(request).is_none() {
            return Ok(());
        }
        if self.is_infeasible(request) {
            // A retry within this time would be too late again.
            return Err(admission::Refusal {
                kind: Kind::TooLate,
                retry_after_ms: Some(request.deadline.since(self.now)),
            });
        }
        if request.position() > 0 || !self.settings.room.refuse {
            return Ok(());
        }
        let queued_streams = self.streams_ahead(request);
        let candidates = self.relay_candidates(request);
        if candidates.is_empty() || (queued_streams == 0 && !self.lacks_capacity(request)) {
            return Ok(());
        }
        let shortage_ms = self.record_shortage(request);
        let wait_ms = self.expected_wait_ms(request, queued_streams + 1);
        let starts_at = self.now.after(wait_ms).after(self.own_prefill_ms(request));
        let is_late = self.is_late(request);
        let is_futile = if is_late {
            shortage_ms > request.service.max_wait_ms
        } else {
            starts_at > request.first_event_due
        };
        if is_futile && !self.may_overtake(request) {
            if let Some(outlook) = self.outlook(request) {
                self.log_step(request, effect::Step::Refused(outlook), None);
            }
            return Err(admission::Refusal {
                kind: Kind::Overloaded,
                retry_after_ms: Some(self.retry_after_ms(request)),
            });
        }
        Ok(())
    }

    /// Time until which a request may wait for an upstream; for a new stream, as long as it can
    /// still start in time.
    pub(crate) fn queue_deadline(&self, request: &Request) -> Time {
        if request.service.relay().is_none() {
            return request.send_by;
        }
        let prefill_ms = self.own_prefill_ms(request);
        let last = request.first_event_due.0.saturating_sub(prefill_ms);
        request.send_by.max(Time(last))
    }

    /// Whether the complete response is expected to take longer than the caller waits.
    fn is_infeasible(&self, request: &Request) -> bool {
        let (Some(relay), Some(pool)) =
            (request.work.relay(), self.pools.get(request.service.pool()))
        else {
            return false;
        };
        let prefill_ms = if request.progress.has_cached_prompt() {
            0
        } else {
            pool.estimates.prefill_ms(relay.tokens.into())
        };
        let remaining_ms = pool
            .estimates
            .remaining_ms(relay.max_answer_tokens, relay.position);
        let left = request.deadline.since(self.now);
        let hopeless = self.settings.room.hopeless;
        hopeless > 0.0 && prefill_ms.saturating_add(remaining_ms) as f64 > left as f64 * hopeless
    }

    /// Number of streams that wait for capacity in a pool, here and at other instances, before a request: all that came
    /// before it or, where ranks are in force, all whose turn is earlier.
    pub(crate) fn streams_ahead(&self, request: &Request) -> usize {
        let name = request.service.pool();
        let pool = self.pools.get(name);
        if let Some(turn) = self.turn(request) {
            let here = pool.map_or(0, |pool| pool.queue.ahead_of_turn(turn));
            return here + self.stream_records.waiting_before(name, turn);
        }
        let here = pool.map_or(0, |pool| pool.queue.len());
        here + self.stream_records.waiting(name, self.now)
    }

    /// Whether a request that is expected to start too late may yet start in time before less urgent ones, which are still
    /// being started.
    fn may_overtake(&self, request: &Request) -> bool {
        let pool = self.pools.get(request.service.pool());
        let starts_below = |rank: Rank| {
            let estimates = pool.map(|pool| &pool.estimates);
            estimates.is_some_and(|estimates| {
                estimates.started_below(rank, rank::OVERTAKING_MS, self.now)
            })
        };
        request.rank.is_some_and(starts_below) && !self.is_late(request)
    }

    /// Records that a stream found no capacity. Returns the age of the shortage in milliseconds.
    pub(crate) fn record_shortage(&mut self, request: &Request) -> u64 {
        let pool = self.pools.entry(request.service.pool().into()).or_default();
        pool.estimates.record_shortage(self.now);
        pool.estimates.shortage_ms(self.now).unwrap_or(0)
    }

    /// Expected time in milliseconds until `streams` streams have found capacity: from the rate of
    /// recent starts, or, while a shortage is too recent for that, from the prefill speed.
    pub(crate) fn expected_wait_ms(&self, request: &Request, streams: usize) -> u64 {
        let Some(pool) = self.pools.get(request.service.pool()) else {
            return 0;
        };
        if pool
            .estimates
            .shortage_ms(self.now)
            .is_some_and(|shortage_ms| shortage_ms >= RATE_KNOWN_MS)
        {
            let rank = request.rank;
            return pool.estimates.expected_wait_ms(streams, rank, self.now);
        }
        let engines = self.relay_candidates(request).len().max(1) as u64;
        self.own_prefill_ms(request) * streams as u64 / engines
    }

    /// Delay in milliseconds after which a refused caller is asked to retry: after the backoff of
    /// all upstreams, if all ask for one. Otherwise soon enough to be served in time, if capacity
    /// is likely by then; else when the shortage is likely to be over. A shortage that has lasted
    /// for some time is likely to last as long again.
    pub(crate) fn retry_after_ms(&mut self, request: &Request) -> u64 {
        if let Some(backoff_ms) = self.backoff_retry_after_ms(request) {
            return backoff_ms;
        }
        let pool = self.pools.get(request.service.pool());
        let shortage_ms = pool.and_then(|pool| pool.estimates.shortage_ms(self.now));
        let queued_streams = self.streams_ahead(request);
        let wait_ms = self.expected_wait_ms(request, queued_streams + 1);
        let max = request.deadline.since(self.now) / FOLLOWED_DIVISOR;
        let max = max.max(2 * MIN_RETRY_AFTER_MS);
        let min = wait_ms.max(shortage_ms.unwrap_or(0));
        let min = min.clamp(MIN_RETRY_AFTER_MS, max / 2);
        self.rng.random_range(min..=2 * min)
    }
}
