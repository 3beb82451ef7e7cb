//! Fleets some of whose instances are cut off from all upstreams: what first tries there come to, and what it costs.
//!
//! Instances and upstreams by links between them, in virtual time. As the users count it: first tries at instances that are
//! cut off, from 3 s behind the cut, against those at the others.

use super::*;

/// Time between two calls at an instance, in milliseconds.
const CALL_INTERVAL_MS: u64 = 400;

/// Time that an upstream takes for a call, in milliseconds.
const CALL_MS: u64 = 30;

/// Time for which a connection is tried that hangs, in milliseconds: the connect timeout.
const HANG_MS: u64 = 300;

/// One way between two machines, in milliseconds.
const WAY_MS: u64 = 1;

/// Time between two ticks, in milliseconds.
const TICK_MS: u64 = 20;

/// Timeout of callers, in milliseconds.
const TIMEOUT_MS: u64 = 1_500;

/// Start and end of the cut, in milliseconds from the start.
const CUT_MS: std::ops::Range<u64> = 1_000..9_000;

/// Time behind the start of the cut from which on first tries count, in milliseconds: the users' `contact_ms`.
const CONTACT_MS: u64 = 3_000;

/// End of the play, in milliseconds from the start.
const END_MS: u64 = 12_000;

/// Time behind the end of the cut within which the direct path is to be taken again, in milliseconds.
const RETURN_MS: u64 = 2_000;

/// Share of the first tries at instances that are cut off that is to be served, of the share at the others.
const AIM: f64 = 0.95;

/// Data centres.
const DATA_CENTRES: usize = 3;

/// What a new connection over a cut link comes to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Form {
    Hangs,
    Refused,
}

/// Which instances are cut off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Cut {
    AllButOne,
    DataCentre,
    One,
}

/// First tries of a group of instances.
#[derive(Clone, Copy, Debug, Default)]
struct Tries {
    asked: usize,
    served: usize,
}

/// What is to happen at an instance.
#[derive(Clone, Debug)]
enum Action {
    Call(usize),
    Connect(usize, Attempt),
    Tell(usize, Event),
    Tick(usize),
}

/// An attempt on its way.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    key: attempt::Key,
    path: Path,
    upstream: usize,
}

#[derive(Debug, Default)]
struct Outcome {
    cut_off: Tries,
    others: Tries,
    /// Attempts over tunnels behind the time in which the direct path is to be taken again.
    late_tunnels: usize,
    /// Losses that instances announced.
    losses: usize,
    /// Tunnels that were opened, by gateway.
    tunnels: BTreeMap<usize, usize>,
    /// Attempts of instances that are cut off from that time on that reached nobody, and all.
    unreached: usize,
    sent: usize,
}

struct Fleet {
    actions: BTreeMap<(u64, u64), Action>,
    callers: BTreeMap<(usize, Caller), u64>,
    cores: Vec<Core>,
    cut: Cut,
    form: Form,
    next: u64,
    now_ms: u64,
    outcome: Outcome,
}

impl Tries {
    fn share(self) -> f64 {
        self.served as f64 / self.asked as f64
    }
}

impl Fleet {
    fn play(instances: usize, upstreams: usize, cut: Cut, form: Form) -> Outcome {
        let mut fleet = Self::new(instances, cut, form);
        for instance in 0..instances {
            fleet.start(instance, upstreams);
        }
        while let Some(((at, _), action)) = fleet.actions.pop_first() {
            if at > END_MS {
                break;
            }
            fleet.now_ms = at;
            fleet.act(action);
        }
        fleet.outcome
    }

    fn new(instances: usize, cut: Cut, form: Form) -> Self {
        let settings = Settings {
            probes: false,
            ..Settings::default()
        };
        let core = |index: usize| {
            let core = Core::new(settings.clone(), [0; 32], index as u64, NOW);
            core.in_data_centre(&format!("dc-{}", index % DATA_CENTRES))
        };
        Self {
            actions: BTreeMap::new(),
            callers: BTreeMap::new(),
            cores: (0..instances).map(core).collect(),
            cut,
            form,
            next: 0,
            now_ms: 0,
            outcome: Outcome::default(),
        }
    }

    fn start(&mut self, instance: usize, upstreams: usize) {
        let ids = 0..self.cores.len() as u64;
        let others: Vec<u64> = ids.filter(|other| *other != instance as u64).collect();
        let is_local = |other: &u64| *other as usize % DATA_CENTRES == instance % DATA_CENTRES;
        let view = View {
            convergence_ms: 0,
            local: others.iter().copied().filter(is_local).collect(),
            others,
            own: instance as u64,
        };
        self.tell(instance, Event::Config(Arc::new(configuration(1))));
        let entries = (0..upstreams).map(|index| listed(index, index)).collect();
        let entries = Some(entries);
        self.tell(
            instance,
            Event::List {
                entries,
                requested_at: NOW,
            },
        );
        self.tell(instance, Event::Instances(view));
        let offset = (instance as u64 * 7) % CALL_INTERVAL_MS;
        self.schedule(offset, Action::Call(instance));
        self.schedule(offset % TICK_MS, Action::Tick(instance));
    }

