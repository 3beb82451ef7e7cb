//! Selection of the active version in pools whose upstreams run several versions.
//!
//! Upstreams of a new version are listed beside the active ones minutes before they may receive work, and some versions
//! fail or are many times slower. Without this check they would get their full share of the requests as soon as they are
//! listed.

use super::*;

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
