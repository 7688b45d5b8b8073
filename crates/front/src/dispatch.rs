//! From a client's request to its answer: route, choose, send, try again.

use crate::adapter::BoundsCell;
use crate::answer::UpstreamAnswer;
use crate::budgets::RetryBudgets;
use crate::exchange::Exchanger;
use crate::metrics::FrontMetrics;
use crate::request::{ClientRequest, ResolvedRequest};
use crate::view::{FrontView, ViewCell};
use fleet::{KnownUpstream, Presence, UpstreamEntry};
use grant::{KeyLoads, OwnedRange};
use indexmap::IndexMap;
use kernel::{Cause, Clock, DomainName, Moment, Refusal, ServiceName, UpstreamId, Verdict};
use log::{debug, info};
use parking_lot::Mutex;
use place::{
    LoadReport, MoveTracker, Placement, RequestOutcome, SelectionLimits, SentRequest,
    UpstreamCandidate, UpstreamSelector,
};
use retry::QuarantineList;
use sheet::WorkKind;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Between two looks at the view while keys change hands.
const MOVE_POLL: Duration = Duration::from_millis(20);
/// When a client is asked to come back while upstreams or owners are missing.
const SETTLE_RETRY: Duration = Duration::from_millis(400);
/// Part of the target latency within which the answer is to be expected when a
/// request is sent; the rest covers the estimate's error.
const TARGET_PART: f64 = 0.9;
/// What a small answer from another failure domain costs, as time: the round trip.
const REMOTE_COST: Duration = Duration::from_millis(3);
/// What a large answer from another failure domain costs, as time: links between
/// domains are narrow and dear.
const REMOTE_DOWNLOAD_COST: Duration = Duration::from_millis(150);
/// Part of the drain bound within which the old holder of keys is still used; the
/// news of its leaving may have taken over a second to arrive.
const DRAIN_PART: f64 = 0.25;
/// Largest part of a client's time left that it waits before it comes back.
const RETRY_PART: f64 = 0.33;

/// What the dispatcher is made of.
#[derive(Debug)]
pub(crate) struct DispatchParts {
    pub view: Arc<ViewCell>,
    pub place: Mutex<UpstreamSelector>,
    pub moves: Mutex<MoveTracker>,
    pub exchanger: Exchanger,
    pub budgets: RetryBudgets,
    pub quarantine: Mutex<QuarantineList>,
    pub key_loads: Mutex<IndexMap<ServiceName, KeyLoads>>,
    pub clock: Arc<dyn Clock>,
    pub domain: DomainName,
    pub bounds: BoundsCell,
    pub metrics: FrontMetrics,
}

/// Finds an answer for each request.
#[derive(Clone, Debug)]
pub(crate) struct Dispatcher {
    pub parts: Arc<DispatchParts>,
}

/// How a request has fared so far.
#[derive(Debug, Default)]
struct TryRecord {
    tried: Vec<UpstreamId>,
    sends: u32,
    /// The cause of the last failed try.
    last: Option<Cause>,
    /// The cause of a try that may have run.
    doubt: Option<Cause>,
    /// A failure that an upstream answered with.
    failure: Option<UpstreamAnswer>,
}

/// Where a request can go now.
enum Target {
    To(Box<UpstreamEntry>, Duration),
    /// Its key is changing hands, and the request may wait for so long.
    Moving(Duration),
    Refused(Refusal),
}

/// Ends a request's stay at an upstream, also when its task is dropped.
struct StayGuard<'a> {
    parts: &'a DispatchParts,
    sent: SentRequest,
    end: RequestOutcome,
    report: Option<LoadReport>,
}

impl Drop for StayGuard<'_> {
    fn drop(&mut self) {
        let now = self.parts.clock.now();
        let mut place = self.parts.place.lock();
        place.end(now, &self.sent, self.end, self.report);
    }
}

impl Dispatcher {
    /// Resolves a request to its route and service.
    ///
    /// # Errors
    ///
    /// Fails when there is no sheet yet, no route, or the request lacks its id.
    pub(crate) fn resolve(&self, request: ClientRequest) -> Result<ResolvedRequest, Refusal> {
        let view = self.parts.view.load();
        if view.sheet.is_none() {
            return Err(Refusal::new(Cause::NoConfiguration).after(SETTLE_RETRY));
        }
        let host = request.head.headers.get("host").unwrap_or_default();
        let route = view.routes.find(host, &request.head.target);
        let route = Arc::clone(route.ok_or(Cause::NoRoute)?);
        let service = route.choose_service().clone();
        let is_divided = view.is_divided(&service);
        let names = &self.parts.exchanger.names;
        Ok(ResolvedRequest::new(
            request, route, service, is_divided, names,
        )?)
    }

