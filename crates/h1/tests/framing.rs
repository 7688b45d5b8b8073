//! Messages that two readers could see differently: line ends, lengths and chunks that are
//! ambiguous are errors, and no result depends on how the bytes arrive.

use async_std::task::block_on;
use futures::io::{AsyncRead, AsyncWrite};
use h1::{Connection, Error, HeadLimits, RequestHead, ResponseHead};
use proptest::prelude::*;
use rstest::rstest;
use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// A stream whose bytes arrive in the given parts.
struct PartStream {
    parts: VecDeque<Vec<u8>>,
}

impl PartStream {
    /// Splits `bytes` into parts of the given sizes; the last part has the rest.
    fn new(bytes: &[u8], sizes: &[usize]) -> Self {
        let mut parts = VecDeque::new();
        let mut rest = bytes;
        for size in sizes {
            let (part, behind) = rest.split_at((*size).min(rest.len()));
            parts.push_back(part.to_vec());
            rest = behind;
        }
        parts.push_back(rest.to_vec());
        parts.retain(|part| !part.is_empty());
        Self { parts }
    }
}

impl AsyncRead for PartStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        buf: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let Some(mut part) = self.parts.pop_front() else {
            return Poll::Ready(Ok(0));
        };
        let bytes = part.len().min(buf.len());
        buf[..bytes].copy_from_slice(&part[..bytes]);
        let rest = part.split_off(bytes);
        if !rest.is_empty() {
            self.parts.push_front(rest);
        }
        Poll::Ready(Ok(bytes))
    }
}

