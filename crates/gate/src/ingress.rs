//! A request at its ingress: resolve, try, try again where that is safe.

use crate::answer::{Answer, is_hop_header, is_internal_header};
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

const MOST_CUSTOMER_BYTES: usize = 64;
/// Share of the in-flight limit up to which a rank is taken in, in percent.
const RANK_ROOM_PERCENT: [u64; 3] = [100, 85, 70];

/// What an ingress is made of.
#[derive(Debug)]
pub struct IngressParts {
    /// Routes and owners.
    pub snapshots: Arc<SnapshotCell>,
    /// The schedulers of this host's own upstreams.
    pub schedulers: PrimarySchedulers,
    /// The clock.
    pub clock: Arc<dyn Clock>,
    /// Limits.
    pub limits: GateLimits,
    /// Metrics.
    pub metrics: GateMetrics,
    /// This host's id.
    pub host: HostId,
    /// The deployment's secret, for the peer link.
    pub secret: String,
    /// Addresses as this host reaches them, where they differ.
    pub translations: IndexMap<String, String>,
    /// Seed of random choices.
    pub seed: u64,
}

/// Takes requests in.
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

/// A request as it came from a caller, whole.
#[derive(Clone, Debug)]
pub(crate) struct ClientRequest {
    pub head: RequestHead,
    pub body: Vec<u8>,
    pub received_at: Moment,
}

/// What a caller is told.
#[derive(Debug)]
pub(crate) struct ClientReply {
    pub request_id: String,
    pub outcome: Result<Answer, Refusal>,
    /// Counts the request in hand until its answer is written.
    pub in_flight: Option<InFlightGuard>,
}

/// Counts a request in hand while it lives.
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

/// How a request has fared so far.
pub(crate) struct TryRecord {
    pub started_at: Moment,
    pub tries: u32,
    pub failed: Vec<UpstreamId>,
    /// A cause of an earlier try that may have run.
    pub doubt: Option<Refusal>,
}

