//! Instances as processes before upstreams whose answers never end, beside sound ones.
//!
//! Guards against processes that keep what such an upstream sends until their memory ends, and against requests to sound
//! upstreams that are not answered meanwhile. A process whose resident memory is over the limit is ended at once, as the users'
//! platform does, and is started again.

use super::*;
use arguments::number;
use client::Work;
use daemon::{Daemon, Signal};
use endless_upstream::{EndlessUpstream, Form};
use patron::{Habit, Miss, Patron};
use soak::{DESKS, Layout, NOT_RUN, Plan, Soak};
use std::sync::{
    Arc, Mutex,
    atomic::{AtomicBool, Ordering},
};

/// Name of the command.
pub(crate) const NAME: &str = "endless";

/// Threads that write for all endless upstreams.
const WRITERS: usize = 2;

/// Callers of each instance of which nothing else is said: each kind on kept connections and on new ones.
pub const CALLERS: usize = 6;

/// Kinds of requests.
const KINDS: usize = 3;

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(100);

/// Time that a caller gives a request, in milliseconds, and for which it waits.
const LIMIT_MS: &str = "3000";
const PATIENCE: Duration = Duration::from_secs(4);

/// Objective of the routes, and time that a stream takes at its upstream beside it.
const OBJECTIVE: Duration = Duration::from_secs(1);
const STREAM: Duration = Duration::from_millis(400);

/// Part of the requests to sound upstreams that must be answered within it.
const IN_TIME: f64 = 0.99;

/// Data that a process may have, over its limit of resident memory: the limit is seen late on a busy machine.
const DATA_FACTOR: u64 = 2;

/// Time that an instance has to end in order, as its settings say.
const GRACE: Duration = Duration::from_millis(soak::GRACE_MS);

/// Time between two looks at processes, and the time for which one that ended is away.
const LOOK: Duration = Duration::from_millis(10);
const DOWN: Duration = Duration::from_millis(500);

/// Endless upstreams beside the sound ones.
#[derive(Clone, Copy, Debug)]
pub struct Setting {
    /// Callers of each instance.
    pub callers: usize,
    /// Endless upstreams in each pool.
    pub endless: usize,
    /// What they send.
    pub form: Form,
    /// Resident memory at which a process is ended, in kibibytes.
    pub memory_kib: u64,
}

/// What an instance has used, and how its processes ended.
#[derive(Clone, Debug, Default)]
pub struct Usage {
    /// Ends by itself, a line each.
    pub ends: Vec<String>,
    /// Ends since its memory was over the limit.
    pub over: usize,
    /// Resident memory at its peak, in kibibytes.
    pub peak_kib: u64,
}

/// How requests ended.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// 200 that ended before its end.
    pub cut: usize,
    /// 502, 504 and other failures.
    pub failed: usize,
    /// No whole answer in time.
    pub late: usize,
    /// Told not to have run.
    pub refused: usize,
    /// The connection ended without an answer.
    pub reset: usize,
    /// 200 and whole.
    pub served: usize,
    /// 200 and whole, later than the objective.
    pub slow: usize,
    /// Times that served requests took, in milliseconds.
    pub times_ms: Vec<u64>,
    /// No connection was made.
    pub unreached: usize,
}

impl Tally {
    /// Requests that were not answered, or with a failure.
    pub fn lost(&self) -> usize {
        self.cut + self.failed + self.late + self.reset + self.unreached
    }

    /// All requests.
    pub fn count(&self) -> usize {
        self.lost() + self.refused + self.served
    }

    /// Time within which 99 of 100 served requests were answered, in milliseconds.
    pub fn p99_ms(&self) -> u64 {
        let mut times = self.times_ms.clone();
        times.sort_unstable();
        times.get(times.len() * 99 / 100).copied().unwrap_or(0)
    }

    fn add(&mut self, one: &Done) {
        match one.end {
            End::Missed(Miss::Closed) => self.reset += 1,
            End::Missed(Miss::Late) => self.late += 1,
            End::Missed(Miss::Unreached) => self.unreached += 1,
            End::Status(200, false) => self.cut += 1,
            End::Status(200, true) => {
                self.served += 1;
                self.slow += usize::from(one.took > one.due);
                self.times_ms.push(one.took.as_millis() as u64);
            }
            End::Status(status, _) if NOT_RUN.contains(&status) => self.refused += 1,
            End::Status(..) => self.failed += 1,
        }
    }

    fn text(&self) -> String {
        let Self {
            cut,
            failed,
            late,
            refused,
            reset,
            served,
            slow,
            unreached,
            ..
        } = self;
        let (count, p99) = (self.count(), self.p99_ms());
        format!(
            "{count} requests, {served} served ({slow} slow, p99 {p99} ms), {refused} refused, {failed} failed, \
             {cut} cut, {reset} reset, {late} late, {unreached} unreached"
        )
    }
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Each instance.
    pub instances: Vec<Usage>,
    /// Time in which the machine was slowed, which may explain answers that came late.
    pub late: Duration,
    /// Instances that had not ended in order a grace period behind SIGTERM.
    pub overdue: usize,
    /// Requests by their kind.
    pub kinds: BTreeMap<&'static str, Tally>,
    /// Requests that no endless upstream got.
    pub spared: Tally,
}

