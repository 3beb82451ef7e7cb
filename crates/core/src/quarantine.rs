//! Detection of poison requests: requests that crash the upstreams that run them.
//!
//! A crash takes down everything that ran or waited at the upstream, so one crash says little about
//! one request. The crash history records which requests were present at the unplanned end of each
//! incarnation; histories of several instances merge in any order and any number of times. A
//! request is quarantined after three crashes, whichever requests were beside it. A complete
//! response clears it of all earlier crashes. Another rule, selected by a setting, does not count
//! crashes that a quarantined request explains against any other request.

use super::*;

/// Crashes after which a request is quarantined: the users count attempts after the third.
pub const QUARANTINE_THRESHOLD: usize = 3;

/// Crashes after which a request is quarantined even if others explain them: two poison requests
/// sent together would mask each other. Two more than three stays within what the users allow after
/// the third.
const TOTAL_CRASH_THRESHOLD: usize = 5;

/// Maximum number of crashes kept: those of 170 poison requests, at a kilobyte for each of 512 with
/// some forty requests. Crashes that quarantine no request are evicted first, then the oldest.
const MAX_CRASHES: usize = 512;

/// Maximum number of requests kept per crash: as many as an upstream of the largest sites runs at
/// once.
const MAX_REQUESTS_PER_CRASH: usize = 64;

/// Retention of a crash in milliseconds: one day. A request refused for that long is tried again.
const RETENTION_MS: u64 = 24 * 3_600_000;

/// Involvement of a request in a crash. Of two reports the greater one wins.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Involvement {
    /// No part of the response had arrived, or it had been arriving for less than half a second.
    Fresh,
    /// The response had been arriving for longer.
    Ran,
    /// A complete response has arrived since.
    Cleared,
}

/// The unplanned end of one incarnation of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// The earliest time at which an instance observed it.
    pub at: Time,
    /// Requests that ran or waited on the upstream.
    pub requests: BTreeMap<RequestFingerprint, Involvement>,
}

/// A mergeable record of upstream crashes.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CrashHistory {
    crashes: BTreeMap<Incarnation, Crash>,
}

impl CrashHistory {
    /// Records that a request was at an upstream that crashed. Returns whether that is new.
    pub fn record(
        &mut self,
        incarnation: Incarnation,
        fingerprint: RequestFingerprint,
        involvement: Involvement,
        at: Time,
    ) -> bool {
        let crash = self.crashes.entry(incarnation).or_insert_with(|| Crash {
            at,
            requests: BTreeMap::new(),
        });
        crash.at = crash.at.min(at);
        if crash.requests.len() >= MAX_REQUESTS_PER_CRASH
            && !crash.requests.contains_key(&fingerprint)
        {
            return false;
        }
        let known = crash.requests.insert(fingerprint, involvement);
        let before = known.filter(|before| *before >= involvement);
        if let Some(before) = before {
            crash.requests.insert(fingerprint, before);
        }
        before.is_none()
    }

    /// Clears a request of all crashes so far. Returns the changes to announce.
    #[must_use]
    pub fn clear(&mut self, fingerprint: RequestFingerprint) -> Self {
        let mut cleared = Self::default();
        for (incarnation, crash) in &mut self.crashes {
            if let Some(involvement) = crash.requests.get_mut(&fingerprint)
                && *involvement != Involvement::Cleared
            {
                *involvement = Involvement::Cleared;
                cleared.record(*incarnation, fingerprint, Involvement::Cleared, crash.at);
            }
        }
        cleared
    }

    /// Crashes at which a request was present and of which it has not been cleared.
    pub fn crashes_of(&self, fingerprint: RequestFingerprint) -> impl Iterator<Item = Incarnation> {
        let is_suspect = move |crash: &Crash| {
            crash
                .requests
                .get(&fingerprint)
                .is_some_and(|involvement| *involvement != Involvement::Cleared)
        };
        let crashes = self.crashes.iter();
        crashes
            .filter(move |(_, crash)| is_suspect(crash))
            .map(|(incarnation, _)| *incarnation)
    }

    /// Crashes in the order of their incarnations.
    pub fn crashes(&self) -> impl Iterator<Item = (Incarnation, &Crash)> {
        self.crashes
            .iter()
            .map(|(incarnation, crash)| (*incarnation, crash))
    }

