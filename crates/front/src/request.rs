//! A client's request, resolved and ready to be sent.

use crate::adapter::HeaderNames;
use crate::answer::is_hop_header;
use h1::{HeaderList, RequestHead, encode_request_head};
use kernel::{Cause, Moment, RequestId, ServiceName};
use retry::fingerprint;
use route::PrefixRoute;
use std::sync::Arc;
use std::time::Duration;

/// A client's request as it was read.
#[derive(Clone, Debug)]
pub(crate) struct ClientRequest {
    pub head: RequestHead,
    pub body: Vec<u8>,
    pub received_at: Moment,
}

/// A request that is ready to be sent to an upstream of `service`.
#[derive(Clone, Debug)]
pub(crate) struct ResolvedRequest {
    pub id: RequestId,
    pub route: Arc<PrefixRoute>,
    pub service: ServiceName,
    pub key: Option<u16>,
    pub received_at: Moment,
    pub deadline: Moment,
    pub method: String,
    target: String,
    headers: HeaderList,
    body: Vec<u8>,
}

impl ResolvedRequest {
    /// Builds an order; `is_divided` says whether its key decides where it goes.
    ///
    /// # Errors
    ///
    /// Fails when the request has no id.
    pub(crate) fn new(
        request: ClientRequest,
        route: Arc<PrefixRoute>,
        service: ServiceName,
        is_divided: bool,
        names: &HeaderNames,
    ) -> Result<Self, Cause> {
        let ClientRequest {
            head,
            body,
            received_at,
        } = request;
        let id = head
            .headers
            .get(names.request_id)
            .ok_or(Cause::BadRequest)?;
        let id = RequestId::from(id);
        // Without a key any upstream may be asked; it judges the request itself.
        let key = if is_divided {
            head.headers
                .get(names.key)
                .and_then(|text| text.trim().parse().ok())
        } else {
            None
        };
        let timeout = route.rule().timeout;
        let given = head.headers.get_number(names.time_left);
        let limit = given.map_or(timeout, |ms| Duration::from_millis(ms).min(timeout));
        let mut headers = HeaderList::new();
        for (name, value) in head.headers.iter() {
            let is_own = name == names.time_left
                || name == names.wanted_upstream
                || name == "content-length"
                || name == "expect";
            if is_own || is_hop_header(name) || is_named_hop(&head.headers, name) {
                continue;
            }
            headers.push(name, value);
        }
        let has_body = !body.is_empty() || head.headers.get("content-length").is_some();
        if has_body || head.headers.get("transfer-encoding").is_some() {
            headers.push("content-length", body.len().to_string());
        }
        Ok(Self {
            id,
            service,
            key,
            received_at,
            deadline: received_at + limit,
            method: head.method,
            target: head.target,
            headers,
            body,
            route,
        })
    }

    /// Encodes the request for one upstream.
    pub(crate) fn encode(&self, names: &HeaderNames, upstream: &str, left: Duration) -> Vec<u8> {
        let mut headers = self.headers.clone();
        headers.push(names.time_left, left.as_millis().to_string());
        headers.push(names.wanted_upstream, upstream);
        let mut bytes = encode_request_head(&self.method, &self.target, &headers);
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Returns what identifies the request's content.
    pub(crate) fn fingerprint(&self) -> u64 {
        let host = self.headers.get("host").unwrap_or_default();
        fingerprint(&[
            self.method.as_bytes(),
            host.as_bytes(),
            self.target.as_bytes(),
            &self.body,
        ])
    }

    pub(crate) fn is_idempotent(&self) -> bool {
        self.route.rule().kind.is_idempotent()
    }
}

/// Returns whether the `connection` header names this header as its own.
fn is_named_hop(headers: &HeaderList, name: &str) -> bool {
    let listed = headers.get("connection").unwrap_or_default();
    listed
        .split(',')
        .any(|token| token.trim().eq_ignore_ascii_case(name))
}
