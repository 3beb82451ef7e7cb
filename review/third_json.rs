//! JSON, as far as the calls of the store need it, and base64.

/// A value; numbers are whole.
#[derive(Clone, Debug)]
pub enum Json {
    Array(Vec<Json>),
    Number(u64),
    Object(Vec<(String, Json)>),
    Other,
    Text(String),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Self> {
        let Self::Object(fields) = self else {
            return None;
        };
        fields
            .iter()
            .find(|(other, _)| other == name)
            .map(|(_, value)| value)
    }

    pub fn items(&self) -> &[Self] {
        if let Self::Array(items) = self {
            items
        } else {
            &[]
        }
    }

    pub fn number(&self) -> u64 {
        if let Self::Number(number) = self {
            *number
        } else {
            0
        }
    }

    pub fn text(&self) -> &str {
        if let Self::Text(text) = self {
            text
        } else {
            ""
        }
    }

    /// Parses a text that is sound.
    pub fn parse(bytes: &[u8]) -> Self {
        Parser { at: 0, bytes }.value()
    }
}

struct Parser<'a> {
    at: usize,
    bytes: &'a [u8],
}

impl Parser<'_> {
    fn peek(&mut self) -> u8 {
        while self.bytes.get(self.at).is_some_and(u8::is_ascii_whitespace) {
            self.at += 1;
        }
        self.bytes.get(self.at).copied().unwrap_or(0)
    }

    fn value(&mut self) -> Json {
        match self.peek() {
            b'{' => {
                let mut fields = Vec::new();
                self.list(b'}', |parser| {
                    parser.peek();
                    let name = parser.text();
                    parser.peek();
                    parser.at += 1;
                    let value = parser.value();
                    fields.push((name, value));
                });
                Json::Object(fields)
            }
            b'[' => {
                let mut items = Vec::new();
                self.list(b']', |parser| items.push(parser.value()));
                Json::Array(items)
            }
            b'"' => Json::Text(self.text()),
            _ => {
                let from = self.at;
                while !matches!(self.bytes.get(self.at), None | Some(b',' | b'}' | b']')) {
                    self.at += 1;
                }
                let word = String::from_utf8_lossy(&self.bytes[from..self.at]);
                word.trim().parse().map_or(Json::Other, Json::Number)
            }
        }
    }

    fn list(&mut self, end: u8, mut item: impl FnMut(&mut Self)) {
        self.at += 1;
        while !matches!(self.peek(), 0) {
            match self.peek() {
                b',' => self.at += 1,
                byte if byte == end => {
                    self.at += 1;
                    return;
                }
                _ => item(self),
            }
        }
    }

    fn text(&mut self) -> String {
        self.at += 1;
        let from = self.at;
        while !matches!(self.bytes.get(self.at), None | Some(b'"')) {
            self.at += 1 + usize::from(self.bytes[self.at] == b'\\');
        }
        let text = String::from_utf8_lossy(&self.bytes[from..self.at]).into_owned();
        self.at += 1;
        text
    }
}

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const SIGNS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index: usize| u32::from(chunk.get(index).copied().unwrap_or(0));
        let bits = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let sign = SIGNS[(bits >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= chunk.len() {
                sign as char
            } else {
                '='
            });
        }
    }
    text
}
