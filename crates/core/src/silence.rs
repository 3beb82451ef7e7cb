//! Upstreams that may have ended unnoticed while the store is away, since the list does not show the end of any.
//!
//! An upstream that was lost by this instance or another one, and has not answered since, may have ended. Where half of
//! a data centre was lost, so may those of its other upstreams that have not answered since: idle ones are missed by
//! nobody, and yet hold copies of streams that run elsewhere.

use super::*;
use upstream::Reach;

/// Minimum number of lost upstreams in a data centre from which on its others are doubted.
const MIN_LOST: usize = 2;

/// A time without answers of the store.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StoreAway {
    since: Time,
    /// When it answered again; `None` before.
    back_at: Option<Time>,
}

/// What is known of the upstreams of a pool while the store is away.
#[derive(Clone, Debug)]
pub(crate) struct Silences {
    away_since: Time,
    /// When half of the upstreams of a data centre had been lost.
    lost_at: BTreeMap<Arc<str>, Time>,
}

impl StoreAway {
    /// Latest time of which the list may tell while the store is away.
    fn last_listing(self) -> Time {
        self.since.before(1)
    }
}

impl Silences {
    /// Whether an upstream may have ended: it has neither answered nor been listed anew since the store went away, or since it or half of its
    /// data centre was lost.
    pub fn cover(&self, upstream: &Upstream) -> bool {
        let lost_at = self.lost_at.get(&upstream.data_centre).copied();
        let known_at = upstream.answered_at.max(upstream.listed_at);
        upstream.reach != Reach::Undoubted
            || known_at < self.away_since.max(lost_at.unwrap_or_default())
    }
}

impl Silences {
    /// Whether half of an upstream's data centre was lost since it last answered or was listed.
    fn is_in_lost_data_centre(&self, upstream: &Upstream) -> bool {
        let known_at = upstream.answered_at.max(upstream.listed_at);
        let lost_at = self.lost_at.get(&upstream.data_centre);
        lost_at.is_some_and(|lost_at| known_at < *lost_at)
    }
}

impl Core {
    /// Records since when the store has not answered, or that it answers again. The list catches up within the grace
    /// period after that.
    pub(crate) fn record_store_away(&mut self, since: Option<Time>) {
        match (since, &mut self.store_away) {
            (Some(since), _) => {
                let away = StoreAway {
                    since,
                    back_at: None,
                };
                self.store_away = Some(away);
                // Lists since then were given by other instances.
                for upstream in self.upstreams.values_mut() {
                    upstream.listed_at = upstream.listed_at.min(away.last_listing());
                }
            }
            (None, Some(away)) => away.back_at = Some(self.now),
            (None, None) => {}
        }
    }

    /// When an entry that becomes known now was in the store for certain: one that another instance gives while the store is
    /// away is as old as the last answer.
    pub(crate) fn listing_time(&self) -> Time {
        let away = self.store_away.filter(|away| away.back_at.is_none());
        away.map_or(self.now, StoreAway::last_listing)
    }

    /// The time without answers of the store, if it is away or the list may not have caught up with its return.
    pub(crate) fn store_away(&self) -> Option<StoreAway> {
        let has_caught_up = |back_at| self.now >= Time::after(back_at, availability::GRACE_MS);
        self.store_away
            .filter(|away| !away.back_at.is_some_and(has_caught_up))
    }

    /// When the store last answered again behind a time without answers, and the list had caught up.
    pub(crate) fn store_returned_at(&self) -> Option<Time> {
        let back_at = self.store_away?.back_at?;
        Some(back_at.after(availability::GRACE_MS))
    }

    /// What is known of the upstreams of a pool, if the store is away.
    pub(crate) fn silences(&self, pool: &str) -> Option<Silences> {
        let away = self.store_away().filter(|_| self.settings.shared.losses)?;
        let mut losses: BTreeMap<Arc<str>, (usize, Vec<Time>)> = BTreeMap::new();
        for upstream in self.upstreams_of(self.pools.get(pool)?) {
            let (total, lost) = losses.entry(upstream.data_centre.clone()).or_default();
            *total += 1;
            if let Reach::Doubted { since, .. } = upstream.reach {
                lost.push(since);
            }
        }
        let half_lost_at = |(name, (total, mut lost)): (Arc<str>, (usize, Vec<Time>))| {
            lost.sort_unstable();
            let half = total.div_ceil(2).max(MIN_LOST);
            lost.get(half - 1).map(|at| (name, *at))
        };
        Some(Silences {
            away_since: away.since,
            lost_at: losses.into_iter().filter_map(half_lost_at).collect(),
        })
    }

    /// Whether an upstream that holds a copy has probably ended, so that its copy is not worth an attempt: it or half of its
    /// data centre was lost since it was last heard from. Silence alone is no reason, since it costs an attempt to ask, and a
    /// prefill and a long pause not to: an instance hears from few of the upstreams that hold its copies.
    pub(crate) fn has_probably_lost_copy(&self, key: upstream::Key) -> bool {
        let upstream = &self.upstreams[key];
        // The silences are a walk over the pool.
        upstream.is_just_reported(self.now)
            || self
                .silences(&upstream.pool)
                .is_some_and(|silences| silences.is_in_lost_data_centre(upstream))
    }
}
