//! Selection of the active version in pools whose upstreams run several versions.
//!
//! Upstreams of a new version are listed beside the active ones minutes before they may receive work, and some versions
//! fail or are many times slower. Without this check they would get their full share of the requests as soon as they are
//! listed.

use super::*;

/// Number of a pool's upstreams by version.
#[derive(Clone, Debug, Default)]
pub(crate) struct Versions(BTreeMap<Arc<str>, usize>);

impl Versions {
    /// Counts one more upstream of a version.
    pub fn add(&mut self, version: &Arc<str>) {
        *self.0.entry(version.clone()).or_default() += 1;
    }

    /// Counts one upstream of a version less.
    pub fn remove(&mut self, version: &str) {
        if let Some(count) = self.0.get_mut(version) {
            *count -= 1;
            if *count == 0 {
                self.0.remove(version);
            }
        }
    }

    /// Whether all upstreams have this version.
    fn are_all(&self, version: &str) -> bool {
        self.0.len() == 1 && self.0.contains_key(version)
    }
}

impl Core {
    /// Holds back upstreams whose version is not the active one, as long as one with the active version stays. The active
    /// version is that of the upstream registered first, and does not change while the instance runs: crashed upstreams come
    /// back as the last registered.
    pub(crate) fn hold_back_inactive_versions(&mut self) {
        let mut changed = Vec::new();
        for pool in self.pools.values_mut() {
            if pool.version.is_none() {
                let first = pool
                    .upstreams
                    .iter()
                    .min_by_key(|key| self.upstreams[**key].registered_at);
                pool.version = first.map(|key| self.upstreams[*key].version.clone());
            }
            let Some(active) = &pool.version else {
                continue;
            };
            if pool.versions.are_all(active) {
                continue;
            }
            self.upstream_visits += pool.upstreams.len() as u64;
            let is_active_present = pool.upstreams.iter().any(|key| {
                let upstream = &self.upstreams[*key];
                upstream.version == *active && !upstream.is_leaving(self.now)
            });
            for key in &pool.upstreams {
                let upstream = &mut self.upstreams[*key];
                let held = is_active_present && upstream.version != *active;
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
