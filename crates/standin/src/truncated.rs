//! An upstream whose answers stop after a number of bytes, in each framing, and end their connection in one of several ways.
//! A request names the answer that it gets by its ID.

use super::*;
use std::sync::{Arc, Mutex};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener as Socket, TcpStream},
};

/// Number of events of a whole stream.
const EVENTS: u64 = 4;

/// Pause between two parts of an answer, and before a late reset.
const PAUSE: Duration = Duration::from_millis(15);

/// Time for which a connection is held open whose sending half is closed.
const HALF_CLOSED: Duration = Duration::from_millis(100);

/// Size of the buffer for requests.
const REQUEST_BYTES: usize = 16 << 10;

/// How an answer tells where its body ends.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Framing {
    /// By chunks.
    Chunked,
    /// By chunks, with trailers behind the last one.
    Trailers,
    /// By a length.
    Length,
    /// By a length, with lines of the head that end without a carriage return.
    BareLineFeeds,
    /// By the end of the connection.
    Close,
    /// The same, with a head of HTTP/1.0.
    CloseHttp10,
    /// The same, with a transfer coding other than chunks.
    CloseIdentity,
}

/// How the connection ends behind the last byte that is sent.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum End {
    /// It is closed.
    Close,
    /// Only its sending half is closed.
    HalfClose,
    /// It is reset at once.
    Reset,
    /// It is reset after the reader has had time to read all bytes.
    ResetLate,
}

/// One answer.
#[derive(Clone, Copy, Debug)]
pub struct Script {
    /// Number of bytes that are sent; more than there are for all.
    pub bytes: usize,
    /// How the connection ends.
    pub end: End,
    /// How the body ends.
    pub framing: Framing,
    /// Whether the answer is sent in two parts with a pause between them.
    pub paused: bool,
    /// Whether later attempts of the request get a whole answer.
    pub recovers: bool,
}

/// What an answer depends on.
#[derive(Clone, Debug, Default)]
pub struct Question {
    /// Position behind which a stream begins.
    pub position: u64,
    /// Request ID.
    pub request_id: String,
    /// Whether the answer is a stream of events.
    pub streams: bool,
}

/// Upstreams that share their answers.
#[derive(Clone, Default)]
pub struct Truncator {
    attempts: Arc<Mutex<HashMap<String, usize>>>,
    scripts: Arc<Mutex<HashMap<String, Script>>>,
}

impl Framing {
    /// Every framing.
    pub const ALL: [Self; 7] = [
        Self::Chunked,
        Self::Trailers,
        Self::Length,
        Self::BareLineFeeds,
        Self::Close,
        Self::CloseHttp10,
        Self::CloseIdentity,
    ];

    /// Whether only the end of the connection ends the body.
    pub fn ends_by_close(self) -> bool {
        matches!(self, Self::Close | Self::CloseHttp10 | Self::CloseIdentity)
    }
}

impl End {
    /// Every end.
    pub const ALL: [Self; 4] = [Self::Close, Self::HalfClose, Self::Reset, Self::ResetLate];

    /// Whether the connection ends without an error.
    pub fn is_orderly(self) -> bool {
        matches!(self, Self::Close | Self::HalfClose)
    }
}

impl Script {
    /// A whole answer with a length.
    const WHOLE: Self = Self {
        bytes: usize::MAX,
        end: End::Close,
        framing: Framing::Length,
        paused: false,
        recovers: true,
    };

    /// The head of an answer to a request.
    pub fn head(self, question: &Question) -> String {
        let version = match self.framing {
            Framing::CloseHttp10 => "HTTP/1.0",
            _ => "HTTP/1.1",
        };
        let framing = match self.framing {
            Framing::Chunked | Framing::Trailers => "transfer-encoding: chunked\r\n".into(),
            Framing::Length | Framing::BareLineFeeds => {
                format!("content-length: {}\r\n", question.body().len())
            }
            Framing::Close | Framing::CloseHttp10 => String::new(),
            Framing::CloseIdentity => "transfer-encoding: identity\r\n".into(),
        };
        let request_id = &question.request_id;
        let content_type = if question.streams {
            "text/event-stream"
        } else {
            "text/plain"
        };
        let head = format!(
            "{version} 200 OK\r\nwellplank-request-id: {request_id}\r\n\
            wellplank-response-signature: s.1\r\ncontent-type: {content_type}\r\n{framing}\r\n"
        );
        match self.framing {
            Framing::BareLineFeeds => head.replace("\r\n", "\n"),
            _ => head,
        }
    }

