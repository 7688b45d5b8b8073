//! Answers to clients and their encoding.

use crate::body_memory::HeldBody;
use h1::{HeaderList, encode_response_head};
use kernel::{Refusal, Verdict};

/// Returns whether a header applies to a single connection only.
pub(crate) fn is_hop_by_hop_header(name: &str) -> bool {
    h1::is_hop_by_hop_header(name) || name == "proxy-connection"
}

/// An upstream's complete answer.
#[derive(Debug)]
pub(crate) struct UpstreamAnswer {
    pub status: u16,
    pub headers: HeaderList,
    pub body: HeldBody,
    /// Whether the status or method forbids a body, so that the content length need not
    /// match `body`.
    pub is_bodiless: bool,
}

impl UpstreamAnswer {
    /// Returns whether the status promises a client that its request has not run, and that
    /// it may send the request again. An upstream can promise it only for itself.
    pub(crate) const fn says_not_run(&self) -> bool {
        matches!(self.status, 408 | 421 | 429 | 503)
    }
}

/// Encodes the head of an upstream's answer for the client.
pub(crate) fn encode_answer_head(answer: &UpstreamAnswer, keeps_alive: bool) -> Vec<u8> {
    let mut headers = HeaderList::new();
    for (name, value) in answer.headers.iter() {
        if is_hop_by_hop_header(name) || (name == "content-length" && !answer.is_bodiless) {
            continue;
        }
        headers.push(name, value);
    }
    if !answer.is_bodiless {
        headers.push("content-length", answer.body.len().to_string());
    }
    if !keeps_alive {
        headers.push("connection", "close");
    }
    encode_response_head(answer.status, &headers)
}

/// Encodes an answer that refuses a request.
pub(crate) fn encode_refusal(
    refusal: Refusal,
    request_id: Option<(&str, &str)>,
    keeps_alive: bool,
) -> Vec<u8> {
    let mut headers = HeaderList::new();
    if let Some((name, id)) = request_id {
        headers.push(name, id);
    }
    headers.push("x-verdict", refusal.verdict().as_str());
    headers.push("x-cause", refusal.cause.as_str());
    if let Some(wait) = refusal.retry_after
        && refusal.verdict() == Verdict::NotRun
    {
        headers.push("retry-after", format!("{:.3}", wait.as_secs_f64()));
    }
    headers.push("content-length", "0");
    if !keeps_alive {
        headers.push("connection", "close");
    }
    encode_response_head(refusal.cause.status(), &headers)
}
