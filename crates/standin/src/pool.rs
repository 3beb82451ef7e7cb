//! Upstreams of relayed requests in virtual time: what they run, the copies that they hold, and how they fail.

use super::*;
use crowd::Kind;
use limited::Limited;
use relaying::{Action, EVENTS, World, address, event, index};
use std::sync::Arc;
use wellplank_core::{
    attempt,
    clock::Time,
    effect::Outbound,
    event::{Event, Failure, ListEntry, Verdict},
    position::Position,
    upstream,
};

/// Time between two events of a stream.
const STEP_MS: u64 = 30;

/// Time from the start of a stream to its first event: its prompt is read.
const READ_MS: u64 = 300;

/// Time that a call takes.
const CALL_MS: u64 = 15;

/// Time after which a leaving upstream must get no new work.
const LEAVE_MS: u64 = 2_000;

/// Time by which an attempt must have ended before the next one of its request may run.
const OVERLAP_MS: u64 = 400;

/// One upstream over its lives.
pub(crate) struct Upstream {
    pub calls: bool,
    /// Copies of streams: the run, and the caller whose stream it is.
    pub copies: HashMap<Arc<str>, usize>,
    pub leaving: Option<Time>,
    /// Grows with every start.
    pub life: u64,
    /// The limit that it names, if it does.
    pub limited: Option<Limited>,
    pub mode: Mode,
    /// Rest that its refusals ask for, in milliseconds; 0 for none.
    pub rest_ms: u64,
    pub streams: HashMap<Line, Stream>,
}

/// How an upstream behaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Mode {
    Down,
    Faulty,
    Good,
    Refusing,
    Silent,
}

/// An attempt at an upstream: life of the instance that sent it, and its key there.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(crate) struct Line {
    pub attempt: attempt::Key,
    pub instance: usize,
    pub life: u64,
}

/// A call that an upstream runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Call {
    pub asker: usize,
    /// The upstream as the instance knows it.
    pub key: upstream::Key,
    /// Life of the upstream that runs it.
    pub life: u64,
    pub line: Line,
    pub upstream: usize,
}

/// A stream that an upstream runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stream {
    pub asker: usize,
    pub backup: Option<usize>,
    /// Events made here.
    pub made: u64,
    pub position: u64,
    pub run: u64,
}

impl Upstream {
    /// One that behaves as it should; a plain service if it takes calls.
    pub fn new(calls: bool) -> Self {
        Self {
            calls,
            copies: HashMap::new(),
            leaving: None,
            life: 1,
            limited: None,
            mode: Mode::Good,
            rest_ms: 0,
            streams: HashMap::new(),
        }
    }
}

impl Upstream {
    /// Whether it takes new work.
    pub fn serves(&self) -> bool {
        self.mode == Mode::Good && self.leaving.is_none() && self.limited.is_none() && !self.calls
    }
}

impl World {
    /// Has an upstream behave otherwise. One that was down starts a new life, and so does one that left, once it runs nothing.
    pub fn set(&mut self, index: usize, mode: Mode) {
        let upstream = &mut self.upstreams[index];
        let left = upstream.leaving.is_some() && upstream.streams.is_empty();
        if (upstream.mode == Mode::Down && mode != Mode::Down) || (left && mode == Mode::Good) {
            upstream.life += 1;
            upstream.limited = None;
            upstream.leaving = None;
            upstream.copies.clear();
        }
        upstream.mode = mode;
        if mode == Mode::Down {
            upstream.copies.clear();
            let lines: Vec<Line> = upstream.streams.drain().map(|(line, _)| line).collect();
            for line in lines {
                self.fail(line, Failure::Broken);
            }
        }
    }

    pub fn listed(&self) -> Vec<ListEntry> {
        let listed = |(index, upstream): (usize, &Upstream)| ListEntry {
            address: address(index),
            born: 0,
            data_centre: format!("dc-{}", index % 3),
            leaving: upstream.leaving.is_some(),
            name: format!("{index}-{}", upstream.life),
            pool: if upstream.calls { "desk" } else { "engines" }.into(),
            registered_at: Position::default(),
            slots: 0,
            version: self.version_name(index),
        };
        self.upstreams.iter().enumerate().map(listed).collect()
    }

