//! Whether a silent engine is alive, slow or dead, and whether a stream should leave it.
//!
//! The interval to the next event of an engine that is alive follows a mixture of log-logistic
//! distributions: one for its current speed, one for each state that this instance may not know of.
//! The longer the silence, the less likely such an interval, and the more likely the engine is
//! dead. A stream leaves when no later time to leave has a lower expected cost.

use super::*;

/// Minimum weight of a new interval in the means of a pool. An instance receives some 250 events per
/// second; the means must outlast the changes of which engines are slow.
const POOL_GAIN: f64 = 0.005;

/// Weight of a new sample in the pace of one engine. A few events must suffice, since a pace is
/// short-lived.
const PACE_GAIN: f64 = 0.4;

/// Time constant in milliseconds with which the pace of an engine returns to that of its pool.
/// Where engines share machines, another set of them is slow every 600 ms.
const PACE_RETENTION_MS: f64 = 600.0;

/// Range of a sample of an engine's pace.
const PACE_RANGE: RangeInclusive<f64> = 0.3..=5.0;

/// Pace up to which an engine counts as even with its pool. Estimates from single intervals vary by
/// a fifth where all engines are alike.
const EVEN_PACE: f64 = 1.25;

/// Pace from which on an interval counts as that of a slow engine.
const SLOW_PACE: f64 = 1.6;

/// Share of intervals of slow engines from which on a pool counts as uneven. Where 0.15 of the engines
/// are 2.5 times as slow, the share is 0.06, since they send fewer events.
const UNEVEN_SHARE: f64 = 0.02;

/// Pace of a slow engine. Engines that share a machine were 2.5 times as slow.
const TYPICAL_SLOW_PACE: f64 = 2.5;

/// Delay in milliseconds of an event beside a prefill that is assumed before one was observed: six
/// steps with a chunk of 25 ms each.
const INITIAL_DELAY_MS: f64 = 150.0;

/// Probability that a prefill runs where records say so.
const KNOWN_PREFILL: f64 = 0.95;

/// Probability that a prefill still runs when it should just have ended.
const RECENT_PREFILL: f64 = 0.5;

/// Probability that a prefill runs of which no record arrived.
const UNKNOWN_PREFILL: f64 = 0.02;

/// Time in milliseconds after the expected end of a prefill for which it may still run: the rest of
/// a prefill of mean length on a slow engine.
const PREFILL_TAIL_MS: u64 = 1_500;

/// Range of the exponent of the survival function. The upper bound allows for jitter that a
/// short history has not shown yet.
const STEEPNESS: RangeInclusive<f64> = 4.0..=12.0;

/// Mean absolute deviation of a logistic variable with scale 1, by which a measured deviation is
/// converted into a steepness: 2 ln 2.
const LOGISTIC_DEVIATION: f64 = 1.386;

/// Interval in milliseconds that is assumed before the first sample: with it, a stream leaves after
/// the same silence as with the fixed timeout.
const INITIAL_INTERVAL_MS: f64 = 100.0;

/// Deviation of the logarithm of intervals that is assumed before the first sample.
const INITIAL_DEVIATION: f64 = 0.2;

/// Probability and median in milliseconds of a pause that has no known cause, such as a
/// retransmission.
const HICCUP: (f64, f64) = (0.002, 200.0);

/// Multiple of the expected interval that a stream waits for at least, as with the fixed timeout.
const MIN_INTERVALS: f64 = 3.0;

/// Prior probability that an engine dies during one interval of a stream.
const PRIOR_DEAD: f64 = 0.002;

/// Prior probability that an engine dies during one prefill, which takes some tens of intervals.
const PRIOR_DEAD_IN_PREFILL: f64 = 0.05;

/// Prior odds that a data centre has just gone dark.
const PRIOR_ODDS_DARK: f64 = 0.02;

/// Fraction of the engines of a dark data centre that are dead.
const DARK_SHARE: f64 = 0.9;

/// Maximum likelihood ratio of one engine's loss or silence. Losses also have other causes, and are
/// sometimes reported in error.
const MAX_RATIO: f64 = 20.0;

