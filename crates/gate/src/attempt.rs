//! Tries of a request, and whether another is safe and worth it.

use crate::answer::Answer;
use crate::ingress::{Ingress, TryRecord};
use crate::request::ResolvedRequest;
use crate::snapshot::TrafficSnapshot;
use kernel::{Cause, Refusal, ServiceName, Verdict};
use retry::{RetryBudget, full_jitter};
use route::{KindRoute, UpstreamSlot};
use std::time::Duration;

const ROUTING_PAUSE: Duration = Duration::from_millis(4);
const ROUTING_PAUSE_MOST: Duration = Duration::from_millis(24);
const RETRY_PAUSE: Duration = Duration::from_millis(8);
const RETRY_PAUSE_MOST: Duration = Duration::from_millis(200);
const BUDGET_MOST: f64 = 20.0;

/// What to do after a refusal.
enum NextStep {
    Stop,
    Pause(Duration),
}

impl Ingress {
    pub(crate) async fn try_until_done(
        &self,
        kind: &KindRoute,
        order: &mut ResolvedRequest,
        record: &mut TryRecord,
    ) -> Result<Answer, Refusal> {
        self.budget(&order.service, RetryBudget::record_first_attempt);
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

    /// Chooses the upstream and sends the request to its primary.
    async fn try_once(
        &self,
        kind: &KindRoute,
        order: &mut ResolvedRequest,
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
            parts.schedulers.serve(order.clone()).await
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

    async fn forward(
        &self,
        target: &UpstreamSlot,
        order: &ResolvedRequest,
    ) -> Result<Answer, Refusal> {
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

    /// Decides whether a refused request is tried again.
    fn next_step(&self, order: &ResolvedRequest, record: &TryRecord, refusal: Refusal) -> NextStep {
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
