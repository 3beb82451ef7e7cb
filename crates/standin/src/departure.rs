//! Upstreams that leave in a soak, and whether a request that reached one came too late.
//!
//! The rule, as the users' platform has it: from some time behind the store's taking of the word, no request that a
//! calm instance took from a caller may reach the upstream. An instance is calm if nothing disturbed it, or its path
//! to the store, for a while; a store that was disturbed binds nobody for as long; a request that a disturbed link
//! held up is not late.

use super::*;
use wellplank_core::{availability::Span, clock::Time, incarnation::Incarnation};

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
    /// Life of the upstream that it reached.
    pub life: Incarnation,
    /// Place of the upstream, by which its links are known.
    pub link: usize,
    /// Name of its run.
    pub run: String,
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
    /// Spans in which the store says that lives are not to be given work.
    taken: BTreeMap<Incarnation, Vec<Span>>,
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

    /// Notes that the store took the word of an upstream that it leaves, or the end of its entry, or an entry that
    /// names no upstream to use.
    pub fn take(&mut self, life: Incarnation, now: Time) {
        let span = Span {
            from: now,
            to: Time(u64::MAX),
        };
        self.taken.entry(life).or_default().push(span);
    }

    /// Notes that the store lost the word of a life, coming back from an older copy: it binds from then on only.
    pub fn lose(&mut self, life: Incarnation, binds: Time) {
        let spans = self.taken.entry(life).or_default();
        let open = spans.iter_mut().filter(|span| span.to == Time(u64::MAX));
        for span in open {
            span.from = span.from.max(binds);
        }
    }

    /// Notes that the store took a good entry of it again.
    pub fn take_back(&mut self, life: Incarnation, now: Time) {
        if let Some(span) = self.taken.entry(life).or_default().last_mut() {
            span.to = span.to.min(now);
        }
    }

    /// How long behind the word a request came, in milliseconds, if that is longer than the rule allows.
    pub fn late_ms(&self, arrival: &Arrival) -> Option<u64> {
        let spans = self.taken.get(&arrival.life)?;
        let holds = |span: &&Span| (span.from..span.to).contains(&arrival.at);
        let taken = spans.iter().find(holds)?.from;
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
