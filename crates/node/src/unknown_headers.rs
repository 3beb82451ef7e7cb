//! Platform headers of upstreams that this version does not recognize. Each is logged once, so that operators notice a header
//! which a new version of the upstreams introduces before it does harm.

use super::*;

/// Maximum number of names that are logged, since upstreams may send any number of them.
const MAX_NAMES: usize = 32;

/// Maximum length of a logged name, in bytes; longer ones are truncated.
const MAX_NAME_BYTES: usize = 64;

/// Names that were logged.
#[derive(Debug, Default)]
pub(crate) struct UnknownHeaders(BTreeSet<String>);

impl UnknownHeaders {
    /// Logs a name unless it was logged before or there are too many.
    pub fn log_if_new(&mut self, name: &str, upstream: &str) {
        let name = name.get(..MAX_NAME_BYTES).unwrap_or(name);
        if self.0.len() < MAX_NAMES && self.0.insert(name.to_owned()) {
            warn!(word = name, upstream; "upstream said something unknown");
        }
    }
}
