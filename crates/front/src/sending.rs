//! Sending of a request while its answer may already arrive.
//!
//! An upstream may reject a request before it has read all of it, and may then close the
//! connection with the rest unread. A send that fails before its first byte proves that
//! the request reached nobody.

use async_std::net::TcpStream;
use futures::FutureExt;
use futures::future::{Either, select};
use futures::io::AsyncWriteExt;
use h1::ResponseHead;
use std::pin::pin;
use std::sync::atomic::{AtomicBool, Ordering};

/// Whether any byte of a request was handed to the connection, and whether all were.
#[derive(Debug, Default)]
pub(crate) struct SendProgress {
    is_begun: AtomicBool,
    is_complete: AtomicBool,
}

impl SendProgress {
    /// Returns whether any byte may be on its way to the upstream.
    pub(crate) fn is_begun(&self) -> bool {
        self.is_begun.load(Ordering::Relaxed)
    }

    /// Returns whether the whole request was handed to the connection.
    pub(crate) fn is_complete(&self) -> bool {
        self.is_complete.load(Ordering::Relaxed)
    }
}

/// Returns whether the peer has closed or reset the connection.
pub(crate) fn is_closed(stream: &TcpStream) -> bool {
    let mut byte = [0_u8; 1];
    matches!(stream.peek(&mut byte).now_or_never(), Some(Ok(0) | Err(_)))
}

/// Writes a request, and records how far it got.
pub(crate) async fn write_request(
    mut stream: TcpStream,
    head: &[u8],
    blocks: &[Vec<u8>],
    progress: &SendProgress,
) -> h1::Result<()> {
    let parts = std::iter::once(head).chain(blocks.iter().map(Vec::as_slice));
    for mut part in parts {
        while !part.is_empty() {
            let written = stream.write(part).await?;
            if written == 0 {
                return Err(h1::Error::Truncated);
            }
            progress.is_begun.store(true, Ordering::Relaxed);
            part = &part[written..];
        }
    }
    stream.flush().await?;
    progress.is_complete.store(true, Ordering::Relaxed);
    Ok(())
}

/// Drives the writing of a request and the reading of its answer's head together.
///
/// An answer that `is_rejection` recognizes is returned although the request was not
/// written to its end.
pub(crate) async fn send_and_read(
    writing: impl Future<Output = h1::Result<()>>,
    reading: impl Future<Output = h1::Result<Option<ResponseHead>>>,
    is_rejection: impl Fn(&ResponseHead) -> bool,
) -> h1::Result<Option<ResponseHead>> {
    match select(pin!(writing), pin!(reading)).await {
        Either::Left((Ok(()), reading)) => reading.await,
        Either::Left((Err(write_error), reading)) => match reading.await {
            Ok(Some(head)) if is_rejection(&head) => Ok(Some(head)),
            _ => Err(write_error),
        },
        Either::Right((Ok(Some(head)), _writing)) if is_rejection(&head) => Ok(Some(head)),
        Either::Right((read, writing)) => {
            writing.await?;
            read
        }
    }
}
