//! Whether the platform's store was away, concluded from how all calls of an instance end.
//!
//! The load that it answers: entries of upstreams go when these leave, and also when the store is away for so long
//! that it does not hear them. The first are to get no more work soon, the others live. One task's own call says
//! neither: a watch is cut while the store answers everybody, and another one outlasts an outage.

use super::*;

/// Heartbeats of an upstream that an outage must last to make its entry go: it goes after three without a
/// write, of which one may have passed before.
const HEARTBEATS: u64 = 2;

/// Time for which calls fail before upstreams are taken to miss a write too, in milliseconds: more than the first pause
/// behind a call that fails by itself, as a watch that is cut.
const MISSED_MS: u64 = 300;

/// Time after the store's return up to which upstreams whose entries went in between are believed to live, in
/// milliseconds; they enter themselves again within about two seconds.
pub const GRACE_MS: u64 = 2_000;

/// The longest time without an absence that is told, in milliseconds: more than any instance is refused for before others are
/// asked, and few bytes.
const STEADY_MOST_MS: u64 = 60_000;

/// What the calls of an instance showed of the store.
#[derive(Clone, Copy, Debug)]
pub struct Availability {
    /// When a call was answered last; `None` before the first time.
    answered: Option<Time>,
    /// The last span in which the store was away for so long that entries may have gone.
    away: Option<Span>,
    /// How often the store had come back from a copy, by the last answer; 0 before the first, and where it does not say.
    era: u64,
    /// The last span in which calls failed.
    failing: Option<Span>,
    /// When a call failed first since; `None` if none did.
    failed: Option<Time>,
    /// Calls that failed since.
    failures: u32,
    /// Time between two writes of an upstream's entry, in milliseconds.
    heartbeat_ms: u64,
    /// The last span in which calls failed for so long that upstreams missed a write too.
    missed: Option<Span>,
    /// The last span without an answer in which entries may have gone, whether or not a call failed in it.
    quiet: Option<Span>,
    /// When a call was answered first behind one that failed.
    recovered: Option<Time>,
    /// The last span in which other instances told that the store had answered them, while calls failed here.
    returned: Option<Span>,
    /// Since when the store has answered without an absence; `None` before the first answer.
    steady: Option<Time>,
    /// When the store was last found not to answer; `None` if it never was.
    unanswered: Option<Time>,
    /// When the store last answered another instance, by what that one told.
    witnessed: Option<Time>,
}

/// A span of time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Span {
    /// Its begin.
    pub from: Time,
    /// Its end.
    pub to: Time,
}

impl Span {
    /// Time that it shares with another one, in milliseconds.
    pub(crate) fn shared_ms(self, other: Self) -> u64 {
        self.to.min(other.to).since(self.from.max(other.from))
    }
}

impl Availability {
    /// What is believed before the first call, where upstreams write their entries so often.
    pub fn new(heartbeat_ms: u64) -> Self {
        Self {
            answered: None,
            away: None,
            era: 0,
            failed: None,
            failures: 0,
            failing: None,
            heartbeat_ms,
            missed: None,
            quiet: None,
            recovered: None,
            returned: None,
            steady: None,
            unanswered: None,
            witnessed: None,
        }
    }

    /// Notes an answer; for how long the store was away, in milliseconds, if this ends an absence in which entries
    /// may have gone.
    pub fn record_success(&mut self, now: Time) -> Option<u64> {
        let short = |answered: Time| now.since(answered) < self.lapse_ms();
        // Upstreams miss a write in a shorter absence too: behind its end they have to enter themselves.
        let missed = self
            .failed
            .is_some_and(|failed| now.since(failed) >= MISSED_MS);
        if missed || !self.answered.is_some_and(short) {
            self.steady = Some(now);
        }
        let quiet = match self.quiet_until(now) {
            Some(quiet) => Some(quiet).filter(|quiet| self.may_lapse(*quiet)),
            // It started without the store, and does not know since when this was away: for longer than what others may take off
            // its end.
            None => self.failed.map(|_| Span {
                from: now.before(2 * self.lapse_ms()),
                to: now,
            }),
        };
        let failed = self.failed.take();
        let returned = self.returned.take();
        self.failures = 0;
        self.answered = Some(now);
        self.quiet = quiet.or(self.quiet);
        let failed = failed?;
        self.recovered = Some(now);
        let merged = self.merged(failed, now);
        let quiet = quiet.or(merged);
        if missed {
            self.missed = Some(Span {
                from: failed,
                to: now,
            });
        }
        let returned = returned.filter(|returned| self.is_steady(returned.to, now));
        let quiet = quiet.map(|quiet| self.ended_by(quiet, returned));
        self.away = quiet.or(self.away);
        quiet.map(|away| away.to.since(away.from))
    }

