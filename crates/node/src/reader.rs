//! Reads JSON settings field by field, so that all faults of a file are found in one pass.

use super::*;

/// An invalid, missing or unknown setting.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Fault {
    /// Path of the setting, such as `listen.callers`; `file` for the whole file.
    pub place: String,
    /// What is wrong, and which values are valid.
    pub text: String,
}

/// Reads one JSON object; fields are removed as they are read.
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
    /// Records a fault of a field.
    pub fn add_fault(&mut self, name: &str, text: impl Into<String>) {
        let place = self.place(name);
        self.faults.push(Fault {
            place,
            text: text.into(),
        });
    }

    /// Reads a required IP address and port.
    pub fn address(&mut self, name: &str) -> SocketAddr {
        let read = self.string(name, None).map(|text| text.parse());
        if let Some(Ok(address)) = read {
            return address;
        }
        if read.is_some() {
            self.add_fault(
                name,
                "must be an IP address and port, such as 10.0.0.1:8080",
            );
        }
        SocketAddr::from(([0, 0, 0, 0], 0))
    }

    /// Reads an optional IP address and port.
    pub fn address_or_none(&mut self, name: &str) -> Option<SocketAddr> {
        if matches!(self.fields.get(name), None | Some(Value::Null)) {
            self.fields.remove(name);
            return None;
        }
        Some(self.address(name))
    }

    /// Reads one of `options` by its name.
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

    /// Records every field that was not read as unknown.
    pub fn finish(mut self) {
        let unknown: Vec<String> = self.fields.keys().cloned().collect();
        for name in unknown {
            self.add_fault(&name, "unknown setting");
        }
    }

    /// Reads a boolean.
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

    /// Reads a floating-point number within `range`.
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

    /// Reads a floating-point number from 0 to 1.
    pub fn fraction(&mut self, name: &str, default: f64) -> f64 {
        self.float(name, default, 0.0..=1.0)
    }

    /// Reads the top-level object of a file; faults are added to `faults`.
    pub fn new(value: Value, faults: &'a mut Vec<Fault>) -> Self {
        Self::object(value, faults, String::new())
    }

    /// Reads a time in milliseconds within `range`; fractions are rounded.
    pub fn millis(&mut self, name: &str, default: u64, range: RangeInclusive<u64>) -> u64 {
        let range = *range.start() as f64..=*range.end() as f64;
        self.float(name, default as f64, range).round() as u64
    }

    /// Reads an integer within `range`.
    pub fn number(&mut self, name: &str, default: u64, range: RangeInclusive<u64>) -> u64 {
        let Some(value) = self.fields.remove(name) else {
            return default;
        };
        if let Some(number) = value.as_u64().filter(|number| range.contains(number)) {
            return number;
        }
        let (low, high) = (range.start(), range.end());
        let text = format!("{value} must be an integer from {low} to {high}");
        self.add_fault(name, text);
        default
    }

    /// Reads a nested object; a missing one is read as if it were empty.
    pub fn section(&mut self, name: &str) -> Reader<'_> {
        let value = self
            .fields
            .remove(name)
            .unwrap_or_else(|| Value::Object(Map::new()));
        let path = self.place(name);
        Reader::object(value, self.faults, path)
    }

    /// Reads an optional nested object.
    pub fn section_or_none(&mut self, name: &str) -> Option<Reader<'_>> {
        let value = self.fields.remove(name)?;
        let path = self.place(name);
        Some(Reader::object(value, self.faults, path))
    }

    /// Reads a non-empty string, which is required unless there is a default.
    pub fn string(&mut self, name: &str, default: Option<&str>) -> Option<String> {
        match self.fields.remove(name) {
            None if default.is_some() => default.map(str::to_owned),
            Some(Value::String(text)) if !text.is_empty() => Some(text),
            None => {
                self.add_fault(name, "is missing");
                None
            }
            Some(value) => {
                self.add_fault(name, format!("{value} must be a non-empty string"));
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
