//! An upstream whose answers never end: raw sockets, written as fast as they take it.

use super::*;
use std::sync::{Arc, Mutex};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener as Socket, TcpStream},
};

/// Bytes that are written at once, about.
const PIECE_BYTES: usize = 64 << 10;

/// Bytes of a request that are read, at most.
const REQUEST_BYTES: usize = 64 << 10;

/// Time between two bytes of a trickle.
const TRICKLE: Duration = Duration::from_secs(1);

/// Events with numbers in one piece.
const EVENTS: u64 = 4_000;

/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";

/// Where the bytes stand that never end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Form {
    /// Behind a whole answer.
    Behind,
    /// An extension of a chunk.
    ChunkExtension,
    /// A body in chunks.
    Chunks,
    /// Events without numbers.
    Events,
    /// One line of the head.
    HeadLine,
    /// Lines of the head.
    HeadLines,
    /// Informational heads before the answer.
    Informational,
    /// A body of a length that is told.
    Length,
    /// A body without a length.
    NoLength,
    /// One event.
    OneEvent,
    /// Events with rising numbers.
    RisingEvents,
    /// The first line.
    StatusLine,
    /// A body in chunks of one byte.
    TinyChunks,
    /// Lines behind the last chunk.
    Trailers,
    /// A body without a length, a byte a second.
    Trickle,
}

impl Form {
    /// Each of them by its name on the command line.
    pub const ALL: [(&str, Self); 15] = [
        ("behind", Self::Behind),
        ("chunk-extension", Self::ChunkExtension),
        ("chunks", Self::Chunks),
        ("events", Self::Events),
        ("head-line", Self::HeadLine),
        ("head-lines", Self::HeadLines),
        ("informational", Self::Informational),
        ("length", Self::Length),
        ("no-length", Self::NoLength),
        ("one-event", Self::OneEvent),
        ("rising-events", Self::RisingEvents),
        ("status-line", Self::StatusLine),
        ("tiny-chunks", Self::TinyChunks),
        ("trailers", Self::Trailers),
        ("trickle", Self::Trickle),
    ];

    /// What goes before the bytes that never end.
    fn start(self, request: &str) -> String {
        let head = format!(
            "HTTP/1.1 200 OK\r\nwellplank-request-id: {request}\r\nwellplank-response-signature: signed\r\n"
        );
        match self {
            Self::Informational | Self::StatusLine => String::new(),
            Self::Behind => head + "content-length: 2\r\n\r\nok",
            Self::ChunkExtension => head + "transfer-encoding: chunked\r\n\r\n1;",
            Self::Chunks | Self::TinyChunks => head + "transfer-encoding: chunked\r\n\r\n",
            Self::Events | Self::OneEvent | Self::RisingEvents => {
                head + "content-type: text/event-stream\r\n\r\n"
            }
            Self::HeadLine => head + "x-long: ",
            Self::HeadLines => head,
            Self::Length => head + "content-length: 99999999999\r\n\r\n",
            Self::NoLength | Self::Trickle => head + "\r\n",
            Self::Trailers => head + "transfer-encoding: chunked\r\n\r\n0\r\n",
        }
    }

    /// What is written again and again; events are numbered from behind a position.
    fn piece(self, position: u64) -> Vec<u8> {
        let fill = |text: &str| text.repeat(PIECE_BYTES / text.len()).into_bytes();
        match self {
            Self::Behind
            | Self::ChunkExtension
            | Self::HeadLine
            | Self::Length
            | Self::NoLength
            | Self::OneEvent
            | Self::StatusLine => fill("z"),
            Self::Chunks => [b"10000\r\n", fill("z").as_slice(), b"\r\n"].concat(),
            Self::Events => fill("data: x\n\n"),
            Self::HeadLines | Self::Trailers => fill("x-a: b\r\n"),
            Self::Informational => fill("HTTP/1.1 100 Continue\r\n\r\n"),
            Self::RisingEvents => (position + 1..=position + EVENTS)
                .flat_map(|number| format!("id: {number}\ndata: x\n\n").into_bytes())
                .collect(),
            Self::TinyChunks => fill("1\r\nz\r\n"),
            Self::Trickle => b"z".to_vec(),
        }
    }
}

/// The upstream. Clones share the requests that it got.
#[derive(Clone, Default)]
pub(crate) struct EndlessUpstream {
    got: Arc<Mutex<BTreeSet<String>>>,
}

impl EndlessUpstream {
    /// Names of the requests that it got.
    pub(crate) fn got(&self) -> BTreeSet<String> {
        self.got
            .lock()
            .expect("nobody panics while holding it")
            .clone()
    }

    /// Answers each connection at an address by a form.
    pub(crate) async fn serve(self, address: SocketAddr, form: Form) {
        let Ok(listener) = Socket::bind(address).await else {
            return;
        };
        while let Ok((connection, _)) = listener.accept().await {
            let upstream = self.clone();
            tokio::spawn(async move { upstream.answer(connection, form).await });
        }
    }

    /// Reads the head of a request and writes until the connection ends.
    async fn answer(self, mut connection: TcpStream, form: Form) -> std::io::Result<()> {
        let request = read_head(&mut connection).await?;
        let name = header(&request, "wellplank-request-id");
        self.got
            .lock()
            .expect("nobody panics while holding it")
            .insert(name.to_owned());
        connection.write_all(form.start(name).as_bytes()).await?;
        let mut position = header(&request, "last-event-id").parse().unwrap_or(0);
        let mut piece = form.piece(position);
        loop {
            connection.write_all(&piece).await?;
            match form {
                Form::RisingEvents => {
                    position += EVENTS;
                    piece = form.piece(position);
                }
                Form::Trickle => sleep(TRICKLE).await,
                _ => {}
            }
        }
    }
}

/// Reads up to the end of a head; an error if the connection ends before it.
async fn read_head(connection: &mut TcpStream) -> std::io::Result<String> {
    let mut bytes = Vec::new();
    while !bytes.windows(HEAD_END.len()).any(|end| end == HEAD_END) {
        if bytes.len() > REQUEST_BYTES || connection.read_buf(&mut bytes).await? == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
    }
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Value of a header; empty without it.
fn header<'a>(request: &'a str, name: &str) -> &'a str {
    let mut fields = request.lines().filter_map(|line| line.split_once(": "));
    fields
        .find(|(field, _)| field.eq_ignore_ascii_case(name))
        .map_or("", |(_, value)| value)
}