impl AsyncWrite for PartStream {
    fn poll_write(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Ok(buf.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}

type ReadMessage<H> = Result<Option<(H, Vec<u8>)>, String>;

fn read_request(bytes: &[u8], sizes: &[usize]) -> ReadMessage<RequestHead> {
    block_on(async {
        let mut connection = Connection::new(PartStream::new(bytes, sizes));
        let limits = HeadLimits::default();
        let head = connection.read_request(&limits).await.map_err(describe)?;
        let Some(head) = head else {
            return Ok(None);
        };
        let body = connection.read_whole_body(head.body, 1 << 16).await;
        Ok(Some((head, body.map_err(describe)?)))
    })
}

fn read_response(bytes: &[u8], sizes: &[usize]) -> ReadMessage<ResponseHead> {
    block_on(async {
        let mut connection = Connection::new(PartStream::new(bytes, sizes));
        let limits = HeadLimits::default();
        let head = connection.read_response(&limits, "GET").await;
        let head = head.map_err(describe)?;
        let body = connection.read_whole_body(head.body, 1 << 16).await;
        Ok(Some((head, body.map_err(describe)?)))
    })
}

fn describe(error: Error) -> String {
    match error {
        Error::Malformed(_) => "malformed".to_owned(),
        other => other.to_string(),
    }
}

fn is_malformed<H>(read: &ReadMessage<H>) -> bool {
    matches!(read, Err(error) if error == "malformed")
}

/// A body with an empty line in it, as a multipart document has. A reader that takes LF
/// for a line end finds the end of the head before it, one that asks for CRLF behind it.
const BODY: &str = "--b\r\nA: 1\r\n\r\nfirst\r\n--b\r\nA: 2\r\n\r\nlast\r\n--b--\r\n";

/// Guards against a success without the first part of its body: the parser ended the head
/// at an empty line that the reader of the connection did not see.
#[rstest]
#[case::all_lines("HTTP/1.1 200 OK\nx: 1\n\n")]
#[case::status_line("HTTP/1.1 200 OK\nx: 1\r\n\r\n")]
#[case::header("HTTP/1.1 200 OK\r\nx: 1\ny: 2\r\n\r\n")]
#[case::end("HTTP/1.1 200 OK\r\nx: 1\n\n")]
#[case::end_of_two_kinds("HTTP/1.1 200 OK\r\nx: 1\r\n\n")]
#[case::end_of_two_other_kinds("HTTP/1.1 200 OK\r\nx: 1\n\r\n")]
#[case::carriage_return("HTTP/1.1 200 OK\r\nx: 1\ry: 2\r\n\r\n")]
#[case::carriage_returns_at_end("HTTP/1.1 200 OK\r\nx: 1\r\r\n\r\n")]
fn response_head_with_other_line_ends_is_an_error(
    #[case] head: &str,
    #[values("", BODY)] body: &str,
) {
    let read = read_response(format!("{head}{body}").as_bytes(), &[]);
    assert!(is_malformed(&read), "{read:?}");
}

#[rstest]
#[case::all_lines("POST /a HTTP/1.1\nhost: t\n\n")]
#[case::request_line("POST /a HTTP/1.1\nhost: t\r\n\r\n")]
#[case::header("POST /a HTTP/1.1\r\nhost: t\nx: 1\r\n\r\n")]
#[case::end("POST /a HTTP/1.1\r\nhost: t\n\n")]
#[case::end_of_two_kinds("POST /a HTTP/1.1\r\nhost: t\r\n\n")]
#[case::empty_line_before("\nPOST /a HTTP/1.1\r\nhost: t\r\n\r\n")]
#[case::carriage_return("POST /a HTTP/1.1\r\nhost: t\rx: 1\r\n\r\n")]
fn request_head_with_other_line_ends_is_an_error(
    #[case] head: &str,
    #[values("", "GET /b HTTP/1.1\r\nhost: t\r\n\r\n")] behind: &str,
) {
    let read = read_request(format!("{head}{behind}").as_bytes(), &[]);
    assert!(is_malformed(&read), "{read:?}");
}

/// A head that can't become valid is refused before its end, which may never come.
#[test]
fn request_head_with_other_line_ends_is_refused_at_once() {
    let bytes = b"POST /a HTTP/1.1\nhost: t\n";
    assert!(is_malformed(&read_request(bytes, &[])));
}

/// Guards against lengths that only one of two readers understands, such as those that are
/// padded with whitespace of other kinds than HTTP's.
#[rstest]
#[case::no_break_space("content-length: \u{a0}4\r\n\r\nbody")]
#[case::wide_space("content-length: 4\u{2003}\r\n\r\nbody")]
#[case::coding_with_no_break_space(
    "transfer-encoding: chunked\u{a0}\r\n\r\n4\r\nbody\r\n0\r\n\r\n"
)]
#[case::two_codings("transfer-encoding: chunked, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")]
#[case::list_of_lengths("content-length: 4, 4\r\n\r\nbody")]
#[case::signed("content-length: +4\r\n\r\nbody")]
#[case::hexadecimal("content-length: 0x4\r\n\r\nbody")]
#[case::empty("content-length:\r\n\r\nbody")]
#[case::folded("content-length:\r\n 4\r\n\r\nbody")]
#[case::space_before_colon("content-length : 4\r\n\r\nbody")]
#[case::chunk_size_in_other_line("transfer-encoding: chunked\r\n\r\n4\nbody\r\n0\r\n\r\n")]
#[case::chunk_size_with_carriage_return(
    "transfer-encoding: chunked\r\n\r\n4\r;x\r\nbody\r\n0\r\n\r\n"
)]
#[case::chunk_size_with_form_feed("transfer-encoding: chunked\r\n\r\n4\u{c}\r\nbody\r\n0\r\n\r\n")]
#[case::chunk_size_with_prefix("transfer-encoding: chunked\r\n\r\n0x4\r\nbody\r\n0\r\n\r\n")]
#[case::chunk_size_with_space("transfer-encoding: chunked\r\n\r\n 4\r\nbody\r\n0\r\n\r\n")]
#[case::extension_with_carriage_return(
    "transfer-encoding: chunked\r\n\r\n4;x\r5\r\nbody\r\n0\r\n\r\n"
)]
#[case::chunk_end("transfer-encoding: chunked\r\n\r\n4\r\nbody\n0\r\n\r\n")]
#[case::trailer_with_other_line_end("transfer-encoding: chunked\r\n\r\n0\r\nt: 1\n\r\n")]
#[case::trailer_with_carriage_return("transfer-encoding: chunked\r\n\r\n0\r\nt: 1\ru: 2\r\n\r\n")]
#[case::trailer_that_is_a_request("transfer-encoding: chunked\r\n\r\n0\r\nGET /b HTTP/1.1\r\n\r\n")]
fn message_with_ambiguous_length_is_an_error(#[case] rest: &str) {
    let request = format!("POST /a HTTP/1.1\r\nhost: t\r\n{rest}");
    let read = read_request(request.as_bytes(), &[]);
    assert!(is_malformed(&read), "{read:?}");
    let response = format!("HTTP/1.1 200 OK\r\n{rest}");
    let read = read_response(response.as_bytes(), &[]);
    assert!(is_malformed(&read), "{read:?}");
}

