//! HTTP/1.1 over blocking sockets: reading messages and writing answers.

use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::TcpStream,
    time::Duration,
};

/// The head of a message, with its whole body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    /// Headers by their names in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn path(&self) -> &str {
        self.target().split('?').next().unwrap_or("")
    }

    /// A parameter of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let query = self.target().split_once('?')?.1;
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(key, _)| *key == name)
            .map(|(_, value)| unescape(value))
    }

    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|status| status.parse().ok())
            .unwrap_or(0)
    }
}

fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut plain = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        if bytes[at] == b'%' && at + 2 < bytes.len() {
            let code = u8::from_str_radix(&text[at + 1..at + 3], 16).unwrap_or(b'?');
            plain.push(code);
            at += 3;
        } else {
            plain.push(bytes[at]);
            at += 1;
        }
    }
    String::from_utf8_lossy(&plain).into_owned()
}

/// A connection with its read buffer.
pub struct Connection {
    pub reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    pub fn connect(address: &str, wait: Duration) -> io::Result<Self> {
        let address = address.parse().map_err(io::Error::other)?;
        Self::new(TcpStream::connect_timeout(&address, wait)?)
    }

    pub fn stream(&self) -> &TcpStream {
        self.reader.get_ref()
    }

    pub fn line(&mut self) -> io::Result<String> {
        let mut line = String::new();
        if self.reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(line.trim_end_matches(['\r', '\n']).to_owned())
    }

    /// Reads a head.
    pub fn head(&mut self) -> io::Result<Message> {
        let mut message = Message {
            first: self.line()?,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            if line.is_empty() {
                return Ok(message);
            }
            if let Some((name, value)) = line.split_once(':') {
                message
                    .headers
                    .insert(name.trim().to_ascii_lowercase(), value.trim().to_owned());
            }
        }
    }

    /// The next chunk of a chunked body; `None` at its end.
    pub fn chunk(&mut self) -> io::Result<Option<Vec<u8>>> {
        let line = self.line()?;
        let size = line.split(';').next().unwrap_or("").trim();
        let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
        let mut data = vec![0; size];
        self.reader.read_exact(&mut data)?;
        self.line()?;
        Ok((size > 0).then_some(data))
    }

    /// Reads a head and its whole body.
    pub fn message(&mut self) -> io::Result<Message> {
        let mut message = self.head()?;
        if message
            .header("transfer-encoding")
            .eq_ignore_ascii_case("chunked")
        {
            while let Some(data) = self.chunk()? {
                message.body.extend(data);
            }
        } else if let Ok(length) = message.header("content-length").parse() {
            let mut body = vec![0; length];
            self.reader.read_exact(&mut body)?;
            message.body = body;
        }
        Ok(message)
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Writes a whole answer.
    pub fn answer(&mut self, status: &str, headers: &str, body: &str) -> io::Result<()> {
        let length = body.len();
        let text = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n{body}");
        self.write(text.as_bytes())
    }
}
