//! Outages of the key-value store, inferred from how all calls of an instance end.
//!
//! Entries of upstreams disappear when these leave, and also when the store is down for so long that their leases
//! expire. The former must get no more work soon; the latter are still alive. A single task's calls cannot tell the
//! two apart: a watch may be cut while the store answers everybody, and another may outlast an outage.

use super::*;

/// Heartbeats of an upstream that an outage must last for its entry to expire: it expires after three without a write,
/// of which one may have passed before.
const MISSED_HEARTBEATS: u64 = 2;

/// Time of failing calls after which upstreams are taken to have missed a write too, in milliseconds: more than the
/// first pause after a single failure, such as a cut watch.
const MISSED_WRITE_MS: u64 = 300;

/// Failed calls in sequence from which on the store counts as away.
const MIN_FAILURES: u32 = 2;

/// Grace period after the store's return, in milliseconds: upstreams whose entries expired during the outage are taken
/// to be alive and register again within about two seconds.
pub const GRACE_MS: u64 = 2_000;

/// Maximum uptime that is reported, in milliseconds: longer than any instance is refused before it calls others, and
/// encoded in few bytes.
const UPTIME_MAX_MS: u64 = 60_000;

/// Availability of the store as the calls of an instance show it.
#[derive(Clone, Copy, Debug)]
pub struct Availability {
    /// Era of the store by the newest answer: the number of restores from a backup; 0 before the first answer, and
    /// where the store reports none.
    era: u64,
    /// When the first call since the last answer failed; `None` if none did.
    failing_since: Option<Time>,
    /// Failed calls since the last answer.
    failures: u32,
    /// Interval between two writes of an upstream's entry, in milliseconds.
    heartbeat_ms: u64,
    /// When a call was last answered; `None` before the first answer.
    last_answer: Option<Time>,
    /// Latest span of failing calls.
    last_failing: Option<Span>,
    /// When the store last answered a peer, by the peer's report.
    last_peer_answer: Option<Time>,
    /// When the store was last found not to answer; `None` if it always did.
    last_unanswered: Option<Time>,
    /// Latest span in which calls failed for so long that upstreams missed a write too.
    missed_write: Option<Span>,
    /// Latest outage that was long enough for entries to expire.
    outage: Option<Span>,
    /// Latest span in which peers reported answers of the store while calls failed here.
    peer_recovery: Option<Span>,
    /// When a call was first answered after a failure.
    recovered_at: Option<Time>,
    /// Latest span without an answer in which entries may have expired, whether or not a call failed in it.
    silence: Option<Span>,
    /// Since when the store has answered without an outage; `None` before the first answer.
    up_since: Option<Time>,
}

/// A span of time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Span {
    /// Start of the span.
    pub from: Time,
    /// End of the span.
    pub to: Time,
}

impl Span {
    /// Duration of the overlap with another span, in milliseconds.
    pub(crate) fn overlap_ms(self, other: Self) -> u64 {
        self.to.min(other.to).since(self.from.max(other.from))
    }
}

impl Availability {
    /// State before the first call, for upstreams that write their entries at this interval.
    pub fn new(heartbeat_ms: u64) -> Self {
        Self {
            era: 0,
            failing_since: None,
            failures: 0,
            heartbeat_ms,
            last_answer: None,
            last_failing: None,
            last_peer_answer: None,
            last_unanswered: None,
            missed_write: None,
            outage: None,
            peer_recovery: None,
            recovered_at: None,
            silence: None,
            up_since: None,
        }
    }

    /// Records an answer. If it ends an outage in which entries may have expired, returns the outage's duration in
    /// milliseconds.
    pub fn record_success(&mut self, now: Time) -> Option<u64> {
        let short = |answered: Time| now.since(answered) < self.expiry_ms();
        // Upstreams miss a write in a shorter outage too and must register again after its end.
        let has_missed_write = self
            .failing_since
            .is_some_and(|failing_since| now.since(failing_since) >= MISSED_WRITE_MS);
        if has_missed_write || !self.last_answer.is_some_and(short) {
            self.up_since = Some(now);
        }
        let silence = match self.silence_until(now) {
            Some(silence) => Some(silence).filter(|silence| self.may_expire(*silence)),
            // This instance started without the store and does not know since when it was down: the span exceeds what
            // peers may subtract from its end.
            None => self.failing_since.map(|_| Span {
                from: now.before(2 * self.expiry_ms()),
                to: now,
            }),
        };
        let failing_since = self.failing_since.take();
        let peer_recovery = self.peer_recovery.take();
        self.failures = 0;
        self.last_answer = Some(now);
        self.silence = silence.or(self.silence);
        let failing_since = failing_since?;
        self.recovered_at = Some(now);
        let merged = self.merge_outages(failing_since, now);
        let silence = silence.or(merged);
        if has_missed_write {
            self.missed_write = Some(Span {
                from: failing_since,
                to: now,
            });
        }
        let peer_recovery =
            peer_recovery.filter(|peer_recovery| self.is_continuous(peer_recovery.to, now));
        let silence = silence.map(|silence| self.end_at_peer_recovery(silence, peer_recovery));
        self.outage = silence.or(self.outage);
        silence.map(|outage| outage.to.since(outage.from))
    }

