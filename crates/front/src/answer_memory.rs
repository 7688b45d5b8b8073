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
/// Minimum size of a part that keeps the buffer in which it arrived, in bytes. Smaller
/// parts share blocks, as a buffer for each can take many times their size.
const MIN_OWN_BLOCK_BYTES: usize = 4 << 10;
/// Maximum size of a block that small parts share, in bytes; the size of a read.
const MAX_SHARED_BLOCK_BYTES: u64 = 16 << 10;
/// Memory that a block takes beside its bytes: the allocator's header, and its place in a
/// list that doubles as it grows.
const BLOCK_OVERHEAD_BYTES: u64 = 16 + 2 * size_of::<Vec<u8>>() as u64;

/// Memory for the bodies of answers.
#[derive(Clone, Debug)]
pub(crate) struct AnswerMemory {
    /// Maximum memory of all answers together, in bytes.
    max_total: u64,
    /// Maximum memory of one answer, in bytes.
    max_answer: u64,
    held_bytes: Arc<AtomicU64>,
}

/// A body, whose memory counts as held until it is dropped.
///
/// It is kept in blocks: one buffer that grows would be copied again and again, and take
/// twice the memory while it is.
#[derive(Debug)]
pub(crate) struct HeldBody {
    blocks: Vec<Vec<u8>>,
    len: u64,
    /// Memory that the blocks take, in bytes.
    block_bytes: u64,
    /// Memory that the bodies of all answers take, in bytes.
    held_bytes: Arc<AtomicU64>,
}

impl HeldBody {
    pub(crate) fn len(&self) -> u64 {
        self.len
    }

    pub(crate) fn blocks(&self) -> &[Vec<u8>] {
        &self.blocks
    }

    /// Appends a part to the last block, or as a new one if it does not fit.
    fn push(&mut self, part: Vec<u8>, memory: &AnswerMemory) -> Result<()> {
        let part_bytes = part.len() as u64;
        if let Some(block) = self.blocks.last_mut()
            && block.capacity() - block.len() >= part.len()
        {
            block.extend_from_slice(&part);
            self.len += part_bytes;
            return Ok(());
        }
        // Blocks for small parts grow with the body, so that a short one takes little.
        let shared_bytes = if part.len() < MIN_OWN_BLOCK_BYTES {
            self.len.min(MAX_SHARED_BLOCK_BYTES)
        } else {
            0
        };
        let capacity = part_bytes.max(shared_bytes);
        self.reserve(capacity + BLOCK_OVERHEAD_BYTES, memory)?;
        self.len += part_bytes;
        if capacity == part_bytes {
            self.blocks.push(part);
            return Ok(());
        }
        let mut block = Vec::with_capacity(capacity as usize);
        block.extend_from_slice(&part);
        self.blocks.push(block);
        Ok(())
    }

    /// Counts memory as held before it is allocated.
    fn reserve(&mut self, bytes: u64, memory: &AnswerMemory) -> Result<()> {
        self.block_bytes += bytes;
        let total_bytes = self.held_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        if self.block_bytes > memory.max_answer || total_bytes > memory.max_total {
            return Err(Error::BodyTooLarge);
        }
        Ok(())
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        self.held_bytes
            .fetch_sub(self.block_bytes, Ordering::Relaxed);
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
            blocks: Vec::new(),
            len: 0,
            block_bytes: 0,
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
            body.push(part, self)?;
        }
        Ok(body)
    }
}