    /// Finds an answer for a request; `is_gone` says whether its client has left.
    ///
    /// # Errors
    ///
    /// Fails with a cause that says whether the request may have run.
    pub(crate) async fn handle(
        &self,
        order: &ResolvedRequest,
        is_gone: &AtomicBool,
    ) -> Result<UpstreamAnswer, Refusal> {
        let mut record = TryRecord::default();
        self.note_key(order);
        let outcome = self.try_until_done(order, &mut record, is_gone).await;
        let outcome = outcome.map_err(|refusal| self.final_refusal(order, &record, refusal));
        self.note_outcome(order, &record, &outcome);
        outcome
    }

    fn note_key(&self, order: &ResolvedRequest) {
        let Some(key) = order.key else {
            return;
        };
        let mut loads = self.parts.key_loads.lock();
        if let Some(loads) = loads.get_mut(&order.service) {
            loads.record(key, 1.0);
            return;
        }
        loads
            .entry(order.service.clone())
            .or_default()
            .record(key, 1.0);
    }

    async fn try_until_done(
        &self,
        order: &ResolvedRequest,
        record: &mut TryRecord,
        is_gone: &AtomicBool,
    ) -> Result<UpstreamAnswer, Refusal> {
        let parts = &self.parts;
        let rule = order.route.rule();
        loop {
            let now = parts.clock.now();
            if now >= order.deadline {
                return Err(Cause::DeadlineUnreachable.into());
            }
            if is_gone.load(Ordering::Relaxed) {
                return Err(Cause::RequestTimeout.into());
            }
            self.check_quarantine(now, order)?;
            let (entry, expected) = match self.find_target(now, order, record) {
                Target::To(entry, expected) => (entry, expected),
                Target::Refused(refusal) => return Err(refusal),
                Target::Moving(patience) => {
                    if patience.is_zero() {
                        return Err(Refusal::new(Cause::ShardMoving).after(SETTLE_RETRY));
                    }
                    async_std::task::sleep(MOVE_POLL).await;
                    continue;
                }
            };
            if record.sends == 0 {
                parts.budgets.record_first_attempt(&order.service);
            } else if !parts.budgets.try_spend(&order.service) {
                return Err(Cause::Overloaded.into());
            } else {
                parts.metrics.retries.inc();
            }
            record.sends += 1;
            record.tried.push(entry.id.clone());
            let outcome = self.send(order, &entry, expected).await;
            if outcome.is_ok() {
                let now = parts.clock.now();
                let mut quarantine = parts.quarantine.lock();
                quarantine.record_completion(now, order.fingerprint());
            }
            let may_repeat = record.sends < rule.max_attempts;
            match outcome {
                Ok(answer) if answer.status < 500 || !order.is_idempotent() => {
                    return Ok(answer);
                }
                Ok(answer) => {
                    if !may_repeat {
                        return Ok(answer);
                    }
                    record.failure = Some(answer);
                }
                Err(cause) => {
                    record.last = Some(cause);
                    if cause == Cause::UpstreamLost {
                        self.record_loss(order, &entry).await;
                    }
                    let is_safe = cause.verdict() == Verdict::NotRun || order.is_idempotent();
                    if cause.verdict() == Verdict::MayHaveRun {
                        record.doubt = Some(cause);
                    }
                    if !is_safe || !may_repeat || !cause.is_retryable() {
                        return Err(cause.into());
                    }
                    if cause == Cause::KeyMisplaced {
                        async_std::task::sleep(MOVE_POLL).await;
                    }
                }
            }
        }
    }

    async fn send(
        &self,
        order: &ResolvedRequest,
        entry: &UpstreamEntry,
        expected: Duration,
    ) -> Result<UpstreamAnswer, Cause> {
        let parts = &self.parts;
        let now = parts.clock.now();
        debug!(
            target: "send",
            "request={} service={} upstream={} expected_ms={} left_ms={}",
            order.id, order.service, entry.id, expected.as_millis(),
            (order.deadline - now).as_millis(),
        );
        let sent = parts.place.lock().begin(now, &entry.id, entry.slots);
        let mut stay = StayGuard {
            parts,
            sent,
            end: RequestOutcome::Abandoned,
            report: None,
        };
        let exchanged = parts.exchanger.exchange(entry, order).await;
        stay.end = exchanged.end;
        stay.report = exchanged.report;
        drop(stay);
        exchanged.result
    }

