//! Fleets that learn from the store, in virtual time: the core's informers before a store that fails as the users'
//! platform says, and an observer that checks what they believe.

use super::*;
use observer::{Observer, Rules};
use registry::Registry;
use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc};
use trial::{Act, Failing, Outcome, Run};
use wellplank_core::{
    availability::Availability,
    clock::Time,
    config::Config,
    dissemination::{self, Forwarder, Route, Tree},
    event::ListEntry,
    informer::Informer,
    informer_io::{
        Answer, Call, Confirmed, Content, Input, Output, PeerList, PeerReport, Source, Topic,
    },
    position::Position,
    roster::RosterUpdate,
    staleness::StalenessBound,
    upstream::id,
};
use wellplank_node::members::{DISCOVERY_WAIT_MS, LocalMember, Member, Members};

/// When a run begins; a time above zero, as of a real clock.
const BEGIN: Time = Time(1_000_000);

/// Time between two writes of an upstream's entry, in milliseconds, as on the users' platform.
const HEARTBEAT_MS: u64 = 1_200;

/// Heartbeats without a write after which an entry lapses.
const LAPSE: u64 = 3;

/// Time that the store takes for an answer, and a datagram on its way, in milliseconds.
const HOP_MS: u64 = 4;

/// Time between two checks, in milliseconds.
const CHECK_MS: u64 = 50;

/// Time for which an instance that ended is still entered, in milliseconds: the lease of its entry.
const LEASE_MS: u64 = 20_000;

/// Time after which a connection is lost on which sent bytes are not acknowledged, in milliseconds; a shorter cut
/// only delays them.
const UNACKNOWLEDGED_MS: u64 = 1_000;

/// Time after which a connection is lost on which nothing is sent and nobody answers the kernel's probes, in
/// milliseconds.
const KEEPALIVE_MS: u64 = 3_000;

/// Time between two renewals of that lease, in milliseconds.
const RENEW_MS: u64 = 7_000;

/// Time in which other calls of an instance must be answered, in milliseconds.
const PATIENCE_MS: u64 = 600;

/// Time between two looks at the other instances, in milliseconds.
const LOOK_MS: u64 = 2_000;

/// The same where none is known, in milliseconds.
const LOOK_ALONE_MS: u64 = 500;

/// The same in a large fleet, in milliseconds.
const LOOK_LARGE_MS: u64 = 8_000;

/// Instances up to which each watches for itself.
const FEW: usize = 12;

/// Time between two datagrams by which an instance lets some others know how much it knows, in milliseconds.
const GOSSIP_MS: u64 = 400;

/// Others that are let know at once.
const GOSSIP: usize = 6;

/// An instance.
struct Node {
    absence: Availability,
    calls: BTreeMap<u64, Call>,
    /// The configuration in force there.
    configuration: Option<Arc<Config>>,
    /// Until when it is entered in the store.
    entered_until: Time,
    forwarder: Forwarder,
    frozen_until: Time,
    /// Hash of its name.
    id: u64,
    informer: Option<Informer>,
    isolated_until: Time,
    /// How many others it knows.
    knows: usize,
    /// Upstreams that it takes to exist, by name.
    listed: BTreeMap<String, ListEntry>,
    /// Counts its starts.
    life: u32,
    member: Member,
    name: String,
    own: LocalMember,
    refused: Option<(Failing, Time)>,
    /// When it is called next at the latest.
    wake: Time,
}

/// An upstream.
struct Upstream {
    alive: bool,
    listed: ListEntry,
    /// Until when another writer's entry stands over its own.
    spoiled_until: Time,
}

impl Upstream {
    /// The life that it is in, as the observer knows it.
    fn life(&self) -> String {
        label(&self.listed)
    }
}

/// A life, as the observer knows it.
fn label(listed: &ListEntry) -> String {
    format!("{} born at {}", listed.name, listed.born)
}

/// A read that waits for a change.
struct Waiting {
    call: Call,
    life: u32,
    node: usize,
    over: Time,
}

/// What an instance tells others.
enum Told {
    /// What the store has just shown.
    Confirmed(Confirmed),
    /// How much it knows.
    Known,
    /// Changes of the list.
    Word(RosterUpdate, Route),
}

/// How a call of an instance ended.
#[derive(Clone, Copy)]
enum Ended {
    Answered,
    Refused,
    /// Its time ran out; the store had it so long, in milliseconds.
    Unanswered(u64),
}

impl Ended {
    fn is_answered(self) -> bool {
        matches!(self, Self::Answered)
    }
}

/// What happens next.
enum Event {
    Arrive(usize, u32, Call),
    Ask(usize, u32, Call, usize),
    Beat(usize),
    Broken(usize, u32, u64),
    Check,
    Deliver(usize, u32, u64, Option<Answer>),
    DeliverConfiguration(usize, u32, u64, Option<Arc<Config>>),
    DeliverList(usize, u32, u64, Option<PeerList>),
    Expire(usize, u32, u64),
    Gossip(usize, u32),
    Hear(usize, u32, PeerReport, Option<Route>),
    Look(usize, u32),
    Looked(usize, u32, Ended),
    Remove(usize),
    Renew(usize, u32),
    Renewed(usize, u32, Ended),
    Start(usize),
    Step(Act),
    Wake(usize, u32),
    Watches,
}

