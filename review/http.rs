//! A small HTTP/1.1 reader and writer for the stand-ins.

use std::{
    io::{self, BufRead, BufReader, Read, Write},
    net::TcpStream,
};

/// Headers with names in lower case.
pub type Headers = Vec<(String, String)>;

/// A request as it was received.
pub struct Request {
    pub body: Vec<u8>,
    pub headers: Headers,
    pub method: String,
    pub target: String,
}

/// The head of a response.
pub struct Head {
    pub headers: Headers,
    pub status: u16,
}

impl Request {
    pub fn header(&self, name: &str) -> Option<&str> {
        header(&self.headers, name)
    }

    /// Path without query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Decoded parameter of the query.
    pub fn parameter(&self, name: &str) -> Option<String> {
        let query = self.target.split_once('?')?.1;
        let pair = query
            .split('&')
            .find_map(|pair| pair.split_once('=').filter(|(key, _)| *key == name))?;
        Some(decode(pair.1))
    }
}

/// Value of a header; the name is in lower case.
pub fn header<'a>(headers: &'a Headers, name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|(key, _)| key == name);
    found.map(|(_, value)| value.as_str())
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits = [rest.next().unwrap_or(b'0'), rest.next().unwrap_or(b'0')];
            let digits = String::from_utf8_lossy(&digits).into_owned();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

fn line(reader: &mut BufReader<TcpStream>) -> io::Result<Option<String>> {
    let mut text = String::new();
    if reader.read_line(&mut text)? == 0 {
        return Ok(None);
    }
    Ok(Some(text.trim_end().to_owned()))
}

fn headers(reader: &mut BufReader<TcpStream>) -> io::Result<Headers> {
    let mut headers = Headers::new();
    loop {
        let text = line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        if text.is_empty() {
            return Ok(headers);
        }
        if let Some((name, value)) = text.split_once(':') {
            headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// The next chunk of a chunked body; empty at its end.
pub fn chunk(reader: &mut BufReader<TcpStream>) -> io::Result<Vec<u8>> {
    let text = line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let size = usize::from_str_radix(text.split(';').next().unwrap_or_default().trim(), 16);
    let size = size.map_err(|_| io::ErrorKind::InvalidData)?;
    let mut bytes = vec![0; size];
    reader.read_exact(&mut bytes)?;
    line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    Ok(bytes)
}

/// Whether a body comes in chunks.
pub fn is_chunked(headers: &Headers) -> bool {
    header(headers, "transfer-encoding").is_some_and(|value| value.contains("chunked"))
}

/// The whole body that follows a head.
pub fn body(reader: &mut BufReader<TcpStream>, headers: &Headers) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if is_chunked(headers) {
        loop {
            let bytes = chunk(reader)?;
            if bytes.is_empty() {
                return Ok(body);
            }
            body.extend_from_slice(&bytes);
        }
    }
    let length = header(headers, "content-length").and_then(|text| text.parse().ok());
    body.resize(length.unwrap_or(0), 0);
    reader.read_exact(&mut body)?;
    Ok(body)
}

/// Reads a request; `None` if the connection has ended.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Request>> {
    let Some(first) = line(reader)? else {
        return Ok(None);
    };
    let mut words = first.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default().to_owned();
    let headers = headers(reader)?;
    let body = body(reader, &headers)?;
    Ok(Some(Request {
        body,
        headers,
        method,
        target,
    }))
}

/// Reads the head of a response.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Head> {
    let first = line(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let status = first.split(' ').nth(1).and_then(|text| text.parse().ok());
    let status = status.ok_or(io::ErrorKind::InvalidData)?;
    let headers = headers(reader)?;
    Ok(Head { headers, status })
}

/// Writes a message with a length.
pub fn write_message(
    stream: &mut TcpStream,
    first: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("{first}\r\ncontent-length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Sends a request on a new connection and reads the whole response.
pub fn exchange(
    address: &str,
    method: &str,
    target: &str,
    body: &[u8],
) -> io::Result<(u16, Vec<u8>)> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    let first = format!("{method} {target} HTTP/1.1");
    write_message(&mut stream, &first, &[("host", "stand-in")], body)?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    let body = self::body(&mut reader, &head.headers)?;
    Ok((head.status, body))
}
