//! Answers of a faulty upstream that do not end.

use std::sync::atomic::{AtomicU64, Ordering};
use tokio::{io::AsyncWriteExt, net::TcpStream};

/// Bytes after which such an answer stops and its connection stays open, so that a reader without a bound does not take the
/// memory of the machine.
pub const FLOOD_BYTES: u64 = 128 << 20;

/// Bytes of a body that stops without an end.
pub const STALLED_BYTES: u64 = 12 << 20;

/// Bytes that are written at once.
const WRITE_BYTES: usize = 64 << 10;

/// Bytes that an endless body of a stated length states.
const STATED_BYTES: u64 = 99_999_999_999;

/// Which part of an answer does not end.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Endless {
    /// Bytes behind a whole answer.
    Behind,
    /// A chunked body.
    Chunks,
    /// A body that ends with its connection.
    Close,
    /// One event of a stream.
    Event,
    /// The events of a stream, at rising positions.
    Events,
    /// Informational heads before the head.
    Informational,
    /// A body of a length that is beyond any bound.
    Length,
    /// A body without a length that stops.
    Stalled,
    /// Chunks of one byte.
    TinyChunks,
}

impl Endless {
    /// Writes an answer with these header lines, and counts its bytes.
    pub async fn write(
        self,
        connection: &mut TcpStream,
        head: &str,
        written: &AtomicU64,
    ) -> std::io::Result<()> {
        connection.write_all(self.start(head).as_bytes()).await?;
        let mut sent = 0;
        let mut position = 0;
        while sent < self.bytes() {
            let part = self.part(&mut position);
            connection.write_all(&part).await?;
            sent += part.len() as u64;
            written.fetch_add(part.len() as u64, Ordering::Relaxed);
        }
        std::future::pending().await
    }

    /// Bytes behind its start.
    fn bytes(self) -> u64 {
        match self {
            Self::Stalled => STALLED_BYTES,
            _ => FLOOD_BYTES,
        }
    }

    /// What is written once.
    fn start(self, head: &str) -> String {
        let rest = match self {
            Self::Behind => "content-length: 2\r\n\r\nok",
            Self::Chunks | Self::TinyChunks => "transfer-encoding: chunked\r\n\r\n",
            Self::Close | Self::Stalled => "connection: close\r\n\r\n",
            Self::Event | Self::Events => "content-type: text/event-stream\r\n\r\n",
            Self::Informational => return String::new(),
            Self::Length => return format!("{head}content-length: {STATED_BYTES}\r\n\r\n"),
        };
        format!("{head}{rest}")
    }

    /// What is written again and again.
    fn part(self, position: &mut u64) -> Vec<u8> {
        match self {
            Self::Behind | Self::Close | Self::Event | Self::Length | Self::Stalled => {
                vec![b'z'; WRITE_BYTES]
            }
            Self::Chunks => {
                let filling = "z".repeat(WRITE_BYTES);
                format!("{WRITE_BYTES:x}\r\n{filling}\r\n").into_bytes()
            }
            Self::Events => events(position),
            Self::Informational => repeat(b"HTTP/1.1 100 Continue\r\n\r\n"),
            Self::TinyChunks => repeat(b"1\r\nz\r\n"),
        }
    }
}

fn repeat(text: &[u8]) -> Vec<u8> {
    text.repeat(WRITE_BYTES / text.len())
}

fn events(position: &mut u64) -> Vec<u8> {
    let mut events = Vec::with_capacity(WRITE_BYTES);
    while events.len() < WRITE_BYTES {
        *position += 1;
        events.extend(format!("id: {position}\ndata: x\n\n").into_bytes());
    }
    events
}
