//! Dispatch of client requests: resolve the route, select an upstream, send and retry.

mod evacuation;

use crate::adapter::SharedBounds;
use crate::answer::UpstreamAnswer;
use crate::budgets::RetryBudgets;
use crate::cold_budget::ColdControl;
use crate::cold_dispatch::{ColdTarget, split_cold};
use crate::exchange::Exchanger;
use crate::metrics::FrontMetrics;
use crate::rank_loads::RankLoads;
use crate::rank_shares::RankShares;
use crate::relay_client::{AttemptFacts, RelayClient};
use crate::request::{ClientRequest, ResolvedRequest};
use crate::stop_limit::StopLimit;
use crate::view::{FrontView, SharedView};
use cold::HeldToken;
use fleet::{KnownUpstream, Presence, UpstreamEntry};
use grant::{KeyCounts, OwnedRange};
use indexmap::IndexMap;
use kernel::{Cause, Clock, DomainName, Moment, Refusal, ServiceName, UpstreamId, Verdict};
use log::{debug, info};
use parking_lot::Mutex;
use place::{
    LoadReport, MoveTracker, RequestOutcome, RequestWork, Selection, SelectionLimits, SentRequest,
    UpstreamCandidate, UpstreamSelector,
};
use retry::QuarantineList;
use sheet::RequestKind;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Interval between two checks of the view while keys are moving.
const MOVE_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Default time after which a refused client should retry, such as while upstreams or
/// owners are missing.
pub(crate) const RETRY_AFTER: Duration = Duration::from_millis(400);
/// Fraction of the target latency within which the answer must be expected when a
/// request is sent; the rest covers the error of the estimate.
const TARGET_LATENCY_FRACTION: f64 = 0.9;
/// Cost of a small answer from another failure domain, as a fraction of the target
/// latency: the round trip is short, so that only equal upstreams differ by it.
const CROSS_DOMAIN_COST_FRACTION: f64 = 0.01;
/// Cost of a large answer from another failure domain, as a fraction of the target
/// latency: links between domains are narrow and expensive.
const CROSS_DOMAIN_DOWNLOAD_COST_FRACTION: f64 = 0.3;
/// Fraction of the connections that an upstream accepts which all hosts together may use
/// for requests; as many may be idle, and the rest is for hosts that have just started.
const CONNECTION_FRACTION: f64 = 0.3;
/// Fraction of the drain bound for which a leaving holder of keys is still used. The
/// news that it leaves may have taken over a second to arrive.
const DRAIN_USE_FRACTION: f64 = 0.25;
/// Maximum fraction of a client's remaining time that it is asked to wait before a
/// retry.
const MAX_RETRY_AFTER_FRACTION: f64 = 0.33;

/// State that all requests of the dispatcher share.
#[derive(Debug)]
pub(crate) struct DispatchState {
    pub view: Arc<SharedView>,
    pub selector: Mutex<UpstreamSelector>,
    pub moves: Mutex<MoveTracker>,
    pub exchanger: Exchanger,
    pub budgets: RetryBudgets,
    pub quarantine: Mutex<QuarantineList>,
    pub key_counts: Mutex<IndexMap<ServiceName, KeyCounts>>,
    pub clock: Arc<dyn Clock>,
    pub domain: DomainName,
    pub bounds: SharedBounds,
    pub metrics: FrontMetrics,
    pub rank_loads: Mutex<RankLoads>,
    pub cold: Arc<ColdControl>,
    /// `None` if this host uses no relays.
    pub relay: Option<RelayClient>,
    /// Admission by shares of ranks, if it is enabled.
    pub rank_shares: Option<RankShares>,
    pub stop_limit: StopLimit,
}

impl DispatchState {
    fn candidate(&self, now: Moment, upstream: &KnownUpstream) -> UpstreamCandidate {
        let entry = &upstream.entry;
        UpstreamCandidate {
            id: entry.id.clone(),
            slots: entry.slots,
            is_local: entry.domain == self.domain,
            is_cold: self.cold.is_cold(now, upstream),
            max_requests: self.max_requests(&entry.service),
        }
    }

