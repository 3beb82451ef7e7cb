//! Settings of the core: limits, rates and policies. All times are in milliseconds.

use super::*;

/// How an upstream is chosen. Policies that are not capacity-aware send to any live upstream and
/// leave queueing to it; they are baselines for measurements.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Routing {
    /// At random, weighted by estimated free capacity, as in the `RouteGrail` paper.
    Headroom,
    /// The least load in the last report, without regard to capacity.
    LeastReported,
    /// One of the few that rank first for the prompt's prefix, if it has capacity to spare;
    /// otherwise two choices.
    Prefix,
    /// At random, without regard to capacity.
    Random,
    /// Round robin, without regard to capacity.
    RoundRobin,
    /// Power of two choices: of two random upstreams with capacity, the one estimated to have less
    /// work.
    TwoChoices,
}

impl Routing {
    /// Every value, with its name in settings.
    pub const ALL: [(&'static str, Self); 6] = [
        ("headroom", Self::Headroom),
        ("least_reported", Self::LeastReported),
        ("prefix", Self::Prefix),
        ("random", Self::Random),
        ("round_robin", Self::RoundRobin),
        ("two_choices", Self::TwoChoices),
    ];

    /// Whether work queues at the instance until an upstream is estimated to have capacity.
    pub fn is_capacity_aware(self) -> bool {
        matches!(self, Self::Headroom | Self::Prefix | Self::TwoChoices)
    }
}

/// The rule by which poison requests, which crash their upstreams, are detected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineRule {
    /// By three crashes that no other quarantined request explains, or by five. It refuses half as
    /// many requests that were beside poison requests: 53 instead of 104 of 17,847 in virtual time
    /// with five poison requests per fleet; but two of 600 that crash upstreams together masked
    /// each other for longer than the users allow.
    Explained,
    /// By three crashes. None of 3,120 poison requests was sent more often than the users allow.
    Lives,
    /// Detection is off.
    Off,
}

impl QuarantineRule {
    /// Every value, with its name in settings.
    pub const ALL: [(&'static str, Self); 3] = [
        ("explained", Self::Explained),
        ("lives", Self::Lives),
        ("off", Self::Off),
    ];
}

/// Number of instances that hold a share of a rate limit, per request per second. The more there
/// are, the likelier one of them has something to send; each may send one request at once, and all
/// of them together no more than half of what the limit allows.
const HOLDERS_PER_REQUEST: f64 = 1.5;

/// Which instances hold a share of the rate limit that an upstream announces.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitHolders {
    /// All instances; only a baseline for measuring the benefit of `Few`.
    All,
    /// A number in proportion to the requests per second.
    Few,
}

