//! Limit on the memory that bodies of requests and answers take.

use futures::io::{AsyncRead, AsyncWrite};
use h1::{BodyLength, BodyReader, Connection};
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Minimum size of a part that keeps the buffer in which it arrived, in bytes. Smaller
/// parts share blocks, as a buffer for each can take many times their size.
const MIN_OWN_BLOCK_BYTES: usize = 4 << 10;
/// Maximum size of a block that small parts share, in bytes; the size of a read.
const MAX_SHARED_BLOCK_BYTES: u64 = 16 << 10;
/// Maximum size of a body that is copied to be sent together with its head, in bytes.
const MAX_JOINED_BYTES: u64 = 16 << 10;
/// Memory that a block takes beside its bytes: the allocator's header, and its place in a
/// list that doubles as it grows.
const BLOCK_OVERHEAD_BYTES: u64 = 16 + 2 * size_of::<Vec<u8>>() as u64;

/// Why a body could not be read.
#[derive(Debug)]
pub(crate) enum BodyError {
    /// It is larger than bodies of its kind may be.
    TooLarge,
    /// Other bodies take the memory that it needs.
    NoMemory,
    /// The connection failed, or the body is truncated or malformed.
    Connection(h1::Error),
}

impl fmt::Display for BodyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::TooLarge => f.write_str("body too large"),
            Self::NoMemory => f.write_str("no memory for the body"),
            Self::Connection(error) => error.fmt(f),
        }
    }
}

impl std::error::Error for BodyError {}

impl From<h1::Error> for BodyError {
    fn from(error: h1::Error) -> Self {
        Self::Connection(error)
    }
}

/// Memory for bodies.
#[derive(Clone, Debug)]
pub(crate) struct BodyMemory {
    /// Maximum memory of all bodies together, in bytes.
    max_total: u64,
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
    memory: BodyMemory,
}

impl HeldBody {
    pub(crate) fn len(&self) -> u64 {
        self.len
    }

    pub(crate) fn blocks(&self) -> &[Vec<u8>] {
        &self.blocks
    }

    /// Returns the blocks to send behind a message's head. A short body is appended to the
    /// head, so that both leave in one packet.
    pub(crate) fn blocks_behind(&self, head: &mut Vec<u8>) -> &[Vec<u8>] {
        if self.len > MAX_JOINED_BYTES {
            return &self.blocks;
        }
        for block in &self.blocks {
            head.extend_from_slice(block);
        }
        &[]
    }

    /// Reads a whole body of at most `max_bytes` bytes.
    ///
    /// # Errors
    ///
    /// Fails when the body is truncated, malformed, or larger than the limits allow.
    pub(crate) async fn read_from<S>(
        &mut self,
        connection: &mut Connection<S>,
        length: BodyLength,
        max_bytes: u64,
    ) -> Result<(), BodyError>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        let mut reader = BodyReader::new(length);
        while let Some(part) = reader.next(connection).await? {
            if self.len + part.len() as u64 > max_bytes {
                return Err(BodyError::TooLarge);
            }
            self.push(part)?;
        }
        Ok(())
    }

    /// Reserves memory for `bytes` bytes that have yet to arrive.
    ///
    /// # Errors
    ///
    /// Fails when there is not enough.
    pub(crate) fn reserve(&mut self, bytes: u64) -> Result<(), BodyError> {
        self.count(bytes + BLOCK_OVERHEAD_BYTES)?;
        self.blocks.push(Vec::with_capacity(bytes as usize));
        Ok(())
    }

    /// Appends a part to the last block, or as a new one if it does not fit.
    fn push(&mut self, part: Vec<u8>) -> Result<(), BodyError> {
        let part_bytes = part.len() as u64;
        let last = self.blocks.last();
        let is_fitting = last.is_some_and(|block| block.capacity() - block.len() >= part.len());
        if !is_fitting && part.len() >= MIN_OWN_BLOCK_BYTES {
            self.count(part_bytes + BLOCK_OVERHEAD_BYTES)?;
            self.blocks.push(part);
            self.len += part_bytes;
            return Ok(());
        }
        if !is_fitting {
            // Blocks grow with the body, so that a short one takes little.
            self.reserve(part_bytes.max(self.len.min(MAX_SHARED_BLOCK_BYTES)))?;
        }
        if let Some(block) = self.blocks.last_mut() {
            block.extend_from_slice(&part);
            self.len += part_bytes;
        }
        Ok(())
    }

    /// Counts memory as held before it is allocated.
    fn count(&mut self, bytes: u64) -> Result<(), BodyError> {
        let max_total = self.memory.max_total;
        let add = |held: u64| held.checked_add(bytes).filter(|total| *total <= max_total);
        let held_bytes = &self.memory.held_bytes;
        held_bytes
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add)
            .map_err(|_held| BodyError::NoMemory)?;
        self.block_bytes += bytes;
        Ok(())
    }
}

impl Drop for HeldBody {
    fn drop(&mut self) {
        let held_bytes = &self.memory.held_bytes;
        held_bytes.fetch_sub(self.block_bytes, Ordering::Relaxed);
    }
}

impl BodyMemory {
    /// Creates memory of `max_total` bytes.
    pub(crate) fn new(max_total: u64) -> Self {
        Self {
            max_total,
            held_bytes: Arc::default(),
        }
    }

    /// Returns the same memory for bodies that may be held only while all bodies together
    /// take at most a part of it, so that there is room for others.
    pub(crate) fn with_part(&self, parts: u64) -> Self {
        Self {
            max_total: self.max_total / parts,
            held_bytes: Arc::clone(&self.held_bytes),
        }
    }

    /// Returns whether at least half of the memory is held.
    pub(crate) fn is_half_full(&self) -> bool {
        self.held_bytes.load(Ordering::Relaxed) >= self.max_total / 2
    }

    /// Returns an empty body.
    pub(crate) fn empty_body(&self) -> HeldBody {
        HeldBody {
            blocks: Vec::new(),
            len: 0,
            block_bytes: 0,
            memory: self.clone(),
        }
    }

    /// Reads a whole body of at most `max_bytes` bytes.
    ///
    /// # Errors
    ///
    /// Fails when the body is truncated, malformed, or larger than the limits allow.
    pub(crate) async fn read_body<S>(
        &self,
        connection: &mut Connection<S>,
        length: BodyLength,
        max_bytes: u64,
    ) -> Result<HeldBody, BodyError>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        let mut body = self.empty_body();
        body.read_from(connection, length, max_bytes).await?;
        Ok(body)
    }
}
