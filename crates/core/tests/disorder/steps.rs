//! The events of a case, drawn at random.

use super::*;
use oracle::Progress;

/// Lets something happen.
type Step = fn(&mut World);

/// What may happen next, and how often relative to the rest.
const STEPS: [(u32, Step); 32] = [
    (3, accept_reads),
    (6, answer),
    (4, call_own),
    (3, check_connection),
    (6, check_crash),
    (6, close_stream),
    (2, configure),
    (9, fail),
    (3, generate),
    (1, hear_demand),
    (3, hear_ends),
    (2, hear_leaving),
    (3, hear_limit),
    (2, hear_loss),
    (2, hear_speed),
    (5, hear_stream),
    (2, hold_response),
    (8, list_change),
    (3, list_whole),
    (1, lose_store),
    (4, leave),
    (8, notice),
    (6, probe),
    (4, read),
    (1, reconfigure),
    (3, report_crash),
    (5, settle_claim),
    (24, stream),
    (26, submit),
    (6, tell_tokens),
    (30, tick),
    (1, see_members),
];

/// Factors on how often an event happens in a case, from which each is drawn for each case: what is found only among many
/// events of few kinds would hardly come up if all were as frequent in every case.
const FACTORS: [u32; 4] = [0, 1, 1, 4];

/// Fingerprints of bodies at most.
pub const BODIES: u64 = 5;

/// Prompts; 0 stands for none.
const PROMPTS: u64 = 4;

/// How often each event happens in a case, relative to the rest.
pub fn weights(random: &mut Pcg64Mcg) -> Vec<u32> {
    let mut weight = |(weight, _): &(u32, Step)| {
        let factor = FACTORS[random.random_range(0..FACTORS.len())];
        // Nothing happens in a case without requests or without time.
        let least = u32::from(*weight >= 24);
        weight * factor.max(least)
    };
    STEPS.iter().map(&mut weight).collect()
}

/// Lets one event happen.
pub fn take(world: &mut World) {
    let total: u32 = world.weights.iter().sum();
    let mut point = world.random.random_range(0..total);
    let weighted = world.weights.iter().zip(STEPS);
    let drawn = weighted.map(|(weight, (_, step))| (*weight, step));
    for (weight, step) in drawn.collect::<Vec<_>>() {
        if point < weight {
            step(world);
            return;
        }
        point -= weight;
    }
}

/// Lets time pass, mostly with a tick behind it.
fn tick(world: &mut World) {
    let millis = match world.random.random_range(0..100) {
        0..15 => 0,
        15..60 => world.random.random_range(1..20),
        60..85 => world.random.random_range(20..150),
        85..95 => world.random.random_range(150..1_500),
        95..99 => world.random.random_range(1_500..6_000),
        _ => world.random.random_range(6_000..120_000),
    };
    world.now = world.now.after(millis);
    if world.chance(0.9) {
        world.handle(Event::Tick);
    }
}

/// Submits relayed requests: mostly one, at times several alike.
fn submit(world: &mut World) {
    let paths = ["/stream/1", "/stream/1", "/again/1", "/once/1", "/open/1"];
    let odd = ["/split/1", "/slow/1", "/none"];
    let is_odd = world.chance(0.25);
    let among: &[&str] = if is_odd { &odd } else { &paths };
    let path = among[world.random.random_range(0..among.len())];
    let count = if world.chance(0.2) { 8 } else { 1 };
    let (body, prompt) = (
        world.random.random_range(0..world.bodies),
        world.random.random_range(0..PROMPTS),
    );
    let timeouts = [Some(20_000), Some(2_000), Some(300), None];
    let timeout_ms = timeouts[world.random.random_range(0..timeouts.len())];
    for _ in 0..count {
        let caller = next_caller(world);
        let position = if path.starts_with("/stream") && world.chance(0.25) {
            world.random.random_range(1..6)
        } else {
            0
        };
        let resumes = (position > 0 && world.chance(0.5)).then(|| any_run(world));
        let customers = ["key", "key", "second", "unknown"];
        let customer = customers[world.random.random_range(0..customers.len())];
        let work = Work::Relay(Relay {
            max_answer_tokens: 800,
            bytes: world.random.random_range(0..2_000),
            host: "a.example".into(),
            path: path.into(),
            timeout_ms,
            position,
            prompt,
            resumes,
            run: format!("run-{}", caller.0).into(),
            tokens: if path.starts_with("/stream") {
                world.random.random_range(100..30_000)
            } else {
                0
            },
        });
        handle_submission(world, caller, customer, body, "", work);
    }
}