/// Likelihood ratio of a broken connection to the engine itself, or of its loss as announced by
/// another instance. Connections also break for other reasons.
const LOSS_RATIO: f64 = 10.0;

/// Likelihood ratio of an engine from which another instance heard during the silence. This
/// instance may be the only one that is cut off from it: with 0.1, one in twenty of such streams
/// left too late for the maximum pause.
const PEER_HEARD_RATIO: f64 = 0.5;

/// Probability from which on an engine counts as dead.
pub const DEAD: f64 = 0.9;

/// Probability from which on an engine is more likely dead than alive.
pub const PROBABLY_DEAD: f64 = 0.5;

/// Probability from which on a data centre counts as dark: it is reached with two other engines
/// lost.
pub const DARK: f64 = 0.8;

/// Probability from which on a stream leaves an engine before its first event.
const DEAD_IN_PREFILL: f64 = 0.8;

/// Shortest silence in milliseconds after which a stream leaves an engine whose data centre has
/// gone dark. Longer than a retransmission.
pub const MIN_DARK_SILENCE_MS: u64 = 250;

/// Time in milliseconds for which a loss is evidence on the engines of its data centre.
const LOSS_RETENTION_MS: u64 = 600;

/// Maximum number of losses kept.
const MAX_LOSSES: usize = 256;

/// Median time in milliseconds from leaving an engine to the first event from a copy; 100 to 150 ms
/// were measured.
const RESUME_MS: f64 = 125.0;

/// Steepness of the distribution of that time.
const RESUME_STEEPNESS: f64 = 8.0;

/// Part of the maximum pause in milliseconds that is reserved for resuming from a copy.
const RESUME_RESERVE_MS: u64 = 150;

/// Cost of a move to a copy, in answers: the copy is used up, and sometimes incomplete. With 0.1, one
/// in thirty streams left an engine that is alive if no records of prefills arrived; with 0.25, one
/// in thirty left an engine that only others reach too late for the maximum pause.
const COPY_COST: f64 = 0.15;

/// Cost of a repeated prefill, in answers: the capacity that it takes from other streams.
const PREFILL_COST: f64 = 0.4;

/// Cost of one millisecond of waiting, in answers: callers leave after some 5 s of silence.
const DELAY_COST_PER_MS: f64 = 1.0 / 5_000.0;

/// Step and number of the times to leave that are compared, in milliseconds.
const STEP_MS: u64 = 25;
const STEPS: u64 = 32;

/// Why a stream left its engine.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum Evidence {
    /// The data centre of the engine has gone dark.
    DataCentre,
    /// The engine sent nothing on any stream.
    Engine,
    /// The first event is later than the objective allows.
    FirstEvent,
    /// The stream is silent while the engine may be alive.
    Stream,
}

impl Display for Evidence {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        formatter.write_str(match self {
            Self::DataCentre => "data_centre",
            Self::Engine => "engine",
            Self::FirstEvent => "first_event",
            Self::Stream => "stream",
        })
    }
}

/// Departure of a stream from its engine, as it is logged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Departure {
    /// Probability that the engine is dead, in percent.
    pub dead_percent: u32,
    /// Why it left.
    pub evidence: Evidence,
    /// Expected interval to the next event, in milliseconds.
    pub expected_ms: u64,
    /// Whether another engine has a copy of its KV cache.
    pub has_copy: bool,
    /// Longest recent gap between two events that this instance handled, in milliseconds.
    pub late_ms: u64,
    /// Time without events, in milliseconds.
    pub silent_ms: u64,
    /// Time for which the engine sent nothing on any stream of this instance, in milliseconds.
    pub unheard_ms: u64,
}

/// Intervals between the events of a pool's streams.
#[derive(Clone, Copy, Debug)]
pub struct Intervals {
    /// Mean interval while the engine prefills another prompt, in milliseconds; 0 before the first.
    delayed_ms: f64,
    /// Mean absolute deviation of the logarithm of an interval from the expected one.
    deviation: f64,
    /// Number of intervals recorded.
    samples: u64,
    /// Fraction of intervals from slow engines.
    slow_share: f64,
    /// Mean interval without a prefill, in milliseconds.
    usual_ms: f64,
}

