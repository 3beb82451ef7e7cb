//! Whether engines have room for a relayed stream, and what becomes of those for which they have none.
//!
//! An engine that is given more than its memory holds stops streams halfway and reads their prompts again,
//! and one that reads many prompts at once is late with all of them. So streams wait at the instances, in
//! bounds: one that can not begin in the time in which its caller wants it, by what is known when it is
//! asked, is refused at once.

use super::*;

/// The part of their time left, as a divisor, for which callers follow when they are asked to come back.
const FOLLOWED_PART: u64 = 3;

/// Time that a shortage must have lasted for the starts of late to say how fast streams find room, in
/// milliseconds.
const KNOWN_MS: u64 = 1_000;

/// Time that a shortage must have lasted for waits to have settled, in milliseconds: most of the time that a
/// stream may wait. Shorter ones follow each loss of a data centre; on a day of such losses all streams
/// counted by the mean from the first moment were worth 0.464, and 0.525 by their own length.
const SETTLED_MS: u64 = 2_000;

/// The shortest time after which a caller is asked to come back, in milliseconds.
pub(crate) const MIN_RETRY_AFTER_MS: u64 = 200;

/// What a stream needs of an upstream.
#[derive(Clone, Copy, Debug)]
struct Need {
    /// Tokens that the upstream's memory holds.
    memory: f64,
    /// Tokens of prompt and longest answer.
    tokens: u32,
}

impl Need {
    /// What a request needs; `None` if upstreams keep nothing of it in memory.
    fn of(request: &Request) -> Option<Self> {
        let memory = request.service.relay()?.memory_tokens;
        let tokens = request.work.relay()?.tokens;
        (memory > 0 && tokens > 0).then_some(Self {
            memory: f64::from(memory),
            tokens,
        })
    }

    /// Whether it fits into a part of the memory of an upstream in such use; 0 for no bound. Whatever is
    /// asked, an upstream without work may try it.
    fn fits(self, usage: Usage, part: f64) -> bool {
        let filled = f64::from(usage.tokens + self.tokens);
        part == 0.0 || usage.tokens == 0 || filled <= part * self.memory
    }
}

impl Core {
    /// Those of some upstreams that have room for a request. A stream that its caller has a part of goes on
    /// wherever it can.
    pub(crate) fn upstreams_with_capacity(
        &self,
        request: &Request,
        mut candidates: Vec<upstream::Key>,
        own: &Own,
    ) -> Vec<upstream::Key> {
        let Some(need) = Need::of(request).filter(|_| request.position() == 0) else {
            return candidates;
        };
        let room = self.settings.room;
        let late = self.is_late(request);
        candidates.retain(|key| {
            if self.now < self.upstreams[*key].full_until {
                return false;
            }
            let usage = self.usage(own, *key);
            if late {
                return need.fits(usage, room.late_fill) && usage.reading == 0;
            }
            let reads = room.reading == 0 || usage.reading < room.reading;
            reads && need.fits(usage, room.fill) && self.begins_in_time(request, usage)
        });
        let before = if late { self.now } else { request.asked };
        let pool = request.service.pool();
        let ahead = self.sightings.waiting(pool, before);
        if ahead > 0 && room.turns {
            let places = |key: &upstream::Key| self.places(need, self.usage(own, *key));
            if candidates.iter().map(places).sum::<usize>() <= ahead {
                candidates.clear();
            }
        }
        candidates
    }

    /// Whether a stream would begin in the time wanted at an upstream in such use: prompts are read one after
    /// the other.
    fn begins_in_time(&self, request: &Request, usage: Usage) -> bool {
        let own = request.work.relay().map_or(0, |relay| relay.tokens);
        let tokens = own.min(self.counted_tokens(request));
        let pool = self.pools.get(request.service.pool());
        let reading = pool.map_or(0, |pool| {
            pool.estimates.prefill_ms(usage.reading_tokens + tokens)
        });
        let any_time = self.settings.room.late_fill == 0.0;
        any_time || self.now.after(reading) <= request.wanted_by
    }

