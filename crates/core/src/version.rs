//! Software versions of upstreams, and the selection of the active one in pools where only ordered versions get work.
//!
//! Where operators order roll-outs, upstreams of a new version are listed beside the active ones minutes before they may
//! receive work, and some versions fail or are many times slower. There they would get their full share of the requests as
//! soon as they are listed. Elsewhere versions serve side by side.

use super::*;

/// Software version of an upstream, as a hash of the names of its pool and of the version.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Version(pub u64);

impl Version {
    /// The version of an upstream that states none.
    pub const UNSTATED: Self = Self(0);

    /// The version that an upstream of a pool states; an empty name states none.
    pub fn new(pool: &str, name: &str) -> Self {
        if name.is_empty() {
            return Self::UNSTATED;
        }
        let mut hasher = blake3::Hasher::new();
        hasher.update(&(pool.len() as u64).to_le_bytes());
        hasher.update(pool.as_bytes());
        hasher.update(name.as_bytes());
        Self(fingerprint::first(&hasher.finalize()).max(1))
    }

    /// Whether an upstream stated it.
    pub fn is_stated(self) -> bool {
        self != Self::UNSTATED
    }
}

/// Versions of a pool's upstreams.
#[derive(Clone, Debug, Default)]
pub(crate) struct Versions {
    /// Number of upstreams by version.
    counts: BTreeMap<Version, usize>,
    /// Whether any upstream has stated its version since this instance started.
    are_stated: bool,
    /// Versions that an upstream had, with the time at which it was removed or changed its version.
    former: BTreeMap<Version, Time>,
}

impl Versions {
    /// Counts one more upstream of a version.
    pub fn add(&mut self, version: Version) {
        self.are_stated |= version.is_stated();
        *self.counts.entry(version).or_default() += 1;
    }

    /// Counts one upstream of a version less.
    pub fn remove(&mut self, version: Version, now: Time) {
        self.former
            .retain(|_, at| now.since(*at) < origin::RETENTION_MS);
        self.former.insert(version, now);
        if let Some(count) = self.counts.get_mut(&version) {
            *count -= 1;
            if *count == 0 {
                self.counts.remove(&version);
            }
        }
    }

    /// Number of upstreams by version.
    pub fn counts(&self) -> &BTreeMap<Version, usize> {
        &self.counts
    }

    /// Versions of upstreams that are listed or were recently.
    pub fn recent(&self, now: Time) -> impl Iterator<Item = Version> {
        let former = self.former.iter();
        let former = former.filter(move |(_, at)| now.since(**at) < origin::RETENTION_MS);
        self.counts
            .keys()
            .chain(former.map(|(key, _)| key))
            .copied()
    }

    /// Whether an upstream of a version may have a stream: any one may begin it, and only one of the version that began it
    /// may go on with it.
    pub fn admit(&self, origin: Origin, version: Version) -> bool {
        match origin {
            Origin::Begun(begun) => self.are_equal(begun, version),
            Origin::Unbegun => true,
            Origin::Unknown => false,
        }
    }

    /// Whether what an upstream of one version began may go on at one of another: if they are equal. Two upstreams that
    /// state none are taken to be equal only where no upstream of the pool states one.
    pub fn are_equal(&self, one: Version, other: Version) -> bool {
        one == other && (one.is_stated() || !self.are_stated)
    }

    /// Whether all upstreams have this version.
    fn are_all(&self, version: Version) -> bool {
        self.counts.len() == 1 && self.counts.contains_key(&version)
    }
}

impl Core {
    /// Where only ordered versions get work, holds back upstreams whose version is not the active one, as long as one with
    /// the active version stays. The active version is that of the upstream registered first, and does not change while the
    /// instance runs: crashed upstreams come back as the last registered.
    pub(crate) fn hold_back_inactive_versions(&mut self) {
        if self.settings.versions == VersionPolicy::SideBySide {
            return;
        }
        let mut changed = Vec::new();
        for pool in self.pools.values_mut() {
            if pool.active_version.is_none() {
                let first = pool
                    .upstreams
                    .iter()
                    .min_by_key(|key| self.upstreams[**key].registered_at);
                pool.active_version = first.map(|key| self.upstreams[*key].version);
            }
            let Some(active) = pool.active_version else {
                continue;
            };
            if pool.versions.are_all(active) {
                continue;
            }
            self.upstream_visits += pool.upstreams.len() as u64;
            let is_active_present = pool.upstreams.iter().any(|key| {
                let upstream = &self.upstreams[*key];
                upstream.version == active && !upstream.is_leaving(self.now)
            });
            for key in &pool.upstreams {
                let upstream = &mut self.upstreams[*key];
                let held = is_active_present && upstream.version != active;
                if held != upstream.held {
                    upstream.held = held;
                    changed.push(*key);
                }
            }
        }
        for key in changed {
            let change = if self.upstreams[key].held {
                effect::StatusChange::Held
            } else {
                effect::StatusChange::Released
            };
            self.log_status_change(key, change);
        }
    }
}
