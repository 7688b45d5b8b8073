//! Reading of complete, truncated and malformed messages.

use async_std::task::block_on;
use futures::io::Cursor;
use h1::{BodyLength, BodyReader, Connection, Error, HeadLimits};
use proptest::prelude::*;
use rstest::rstest;

fn connection(bytes: &[u8]) -> Connection<Cursor<Vec<u8>>> {
    Connection::new(Cursor::new(bytes.to_vec()))
}

fn read_response(bytes: &[u8]) -> h1::Result<(u16, Vec<u8>)> {
    block_on(async {
        let mut connection = connection(bytes);
        let head = connection
            .read_response(&HeadLimits::default(), "GET")
            .await?;
        let body = connection.read_whole_body(head.body, 1 << 20).await?;
        Ok((head.status, body))
    })
}

#[rstest]
#[case::fixed(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody", b"body")]
#[case::chunked(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nbo\r\n2;x=y\r\ndy\r\n0\r\nt: 1\r\n\r\n", b"body")]
#[case::interim(
    b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody",
    b"body"
)]
#[case::none(b"HTTP/1.1 204 No Content\r\n\r\n", b"")]
fn response_complete_is_read(#[case] bytes: &[u8], #[case] expected: &[u8]) {
    let (_, body) = read_response(bytes).unwrap();
    assert_eq!(body, expected);
}

#[rstest]
#[case::fixed(b"HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nbody")]
#[case::chunk(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n9\r\nbody")]
#[case::last_chunk(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n")]
#[case::head(b"HTTP/1.1 200 OK\r\ncontent-le")]
#[case::nothing(b"")]
fn response_truncated_is_an_error(#[case] bytes: &[u8]) {
    assert!(matches!(read_response(bytes), Err(Error::Truncated)));
}

#[rstest]
#[case::two_lengths(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\ncontent-length: 5\r\n\r\nbody")]
#[case::both(b"HTTP/1.1 200 OK\r\ncontent-length: 4\r\ntransfer-encoding: chunked\r\n\r\nbody")]
#[case::negative(b"HTTP/1.1 200 OK\r\ncontent-length: -4\r\n\r\nbody")]
#[case::chunk_size(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n-4\r\nbody\r\n0\r\n\r\n")]
#[case::huge_chunk(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\nffffffffffffffffff\r\n")]
#[case::chunk_end(b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nbody\r\n0\r\n\r\n")]
fn response_ambiguous_is_an_error(#[case] bytes: &[u8]) {
    assert!(matches!(read_response(bytes), Err(Error::Malformed(_))));
}

/// A status outside 100 to 599 has no meaning for a client, and one that nothing gives a
/// meaning must not be passed on as the answer of an upstream that has failed.
#[rstest]
fn response_invalid_status_is_an_error(
    #[values(
        "000", "001", "099", "600", "999", "20", "2000", "-20", "+20", "2x0", " 20", ""
    )]
    status: &str,
) {
    for body in ["content-length: 4\r\n\r\nbody", "\r\n"] {
        let text = format!("HTTP/1.1 {status} X\r\n{body}");
        let read = read_response(text.as_bytes());
        assert!(
            matches!(read, Err(Error::Malformed(_))),
            "{text:?} {read:?}"
        );
    }
}

#[rstest]
fn response_valid_status_is_read(#[values(200, 299, 404, 451, 500, 599)] status: u16) {
    let text = format!("HTTP/1.1 {status} X\r\ncontent-length: 4\r\n\r\nbody");
    let read = read_response(text.as_bytes()).unwrap();
    assert_eq!(read, (status, b"body".to_vec()));
}

/// What follows a 101 is not HTTP, so that a success behind it is not the answer to the
/// request.
#[test]
fn response_switching_protocols_is_an_error() {
    let bytes = b"HTTP/1.1 101 Switching Protocols\r\nupgrade: x\r\n\r\n\
        HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody";
    assert!(matches!(read_response(bytes), Err(Error::Malformed(_))));
}

#[test]
fn buffered_bytes_remain_after_response() {
    block_on(async {
        let bytes = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n";
        let mut connection = connection(bytes);
        let head = connection
            .read_response(&HeadLimits::default(), "GET")
            .await
            .unwrap();
        connection.read_whole_body(head.body, 10).await.unwrap();
        assert!(connection.has_buffered_bytes());
    });
}

#[test]
fn body_over_limit_is_refused() {
    block_on(async {
        let mut connection = connection(b"4\r\nbody\r\n4\r\nbody\r\n0\r\n\r\n");
        let read = connection.read_whole_body(BodyLength::Chunked, 6).await;
        assert!(matches!(read, Err(Error::BodyTooLarge)));
    });
}

#[test]
fn body_until_close_ends_with_connection() {
    block_on(async {
        let mut connection = connection(b"all there is");
        let mut reader = BodyReader::new(BodyLength::UntilClose);
        assert_eq!(
            reader.next(&mut connection).await.unwrap().unwrap(),
            b"all there is"
        );
        assert_eq!(reader.next(&mut connection).await.unwrap(), None);
        assert!(reader.is_done());
    });
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(3_000))]

    /// Arbitrary bytes yield an error or a message and never a panic.
    #[test]
    fn request_with_arbitrary_bytes_never_panics(
        at in 0_usize..120,
        removed in 0_usize..20,
        insert in prop::collection::vec(any::<u8>(), 0..12),
    ) {
        let mut bytes = b"POST /a/b?c=d HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n".to_vec();
        let at = at.min(bytes.len());
        let end = (at + removed).min(bytes.len());
        bytes.splice(at..end, insert);
        block_on(async {
            let mut connection = connection(&bytes);
            if let Ok(Some(head)) = connection.read_request(&HeadLimits::default()).await {
                let body = connection.read_whole_body(head.body, 1 << 16).await;
                assert!(body.map_or(0, |body| body.len()) <= bytes.len());
            }
        });
    }
}