    /// Notes the era that an answer tells; whether the store has come back from a copy since the answer before. What its owners
    /// wrote since the copy may be missing, as behind an absence in which entries may have gone.
    pub fn observe_era(&mut self, era: u64, now: Time) -> bool {
        if era <= self.era {
            return false;
        }
        self.era = era;
        if self.answered.is_none() {
            return false;
        }
        self.steady = Some(now);
        self.away = Some(Span {
            // Whatever was answered before: it is lost.
            from: now.before(STEADY_MOST_MS + self.lapse_ms()),
            to: now,
        });
        true
    }

    /// For how long up to its last answer the store has not been away, in milliseconds.
    pub fn uptime_ms(&self) -> u64 {
        let steady = self.answered.zip(self.steady);
        steady.map_or(0, |(answered, steady)| {
            answered.since(steady).min(STEADY_MOST_MS)
        })
    }

    /// The part of a span without the store in which entries may have gone, as the store is known to have been there in another
    /// span; `None` if there is none. Behind its end they are entered again.
    pub(crate) fn exclude_uptime(&self, away: Span, steady: Span) -> Option<Span> {
        if away.to.since(steady.to) >= self.lapse_ms() {
            return Some(away);
        }
        let left = Span {
            from: away.from,
            to: away.to.min(steady.from).max(away.from),
        };
        Some(left).filter(|left| self.may_lapse(*left))
    }

    /// How often the store had come back from a copy, by the newest answer.
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Time by which upstreams have written their entries again behind calls that failed for a while, however short; `None` if they
    /// missed no write, as the store is known to have been there in another span. An instance that makes few calls is answered long
    /// behind the end of an absence.
    pub(crate) fn reregistered_by(&self, steady: Option<Span>) -> Option<Time> {
        let missed = self.missed?;
        let lasting = steady.filter(|steady| self.is_steady(steady.to, missed.to));
        let back = lasting.map_or(missed.to, |steady| steady.from.min(missed.to));
        (back > missed.from).then(|| back.after(self.heartbeat_ms))
    }

    /// Notes that the store has just answered another instance: no entry goes for want of it while it answers any. A
    /// call that a silent connection lost was else taken for an absence, and an upstream that had gone was believed
    /// for two seconds more.
    pub fn record_peer_success(&mut self, now: Time) {
        let quiet = self.quiet_until(now);
        if let Some(quiet) = quiet.filter(|quiet| self.may_lapse(*quiet)) {
            self.quiet = Some(quiet);
            if self.failed.is_some() {
                self.away = Some(quiet);
            }
        }
        self.witnessed = Some(now);
        if self.failed.is_some() {
            let lasting = self
                .returned
                .filter(|before| self.is_steady(before.to, now));
            let from = lasting.map_or(now, |before| before.from);
            self.returned = Some(Span { from, to: now });
        }
    }

    /// When the store answered last.
    pub fn last_answer(&self) -> Option<Time> {
        self.answered
    }

    /// When the store was last found not to answer; `None` if it never was.
    pub fn last_unanswered(&self) -> Option<Time> {
        self.unanswered
    }

    /// The last span in which the store was away for so long that entries may have gone.
    pub fn outage(&self) -> Option<Span> {
        self.away
    }

    /// For how much longer an entry that is missing now is believed, in milliseconds: it may have gone while the
    /// store was away, and be entered again.
    pub fn grace_ms(&self, now: Time) -> u64 {
        self.away.map_or(0, |away| grace_ms(away, now))
    }

