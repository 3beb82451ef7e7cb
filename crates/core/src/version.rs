//! Which of a pool's upstreams are given work where they are of several versions.
//!
//! The load that it answers: upstreams of a new version enter beside those of the one in force, in the same list, minutes before
//! anybody may send them work, and some versions fail or are many times slower. Without a bound they have their full part of all
//! requests from their first entry on.

use super::*;

impl Core {
    /// Settles which upstreams are held back: those of another version than the one in force, while one of that stays. The version
    /// in force is that of the upstream that was entered first, and stays so while the instance runs: crashed upstreams come back
    /// as the youngest.
    pub(crate) fn settle_versions(&mut self) {
        let mut changed = Vec::new();
        for pool in self.pools.values_mut() {
            if pool.version.is_none() {
                let first = pool
                    .upstreams
                    .iter()
                    .min_by_key(|key| self.upstreams[**key].since);
                pool.version = first.map(|key| self.upstreams[*key].version.clone());
            }
            let Some(in_force) = &pool.version else {
                continue;
            };
            let stays = pool.upstreams.iter().any(|key| {
                let upstream = &self.upstreams[*key];
                upstream.version == *in_force && !upstream.leaves(self.now)
            });
            for key in &pool.upstreams {
                let upstream = &mut self.upstreams[*key];
                let held = stays && upstream.version != *in_force;
                if held != upstream.held {
                    upstream.held = held;
                    changed.push(*key);
                }
            }
        }
        for key in changed {
            let belief = if self.upstreams[key].held {
                effect::StatusChange::Held
            } else {
                effect::StatusChange::Released
            };
            self.believe(key, belief);
        }
    }
}
