//! Reading JSON settings field by field, so that every fault of a file is found in one pass.

use super::*;

/// One fault of a file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Where, as `listen.callers`.
    pub place: String,
    /// What is wrong and what is allowed.
    pub text: String,
}

/// One object of a file; fields are taken out as they are read.
pub struct Reader<'a> {
    faults: &'a mut Vec<Fault>,
    fields: Map<String, Value>,
    path: String,
}

impl Display for Fault {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        write!(formatter, "{}: {}", self.place, self.text)
    }
}

impl<'a> Reader<'a> {
    /// Notes a fault of a field.
    pub fn add_fault(&mut self, name: &str, text: impl Into<String>) {
        let place = self.place(name);
        self.faults.push(Fault {
            place,
            text: text.into(),
        });
    }

    /// An address and port; a fault if it is missing.
    pub fn address(&mut self, name: &str) -> SocketAddr {
        let read = self.string(name, None).map(|text| text.parse());
        if let Some(Ok(address)) = read {
            return address;
        }
        if read.is_some() {
            self.add_fault(name, "must be an address and a port, as 10.0.0.1:8080");
        }
        SocketAddr::from(([0, 0, 0, 0], 0))
    }

    /// An address and port, if given.
    pub fn address_or_none(&mut self, name: &str) -> Option<SocketAddr> {
        if matches!(self.fields.get(name), None | Some(Value::Null)) {
            self.fields.remove(name);
            return None;
        }
        Some(self.address(name))
    }

    /// One of the `known` ways, by its name.
    pub fn choice<T: Copy>(&mut self, name: &str, options: &[(&str, T)], default: T) -> T {
        if !self.fields.contains_key(name) {
            return default;
        }
        let Some(text) = self.string(name, None) else {
            return default;
        };
        if let Some((_, value)) = options.iter().find(|(option, _)| *option == text) {
            return *value;
        }
        let names: Vec<&str> = options.iter().map(|(option, _)| *option).collect();
        let text = format!("`{text}` must be one of {}", names.join(", "));
        self.add_fault(name, text);
        default
    }

    /// Notes every field that was not read.
    pub fn finish(mut self) {
        let unknown: Vec<String> = self.fields.keys().cloned().collect();
        for name in unknown {
            self.add_fault(&name, "no such setting");
        }
    }

    /// True or false.
    pub fn flag(&mut self, name: &str, default: bool) -> bool {
        match self.fields.remove(name) {
            None => default,
            Some(Value::Bool(value)) => value,
            Some(value) => {
                self.add_fault(name, format!("{value} must be true or false"));
                default
            }
        }
    }

    /// A number within `range`, with a fraction if need be.
    pub fn float(&mut self, name: &str, default: f64, range: RangeInclusive<f64>) -> f64 {
        let Some(value) = self.fields.remove(name) else {
            return default;
        };
        if let Some(number) = value.as_f64().filter(|number| range.contains(number)) {
            return number;
        }
        let (low, high) = (range.start(), range.end());
        self.add_fault(
            name,
            format!("{value} must be a number from {low} to {high}"),
        );
        default
    }

    /// A share within 0 to 1.
    pub fn fraction(&mut self, name: &str, default: f64) -> f64 {
        self.float(name, default, 0.0..=1.0)
    }

    /// The object at the top of a file.
    pub fn new(value: Value, faults: &'a mut Vec<Fault>) -> Self {
        Self::object(value, faults, String::new())
    }

    /// A whole number within `range`.
    pub fn number(&mut self, name: &str, default: u64, range: RangeInclusive<u64>) -> u64 {
        let Some(value) = self.fields.remove(name) else {
            return default;
        };
        if let Some(number) = value.as_u64().filter(|number| range.contains(number)) {
            return number;
        }
        let (low, high) = (range.start(), range.end());
        let text = format!("{value} must be a whole number from {low} to {high}");
        self.add_fault(name, text);
        default
    }

    /// Reads an object within this one; all its fields have defaults if it is missing.
    pub fn section(&mut self, name: &str) -> Reader<'_> {
        let value = self
            .fields
            .remove(name)
            .unwrap_or_else(|| Value::Object(Map::new()));
        let path = self.place(name);
        Reader::object(value, self.faults, path)
    }

    /// Reads an object within this one, if it is given.
    pub fn section_or_none(&mut self, name: &str) -> Option<Reader<'_>> {
        let value = self.fields.remove(name)?;
        let path = self.place(name);
        Some(Reader::object(value, self.faults, path))
    }

    /// A text that is not empty; a fault if it is missing and has no default.
    pub fn string(&mut self, name: &str, default: Option<&str>) -> Option<String> {
        match self.fields.remove(name) {
            None if default.is_some() => default.map(str::to_owned),
            Some(Value::String(text)) if !text.is_empty() => Some(text),
            None => {
                self.add_fault(name, "is missing");
                None
            }
            Some(value) => {
                self.add_fault(name, format!("{value} must be a text that is not empty"));
                None
            }
        }
    }

    fn object(value: Value, faults: &'a mut Vec<Fault>, path: String) -> Self {
        let fields = match value {
            Value::Object(fields) => fields,
            other => {
                faults.push(Fault {
                    place: if path.is_empty() {
                        "file".into()
                    } else {
                        path.clone()
                    },
                    text: format!("{other} must be an object"),
                });
                Map::new()
            }
        };
        Self {
            faults,
            fields,
            path,
        }
    }

    fn place(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        }
    }
}