/// Submits a generation over the own interface.
fn generate(world: &mut World) {
    let caller = next_caller(world);
    let services = ["summary", "draft"];
    let service = services[world.random.random_range(0..services.len())];
    let work = Work::Generate {
        max_tokens: world.random.random_range(0..100),
        payload: Arc::from(&b"{}"[..]),
        prefix: world.random.random_range(0..PROMPTS),
    };
    let body = world.random.random_range(0..world.bodies);
    handle_submission(world, caller, "key", body, service, work);
}

/// Submits a call over the own interface.
fn call_own(world: &mut World) {
    let caller = next_caller(world);
    let services = ["lookup", "booking"];
    let service = services[world.random.random_range(0..services.len())];
    let work = Work::Call {
        path: "GET /".into(),
        payload: Arc::from(&b"{}"[..]),
    };
    let body = world.random.random_range(0..world.bodies);
    handle_submission(world, caller, "key", body, service, work);
}

fn handle_submission(
    world: &mut World,
    caller: Caller,
    customer: &str,
    fingerprint: u64,
    service: &str,
    work: Work,
) {
    let index = world.random.random_range(0..world.cursors.len().max(1));
    let is_own = !service.is_empty();
    let cursor = world.cursors.get(index).cloned();
    let resumes = is_own && world.chance(0.4);
    let is_new = cursor.is_none() || !resumes;
    // A key of version 7 states its time in the upper 48 bits.
    let number: u128 = world.random.random_range(0..20);
    let key = (u128::from(world.now.0) << 80) | (7 << 76) | (2 << 62) | number;
    world.callers.insert(caller, Progress::Open);
    world.handle(Event::Submit(Box::new(Submission {
        caller,
        cursor: cursor.filter(|_| resumes),
        customer: customer.into(),
        fingerprint,
        generation: u128::from(caller.0),
        key: (is_own && is_new).then_some(key),
        received: None,
        service: service.into(),
        work,
    })));
}

/// A caller: mostly a new one, at times one that has left.
fn next_caller(world: &mut World) -> Caller {
    let mut left = world.callers.iter();
    let left = left.find(|(_, progress)| **progress == Progress::Left);
    let left = left.map(|(caller, _)| *caller);
    let is_new = world.chance(0.8);
    left.filter(|_| !is_new).unwrap_or_else(|| {
        world.last_caller += 1;
        Caller(world.last_caller)
    })
}

fn any_run(world: &mut World) -> RunId {
    let number = world.random.random_range(0..=world.last_caller);
    RunId::new(&format!("run-{number}"))
}

/// Sends something of a stream: its head, or events, mostly the next ones.
fn stream(world: &mut World) {
    let Some(sent) = world.any_relayed() else {
        return;
    };
    if world.chance(0.1) {
        world.handle(Event::Connected(sent.attempt));
    }
    if sent.position == 0 || world.chance(0.1) {
        world.handle(Event::StreamOpened(sent.attempt));
    }
    for _ in 0..world.random.random_range(1..4) {
        let odd = [sent.position, sent.position + 3];
        let is_odd = world.chance(0.04);
        let live = world.live.iter_mut();
        let live = live.filter(|other| other.attempt == sent.attempt).last();
        let position = live.map_or(sent.position, |live| {
            live.position += 1;
            live.position
        });
        let position = if is_odd {
            odd[world.random.random_range(0..odd.len())]
        } else {
            position
        };
        let bytes = vec![0; world.random.random_range(1..6_000)].into();
        world.handle(Event::StreamEvent {
            attempt: sent.attempt,
            bytes,
            position,
        });
    }
}

fn close_stream(world: &mut World) {
    if let Some(sent) = world.any_relayed() {
        world.end(sent.attempt);
        let marked = world.chance(0.5);
        world.handle(Event::StreamEnded {
            attempt: sent.attempt,
            marked,
        });
    }
}

