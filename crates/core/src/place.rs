//! Which upstream a relayed request is sent to, and which one keeps a copy of its memory.

use super::*;

/// Cost of memory beyond what an upstream has: streams there would be preempted.
const OVERFULL_COST: f64 = 50.0;

/// Failures of late from which on an upstream counts as lost with others of its data centre.
const TROUBLED: f64 = 0.5;

/// Upstreams of a data centre that must be lost before the others are doubted.
const OUTAGE_LEAST: u32 = 2;

/// Upstreams that are looked at for a request, at least: with two of them the load of the fullest is mostly
/// that of the mean and one or two more, and with four one of them has room while three quarters are full.
const SAMPLE_LEAST: usize = 4;

/// Upstreams of one pool in one data centre that were lost of late.
#[derive(Clone, Copy, Debug, Default)]
struct Outage {
    all: u32,
    lost: u32,
    /// When the first of them was lost.
    since: Option<Time>,
}

/// Outages by data centre.
type Outages = BTreeMap<Arc<str>, Outage>;

impl Outage {
    /// Part of the data centre's upstreams that were lost, for one of them that was last heard at `heard`; 0 if
    /// it was heard since.
    fn lost(&self, heard: Time) -> f64 {
        let unheard = self.since.is_some_and(|since| heard < since);
        if self.lost < OUTAGE_LEAST || !unheard {
            return 0.0;
        }
        f64::from(self.lost) / f64::from(self.all)
    }
}

impl Core {
    /// The upstream for a relayed request; `None` if it must wait for one.
    pub(crate) fn place(&mut self, key: request::Key) -> Option<upstream::Key> {
        if let Some(copy) = &self.requests[key].passage.copy
            && self.may_have(copy.upstream)
        {
            return Some(copy.upstream);
        }
        let prefer = self.requests[key].passage.prefer.take();
        if let Some(prefer) = prefer
            && self.may_have(prefer)
        {
            return Some(prefer);
        }
        let request = &self.requests[key];
        if !self.may_send_call(request) {
            return None;
        }
        let own = self.own_usage();
        let candidates = self.upstreams_with_capacity(request, self.placeable(request), &own);
        let pressed = !request.service.streams() && self.is_near_capacity(request.service.pool());
        if pressed {
            return self.choose_by_service_time(&candidates);
        }
        self.cheapest(key, candidates, &own)
    }

    /// The upstream that keeps a copy of a stream's memory: one in another data centre than the
    /// stream's own, if there is one, so that both are not lost together.
    pub(crate) fn backup(
        &mut self,
        key: request::Key,
        upstream: upstream::Key,
        own: &Own,
    ) -> Option<upstream::Key> {
        let relay = self.requests[key].service.relay()?;
        let wanted = self.settings.relay_resume == ResumeMode::Copy;
        if !wanted || !relay.copies || !relay.resumable {
            return None;
        }
        let home = self.upstreams[upstream].data_centre.clone();
        let request = &self.requests[key];
        let mut candidates = self.placeable(request);
        candidates.retain(|other| *other != upstream);
        let (far, near): (Vec<_>, Vec<_>) = candidates
            .into_iter()
            .partition(|other| self.upstreams[*other].data_centre != home);
        let candidates = if far.is_empty() { near } else { far };
        let candidates = self.upstreams_with_copy_capacity(request, candidates, own);
        self.cheapest(key, candidates, own)
    }

    /// Whether an upstream may still hold a copy, by all that is known of it.
    fn may_have(&self, key: upstream::Key) -> bool {
        let upstream = self.upstreams.get(key);
        upstream
            .is_some_and(|upstream| upstream.health == Health::Live && upstream.may_serve(self.now))
    }

    /// Upstreams that a relayed request may be sent to: those that take work, else those that are
    /// only doubted; without the one that failed last if there are others.
    pub(crate) fn placeable(&self, request: &Request) -> Vec<upstream::Key> {
        let Some(pool) = self.pools.get(request.service.pool()) else {
            return Vec::new();
        };
        let mut stay = pool.upstreams.clone();
        stay.retain(|key| {
            let upstream = &self.upstreams[*key];
            upstream.health != Health::Lost && upstream.may_serve(self.now)
        });
        let live = |key: &upstream::Key| self.upstreams[*key].health == Health::Live;
        if stay.iter().any(live) {
            stay.retain(live);
        }
        if stay.len() > 1 {
            stay.retain(|other| Some(*other) != request.avoid);
        }
        stay
    }

