//! A small JSON reader, as much as the calls of the store need.

use std::collections::BTreeMap;

#[derive(Clone, Debug)]
pub enum Json {
    Null,
    Bool,
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        parser.value()
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Self::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Self::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> u64 {
        match self {
            Self::Number(number) => *number as u64,
            _ => 0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Self::List(list) => list,
            _ => &[],
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn peek(&mut self) -> Option<u8> {
        while self.bytes.get(self.at)?.is_ascii_whitespace() {
            self.at += 1;
        }
        self.bytes.get(self.at).copied()
    }

    fn take(&mut self, byte: u8) -> Option<()> {
        (self.peek()? == byte).then(|| self.at += 1)
    }

    fn value(&mut self) -> Option<Json> {
        match self.peek()? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.string().map(Json::Text),
            _ => self.word(),
        }
    }

    fn object(&mut self) -> Option<Json> {
        let mut fields = BTreeMap::new();
        self.take(b'{')?;
        while self.peek()? != b'}' {
            let name = self.string()?;
            self.take(b':')?;
            fields.insert(name, self.value()?);
            if self.take(b',').is_none() {
                break;
            }
        }
        self.take(b'}')?;
        Some(Json::Object(fields))
    }

    fn list(&mut self) -> Option<Json> {
        let mut items = Vec::new();
        self.take(b'[')?;
        while self.peek()? != b']' {
            items.push(self.value()?);
            if self.take(b',').is_none() {
                break;
            }
        }
        self.take(b']')?;
        Some(Json::List(items))
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut text = Vec::new();
        loop {
            match *self.bytes.get(self.at)? {
                b'"' => {
                    self.at += 1;
                    return String::from_utf8(text).ok();
                }
                b'\\' => {
                    let escaped = *self.bytes.get(self.at + 1)?;
                    self.at += 2;
                    match escaped {
                        b'n' => text.push(b'\n'),
                        b't' => text.push(b'\t'),
                        b'u' => self.at += 4,
                        other => text.push(other),
                    }
                }
                byte => {
                    text.push(byte);
                    self.at += 1;
                }
            }
        }
    }

    fn word(&mut self) -> Option<Json> {
        let start = self.at;
        let ends = |byte: u8| b",]}".contains(&byte) || byte.is_ascii_whitespace();
        while self.bytes.get(self.at).is_some_and(|byte| !ends(*byte)) {
            self.at += 1;
        }
        let word = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
        match word {
            "null" => Some(Json::Null),
            "true" | "false" => Some(Json::Bool),
            number => number.parse().ok().map(Json::Number),
        }
    }
}