/// Answers a relayed call, or one of the own interface.
fn answer(world: &mut World) {
    let Some(sent) = world.any_attempt() else {
        return;
    };
    world.end(sent.attempt);
    if sent.caller.is_none() {
        world.handle(Event::Replied {
            attempt: sent.attempt,
            body: Vec::new(),
            status: 200,
        });
        return;
    }
    let verdict = if world.chance(0.5) {
        Verdict::Good
    } else {
        Verdict::Fault
    };
    world.handle(Event::Answered {
        attempt: sent.attempt,
        verdict,
    });
}

/// Fails an attempt, at times all of its upstream.
fn fail(world: &mut World) {
    let Some(sent) = world.any_attempt() else {
        return;
    };
    let failures = [
        Failure::Broken,
        Failure::Broken,
        Failure::Replaced,
        Failure::Leaving,
        Failure::NotSent,
        Failure::NoTunnel { named: Some(2) },
        Failure::NoTunnel { named: None },
        Failure::Refused,
        Failure::Rejected,
        Failure::UnknownStream,
    ];
    let failure = failures[world.random.random_range(0..failures.len())];
    let is_whole = world.chance(0.3);
    let all = world.live.iter().filter(|other| {
        other.attempt == sent.attempt || (is_whole && other.upstream == sent.upstream)
    });
    let mut failed: Vec<attempt::Key> = all.map(|other| other.attempt).collect();
    failed.push(sent.attempt);
    for attempt in failed {
        world.end(attempt);
        world.handle(Event::Failed { attempt, failure });
    }
}

fn leave(world: &mut World) {
    let index = world.random.random_range(0..world.callers.len().max(1));
    let caller = world.callers.keys().nth(index).copied();
    let Some(caller) = caller else {
        return;
    };
    world.callers.insert(caller, Progress::Left);
    world.handle(Event::CallerGone(caller));
}

fn read(world: &mut World) {
    let reads = world.callers.keys().copied().map(|caller| (caller, 0));
    let mut reads: Vec<(Caller, u64)> = reads.collect();
    reads.retain(|_| world.random.random_bool(0.3));
    let reads = reads.into_iter().map(|(caller, _)| CallerRead {
        bytes: world.random.random_range(0..12_000),
        caller,
    });
    let reads = reads.collect();
    world.handle(Event::CallersRead(reads));
}

/// Reports that all callers have read everything.
fn accept_reads(world: &mut World) {
    let reads = world.callers.keys().copied().map(|caller| CallerRead {
        bytes: 1 << 30,
        caller,
    });
    let reads = reads.collect();
    world.handle(Event::CallersRead(reads));
}

fn hold_response(world: &mut World) {
    if let Some(sent) = world.any_relayed() {
        let bytes = world.random.random_range(0..10_000);
        world.handle(Event::ResponseHeld {
            attempt: sent.attempt,
            bytes,
        });
    }
}

/// An entry under a name: as it was, or changed in any part.
fn entry(world: &mut World, name: &str) -> ListEntry {
    let place = world.random.random_range(0..7);
    let address = SocketAddr::from(([127, 0, 0, 1], 1 + place));
    let versions = ["", "1", "2"];
    let known = world.listed.get(name).cloned();
    let pool = world.any_pool();
    let is_versioned = world.is_varied;
    let mut entry = known.unwrap_or_else(|| ListEntry {
        address,
        born: 1,
        data_centre: format!("dc-{}", place / 3),
        leaving: false,
        name: name.into(),
        pool,
        registered_at: Position::default(),
        slots: 0,
        version: String::new(),
    });
    if world.chance(0.3) {
        entry.born = world.random.random_range(0..4);
    }
    if world.chance(0.15) {
        entry.address = address;
    }
    if world.chance(0.1) {
        entry.leaving = !entry.leaving;
    }
    if is_versioned && world.chance(0.2) {
        entry.version = versions[world.random.random_range(0..versions.len())].into();
    }
    if world.chance(0.05) {
        entry.pool = world.any_pool();
    }
    if world.chance(0.2) {
        entry.slots = world.random.random_range(0..4);
    }
    if world.chance(0.3) {
        let revision = world.random.random_range(0..9);
        entry.registered_at = Position::new(0, revision);
    }
    entry
}

