//! Parsing of heads, and the checks that determine a message's framing.

use crate::{BodyLength, Error, Result};
use std::ops::RangeInclusive;

/// Status codes with a meaning (RFC 9110, section 15). An upstream that fails may send
/// others.
const VALID_STATUSES: RangeInclusive<u16> = 100..=599;

/// Limits on the size of a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadLimits {
    /// Maximum size of the whole head, in bytes.
    pub max_bytes: usize,
    /// Maximum number of header lines.
    pub max_headers: usize,
}

impl Default for HeadLimits {
    fn default() -> Self {
        Self {
            max_bytes: 16 << 10,
            max_headers: 100,
        }
    }
}

/// An ordered list of header lines with lower-case names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeaderList {
    lines: Vec<(String, String)>,
}

impl HeaderList {
    /// Creates an empty list.
    pub const fn new() -> Self {
        Self { lines: Vec::new() }
    }

    /// Returns the first value of `name`, which must be in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        let line = self.lines.iter().find(|(line_name, _)| line_name == name)?;
        Some(&line.1)
    }

    /// Returns the first value of `name` as a number; `None` if it is missing or not a
    /// number.
    pub fn get_number(&self, name: &str) -> Option<u64> {
        self.get(name)?.trim().parse().ok()
    }

    /// Appends a line; `name` must be in lower case.
    pub fn push(&mut self, name: &str, value: impl Into<String>) {
        self.lines.push((name.to_owned(), value.into()));
    }

    /// Removes all lines for whose name `is_removed` returns `true`.
    pub fn remove_where(&mut self, is_removed: impl Fn(&str) -> bool) {
        self.lines.retain(|(name, _)| !is_removed(name));
    }

    /// Returns an iterator over the names and values.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.lines
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_str()))
    }

    fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.iter()
            .filter(move |(line_name, _)| *line_name == name)
            .map(|(_, value)| value)
    }

    /// Returns whether a comma-separated value of `name` contains `token`.
    fn has_token(&self, name: &str, token: &str) -> bool {
        self.values(name)
            .flat_map(|value| value.split(','))
            .any(|list_item| trim_whitespace(list_item).eq_ignore_ascii_case(token))
    }
}

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method, in upper case.
    pub method: String,
    /// Path and query of the request target.
    pub target: String,
    /// Header lines.
    pub headers: HeaderList,
    /// Framing of the body that follows.
    pub body: BodyLength,
    /// Whether the connection may be reused for another request.
    pub keeps_alive: bool,
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Header lines.
    pub headers: HeaderList,
    /// Framing of the body that follows.
    pub body: BodyLength,
    /// Whether the connection may be reused for another request.
    pub keeps_alive: bool,
}

/// An interim or final response to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// An interim response (1xx): the peer is still handling the request.
    Interim,
    /// The head of the final response.
    Final(ResponseHead),
}

/// Returns whether a header applies to one connection only; `name` must be in lower
/// case.
pub fn is_hop_by_hop_header(name: &str) -> bool {
    matches!(
        name,
        "connection"
            | "keep-alive"
            | "proxy-authenticate"
            | "proxy-authorization"
            | "te"
            | "trailer"
            | "transfer-encoding"
            | "upgrade"
    )
}

/// Parses the head of a request, which must be complete in `bytes`.
pub(crate) fn parse_request(bytes: &[u8], limits: &HeadLimits) -> Result<RequestHead> {
    let mut lines = vec![httparse::EMPTY_HEADER; limits.max_headers];
    let mut request = httparse::Request::new(&mut lines);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(end)) if end == bytes.len() => {}
        Ok(httparse::Status::Complete(_)) => return Err(Error::Malformed("bytes behind the head")),
        Ok(httparse::Status::Partial) => return Err(Error::Malformed("incomplete head")),
        Err(httparse::Error::TooManyHeaders) => return Err(Error::HeadTooLarge),
        Err(_parse_error) => return Err(Error::Malformed("request head")),
    }
    let method = request.method.unwrap_or_default().to_owned();
    let target = request.path.unwrap_or_default().to_owned();
    if !target.starts_with('/') {
        return Err(Error::Malformed("request target is not a path"));
    }
    let is_http_1_1 = request.version == Some(1);
    let headers = parse_headers(request.headers)?;
    if is_http_1_1 && headers.values("host").count() != 1 {
        return Err(Error::Malformed("expected one host header"));
    }
    let body = match declared_length(&headers, is_http_1_1)? {
        Some(length) => length,
        None => BodyLength::Fixed(0),
    };
    let keeps_alive = is_http_1_1 && !headers.has_token("connection", "close");
    Ok(RequestHead {
        method,
        target,
        headers,
        body,
        keeps_alive,
    })
}

