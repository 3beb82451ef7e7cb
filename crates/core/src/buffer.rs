//! Bytes that an instance holds for others: events that wait for their callers, and requests that wait for upstreams.
//!
//! The edge reports what callers have read; the core decides which streams are read on, and which are given up.

use super::*;
use settings::UnreadLimits;

/// Fraction of the instance's limit from which streams are read only as far as their callers read. The rest of the
/// limit absorbs what is on its way when reading stops, so that callers are rarely given up.
const PRESSURE_FRACTION: f64 = 0.75;

/// Unread bytes up to which a stream is read on, and not given up, although its customer or the instance is at its limit. A caller that
/// reads promptly has less: some events of the 10 ms between two reports.
const PROMPT_BYTES: u64 = 4 << 10;

/// Time without reading below which a stream is not given up, in milliseconds. A caller that reads promptly is reported at
/// each tick of 10 ms, also where complete responses alone exceed the limit.
const PROMPT_MS: u64 = 50;

/// Step in which times without reading are compared, in milliseconds: among callers that stopped within the same step,
/// the one with the most unread bytes is given up first.
const IDLE_STEP_MS: u64 = 1_000;

/// Time after the end of a pause in which a broken stream counts as cut for the pause, in milliseconds. What the upstream
/// sent before it cut the stream is still in the socket's buffer and is read first, which takes a few milliseconds.
const CUT_WINDOW_MS: u64 = 1_000;

/// Whether the edge reads the events of an attempt.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Reading {
    /// They are read as they arrive, and always have been.
    #[default]
    Open,
    /// They are not read, since the caller does not read; silence is no sign of a stall.
    Paused,
    /// They are read again since this time.
    Resumed(Time),
}

impl Reading {
    /// Whether a stream that breaks now was cut because it was not read.
    fn explains_break(self, now: Time) -> bool {
        match self {
            Self::Open => false,
            Self::Paused => true,
            Self::Resumed(at) => now.since(at) <= CUT_WINDOW_MS,
        }
    }
}

/// Bytes held for one customer, or for all.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HeldBytes {
    /// Events that wait for callers.
    pub answers: u64,
    /// Bodies of requests that may still have to be sent.
    pub requests: u64,
}

/// Events that wait for one caller.
#[derive(Clone, Debug)]
struct Unread {
    bytes: u64,
    /// Index of the customer.
    customer: usize,
    /// Whether the stream was given up; the rest is released when the connection ends.
    is_given_up: bool,
    /// When the caller last read, or when the first of the bytes arrived.
    last_read: Time,
}

/// All bytes that an instance holds for others.
#[derive(Clone, Debug, Default)]
pub struct Buffers {
    /// Callers whose requests run, and those that have not read all of their responses.
    callers: HashMap<request::Caller, Unread>,
    /// What is held for each customer. An event is counted by index, which costs less than by name.
    customers: Vec<HeldBytes>,
    /// Indices of customers by name; never removed, since customers are few.
    indices: HashMap<String, usize>,
    /// Number of attempts whose events are not read.
    paused: u64,
    /// Bytes of streams that were given up.
    releasing: u64,
    total: HeldBytes,
}

impl Buffers {
    /// Bytes held for each customer that has any, by name.
    pub fn customers(&self) -> impl Iterator<Item = (&str, HeldBytes)> {
        let customers = self.indices.iter();
        let customers = customers.map(|(name, index)| (name.as_str(), self.customers[*index]));
        customers.filter(|(_, held)| *held != HeldBytes::default())
    }

    /// Number of bytes of the answer with the most unread bytes.
    pub fn largest(&self) -> u64 {
        let bytes = self.callers.values().map(|unread| unread.bytes);
        bytes.max().unwrap_or(0)
    }

    /// Number of attempts whose events are not read.
    pub fn paused(&self) -> u64 {
        self.paused
    }

    /// Bytes held for all customers.
    pub fn total(&self) -> HeldBytes {
        self.total
    }

    /// Number of bytes that wait for a caller.
    pub fn unread(&self, caller: request::Caller) -> u64 {
        self.callers.get(&caller).map_or(0, |unread| unread.bytes)
    }

