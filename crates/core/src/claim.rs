//! Claims of idempotency keys: grouped by time slices and buckets, stored in the key-value store.
//!
//! Correctness rests on the compare-and-swap of a bucket's value alone. A bucket's lease expires only after every
//! instance refuses the keys in it as too old.

use super::*;

/// Number of buckets of each time slice.
pub const BUCKETS: u64 = 2;

/// Length of a time slice, in milliseconds.
pub const SLICE_MS: u64 = 1_000;

/// Length of the interval whose slices share one lease, in milliseconds.
pub const LEASE_MS: u64 = 60_000;

/// Base of the lease identifiers: `well` in ASCII in the upper half.
const LEASE_BASE: u64 = 0x7765_6c6c_0000_0000;

/// Size of an encoded claim, in bytes.
pub const CLAIM_BYTES: usize = 32;

/// A claim of an idempotency key by one request.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct Claim {
    /// Digest of service and body; for a continuation, the upstream it is sent to.
    pub fingerprint: u64,
    /// Hash of the key and the customer's name, so that customers' keys do not collide.
    pub key: u128,
    /// Random number of this submission, which shows whose claim was stored if an answer of the store is lost.
    pub nonce: u64,
    /// Timestamp in the caller's key.
    pub stamp: Time,
}

/// Identifies the bucket that stores a claim.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct BucketId {
    /// Bucket within the slice, below [`BUCKETS`].
    pub bucket: u64,
    /// Time slice: the key's timestamp divided by [`SLICE_MS`].
    pub slice: u64,
}

/// The claims of one bucket, as stored in the key-value store.
#[derive(Clone, Debug, Default)]
pub struct Bucket {
    /// Fingerprint and nonce of each claim, by its key.
    claims: HashMap<u128, (u64, u64)>,
}

impl Bucket {
    /// Adds a claim unless its key is taken; returns whose claim holds.
    pub fn add(&mut self, claim: &Claim) -> event::ClaimOutcome {
        match self.claims.get(&claim.key) {
            None => {
                self.claims
                    .insert(claim.key, (claim.fingerprint, claim.nonce));
                event::ClaimOutcome::Claimed
            }
            Some((_, nonce)) if *nonce == claim.nonce => event::ClaimOutcome::Claimed,
            Some((fingerprint, _)) => event::ClaimOutcome::Taken(*fingerprint),
        }
    }

    /// Decodes a bucket's value; `None` if it is malformed.
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        let (records, rest) = bytes.as_chunks::<CLAIM_BYTES>();
        if !rest.is_empty() {
            return None;
        }
        let claims = records
            .iter()
            .map(|record| {
                let key = u128::from_le_bytes(*record.first_chunk()?);
                let fingerprint = u64::from_le_bytes(*record[16..].first_chunk()?);
                let nonce = u64::from_le_bytes(*record[24..].first_chunk()?);
                Some((key, (fingerprint, nonce)))
            })
            .collect::<Option<_>>()?;
        Some(Self { claims })
    }

    /// Whether there is no claim.
    pub fn is_empty(&self) -> bool {
        self.claims.is_empty()
    }

    /// Number of claims.
    pub fn len(&self) -> usize {
        self.claims.len()
    }

    /// The encoded claims, [`CLAIM_BYTES`] each.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(self.claims.len() * CLAIM_BYTES);
        for (key, (fingerprint, nonce)) in &self.claims {
            bytes.extend_from_slice(&key.to_le_bytes());
            bytes.extend_from_slice(&fingerprint.to_le_bytes());
            bytes.extend_from_slice(&nonce.to_le_bytes());
        }
        bytes
    }
}

impl Claim {
    /// The claim of `key` for a customer's request; `None` if the key is no `UUIDv7` or its timestamp is out of range.
    pub fn new(
        key: u128,
        customer: &str,
        fingerprint: u64,
        nonce: u64,
        now: Time,
        settings: &Settings,
    ) -> Option<Self> {
        let stamp = uuid_v7_timestamp(key)?;
        let hash = blake3::keyed_hash(
            blake3::hash(customer.as_bytes()).as_bytes(),
            &key.to_le_bytes(),
        );
        let claim = Self {
            fingerprint,
            key: u128::from_le_bytes(*hash.as_bytes().first_chunk()?),
            nonce,
            stamp,
        };
        claim.is_current(now, settings).then_some(claim)
    }

    /// The claim of one continuation of a non-repeatable generation: only one instance may start the attempt of this
    /// number. Its fingerprint is the upstream that it is sent to, so that another instance finds its stream.
    pub fn continuation(generation: u128, number: u32, upstream: u64, nonce: u64) -> Option<Self> {
        let mut hasher = blake3::Hasher::new_derive_key("wellplank continuation");
        hasher.update(&generation.to_le_bytes());
        hasher.update(&number.to_le_bytes());
        Some(Self {
            fingerprint: upstream,
            key: u128::from_le_bytes(*hasher.finalize().as_bytes().first_chunk()?),
            nonce,
            stamp: uuid_v7_timestamp(generation)?,
        })
    }

    /// Whether the key is neither too old nor from the future.
    pub fn is_current(&self, now: Time, settings: &Settings) -> bool {
        self.stamp <= now.after(settings.key_lead_max_ms)
            && now.since(self.stamp) <= settings.key_age_max_ms
    }

    /// The bucket that stores the claim.
    pub fn bucket_id(&self) -> BucketId {
        BucketId {
            bucket: self.key as u64 % BUCKETS,
            slice: self.stamp.0 / SLICE_MS,
        }
    }
}

impl BucketId {
    /// Identifier of the lease of the bucket's entry.
    pub fn lease(&self) -> u64 {
        LEASE_BASE + self.slice * SLICE_MS / LEASE_MS
    }

    /// Time to live of a lease, in milliseconds: until every instance refuses the keys under it, with a margin for
    /// clock skew.
    pub fn ttl_ms(settings: &Settings) -> u64 {
        LEASE_MS + settings.key_age_max_ms + 4 * settings.key_lead_max_ms
    }
}

/// Timestamp of a `UUIDv7`; `None` for other versions.
fn uuid_v7_timestamp(key: u128) -> Option<Time> {
    let key = uuid::Uuid::from_u128(key);
    let (seconds, nanos) = key.get_timestamp()?.to_unix();
    let version = key.get_version_num();
    (version == 7).then(|| Time(seconds * 1000 + u64::from(nanos) / 1_000_000))
}
