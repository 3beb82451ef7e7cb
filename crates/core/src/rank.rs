//! Urgency of streams: the order in which the streams of a pool start, over all instances.

use super::*;

/// Number of ranks that are told apart: as many as engines know.
pub(crate) const RANKS: usize = 10;

/// Age in milliseconds at which the announcement of a waiting stream is repeated: less than records of waiting streams
/// last, so that one may be lost.
const RENEWAL_MS: u64 = 2_000;

/// Time in milliseconds after the start of a less urgent stream for which a more urgent one is not refused: until the
/// instance that started it has learned that the other waits.
pub(crate) const OVERTAKING_MS: u64 = 300;

/// Rank of a stream in its pool; the least is the most urgent.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Rank(u8);

/// Priorities that are compared to order requests: the customer's before the route's.
type Priorities = (u32, u32);

/// The ranks in force in a pool: its distinct priorities in order.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PoolRanks(Vec<Priorities>);

/// Place of a waiting stream in the order in which the streams of a pool start.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Turn {
    /// Whether it can no longer start in time; such streams use spare capacity only.
    pub is_late: bool,
    /// Its rank.
    pub rank: Rank,
    /// Latest time to start it so that its first event is in time.
    pub start_by: Time,
}

impl Rank {
    /// The most urgent rank.
    pub const MOST_URGENT: Self = Self(0);

    /// The rank with this number; numbers beyond the last one mean the last one.
    pub fn new(number: u32) -> Self {
        Self(number.min(RANKS as u32 - 1) as u8)
    }

    /// Its number, from 0 for the most urgent to 9.
    pub fn number(self) -> u8 {
        self.0
    }
}

impl PoolRanks {
    /// The ranks in force in a pool; `None` if its routes of streams all have one priority.
    pub fn of(config: &Config, pool: &str) -> Option<Self> {
        let shares = config.routes.iter().flat_map(|route| &route.shares);
        let relays = shares.filter_map(|share| share.service.relay());
        let routes: BTreeSet<u32> = relays
            .filter(|relay| relay.streams && relay.pool == pool)
            .map(|relay| relay.priority)
            .collect();
        if routes.len() < 2 {
            return None;
        }
        let anonymous = config.serves_anonymous();
        let anonymous = anonymous.then_some(config::DEFAULT_PRIORITY);
        let customers = config.access.customers();
        let customers = customers.map(|customer| customer.priority);
        let customers: BTreeSet<u32> = customers.chain(anonymous).collect();
        let pairs = customers.iter();
        let pairs = pairs.flat_map(|customer| routes.iter().map(|route| (*customer, *route)));
        Some(Self(pairs.collect()))
    }

    /// Rank of a customer's request for a route.
    pub fn rank(&self, customer: &config::Customer, relay: &config::Relay) -> Rank {
        let priorities = (customer.priority, relay.priority);
        self.numbered(self.0.partition_point(|other| *other < priorities))
    }

    /// Rank of streams of which an instance with an earlier version tells none.
    pub fn middle(&self) -> Rank {
        self.numbered(self.0.len() / 2)
    }

    /// The rank of the priorities at this place; neighbours share one where there are more priorities than ranks.
    fn numbered(&self, place: usize) -> Rank {
        let place = if self.0.len() > RANKS {
            place * RANKS / self.0.len()
        } else {
            place
        };
        Rank::new(place as u32)
    }
}

impl Display for Rank {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        write!(formatter, "{}", self.0)
    }
}

impl Core {
    /// Computes the ranks in force in each pool from the configuration and the settings.
    pub(crate) fn update_ranks(&mut self) {
        self.ranks.clear();
        let Some(config) = &self.config else {
            return;
        };
        if self.settings.urgency.mode == UrgencyMode::Off {
            return;
        }
        let ranks = |pool: &str| Some((Arc::from(pool), PoolRanks::of(config, pool)?));
        self.ranks = config.pools().into_iter().filter_map(ranks).collect();
    }

    /// Rank of a customer's request for a service; `None` if no ranks are in force in its pool.
    pub(crate) fn rank_of(
        &self,
        customer: &config::Customer,
        service: &config::Service,
    ) -> Option<Rank> {
        let relay = service.relay().filter(|relay| relay.streams)?;
        let ranks = self.ranks.get(relay.pool.as_str())?;
        Some(ranks.rank(customer, relay))
    }