    /// Counts the body of an admitted request.
    pub(crate) fn add_request(&mut self, customer: &str, bytes: u64) {
        self.total.requests += bytes;
        let customer = self.index(customer);
        self.customers[customer].requests += bytes;
    }

    /// Stops counting a request that has ended.
    pub(crate) fn remove_request(&mut self, caller: request::Caller, customer: &str, bytes: u64) {
        self.total.requests -= bytes;
        let customer = self.index(customer);
        self.customers[customer].requests -= bytes;
        self.forget_if_read(caller);
    }

    /// Counts bytes that wait for a caller; returns whether its stream must not be read on.
    fn add_answer(
        &mut self,
        caller: request::Caller,
        customer: &str,
        bytes: u64,
        limits: &UnreadLimits,
        now: Time,
    ) -> bool {
        if !self.callers.contains_key(&caller) {
            let unread = Unread {
                bytes: 0,
                customer: self.index(customer),
                is_given_up: false,
                last_read: now,
            };
            self.callers.insert(caller, unread);
        }
        let Some(unread) = self.callers.get_mut(&caller) else {
            return false;
        };
        if unread.bytes == 0 {
            unread.last_read = now;
        }
        unread.bytes += bytes;
        let (bytes_now, customer) = (unread.bytes, unread.customer);
        self.total.answers += bytes;
        self.customers[customer].answers += bytes;
        self.is_limited(bytes_now, customer, limits)
    }

    /// Stops counting what a caller has read.
    fn remove_answer(&mut self, caller: request::Caller, bytes: u64, now: Time) {
        let Some(unread) = self.callers.get_mut(&caller) else {
            return;
        };
        let bytes = bytes.min(unread.bytes);
        unread.bytes -= bytes;
        unread.last_read = now;
        if unread.is_given_up {
            self.releasing -= bytes;
        }
        self.total.answers -= bytes;
        self.customers[unread.customer].answers -= bytes;
    }

    /// Drops the entry of a caller whose request has ended, if it has read everything.
    fn forget_if_read(&mut self, caller: request::Caller) {
        if self.unread(caller) == 0 {
            self.callers.remove(&caller);
        }
    }

    /// Stops counting all that waits for a caller.
    pub(crate) fn forget(&mut self, caller: request::Caller, now: Time) {
        self.remove_answer(caller, u64::MAX, now);
        self.callers.remove(&caller);
    }

    /// Whether the events of a caller's stream must not be read on.
    fn is_full(&self, caller: request::Caller, limits: &UnreadLimits) -> bool {
        let Some(unread) = self.callers.get(&caller) else {
            return false;
        };
        self.is_limited(unread.bytes, unread.customer, limits)
    }

    /// Whether a stream with these unread bytes must not be read on.
    fn is_limited(&self, unread_bytes: u64, customer: usize, limits: &UnreadLimits) -> bool {
        let is_full = limits.request_bytes > 0 && unread_bytes >= limits.request_bytes;
        is_full || (unread_bytes >= PROMPT_BYTES && self.is_pressed(customer, limits))
    }

    /// Whether the events of a caller's stream may be read on after a pause: at half the limit, so that reading does not
    /// stop again at once.
    fn has_drained(&self, caller: request::Caller, limits: &UnreadLimits) -> bool {
        let Some(unread) = self.callers.get(&caller) else {
            return true;
        };
        let is_below = limits.request_bytes == 0 || unread.bytes <= limits.request_bytes / 2;
        is_below && !self.is_full(caller, limits)
    }

    /// Whether a customer is at its limit, or the instance near its own.
    fn is_pressed(&self, customer: usize, limits: &UnreadLimits) -> bool {
        let pressure = (limits.instance_bytes as f64 * PRESSURE_FRACTION) as u64;
        (limits.instance_bytes > 0 && self.total.answers - self.releasing >= pressure)
            || self.is_index_full(customer, limits)
    }

    /// Whether the unread answers of a customer have reached its limit.
    pub(crate) fn is_customer_full(&self, customer: &str, limits: &UnreadLimits) -> bool {
        let index = self.indices.get(customer);
        index.is_some_and(|index| self.is_index_full(*index, limits))
    }

    fn is_index_full(&self, customer: usize, limits: &UnreadLimits) -> bool {
        let answers = self.customers[customer].answers;
        limits.customer_bytes > 0 && answers >= limits.customer_bytes
    }

