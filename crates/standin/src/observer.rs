//! What a fleet must believe of the store, written from the platform's rules: it shares no code with the instances.

use super::*;
use wellplank_core::clock::Time;

/// Bounds of the rules, in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct Rules {
    /// Within which a configuration must be in force.
    pub apply_ms: u64,
    /// Calm that an instance or the store needs before a bound holds for it.
    pub calm_ms: u64,
    /// Within which a leaving upstream must get no more work.
    pub leave_ms: u64,
}

/// Calm that the rules of the users' sites ask for, in milliseconds.
const CALM_MS: u64 = 3_000;

impl Rules {
    /// Rules with one bound for configurations and leaving upstreams, as on the users' sites.
    pub fn within(bound_ms: u64) -> Self {
        Self {
            apply_ms: bound_ms,
            calm_ms: CALM_MS,
            leave_ms: bound_ms,
        }
    }
}

/// What an instance believes.
#[derive(Clone, Debug, Default)]
struct Belief {
    /// When what disturbs it ends or ended.
    calm_from: Time,
    calls: VecDeque<Time>,
    configuration: u64,
    /// Upstreams that it ever gave work to.
    ever: BTreeSet<String>,
    /// Upstreams, and whether they are known to leave.
    listed: BTreeMap<String, bool>,
    /// Upstreams that it knew to have left when the store came back from a copy.
    known_gone: BTreeSet<String>,
    running: bool,
}

impl Belief {
    /// Whether it knows that an upstream left.
    fn knows_gone(&self, name: &str) -> bool {
        self.running && self.ever.contains(name) && self.listed.get(name) != Some(&false)
    }
}

/// Time in which the entry of an upstream that is gone lapses in a store that came back from a copy, in milliseconds: three
/// heartbeats.
const LAPSES_MS: u64 = 3_600;

/// Calls of the store that an instance may make in a second: one that can not serve anybody tries ten times for the
/// configuration, and for the list, the other instances and its lease as often together; the rest is for changes.
const CALLS_A_SECOND: usize = 25;

/// Watches a fleet.
pub(crate) struct Observer {
    beliefs: Vec<Belief>,
    configurations: Vec<(u64, Time)>,
    /// When upstreams entered themselves that were not believed to live.
    entered: BTreeMap<String, Time>,
    /// Upstreams that said that they leave or whose entries they ended, and when the store took it.
    leaves: BTreeMap<String, Time>,
    /// Upstreams that live.
    living: BTreeSet<String>,
    rules: Rules,
    /// Lives over whose entries another writer wrote. A copy from before has their own, and nobody was shown that they went.
    spoilt: BTreeSet<String>,
    /// When what disturbs the store ends or ended.
    store_calm_from: Time,
    pub violations: Vec<String>,
}

impl Observer {
    /// An observer of so many instances.
    pub fn new(instances: usize, rules: Rules) -> Self {
        Self {
            beliefs: vec![Belief::default(); instances],
            configurations: Vec::new(),
            entered: BTreeMap::new(),
            leaves: BTreeMap::new(),
            living: BTreeSet::new(),
            rules,
            spoilt: BTreeSet::new(),
            store_calm_from: Time::default(),
            violations: Vec::new(),
        }
    }

    /// An instance made a call.
    pub fn called(&mut self, instance: usize, now: Time) {
        let calls = &mut self.beliefs[instance].calls;
        calls.push_back(now);
        while calls.front().is_some_and(|first| now.since(*first) > 1_000) {
            calls.pop_front();
        }
        if calls.len() > CALLS_A_SECOND {
            let count = calls.len();
            let text = format!("instance {instance} made {count} calls in a second");
            self.violate(now, &text);
        }
    }

    /// Something disturbs an instance until then.
    pub fn disturbed(&mut self, instance: usize, until: Time) {
        let belief = &mut self.beliefs[instance];
        belief.calm_from = belief.calm_from.max(until);
    }

    /// Something disturbs the store until then.
    pub fn store_disturbed(&mut self, until: Time) {
        self.store_calm_from = self.store_calm_from.max(until);
    }

    /// An instance started, and knows nothing.
    pub fn started(&mut self, instance: usize, now: Time) {
        let calm_from = self.beliefs[instance].calm_from.max(now);
        self.beliefs[instance] = Belief {
            calm_from,
            running: true,
            ..Belief::default()
        };
    }

    /// An instance ended.
    pub fn ended(&mut self, instance: usize) {
        self.beliefs[instance].running = false;
    }

    /// The store took a configuration.
    pub fn configured(&mut self, revision: u64, now: Time) {
        self.configurations.push((revision, now));
    }

    /// The store came back from a copy then, with only the first configurations. What it was told since the copy binds those that have
    /// heard it and nobody else: upstreams say it again with their next write, and those that are gone lapse.
    pub fn lost(&mut self, configurations: u64, until: Time) {
        self.configurations
            .retain(|(revision, _)| *revision <= configurations);
        for at in self.leaves.values_mut() {
            *at = (*at).max(until.after(LAPSES_MS));
        }
        for belief in &mut self.beliefs {
            belief.known_gone = self
                .leaves
                .keys()
                .filter(|name| belief.knows_gone(name) && !self.spoilt.contains(*name))
                .cloned()
                .collect();
        }
    }