    /// Whether the crash of an incarnation is recorded.
    pub fn contains(&self, incarnation: Incarnation) -> bool {
        self.crashes.contains_key(&incarnation)
    }

    /// Whether no crash is recorded.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Number of recorded crashes.
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// A digest of the content that does not depend on the order in which it was received; 0 for an
    /// empty history.
    pub fn digest(&self) -> u64 {
        let parts = self.crashes.iter().flat_map(|(incarnation, crash)| {
            let requests = crash.requests.iter();
            requests.map(|(fingerprint, involvement)| {
                mix(incarnation.hash_u64() ^ mix(fingerprint.0 ^ (*involvement as u64 + 1)))
            })
        });
        parts.fold(0, |digest, part| digest ^ part)
    }

    /// Merges another history into this one. Returns the part of it that was new.
    #[must_use]
    pub fn merge(&mut self, other: &Self) -> Self {
        let mut added = Self::default();
        for (incarnation, crash) in &other.crashes {
            for (fingerprint, involvement) in &crash.requests {
                if self.record(*incarnation, *fingerprint, *involvement, crash.at) {
                    added.record(*incarnation, *fingerprint, *involvement, crash.at);
                }
            }
        }
        added
    }

    /// The subset of the history that counts against one request.
    #[must_use]
    pub fn evidence_for(&self, fingerprint: RequestFingerprint) -> Self {
        let mut evidence = Self::default();
        for incarnation in self.crashes_of(fingerprint) {
            let crash = &self.crashes[&incarnation];
            evidence.record(
                incarnation,
                fingerprint,
                crash.requests[&fingerprint],
                crash.at,
            );
        }
        evidence
    }

    /// Whether a crash is past its retention.
    pub fn has_expired(&self, now: Time) -> bool {
        self.crashes
            .values()
            .any(|crash| now.since(crash.at) >= RETENTION_MS)
    }

    /// Evicts crashes past their retention, and those beyond the maximum.
    pub fn evict(&mut self, rule: QuarantineRule, now: Time) {
        self.crashes
            .retain(|_, crash| now.since(crash.at) < RETENTION_MS);
        if self.crashes.len() <= MAX_CRASHES {
            return;
        }
        let quarantined = self.quarantined(rule);
        let is_evidence = |crash: &Crash| {
            crash
                .requests
                .keys()
                .any(|fingerprint| quarantined.contains_key(fingerprint))
        };
        let order = |(incarnation, crash): (&Incarnation, &Crash)| {
            (is_evidence(crash), crash.at, *incarnation)
        };
        let mut crashes: Vec<(bool, Time, Incarnation)> = self.crashes.iter().map(order).collect();
        crashes.sort_unstable();
        for (_, _, incarnation) in &crashes[..crashes.len() - MAX_CRASHES] {
            self.crashes.remove(incarnation);
        }
    }

    /// The quarantined requests, each with the crashes that count against it.
    pub fn quarantined(
        &self,
        rule: QuarantineRule,
    ) -> BTreeMap<RequestFingerprint, BTreeSet<Incarnation>> {
        match rule {
            QuarantineRule::Explained => self.by_unexplained_crashes(),
            QuarantineRule::Lives => self.by_crash_count(),
            QuarantineRule::Off => BTreeMap::new(),
        }
    }

    /// Evaluates crashes in chronological order. A crash that involves a request that is
    /// quarantined by then, or becomes so by it, counts against no other request.
    fn by_unexplained_crashes(&self) -> BTreeMap<RequestFingerprint, BTreeSet<Incarnation>> {
        let mut evaluation = Evaluation::default();
        let mut crashes: Vec<(Incarnation, &Crash)> = self.crashes().collect();
        crashes.sort_unstable_by_key(|(incarnation, crash)| (crash.at, *incarnation));
        for (incarnation, crash) in crashes {
            evaluation.observe(incarnation, crash);
        }
        evaluation.quarantined
    }

