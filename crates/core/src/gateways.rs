//! The other instances as gateways: which one is asked for a tunnel to an upstream.
//!
//! An instance that is cut off does not know which others are. It remembers those that opened tunnels, and one that is cut
//! off itself names one of these when it declines; so all find the few that reach upstreams, without further messages.

use super::*;

/// Time for which an instance that offered no tunnel is not asked again, in milliseconds.
const AVOID_MS: u64 = 2_000;

/// Time for which an instance that opened a tunnel, or was named by another one, is asked first, in milliseconds.
const KNOWN_MS: u64 = 10_000;

/// Number of gateways that are known from which on no further ones are sought: enough to spread the tunnels over them.
const KNOWN_ENOUGH: usize = 4;

/// Number of instances that were drawn one after the other and offered no tunnel from which on most are taken to be cut off:
/// those known, or named by others, are asked instead.
const MAX_FAILED_DRAWS: u32 = 3;

/// Fraction of tunnels for which an instance is drawn nevertheless.
const EXPLORATION: f64 = 0.125;

/// Number of upstreams that a gateway does not reach one after the other from which on it counts as cut off itself.
const MAX_UNREACHED: u32 = 2;

/// Number of instances of the own data centre that offered no tunnel from which on those of other data centres are asked:
/// the whole data centre may be cut off.
const MAX_AVOIDED_LOCALLY: usize = 2;

/// Number of random draws before all instances are searched for one that may be asked.
const DRAWS: usize = 8;

/// What is known of one instance.
#[derive(Clone, Copy, Debug, Default)]
struct Gateway {
    /// Until when it is not asked again.
    avoided_until: Time,
    /// When it opened a tunnel, or was named by another instance; `None` if it is not known to reach upstreams.
    known_at: Option<Time>,
    /// Number of upstreams that it did not reach since.
    unreached: u32,
}

/// What is known of the other instances.
#[derive(Clone, Debug, Default)]
pub(crate) struct Gateways {
    /// Number of instances not known before that offered no tunnel, one after the other.
    failed_draws: u32,
    /// By identifier.
    gateways: BTreeMap<u64, Gateway>,
}

impl Gateway {
    fn is_avoided(&self, now: Time) -> bool {
        now < self.avoided_until
    }

    fn is_known(&self, now: Time) -> bool {
        !self.is_avoided(now) && self.known_at.is_some_and(|at| now.since(at) < KNOWN_MS)
    }
}

impl Gateways {
    /// Records that an instance opened a tunnel.
    pub fn record_opened(&mut self, instance: u64, now: Time) {
        let gateway = self.gateways.entry(instance).or_default();
        if !gateway.is_known(now) {
            self.failed_draws = 0;
        }
        *gateway = Gateway {
            known_at: Some(now),
            ..Gateway::default()
        };
    }

    /// Records that an instance offered no tunnel, and which one it named instead.
    pub fn record_declined(&mut self, instance: u64, named: Option<u64>, now: Time) {
        let declined = Gateway {
            avoided_until: now.after(AVOID_MS),
            ..Gateway::default()
        };
        self.gateways.insert(instance, declined);
        self.failed_draws += 1;
        if let Some(named) = named.filter(|_| self.are_most_cut_off()) {
            let gateway = self.gateways.entry(named).or_default();
            if !gateway.is_avoided(now) {
                gateway.known_at = Some(now);
            }
        }
    }

    fn are_most_cut_off(&self) -> bool {
        self.failed_draws >= MAX_FAILED_DRAWS
    }

    /// Records that an instance did not reach an upstream.
    pub fn record_unreached(&mut self, instance: u64, now: Time) {
        let gateway = self.gateways.entry(instance).or_default();
        gateway.unreached += 1;
        if gateway.unreached >= MAX_UNREACHED {
            self.record_declined(instance, None, now);
        }
    }

    /// Whether an instance is not to be asked now.
    pub fn is_avoided(&self, instance: u64, now: Time) -> bool {
        let gateway = self.gateways.get(&instance);
        gateway.is_some_and(|gateway| gateway.is_avoided(now))
    }

    /// An instance that is known to reach upstreams, at random.
    pub fn known(&self, now: Time, rng: &mut Pcg64Mcg) -> Option<u64> {
        random_of(&self.known_all(now), rng)
    }

    /// The instance to ask for a tunnel; `None` if no other offers one. Those known come first; otherwise one of the own data
    /// centre is drawn, unless that seems to be cut off.
    pub fn choose(&self, members: &Members, now: Time, rng: &mut Pcg64Mcg) -> Option<u64> {
        let known = self.known_all(now);
        let seeks = known.len() < KNOWN_ENOUGH
            && (!self.are_most_cut_off() || rng.random_bool(EXPLORATION));
        if !known.is_empty() && !seeks {
            return random_of(&known, rng);
        }
        let unknown = self.draw_unknown(members, &known, now, rng);
        unknown.or_else(|| random_of(&known, rng))
    }

    fn known_all(&self, now: Time) -> Vec<u64> {
        let known = self.gateways.iter();
        let known = known.filter(|(_, gateway)| gateway.is_known(now));
        known.map(|(instance, _)| *instance).collect()
    }

    /// An instance that may offer a tunnel and is not known to.
    fn draw_unknown(
        &self,
        members: &Members,
        known: &[u64],
        now: Time,
        rng: &mut Pcg64Mcg,
    ) -> Option<u64> {
        let (local, others) = (members.local(), members.others());
        let avoided = local.iter().filter(|one| self.is_avoided(**one, now));
        let is_local_up = avoided.count() < MAX_AVOIDED_LOCALLY.min(local.len());
        let is_candidate = |one: &u64| !self.is_avoided(*one, now) && !known.contains(one);
        let is_preferred = |one: &u64| is_candidate(one) && (is_local_up || !local.contains(one));
        let local_first = if is_local_up { local } else { others };
        draw(local_first, is_preferred, rng)
            .or_else(|| draw(others, is_preferred, rng))
            .or_else(|| draw(others, is_candidate, rng))
    }
}

fn random_of(instances: &[u64], rng: &mut Pcg64Mcg) -> Option<u64> {
    (!instances.is_empty()).then(|| instances[rng.random_range(0..instances.len())])
}

/// A random instance that fulfils a condition.
fn draw(instances: &[u64], is_candidate: impl Fn(&u64) -> bool, rng: &mut Pcg64Mcg) -> Option<u64> {
    for _ in 0..DRAWS.min(instances.len()) {
        let drawn = random_of(instances, rng);
        if drawn.is_some_and(|drawn| is_candidate(&drawn)) {
            return drawn;
        }
    }
    instances.iter().copied().find(|one| is_candidate(one))
}
