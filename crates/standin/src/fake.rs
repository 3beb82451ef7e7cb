//! Fakes at the core's edges, in virtual time: upstreams and the store of claims.

use super::*;
use wellplank_core::{
    attempt,
    clock::Time,
    effect::{Outbound, Stream as Name},
    event::{ClaimOutcome, Failure, OutputToken},
};

/// How an upstream behaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Mode {
    /// Its answers do not arrive, though requests reach it.
    CutOut,
    /// It is gone; connections to it are refused.
    Dead,
    /// It stands still and keeps what arrives for later.
    Frozen,
    /// It refuses new work since it is leaving.
    Leaving,
    /// It refuses new work.
    Refusing,
    /// It is gone and says nothing; connections to it time out.
    Silent,
    /// It works at a tenth of its speed.
    Slow,
    /// It works.
    Up,
}

/// What reached an upstream.
#[derive(Clone, Debug)]
pub enum Arrival {
    /// A stream is to be stopped.
    Cancel(Name),
    /// The connection of an attempt is closed.
    Closed(Reader),
    /// Something was sent.
    Sent(Reader, Outbound),
}

/// A connection from an instance: which instance, and which attempt of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Reader {
    /// The attempt.
    pub attempt: attempt::Key,
    /// Life of the instance, so that a new instance is not taken for the old.
    pub instance: usize,
}

/// What an upstream says on a connection.
#[derive(Clone, Debug)]
pub enum Said {
    /// It refused.
    Failed(Failure),
    /// The answer is whole at this position.
    Finished(u32),
    /// A plain service answered.
    Replied,
    /// Tokens from a position on.
    Tokens(u32, Vec<OutputToken>),
}

/// One run that an upstream began.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Run {
    /// Prompt or body of the request, which the world makes unique.
    pub payload: Value,
    /// Number of the attempt; 0 for calls.
    pub number: u32,
    /// Tokens that it continues from.
    pub prefix: usize,
}

struct FakeStream {
    chain: Chain,
    linger: u64,
    max: usize,
    reader: Option<Reader>,
    tokens: Vec<u32>,
    unread: Time,
}

/// A fake engine or plain service.
pub struct Upstream {
    /// How it behaves.
    pub mode: Mode,
    /// Unique name.
    pub name: String,
    /// Whether the next token is left out or sent twice.
    pub wrong: Option<stream::Fault>,
    /// Tokens generated.
    pub generated: u64,
    calls: Vec<(Reader, Time)>,
    random: Pcg64Mcg,
    /// Every run begun.
    pub runs: Vec<Run>,
    steps: u64,
    streams: BTreeMap<(u128, u32), FakeStream>,
}

/// Virtual time that a plain call takes, in milliseconds.
const CALL_MS: u64 = 20;

/// Part of its speed that a slow upstream keeps.
const SLOW: u64 = 10;

impl Upstream {
    /// An upstream that works.
    pub fn new(name: &str, seed: u64) -> Self {
        Self {
            calls: Vec::new(),
            generated: 0,
            mode: Mode::Up,
            name: name.to_owned(),
            random: Pcg64Mcg::seed_from_u64(seed),
            runs: Vec::new(),
            steps: 0,
            streams: BTreeMap::new(),
            wrong: None,
        }
    }

    /// Streams and calls under way.
    pub fn running(&self) -> u32 {
        (self.streams.len() + self.calls.len()) as u32
    }

    /// Connections that break when it ends.
    pub fn end(&mut self) -> Vec<Reader> {
        let streams = std::mem::take(&mut self.streams);
        let calls = std::mem::take(&mut self.calls);
        let readers = streams.into_values().filter_map(|stream| stream.reader);
        readers
            .chain(calls.into_iter().map(|(reader, _)| reader))
            .collect()
    }

    /// Connections from one life of an instance.
    pub fn readers(&self, instance: usize) -> Vec<Reader> {
        self.streams
            .values()
            .filter_map(|stream| stream.reader)
            .chain(self.calls.iter().map(|(reader, _)| *reader))
            .filter(|reader| reader.instance == instance)
            .collect()
    }

    /// Takes in what arrived; what it says at once.
    pub fn take(&mut self, now: Time, arrival: Arrival) -> Vec<(Reader, Said)> {
        match arrival {
            Arrival::Cancel(name) => {
                self.streams.remove(&(name.generation, name.number));
                Vec::new()
            }
            Arrival::Closed(reader) => {
                for stream in self.streams.values_mut() {
                    if stream.reader == Some(reader) {
                        stream.reader = None;
                        stream.unread = now;
                    }
                }
                Vec::new()
            }
            Arrival::Sent(reader, outbound) => self.open(now, reader, outbound),
        }
    }

