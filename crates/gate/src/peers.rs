//! The far end of the peer link: requests from other hosts.

use crate::answer::{Answer, AnswerBody, is_hop_header};
use crate::forward::{PING_PATH, SIGN_PERIOD};
use crate::limits::GateLimits;
use crate::request::ResolvedRequest;
use crate::schedulers::PrimarySchedulers;
use async_std::net::{TcpListener, TcpStream};
use futures::future::BoxFuture;
use h1::{Connection, HeadLimits, HeaderList, RequestHead, encode_response_head};
use kernel::{Refusal, TaskScope};
use sha2::{Digest, Sha256};
use std::fmt;
use std::sync::Arc;
use std::time::Duration;
use store::JsonReply;
use subtle::ConstantTimeEq;

const PEER_HEAD: HeadLimits = HeadLimits {
    bytes: 32 << 10,
    headers: 160,
};
const WRITE_STALL_LIMIT: Duration = Duration::from_secs(12);

/// The deployment's secret, compared in constant time.
#[derive(Clone)]
pub struct PeerSecret {
    digest: [u8; 32],
}

impl PeerSecret {
    /// Digests a secret.
    pub fn new(secret: &str) -> Self {
        Self {
            digest: Sha256::digest(secret.as_bytes()).into(),
        }
    }

    /// Returns whether `given` is the secret.
    pub fn matches(&self, given: &[u8]) -> bool {
        let digest: [u8; 32] = Sha256::digest(given).into();
        digest.ct_eq(&self.digest).into()
    }
}

impl fmt::Debug for PeerSecret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("PeerSecret(..)")
    }
}

/// Serves requests that other hosts forward.
#[derive(Clone, Debug)]
pub struct PeerServer {
    schedulers: PrimarySchedulers,
    secret: PeerSecret,
    limits: GateLimits,
    relay: Arc<dyn PlatformRelay>,
    scope: TaskScope,
}

/// Paths below this one are passed on to the platform.
pub const PLATFORM_PREFIX: &str = "/trestle-platform/";
const RELAY_BODY_LIMIT: u64 = 16 << 20;

/// Passes requests on to the platform for hosts that can't reach it.
pub trait PlatformRelay: Send + Sync + fmt::Debug {
    /// Sends a request and returns the answer; `None` when there is none.
    fn relay<'a>(
        &'a self,
        method: &'a str,
        path: &'a str,
        body: Vec<u8>,
    ) -> BoxFuture<'a, Option<JsonReply>>;
}

impl PeerServer {
    /// Builds a server whose tasks run in `scope`.
    pub fn new(
        schedulers: PrimarySchedulers,
        secret: PeerSecret,
        limits: GateLimits,
        relay: Arc<dyn PlatformRelay>,
        scope: TaskScope,
    ) -> Self {
        Self {
            schedulers,
            secret,
            limits,
            relay,
            scope,
        }
    }

    /// Accepts connections until the listener fails or the scope is closed.
    pub async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            if stream.set_nodelay(true).is_err() {
                continue;
            }
            let server = self.clone();
            self.scope.spawn(async move {
                server.serve(stream).await;
            });
        }
    }

    async fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        loop {
            let Ok(Some(head)) = connection.read_request(&PEER_HEAD).await else {
                return;
            };
            if head.target == PING_PATH {
                let bytes = encode_response_head(200, &empty_body());
                if connection.write(&bytes).await.is_err() {
                    return;
                }
                continue;
            }
            let given = head.headers.get("trestle-secret").unwrap_or_default();
            if !self.secret.matches(given.as_bytes()) {
                self.schedulers.shared.metrics.strangers.inc();
                return;
            }
            if let Some(path) = head.target.strip_prefix(PLATFORM_PREFIX) {
                let (path, method) = (format!("/{path}"), head.method.clone());
                let Ok(body) = connection
                    .read_whole_body(head.body, RELAY_BODY_LIMIT)
                    .await
                else {
                    return;
                };
                if !self
                    .relay_platform(&mut connection, &method, &path, body)
                    .await
                {
                    return;
                }
                continue;
            }
            let limit = self.limits.max_body_bytes;
            let Ok(body) = connection.read_whole_body(head.body, limit).await else {
                return;
            };
            let now = self.schedulers.shared.clock.now();
            let Ok(order) = ResolvedRequest::from_peer(now, &head, body) else {
                self.schedulers.shared.metrics.malformed.inc();
                return;
            };
            let Some(outcome) = self.serve_with_signs(&mut connection, order).await else {
                return;
            };
            if !write_outcome(&mut connection, &head, outcome).await {
                return;
            }
        }
    }
}

fn empty_body() -> HeaderList {
    let mut headers = HeaderList::new();
    headers.push("content-length", "0");
    headers
}

/// An interim response, by which the near end tells a silent connection from
/// one whose request waits for its slot.
const SIGN: &[u8] = b"HTTP/1.1 102 Processing\r\n\r\n";

