//! The load of a site whose engines are uneven: which streams leave engines that are alive, and when
//! they leave dark ones, by the fixed timeout and by evidence.

use super::*;
use engine_model::EngineModel;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use wellplank_core::settings::LivenessMethod;

const ENGINES: usize = 180;
const DATA_CENTRES: usize = 4;

/// Streams of one instance at a time.
const STREAMS: usize = 9;

/// Streams of all other instances that start at one engine each second.
const OTHER_STARTS_PER_SECOND: f64 = 0.27;

/// Usual fraction of the records of others that arrive.
const ARRIVING: f64 = 0.95;

/// Fraction of slow engines, and the time after which another set is slow, in milliseconds.
const SLOW_SHARE: f64 = 0.15;
const SLOW_MS: u64 = 600;

/// Tokens of a prompt.
const PROMPT_TOKENS: f64 = 8_200.0;

/// Events of a response.
const EVENTS: u64 = 135;

/// Time to the first event from a copy, in milliseconds.
const RESUME_MS: f64 = 120.0;

/// Fraction of the engines of a dark data centre that send nothing.
const DARK_SHARE: f64 = 0.9;

/// Duration of a tick, in milliseconds.
const TICK_MS: u64 = 5;

/// A stream at its engine.
struct Running {
    /// Events made, with the part of the next one.
    made: f64,
    /// Prompt tokens to be prefilled at the engine before it starts, with those ahead of it.
    prefill: f64,
    /// Time left until it starts from a copy, in milliseconds.
    resume_ms: f64,
    sent: Sent,
    started: bool,
}

/// A departure from an engine.
#[derive(Clone, Copy, Debug)]
struct Left {
    at: Time,
    engine: usize,
    /// Whether the prompt must be prefilled again.
    repeats_prefill: bool,
}

#[derive(Clone, Debug, Default)]
struct Outcome {
    /// Departures from engines that are alive.
    false_departures: usize,
    /// Departures after which the prompt was prefilled again, from engines that are alive.
    repeated_prefills: usize,
    /// Times to leave dark engines in milliseconds.
    times: Vec<u64>,
    streams: usize,
}

struct Load {
    /// Fraction of the records of others that arrive.
    arriving: f64,
    dark: Vec<bool>,
    engines: Vec<EngineModel>,
    left: Vec<Left>,
    peers: BTreeMap<usize, StreamRecord>,
    rng: Pcg64Mcg,
    running: Vec<Running>,
    streams: usize,
    test: Test,
}

impl Load {
    fn new(method: LivenessMethod, seed: u64) -> Self {
        let settings = Settings {
            liveness: method,
            ..Settings::default()
        };
        let mut test = Test::set(settings).configured(0);
        test.handle(Event::Config(Arc::new(liveness::with_gap_objective(700))));
        let entry = |index: usize| ListEntry {
            data_centre: format!("dc-{}", index % DATA_CENTRES),
            ..listed(index, index)
        };
        test.list((0..ENGINES).map(entry).collect());
        Self {
            arriving: ARRIVING,
            dark: vec![false; ENGINES],
            engines: vec![EngineModel::default(); ENGINES],
            left: Vec::new(),
            peers: BTreeMap::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
            running: Vec::new(),
            streams: 0,
            test,
        }
    }

    fn chance(&mut self, probability: f64) -> bool {
        self.rng.random::<f64>() < probability
    }

    /// Lets others start streams, and slows another set of engines down.
    fn change_engines(&mut self) {
        if self.test.now.0 % SLOW_MS < TICK_MS {
            for engine in 0..ENGINES {
                self.engines[engine].is_slow = self.chance(SLOW_SHARE);
            }
        }
        for engine in 0..ENGINES {
            if self.chance(OTHER_STARTS_PER_SECOND * TICK_MS as f64 / 1_000.0) {
                self.engines[engine].prompt_tokens += PROMPT_TOKENS;
                let prompt = self.rng.random::<u64>();
                let record = StreamRecord {
                    backup: None,
                    prompt,
                    run: format!("peer-{prompt}"),
                    stage: Stage::Started,
                    ..stream_record(engine, 0)
                };
                self.announce(record.clone());
                self.peers.insert(engine, record);
            }
            if self.engines[engine].prompt_tokens == 0.0
                && let Some(mut record) = self.peers.remove(&engine)
            {
                record.stage = Stage::Streaming;
                if !self.dark[engine] {
                    self.announce(record);
                }
            }
        }
    }

    fn announce(&mut self, record: StreamRecord) {
        if self.chance(self.arriving) {
            self.test.handle(Event::PeerStream(record));
        }
    }

    /// Takes up requests that were sent and drops attempts that were cancelled.
    fn read_effects(&mut self) {
        for sent in self.test.sent() {
            let engine = &mut self.engines[sent.upstream];
            let has_copy = sent.copy.is_some();
            if !has_copy {
                engine.prompt_tokens += PROMPT_TOKENS;
            }
            self.running.push(Running {
                made: sent.position as f64,
                prefill: if has_copy { 0.0 } else { engine.prompt_tokens },
                resume_ms: if has_copy { RESUME_MS } else { 0.0 },
                sent,
                started: false,
            });
        }
        let effects = std::mem::take(&mut self.test.effects);
        for effect in effects {
            let Effect::Cancel { attempt, .. } = effect else {
                continue;
            };
            let cancelled = self
                .running
                .iter()
                .position(|running| running.sent.attempt == attempt);
            let cancelled = self.running.remove(cancelled.expect("a running attempt"));
            let resumed = self.running.iter().rev().find(|running| !running.started);
            self.left.push(Left {
                at: self.test.now,
                engine: cancelled.sent.upstream,
                repeats_prefill: resumed.is_none_or(|running| running.sent.copy.is_none()),
            });
        }
    }

