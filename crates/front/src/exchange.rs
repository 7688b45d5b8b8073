//! Exchange of one request with an upstream.

use crate::adapter::HeaderNames;
use crate::answer::UpstreamAnswer;
use crate::body_memory::{BodyError, BodyMemory, HeldBody};
use crate::cold_budget::SendPermit;
use crate::metrics::FrontMetrics;
use crate::pool::{ConnectionChoice, ConnectionPool, ReadyConnection};
use crate::request::OutgoingRequest;
use crate::sending::{SendProgress, is_closed, send_and_read, write_request};
use async_std::future::timeout;
use async_std::net::TcpStream;
use fleet::UpstreamEntry;
use h1::{Connection, HeadLimits, HeaderList, ResponseHead};
use kernel::{Cause, Clock, UpstreamId};
use log::{debug, warn};
use place::{LoadReport, RequestOutcome};
use std::sync::Arc;
use std::time::Duration;

/// Minimum remaining time for which a request is sent; less would elapse before an
/// upstream has read it.
const MIN_REMAINING_TIME: Duration = Duration::from_millis(5);
/// Maximum number of answers to other requests that are skipped before the connection
/// is dropped.
const MAX_STRAY_ANSWERS: u32 = 4;

/// Exchanges requests with upstreams.
#[derive(Debug)]
pub(crate) struct Exchanger {
    pub pool: ConnectionPool,
    pub clock: Arc<dyn Clock>,
    pub names: HeaderNames,
    /// Memory for the bodies of answers.
    pub memory: BodyMemory,
    /// Maximum size of the body of one answer, in bytes.
    pub max_answer: u64,
    pub metrics: FrontMetrics,
}

/// An exchange that brought no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ExchangeFailure {
    pub cause: Cause,
    pub outcome: RequestOutcome,
}

impl ExchangeFailure {
    pub(crate) const fn new(cause: Cause, outcome: RequestOutcome) -> Self {
        Self { cause, outcome }
    }
}

/// The result of one exchange.
#[derive(Debug)]
pub(crate) struct ExchangeResult {
    pub result: Result<UpstreamAnswer, Cause>,
    pub outcome: RequestOutcome,
    pub report: Option<LoadReport>,
}

impl ExchangeResult {
    const fn failed(cause: Cause, outcome: RequestOutcome) -> Self {
        Self {
            result: Err(cause),
            outcome,
            report: None,
        }
    }
}

impl From<ExchangeFailure> for ExchangeResult {
    fn from(failure: ExchangeFailure) -> Self {
        Self::failed(failure.cause, failure.outcome)
    }
}

impl Exchanger {
    /// Sends a request to an upstream and judges its complete answer; the parameters are
    /// those of [`Self::fetch`].
    pub(crate) async fn exchange(
        &self,
        entry: &UpstreamEntry,
        request: &OutgoingRequest<'_>,
        is_repeat: bool,
        max_idle: u32,
        permit: &mut SendPermit<'_>,
    ) -> ExchangeResult {
        let fetching = self.fetch(entry, request, is_repeat, max_idle, permit);
        match fetching.await {
            Ok(answer) => self.judge(&entry.id, answer),
            Err(failure) => failure.into(),
        }
    }

    /// Sends a request to an upstream and reads its complete answer, which may be a
    /// rejection; keeps up to `max_idle` connections to the upstream.
    ///
    /// `is_repeat` says that the upstream may have answered an earlier attempt of the
    /// request. Both attempts have the same id, so that a copy of that answer would pass
    /// for one to this attempt; a new connection carries none.
    pub(crate) async fn fetch(
        &self,
        entry: &UpstreamEntry,
        request: &OutgoingRequest<'_>,
        is_repeat: bool,
        max_idle: u32,
        permit: &mut SendPermit<'_>,
    ) -> Result<UpstreamAnswer, ExchangeFailure> {
        let now = self.clock.now();
        let remaining = request.deadline - now;
        let choice = connection_choice(is_repeat, request.is_idempotent);
        let connecting = self
            .pool
            .take(now, &entry.id, entry.address, choice, remaining);
        match connecting.await {
            Ok(ready) => {
                self.fetch_over(ready, entry, request, max_idle, permit)
                    .await
            }
            Err(error) => {
                permit.record_connection(Err(&error));
                self.pool.clear(&entry.id);
                warn!(
                    target: "upstream",
                    "upstream={} address={} request={} state=unreachable error=\"{error}\"",
                    entry.id, entry.address, request.id,
                );
                Err(ExchangeFailure::new(
                    Cause::UpstreamUnreachable,
                    RequestOutcome::Unreachable,
                ))
            }
        }
    }

