//! The receiving side of the peer link, which serves requests that other hosts
//! forward.

use crate::answer::{Answer, AnswerBody, is_hop_by_hop_header};
use crate::forward::{PING_PATH, PROGRESS_INTERVAL};
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

const PEER_HEAD_LIMITS: HeadLimits = HeadLimits {
    max_bytes: 32 << 10,
    max_headers: 160,
};
const WRITE_STALL_TIMEOUT: Duration = Duration::from_secs(12);

/// Digest of the deployment's secret, compared in constant time.
#[derive(Clone)]
pub struct PeerSecret {
    digest: [u8; 32],
}

impl PeerSecret {
    /// Computes the digest of a secret.
    pub fn new(secret: &str) -> Self {
        Self {
            digest: Sha256::digest(secret.as_bytes()).into(),
        }
    }

    /// Returns whether `presented` is the secret.
    pub fn matches(&self, presented: &[u8]) -> bool {
        let digest: [u8; 32] = Sha256::digest(presented).into();
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

/// Prefix of paths whose requests are relayed to the platform.
pub const PLATFORM_PREFIX: &str = "/trestle-platform/";
const MAX_RELAY_BODY_BYTES: u64 = 16 << 20;

/// Relays requests to the platform for hosts that can't reach it.
pub trait PlatformRelay: Send + Sync + fmt::Debug {
    /// Sends a request and returns the answer, or `None` if there was none.
    fn relay<'a>(
        &'a self,
        method: &'a str,
        path: &'a str,
        body: Vec<u8>,
    ) -> BoxFuture<'a, Option<JsonReply>>;
}

impl PeerServer {
    /// Creates a server whose tasks run in `scope`.
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

    /// Accepts connections until the scope is closed.
    pub async fn accept(self, listener: TcpListener) {
        loop {
            let stream = h1::accept(&listener, "peers").await;
            let server = self.clone();
            self.scope.spawn(async move {
                server.serve(stream).await;
            });
        }
    }

    async fn serve(&self, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        loop {
            let Ok(Some(head)) = connection.read_request(&PEER_HEAD_LIMITS).await else {
                return;
            };
            if head.target == PING_PATH {
                let bytes = encode_response_head(200, &empty_body());
                if connection.write(&bytes).await.is_err() {
                    return;
                }
                continue;
            }
            let presented = head.headers.get("trestle-secret").unwrap_or_default();
            if !self.secret.matches(presented.as_bytes()) {
                self.schedulers.shared.metrics.unauthenticated.inc();
                return;
            }
            if let Some(path) = head.target.strip_prefix(PLATFORM_PREFIX) {
                let (path, method) = (format!("/{path}"), head.method.clone());
                let Ok(body) = connection
                    .read_whole_body(head.body, MAX_RELAY_BODY_BYTES)
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
            let max_body_bytes = self.limits.max_body_bytes;
            let Ok(body) = connection.read_whole_body(head.body, max_body_bytes).await else {
                return;
            };
            let now = self.schedulers.shared.clock.now();
            let Ok(request) = ResolvedRequest::from_peer(now, &head, body) else {
                self.schedulers.shared.metrics.malformed.inc();
                return;
            };
            let Some(outcome) = self.serve_with_progress(&mut connection, request).await else {
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

/// An interim response, which lets the sending host distinguish a silent connection
/// from one whose request is still queued or running.
const PROGRESS_RESPONSE: &[u8] = b"HTTP/1.1 102 Processing\r\n\r\n";

impl PeerServer {
    /// Relays a request to the platform; returns `false` if the connection must not be
    /// used again.
    async fn relay_platform(
        &self,
        connection: &mut Connection<TcpStream>,
        method: &str,
        path: &str,
        body: Vec<u8>,
    ) -> bool {
        let Some(reply) = self.relay.relay(method, path, body).await else {
            // The connection is closed, as if the platform had not answered.
            return false;
        };
        let mut headers = HeaderList::new();
        headers.push("content-length", reply.body.len().to_string());
        let mut bytes = encode_response_head(reply.status, &headers);
        bytes.extend_from_slice(&reply.body);
        connection.write(&bytes).await.is_ok()
    }

    /// Serves a request and sends interim responses meanwhile; returns `None` if the
    /// peer has disconnected.
    async fn serve_with_progress(
        &self,
        connection: &mut Connection<TcpStream>,
        request: ResolvedRequest,
    ) -> Option<Result<Answer, Refusal>> {
        let stream = connection.stream().clone();
        let mut serving = std::pin::pin!(abort_on_close(&stream, self.schedulers.serve(request)));
        loop {
            match async_std::future::timeout(PROGRESS_INTERVAL, &mut serving).await {
                Ok(outcome) => return outcome,
                Err(_elapsed) => connection.write(PROGRESS_RESPONSE).await.ok()?,
            }
        }
    }
}

/// Runs `work`, or drops it and returns `None` as soon as the peer closes the
/// connection.
pub(crate) async fn abort_on_close<T>(
    stream: &TcpStream,
    work: impl Future<Output = T>,
) -> Option<T> {
    use futures::future::{Either, select};
    use std::pin::pin;
    let mut byte = [0_u8; 1];
    let watch = async {
        // Readable bytes belong to a pipelined request; the peer is still connected.
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
            headers.remove_where(is_hop_by_hop_header);
            headers.push("trestle-wait-us", answer.wait.as_micros().to_string());
            let message = AnswerMessage {
                status: answer.status,
                headers,
                body: answer.body,
                has_body: head.method != "HEAD",
                stall_timeout: WRITE_STALL_TIMEOUT,
            };
            write_answer(connection, message).await
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

/// An answer that is ready to be written to a connection.
#[derive(Debug)]
pub(crate) struct AnswerMessage {
    pub status: u16,
    pub headers: HeaderList,
    pub body: AnswerBody,
    pub has_body: bool,
    pub stall_timeout: Duration,
}

/// Writes an answer; returns `false` if the connection must not be used again.
///
/// If the body is cut short, its framing is left incomplete, so that the reader sees
/// a truncated message and not a shorter complete one.
pub(crate) async fn write_answer(
    connection: &mut Connection<TcpStream>,
    answer: AnswerMessage,
) -> bool {
    let mut headers = answer.headers;
    let stall_timeout = answer.stall_timeout;
    match answer.body {
        AnswerBody::Whole(bytes) => {
            headers.push("content-length", bytes.len().to_string());
            let mut message = encode_response_head(answer.status, &headers);
            if answer.has_body {
                message.extend_from_slice(&bytes);
            }
            write_with_timeout(connection, stall_timeout, &message).await
        }
        AnswerBody::Stream(length, mut stream) => {
            match length {
                Some(length) => headers.push("content-length", length.to_string()),
                None => headers.push("transfer-encoding", "chunked"),
            }
            let head = encode_response_head(answer.status, &headers);
            if !write_with_timeout(connection, stall_timeout, &head).await {
                return false;
            }
            loop {
                let part = match stream.next().await {
                    Ok(Some(part)) => part,
                    Ok(None) => break,
                    Err(_truncated) => return false,
                };
                let message = frame_part(length, part);
                if !write_with_timeout(connection, stall_timeout, &message).await {
                    return false;
                }
            }
            length.is_some() || write_with_timeout(connection, stall_timeout, b"0\r\n\r\n").await
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

async fn write_with_timeout(
    connection: &mut Connection<TcpStream>,
    timeout: Duration,
    bytes: &[u8],
) -> bool {
    let written = async_std::future::timeout(timeout, connection.write(bytes)).await;
    matches!(written, Ok(Ok(())))
}
