//! Callers of relayed requests in virtual time: what they ask, what they have, and how they come back.

use super::*;
use relaying::{Action, World, event};
use wellplank_core::{
    clock::Time,
    event::{Event, Submission},
    kind::Ran,
    origin::RunId,
    request::{Caller as Connection, Relay, Work},
    upstream,
};

/// Time that a caller waits for its whole answer.
pub(crate) const PATIENCE_MS: u64 = 25_000;

/// Time after which a caller comes back.
const BACK_MS: u64 = 60;

/// Status behind which no caller comes back.
const FINAL: u16 = 400;

/// Tries of a caller, at most.
const TRIES: usize = 12;

/// API key of callers, unless they belong to another customer.
pub(crate) const KEY: &str = "key";

/// What a caller asks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Kind {
    Again,
    Once,
    Stream,
}

impl Kind {
    pub const ALL: [Self; 3] = [Self::Again, Self::Once, Self::Stream];

    pub fn path(self) -> &'static str {
        match self {
            Self::Again => "/again/1",
            Self::Once => "/once/1",
            Self::Stream => "/stream/1",
        }
    }
}

/// Whether a caller that takes its stream up names the try that brought the first event.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Naming {
    Named,
    Unnamed,
}

/// A caller and what it has.
pub(crate) struct Asker {
    /// When its last try was sent.
    pub asked: Time,
    pub begun: Time,
    /// API key of its customer.
    pub customer: &'static str,
    pub ended: bool,
    pub instance: usize,
    pub kind: Kind,
    pub naming: Naming,
    /// The version that sent its first event, and its try that brought it.
    pub origin: Option<(u64, RunId)>,
    /// Position of the last event that it has.
    pub position: u64,
    /// Identity of what it asks; another caller may ask the same.
    pub print: u64,
    /// Whether it was told that its request ends upstreams.
    pub quarantined: bool,
    /// Name of its try; a number.
    pub run: u64,
    /// Upstream that its request reached last.
    pub sent_to: Option<usize>,
    /// Version of that upstream then.
    pub sent_version: u64,
    /// The version of the stream that its last try took up, if two upstreams of it served, until it gets an event.
    pub takes_up: Option<u64>,
    pub tries: usize,
    pub whole: bool,
}

impl Asker {
    /// Hash of its prompt, which the edge takes over the customer's key as well.
    fn prompt(&self) -> u64 {
        if self.customer == KEY {
            return self.print;
        }
        upstream::id(&format!("{} {}", self.customer, self.print))
    }
}

impl World {
    /// A new caller asks.
    pub fn ask(&mut self) {
        let kind = Kind::ALL[self.random.random_range(0..Kind::ALL.len())];
        let instance = self.random.random_range(0..self.instances.len());
        self.ask_at(kind, instance);
    }

    /// A new caller asks at an instance; its number.
    pub fn ask_at(&mut self, kind: Kind, instance: usize) -> usize {
        let print = self.askers.len() as u64 + 1;
        self.ask_same(kind, instance, print)
    }

    /// A new caller asks what others ask too; its number.
    pub fn ask_same(&mut self, kind: Kind, instance: usize, print: u64) -> usize {
        self.askers.push(Asker {
            asked: self.timeline.now(),
            begun: self.timeline.now(),
            customer: KEY,
            ended: false,
            instance,
            kind,
            naming: Naming::Named,
            origin: None,
            position: 0,
            print,
            quarantined: false,
            run: 0,
            sent_to: None,
            sent_version: 0,
            takes_up: None,
            tries: 0,
            whole: false,
        });
        let asker = self.askers.len() - 1;
        self.timeline.schedule(0, Action::Ask(asker));
        asker
    }

