//! Placement: which upstream a relayed request is sent to, and which one keeps a copy of its KV cache.

use super::*;
use std::cell::OnceCell;

/// Cost per unit of memory beyond an upstream's capacity, where streams would be preempted.
const OVERCOMMIT_COST: f64 = 50.0;

/// Failure score from which on an upstream counts as lost in an outage of its data centre.
const FAILURE_THRESHOLD: f64 = 0.5;

/// Lost upstreams in a data centre from which on the others are suspected as well.
const MIN_OUTAGE_UPSTREAMS: u32 = 2;

/// Time within which an upstream counts as just heard from, in milliseconds: less than engines take to restart, and many
/// times the interval between two events of a stream.
const JUST_HEARD_MS: u64 = 1_000;

/// Minimum number of upstreams sampled for a request. With two, the fullest mostly has one or two requests more than the
/// mean; with four, one of them has capacity while three quarters of all are full.
const MIN_SAMPLE: usize = 4;

/// Recent losses of a pool's upstreams in one data centre.
#[derive(Clone, Copy, Debug, Default)]
struct Outage {
    lost: u32,
    /// Time of the first loss.
    started_at: Option<Time>,
    total: u32,
}

/// Outages by data centre.
type Outages = BTreeMap<Arc<str>, Outage>;

impl Outage {
    /// Fraction of the data centre's upstreams that were lost, as a penalty for one last heard from at `last_heard`; 0 if
    /// that was after the outage began.
    fn lost_share(&self, last_heard: Time) -> f64 {
        let is_silent = self.started_at.is_some_and(|since| last_heard < since);
        if self.lost < MIN_OUTAGE_UPSTREAMS || !is_silent {
            return 0.0;
        }
        f64::from(self.lost) / f64::from(self.total)
    }
}

impl Core {
    /// Chooses an upstream for a relayed request; `None` if it must wait.
    pub(crate) fn choose_relay_upstream(&mut self, key: request::Key) -> Option<upstream::Key> {
        if let Some(copy) = &self.requests[key].progress.copy
            && self.may_resume_at(key, copy.upstream)
        {
            return Some(copy.upstream);
        }
        let preferred = self.requests[key].progress.preferred_upstream.take();
        if let Some(preferred) = preferred
            && self.may_resume_at(key, preferred)
        {
            return Some(preferred);
        }
        let request = &self.requests[key];
        if !self.may_send_call(request) {
            return None;
        }
        let own = self.own_usage();
        let mut candidates =
            self.upstreams_with_capacity(request, self.relay_candidates(request), &own);
        self.retain_with_slot(key, &mut candidates);
        self.retain_unawaited(key, &mut candidates);
        let request = &self.requests[key];
        if !request.service.streams() {
            let pool: Arc<str> = request.service.pool().into();
            if self.places_by_calls_in_flight(&pool) {
                return self.choose_by_calls_in_flight(&pool, &candidates);
            }
            if self.is_near_capacity(&pool) {
                return self.choose_by_service_time(&candidates);
            }
        }
        self.choose_by_cost(key, candidates, &own)
    }

    /// Chooses the upstream that keeps a copy of a stream's KV cache, preferably in another data centre than the stream's own,
    /// so that both are not lost together.
    pub(crate) fn choose_backup(
        &mut self,
        key: request::Key,
        upstream: upstream::Key,
        own: &OwnUsage,
    ) -> Option<upstream::Key> {
        let relay = self.requests[key].service.relay()?;
        let is_enabled = self.settings.relay_resume == ResumeMode::Copy;
        if !is_enabled || !relay.copies || !relay.resumable {
            return None;
        }
        let home = self.upstreams[upstream].data_centre.clone();
        let version = self.upstreams[upstream].version;
        let request = &self.requests[key];
        if self.more_urgent_waits(request) {
            return None;
        }
        let mut candidates = self.relay_candidates(request);
        let pool = self.pools.get(request.service.pool())?;
        candidates.retain(|other| {
            let is_equal = pool
                .versions
                .are_equal(version, self.upstreams[*other].version);
            is_equal && *other != upstream
        });
        let (far, near): (Vec<_>, Vec<_>) = candidates
            .into_iter()
            .partition(|other| self.upstreams[*other].data_centre != home);
        let candidates = if far.is_empty() { near } else { far };
        let candidates = self.upstreams_with_copy_capacity(request, candidates, own);
        self.choose_by_cost(key, candidates, own)
    }

