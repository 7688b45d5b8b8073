//! HTTP/1.1, JSON and base64, as far as the stand-ins need them.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read};
use std::net::TcpStream;

/// A message as it was read.
#[derive(Debug, Default)]
pub struct Message {
    /// The request line or the status line.
    pub first_line: String,
    /// Header names in lower case.
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the message was read to its end.
    pub is_whole: bool,
}

impl Message {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn status(&self) -> u16 {
        let mut words = self.first_line.split(' ');
        words.nth(1).and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    /// Returns the path and the query of a request.
    pub fn target(&self) -> (&str, &str) {
        let target = self.first_line.split(' ').nth(1).unwrap_or_default();
        target.split_once('?').unwrap_or((target, ""))
    }
}

/// Reads one message; `None` if the connection ended before its first byte.
pub fn read_message(reader: &mut BufReader<TcpStream>) -> Option<Message> {
    let mut message = Message::default();
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    message.first_line = line.trim_end().to_owned();
    loop {
        line.clear();
        match reader.read_line(&mut line) {
            Ok(count) if count > 0 => {}
            _ => return Some(message),
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        if let Some((name, value)) = text.split_once(':') {
            let name = name.to_ascii_lowercase();
            message.headers.insert(name, value.trim().to_owned());
        }
    }
    let length = message.header("content-length").parse().unwrap_or(0);
    message.body = vec![0; length];
    message.is_whole = reader.read_exact(&mut message.body).is_ok();
    Some(message)
}

/// A JSON value; numbers are kept as text.
#[derive(Debug)]
pub enum Json {
    Text(String),
    Number(String),
    List(Vec<Json>),
    Table(BTreeMap<String, Json>),
}

impl Json {
    pub fn parse(bytes: &[u8]) -> Option<Self> {
        let text = std::str::from_utf8(bytes).ok()?;
        let mut rest = text.trim_start();
        Self::take(&mut rest)
    }

    pub fn get(&self, name: &str) -> Option<&Self> {
        match self {
            Self::Table(fields) => fields.get(name),
            _ => None,
        }
    }

    pub fn text(&self, name: &str) -> String {
        match self.get(name) {
            Some(Self::Text(text) | Self::Number(text)) => text.clone(),
            _ => String::new(),
        }
    }

    pub fn number(&self, name: &str) -> u64 {
        self.text(name).parse().unwrap_or(0)
    }

    pub fn list(&self, name: &str) -> &[Self] {
        match self.get(name) {
            Some(Self::List(values)) => values,
            _ => &[],
        }
    }

    fn take(rest: &mut &str) -> Option<Self> {
        *rest = rest.trim_start();
        match rest.chars().next()? {
            '"' => Some(Self::Text(take_text(rest)?)),
            '[' => {
                let mut values = Vec::new();
                *rest = rest[1..].trim_start();
                while !rest.starts_with(']') {
                    values.push(Self::take(rest)?);
                    *rest = rest.trim_start().trim_start_matches(',').trim_start();
                }
                *rest = &rest[1..];
                Some(Self::List(values))
            }
            '{' => {
                let mut fields = BTreeMap::new();
                *rest = rest[1..].trim_start();
                while !rest.starts_with('}') {
                    let name = take_text(rest)?;
                    *rest = rest.trim_start().strip_prefix(':')?;
                    fields.insert(name, Self::take(rest)?);
                    *rest = rest.trim_start().trim_start_matches(',').trim_start();
                }
                *rest = &rest[1..];
                Some(Self::Table(fields))
            }
            _ => {
                let end = rest.find([',', ']', '}']).unwrap_or(rest.len());
                let (word, tail) = rest.split_at(end);
                *rest = tail;
                Some(Self::Number(word.trim().to_owned()))
            }
        }
    }
}

/// Takes a quoted text without escapes, which these messages don't have.
fn take_text(rest: &mut &str) -> Option<String> {
    let inner = rest.trim_start().strip_prefix('"')?;
    let (text, tail) = inner.split_once('"')?;
    *rest = tail;
    Some(text.to_owned())
}

const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

pub fn to_base64(bytes: &[u8]) -> String {
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0_u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for index in 0..4 {
            if index <= chunk.len() {
                let digit = (word >> (18 - 6 * index)) & 63;
                text.push(char::from(ALPHABET[digit as usize]));
            } else {
                text.push('=');
            }
        }
    }
    text
}
