//! Whether this instance itself reaches the upstreams, and the path that its requests take there: a connection of its
//! own, or a tunnel through another instance.
//!
//! A connection that can not be made shows that an upstream is not reachable from here. Whether the upstream has ended or
//! this instance is cut off is told apart by what else it reaches: an instance that is cut off reaches none. Until it has
//! reached another upstream, it does not announce to others what it lost.

use super::*;

/// Number of upstreams to which connections failed, none having been made since, from which on this instance takes itself
/// to be cut off.
const MIN_FAILED: usize = 2;

/// Time without any connection after which a connection is made to find out whether a loss is this instance's own, in
/// milliseconds. A retry mostly makes one within a few. For a crash none is waited for: until it is announced, every instance
/// sends the request that caused it to further upstreams.
const CONFIRM_MS: u64 = 50;

/// Interval between two connections that only find out whether upstreams can be reached again, in milliseconds. It grows
/// from the minimum by as much as the time for which they could not: most instances that seem to be cut off have only met
/// several upstreams that are down.
const CHECK_INTERVAL_MS: RangeInclusive<u64> = 50..=500;

/// Time after which such a connection counts as failed, in milliseconds. Exceeds the connect timeout.
const CHECK_TIMEOUT_MS: u64 = 1_000;

/// Number of such connections in a row, to different upstreams, after which all upstreams count as reachable again.
const CHECKS_PASSED: u32 = 2;

/// Path of an attempt to its upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Path {
    /// A connection of this instance.
    #[default]
    Direct,
    /// A tunnel through the instance with this identifier.
    Tunnel(u64),
}

/// What is announced to other instances once this one has reached another upstream.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(crate) enum Announcement {
    /// The upstream was lost: it accepted a connection and broke it off.
    BreakOff,
    /// The process of the upstream has ended.
    Crash,
    /// The upstream was lost.
    Loss,
}

impl Announcement {
    /// Time for which a connection made by other work is waited for, in milliseconds.
    fn confirm_ms(self) -> u64 {
        match self {
            Self::Crash => 0,
            Self::BreakOff | Self::Loss => CONFIRM_MS,
        }
    }
}

/// A connection that only finds out whether an upstream can be reached.
#[derive(Clone, Copy, Debug)]
struct Check {
    started_at: Time,
    upstream: upstream::Key,
}

/// What this instance knows of its own paths to upstreams.
#[derive(Clone, Debug, Default)]
pub(crate) struct Connectivity {
    check: Option<Check>,
    checks_passed: u32,
    /// When this instance last found itself cut off.
    cut_off_at: Time,
    /// When the last connection that was made had been started.
    connected_at: Time,
    /// Upstreams to which connections failed since, with the time at which the first of them was started.
    failed: BTreeMap<upstream::Key, Time>,
    gateways: Gateways,
    /// Announcements that are not made yet, with the time since which no connection has been made.
    held: BTreeMap<(upstream::Key, Announcement), Time>,
    next_check: Time,
    /// Upstreams that another instance reaches and this one does not.
    tunnelled: BTreeSet<upstream::Key>,
}

impl Connectivity {
    /// Records that a connection that was started at a time was made: earlier failures were not this instance's own.
    fn connect(&mut self, started_at: Time) {
        self.connected_at = self.connected_at.max(started_at);
        let connected_at = self.connected_at;
        self.failed.retain(|_, failed_at| *failed_at > connected_at);
    }

    /// Records that a connection that was started at a time failed.
    fn fail(&mut self, upstream: upstream::Key, started_at: Time) {
        if started_at > self.connected_at {
            self.failed.entry(upstream).or_insert(started_at);
        }
    }
}

impl Core {
    /// Whether this instance reaches no upstream, as far as is known, while there are others that may.
    pub fn is_cut_off(&self) -> bool {
        let failed = self.connectivity.failed.len();
        failed >= MIN_FAILED.min(self.upstreams.len()) && failed > 0 && self.has_gateways()
    }

