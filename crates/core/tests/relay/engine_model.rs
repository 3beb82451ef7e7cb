//! An engine that interleaves prefills with the tokens of other streams, in virtual time.

/// Time of a step without a prefill, in milliseconds.
const STEP_MS: f64 = 4.8;

/// Additional time of a step that prefills a chunk, in milliseconds.
const CHUNK_MS: f64 = 25.0;

/// Tokens of a chunk.
const CHUNK_TOKENS: f64 = 200.0;

/// Tokens in one event.
const EVENT_TOKENS: f64 = 6.0;

/// An engine.
#[derive(Clone, Debug, Default)]
pub struct EngineModel {
    /// Whether it shares a machine with others at work.
    pub is_slow: bool,
    /// Prompt tokens to be prefilled.
    pub prompt_tokens: f64,
}

impl EngineModel {
    /// Advances by some milliseconds; returns the part of an event that each stream progresses by.
    pub fn advance(&mut self, millis: f64) -> f64 {
        let pace = if self.is_slow { 2.5 } else { 1.0 };
        let chunk_ms = if self.prompt_tokens > 0.0 {
            CHUNK_MS
        } else {
            0.0
        };
        let steps = millis / (pace * (STEP_MS + chunk_ms));
        self.prompt_tokens = (self.prompt_tokens - steps * CHUNK_TOKENS).max(0.0);
        steps / EVENT_TOKENS
    }
}