/// Reads the whole list; some entries are new, changed, gone, or there twice.
pub fn list_whole(world: &mut World) {
    let names: BTreeSet<String> = (0..5).map(|_| world.any_name()).collect();
    if world.chance(0.5) {
        world.listed.clear();
    }
    let mut entries = Vec::new();
    for name in names {
        let new = entry(world, &name);
        world.listed.insert(name.clone(), new.clone());
        entries.push(new);
        if world.chance(0.05) {
            entries.push(entry(world, &name));
        }
    }
    if world.chance(0.2) {
        entries.push(ListEntry {
            name: "instance-1".into(),
            pool: wellplank_core::core::INSTANCE_POOL.into(),
            ..entry(world, "instance-1")
        });
    }
    let is_changed = world.chance(0.95);
    let requested_at = world.now;
    world.handle(Event::List {
        entries: is_changed.then_some(entries),
        requested_at,
    });
}

/// Changes some entries of the list.
fn list_change(world: &mut World) {
    let mut delta = ListDelta::default();
    for _ in 0..world.random.random_range(1..4) {
        let name = world.any_name();
        if world.chance(0.7) {
            let new = entry(world, &name);
            world.listed.insert(name, new.clone());
            delta.listed.push(new);
        }
    }
    for _ in 0..world.random.random_range(0..3) {
        let name = world.any_name();
        world.listed.remove(&name);
        delta.removed.push(name);
    }
    let requested_at = world.now;
    world.handle(Event::ListChanged {
        delta,
        requested_at,
    });
}

fn check_crash(world: &mut World) {
    let incarnation = if world.checks.is_empty() || world.chance(0.2) {
        world.any_incarnation()
    } else {
        let index = world.random.random_range(0..world.checks.len());
        world.checks.swap_remove(index)
    };
    let ended = world.chance(0.6);
    world.handle(Event::CrashChecked { ended, incarnation });
}

/// Reports crashes at which some bodies were.
fn report_crash(world: &mut World) {
    let mut history = CrashHistory::default();
    let body = world.random.random_range(0..world.bodies);
    let fingerprint = RequestFingerprint::new("mill", body);
    for _ in 0..world.random.random_range(1..3) {
        let born = world.random.random_range(100..200);
        let incarnation = Incarnation::new(&world.any_name(), born);
        history.record(incarnation, fingerprint, Involvement::Fresh, world.now);
    }
    world.handle(Event::CrashReported(Box::new(history)));
}

fn hear_ends(world: &mut World) {
    let count = world.random.random_range(1..3);
    let ended = (0..count).map(|_| world.any_incarnation()).collect();
    world.handle(Event::PeerEnds(ended));
}

fn hear_loss(world: &mut World) {
    let incarnation = world.any_incarnation();
    world.handle(Event::PeerLoss(incarnation));
}

fn hear_leaving(world: &mut World) {
    if world.chance(0.5) {
        let incarnation = world.any_incarnation();
        world.handle(Event::PeerLeaving(incarnation));
        return;
    }
    let name = world.any_name();
    world.handle(Event::Leaving(name));
}

fn hear_limit(world: &mut World) {
    let incarnation = world.any_incarnation();
    let rate = world.random.random_range(0..3_000);
    let rate = world.chance(0.6).then_some(Rate(rate));
    world.handle(Event::PeerLimit { incarnation, rate });
}

fn hear_speed(world: &mut World) {
    let pool = world.any_pool().into();
    world.handle(Event::PeerSpeed(EngineSpeed {
        event_interval_ms: 30.0,
        pool,
        prefill_ms_per_token: 0.3,
    }));
}

fn hear_demand(world: &mut World) {
    let incarnation = world.any_incarnation();
    let demand = Demand {
        arrival_rate: world.random.random_range(0.0..200.0),
        brittleness: world.chance(0.5).then_some(Brittleness {
            left_ms: 5_000,
            tolerated: Rate(1_000),
        }),
        busy: vec![BusyUpstream::new(incarnation, 3)],
        last_call: Some(FinishedCall {
            duration_ms: 40,
            upstream: incarnation.id,
        }),
        pool: world.any_pool().into(),
        retry_rate: 1.0,
        running: world.random.random_range(0..20),
        service_time_ms: 30.0,
    };
    let from = SocketAddr::from(([127, 0, 0, 2], 9));
    world.handle(Event::PeerDemand { demand, from });
}