impl Default for Intervals {
    fn default() -> Self {
        Self {
            delayed_ms: 0.0,
            deviation: INITIAL_DEVIATION,
            samples: 0,
            slow_share: 0.0,
            usual_ms: INITIAL_INTERVAL_MS,
        }
    }
}

/// Current speed of one engine against its pool.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    at: Time,
    /// Duration of its work as a multiple of the pool's mean at `at`.
    value: f64,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            at: Time::default(),
            value: 1.0,
        }
    }
}

impl Pace {
    /// Duration of the engine's work as a multiple of the pool's mean; returns to 1 without samples.
    pub fn get(self, now: Time) -> f64 {
        1.0 + (self.value - 1.0) * (-(now.since(self.at) as f64) / PACE_RETENTION_MS).exp()
    }

    /// Part of the pace that exceeds the mean by more than the jitter of an even pool.
    pub fn excess(self, now: Time) -> f64 {
        (self.get(now) - EVEN_PACE).max(0.0)
    }

    /// Adds a sample: the duration of some work as a multiple of the pool's mean.
    pub fn record(&mut self, sample: f64, now: Time) {
        let sample = sample.clamp(*PACE_RANGE.start(), *PACE_RANGE.end());
        let pace = self.get(now);
        *self = Self {
            at: now,
            value: pace + PACE_GAIN * (sample - pace),
        };
    }
}

/// Whether an engine prefills a prompt beside the stream in question, as far as is known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Prefill {
    /// No record of one.
    Idle,
    /// One should have ended recently.
    Recent,
    /// One is running.
    Running,
}

impl Prefill {
    /// State of an engine, given whether records say that it prefills now, and when they last did.
    pub fn observed(is_running: bool, last: Option<Time>, now: Time) -> Self {
        if is_running {
            Self::Running
        } else if last.is_some_and(|last| now.since(last) < PREFILL_TAIL_MS) {
            Self::Recent
        } else {
            Self::Idle
        }
    }

    fn probability(self) -> f64 {
        match self {
            Self::Idle => UNKNOWN_PREFILL,
            Self::Recent => RECENT_PREFILL,
            Self::Running => KNOWN_PREFILL,
        }
    }
}

impl Intervals {
    /// Records an interval of an engine in milliseconds, and its effect on the engine's pace.
    pub fn record(&mut self, millis: u64, prefill: Prefill, pace: &mut Pace, now: Time) {
        let millis = (millis as f64).max(1.0);
        if self.samples == 0 {
            self.usual_ms = millis;
        }
        self.samples += 1;
        let gain = POOL_GAIN.max(1.0 / self.samples as f64);
        let delayed = self.delayed();
        let expected_pace = pace.get(now);
        let boundary = (self.usual_ms * delayed).sqrt() * expected_pace;
        let is_delayed = prefill != Prefill::Idle && millis > boundary;
        let mean = if is_delayed { delayed } else { self.usual_ms };
        let ratio = millis / mean;
        let updated = mean + gain * (millis - mean);
        if is_delayed {
            self.delayed_ms = updated;
        } else {
            self.usual_ms = updated;
        }
        let is_slow = f64::from(u8::from(ratio > SLOW_PACE));
        self.slow_share += gain * (is_slow - self.slow_share);
        let error = (ratio / expected_pace).ln().abs();
        self.deviation += gain * (error.min(1.0) - self.deviation);
        pace.record(ratio, now);
    }

    /// Mean interval beside a prefill in milliseconds.
    fn delayed(&self) -> f64 {
        if self.delayed_ms > 0.0 {
            self.delayed_ms
        } else {
            self.usual_ms + INITIAL_DELAY_MS
        }
    }

    /// Whether some engines of the pool are slower than others.
    pub fn is_uneven(&self) -> bool {
        self.slow_share >= UNEVEN_SHARE
    }