/// A fleet that runs.
struct World {
    away: Option<(Failing, Time)>,
    away_from: Time,
    calls: u64,
    /// Entries and changes of upstreams that the store has given.
    entries: u64,
    events: BTreeMap<u64, Event>,
    lossy: Option<(u64, Time)>,
    next: u64,
    nodes: Vec<Node>,
    now: Time,
    observer: Observer,
    queue: BinaryHeap<Reverse<(Time, u64)>>,
    random: Pcg64Mcg,
    /// Numbers the updates that instances announce.
    sequence: u64,
    registry: Registry,
    rules: Rules,
    slow: Option<(u64, Time)>,
    traffic: bool,
    upstreams: Vec<Upstream>,
    waiting: Vec<Waiting>,
}

/// Plays a run for some time behind its last step.
pub fn play(run: &Run, millis: u64) -> Outcome {
    let mut world = World::new(run);
    let mut last = 0;
    for (at, act) in &run.steps {
        world.at(BEGIN.after(*at), Event::Step(*act));
        last = last.max(*at);
    }
    let end = BEGIN.after(last + millis);
    let mut events = 0;
    while let Some(Reverse((at, number))) = world.queue.pop() {
        if at > end {
            break;
        }
        world.now = world.now.max(at);
        let event = world
            .events
            .remove(&number)
            .expect("each event is kept once");
        events += 1;
        world.happen(event);
    }
    Outcome {
        calls: world.calls,
        entries: world.entries,
        events,
        violations: world.observer.violations,
    }
}

impl World {
    fn new(run: &Run) -> Self {
        let node = |index: usize| {
            let name = format!("instance-{index}");
            let data_centre = format!("dc-{}", index % run.data_centres.max(1));
            Node {
                absence: Availability::new(HEARTBEAT_MS),
                calls: BTreeMap::new(),
                configuration: None,
                entered_until: Time::default(),
                forwarder: Forwarder::default(),
                frozen_until: Time::default(),
                id: id(&name),
                informer: None,
                isolated_until: Time::default(),
                knows: 0,
                listed: BTreeMap::new(),
                life: 0,
                member: Member {
                    address: ([127, 0, 0, 1], 1).into(),
                    data_centre: data_centre.clone(),
                },
                name: name.clone(),
                own: LocalMember { data_centre, name },
                refused: None,
                wake: Time::default(),
            }
        };
        let mut world = Self {
            away: None,
            away_from: BEGIN,
            calls: 0,
            entries: 0,
            events: BTreeMap::new(),
            lossy: None,
            next: 0,
            nodes: (0..run.instances).map(node).collect(),
            now: BEGIN,
            observer: Observer::new(run.instances, run.rules),
            queue: BinaryHeap::new(),
            random: Pcg64Mcg::seed_from_u64(run.seed),
            sequence: 0,
            registry: Registry::new(),
            rules: run.rules,
            slow: None,
            traffic: run.traffic,
            upstreams: Vec::new(),
            waiting: Vec::new(),
        };
        for _ in 0..run.upstreams {
            world.enter();
        }
        for node in 0..run.instances {
            let start = world.random.random_range(0..300);
            world.later(start, Event::Start(node));
        }
        world.later(CHECK_MS, Event::Check);
        world
    }

    fn at(&mut self, at: Time, event: Event) {
        self.next += 1;
        self.events.insert(self.next, event);
        self.queue.push(Reverse((at, self.next)));
    }

    fn later(&mut self, millis: u64, event: Event) {
        self.at(self.now.after(millis), event);
    }

    /// The instance that an event concerns, if any, with its life.
    fn concerned(event: &Event) -> Option<(usize, u32)> {
        match event {
            Event::Broken(node, life, _)
            | Event::Deliver(node, life, ..)
            | Event::DeliverConfiguration(node, life, ..)
            | Event::DeliverList(node, life, ..)
            | Event::Expire(node, life, _)
            | Event::Gossip(node, life)
            | Event::Hear(node, life, ..)
            | Event::Look(node, life)
            | Event::Looked(node, life, _)
            | Event::Renew(node, life)
            | Event::Renewed(node, life, _)
            | Event::Wake(node, life) => Some((*node, *life)),
            Event::Arrive(..)
            | Event::Ask(..)
            | Event::Beat(_)
            | Event::Check
            | Event::Remove(_)
            | Event::Start(_)
            | Event::Step(_)
            | Event::Watches => None,
        }
    }

