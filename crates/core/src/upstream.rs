//! Upstreams: engines and plain services that requests are sent to.

use super::*;

new_key_type! {
    /// Key of an upstream.
    pub struct Key;
}

/// What is believed of an upstream's life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Health {
    /// It answers.
    Live,
    /// It was given up on; it gets no work until a probe succeeds.
    Lost,
    /// It is silent; it gets no new work while others can take it.
    Suspected,
}

/// A load report of an upstream; old by some unknown lag when it arrives.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Load {
    /// Whether the upstream says that it is leaving.
    pub leaving: bool,
    /// Requests running.
    pub running: u32,
    /// Requests that run at once, at most.
    pub slots: u32,
    /// Requests waiting.
    pub waiting: u32,
}

/// Time for which starts and ends are remembered one by one, in milliseconds; longer than the age of
/// any load report.
const CHANGE_RETENTION_MS: u64 = 5_000;

/// A start or end of an attempt, or slots taken out of belief after a refusal.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LoadChange {
    /// When it was.
    pub at: Time,
    /// What it adds to the work believed to be there.
    pub delta: i64,
}

/// Time in which half of an upstream's past failures are forgotten, in milliseconds.
const FAILURE_HALF_LIFE_MS: f64 = 2_000.0;

/// Failures of an upstream, each fading with time.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureScore {
    at: Time,
    level: f64,
}

impl FailureScore {
    /// Notes one failure.
    pub fn record(&mut self, now: Time) {
        self.level = self.level(now) + 1.0;
        self.at = now;
    }

    /// When the last failure was.
    pub fn last_failure(&self) -> Time {
        self.at
    }

    /// Failures of late; 1 for one that happened just now.
    pub fn level(&self, now: Time) -> f64 {
        if self.level == 0.0 {
            return 0.0;
        }
        self.level * (-(now.since(self.at) as f64) / FAILURE_HALF_LIFE_MS).exp2()
    }
}

/// One upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Where it listens.
    pub address: SocketAddr,
    /// Attempts of this instance under way.
    pub attempts: Vec<attempt::Key>,
    /// Sum of this instance's starts less ends since what the last load report holds.
    pub unreported: i64,
    /// Whether this instance works with it, where it works with a part of the pool only.
    pub in_subset: bool,
    /// Data centre that it stands in.
    pub data_centre: Arc<str>,
    /// Until when it is doubted, where upstreams are not probed.
    pub suspected_until: Time,
    /// Gaps between its tokens.
    pub detector: StallDetector,
    /// What is believed of its life.
    pub health: Health,
    /// Until when it is believed to have no room, since it refused a request.
    pub full_until: Time,
    /// Last time anything came from it.
    pub last_heard: Time,
    /// Whether it gets no work, as it is of another version than the one in force.
    pub held: bool,
    /// Its life.
    pub life: Life,
    /// Whether the platform's list says that it is leaving, or has dropped it.
    pub leaving: bool,
    /// Until when an earlier word that it is leaving counts, though the list says otherwise.
    pub leaving_until: Time,
    /// Requests that it runs at once, by the platform's list; 0 where that is not known.
    pub listed_slots: u32,
    /// Last load report.
    pub load: Load,
    /// Unique name in the platform's list.
    pub name: Arc<str>,
    /// What this instance has of the limit that it named; `None` while it names none.
    pub limit_bucket: Option<limit::TokenBucket>,
    /// Pool in the platform's list.
    pub pool: Arc<str>,
    /// Time of the next probe.
    pub next_probe: Time,
    /// Time at which the last probe was sent.
    pub last_probe: Time,
    /// Time at which the last probe was sent, while it is not answered.
    pub probe_sent: Option<Time>,
    /// Place in the order in which upstreams were entered; the first of all where that is not known.
    pub registered_at: Position,
    /// Milliseconds that calls of all instances take there of late; 0 where none is known.
    pub takes_ms: f64,
    /// Failures of late, each fading with time.
    pub failure_score: FailureScore,
    /// What holds of it by its own words.
    pub declared: notice::DeclaredState,
    /// Version of its software; empty where it does not say.
    pub version: Arc<str>,
    /// Starts and ends of the last while, oldest first, of which a report may hold some.
    pub recent_changes: VecDeque<LoadChange>,
}

impl Upstream {
    /// Requests believed to run or wait there: the last report and what this instance did since.
    ///
    /// The anchor and local count follow the `RouteGrail` paper.
    pub fn estimated_load(&self) -> u32 {
        let reported = i64::from(self.load.running + self.load.waiting) + self.unreported;
        (reported.max(0) as u32).max(self.attempts.len() as u32)
    }

    /// Notes that something came from it.
    pub fn record_activity(&mut self, now: Time) {
        self.last_heard = now;
        if self.health == Health::Suspected {
            self.health = Health::Live;
        }
    }

    /// Takes in a load report whose content is `lag_ms` milliseconds old; what this instance did
    /// before that is in it.
    pub fn apply_load_report(&mut self, load: Load, now: Time, lag_ms: u64) {
        self.load = load;
        self.recent_changes
            .retain(|change| now.since(change.at) < lag_ms);
        self.unreported = self.recent_changes.iter().map(|change| change.delta).sum();
    }

    /// Notes a start or an end.
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

    /// Whether work may be meant for it, as far as it goes by what it is and says: it neither leaves nor rests, is of the
    /// version in force, and takes one more request.
    pub fn may_serve(&self, now: Time) -> bool {
        self.is_available(now)
            && self
                .limit_bucket
                .is_none_or(|bucket| bucket.has_permit(now))
    }

    /// The same, also for what has to wait for a permit.
    pub fn is_available(&self, now: Time) -> bool {
        !self.is_leaving(now) && !self.is_in_backoff(now) && !self.held
    }

    /// Takes the permit of a request that is sent, where it named a limit; false if there is none.
    pub fn take_permit(&mut self, now: Time) -> bool {
        self.limit_bucket
            .as_mut()
            .is_none_or(|bucket| bucket.take_permit(now))
    }

    /// Whether it asked this instance for rest.
    pub fn is_in_backoff(&self, now: Time) -> bool {
        now < self.declared.backoff_until
    }

    /// Whether it is leaving, by any signal.
    pub fn is_leaving(&self, now: Time) -> bool {
        self.leaving || self.declared.leaving || now < self.leaving_until
    }

    /// Requests it takes at once.
    pub fn slots(&self) -> u32 {
        self.load.slots.max(1)
    }
}

/// Hash of an upstream's name, as cursors carry it.
pub fn id(name: &str) -> u64 {
    print::first(&blake3::hash(name.as_bytes()))
}
