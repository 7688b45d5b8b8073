//! Errors of reading a message.

use std::fmt;
use std::io;

/// Result of reading or writing a message.
pub type Result<T> = std::result::Result<T, Error>;

/// Why a message could not be read.
#[derive(Debug)]
pub enum Error {
    /// The connection failed.
    Io(io::Error),
    /// The message violates the protocol or is ambiguous.
    Malformed(&'static str),
    /// The head exceeds its limit.
    HeadTooLarge,
    /// The body exceeds its limit.
    BodyTooLarge,
    /// The connection closed before the end of the message.
    Truncated,
}

impl Error {
    /// Returns the status code for the client; `None` if the connection has failed and
    /// no response can be sent.
    pub fn status(&self) -> Option<u16> {
        match self {
            Self::Io(_) | Self::Truncated => None,
            Self::Malformed(_) => Some(400),
            Self::HeadTooLarge => Some(431),
            Self::BodyTooLarge => Some(413),
        }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Io(error) => write!(f, "connection failed: {error}"),
            Self::Malformed(reason) => write!(f, "malformed message: {reason}"),
            Self::HeadTooLarge => f.write_str("head exceeds its limit"),
            Self::BodyTooLarge => f.write_str("body exceeds its limit"),
            Self::Truncated => f.write_str("connection closed before the end of the message"),
        }
    }
}

impl std::error::Error for Error {}

impl From<io::Error> for Error {
    fn from(error: io::Error) -> Self {
        if error.kind() == io::ErrorKind::UnexpectedEof {
            return Self::Truncated;
        }
        Self::Io(error)
    }
}
