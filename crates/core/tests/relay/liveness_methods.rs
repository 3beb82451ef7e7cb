//! Three methods to judge a silent engine, compared in virtual time: the fixed timeout, an accrual
//! detector, and the weighing of evidence against the cost of both errors.

use super::*;
use engine_model::EngineModel;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::VecDeque;
use wellplank_core::liveness::{
    self, Expectation, Hints, Intervals, Neighbourhood, Pace, Prefill, Stakes,
};

/// Duration of a tick in milliseconds.
const TICK_MS: u64 = 5;

/// Events of a stream.
const EVENTS: u64 = 135;

/// Streams of each kind.
const STREAMS: usize = 400;

/// Streams before those that are counted, from which the methods learn.
const LEARNING_STREAMS: usize = 40;

/// Maximum pause between two events, and time to resume from a copy, in milliseconds.
const OBJECTIVE_MS: u64 = 700;
const RESUME_MS: u64 = 125;

/// Time after which a stream that stays counts as never leaving, in milliseconds.
const NEVER_MS: u64 = 3_000;

/// What happens to the engine of a stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Situation {
    /// Nothing: all engines are equally fast, and prefill nothing beside.
    Even,
    /// A sixth of the engines is slow, another set each 600 ms.
    Slow,
    /// Engines prefill prompts beside the stream.
    Prefilling,
    /// Both.
    Uneven,
    /// As `Uneven`, and some events are late by a quarter of a second without a known cause.
    Grey,
    /// As `Uneven`, until the engine stops.
    Frozen,
    /// As `Frozen`, along with two other engines of its data centre.
    Dark,
    /// As `Frozen`, for this instance only: others still report events.
    CutOneWay,
}

impl Situation {
    const ALL: [Self; 8] = [
        Self::Even,
        Self::Slow,
        Self::Prefilling,
        Self::Uneven,
        Self::Grey,
        Self::Frozen,
        Self::Dark,
        Self::CutOneWay,
    ];

    fn is_alive(self) -> bool {
        !matches!(self, Self::Frozen | Self::Dark | Self::CutOneWay)
    }

    fn has_slow_engines(self) -> bool {
        !matches!(self, Self::Even | Self::Prefilling)
    }

    fn prefills(self) -> bool {
        !matches!(self, Self::Even | Self::Slow)
    }

    fn hints(self, expectation: &Expectation, silent_ms: u64) -> Hints {
        let mut neighbourhood = Neighbourhood::default();
        if self == Self::Dark {
            for _ in 0..2 {
                neighbourhood.add_silent(expectation.survival(silent_ms));
            }
        }
        Hints {
            neighbourhood,
            peer_heard: self == Self::CutOneWay,
            ..Hints::default()
        }
    }
}

/// A method to judge a silent engine.
trait Method {
    /// Records an interval between two events.
    fn record(&mut self, millis: u64, prefill: Prefill, now: Time);

    /// Whether a stream with a copy at hand leaves after a silence.
    fn leaves(&self, silent_ms: u64, prefill: Prefill, situation: Situation, now: Time) -> bool;
}

/// 400 ms or three mean intervals.
#[derive(Default)]
struct FixedTimeout {
    mean_ms: f64,
}

impl Method for FixedTimeout {
    fn record(&mut self, millis: u64, _: Prefill, _: Time) {
        self.mean_ms += 0.1 * (millis as f64 - self.mean_ms);
    }

    fn leaves(&self, silent_ms: u64, _: Prefill, _: Situation, _: Time) -> bool {
        silent_ms > (self.mean_ms as u64 * 3).max(400)
    }
}

/// An accrual detector over a window of intervals, which are assumed to be normally distributed.
struct Accrual {
    /// Time in milliseconds by which events may be late without a known cause.
    acceptable_pause_ms: f64,
    intervals: VecDeque<f64>,
    threshold: f64,
}

impl Accrual {
    /// Minimum standard deviation in milliseconds.
    const MIN_DEVIATION_MS: f64 = 10.0;

    /// Number of intervals kept.
    const WINDOW: usize = 200;

    fn new(threshold: f64, acceptable_pause_ms: f64) -> Self {
        Self {
            acceptable_pause_ms,
            intervals: VecDeque::new(),
            threshold,
        }
    }

    /// Decimal logarithm of the probability that an engine that is alive is silent for longer; by
    /// a logistic approximation of the normal distribution.
    fn phi(&self, silent_ms: f64) -> f64 {
        let count = self.intervals.len().max(1) as f64;
        let mean = self.intervals.iter().sum::<f64>() / count;
        let squares = self
            .intervals
            .iter()
            .map(|interval| (interval - mean).powi(2));
        let deviation = (squares.sum::<f64>() / count)
            .sqrt()
            .max(Self::MIN_DEVIATION_MS);
        let mean = mean + self.acceptable_pause_ms;
        let y = (silent_ms - mean) / deviation;
        let e = (-y * (1.5976 + 0.070_566 * y * y)).exp();
        if silent_ms > mean {
            -(e / (1.0 + e)).log10()
        } else {
            -(1.0 - 1.0 / (1.0 + e)).log10()
        }
    }
}

impl Method for Accrual {
    fn record(&mut self, millis: u64, _: Prefill, _: Time) {
        self.intervals.push_back(millis as f64);
        if self.intervals.len() > Self::WINDOW {
            self.intervals.pop_front();
        }
    }

    fn leaves(&self, silent_ms: u64, _: Prefill, _: Situation, _: Time) -> bool {
        self.phi(silent_ms as f64) > self.threshold
    }
}

/// The method `evidence`.
#[derive(Default)]
struct Evidence {
    intervals: Intervals,
    pace: Pace,
}

