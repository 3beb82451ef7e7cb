//! Ended incarnations of upstreams: known for certain, kept whatever the platform's list says, and announced.
//!
//! An upstream that is asked for another incarnation at its address answers with its own name and runs nothing. That
//! proves that the other one has ended, for good. The list may show it for longer: while the store is unavailable, or
//! after its restore from a backup.

use super::*;

/// Retention time for ended incarnations that are not listed, in milliseconds: one hour. A backup of the store that is
/// restored later than that costs one attempt at each incarnation that it brings back.
const RETENTION_MS: u64 = 3_600_000;

/// Stands for the address of an incarnation that is not listed here and is identified by its start time.
const UNKNOWN_ADDRESS: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Maximum number of ended incarnations; the oldest are evicted. The largest fleet, replaced ten times. An entry takes
/// under 100 bytes.
const MAX_ENTRIES: usize = 20_000;

/// Time without an answer after which an attempt counts as sent to an incarnation that has ended since, in
/// milliseconds. An attempt that was sent after the end is answered by its successor within a few milliseconds, and
/// is then known not to have run.
const UNANSWERED_MS: u64 = 200;

/// Incarnations that have ended, and those among them that other instances are yet to be told of.
#[derive(Clone, Debug, Default)]
pub(crate) struct EndedIncarnations {
    /// When each became known or was last listed.
    entries: HashMap<Identity, Time>,
    unannounced: Vec<Incarnation>,
}

/// Identity of an ended incarnation.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct Identity {
    /// Address, if the upstream reports no start time: a restarted one may have its former name at another address. At
    /// the same address it would answer to the name, so the former incarnation was never proven to have ended.
    address: Option<SocketAddr>,
    incarnation: Incarnation,
}

/// Order in which the streams of an ended upstream are retried: those with tokens, then the most urgent by customer and
/// route, then the earliest due.
type RetryOrder = (bool, u32, u32, Time);

impl Identity {
    fn new(incarnation: Incarnation, address: SocketAddr) -> Self {
        Self {
            address: (incarnation.born == 0).then_some(address),
            incarnation,
        }
    }
}

impl EndedIncarnations {
    /// Whether an incarnation at an address has ended.
    pub fn contains(&self, incarnation: Incarnation, address: SocketAddr) -> bool {
        self.entries
            .contains_key(&Identity::new(incarnation, address))
    }

    /// Whether a listed incarnation has ended; keeps it while it is listed.
    pub fn contains_listed(
        &mut self,
        incarnation: Incarnation,
        address: SocketAddr,
        now: Time,
    ) -> bool {
        let entry = self.entries.get_mut(&Identity::new(incarnation, address));
        entry.map(|at| *at = now).is_some()
    }

    /// Adds an incarnation; returns whether it was not known to have ended.
    pub fn add(&mut self, incarnation: Incarnation, address: SocketAddr, now: Time) -> bool {
        let identity = Identity::new(incarnation, address);
        if self.entries.insert(identity, now).is_some() {
            return false;
        }
        if self.entries.len() > MAX_ENTRIES {
            self.evict(now);
        }
        true
    }

    /// Removes entries past their retention, or else the oldest.
    fn evict(&mut self, now: Time) {
        self.entries.retain(|_, at| now.since(*at) < RETENTION_MS);
        if self.entries.len() > MAX_ENTRIES
            && let Some(oldest) = self.entries.iter().min_by_key(|(_, at)| **at)
        {
            let oldest = *oldest.0;
            self.entries.remove(&oldest);
        }
    }
}

impl Core {
    /// Handles the proof that the incarnation of an upstream has ended: another one answered a request meant for it.
    pub(crate) fn handle_proven_end(&mut self, key: upstream::Key) {
        let (incarnation, address) = (self.upstreams[key].incarnation, self.upstreams[key].address);
        if !self.settings.shared.losses {
            self.report_loss(key, LossSource::Connection);
        } else if self.ended.add(incarnation, address, self.now) {
            self.ended.unannounced.push(incarnation);
        }
        self.mark_replaced(key);
        self.retry_streams_of_ended(key);
    }

    /// Handles the announcement of other instances that incarnations of upstreams have ended. It is not forwarded.
    pub(crate) fn apply_peer_ends(&mut self, incarnations: &[Incarnation]) {
        if !self.settings.shared.losses {
            return;
        }
        for incarnation in incarnations {
            let key = self.upstreams_by_incarnation.get(incarnation).copied();
            let address = key.map(|key| self.upstreams[key].address);
            // Without a start time, only one that is listed here can be told from its successor of the same name.
            let address = address.or((incarnation.born > 0).then_some(UNKNOWN_ADDRESS));
            if !address.is_some_and(|address| self.ended.add(*incarnation, address, self.now)) {
                continue;
            }
            self.count(Counter::PeerEnded);
            if let Some(key) = key {
                self.mark_replaced(key);
                self.retry_streams_of_ended(key);
            }
        }
    }

    /// Announces the incarnations that were found to have ended since the last tick, together.
    pub(crate) fn announce_ended(&mut self) {
        if !self.ended.unannounced.is_empty() {
            let ended = std::mem::take(&mut self.ended.unannounced);
            self.effects.push(Effect::GossipEnded(ended));
        }
    }

    /// Whether the incarnation of an upstream is known to have ended.
    pub(crate) fn has_ended(&self, key: upstream::Key) -> bool {
        let upstream = self.upstreams.get(key);
        upstream.is_some_and(|upstream| self.ended.contains(upstream.incarnation, upstream.address))
    }

    /// Retries the streams of an ended upstream as after a reset of their connections, of which none may come. Calls and
    /// streams that were sent just now wait for their own answer, by which they are known not to have run.
    pub(crate) fn retry_streams_of_ended(&mut self, key: upstream::Key) {
        if !self.has_ended(key) {
            return;
        }
        let mut lost: Vec<(RetryOrder, attempt::Key)> = self.upstreams[key]
            .attempts
            .iter()
            .filter(|attempt| self.ran_before_end(&self.attempts[**attempt]))
            .map(|attempt| (self.retry_order(&self.attempts[*attempt]), *attempt))
            .collect();
        lost.sort_unstable();
        let lost: Vec<attempt::Key> = lost.into_iter().map(|(_, attempt)| attempt).collect();
        let mut suspected = Worklist::new(lost.iter().copied());
        while let Some(attempt) = suspected.next(&self.attempts) {
            let attempt = self.attempts[attempt].clone();
            self.suspect_crash(&attempt);
        }
        self.confirm_crash(self.upstreams[key].incarnation);
        let mut lost = Worklist::new(lost);
        while let Some(attempt) = lost.next(&self.attempts) {
            self.abandon(attempt, counter::Reason::Replaced);
        }
    }

    /// Whether an attempt at an ended upstream is a stream that was sent before the end.
    fn ran_before_end(&self, attempt: &Attempt) -> bool {
        let streams = self.requests[attempt.request].service.streams();
        let is_unanswered = self.now.since(attempt.last_event_at) >= UNANSWERED_MS;
        streams && attempt.sent && (attempt.started || is_unanswered)
    }

    fn retry_order(&self, attempt: &Attempt) -> RetryOrder {
        let request = &self.requests[attempt.request];
        let route = request.service.relay();
        (
            request.position() == 0,
            request.customer.priority,
            route.map_or(config::DEFAULT_PRIORITY, |relay| relay.priority),
            request.first_event_due,
        )
    }
}