    /// Returns the maximum number of requests that this host may have at one upstream of
    /// a service, each on a connection of its own, and of idle connections beside them.
    ///
    /// An upstream accepts a number of connections from all hosts together, and resets
    /// what is beyond it.
    pub(crate) fn max_requests(&self, service: &ServiceName) -> u32 {
        let view = self.view.load();
        let sheet = view.sheet.as_ref();
        let Some(service) = sheet.and_then(|sheet| sheet.services.get(service)) else {
            return 1;
        };
        // The number of hosts is unknown only before the first leader, when there is no
        // traffic yet.
        let host_count = f64::from(self.budgets.host_count().unwrap_or(1));
        let share = f64::from(service.max_connections) * CONNECTION_FRACTION / host_count;
        (share.ceil() as u32).max(1)
    }
}

/// Sends each request to an upstream and returns its answer.
#[derive(Clone, Debug)]
pub(crate) struct Dispatcher {
    pub state: Arc<DispatchState>,
}

/// The attempts of one request so far.
#[derive(Debug, Default)]
struct AttemptHistory {
    tried_upstreams: Vec<UpstreamId>,
    sends: u32,
    /// The cause of the last failed attempt.
    last_cause: Option<Cause>,
    /// The cause of an attempt that may have run.
    uncertain_cause: Option<Cause>,
    /// A server error that an upstream answered with.
    failed_answer: Option<UpstreamAnswer>,
}

impl AttemptHistory {
    /// Keeps a server error; one of an upstream that has run the request outweighs one
    /// that says that it has not.
    fn record_failed(&mut self, answer: UpstreamAnswer) {
        if self.failed_answer.is_none() || !answer.says_not_run() {
            self.failed_answer = Some(answer);
        }
    }
}

/// Where a request can go now.
enum DispatchTarget {
    /// The upstream, and the expected time until its answer.
    Send(Box<UpstreamEntry>, Duration),
    /// A cold upstream, for which the request needs a token.
    Cold(Box<ColdTarget>),
    /// The key has no holder.
    Moving {
        /// Time for which the request may wait for one.
        remaining_wait: Duration,
        /// Time after which a client that is refused should return.
        retry_after: Duration,
    },
    Refused(Refusal),
}

/// Records the end of a sent request when dropped, including when its task is canceled.
struct SendGuard<'a> {
    state: &'a DispatchState,
    work: RequestWork<'a>,
    sent: SentRequest,
    outcome: RequestOutcome,
    report: Option<LoadReport>,
}

impl Drop for SendGuard<'_> {
    fn drop(&mut self) {
        let now = self.state.clock.now();
        if self
            .report
            .is_some_and(|report| report.work_percent.is_some())
        {
            self.state.metrics.momentary_figures.inc();
        }
        let mut selector = self.state.selector.lock();
        selector.record_outcome(now, self.work, &self.sent, self.outcome, self.report);
    }
}

impl Dispatcher {
    /// Resolves a request to its route and service.
    ///
    /// # Errors
    ///
    /// Fails when there is no sheet yet, no route matches, or the request has no id.
    pub(crate) fn resolve(&self, request: ClientRequest) -> Result<ResolvedRequest, Refusal> {
        let view = self.state.view.load();
        if view.sheet.is_none() || !view.orders.is_known() {
            return Err(Refusal::new(Cause::NoConfiguration).with_retry_after(RETRY_AFTER));
        }
        let host = request.head.headers.get("host").unwrap_or_default();
        let route = view.routes.find(host, &request.head.target);
        let route = Arc::clone(route.ok_or(Cause::NoRoute)?);
        let service = route.choose_service().clone();
        let is_sharded = view.is_sharded(&service);
        let names = &self.state.exchanger.names;
        Ok(ResolvedRequest::new(
            request, route, service, is_sharded, names,
        )?)
    }

