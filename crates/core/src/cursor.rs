//! Cursors with which a caller resumes an interrupted response on any instance.

use super::*;

const BODY: usize = 60;
const MAC: usize = 16;
const VERSION: u8 = 1;

/// Length of an encoded cursor, in bytes.
pub const LENGTH: usize = 1 + BODY + MAC;

/// Key of the MAC that authenticates cursors; the same on every instance.
pub type Secret = [u8; 32];

/// A position in one generation and where the rest of it is available.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Cursor {
    /// Number of the attempt that produced the token before this position.
    pub attempt: u32,
    /// Digest of the tokens before this position.
    pub digest: Digest,
    /// Identifier of the generation, the same across all its attempts and instances.
    pub generation: u128,
    /// Number of tokens before this position.
    pub position: u32,
    /// First bytes of the digest of the request that the generation answers.
    pub request: u64,
    /// First bytes of the digest of the upstream's name.
    pub upstream: u64,
    /// Reserved; zero.
    pub reserved: u32,
}

impl Cursor {
    /// Decodes a cursor; `None` if its version, length or MAC is wrong.
    pub fn decode(bytes: &[u8], secret: &Secret) -> Option<Self> {
        if bytes.len() != LENGTH || bytes[0] != VERSION {
            return None;
        }
        let (body, mac) = bytes.split_at(1 + BODY);
        if Self::mac(body, secret) != mac {
            return None;
        }
        let mut rest = &body[1..];
        Some(Self {
            generation: u128::from_le_bytes(take(&mut rest)?),
            digest: Digest(take(&mut rest)?),
            request: u64::from_le_bytes(take(&mut rest)?),
            upstream: u64::from_le_bytes(take(&mut rest)?),
            attempt: u32::from_le_bytes(take(&mut rest)?),
            position: u32::from_le_bytes(take(&mut rest)?),
            reserved: u32::from_le_bytes(take(&mut rest)?),
        })
    }

    /// The encoded and authenticated cursor.
    pub fn encode(&self, secret: &Secret) -> [u8; LENGTH] {
        let mut bytes = [0; LENGTH];
        bytes[0] = VERSION;
        bytes[1..17].copy_from_slice(&self.generation.to_le_bytes());
        bytes[17..33].copy_from_slice(&self.digest.0);
        bytes[33..41].copy_from_slice(&self.request.to_le_bytes());
        bytes[41..49].copy_from_slice(&self.upstream.to_le_bytes());
        bytes[49..53].copy_from_slice(&self.attempt.to_le_bytes());
        bytes[53..57].copy_from_slice(&self.position.to_le_bytes());
        bytes[57..61].copy_from_slice(&self.reserved.to_le_bytes());
        let mac = Self::mac(&bytes[..=BODY], secret);
        bytes[1 + BODY..].copy_from_slice(&mac);
        bytes
    }

    fn mac(body: &[u8], secret: &Secret) -> [u8; MAC] {
        let mut mac = [0; MAC];
        mac.copy_from_slice(&blake3::keyed_hash(secret, body).as_bytes()[..MAC]);
        mac
    }
}

/// The generation of an encoded cursor without a check of its MAC, for the edge that got the cursor from the core.
pub fn generation(bytes: &[u8; LENGTH]) -> u128 {
    bytes[1..]
        .first_chunk()
        .map_or(0, |generation| u128::from_le_bytes(*generation))
}

fn take<const N: usize>(rest: &mut &[u8]) -> Option<[u8; N]> {
    let (head, tail) = rest.split_first_chunk()?;
    *rest = tail;
    Some(*head)
}
