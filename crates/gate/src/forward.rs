//! The sending side of the peer link, which forwards requests to other hosts.

use crate::answer::{Answer, is_hop_by_hop_header};
use crate::body::{BodyFailureCauses, RemoteBody};
use crate::pool::{ConnectionPool, PooledConnection};
use crate::request::ResolvedRequest;
use async_std::future::timeout;
use futures::FutureExt;
use h1::{HeadLimits, ResponseHead, ResponsePart, encode_request_head};
use indexmap::IndexMap;
use kernel::{Cause, Clock, Refusal};
use parking_lot::RwLock;
use std::sync::Arc;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time after the deadline in which the primary's own refusal can still arrive.
const REFUSAL_GRACE: Duration = Duration::from_millis(100);
const ABANDON_CHECK_INTERVAL: Duration = Duration::from_millis(40);
/// Interval of the interim responses that a peer sends while it handles a request.
pub(crate) const PROGRESS_INTERVAL: Duration = Duration::from_millis(120);
/// Path of a probe that a peer answers at once.
pub(crate) const PING_PATH: &str = "/trestle-ping";
const BODY_STALL_TIMEOUT: Duration = Duration::from_secs(12);

/// Forwards requests to primaries on other hosts.
#[derive(Debug)]
pub(crate) struct PeerForwarder {
    clock: Arc<dyn Clock>,
    secret: String,
    /// Time without an interim response after which a connection counts as silent.
    silence_timeout: Duration,
    pools: RwLock<IndexMap<String, Arc<ConnectionPool>>>,
}

impl PeerForwarder {
    pub fn new(clock: Arc<dyn Clock>, secret: &str, silence_timeout: Duration) -> Self {
        Self {
            clock,
            secret: secret.to_owned(),
            silence_timeout,
            pools: RwLock::new(IndexMap::new()),
        }
    }

    /// Forwards a request and returns its answer.
    ///
    /// `should_abandon` is polled while no answer has arrived.
    ///
    /// # Errors
    ///
    /// Fails with the primary's refusal, or with a cause that says whether the
    /// request may have run.
    pub async fn forward(
        &self,
        address: &str,
        request: &ResolvedRequest,
        should_abandon: impl Fn() -> bool,
    ) -> Result<Answer, Refusal> {
        let pool = self.pool(address);
        let connected = pool.take(request.is_idempotent).await;
        let mut pooled = connected.map_err(|_io| Refusal::new(Cause::PrimaryUnreachable))?;
        let now = self.clock.now();
        let headers = request.peer_headers(now, &self.secret);
        let mut bytes = encode_request_head(&request.method, &request.target, &headers);
        bytes.extend_from_slice(&request.body);
        if pooled.connection.write(&bytes).await.is_err() {
            return Err(Cause::PrimaryLost.into());
        }
        let head = self
            .read_head(&pool, &mut pooled, request, should_abandon)
            .await?;
        let refusal = peer_refusal(&head);
        let wait = Duration::from_micros(head.headers.get_number("trestle-wait-us").unwrap_or(0));
        let remote = RemoteBody::new(&pool, pooled, &head, BODY_STALL_TIMEOUT, ())?;
        let causes = BodyFailureCauses {
            truncated: Cause::PrimaryLost,
            timed_out: Cause::PrimaryLost,
        };
        let remaining = request.deadline + REFUSAL_GRACE - self.clock.now();
        let body = remote.into_answer(remaining, causes).await?;
        if let Some(refusal) = refusal {
            return Err(refusal);
        }
        let mut headers = head.headers;
        headers.remove_where(|name| is_hop_by_hop_header(name) || name.starts_with("trestle-"));
        Ok(Answer {
            status: head.status,
            headers,
            body,
            wait,
        })
    }

    /// Reads the answer's head, as long as interim responses keep arriving.
    async fn read_head(
        &self,
        pool: &ConnectionPool,
        pooled: &mut PooledConnection,
        request: &ResolvedRequest,
        should_abandon: impl Fn() -> bool,
    ) -> Result<ResponseHead, Refusal> {
        let limits = HeadLimits::default();
        let answer_deadline = request.deadline + REFUSAL_GRACE;
        let mut last_progress_at = self.clock.now();
        loop {
            let mut reading = pooled
                .connection
                .read_response_part(&limits, &request.method)
                .boxed();
            let part = loop {
                let now = self.clock.now();
                let remaining = answer_deadline - now;
                if remaining.is_zero() {
                    return Err(Cause::UpstreamTimeout.into());
                }
                if now - last_progress_at > self.silence_timeout {
                    // When one connection is dead, the others usually are too.
                    pool.clear();
                    return Err(Cause::ConnectionSilent.into());
                }
                match timeout(remaining.min(ABANDON_CHECK_INTERVAL), &mut reading).await {
                    Ok(Ok(part)) => break part,
                    Ok(Err(_)) => return Err(Cause::PrimaryLost.into()),
                    Err(_elapsed) if should_abandon() => return Err(Cause::PrimaryLost.into()),
                    Err(_elapsed) => {}
                }
            };
            if let ResponsePart::Final(head) = part {
                return Ok(head);
            }
            drop(reading);
            last_progress_at = self.clock.now();
        }
    }

    fn pool(&self, address: &str) -> Arc<ConnectionPool> {
        if let Some(pool) = self.pools.read().get(address) {
            return Arc::clone(pool);
        }
        let mut pools = self.pools.write();
        let pool = pools.entry(address.to_owned()).or_insert_with(|| {
            let clock = Arc::clone(&self.clock);
            let pool = ConnectionPool::new(address, CONNECT_TIMEOUT, PING_PATH, clock);
            Arc::new(pool)
        });
        Arc::clone(pool)
    }
}

/// Returns the refusal in a peer's answer, if it contains one.
fn peer_refusal(head: &ResponseHead) -> Option<Refusal> {
    let cause = Cause::parse(head.headers.get("trestle-cause")?);
    let mut refusal = Refusal::new(cause.unwrap_or(Cause::PrimaryLost));
    let retry_ms = head.headers.get_number("trestle-retry-ms");
    refusal.retry_after = retry_ms.map(Duration::from_millis);
    Some(refusal)
}
