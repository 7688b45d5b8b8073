//! Reading from a peer that sends faster than its bytes are read.

use futures::FutureExt;
use futures::io::{AsyncRead, AsyncWrite};
use futures::task::noop_waker;
use h1::{BodyLength, BodyReader, Connection};
use rstest::rstest;
use std::cell::Cell;
use std::io;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};

/// Bytes that a task may read in one turn.
const MAX_BYTES_PER_TURN: usize = 256 << 10;
/// Bytes after which the stream ends, so that a reader without turns ends too.
const STREAM_BYTES: usize = 8 << 20;

/// A stream that always has bytes to read.
struct ReadyStream {
    pattern: &'static [u8],
    read_bytes: Rc<Cell<usize>>,
}

impl AsyncRead for ReadyStream {
    fn poll_read(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let read_bytes = self.read_bytes.get();
        let left = STREAM_BYTES.saturating_sub(read_bytes);
        let bytes = buf.len().min(left);
        for (index, byte) in buf[..bytes].iter_mut().enumerate() {
            *byte = self.pattern[(read_bytes + index) % self.pattern.len()];
        }
        self.read_bytes.set(read_bytes + bytes);
        Poll::Ready(Ok(bytes))
    }
}

impl AsyncWrite for ReadyStream {
    fn poll_write(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

/// Without turns for other tasks, one upstream that sends without a pause kept a host from
/// sending other requests and from noticing deadlines.
#[rstest]
#[case::tiny_chunks(b"1\r\nx\r\n", BodyLength::Chunked)]
#[case::until_close(b"x", BodyLength::UntilClose)]
#[case::fixed(b"x", BodyLength::Fixed(u64::MAX))]
fn next_part_from_a_fast_peer_leaves_turns_to_other_tasks(
    #[case] pattern: &'static [u8],
    #[case] length: BodyLength,
) {
    let read_bytes = Rc::new(Cell::new(0));
    let stream = ReadyStream {
        pattern,
        read_bytes: Rc::clone(&read_bytes),
    };
    let mut connection = Connection::new(stream);
    let mut reader = BodyReader::new(length);
    let mut reading =
        pin!(async { while let Ok(Some(_part)) = reader.next(&mut connection).await {} });
    let waker = noop_waker();
    let mut context = Context::from_waker(&waker);
    let mut before = 0;
    for _turn in 0..100 {
        let is_done = reading.poll_unpin(&mut context).is_ready();
        let bytes = read_bytes.get() - before;
        assert!(bytes <= MAX_BYTES_PER_TURN, "{bytes} bytes in one turn");
        assert!(!is_done, "the stream ends later");
        before = read_bytes.get();
    }
}
