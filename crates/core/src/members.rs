//! The instances of the fleet as this one has known them of late, and which few of them have a task that not all may have.
//!
//! Instances hear of others at different times, so two of them may choose different few for a while. Who acts only when it
//! is among the few by every view of the time in which all hear of a change is among them by a view that all share: never
//! more act than the few are.

use super::*;

/// Views kept, at most; each change of the fleet brings one.
const KEPT: usize = 16;

/// The instances as they are known at one time.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Numbers of the others.
    pub others: Vec<u64>,
    /// The number of this one.
    pub own: u64,
    /// Time within which all instances hear of a change, in milliseconds.
    pub settles_ms: u64,
}

/// The views of late, the newest last.
#[derive(Clone, Debug, Default)]
pub struct Members {
    seen: VecDeque<(Time, View)>,
}

impl View {
    /// One of so many instances, for which nothing is waited for.
    pub fn numbered(own: u64, instances: u64) -> Self {
        Self {
            others: (0..instances).filter(|other| *other != own).collect(),
            own,
            settles_ms: 0,
        }
    }

    /// How many instances there are, this one with them.
    pub fn count(&self) -> u32 {
        self.others.len() as u32 + 1
    }

    /// Whether this instance is among the first `few` for a topic, by rendezvous hashing.
    fn is_among(&self, few: usize, topic: u64) -> bool {
        let own = (route::rendezvous_rank(topic, self.own), self.own);
        let before = |other: &&u64| (route::rendezvous_rank(topic, **other), **other) < own;
        self.others.iter().filter(before).count() < few
    }
}

impl Members {
    /// Takes in another view.
    pub fn see(&mut self, view: View, now: Time) {
        if self.seen.len() >= KEPT {
            self.seen.pop_front();
        }
        self.seen.push_back((now, view));
    }

    /// From when on this instance may act as one of the first `few` for a topic; `None` if it is not among them. One that
    /// knows of no fleet acts alone.
    pub fn acts_from(&self, few: usize, topic: u64) -> Option<Time> {
        let Some((_, newest)) = self.seen.back() else {
            return Some(Time::default());
        };
        let among = |(_, view): &&(Time, View)| view.is_among(few, topic);
        let (since, _) = self.seen.iter().rev().take_while(among).last()?;
        Some(since.after(newest.settles_ms))
    }
}

impl Core {
    /// The fleet is known to be another one.
    pub(crate) fn see_members(&mut self, view: View) {
        self.instances = view.count();
        self.members.see(view, self.now);
        let limited = |(key, upstream): (upstream::Key, &Upstream)| {
            let part = upstream.limit_bucket.as_ref()?;
            Some((key, part.rate()))
        };
        let limited: Vec<_> = self.upstreams.iter().filter_map(limited).collect();
        for (key, rate) in limited {
            self.update_share(key, rate);
        }
    }
}
