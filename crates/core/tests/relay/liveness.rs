//! Engines that are alive, slow or dead: which streams leave them, and when.

use super::*;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use wellplank_core::{
    liveness::Evidence,
    settings::{LivenessMethod, PlacementWeights},
};

/// Usual interval between events in milliseconds.
const INTERVAL_MS: f64 = 36.0;

/// Interval while a prompt is prefilled beside, in milliseconds.
const DELAYED_MS: f64 = 190.0;

/// Pace of a slow engine.
const SLOW: f64 = 2.5;

/// Time to the first event of a stream that resumes from a copy, in milliseconds.
const RESUME_MS: u64 = 120;

/// Time to the first event of a stream with a full prefill, in milliseconds.
const PREFILL_MS: u64 = 1_100;

/// Maximum pause between events in milliseconds.
const OBJECTIVE_MS: u64 = 700;

/// What an engine does.
#[derive(Clone, Copy, Debug)]
struct Behaviour {
    /// Whether it sends anything.
    sends: bool,
    /// Whether it prefills a prompt of another instance.
    prefills: bool,
    /// Multiple of the usual duration of its work.
    pace: f64,
}

const EVEN: Behaviour = Behaviour {
    sends: true,
    prefills: false,
    pace: 1.0,
};

/// Engines in virtual time.
struct Engines {
    behaviours: BTreeMap<usize, Behaviour>,
    /// Attempts in progress, with the time and position of the next event.
    due: Vec<(Time, u64, Sent)>,
    interval_ms: f64,
    rng: Pcg64Mcg,
    /// Number of effects that were looked at.
    seen: usize,
    test: Test,
}

impl Engines {
    fn new(method: LivenessMethod, engines: usize, objective_ms: u64) -> Self {
        let settings = Settings {
            liveness: method,
            room: CapacityLimits::unbounded(),
            ..Settings::default()
        };
        let mut test = Test::set(settings).configured(engines);
        test.handle(Event::Config(Arc::new(with_gap_objective(objective_ms))));
        Self {
            behaviours: BTreeMap::new(),
            due: Vec::new(),
            interval_ms: INTERVAL_MS,
            rng: Pcg64Mcg::seed_from_u64(7),
            seen: 0,
            test,
        }
    }

    fn set(&mut self, engine: usize, behaviour: Behaviour) {
        self.behaviours.insert(engine, behaviour);
    }

    fn behaviour(&self, engine: usize) -> Behaviour {
        self.behaviours.get(&engine).copied().unwrap_or(EVEN)
    }

    fn interval(&mut self, engine: usize) -> u64 {
        let behaviour = self.behaviour(engine);
        let interval_ms = if behaviour.prefills {
            DELAYED_MS
        } else {
            self.interval_ms
        };
        let jitter = 0.9 + 0.2 * self.rng.random::<f64>();
        (interval_ms * behaviour.pace * jitter) as u64
    }

    /// Takes up requests that were sent and drops attempts that were cancelled.
    fn read_effects(&mut self) {
        let sent = self.test.sent();
        for sent in sent.iter().skip(self.seen) {
            let first_ms = if sent.copy.is_some() {
                RESUME_MS
            } else {
                (PREFILL_MS as f64 * self.behaviour(sent.upstream).pace) as u64
            };
            let at = self.test.now.after(first_ms);
            self.due.push((at, sent.position + 1, sent.clone()));
        }
        self.seen = sent.len();
        let test = &self.test;
        let is_cancelled = |attempt: attempt::Key| {
            test.effects.iter().any(
                |effect| matches!(effect, Effect::Cancel { attempt: other, .. } if *other == attempt),
            )
        };
        self.due.retain(|(_, _, sent)| !is_cancelled(sent.attempt));
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis / 5 {
            self.test.now = self.test.now.after(5);
            self.read_effects();
            for index in 0..self.due.len() {
                let (at, position, sent) = self.due[index].clone();
                if at > self.test.now {
                    continue;
                }
                let next = self.test.now.after(self.interval(sent.upstream));
                self.due[index] = (next, position + 1, sent.clone());
                if self.behaviour(sent.upstream).sends {
                    self.test.send_event(&sent, position);
                }
            }
            self.test.handle(Event::Tick);
        }
        self.read_effects();
    }

    /// Starts a stream and lets it run until its events come regularly.
    fn start(&mut self) -> Sent {
        self.test.request(STREAM);
        let sent = self.test.last_sent();
        self.run(PREFILL_MS * 3);
        sent
    }

