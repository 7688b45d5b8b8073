//! Handling of a client's request at its ingress: it is resolved, admitted, sent,
//! and retried where that is safe.

use crate::answer::{Answer, is_hop_by_hop_header, is_internal_header};
use crate::forward::PeerForwarder;
use crate::limits::GateLimits;
use crate::metrics::GateMetrics;
use crate::request::ResolvedRequest;
use crate::schedulers::PrimarySchedulers;
use crate::snapshot::SnapshotCell;
use crate::waits::WaitTracker;
use h1::RequestHead;
use indexmap::IndexMap;
use kernel::{
    Cause, Clock, CustomerName, HostId, Moment, Refusal, RequestId, ServiceName, UpstreamId,
    Verdict,
};
use log::info;
use member::UpstreamLoad;
use parking_lot::Mutex;
use retry::RetryBudget;
use route::KindRoute;
use sheet::Rank;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

const MAX_CUSTOMER_BYTES: usize = 64;
/// Share of the in-flight limit up to which requests of each rank are admitted, in
/// percent.
const RANK_CAPACITY_PERCENT: [u64; 3] = [100, 85, 70];

/// The parts that an [`Ingress`] is built from.
#[derive(Debug)]
pub struct IngressParts {
    /// Routes and owners, as published by the control thread.
    pub snapshots: Arc<SnapshotCell>,
    /// Schedulers of the upstreams that this host is the primary of.
    pub schedulers: PrimarySchedulers,
    /// The host's clock.
    pub clock: Arc<dyn Clock>,
    /// Limits on connections, messages and waiting times.
    pub limits: GateLimits,
    /// Metrics of this host's requests.
    pub metrics: GateMetrics,
    /// This host's id.
    pub host: HostId,
    /// Secret that hosts of the deployment present on the peer link.
    pub secret: String,
    /// Replacements for addresses that this host reaches under another address.
    pub translations: IndexMap<String, String>,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// Resolves clients' requests and sends them to their upstreams.
#[derive(Clone, Debug)]
pub struct Ingress {
    pub(crate) shared: Arc<IngressShared>,
}

#[derive(Debug)]
pub(crate) struct IngressShared {
    pub parts: IngressParts,
    pub forwarder: PeerForwarder,
    pub waits: WaitTracker,
    pub budgets: Mutex<IndexMap<ServiceName, RetryBudget>>,
    pub rng: Mutex<fastrand::Rng>,
    next_request: AtomicU64,
    in_flight: AtomicU64,
    body_bytes: AtomicU64,
    is_stopping: AtomicBool,
}

/// A complete request as received from a client.
#[derive(Clone, Debug)]
pub(crate) struct ClientRequest {
    pub head: RequestHead,
    pub body: Vec<u8>,
    pub received_at: Moment,
}

/// The reply to a client.
#[derive(Debug)]
pub(crate) struct ClientReply {
    pub request_id: String,
    pub outcome: Result<Answer, Refusal>,
    /// Counts the request as in flight until its answer is written.
    pub in_flight: Option<InFlightGuard>,
}

/// Counts a request as in flight until it is dropped.
#[derive(Debug)]
pub(crate) struct InFlightGuard {
    shared: Arc<IngressShared>,
    body_bytes: u64,
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.shared
            .body_bytes
            .fetch_sub(self.body_bytes, Ordering::Relaxed);
        self.shared.parts.metrics.in_flight.dec();
    }
}

/// The attempts of a request so far.
pub(crate) struct AttemptRecord {
    pub started_at: Moment,
    pub attempts: u32,
    pub failed: Vec<UpstreamId>,
    /// Refusal of the last attempt that may have run.
    pub possible_run: Option<Refusal>,
}

impl Ingress {
    /// Creates an ingress.
    pub fn new(parts: IngressParts) -> Self {
        let silence_timeout = Duration::from_millis(parts.limits.probe_ms);
        let forwarder =
            PeerForwarder::new(Arc::clone(&parts.clock), &parts.secret, silence_timeout);
        let rng = fastrand::Rng::with_seed(parts.seed);
        Self {
            shared: Arc::new(IngressShared {
                parts,
                forwarder,
                waits: WaitTracker::default(),
                budgets: Mutex::new(IndexMap::new()),
                rng: Mutex::new(rng),
                next_request: AtomicU64::new(1),
                in_flight: AtomicU64::new(0),
                body_bytes: AtomicU64::new(0),
                is_stopping: AtomicBool::new(false),
            }),
        }
    }