    /// The entry of an upstream that is gone is there up to then: the store lost its end, and leases wait while it is down.
    pub fn lapses(&mut self, name: &str, at: Time) {
        if let Some(left) = self.leaves.get_mut(name) {
            *left = at.max(*left);
        }
    }

    /// An upstream entered itself, also where another writer's entry stood: what is told of that one may come yet.
    pub fn lives(&mut self, name: &str, now: Time) {
        self.leaves.remove(name);
        self.spoilt.remove(name);
        for belief in &mut self.beliefs {
            belief.known_gone.remove(name);
        }
        if self.living.insert(name.to_owned()) {
            self.entered.insert(name.to_owned(), now);
        }
    }

    /// The store took the word of an upstream that it leaves, or the end of its entry. It binds if the store was calm,
    /// as the rule on leaving upstreams says.
    pub fn leaves(&mut self, name: &str, now: Time) {
        self.spoilt.remove(name);
        self.living.remove(name);
        if now.since(self.store_calm_from) >= self.rules.calm_ms {
            self.leaves.entry(name.to_owned()).or_insert(now);
        }
    }

    /// The store has another writer's entry in place of an upstream's.
    pub fn spoils(&mut self, name: &str, now: Time) {
        self.leaves(name, now);
        self.spoilt.insert(name.to_owned());
    }

    /// An upstream crashed.
    pub fn dies(&mut self, name: &str) {
        self.living.remove(name);
    }

    /// A configuration is in force at an instance.
    pub fn in_force(&mut self, instance: usize, revision: u64, now: Time) {
        let before = std::mem::replace(&mut self.beliefs[instance].configuration, revision);
        if revision < before {
            let text =
                format!("instance {instance} went from configuration {before} to {revision}");
            self.violate(now, &text);
        }
    }

    /// The upstreams that an instance believes in.
    pub fn listed(&mut self, instance: usize, listed: BTreeMap<String, bool>, now: Time) {
        let calm_ms = self.rules.calm_ms;
        let belief = &mut self.beliefs[instance];
        let calm = now.since(belief.calm_from) >= calm_ms;
        let ready = listed.iter().filter(|(_, leaving)| !**leaving);
        belief.ever.extend(ready.map(|(name, _)| name.clone()));
        let before = std::mem::replace(&mut belief.listed, listed);
        let listed = &belief.listed;
        let reverted = before
            .iter()
            .filter(|(name, leaving)| **leaving && listed.get(*name) == Some(&false))
            .map(|(name, _)| format!("instance {instance} no longer believes that {name} leaves"));
        let leave_ms = self.rules.leave_ms;
        let entered = |name: &String| {
            let at = self.entered.get(name);
            at.is_some_and(|at| now.since(*at) < leave_ms)
        };
        let given_up = before
            .keys()
            .filter(|name| calm && !listed.contains_key(*name) && self.living.contains(*name))
            .filter(|name| !entered(name))
            .map(|name| format!("instance {instance} gives up {name}, which lives"));
        let back = belief
            .known_gone
            .iter()
            .filter(|name| listed.get(*name) == Some(&false) && !self.living.contains(*name))
            .map(|name| format!("instance {instance} believes again in {name}, which left"));
        let texts: Vec<String> = reverted.chain(given_up).chain(back).collect();
        for text in texts {
            self.violate(now, &text);
        }
    }

    /// Checks what must be known by now.
    pub fn check(&mut self, now: Time) {
        let rules = self.rules;
        if now.since(self.store_calm_from) < rules.calm_ms {
            return;
        }
        let due = |at: Time, bound: u64| now.since(at) > bound;
        let newest = self.configurations.iter().rev();
        let newest = newest.copied().find(|(_, at)| due(*at, rules.apply_ms));
        let left = self
            .leaves
            .iter()
            .filter(|(_, at)| due(**at, rules.leave_ms));
        let left: Vec<(&String, u64)> = left.map(|(name, at)| (name, now.since(*at))).collect();
        let mut texts = Vec::new();
        for (instance, belief) in self.beliefs.iter().enumerate() {
            if !belief.running || now.since(belief.calm_from) < rules.calm_ms {
                continue;
            }
            for (name, since) in &left {
                if belief.listed.get(*name) == Some(&false) {
                    texts.push(format!(
                        "instance {instance} gives work to {name}, {since} ms behind its word"
                    ));
                }
            }
            // One that has no configuration yet serves nobody by an old one.
            if let Some((revision, at)) = newest
                && (1..revision).contains(&belief.configuration)
            {
                let since = now.since(at);
                let has = belief.configuration;
                texts.push(format!(
                    "instance {instance} has configuration {has}, {since} ms behind {revision}"
                ));
            }
        }
        for text in texts {
            self.violate(now, &text);
        }
    }

    fn violate(&mut self, now: Time, text: &str) {
        if self.violations.len() < 20 {
            self.violations.push(format!("{now}: {text}"));
        }
    }
}