    /// Place of a request in the order of its pool; `None` if no ranks are in force there. That of a queued request stays
    /// as other instances were told: with later estimates, two instances could each find the other's stream ahead.
    pub(crate) fn turn(&self, request: &Request) -> Option<Turn> {
        if request.turn.is_some() {
            return request.turn;
        }
        let prefill_ms = self.own_prefill_ms(request);
        Some(Turn {
            is_late: self.is_late(request),
            rank: request.rank?,
            start_by: Time(request.first_event_due.0.saturating_sub(prefill_ms)),
        })
    }

    /// Records the rank of a new request. During a shortage in which too few streams of its rank start at all instances
    /// together, a part of them is treated as the most urgent, so that no rank starves. The part is drawn at each instance
    /// alone: most see too few requests to count on.
    pub(crate) fn raise_starved(&mut self, request: &mut Request) {
        let floor = self.settings.urgency.floor;
        let Some(rank) = request.rank.filter(|_| request.position() == 0) else {
            return;
        };
        let Some(pool) = self.pools.get_mut(request.service.pool()) else {
            return;
        };
        pool.estimates.record_rank(rank);
        let is_short = pool.estimates.shortage_ms(self.now).is_some();
        if is_short
            && pool.estimates.is_starved(rank, floor, self.now)
            && self.rng.random::<f64>() < floor
        {
            request.rank = Some(Rank::MOST_URGENT);
            self.count(Counter::RankRaised(rank));
        }
    }

    /// Counts and logs that a stream waits for capacity, if ranks are in force in its pool.
    pub(crate) fn report_wait(&mut self, key: request::Key) {
        let request = &self.requests[key];
        let is_new = request.announced_at.is_none();
        let Some(outlook) = self.outlook(request).filter(|_| is_new) else {
            return;
        };
        let others = effect::Outlook {
            // The request itself is queued as well.
            ahead: outlook.ahead.saturating_sub(1),
            ..outlook
        };
        let entry = self.log_effect(request, effect::Step::Waits(others), None);
        let rank = self.rank_of(&request.customer, &request.service);
        self.effects.push(entry);
        self.count(Counter::RankWaited(rank.unwrap_or(outlook.rank)));
    }

    /// What a request is expected to wait for; `None` if no ranks are in force in its pool.
    pub(crate) fn outlook(&self, request: &Request) -> Option<effect::Outlook> {
        let rank = request.rank?;
        let ahead = self.streams_ahead(request);
        let wait_ms = self.expected_wait_ms(request, ahead + 1);
        Some(effect::Outlook {
            ahead,
            rank,
            wait_ms,
        })
    }

    /// Whether a more urgent stream than a request waits for capacity in its pool, at any instance.
    pub(crate) fn more_urgent_waits(&self, request: &Request) -> bool {
        let Some(rank) = request.rank else {
            return false;
        };
        let first = Turn {
            is_late: false,
            rank,
            start_by: Time::default(),
        };
        let name = request.service.pool();
        let is_queued = |pool: &core::Pool| pool.queue.has_turn_before(first);
        self.pools.get(name).is_some_and(is_queued)
            || self.stream_records.waiting_before(name, first) > 0
    }

    /// Announces again the streams that wait here, before the records at other instances expire.
    pub(crate) fn renew_waiting(&mut self) {
        let is_due = |request: &Request| {
            let is_awaited = request.turn.is_some() || request.progress.was_refused();
            let announced_at = request.announced_at.filter(|_| is_awaited);
            request.state == State::Queued
                && announced_at.is_some_and(|at| self.now.since(at) >= RENEWAL_MS)
        };
        let due = self.requests.iter().filter(|(_, request)| is_due(request));
        let due: Vec<request::Key> = due.map(|(key, _)| key).collect();
        for key in due {
            self.gossip_waiting(key);
        }
    }

    /// Fits the rank in the record of another instance to the ranks in force in its pool here.
    pub(crate) fn fit_rank(&self, record: &mut StreamRecord) {
        let upstream = record
            .upstream
            .and_then(|incarnation| self.upstreams_by_incarnation.get(&incarnation));
        let pool = match upstream {
            Some(key) => &*self.upstreams[*key].pool,
            None => record.pool.as_str(),
        };
        match self.ranks.get(pool) {
            Some(ranks) => record.rank = record.rank.or(Some(ranks.middle())),
            None => record.rank = None,
        }
    }
}
