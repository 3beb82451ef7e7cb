//! A caller of the users' platform, with every header that one sends.

use super::*;
use hyper::HeaderMap;
use site::KEY;

/// One request of a caller.
pub struct Ask {
    /// Body.
    pub body: Vec<u8>,
    /// Headers by name.
    pub headers: Vec<(&'static str, String)>,
    /// Path.
    pub path: &'static str,
}

/// What a caller got.
pub struct Got {
    /// Body, as far as it was read.
    pub body: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Status.
    pub status: StatusCode,
    /// Whether the answer ended as it should.
    pub whole: bool,
}

/// What callers bring.
#[derive(Clone, Copy, Debug)]
pub enum Work {
    /// Calls that may be repeated.
    Call,
    /// Calls that may run once.
    Once,
    /// Streams.
    Stream,
}

impl Work {
    /// A request under the name of one try.
    pub fn ask(self, run: &str) -> Ask {
        match self {
            Self::Call => Ask::again(run),
            Self::Once => Ask::once(run),
            Self::Stream => Ask::stream(run),
        }
    }
}

impl Ask {
    /// A request with the customer's key, under the name of one try.
    pub fn new(path: &'static str, run: &str) -> Self {
        Self {
            body: b"what is asked".to_vec(),
            headers: Vec::new(),
            path,
        }
        .with("host", "a.example")
        .with("authorization", &format!("Token {KEY}"))
        .with("wellplank-request-id", run)
        .with("wellplank-timeout-ms", "9000")
    }

    /// A call that may be repeated.
    pub fn again(run: &str) -> Self {
        Self::new("/again/1", run)
    }

    /// A call that may run once.
    pub fn once(run: &str) -> Self {
        Self::new("/once/1", run)
    }

    /// A stream.
    pub fn stream(run: &str) -> Self {
        Self::new("/stream/1", run)
            .with("wellplank-prefix-hash", "5c1e07a2:200,e4402b7d:5000")
            .with("wellplank-token-usage", "5200,700")
    }

    /// The same for a stream that its caller takes up behind an event, which another try began.
    #[must_use]
    pub fn taking_up(self, began: &str, position: u64) -> Self {
        self.with("last-event-id", &position.to_string())
            .with("resumes", began)
    }

    /// The same with a body of this length.
    #[must_use]
    pub fn body(mut self, bytes: usize) -> Self {
        self.body = vec![b'x'; bytes];
        self
    }

    /// The same with a header.
    #[must_use]
    pub fn with(mut self, name: &'static str, value: &str) -> Self {
        self.headers.retain(|(other, _)| *other != name);
        self.headers.push((name, value.into()));
        self
    }

    /// Sends it and reads the head of the answer.
    pub async fn open(&self, address: SocketAddr) -> hyper::Response<hyper::body::Incoming> {
        self.try_open(address).await.expect("an answer begins")
    }

    /// The same; an error if no answer begins.
    pub async fn try_open(
        &self,
        address: SocketAddr,
    ) -> Result<hyper::Response<hyper::body::Incoming>, hyper_util::client::legacy::Error> {
        let uri = format!("http://{address}{}", self.path);
        let mut request = hyper::Request::post(uri);
        for (name, value) in &self.headers {
            request = request.header(*name, value);
        }
        let request = request.body(Full::new(Bytes::from(self.body.clone())));
        let request = request.expect("names and values are plain");
        http::client().request(request).await
    }

    /// Sends it and reads the whole answer.
    pub async fn send(&self, address: SocketAddr) -> Got {
        let response = self.open(address).await;
        Got::read(response, usize::MAX).await
    }

    /// The bytes of the request, as a caller writes them on a connection of its own.
    pub fn bytes(&self) -> Vec<u8> {
        let headers = self.headers.iter();
        let headers: String = headers
            .flat_map(|(name, value)| [name, ": ", value, "\r\n"])
            .collect();
        let (path, length) = (self.path, self.body.len());
        let head = format!("POST {path} HTTP/1.1\r\n{headers}content-length: {length}\r\n\r\n");
        [head.as_bytes(), &self.body].concat()
    }
}

impl Got {
    /// Reads an answer up to its end, or until it has some bytes.
    pub async fn read(response: hyper::Response<hyper::body::Incoming>, most: usize) -> Self {
        let (parts, mut body) = response.into_parts();
        let mut bytes = Vec::new();
        let mut whole = true;
        while let Some(frame) = body.frame().await {
            match frame {
                Ok(frame) => bytes.extend_from_slice(&frame.into_data().unwrap_or_default()),
                Err(_) => whole = false,
            }
            if !whole || bytes.len() >= most {
                break;
            }
        }
        Self {
            body: String::from_utf8(bytes).unwrap(),
            headers: parts.headers,
            status: parts.status,
            whole,
        }
    }

    /// A header's value; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .map_or("", |value| value.to_str().unwrap())
    }
}
