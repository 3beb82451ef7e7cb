//! Names of versions: which versions the upstreams of a pool may have had, as the store tells.
//!
//! What an instance has not seen is no evidence: its memory begins with its start, and lacks what came while it stood still or
//! was cut off. So the store names the versions of each pool, and an upstream gets new streams once its version is named. A
//! stream of unknown origin may then go on where a read of the names that began behind its arrival shows a single version.
//! Work goes to a version without a name only where capacity counts for more: behind [`HOLD_MS`], where no other upstream of
//! the pool can take it, and at an instance that starts and has not read the names yet.

use super::*;

/// Time for which an upstream whose version is not named yet gets no new work while others of its pool can, in milliseconds: a
/// write to a store that answers takes a fraction of it. Where the store does not answer, capacity counts for more.
const HOLD_MS: u64 = 1_500;

/// Time for which a call of [`Call::Name`] is repeated until it succeeds, and behind which it is made anew for versions that are
/// still listed and not named, in milliseconds.
pub const NAMING_MS: u64 = 15_000;

/// Time for which a name stays behind the last upstream of its version, in milliseconds: longer than streams come back and than
/// an instance that does not see upstreams of that version any more takes it for named.
const FORGET_MS: u64 = 2 * origin::RETENTION_MS;

/// Time between two reads for each other instance of the fleet, in milliseconds: the store refuses what goes beyond a rate for all of
/// them, and calls of others with it.
const READ_INTERVAL_MS: u64 = 1;

/// Time for which a read that showed several versions of a pool is not repeated, in milliseconds.
const SEVERAL_MS: u64 = 2_000;

/// Version of a pool by its name in the store.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Name {
    /// The pool.
    pub pool: Arc<str>,
    /// The version.
    pub version: Version,
}

/// What is to be done with the names in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Call {
    /// Remove a version that no upstream has any more.
    Forget(Name),
    /// Write versions that are not named yet; answered by [`Event::VersionsNamed`].
    Name(Vec<Name>),
    /// Read all names as they are now; answered by [`Event::VersionsRead`] with this number.
    Read(u64),
}

/// Version that is not named yet.
#[derive(Clone, Copy, Debug)]
struct Unnamed {
    /// When it was last asked to be named.
    asked_at: Time,
    /// When an upstream of it was first listed.
    listed_at: Time,
}

/// Names of versions as far as this instance knows them.
#[derive(Clone, Debug, Default)]
pub(crate) struct Names {
    /// When an upstream of each named version was last listed here, or when its name was first known.
    listed_at: BTreeMap<Name, Time>,
    /// Whether the store names versions.
    are_kept: bool,
    /// Number of the last read that has begun.
    begun: u64,
    /// When it began.
    begun_at: Time,
    /// Number of the last read that has ended.
    ended: u64,
    /// Whether upstreams are held back.
    are_held: bool,
    /// What the last successful read showed, with its number and end.
    read: Option<(u64, Time, BTreeSet<Name>)>,
    /// Versions that are being written.
    unnamed: BTreeMap<Name, Unnamed>,
    /// Number of the read that a stream waits for.
    wanted: u64,
}

impl Names {
    /// Whether a read has shown, by its number, that a pool had no other version than this one.
    fn confirm(
        &self,
        pool: &str,
        only: Version,
        number: u64,
        now: Time,
    ) -> Result<(), origin::Gap> {
        if !self.are_kept {
            return Ok(());
        }
        let Some((read, at, names)) = &self.read else {
            return Err(origin::Gap::Unconfirmed);
        };
        let mut of_pool = names.iter().filter(|name| &*name.pool == pool);
        let is_several = of_pool.clone().any(|name| name.version != only);
        if is_several && (*read >= number || now.since(*at) < SEVERAL_MS) {
            return Err(origin::Gap::SeveralNamed);
        }
        if *read < number {
            return Err(origin::Gap::Unconfirmed);
        }
        // It is named by then where it gets work; without a name, another one may be missing too.
        let is_named = of_pool.any(|name| name.version == only);
        is_named.then_some(()).ok_or(origin::Gap::Unnamed)
    }
}

