//! A request at its ingress: resolve, try, try again where that is safe.

use crate::answer::{Answer, is_hop_header, is_internal_header};
use crate::desks::PrimaryDesks;
use crate::forward::PeerForwarder;
use crate::limits::GateLimits;
use crate::metrics::GateMetrics;
use crate::order::WorkOrder;
use crate::snapshot::{SnapshotCell, TrafficSnapshot};
use crate::waits::WaitBook;
use h1::RequestHead;
use indexmap::IndexMap;
use kernel::{
    Cause, Clock, CustomerName, HostId, Moment, Refusal, RequestId, ServiceName, UpstreamId,
    Verdict,
};
use log::info;
use member::UpstreamLoad;
use parking_lot::Mutex;
use retry::{RetryBudget, full_jitter};
use route::{KindRoute, UpstreamSlot};
use sheet::Rank;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

const ROUTING_PAUSE: Duration = Duration::from_millis(4);
const ROUTING_PAUSE_MOST: Duration = Duration::from_millis(24);
const RETRY_PAUSE: Duration = Duration::from_millis(8);
const RETRY_PAUSE_MOST: Duration = Duration::from_millis(200);
const BUDGET_MOST: f64 = 20.0;
/// Instances in other domains are weighed once the own ones make this wait.
const LOCAL_WAIT_LIMIT_US: u64 = 30_000;
/// Added to the score of instances in other domains.
const DISTANCE_US: u64 = 4_000;
const MOST_CUSTOMER_BYTES: usize = 64;
/// Share of the in-flight limit up to which a rank is taken in, in percent.
const RANK_ROOM_PERCENT: [u64; 3] = [100, 85, 70];

/// What an ingress is made of.
#[derive(Debug)]
pub struct IngressParts {
    /// Routes and owners.
    pub snapshots: Arc<SnapshotCell>,
    /// The desks of this host's own upstreams.
    pub desks: PrimaryDesks,
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
    shared: Arc<IngressShared>,
}

#[derive(Debug)]
struct IngressShared {
    parts: IngressParts,
    forwarder: PeerForwarder,
    waits: WaitBook,
    budgets: Mutex<IndexMap<ServiceName, RetryBudget>>,
    rng: Mutex<fastrand::Rng>,
    next_request: AtomicU64,
    in_flight: AtomicU64,
    body_bytes: AtomicU64,
    is_stopping: AtomicBool,
}

/// A request as it came from a caller, whole.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub head: RequestHead,
    pub body: Vec<u8>,
    pub received_at: Moment,
}

