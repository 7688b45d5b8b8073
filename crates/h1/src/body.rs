//! Bodies and where they end.

use crate::{Connection, Error, Result};
use futures::io::{AsyncRead, AsyncWrite};

const CHUNK_LINE_LIMIT: usize = 64;
const TRAILER_LIMIT: usize = 4 << 10;

/// How a body's end is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// After so many bytes.
    Fixed(u64),
    /// After a chunk of no bytes.
    Chunked,
    /// When the connection closes; such a body can't be told from a cut one.
    UntilClose,
}

/// Reads one body from a connection, part by part.
#[derive(Clone, Copy, Debug)]
pub struct BodyReader {
    state: BodyState,
}

#[derive(Clone, Copy, Debug)]
enum BodyState {
    Fixed(u64),
    ChunkSize,
    ChunkData(u64),
    UntilClose,
    Done,
}

impl BodyReader {
    /// Starts at a body's first byte.
    pub const fn new(length: BodyLength) -> Self {
        let state = match length {
            BodyLength::Fixed(0) => BodyState::Done,
            BodyLength::Fixed(bytes) => BodyState::Fixed(bytes),
            BodyLength::Chunked => BodyState::ChunkSize,
            BodyLength::UntilClose => BodyState::UntilClose,
        };
        Self { state }
    }

    /// Returns whether the whole body has been read.
    pub const fn is_done(&self) -> bool {
        matches!(self.state, BodyState::Done)
    }

    /// Reads the next part; `None` after the last.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Truncated`] when the connection closes inside the
    /// body.
    pub async fn next<S>(&mut self, connection: &mut Connection<S>) -> Result<Option<Vec<u8>>>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        loop {
            match self.state {
                BodyState::Done => return Ok(None),
                BodyState::Fixed(left) => {
                    let part = connection.take(left).await?;
                    self.state = match left - part.len() as u64 {
                        0 => BodyState::Done,
                        rest => BodyState::Fixed(rest),
                    };
                    return Ok(Some(part));
                }
                BodyState::ChunkSize => {
                    let size = read_chunk_size(connection).await?;
                    if size > 0 {
                        self.state = BodyState::ChunkData(size);
                        continue;
                    }
                    skip_trailers(connection).await?;
                    self.state = BodyState::Done;
                }
                BodyState::ChunkData(left) => {
                    let part = connection.take(left).await?;
                    let rest = left - part.len() as u64;
                    self.state = BodyState::ChunkData(rest);
                    if rest == 0 {
                        expect_empty_line(connection).await?;
                        self.state = BodyState::ChunkSize;
                    }
                    return Ok(Some(part));
                }
                BodyState::UntilClose => {
                    let part = connection.take_until_close().await?;
                    if part.is_empty() {
                        self.state = BodyState::Done;
                        return Ok(None);
                    }
                    return Ok(Some(part));
                }
            }
        }
    }
}

async fn read_chunk_size<S>(connection: &mut Connection<S>) -> Result<u64>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let line = connection.read_line(CHUNK_LINE_LIMIT).await?;
    let digits = line.split(';').next().unwrap_or_default().trim_end();
    let is_hex = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_hexdigit());
    if !is_hex || digits.len() > 15 {
        return Err(Error::Malformed("chunk size"));
    }
    u64::from_str_radix(digits, 16).map_err(|_number| Error::Malformed("chunk size"))
}

async fn expect_empty_line<S>(connection: &mut Connection<S>) -> Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let line = connection.read_line(CHUNK_LINE_LIMIT).await?;
    if line.is_empty() {
        return Ok(());
    }
    Err(Error::Malformed("chunk end"))
}

async fn skip_trailers<S>(connection: &mut Connection<S>) -> Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut left = TRAILER_LIMIT;
    loop {
        let line = connection.read_line(left).await?;
        if line.is_empty() {
            return Ok(());
        }
        left = left.saturating_sub(line.len());
    }
}