    /// Like [`Self::fetch`], over a connection that is ready.
    pub(crate) async fn fetch_over(
        &self,
        ready: ReadyConnection,
        entry: &UpstreamEntry,
        request: &OutgoingRequest<'_>,
        max_idle: u32,
        permit: &mut SendPermit<'_>,
    ) -> Result<UpstreamAnswer, ExchangeFailure> {
        let now = self.clock.now();
        if ready.is_new {
            permit.record_connection(Ok(()));
        }
        self.record_way(request, ready.is_new);
        if is_closed(ready.connection.stream()) {
            self.pool.clear(&entry.id);
            return Err(ExchangeFailure::new(
                Cause::UpstreamUnreachable,
                connection_loss_outcome(ready.is_new),
            ));
        }
        let remaining = request.deadline - now;
        if remaining < MIN_REMAINING_TIME {
            self.pool.put(now, &entry.id, ready, None, max_idle);
            return Err(ExchangeFailure::new(
                Cause::DeadlineUnreachable,
                RequestOutcome::Abandoned,
            ));
        }
        let mut bytes = request.encode_head(&self.names, entry.id.as_str(), remaining);
        let blocks = request.body.blocks_behind(&mut bytes);
        if !permit.use_for_write() {
            self.pool.put(now, &entry.id, ready, None, max_idle);
            return Err(ExchangeFailure::new(
                Cause::UpstreamRefused,
                RequestOutcome::Withheld,
            ));
        }
        let ReadyConnection {
            mut connection,
            is_new,
            has_unnamed_rejection,
        } = ready;
        let progress = SendProgress::default();
        let stream = connection.stream().clone();
        let exchange = send_and_read(
            write_request(stream, &bytes, blocks, &progress),
            self.read_matching_head(&mut connection, request, has_unnamed_rejection),
            |head| self.is_not_run(head.status, &head.headers),
        );
        let head = match timeout(remaining, exchange).await {
            Ok(Ok(Some(head))) => head,
            Ok(Ok(None) | Err(h1::Error::Malformed(_) | h1::Error::HeadTooLarge)) => {
                return Err(ExchangeFailure::new(
                    Cause::AnswerInvalid,
                    RequestOutcome::Failed,
                ));
            }
            Ok(Err(_)) => {
                self.pool.clear(&entry.id);
                let cause = if progress.is_begun() {
                    Cause::UpstreamLost
                } else {
                    permit.return_token();
                    Cause::UpstreamUnreachable
                };
                let outcome = connection_loss_outcome(is_new);
                return Err(ExchangeFailure::new(cause, outcome));
            }
            Err(_elapsed) => {
                let cause = if progress.is_begun() {
                    Cause::UpstreamTimeout
                } else {
                    permit.return_token();
                    Cause::DeadlineUnreachable
                };
                return Err(ExchangeFailure::new(cause, RequestOutcome::Abandoned));
            }
        };
        permit.record_head(head.headers.get_number(self.names.cold));
        let is_unnamed = head.headers.get(self.names.request_id).is_none();
        let ready = ReadyConnection {
            connection,
            is_new: false,
            has_unnamed_rejection: has_unnamed_rejection || is_unnamed,
        };
        let is_sent = progress.is_complete();
        self.read_answer(entry, request, ready, head, is_sent, max_idle)
            .await
    }

    fn record_way(&self, request: &OutgoingRequest<'_>, is_new: bool) {
        if is_new {
            self.metrics.connections_opened.inc();
        }
        if !request.is_relayed {
            let way = if is_new { "new" } else { "own" };
            self.metrics.sends.with_label_values(&[way]).inc();
        }
    }

    /// Reads the head of the answer to this request; returns `None` if there are only
    /// answers to other requests.
    ///
    /// Some upstreams reject requests without naming them. `has_unnamed_rejection` says
    /// that this connection has carried such a rejection, of which a further one may be a
    /// late copy. Every other answer names its request, so that the first rejection
    /// without a name is for this request.
    async fn read_matching_head(
        &self,
        connection: &mut Connection<TcpStream>,
        request: &OutgoingRequest<'_>,
        has_unnamed_rejection: bool,
    ) -> h1::Result<Option<ResponseHead>> {
        let limits = HeadLimits::default();
        for _stray in 0..MAX_STRAY_ANSWERS {
            let head = connection.read_response(&limits, request.method).await?;
            match head.headers.get(self.names.request_id) {
                Some(id) if id == request.id.as_str() => return Ok(Some(head)),
                None if !has_unnamed_rejection && self.is_not_run(head.status, &head.headers) => {
                    return Ok(Some(head));
                }
                None => return Ok(None),
                Some(_) => {}
            }
            warn!(
                target: "upstream",
                "request={} stray_answer_to={:?} status={}",
                request.id, head.headers.get(self.names.request_id), head.status,
            );
            if !head.keeps_alive {
                return Ok(None);
            }
            match self.read_body(connection, &head).await {
                Ok(_stray_body) => {}
                Err(BodyError::Connection(error)) => return Err(error),
                Err(BodyError::TooLarge | BodyError::NoMemory) => return Ok(None),
            }
        }
        Ok(None)
    }

