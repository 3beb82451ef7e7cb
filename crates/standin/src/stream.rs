//! One stream of an engine.

use super::*;

/// Tokens of a stream between two that carry the engine's load.
const LOAD_EVERY: usize = 10;

/// A stream: its tokens and who reads it.
pub(crate) struct Running {
    /// Tokens before this stream began.
    pub base: usize,
    pub chain: Chain,
    /// Whether it yields no more.
    pub done: bool,
    pub linger: Duration,
    pub max_tokens: usize,
    pub priority: u64,
    /// When its prompt is computed.
    pub ready: Instant,
    pub reader: Option<mpsc::UnboundedSender<Bytes>>,
    /// Whether it holds a slot.
    pub slot: bool,
    /// All tokens of the answer, those before this stream too.
    pub tokens: Vec<u32>,
    /// Since when it has no reader.
    pub unread: Option<Instant>,
}

impl Running {
    /// Sends the tokens from `position` on to a new reader.
    pub fn attach(&mut self, position: usize) -> mpsc::UnboundedReceiver<Bytes> {
        let (sender, receiver) = mpsc::unbounded_channel();
        for index in position..self.tokens.len() {
            let _ = sender.send(chunk(index, Some(self.tokens[index]), None));
        }
        if self.done {
            let _ = sender.send(chunk(self.tokens.len(), None, Some("length")));
        } else {
            self.reader = Some(sender);
            self.unread = None;
        }
        receiver
    }

    /// Yields one token, and the end after the last.
    pub fn step(&mut self, random: &mut Pcg64Mcg, fault: Option<Fault>, load: &Value) {
        let token = self.chain.next(random);
        self.chain = self.chain.push(token);
        let position = self.tokens.len();
        self.tokens.push(token);
        match fault {
            Some(Fault::Gap) => {}
            Some(Fault::Repeat) => {
                self.send(chunk(position, Some(token), None));
                self.send(chunk(position, Some(token), None));
            }
            _ if position.is_multiple_of(LOAD_EVERY) => self.send(loaded(position, token, load)),
            _ => self.send(chunk(position, Some(token), None)),
        }
        if self.tokens.len() >= self.max_tokens {
            self.done = true;
            self.send(chunk(self.tokens.len(), None, Some("length")));
            self.reader = None;
            self.unread = Some(Instant::now());
        }
    }

    /// Whether nobody has read it for its linger time.
    pub fn orphaned(&mut self) -> bool {
        let closed = self
            .reader
            .as_ref()
            .is_none_or(mpsc::UnboundedSender::is_closed);
        if !closed {
            return false;
        }
        let since = self.unread.get_or_insert_with(Instant::now);
        since.elapsed() > self.linger
    }

    fn send(&self, bytes: Bytes) {
        if let Some(reader) = &self.reader {
            let _ = reader.send(bytes);
        }
    }
}

/// A wrong that the next token of a stream is done.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// It is not sent.
    Gap,
    /// It is sent twice.
    Repeat,
}

/// One event of a stream.
fn chunk(position: usize, token: Option<u32>, reason: Option<&str>) -> Bytes {
    Sse::default()
        .data(event(position, token, reason).to_string())
        .into()
}

/// One event of a stream that carries the engine's load.
fn loaded(position: usize, token: u32, load: &Value) -> Bytes {
    let mut event = event(position, Some(token), None);
    event["load"] = load.clone();
    Sse::default().data(event.to_string()).into()
}

fn event(position: usize, token: Option<u32>, reason: Option<&str>) -> Value {
    let text = token.map(token::text).unwrap_or_default();
    json!({
        "choices": [{
            "finish_reason": reason,
            "index": 0,
            "text": text,
            "token_ids": token.as_slice(),
        }],
        "object": "text_completion",
        "position": position,
    })
}
