//! Upstreams that leave in a soak, and whether a request that reached one came too late.
//!
//! The rule, as the users' platform has it: from some time behind the store's taking of the word, no request that a
//! calm instance took from a caller may reach the upstream. An instance is calm if nothing disturbed it, or its path
//! to the store, for a while; a store that was disturbed binds nobody for as long; a request that a disturbed link
//! held up is not late.

use super::*;
use wellplank_core::{absence::Span, clock::Time};

/// What a fault disturbs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// One instance, or its path to the store.
    Instance(usize),
    /// All links to one upstream.
    Link(usize),
    /// The store.
    Store,
}

/// A request that reached an upstream.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When.
    pub at: Time,
    /// Instance that sent it.
    pub instance: usize,
    /// Place of the upstream, by which its links are known.
    pub link: usize,
    /// Name of its run.
    pub run: String,
    /// Name of the upstream.
    pub upstream: String,
}

/// Bounds of the rule, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// Calm that an instance, a link or the store needs.
    pub calm_ms: u64,
    /// Time from the store's taking of a word within which its upstream must get no more work.
    pub leave_ms: u64,
}

/// What happened in a soak, as far as the rule goes by it.
#[derive(Clone, Debug)]
pub struct Record {
    disturbed: Vec<(Scope, Span)>,
    rule: Rule,
    taken: BTreeMap<String, Time>,
}

impl Record {
    /// A record in which nothing has happened.
    pub fn new(rule: Rule) -> Self {
        Self {
            disturbed: Vec::new(),
            rule,
            taken: BTreeMap::new(),
        }
    }

    /// Notes a disturbance.
    pub fn disturb(&mut self, scope: Scope, span: Span) {
        self.disturbed.push((scope, span));
    }

    /// Notes that the store took the word of an upstream that it leaves, or the end of its entry.
    pub fn take(&mut self, upstream: &str, now: Time) {
        self.taken.entry(upstream.to_owned()).or_insert(now);
    }

    /// How long behind the word a request came, in milliseconds, if that is longer than the rule allows.
    pub fn late_ms(&self, arrival: &Arrival) -> Option<u64> {
        let taken = *self.taken.get(&arrival.upstream)?;
        let behind_ms = arrival.at.since(taken);
        let bound = self.is_calm(Scope::Store, taken) && self.is_calm(Scope::Store, arrival.at);
        let calm = self.is_calm(Scope::Instance(arrival.instance), arrival.at)
            && self.is_calm(Scope::Link(arrival.link), arrival.at);
        Some(behind_ms).filter(|behind| *behind > self.rule.leave_ms && bound && calm)
    }

    /// Whether nothing disturbed something for long enough before a moment.
    fn is_calm(&self, scope: Scope, at: Time) -> bool {
        let disturbs = |span: &Span| span.from <= at && at.since(span.to) < self.rule.calm_ms;
        !self
            .disturbed
            .iter()
            .any(|(other, span)| *other == scope && disturbs(span))
    }
}