    /// One step: every stream yields a token, calls end.
    pub fn step(&mut self, now: Time) -> Vec<(Reader, Said)> {
        self.steps += 1;
        if self.mode == Mode::Slow && !self.steps.is_multiple_of(SLOW) {
            return Vec::new();
        }
        let mut said = Vec::new();
        self.streams.retain(|_, stream| {
            stream.reader.is_some() || now.since(stream.unread) <= stream.linger
        });
        let mut whole = Vec::new();
        for (name, stream) in &mut self.streams {
            if stream.tokens.len() >= stream.max {
                continue;
            }
            let token = stream.chain.next(&mut self.random);
            let position = stream.tokens.len() as u32;
            stream.chain = stream.chain.push(token);
            stream.tokens.push(token);
            self.generated += 1;
            if let Some(reader) = stream.reader {
                let count = match self.wrong.take() {
                    Some(stream::Fault::Gap) => 0,
                    Some(stream::Fault::Repeat) => 2,
                    None => 1,
                };
                let tokens = || Said::Tokens(position, vec![piece(token)]);
                said.extend((0..count).map(|_| (reader, tokens())));
                if stream.tokens.len() == stream.max {
                    said.push((reader, Said::Finished(stream.max as u32)));
                    whole.push(*name);
                }
            }
        }
        for name in whole {
            self.streams.remove(&name);
        }
        let over = |(_, begun): &mut (Reader, Time)| now.since(*begun) >= CALL_MS;
        let done = self.calls.extract_if(.., over);
        said.extend(done.map(|(reader, _)| (reader, Said::Replied)));
        said
    }

    fn open(&mut self, now: Time, reader: Reader, outbound: Outbound) -> Vec<(Reader, Said)> {
        let refusal = match self.mode {
            Mode::Leaving => Some(Failure::Leaving),
            Mode::Refusing => Some(Failure::Refused),
            _ => None,
        };
        match (outbound, refusal) {
            (Outbound::Attach { position, stream }, _) => {
                let name = (stream.generation, stream.number);
                let Some(stream) = self.streams.get_mut(&name) else {
                    return vec![(reader, Said::Failed(Failure::UnknownStream))];
                };
                stream.reader = Some(reader);
                let from = (position as usize).min(stream.tokens.len());
                let pieces: Vec<OutputToken> =
                    stream.tokens[from..].iter().copied().map(piece).collect();
                let mut said = vec![(reader, Said::Tokens(position, pieces))];
                if stream.tokens.len() >= stream.max {
                    // It is whole; it lingers once more for another reader.
                    said.push((reader, Said::Finished(stream.max as u32)));
                    stream.reader = None;
                    stream.unread = now;
                }
                said
            }
            (_, Some(failure)) => vec![(reader, Said::Failed(failure))],
            (Outbound::Relay { .. }, None) => Vec::new(),
            (Outbound::Call { payload, .. }, None) => {
                self.run(&payload, 0, 0);
                self.calls.push((reader, now));
                Vec::new()
            }
            (
                Outbound::Generate {
                    linger_ms,
                    max_tokens,
                    payload,
                    prefix,
                    stream,
                    ..
                },
                None,
            ) => {
                let prompt = self.run(&payload, stream.number, prefix.len());
                let chain = prefix
                    .iter()
                    .fold(Chain::new(&prompt), |chain, token| chain.push(*token));
                let begun = FakeStream {
                    chain,
                    linger: linger_ms,
                    max: max_tokens as usize,
                    reader: Some(reader),
                    tokens: prefix,
                    unread: now,
                };
                self.streams
                    .insert((stream.generation, stream.number), begun);
                Vec::new()
            }
        }
    }

    fn run(&mut self, payload: &[u8], number: u32, prefix: usize) -> Value {
        let payload: Value = serde_json::from_slice(payload).unwrap_or_default();
        self.runs.push(Run {
            number,
            payload: payload.clone(),
            prefix,
        });
        payload
    }
}

/// How the store of claims behaves.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreMode {
    /// Nothing is written and nothing answered.
    Down,
    /// What is written is written, but the answer is lost and can not be read back.
    Lost,
    /// It works.
    Up,
}

/// A fake of the claims in the key-value service.
pub struct Claims {
    bucket: wellplank_core::claim::Bucket,
    /// How it behaves.
    pub mode: StoreMode,
}

impl Claims {
    /// An empty store that works.
    pub fn new() -> Self {
        Self {
            bucket: wellplank_core::claim::Bucket::default(),
            mode: StoreMode::Up,
        }
    }

    /// Settles a claim.
    pub fn settle(&mut self, claim: &wellplank_core::claim::Claim) -> ClaimOutcome {
        match self.mode {
            StoreMode::Down => ClaimOutcome::Unavailable,
            StoreMode::Lost => {
                self.bucket.add(claim);
                ClaimOutcome::Unavailable
            }
            StoreMode::Up => self.bucket.add(claim),
        }
    }
}

impl Default for Claims {
    fn default() -> Self {
        Self::new()
    }
}

fn piece(token: u32) -> OutputToken {
    OutputToken {
        text: String::new(),
        id: token,
    }
}
