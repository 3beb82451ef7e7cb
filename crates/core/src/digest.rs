//! Rolling digest of the tokens of a response.

/// Digest of all tokens from position 0 on: 16 bytes of BLAKE3, chained token by token.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Digest(pub [u8; 16]);

impl Digest {
    /// The digest of `tokens` from the start of a response.
    pub fn of(tokens: &[u32]) -> Self {
        tokens
            .iter()
            .fold(Self::default(), |digest, token| digest.push(*token))
    }

    /// The digest after one more token.
    #[must_use]
    pub fn push(self, token: u32) -> Self {
        let mut input = [0; 20];
        input[..16].copy_from_slice(&self.0);
        input[16..].copy_from_slice(&token.to_le_bytes());
        let mut digest = [0; 16];
        digest.copy_from_slice(&blake3::hash(&input).as_bytes()[..16]);
        Self(digest)
    }
}
