//! Connections of clients, which may send too much or nothing at all: how many are kept, how much of their unfinished heads, and
//! which one is closed for the others. A connection whose request was read whole is never closed for others.

use super::*;

new_key_type! {
    /// Key of an open connection.
    pub struct Key;
}

/// Bounds on the connections of one port.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Bounds {
    /// Open connections.
    pub connections: usize,
    /// Bytes of unfinished heads on all of them together.
    pub heads_bytes: u64,
}

/// What a new connection leads to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Opened {
    /// It is kept; another one is to be closed for it, if any.
    Kept(Key, Option<Key>),
    /// It is refused: the requests of all others were read whole.
    Refused,
}

/// What is expected on a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    /// The head of a request, of which bytes were received.
    Head { bytes: u64 },
    /// The rest of a request, or its response.
    Request {
        /// Holders of the request: the connection rests when none is left.
        holders: u32,
        /// Whether the request was read whole.
        is_read: bool,
    },
}

/// Time without progress behind which a response that is not read no longer keeps its connection open, in milliseconds.
pub const STALL_MS: u64 = 2_000;

/// An open connection.
#[derive(Clone, Copy, Debug)]
struct Connection {
    /// When something was last received, or the last response ended.
    active_at: Time,
    /// Since when the client takes nothing of what is written; `None` if nothing waits.
    blocked_since: Option<Time>,
    stage: Stage,
}

/// The open connections of one port.
#[derive(Clone, Debug)]
pub struct Connections {
    bounds: Bounds,
    /// Bytes of unfinished heads.
    heads_bytes: u64,
    open: SlotMap<Key, Connection>,
    /// The largest number of open connections so far.
    peak: usize,
}

impl Connection {
    /// Whether it may be closed for others: no request on it is at work, and no response that its client goes on reading.
    fn is_closable(&self, now: Time) -> bool {
        let is_at_work = matches!(self.stage, Stage::Request { is_read: true, .. });
        !is_at_work && (self.blocked_since.is_none() || self.is_stalled(now))
    }

    /// Whether the client has taken nothing of a response for too long.
    fn is_stalled(&self, now: Time) -> bool {
        self.blocked_since
            .is_some_and(|since| now.since(since) >= STALL_MS)
    }

    /// Bytes of an unfinished head.
    fn head_bytes(&self) -> u64 {
        match self.stage {
            Stage::Head { bytes } => bytes,
            Stage::Request { .. } => 0,
        }
    }
}

impl Connections {
    /// No connections, within bounds.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            heads_bytes: 0,
            open: SlotMap::with_key(),
            peak: 0,
        }
    }

    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.open.len()
    }

    /// The largest number of open connections so far.
    pub fn peak(&self) -> usize {
        self.peak
    }

    /// Bytes of unfinished heads on all connections.
    pub fn heads_bytes(&self) -> u64 {
        self.heads_bytes
    }

    /// Adds a connection. At the bound, the one on which nothing was received for longest is to be closed; it no longer counts.
    pub fn open(&mut self, now: Time) -> Opened {
        let mut closed = None;
        if self.open.len() >= self.bounds.connections {
            closed = self.close_one(now);
            if closed.is_none() {
                return Opened::Refused;
            }
        }
        let connection = Connection {
            active_at: now,
            blocked_since: None,
            stage: Stage::Head { bytes: 0 },
        };
        let key = self.open.insert(connection);
        self.peak = self.peak.max(self.open.len());
        Opened::Kept(key, closed)
    }

    /// Counts bytes that were received. Returns the connection to be closed if unfinished heads exceed their bound: the one with
    /// the most bytes, which no longer counts.
    pub fn receive(&mut self, key: Key, bytes: u64, now: Time) -> Option<Key> {
        let connection = self.open.get_mut(key)?;
        connection.active_at = now;
        let Stage::Head { bytes: head } = &mut connection.stage else {
            return None;
        };
        *head += bytes;
        self.heads_bytes += bytes;
        if self.heads_bytes <= self.bounds.heads_bytes {
            return None;
        }
        let largest = self.largest_head()?;
        self.remove(largest);
        Some(largest)
    }

    /// Adds a holder of a request whose head is complete.
    pub fn hold(&mut self, key: Key) {
        let Some(connection) = self.open.get_mut(key) else {
            return;
        };
        match &mut connection.stage {
            Stage::Head { bytes } => {
                self.heads_bytes -= *bytes;
                connection.stage = Stage::Request {
                    holders: 1,
                    is_read: false,
                };
            }
            Stage::Request { holders, .. } => *holders += 1,
        }
    }

    /// Notes that a request was read whole.
    pub fn finish_read(&mut self, key: Key) {
        if let Some(connection) = self.open.get_mut(key)
            && let Stage::Request { is_read, .. } = &mut connection.stage
        {
            *is_read = true;
        }
    }

    /// Removes a holder of a request; behind the last one the connection rests.
    pub fn release(&mut self, key: Key, now: Time) {
        let Some(connection) = self.open.get_mut(key) else {
            return;
        };
        let Stage::Request { holders, .. } = &mut connection.stage else {
            return;
        };
        *holders -= 1;
        if *holders == 0 {
            connection.active_at = now;
            connection.stage = Stage::Head { bytes: 0 };
        }
    }

    /// Bytes of the unfinished head on a connection; `None` if its head is complete, or it is closed.
    pub fn unfinished_head(&self, key: Key) -> Option<u64> {
        let connection = self.open.get(key)?;
        match connection.stage {
            Stage::Head { bytes } => Some(bytes),
            Stage::Request { .. } => None,
        }
    }

    /// Notes whether what is written to a connection waits for its client.
    pub fn set_blocked(&mut self, key: Key, is_blocked: bool, now: Time) {
        if let Some(connection) = self.open.get_mut(key) {
            let since = connection.blocked_since.unwrap_or(now);
            connection.blocked_since = is_blocked.then_some(since);
        }
    }

    /// Removes the connection that may be closed on which nothing was received for longest, as where descriptors are used up.
    pub fn close_one(&mut self, now: Time) -> Option<Key> {
        let closable = self.open.iter();
        let closable = closable.filter(|(_, connection)| connection.is_closable(now));
        let longest = closable.min_by_key(|(key, connection)| (connection.active_at, *key));
        let (closed, _) = longest?;
        self.remove(closed);
        Some(closed)
    }

    /// Removes the connections whose clients have taken nothing of a whole response for too long, where others wait for the memory
    /// of these.
    pub fn close_stalled(&mut self, now: Time) -> Vec<Key> {
        let open = self.open.iter();
        let stalled = open
            .filter(|(_, connection)| connection.is_stalled(now) && connection.is_closable(now));
        let stalled: Vec<Key> = stalled.map(|(key, _)| key).collect();
        for key in &stalled {
            self.remove(*key);
        }
        stalled
    }

    /// Removes a connection that ended or is closed.
    pub fn remove(&mut self, key: Key) {
        if let Some(connection) = self.open.remove(key) {
            self.heads_bytes -= connection.head_bytes();
        }
    }

    /// The connection with the most bytes of an unfinished head.
    fn largest_head(&self) -> Option<Key> {
        let open = self.open.iter();
        let largest = open.max_by_key(|(_, connection)| connection.head_bytes());
        largest.map(|(key, _)| key)
    }
}
