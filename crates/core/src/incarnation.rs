//! Lives of upstreams: what starts again under a name is another upstream.

use super::*;

/// Spreads births over all bits: a large odd number.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// One life of an upstream, from its start to its end. What is told or believed of one life says nothing of another
/// one under the same name. Of an upstream that does not say when it was born the birth is 0, and its name alone tells.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Incarnation {
    /// Hash of its name, as cursors carry it.
    pub id: u64,
    /// When it started, by its own clock, in milliseconds since the Unix epoch; 0 where it does not say.
    pub born: u64,
}

impl Display for Incarnation {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        write!(formatter, "{:016x}-{}", self.id, self.born)
    }
}

impl Incarnation {
    /// The life that an upstream of this name began at a time.
    pub fn new(name: &str, born: u64) -> Self {
        let id = upstream::id(name);
        Self { id, born }
    }

    /// One number that stands for it: its name's hash where it does not say when it was born.
    pub(crate) fn hash_u64(self) -> u64 {
        self.id ^ self.born.wrapping_mul(SPREAD)
    }

    /// Every life that may be known under the same name.
    pub(crate) fn same_name_range(self) -> RangeInclusive<Self> {
        let born = |born| Self { born, ..self };
        born(0)..=born(u64::MAX)
    }
}
