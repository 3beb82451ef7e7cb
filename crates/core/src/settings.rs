//! Bounds and rates of the decisions; all times in milliseconds.

use super::*;

/// How an upstream is chosen. The ways that know no room send to any live upstream and leave the
/// waiting to it; they are the baselines of the measurements.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Routing {
    /// At random with the weight of the believed room, as the `RouteGrail` paper has it.
    Headroom,
    /// The least load in the last report, without regard to room.
    LeastReported,
    /// One of the few that the prompt's start ranks first, if it has room to spare; else two choices.
    Prefix,
    /// At random, without regard to room.
    Random,
    /// One after the other, without regard to room.
    RoundRobin,
    /// Of two taken at random among those with room, the one believed to have less work.
    TwoChoices,
}

impl Routing {
    /// Every way, with its name in settings.
    pub const ALL: [(&'static str, Self); 6] = [
        ("headroom", Self::Headroom),
        ("least_reported", Self::LeastReported),
        ("prefix", Self::Prefix),
        ("random", Self::Random),
        ("round_robin", Self::RoundRobin),
        ("two_choices", Self::TwoChoices),
    ];

    /// Whether work waits at the instance until an upstream is believed to have room.
    pub fn is_capacity_aware(self) -> bool {
        matches!(self, Self::Headroom | Self::Prefix | Self::TwoChoices)
    }
}

/// By which rule a request is found to end the upstreams that run it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineRule {
    /// By three ends that no other guilty request explains, or by five. Refuses half as many requests that were beside such
    /// ones, 53 in place of 104 of 17,847 in virtual time with five of them a fleet; but two of 600 that end upstreams together
    /// hid behind each other for longer than the users allow.
    Explained,
    /// By three ends. None of 3,120 such requests was sent more often than the users allow.
    Lives,
    /// Not at all.
    Off,
}

impl QuarantineRule {
    /// Every rule, with its name in settings.
    pub const ALL: [(&'static str, Self); 3] = [
        ("explained", Self::Explained),
        ("lives", Self::Lives),
        ("off", Self::Off),
    ];
}

/// Instances that have a part of a limit, for each request a second. The more there are, the likelier one of them has something to
/// send; each may send one request at once, and all of them together no more than half of what the limit allows.
const HOLDERS_PER_REQUEST: f64 = 1.5;

/// Which instances have a part of the limit that an upstream names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitHolders {
    /// All of them; only shows what few are worth.
    All,
    /// Some for each request a second.
    Few,
}

impl LimitHolders {
    /// Every way, with its name in settings.
    pub const ALL: [(&'static str, Self); 2] = [("all", Self::All), ("few", Self::Few)];

    /// How many instances have a part of a limit.
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

/// How a relayed stream goes on whose upstream was lost; all but the first only show what it is worth.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResumeMode {
    /// From a copy of its memory at another upstream, else by reading the prompt anew.
    Copy,
    /// By reading the prompt anew at another upstream.
    Anew,
    /// Not at all: it is cut, and its caller comes back.
    None,
}

impl ResumeMode {
    /// Every way, with its name in settings.
    pub const ALL: [(&'static str, Self); 3] = [
        ("copy", Self::Copy),
        ("anew", Self::Anew),
        ("none", Self::None),
    ];
}

/// What it costs to choose an upstream for a relayed request, in a unit of its own; 0 for not weighed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementWeights {
    /// Another data centre, for the bytes between them.
    pub far: f64,
    /// The upstream's whole memory in use.
    pub memory: f64,
    /// An upstream that was not heard since all others of its data centre were lost; a part of them costs
    /// that part. Racks and data centres fail together, and each try costs time.
    pub outage: f64,
    /// A prompt that is being read: it holds up every stream of its upstream.
    pub reading: f64,
    /// One request that runs there, which a new prompt holds up. With 0.5, and 4 for the memory, copies
    /// weighed as much as streams: worth 0.704 against 0.715 over 40 pairs.
    pub running: f64,
    /// Upstreams of a pool that a request is placed by, for each upstream that there is for an instance; 0 for
    /// all of them.
    pub sample: f64,
    /// Width of the random part, so that instances which know the same do not all choose the same.
    pub spread: f64,
    /// A request that was at upstreams when they ended, beside which another one would be in its next end.
    pub suspect: f64,
    /// One failure of late.
    pub trouble: f64,
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
            spread: 0.5,
            suspect: 6.0,
            trouble: 3.0,
        }
    }
}

/// Bounds on what engines are given, and who waits for room. A part of an upstream's memory is reckoned by
/// the tokens of prompts and longest answers; 0 always means that there is no bound.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CapacityLimits {
    /// Part of the memory of all upstreams of a pool up to which they are given copies of each other's
    /// streams. With 0.5 fewer lost streams have one, with 0.75 the first streams of a burst find no room.
    pub copy_fill: f64,
    /// Part of a caller's patience for which its request waits for what an instance does not know yet after
    /// its start.
    pub early: f64,
    /// Part of an upstream's memory up to which it is given new streams. Most answers are shorter than the
    /// longest, so with 1 engines still have to stop none; with 0.8 they served a twentieth less.
    pub fill: f64,
    /// A stream is refused at once if its answer is expected to take so many times the time left. Estimates
    /// are means: of those that 1.25 refuses none was served in time when tried.
    pub hopeless: f64,
    /// Part of an upstream's memory up to which it is given streams that can no longer begin in the time
    /// wanted: they take what others leave.
    pub late_fill: f64,
    /// Prompts that an upstream reads at once: one, and another so that it is not idle between them.
    pub reading: u32,
    /// Whether streams that would wait too long are refused at once.
    pub refuse: bool,
    /// Whether streams with long prompts may wait as long as those with prompts of the mean length.
    pub sizes: bool,
    /// Whether streams that wait at several instances are sent in the order in which they came.
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
            sizes: true,
            turns: true,
        }
    }
}