    fn happen(&mut self, event: Event) {
        if let Some((node, life)) = Self::concerned(&event) {
            let node = &self.nodes[node];
            if node.life != life || node.informer.is_none() {
                return;
            }
            if node.frozen_until > self.now {
                self.at(node.frozen_until, event);
                return;
            }
        }
        match event {
            Event::Arrive(node, life, call) => self.arrive(node, life, call),
            Event::Ask(node, life, call, peer) => self.ask(node, life, call, peer),
            Event::Beat(upstream) => self.beat(upstream),
            Event::Check => {
                self.registry.copy(self.now);
                self.registry_expire();
                self.observer.check(self.now);
                self.later(CHECK_MS, Event::Check);
            }
            Event::Deliver(node, life, id, answer) => self.deliver(node, life, id, answer),
            Event::DeliverConfiguration(node, _, id, config) => {
                self.take_configuration(node, id, config);
            }
            Event::DeliverList(node, _, id, list) => self.take_list(node, id, list),
            Event::Broken(node, _, id) => self.fail(node, id, Ended::Refused),
            Event::Expire(node, _, id) => self.expire(node, id),
            Event::Gossip(node, life) => self.gossip(node, life),
            Event::Hear(node, _, heard, route) => {
                if self.nodes[node].isolated_until <= self.now && self.passes(node, &heard, route) {
                    if heard.confirmed.is_some() {
                        self.nodes[node].absence.record_peer_success(self.now);
                    }
                    self.take(node, Input::PeerReport(heard));
                }
            }
            Event::Look(node, life) => self.other_call(node, life, Event::Looked),
            Event::Looked(node, life, ended) => self.looked(node, life, ended),
            Event::Remove(upstream) => self.remove(upstream),
            Event::Renew(node, life) => self.other_call(node, life, Event::Renewed),
            Event::Renewed(node, life, ended) => self.renewed(node, life, ended),
            Event::Start(node) => self.start(node),
            Event::Step(act) => self.act(act),
            Event::Wake(node, _) => self.take(node, Input::Tick),
            Event::Watches => self.watches(),
        }
    }

    /// How the store fails for an instance now, if it does.
    fn failing(&self, node: usize) -> Option<Failing> {
        let now = self.now;
        let fails = |failing: Option<(Failing, Time)>| {
            failing
                .filter(|(_, until)| *until > now)
                .map(|(how, _)| how)
        };
        fails(self.away).or(fails(self.nodes[node].refused))
    }

    fn is_away(&self) -> bool {
        self.away.is_some_and(|(_, until)| until > self.now)
    }

    /// Time that an answer takes, in milliseconds.
    fn hop_ms(&self) -> u64 {
        match self.slow {
            Some((times, until)) if until > self.now => HOP_MS * times,
            _ => HOP_MS,
        }
    }

    fn registry_expire(&mut self) {
        let before = self.registry.revision;
        self.registry.expire(self.now);
        if self.registry.revision > before {
            self.watches();
        }
    }

    /// A call reaches the store.
    fn arrive(&mut self, node: usize, life: u32, call: Call) {
        if self.hold(node, life, call.id, Event::Arrive(node, life, call)) {
            return;
        }
        match self.failing(node) {
            Some(Failing::Silent) => return,
            Some(Failing::Busy) => {
                self.later(HOP_MS, Event::Deliver(node, life, call.id, None));
                return;
            }
            None => {}
        }
        let over = call.wait_ms == 0;
        if let Some(answer) = self.registry.answer(&call, self.now, over) {
            let hop = self.hop_ms();
            self.later(hop, Event::Deliver(node, life, call.id, Some(answer)));
            return;
        }
        let over = self.now.after(call.wait_ms);
        self.waiting.push(Waiting {
            call,
            life,
            node,
            over,
        });
        self.at(over, Event::Watches);
    }

    /// Whether what is on its way between the store and an instance meets a cut: it comes behind a short one, and is
    /// lost with its connection in a longer one.
    fn hold(&mut self, node: usize, life: u32, id: u64, event: Event) -> bool {
        let until = self.nodes[node].isolated_until;
        let left = until.since(self.now);
        if left == 0 {
            return false;
        }
        if left < UNACKNOWLEDGED_MS {
            self.at(until.after(HOP_MS), event);
        } else {
            self.later(UNACKNOWLEDGED_MS, Event::Broken(node, life, id));
        }
        true
    }

    /// Answers the waiting reads that can be.
    fn watches(&mut self) {
        if self.is_away() {
            return;
        }
        let (now, hop) = (self.now, self.hop_ms());
        let waiting = std::mem::take(&mut self.waiting);
        for waiting in waiting {
            let over = waiting.over <= now;
            let fails = self.failing(waiting.node).is_some();
            let answer = self.registry.answer(&waiting.call, now, over);
            match answer.filter(|_| !fails) {
                Some(answer) => {
                    let (node, life, id) = (waiting.node, waiting.life, waiting.call.id);
                    self.later(hop, Event::Deliver(node, life, id, Some(answer)));
                }
                None => self.waiting.push(waiting),
            }
        }
    }

    /// Cuts the waiting reads of some instances.
    fn cut(&mut self, cuts: impl Fn(usize) -> bool) {
        let waiting = std::mem::take(&mut self.waiting);
        let (cut, kept) = waiting
            .into_iter()
            .partition(|waiting: &Waiting| cuts(waiting.node));
        self.waiting = kept;
        for waiting in cut {
            let Waiting {
                call, life, node, ..
            } = waiting;
            self.later(HOP_MS, Event::Deliver(node, life, call.id, None));
        }
    }

