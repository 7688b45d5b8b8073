//! Attempts of a request: where each one is sent, and whether a failed one is
//! retried.

use crate::answer::Answer;
use crate::ingress::{AttemptRecord, Ingress};
use crate::request::ResolvedRequest;
use crate::snapshot::TrafficSnapshot;
use kernel::{Cause, Refusal, ServiceName, Verdict};
use retry::{RetryBudget, full_jitter};
use route::{KindRoute, UpstreamRoute};
use std::time::Duration;

const ROUTING_BACKOFF: Duration = Duration::from_millis(4);
const MAX_ROUTING_BACKOFF: Duration = Duration::from_millis(24);
const RETRY_BACKOFF: Duration = Duration::from_millis(8);
const MAX_RETRY_BACKOFF: Duration = Duration::from_millis(200);
/// Retries that a service's budget can save up.
const MAX_SAVED_RETRIES: f64 = 20.0;

/// What to do after a refused attempt.
enum RetryDecision {
    GiveUp,
    RetryAfter(Duration),
}

impl Ingress {
    /// Sends the request until it is answered or must not be retried.
    pub(crate) async fn run_attempts(
        &self,
        kind: &KindRoute,
        request: &mut ResolvedRequest,
        record: &mut AttemptRecord,
    ) -> Result<Answer, Refusal> {
        self.with_budget(&request.service, RetryBudget::record_first_attempt);
        loop {
            let outcome = self.attempt(kind, request, record).await;
            let refusal = match outcome {
                Ok(answer) => return Ok(answer),
                Err(refusal) => refusal,
            };
            if refusal.verdict() == Verdict::MayHaveRun {
                record.possible_run = Some(refusal);
            }
            match self.decide_retry(request, record, refusal) {
                RetryDecision::GiveUp => return Err(final_refusal(record, refusal)),
                RetryDecision::RetryAfter(backoff) => async_std::task::sleep(backoff).await,
            }
            record.attempts += 1;
            self.shared.parts.metrics.retries.inc();
        }
    }

    /// Selects an upstream and sends the request to its primary.
    async fn attempt(
        &self,
        kind: &KindRoute,
        request: &mut ResolvedRequest,
        record: &mut AttemptRecord,
    ) -> Result<Answer, Refusal> {
        let now = self.now();
        if now >= request.deadline {
            return Err(Cause::DeadlineUnreachable.into());
        }
        let target = self.select_upstream(kind, request, record)?;
        request.upstream = target.id.clone();
        let outstanding = self.shared.waits.track_request(&target.id);
        let parts = &self.shared.parts;
        let outcome = if target.primary.host == parts.host {
            parts.schedulers.serve(request.clone()).await
        } else {
            self.forward(&target, request).await
        };
        drop(outstanding);
        match &outcome {
            Ok(answer) => self
                .shared
                .waits
                .record_wait(self.now(), &target.id, answer.wait),
            Err(refusal) => {
                if let Some(wait) = refusal.retry_after {
                    self.shared.waits.record_wait(self.now(), &target.id, wait);
                }
                record.failed.push(target.id);
            }
        }
        outcome
    }

    async fn forward(
        &self,
        target: &UpstreamRoute,
        request: &ResolvedRequest,
    ) -> Result<Answer, Refusal> {
        let parts = &self.shared.parts;
        let Some(peer) = &target.primary.peer_address else {
            return Err(Cause::PrimaryUnreachable.into());
        };
        let address = parts.translations.get(peer).unwrap_or(peer);
        let snapshots = &parts.snapshots;
        let should_abandon = || {
            let snapshot = snapshots.load();
            request.is_idempotent && is_superseded(&snapshot, target)
        };
        self.shared
            .forwarder
            .forward(address, request, should_abandon)
            .await
    }

    /// Decides whether a refused request is sent again, and after which delay.
    fn decide_retry(
        &self,
        request: &ResolvedRequest,
        record: &AttemptRecord,
        refusal: Refusal,
    ) -> RetryDecision {
        let cause = refusal.cause;
        let is_safe = refusal.verdict() == Verdict::NotRun || request.is_idempotent;
        if !cause.is_retryable() || !is_safe || cause == Cause::JournalUnavailable {
            return RetryDecision::GiveUp;
        }
        let now = self.now();
        let mut rng = self.shared.rng.lock();
        let backoff = if is_routing_cause(cause) {
            // Ownership is changing. Nothing has run and changes are short, so these
            // retries are bounded by time and not charged to the retry budget.
            if now >= record.started_at + self.shared.parts.limits.max_owner_wait() {
                return RetryDecision::GiveUp;
            }
            full_jitter(
                &mut rng,
                ROUTING_BACKOFF,
                MAX_ROUTING_BACKOFF,
                record.attempts,
            )
            .max(Duration::from_millis(1))
        } else {
            if !self.with_budget(&request.service, RetryBudget::try_spend) {
                return RetryDecision::GiveUp;
            }
            full_jitter(&mut rng, RETRY_BACKOFF, MAX_RETRY_BACKOFF, record.attempts)
        };
        if now + backoff >= request.deadline {
            return RetryDecision::GiveUp;
        }
        RetryDecision::RetryAfter(backoff)
    }

    fn with_budget<T>(
        &self,
        service: &ServiceName,
        change: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let share = f64::from(self.shared.parts.limits.retry_percent) / 100.0;
        let mut budgets = self.shared.budgets.lock();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(share, MAX_SAVED_RETRIES));
        change(budget)
    }
}

/// Returns the refusal that the client gets.
///
/// A refusal of an attempt that may have run takes precedence over a later one
/// that did not run.
fn final_refusal(record: &AttemptRecord, refusal: Refusal) -> Refusal {
    match record.possible_run {
        Some(possible_run) if refusal.verdict() == Verdict::NotRun => possible_run,
        _ => refusal,
    }
}

/// Returns whether a cause goes away once a change of ownership is complete.
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

/// Returns whether the primary that a request was sent to is unreachable, or
/// silent and replaced.
fn is_superseded(snapshot: &TrafficSnapshot, target: &UpstreamRoute) -> bool {
    let current = snapshot.owners.upstream(&target.id);
    if current.is_some_and(|upstream| upstream.is_unreachable) {
        return true;
    }
    if !snapshot.silent_hosts.contains(&target.primary.host) {
        return false;
    }
    current.is_none_or(|upstream| upstream.primary.host != target.primary.host)
}
