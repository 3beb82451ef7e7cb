//! Unplanned ends of upstreams as instances tell and keep them, and how two instances find out that they know different ones.

use super::*;
use wellplank_core::{
    fingerprint::RequestFingerprint,
    quarantine::{Crash, CrashHistory, Involvement},
};

/// Bytes of ends in one datagram, at most: with all else that one holds they stay within what a link carries in one chunk.
const CHUNK_BYTES: usize = 900;

/// Time between two questions of an instance for what others know, in milliseconds. Datagrams that are on their way make
/// accounts differ for some of them; a lost one is made up for well within the second in which all must know.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);

/// What this instance knows, and what tells it from what others know.
#[derive(Clone, Debug, Default)]
pub(crate) struct LocalHistory {
    /// All ends that it knows.
    pub history: Arc<CrashHistory>,
    /// What accounts that hold the same have in common.
    pub digest: u64,
}

impl LocalHistory {
    /// What is known, with its digest.
    pub fn new(history: CrashHistory) -> Self {
        let digest = history.digest();
        Self {
            digest,
            history: history.into(),
        }
    }
}

/// Decides when another instance is asked for what it knows.
#[derive(Debug, Default)]
pub(crate) struct AntiEntropy {
    last_request: Option<Instant>,
    /// Since when what others know differs_since from what this one knows.
    differs_since: Option<Instant>,
}

impl AntiEntropy {
    /// Another instance told the digest of what it knows; whether it is to be asked for that.
    pub fn should_request(&mut self, own: u64, received: u64) -> bool {
        if own == received {
            self.differs_since = None;
            return false;
        }
        let now = Instant::now();
        let differs_since = *self.differs_since.get_or_insert(now);
        let is_recent = self
            .last_request
            .is_some_and(|at| now - at < REQUEST_INTERVAL);
        if is_recent || now - differs_since < REQUEST_INTERVAL / 2 {
            return false;
        }
        self.last_request = Some(now);
        true
    }
}

/// Ends as they are told, in chunks that fit into a datagram each.
pub(crate) fn chunks(history: &CrashHistory) -> Vec<Vec<peers::End>> {
    let mut chunks: Vec<Vec<peers::End>> = Vec::new();
    let mut bytes = CHUNK_BYTES;
    for crash in encode(history) {
        let length = crash.encoded_len();
        bytes += length;
        match chunks.last_mut() {
            Some(chunk) if bytes <= CHUNK_BYTES => chunk.push(crash),
            _ => {
                chunks.push(vec![crash]);
                bytes = length;
            }
        }
    }
    chunks
}

/// Ends as they are told and kept.
pub(crate) fn encode(history: &CrashHistory) -> Vec<peers::End> {
    let encode = |(incarnation, crash): (Incarnation, &Crash)| {
        let with = |involvement: Involvement| {
            let requests = crash
                .requests
                .iter()
                .filter(move |(_, other)| **other == involvement);
            requests.map(|(fingerprint, _)| fingerprint.0).collect()
        };
        peers::End {
            at_ms: crash.at.0,
            cleared: with(Involvement::Cleared),
            life: Some(gossip::encode_incarnation(incarnation)),
            ran: with(Involvement::Ran),
            fresh: with(Involvement::Fresh),
        }
    };
    history.crashes().map(encode).collect()
}

/// Ends that were told or kept; one that names no upstream is left out.
pub(crate) fn decode(ends: Vec<peers::End>) -> CrashHistory {
    let mut history = CrashHistory::default();
    for end in ends {
        let Some(incarnation) = end.life else {
            warn!("an end of no upstream was told");
            continue;
        };
        let incarnation = gossip::decode_incarnation(incarnation);
        let requests = [
            (end.fresh, Involvement::Fresh),
            (end.ran, Involvement::Ran),
            (end.cleared, Involvement::Cleared),
        ];
        for (fingerprints, involvement) in requests {
            for fingerprint in fingerprints {
                history.record(
                    incarnation,
                    RequestFingerprint(fingerprint),
                    involvement,
                    Time(end.at_ms),
                );
            }
        }
    }
    history
}
