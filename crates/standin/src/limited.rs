//! Limits that upstreams name in virtual time, and whether what reaches them keeps to that, counted as the users' rule does.

use super::*;
use departure::Arrival;
use wellplank_core::{
    clock::Time,
    incarnation::Incarnation,
    limit::{Limit, Rate},
};

/// Time over which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// Time behind the first answer with a limit from which on what its instance sends counts, in milliseconds.
const TOLD_MS: u64 = 500;

/// What the rule allows over what the limit does: a part of it, and some requests.
const ALLOWED_PART: f64 = 1.5;
const ALLOWED_MORE: f64 = 5.0;

/// One upstream that names a limit.
#[derive(Clone, Debug)]
pub(crate) struct Limited {
    /// When requests that count arrived, the newest last.
    arrivals: VecDeque<Time>,
    /// The most of them in a window.
    pub fullest: usize,
    rate: Rate,
    /// When each instance, by its number and life, was first told.
    told: HashMap<(usize, u64), Time>,
}

impl Limited {
    /// An upstream that names such a limit from now on.
    pub fn new(rate: Rate) -> Self {
        Self {
            arrivals: VecDeque::new(),
            fullest: 0,
            rate,
            told: HashMap::new(),
        }
    }

    /// What its answers say.
    pub fn limit(&self) -> Limit {
        Limit::Rate(self.rate)
    }

    /// An instance has an answer that names the limit.
    pub fn tell(&mut self, instance: (usize, u64), now: Time) {
        self.told.entry(instance).or_insert(now);
    }

    /// A request of an instance arrived; how many there were in the last window if they are too many.
    pub fn arrive(&mut self, instance: (usize, u64), now: Time) -> Option<usize> {
        let told = self.told.get(&instance)?;
        if now.since(*told) < TOLD_MS {
            return None;
        }
        self.arrivals.push_back(now);
        let old = |arrival: &mut Time| now.since(*arrival) >= WINDOW_MS;
        while self.arrivals.pop_front_if(old).is_some() {}
        let count = self.arrivals.len();
        self.fullest = self.fullest.max(count);
        (count as f64 > self.allowed()).then_some(count)
    }

    /// Requests in a window that the rule allows.
    pub fn allowed(&self) -> f64 {
        let seconds = WINDOW_MS as f64 / 1_000.0;
        ALLOWED_PART * self.rate.per_second() * seconds + ALLOWED_MORE
    }
}

/// What reached upstreams between real processes while they named limits.
#[derive(Debug, Default)]
pub struct Record(HashMap<Incarnation, (&'static str, Limited)>);

impl Record {
    /// When an upstream that names a limit had first told an instance of it.
    pub fn told(&self, arrival: &Arrival) -> Option<Time> {
        let (_, limited) = self.0.get(&arrival.life)?;
        limited.told.get(&(arrival.instance, 0)).copied()
    }

    /// A request arrived at an upstream that names a limit, or none; how many there were in the last window if they are too
    /// many. What arrives from an instance that was disturbed is `excused`.
    pub fn arrive(
        &mut self,
        arrival: &Arrival,
        limit: Option<&'static str>,
        excused: bool,
    ) -> Option<usize> {
        let rate = limit.and_then(|text| match Limit::parse(text) {
            Limit::Rate(rate) => Some((text, rate)),
            _ => None,
        });
        let Some((text, rate)) = rate else {
            self.0.remove(&arrival.life);
            return None;
        };
        let new = || (text, Limited::new(rate));
        let named = self.0.entry(arrival.life).or_insert_with(new);
        if named.0 != text {
            *named = new();
        }
        let instance = (arrival.instance, 0);
        let more = (!excused)
            .then(|| named.1.arrive(instance, arrival.at))
            .flatten();
        named.1.tell(instance, arrival.at);
        more
    }
}