    /// Whether this instance is cut off and knows no other that offers a tunnel.
    pub(crate) fn is_isolated(&self) -> bool {
        let is_avoided =
            |instance: &u64| self.connectivity.gateways.is_avoided(*instance, self.now);
        self.is_cut_off() && self.members.others().iter().all(is_avoided)
    }

    /// The upstream to which this instance opens a tunnel for another one; `None` if it does not reach that itself, or if
    /// the upstream is to get no new work.
    pub fn tunnel_target(&self, incarnation: Incarnation) -> Option<(upstream::Key, SocketAddr)> {
        let key = *self.upstreams_by_incarnation.get(&incarnation)?;
        let upstream = self.upstreams.get(key)?;
        let is_reached = !self.is_cut_off() && !self.connectivity.tunnelled.contains(&key);
        let may_connect = is_reached && !upstream.is_leaving(self.now);
        may_connect.then_some((key, upstream.address))
    }

    /// Another instance that is known to open tunnels, while this one is cut off.
    pub fn known_gateway(&mut self) -> Option<u64> {
        if !self.is_cut_off() {
            return None;
        }
        self.connectivity.gateways.known(self.now, &mut self.rng)
    }

    /// The path of a new attempt to an upstream.
    pub(crate) fn path_to(&mut self, upstream: upstream::Key) -> Path {
        if !self.is_cut_off() && !self.connectivity.tunnelled.contains(&upstream) {
            return Path::Direct;
        }
        let gateways = &self.connectivity.gateways;
        let gateway = gateways.choose(&self.members, self.now, &mut self.rng);
        gateway.map_or(Path::Direct, Path::Tunnel)
    }

    /// Handles the connection of an attempt that was made, or a response to it.
    pub(crate) fn record_connection(&mut self, key: attempt::Key) {
        let Some(attempt) = self.attempts.get(key) else {
            return;
        };
        let (path, upstream, started_at) = (attempt.path, attempt.upstream, attempt.created_at);
        match path {
            Path::Direct => self.record_reached(upstream, started_at),
            Path::Tunnel(gateway) => {
                self.connectivity.gateways.record_opened(gateway, self.now);
                if self.is_cut_off() {
                    self.connectivity.tunnelled.insert(upstream);
                }
            }
        }
    }

    /// Handles an attempt that could not connect.
    pub(crate) fn handle_not_connected(&mut self, attempt: &Attempt) {
        let upstream = attempt.upstream;
        match attempt.path {
            Path::Direct => self.record_unreached(upstream, attempt.created_at),
            Path::Tunnel(gateway) => {
                self.connectivity.tunnelled.remove(&upstream);
                let gateways = &mut self.connectivity.gateways;
                gateways.record_unreached(gateway, self.now);
            }
        }
        if attempt.path == Path::Direct && self.is_cut_off() {
            // The copy is where it was: the next attempt finds it by a tunnel.
            let progress = &mut self.requests[attempt.request].progress;
            progress.copy.clone_from(&attempt.copy);
            return;
        }
        // It accepts no connections.
        self.upstreams[upstream].break_off = None;
        if self.settings.shared.losses {
            self.upstreams[upstream].doubt(self.now, self.now);
        }
        match attempt.path {
            Path::Direct => self.report_loss(upstream, LossSource::Connection),
            // The gateway announces it, once it has reached another upstream.
            Path::Tunnel(_) => self.record_loss(upstream, LossSource::Connection),
        }
    }

    /// Handles an attempt whose tunnel was not opened, which says nothing of its upstream. The instance that declined it may
    /// have named another one.
    pub(crate) fn handle_no_tunnel(&mut self, attempt: &Attempt, named: Option<u64>) {
        if let Path::Tunnel(gateway) = attempt.path {
            let gateways = &mut self.connectivity.gateways;
            gateways.record_declined(gateway, named, self.now);
        }
        let progress = &mut self.requests[attempt.request].progress;
        progress.copy.clone_from(&attempt.copy);
    }

