//! What upstreams of relayed requests say of themselves beside their answers in virtual time, and whether work reached them against
//! it.
//!
//! The users' rules: behind an answer that says that its upstream leaves, no request that a caller sent later than the bound goes
//! there from the instance that passed it on; within a rest that an upstream asked an instance for, it wants nothing of it.
//! Both are held here from the moment at which the instance has the answer, and without the exceptions that the rules have.

use super::*;
use limited::Limited;
use pool::Line;
use relaying::World;
use wellplank_core::{
    availability::Span,
    clock::Time,
    event::Event,
    limit::{Limit, Rate},
    notice::{Backoff, Notice},
    upstream,
};

/// Time behind a word of leaving within which requests of callers may still go there.
const LEAVE_MS: u64 = 2_000;

/// Time behind a refusal for requests that cross it.
const CROSS_MS: u64 = 5;

/// Rests that upstreams ask for, in milliseconds; 0 for none.
const RESTS_MS: [u64; 5] = [0, 300, 1_000, 3_000, 8_000];

/// Limits that upstreams name, in thousandths of a request a second.
const LIMITS: [u64; 6] = [0, 50, 500, 1_200, 3_000, 20_000];

/// One life of an instance, and one of an upstream.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Pair {
    instance: (usize, u64),
    upstream: (usize, u64),
}

/// What instances were told by upstreams.
#[derive(Clone, Debug, Default)]
pub(crate) struct Words {
    /// When an instance first had an answer that says that its upstream leaves.
    leaving: HashMap<Pair, Time>,
    /// Times in which upstreams want no work, one for each refusal.
    rests: HashMap<Pair, Vec<Span>>,
}

impl World {
    /// An upstream answers an attempt, or `refuses` it, and says of itself what holds.
    pub fn say(&mut self, line: Line, key: upstream::Key, upstream: usize, refuses: bool) {
        let heard = self.timeline.now().after(1);
        let state = &mut self.upstreams[upstream];
        let (leaving, rest_ms) = (state.leaving.is_some(), state.rest_ms);
        let limit = match &mut state.limited {
            None => Limit::None,
            Some(limited) => {
                limited.tell((line.instance, line.life), heard);
                limited.limit()
            }
        };
        let pair = self.pair(line, upstream);
        if leaving {
            self.words.leaving.entry(pair).or_insert(heard);
        }
        let rests = refuses && rest_ms > 0;
        if rests {
            let span = Span {
                from: heard,
                to: heard.after(rest_ms),
            };
            self.words.rests.entry(pair).or_default().push(span);
        }
        let rest = if rests {
            Backoff::For(rest_ms)
        } else {
            Backoff::None
        };
        let notice = Notice {
            leaving,
            limit,
            backoff: rest,
            ..Notice::default()
        };
        let noticed = Event::NoticeReceived {
            attempt: line.attempt,
            notice,
            upstream: key,
        };
        self.event(line, noticed);
    }

    /// Holds a request that its caller sent at a time, and that reached an upstream, against what this has said.
    pub fn check_words(&mut self, line: Line, upstream: usize, asked: Time) {
        let now = self.timeline.now();
        let pair = self.pair(line, upstream);
        if let Some(said) = self.words.leaving.get(&pair).copied()
            && asked.since(said) > LEAVE_MS
        {
            let behind = now.since(said);
            self.broken(format_args!(
                "{upstream} got work {behind} ms behind its word that it leaves"
            ));
        }
        let limited = self.upstreams[upstream].limited.as_mut();
        let more = limited.and_then(|limited| limited.arrive((line.instance, line.life), now));
        if let Some(more) = more {
            self.broken(format_args!(
                "{upstream} got {more} requests in 4 s beyond the limit that it named"
            ));
        }
        let holds = |span: &&Span| now.since(span.from) > CROSS_MS && now < span.to;
        let rests = self.words.rests.get(&pair);
        if let Some(span) = rests.and_then(|spans| spans.iter().find(holds)) {
            let left = span.to.since(now);
            self.broken(format_args!(
                "{upstream} got work {left} ms before the end of its rest"
            ));
        }
    }

    /// Has an upstream name a limit, or another one than before, from now on.
    pub fn name_limit(&mut self, upstream: usize) {
        let rate = LIMITS[self.random.random_range(0..LIMITS.len())];
        self.upstreams[upstream].limited = Some(Limited::new(Rate(rate)));
    }

    /// Has no upstream name a limit any more.
    pub fn lift_limits(&mut self) {
        for upstream in &mut self.upstreams {
            upstream.limited = None;
        }
    }

    /// Has an upstream ask for rest, or for none, in its refusals from now on.
    pub fn ask_for_rest(&mut self, upstream: usize) {
        let rest_ms = RESTS_MS[self.random.random_range(0..RESTS_MS.len())];
        self.upstreams[upstream].rest_ms = rest_ms;
    }

    fn pair(&self, line: Line, upstream: usize) -> Pair {
        Pair {
            instance: (line.instance, line.life),
            upstream: (upstream, self.upstreams[upstream].life),
        }
    }
}
