//! Words that upstreams say of themselves and that this program does not know: operators are told of each once, so that one
//! that came in with another version of the upstreams is seen before it does harm.

use super::*;

/// Words that are told of, at most: names are the upstreams' to choose.
const MOST: usize = 32;

/// Bytes of a word that are told.
const LENGTH: usize = 64;

/// Words that were told of.
#[derive(Debug, Default)]
pub(crate) struct UnknownHeaders(BTreeSet<String>);

impl UnknownHeaders {
    /// Writes a line of a word if it is a new one.
    pub fn note(&mut self, word: &str, upstream: &str) {
        let word = word.get(..LENGTH).unwrap_or(word);
        if self.0.len() < MOST && self.0.insert(word.to_owned()) {
            warn!(word, upstream; "upstream said something unknown");
        }
    }
}