    /// Notes a call that failed or was refused. `unanswered` is when the store did not answer it: now where it was refused, and where
    /// its time ran out when that began. One that the store had taken before it answered another call shows nothing of the
    /// store since: entries that had gone would be believed as behind a second absence, and leaving upstreams get work meanwhile.
    pub fn record_failure(&mut self, unanswered: Time, now: Time) {
        if self.answered.is_none_or(|answered| answered < unanswered) {
            self.failed.get_or_insert(now);
            self.failures += 1;
            self.unanswered = self.unanswered.max(Some(unanswered));
        }
        // A call that was out in a span without answers may be noticed only behind it.
        let just = |quiet: &Span| now.since(quiet.to) <= store_calls::TIMEOUT_MS;
        if let Some(quiet) = self.quiet.filter(just)
            && self.away.is_none_or(|away| away.to < quiet.from)
        {
            self.away = Some(quiet);
        }
    }

    /// Whether the store may have been away for all, and not only for an instance that tells of it: no answer here
    /// says that it served others meanwhile.
    pub fn is_shared_outage(&self, away: Span, now: Time) -> bool {
        let Some(quiet) = self.quiet_until(now) else {
            return true;
        };
        let shared = |quiet: Span| self.overlaps_outage(quiet, away);
        shared(quiet) || self.quiet.is_some_and(shared)
    }

    /// Whether two spans without the store have so much in common that entries may have gone in it.
    pub(crate) fn overlaps_outage(&self, one: Span, other: Span) -> bool {
        one.shared_ms(other) >= self.lapse_ms()
    }

    /// When a call was answered first behind one that failed. A silent store never answers a call that it took
    /// before, however long this may wait.
    pub fn recovered_at(&self) -> Option<Time> {
        self.recovered
    }

    /// The span of an absence that ends now with one that ended so shortly before that upstreams may have written
    /// nothing in between, if entries may have gone in both together.
    fn merged(&mut self, failed: Time, now: Time) -> Option<Span> {
        if now.since(failed) < store_calls::TIMEOUT_MS {
            // A call of the absence before was noticed late.
            return None;
        }
        let before = self
            .failing
            .filter(|before| failed.since(before.to) < self.heartbeat_ms);
        let from = before.map_or(failed, |before| before.from);
        let span = Span { from, to: now };
        self.failing = Some(span);
        Some(span).filter(|span| before.is_some() && self.may_lapse(*span))
    }

    /// A span without the store, up to its return for another instance: upstreams enter themselves from then on, though the store
    /// refuses this one for longer. From its own first answer on an upstream that left was believed too long.
    fn ended_by(&self, away: Span, returned: Option<Span>) -> Span {
        let to = returned.map_or(away.to, |returned| away.to.min(returned.from));
        let ended = Span { to, ..away };
        if to > away.from && self.may_lapse(ended) {
            ended
        } else {
            away
        }
    }

    /// Whether the store was there between two answers to anybody: the time between them is too short for an absence in which an
    /// upstream misses more than one write.
    fn is_steady(&self, before: Time, now: Time) -> bool {
        now.since(before) < self.heartbeat_ms
    }

    /// The shortest time without the store in which entries may go, in milliseconds.
    fn lapse_ms(&self) -> u64 {
        HEARTBEATS * self.heartbeat_ms
    }

    /// Whether entries may have gone in a span without the store.
    fn may_lapse(&self, span: Span) -> bool {
        span.to.since(span.from) >= self.lapse_ms()
    }

    /// The span since the last answer; `None` before the first one. Where one call failed, its connection may have been
    /// silent, and an answer to another instance counts too; where more did, that instance may have told it late.
    fn quiet_until(&self, now: Time) -> Option<Span> {
        let witnessed = self.witnessed.filter(|_| self.failures <= 1);
        let from = self.answered?.max(witnessed.unwrap_or_default());
        Some(Span { from, to: now })
    }
}

/// For how much longer entries that went in an absence of the store are believed, in milliseconds.
pub fn grace_ms(away: Span, now: Time) -> u64 {
    away.to.after(GRACE_MS).since(now)
}
