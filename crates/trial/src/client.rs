//! HTTP client of a trial, which checks the responses of entry hosts.

use crate::body::expected_body;
use async_std::future::timeout;
use async_std::net::TcpStream;
use h1::{BodyLength, Connection, HeadLimits, HeaderList, encode_request_head};
use indexmap::IndexMap;
use kernel::Verdict;
use parking_lot::Mutex;
use std::sync::Arc;
use std::time::Duration;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of idle connections per host.
const MAX_IDLE_CONNECTIONS: usize = 32;
/// Time past the request's own timeout until the client gives up.
const RESPONSE_GRACE: Duration = Duration::from_secs(2);

/// A request of a simulated client.
#[derive(Clone, Debug)]
pub(crate) struct ClientRequest {
    pub method: String,
    pub target: String,
    pub headers: HeaderList,
    pub body: Vec<u8>,
    /// Tag that the response body repeats; identifies the response to this request.
    pub tag: String,
    /// Tags of previous attempts to send this request, whose responses are valid too.
    pub previous_tags: Vec<String>,
    pub answer_bytes: u64,
    pub timeout: Duration,
}

/// Outcome of a request as its client observed it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ClientOutcome {
    pub verdict: Verdict,
    pub cause: String,
    /// The response looked complete but its body was not.
    pub is_incomplete: bool,
    /// The response belongs to another request.
    pub is_crossed: bool,
    /// After at least a part of the request was sent, the connection failed or the
    /// response had no length.
    pub is_cut: bool,
    /// No connection could be established.
    pub is_unsent: bool,
}

impl ClientOutcome {
    fn with_verdict(verdict: Verdict, cause: &str) -> Self {
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
            ..Self::with_verdict(Verdict::MayHaveRun, cause)
        }
    }

    fn unsent(cause: &str) -> Self {
        Self {
            is_unsent: true,
            ..Self::with_verdict(Verdict::NotRun, cause)
        }
    }
}

/// Pool of idle connections to hosts; clones share the pool.
#[derive(Clone, Debug, Default)]
pub(crate) struct ClientPool {
    idle: Arc<Mutex<IndexMap<String, Vec<Connection<TcpStream>>>>>,
}

impl ClientPool {
    /// Sends a request to `address` and checks the response.
    pub async fn send(&self, address: &str, request: &ClientRequest) -> ClientOutcome {
        let mut connection = match self.take(address).await {
            Ok(connection) => connection,
            Err(cause) => return ClientOutcome::unsent(cause),
        };
        let exchange = exchange(&mut connection, request);
        match timeout(request.timeout + RESPONSE_GRACE, exchange).await {
            Ok((outcome, keeps_alive)) => {
                if keeps_alive && !connection.has_buffered_bytes() {
                    self.put(address, connection);
                }
                outcome
            }
            Err(_elapsed) => ClientOutcome::with_verdict(Verdict::MayHaveRun, "caller-timeout"),
        }
    }

    async fn take(&self, address: &str) -> Result<Connection<TcpStream>, &'static str> {
        loop {
            let pooled = self.idle.lock().get_mut(address).and_then(Vec::pop);
            let Some(pooled) = pooled else {
                break;
            };
            if h1::is_idle(pooled.stream()) {
                return Ok(pooled);
            }
        }
        let attempt = TcpStream::connect(address);
        let connected = timeout(CONNECT_TIMEOUT, attempt).await;
        let Ok(Ok(stream)) = connected else {
            return Err("no-connection");
        };
        stream.set_nodelay(true).map_err(|_io| "no-connection")?;
        Ok(Connection::new(stream))
    }

    fn put(&self, address: &str, connection: Connection<TcpStream>) {
        let mut idle = self.idle.lock();
        let pooled = idle.entry(address.to_owned()).or_default();
        if pooled.len() < MAX_IDLE_CONNECTIONS {
            pooled.push(connection);
        }
    }
}

/// Sends a request and returns the outcome and whether the connection is reusable.
async fn exchange(
    connection: &mut Connection<TcpStream>,
    request: &ClientRequest,
) -> (ClientOutcome, bool) {
    let mut headers = request.headers.clone();
    headers.push("host", "trial");
    headers.push("x-trial-tag", request.tag.as_str());
    headers.push("content-length", request.body.len().to_string());
    let mut bytes = encode_request_head(&request.method, &request.target, &headers);
    bytes.extend_from_slice(&request.body);
    if connection.write(&bytes).await.is_err() {
        return (ClientOutcome::cut("write"), false);
    }
    let limits = HeadLimits::default();
    let Ok(head) = connection.read_response(&limits, &request.method).await else {
        return (ClientOutcome::cut("head"), false);
    };
    if head.body == BodyLength::UntilClose {
        return (ClientOutcome::cut("length"), false);
    }
    let body = connection.read_whole_body(head.body, u64::MAX).await;
    let Ok(body) = body else {
        return (ClientOutcome::cut("body"), false);
    };
    let verdict = head.headers.get("x-verdict").and_then(Verdict::parse);
    let cause = head.headers.get("x-cause").unwrap_or("none");
    let verdict = verdict.unwrap_or(Verdict::MayHaveRun);
    let mut outcome = ClientOutcome::with_verdict(verdict, cause);
    if verdict == Verdict::Ran && head.status == 200 {
        check_body(&mut outcome, request, &body);
    }
    (outcome, head.keeps_alive)
}

fn check_body(outcome: &mut ClientOutcome, request: &ClientRequest, body: &[u8]) {
    let size = request.answer_bytes as usize;
    let tags = std::iter::once(&request.tag).chain(&request.previous_tags);
    for tag in tags {
        if expected_body(tag, size) == body {
            return;
        }
        let has_own_tag = body.starts_with(format!("{tag};").as_bytes());
        if has_own_tag {
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