/// What a caller is told.
#[derive(Debug)]
pub(crate) struct CallerReply {
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

/// What to do after a refusal.
enum NextStep {
    Stop,
    Pause(Duration),
}

/// How a request has fared so far.
struct TryRecord {
    started_at: Moment,
    tries: u32,
    failed: Vec<UpstreamId>,
    /// A cause of an earlier try that may have run.
    doubt: Option<Refusal>,
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
                waits: WaitBook::default(),
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
    pub(crate) async fn handle(&self, request: CallerRequest) -> CallerReply {
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
        CallerReply {
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
        request: CallerRequest,
        id: RequestId,
    ) -> Result<(KindRoute, WorkOrder), Refusal> {
        let snapshot = self.shared.parts.snapshots.load();
        let CallerRequest { head, body, .. } = request;
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
        let order = WorkOrder {
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

    async fn try_until_done(
        &self,
        kind: &KindRoute,
        order: &mut WorkOrder,
        record: &mut TryRecord,
    ) -> Result<Answer, Refusal> {
        self.budget(&order.service, RetryBudget::note_first_try);
        loop {
            let outcome = self.try_once(kind, order, record).await;
            let refusal = match outcome {
                Ok(answer) => return Ok(answer),
                Err(refusal) => refusal,
            };
            if refusal.verdict() == Verdict::MayHaveRun {
                record.doubt = Some(refusal);
            }
            match self.next_step(order, record, refusal) {
                NextStep::Stop => return Err(final_refusal(record, refusal)),
                NextStep::Pause(pause) => async_std::task::sleep(pause).await,
            }
            record.tries += 1;
            self.shared.parts.metrics.retries.inc();
        }
    }

    /// Counts the request in, or refuses it when the host has no room for its rank.
    fn enter(&self, order: &WorkOrder) -> Result<InFlightGuard, Refusal> {
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

    /// Chooses the upstream and sends the request to its primary.
    async fn try_once(
        &self,
        kind: &KindRoute,
        order: &mut WorkOrder,
        record: &mut TryRecord,
    ) -> Result<Answer, Refusal> {
        let now = self.now();
        if now >= order.deadline {
            return Err(Cause::DeadlineUnreachable.into());
        }
        let target = self.choose(kind, order, record)?;
        order.upstream = target.id.clone();
        let outstanding = self.shared.waits.begin(&target.id);
        let parts = &self.shared.parts;
        let outcome = if target.primary.host == parts.host {
            parts.desks.serve(order.clone()).await
        } else {
            self.forward(&target, order).await
        };
        drop(outstanding);
        match &outcome {
            Ok(answer) => self.shared.waits.note(self.now(), &target.id, answer.wait),
            Err(refusal) => {
                if let Some(wait) = refusal.retry_after {
                    self.shared.waits.note(self.now(), &target.id, wait);
                }
                record.failed.push(target.id);
            }
        }
        outcome
    }

    async fn forward(&self, target: &UpstreamSlot, order: &WorkOrder) -> Result<Answer, Refusal> {
        let parts = &self.shared.parts;
        let Some(peer) = &target.primary.peer else {
            return Err(Cause::PrimaryUnreachable.into());
        };
        let address = parts.translations.get(peer).unwrap_or(peer);
        let snapshots = &parts.snapshots;
        let is_given_up = || {
            let snapshot = snapshots.load();
            order.is_idempotent && is_superseded(&snapshot, target)
        };
        self.shared
            .forwarder
            .forward(address, order, is_given_up)
            .await
    }

    /// Chooses the upstream that is to run a request.
    fn choose(
        &self,
        kind: &KindRoute,
        order: &mut WorkOrder,
        record: &TryRecord,
    ) -> Result<UpstreamSlot, Refusal> {
        let snapshot = self.shared.parts.snapshots.load();
        let Some((shard, _)) = order.shard else {
            return self.choose_instance(&snapshot, kind, record);
        };
        let owner = snapshot.owners.owner(&order.service, shard);
        let (slot, epoch) = owner.ok_or(Cause::NoOwner)?;
        if slot.is_unreachable {
            return Err(Cause::DomainUnreachable.into());
        }
        order.shard = Some((shard, epoch));
        Ok(slot.clone())
    }

    /// Chooses among the instances of an undivided service: the better of two
    /// random ones, in the own domain unless it is short.
    fn choose_instance(
        &self,
        snapshot: &TrafficSnapshot,
        kind: &KindRoute,
        record: &TryRecord,
    ) -> Result<UpstreamSlot, Refusal> {
        let is_open = |slot: &&UpstreamSlot| !slot.is_leaving && !slot.is_unreachable;
        let is_fresh = |slot: &&UpstreamSlot| !record.failed.contains(&slot.id);
        let open: Vec<&UpstreamSlot> = snapshot
            .owners
            .instances(kind.service())
            .filter(is_open)
            .collect();
        let fresh: Vec<&UpstreamSlot> = open.iter().copied().filter(|s| is_fresh(s)).collect();
        let pool = if fresh.is_empty() { open } else { fresh };
        let (local, distant): (Vec<&UpstreamSlot>, Vec<&UpstreamSlot>) = pool
            .into_iter()
            .partition(|slot| Some(&slot.domain) == snapshot.domain.as_ref());
        let near = self.better_of_two(&local, kind);
        if let Some((slot, score)) = near
            && score <= LOCAL_WAIT_LIMIT_US
        {
            return Ok(slot.clone());
        }
        let far = self.better_of_two(&distant, kind);
        match (near, far) {
            (Some((near, near_score)), Some((far, far_score))) => {
                let is_far_better = far_score + DISTANCE_US < near_score;
                Ok(if is_far_better { far } else { near }.clone())
            }
            (Some((slot, _)), None) | (None, Some((slot, _))) => Ok(slot.clone()),
            (None, None) => Err(Cause::NoOwner.into()),
        }
    }

    fn better_of_two<'a>(
        &self,
        slots: &[&'a UpstreamSlot],
        kind: &KindRoute,
    ) -> Option<(&'a UpstreamSlot, u64)> {
        if slots.is_empty() {
            return None;
        }
        let (first, second) = {
            let mut rng = self.shared.rng.lock();
            (rng.usize(..slots.len()), rng.usize(..slots.len()))
        };
        let now = self.now();
        let cost = kind.planned_cost();
        let mut best: Option<(&UpstreamSlot, u64)> = None;
        for index in [first, second] {
            let slot = slots[index];
            let score = self.shared.waits.score_us(now, &slot.id, slot.slots, cost);
            if best.is_none_or(|(_, least)| score < least) {
                best = Some((slot, score));
            }
        }
        best
    }

    /// Decides whether a refused request is tried again.
    fn next_step(&self, order: &WorkOrder, record: &TryRecord, refusal: Refusal) -> NextStep {
        let cause = refusal.cause;
        let is_safe = refusal.verdict() == Verdict::NotRun || order.is_idempotent;
        if !cause.is_retryable() || !is_safe || cause == Cause::JournalUnavailable {
            return NextStep::Stop;
        }
        let now = self.now();
        let mut rng = self.shared.rng.lock();
        let pause = if is_routing_cause(cause) {
            // Ownership is on the move: nothing ran, and the move is short.
            if now >= record.started_at + self.shared.parts.limits.hold() {
                return NextStep::Stop;
            }
            full_jitter(&mut rng, ROUTING_PAUSE, ROUTING_PAUSE_MOST, record.tries)
                .max(Duration::from_millis(1))
        } else {
            if !self.budget(&order.service, RetryBudget::try_spend) {
                return NextStep::Stop;
            }
            full_jitter(&mut rng, RETRY_PAUSE, RETRY_PAUSE_MOST, record.tries)
        };
        if now + pause >= order.deadline {
            return NextStep::Stop;
        }
        NextStep::Pause(pause)
    }

    fn budget<T>(&self, service: &ServiceName, change: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let share = f64::from(self.shared.parts.limits.retry_percent) / 100.0;
        let mut budgets = self.shared.budgets.lock();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(share, BUDGET_MOST));
        change(budget)
    }
}

/// Returns what to tell a caller: a try that may have run outweighs later ones.
fn final_refusal(record: &TryRecord, refusal: Refusal) -> Refusal {
    match record.doubt {
        Some(doubt) if refusal.verdict() == Verdict::NotRun => doubt,
        _ => refusal,
    }
}

/// Returns whether a cause passes once ownership has settled.
const fn is_routing_cause(cause: Cause) -> bool {
    matches!(
        cause,
        Cause::NoOwner
            | Cause::PrimaryUnreachable
            | Cause::NotPrimary
            | Cause::LeaseLapsed
            | Cause::ShardMoving
            | Cause::UpstreamLeaving
            | Cause::UpstreamUnreachable
            | Cause::HostStopping
            | Cause::NoConfiguration
    )
}

/// Returns whether an upstream's primary is out of reach, or silent and replaced.
fn is_superseded(snapshot: &TrafficSnapshot, target: &UpstreamSlot) -> bool {
    let present = snapshot.owners.upstream(&target.id);
    if present.is_some_and(|slot| slot.is_unreachable) {
        return true;
    }
    if !snapshot.silent_hosts.contains(&target.primary.host) {
        return false;
    }
    present.is_none_or(|slot| slot.primary.host != target.primary.host)
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
    order: &WorkOrder,
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