    /// Number of bytes by which unread answers exceed the instance's limit.
    fn excess(&self, limits: &UnreadLimits) -> u64 {
        if limits.instance_bytes == 0 {
            return 0;
        }
        let held = self.total.answers - self.releasing;
        held.saturating_sub(limits.instance_bytes)
    }

    /// Callers by the order in which their streams are given up: those that have not read for longest, then those with
    /// the most unread bytes.
    fn give_up_order(&self, now: Time) -> Vec<request::Caller> {
        let waiting = self.callers.iter();
        let waiting = waiting.filter(|(_, unread)| {
            let is_prompt = unread.bytes < PROMPT_BYTES || now.since(unread.last_read) < PROMPT_MS;
            !is_prompt && !unread.is_given_up
        });
        let mut order: Vec<_> = waiting
            .map(|(caller, unread)| {
                let idle_steps = now.since(unread.last_read) / IDLE_STEP_MS;
                (idle_steps, unread.bytes, *caller)
            })
            .collect();
        order.sort_unstable_by(|one, other| other.cmp(one));
        order.into_iter().map(|(_, _, caller)| caller).collect()
    }

    /// Sums that are wrong, in words; `requests` and `paused` are the bytes of all requests and the number of attempts whose
    /// events are not read.
    pub(crate) fn wrong_sums(&self, requests: u64, paused: u64) -> Vec<String> {
        let unread = self.callers.values();
        let answers: u64 = unread.clone().map(|unread| unread.bytes).sum();
        let given_up = unread.filter(|unread| unread.is_given_up);
        let releasing: u64 = given_up.map(|unread| unread.bytes).sum();
        let customers = self.customers.iter();
        let sums = [
            ("requests", requests, self.total.requests),
            ("answers", answers, self.total.answers),
            (
                "requests by customer",
                requests,
                customers.clone().map(|held| held.requests).sum(),
            ),
            (
                "answers by customer",
                answers,
                customers.map(|held| held.answers).sum(),
            ),
            ("answers given up", releasing, self.releasing),
            ("attempts not read", paused, self.paused),
        ];
        let wrong = sums.iter().filter(|(_, sum, counted)| sum != counted);
        let wrong =
            wrong.map(|(name, sum, counted)| format!("{name}: {sum} and {counted} counted"));
        wrong.collect()
    }

    fn give_up(&mut self, caller: request::Caller) {
        if let Some(unread) = self.callers.get_mut(&caller) {
            unread.is_given_up = true;
            self.releasing += unread.bytes;
        }
    }

    /// Index of a customer, assigned at its first request.
    fn index(&mut self, customer: &str) -> usize {
        if let Some(index) = self.indices.get(customer) {
            return *index;
        }
        let index = self.customers.len();
        self.customers.push(HeldBytes::default());
        self.indices.insert(customer.into(), index);
        index
    }
}

impl Core {
    /// Bytes that this instance holds for others.
    pub fn buffers(&self) -> &Buffers {
        &self.buffers
    }

    /// Counts an event that was forwarded, and stops reading the stream if its caller does not read.
    pub(crate) fn hold_unread(&mut self, key: attempt::Key, bytes: u64) {
        if !self.counts_unread {
            return;
        }
        let attempt = &self.attempts[key];
        let request = &self.requests[attempt.request];
        let (caller, customer) = (request.caller, &request.customer.name);
        let limits = &self.settings.unread;
        let is_limited = self
            .buffers
            .add_answer(caller, customer, bytes, limits, self.now);
        if is_limited && attempt.reading != Reading::Paused {
            self.pause_reading(key);
        }
    }

    /// Counts a complete response that the edge holds. It is read at once whatever its size, and never given up.
    pub(crate) fn hold_response(&mut self, key: attempt::Key, bytes: u64) {
        let Some(attempt) = self.attempts.get(key).filter(|_| self.counts_unread) else {
            return;
        };
        let request = &self.requests[attempt.request];
        let (caller, customer) = (request.caller, &request.customer.name);
        let limits = &self.settings.unread;
        self.buffers
            .add_answer(caller, customer, bytes, limits, self.now);
    }

