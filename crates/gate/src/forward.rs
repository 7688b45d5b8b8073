//! The near end of the peer link: a request goes to another host.

use crate::answer::{Answer, is_hop_header};
use crate::body::{BodyCauses, RemoteBody};
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

const CONNECT_LIMIT: Duration = Duration::from_millis(150);
/// Time beyond the deadline for the primary's own refusal to arrive.
const GRACE: Duration = Duration::from_millis(100);
const WATCH_PERIOD: Duration = Duration::from_millis(40);
/// Between signs that a peer gives while it works on a request.
pub(crate) const SIGN_PERIOD: Duration = Duration::from_millis(120);
/// Path that a peer answers at once.
pub(crate) const PING_PATH: &str = "/trestle-ping";
const BODY_STALL_LIMIT: Duration = Duration::from_secs(12);

/// Forwards requests to primaries on other hosts.
#[derive(Debug)]
pub(crate) struct PeerForwarder {
    clock: Arc<dyn Clock>,
    secret: String,
    /// Time without a sign of work until a link counts as silent.
    patience: Duration,
    pools: RwLock<IndexMap<String, Arc<ConnectionPool>>>,
}

impl PeerForwarder {
    pub fn new(clock: Arc<dyn Clock>, secret: &str, patience: Duration) -> Self {
        Self {
            clock,
            secret: secret.to_owned(),
            patience,
            pools: RwLock::new(IndexMap::new()),
        }
    }

    /// Forwards a request and returns its answer.
    ///
    /// `is_given_up` is asked now and then while nothing has come back.
    pub async fn forward(
        &self,
        address: &str,
        order: &ResolvedRequest,
        is_given_up: impl Fn() -> bool,
    ) -> Result<Answer, Refusal> {
        let pool = self.pool(address);
        let taken = pool.take(order.is_idempotent).await;
        let mut pooled = taken.map_err(|_io| Refusal::new(Cause::PrimaryUnreachable))?;
        let now = self.clock.now();
        let headers = order.peer_headers(now, &self.secret);
        let mut bytes = encode_request_head(&order.method, &order.target, &headers);
        bytes.extend_from_slice(&order.body);
        if pooled.connection.write(&bytes).await.is_err() {
            return Err(Cause::PrimaryLost.into());
        }
        let head = self
            .read_head(&pool, &mut pooled, order, is_given_up)
            .await?;
        let refusal = refusal_in(&head);
        let wait = Duration::from_micros(head.headers.get_number("trestle-wait-us").unwrap_or(0));
        let remote = RemoteBody::new(&pool, pooled, &head, BODY_STALL_LIMIT, ())?;
        let causes = BodyCauses {
            cut: Cause::PrimaryLost,
            late: Cause::PrimaryLost,
        };
        let left = order.deadline + GRACE - self.clock.now();
        let body = remote.into_answer(left, causes).await?;
        if let Some(refusal) = refusal {
            return Err(refusal);
        }
        let mut headers = head.headers;
        headers.remove_where(|name| is_hop_header(name) || name.starts_with("trestle-"));
        Ok(Answer {
            status: head.status,
            headers,
            body,
            wait,
        })
    }

    /// Reads the answer's head while signs of work keep coming.
    async fn read_head(
        &self,
        pool: &ConnectionPool,
        pooled: &mut PooledConnection,
        order: &ResolvedRequest,
        is_given_up: impl Fn() -> bool,
    ) -> Result<ResponseHead, Refusal> {
        let limits = HeadLimits::default();
        let end = order.deadline + GRACE;
        let mut sign_at = self.clock.now();
        loop {
            let mut reading = pooled
                .connection
                .read_response_part(&limits, &order.method)
                .boxed();
            let part = loop {
                let now = self.clock.now();
                let left = end - now;
                if left.is_zero() {
                    return Err(Cause::UpstreamTimeout.into());
                }
                if now - sign_at > self.patience {
                    // Connections lost track of are rarely alone.
                    pool.clear();
                    return Err(Cause::ConnectionSilent.into());
                }
                match timeout(left.min(WATCH_PERIOD), &mut reading).await {
                    Ok(Ok(part)) => break part,
                    Ok(Err(_)) => return Err(Cause::PrimaryLost.into()),
                    Err(_elapsed) if is_given_up() => return Err(Cause::PrimaryLost.into()),
                    Err(_elapsed) => {}
                }
            };
            if let ResponsePart::Final(head) = part {
                return Ok(head);
            }
            drop(reading);
            sign_at = self.clock.now();
        }
    }

    fn pool(&self, address: &str) -> Arc<ConnectionPool> {
        if let Some(pool) = self.pools.read().get(address) {
            return Arc::clone(pool);
        }
        let mut pools = self.pools.write();
        let pool = pools.entry(address.to_owned()).or_insert_with(|| {
            let clock = Arc::clone(&self.clock);
            let pool = ConnectionPool::new(address, CONNECT_LIMIT, PING_PATH, clock);
            Arc::new(pool)
        });
        Arc::clone(pool)
    }
}

/// Returns the refusal that a peer's answer carries, if it is one.
fn refusal_in(head: &ResponseHead) -> Option<Refusal> {
    let cause = Cause::parse(head.headers.get("trestle-cause")?);
    let mut refusal = Refusal::new(cause.unwrap_or(Cause::PrimaryLost));
    let retry_ms = head.headers.get_number("trestle-retry-ms");
    refusal.retry_after = retry_ms.map(Duration::from_millis);
    Some(refusal)
}