    fn is_cut_off(&self, instance: usize) -> bool {
        self.is_selected(instance) && CUT_MS.contains(&self.now_ms)
    }

    fn is_selected(&self, instance: usize) -> bool {
        match self.cut {
            Cut::AllButOne => instance > 0,
            Cut::DataCentre => instance % DATA_CENTRES == 1,
            Cut::One => instance == 1,
        }
    }

    fn schedule(&mut self, millis: u64, action: Action) {
        self.next += 1;
        self.actions
            .insert((self.now_ms + millis, self.next), action);
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Call(instance) => {
                self.call(instance);
                self.schedule(CALL_INTERVAL_MS, Action::Call(instance));
            }
            Action::Connect(instance, attempt) => self.connect(instance, attempt),
            Action::Tell(instance, event) => self.tell(instance, event),
            Action::Tick(instance) => {
                self.tell(instance, Event::Tick);
                self.schedule(TICK_MS, Action::Tick(instance));
            }
        }
    }

    fn call(&mut self, instance: usize) {
        self.next += 1;
        let caller = Caller(self.next);
        self.callers.insert((instance, caller), self.now_ms);
        let work = Work::Relay(Relay {
            max_answer_tokens: 0,
            bytes: 100,
            host: "a.example".into(),
            path: NON_REPEATABLE.into(),
            timeout_ms: Some(TIMEOUT_MS),
            position: 0,
            prompt: 0,
            resumes: None,
            run: format!("run-{}", self.next).into(),
            tokens: 0,
        });
        let submission = Submission {
            caller,
            cursor: None,
            customer: "key".into(),
            fingerprint: self.next,
            generation: u128::from(self.next),
            key: None,
            received: None,
            service: String::new(),
            work,
        };
        self.tell(instance, Event::Submit(Box::new(submission)));
    }

    fn tell(&mut self, instance: usize, event: Event) {
        let now = NOW.after(self.now_ms);
        for effect in self.cores[instance].handle(now, event) {
            self.carry_out(instance, &effect);
        }
    }

    fn carry_out(&mut self, instance: usize, effect: &Effect) {
        match effect {
            Effect::Connectivity(effect::Connectivity::Check {
                started_at,
                upstream,
                ..
            }) => {
                let connected = !self.is_cut_off(instance);
                let checked = Event::ConnectionChecked {
                    connected,
                    started_at: *started_at,
                    upstream: *upstream,
                };
                let wait_ms = self.connect_ms(connected);
                self.schedule(wait_ms, Action::Tell(instance, checked));
            }
            Effect::Fail { caller, .. } => self.end(instance, *caller, false),
            Effect::ForwardResponse(caller) => self.end(instance, *caller, true),
            Effect::GossipBreakOff(incarnation) | Effect::GossipLost(incarnation) => {
                self.outcome.losses += 1;
                for other in (0..self.cores.len()).filter(|other| *other != instance) {
                    let told = Action::Tell(other, Event::PeerLoss(*incarnation));
                    self.schedule(WAY_MS, told);
                }
            }
            Effect::Send {
                address,
                attempt,
                outbound: Outbound::Relay { path, .. },
                ..
            } => {
                let index = index(*address);
                let attempt = Attempt {
                    key: *attempt,
                    path: *path,
                    upstream: index,
                };
                self.schedule(WAY_MS, Action::Connect(instance, attempt));
            }
            _ => {}
        }
    }

    /// Time after which it shows whether a connection is made.
    fn connect_ms(&self, connected: bool) -> u64 {
        match self.form {
            Form::Hangs if !connected => HANG_MS,
            Form::Hangs | Form::Refused => 2 * WAY_MS,
        }
    }

    fn connect(&mut self, instance: usize, attempt: Attempt) {
        let counts = self.is_cut_off(instance) && self.now_ms >= CUT_MS.start + CONTACT_MS;
        self.outcome.sent += usize::from(counts);
        let gateway = match attempt.path {
            Path::Direct => instance,
            Path::Tunnel(gateway) => gateway as usize,
        };
        let is_tunnel = attempt.path != Path::Direct;
        if is_tunnel {
            *self.outcome.tunnels.entry(gateway).or_default() += 1;
            let is_late = self.now_ms >= CUT_MS.end + RETURN_MS;
            self.outcome.late_tunnels += usize::from(is_late);
        }
        let name = incarnation(attempt.upstream, 0);
        let target = self.cores[gateway].tunnel_target(name);
        if is_tunnel && target.is_none() {
            self.outcome.unreached += usize::from(counts);
            let named = self.cores[gateway].known_gateway();
            let declined = Failure::NoTunnel { named };
            self.fail(instance, attempt, declined, 2 * WAY_MS);
            return;
        }
        let connected = !self.is_cut_off(gateway);
        let wait_ms = self.connect_ms(connected);
        if let Some((upstream, _)) = target.filter(|_| is_tunnel) {
            let checked = Event::ConnectionChecked {
                connected,
                started_at: NOW.after(self.now_ms),
                upstream,
            };
            self.schedule(wait_ms, Action::Tell(gateway, checked));
        }
        if !connected {
            self.outcome.unreached += usize::from(counts);
            self.fail(instance, attempt, Failure::NotSent, wait_ms);
            return;
        }
        let key = attempt.key;
        let made = Action::Tell(instance, Event::Connected(key));
        self.schedule(wait_ms, made);
        let answered = Event::Answered {
            attempt: key,
            verdict: Verdict::Good,
        };
        self.schedule(wait_ms + CALL_MS, Action::Tell(instance, answered));
    }

    fn fail(&mut self, instance: usize, attempt: Attempt, failure: Failure, wait_ms: u64) {
        let failed = Event::Failed {
            attempt: attempt.key,
            failure,
        };
        self.schedule(wait_ms, Action::Tell(instance, failed));
    }

    fn end(&mut self, instance: usize, caller: Caller, served: bool) {
        let Some(asked_ms) = self.callers.remove(&(instance, caller)) else {
            return;
        };
        let counted = CUT_MS.start + CONTACT_MS..CUT_MS.end;
        if !counted.contains(&asked_ms) {
            return;
        }
        let tries = if self.is_selected(instance) {
            &mut self.outcome.cut_off
        } else {
            &mut self.outcome.others
        };
        tries.asked += 1;
        tries.served += usize::from(served);
    }
}