    /// Has a caller's request arrive at an instance; a caller that finds none comes back, which is no try.
    pub fn submit(&mut self, index: usize) {
        self.next += 1;
        let (run, connection) = (self.next, Connection(self.next));
        let asker = &mut self.askers[index];
        asker.run = run;
        asker.asked = self.timeline.now();
        let waited = self.timeline.now().since(asker.begun);
        if asker.tries >= TRIES || waited >= PATIENCE_MS {
            asker.ended = true;
            return;
        }
        let instance = asker.instance;
        if self.instances[instance].core.is_none() {
            self.come_back(index);
            return;
        }
        self.askers[index].tries += 1;
        self.count_take_up(index);
        let asker = &self.askers[index];
        let submission = Submission {
            caller: connection,
            cursor: None,
            customer: asker.customer.into(),
            fingerprint: asker.print,
            generation: u128::from(run),
            key: None,
            received: None,
            service: String::new(),
            work: Work::Relay(Relay {
                max_answer_tokens: 0,
                bytes: 100,
                host: "host".into(),
                path: asker.kind.path().into(),
                timeout_ms: Some(PATIENCE_MS - waited),
                position: asker.position,
                prompt: if asker.kind == Kind::Stream {
                    asker.prompt()
                } else {
                    0
                },
                resumes: asker
                    .origin
                    .map(|(_, run)| run)
                    .filter(|_| asker.naming == Naming::Named),
                run: run.to_string().into(),
                tokens: if asker.kind == Kind::Stream { 5_200 } else { 0 },
            }),
        };
        self.connections.insert(connection, index);
        self.tell(instance, Event::Submit(Box::new(submission)));
    }

    /// Counts a try that takes a stream up while two upstreams of its version serve.
    fn count_take_up(&mut self, index: usize) {
        let origin = self.askers[index].origin;
        let serving = |version: u64| {
            let upstreams = self.upstreams.iter().enumerate();
            upstreams
                .filter(|(at, upstream)| upstream.serves() && self.version(*at) == version)
                .count()
        };
        let version = origin.map(|(version, _)| version);
        let takes_up = version.filter(|version| serving(*version) >= 2);
        self.askers[index].takes_up = takes_up;
        self.case.taken_up += usize::from(takes_up.is_some());
    }

    /// A caller asks again at another instance, if it may.
    pub fn come_back(&mut self, index: usize) {
        let instances = self.instances.len();
        let asker = &mut self.askers[index];
        asker.instance = (asker.instance + 1) % instances;
        self.timeline.schedule(BACK_MS, Action::Ask(index));
    }

    /// Callers' connections break; they come back.
    pub fn leave_connections(&mut self) {
        for asker in 0..self.askers.len() {
            self.leave_connection(asker);
        }
    }

    /// A caller's connection breaks; it comes back.
    pub fn leave_connection(&mut self, asker: usize) {
        let connections = self.connections.extract_if(|_, other| *other == asker);
        let connections: Vec<Connection> = connections.map(|(connection, _)| connection).collect();
        for connection in connections {
            let instance = self.askers[asker].instance;
            self.tell(instance, Event::CallerGone(connection));
            self.lost(asker);
        }
    }

    /// A caller's connection ended without a whole answer. One that may not repeat gives up.
    pub fn lost(&mut self, index: usize) {
        if self.askers[index].kind == Kind::Once {
            self.askers[index].ended = true;
        } else {
            self.come_back(index);
        }
    }

    /// A caller's answer ended, whole or cut.
    pub fn end(&mut self, caller: Connection, whole: bool) {
        let Some(asker) = self.connections.remove(&caller) else {
            return;
        };
        if whole {
            self.askers[asker].ended = true;
            self.askers[asker].whole = true;
        } else {
            self.case.cut += 1;
            self.lost(asker);
        }
    }

    /// A caller was given an error. One that did not run, or may repeat, comes back.
    pub fn refuse(&mut self, caller: Connection, kind: wellplank_core::kind::Kind) {
        let Some(asker) = self.connections.remove(&caller) else {
            return;
        };
        let answer = kind.answer();
        if answer.status == FINAL {
            self.askers[asker].quarantined = true;
            self.askers[asker].ended = true;
            return;
        }
        let ran = answer.ran;
        if ran == Ran::No || self.askers[asker].kind != Kind::Once {
            let run = self.askers[asker].run;
            self.timeline.schedule(400, Action::Return(asker, run));
        } else {
            self.askers[asker].ended = true;
        }
    }

    /// A caller gets an event.
    pub fn take(&mut self, caller: Connection, bytes: &[u8]) {
        let Some(asker) = self.connections.get(&caller).copied() else {
            return;
        };
        let next = self.askers[asker].position + 1;
        if *bytes != *event(self.askers[asker].print, next) {
            let text = String::from_utf8_lossy(bytes).into_owned();
            self.broken(format_args!("{asker} got {text} in place of event {next}"));
        }
        let asker = &mut self.askers[asker];
        asker.position = next;
        if asker.origin.is_none() {
            let run = RunId::new(&asker.run.to_string());
            asker.origin = Some((asker.sent_version, run));
        }
        self.case.went_on += usize::from(asker.takes_up.take().is_some());
    }
}
