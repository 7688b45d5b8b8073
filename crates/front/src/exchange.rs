//! One exchange with an upstream.

use crate::adapter::HeaderNames;
use crate::answer::UpstreamAnswer;
use crate::pool::ConnectionPool;
use crate::request::ResolvedRequest;
use async_std::future::timeout;
use async_std::net::TcpStream;
use fleet::UpstreamEntry;
use h1::{Connection, HeadLimits, ResponseHead};
use kernel::{Cause, Clock};
use log::warn;
use place::{LoadReport, RequestOutcome};
use std::sync::Arc;
use std::time::Duration;

/// Least time for which a request is worth sending; less is over before an
/// upstream has read it.
const LEAST_TIME: Duration = Duration::from_millis(5);
/// Answers to other requests that are passed over before the connection is given
/// up.
const MOST_STRAY_ANSWERS: u32 = 4;
/// Largest answer that is held in memory, in bytes.
const MOST_BODY_BYTES: u64 = 64 << 20;

/// Exchanges requests with upstreams.
#[derive(Debug)]
pub(crate) struct Exchanger {
    pub pool: ConnectionPool,
    pub clock: Arc<dyn Clock>,
    pub names: HeaderNames,
}

/// What became of one exchange.
#[derive(Debug)]
pub(crate) struct Exchanged {
    pub result: Result<UpstreamAnswer, Cause>,
    pub end: RequestOutcome,
    pub report: Option<LoadReport>,
}

impl Exchanged {
    const fn failed(cause: Cause, end: RequestOutcome) -> Self {
        Self {
            result: Err(cause),
            end,
            report: None,
        }
    }
}

impl Exchanger {
    /// Sends a request to an upstream and reads its whole answer.
    pub(crate) async fn exchange(
        &self,
        entry: &UpstreamEntry,
        order: &ResolvedRequest,
    ) -> Exchanged {
        let now = self.clock.now();
        let limit = order.deadline - now;
        let must_be_fresh = !order.is_idempotent();
        let taken = self
            .pool
            .take(now, &entry.id, entry.address, must_be_fresh, limit);
        let mut connection = match taken.await {
            Ok(connection) => connection,
            Err(error) => {
                self.pool.clear(&entry.id);
                warn!(
                    target: "upstream",
                    "upstream={} address={} request={} state=unreachable error=\"{error}\"",
                    entry.id, entry.address, order.id,
                );
                return Exchanged::failed(Cause::UpstreamUnreachable, RequestOutcome::Unreachable);
            }
        };
        let left = order.deadline - self.clock.now();
        if left < LEAST_TIME {
            self.pool.keep(now, &entry.id, connection, None);
            return Exchanged::failed(Cause::DeadlineUnreachable, RequestOutcome::Abandoned);
        }
        let bytes = order.encode(&self.names, entry.id.as_str(), left);
        let exchange = async {
            connection.write(&bytes).await?;
            self.read_own_head(&mut connection, order).await
        };
        let head = match timeout(left, exchange).await {
            Ok(Ok(Some(head))) => head,
            Ok(Ok(None) | Err(h1::Error::Malformed(_) | h1::Error::HeadTooLarge)) => {
                return Exchanged::failed(Cause::AnswerInvalid, RequestOutcome::Lost);
            }
            Ok(Err(_)) => {
                self.pool.clear(&entry.id);
                return Exchanged::failed(Cause::UpstreamLost, RequestOutcome::Lost);
            }
            Err(_elapsed) => {
                return Exchanged::failed(Cause::UpstreamTimeout, RequestOutcome::Abandoned);
            }
        };
        self.read_answer(entry, order, connection, head).await
    }

    /// Reads the head of the answer to this request; `None` when there are only
    /// answers to others.
    async fn read_own_head(
        &self,
        connection: &mut Connection<TcpStream>,
        order: &ResolvedRequest,
    ) -> h1::Result<Option<ResponseHead>> {
        let limits = HeadLimits::default();
        for _stray in 0..MOST_STRAY_ANSWERS {
            let head = connection.read_response(&limits, &order.method).await?;
            match head.headers.get(self.names.request_id) {
                Some(id) if id == order.id.as_str() => return Ok(Some(head)),
                None if self.is_not_run(&head) => return Ok(Some(head)),
                _ => {}
            }
            warn!(
                target: "upstream",
                "request={} stray_answer_to={:?} status={}",
                order.id, head.headers.get(self.names.request_id), head.status,
            );
            if !head.keeps_alive {
                return Ok(None);
            }
            connection
                .read_whole_body(head.body, MOST_BODY_BYTES)
                .await?;
        }
        Ok(None)
    }

    fn is_not_run(&self, head: &ResponseHead) -> bool {
        head.status == 421 || head.headers.get(self.names.not_run).is_some()
    }

    async fn read_answer(
        &self,
        entry: &UpstreamEntry,
        order: &ResolvedRequest,
        mut connection: Connection<TcpStream>,
        head: ResponseHead,
    ) -> Exchanged {
        let report = head.headers.get(self.names.load).and_then(parse_load);
        let left = order.deadline - self.clock.now();
        let reading = connection.read_whole_body(head.body, MOST_BODY_BYTES);
        let body = match timeout(left, reading).await {
            Ok(Ok(body)) => body,
            _ if self.is_not_run(&head) => Vec::new(),
            Ok(Err(_)) => return Exchanged::failed(Cause::AnswerInvalid, RequestOutcome::Lost),
            Err(_elapsed) => {
                return Exchanged::failed(Cause::UpstreamTimeout, RequestOutcome::Abandoned);
            }
        };
        if head.keeps_alive {
            let keep_alive = head.headers.get("keep-alive");
            self.pool
                .keep(self.clock.now(), &entry.id, connection, keep_alive);
        }
        if self.is_not_run(&head) {
            let (cause, end) = match head.status {
                421 => (Cause::KeyMisplaced, RequestOutcome::Misplaced),
                429 | 503 => (Cause::UpstreamRefused, RequestOutcome::Full),
                _ => (Cause::UpstreamRefused, RequestOutcome::Abandoned),
            };
            return Exchanged {
                report,
                ..Exchanged::failed(cause, end)
            };
        }
        let is_success = (200..300).contains(&head.status);
        let is_stamped = head.headers.get(self.names.stamp).is_some();
        let is_encoded = head.headers.get("content-encoding").is_some();
        if is_success && (!is_stamped || is_encoded) {
            return Exchanged {
                report,
                ..Exchanged::failed(Cause::AnswerInvalid, RequestOutcome::Failed)
            };
        }
        let end = if head.status >= 500 {
            RequestOutcome::Failed
        } else {
            RequestOutcome::Answered
        };
        let is_bodiless = order.method == "HEAD" || matches!(head.status, 204 | 304);
        Exchanged {
            result: Ok(UpstreamAnswer {
                status: head.status,
                headers: head.headers,
                body,
                is_bodiless,
            }),
            end,
            report,
        }
    }
}

/// Parses "running, waiting, slots".
fn parse_load(text: &str) -> Option<LoadReport> {
    let mut numbers = text.split(',').map(|part| part.trim().parse().ok());
    Some(LoadReport {
        running: numbers.next()??,
        waiting: numbers.next()??,
        slots: numbers.next()??,
    })
}