    /// Whether a request may resume at an upstream that may still hold its memory.
    fn may_resume_at(&self, key: request::Key, upstream: upstream::Key) -> bool {
        if !self.may_hold_copy(upstream) {
            return false;
        }
        let (request, upstream) = (&self.requests[key], &self.upstreams[upstream]);
        self.admits(request, upstream)
            && self.may_meet_break_off(request, upstream, &OnceCell::new())
    }

    /// Whether an upstream may still hold a copy, as far as is known. One that another instance lost may have been
    /// restarted since: streams of several instances would meet the end of the one that held their copies.
    pub(crate) fn may_hold_copy(&self, key: upstream::Key) -> bool {
        let Some(upstream) = self.upstreams.get(key) else {
            return false;
        };
        let is_lost = self.settings.shared.losses && self.has_probably_lost_copy(key);
        upstream.health == Health::Live && upstream.may_continue(self.now) && !is_lost
    }

    /// Candidates for a relayed request: live upstreams that can serve, or suspected ones if there is none; for a stream that
    /// has begun, only those of its version. Excludes the one that failed last, unless it is the only one.
    pub(crate) fn relay_candidates(&self, request: &Request) -> Vec<upstream::Key> {
        let Some(pool) = self.pools.get(request.service.pool()) else {
            return Vec::new();
        };
        let origin = request.progress.origin;
        let mut candidates = pool.upstreams.clone();
        let widespread = OnceCell::new();
        candidates.retain(|key| {
            let upstream = &self.upstreams[*key];
            let may_serve = match origin {
                Origin::Unbegun => upstream.may_serve(self.now),
                Origin::Begun(_) | Origin::Unknown => upstream.may_continue(self.now),
            };
            let is_admitted = pool.versions.admit(origin, upstream.version);
            upstream.health != Health::Lost
                && is_admitted
                && may_serve
                && self.may_meet_break_off(request, upstream, &widespread)
        });
        let is_live = |key: &upstream::Key| self.upstreams[*key].health == Health::Live;
        if candidates.iter().any(is_live) {
            candidates.retain(is_live);
        }
        self.retain_preferred(&mut candidates, |upstream| !upstream.is_doubted(self.now));
        if request.progress.ends_met > 0 {
            self.retain_heard(request, &mut candidates);
        }
        if candidates.len() > 1 {
            candidates.retain(|other| Some(*other) != request.avoided_upstream);
        }
        candidates
    }

    /// Limits candidates to those that are preferred, if there is any.
    fn retain_preferred(
        &self,
        candidates: &mut Vec<upstream::Key>,
        is_preferred: impl Fn(&Upstream) -> bool,
    ) {
        let is_preferred = |key: &upstream::Key| is_preferred(&self.upstreams[*key]);
        if candidates.iter().any(is_preferred) {
            candidates.retain(is_preferred);
        }
    }

    /// Limits the candidates for a request that met ended incarnations while the store is away: the list may show many
    /// more of them. The second time, an upstream should have answered just now.
    fn retain_heard(&self, request: &Request, candidates: &mut Vec<upstream::Key>) {
        let Some(silences) = self.silences(request.service.pool()) else {
            return;
        };
        self.retain_preferred(candidates, |upstream| !silences.cover(upstream));
        if request.progress.ends_met > 1 {
            self.retain_preferred(candidates, |upstream| {
                self.now.since(upstream.answered_at) < JUST_HEARD_MS
            });
        }
    }

