//! One exchange with an upstream, from the last check to the body's end.

use crate::answer::{Answer, AnswerBody, is_hop_header};
use crate::body::{BodyCauses, ExchangeHold, RemoteBody};
use crate::limits::GateLimits;
use crate::pool::PooledConnection;
use crate::request::ResolvedRequest;
use crate::scheduler::{SlotGuard, UpstreamScheduler};
use async_std::future::timeout;
use futures::FutureExt;
use h1::{HeadLimits, HeaderList, ResponseHead, encode_request_head};
use kernel::{Cause, Clock, Epoch, Refusal};
use std::sync::Arc;
use std::time::Duration;

const CANCEL_LIMIT: Duration = Duration::from_millis(150);
const BODY_STALL_LIMIT: Duration = Duration::from_secs(10);
const WRITE_LIMIT: Duration = Duration::from_secs(5);
/// Work that must not run twice waits this many times longer.
const CHARGE_PATIENCE: u32 = 3;
/// Idempotent work waits this many times its expected slot time for a head
/// before its connection is suspected.
const PATIENCE_FACTOR: u32 = 8;

/// Exchanges requests with upstreams.
#[derive(Clone, Debug)]
pub(crate) struct Exchanger {
    pub clock: Arc<dyn Clock>,
    pub limits: GateLimits,
}

/// Tells the upstream to stop unless the exchange has ended.
#[derive(Debug)]
struct CancelGuard {
    scheduler: Arc<UpstreamScheduler>,
    request: String,
    is_armed: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.is_armed {
            return;
        }
        let (scheduler, request) = (
            Arc::clone(&self.scheduler),
            std::mem::take(&mut self.request),
        );
        async_std::task::spawn(async move {
            let sending = post_cancel(&scheduler, &request);
            // The upstream runs on to the end if it does not hear of it.
            let _best_effort = timeout(CANCEL_LIMIT, sending).await;
        });
    }
}

async fn post_cancel(scheduler: &UpstreamScheduler, request: &str) -> h1::Result<()> {
    let mut pooled = scheduler.pool.connect().await?;
    let mut headers = HeaderList::new();
    headers.push("host", "upstream");
    headers.push("content-length", request.len().to_string());
    let mut bytes = encode_request_head("POST", "/control/cancel", &headers);
    bytes.extend_from_slice(request.as_bytes());
    pooled.connection.write(&bytes).await
}

impl Exchanger {
    /// Sends a request that holds a slot and returns its answer.
    ///
    /// # Errors
    ///
    /// Fails with a cause that says whether the request may have run.
    pub async fn exchange(
        &self,
        slot: SlotGuard,
        order: &ResolvedRequest,
    ) -> Result<Answer, Refusal> {
        let scheduler = Arc::clone(slot.scheduler());
        scheduler.check(self.clock.now(), order.shard)?;
        let taken = scheduler.pool.take(order.is_idempotent).await;
        let mut pooled = taken.map_err(|_io| Refusal::new(Cause::UpstreamUnreachable))?;
        // Time has passed while connecting, so the lease is checked again.
        let now = self.clock.now();
        let epoch = scheduler.check(now, order.shard)?;
        if now >= order.deadline {
            return Err(Cause::DeadlineUnreachable.into());
        }
        let mut guard = CancelGuard {
            scheduler: Arc::clone(&scheduler),
            request: order.request.as_str().to_owned(),
            is_armed: true,
        };
        let bytes = encode_order(order, epoch, order.deadline - now);
        let written = timeout(WRITE_LIMIT, pooled.connection.write(&bytes)).await;
        if !matches!(written, Ok(Ok(()))) {
            return Err(Cause::UpstreamLost.into());
        }
        let head = self.read_head(&scheduler, order, &mut pooled).await?;
        Self::judge_head(&scheduler, order, &head, &mut guard)?;
        scheduler.record_success();
        guard.is_armed = true;
        let hold = SlotHold { slot, guard };
        let body = self.read_body(order, &head, pooled, hold).await?;
        Ok(Answer {
            status: head.status,
            headers: end_to_end(&head.headers),
            body,
            wait: scheduler.expected_wait(order.rank),
        })
    }

