//! Reading and writing of HTTP/1.1 messages on blocking sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A connection with a read buffer.
pub struct Connection {
    /// The socket.
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The request line or status line.
    pub first_line: String,
    /// Header lines, names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// Returns the first value of a header; its name is in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let line = self.headers.iter().find(|(known, _)| known == name)?;
        Some(&line.1)
    }

    /// Returns a word of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first_line.split(' ').nth(index).unwrap_or_default()
    }

    /// Returns the status code of an answer.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or(0)
    }

    /// Returns the body as text.
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }
}

impl Connection {
    /// Wraps a socket.
    pub fn new(stream: TcpStream) -> Self {
        // Small messages must not be delayed; a socket that has failed fails later.
        let _unused = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads a message; returns `None` if the connection ended before its first byte.
    pub fn read(&mut self) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(at) = find(&self.buffer, b"\r\n\r\n") {
                break at + 4;
            }
            if !self.fill()? {
                if self.buffer.is_empty() {
                    return Ok(None);
                }
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        };
        let head: Vec<u8> = self.buffer.drain(..end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let mut message = Message {
            first_line: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        for line in lines {
            if let Some((name, value)) = line.split_once(':') {
                let name = name.to_ascii_lowercase();
                message.headers.push((name, value.trim().to_owned()));
            }
        }
        message.body = self.read_body(&message)?;
        Ok(Some(message))
    }

    fn read_body(&mut self, message: &Message) -> io::Result<Vec<u8>> {
        if message.header("transfer-encoding").is_some() {
            return self.read_chunks();
        }
        let length = message.header("content-length");
        let length = length.and_then(|digits| digits.parse().ok()).unwrap_or(0);
        self.read_exactly(length)
    }

    fn read_chunks(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let line = self.read_line()?;
            let size = usize::from_str_radix(line.trim(), 16).unwrap_or(0);
            if size == 0 {
                while !self.read_line()?.is_empty() {}
                return Ok(body);
            }
            body.extend(self.read_exactly(size)?);
            self.read_line()?;
        }
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = find(&self.buffer, b"\r\n") {
                let line: Vec<u8> = self.buffer.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn read_exactly(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; 16 << 10];
        let bytes = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..bytes]);
        Ok(bytes > 0)
    }

    /// Writes bytes.
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes an answer with a body of a stated length.
    pub fn answer(&mut self, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
        let length = body.len();
        let mut bytes =
            format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {length}\r\n\r\n").into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|part| part == pattern)
}