    /// Records the era of an answer; returns whether the store was restored from a backup since the answer before.
    /// Writes after the backup may be lost, as in an outage in which entries expire.
    pub fn observe_era(&mut self, era: u64, now: Time) -> bool {
        if era <= self.era {
            return false;
        }
        self.era = era;
        if self.last_answer.is_none() {
            return false;
        }
        self.up_since = Some(now);
        self.outage = Some(Span {
            // Everything answered before may be lost.
            from: now.before(UPTIME_MAX_MS + self.expiry_ms()),
            to: now,
        });
        true
    }

    /// How long the store had been available at its last answer, in milliseconds.
    pub fn uptime_ms(&self) -> u64 {
        let times = self.last_answer.zip(self.up_since);
        times.map_or(0, |(answered, up_since)| {
            answered.since(up_since).min(UPTIME_MAX_MS)
        })
    }

    /// The part of an outage in which entries may have expired, given a span in which the store was up; `None` if
    /// there is none. After the end of the outage entries are registered again.
    pub(crate) fn exclude_uptime(&self, outage: Span, uptime: Span) -> Option<Span> {
        if outage.to.since(uptime.to) >= self.expiry_ms() {
            return Some(outage);
        }
        let left = Span {
            from: outage.from,
            to: outage.to.min(uptime.from).max(outage.from),
        };
        Some(left).filter(|left| self.may_expire(*left))
    }

    /// Number of times that the store was restored from a backup, by the newest answer.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Time by which upstreams have registered again after a span of failing calls, however short; `None` if they
    /// missed no write because the store was up for others. An instance that makes few calls gets its answer long
    /// after the end of an outage.
    pub(crate) fn reregistered_by(&self, uptime: Option<Span>) -> Option<Time> {
        let missed = self.missed_write?;
        let continuous = uptime.filter(|uptime| self.is_continuous(uptime.to, missed.to));
        let back = continuous.map_or(missed.to, |uptime| uptime.from.min(missed.to));
        (back > missed.from).then(|| back.after(self.heartbeat_ms))
    }

    /// Records that the store has just answered a peer: no entry expires while it answers anybody. Otherwise a call
    /// lost on a dead connection was taken for an outage, and an upstream that had left was kept for two seconds more.
    pub fn record_peer_success(&mut self, now: Time) {
        let silence = self.silence_until(now);
        if let Some(silence) = silence.filter(|silence| self.may_expire(*silence)) {
            self.silence = Some(silence);
            if self.failing_since.is_some() {
                self.outage = Some(silence);
            }
        }
        self.last_peer_answer = Some(now);
        if self.failing_since.is_some() {
            let continuous = self
                .peer_recovery
                .filter(|before| self.is_continuous(before.to, now));
            let from = continuous.map_or(now, |before| before.from);
            self.peer_recovery = Some(Span { from, to: now });
        }
    }

    /// Whether the last call was answered.
    pub(crate) fn is_answering(&self) -> bool {
        self.last_answer.is_some() && self.failing_since.is_none()
    }

    /// Since when the store has answered neither this instance nor, as far as is known, another one; `None` if it
    /// answers. A single failure may be that of a connection.
    pub fn away_since(&self) -> Option<Time> {
        let failing_since = self.failing_since?;
        let answers_peers = self.last_peer_answer >= Some(failing_since);
        if self.failures < MIN_FAILURES || answers_peers {
            return None;
        }
        let last_answer = self.last_answer.max(self.last_peer_answer);
        Some(last_answer.unwrap_or(failing_since))
    }

    /// When the store last answered.
    pub fn last_answer(&self) -> Option<Time> {
        self.last_answer
    }

    /// When the store was last found not to answer; `None` if it always did.
    pub fn last_unanswered(&self) -> Option<Time> {
        self.last_unanswered
    }

    /// Latest outage that was long enough for entries to expire.
    pub fn outage(&self) -> Option<Span> {
        self.outage
    }

    /// Whether an outage that was long enough for entries to expire ended within a time.
    pub fn had_outage_within(&self, millis: u64, now: Time) -> bool {
        self.outage
            .is_some_and(|outage| now.since(outage.to) < millis)
    }

