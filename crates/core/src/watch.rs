//! Watching upstreams: the list, leaving, load reports, probes, silence and deadlines.

use super::*;

/// Age of a load report that comes along with tokens, in milliseconds.
const PIGGYBACKED_LAG_MS: u64 = 5;

/// Length of a pause after which the list is not trusted, in milliseconds.
const LIST_STALE_MS: u64 = 2_000;

/// Time for which a list that can not be read again is waited for, in milliseconds.
const LIST_WAIT_MS: u64 = 3_000;

/// Time between two looks at deadlines, in milliseconds.
const EXPIRY_CHECK_MS: u64 = 50;

/// What an entry of the list stands for.
struct ListedUpstream {
    /// The life that was known under the name before, if it is another one.
    predecessor: Option<upstream::Key>,
    /// The upstream.
    key: upstream::Key,
}

impl Core {
    /// Takes in a load report that came along with tokens; the next one need not be asked for.
    pub(crate) fn apply_piggybacked_load(&mut self, attempt: attempt::Key, load: Load) {
        let Some(attempt) = self.attempts.get(attempt) else {
            return;
        };
        self.apply_upstream_load(attempt.upstream, load);
    }

    /// The same, by an upstream.
    pub(crate) fn apply_upstream_load(&mut self, key: upstream::Key, load: Load) {
        let next = self.now.after(self.settings.load_ms);
        self.upstreams[key].next_probe = next;
        self.apply_load(key, load, PIGGYBACKED_LAG_MS);
    }