    /// Returns whether a request may run more than once; one without a route never runs.
    pub(crate) fn is_idempotent(&self, request: &ClientRequest) -> bool {
        let view = self.state.view.load();
        let host = request.head.headers.get("host").unwrap_or_default();
        let route = view.routes.find(host, &request.head.target);
        route.is_none_or(|route| route.rule().kind.is_idempotent())
    }

    /// Returns the answer to a request; `is_client_gone` says whether its client has
    /// disconnected.
    ///
    /// # Errors
    ///
    /// Fails with a cause that says whether the request may have run.
    pub(crate) async fn handle(
        &self,
        request: &ResolvedRequest,
        is_client_gone: &AtomicBool,
    ) -> Result<UpstreamAnswer, Refusal> {
        let mut history = AttemptHistory::default();
        self.record_key_load(request);
        self.state.record_rank_load(request);
        let slot_ms = self.expected_slot_ms(request);
        let outcome = match self.refuse_by_rank(request, slot_ms) {
            Some(refusal) => Err(refusal),
            None => {
                self.send_with_retries(request, &mut history, is_client_gone)
                    .await
            }
        };
        // A refusal would say that the request has not run, although an upstream ran it.
        let outcome = match (outcome, history.failed_answer.take()) {
            (Err(_), Some(failed_answer)) => Ok(failed_answer),
            (Ok(answer), Some(failed_answer)) if answer.says_not_run() => Ok(failed_answer),
            (outcome, _) => {
                outcome.map_err(|refusal| self.final_refusal(request, &history, refusal))
            }
        };
        let outcome = match (outcome, history.uncertain_cause) {
            (Ok(answer), Some(cause)) if answer.says_not_run() => Err(cause.into()),
            (outcome, _) => outcome,
        };
        if let Some(rank_shares) = &self.state.rank_shares {
            let verdict = outcome.as_ref().err().map(|refusal| refusal.verdict());
            rank_shares.record_outcome(request, slot_ms, verdict == Some(Verdict::NotRun));
        }
        self.log_outcome(request, &history, &outcome);
        outcome
    }

    /// Returns the expected time in a slot, where shares of ranks need it.
    fn expected_slot_ms(&self, request: &ResolvedRequest) -> Option<f64> {
        let state = &self.state;
        state.rank_shares.as_ref()?;
        let selector = state.selector.lock();
        selector.expected_slot_ms(state.clock.now(), request.work())
    }

    fn refuse_by_rank(&self, request: &ResolvedRequest, slot_ms: Option<f64>) -> Option<Refusal> {
        let rank_shares = self.state.rank_shares.as_ref()?;
        rank_shares.refuse(self.state.clock.now(), request, slot_ms)
    }

    fn record_key_load(&self, request: &ResolvedRequest) {
        let Some(key) = request.key else {
            return;
        };
        let mut key_counts = self.state.key_counts.lock();
        if let Some(counts) = key_counts.get_mut(&request.service) {
            counts.record(key);
            return;
        }
        key_counts
            .entry(request.service.clone())
            .or_default()
            .record(key);
    }