    /// Stops reading the events of an attempt.
    fn pause_reading(&mut self, key: attempt::Key) {
        let attempt = &mut self.attempts[key];
        let is_first_pause = attempt.reading == Reading::Open;
        attempt.reading = Reading::Paused;
        if is_first_pause {
            let request = &self.requests[attempt.request];
            let unread_bytes = self.buffers.unread(request.caller);
            let step = effect::Step::Paused { unread_bytes };
            let entry = self.log_effect(request, step, Some(self.attempts[key].upstream));
            self.effects.push(entry);
        }
        self.buffers.paused += 1;
        self.count(Counter::ReadingPaused);
        self.effects
            .push(Effect::Buffering(effect::Buffering::Pause(key)));
    }

    /// Handles reports of what callers have read.
    pub(crate) fn handle_reads(&mut self, reads: &[event::CallerRead]) {
        for read in reads {
            self.buffers
                .remove_answer(read.caller, read.bytes, self.now);
            if let Some(key) = self.callers.get(&read.caller).copied() {
                self.read_on(key);
            } else {
                self.buffers.forget_if_read(read.caller);
            }
        }
    }

    /// Reads a stream on whose caller has read, or resumes it where its upstream has cut it.
    fn read_on(&mut self, key: request::Key) {
        let request = &mut self.requests[key];
        let caller = request.caller;
        if let Some(reason) = request.progress.resume_when_read {
            if self.buffers.unread(caller) == 0 {
                request.progress.resume_when_read = None;
                self.retry_relay(key, reason);
            }
            return;
        }
        let is_paused = |key: &&attempt::Key| self.attempts[**key].reading == Reading::Paused;
        let paused = request.attempts.iter().find(is_paused).copied();
        if let Some(attempt) = paused
            && self.buffers.has_drained(caller, &self.settings.unread)
        {
            self.resume_reading(attempt);
        }
    }

    /// Reads the events of a paused attempt again. The time of the pause counts neither as silence of the upstream nor as
    /// an interval between its events.
    fn resume_reading(&mut self, key: attempt::Key) {
        let attempt = &mut self.attempts[key];
        attempt.reading = Reading::Resumed(self.now);
        attempt.last_event_at = self.now;
        let progress = &mut self.requests[attempt.request].progress;
        progress.last_event_at = Some(self.now);
        self.buffers.paused -= 1;
        self.count(Counter::ReadingResumed);
        self.effects
            .push(Effect::Buffering(effect::Buffering::Resume(key)));
    }

    /// Stops counting an attempt that has ended as paused.
    pub(crate) fn forget_reading(&mut self, attempt: &Attempt) {
        if attempt.reading == Reading::Paused {
            self.buffers.paused -= 1;
        }
    }

    /// Whether an attempt that has broken was cut by its upstream because its events were not read.
    pub(crate) fn was_cut_unread(&self, attempt: &Attempt) -> bool {
        attempt.reading.explains_break(self.now)
    }

    /// Whether a lost stream must not be resumed before its caller has read what is buffered: always if it was cut
    /// unread, otherwise if its next events would not be read either.
    pub(crate) fn waits_for_reader(&mut self, key: request::Key, reason: counter::Reason) -> bool {
        let request = &mut self.requests[key];
        let caller = request.caller;
        let waits = match reason {
            counter::Reason::Unread => self.buffers.unread(caller) > 0,
            _ => !self.buffers.has_drained(caller, &self.settings.unread),
        };
        request.progress.resume_when_read = waits.then_some(reason);
        waits
    }

    /// Gives up streams that are not read until the instance is within its limit. Responses that are complete are kept.
    pub(crate) fn give_up_unread(&mut self) {
        if self.buffers.excess(&self.settings.unread) == 0 {
            return;
        }
        for caller in self.buffers.give_up_order(self.now) {
            // A request that is complete, or not yet open, has nothing but a complete response.
            let key = self.callers.get(&caller).copied();
            let Some(key) = key.filter(|key| self.requests[*key].progress.is_open) else {
                continue;
            };
            self.buffers.give_up(caller);
            self.effects
                .push(Effect::Buffering(effect::Buffering::Discard(caller)));
            self.fail(key, Kind::UnreadAnswer);
            if self.buffers.excess(&self.settings.unread) == 0 {
                return;
            }
        }
    }
}