    /// Tries whether an upstream can be reached again, and keeps the connection.
    pub(crate) async fn probe(self, entry: UpstreamEntry) {
        let parts = &self.parts;
        let Ok(stream) = h1::dial(entry.address, crate::pool::CONNECT_LIMIT).await else {
            return;
        };
        info!(target: "upstream", "upstream={} state=reachable", entry.id);
        let now = parts.clock.now();
        let connection = h1::Connection::new(stream);
        parts.exchanger.pool.keep(now, &entry.id, connection, None);
        parts.place.lock().record_reachable(&entry.id);
    }

    /// Refuses a request that crashes the upstreams that run it.
    fn check_quarantine(&self, now: Moment, order: &ResolvedRequest) -> Result<(), Refusal> {
        let book = self.parts.quarantine.lock();
        if book.iter(now).next().is_none() {
            return Ok(());
        }
        match book.quarantine_remaining(now, order.fingerprint()) {
            Some(wait) => Err(Refusal::new(Cause::Quarantined).after(wait)),
            None => Ok(()),
        }
    }

    /// Blames a request for the end of an upstream that ran it.
    async fn record_loss(&self, order: &ResolvedRequest, entry: &UpstreamEntry) {
        let probe = h1::dial(entry.address, crate::pool::CONNECT_LIMIT).await;
        if !matches!(probe, Err(h1::DialError::Refused(_))) {
            return;
        }
        let now = self.parts.clock.now();
        info!(
            target: "suspect",
            "request={} upstream={} fingerprint={:016x} state=ended",
            order.id, entry.id, order.fingerprint(),
        );
        self.parts
            .quarantine
            .lock()
            .record_loss(now, order.fingerprint());
    }

    fn find_target(&self, now: Moment, order: &ResolvedRequest, record: &TryRecord) -> Target {
        let view = self.parts.view.load();
        match order.key {
            Some(key) => self.find_owner(now, order, key, &view),
            None => self.choose_upstream(now, order, record, &view),
        }
    }

    fn need(now: Moment, order: &ResolvedRequest) -> SelectionLimits {
        let rule = order.route.rule();
        let spent = now - order.received_at;
        let left = order.deadline - now;
        let target = rule
            .target_latency
            .mul_f64(TARGET_PART)
            .saturating_sub(spent);
        SelectionLimits {
            max_wait: if target.is_zero() {
                left
            } else {
                target.min(left)
            },
            cross_domain_cost: match rule.kind {
                WorkKind::Download => REMOTE_DOWNLOAD_COST,
                WorkKind::Idempotent | WorkKind::NonIdempotent => REMOTE_COST,
            },
        }
    }

    /// Finds the upstream that holds the request's key.
    fn find_owner(
        &self,
        now: Moment,
        order: &ResolvedRequest,
        key: u16,
        view: &FrontView,
    ) -> Target {
        let range = view
            .owners
            .get(&order.service)
            .and_then(|map| map.find(key));
        let first = range.map_or(0, |range| range.first);
        let Some(known) = range.and_then(|range| self.usable_holder(now, range, view)) else {
            let mut moves = self.parts.moves.lock();
            return Target::Moving(moves.remaining_wait(now, &order.service, first));
        };
        self.parts.moves.lock().record_held(&order.service, first);
        self.place(
            now,
            order,
            &[choice_of(known, &self.parts.domain, now)],
            view,
        )
    }

