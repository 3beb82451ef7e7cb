//! An engine in virtual time that runs streams by priority in one batch. Prompts are prefilled in chunks between the tokens
//! of others, the most urgent first. While memory is short, the newest of the least urgent streams is preempted.

use super::*;
use batch::{Made, STRIDE};

/// Tokens of a prompt that are prefilled in one step.
const CHUNK: u32 = 200;

/// Time that a step takes longer in which a chunk is prefilled, in microseconds: 8 tokens per millisecond.
const CHUNK_US: u64 = 25_000;

/// Time that a step takes, and for each running stream, in microseconds.
const STEP_US: u64 = 4_600;
const STREAM_US: u64 = 90;

/// Streams that run at once.
const SLOTS: usize = 64;

/// Priority of a stream whose request states none.
const DEFAULT_PRIORITY: u8 = 5;

/// A stream that an engine is given.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Work {
    /// Tokens of the whole response.
    pub answer: u32,
    /// Whether the engine has a copy of its KV cache, so that its prompt need not be prefilled.
    pub has_copy: bool,
    /// Priority, from 0 for the most urgent; `None` if the request states none.
    pub priority: Option<u8>,
    /// Tokens of the prompt.
    pub prompt: u32,
}

/// A stream that waits or runs.
#[derive(Clone, Copy, Debug)]
struct Run {
    answer: u32,
    is_admitted: bool,
    made: u32,
    prefilled: u32,
    prompt: u32,
}

/// An engine. Streams are ordered by priority, then by their number.
#[derive(Clone, Debug, Default)]
pub(crate) struct PriorityBatch {
    copies: BTreeMap<usize, u32>,
    runs: BTreeMap<(u8, usize), Run>,
    /// Streams that were preempted.
    pub preempted: u64,
    /// Prompt tokens that were prefilled.
    pub tokens_read: u64,
}

impl Run {
    fn tokens(&self) -> u32 {
        self.prefilled + self.made
    }

    /// Tokens that it needs to go on: after a preemption, what was made is prefilled with the prompt.
    fn wanted(&self) -> u32 {
        self.prompt + self.made
    }
}

impl PriorityBatch {
    /// Takes a stream; false if the prompts that are at least as urgent and the copies leave no room in `memory`.
    pub fn take(&mut self, key: usize, work: Work, memory: u32) -> bool {
        let priority = work.priority.unwrap_or(DEFAULT_PRIORITY);
        let ahead = self.runs.range(..=(priority, usize::MAX));
        let wanted: u32 = ahead.map(|(_, run)| run.wanted()).sum();
        if wanted + self.copied() + work.prompt > memory {
            return false;
        }
        let run = Run {
            answer: work.answer,
            is_admitted: false,
            made: 0,
            prefilled: if work.has_copy { work.prompt } else { 0 },
            prompt: work.prompt,
        };
        self.runs.insert((priority, key), run);
        true
    }

    /// Keeps a copy of a stream's memory.
    pub fn copy(&mut self, key: usize, tokens: u32) {
        self.copies.insert(key, tokens);
    }

    /// Drops a stream, and its copy if one is kept here.
    pub fn remove(&mut self, key: usize) {
        self.runs.retain(|(_, other), _| *other != key);
        self.copies.remove(&key);
    }

    /// Drops everything, as in a crash. Returns the streams that it had.
    pub fn crash(&mut self) -> Vec<usize> {
        self.copies.clear();
        let runs = std::mem::take(&mut self.runs);
        runs.into_keys().map(|(_, key)| key).collect()
    }

    /// Whether it has nothing to do.
    pub fn is_idle(&self) -> bool {
        self.runs.is_empty()
    }

    /// Runs one step; its time in microseconds, and what it brought for which streams.
    pub fn step(&mut self, memory: u32) -> (u64, Vec<(usize, Made)>) {
        self.admit(memory);
        self.preempt(memory);
        let mut made = Vec::new();
        let admitted = self.runs.values_mut().filter(|run| run.is_admitted);
        let mut time = STEP_US;
        let mut prefill = None;
        for run in admitted {
            time += STREAM_US;
            if run.prefilled < run.prompt && prefill.is_none() {
                prefill = Some(run);
            }
        }
        if let Some(run) = prefill {
            let chunk = CHUNK.min(run.prompt - run.prefilled);
            run.prefilled += chunk;
            self.tokens_read += u64::from(chunk);
            time += CHUNK_US;
        }
        for ((_, key), run) in &mut self.runs {
            if !run.is_admitted || run.prefilled < run.prompt {
                continue;
            }
            run.made += 1;
            if run.made % STRIDE == 0 {
                made.push((*key, Made::Event(u64::from(run.made / STRIDE))));
            }
            if run.made >= run.answer {
                made.push((*key, Made::End));
            }
        }
        self.runs.retain(|_, run| run.made < run.answer);
        (time, made)
    }

    fn copied(&self) -> u32 {
        self.copies.values().sum()
    }

    /// Admits waiting streams, the most urgent first, while those that are at least as urgent leave room.
    fn admit(&mut self, memory: u32) {
        let mut wanted = self.copied();
        let mut slots = SLOTS;
        let admitted: u32 = self.runs.values().filter(|run| run.is_admitted).count() as u32;
        let mut is_blocked = false;
        for run in self.runs.values_mut() {
            if slots == 0 {
                break;
            }
            if run.is_admitted {
                wanted += run.wanted();
                slots -= 1;
            } else if !is_blocked && (wanted + run.wanted() <= memory || admitted == 0) {
                wanted += run.wanted();
                slots -= 1;
                run.is_admitted = true;
            } else {
                is_blocked = true;
            }
        }
    }

    /// Preempts the newest of the least urgent streams while memory is overfull; they are prefilled again.
    fn preempt(&mut self, memory: u32) {
        loop {
            let admitted = self.runs.values().filter(|run| run.is_admitted);
            let (count, used) = admitted.fold((0, self.copied()), |(count, used), run| {
                (count + 1, used + run.tokens())
            });
            if used <= memory || count <= 1 {
                return;
            }
            let last = self.runs.values_mut().rev().find(|run| run.is_admitted);
            if let Some(run) = last {
                run.is_admitted = false;
                run.prefilled = 0;
                self.preempted += 1;
            }
        }
    }
}