/// Parses the head of the response to a request with method `method`.
pub(crate) fn parse_response(
    bytes: &[u8],
    limits: &HeadLimits,
    method: &str,
) -> Result<ResponseHead> {
    let mut lines = vec![httparse::EMPTY_HEADER; limits.max_headers];
    let mut response = httparse::Response::new(&mut lines);
    match response.parse(bytes) {
        Ok(httparse::Status::Complete(end)) if end == bytes.len() => {}
        Ok(httparse::Status::Complete(_)) => return Err(Error::Malformed("bytes behind the head")),
        Ok(httparse::Status::Partial) => return Err(Error::Malformed("incomplete head")),
        Err(httparse::Error::TooManyHeaders) => return Err(Error::HeadTooLarge),
        Err(_parse_error) => return Err(Error::Malformed("invalid response head")),
    }
    let status = response.code.unwrap_or_default();
    if !VALID_STATUSES.contains(&status) {
        return Err(Error::Malformed("status is not in 100 to 599"));
    }
    let is_http_1_1 = response.version == Some(1);
    let headers = parse_headers(response.headers)?;
    let has_no_body = method == "HEAD" || status == 204 || status == 304;
    let declared = declared_length(&headers, is_http_1_1)?;
    let body = match declared {
        _ if has_no_body => BodyLength::Fixed(0),
        Some(length) => length,
        None => BodyLength::UntilClose,
    };
    // A length that a 204 may not declare leaves open where the next message begins.
    let is_delimited = body != BodyLength::UntilClose
        && (status != 204 || declared.is_none_or(|length| length == BodyLength::Fixed(0)));
    let keeps_alive = is_http_1_1 && is_delimited && !headers.has_token("connection", "close");
    Ok(ResponseHead {
        status,
        headers,
        body,
        keeps_alive,
    })
}

fn parse_headers(lines: &[httparse::Header<'_>]) -> Result<HeaderList> {
    let mut headers = HeaderList::new();
    for line in lines {
        let Ok(value) = std::str::from_utf8(line.value) else {
            return Err(Error::Malformed("header value is not text"));
        };
        headers.push(&line.name.to_ascii_lowercase(), trim_whitespace(value));
    }
    Ok(headers)
}

/// Trims the characters that count as whitespace in a header (RFC 9110, section 5.6.3).
fn trim_whitespace(text: &str) -> &str {
    text.trim_matches([' ', '\t'])
}

/// Checks a line of a trailer section, which is discarded.
///
/// A line that is no header may belong to the next message of a peer that sends no
/// trailer section.
pub(crate) fn check_trailer(line: &str) -> Result<()> {
    let mut lines = [httparse::EMPTY_HEADER];
    match httparse::parse_headers(format!("{line}\r\n\r\n").as_bytes(), &mut lines) {
        Ok(httparse::Status::Complete(_)) => Ok(()),
        _ => Err(Error::Malformed("trailer is not a header")),
    }
}

/// Returns the framing that the headers declare, or `None` if they declare none.
///
/// Messages whose length two implementations could interpret differently are refused
/// (RFC 9112, section 6.3).
fn declared_length(headers: &HeaderList, is_http_1_1: bool) -> Result<Option<BodyLength>> {
    let mut lengths = headers.values("content-length");
    let length = lengths.next();
    if lengths.next().is_some() {
        return Err(Error::Malformed("more than one content-length"));
    }
    let mut codings = headers.values("transfer-encoding");
    if let Some(coding) = codings.next() {
        if length.is_some() {
            return Err(Error::Malformed("content-length with transfer-encoding"));
        }
        if codings.next().is_some() || !coding.eq_ignore_ascii_case("chunked") {
            return Err(Error::Malformed("unsupported transfer-encoding"));
        }
        // To an HTTP/1.0 peer the chunks are a part of the body (RFC 9112, section 6.1).
        if !is_http_1_1 {
            return Err(Error::Malformed("transfer-encoding in HTTP/1.0"));
        }
        return Ok(Some(BodyLength::Chunked));
    }
    let Some(text) = length else {
        return Ok(None);
    };
    let is_number = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit());
    match text.parse() {
        Ok(number) if is_number => Ok(Some(BodyLength::Fixed(number))),
        _ => Err(Error::Malformed("content-length is not a number")),
    }
}