    /// Advances the engines and delivers what they send.
    fn advance_engines(&mut self) {
        let millis = TICK_MS as f64;
        let before: Vec<f64> = self
            .engines
            .iter()
            .map(|engine| engine.prompt_tokens)
            .collect();
        let progress: Vec<f64> = self
            .engines
            .iter_mut()
            .map(|engine| engine.advance(millis))
            .collect();
        let mut ended = Vec::new();
        for index in 0..self.running.len() {
            let running = &mut self.running[index];
            let engine = running.sent.upstream;
            let position = running.made as u64;
            if running.resume_ms > 0.0 {
                running.resume_ms -= millis;
            } else if running.prefill > 0.0 {
                running.prefill -= before[engine] - self.engines[engine].prompt_tokens;
                if self.engines[engine].prompt_tokens == 0.0 {
                    running.prefill = 0.0;
                }
            } else if running.started {
                running.made += progress[engine];
            } else {
                running.started = true;
                running.made += 1.0;
            }
            if self.dark[engine] || running.made as u64 == position {
                continue;
            }
            let (sent, made) = (running.sent.clone(), running.made as u64);
            self.test.send_event(&sent, made);
            if made >= EVENTS {
                self.test.close(&sent, true);
                ended.push(sent.attempt);
            }
        }
        self.running
            .retain(|running| !ended.contains(&running.sent.attempt));
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / TICK_MS {
            self.test.now = self.test.now.after(TICK_MS);
            self.change_engines();
            self.advance_engines();
            if self.running.len() < STREAMS && self.chance(0.1) {
                self.test.request(STREAM);
                self.streams += 1;
            }
            self.test.handle(Event::Tick);
            self.read_effects();
        }
    }

    /// Makes a data centre go dark, and measures the times after which streams leave it. Other
    /// instances announce the losses of some of its engines.
    fn go_dark(&mut self) -> Vec<u64> {
        let data_centre = self.rng.random_range(0..DATA_CENTRES);
        let start = self.test.now;
        let mut losses: Vec<(Time, usize)> = Vec::new();
        for engine in (data_centre..ENGINES).step_by(DATA_CENTRES) {
            self.dark[engine] = self.chance(DARK_SHARE);
            if self.dark[engine] && self.chance(0.7) {
                losses.push((start.after(self.rng.random_range(400..700)), engine));
            }
        }
        let affected: Vec<attempt::Key> = self
            .running
            .iter()
            .filter(|running| self.dark[running.sent.upstream])
            .map(|running| running.sent.attempt)
            .collect();
        self.left.clear();
        for _ in 0..1_200 / TICK_MS {
            self.run(TICK_MS);
            let now = self.test.now;
            for (_, engine) in losses.extract_if(.., |(at, _)| *at <= now) {
                self.test.handle(Event::PeerLoss(incarnation(engine, 0)));
            }
        }
        let of_dark = self.left.iter().filter(|left| self.dark[left.engine]);
        let mut times: Vec<u64> = of_dark.map(|left| left.at.since(start)).collect();
        times.sort_unstable();
        times.truncate(affected.len());
        // Those that are still there count with the whole time.
        times.resize(affected.len(), 1_200);
        times
    }
}

fn play(method: LivenessMethod, seeds: u64) -> Outcome {
    let mut outcome = Outcome::default();
    for seed in 0..seeds {
        let mut load = Load::new(method, seed);
        load.run(20_000);
        outcome.streams += load.streams;
        outcome.false_departures += load.left.len();
        outcome.repeated_prefills += load.left.iter().filter(|left| left.repeats_prefill).count();
    }
    for seed in 0..3 * seeds {
        let mut load = Load::new(method, 1_000 + seed);
        load.run(6_000);
        outcome.times.extend(load.go_dark());
    }
    outcome.times.sort_unstable();
    outcome
}

/// Guards against a decision that relies on records of other instances' prefills, all of which may be
/// lost.
#[gtest]
fn evidence_keeps_streams_on_engines_whose_prefills_are_not_known() {
    let mut outcome = Outcome::default();
    for seed in 0..6 {
        let mut load = Load::new(LivenessMethod::Evidence, seed);
        load.arriving = 0.0;
        load.run(20_000);
        outcome.streams += load.streams;
        outcome.false_departures += load.left.len();
    }
    println!(
        "without records: {} streams, {} left alive engines",
        outcome.streams, outcome.false_departures
    );
    expect_that!(outcome.false_departures * 100, lt(outcome.streams));
}

fn median(times: &[u64]) -> u64 {
    times[times.len() / 2]
}

/// Guards against streams that leave engines which are alive but slow or prefilling, and against
/// dark engines that are left later for it.
#[gtest]
fn evidence_keeps_streams_on_engines_that_are_alive() {
    let [timeout, evidence] =
        [LivenessMethod::Timeout, LivenessMethod::Evidence].map(|method| play(method, 12));
    for (name, outcome) in [("timeout", &timeout), ("evidence", &evidence)] {
        let times = &outcome.times;
        println!(
            "{name}: {} streams, {} left alive engines, {} prefills repeated; dark engines left \
             after {} ms (median of {}), {} ms (90th)",
            outcome.streams,
            outcome.false_departures,
            outcome.repeated_prefills,
            median(times),
            times.len(),
            times[times.len() * 9 / 10],
        );
    }
    expect_that!(evidence.false_departures * 100, lt(evidence.streams));
    expect_that!(
        evidence.repeated_prefills * 2,
        le(timeout.repeated_prefills)
    );
    expect_that!(median(&evidence.times), le(median(&timeout.times) + 50));
}