/// What all instances keep together: budgets of second sendings and of continuations on suspicion, and what they
/// learn of engines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SharedSettings {
    /// Permits that an instance's part is at least, and that it may owe; 0 for neither: where the part is less
    /// than one permit, nothing is then ever sent again.
    pub least: f64,
    /// Whether instances tell each other how fast engines read prompts while streams find no room.
    pub paces: bool,
    /// Whether what no upstream took in is sent again without a permit.
    pub unsent: bool,
}

impl Default for SharedSettings {
    fn default() -> Self {
        Self {
            least: 1.0,
            paces: true,
            unsent: true,
        }
    }
}

/// Bounds on calls of plain services.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallLimits {
    /// Whether those beyond what the slots serve are refused, by what all instances are asked.
    pub demand: bool,
    /// Whether calls that upstreams failed are sent on while their service is nearly full.
    pub second: bool,
    /// Part of the time in which answers are wanted that calls are under way while others are refused; 0 for a fixed number a slot.
    pub wait: f64,
    /// Whether those under way at once are bounded by how they are answered.
    pub window: bool,
}

impl Default for CallLimits {
    fn default() -> Self {
        Self {
            demand: true,
            second: false,
            wait: 0.6,
            window: true,
        }
    }
}

impl CapacityLimits {
    /// Without any bound: upstreams are given whatever comes, as a baseline.
    pub fn unbounded() -> Self {
        Self {
            copy_fill: 0.0,
            early: 0.0,
            fill: 0.0,
            hopeless: 0.0,
            late_fill: 0.0,
            reading: 0,
            refuse: false,
            sizes: false,
            turns: false,
        }
    }
}

/// Settings of the core, the same for the life of an instance.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Greatest number of attempts of one request.
    pub attempts_max: u32,
    /// Bounds on calls of plain services.
    pub calls: CallLimits,
    /// Time between two tries to claim a continuation.
    pub claim_retry_ms: u64,
    /// Whether a non-repeatable generation may go on elsewhere from its delivered tokens.
    pub continue_non_repeatable: bool,
    /// Whether generations go on elsewhere at all; off only to show what it is worth.
    pub continuation: bool,
    /// Continuations on suspicion that each admitted request earns.
    pub hedge_earn: f64,
    /// Tokens and body bytes held for running requests, together, at most.
    pub held_bytes_max: u64,
    /// Age of an idempotency key beyond which it is refused.
    pub key_age_max_ms: u64,
    /// Lead of an idempotency key's clock beyond which it is refused.
    pub key_lead_max_ms: u64,
    /// How long a word that an upstream leaves counts against the platform's list.
    pub leaving_hint_ms: u64,
    /// Which instances have a part of the limit that an upstream names.
    pub limits: LimitHolders,
    /// How long an engine keeps a stream without a reader.
    pub linger_ms: u64,
    /// Time between load reports of an upstream that is believed to live.
    pub load_ms: u64,
    /// Gap between ticks after which the instance knows that it was paused.
    pub pause_ms: u64,
    /// Time between probes of an upstream that is suspected, lost, or owes a first token.
    pub probe_ms: u64,
    /// Time after which a probe without answer has failed.
    pub probe_timeout_ms: u64,
    /// By which rule requests are found, and refused, that end the upstreams that run them.
    pub quarantine: QuarantineRule,
    /// Requests waiting for an upstream, at most.
    pub queue_max: usize,
    /// How an upstream is chosen.
    pub routing: Routing,
    /// Age that the content of a load report has when it arrives.
    pub report_lag_ms: u64,
    /// What is weighed when an upstream is chosen for a relayed request.
    pub place: PlacementWeights,
    /// Whether upstreams are probed; without probes a doubted one is tried again after `probe_ms`.
    pub probes: bool,
    /// Silence after which a repeatable relayed call is sent to another upstream.
    pub relay_call_ms: u64,
    /// Silence before the first event after which a stream that goes on from a copy has none.
    pub relay_copy_ms: u64,
    /// The time in which the first event is wanted, times this, is waited for it before a stream goes
    /// elsewhere. Less (0.65) reads prompts twice where engines are only slow: on the grown sites' quiet
    /// days 0.808 and 0.653 of the worth against 0.833 and 0.669.
    pub relay_first: f64,
    /// How a relayed stream goes on whose upstream was lost.
    pub relay_resume: ResumeMode,
    /// Silence between two events after which a relayed stream goes on elsewhere.
    pub relay_stall_ms: u64,
    /// Share of an upstream's slots that only resumed work may use.
    pub resume_reserve: f64,
    /// Room of engines for relayed streams.
    pub room: CapacityLimits,
    /// Permits for a retry that each admitted request earns.
    pub retry_earn: f64,
    /// What all instances keep together.
    pub shared: SharedSettings,
    /// Silence after which a stream under the policy `resources` is lost.
    pub stall_loss_ms: u64,
    /// Upper limit of the adaptive stall bound.
    pub stall_max_ms: u64,
    /// Lower limit of the adaptive stall bound.
    pub stall_min_ms: u64,
    /// Upstreams of each pool that this instance works with; 0 for all.
    pub subset: usize,
    /// Tokens of one answer, at most.
    pub tokens_max: u32,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
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
            retry_earn: 0.1,
            room: CapacityLimits::default(),
            shared: SharedSettings::default(),
            stall_loss_ms: 2_000,
            stall_max_ms: 600,
            stall_min_ms: 150,
            subset: 0,
            tokens_max: 32_768,
        }
    }
}