    /// How many streams like one an upstream in such use has room for.
    fn places(&self, need: Need, usage: Usage) -> usize {
        let room = self.settings.room;
        let free = room.fill * need.memory - f64::from(usage.tokens);
        let by_memory = (free / f64::from(need.tokens)) as usize;
        let reading = room.reading.saturating_sub(usage.reading) as usize;
        match (room.fill > 0.0, room.reading > 0) {
            (true, true) => by_memory.max(1).min(reading),
            (true, false) => by_memory.max(1),
            (false, true) => reading,
            (false, false) => usize::MAX >> 32,
        }
    }

    /// Those of some upstreams that have room for a copy of a stream's memory. Where the memory of all is
    /// short none has: a copy takes as much of it as a stream does.
    pub(crate) fn upstreams_with_copy_capacity(
        &self,
        request: &Request,
        mut candidates: Vec<upstream::Key>,
        own: &Own,
    ) -> Vec<upstream::Key> {
        let Some(need) = Need::of(request) else {
            return candidates;
        };
        let room = self.settings.room;
        let placeable = self.placeable(request);
        let used: u32 = placeable
            .iter()
            .map(|key| self.usage(own, *key).tokens)
            .sum();
        let all = Usage {
            tokens: used,
            ..Usage::default()
        };
        let whole = Need {
            memory: need.memory * placeable.len() as f64,
            ..need
        };
        if !whole.fits(all, room.copy_fill) {
            return Vec::new();
        }
        candidates.retain(|key| need.fits(self.usage(own, *key), room.fill));
        candidates
    }

    /// Whether no upstream has room for a request.
    pub(crate) fn lacks_capacity(&self, request: &Request) -> bool {
        let placeable = self.placeable(request);
        self.upstreams_with_capacity(request, placeable, &self.own_usage())
            .is_empty()
    }

    /// Whether a stream can no longer begin in the time in which it is wanted, wherever it is sent.
    pub(crate) fn is_late(&self, request: &Request) -> bool {
        self.settings.room.late_fill > 0.0
            && self.now.after(self.reading_ms(request)) > request.wanted_by
    }

    /// Time in milliseconds that an engine without other work needs to read the tokens by which a request counts.
    fn reading_ms(&self, request: &Request) -> u64 {
        let tokens = self.counted_tokens(request);
        let pool = self.pools.get(request.service.pool());
        pool.map_or(0, |pool| pool.estimates.prefill_ms(tokens))
    }

    /// Tokens of a request by which it waits and is refused: in a lasting shortage those of the mean. Waits
    /// settle then where the streams that take longest to begin are just refused. By their own length the
    /// longest tenth would all be among them: at eight times the load 0.18 of it was served, and 0.41 of all.
    fn counted_tokens(&self, request: &Request) -> u32 {
        let tokens = request.work.relay().map_or(0, |relay| relay.tokens);
        let Some(pool) = self.pools.get(request.service.pool()) else {
            return tokens;
        };
        let mean = pool.tokens.get() as u32;
        let lasting = pool.estimates.shortage_ms(self.now).unwrap_or(0);
        if self.settings.room.sizes && mean > 0 && lasting >= SETTLED_MS {
            mean
        } else {
            tokens
        }
    }

    /// Whether a new stream can be served: what can be known to fail is refused at once.
    pub(crate) fn check_feasible(&mut self, request: &Request) -> Result<(), admission::Refusal> {
        if Need::of(request).is_none() {
            return Ok(());
        }
        if self.is_hopeless(request) {
            // Within this time it would be too late again.
            return Err(admission::Refusal {
                kind: Kind::TooLate,
                retry_after_ms: Some(request.deadline.since(self.now)),
            });
        }
        if request.position() > 0 || !self.settings.room.refuse {
            return Ok(());
        }
        let waiting = self.waiting(request.service.pool());
        let placeable = self.placeable(request);
        if placeable.is_empty() || (waiting == 0 && !self.lacks_capacity(request)) {
            return Ok(());
        }
        let lasting = self.record_shortage(request);
        let wait = self.expected_room(request, waiting + 1);
        let begins = self.now.after(wait + self.reading_ms(request));
        let late = self.is_late(request);
        let in_vain = if late {
            lasting > request.service.max_wait_ms
        } else {
            begins > request.wanted_by
        };
        if in_vain {
            return Err(admission::Refusal {
                kind: Kind::Overloaded,
                retry_after_ms: Some(self.retry_after_ms(request)),
            });
        }
        Ok(())
    }

