//! Which requests end the upstreams that run them ("poison requests"): what instances saw, and what follows from it.
//!
//! An upstream that ends takes with it all that ran or waited there, so one end tells little of one request. The account
//! has of each life that ended unplanned which requests were there; accounts of several instances merge, in any order and as often
//! as they are told. A request is guilty that was there at three ends which no other guilty request explains. The most
//! often present is found first and explains its ends away, so those who only ran beside it are not blamed for them. An answer
//! that comes whole clears a request of all ends before it.

use super::*;

/// Ends by which a request is guilty: a caller's first try and two more end one upstream each, and a request that would end
/// none is there at three ends within its time only if a twentieth of all upstreams end a second.
pub const GUILTY: usize = 3;

/// Ends kept, at most: those of 170 guilty requests, or a kilobyte for each of 512 with some forty requests each. Beyond it those
/// that no request is guilty by go first, then the oldest.
const KEPT: usize = 512;

/// Requests kept of one end, at most: as many as an upstream of the largest sites runs at once.
const THERE: usize = 64;

/// Time for which an end is kept, in milliseconds: a day. A request that was refused for so long is tried once more.
const LAPSES_MS: u64 = 24 * 3_600_000;

/// What is known of a request that was at an upstream when it ended. Of two that are told the later one counts.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Part {
    /// Nothing of its answer had come from there.
    Waited,
    /// A part of its answer had come from there.
    Ran,
    /// It was answered whole since.
    Cleared,
}

/// The unplanned end of one life of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct End {
    /// When the first instance saw it.
    pub at: Time,
    /// The requests that ran or waited there.
    pub there: BTreeMap<Print, Part>,
}

/// Unplanned ends of upstreams.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Account {
    ends: BTreeMap<Life, End>,
}

impl Account {
    /// Notes that a request was at an upstream that ended; whether that is news.
    pub fn add(&mut self, life: Life, print: Print, part: Part, at: Time) -> bool {
        let end = self.ends.entry(life).or_insert_with(|| End {
            at,
            there: BTreeMap::new(),
        });
        end.at = end.at.min(at);
        if end.there.len() >= THERE && !end.there.contains_key(&print) {
            return false;
        }
        let known = end.there.insert(print, part);
        let before = known.filter(|before| *before >= part);
        if let Some(before) = before {
            end.there.insert(print, before);
        }
        before.is_none()
    }

    /// Clears a request of all ends so far; what is to be told of it.
    #[must_use]
    pub fn clear(&mut self, print: Print) -> Self {
        let mut cleared = Self::default();
        for (life, end) in &mut self.ends {
            if let Some(part) = end.there.get_mut(&print)
                && *part != Part::Cleared
            {
                *part = Part::Cleared;
                cleared.add(*life, print, Part::Cleared, end.at);
            }
        }
        cleared
    }

    /// The ends at which a request was, of which it was not cleared.
    pub fn lives(&self, print: Print) -> impl Iterator<Item = Life> {
        let there = move |end: &End| {
            end.there
                .get(&print)
                .is_some_and(|part| *part != Part::Cleared)
        };
        let ends = self.ends.iter();
        ends.filter(move |(_, end)| there(end))
            .map(|(life, _)| *life)
    }

    /// Ends in the order of their lives.
    pub fn ends(&self) -> impl Iterator<Item = (Life, &End)> {
        self.ends.iter().map(|(life, end)| (*life, end))
    }

    /// Whether the end of a life is known.
    pub fn has(&self, life: Life) -> bool {
        self.ends.contains_key(&life)
    }

    /// Whether no end is known.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// Ends known.
    pub fn len(&self) -> usize {
        self.ends.len()
    }

    /// What accounts that hold the same have in common, whatever order they were told in; 0 for an empty one.
    pub fn digest(&self) -> u64 {
        let parts = self.ends.iter().flat_map(|(life, end)| {
            let there = end.there.iter();
            there.map(|(print, part)| mix(life.number() ^ mix(print.0 ^ (*part as u64 + 1))))
        });
        parts.fold(0, |digest, part| digest ^ part)
    }

    /// Takes in another account; what of it was news.
    #[must_use]
    pub fn merge(&mut self, other: &Self) -> Self {
        let mut news = Self::default();
        for (life, end) in &other.ends {
            for (print, part) in &end.there {
                if self.add(*life, *print, *part, end.at) {
                    news.add(*life, *print, *part, end.at);
                }
            }
        }
        news
    }

    /// The part of it that one request is guilty by.
    #[must_use]
    pub fn of(&self, print: Print) -> Self {
        let mut part = Self::default();
        for life in self.lives(print) {
            let end = &self.ends[&life];
            part.add(life, print, end.there[&print], end.at);
        }
        part
    }

    /// Whether an end has lapsed.
    pub fn lapses(&self, now: Time) -> bool {
        self.ends.values().any(|end| now.since(end.at) >= LAPSES_MS)
    }