/// To an HTTP/1.0 peer chunks are a part of the body.
#[test]
fn message_of_http_1_0_with_chunks_is_an_error() {
    let rest = "transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
    let read = read_request(format!("POST /a HTTP/1.0\r\n{rest}").as_bytes(), &[]);
    assert!(is_malformed(&read), "{read:?}");
    let read = read_response(format!("HTTP/1.0 200 OK\r\n{rest}").as_bytes(), &[]);
    assert!(is_malformed(&read), "{read:?}");
}

#[rstest]
#[case::none("", true)]
#[case::zero("content-length: 0\r\n", true)]
#[case::length("content-length: 4\r\n", false)]
#[case::chunks("transfer-encoding: chunked\r\n", false)]
fn response_without_content_that_declares_some_ends_the_connection(
    #[case] length: &str,
    #[case] keeps_alive: bool,
) {
    let text = format!("HTTP/1.1 204 No Content\r\n{length}\r\nbody");
    let read = read_response(text.as_bytes(), &[]).expect("valid");
    let (head, body) = read.expect("a response");
    assert_eq!((head.keeps_alive, body), (keeps_alive, Vec::new()));
}

/// Returns the end of the head for a reader that takes LF, with or without CR, for a line
/// end, and that skips empty lines before the head.
fn lenient_head_end(bytes: &[u8]) -> Option<usize> {
    let mut at = 0;
    let mut has_lines = false;
    while let Some(length) = bytes[at..].iter().position(|byte| *byte == b'\n') {
        let line = &bytes[at..at + length];
        at += length + 1;
        let is_empty = line.is_empty() || line == b"\r";
        if is_empty && has_lines {
            return Some(at);
        }
        has_lines |= !is_empty;
    }
    None
}

const REQUEST: &str = "POST /a/b?c=d HTTP/1.1\r\nhost: t\r\ntransfer-encoding: chunked\r\n\r\n\
    4;x=y\r\nbody\r\n3\r\n\r\n\r\r\n0\r\nt: 1\r\n\r\n";
const RESPONSE: &str = "HTTP/1.1 200 OK\r\nx: 1\r\ncontent-length: 12\r\n\r\nbo\r\n\r\ndy\n\nxy";

fn mutate(text: &str, at: usize, removed: usize, insert: &[u8]) -> Vec<u8> {
    let mut bytes = text.as_bytes().to_vec();
    let at = at.min(bytes.len());
    let end = (at + removed).min(bytes.len());
    bytes.splice(at..end, insert.iter().copied());
    bytes
}

/// Bytes that matter to framing.
fn framing_bytes() -> impl Strategy<Value = Vec<u8>> {
    let byte = prop::sample::select(b"\r\n\r\n\r\n 0149;:,x\t\0\x0b\xc2\xa0".to_vec());
    prop::collection::vec(byte, 0..6)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(4_000))]

    /// How a request arrives makes no difference, and a request that is accepted ends its
    /// head where a reader of other line ends finds it.
    #[test]
    fn request_read_in_parts_is_the_same(
        at in 0_usize..130,
        removed in 0_usize..4,
        insert in framing_bytes(),
        sizes in prop::collection::vec(1_usize..6, 0..60),
    ) {
        let bytes = mutate(REQUEST, at, removed, &insert);
        let whole = read_request(&bytes, &[]);
        prop_assert_eq!(&whole, &read_request(&bytes, &sizes));
        if let Ok(Some((head, _))) = whole {
            let end = lenient_head_end(&bytes).expect("a head");
            let lines = bytes[..end].split(|byte| *byte == b'\n').count() - 1;
            let skipped = bytes.chunks(2).take_while(|line| *line == b"\r\n").count();
            prop_assert_eq!(lines, skipped + head.headers.iter().count() + 2);
        }
    }

    /// The same holds for responses, whose whole body is behind that end.
    #[test]
    fn response_read_in_parts_is_the_same(
        at in 0_usize..80,
        removed in 0_usize..4,
        insert in framing_bytes(),
        sizes in prop::collection::vec(1_usize..6, 0..60),
    ) {
        let bytes = mutate(RESPONSE, at, removed, &insert);
        let whole = read_response(&bytes, &[]);
        prop_assert_eq!(&whole, &read_response(&bytes, &sizes));
        if let Ok(Some((head, body))) = whole {
            let end = lenient_head_end(&bytes).expect("a head");
            if head.body != h1::BodyLength::Chunked {
                prop_assert!(bytes[end..].starts_with(&body));
            }
        }
    }
}
