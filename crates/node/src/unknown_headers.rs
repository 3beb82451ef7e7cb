//! Words that upstreams say of themselves and that this program does not know: operators are told of each once, so that one
//! that came in with another version of the upstreams is seen before it does harm.

use super::*;

/// Words that are told of, at most: names are the upstreams' to choose.
const MAX_NAMES: usize = 32;

/// Bytes of a word that are told.
const MAX_NAME_BYTES: usize = 64;

/// Words that were told of.
#[derive(Debug, Default)]
pub(crate) struct UnknownHeaders(BTreeSet<String>);

impl UnknownHeaders {
    /// Writes a line of a word if it is a new one.
    pub fn log_if_new(&mut self, name: &str, upstream: &str) {
        let name = name.get(..MAX_NAME_BYTES).unwrap_or(name);
        if self.0.len() < MAX_NAMES && self.0.insert(name.to_owned()) {
            warn!(word = name, upstream; "upstream said something unknown");
        }
    }
}