impl LimitHolders {
    /// Every value, with its name in settings.
    pub const ALL: [(&'static str, Self); 2] = [("all", Self::All), ("few", Self::Few)];

    /// Number of instances that hold a share of a rate limit.
    pub(crate) fn holders(self, rate: limit::Rate, instances: u32) -> usize {
        let instances = instances as usize;
        match self {
            Self::All => instances,
            Self::Few => {
                let few = HOLDERS_PER_REQUEST * rate.per_second();
                instances.min(few as usize + 1)
            }
        }
    }
}

/// How a silent engine with relayed streams is judged.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LivenessMethod {
    /// By all that is known of the engine and its data centre, and by the cost of both errors.
    Evidence,
    /// By a fixed timeout, or a multiple of the mean interval between the events of the pool.
    Timeout,
}

impl LivenessMethod {
    /// Every value, with its name in settings.
    pub const ALL: [(&'static str, Self); 2] =
        [("evidence", Self::Evidence), ("timeout", Self::Timeout)];
}

/// When a stopping instance refuses requests that wait; all but the last only serve to measure its benefit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ShutdownPolicy {
    /// When its time is over.
    AtEnd,
    /// As it begins to stop, with all that arrive later and do not find an upstream at once.
    AtOnce,
    /// Once they could not be answered whole in the time left.
    Unfinishable,
}

impl ShutdownPolicy {
    /// Every value, with its name in settings.
    pub const ALL: [(&'static str, Self); 3] = [
        ("at_end", Self::AtEnd),
        ("at_once", Self::AtOnce),
        ("unfinishable", Self::Unfinishable),
    ];
}

/// Which versions of a pool's upstreams get new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum VersionPolicy {
    /// The active one alone, while one of its upstreams stays: for platforms on which operators order that another one
    /// gets work.
    Active,
    /// All of them.
    SideBySide,
}

impl VersionPolicy {
    /// Every value, with its name in settings.
    pub const ALL: [(&'static str, Self); 2] =
        [("active", Self::Active), ("side_by_side", Self::SideBySide)];
}

/// How a relayed stream resumes after its upstream was lost; all but the first only serve to
/// measure its benefit.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResumeMode {
    /// From a copy of its memory at another upstream, otherwise by repeating the prefill.
    Copy,
    /// By repeating the prefill at another upstream.
    Anew,
    /// Not at all: the stream is closed, and its caller retries.
    None,
}

impl ResumeMode {
    /// Every value, with its name in settings.
    pub const ALL: [(&'static str, Self); 3] = [
        ("copy", Self::Copy),
        ("anew", Self::Anew),
        ("none", Self::None),
    ];
}

/// Weights of the placement cost of a relayed request at an upstream, in an arbitrary unit; 0
/// ignores the criterion.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementWeights {
    /// An upstream in another data centre, for the traffic between them.
    pub far: f64,
    /// A full memory; a partly filled one costs that fraction.
    pub memory: f64,
    /// An upstream not heard from since all others of its data centre were lost; if a fraction of
    /// them was lost, it costs that fraction. Racks and data centres fail together, and
    /// each attempt costs time.
    pub outage: f64,
    /// Each prompt in prefill: it holds up every stream of its upstream.
    pub reading: f64,
    /// Each running request, which the prefill of a new prompt holds up.
    pub running: f64,
    /// Number of upstreams sampled for each placement, as a multiple of the pool's upstreams per
    /// instance; 0 considers all.
    pub sample: f64,
    /// An upstream that currently takes twice as long as the pool's mean, beyond the usual jitter. Off: an instance knows
    /// the current speed of few.
    pub slow: f64,
    /// Width of the random term, so that instances with the same information do not all choose the
    /// same upstream.
    pub spread: f64,
    /// A request involved in earlier crashes, beside which another one would be involved in its
    /// next crash.
    pub suspect: f64,
    /// Each recent failure.
    pub trouble: f64,
    /// An upstream not heard from since the store went away: the list would not show its end.
    pub unheard: f64,
}

impl Default for PlacementWeights {
    fn default() -> Self {
        Self {
            far: 0.4,
            memory: 1.0,
            outage: 20.0,
            reading: 4.0,
            running: 2.0,
            sample: 8.0,
            slow: 0.0,
            spread: 0.5,
            suspect: 6.0,
            trouble: 3.0,
            unheard: 3.0,
        }
    }
}

/// Limits on the load of engines, and on who waits for capacity. Memory use is computed from the
/// tokens of prompts and longest possible responses; 0 always means unbounded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityLimits {
    /// Fraction of the memory of all upstreams of a pool up to which they are given copies of each
    /// other's streams. With 0.5 fewer lost streams have a copy; with 0.75 the first streams of a
    /// burst find no capacity.
    pub copy_fill: f64,
    /// Fraction of a caller's timeout for which its request waits for state that an instance has
    /// not learned yet after its start.
    pub early: f64,
    /// Fraction of an upstream's memory up to which it is given new streams. Most responses are
    /// shorter than the maximum, so with 1 engines still have to preempt none; with 0.8 they served
    /// a twentieth less.
    pub fill: f64,
    /// A stream is refused at once if its response is expected to take this multiple of the time
    /// left. Estimates are means: of the streams that 1.25 refuses, none was served in time when
    /// tried.
    pub hopeless: f64,
    /// Fraction of an upstream's memory up to which it is given streams that can no longer start in
    /// time: they use spare capacity only.
    pub late_fill: f64,
    /// Number of concurrent prefills of an upstream: one, and another so that it is not idle
    /// between them.
    pub reading: u32,
    /// Whether streams that would wait too long are refused at once.
    pub refuse: bool,
    /// When a stopping instance refuses requests that wait.
    pub shutdown: ShutdownPolicy,
    /// Whether streams with long prompts may wait as long as those with prompts of mean length.
    pub sizes: bool,
    /// Whether streams that wait at several instances are sent in the order of their arrival.
    pub turns: bool,
}

impl Default for CapacityLimits {
    fn default() -> Self {
        Self {
            copy_fill: 0.6,
            early: 0.125,
            fill: 1.0,
            hopeless: 1.25,
            late_fill: 0.5,
            reading: 2,
            refuse: true,
            shutdown: ShutdownPolicy::Unfinishable,
            sizes: true,
            turns: true,
        }
    }
}

/// State that all instances share: retry and hedging budgets, and estimates of engine speed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedSettings {
    /// Minimum number of permits in an instance's share, and number that it may overdraw; 0 for
    /// neither: an instance with a share of less than one permit then never retries.
    pub least: f64,
    /// Whether instances act on each other's reports of upstreams that have ended or could not be connected to, and keep
    /// those that have ended whatever the list says.
    pub losses: bool,
    /// Whether instances send each other the prefill speed of engines during a shortage.
    pub paces: bool,
    /// Whether requests that no upstream accepted are sent again without a permit.
    pub unsent: bool,
}

impl Default for SharedSettings {
    fn default() -> Self {
        Self {
            least: 1.0,
            losses: true,
            paces: true,
            unsent: true,
        }
    }
}

/// The users' bound on the attempts of requests beyond their first that reach an upstream, for each service over all
/// instances together: in any window, `ratio` times the requests plus `extra`.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryBound {
    /// Attempts beyond the first allowed in a window whatever the number of requests.
    pub extra: f64,
    /// Attempts beyond the first allowed for each request.
    pub ratio: f64,
    /// Length of the window, in milliseconds; 0 for no such bound: retries then take permits of token buckets, and
    /// resumes none.
    pub window_ms: u64,
}

