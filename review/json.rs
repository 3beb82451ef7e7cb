//! The little JSON and base64 that the stand-ins need.

/// A value that was read.
#[derive(Clone, Debug)]
pub enum Value {
    Array(Vec<Value>),
    Number(f64),
    Object(Vec<(String, Value)>),
    Other,
    Text(String),
}

impl Value {
    /// A field of an object.
    pub fn get(&self, name: &str) -> Option<&Value> {
        let Self::Object(fields) = self else {
            return None;
        };
        fields
            .iter()
            .find(|(key, _)| key == name)
            .map(|(_, value)| value)
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

    pub fn array(&self) -> &[Value] {
        match self {
            Self::Array(values) => values,
            _ => &[],
        }
    }
}

/// Reads a value.
pub fn parse(text: &[u8]) -> Option<Value> {
    let mut at = 0;
    value(text, &mut at)
}

fn skip(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn value(text: &[u8], at: &mut usize) -> Option<Value> {
    skip(text, at);
    match text.get(*at)? {
        b'"' => Some(Value::Text(string(text, at)?)),
        b'[' => {
            *at += 1;
            let mut values = Vec::new();
            loop {
                skip(text, at);
                match text.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Value::Array(values));
                    }
                    b',' => *at += 1,
                    _ => values.push(value(text, at)?),
                }
            }
        }
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip(text, at);
                match text.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Value::Object(fields));
                    }
                    b',' | b':' => *at += 1,
                    _ => {
                        let name = string(text, at)?;
                        skip(text, at);
                        *at += 1;
                        fields.push((name, value(text, at)?));
                    }
                }
            }
        }
        _ => {
            let from = *at;
            let ends = |byte: &u8| matches!(byte, b',' | b']' | b'}') || byte.is_ascii_whitespace();
            while text.get(*at).is_some_and(|byte| !ends(byte)) {
                *at += 1;
            }
            let word = std::str::from_utf8(&text[from..*at]).ok()?;
            Some(word.parse().map_or(Value::Other, Value::Number))
        }
    }
}

fn string(text: &[u8], at: &mut usize) -> Option<String> {
    *at += 1;
    let mut bytes = Vec::new();
    loop {
        match text.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(bytes).ok();
            }
            b'\\' => {
                bytes.push(*text.get(*at + 1)?);
                *at += 2;
            }
            byte => {
                bytes.push(*byte);
                *at += 1;
            }
        }
    }
}

/// Standard base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let all = [
            part[0],
            part.get(1).copied().unwrap_or(0),
            part.get(2).copied().unwrap_or(0),
        ];
        let number = u32::from(all[0]) << 16 | u32::from(all[1]) << 8 | u32::from(all[2]);
        for place in 0..4 {
            if place <= part.len() {
                text.push(DIGITS[(number >> (18 - 6 * place) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}