    async fn send_with_retries(
        &self,
        request: &ResolvedRequest,
        history: &mut AttemptHistory,
        is_client_gone: &AtomicBool,
    ) -> Result<UpstreamAnswer, Refusal> {
        let state = &self.state;
        let rule = request.route.rule();
        loop {
            let now = state.clock.now();
            if now >= request.deadline {
                return Err(Cause::DeadlineUnreachable.into());
            }
            if is_client_gone.load(Ordering::Relaxed) {
                return Err(Cause::RequestTimeout.into());
            }
            if let Some(refusal) = state.stop_limit.refusal(now, Duration::ZERO) {
                return Err(refusal);
            }
            self.check_quarantine(now, request)?;
            let (entry, expected, token) = match self.find_target(now, request, history) {
                DispatchTarget::Send(entry, expected) => (entry, expected, None),
                DispatchTarget::Cold(target) => {
                    let waiting = self.wait_for_token(request, &target, is_client_gone);
                    let Some(token) = waiting.await? else {
                        continue;
                    };
                    (Box::new(target.entry), target.expected, Some(token))
                }
                DispatchTarget::Refused(refusal) => return Err(refusal),
                DispatchTarget::Moving {
                    remaining_wait,
                    retry_after,
                } => {
                    if remaining_wait.is_zero() {
                        return Err(Refusal::new(Cause::ShardMoving).with_retry_after(retry_after));
                    }
                    async_std::task::sleep(MOVE_POLL_INTERVAL).await;
                    continue;
                }
            };
            if let Some(refusal) = state.stop_limit.refusal(state.clock.now(), expected) {
                if let Some(token) = token {
                    state.cold.put_back(token);
                }
                return Err(refusal);
            }
            if !self.charge_attempt(request, history.sends) {
                if let Some(token) = token {
                    state.cold.put_back(token);
                }
                return Err(Cause::Overloaded.into());
            }
            history.sends += 1;
            let is_repeat = history.tried_upstreams.contains(&entry.id);
            history.tried_upstreams.push(entry.id.clone());
            let attempt = AttemptFacts {
                is_repeat,
                may_have_run: history.uncertain_cause.is_some(),
            };
            let outcome = self.send(request, &entry, attempt, expected, token).await;
            if outcome.is_ok() {
                let now = state.clock.now();
                let mut quarantine = state.quarantine.lock();
                quarantine.record_completion(now, request.fingerprint());
            }
            let has_attempts_left = history.sends < rule.max_attempts;
            match outcome {
                Ok(answer) if answer.status < 500 || !request.is_idempotent() => {
                    return Ok(answer);
                }
                Ok(answer) => {
                    if !has_attempts_left {
                        return Ok(answer);
                    }
                    history.record_failed(answer);
                }
                Err(cause) => {
                    history.last_cause = Some(cause);
                    if cause == Cause::UpstreamLost {
                        self.record_loss(request, &entry).await;
                    }
                    let is_repeatable =
                        cause.verdict() == Verdict::NotRun || request.is_idempotent();
                    if cause.verdict() == Verdict::MayHaveRun {
                        history.uncertain_cause = Some(cause);
                    }
                    if !is_repeatable || !has_attempts_left || !cause.is_retryable() {
                        return Err(cause.into());
                    }
                    if cause == Cause::KeyMisplaced {
                        async_std::task::sleep(MOVE_POLL_INTERVAL).await;
                    }
                }
            }
        }
    }

    /// Charges the next attempt of a request that was sent so many times to the retry budget;
    /// returns `false` if the budget is empty.
    fn charge_attempt(&self, request: &ResolvedRequest, sends: u32) -> bool {
        let state = &self.state;
        if sends == 0 {
            state.budgets.record_first_attempt(&request.service);
            return true;
        }
        if state.budgets.try_spend(&request.service) {
            state.metrics.retries.inc();
            return true;
        }
        state.metrics.retries_denied.inc();
        debug!(
            target: "send",
            "request={} service={} state=retry-denied hosts={}",
            request.id, request.service, state.budgets.host_count().unwrap_or(0),
        );
        false
    }

    async fn send(
        &self,
        request: &ResolvedRequest,
        entry: &UpstreamEntry,
        attempt: AttemptFacts,
        expected: Duration,
        token: Option<HeldToken>,
    ) -> Result<UpstreamAnswer, Cause> {
        let state = &self.state;
        let mut permit = self.permit(request, entry, token);
        let now = state.clock.now();
        debug!(
            target: "send",
            "request={} service={} upstream={} expected_ms={} left_ms={}",
            request.id, request.service, entry.id, expected.as_millis(),
            (request.deadline - now).as_millis(),
        );
        let work = request.work();
        let sent = state
            .selector
            .lock()
            .record_sent(now, work, &entry.id, entry.slots);
        let mut guard = SendGuard {
            state,
            work,
            sent,
            outcome: RequestOutcome::Abandoned,
            report: None,
        };
        let max_requests = state.max_requests(&entry.service);
        let outgoing = request.outgoing();
        let exchanger = &state.exchanger;
        let ended = match &state.relay {
            Some(relay) => {
                relay
                    .exchange(
                        exchanger,
                        entry,
                        &outgoing,
                        attempt,
                        max_requests,
                        &mut permit,
                    )
                    .await
            }
            None => {
                exchanger
                    .exchange(
                        entry,
                        &outgoing,
                        attempt.is_repeat,
                        max_requests,
                        &mut permit,
                    )
                    .await
            }
        };
        guard.outcome = ended.outcome;
        guard.report = ended.report;
        drop(guard);
        ended.result
    }

