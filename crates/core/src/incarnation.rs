//! Incarnations of upstreams: a process that restarts under the same name is another upstream.

use super::*;

/// Large odd factor that spreads start times over all bits.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;

/// One incarnation of an upstream, from its start to its end. Nothing known of one applies to another under the same
/// name. For an upstream that does not report its start time, `born` is 0 and only the name identifies it.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Incarnation {
    /// Hash of the upstream's name, as cursors carry it.
    pub id: u64,
    /// Start time by the upstream's own clock, in milliseconds since the Unix epoch; 0 if not reported.
    pub born: u64,
}

impl Display for Incarnation {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        write!(formatter, "{:016x}-{}", self.id, self.born)
    }
}

impl Incarnation {
    /// The incarnation of the upstream `name` that started at `born`.
    pub fn new(name: &str, born: u64) -> Self {
        let id = upstream::id(name);
        Self { id, born }
    }

    /// Hash of name and start time; the name's hash if the start time is not reported.
    pub(crate) fn hash_u64(self) -> u64 {
        self.id ^ self.born.wrapping_mul(SPREAD)
    }

    /// The range of all incarnations under the same name.
    pub(crate) fn same_name_range(self) -> RangeInclusive<Self> {
        let born = |born| Self { born, ..self };
        born(0)..=born(u64::MAX)
    }
}