    /// Announces the prefill of another instance's stream at an engine.
    fn announce_prefill(&mut self, engine: usize) {
        self.test.handle(Event::PeerStream(StreamRecord {
            backup: None,
            prompt: 10_000 + engine as u64,
            run: format!("peer-{engine}"),
            stage: Stage::Started,
            ..stream_record(engine, 0)
        }));
    }

    /// Time after which an attempt is cancelled, in milliseconds; `None` if it is not within 3 s.
    fn leaves_after(&mut self, sent: &Sent) -> Option<u64> {
        let last = self
            .due
            .iter()
            .find(|(_, _, other)| other.attempt == sent.attempt);
        let last = last.expect("the stream runs").0;
        let start = self.test.now;
        // The silence began with the last event, one interval before the next that is due.
        let began = (last.0)
            .saturating_sub(self.interval_ms as u64)
            .min(start.0);
        for _ in 0..600 {
            self.run(5);
            if !self.is_running(sent) {
                return Some(self.test.now.0 - began);
            }
        }
        None
    }

    fn is_running(&self, sent: &Sent) -> bool {
        self.due
            .iter()
            .any(|(_, _, other)| other.attempt == sent.attempt)
    }

    fn departures(&self) -> u64 {
        self.test.counted(Counter::Resumed(Reason::Stall))
            + self.test.counted(Counter::Retried(Reason::Stall))
    }
}

/// The usual configuration with a maximum pause between the events of streams.
pub fn with_gap_objective(objective_ms: u64) -> Config {
    let mut config = configuration(2);
    for share in config.routes.iter_mut().flat_map(|route| &mut route.shares) {
        if let Target::Relay(relay) = &mut Arc::make_mut(&mut share.service).target {
            relay.event_interval_objective_ms = objective_ms;
        }
    }
    config
}

/// Guards against another time to leave dead engines in pools whose engines are even.
#[gtest]
fn even_pool_decides_like_the_fixed_timeout() {
    for (interval_ms, objective_ms) in
        [(36.0, 0), (36.0, 700), (100.0, 0), (100.0, 700), (200.0, 0)]
    {
        let [evidence, timeout] =
            [LivenessMethod::Evidence, LivenessMethod::Timeout].map(|method| {
                let mut engines = Engines::new(method, 6, objective_ms);
                engines.interval_ms = interval_ms;
                let sent = engines.start();
                expect_that!(engines.departures(), eq(0), "{method:?}, {interval_ms} ms");
                engines.set(
                    sent.upstream,
                    Behaviour {
                        sends: false,
                        ..EVEN
                    },
                );
                engines.leaves_after(&sent).expect("leaves")
            });
        expect_that!(
            evidence.abs_diff(timeout),
            le(50),
            "{evidence} and {timeout} ms"
        );
    }
}

/// Guards against streams that leave a slow engine which prefills a prompt: an event takes 475 ms
/// there, which the fixed timeout takes for a stall.
#[gtest]
fn stream_stays_on_a_slow_engine_that_prefills() {
    let departures = |method| {
        let mut engines = Engines::new(method, 6, OBJECTIVE_MS);
        let sent = engines.start();
        let slow = Behaviour { pace: SLOW, ..EVEN };
        engines.set(sent.upstream, slow);
        engines.run(600);
        engines.announce_prefill(sent.upstream);
        engines.set(
            sent.upstream,
            Behaviour {
                prefills: true,
                ..slow
            },
        );
        engines.run(1_400);
        engines.departures()
    };
    expect_that!(departures(LivenessMethod::Timeout), ge(1));
    expect_that!(departures(LivenessMethod::Evidence), eq(0));
}

/// Guards against a stuck stream that takes others on its engine along.
#[gtest]
fn stuck_stream_leaves_alone() {
    let mut engines = Engines::new(LivenessMethod::Evidence, 1, OBJECTIVE_MS);
    let [stuck, running] = [engines.start(), engines.start()];
    engines
        .test
        .list((0..6).map(|index| listed(index, index)).collect());
    engines
        .due
        .retain(|(_, _, sent)| sent.attempt != stuck.attempt);
    engines.run(1_000);
    let cancelled = |sent: &Sent| {
        let is_cancel = |effect: &Effect| matches!(effect, Effect::Cancel { attempt, .. } if *attempt == sent.attempt);
        engines.test.effects.iter().any(is_cancel)
    };
    expect_that!(cancelled(&stuck), eq(true));
    expect_that!(cancelled(&running), eq(false));
    expect_that!(
        engines.test.counted(Counter::LeftSilent(Evidence::Stream)),
        eq(1)
    );
    expect_that!(engines.test.counted(Counter::Suspected), eq(0));
}

