//! Answers on their way back to the caller.

use futures::future::BoxFuture;
use h1::{Error, HeaderList};
use std::fmt;
use std::time::Duration;

/// A body that arrives part by part.
pub trait BodyStream: Send {
    /// Returns the next part; `None` after the last.
    ///
    /// An error means that the body is cut short and must not look whole.
    fn next(&mut self) -> BoxFuture<'_, Result<Option<Vec<u8>>, Error>>;
}

/// An answer's body.
pub enum AnswerBody {
    /// All of it.
    Whole(Vec<u8>),
    /// Parts, with the length if it is known.
    Stream(Option<u64>, Box<dyn BodyStream>),
}

impl fmt::Debug for AnswerBody {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Whole(bytes) => write!(f, "Whole({} bytes)", bytes.len()),
            Self::Stream(length, _) => write!(f, "Stream({length:?})"),
        }
    }
}

/// An upstream's answer.
#[derive(Debug)]
pub struct Answer {
    /// Status code.
    pub status: u16,
    /// End-to-end header lines.
    pub headers: HeaderList,
    /// The body.
    pub body: AnswerBody,
    /// Expected wait at the upstream for the next request of this rank.
    pub wait: Duration,
}

/// Largest body that is read whole before anything is passed on, in bytes.
pub(crate) const WHOLE_BELOW_BYTES: u64 = 64 << 10;

/// Returns whether a header line concerns one connection only, or is internal.
pub(crate) fn is_hop_header(name: &str) -> bool {
    h1::is_hop_header(name) || matches!(name, "content-length" | "expect")
}

/// Returns whether a header line is the system's own and not for callers to set.
pub(crate) fn is_internal_header(name: &str) -> bool {
    name.starts_with("trestle-")
        || matches!(
            name,
            "x-primary-epoch" | "x-shard" | "x-shard-epoch" | "x-not-run" | "x-verdict" | "x-cause"
        )
}