    /// Something about an upstream went wrong: it is suspected and probed at once.
    pub(crate) fn mark_suspected(&mut self, key: upstream::Key) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        if upstream.health != Health::Live {
            return;
        }
        upstream.health = Health::Suspected;
        upstream.suspected_until = self.now.after(self.settings.probe_ms);
        self.count(Counter::Suspected);
        self.log_belief(key, effect::Belief::Doubted);
        if self.settings.probes {
            self.send_probe(key);
        }
    }

    /// A word that an upstream is leaving, which the platform's list may not say yet.
    pub(crate) fn apply_leaving_hint(&mut self, name: &str) {
        if let Some(key) = self.upstream_by_name(Life::new(name, 0)) {
            self.mark_leaving(key);
        }
    }

    /// Gives an upstream no new work for a while, whatever the platform's list says, and has others told.
    pub(crate) fn mark_leaving(&mut self, key: upstream::Key) {
        if self.set_leaving_hint(key) {
            let upstream = &self.upstreams[key];
            self.effects.push(Effect::Leaving {
                life: upstream.life,
                upstream: upstream.name.clone(),
            });
        }
    }

    /// Gives an upstream no new work for a while, whatever the platform's list says; whether that is news.
    pub(crate) fn set_leaving_hint(&mut self, key: upstream::Key) -> bool {
        let until = self.now.after(self.settings.leaving_hint_ms);
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return false;
        };
        let is_new = !upstream.is_leaving(self.now);
        upstream.leaving_until = until;
        if is_new {
            self.log_belief(key, effect::Belief::Leaving);
        }
        is_new
    }

    /// Takes in the platform's list: new upstreams, those that leave, and those that are gone.
    pub(crate) fn apply_list(&mut self, asked: Time, listed: Option<&[event::Listed]>) {
        if asked >= self.woken {
            self.stale_until = Time::default();
        }
        let Some(listed) = listed else {
            return;
        };
        let instances = listed
            .iter()
            .filter(|entry| entry.pool == core::INSTANCE_POOL && !entry.leaving)
            .count();
        if instances > 0 {
            self.instances = instances as u32;
        }
        let mut absent: Vec<upstream::Key> = self.upstreams.keys().collect();
        let mut predecessors = Vec::new();
        let known = self.upstreams.len();
        for entry in listed {
            if entry.pool != core::INSTANCE_POOL {
                let upstream = self.upsert_listed(entry);
                predecessors.extend(upstream.predecessor);
                absent
                    .retain(|other| *other != upstream.key && Some(*other) != upstream.predecessor);
            }
        }
        let has_new = self.upstreams.len() > known;
        for key in absent {
            if !self.upstreams[key].leaving || self.upstreams[key].attempts.is_empty() {
                self.log_belief(key, effect::Belief::Gone);
            }
            self.upstreams[key].leaving = true;
            if self.upstreams[key].attempts.is_empty() {
                self.remove_upstream(key);
            }
        }
        if has_new {
            self.resolve_address_conflicts();
        }
        // What they ran goes on elsewhere, which only the whole list tells.
        for predecessor in predecessors {
            self.remove_restarted(predecessor);
        }
        self.update_held();
        self.choose_subsets();
        self.listed = Some(asked);
        self.submit_early();
        self.pump_all();
    }

    /// A probe was answered or failed.
    pub(crate) fn apply_probe_result(&mut self, key: upstream::Key, alive: bool) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let Some(sent) = upstream.probe_sent.take() else {
            return;
        };
        let wait = if alive {
            self.settings.load_ms
        } else {
            self.settings.probe_ms
        };
        upstream.next_probe = self.now.after(wait);
        if alive {
            upstream.health = Health::Live;
            let pool = upstream.pool.clone();
            self.pump(&pool);
        } else if upstream.last_heard <= sent {
            self.mark_lost(key);
        }
    }

    /// An upstream refused work: it is believed full until its next report.
    pub(crate) fn mark_full(&mut self, key: upstream::Key) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let missing = i64::from(upstream.slots()) - i64::from(upstream.estimated_load());
        upstream.adjust_load(missing.max(0), self.now);
        upstream.next_probe = self.now;
    }

    /// Takes in a load report that was asked for.
    pub(crate) fn apply_load_report(&mut self, upstream: upstream::Key, load: Load) {
        self.apply_load(upstream, load, self.settings.report_lag_ms);
    }

    /// Time passed.
    pub(crate) fn tick(&mut self) {
        let keys: Vec<upstream::Key> = self.upstreams.keys().collect();
        for key in &keys {
            if self.settings.probes {
                self.check_probe(*key);
            } else {
                self.expire_suspected(*key);
            }
            self.check_streams(*key);
        }
        self.reclaim();
        self.expire_crash_suspects();
        self.submit_early();
        self.tell_demands();
        if self.now.since(self.swept) >= EXPIRY_CHECK_MS {
            self.swept = self.now;
            self.update_held();
            self.schedule_limit_probes();
            self.expire_requests();
        }
        self.pump_all();
    }

    /// Marks the upstreams of each pool that this instance works with: those that its identity
    /// ranks first among those that live and stay. Those it leaves finish what they have.
    fn choose_subsets(&mut self) {
        let count = self.settings.subset;
        if count == 0 {
            return;
        }
        for pool in self.pools.values() {
            let mut ranked = pool.upstreams.clone();
            ranked.retain(|key| {
                let upstream = &self.upstreams[*key];
                upstream.health != Health::Lost && !upstream.is_leaving(self.now) && !upstream.held
            });
            ranked.sort_unstable_by_key(|key| {
                route::rendezvous_rank(self.identity, self.upstreams[*key].life.id)
            });
            ranked.truncate(count);
            for key in &pool.upstreams {
                self.upstreams[*key].in_subset = ranked.contains(key);
            }
        }
    }

    fn remove_upstream(&mut self, key: upstream::Key) {
        let Some(upstream) = self.upstreams.remove(key) else {
            return;
        };
        if self.lives.get(&upstream.life) == Some(&key) {
            self.lives.remove(&upstream.life);
        }
        if let Some(pool) = self.pools.get_mut(&upstream.pool) {
            pool.upstreams.retain(|other| *other != key);
        }
        self.retained_states.keep(&upstream, self.now);
    }

    /// The upstream that is known under the name of a life, which may be another life.
    fn upstream_by_name(&self, life: Life) -> Option<upstream::Key> {
        self.lives
            .range(life.namesakes())
            .next()
            .map(|(_, key)| *key)
    }

    /// An upstream started again under its name: what ran there is gone, and nothing of it is believed any more. Had a
    /// silent link kept an attempt waiting, its caller would get no answer before its deadline.
    fn remove_restarted(&mut self, key: upstream::Key) {
        self.log_belief(key, effect::Belief::Restarted);
        self.confirm_crash(self.upstreams[key].life);
        for attempt in self.upstreams[key].attempts.clone() {
            self.abandon(attempt, counter::Reason::Restarted);
        }
        self.remove_upstream(key);
    }

    /// The upstream of a list entry, made if it is new. Another birth or another address is another upstream.
    fn upsert_listed(&mut self, entry: &event::Listed) -> ListedUpstream {
        let life = entry.life();
        let known = self.upstream_by_name(life);
        if let Some(key) = known
            && self.upstreams[key].life == life
            && self.upstreams[key].address == entry.address
        {
            if entry.leaving && !self.upstreams[key].is_leaving(self.now) {
                self.log_belief(key, effect::Belief::Leaving);
            }
            self.upstreams[key].leaving = entry.leaving;
            self.upstreams[key].listed_slots = entry.slots;
            self.upstreams[key].version = entry.version.as_str().into();
            return ListedUpstream {
                predecessor: None,
                key,
            };
        }
        let predecessor = known.filter(|key| self.upstreams[*key].life != life);
        if let Some(predecessor) = predecessor {
            let predecessor = &mut self.upstreams[predecessor];
            predecessor.health = Health::Lost;
            self.lives.remove(&predecessor.life);
        }
        let name: Arc<str> = entry.name.as_str().into();
        let pool: Arc<str> = entry.pool.as_str().into();
        let key = self.upstreams.insert(Upstream {
            address: entry.address,
            attempts: Vec::new(),
            unreported: 0,
            in_subset: true,
            data_centre: entry.data_centre.as_str().into(),
            detector: StallDetector::default(),
            suspected_until: Time::default(),
            full_until: Time::default(),
            health: Health::Live,
            last_heard: self.now,
            held: false,
            leaving: entry.leaving,
            leaving_until: Time::default(),
            life,
            listed_slots: entry.slots,
            load: Load::default(),
            name: name.clone(),
            limit_bucket: None,
            pool: pool.clone(),
            next_probe: self.now,
            last_probe: Time::default(),
            probe_sent: None,
            recent_changes: VecDeque::new(),
            registered_at: entry.since,
            declared: self.retained_states.take(life, entry.address),
            takes_ms: 0.0,
            failure_score: upstream::FailureScore::default(),
            version: entry.version.as_str().into(),
        });
        self.sightings.resolve(life, key, self.now);
        self.lives.insert(life, key);
        self.pools.entry(pool).or_default().upstreams.push(key);
        self.log_belief(key, effect::Belief::New);
        if let Some(rate) = self.upstreams[key].declared.limit {
            self.set_limit(key, rate);
        }
        ListedUpstream { predecessor, key }
    }

    /// Of upstreams at one address only the one that was entered last is there. An entry for a service that the
    /// configuration in force does not name takes nobody's place: it is another writer's, or its configuration comes
    /// yet, and then this is looked at again.
    pub(crate) fn resolve_address_conflicts(&mut self) {
        let Some(config) = &self.config else {
            return;
        };
        let pools = config.pools();
        let mut last: HashMap<SocketAddr, Position> = HashMap::new();
        let is_served = |upstream: &&Upstream| pools.contains(&*upstream.pool);
        for upstream in self.upstreams.values().filter(is_served) {
            let since = last.entry(upstream.address).or_default();
            *since = upstream.registered_at.max(*since);
        }
        let is_replaced = |(_, upstream): &(upstream::Key, &Upstream)| {
            let since = last.get(&upstream.address);
            since.is_some_and(|since| upstream.registered_at < *since)
        };
        let replaced: Vec<upstream::Key> = self
            .upstreams
            .iter()
            .filter(is_replaced)
            .map(|(key, _)| key)
            .collect();
        for key in replaced {
            self.mark_replaced(key);
        }
    }

    /// Another upstream has the address of this one.
    pub(crate) fn mark_replaced(&mut self, key: upstream::Key) {
        let upstream = &mut self.upstreams[key];
        if upstream.health == Health::Lost {
            return;
        }
        upstream.health = Health::Lost;
        upstream.failure_score.record(self.now);
        let life = upstream.life;
        self.log_belief(key, effect::Belief::Replaced);
        self.confirm_crash(life);
    }

    /// Gives up on an upstream and on everything that it runs.
    fn mark_lost(&mut self, key: upstream::Key) {
        if self.upstreams[key].health == Health::Lost && self.upstreams[key].attempts.is_empty() {
            return;
        }
        self.upstreams[key].health = Health::Lost;
        self.count(Counter::UpstreamLost);
        self.log_belief(key, effect::Belief::Lost);
        self.choose_subsets();
        for attempt in self.upstreams[key].attempts.clone() {
            self.abandon(attempt, counter::Reason::Probe);
        }
    }

    fn send_probe(&mut self, key: upstream::Key) {
        let upstream = &mut self.upstreams[key];
        if upstream.probe_sent.is_some() {
            return;
        }
        upstream.last_probe = self.now;
        upstream.probe_sent = Some(self.now);
        let address = upstream.address;
        self.effects.push(Effect::Probe {
            address,
            upstream: key,
        });
    }

    fn pump_all(&mut self) {
        let waiting: Vec<Arc<str>> = self
            .pools
            .iter()
            .filter(|(_, pool)| !pool.queue.is_empty())
            .map(|(name, _)| name.clone())
            .collect();
        for pool in waiting {
            self.pump(&pool);
        }
    }

    /// Ends requests whose time is over.
    fn expire_requests(&mut self) {
        let now = self.now;
        let expired: Vec<request::Key> = self
            .requests
            .iter()
            .filter(|(_, request)| {
                let waits = request.state == State::Queued && now >= request.send_by;
                waits || now >= request.deadline
            })
            .map(|(key, _)| key)
            .collect();
        for key in expired {
            // A relayed request is refused long before its deadline, while coming back can help.
            let request = &self.requests[key];
            let unsent = match request.work {
                Work::Relay(_) if self.reachable(request.service.pool()) => Kind::Overloaded,
                Work::Relay(_) => Kind::NoUpstream,
                Work::Call { .. } | Work::Generate { .. } => Kind::Deadline,
            };
            self.give_up(key, unsent, Kind::TimedOut);
        }
    }

    /// This instance was paused: what it did not hear in the meantime says nothing of others. After
    /// a long pause its list may name upstreams that have left since; it sends nothing until it has
    /// read the list again, or that fails for a while.
    pub(crate) fn resume_after_pause(&mut self, gap_ms: u64) {
        self.count(Counter::Paused);
        self.woken = self.now;
        if gap_ms > LIST_STALE_MS {
            self.stale_until = self.now.after(LIST_WAIT_MS);
        }
        for attempt in self.attempts.values_mut() {
            attempt.last = self.now;
        }
        for upstream in self.upstreams.values_mut() {
            upstream.last_heard = self.now;
            upstream.probe_sent = None;
            upstream.next_probe = self.now;
        }
    }

    /// Takes in a load report whose content is `lag_ms` milliseconds old.
    fn apply_load(&mut self, key: upstream::Key, load: Load, lag_ms: u64) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        upstream.apply_load_report(load, self.now, lag_ms);
        if load.leaving {
            self.mark_leaving(key);
            return;
        }
        let pool = upstream.pool.clone();
        self.pump(&pool);
    }

    /// A doubted upstream that is not probed is tried again after a while.
    fn expire_suspected(&mut self, key: upstream::Key) {
        let upstream = &mut self.upstreams[key];
        if upstream.health == Health::Suspected && self.now >= upstream.suspected_until {
            upstream.health = Health::Live;
            self.log_belief(key, effect::Belief::Trusted);
        }
    }

    /// Logs what is believed of an upstream from now on.
    pub(crate) fn log_belief(&mut self, key: upstream::Key, belief: effect::Belief) {
        let upstream = &self.upstreams[key];
        self.effects.push(Effect::Believe {
            belief,
            born: upstream.life.born,
            silent_ms: self.now.since(upstream.last_heard),
            upstream: upstream.name.clone(),
        });
    }

    fn check_probe(&mut self, key: upstream::Key) {
        let upstream = &self.upstreams[key];
        if !upstream.in_subset && upstream.attempts.is_empty() {
            return;
        }
        match upstream.probe_sent {
            Some(sent) if self.now.since(sent) >= self.settings.probe_timeout_ms => {
                self.apply_probe_result(key, false);
            }
            None if self.now >= upstream.next_probe => self.send_probe(key),
            None if self.is_overdue(key) => self.send_probe(key),
            _ => {}
        }
    }

    /// Whether an upstream has been silent for `probe_ms` although it has work of this instance.
    fn is_overdue(&self, key: upstream::Key) -> bool {
        let upstream = &self.upstreams[key];
        let silent =
            self.now.since(upstream.last_heard.max(upstream.last_probe)) >= self.settings.probe_ms;
        !upstream.attempts.is_empty() && silent
    }

    /// Looks for streams of an upstream that are silent too long.
    fn check_streams(&mut self, key: upstream::Key) {
        let upstream = &self.upstreams[key];
        if upstream.attempts.is_empty() {
            return;
        }
        if self.is_relaying(key) {
            self.watch_relays(key);
            return;
        }
        let timeout_ms = upstream.detector.timeout_ms(&self.settings);
        let streaming = |attempt: &attempt::Key| self.attempts[*attempt].started;
        let silent = upstream.attempts.iter().any(streaming);
        if silent && self.now.since(upstream.last_heard) > timeout_ms {
            self.mark_suspected(key);
        }
        let suspected = self.upstreams[key].health != Health::Live;
        for attempt in self.upstreams[key].attempts.clone() {
            self.check_stream(attempt, timeout_ms, suspected);
        }
    }

    fn check_stream(&mut self, key: attempt::Key, timeout_ms: u64, upstream_suspected: bool) {
        let Some(attempt) = self.attempts.get_mut(key) else {
            return;
        };
        let silence = self.now.since(attempt.last);
        if !attempt.sent || silence <= timeout_ms || !(attempt.started || upstream_suspected) {
            return;
        }
        let request = attempt.request;
        if attempt.started && silence > self.settings.stall_loss_ms {
            self.abandon(key, counter::Reason::Stall);
            return;
        }
        if !attempt.suspected {
            attempt.suspected = true;
            self.hedge(request);
        }
    }
}
