//! The platform's list of upstreams as this instance applies it: whole, or the entries that have changed.
//!
//! The cost of a change does not grow with the list: with ten thousand upstreams, some hundred entries change in a
//! second while a fleet starts, and each instance applies every one of them.

use super::*;

/// Maximum number of upstreams that one change of the list logs one by one: a line for each of ten thousand, on each of
/// a thousand instances, would hide the lines that matter.
const LOGGED_MAX: usize = 20;

/// Upstream of a list entry.
struct ListedUpstream {
    /// Whether it was not known before.
    is_new: bool,
    /// Current incarnation.
    key: upstream::Key,
    /// The same incarnation at its former address, if the entry moved it.
    moved: Option<upstream::Key>,
    /// Previous incarnation under the same name, if the entry replaces one.
    predecessor: Option<upstream::Key>,
}

/// Upstreams that a change of the list concerns.
#[derive(Default)]
struct Applied {
    /// Those that were not known before.
    added: Vec<upstream::Key>,
    /// Those whose entries are unchanged or were written again.
    kept: HashSet<upstream::Key>,
    /// Former addresses of incarnations whose entries moved, which are no longer listed.
    moved: Vec<upstream::Key>,
    /// Previous incarnations that restarted upstreams replace.
    predecessors: Vec<upstream::Key>,
}

impl Core {
    /// Applies the platform's whole list: adds new upstreams, and marks or removes those that are leaving or gone.
    pub(crate) fn apply_list(&mut self, requested_at: Time, listed: Option<&[event::ListEntry]>) {
        if requested_at >= self.resumed_at {
            self.list_stale_until = Time::default();
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
        self.upstream_visits += self.upstreams.len() as u64;
        let known: Vec<upstream::Key> = self.upstreams.keys().collect();
        let upstreams = listed.iter();
        let upstreams = upstreams.filter(|entry| entry.pool != core::INSTANCE_POOL);
        let applied = self.apply_entries(upstreams);
        let is_unlisted = |key: &upstream::Key| {
            !applied.kept.contains(key)
                && !applied.predecessors.contains(key)
                && !applied.moved.contains(key)
        };
        let unlisted = known.into_iter().filter(is_unlisted);
        let unlisted = unlisted.chain(applied.moved.iter().copied()).collect();
        self.finish_list(requested_at, applied, unlisted);
    }

    /// Applies the entries of the platform's list that have changed. They are all of upstreams, whatever their pools are called.
    pub(crate) fn apply_list_delta(&mut self, requested_at: Time, delta: &event::ListDelta) {
        if requested_at >= self.resumed_at {
            self.list_stale_until = Time::default();
        }
        let applied = self.apply_entries(delta.listed.iter());
        let removed = delta.removed.iter();
        let unlisted = removed.filter_map(|name| self.upstream_by_name(Incarnation::new(name, 0)));
        let unlisted = unlisted.chain(applied.moved.iter().copied()).collect();
        self.finish_list(requested_at, applied, unlisted);
    }

    fn apply_entries<'a>(&mut self, listed: impl Iterator<Item = &'a event::ListEntry>) -> Applied {
        let mut applied = Applied::default();
        for entry in listed {
            self.upstream_visits += 1;
            let upstream = self.upsert_listed(entry);
            self.departed.remove(&upstream.key);
            applied.kept.insert(upstream.key);
            applied.predecessors.extend(upstream.predecessor);
            if let Some(moved) = upstream.moved {
                applied.kept.remove(&moved);
                applied.moved.push(moved);
            }
            if upstream.is_new {
                applied.added.push(upstream.key);
            }
        }
        applied
    }

    /// Completes a change of the list, once all of its entries are applied.
    fn finish_list(&mut self, requested_at: Time, applied: Applied, unlisted: Vec<upstream::Key>) {
        self.log_added(&applied.added);
        self.mark_unlisted(unlisted);
        self.remove_departed();
        self.resolve_conflicts_of(&applied.added);
        // Their work is retried elsewhere, which requires that the whole list has been applied.
        let mut predecessors = Worklist::new(applied.predecessors);
        while let Some(predecessor) = predecessors.next(&self.upstreams) {
            self.remove_restarted(predecessor);
        }
        self.hold_back_inactive_versions();
        self.choose_subsets();
        self.list_read_at = Some(requested_at);
        self.first_list_at.get_or_insert(self.now);
        self.update_names();
        self.submit_deferred();
        self.dispatch_all();
    }

    fn log_added(&mut self, added: &[upstream::Key]) {
        if added.len() > LOGGED_MAX {
            self.effects.push(Effect::LogUpstreams {
                change: effect::StatusChange::New,
                count: added.len(),
            });
            return;
        }
        for key in added {
            self.log_status_change(*key, effect::StatusChange::New);
        }
    }