    /// A request arrives at an upstream.
    pub fn arrive(&mut self, line: Line, key: upstream::Key, upstream: usize, outbound: &Outbound) {
        let Outbound::Relay {
            backup,
            caller,
            copy,
            path,
            position,
            upstream: name,
            ..
        } = outbound
        else {
            return;
        };
        let Some(asker) = self.connections.get(caller).copied() else {
            return;
        };
        let run = self.askers[asker].run;
        let now = self.timeline.now();
        if !self.connect(line, upstream, *path) {
            return;
        }
        let state = &mut self.upstreams[upstream];
        if state.mode == Mode::Silent {
            return;
        }
        if **name != format!("{upstream}-{}", state.life) {
            return self.fail(line, Failure::Replaced);
        }
        let (leaving, mode) = (state.leaving, state.mode);
        self.check_words(line, upstream, self.askers[asker].asked);
        if mode == Mode::Refusing {
            return self.turn_away(line, key, upstream);
        }
        let known = leaving
            .zip(self.listing)
            .map(|(left, listing)| left.max(listing));
        let late = known.is_some_and(|known| now.since(known) > LEAVE_MS);
        if let Some(copy) = copy {
            match self.upstreams[upstream].copies.remove(copy) {
                None => return self.turn_away(line, key, upstream),
                Some(owner) if owner != asker => {
                    self.case.foreign_copies += 1;
                    self.broken(format_args!("{asker} goes on from the memory of {owner}"));
                }
                Some(_) => self.case.copies += 1,
            }
        }
        if late {
            self.broken(format_args!(
                "{upstream} got work long after it began to leave"
            ));
        }
        *self.runs.entry(run).or_default() += 1;
        self.askers[asker].sent_to = Some(upstream);
        self.check_version(asker, upstream, *position);
        self.note_poison(asker, line.instance);
        if self.askers[asker].kind != Kind::Stream {
            let call = Call {
                asker,
                key,
                life: self.upstreams[upstream].life,
                line,
                upstream,
            };
            self.timeline.schedule(CALL_MS, Action::Answer(call));
            return;
        }
        self.case.prompts += usize::from(copy.is_none());
        self.say(line, key, upstream, false);
        self.event(line, Event::StreamOpened(line.attempt));
        let stream = Stream {
            asker,
            backup: backup.map(index),
            made: 0,
            position: *position,
            run,
        };
        self.upstreams[upstream].streams.insert(line, stream);
        let read = if copy.is_some() { STEP_MS } else { READ_MS };
        self.timeline.schedule(read, Action::Step(line, upstream));
        self.check_alone(asker, line);
    }

    /// Version of an upstream in its present life; always the same where there is only one.
    pub fn version(&self, upstream: usize) -> u64 {
        (upstream as u64 + self.upstreams[upstream].life) % self.versions
    }

    /// Its name, as the upstream's entry has it; none where there is only one.
    fn version_name(&self, upstream: usize) -> String {
        if self.versions == 1 {
            return String::new();
        }
        format!("v{}", self.version(upstream))
    }

    /// A stream goes on only at the version that sent its first event.
    fn check_version(&mut self, asker: usize, upstream: usize, position: u64) {
        let version = self.version(upstream);
        let other = self.askers[asker].origin.map(|(began, _)| began);
        if position > 0 && other.is_some_and(|began| began != version) {
            self.broken(format_args!(
                "{asker} began at version {other:?} and goes on at {version}, {upstream}"
            ));
        }
        self.askers[asker].sent_version = version;
    }

    /// An upstream refuses a request.
    fn turn_away(&mut self, line: Line, key: upstream::Key, upstream: usize) {
        self.say(line, key, upstream, true);
        self.fail(line, Failure::Refused);
    }

    /// Two upstreams must not work on one stream for long.
    pub fn check_alone(&mut self, asker: usize, line: Line) {
        let others = self.upstreams.iter().flat_map(|upstream| &upstream.streams);
        let others = others.filter(|(other, stream)| {
            stream.asker == asker && **other != line && other.instance == line.instance
        });
        if others.count() > 0 {
            self.broken(format_args!(
                "{asker} runs twice for more than {OVERLAP_MS} ms"
            ));
        }
    }

    /// An upstream makes the next event of a stream.
    pub fn step(&mut self, line: Line, upstream: usize) {
        let mode = self.upstreams[upstream].mode;
        let Some(stream) = self.upstreams[upstream].streams.get_mut(&line) else {
            return;
        };
        if mode == Mode::Silent {
            self.timeline
                .schedule(STEP_MS, Action::Step(line, upstream));
            return;
        }
        stream.position += 1;
        stream.made += 1;
        let stream = *stream;
        if self.is_fatal(stream.asker, stream.made) {
            self.end_by(upstream, stream.asker);
            return;
        }
        let attempt = line.attempt;
        if stream.position > EVENTS {
            self.upstreams[upstream].streams.remove(&line);
            let marked = true;
            self.event(line, Event::StreamEnded { attempt, marked });
            return;
        }
        if let Some(backup) = stream.backup
            && self.upstreams[backup].mode != Mode::Down
        {
            self.upstreams[backup]
                .copies
                .insert(stream.run.to_string().into(), stream.asker);
        }
        let bytes = event(self.askers[stream.asker].print, stream.position);
        let position = stream.position;
        self.event(
            line,
            Event::StreamEvent {
                attempt,
                bytes,
                position,
            },
        );
        self.timeline
            .schedule(STEP_MS, Action::Step(line, upstream));
    }

    /// A call ends at an upstream.
    pub fn reply(&mut self, call: Call) {
        let Call {
            asker,
            key,
            life,
            line,
            upstream,
        } = call;
        let attempt = line.attempt;
        let verdict = match self.upstreams[upstream].mode {
            Mode::Down => return self.fail(line, Failure::Broken),
            Mode::Silent => return,
            Mode::Faulty if self.askers[asker].kind == Kind::Again => Verdict::Fault,
            Mode::Faulty | Mode::Good | Mode::Refusing => Verdict::Good,
        };
        if self.upstreams[upstream].life == life {
            self.say(line, key, upstream, false);
        }
        self.event(line, Event::Answered { attempt, verdict });
    }
}
