//! Which requests end the upstreams that run them ("poison requests"): what instances saw, and what follows from it.
//!
//! An upstream that ends takes with it all that ran or waited there, so one end tells little of one request. The account
//! has of each life that ended unplanned which requests were there; accounts of several instances merge, in any order and as often
//! as they are told. A request is guilty that was at three ends, whoever was beside it. An answer that comes whole clears a
//! request of all ends before it. Another rule, which a setting chooses, holds an end that a guilty request explains against
//! nobody else.

use super::*;

/// Ends by which a request is guilty: the users count what is sent behind the third.
pub const QUARANTINE_THRESHOLD: usize = 3;

/// Ends by which a request is guilty though others explain them: of two that are sent together each would hide behind the
/// other. Two more than three are within what the users allow behind the third.
const GUILTY_ANYWAY: usize = 5;

/// Ends kept, at most: those of 170 guilty requests, or a kilobyte for each of 512 with some forty requests each. Beyond it those
/// that no request is guilty by go first, then the oldest.
const KEPT: usize = 512;

/// Requests kept of one end, at most: as many as an upstream of the largest sites runs at once.
const THERE: usize = 64;

/// Time for which an end is kept, in milliseconds: a day. A request that was refused for so long is tried once more.
const LAPSES_MS: u64 = 24 * 3_600_000;

/// What is known of a request that was at an upstream when it ended. Of two that are told the later one counts.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Involvement {
    /// Nothing of its answer had come from there, or for less than half a second.
    Fresh,
    /// Its answer had come from there for longer.
    Ran,
    /// It was answered whole since.
    Cleared,
}

/// The unplanned end of one life of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Crash {
    /// When the first instance saw it.
    pub at: Time,
    /// The requests that ran or waited there.
    pub requests: BTreeMap<Print, Involvement>,
}

/// Unplanned ends of upstreams.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct CrashHistory {
    crashes: BTreeMap<Life, Crash>,
}

impl CrashHistory {
    /// Notes that a request was at an upstream that ended; whether that is news.
    pub fn record(&mut self, life: Life, print: Print, part: Involvement, at: Time) -> bool {
        let end = self.crashes.entry(life).or_insert_with(|| Crash {
            at,
            requests: BTreeMap::new(),
        });
        end.at = end.at.min(at);
        if end.requests.len() >= THERE && !end.requests.contains_key(&print) {
            return false;
        }
        let known = end.requests.insert(print, part);
        let before = known.filter(|before| *before >= part);
        if let Some(before) = before {
            end.requests.insert(print, before);
        }
        before.is_none()
    }

    /// Clears a request of all ends so far; what is to be told of it.
    #[must_use]
    pub fn clear(&mut self, print: Print) -> Self {
        let mut cleared = Self::default();
        for (life, end) in &mut self.crashes {
            if let Some(part) = end.requests.get_mut(&print)
                && *part != Involvement::Cleared
            {
                *part = Involvement::Cleared;
                cleared.record(*life, print, Involvement::Cleared, end.at);
            }
        }
        cleared
    }

    /// The ends at which a request was, of which it was not cleared.
    pub fn crashes_of(&self, print: Print) -> impl Iterator<Item = Life> {
        let there = move |end: &Crash| {
            end.requests
                .get(&print)
                .is_some_and(|part| *part != Involvement::Cleared)
        };
        let ends = self.crashes.iter();
        ends.filter(move |(_, end)| there(end))
            .map(|(life, _)| *life)
    }

    /// Ends in the order of their lives.
    pub fn crashes(&self) -> impl Iterator<Item = (Life, &Crash)> {
        self.crashes.iter().map(|(life, end)| (*life, end))
    }

    /// Whether the end of a life is known.
    pub fn contains(&self, life: Life) -> bool {
        self.crashes.contains_key(&life)
    }