    /// Distribution of the next interval of an engine that is alive.
    pub fn expectation(&self, prefill: Prefill, pace: f64) -> Expectation {
        let (usual, delayed) = (self.usual_ms, self.delayed());
        let (beside, slow) = (prefill.probability(), self.slow_share);
        let slow_pace = pace.max(TYPICAL_SLOW_PACE);
        let expected = match prefill {
            Prefill::Idle => usual,
            Prefill::Recent | Prefill::Running => delayed,
        };
        Expectation {
            classes: [
                ((1.0 - beside) * (1.0 - slow), usual * pace),
                ((1.0 - beside) * slow, usual * slow_pace),
                (beside * (1.0 - slow), delayed * pace),
                (beside * slow, delayed * slow_pace),
                HICCUP,
            ],
            expected_ms: expected * pace,
            steepness: self.steepness(),
        }
    }

    /// Distribution of the time to the first event, which should take `prefill_ms` at the pool's
    /// mean speed.
    pub fn first_event(&self, prefill_ms: u64, pace: f64) -> Expectation {
        let prefill_ms = prefill_ms as f64;
        let slow_pace = pace.max(TYPICAL_SLOW_PACE);
        Expectation {
            classes: [
                (1.0 - self.slow_share, prefill_ms * pace.max(1.0)),
                (self.slow_share, prefill_ms * slow_pace),
                (0.0, 0.0),
                (0.0, 0.0),
                HICCUP,
            ],
            expected_ms: prefill_ms * pace.max(1.0),
            // The length of queues at the engine is only estimated.
            steepness: *STEEPNESS.start(),
        }
    }

    fn steepness(&self) -> f64 {
        (LOGISTIC_DEVIATION / self.deviation.max(0.01)).clamp(*STEEPNESS.start(), *STEEPNESS.end())
    }
}

/// Distribution of the time to the next event of an engine that is alive.
#[derive(Clone, Copy, Debug)]
pub struct Expectation {
    /// Probability and median in milliseconds of each state that the engine may be in.
    classes: [(f64, f64); 5],
    /// Time expected by what is known of the engine, in milliseconds.
    pub expected_ms: f64,
    steepness: f64,
}

impl Expectation {
    /// Whether a silence is so long that a stream in prefill may leave by it.
    pub fn is_long(&self, silent_ms: u64) -> bool {
        silent_ms as f64 > self.expected_ms * MIN_INTERVALS
    }

    /// Probability that an engine that is alive is silent for this time.
    pub fn survival(&self, millis: u64) -> f64 {
        let class = |(weight, median): &(f64, f64)| {
            weight * survival(millis as f64, *median, self.steepness)
        };
        self.classes.iter().map(class).sum::<f64>().min(1.0)
    }
}

/// Survival function of a log-logistic distribution.
fn survival(millis: f64, median: f64, steepness: f64) -> f64 {
    if median == 0.0 {
        return 0.0;
    }
    1.0 / (1.0 + (millis / median).powf(steepness))
}

/// What is known of the other engines of a data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Neighbourhood {
    /// Logarithm of the likelihood ratio that the data centre is dark.
    log_ratio: f64,
}

impl Neighbourhood {
    /// Adds an engine that was lost.
    pub fn add_lost(&mut self) {
        self.log_ratio += MAX_RATIO.ln();
    }

    /// Adds an engine that sent an event during the silence in question.
    pub fn add_heard(&mut self) {
        self.log_ratio += (1.0 - DARK_SHARE).ln();
    }

    /// Adds an engine that is silent too; `survival` is the probability of that if it is alive.
    pub fn add_silent(&mut self, survival: f64) {
        self.log_ratio += (DARK_SHARE / survival).clamp(1.0, MAX_RATIO).ln();
    }

    /// Probability that the data centre has gone dark.
    pub fn dark(&self) -> f64 {
        let odds = PRIOR_ODDS_DARK * self.log_ratio.exp();
        odds / (1.0 + odds)
    }
}

