//! Watching upstreams: the list, leaving, load reports, probes, silence and deadlines.

use super::*;

/// Age of a load report that comes along with tokens, in milliseconds.
const CARRIED_LAG_MS: u64 = 5;

/// Length of a pause after which the list is not trusted, in milliseconds.
const LIST_STALE_MS: u64 = 2_000;

/// Time for which a list that can not be read again is waited for, in milliseconds.
const LIST_WAIT_MS: u64 = 3_000;

/// Time between two looks at deadlines, in milliseconds.
const SWEEP_MS: u64 = 50;

/// What an entry of the list stands for.
struct Place {
    /// The life that was known under the name before, if it is another one.
    former: Option<upstream::Key>,
    /// The upstream.
    key: upstream::Key,
}

impl Core {
    /// Takes in a load report that came along with tokens; the next one need not be asked for.
    pub(crate) fn carried(&mut self, attempt: attempt::Key, load: Load) {
        let Some(attempt) = self.attempts.get(attempt) else {
            return;
        };
        self.carried_by(attempt.upstream, load);
    }

    /// The same, by an upstream.
    pub(crate) fn carried_by(&mut self, key: upstream::Key, load: Load) {
        let next = self.now.after(self.settings.load_ms);
        self.upstreams[key].probe_at = next;
        self.take_load(key, load, CARRIED_LAG_MS);
    }