    /// The whole answer to a request.
    pub fn answer(self, question: &Question) -> String {
        let head = self.head(question);
        let body = question.body();
        match self.framing {
            Framing::Chunked => format!("{head}{}0\r\n\r\n", chunks(&body)),
            Framing::Trailers => format!("{head}{}0\r\nx-trailer: 1\r\n\r\n", chunks(&body)),
            _ => head + &body,
        }
    }
}

impl Question {
    /// The whole body of the answer.
    pub fn body(&self) -> String {
        if !self.streams {
            return "the whole answer".into();
        }
        let events = (self.position + 1..=EVENTS).map(event);
        events.collect()
    }

    fn parse(request: &str) -> Self {
        let header = |name: &str| request.lines().find_map(|line| line.strip_prefix(name));
        let position = header("last-event-id: ").and_then(|text| text.parse().ok());
        Self {
            position: position.unwrap_or_default(),
            request_id: header("wellplank-request-id: ").unwrap_or_default().into(),
            streams: request.contains("/stream/"),
        }
    }
}

impl Truncator {
    /// Has the request with an ID answered so.
    pub fn expect(&self, request_id: &str, script: Script) {
        let mut scripts = self.scripts.lock().expect("nobody panics while holding it");
        scripts.insert(request_id.into(), script);
    }

    /// Number of times that a request has arrived.
    pub fn attempts(&self, request_id: &str) -> usize {
        let attempts = self
            .attempts
            .lock()
            .expect("nobody panics while holding it");
        attempts.get(request_id).copied().unwrap_or_default()
    }

    /// Serves at an address until its runtime ends.
    pub async fn serve(self, address: SocketAddr) {
        let socket = loop {
            match Socket::bind(address).await {
                Ok(socket) => break socket,
                Err(_) => sleep(PAUSE).await,
            }
        };
        while let Ok((connection, _)) = socket.accept().await {
            tokio::spawn(self.clone().answer(connection));
        }
    }

    async fn answer(self, mut connection: TcpStream) {
        let Some(request) = read_request(&mut connection).await else {
            return;
        };
        let question = Question::parse(&request);
        let script = self.next_script(&question.request_id);
        let answer = script.answer(&question).into_bytes();
        let sent = &answer[..script.bytes.min(answer.len())];
        // A caller that is gone shows in what it got.
        let _ = send(&mut connection, sent, script).await;
    }

    fn next_script(&self, request_id: &str) -> Script {
        let mut attempts = self
            .attempts
            .lock()
            .expect("nobody panics while holding it");
        let attempts = attempts.entry(request_id.to_owned()).or_default();
        *attempts += 1;
        let scripts = self.scripts.lock().expect("nobody panics while holding it");
        let script = scripts.get(request_id).copied();
        let script = script.unwrap_or(Script::WHOLE);
        if *attempts > 1 && script.recovers {
            return Script::WHOLE;
        }
        script
    }
}

fn event(id: u64) -> String {
    format!("id: {id}\ndata: event {id}\n\n")
}

fn chunks(body: &str) -> String {
    let (first, second) = body.split_at(body.len() / 2);
    let parts = [first, second].map(|part| format!("{:x}\r\n{part}\r\n", part.len()));
    parts.concat()
}

/// Reads a request, whose lines end without a carriage return then; `None` if the connection ends before.
async fn read_request(connection: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::with_capacity(REQUEST_BYTES);
    loop {
        if connection.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
        let text = String::from_utf8_lossy(&bytes).replace("\r\n", "\n");
        let (head, body) = text.split_once("\n\n").unwrap_or((&text, ""));
        let length = head
            .lines()
            .find_map(|line| line.strip_prefix("content-length: "));
        let length = length.and_then(|length| length.parse().ok()).unwrap_or(0);
        if text.contains("\n\n") && body.len() >= length {
            return Some(text);
        }
    }
}

async fn send(connection: &mut TcpStream, bytes: &[u8], script: Script) -> std::io::Result<()> {
    connection.set_nodelay(true)?;
    let (first, second) = bytes.split_at(if script.paused { bytes.len() / 2 } else { 0 });
    connection.write_all(first).await?;
    if script.paused {
        sleep(PAUSE).await;
    }
    connection.write_all(second).await?;
    match script.end {
        End::Close => {}
        End::HalfClose => {
            connection.shutdown().await?;
            sleep(HALF_CLOSED).await;
        }
        End::Reset => connection.set_zero_linger()?,
        End::ResetLate => {
            sleep(PAUSE).await;
            connection.set_zero_linger()?;
        }
    }
    Ok(())
}