    /// Evaluates only the number of crashes of each request.
    fn by_crash_count(&self) -> BTreeMap<RequestFingerprint, BTreeSet<Incarnation>> {
        let mut crashes_by_request: BTreeMap<RequestFingerprint, BTreeSet<Incarnation>> =
            BTreeMap::new();
        for (incarnation, crash) in &self.crashes {
            for (fingerprint, _) in crash.suspects() {
                crashes_by_request
                    .entry(fingerprint)
                    .or_default()
                    .insert(*incarnation);
            }
        }
        crashes_by_request.retain(|_, crashes| crashes.len() >= QUARANTINE_THRESHOLD);
        crashes_by_request
    }
}

impl Crash {
    /// The requests that were present, without those that were cleared.
    fn suspects(&self) -> impl Iterator<Item = (RequestFingerprint, Involvement)> {
        let requests = self
            .requests
            .iter()
            .map(|(fingerprint, involvement)| (*fingerprint, *involvement));
        requests.filter(|(_, involvement)| *involvement != Involvement::Cleared)
    }
}

/// A request that is not quarantined so far.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// All crashes at which the request was present.
    crashes: BTreeSet<Incarnation>,
    /// Crashes soon after the response began, as a poison request causes them.
    fresh: usize,
    /// Crashes that no quarantined request explains.
    unexplained: BTreeSet<Incarnation>,
}

/// State of evaluating crashes in order.
#[derive(Clone, Debug, Default)]
struct Evaluation {
    quarantined: BTreeMap<RequestFingerprint, BTreeSet<Incarnation>>,
    suspects: BTreeMap<RequestFingerprint, Suspect>,
}

impl Evaluation {
    fn observe(&mut self, incarnation: Incarnation, crash: &Crash) {
        let is_quarantined = |(fingerprint, _): (RequestFingerprint, Involvement)| {
            self.quarantined.contains_key(&fingerprint)
        };
        let explained = crash.suspects().any(is_quarantined);
        for (fingerprint, involvement) in crash.suspects() {
            if let Some(crashes) = self.quarantined.get_mut(&fingerprint) {
                crashes.insert(incarnation);
                continue;
            }
            let suspect = self.suspects.entry(fingerprint).or_default();
            suspect.fresh += usize::from(involvement == Involvement::Fresh);
            suspect.crashes.insert(incarnation);
            if !explained {
                suspect.unexplained.insert(incarnation);
            }
        }
        while let Some((fingerprint, suspect)) = self.strongest_suspect() {
            self.quarantine(fingerprint, &suspect);
        }
    }

    /// The suspect with enough crashes; of several, the one with the most unexplained crashes, then
    /// the one that had run least.
    fn strongest_suspect(&self) -> Option<(RequestFingerprint, Suspect)> {
        let over_threshold = |suspect: &Suspect| {
            suspect.unexplained.len() >= QUARANTINE_THRESHOLD
                || suspect.crashes.len() >= TOTAL_CRASH_THRESHOLD
        };
        let over_threshold = self
            .suspects
            .iter()
            .filter(|(_, suspect)| over_threshold(suspect));
        let strongest =
            over_threshold.max_by_key(|(_, suspect)| (suspect.unexplained.len(), suspect.fresh));
        strongest.map(|(fingerprint, suspect)| (*fingerprint, suspect.clone()))
    }

    /// Quarantines a request, and those that cannot be distinguished from it by their crashes.
    fn quarantine(&mut self, fingerprint: RequestFingerprint, suspect: &Suspect) {
        let is_indistinguishable = |other: &RequestFingerprint, other_suspect: &mut Suspect| {
            let same = other_suspect.unexplained == suspect.unexplained
                && other_suspect.fresh == suspect.fresh;
            *other == fingerprint || (same && suspect.unexplained.len() >= QUARANTINE_THRESHOLD)
        };
        let alike = self.suspects.extract_if(.., is_indistinguishable);
        self.quarantined
            .extend(alike.map(|(fingerprint, suspect)| (fingerprint, suspect.crashes)));
        for other in self.suspects.values_mut() {
            other
                .unexplained
                .retain(|incarnation| !suspect.unexplained.contains(incarnation));
        }
    }
}

/// Mixes the bits of a number.
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 31)).wrapping_mul(0x7fb5_d329_728e_a185);
    let number = (number ^ (number >> 27)).wrapping_mul(0x81da_def4_bc2d_d44d);
    number ^ (number >> 33)
}
