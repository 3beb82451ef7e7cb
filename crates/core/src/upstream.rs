//! Upstreams: inference engines and plain services that requests are sent to.

use super::*;

new_key_type! {
    /// Identifies an upstream within one core, as long as it is known there.
    pub struct Key;
}

/// Health of an upstream as seen by this instance.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// Responsive.
    Live,
    /// Given up on; gets no work until a probe succeeds.
    Lost,
    /// Silent or failing; gets no new work while others can take it.
    Suspected,
}

/// Load report of an upstream; outdated by an unknown lag when it arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Whether the upstream is leaving.
    pub leaving: bool,
    /// How long work takes there right now, in percent of the usual.
    pub pace_percent: u32,
    /// Requests being processed.
    pub running: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Requests in the upstream's queue.
    pub waiting: u32,
}

impl Load {
    /// Requests that are processed or queued.
    pub fn requests(self) -> u64 {
        u64::from(self.running) + u64::from(self.waiting)
    }
}

/// Value of `Load::pace_percent` for an upstream that does not report it.
pub const USUAL_PACE_PERCENT: u32 = 100;

impl Default for Load {
    fn default() -> Self {
        Self {
            leaving: false,
            pace_percent: USUAL_PACE_PERCENT,
            running: 0,
            slots: 0,
            waiting: 0,
        }
    }
}

/// Retention time for single load changes, in milliseconds. Exceeds the age of any load report.
const CHANGE_RETENTION_MS: u64 = 5_000;

/// Start or end of an attempt, or slots assumed to be taken after a refusal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadChange {
    /// When it happened.
    pub at: Time,
    /// Change of the estimated load, in requests.
    pub delta: i64,
}

/// Half-life of an upstream's failure score, in milliseconds.
const FAILURE_HALF_LIFE_MS: f64 = 2_000.0;

/// Number of failures of an upstream, with exponential decay.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureScore {
    at: Time,
    level: f64,
}

impl FailureScore {
    /// Adds one failure.
    pub fn record(&mut self, now: Time) {
        self.level = self.level(now) + 1.0;
        self.at = now;
    }

    /// Time of the last failure.
    pub fn last_failure(&self) -> Time {
        self.at
    }

    /// Decayed number of failures; 1 for a single one just now.
    pub fn level(&self, now: Time) -> f64 {
        if self.level == 0.0 {
            return 0.0;
        }
        self.level * (-(now.since(self.at) as f64) / FAILURE_HALF_LIFE_MS).exp2()
    }
}

/// Whether an upstream can be reached, by failed connections here and other instances' reports.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reach {
    /// Nothing has arrived from it since a connection failed or another instance lost it.
    Doubted {
        /// Since when.
        since: Time,
        /// Until when it gets no work while others are left; then it gets one request at a time.
        until: Time,
    },
    /// There is no reason to doubt it.
    Undoubted,
}

/// State of one upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Address that it listens on.
    pub address: SocketAddr,
    /// When it last sent anything to this instance or, by their records of streams, to others; the epoch if never.
    pub answered_at: Time,
    /// This instance's attempts in progress.
    pub attempts: Vec<attempt::Key>,
    /// State of its exchanges, if the last one broke off; `None` since its last answer or event.
    pub break_off: Option<BreakOff>,
    /// Data centre that it runs in.
    pub data_centre: Arc<str>,
    /// State announced in its response headers.
    pub declared: notice::DeclaredState,
    /// Statistics of the gaps between its tokens.
    pub detector: StallDetector,
    /// Recent failures.
    pub failure_score: FailureScore,
    /// Until when it is assumed to have no capacity, after it refused a request.
    pub full_until: Time,
    /// Health as seen by this instance.
    pub health: Health,
    /// Whether it gets no work because its version is not the active one.
    pub held: bool,
    /// Whether it is in this instance's subset of the pool; always true without subsetting.
    pub in_subset: bool,
    /// Its incarnation.
    pub incarnation: Incarnation,
    /// When anything was last received from it.
    pub last_heard: Time,
    /// When the last probe was sent.
    pub last_probe: Time,
    /// Whether the platform's list marks it as leaving or no longer contains it.
    pub leaving: bool,
    /// Until when an earlier hint that it is leaving overrides the list.
    pub leaving_until: Time,
    /// This instance's share of the rate limit; `None` without a limit.
    pub limit_bucket: Option<limit::TokenBucket>,
    /// When its entry became known, or the last time at which it was in the store for certain, if that is earlier.
    pub listed_at: Time,
    /// Maximum number of concurrent requests by the platform's list; 0 if unknown.
    pub listed_slots: u32,
    /// Last load report.
    pub load: Load,
    /// Recent duration of calls from all instances, in milliseconds; 0 if unknown.
    pub mean_call_ms: f64,
    /// Unique name in the platform's list.
    pub name: Arc<str>,
    /// Time of the next probe.
    pub next_probe: Time,
    /// What its streams show of its speed and liveness.
    pub observed: liveness::Observations,
    /// Pool in the platform's list.
    pub pool: Arc<str>,
    /// When the pending probe was sent; `None` if none is pending.
    pub probe_sent: Option<Time>,
    /// Recent load changes, oldest first, some of which a load report may include.
    pub recent_changes: VecDeque<LoadChange>,
    /// Whether it can be reached.
    pub reach: Reach,
    /// Most requests that were known to run there when it refused one, or that it has taken since; 0 if it refused none.
    pub refused_beside: u32,
    /// Position in the order of registration; the lowest if unknown.
    pub registered_at: Position,
    /// Until when it stays suspected, if upstreams are not probed.
    pub suspected_until: Time,
    /// When the last load report arrived.
    pub reported_at: Time,
    /// Starts minus ends of this instance's attempts that the last load report does not include.
    pub unreported: i64,
    /// Software version.
    pub version: Version,
    /// Name of its software version; empty if it does not state one.
    pub version_name: Arc<str>,
}