    /// Forgets ends that lapsed, and those beyond what is kept.
    pub fn trim(&mut self, rule: Guilt, now: Time) {
        self.ends.retain(|_, end| now.since(end.at) < LAPSES_MS);
        if self.ends.len() <= KEPT {
            return;
        }
        let guilty = self.guilty(rule);
        let condemns = |end: &End| end.there.keys().any(|print| guilty.contains_key(print));
        let order = |(life, end): (&Life, &End)| (condemns(end), end.at, *life);
        let mut ends: Vec<(bool, Time, Life)> = self.ends.iter().map(order).collect();
        ends.sort_unstable();
        for (_, _, life) in &ends[..ends.len() - KEPT] {
            self.ends.remove(life);
        }
    }

    /// The guilty requests, each with the ends that it is guilty by.
    pub fn guilty(&self, rule: Guilt) -> BTreeMap<Print, BTreeSet<Life>> {
        match rule {
            Guilt::Explained => self.unexplained(),
            Guilt::Lives => self.often(),
            Guilt::Off => BTreeMap::new(),
        }
    }

    /// Who is guilty by ends in the order in which they came. The end of a request that is guilty by then, or becomes so, counts for
    /// no other.
    fn unexplained(&self) -> BTreeMap<Print, BTreeSet<Life>> {
        let mut trial = Trial::default();
        let mut ends: Vec<(Life, &End)> = self.ends().collect();
        ends.sort_unstable_by_key(|(life, end)| (end.at, *life));
        for (life, end) in ends {
            trial.hear(life, end);
        }
        let guilty = trial.convicts.into_iter().flat_map(Convicts::each);
        guilty.collect()
    }

    /// Who is guilty by the number of ends alone.
    fn often(&self) -> BTreeMap<Print, BTreeSet<Life>> {
        let mut lives: BTreeMap<Print, BTreeSet<Life>> = BTreeMap::new();
        for (life, end) in &self.ends {
            for (print, _) in end.suspects() {
                lives.entry(print).or_default().insert(*life);
            }
        }
        lives.retain(|_, lives| lives.len() >= GUILTY);
        lives
    }
}

impl End {
    /// The requests that were there, and whether nothing had come of their answers, without those that were cleared of it.
    fn suspects(&self) -> impl Iterator<Item = (Print, bool)> {
        let there = self
            .there
            .iter()
            .filter(|(_, part)| **part != Part::Cleared);
        there.map(|(print, part)| (*print, *part == Part::Waited))
    }
}

/// Ends of which nobody who is guilty explains one.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
struct Suspect {
    lives: BTreeSet<Life>,
    /// How many of them nothing had come from yet: of two that were there as often, who had run for a while ended nothing in that
    /// while.
    waited: usize,
}

/// Requests that were found guilty by the same ends, and can not be told from each other.
#[derive(Clone, Debug)]
struct Convicts {
    lives: BTreeSet<Life>,
    prints: BTreeSet<Print>,
}

impl Convicts {
    fn each(self) -> impl Iterator<Item = (Print, BTreeSet<Life>)> {
        let lives = self.lives;
        self.prints
            .into_iter()
            .map(move |print| (print, lives.clone()))
    }
}

/// Ends heard one after the other.
#[derive(Clone, Debug, Default)]
struct Trial {
    convicts: Vec<Convicts>,
    suspects: BTreeMap<Print, Suspect>,
}

impl Trial {
    fn hear(&mut self, life: Life, end: &End) {
        let there: BTreeMap<Print, bool> = end.suspects().collect();
        let mut explained = false;
        for convicts in &mut self.convicts {
            let present = |print: &&Print| there.contains_key(*print);
            let present: BTreeSet<Print> =
                convicts.prints.iter().filter(present).copied().collect();
            if !present.is_empty() {
                explained = true;
                convicts.prints = present;
            }
        }
        if explained {
            return;
        }
        for (print, waited) in there {
            let suspect = self.suspects.entry(print).or_default();
            suspect.lives.insert(life);
            suspect.waited += usize::from(waited);
        }
        while let Some(worst) = self.worst() {
            self.convict(worst);
        }
    }

    /// Of those that were at enough ends, one whose answers came least.
    fn worst(&self) -> Option<Suspect> {
        let often = |suspect: &&Suspect| suspect.lives.len() >= GUILTY;
        let often = self.suspects.values().filter(often);
        often.max_by_key(|suspect| suspect.waited).cloned()
    }

    fn convict(&mut self, worst: Suspect) {
        let alike = self.suspects.extract_if(.., |_, suspect| *suspect == worst);
        let prints = alike.map(|(print, _)| print).collect();
        for suspect in self.suspects.values_mut() {
            suspect.lives.retain(|life| !worst.lives.contains(life));
            suspect.waited = suspect.waited.min(suspect.lives.len());
        }
        self.convicts.push(Convicts {
            lives: worst.lives,
            prints,
        });
    }
}

/// Spreads a number over all bits.
fn mix(number: u64) -> u64 {
    let number = (number ^ (number >> 31)).wrapping_mul(0x7fb5_d329_728e_a185);
    let number = (number ^ (number >> 27)).wrapping_mul(0x81da_def4_bc2d_d44d);
    number ^ (number >> 33)
}
