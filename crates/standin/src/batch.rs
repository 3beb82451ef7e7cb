//! An engine in virtual time that runs streams in one batch: prompts are read in pieces between the tokens
//! of others, and streams, what waits and copies share its memory.

use super::*;

/// Tokens of a prompt that are read in one step.
const PIECE: u32 = 125;

/// Time that a step takes in which nothing is read, in microseconds.
const STEP_US: u64 = 5_200;

/// Time that a step takes longer in which a piece is read, in microseconds.
const READ_US: u64 = 25_000;

/// Tokens in one event of a stream.
pub(crate) const STRIDE: u32 = 6;

/// A stream that waits or runs.
#[derive(Clone, Copy, Debug)]
struct Run {
    /// Tokens made.
    made: u32,
    /// Tokens of the whole answer.
    most: u32,
    /// Tokens of the prompt.
    prompt: u32,
    /// Tokens of the prompt that are read.
    read: u32,
}

/// What a step brought.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Made {
    /// The next event of a stream, at this position.
    Event(u64),
    /// A stream is whole.
    End,
}

/// An engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct Batch {
    /// Tokens of copies of other engines' streams, by their number.
    copies: BTreeMap<usize, u32>,
    /// Streams by their number, the oldest first.
    runs: BTreeMap<usize, Run>,
    /// Prompt tokens that were read.
    pub tokens_read: u64,
}

impl Run {
    fn tokens(&self) -> u32 {
        self.read + self.made
    }
}

impl Batch {
    /// Takes a stream; false if its prompt and those that wait have no room in `memory`.
    pub fn take(&mut self, key: usize, prompt: u32, answer: u32, memory: u32) -> bool {
        let wanted: u32 = self.runs.values().map(|run| run.prompt + run.made).sum();
        let copies: u32 = self.copies.values().sum();
        if wanted + copies + prompt > memory {
            return false;
        }
        let run = Run {
            made: 0,
            most: answer,
            prompt,
            read: 0,
        };
        self.runs.insert(key, run);
        true
    }

    /// Keeps a copy of a stream's memory.
    pub fn copy(&mut self, key: usize, tokens: u32) {
        self.copies.insert(key, tokens);
    }

    /// Drops a stream, and its copy if one is kept here.
    pub fn remove(&mut self, key: usize) {
        self.runs.remove(&key);
        self.copies.remove(&key);
    }

    /// Whether it has nothing to do.
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty()
    }

    /// Runs one step; its time in microseconds, and what it brought for which streams.
    pub fn step(&mut self, memory: u32) -> (u64, Vec<(usize, Made)>) {
        self.preempt(memory);
        let mut made = Vec::new();
        let mut time = STEP_US;
        let reading = self.runs.values_mut().find(|run| run.read < run.prompt);
        if let Some(run) = reading {
            let piece = PIECE.min(run.prompt - run.read);
            run.read += piece;
            self.tokens_read += u64::from(piece);
            time += READ_US;
        }
        for (key, run) in &mut self.runs {
            if run.read < run.prompt {
                continue;
            }
            run.made += 1;
            if run.made % STRIDE == 0 {
                made.push((*key, Made::Event(u64::from(run.made / STRIDE))));
            }
            if run.made >= run.most {
                made.push((*key, Made::End));
            }
        }
        self.runs.retain(|_, run| run.made < run.most);
        (time, made)
    }

    /// Stops the newest streams while memory is overfull; they read their prompts again.
    fn preempt(&mut self, memory: u32) {
        let copies: u32 = self.copies.values().sum();
        loop {
            let used: u32 = self.runs.values().map(Run::tokens).sum();
            let running = self.runs.values().filter(|run| run.read > 0).count();
            if used + copies <= memory || running <= 1 {
                return;
            }
            let newest = self.runs.values_mut().rev().find(|run| run.read > 0);
            if let Some(run) = newest {
                // What was made is read again with the prompt.
                run.read = 0;
            }
        }
    }
}