/// How the loss of an engine became known.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LossSource {
    /// A connection of this instance broke, or could not be made.
    Connection,
    /// Another instance announced it.
    Peer,
    /// A first event did not come. Says little of other engines: a prefill may be slow, and streams that move add to it.
    FirstEvent,
    /// It fell silent on a stream of this instance that had received events.
    Silence,
}

impl LossSource {
    /// Whether the engine itself was seen to fail, rather than judged by its silence.
    pub fn is_of_engine(self) -> bool {
        matches!(self, Self::Connection | Self::Peer)
    }
}

/// Loss of an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Loss {
    at: Time,
    pub source: LossSource,
    pub upstream: upstream::Key,
}

/// Losses of engines that were observed or announced recently; the last one of each engine.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentLosses(VecDeque<Loss>);

impl RecentLosses {
    /// Records a loss.
    pub fn record(&mut self, upstream: upstream::Key, source: LossSource, now: Time) {
        self.0
            .retain(|loss| loss.upstream != upstream && now.since(loss.at) <= LOSS_RETENTION_MS);
        if self.0.len() < MAX_LOSSES {
            self.0.push_back(Loss {
                at: now,
                source,
                upstream,
            });
        }
    }

    /// Forgets the loss of an engine.
    pub fn forget(&mut self, upstream: upstream::Key) {
        self.0.retain(|loss| loss.upstream != upstream);
    }

    /// Iterates over the losses that are evidence on an engine silent for `silent_ms`: recent ones since it was last
    /// heard from or sent a request. An earlier loss says nothing of it, or streams would leave one engine after the other.
    pub fn recent(&self, silent_ms: u64, now: Time) -> impl Iterator<Item = &Loss> {
        let limit_ms = LOSS_RETENTION_MS.min(silent_ms);
        let is_recent = move |loss: &&Loss| now.since(loss.at) <= limit_ms;
        self.0.iter().filter(is_recent)
    }
}

/// What was observed of one engine.
#[derive(Clone, Copy, Debug, Default)]
pub struct Observations {
    /// Its current speed.
    pub pace: Pace,
    /// When another instance last announced a first event from it.
    pub peer_heard_at: Time,
    /// When it was last known to prefill a prompt; `None` before that.
    pub prefilled_at: Option<Time>,
    /// When a stream that had begun last left it because it was judged dead.
    pub judged_dead_at: Option<Time>,
}

/// Evidence on one engine besides its silence.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Hints {
    /// What is known of the other engines of its data centre.
    pub neighbourhood: Neighbourhood,
    /// Whether another instance heard from it during the silence.
    pub peer_heard: bool,
    /// Whether a connection to it broke recently, or another instance announced its loss.
    pub lost: bool,
}

impl Hints {
    /// Probability that the engine is dead, if one that is alive is silent for as long with
    /// probability `survival`.
    fn dead(&self, prior: f64, survival: f64) -> f64 {
        let prior = prior.max(self.neighbourhood.dark() * DARK_SHARE);
        let mut odds = prior / (1.0 - prior);
        if self.lost {
            odds *= LOSS_RATIO;
        }
        if self.peer_heard {
            odds *= PEER_HEARD_RATIO;
        }
        odds /= survival.max(f64::MIN_POSITIVE);
        odds / (1.0 + odds)
    }
}

/// What it means for a stream to be moved.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Stakes {
    /// Maximum pause between two events in milliseconds; 0 if the route states none.
    pub gap_objective_ms: u64,
    /// Whether another engine has a copy of its KV cache.
    pub has_copy: bool,
}

impl Stakes {
    /// Cost in answers of a move after a silence.
    fn move_cost(self, silent_ms: u64) -> f64 {
        let cost = if self.has_copy {
            COPY_COST
        } else {
            PREFILL_COST
        };
        if !self.is_in_time(silent_ms) {
            // The answer is already late.
            return cost;
        }
        let left_ms = self.gap_objective_ms - silent_ms;
        let is_late = if self.has_copy {
            survival(left_ms as f64, RESUME_MS, RESUME_STEEPNESS)
        } else {
            1.0
        };
        cost + is_late
    }

