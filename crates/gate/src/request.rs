//! A resolved request, as the ingress sends it to the primary of its upstream.

use h1::{HeaderList, RequestHead};
use kernel::{CustomerName, Epoch, Moment, RequestId, ServiceName, ShardId, UpstreamId};
use sheet::{JournalPolicy, Rank};
use std::sync::Arc;
use std::time::Duration;

/// A resolved request with everything that the primary needs to run it.
#[derive(Clone, Debug)]
pub struct ResolvedRequest {
    /// Unique id that the ingress gave the request.
    ///
    /// The upstream repeats it in its answer, and it names the attempt in the
    /// journal.
    pub id: RequestId,
    /// The service.
    pub service: ServiceName,
    /// Name of the request kind.
    pub kind: String,
    /// HTTP method in upper case.
    pub method: String,
    /// Path and query, without the leading service name.
    pub target: String,
    /// End-to-end header lines.
    pub headers: HeaderList,
    /// The whole body.
    pub body: Arc<Vec<u8>>,
    /// The upstream that runs it.
    pub upstream: UpstreamId,
    /// The shard and its epoch; `None` for unsharded services.
    pub shard: Option<(ShardId, Epoch)>,
    /// Priority class.
    pub rank: Rank,
    /// The customer that the request counts for.
    pub customer: CustomerName,
    /// When the client gives up.
    pub deadline: Moment,
    /// Whether running it twice has the same effect as running it once.
    pub is_idempotent: bool,
    /// Whether it occupies its slot for a long time.
    pub is_long: bool,
    /// Slot time that the sheet plans for this kind.
    pub planned_cost: Duration,
    /// Whether it runs while the journal can't be written.
    pub journal: JournalPolicy,
}

/// A peer request whose headers are missing or invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InvalidPeerRequest(pub &'static str);

impl ResolvedRequest {
    /// Returns the idempotency key; `None` if the request is idempotent by itself or
    /// has no key.
    pub fn idempotency_key(&self) -> Option<&str> {
        if self.is_idempotent {
            return None;
        }
        self.headers.get("idempotency-key")
    }

    /// Returns a hash of the service, method, target and body.
    pub fn fingerprint(&self) -> u64 {
        retry::fingerprint(&[
            self.service.as_str().as_bytes(),
            self.method.as_bytes(),
            self.target.as_bytes(),
            &self.body,
        ])
    }

    /// Encodes the request as the header lines of a peer request.
    pub(crate) fn peer_headers(&self, now: Moment, secret: &str) -> HeaderList {
        let mut headers = self.headers.clone();
        headers.push("host", "peer");
        headers.push("content-length", self.body.len().to_string());
        headers.push("x-request-id", self.id.as_str());
        headers.push("trestle-secret", secret);
        headers.push("trestle-service", self.service.as_str());
        headers.push("trestle-kind", self.kind.as_str());
        headers.push("trestle-upstream", self.upstream.as_str());
        if let Some((shard, epoch)) = self.shard {
            headers.push("trestle-shard", shard.to_string());
            headers.push("trestle-shard-epoch", epoch.to_string());
        }
        headers.push("trestle-rank", self.rank.as_str());
        headers.push("trestle-customer", self.customer.as_str());
        let left_us = (self.deadline - now).as_micros();
        headers.push("trestle-left-us", left_us.to_string());
        headers.push("trestle-idempotent", flag(self.is_idempotent));
        headers.push("trestle-long", flag(self.is_long));
        headers.push("trestle-cost-us", self.planned_cost.as_micros().to_string());
        let runs_unjournaled = self.journal == JournalPolicy::RunUnjournaled;
        headers.push("trestle-unjournaled", flag(runs_unjournaled));
        headers
    }

    /// Decodes a request that a peer has forwarded.
    ///
    /// # Errors
    ///
    /// Fails when a header is missing or invalid.
    pub(crate) fn from_peer(
        now: Moment,
        head: &RequestHead,
        body: Vec<u8>,
    ) -> Result<Self, InvalidPeerRequest> {
        let received = &head.headers;
        let text =
            |name: &str, error: &'static str| received.get(name).ok_or(InvalidPeerRequest(error));
        let number = |name: &str, error| received.get_number(name).ok_or(InvalidPeerRequest(error));
        let shard = match (
            received.get_number("trestle-shard"),
            received.get_number("trestle-shard-epoch"),
        ) {
            (Some(shard), Some(epoch)) => Some((ShardId(shard as u32), Epoch(epoch))),
            (None, None) => None,
            _ => return Err(InvalidPeerRequest("shard without epoch")),
        };
        let rank = Rank::parse(text("trestle-rank", "no rank")?)
            .ok_or(InvalidPeerRequest("unknown rank"))?;
        let left = Duration::from_micros(number("trestle-left-us", "no deadline")?);
        let cost = Duration::from_micros(number("trestle-cost-us", "no cost")?);
        let journal = if received.get("trestle-unjournaled") == Some("1") {
            JournalPolicy::RunUnjournaled
        } else {
            JournalPolicy::Refuse
        };
        let mut headers = received.clone();
        let id = text("x-request-id", "no request id")?.into();
        headers.remove_where(|name| {
            name.starts_with("trestle-")
                || crate::answer::is_hop_by_hop_header(name)
                || matches!(name, "host" | "x-request-id")
        });
        Ok(Self {
            id,
            service: text("trestle-service", "no service")?.into(),
            kind: text("trestle-kind", "no kind")?.to_owned(),
            method: head.method.clone(),
            target: head.target.clone(),
            headers,
            body: Arc::new(body),
            upstream: text("trestle-upstream", "no upstream")?.into(),
            shard,
            rank,
            customer: text("trestle-customer", "no customer")?.into(),
            deadline: now + left,
            is_idempotent: received.get("trestle-idempotent") == Some("1"),
            is_long: received.get("trestle-long") == Some("1"),
            planned_cost: cost,
            journal,
        })
    }
}

const fn flag(value: bool) -> &'static str {
    if value { "1" } else { "0" }
}