    fn deliver(&mut self, node: usize, life: u32, id: u64, answer: Option<Answer>) {
        if answer.is_some() && self.fell_silent() {
            return;
        }
        let again = Event::Deliver(node, life, id, answer.clone());
        if !self.hold(node, life, id, again) {
            self.end(node, id, answer);
        }
    }

    /// Whether a slow store fell silent before it had answered a call.
    fn fell_silent(&self) -> bool {
        let silent = self.away.is_some_and(|(how, _)| how == Failing::Silent);
        silent && self.is_away() && self.now.since(self.away_from) > HOP_MS
    }

    /// A call of an instance ends.
    fn end(&mut self, node: usize, id: u64, answer: Option<Answer>) {
        let Some(answer) = answer else {
            self.fail(node, id, Ended::Refused);
            return;
        };
        if self.nodes[node].calls.remove(&id).is_none() {
            return;
        }
        let era = match &answer {
            Answer::Complete(_, position) => position.era,
            Answer::Compacted => self.registry.era,
        };
        if let Answer::Complete(Content::Upstreams(changes), _) = &answer {
            self.entries += changes.len() as u64;
        }
        self.note(node, Ended::Answered, era);
        self.take(node, Input::Answered(id, answer));
    }

    /// The time of a call of an instance has run out.
    fn expire(&mut self, node: usize, id: u64) {
        let patience_ms = self.nodes[node].calls.get(&id).map(|call| call.timeout_ms);
        self.fail(node, id, Ended::Unanswered(patience_ms.unwrap_or_default()));
    }

    /// A call of an instance fails.
    fn fail(&mut self, node: usize, id: u64, ended: Ended) {
        if self.nodes[node].calls.remove(&id).is_none() {
            return;
        }
        self.note(node, ended, self.registry.era);
        self.take(node, Input::Failed(id));
    }

    /// Notes how a call of an instance ended.
    fn note(&mut self, node: usize, ended: Ended, era: u64) {
        let absence = &mut self.nodes[node].absence;
        match ended {
            Ended::Answered => {
                absence.observe_era(era, self.now);
                absence.record_success(self.now);
            }
            Ended::Refused => absence.record_failure(self.now, self.now),
            Ended::Unanswered(millis) => absence.record_failure(self.now.before(millis), self.now),
        }
    }

    /// Has an instance take in what happened.
    fn take(&mut self, node: usize, input: Input) {
        let now = self.now;
        let taker = &mut self.nodes[node];
        let absence = taker.absence;
        let Some(informer) = &mut taker.informer else {
            return;
        };
        let outputs = informer.handle(input, absence, now);
        let wake = informer.next_wake();
        let life = taker.life;
        for output in outputs {
            self.perform(node, life, output);
        }
        let Some(wake) = wake else {
            return;
        };
        if wake <= now {
            self.observer
                .violations
                .push(format!("{now}: instance {node} would be busy"));
            return;
        }
        let taker = &mut self.nodes[node];
        if taker.wake <= now || wake < taker.wake {
            taker.wake = wake;
            self.at(wake, Event::Wake(node, life));
        }
    }

    fn perform(&mut self, node: usize, life: u32, output: Output) {
        match output {
            Output::Call(call) if call.source == Source::Peer => self.ask_peer(node, life, call),
            Output::Call(call) => {
                self.calls += 1;
                self.observer.called(node, self.now);
                self.nodes[node].calls.insert(call.id, call);
                self.later(1, Event::Arrive(node, life, call));
                let expires = call.wait_ms + call.timeout_ms;
                self.later(expires, Event::Expire(node, life, call.id));
            }
            Output::Configuration(config) => {
                self.nodes[node].configuration = Some(config.clone());
                self.observer.in_force(node, config.revision, self.now);
            }
            Output::Confirm(confirmed) => self.confirm(node, confirmed),
            Output::Cancel(call, _) => {
                self.nodes[node].calls.remove(&call.id);
            }
            Output::Era(_) | Output::MissingEntry(..) | Output::Outdated(_) => {}
            Output::PassOnConfiguration => self.pass_configuration_on(node),
            Output::AnnounceRoster(word) => self.announce(node, &word),
            Output::AnnounceConfiguration => self.tell(node, &Told::Known),
            Output::Upstreams(delta) => {
                let listed = &mut self.nodes[node].listed;
                for name in delta.removed {
                    listed.remove(&name);
                }
                let changed = delta.listed.into_iter();
                listed.extend(changed.map(|one| (one.name.clone(), one)));
                let listed = listed.values().map(|one| (label(one), one.leaving));
                let listed = listed.collect();
                self.observer.listed(node, listed, self.now);
            }
        }
    }

    /// Tells the others of the data centre.
    fn tell(&mut self, node: usize, what: &Told) {
        let near = |other: &usize| {
            let (one, other) = (&self.nodes[node], &self.nodes[*other]);
            one.member.data_centre == other.member.data_centre
        };
        let others = (0..self.nodes.len()).filter(|other| *other != node);
        let to: Vec<usize> = others.filter(near).collect();
        self.send(node, &to, what);
    }