    /// Handles the result of a connection that was made for no request of this instance: `started_at` is when it was
    /// started.
    pub(crate) fn handle_connection_check(
        &mut self,
        upstream: upstream::Key,
        started_at: Time,
        connected: bool,
    ) {
        let check = self.connectivity.check;
        let is_own = check.is_some_and(|check| check.upstream == upstream);
        if is_own {
            self.connectivity.check = None;
        }
        if !connected {
            self.connectivity.checks_passed = 0;
            self.connectivity.next_check = self.now.after(self.check_interval_ms());
            // It may have left the list since the connection was started.
            let is_listed = self.upstreams.contains_key(upstream);
            if is_listed && !self.connectivity.tunnelled.contains(&upstream) {
                self.record_unreached(upstream, started_at);
                self.report_loss(upstream, LossSource::Connection);
            }
            return;
        }
        self.record_reached(upstream, started_at);
        if is_own {
            self.connectivity.next_check = self.now;
            self.connectivity.checks_passed += 1;
            if self.connectivity.checks_passed >= CHECKS_PASSED {
                self.connectivity.tunnelled.clear();
            }
        }
    }

    fn check_interval_ms(&self) -> u64 {
        if !self.is_cut_off() && self.connectivity.tunnelled.is_empty() {
            // An announcement waits, and the upstream that was chosen turned out to be down as well.
            return *CHECK_INTERVAL_MS.start();
        }
        let cut_off_ms = self.now.since(self.connectivity.cut_off_at);
        cut_off_ms.clamp(*CHECK_INTERVAL_MS.start(), *CHECK_INTERVAL_MS.end())
    }

    /// Makes connections that only find out whether upstreams can be reached, as long as that is in question.
    pub(crate) fn check_connectivity(&mut self) {
        let connectivity = &mut self.connectivity;
        if let Some(check) = connectivity.check {
            if self.now.since(check.started_at) < CHECK_TIMEOUT_MS {
                return;
            }
            connectivity.check = None;
        }
        if self.now < connectivity.next_check {
            return;
        }
        let Some(upstream) = self.check_target() else {
            self.connectivity.checks_passed = 0;
            return;
        };
        let started_at = self.now;
        self.connectivity.check = Some(Check {
            started_at,
            upstream,
        });
        let address = self.upstreams[upstream].address;
        self.push_connectivity_effect(effect::Connectivity::Check {
            address,
            started_at,
            upstream,
        });
    }

    /// Holds an announcement of what broke at a time until this instance has reached another upstream since; returns whether
    /// it may be made now.
    pub(crate) fn may_announce(
        &mut self,
        upstream: upstream::Key,
        announcement: Announcement,
        broken_at: Time,
    ) -> bool {
        if !self.has_gateways() || self.connectivity.connected_at >= broken_at {
            return true;
        }
        let held = &mut self.connectivity.held;
        held.entry((upstream, announcement)).or_insert(broken_at);
        false
    }

    /// Whether the announcement of a crash is held.
    pub(crate) fn holds_crash(&self, upstream: upstream::Key) -> bool {
        let held = &self.connectivity.held;
        held.contains_key(&(upstream, Announcement::Crash))
    }

    fn push_connectivity_effect(&mut self, effect: effect::Connectivity) {
        self.effects.push(Effect::Connectivity(effect));
    }

    fn has_gateways(&self) -> bool {
        !self.members.others().is_empty()
    }

    /// Handles a direct connection that was made: this instance is not cut off, so that what it lost before was lost by
    /// others as well.
    fn record_reached(&mut self, upstream: upstream::Key, started_at: Time) {
        let was_cut_off = self.is_cut_off();
        self.connectivity.connect(started_at);
        self.connectivity.tunnelled.remove(&upstream);
        if was_cut_off && !self.is_cut_off() {
            self.push_connectivity_effect(effect::Connectivity::Log {
                cut_off: false,
                unreached: self.connectivity.tunnelled.len(),
            });
            self.repeat_crash_checks();
        }
        let is_due = |_: &(upstream::Key, Announcement), at: &mut Time| *at <= started_at;
        let due = self.connectivity.held.extract_if(.., is_due);
        let due: Vec<_> = due.map(|(announcement, _)| announcement).collect();
        for (lost, announcement) in due {
            self.announce(lost, announcement);
        }
    }

