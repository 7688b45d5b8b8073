//! Encoding of heads.

use crate::HeaderList;
use std::fmt::Write as _;

/// Encodes the head of a request.
///
/// Names and values must not contain line ends. They are not checked here, because
/// they come from parsed heads or from the program itself.
pub fn encode_request_head(method: &str, target: &str, headers: &HeaderList) -> Vec<u8> {
    let mut text = String::with_capacity(256);
    // Writing to a string can't fail.
    let _write_result = write!(text, "{method} {target} HTTP/1.1\r\n");
    push_headers(&mut text, headers);
    text.into_bytes()
}

/// Encodes the head of a response; the same holds for its headers as for
/// [`encode_request_head`].
pub fn encode_response_head(status: u16, headers: &HeaderList) -> Vec<u8> {
    let mut text = String::with_capacity(256);
    // Writing to a string can't fail.
    let _write_result = write!(text, "HTTP/1.1 {status} {}\r\n", reason_phrase(status));
    push_headers(&mut text, headers);
    text.into_bytes()
}

/// Returns the standard reason phrase of a status code, or `Status` if it is unknown.
pub const fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        201 => "Created",
        204 => "No Content",
        400 => "Bad Request",
        401 => "Unauthorized",
        403 => "Forbidden",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        422 => "Unprocessable Content",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}

fn push_headers(text: &mut String, headers: &HeaderList) {
    for (name, value) in headers.iter() {
        text.push_str(name);
        text.push_str(": ");
        text.push_str(value);
        text.push_str("\r\n");
    }
    text.push_str("\r\n");
}
