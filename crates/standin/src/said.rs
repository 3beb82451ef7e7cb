//! What upstreams said of themselves beside their answers in a soak, and whether requests came against it.
//!
//! The rules, as the users' platform has them. Behind an answer that says that its upstream leaves, no request that a caller sent
//! later than the bound goes there from the instance that passed the answer on; only a stop of this instance since then excuses
//! it. Of an instance that an upstream turned away and asked for rest, two requests at most reach it between half a second
//! behind that and the end of the rest; a stop of the instance or a fault of the links to the upstream excuses more.

use super::*;
use departure::{Arrival, Scope};
use wellplank_core::{availability::Span, clock::Time, incarnation::Incarnation};

/// Time behind a word of leaving within which requests of callers may still be sent, in milliseconds.
const LEAVE_MS: u64 = 2_000;

/// Time behind a refusal for requests that cross it, in milliseconds.
const CROSS_MS: u64 = 500;

/// Requests that may reach an upstream within its rest.
pub const WITHIN: usize = 2;

/// A request that an upstream turned away, asking for rest.
#[derive(Clone, Debug)]
pub struct Refusal {
    /// The request.
    pub arrival: Arrival,
    /// Rest that it asked for, in milliseconds.
    pub rest_ms: u64,
}

/// What was said, and what excuses those who heard it.
#[derive(Clone, Debug, Default)]
pub struct Said {
    /// Faults of links to upstreams, and stops of instances.
    disturbed: Vec<(Scope, Span)>,
    /// When an instance first passed on that a life leaves.
    leaving: BTreeMap<(usize, Incarnation), Time>,
}

impl Said {
    /// Notes that an instance stood still or was gone, or that the links to an upstream were disturbed.
    pub fn disturb(&mut self, scope: Scope, span: Span) {
        self.disturbed.push((scope, span));
    }

    /// Notes that an instance has passed on an answer that says that its upstream leaves.
    pub fn hear(&mut self, instance: usize, life: Incarnation, at: Time) {
        let first = self.leaving.entry((instance, life)).or_insert(at);
        *first = at.min(*first);
    }

    /// How long behind a word that its instance had passed on a request was sent by its caller, in milliseconds, if that is
    /// longer than the rule allows.
    pub fn late_ms(&self, arrival: &Arrival, sent: Time) -> Option<u64> {
        let heard = *self.leaving.get(&(arrival.instance, arrival.life))?;
        let behind_ms = sent.since(heard);
        let since = Span {
            from: heard,
            to: arrival.at,
        };
        let excused = self.is_disturbed(Scope::Instance(arrival.instance), since);
        Some(behind_ms).filter(|behind| *behind > LEAVE_MS && !excused)
    }

    /// Requests that reached an upstream within its rest from the instance that it asked for that; none if that is excused.
    pub fn within<'a>(&self, refusal: &Refusal, arrivals: &'a [Arrival]) -> Vec<&'a Arrival> {
        let asked = &refusal.arrival;
        let rest = Span {
            from: asked.at.after(CROSS_MS),
            to: asked.at.after(refusal.rest_ms),
        };
        let all = Span {
            from: asked.at,
            to: rest.to,
        };
        let instance = Scope::Instance(asked.instance);
        if self.is_disturbed(instance, all) || self.is_disturbed(Scope::Link(asked.link), all) {
            return Vec::new();
        }
        let counts = |arrival: &&Arrival| {
            let same = arrival.instance == asked.instance && arrival.life == asked.life;
            same && (rest.from..rest.to).contains(&arrival.at)
        };
        arrivals.iter().filter(counts).collect()
    }

    /// Whether the instance that sent a request stood still or was gone since a time.
    pub fn stopped(&self, arrival: &Arrival, since: Time) -> bool {
        let span = Span {
            from: since,
            to: arrival.at,
        };
        self.is_disturbed(Scope::Instance(arrival.instance), span)
    }

    fn is_disturbed(&self, scope: Scope, during: Span) -> bool {
        let meets = |span: &Span| span.from <= during.to && during.from <= span.to;
        let mut disturbed = self.disturbed.iter();
        disturbed.any(|(other, span)| *other == scope && meets(span))
    }
}
