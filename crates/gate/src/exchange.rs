//! One exchange with an upstream, from the last lease check to the end of the
//! answer's body.

use crate::answer::{Answer, AnswerBody, is_hop_by_hop_header};
use crate::body::{BodyFailureCauses, ExchangeGuard, RemoteBody};
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

const CANCEL_TIMEOUT: Duration = Duration::from_millis(150);
const BODY_STALL_TIMEOUT: Duration = Duration::from_secs(10);
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// Factor by which non-idempotent requests wait longer before their connection is
/// probed.
const NON_IDEMPOTENT_WAIT_FACTOR: u32 = 3;
/// Multiple of a request's expected slot time that passes without an answer's head
/// before its connection is probed.
const EXPECTED_COST_FACTOR: u32 = 8;

/// Exchanges requests with upstreams.
#[derive(Clone, Debug)]
pub(crate) struct Exchanger {
    pub clock: Arc<dyn Clock>,
    pub limits: GateLimits,
}

/// Sends a cancel message to the upstream if dropped before the exchange has ended.
#[derive(Debug)]
struct CancelGuard {
    scheduler: Arc<UpstreamScheduler>,
    request_id: String,
    is_armed: bool,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if !self.is_armed {
            return;
        }
        let (scheduler, request_id) = (
            Arc::clone(&self.scheduler),
            std::mem::take(&mut self.request_id),
        );
        async_std::task::spawn(async move {
            let sending = post_cancel(&scheduler, &request_id);
            // If the message is lost, the upstream runs the request to its end.
            let _best_effort = timeout(CANCEL_TIMEOUT, sending).await;
        });
    }
}

async fn post_cancel(scheduler: &UpstreamScheduler, request_id: &str) -> h1::Result<()> {
    let mut pooled = scheduler.pool.connect().await?;
    let mut headers = HeaderList::new();
    headers.push("host", "upstream");
    headers.push("content-length", request_id.len().to_string());
    let mut bytes = encode_request_head("POST", "/control/cancel", &headers);
    bytes.extend_from_slice(request_id.as_bytes());
    pooled.connection.write(&bytes).await
}

impl Exchanger {
    /// Sends a request that has been given a slot and returns its answer.
    ///
    /// # Errors
    ///
    /// Fails with a cause that says whether the request may have run.
    pub async fn exchange(
        &self,
        slot: SlotGuard,
        request: &ResolvedRequest,
    ) -> Result<Answer, Refusal> {
        let scheduler = Arc::clone(slot.scheduler());
        scheduler.check(self.clock.now(), request.shard)?;
        let connected = scheduler.pool.take(request.is_idempotent).await;
        let mut pooled = connected.map_err(|_io| Refusal::new(Cause::UpstreamUnreachable))?;
        // The lease may have expired while connecting.
        let now = self.clock.now();
        let epoch = scheduler.check(now, request.shard)?;
        if now >= request.deadline {
            return Err(Cause::DeadlineUnreachable.into());
        }
        let mut cancel_guard = CancelGuard {
            scheduler: Arc::clone(&scheduler),
            request_id: request.id.as_str().to_owned(),
            is_armed: true,
        };
        let bytes = encode_upstream_request(request, epoch, request.deadline - now);
        let written = timeout(WRITE_TIMEOUT, pooled.connection.write(&bytes)).await;
        if !matches!(written, Ok(Ok(()))) {
            return Err(Cause::UpstreamLost.into());
        }
        let head = self.read_head(&scheduler, request, &mut pooled).await?;
        Self::check_head(&scheduler, request, &head, &mut cancel_guard)?;
        scheduler.record_success();
        cancel_guard.is_armed = true;
        let guard = SlotExchangeGuard { slot, cancel_guard };
        let body = self.read_body(request, &head, pooled, guard).await?;
        Ok(Answer {
            status: head.status,
            headers: end_to_end_headers(&head.headers),
            body,
            wait: scheduler.expected_wait(request.rank),
        })
    }