    /// Something about an upstream went wrong: it is suspected and probed at once.
    pub(crate) fn doubt(&mut self, key: upstream::Key) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        if upstream.health != Health::Live {
            return;
        }
        upstream.health = Health::Suspected;
        upstream.doubted_until = self.now.after(self.settings.probe_ms);
        self.count(Counter::Suspected);
        self.believe(key, effect::Belief::Doubted);
        if self.settings.probes {
            self.probe(key);
        }
    }

    /// A word that an upstream is leaving, which the platform's list may not say yet.
    pub(crate) fn hint_leaving(&mut self, name: &str) {
        if let Some(key) = self.namesake(Life::new(name, 0)) {
            self.leave(key);
        }
    }

    /// Gives an upstream no new work for a while, whatever the platform's list says, and has others told.
    pub(crate) fn leave(&mut self, key: upstream::Key) {
        if self.hint(key) {
            let upstream = &self.upstreams[key];
            self.effects.push(Effect::Leaving {
                life: upstream.life,
                upstream: upstream.name.clone(),
            });
        }
    }

    /// Gives an upstream no new work for a while, whatever the platform's list says; whether that is news.
    pub(crate) fn hint(&mut self, key: upstream::Key) -> bool {
        let until = self.now.after(self.settings.leaving_hint_ms);
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return false;
        };
        let news = !upstream.leaves(self.now);
        upstream.leaving_until = until;
        if news {
            self.believe(key, effect::Belief::Leaving);
        }
        news
    }

    /// Takes in the platform's list: new upstreams, those that leave, and those that are gone.
    pub(crate) fn list(&mut self, asked: Time, listed: Option<&[event::Listed]>) {
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
        let mut formers = Vec::new();
        let known = self.upstreams.len();
        for entry in listed {
            if entry.pool != core::INSTANCE_POOL {
                let place = self.listed(entry);
                formers.extend(place.former);
                absent.retain(|other| *other != place.key && Some(*other) != place.former);
            }
        }
        let is_longer = self.upstreams.len() > known;
        for key in absent {
            if !self.upstreams[key].leaving || self.upstreams[key].attempts.is_empty() {
                self.believe(key, effect::Belief::Gone);
            }
            self.upstreams[key].leaving = true;
            if self.upstreams[key].attempts.is_empty() {
                self.forget(key);
            }
        }
        if is_longer {
            self.settle_addresses();
        }
        // What they ran goes on elsewhere, which only the whole list tells.
        for former in formers {
            self.restarted(former);
        }
        self.settle_versions();
        self.choose_subsets();
        self.listed = Some(asked);
        self.submit_early();
        self.pump_all();
    }

    /// A probe was answered or failed.
    pub(crate) fn probed(&mut self, key: upstream::Key, alive: bool) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let Some(sent) = upstream.probing.take() else {
            return;
        };
        let wait = if alive {
            self.settings.load_ms
        } else {
            self.settings.probe_ms
        };
        upstream.probe_at = self.now.after(wait);
        if alive {
            upstream.health = Health::Live;
            let pool = upstream.pool.clone();
            self.pump(&pool);
        } else if upstream.heard <= sent {
            self.lose(key);
        }
    }

    /// An upstream refused work: it is believed full until its next report.
    pub(crate) fn refused(&mut self, key: upstream::Key) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        let missing = i64::from(upstream.slots()) - i64::from(upstream.believed());
        upstream.change(missing.max(0), self.now);
        upstream.probe_at = self.now;
    }

    /// Takes in a load report that was asked for.
    pub(crate) fn report(&mut self, upstream: upstream::Key, load: Load) {
        self.take_load(upstream, load, self.settings.report_lag_ms);
    }

    /// Time passed.
    pub(crate) fn tick(&mut self) {
        let keys: Vec<upstream::Key> = self.upstreams.keys().collect();
        for key in &keys {
            if self.settings.probes {
                self.watch_probe(*key);
            } else {
                self.watch_doubt(*key);
            }
            self.watch_streams(*key);
        }
        self.reclaim();
        self.watch_suspicion();
        self.submit_early();
        self.broadcast_demand();
        if self.now.since(self.swept) >= SWEEP_MS {
            self.swept = self.now;
            self.settle_versions();
            self.question_limits();
            self.sweep();
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
                upstream.health != Health::Lost && !upstream.leaves(self.now) && !upstream.held
            });
            ranked.sort_unstable_by_key(|key| {
                route::rank(self.identity, self.upstreams[*key].life.id)
            });
            ranked.truncate(count);
            for key in &pool.upstreams {
                self.upstreams[*key].chosen = ranked.contains(key);
            }
        }
    }

    fn forget(&mut self, key: upstream::Key) {
        let Some(upstream) = self.upstreams.remove(key) else {
            return;
        };
        if self.lives.get(&upstream.life) == Some(&key) {
            self.lives.remove(&upstream.life);
        }
        if let Some(pool) = self.pools.get_mut(&upstream.pool) {
            pool.upstreams.retain(|other| *other != key);
        }
        self.standings.keep(&upstream, self.now);
    }

    /// The upstream that is known under the name of a life, which may be another life.
    fn namesake(&self, life: Life) -> Option<upstream::Key> {
        self.lives
            .range(life.namesakes())
            .next()
            .map(|(_, key)| *key)
    }

    /// An upstream started again under its name: what ran there is gone, and nothing of it is believed any more. Had a
    /// silent link kept an attempt waiting, its caller would get no answer before its deadline.
    fn restarted(&mut self, key: upstream::Key) {
        self.believe(key, effect::Belief::Restarted);
        self.ended(self.upstreams[key].life);
        for attempt in self.upstreams[key].attempts.clone() {
            self.abandon(attempt, counter::Reason::Restarted);
        }
        self.forget(key);
    }

    /// The upstream of a list entry, made if it is new. Another birth or another address is another upstream.
    fn listed(&mut self, entry: &event::Listed) -> Place {
        let life = entry.life();
        let known = self.namesake(life);
        if let Some(key) = known
            && self.upstreams[key].life == life
            && self.upstreams[key].address == entry.address
        {
            if entry.leaving && !self.upstreams[key].leaves(self.now) {
                self.believe(key, effect::Belief::Leaving);
            }
            self.upstreams[key].leaving = entry.leaving;
            self.upstreams[key].listed_slots = entry.slots;
            self.upstreams[key].version = entry.version.as_str().into();
            return Place { former: None, key };
        }
        let former = known.filter(|key| self.upstreams[*key].life != life);
        if let Some(former) = former {
            let former = &mut self.upstreams[former];
            former.health = Health::Lost;
            self.lives.remove(&former.life);
        }
        let name: Arc<str> = entry.name.as_str().into();
        let pool: Arc<str> = entry.pool.as_str().into();
        let key = self.upstreams.insert(Upstream {
            address: entry.address,
            attempts: Vec::new(),
            balance: 0,
            chosen: true,
            data_centre: entry.data_centre.as_str().into(),
            detector: Detector::default(),
            doubted_until: Time::default(),
            full_until: Time::default(),
            health: Health::Live,
            heard: self.now,
            held: false,
            leaving: entry.leaving,
            leaving_until: Time::default(),
            life,
            listed_slots: entry.slots,
            load: Load::default(),
            name: name.clone(),
            part: None,
            pool: pool.clone(),
            probe_at: self.now,
            probed: Time::default(),
            probing: None,
            recent: VecDeque::new(),
            since: entry.since,
            standing: self.standings.take(life, entry.address),
            takes_ms: 0.0,
            trouble: upstream::Trouble::default(),
            version: entry.version.as_str().into(),
        });
        self.sightings.resolve(life, key, self.now);
        self.lives.insert(life, key);
        self.pools.entry(pool).or_default().upstreams.push(key);
        self.believe(key, effect::Belief::New);
        if let Some(rate) = self.upstreams[key].standing.limit {
            self.believe_limit(key, rate);
        }
        Place { former, key }
    }

    /// Of upstreams at one address only the one that was entered last is there. An entry for a service that the
    /// configuration in force does not name takes nobody's place: it is another writer's, or its configuration comes
    /// yet, and then this is looked at again.
    pub(crate) fn settle_addresses(&mut self) {
        let Some(config) = &self.config else {
            return;
        };
        let pools = config.pools();
        let mut last: HashMap<SocketAddr, Position> = HashMap::new();
        let served = |upstream: &&Upstream| pools.contains(&*upstream.pool);
        for upstream in self.upstreams.values().filter(served) {
            let since = last.entry(upstream.address).or_default();
            *since = upstream.since.max(*since);
        }
        let earlier = |(_, upstream): &(upstream::Key, &Upstream)| {
            let since = last.get(&upstream.address);
            since.is_some_and(|since| upstream.since < *since)
        };
        let earlier: Vec<upstream::Key> = self
            .upstreams
            .iter()
            .filter(earlier)
            .map(|(key, _)| key)
            .collect();
        for key in earlier {
            self.replaced(key);
        }
    }

    /// Another upstream has the address of this one.
    pub(crate) fn replaced(&mut self, key: upstream::Key) {
        let upstream = &mut self.upstreams[key];
        if upstream.health == Health::Lost {
            return;
        }
        upstream.health = Health::Lost;
        upstream.trouble.add(self.now);
        let life = upstream.life;
        self.believe(key, effect::Belief::Replaced);
        self.ended(life);
    }

    /// Gives up on an upstream and on everything that it runs.
    fn lose(&mut self, key: upstream::Key) {
        if self.upstreams[key].health == Health::Lost && self.upstreams[key].attempts.is_empty() {
            return;
        }
        self.upstreams[key].health = Health::Lost;
        self.count(Counter::UpstreamLost);
        self.believe(key, effect::Belief::Lost);
        self.choose_subsets();
        for attempt in self.upstreams[key].attempts.clone() {
            self.abandon(attempt, counter::Reason::Probe);
        }
    }

    fn probe(&mut self, key: upstream::Key) {
        let upstream = &mut self.upstreams[key];
        if upstream.probing.is_some() {
            return;
        }
        upstream.probed = self.now;
        upstream.probing = Some(self.now);
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
    fn sweep(&mut self) {
        let now = self.now;
        let over: Vec<request::Key> = self
            .requests
            .iter()
            .filter(|(_, request)| {
                let waits = request.state == State::Queued && now >= request.send_by;
                waits || now >= request.deadline
            })
            .map(|(key, _)| key)
            .collect();
        for key in over {
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
    pub(crate) fn wake(&mut self, gap: u64) {
        self.count(Counter::Paused);
        self.woken = self.now;
        if gap > LIST_STALE_MS {
            self.stale_until = self.now.after(LIST_WAIT_MS);
        }
        for attempt in self.attempts.values_mut() {
            attempt.last = self.now;
        }
        for upstream in self.upstreams.values_mut() {
            upstream.heard = self.now;
            upstream.probing = None;
            upstream.probe_at = self.now;
        }
    }

    /// Takes in a load report whose content is `lag` milliseconds old.
    fn take_load(&mut self, key: upstream::Key, load: Load, lag: u64) {
        let Some(upstream) = self.upstreams.get_mut(key) else {
            return;
        };
        upstream.report(load, self.now, lag);
        if load.leaving {
            self.leave(key);
            return;
        }
        let pool = upstream.pool.clone();
        self.pump(&pool);
    }

    /// A doubted upstream that is not probed is tried again after a while.
    fn watch_doubt(&mut self, key: upstream::Key) {
        let upstream = &mut self.upstreams[key];
        if upstream.health == Health::Suspected && self.now >= upstream.doubted_until {
            upstream.health = Health::Live;
            self.believe(key, effect::Belief::Trusted);
        }
    }

    /// Logs what is believed of an upstream from now on.
    pub(crate) fn believe(&mut self, key: upstream::Key, belief: effect::Belief) {
        let upstream = &self.upstreams[key];
        self.effects.push(Effect::Believe {
            belief,
            born: upstream.life.born,
            silent_ms: self.now.since(upstream.heard),
            upstream: upstream.name.clone(),
        });
    }

    fn watch_probe(&mut self, key: upstream::Key) {
        let upstream = &self.upstreams[key];
        if !upstream.chosen && upstream.attempts.is_empty() {
            return;
        }
        match upstream.probing {
            Some(sent) if self.now.since(sent) >= self.settings.probe_timeout_ms => {
                self.probed(key, false);
            }
            None if self.now >= upstream.probe_at => self.probe(key),
            None if self.owes(key) => self.probe(key),
            _ => {}
        }
    }

    /// Whether an upstream has been silent for `probe_ms` although it has work of this instance.
    fn owes(&self, key: upstream::Key) -> bool {
        let upstream = &self.upstreams[key];
        let silent = self.now.since(upstream.heard.max(upstream.probed)) >= self.settings.probe_ms;
        !upstream.attempts.is_empty() && silent
    }

    /// Looks for streams of an upstream that are silent too long.
    fn watch_streams(&mut self, key: upstream::Key) {
        let upstream = &self.upstreams[key];
        if upstream.attempts.is_empty() {
            return;
        }
        if self.is_relaying(key) {
            self.watch_relays(key);
            return;
        }
        let bound = upstream.detector.bound(&self.settings);
        let streaming = |attempt: &attempt::Key| self.attempts[*attempt].started;
        let silent = upstream.attempts.iter().any(streaming);
        if silent && self.now.since(upstream.heard) > bound {
            self.doubt(key);
        }
        let suspected = self.upstreams[key].health != Health::Live;
        for attempt in self.upstreams[key].attempts.clone() {
            self.watch_stream(attempt, bound, suspected);
        }
    }

    fn watch_stream(&mut self, key: attempt::Key, bound: u64, upstream_suspected: bool) {
        let Some(attempt) = self.attempts.get_mut(key) else {
            return;
        };
        let silence = self.now.since(attempt.last);
        if !attempt.sent || silence <= bound || !(attempt.started || upstream_suspected) {
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