    /// Reads the answer's head, probing the upstream when it takes too long.
    async fn read_head(
        &self,
        scheduler: &Arc<UpstreamScheduler>,
        order: &ResolvedRequest,
        pooled: &mut PooledConnection,
    ) -> Result<ResponseHead, Refusal> {
        let limits = HeadLimits::default();
        let mut reading = pooled
            .connection
            .read_response(&limits, &order.method)
            .boxed();
        let mut patience = Duration::from_millis(self.limits.probe_ms)
            .max(scheduler.expected_cost(order) * PATIENCE_FACTOR);
        if !order.is_idempotent {
            // A charge given up may still run, so its caller is told later.
            patience *= CHARGE_PATIENCE;
        }
        loop {
            let left = order.deadline - self.clock.now();
            if left.is_zero() {
                return Err(Cause::UpstreamTimeout.into());
            }
            let step = left.min(patience);
            match timeout(step, &mut reading).await {
                Ok(Ok(head)) => return Ok(head),
                Ok(Err(h1::Error::Malformed(_) | h1::Error::HeadTooLarge)) => {
                    return Err(Cause::AnswerInvalid.into());
                }
                Ok(Err(_)) => return Err(Cause::UpstreamLost.into()),
                Err(_elapsed) if step == left => return Err(Cause::UpstreamTimeout.into()),
                Err(_elapsed) => {}
            }
            // Idempotent work may run elsewhere once the upstream has lost its
            // lease, and any work is judged once its connection is the culprit.
            let has_lapsed = scheduler.lease.check(self.clock.now()).is_err();
            if has_lapsed && order.is_idempotent {
                return Err(Cause::ConnectionSilent.into());
            }
            scheduler.pool.clear();
            if scheduler.pool.works_anew().await {
                return Err(Cause::ConnectionSilent.into());
            }
        }
    }

    /// Checks that the answer is to this request and that the request ran.
    fn judge_head(
        scheduler: &UpstreamScheduler,
        order: &ResolvedRequest,
        head: &ResponseHead,
        guard: &mut CancelGuard,
    ) -> Result<(), Refusal> {
        if head.headers.get("x-request-id") != Some(order.request.as_str()) {
            return Err(Cause::AnswerInvalid.into());
        }
        guard.is_armed = false;
        let Some(reason) = head.headers.get("x-not-run") else {
            return Ok(());
        };
        if reason == "shed" {
            scheduler.record_refusal();
            return Err(Cause::UpstreamRefused.into());
        }
        // The upstream's word on leases is newer than the own.
        Err(Cause::LeaseLapsed.into())
    }

    async fn read_body(
        &self,
        order: &ResolvedRequest,
        head: &ResponseHead,
        pooled: PooledConnection,
        hold: SlotHold,
    ) -> Result<AnswerBody, Refusal> {
        let pool = Arc::clone(&hold.slot.scheduler().pool);
        let body = RemoteBody::new(&pool, pooled, head, BODY_STALL_LIMIT, hold)?;
        let causes = BodyCauses {
            cut: Cause::AnswerInvalid,
            late: Cause::UpstreamTimeout,
        };
        body.into_answer(order.deadline - self.clock.now(), causes)
            .await
    }
}

/// The slot of a request, and the word to its upstream if it is cut.
struct SlotHold {
    slot: SlotGuard,
    guard: CancelGuard,
}

impl ExchangeHold for SlotHold {
    fn release(mut self) {
        self.guard.is_armed = false;
        drop(self.slot);
    }
}

fn encode_order(order: &ResolvedRequest, epoch: Epoch, left: Duration) -> Vec<u8> {
    let mut headers = order.headers.clone();
    headers.push("host", "upstream");
    headers.push("content-length", order.body.len().to_string());
    headers.push("x-request-id", order.request.as_str());
    headers.push("x-customer", order.customer.as_str());
    headers.push("x-primary-epoch", epoch.to_string());
    if let Some((shard, shard_epoch)) = order.shard {
        headers.push("x-shard", shard.to_string());
        headers.push("x-shard-epoch", shard_epoch.to_string());
    }
    headers.push("x-deadline-ms", left.as_millis().to_string());
    let mut bytes = encode_request_head(&order.method, &order.target, &headers);
    bytes.extend_from_slice(&order.body);
    bytes
}

fn end_to_end(headers: &HeaderList) -> HeaderList {
    let mut kept = headers.clone();
    kept.remove_where(|name| is_hop_header(name) || name == "x-request-id");
    kept
}
