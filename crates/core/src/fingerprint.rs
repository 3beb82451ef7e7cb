//! What tells that two tries of a caller are one request.

use super::*;

/// Names a request of a customer: the same for every try, at every instance. 64 bits, of which the customer's name is a
/// part: who looked for another body with the same print would find one of its own.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestFingerprint(pub u64);

impl RequestFingerprint {
    /// The print of what a customer asks; `fingerprint` is the digest of service or path, and of the body.
    pub fn new(customer: &str, fingerprint: u64) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&fingerprint.to_le_bytes());
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