    /// Silence in milliseconds up to which a stream stays at an upstream that may be sound while no other has a place for it.
    /// Beyond the maximum pause, or where the route states none, the time for which callers wait for an event, the caller
    /// loses by the silence what it would lose by the wait for a place.
    pub fn max_stay_ms(self) -> u64 {
        let patience_ms = (1.0 / DELAY_COST_PER_MS) as u64;
        if self.gap_objective_ms > 0 {
            self.gap_objective_ms
        } else {
            patience_ms
        }
    }

    /// Whether a pause of this length is still within the objective.
    fn is_in_time(self, silent_ms: u64) -> bool {
        silent_ms < self.gap_objective_ms
    }

    /// Shortest silence in milliseconds after which a stream leaves by its own silence.
    fn min_silence_ms(self, stall_ms: u64, expected_ms: f64) -> u64 {
        let usual = stall_ms.max((expected_ms * MIN_INTERVALS) as u64);
        if self.has_copy && self.gap_objective_ms > 0 {
            let latest = self.gap_objective_ms.saturating_sub(RESUME_RESERVE_MS);
            return usual.min(latest.max(stall_ms));
        }
        usual
    }
}

/// Judgement of a stream that has received events.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Judgement {
    /// Probability that the engine is dead, or the stream on it.
    pub dead: f64,
    /// Whether the data centre is judged dark.
    pub is_dark: bool,
    /// Whether the stream should leave.
    pub leaves: bool,
}

/// Judges a stream that has received events and been silent for `silent_ms`. `stall_ms` is the
/// shortest silence after which it leaves without evidence from other engines.
pub fn judge(
    silent_ms: u64,
    expectation: &Expectation,
    hints: Hints,
    stakes: Stakes,
    stall_ms: u64,
) -> Judgement {
    let dead = hints.dead(PRIOR_DEAD, expectation.survival(silent_ms));
    let is_dark = hints.neighbourhood.dark() >= DARK && dead >= DEAD;
    let min_silence_ms = if is_dark {
        MIN_DARK_SILENCE_MS.min(stall_ms)
    } else {
        stakes.min_silence_ms(stall_ms, expectation.expected_ms)
    };
    Judgement {
        dead,
        is_dark,
        leaves: silent_ms > min_silence_ms
            && !is_waiting_cheaper(silent_ms, dead, expectation, stakes),
    }
}

/// Judges an engine on which a stream waits for its first event since `silent_ms`. `engine_survival`
/// is the probability that an engine that is alive is as silent on its other streams; 1 if that is
/// not known.
pub fn judge_prefill(
    silent_ms: u64,
    expectation: &Expectation,
    hints: Hints,
    engine_survival: f64,
    stall_ms: u64,
) -> Judgement {
    let by_first_event = hints.dead(PRIOR_DEAD_IN_PREFILL, expectation.survival(silent_ms));
    let dead = by_first_event.max(hints.dead(PRIOR_DEAD, engine_survival));
    Judgement {
        dead,
        is_dark: hints.neighbourhood.dark() >= DARK,
        leaves: silent_ms > stall_ms && dead >= DEAD_IN_PREFILL,
    }
}

/// Whether some later time to leave has a lower expected cost than leaving now.
fn is_waiting_cheaper(
    silent_ms: u64,
    dead: f64,
    expectation: &Expectation,
    stakes: Stakes,
) -> bool {
    let alive = 1.0 - dead;
    let survival_now = expectation.survival(silent_ms).max(f64::MIN_POSITIVE);
    let cost_now = stakes.move_cost(silent_ms);
    let (mut spent, mut silent) = (0.0, 1.0);
    for step in 1..=STEPS {
        let at = silent_ms + step * STEP_MS;
        let still_silent = dead + alive * expectation.survival(at) / survival_now;
        spent += silent * STEP_MS as f64 * DELAY_COST_PER_MS;
        if stakes.is_in_time(at - STEP_MS) && !stakes.is_in_time(at) {
            // The answer of a stream that is silent until then is late.
            spent += silent;
        }
        silent = still_silent;
        if spent + silent * stakes.move_cost(at) < cost_now {
            return true;
        }
    }
    false
}