impl Method for Evidence {
    fn record(&mut self, millis: u64, prefill: Prefill, now: Time) {
        self.intervals.record(millis, prefill, &mut self.pace, now);
    }

    fn leaves(&self, silent_ms: u64, prefill: Prefill, situation: Situation, now: Time) -> bool {
        let expectation = self.intervals.expectation(prefill, self.pace.get(now));
        let hints = situation.hints(&expectation, silent_ms);
        let stakes = Stakes {
            gap_objective_ms: OBJECTIVE_MS,
            has_copy: true,
        };
        silent_ms > liveness::MIN_DARK_SILENCE_MS
            && liveness::judge(silent_ms, &expectation, hints, stakes, 400).leaves
    }
}

/// What came of one stream.
#[derive(Clone, Copy, Debug, Default)]
struct Trial {
    /// Silence in milliseconds after which it left; `None` if it stayed.
    left_after_ms: Option<u64>,
    /// Longest pause of its caller in milliseconds.
    pause_ms: u64,
}

fn play(
    method: &mut dyn Method,
    situation: Situation,
    rng: &mut Pcg64Mcg,
    now: &mut Time,
) -> Trial {
    let mut engine = EngineModel::default();
    let mut trial = Trial::default();
    let stops_at = rng.random_range(10..EVENTS - 10);
    let (mut made, mut hiccup_ms, mut last_event_at) = (0.0, 0, *now);
    let mut prefilled_at = None;
    loop {
        *now = now.after(TICK_MS);
        if now.0 % 600 < TICK_MS {
            engine.is_slow = situation.has_slow_engines() && rng.random::<f64>() < 0.15;
        }
        if situation.prefills() && rng.random::<f64>() < 0.27 * TICK_MS as f64 / 1_000.0 {
            engine.prompt_tokens += 8_200.0;
        }
        let is_prefilling = engine.prompt_tokens > 0.0;
        let prefill = Prefill::observed(is_prefilling, prefilled_at, *now);
        if is_prefilling {
            prefilled_at = Some(*now);
        }
        let position = made as u64;
        let is_stopped = !situation.is_alive() && position >= stops_at;
        if hiccup_ms > 0 {
            hiccup_ms -= TICK_MS;
        } else if !is_stopped {
            made += engine.advance(TICK_MS as f64);
        }
        let silent_ms = now.since(last_event_at);
        if made as u64 > position {
            method.record(silent_ms, prefill, *now);
            trial.pause_ms = trial.pause_ms.max(silent_ms);
            last_event_at = *now;
            if situation == Situation::Grey && rng.random::<f64>() < 0.005 {
                hiccup_ms = rng.random_range(40..60) * TICK_MS;
            }
        } else if method.leaves(silent_ms, prefill, situation, *now) {
            trial.left_after_ms = Some(silent_ms);
            trial.pause_ms = trial.pause_ms.max(silent_ms + RESUME_MS);
            return trial;
        }
        if made as u64 >= EVENTS || silent_ms > NEVER_MS {
            trial.pause_ms = trial.pause_ms.max(silent_ms);
            return trial;
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Row {
    /// Streams that left.
    left: usize,
    /// Median silence in milliseconds after which those left.
    median_ms: u64,
    /// Streams with a pause beyond the objective.
    paused: usize,
}

fn measure(method: &mut dyn Method, situation: Situation) -> Row {
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    let mut now = NOW;
    let mut trials = Vec::new();
    for index in 0..LEARNING_STREAMS + STREAMS {
        let trial = play(method, situation, &mut rng, &mut now);
        if index >= LEARNING_STREAMS {
            trials.push(trial);
        }
    }
    let mut left: Vec<u64> = trials
        .iter()
        .filter_map(|trial| trial.left_after_ms)
        .collect();
    left.sort_unstable();
    Row {
        left: left.len(),
        median_ms: left.get(left.len() / 2).copied().unwrap_or_default(),
        paused: trials
            .iter()
            .filter(|trial| trial.pause_ms > OBJECTIVE_MS)
            .count(),
    }
}

/// Guards against a method that leaves engines which are alive more often than the fixed timeout or
/// an accrual detector would, or dead ones so late that the pause exceeds its objective.
#[gtest]
fn evidence_makes_fewer_errors_than_timeout_and_accrual() {
    for situation in Situation::ALL {
        let rows = [
            ("timeout", measure(&mut FixedTimeout::default(), situation)),
            ("accrual", measure(&mut Accrual::new(8.0, 0.0), situation)),
            (
                "accrual with a pause of 300 ms",
                measure(&mut Accrual::new(8.0, 300.0), situation),
            ),
            ("evidence", measure(&mut Evidence::default(), situation)),
        ];
        for (name, row) in rows {
            println!(
                "| {situation:?} | {name} | {} | {} | {} |",
                row.left, row.median_ms, row.paused
            );
        }
        let [timeout, _, _, evidence] = rows.map(|(_, row)| row);
        if situation.is_alive() {
            // What delays events without a known cause can not be told from a dead engine.
            let limit = if situation == Situation::Grey {
                timeout.left / 4
            } else {
                STREAMS / 100
            };
            expect_that!(evidence.left, le(limit), "{situation:?}");
            expect_that!(evidence.left, le(timeout.left), "{situation:?}");
            expect_that!(evidence.paused * 100, le(STREAMS), "{situation:?}");
        } else {
            expect_that!(evidence.left, eq(STREAMS), "{situation:?}");
            expect_that!(
                evidence.median_ms,
                le(timeout.median_ms + 50),
                "{situation:?}"
            );
            expect_that!(evidence.paused * 100, le(STREAMS), "{situation:?}");
        }
    }
}