    /// The other instances of an instance's data centre, by the hashes of their names.
    fn near(&self, node: usize) -> BTreeMap<u64, usize> {
        let own = &self.nodes[node].member.data_centre;
        let near = |(index, other): &(usize, &Node)| {
            let is_entered = *index != node && other.entered_until > self.now;
            is_entered && other.member.data_centre == *own
        };
        let near = self.nodes.iter().enumerate().filter(near);
        near.map(|(index, other)| (other.id, index)).collect()
    }

    /// Announces an update of the list to the data centre.
    fn announce(&mut self, node: usize, word: &RosterUpdate) {
        self.sequence += 1;
        let root = self.nodes[node].id;
        for tree in dissemination::trees(self.near(node).len()) {
            let route = Route {
                root,
                sequence: self.sequence,
                tree: *tree,
            };
            self.spread(node, word, route);
        }
    }

    /// Sends an update to the instances behind one in a tree.
    fn spread(&mut self, node: usize, word: &RosterUpdate, route: Route) {
        let near = self.near(node);
        let others: Vec<u64> = near.keys().copied().collect();
        let own = self.nodes[node].id;
        let children = dissemination::children(&others, own, route.root, route.tree);
        let mut to: Vec<usize> = children.iter().map(|child| near[child]).collect();
        to.sort_unstable();
        self.send(node, &to, &Told::Word(word.clone(), route));
    }

    /// Passes on what an instance hears; whether it is the first copy.
    fn passes(&mut self, node: usize, heard: &PeerReport, route: Option<Route>) -> bool {
        let (Some(route), Some(word)) = (route, &heard.update) else {
            return true;
        };
        let receipt = self.nodes[node].forwarder.receive(route);
        if receipt.passes_on {
            self.spread(node, word, route);
        }
        receipt.is_new
    }

    /// Tells the instances behind one of the configuration in force there.
    fn pass_configuration_on(&mut self, node: usize) {
        let near = self.near(node);
        let own = self.nodes[node].id;
        let root = near.keys().next().map_or(own, |first| own.min(*first));
        let others: Vec<u64> = near.keys().copied().collect();
        for tree in dissemination::trees(near.len()) {
            if *tree != Tree::Direct {
                let children = dissemination::children(&others, own, root, *tree);
                let to: Vec<usize> = children.iter().map(|child| near[child]).collect();
                self.send(node, &to, &Told::Known);
            }
        }
    }

    /// Asks another instance of the data centre for the list or the configuration.
    fn ask_peer(&mut self, node: usize, life: u32, call: Call) {
        self.nodes[node].calls.insert(call.id, call);
        let near: Vec<usize> = self.near(node).into_values().collect();
        if near.is_empty() {
            self.later(1, Event::DeliverList(node, life, call.id, None));
            return;
        }
        let peer = near[(call.id as usize + node) % near.len()];
        self.later(1, Event::Ask(node, life, call, peer));
    }

    /// A call of another instance arrives there.
    fn ask(&mut self, node: usize, life: u32, call: Call, peer: usize) {
        let asked = &self.nodes[peer];
        let is_cut = |node: &Node| node.isolated_until > self.now;
        if is_cut(asked) || is_cut(&self.nodes[node]) || asked.frozen_until > self.now {
            let list = Event::DeliverList(node, life, call.id, None);
            self.later(call.timeout_ms, list);
            return;
        }
        if call.topic == Topic::Configuration {
            let config = asked.configuration.clone();
            self.later(1, Event::DeliverConfiguration(node, life, call.id, config));
            return;
        }
        let informer = asked.informer.as_ref();
        let list = informer.and_then(|informer| informer.peer_list(call.since, self.now));
        self.later(1, Event::DeliverList(node, life, call.id, list));
    }

    /// The configuration of another instance arrives.
    fn take_configuration(&mut self, node: usize, id: u64, config: Option<Arc<Config>>) {
        if self.nodes[node].calls.remove(&id).is_some() {
            let bytes = 0;
            self.take(node, Input::PeerConfiguration { bytes, config, id });
        }
    }

    /// The answer to a call of another instance arrives.
    fn take_list(&mut self, node: usize, id: u64, list: Option<PeerList>) {
        if self.nodes[node].calls.remove(&id).is_none() {
            return;
        }
        let input = match list {
            Some(list) => Input::PeerList(id, list),
            None => Input::Failed(id),
        };
        self.take(node, input);
    }

    /// Tells the others that watch what the store has just shown.
    fn confirm(&mut self, node: usize, confirmed: Confirmed) {
        let members = self.members(node);
        let watchers = self.nodes[node].own.watchers(&members);
        let watches = |other: &usize| watchers.contains(&self.nodes[*other].name);
        let to: Vec<usize> = (0..self.nodes.len()).filter(watches).collect();
        self.send(node, &to, &Told::Confirmed(confirmed));
    }