/// Guards against a stall that ends a prefill in progress on the same engine: the fixed timeout
/// suspects the whole engine and takes the stream in prefill along.
#[gtest]
fn prefill_in_time_survives_a_delayed_event_beside_it() {
    let departures = |method| {
        let mut engines = Engines::new(method, 1, OBJECTIVE_MS);
        engines.start();
        engines
            .test
            .list((0..6).map(|index| listed(index, index)).collect());
        let slow = Behaviour {
            pace: SLOW,
            prefills: true,
            ..EVEN
        };
        engines.set(0, slow);
        // Until the list was extended only one engine could be chosen.
        engines.test.list(vec![listed(0, 0)]);
        engines.test.request(STREAM);
        engines
            .test
            .list((0..6).map(|index| listed(index, index)).collect());
        engines.run(1_500);
        engines.departures()
    };
    expect_that!(departures(LivenessMethod::Timeout), ge(1));
    expect_that!(departures(LivenessMethod::Evidence), eq(0));
}

/// Guards against a prefill that is repeated elsewhere when it takes longer than the objective
/// allows on an engine that is probably alive; that of a silent engine is.
#[gtest]
fn slow_prefill_is_not_repeated_elsewhere() {
    let departures = |method, pace: f64| {
        let mut engines = Engines::new(method, 6, OBJECTIVE_MS);
        // The mean of a slow and a usual prefill is known.
        engines.start();
        for engine in 0..6 {
            engines.set(engine, Behaviour { pace: 3.0, ..EVEN });
        }
        engines.start();
        for engine in 0..6 {
            engines.set(engine, Behaviour { pace, ..EVEN });
        }
        let (before, resumed) = (engines.departures(), Counter::Resumed(Reason::Stall));
        let resumed_before = engines.test.counted(resumed);
        engines.test.request(STREAM);
        engines.run(6_000);
        engines.departures() - before - (engines.test.counted(resumed) - resumed_before)
    };
    expect_that!(departures(LivenessMethod::Timeout, 5.2), ge(1));
    expect_that!(departures(LivenessMethod::Evidence, 5.2), eq(0));
    expect_that!(departures(LivenessMethod::Evidence, 1_000.0), ge(1));
}

/// Guards against streams that wait for a data centre that has gone dark, as long as for a single
/// silent engine: the pause of the last ones would exceed the objective.
#[gtest]
fn streams_leave_a_dark_data_centre_early() {
    let mut engines = Engines::new(LivenessMethod::Evidence, 9, OBJECTIVE_MS);
    let streams: Vec<Sent> = (0..18)
        .map(|_| {
            engines.test.request(STREAM);
            engines.test.last_sent()
        })
        .collect();
    engines.run(PREFILL_MS * 3);
    // The first three engines share a data centre.
    let is_dark = |sent: &&Sent| sent.upstream < 3;
    expect_that!(streams.iter().filter(is_dark).count(), ge(3));
    for engine in 0..3 {
        engines.set(
            engine,
            Behaviour {
                sends: false,
                ..EVEN
            },
        );
    }
    engines.run(340);
    for sent in &streams {
        expect_that!(engines.is_running(sent), eq(!is_dark(&sent)));
    }
    let left = engines
        .test
        .counted(Counter::LeftSilent(Evidence::DataCentre));
    expect_that!(left, ge(2));
}

/// Guards against a chain of departures: streams in prefill left their engines because those of other streams had been
/// lost, each departure was announced as another loss, and 9 million tokens were prefilled for nothing.
#[gtest]
fn prefills_outlast_losses_that_others_announce() {
    let mut engines = Engines::new(LivenessMethod::Evidence, 3, OBJECTIVE_MS);
    engines.start();
    engines.test.request(STREAM);
    let prefilling = engines.test.last_sent();
    for _ in 0..4 {
        engines.run(200);
        engines.announce_losses(&[0, 1, 2]);
    }
    expect_that!(engines.is_running(&prefilling), eq(true));
}