fn hear_stream(world: &mut World) {
    let stages = [
        Stage::Ended,
        Stage::Left,
        Stage::Started,
        Stage::Streaming,
        Stage::Waiting,
    ];
    let versions = ["", "1", "2"];
    let stage = stages[world.random.random_range(0..stages.len())];
    let version = versions[world.random.random_range(0..versions.len())];
    let is_queued = stage == Stage::Waiting;
    let record = StreamRecord {
        backup: world.chance(0.5).then(|| world.any_incarnation()),
        has_begun: world.chance(0.7),
        origin: any_run(world),
        pool: if is_queued {
            world.any_pool()
        } else {
            String::new()
        },
        prompt: world.random.random_range(0..PROMPTS),
        rank: world.chance(0.5).then(|| Rank::new(2)),
        run: format!("run-{}", world.random.random_range(0..20)),
        stage,
        start_within_ms: world.chance(0.5).then_some(400),
        tokens: world.random.random_range(0..30_000),
        upstream: (!is_queued).then(|| world.any_incarnation()),
        version: Version::new("pool", version),
    };
    world.handle(Event::PeerStream(record));
}

fn load(world: &mut World) -> Load {
    let slots = world.random.random_range(0..4);
    Load {
        leaving: world.chance(0.1),
        pace_percent: 100,
        running: world.random.random_range(0..5),
        slots,
        waiting: world.random.random_range(0..3),
    }
}

/// Sends notices of all kinds with a response.
fn notice(world: &mut World) {
    let Some(sent) = world.any_attempt() else {
        return;
    };
    let backoffs = [0, 100, 3_000, 100_000];
    let millis = backoffs[world.random.random_range(0..backoffs.len())];
    let limits = [
        Limit::None,
        Limit::Unknown,
        Limit::Malformed,
        Limit::Rate(Rate(500)),
    ];
    let notice = Notice {
        backoff: if world.chance(0.5) {
            Backoff::For(millis)
        } else {
            Backoff::None
        },
        leaving: world.chance(0.15),
        limit: limits[world.random.random_range(0..limits.len())],
        tolerated: limits[world.random.random_range(0..limits.len())],
        load: world.chance(0.3).then(|| load(world)),
    };
    world.handle(Event::NoticeReceived {
        attempt: sent.attempt,
        notice,
        upstream: sent.upstream,
    });
}

/// Reports the load of an upstream, or the result of a probe.
fn probe(world: &mut World) {
    let Some(upstream) = world.any_upstream() else {
        return;
    };
    let load = load(world);
    if world.chance(0.3) {
        world.handle(Event::Load { load, upstream });
    }
    if world.chance(0.3)
        && let Some(sent) = world.any_attempt()
    {
        let attempt = sent.attempt;
        world.handle(Event::PiggybackedLoad { attempt, load });
    }
    let alive = world.chance(0.5);
    world.handle(Event::Probed { alive, upstream });
}

fn check_connection(world: &mut World) {
    let index = world.random.random_range(0..world.connections.len().max(1));
    let Some((started_at, upstream)) = world.connections.get(index).copied() else {
        return;
    };
    let connected = world.chance(0.5);
    world.handle(Event::ConnectionChecked {
        connected,
        started_at,
        upstream,
    });
}

fn settle_claim(world: &mut World) {
    let index = world.random.random_range(0..world.claims.len().max(1));
    let Some(request) = world.claims.get(index).copied() else {
        return;
    };
    let outcome = match world.random.random_range(0..6) {
        0 => ClaimOutcome::Taken(world.random.random_range(0..world.bodies)),
        1 => ClaimOutcome::Taken(world.any_incarnation().id),
        2 => ClaimOutcome::Unavailable,
        _ => ClaimOutcome::Claimed,
    };
    world.handle(Event::Claimed { outcome, request });
}

