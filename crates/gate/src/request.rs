//! A request as it travels from ingress to primary.

use h1::{HeaderList, RequestHead};
use kernel::{CustomerName, Epoch, Moment, RequestId, ServiceName, ShardId, UpstreamId};
use sheet::{JournalPolicy, Rank};
use std::sync::Arc;
use std::time::Duration;

/// A resolved request and all that a primary needs to know of it.
#[derive(Clone, Debug)]
pub struct ResolvedRequest {
    /// Unique id of the request at its ingress; matches the answer to it and
    /// names the attempt in the journal.
    pub request: RequestId,
    /// The service.
    pub service: ServiceName,
    /// The kind's name.
    pub kind: String,
    /// Method in upper case.
    pub method: String,
    /// Path and query below the service's name.
    pub target: String,
    /// End-to-end header lines.
    pub headers: HeaderList,
    /// The whole body.
    pub body: Arc<Vec<u8>>,
    /// The upstream that is to run it.
    pub upstream: UpstreamId,
    /// The shard and its epoch, for divided services.
    pub shard: Option<(ShardId, Epoch)>,
    /// Urgency.
    pub rank: Rank,
    /// Whose it is.
    pub customer: CustomerName,
    /// When the caller gives up.
    pub deadline: Moment,
    /// Whether running it twice equals running it once.
    pub is_idempotent: bool,
    /// Whether it holds its slot for long.
    pub is_long: bool,
    /// Slot time that the sheet expects.
    pub planned_cost: Duration,
    /// What happens while the journal can't be written.
    pub journal: JournalPolicy,
}

/// A peer message that is not a work order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OrderError(pub &'static str);

impl ResolvedRequest {
    /// Returns the idempotency key of work that needs one.
    pub fn idempotency_key(&self) -> Option<&str> {
        if self.is_idempotent {
            return None;
        }
        self.headers.get("idempotency-key")
    }

    /// Returns a hash of what the request asks for.
    pub fn fingerprint(&self) -> u64 {
        retry::fingerprint(&[
            self.service.as_str().as_bytes(),
            self.method.as_bytes(),
            self.target.as_bytes(),
            &self.body,
        ])
    }

    /// Writes the order as the header lines of a peer request.
    pub(crate) fn peer_headers(&self, now: Moment, secret: &str) -> HeaderList {
        let mut headers = self.headers.clone();
        headers.push("host", "peer");
        headers.push("content-length", self.body.len().to_string());
        headers.push("x-request-id", self.request.as_str());
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
        let journal = self.journal == JournalPolicy::RunUnjournaled;
        headers.push("trestle-unjournaled", flag(journal));
        headers
    }

    /// Reads an order from a peer request.
    pub(crate) fn from_peer(
        now: Moment,
        head: &RequestHead,
        body: Vec<u8>,
    ) -> Result<Self, OrderError> {
        let given = &head.headers;
        let text = |name: &str, error: &'static str| given.get(name).ok_or(OrderError(error));
        let number = |name: &str, error| given.get_number(name).ok_or(OrderError(error));
        let shard = match (
            given.get_number("trestle-shard"),
            given.get_number("trestle-shard-epoch"),
        ) {
            (Some(shard), Some(epoch)) => Some((ShardId(shard as u32), Epoch(epoch))),
            (None, None) => None,
            _ => return Err(OrderError("shard without epoch")),
        };
        let rank = Rank::parse(text("trestle-rank", "no rank")?).ok_or(OrderError("rank"))?;
        let left = Duration::from_micros(number("trestle-left-us", "no deadline")?);
        let cost = Duration::from_micros(number("trestle-cost-us", "no cost")?);
        let journal = if given.get("trestle-unjournaled") == Some("1") {
            JournalPolicy::RunUnjournaled
        } else {
            JournalPolicy::Refuse
        };
        let mut headers = given.clone();
        let request = text("x-request-id", "no request id")?.into();
        headers.remove_where(|name| {
            name.starts_with("trestle-")
                || crate::answer::is_hop_header(name)
                || matches!(name, "host" | "x-request-id")
        });
        Ok(Self {
            request,
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
            is_idempotent: given.get("trestle-idempotent") == Some("1"),
            is_long: given.get("trestle-long") == Some("1"),
            planned_cost: cost,
            journal,
        })
    }
}

const fn flag(value: bool) -> &'static str {
    if value { "1" } else { "0" }
}