    /// Returns the upstream that holds a range, if it may be sent work.
    fn usable_holder<'a>(
        &self,
        now: Moment,
        range: &OwnedRange,
        view: &'a FrontView,
    ) -> Option<&'a KnownUpstream> {
        let owner = range.owner.as_ref().filter(|_| range.is_granted)?;
        let known = view.upstreams.get(&owner.upstream)?;
        let is_same_run = known.entry.started_at_ms == owner.run;
        (is_same_run && self.is_owner_usable(now, known)).then_some(known)
    }

    /// Returns whether the holder of keys may still be sent work.
    fn is_owner_usable(&self, now: Moment, known: &KnownUpstream) -> bool {
        match known.presence {
            Presence::Leaving(since) => {
                let drain = self.parts.bounds.load().drain;
                now < since + drain.mul_f64(DRAIN_PART)
            }
            Presence::Listed | Presence::Missing(_) => known.accepts_work(now),
        }
    }

    /// Chooses among the upstreams of an undivided service.
    fn choose_upstream(
        &self,
        now: Moment,
        order: &ResolvedRequest,
        record: &TryRecord,
        view: &FrontView,
    ) -> Target {
        let Some(ids) = view.by_service.get(&order.service) else {
            return Target::Refused(Refusal::new(Cause::NoOwner).after(SETTLE_RETRY));
        };
        let mut choices = Vec::with_capacity(ids.len());
        let mut tried = Vec::new();
        for id in ids {
            let Some(known) = view.upstreams.get(id) else {
                continue;
            };
            if !known.accepts_work(now) {
                continue;
            }
            let choice = choice_of(known, &self.parts.domain, now);
            if record.tried.contains(id) {
                tried.push(choice);
                continue;
            }
            choices.push(choice);
        }
        if choices.is_empty() {
            // One that had no room has none a moment later; one whose answer or
            // connection was lost may answer the next time.
            if let Some(cause) = record.last.filter(|cause| *cause == Cause::UpstreamRefused) {
                return Target::Refused(Refusal::new(cause).after(SETTLE_RETRY));
            }
            choices = tried;
        }
        self.place(now, order, &choices, view)
    }

    fn place(
        &self,
        now: Moment,
        order: &ResolvedRequest,
        choices: &[UpstreamCandidate],
        view: &FrontView,
    ) -> Target {
        let need = Self::need(now, order);
        let placement = self.parts.place.lock().choose(now, choices, &need);
        match placement {
            Placement::Send { id, expected } => match view.upstreams.get(&id) {
                Some(known) => Target::To(Box::new(known.entry.clone()), expected),
                None => Target::Refused(Refusal::new(Cause::NoOwner).after(SETTLE_RETRY)),
            },
            Placement::Refuse { retry_after } => {
                Target::Refused(Refusal::new(Cause::Overloaded).after(retry_after))
            }
            Placement::Unreachable => {
                Target::Refused(Refusal::new(Cause::UpstreamUnreachable).after(SETTLE_RETRY))
            }
        }
    }

    /// Returns what to tell the client: a try that may have run outweighs later
    /// refusals, and a client never waits beyond its own time.
    fn final_refusal(
        &self,
        order: &ResolvedRequest,
        record: &TryRecord,
        refusal: Refusal,
    ) -> Refusal {
        if let Some(doubt) = record.doubt
            && refusal.verdict() == Verdict::NotRun
        {
            return doubt.into();
        }
        let left = order.deadline - self.parts.clock.now();
        let wait = refusal.retry_after.unwrap_or(SETTLE_RETRY);
        refusal.after(wait.min(left.mul_f64(RETRY_PART)))
    }

    fn note_outcome(
        &self,
        order: &ResolvedRequest,
        record: &TryRecord,
        outcome: &Result<UpstreamAnswer, Refusal>,
    ) {
        let now = self.parts.clock.now();
        let took = now - order.received_at;
        let (status, verdict, cause) = match outcome {
            Ok(answer) => (answer.status, Verdict::Ran, "none"),
            Err(refusal) => (
                refusal.cause.status(),
                refusal.verdict(),
                refusal.cause.as_str(),
            ),
        };
        let rule = order.route.rule();
        self.parts.metrics.count(verdict, cause, rule.rank, took);
        let view = self.parts.view.load();
        let epoch = order.key.and_then(|key| {
            let range = view.owners.get(&order.service)?.find(key)?;
            Some(range.epoch)
        });
        info!(
            target: "request",
            "request={} route={} kind={} rank={} service={} key={} epoch={} upstream={} \
             sends={} status={status} verdict={verdict} cause={cause} took_ms={} sheet={} \
             retry_after_ms={}",
            order.id,
            rule.name,
            rule.kind.as_str(),
            rule.rank,
            order.service,
            order.key.map_or(-1, i64::from),
            epoch.unwrap_or(0),
            record.tried.last().map_or("none", UpstreamId::as_str),
            record.sends,
            took.as_millis(),
            view.routes.version(),
            outcome.as_ref().err().and_then(|r| r.retry_after).unwrap_or_default().as_millis(),
        );
    }
}

fn choice_of(known: &KnownUpstream, domain: &DomainName, now: Moment) -> UpstreamCandidate {
    UpstreamCandidate {
        id: known.entry.id.clone(),
        slots: known.entry.slots,
        is_local: known.entry.domain == *domain,
        is_cold: now < known.cold_until,
    }
}