/// Sends tokens of a generation, mostly the next ones, and at times its end.
fn tell_tokens(world: &mut World) {
    let own = world.live.iter().filter(|sent| sent.caller.is_none());
    let own: Vec<Sent> = own.copied().collect();
    if own.is_empty() {
        return;
    }
    let sent = own[world.random.random_range(0..own.len())];
    let count = world.random.random_range(1..4);
    let skipped = if world.chance(0.1) { 2 } else { 0 };
    let first = sent.position as u32 + skipped;
    let token = |id: u32| OutputToken {
        id,
        text: String::new(),
    };
    let tokens = (first..first + count).map(token).collect();
    for other in &mut world.live {
        if other.attempt == sent.attempt {
            other.position += u64::from(count);
        }
    }
    world.handle(Event::Tokens {
        attempt: sent.attempt,
        position: first,
        tokens,
    });
    if world.chance(0.2) {
        world.end(sent.attempt);
        world.handle(Event::GenerationFinished {
            attempt: sent.attempt,
            position: first + count,
            reason: "stop".into(),
        });
    }
}

fn lose_store(world: &mut World) {
    let since = world.now;
    let is_away = world.chance(0.5);
    world.handle(Event::StoreAway(is_away.then_some(since)));
    if world.chance(0.3) {
        world.handle(Event::StreamsRestored);
    }
}

fn see_members(world: &mut World) {
    let instances = world.random.random_range(1..5);
    world.handle(Event::Instances(View::numbered(0, instances)));
}

fn reconfigure(world: &mut World) {
    let settings = world::settings(&mut world.random);
    world.core.configure(settings);
}

/// Reads a configuration in which services may have moved, changed their priority, or be gone.
pub fn configure(world: &mut World) {
    world.revision += 1;
    let config = configuration(world);
    world.handle(Event::Config(Arc::new(config)));
}

fn service(name: &str, repeatable: bool, target: Target) -> Service {
    Service {
        deadline_ms: 25_000,
        max_wait_ms: 1_000,
        name: name.into(),
        policy: Policy::Latency,
        priority: Priority::Normal,
        repeatable,
        target,
    }
}

fn configuration(world: &mut World) -> Config {
    let call = config::Relay {
        attempts_max: 2,
        copies: false,
        event_interval_objective_ms: 0,
        memory_tokens: 0,
        objective_ms: 100,
        pool: world.any_pool(),
        priority: config::DEFAULT_PRIORITY,
        resumable: false,
        streams: false,
    };
    let stream = config::Relay {
        attempts_max: 5,
        copies: true,
        memory_tokens: if world.chance(0.5) { 55_000 } else { 0 },
        objective_ms: 4_500,
        pool: world.any_pool(),
        resumable: world.chance(0.9),
        streams: true,
        ..call.clone()
    };
    let urgent = config::Relay {
        priority: world.random.random_range(0..3),
        pool: world.any_pool(),
        ..stream.clone()
    };
    let routes = [
        ("/stream/", vec![stream.clone()], true),
        ("/split/", vec![stream, urgent.clone()], true),
        ("/slow/", vec![urgent], false),
        ("/again/", vec![call.clone()], true),
        ("/once/", vec![call.clone()], false),
        ("/open/", vec![call], true),
    ];
    let mut config = Config {
        revision: world.revision,
        ..Config::default()
    };
    for (prefix, relays, repeatable) in routes {
        if world.chance(0.03) {
            continue;
        }
        let shares = relays.into_iter().enumerate().map(|(index, relay)| Share {
            service: Arc::new(service(
                &format!("{prefix}{index}"),
                repeatable,
                Target::Relay(relay),
            )),
            weight: 1,
        });
        config.routes.push(Route {
            host: "a.example".into(),
            prefix: prefix.into(),
            public: prefix == "/open/",
            shares: shares.collect(),
        });
    }
    let mut customers = HashMap::new();
    for (key, name) in [("key", "mill"), ("second", "forge")] {
        let customer = Customer {
            name: name.into(),
            priority: world.random.random_range(0..3),
            ..Customer::anonymous()
        };
        customers.insert(key.into(), Arc::new(customer));
    }
    config.access = Access::Keys(customers);
    let model = Arc::new(Model {
        adapters: Vec::new(),
        name: "llm".into(),
        pool: world.any_pool(),
        version: "1".into(),
    });
    let engine = Target::Generate {
        adapter: String::new(),
        model,
    };
    let plain = Target::Call {
        pool: world.any_pool(),
    };
    let services = [
        service("summary", true, engine.clone()),
        service("draft", false, engine),
        service("lookup", true, plain.clone()),
        service("booking", false, plain),
    ];
    let services = services.into_iter();
    config.services = services
        .map(|service| (service.name.clone(), Arc::new(service)))
        .collect();
    config
}
