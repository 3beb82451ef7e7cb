//! HTTP/1.1 with bodies that have a length.

use std::{
    io::{self, BufRead, BufReader, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

/// The head and the body of a message.
pub struct Message {
    pub body: Vec<u8>,
    headers: Vec<(String, String)>,
    /// Request line or status line.
    pub line: String,
}

impl Message {
    /// Value of a header; the name is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut headers = self.headers.iter();
        headers
            .find(|(other, _)| other == name)
            .map(|(_, value)| value.as_str())
    }

    /// Method and target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.line.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message; an error at the end of the connection.
pub fn read(reader: &mut impl BufRead) -> io::Result<Message> {
    let line = read_line(reader)?;
    let mut headers = Vec::new();
    loop {
        let line = read_line(reader)?;
        let Some((name, value)) = line.split_once(':') else {
            break;
        };
        headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    }
    let mut message = Message {
        body: Vec::new(),
        headers,
        line,
    };
    let length = message
        .header("content-length")
        .and_then(|length| length.parse().ok());
    message.body = vec![0; length.unwrap_or(0)];
    reader.read_exact(&mut message.body)?;
    Ok(message)
}

fn read_line(reader: &mut impl BufRead) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end().to_owned())
}

/// An answer with a body.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut bytes = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        bytes.push_str(&format!("{name}: {value}\r\n"));
    }
    bytes.push_str("\r\n");
    [bytes.into_bytes(), body.to_vec()].concat()
}

/// A server, until it is closed.
#[derive(Clone)]
pub struct Server {
    pub address: SocketAddr,
    is_closed: Arc<AtomicBool>,
}

impl Server {
    /// Refuses further connections.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::Relaxed);
    }
}

/// An address with a free port.
pub fn free_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Serves connections, each in a thread; `handle` gives the answer to a request.
pub fn serve(
    address: SocketAddr,
    handle: impl Fn(&Message) -> Vec<u8> + Send + Sync + 'static,
) -> io::Result<Server> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    let server = Server {
        address: listener.local_addr()?,
        is_closed: Arc::default(),
    };
    let (handle, is_closed) = (Arc::new(handle), server.is_closed.clone());
    std::thread::spawn(move || {
        while !is_closed.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                std::thread::sleep(Duration::from_millis(1));
                continue;
            };
            let handle = handle.clone();
            std::thread::spawn(move || {
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                let mut reader = BufReader::new(stream);
                while let Ok(request) = read(&mut reader) {
                    if reader.get_mut().write_all(&handle(&request)).is_err() {
                        return;
                    }
                }
            });
        }
    });
    Ok(server)
}

/// Sends a request on a connection of its own; an error if no whole answer comes in time.
pub fn ask(address: SocketAddr, request: &[u8], time_max: Duration) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(time_max))?;
    stream.set_nodelay(true)?;
    stream.write_all(request)?;
    read(&mut BufReader::new(stream))
}
