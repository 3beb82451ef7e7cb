//! Ended incarnations of upstreams as they are announced to other instances: at once, again with the next datagrams to
//! all, and together to an instance that has just started.

use super::*;
use std::collections::VecDeque;

/// Maximum number of incarnations in one datagram of their own: 900 bytes, so that it is not fragmented.
const DATAGRAM_MAX: usize = 40;

/// Maximum number of incarnations that are repeated in one datagram: 180 bytes.
const REPEATED_MAX: usize = 8;

/// Number of datagrams to all instances that repeat an announcement. With a tenth of the datagrams lost, one instance
/// in a thousand learns of an end by meeting it.
const REPEATS: u32 = 2;

/// Time for which an announcement is repeated: by then other instances have met the end or learnt of it.
const REPEAT_FOR: Duration = Duration::from_secs(5);

/// Maximum number of incarnations that are kept for instances that start; the oldest are dropped first.
const KEPT_MAX: usize = 1_000;

/// Announcement of this instance that is repeated.
#[derive(Debug)]
struct Repeated {
    announced_at: Instant,
    incarnation: Incarnation,
    left: u32,
}

/// Ended incarnations known to this instance, and which of them it repeats.
#[derive(Debug, Default)]
pub struct EndedAnnouncements {
    /// All known ones, oldest first.
    known: VecDeque<Incarnation>,
    /// Own announcements, oldest first.
    repeated: VecDeque<Repeated>,
}

impl EndedAnnouncements {
    /// Adds incarnations that this instance announces now.
    pub fn announce(&mut self, incarnations: &[Incarnation], now: Instant) {
        self.learn(incarnations);
        let repeated = |incarnation: &Incarnation| Repeated {
            announced_at: now,
            incarnation: *incarnation,
            left: REPEATS,
        };
        self.repeated.extend(incarnations.iter().map(repeated));
    }

    /// Adds incarnations that another instance announced.
    pub fn learn(&mut self, incarnations: &[Incarnation]) {
        for incarnation in incarnations {
            if !self.known.contains(incarnation) {
                self.known.push_back(*incarnation);
            }
        }
        let excess = self.known.len().saturating_sub(KEPT_MAX);
        self.known.drain(..excess);
    }

    /// Announcements to repeat in a datagram to all instances.
    pub fn repeat(&mut self, now: Instant) -> Vec<peers::Life> {
        self.repeated
            .retain(|repeated| repeated.left > 0 && now - repeated.announced_at < REPEAT_FOR);
        let repeated = self.repeated.iter_mut().take(REPEATED_MAX);
        let repeated = repeated.map(|repeated| {
            repeated.left -= 1;
            datagram::encode_incarnation(repeated.incarnation)
        });
        repeated.collect()
    }

    /// All known ones in chunks that fit into a datagram each.
    pub fn chunks(&self) -> Vec<Vec<peers::Life>> {
        let known: Vec<Incarnation> = self.known.iter().copied().collect();
        chunks(&known)
    }
}

/// Encodes incarnations in chunks that fit into a datagram each.
pub fn chunks(incarnations: &[Incarnation]) -> Vec<Vec<peers::Life>> {
    let encode = |incarnation: &Incarnation| datagram::encode_incarnation(*incarnation);
    let chunks = incarnations.chunks(DATAGRAM_MAX);
    chunks
        .map(|chunk| chunk.iter().map(encode).collect())
        .collect()
}
