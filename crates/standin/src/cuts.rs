//! Requests that ended without a whole answer around planned work, as the users' platform counts them.
//!
//! Counted are requests that an instance had read and passed on to an upstream that did not break them off, that had used
//! under seven tenths of their time, and at an instance and over links with nothing unplanned since a while before the
//! request. Around a signal none of them may be cut. Around a configuration an instance may not cut over three times as
//! often as at other times; fewer than [`FEWEST`] are no frequency, since one cut by chance would be over three times none.

use super::*;
use departure::Scope;
use wellplank_core::{availability::Span, clock::Time};

/// Requests cut around configurations from which an instance is held to cut more often than at other times.
pub const FEWEST: usize = 3;

/// How many times as often an instance may cut around configurations.
const TIMES: f64 = 3.0;

/// Tenths of its time from which a request is not counted.
const USED_TENTHS: u64 = 7;

/// Bounds of the rule, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Rule {
    /// Time within which a configuration must be in force behind its acknowledgement.
    pub apply_ms: u64,
    /// Calm that an instance and its links need before a request.
    pub calm_ms: u64,
    /// Time that an instance has to end in order.
    pub grace_ms: u64,
}

/// Time behind the bounds that still belongs to planned work, in milliseconds.
const SLACK_MS: u64 = 1_000;

/// Time behind a signal to end within which requests are sent that may outlast it, in milliseconds.
const LATE_MS: u64 = 3_000;

/// Planned work.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Work {
    /// A configuration, which concerns all instances.
    Configuration,
    /// An instance is told to read its settings again.
    Reload(usize),
    /// An instance is told to end.
    Stop(usize),
}

/// A request that an instance passed on, as its caller and its upstream saw it.
#[derive(Clone, Debug)]
pub struct Request {
    /// When its answer ended.
    pub ended: Time,
    /// Instance that its caller sent it to.
    pub instance: usize,
    /// Whether its answer ended before it was whole, and no upstream had broken it off.
    pub is_cut: bool,
    /// Time that it had, in milliseconds.
    pub limit_ms: u64,
    /// Place of the upstream that ran it last.
    pub link: usize,
    /// Name of its run.
    pub run: String,
    /// When its caller sent it.
    pub sent: Time,
}

/// Requests of one instance that were cut around planned work of one kind, against the rule.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Excess {
    /// Requests that were cut around the work, and those that ended around it.
    pub around: (usize, usize),
    /// Requests that were cut at other times, and those that ended then.
    pub besides: (usize, usize),
    /// Instance.
    pub instance: usize,
    /// Name of a run that was cut around the work.
    pub run: String,
    /// One such work.
    pub work: Work,
}

/// What happened in a soak, as far as the rule goes by it.
#[derive(Clone, Debug)]
pub struct Record {
    disturbed: Vec<(Scope, Span)>,
    planned: Vec<(Work, Time)>,
    requests: Vec<Request>,
    rule: Rule,
}

impl Record {
    /// A record in which nothing has happened.
    pub fn new(rule: Rule) -> Self {
        Self {
            disturbed: Vec::new(),
            planned: Vec::new(),
            requests: Vec::new(),
            rule,
        }
    }

    /// Notes a disturbance that nobody planned.
    pub fn disturb(&mut self, scope: Scope, span: Span) {
        self.disturbed.push((scope, span));
    }

    /// Notes planned work: when it was sent, which is when the store acknowledged it.
    pub fn plan(&mut self, work: Work, now: Time) {
        self.planned.push((work, now));
    }

    /// Notes the end of a request.
    pub fn end(&mut self, request: Request) {
        self.requests.push(request);
    }

    /// Requests that count and were cut, at any time.
    pub fn cuts(&self) -> Vec<&Request> {
        let counted = self.requests.iter().filter(|request| self.counts(request));
        counted.filter(|request| request.is_cut).collect()
    }

    /// What is against the rule, by instance.
    pub fn excesses(&self) -> Vec<Excess> {
        let mut counted: BTreeMap<usize, Vec<&Request>> = BTreeMap::new();
        for request in self.requests.iter().filter(|request| self.counts(request)) {
            counted.entry(request.instance).or_default().push(request);
        }
        let mut excesses = Vec::new();
        for requests in counted.values() {
            excesses.extend(self.around_configurations(requests));
            excesses.extend(self.around_signals(requests));
        }
        excesses
    }

