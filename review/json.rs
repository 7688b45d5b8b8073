//! A small JSON parser for the calls that arrive at the stand-ins.

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    /// `null`, `true` or `false`, which no call depends on.
    Literal,
    /// A number, as it was written.
    Number(String),
    /// A string.
    Text(String),
    /// An array.
    List(Vec<Json>),
    /// An object.
    Object(BTreeMap<String, Json>),
}

impl Json {
    /// Parses a document; returns `None` if it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let mut parser = Parser {
            bytes: text.as_bytes(),
            at: 0,
        };
        let value = parser.value()?;
        parser.skip_space();
        (parser.at == parser.bytes.len()).then_some(value)
    }

    /// Returns a field of an object.
    pub fn field(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    /// Returns a text field, or an empty text.
    pub fn text(&self, name: &str) -> &str {
        match self.field(name) {
            Some(Self::Text(text)) => text,
            _ => "",
        }
    }

    /// Returns a field that is a whole number, or 0.
    pub fn number(&self, name: &str) -> u64 {
        match self.field(name) {
            Some(Self::Number(digits)) => digits.parse().unwrap_or(0),
            _ => 0,
        }
    }

    /// Returns the elements of a list field.
    pub fn list(&self, name: &str) -> &[Self] {
        match self.field(name) {
            Some(Self::List(items)) => items,
            _ => &[],
        }
    }
}

struct Parser<'a> {
    bytes: &'a [u8],
    at: usize,
}

impl Parser<'_> {
    fn skip_space(&mut self) {
        while self.peek().is_some_and(|byte| byte.is_ascii_whitespace()) {
            self.at += 1;
        }
    }

    fn peek(&self) -> Option<u8> {
        self.bytes.get(self.at).copied()
    }

    fn expect(&mut self, byte: u8) -> Option<()> {
        self.skip_space();
        (self.peek()? == byte).then(|| self.at += 1)
    }

    /// Consumes `byte` if it comes next.
    fn accept(&mut self, byte: u8) -> bool {
        self.expect(byte).is_some()
    }

    fn value(&mut self) -> Option<Json> {
        self.skip_space();
        match self.peek()? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.text().map(Json::Text),
            b'-' | b'0'..=b'9' => {
                let start = self.at;
                while self
                    .peek()
                    .is_some_and(|byte| byte.is_ascii_alphanumeric() || b"+-.".contains(&byte))
                {
                    self.at += 1;
                }
                let digits = std::str::from_utf8(&self.bytes[start..self.at]).ok()?;
                Some(Json::Number(digits.to_owned()))
            }
            _ => {
                while self.peek().is_some_and(|byte| byte.is_ascii_alphabetic()) {
                    self.at += 1;
                }
                Some(Json::Literal)
            }
        }
    }

    fn object(&mut self) -> Option<Json> {
        let mut fields = BTreeMap::new();
        self.expect(b'{')?;
        if self.accept(b'}') {
            return Some(Json::Object(fields));
        }
        loop {
            self.skip_space();
            let name = self.text()?;
            self.expect(b':')?;
            fields.insert(name, self.value()?);
            if self.accept(b',') {
                continue;
            }
            self.expect(b'}')?;
            return Some(Json::Object(fields));
        }
    }

    fn list(&mut self) -> Option<Json> {
        let mut items = Vec::new();
        self.expect(b'[')?;
        if self.accept(b']') {
            return Some(Json::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.accept(b',') {
                continue;
            }
            self.expect(b']')?;
            return Some(Json::List(items));
        }
    }

    fn text(&mut self) -> Option<String> {
        self.expect(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = self.peek()?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escaped = self.peek()?;
                    self.at += 1;
                    match escaped {
                        b'n' => bytes.push(b'\n'),
                        b'r' => bytes.push(b'\r'),
                        b't' => bytes.push(b'\t'),
                        b'u' => {
                            let digits = self.bytes.get(self.at..self.at + 4)?;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let code = u32::from_str_radix(digits, 16).ok()?;
                            let character = char::from_u32(code)?;
                            bytes.extend_from_slice(character.to_string().as_bytes());
                            self.at += 4;
                        }
                        other => bytes.push(other),
                    }
                }
                other => bytes.push(other),
            }
        }
    }
}
