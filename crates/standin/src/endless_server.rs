//! A server on raw sockets whose answers need not end.

use super::*;
use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{TcpListener as Socket, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
};

/// Time for which a write waits for its reader.
const WRITE_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between two looks at whether a reader has closed its connection.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Bytes written at once.
const PIECE: usize = 64 << 10;

/// What the server sends to a request.
#[derive(Clone, Debug)]
pub enum Answer {
    /// These bytes once, and then others again and again until the reader closes the connection.
    Endless(Vec<u8>, Vec<u8>),
    /// One byte of a body after another, with a pause, until the reader closes the connection.
    Trickle(Duration),
    /// A status and a body.
    Whole(u16, Vec<u8>),
}

impl Answer {
    /// A body without a length that never ends.
    pub fn body() -> Self {
        Self::Endless(b"HTTP/1.1 200 OK\r\n\r\n".to_vec(), vec![b'z'; PIECE])
    }

    /// Informational heads that never end.
    pub fn informational() -> Self {
        Self::Endless(Vec::new(), b"HTTP/1.1 100 Continue\r\n\r\n".repeat(2_000))
    }

    /// A JSON body.
    pub fn json(body: &Value) -> Self {
        Self::Whole(200, body.to_string().into_bytes())
    }
}

/// How much readers took of the answers that do not end.
#[derive(Debug, Default)]
struct Taken {
    /// Answers whose readers have closed the connection.
    closed: AtomicU64,
    /// Largest number of bytes of one answer that the sockets took.
    most: AtomicU64,
}

/// The server; it ends with this value.
pub struct EndlessServer {
    /// Where it listens.
    pub address: SocketAddr,
    is_over: Arc<AtomicBool>,
    taken: Arc<Taken>,
}

impl Drop for EndlessServer {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        // Wakes the thread that accepts connections.
        drop(TcpStream::connect(self.address));
    }
}

impl EndlessServer {
    /// Starts a server that answers requests by method and path. Of an answer without end it sends at most `bytes_max`, so that
    /// a reader without a bound does not take the machine's memory.
    pub fn start(bytes_max: u64, answer: impl Fn(&str) -> Answer + Clone + Send + 'static) -> Self {
        let address = host::free_address();
        let socket = Socket::bind(address).expect("the address is free");
        let (is_over, taken) = (Arc::<AtomicBool>::default(), Arc::<Taken>::default());
        let server = Self {
            address,
            is_over: Arc::clone(&is_over),
            taken: Arc::clone(&taken),
        };
        thread::spawn(move || {
            for connection in socket.incoming().flatten() {
                if is_over.load(Ordering::Relaxed) {
                    return;
                }
                let exchange = Exchange {
                    answer: answer.clone(),
                    bytes_max,
                    is_over: Arc::clone(&is_over),
                    taken: Arc::clone(&taken),
                };
                thread::spawn(move || exchange.serve(connection));
            }
        });
        server
    }

    /// Number of answers without end whose readers have closed the connection.
    pub fn closed(&self) -> u64 {
        self.taken.closed.load(Ordering::Relaxed)
    }

    /// Largest number of bytes of one answer that was taken by the sockets between and the reader.
    pub fn most_taken(&self) -> u64 {
        self.taken.most.load(Ordering::Relaxed)
    }
}

/// One connection.
struct Exchange<F> {
    answer: F,
    bytes_max: u64,
    is_over: Arc<AtomicBool>,
    taken: Arc<Taken>,
}

impl<F: Fn(&str) -> Answer> Exchange<F> {
    fn serve(&self, connection: TcpStream) {
        let _ = connection.set_write_timeout(Some(WRITE_TIMEOUT));
        let Ok(writer) = connection.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(connection);
        while let Some(request) = read_request(&mut reader) {
            match (self.answer)(&request) {
                Answer::Endless(start, again) => return self.flood(&writer, &start, &again),
                Answer::Trickle(pause) => return self.trickle(&writer, pause),
                Answer::Whole(status, body) => {
                    if write_whole(&writer, status, &body).is_err() {
                        return;
                    }
                }
            }
        }
    }

    fn flood(&self, mut writer: &TcpStream, start: &[u8], again: &[u8]) {
        let mut sent = 0;
        let mut bytes = start;
        while sent < self.bytes_max {
            // A write that is cut short has sent less, which is a fraction of what the sockets hold.
            if writer.write_all(bytes).is_err() {
                self.taken.closed.fetch_add(1, Ordering::Relaxed);
                return;
            }
            sent += bytes.len() as u64;
            self.taken.most.fetch_max(sent, Ordering::Relaxed);
            bytes = again;
        }
        self.wait_for_close(writer);
    }

    fn trickle(&self, mut writer: &TcpStream, pause: Duration) {
        let mut bytes = &b"HTTP/1.1 200 OK\r\n\r\n"[..];
        while writer.write_all(bytes).is_ok() && !self.is_over.load(Ordering::Relaxed) {
            bytes = b"z";
            thread::sleep(pause);
        }
        self.taken.closed.fetch_add(1, Ordering::Relaxed);
    }

    /// Holds a connection until its reader closes it.
    fn wait_for_close(&self, mut connection: &TcpStream) {
        let _ = connection.set_nonblocking(true);
        while !self.is_over.load(Ordering::Relaxed) {
            match connection.read(&mut [0; 64]) {
                Err(error) if error.kind() == std::io::ErrorKind::WouldBlock => {
                    thread::sleep(POLL_INTERVAL);
                }
                Ok(1..) => {}
                _ => break,
            }
        }
        self.taken.closed.fetch_add(1, Ordering::Relaxed);
    }
}

/// Reads a request; its method and path, or `None` at the end of the connection.
fn read_request(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut first = String::new();
    reader.read_line(&mut first).ok().filter(|read| *read > 0)?;
    let mut length = 0;
    loop {
        let mut line = String::new();
        reader.read_line(&mut line).ok().filter(|read| *read > 0)?;
        let line = line.trim().to_lowercase();
        if line.is_empty() {
            break;
        }
        if let Some(value) = line.strip_prefix("content-length:") {
            length = value.trim().parse().unwrap_or(0);
        }
    }
    reader.read_exact(&mut vec![0; length]).ok()?;
    let mut words = first.split(' ');
    Some(format!("{} {}", words.next()?, words.next()?))
}

fn write_whole(mut writer: &TcpStream, status: u16, body: &[u8]) -> std::io::Result<()> {
    let length = body.len();
    let head = format!("HTTP/1.1 {status} -\r\ncontent-length: {length}\r\n\r\n");
    writer.write_all(head.as_bytes())?;
    writer.write_all(body)
}