impl PeerServer {
    /// Passes a request on to the platform for a host that can't reach it.
    async fn relay_platform(
        &self,
        connection: &mut Connection<TcpStream>,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> bool {
        let Some(reply) = self.relay.relay(method, path, body).await else {
            // No answer, as if the platform had given none.
            return false;
        };
        let mut headers = HeaderList::new();
        headers.push("content-length", reply.body.len().to_string());
        let mut bytes = encode_response_head(reply.status, &headers);
        bytes.extend_from_slice(&reply.body);
        connection.write(&bytes).await.is_ok()
    }

    /// Serves an order, giving signs of work; `None` when the peer has gone.
    async fn serve_with_signs(
        &self,
        connection: &mut Connection<TcpStream>,
        order: ResolvedRequest,
    ) -> Option<Result<Answer, Refusal>> {
        let watched = connection.stream().clone();
        let mut serving = std::pin::pin!(until_gone(&watched, self.schedulers.serve(order)));
        loop {
            match async_std::future::timeout(SIGN_PERIOD, &mut serving).await {
                Ok(outcome) => return outcome,
                Err(_elapsed) => connection.write(SIGN).await.ok()?,
            }
        }
    }
}

/// Waits for `work`, or drops it and returns `None` once the peer has closed.
pub(crate) async fn until_gone<T>(stream: &TcpStream, work: impl Future<Output = T>) -> Option<T> {
    use futures::future::{Either, select};
    use std::pin::pin;
    let mut byte = [0_u8; 1];
    let watch = async {
        // Bytes sent ahead are no sign of a peer that has gone.
        match stream.peek(&mut byte).await {
            Ok(0) | Err(_) => {}
            Ok(_) => futures::future::pending().await,
        }
    };
    match select(pin!(work), pin!(watch)).await {
        Either::Left((outcome, _)) => Some(outcome),
        Either::Right(_) => None,
    }
}

async fn write_outcome(
    connection: &mut Connection<TcpStream>,
    head: &RequestHead,
    outcome: Result<Answer, Refusal>,
) -> bool {
    match outcome {
        Ok(answer) => {
            let mut headers = answer.headers;
            headers.remove_where(is_hop_header);
            headers.push("trestle-wait-us", answer.wait.as_micros().to_string());
            let parts = AnswerParts {
                status: answer.status,
                headers,
                body: answer.body,
                has_body: head.method != "HEAD",
                stall: WRITE_STALL_LIMIT,
            };
            write_answer(connection, parts).await
        }
        Err(refusal) => {
            let mut headers = HeaderList::new();
            headers.push("trestle-cause", refusal.cause.as_str());
            if let Some(wait) = refusal.retry_after {
                headers.push("trestle-retry-ms", wait.as_millis().to_string());
            }
            headers.push("content-length", "0");
            let bytes = encode_response_head(refusal.cause.status(), &headers);
            connection.write(&bytes).await.is_ok()
        }
    }
}

/// An answer ready to be written to a connection.
#[derive(Debug)]
pub(crate) struct AnswerParts {
    pub status: u16,
    pub headers: HeaderList,
    pub body: AnswerBody,
    pub has_body: bool,
    pub stall: Duration,
}

/// Writes an answer; `false` when the connection must not be used again.
///
/// A body that is cut short leaves its message unfinished, so that the reader
/// sees the connection break instead of a shorter whole.
pub(crate) async fn write_answer(
    connection: &mut Connection<TcpStream>,
    parts: AnswerParts,
) -> bool {
    let mut headers = parts.headers;
    let stall = parts.stall;
    match parts.body {
        AnswerBody::Whole(bytes) => {
            headers.push("content-length", bytes.len().to_string());
            let mut message = encode_response_head(parts.status, &headers);
            if parts.has_body {
                message.extend_from_slice(&bytes);
            }
            write_within(connection, stall, &message).await
        }
        AnswerBody::Stream(length, mut stream) => {
            match length {
                Some(length) => headers.push("content-length", length.to_string()),
                None => headers.push("transfer-encoding", "chunked"),
            }
            let head = encode_response_head(parts.status, &headers);
            if !write_within(connection, stall, &head).await {
                return false;
            }
            loop {
                let part = match stream.next().await {
                    Ok(Some(part)) => part,
                    Ok(None) => break,
                    Err(_cut) => return false,
                };
                let message = frame_part(length, part);
                if !write_within(connection, stall, &message).await {
                    return false;
                }
            }
            length.is_some() || write_within(connection, stall, b"0\r\n\r\n").await
        }
    }
}

fn frame_part(length: Option<u64>, part: Vec<u8>) -> Vec<u8> {
    if length.is_some() {
        return part;
    }
    let mut framed = format!("{:x}\r\n", part.len()).into_bytes();
    framed.extend_from_slice(&part);
    framed.extend_from_slice(b"\r\n");
    framed
}

async fn write_within(
    connection: &mut Connection<TcpStream>,
    limit: Duration,
    bytes: &[u8],
) -> bool {
    let written = async_std::future::timeout(limit, connection.write(bytes)).await;
    matches!(written, Ok(Ok(())))
}
