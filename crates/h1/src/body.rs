//! Reading of bodies and their framing.

use crate::head::check_trailer;
use crate::{Connection, Error, Result};
use futures::io::{AsyncRead, AsyncWrite};

const MAX_CHUNK_LINE_BYTES: usize = 64;
const MAX_TRAILER_BYTES: usize = 4 << 10;

/// How the end of a body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyLength {
    /// The body has this many bytes.
    Fixed(u64),
    /// The body ends with an empty chunk.
    Chunked,
    /// The body ends when the connection closes; a truncated body can't be detected.
    UntilClose,
}

/// Reads one body from a connection in parts.
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
    /// Creates a reader that starts at the first byte of the body.
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

    /// Reads the next part; returns `None` after the last.
    ///
    /// # Errors
    ///
    /// Fails with [`Error::Truncated`] when the connection closes before the end of the
    /// body, and with [`Error::Malformed`] when its chunks are malformed.
    pub async fn next<S>(&mut self, connection: &mut Connection<S>) -> Result<Option<Vec<u8>>>
    where
        S: AsyncRead + AsyncWrite + Unpin,
    {
        loop {
            match self.state {
                BodyState::Done => return Ok(None),
                BodyState::Fixed(remaining) => {
                    let part = connection.read_part(remaining).await?;
                    self.state = match remaining - part.len() as u64 {
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
                BodyState::ChunkData(remaining) => {
                    let part = connection.read_part(remaining).await?;
                    let rest = remaining - part.len() as u64;
                    self.state = BodyState::ChunkData(rest);
                    if rest == 0 {
                        expect_empty_line(connection).await?;
                        self.state = BodyState::ChunkSize;
                    }
                    return Ok(Some(part));
                }
                BodyState::UntilClose => {
                    let part = connection.read_available().await?;
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
    let line = connection.read_line(MAX_CHUNK_LINE_BYTES).await?;
    let digits = line.split(';').next().unwrap_or_default();
    let digits = digits.trim_end_matches([' ', '\t']);
    let is_hex = !digits.is_empty() && digits.bytes().all(|b| b.is_ascii_hexdigit());
    if !is_hex || digits.len() > 15 {
        return Err(Error::Malformed("invalid chunk size"));
    }
    u64::from_str_radix(digits, 16).map_err(|_parse_error| Error::Malformed("invalid chunk size"))
}

async fn expect_empty_line<S>(connection: &mut Connection<S>) -> Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let line = connection.read_line(MAX_CHUNK_LINE_BYTES).await?;
    if line.is_empty() {
        return Ok(());
    }
    Err(Error::Malformed("chunk data without line end"))
}

async fn skip_trailers<S>(connection: &mut Connection<S>) -> Result<()>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut remaining = MAX_TRAILER_BYTES;
    loop {
        let line = connection.read_line(remaining).await?;
        if line.is_empty() {
            return Ok(());
        }
        check_trailer(&line)?;
        remaining = remaining.saturating_sub(line.len());
    }
}