    /// Time up to which a request may wait for an upstream; a new stream as long as it can still begin in the time wanted.
    pub(crate) fn queue_deadline(&self, request: &Request) -> Time {
        if request.service.relay().is_none() {
            return request.send_by;
        }
        let begins = self.reading_ms(request);
        let last = request.wanted_by.0.saturating_sub(begins);
        request.send_by.max(Time(last))
    }

    /// Whether a whole answer takes longer than the caller waits.
    fn is_hopeless(&self, request: &Request) -> bool {
        let (Some(relay), Some(pool)) =
            (request.work.relay(), self.pools.get(request.service.pool()))
        else {
            return false;
        };
        let passage = &request.passage;
        // The upstream that ran it before may keep its prompt.
        let kept = passage.copy.is_some() || passage.prefer.is_some();
        let reading = if kept {
            0
        } else {
            pool.estimates.prefill_ms(relay.tokens)
        };
        let rest = pool
            .estimates
            .remaining_ms(relay.answer_tokens, relay.position);
        let left = request.deadline.since(self.now);
        let hopeless = self.settings.room.hopeless;
        hopeless > 0.0 && (reading + rest) as f64 > left as f64 * hopeless
    }

    /// Streams that wait for room in a pool, here and at other instances.
    fn waiting(&self, pool: &str) -> usize {
        let here = self.pools.get(pool).map_or(0, |pool| pool.queue.len());
        here + self.sightings.waiting(pool, self.now)
    }

    /// Notes that a stream found no room; for how long that has been so, in milliseconds.
    pub(crate) fn record_shortage(&mut self, request: &Request) -> u64 {
        let pool = self.pools.entry(request.service.pool().into()).or_default();
        pool.estimates.record_shortage(self.now);
        pool.estimates.shortage_ms(self.now).unwrap_or(0)
    }

    /// Time in milliseconds until so many streams have found room: by the starts of late, or, while a shortage
    /// is too young to say, by the pace at which prompts are read.
    fn expected_room(&self, request: &Request, streams: usize) -> u64 {
        let Some(pool) = self.pools.get(request.service.pool()) else {
            return 0;
        };
        if pool
            .estimates
            .shortage_ms(self.now)
            .is_some_and(|lasting| lasting >= KNOWN_MS)
        {
            return pool.estimates.expected_wait_ms(streams, self.now);
        }
        let engines = self.placeable(request).len().max(1) as u64;
        self.reading_ms(request) * streams as u64 / engines
    }

    /// When the caller of a request that found no upstream is asked to come back: behind the rest of all, if they
    /// rest. Else, as for a stream that found no room: soon enough to have it in the
    /// time wanted, if room is likely then; else when the shortage is likely to be over. One that has
    /// lasted for some time is likely to last as long again.
    pub(crate) fn retry_after_ms(&mut self, request: &Request) -> u64 {
        if let Some(rest) = self.come_back_rested(request) {
            return rest;
        }
        let pool = self.pools.get(request.service.pool());
        let lasting = pool.and_then(|pool| pool.estimates.shortage_ms(self.now));
        let waiting = self.waiting(request.service.pool());
        let wait = self.expected_room(request, waiting + 1);
        let most = request.deadline.since(self.now) / FOLLOWED_PART;
        let most = most.max(2 * MIN_RETRY_AFTER_MS);
        let least = wait.max(lasting.unwrap_or(0));
        let least = least.clamp(MIN_RETRY_AFTER_MS, most / 2);
        self.rng.random_range(least..=2 * least)
    }
}
