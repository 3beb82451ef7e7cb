//! The callers of a world: how they ask, what they get, and when they come back.

use super::*;
use asker::{Ask, Asker, End, Step};
use std::sync::Arc;
use wellplank_core::{
    event::{Event, Submission},
    request::{Caller as Connection, Work},
};
use world::{Action, World};

/// Silence after which a caller leaves its instance for another.
const CALLER_PATIENCE_MS: u64 = 4_000;

/// Time after which a caller that found nobody tries again.
const CALLER_RETRY_MS: u64 = 200;

impl World {
    /// Hands in a new request through an instance.
    pub fn ask(&mut self, ask: Ask, instance: usize, tokens: usize, brings_tokens: bool) -> usize {
        let index = self.askers.len();
        let key = self.uuid();
        self.askers.push(Asker {
            ask,
            brings_tokens,
            connection: None,
            cursor: None,
            end: None,
            heard: self.timeline.now(),
            instance,
            key,
            payload: json!({ "max": tokens, "prompt": format!("prompt {index}") }),
            returns: 0,
            sent_to: None,
            stall_ms: 0,
            steps: Vec::new(),
            tokens: Vec::new(),
        });
        self.submit(index);
        index
    }

    /// A caller whose connection broke asks again at the next instance.
    pub(crate) fn come_back(&mut self, index: usize) {
        let count = self.instances.len();
        let asker = &mut self.askers[index];
        if asker.end.is_some() {
            return;
        }
        asker.returns += 1;
        asker.instance = (asker.instance + 1) % count;
        self.submit(index);
    }

    /// Cuts a caller's connection; it comes back at another instance.
    pub fn cut_caller(&mut self, index: usize) {
        if let Some(connection) = self.askers[index].connection.take() {
            let instance = self.askers[index].instance;
            self.event(instance, 1, Event::CallerGone(connection));
            self.come_back(index);
        }
    }

    pub(crate) fn end(&mut self, connection: Connection, end: End) {
        let Some(index) = self.connections.remove(&connection) else {
            self.violations
                .push("a connection was answered twice".into());
            return;
        };
        let asker = &mut self.askers[index];
        if asker.connection == Some(connection) {
            asker.connection = None;
            asker.end = Some(end);
        }
    }

    /// Callers that heard nothing for long leave their instance, if it does not answer at all.
    pub(crate) fn impatient(&mut self) {
        let frozen: Vec<usize> = (0..self.askers.len())
            .filter(|index| {
                let asker = &self.askers[*index];
                asker.connection.is_some()
                    && self.timeline.now() < self.instances[asker.instance].frozen_until
                    && self.timeline.now().since(asker.heard) > CALLER_PATIENCE_MS
            })
            .collect();
        for index in frozen {
            self.cut_caller(index);
        }
    }

    /// Whether a request has reached a step.
    pub fn reached(&self, asker: usize, step: Step) -> bool {
        let asker = &self.askers[asker];
        match step {
            Step::Ended => asker.end.is_some(),
            Step::Streaming => asker.tokens.len() >= 5,
            step => asker.steps.contains(&step),
        }
    }

    pub(crate) fn receive(
        &mut self,
        connection: Connection,
        position: u32,
        tokens: &[u32],
        cursor: &[u8],
    ) {
        let Some(index) = self.connections.get(&connection).copied() else {
            return;
        };
        let asker = &mut self.askers[index];
        if asker.connection != Some(connection) {
            return;
        }
        if position as usize != asker.tokens.len() {
            let have = asker.tokens.len();
            self.violations.push(format!(
                "{index} was given position {position} after {have} tokens"
            ));
            return;
        }
        if !asker.tokens.is_empty() {
            asker.stall_ms = asker.stall_ms.max(self.timeline.now().since(asker.heard));
        }
        asker.heard = self.timeline.now();
        asker.tokens.extend_from_slice(tokens);
        asker.cursor = Some(cursor.to_vec());
    }

    pub(crate) fn submit(&mut self, index: usize) {
        self.next_connection += 1;
        let connection = Connection(self.next_connection);
        let generation = self.uuid();
        let asker = &mut self.askers[index];
        asker.connection = Some(connection);
        asker.heard = self.timeline.now();
        asker.steps.push(Step::Submitted);
        let payload: Arc<[u8]> = asker.payload.to_string().into_bytes().into();
        let max = asker.payload["max"].as_u64().unwrap_or(0) as u32;
        let work = if asker.ask.generates() {
            Work::Generate {
                max_tokens: max,
                payload: payload.clone(),
                prefix: 0,
            }
        } else {
            Work::Call {
                path: "POST /".into(),
                payload: payload.clone(),
            }
        };
        let returns = asker.cursor.is_some() && asker.brings_tokens;
        let submission = Submission {
            caller: connection,
            cursor: asker.cursor.clone(),
            customer: "customer".into(),
            fingerprint: wellplank_node::fingerprint(asker.ask.service(), &payload),
            generation,
            key: asker.ask.once().then_some(asker.key),
            received: returns.then(|| asker.tokens.clone()),
            service: asker.ask.service().into(),
            work,
        };
        let instance = asker.instance;
        self.connections.insert(connection, index);
        if self.instances[instance].core.is_none() {
            // Nobody listens there: the caller tries the next one.
            self.connections.remove(&connection);
            self.askers[index].connection = None;
            self.schedule(CALLER_RETRY_MS, Action::Return(index));
            return;
        }
        self.event(instance, 1, Event::Submit(Box::new(submission)));
    }

    /// A new UUID of version 7 at the virtual time.
    pub(crate) fn uuid(&mut self) -> u128 {
        let noise: u128 = self.random.random();
        let time = u128::from(self.timeline.now().0) << 80;
        let version = 7_u128 << 76;
        let variant = 2_u128 << 62;
        let low = noise & !(0xffff_ffff_ffff_u128 << 80) & !(0xf_u128 << 76) & !(3_u128 << 62);
        time | version | variant | low
    }
}
