//! Tokens that carry check digits of the exact prefix that they continue.

use super::*;

/// Bits of a token that hold the check digits; the rest is random.
const CHECK_BITS: u32 = 20;

/// Mask of the check digits.
const CHECK: u64 = (1 << CHECK_BITS) - 1;

/// State of an answer: a hash of its prompt and all tokens so far.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Chain(u64);

impl Chain {
    /// The chain of a prompt without any token.
    pub fn new(prompt: &Value) -> Self {
        let hash = blake3::hash(prompt.to_string().as_bytes());
        let bytes = hash.as_bytes().first_chunk();
        Self(u64::from_le_bytes(*bytes.expect("a digest is longer")))
    }

    /// Whether `token` continues exactly this chain.
    pub fn continues(self, token: u32) -> bool {
        u64::from(token) & CHECK == self.0 & CHECK
    }

    /// A new token that continues this chain; another one each time.
    pub fn next(self, random: &mut Pcg64Mcg) -> u32 {
        let noise: u32 = random.random_range(0..1 << (32 - CHECK_BITS));
        (noise << CHECK_BITS) | (self.0 & CHECK) as u32
    }

    /// The chain after one more token.
    #[must_use]
    pub fn push(self, token: u32) -> Self {
        let mut mixed = (self.0 ^ u64::from(token)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        mixed ^= mixed >> 29;
        mixed = mixed.wrapping_mul(0xbf58_476d_1ce4_e5b9);
        Self(mixed ^ (mixed >> 32))
    }
}

/// Position of the first token that does not continue its prefix; `None` if all do.
pub fn first_wrong(prompt: &Value, tokens: &[u32]) -> Option<usize> {
    let mut chain = Chain::new(prompt);
    for (position, token) in tokens.iter().enumerate() {
        if !chain.continues(*token) {
            return Some(position);
        }
        chain = chain.push(*token);
    }
    None
}

/// Text of a token: its digits and the time at which it was generated.
pub fn text(token: u32) -> String {
    format!(" {token:08x}@{}", micros())
}

/// Time since the text of a token was made, in milliseconds; `None` if it has no time.
pub fn delay_ms(text: &str) -> Option<f64> {
    let (_, stamp) = text.rsplit_once('@')?;
    let stamp: u64 = stamp.parse().ok()?;
    Some(micros().saturating_sub(stamp) as f64 / 1_000.0)
}

/// Microseconds since the Unix epoch.
fn micros() -> u64 {
    let epoch = std::time::UNIX_EPOCH;
    let now = std::time::SystemTime::now().duration_since(epoch);
    now.unwrap_or_default().as_micros() as u64
}