    /// Connects to an upstream to check that it can be reached again, and pools the
    /// connection.
    pub(crate) async fn probe(self, entry: UpstreamEntry) {
        let state = &self.state;
        let stream = match h1::dial(entry.address, crate::pool::CONNECT_TIMEOUT).await {
            Ok(stream) => stream,
            Err(error) => {
                state.cold.record_unreachable(&entry, &error);
                return;
            }
        };
        state.cold.record_reached(&entry);
        info!(target: "upstream", "upstream={} state=reachable", entry.id);
        let now = state.clock.now();
        let connection = crate::pool::ReadyConnection::new(stream);
        let max_idle = state.max_requests(&entry.service);
        let pool = &state.exchanger.pool;
        pool.put(now, &entry.id, connection, None, max_idle);
        state.selector.lock().record_reachable(&entry.id);
    }

    /// Refuses a request whose fingerprint is quarantined for crashing upstreams.
    fn check_quarantine(&self, now: Moment, request: &ResolvedRequest) -> Result<(), Refusal> {
        let quarantine = self.state.quarantine.lock();
        if quarantine.iter(now).next().is_none() {
            return Ok(());
        }
        match quarantine.quarantine_remaining(now, request.fingerprint()) {
            Some(wait) => Err(Refusal::new(Cause::Quarantined).with_retry_after(wait)),
            None => Ok(()),
        }
    }

    /// Records that an upstream ended while it ran a request, if the upstream now
    /// refuses connections.
    async fn record_loss(&self, request: &ResolvedRequest, entry: &UpstreamEntry) {
        let probe = h1::dial(entry.address, crate::pool::CONNECT_TIMEOUT).await;
        let Err(error @ h1::DialError::Refused(_)) = &probe else {
            return;
        };
        self.state.cold.record_unreachable(entry, error);
        let now = self.state.clock.now();
        info!(
            target: "suspect",
            "request={} upstream={} fingerprint={:016x} state=ended",
            request.id, entry.id, request.fingerprint(),
        );
        self.state
            .quarantine
            .lock()
            .record_loss(now, request.fingerprint());
    }

    fn find_target(
        &self,
        now: Moment,
        request: &ResolvedRequest,
        history: &AttemptHistory,
    ) -> DispatchTarget {
        let view = self.state.view.load();
        match request.key {
            Some(key) => self.target_for_key(now, request, key, &view),
            None => self.target_for_service(now, request, history, &view),
        }
    }

    fn selection_limits(&self, now: Moment, request: &ResolvedRequest) -> SelectionLimits {
        let rule = request.route.rule();
        let elapsed = now - request.received_at;
        let target_left = rule
            .target_latency
            .mul_f64(TARGET_LATENCY_FRACTION)
            .saturating_sub(elapsed);
        let cost_fraction = match rule.kind {
            RequestKind::Download => CROSS_DOMAIN_DOWNLOAD_COST_FRACTION,
            RequestKind::Idempotent | RequestKind::NonIdempotent => CROSS_DOMAIN_COST_FRACTION,
        };
        SelectionLimits {
            target_left,
            time_left: self.state.stop_limit.time_left(now, request.deadline),
            cross_domain_cost: rule.target_latency.mul_f64(cost_fraction),
        }
    }