    /// Sends a datagram with what an instance knows.
    fn send(&mut self, node: usize, to: &[usize], what: &Told) {
        let (confirmed, word, route) = match what {
            Told::Confirmed(confirmed) => (Some(*confirmed), None, None),
            Told::Known => (None, None, None),
            Told::Word(word, route) => (None, Some(word), Some(*route)),
        };
        let Some(informer) = &self.nodes[node].informer else {
            return;
        };
        let known = informer.known_state();
        if self.nodes[node].isolated_until > self.now {
            return;
        }
        for other in to {
            let lost = match self.lossy {
                Some((percent, until)) if until > self.now => percent,
                _ => 0,
            };
            if self.random.random_range(0..100) < lost {
                continue;
            }
            let heard = PeerReport {
                configuration: known.configuration,
                confirmed,
                list: known.list,
                update: word.cloned(),
            };
            let hop = self.random.random_range(1..HOP_MS);
            let life = self.nodes[*other].life;
            self.later(hop, Event::Hear(*other, life, heard, route));
        }
    }

    fn gossip(&mut self, node: usize, life: u32) {
        let count = self.nodes.len();
        let to: Vec<usize> = (0..GOSSIP)
            .map(|_| self.random.random_range(0..count))
            .filter(|other| *other != node)
            .collect();
        self.send(node, &to, &Told::Known);
        self.later(GOSSIP_MS, Event::Gossip(node, life));
    }

    /// An instance makes a call that is not for its informer.
    fn other_call(&mut self, node: usize, life: u32, ended: fn(usize, u32, Ended) -> Event) {
        self.calls += 1;
        self.observer.called(node, self.now);
        let isolated = self.nodes[node].isolated_until > self.now;
        let silent = Ended::Unanswered(PATIENCE_MS);
        match self.failing(node) {
            _ if isolated => self.later(PATIENCE_MS, ended(node, life, silent)),
            Some(Failing::Busy) => self.later(HOP_MS, ended(node, life, Ended::Refused)),
            None if self.hop_ms() < PATIENCE_MS => {
                self.later(self.hop_ms(), ended(node, life, Ended::Answered));
            }
            Some(Failing::Silent) | None => self.later(PATIENCE_MS, ended(node, life, silent)),
        }
    }

    /// How a call ended, unless the store fell silent before its answer was out.
    fn heard(&self, ended: Ended) -> Ended {
        match ended {
            Ended::Answered if self.fell_silent() => Ended::Refused,
            _ => ended,
        }
    }

    fn looked(&mut self, node: usize, life: u32, ended: Ended) {
        let ended = self.heard(ended);
        let answered = ended.is_answered();
        self.note(node, ended, self.registry.era);
        let members = self.members(node);
        if answered {
            self.nodes[node].knows = members.len();
        }
        let pause = match self.nodes[node].knows {
            0 if answered => LOOK_ALONE_MS,
            few if few < FEW && !answered => PATIENCE_MS,
            few if few < FEW => LOOK_MS,
            _ => LOOK_LARGE_MS,
        };
        self.later(pause, Event::Look(node, life));
        let place = self.nodes[node].own.place(&members);
        if let Some(informer) = &mut self.nodes[node].informer {
            informer.set_place(place);
        }
        let own = &self.nodes[node].own;
        let input = if answered {
            Input::Role(own.role(&members), own.watcher_rank(&members))
        } else {
            Input::Tick
        };
        self.take(node, input);
    }

    fn renewed(&mut self, node: usize, life: u32, ended: Ended) {
        let ended = self.heard(ended);
        let answered = ended.is_answered();
        self.note(node, ended, self.registry.era);
        if answered {
            self.nodes[node].entered_until = self.now.after(LEASE_MS);
        }
        let pause = if answered { RENEW_MS } else { 1_000 };
        self.later(pause, Event::Renew(node, life));
        self.take(node, Input::Tick);
    }

    /// The other instances that are entered.
    fn members(&self, node: usize) -> Members {
        let entered = self.nodes.iter().enumerate();
        let entered = entered.filter(|(other, one)| *other != node && one.entered_until > self.now);
        entered
            .map(|(_, one)| (one.name.clone(), one.member.clone()))
            .collect()
    }

    fn start(&mut self, node: usize) {
        let bound = StalenessBound {
            bound_ms: self.rules.apply_ms.min(self.rules.leave_ms),
        };
        let now = self.now;
        let is_large = self.nodes.len() > dissemination::DIRECT_MAX;
        let wait_ms = if is_large { DISCOVERY_WAIT_MS } else { 0 };
        let starting = &mut self.nodes[node];
        starting.absence = Availability::new(HEARTBEAT_MS);
        starting.calls.clear();
        starting.configuration = None;
        starting.forwarder = Forwarder::default();
        starting.knows = 0;
        starting.listed.clear();
        starting.life += 1;
        starting.wake = Time::default();
        let life = starting.life;
        let informer = Informer::new(bound, self.rules.leave_ms, starting.absence, now)
            .awaiting_role(wait_ms, now);
        starting.informer = Some(informer);
        self.observer.started(node, now);
        self.take(node, Input::Tick);
        let spread = self.random.random_range(1..50);
        self.later(spread, Event::Renew(node, life));
        self.later(spread + 20, Event::Look(node, life));
        if self.traffic {
            self.later(spread, Event::Gossip(node, life));
        }
    }