    /// Remaining grace period of entries that are missing now, in milliseconds: they may have expired during the
    /// outage and be registered again.
    pub fn grace_ms(&self, now: Time) -> u64 {
        self.outage.map_or(0, |outage| grace_ms(outage, now))
    }

    /// Records a call that failed or was refused. `unanswered` is when the store did not answer it: now if it was
    /// refused, the start of its timeout otherwise. A call that the store accepted before it answered another one
    /// says nothing about the time since: entries of upstreams that had left would be kept as after a second outage,
    /// and leaving upstreams would get work meanwhile.
    pub fn record_failure(&mut self, unanswered: Time, now: Time) {
        if self
            .last_answer
            .is_none_or(|answered| answered < unanswered)
        {
            self.failing_since.get_or_insert(now);
            self.failures += 1;
            self.last_unanswered = self.last_unanswered.max(Some(unanswered));
        }
        // The failure of a call that was pending in the silent span may be noticed only after it.
        let just = |silence: &Span| now.since(silence.to) <= store_calls::TIMEOUT_MS;
        if let Some(silence) = self.silence.filter(just)
            && self.outage.is_none_or(|outage| outage.to < silence.from)
        {
            self.outage = Some(silence);
        }
    }

    /// Whether the store may have been down for every instance during a reported outage: no answer here shows that it
    /// served others meanwhile.
    pub fn is_shared_outage(&self, outage: Span, now: Time) -> bool {
        let Some(silence) = self.silence_until(now) else {
            return true;
        };
        let shared = |silence: Span| self.overlaps_outage(silence, outage);
        shared(silence) || self.silence.is_some_and(shared)
    }

    /// Whether two outages overlap for so long that entries may have expired meanwhile.
    pub(crate) fn overlaps_outage(&self, one: Span, other: Span) -> bool {
        one.overlap_ms(other) >= self.expiry_ms()
    }

    /// When a call was first answered after a failure. A silent store never answers a call that it accepted before,
    /// however long the wait.
    pub fn recovered_at(&self) -> Option<Time> {
        self.recovered_at
    }

    /// Combines the outage that ends now with one that ended so shortly before that upstreams may have written nothing
    /// in between; `None` if no entry may have expired in both together.
    fn merge_outages(&mut self, failing_since: Time, now: Time) -> Option<Span> {
        if now.since(failing_since) < store_calls::TIMEOUT_MS {
            // The failure belongs to the outage before and was noticed late.
            return None;
        }
        let before = self
            .last_failing
            .filter(|before| failing_since.since(before.to) < self.heartbeat_ms);
        let from = before.map_or(failing_since, |before| before.from);
        let span = Span { from, to: now };
        self.last_failing = Some(span);
        Some(span).filter(|span| before.is_some() && self.may_expire(*span))
    }

    /// Ends an outage at the store's return for a peer: upstreams register again from then on, though the store
    /// refuses this instance for longer. Counted from its own first answer, an upstream that left was kept too long.
    fn end_at_peer_recovery(&self, outage: Span, peer_recovery: Option<Span>) -> Span {
        let to = peer_recovery.map_or(outage.to, |peer_recovery| outage.to.min(peer_recovery.from));
        let ended = Span { to, ..outage };
        if to > outage.from && self.may_expire(ended) {
            ended
        } else {
            outage
        }
    }

    /// Whether the store was up between two answers to any instance: the time between them is too short for an outage
    /// in which an upstream misses more than one write.
    fn is_continuous(&self, before: Time, now: Time) -> bool {
        now.since(before) < self.heartbeat_ms
    }

    /// Duration of the shortest outage in which entries may expire, in milliseconds.
    fn expiry_ms(&self) -> u64 {
        MISSED_HEARTBEATS * self.heartbeat_ms
    }

    /// Whether entries may have expired in an outage of this span.
    fn may_expire(&self, span: Span) -> bool {
        span.to.since(span.from) >= self.expiry_ms()
    }

    /// The span since the last answer; `None` before the first one. After a single failure an answer to a peer counts
    /// too, since the failed call's connection may have been dead; after several, the peer may have reported its
    /// answer late.
    fn silence_until(&self, now: Time) -> Option<Span> {
        let last_peer_answer = self.last_peer_answer.filter(|_| self.failures <= 1);
        let from = self.last_answer?.max(last_peer_answer.unwrap_or_default());
        Some(Span { from, to: now })
    }
}

/// Remaining grace period after an outage of the store, in milliseconds.
pub fn grace_ms(outage: Span, now: Time) -> u64 {
    outage.to.after(GRACE_MS).since(now)
}