    fn cheapest(
        &mut self,
        key: request::Key,
        mut candidates: Vec<upstream::Key>,
        own: &Own,
    ) -> Option<upstream::Key> {
        let place = self.settings.place;
        let pool = self.requests[key].service.pool();
        let outages = self.outages(pool);
        let looked_at = self.looked_at(pool, candidates.len());
        let (candidates, _) = candidates.partial_shuffle(&mut self.rng, looked_at);
        let mut best = None;
        for candidate in candidates.iter() {
            let usage = self.usage(own, *candidate);
            let upstream = &self.upstreams[*candidate];
            let outage = outages.get(&upstream.data_centre).copied();
            let cost = self.cost(key, *candidate, usage)
                + outage.unwrap_or_default().lost(upstream.heard) * place.outage
                + self.rng.random::<f64>() * place.spread;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *candidate));
            }
        }
        best.map(|(_, upstream)| upstream)
    }

    /// How many of some upstreams, taken at random, a request is placed by. Instances that know the same, such
    /// as all of them after a restart, would else all choose the same few: of 703 streams that came back within
    /// two seconds to 295 instances and 320 engines, 16 went to one engine and none to 80 others.
    fn looked_at(&self, pool: &str, candidates: usize) -> usize {
        let all = self.pools.get(pool).map_or(0, |pool| pool.upstreams.len());
        let part = self.settings.place.sample;
        if part == 0.0 {
            return candidates;
        }
        let sample = (part * all as f64 / f64::from(self.instances)) as usize;
        sample.max(SAMPLE_LEAST).min(candidates)
    }

    /// What it costs others and the request itself to go to an upstream.
    fn cost(&self, key: request::Key, candidate: upstream::Key, usage: Usage) -> f64 {
        let request = &self.requests[key];
        let upstream = &self.upstreams[candidate];
        let place = self.settings.place;
        let mut cost = upstream.trouble.level(self.now) * place.trouble;
        cost += f64::from(usage.reading) * place.reading;
        cost += f64::from(usage.running) * place.running;
        cost += self.suspects_beside(request.print, candidate) as f64 * place.suspect;
        if upstream.data_centre != self.data_centre {
            cost += place.far * self.nearness(request.service.pool());
        }
        let memory = request
            .service
            .relay()
            .map_or(0, |relay| relay.memory_tokens);
        if memory > 0 {
            let need = request.work.relay().map_or(0, |relay| relay.tokens);
            let filled = f64::from(usage.tokens + need) / f64::from(memory);
            cost += filled * place.memory + (filled - 1.0).max(0.0) * OVERFULL_COST;
        }
        cost
    }

    /// How much of the distance counts: all of it but for a plain service that is nearly full.
    fn nearness(&self, pool: &str) -> f64 {
        let pool = self.pools.get(pool);
        pool.map_or(1.0, |pool| pool.demands.local_preference())
    }

    /// Upstreams of a pool that were lost of late, by data centre.
    fn outages(&self, pool: &str) -> Outages {
        let mut outages = Outages::new();
        let Some(pool) = self.pools.get(pool) else {
            return outages;
        };
        let troubled =
            |key: &upstream::Key| self.upstreams[*key].trouble.level(self.now) >= TROUBLED;
        if !pool.upstreams.iter().any(troubled) {
            return outages;
        }
        for key in &pool.upstreams {
            let upstream = &self.upstreams[*key];
            let outage = outages.entry(upstream.data_centre.clone()).or_default();
            outage.all += 1;
            if upstream.trouble.level(self.now) >= TROUBLED {
                let at = upstream.trouble.last();
                outage.lost += 1;
                outage.since = Some(outage.since.map_or(at, |since| since.min(at)));
            }
        }
        outages
    }
}