    fn kill(&mut self, node: usize, millis: u64) {
        if self.nodes[node].informer.take().is_none() {
            return;
        }
        self.waiting.retain(|waiting| waiting.node != node);
        self.observer.ended(node);
        self.later(millis.max(1), Event::Start(node));
    }

    fn enter(&mut self) {
        let index = self.upstreams.len();
        let name = format!("upstream-{index}");
        let listed = ListEntry {
            address: ([127, 0, 0, 1], 1_000 + index as u16).into(),
            born: 0,
            data_centre: "dc-0".into(),
            leaving: false,
            name,
            pool: "pool".into(),
            registered_at: Position::default(),
            slots: 8,
            version: String::new(),
        };
        self.upstreams.push(Upstream {
            alive: true,
            listed,
            spoiled_until: Time::default(),
        });
        self.beat(index);
    }

    /// An upstream writes its entry, if it reaches the store, and again later.
    fn beat(&mut self, index: usize) {
        let upstream = &self.upstreams[index];
        if !upstream.alive {
            return;
        }
        if !self.is_away() && upstream.spoiled_until <= self.now {
            let listed = upstream.listed.clone();
            if !listed.leaving {
                self.observer.lives(&label(&listed), self.now);
            }
            self.registry
                .enter(listed, self.now.after(LAPSE * HEARTBEAT_MS));
            self.watches();
        }
        let late = self.random.random_range(0..HEARTBEAT_MS / 20);
        self.later(HEARTBEAT_MS - late, Event::Beat(index));
    }

    /// An upstream that has served long enough behind its word ends its entry.
    fn remove(&mut self, index: usize) {
        if self.is_away() {
            self.later(200, Event::Remove(index));
            return;
        }
        let name = self.upstreams[index].listed.name.clone();
        self.upstreams[index].alive = false;
        self.observer
            .leaves(&self.upstreams[index].life(), self.now);
        self.registry.remove(&name);
        self.watches();
    }

    /// The upstream with a number among those that are ready.
    fn ready(&self, number: usize) -> Option<usize> {
        let ready = |index: &usize| {
            let upstream = &self.upstreams[*index];
            upstream.alive && !upstream.listed.leaving
        };
        let ready: Vec<usize> = (0..self.upstreams.len()).filter(ready).collect();
        (!ready.is_empty()).then(|| ready[number % ready.len()])
    }

    /// Has an upstream end and start again under its name; the store has its new entry at once.
    fn restart(&mut self, index: usize) {
        let now = self.now;
        let upstream = &mut self.upstreams[index];
        let former = upstream.life();
        upstream.listed.born += 1;
        if upstream.spoiled_until > now {
            self.observer.spoils(&former, now);
            return;
        }
        self.observer.leaves(&former, now);
        let listed = upstream.listed.clone();
        self.observer.lives(&label(&listed), self.now);
        self.registry.enter(listed, now.after(LAPSE * HEARTBEAT_MS));
        self.watches();
    }

    /// Has another writer's entry stand over an upstream's for some time.
    fn spoil(&mut self, index: usize, millis: u64) {
        let until = self.now.after(millis);
        self.observer
            .spoils(&self.upstreams[index].life(), self.now);
        let upstream = &mut self.upstreams[index];
        upstream.spoiled_until = until;
        let lapses = until.after(LAPSE * HEARTBEAT_MS);
        self.registry.spoil(&upstream.listed.name, lapses);
        self.watches();
    }

    /// Cuts an instance off from all.
    fn isolate(&mut self, node: usize, millis: u64) {
        let until = self.now.after(millis);
        let isolated = &mut self.nodes[node];
        isolated.isolated_until = isolated.isolated_until.max(until);
        let life = isolated.life;
        self.observer.disturbed(node, until);
        if millis < KEEPALIVE_MS {
            return;
        }
        let (lost, kept) = std::mem::take(&mut self.waiting)
            .into_iter()
            .partition(|waiting: &Waiting| waiting.node == node);
        self.waiting = kept;
        for waiting in lost {
            self.later(KEEPALIVE_MS, Event::Broken(node, life, waiting.call.id));
        }
    }

    /// Has the store fail for some instances.
    fn refuse(&mut self, nodes: &BTreeSet<usize>, how: Failing, millis: u64) {
        let until = self.now.after(millis);
        for node in nodes {
            self.nodes[*node].refused = Some((how, until));
            self.observer.disturbed(*node, until);
        }
        if how == Failing::Busy {
            self.cut(|node| nodes.contains(&node));
        }
        self.at(until, Event::Watches);
    }

    /// The instances that the store fails for.
    fn refused(&self, act: Act) -> BTreeSet<usize> {
        let all = 0..self.nodes.len();
        let role = |node: &usize| self.nodes[*node].own.role(&self.members(*node));
        match act {
            Act::Refuse(each, ..) => all.step_by(each.max(1)).collect(),
            Act::RefuseRole(which, ..) => all.filter(|node| role(node) == which).collect(),
            _ => BTreeSet::new(),
        }
    }

