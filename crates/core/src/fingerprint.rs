//! Fingerprints by which the attempts of a caller are recognized as one request.

use super::*;

/// Identifies a customer's request: the same for every attempt, on every instance. It has 64 bits and includes the
/// customer's name: a customer who searched for another body with the same fingerprint would collide only with its own
/// requests.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestFingerprint(pub u64);

impl RequestFingerprint {
    /// The fingerprint of a customer's request; `content` is the digest of service or path, and of the body.
    pub fn new(customer: &str, content: u64) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&content.to_le_bytes());
        hasher.update(customer.as_bytes());
        Self(first(&hasher.finalize()))
    }
}

/// The first 64 bits of a hash.
pub fn first(hash: &blake3::Hash) -> u64 {
    let bytes = hash.as_bytes().first_chunk().copied();
    u64::from_le_bytes(bytes.unwrap_or_default())
}

impl Display for RequestFingerprint {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}
