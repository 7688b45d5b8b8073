//! Client requests, resolved and ready to be sent.

use crate::adapter::HeaderNames;
use crate::answer::is_hop_by_hop_header;
use crate::body_memory::HeldBody;
use h1::{HeaderList, RequestHead, encode_request_head};
use kernel::{Cause, Moment, RequestId, ServiceName};
use place::RequestWork;
use retry::RequestFingerprint;
use route::PrefixRoute;
use std::sync::Arc;
use std::time::Duration;

/// A client's request as it was read.
#[derive(Debug)]
pub(crate) struct ClientRequest {
    pub head: RequestHead,
    pub body: HeldBody,
    pub received_at: Moment,
}

/// A request that is ready to be sent to an upstream of `service`.
#[derive(Debug)]
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
    body: HeldBody,
    /// Time that the client said it had left, which the route's timeout does not shorten.
    pub client_time_left: Duration,
}

impl ResolvedRequest {
    /// Resolves a request; `is_sharded` says whether its key decides where it goes.
    ///
    /// # Errors
    ///
    /// Fails when the request has no id.
    pub(crate) fn new(
        request: ClientRequest,
        route: Arc<PrefixRoute>,
        service: ServiceName,
        is_sharded: bool,
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
        // Without a valid key the request goes to any upstream, which decides whether
        // to accept the request.
        let key = if is_sharded {
            head.headers
                .get(names.key)
                .and_then(|text| text.trim().parse().ok())
        } else {
            None
        };
        let timeout = route.rule().timeout;
        let client_timeout_ms = head.headers.get_number(names.time_left);
        let duration_left =
            client_timeout_ms.map_or(timeout, |ms| Duration::from_millis(ms).min(timeout));
        let mut headers = HeaderList::new();
        for (name, value) in head.headers.iter() {
            let is_replaced = name == names.time_left
                || name == names.target_upstream
                || name == "content-length"
                || name == "expect";
            if is_replaced
                || is_hop_by_hop_header(name)
                || is_listed_hop_header(&head.headers, name)
            {
                continue;
            }
            headers.push(name, value);
        }
        let has_body = body.len() > 0 || head.headers.get("content-length").is_some();
        if has_body || head.headers.get("transfer-encoding").is_some() {
            headers.push("content-length", body.len().to_string());
        }
        Ok(Self {
            id,
            service,
            key,
            received_at,
            deadline: received_at + duration_left,
            method: head.method,
            target: head.target,
            headers,
            body,
            route,
            client_time_left: client_timeout_ms.map_or(timeout, Duration::from_millis),
        })
    }

    /// Returns the request as it is sent.
    pub(crate) fn outgoing(&self) -> OutgoingRequest<'_> {
        OutgoingRequest {
            id: &self.id,
            method: &self.method,
            target: &self.target,
            headers: &self.headers,
            body: &self.body,
            deadline: self.deadline,
            is_idempotent: self.is_idempotent(),
            is_relayed: false,
        }
    }

    /// Returns a hash of the request's content, by which requests that crash upstreams
    /// are recognized.
    pub(crate) fn fingerprint(&self) -> u64 {
        let host = self.headers.get("host").unwrap_or_default();
        let mut fingerprint = RequestFingerprint::new();
        for part in [&self.method, host, &self.target] {
            fingerprint.add_part([part.as_bytes()]);
        }
        fingerprint.add_part(self.body.blocks().iter().map(Vec::as_slice));
        fingerprint.digest()
    }

    /// Returns the work that the request asks for.
    pub(crate) fn work(&self) -> RequestWork<'_> {
        RequestWork {
            service: &self.service,
            route: &self.route.rule().name,
        }
    }

    pub(crate) fn is_idempotent(&self) -> bool {
        self.route.rule().kind.is_idempotent()
    }
}

/// A request as it is sent to an upstream or a relay: a client's, or one that this host
/// relays.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OutgoingRequest<'a> {
    pub id: &'a RequestId,
    pub method: &'a str,
    pub target: &'a str,
    pub headers: &'a HeaderList,
    pub body: &'a HeldBody,
    pub deadline: Moment,
    pub is_idempotent: bool,
    /// Whether this host relays it for another one.
    pub is_relayed: bool,
}

impl OutgoingRequest<'_> {
    /// Encodes the request's head for one upstream, with the time left until its deadline.
    pub(crate) fn encode_head(
        &self,
        names: &HeaderNames,
        upstream: &str,
        remaining: Duration,
    ) -> Vec<u8> {
        let mut headers = self.headers.clone();
        headers.push(names.time_left, remaining.as_millis().to_string());
        headers.push(names.target_upstream, upstream);
        encode_request_head(self.method, self.target, &headers)
    }
}

/// Returns whether the `connection` header lists this header as hop-by-hop.
fn is_listed_hop_header(headers: &HeaderList, name: &str) -> bool {
    let connection_tokens = headers.get("connection").unwrap_or_default();
    connection_tokens
        .split(',')
        .any(|token| token.trim().eq_ignore_ascii_case(name))
}