    /// The excess of one instance around configurations, by the share of its requests.
    fn around_configurations(&self, requests: &[&Request]) -> Option<Excess> {
        let is_near = |request: &&&Request| self.is_around(Work::Configuration, request);
        let (near, far): (Vec<&Request>, Vec<&Request>) =
            requests.iter().partition(|request| is_near(request));
        let count = |requests: &[&Request]| {
            let cut = requests.iter().filter(|request| request.is_cut);
            (cut.count(), requests.len())
        };
        let (around, besides) = (count(&near), count(&far));
        let share = |(cut, all): (usize, usize)| cut as f64 / all.max(1) as f64;
        let is_over = around.0 >= FEWEST && share(around) > TIMES * share(besides);
        let first = near.into_iter().find(|request| request.is_cut)?;
        is_over.then(|| Excess {
            around,
            besides,
            instance: first.instance,
            run: first.run.clone(),
            work: Work::Configuration,
        })
    }

    /// The excess of one instance around signals to it, of either kind.
    fn around_signals(&self, requests: &[&Request]) -> Vec<Excess> {
        let Some(instance) = requests.first().map(|request| request.instance) else {
            return Vec::new();
        };
        let mut excesses = Vec::new();
        for work in [Work::Reload(instance), Work::Stop(instance)] {
            let near = requests
                .iter()
                .filter(|request| self.is_around(work, request));
            let near: Vec<&&Request> = near.collect();
            let cut = near.iter().filter(|request| request.is_cut);
            let cut: Vec<&&&Request> = cut.collect();
            if let Some(first) = cut.first() {
                excesses.push(Excess {
                    around: (cut.len(), near.len()),
                    besides: (0, 0),
                    instance,
                    run: first.run.clone(),
                    work,
                });
            }
        }
        excesses
    }

    /// Whether a request ended around work of a kind.
    fn is_around(&self, work: Work, request: &Request) -> bool {
        let mut planned = self.planned.iter().filter(|(other, _)| *other == work);
        planned.any(|(_, at)| self.is_around_one(work, *at, request))
    }

    /// Whether a request ended around one work.
    fn is_around_one(&self, work: Work, at: Time, request: &Request) -> bool {
        let ends_within = |end: Time| (at..end).contains(&request.ended);
        match work {
            Work::Configuration => ends_within(at.after(self.rule.apply_ms + SLACK_MS)),
            Work::Reload(_) => request.ended >= at && request.sent <= at.after(self.rule.apply_ms),
            Work::Stop(_) => ends_within(at.after(self.rule.grace_ms + SLACK_MS)),
        }
    }

    /// Whether a request was still under way in the last sixth of the time that its instance had to end: it may be cut then,
    /// whatever other work is planned beside.
    fn outlasts_stop(&self, request: &Request) -> bool {
        let stop = Work::Stop(request.instance);
        let grace_ms = self.rule.grace_ms;
        let mut stops = self.planned.iter().filter(|(work, _)| *work == stop);
        stops.any(|(_, at)| {
            let last_sixth = at.after(grace_ms - grace_ms / 6)..at.after(grace_ms + SLACK_MS);
            request.sent <= at.after(LATE_MS) && last_sixth.contains(&request.ended)
        })
    }

    /// Whether the rule speaks of a request.
    fn counts(&self, request: &Request) -> bool {
        let used_ms = request.ended.since(request.sent);
        let is_in_time = used_ms * 10 < request.limit_ms * USED_TENTHS;
        let span = Span {
            from: request.sent.before(self.rule.calm_ms),
            to: request.ended,
        };
        let scopes = [Scope::Instance(request.instance), Scope::Link(request.link)];
        let meets = |other: &Span| other.from <= span.to && span.from <= other.to;
        let mut disturbed = self.disturbed.iter();
        let is_calm = !disturbed.any(|(scope, other)| scopes.contains(scope) && meets(other));
        is_in_time && is_calm && !self.outlasts_stop(request)
    }
}
