//! A buffered connection that reads and writes HTTP messages.

use crate::head::{parse_request, parse_response};
use crate::{
    BodyLength, BodyReader, Error, HeadLimits, RequestHead, ResponseHead, ResponsePart, Result,
};
use async_std::task::yield_now;
use futures::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use std::fmt;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Poll, ready};

const READ_BUFFER_BYTES: usize = 16 << 10;
const MAX_PART_BYTES: u64 = 64 << 10;
/// Maximum number of interim responses to one request; a peer in trouble may send them
/// without end.
const MAX_INTERIM_RESPONSES: u32 = 16;
/// Maximum number of reads in a row that find bytes waiting before other tasks have a
/// turn. A peer that sends faster than its bytes are read would keep the thread busy.
const MAX_READY_READS: u32 = 4;

/// A connection with a read buffer.
pub struct Connection<S> {
    stream: S,
    buffer: Vec<u8>,
    start: usize,
    /// Number of reads since the last one that had to wait for bytes.
    ready_reads: u32,
}

impl<S> fmt::Debug for Connection<S> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Connection")
            .field("buffered", &(self.buffer.len() - self.start))
            .finish_non_exhaustive()
    }
}

impl<S> Connection<S> {
    /// Creates a connection over a stream.
    pub const fn new(stream: S) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
            start: 0,
            ready_reads: 0,
        }
    }

    /// Returns the underlying stream.
    pub const fn stream(&self) -> &S {
        &self.stream
    }

    /// Returns whether the buffer has bytes that belong to no message read so far.
    ///
    /// After a response this means that the peer sent more than was requested.
    pub fn has_buffered_bytes(&self) -> bool {
        self.start < self.buffer.len()
    }

    fn buffered(&self) -> &[u8] {
        &self.buffer[self.start..]
    }

    fn consume(&mut self, bytes: usize) {
        self.start += bytes;
        if self.start == self.buffer.len() {
            self.buffer = Vec::new();
            self.start = 0;
        }
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> Connection<S> {
    /// Reads the head of a request; returns `None` if the peer closed the connection
    /// between requests.
    ///
    /// # Errors
    ///
    /// Fails when the head is malformed, ambiguous, too large or truncated.
    pub async fn read_request(&mut self, limits: &HeadLimits) -> Result<Option<RequestHead>> {
        let Some(end) = self.read_head_bytes(limits).await? else {
            return Ok(None);
        };
        let head = parse_request(&self.buffered()[..end], limits);
        self.consume(end);
        head.map(Some)
    }

    /// Reads the head of the final response to a request with method `method`.
    ///
    /// Up to [`MAX_INTERIM_RESPONSES`] interim responses (1xx) are skipped.
    ///
    /// # Errors
    ///
    /// Fails when the head is malformed, ambiguous, too large or truncated, or when it
    /// does not follow.
    pub async fn read_response(
        &mut self,
        limits: &HeadLimits,
        method: &str,
    ) -> Result<ResponseHead> {
        for _ in 0..=MAX_INTERIM_RESPONSES {
            if let ResponsePart::Final(head) = self.read_response_part(limits, method).await? {
                return Ok(head);
            }
        }
        Err(Error::Malformed("too many interim responses"))
    }

    /// Reads the next interim or final response to a request with method `method`.
    ///
    /// # Errors
    ///
    /// Fails when the head is malformed, ambiguous, too large or truncated.
    pub async fn read_response_part(
        &mut self,
        limits: &HeadLimits,
        method: &str,
    ) -> Result<ResponsePart> {
        let Some(end) = self.read_head_bytes(limits).await? else {
            return Err(Error::Truncated);
        };
        let head = parse_response(&self.buffered()[..end], limits, method);
        self.consume(end);
        let head = head?;
        // No request asks for an upgrade, and what follows a 101 is not HTTP.
        if head.status == 101 {
            return Err(Error::Malformed("unsolicited switch of protocols"));
        }
        if (100..200).contains(&head.status) {
            return Ok(ResponsePart::Interim);
        }
        Ok(ResponsePart::Final(head))
    }

    /// Reads a whole body of at most `max_bytes` bytes.
    ///
    /// # Errors
    ///
    /// Fails when the body is truncated, malformed or too large.
    pub async fn read_whole_body(&mut self, length: BodyLength, max_bytes: u64) -> Result<Vec<u8>> {
        if let BodyLength::Fixed(bytes) = length
            && bytes > max_bytes
        {
            return Err(Error::BodyTooLarge);
        }
        let mut reader = BodyReader::new(length);
        let mut body = Vec::new();
        while let Some(part) = reader.next(self).await? {
            if (body.len() + part.len()) as u64 > max_bytes {
                return Err(Error::BodyTooLarge);
            }
            body.extend_from_slice(&part);
        }
        Ok(body)
    }

    /// Writes and flushes bytes.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails.
    pub async fn write(&mut self, bytes: &[u8]) -> Result<()> {
        self.stream.write_all(bytes).await?;
        self.stream.flush().await?;
        Ok(())
    }

    /// Reads at least one and at most `max_bytes` bytes of a body.
    pub(crate) async fn read_part(&mut self, max_bytes: u64) -> Result<Vec<u8>> {
        if !self.has_buffered_bytes() && !self.fill().await? {
            return Err(Error::Truncated);
        }
        let available = self.buffered().len() as u64;
        let bytes = available.min(max_bytes).min(MAX_PART_BYTES) as usize;
        let part = self.buffered()[..bytes].to_vec();
        self.consume(bytes);
        Ok(part)
    }

    /// Reads some bytes; returns none at the end of the connection.
    pub(crate) async fn read_available(&mut self) -> Result<Vec<u8>> {
        if !self.has_buffered_bytes() && !self.fill().await? {
            return Ok(Vec::new());
        }
        let part = self.buffered().to_vec();
        self.consume(part.len());
        Ok(part)
    }

    /// Reads a line and returns it without its line end.
    ///
    /// Fails if the line has more than `max_bytes` bytes, does not end with CRLF, or has
    /// control characters other than tabs: a CR alone would be a line end to others.
    pub(crate) async fn read_line(&mut self, max_bytes: usize) -> Result<String> {
        let mut scanned = 0;
        loop {
            let bytes = self.buffered();
            if let Some(at) = bytes[scanned..].iter().position(|b| *b == b'\n') {
                let end = scanned + at;
                if end > max_bytes {
                    return Err(Error::Malformed("line too long"));
                }
                let line = bytes[..end].strip_suffix(b"\r");
                let line = line.ok_or(Error::Malformed("line does not end with CRLF"))?;
                let text = std::str::from_utf8(line)
                    .map_err(|_utf8_error| Error::Malformed("line is not valid UTF-8"))?;
                if text.chars().any(|c| c.is_control() && c != '\t') {
                    return Err(Error::Malformed("control character in a line"));
                }
                let text = text.to_owned();
                self.consume(end + 1);
                return Ok(text);
            }
            scanned = bytes.len();
            if scanned > max_bytes {
                return Err(Error::Malformed("line too long"));
            }
            if !self.fill().await? {
                return Err(Error::Truncated);
            }
        }
    }

    /// Fills the buffer up to the end of a head and returns the head's length in
    /// bytes; returns `None` if the connection has ended before the first byte.
    async fn read_head_bytes(&mut self, limits: &HeadLimits) -> Result<Option<usize>> {
        let mut scanned = 0;
        let mut skipped = 0;
        loop {
            let empty_lines = self.skip_empty_lines();
            if empty_lines > 0 {
                scanned = 0;
                skipped += empty_lines;
            }
            // Empty lines without end would keep this task, and with it the thread,
            // busy for as long as they arrive.
            if skipped > limits.max_bytes {
                return Err(Error::HeadTooLarge);
            }
            if let Some(end) = find_head_end(self.buffered(), scanned)? {
                if end > limits.max_bytes {
                    return Err(Error::HeadTooLarge);
                }
                return Ok(Some(end));
            }
            scanned = self.buffered().len();
            if scanned > limits.max_bytes {
                return Err(Error::HeadTooLarge);
            }
            if !self.fill().await? {
                if scanned == 0 {
                    return Ok(None);
                }
                return Err(Error::Truncated);
            }
        }
    }

    /// Skips empty lines before a head; returns their size in bytes.
    fn skip_empty_lines(&mut self) -> usize {
        let lines = self.buffered().chunks_exact(2);
        let skipped = lines.take_while(|line| *line == b"\r\n").count() * 2;
        if skipped > 0 {
            self.consume(skipped);
        }
        skipped
    }

    /// Waits until there are bytes to read; returns `false` at the end of the
    /// connection.
    ///
    /// # Errors
    ///
    /// Fails when the connection fails.
    pub async fn wait_for_bytes(&mut self) -> Result<bool> {
        if self.has_buffered_bytes() {
            return Ok(true);
        }
        self.fill().await
    }

    /// Appends some bytes from the stream to the buffer; returns `false` at the end of
    /// the connection.
    ///
    /// The bytes are read into a buffer on the stack, so that an idle connection
    /// allocates no buffer.
    async fn fill(&mut self) -> Result<bool> {
        if self.start > 0 {
            self.buffer.drain(..self.start);
            self.start = 0;
        }
        if self.ready_reads >= MAX_READY_READS {
            self.ready_reads = 0;
            yield_now().await;
        }
        self.ready_reads += 1;
        let Self {
            stream,
            buffer,
            ready_reads,
            ..
        } = self;
        let read = poll_fn(|context| {
            let mut stack_buffer = [0_u8; READ_BUFFER_BYTES];
            let read = Pin::new(&mut *stream).poll_read(context, &mut stack_buffer);
            if read.is_pending() {
                *ready_reads = 0;
            }
            let read = ready!(read);
            Poll::Ready(read.inspect(|bytes| buffer.extend_from_slice(&stack_buffer[..*bytes])))
        });
        Ok(read.await? > 0)
    }
}

/// Returns the length of the head that `bytes` begin with, or `None` if it is incomplete;
/// the first `scanned` bytes have been searched before.
///
/// # Errors
///
/// Fails at a line that ends with LF alone. Such a line may end the head for other
/// readers, which would then find another body (RFC 9112, section 2.2).
fn find_head_end(bytes: &[u8], scanned: usize) -> Result<Option<usize>> {
    for (at, _) in bytes
        .iter()
        .enumerate()
        .skip(scanned)
        .filter(|(_, b)| **b == b'\n')
    {
        let line_start = &bytes[..=at];
        if !line_start.ends_with(b"\r\n") {
            return Err(Error::Malformed("head line does not end with CRLF"));
        }
        if line_start.ends_with(b"\r\n\r\n") {
            return Ok(Some(at + 1));
        }
    }
    Ok(None)
}
