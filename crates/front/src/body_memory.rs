//! Limit on the memory that bodies of requests and answers take.

use futures::io::{AsyncRead, AsyncWrite};
use h1::{BodyLength, BodyReader, Connection};
use parking_lot::Mutex;
use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// Size of a block, in bytes; the size of a read.
const BLOCK_BYTES: usize = 16 << 10;
/// Maximum size of a block that is allocated as small as what it holds, in bytes.
const MAX_SMALL_BLOCK_BYTES: usize = 4 << 10;
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

/// Blocks that no body uses.
///
/// The allocator keeps small blocks that are freed, and has no use for them when a larger one
/// is needed. All larger bodies therefore use blocks of one size, again and again.
#[derive(Debug)]
struct BlockPool {
    /// Maximum memory of the bodies and of the blocks in the pool, in bytes.
    max_total: u64,
    unused: Mutex<Vec<Vec<u8>>>,
}

impl BlockPool {
    fn take(&self) -> Vec<u8> {
        let unused = self.unused.lock().pop();
        unused.unwrap_or_else(|| Vec::with_capacity(BLOCK_BYTES))
    }

    fn put(&self, mut block: Vec<u8>) {
        block.clear();
        self.unused.lock().push(block);
    }

    /// Frees the blocks for which there is no room beside the bodies.
    fn trim(&self, held_bytes: u64) {
        let room = self.max_total.saturating_sub(held_bytes);
        let max_count = room / BLOCK_BYTES as u64;
        self.unused.lock().truncate(max_count as usize);
    }
}

/// Memory for bodies.
#[derive(Clone, Debug)]
pub(crate) struct BodyMemory {
    /// Maximum memory of all bodies together, in bytes.
    max_total: u64,
    held_bytes: Arc<AtomicU64>,
    pool: Arc<BlockPool>,
}

/// A body, whose memory counts as held until it is dropped.
///
/// It is kept in blocks: one buffer that grows would be copied again and again, and take
/// twice the memory while it is.
#[derive(Debug)]
pub(crate) struct HeldBody {
    blocks: Vec<Vec<u8>>,
    len: u64,
    /// Memory that the blocks take and that is reserved, in bytes.
    block_bytes: u64,
    /// Number of blocks of [`BLOCK_BYTES`] that are reserved.
    reserved_blocks: u64,
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
            self.push(&part)?;
        }
        Ok(())
    }

    /// Reserves memory for `bytes` bytes that have yet to arrive.
    ///
    /// # Errors
    ///
    /// Fails when there is not enough.
    pub(crate) fn reserve(&mut self, bytes: u64) -> Result<(), BodyError> {
        if bytes <= MAX_SMALL_BLOCK_BYTES as u64 {
            return self.add_small_block(bytes as usize);
        }
        let count = bytes.div_ceil(BLOCK_BYTES as u64);
        self.count(count.saturating_mul(BLOCK_BYTES as u64 + BLOCK_OVERHEAD_BYTES))?;
        self.reserved_blocks += count;
        Ok(())
    }

    /// Appends a part to the last block, and what does not fit to new ones.
    fn push(&mut self, part: &[u8]) -> Result<(), BodyError> {
        let mut rest = part;
        while !rest.is_empty() {
            let room = self
                .blocks
                .last()
                .map_or(0, |block| block.capacity() - block.len());
            if room == 0 {
                self.add_block(rest.len())?;
                continue;
            }
            let (fitting, remaining) = rest.split_at(room.min(rest.len()));
            if let Some(block) = self.blocks.last_mut() {
                block.extend_from_slice(fitting);
            }
            self.len += fitting.len() as u64;
            rest = remaining;
        }
        Ok(())
    }

    /// Adds a block for the next `bytes` bytes or the first of them.
    fn add_block(&mut self, bytes: usize) -> Result<(), BodyError> {
        let max_small = MAX_SMALL_BLOCK_BYTES as u64;
        if self.reserved_blocks > 0 {
            self.reserved_blocks -= 1;
        } else if self.len < max_small && bytes as u64 <= max_small {
            // Blocks grow with the body, so that a short one takes little.
            return self.add_small_block(bytes.max(self.len as usize));
        } else {
            self.count(BLOCK_BYTES as u64 + BLOCK_OVERHEAD_BYTES)?;
        }
        self.blocks.push(self.memory.pool.take());
        Ok(())
    }

    fn add_small_block(&mut self, bytes: usize) -> Result<(), BodyError> {
        self.count(bytes as u64 + BLOCK_OVERHEAD_BYTES)?;
        let held_bytes = self.memory.held_bytes.load(Ordering::Relaxed);
        self.memory.pool.trim(held_bytes);
        self.blocks.push(Vec::with_capacity(bytes));
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
        // The blocks are in the pool before others may allocate as much.
        for block in self.blocks.drain(..) {
            if block.capacity() == BLOCK_BYTES {
                self.memory.pool.put(block);
            }
        }
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
            pool: Arc::new(BlockPool {
                max_total,
                unused: Mutex::default(),
            }),
        }
    }

    /// Returns the same memory for bodies that may be held only while all bodies together
    /// take at most a part of it, so that there is room for others.
    pub(crate) fn with_part(&self, parts: u64) -> Self {
        Self {
            max_total: self.max_total / parts,
            held_bytes: Arc::clone(&self.held_bytes),
            pool: Arc::clone(&self.pool),
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
            reserved_blocks: 0,
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
