//! Encoding of the crash history for datagrams and for the store, and anti-entropy, by which
//! instances detect that their histories differ.

use super::*;
use wellplank_core::{
    fingerprint::RequestFingerprint,
    quarantine::{Crash, CrashHistory, Involvement},
};

/// Maximum number of bytes of crashes in one datagram, so that with all its other content it is
/// not fragmented.
const CHUNK_BYTES: usize = 900;

/// Minimum interval between two requests of an instance for other histories. Histories differ for
/// some milliseconds while datagrams are in flight; a lost datagram is made up for well within the
/// second after which all instances must know of a crash.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);

/// The crash history of this instance, with its digest.
#[derive(Clone, Debug, Default)]
pub(crate) struct LocalHistory {
    /// Digest of the content: equal at instances that know the same crashes; 0 for none.
    pub digest: u64,
    /// All crashes known to this instance.
    pub history: Arc<CrashHistory>,
}

impl LocalHistory {
    /// Computes the digest of a history.
    pub fn new(history: CrashHistory) -> Self {
        let digest = history.digest();
        Self {
            digest,
            history: history.into(),
        }
    }
}

/// Decides when to request the history of another instance.
#[derive(Debug, Default)]
pub(crate) struct AntiEntropy {
    /// When a received digest first differed from the own one; `None` if the last was equal.
    differs_since: Option<Instant>,
    /// When a history was last requested.
    last_request: Option<Instant>,
}

impl AntiEntropy {
    /// Compares the own digest with a received one; returns whether to request the sender's history.
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

/// Encodes a history in chunks that fit into a datagram each.
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

/// Encodes a history for datagrams and for the store.
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
            fresh: with(Involvement::Fresh),
            life: Some(datagram::encode_incarnation(incarnation)),
            ran: with(Involvement::Ran),
        }
    };
    history.crashes().map(encode).collect()
}

/// Decodes a history; leaves out crashes that name no upstream.
pub(crate) fn decode(crashes: Vec<peers::End>) -> CrashHistory {
    let mut history = CrashHistory::default();
    for crash in crashes {
        let Some(incarnation) = crash.life else {
            warn!("ignored a crash report that names no upstream");
            continue;
        };
        let incarnation = datagram::decode_incarnation(incarnation);
        let requests = [
            (crash.fresh, Involvement::Fresh),
            (crash.ran, Involvement::Ran),
            (crash.cleared, Involvement::Cleared),
        ];
        for (fingerprints, involvement) in requests {
            for fingerprint in fingerprints {
                history.record(
                    incarnation,
                    RequestFingerprint(fingerprint),
                    involvement,
                    Time(crash.at_ms),
                );
            }
        }
    }
    history
}