impl RetryBound {
    /// Whether there is a bound.
    pub fn is_set(&self) -> bool {
        self.window_ms > 0
    }
}

/// When calls of a plain service are refused because of the demand of all instances.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallAdmission {
    /// Once more of them are about to be in flight than complete in their target time.
    InFlight,
    /// As soon as more arrive than the slots serve.
    Rate,
}

impl CallAdmission {
    /// Every value, with its name in settings.
    pub const ALL: [(&'static str, Self); 2] =
        [("in_flight", Self::InFlight), ("rate", Self::Rate)];
}

/// How an upstream is chosen for a call of a plain service that is near its capacity.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CallPlacement {
    /// By the calls in flight at each upstream, here and at the instances of the data centre.
    Busy,
    /// At random, weighted by slots over the mean call time.
    Weights,
}

impl CallPlacement {
    /// Every value, with its name in settings.
    pub const ALL: [(&'static str, Self); 2] = [("busy", Self::Busy), ("weights", Self::Weights)];
}

/// Limits on calls of plain services.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallLimits {
    /// When calls are refused by demand.
    pub admission: CallAdmission,
    /// Whether calls beyond the capacity of the slots are refused, by the demand of all instances.
    pub demand: bool,
    /// How an upstream is chosen while the service is near its capacity.
    pub place: CallPlacement,
    /// Whether failed calls are sent again while their service is nearly full.
    pub second: bool,
    /// Target time in flight of calls while others are refused, as a fraction of the latency
    /// objective; 0 for a fixed number per slot.
    pub wait: f64,
    /// Whether the number of concurrent calls adapts to their outcomes.
    pub window: bool,
}

impl Default for CallLimits {
    fn default() -> Self {
        Self {
            admission: CallAdmission::InFlight,
            demand: true,
            place: CallPlacement::Busy,
            second: false,
            wait: 0.6,
            window: true,
        }
    }
}

impl CapacityLimits {
    /// No limits: upstreams are given whatever arrives, as a baseline.
    pub fn unbounded() -> Self {
        Self {
            copy_fill: 0.0,
            early: 0.0,
            fill: 0.0,
            hopeless: 0.0,
            late_fill: 0.0,
            reading: 0,
            refuse: false,
            shutdown: ShutdownPolicy::AtEnd,
            sizes: false,
            turns: false,
        }
    }
}

/// Limits on the bytes that are read of upstreams' answers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AnswerLimits {
    /// Bytes of a whole answer beyond which it is not read.
    pub body_bytes: u64,
    /// Bytes of an event beyond which its stream is not read.
    pub event_bytes: u64,
    /// Bytes of all answers that an instance is reading beyond which the largest is ended.
    pub instance_bytes: u64,
}

impl Default for AnswerLimits {
    fn default() -> Self {
        Self {
            body_bytes: 16 << 20,
            event_bytes: 2 << 20,
            instance_bytes: 32 << 20,
        }
    }
}

/// Limits on the bytes of events that wait for callers; 0 for none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UnreadLimits {
    /// Unread bytes of a customer from which its streams are read only as far as their callers read, and from which no
    /// new streams of it are admitted.
    pub customer_bytes: u64,
    /// Unread bytes of an instance beyond which streams are given up.
    pub instance_bytes: u64,
    /// Unread bytes of a request from which its upstream is not read.
    pub request_bytes: u64,
}