    /// Reads the answer's head, and probes the upstream if that takes too long.
    async fn read_head(
        &self,
        scheduler: &Arc<UpstreamScheduler>,
        request: &ResolvedRequest,
        pooled: &mut PooledConnection,
    ) -> Result<ResponseHead, Refusal> {
        let limits = HeadLimits::default();
        let mut reading = pooled
            .connection
            .read_response(&limits, &request.method)
            .boxed();
        let mut probe_after = Duration::from_millis(self.limits.probe_ms)
            .max(scheduler.expected_cost(request) * EXPECTED_COST_FACTOR);
        if !request.is_idempotent {
            // An abandoned non-idempotent request may still run, so it is given more
            // time before its client is refused.
            probe_after *= NON_IDEMPOTENT_WAIT_FACTOR;
        }
        loop {
            let remaining = request.deadline - self.clock.now();
            if remaining.is_zero() {
                return Err(Cause::UpstreamTimeout.into());
            }
            let max_wait = remaining.min(probe_after);
            match timeout(max_wait, &mut reading).await {
                Ok(Ok(head)) => return Ok(head),
                Ok(Err(h1::Error::Malformed(_) | h1::Error::HeadTooLarge)) => {
                    return Err(Cause::AnswerInvalid.into());
                }
                Ok(Err(_)) => return Err(Cause::UpstreamLost.into()),
                Err(_elapsed) if max_wait == remaining => return Err(Cause::UpstreamTimeout.into()),
                Err(_elapsed) => {}
            }
            // An idempotent request can run elsewhere once the lease has expired. Any
            // request is abandoned if the upstream answers on a new connection: then
            // the fault lies with the old one.
            let has_lapsed = scheduler.lease.check(self.clock.now()).is_err();
            if has_lapsed && request.is_idempotent {
                return Err(Cause::ConnectionSilent.into());
            }
            scheduler.pool.clear();
            if scheduler.pool.probe_new_connection().await {
                return Err(Cause::ConnectionSilent.into());
            }
        }
    }

    /// Checks that the answer belongs to this request and that the request ran.
    fn check_head(
        scheduler: &UpstreamScheduler,
        request: &ResolvedRequest,
        head: &ResponseHead,
        cancel_guard: &mut CancelGuard,
    ) -> Result<(), Refusal> {
        if head.headers.get("x-request-id") != Some(request.id.as_str()) {
            return Err(Cause::AnswerInvalid.into());
        }
        cancel_guard.is_armed = false;
        let Some(reason) = head.headers.get("x-not-run") else {
            return Ok(());
        };
        if reason == "shed" {
            scheduler.record_refusal();
            return Err(Cause::UpstreamRefused.into());
        }
        // The upstream's lease state is newer than that of this host.
        Err(Cause::LeaseLapsed.into())
    }

    async fn read_body(
        &self,
        request: &ResolvedRequest,
        head: &ResponseHead,
        pooled: PooledConnection,
        guard: SlotExchangeGuard,
    ) -> Result<AnswerBody, Refusal> {
        let pool = Arc::clone(&guard.slot.scheduler().pool);
        let body = RemoteBody::new(&pool, pooled, head, BODY_STALL_TIMEOUT, guard)?;
        let causes = BodyFailureCauses {
            truncated: Cause::AnswerInvalid,
            timed_out: Cause::UpstreamTimeout,
        };
        body.into_answer(request.deadline - self.clock.now(), causes)
            .await
    }
}

/// The slot of a request and its cancel guard, held until the body's end.
struct SlotExchangeGuard {
    slot: SlotGuard,
    cancel_guard: CancelGuard,
}

impl ExchangeGuard for SlotExchangeGuard {
    fn complete(mut self) {
        self.cancel_guard.is_armed = false;
        drop(self.slot);
    }
}

fn encode_upstream_request(
    request: &ResolvedRequest,
    epoch: Epoch,
    remaining: Duration,
) -> Vec<u8> {
    let mut headers = request.headers.clone();
    headers.push("host", "upstream");
    headers.push("content-length", request.body.len().to_string());
    headers.push("x-request-id", request.id.as_str());
    headers.push("x-customer", request.customer.as_str());
    headers.push("x-primary-epoch", epoch.to_string());
    if let Some((shard, shard_epoch)) = request.shard {
        headers.push("x-shard", shard.to_string());
        headers.push("x-shard-epoch", shard_epoch.to_string());
    }
    headers.push("x-deadline-ms", remaining.as_millis().to_string());
    let mut bytes = encode_request_head(&request.method, &request.target, &headers);
    bytes.extend_from_slice(&request.body);
    bytes
}

fn end_to_end_headers(headers: &HeaderList) -> HeaderList {
    let mut end_to_end = headers.clone();
    end_to_end.remove_where(|name| is_hop_by_hop_header(name) || name == "x-request-id");
    end_to_end
}