impl Outcome {
    /// Processes that ended by themselves or by their memory.
    pub fn ends(&self) -> usize {
        let ends = self.instances.iter().map(|one| one.ends.len() + one.over);
        ends.sum()
    }

    /// The largest resident memory of a process, in kibibytes.
    pub fn peak_kib(&self) -> u64 {
        let peaks = self.instances.iter().map(|one| one.peak_kib);
        peaks.max().unwrap_or(0)
    }

    /// Whether no process ended, and requests that no endless upstream got were answered within the objective.
    pub fn holds(&self) -> bool {
        let in_time = self.spared.served - self.spared.slow;
        let is_in_time = in_time as f64 >= IN_TIME * self.spared.count() as f64;
        self.ends() == 0 && self.overdue == 0 && self.spared.lost() == 0 && is_in_time
    }

    /// The figures, a line each.
    pub fn lines(&self) -> Vec<String> {
        let peaks = self.instances.iter().map(|one| one.peak_kib >> 10);
        let peaks: Vec<u64> = peaks.collect();
        let over: usize = self.instances.iter().map(|one| one.over).sum();
        let verdict = if self.holds() { "holds" } else { "broken" };
        let mut lines = vec![format!(
            "{verdict}: {} ends, {over} of them over the limit of memory, peaks of {peaks:?} MiB, {} overdue at the stop, machine late {:.1?}",
            self.ends(),
            self.overdue,
            self.late,
        )];
        let kinds = self.kinds.iter();
        lines.extend(kinds.map(|(kind, tally)| format!("{kind}: {}", tally.text())));
        lines.push(format!("at sound upstreams alone: {}", self.spared.text()));
        let ends = self.instances.iter().flat_map(|one| one.ends.clone());
        lines.extend(ends);
        lines
    }
}

/// How a request ended.
#[derive(Clone, Copy, Debug)]
enum End {
    Missed(Miss),
    /// Status, and whether the answer was whole.
    Status(u16, bool),
}

/// A request that has ended.
struct Done {
    due: Duration,
    end: End,
    kind: &'static str,
    run: String,
    took: Duration,
}

/// What callers share.
#[derive(Clone, Default)]
struct Seen {
    done: Arc<Mutex<Vec<Done>>>,
    stop: Arc<AtomicBool>,
}

/// Runs instances before endless upstreams of a form.
pub async fn run(plan: Plan, setting: Setting) -> Outcome {
    let layout = Layout {
        data_kib: Some(setting.memory_kib * DATA_FACTOR),
        desks: DESKS.max(plan.engines / 3),
        ..Layout::default()
    };
    let mut soak = Soak::start_by(plan, layout);
    soak.wait_ready().await;
    let seen = Seen::default();
    let addresses = soak.addresses();
    let callers: Vec<_> = (0..plan.instances * setting.callers)
        .map(|index| {
            let address = addresses[index % plan.instances];
            let number = index / plan.instances;
            tokio::spawn(call(address, index, number, seen.clone()))
        })
        .collect();
    let host = Host::new(WRITERS);
    let upstream = EndlessUpstream::default();
    for index in 0..setting.endless {
        for pool in [site::ENGINES, site::DESK] {
            let address = host::free_address();
            host.spawn(upstream.clone().serve(address, setting.form));
            enter(&soak, pool, index, address);
        }
    }
    let mut usages = vec![Usage::default(); plan.instances];
    watch(&mut soak, &mut usages, plan.lasts, setting.memory_kib).await;
    seen.stop.store(true, Ordering::Relaxed);
    for caller in callers {
        let _ = caller.await;
    }
    let overdue = stop(&mut soak, &mut usages, setting.memory_kib).await;
    let late = soak.lateness.late();
    let outcome = Outcome {
        instances: usages,
        late: late.into_iter().map(|(from, to)| to - from).sum(),
        overdue,
        ..Outcome::default()
    };
    conclude(outcome, &seen, &upstream.got())
}

/// Enters an endless upstream in the store.
fn enter(soak: &Soak, pool: &str, index: usize, address: SocketAddr) {
    let entry = json!({
        "service": pool, "address": address, "zone": format!("dc-{}", index % 3), "version": worker::VERSION,
        "slots": worker::SLOTS, "state": "ready", "cold_left_ms": 0, "call_seq": 0, "born": 1,
    });
    soak.shelf
        .put(&format!("servers/{pool}-endless-{index}"), &entry);
}

