//! One caller's exchange with an entry host.

use crate::check::expected_body;
use async_std::future::timeout;
use async_std::net::TcpStream;
use h1::{BodyLength, Connection, HeadLimits, HeaderList, encode_request_head};
use indexmap::IndexMap;
use kernel::Verdict;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;

const CONNECT_LIMIT: Duration = Duration::from_millis(300);
const MOST_IDLE: usize = 32;
/// Time beyond the request's own limit until the caller gives up.
const GRACE: Duration = Duration::from_secs(2);

/// A request as a caller sends it.
#[derive(Clone, Debug)]
pub(crate) struct CallerRequest {
    pub method: String,
    pub target: String,
    pub headers: HeaderList,
    pub body: Vec<u8>,
    /// Mark by which the answer is known to be to this request.
    pub tag: String,
    /// Earlier marks of the same charge, whose answers count as well.
    pub earlier_tags: Vec<String>,
    pub answer_bytes: u64,
    pub limit: Duration,
}

/// What a caller was told.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CallerOutcome {
    pub verdict: Verdict,
    pub cause: String,
    /// The answer looked whole but was not.
    pub is_incomplete: bool,
    /// The answer was to another request.
    pub is_crossed: bool,
    /// The connection broke after the request had been sent.
    pub is_cut: bool,
    /// No connection could be made.
    pub is_unsent: bool,
}

impl CallerOutcome {
    fn failed(verdict: Verdict, cause: &str) -> Self {
        Self {
            verdict,
            cause: cause.to_owned(),
            is_incomplete: false,
            is_crossed: false,
            is_cut: false,
            is_unsent: false,
        }
    }

    fn cut(cause: &str) -> Self {
        Self {
            is_cut: true,
            ..Self::failed(Verdict::MayHaveRun, cause)
        }
    }

    fn unsent(cause: &str) -> Self {
        Self {
            is_unsent: true,
            ..Self::failed(Verdict::NotRun, cause)
        }
    }
}

/// Callers' kept connections.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallerPool {
    idle: Arc<Mutex<IndexMap<String, Vec<Connection<TcpStream>>>>>,
}

impl CallerPool {
    /// Sends a request to `address` and judges the answer.
    pub async fn send(&self, address: &str, request: &CallerRequest) -> CallerOutcome {
        let mut connection = match self.take(address).await {
            Ok(connection) => connection,
            Err(cause) => return CallerOutcome::unsent(cause),
        };
        let exchange = exchange(&mut connection, request);
        match timeout(request.limit + GRACE, exchange).await {
            Ok((outcome, keeps_alive)) => {
                if keeps_alive && !connection.has_buffered_bytes() {
                    self.keep(address, connection);
                }
                outcome
            }
            Err(_elapsed) => CallerOutcome::failed(Verdict::MayHaveRun, "caller-timeout"),
        }
    }

    async fn take(&self, address: &str) -> Result<Connection<TcpStream>, &'static str> {
        loop {
            let kept = self.idle.lock().get_mut(address).and_then(Vec::pop);
            let Some(kept) = kept else {
                break;
            };
            if h1::is_idle(kept.stream()) {
                return Ok(kept);
            }
        }
        let connecting = TcpStream::connect(address);
        let connected = timeout(CONNECT_LIMIT, connecting).await;
        let Ok(Ok(stream)) = connected else {
            return Err("no-connection");
        };
        stream.set_nodelay(true).map_err(|_io| "no-connection")?;
        Ok(Connection::new(stream))
    }

    fn keep(&self, address: &str, connection: Connection<TcpStream>) {
        let mut idle = self.idle.lock();
        let kept = idle.entry(address.to_owned()).or_default();
        if kept.len() < MOST_IDLE {
            kept.push(connection);
        }
    }
}

/// Returns the outcome and whether the connection may be used again.
async fn exchange(
    connection: &mut Connection<TcpStream>,
    request: &CallerRequest,
) -> (CallerOutcome, bool) {
    let mut headers = request.headers.clone();
    headers.push("host", "trial");
    headers.push("x-trial-tag", request.tag.as_str());
    headers.push("content-length", request.body.len().to_string());
    let mut bytes = encode_request_head(&request.method, &request.target, &headers);
    bytes.extend_from_slice(&request.body);
    if connection.write(&bytes).await.is_err() {
        return (CallerOutcome::cut("write"), false);
    }
    let limits = HeadLimits::default();
    let Ok(head) = connection.read_response(&limits, &request.method).await else {
        return (CallerOutcome::cut("head"), false);
    };
    if head.body == BodyLength::UntilClose {
        return (CallerOutcome::cut("length"), false);
    }
    let body = connection.read_whole_body(head.body, u64::MAX).await;
    let Ok(body) = body else {
        return (CallerOutcome::cut("body"), false);
    };
    let verdict = head.headers.get("x-verdict").and_then(Verdict::parse);
    let cause = head.headers.get("x-cause").unwrap_or("none");
    let verdict = verdict.unwrap_or(Verdict::MayHaveRun);
    let mut outcome = CallerOutcome::failed(verdict, cause);
    if verdict == Verdict::Ran && head.status == 200 {
        judge_body(&mut outcome, request, &body);
    }
    (outcome, head.keeps_alive)
}

fn judge_body(outcome: &mut CallerOutcome, request: &CallerRequest, body: &[u8]) {
    let size = request.answer_bytes as usize;
    let tags = std::iter::once(&request.tag).chain(&request.earlier_tags);
    for tag in tags {
        if expected_body(tag, size) == body {
            return;
        }
        let is_own = body.starts_with(format!("{tag};").as_bytes());
        if is_own {
            outcome.is_incomplete = true;
            return;
        }
    }
    if body.len() < size {
        outcome.is_incomplete = true;
    } else {
        outcome.is_crossed = true;
    }
}