    fn choose_by_cost(
        &mut self,
        key: request::Key,
        mut candidates: Vec<upstream::Key>,
        own: &OwnUsage,
    ) -> Option<upstream::Key> {
        let weights = self.settings.place;
        let pool = self.requests[key].service.pool();
        let outages = self.outages(pool);
        let silences = self.silences(pool);
        let sample_size = self.sample_size(pool, candidates.len());
        let (candidates, _) = candidates.partial_shuffle(&mut self.rng, sample_size);
        let mut best = None;
        for candidate in candidates.iter() {
            let usage = self.usage(own, *candidate);
            let upstream = &self.upstreams[*candidate];
            let outage = outages.get(&upstream.data_centre).copied();
            let is_silent = silences
                .as_ref()
                .is_some_and(|silences| silences.cover(upstream));
            let cost = self.cost(key, *candidate, usage)
                + f64::from(u8::from(is_silent)) * weights.unheard
                + outage.unwrap_or_default().lost_share(upstream.last_heard) * weights.outage
                + self.rng.random::<f64>() * weights.spread;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *candidate));
            }
        }
        best.map(|(_, upstream)| upstream)
    }

    /// Number of randomly sampled upstreams among which a request is placed. Otherwise instances with the same knowledge,
    /// such as all after a restart, would choose the same few: of 703 streams that came back within two seconds to 295 instances
    /// and 320 engines, 16 went to one engine and none to 80 others.
    fn sample_size(&self, pool: &str, candidates: usize) -> usize {
        let all = self.pools.get(pool).map_or(0, |pool| pool.upstreams.len());
        let fraction = self.settings.place.sample;
        if fraction == 0.0 {
            return candidates;
        }
        let sample = (fraction * all as f64 / f64::from(self.instances)) as usize;
        sample.max(MIN_SAMPLE).min(candidates)
    }

    /// Cost of sending a request to an upstream, for the request itself and for others.
    fn cost(&self, key: request::Key, candidate: upstream::Key, usage: Usage) -> f64 {
        let request = &self.requests[key];
        let upstream = &self.upstreams[candidate];
        let weights = self.settings.place;
        let mut cost = upstream.failure_score.level(self.now) * weights.trouble;
        // In an even pool a pace only shows how long the queue at the engine was.
        let pool = self.pools.get(request.service.pool());
        if pool.is_some_and(|pool| pool.intervals.is_uneven()) {
            cost += upstream.observed.pace.excess(self.now) * weights.slow;
        }
        cost += f64::from(usage.prefilling) * weights.reading;
        cost += f64::from(usage.running) * weights.running;
        cost += self.suspects_at(request.request_fingerprint, candidate) as f64 * weights.suspect;
        if upstream.data_centre != self.data_centre {
            cost += weights.far * self.distance_weight(request.service.pool());
        }
        let memory = request
            .service
            .relay()
            .map_or(0, |relay| relay.memory_tokens);
        if memory > 0 {
            let need = request.work.relay().map_or(0, |relay| relay.tokens);
            let filled = (usage.tokens as f64 + f64::from(need)) / f64::from(memory);
            cost += filled * weights.memory + (filled - 1.0).max(0.0) * OVERCOMMIT_COST;
        }
        cost
    }

    /// Weight of the distance to another data centre: 1, or less for a plain service near its capacity.
    fn distance_weight(&self, pool: &str) -> f64 {
        let pool = self.pools.get(pool);
        pool.map_or(1.0, |pool| pool.demand.local_preference())
    }

    /// Recent losses of a pool's upstreams by data centre.
    fn outages(&self, pool: &str) -> Outages {
        let mut outages = Outages::new();
        let Some(pool) = self.pools.get(pool) else {
            return outages;
        };
        let is_failing = |key: &upstream::Key| {
            self.upstreams[*key].failure_score.level(self.now) >= FAILURE_THRESHOLD
        };
        if !pool.upstreams.iter().any(is_failing) {
            return outages;
        }
        for key in &pool.upstreams {
            let upstream = &self.upstreams[*key];
            let outage = outages.entry(upstream.data_centre.clone()).or_default();
            outage.total += 1;
            if upstream.failure_score.level(self.now) >= FAILURE_THRESHOLD {
                let at = upstream.failure_score.last_failure();
                outage.lost += 1;
                outage.started_at = Some(outage.started_at.map_or(at, |since| since.min(at)));
            }
        }
        outages
    }
}