    /// Whether no end is known.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty()
    }

    /// Ends known.
    pub fn len(&self) -> usize {
        self.crashes.len()
    }

    /// What accounts that hold the same have in common, whatever order they were told in; 0 for an empty one.
    pub fn digest(&self) -> u64 {
        let parts = self.crashes.iter().flat_map(|(life, end)| {
            let there = end.requests.iter();
            there.map(|(print, part)| mix(life.number() ^ mix(print.0 ^ (*part as u64 + 1))))
        });
        parts.fold(0, |digest, part| digest ^ part)
    }

    /// Takes in another account; what of it was news.
    #[must_use]
    pub fn merge(&mut self, other: &Self) -> Self {
        let mut news = Self::default();
        for (life, end) in &other.crashes {
            for (print, part) in &end.requests {
                if self.record(*life, *print, *part, end.at) {
                    news.record(*life, *print, *part, end.at);
                }
            }
        }
        news
    }

    /// The part of it that one request is guilty by.
    #[must_use]
    pub fn evidence_for(&self, print: Print) -> Self {
        let mut part = Self::default();
        for life in self.crashes_of(print) {
            let end = &self.crashes[&life];
            part.record(life, print, end.requests[&print], end.at);
        }
        part
    }

    /// Whether an end has lapsed.
    pub fn has_expired(&self, now: Time) -> bool {
        self.crashes
            .values()
            .any(|end| now.since(end.at) >= LAPSES_MS)
    }

    /// Forgets ends that lapsed, and those beyond what is kept.
    pub fn evict(&mut self, rule: QuarantineRule, now: Time) {
        self.crashes.retain(|_, end| now.since(end.at) < LAPSES_MS);
        if self.crashes.len() <= KEPT {
            return;
        }
        let guilty = self.quarantined(rule);
        let condemns = |end: &Crash| end.requests.keys().any(|print| guilty.contains_key(print));
        let order = |(life, end): (&Life, &Crash)| (condemns(end), end.at, *life);
        let mut ends: Vec<(bool, Time, Life)> = self.crashes.iter().map(order).collect();
        ends.sort_unstable();
        for (_, _, life) in &ends[..ends.len() - KEPT] {
            self.crashes.remove(life);
        }
    }

    /// The guilty requests, each with the ends that it is guilty by.
    pub fn quarantined(&self, rule: QuarantineRule) -> BTreeMap<Print, BTreeSet<Life>> {
        match rule {
            QuarantineRule::Explained => self.unexplained(),
            QuarantineRule::Lives => self.often(),
            QuarantineRule::Off => BTreeMap::new(),
        }
    }

    /// Who is guilty by ends in the order in which they came. The end of a request that is guilty by then, or becomes so, counts for
    /// no other.
    fn unexplained(&self) -> BTreeMap<Print, BTreeSet<Life>> {
        let mut trial = Trial::default();
        let mut ends: Vec<(Life, &Crash)> = self.crashes().collect();
        ends.sort_unstable_by_key(|(life, end)| (end.at, *life));
        for (life, end) in ends {
            trial.hear(life, end);
        }
        trial.guilty
    }

    /// Who is guilty by the number of ends alone.
    fn often(&self) -> BTreeMap<Print, BTreeSet<Life>> {
        let mut lives: BTreeMap<Print, BTreeSet<Life>> = BTreeMap::new();
        for (life, end) in &self.crashes {
            for (print, _) in end.suspects() {
                lives.entry(print).or_default().insert(*life);
            }
        }
        lives.retain(|_, lives| lives.len() >= QUARANTINE_THRESHOLD);
        lives
    }
}

impl Crash {
    /// The requests that were there, without those that were cleared of it.
    fn suspects(&self) -> impl Iterator<Item = (Print, Involvement)> {
        let there = self.requests.iter().map(|(print, part)| (*print, *part));
        there.filter(|(_, part)| *part != Involvement::Cleared)
    }
}

/// A request that is not guilty so far.
#[derive(Clone, Debug, Default)]
struct Suspect {
    /// How many of its ends came soon behind the begin of its answer, as those do that a request causes.
    fresh: usize,
    /// All ends that it was at.
    lives: BTreeSet<Life>,
    /// Those that nobody who is guilty explains.
    own: BTreeSet<Life>,
}

/// Ends heard one after the other.
#[derive(Clone, Debug, Default)]
struct Trial {
    guilty: BTreeMap<Print, BTreeSet<Life>>,
    suspects: BTreeMap<Print, Suspect>,
}

impl Trial {
    fn hear(&mut self, life: Life, end: &Crash) {
        let is_guilty = |(print, _): (Print, Involvement)| self.guilty.contains_key(&print);
        let explained = end.suspects().any(is_guilty);
        for (print, part) in end.suspects() {
            if let Some(lives) = self.guilty.get_mut(&print) {
                lives.insert(life);
                continue;
            }
            let suspect = self.suspects.entry(print).or_default();
            suspect.fresh += usize::from(part == Involvement::Fresh);
            suspect.lives.insert(life);
            if !explained {
                suspect.own.insert(life);
            }
        }
        while let Some((print, suspect)) = self.worst() {
            self.convict(print, &suspect);
        }
    }

    /// One that was at enough ends; of several the one that nobody explains the most of, and that had run the least.
    fn worst(&self) -> Option<(Print, Suspect)> {
        let often = |suspect: &Suspect| {
            suspect.own.len() >= QUARANTINE_THRESHOLD || suspect.lives.len() >= GUILTY_ANYWAY
        };
        let often = self.suspects.iter().filter(|(_, suspect)| often(suspect));
        let worst = often.max_by_key(|(_, suspect)| (suspect.own.len(), suspect.fresh));
        worst.map(|(print, suspect)| (*print, suspect.clone()))
    }

    /// Convicts a request, and those that were at the same ends and can not be told from it.
    fn convict(&mut self, print: Print, worst: &Suspect) {
        let alike = |other: &Print, suspect: &mut Suspect| {
            let same = suspect.own == worst.own && suspect.fresh == worst.fresh;
            *other == print || (same && worst.own.len() >= QUARANTINE_THRESHOLD)
        };
        let alike = self.suspects.extract_if(.., alike);
        self.guilty
            .extend(alike.map(|(print, suspect)| (print, suspect.lives)));
        for suspect in self.suspects.values_mut() {
            suspect.own.retain(|life| !worst.own.contains(life));
        }
    }
}

/// Spreads a number over all bits.
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 31)).wrapping_mul(0x7fb5_d329_728e_a185);
    let number = (number ^ (number >> 27)).wrapping_mul(0x81da_def4_bc2d_d44d);
    number ^ (number >> 33)
}
