//! The parts of a machine's memory that clients may have an instance hold.

/// Memory that an instance takes without clients, in bytes. Connections of callers take up to half of the rest.
const INSTANCE_BYTES: u64 = 24 << 20;

/// Memory that a connection takes while requests and responses follow each other on it, in bytes, without bodies.
const CONNECTION_BYTES: u64 = 64 << 10;

/// Connections of callers that are kept whatever the memory.
const CONNECTIONS_MIN: u64 = 32;

/// Divisors of the memory that give its parts.
const ANSWERS_DIVISOR: u64 = 8;
const BODIES_DIVISOR: u64 = 8;
const HEADS_DIVISOR: u64 = 32;
const HELD_DIVISOR: u64 = 4;

/// Bytes of the bodies that are being read, whatever the memory.
const BODIES_BYTES_MAX: u64 = 32 << 20;

/// The parts, each the most that clients may have an instance hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) struct Parts {
    /// Bytes of answers that are being read or written.
    pub answers_bytes: u64,
    /// Bytes of bodies that are being read.
    pub bodies_bytes: u64,
    /// Connections of callers.
    pub connections: usize,
    /// Bytes of unfinished heads.
    pub heads_bytes: u64,
    /// Bytes of requests, and of answers that callers have not read.
    pub held_bytes: u64,
}

impl Parts {
    /// The parts of so many bytes.
    pub fn of(memory_bytes: u64) -> Self {
        let left = memory_bytes.saturating_sub(INSTANCE_BYTES);
        let connections = (left / 2 / CONNECTION_BYTES).max(CONNECTIONS_MIN);
        Self {
            answers_bytes: memory_bytes / ANSWERS_DIVISOR,
            bodies_bytes: BODIES_BYTES_MAX.min(memory_bytes / BODIES_DIVISOR),
            connections: connections as usize,
            heads_bytes: memory_bytes / HEADS_DIVISOR,
            held_bytes: memory_bytes / HELD_DIVISOR,
        }
    }
}
