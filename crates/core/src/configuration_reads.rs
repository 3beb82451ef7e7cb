//! How an instance reads the configuration: which source it is read from, how often, and when it takes effect.

use super::*;
use informer::Informer;
use informer_io::{Call, Consistency, Output, Source, Topic};

/// Pauses before the reads of a configuration that peers are known to have, in milliseconds. These reads are
/// serializable: they may be some hundred milliseconds old in simulation, and cost a tenth of linearizable ones.
/// The read after them is linearizable. The first pause lets more changes accumulate.
pub(crate) const READ_PAUSES_MS: [u64; 2] = [200, 300];

/// Sum of [`READ_PAUSES_MS`].
pub(crate) const READ_PAUSES_TOTAL_MS: u64 = READ_PAUSES_MS[0] + READ_PAUSES_MS[1];

/// Size in bytes from which a configuration is read only once, after the first pause: each read of half a megabyte
/// occupies a 10 Mbit/s link for half a second, and little time is left to apply it.
pub(crate) const LARGE_CONFIG_BYTES: usize = 64 << 10;

/// Pause before the read of a configuration from another instance, in milliseconds: a report may have passed the
/// announcement of the instance before this one.
const PEER_READ_PAUSE_MS: u64 = 10;

/// Pause after a call of another instance that has no configuration yet, in milliseconds.
const FIRST_READ_PAUSE_MS: u64 = 300;

/// A read of a configuration that peers have.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingRead {
    pub at: Time,
    pub source: Source,
    /// Index in [`READ_PAUSES_MS`] of a read of the store.
    pub step: usize,
}

impl Informer {
    pub(crate) fn handle_configuration(
        &mut self,
        call: Call,
        bytes: usize,
        config: Option<Arc<Config>>,
        position: Position,
        now: Time,
    ) {
        let followed = self.follows(Topic::Configuration);
        if let Some(config) = config {
            self.config_bytes = bytes;
            self.apply_configuration(config);
        }
        if followed {
            // The next watch must begin with a read.
            self.configuration.position = None;
            self.pending_read = match self.pending_read {
                Some(PendingRead { step, .. })
                    if self.is_configuration_behind() && step < READ_PAUSES_MS.len() =>
                {
                    let pause = READ_PAUSES_MS.get(step + 1).copied().unwrap_or(0);
                    Some(PendingRead {
                        at: now.after(pause),
                        source: Source::Store,
                        step: step + 1,
                    })
                }
                _ => None,
            };
        } else if call.consistency == Consistency::Linearizable {
            self.configuration.position = Some(position);
        }
    }

    /// Puts a configuration in force, unless it is older than the present one.
    pub(crate) fn apply_configuration(&mut self, config: Arc<Config>) {
        if Some(config.revision) <= self.active_revision {
            return;
        }
        self.active_revision = Some(config.revision);
        self.outputs.push(Output::Configuration(config));
        // A standby may have read it while the watcher is silent; otherwise its peers would learn of it a second
        // later.
        match self.role {
            Role::Standby | Role::Watcher => self.outputs.push(Output::AnnounceConfiguration),
            Role::Follower => self.outputs.push(Output::PassOnConfiguration),
            Role::Independent => {}
        }
    }

    /// Handles the configuration of another instance. If it is not newer, the store is read.
    pub(crate) fn handle_peer_configuration(
        &mut self,
        id: u64,
        bytes: usize,
        config: Option<Arc<Config>>,
        now: Time,
    ) {
        if self.calls.remove(&id).is_none() {
            return;
        }
        self.configuration.record_peer_answer();
        let before = self.active_revision;
        if let Some(config) = config {
            self.config_bytes = bytes;
            self.apply_configuration(config);
        }
        if self.active_revision == before {
            self.retry_configuration(now);
        } else {
            self.takes_first_configuration = false;
            let is_behind = self.is_configuration_behind();
            self.pending_read = is_behind.then(|| Self::read_from_peer(now));
        }
    }

    /// Schedules the next read of a configuration that another instance did not give.
    pub(crate) fn retry_configuration(&mut self, now: Time) {
        let read = if self.takes_first_configuration {
            PendingRead {
                at: now.after(FIRST_READ_PAUSE_MS),
                ..Self::read_from_peer(now)
            }
        } else {
            self.read_from_store(now)
        };
        self.pending_read = Some(read);
    }

    /// Begins or ends taking the first configuration from other instances, and hurries once one of them has it.
    pub(crate) fn update_first_read(&mut self, now: Time) {
        if !self.takes_first_configuration {
            return;
        }
        if now >= self.peers_until || !self.role.follows() {
            self.takes_first_configuration = false;
            self.pending_read = None;
            return;
        }
        let soon = Self::read_from_peer(now);
        let is_slow = |read: &PendingRead| self.is_configuration_behind() && read.at > soon.at;
        if self.configuration.pending.is_none() && self.pending_read.as_ref().is_none_or(is_slow) {
            self.pending_read = Some(soon);
        }
    }

    /// The first read of a configuration that peers have: a large one is taken from the peer that announced it, also by an
    /// instance that the store refuses, or those behind it would not hear of it. A read of it from the store by each of a
    /// thousand instances takes a second of the store's link.
    pub(crate) fn first_read(&self, now: Time) -> PendingRead {
        if self.config_bytes >= LARGE_CONFIG_BYTES {
            Self::read_from_peer(now)
        } else {
            self.read_from_store(now)
        }
    }

    pub(crate) fn read_from_peer(now: Time) -> PendingRead {
        PendingRead {
            at: now.after(PEER_READ_PAUSE_MS),
            source: Source::Peer,
            step: 0,
        }
    }

    pub(crate) fn read_from_store(&self, now: Time) -> PendingRead {
        let at = self.configuration.next_call_at(&self.availability).max(now);
        PendingRead {
            at: at.after(READ_PAUSES_MS[0]),
            source: Source::Store,
            step: 0,
        }
    }
}
