//! Messages that do not mean anything.

use std::fmt;

/// A message that could not be converted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireError {
    /// The message's structure is broken.
    Structure(String),
    /// A row's key names no kind of row.
    UnknownRow(String),
    /// A row's content does not fit its key.
    Content(String),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Structure(what) => write!(f, "broken message: {what}"),
            Self::UnknownRow(key) => write!(f, "no kind of row has the key `{key}`"),
            Self::Content(what) => write!(f, "content does not fit its row: {what}"),
        }
    }
}

impl std::error::Error for WireError {}

impl From<capnp::Error> for WireError {
    fn from(error: capnp::Error) -> Self {
        Self::Structure(error.to_string())
    }
}

impl From<std::str::Utf8Error> for WireError {
    fn from(error: std::str::Utf8Error) -> Self {
        Self::Structure(error.to_string())
    }
}