impl Upstream {
    /// Requests estimated to be running or queued there: the last report plus this instance's changes since.
    ///
    /// The combination of report and local count follows the `RouteGrail` paper.
    pub fn estimated_load(&self) -> u32 {
        let reported = self.load.requests().saturating_add_signed(self.unreported);
        let reported = u32::try_from(reported).unwrap_or(u32::MAX);
        reported.max(self.attempts.len() as u32)
    }

    /// Records that something was received from it.
    pub fn record_activity(&mut self, now: Time) {
        self.last_heard = now;
        self.record_answer(now);
        if self.health == Health::Suspected {
            self.health = Health::Live;
        }
    }

    /// Records that it sent something to this instance or another one.
    pub fn record_answer(&mut self, now: Time) {
        self.answered_at = now;
        self.reach = Reach::Undoubted;
    }

    /// Records that another instance lost it. For `millis` it gets no work while others are left, and then one request
    /// at a time until it answers. An upstream that has answered here within that time is reachable: the cause is the
    /// reporter's own network link.
    pub fn record_reported_loss(&mut self, millis: u64, now: Time) {
        if self.answered_at == Time::default() || now.since(self.answered_at) >= millis {
            self.doubt(now.after(millis), now);
        }
    }

    /// Records that it may not be reached, and until when it gets no work while others are left.
    pub fn doubt(&mut self, until: Time, now: Time) {
        let since = match self.reach {
            Reach::Doubted { since, .. } => since,
            Reach::Undoubted => now,
        };
        self.reach = Reach::Doubted { since, until };
    }

    /// Whether it should get no work while others are left: another instance has just lost it, or a request of this
    /// instance already tries whether it can be reached again.
    pub fn is_doubted(&self, now: Time) -> bool {
        match self.reach {
            Reach::Doubted { until, .. } => now < until || !self.attempts.is_empty(),
            Reach::Undoubted => false,
        }
    }

    /// Whether another instance has just lost it.
    pub fn is_just_reported(&self, now: Time) -> bool {
        matches!(self.reach, Reach::Doubted { until, .. } if now < until)
    }

    /// Applies a load report that is `lag_ms` milliseconds old. Changes of this instance before that are included in it.
    pub fn apply_load_report(&mut self, load: Load, now: Time, lag_ms: u64) {
        self.load = load;
        self.reported_at = now;
        self.recent_changes
            .retain(|change| now.since(change.at) < lag_ms);
        self.unreported = self.recent_changes.iter().map(|change| change.delta).sum();
    }

    /// Records the start or end of an attempt.
    pub fn adjust_load(&mut self, delta: i64, now: Time) {
        let is_old = |change: &mut LoadChange| now.since(change.at) > CHANGE_RETENTION_MS;
        while self.recent_changes.pop_front_if(is_old).is_some() {}
        self.unreported += delta;
        self.recent_changes.push_back(LoadChange { at: now, delta });
    }

    /// Whether it may be given new work.
    pub fn accepts_work(&self, now: Time) -> bool {
        self.in_subset && self.health == Health::Live && self.may_serve(now)
    }

    /// Whether it can take one more request, apart from its health: it is available and within its rate limit.
    pub fn may_serve(&self, now: Time) -> bool {
        !self.held && self.may_continue(now)
    }

    /// Whether it can take a stream that an upstream of its version began, apart from its health: such a stream may go on
    /// nowhere else, also while new work is held back from this version.
    pub fn may_continue(&self, now: Time) -> bool {
        !self.is_leaving(now)
            && !self.is_in_backoff(now)
            && self
                .limit_bucket
                .is_none_or(|bucket| bucket.has_permit(now))
    }

    /// Whether it is neither leaving, in backoff, nor held back for its version. Its rate limit may be exhausted.
    pub fn is_available(&self, now: Time) -> bool {
        !self.is_leaving(now) && !self.is_in_backoff(now) && !self.held
    }

    /// Takes a permit for a request; false if its rate limit is exhausted.
    pub fn take_permit(&mut self, now: Time) -> bool {
        self.limit_bucket
            .as_mut()
            .is_none_or(|bucket| bucket.take_permit(now))
    }

    /// Whether it asked this instance to back off.
    pub fn is_in_backoff(&self, now: Time) -> bool {
        now < self.declared.backoff_until
    }

    /// Whether it is leaving, by any source.
    pub fn is_leaving(&self, now: Time) -> bool {
        self.leaving || self.declared.leaving || now < self.leaving_until
    }

    /// Maximum number of concurrent requests by its load report; at least 1.
    pub fn slots(&self) -> u32 {
        self.load.slots.max(1)
    }
}

/// Hash of an upstream's name, as used in cursors.
pub fn id(name: &str) -> u64 {
    fingerprint::first(&blake3::hash(name.as_bytes()))
}
