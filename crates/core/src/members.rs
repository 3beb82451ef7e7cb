//! Recent views of the fleet's members, and the election of the few instances that perform a task.
//!
//! Instances learn of others at different times, so two of them may elect different ones for a while. An instance acts
//! only if every view within the convergence time elects it; so it is elected by a view that all share, and never more
//! instances act than are to be elected.

use super::*;

/// Maximum number of stored views; each change of the fleet adds one.
const VIEWS_MAX: usize = 16;

/// The members of the fleet at one time.
#[derive(Clone, Debug, Default)]
pub struct View {
    /// Time within which all instances learn of a change, in milliseconds.
    pub convergence_ms: u64,
    /// Identifiers of the other instances of this one's data centre.
    pub local: Vec<u64>,
    /// Identifiers of the other instances.
    pub others: Vec<u64>,
    /// Identifier of this instance.
    pub own: u64,
}

/// Recent views, the newest last.
#[derive(Clone, Debug, Default)]
pub struct Members {
    views: VecDeque<(Time, View)>,
}

impl View {
    /// A view from instance `own` of a fleet of so many numbered instances, effective at once.
    pub fn numbered(own: u64, instances: u64) -> Self {
        Self {
            convergence_ms: 0,
            local: Vec::new(),
            others: (0..instances).filter(|other| *other != own).collect(),
            own,
        }
    }

    /// Number of instances including this one.
    pub fn count(&self) -> u32 {
        self.others.len() as u32 + 1
    }

    /// Whether this instance is one of the `elected_count` for a topic, by rendezvous hashing.
    fn is_elected(&self, elected_count: usize, topic: u64) -> bool {
        let own = (route::rendezvous_rank(topic, self.own), self.own);
        let before = |other: &&u64| (route::rendezvous_rank(topic, **other), **other) < own;
        self.others.iter().filter(before).count() < elected_count
    }
}

impl Members {
    /// Adds a view.
    pub fn record_view(&mut self, view: View, now: Time) {
        if self.views.len() >= VIEWS_MAX {
            self.views.pop_front();
        }
        self.views.push_back((now, view));
    }

    /// The other instances by the newest view.
    pub fn others(&self) -> &[u64] {
        self.newest().map_or(&[], |view| &view.others)
    }

    /// The other instances of the own data centre by the newest view.
    pub fn local(&self) -> &[u64] {
        self.newest().map_or(&[], |view| &view.local)
    }

    fn newest(&self) -> Option<&View> {
        self.views.back().map(|(_, view)| view)
    }

    /// Number of instances with lower identifiers, as a fraction of all; 0 without a view.
    pub fn rank_fraction(&self) -> f64 {
        let Some(newest) = self.newest() else {
            return 0.0;
        };
        let lower = newest.others.iter().filter(|other| **other < newest.own);
        lower.count() as f64 / f64::from(newest.count())
    }

    /// Since when this instance may act as one of the `elected_count` for a topic; `None` if it is not elected. An
    /// instance that has no view acts alone.
    pub fn active_from(&self, elected_count: usize, topic: u64) -> Option<Time> {
        let Some((_, newest)) = self.views.back() else {
            return Some(Time::default());
        };
        let elected = |(_, view): &&(Time, View)| view.is_elected(elected_count, topic);
        let (since, _) = self.views.iter().rev().take_while(elected).last()?;
        Some(since.after(newest.convergence_ms))
    }
}

impl Members {
    /// Position of this instance in the order of identifiers, and the number of instances.
    pub fn rank(&self) -> (usize, usize) {
        let Some(view) = self.newest() else {
            return (0, 1);
        };
        let before = view.others.iter().filter(|other| **other < view.own);
        (before.count(), view.others.len() + 1)
    }
}

impl Core {
    /// Records another view of the fleet and recomputes the shares of the upstreams' rate limits.
    pub(crate) fn update_members(&mut self, view: View) {
        self.instances = view.count();
        self.members.record_view(view, self.now);
        self.repeat_lookups();
        let rate = |key: &upstream::Key| {
            let bucket = self.upstreams[*key].limit_bucket.as_ref()?;
            Some((*key, bucket.rate()))
        };
        let limited: Vec<_> = self.limited.iter().filter_map(rate).collect();
        for (key, rate) in limited {
            self.update_share(key, rate);
        }
    }
}
