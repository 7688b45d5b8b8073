//! Limit on the memory that answers take until they are sent to the clients.

use futures::io::{AsyncRead, AsyncWrite};
use h1::{BodyLength, BodyReader, Connection, Error, Result};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Fraction of the host's memory that all answers together may take. The allocator keeps
/// some of what they free.
const TOTAL_FRACTION: u64 = 16;
/// Fraction of the host's memory that one answer may take. An upstream in trouble may
/// send a body without end.
const ANSWER_FRACTION: u64 = 32;

/// Memory for the bodies of answers.
#[derive(Clone, Debug)]
pub(crate) struct AnswerMemory {
    /// Maximum size of all answers together, in bytes.
    max_total: u64,
    /// Maximum size of one answer, in bytes.
    max_answer: u64,
    held_bytes: Arc<AtomicU64>,
}

/// A body, which counts as held until it is dropped.
///
/// It is kept in the parts in which it arrived: one buffer that grows would be copied
/// again and again, and take twice the memory while it is.
#[derive(Debug)]
pub(crate) struct HeldBody {
    parts: Vec<Vec<u8>>,
    len: u64,
    held_bytes: Arc<AtomicU64>,
}

impl HeldBody {
    pub(crate) fn len(&self) -> u64 {
        self.len
    }

    pub(crate) fn parts(&self) -> &[Vec<u8>] {
        &self.parts
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.held_bytes.fetch_sub(self.len, Ordering::Relaxed);
    }
}

impl AnswerMemory {
    /// Creates the limit for a host with `memory_mb` megabytes.
    pub(crate) fn new(memory_mb: u32) -> Self {
        let memory_bytes = u64::from(memory_mb) << 20;
        Self {
            max_total: memory_bytes / TOTAL_FRACTION,
            max_answer: memory_bytes / ANSWER_FRACTION,
            held_bytes: Arc::default(),
        }
    }

    /// Returns an empty body.
    pub(crate) fn empty_body(&self) -> HeldBody {
        HeldBody {
            parts: Vec::new(),
            len: 0,
            held_bytes: Arc::clone(&self.held_bytes),
        }
    }

    /// Reads a whole body.
    ///
    /// # Errors
    ///
    /// Fails when the body is truncated, malformed, or larger than the limits allow.
    pub(crate) async fn read_body<S>(
        &self,
        connection: &mut Connection<S>,
        length: BodyLength,
    ) -> Result<HeldBody>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        let mut body = self.empty_body();
        let mut reader = BodyReader::new(length);
        while let Some(part) = reader.next(connection).await? {
            let part_bytes = part.len() as u64;
            let total_bytes = self.held_bytes.fetch_add(part_bytes, Ordering::Relaxed) + part_bytes;
            body.len += part_bytes;
            body.parts.push(part);
            let is_too_large = body.len > self.max_answer;
            if is_too_large || total_bytes > self.max_total {
                return Err(Error::BodyTooLarge);
            }
        }
        Ok(body)
    }
}
