//! Parsed heads and the checks that decide a message's framing.

use crate::{BodyLength, Error, Result};

/// Limits on a head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadLimits {
    /// Most bytes of the whole head.
    pub bytes: usize,
    /// Most header lines.
    pub headers: usize,
}

impl Default for HeadLimits {
    fn default() -> Self {
        Self {
            bytes: 16 << 10,
            headers: 100,
        }
    }
}

/// Header lines in order, with lower-case names.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeaderList {
    lines: Vec<(String, String)>,
}

impl HeaderList {
    /// Builds an empty list.
    pub const fn new() -> Self {
        Self { lines: Vec::new() }
    }

    /// Returns the first value of `name`, which must be in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        let line = self.lines.iter().find(|(known, _)| known == name)?;
        Some(&line.1)
    }

    /// Parses the first value of `name` as a number.
    pub fn get_number(&self, name: &str) -> Option<u64> {
        self.get(name)?.trim().parse().ok()
    }

    /// Appends a line; `name` must be in lower case.
    pub fn push(&mut self, name: &str, value: impl Into<String>) {
        self.lines.push((name.to_owned(), value.into()));
    }

    /// Removes all lines of which `is_removed` holds for the name.
    pub fn remove_where(&mut self, is_removed: impl Fn(&str) -> bool) {
        self.lines.retain(|(name, _)| !is_removed(name));
    }

    /// Iterates over names and values.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.lines
            .iter()
            .map(|(name, value)| (name.as_str(), value.as_str()))
    }

    fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a str> {
        self.iter()
            .filter(move |(known, _)| *known == name)
            .map(|(_, value)| value)
    }

    fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name)
            .flat_map(|value| value.split(','))
            .any(|part| part.trim().eq_ignore_ascii_case(token))
    }
}

/// Head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RequestHead {
    /// Method in upper case.
    pub method: String,
    /// Path and query.
    pub target: String,
    /// Header lines.
    pub headers: HeaderList,
    /// Length of the body that follows.
    pub body: BodyLength,
    /// Whether another request may follow on the connection.
    pub keeps_alive: bool,
}

/// Head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResponseHead {
    /// Status code.
    pub status: u16,
    /// Header lines.
    pub headers: HeaderList,
    /// Length of the body that follows.
    pub body: BodyLength,
    /// Whether the connection may be used again.
    pub keeps_alive: bool,
}

/// What a peer sends in answer to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ResponsePart {
    /// An interim response (1xx): the peer is at work.
    Interim,
    /// The final response's head.
    Final(ResponseHead),
}

/// Returns whether a header line concerns one connection only; `name` must be in
/// lower case.
pub fn is_hop_header(name: &str) -> bool {
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

/// Parses a request's head, which must be complete in `bytes`.
pub(crate) fn parse_request(bytes: &[u8], limits: &HeadLimits) -> Result<RequestHead> {
    let mut lines = vec![httparse::EMPTY_HEADER; limits.headers];
    let mut request = httparse::Request::new(&mut lines);
    match request.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) => return Err(Error::Malformed("incomplete head")),
        Err(httparse::Error::TooManyHeaders) => return Err(Error::HeadTooLarge),
        Err(_parse) => return Err(Error::Malformed("request head")),
    }
    let method = request.method.unwrap_or_default().to_owned();
    let target = request.path.unwrap_or_default().to_owned();
    if !target.starts_with('/') {
        return Err(Error::Malformed("request target is not a path"));
    }
    let is_current = request.version == Some(1);
    let headers = collect(request.headers)?;
    if is_current && headers.all("host").count() != 1 {
        return Err(Error::Malformed("expected one host header"));
    }
    let body = match declared_length(&headers)? {
        Some(length) => length,
        None => BodyLength::Fixed(0),
    };
    let keeps_alive = is_current && !headers.has_token("connection", "close");
    Ok(RequestHead {
        method,
        target,
        headers,
        body,
        keeps_alive,
    })
}

/// Parses the head of a response to a request of method `method`.
pub(crate) fn parse_response(
    bytes: &[u8],
    limits: &HeadLimits,
    method: &str,
) -> Result<ResponseHead> {
    let mut lines = vec![httparse::EMPTY_HEADER; limits.headers];
    let mut response = httparse::Response::new(&mut lines);
    match response.parse(bytes) {
        Ok(httparse::Status::Complete(_)) => {}
        Ok(httparse::Status::Partial) => return Err(Error::Malformed("incomplete head")),
        Err(httparse::Error::TooManyHeaders) => return Err(Error::HeadTooLarge),
        Err(_parse) => return Err(Error::Malformed("response head")),
    }
    let status = response.code.unwrap_or_default();
    let is_current = response.version == Some(1);
    let headers = collect(response.headers)?;
    let has_no_body = method == "HEAD" || status == 204 || status == 304;
    let declared = declared_length(&headers)?;
    let body = match declared {
        _ if has_no_body => BodyLength::Fixed(0),
        Some(length) => length,
        None => BodyLength::UntilClose,
    };
    let is_delimited = body != BodyLength::UntilClose;
    let keeps_alive = is_current && is_delimited && !headers.has_token("connection", "close");
    Ok(ResponseHead {
        status,
        headers,
        body,
        keeps_alive,
    })
}

fn collect(lines: &[httparse::Header<'_>]) -> Result<HeaderList> {
    let mut headers = HeaderList::new();
    for line in lines {
        let Ok(value) = std::str::from_utf8(line.value) else {
            return Err(Error::Malformed("header value is not text"));
        };
        headers.push(&line.name.to_ascii_lowercase(), value.trim());
    }
    Ok(headers)
}

/// Returns the body's length as the headers declare it.
///
/// Messages whose length two parties could read differently are refused
/// (RFC 9112, section 6.3).
fn declared_length(headers: &HeaderList) -> Result<Option<BodyLength>> {
    let mut lengths = headers.all("content-length");
    let length = lengths.next();
    if lengths.next().is_some() {
        return Err(Error::Malformed("more than one content-length"));
    }
    let mut codings = headers.all("transfer-encoding");
    if let Some(coding) = codings.next() {
        if length.is_some() {
            return Err(Error::Malformed("content-length with transfer-encoding"));
        }
        if codings.next().is_some() || !coding.eq_ignore_ascii_case("chunked") {
            return Err(Error::Malformed("unsupported transfer-encoding"));
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