impl Default for UnreadLimits {
    fn default() -> Self {
        Self {
            customer_bytes: 8 << 20,
            instance_bytes: 16 << 20,
            request_bytes: 64 << 10,
        }
    }
}

/// Whether requests are ordered by the priorities of customers and routes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UrgencyMode {
    /// Not by these: as in pools whose routes of streams have one priority.
    Off,
    /// By rank, over all instances.
    Ranks,
}

impl UrgencyMode {
    /// Every value, with its name in settings.
    pub const ALL: [(&'static str, Self); 2] = [("off", Self::Off), ("ranks", Self::Ranks)];
}

/// Which less urgent streams on an engine give way to a stream: what they hold counts as free, where no engine has free
/// capacity otherwise.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Yielding {
    /// None.
    Nobody,
    /// Like `Unstarted`, but only to a stream that would otherwise soon be too late to start in time.
    Due,
    /// Those whose caller has nothing of the response yet; only their prefill is repeated.
    Unstarted,
    /// All; the callers of those that stream see a pause.
    All,
}

impl Yielding {
    /// Every value with its name in settings, from the least costly one.
    pub const ALL: [(&'static str, Self); 4] = [
        ("nobody", Self::Nobody),
        ("due", Self::Due),
        ("unstarted", Self::Unstarted),
        ("all", Self::All),
    ];
}

/// How streams of different urgency compete for capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UrgencySettings {
    /// Rate at which requests of any one rank or customer are served at least, as a fraction of the rate at which all
    /// are; 0 for no minimum.
    pub floor: f64,
    /// Whether requests are ordered by rank.
    pub mode: UrgencyMode,
    /// Which less urgent streams on an engine give way.
    pub yielding: Yielding,
}

impl Default for UrgencySettings {
    fn default() -> Self {
        Self {
            floor: 0.25,
            mode: UrgencyMode::Ranks,
            // Of the ways that preempt, the only one that costs no worth in all: six days of three fleets.
            yielding: Yielding::Due,
        }
    }
}

/// Settings of the core, constant for the lifetime of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Limits on what is read of upstreams' answers.
    pub answers: AnswerLimits,
    /// Maximum number of attempts per request.
    pub attempts_max: u32,
    /// Limits on calls of plain services.
    pub calls: CallLimits,
    /// Interval between two attempts to claim a continuation.
    pub claim_retry_ms: u64,
    /// Whether a non-repeatable generation may continue at another upstream from its delivered
    /// tokens.
    pub continue_non_repeatable: bool,
    /// Whether generations continue at another upstream at all; off only to measure the benefit.
    pub continuation: bool,
    /// Hedged continuations that each admitted request adds to the budget.
    pub hedge_earn: f64,
    /// Maximum size of the tokens and bodies held for all running requests, in bytes.
    pub held_bytes_max: u64,
    /// Maximum age of an idempotency key; older ones are refused.
    pub key_age_max_ms: u64,
    /// Maximum lead of an idempotency key's clock; keys further in the future are refused.
    pub key_lead_max_ms: u64,
    /// Time for which the report that an upstream is leaving overrides the platform's list.
    pub leaving_hint_ms: u64,
    /// Which instances hold a share of the rate limit that an upstream announces.
    pub limits: LimitHolders,
    /// Time for which an engine keeps a stream without a reader.
    pub linger_ms: u64,
    /// How a silent engine with relayed streams is judged.
    pub liveness: LivenessMethod,
    /// Interval of load reports of an upstream that is considered live.
    pub load_ms: u64,
    /// Gap between ticks from which the instance detects that it was paused.
    pub pause_ms: u64,
    /// Interval between probes of an upstream that is suspected, lost, or has not sent the first
    /// token that is due.
    pub probe_ms: u64,
    /// Timeout of a probe.
    pub probe_timeout_ms: u64,
    /// The rule by which poison requests are detected and refused.
    pub quarantine: QuarantineRule,
    /// Maximum number of requests that wait for an upstream.
    pub queue_max: usize,
    /// How an upstream is chosen.
    pub routing: Routing,
    /// Age of the content of a load report on arrival.
    pub report_lag_ms: u64,
    /// Weights for choosing an upstream for a relayed request.
    pub place: PlacementWeights,
    /// Whether upstreams are probed; without probes a suspected one is tried again after
    /// `probe_ms`.
    pub probes: bool,
    /// Silence after which a repeatable relayed call is sent to another upstream.
    pub relay_call_ms: u64,
    /// Silence before the first event after which a stream that resumes from a copy is considered
    /// to have none.
    pub relay_copy_ms: u64,
    /// Multiple of the objective for the first event after which a stream is sent to another
    /// upstream. A lower value (0.65) repeats prefills where engines are only slow: on quiet days
    /// of the larger sites, the value of served requests was 0.808 and 0.653 against 0.833 and
    /// 0.669.
    pub relay_first: f64,
    /// How a relayed stream resumes after its upstream was lost.
    pub relay_resume: ResumeMode,
    /// Silence between two events after which a relayed stream resumes at another upstream.
    pub relay_stall_ms: u64,
    /// Fraction of an upstream's slots reserved for resumed work.
    pub resume_reserve: f64,
    /// Limits on the load of engines with relayed streams.
    pub room: CapacityLimits,
    /// The users' bound on attempts beyond the first.
    pub retry: RetryBound,
    /// Retry permits that each admitted request adds to the budget.
    pub retry_earn: f64,
    /// State that all instances share.
    pub shared: SharedSettings,
    /// Silence after which a stream under the policy `resources` counts as lost.
    pub stall_loss_ms: u64,
    /// Maximum of the adaptive stall timeout.
    pub stall_max_ms: u64,
    /// Minimum of the adaptive stall timeout.
    pub stall_min_ms: u64,
    /// Number of upstreams of each pool that this instance uses; 0 for all.
    pub subset: usize,
    /// Maximum number of tokens in one response.
    pub tokens_max: u32,
    /// Limits on the events that wait for callers.
    pub unread: UnreadLimits,
    /// How streams of different urgency compete for capacity.
    pub urgency: UrgencySettings,
    /// Which versions of a pool's upstreams get new work.
    pub versions: VersionPolicy,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            answers: AnswerLimits::default(),
            attempts_max: 8,
            calls: CallLimits::default(),
            claim_retry_ms: 250,
            continue_non_repeatable: true,
            continuation: true,
            hedge_earn: 0.2,
            held_bytes_max: 64 << 20,
            key_age_max_ms: 900_000,
            key_lead_max_ms: 10_000,
            leaving_hint_ms: 30_000,
            limits: LimitHolders::Few,
            linger_ms: 5_000,
            liveness: LivenessMethod::Evidence,
            load_ms: 1_000,
            pause_ms: 500,
            probe_ms: 1_000,
            probe_timeout_ms: 400,
            place: PlacementWeights::default(),
            probes: true,
            quarantine: QuarantineRule::Lives,
            queue_max: 1_000,
            relay_call_ms: 300,
            relay_copy_ms: 1_000,
            relay_first: 1.2,
            relay_resume: ResumeMode::Copy,
            relay_stall_ms: 400,
            report_lag_ms: 300,
            resume_reserve: 0.0,
            routing: Routing::Prefix,
            retry: RetryBound::default(),
            retry_earn: 0.1,
            room: CapacityLimits::default(),
            shared: SharedSettings::default(),
            stall_loss_ms: 2_000,
            stall_max_ms: 600,
            stall_min_ms: 150,
            subset: 0,
            tokens_max: 32_768,
            unread: UnreadLimits::default(),
            urgency: UrgencySettings::default(),
            versions: VersionPolicy::SideBySide,
        }
    }
}