impl Core {
    /// Makes the instance name versions in the store before their upstreams get new streams, and read the names before a stream
    /// of unknown origin goes on.
    #[must_use]
    pub fn naming_versions(mut self) -> Self {
        self.names.are_kept = true;
        self
    }

    /// Number of the first read of names that begins from now on.
    pub(crate) fn next_names_read(&self) -> u64 {
        self.names.begun + 1
    }

    /// Whether the store names no other version of a pool than this one, by a read with this number or a later one.
    pub(crate) fn confirm_only(
        &self,
        pool: &str,
        only: Version,
        number: u64,
    ) -> Result<(), origin::Gap> {
        self.names.confirm(pool, only, number, self.now)
    }

    /// Whether the read of names with this number has ended.
    pub(crate) fn has_read_names(&self, number: u64) -> bool {
        self.names.ended >= number
    }

    /// Reads the names, unless a read with this number or a later one has begun. One that is under way ends first, and others
    /// begin at intervals, as each tick asks for those that are still wanted.
    pub(crate) fn read_names(&mut self, number: u64) {
        self.names.wanted = self.names.wanted.max(number);
        self.begin_names_read();
    }

    fn begin_names_read(&mut self) {
        let others = u64::from(self.instances.saturating_sub(1));
        let interval_ms = READ_INTERVAL_MS * others;
        let names = &mut self.names;
        let is_early = self.now.since(names.begun_at) < interval_ms;
        if names.begun > names.ended || names.begun >= names.wanted || is_early {
            return;
        }
        names.begun += 1;
        names.begun_at = self.now;
        let call = Call::Read(names.begun);
        self.effects.push(Effect::Names(call));
    }

    /// Handles the end of a read of names; `None` if it failed.
    pub(crate) fn handle_names_read(&mut self, number: u64, names: Option<Vec<Name>>) {
        self.names.ended = self.names.ended.max(number);
        if let Some(names) = names {
            self.learn_names(&names);
            let names = names.into_iter().collect();
            self.names.read = Some((number, self.now, names));
        }
        self.begin_names_read();
        self.submit_deferred();
    }

    /// Handles names that are in the store, as this or other instances wrote them.
    pub(crate) fn handle_versions_named(&mut self, names: &[Name]) {
        self.learn_names(names);
        self.hold_back_unnamed_versions();
        self.dispatch_all();
    }

    /// Has all versions named again that are listed.
    pub(crate) fn handle_names_lost(&mut self) {
        self.names.listed_at.clear();
        self.names.unnamed.clear();
        self.names.read = None;
        self.update_names();
        self.dispatch_all();
    }

    fn learn_names(&mut self, names: &[Name]) {
        for name in names {
            self.names.unnamed.remove(name);
            let listed_at = self.names.listed_at.entry(name.clone());
            listed_at.or_insert(self.now);
        }
    }

    /// The versions that upstreams of pools with streams have.
    fn listed_names(&self) -> BTreeSet<Name> {
        let Some(config) = &self.config else {
            return BTreeSet::new();
        };
        let shares = config.routes.iter().flat_map(|route| &route.shares);
        let streaming = shares.filter(|share| share.service.streams());
        let pools: BTreeSet<&str> = streaming.map(|share| share.service.pool()).collect();
        let of_pool = |(pool, upstreams): (&Arc<str>, &core::Pool)| {
            let versions = upstreams.versions.counts().keys();
            let name = |version: &Version| Name {
                pool: pool.clone(),
                version: *version,
            };
            versions.map(name).collect::<Vec<Name>>()
        };
        let pools = self
            .pools
            .iter()
            .filter(|(pool, _)| pools.contains(&***pool));
        pools.flat_map(of_pool).collect()
    }