    fn announce(&mut self, lost: upstream::Key, announcement: Announcement) {
        let Some(upstream) = self.upstreams.get(lost) else {
            return;
        };
        let incarnation = upstream.incarnation;
        match announcement {
            Announcement::BreakOff => self.effects.push(Effect::GossipBreakOff(incarnation)),
            Announcement::Crash => self.confirm_crash(incarnation),
            Announcement::Loss => self.effects.push(Effect::GossipLost(incarnation)),
        }
    }

    /// Handles a direct connection that failed.
    fn record_unreached(&mut self, upstream: upstream::Key, started_at: Time) {
        let was_cut_off = self.is_cut_off();
        self.connectivity.fail(upstream, started_at);
        if was_cut_off || !self.is_cut_off() {
            return;
        }
        self.count(Counter::CutOff);
        self.push_connectivity_effect(effect::Connectivity::Log {
            cut_off: true,
            unreached: self.connectivity.failed.len(),
        });
        self.connectivity.cut_off_at = self.now;
        self.connectivity.next_check = self.now;
        let held = std::mem::take(&mut self.connectivity.held);
        let held = held.into_keys().map(|(lost, _)| lost);
        let doubted: BTreeSet<upstream::Key> = held
            .chain(self.connectivity.failed.keys().copied())
            .collect();
        for key in doubted {
            self.trust(key);
            let incarnation = self.upstreams.get(key).map(|upstream| upstream.incarnation);
            if let Some(incarnation) = incarnation {
                self.release_retries(incarnation);
            }
        }
    }

    /// Takes back what was concluded on an upstream from connections of this instance that failed.
    fn trust(&mut self, key: upstream::Key) {
        self.losses.forget(key);
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        upstream.failure_score = upstream::FailureScore::default();
        upstream.break_off = None;
        upstream.reach = upstream::Reach::Undoubted;
        if upstream.health != Health::Suspected {
            return;
        }
        upstream.health = Health::Live;
        self.suspected.remove(&key);
        self.log_status_change(key, effect::StatusChange::Recovered);
    }

    /// The upstream to connect to next, to find out whether it can be reached; `None` if nothing is in question.
    fn check_target(&mut self) -> Option<upstream::Key> {
        let upstreams = &self.upstreams;
        let connectivity = &mut self.connectivity;
        connectivity
            .failed
            .retain(|key, _| upstreams.contains_key(*key));
        connectivity
            .tunnelled
            .retain(|key| upstreams.contains_key(*key));
        connectivity
            .held
            .retain(|(key, _), _| upstreams.contains_key(*key));
        let (cut_off, now) = (self.is_cut_off(), self.now);
        let connectivity = &self.connectivity;
        let is_overdue = |((_, announcement), at): (&(upstream::Key, Announcement), &Time)| {
            now.since(*at) >= announcement.confirm_ms()
        };
        let candidates = if !cut_off && !connectivity.tunnelled.is_empty() {
            connectivity.tunnelled.iter().copied().collect()
        } else if cut_off || connectivity.held.iter().any(is_overdue) {
            self.not_lost()
        } else {
            return None;
        };
        let index = self.rng.random_range(0..candidates.len().max(1));
        candidates.get(index).copied()
    }

    /// Upstreams to which no connection failed of late and that are not known to be down, or all if there are none.
    fn not_lost(&self) -> Vec<upstream::Key> {
        let held = self.connectivity.held.keys().map(|(lost, _)| *lost);
        let failed = self.connectivity.failed.keys().copied();
        let lost: BTreeSet<upstream::Key> = held.chain(failed).collect();
        let all = self.upstreams.keys();
        let is_up = |key: &upstream::Key| {
            let upstream = &self.upstreams[*key];
            let is_undoubted = upstream.reach == upstream::Reach::Undoubted;
            upstream.health == Health::Live && is_undoubted && !self.has_ended(*key)
        };
        let others: Vec<upstream::Key> = all
            .filter(|key| !lost.contains(key) && is_up(key))
            .collect();
        if others.is_empty() {
            return self.upstreams.keys().collect();
        }
        others
    }
}