/// Plays every cut in every form, with three upstreams for two instances and at least six.
fn play_all(instances: usize) -> Vec<(Cut, Form, Outcome)> {
    let upstreams = (instances * 3 / 2).clamp(6, 60);
    let mut outcomes = Vec::new();
    for cut in [Cut::One, Cut::DataCentre, Cut::AllButOne] {
        for form in [Form::Refused, Form::Hangs] {
            let outcome = Fleet::play(instances, upstreams, cut, form);
            outcomes.push((cut, form, outcome));
        }
    }
    outcomes
}

/// Expects what is aimed at for each cut of a fleet.
fn expect_served(instances: usize) {
    for (cut, form, outcome) in play_all(instances) {
        let what = format!("{instances} instances, {cut:?}, {form:?}: {outcome:?}");
        let least = AIM * outcome.others.share();
        expect_that!(outcome.others.share(), ge(AIM), "{what}");
        expect_that!(outcome.cut_off.share(), ge(least), "{what}");
        expect_that!(outcome.late_tunnels, eq(0), "{what}");
    }
}

#[gtest]
fn first_tries_at_instances_that_are_cut_off_are_served_with_2_instances() {
    expect_served(2);
}

#[gtest]
fn first_tries_at_instances_that_are_cut_off_are_served_with_6_instances() {
    expect_served(6);
}

#[gtest]
fn first_tries_at_instances_that_are_cut_off_are_served_with_30_instances() {
    expect_served(30);
}

#[gtest]
fn first_tries_at_instances_that_are_cut_off_are_served_with_300_instances() {
    expect_served(300);
}

#[gtest]
fn instances_that_are_cut_off_announce_no_losses_and_spread_over_gateways() {
    let outcome = Fleet::play(30, 45, Cut::DataCentre, Form::Refused);
    expect_that!(outcome.losses, eq(0), "{outcome:?}");
    // 20 gateways reach upstreams; none of them carries three times its part.
    let reached =
        |(gateway, count): (&usize, &usize)| (gateway % DATA_CENTRES != 1).then_some(*count);
    let counts: Vec<usize> = outcome.tunnels.iter().filter_map(reached).collect();
    let mean = counts.iter().sum::<usize>() as f64 / 20.0;
    let most = counts.iter().copied().max().unwrap_or(0);
    expect_that!(most as f64, le(3.0 * mean), "{outcome:?}");
    // Nearly every attempt is one that reaches an upstream.
    expect_that!(
        outcome.unreached as f64,
        le(0.2 * outcome.sent as f64),
        "{outcome:?}"
    );
}
