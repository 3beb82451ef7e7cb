//! Unplanned ends of upstreams as instances tell and keep them, and how two instances find out that they know different ones.

use super::*;
use wellplank_core::{
    fingerprint::RequestFingerprint,
    quarantine::{Crash, CrashHistory, Involvement},
};

/// Bytes of ends in one datagram, at most: with all else that one holds they stay within what a link carries in one piece.
const PIECE: usize = 900;

/// Time between two questions of an instance for what others know, in milliseconds. Datagrams that are on their way make
/// accounts differ for some of them; a lost one is made up for well within the second in which all must know.
const ASKS: Duration = Duration::from_millis(250);

/// What this instance knows, and what tells it from what others know.
#[derive(Clone, Debug, Default)]
pub(crate) struct Known {
    /// All ends that it knows.
    pub account: Arc<CrashHistory>,
    /// What accounts that hold the same have in common.
    pub digest: u64,
}

impl Known {
    /// What is known, with its digest.
    pub fn new(account: CrashHistory) -> Self {
        let digest = account.digest();
        Self {
            account: account.into(),
            digest,
        }
    }
}

/// Decides when another instance is asked for what it knows.
#[derive(Debug, Default)]
pub(crate) struct Curiosity {
    asked: Option<Instant>,
    /// Since when what others know differs from what this one knows.
    differs: Option<Instant>,
}

impl Curiosity {
    /// Another instance told the digest of what it knows; whether it is to be asked for that.
    pub fn asks(&mut self, own: u64, told: u64) -> bool {
        if own == told {
            self.differs = None;
            return false;
        }
        let now = Instant::now();
        let differs = *self.differs.get_or_insert(now);
        let soon = self.asked.is_some_and(|asked| now - asked < ASKS);
        if soon || now - differs < ASKS / 2 {
            return false;
        }
        self.asked = Some(now);
        true
    }
}

/// Ends as they are told, in pieces that fit into a datagram each.
pub(crate) fn pieces(account: &CrashHistory) -> Vec<Vec<peers::End>> {
    let mut pieces: Vec<Vec<peers::End>> = Vec::new();
    let mut bytes = PIECE;
    for end in encode(account) {
        let length = end.encoded_len();
        bytes += length;
        match pieces.last_mut() {
            Some(piece) if bytes <= PIECE => piece.push(end),
            _ => {
                pieces.push(vec![end]);
                bytes = length;
            }
        }
    }
    pieces
}

/// Ends as they are told and kept.
pub(crate) fn encode(account: &CrashHistory) -> Vec<peers::End> {
    let encode = |(life, end): (Incarnation, &Crash)| {
        let there = |part: Involvement| {
            let there = end
                .requests
                .iter()
                .filter(move |(_, other)| **other == part);
            there.map(|(print, _)| print.0).collect()
        };
        peers::End {
            at_ms: end.at.0,
            cleared: there(Involvement::Cleared),
            life: Some(gossip::encode_life(life)),
            ran: there(Involvement::Ran),
            fresh: there(Involvement::Fresh),
        }
    };
    account.crashes().map(encode).collect()
}

/// Ends that were told or kept; one that names no upstream is left out.
pub(crate) fn decode(ends: Vec<peers::End>) -> CrashHistory {
    let mut account = CrashHistory::default();
    for end in ends {
        let Some(life) = end.life else {
            warn!("an end of no upstream was told");
            continue;
        };
        let life = gossip::decode_life(life);
        let parts = [
            (end.fresh, Involvement::Fresh),
            (end.ran, Involvement::Ran),
            (end.cleared, Involvement::Cleared),
        ];
        for (prints, part) in parts {
            for print in prints {
                account.record(life, RequestFingerprint(print), part, Time(end.at_ms));
            }
        }
    }
    account
}
