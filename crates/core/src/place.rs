//! Which upstream a relayed request is sent to, and which one keeps a copy of its memory.

use super::*;

/// Cost of a prompt that is being read: it holds up every stream of its upstream.
const READING_COST: f64 = 4.0;

/// Cost of the upstream's whole memory in use.
const MEMORY_COST: f64 = 4.0;

/// Cost of memory beyond what an upstream has: streams there would be preempted.
const OVERFULL_COST: f64 = 50.0;

/// Cost of one request that runs there.
const RUNNING_COST: f64 = 0.5;

/// Cost of one failure of late.
const TROUBLE_COST: f64 = 3.0;

/// Cost of an upstream that was not heard since all others of its data centre were lost; a part of
/// them costs that part. Racks and data centres fail together, and each try costs time.
const OUTAGE_COST: f64 = 20.0;

/// Failures of late from which on an upstream counts as lost with others of its data centre.
const TROUBLED: f64 = 0.5;

/// Upstreams of a data centre that must be lost before the others are doubted.
const OUTAGE_LEAST: u32 = 2;

/// Cost of another data centre, for the bytes between them.
const FAR_COST: f64 = 0.4;

/// Width of the random part of a cost, so that instances which know the same do not all choose the
/// same upstream.
const SPREAD_COST: f64 = 0.5;

/// Time after which a prompt that another instance told of counts as read, in milliseconds.
const READING_MS: u64 = 1_500;

/// What is believed to be in use at an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// Prompts that are being read.
    reading: u32,
    /// Requests that run or wait.
    running: u32,
    /// Tokens in memory, copies of other upstreams' streams with them.
    tokens: u32,
}

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
    /// What it costs to choose an upstream of the data centre that was heard at `heard`.
    fn cost(&self, heard: Time) -> f64 {
        let unheard = self.since.is_some_and(|since| heard < since);
        if self.lost < OUTAGE_LEAST || !unheard {
            return 0.0;
        }
        OUTAGE_COST * f64::from(self.lost) / f64::from(self.all)
    }
}

/// Usage of every upstream that has any.
pub(crate) type Usages = SecondaryMap<upstream::Key, Usage>;

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
        let candidates = self.placeable(key);
        self.cheapest(key, &candidates)
    }

    /// The upstream that keeps a copy of a stream's memory: one in another data centre than the
    /// stream's own, if there is one, so that both are not lost together.
    pub(crate) fn backup(
        &mut self,
        key: request::Key,
        upstream: upstream::Key,
    ) -> Option<upstream::Key> {
        let relay = self.requests[key].service.relay()?;
        let wanted = self.settings.relay_resume == Resume::Copy;
        if !wanted || !relay.copies || !relay.resumable {
            return None;
        }
        let home = self.upstreams[upstream].data_centre.clone();
        let mut candidates = self.placeable(key);
        candidates.retain(|other| *other != upstream);
        let (far, near): (Vec<_>, Vec<_>) = candidates
            .into_iter()
            .partition(|other| self.upstreams[*other].data_centre != home);
        let candidates = if far.is_empty() { near } else { far };
        self.cheapest(key, &candidates)
    }

    /// Whether an upstream may still hold a copy, by all that is known of it.
    fn may_have(&self, key: upstream::Key) -> bool {
        let upstream = self.upstreams.get(key);
        upstream
            .is_some_and(|upstream| upstream.health == Health::Live && !upstream.leaves(self.now))
    }

    /// Upstreams that a relayed request may be sent to: those that take work, else those that are
    /// only doubted; without the one that failed last if there are others.
    fn placeable(&self, key: request::Key) -> Vec<upstream::Key> {
        let request = &self.requests[key];
        let Some(pool) = self.pools.get(request.service.pool()) else {
            return Vec::new();
        };
        let mut stay = pool.upstreams.clone();
        stay.retain(|key| {
            let upstream = &self.upstreams[*key];
            upstream.health != Health::Lost && !upstream.leaves(self.now)
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
        candidates: &[upstream::Key],
    ) -> Option<upstream::Key> {
        let usages = self.usages();
        let outages = self.outages(self.requests[key].service.pool());
        let mut best = None;
        for candidate in candidates {
            let usage = usages.get(*candidate).copied().unwrap_or_default();
            let upstream = &self.upstreams[*candidate];
            let outage = outages.get(&upstream.data_centre).copied();
            let cost = self.cost(key, *candidate, usage)
                + outage.unwrap_or_default().cost(upstream.heard)
                + self.rng.random_range(0.0..SPREAD_COST);
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, *candidate));
            }
        }
        best.map(|(_, upstream)| upstream)
    }

    /// What it costs others and the request itself to go to an upstream.
    fn cost(&self, key: request::Key, candidate: upstream::Key, usage: Usage) -> f64 {
        let request = &self.requests[key];
        let upstream = &self.upstreams[candidate];
        let mut cost = upstream.trouble.level(self.now) * TROUBLE_COST;
        cost += f64::from(usage.reading) * READING_COST;
        cost += f64::from(usage.running) * RUNNING_COST;
        if upstream.data_centre != self.data_centre {
            cost += FAR_COST;
        }
        let memory = request
            .service
            .relay()
            .map_or(0, |relay| relay.memory_tokens);
        if memory > 0 {
            let need = request.work.relay().map_or(0, |relay| relay.tokens);
            let filled = f64::from(usage.tokens + need) / f64::from(memory);
            cost += filled * MEMORY_COST + (filled - 1.0).max(0.0) * OVERFULL_COST;
        }
        cost
    }

    /// Upstreams of a pool that were lost of late, by data centre.
    fn outages(&self, pool: &str) -> Outages {
        let mut outages = Outages::new();
        let Some(pool) = self.pools.get(pool) else {
            return outages;
        };
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

    /// What is believed to be in use at each upstream: by this instance's own requests, and by those
    /// that other instances told of.
    fn usages(&self) -> Usages {
        let mut usages = Usages::new();
        for attempt in self.attempts.values() {
            let Some(relay) = self.requests[attempt.request].work.relay() else {
                continue;
            };
            let usage = Usage {
                reading: u32::from(!attempt.started && relay.tokens > 0),
                running: 1,
                tokens: relay.tokens,
            };
            note(&mut usages, Some(attempt.upstream), attempt.backup, usage);
        }
        for (at, sighting) in self.sightings.running(self.now) {
            let reading =
                sighting.stage == sighting::Stage::Started && self.now.since(at) < READING_MS;
            let usage = Usage {
                reading: u32::from(reading),
                running: 1,
                tokens: sighting.tokens,
            };
            let find = |name: &str| self.names.get(name).copied();
            let (upstream, backup) = (find(&sighting.upstream), find(&sighting.backup));
            note(&mut usages, upstream, backup, usage);
        }
        usages
    }
}

/// Notes what one request uses at its upstream, and the memory of its copy.
fn note(
    usages: &mut Usages,
    upstream: Option<upstream::Key>,
    backup: Option<upstream::Key>,
    usage: Usage,
) {
    let copy = Usage {
        tokens: usage.tokens,
        ..Usage::default()
    };
    for (key, usage) in [(upstream, usage), (backup, copy)] {
        if let Some(entry) = key.and_then(|key| usages.entry(key)) {
            let entry = entry.or_default();
            entry.reading += usage.reading;
            entry.running += usage.running;
            entry.tokens += usage.tokens;
        }
    }
}
