//! The prefix cache of an engine: blocks of prompts, the least recently used go first.

use super::*;

/// Bytes of a prompt in one block; also the prompt tokens it stands for, divided by four.
const BLOCK: usize = 64;

/// Prompt bytes that stand for one token.
const BYTES_PER_TOKEN: usize = 4;

/// Blocks held, by the hash of the prompt up to their end.
pub(crate) struct Cache {
    blocks: HashMap<u64, u64>,
    capacity: usize,
    clock: u64,
    events: VecDeque<(u64, Value)>,
    next_event: u64,
}

impl Cache {
    /// Events after a number; late and with gaps, as engines publish them.
    pub fn events(&self, after: u64) -> Vec<Value> {
        let late = self.next_event.saturating_sub(8);
        self.events
            .iter()
            .filter(|(number, _)| *number > after && *number <= late && number % 7 != 0)
            .map(|(number, event)| json!({ "number": number, "event": event }))
            .collect()
    }

    /// A cache of `tokens` prompt tokens.
    pub fn new(tokens: usize) -> Self {
        Self {
            blocks: HashMap::new(),
            capacity: (tokens * BYTES_PER_TOKEN / BLOCK).max(1),
            clock: 0,
            events: VecDeque::new(),
            next_event: 1,
        }
    }

    /// Takes in a prompt; answers with the tokens that must be computed and those found.
    pub fn take(&mut self, prompt: &[u8]) -> (usize, usize) {
        let mut hasher = blake3::Hasher::new();
        let mut found = 0;
        let mut hit = true;
        for block in prompt.chunks_exact(BLOCK) {
            hasher.update(block);
            let hash = hasher.finalize();
            let key = u64::from_le_bytes(*hash.as_bytes().first_chunk().expect("longer"));
            self.clock += 1;
            hit &= self.blocks.insert(key, self.clock).is_some();
            if hit {
                found += BLOCK;
            } else {
                self.publish(json!({ "stored": key }));
            }
        }
        self.evict();
        let computed = prompt.len() - found;
        (computed.div_ceil(BYTES_PER_TOKEN), found / BYTES_PER_TOKEN)
    }

    fn evict(&mut self) {
        while self.blocks.len() > self.capacity {
            let oldest = self.blocks.iter().min_by_key(|(_, used)| **used);
            let Some(key) = oldest.map(|(key, _)| *key) else {
                return;
            };
            self.blocks.remove(&key);
            self.publish(json!({ "removed": key }));
        }
    }

    fn publish(&mut self, event: Value) {
        self.events.push_back((self.next_event, event));
        self.next_event += 1;
        if self.events.len() > 1_000 {
            self.events.pop_front();
        }
    }
}