    /// Has versions named that are listed and not named yet, and those forgotten that no upstream has had for long while this
    /// instance was in touch.
    pub(crate) fn update_names(&mut self) {
        if !self.names.are_kept || !self.has_read_state() {
            return;
        }
        let listed = self.listed_names();
        let now = self.now;
        let names = &mut self.names;
        // Others may have removed the name of a version that was not listed here for that long.
        let is_lapsed = |at: &Time| now.since(*at) >= origin::RETENTION_MS;
        let mut unnamed = Vec::new();
        for name in &listed {
            let is_lapsed = names.listed_at.get(name).is_none_or(is_lapsed);
            if !is_lapsed {
                names.listed_at.insert(name.clone(), now);
                continue;
            }
            names.listed_at.remove(name);
            let known = names.unnamed.get(name);
            if known.is_some_and(|known| now.since(known.asked_at) < NAMING_MS) {
                continue;
            }
            let listed_at = known.map_or(now, |known| known.listed_at);
            let asked = Unnamed {
                asked_at: now,
                listed_at,
            };
            names.unnamed.insert(name.clone(), asked);
            unnamed.push(name.clone());
        }
        names.unnamed.retain(|name, _| listed.contains(name));
        if !unnamed.is_empty() {
            self.effects.push(Effect::Names(Call::Name(unnamed)));
        }
        self.forget_names(&listed);
        self.hold_back_unnamed_versions();
    }

    fn forget_names(&mut self, listed: &BTreeSet<Name>) {
        let Some(in_touch_since) = self.in_touch_since() else {
            return;
        };
        let now = self.now;
        let is_due = |name: &Name, at: &mut Time| {
            !listed.contains(name) && now.since(in_touch_since.max(*at)) >= FORGET_MS
        };
        let due = self.names.listed_at.extract_if(.., is_due);
        let calls = due.map(|(name, _)| Effect::Names(Call::Forget(name)));
        self.effects.extend(calls);
    }

    /// Gives upstreams whose versions are being named no new work for a while, as long as others of their pools can take it.
    fn hold_back_unnamed_versions(&mut self) {
        if !self.names.are_kept || self.settings.versions != VersionPolicy::SideBySide {
            return;
        }
        let now = self.now;
        let is_recent = |unnamed: &Unnamed| now.since(unnamed.listed_at) < HOLD_MS;
        let are_recent = self.names.unnamed.values().any(is_recent);
        // A tick must not visit all upstreams of a large fleet.
        if !are_recent && !self.names.are_held {
            return;
        }
        let unnamed = &self.names.unnamed;
        let is_held_back = |pool: &Arc<str>, version: Version| {
            let pool = pool.clone();
            let unnamed = unnamed.get(&Name { pool, version });
            unnamed.is_some_and(is_recent)
        };
        let mut changed = Vec::new();
        let mut are_held = false;
        for (name, pool) in &self.pools {
            let versions = pool.versions.counts().keys().copied();
            let held: BTreeSet<Version> = versions
                .filter(|version| is_held_back(name, *version))
                .collect();
            let is_other = |key: &upstream::Key| {
                let upstream = &self.upstreams[*key];
                !held.contains(&upstream.version)
                    && !upstream.is_leaving(now)
                    && upstream.health != Health::Lost
            };
            let has_others = !held.is_empty() && pool.upstreams.iter().any(is_other);
            are_held |= has_others;
            let is_changed = |key: &&upstream::Key| {
                let upstream = &self.upstreams[**key];
                upstream.held != (has_others && held.contains(&upstream.version))
            };
            changed.extend(pool.upstreams.iter().filter(is_changed).copied());
        }
        self.names.are_held = are_held;
        for key in changed {
            let upstream = &mut self.upstreams[key];
            upstream.held = !upstream.held;
            let change = if upstream.held {
                effect::StatusChange::Held
            } else {
                effect::StatusChange::Released
            };
            self.log_status_change(key, change);
        }
    }
}
