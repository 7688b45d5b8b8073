//! Answers of upstreams, as they are passed back to the client.

use futures::future::BoxFuture;
use h1::{Error, HeaderList};
use std::fmt;
use std::time::Duration;

/// A body that is read in parts.
pub trait BodyStream: Send {
    /// Returns the next part; `None` after the last.
    ///
    /// An error means that the body was cut short and must not be passed on as if it
    /// were complete.
    fn next(&mut self) -> BoxFuture<'_, Result<Option<Vec<u8>>, Error>>;
}

/// An answer's body.
pub enum AnswerBody {
    /// A complete body.
    Whole(Vec<u8>),
    /// A stream of parts, with the total length in bytes if it is known.
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
    /// HTTP status code.
    pub status: u16,
    /// End-to-end header lines.
    pub headers: HeaderList,
    /// The body.
    pub body: AnswerBody,
    /// Expected queueing time of the next request of this rank at the upstream.
    pub wait: Duration,
}

/// Maximum size of a body that is buffered before it is passed on, in bytes.
pub(crate) const MAX_BUFFERED_BODY_BYTES: u64 = 64 << 10;

/// Returns whether a header applies to one connection only and is not forwarded.
pub(crate) fn is_hop_by_hop_header(name: &str) -> bool {
    h1::is_hop_by_hop_header(name) || matches!(name, "content-length" | "expect")
}

/// Returns whether a header is reserved for internal use and must not be set by clients.
pub(crate) fn is_internal_header(name: &str) -> bool {
    name.starts_with("trestle-")
        || matches!(
            name,
            "x-primary-epoch" | "x-shard" | "x-shard-epoch" | "x-not-run" | "x-verdict" | "x-cause"
        )
}