    /// Makes client connections close after their current request.
    pub fn stop(&self) {
        self.shared.is_stopping.store(true, Ordering::SeqCst);
    }

    /// Returns whether the host is stopping.
    pub fn is_stopping(&self) -> bool {
        self.shared.is_stopping.load(Ordering::SeqCst)
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u64 {
        self.shared.in_flight.load(Ordering::SeqCst)
    }

    /// Records the expected waits that another host reported.
    pub fn apply_loads(&self, loads: &[UpstreamLoad]) {
        let now = self.shared.parts.clock.now();
        for load in loads {
            let wait = Duration::from_millis(u64::from(load.wait_ms));
            self.shared.waits.record_wait(now, &load.upstream, wait);
        }
    }

    pub(crate) fn now(&self) -> Moment {
        self.shared.parts.clock.now()
    }

    pub(crate) fn limits(&self) -> &GateLimits {
        &self.shared.parts.limits
    }

    pub(crate) fn metrics(&self) -> &GateMetrics {
        &self.shared.parts.metrics
    }

    /// Returns the maximum body size of a request in bytes, from its head.
    ///
    /// # Errors
    ///
    /// Fails when no sheet is known, when the request has no route, or when the bodies
    /// in flight leave too little room.
    pub(crate) fn body_limit(&self, head: &RequestHead) -> Result<u64, Cause> {
        let snapshot = self.shared.parts.snapshots.load();
        if snapshot.sheet_version.0 == 0 {
            return Err(Cause::NoConfiguration);
        }
        let found = snapshot.routes.find(&head.method, &head.target)?;
        let limit = found.kind().plan().max_body_bytes;
        let used = self.shared.body_bytes.load(Ordering::Relaxed);
        if used + limit > self.shared.parts.limits.max_body_bytes {
            return Err(Cause::HostBusy);
        }
        Ok(limit)
    }

    /// Handles a client's request.
    pub(crate) async fn handle(&self, request: ClientRequest) -> ClientReply {
        let sequence = self.shared.next_request.fetch_add(1, Ordering::Relaxed);
        let id = format!("{}-{sequence}", self.shared.parts.host);
        let client_id = request.head.headers.get("x-request-id");
        let request_id = client_id
            .filter(|id| is_token(id))
            .unwrap_or(&id)
            .to_owned();
        let received_at = request.received_at;
        let mut record = AttemptRecord {
            started_at: received_at,
            attempts: 0,
            failed: Vec::new(),
            possible_run: None,
        };
        let mut rank = None;
        let mut in_flight = None;
        let outcome = match self.resolve(request, id.into()) {
            Ok((kind, mut resolved)) => {
                rank = Some(resolved.rank);
                let outcome = match self.admit(&resolved) {
                    Ok(guard) => {
                        in_flight = Some(guard);
                        self.run_attempts(&kind, &mut resolved, &mut record).await
                    }
                    Err(refusal) => Err(refusal),
                };
                log_decision(&resolved, &outcome, &record, self.now(), &request_id);
                outcome
            }
            Err(refusal) => Err(refusal),
        };
        self.record_outcome(rank, &outcome, self.now() - received_at);
        ClientReply {
            request_id,
            outcome,
            in_flight,
        }
    }

    fn record_outcome(
        &self,
        rank: Option<Rank>,
        outcome: &Result<Answer, Refusal>,
        took: Duration,
    ) {
        let metrics = &self.shared.parts.metrics;
        match outcome {
            Ok(_) => metrics.record(rank, Verdict::Ran, None, took),
            Err(refusal) => metrics.record(rank, refusal.verdict(), Some(refusal.cause), took),
        }
    }

    /// Resolves a request to its kind, key, customer and deadline.
    fn resolve(
        &self,
        request: ClientRequest,
        id: RequestId,
    ) -> Result<(KindRoute, ResolvedRequest), Refusal> {
        let snapshot = self.shared.parts.snapshots.load();
        let ClientRequest { head, body, .. } = request;
        let found = snapshot.routes.find(&head.method, &head.target)?;
        let key = found.key(|name| head.headers.get(name))?;
        let kind = found.kind();
        let shard = key.and_then(|key| kind.shard(key));
        let customer = customer_of(&head)?;
        let deadline = request.received_at + request_timeout(&head, kind);
        let mut headers = head.headers.clone();
        headers.remove_where(|name| {
            is_hop_by_hop_header(name)
                || is_internal_header(name)
                || matches!(
                    name,
                    "host" | "x-request-id" | "x-customer" | "x-deadline-ms"
                )
        });
        let service = kind.service();
        let target = head.target[service.as_str().len() + 1..].to_owned();
        let resolved = ResolvedRequest {
            id,
            service: service.clone(),
            kind: kind.plan().name.clone(),
            method: head.method,
            target,
            headers,
            body: Arc::new(body),
            upstream: UpstreamId::from(""),
            shard: shard.map(|shard| (shard, kernel::Epoch(0))),
            rank: kind.rank(),
            customer,
            deadline,
            is_idempotent: kind.plan().idempotent,
            is_long: kind.plan().long,
            planned_cost: kind.planned_cost(),
            journal: kind.journal(),
        };
        Ok((kind.clone(), resolved))
    }

    /// Counts the request as in flight, or refuses it if the host has no capacity for
    /// its rank.
    fn admit(&self, resolved: &ResolvedRequest) -> Result<InFlightGuard, Refusal> {
        let shared = &self.shared;
        let body_bytes = resolved.body.len() as u64;
        let in_flight = shared.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
        shared.body_bytes.fetch_add(body_bytes, Ordering::Relaxed);
        shared.parts.metrics.in_flight.inc();
        let guard = InFlightGuard {
            shared: Arc::clone(shared),
            body_bytes,
        };
        let capacity = u64::from(shared.parts.limits.max_in_flight)
            * RANK_CAPACITY_PERCENT[resolved.rank.index()]
            / 100;
        if in_flight > capacity.max(1) {
            let wait = Duration::from_millis(shared.rng.lock().u64(50..250));
            return Err(Refusal::new(Cause::HostBusy).with_retry_after(wait));
        }
        Ok(guard)
    }
}

fn customer_of(head: &RequestHead) -> Result<CustomerName, Cause> {
    let name = head.headers.get("x-customer").unwrap_or("default");
    if name.len() > MAX_CUSTOMER_BYTES || !is_token(name) {
        return Err(Cause::BadRequest);
    }
    Ok(name.into())
}

fn request_timeout(head: &RequestHead, kind: &KindRoute) -> Duration {
    let requested = head.headers.get_number("x-deadline-ms");
    let timeout = kind.timeout();
    requested.map_or(timeout, |ms| Duration::from_millis(ms).min(timeout))
}

fn is_token(text: &str) -> bool {
    const MAX_BYTES: usize = 128;
    let is_plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.#:".contains(&b);
    !text.is_empty() && text.len() <= MAX_BYTES && text.bytes().all(is_plain)
}

fn log_decision(
    resolved: &ResolvedRequest,
    outcome: &Result<Answer, Refusal>,
    record: &AttemptRecord,
    now: Moment,
    request_id: &str,
) {
    let (verdict, cause) = match outcome {
        Ok(_) => (Verdict::Ran, "none"),
        Err(refusal) => (refusal.verdict(), refusal.cause.as_str()),
    };
    let (shard, epoch) = match resolved.shard {
        Some((shard, epoch)) => (i64::from(shard.0), epoch.0),
        None => (-1, 0),
    };
    info!(
        target: "route",
        "request={request_id} id={} service={} kind={} shard={shard} epoch={epoch} upstream={} \
         rank={} customer={} verdict={verdict} cause={cause} tries={} took_us={}",
        resolved.id,
        resolved.service,
        resolved.kind,
        resolved.upstream,
        resolved.rank,
        resolved.customer,
        record.attempts + 1,
        (now - record.started_at).as_micros(),
    );
}