/// Guards against an interruption of this instance's own link that is taken for dark data centres:
/// all streams would leave after a pause that they outlast.
#[gtest]
fn streams_outlast_an_interruption_of_the_own_link() {
    let departures_when_silent = |silent: std::ops::Range<usize>| {
        let mut engines = Engines::new(LivenessMethod::Evidence, 6, OBJECTIVE_MS);
        for _ in 0..6 {
            engines.test.request(STREAM);
        }
        engines.run(PREFILL_MS * 3);
        for engine in silent {
            engines.set(
                engine,
                Behaviour {
                    sends: false,
                    ..EVEN
                },
            );
        }
        engines.run(350);
        engines.departures()
    };
    expect_that!(departures_when_silent(0..6), eq(0));
    // The engines of one data centre, while those of the other one send events.
    expect_that!(departures_when_silent(0..3), eq(3));
}

/// Guards against a decision that needs announcements of others, which may be lost.
#[gtest]
fn stream_leaves_a_dark_engine_without_announcements() {
    for announced in [false, true] {
        let mut engines = Engines::new(LivenessMethod::Evidence, 6, OBJECTIVE_MS);
        let sent = engines.start();
        engines.set(
            sent.upstream,
            Behaviour {
                sends: false,
                ..EVEN
            },
        );
        if announced {
            engines.announce_losses(&[sent.upstream]);
        }
        let millis = engines.leaves_after(&sent).expect("leaves");
        expect_that!(millis, le(450));
    }
}

/// Guards against a stream that stays because other instances still reach an engine from which
/// this one is cut off.
#[gtest]
fn stream_leaves_an_engine_that_only_others_reach() {
    let mut engines = Engines::new(LivenessMethod::Evidence, 6, OBJECTIVE_MS);
    let sent = engines.start();
    engines.set(
        sent.upstream,
        Behaviour {
            sends: false,
            ..EVEN
        },
    );
    for _ in 0..10 {
        engines.test.handle(Event::PeerStream(StreamRecord {
            prompt: 4_711,
            run: "peer".into(),
            ..stream_record(sent.upstream, 0)
        }));
        engines.run(55);
    }
    expect_that!(engines.is_running(&sent), eq(false));
}

/// Guards against a departure without a record of why.
#[gtest]
fn departure_is_logged_with_its_evidence() {
    let mut engines = Engines::new(LivenessMethod::Evidence, 6, OBJECTIVE_MS);
    let sent = engines.start();
    engines.set(
        sent.upstream,
        Behaviour {
            sends: false,
            ..EVEN
        },
    );
    engines.run(600);
    let departure = engines.test.effects.iter().find_map(|effect| match effect {
        Effect::LogRequest(log) => match &log.step {
            effect::Step::LeftSilent(departure) => Some(*departure),
            _ => None,
        },
        _ => None,
    });
    let departure = departure.expect("logged");
    expect_that!(departure.evidence, eq(Evidence::Engine));
    expect_that!(departure.has_copy, eq(true));
    expect_that!(departure.dead_percent, ge(90));
    expect_that!(departure.silent_ms, gt(400));
    expect_that!(departure.expected_ms as f64, near(INTERVAL_MS, 10.0));
}

/// Guards against new streams for an engine that is slow at the moment, and against avoiding it
/// when that is no longer known.
#[gtest]
fn engine_that_is_slow_now_is_avoided_for_a_while() {
    let on_slow = |slow: f64, pause_ms: u64| {
        let settings = Settings {
            place: PlacementWeights {
                slow,
                ..PlacementWeights::default()
            },
            room: CapacityLimits::unbounded(),
            ..Settings::default()
        };
        let mut engines = Engines::new(LivenessMethod::Evidence, 2, OBJECTIVE_MS);
        engines.test.core.configure(Settings {
            probes: false,
            ..settings
        });
        let first = engines.start();
        let second = engines.start();
        expect_that!(first.upstream, not(eq(second.upstream)));
        engines.set(first.upstream, Behaviour { pace: SLOW, ..EVEN });
        engines.run(600);
        engines.set(first.upstream, EVEN);
        engines.run(pause_ms);
        let place = |_| {
            let caller = engines.test.request(STREAM);
            let upstream = engines.test.last_sent().upstream;
            engines.test.handle(Event::CallerGone(caller));
            upstream
        };
        let chosen: Vec<usize> = (0..20).map(place).collect();
        chosen
            .iter()
            .filter(|upstream| **upstream == first.upstream)
            .count()
    };
    expect_that!(on_slow(4.0, 0), eq(0));
    expect_that!(on_slow(0.0, 0), ge(4));
    expect_that!(on_slow(4.0, 2_000), ge(4));
}

impl Engines {
    fn announce_losses(&mut self, engines: &[usize]) {
        for engine in engines {
            self.test.handle(Event::PeerLoss(incarnation(*engine, 0)));
        }
    }
}