    /// Has all entries stay up to then at least, also those of upstreams that are gone.
    fn extend(&mut self, until: Time) {
        self.registry.extend(until);
        for upstream in self.upstreams.iter().filter(|one| !one.alive) {
            self.observer.lapses(&upstream.life(), until);
        }
    }

    /// The store is away for some time, and then back from a copy that is so old. What it lacks its owners write again: upstreams
    /// with their next heartbeat, the operator within a second and a half.
    fn drill(&mut self, age_ms: u64, away_ms: u64) {
        if self.is_away() {
            return;
        }
        let until = self.now.after(away_ms);
        self.away = Some((Failing::Busy, until));
        self.away_from = self.now;
        self.observer.store_disturbed(until);
        self.cut(|_| true);
        let written = self.registry.restore(age_ms, self.now);
        for upstream in self.upstreams.iter_mut().filter(|one| one.alive) {
            // Another writer's entry is as the copy has it, up to its upstream's next write.
            upstream.spoiled_until = upstream.spoiled_until.min(until);
            if self.registry.is_odd(&upstream.listed.name) {
                self.observer.leaves(&upstream.life(), until);
            } else if !upstream.listed.leaving {
                self.observer.lives(&upstream.life(), until);
            }
        }
        self.extend(until.after(LAPSE * HEARTBEAT_MS));
        let kept = self.registry.configured();
        self.observer.lost(kept as u64, until);
        let mut at = until;
        for _ in kept..written {
            at = at.after(self.random.random_range(50..700));
            self.at(at, Event::Step(Act::Rewrite));
        }
        self.at(until, Event::Watches);
    }

    fn act(&mut self, act: Act) {
        let now = self.now;
        let instances = self.nodes.len();
        match act {
            Act::Away(how, millis, lapse) => {
                if self.is_away() {
                    return;
                }
                let until = now.after(millis);
                self.away = Some((how, until));
                self.away_from = now;
                self.observer.store_disturbed(until);
                if how == Failing::Busy {
                    self.cut(|_| true);
                }
                if !lapse {
                    self.extend(until.after(LAPSE * HEARTBEAT_MS));
                }
                self.at(until, Event::Watches);
            }
            Act::Crash(number) => {
                if let Some(index) = self.ready(number) {
                    self.upstreams[index].alive = false;
                    self.observer.dies(&self.upstreams[index].life());
                }
            }
            Act::Drill(age_ms, away_ms) => self.drill(age_ms, away_ms),
            Act::CutWatches => self.cut(|_| true),
            Act::Enter => self.enter(),
            Act::Hush(each) => {
                let waits = |waiting: &Waiting| !waiting.node.is_multiple_of(each.max(1));
                self.waiting.retain(waits);
            }
            Act::Forget => self.registry.forget(),
            Act::Freeze(number, millis) => {
                let until = now.after(millis);
                let node = &mut self.nodes[number % instances];
                node.frozen_until = node.frozen_until.max(until);
                self.observer.disturbed(number % instances, until);
            }
            Act::Isolate(number, millis) => self.isolate(number % instances, millis),
            Act::Kill(number, millis) => self.kill(number % instances, millis),
            Act::KillAll(millis) => (0..instances).for_each(|node| self.kill(node, millis)),
            Act::LoseDatagrams(percent, millis) => {
                self.lossy = Some((percent, now.after(millis)));
            }
            Act::Refuse(_, how, millis) | Act::RefuseRole(_, how, millis) => {
                let nodes = self.refused(act);
                self.refuse(&nodes, how, millis);
            }
            Act::Slow(times, millis) => {
                let until = now.after(millis);
                self.slow = Some((times, until));
                self.observer.store_disturbed(until);
            }
            Act::Configure
            | Act::Rewrite
            | Act::Depart(_)
            | Act::Leave(_)
            | Act::Restart(_)
            | Act::Spoil(..)
                if self.is_away() =>
            {
                // Operators and upstreams try again.
                self.later(100, Event::Step(act));
            }
            Act::Restart(number) => {
                if let Some(index) = self.ready(number) {
                    self.restart(index);
                }
            }
            Act::Spoil(number, millis) => {
                if let Some(index) = self.ready(number) {
                    self.spoil(index, millis);
                }
            }
            Act::Configure | Act::Rewrite => {
                let revision = self.registry.configure(now);
                self.observer.configured(revision, now);
                self.watches();
            }
            Act::Depart(number) => {
                if let Some(index) = self.ready(number) {
                    self.remove(index);
                }
            }
            Act::Leave(number) => {
                if let Some(index) = self.ready(number) {
                    let upstream = &mut self.upstreams[index];
                    upstream.listed.leaving = true;
                    let listed = upstream.listed.clone();
                    self.observer.leaves(&label(&listed), now);
                    self.registry.enter(listed, now.after(LAPSE * HEARTBEAT_MS));
                    self.watches();
                    let serves = self.rules.leave_ms + self.random.random_range(0..4_000);
                    self.later(serves, Event::Remove(index));
                }
            }
        }
    }
}
