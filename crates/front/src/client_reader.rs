//! Reading of one request from a client's connection.

use crate::body_memory::{BodyError, HeldBody};
use crate::clients::{ClientServer, InFlightGuard};
use crate::request::ClientRequest;
use async_std::future::timeout;
use async_std::net::TcpStream;
use h1::{BodyLength, Connection, HeadLimits, RequestHead};
use kernel::Cause;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

/// Maximum time for a body to arrive when the client sets no time.
const BODY_TIMEOUT: Duration = Duration::from_secs(20);

/// A request that was read completely.
#[derive(Debug)]
pub(crate) struct ReadRequest {
    pub request: ClientRequest,
    pub guard: InFlightGuard,
}

/// Result of reading one request.
#[derive(Debug)]
pub(crate) enum ReadOutcome {
    Request(Box<ReadRequest>),
    /// The request can't be read to its end; with its id as far as known.
    Refused {
        cause: Cause,
        id: Option<String>,
        guard: InFlightGuard,
    },
    /// No request arrived within the idle time.
    Idle,
    /// The client closed the connection, or the connection failed.
    Closed,
}

/// Reads the next request, and returns the connection with it; `unanswered` is the
/// number of earlier requests that have not been answered yet.
pub(crate) async fn read_request(
    server: ClientServer,
    mut connection: Connection<TcpStream>,
    unanswered: Arc<AtomicUsize>,
) -> (Connection<TcpStream>, ReadOutcome) {
    let outcome = read_outcome(&server, &mut connection, &unanswered).await;
    (connection, outcome)
}

async fn read_outcome(
    server: &ClientServer,
    connection: &mut Connection<TcpStream>,
    unanswered: &AtomicUsize,
) -> ReadOutcome {
    let client_limits = server.dispatcher.state.view.load().limits();
    match timeout(client_limits.idle_time, connection.wait_for_bytes()).await {
        Ok(Ok(true)) => {}
        Ok(_) => return ReadOutcome::Closed,
        Err(_elapsed) => return ReadOutcome::Idle,
    }
    let received_at = server.dispatcher.state.clock.now();
    let Some(guard) = server.begin_request() else {
        return ReadOutcome::Closed;
    };
    let head_limits = HeadLimits {
        max_bytes: client_limits.head_bytes,
        ..HeadLimits::default()
    };
    let reading = connection.read_request(&head_limits);
    let cause = match timeout(client_limits.head_time, reading).await {
        Ok(Ok(Some(head))) => {
            let max_bytes = client_limits.body_bytes;
            // An interim answer would be taken for one to an earlier request.
            let may_continue = unanswered.load(Ordering::Relaxed) == 0;
            match read_body(server, connection, &head, max_bytes, may_continue).await {
                Ok(body) => {
                    let request = ClientRequest {
                        head,
                        body,
                        received_at,
                    };
                    return ReadOutcome::Request(Box::new(ReadRequest { request, guard }));
                }
                Err(None) => return ReadOutcome::Closed,
                Err(Some(cause)) => {
                    let names = &server.dispatcher.state.exchanger.names;
                    let id = head.headers.get(names.request_id).map(str::to_owned);
                    return ReadOutcome::Refused { cause, id, guard };
                }
            }
        }
        Ok(Ok(None) | Err(h1::Error::Io(_) | h1::Error::Truncated)) => return ReadOutcome::Closed,
        Ok(Err(h1::Error::HeadTooLarge)) => Cause::HeadTooLarge,
        Ok(Err(_)) => Cause::BadRequest,
        Err(_elapsed) => Cause::RequestTimeout,
    };
    ReadOutcome::Refused {
        cause,
        id: None,
        guard,
    }
}

/// Reads a request's body; fails without a cause when the connection has failed.
///
/// Memory for a body with a length is reserved before any of it is read: bodies that
/// arrive at the same time would exceed the memory together.
async fn read_body(
    server: &ClientServer,
    connection: &mut Connection<TcpStream>,
    head: &RequestHead,
    max_bytes: u64,
    may_continue: bool,
) -> Result<HeldBody, Option<Cause>> {
    let mut body = server.memory.empty_body();
    if let BodyLength::Fixed(bytes) = head.body {
        if bytes > max_bytes {
            return Err(Some(Cause::BodyTooLarge));
        }
        if bytes > 0 && body.reserve(bytes).is_err() {
            return Err(Some(Cause::HostBusy));
        }
    }
    if may_continue && head.headers.get("expect").is_some() {
        let sent = connection.write(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        sent.map_err(|_closed| None)?;
    }
    let reading = body.read_from(connection, head.body, max_bytes);
    match timeout(body_timeout(server, head), reading).await {
        Ok(Ok(())) => Ok(body),
        Ok(Err(BodyError::TooLarge)) => Err(Some(Cause::BodyTooLarge)),
        Ok(Err(BodyError::NoMemory)) => Err(Some(Cause::HostBusy)),
        Ok(Err(BodyError::Connection(h1::Error::Malformed(_)))) => Err(Some(Cause::BadRequest)),
        Ok(Err(BodyError::Connection(_))) => Err(None),
        Err(_elapsed) => Err(Some(Cause::RequestTimeout)),
    }
}

/// Returns how long a body may take to arrive.
fn body_timeout(server: &ClientServer, head: &RequestHead) -> Duration {
    let names = &server.dispatcher.state.exchanger.names;
    let left_ms = head.headers.get_number(names.time_left);
    left_ms.map_or(BODY_TIMEOUT, Duration::from_millis)
}