    /// Marks upstreams that are no longer listed as leaving; those with running attempts are removed after them.
    fn mark_unlisted(&mut self, unlisted: Vec<upstream::Key>) {
        let is_logged = unlisted.len() <= LOGGED_MAX;
        if !is_logged {
            self.effects.push(Effect::LogUpstreams {
                change: effect::StatusChange::Gone,
                count: unlisted.len(),
            });
        }
        let mut unlisted = Worklist::new(unlisted);
        while let Some(key) = unlisted.next(&self.upstreams) {
            let upstream = &mut self.upstreams[key];
            let was_leaving = std::mem::replace(&mut upstream.leaving, true);
            let is_idle = upstream.attempts.is_empty();
            if is_logged && (!was_leaving || is_idle) {
                self.log_status_change(key, effect::StatusChange::Gone);
            }
            if is_idle {
                self.remove_upstream(key);
            } else {
                self.departed.insert(key);
            }
        }
    }

    /// Removes the unlisted upstreams whose last attempt has ended.
    pub(crate) fn remove_departed(&mut self) {
        let is_idle = |key: &upstream::Key| self.upstreams[*key].attempts.is_empty();
        let idle: Vec<upstream::Key> = self.departed.iter().copied().filter(is_idle).collect();
        for key in idle {
            self.log_status_change(key, effect::StatusChange::Gone);
            self.remove_upstream(key);
        }
    }

    /// Returns the upstream of a list entry, and adds it if it is new. Another start time or address means another upstream.
    fn upsert_listed(&mut self, entry: &event::ListEntry) -> ListedUpstream {
        let incarnation = entry.incarnation();
        let known = self.upstream_by_name(incarnation);
        if let Some(key) = known
            && self.upstreams[key].incarnation == incarnation
            && self.upstreams[key].address == entry.address
        {
            if entry.leaving && !self.upstreams[key].is_leaving(self.now) {
                self.log_status_change(key, effect::StatusChange::Leaving);
            }
            self.ended
                .contains_listed(incarnation, entry.address, self.now);
            self.upstreams[key].leaving = entry.leaving;
            self.upstreams[key].listed_slots = entry.counted_slots();
            self.set_version(key, &entry.version);
            return ListedUpstream {
                is_new: false,
                key,
                moved: None,
                predecessor: None,
            };
        }
        let predecessor = known.filter(|key| self.upstreams[*key].incarnation != incarnation);
        let moved = known.filter(|_| predecessor.is_none());
        if let Some(predecessor) = predecessor {
            // It is removed as restarted, which is evidence against the requests that it ran.
            self.departed.remove(&predecessor);
            let predecessor = &mut self.upstreams[predecessor];
            predecessor.health = Health::Lost;
            self.upstreams_by_incarnation
                .remove(&predecessor.incarnation);
        }
        let has_ended = self
            .ended
            .contains_listed(incarnation, entry.address, self.now);
        let name: Arc<str> = entry.name.as_str().into();
        let pool: Arc<str> = entry.pool.as_str().into();
        let key = self.upstreams.insert(Upstream {
            address: entry.address,
            answered_at: Time::default(),
            break_off: None,
            attempts: Vec::new(),
            data_centre: entry.data_centre.as_str().into(),
            declared: self.retained_states.take(incarnation, entry.address),
            detector: StallDetector::default(),
            failure_score: upstream::FailureScore::default(),
            full_until: Time::default(),
            health: if has_ended {
                Health::Lost
            } else {
                Health::Live
            },
            held: false,
            in_subset: true,
            incarnation,
            last_heard: self.now,
            last_probe: Time::default(),
            leaving: entry.leaving,
            leaving_until: Time::default(),
            limit_bucket: None,
            listed_at: self.listing_time(),
            listed_slots: entry.counted_slots(),
            load: Load::default(),
            mean_call_ms: 0.0,
            reported_at: Time::default(),
            name: name.clone(),
            next_probe: self.now,
            observed: liveness::Observations::default(),
            pool: pool.clone(),
            probe_sent: None,
            recent_changes: VecDeque::new(),
            reach: upstream::Reach::Undoubted,
            refused_beside: 0,
            registered_at: entry.registered_at,
            suspected_until: Time::default(),
            unreported: 0,
            version: Version::new(&entry.pool, &entry.version),
            version_name: entry.version.as_str().into(),
        });
        self.stream_records.resolve(incarnation, key, self.now);
        self.upstreams_by_incarnation.insert(incarnation, key);
        let pool = self.pools.entry(pool).or_default();
        pool.upstreams.push(key);
        pool.versions.add(self.upstreams[key].version);
        self.upstreams_by_address
            .entry(entry.address)
            .or_default()
            .push(key);
        if let Some(rate) = self.upstreams[key].declared.limit {
            self.set_limit(key, rate);
        }
        ListedUpstream {
            is_new: true,
            key,
            moved,
            predecessor,
        }
    }