impl Ingress {
    /// Builds an ingress.
    pub fn new(parts: IngressParts) -> Self {
        let patience = Duration::from_millis(parts.limits.probe_ms);
        let forwarder = PeerForwarder::new(Arc::clone(&parts.clock), &parts.secret, patience);
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

    /// Makes callers' connections close after the request in hand.
    pub fn stop(&self) {
        self.shared.is_stopping.store(true, Ordering::SeqCst);
    }

    /// Returns whether the host is stopping.
    pub fn is_stopping(&self) -> bool {
        self.shared.is_stopping.load(Ordering::SeqCst)
    }

    /// Returns the number of requests in hand.
    pub fn in_flight(&self) -> u64 {
        self.shared.in_flight.load(Ordering::SeqCst)
    }

    /// Takes in the waits that other primaries report.
    pub fn note_loads(&self, loads: &[UpstreamLoad]) {
        let now = self.shared.parts.clock.now();
        for load in loads {
            let wait = Duration::from_millis(u64::from(load.wait_ms));
            self.shared.waits.note(now, &load.upstream, wait);
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

    /// Returns the largest body that a request may have, before it is read.
    pub(crate) fn body_limit(&self, head: &RequestHead) -> Result<u64, Cause> {
        let snapshot = self.shared.parts.snapshots.load();
        if snapshot.sheet_version.0 == 0 {
            return Err(Cause::NoConfiguration);
        }
        let found = snapshot.routes.find(&head.method, &head.target)?;
        let limit = found.kind().plan().max_body_bytes;
        let taken = self.shared.body_bytes.load(Ordering::Relaxed);
        if taken + limit > self.shared.parts.limits.max_body_bytes {
            return Err(Cause::HostBusy);
        }
        Ok(limit)
    }

    /// Handles a caller's request.
    pub(crate) async fn handle(&self, request: ClientRequest) -> ClientReply {
        let number = self.shared.next_request.fetch_add(1, Ordering::Relaxed);
        let id = format!("{}-{number}", self.shared.parts.host);
        let given = request.head.headers.get("x-request-id");
        let request_id = given.filter(|id| is_token(id)).unwrap_or(&id).to_owned();
        let received_at = request.received_at;
        let mut record = TryRecord {
            started_at: received_at,
            tries: 0,
            failed: Vec::new(),
            doubt: None,
        };
        let mut rank = None;
        let mut in_flight = None;
        let outcome = match self.resolve(request, id.into()) {
            Ok((kind, mut order)) => {
                rank = Some(order.rank);
                let outcome = match self.enter(&order) {
                    Ok(guard) => {
                        in_flight = Some(guard);
                        self.try_until_done(&kind, &mut order, &mut record).await
                    }
                    Err(refusal) => Err(refusal),
                };
                log_decision(&order, &outcome, &record, self.now(), &request_id);
                outcome
            }
            Err(refusal) => Err(refusal),
        };
        self.count(rank, &outcome, self.now() - received_at);
        ClientReply {
            request_id,
            outcome,
            in_flight,
        }
    }

    fn count(&self, rank: Option<Rank>, outcome: &Result<Answer, Refusal>, took: Duration) {
        let metrics = &self.shared.parts.metrics;
        match outcome {
            Ok(_) => metrics.count(rank, Verdict::Ran, None, took),
            Err(refusal) => metrics.count(rank, refusal.verdict(), Some(refusal.cause), took),
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
        let deadline = request.received_at + time_limit(&head, kind);
        let mut headers = head.headers.clone();
        headers.remove_where(|name| {
            is_hop_header(name)
                || is_internal_header(name)
                || matches!(
                    name,
                    "host" | "x-request-id" | "x-customer" | "x-deadline-ms"
                )
        });
        let service = kind.service();
        let target = head.target[service.as_str().len() + 1..].to_owned();
        let order = ResolvedRequest {
            request: id,
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
        Ok((kind.clone(), order))
    }

    /// Counts the request in, or refuses it when the host has no room for its rank.
    fn enter(&self, order: &ResolvedRequest) -> Result<InFlightGuard, Refusal> {
        let shared = &self.shared;
        let body_bytes = order.body.len() as u64;
        let in_flight = shared.in_flight.fetch_add(1, Ordering::Relaxed) + 1;
        shared.body_bytes.fetch_add(body_bytes, Ordering::Relaxed);
        shared.parts.metrics.in_flight.inc();
        let guard = InFlightGuard {
            shared: Arc::clone(shared),
            body_bytes,
        };
        let room = u64::from(shared.parts.limits.max_in_flight)
            * RANK_ROOM_PERCENT[order.rank.index()]
            / 100;
        if in_flight > room.max(1) {
            let wait = Duration::from_millis(shared.rng.lock().u64(50..250));
            return Err(Refusal::new(Cause::HostBusy).after(wait));
        }
        Ok(guard)
    }
}

fn customer_of(head: &RequestHead) -> Result<CustomerName, Cause> {
    let name = head.headers.get("x-customer").unwrap_or("default");
    if name.len() > MOST_CUSTOMER_BYTES || !is_token(name) {
        return Err(Cause::BadRequest);
    }
    Ok(name.into())
}

fn time_limit(head: &RequestHead, kind: &KindRoute) -> Duration {
    let given = head.headers.get_number("x-deadline-ms");
    let limit = kind.timeout();
    given.map_or(limit, |given| Duration::from_millis(given).min(limit))
}

fn is_token(text: &str) -> bool {
    const MOST_BYTES: usize = 128;
    let is_plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.#:".contains(&b);
    !text.is_empty() && text.len() <= MOST_BYTES && text.bytes().all(is_plain)
}

fn log_decision(
    order: &ResolvedRequest,
    outcome: &Result<Answer, Refusal>,
    record: &TryRecord,
    now: Moment,
    request_id: &str,
) {
    let (verdict, cause) = match outcome {
        Ok(_) => (Verdict::Ran, "none"),
        Err(refusal) => (refusal.verdict(), refusal.cause.as_str()),
    };
    let (shard, epoch) = match order.shard {
        Some((shard, epoch)) => (i64::from(shard.0), epoch.0),
        None => (-1, 0),
    };
    info!(
        target: "route",
        "request={request_id} id={} service={} kind={} shard={shard} epoch={epoch} upstream={} \
         rank={} customer={} verdict={verdict} cause={cause} tries={} took_us={}",
        order.request,
        order.service,
        order.kind,
        order.upstream,
        order.rank,
        order.customer,
        record.tries + 1,
        (now - record.started_at).as_micros(),
    );
}
