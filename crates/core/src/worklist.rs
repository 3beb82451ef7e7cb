//! Entries of an arena that one event handles one after the other.
//!
//! Handling one may remove others: ending a request sends or ends further ones, and a change of the list removes upstreams
//! in several steps. A key that was collected before such a step may name nothing after it, and indexing an arena with it
//! would end the instance with all of its requests.

use super::*;

/// Keys that were collected from an arena, each of which is looked up again at its turn.
pub(crate) struct Worklist<K>(std::vec::IntoIter<K>);

impl<K: slotmap::Key> Worklist<K> {
    /// The keys in the order in which they are to be handled.
    pub fn new(keys: impl IntoIterator<Item = K>) -> Self {
        let keys: Vec<K> = keys.into_iter().collect();
        Self(keys.into_iter())
    }

    /// The next key whose entry has not been removed meanwhile.
    pub fn next<V>(&mut self, arena: &SlotMap<K, V>) -> Option<K> {
        self.0.find(|key| arena.contains_key(*key))
    }
}
