//! Errors of converting messages.

use std::fmt;

/// Why a message could not be converted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireError {
    /// The message is malformed.
    Structure(String),
    /// The key of a row belongs to no known kind of row.
    UnknownRow(String),
    /// The content of a row is not valid for its key.
    Content(String),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Structure(reason) => write!(f, "broken message: {reason}"),
            Self::UnknownRow(key) => write!(f, "no kind of row has the key `{key}`"),
            Self::Content(reason) => write!(f, "content does not fit its row: {reason}"),
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