    /// Finds the upstream that holds the request's key.
    fn target_for_key(
        &self,
        now: Moment,
        request: &ResolvedRequest,
        key: u16,
        view: &FrontView,
    ) -> DispatchTarget {
        let range = view
            .owners
            .get(&request.service)
            .and_then(|map| map.range_of(key));
        let first = range.map_or(0, |range| range.first);
        if range.is_some_and(|range| self.state.is_holder_closed(now, range, view)) {
            return self.state.refuse_evacuated(request);
        }
        let Some(upstream) = range.and_then(|range| self.usable_holder(now, range, view)) else {
            let service = &request.service;
            let service_time = self.state.selector.lock().mean_service_time(service);
            let service_time = service_time.unwrap_or_default();
            let mut moves = self.state.moves.lock();
            let remaining_wait = moves.remaining_wait(now, service, first, service_time);
            return DispatchTarget::Moving {
                remaining_wait,
                retry_after: moves.unheld_for(now, service, first).max(RETRY_AFTER),
            };
        };
        self.state.moves.lock().record_held(&request.service, first);
        self.select_target(now, request, &[self.state.candidate(now, upstream)], view)
    }

    /// Returns the holder of a range, if requests may be sent to it.
    fn usable_holder<'a>(
        &self,
        now: Moment,
        range: &OwnedRange,
        view: &'a FrontView,
    ) -> Option<&'a KnownUpstream> {
        let owner = range.owner.as_ref().filter(|_| range.is_granted)?;
        let upstream = view.upstreams.get(&owner.upstream)?;
        let is_same_run = upstream.entry.started_at_ms == owner.run;
        (is_same_run && self.is_holder_usable(now, upstream)).then_some(upstream)
    }

    /// Returns whether requests may still be sent to the holder of a key.
    fn is_holder_usable(&self, now: Moment, upstream: &KnownUpstream) -> bool {
        match upstream.presence {
            Presence::Leaving(since) => {
                let drain = self.state.bounds.load().drain;
                now < since + drain.mul_f64(DRAIN_USE_FRACTION)
            }
            Presence::Listed | Presence::Missing(_) => upstream.accepts_requests(now),
        }
    }

    /// Selects among all upstreams of the service, for a request without a key.
    fn target_for_service(
        &self,
        now: Moment,
        request: &ResolvedRequest,
        history: &AttemptHistory,
        view: &FrontView,
    ) -> DispatchTarget {
        let Some(ids) = view.by_service.get(&request.service) else {
            return DispatchTarget::Refused(
                Refusal::new(Cause::NoOwner).with_retry_after(RETRY_AFTER),
            );
        };
        let mut candidates = Vec::with_capacity(ids.len());
        let mut tried = Vec::new();
        let mut is_evacuated = false;
        for id in ids {
            let Some(upstream) = view.upstreams.get(id) else {
                continue;
            };
            if !upstream.accepts_requests(now) {
                continue;
            }
            let phase = self.state.domain_phase(now, view, &upstream.entry.domain);
            if !phase.accepts_keyless() {
                is_evacuated = true;
                continue;
            }
            let candidate = self.state.candidate(now, upstream);
            if history.tried_upstreams.contains(id) {
                tried.push(candidate);
                continue;
            }
            candidates.push(candidate);
        }
        if candidates.is_empty() {
            // An upstream that was full is still full a moment later, but one whose
            // answer or connection was lost may answer the next attempt.
            if let Some(cause) = history
                .last_cause
                .filter(|cause| *cause == Cause::UpstreamRefused)
            {
                return DispatchTarget::Refused(Refusal::new(cause).with_retry_after(RETRY_AFTER));
            }
            candidates = tried;
        }
        if candidates.is_empty() && is_evacuated {
            return self.state.refuse_evacuated(request);
        }
        // Requests without a key go to cold upstreams only if no other has room.
        let (warm, cold) = split_cold(&self.state, candidates, &request.service);
        if cold.is_empty() {
            return self.select_target(now, request, &warm, view);
        }
        if !warm.is_empty() {
            let target = self.select_target(now, request, &warm, view);
            if matches!(target, DispatchTarget::Send(..)) {
                return target;
            }
        }
        self.select_target(now, request, &cold, view)
    }

    fn select_target(
        &self,
        now: Moment,
        request: &ResolvedRequest,
        candidates: &[UpstreamCandidate],
        view: &FrontView,
    ) -> DispatchTarget {
        let limits = self.selection_limits(now, request);
        let mut selector = self.state.selector.lock();
        let own_share = |share| match &self.state.rank_shares {
            Some(rank_shares) => rank_shares.upstream_share(now, request, share),
            None => share,
        };
        let selection = selector.choose_ranked(now, request.work(), candidates, &limits, own_share);
        drop(selector);
        match selection {
            Selection::Send { id, expected } => match view.upstreams.get(&id) {
                Some(upstream) => {
                    match ColdTarget::find(&self.state, now, upstream, expected, &limits) {
                        Some(target) => DispatchTarget::Cold(Box::new(target)),
                        None => DispatchTarget::Send(Box::new(upstream.entry.clone()), expected),
                    }
                }
                None => DispatchTarget::Refused(
                    Refusal::new(Cause::NoOwner).with_retry_after(RETRY_AFTER),
                ),
            },
            Selection::Refuse { retry_after } => DispatchTarget::Refused(
                Refusal::new(Cause::Overloaded).with_retry_after(retry_after),
            ),
            Selection::Unreachable { retry_after } => DispatchTarget::Refused(
                Refusal::new(Cause::UpstreamUnreachable)
                    .with_retry_after(retry_after.max(RETRY_AFTER)),
            ),
        }
    }

    /// Returns the refusal for the client: an attempt that may have run outweighs later
    /// refusals, and the retry time stays within the client's remaining time.
    fn final_refusal(
        &self,
        request: &ResolvedRequest,
        history: &AttemptHistory,
        refusal: Refusal,
    ) -> Refusal {
        if let Some(uncertain_cause) = history.uncertain_cause
            && refusal.verdict() == Verdict::NotRun
        {
            return uncertain_cause.into();
        }
        let remaining = request.deadline - self.state.clock.now();
        let wait = refusal.retry_after.unwrap_or(RETRY_AFTER);
        refusal.with_retry_after(wait.min(remaining.mul_f64(MAX_RETRY_AFTER_FRACTION)))
    }

    fn log_outcome(
        &self,
        request: &ResolvedRequest,
        history: &AttemptHistory,
        outcome: &Result<UpstreamAnswer, Refusal>,
    ) {
        let now = self.state.clock.now();
        let latency = now - request.received_at;
        let (status, verdict, cause) = match outcome {
            Ok(answer) => (answer.status, Verdict::Ran, "none"),
            Err(refusal) => (
                refusal.cause.status(),
                refusal.verdict(),
                refusal.cause.as_str(),
            ),
        };
        let rule = request.route.rule();
        self.state
            .metrics
            .record_request(verdict, cause, rule.rank, latency);
        let view = self.state.view.load();
        let epoch = request.key.and_then(|key| {
            let range = view.owners.get(&request.service)?.range_of(key)?;
            Some(range.epoch)
        });
        info!(
            target: "request",
            "request={} route={} kind={} rank={} service={} key={} epoch={} upstream={} \
             sends={} status={status} verdict={verdict} cause={cause} took_ms={} sheet={} \
             retry_after_ms={}",
            request.id,
            rule.name,
            rule.kind.as_str(),
            rule.rank,
            request.service,
            request.key.map_or(-1, i64::from),
            epoch.unwrap_or(0),
            history.tried_upstreams.last().map_or("none", UpstreamId::as_str),
            history.sends,
            latency.as_millis(),
            view.routes.version(),
            outcome.as_ref().err().and_then(|r| r.retry_after).unwrap_or_default().as_millis(),
        );
    }
}