    /// Sets the version that an upstream's entry states now.
    fn set_version(&mut self, key: upstream::Key, name: &str) {
        let upstream = &mut self.upstreams[key];
        if &*upstream.version_name == name {
            return;
        }
        let version = Version::new(&upstream.pool, name);
        upstream.version_name = name.into();
        let before = std::mem::replace(&mut upstream.version, version);
        if let Some(pool) = self.pools.get_mut(&upstream.pool) {
            pool.versions.remove(before, self.now);
            pool.versions.add(version);
        }
    }

    /// The known upstream with the same name, which may be another incarnation.
    pub(crate) fn upstream_by_name(&self, incarnation: Incarnation) -> Option<upstream::Key> {
        self.upstreams_by_incarnation
            .range(incarnation.same_name_range())
            .next()
            .map(|(_, key)| *key)
    }

    fn remove_upstream(&mut self, key: upstream::Key) {
        let Some(upstream) = self.upstreams.remove(key) else {
            return;
        };
        self.departed.remove(&key);
        self.suspected.remove(&key);
        self.limited.remove(&key);
        if let Some(others) = self.upstreams_by_address.get_mut(&upstream.address) {
            others.retain(|other| *other != key);
            if others.is_empty() {
                self.upstreams_by_address.remove(&upstream.address);
            }
        }
        if self.upstreams_by_incarnation.get(&upstream.incarnation) == Some(&key) {
            self.upstreams_by_incarnation.remove(&upstream.incarnation);
        }
        if let Some(pool) = self.pools.get_mut(&upstream.pool) {
            pool.upstreams.retain(|other| *other != key);
            pool.versions.remove(upstream.version, self.now);
        }
        self.retained_states.keep(&upstream, self.now);
    }

    /// Removes the former incarnation of a restarted upstream and retries its work at once. With a silent link, callers
    /// would otherwise get no response before their deadline.
    fn remove_restarted(&mut self, key: upstream::Key) {
        self.log_status_change(key, effect::StatusChange::Restarted);
        self.confirm_crash(self.upstreams[key].incarnation);
        for attempt in self.upstreams[key].attempts.clone() {
            self.abandon(attempt, counter::Reason::Restarted);
        }
        self.remove_upstream(key);
    }

    /// Resolves the conflicts over the addresses of some upstreams.
    fn resolve_conflicts_of(&mut self, added: &[upstream::Key]) {
        let addresses = added.iter().filter_map(|key| self.upstreams.get(*key));
        let addresses: BTreeSet<SocketAddr> = addresses.map(|upstream| upstream.address).collect();
        for address in addresses {
            self.resolve_conflict(address);
        }
    }

    /// Resolves the conflicts over all addresses.
    pub(crate) fn resolve_address_conflicts(&mut self) {
        let shared = self.upstreams_by_address.iter();
        let shared = shared.filter(|(_, upstreams)| upstreams.len() > 1);
        let addresses: BTreeSet<SocketAddr> = shared.map(|(address, _)| *address).collect();
        for address in addresses {
            self.resolve_conflict(address);
        }
    }

    /// Marks all but the last registered of the upstreams at an address as replaced. Entries for services that the active
    /// configuration does not contain replace none: they belong to another writer, or their configuration is yet to arrive,
    /// and then this check is repeated.
    fn resolve_conflict(&mut self, address: SocketAddr) {
        let Some(config) = &self.config else {
            return;
        };
        let Some(upstreams) = self.upstreams_by_address.get(&address) else {
            return;
        };
        self.upstream_visits += upstreams.len() as u64;
        let pools = config.pools();
        let all = upstreams.iter().map(|key| (*key, &self.upstreams[*key]));
        let served = all
            .clone()
            .filter(|(_, upstream)| pools.contains(&*upstream.pool));
        let last = served.map(|(_, upstream)| upstream.registered_at).max();
        let is_replaced =
            |(_, upstream): &(upstream::Key, &Upstream)| Some(upstream.registered_at) < last;
        let replaced = all.filter(is_replaced).map(|(key, _)| key);
        let replaced: Vec<upstream::Key> = replaced.collect();
        for key in replaced {
            self.mark_replaced(key);
        }
    }
}