    async fn read_body(
        &self,
        connection: &mut Connection<TcpStream>,
        head: &ResponseHead,
    ) -> Result<HeldBody, BodyError> {
        self.memory
            .read_body(connection, head.body, self.max_answer)
            .await
    }

    fn is_not_run(&self, status: u16, headers: &HeaderList) -> bool {
        status == 421 || headers.get(self.names.not_run).is_some()
    }

    async fn read_answer(
        &self,
        entry: &UpstreamEntry,
        request: &OutgoingRequest<'_>,
        mut ready: ReadyConnection,
        head: ResponseHead,
        is_sent: bool,
        max_idle: u32,
    ) -> Result<UpstreamAnswer, ExchangeFailure> {
        let remaining = request.deadline - self.clock.now();
        let reading = self.read_body(&mut ready.connection, &head);
        let mut is_reusable = head.keeps_alive && is_sent;
        let body = match timeout(remaining, reading).await {
            Ok(Ok(body)) => body,
            _ if self.is_not_run(head.status, &head.headers) => {
                is_reusable = false;
                self.memory.empty_body()
            }
            Ok(Err(_)) => {
                return Err(ExchangeFailure::new(
                    Cause::AnswerInvalid,
                    RequestOutcome::Failed,
                ));
            }
            Err(_elapsed) => {
                return Err(ExchangeFailure::new(
                    Cause::UpstreamTimeout,
                    RequestOutcome::Abandoned,
                ));
            }
        };
        if is_reusable {
            let keep_alive = head.headers.get("keep-alive");
            self.pool
                .put(self.clock.now(), &entry.id, ready, keep_alive, max_idle);
        }
        let is_bodiless = request.method == "HEAD" || matches!(head.status, 204 | 304);
        Ok(UpstreamAnswer {
            status: head.status,
            headers: head.headers,
            body,
            is_bodiless,
        })
    }

    /// Judges an upstream's answer: whether it ran the request, and whether the answer is
    /// one that a client may get.
    pub(crate) fn judge(&self, upstream: &UpstreamId, answer: UpstreamAnswer) -> ExchangeResult {
        let load = answer.headers.get(self.names.load);
        let report = load.and_then(|text| parse_load(upstream, text));
        if self.is_not_run(answer.status, &answer.headers) {
            let (cause, outcome) = match answer.status {
                421 => (Cause::KeyMisplaced, RequestOutcome::Misplaced),
                429 | 503 => (Cause::UpstreamRefused, RequestOutcome::Full),
                _ => (Cause::UpstreamRefused, RequestOutcome::Abandoned),
            };
            return ExchangeResult {
                report,
                ..ExchangeResult::failed(cause, outcome)
            };
        }
        let is_success = (200..300).contains(&answer.status);
        let has_stamp = answer.headers.get(self.names.stamp).is_some();
        let is_encoded = answer.headers.get("content-encoding").is_some();
        if is_success && (!has_stamp || is_encoded) {
            return ExchangeResult {
                report,
                ..ExchangeResult::failed(Cause::AnswerInvalid, RequestOutcome::Failed)
            };
        }
        let outcome = if answer.status >= 500 {
            RequestOutcome::Failed
        } else {
            RequestOutcome::Answered
        };
        ExchangeResult {
            result: Ok(answer),
            outcome,
            report,
        }
    }
}

/// Returns how a request ended whose connection was lost.
const fn connection_loss_outcome(is_new: bool) -> RequestOutcome {
    if is_new {
        RequestOutcome::Reset
    } else {
        RequestOutcome::Lost
    }
}

/// Returns which connections serve for a request.
pub(crate) const fn connection_choice(is_repeat: bool, is_idempotent: bool) -> ConnectionChoice {
    if is_repeat {
        ConnectionChoice::New
    } else if is_idempotent {
        ConnectionChoice::Idle
    } else {
        ConnectionChoice::RecentlyUsed
    }
}

/// Parses the load header, and logs figures that are ignored.
fn parse_load(id: &UpstreamId, text: &str) -> Option<LoadReport> {
    let report = LoadReport::parse(text);
    let is_ignored =
        |report: LoadReport| report.work_percent.is_none() && text.matches(',').count() > 2;
    if report.is_none_or(is_ignored) {
        debug!(target: "upstream", "upstream={id} load={text:?} state=figures-ignored");
    }
    report
}