/// Looks at all processes for a time, ends those whose memory is over a limit, and starts those again that have ended.
async fn watch(soak: &mut Soak, usages: &mut [Usage], lasts: Duration, memory_kib: u64) {
    let mut away: BTreeMap<usize, Instant> = BTreeMap::new();
    let end = Instant::now() + lasts;
    while Instant::now() < end {
        for (index, daemon) in soak.instances.iter_mut().enumerate() {
            look(daemon, &mut usages[index], memory_kib);
            if daemon.runs() {
                continue;
            }
            let ended = *away.entry(index).or_insert_with(Instant::now);
            if ended.elapsed() >= DOWN {
                away.remove(&index);
                daemon.start();
            }
        }
        sleep(LOOK).await;
    }
}

/// Has all instances end in order; how many have not within the grace period.
async fn stop(soak: &mut Soak, usages: &mut [Usage], memory_kib: u64) -> usize {
    for daemon in &mut soak.instances {
        daemon.signal(Signal::Terminate);
    }
    let end = Instant::now() + GRACE;
    let mut running = soak.instances.len();
    while running > 0 && Instant::now() < end {
        sleep(LOOK).await;
        running = 0;
        for (daemon, usage) in soak.instances.iter_mut().zip(&mut *usages) {
            look(daemon, usage, memory_kib);
            running += usize::from(daemon.runs());
        }
    }
    for (daemon, usage) in soak.instances.iter().zip(usages) {
        usage.ends = daemon.ends.iter().map(|end| end.text.clone()).collect();
    }
    running
}

/// Notes the memory of a process, and ends it over the limit.
fn look(daemon: &mut Daemon, usage: &mut Usage, memory_kib: u64) {
    let Some(peak_kib) = daemon.process_id().and_then(process::peak_kib) else {
        return;
    };
    usage.peak_kib = usage.peak_kib.max(peak_kib);
    if peak_kib > memory_kib {
        usage.over += 1;
        daemon.kill();
    }
}

/// Asks an instance until told to stop; the number of the caller there decides what it asks for, and how.
async fn call(address: SocketAddr, index: usize, caller: usize, seen: Seen) {
    let (kind, work, due) = match caller % KINDS {
        0 => ("again", Work::Call, OBJECTIVE),
        1 => ("once", Work::Once, OBJECTIVE),
        _ => ("stream", Work::Stream, OBJECTIVE + STREAM),
    };
    let habit = if (caller / KINDS).is_multiple_of(2) {
        Habit::Fresh
    } else {
        Habit::Kept
    };
    let patron = Patron::new(habit);
    for number in 0.. {
        if seen.stop.load(Ordering::Relaxed) {
            return;
        }
        let run = format!("{kind}-{index}-{number}");
        let ask = work.ask(&run).with("wellplank-timeout-ms", LIMIT_MS);
        let sent = Instant::now();
        let end = match patron.send(&ask, address, PATIENCE).await {
            Ok(got) => End::Status(got.status.as_u16(), got.whole),
            Err(miss) => End::Missed(miss),
        };
        let done = Done {
            due,
            end,
            kind,
            run,
            took: sent.elapsed(),
        };
        seen.done
            .lock()
            .expect("nobody panics while holding it")
            .push(done);
        sleep(PAUSE).await;
    }
}

/// Counts what callers have seen.
fn conclude(mut outcome: Outcome, seen: &Seen, got: &BTreeSet<String>) -> Outcome {
    let done = seen.done.lock().expect("nobody panics while holding it");
    for one in done.iter() {
        outcome.kinds.entry(one.kind).or_default().add(one);
        if !got.contains(&one.run) {
            outcome.spared.add(one);
        }
    }
    outcome
}

/// The command.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Upstreams whose answers never end")
        .arg(number("seed", "Seed", "1"))
        .arg(number("instances", "Instances, each a process", "6"))
        .arg(number("engines", "Sound upstreams that stream", "6"))
        .arg(number("callers", "Callers of each instance", "6"))
        .arg(number("endless", "Endless upstreams in each pool", "1"))
        .arg(number("seconds", "Time for each form", "5"))
        .arg(number(
            "memory-mib",
            "Resident memory at which a process is ended",
            "160",
        ))
        .arg(
            Arg::new("form")
                .help("The only form; each of them without it")
                .long("form")
                .value_parser(Form::ALL.map(|(name, _)| name)),
        )
}

/// Runs the command; whether each run holds.
pub(crate) async fn main(arguments: &ArgMatches) -> bool {
    let number = |name| *arguments.get_one::<u64>(name).expect("has a default");
    let only = arguments.get_one::<String>("form");
    let plan = Plan {
        engines: number("engines") as usize,
        instances: number("instances") as usize,
        lasts: Duration::from_secs(number("seconds")),
        seed: number("seed"),
    };
    let mut holds = true;
    for (name, form) in Form::ALL {
        if only.is_some_and(|only| only != name) {
            continue;
        }
        let setting = Setting {
            callers: number("callers") as usize,
            endless: number("endless") as usize,
            form,
            memory_kib: number("memory-mib") << 10,
        };
        let outcome = run(plan, setting).await;
        for line in outcome.lines() {
            println!("{name}: {line}");
        }
        holds &= outcome.holds();
    }
    holds
}
